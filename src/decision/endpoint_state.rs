//! The state of one endpoint: whether it accepts new requests, and its estimated
//! load.
//!
//! A load report is outdated by its reporting interval and its time in transit.
//! The estimate therefore adds the requests that this host has sent since,
//! subtracts those that have ended since, and approaches the mean of all
//! endpoints as the report ages, so that an endpoint that stops reporting appears
//! neither idle nor full.

use std::collections::BTreeMap;

use super::{
    policy::{
        Policy,
        fraction, //
    },
    prefix::PrefixMemory,
    view::{
        EndpointInfo,
        EndpointReport, //
    }, //
};
use crate::types::{
    Attempt,
    Incarnation,
    Millis,
    RequestId, //
};

/// Past incarnations remembered, so that their late reports are ignored.
const PAST_INCARNATIONS: usize = 4;

/// Maximum number of ended attempts remembered between two reports.
const ENDED_LIMIT: usize = 256;

/// Maximum doublings of the time for which a failing endpoint is avoided.
const MAX_DOUBLINGS: u32 = 5;

/// An endpoint with its newest report and this host's requests to it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointState {
    /// The endpoint's entry in the platform's list.
    pub info: EndpointInfo,
    /// Newest load report.
    pub report: Option<EndpointReport>,
    /// When it disappeared from the platform's list; `None` while it is listed.
    pub unlisted_ms: Option<Millis>,
    /// Prompt prefixes that this host has sent to it.
    pub prefixes: PrefixMemory,
    leaving: Option<LeavingMark>,
    failures: u32,
    avoid_until_ms: Millis,
    past_incarnations: Vec<Incarnation>,
    sends: BTreeMap<(RequestId, Attempt), Millis>,
    ended: Vec<EndedSend>,
}

/// Marks an endpoint as leaving, in the given incarnation if that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeavingMark {
    incarnation: Option<Incarnation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EndedSend {
    sent_ms: Millis,
    ended_ms: Millis,
}

impl EndpointState {
    /// Creates the state of an endpoint that is newly listed.
    pub fn new(info: EndpointInfo) -> Self {
        let mut state = Self {
            info,
            report: None,
            unlisted_ms: None,
            prefixes: PrefixMemory::new(),
            leaving: None,
            failures: 0,
            avoid_until_ms: Millis(0),
            past_incarnations: Vec::new(),
            sends: BTreeMap::new(),
            ended: Vec::new(),
        };
        if state.info.is_leaving {
            state.mark_leaving();
        }
        state
    }

    /// Number of requests of this host in progress at the endpoint.
    pub fn in_flight(&self) -> usize {
        self.sends.len()
    }

    /// Whether it accepts new requests.
    pub fn takes_work(&self) -> bool {
        self.leaving.is_none() && self.unlisted_ms.is_none() && self.info.slots > 0
    }

    /// Whether it is leaving in its current instance.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Marks it as leaving: it gets no new requests until it reports a new
    /// incarnation.
    pub fn mark_leaving(&mut self) {
        if self.leaving.is_none() {
            let incarnation = self.report.as_ref().map(|report| report.incarnation);
            self.leaving = Some(LeavingMark { incarnation });
        }
    }

    /// Applies the endpoint's entry in a newly read list.
    ///
    /// Only a change to leaving marks it as leaving: the list lags and would
    /// otherwise also mark the endpoint's next instance.
    pub fn update_info(&mut self, info: EndpointInfo) {
        let starts_leaving = info.is_leaving && !self.info.is_leaving;
        self.info = info;
        self.unlisted_ms = None;
        if starts_leaving {
            self.mark_leaving();
        }
    }

    /// Applies a load report unless a newer one is known.
    pub fn apply_report(&mut self, report: EndpointReport) {
        if self.past_incarnations.contains(&report.incarnation) {
            return;
        }
        let known = self
            .report
            .as_ref()
            .map(|known| (known.incarnation, known.measured_ms));
        let is_same_instance =
            known.is_none_or(|(incarnation, _)| incarnation == report.incarnation);
        let is_newer = known.is_none_or(|(_, at_ms)| at_ms < report.measured_ms);
        if is_newer {
            self.apply_newer(report, is_same_instance);
        } else if is_same_instance && report.is_leaving {
            // Leaving is final for an instance, even if its report arrives late.
            self.mark_leaving();
        }
    }

