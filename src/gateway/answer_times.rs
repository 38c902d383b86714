//! The longest time that answers of each route took.

use super::route_table::RouteTable;

/// Share by which the longest time decreases with each answer, so that a rare one is forgotten
/// within some thousand.
const DECAY: f64 = 0.000_5;
/// Time that an answer may take relative to the longest one: endpoints are slower while requests
/// move to them from hosts and endpoints that leave.
const SLOWER_FACTOR: f64 = 1.25;

/// Longest time of the answers of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTime {
    longest_ms: f64,
}

impl AnswerTime {
    /// Records the time from the arrival of a request to the end of its answer.
    pub fn record(&mut self, total_ms: u64) {
        self.longest_ms = (self.longest_ms * (1.0 - DECAY)).max(total_ms as f64);
    }
}

/// Longest time of the answers of each route.
pub type AnswerTimes = RouteTable<AnswerTime>;

impl AnswerTimes {
    /// Returns the time in which an answer of a route ends; none before the first one.
    pub fn bound_ms(&self, route: &str) -> Option<u64> {
        let longest_ms = self.get(route)?.longest_ms;
        Some((longest_ms * SLOWER_FACTOR) as u64)
    }
}
