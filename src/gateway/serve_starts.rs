//! Finds out whether endpoints are still the start that they announced, and tells the region.
//!
//! A host that sees a sign looks by itself first: an endpoint that only broke an answer off
//! says within a round trip that it lives, and nobody else need know of the sign. Hosts that are
//! told of one wait a moment for what the others find out.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    configuration::Service,
    connection::UpstreamPhase,
    endpoint_limit::LimitReport,
    endpoint_start::{
        Arrival,
        EndSign,
        StartFinding,
        StartReport,
        StartTime, //
    },
    load_updates::Packet,
    permits::coordinator_priority,
    reactor::Reactor, //
};
use crate::platform::headers::{
    ResponseMetadata,
    decode_report,
    write_health_check,
    write_report_question, //
};

/// Shortest interval at which the checks that are due are looked for.
const ROUND_INTERVAL_MS: u64 = 10;
/// Time in which a sound endpoint answers a check, whatever its load.
const TELL_AFTER_MS: u64 = 20;
/// Time that a host which was told of a sign waits for what the others find out.
const HEARSAY_DELAY_MS: u64 = 150;
/// Shortest time between two checks of an endpoint that did not answer; doubles with each one.
const MIN_REPEAT_MS: u64 = 50;
/// Largest number of times that it doubles.
const MAX_REPEAT_DOUBLINGS: u32 = 5;
/// Time within which hosts notice the same end, and tell each other.
const SAME_SIGN_MS: u64 = 100;
/// Largest difference between the delays of two hosts.
const MAX_JITTER_MS: u64 = 64;
/// Status of an endpoint that is busy.
const BUSY_STATUS: u16 = 503;
/// Longest wait for the answer to a check.
const ANSWER_LIMIT_MS: u64 = 300;
/// Time after the start of a host in which it may not have heard of signs.
const NEW_HOST_MS: u64 = 3_000;
/// Checks that are started at a time, so that they delay no requests.
const MAX_CHECKS_AT_ONCE: usize = 8;
/// Most reports in a packet, so that it does not exceed the largest size.
const MAX_REPORTS: usize = 40;
/// Largest report of an endpoint that is read.
pub(super) const MAX_REPORT_BYTES: usize = 64 * 1024;

/// What a host has found out about the starts of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReports {
    /// Name of the sender.
    pub host: CompactString,
    /// The findings.
    pub reports: Vec<StartReport>,
}

/// A check in progress on a connection.
#[derive(Debug, Clone)]
pub(super) struct StartCheck {
    endpoint: CompactString,
    /// The start that the endpoint had announced.
    start: StartTime,
    kind: CheckKind,
    sent_ms: u64,
    /// The answer so far, if it is a report.
    pub(super) report: Vec<u8>,
}

/// What an endpoint is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckKind {
    /// Its report, which states when it started; only engines have one.
    Report,
    /// Its health, which states how long it stays cold.
    Health,
}

/// An endpoint whose start is in doubt.
#[derive(Debug, Clone)]
struct PendingCheck {
    next_ms: u64,
    /// Checks in a row that were not answered.
    unanswered_count: u32,
    /// Time before which there is no other check after those.
    paused_until_ms: u64,
    /// Time at which the region is told of the sign; none if it has been, or need not be.
    tell_at_ms: Option<u64>,
    /// The path of this host is not the cause of the sign.
    is_path_sound: bool,
    /// This host has told the region.
    is_shared: bool,
    /// The endpoint gave no report.
    has_no_report: bool,
}

impl PendingCheck {
    fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_ms.max(self.paused_until_ms)
    }

    fn record_check(&mut self, now_ms: u64) {
        let doublings = self.unanswered_count.min(MAX_REPEAT_DOUBLINGS);
        self.unanswered_count += 1;
        self.paused_until_ms = now_ms + (MIN_REPEAT_MS << doublings);
        self.next_ms = now_ms + ANSWER_LIMIT_MS;
    }

    fn record_answer(&mut self) {
        self.unanswered_count = 0;
        self.paused_until_ms = 0;
    }
}

/// The checks of endpoints whose start is in doubt.
#[derive(Debug, Default)]
pub(super) struct StartChecks {
    pending: BTreeMap<CompactString, PendingCheck>,
    next_round_ms: u64,
}

