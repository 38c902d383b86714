//! The parts of the OpenAI interface that the gateway reads and writes.

use compact_str::{
    CompactString,
    ToCompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    decision::event::{
        Refusal,
        RefusalReason, //
    },
    outcome::RunState,
    types::{
        Millis,
        ModelId,
        Tier,
        Tokens, //
    }, //
};

/// Payload of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// Output limit of a request that names none.
const DEFAULT_MAX_OUTPUT: Tokens = Tokens(512);
/// Mean length of a token in prompts, used to estimate the prompt length.
const BYTES_PER_TOKEN: u64 = 4;
const PREFIX_BLOCK_BYTES: usize = 1_024;
const MAX_PREFIX_HASHES: usize = 64;

/// Why a chat request cannot be used.
#[derive(Debug, Error)]
pub enum ChatError {
    /// The body is not JSON.
    #[error("the body is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is absent or has the wrong type.
    #[error("field {field:?} must be {expected}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is expected of it.
        expected: &'static str,
    },
}

/// A chat completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// The model.
    pub model: ModelId,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Scheduling class that the caller asks for.
    pub tier: Tier,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Most tokens that may be generated.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix_hashes: Vec<u64>,
    /// Whether an interrupted stream can be continued at another endpoint.
    pub is_resumable: bool,
    body: Value,
}

impl ChatRequest {
    /// Reads a request body.
    pub fn parse(bytes: &[u8]) -> Result<Self, ChatError> {
        let body: Value = serde_json::from_slice(bytes)?;
        let model = body["model"]
            .as_str()
            .and_then(|name| name.parse().ok())
            .ok_or(field_error("model", "a model name"))?;
        let messages = body["messages"]
            .as_array()
            .filter(|messages| !messages.is_empty())
            .ok_or(field_error("messages", "a list that is not empty"))?;
        let is_stream = match &body["stream"] {
            Value::Null => false,
            Value::Bool(value) => *value,
            _ => return Err(field_error("stream", "true or false")),
        };
        let tier = match &body["service_tier"] {
            Value::Null => Tier::Default,
            Value::String(text) => text
                .parse()
                .map_err(|_| field_error("service_tier", "priority, default, auto or flex"))?,
            _ => return Err(field_error("service_tier", "text")),
        };
        let text = prompt_text(messages);
        Ok(Self {
            model,
            is_stream,
            tier,
            prompt: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            max_output: max_output(&body)?,
            prefix_hashes: prefix_hashes(text.as_bytes()),
            is_resumable: is_resumable(&body),
            body,
        })
    }

    /// The same request with or without a stream as its answer.
    pub fn with_stream(mut self, is_stream: bool) -> Self {
        self.is_stream = is_stream;
        self
    }

    /// The same request in another scheduling class.
    pub fn with_tier(mut self, tier: Tier) -> Self {
        self.tier = tier;
        self
    }

    /// Whether the request continues a partial answer.
    pub fn needs_continuation(&self) -> bool {
        self.body["continue_final_message"] == json!(true)
    }

    /// The body that goes to an endpoint.
    pub fn engine_body(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        if let Some(fields) = body.as_object_mut() {
            fields.remove("service_tier");
            fields.insert("priority".into(), json!(engine_priority(self.tier)));
        }
        body.to_string().into_bytes()
    }

    /// The body that continues the answer after `delivered` at another endpoint.
    pub fn continuation_body(&self, delivered: &str, delivered_tokens: Tokens) -> Vec<u8> {
        let mut body = self.body.clone();
        if let Some(fields) = body.as_object_mut() {
            fields.remove("service_tier");
            fields.remove("max_completion_tokens");
            fields.insert("priority".into(), json!(engine_priority(self.tier)));
            fields.insert("continue_final_message".into(), json!(true));
            fields.insert("add_generation_prompt".into(), json!(false));
            let left = self.max_output.saturating_sub(delivered_tokens);
            fields.insert("max_tokens".into(), json!(left.0));
        }
        // A request that continues a message itself is continued in the same one.
        let continues = self.needs_continuation();
        if let Some(messages) = body["messages"].as_array_mut() {
            let partial = messages.last().filter(|_| continues);
            let begun = partial.and_then(|message| message["content"].as_str());
            let content = format!("{}{delivered}", begun.unwrap_or_default());
            if continues {
                messages.pop();
            }
            messages.push(json!({"role": "assistant", "content": content}));
        }
        body.to_string().into_bytes()
    }
}

