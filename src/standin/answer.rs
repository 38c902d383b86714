//! The answer that an engine gives to a conversation, known in advance.
//!
//! The text is a token sequence seeded by a hash of the messages, so a test can
//! compute every byte that a caller must receive. A request that continues a
//! partial assistant message gets exactly the missing part.

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde::{
    Deserialize,
    Deserializer,
    Serialize, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

use crate::types::Tokens;

/// Shortest answer that ends by itself.
const MIN_ANSWER_TOKENS: usize = 24;
/// Longest answer that ends by itself.
const MAX_ANSWER_TOKENS: usize = 400;
/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of the answers; several have characters of more than one byte, so
/// that a gateway which splits text at arbitrary bytes is found out.
const VOCABULARY: [&str; 24] = [
    " dub",
    " orech",
    " škvrna",
    " lak",
    " vosk",
    " brúsiť",
    " sušiť",
    " vrstva",
    " odtieň",
    " čerešňa",
    " marco",
    " vidrio",
    " moldura",
    " paño",
    " cotización",
    " roble",
    " cartón",
    " medida",
    " ángulo",
    ",",
    ".",
    "\n",
    " 12",
    " \"x\"",
];

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks, such as `user`.
    pub role: String,
    /// Text; the text parts of a list are joined.
    #[serde(default, deserialize_with = "joined_text")]
    pub content: String,
}

impl ChatMessage {
    /// A message of `role`.
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: content.to_owned(),
        }
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
    Nothing(()),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

fn joined_text<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    Ok(match Content::deserialize(deserializer)? {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        Content::Nothing(()) => String::new(),
    })
}

/// What an engine generates for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedAnswer {
    /// Tokens in order.
    pub tokens: Vec<String>,
    /// Whether the answer ends by itself and not at the token limit.
    pub is_whole: bool,
}

/// The tokens that answer `messages`, at most `max_tokens`.
pub fn expected_answer(messages: &[ChatMessage], max_tokens: usize) -> Vec<String> {
    let mut tokens = whole_answer(messages);
    tokens.truncate(max_tokens);
    tokens
}

/// The answer to `messages`, or what is left of it if the last message is a
/// partial answer and `continues` is set.
pub fn plan(messages: &[ChatMessage], max_tokens: usize, continues: bool) -> PlannedAnswer {
    let mut tokens = match messages.split_last() {
        Some((partial, before)) if continues && partial.role == "assistant" => {
            missing_part(&whole_answer(before), &partial.content)
                .unwrap_or_else(|| whole_answer(messages))
        }
        _ => whole_answer(messages),
    };
    let is_whole = tokens.len() <= max_tokens;
    tokens.truncate(max_tokens);
    PlannedAnswer { tokens, is_whole }
}

fn missing_part(answer: &[String], partial: &str) -> Option<Vec<String>> {
    let mut rest = partial;
    for (index, token) in answer.iter().enumerate() {
        if let Some(after) = rest.strip_prefix(token.as_str()) {
            rest = after;
        } else {
            let mut missing = answer[index..].to_vec();
            missing[0] = token.strip_prefix(rest)?.to_owned();
            return Some(missing);
        }
    }
    rest.is_empty().then(Vec::new)
}

fn whole_answer(messages: &[ChatMessage]) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(xxh3_64(prompt_text(messages).as_bytes()));
    let length = rng.random_range(MIN_ANSWER_TOKENS..=MAX_ANSWER_TOKENS);
    let mut token = || VOCABULARY[rng.random_range(0..VOCABULARY.len())].to_owned();
    (0..length).map(|_| token()).collect()
}

fn prompt_text(messages: &[ChatMessage]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\0');
    }
    text
}

/// Prompt length of a conversation.
pub fn prompt_tokens(messages: &[ChatMessage]) -> Tokens {
    Tokens(prompt_text(messages).len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// Hashes of the leading blocks of a conversation, each covering all before it.
pub fn prefix_hashes(messages: &[ChatMessage], block: Tokens) -> Vec<u64> {
    let text = prompt_text(messages);
    let block_bytes = (block.0 as usize).max(1) * BYTES_PER_TOKEN;
    let mut hasher = Xxh3::new();
    text.as_bytes()
        .chunks_exact(block_bytes)
        .map(|bytes| {
            hasher.update(bytes);
            hasher.digest()
        })
        .collect()
}
