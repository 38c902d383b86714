//! Guarantee `whole_answer`: every caller receives the complete response to its
//! own request, or can see that the response is incomplete.
//!
//! The engines derive each response from its prompt, so every byte is known. All
//! prompts differ, so a response that reaches the wrong caller is seen as well.

mod testenv;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    decision::view::EndpointInfo,
    http::{
        client::{
            self,
            HttpRequest, //
        },
        message::Headers, //
    },
    standin::{
        engine::{
            EngineFault,
            EngineOptions,
            EngineStandin,
            SeenRequest, //
        },
        model::ModelOptions,
        testbed::{
            CALLER_KEY,
            Engine,
            MODEL,
            TestbedOptions, //
        },
        wire::{
            Direction,
            Flow, //
        }, //
    }, //
};
use expect_test::expect;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use testenv::{
    Caller,
    StreamResponse,
    TestEnv,
    chat_body,
    expected_text,
    wait_for, //
};

/// Longest wait for an effect that takes the hosts seconds at most.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Longest time for which work may continue after its caller disconnects.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
/// Tokens of each response.
const RESPONSE_TOKENS: usize = 24;
/// Number of concurrent callers.
const CONCURRENT_CALLERS: usize = 24;
/// How long faults are injected under load.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Deadline of the calls under load, below the time after which a host considers
/// a stream stalled.
const LOAD_DEADLINE_MS: &str = "2000";
/// Regions of the testbed.
const REGIONS: [&str; 3] = ["stred", "zapad", "sever"];

fn start(options: &TestbedOptions) -> TestEnv {
    let env = TestEnv::start(options);
    env.wait_settled();
    env
}

fn env() -> TestEnv {
    start(&TestbedOptions::new())
}

/// Engines that take about 20 ms for each token.
fn slow_engines() -> TestbedOptions {
    let speed = ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new().with_speed(speed)
}

fn expected(prompt: &str) -> String {
    expected_text(prompt, RESPONSE_TOKENS)
}

fn stream(caller: &Caller, prompt: &str) -> StreamResponse {
    let response = caller.stream(prompt, RESPONSE_TOKENS as u64);
    response.expect("the host must answer")
}

/// Asserts that a stream is a prefix of the expected response, and all of it if it
/// is marked as complete.
fn assert_correct_stream(response: &StreamResponse, prompt: &str) {
    let expected = expected(prompt);
    assert!(
        expected.starts_with(&response.text),
        "{prompt}: {response:?}"
    );
    if response.status != 200 {
        assert!(response.error.is_some(), "{prompt}: {response:?}");
        return;
    }
    let is_complete = response.text == expected;
    assert!(is_complete || !response.has_done, "{prompt}: {response:?}");
    assert_eq!(
        response.has_done, response.has_proper_end,
        "{prompt}: {response:?}"
    );
}

fn set_fault(env: &TestEnv, region: &str, fault: Option<EngineFault>) {
    for engine in env.testbed.engines_in(region) {
        engine.standin.set_fault(fault);
    }
}

fn fail_next(env: &TestEnv, fault: EngineFault) {
    for engine in &env.testbed.engines {
        engine.standin.fail_next(fault);
    }
}

fn received_requests(env: &TestEnv) -> Vec<SeenRequest> {
    let engines = env.testbed.engines.iter();
    engines.flat_map(|engine| engine.standin.seen()).collect()
}

