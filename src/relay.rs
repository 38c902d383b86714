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
    decision::{
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Event,
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::{
        client::Call,
        message::Headers, //
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
        RunStateWord,
        Sent,
        Unsent, //
    },
    peer::{
        client::{
            PeerClient,
            StartError, //
        },
        frame::{
            ForwardHead,
            Frame, //
        }, //
    },
    recorder::Ending,
    sink::AnswerSink,
    types::{
        Attempt,
        Bytes,
        HostId,
        Millis,
        RegionId,
        RequestId,
        Target,
        Tokens, //
    },
    upstream::{
        self,
        AnswerHead,
        HostReply,
        ReadError,
        Upstream, //
    }, //
};

/// How often a waiting exchange checks that its caller is still there.
const CALLER_POLL: Duration = Duration::from_millis(50);
/// Longest silence between two tokens of a stream.
const STALL_LIMIT: Duration = Duration::from_secs(5);
/// Time past the deadline in which the decider gives the final answer.
const DECISION_GRACE: Duration = Duration::from_secs(1);
/// Largest plain answer that is held until its end is seen.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest single event of a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Longest wait for the end frame of a host whose stream has ended.
const END_FRAME_TIMEOUT: Duration = Duration::from_millis(200);
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

/// What the relay needs besides the request.
#[derive(Clone)]
pub struct RelayContext {
    /// Leads to the decisions.
    pub decider: DeciderHandle,
    /// Starts exchanges with other hosts.
    pub peers: PeerClient,
    /// This host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
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

/// What the caller has received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivered {
    /// When the first token was passed on.
    pub first_token_at: Option<Instant>,
    /// Generated tokens.
    pub output: Tokens,
    /// Prompt tokens that the endpoint had cached.
    pub cached: Tokens,
}

/// Serves one request and gives the caller its final answer.
pub fn run(
    context: &RelayContext,
    exchange: Exchange,
    sink: &mut AnswerSink<'_, '_>,
) -> (Ending, Delivered) {
    let request = exchange.arrival.request;
    let (settlement, delivered) = carry(context, exchange, Unsent::new(), sink);
    let ending = match settlement {
        Settlement::Answered(_) => Ending::Whole,
        Settlement::CallerGone => Ending::CallerGone,
        Settlement::GivenUp {
            refusal,
            claim,
            has_delivered,
        } => {
            let state = claim.into_state(has_delivered);
            let answer = ErrorAnswer::from_refusal(refusal, state);
            log_given_up(request, &answer);
            sink.give_up(&answer);
            Ending::GivenUp(state.word())
        }
    };
    (ending, delivered)
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
    context: &RelayContext,
    exchange: Exchange,
    unsent: Unsent,
    sink: &mut AnswerSink<'_, '_>,
) -> (Settlement, Delivered) {
    let mut relay = Relay {
        context,
        deadline: clock::instant_of(exchange.arrival.deadline_ms),
        arrival: exchange.arrival.clone(),
        payload: exchange.payload,
        sink,
        claim: Claim::Unsent(unsent),
        stream: StreamProgress::default(),
        delivered: Delivered::default(),
    };
    let settlement = match context.decider.submit(exchange.arrival) {
        Ok(actions) => relay.follow(&actions),
        Err(error) => {
            tracing::warn!(request = %relay.arrival.request, %error, "request shed");
            let refusal =
                Refusal::new(RefusalReason::Overloaded).with_retry_after(SHED_RETRY_AFTER_MS);
            relay.give_up(refusal)
        }
    };
    (settlement, relay.delivered)
}

struct Relay<'a, 'b, 'c> {
    context: &'a RelayContext,
    arrival: Arrival,
    deadline: Instant,
    payload: Payload,
    sink: &'a mut AnswerSink<'b, 'c>,
    claim: Claim,
    stream: StreamProgress,
    delivered: Delivered,
}

