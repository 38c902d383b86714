//! Guarantee `graceful_shutdown`: a graceful shutdown interrupts no request in
//! progress.

mod testenv;

use std::{
    fs,
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    model::ModelOptions,
    testbed::{
        CALLER_KEY,
        SERVICE,
        Testbed,
        TestbedOptions, //
    }, //
};
use nix::sys::signal::Signal;
use serde_json::json;
use testenv::{
    Caller,
    CallerResponse,
    StreamResponse,
    TestEnv,
    entry_hosts,
    expected_text,
    retry_while_refused,
    wait_for, //
};

const TOKENS: u64 = 150;
const REQUESTS_PER_KIND: usize = 3;
const SETUP_LIMIT: Duration = Duration::from_secs(5);
/// Time limit after which a leaving endpoint gets no new requests.
const LEAVING_ENDPOINT_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for other hosts to stop forwarding to a leaving host.
const FORWARDING_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for other hosts to stop listing a leaving host.
const LISTING_LIMIT: Duration = Duration::from_secs(3);
/// Covers the longest request and the handover of the tickets after it.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for an immediate effect; requests in progress take longer.
const IMMEDIATE_LIMIT: Duration = Duration::from_secs(1);
const SERVICE_DELAY: Duration = Duration::from_secs(2);

/// Options with engines that take three seconds for the responses of these tests.
fn options() -> TestbedOptions {
    let speed = ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new().with_speed(speed)
}

