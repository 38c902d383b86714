//! HTTP headers and paths that the platform defines.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;

use super::MAX_STATED_MS;
use crate::{
    gateway::{
        endpoint_limit::LimitStatement,
        endpoint_start::StartTime,
        head::{
            Header,
            ResponseHead, //
        },
        request::{
            EndpointLoad,
            PromptPart,
            RequestMetadata,
            SlownessPercent, //
        },
        request_rate::RequestRate,
        stream_origins::AttemptHash, //
    },
    types::Tokens, //
};

const ATTEMPT_ID: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const MODEL: &str = "x-model";
/// Prompt tokens and maximum output tokens, separated by a comma.
const TOKENS: &str = "x-token-counts";
/// Caller's estimate of the number of output tokens.
const LENGTH_HINT: &str = "x-length-hint";
const PROMPT_PARTS: &str = "x-prompt-prefix";
const LAST_EVENT: &str = "last-event-id";
/// Attempt that brought the first event of a stream that the caller takes up.
const BEGUN_BY: &str = "resumes";
const EXPECTED_ENDPOINT: &str = "X-Expect-Instance";
/// Address of an endpoint from which cached parts of the prompt can be copied.
const FETCH_FROM: &str = "Kv-Fetch";
const PRIORITY: &str = "X-Request-Priority";
const SIGNATURE: &str = "x-server-seal";
const NOT_RUN: &str = "x-not-run";
/// Running requests, queued requests, slots and, if stated, slowness in percent, separated by
/// commas.
const LOAD: &str = "x-server-load";
const COLD_TIME: &str = "x-cold-ms";
/// Id of the endpoint, in answers to health checks.
const ENDPOINT_ID: &str = "x-instance-id";
/// Set in all responses of an endpoint that is leaving.
const LEAVING: &str = "server-leaving";
/// Requests a second, a decimal number, that an endpoint takes from all hosts together.
const LIMIT: &str = "server-limit";
/// Requests a second that an endpoint can turn away for want of room without falling over.
const BRITTLE: &str = "server-brittle";
/// With status 503, seconds for which the endpoint wants no requests from this host.
const RETRY_AFTER: &str = "retry-after";
/// Highest limit that is followed: more than all hosts of a region can send.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;
/// Least urgent priority that endpoints accept; 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;
/// Most tokens of a request or a part of a prompt: more than an engine's memory holds.
const MAX_TOKENS: u64 = 1_000_000_000;
/// Most parts of a prompt that are read.
const MAX_PARTS: usize = 1_024;

/// Key of a client account; holds nothing else.
const API_KEY: &str = "api-key";
/// Name of the client account for which a request runs.
const ACCOUNT: &str = "X-Tenant";

/// Headers that only the gateway may set; those of callers are dropped.
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

/// Path of an endpoint's report on itself.
const REPORT_PATH: &str = "/cardamombridge/report";
/// Path of the platform's readiness check.
pub const READY_PATH: &str = "/cardamombridge/readyz";
/// Path on which callers query the directory for hosts.
pub const DIRECTORY_PATH: &str = "/cardamombridge/resolve";

/// Decodes the platform's headers of a request; ignores malformed values.
pub fn decode_request_metadata(headers: &[Header]) -> RequestMetadata {
    let mut metadata = RequestMetadata::default();
    for header in headers {
        let Some(value) = header.text() else {
            continue;
        };
        if header.is(ATTEMPT_ID) {
            metadata.attempt_id = value.into();
        } else if header.is(DEADLINE) {
            metadata.time_limit_ms = value.parse().ok().map(stated_ms);
        } else if header.is(MODEL) {
            metadata.model = value.into();
        } else if header.is(TOKENS) {
            let (prompt, output) = value.split_once(',').unwrap_or((value, "0"));
            metadata.prompt_tokens = decode_tokens(prompt).unwrap_or_default();
            metadata.max_output_tokens = decode_tokens(output).unwrap_or_default();
        } else if header.is(LENGTH_HINT) {
            metadata.length_hint = decode_tokens(value);
        } else if header.is(PROMPT_PARTS) {
            metadata.parts = decode_parts(value);
        } else if header.is(LAST_EVENT) {
            metadata.last_event_id = Some(value.into());
        } else if header.is(BEGUN_BY) {
            metadata.begun_by = Some(value.into());
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
                tokens: decode_tokens(tokens)?,
            })
        })
        .take(MAX_PARTS)
        .collect()
}

