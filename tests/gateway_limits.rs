//! The limit on requests a second that an endpoint names for all hosts together.

mod gatewayenv;

use std::{
    net::SocketAddr,
    sync::Mutex,
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
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    store_with_configuration, //
};

const LIMIT_MS: u64 = 3_000;
/// Time after which all hosts in touch keep to a limit that one of them was told.
const CONTACT: Duration = Duration::from_secs(6);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of the limit above which it is broken, and the requests beyond it.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Smallest share of the limit that is to reach the endpoint.
const USED_SHARE: f64 = 0.4;
/// Time between two requests to the same host: 25 a second.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Time of an answer.
const RUN_TIME: Duration = Duration::from_millis(10);
const FLOOD_TIME: Duration = Duration::from_secs(16);
const HOST_NAMES: [&str; 6] = ["host-1", "host-2", "host-3", "host-4", "host-5", "host-6"];

/// Starts endpoints in a region, the first of which names a limit.
fn start_endpoints(
    store: &MetadataStore,
    region: &str,
    count: usize,
    limit: &str,
) -> Vec<ScriptedEndpoint> {
    let endpoints: Vec<ScriptedEndpoint> = (0..count)
        .map(|index| {
            let answer = Script::Answer(200, b"answer".to_vec());
            let endpoint = ScriptedEndpoint::start(&format!("e-{index}"), move |_, _| {
                Script::After(RUN_TIME, Box::new(answer.clone()))
            })
            .expect("the endpoint starts");
            announce(store, &endpoint, region);
            endpoint
        })
        .collect();
    endpoints[0].set_limit(Some(limit));
    endpoints
}

/// Starts a host in each of `regions` and waits until it knows all `endpoints`.
fn start_hosts(
    store: &MetadataStore,
    regions: &[&'static str],
    endpoints: &[ScriptedEndpoint],
) -> Vec<Host> {
    let hosts: Vec<Host> = HOST_NAMES
        .iter()
        .zip(regions)
        .map(|(name, region)| {
            let options = HostOptions {
                name,
                region,
                ..HostOptions::default()
            };
            Host::start(store, &options)
        })
        .collect();
    for host in &hosts {
        for endpoint in endpoints {
            host.wait_log(&format!("\"{}\"", endpoint.id()));
        }
    }
    hosts
}

fn addresses(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.caller_address).collect()
}

/// An answer with the time of its request.
struct Answer {
    sent: Instant,
    took: Duration,
    response: Response,
}

/// Sends requests to each host at a steady rate; returns the answers.
fn flood(hosts: &[SocketAddr], time: Duration) -> Vec<Answer> {
    let answers = Mutex::new(Vec::new());
    let deadline = Instant::now() + time;
    thread::scope(|scope| {
        let mut number = 0;
        while Instant::now() < deadline {
            for address in hosts {
                number += 1;
                let request =
                    Request::get("/read/1").with_attempt(&format!("{number:x}"), LIMIT_MS);
                let (address, answers) = (*address, &answers);
                scope.spawn(move || {
                    let sent = Instant::now();
                    let response = request.send(address);
                    let took = sent.elapsed();
                    let answer = Answer {
                        sent,
                        took,
                        response,
                    };
                    answers.lock().expect("no panic").push(answer);
                });
            }
            thread::sleep(REQUEST_PAUSE);
        }
    });
    answers.into_inner().expect("no panic")
}

/// Returns the arrivals at an endpoint for which its limit holds at all hosts.
fn bound_arrivals(endpoint: &ScriptedEndpoint) -> Vec<Instant> {
    let arrivals = endpoint.arrivals();
    let named = arrivals.iter().find(|arrival| arrival.limit.is_some());
    let named = named.expect("the limit was named").at;
    let bound = arrivals.iter().map(|arrival| arrival.at);
    bound.filter(|at| *at >= named + CONTACT).collect()
}

/// Returns the most of these arrivals, in the order of time, in a window.
fn most_in_window(arrivals: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        let after = arrivals.iter().filter(|at| *at >= from);
        after.take_while(|at| **at < *from + WINDOW).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Checks that an endpoint got no more than its limit allows, and used enough of it in the
/// time after it was known.
fn check_limit(endpoint: &ScriptedEndpoint, per_s: f64, time: Duration) {
    let arrivals = bound_arrivals(endpoint);
    let most = most_in_window(&arrivals);
    let allowed = LIMIT_FACTOR * per_s * WINDOW.as_secs_f64() + LIMIT_SLACK;
    let used_per_s = arrivals.len() as f64 / (time - CONTACT).as_secs_f64();
    println!("most {most} of {allowed}, {used_per_s:.2} a second of {per_s}");
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    assert!(
        used_per_s >= USED_SHARE * per_s,
        "{used_per_s} requests a second, limit {per_s}"
    );
}

/// Checks that callers notice nothing.
fn check_all_served(answers: &[Answer]) {
    let failed = answers
        .iter()
        .filter(|answer| answer.response.status != 200)
        .count();
    assert_eq!(failed, 0, "of {} requests", answers.len());
}

/// Guards against hosts that do not know of a limit, or take all of it each.
#[test]
fn all_hosts_together_keep_to_the_limit_of_an_endpoint() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 4, "4");
    let hosts = start_hosts(&store, &["north"; 3], &endpoints);

    let answers = flood(&addresses(&hosts), FLOOD_TIME);

    check_limit(&endpoints[0], 4.0, FLOOD_TIME);
    check_all_served(&answers);
}

/// Guards against a limit that is exceeded because each host sends at least one request, or
/// left unused because no host may.
#[test]
fn limit_below_one_request_a_host_holds_and_is_used() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 4, "1.0");
    let hosts = start_hosts(&store, &["north"; 6], &endpoints);

    let answers = flood(&addresses(&hosts), FLOOD_TIME);

    check_limit(&endpoints[0], 1.0, FLOOD_TIME);
    check_all_served(&answers);
}

/// Guards against forwarded requests that the limit does not count.
#[test]
fn forwarded_requests_count_towards_the_limit() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "south", 4, "2.5");
    let hosts = start_hosts(&store, &["north", "south", "south"], &endpoints);
    hosts[0].wait_log("host registered");
    thread::sleep(Duration::from_millis(1_500));

    let answers = flood(&addresses(&hosts), FLOOD_TIME);

    check_limit(&endpoints[0], 2.5, FLOOD_TIME);
    check_all_served(&answers);
}

/// Guards against an endpoint that gets more because there is no other one, and against
/// callers that wait for a refusal or are not told when to come back.
#[test]
fn limit_of_the_only_endpoint_holds_and_the_rest_is_refused_at_once() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 1, "3");
    let hosts = start_hosts(&store, &["north"; 2], &endpoints);
    let started = Instant::now();

    let answers = flood(&addresses(&hosts), FLOOD_TIME);

    check_limit(&endpoints[0], 3.0, FLOOD_TIME);
    let late = answers
        .iter()
        .filter(|answer| answer.sent > started + CONTACT);
    let refused: Vec<&Answer> = late
        .filter(|answer| answer.response.status == 503)
        .collect();
    assert!(!refused.is_empty(), "nothing is refused");
    for answer in &refused {
        let retry_s = answer.response.header("retry-after");
        let retry_s: f64 = retry_s.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        assert!(retry_s >= 1.0 / 3.0, "asked to come back in {retry_s} s");
    }
    let at_once = refused
        .iter()
        .filter(|answer| answer.took < Duration::from_millis(300));
    let share = at_once.count() as f64 / refused.len() as f64;
    assert!(share >= 0.9, "share {share} is refused at once");
}
