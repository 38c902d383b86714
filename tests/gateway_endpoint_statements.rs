//! What endpoints state about themselves in responses: that they are leaving, and that
//! they want no requests for a while.

mod gatewayenv;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::scripted::{
    Script,
    ScriptedEndpoint, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    announce_with,
    host_with,
    store_with_configuration,
    wait_until, //
};
use serde_json::json;

fn ok() -> Script {
    Script::Answer(200, b"ok".to_vec())
}

fn read(host: &Host, number: usize) -> Response {
    Request::get("/read/1")
        .with_attempt(&format!("a-{number}"), 6_000)
        .send(host.caller_address)
}

fn wait_known(host: &Host, count: usize) {
    wait_until("all endpoints are known", || {
        host.log().matches("endpoint announced").count() >= count
    });
}

/// Guards against requests to an endpoint after it stated that it is leaving, by the
/// host that was told so and by the other hosts of the region, although the store
/// still announces it as ready.
#[test]
fn leaving_endpoint_gets_no_requests_of_its_region() {
    let store = store_with_configuration();
    let endpoints =
        ["e-1", "e-2"].map(|id| ScriptedEndpoint::start(id, |_, _| ok()).expect("it starts"));
    for endpoint in &endpoints {
        announce(&store, endpoint, "north");
    }
    let hosts = ["host-1", "host-2"].map(|name| {
        let options = HostOptions::new(name, "north");
        Host::start(&store, &options)
    });
    for host in &hosts {
        wait_known(host, 2);
        host.wait_log("host registered");
    }
    let leaving = &endpoints[0];
    leaving.set_leaving(true);

    let mut number = 0;
    wait_until("the leaving endpoint answers a request", || {
        number += 1;
        read(&hosts[0], number);
        leaving.arrivals().iter().any(|arrival| arrival.is_leaving)
    });
    hosts[0].wait_log("endpoint states that it is leaving");
    hosts[1].wait_log("endpoint told another host that it is leaving");
    let before = leaving.arrivals().len();
    announce_with(&store, leaving, "north", &json!({ "seq": 2, "slots": 9 }));
    let statuses: Vec<u16> = (0..60)
        .map(|one| read(&hosts[one % 2], one).status)
        .collect();

    assert_eq!(statuses, vec![200; 60]);
    assert_eq!(leaving.arrivals().len(), before);
}

/// Guards against an endpoint that stays unused after its next start.
#[test]
fn endpoint_that_was_leaving_is_used_after_its_next_start() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| ok()).expect("it starts");
    let (store, host) = host_with(&endpoint);
    endpoint.set_leaving(true);
    read(&host, 1);
    host.wait_log("endpoint states that it is leaving");
    let while_leaving = read(&host, 2).status;

    endpoint.set_leaving(false);
    announce_with(&store, &endpoint, "north", &json!({ "born": 2 }));

    assert_eq!(while_leaving, 503);
    wait_until("the endpoint is used again", || {
        read(&host, 3).status == 200
    });
}

/// Guards against requests to an endpoint that asked the host to stay away, and
/// against a failure of requests that another endpoint can serve.
#[test]
fn endpoint_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    const UNWANTED: Duration = Duration::from_millis(1_500);
    /// Requests that were sent before the refusal arrived at the host.
    const IN_FLIGHT: Duration = Duration::from_millis(50);
    let store = store_with_configuration();
    let refusing = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => Script::NotRunFor("1.5"),
        _ => ok(),
    })
    .expect("it starts");
    // Slow enough that requests of several callers need both endpoints.
    let slow = || Script::After(Duration::from_millis(60), Box::new(ok()));
    let other = ScriptedEndpoint::start("e-2", move |_, _| slow()).expect("it starts");
    announce(&store, &refusing, "north");
    announce(&store, &other, "north");
    let host = Host::start(&store, &HostOptions::default());
    wait_known(&host, 2);
    host.earn_repeats(8);

    let until = Instant::now() + UNWANTED * 2;
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let address = host.caller_address;
            thread::spawn(move || statuses_until(address, caller, until))
        })
        .collect();
    let statuses: Vec<u16> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller ends"))
        .collect();

    let arrivals = refusing.arrivals();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let first = arrivals.first().expect("a request").at;
    let pauses = arrivals
        .iter()
        .map(|arrival| arrival.at.duration_since(first));
    let next = pauses.filter(|pause| *pause > IN_FLIGHT).min();
    let next = next.expect("the endpoint is used again");
    assert!(next >= UNWANTED, "a request after {next:?}");
}

/// Sends requests one after the other and returns their statuses.
fn statuses_until(address: SocketAddr, caller: usize, until: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < until {
        let attempt = format!("c-{caller}-{}", statuses.len());
        let request = Request::get("/read/1").with_attempt(&attempt, 6_000);
        statuses.push(request.send(address).status);
    }
    statuses
}

/// Guards against a caller that waits in vain, or is told another time, while all
/// endpoints have asked the host to stay away.
#[test]
fn caller_is_told_at_once_when_the_endpoints_want_requests_again() {
    let endpoint =
        ScriptedEndpoint::start("e-1", |_, _| Script::NotRunFor("1.6")).expect("it starts");
    let (_store, host) = host_with(&endpoint);
    read(&host, 1);
    let arrivals = endpoint.arrivals().len();
    let started = Instant::now();

    let response = read(&host, 2);

    let took = started.elapsed();
    let retry_after_s: f64 = response
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .expect("a time to come back");
    assert_eq!(response.status, 503);
    assert_eq!(
        endpoint.arrivals().len(),
        arrivals,
        "the endpoint got a request"
    );
    assert!(took < Duration::from_millis(150), "took {took:?}");
    assert!((1.0..=1.6).contains(&retry_after_s), "{retry_after_s} s");
}
