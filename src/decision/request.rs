//! A request in progress at this host.

use super::{
    budget::{
        Price,
        Reservation, //
    },
    endpoint_choice::EndpointQuery,
    event::{
        Arrival,
        AttemptOutcome,
        Origin, //
    },
    policy::Policy,
    predict::Work,
    region_choice::RegionQuery,
    residency::AllowedRegions, //
};
use crate::types::{
    Attempt,
    CostMicros,
    EndpointId,
    HostId,
    Millis,
    RegionId,
    Target,
    Tokens, //
};

/// Status from which an error of a model engine may have cost a prefill.
const SERVER_ERROR: u16 = 500;

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a spending share.
    AwaitingGrant { since_ms: Millis },
    /// It waits for an endpoint.
    Queued,
    /// It waits before its next attempt.
    Delayed { until_ms: Millis },
    /// Its attempt runs at an endpoint of this region.
    AtEndpoint(EndpointId),
    /// Its attempt runs at a host of another region.
    Forwarded { region: RegionId, host: HostId },
}

/// A request with everything decided about it so far.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// As it arrived, with tier and deadline bounded by the caller's intent.
    pub arrival: Arrival,
    /// Regions that may see it.
    pub allowed: AllowedRegions,
    /// Price when it arrived.
    pub price: Price,
    /// Number of the current or next attempt.
    pub attempt: Attempt,
    /// Where it is.
    pub phase: Phase,
    /// Endpoints that have failed it.
    pub tried: Vec<EndpointId>,
    /// Whether it has been in another region.
    pub was_forwarded: bool,
    /// Money set aside; none for a request paid for by another host.
    pub reservation: Option<Reservation>,
    /// When its attempt was sent.
    pub sent_ms: Millis,
    /// Whether a token of its attempt has reached the caller.
    pub has_first_token: bool,
    /// When the caller got its final answer while the attempt still ran.
    pub answered_ms: Option<Millis>,
}

impl OpenRequest {
    /// A request that has just been checked.
    pub fn new(now_ms: Millis, arrival: Arrival, allowed: AllowedRegions, price: Price) -> Self {
        Self {
            arrival,
            allowed,
            price,
            attempt: Attempt(0),
            phase: Phase::AwaitingGrant { since_ms: now_ms },
            tried: Vec::new(),
            was_forwarded: false,
            reservation: None,
            sent_ms: now_ms,
            has_first_token: false,
            answered_ms: None,
        }
    }

    /// Whether an attempt of it runs.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::AtEndpoint(_) | Phase::Forwarded { .. })
    }

    /// Whether this host's caller sent it, so that this host pays for it.
    pub fn is_from_caller(&self) -> bool {
        self.arrival.origin == Origin::Caller
    }

    /// Whether it may go to another region.
    ///
    /// A forwarded request is final here. One that must not be repeated is
    /// final at the owner of its ticket. One that has been in another region
    /// goes to no second one, whatever became of it there.
    pub fn may_forward(&self) -> bool {
        self.is_from_caller() && self.arrival.is_repeatable && !self.was_forwarded
    }

    /// Time left until its deadline.
    pub fn remaining_ms(&self, now_ms: Millis) -> Millis {
        self.arrival.deadline_ms - now_ms
    }

    /// Size of its work without a cached prefix.
    pub fn work(&self) -> Work {
        Work {
            prompt: self.arrival.prompt,
            max_output: self.arrival.max_output,
        }
    }

    /// The most that one attempt can cost.
    pub fn max_cost(&self) -> CostMicros {
        let arrival = &self.arrival;
        self.price.cost(arrival.prompt, arrival.max_output)
    }

    /// What an attempt with this outcome has cost.
    pub fn cost(&self, outcome: &AttemptOutcome) -> CostMicros {
        let prompt = self.arrival.prompt;
        match outcome {
            AttemptOutcome::Complete { output, cached } => {
                self.price.cost(prompt - *cached, *output)
            }
            AttemptOutcome::NotSent | AttemptOutcome::Rejected { .. } => CostMicros(0),
            AttemptOutcome::Interrupted { delivered } | AttemptOutcome::Truncated { delivered } => {
                self.price.cost(prompt, *delivered)
            }
            AttemptOutcome::CallerDisconnected { wasted } => self.price.cost(prompt, *wasted),
            AttemptOutcome::Failed { status } => self.failure_cost(*status),
        }
    }

    fn failure_cost(&self, status: u16) -> CostMicros {
        let is_model = matches!(self.arrival.target, Target::Model(_));
        if is_model && status < SERVER_ERROR {
            return CostMicros(0);
        }
        self.price.cost(self.arrival.prompt, Tokens(0))
    }

    /// What it asks of an endpoint.
    pub fn endpoint_query<'a>(
        &'a self,
        now_ms: Millis,
        version: Option<&'a str>,
        policy: &Policy,
    ) -> EndpointQuery<'a> {
        EndpointQuery {
            target: &self.arrival.target,
            version,
            work: self.work(),
            prefix_hashes: &self.arrival.prefix_hashes,
            needs_continuation: self.arrival.needs_continuation,
            tried: &self.tried,
            may_wait_for_cache: self.may_wait_for_cache(now_ms, policy),
        }
    }

    /// Whether it may wait for an endpoint that has its prefix cached.
    ///
    /// A first attempt has been sent nowhere since it arrived. A caller whose
    /// answer broke, or whose deadline is near, should not wait again.
    fn may_wait_for_cache(&self, now_ms: Millis, policy: &Policy) -> bool {
        let limit_ms = policy.affinity_wait_ms;
        let has_time = self.remaining_ms(now_ms) > limit_ms + limit_ms;
        let is_first = self.attempt == Attempt(0) && !self.arrival.needs_continuation;
        is_first && now_ms - self.sent_ms < limit_ms && has_time
    }

    /// What it asks of another region.
    pub fn region_query(&self, now_ms: Millis) -> RegionQuery<'_> {
        RegionQuery {
            target: &self.arrival.target,
            work: self.work(),
            body: self.arrival.body,
            allowed: &self.allowed,
            remaining_ms: self.remaining_ms(now_ms),
        }
    }
}
