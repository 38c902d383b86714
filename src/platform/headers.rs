//! HTTP headers and paths of the platform.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::{
    gateway::{
        head::{
            Header,
            ResponseHead, //
        },
        request::{
            EndpointLoad,
            PromptPart, //
            RequestMetadata,
        }, //
    },
    types::Tokens, //
};

const ATTEMPT_ID: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const MODEL: &str = "x-model";
/// Prompt tokens and the most output tokens, separated by a comma.
const TOKENS: &str = "x-token-counts";
const PROMPT_PARTS: &str = "x-prompt-prefix";
const LAST_EVENT: &str = "last-event-id";
const EXPECTED_ENDPOINT: &str = "X-Expect-Instance";
/// Address of an endpoint that has cached parts of the prompt.
const FETCH_FROM: &str = "Kv-Fetch";
const PRIORITY: &str = "X-Request-Priority";
const SIGNATURE: &str = "x-server-seal";
const NOT_RUN: &str = "x-not-run";
/// Running requests, waiting requests and slots.
const LOAD: &str = "x-server-load";
const COLD_TIME: &str = "x-cold-ms";
/// Lowest rank that an endpoint accepts; 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;

/// Headers that only the gateway may set. A caller's own are not passed on.
const RESERVED: [&str; 9] = [
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-instance",
    "x-request-priority",
    "x-expect-version",
    DEADLINE,
];

/// Path on which the platform asks whether a host takes requests.
pub const READY_PATH: &str = "/cardamombridge/readyz";
/// Path on which callers ask which hosts to use.
pub const DIRECTORY_PATH: &str = "/cardamombridge/resolve";

/// Reads what the platform's headers say about a request.
pub fn decode_request_metadata(headers: &[Header]) -> RequestMetadata {
    let mut metadata = RequestMetadata::default();
    for header in headers {
        let Some(value) = header.text() else {
            continue;
        };
        if header.is(ATTEMPT_ID) {
            metadata.attempt_id = value.into();
        } else if header.is(DEADLINE) {
            metadata.time_limit_ms = value.parse().ok();
        } else if header.is(MODEL) {
            metadata.model = value.into();
        } else if header.is(TOKENS) {
            let (prompt, output) = value.split_once(',').unwrap_or((value, "0"));
            metadata.prompt_tokens = Tokens(prompt.trim().parse().unwrap_or(0));
            metadata.max_output_tokens = Tokens(output.trim().parse().unwrap_or(0));
        } else if header.is(PROMPT_PARTS) {
            metadata.parts = decode_parts(value);
        } else if header.is(LAST_EVENT) {
            metadata.last_event_id = Some(value.into());
        }
    }
    metadata
}

fn decode_parts(value: &str) -> Vec<PromptPart> {
    value
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some(PromptPart {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: Tokens(tokens.parse().ok()?),
            })
        })
        .collect()
}

/// Whether a caller's header is passed on to an endpoint.
pub fn is_relayed(header: &Header, is_resumed: bool) -> bool {
    let is_reserved = RESERVED.iter().any(|name| header.is(name));
    let is_replaced = is_resumed && header.is(LAST_EVENT);
    !is_reserved && !is_replaced
}

/// Headers that the gateway adds to a request for an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHeaders {
    /// The endpoint that must answer; another one at its address refuses.
    pub endpoint: Option<CompactString>,
    /// Time until the caller stops waiting.
    pub time_left_ms: u64,
    /// Rank among other requests, 0 first.
    pub priority: Option<u8>,
    /// Endpoint from which cached prompt parts are copied first.
    pub fetch_from: Option<SocketAddr>,
    /// Event after which a resumed stream goes on.
    pub last_event_id: Option<CompactString>,
}

impl EndpointHeaders {
    /// Appends the headers to the head of a request.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut line = |name: &str, value: &str| {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        };
        line("X-Deadline-Ms", &self.time_left_ms.to_string());
        if let Some(endpoint) = &self.endpoint {
            line(EXPECTED_ENDPOINT, endpoint);
        }
        if let Some(priority) = self.priority {
            line(PRIORITY, &priority.min(MAX_PRIORITY).to_string());
        }
        if let Some(address) = &self.fetch_from {
            line(FETCH_FROM, &address.to_string());
        }
        if let Some(event) = &self.last_event_id {
            line("Last-Event-Id", event);
        }
    }
}

/// What an endpoint says about itself and a request in the head of an answer.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// The attempt that the answer belongs to, if the answer names one.
    pub attempt_id: Option<CompactString>,
    /// The endpoint signed the answer.
    pub is_signed: bool,
    /// The endpoint says that it has not run the request.
    pub is_not_run: bool,
    /// Another endpoint listens at the address than the one that was expected.
    pub is_other_endpoint: bool,
    /// Load at the time of the answer.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint stays cold.
    pub cold_left_ms: Option<u64>,
}

/// Reads the platform's headers of an endpoint's answer.
pub fn decode_response_metadata(head: &ResponseHead) -> ResponseMetadata {
    let mut metadata = ResponseMetadata {
        is_not_run: head.status == 421,
        is_other_endpoint: head.status == 421,
        ..ResponseMetadata::default()
    };
    for header in &head.headers {
        let Some(value) = header.text() else {
            continue;
        };
        if header.is(ATTEMPT_ID) {
            metadata.attempt_id = Some(value.into());
        } else if header.is(SIGNATURE) {
            metadata.is_signed = !value.is_empty();
        } else if header.is(NOT_RUN) {
            metadata.is_not_run = true;
        } else if header.is(LOAD) {
            metadata.load = decode_load(value);
        } else if header.is(COLD_TIME) {
            metadata.cold_left_ms = value.parse().ok();
        }
    }
    metadata
}

fn decode_load(value: &str) -> Option<EndpointLoad> {
    let mut fields = value.split(',').map(|field| field.trim().parse().ok());
    Some(EndpointLoad {
        running: fields.next()??,
        waiting: fields.next()??,
        slots: fields.next()??,
    })
}

/// A query to the directory.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DirectoryQuery {
    /// Region of the caller.
    pub region: CompactString,
    /// Data centre of the caller.
    pub data_centre: CompactString,
}

/// Reads the query string of a directory call.
pub fn decode_directory_query(query: &str) -> DirectoryQuery {
    let mut decoded = DirectoryQuery::default();
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("region", value)) => decoded.region = value.into(),
            Some(("zone", value)) => decoded.data_centre = value.into(),
            _ => {}
        }
    }
    decoded
}

/// Body of a directory answer.
pub fn encode_directory_answer(addresses: &[SocketAddr], ttl_s: u32) -> Vec<u8> {
    let body = serde_json::json!({ "addrs": addresses, "ttl_s": ttl_s });
    body.to_string().into_bytes()
}
