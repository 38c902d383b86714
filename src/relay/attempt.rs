//! Sends a request to an endpoint or a host and waits for its answer.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use super::{
    Broken,
    CALLER_POLL,
    Destination,
    Payload,
    Relay,
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
    http::client::HttpRequest,
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

/// Longest silence between two tokens of a stream.
const STALL_LIMIT: Duration = Duration::from_secs(5);

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
            Err(Broken::Caller) => return self.caller_gone(),
            Err(Broken::Upstream) => return self.interrupted(),
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
            UpstreamReply::Response(head) => self.pass_on(attempt, upstream, &head),
        }
    }

    fn send_to_endpoint(&mut self, address: SocketAddr) -> Result<Upstream, AttemptOutcome> {
        let request = self.arrival.request;
        let connection = upstream::connect(address, self.deadline).map_err(|error| {
            tracing::debug!(%request, %address, %error, "could not connect");
            AttemptOutcome::NotSent
        })?;
        self.claim.mark_sent();
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
            .acquire(Some(host), address, self.deadline)
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
        let (claim, result) = match ready.send(unsent, &frame, &call.body, self.deadline) {
            Ok(exchange) => (Claim::Sent(Unsent::new().mark_sent()), Ok(exchange)),
            Err(SendError::NotSent { unsent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send");
                (Claim::Unsent(unsent), Err(AttemptOutcome::NotSent))
            }
            Err(SendError::PartlySent { sent, error }) => {
                tracing::debug!(%request, %host, %error, "could not send all");
                (Claim::Sent(sent), Err(self.interrupted()))
            }
        };
        self.claim = spent.unwrap_or(claim);
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

    /// Waits until the answer starts, while the caller is there.
    fn wait_for_head(&mut self, upstream: &mut Upstream) -> Result<UpstreamReply, Broken> {
        loop {
            let until = Instant::now() + CALLER_POLL;
            match upstream.read_head(until) {
                Ok(reply) => return Ok(reply),
                Err(ReadError::TimedOut) => self.check_waiting(None)?,
                Err(ReadError::Failed) => return Err(Broken::Upstream),
            }
        }
    }

    pub(super) fn check_waiting(&mut self, last_byte: Option<Instant>) -> Result<(), Broken> {
        if self.sink.is_disconnected() {
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
    fn is_rejection(&self, upstream: &Upstream, head: &UpstreamHead) -> bool {
        matches!(self.arrival.target, Target::Model(_))
            && matches!(upstream, Upstream::Endpoint { .. })
            && matches!(head.status, 429 | 503)
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
