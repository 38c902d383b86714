//! Store, configuration and announcements of a small installation.

use std::{
    net::SocketAddr,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::ScriptedEndpoint, //
};
use serde_json::{
    Value,
    json, //
};

use crate::call::SITE_HOST;

/// Starts a store with a configuration: `/read/` is idempotent, `/book/` mutating, `/chat/` a
/// stream that may be resumed and `/draft/` one that may not.
pub fn start_store(timeout_ms: u64, goal_ms: u64) -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &configuration(7, timeout_ms, goal_ms));
    store
}

/// Like [`start_store`], with endpoints that are cold for some time after their start.
pub fn start_store_of_cold(timeout_ms: u64, goal_ms: u64, cold_per_s: f64) -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    let mut configuration = configuration(7, timeout_ms, goal_ms);
    configuration["backends"][0]["cold_s"] = json!(3.0);
    configuration["backends"][0]["cold_per_s"] = json!(cold_per_s);
    store.put("op/config", &configuration);
    store
}

fn configuration(version: u64, timeout_ms: u64, goal_ms: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, is_resumable: bool| {
        json!({
            "name": name, "host": SITE_HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "prio": 1, "backend": "desk",
            "max_attempts": attempts, "sticky": false, "resumable": is_resumable,
            "gap_goal_ms": 400, "home_regions": [],
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", 2, false), route("book", "mutating", 1, false),
            route("chat", "streaming", 2, true), route("draft", "streaming", 1, false),
        ],
        "backends": [
            { "name": "desk", "health_path": "/healthz", "max_conns": 370, "proto": "h1",
              "tls": false, "cold_s": 0.0, "cold_per_s": 0.0 },
        ],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                    "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
    })
}

/// Announces an endpoint of the service in a region.
pub fn announce(store: &MetadataStore, endpoint: &ScriptedEndpoint, region: &str) {
    announce_at(store, endpoint.id(), endpoint.address(), region);
}

/// Announces the endpoint `id` at an address.
pub fn announce_at(store: &MetadataStore, id: &str, address: SocketAddr, region: &str) {
    store.put(
        &format!("servers/{id}"),
        &announcement(&address.to_string(), region),
    );
}

/// Returns the entry of a ready endpoint.
pub fn announcement(address: &str, region: &str) -> Value {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    json!({
        "backend": "desk", "addr": address, "zone": format!("{region}-a"), "version": "v1",
        "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
        "born": born.as_millis() as u64,
    })
}