impl StartChecks {
    /// Makes the next check of an endpoint due at `next_ms`, unless it is due earlier.
    fn schedule(&mut self, id: &CompactString, next_ms: u64) -> &mut PendingCheck {
        let pending = self.pending.entry(id.clone()).or_insert(PendingCheck {
            next_ms,
            unanswered_count: 0,
            paused_until_ms: 0,
            tell_at_ms: None,
            is_path_sound: false,
            is_shared: false,
            has_no_report: false,
        });
        pending.next_ms = pending.next_ms.min(next_ms);
        pending
    }

    /// Returns whether no start is in doubt.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Reactor {
    /// Applies a sign that this host saw; `cause` names it in the log.
    pub(super) fn record_end_sign(&mut self, id: &CompactString, sign: EndSign, cause: &str) {
        let now_ms = self.now_ms();
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        // An endpoint that leaves ends its connections, and gets no new requests.
        if !endpoint.depends_on_start() || !endpoint.is_staying(now_ms) {
            return;
        }
        let is_new = endpoint.is_start_known();
        // What was found out since the sign before is about a process that may have ended.
        let is_finding_outdated = !endpoint.may_be_cold();
        endpoint.add_end_sign(sign);
        if is_new {
            tracing::info!(
                endpoint = %id,
                start = %endpoint.start(),
                cause,
                "endpoint may have started again"
            );
            self.telemetry.count_start_doubt();
        }
        let pending = self.start_checks.schedule(id, now_ms);
        pending.next_ms = now_ms;
        pending.is_shared &= !is_finding_outdated;
        // That a connection was not accepted may be due to the path of this host.
        if !pending.is_shared && sign.is_of_connection() {
            pending.tell_at_ms.get_or_insert(now_ms + TELL_AFTER_MS);
        }
        self.start_checks.next_round_ms = now_ms;
    }

    /// Doubts the start of an endpoint that this host has just learned of, if it has itself
    /// just started.
    pub(super) fn doubt_as_new_host(&mut self, id: &CompactString, now_ms: u64) {
        let own_region = &self.settings.host.region;
        if now_ms >= NEW_HOST_MS {
            return;
        }
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let is_bound = endpoint.region == *own_region && endpoint.cold_rate.is_some();
        let service = self.service(&endpoint.announcement.service);
        let can_be_asked = service.engine.is_some() || service.health_path.is_some();
        if let Some(endpoint) = self.fleet.get_mut(id)
            && is_bound
            && can_be_asked
            && endpoint.start_doubt().is_none()
        {
            endpoint.doubt_until(NEW_HOST_MS, now_ms);
        }
    }

    /// Goes on checking an endpoint whose start is in doubt after an announcement.
    pub(super) fn resume_start_check(&mut self, id: &CompactString, now_ms: u64) {
        let endpoint = self.fleet.get(id);
        if endpoint.is_some_and(|endpoint| endpoint.start_doubt().is_some()) {
            self.start_checks.schedule(id, now_ms);
        }
    }

    /// Lets the region be told of a sign, since the path of this host is not its cause.
    pub(super) fn allow_telling(&mut self, id: &CompactString, now_ms: u64) {
        if let Some(pending) = self.start_checks.pending.get_mut(id)
            && !pending.is_shared
        {
            pending.tell_at_ms = Some(now_ms);
            pending.is_path_sound = true;
        }
    }

    /// Records bytes that arrived on a connection to an endpoint, which may prove that its
    /// announced start lives.
    pub(super) fn record_arrival(&mut self, key: usize, arrival: Arrival) {
        if self.start_checks.is_empty() {
            return;
        }
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        let check = upstream.start_check.as_ref();
        // What the report states decides.
        if check.is_some_and(|check| check.kind == CheckKind::Report) {
            return;
        }
        let Some(id) = upstream.endpoint.clone() else {
            return;
        };
        let endpoint = self.fleet.get_mut(&id);
        let Some(doubt) = endpoint.and_then(|endpoint| endpoint.start_doubt_mut()) else {
            return;
        };
        doubt.record_arrival(arrival);
        if doubt.is_proof(arrival) {
            let alive_ms = arrival.sent_ms.max(arrival.drained_ms);
            self.settle_start(&id, "connection that it accepted", alive_ms);
        }
    }

