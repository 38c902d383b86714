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
    endpoint::EndpointHash,
    endpoint_limit::LimitReport,
    exchange::Destination,
    fleet::LimitWait,
    hosts::HostInfo,
    load_updates::Packet,
    permits::{
        PermitDesk,
        coordinator_priority,
        handed_out_rate, //
    },
    reactor::Reactor,
    request_rate::RequestRate, //
};
use crate::platform::headers::ResponseMetadata;

/// Shortest interval of questions for permits: a few fit into the lifetime of one.
const MIN_QUESTION_INTERVAL_MS: u64 = 100;
/// The same for each host of the region, so that a coordinator gets a hundred questions a
/// second for an endpoint whatever the size of the region.
const QUESTION_INTERVAL_PER_HOST_MS: u64 = 10;
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

/// Question to the coordinator of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// Name of the sender.
    pub host: CompactString,
    /// The limit as the sender knows it.
    pub limit: LimitReport,
    /// Permits that the sender can use.
    pub missing: u32,
    /// Time until it asks again.
    pub interval_ms: u64,
}

/// Answer to a [`PermitQuestion`], or permits that were collected later.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Number of permits.
    pub count: u32,
    /// Time between two permits for the receiver.
    pub interval_ms: f64,
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
    desks: BTreeMap<CompactString, PermitDesk>,
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
        if !self.fleet.record_limit(id, metadata.limit, sent_ms, now_ms) {
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
            "endpoint changed its limit on requests from all hosts"
        );
        let report = LimitReport::new(endpoint, now_ms);
        let peers = self.peers_in(&self.settings.host.region.clone(), now_ms);
        self.send_limit_reports(vec![report], false, &peers);
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
                age_ms = report.age_ms,
                "endpoint changed its limit, as another host reports"
            );
        }
    }

    fn send_known_limits(&mut self, is_question: bool, peers: &[SocketAddr], now_ms: u64) {
        let reports = self.fleet.limit_reports(now_ms).take(MAX_REPORTS).collect();
        self.send_limit_reports(reports, is_question, peers);
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
            let peer = self.random_host(&own_region, &[], now_ms);
            let peers: Vec<SocketAddr> = peer.iter().map(|peer| peer.peer_address).collect();
            self.send_known_limits(now_ms < ASK_MS, &peers, now_ms);
            self.drop_idle_desks(now_ms);
        }
        self.ask_for_permits(now_ms);
        let coordinated: Vec<CompactString> = self.limits.desks.keys().cloned().collect();
        for endpoint in coordinated {
            self.hand_out_permits(&endpoint, None, now_ms);
        }
    }

    /// Drops the desks of endpoints that name no limit any more.
    fn drop_idle_desks(&mut self, now_ms: u64) {
        let fleet = &self.fleet;
        self.limits.desks.retain(|id, _| {
            let endpoint = fleet.get(id).filter(|one| one.is_staying(now_ms));
            endpoint.is_some_and(|endpoint| endpoint.limit().is_some())
        });
        let limited = fleet.limited(now_ms).count();
        self.telemetry.set_limited_endpoints(limited);
    }

    fn ask_for_permits(&mut self, now_ms: u64) {
        let limited: Vec<(CompactString, CompactString, RequestRate)> = self
            .fleet
            .limited(now_ms)
            .map(|(endpoint, rate)| {
                let service = endpoint.announcement.service.clone();
                (endpoint.id.clone(), service, rate)
            })
            .collect();
        for (id, service, rate) in limited {
            let wanted = self.wanted_permits(&service, rate, now_ms);
            let endpoint = self.fleet.get(&id);
            let missing = endpoint.and_then(|known| known.permits.missing(wanted, now_ms));
            if let Some(missing) = missing {
                self.ask_for(&id, missing, now_ms);
            }
        }
    }

    /// Returns the permits that requests of a service use within their lifetime.
    fn wanted_permits(&mut self, service: &str, rate: RequestRate, now_ms: u64) -> usize {
        let demand = self.limits.demand.get_mut(service);
        let arriving = demand.map_or(0, |demand| demand.per_period(now_ms));
        let waiting = self.waiting_count(service, None, now_ms);
        let most = rate.per_s() * DEMAND_PERIOD_MS as f64 / 1_000.0;
        (arriving + waiting).min(most.ceil() as usize + 1)
    }

    fn ask_for(&mut self, id: &CompactString, missing: u32, now_ms: u64) {
        let hosts = self.hosts.heard_in_region(now_ms);
        let interval_ms =
            (hosts.len() as u64 * QUESTION_INTERVAL_PER_HOST_MS).max(MIN_QUESTION_INTERVAL_MS);
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let Some(coordinator) =
            coordinator(id, &hosts, |name| endpoint.permits.may_ask(name, now_ms))
        else {
            return;
        };
        endpoint
            .permits
            .record_question(&coordinator.name, interval_ms, now_ms);
        let limit = LimitReport::new(endpoint, now_ms);
        let host = self.settings.host.name.clone();
        if coordinator.name == host {
            let desk = self.desk(id, now_ms);
            desk.ask(&host, missing, interval_ms, now_ms);
            return self.hand_out_permits(id, Some(&host), now_ms);
        }
        let question = PermitQuestion {
            host,
            limit,
            missing,
            interval_ms,
        };
        let address = coordinator.peer_address;
        self.send_packet(&Packet::PermitQuestion(question), &[address]);
    }

    fn desk(&mut self, id: &CompactString, now_ms: u64) -> &mut PermitDesk {
        let desks = &mut self.limits.desks;
        desks
            .entry(id.clone())
            .or_insert_with(|| PermitDesk::new(now_ms))
    }

    /// Answers the question of another host for permits.
    pub(super) fn answer_permit_question(&mut self, question: &PermitQuestion) {
        let now_ms = self.now_ms();
        self.apply_limit_report(&question.limit, &question.host, now_ms);
        let Some(id) = self.fleet.id_of(question.limit.endpoint) else {
            return;
        };
        let desk = self.desk(&id, now_ms);
        desk.ask(
            &question.host,
            question.missing,
            question.interval_ms,
            now_ms,
        );
        self.hand_out_permits(&id, Some(&question.host), now_ms);
    }

    /// Hands out the permits that were collected for an endpoint; `asker` gets an answer in
    /// any case.
    fn hand_out_permits(&mut self, id: &CompactString, asker: Option<&str>, now_ms: u64) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let Some(limit) = endpoint.limit() else {
            return;
        };
        let hash = endpoint.hash;
        let own_priority = coordinator_priority(id, &self.settings.host.name);
        let comes_before = |host: &str| coordinator_priority(id, host) > own_priority;
        let earlier_count = self.hosts.count_present(comes_before, now_ms);
        let rate = handed_out_rate(limit, self.hosts.heard_share(now_ms), earlier_count);
        let Some(desk) = self.limits.desks.get_mut(id) else {
            return;
        };
        let mut handed_out = desk.hand_out(rate, now_ms);
        let interval_ms = desk.interval_ms(rate);
        if let Some(asker) = asker {
            handed_out.entry(asker.into()).or_default();
        }
        for (host, count) in handed_out {
            let answer = PermitAnswer {
                endpoint: hash,
                count,
                interval_ms,
            };
            if host == self.settings.host.name {
                self.apply_permit_answer(&answer);
            } else if let Some(address) = self.hosts.peer_address(&host) {
                self.send_packet(&Packet::PermitAnswer(answer), &[address]);
            }
        }
    }

    /// Applies the permits that a coordinator has handed out.
    pub(super) fn apply_permit_answer(&mut self, answer: &PermitAnswer) {
        let now_ms = self.now_ms();
        self.telemetry.count_permits(answer.count);
        let id = self.fleet.id_of(answer.endpoint);
        if let Some(endpoint) = id.and_then(|id| self.fleet.get_mut(&id)) {
            endpoint
                .permits
                .apply_answer(answer.count, answer.interval_ms, now_ms);
        }
    }
}

/// Returns the host that hands out the permits of an endpoint, of those that may be asked.
fn coordinator<'a, F>(endpoint: &str, hosts: &'a [HostInfo], may_ask: F) -> Option<&'a HostInfo>
where
    F: Fn(&str) -> bool,
{
    hosts
        .iter()
        .filter(|host| may_ask(&host.name))
        .max_by_key(|host| coordinator_priority(endpoint, &host.name))
}
