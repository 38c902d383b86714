//! Retry rules: which attempts may be repeated, how many of them, and when.
//!
//! Each request earns a fraction of a retry, so retries stay a fixed share of
//! recent requests and cannot multiply the load of endpoints that already fail.

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

/// Units of the retry budget per retry.
const PARTS_PER_RETRY: u64 = 1_000;

/// A budget that bounds the number of retries.
#[derive(Debug)]
pub struct RetryBudget {
    parts: u64,
    spent: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: &Policy) -> Self {
        Self {
            parts: max_parts(policy),
            spent: 0,
        }
    }

    /// Number of retries so far.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn earn(&mut self, policy: &Policy) {
        let earned = self.parts + u64::from(policy.retry_permille);
        self.parts = earned.min(max_parts(policy));
    }

    /// Takes one retry from the budget, and returns whether there was one.
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

/// Whether a request may be sent again after this outcome: either it did not run,
/// or it is safe to run more than once.
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

/// Draws the delay before the attempt that follows `attempt`, uniformly up to a
/// bound that doubles with each attempt.
pub fn delay<R>(rng: &mut R, policy: &Policy, attempt: Attempt) -> Millis
where
    R: Rng,
{
    let doublings = u32::from(attempt.0).min(16);
    let bound = policy.retry_base_ms.0.saturating_mul(1 << doublings);
    Millis(rng.random_range(0..=bound))
}
