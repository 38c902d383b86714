//! Relays one request and its response between a caller and the endpoints
//! chosen for it.
//!
//! The relay executes the actions that the decider returns and reports the
//! outcome of each attempt, until the caller has its final response. A response
//! without its proper end is never presented as complete.

mod attempt;
mod forward;
mod response;

pub use self::forward::forward_request;

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
    byte_pool::BytePool,
    clock,
    decider::DeciderHandle,
    decision::{
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::client::HttpRequest,
    openai::{
        self,
        ChatRequest,
        ErrorAnswer, //
    },
    outcome::{
        Claim,
        Sent,
        Unsent, //
    },
    peer::client::PeerClient,
    recorder::Ending,
    sink::ResponseSink,
    types::{
        Attempt,
        HostId,
        Millis,
        RegionId,
        RequestId,
        Tokens, //
    }, //
};

/// How often a waiting exchange checks that its caller is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the deadline in which the decider sends the final action.
const DECISION_GRACE: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that was shed because the event ring was full.
const SHED_RETRY_AFTER_MS: Millis = Millis(1_000);

/// The request that is sent to an endpoint.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A chat completion.
    Chat(Box<ChatRequest>),
    /// A call of a service that is not a model.
    Service(HttpRequest),
}

/// Dependencies of the relay that all requests share.
#[derive(Clone)]
pub struct RelayContext {
    /// Handle of the thread that makes the routing decisions.
    pub decider: DeciderHandle,
    /// Opens connections to other hosts.
    pub peers: PeerClient,
    /// This host.
    pub host: HostId,
    /// The region of this host.
    pub region: RegionId,
    /// Memory that all buffered responses share.
    pub response_memory: BytePool,
}

/// One request to be relayed.
#[derive(Debug)]
pub struct Exchange {
    /// What the routing decisions use of the request.
    pub arrival: Arrival,
    /// The request as it is sent to an endpoint.
    pub payload: Payload,
}

/// Progress of a streamed response over all attempts.
#[derive(Debug, Default)]
struct StreamProgress {
    is_started: bool,
    response_id: Option<CompactString>,
    text: String,
    tokens: Tokens,
    usage: openai::Usage,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The complete response was sent to the caller.
    Completed(Sent),
    /// There is no complete response, and no error response was sent yet.
    Failed {
        /// Reason for the error response.
        refusal: Refusal,
        /// Whether the request may have run.
        claim: Claim,
        /// Whether part of the response was sent to the caller.
        has_delivered: bool,
    },
    /// The caller disconnected before the response was complete.
    CallerDisconnected,
}

/// Measurements of the response that the caller received.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeliveredStats {
    /// When the first token was sent to the caller.
    pub first_token_at: Option<Instant>,
    /// Number of generated tokens.
    pub output_tokens: Tokens,
    /// Number of prompt tokens that the endpoint had cached.
    pub cached_tokens: Tokens,
}

/// Relays one request and sends the caller its final response, which may be an
/// error response.
pub fn serve(
    context: &RelayContext,
    exchange: Exchange,
    sink: &mut ResponseSink<'_, '_>,
) -> (Ending, DeliveredStats) {
    let request = exchange.arrival.request;
    let (outcome, delivered) = execute(context, exchange, Unsent::new(), sink);
    let ending = match outcome {
        ExchangeOutcome::Completed(_) => Ending::Whole,
        ExchangeOutcome::CallerDisconnected => Ending::CallerGone,
        ExchangeOutcome::Failed {
            refusal,
            claim,
            has_delivered,
        } => {
            let state = claim.into_state(has_delivered);
            let response = ErrorAnswer::from_refusal(refusal, state);
            log_failed_request(request, &response);
            sink.write_error(&response);
            Ending::GivenUp(state.word())
        }
    };
    (ending, delivered)
}

/// Logs the error response that ends a request.
pub fn log_failed_request(request: RequestId, response: &ErrorAnswer) {
    tracing::info!(
        %request,
        status = response.status,
        code = %response.body.error.code,
        run_state = %response.body.error.run_state,
        "request failed; the caller receives an error response"
    );
}

