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
    store_with_configuration,
    wait_until, //
};
use nix::sys::signal::Signal;
use serde_json::json;

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
            let options = HostOptions::new(name, region);
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
    /// None if the host ended.
    response: Option<Response>,
}

impl Answer {
    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }
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
                    let response = request.try_send(address);
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
        .filter(|answer| answer.status() != 200)
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
    let refused: Vec<&Answer> = late.filter(|answer| answer.status() == 503).collect();
    assert!(!refused.is_empty(), "nothing is refused");
    for answer in &refused {
        let response = answer.response.as_ref().expect("a status");
        let retry_s = response.header("retry-after");
        let retry_s: f64 = retry_s.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        assert!(retry_s >= 1.0 / 3.0, "asked to come back in {retry_s} s");
    }
    let at_once = refused
        .iter()
        .filter(|answer| answer.took < Duration::from_millis(300));
    let share = at_once.count() as f64 / refused.len() as f64;
    assert!(share >= 0.9, "share {share} is refused at once");
}

/// Waits until an endpoint that named a limit gets requests without a limit again.
fn wait_unlimited(endpoint: &ScriptedEndpoint, since: Instant, count: usize, time: Duration) {
    let deadline = since + time;
    loop {
        let after = endpoint.arrivals();
        let after = after.iter().filter(|arrival| arrival.at >= since).count();
        if after >= count {
            return;
        }
        assert!(Instant::now() < deadline, "{after} requests in {time:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a limit that never ends: at a host that sends nothing, and at all hosts if
/// the limit let nothing through.
#[test]
fn limit_ends_when_answers_no_longer_name_it() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 1, "0");
    let hosts = start_hosts(&store, &["north"; 3], &endpoints);
    let addresses = addresses(&hosts);
    flood(&addresses, Duration::from_secs(8));
    let bound = bound_arrivals(&endpoints[0]);
    assert!(most_in_window(&bound) as f64 <= LIMIT_SLACK, "{bound:?}");

    endpoints[0].set_limit(None);
    let ended = Instant::now();
    let sender = thread::spawn({
        let one = vec![addresses[0]];
        move || flood(&one, CONTACT)
    });
    wait_unlimited(&endpoints[0], ended, 20, CONTACT);
    sender.join().expect("the caller ends");
    let answers = flood(&addresses[1..], Duration::from_secs(1));

    check_all_served(&answers);
}

/// Guards against a limit that outlives the start of the endpoint that named it.
#[test]
fn limit_ends_with_the_next_start_of_its_endpoint() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 1, "0.5");
    let hosts = start_hosts(&store, &["north"; 2], &endpoints);
    flood(&addresses(&hosts), Duration::from_secs(2));

    endpoints[0].set_limit(None);
    announce_with(&store, &endpoints[0], "north", &json!({ "born": 2 }));
    thread::sleep(Duration::from_secs(1));
    let answers = flood(&addresses(&hosts), Duration::from_secs(1));

    check_all_served(&answers);
}

/// Guards against an answer that arrives late and brings back a limit that has ended.
#[test]
fn late_answer_does_not_bring_back_a_limit() {
    let store = store_with_configuration();
    let slow = |_, arrival: &Arrival| match arrival.path == "/read/slow" {
        true => Script::After(
            Duration::from_secs(1),
            Box::new(Script::Answer(200, b"slow".to_vec())),
        ),
        false => Script::Answer(200, b"answer".to_vec()),
    };
    let endpoint = ScriptedEndpoint::start("e-0", slow).expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    let endpoints = [endpoint];
    let hosts = start_hosts(&store, &["north"], &endpoints);
    endpoints[0].set_limit(Some("0.5"));
    let address = hosts[0].caller_address;
    let late = thread::spawn(move || {
        Request::get("/read/slow")
            .with_attempt("a", LIMIT_MS)
            .send(address)
    });
    wait_until("the slow request arrives", || {
        !endpoints[0].arrivals().is_empty()
    });

    endpoints[0].set_limit(None);
    Request::get("/read/1")
        .with_attempt("b", LIMIT_MS)
        .send(address);
    late.join().expect("the caller ends");
    let answers = flood(&[address], Duration::from_secs(1));

    check_all_served(&answers);
}

/// Guards against values that are no limit and keep requests from an endpoint.
#[test]
fn values_that_are_no_limit_are_ignored() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 1, "-1");
    let hosts = start_hosts(&store, &["north"], &endpoints);

    for value in [
        "-1",
        "nan",
        "inf",
        "",
        "many",
        "1e300",
        "99999999999999999999",
    ] {
        endpoints[0].set_limit(Some(value));
        let answers = flood(&addresses(&hosts), Duration::from_millis(500));
        check_all_served(&answers);
    }
}

/// Guards against a limit that only successful answers make known.
#[test]
fn answers_that_fail_or_refuse_name_a_limit() {
    let store = store_with_configuration();
    let fail = |index: usize, _: &Arrival| match index % 2 {
        0 => Script::NotRun,
        _ => Script::Answer(500, b"failed".to_vec()),
    };
    let limited = ScriptedEndpoint::start("e-0", fail).expect("the endpoint starts");
    limited.set_limit(Some("1"));
    announce(&store, &limited, "north");
    let mut endpoints = vec![limited];
    let other = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"answer".to_vec()));
    endpoints.push(other.expect("the endpoint starts"));
    announce(&store, &endpoints[1], "north");
    let hosts = start_hosts(&store, &["north"; 2], &endpoints);
    let time = CONTACT + WINDOW;

    flood(&addresses(&hosts), time);

    let arrivals = bound_arrivals(&endpoints[0]);
    let allowed = LIMIT_FACTOR * WINDOW.as_secs_f64() + LIMIT_SLACK;
    assert!(most_in_window(&arrivals) as f64 <= allowed);
}

/// Guards against a limit that is exceeded or unused while the hosts that hand out permits
/// are paused, killed and started.
#[test]
fn limit_holds_while_hosts_are_paused_and_restarted() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, "north", 3, "4");
    let mut hosts = start_hosts(&store, &["north"; 4], &endpoints);
    let time = Duration::from_secs(20);
    let until = Instant::now() + time;
    let send = |host: &Host| {
        let address = vec![host.caller_address];
        thread::spawn(move || flood(&address, until - Instant::now()))
    };
    let mut senders: Vec<_> = hosts.iter().map(send).collect();
    thread::sleep(CONTACT);

    for index in 0..3 {
        hosts[index].signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_secs(2));
        hosts[index].signal(Signal::SIGCONT);
        hosts[index].signal(Signal::SIGKILL);
        let options = HostOptions::new(HOST_NAMES[index], "north");
        hosts[index] = Host::start(&store, &options);
        senders.push(send(&hosts[index]));
        thread::sleep(Duration::from_secs(1));
    }
    for sender in senders {
        sender.join().expect("a caller ends");
    }

    check_limit(&endpoints[0], 4.0, time);
}