    /// Ends the doubt about an endpoint whose announced start lives.
    fn settle_start(&mut self, id: &CompactString, source: &str, alive_ms: u64) {
        let now_ms = self.now_ms();
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let Some(doubt) = endpoint.start_doubt().copied() else {
            return;
        };
        endpoint.settle_start(alive_ms);
        let age_ms = now_ms.saturating_sub(alive_ms);
        let report = StartReport::new(endpoint, StartFinding::Alive).with_age_ms(age_ms);
        if doubt.has_sign() {
            tracing::info!(
                endpoint = %id,
                start = %report.start,
                source,
                after_ms = now_ms.saturating_sub(doubt.signed_ms()),
                "endpoint is the start that it announced"
            );
        }
        let pending = self.start_checks.pending.remove(id);
        if pending.is_some_and(|pending| pending.is_shared) {
            self.tell_region_of_starts(vec![report], now_ms);
        }
    }

    /// Starts the checks that are due, tells the region of signs, and ends doubts that the store
    /// has settled.
    pub(super) fn check_starts(&mut self, now_ms: u64) {
        if self.start_checks.is_empty() || now_ms < self.start_checks.next_round_ms {
            return;
        }
        self.start_checks.next_round_ms = now_ms + ROUND_INTERVAL_MS;
        self.end_unanswered_start_checks(now_ms);
        self.drop_settled(now_ms);
        if self.is_cut_off() {
            return;
        }
        self.tell_end_signs(now_ms);
        self.settle_by_store(now_ms);
        let due: Vec<CompactString> = self
            .start_checks
            .pending
            .iter()
            .filter(|(id, pending)| pending.is_due(now_ms) && self.is_check_wanted(id, now_ms))
            .map(|(id, _)| id.clone())
            .take(MAX_CHECKS_AT_ONCE)
            .collect();
        for id in due {
            self.send_check(&id, now_ms);
        }
    }

    /// Forgets the checks of endpoints whose start is no longer in doubt.
    fn drop_settled(&mut self, now_ms: u64) {
        let fleet = &mut self.fleet;
        self.start_checks.pending.retain(|id, _| {
            let Some(endpoint) = fleet.get_mut(id) else {
                return false;
            };
            let lapsed = endpoint.start_doubt();
            if lapsed.is_some_and(|doubt| doubt.has_lapsed(now_ms)) {
                endpoint.settle_start(0);
            }
            endpoint.start_doubt().is_some()
        });
    }

    /// Returns whether a check may say more than this host knows.
    fn is_check_wanted(&self, id: &str, now_ms: u64) -> bool {
        let Some(endpoint) = self.fleet.get(id) else {
            return false;
        };
        // Hosts that block it at the same moment do not come back at the same moment.
        let jitter_ms = check_jitter_ms(&self.settings.host.name, id);
        let blocked_until_ms = endpoint.blocked_until_ms();
        let is_blocked = blocked_until_ms > 0 && now_ms < blocked_until_ms + jitter_ms;
        let Some(doubt) = endpoint.start_doubt() else {
            return false;
        };
        // What is not in use need not be checked because this host is new.
        let is_used = doubt.has_sign() || self.limits.has_demand(&endpoint.announcement.service);
        is_used && !doubt.is_cold_time_known() && !is_blocked && endpoint.is_staying(now_ms)
    }

    /// Asks an endpoint whether it is the start that it announced.
    fn send_check(&mut self, id: &CompactString, now_ms: u64) {
        let Some(pending) = self.start_checks.pending.get_mut(id) else {
            return;
        };
        pending.record_check(now_ms);
        let has_no_report = pending.has_no_report;
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let address = endpoint.announcement.address;
        let start = endpoint.start();
        let service = self.service(&endpoint.announcement.service);
        let states_start = service.engine.is_some() && start != StartTime::default();
        let kind = match states_start && !has_no_report {
            true => CheckKind::Report,
            false => CheckKind::Health,
        };
        let Some(question) = question(kind, &service, address) else {
            return;
        };
        let Some(upstream) = self.check_connection(id, address, now_ms) else {
            return;
        };
        self.telemetry.count_start_check();
        let connection = &mut self.upstreams[upstream];
        connection.begin_request(None, now_ms);
        connection.start_check = Some(StartCheck {
            endpoint: id.clone(),
            start,
            kind,
            sent_ms: now_ms,
            report: Vec::new(),
        });
        connection.socket.queue(&question);
        if connection.phase == UpstreamPhase::Idle {
            connection.phase = UpstreamPhase::Busy;
            // A write error also shows up as a read error.
            connection.socket.flush();
        }
    }

