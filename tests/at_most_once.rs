//! The guarantee `at_most_once`: a call that must not be repeated runs at most
//! once.
//!
//! The services count the runs of each key. Every test compares that count with
//! the responses that the callers received.

mod testenv;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    testbed::{
        BOUND_CALLER_KEY,
        CALLER_KEY,
        TestbedOptions, //
    },
    wire::{
        Direction,
        Flow, //
    }, //
};
use expect_test::expect;
use nix::sys::signal::Signal;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde_json::{
    Value,
    json, //
};
use testenv::{
    Caller,
    CallerResponse,
    TestEnv,
    wait_for, //
};

/// Timeout for conditions that the hosts reach within seconds.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for a refusal that does not wait for another process.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
/// How long a call takes at the services while a fault is injected.
const SLOW_CALL: Duration = Duration::from_millis(600);
/// Deadline of the calls whose owner does not respond.
const SHORT_DEADLINE_MS: &str = "2000";
/// How long after the deadline of a call a forwarding host may still wait for
/// the owner.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Regions of the testbed.
const REGIONS: [&str; 3] = ["stred", "zapad", "sever"];
/// How long the random test injects faults.
const RANDOM_FAULTS_MS: u64 = 8_000;
/// How long its clients continue after the last fault.
const RANDOM_SETTLE: Duration = Duration::from_secs(6);
/// Timeout of its clients for a host that may be paused.
const RANDOM_CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RANDOM_TICKETS: usize = 24;
const RANDOM_CLIENTS_PER_TICKET: usize = 2;

fn env() -> TestEnv {
    start(&TestbedOptions::new())
}

fn env_with_successors() -> TestEnv {
    start(&TestbedOptions::new().with_hosts_per_region(2))
}

fn start(options: &TestbedOptions) -> TestEnv {
    let env = TestEnv::start(options);
    env.wait_settled();
    env
}

/// A ticket that the first host of `region` owns.
fn ticket(env: &TestEnv, region: &str) -> String {
    ticket_of(&env.caller(region))
}

fn ticket_of(caller: &Caller) -> String {
    let response = caller.get("/v1/entry?service=orders");
    let response = response.expect("the host must answer").json();
    response["ticket"]
        .as_str()
        .expect("a ticket must be issued")
        .to_string()
}

/// Confirms order `key` under `ticket`.
fn confirm(caller: &Caller, ticket: &str, key: &str) -> CallerResponse {
    let response = try_confirm(caller, ticket, key);
    response.expect("the host must answer")
}

fn try_confirm(caller: &Caller, ticket: &str, key: &str) -> Option<CallerResponse> {
    let body = json!({"key": key}).to_string().into_bytes();
    caller
        .clone()
        .with_header("idempotency-key", ticket)
        .with_header("content-type", "application/json")
        .call("POST", "/v1/services/orders/confirm", body)
        .ok()
}

/// Returns the runs of one order at the services of all regions.
fn runs(env: &TestEnv, key: &str) -> u32 {
    let services = env.testbed.services.iter();
    services.map(|service| service.standin.runs(key)).sum()
}

/// Returns the number of calls that reached any service.
fn calls_received(env: &TestEnv) -> usize {
    let services = env.testbed.services.iter();
    services.map(|service| service.standin.seen().len()).sum()
}

fn set_delay(env: &TestEnv, delay: Duration) {
    for service in &env.testbed.services {
        service.standin.set_delay(delay);
    }
}

fn ticket_state(caller: &Caller, ticket: &str) -> CallerResponse {
    let response = caller.get(&format!("/v1/tickets/{ticket}"));
    response.expect("the host must answer")
}

/// Returns a line of the recorded session for a response.
fn session_line(step: &str, response: &CallerResponse) -> String {
    let value = response.json();
    let text = |value: &Value| value.as_str().unwrap_or("-").to_string();
    format!(
        "{step}: {} code={} state={} run_state={} runs={} replayed={} retry_after={}\n",
        response.status,
        text(&value["error"]["code"]),
        text(&value["state"]),
        text(if value["error"].is_null() {
            &value["run_state"]
        } else {
            &value["error"]["run_state"]
        }),
        value["runs"],
        response.headers.get("idempotent-replayed").unwrap_or("-"),
        response.headers.get("retry-after").unwrap_or("-"),
    )
}

