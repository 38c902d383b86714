//! How hosts learn that an endpoint is cold.

mod gatewayenv;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::{
        MetadataStore,
        StoreFault, //
    },
    scripted::{
        Copies,
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    configuration,
    wait_until, //
};
use nix::sys::signal::Signal;
use serde_json::{
    Value,
    json, //
};

const COLD_PER_S: f64 = 2.0;
/// Bound on the requests to a cold endpoint in a second.
const ALLOWED: usize = 6;
const WINDOW: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(4);
/// Time between two requests to the same host: three hosts send twelve a second.
const REQUEST_PAUSE: Duration = Duration::from_millis(250);
const LIMIT_MS: u64 = 3_000;
const HOST_NAMES: [&str; 3] = ["host-1", "host-2", "host-3"];

fn store_with_cold_service() -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &cold_configuration());
    store
}

fn cold_configuration() -> Value {
    let mut known = configuration(7);
    known["backends"][0]["cold_s"] = json!(3.0);
    known["backends"][0]["cold_per_s"] = json!(COLD_PER_S);
    known
}

fn start_endpoints(store: &MetadataStore) -> Vec<ScriptedEndpoint> {
    let start = |id: &str| {
        let answer = Script::Answer(200, b"answer".to_vec());
        let endpoint = ScriptedEndpoint::start(id, move |_, _| answer.clone());
        let endpoint = endpoint.expect("the endpoint starts");
        announce(store, &endpoint, "north");
        endpoint
    };
    vec![start("e-1"), start("e-2")]
}

fn start_hosts(store: &MetadataStore) -> Vec<Host> {
    let hosts = HOST_NAMES.map(|name| Host::start(store, &HostOptions::new(name, "north")));
    for host in &hosts {
        host.wait_log("\"e-1\"");
        host.wait_log("\"e-2\"");
    }
    // Hosts hand out permits for cold endpoints once they know each other.
    thread::sleep(Duration::from_secs(4));
    hosts.into()
}

/// Sends requests to each host at a steady rate.
fn flood(hosts: &[SocketAddr], time: Duration) {
    let deadline = Instant::now() + time;
    thread::scope(|scope| {
        let mut number = 0;
        while Instant::now() < deadline {
            for address in hosts {
                number += 1;
                let request =
                    Request::get("/read/1").with_attempt(&format!("{number:x}"), LIMIT_MS);
                scope.spawn(move || request.try_send(*address));
            }
            thread::sleep(REQUEST_PAUSE);
        }
    });
}

fn addresses(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.caller_address).collect()
}

/// Checks that an endpoint got no more than its bound while it was cold, and some requests.
fn check_cold(endpoint: &ScriptedEndpoint) {
    let arrivals = endpoint.arrivals();
    let cold = arrivals.iter().filter(|arrival| arrival.is_cold);
    let cold: Vec<Instant> = cold.map(|arrival| arrival.at).collect();
    let in_window = |from: &Instant| {
        let after = cold.iter().filter(|at| *at >= from);
        after.take_while(|at| **at < *from + WINDOW).count()
    };
    let most = cold.iter().map(in_window).max().unwrap_or(0);
    println!("{most} in a second, {} while it was cold", cold.len());
    assert!(most <= ALLOWED, "{most} requests, {ALLOWED} allowed");
    assert!(cold.len() >= 2, "{} requests while it was cold", cold.len());
}

/// Guards against an endpoint that becomes cold while the store can't tell, and is sent as many
/// requests as before.
#[test]
fn hosts_learn_of_a_cold_endpoint_while_the_store_is_down() {
    let store = store_with_cold_service();
    let endpoints = start_endpoints(&store);
    let hosts = start_hosts(&store);
    store.set_fault(StoreFault::Busy);
    for host in &hosts {
        host.wait_log("dependency lost");
    }
    let addresses = addresses(&hosts);
    let sender = thread::spawn(move || flood(&addresses, Duration::from_secs(2) + COLD_TIME));
    thread::sleep(Duration::from_secs(2));

    endpoints[0].become_cold(COLD_TIME);
    sender.join().expect("the callers end");

    check_cold(&endpoints[0]);
    let warm = endpoints[1].arrivals().len();
    assert!(warm > endpoints[0].arrivals().len(), "{warm} at the other");
}

