//! Items of the platform's metadata store: configuration, endpoints and
//! evacuations.
//!
//! The wire types are private. A field that is missing or of the wrong type makes
//! the entire item invalid, except where the platform allows its absence.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use thiserror::Error;

use super::MAX_STATED_MS;
use crate::gateway::{
    account::{
        Account,
        Allotment,
        AllotmentUnit,
        ApiKey, //
    },
    configuration::{
        CallerLimits,
        Configuration,
        ConfigurationVersion,
        Engine,
        RetryPolicy,
        Route,
        RouteTarget,
        Service, //
    },
    endpoint::{
        Announcement,
        AnnouncementOrder,
        Stage, //
    },
    software_version::SoftwareVersion, //
};

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// Prefix of the keys of evacuated data centres.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys of endpoints.
pub const ENDPOINT_PREFIX: &str = "servers/";
/// Largest weight of a service; the sum of all of a route's is finite.
const MAX_WEIGHT: f64 = 1e9;
/// Highest rate of a cold endpoint: more than all hosts of a region can send.
const MAX_COLD_PER_S: f64 = 1e6;
/// Highest rate and burst of an allotment: more tokens than any installation generates.
const MAX_ALLOTMENT_PER_S: f64 = 1e15;
/// Largest memory of an engine: more than any has.
const MAX_MEMORY_TOKENS: u64 = 1_000_000_000_000;

/// Error in the value of an item.
#[derive(Debug, Error)]
pub enum ItemError {
    /// The value is not JSON of the expected form.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has a value that the platform does not define.
    #[error("unknown value {value:?} of field {field:?}")]
    UnknownValue {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: CompactString,
    },
}

