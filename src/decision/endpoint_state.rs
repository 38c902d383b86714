//! One endpoint: whether it takes new work, and how loaded it is.
//!
//! A report is late by its age and by the time it took to get here. The estimate
//! therefore adds what this host has sent since, removes what has ended since,
//! and moves towards the mean of the other endpoints as the report ages, so that
//! a silent endpoint looks neither idle nor full.

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

/// Incarnations remembered, so that their late reports are ignored.
const PAST_INCARNATIONS: usize = 4;

/// Ended attempts remembered between two reports.
const ENDED_LIMIT: usize = 256;

/// Doublings of the time for which a failing endpoint is avoided.
const MAX_DOUBLINGS: u32 = 5;

/// An endpoint with what is known of its load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointState {
    /// What the list says.
    pub info: EndpointInfo,
    /// Newest load report.
    pub report: Option<EndpointReport>,
    /// When it was dropped from the list, unless it is in it.
    pub unlisted_ms: Option<Millis>,
    /// Prompt prefixes that this host has sent there.
    pub prefixes: PrefixMemory,
    leaving: Option<LeavingMark>,
    failures: u32,
    avoid_until_ms: Millis,
    past_incarnations: Vec<Incarnation>,
    sends: BTreeMap<(RequestId, Attempt), Millis>,
    ended: Vec<EndedSend>,
}

/// That an endpoint leaves, with the run in which it does, if known.
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
    /// An endpoint that the list shows for the first time.
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

    /// Requests that this host has in progress there.
    pub fn in_flight(&self) -> usize {
        self.sends.len()
    }

    /// Whether it may be given new work.
    pub fn takes_work(&self) -> bool {
        self.leaving.is_none() && self.unlisted_ms.is_none() && self.info.slots > 0
    }

    /// Whether it is leaving in its current run.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Gives it no new work until it reports a new run.
    pub fn mark_leaving(&mut self) {
        if self.leaving.is_none() {
            let incarnation = self.report.as_ref().map(|report| report.incarnation);
            self.leaving = Some(LeavingMark { incarnation });
        }
    }

    /// Takes over what a newly read list says.
    ///
    /// Only a change to leaving counts: a list that lags would otherwise mark
    /// the next run of an endpoint too.
    pub fn update_info(&mut self, info: EndpointInfo) {
        let starts_leaving = info.is_leaving && !self.info.is_leaving;
        self.info = info;
        self.unlisted_ms = None;
        if starts_leaving {
            self.mark_leaving();
        }
    }

    /// Takes over a report unless a newer one is known.
    pub fn apply_report(&mut self, report: EndpointReport) {
        if self.past_incarnations.contains(&report.incarnation) {
            return;
        }
        let known = self
            .report
            .as_ref()
            .map(|known| (known.incarnation, known.measured_ms));
        let is_same_run = known.is_none_or(|(run, _)| run == report.incarnation);
        let is_newer = known.is_none_or(|(_, at_ms)| at_ms < report.measured_ms);
        if is_newer {
            self.apply_newer(report, is_same_run);
        } else if is_same_run && report.is_leaving {
            // Leaving is final for a run, however late it is heard.
            self.mark_leaving();
        }
    }

    fn apply_newer(&mut self, report: EndpointReport, is_same_run: bool) {
        if !is_same_run {
            self.begin_run();
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

    fn begin_run(&mut self) {
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

    /// Notes a request sent there.
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

    /// Notes that an attempt there has ended.
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

    /// Avoids it for a while that doubles with each failure in a row.
    ///
    /// An endpoint that has crashed shows no load, and would otherwise attract
    /// requests until the list drops it. Attempts that fail while it is avoided
    /// were sent before and say nothing new.
    pub fn note_failure(&mut self, now_ms: Millis, policy: &Policy) {
        if self.is_avoided(now_ms) {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let wait_ms = policy.endpoint_avoid_ms.0.saturating_mul(1 << doublings);
        self.avoid_until_ms = now_ms + Millis(wait_ms);
        self.failures = self.failures.saturating_add(1);
    }

    /// Avoids it for a short while after it refused a request; it is busy, and
    /// not broken.
    pub fn note_rejection(&mut self, now_ms: Millis, policy: &Policy) {
        let until_ms = now_ms + policy.endpoint_avoid_ms;
        self.avoid_until_ms = self.avoid_until_ms.max(until_ms);
    }

    /// Ends the avoidance.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.avoid_until_ms = Millis(0);
    }

    /// Whether it has failed lately, so that others come first.
    pub fn is_avoided(&self, now_ms: Millis) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Weight of the newest report, from 1 when new to 0 at its bound.
    pub fn report_weight(&self, now_ms: Millis, policy: &Policy) -> f64 {
        let Some(report) = self.report.as_ref() else {
            return 0.0;
        };
        let bound = policy.report_max_age_ms.0.max(1) as f64;
        let age = (now_ms - report.measured_ms).0 as f64;
        (1.0 - age / bound).max(0.0)
    }

    /// Requests that the newest report shows.
    pub fn reported_requests(&self) -> Option<u32> {
        let report = self.report.as_ref()?;
        Some(report.running.saturating_add(report.waiting))
    }

    /// Estimates the requests there now.
    ///
    /// `prior` is the load of a typical endpoint of the same size, and `hosts`
    /// the number of hosts that share it.
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