/// State of one upstream stream.
struct StreamReader {
    is_continued: bool,
    is_finished: bool,
    splitter: EventSplitter,
}

/// Why an attempt has no whole answer.
enum Broken {
    /// The upstream connection failed or its answer was not whole.
    Upstream,
    /// The caller went away.
    Caller,
}

/// Where an attempt goes.
enum Destination {
    Endpoint(SocketAddr),
    Host {
        host: HostId,
        address: SocketAddr,
        allowed: AllowedRegions,
    },
}

impl Relay<'_, '_, '_> {
    fn follow(&mut self, actions: &Receiver<Action>) -> Settlement {
        let mut last_attempt = Attempt::default();
        loop {
            let (attempt, destination) = match self.next_action(actions) {
                Some(Action::Send {
                    attempt, address, ..
                }) => (attempt, Destination::Endpoint(address)),
                Some(Action::Forward {
                    attempt,
                    host,
                    address,
                    allowed,
                    ..
                }) => {
                    let destination = Destination::Host {
                        host,
                        address,
                        allowed,
                    };
                    (attempt, destination)
                }
                Some(Action::Refuse { refusal, .. }) => return self.give_up(refusal),
                Some(_) => continue,
                None => {
                    let outcome = self.caller_gone();
                    self.report_end(last_attempt, outcome);
                    return Settlement::CallerGone;
                }
            };
            last_attempt = attempt;
            let outcome = self.attempt(attempt, destination);
            let settled = self.settled_by(&outcome);
            self.report_end(attempt, outcome);
            if let Some(settlement) = settled {
                return settlement;
            }
        }
    }

    fn report_end(&self, attempt: Attempt, outcome: AttemptOutcome) {
        let request = self.arrival.request;
        self.context.decider.ended(request, attempt, outcome);
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
            AttemptOutcome::Broken { .. } => {
                let refusal = Refusal::new(RefusalReason::RetriesExhausted);
                Some(self.give_up(refusal))
            }
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
                        request: self.arrival.request,
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

    fn attempt(&mut self, attempt: Attempt, destination: Destination) -> AttemptOutcome {
        let was_unsent = matches!(self.claim, Claim::Unsent(_));
        let sent = match destination {
            Destination::Endpoint(address) => self.send_to_endpoint(address),
            Destination::Host {
                host,
                address,
                allowed,
            } => self.send_to_host(&host, address, allowed),
        };
        let mut upstream = match sent {
            Ok(upstream) => upstream,
            Err(outcome) => return outcome,
        };
        let reply = match self.wait_for_head(&mut upstream) {
            Ok(reply) => reply,
            Err(Broken::Caller) => return self.caller_gone(),
            Err(Broken::Upstream) => return self.interrupted(),
        };
        match reply {
            HostReply::Refused { refusal, run_state } => {
                if run_state != RunStateWord::NotRun {
                    return self.interrupted();
                }
                self.restore_unsent(was_unsent);
                AttemptOutcome::Rejected {
                    retry_after_ms: refusal.retry_after_ms,
                    is_leaving: refusal.reason == RefusalReason::Leaving,
                }
            }
            HostReply::Answer(head) if self.is_rejection(&upstream, &head) => {
                self.restore_unsent(was_unsent);
                rejection(&head)
            }
            HostReply::Answer(head) => self.pass_on(attempt, upstream, &head),
        }
    }

    fn send_to_endpoint(&mut self, address: SocketAddr) -> Result<Upstream, AttemptOutcome> {
        let request = self.arrival.request;
        let connection = upstream::connect(address, self.deadline).map_err(|error| {
            tracing::debug!(%request, %address, %error, "could not connect");
            AttemptOutcome::NotSent
        })?;
        self.mark_sent();
        Upstream::send(connection, &self.call(), self.deadline).map_err(|error| {
            tracing::debug!(%request, %address, %error, "could not send");
            self.interrupted()
        })
    }

    fn send_to_host(
        &mut self,
        host: &HostId,
        address: SocketAddr,
        allowed: AllowedRegions,
    ) -> Result<Upstream, AttemptOutcome> {
        let request = self.arrival.request;
        let peers = &self.context.peers;
        let ready = peers
            .prepare(Some(host), address, self.deadline)
            .map_err(|error| {
                tracing::debug!(%request, %host, %error, "could not reach the host");
                AttemptOutcome::NotSent
            })?;
        let call = self.call();
        let is_stream = self.is_stream();
        let head = forward_head(self.context, &self.arrival, &call, allowed, is_stream);
        let frame = Frame::Forward(head);
        // A claim that is already spent stays so, whatever this attempt does.
        let (unsent, spent) = match self.claim.take() {
            Claim::Unsent(unsent) => (unsent, None),
            other => (Unsent::new(), Some(other)),
        };
        let (claim, result) = match ready.start(unsent, &frame, &call.body, self.deadline) {
            Ok(exchange) => (Claim::Sent(Unsent::new().mark_sent()), Ok(exchange)),
            Err(StartError::NotSent { unsent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send");
                (Claim::Unsent(unsent), Err(AttemptOutcome::NotSent))
            }
            Err(StartError::Sent { sent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send all");
                (Claim::Sent(sent), Err(self.interrupted()))
            }
        };
        self.claim = spent.unwrap_or(claim);
        result.map(Upstream::from_exchange)
    }

    /// Records that bytes leave now.
    fn mark_sent(&mut self) {
        self.claim = match self.claim.take() {
            Claim::Unsent(unsent) => Claim::Sent(unsent.mark_sent()),
            other => other,
        };
    }

    /// Takes the executor's word that it did not run the request; an earlier
    /// attempt may have run all the same.
    fn restore_unsent(&mut self, was_unsent: bool) {
        self.claim = match self.claim.take() {
            Claim::Sent(sent) if was_unsent => Claim::Unsent(sent.refused_by_executor()),
            other => other,
        };
    }

    fn is_stream(&self) -> bool {
        matches!(&self.payload, Payload::Chat(chat) if chat.is_stream)
    }

    fn call(&self) -> Call {
        match &self.payload {
            Payload::Service(call) => call.clone(),
            Payload::Chat(chat) if self.stream.tokens == Tokens(0) => {
                chat_call(self.arrival.request, chat.engine_body())
            }
            Payload::Chat(chat) => {
                let body = chat.continuation_body(&self.stream.text, self.stream.tokens);
                chat_call(self.arrival.request, body)
            }
        }
    }

    /// Waits until the answer starts, while the caller is there.
    fn wait_for_head(&mut self, upstream: &mut Upstream) -> Result<HostReply, Broken> {
        loop {
            let until = Instant::now() + CALLER_POLL;
            match upstream.read_head(until) {
                Ok(reply) => return Ok(reply),
                Err(ReadError::TimedOut) => self.check_waiting(None)?,
                Err(ReadError::Broken) => return Err(Broken::Upstream),
            }
        }
    }

    fn check_waiting(&mut self, last_byte: Option<Instant>) -> Result<(), Broken> {
        if self.sink.is_gone() {
            return Err(Broken::Caller);
        }
        let now = Instant::now();
        let is_stalled = last_byte.is_some_and(|last| now >= last + STALL_LIMIT);
        // A late whole answer is worth more to the caller than a part of it.
        let is_late = now >= self.deadline && !self.stream.is_started;
        if is_late || is_stalled {
            return Err(Broken::Upstream);
        }
        Ok(())
    }

    // Only an engine is known to refuse with these before it runs a request; a
    // plain service may answer 503 after it has done part of the work.
    fn is_rejection(&self, upstream: &Upstream, head: &AnswerHead) -> bool {
        matches!(self.arrival.target, Target::Model(_))
            && matches!(upstream, Upstream::Endpoint { .. })
            && matches!(head.status, 429 | 503)
    }

    fn pass_on(
        &mut self,
        attempt: Attempt,
        upstream: Upstream,
        head: &AnswerHead,
    ) -> AttemptOutcome {
        let result = if self.is_stream() && head.status == 200 {
            self.pass_stream(attempt, upstream)
        } else if self.stream.is_started {
            // The caller is in the middle of a stream, where no other head and
            // body can follow.
            Err(Broken::Upstream)
        } else {
            self.pass_whole(attempt, upstream, head)
        };
        match result {
            Ok(outcome) => outcome,
            Err(Broken::Caller) => self.caller_gone(),
            Err(Broken::Upstream) => self.interrupted(),
        }
    }

    /// Reads the next piece; false at the proper end of the body.
    fn read_piece(
        &mut self,
        upstream: &mut Upstream,
        piece: &mut Vec<u8>,
        last_byte: &mut Option<Instant>,
    ) -> Result<bool, Broken> {
        loop {
            let until = Instant::now() + CALLER_POLL;
            match upstream.read_piece(piece, until) {
                Ok(has_more) => {
                    *last_byte = Some(Instant::now());
                    return Ok(has_more);
                }
                Err(ReadError::TimedOut) => self.check_waiting(*last_byte)?,
                Err(ReadError::Broken) => return Err(Broken::Upstream),
            }
        }
    }

    fn pass_whole(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
        head: &AnswerHead,
    ) -> Result<AttemptOutcome, Broken> {
        let mut body = Vec::new();
        let mut last_byte = Some(Instant::now());
        while self.read_piece(&mut upstream, &mut body, &mut last_byte)? {
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Broken::Upstream);
            }
        }
        let status = head.status;
        let is_chat = matches!(self.payload, Payload::Chat(_));
        if is_chat && status == 200 && !openai::is_whole_answer(&body) {
            return Err(Broken::Upstream);
        }
        self.report_first_token(attempt);
        let headers = passed_headers(&head.headers);
        self.sink
            .whole(status, headers, &body)
            .map_err(|_| Broken::Caller)?;
        if is_chat && status != 200 {
            return Ok(AttemptOutcome::Failed { status });
        }
        let usage = openai::usage(&body);
        Ok(self.complete(usage.output, usage.cached))
    }

    fn pass_stream(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
    ) -> Result<AttemptOutcome, Broken> {
        let mut reader = StreamReader {
            is_continued: self.stream.tokens > Tokens(0),
            is_finished: false,
            splitter: EventSplitter::new(),
        };
        let mut piece = Vec::new();
        let mut last_byte = None;
        loop {
            piece.clear();
            if !self.read_piece(&mut upstream, &mut piece, &mut last_byte)? {
                return Err(Broken::Upstream);
            }
            reader.splitter.push(&piece);
            while let Some(event) = reader.splitter.next_event() {
                let text = std::str::from_utf8(&event).map_err(|_| Broken::Upstream)?;
                if self.pass_stream_event(attempt, &mut reader, text)? {
                    upstream.finish(Instant::now() + END_FRAME_TIMEOUT);
                    return self.finish_stream();
                }
            }
            if reader.splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Err(Broken::Upstream);
            }
        }
    }

    /// Passes on one event; returns whether it was the proper end.
    fn pass_stream_event(
        &mut self,
        attempt: Attempt,
        reader: &mut StreamReader,
        text: &str,
    ) -> Result<bool, Broken> {
        let event = StreamEvent::parse(text).map_err(|_| Broken::Upstream)?;
        self.note_usage(text);
        match event {
            StreamEvent::Done if reader.is_finished => {
                self.sink
                    .piece(text.as_bytes())
                    .map_err(|_| Broken::Caller)?;
                return Ok(true);
            }
            StreamEvent::Done | StreamEvent::Error => return Err(Broken::Upstream),
            StreamEvent::Other => {
                // A continued answer starts with the role once more.
                if !reader.is_continued || reader.is_finished {
                    self.pass_event(text, reader.is_continued)?;
                }
            }
            StreamEvent::Delta { content, is_finish } => {
                self.pass_event(text, reader.is_continued)?;
                if self.stream.tokens == Tokens(0) {
                    self.report_first_token(attempt);
                }
                self.note_delta(&content);
                reader.is_finished |= is_finish;
            }
        }
        Ok(false)
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

    fn finish_stream(&mut self) -> Result<AttemptOutcome, Broken> {
        self.sink.end_stream().map_err(|_| Broken::Caller)?;
        Ok(self.complete(self.stream.tokens, self.stream.usage.cached))
    }

    fn complete(&mut self, output: Tokens, cached: Tokens) -> AttemptOutcome {
        self.delivered.output = output;
        self.delivered.cached = cached;
        AttemptOutcome::Complete { output, cached }
    }

    fn report_first_token(&mut self, attempt: Attempt) {
        self.delivered.first_token_at = Some(Instant::now());
        let event = Event::FirstToken {
            request: self.arrival.request,
            attempt,
        };
        // The decisions do without this event when the ring is full.
        let _ = self.context.decider.report(event);
    }

    fn interrupted(&self) -> AttemptOutcome {
        let delivered = self.stream.tokens;
        // With no token left to generate, an engine could only add one too many.
        let has_more = delivered < self.arrival.max_output;
        let can_resume =
            has_more && matches!(&self.payload, Payload::Chat(chat) if chat.is_resumable);
        if self.stream.is_started && !can_resume {
            return AttemptOutcome::Broken { delivered };
        }
        AttemptOutcome::Interrupted { delivered }
    }

    fn caller_gone(&self) -> AttemptOutcome {
        AttemptOutcome::CallerGone {
            wasted: self.stream.tokens,
        }
    }
}

