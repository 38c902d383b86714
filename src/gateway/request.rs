//! Request metadata that the placement of a request uses.

use compact_str::CompactString;

use super::stream_origins::AttemptHash;
use crate::types::Tokens;

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal parts have equal ids.
    pub id: u64,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Smallest and largest slowness that is believed, in percent.
const SLOWNESS_RANGE: (f64, f64) = (10.0, 10_000.0);

/// Time that work takes at an endpoint, in percent of the usual time; 100 is as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlownessPercent(u32);

impl SlownessPercent {
    /// Returns a slowness, cut to the range that is believed; none if it is no positive number.
    pub fn new(percent: f64) -> Option<Self> {
        let (low, high) = SLOWNESS_RANGE;
        let is_valid = percent.is_finite() && percent > 0.0;
        is_valid.then(|| Self(percent.clamp(low, high) as u32))
    }

    /// Returns the factor on the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Time that work currently takes there, if stated.
    pub slowness: Option<SlownessPercent>,
}

/// Metadata that a caller sends with one attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMetadata {
    /// Id of the attempt; each retry by the caller has a new one.
    pub attempt_id: CompactString,
    /// Time that the caller waits for the response.
    pub time_limit_ms: Option<u64>,
    /// Model; empty for services without a model.
    pub model: CompactString,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of generated tokens.
    pub max_output_tokens: Tokens,
    /// Caller's estimate of the number of generated tokens.
    pub length_hint: Option<Tokens>,
    /// Parts of the prompt in order; the last one is specific to this request.
    pub parts: Vec<PromptPart>,
    /// Id of the event after which the caller resumes a stream.
    pub last_event_id: Option<CompactString>,
    /// Id of the attempt that brought the first event of that stream.
    pub begun_by: Option<CompactString>,
}

impl RequestMetadata {
    /// Returns the attempt; none if the request has no id.
    pub fn attempt(&self) -> Option<AttemptHash> {
        AttemptHash::of_stated(&self.attempt_id)
    }

    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Returns the total length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens.0).sum()
    }

    /// Returns the id of the last shared part, the key for cache affinity.
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }
}
