//! Counters, latency histograms and the log line at the end of each request.
//!
//! Log lines are limited to [`FAILURE_LINES_PER_S`] for failed requests, to
//! [`ROUTINE_LINES_PER_S`] for successful ones and to [`REJECTION_LINES_PER_S`] for those that
//! are not started; omitted lines are counted.

use std::sync::atomic::AtomicU64;

use compact_str::CompactString;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::Registry, //
};

use tracing_appender::non_blocking::ErrorCounter;

use super::{
    exchange::{
        Exchange,
        StreamResult, //
    },
    fleet::Fleet,
    request_sizes::RelativeSize,
    software_version::SoftwareVersion, //
};

/// Log lines per second for requests that ended with success.
const ROUTINE_LINES_PER_S: u32 = 10;
/// Log lines a second about requests that are not started: an account far beyond its allotment
/// has hundreds a second.
const REJECTION_LINES_PER_S: u32 = 10;
/// Log lines per second for all other requests.
const FAILURE_LINES_PER_S: u32 = 50;
/// Upper bounds of the histogram buckets. Goals and time limits of callers lie
/// between a tenth of a second and some tens of seconds.
const BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Upper bounds of the histogram buckets of the time between events: from a token of an idle
/// engine to the pause after which callers leave.
const INTERVAL_BUCKETS_S: [f64; 11] = [
    0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.125, 0.16, 0.25, 0.5, 2.0,
];

/// Labels of the request counter.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
    status: u32,
}

/// Labels of the counter of requests by client account.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AccountLabels {
    account: String,
    result: &'static str,
}

/// Labels of a value of a client account.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AccountLevelLabels {
    account: String,
}

/// Labels of what is recorded by the size of the request.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SizeLabels {
    route: String,
    size: RelativeSize,
}

/// Labels of the counter of requests by the size of the request.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SizeOutcomeLabels {
    #[prometheus(flatten)]
    size: SizeLabels,
    result: &'static str,
}

/// Labels of the counter of answers by their length.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LengthOutcomeLabels {
    route: String,
    length: RelativeSize,
    result: &'static str,
}

/// Labels of what is recorded of the answers of a route.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteResultLabels {
    route: String,
    result: &'static str,
}

/// Labels of a value of an endpoint.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndpointLabels {
    endpoint: String,
}

#[derive(Debug, Default)]
struct LineLimiter {
    second: u64,
    used: u32,
}

/// Metrics and log lines of one host.
pub struct Telemetry {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    requests_by_account: Family<AccountLabels, Counter>,
    account_units: Family<AccountLabels, Counter>,
    account_level: Family<AccountLevelLabels, Gauge<f64, AtomicU64>>,
    retries: Counter,
    connections: Counter,
    remote: Counter,
    neighbour: Counter,
    cut_off: Gauge,
    permits: Counter,
    kept_from_limited: Counter,
    health_checks: Counter,
    start_checks: Counter,
    start_doubts: Counter,
    discarded_answers: Counter,
    replaced_connections: Counter,
    limited_endpoints: Gauge,
    omitted_lines: Counter,
    dropped_lines: Gauge,
    log_drop_counter: Option<ErrorCounter>,
    first_event_s: Histogram,
    duration_s: Histogram,
    requests_by_size: Family<SizeOutcomeLabels, Counter>,
    first_event_by_size_s: Family<SizeLabels, Histogram, fn() -> Histogram>,
    streams_by_length: Family<LengthOutcomeLabels, Counter>,
    wasted_events: Family<RouteResultLabels, Counter>,
    event_interval_s: Family<RouteResultLabels, Histogram, fn() -> Histogram>,
    endpoint_pace_s: Family<EndpointLabels, Gauge<f64, AtomicU64>>,
    routine: LineLimiter,
    rejections: LineLimiter,
    failures: LineLimiter,
}