fn has_retry_after(response: &CallerResponse) -> bool {
    response.headers.get("retry-after").is_some()
}

fn assert_unknown(response: &CallerResponse, env: &TestEnv) {
    assert_eq!(
        response.run_state(),
        "unknown",
        "{response:?}\n{}",
        env.logs()
    );
}

/// Guards against a change of the responses that a caller receives during the
/// lifetime of a ticket.
#[test]
fn one_session_of_each_kind_of_ticket() {
    let env = env();
    let (home, other) = (env.caller("stred"), env.caller("zapad"));
    let (used, cancelled) = (ticket(&env, "stred"), ticket(&env, "stred"));
    let mut session = String::new();

    let without = home
        .call("POST", "/v1/services/orders/confirm", b"{}".to_vec())
        .expect("the host must answer");
    session += &session_line("without a ticket", &without);
    session += &session_line("issued", &ticket_state(&other, &used));
    session += &session_line("first call", &confirm(&other, &used, "a"));
    session += &session_line("finished", &ticket_state(&home, &used));
    session += &session_line("same call at the owner", &confirm(&home, &used, "a"));
    session += &session_line("same call elsewhere", &confirm(&other, &used, "a"));
    session += &session_line("other body", &confirm(&other, &used, "b"));
    let path = format!("/v1/tickets/{used}");
    let late = other.call("DELETE", &path, Vec::new());
    session += &session_line("void after the call", &late.expect("the host must answer"));
    let path = format!("/v1/tickets/{cancelled}");
    let cancel = other.call("DELETE", &path, Vec::new());
    session += &session_line("void", &cancel.expect("the host must answer"));
    session += &session_line("call after void", &confirm(&other, &cancelled, "c"));

    assert_eq!(
        (runs(&env, "a"), runs(&env, "b"), runs(&env, "c")),
        (1, 0, 0)
    );
    expect![[r#"
        without a ticket: 428 code=ticket_required state=- run_state=not_run runs=null replayed=- retry_after=-
        issued: 200 code=- state=issued run_state=unknown runs=null replayed=- retry_after=-
        first call: 200 code=- state=- run_state=- runs=1 replayed=- retry_after=-
        finished: 200 code=- state=finished run_state=finished runs=null replayed=- retry_after=-
        same call at the owner: 200 code=- state=- run_state=- runs=1 replayed=true retry_after=-
        same call elsewhere: 200 code=- state=- run_state=- runs=1 replayed=true retry_after=-
        other body: 409 code=ticket_of_another_call state=- run_state=unknown runs=null replayed=- retry_after=-
        void after the call: 409 code=ticket_already_finished state=- run_state=unknown runs=null replayed=- retry_after=-
        void: 200 code=- state=voided run_state=not_run runs=null replayed=- retry_after=-
        call after void: 410 code=ticket_voided state=- run_state=not_run runs=null replayed=- retry_after=-
    "#]].assert_eq(&session);
}

/// Guards against two hosts that each start the call of one ticket.
#[test]
fn the_same_ticket_sent_to_all_hosts_at_once_runs_once() {
    let env = env_with_successors();
    let ticket = ticket(&env, "stred");
    set_delay(&env, Duration::from_millis(100));
    let callers: Vec<Caller> = env
        .hosts
        .iter()
        .chain(&env.hosts)
        .chain(&env.hosts)
        .map(|host| Caller::new(host.address).with_key(CALLER_KEY))
        .collect();

    let responses: Vec<CallerResponse> = thread::scope(|scope| {
        let calls: Vec<_> = callers
            .iter()
            .map(|caller| scope.spawn(|| confirm(caller, &ticket, "once")))
            .collect();
        let responses = calls.into_iter().map(|call| call.join());
        responses
            .map(|response| response.expect("a call must end"))
            .collect()
    });

    assert!(responses.iter().any(|response| response.status == 200));
    for response in &responses {
        let is_in_progress = response.status == 409
            && response.run_state() == "unknown"
            && has_retry_after(response);
        assert!(response.status == 200 || is_in_progress, "{response:?}");
    }
    for caller in &callers {
        assert_eq!(confirm(caller, &ticket, "once").json()["runs"], 1);
    }
    assert_eq!(runs(&env, "once"), 1);
}

/// Guards against a retry after an endpoint ran the call and sent no response.
#[test]
fn a_lost_response_of_the_service_stays_unknown() {
    let env = env();
    let ticket = ticket(&env, "stred");
    for service in &env.testbed.services {
        service.standin.drop_after_running(1);
    }

    let first = confirm(&env.caller("zapad"), &ticket, "lost");
    let again = confirm(&env.caller("zapad"), &ticket, "lost");
    let at_owner = confirm(&env.caller("stred"), &ticket, "lost");

    for response in [first, again, at_owner] {
        assert_unknown(&response, &env);
    }
    let state = ticket_state(&env.caller("sever"), &ticket).json();
    assert_eq!(state["run_state"], "unknown");
    assert_eq!(runs(&env, "lost"), 1);
}

/// Guards against a forwarding host that runs the call itself, or reports it as
/// not run, after the response of the owner was lost in transit.
#[test]
fn a_lost_response_between_hosts_is_unknown_and_kept_at_the_owner() {
    let env = env();
    let ticket = ticket(&env, "stred");
    set_delay(&env, SLOW_CALL);
    let caller = env.caller("zapad");

    let lost = thread::scope(|scope| {
        let call = scope.spawn(|| confirm(&caller, &ticket, "wire"));
        wait_for(TIMEOUT, "the call reaches a service", || {
            calls_received(&env) == 1
        });
        let owner = env.testbed.seats_in("stred").next();
        let wire = &owner.expect("the region must have a host").peer_wire;
        wire.set_flow(Direction::ToCaller, Flow::Hold);
        wait_for(TIMEOUT, "the call runs", || runs(&env, "wire") == 1);
        wire.set_cut(true);
        let lost = call.join().expect("the call must end");
        wire.set_cut(false);
        wire.set_flow(Direction::ToCaller, Flow::Pass);
        lost
    });
    let kept = final_response(&env, &caller, &ticket, "wire");

    assert_unknown(&lost, &env);
    assert!(has_retry_after(&lost), "{lost:?}");
    assert_eq!(kept.status, 200, "{kept:?}");
    assert_eq!(runs(&env, "wire"), 1);
}

/// Repeats a call with the same ticket until the response is final.
fn final_response(env: &TestEnv, caller: &Caller, ticket: &str, key: &str) -> CallerResponse {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let response = confirm(caller, ticket, key);
        if !has_retry_after(&response) {
            return response;
        }
        let is_late = Instant::now() >= deadline;
        assert!(!is_late, "no final response: {response:?}\n{}", env.logs());
        thread::sleep(Duration::from_millis(100));
    }
}

/// Kills the owner and starts it again under the same host id.
fn restart_owner(env: &mut TestEnv) {
    let owner = env.host_mut("stred");
    owner.kill();
    owner.start();
    owner.wait_ready();
}

/// Asserts that every host reports the ticket as `unknown` and that its call
/// does not run.
fn assert_unknown_at_all_hosts(env: &TestEnv, ticket: &str, key: &str) {
    let before = runs(env, key);
    for host in &env.hosts {
        let caller = Caller::new(host.address).with_key(CALLER_KEY);
        assert_unknown(&confirm(&caller, ticket, key), env);
        let state = ticket_state(&caller, ticket).json();
        let run_state = match state["error"].is_null() {
            true => &state["run_state"],
            false => &state["error"]["run_state"],
        };
        assert_eq!(run_state, "unknown");
        let path = format!("/v1/tickets/{ticket}");
        let cancel = caller.call("DELETE", &path, Vec::new());
        assert_unknown(&cancel.expect("the host must answer"), env);
    }
    assert_eq!(runs(env, key), before);
}

/// Guards against the next instance of the owner, or another host, that treats
/// a ticket of the killed instance as not started.
#[test]
fn a_killed_owner_leaves_its_tickets_unknown() {
    let mut env = env();
    let [before, during, after] = [(); 3].map(|()| ticket(&env, "stred"));
    let caller = env.caller("zapad");
    let done = confirm(&caller, &after, "after");
    set_delay(&env, SLOW_CALL);

    let broken = thread::scope(|scope| {
        let call = scope.spawn(|| confirm(&caller, &during, "during"));
        wait_for(TIMEOUT, "the call reaches a service", || {
            calls_received(&env) == 2
        });
        env.host_mut("stred").kill();
        call.join().expect("the call must end")
    });
    let unreachable = confirm(&caller, &before, "before");
    restart_owner(&mut env);
    wait_for(TIMEOUT, "the call ends", || runs(&env, "during") == 1);

    assert_eq!(done.status, 200);
    for response in [broken, unreachable] {
        assert_unknown(&response, &env);
        assert!(has_retry_after(&response), "{response:?}");
    }
    for (ticket, key, count) in [
        (&before, "before", 0),
        (&during, "during", 1),
        (&after, "after", 1),
    ] {
        assert_unknown_at_all_hosts(&env, ticket, key);
        assert_eq!(runs(&env, key), count, "{key}");
    }
}

/// Guards against a second run while the owner is paused, and against a
/// cancellation that is confirmed although the paused owner has not received
/// it.
#[test]
fn a_paused_owner_alone_serves_its_tickets_after_it_resumes() {
    let env = env();
    let (running, waiting) = (ticket(&env, "stred"), ticket(&env, "stred"));
    set_delay(&env, SLOW_CALL);
    let caller = env
        .caller("zapad")
        .with_header("x-deadline-ms", SHORT_DEADLINE_MS);

    let (frozen, cancel) = thread::scope(|scope| {
        let call = scope.spawn(|| confirm(&caller, &running, "frozen"));
        wait_for(TIMEOUT, "the call reaches a service", || {
            calls_received(&env) == 1
        });
        env.host("stred").signal(Signal::SIGSTOP);
        let path = format!("/v1/tickets/{waiting}");
        let cancel = caller.call("DELETE", &path, Vec::new());
        (call.join().expect("the call must end"), cancel)
    });
    let started = Instant::now();
    let while_paused = confirm(&caller, &waiting, "waiting");
    let while_paused_took = started.elapsed();
    env.host("stred").signal(Signal::SIGCONT);
    let resumed = final_response(&env, &caller, &running, "frozen");
    let later = final_response(&env, &caller, &waiting, "waiting");

    let cancel = cancel.expect("the host must answer");
    for response in [&frozen, &cancel, &while_paused] {
        assert_unknown(response, &env);
        assert!(has_retry_after(response), "{response:?}");
    }
    assert!(while_paused_took < Duration::from_secs(2) + FORWARD_GRACE);
    assert!(resumed.status == 200 || resumed.run_state() == "unknown");
    assert_eq!(runs(&env, "frozen"), 1);
    // The cancellation may have reached the owner; then the call never runs.
    match later.status {
        200 => assert_eq!(runs(&env, "waiting"), 1),
        _ => assert_eq!(runs(&env, "waiting"), 0, "{later:?}"),
    }
}

/// Guards against a run in the caller's own region while it is partitioned from
/// the owner's.
#[test]
fn a_partition_from_the_owner_gives_unknown_and_no_run() {
    let mut env = env();
    let ticket = ticket(&env, "stred");
    let caller = env.caller("zapad");
    env.testbed.set_cut_between("stred", "zapad", true);

    let started = Instant::now();
    let cut_off = confirm(&caller, &ticket, "cut");
    let took = started.elapsed();
    let seen = calls_received(&env);
    let through = confirm(&env.caller("sever"), &ticket, "cut");
    let still_cut = confirm(&caller, &ticket, "cut");
    env.testbed.set_cut_between("stred", "zapad", false);
    let joined = final_response(&env, &caller, &ticket, "cut");

    for response in [&cut_off, &still_cut] {
        assert_unknown(response, &env);
        assert!(has_retry_after(response), "{response:?}");
    }
    assert!(took < REFUSAL_LIMIT, "refused after {took:?}");
    assert_eq!(seen, 0);
    assert_eq!(through.status, 200, "{through:?}");
    assert_eq!(joined.status, 200, "{joined:?}");
    assert_eq!(runs(&env, "cut"), 1);
}

/// Guards against a leaving host and its successor that both run a call, and
/// against responses that are lost in the handover.
#[test]
fn a_leaving_owner_hands_its_tickets_to_one_successor() {
    let mut env = env_with_successors();
    let [finished, issued, in_progress] = [(); 3].map(|()| ticket(&env, "stred"));
    let neighbour = env.hosts.iter().rfind(|host| host.region == "stred");
    let neighbour = neighbour.expect("the region must have a second host");
    let neighbour = Caller::new(neighbour.address).with_key(CALLER_KEY);
    let done = confirm(&neighbour, &finished, "finished");
    set_delay(&env, SLOW_CALL);

    let (while_leaving, drained) = thread::scope(|scope| {
        let call = scope.spawn(|| confirm(&neighbour, &in_progress, "in progress"));
        wait_for(TIMEOUT, "the call reaches a service", || {
            calls_received(&env) == 2
        });
        env.host("stred").signal(Signal::SIGTERM);
        let leaves = || !env.host("stred").is_ready();
        wait_for(TIMEOUT, "the host leaves", leaves);
        let while_leaving = confirm(&neighbour, &issued, "issued");
        (while_leaving, call.join().expect("the call must end"))
    });
    let status = env.host_mut("stred").wait(TIMEOUT);
    let at_successor = final_response(&env, &neighbour, &issued, "issued");
    let replays = [(&finished, "finished"), (&in_progress, "in progress")]
        .map(|(ticket, key)| final_response(&env, &neighbour, ticket, key));

    assert!(status.is_some_and(|status| status.success()));
    assert_eq!((done.status, drained.status), (200, 200));
    // The owner may have started the call just before it stopped starting any.
    if while_leaving.status != 200 {
        assert_unknown(&while_leaving, &env);
        assert!(has_retry_after(&while_leaving), "{while_leaving:?}");
    }
    assert_eq!(at_successor.status, 200, "{at_successor:?}");
    for replay in &replays {
        assert_eq!(replay.status, 200, "{replay:?}");
        assert_eq!(replay.headers.get("idempotent-replayed"), Some("true"));
    }
    for key in ["finished", "issued", "in progress"] {
        assert_eq!(runs(&env, key), 1, "{key}");
    }
}

/// Guards against a call that runs under a ticket of another caller, or under
/// one that no host issued.
#[test]
fn a_ticket_of_another_caller_or_a_forged_one_runs_nothing() {
    let env = env();
    let ticket = ticket(&env, "stred");
    let stranger = Caller::new(env.host("stred").address).with_key(BOUND_CALLER_KEY);
    let middle = ticket.len() / 2;
    let forged = format!("{}{}", &ticket[middle..], &ticket[..middle]);

    let responses = [
        confirm(&stranger, &ticket, "stranger"),
        confirm(&env.caller("stred"), &forged, "forged"),
        confirm(&env.caller("zapad"), &ticket[..middle], "cut"),
    ];

    for response in &responses {
        assert!((400..500).contains(&response.status), "{response:?}");
    }
    assert_eq!(calls_received(&env), 0);
    let own = confirm(&env.caller("zapad"), &ticket, "own");
    assert_eq!(own.status, 200, "{own:?}");
}

/// Guards against a host that is leaving or has no configuration and reports
/// `not_run` for a ticket whose call has run at another host.
#[test]
fn only_the_owner_reports_not_run_for_a_ticket() {
    let mut env = env();
    let ticket = ticket(&env, "stred");
    assert_eq!(confirm(&env.caller("stred"), &ticket, "ran").status, 200);
    set_delay(&env, SLOW_CALL);
    let second = ticket_of(&env.caller("zapad"));
    let caller = env.caller("zapad");

    // A call in progress delays the exit of the leaving host.
    let (call, state) = thread::scope(|scope| {
        scope.spawn(|| confirm(&caller, &second, "open"));
        wait_for(TIMEOUT, "the call reaches a service", || {
            calls_received(&env) == 2
        });
        env.host("zapad").signal(Signal::SIGTERM);
        let leaves = || !env.host("zapad").is_ready();
        wait_for(TIMEOUT, "the host leaves", leaves);
        (
            confirm(&caller, &ticket, "ran"),
            ticket_state(&caller, &ticket),
        )
    });
    let sever = env.host_mut("sever");
    sever.kill();
    env.testbed.set_platform_cut("sever", true);
    for (left, right) in [("sever", "stred"), ("sever", "zapad")] {
        env.testbed.set_cut_between(left, right, true);
    }
    env.host_mut("sever").start();
    let starting = env.caller("sever");
    let is_listening = || try_confirm(&starting, &ticket, "ran").is_some();
    wait_for(TIMEOUT, "the host listens", is_listening);
    let not_ready = confirm(&starting, &ticket, "ran");

    for response in [&call, &not_ready] {
        assert_eq!(response.status, 503, "{response:?}");
        assert_unknown(response, &env);
        assert!(has_retry_after(response), "{response:?}");
    }
    assert_ne!(state.json()["run_state"], "not_run");
    assert_eq!(runs(&env, "ran"), 1);
}

/// What one client of the random test observed.
#[derive(Debug, Default)]
struct ClientObservations {
    succeeded: usize,
    not_run: Vec<usize>,
    wrong_responses: Vec<String>,
}

/// A client that repeats a call with the same ticket at random hosts until the
/// response is final or `until` is reached.
struct RandomClient {
    hosts: Vec<SocketAddr>,
    number: usize,
    ticket: String,
    rng: Pcg64Mcg,
    until: Instant,
}

impl RandomClient {
    fn run(mut self) -> ClientObservations {
        let mut observed = ClientObservations::default();
        let starts_after_ms = self.rng.random_range(0..RANDOM_FAULTS_MS);
        thread::sleep(Duration::from_millis(starts_after_ms));
        while Instant::now() < self.until {
            let host = self.hosts[self.rng.random_range(0..self.hosts.len())];
            let is_final = self.send_request(host, &mut observed);
            if is_final {
                break;
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(20..200)));
        }
        observed
    }

    /// Sends one random request to a host; returns whether the response is
    /// final.
    fn send_request(&mut self, host: SocketAddr, observed: &mut ClientObservations) -> bool {
        let caller = Caller::new(host)
            .with_key(CALLER_KEY)
            .with_header("x-deadline-ms", "1000")
            .with_timeout(RANDOM_CALL_TIMEOUT);
        let path = format!("/v1/tickets/{}", self.ticket);
        let kind = self.rng.random_range(0..20);
        let response = match kind {
            0 => caller.call("DELETE", &path, Vec::new()).ok(),
            1 => caller.get(&path).ok(),
            _ => try_confirm(&caller, &self.ticket, &random_key(self.number)),
        };
        let Some(response) = response else {
            return false;
        };
        let value = response.json();
        if response.run_state() == "not_run" || value["run_state"] == "not_run" {
            observed.not_run.push(self.number);
        }
        if kind < 2 {
            return false;
        }
        if response.status == 200 {
            observed.succeeded += 1;
            if value["runs"] != 1 || value["key"] != random_key(self.number).as_str() {
                observed.wrong_responses.push(format!("{response:?}"));
            }
        }
        !has_retry_after(&response)
    }
}

