//! Whether an endpoint is still the start that it announced.
//!
//! An id names an endpoint, not one start of it, and its address accepts connections for
//! whichever start listens there. A connection belongs to one start: what is sent on it reaches
//! the process that accepted it, or nobody. So what is known of a start holds up to the first
//! sign of its end, which is a connection that the endpoint closed without notice, or refused.
//! From then on the start is in doubt until
//!
//! - something arrives on a connection that the start accepted, which it has not sent before the
//!   sign,
//! - the endpoint states when it started, or
//! - the store shows what the process announced that has accepted a connection since.
//!
//! An endpoint whose start is in doubt may be another one, which is cold and of any software
//! version. It gets requests at the rate of a cold endpoint until it is known how long it stays
//! cold, and none that are bound to a version.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    endpoint::{
        Endpoint,
        EndpointHash, //
    }, //
};
use crate::types::ParseError;

/// Time in which bytes that a start sent before its end may still arrive.
const IN_FLIGHT_MS: u64 = 50;
/// Shortest time in which an endpoint ends and listens again.
const MIN_RESTART_MS: u64 = 30;
/// Time within which a new start announces itself: three heartbeats, after which the store removes
/// the entry of an endpoint that is silent.
const ANNOUNCED_WITHIN_MS: u64 = 3_600;

/// Unix time of an endpoint's start in milliseconds, which tells its starts apart.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StartTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let unix_ms = text.parse();
        unix_ms
            .map(Self)
            .map_err(|_| ParseError::new("start time", text, "Unix time in milliseconds"))
    }
}

/// Sign that the start of an endpoint has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndSign {
    /// Time up to which the start is known to have lived, if a connection showed it.
    alive_until_ms: Option<u64>,
    /// Time at which the connection that ended had been established, if there was one.
    established_ms: Option<u64>,
    /// Time of the sign.
    at_ms: u64,
}

impl EndSign {
    /// Returns the sign of a connection that was not accepted.
    pub fn new(at_ms: u64) -> Self {
        Self {
            alive_until_ms: None,
            established_ms: None,
            at_ms,
        }
    }

    /// Sets the time up to which the start is known to have lived.
    pub fn with_alive_until(mut self, alive_until_ms: Option<u64>) -> Self {
        self.alive_until_ms = alive_until_ms;
        self
    }

    /// Sets the time at which the connection that ended was last seen open, unless it had been
    /// quiet for longer than `max_quiet_ms`: it may have been dead for long then.
    ///
    /// Whoever accepts a connection within the shortest time of a restart is the same start.
    pub fn with_seen_open(mut self, seen_open_ms: Option<u64>, max_quiet_ms: u64) -> Self {
        let alive_until_ms = self.alive_until_ms.unwrap_or(0);
        let is_recent = |seen_ms: &u64| *seen_ms <= alive_until_ms.saturating_add(max_quiet_ms);
        if let Some(seen_ms) = seen_open_ms.filter(is_recent) {
            self.alive_until_ms = Some(alive_until_ms.max(seen_ms + MIN_RESTART_MS));
        }
        self
    }

    /// Sets the time at which the connection that ended had been established.
    pub fn with_connection(mut self, established_ms: u64) -> Self {
        self.established_ms = Some(established_ms);
        self
    }

    /// Returns whether it came after a time.
    pub fn is_after(&self, at_ms: u64) -> bool {
        self.at_ms > at_ms
    }

    /// Returns whether a connection that was established has ended.
    pub fn is_of_connection(&self) -> bool {
        self.established_ms.is_some()
    }
}

/// What is known of the bytes that arrive on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which the connection was established.
    pub established_ms: u64,
    /// Time at which the latest request was sent on it.
    pub sent_ms: u64,
    /// Time up to which all that had arrived was read before.
    pub drained_ms: u64,
}

/// The process that listened between two signs, whichever start it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EarlierListener {
    /// Time of the first connection that it is known to have accepted.
    reached_ms: u64,
    /// Time up to which it is known to have lived.
    alive_until_ms: u64,
}