fn start(hosts_per_region: usize) -> TestEnv {
    let env = TestEnv::start(&options().with_hosts_per_region(hosts_per_region));
    for host in &env.hosts {
        wait_for(SETUP_LIMIT, "entry hosts of all regions", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
    env
}

/// Requests in progress through one host.
struct InProgress {
    chats: Vec<(String, JoinHandle<CallerResponse>)>,
    streams: Vec<(String, JoinHandle<StreamResponse>)>,
}

impl InProgress {
    fn start(caller: &Caller) -> Self {
        let prompts = |kind: &str| -> Vec<String> {
            let numbers = 0..REQUESTS_PER_KIND;
            numbers.map(|number| format!("{kind} {number}")).collect()
        };
        let chat = |prompt: String| {
            let (caller, sent) = (caller.clone(), prompt.clone());
            let call = move || {
                retry_while_refused(|| caller.chat(&sent, TOKENS), |response| response.status)
            };
            let call = move || call().0.expect("the host must answer");
            (prompt, thread::spawn(call))
        };
        let stream = |prompt: String| {
            let (caller, sent) = (caller.clone(), prompt.clone());
            let call = move || {
                retry_while_refused(|| caller.stream(&sent, TOKENS), |stream| stream.status)
            };
            let call = move || call().0.expect("the host must answer");
            (prompt, thread::spawn(call))
        };
        Self {
            chats: prompts("chat").into_iter().map(chat).collect(),
            streams: prompts("stream").into_iter().map(stream).collect(),
        }
    }

    fn assert_complete(self, env: &TestEnv) {
        for (prompt, chat) in self.chats {
            let response = chat.join().expect("a caller must not panic");
            assert_eq!(
                response.status,
                200,
                "{:?}\n{}",
                response.json(),
                env.logs()
            );
            assert_eq!(response.text(), expected_text(&prompt, TOKENS as usize));
        }
        for (prompt, stream) in self.streams {
            let stream = stream.join().expect("a caller must not panic");
            assert!(stream.has_done && stream.has_proper_end, "{stream:?}");
            assert_eq!(stream.text, expected_text(&prompt, TOKENS as usize));
        }
    }
}

/// Returns the number of requests running at the engines of `regions`.
fn running(env: &TestEnv, regions: &[&str]) -> usize {
    let engines = regions.iter().flat_map(|r| env.testbed.engines_in(r));
    engines.map(|e| e.standin.load().running as usize).sum()
}

fn wait_until_running(env: &TestEnv, regions: &[&str]) {
    wait_for(SETUP_LIMIT, "requests at the engines", || {
        running(env, regions) >= 2 * REQUESTS_PER_KIND
    });
}

/// Sets all engines of the home region to leaving, so that its requests are
/// forwarded.
fn drain_home_region(env: &TestEnv) {
    for engine in env.testbed.engines_in("stred") {
        engine.standin.set_leaving(true);
    }
    thread::sleep(LEAVING_ENDPOINT_LIMIT);
}

fn assert_exits_cleanly(env: &mut TestEnv, region: &str) {
    let host = env.host_mut(region);
    let status = host.wait(EXIT_TIMEOUT);
    let code = status.and_then(|status| status.code());
    assert_eq!(code, Some(0), "{}", host.log());
}

/// Guards against non-streamed responses, streams and ticketed calls that are
/// interrupted when their host shuts down.
#[test]
fn a_signal_interrupts_no_request_in_progress() {
    let mut env = start(2);
    let caller = env.caller("stred");
    for service in &env.testbed.services {
        service.standin.set_delay(SERVICE_DELAY);
    }
    let entry = caller.get(&format!("/v1/entry?service={SERVICE}"));
    let entry = entry.expect("the host must answer").json();
    let ticket = entry["ticket"].as_str().expect("a ticket").to_string();
    let in_progress = InProgress::start(&caller);
    let ordering = caller.clone().with_header("idempotency-key", &ticket);
    let order = thread::spawn(move || {
        let body = json!({"key": "order-1"}).to_string().into_bytes();
        ordering.call("POST", &format!("/v1/services/{SERVICE}/orders"), body)
    });
    wait_until_running(&env, &["stred", "zapad", "sever"]);
    wait_for(SETUP_LIMIT, "the call at the service", || {
        let mut services = env.testbed.services.iter();
        services.any(|service| !service.standin.seen().is_empty())
    });

    env.host("stred").signal(Signal::SIGTERM);

    in_progress.assert_complete(&env);
    let order = order.join().expect("a caller must not panic");
    assert_eq!(order.expect("the host must answer").status, 200);
    let runs = env
        .testbed
        .services
        .iter()
        .map(|s| s.standin.runs("order-1"));
    assert_eq!(runs.sum::<u32>(), 1);
    assert_exits_cleanly(&mut env, "stred");
}

/// Guards against forwarded requests that are interrupted when the host that
/// forwarded them shuts down.
#[test]
fn a_signal_at_the_forwarding_host_interrupts_no_request() {
    let mut env = start(1);
    drain_home_region(&env);
    let in_progress = InProgress::start(&env.caller("stred"));
    wait_until_running(&env, &["zapad", "sever"]);

    env.host("stred").signal(Signal::SIGTERM);

    in_progress.assert_complete(&env);
    assert_exits_cleanly(&mut env, "stred");
}

/// Guards against forwarded requests that are interrupted, or run a second time,
/// when the hosts that received them shut down.
#[test]
fn a_signal_at_the_receiving_hosts_interrupts_no_forwarded_request() {
    let mut env = start(1);
    drain_home_region(&env);
    let in_progress = InProgress::start(&env.caller("stred"));
    wait_until_running(&env, &["zapad", "sever"]);

    for region in ["zapad", "sever"] {
        env.host(region).signal(Signal::SIGTERM);
    }

    in_progress.assert_complete(&env);
    let engines = env.testbed.engines.iter();
    let runs = engines.flat_map(|engine| engine.standin.seen());
    assert_eq!(
        runs.filter(|seen| seen.has_run).count(),
        2 * REQUESTS_PER_KIND
    );
    for region in ["zapad", "sever"] {
        assert_exits_cleanly(&mut env, region);
    }
}

/// Guards against callers and hosts that continue to use a leaving host, because
/// it accepts new requests or stays on the list of entry hosts.
#[test]
fn a_leaving_host_refuses_new_requests_and_is_no_longer_listed() {
    let env = start(1);
    let in_progress = InProgress::start(&env.caller("zapad"));
    wait_until_running(&env, &["stred", "zapad", "sever"]);

    env.host("zapad").signal(Signal::SIGTERM);

    let signalled = Instant::now();
    wait_for(IMMEDIATE_LIMIT, "a leaving host", || {
        !env.host("zapad").is_ready()
    });
    let refused = env.caller("zapad").chat("new work", 4);
    let refused = refused.expect("the host must answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.run_state(), "not_run");
    assert_eq!(refused.json()["error"]["code"], "shutting_down");
    assert_eq!(refused.headers.get("connection"), Some("close"));
    for region in ["stred", "sever"] {
        let remaining = LISTING_LIMIT.saturating_sub(signalled.elapsed());
        wait_for(remaining, "the leaving host off the lists", || {
            !entry_hosts(env.host(region).address).contains(&"zapad-1".to_string())
        });
    }
    in_progress.assert_complete(&env);
}

/// Guards against requests that are forwarded to a leaving host.
#[test]
fn other_hosts_stop_forwarding_to_a_leaving_host() {
    let env = start(2);
    // Only zapad has usable engines, so all other regions forward to it.
    for engine in env.testbed.engines_in("sever") {
        engine.standin.set_leaving(true);
    }
    drain_home_region(&env);
    let in_progress = InProgress::start(&env.caller("zapad"));
    wait_until_running(&env, &["zapad"]);
    env.host("zapad").signal(Signal::SIGTERM);
    thread::sleep(FORWARDING_LIMIT);
    for seat in env.testbed.seats_in("zapad") {
        seat.peer_wire.watch_for("forwarded-marker");
    }

    for number in 0..20 {
        let prompt = format!("{number} forwarded-marker");
        let response = env.caller("stred").chat(&prompt, 1);
        response.expect("the host must answer");
    }

    let forwarded: Vec<u64> = env
        .testbed
        .seats_in("zapad")
        .map(|seat| seat.peer_wire.sightings("forwarded-marker"))
        .collect();
    assert_eq!(forwarded[0], 0, "the leaving host got {forwarded:?}");
    assert!(forwarded[1] > 0, "nothing was forwarded at all");
    in_progress.assert_complete(&env);
}

fn long_stream(env: &TestEnv) -> JoinHandle<StreamResponse> {
    let caller = env.caller("stred");
    // Takes eight seconds, within the deadline of ten.
    let call = move || caller.stream("long", 400).unwrap_or_default();
    let stream = thread::spawn(call);
    wait_for(SETUP_LIMIT, "a stream at an engine", || {
        running(env, &["stred", "zapad", "sever"]) > 0
    });
    stream
}

/// Guards against a draining host that an operator cannot stop before its requests
/// end.
#[test]
fn a_second_signal_stops_the_host_immediately() {
    let mut env = start(1);
    let stream = long_stream(&env);
    env.host("stred").signal(Signal::SIGTERM);
    thread::sleep(IMMEDIATE_LIMIT);
    assert!(env.host_mut("stred").wait(IMMEDIATE_LIMIT).is_none());

    env.host("stred").signal(Signal::SIGTERM);

    let status = env
        .host_mut("stred")
        .wait(IMMEDIATE_LIMIT)
        .expect("it must end");
    assert!(status.code().is_some_and(|code| code != 0), "{status}");
    let stream = stream.join().expect("a caller must not panic");
    assert!(!stream.has_done && !stream.has_proper_end);
}

/// Guards against a host that drains longer than `drain_limit`, because a request
/// takes longer.
#[test]
fn the_drain_limit_stops_the_host() {
    let limit = Duration::from_secs(2);
    let options = options();
    let mut env = TestEnv::prepare(&options);
    let settings = env.dir.path().join("stred-1.ini");
    let text = fs::read_to_string(&settings).expect("the settings were written");
    let lines = text
        .lines()
        .map(|line| match line.starts_with("drain_limit") {
            true => "drain_limit = 2000ms",
            false => line,
        });
    let text = lines.collect::<Vec<_>>().join("\n");
    fs::write(&settings, text).expect("the settings can be changed");
    let intents = Testbed::intent_text(&options);
    env.testbed.accept(&intents).expect("valid intents");
    env.hosts[0].start();
    env.hosts[0].wait_ready();
    wait_for(SETUP_LIMIT, "a served request", || {
        let response = Caller::new(env.hosts[0].address).with_key(CALLER_KEY);
        response
            .chat("warm", 1)
            .is_ok_and(|response| response.status == 200)
    });
    let _stream = long_stream(&env);

    let signalled = Instant::now();
    env.host("stred").signal(Signal::SIGTERM);

    let status = env.host_mut("stred").wait(limit + IMMEDIATE_LIMIT);
    let status = status.expect("it must end");
    assert!(signalled.elapsed() >= limit, "it did not drain");
    assert!(status.code().is_some_and(|code| code != 0), "{status}");
}
