//! Promise `partition`: during a network partition a region keeps serving its
//! own callers.

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
const OTHERS: [&str; 2] = ["stred", "sever"];
/// Target for everything to agree again after a cut.
const CONVERGED: Duration = Duration::from_secs(4);
/// Target for a leaving endpoint to get no new work.
const LEAVING_KNOWN: Duration = Duration::from_secs(3);
/// How long a region is watched while it is cut off; others are taken for dead
/// after 2 s and their summaries for old after 3 s.
const CUT: Duration = Duration::from_millis(3_500);
/// Length of the answers that a failure of the links meets.
const TOKENS: u64 = 150;
/// Streams, and as many plain answers, that it meets. More would use up the
/// retries that a host has saved, since each may need two.
const STREAMS: usize = 2;
/// Deadline of the intent, and the grace for the final answer.
const ANSWERED: Duration = Duration::from_secs(11);

fn addresses(env: &TestEnv, region: &str) -> Vec<SocketAddr> {
    let hosts = env.hosts.iter().filter(|host| host.region == region);
    hosts.map(|host| host.address).collect()
}

/// Waits until every host lists every host.
fn wait_until_all_are_known(env: &TestEnv, timeout: Duration) {
    for host in &env.hosts {
        wait_for(timeout, "entry hosts of all regions", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
}

fn assert_serves(env: &TestEnv, address: SocketAddr, prompt: &str) {
    let answer = Caller::new(address).with_key(CALLER_KEY).chat(prompt, 8);
    let answer = answer.expect("the host must answer");
    assert_eq!(answer.status, 200, "{:?}\n{}", answer.json(), env.logs());
    assert_eq!(answer.text(), expected_text(prompt, 8));
}

/// Checks that all hosts serve for as long as a cut is watched.
fn assert_all_serve(env: &TestEnv) {
    let until = Instant::now() + CUT;
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

/// Guards against a region that needs the store or another region to serve.
#[test]
fn a_region_serves_its_callers_while_it_is_cut_off() {
    let mut env = TestEnv::start(&two_hosts());
    wait_until_all_are_known(&env, CONVERGED);

    env.testbed.set_platform_cut("zapad", true);
    assert_all_serve(&env);
    env.testbed.set_cut_between("zapad", "stred", true);
    assert_all_serve(&env);
    env.testbed.set_cut_between("zapad", "sever", true);
    assert_all_serve(&env);
}

/// Cuts zapad off from the store and from both other regions, or joins it again.
fn set_zapad_cut(env: &mut TestEnv, is_cut: bool) {
    env.testbed.set_platform_cut("zapad", is_cut);
    for other in OTHERS {
        env.testbed.set_cut_between("zapad", other, is_cut);
    }
}

/// Guards against a host that gets its configuration only from the store.
#[test]
fn a_host_that_restarts_while_cut_off_becomes_ready_through_its_neighbour() {
    let mut env = TestEnv::start(&two_hosts());
    set_zapad_cut(&mut env, true);
    let revision = revision_at(env.host("zapad").address);

    let host = env.host_mut("zapad");
    host.kill();
    host.start();

    let address = env.host("zapad").address;
    wait_for(CONVERGED, "ready through a neighbour", || {
        revision_at(address) >= revision
    });
}

/// Guards against a host that is ready but cannot serve, since it knows no
/// endpoint.
#[test]
fn a_host_that_restarts_while_cut_off_serves() {
    let mut env = TestEnv::start(&two_hosts());
    wait_until_all_are_known(&env, CONVERGED);
    set_zapad_cut(&mut env, true);

    let host = env.host_mut("zapad");
    host.kill();
    host.start();
    env.host("zapad").wait_ready();
    thread::sleep(CUT);

    assert_serves(&env, env.host("zapad").address, "after a restart");
}

/// Guards against a host that takes work without a configuration.
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
    wait_for(CONVERGED, "an open port", || {
        Caller::new(address).get("/healthz").is_ok()
    });

    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        let answer = Caller::new(address).with_key(CALLER_KEY).chat("early", 8);
        let answer = answer.expect("the host must answer");

        assert!(!env.hosts[0].is_ready());
        assert_eq!(answer.status, 503);
        assert_eq!(answer.run_state(), "not_run");
        assert!(answer.headers.get("retry-after").is_some());
        thread::sleep(Duration::from_millis(100));
    }
    env.testbed.platform.set_down(false);

    wait_for(CONVERGED, "ready", || env.hosts[0].is_ready());
}

/// Guards against a region that stays behind after a cut.
#[test]
fn everything_converges_after_a_cut() {
    let options = two_hosts();
    let mut env = TestEnv::start(&options);
    wait_until_all_are_known(&env, CONVERGED);
    set_zapad_cut(&mut env, true);
    let changed = Testbed::intent_text(&options).replace("permille = 950", "permille = 940");
    let accepted = env.testbed.accept(&changed);
    let revision = accepted.expect("the change must be accepted").revision.0;
    thread::sleep(CUT);
    for address in addresses(&env, "zapad") {
        assert!(revision_at(address) < revision, "zapad is not cut off");
        assert_eq!(entry_hosts(address).len(), 2, "zapad is not cut off");
    }

    set_zapad_cut(&mut env, false);

    let joined = Instant::now();
    for host in &env.hosts {
        let left = CONVERGED.saturating_sub(joined.elapsed());
        wait_for(left, "the change in force", || {
            revision_at(host.address) >= revision
        });
    }
    for host in &env.hosts {
        let left = CONVERGED.saturating_sub(joined.elapsed());
        wait_for(left, "all hosts known", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
}

/// How the links between regions fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// All connections break.
    Cut,
    /// Nothing arrives, and nobody is told.
    Silence,
}

fn fail_links(env: &mut TestEnv, failure: Failure) {
    for (index, left) in REGIONS.iter().enumerate() {
        for right in &REGIONS[index + 1..] {
            if failure == Failure::Cut {
                env.testbed.set_cut_between(left, right, true);
            }
        }
    }
    if failure == Failure::Silence {
        for seat in &env.testbed.seats {
            seat.peer_wire.set_frozen(true);
        }
    }
}

/// Engines that take about three seconds for the longest answers of these tests.
fn slow_engines() -> ModelOptions {
    ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    }
}

/// Starts one more engine at home and puts it on the list.
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

/// Requests running at engines outside of home.
fn running_away(env: &TestEnv) -> u32 {
    let away = ["zapad", "sever"].into_iter();
    away.flat_map(|region| env.testbed.engines_in(region))
        .map(|engine| engine.standin.load().running)
        .sum()
}

fn assert_honest_stream(stream: &StreamResponse, prompt: &str) -> bool {
    let expected = expected_text(prompt, TOKENS as usize);
    if stream.error.is_none() && stream.status == 200 {
        assert!(stream.has_done && stream.has_proper_end, "{stream:?}");
        assert_eq!(stream.text, expected);
        return true;
    }
    assert!(expected.starts_with(&stream.text), "{stream:?}");
    let error = stream.error.clone().unwrap_or_default();
    let run_state = error["error"]["run_state"].as_str().unwrap_or_default();
    let honest = match stream.text.is_empty() {
        true => ["unknown", "not_run"].contains(&run_state),
        false => run_state == "partial",
    };
    assert!(honest, "{stream:?}");
    false
}

/// Lets forwarded requests meet a failure of the links; returns how many of the
/// streams and how many of the plain answers came whole.
fn forwarded_requests_meet(failure: Failure) -> (usize, usize) {
    let options = TestbedOptions::new()
        .with_engines_per_region(1)
        .with_speed(slow_engines());
    let mut env = TestEnv::start(&options);
    wait_until_all_are_known(&env, CONVERGED);
    for engine in env.testbed.engines_in("stred") {
        engine.standin.set_leaving(true);
    }
    // Requests that go to the leaving engine first would use up retries.
    thread::sleep(LEAVING_KNOWN);
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
                    |answer| answer.status,
                )
            })
        })
        .collect();
    wait_for(Duration::from_secs(2), "requests in other regions", || {
        running_away(&env) >= 2 * STREAMS as u32
    });
    let late = add_home_engine(&env);
    wait_for(Duration::from_secs(2), "home with an engine again", || {
        // Refusals are fine here; what counts is that home uses its engine.
        let _ = caller.chat("home again", 1);
        !late.seen().is_empty()
    });

    fail_links(&mut env, failure);

    let mut whole = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let (stream, took) = stream.join().expect("a caller must not panic");
        let stream = stream.expect("the host must answer");
        whole.0 += usize::from(assert_honest_stream(&stream, &prompt(number)));
        assert!(took < ANSWERED, "a stream took {took:?}");
    }
    for (number, chat) in chats.into_iter().enumerate() {
        let (answer, took) = chat.join().expect("a caller must not panic");
        let answer = answer.expect("the host must answer");
        assert!(took < ANSWERED, "an answer took {took:?}");
        if answer.status == 200 {
            assert_eq!(
                answer.text(),
                expected_text(&prompt(STREAMS + number), TOKENS as usize)
            );
            whole.1 += 1;
        } else {
            assert!(["unknown", "not_run"].contains(&answer.run_state().as_str()));
        }
    }
    whole
}

/// Guards against a caller left with a cut answer, or one that is called whole,
/// when the link to the region that answers breaks.
#[test]
fn forwarded_requests_resume_at_home_when_the_links_break() {
    let (streams, answers) = forwarded_requests_meet(Failure::Cut);

    assert!(streams > 0, "no stream was resumed");
    assert!(answers > 0, "no answer was repeated");
}

/// Guards against a caller that waits past its deadline because a link fails
/// without a sign.
#[test]
fn forwarded_requests_end_by_their_deadline_when_the_links_fall_silent() {
    let (streams, _answers) = forwarded_requests_meet(Failure::Silence);

    assert!(streams > 0, "no stream was resumed");
}