impl EarlierListener {
    fn accepted(&self, established_ms: u64) -> bool {
        (self.reached_ms..=self.alive_until_ms).contains(&established_ms)
    }
}

/// Doubt whether an endpoint is still the start that it announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartDoubt {
    /// Connections that were established up to then belong to the announced start.
    alive_until_ms: u64,
    /// Time of the first sign that it has ended.
    first_signed_ms: u64,
    /// Time of the latest sign.
    signed_ms: u64,
    /// Time of the first connection that was established since the latest sign.
    reached_ms: Option<u64>,
    /// The process that listened before the latest sign, if it may be the one that listens.
    earlier: Option<EarlierListener>,
    /// It is known how long the process that listens stays cold, whichever start it is.
    is_cold_time_known: bool,
    /// The process that listens has stated that it is another start.
    is_other_start: bool,
    /// A start that came after the first sign may have ended as well.
    is_repeated: bool,
    /// Time at which the doubt of a host that has just started ends.
    lapses_ms: Option<u64>,
}

impl StartDoubt {
    /// Returns the doubt that follows from a sign.
    pub fn new(sign: EndSign) -> Self {
        Self {
            alive_until_ms: sign.alive_until_ms.unwrap_or(0),
            first_signed_ms: sign.at_ms,
            signed_ms: sign.at_ms,
            reached_ms: None,
            earlier: None,
            is_cold_time_known: false,
            is_other_start: false,
            is_repeated: false,
            lapses_ms: None,
        }
    }

    /// Returns the doubt of a host that has just started, which others have told of signs by
    /// `lapses_ms`.
    pub fn of_new_host(lapses_ms: u64, now_ms: u64) -> Self {
        Self {
            lapses_ms: Some(lapses_ms),
            ..Self::new(EndSign::new(now_ms))
        }
    }

    /// Adds another sign.
    pub fn add_sign(&mut self, sign: EndSign) {
        if !self.has_sign() {
            *self = Self::new(sign);
            return;
        }
        let is_later_start = |established_ms| established_ms > self.first_signed_ms;
        self.is_repeated |=
            self.reached_ms.is_some() || sign.established_ms.is_some_and(is_later_start);
        let alive_until_ms = sign.alive_until_ms.unwrap_or(self.alive_until_ms);
        self.alive_until_ms = self.alive_until_ms.min(alive_until_ms);
        self.signed_ms = self.signed_ms.max(sign.at_ms);
        self.earlier = self.listener_before(sign);
        self.reached_ms = None;
        self.is_cold_time_known = false;
    }

    fn listener_before(&self, sign: EndSign) -> Option<EarlierListener> {
        let alive_until_ms = sign.alive_until_ms?;
        match (self.reached_ms, self.earlier) {
            (Some(reached_ms), _) => Some(EarlierListener {
                reached_ms,
                alive_until_ms,
            }),
            (None, earlier) => earlier.map(|earlier| EarlierListener {
                alive_until_ms: alive_until_ms.min(earlier.alive_until_ms),
                ..earlier
            }),
        }
    }

    /// Applies bytes that arrived on a connection: if the process that had listened before the
    /// latest sign accepted it, that sign says nothing.
    pub fn record_arrival(&mut self, arrival: Arrival) {
        if let Some(earlier) = self.earlier
            && earlier.accepted(arrival.established_ms)
            && self.is_since_sign(arrival)
        {
            self.reached_ms = Some(earlier.reached_ms);
            self.earlier = None;
        }
    }

    /// Time of the latest sign.
    pub fn signed_ms(&self) -> u64 {
        self.signed_ms
    }

    /// Time up to which the announced start is known to have lived; 0 if nothing is known.
    pub fn alive_until_ms(&self) -> u64 {
        self.alive_until_ms
    }

    /// Records that a connection was established.
    pub fn record_reached(&mut self, now_ms: u64) {
        self.reached_ms.get_or_insert(now_ms);
    }

    /// Records that it is known how long the process that listens stays cold.
    pub fn record_cold_time(&mut self) {
        self.is_cold_time_known = true;
    }