fn decode_tokens(value: &str) -> Option<Tokens> {
    let tokens: u64 = value.trim().parse().ok()?;
    Some(Tokens(tokens.min(MAX_TOKENS)))
}

fn stated_ms(ms: u64) -> u64 {
    ms.min(MAX_STATED_MS)
}

/// Returns whether a caller's header is relayed to an endpoint.
///
/// With `is_resumed`, the gateway sets the id of the last event itself.
pub fn is_relayed(header: &Header, is_resumed: bool) -> bool {
    let is_reserved = RESERVED.iter().any(|name| header.is(name));
    let is_replaced = is_resumed && header.is(LAST_EVENT);
    !is_reserved && !is_replaced
}

/// Returns whether a caller's header concerns client accounts. Where requests are checked for
/// keys, these headers are not passed on.
pub fn is_of_account(header: &Header) -> bool {
    header.is(API_KEY) || header.is(ACCOUNT)
}

/// Returns the key of a client account that a caller sent; none if it sent several.
pub fn api_key(headers: &[Header]) -> Option<&str> {
    let mut keys = headers.iter().filter(|header| header.is(API_KEY));
    let key = keys.next()?;
    match keys.next() {
        None => key.text(),
        Some(_) => None,
    }
}

/// What is read of an endpoint's report on itself.
#[derive(Deserialize)]
struct WireReport {
    /// Unix time of the endpoint's start in milliseconds.
    born: u64,
}

/// Headers that the gateway adds to a request for an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHeaders {
    /// Id of the expected endpoint; another one at the address refuses the request.
    pub endpoint: Option<CompactString>,
    /// Time left until the deadline of the request.
    pub time_left_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Endpoint from which cached prompt parts are copied before the request runs.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the event after which a resumed stream continues.
    pub last_event_id: Option<CompactString>,
    /// Client account for which the request runs.
    pub account: Option<CompactString>,
}

impl EndpointHeaders {
    /// Appends the headers to a request head in `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut write_header = |name: &str, value: &str| {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        };
        write_header("X-Deadline-Ms", &self.time_left_ms.to_string());
        if let Some(endpoint) = &self.endpoint {
            write_header(EXPECTED_ENDPOINT, endpoint);
        }
        if let Some(priority) = self.priority {
            write_header(PRIORITY, &priority.min(MAX_PRIORITY).to_string());
        }
        if let Some(address) = &self.fetch_from {
            write_header(FETCH_FROM, &address.to_string());
        }
        if let Some(event) = &self.last_event_id {
            write_header("Last-Event-Id", event);
        }
        if let Some(account) = &self.account {
            write_header(ACCOUNT, account);
        }
    }
}

/// Metadata about an endpoint and a request from a response head.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Id of the attempt that the response belongs to, if stated.
    pub attempt_id: Option<CompactString>,
    /// The endpoint signed the response.
    pub is_signed: bool,
    /// The endpoint states that it has not run the request.
    pub is_not_run: bool,
    /// The endpoint at the address is not the expected one.
    pub is_other_endpoint: bool,
    /// Id of the endpoint, if stated.
    pub endpoint: Option<CompactString>,
    /// Load at the time of the response.
    pub load: Option<EndpointLoad>,
    /// Time for which the endpoint remains cold.
    pub cold_left_ms: Option<u64>,
    /// The endpoint is leaving.
    pub is_leaving: bool,
    /// What the endpoint says about its limit on requests.
    pub limit: LimitStatement,
    /// What it says about the requests that it can turn away without falling over.
    pub brittle: LimitStatement,
    /// Time for which the endpoint, which refused the request, wants no others from
    /// this host.
    pub unwanted_for_ms: Option<u64>,
}

