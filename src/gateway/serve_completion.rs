//! The end of dispatches and requests: failures, retries, refusals, time limits.
//!
//! A request that must not run twice is sent to another endpoint only if nothing
//! of it was sent, or if the endpoint states that it did not run it. A caller is
//! informed that a request has not run only by code that has the unsent request.

use super::{
    endpoint::Failure,
    endpoint_start::EndSign,
    exchange::{
        Destination,
        Exchange,
        StreamResult, //
    },
    reactor::Reactor,
    request_sizes::RelativeSize,
    response::{
        GatewayResponse,
        write_gateway_response, //
    },
    serve_caller::LEAVING_RETRY_MS,
    serve_stall::is_stalled,
    serve_upstream::UpstreamError, //
};
use crate::http::message::is_refusal;

/// Maximum number of endpoints and regions tried for a request that none of them runs.
/// Endpoints that no longer exist refuse connections within milliseconds.
pub(super) const MAX_SKIPPED_PLACES: usize = 8;
/// Retry time for callers if no endpoint could be reached.
pub(super) const UNREACHABLE_RETRY_MS: u64 = 300;

impl Reactor {
    /// Handles a dispatch that failed before its response was complete.
    pub(super) fn dispatch_failed(&mut self, key: usize, error: UpstreamError) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let destination = exchange.destination().cloned();
        let failure = match error {
            UpstreamError::Unreachable => Failure::Unreachable,
            UpstreamError::Broken => Failure::Broken,
        };
        if let Some(Destination::Endpoint(choice)) = &destination
            && error == UpstreamError::Broken
        {
            self.suspect_crash(key, choice);
        }
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        match destination {
            Some(Destination::Endpoint(choice)) if error == UpstreamError::Broken => {
                exchange.avoided_endpoints.push(choice.endpoint);
            }
            Some(Destination::Endpoint(choice)) => exchange.skip_endpoint(choice.endpoint, failure),
            // Another host of the region may reach the same endpoints.
            Some(Destination::Region { host, .. }) => {
                exchange.skip_count += 1;
                exchange.excluded_hosts.push(host);
            }
            None => {}
        }
        exchange.buffered.clear();
        exchange.discard_cut_event();
        let skip_count = exchange.skip_count + exchange.excluded_regions.len();
        self.end_dispatch(key, Some(failure), now_ms);
        if error == UpstreamError::Unreachable {
            if skip_count < MAX_SKIPPED_PLACES {
                return self.place_exchange(key);
            }
            return self.refuse(key, "no endpoint could be reached", UNREACHABLE_RETRY_MS);
        }
        if self.try_retry(key, "connection broke") {
            return;
        }
        if self.exchanges.get(key).is_none() {
            return;
        }
        if self.exchanges[key].has_response_begun {
            self.cut_off(key, "answer broke off");
        } else {
            self.fail(key, "answer broke off", GatewayResponse::new(502));
        }
    }

    /// Marks the current endpoint as one to avoid in the next placement.
    pub(super) fn avoid_destination(&mut self, key: usize) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Destination::Endpoint(choice)) = exchange.destination() {
            let endpoint = choice.endpoint.clone();
            exchange.avoided_endpoints.push(endpoint);
        }
    }

    /// Sends a request that may have run to another endpoint, if it is retryable
    /// and the retry budget allows it; returns whether it did.
    pub(super) fn try_retry(&mut self, key: usize, cause: &str) -> bool {
        let now_ms = self.now_ms();
        let may_crash_again = self.may_crash_again(key);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return false;
        };
        let is_retryable = exchange.is_retryable()
            && exchange.inbound.is_some()
            && exchange.run_count < exchange.route.max_attempts
            && now_ms < exchange.deadline_ms;
        if !is_retryable || may_crash_again {
            return false;
        }
        let service = exchange.route.service.clone();
        let attempt = exchange.request.metadata.attempt_id.clone();
        let is_allowed = self.try_take_retry(&service, now_ms);
        let usage = self.retry_budget.usage(&service);
        tracing::info!(
            request = %attempt,
            cause,
            is_allowed,
            requests = usage.request_count,
            retries = usage.retry_count,
            slack_retries = usage.slack_retry_count,
            hosts = self.hosts.possible_count(now_ms),
            "retry decided"
        );
        if is_allowed {
            self.telemetry.count_retry();
            self.exchanges[key].buffered.clear();
            self.place_exchange(key);
        }
        is_allowed
    }

    /// Takes one retry of a service from this host's share of the limit; returns false if it
    /// is used up.
    pub(super) fn try_take_retry(&mut self, service: &str, now_ms: u64) -> bool {
        let hosts = self.hosts.possible_count(now_ms);
        self.retry_budget.try_take(service, hosts, now_ms)
    }

    /// Ends the current dispatch of a request and records its result.
    pub(super) fn end_dispatch(&mut self, key: usize, failure: Option<Failure>, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(dispatch) = exchange.dispatch.take() else {
            return;
        };
        let was_sent = !matches!(
            failure,
            Some(Failure::Unreachable | Failure::Shed | Failure::Replaced)
        );
        if was_sent {
            exchange.run_count += 1;
        }
        let is_at_endpoint = matches!(dispatch.destination, Destination::Endpoint(_));
        exchange.has_arrived |= is_at_endpoint && failure != Some(Failure::Unreachable);
        if let Some(upstream) = self.upstreams.get_mut(dispatch.upstream)
            && upstream.exchange == Some(key)
        {
            upstream.exchange = None;
        }
        if let Destination::Endpoint(choice) = &dispatch.destination
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
        {
            endpoint.record_end(choice.work, dispatch.has_begun);
            self.pending_update.record_change(&choice.endpoint);
            if let Some(failure) = failure {
                self.record_endpoint_failure(&choice.endpoint, failure, now_ms);
            }
        }
    }

    /// Records a failure of an endpoint; informs the hosts of the region if it is blocked
    /// because it cannot be reached.
    pub(super) fn record_endpoint_failure(&mut self, id: &str, failure: Failure, now_ms: u64) {
        if failure == Failure::Replaced {
            self.confirm_crash(id, now_ms);
            self.record_end_sign(
                &id.into(),
                EndSign::new(now_ms),
                "another endpoint answered",
            );
        }
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        if failure == Failure::Shed
            && let Some(for_ms) = endpoint.full_pause_ms()
        {
            endpoint.record_full(for_ms, now_ms);
            return self.pending_update.record_full(endpoint.hash, for_ms);
        }
        if !endpoint.record_failure(failure, now_ms) {
            return;
        }
        let (hash, until_ms) = (endpoint.hash, endpoint.blocked_until_ms());
        let for_ms = until_ms.saturating_sub(now_ms);
        tracing::warn!(
            endpoint = id,
            ?failure,
            for_ms,
            "endpoint failed; it is not used for a while"
        );
        match failure {
            Failure::Replaced => self.pending_update.record_block(hash, for_ms),
            Failure::Unreachable => self.record_unreached_block(hash, id, until_ms),
            _ => {}
        }
    }

    /// Refuses a request that was not sent, or that no endpoint ran.
    pub(super) fn refuse(&mut self, key: usize, cause: &'static str, retry_ms: u64) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        // An endpoint may have run it, so the response must not say otherwise.
        if exchange.run_count > 0 {
            if exchange.has_response_begun {
                return self.cut_off(key, cause);
            }
            return self.fail(key, cause, GatewayResponse::new(502));
        }
        self.fail(key, cause, GatewayResponse::refusal(retry_ms));
    }

    /// Ends a request with a response of the gateway itself.
    pub(super) fn fail(&mut self, key: usize, cause: &'static str, response: GatewayResponse) {
        let is_leaving = self.shutdown_started_ms.is_some();
        let is_cut_off = self.is_cut_off();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if let Some(inbound) = exchange
            .inbound
            .and_then(|inbound| self.inbound.get_mut(inbound))
        {
            inbound.is_closing |= is_leaving;
            let is_closing = inbound.is_closing;
            let response = GatewayResponse {
                has_arrived: exchange.is_forwarded && exchange.has_arrived,
                is_cut_off: exchange.is_forwarded && is_cut_off,
                ..response
            };
            write_gateway_response(
                response,
                "text/plain",
                b"",
                is_closing,
                inbound.socket.output(),
            );
        }
        self.end_exchange(key, cause, response.status);
    }

    /// Aborts a response that has begun and cannot be completed: the connection
    /// is closed without the end of the body.
    pub(super) fn cut_off(&mut self, key: usize, cause: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let inbound = exchange.inbound.take();
        self.end_exchange(key, cause, 0);
        if let Some(inbound) = inbound {
            if let Some(connection) = self.inbound.get_mut(inbound) {
                connection.exchange = None;
                connection.socket.flush();
            }
            self.close_inbound(inbound);
        }
    }

    pub(super) fn end_exchange(&mut self, key: usize, outcome: &'static str, status: u16) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.try_remove(key) else {
            return;
        };
        self.waiting.retain(|other| *other != key);
        let total_ms = now_ms.saturating_sub(exchange.arrived_ms);
        if (200..300).contains(&status) {
            let (_, time) = self.answer_times.entry(&exchange.route.name);
            time.record(total_ms);
        }
        self.record_answer(&exchange, status, now_ms);
        let charge = exchange.request.charge.as_ref();
        if let Some(charge) = charge.filter(|_| is_refusal(status)) {
            self.allotments.refund(charge);
        }
        self.telemetry
            .request_ended(&exchange, outcome, status, total_ms, now_ms);
        if let Some(inbound) = exchange.inbound {
            self.finish_inbound_request(inbound);
        }
    }

    /// Records the length of an answer with events, at the host of its caller.
    ///
    /// One that ran out of time would have been longer than what was passed on of it.
    fn record_answer(&mut self, exchange: &Exchange, status: u16, now_ms: u64) {
        let Some(result) = exchange.stream_result(status, now_ms) else {
            return;
        };
        if exchange.is_forwarded {
            return;
        }
        let passed = exchange.passed_events();
        let hint = exchange.request.metadata.length_hint;
        let (route, answers) = self.answer_lengths.entry(&exchange.route.name);
        if result != StreamResult::Interrupted {
            let length = match result {
                StreamResult::OutOfTime => answers.cut_length(passed),
                _ => passed,
            };
            answers.record(length);
            if let Some(hint) = hint {
                answers.record_hint(hint, length);
            }
            let limit_ms = match &exchange.size {
                Some(size) => size.longest_limit_ms,
                None => exchange.deadline_ms - exchange.arrived_ms,
            };
            let span_ms = limit_ms.saturating_sub(exchange.route.goal_ms);
            answers.set_pace_goal(&exchange.route.service, span_ms as f64);
        }
        let mean_events = answers.mean_events().max(1.0);
        let length = RelativeSize::new(passed.0 as f64 / mean_events);
        self.telemetry
            .observe_stream(&route, length, result, exchange);
    }

    /// Handles the disconnection of a caller.
    pub(super) fn caller_disconnected(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        exchange.inbound = None;
        let upstream = exchange.dispatch.as_ref().map(|dispatch| dispatch.upstream);
        if exchange.route.runs_without_caller() && upstream.is_some() {
            return;
        }
        self.end_dispatch(key, None, now_ms);
        if let Some(upstream) = upstream {
            self.close_upstream(upstream);
        }
        self.end_exchange(key, "caller left", 0);
    }

    /// Ends requests whose deadline has passed and retries stalled ones.
    pub(super) fn check_exchanges(&mut self, now_ms: u64) {
        self.check_connecting(now_ms);
        if self.exchanges.is_empty() {
            return;
        }
        let is_cut_off = self.is_cut_off();
        let mut expired = Vec::new();
        let mut stalled = Vec::new();
        for (key, exchange) in &self.exchanges {
            if now_ms >= exchange.deadline_ms {
                expired.push(key);
            } else if is_stalled(exchange, is_cut_off, now_ms) {
                stalled.push(key);
            }
        }
        for key in expired {
            self.time_out(key, now_ms);
        }
        for key in stalled {
            self.move_stalled(key);
        }
    }

    /// Ends all requests because the process ends; returns the number of those that an
    /// endpoint was at work on or had run.
    ///
    /// A request that has not run is refused, so that its caller can go to another host
    /// at once.
    pub(super) fn end_all_exchanges(&mut self) -> usize {
        let keys: Vec<usize> = self.exchanges.iter().map(|(key, _)| key).collect();
        let mut cut_off_count = 0;
        for key in keys {
            let has_run = self.exchanges.get(key).is_some_and(Exchange::has_run);
            cut_off_count += usize::from(has_run);
            if has_run && self.exchanges[key].has_response_begun {
                self.cut_off(key, "host stops during the answer");
            } else if has_run {
                self.fail(key, "host stops", GatewayResponse::new(502));
            } else {
                self.refuse(key, "host stops", LEAVING_RETRY_MS);
            }
        }
        cut_off_count
    }

    pub(super) fn time_out(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(dispatch) = exchange.dispatch.clone() else {
            return self.refuse(key, "no endpoint in time", UNREACHABLE_RETRY_MS);
        };
        let runs_on = exchange.route.runs_without_caller();
        self.end_dispatch(key, None, now_ms);
        if !runs_on {
            self.close_upstream(dispatch.upstream);
        }
        if self.exchanges[key].has_response_begun {
            self.cut_off(key, "time limit during the answer");
        } else {
            self.fail(key, "time limit", GatewayResponse::new(504));
        }
    }
}