    fn apply_newer(&mut self, report: EndpointReport, is_same_instance: bool) {
        if !is_same_instance {
            self.begin_instance();
        }
        if let Some(mark) = self.leaving.as_mut() {
            mark.incarnation.get_or_insert(report.incarnation);
        }
        let measured_ms = report.measured_ms;
        let is_leaving = report.is_leaving;
        self.report = Some(report);
        self.ended.retain(|ended| ended.ended_ms > measured_ms);
        if is_leaving {
            self.mark_leaving();
        }
    }

    fn begin_instance(&mut self) {
        self.leaving = None;
        self.note_success();
        self.prefixes.clear();
        if let Some(old) = self.report.take() {
            self.past_incarnations.push(old.incarnation);
        }
        if self.past_incarnations.len() > PAST_INCARNATIONS {
            self.past_incarnations.remove(0);
        }
    }

    /// Records a request sent to the endpoint and the prefixes of its prompt.
    pub fn note_sent(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        attempt: Attempt,
        prefix_hashes: &[u64],
        policy: &Policy,
    ) {
        self.sends.insert((request, attempt), now_ms);
        self.prefixes.note(prefix_hashes, policy.prefix_memory);
    }

    /// Records that an attempt at the endpoint has ended.
    pub fn note_ended(&mut self, now_ms: Millis, request: RequestId, attempt: Attempt) {
        let Some(sent_ms) = self.sends.remove(&(request, attempt)) else {
            return;
        };
        if self.ended.len() == ENDED_LIMIT {
            self.ended.remove(0);
        }
        self.ended.push(EndedSend {
            sent_ms,
            ended_ms: now_ms,
        });
    }

    /// Avoids the endpoint for a time that doubles with each consecutive failure.
    ///
    /// An endpoint that has crashed reports no load and would otherwise attract
    /// requests until it disappears from the list. Failures while it is avoided
    /// are not counted: those attempts were sent before it was avoided.
    pub fn note_failure(&mut self, now_ms: Millis, policy: &Policy) {
        if self.is_avoided(now_ms) {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let wait_ms = policy.endpoint_avoid_ms.0.saturating_mul(1 << doublings);
        self.avoid_until_ms = now_ms + Millis(wait_ms);
        self.failures = self.failures.saturating_add(1);
    }

    /// Avoids the endpoint for a short time after it refused a request: it is busy
    /// but has not failed.
    pub fn note_rejection(&mut self, now_ms: Millis, policy: &Policy) {
        let until_ms = now_ms + policy.endpoint_avoid_ms;
        self.avoid_until_ms = self.avoid_until_ms.max(until_ms);
    }

    /// Resets the failure count and stops avoiding the endpoint.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.avoid_until_ms = Millis(0);
    }

    /// Whether other endpoints are preferred because it recently failed or refused
    /// a request.
    pub fn is_avoided(&self, now_ms: Millis) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Weight of the newest report, from 1 when new down to 0 at its maximum age.
    pub fn report_weight(&self, now_ms: Millis, policy: &Policy) -> f64 {
        let Some(report) = self.report.as_ref() else {
            return 0.0;
        };
        let bound = policy.report_max_age_ms.0.max(1) as f64;
        let age = (now_ms - report.measured_ms).0 as f64;
        (1.0 - age / bound).max(0.0)
    }

    /// Running and waiting requests according to the newest report.
    pub fn reported_requests(&self) -> Option<u32> {
        let report = self.report.as_ref()?;
        Some(report.running.saturating_add(report.waiting))
    }

    /// Estimates the number of requests at the endpoint now.
    ///
    /// `prior` is the load of an average endpoint of the same size, and `hosts` is
    /// the number of hosts that share the endpoint.
    pub fn load(&self, now_ms: Millis, prior: f64, hosts: usize, policy: &Policy) -> f64 {
        let weight = self.report_weight(now_ms, policy);
        let measured_ms = self.report.as_ref().map(|report| report.measured_ms);
        let is_covered = |sent_ms: Millis| measured_ms.is_some_and(|at_ms| sent_ms <= at_ms);
        let covered = self.sends.values().filter(|at| is_covered(**at)).count();
        let uncovered = self.sends.len() - covered;
        let ended = self.ended.iter().filter(|end| is_covered(end.sent_ms));
        let ended = ended.count() as f64;
        let reported = f64::from(self.reported_requests().unwrap_or(0));
        let from_report = (reported - ended).max(covered as f64);
        let from_prior = prior + covered as f64;
        let per_send = 1.0 + fraction(policy.peer_send_permille) * hosts.saturating_sub(1) as f64;
        weight * from_report + (1.0 - weight) * from_prior + uncovered as f64 * per_send
    }
}