impl ResponseMetadata {
    /// Returns the attempt that the response belongs to, if stated.
    pub fn attempt(&self) -> Option<AttemptHash> {
        self.attempt_id.as_deref().and_then(AttemptHash::of_stated)
    }
}

/// Decodes the platform's headers of a response; ignores malformed values.
pub fn decode_response_metadata(head: &ResponseHead) -> ResponseMetadata {
    let mut metadata = ResponseMetadata {
        is_other_endpoint: head.status == 421,
        ..ResponseMetadata::default()
    };
    for header in &head.headers {
        let Some(value) = header.text() else {
            continue;
        };
        if header.is(ATTEMPT_ID) {
            metadata.attempt_id = Some(value.into());
        } else if header.is(ENDPOINT_ID) {
            metadata.endpoint = Some(value.into());
        } else if header.is(SIGNATURE) {
            metadata.is_signed = !value.is_empty();
        } else if header.is(NOT_RUN) {
            metadata.is_not_run = true;
        } else if header.is(LOAD) {
            metadata.load = decode_load(value);
        } else if header.is(COLD_TIME) {
            metadata.cold_left_ms = value.parse().ok().map(stated_ms);
        } else if header.is(LEAVING) {
            metadata.is_leaving = value.trim() == "1";
        } else if header.is(LIMIT) {
            metadata.limit = decode_limit(value);
        } else if header.is(BRITTLE) {
            metadata.brittle = decode_limit(value);
        } else if header.is(RETRY_AFTER) && head.status == 503 {
            metadata.unwanted_for_ms = decode_seconds(value);
        }
    }
    metadata
}

/// Decodes a limit; one above [`MAX_LIMIT_PER_S`] limits nothing.
fn decode_limit(value: &str) -> LimitStatement {
    let per_s: Option<f64> = value.trim().parse().ok();
    match per_s.and_then(RequestRate::new) {
        Some(rate) if rate.per_s() <= MAX_LIMIT_PER_S => LimitStatement::Limit(rate),
        Some(_) => LimitStatement::None,
        None => LimitStatement::Invalid,
    }
}

/// Decodes seconds, which may have a fraction, into milliseconds.
fn decode_seconds(value: &str) -> Option<u64> {
    let seconds: f64 = value.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| stated_ms((seconds * 1_000.0).ceil() as u64))
}

fn decode_load(value: &str) -> Option<EndpointLoad> {
    let mut fields = value.split(',').map(str::trim);
    let mut next_count = || fields.next()?.parse().ok();
    let (running, waiting, slots) = (next_count()?, next_count()?, next_count()?);
    let percent: Option<f64> = fields.next().and_then(|field| field.parse().ok());
    Some(EndpointLoad {
        running,
        waiting,
        slots,
        slowness: percent.and_then(SlownessPercent::new),
    })
}

/// Appends a health check of the endpoint at `address` to `out`.
pub fn write_health_check(path: &str, address: SocketAddr, out: &mut Vec<u8>) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    out.extend_from_slice(request.as_bytes());
}

/// Appends a request for the report of the endpoint at `address` to `out`.
pub fn write_report_question(address: SocketAddr, out: &mut Vec<u8>) {
    write_health_check(REPORT_PATH, address, out);
}

/// Decodes the time at which an endpoint started from its report; none if it states none.
pub fn decode_report(report: &[u8]) -> Option<StartTime> {
    let wire: WireReport = serde_json::from_slice(report).ok()?;
    Some(StartTime(wire.born))
}

/// Query to the directory.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DirectoryQuery {
    /// Region of the caller.
    pub region: CompactString,
    /// Data centre of the caller.
    pub data_centre: CompactString,
}

/// Decodes the query string of a directory query.
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

/// Encodes the JSON body of a directory response.
pub fn encode_directory_answer(addresses: &[SocketAddr], ttl_s: u32) -> Vec<u8> {
    let body = serde_json::json!({ "addrs": addresses, "ttl_s": ttl_s });
    body.to_string().into_bytes()
}
