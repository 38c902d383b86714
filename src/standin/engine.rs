//! A model engine with the OpenAI interface on loopback.
//!
//! The batching is that of [`EngineModel`], driven by the clock. Answers are
//! those of [`answer::plan`], so a test knows every byte in advance.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    io,
    net::{
        Shutdown,
        SocketAddr, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    unbounded, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use super::{
    answer::{
        self,
        ChatMessage,
        PlannedAnswer, //
    },
    listener::{
        Listener,
        Next,
        Request,
        lock,
        respond_json,
        respond_unavailable,
        write_deadline, //
    },
    model::{
        EngineFull,
        EngineModel,
        Generated,
        ModelLoad,
        ModelOptions,
        ModelTotals,
        Work,
        WorkId, //
    }, //
};
use crate::{
    http::{
        connection::Connection,
        message::{
            Headers,
            MessageError,
            ResponseHead, //
        },
        server::{
            end_chunked,
            respond,
            start_chunked,
            write_chunk, //
        }, //
    },
    types::{
        Bytes,
        Incarnation,
        Tokens, //
    }, //
};

/// Token limit of a request that names none.
const DEFAULT_MAX_TOKENS: usize = 512;
/// How often a waiting connection looks whether its caller has closed.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest sleep of the idle batching thread.
const IDLE_SLEEP: Duration = Duration::from_secs(1);
/// `Retry-After` of a refusal.
const RETRY_AFTER_S: u32 = 1;
/// By how much a wrong length differs from the right one.
const WRONG_LENGTH_BYTES: usize = 16;

/// How an engine stand-in is set up.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Port on loopback; 0 takes a free one.
    pub port: u16,
    /// Name of the model it serves.
    pub model: CompactString,
    /// Current run, shown in the metrics.
    pub incarnation: Incarnation,
    /// Capacity and speed.
    pub speed: ModelOptions,
    /// Age of the load that it reports.
    pub load_lag: Duration,
    /// Whether it understands `continue_final_message`; otherwise it ignores
    /// the field and answers from the start.
    pub can_continue: bool,
}

impl EngineOptions {
    /// A quick engine that serves `model`.
    pub fn new(model: &str) -> Self {
        Self {
            port: 0,
            model: CompactString::from(model),
            incarnation: Incarnation(1),
            speed: ModelOptions::default(),
            load_lag: Duration::ZERO,
            can_continue: true,
        }
    }

    /// The same engine with another capacity and speed.
    pub fn with_speed(mut self, speed: ModelOptions) -> Self {
        self.speed = speed;
        self
    }

    /// The same engine with a late load report.
    pub fn with_load_lag(mut self, load_lag: Duration) -> Self {
        self.load_lag = load_lag;
        self
    }

    /// The same engine as another run on a given port.
    pub fn with_restart(mut self, port: u16, incarnation: Incarnation) -> Self {
        self.port = port;
        self.incarnation = incarnation;
        self
    }

    /// The same engine without `continue_final_message`.
    pub fn without_continuation(mut self) -> Self {
        self.can_continue = false;
        self
    }
}

/// A fault in the answer to a request that runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Closes the connection after this many tokens; after 0, without a head.
    CutAfter(usize),
    /// Sends nothing more after this many tokens and keeps the connection.
    StallAfter(usize),
    /// Announces a chunk after this many tokens and closes in the middle of it.
    TruncatedChunk(usize),
    /// Ends a stream properly but without `data: [DONE]`.
    NoDone,
    /// Announces a wrong length of the body or of the last chunk.
    WrongLength,
    /// Answers with this status after it ran the request.
    Status(u16),
}

/// One request that an engine has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRequest {
    /// Field `x-request-id`, or empty.
    pub id: CompactString,
    /// Length of the body.
    pub body: Bytes,
    /// Hash of the body.
    pub body_xxh3: u64,
    /// Whether it was accepted and not refused.
    pub has_run: bool,
    /// Field `priority`.
    pub priority: i32,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
    /// Tokens generated so far.
    pub generated: Tokens,
    /// Whether the caller closed before the end.
    pub is_cancelled: bool,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    continue_final_message: bool,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug)]
struct LoadAt {
    at: Duration,
    load: ModelLoad,
}