fn random_key(number: usize) -> String {
    format!("random {number}")
}

/// A fault that can be undone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    CutHost(usize),
    CutRegions(usize, usize),
    DropAnswers(usize),
    DropAfterRunning(usize),
}

impl Fault {
    fn draw(rng: &mut Pcg64Mcg, env: &TestEnv) -> Self {
        let host = rng.random_range(0..env.hosts.len());
        let region = rng.random_range(0..REGIONS.len());
        match rng.random_range(0..6) {
            0 => Self::Kill(host),
            1 => Self::Freeze(host),
            2 => Self::CutHost(host),
            3 => Self::CutRegions(region, (region + 1) % REGIONS.len()),
            4 => Self::DropAnswers(host),
            _ => Self::DropAfterRunning(rng.random_range(0..env.testbed.services.len())),
        }
    }

    /// Returns the host whose process it affects, if any.
    fn process(self) -> Option<usize> {
        match self {
            Self::Kill(host) | Self::Freeze(host) => Some(host),
            _ => None,
        }
    }

    fn start(self, env: &mut TestEnv) {
        match self {
            Self::Kill(host) => env.hosts[host].kill(),
            Self::Freeze(host) => env.hosts[host].signal(Signal::SIGSTOP),
            Self::CutHost(host) => env.testbed.seats[host].peer_wire.set_cut(true),
            Self::CutRegions(left, right) => {
                let (left, right) = (REGIONS[left], REGIONS[right]);
                env.testbed.set_cut_between(left, right, true);
            }
            Self::DropAnswers(host) => env.testbed.seats[host].peer_wire.drop_answers(2),
            Self::DropAfterRunning(service) => {
                env.testbed.services[service].standin.drop_after_running(2);
            }
        }
    }

