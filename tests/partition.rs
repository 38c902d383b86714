//! Guarantee `partition`: during a network partition a region continues to serve
//! its own callers.

mod testenv;

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    decision::view::EndpointInfo,
    standin::{
        engine::{
            EngineOptions,
            EngineStandin, //
        },
        model::ModelOptions,
        testbed::{
            CALLER_KEY,
            MODEL,
            Testbed,
            TestbedOptions, //
        }, //
    }, //
};
use testenv::{
    Caller,
    StreamResponse,
    TestEnv,
    entry_hosts,
    expected_text,
    retry_while_refused,
    revision_at,
    wait_for, //
};

const REGIONS: [&str; 3] = ["stred", "zapad", "sever"];
const OTHER_REGIONS: [&str; 2] = ["stred", "sever"];
/// Time limit for all hosts to converge after a partition.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(4);
/// Time limit after which a leaving endpoint gets no new requests.
const LEAVING_ENDPOINT_LIMIT: Duration = Duration::from_secs(3);
/// Duration of a partition; other hosts are considered dead after 2 s and their
/// summaries stale after 3 s.
const PARTITION_DURATION: Duration = Duration::from_millis(3_500);
/// Length of the responses that are in progress when the links fail.
const TOKENS: u64 = 150;
/// Streams, and as many non-streamed responses, in progress when the links fail.
/// More would exceed the retry budget of a host, since each may need two retries.
const STREAMS: usize = 2;
/// Deadline that the intent sets, plus the time allowed for the final response.
const RESPONSE_LIMIT: Duration = Duration::from_secs(11);

fn addresses(env: &TestEnv, region: &str) -> Vec<SocketAddr> {
    let hosts = env.hosts.iter().filter(|host| host.region == region);
    hosts.map(|host| host.address).collect()
}

