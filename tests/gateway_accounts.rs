//! Client accounts: keys, what endpoints are told, priorities and homes.

mod gatewayenv;

use std::time::{
    Duration,
    Instant, //
};

use cardamombridge::{
    gateway::exchange::ResolvedRoute,
    standin::{
        metadata_store::MetadataStore,
        scripted::{
            Script,
            ScriptedEndpoint, //
        }, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    configuration,
    hosts_of_two_regions,
    wait_until, //
};
use serde_json::{
    Value,
    json, //
};

const LIMIT_MS: u64 = 5_000;
const KEY: &str = "k1-of-bolt-4f0c9a";
const SECOND_KEY: &str = "k2-of-bolt-77ab21";
const OTHER_KEY: &str = "k1-of-nut-c0ffee";
/// Half of the time within which a configuration has to be in force.
const KEY_CHANGE_LIMIT: Duration = Duration::from_millis(2_500);

/// Returns a configuration with two accounts, in which `/read/` is public.
fn with_accounts(version: u64) -> Value {
    let mut value = configuration(version);
    value["routes"][0]["public"] = json!(true);
    value["tenants"] = json!([
        { "name": "bolt", "api_keys": [KEY, SECOND_KEY], "prio": 0, "unit": "tokens",
          "plain_tokens": 200, "rate_per_s": 0, "burst": 0, "home_regions": [] },
        { "name": "nut", "api_keys": [OTHER_KEY], "home_regions": [] },
    ]);
    value
}

fn store_with_accounts() -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &with_accounts(7));
    store
}

fn answering_endpoint(id: &str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(id, |_, _| Script::Answer(200, b"done".to_vec()))
        .expect("the endpoint starts")
}

fn one_host(store: &MetadataStore, endpoint: &ScriptedEndpoint) -> Host {
    announce(store, endpoint, "north");
    let host = Host::start(store, &HostOptions::default());
    host.wait_log("endpoint announced");
    host
}

fn book(host: &Host, attempt: &str, headers: &[(&str, &str)]) -> Response {
    send(host, "/book/1", attempt, headers)
}

fn send(host: &Host, path: &str, attempt: &str, headers: &[(&str, &str)]) -> Response {
    let request = Request::post(path, b"parcel").with_attempt(attempt, LIMIT_MS);
    let request = headers.iter().fold(request, |request, (name, value)| {
        request.with_header(name, value)
    });
    request.send(host.caller_address)
}

/// Guards against requests that run although no account holds their key.
#[test]
fn request_without_a_key_of_an_account_is_rejected_and_not_run() {
    let (store, endpoint) = (store_with_accounts(), answering_endpoint("e-1"));
    let host = one_host(&store, &endpoint);

    let missing = book(&host, "a-1", &[]);
    let empty = book(&host, "a-2", &[("Api-Key", "")]);
    let unknown = book(&host, "a-3", &[("Api-Key", "k9-of-nobody")]);
    let claimed = book(&host, "a-4", &[("X-Tenant", "bolt")]);
    let stated = book(&host, "a-5", &[("Bridge-Account", "bolt")]);
    let several = book(&host, "a-6", &[("Api-Key", KEY), ("Api-Key", OTHER_KEY)]);
    let no_route = send(&host, "/none/1", "a-7", &[]);

    for response in [missing, empty, unknown, claimed, stated, several] {
        assert_eq!(response.status, 401);
    }
    assert_eq!(no_route.status, 404);
    assert!(endpoint.arrivals().is_empty());
}

