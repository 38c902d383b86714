//! The queue of requests that wait on this host for an endpoint.
//!
//! The queue is bounded by the predicted wait: a request that would wait too
//! long, or would miss its deadline, is refused at once. Requests leave by tier,
//! the highest first, and in order of arrival within a tier.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::policy::Policy;
use crate::types::{
    Millis,
    RequestId,
    Target,
    Tier, //
};

/// The rate at which a target's queue drains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainRate {
    /// Total slots of the target's endpoints in this region.
    pub slots: f64,
    /// Hosts of this region that share the slots.
    pub hosts: usize,
    /// Typical run time, in milliseconds.
    pub run_ms: f64,
}

impl DrainRate {
    /// Returns the predicted wait behind `ahead` other requests, in milliseconds.
    pub fn wait_ms(&self, ahead: usize) -> f64 {
        let each_ms = self.run_ms * self.hosts as f64 / self.slots.max(1.0);
        (ahead + 1) as f64 * each_ms
    }
}

/// Whether a request may join the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is predicted to finish in time.
    Wait,
    /// The request is predicted to wait too long or to miss its deadline.
    Refuse {
        /// When a retry by the caller could succeed.
        retry_after_ms: Millis,
    },
}

/// Decides whether a request may wait that is predicted to wait for `wait_ms` and
/// then run for `run_ms`, with `remaining_ms` until its deadline.
pub fn admit(wait_ms: f64, run_ms: f64, remaining_ms: Millis, policy: &Policy) -> Admission {
    let late_ms = wait_ms + run_ms - remaining_ms.0 as f64;
    let beyond_ms = wait_ms - policy.max_queue_wait_ms.0 as f64;
    let excess_ms = late_ms.max(beyond_ms);
    if excess_ms <= 0.0 {
        return Admission::Wait;
    }
    // A retry before the queue has drained enough would be refused again.
    let retry_ms = Millis(excess_ms.min(wait_ms).ceil() as u64);
    Admission::Refuse {
        retry_after_ms: retry_ms.max(policy.retry_after_ms),
    }
}

/// Waiting requests by target and tier.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Target, BTreeMap<Tier, VecDeque<RequestId>>>,
    len: usize,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests of all targets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests that leave before a new one of `tier`.
    pub fn ahead(&self, target: &Target, tier: Tier) -> usize {
        let tiers = self.waiting.get(target);
        let ahead = tiers.into_iter().flat_map(|tiers| tiers.range(..=tier));
        ahead.map(|(_, requests)| requests.len()).sum()
    }

    /// Adds a request behind the others of its tier.
    pub fn push(&mut self, target: &Target, tier: Tier, request: RequestId) {
        let tiers = self.waiting.entry(target.clone()).or_default();
        tiers.entry(tier).or_default().push_back(request);
        self.len += 1;
    }

    /// The next request of a target to leave the queue.
    pub fn first(&self, target: &Target) -> Option<RequestId> {
        let tiers = self.waiting.get(target)?;
        tiers
            .values()
            .find_map(|requests| requests.front().copied())
    }

    /// Removes a request if it is in the queue.
    pub fn remove(&mut self, target: &Target, tier: Tier, request: RequestId) {
        let tiers = self.waiting.get_mut(target);
        let Some(requests) = tiers.and_then(|tiers| tiers.get_mut(&tier)) else {
            return;
        };
        let before = requests.len();
        requests.retain(|waiting| *waiting != request);
        self.len -= before - requests.len();
    }

    /// Targets with waiting requests.
    pub fn targets(&self) -> Vec<Target> {
        let has_any = |tiers: &BTreeMap<Tier, VecDeque<RequestId>>| {
            tiers.values().any(|requests| !requests.is_empty())
        };
        let waiting = self.waiting.iter().filter(|(_, tiers)| has_any(tiers));
        waiting.map(|(target, _)| target.clone()).collect()
    }

    /// Waiting requests of a target in the order in which they leave.
    pub fn in_order(&self, target: &Target) -> Vec<RequestId> {
        let tiers = self.waiting.get(target);
        let requests = tiers.into_iter().flat_map(|tiers| tiers.values().flatten());
        requests.copied().collect()
    }
}
