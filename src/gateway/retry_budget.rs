//! Limit on retries, which send a request to a second endpoint.
//!
//! Without a limit, retries would double the load of a service just when its
//! endpoints fail. The limit holds for all hosts together over a window; each host
//! uses its share of it.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use compact_str::CompactString;

/// Share of the allowed ratio that a host uses. The rest covers retries that are
/// counted in another window than the requests that allowed them.
const RATIO_SHARE: f64 = 0.6;
/// Share of the allowed slack that all hosts use together.
const SLACK_SHARE: f64 = 0.6;

/// Limit on retries for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

/// Requests and retries of this host, by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    windows: BTreeMap<CompactString, Window>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
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
        drop_expired(window, self.bounds.window_ms, now_ms);
    }

    /// Takes one retry from this host's share among `host_count` hosts; returns false
    /// if the budget is exhausted.
    pub fn try_take(&mut self, service: &str, host_count: usize, now_ms: u64) -> bool {
        let window = self.windows.entry(service.into()).or_default();
        drop_expired(window, self.bounds.window_ms, now_ms);
        let by_requests = self.bounds.ratio * RATIO_SHARE * window.requests_ms.len() as f64;
        let by_slack = self.bounds.slack * SLACK_SHARE / host_count.max(1) as f64;
        if window.retries_ms.len() as f64 + 1.0 > by_requests + by_slack {
            return false;
        }
        window.retries_ms.push_back(now_ms);
        true
    }
}

fn drop_expired(window: &mut Window, window_ms: u64, now_ms: u64) {
    for times in [&mut window.requests_ms, &mut window.retries_ms] {
        while times
            .front()
            .is_some_and(|at_ms| at_ms + window_ms < now_ms)
        {
            times.pop_front();
        }
    }
}