    /// Returns a connection for a check: one that the announced start accepted, or else a new one.
    fn check_connection(
        &mut self,
        id: &CompactString,
        address: SocketAddr,
        now_ms: u64,
    ) -> Option<usize> {
        let doubt = *self.fleet.get(id)?.start_doubt()?;
        if let Some(key) = self.take_idle_of_start(address, doubt, now_ms) {
            return Some(key);
        }
        if let Some(key) = self.unused_connecting(id) {
            return Some(key);
        }
        self.telemetry.count_connection();
        let key = self.connect(address, Some(id))?;
        self.upstreams[key].opened_ahead_for = Some(id.clone());
        Some(key)
    }

    /// Returns a connection to an endpoint that is being opened and has no request.
    fn unused_connecting(&self, id: &CompactString) -> Option<usize> {
        let mut upstreams = self.upstreams.iter();
        let unused = upstreams.find(|(_, upstream)| {
            upstream.phase == UpstreamPhase::Connecting
                && upstream.opened_ahead_for.as_ref() == Some(id)
                && upstream.start_check.is_none()
                && upstream.health_check.is_none()
                && upstream.exchange.is_none()
        });
        unused.map(|(key, _)| key)
    }

    fn end_unanswered_start_checks(&mut self, now_ms: u64) {
        let unanswered = self.upstreams.iter().filter(|(_, upstream)| {
            let check = upstream.start_check.as_ref();
            check.is_some_and(|check| now_ms >= check.sent_ms + ANSWER_LIMIT_MS)
                && upstream.phase != UpstreamPhase::Connecting
        });
        let unanswered: Vec<usize> = unanswered.map(|(key, _)| key).collect();
        for key in unanswered {
            self.close_upstream(key);
        }
    }

    /// Applies the complete answer to a check, if it is about the start as it is announced now.
    pub(super) fn apply_start_check(
        &mut self,
        check: &StartCheck,
        status: u16,
        metadata: &ResponseMetadata,
    ) {
        let now_ms = self.now_ms();
        let id = &check.endpoint;
        if let Some(pending) = self.start_checks.pending.get_mut(id) {
            pending.record_answer();
        }
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let Some(doubt) = endpoint.start_doubt() else {
            return self.apply_cold_answer(check, metadata, now_ms);
        };
        let is_outdated = endpoint.start() != check.start
            || check.sent_ms < doubt.signed_ms()
            || now_ms >= check.sent_ms + ANSWER_LIMIT_MS;
        if is_outdated {
            self.start_checks.schedule(id, now_ms);
            return;
        }
        match check.kind {
            // A busy endpoint may refuse even this.
            CheckKind::Report if status == BUSY_STATUS => {}
            CheckKind::Report => self.apply_report(check, now_ms),
            CheckKind::Health => self.apply_start_health(id, metadata, now_ms),
        }
    }

    /// Applies an answer which says that an endpoint is cold whose start is no longer in doubt.
    fn apply_cold_answer(&mut self, check: &StartCheck, metadata: &ResponseMetadata, now_ms: u64) {
        let id = &check.endpoint;
        let is_own = check.kind == CheckKind::Health && metadata.endpoint.as_ref() == Some(id);
        let cold_left_ms = metadata.cold_left_ms.filter(|_| is_own).unwrap_or(0);
        if cold_left_ms == 0 || self.is_cold(id, now_ms) {
            return;
        }
        if let Some(endpoint) = self.fleet.get_mut(id) {
            endpoint.set_cold(cold_left_ms, now_ms);
            let report = LimitReport::new(endpoint, now_ms);
            self.log_cold(id, "start check", now_ms);
            self.tell_region(vec![report], now_ms);
        }
    }

