//! Requests with a prompt part that crashes the endpoints which begin to answer them.

mod gatewayenv;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Arrival,
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    announce_with,
    store_with_configuration, //
};
use serde_json::json;

const LIMIT_MS: u64 = 5_000;
/// Part that all requests share.
const FIRST_PART: &str = "a1:100";
/// Part that crashes endpoints.
const BAD_PART: &str = "bad:50";
/// Time after which all hosts in touch know what any of them knows.
const CONTACT: Duration = Duration::from_secs(6);
/// Crashes after which the bound on further requests holds.
const KNOWN_CRASHES: usize = 3;
/// Requests with the part that may still reach endpoints afterwards.
const MAX_LATE_RUNS: usize = 3;
const ENDPOINT_COUNT: usize = 30;

fn is_bad(arrival: &Arrival) -> bool {
    let prefix = arrival.headers.get("x-prompt-prefix").unwrap_or_default();
    prefix.contains(BAD_PART)
}

/// Starts an endpoint that ends when it begins to answer a request with the bad part.
fn fragile_endpoint(id: &str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(id, |_, arrival| match is_bad(arrival) {
        true => Script::After(Duration::from_millis(20), Box::new(Script::Crash)),
        false => Script::Events {
            first: 0,
            end: 4,
            pause: Duration::from_millis(20),
            is_whole: true,
        },
    })
    .expect("the endpoint starts")
}

/// Starts endpoints, in turn in the regions north and south, or all in the first.
fn fragile_endpoints(store: &MetadataStore, regions: &[&str]) -> Vec<ScriptedEndpoint> {
    (0..ENDPOINT_COUNT)
        .map(|index| {
            let endpoint = fragile_endpoint(&format!("e-{index}"));
            announce(store, &endpoint, regions[index % regions.len()]);
            endpoint
        })
        .collect()
}

fn start_host(store: &MetadataStore, name: &'static str, region: &'static str) -> Host {
    let options = HostOptions::new(name, region);
    let host = Host::start(store, &options);
    host.wait_log(&format!("\"e-{}\"", ENDPOINT_COUNT - 1));
    host
}

/// Sends a request with the parts before its own one; returns its answer and time.
fn send(address: SocketAddr, path: &str, parts: &str, own: usize) -> (Response, Duration) {
    let started = Instant::now();
    let response = Request::post(path, b"hello")
        .with_attempt(&format!("{own:x}"), LIMIT_MS)
        .with_header("X-Model", "m")
        .with_header("X-Token-Counts", "160,10")
        .with_header("X-Prompt-Prefix", &format!("{parts},f{own:x}:10"))
        .send(address);
    (response, started.elapsed())
}

fn send_bad(address: SocketAddr, path: &str, own: usize) -> (Response, Duration) {
    send(address, path, &format!("{FIRST_PART},{BAD_PART}"), own)
}

/// Sends a sound request of one of eight sessions.
fn send_sound(address: SocketAddr, own: usize) -> (Response, Duration) {
    let session = format!("c{}:50", own % 8);
    send(address, "/draft/1", &format!("{FIRST_PART},{session}"), own)
}

/// Returns when requests with the bad part reached endpoints, in order.
fn bad_runs(endpoints: &[ScriptedEndpoint]) -> Vec<Instant> {
    let runs = endpoints.iter().flat_map(ScriptedEndpoint::runs);
    let mut times: Vec<Instant> = runs.filter(is_bad).map(|run| run.at).collect();
    times.sort_unstable();
    times
}

/// Returns the number of requests with the part that reached endpoints when all hosts had
/// to know it.
fn late_runs(endpoints: &[ScriptedEndpoint]) -> usize {
    let runs = bad_runs(endpoints);
    let Some(known) = runs.get(KNOWN_CRASHES - 1) else {
        return 0;
    };
    runs.iter().filter(|at| **at > *known + CONTACT).count()
}

/// Sends a bad request and three sound ones in turn to all hosts for `time`; returns the
/// answers to sound requests.
fn send_mixed(addresses: &[SocketAddr], path: &'static str, time: Duration) -> Vec<Response> {
    let sound = Arc::new(Mutex::new(Vec::new()));
    let deadline = Instant::now() + time;
    let mut threads = Vec::new();
    let mut own = 0;
    while Instant::now() < deadline {
        own += 1;
        let address = addresses[own / 4 % addresses.len()];
        let sound = Arc::clone(&sound);
        threads.push(thread::spawn(move || match own % 4 {
            0 => drop(send_bad(address, path, own)),
            _ => {
                let (response, _) = send_sound(address, own);
                sound.lock().expect("no panic").push(response);
            }
        }));
        thread::sleep(Duration::from_millis(40));
    }
    for thread in threads {
        thread.join().expect("a caller ends");
    }
    std::mem::take(&mut *sound.lock().expect("no panic"))
}

fn share_served(responses: &[Response]) -> f64 {
    let served = responses
        .iter()
        .filter(|response| response.status == 200 && response.is_complete)
        .count();
    served as f64 / responses.len() as f64
}