#[derive(Debug)]
struct Core {
    model: EngineModel,
    tokens: HashMap<WorkId, Sender<Generated>>,
    loads: VecDeque<LoadAt>,
    load_lag: Duration,
    seen: Vec<SeenRequest>,
    fault: Option<EngineFault>,
    next_faults: VecDeque<EngineFault>,
    is_leaving: bool,
    is_stopping: bool,
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    started: Instant,
    core: Mutex<Core>,
    changed: Condvar,
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    engine: Arc<Engine>,
    listener: Listener,
    thread: Option<JoinHandle<()>>,
}

impl EngineStandin {
    /// Starts an engine on loopback.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let port = options.port;
        let engine = Arc::new(Engine::new(options));
        let listener = {
            let engine = Arc::clone(&engine);
            Listener::start(port, move |connection, request| {
                engine.serve(connection, &request)
            })?
        };
        let thread = {
            let engine = Arc::clone(&engine);
            thread::Builder::new()
                .name("engine".into())
                .spawn(move || engine.run())?
        };
        Ok(Self {
            engine,
            listener,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Makes it refuse new work, or take it again.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.engine.core().is_leaving = is_leaving;
    }

    /// Sets the age of the reported load.
    pub fn set_load_lag(&self, load_lag: Duration) {
        self.engine.core().load_lag = load_lag;
    }

    /// Sets the fault of all following requests.
    pub fn set_fault(&self, fault: Option<EngineFault>) {
        self.engine.core().fault = fault;
    }

    /// Adds a fault for one request, after those that were added before.
    pub fn fail_next(&self, fault: EngineFault) {
        self.engine.core().next_faults.push_back(fault);
    }

    /// Forgets all cached prefixes.
    pub fn clear_cache(&self) {
        self.engine.core().model.clear_cache();
    }

    /// All chat requests so far, in order of arrival.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.engine.core().seen.clone()
    }

    /// Load now, without lag.
    pub fn load(&self) -> ModelLoad {
        self.engine.core().model.load()
    }

    /// Tokens computed since the start.
    pub fn totals(&self) -> ModelTotals {
        self.engine.core().model.totals()
    }

    /// Stops at once and breaks all connections.
    pub fn stop(&mut self) {
        self.listener.stop();
        self.engine.core().is_stopping = true;
        self.engine.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed when it happened.
            let _ = thread.join();
        }
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A request that runs.
struct Running<'a> {
    engine: &'a Engine,
    work: Option<WorkId>,
    seen: usize,
    tokens: Receiver<Generated>,
}

/// What came next for a running request.
enum Step {
    Token(Generated),
    CallerGone,
    Stopped,
}