impl Telemetry {
    /// Returns metrics at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cardamombridge");
        let telemetry = Self {
            requests: Family::default(),
            requests_by_account: Family::default(),
            account_units: Family::default(),
            account_level: Family::default(),
            retries: Counter::default(),
            connections: Counter::default(),
            remote: Counter::default(),
            neighbour: Counter::default(),
            cut_off: Gauge::default(),
            permits: Counter::default(),
            kept_from_limited: Counter::default(),
            health_checks: Counter::default(),
            start_checks: Counter::default(),
            start_doubts: Counter::default(),
            discarded_answers: Counter::default(),
            replaced_connections: Counter::default(),
            limited_endpoints: Gauge::default(),
            omitted_lines: Counter::default(),
            dropped_lines: Gauge::default(),
            log_drop_counter: None,
            first_event_s: Histogram::new(BUCKETS_S),
            duration_s: Histogram::new(BUCKETS_S),
            requests_by_size: Family::default(),
            first_event_by_size_s: Family::new_with_constructor(|| Histogram::new(BUCKETS_S)),
            streams_by_length: Family::default(),
            wasted_events: Family::default(),
            event_interval_s: Family::new_with_constructor(|| Histogram::new(INTERVAL_BUCKETS_S)),
            endpoint_pace_s: Family::default(),
            routine: LineLimiter::default(),
            rejections: LineLimiter::default(),
            failures: LineLimiter::default(),
            registry: Registry::default(),
        };
        registry.register(
            "requests",
            "Requests by outcome",
            telemetry.requests.clone(),
        );
        registry.register(
            "requests_by_account",
            "Requests of callers by client account and result",
            telemetry.requests_by_account.clone(),
        );
        registry.register(
            "account_units",
            "Units of allotments that callers of this host asked for, by account and result",
            telemetry.account_units.clone(),
        );
        registry.register(
            "account_level",
            "Units of its allotment that an account has left, as this host knows it",
            telemetry.account_level.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent to a second endpoint",
            telemetry.retries.clone(),
        );
        registry.register(
            "endpoint_connections",
            "Connections opened to endpoints and hosts",
            telemetry.connections.clone(),
        );
        registry.register(
            "away",
            "Requests sent to another region",
            telemetry.remote.clone(),
        );
        registry.register(
            "neighbour",
            "Requests sent to another host of the region",
            telemetry.neighbour.clone(),
        );
        registry.register(
            "cut_off",
            "1 while this host reaches no endpoint",
            telemetry.cut_off.clone(),
        );
        registry.register(
            "permits",
            "Permits for endpoints with a limit that this host got",
            telemetry.permits.clone(),
        );
        registry.register(
            "kept_from_limited",
            "Placements that passed over an endpoint because of its limit",
            telemetry.kept_from_limited.clone(),
        );
        registry.register(
            "health_checks",
            "Health checks of endpoints while the store does not respond",
            telemetry.health_checks.clone(),
        );
        registry.register(
            "start_checks",
            "Questions to endpoints whether they are the start that they announced",
            telemetry.start_checks.clone(),
        );
        registry.register(
            "start_doubts",
            "Endpoints that this host saw signs of an end of",
            telemetry.start_doubts.clone(),
        );
        registry.register(
            "discarded_answers",
            "Answers that do not belong to the latest request on their connection",
            telemetry.discarded_answers.clone(),
        );
        registry.register(
            "replaced_connections",
            "Idle connections closed because the next request could not be sent on them",
            telemetry.replaced_connections.clone(),
        );
        registry.register(
            "limited_endpoints",
            "Endpoints of the region that name a limit",
            telemetry.limited_endpoints.clone(),
        );
        registry.register(
            "omitted_log_lines",
            "Lines about requests that were left out",
            telemetry.omitted_lines.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Lines that the log thread lost",
            telemetry.dropped_lines.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time until the first event or the answer",
            telemetry.first_event_s.clone(),
        );
        registry.register(
            "request_seconds",
            "Time until the end of the answer",
            telemetry.duration_s.clone(),
        );
        registry.register(
            "requests_by_size",
            "Requests of callers by result and by size relative to the mean of the route",
            telemetry.requests_by_size.clone(),
        );
        registry.register(
            "first_event_by_size_seconds",
            "Time until the first event by size relative to the mean of the route",
            telemetry.first_event_by_size_s.clone(),
        );
        registry.register(
            "streams_by_length",
            "Answers of callers by result and by length relative to the mean of the route",
            telemetry.streams_by_length.clone(),
        );
        registry.register(
            "wasted_events",
            "Events of answers that were not whole",
            telemetry.wasted_events.clone(),
        );
        registry.register(
            "event_interval_seconds",
            "Mean time between the events of an answer",
            telemetry.event_interval_s.clone(),
        );
        registry.register(
            "endpoint_pace_seconds",
            "Time between the events of this host's streams at an endpoint",
            telemetry.endpoint_pace_s.clone(),
        );
        Self {
            registry,
            ..telemetry
        }
    }

    /// Sets the counter of lines that the log thread drops, for a metric.
    pub fn with_log_drop_counter(mut self, counter: ErrorCounter) -> Self {
        self.log_drop_counter = Some(counter);
        self
    }

    /// Replaces the paces of the endpoints by those that are known now.
    pub fn set_endpoint_paces(&self, fleet: &Fleet, now_ms: u64) {
        self.endpoint_pace_s.clear();
        for (endpoint, pace) in fleet.paced(now_ms) {
            let labels = EndpointLabels {
                endpoint: endpoint.id.to_string(),
            };
            let gauge = self.endpoint_pace_s.get_or_create(&labels);
            gauge.set(pace.event_ms() / 1_000.0);
        }
    }

    /// Records the end of an answer with events, whose length is relative to the mean of `route`.
    pub fn observe_stream(
        &self,
        route: &str,
        length: RelativeSize,
        result: StreamResult,
        exchange: &Exchange,
    ) {
        let (route, result_name) = (route.to_string(), result.as_str());
        let labels = LengthOutcomeLabels {
            route: route.clone(),
            length,
            result: result_name,
        };
        self.streams_by_length.get_or_create(&labels).inc();
        let labels = RouteResultLabels {
            route,
            result: result_name,
        };
        if result != StreamResult::Whole {
            let wasted = self.wasted_events.get_or_create(&labels);
            wasted.inc_by(exchange.passed_events().0);
        }
        if let Some(pace) = exchange.pace() {
            let histogram = self.event_interval_s.get_or_create(&labels);
            histogram.observe(pace.event_ms() / 1_000.0);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let dropped = self
            .log_drop_counter
            .as_ref()
            .map_or(0, ErrorCounter::dropped_lines);
        self.dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "could not encode the metrics; the scrape is incomplete");
        }
        text
    }

    /// Counts a request that is sent to a second endpoint.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a connection to an endpoint or a host.
    pub fn count_connection(&self) {
        self.connections.inc();
    }

    /// Counts a request that is sent to another region.
    pub fn count_remote(&self) {
        self.remote.inc();
    }

    /// Counts a request that is sent to another host of the region.
    pub fn count_neighbour(&self) {
        self.neighbour.inc();
    }

    /// Sets whether this host reaches no endpoint.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.cut_off.set(i64::from(is_cut_off));
    }

    /// Counts permits for endpoints with a limit.
    pub fn count_permits(&self, count: u32) {
        self.permits.inc_by(u64::from(count));
    }

    /// Counts a placement that passed over an endpoint because of its limit.
    pub fn count_kept_from_limited(&self) {
        self.kept_from_limited.inc();
    }

    /// Counts a health check of an endpoint.
    pub fn count_health_check(&self) {
        self.health_checks.inc();
    }

    /// Counts a question to an endpoint whether it is the start that it announced.
    pub fn count_start_check(&self) {
        self.start_checks.inc();
    }

    /// Counts an endpoint of which a sign of its end was seen.
    pub fn count_start_doubt(&self) {
        self.start_doubts.inc();
    }

    /// Counts an answer that does not belong to the latest request on its connection.
    pub fn count_discarded_answer(&self) {
        self.discarded_answers.inc();
    }

    /// Counts an idle connection that is closed because the next request could not be sent on it.
    pub fn count_replaced_connection(&self) {
        self.replaced_connections.inc();
    }

    /// Sets the number of endpoints that name a limit.
    pub fn set_limited_endpoints(&self, count: usize) {
        self.limited_endpoints
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the time until the first event or the response.
    pub fn observe_first_event(&self, after_ms: u64) {
        self.first_event_s.observe(after_ms as f64 / 1_000.0);
    }

    /// Records the result of a request with a prompt at the host of its caller.
    fn record_size(&self, exchange: &Exchange, status: u16) {
        let Some(size) = &exchange.size else {
            return;
        };
        let size = SizeLabels {
            route: size.route.to_string(),
            size: size.relative,
        };
        let result = result_of(status);
        if let Some(at_ms) = exchange.first_event_at_ms {
            let after_ms = at_ms.saturating_sub(exchange.arrived_ms);
            let histogram = self.first_event_by_size_s.get_or_create(&size);
            histogram.observe(after_ms as f64 / 1_000.0);
        }
        let labels = SizeOutcomeLabels { size, result };
        self.requests_by_size.get_or_create(&labels).inc();
    }

    /// Counts what a request costs of the allotment of its account.
    pub fn count_units(&self, account: &str, units: u64, is_admitted: bool) {
        let labels = AccountLabels {
            account: account.to_string(),
            result: if is_admitted { "admitted" } else { "refused" },
        };
        self.account_units.get_or_create(&labels).inc_by(units);
    }

    /// Sets what an account has left of its allotment.
    pub fn set_level(&self, account: &str, level: f64) {
        let labels = AccountLevelLabels {
            account: account.to_string(),
        };
        self.account_level.get_or_create(&labels).set(level);
    }

    /// Counts a request that was not started, of an account if it is known.
    pub fn count_rejected(&self, account: Option<&str>, status: u16) {
        let outcome = "rejected";
        if let Some(account) = account {
            let labels = AccountLabels {
                account: account.to_string(),
                result: result_of(status),
            };
            self.requests_by_account.get_or_create(&labels).inc();
        }
        let status = u32::from(status);
        let labels = OutcomeLabels { outcome, status };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns whether a request that was not started gets a log line, within the limits.
    pub fn admits_rejection_line(&mut self, now_ms: u64) -> bool {
        let is_within_limit = self.rejections.admit(REJECTION_LINES_PER_S, now_ms);
        if !is_within_limit {
            self.omitted_lines.inc();
        }
        is_within_limit
    }

    /// Records the result of a request of a client account at the host of its caller.
    fn record_account(&self, exchange: &Exchange, status: u16) {
        let Some(account) = exchange.request.account.name() else {
            return;
        };
        if exchange.is_forwarded {
            return;
        }
        let labels = AccountLabels {
            account: account.to_string(),
            result: result_of(status),
        };
        self.requests_by_account.get_or_create(&labels).inc();
    }

    /// Records the end of a request and writes its log line, within the limits.
    pub fn request_ended(
        &mut self,
        exchange: &Exchange,
        outcome: &'static str,
        status: u16,
        total_ms: u64,
        now_ms: u64,
    ) {
        self.requests
            .get_or_create(&OutcomeLabels {
                outcome,
                status: u32::from(status),
            })
            .inc();
        self.duration_s.observe(total_ms as f64 / 1_000.0);
        self.record_size(exchange, status);
        self.record_account(exchange, status);
        let is_routine = (200..300).contains(&status);
        let is_within_limit = match is_routine {
            true => self.routine.admit(ROUTINE_LINES_PER_S, now_ms),
            false => self.failures.admit(FAILURE_LINES_PER_S, now_ms),
        };
        if !is_within_limit {
            self.omitted_lines.inc();
            return;
        }
        tracing::info!(
            request = %exchange.request.metadata.attempt_id,
            route = %exchange.route.name,
            service = %exchange.route.service,
            account = exchange.request.account.name().map(CompactString::as_str),
            configuration = exchange.configuration_version.0,
            is_forwarded = exchange.is_forwarded,
            runs = exchange.run_count,
            tried = ?exchange.excluded_endpoints,
            answers = %exchange.answers,
            events = exchange.events.complete_count(),
            answer_framing = exchange.answer_framing.map(tracing::field::display),
            cut_event_bytes = exchange.cut_event_bytes,
            prompt_tokens = exchange.request.metadata.prompt_tokens.0,
            max_output_tokens = exchange.request.metadata.max_output_tokens.0,
            length_hint = exchange.request.metadata.length_hint.map(|tokens| tokens.0),
            shared_tokens = exchange.request.metadata.shared_tokens(),
            shared_part = exchange.request.metadata.affinity_key(),
            goal_ms = exchange.route.goal_ms,
            allowance_ms = exchange.goal_ms() - exchange.route.goal_ms,
            destination = exchange.placement.as_ref().map(|placement| placement.destination.as_str()),
            software_version = exchange
                .placement
                .as_ref()
                .and_then(|placement| placement.software_version.as_ref())
                .map(SoftwareVersion::as_str),
            suspect = %exchange.suspects.request(),
            begun_by = exchange.request.metadata.begun_by.as_deref(),
            waited_ms = exchange
                .placement
                .as_ref()
                .map(|placement| placement.sent_ms.saturating_sub(exchange.arrived_ms)),
            predicted_ms = exchange.placement.as_ref().map(|placement| placement.predicted_ms),
            backlog_ms = exchange.placement.as_ref().map(|placement| placement.backlog_ms),
            uncached_tokens = exchange.placement.as_ref().map(|placement| placement.uncached_tokens),
            cold_left_ms = exchange.placement.as_ref().map(|placement| placement.cold_left_ms),
            first_event_ms = exchange
                .first_event_at_ms
                .map(|at_ms| at_ms.saturating_sub(exchange.arrived_ms)),
            event_ms = exchange.pace().map(|pace| pace.event_ms() as u64),
            stream_result = exchange
                .stream_result(status, now_ms)
                .map(StreamResult::as_str),
            here_ms = exchange.refusal.and_then(|refusal| refusal.local_ms),
            queue_ms = exchange.refusal.map(|refusal| refusal.queue_ms),
            away_ms = exchange.refusal.and_then(|refusal| refusal.remote_ms),
            kept_from = exchange.kept_from.as_ref().map(|kept| kept.endpoint.as_str()),
            limit = exchange
                .kept_from
                .as_ref()
                .and_then(|kept| kept.rate.map(tracing::field::display)),
            free_places = exchange.kept_from.as_ref().and_then(|kept| kept.free_places),
            kept_from_is_cold = exchange.kept_from.as_ref().map(|kept| kept.is_cold),
            limit_age_ms = exchange.kept_from.as_ref().map(|kept| kept.age_ms),
            permit_interval_ms = exchange.kept_from.as_ref().and_then(|kept| kept.interval_ms),
            retry_ms = exchange.refusal.map(|refusal| refusal.retry_ms),
            total_ms,
            outcome,
            status,
            "request ended"
        );
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the result of a request as metrics name it.
fn result_of(status: u16) -> &'static str {
    match status {
        200..300 => "answered",
        429 | 503 => "refused",
        _ => "failed",
    }
}

impl LineLimiter {
    fn admit(&mut self, per_second: u32, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        self.used += 1;
        self.used <= per_second
    }
}
