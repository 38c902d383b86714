//! Finds crashes of endpoints, exchanges reports of them, and refuses requests that crash
//! endpoints, by themselves or with a prompt part.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    crash_records::{
        CrashId,
        CrashReport,
        RequestHash,
        Suspect,
        Suspects, //
    },
    exchange::Destination,
    fleet::Choice,
    head::RequestHead,
    load_updates::Packet,
    reactor::Reactor,
    response::GatewayResponse, //
};

/// Status of a refusal of a request that no endpoint can serve: callers do not repeat it.
pub(super) const UNSERVABLE_STATUS: u16 = 400;
/// Time after a broken connection in which the endpoint may turn out to have ended.
const CONFIRM_LIMIT_MS: u64 = 3_000;
/// Times after a broken connection at which a new one is tried: the listener of an endpoint
/// may outlive its connections by some 100 ms.
const LOOKS_MS: [u64; 4] = [0, 150, 600, 2_000];
/// Broken requests that wait for that; the oldest are dropped first.
const MAX_SUSPECTED: usize = 256;
/// Interval at which a host sends all that it knows to others.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Time after the start of a host in which it asks others for what they know.
const ASK_MS: u64 = 5_000;
/// Most reports in a packet, so that it does not exceed the largest size.
const MAX_REPORTS: usize = 40;
/// Most suspects in a log line.
const MAX_LOGGED: usize = 8;

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

/// A request whose connection broke.
#[derive(Debug)]
pub(super) struct SuspectedCrash {
    endpoint: CompactString,
    crash: CrashId,
    suspects: Rc<Suspects>,
    sent_ms: u64,
    broke_ms: u64,
    /// Number of connections that were tried since.
    look_count: usize,
}

impl SuspectedCrash {
    fn is_look_due(&self, now_ms: u64) -> bool {
        let next = LOOKS_MS.get(self.look_count);
        next.is_some_and(|after_ms| now_ms >= self.broke_ms + after_ms)
    }
}

/// Returns the hash by which a request, but for its prompt parts, is recognised when it comes
/// again.
pub(super) fn call_hash(head: &RequestHead, body: &[u8]) -> RequestHash {
    let host = head.header("host").unwrap_or_default().to_ascii_lowercase();
    let account = head.header("authorization").unwrap_or_default();
    let mut hash = Xxh3::new();
    for field in [&head.method, host.as_str(), &head.target, account] {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field.as_bytes());
    }
    hash.update(body);
    RequestHash(hash.digest())
}

impl Reactor {
    /// Notes that the connection of a request broke, and tests whether the endpoint has ended.
    pub(super) fn suspect_crash(&mut self, key: usize, choice: &Choice) {
        let now_ms = self.now_ms();
        let exchange = self.exchanges.get(key);
        let Some(dispatch) = exchange.and_then(|exchange| exchange.dispatch.as_ref()) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(&choice.endpoint) else {
            return;
        };
        // An endpoint that leaves ends without any fault of its requests.
        if !endpoint.is_staying(now_ms) {
            return;
        }
        let announcement = &endpoint.announcement;
        self.suspected_crashes.push_back(SuspectedCrash {
            endpoint: choice.endpoint.clone(),
            crash: CrashId::new(&choice.endpoint, announcement.order.started_ms),
            suspects: Rc::clone(&self.exchanges[key].suspects),
            sent_ms: dispatch.sent_ms,
            broke_ms: now_ms,
            look_count: 0,
        });
        if self.suspected_crashes.len() > MAX_SUSPECTED {
            self.suspected_crashes.pop_front();
        }
        self.look_for_crashes(now_ms);
    }

    /// Tests whether endpoints whose connections broke have ended, where that is due.
    pub(super) fn look_for_crashes(&mut self, now_ms: u64) {
        self.suspected_crashes
            .retain(|one| now_ms < one.broke_ms + CONFIRM_LIMIT_MS);
        let mut due: Vec<CompactString> = Vec::new();
        for one in &mut self.suspected_crashes {
            if one.is_look_due(now_ms) {
                one.look_count += 1;
                if !due.contains(&one.endpoint) {
                    due.push(one.endpoint.clone());
                }
            }
        }
        for id in due {
            if let Some(endpoint) = self.fleet.get(&id) {
                self.connect_ahead(endpoint.announcement.address, Some(id));
            }
        }
    }

