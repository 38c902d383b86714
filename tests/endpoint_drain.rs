//! Promise `endpoint_drain`: a leaving endpoint receives no new work after a few
//! seconds.

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

/// Target for the last new work at a leaving endpoint.
const DRAINED: Duration = Duration::from_secs(3);
/// How long it is watched after that.
const WATCHED: Duration = Duration::from_secs(2);
/// By how much the list lags in these tests.
const LIST_LAG: Duration = Duration::from_secs(1);
const KNOWN: Duration = Duration::from_secs(5);
/// Length of an answer that takes several seconds.
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
        wait_for(KNOWN, "entry hosts of all regions", || {
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

/// Requests that an engine has received so far.
fn received(engine: &Engine) -> usize {
    engine.standin.seen().len()
}

/// Sends requests with prompts of their own through every host of a region;
/// returns how many were served. What is refused must not have run.
fn chat_through(env: &TestEnv, region: &str, round: usize) -> usize {
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
        let answer = chat.join().expect("a caller must not panic");
        let answer = answer.expect("the host must answer");
        let is_served = answer.status == 200;
        assert!(is_served || answer.run_state() == "not_run", "{answer:?}");
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
        served += chat_through(env, region, round);
    }
    assert!(served > 0, "no request was served:\n{}", env.logs());
}

/// Starts streams until one of them runs at the engine that will leave.
fn streams_at(env: &TestEnv) -> Vec<(String, JoinHandle<StreamAnswer>)> {
    let mut streams = Vec::new();
    let engine = leaving_engine(env);
    for number in 0..12 {
        let caller = env.caller("stred");
        let prompt = format!("in progress {number}");
        let sent = prompt.clone();
        let stream = thread::spawn(move || {
            let stream = caller.stream(&sent, LONG_TOKENS);
            stream.expect("the host must answer")
        });
        streams.push((prompt, stream));
    }
    wait_for(KNOWN, "a stream at the leaving engine", || {
        engine.standin.load().running > 0
    });
    streams
}

fn assert_whole(streams: Vec<(String, JoinHandle<StreamAnswer>)>) {
    for (prompt, stream) in streams {
        let stream = stream.join().expect("a caller must not panic");
        assert!(stream.has_done && stream.has_proper_end, "{stream:?}");
        assert_eq!(stream.text, expected_text(&prompt, LONG_TOKENS as usize));
    }
}

/// Checks that the engine gets no new work although its region is busy, and
/// that it cut nothing.
fn assert_drained(env: &TestEnv) {
    let engine = leaving_engine(env);
    let before = received(engine);
    chat_for(env, "stred", WATCHED);
    assert_eq!(received(engine), before, "{} got new work", engine.info.id);
    let seen = engine.standin.seen();
    assert!(seen.iter().all(|seen| !seen.is_cancelled), "work was cut");
}

/// Guards against hosts that miss an endpoint's own word, and against requests
/// in progress that are cut when it leaves.
#[test]
fn an_endpoint_that_says_it_is_leaving_gets_no_new_work() {
    let env = start();
    let streams = streams_at(&env);

    leaving_engine(&env).standin.set_leaving(true);

    chat_for(&env, "stred", DRAINED);
    assert_drained(&env);
    assert_whole(streams);
}

/// Guards against hosts that wait for the endpoint's own word when the list
/// already shows that it is leaving.
#[test]
fn an_endpoint_that_the_list_shows_leaving_gets_no_new_work() {
    let env = start();
    let streams = streams_at(&env);
    env.testbed.platform.set_list_lag(LIST_LAG);

    mark_leaving(&env, leaving_engine(&env));

    chat_for(&env, "stred", DRAINED);
    assert_drained(&env);
    assert_whole(streams);
}

/// Shows an engine as leaving in the list.
fn mark_leaving(env: &TestEnv, engine: &Engine) {
    let list = env.testbed.list();
    let marked = list.set_leaving(engine.info.id.as_str(), true);
    marked.expect("the list must take the mark");
}

/// Guards against an endpoint that returns because the list shows an older state
/// of it after the newer one.
#[test]
fn an_endpoint_stays_leaving_when_the_list_shows_it_live_out_of_order() {
    let env = start();
    let engine = leaving_engine(&env);
    env.testbed.platform.set_list_lag(LIST_LAG);
    mark_leaving(&env, engine);
    chat_for(&env, "stred", DRAINED);

    env.testbed
        .list()
        .register_endpoint(&engine.info)
        .expect("the list must take the endpoint");

    chat_for(&env, "stred", DRAINED);
    assert_drained(&env);
}

/// Guards against forwards that bring new work to a leaving endpoint of another
/// region.
#[test]
fn forwards_bring_no_new_work_to_a_leaving_endpoint() {
    let env = start();
    let engine = leaving_engine(&env);
    engine.standin.set_leaving(true);
    for region in ["zapad", "sever"] {
        for other in env.testbed.engines_in(region) {
            other.standin.set_leaving(true);
        }
    }
    thread::sleep(DRAINED);
    let before = received(engine);

    chat_for(&env, "zapad", WATCHED);

    assert_eq!(received(engine), before, "a forward brought new work");
    let mut stred = env.testbed.engines_in("stred").skip(1);
    let other = stred.next().expect("the region has two engines");
    assert!(received(other) > 0, "nothing was forwarded");
}
