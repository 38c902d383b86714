//! The pace of streams: the time between the events that an endpoint generates.
//!
//! An engine generates a token of each of its streams in a step, so all streams at an endpoint
//! have the same pace, and any of them shows it.

use std::{
    fmt,
    str::FromStr, //
};

use super::gap_goal::Pauses;
use crate::types::ParseError;

/// Time constant of the moving pace: several events of a slow stream.
const PACE_DECAY_MS: f64 = 1_000.0;
/// Fewest recent events from which a pace is taken.
const MIN_EVENTS: f64 = 0.5;
/// Standard deviations above the mean of a pause that few exceed. Pauses are either those of steps
/// with prefill or of steps without, so this is about the longest of them.
const LONG_PAUSE_DEVIATIONS: f64 = 2.0;
/// Largest pause that counts for the deviation, relative to the mean. Steps with prefill take
/// about four times as long as those without; a longer pause is one of a single stream, such as
/// one that was preempted.
const MAX_RELATIVE_PAUSE: f64 = 4.0;

/// Mean time between two events of a stream; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// Returns a pace; none if it is negative or not finite.
    pub fn from_event_ms(event_ms: f64) -> Option<Self> {
        (event_ms.is_finite() && event_ms >= 0.0).then_some(Self(event_ms))
    }

    /// Time between two events, in milliseconds.
    pub fn event_ms(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms/event", self.0)
    }
}

impl FromStr for Pace {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a decimal number that is not negative, followed by ' ms/event'";
        text.strip_suffix(" ms/event")
            .and_then(|number| number.parse().ok())
            .and_then(Self::from_event_ms)
            .ok_or_else(|| ParseError::new("pace", text, expected))
    }
}

/// Measures the pace of the streams that pass from one endpoint through this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceMeter {
    /// Time that streams waited for their latest events; decays.
    waited_ms: f64,
    /// Number of these events; decays.
    event_count: f64,
    /// Sum of the squares of the waits; decays.
    squared_ms: f64,
    updated_ms: u64,
}

impl PaceMeter {
    /// Records events of a stream that came `waited_ms` after the ones before.
    pub fn record(&mut self, event_count: u64, waited_ms: u64, now_ms: u64) {
        let kept_share = self.kept_share(now_ms);
        self.waited_ms = self.waited_ms * kept_share + waited_ms as f64;
        self.event_count = self.event_count * kept_share + event_count as f64;
        let mean_ms = self.waited_ms / self.event_count.max(1.0);
        let counted_ms = (waited_ms as f64).min(mean_ms * MAX_RELATIVE_PAUSE);
        self.squared_ms = self.squared_ms * kept_share + counted_ms * counted_ms;
        self.updated_ms = now_ms;
    }

    /// Returns the moving pace; none if there were no events lately.
    pub fn pace(&self, now_ms: u64) -> Option<Pace> {
        // The count only decays.
        if self.event_count < MIN_EVENTS {
            return None;
        }
        let recent = self.event_count * self.kept_share(now_ms);
        (recent >= MIN_EVENTS).then_some(Pace(self.waited_ms / self.event_count))
    }

    /// Returns the pauses between events; none if there were no events lately.
    pub fn pauses(&self, now_ms: u64) -> Option<Pauses> {
        let mean_ms = self.pace(now_ms)?.event_ms();
        let variance = (self.squared_ms / self.event_count - mean_ms * mean_ms).max(0.0);
        Some(Pauses {
            mean_ms,
            long_ms: mean_ms + LONG_PAUSE_DEVIATIONS * variance.sqrt(),
        })
    }

    fn kept_share(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-age_ms / PACE_DECAY_MS).exp()
    }
}