    /// Records the crash of an endpoint that accepts no connections any more.
    pub(super) fn confirm_crash(&mut self, endpoint: &str, now_ms: u64) {
        let suspected = std::mem::take(&mut self.suspected_crashes);
        let (ended, others): (VecDeque<_>, VecDeque<_>) = suspected
            .into_iter()
            .partition(|one| one.endpoint == endpoint);
        self.suspected_crashes = others;
        let broken = ended.into_iter();
        let broken: Vec<SuspectedCrash> = broken
            .filter(|one| now_ms < one.broke_ms + CONFIRM_LIMIT_MS)
            .collect();
        let Some(first) = broken.first() else {
            return;
        };
        let suspects = broken.iter().flat_map(|one| one.suspects.all());
        let logged: Vec<String> = suspects.take(MAX_LOGGED).map(Suspect::to_string).collect();
        tracing::info!(
            endpoint,
            crash = %first.crash,
            requests = broken.len(),
            suspects = ?logged,
            "endpoint ended while requests were in progress"
        );
        for one in &broken {
            let (sent_ms, broke_ms) = (one.sent_ms, one.broke_ms);
            self.crash_records
                .record_crash(one.suspects.all(), one.crash, sent_ms, broke_ms);
        }
    }

    /// Records that a request has ended well.
    pub(super) fn record_sound(&mut self, key: usize, now_ms: u64) {
        if let Some(exchange) = self.exchanges.get(key) {
            let suspects = Rc::clone(&exchange.suspects);
            self.crash_records.record_sound(suspects.all(), now_ms);
        }
    }

    /// Refuses a request that crashes endpoints; returns false if it is not known to.
    pub(super) fn refuse_unservable(&mut self, key: usize, now_ms: u64) -> bool {
        let Some(exchange) = self.exchanges.get(key) else {
            return false;
        };
        let suspects = exchange.suspects.all();
        let Some(suspect) = self.crash_records.refused(suspects, now_ms) else {
            return false;
        };
        tracing::debug!(
            request = %exchange.request.metadata.attempt_id,
            %suspect,
            "request crashes endpoints"
        );
        self.end_unservable(key);
        true
    }

    /// Ends a request that no endpoint can serve.
    pub(super) fn end_unservable(&mut self, key: usize) {
        const CAUSE: &str = "request crashes endpoints";
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

    /// Ends requests in progress that crash endpoints. One that has begun goes on if only a
    /// part of it that others share is known to.
    fn end_unservable_dispatches(&mut self, now_ms: u64) {
        let refused: Vec<(usize, usize)> = self
            .exchanges
            .iter()
            .filter_map(|(key, exchange)| {
                let dispatch = exchange.dispatch.as_ref()?;
                let suspects = &exchange.suspects;
                let is_refused = self.crash_records.refused(suspects.all(), now_ms).is_some();
                let is_ended =
                    !dispatch.has_begun || self.crash_records.has_verdict(suspects.own(), now_ms);
                (is_refused && is_ended).then_some((key, dispatch.upstream))
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
            self.store_verdicts(now_ms);
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
        self.store_verdicts(now_ms);
        let is_question = now_ms < ASK_MS;
        if is_question || !self.crash_records.is_empty() {
            let own_region = self.settings.host.region.clone();
            let near = self.random_host(&own_region, now_ms);
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
        let records = &self.crash_records;
        records.is_suspect(exchange.suspects.own())
            || (!has_begun && records.is_suspect(exchange.suspects.shared()))
    }

    /// Returns whether the host that a request was forwarded to refuses it as unservable.
    pub(super) fn is_refused_by_host(&self, key: usize, status: u16) -> bool {
        let destination = self.exchanges.get(key).and_then(|one| one.destination());
        status == UNSERVABLE_STATUS && matches!(destination, Some(Destination::Region { .. }))
    }
}