/// Guards against lost or repeated tokens when a stream resumes at another
/// engine, and against a truncated response without streaming that is relayed.
#[test]
fn response_is_complete_after_a_fault_at_one_engine() {
    let mut session = String::new();
    // Each group has its own hosts, because a host retries at most ten requests
    // in a burst.
    for faults in [
        [
            EngineFault::CutAfter(0),
            EngineFault::CutAfter(7),
            EngineFault::TruncatedChunk(0),
            EngineFault::TruncatedChunk(9),
        ]
        .as_slice(),
        [
            EngineFault::NoDone,
            EngineFault::WrongLength,
            EngineFault::StallAfter(5),
        ]
        .as_slice(),
    ] {
        let env = env();
        for fault in faults {
            session += &stream_with_fault_at_each_engine(&env, *fault);
        }
    }
    let env = env();
    let caller = env.caller("stred");
    for fault in [
        EngineFault::CutAfter(7),
        EngineFault::TruncatedChunk(0),
        EngineFault::WrongLength,
    ] {
        fail_next(&env, fault);
        let prompt = format!("plain {fault:?}");
        let response = caller.chat(&prompt, RESPONSE_TOKENS as u64);
        let response = response.expect("the host must answer");
        let is_complete = response.text() == expected(&prompt);
        session += &format!("plain {fault:?}: {} whole={is_complete}\n", response.status);
    }

    expect![[r#"
        stream CutAfter(0) at engine-stred-1: whole=true
        stream CutAfter(0) at engine-stred-2: whole=true
        stream CutAfter(7) at engine-stred-1: whole=true
        stream CutAfter(7) at engine-stred-2: whole=true
        stream TruncatedChunk(0) at engine-stred-1: whole=true
        stream TruncatedChunk(0) at engine-stred-2: whole=true
        stream TruncatedChunk(9) at engine-stred-1: whole=true
        stream TruncatedChunk(9) at engine-stred-2: whole=true
        stream NoDone at engine-stred-1: whole=true
        stream NoDone at engine-stred-2: whole=true
        stream WrongLength at engine-stred-1: whole=true
        stream WrongLength at engine-stred-2: whole=true
        stream StallAfter(5) at engine-stred-1: whole=true
        stream StallAfter(5) at engine-stred-2: whole=true
        plain CutAfter(7): 200 whole=true
        plain TruncatedChunk(0): 200 whole=true
        plain WrongLength: 200 whole=true
    "#]]
    .assert_eq(&session);
}

/// Requests one stream for each engine of the region with a fault at that engine;
/// the other engine is healthy.
fn stream_with_fault_at_each_engine(env: &TestEnv, fault: EngineFault) -> String {
    let caller = env.caller("stred");
    let mut lines = String::new();
    for engine in env.testbed.engines_in("stred") {
        set_fault(env, "stred", None);
        engine.standin.set_fault(Some(fault));
        let prompt = format!("stream {fault:?} at {}", engine.info.id);

        let response = stream(&caller, &prompt);

        assert_correct_stream(&response, &prompt);
        let is_complete = response.text == expected(&prompt) && response.has_done;
        lines += &format!("{prompt}: whole={is_complete}\n");
    }
    set_fault(env, "stred", None);
    lines
}

/// Guards against a stream that is marked as complete, or contains a second
/// response, although no engine can complete it.
#[test]
fn stream_that_no_engine_completes_is_reported_as_partial() {
    let env = env();
    let caller = env.caller("stred");
    for (then, name) in [
        (EngineFault::CutAfter(0), "cut"),
        (EngineFault::Status(500), "failure"),
        (EngineFault::NoDone, "no done"),
    ] {
        fail_next(&env, EngineFault::CutAfter(3));
        for region in REGIONS {
            set_fault(&env, region, Some(then));
        }
        let prompt = format!("partial {name}");

        let response = stream(&caller, &prompt);

        assert_correct_stream(&response, &prompt);
        assert!(!response.text.is_empty(), "{name}");
        assert!(!response.has_done && !response.has_proper_end, "{name}");
        let error = response.error.unwrap_or_default();
        assert_eq!(error["error"]["run_state"], "partial", "{name}");
    }
}

/// Guards against a continued stream whose second engine ignores the
/// continuation and generates the response from the start.
#[test]
fn stream_is_not_continued_by_an_engine_that_restarts_it() {
    let env = env();
    let engines: Vec<EngineStandin> = env
        .testbed
        .engines_in("stred")
        .map(|listed| replace_without_continuation(&env, listed))
        .collect();
    let caller = env.caller("stred");
    let is_listed = || {
        let response = caller.chat("probe", 1);
        response.is_ok() && engines.iter().any(|engine| !engine.seen().is_empty())
    };
    wait_for(WAIT_LIMIT, "the hosts read the list", is_listed);
    for engine in &engines {
        engine.fail_next(EngineFault::CutAfter(5));
    }

    let response = stream(&caller, "continued");

    assert_correct_stream(&response, "continued");
}

fn replace_without_continuation(env: &TestEnv, listed: &Engine) -> EngineStandin {
    let options = EngineOptions::new(MODEL).without_continuation();
    let engine = EngineStandin::start(options).expect("the engine must start");
    let info = EndpointInfo {
        address: engine.address(),
        can_continue: false,
        ..listed.info.clone()
    };
    let registered = env.testbed.list().register_endpoint(&info);
    registered.expect("the engine must be listed");
    engine
}

/// Guards against responses to the wrong caller and incomplete responses that are
/// marked as complete, under load with faults at the engines and between hosts.
#[test]
fn every_response_under_load_and_faults_is_complete_or_reported_as_incomplete() {
    let seed = seed();
    println!("CARDAMOMBRIDGE_SEED={seed}");
    let env = forwarding_env(&TestbedOptions::new());
    let until = Instant::now() + LOAD_DURATION;
    let callers: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|number| {
            let caller = env.caller(REGIONS[number % REGIONS.len()]);
            let caller = caller.with_header("x-deadline-ms", LOAD_DEADLINE_MS);
            thread::spawn(move || send_requests_until(&caller, number, until))
        })
        .collect();

    inject_faults(&env, &mut Pcg64Mcg::seed_from_u64(seed), until);
    let counts: Vec<Counts> = callers
        .into_iter()
        .map(|caller| caller.join().expect("every response must be correct"))
        .collect();

    let complete: usize = counts.iter().map(|one| one.complete).sum();
    let incomplete: usize = counts.iter().map(|one| one.incomplete).sum();
    println!("complete={complete} incomplete={incomplete}");
    assert!(
        complete > CONCURRENT_CALLERS,
        "only {complete} complete responses, seed {seed}"
    );
    assert!(incomplete > 0, "no fault reached a caller, seed {seed}");
    let attempts = received_requests(&env).len();
    assert!(attempts > complete, "no request was retried, seed {seed}");
}

#[derive(Debug, Default)]
struct Counts {
    complete: usize,
    incomplete: usize,
}

/// Requests streamed and other responses in turn and checks every byte.
fn send_requests_until(caller: &Caller, number: usize, until: Instant) -> Counts {
    let mut counts = Counts::default();
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let prompt = format!("caller {number} turn {turn}");
        let is_complete = match turn % 2 {
            0 => caller
                .stream(&prompt, RESPONSE_TOKENS as u64)
                .is_ok_and(|response| {
                    assert_correct_stream(&response, &prompt);
                    response.has_done
                }),
            _ => caller
                .chat(&prompt, RESPONSE_TOKENS as u64)
                .is_ok_and(|response| {
                    let is_complete = response.status == 200;
                    if is_complete {
                        assert_eq!(response.text(), expected(&prompt));
                    }
                    is_complete
                }),
        };
        counts.complete += usize::from(is_complete);
        counts.incomplete += usize::from(!is_complete);
        if !is_complete {
            thread::sleep(Duration::from_millis(50));
        }
    }
    counts
}

