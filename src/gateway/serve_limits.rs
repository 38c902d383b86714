//! Follows the limits that endpoints name: learns them from answers and other hosts, asks
//! for permits, and hands them out for the endpoints that this host coordinates.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    bound::Bound,
    endpoint_limit::LimitReport,
    exchange::Destination,
    fleet::LimitWait,
    load_updates::Packet,
    permit_exchange::{
        Outgoing,
        PermitAnswer,
        PermitExchange,
        PermitMessage,
        PermitQuestion,
        asked_endpoints, //
    },
    reactor::Reactor,
    request_rate::RequestRate, //
};
use crate::platform::headers::ResponseMetadata;

/// Length of the periods in which requests are counted: the lifetime of a permit.
const DEMAND_PERIOD_MS: u64 = 500;
/// Interval at which a host sends all limits that it knows to another.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Time after the start of a host in which it asks others for what they know.
const ASK_MS: u64 = 5_000;
/// Most reports in a packet, so that it does not exceed the largest size.
const MAX_REPORTS: usize = 40;

/// Limits that a host knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReports {
    /// Name of the sender.
    pub host: CompactString,
    /// The limits.
    pub reports: Vec<LimitReport>,
    /// The sender asks for what the receiver knows.
    pub is_question: bool,
}

/// Requests for a service in the current period and the one before.
#[derive(Debug, Default)]
struct Demand {
    period: u64,
    current: usize,
    previous: usize,
}

impl Demand {
    fn advance(&mut self, now_ms: u64) {
        let period = now_ms / DEMAND_PERIOD_MS;
        if period == self.period {
            return;
        }
        self.previous = match period == self.period + 1 {
            true => self.current,
            false => 0,
        };
        self.current = 0;
        self.period = period;
    }

    fn per_period(&mut self, now_ms: u64) -> usize {
        self.advance(now_ms);
        self.current.max(self.previous)
    }
}

/// What a host needs to follow the limits of endpoints.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    demand: BTreeMap<CompactString, Demand>,
    /// Time up to which refused callers were asked to come back, by service.
    promised_ms: BTreeMap<CompactString, f64>,
    next_exchange_ms: u64,
}

impl LimitState {
    /// Records a request for a service.
    pub(super) fn record_request(&mut self, service: &str, now_ms: u64) {
        let demand = self.demand.entry(service.into()).or_default();
        demand.advance(now_ms);
        demand.current += 1;
    }

    /// Returns whether requests for a service have come.
    pub(super) fn has_demand(&self, service: &str) -> bool {
        self.demand.contains_key(service)
    }

    /// Returns the time after which the next refused caller of a service comes back, behind
    /// those that were refused before.
    pub(super) fn return_in_ms(&self, service: &str, wait: LimitWait, now_ms: u64) -> f64 {
        let promised_ms = self.promised_ms.get(service).copied().unwrap_or(0.0);
        wait.wait_ms
            .max(promised_ms - now_ms as f64 + wait.interval_ms)
    }

    /// Records that a caller was asked to come back at `at_ms`.
    pub(super) fn promise_return(&mut self, service: &str, at_ms: u64) {
        self.promised_ms.insert(service.into(), at_ms as f64);
    }
}

impl Reactor {
    /// Applies what an answer to a request sent at `sent_ms` says about the limit of its
    /// endpoint.
    pub(super) fn record_limit(&mut self, key: usize, metadata: &ResponseMetadata, sent_ms: u64) {
        if metadata.is_other_endpoint {
            return;
        }
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let Some(Destination::Endpoint(choice)) = exchange.destination() else {
            return;
        };
        let id = &choice.endpoint;
        let known = self.fleet.get(id).and_then(|known| known.limit());
        let is_limit_changed = self.fleet.record_limit(id, metadata.limit, sent_ms, now_ms);
        let is_brittle_changed = self
            .fleet
            .record_brittle(id, metadata.brittle, sent_ms, now_ms);
        if !is_limit_changed && !is_brittle_changed {
            return;
        }
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        tracing::info!(
            endpoint = %id,
            request = %exchange.request.metadata.attempt_id,
            limit = endpoint.limit().map(tracing::field::display),
            before = known.map(tracing::field::display),
            brittle = endpoint.statements.brittle.rate().map(tracing::field::display),
            "endpoint changed what it takes from all hosts"
        );
        let report = LimitReport::new(endpoint, now_ms);
        self.tell_region(vec![report], now_ms);
    }

    /// Sends reports to the other hosts of the region.
    pub(super) fn tell_region(&mut self, reports: Vec<LimitReport>, now_ms: u64) {
        let peers = self.peers_in(&self.settings.host.region.clone(), now_ms);
        self.send_limit_reports(reports, false, &peers);
    }

    /// Applies the limits that another host knows, and answers its question.
    pub(super) fn apply_limit_reports(&mut self, sent: LimitReports, from: SocketAddr) {
        let now_ms = self.now_ms();
        for report in &sent.reports {
            self.apply_limit_report(report, &sent.host, now_ms);
        }
        if sent.is_question {
            self.send_known_limits(false, &[from], now_ms);
        }
    }

