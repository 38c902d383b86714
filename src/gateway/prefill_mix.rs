//! The prefill work that a host sends to the endpoints of a service, by priority.
//!
//! An engine admits the most urgent of the requests that wait, so only a part of the work
//! that waits there is ahead of an urgent one. Hosts tell each other that work as one sum.
//! The part of it that is ahead is taken to be that of the work which this host sent.

use crate::types::Tokens;

/// Priorities that are told apart; higher values count as the last.
const PRIORITY_COUNT: usize = 10;
/// Time constant of the moving sums: some seconds, so that a host with a few requests a second
/// has seen each priority.
const DECAY_MS: f64 = 5_000.0;

/// Moving sums of prompt tokens by priority.
#[derive(Debug, Clone, Default)]
pub struct PrefillMix {
    tokens: [f64; PRIORITY_COUNT],
    updated_ms: u64,
}

impl PrefillMix {
    /// Records that a prompt with `prefill` to process was sent.
    pub fn record(&mut self, priority: Option<u8>, prefill: Tokens, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept_share = (-age_ms / DECAY_MS).exp();
        for sum in &mut self.tokens {
            *sum *= kept_share;
        }
        self.updated_ms = now_ms;
        self.tokens[index(priority)] += prefill.0 as f64;
    }

    /// Returns the share of the work that is at least as urgent as `priority`; all of it for a
    /// request without one.
    pub fn share_ahead(&self, priority: Option<u8>) -> f64 {
        let total: f64 = self.tokens.iter().sum();
        if priority.is_none() || total <= 0.0 {
            return 1.0;
        }
        let ahead: f64 = self.tokens[..=index(priority)].iter().sum();
        ahead / total
    }
}

/// Requests without a priority come last.
fn index(priority: Option<u8>) -> usize {
    let last = PRIORITY_COUNT - 1;
    priority.map_or(last, |priority| usize::from(priority).min(last))
}