// vLLM serves lower numbers first.
fn engine_priority(tier: Tier) -> i32 {
    match tier {
        Tier::Priority => 0,
        Tier::Default => 10,
        Tier::Flex => 20,
    }
}

fn field_error(field: &'static str, expected: &'static str) -> ChatError {
    ChatError::Field { field, expected }
}

fn max_output(body: &Value) -> Result<Tokens, ChatError> {
    for field in ["max_completion_tokens", "max_tokens"] {
        match &body[field] {
            Value::Null => {}
            value => {
                let count = value
                    .as_u64()
                    .filter(|count| *count > 0)
                    .ok_or(field_error(field, "a whole number above 0"))?;
                return Ok(Tokens(count));
            }
        }
    }
    Ok(DEFAULT_MAX_OUTPUT)
}

// Several choices or tool calls cannot be continued from their text alone.
fn is_resumable(body: &Value) -> bool {
    let has_one_choice = body["n"].is_null() || body["n"] == json!(1);
    has_one_choice && body["tools"].is_null() && body["logprobs"].is_null()
}

fn prompt_text(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            Value::Null => {}
            parts => text.push_str(&parts.to_string()),
        }
        text.push('\n');
    }
    text
}

fn prefix_hashes(text: &[u8]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for block in text
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_HASHES)
    {
        hash = xxh3_64_with_seed(block, hash);
        hashes.push(hash);
    }
    hashes
}

/// What one event of a stream carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// Part of the answer.
    Delta {
        /// Text of the first choice.
        content: CompactString,
        /// Whether a finish reason is given.
        is_finish: bool,
    },
    /// The proper end.
    Done,
    /// A comment or an event without an answer part.
    Other,
    /// The endpoint reports an error inside the stream.
    Error,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct Chunk {
    choices: Vec<ChunkChoice>,
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ChunkChoice {
    index: u32,
    delta: ChunkDelta,
    finish_reason: Option<CompactString>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ChunkDelta {
    content: Option<CompactString>,
}

impl StreamEvent {
    /// Reads one event without the empty line that ends it.
    pub fn parse(event: &str) -> Result<Self, serde_json::Error> {
        let Some(data) = event_data(event) else {
            return Ok(Self::Other);
        };
        if data == DONE {
            return Ok(Self::Done);
        }
        let chunk: Chunk = serde_json::from_str(data)?;
        if chunk.error.is_some() {
            return Ok(Self::Error);
        }
        let is_finish = chunk
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some());
        let content = chunk
            .choices
            .into_iter()
            .find(|choice| choice.index == 0)
            .and_then(|choice| choice.delta.content)
            .unwrap_or_default();
        if content.is_empty() && !is_finish {
            return Ok(Self::Other);
        }
        Ok(Self::Delta { content, is_finish })
    }
}

fn event_data(event: &str) -> Option<&str> {
    event
        .lines()
        .find_map(|line| line.strip_prefix("data:"))
        .map(str::trim)
}

/// The same event with the `id` of the answer that it continues.
pub fn with_answer_id(event: &str, id: &str) -> Option<String> {
    let mut value: Value = serde_json::from_str(event_data(event)?).ok()?;
    value["id"] = json!(id);
    Some(format!("data: {value}\n\n"))
}

/// The `id` of the answer that an event belongs to.
pub fn answer_id(event: &str) -> Option<CompactString> {
    let value: Value = serde_json::from_str(event_data(event)?).ok()?;
    value["id"].as_str().map(CompactString::from)
}

/// Splits a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// A splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event, with the empty line that ends it.
    pub fn next_event(&mut self) -> Option<Vec<u8>> {
        let end = self
            .pending
            .windows(2)
            .position(|pair| pair == b"\n\n")
            .map(|at| at + 2);
        let end_crlf = self
            .pending
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| at + 4);
        let end = match (end, end_crlf) {
            (Some(left), Some(right)) => left.min(right),
            (left, right) => left.or(right)?,
        };
        Some(self.pending.drain(..end).collect())
    }

    /// Bytes of an event that has not ended.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Whether a plain answer carries a finish reason for every choice.