/// Relays one request until its outcome is known; sends no error response.
pub fn execute(
    context: &RelayContext,
    exchange: Exchange,
    unsent: Unsent,
    sink: &mut ResponseSink<'_, '_>,
) -> (ExchangeOutcome, DeliveredStats) {
    let mut relay = Relay {
        context,
        deadline: clock::instant_of(exchange.arrival.deadline_ms),
        arrival: exchange.arrival.clone(),
        payload: exchange.payload,
        sink,
        claim: Claim::Unsent(unsent),
        stream: StreamProgress::default(),
        delivered: DeliveredStats::default(),
    };
    let outcome = match context.decider.submit(exchange.arrival) {
        Ok(actions) => relay.execute_actions(&actions),
        Err(error) => {
            tracing::warn!(request = %relay.arrival.request, %error, "could not pass the request to the decider; it is refused");
            let refusal =
                Refusal::new(RefusalReason::Overloaded).with_retry_after(SHED_RETRY_AFTER_MS);
            relay.failed(refusal)
        }
    };
    (outcome, relay.delivered)
}

struct Relay<'a, 'b, 'c> {
    context: &'a RelayContext,
    arrival: Arrival,
    deadline: Instant,
    payload: Payload,
    sink: &'a mut ResponseSink<'b, 'c>,
    claim: Claim,
    stream: StreamProgress,
    delivered: DeliveredStats,
}

/// Why an attempt has no complete response.
enum RelayError {
    /// The upstream connection failed, or its response was incomplete.
    Upstream,
    /// The caller disconnected.
    Caller,
}

/// Where an attempt sends the request.
enum Destination {
    Endpoint(SocketAddr),
    Host {
        host: HostId,
        address: SocketAddr,
        allowed: AllowedRegions,
    },
}

impl Relay<'_, '_, '_> {
    fn execute_actions(&mut self, actions: &Receiver<Action>) -> ExchangeOutcome {
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
                Some(Action::Refuse { refusal, .. }) => return self.failed(refusal),
                Some(_) => continue,
                None => {
                    let outcome = self.caller_disconnected();
                    self.report_end(last_attempt, outcome);
                    return ExchangeOutcome::CallerDisconnected;
                }
            };
            last_attempt = attempt;
            let outcome = self.attempt(attempt, destination);
            let final_outcome = self.final_outcome(&outcome);
            self.report_end(attempt, outcome);
            if let Some(outcome) = final_outcome {
                return outcome;
            }
        }
    }

    fn report_end(&self, attempt: Attempt, outcome: AttemptOutcome) {
        let request = self.arrival.request;
        self.context.decider.ended(request, attempt, outcome);
    }

    fn final_outcome(&mut self, outcome: &AttemptOutcome) -> Option<ExchangeOutcome> {
        match outcome {
            AttemptOutcome::Complete { .. } | AttemptOutcome::Failed { .. } => {
                match self.claim.take() {
                    Claim::Sent(sent) => Some(ExchangeOutcome::Completed(sent)),
                    _ => Some(ExchangeOutcome::CallerDisconnected),
                }
            }
            AttemptOutcome::CallerDisconnected { .. } => Some(ExchangeOutcome::CallerDisconnected),
            AttemptOutcome::Truncated { .. } => {
                let refusal = Refusal::new(RefusalReason::RetriesExhausted);
                Some(self.failed(refusal))
            }
            AttemptOutcome::NotSent
            | AttemptOutcome::Rejected { .. }
            | AttemptOutcome::Interrupted { .. } => None,
        }
    }

    /// Waits for the next action; `None` if the caller disconnected.
    fn next_action(&mut self, actions: &Receiver<Action>) -> Option<Action> {
        loop {
            match actions.recv_timeout(CALLER_POLL_INTERVAL) {
                Ok(action) => return Some(action),
                Err(RecvTimeoutError::Timeout) if self.sink.is_disconnected() => return None,
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

    fn failed(&mut self, refusal: Refusal) -> ExchangeOutcome {
        ExchangeOutcome::Failed {
            refusal,
            claim: self.claim.take(),
            has_delivered: self.stream.is_started,
        }
    }

    fn is_stream(&self) -> bool {
        matches!(&self.payload, Payload::Chat(chat) if chat.is_stream)
    }

    fn interrupted(&self) -> AttemptOutcome {
        let delivered = self.stream.tokens;
        let can_resume = matches!(&self.payload, Payload::Chat(chat) if chat.is_resumable);
        if self.stream.is_started && !can_resume {
            return AttemptOutcome::Truncated {
                delivered_tokens: delivered,
            };
        }
        AttemptOutcome::Interrupted {
            delivered_tokens: delivered,
        }
    }

    fn caller_disconnected(&self) -> AttemptOutcome {
        AttemptOutcome::CallerDisconnected {
            wasted_tokens: self.stream.tokens,
        }
    }
}
