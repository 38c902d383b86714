//! A request in progress on this host.

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

/// Lowest status of a response for which a model engine may have prefilled the
/// prompt before it failed.
const SERVER_ERROR: u16 = 500;

/// The phase of a request in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a budget grant.
    AwaitingGrant { since_ms: Millis },
    /// It waits for an endpoint.
    Queued,
    /// It waits for the delay before its next attempt.
    Delayed { until_ms: Millis },
    /// Its attempt is running at an endpoint of this region.
    AtEndpoint(EndpointId),
    /// Its attempt was forwarded to a host of another region.
    Forwarded { region: RegionId, host: HostId },
}

/// A request with the state of its attempts.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The request as it arrived, with tier and deadline bounded by the caller's
    /// intent.
    pub arrival: Arrival,
    /// Regions that may see the request.
    pub allowed: AllowedRegions,
    /// Prices of the target when the request arrived.
    pub price: Price,
    /// Number of the current or next attempt.
    pub attempt: Attempt,
    /// Current phase.
    pub phase: Phase,
    /// Ended attempts that a leaving endpoint or host refused, or that could not be
    /// sent to another region.
    pub untaken_attempts: u16,
    /// Endpoints of its ended attempts.
    pub tried: Vec<EndpointId>,
    /// Whether it may have reached another region in an earlier attempt.
    pub was_forwarded: bool,
    /// Reserved cost; `None` for a forwarded request, which the forwarding host
    /// pays for.
    pub reservation: Option<Reservation>,
    /// When the request arrived or was last dispatched.
    pub sent_ms: Millis,
    /// Whether a token of the current attempt was passed on.
    pub has_first_token: bool,
    /// When the request was refused at its deadline while its attempt was still
    /// running.
    pub refused_ms: Option<Millis>,
}

impl OpenRequest {
    /// Creates the state of a request that has just been validated.
    pub fn new(now_ms: Millis, arrival: Arrival, allowed: AllowedRegions, price: Price) -> Self {
        Self {
            arrival,
            allowed,
            price,
            attempt: Attempt(0),
            phase: Phase::AwaitingGrant { since_ms: now_ms },
            untaken_attempts: 0,
            tried: Vec::new(),
            was_forwarded: false,
            reservation: None,
            sent_ms: now_ms,
            has_first_token: false,
            refused_ms: None,
        }
    }

    /// Whether an attempt is running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::AtEndpoint(_) | Phase::Forwarded { .. })
    }

    /// Whether a caller sent it to this host, which then pays for it.
    pub fn is_from_caller(&self) -> bool {
        self.arrival.origin == Origin::Caller
    }

    /// Whether it may be forwarded to another region.
    ///
    /// A request that was forwarded to this host is not forwarded again. One that
    /// must not be repeated stays with the owner of its ticket. One that may have
    /// reached another region is not forwarded to a second one, whatever its
    /// outcome there.
    pub fn may_forward(&self) -> bool {
        self.is_from_caller() && self.arrival.is_repeatable && !self.was_forwarded
    }

    /// Whether the policy allows another attempt.
    ///
    /// Attempts that nobody took added no load, and a region's endpoints may all be
    /// leaving, so these attempts have a limit of their own.
    pub fn has_attempts(&self, policy: &Policy) -> bool {
        let untaken = self.untaken_attempts.min(policy.max_untaken_attempts);
        self.attempt.0 + 1 < policy.max_attempts + untaken
    }

    /// Time left until its deadline.
    pub fn remaining_ms(&self, now_ms: Millis) -> Millis {
        self.arrival.deadline_ms - now_ms
    }

    /// Size of the request, without any cached prefix.
    pub fn work(&self) -> Work {
        Work {
            prompt_tokens: self.arrival.prompt_tokens,
            max_output_tokens: self.arrival.max_output_tokens,
        }
    }

    /// The maximum cost of one attempt.
    pub fn max_cost(&self) -> CostMicros {
        let arrival = &self.arrival;
        self.price
            .cost(arrival.prompt_tokens, arrival.max_output_tokens)
    }

    /// The cost of an attempt with this outcome.
    pub fn cost(&self, outcome: &AttemptOutcome) -> CostMicros {
        let prompt = self.arrival.prompt_tokens;
        match outcome {
            AttemptOutcome::Complete {
                output_tokens,
                cached_tokens,
            } => self.price.cost(prompt - *cached_tokens, *output_tokens),
            AttemptOutcome::NotSent | AttemptOutcome::Rejected { .. } => CostMicros(0),
            AttemptOutcome::Interrupted { delivered_tokens }
            | AttemptOutcome::Truncated { delivered_tokens } => {
                self.price.cost(prompt, *delivered_tokens)
            }
            AttemptOutcome::CallerDisconnected { wasted_tokens } => {
                self.price.cost(prompt, *wasted_tokens)
            }
            AttemptOutcome::Failed { status } => self.failure_cost(*status),
        }
    }

    fn failure_cost(&self, status: u16) -> CostMicros {
        let is_model = matches!(self.arrival.target, Target::Model(_));
        if is_model && status < SERVER_ERROR {
            return CostMicros(0);
        }
        self.price.cost(self.arrival.prompt_tokens, Tokens(0))
    }

    /// Returns the properties that determine its endpoint.
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
    /// Only a first attempt may, for which `sent_ms` is still the time of arrival.
    /// A caller whose response was interrupted, or whose deadline is near, should not
    /// wait longer.
    fn may_wait_for_cache(&self, now_ms: Millis, policy: &Policy) -> bool {
        let limit_ms = policy.affinity_wait_ms;
        let has_time = self.remaining_ms(now_ms) > limit_ms + limit_ms;
        let is_first = self.attempt == Attempt(0) && !self.arrival.needs_continuation;
        is_first && now_ms - self.sent_ms < limit_ms && has_time
    }

    /// Returns the properties that determine its region.
    pub fn region_query(&self, now_ms: Millis) -> RegionQuery<'_> {
        RegionQuery {
            target: &self.arrival.target,
            work: self.work(),
            body_bytes: self.arrival.body_bytes,
            allowed: &self.allowed,
            remaining_ms: self.remaining_ms(now_ms),
        }
    }
}