    fn apply_limit_report(&mut self, report: &LimitReport, host: &str, now_ms: u64) {
        if let Some(id) = self.fleet.apply_limit_report(report, now_ms) {
            tracing::info!(
                endpoint = %id,
                host,
                limit = report.rate.map(tracing::field::display),
                brittle = report.brittle.map(tracing::field::display),
                age_ms = report.age_ms,
                "endpoint changed what it takes, as another host reports"
            );
        }
        if let Some(id) = self.fleet.apply_cold_report(report, now_ms) {
            self.log_cold(&id, host, now_ms);
        }
    }

    fn send_known_limits(&mut self, is_question: bool, peers: &[SocketAddr], now_ms: u64) {
        let reports = self.fleet.limit_reports(now_ms).take(MAX_REPORTS).collect();
        self.send_limit_reports(reports, is_question, peers);
        self.send_known_starts(peers, now_ms);
    }

    fn send_limit_reports(
        &mut self,
        reports: Vec<LimitReport>,
        is_question: bool,
        peers: &[SocketAddr],
    ) {
        if peers.is_empty() || (reports.is_empty() && !is_question) {
            return;
        }
        let packet = Packet::LimitReports(LimitReports {
            host: self.settings.host.name.clone(),
            reports,
            is_question,
        });
        self.send_packet(&packet, peers);
    }

    /// Exchanges limits with another host, asks for permits, and hands out those that were
    /// collected since.
    pub(super) fn follow_limits(&mut self, now_ms: u64) {
        if now_ms >= self.limits.next_exchange_ms {
            self.limits.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS;
            let own_region = self.settings.host.region.clone();
            let peer = self.random_host(&own_region, now_ms);
            let peers: Vec<SocketAddr> = peer.iter().map(|peer| peer.peer_address).collect();
            self.send_known_limits(now_ms < ASK_MS, &peers, now_ms);
            self.permits.drop_idle(&self.fleet, now_ms);
            let limited = self.fleet.bounded(now_ms);
            let limited = limited.filter(|(endpoint, _)| endpoint.limit().is_some());
            self.telemetry.set_limited_endpoints(limited.count());
        }
        self.ask_for_permits(now_ms);
        let outgoing = self.permits.hand_out_all(&self.fleet, &self.hosts, now_ms);
        self.send_permit_messages(outgoing);
    }

    fn ask_for_permits(&mut self, now_ms: u64) {
        let mut by_service: BTreeMap<CompactString, Vec<(CompactString, Bound)>> = BTreeMap::new();
        for (endpoint, bound) in self.fleet.bounded(now_ms) {
            let service = endpoint.announcement.service.clone();
            let bounded = by_service.entry(service).or_default();
            bounded.push((endpoint.id.clone(), bound));
        }
        for (service, bounded) in by_service {
            let requests = self.requests_within_lifetime(&service, now_ms);
            for (id, bound) in asked_endpoints(&self.settings.host.name, requests, bounded) {
                let most = bound.rate().map(most_within_lifetime);
                let wanted = requests.min(most.unwrap_or(requests));
                let outgoing = self
                    .permits
                    .ask(&id, wanted, &mut self.fleet, &self.hosts, now_ms);
                self.send_permit_messages(outgoing);
            }
        }
    }

    /// Returns the requests of a service that may use a permit within its lifetime.
    fn requests_within_lifetime(&mut self, service: &str, now_ms: u64) -> usize {
        let demand = self.limits.demand.get_mut(service);
        let arriving = demand.map_or(0, |demand| demand.per_period(now_ms));
        arriving + self.waiting_count(service, None, now_ms)
    }

    /// Answers the question of another host for permits.
    pub(super) fn answer_permit_question(&mut self, question: &PermitQuestion) {
        let now_ms = self.now_ms();
        self.apply_limit_report(&question.limit, &question.host, now_ms);
        let outgoing = self
            .permits
            .answer(question, &mut self.fleet, &self.hosts, now_ms);
        self.send_permit_messages(outgoing);
    }

    fn send_permit_messages(&mut self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            match message {
                PermitMessage::Answer(answer) if to == self.settings.host.name => {
                    self.apply_permit_answer(&answer);
                }
                PermitMessage::Answer(answer) => {
                    self.send_to_peer(&to, &Packet::PermitAnswer(answer));
                }
                PermitMessage::Question(question) => {
                    self.send_to_peer(&to, &Packet::PermitQuestion(question));
                }
            }
        }
    }

    fn send_to_peer(&mut self, host: &str, packet: &Packet) {
        if let Some(address) = self.hosts.peer_address(host) {
            self.send_packet(packet, &[address]);
        }
    }

    /// Applies the permits that a coordinator has handed out.
    pub(super) fn apply_permit_answer(&mut self, answer: &PermitAnswer) {
        let now_ms = self.now_ms();
        self.telemetry.count_permits(answer.count);
        PermitExchange::apply_answer(answer, &mut self.fleet, now_ms);
    }
}

/// Returns the most permits of an endpoint that are used within their lifetime.
fn most_within_lifetime(rate: RequestRate) -> usize {
    let most = rate.per_s() * DEMAND_PERIOD_MS as f64 / 1_000.0;
    most.ceil() as usize + 1
}
