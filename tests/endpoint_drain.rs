//! Guarantee `endpoint_drain`: a leaving endpoint receives no new requests after a
//! few seconds.

mod testenv;

use std::{
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
        Engine,
        TestbedOptions, //
    }, //
};
use testenv::{
    Caller,
    StreamAnswer,
    TestEnv,
    entry_hosts,
    expected_text,
    wait_for, //
};

/// Time after which a leaving endpoint must receive no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long new requests are checked for after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Delay with which hosts see changes of the list in these tests.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time limit for hosts to find each other, and for a stream to start.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of a response that takes several seconds.
const LONG_TOKENS: u64 = 200;

fn options() -> TestbedOptions {
    let speed = ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new()
        .with_hosts_per_region(2)
        .with_speed(speed)
}

fn start() -> TestEnv {
    let env = TestEnv::start(&options());
    for host in &env.hosts {
        wait_for(READY_TIMEOUT, "entry hosts of all regions", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
    env
}

/// The first engine of the home region, which is the one that leaves.
fn leaving_engine(env: &TestEnv) -> &Engine {
    let mut engines = env.testbed.engines_in("stred");
    engines.next().expect("the region has engines")
}

/// Number of requests that an engine has received so far.
fn received(engine: &Engine) -> usize {
    engine.standin.seen().len()
}

/// Sends requests with different prompts to every host of a region and returns how
/// many were served. Checks that refused requests did not run.
fn chat_with_each_host(env: &TestEnv, region: &str, round: usize) -> usize {
    let hosts = env.hosts.iter().filter(|host| host.region == region);
    let chats: Vec<_> = hosts
        .flat_map(|host| (0..4).map(move |number| (host, number)))
        .map(|(host, number)| {
            let caller = Caller::new(host.address).with_key(CALLER_KEY);
            let prompt = format!("{} {round} {number}", host.name);
            thread::spawn(move || caller.chat(&prompt, 2))
        })
        .collect();
    let mut served = 0;
    for chat in chats {
        let response = chat.join().expect("a caller must not panic");
        let response = response.expect("the host must respond");
        let is_served = response.status == 200;
        assert!(
            is_served || response.run_state() == "not_run",
            "{response:?}"
        );
        served += usize::from(is_served);
    }
    served
}

/// Keeps all hosts of a region busy for `time`.
fn chat_for(env: &TestEnv, region: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut round = 0;
    let mut served = 0;
    while Instant::now() < until {
        round += 1;
        served += chat_with_each_host(env, region, round);
    }
    assert!(served > 0, "no request was served:\n{}", env.logs());
}

/// Starts streams and waits until one of them runs at the engine that will leave.
fn start_streams(env: &TestEnv) -> Vec<(String, JoinHandle<StreamAnswer>)> {
    let mut streams = Vec::new();
    let engine = leaving_engine(env);
    for number in 0..12 {
        let caller = env.caller("stred");
        let prompt = format!("in progress {number}");
        let sent = prompt.clone();
        let stream = thread::spawn(move || {
            let stream = caller.stream(&sent, LONG_TOKENS);
            stream.expect("the host must respond")
        });
        streams.push((prompt, stream));
    }
    wait_for(READY_TIMEOUT, "a stream at the leaving engine", || {
        engine.standin.load().running > 0
    });
    streams
}

/// Checks that all streams are complete.
fn assert_complete(streams: Vec<(String, JoinHandle<StreamAnswer>)>) {
    for (prompt, stream) in streams {
        let stream = stream.join().expect("a caller must not panic");
        assert!(stream.has_done && stream.has_proper_end, "{stream:?}");
        assert_eq!(stream.text, expected_text(&prompt, LONG_TOKENS as usize));
    }
}

/// Checks that the engine gets no new requests although its region is busy, and
/// that none of its requests was cancelled.
fn assert_drained(env: &TestEnv) {
    let engine = leaving_engine(env);
    let before = received(engine);
    chat_for(env, "stred", OBSERVATION_TIME);
    assert_eq!(
        received(engine),
        before,
        "{} got new requests",
        engine.info.id
    );
    let seen = engine.standin.seen();
    assert!(
        seen.iter().all(|seen| !seen.is_cancelled),
        "a request was cancelled"
    );
}

/// Guards against hosts that ignore an endpoint's own report that it is leaving, and
/// against requests in progress being cancelled when it does.
#[test]
fn an_endpoint_that_reports_leaving_gets_no_new_requests() {
    let env = start();
    let streams = start_streams(&env);

    leaving_engine(&env).standin.set_leaving(true);

    chat_for(&env, "stred", DRAIN_TIMEOUT);
    assert_drained(&env);
    assert_complete(streams);
}

/// Guards against hosts that wait for the endpoint's own report although the list
/// already shows that it is leaving.
#[test]
fn an_endpoint_listed_as_leaving_gets_no_new_requests() {
    let env = start();
    let streams = start_streams(&env);
    env.testbed.platform.set_list_lag(LIST_LAG);

    mark_leaving(&env, leaving_engine(&env));

    chat_for(&env, "stred", DRAIN_TIMEOUT);
    assert_drained(&env);
    assert_complete(streams);
}

/// Shows an engine as leaving in the list.
fn mark_leaving(env: &TestEnv, engine: &Engine) {
    let list = env.testbed.list();
    let marked = list.set_leaving(engine.info.id.as_str(), true);
    marked.expect("the list must take the mark");
}

/// Guards against a leaving endpoint getting new requests because the list shows an
/// older state of it after the newer one.
#[test]
fn an_endpoint_stays_leaving_when_the_list_shows_it_live_out_of_order() {
    let env = start();
    let engine = leaving_engine(&env);
    env.testbed.platform.set_list_lag(LIST_LAG);
    mark_leaving(&env, engine);
    chat_for(&env, "stred", DRAIN_TIMEOUT);

    env.testbed
        .list()
        .register_endpoint(&engine.info)
        .expect("the list must take the endpoint");

    chat_for(&env, "stred", DRAIN_TIMEOUT);
    assert_drained(&env);
}

/// Guards against forwarded requests that reach a leaving endpoint of another
/// region.
#[test]
fn forwarded_requests_do_not_reach_a_leaving_endpoint() {
    let env = start();
    let engine = leaving_engine(&env);
    engine.standin.set_leaving(true);
    for region in ["zapad", "sever"] {
        for other in env.testbed.engines_in(region) {
            other.standin.set_leaving(true);
        }
    }
    thread::sleep(DRAIN_TIMEOUT);
    let before = received(engine);

    chat_for(&env, "zapad", OBSERVATION_TIME);

    assert_eq!(received(engine), before, "a forwarded request reached it");
    let mut stred = env.testbed.engines_in("stred").skip(1);
    let other = stred.next().expect("the region has two engines");
    assert!(received(other) > 0, "nothing was forwarded");
}