/// Guards against endpoints that see a key, or an account that the caller does not have.
#[test]
fn endpoint_is_told_the_account_and_never_the_key() {
    let (store, endpoint) = (store_with_accounts(), answering_endpoint("e-1"));
    let host = one_host(&store, &endpoint);

    let keyed = book(&host, "a-1", &[("Api-Key", KEY), ("X-Tenant", "nut")]);
    let second = book(&host, "a-2", &[("Api-Key", SECOND_KEY)]);
    let public = send(&host, "/read/1", "a-3", &[("X-Tenant", "nut")]);
    let odd = [("Api-Key", "k9-of-nobody")];
    let public_with_key = send(&host, "/read/1", "a-4", &odd);

    for response in [keyed, second, public, public_with_key] {
        assert_eq!(response.status, 200);
    }
    let runs = endpoint.runs();
    let accounts: Vec<Option<&str>> = runs.iter().map(|run| run.headers.get("x-tenant")).collect();
    assert_eq!(accounts, [Some("bolt"), Some("bolt"), None, None]);
    assert!(runs.iter().all(|run| run.headers.get("api-key").is_none()));
    host.wait_log("\"account\":\"bolt\"");
    let log = host.log();
    let metrics = Request::get("/metrics").send(host.metrics_address).text();
    assert!(metrics.contains(r#"requests_by_account_total{account="bolt",result="answered"} 2"#));
    for key in [KEY, SECOND_KEY, OTHER_KEY, "k9-of-nobody"] {
        assert!(!log.contains(key), "a key is in the log");
        assert!(!metrics.contains(key), "a key is in the metrics");
    }
}

/// Guards against headers that are dropped, and requests that need a key, where the
/// configuration has no accounts.
#[test]
fn headers_are_passed_on_where_there_are_no_accounts() {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &configuration(7));
    let endpoint = answering_endpoint("e-1");
    let host = one_host(&store, &endpoint);

    let response = book(&host, "a-1", &[("Api-Key", "any"), ("X-Tenant", "own")]);

    assert_eq!(response.status, 200);
    let runs = endpoint.runs();
    assert_eq!(runs[0].headers.get("api-key"), Some("any"));
    assert_eq!(runs[0].headers.get("x-tenant"), Some("own"));
}

/// Guards against a forwarded request that reaches an endpoint with a key, or without the account.
#[test]
fn forwarded_request_carries_the_account_and_not_the_key() {
    let (store, endpoint) = (store_with_accounts(), answering_endpoint("e-1"));
    announce(&store, &endpoint, "south");
    let (north, _south) = hosts_of_two_regions(&store);
    let headers = [
        ("Api-Key", KEY),
        ("X-Tenant", "nut"),
        ("Bridge-Account", "nut"),
    ];

    let mut number = 0;
    wait_until("a request is forwarded", || {
        number += 1;
        book(&north, &format!("a-{number}"), &headers).status == 200
    });

    for run in endpoint.runs() {
        assert_eq!(run.headers.get("x-tenant"), Some("bolt"));
        assert!(run.headers.get("api-key").is_none());
        assert!(run.headers.get("bridge-account").is_none());
    }
}

/// Guards against a host of the build before, which checks no keys, as a way around them.
#[test]
fn forward_of_a_host_that_states_no_account_is_checked_by_its_key() {
    let (store, endpoint) = (store_with_accounts(), answering_endpoint("e-1"));
    let host = one_host(&store, &endpoint);
    let route = ResolvedRoute {
        name: "book".into(),
        service: "desk".into(),
        is_stream: false,
        is_idempotent: false,
        is_resumable: false,
        goal_ms: 800,
        timeout_ms: 5_000,
        max_attempts: 1,
        priority: Some(1),
        home_regions: Vec::new(),
        software_version: None,
    };
    let route = route.encode().expect("it is encoded");
    let forward = |attempt: &str, key: &str| {
        Request::post("/book/1", b"parcel")
            .with_attempt(attempt, LIMIT_MS)
            .with_header("Bridge-Forward", &route)
            .with_header("Api-Key", key)
            .with_header("X-Tenant", "nut")
            .send(host.peer_address)
    };

    let known = forward("a-1", KEY);
    let unknown = forward("a-2", "k9-of-nobody");

    assert_eq!(known.status, 200);
    assert_eq!(unknown.status, 503);
    let runs = endpoint.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].headers.get("x-tenant"), Some("bolt"));
    assert!(runs[0].headers.get("api-key").is_none());
}

