//! Health checks of endpoints that may have become cold while the store can't tell.
//!
//! An endpoint that becomes cold writes that to the store. While the store does not respond,
//! only its answers to health checks state it. One host of the region checks an endpoint, the
//! coordinator of its permits, and tells the others.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::{
    connection::{
        ResponseProgress,
        UpstreamPhase, //
    },
    endpoint_limit::LimitReport,
    permit_exchange::coordinator,
    reactor::Reactor,
    state_updates::ANNOUNCEMENT_RENEWAL_MS, //
};
use crate::platform::headers::{
    ResponseMetadata,
    write_health_check, //
};

/// Interval of the checks of an endpoint: between two of them, even a busy one gets fewer
/// requests than a cold one may get in a second.
const CHECK_INTERVAL_MS: u64 = 200;
/// Shortest interval at which the endpoints to check are looked for.
const ROUND_INTERVAL_MS: u64 = 50;
/// Longest wait for the answer to a check.
const ANSWER_LIMIT_MS: u64 = 1_000;
/// Time after a failed renewal of this host's lease in which the store may not respond: two
/// further renewals.
const DOUBT_MS: u64 = 3_000;

/// Which endpoints this host checks, and when.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    next_round_ms: u64,
    next_ms: BTreeMap<CompactString, u64>,
    /// Time of the last failed renewal of this host's lease.
    renewal_failed_ms: Option<u64>,
    /// Time at which the store responded again after it had not.
    store_returned_ms: Option<u64>,
    has_lost_store: bool,
}

impl HealthChecks {
    /// Records whether the store responds.
    pub(super) fn record_store(&mut self, is_reachable: bool, now_ms: u64) {
        if is_reachable && self.has_lost_store {
            self.store_returned_ms = Some(now_ms);
        }
        self.has_lost_store |= !is_reachable;
    }
}

impl Reactor {
    /// Records that this host could not renew its lease.
    pub(super) fn record_failed_renewal(&mut self) {
        self.health_checks.renewal_failed_ms = Some(self.now_ms());
    }

    /// Returns whether the store may not say that an endpoint is cold.
    fn is_store_silent(&self, now_ms: u64) -> bool {
        let is_within = |since_ms: Option<u64>, time_ms| {
            since_ms.is_some_and(|since_ms| now_ms < since_ms + time_ms)
        };
        // A host that has just started may know the items of the store before it has noted that
        // the store responds.
        let is_lost = self.store_recovered_ms.is_none() && self.health_checks.has_lost_store;
        is_lost
            || is_within(
                self.health_checks.store_returned_ms,
                ANNOUNCEMENT_RENEWAL_MS,
            )
            || is_within(self.health_checks.renewal_failed_ms, DOUBT_MS)
    }

    /// Starts the health checks that are due.
    pub(super) fn check_health(&mut self, now_ms: u64) {
        if now_ms < self.health_checks.next_round_ms {
            return;
        }
        self.health_checks.next_round_ms = now_ms + ROUND_INTERVAL_MS;
        self.end_unanswered_checks(now_ms);
        if !self.is_store_silent(now_ms) || self.is_cut_off() {
            self.health_checks.next_ms.clear();
            return;
        }
        let due = self.due_checks(now_ms);
        for id in due {
            let next_ms = now_ms + CHECK_INTERVAL_MS;
            self.health_checks.next_ms.insert(id.clone(), next_ms);
            self.start_health_check(&id, now_ms);
        }
    }

    fn due_checks(&self, now_ms: u64) -> Vec<CompactString> {
        let mut hosts = self.hosts.heard_in_region(now_ms);
        hosts.retain(|host| !self.hosts.is_cut_off(&host.name, now_ms));
        let next_ms = &self.health_checks.next_ms;
        let due = self.fleet.checkable(now_ms).filter(|id| {
            let is_due = next_ms.get(*id).is_none_or(|next_ms| now_ms >= *next_ms);
            let checks = |host: &str| host == self.settings.host.name;
            is_due && coordinator(id, &hosts, |_| true).is_some_and(|host| checks(&host.name))
        });
        due.cloned().collect()
    }

    fn start_health_check(&mut self, id: &CompactString, now_ms: u64) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let address = endpoint.announcement.address;
        let service = self.service(&endpoint.announcement.service);
        let Some(path) = service.health_path else {
            return;
        };
        let upstream = match self.take_idle(address, None, now_ms) {
            Some(upstream) => upstream,
            None => {
                self.close_replaced(address);
                let Some(upstream) = self.connect(address, Some(id)) else {
                    return;
                };
                self.telemetry.count_connection();
                upstream
            }
        };
        self.telemetry.count_health_check();
        let connection = &mut self.upstreams[upstream];
        connection.begin_request(None, now_ms);
        connection.health_check = Some(id.clone());
        let mut bytes = Vec::new();
        write_health_check(&path, address, &mut bytes);
        connection.socket.queue(&bytes);
        if connection.phase == UpstreamPhase::Idle {
            connection.phase = UpstreamPhase::Busy;
            // A write error also shows up as a read error.
            connection.socket.flush();
        }
    }

    fn end_unanswered_checks(&mut self, now_ms: u64) {
        let unanswered = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.health_check.is_some() && now_ms >= upstream.sent_ms + ANSWER_LIMIT_MS
        });
        let unanswered: Vec<usize> = unanswered.map(|(key, _)| key).collect();
        for key in unanswered {
            self.close_upstream(key);
        }
    }

    /// Applies the answer to a health check, if `upstream` has one.
    pub(super) fn record_health(&mut self, upstream: usize, metadata: &ResponseMetadata) {
        let Some(connection) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(id) = connection.health_check.take() else {
            return;
        };
        // Anything else belongs to an earlier request or another endpoint.
        if metadata.endpoint.as_ref() != Some(&id) {
            connection.response_progress = ResponseProgress::Head;
            return self.close_upstream(upstream);
        }
        let now_ms = self.now_ms();
        let was_cold = self.is_cold(&id, now_ms);
        if let Some(left_ms) = metadata.cold_left_ms
            && let Some(endpoint) = self.fleet.get_mut(&id)
        {
            endpoint.set_cold(left_ms, now_ms);
        }
        if was_cold || !self.is_cold(&id, now_ms) {
            return;
        }
        self.log_cold(&id, "health check", now_ms);
        if let Some(endpoint) = self.fleet.get(&id) {
            let report = LimitReport::new(endpoint, now_ms);
            self.tell_region(vec![report], now_ms);
        }
    }
}