/// The seed of a random test; `CARDAMOMBRIDGE_SEED` repeats a run.
fn seed() -> u64 {
    let given = std::env::var("CARDAMOMBRIDGE_SEED").ok();
    given.map_or_else(rand::random, |text| {
        text.parse()
            .expect("CARDAMOMBRIDGE_SEED must be a whole number")
    })
}

/// Makes single requests fail at random engines, and changes the fault between
/// hosts every few hundred milliseconds.
///
/// A permanent fault at one engine would soon affect no request, because the hosts
/// avoid an engine that fails.
fn inject_faults(env: &TestEnv, rng: &mut Pcg64Mcg, until: Instant) {
    while Instant::now() < until {
        let seat = rng.random_range(0..env.testbed.seats.len());
        let wire = &env.testbed.seats[seat].peer_wire;
        match rng.random_range(0..3) {
            0 => wire.drop_answers(3),
            1 => wire.set_cut(true),
            _ => wire.set_flow(Direction::ToCaller, Flow::Hold),
        }
        for _ in 0..rng.random_range(2..10) {
            let engine = rng.random_range(0..env.testbed.engines.len());
            let engine = &env.testbed.engines[engine].standin;
            engine.fail_next(draw_fault(rng));
            thread::sleep(Duration::from_millis(rng.random_range(10..50)));
        }
        wire.drop_answers(0);
        wire.set_cut(false);
        wire.set_flow(Direction::ToCaller, Flow::Pass);
        thread::sleep(Duration::from_millis(rng.random_range(10..100)));
    }
}