impl Running<'_> {
    fn next(&self, connection: &Connection) -> Step {
        loop {
            match self.tokens.recv_timeout(CALLER_CHECK_INTERVAL) {
                Ok(generated) => {
                    self.note(&generated);
                    return Step::Token(generated);
                }
                Err(RecvTimeoutError::Timeout) if connection.is_closed_by_peer() => {
                    return Step::CallerGone;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Step::Stopped,
            }
        }
    }

    fn note(&self, generated: &Generated) {
        let mut core = self.engine.core();
        if let Some(seen) = core.seen.get_mut(self.seen) {
            seen.cached = generated.cached;
            seen.generated = Tokens(generated.index + 1);
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        // Covers every way out: whole answer, fault, failed write, caller gone.
        let Some(work) = self.work else {
            return;
        };
        let mut core = self.engine.core();
        core.tokens.remove(&work);
        if core.model.cancel(work).is_some() {
            if let Some(seen) = core.seen.get_mut(self.seen) {
                seen.is_cancelled = true;
            }
            self.engine.note_load(&mut core);
        }
    }
}

impl Engine {
    fn new(options: EngineOptions) -> Self {
        let core = Core {
            model: EngineModel::new(options.speed.clone()),
            tokens: HashMap::new(),
            loads: VecDeque::new(),
            load_lag: options.load_lag,
            seen: Vec::new(),
            fault: None,
            next_faults: VecDeque::new(),
            is_leaving: false,
            is_stopping: false,
        };
        Self {
            options,
            started: Instant::now(),
            core: Mutex::new(core),
            changed: Condvar::new(),
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        lock(&self.core)
    }

    fn run(&self) {
        let mut generated = Vec::new();
        let mut core = self.core();
        while !core.is_stopping {
            core.model.advance(self.started.elapsed(), &mut generated);
            if !generated.is_empty() {
                self.note_load(&mut core);
            }
            for token in generated.drain(..) {
                // A receiver that is gone has cancelled its request.
                if let Some(sender) = core.tokens.get(&token.work) {
                    let _ = sender.send(token);
                }
            }
            let sleep = core
                .model
                .next_step()
                .map_or(IDLE_SLEEP, |end| end.saturating_sub(self.started.elapsed()));
            core = self
                .changed
                .wait_timeout(core, sleep)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        core.tokens.clear();
    }

    fn note_load(&self, core: &mut Core) {
        let now = self.started.elapsed();
        let load = core.model.load();
        core.loads.push_back(LoadAt { at: now, load });
        let reported = now.saturating_sub(core.load_lag);
        while core.loads.get(1).is_some_and(|next| next.at <= reported) {
            core.loads.pop_front();
        }
    }

    fn reported_load(&self) -> ModelLoad {
        let core = self.core();
        let Some(reported) = self.started.elapsed().checked_sub(core.load_lag) else {
            return ModelLoad::default();
        };
        let newest = core.loads.iter().rev().find(|entry| entry.at <= reported);
        newest.map(|entry| entry.load).unwrap_or_default()
    }

    fn serve(&self, connection: &mut Connection, request: &Request) -> Result<Next, MessageError> {
        let path = request.head.path.as_str();
        match (request.head.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => self.chat(connection, request),
            ("GET", "/health") if self.core().is_leaving => {
                respond_unavailable(connection, RETRY_AFTER_S, "leaving")
            }
            ("GET", "/health") => respond_json(connection, 200, Headers::new(), &json!({})),
            ("GET", "/metrics") => self.metrics(connection),
            ("GET", "/v1/models") => {
                let model = json!({ "id": self.options.model, "object": "model" });
                let list = json!({ "object": "list", "data": [model] });
                respond_json(connection, 200, Headers::new(), &list)
            }
            _ => respond_error(connection, 404, "no such path"),
        }
    }

    fn metrics(&self, connection: &mut Connection) -> Result<Next, MessageError> {
        let load = self.reported_load();
        let text = metrics_text(&self.options.model, load, self.options.incarnation);
        let headers = Headers::new().with_field("content-type", "text/plain; version=0.0.4");
        respond(connection, 200, headers, text.as_bytes(), write_deadline())?;
        Ok(Next::Keep)
    }

    fn chat(&self, connection: &mut Connection, request: &Request) -> Result<Next, MessageError> {
        let chat = match serde_json::from_slice::<ChatRequest>(&request.body) {
            Ok(chat) => chat,
            Err(error) => return respond_error(connection, 400, &error.to_string()),
        };
        let limit = chat.max_completion_tokens.or(chat.max_tokens);
        let continues = chat.continue_final_message && self.options.can_continue;
        let limit = limit.unwrap_or(DEFAULT_MAX_TOKENS);
        let plan = answer::plan(&chat.messages, limit, continues);
        let Ok((running, fault)) = self.submit(request, &chat, &plan) else {
            return respond_unavailable(connection, RETRY_AFTER_S, "no capacity");
        };
        let exchange = Exchange {
            running,
            plan,
            fault,
            id: format!("chatcmpl-{:016x}", request_hash(request)),
            model: self.options.model.clone(),
            prompt: answer::prompt_tokens(&chat.messages),
        };
        if let Some(EngineFault::Status(status)) = fault {
            return respond_error(connection, status, "injected failure");
        }
        if chat.stream {
            let with_usage = chat.stream_options.is_some_and(|o| o.include_usage);
            exchange.stream(connection, with_usage)
        } else {
            exchange.whole(connection)
        }
    }

    fn submit(
        &self,
        request: &Request,
        chat: &ChatRequest,
        plan: &PlannedAnswer,
    ) -> Result<(Running<'_>, Option<EngineFault>), EngineFull> {
        let work = Work {
            priority: chat.priority,
            prompt: answer::prompt_tokens(&chat.messages),
            prefix_hashes: answer::prefix_hashes(&chat.messages, self.options.speed.block),
            output: Tokens(plan.tokens.len() as u64),
        };
        let (sender, receiver) = unbounded();
        let mut core = self.core();
        let seen = core.seen.len();
        core.seen.push(SeenRequest {
            id: CompactString::from(request.head.headers.get("x-request-id").unwrap_or("")),
            body: Bytes(request.body.len() as u64),
            body_xxh3: request_hash(request),
            has_run: false,
            priority: chat.priority,
            cached: Tokens(0),
            generated: Tokens(0),
            is_cancelled: false,
        });
        if core.is_leaving {
            return Err(EngineFull);
        }
        let mut id = None;
        // A continuation may have nothing left to generate.
        if !plan.tokens.is_empty() {
            // Steps that are due are run by the batching thread; a step that
            // starts a little late only delays this request.
            let now = self.started.elapsed();
            let accepted = core.model.submit(now, work)?;
            core.tokens.insert(accepted, sender);
            id = Some(accepted);
        }
        core.seen[seen].has_run = true;
        let once = core.next_faults.pop_front();
        let fault = once.or(core.fault);
        self.note_load(&mut core);
        drop(core);
        self.changed.notify_all();
        let running = Running {
            engine: self,
            work: id,
            seen,
            tokens: receiver,
        };
        Ok((running, fault))
    }
}

/// One accepted chat request and how it is answered.
struct Exchange<'a> {
    running: Running<'a>,
    plan: PlannedAnswer,
    fault: Option<EngineFault>,
    id: String,
    model: CompactString,
    prompt: Tokens,
}

impl Exchange<'_> {
    fn finish_reason(&self) -> &'static str {
        if self.plan.is_whole { "stop" } else { "length" }
    }

    fn usage(&self, cached: Tokens) -> Value {
        let completion = self.plan.tokens.len() as u64;
        json!({
            "prompt_tokens": self.prompt.0,
            "completion_tokens": completion,
            "total_tokens": self.prompt.0 + completion,
            "prompt_tokens_details": { "cached_tokens": cached.0 },
        })
    }

    fn whole(&self, connection: &mut Connection) -> Result<Next, MessageError> {
        let mut cached = Tokens(0);
        for index in 0..self.plan.tokens.len() {
            match self.fault {
                Some(EngineFault::StallAfter(count)) if count == index => {
                    return self.stall(connection);
                }
                Some(EngineFault::CutAfter(count)) if count == index => return cut(connection),
                _ => {}
            }
            match self.running.next(connection) {
                Step::Token(generated) => cached = generated.cached,
                Step::CallerGone | Step::Stopped => return Ok(Next::Close),
            }
        }
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": created_s(),
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.plan.tokens.concat() },
                "finish_reason": self.finish_reason(),
            }],
            "usage": self.usage(cached),
        });
        match self.fault {
            Some(EngineFault::WrongLength | EngineFault::TruncatedChunk(_)) => {
                respond_with_wrong_length(connection, &body)
            }
            _ => respond_json(connection, 200, Headers::new(), &body),
        }
    }

    fn stream(&self, connection: &mut Connection, with_usage: bool) -> Result<Next, MessageError> {
        let mut cached = Tokens(0);
        for (index, token) in self.plan.tokens.iter().enumerate() {
            match self.fault {
                Some(EngineFault::CutAfter(count)) if count == index => return cut(connection),
                Some(EngineFault::StallAfter(count)) if count == index => {
                    return self.stall(connection);
                }
                Some(EngineFault::TruncatedChunk(count)) if count == index => {
                    self.start_if_first(connection, index)?;
                    return truncate(connection, &self.chunk(json!({ "content": token }), None));
                }
                _ => {}
            }
            match self.running.next(connection) {
                Step::Token(generated) => cached = generated.cached,
                Step::CallerGone | Step::Stopped => return Ok(Next::Close),
            }
            self.start_if_first(connection, index)?;
            let chunk = self.chunk(json!({ "content": token }), None);
            write_chunk(connection, chunk.as_bytes(), write_deadline())?;
        }
        if self.plan.tokens.is_empty() {
            self.start_if_first(connection, 0)?;
        }
        self.end_stream(connection, with_usage.then_some(cached))
    }

    fn start_if_first(
        &self,
        connection: &mut Connection,
        index: usize,
    ) -> Result<(), MessageError> {
        if index > 0 {
            return Ok(());
        }
        let headers = Headers::new().with_field("content-type", "text/event-stream");
        start_chunked(connection, 200, headers, write_deadline())?;
        let chunk = self.chunk(json!({ "role": "assistant", "content": "" }), None);
        write_chunk(connection, chunk.as_bytes(), write_deadline())
    }

    fn end_stream(
        &self,
        connection: &mut Connection,
        usage_with_cached: Option<Tokens>,
    ) -> Result<Next, MessageError> {
        let last = self.chunk(json!({}), Some(self.finish_reason()));
        if self.fault == Some(EngineFault::WrongLength) {
            return write_wrong_chunk(connection, &last);
        }
        write_chunk(connection, last.as_bytes(), write_deadline())?;
        if let Some(cached) = usage_with_cached {
            let mut usage = self.chunk_value(json!([]));
            usage["usage"] = self.usage(cached);
            let event = format!("data: {usage}\n\n");
            write_chunk(connection, event.as_bytes(), write_deadline())?;
        }
        if self.fault != Some(EngineFault::NoDone) {
            write_chunk(connection, b"data: [DONE]\n\n", write_deadline())?;
        }
        end_chunked(connection, write_deadline())?;
        Ok(Next::Keep)
    }

    fn chunk(&self, delta: Value, finish_reason: Option<&str>) -> String {
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish_reason });
        format!("data: {}\n\n", self.chunk_value(json!([choice])))
    }

    fn chunk_value(&self, choices: Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": created_s(),
            "model": self.model,
            "choices": choices,
        })
    }

    fn stall(&self, connection: &mut Connection) -> Result<Next, MessageError> {
        while !matches!(
            self.running.next(connection),
            Step::CallerGone | Step::Stopped
        ) {}
        // The model is done or stopped, but the caller may still wait.
        while !connection.is_closed_by_peer() && !self.running.engine.core().is_stopping {
            thread::sleep(CALLER_CHECK_INTERVAL);
        }
        Ok(Next::Close)
    }
}

