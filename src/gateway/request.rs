//! What the gateway knows about a request before it is placed.

use compact_str::CompactString;

use crate::types::Tokens;

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// Load of an endpoint, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What a caller says about one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMetadata {
    /// Identity of the attempt; every retry of a caller has its own.
    pub attempt_id: CompactString,
    /// How long the caller will wait.
    pub time_limit_ms: Option<u64>,
    /// Model, empty for plain services.
    pub model: CompactString,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that may be generated.
    pub max_output_tokens: Tokens,
    /// Parts of the prompt in order; the last one is the caller's own.
    pub parts: Vec<PromptPart>,
    /// Event after which the caller resumes a stream.
    pub last_event_id: Option<CompactString>,
}

impl RequestMetadata {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Length of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens.0).sum()
    }

    /// The last part that other requests share: the key for cache affinity.
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }
}