fn draw_fault(rng: &mut Pcg64Mcg) -> EngineFault {
    let after = rng.random_range(0..RESPONSE_TOKENS);
    match rng.random_range(0..6) {
        0 => EngineFault::CutAfter(after),
        1 => EngineFault::StallAfter(after),
        2 => EngineFault::TruncatedChunk(after),
        3 => EngineFault::NoDone,
        4 => EngineFault::WrongLength,
        _ => EngineFault::Status(500),
    }
}

/// Starts an environment whose region zapad has no engines, so that its host
/// forwards requests.
fn forwarding_env(options: &TestbedOptions) -> TestEnv {
    let env = start(options);
    let list = env.testbed.list();
    for engine in env.testbed.engines_in("zapad") {
        engine.standin.set_leaving(true);
        let removed = list.deregister(engine.info.id.as_str());
        removed.expect("the engine must be deregistered");
    }
    let caller = env.caller("zapad");
    let is_forwarded = || {
        let response = caller.chat("probe", 1);
        response.is_ok_and(|response| response.status == 200)
    };
    wait_for(WAIT_LIMIT, "zapad forwards", is_forwarded);
    env
}

/// Holds back or releases the responses of all hosts to other hosts.
fn hold_host_responses(env: &TestEnv, is_held: bool) {
    for seat in &env.testbed.seats {
        let flow = if is_held { Flow::Hold } else { Flow::Pass };
        seat.peer_wire.set_flow(Direction::ToCaller, flow);
    }
}

/// Requests a stream in zapad and disconnects zapad from the serving region after
/// five tokens. Returns the response and how many attempts reached an engine.
fn interrupt_forwarded_stream(env: &mut TestEnv, turn: usize) -> (StreamResponse, usize) {
    let caller = env.caller("zapad");
    let prompt = format!("forwarded {turn}");
    let before = received_requests(env).len();

    let response = caller.stream_with(&prompt, RESPONSE_TOKENS as u64, |pieces| {
        if pieces == 5 {
            let serving = serving_region(env);
            env.testbed.set_cut_between("zapad", serving, true);
        }
    });
    for region in REGIONS {
        env.testbed.set_cut_between("zapad", region, false);
    }

    let response = response.expect("the host must answer");
    assert_correct_stream(&response, &prompt);
    (response, received_requests(env).len() - before)
}

/// Returns the region in which an engine runs a request.
fn serving_region(env: &TestEnv) -> &'static str {
    let runs = |region: &&&str| {
        let mut engines = env.testbed.engines_in(region);
        engines.any(|engine| engine.standin.load().running > 0)
    };
    REGIONS
        .iter()
        .find(runs)
        .expect("an engine must run the stream")
}

/// Guards against lost or repeated tokens when the connection between two hosts
/// fails during a stream.
#[test]
fn interrupted_forwarded_stream_is_complete_or_reported_as_partial() {
    let mut env = forwarding_env(&slow_engines());
    let until = Instant::now() + WAIT_LIMIT;
    let mut incomplete = 0;
    for turn in 0.. {
        let (response, attempts) = interrupt_forwarded_stream(&mut env, turn);
        if !response.has_done && response.status == 200 {
            let error = response.error.expect("the stream must end with an error");
            assert_eq!(error["error"]["run_state"], "partial");
        }
        let is_cut = !response.has_done || attempts > 1;
        incomplete += usize::from(is_cut && !response.text.is_empty());
        if incomplete == 3 {
            break;
        }
        assert!(
            Instant::now() < until,
            "{incomplete} streams were interrupted"
        );
    }
}

