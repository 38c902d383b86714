//! The limit on repeats of requests, over all hosts and their restarts.

mod gatewayenv;

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use cardamombridge::{
    gateway::retry_budget::{
        RetryBounds,
        RetryBudget, //
    },
    standin::scripted::{
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    store_with_configuration, //
};
use nix::sys::signal::Signal;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};
const LIMIT_MS: u64 = 5_000;
const START_COUNT: usize = 6;
const REQUEST_COUNT: usize = 48;

fn failing_endpoints() -> Vec<ScriptedEndpoint> {
    let fail = |_, _: &_| Script::Answer(500, b"failed".to_vec());
    ["e-1", "e-2"]
        .map(|id| ScriptedEndpoint::start(id, fail).expect("the endpoint starts"))
        .into()
}

fn arrivals(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(|one| one.arrivals().len()).sum()
}

fn send_reads(address: SocketAddr, count: usize, prefix: &str) {
    thread::scope(|scope| {
        for number in 0..count {
            let request =
                Request::get("/read/1").with_attempt(&format!("{prefix}-{number}"), LIMIT_MS);
            scope.spawn(move || request.try_send(address));
        }
    });
}

fn allowed(request_count: usize) -> usize {
    (BOUNDS.ratio * request_count as f64 + BOUNDS.slack) as usize
}

/// Takes repeats until the budget is used up; returns their number.
fn take_all(budget: &mut RetryBudget, host_count: usize, now_ms: u64) -> usize {
    let mut count = 0;
    while budget.try_take("desk", host_count, now_ms) {
        count += 1;
    }
    count
}

/// Guards against a full share of the limit at each start of a host.
#[test]
fn restarts_do_not_add_to_the_limit() {
    let store = store_with_configuration();
    let endpoints = failing_endpoints();
    for endpoint in &endpoints {
        announce(&store, endpoint, "north");
    }

    for start in 0..START_COUNT {
        let host = Host::start(&store, &HostOptions::default());
        host.wait_log("\"endpoint announced\",\"endpoint\":\"e-2\"");
        send_reads(host.caller_address, REQUEST_COUNT, &format!("a-{start}"));
        host.signal(Signal::SIGKILL);
    }

    let request_count = START_COUNT * REQUEST_COUNT;
    let repeats = arrivals(&endpoints).saturating_sub(request_count);
    let allowed = allowed(request_count);
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// Guards against two shares for one host: what it took before a restart, and again after.
#[test]
fn share_of_the_slack_is_earned_over_the_window() {
    let share = BOUNDS.slack as usize;
    let mut before = RetryBudget::new(BOUNDS);
    let taken_before = take_all(&mut before, 1, 60_000);

    let mut after = RetryBudget::new(BOUNDS);
    let taken_at_once = take_all(&mut after, 1, 0);
    let taken_after: usize = (1..10)
        .map(|second| take_all(&mut after, 1, second * 1_000))
        .sum();

    assert_eq!(taken_at_once, 0);
    assert!(
        taken_before + taken_after <= share,
        "{taken_before} and {taken_after}"
    );
}

/// Guards against a repeat in another region that no budget knows: an endpoint there had
/// refused the request.
#[test]
fn refusal_after_an_arrival_in_another_region_counts_as_a_repeat() {
    let store = store_with_configuration();
    let refusing = ["e-1", "e-2"]
        .map(|id| ScriptedEndpoint::start(id, |_, _| Script::NotRun).expect("the endpoint starts"));
    announce(&store, &refusing[0], "south");
    let south = |name| HostOptions::new(name, "south");
    let remote = Host::start(&store, &south("host-2"));
    let host = Host::start(&store, &HostOptions::default());
    remote.wait_log("endpoint announced");
    host.wait_log("host registered");
    thread::sleep(Duration::from_millis(1_500));

    send_reads(host.caller_address, 200, "a");

    let count = refusing[0].arrivals().len();
    let repeats = count.saturating_sub(200);
    assert!(repeats <= allowed(200), "{repeats} repeats");
    assert!(
        host.log().contains("has_arrived\":true"),
        "arrivals are not stated"
    );
}
