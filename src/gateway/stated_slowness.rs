//! How long work currently takes at an endpoint, as its answers state it.
//!
//! The speed of a machine may change many times a second, faster than it can be learned from the
//! times of answers. What an endpoint states is therefore used relative to what it states on
//! average, on top of the slowness that is learned, and only as far as measured times bear it out.

use super::request::SlownessPercent;

/// Age at which a stated value is no longer used.
const LIFETIME_MS: u64 = 1_000;
/// Weight of a new value in the moving average of the stated ones.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of a measured time in the trust in the stated values: a false one has little effect
/// after ten answers.
const TRUST_WEIGHT: f64 = 0.2;
/// Range of a stated value relative to the mean of an endpoint.
const RELATIVE_RANGE: (f64, f64) = (1.0 / 3.0, 3.0);
/// Smallest deviation from the mean, as a logarithm, that a measured time can bear out: times
/// vary as much without it.
const MIN_DEVIATION: f64 = 0.1;

/// Slowness that a prediction is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlownessEstimate {
    /// Factor on predicted times.
    pub factor: f64,
    /// Part of it that follows from what the endpoint stated.
    pub stated_part: f64,
    /// What the endpoint stated relative to its mean, whether it is trusted or not; none if it
    /// stated nothing lately.
    pub relative: Option<f64>,
}

impl SlownessEstimate {
    /// Returns an estimate that is learned from times alone.
    pub fn new(factor: f64) -> Self {
        Self {
            factor,
            stated_part: 1.0,
            relative: None,
        }
    }
}

/// What the answers of an endpoint state about its slowness.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedSlowness {
    /// Time and factor of the latest statement.
    latest: Option<(u64, f64)>,
    mean: f64,
    /// Share of the stated deviations that is used.
    trust: f64,
}

impl Default for StatedSlowness {
    fn default() -> Self {
        Self {
            latest: None,
            mean: 1.0,
            trust: 1.0,
        }
    }
}

impl StatedSlowness {
    /// Returns whether the endpoint has stated a value.
    pub fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// Records a value; returns its factor if it is the first one.
    pub fn record(&mut self, stated: SlownessPercent, now_ms: u64) -> Option<f64> {
        let factor = stated.factor();
        let is_first = !self.is_known();
        self.latest = Some((now_ms, factor));
        match is_first {
            true => self.mean = factor,
            false => self.mean += MEAN_WEIGHT * (factor - self.mean),
        }
        is_first.then_some(factor)
    }

    /// Returns the estimate of an endpoint for which `learned` follows from times.
    pub fn estimate(&self, learned: f64, now_ms: u64) -> SlownessEstimate {
        let Some((at_ms, factor)) = self.latest else {
            return SlownessEstimate::new(learned);
        };
        let age_ms = now_ms.saturating_sub(at_ms);
        if age_ms >= LIFETIME_MS {
            return SlownessEstimate::new(learned);
        }
        let (low, high) = RELATIVE_RANGE;
        let left_share = 1.0 - age_ms as f64 / LIFETIME_MS as f64;
        let full = (factor / self.mean).clamp(low, high);
        let relative = 1.0 + (full - 1.0) * left_share;
        let stated_part = 1.0 + (relative - 1.0) * self.trust;
        SlownessEstimate {
            factor: learned * stated_part,
            stated_part,
            relative: Some(relative),
        }
    }

    /// Compares a measured slowness with the estimate on which the prediction was based.
    pub fn record_measured(&mut self, measured: f64, used: SlownessEstimate) {
        let Some(relative) = used.relative else {
            return;
        };
        if relative.ln().abs() < MIN_DEVIATION {
            return;
        }
        let learned = used.factor / used.stated_part;
        let error = |predicted: f64| (measured / predicted).ln().abs();
        let is_borne_out = error(learned * relative) <= error(learned);
        let target = if is_borne_out { 1.0 } else { 0.0 };
        self.trust += TRUST_WEIGHT * (target - self.trust);
    }
}
