//! Carries one exchange between a caller and the endpoints chosen for it.
//!
//! The relay asks the decider what to do, does it, reports how it ended, and
//! repeats until the caller has its final answer. An answer without its proper
//! end is never passed on as complete.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    RecvTimeoutError, //
};

use crate::{
    clock,
    decider::DeciderHandle,
    decision::event::{
        Action,
        Arrival,
        AttemptOutcome,
        Event,
        Refusal,
        RefusalReason, //
    },
    http::{
        client::{
            self,
            Answer,
            Call, //
        },
        message::{
            Framing,
            Headers,
            MessageError, //
        }, //
    },
    openai::{
        self,
        ChatRequest,
        ErrorAnswer,
        EventSplitter,
        StreamEvent, //
    },
    outcome::{
        RunState,
        Sent,
        Unsent, //
    },
    sink::AnswerSink,
    types::{
        Attempt,
        Millis,
        RequestId,
        Target,
        Tokens, //
    }, //
};

/// How often a waiting exchange checks that its caller is still there.
const CALLER_POLL: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence between two tokens of a stream.
const STALL_LIMIT: Duration = Duration::from_secs(5);
/// Time past the deadline in which the decider gives the final answer.
const DECISION_GRACE: Duration = Duration::from_secs(1);
/// Largest plain answer that is held until its end is seen.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest single event of a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// When to come back after the event ring was full.
const SHED_RETRY_AFTER_MS: Millis = Millis(1_000);

/// What is sent to an endpoint.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A chat completion.
    Chat(Box<ChatRequest>),
    /// A call of a plain service.
    Service(Call),
}

/// One request on its way.
#[derive(Debug)]
pub struct Exchange {
    /// The request as the decisions see it.
    pub arrival: Arrival,
    /// What is sent.
    pub payload: Payload,
}

/// Whether any byte of the request has left this host so far.
#[derive(Debug)]
pub enum Claim {
    /// None has.
    Unsent(Unsent),
    /// Some may have.
    Sent(Sent),
    /// The final answer has been given.
    Settled,
}

impl Claim {
    fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Settled)
    }

    /// What the caller is told.
    pub fn into_state(self, has_delivered: bool) -> RunState {
        match self {
            _ if has_delivered => RunState::Partial,
            Self::Unsent(unsent) => RunState::NotRun(unsent.give_up()),
            Self::Sent(_) | Self::Settled => RunState::Unknown,
        }
    }
}

/// Progress of a stream over all attempts.
#[derive(Debug, Default)]
struct StreamProgress {
    is_started: bool,
    answer_id: Option<CompactString>,
    text: String,
    tokens: Tokens,
    usage: openai::Usage,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Settlement {
    /// The whole answer was passed on.
    Answered(Sent),
    /// There is no whole answer, and the caller still has to be told.
    GivenUp {
        /// Why.
        refusal: Refusal,
        /// Whether the request may have run.
        claim: Claim,
        /// Whether part of the answer was passed on.
        has_delivered: bool,
    },
    /// Nobody waits for an answer any more.
    CallerGone,
}

/// Serves one request and gives the caller its final answer.
pub fn run(decider: &DeciderHandle, exchange: Exchange, sink: &mut AnswerSink) {
    let request = exchange.arrival.request;
    let settlement = carry(decider, exchange, Unsent::new(), sink);
    if let Settlement::GivenUp {
        refusal,
        claim,
        has_delivered,
    } = settlement
    {
        let state = claim.into_state(has_delivered);
        let answer = ErrorAnswer::from_refusal(refusal, state);
        log_given_up(request, &answer);
        sink.give_up(&answer);
    }
}

/// Logs the final answer of a request without a result.
pub fn log_given_up(request: RequestId, answer: &ErrorAnswer) {
    tracing::info!(
        %request,
        status = answer.status,
        code = %answer.body.error.code,
        run_state = %answer.body.error.run_state,
        "request given up"
    );
}

/// Carries one request until it is settled; writes no error answer.
pub fn carry(
    decider: &DeciderHandle,
    exchange: Exchange,
    unsent: Unsent,
    sink: &mut AnswerSink,
) -> Settlement {
    let mut relay = Relay {
        decider,
        request: exchange.arrival.request,
        target: exchange.arrival.target.clone(),
        deadline: clock::instant_of(exchange.arrival.deadline_ms),
        payload: exchange.payload,
        sink,
        claim: Claim::Unsent(unsent),
        stream: StreamProgress::default(),
    };
    match decider.submit(exchange.arrival) {
        Ok(actions) => relay.follow(&actions),
        Err(error) => {
            tracing::warn!(request = %relay.request, %error, "request shed");
            let refusal =
                Refusal::new(RefusalReason::Overloaded).with_retry_after(SHED_RETRY_AFTER_MS);
            relay.give_up(refusal)
        }
    }
}

struct Relay<'a> {
    decider: &'a DeciderHandle,
    request: RequestId,
    target: Target,
    deadline: Instant,
    payload: Payload,
    sink: &'a mut AnswerSink,
    claim: Claim,
    stream: StreamProgress,
}