pub fn is_whole_answer(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Answer {
        choices: Vec<AnswerChoice>,
    }
    #[derive(Deserialize)]
    struct AnswerChoice {
        finish_reason: Option<CompactString>,
    }
    serde_json::from_slice::<Answer>(body).is_ok_and(|answer| {
        !answer.choices.is_empty()
            && answer
                .choices
                .iter()
                .all(|choice| choice.finish_reason.is_some())
    })
}

/// Token counts that a plain answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Generated tokens.
    pub output: Tokens,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
}

/// Reads the usage of a plain answer or of a stream's last event.
pub fn usage(body: &[u8]) -> Usage {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let usage = &value["usage"];
    let cached = &usage["prompt_tokens_details"]["cached_tokens"];
    Usage {
        output: Tokens(usage["completion_tokens"].as_u64().unwrap_or(0)),
        cached: Tokens(cached.as_u64().unwrap_or(0)),
    }
}

/// Usage in the data of one stream event, if it has any.
pub fn event_usage(event: &str) -> Option<Usage> {
    // Most events carry one token; a search is cheaper than another parse.
    if !event.contains("\"usage\"") {
        return None;
    }
    Some(usage(event_data(event)?.as_bytes()))
}

/// The error object of the OpenAI interface, with what is known of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Content of the error object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: CompactString,
    /// Class of the error.
    pub r#type: CompactString,
    /// The error.
    pub code: CompactString,
    /// The field at fault, if any.
    pub param: Option<CompactString>,
    /// Whether the request ran.
    pub run_state: CompactString,
}

/// A final answer without a result, ready to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: ErrorBody,
    /// When to come back, if that makes sense.
    pub retry_after_ms: Option<Millis>,
}

impl ErrorAnswer {
    /// An error with a status, a code and a message.
    pub fn new(status: u16, code: &str, message: &str, state: RunState) -> Self {
        let class = match status {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        Self {
            status,
            body: ErrorBody {
                error: ErrorDetail {
                    message: message.into(),
                    r#type: class.into(),
                    code: code.into(),
                    param: None,
                    run_state: state.to_compact_string(),
                },
            },
            retry_after_ms: None,
        }
    }

    /// The answer to a request that was given up.
    pub fn from_refusal(refusal: Refusal, state: RunState) -> Self {
        let (status, code, message) = describe(refusal.reason);
        let mut answer = Self::new(status, code, message, state);
        answer.retry_after_ms = refusal.retry_after_ms;
        answer
    }

    /// The same answer with a time to come back.
    pub fn with_retry_after(mut self, wait_ms: Millis) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }

    /// The same answer with another run state.
    pub fn with_run_state(mut self, state: RunState) -> Self {
        self.body.error.run_state = state.to_compact_string();
        self
    }

    /// Value of the `Retry-After` field, in whole seconds.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms
            .map(|wait_ms| wait_ms.0.div_ceil(1_000).max(1))
    }

    /// The body as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        json!(self.body).to_string().into_bytes()
    }
}

fn describe(reason: RefusalReason) -> (u16, &'static str, &'static str) {
    match reason {
        RefusalReason::UnknownTarget => (
            404,
            "model_not_found",
            "the model or service does not exist or is not allowed for this key",
        ),
        RefusalReason::WrongRegion => (
            421,
            "wrong_region",
            "this region is outside the residency of this key; ask /v1/entry for a host",
        ),
        RefusalReason::NoEndpoint => (
            503,
            "no_endpoint",
            "no endpoint in an allowed region serves the request now",
        ),
        RefusalReason::Overloaded => (
            503,
            "overloaded",
            "the request cannot finish by its deadline",
        ),
        RefusalReason::OverBudget => (
            429,
            "insufficient_quota",
            "the budget for this period is used up",
        ),
        RefusalReason::RetriesExhausted => (
            502,
            "upstream_failed",
            "the endpoints failed to answer the request",
        ),
        RefusalReason::DeadlinePassed => (
            504,
            "deadline_exceeded",
            "the deadline passed without a whole answer",
        ),
        RefusalReason::Leaving => (
            503,
            "shutting_down",
            "this host is shutting down; ask /v1/entry for another host",
        ),
        RefusalReason::NotReady => (503, "not_ready", "this host has no configuration yet"),
    }
}
