//! Carries one exchange between a caller and the endpoints chosen for it.
//!
//! The relay asks the decider what to do, does it, reports how it ended, and
//! repeats until the caller has its final answer. An answer without its proper
//! end is never passed on as complete.

mod attempt;
mod forward;
mod pass;

pub use self::forward::forward_of;

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
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::client::Call,
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
    sink::AnswerSink,
    types::{
        Attempt,
        HostId,
        Millis,
        RegionId,
        RequestId,
        Tokens, //
    }, //
};

/// How often a waiting exchange checks that its caller is still there.
const CALLER_POLL: Duration = Duration::from_millis(50);
/// Time past the deadline in which the decider gives the final answer.
const DECISION_GRACE: Duration = Duration::from_secs(1);
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
            AttemptOutcome::CallerDisconnected { .. } => Some(Settlement::CallerGone),
            AttemptOutcome::Truncated { .. } => {
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

    fn caller_gone(&self) -> AttemptOutcome {
        AttemptOutcome::CallerDisconnected {
            wasted_tokens: self.stream.tokens,
        }
    }
}
