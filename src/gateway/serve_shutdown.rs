//! What a host still takes after the stop signal.
//!
//! The process ends at a fixed time after the signal. A request is only sent to an endpoint or
//! another host if its answer ends before, by its own time limit or by what answers of its
//! route took; otherwise it is refused at once, so that its caller can go to another host.

use super::{
    connection::Role,
    exchange::Exchange,
    reactor::Reactor,
    response::GatewayResponse,
    serve_caller::LEAVING_RETRY_MS, //
};

/// Time after the stop signal from which new requests are refused. The platform
/// tolerates the failure of requests that arrive up to three seconds after the
/// signal, and callers have queried the directory again by then.
const REFUSE_AFTER_MS: u64 = 2_700;
/// Share of the time until the exit after which new requests are refused at the latest, so that a
/// short grace leaves time for their answers.
const REFUSE_AFTER_SHARE: f64 = 0.5;
/// Time before the forced end of the process at which it exits by itself.
const EXIT_BEFORE_KILL_MS: u64 = 500;

impl Reactor {
    /// Returns the time at which the process exits whatever is in progress; none while it does
    /// not stop.
    pub(super) fn exits_at_ms(&self) -> Option<u64> {
        let started_ms = self.shutdown_started_ms?;
        let left_ms = self
            .settings
            .shutdown_ms
            .saturating_sub(EXIT_BEFORE_KILL_MS);
        Some(started_ms + left_ms)
    }

    /// Returns whether new requests are refused because the process ends soon.
    pub(super) fn is_refusing_new(&self, now_ms: u64) -> bool {
        let (Some(started_ms), Some(exits_at_ms)) = (self.shutdown_started_ms, self.exits_at_ms())
        else {
            return false;
        };
        let latest_ms = (exits_at_ms - started_ms) as f64 * REFUSE_AFTER_SHARE;
        now_ms >= started_ms + REFUSE_AFTER_MS.min(latest_ms as u64)
    }

    /// Returns whether the answer to a request that is sent now ends before the process. One that
    /// has begun goes on where it was interrupted.
    fn ends_before_exit(&self, exchange: &Exchange, now_ms: u64) -> bool {
        let Some(exits_at_ms) = self.exits_at_ms() else {
            return true;
        };
        let begins_at_ms = match exchange.has_response_begun {
            true => exchange.arrived_ms,
            false => now_ms,
        };
        let answer_ms = self.answer_times.bound_ms(&exchange.route.name);
        let ends_at_ms = answer_ms.map_or(u64::MAX, |answer_ms| begins_at_ms + answer_ms);
        ends_at_ms.min(exchange.deadline_ms) <= exits_at_ms
    }

    /// Refuses a request whose answer would not end before the process; returns whether it did.
    ///
    /// One that is in progress is not affected.
    pub(super) fn refuse_before_exit(&mut self, key: usize, now_ms: u64) -> bool {
        let exchange = self.exchanges.get(key);
        let is_late = exchange.is_some_and(|exchange| {
            exchange.dispatch.is_none() && !self.ends_before_exit(exchange, now_ms)
        });
        if is_late {
            self.refuse(key, "host stops before an answer", LEAVING_RETRY_MS);
        }
        is_late
    }

    /// Returns whether a request in progress may be sent to another place: its answer would end
    /// before the process.
    pub(super) fn may_move(&self, key: usize, now_ms: u64) -> bool {
        let exchange = self.exchanges.get(key);
        exchange.is_some_and(|exchange| self.ends_before_exit(exchange, now_ms))
    }

    /// Refuses the requests that are being received once new ones are refused: the process may
    /// end before the rest of them arrives.
    pub(super) fn refuse_unread(&mut self, now_ms: u64) {
        if !self.is_refusing_new(now_ms) {
            return;
        }
        let is_unread = |role: Role| matches!(role, Role::Caller | Role::Peer);
        let unread: Vec<usize> = self
            .inbound
            .iter()
            .filter(|(_, inbound)| is_unread(inbound.role) && !inbound.is_closing)
            .filter(|(_, inbound)| {
                inbound.exchange.is_none() && inbound.request_started_ms.is_some()
            })
            .map(|(key, _)| key)
            .collect();
        for key in unread {
            tracing::info!(
                retry_ms = LEAVING_RETRY_MS,
                status = 503,
                "host stops while a request is received; request is refused"
            );
            self.respond_and_close(key, GatewayResponse::refusal(LEAVING_RETRY_MS));
        }
    }
}
