//! Requests that a host forwards to another region, and the refusals from there.

mod gatewayenv;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Script,
        ScriptedEndpoint,
        event_text, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    store_with_configuration,
    wait_until, //
};
use nix::sys::signal::Signal;

const LIMIT_MS: u64 = 5_000;
/// Events of a whole stream.
const EVENT_COUNT: u64 = 12;
/// Time in which a refusal of another region reaches the caller: several times the
/// time that the region waits for an endpoint.
const REFUSAL_LIMIT: Duration = Duration::from_millis(1_000);

/// Starts a store, a host in a region without endpoints, and a host beside `endpoint`.
fn two_regions(endpoint: &ScriptedEndpoint) -> (MetadataStore, Host, Host) {
    let store = store_with_configuration();
    announce(&store, endpoint, "south");
    let hosts = [("host-1", "north"), ("host-2", "south")].map(|(name, region)| {
        let options = HostOptions::new(name, region);
        Host::start(&store, &options)
    });
    let [home, other] = hosts;
    other.wait_log("endpoint announced");
    (store, home, other)
}

fn book(host: &Host, attempt: &str) -> gatewayenv::Response {
    Request::post("/book/1", b"parcel")
        .with_attempt(attempt, LIMIT_MS)
        .send(host.caller_address)
}

/// Guards against a refusal that is taken for the response to an earlier request, so
/// that the caller gets nothing until its time limit: the connection to the other host
/// is used for the second time.
#[test]
fn refusal_of_another_region_reaches_the_caller_on_a_reused_connection() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| match arrival.attempt() {
        "refused" => Script::NotRun,
        _ => Script::Answer(200, b"booked".to_vec()),
    })
    .expect("the endpoint starts");
    let (_store, home, _other) = two_regions(&endpoint);
    let mut number = 0;
    wait_until("a request is forwarded", || {
        number += 1;
        book(&home, &format!("a-{number}")).status == 200
    });
    let started = Instant::now();

    let response = book(&home, "refused");

    let took = started.elapsed();
    assert!(took < REFUSAL_LIMIT, "{} after {took:?}", response.status);
    assert!(endpoint.runs().iter().all(|run| run.attempt() != "refused"));
}

/// Guards against a request that may not be repeated and is said to have run perhaps,
/// although the other region refused it.
#[test]
fn request_refused_by_another_region_counts_as_not_run() {
    let endpoint =
        ScriptedEndpoint::start("e-1", |_, _| Script::NotRun).expect("the endpoint starts");
    let (_store, home, _other) = two_regions(&endpoint);

    let mut response = book(&home, "a-0");
    wait_until("a request is forwarded", || {
        response = book(&home, "a-1");
        !endpoint.arrivals().is_empty()
    });

    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(endpoint.runs().is_empty());
}

/// Guards against a stream that is cut off because the host of another region that serves
/// it ends, although another host there reaches the same endpoints.
#[test]
fn forwarded_stream_goes_on_at_another_host_of_the_region() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| {
        let last = arrival.headers.get("last-event-id");
        Script::Events {
            first: last.map_or(0, |last| last.parse::<u64>().unwrap_or(99) + 1),
            end: EVENT_COUNT,
            pause: Duration::from_millis(100),
            is_whole: true,
        }
    })
    .expect("the endpoint starts");
    let (store, home, first) = two_regions(&endpoint);
    let options = HostOptions::new("host-3", "south");
    let mut serving = [first, Host::start(&store, &options)];
    home.wait_log("\"host\":\"host-3\"");
    let address = home.caller_address;
    let mut number = 0;
    wait_until("a request is forwarded", || {
        number += 1;
        book(&home, &format!("b-{number}")).status == 200
    });

    let caller = thread::spawn(move || {
        Request::post("/chat/1", b"hello")
            .with_attempt("a-1", LIMIT_MS)
            .send(address)
    });
    wait_until("the stream runs", || {
        endpoint.runs().iter().any(|run| run.attempt() == "a-1")
    });
    thread::sleep(Duration::from_millis(300));
    for host in &mut serving {
        if host.log().contains("\"request sent\",\"request\":\"a-1\"") {
            host.signal(Signal::SIGKILL);
        }
    }
    let response = caller.join().expect("the caller ends");

    let expected: String = (0..EVENT_COUNT).map(event_text).collect();
    assert_eq!(response.text(), expected);
    assert!(response.is_complete);
}
