//! The limit on requests that an endpoint names for all hosts together.
//!
//! Statements are ordered by the time at which their request was sent: an answer that
//! arrives late must not bring back a limit that a later answer has ended.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    endpoint::{
        Endpoint,
        EndpointHash, //
    },
    request_rate::RequestRate, //
};

/// Time for which the end of a limit is reported to hosts that may not know of it.
const REPORT_END_MS: u64 = 60_000;

/// What the answer of an endpoint says about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitStatement {
    /// It names none, which ends one that was named before.
    #[default]
    None,
    /// It names something that is no limit and changes nothing.
    Invalid,
    /// It takes this many requests from all hosts together.
    Limit(RequestRate),
}

/// The limit of an endpoint as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KnownLimit {
    /// The limit, if there is one.
    rate: Option<RequestRate>,
    /// Time at which the request was sent whose answer stated it.
    as_of_ms: u64,
    /// Time of the last change.
    changed_ms: Option<u64>,
}

/// Report of an endpoint's limit and cold time to another host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Unix time of its start; a later start names its own limit.
    pub started_ms: u64,
    /// The limit; none if it has ended.
    pub rate: Option<RequestRate>,
    /// Requests a second that it can turn away; none if it is not brittle.
    pub brittle: Option<RequestRate>,
    /// Time since the request was sent whose answer stated it.
    pub age_ms: u64,
    /// How much longer the endpoint stays cold, in milliseconds; 0 if it is warm.
    pub cold_left_ms: u64,
}

impl KnownLimit {
    /// Returns the knowledge of an endpoint that starts at `now_ms`; answers to earlier
    /// requests do not count.
    pub fn new(now_ms: u64) -> Self {
        Self {
            as_of_ms: now_ms,
            ..Self::default()
        }
    }

    /// Returns the limit, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the age of what is known.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Applies a statement in the answer to a request that was sent at `as_of_ms`; returns
    /// whether the limit has changed.
    pub fn apply(&mut self, rate: Option<RequestRate>, as_of_ms: u64, now_ms: u64) -> bool {
        if as_of_ms < self.as_of_ms {
            return false;
        }
        // The lower of two limits of the same time, so that all hosts agree.
        let is_lower = match (rate, self.rate) {
            (Some(new), Some(known)) => new < known,
            (new, known) => new.is_some() && known.is_none(),
        };
        let is_applied = as_of_ms > self.as_of_ms || is_lower;
        self.as_of_ms = as_of_ms;
        if !is_applied || rate == self.rate {
            return false;
        }
        self.rate = rate;
        self.changed_ms = Some(now_ms);
        true
    }

    fn is_reported(&self, now_ms: u64) -> bool {
        let has_changed = |changed_ms| now_ms < changed_ms + REPORT_END_MS;
        self.rate.is_some() || self.changed_ms.is_some_and(has_changed)
    }
}

impl LimitReport {
    /// Returns the report of an endpoint's limit.
    pub fn new(endpoint: &Endpoint, now_ms: u64) -> Self {
        let limit = &endpoint.statements.limit;
        Self {
            endpoint: endpoint.hash,
            started_ms: endpoint.announcement.order.started_ms,
            rate: limit.rate(),
            brittle: endpoint.statements.brittle.rate(),
            age_ms: limit.age_ms(now_ms),
            cold_left_ms: endpoint.cold_left_ms(now_ms),
        }
    }

    /// Returns the report of an endpoint that is cold or brittle, or has a limit, or was or had
    /// until recently.
    pub fn of_limited(endpoint: &Endpoint, now_ms: u64) -> Option<Self> {
        let is_cold = endpoint.cold_rate.is_some() && endpoint.is_cold(now_ms);
        let statements = &endpoint.statements;
        let is_reported = is_cold
            || statements.limit.is_reported(now_ms)
            || statements.brittle.is_reported(now_ms);
        is_reported.then(|| Self::new(endpoint, now_ms))
    }
}