/// Waits until every host lists every host.
fn wait_until_all_hosts_are_listed(env: &TestEnv, timeout: Duration) {
    for host in &env.hosts {
        wait_for(timeout, "entry hosts of all regions", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
}

fn assert_serves(env: &TestEnv, address: SocketAddr, prompt: &str) {
    let response = Caller::new(address).with_key(CALLER_KEY).chat(prompt, 8);
    let response = response.expect("the host must answer");
    assert_eq!(
        response.status,
        200,
        "{:?}\n{}",
        response.json(),
        env.logs()
    );
    assert_eq!(response.text(), expected_text(prompt, 8));
}

/// Checks that all hosts serve throughout a partition.
fn assert_all_serve(env: &TestEnv) {
    let until = Instant::now() + PARTITION_DURATION;
    let mut number = 0;
    while Instant::now() < until {
        for host in &env.hosts {
            number += 1;
            assert_serves(env, host.address, &format!("cut off {number}"));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn two_hosts() -> TestbedOptions {
    TestbedOptions::new().with_hosts_per_region(2)
}

/// Guards against a region that depends on the store or on another region to
/// serve its callers.
#[test]
fn a_region_serves_its_callers_while_it_is_cut_off() {
    let mut env = TestEnv::start(&two_hosts());
    wait_until_all_hosts_are_listed(&env, CONVERGENCE_LIMIT);

    env.testbed.set_platform_cut("zapad", true);
    assert_all_serve(&env);
    env.testbed.set_cut_between("zapad", "stred", true);
    assert_all_serve(&env);
    env.testbed.set_cut_between("zapad", "sever", true);
    assert_all_serve(&env);
}

/// Partitions zapad from the store and from both other regions, or reconnects it.
fn set_zapad_partitioned(env: &mut TestEnv, is_cut: bool) {
    env.testbed.set_platform_cut("zapad", is_cut);
    for other in OTHER_REGIONS {
        env.testbed.set_cut_between("zapad", other, is_cut);
    }
}

/// Guards against a host that can read its configuration only from the store: it
/// restarts during a partition and must get it from another host of its region.
#[test]
fn a_host_that_restarts_while_cut_off_becomes_ready_through_another_host() {
    let mut env = TestEnv::start(&two_hosts());
    set_zapad_partitioned(&mut env, true);
    let revision = revision_at(env.host("zapad").address);

    let host = env.host_mut("zapad");
    host.kill();
    host.start();

    let address = env.host("zapad").address;
    wait_for(CONVERGENCE_LIMIT, "ready through another host", || {
        revision_at(address) >= revision
    });
}

/// Guards against a host that is ready but cannot serve, because it restarted
/// during a partition and knows no endpoint.
#[test]
fn a_host_that_restarts_while_cut_off_serves() {
    let mut env = TestEnv::start(&two_hosts());
    wait_until_all_hosts_are_listed(&env, CONVERGENCE_LIMIT);
    set_zapad_partitioned(&mut env, true);

    let host = env.host_mut("zapad");
    host.kill();
    host.start();
    env.host("zapad").wait_ready();
    thread::sleep(PARTITION_DURATION);

    assert_serves(&env, env.host("zapad").address, "after a restart");
}

/// Guards against a host that accepts requests without a configuration: it starts
/// while the store is down and no other host can supply one.
#[test]
fn a_host_that_starts_alone_during_an_outage_refuses_until_the_store_is_back() {
    let options = TestbedOptions::new();
    let mut env = TestEnv::prepare(&options);
    let intents = Testbed::intent_text(&options);
    env.testbed
        .accept(&intents)
        .expect("the intents must be accepted");
    env.testbed.platform.set_down(true);
    env.hosts[0].start();
    let address = env.hosts[0].address;
    wait_for(CONVERGENCE_LIMIT, "an open port", || {
        Caller::new(address).get("/healthz").is_ok()
    });

    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        let response = Caller::new(address).with_key(CALLER_KEY).chat("early", 8);
        let response = response.expect("the host must answer");

        assert!(!env.hosts[0].is_ready());
        assert_eq!(response.status, 503);
        assert_eq!(response.run_state(), "not_run");
        assert!(response.headers.get("retry-after").is_some());
        thread::sleep(Duration::from_millis(100));
    }
    env.testbed.platform.set_down(false);

    wait_for(CONVERGENCE_LIMIT, "ready", || env.hosts[0].is_ready());
}

/// Guards against a region that keeps an old revision or list of hosts after a
/// partition ends.
#[test]
fn all_hosts_converge_after_a_partition() {
    let options = two_hosts();
    let mut env = TestEnv::start(&options);
    wait_until_all_hosts_are_listed(&env, CONVERGENCE_LIMIT);
    set_zapad_partitioned(&mut env, true);
    let changed = Testbed::intent_text(&options).replace("permille = 950", "permille = 940");
    let accepted = env.testbed.accept(&changed);
    let revision = accepted.expect("the change must be accepted").revision.0;
    thread::sleep(PARTITION_DURATION);
    for address in addresses(&env, "zapad") {
        assert!(revision_at(address) < revision, "zapad is not cut off");
        assert_eq!(entry_hosts(address).len(), 2, "zapad is not cut off");
    }

    set_zapad_partitioned(&mut env, false);

    let reconnected = Instant::now();
    for host in &env.hosts {
        let remaining = CONVERGENCE_LIMIT.saturating_sub(reconnected.elapsed());
        wait_for(remaining, "the change in force", || {
            revision_at(host.address) >= revision
        });
    }
    for host in &env.hosts {
        let remaining = CONVERGENCE_LIMIT.saturating_sub(reconnected.elapsed());
        wait_for(remaining, "all hosts known", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
}

/// How the links between regions fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// All connections are closed.
    Cut,
    /// Traffic stops, but connections stay open and report no error.
    Freeze,
}

fn fail_links(env: &mut TestEnv, failure: Failure) {
    for (index, left) in REGIONS.iter().enumerate() {
        for right in &REGIONS[index + 1..] {
            if failure == Failure::Cut {
                env.testbed.set_cut_between(left, right, true);
            }
        }
    }
    if failure == Failure::Freeze {
        for seat in &env.testbed.seats {
            seat.peer_wire.set_frozen(true);
        }
    }
}

/// Engines that take about three seconds for the longest responses of these tests.
fn slow_engines() -> ModelOptions {
    ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    }
}

/// Starts one more engine in the home region and registers it.
fn add_home_engine(env: &TestEnv) -> EngineStandin {
    let options = EngineOptions::new(MODEL).with_speed(slow_engines());
    let standin = EngineStandin::start(options).expect("the engine must start");
    let known = env.testbed.engines_in("stred").next().expect("an engine");
    let info = EndpointInfo {
        id: "engine-stred-late".parse().expect("valid endpoint"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, standin.address().port())),
        ..known.info.clone()
    };
    let listed = env.testbed.list().register_endpoint(&info);
    listed.expect("the engine must be listed");
    standin
}

/// Requests running at engines outside the home region.
fn running_remotely(env: &TestEnv) -> u32 {
    let remote = ["zapad", "sever"].into_iter();
    remote
        .flat_map(|region| env.testbed.engines_in(region))
        .map(|engine| engine.standin.load().running)
        .sum()
}

/// Checks that a stream is complete, or ends with an error that states the
/// request's run state; returns whether it is complete.
fn assert_stream_state(stream: &StreamResponse, prompt: &str) -> bool {
    let expected = expected_text(prompt, TOKENS as usize);
    if stream.error.is_none() && stream.status == 200 {
        assert!(stream.has_done && stream.has_proper_end, "{stream:?}");
        assert_eq!(stream.text, expected);
        return true;
    }
    assert!(expected.starts_with(&stream.text), "{stream:?}");
    let error = stream.error.clone().unwrap_or_default();
    let run_state = error["error"]["run_state"].as_str().unwrap_or_default();
    let is_consistent = match stream.text.is_empty() {
        true => ["unknown", "not_run"].contains(&run_state),
        false => run_state == "partial",
    };
    assert!(is_consistent, "{stream:?}");
    false
}

/// Fails the links while forwarded requests are in progress; returns how many
/// streams and how many non-streamed responses were complete.
fn fail_links_during_forwarding(failure: Failure) -> (usize, usize) {
    let options = TestbedOptions::new()
        .with_engines_per_region(1)
        .with_speed(slow_engines());
    let mut env = TestEnv::start(&options);
    wait_until_all_hosts_are_listed(&env, CONVERGENCE_LIMIT);
    for engine in env.testbed.engines_in("stred") {
        engine.standin.set_leaving(true);
    }
    // Requests sent to the leaving engines first would use up the retry budget.
    thread::sleep(LEAVING_ENDPOINT_LIMIT);
    let caller = env.caller("stred");
    let prompt = |number: usize| format!("forwarded {number}");
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                retry_while_refused(
                    || caller.stream(&prompt(number), TOKENS),
                    |stream| stream.status,
                )
            })
        })
        .collect();
    let chats: Vec<_> = (STREAMS..2 * STREAMS)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                retry_while_refused(
                    || caller.chat(&prompt(number), TOKENS),
                    |response| response.status,
                )
            })
        })
        .collect();
    wait_for(Duration::from_secs(2), "requests in other regions", || {
        running_remotely(&env) >= 2 * STREAMS as u32
    });
    let late = add_home_engine(&env);
    wait_for(
        Duration::from_secs(2),
        "an engine in the home region again",
        || {
            // Refusals are accepted: the request must only reach the new engine.
            let _ = caller.chat("home again", 1);
            !late.seen().is_empty()
        },
    );

    fail_links(&mut env, failure);

    let mut complete = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let (stream, took) = stream.join().expect("a caller must not panic");
        let stream = stream.expect("the host must answer");
        complete.0 += usize::from(assert_stream_state(&stream, &prompt(number)));
        assert!(took < RESPONSE_LIMIT, "a stream took {took:?}");
    }
    for (number, chat) in chats.into_iter().enumerate() {
        let (response, took) = chat.join().expect("a caller must not panic");
        let response = response.expect("the host must answer");
        assert!(took < RESPONSE_LIMIT, "a response took {took:?}");
        if response.status == 200 {
            assert_eq!(
                response.text(),
                expected_text(&prompt(STREAMS + number), TOKENS as usize)
            );
            complete.1 += 1;
        } else {
            assert!(["unknown", "not_run"].contains(&response.run_state().as_str()));
        }
    }
    complete
}

/// Guards against a truncated response, or one that is reported as complete, when
/// the connections to the region that serves a forwarded request are closed.
#[test]
fn forwarded_requests_resume_at_home_when_the_links_break() {
    let (streams, answers) = fail_links_during_forwarding(Failure::Cut);

    assert!(streams > 0, "no stream was resumed");
    assert!(answers > 0, "no request was retried");
}

/// Guards against a caller that waits past its deadline because a link stops
/// delivering data without closing its connections.
#[test]
fn forwarded_requests_end_by_their_deadline_when_the_links_freeze() {
    let (streams, _answers) = fail_links_during_forwarding(Failure::Freeze);

    assert!(streams > 0, "no stream was resumed");
}