/// Guards against keys that hosts go on serving after they were taken away, or reject after
/// they were added.
#[test]
fn keys_follow_the_configuration_in_time() {
    let (store, endpoint) = (store_with_accounts(), answering_endpoint("e-1"));
    let host = one_host(&store, &endpoint);
    let added = "k3-of-bolt-a1b2c3";
    assert_eq!(book(&host, "a-1", &[("Api-Key", KEY)]).status, 200);
    let mut newer = with_accounts(11);
    newer["tenants"][0]["api_keys"] = json!([SECOND_KEY, added]);

    store.put("op/config", &newer);

    let started = Instant::now();
    let mut number = 1;
    wait_until("the key is taken away", || {
        number += 1;
        book(&host, &format!("a-{number}"), &[("Api-Key", KEY)]).status == 401
    });
    let took = started.elapsed();
    assert!(took < KEY_CHANGE_LIMIT, "after {took:?}");
    assert_eq!(book(&host, "b-1", &[("Api-Key", added)]).status, 200);
    assert_eq!(book(&host, "b-2", &[("Api-Key", SECOND_KEY)]).status, 200);
}

/// Guards against a request that runs outside the homes of its account, or outside those that
/// its account and its route have in common.
#[test]
fn homes_of_the_account_bind_beside_those_of_the_route() {
    let mut value = with_accounts(7);
    value["tenants"][0]["home_regions"] = json!(["south"]);
    value["tenants"][1]["home_regions"] = json!(["south"]);
    // The route `draft` may only be served in the north.
    value["routes"][3]["home_regions"] = json!(["north"]);
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &value);
    let [near, far] = ["e-north", "e-south"].map(answering_endpoint);
    announce(&store, &near, "north");
    announce(&store, &far, "south");
    let (north, _south) = hosts_of_two_regions(&store);
    let key = [("Api-Key", KEY)];

    let mut number = 0;
    wait_until("a request is served at home", || {
        number += 1;
        book(&north, &format!("a-{number}"), &key).status == 200
    });
    let without_home = send(&north, "/draft/1", "b-1", &key);

    assert!(near.arrivals().is_empty());
    assert!(!far.runs().is_empty());
    assert_eq!(without_home.status, 503);
    assert!(without_home.header("retry-after").is_some());
}

/// Returns the priorities that an endpoint is told of a request of each account, by the
/// configuration.
fn told_priorities(configuration: &Value) -> Vec<Option<String>> {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", configuration);
    let endpoint = answering_endpoint("e-1");
    let host = one_host(&store, &endpoint);
    let prompt = ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    for (attempt, key) in [("a-1", KEY), ("a-2", OTHER_KEY)] {
        let response = book(&host, attempt, &[("Api-Key", key), prompt]);
        assert_eq!(response.status, 200);
    }
    let runs = endpoint.runs();
    let told = runs.iter().map(|run| run.headers.get("x-request-priority"));
    told.map(|priority| priority.map(str::to_owned)).collect()
}

/// Guards against an account whose requests have the priority of their route.
#[test]
fn priority_of_the_account_goes_before_that_of_the_route() {
    let mut value = with_accounts(7);
    for route in value["routes"].as_array_mut().expect("routes") {
        route["gap_goal_ms"] = Value::Null;
    }

    let priorities = told_priorities(&value);

    assert_eq!(priorities, [Some("0".to_owned()), Some("1".to_owned())]);
}

/// Guards against streams that an engine preempts for more urgent requests, so that they pause for
/// longer than their route allows.
#[test]
fn engine_with_a_gap_goal_is_not_asked_to_preempt_streams() {
    let priorities = told_priorities(&with_accounts(7));

    assert_eq!(priorities, [None, None]);
}