/// Prometheus text with the metric names of vLLM.
pub fn metrics_text(name: &str, load: ModelLoad, incarnation: Incarnation) -> String {
    let cache = f64::from(load.cache_permille) / 1_000.0;
    format!(
        "# TYPE vllm:num_requests_running gauge\n\
         vllm:num_requests_running{{model_name=\"{name}\"}} {}\n\
         # TYPE vllm:num_requests_waiting gauge\n\
         vllm:num_requests_waiting{{model_name=\"{name}\"}} {}\n\
         # TYPE vllm:kv_cache_usage_perc gauge\n\
         vllm:kv_cache_usage_perc{{model_name=\"{name}\"}} {cache}\n\
         # TYPE cardamombridge_standin_incarnation gauge\n\
         cardamombridge_standin_incarnation{{incarnation=\"{incarnation}\"}} {}\n",
        load.running, load.waiting, incarnation.0,
    )
}

fn request_hash(request: &Request) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&request.body)
}

fn created_s() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn respond_error(
    connection: &mut Connection,
    status: u16,
    message: &str,
) -> Result<Next, MessageError> {
    let body = json!({ "error": { "message": message, "type": "error", "code": status } });
    respond_json(connection, status, Headers::new(), &body)
}

/// Closes the connection at once.
pub fn cut(connection: &Connection) -> Result<Next, MessageError> {
    connection.stream().shutdown(Shutdown::Both)?;
    Ok(Next::Close)
}

fn truncate(connection: &mut Connection, chunk: &str) -> Result<Next, MessageError> {
    let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
    bytes.extend_from_slice(&chunk.as_bytes()[..chunk.len() / 2]);
    connection.write_all(&bytes, write_deadline())?;
    cut(connection)
}

fn write_wrong_chunk(connection: &mut Connection, chunk: &str) -> Result<Next, MessageError> {
    let length = chunk.len().saturating_sub(WRONG_LENGTH_BYTES);
    let bytes = format!("{length:x}\r\n{chunk}\r\n0\r\n\r\n");
    connection.write_all(bytes.as_bytes(), write_deadline())?;
    Ok(Next::Close)
}

fn respond_with_wrong_length(
    connection: &mut Connection,
    body: &Value,
) -> Result<Next, MessageError> {
    let text = body.to_string();
    let length = text.len() + WRONG_LENGTH_BYTES;
    let headers = Headers::new()
        .with_field("content-type", "application/json")
        .with_field("content-length", &length.to_string());
    let head = ResponseHead {
        status: 200,
        headers,
    };
    let mut bytes = head.encode().into_bytes();
    bytes.extend_from_slice(text.as_bytes());
    connection.write_all(&bytes, write_deadline())?;
    Ok(Next::Close)
}