#[derive(Deserialize)]
struct WireConfiguration {
    version: u64,
    routes: Vec<WireRoute>,
    /// Services; the platform uses "backend" for both services and endpoints.
    backends: Vec<WireService>,
    limits: WireLimits,
    /// Client accounts.
    #[serde(default)]
    tenants: Vec<WireAccount>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: CompactString,
    host: CompactString,
    prefix: CompactString,
    kind: CompactString,
    timeout_ms: f64,
    goal_ms: Option<f64>,
    max_attempts: Option<u32>,
    prio: Option<u8>,
    /// Service of a route that is not split.
    backend: Option<CompactString>,
    #[serde(default)]
    split: Vec<WireShare>,
    #[serde(default)]
    home_regions: Vec<CompactString>,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
    gap_goal_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireShare {
    backend: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: CompactString,
    health_path: Option<CompactString>,
    #[serde(default)]
    cold_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    kv_cap_tokens: u64,
    /// Memory that a token of a prompt or output takes.
    #[serde(default)]
    kv_token_bytes: f64,
    /// Rate at which engines copy cached prompts from each other, in Mbit/s.
    #[serde(default)]
    link_mbps: f64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct WireAccount {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    prio: Option<u8>,
    /// What the allotment counts: "requests" if absent, or "tokens".
    unit: Option<CompactString>,
    #[serde(default)]
    plain_tokens: u64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    home_regions: Vec<CompactString>,
}

#[derive(Deserialize)]
struct WireEndpoint {
    /// Name of the endpoint's service.
    backend: CompactString,
    addr: SocketAddr,
    zone: CompactString,
    /// Version of the software, not of the model's weights.
    version: SoftwareVersion,
    slots: u32,
    state: CompactString,
    #[serde(default)]
    cold_left_ms: f64,
    /// Time until the endpoint is removed; present only in a removal notice.
    remaining_ms: Option<f64>,
    /// Unix time of the endpoint's start in milliseconds.
    #[serde(default)]
    born: u64,
    /// Number of the announcement since the start.
    #[serde(default)]
    seq: u64,
}

/// Decodes the configuration.
///
/// # Errors
///
/// Fails if the value is not JSON of the expected form or a route has an unknown
/// kind.
pub fn decode_configuration(text: &[u8]) -> Result<Configuration, ItemError> {
    let wire: WireConfiguration = serde_json::from_slice(text)?;
    let routes: Result<Vec<Route>, ItemError> = wire.routes.into_iter().map(decode_route).collect();
    let accounts: Result<Vec<Account>, ItemError> =
        wire.tenants.into_iter().map(decode_account).collect();
    Ok(Configuration {
        version: ConfigurationVersion(wire.version),
        routes: routes?,
        services: wire.backends.into_iter().map(decode_service).collect(),
        limits: CallerLimits {
            max_head_bytes: wire.limits.max_header_bytes,
            max_body_bytes: wire.limits.max_body_bytes,
            head_timeout_ms: ceil_ms(wire.limits.header_timeout_ms),
            idle_timeout_ms: ceil_ms(wire.limits.idle_timeout_ms),
        },
        accounts: accounts?,
    })
}

fn decode_account(wire: WireAccount) -> Result<Account, ItemError> {
    let unit = match wire.unit.as_deref() {
        None | Some("requests") => AllotmentUnit::Requests,
        Some("tokens") => AllotmentUnit::Tokens {
            plain_tokens: wire.plain_tokens,
        },
        Some(unit) => {
            return Err(ItemError::UnknownValue {
                field: "unit",
                value: unit.into(),
            });
        }
    };
    if !is_header_word(&wire.name) {
        return Err(ItemError::UnknownValue {
            field: "name",
            value: wire.name,
        });
    }
    let allotment = Allotment {
        unit,
        rate_per_s: wire.rate_per_s.min(MAX_ALLOTMENT_PER_S),
        burst: wire.burst.clamp(0.0, MAX_ALLOTMENT_PER_S),
    };
    Ok(Account {
        // An empty key would be held by every caller without one.
        keys: wire
            .api_keys
            .iter()
            .filter(|key| !key.is_empty())
            .map(|key| ApiKey::new(key))
            .collect(),
        name: wire.name,
        priority: wire.prio,
        home_regions: wire.home_regions,
        allotment: (wire.rate_per_s > 0.0).then_some(allotment),
    })
}

fn decode_route(wire: WireRoute) -> Result<Route, ItemError> {
    let retry_policy = match wire.kind.as_str() {
        "idempotent" => RetryPolicy::Idempotent,
        "mutating" => RetryPolicy::Never,
        "streaming" if wire.resumable => RetryPolicy::Resume,
        "streaming" => RetryPolicy::Never,
        _ => {
            return Err(ItemError::UnknownValue {
                field: "kind",
                value: wire.kind,
            });
        }
    };
    let single = wire.backend.map(|service| RouteTarget {
        service,
        weight: 1.0,
    });
    let shares = wire.split.into_iter().map(|share| RouteTarget {
        service: share.backend,
        weight: share.weight.clamp(0.0, MAX_WEIGHT),
    });
    let timeout_ms = ceil_ms(wire.timeout_ms);
    Ok(Route {
        is_stream: wire.kind == "streaming",
        name: wire.name,
        host: wire.host,
        prefix: wire.prefix,
        retry_policy,
        timeout_ms,
        goal_ms: wire.goal_ms.map_or(timeout_ms, ceil_ms),
        max_attempts: wire.max_attempts.unwrap_or(1).max(1),
        priority: wire.prio,
        targets: single.into_iter().chain(shares).collect(),
        home_regions: wire.home_regions,
        is_public: wire.public,
        gap_goal_ms: wire.gap_goal_ms.map(ceil_ms),
    })
}

fn decode_service(wire: WireService) -> Service {
    Service {
        name: wire.name,
        health_path: wire.health_path.filter(|path| is_path(path)),
        cold_ms: ceil_ms(wire.cold_s * 1_000.0),
        cold_per_s: wire.cold_per_s.min(MAX_COLD_PER_S),
        engine: wire.engine.map(|engine| Engine {
            slots: engine.slots,
            memory_tokens: engine.kv_cap_tokens.min(MAX_MEMORY_TOKENS),
            copy_ms_per_token: copy_ms_per_token(&engine),
        }),
    }
}

/// Returns the time to copy a cached token to another engine; none if engines do
/// not copy.
fn copy_ms_per_token(engine: &WireEngine) -> Option<f64> {
    let is_possible = engine.kv_token_bytes > 0.0 && engine.link_mbps > 0.0;
    is_possible.then(|| engine.kv_token_bytes * 8.0 / (engine.link_mbps * 1_000.0))
}

/// Decodes the announcement of the endpoint `id`.
///
/// # Errors
///
/// Fails if the id cannot be sent in a header, or if the value is not JSON of the expected form
/// or has an unknown state.
pub fn decode_endpoint(id: &str, text: &[u8]) -> Result<Announcement, ItemError> {
    if !is_header_word(id) {
        return Err(ItemError::UnknownValue {
            field: "id",
            value: id.into(),
        });
    }
    let wire: WireEndpoint = serde_json::from_slice(text)?;
    let stage = match wire.state.as_str() {
        "ready" => Stage::Ready,
        "draining" => Stage::Draining,
        _ => {
            return Err(ItemError::UnknownValue {
                field: "state",
                value: wire.state,
            });
        }
    };
    Ok(Announcement {
        service: wire.backend,
        address: wire.addr,
        data_centre: wire.zone,
        software_version: wire.version,
        slots: wire.slots.max(1),
        stage,
        cold_left_ms: ceil_ms(wire.cold_left_ms),
        remaining_ms: wire.remaining_ms.map(ceil_ms),
        order: AnnouncementOrder {
            started_ms: wire.born,
            sequence: wire.seq,
        },
    })
}

/// Returns whether a header can carry the text: visible ASCII characters, at least one.
fn is_header_word(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether a request line can carry the text as a path.
fn is_path(text: &str) -> bool {
    text.starts_with('/') && is_header_word(text)
}

/// Rounds a duration up to full milliseconds; negative ones become 0.
fn ceil_ms(ms: f64) -> u64 {
    (ms.ceil().max(0.0) as u64).min(MAX_STATED_MS)
}
