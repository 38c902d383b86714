//! Finds crashes of endpoints, exchanges reports of them, and refuses requests with a part
//! that crashes endpoints.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    crash_records::{
        CrashId,
        CrashReport, //
    },
    exchange::Destination,
    fleet::Choice,
    load_updates::Packet,
    reactor::Reactor,
    request::PromptPart,
    response::GatewayResponse, //
};

/// Status of a refusal of a request that no endpoint can serve: callers do not repeat it.
pub(super) const UNSERVABLE_STATUS: u16 = 400;
/// Time for which events have to arrive until a request counts as begun: a crash may follow
/// the first one.
const SOUND_AFTER_MS: u64 = 300;
/// Time after a broken connection in which the endpoint may turn out to have ended.
const CONFIRM_LIMIT_MS: u64 = 3_000;
/// Broken requests that wait for that; the oldest are dropped first.
const MAX_SUSPECTED: usize = 256;
/// Interval at which a host sends all that it knows to others.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Time after the start of a host in which it asks others for what they know.
const ASK_MS: u64 = 5_000;
/// Most reports in a packet, so that it does not exceed the largest size.
const MAX_REPORTS: usize = 40;

/// Crash reports of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    /// Region of the sender.
    pub region: CompactString,
    /// The reports.
    pub reports: Vec<CrashReport>,
    /// The sender asks for what the receiver knows.
    pub is_question: bool,
}

/// A request whose connection broke before it had begun.
#[derive(Debug)]
pub(super) struct SuspectedCrash {
    endpoint: CompactString,
    crash: CrashId,
    parts: Vec<PromptPart>,
    broke_ms: u64,
}

