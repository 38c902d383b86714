//! Limit on requests that are sent to a second endpoint.
//!
//! Without a limit, a service whose endpoints fail gets twice its load at the
//! moment at which it can bear it least. The limit holds for all hosts together
//! over a window; each host uses its part of it.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use compact_str::CompactString;

/// Part of the allowed ratio that a host uses. The rest covers repeats that are
/// counted in another window than the requests that allowed them.
const RATIO_SHARE: f64 = 0.6;
/// Part of the allowed slack that all hosts use together.
const SLACK_SHARE: f64 = 0.6;

/// The limit, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, in a window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    repeats_ms: VecDeque<u64>,
}

/// Counts requests and repeats of this host, for each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    windows: BTreeMap<CompactString, Window>,
}

impl RetryBudget {
    /// A budget that has seen no requests.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            windows: BTreeMap::new(),
        }
    }

    /// Records a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        let window = self.windows.entry(service.into()).or_default();
        window.requests_ms.push_back(now_ms);
        forget(window, self.bounds.window_ms, now_ms);
    }

    /// Takes one repeat from the budget of a host among `host_count`.
    pub fn try_take(&mut self, service: &str, host_count: usize, now_ms: u64) -> bool {
        let window = self.windows.entry(service.into()).or_default();
        forget(window, self.bounds.window_ms, now_ms);
        let by_requests = self.bounds.ratio * RATIO_SHARE * window.requests_ms.len() as f64;
        let by_slack = self.bounds.slack * SLACK_SHARE / host_count.max(1) as f64;
        if window.repeats_ms.len() as f64 + 1.0 > by_requests + by_slack {
            return false;
        }
        window.repeats_ms.push_back(now_ms);
        true
    }
}

fn forget(window: &mut Window, window_ms: u64, now_ms: u64) {
    for times in [&mut window.requests_ms, &mut window.repeats_ms] {
        while times
            .front()
            .is_some_and(|at_ms| at_ms + window_ms < now_ms)
        {
            times.pop_front();
        }
    }
}