    fn undo(self, env: &mut TestEnv) {
        match self {
            Self::Kill(host) => env.hosts[host].start(),
            Self::Freeze(host) => env.hosts[host].signal(Signal::SIGCONT),
            Self::CutHost(host) => env.testbed.seats[host].peer_wire.set_cut(false),
            Self::CutRegions(left, right) => {
                let (left, right) = (REGIONS[left], REGIONS[right]);
                env.testbed.set_cut_between(left, right, false);
            }
            Self::DropAnswers(host) => env.testbed.seats[host].peer_wire.drop_answers(0),
            Self::DropAfterRunning(service) => {
                env.testbed.services[service].standin.drop_after_running(0);
            }
        }
    }
}

/// Injects pairs of overlapping faults until `until`.
fn inject_pairs(env: &mut TestEnv, rng: &mut Pcg64Mcg, until: Instant) {
    while Instant::now() < until {
        let first = Fault::draw(rng, env);
        let second = loop {
            let fault = Fault::draw(rng, env);
            if fault.process().is_none() || fault.process() != first.process() {
                break fault;
            }
        };
        println!("faults: {first:?} and {second:?}");
        first.start(env);
        thread::sleep(Duration::from_millis(rng.random_range(0..200)));
        second.start(env);
        thread::sleep(Duration::from_millis(rng.random_range(50..1_000)));
        first.undo(env);
        second.undo(env);
        thread::sleep(Duration::from_millis(rng.random_range(0..300)));
    }
}

