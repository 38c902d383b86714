//! Limit on retries, which send a request to a second endpoint.
//!
//! Without a limit, retries would double the load of a service just when its
//! endpoints fail. The limit holds for all hosts together over a window; each host
//! uses its share of it. A share of the slack is earned over the window from the start
//! of a host, so that restarts add nothing to what the host took before.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use compact_str::CompactString;

/// Share of the allowed ratio that a host uses. The rest covers retries that are
/// counted in another window than the requests that allowed them.
const RATIO_SHARE: f64 = 0.6;
/// Share of the allowed slack that all hosts use together: a host that has used its share
/// and starts again may use it once more within a window.
const SLACK_SHARE: f64 = 0.5;

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
    /// Retries that the requests allowed.
    retries_ms: VecDeque<u64>,
    /// Retries that the slack allowed.
    slack_retries_ms: VecDeque<u64>,
}

/// What the budget for a service holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub request_count: usize,
    /// Retries that they allowed.
    pub retry_count: usize,
    /// Retries that the slack allowed.
    pub slack_retry_count: usize,
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
        let bounds = self.bounds;
        let window = self.windows.entry(service.into()).or_default();
        drop_expired(window, bounds.window_ms, now_ms);
        let by_requests = bounds.ratio * RATIO_SHARE * window.requests_ms.len() as f64;
        if window.retries_ms.len() as f64 + 1.0 <= by_requests {
            window.retries_ms.push_back(now_ms);
            return true;
        }
        let by_slack = earned_slack(bounds, host_count, now_ms);
        let is_allowed = window.slack_retries_ms.len() as f64 + 1.0 <= by_slack;
        if is_allowed {
            window.slack_retries_ms.push_back(now_ms);
        }
        is_allowed
    }

    /// Returns what the budget for a service holds.
    pub fn usage(&self, service: &str) -> RetryUsage {
        let window = self.windows.get(service);
        RetryUsage {
            request_count: window.map_or(0, |window| window.requests_ms.len()),
            retry_count: window.map_or(0, |window| window.retries_ms.len()),
            slack_retry_count: window.map_or(0, |window| window.slack_retries_ms.len()),
        }
    }
}

/// Returns the part of this host's share of the slack that it has earned at `now_ms` after
/// its start.
fn earned_slack(bounds: RetryBounds, host_count: usize, now_ms: u64) -> f64 {
    let share = bounds.slack * SLACK_SHARE / host_count.max(1) as f64;
    let earned = now_ms as f64 / bounds.window_ms.max(1) as f64;
    share * earned.min(1.0)
}

fn drop_expired(window: &mut Window, window_ms: u64, now_ms: u64) {
    for times in [
        &mut window.requests_ms,
        &mut window.retries_ms,
        &mut window.slack_retries_ms,
    ] {
        while times
            .front()
            .is_some_and(|at_ms| at_ms + window_ms < now_ms)
        {
            times.pop_front();
        }
    }
}