fn rejection(head: &AnswerHead) -> AttemptOutcome {
    let retry_after_s = head
        .headers
        .get("retry-after")
        .and_then(|text| text.parse::<u64>().ok());
    AttemptOutcome::Rejected {
        retry_after_ms: retry_after_s.map(|seconds| Millis(seconds.saturating_mul(1_000))),
        is_leaving: head.headers.has_token("x-endpoint-state", "leaving"),
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

fn chat_call(request: RequestId, body: Vec<u8>) -> Call {
    Call {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Headers::new()
            .with_field("content-type", "application/json")
            .with_field("x-request-id", &request.to_string()),
        body,
    }
}

/// Head and body of a request for another host.
pub fn forward_of(
    context: &RelayContext,
    exchange: &Exchange,
    allowed: AllowedRegions,
) -> (ForwardHead, Vec<u8>) {
    let (call, is_stream) = match &exchange.payload {
        Payload::Service(call) => (call.clone(), false),
        Payload::Chat(chat) => {
            let call = chat_call(exchange.arrival.request, chat.engine_body());
            (call, chat.is_stream)
        }
    };
    let head = forward_head(context, &exchange.arrival, &call, allowed, is_stream);
    (head, call.body)
}

fn forward_head(
    context: &RelayContext,
    arrival: &Arrival,
    call: &Call,
    allowed: AllowedRegions,
    is_stream: bool,
) -> ForwardHead {
    ForwardHead {
        request: arrival.request,
        caller: arrival.caller.clone(),
        target: arrival.target.clone(),
        tier: arrival.tier,
        prompt: arrival.prompt,
        max_output: arrival.max_output,
        prefix_hashes: arrival.prefix_hashes.clone(),
        deadline_ms: arrival.deadline_ms,
        is_repeatable: arrival.is_repeatable,
        origin_region: context.region.clone(),
        origin_host: context.host.clone(),
        allowed,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: upstream::to_fields(&call.headers),
        is_stream,
        body: Bytes(call.body.len() as u64),
    }
}