/// Sends bad requests until they are refused.
fn teach(address: SocketAddr) {
    for own in 1_000..1_030 {
        if send_bad(address, "/draft/1", own).0.status == 400 {
            return;
        }
        thread::sleep(Duration::from_millis(600));
    }
    panic!("requests with the part are not refused");
}

/// Guards against endpoints that end one after the other because of one prompt part.
#[test]
fn requests_with_a_crashing_part_stop_reaching_endpoints() {
    let store = store_with_configuration();
    let endpoints = fragile_endpoints(&store, &["north"]);
    let hosts = [
        start_host(&store, "host-1", "north"),
        start_host(&store, "host-2", "north"),
    ];
    let addresses = hosts.each_ref().map(|host| host.caller_address);

    let sound = send_mixed(&addresses, "/draft/1", Duration::from_secs(12));

    assert!(late_runs(&endpoints) <= MAX_LATE_RUNS);
    let ended = endpoints.iter().filter(|one| !one.is_running()).count();
    assert!(ended < ENDPOINT_COUNT / 2, "{ended} endpoints ended");
    let share = share_served(&sound);
    assert!(share > 0.8, "share {share} of sound requests is served");
}

/// Guards against the same in regions that do not share endpoints.
#[test]
fn all_regions_learn_of_a_crashing_part() {
    let store = store_with_configuration();
    let endpoints = fragile_endpoints(&store, &["north", "south"]);
    let north = start_host(&store, "host-1", "north");
    let south = start_host(&store, "host-2", "south");
    north.wait_log("host registered");
    thread::sleep(Duration::from_millis(1_200));

    teach(north.caller_address);
    thread::sleep(Duration::from_secs(1));
    let before = bad_runs(&endpoints).len();
    let (response, _) = send_bad(south.caller_address, "/draft/1", 1);

    assert_eq!(response.status, 400);
    assert_eq!(bad_runs(&endpoints).len(), before);
}

/// Guards against a host that has restarted and lets a known part through.
#[test]
fn host_that_starts_learns_of_a_crashing_part() {
    let store = store_with_configuration();
    let endpoints = fragile_endpoints(&store, &["north"]);
    let first = start_host(&store, "host-1", "north");
    teach(first.caller_address);

    let second = start_host(&store, "host-2", "north");
    let before = bad_runs(&endpoints).len();
    let (response, _) = send_bad(second.caller_address, "/draft/1", 1);

    assert_eq!(response.status, 400);
    assert_eq!(bad_runs(&endpoints).len(), before);
}

/// Guards against callers that wait for, or come back to, what cannot be served.
#[test]
fn known_part_is_refused_at_once_and_for_good() {
    let store = store_with_configuration();
    let _endpoints = fragile_endpoints(&store, &["north"]);
    let host = start_host(&store, "host-1", "north");
    teach(host.caller_address);

    let (response, took) = send_bad(host.caller_address, "/chat/1", 1);

    assert_eq!(response.status, 400);
    assert_eq!(response.header("retry-after"), None);
    assert!(took < Duration::from_millis(100), "took {took:?}");
}

/// Guards against a resumable stream whose repeat ends a second endpoint.
#[test]
fn resumable_requests_with_a_crashing_part_stop_reaching_endpoints() {
    let store = store_with_configuration();
    let endpoints = fragile_endpoints(&store, &["north"]);
    let host = start_host(&store, "host-1", "north");

    let sound = send_mixed(&[host.caller_address], "/chat/1", Duration::from_secs(10));

    assert!(late_runs(&endpoints) <= MAX_LATE_RUNS);
    let ended = endpoints.iter().filter(|one| !one.is_running()).count();
    assert!(ended < ENDPOINT_COUNT / 2, "{ended} endpoints ended");
    let share = share_served(&sound);
    assert!(share > 0.8, "share {share} of sound requests is served");
}

/// Guards against a sound part that is blamed because endpoints end together.
#[test]
fn no_part_is_blamed_if_endpoints_end_together() {
    let store = store_with_configuration();
    let silent = |id: &str| {
        ScriptedEndpoint::start(id, |_, _| {
            Script::After(Duration::from_millis(LIMIT_MS), Box::new(Script::Close))
        })
        .expect("the endpoint starts")
    };
    let mut ending: Vec<ScriptedEndpoint> =
        (0..6).map(|index| silent(&format!("x-{index}"))).collect();
    for endpoint in &ending {
        announce(&store, endpoint, "north");
    }
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("\"x-5\"");
    let address = host.caller_address;
    let callers: Vec<_> = (0..24)
        .map(|own| thread::spawn(move || send_sound(address, own)))
        .collect();
    thread::sleep(Duration::from_millis(500));

    for endpoint in &mut ending {
        endpoint.stop();
    }
    let serving = fragile_endpoint("e-1");
    announce_with(&store, &serving, "north", &json!({ "born": 2 }));
    host.wait_log("\"e-1\"");
    for caller in callers {
        caller.join().expect("the caller ends");
    }

    for own in 100..108 {
        let (response, _) = send_sound(address, own);
        assert_eq!(response.status, 200);
    }
}
