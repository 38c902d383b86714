//! Which attempts may be repeated, how many, and when.
//!
//! Each request earns a part of a retry, so retries stay a fixed share of recent
//! requests and cannot multiply the load of endpoints that already fail.

use rand::{
    Rng,
    RngExt, //
};

use super::{
    event::AttemptOutcome,
    policy::Policy, //
};
use crate::types::{
    Attempt,
    Millis, //
};

/// Parts of a retry that make one.
const PARTS_PER_RETRY: u64 = 1_000;

/// Retries that may still be made.
#[derive(Debug)]
pub struct RetryBudget {
    parts: u64,
    spent: u64,
}

impl RetryBudget {
    /// The budget of a new host.
    pub fn new(policy: &Policy) -> Self {
        Self {
            parts: max_parts(policy),
            spent: 0,
        }
    }

    /// Retries made so far.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Adds what one request earns.
    pub fn earn(&mut self, policy: &Policy) {
        let earned = self.parts + u64::from(policy.retry_permille);
        self.parts = earned.min(max_parts(policy));
    }

    /// Takes one retry, unless the budget is used up.
    pub fn spend(&mut self) -> bool {
        if self.parts < PARTS_PER_RETRY {
            return false;
        }
        self.parts -= PARTS_PER_RETRY;
        self.spent += 1;
        true
    }
}

fn max_parts(policy: &Policy) -> u64 {
    u64::from(policy.retry_burst) * PARTS_PER_RETRY
}

/// Whether a request with this outcome may be sent again without running twice.
pub fn may_repeat(outcome: &AttemptOutcome, is_repeatable: bool) -> bool {
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::Rejected { .. } => true,
        AttemptOutcome::Interrupted { .. } => is_repeatable,
        AttemptOutcome::Complete { .. }
        | AttemptOutcome::Truncated { .. }
        | AttemptOutcome::Failed { .. }
        | AttemptOutcome::CallerDisconnected { .. } => false,
    }
}

/// Delay before the attempt after `attempt`, drawn evenly up to a bound that
/// doubles with each attempt.
pub fn delay<R>(rng: &mut R, policy: &Policy, attempt: Attempt) -> Millis
where
    R: Rng,
{
    let doublings = u32::from(attempt.0).min(16);
    let bound = policy.retry_base_ms.0.saturating_mul(1 << doublings);
    Millis(rng.random_range(0..=bound))
}
