//! Sends a request to an endpoint or a host and waits for its response.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use super::{
    CALLER_POLL_INTERVAL,
    Destination,
    Payload,
    Relay,
    RelayError,
    forward::{
        chat_call,
        forward_head, //
    }, //
};
use crate::{
    decision::{
        event::{
            AttemptOutcome,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::{
        client::HttpRequest,
        message::is_refusal, //
    },
    outcome::{
        Claim,
        RunStateWord,
        Unsent, //
    },
    peer::{
        client::SendError,
        frame::Frame, //
    },
    types::{
        Attempt,
        HostId,
        Millis,
        Target,
        Tokens, //
    },
    upstream::{
        self,
        ReadError,
        Upstream,
        UpstreamHead,
        UpstreamReply, //
    }, //
};

/// Longest time between two reads of a response body.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

impl Relay<'_, '_, '_> {
    pub(super) fn attempt(&mut self, attempt: Attempt, destination: Destination) -> AttemptOutcome {
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
            Err(RelayError::Caller) => return self.caller_disconnected(),
            Err(RelayError::Upstream) => return self.interrupted(),
        };
        match reply {
            UpstreamReply::Refused { refusal, run_state } => {
                if run_state != RunStateWord::NotRun {
                    return self.interrupted();
                }
                if was_unsent {
                    self.claim.refused_by_executor();
                }
                AttemptOutcome::Rejected {
                    retry_after_ms: refusal.retry_after_ms,
                    is_leaving: refusal.reason == RefusalReason::Leaving,
                }
            }
            UpstreamReply::Response(head) if self.is_rejection(&upstream, &head) => {
                if was_unsent {
                    self.claim.refused_by_executor();
                }
                rejection(&head)
            }
            UpstreamReply::Response(head) if self.is_unstated_refusal(&head) => {
                tracing::warn!(request = %self.arrival.request, status = head.status, "refusal without a statement that the call was not run; it may have run");
                self.interrupted()
            }
            UpstreamReply::Response(head) => self.relay_response(attempt, upstream, &head),
        }
    }

    fn send_to_endpoint(&mut self, address: SocketAddr) -> Result<Upstream, AttemptOutcome> {
        let request = self.arrival.request;
        let connection = upstream::connect(address, self.deadline).map_err(|error| {
            tracing::debug!(%request, %address, %error, "could not connect to the endpoint; nothing was sent");
            AttemptOutcome::NotSent
        })?;
        self.claim.mark_sent();
        Upstream::send(connection, &self.call(), self.deadline).map_err(|error| {
            tracing::debug!(%request, %address, %error, "could not send the whole request to the endpoint; it may have run");
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
        let connection = peers
            .acquire(Some(host), address, self.deadline)
            .map_err(|error| {
                tracing::debug!(%request, %host, %error, "could not connect to the host; nothing was sent");
                AttemptOutcome::NotSent
            })?;
        let call = self.call();
        let is_stream = self.is_stream();
        let head = forward_head(self.context, &self.arrival, &call, allowed, is_stream);
        let frame = Frame::Forward(head);
        // A claim that an earlier attempt marked as sent stays so, whatever the
        // outcome of this attempt.
        let (unsent, earlier_claim) = match self.claim.take() {
            Claim::Unsent(unsent) => (unsent, None),
            other => (Unsent::new(), Some(other)),
        };
        let (claim, result) = match connection.send(unsent, &frame, &call.body, self.deadline) {
            Ok(exchange) => (Claim::Sent(Unsent::new().mark_sent()), Ok(exchange)),
            Err(SendError::NotSent { unsent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send to the host; nothing was sent");
                (Claim::Unsent(unsent), Err(AttemptOutcome::NotSent))
            }
            Err(SendError::PartlySent { sent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send the whole request to the host; it may have run");
                (Claim::Sent(sent), Err(self.interrupted()))
            }
        };
        self.claim = earlier_claim.unwrap_or(claim);
        result.map(Upstream::from_exchange)
    }

    fn call(&self) -> HttpRequest {
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

    /// Waits for the response head while the caller is connected.
    fn wait_for_head(&mut self, upstream: &mut Upstream) -> Result<UpstreamReply, RelayError> {
        loop {
            let until = Instant::now() + CALLER_POLL_INTERVAL;
            match upstream.read_head(until) {
                Ok(reply) => return Ok(reply),
                Err(ReadError::TimedOut) => self.check_wait(None)?,
                Err(ReadError::Failed) => return Err(RelayError::Upstream),
            }
        }
    }

    pub(super) fn check_wait(&mut self, last_byte: Option<Instant>) -> Result<(), RelayError> {
        if self.sink.is_disconnected() {
            return Err(RelayError::Caller);
        }
        let now = Instant::now();
        let is_stalled = last_byte.is_some_and(|last| now >= last + RESPONSE_STALL_TIMEOUT);
        // A complete response after the deadline is worth more to the caller than
        // a part of it.
        let is_late = now >= self.deadline && !self.stream.is_started;
        if is_late || is_stalled {
            return Err(RelayError::Upstream);
        }
        Ok(())
    }

    // Only an inference engine is known to return these statuses before it runs
    // a request; another service may return 503 after part of the work.
    fn is_rejection(&self, upstream: &Upstream, head: &UpstreamHead) -> bool {
        matches!(self.arrival.target, Target::Model(_))
            && matches!(upstream, Upstream::Endpoint { .. })
            && matches!(head.status, 429 | 503)
    }

    /// Returns whether a service refuses a call that must not be repeated, which its caller
    /// would take for the promise that the call has not run.
    fn is_unstated_refusal(&self, head: &UpstreamHead) -> bool {
        !self.arrival.is_repeatable && is_refusal(head.status)
    }
}

fn rejection(head: &UpstreamHead) -> AttemptOutcome {
    let retry_after_s = head
        .headers
        .get("retry-after")
        .and_then(|text| text.parse::<u64>().ok());
    AttemptOutcome::Rejected {
        retry_after_ms: retry_after_s.map(|seconds| Millis(seconds.saturating_mul(1_000))),
        is_leaving: head.headers.has_token("x-endpoint-state", "leaving"),
    }
}