/// Guards against health checks that take up endpoints while the store can tell.
#[test]
fn endpoints_are_not_checked_while_the_store_responds() {
    let store = store_with_cold_service();
    let endpoints = start_endpoints(&store);
    let hosts = start_hosts(&store);

    flood(&addresses(&hosts), Duration::from_secs(2));

    assert_eq!(endpoints[0].health_check_count(), 0);
}

/// Guards against a health check by a host that has just started: it has read the items of the
/// store, but not noted yet that the store responds.
#[test]
fn hosts_that_start_check_no_endpoint_while_the_store_responds() {
    const STARTS: usize = 40;
    let store = store_with_cold_service();
    let endpoints = start_endpoints(&store);

    for _ in 0..STARTS {
        let host = Host::start(&store, &HostOptions::default());
        host.wait_log("\"e-2\"");
        thread::sleep(REQUEST_PAUSE);
    }

    let counts = endpoints.iter().map(ScriptedEndpoint::health_check_count);
    assert_eq!(counts.sum::<usize>(), 0);
}

/// Guards against endpoints that each host checks.
#[test]
fn one_host_checks_an_endpoint_while_the_store_is_down() {
    let store = store_with_cold_service();
    let endpoints = start_endpoints(&store);
    let hosts = start_hosts(&store);
    store.set_fault(StoreFault::Busy);
    wait_until("an endpoint is checked", || {
        endpoints[0].health_check_count() > 0
    });

    let before = endpoints[0].health_check_count();
    thread::sleep(Duration::from_secs(2));

    let count = endpoints[0].health_check_count() - before;
    assert!((4..=12).contains(&count), "{count} checks in two seconds");
    drop(hosts);
}

/// Guards against a host that starts while others know that an endpoint is cold, and sends to
/// it as to a warm one.
#[test]
fn host_that_starts_learns_of_a_cold_endpoint_from_others() {
    let store = store_with_cold_service();
    let endpoints = start_endpoints(&store);
    let mut hosts = start_hosts(&store);
    store.put("op/evacuate/north-a", &json!({}));
    hosts[0].wait_log("\"is_evacuated\":true");
    hosts[1].wait_log("\"is_evacuated\":true");
    store.delete("op/evacuate/north-a");
    hosts[0].wait_log("endpoints count as cold");
    hosts[1].wait_log("endpoints count as cold");
    endpoints[0].become_cold(Duration::from_secs(3));

    hosts[2].signal(Signal::SIGKILL);
    hosts[2] = Host::start(&store, &HostOptions::new(HOST_NAMES[2], "north"));
    hosts[2].wait_log("endpoint counts as cold");
    flood(&[hosts[2].caller_address], Duration::from_secs(1));

    let cold = endpoints[0].arrivals();
    let cold = cold.iter().filter(|arrival| arrival.is_cold).count();
    assert!(cold <= ALLOWED, "{cold} requests while it was cold");
}

/// Guards against the copy of an answer to an earlier check, after which a warm endpoint counts
/// as cold again.
#[test]
fn copy_of_an_answer_to_a_health_check_does_not_count() {
    const ROUNDS: usize = 5;
    const SHORT_COLD_TIME: Duration = Duration::from_millis(600);
    let store = store_with_cold_service();
    let endpoint = &start_endpoints(&store)[0];
    endpoint.set_copies(Copies::of_health_checks().with_lag(2));
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("\"e-1\"");
    store.set_fault(StoreFault::Busy);
    host.wait_log("dependency lost");
    wait_until("the endpoint is checked", || {
        endpoint.health_check_count() > 0
    });

    for _ in 0..ROUNDS {
        endpoint.become_cold(SHORT_COLD_TIME);
        thread::sleep(SHORT_COLD_TIME * 3);
    }

    let log = host.log();
    let cold_lines = log.lines().filter(|line| line.contains("\"health check\""));
    assert_eq!(cold_lines.count(), ROUNDS);
}