/// Why an attempt has no whole answer.
enum Broken {
    /// The upstream connection failed or its answer was not whole.
    Upstream,
    /// The caller went away.
    Caller,
}

impl Relay<'_> {
    fn follow(&mut self, actions: &Receiver<Action>) -> Settlement {
        let mut attempt = Attempt::default();
        loop {
            match self.next_action(actions) {
                Some(Action::Send {
                    attempt: number,
                    address,
                    ..
                }) => {
                    attempt = number;
                    let outcome = self.attempt(attempt, address);
                    let settled = self.settled_by(&outcome);
                    self.decider.ended(self.request, attempt, outcome);
                    if let Some(settlement) = settled {
                        return settlement;
                    }
                }
                Some(Action::Refuse { refusal, .. }) => return self.give_up(refusal),
                Some(_) => {}
                None => {
                    let outcome = self.caller_gone();
                    self.decider.ended(self.request, attempt, outcome);
                    return Settlement::CallerGone;
                }
            }
        }
    }

    fn settled_by(&mut self, outcome: &AttemptOutcome) -> Option<Settlement> {
        match outcome {
            AttemptOutcome::Complete { .. } | AttemptOutcome::Failed { .. } => {
                match self.claim.take() {
                    Claim::Sent(sent) => Some(Settlement::Answered(sent)),
                    _ => Some(Settlement::CallerGone),
                }
            }
            AttemptOutcome::CallerGone { .. } => Some(Settlement::CallerGone),
            AttemptOutcome::NotSent
            | AttemptOutcome::Rejected { .. }
            | AttemptOutcome::Interrupted { .. } => None,
        }
    }

    /// Waits for the next action; `None` if the caller is gone.
    fn next_action(&mut self, actions: &Receiver<Action>) -> Option<Action> {
        loop {
            match actions.recv_timeout(CALLER_POLL) {
                Ok(action) => return Some(action),
                Err(RecvTimeoutError::Timeout) if self.sink.is_gone() => return None,
                Err(RecvTimeoutError::Timeout)
                    if Instant::now() < self.deadline + DECISION_GRACE => {}
                Err(_) => {
                    return Some(Action::Refuse {
                        request: self.request,
                        refusal: Refusal::new(RefusalReason::DeadlinePassed),
                    });
                }
            }
        }
    }

    fn give_up(&mut self, refusal: Refusal) -> Settlement {
        Settlement::GivenUp {
            refusal,
            claim: self.claim.take(),
            has_delivered: self.stream.is_started,
        }
    }

    fn attempt(&mut self, attempt: Attempt, address: SocketAddr) -> AttemptOutcome {
        let mut connection = match client::connect(address, self.connect_timeout()) {
            Ok(connection) => connection,
            Err(error) => {
                tracing::debug!(request = %self.request, %address, %error, "could not connect");
                return AttemptOutcome::NotSent;
            }
        };
        let is_first_send = self.mark_sent();
        let call = self.call();
        let sent = client::send(&mut connection, &call, self.deadline);
        let answer = match sent.map(|()| self.wait_for_head(connection)) {
            Ok(Ok(answer)) => answer,
            Ok(Err(Broken::Caller)) => return self.caller_gone(),
            Ok(Err(Broken::Upstream)) => return self.interrupted(),
            Err(error) => {
                tracing::debug!(request = %self.request, %address, %error, "could not send");
                return self.interrupted();
            }
        };
        if self.is_rejection(&answer) {
            if is_first_send {
                self.restore_unsent();
            }
            return rejection(&answer);
        }
        self.pass_on(attempt, answer)
    }

    fn connect_timeout(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.clamp(Duration::from_millis(1), CONNECT_TIMEOUT)
    }

    /// Records that bytes leave now; returns whether they are the first ones.
    fn mark_sent(&mut self) -> bool {
        let (claim, is_first) = match self.claim.take() {
            Claim::Unsent(unsent) => (Claim::Sent(unsent.mark_sent()), true),
            other => (other, false),
        };
        self.claim = claim;
        is_first
    }

    fn restore_unsent(&mut self) {
        self.claim = match self.claim.take() {
            Claim::Sent(sent) => Claim::Unsent(sent.refused_by_executor()),
            other => other,
        };
    }

    fn call(&self) -> Call {
        match &self.payload {
            Payload::Service(call) => call.clone(),
            Payload::Chat(chat) => Call {
                method: "POST".into(),
                path: "/v1/chat/completions".into(),
                headers: Headers::new()
                    .with_field("content-type", "application/json")
                    .with_field("x-request-id", &self.request.to_string()),
                body: if self.stream.tokens == Tokens(0) {
                    chat.engine_body()
                } else {
                    chat.continuation_body(&self.stream.text, self.stream.tokens)
                },
            },
        }
    }

    /// Waits until the answer starts, while the caller is there.
    fn wait_for_head(
        &mut self,
        mut connection: crate::http::connection::Connection,
    ) -> Result<Answer, Broken> {
        loop {
            let until = self.deadline.min(Instant::now() + CALLER_POLL);
            match connection.read_response_head(until) {
                Ok(head) => {
                    let framing = head.framing().map_err(|_| Broken::Upstream)?;
                    return Ok(Answer {
                        body: crate::http::connection::BodyReader::new(framing),
                        head,
                        connection,
                    });
                }
                Err(MessageError::TimedOut) => self.check_waiting(None)?,
                Err(error) => {
                    tracing::debug!(request = %self.request, %error, "no answer");
                    return Err(Broken::Upstream);
                }
            }
        }
    }

    fn check_waiting(&self, last_byte: Option<Instant>) -> Result<(), Broken> {
        if self.sink.is_gone() {
            return Err(Broken::Caller);
        }
        let now = Instant::now();
        let is_stalled = last_byte.is_some_and(|last| now >= last + STALL_LIMIT);
        if now >= self.deadline || is_stalled {
            return Err(Broken::Upstream);
        }
        Ok(())
    }

    // Only an engine is known to refuse with these before it runs a request; a
    // plain service may answer 503 after it has done part of the work.
    fn is_rejection(&self, answer: &Answer) -> bool {
        matches!(self.target, Target::Model(_)) && matches!(answer.head.status, 429 | 503)
    }

    fn pass_on(&mut self, attempt: Attempt, answer: Answer) -> AttemptOutcome {
        let is_stream = matches!(&self.payload, Payload::Chat(chat) if chat.is_stream)
            && answer.head.status == 200;
        let result = if is_stream {
            self.pass_stream(attempt, answer)
        } else {
            self.pass_whole(attempt, answer)
        };
        match result {
            Ok(outcome) => outcome,
            Err(Broken::Caller) => self.caller_gone(),
            Err(Broken::Upstream) => self.interrupted(),
        }
    }

    fn pass_whole(
        &mut self,
        attempt: Attempt,
        mut answer: Answer,
    ) -> Result<AttemptOutcome, Broken> {
        // Without a length or chunks, a cut looks like the end.
        if answer.head.framing().ok() == Some(Framing::UntilClose) {
            return Err(Broken::Upstream);
        }
        let mut body = Vec::new();
        let mut last_byte = Instant::now();
        while !answer.body.is_complete() {
            let until = self.deadline.min(Instant::now() + CALLER_POLL);
            match answer
                .body
                .read_piece(&mut answer.connection, &mut body, until)
            {
                Ok(_) => last_byte = Instant::now(),
                Err(MessageError::TimedOut) => self.check_waiting(Some(last_byte))?,
                Err(_) => return Err(Broken::Upstream),
            }
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Broken::Upstream);
            }
        }
        let status = answer.head.status;
        let is_chat = matches!(self.payload, Payload::Chat(_));
        if is_chat && status == 200 && !openai::is_whole_answer(&body) {
            return Err(Broken::Upstream);
        }
        self.report_first_token(attempt);
        let headers = passed_headers(&answer.head.headers);
        self.sink
            .whole(status, headers, &body)
            .map_err(|_| Broken::Caller)?;
        if is_chat && status != 200 {
            return Ok(AttemptOutcome::Failed { status });
        }
        let usage = openai::usage(&body);
        Ok(AttemptOutcome::Complete {
            output: usage.output,
            cached: usage.cached,
        })
    }

    fn pass_stream(
        &mut self,
        attempt: Attempt,
        mut answer: Answer,
    ) -> Result<AttemptOutcome, Broken> {
        let is_continued = self.stream.tokens > Tokens(0);
        let mut splitter = EventSplitter::new();
        let mut piece = Vec::new();
        let mut last_byte = None;
        let mut is_finished = false;
        loop {
            piece.clear();
            let until = self.deadline.min(Instant::now() + CALLER_POLL);
            match answer
                .body
                .read_piece(&mut answer.connection, &mut piece, until)
            {
                Ok(0) => return Err(Broken::Upstream),
                Ok(_) => last_byte = Some(Instant::now()),
                Err(MessageError::TimedOut) => {
                    self.check_waiting(last_byte)?;
                    continue;
                }
                Err(_) => return Err(Broken::Upstream),
            }
            splitter.push(&piece);
            while let Some(event) = splitter.next_event() {
                let text = std::str::from_utf8(&event).map_err(|_| Broken::Upstream)?;
                match StreamEvent::parse(text).map_err(|_| Broken::Upstream)? {
                    StreamEvent::Done if is_finished => return self.finish_stream(&event),
                    StreamEvent::Done | StreamEvent::Error => return Err(Broken::Upstream),
                    StreamEvent::Other => {
                        self.note_usage(text);
                        if !is_continued || is_finished {
                            self.pass_event(text, is_continued)?;
                        }
                    }
                    StreamEvent::Delta { content, is_finish } => {
                        self.note_usage(text);
                        self.pass_event(text, is_continued)?;
                        if self.stream.tokens == Tokens(0) {
                            self.report_first_token(attempt);
                        }
                        self.note_delta(&content);
                        is_finished |= is_finish;
                    }
                }
            }
            if splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Err(Broken::Upstream);
            }
        }
    }

    fn note_usage(&mut self, event: &str) {
        if let Some(usage) = openai::event_usage(event) {
            self.stream.usage = usage;
        }
    }

    fn note_delta(&mut self, content: &str) {
        if !content.is_empty() {
            self.stream.text.push_str(content);
            self.stream.tokens = self.stream.tokens + Tokens(1);
        }
    }

    fn pass_event(&mut self, event: &str, is_continued: bool) -> Result<(), Broken> {
        if !self.stream.is_started {
            let headers = Headers::new()
                .with_field("content-type", "text/event-stream")
                .with_field("cache-control", "no-cache");
            self.sink
                .start_stream(headers)
                .map_err(|_| Broken::Caller)?;
            self.stream.is_started = true;
            self.stream.answer_id = openai::answer_id(event);
        }
        let renamed = match &self.stream.answer_id {
            Some(id) if is_continued => openai::with_answer_id(event, id),
            _ => None,
        };
        let event = renamed.as_deref().unwrap_or(event);
        self.sink
            .piece(event.as_bytes())
            .map_err(|_| Broken::Caller)
    }

    fn finish_stream(&mut self, done: &[u8]) -> Result<AttemptOutcome, Broken> {
        self.sink.piece(done).map_err(|_| Broken::Caller)?;
        self.sink.end_stream().map_err(|_| Broken::Caller)?;
        Ok(AttemptOutcome::Complete {
            output: self.stream.tokens,
            cached: self.stream.usage.cached,
        })
    }

    fn report_first_token(&self, attempt: Attempt) {
        let event = Event::FirstToken {
            request: self.request,
            attempt,
        };
        // The decisions do without this event when the ring is full.
        let _ = self.decider.report(event);
    }

    fn interrupted(&self) -> AttemptOutcome {
        AttemptOutcome::Interrupted {
            delivered: self.stream.tokens,
        }
    }

    fn caller_gone(&self) -> AttemptOutcome {
        AttemptOutcome::CallerGone {
            wasted: self.stream.tokens,
        }
    }
}

fn rejection(answer: &Answer) -> AttemptOutcome {
    let retry_after_s = answer
        .head
        .headers
        .get("retry-after")
        .and_then(|text| text.parse::<u64>().ok());
    AttemptOutcome::Rejected {
        retry_after_ms: retry_after_s.map(|seconds| Millis(seconds.saturating_mul(1_000))),
        is_leaving: answer.head.headers.has_token("x-endpoint-state", "leaving"),
    }
}

/// Fields of an endpoint's answer that the caller gets.
fn passed_headers(headers: &Headers) -> Headers {
    const PASSED: [&str; 6] = [
        "content-type",
        "cache-control",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    ];
    let mut passed = Headers::new();
    for field in headers.iter() {
        if PASSED.contains(&field.name.as_str()) {
            passed.push(&field.name, &field.value);
        }
    }
    passed
}