/// Guards against a stream that is continued in a third region: a request is
/// forwarded between regions at most once, whatever its outcome there.
#[test]
fn interrupted_forwarded_stream_is_not_continued_in_a_third_region() {
    let mut env = forwarding_env(&slow_engines());
    let until = Instant::now() + WAIT_LIMIT;
    for turn in 0.. {
        let before = REGIONS.map(|region| received_count(&env, region));

        let (response, _) = interrupt_forwarded_stream(&mut env, turn);

        let after = REGIONS.map(|region| received_count(&env, region));
        let reached = (0..REGIONS.len()).filter(|at| after[*at] > before[*at]);
        let reached: Vec<&str> = reached.map(|at| REGIONS[at]).collect();
        assert!(reached.len() <= 1, "one request reached {reached:?}");
        if !response.has_done && !response.text.is_empty() {
            break;
        }
        assert!(Instant::now() < until, "no stream was interrupted");
    }
}

fn received_count(env: &TestEnv, region: &str) -> usize {
    let engines = env.testbed.engines_in(region);
    engines.map(|engine| engine.standin.seen().len()).sum()
}

/// Guards against a late response that is relayed to the next request on the same
/// connection between two hosts.
#[test]
fn late_response_of_another_host_is_not_sent_to_another_request() {
    let env = forwarding_env(&slow_engines());
    let caller = env.caller("zapad");
    let hurried = caller.clone().with_header("x-deadline-ms", "400");

    hold_host_responses(&env, true);
    let late = hurried.chat("late", RESPONSE_TOKENS as u64);
    let late_stream = hurried.stream("late stream", RESPONSE_TOKENS as u64);
    hold_host_responses(&env, false);
    let responses: Vec<_> = (0..6)
        .map(|turn| caller.chat(&format!("next {turn}"), RESPONSE_TOKENS as u64))
        .collect();

    let late = late.expect("the host must answer");
    assert_ne!(late.status, 200, "{late:?}");
    assert!(!late_stream.expect("the host must answer").has_done);
    for (turn, response) in responses.into_iter().enumerate() {
        let response = response.expect("the host must answer");
        if response.status == 200 {
            assert_eq!(response.text(), expected(&format!("next {turn}")));
        }
    }
    let has_recovered = || {
        let response = caller.chat("back", RESPONSE_TOKENS as u64);
        response.is_ok_and(|response| response.text() == expected("back"))
    };
    wait_for(WAIT_LIMIT, "responses are complete again", has_recovered);
}

/// Starts a call and returns its open connection.
fn start_call(
    address: SocketAddr,
    prompt: &str,
    is_stream: bool,
) -> cardamombridge::http::connection::Connection {
    let headers = Headers::new().with_field("authorization", &format!("Bearer {CALLER_KEY}"));
    let call = HttpRequest {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers,
        body: chat_body(prompt, 500, is_stream),
    };
    let connection = client::connect(address, WAIT_LIMIT);
    let mut connection = connection.expect("the host must accept the connection");
    client::send(&mut connection, &call, Instant::now() + WAIT_LIMIT)
        .expect("the call must be sent");
    connection
}

/// Guards against engines that continue requests of disconnected callers, streamed
/// or not, in the local region and through another host.
#[test]
fn work_for_a_disconnected_caller_is_cancelled() {
    let env = forwarding_env(&slow_engines());
    for region in ["stred", "zapad"] {
        for is_stream in [false, true] {
            let before = received_requests(&env).len();
            let address = env.host(region).address;
            let connection = start_call(address, &format!("{region} {is_stream}"), is_stream);
            let is_running = || {
                let seen = received_requests(&env);
                seen.len() > before
                    && seen
                        .iter()
                        .any(|one| !one.is_cancelled && one.generated.0 > 1)
            };
            wait_for(WAIT_LIMIT, "the request runs", is_running);

            drop(connection);

            let is_idle = || {
                let mut engines = env.testbed.engines.iter();
                engines.all(|engine| engine.standin.load().running == 0)
            };
            wait_for(CANCEL_LIMIT, "the work is cancelled", is_idle);
            let cancelled = received_requests(&env)
                .iter()
                .filter(|one| one.is_cancelled)
                .count();
            assert!(cancelled > 0, "{region} {is_stream}");
        }
    }
    let cancelled = received_requests(&env)
        .iter()
        .filter(|one| one.is_cancelled)
        .count();
    assert_eq!(cancelled, 4);
}
