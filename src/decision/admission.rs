//! Requests that wait at this host for an endpoint.
//!
//! The queue is bounded by the predicted wait: a request that would wait too
//! long, or past its deadline, is refused at once. Higher tiers leave first, and
//! within a tier the oldest request.

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

/// Slots and run time that a queue drains with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainRate {
    /// Slots of all endpoints of the target in this region.
    pub slots: f64,
    /// Hosts of this region that share them.
    pub hosts: usize,
    /// Typical run time, in milliseconds.
    pub run_ms: f64,
}

impl DrainRate {
    /// Predicted wait behind `ahead` other requests, in milliseconds.
    pub fn wait_ms(&self, ahead: usize) -> f64 {
        let each_ms = self.run_ms * self.hosts as f64 / self.slots.max(1.0);
        (ahead + 1) as f64 * each_ms
    }
}

/// Whether a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It will probably finish in time.
    Wait,
    /// It will not.
    Refuse {
        /// When it would be worth coming back.
        retry_after_ms: Millis,
    },
}

/// Decides on a request that would wait `wait_ms` and then run for `run_ms`.
pub fn admit(wait_ms: f64, run_ms: f64, remaining_ms: Millis, policy: &Policy) -> Admission {
    let late_ms = wait_ms + run_ms - remaining_ms.0 as f64;
    let beyond_ms = wait_ms - policy.max_queue_wait_ms.0 as f64;
    let excess_ms = late_ms.max(beyond_ms);
    if excess_ms <= 0.0 {
        return Admission::Wait;
    }
    // Coming back earlier than the queue drains would only be refused again.
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
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of all waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests that leave before a new one of `tier`.
    pub fn ahead(&self, target: &Target, tier: Tier) -> usize {
        let tiers = self.waiting.get(target);
        let ahead = tiers.into_iter().flat_map(|tiers| tiers.range(..=tier));
        ahead.map(|(_, requests)| requests.len()).sum()
    }

    /// Adds a request behind those of its tier.
    pub fn push(&mut self, target: &Target, tier: Tier, request: RequestId) {
        let tiers = self.waiting.entry(target.clone()).or_default();
        tiers.entry(tier).or_default().push_back(request);
        self.len += 1;
    }

    /// The request of a target that leaves next.
    pub fn first(&self, target: &Target) -> Option<RequestId> {
        let tiers = self.waiting.get(target)?;
        tiers
            .values()
            .find_map(|requests| requests.front().copied())
    }

    /// Takes out a request, if it waits.
    pub fn remove(&mut self, target: &Target, tier: Tier, request: RequestId) {
        let tiers = self.waiting.get_mut(target);
        let Some(requests) = tiers.and_then(|tiers| tiers.get_mut(&tier)) else {
            return;
        };
        let before = requests.len();
        requests.retain(|waiting| *waiting != request);
        self.len -= before - requests.len();
    }

    /// Targets for which requests wait.
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