    fn apply_report(&mut self, check: &StartCheck, now_ms: u64) {
        let id = &check.endpoint;
        let Some(stated) = decode_report(&check.report) else {
            let pending = self.start_checks.schedule(id, now_ms);
            pending.has_no_report = true;
            return;
        };
        if stated == check.start {
            return self.settle_start(id, "report", check.sent_ms);
        }
        let endpoint = self.fleet.get(id);
        let service = endpoint.map(|one| one.announcement.service.clone());
        let cold_ms = self.service(&service.unwrap_or_default()).cold_ms;
        if let Some(endpoint) = self.fleet.get_mut(id) {
            endpoint.record_other_start(cold_ms, now_ms);
        }
        tracing::info!(
            endpoint = %id,
            announced = %check.start,
            %stated,
            cold_left_ms = cold_ms,
            "endpoint has started again"
        );
        self.share_listening(id, cold_ms, now_ms);
    }

    fn apply_start_health(&mut self, id: &CompactString, metadata: &ResponseMetadata, now_ms: u64) {
        // Anything else is no answer of this endpoint to a health check.
        if metadata.endpoint.as_ref() != Some(id) {
            return;
        }
        let cold_left_ms = metadata.cold_left_ms.unwrap_or(0);
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let signed_ms = endpoint.start_doubt().map(|doubt| doubt.signed_ms());
        endpoint.record_listening(cold_left_ms, now_ms);
        tracing::info!(
            endpoint = %id,
            cold_left_ms,
            after_ms = signed_ms.map(|signed_ms| now_ms.saturating_sub(signed_ms)),
            "endpoint that may have started again states how long it stays cold"
        );
        self.share_listening(id, cold_left_ms, now_ms);
    }

