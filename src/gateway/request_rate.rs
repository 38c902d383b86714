//! A number of requests a second.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::types::ParseError;

/// Requests a second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns a rate; none if it is negative or not finite.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }

    /// Returns this share of the rate.
    pub fn share(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }

    /// Returns the higher of two rates.
    pub fn at_least(self, least: Self) -> Self {
        Self(self.0.max(least.0))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = "a decimal number that is not negative, followed by '/s'";
        text.strip_suffix("/s")
            .and_then(|number| number.parse().ok())
            .and_then(Self::new)
            .ok_or_else(|| ParseError::new("request rate", text, expected))
    }
}
