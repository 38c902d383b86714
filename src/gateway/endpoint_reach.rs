//! Whether this host reaches the endpoints of its region.
//!
//! One endpoint that can't be reached says nothing about the others. A failed connection, or
//! silence of all endpoints, makes the host doubt its paths; connections to other endpoints
//! decide. Connections that are open already prove nothing, because new ones may be refused.

use std::collections::BTreeSet;

use compact_str::CompactString;

/// Endpoints that are tried at once in doubt, after the first one has not answered.
const DOUBT_PROBES: usize = 3;
/// Endpoints, of those that there are, to which connections have to fail before a host counts
/// as cut off.
const FAILURES_TO_CUT_OFF: usize = 3;
/// Time without a byte from any endpoint, while several have requests, that causes doubt:
/// longer than the pauses of endpoints that stream.
const SILENCE_MS: u64 = 400;
/// Endpoints that have to have requests for silence to cause doubt.
const SILENT_ENDPOINTS: usize = 2;
/// Interval at which endpoints are tried in doubt: connecting takes a millisecond.
const DOUBT_INTERVAL_MS: u64 = 50;
/// Interval at which a host that is cut off tries an endpoint.
const PROBE_INTERVAL_MS: u64 = 250;

/// What a host knows about its paths to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Endpoints are reached.
    Sound,
    /// Connections to endpoints are tried.
    Doubtful,
    /// No endpoint is reached.
    CutOff { since_ms: u64 },
}

/// Change of whether endpoints are reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The host is cut off; the number of endpoints to which connections failed.
    Lost {
        /// Endpoints to which connections failed.
        failed_count: usize,
    },
    /// An endpoint was reached again.
    Regained {
        /// Time at which the host found that it was cut off.
        lost_ms: u64,
    },
}

/// This host's paths to the endpoints of its region.
#[derive(Debug)]
pub struct EndpointReach {
    state: State,
    /// Endpoints to which connections failed since one was established.
    failed: BTreeSet<CompactString>,
    /// Time at which a connection to an endpoint was last established.
    connected_ms: u64,
    /// Time at which a byte of an endpoint last arrived.
    heard_ms: u64,
    next_doubt_ms: u64,
    next_probe_ms: u64,
    /// Endpoint that was tried last while the host was cut off.
    last_probe: Option<CompactString>,
}

impl EndpointReach {
    /// Returns paths that have not failed.
    pub fn new() -> Self {
        Self {
            state: State::Sound,
            failed: BTreeSet::new(),
            connected_ms: 0,
            heard_ms: 0,
            next_doubt_ms: 0,
            next_probe_ms: 0,
            last_probe: None,
        }
    }

    /// Returns whether no endpoint is reached.
    pub fn is_cut_off(&self) -> bool {
        matches!(self.state, State::CutOff { .. })
    }

    /// Returns the time since which no endpoint is reached.
    pub fn cut_off_since_ms(&self) -> Option<u64> {
        match self.state {
            State::CutOff { since_ms } => Some(since_ms),
            _ => None,
        }
    }

    /// Returns the time at which a connection to an endpoint was last established.
    pub fn connected_ms(&self) -> u64 {
        self.connected_ms
    }

    /// Records that a connection to an endpoint was established.
    pub fn record_connected(&mut self, now_ms: u64) -> Option<ReachChange> {
        let lost_ms = self.cut_off_since_ms();
        self.state = State::Sound;
        self.failed.clear();
        self.connected_ms = now_ms;
        self.heard_ms = now_ms;
        lost_ms.map(|lost_ms| ReachChange::Regained { lost_ms })
    }

    /// Records that a byte of an endpoint arrived.
    pub fn record_heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
    }

    /// Returns whether a byte of an endpoint arrived, or a connection was established, after a
    /// time.
    pub fn has_heard_since(&self, at_ms: u64) -> bool {
        self.heard_ms > at_ms
    }

    /// Records that a connection to an endpoint could not be established.
    pub fn record_unreachable(&mut self, endpoint: &CompactString) {
        if !self.failed.contains(endpoint) {
            self.failed.insert(endpoint.clone());
        }
    }

    /// Returns whether there may be something to try or to decide, for which the endpoints that
    /// stay have to be known.
    pub fn is_due(&self, busy_count: usize, now_ms: u64) -> bool {
        match self.state {
            State::CutOff { .. } => true,
            State::Doubtful if !self.failed.is_empty() => true,
            State::Sound | State::Doubtful => {
                self.is_in_doubt(busy_count, now_ms) && now_ms >= self.next_doubt_ms
            }
        }
    }

    fn is_in_doubt(&self, busy_count: usize, now_ms: u64) -> bool {
        let is_silent = busy_count >= SILENT_ENDPOINTS && now_ms >= self.heard_ms + SILENCE_MS;
        is_silent || !self.failed.is_empty()
    }

    /// Returns the endpoints, of those that stay, to which connections are tried now.
    ///
    /// `busy_count` endpoints have requests of this host in progress.
    pub fn probes(
        &mut self,
        staying: &[CompactString],
        busy_count: usize,
        now_ms: u64,
    ) -> Vec<CompactString> {
        match self.state {
            State::CutOff { .. } => {
                // An endpoint that was announced since is not waited for.
                let untried = staying.iter().filter(|id| !self.failed.contains(*id));
                let untried: Vec<CompactString> = untried.take(DOUBT_PROBES).cloned().collect();
                if !untried.is_empty() || now_ms < self.next_probe_ms {
                    return untried;
                }
                self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
                self.last_probe = self.next_in_turn(staying);
                self.last_probe.iter().cloned().collect()
            }
            State::Sound | State::Doubtful => {
                if !self.is_in_doubt(busy_count, now_ms) || now_ms < self.next_doubt_ms {
                    return Vec::new();
                }
                self.next_doubt_ms = now_ms + DOUBT_INTERVAL_MS;
                let count = match self.state {
                    State::Sound => 1,
                    _ => DOUBT_PROBES,
                };
                self.state = State::Doubtful;
                // What failed alone may have ended. Hosts begin with different ones.
                let (before, after) = staying.split_at(now_ms as usize % staying.len().max(1));
                let untried = after.iter().chain(before);
                let untried = untried.filter(|id| !self.failed.contains(*id));
                untried.take(count).cloned().collect()
            }
        }
    }

    /// Decides whether the host is cut off, of endpoints that stay.
    pub fn decide(&mut self, staying: &[CompactString], now_ms: u64) -> Option<ReachChange> {
        if self.state != State::Doubtful || staying.is_empty() {
            return None;
        }
        let failed_count = staying
            .iter()
            .filter(|id| self.failed.contains(*id))
            .count();
        if failed_count < FAILURES_TO_CUT_OFF.min(staying.len()) {
            return None;
        }
        self.state = State::CutOff { since_ms: now_ms };
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        Some(ReachChange::Lost { failed_count })
    }

    fn next_in_turn(&self, staying: &[CompactString]) -> Option<CompactString> {
        let after = staying
            .iter()
            .find(|id| self.last_probe.as_ref().is_none_or(|last| *id > last));
        after.or(staying.first()).cloned()
    }
}

impl Default for EndpointReach {
    fn default() -> Self {
        Self::new()
    }
}
