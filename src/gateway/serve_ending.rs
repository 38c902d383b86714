//! The end of a sending and of a request: failures, repeats, refusals, limits.
//!
//! A request that may not run twice goes to another endpoint only if nothing of
//! it was sent, or if the endpoint says that it did not run it. Only code that
//! holds the unsent request tells a caller that it has not run.

use super::{
    answer::{
        OwnAnswer,
        write_own, //
    },
    endpoint::Failure,
    exchange::{
        Destination,
        Exchange, //
    },
    reactor::Reactor,
    serve_endpoint::Breakage, //
};

/// Endpoints tried for one request that none of them has run. Those that are
/// gone say so within milliseconds.
pub(super) const MAX_EXCLUDED: usize = 8;
/// When a caller may come back after a failure to reach any endpoint.
pub(super) const UNREACHABLE_RETRY_MS: u64 = 300;
/// Least time without progress after which a request that may run again is
/// sent to another endpoint.
const MIN_STALL_MS: u64 = 1_200;
/// The same for a request in another region, which is predicted less well.
const AWAY_STALL_MS: u64 = 2_500;
/// Factor on the predicted time until the first event for the same purpose.
const STALL_FACTOR: f64 = 4.0;

impl Reactor {
    /// The connection of a sending broke.
    pub(super) fn sending_failed(&mut self, key: usize, breakage: Breakage) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let destination = exchange.destination().cloned();
        let failure = match breakage {
            Breakage::Unreachable => Failure::Unreachable,
            Breakage::Broken => Failure::Broken,
        };
        match destination {
            Some(Destination::Endpoint(choice)) if breakage == Breakage::Broken => {
                exchange.avoided.push(choice.endpoint);
            }
            Some(Destination::Endpoint(choice)) => exchange.excluded.push(choice.endpoint),
            Some(Destination::Region { region, .. }) => exchange.excluded_regions.push(region),
            None => {}
        }
        exchange.held.clear();
        exchange.events.discard_partial();
        let excluded = exchange.excluded.len() + exchange.excluded_regions.len();
        self.end_sending(key, Some(failure), now_ms);
        if breakage == Breakage::Unreachable {
            if self.exchanges[key].has_reply_begun {
                return self.cut_off(key, "no endpoint could be reached");
            }
            if excluded < MAX_EXCLUDED {
                return self.place_exchange(key);
            }
            return self.refuse(key, "no endpoint could be reached", UNREACHABLE_RETRY_MS);
        }
        if self.repeat(key, "connection broke") {
            return;
        }
        if self.exchanges.get(key).is_none() {
            return;
        }
        if self.exchanges[key].has_reply_begun {
            self.cut_off(key, "answer broke off");
        } else {
            self.fail(key, "answer broke off", OwnAnswer::plain(502));
        }
    }

    /// Prefers other endpoints for the next sending of a request.
    pub(super) fn avoid_destination(&mut self, key: usize) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Destination::Endpoint(choice)) = exchange.destination() {
            let endpoint = choice.endpoint.clone();
            exchange.avoided.push(endpoint);
        }
    }

    /// Sends a request that may have run to another endpoint, if it may run
    /// again and the budget allows it.
    pub(super) fn repeat(&mut self, key: usize, cause: &str) -> bool {
        let now_ms = self.now_ms();
        let hosts = self.hosts.live_count(now_ms);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return false;
        };
        let may_repeat = exchange.plan.may_repeat()
            && exchange.client.is_some()
            && exchange.run_count < exchange.plan.max_attempts
            && now_ms < exchange.deadline_ms;
        if !may_repeat {
            return false;
        }
        let service = exchange.plan.service.clone();
        let attempt = exchange.request.call.attempt.clone();
        let is_allowed = self.budget.take(&service, hosts, now_ms);
        tracing::info!(request = %attempt, cause, is_allowed, "repeat decided");
        if is_allowed {
            self.telemetry.count_repeat();
            self.exchanges[key].held.clear();
            self.place_exchange(key);
        }
        is_allowed
    }

    /// Ends the present sending of a request and records how it went.
    pub(super) fn end_sending(&mut self, key: usize, failure: Option<Failure>, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.take() else {
            return;
        };
        let was_sent = !matches!(
            failure,
            Some(Failure::Unreachable | Failure::Shed | Failure::Replaced)
        );
        if was_sent {
            exchange.run_count += 1;
        }
        if let Some(upstream) = self.upstreams.get_mut(sending.upstream)
            && upstream.exchange == Some(key)
        {
            upstream.exchange = None;
        }
        if let Destination::Endpoint(choice) = &sending.destination
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
        {
            endpoint.record_end(choice.work, sending.has_begun);
            self.pending_update.record_change(&choice.endpoint);
            let blocked = failure.is_some_and(|failure| endpoint.record_failure(failure, now_ms));
            if blocked {
                let for_ms = endpoint.blocked_until_ms().saturating_sub(now_ms);
                tracing::warn!(
                    endpoint = %choice.endpoint,
                    ?failure,
                    for_ms,
                    "endpoint is not used for a while"
                );
                if matches!(failure, Some(Failure::Unreachable | Failure::Replaced)) {
                    self.pending_update.record_block(endpoint.hash, for_ms);
                }
            }
        }
    }

    /// Refuses a request that was not sent, or that no endpoint ran.
    pub(super) fn refuse(&mut self, key: usize, cause: &'static str, retry_ms: u64) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        // Something of it may have run, so nothing can be promised.
        if exchange.run_count > 0 {
            if exchange.has_reply_begun {
                return self.cut_off(key, cause);
            }
            return self.fail(key, cause, OwnAnswer::plain(502));
        }
        self.fail(key, cause, OwnAnswer::refusal(retry_ms));
    }

    /// Ends a request with an answer of the gateway itself.
    pub(super) fn fail(&mut self, key: usize, cause: &'static str, answer: OwnAnswer) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if let Some(client) = exchange
            .client
            .and_then(|client| self.clients.get_mut(client))
        {
            client.closes |= is_leaving;
            let closes = client.closes;
            write_own(answer, "text/plain", b"", closes, client.wire.output());
        }
        self.end_exchange(key, cause, answer.status);
    }

    /// Ends an answer that has begun and cannot be completed: its connection
    /// ends without the end of the body.
    pub(super) fn cut_off(&mut self, key: usize, cause: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let client = exchange.client.take();
        self.end_exchange(key, cause, 0);
        if let Some(client) = client {
            if let Some(connection) = self.clients.get_mut(client) {
                connection.exchange = None;
                connection.wire.flush();
            }
            self.close_client(client);
        }
    }

    pub(super) fn end_exchange(&mut self, key: usize, outcome: &'static str, status: u16) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.try_remove(key) else {
            return;
        };
        self.waiting.retain(|other| *other != key);
        let total_ms = now_ms.saturating_sub(exchange.arrived_ms);
        self.telemetry
            .request_ended(&exchange, outcome, status, total_ms, now_ms);
        if let Some(client) = exchange.client {
            self.client_done(client);
        }
    }

    /// The caller has left.
    pub(super) fn abandon(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        exchange.client = None;
        let sending = exchange.sending.as_ref().map(|sending| sending.upstream);
        if exchange.plan.runs_without_caller() && sending.is_some() {
            return;
        }
        self.end_sending(key, None, now_ms);
        if let Some(upstream) = sending {
            self.close_upstream(upstream);
        }
        self.end_exchange(key, "caller left", 0);
    }

    /// Ends requests whose time is over and repeats those that stall.
    pub(super) fn check_exchanges(&mut self, now_ms: u64) {
        if self.exchanges.is_empty() {
            return;
        }
        self.check_connecting(now_ms);
        let mut over = Vec::new();
        let mut stalled = Vec::new();
        for (key, exchange) in &self.exchanges {
            if now_ms >= exchange.deadline_ms {
                over.push(key);
            } else if is_stalled(exchange, now_ms) {
                stalled.push(key);
            }
        }
        for key in over {
            self.time_out(key, now_ms);
        }
        for key in stalled {
            self.leave_stalled(key);
        }
    }

    pub(super) fn time_out(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.clone() else {
            return self.refuse(key, "no endpoint in time", UNREACHABLE_RETRY_MS);
        };
        let runs_on = exchange.plan.runs_without_caller();
        self.end_sending(key, None, now_ms);
        if !runs_on {
            self.close_upstream(sending.upstream);
        }
        if self.exchanges[key].has_reply_begun {
            self.cut_off(key, "time limit during the answer");
        } else {
            self.fail(key, "time limit", OwnAnswer::plain(504));
        }
    }

    /// Gives up on an endpoint that makes no progress, if another may go on.
    pub(super) fn leave_stalled(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let hosts = self.hosts.live_count(now_ms);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.clone() else {
            return;
        };
        let service = exchange.plan.service.clone();
        if !self.budget.take(&service, hosts, now_ms) {
            return;
        }
        let exchange = &mut self.exchanges[key];
        tracing::info!(
            request = %exchange.request.call.attempt,
            silent_ms = now_ms.saturating_sub(sending.progress_ms),
            "endpoint stalls; request repeated"
        );
        exchange.held.clear();
        exchange.events.discard_partial();
        self.avoid_destination(key);
        self.end_sending(key, Some(Failure::Broken), now_ms);
        self.close_upstream(sending.upstream);
        self.telemetry.count_repeat();
        self.place_exchange(key);
    }
}

fn is_stalled(exchange: &Exchange, now_ms: u64) -> bool {
    let Some(sending) = &exchange.sending else {
        return false;
    };
    let may_repeat = exchange.plan.may_repeat()
        && exchange.client.is_some()
        && exchange.run_count + 1 < exchange.plan.max_attempts;
    let limit_ms = match &sending.destination {
        Destination::Region { .. } => AWAY_STALL_MS,
        Destination::Endpoint(_) if sending.has_begun => MIN_STALL_MS,
        Destination::Endpoint(choice) => {
            MIN_STALL_MS.max((choice.first_event_ms * STALL_FACTOR) as u64)
        }
    };
    may_repeat && now_ms >= sending.progress_ms + limit_ms
}