    /// Tells the region how long the process that listens stays cold, if it is cold, or if the
    /// region has been told of the sign.
    fn share_listening(&mut self, id: &CompactString, cold_left_ms: u64, now_ms: u64) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let report = StartReport::new(endpoint, StartFinding::Listening { cold_left_ms });
        let limit = LimitReport::new(endpoint, now_ms);
        let Some(pending) = self.start_checks.pending.get_mut(id) else {
            return;
        };
        if cold_left_ms == 0 && !pending.is_shared {
            return;
        }
        pending.is_shared = true;
        self.tell_region_of_starts(vec![report], now_ms);
        // Hosts of the build before read the report of a cold endpoint.
        if cold_left_ms > 0 {
            self.tell_region(vec![limit], now_ms);
        }
    }

    fn tell_end_signs(&mut self, now_ms: u64) {
        let mut reports = Vec::new();
        for (id, pending) in &mut self.start_checks.pending {
            let is_due = pending.tell_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
            let endpoint = self.fleet.get(id);
            let doubt = endpoint.and_then(|endpoint| endpoint.start_doubt());
            let hears_others = doubt.is_some_and(|one| self.reach.has_heard_since(one.signed_ms()));
            if !is_due || !(pending.is_path_sound || hears_others) {
                continue;
            }
            pending.tell_at_ms = None;
            pending.is_shared = true;
            reports.extend(endpoint.and_then(|one| StartReport::of_doubt(one, now_ms)));
        }
        self.tell_region_of_starts(reports, now_ms);
    }

    fn tell_region_of_starts(&mut self, reports: Vec<StartReport>, now_ms: u64) {
        if reports.is_empty() {
            return;
        }
        let peers = self.peers_in(&self.settings.host.region.clone(), now_ms);
        self.send_start_reports(reports, &peers);
    }

    /// Sends what is in doubt to other hosts.
    pub(super) fn send_known_starts(&mut self, peers: &[SocketAddr], now_ms: u64) {
        if self.is_cut_off() {
            return;
        }
        let reports = self.fleet.start_reports(now_ms).collect();
        self.send_start_reports(reports, peers);
    }

    fn send_start_reports(&mut self, reports: Vec<StartReport>, peers: &[SocketAddr]) {
        if peers.is_empty() {
            return;
        }
        for some in reports.chunks(MAX_REPORTS) {
            let packet = Packet::StartReports(StartReports {
                host: self.settings.host.name.clone(),
                reports: some.to_vec(),
            });
            self.send_packet(&packet, peers);
        }
    }

    /// Applies what another host has found out.
    pub(super) fn apply_start_reports(&mut self, sent: &StartReports) {
        let now_ms = self.now_ms();
        for report in &sent.reports {
            self.apply_start_report(report, &sent.host, now_ms);
        }
    }

    fn apply_start_report(&mut self, report: &StartReport, host: &str, now_ms: u64) {
        let found_ms = now_ms.saturating_sub(report.age_ms);
        let Some(endpoint) = self.fleet.reported_start(report) else {
            return;
        };
        if endpoint.is_proven_alive_since(found_ms) || !endpoint.depends_on_start() {
            return;
        }
        let id = endpoint.id.clone();
        // The sender has read the announcement of a later start.
        if report.start > endpoint.start() {
            return self.hear_of_sign(&id, EndSign::new(found_ms), host, now_ms);
        }
        match report.finding {
            StartFinding::Alive => self.hear_of_life(&id, found_ms),
            StartFinding::Doubted { alive_age_ms } => {
                let alive_until_ms = alive_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms));
                let sign = EndSign::new(found_ms).with_alive_until(alive_until_ms);
                self.hear_of_sign(&id, sign, host, now_ms);
            }
            StartFinding::Listening { cold_left_ms } => {
                self.hear_of_sign(&id, EndSign::new(found_ms), host, now_ms);
                self.hear_of_cold_time(&id, cold_left_ms, found_ms, now_ms);
            }
        }
    }

    fn hear_of_life(&mut self, id: &CompactString, found_ms: u64) {
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let doubt = endpoint.start_doubt();
        if doubt.is_some_and(|doubt| found_ms >= doubt.signed_ms()) {
            endpoint.settle_start(found_ms);
            self.start_checks.pending.remove(id);
        }
    }

    /// Applies another host's finding of how long a process stays cold, unless there was a sign
    /// since.
    fn hear_of_cold_time(
        &mut self,
        id: &CompactString,
        cold_left_ms: u64,
        found_ms: u64,
        now_ms: u64,
    ) {
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let doubt = endpoint.start_doubt();
        if doubt.is_some_and(|doubt| found_ms >= doubt.signed_ms()) {
            endpoint.record_listening(cold_left_ms, now_ms);
        }
    }

    /// Doubts the start of an endpoint because another host does, unless this host knows of a
    /// later sign.
    pub(super) fn hear_of_sign(
        &mut self,
        id: &CompactString,
        sign: EndSign,
        host: &str,
        now_ms: u64,
    ) {
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let doubt = endpoint.start_doubt().filter(|doubt| doubt.has_sign());
        let is_older = doubt.is_some_and(|doubt| !sign.is_after(doubt.signed_ms() + SAME_SIGN_MS));
        if is_older || !endpoint.depends_on_start() {
            return;
        }
        let is_new = endpoint.is_start_known();
        endpoint.add_end_sign(sign);
        if is_new {
            tracing::info!(
                endpoint = %id,
                start = %endpoint.start(),
                host,
                "endpoint may have started again, as another host reports"
            );
        }
        let jitter_ms = check_jitter_ms(&self.settings.host.name, id);
        let pending = self.start_checks.schedule(id, now_ms);
        pending.next_ms = now_ms + HEARSAY_DELAY_MS + jitter_ms;
    }

    /// Ends doubts where the store has shown that the process which accepts connections has
    /// announced no other start.
    fn settle_by_store(&mut self, now_ms: u64) {
        let mut settled = Vec::new();
        let mut is_question_due = false;
        for id in self.start_checks.pending.keys() {
            let doubt = self.fleet.get(id).and_then(|one| one.start_doubt());
            let announced_by_ms = doubt.and_then(|doubt| doubt.announced_by_ms());
            let Some(by_ms) = announced_by_ms.filter(|by_ms| now_ms >= *by_ms) else {
                continue;
            };
            match self
                .copy_checks
                .covers(self.started + Duration::from_millis(by_ms))
            {
                true => settled.push(id.clone()),
                false => is_question_due = true,
            }
        }
        for id in settled {
            self.settle_start(&id, "store", now_ms);
        }
        let now = std::time::Instant::now();
        if is_question_due && !self.copy_checks.has_failed(now) {
            self.copy_checks.begin(now);
        }
    }
}

/// Returns a delay by which the hosts of a region differ.
fn check_jitter_ms(host: &str, endpoint: &str) -> u64 {
    coordinator_priority(endpoint, host) % MAX_JITTER_MS
}

/// Returns the bytes that ask an endpoint; none if its service has no such question.
fn question(kind: CheckKind, service: &Service, address: SocketAddr) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    match kind {
        CheckKind::Report => write_report_question(address, &mut bytes),
        CheckKind::Health => {
            write_health_check(service.health_path.as_ref()?, address, &mut bytes);
        }
    }
    Some(bytes)
}