/// Returns the seed of a random test; `CARDAMOMBRIDGE_SEED` reproduces a run.
fn seed() -> u64 {
    let given = std::env::var("CARDAMOMBRIDGE_SEED").ok();
    given.map_or_else(rand::random, |text| {
        text.parse()
            .expect("CARDAMOMBRIDGE_SEED must be a whole number")
    })
}

/// Guards against a second run, or a run after `not_run`, for combinations of
/// faults that the other tests do not list.
#[test]
fn random_pairs_of_faults_never_run_a_ticket_twice() {
    let seed = seed();
    println!("CARDAMOMBRIDGE_SEED={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut env = env_with_successors();
    set_delay(&env, Duration::from_millis(50));
    let hosts: Vec<SocketAddr> = env.hosts.iter().map(|host| host.address).collect();
    let faults_until = Instant::now() + Duration::from_millis(RANDOM_FAULTS_MS);
    let until = faults_until + RANDOM_SETTLE;
    let mut clients = Vec::new();
    for number in 0..RANDOM_TICKETS {
        let owner = hosts[rng.random_range(0..hosts.len())];
        let ticket = ticket_of(&Caller::new(owner).with_key(CALLER_KEY));
        for _ in 0..RANDOM_CLIENTS_PER_TICKET {
            let client = RandomClient {
                hosts: hosts.clone(),
                number,
                ticket: ticket.clone(),
                rng: Pcg64Mcg::seed_from_u64(rng.random()),
                until,
            };
            clients.push(thread::spawn(move || client.run()));
        }
    }

    inject_pairs(&mut env, &mut rng, faults_until);
    let observed: Vec<ClientObservations> = clients
        .into_iter()
        .map(|client| client.join().expect("a client must end"))
        .collect();
    // A host that was paused may still have a call in progress.
    thread::sleep(REFUSAL_LIMIT);

    for number in 0..RANDOM_TICKETS {
        let count = runs(&env, &random_key(number));
        let is_reported_not_run = observed.iter().any(|one| one.not_run.contains(&number));
        assert!(count <= 1, "ticket {number} ran {count} times, seed {seed}");
        assert!(
            count == 0 || !is_reported_not_run,
            "ticket {number} ran and was reported as not run, seed {seed}\n{}",
            env.logs()
        );
    }
    for one in &observed {
        assert!(
            one.wrong_responses.is_empty(),
            "seed {seed}: {:?}",
            one.wrong_responses
        );
    }
    let succeeded: usize = observed.iter().map(|one| one.succeeded).sum();
    assert!(succeeded > 0, "no call succeeded, seed {seed}");
}
