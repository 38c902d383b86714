//! Sizes of requests relative to what is usual on their route, for metrics and admission.
//!
//! Requests are compared with the mean of their route, so that a route whose large requests are
//! starved shows, whatever their length. The number of routes that are told apart
//! is bounded; the others count together.

use std::{
    collections::BTreeMap,
    fmt::{
        self,
        Display, //
    }, //
};

use compact_str::CompactString;
use prometheus_client::encoding::{
    EncodeLabelValue,
    LabelValueEncoder, //
};

use super::request::RequestMetadata;
use crate::types::Tokens;

/// Routes that are told apart.
const MAX_ROUTES: usize = 64;
/// Name under which all other routes count.
const OTHER_ROUTES: &str = "other";
/// Decrease of the longest time limit of a route with each request.
const LIMIT_DECAY: f64 = 0.000_5;
/// Difference from the longest time limit above which a caller has tried before; smaller ones
/// are the time that it took to connect.
const MIN_AGE_MS: f64 = 150.0;
/// Weight of a request in the moving means of its route, after the first ones.
const MEAN_WEIGHT: f64 = 0.01;

/// Size of a request relative to the mean of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RelativeSize {
    /// Up to half of the mean.
    UpToHalf,
    /// Up to the mean.
    UpToMean,
    /// Up to twice the mean.
    UpToTwice,
    /// Up to four times the mean.
    UpToFourTimes,
    /// More than four times the mean.
    Larger,
}

impl RelativeSize {
    /// Returns the class of a size that is `ratio` times the mean.
    pub fn new(ratio: f64) -> Self {
        match ratio {
            ratio if ratio <= 0.5 => Self::UpToHalf,
            ratio if ratio <= 1.0 => Self::UpToMean,
            ratio if ratio <= 2.0 => Self::UpToTwice,
            ratio if ratio <= 4.0 => Self::UpToFourTimes,
            _ => Self::Larger,
        }
    }
}

impl Display for RelativeSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UpToHalf => "up to 0.5",
            Self::UpToMean => "up to 1",
            Self::UpToTwice => "up to 2",
            Self::UpToFourTimes => "up to 4",
            Self::Larger => "over 4",
        })
    }
}

impl EncodeLabelValue for RelativeSize {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), fmt::Error> {
        self.to_string().encode(encoder)
    }
}

/// Size of a request, and the route that it counts for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSize {
    /// Name of the route, or the one under which others count.
    pub route: CompactString,
    /// The caller comes back after a refusal: it waits for a shorter time than others.
    pub is_returning: bool,
    /// Mean prompt of the route.
    pub usual_prompt: Tokens,
    /// Size relative to the mean.
    pub relative: RelativeSize,
}

/// Moving means of the requests of a route.
#[derive(Debug, Clone, Copy, Default)]
struct MeanSize {
    prompt_tokens: f64,
    /// Longest time that callers lately waited for an answer.
    limit_ms: f64,
    count: u64,
}

/// Moving means of the request sizes of each route.
#[derive(Debug, Default)]
pub struct RequestSizes {
    means: BTreeMap<CompactString, MeanSize>,
}

impl RequestSizes {
    /// Records a request and returns its size.
    pub fn record(&mut self, route: &str, metadata: &RequestMetadata) -> RequestSize {
        let is_known = self.means.contains_key(route) || self.means.len() < MAX_ROUTES;
        let name = CompactString::from(if is_known { route } else { OTHER_ROUTES });
        let mean = self.means.entry(name.clone()).or_default();
        mean.count += 1;
        let weight = MEAN_WEIGHT.max(1.0 / mean.count as f64);
        let prompt = metadata.prompt_tokens.0 as f64;
        mean.prompt_tokens += weight * (prompt - mean.prompt_tokens);
        let ratio = prompt / mean.prompt_tokens.max(1.0);
        let limit_ms = metadata.time_limit_ms.unwrap_or(0) as f64;
        mean.limit_ms = limit_ms.max(mean.limit_ms * (1.0 - LIMIT_DECAY));
        let is_returning = limit_ms > 0.0 && limit_ms + MIN_AGE_MS <= mean.limit_ms;
        RequestSize {
            route: name,
            is_returning,
            usual_prompt: Tokens(mean.prompt_tokens as u64),
            relative: RelativeSize::new(ratio),
        }
    }
}
