//! Routes that are split over services, and endpoints whose events name their service.
#![allow(
    dead_code,
    reason = "each test file uses the part of this module that it needs"
)]

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::ScriptedEndpoint, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    gatewayenv::{
        Host,
        Response,
        announce_with,
        configuration,
        route, //
    },
    streamenv::{
        Begun,
        EVENT_COUNT,
        assert_all_go_on,
        events,
        first_event,
        versions, //
    }, //
};

/// Returns a configuration whose route `/chat/` is split over services by weight.
pub fn split(version: u64, weights: &[(&str, f64)]) -> Value {
    let mut chat = route("chat", "streaming", 2, true);
    let fields = chat.as_object_mut().expect("an object");
    fields.remove("backend");
    let shares = weights.iter();
    let shares: Vec<Value> = shares
        .map(|(service, weight)| json!({ "backend": service, "weight": weight }))
        .collect();
    fields.insert("split".into(), shares.into());
    let mut all = configuration(version);
    all["routes"] = json!([chat]);
    all["backends"] = ["desk-a", "desk-b", "desk-c"]
        .map(|name| {
            json!({ "name": name, "health_path": "/healthz", "max_conns": 100, "proto": "h1",
                    "tls": false, "cold_s": 0.0, "cold_per_s": 0.0 })
        })
        .to_vec()
        .into();
    all
}

/// Returns equal weights.
pub fn even(services: &[&'static str]) -> Vec<(&'static str, f64)> {
    services.iter().map(|service| (*service, 1.0)).collect()
}

/// Starts a store that holds a configuration.
pub fn store_with(configuration: &Value) -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", configuration);
    store
}

/// Starts and announces two endpoints of a version of a service. Their events name both.
pub fn endpoints_of(
    store: &MetadataStore,
    service: &str,
    version: &str,
    region: &str,
) -> Vec<ScriptedEndpoint> {
    let start = |number: usize| {
        let id = format!("{service}-{version}-{number}");
        let whole = |_, arrival: &_| events(first_event(arrival), EVENT_COUNT, true);
        let endpoint = ScriptedEndpoint::start(&id, whole).expect("the endpoint starts");
        let endpoint = endpoint.with_version(&format!("{service}:{version}"));
        let fields = json!({ "backend": service, "version": version, "slots": 64 });
        announce_with(store, &endpoint, region, &fields);
        endpoint
    };
    (1..=2).map(start).collect()
}

/// Starts and announces two endpoints of each version of each service.
pub fn endpoints_of_each(
    store: &MetadataStore,
    services: &[&str],
    versions: &[&str],
    region: &str,
) -> Vec<ScriptedEndpoint> {
    let of_service = |service: &&str| -> Vec<ScriptedEndpoint> {
        let versions = versions.iter();
        versions
            .flat_map(|version| endpoints_of(store, service, version, region))
            .collect()
    };
    services.iter().flat_map(of_service).collect()
}

/// Writes a configuration and waits until it is in force.
pub fn configure(store: &MetadataStore, hosts: &[Host], version: u64, weights: &[(&str, f64)]) {
    store.put("op/config", &split(version, weights));
    for host in hosts {
        host.wait_log(&format!("\"configuration in force\",\"version\":{version}"));
    }
}

/// Returns the service that began a stream.
pub fn service_of(stream: &Begun) -> String {
    let all = versions(&stream.received);
    let first = all.first().expect("an event");
    first.split(':').next().unwrap_or_default().to_owned()
}

/// Returns the number of requests that endpoints have received.
pub fn arrivals(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(|one| one.arrivals().len()).sum()
}

/// Checks that the streams of the services in `kept` go on, and that others are refused.
pub fn assert_go_on_at(kept: &[&str], begun: Vec<Begun>, responses: Vec<Response>) {
    let pairs = begun.into_iter().zip(responses);
    let (staying, leaving): (Vec<_>, Vec<_>) =
        pairs.partition(|(stream, _)| kept.contains(&service_of(stream).as_str()));
    let (begun, responses): (Vec<Begun>, Vec<Response>) = staying.into_iter().unzip();
    assert!(!begun.is_empty() && !leaving.is_empty(), "a test of both");
    assert_all_go_on(&begun, &responses);
    for (stream, response) in leaving {
        let text = response.text();
        let found = versions(&text);
        assert_eq!(response.status, 503, "{}: {found:?}", stream.attempt);
    }
}
