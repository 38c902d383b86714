//! Prompts and time limits of requests relative to what is usual on their route, for metrics and
//! admission.
//!
//! Requests are compared with the mean of their route, so that a route whose large requests are
//! starved shows, whatever their length. The number of routes that are told apart is bounded;
//! the others count together. What callers state is bounded too, so that one of them can't
//! shift what is usual.

use std::fmt::{
    self,
    Display, //
};

use compact_str::CompactString;
use prometheus_client::encoding::{
    EncodeLabelValue,
    LabelValueEncoder, //
};

use super::{
    request::RequestMetadata,
    route_table::RouteTable, //
};
use crate::types::Tokens;

/// Share by which the longest time limit of a route decreases with each request, so that a rare
/// one is forgotten within some thousand.
const LIMIT_DECAY: f64 = 0.000_5;
/// Difference from the longest time limit from which on a caller has tried before: the shortest
/// time after which one is asked to come back. Less passes while a caller connects.
const MIN_AGE_MS: f64 = 150.0;
/// Weight of a request in the moving mean of its route, after the first ones.
const MEAN_WEIGHT: f64 = 0.01;
/// Longest prompt that counts: several times the memory of an engine.
const MAX_PROMPT_TOKENS: f64 = 4_000_000.0;
/// Largest prompt relative to the mean, which a longer one counts as.
const MAX_COUNTED_RATIO: f64 = 10.0;

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
    /// Longest time that callers of the route lately waited for an answer.
    pub longest_limit_ms: u64,
    /// Mean prompt of the route.
    pub usual_prompt: Tokens,
    /// Size relative to the mean.
    pub relative: RelativeSize,
}

/// What is usual on a route.
#[derive(Debug, Clone, Copy, Default)]
struct UsualRequest {
    /// Moving mean of the prompts.
    prompt_tokens: f64,
    /// Longest time that callers lately waited for an answer.
    limit_ms: f64,
    count: u64,
}

impl UsualRequest {
    /// Records a prompt; returns its size relative to the mean.
    fn record_prompt(&mut self, prompt: f64) -> f64 {
        self.count += 1;
        let weight = MEAN_WEIGHT.max(1.0 / self.count as f64);
        let most = self.prompt_tokens * MAX_COUNTED_RATIO;
        let counted = if most > 0.0 { prompt.min(most) } else { prompt };
        self.prompt_tokens += weight * (counted - self.prompt_tokens);
        prompt / self.prompt_tokens.max(1.0)
    }

    /// Records the time that a caller waits; returns whether it has tried before.
    fn record_limit(&mut self, limit_ms: Option<u64>, timeout_ms: u64) -> bool {
        let limit_ms = limit_ms.unwrap_or(timeout_ms).min(timeout_ms) as f64;
        let lately_ms = (self.limit_ms * (1.0 - LIMIT_DECAY)).min(timeout_ms as f64);
        self.limit_ms = limit_ms.max(lately_ms);
        limit_ms + MIN_AGE_MS <= self.limit_ms
    }
}

/// What is usual on each route.
#[derive(Debug, Default)]
pub struct RequestSizes {
    usual: RouteTable<UsualRequest>,
}

impl RequestSizes {
    /// Records a request of a route with a time limit, and returns its size.
    pub fn record(
        &mut self,
        route: &str,
        timeout_ms: u64,
        metadata: &RequestMetadata,
    ) -> RequestSize {
        let (name, usual) = self.usual.entry(route);
        let prompt = (metadata.prompt_tokens.0 as f64).min(MAX_PROMPT_TOKENS);
        let ratio = usual.record_prompt(prompt);
        let is_returning = usual.record_limit(metadata.time_limit_ms, timeout_ms);
        RequestSize {
            route: name,
            is_returning,
            longest_limit_ms: usual.limit_ms as u64,
            usual_prompt: Tokens(usual.prompt_tokens as u64),
            relative: RelativeSize::new(ratio),
        }
    }
}