    /// Records that the process that listens is another start.
    pub fn record_other_start(&mut self) {
        self.is_other_start = true;
        self.lapses_ms = None;
    }

    /// Returns whether it is known how long the process that listens stays cold.
    pub fn is_cold_time_known(&self) -> bool {
        self.is_cold_time_known
    }

    /// Returns whether there was a sign that the start has ended.
    pub fn has_sign(&self) -> bool {
        self.lapses_ms.is_none()
    }

    /// Returns whether the doubt has ended because other hosts would have told of a sign.
    pub fn has_lapsed(&self, now_ms: u64) -> bool {
        self.lapses_ms.is_some_and(|lapses_ms| now_ms >= lapses_ms)
    }

    /// Returns whether a connection belongs to the announced start.
    pub fn is_before_sign(&self, established_ms: u64) -> bool {
        established_ms <= self.alive_until_ms
    }

    /// Returns whether bytes that arrive on a connection prove that the start lives: it can't have
    /// sent them before the sign.
    pub fn is_proof(&self, arrival: Arrival) -> bool {
        self.is_before_sign(arrival.established_ms) && self.is_since_sign(arrival)
    }

    fn is_since_sign(&self, arrival: Arrival) -> bool {
        let is_answer = arrival.sent_ms >= self.signed_ms;
        is_answer || arrival.drained_ms >= self.signed_ms.saturating_add(IN_FLIGHT_MS)
    }

    /// Returns the time by which the store shows the announcement of the process that has
    /// accepted a connection since the latest sign; none if that is another start in any case.
    pub fn announced_by_ms(&self) -> Option<u64> {
        let reached_ms = self.reached_ms.filter(|_| !self.is_other_start)?;
        Some(reached_ms.saturating_add(ANNOUNCED_WITHIN_MS))
    }

    /// Returns what is left of the doubt when another start is announced: that one may have ended
    /// as well.
    pub fn after_announcement(self) -> Option<Self> {
        self.is_repeated.then_some(Self {
            alive_until_ms: 0,
            is_cold_time_known: false,
            is_other_start: false,
            ..self
        })
    }
}

/// What a host has found out about the start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartFinding {
    /// There was a sign that it has ended.
    Doubted {
        /// Time since it is known to have lived, in milliseconds.
        alive_age_ms: Option<u64>,
    },
    /// It lives.
    Alive,
    /// A process listens, whichever start it is, that stays cold for this long.
    Listening {
        /// How much longer it stays cold, in milliseconds; 0 if it is warm.
        cold_left_ms: u64,
    },
}

/// Report of a finding to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// The start that it announced.
    pub start: StartTime,
    /// The finding.
    pub finding: StartFinding,
    /// Time since the sign, or since the start or process is known to have lived, in milliseconds.
    pub age_ms: u64,
}

impl StartReport {
    /// Returns the report of a finding of this moment.
    pub fn new(endpoint: &Endpoint, finding: StartFinding) -> Self {
        Self {
            endpoint: endpoint.hash,
            start: endpoint.start(),
            finding,
            age_ms: 0,
        }
    }

    /// Sets the age of the finding.
    pub fn with_age_ms(mut self, age_ms: u64) -> Self {
        self.age_ms = age_ms;
        self
    }

    /// Returns the report of what is in doubt; none if nothing is, or only because this host has
    /// just started.
    pub fn of_doubt(endpoint: &Endpoint, now_ms: u64) -> Option<Self> {
        let doubt = endpoint.start_doubt().filter(|doubt| doubt.has_sign())?;
        let finding = match doubt.is_cold_time_known() {
            true => StartFinding::Listening {
                cold_left_ms: endpoint.cold_left_ms(now_ms),
            },
            false => StartFinding::Doubted {
                alive_age_ms: Some(doubt.alive_until_ms())
                    .filter(|alive_until_ms| *alive_until_ms > 0)
                    .map(|alive_until_ms| now_ms.saturating_sub(alive_until_ms)),
            },
        };
        let age_ms = now_ms.saturating_sub(doubt.signed_ms());
        Some(Self::new(endpoint, finding).with_age_ms(age_ms))
    }
}