impl Reactor {
    /// Notes that the connection of a request broke before the request had begun, and tests
    /// whether the endpoint has ended.
    pub(super) fn suspect_crash(&mut self, key: usize, choice: &Choice) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let is_sound = exchange.dispatch.as_ref().is_none_or(|one| one.is_sound);
        let parts = exchange.request.metadata.shared_parts();
        let Some(endpoint) = self.fleet.get(&choice.endpoint) else {
            return;
        };
        if is_sound || parts.is_empty() {
            return;
        }
        let announcement = &endpoint.announcement;
        let address = announcement.address;
        self.suspected_crashes.push_back(SuspectedCrash {
            endpoint: choice.endpoint.clone(),
            crash: CrashId::new(&choice.endpoint, announcement.order.started_ms),
            parts: parts.to_vec(),
            broke_ms: now_ms,
        });
        if self.suspected_crashes.len() > MAX_SUSPECTED {
            self.suspected_crashes.pop_front();
        }
        self.connect_ahead(address, Some(choice.endpoint.clone()));
    }

    /// Records the crash of an endpoint that accepts no connections any more.
    pub(super) fn confirm_crash(&mut self, endpoint: &str, now_ms: u64) {
        let suspected = std::mem::take(&mut self.suspected_crashes);
        for one in suspected {
            if one.endpoint != endpoint {
                self.suspected_crashes.push_back(one);
            } else if now_ms < one.broke_ms + CONFIRM_LIMIT_MS {
                tracing::info!(
                    endpoint,
                    crash = %one.crash,
                    parts = ?one.parts.iter().map(|part| part.id).collect::<Vec<u64>>(),
                    "endpoint ended before a request had begun"
                );
                self.crash_records
                    .record_crash(&one.parts, one.crash, now_ms);
            }
        }
    }

    /// Records that a request has begun, once events have arrived for long enough or
    /// `is_whole`.
    pub(super) fn record_progress(&mut self, key: usize, is_whole: bool, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(dispatch) = &mut exchange.dispatch else {
            return;
        };
        let begun_ms = *dispatch.begun_ms.get_or_insert(now_ms);
        if dispatch.is_sound || !(is_whole || now_ms >= begun_ms + SOUND_AFTER_MS) {
            return;
        }
        dispatch.is_sound = true;
        let parts = exchange.request.metadata.shared_parts();
        self.crash_records.record_sound(parts, now_ms);
    }

    /// Refuses a request with a part that crashes endpoints; returns false if it has none.
    pub(super) fn refuse_unservable(&mut self, key: usize, now_ms: u64) -> bool {
        let Some(exchange) = self.exchanges.get(key) else {
            return false;
        };
        let parts = exchange.request.metadata.shared_parts();
        let Some(part) = self.crash_records.refused_part(parts, now_ms) else {
            return false;
        };
        tracing::debug!(
            request = %exchange.request.metadata.attempt_id,
            %part,
            "request has a prompt part that crashes endpoints"
        );
        self.end_unservable(key);
        true
    }

    /// Ends a request that no endpoint can serve.
    pub(super) fn end_unservable(&mut self, key: usize) {
        const CAUSE: &str = "prompt part crashes endpoints";
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if exchange.has_response_begun {
            return self.cut_off(key, CAUSE);
        }
        let response = match exchange.run_count {
            0 => GatewayResponse {
                is_not_run: true,
                ..GatewayResponse::new(UNSERVABLE_STATUS)
            },
            _ => GatewayResponse::new(502),
        };
        self.fail(key, CAUSE, response);
    }

    /// Ends requests in progress that have not begun and have a part that crashes endpoints.
    fn end_unservable_dispatches(&mut self, now_ms: u64) {
        let refused: Vec<(usize, usize)> = self
            .exchanges
            .iter()
            .filter_map(|(key, exchange)| {
                let dispatch = exchange.dispatch.as_ref()?;
                let parts = exchange.request.metadata.shared_parts();
                let is_refused = self.crash_records.refused_part(parts, now_ms).is_some();
                (is_refused && !dispatch.has_begun).then_some((key, dispatch.upstream))
            })
            .collect();
        for (key, upstream) in refused {
            self.end_dispatch(key, None, now_ms);
            self.close_upstream(upstream);
            self.end_unservable(key);
        }
    }

    /// Applies new crashes and tells other hosts about them.
    pub(super) fn exchange_crash_reports(&mut self, now_ms: u64) {
        if self.crash_records.take_new_crash() {
            self.end_unservable_dispatches(now_ms);
        }
        let reports = self.crash_records.take_local(MAX_REPORTS, now_ms);
        if !reports.is_empty() {
            let peers = self.peers_in(&self.settings.host.region.clone(), now_ms);
            self.send_crash_reports(reports, false, &peers);
        }
        let reports = self.crash_records.take_remote(MAX_REPORTS, now_ms);
        if !reports.is_empty() {
            let peers = self.one_host_of_each_region(now_ms);
            self.send_crash_reports(reports, false, &peers);
        }
        if now_ms < self.next_crash_exchange_ms {
            return;
        }
        self.next_crash_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS;
        self.crash_records.expire(now_ms);
        let is_question = now_ms < ASK_MS;
        if is_question || !self.crash_records.is_empty() {
            let own_region = self.settings.host.region.clone();
            let near = self.random_host(&own_region, &[], now_ms);
            let mut peers = self.one_host_of_each_region(now_ms);
            peers.extend(near.map(|host| host.peer_address));
            let reports = self.crash_records.all(MAX_REPORTS, now_ms);
            self.send_crash_reports(reports, is_question, &peers);
        }
    }

    /// Applies the reports of another host, and answers its question.
    pub(super) fn apply_crash_reports(&mut self, sent: CrashReports, from: SocketAddr) {
        let now_ms = self.now_ms();
        let is_remote = sent.region != self.settings.host.region;
        for report in sent.reports {
            self.crash_records.apply(report, is_remote, now_ms);
        }
        if sent.is_question && !self.crash_records.is_empty() {
            let reports = self.crash_records.all(MAX_REPORTS, now_ms);
            self.send_crash_reports(reports, false, &[from]);
        }
    }

    fn send_crash_reports(
        &mut self,
        reports: Vec<CrashReport>,
        is_question: bool,
        peers: &[SocketAddr],
    ) {
        let packet = Packet::CrashReports(CrashReports {
            region: self.settings.host.region.clone(),
            reports,
            is_question,
        });
        self.send_packet(&packet, peers);
    }

    /// Returns whether a request may be the cause of the crash of its endpoint.
    pub(super) fn may_crash_again(&self, key: usize) -> bool {
        let Some(exchange) = self.exchanges.get(key) else {
            return false;
        };
        let has_begun = exchange.events.complete_count() > 0;
        let parts = exchange.request.metadata.shared_parts();
        !has_begun && self.crash_records.is_suspect(parts)
    }

    /// Returns whether the host that a request was forwarded to refuses it as unservable.
    pub(super) fn is_refused_by_host(&self, key: usize, status: u16) -> bool {
        let destination = self.exchanges.get(key).and_then(|one| one.destination());
        status == UNSERVABLE_STATUS && matches!(destination, Some(Destination::Region { .. }))
    }
}
