//! Promise `whole_answer`: every caller gets the whole answer to its own
//! request, or is told that it is not whole.
//!
//! The engines derive each answer from its prompt, so every byte is known. All
//! prompts differ, so an answer that reaches the wrong caller is seen as well.

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

/// Longest wait for something that the hosts do within seconds.
const SOON: Duration = Duration::from_secs(10);
/// Bound for the work of a caller that has gone.
const CANCEL_BOUND: Duration = Duration::from_secs(2);
/// Tokens of each answer.
const TOKENS: usize = 24;
/// Callers that call at the same time.
const CALLERS: usize = 24;
/// How long faults are injected under load.
const LOAD_SPAN: Duration = Duration::from_secs(6);
/// Deadline of the calls under load, below the time after which a host takes a
/// stream for stalled.
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
fn slow() -> TestbedOptions {
    let speed = ModelOptions {
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new().with_speed(speed)
}

fn expected(prompt: &str) -> String {
    expected_text(prompt, TOKENS)
}

fn stream(caller: &Caller, prompt: &str) -> StreamResponse {
    let answer = caller.stream(prompt, TOKENS as u64);
    answer.expect("the host must answer")
}

/// Asserts that a stream is a part of the right answer, and the whole of it if
/// it looks complete.
fn assert_honest(answer: &StreamResponse, prompt: &str) {
    let expected = expected(prompt);
    assert!(expected.starts_with(&answer.text), "{prompt}: {answer:?}");
    if answer.status != 200 {
        assert!(answer.error.is_some(), "{prompt}: {answer:?}");
        return;
    }
    let is_whole = answer.text == expected;
    assert!(is_whole || !answer.has_done, "{prompt}: {answer:?}");
    assert_eq!(
        answer.has_done, answer.has_proper_end,
        "{prompt}: {answer:?}"
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

fn all_seen(env: &TestEnv) -> Vec<SeenRequest> {
    let engines = env.testbed.engines.iter();
    engines.flat_map(|engine| engine.standin.seen()).collect()
}

/// Guards against lost or repeated tokens when a stream resumes at another
/// engine, and against a broken plain answer that is passed on.
#[test]
fn an_answer_that_breaks_at_one_engine_still_comes_whole() {
    let mut session = String::new();
    // Each group has hosts of its own, because a host retries at most ten
    // requests in a burst.
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
            session += &stream_past(&env, *fault);
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
        let answer = caller.chat(&prompt, TOKENS as u64);
        let answer = answer.expect("the host must answer");
        let is_whole = answer.text() == expected(&prompt);
        session += &format!("plain {fault:?}: {} whole={is_whole}\n", answer.status);
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

/// Streams past a fault at each engine of the region in turn; the other one is
/// healthy.
fn stream_past(env: &TestEnv, fault: EngineFault) -> String {
    let caller = env.caller("stred");
    let mut lines = String::new();
    for engine in env.testbed.engines_in("stred") {
        set_fault(env, "stred", None);
        engine.standin.set_fault(Some(fault));
        let prompt = format!("stream {fault:?} at {}", engine.info.id);

        let answer = stream(&caller, &prompt);

        assert_honest(&answer, &prompt);
        let is_whole = answer.text == expected(&prompt) && answer.has_done;
        lines += &format!("{prompt}: whole={is_whole}\n");
    }
    set_fault(env, "stred", None);
    lines
}

/// Guards against a stream that looks complete, or a second answer within the
/// first, when no engine can bring it to its end.
#[test]
fn a_stream_that_no_engine_ends_is_told_as_partial() {
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

        let answer = stream(&caller, &prompt);

        assert_honest(&answer, &prompt);
        assert!(!answer.text.is_empty(), "{name}");
        assert!(!answer.has_done && !answer.has_proper_end, "{name}");
        let error = answer.error.unwrap_or_default();
        assert_eq!(error["error"]["run_state"], "partial", "{name}");
    }
}

/// Guards against a continued stream whose second engine ignores the
/// continuation and answers from the start.
#[test]
fn a_stream_is_not_continued_by_an_engine_that_starts_again() {
    let env = env();
    let engines: Vec<EngineStandin> = env
        .testbed
        .engines_in("stred")
        .map(|listed| replace_without_continuation(&env, listed))
        .collect();
    let caller = env.caller("stred");
    let is_listed = || {
        let answer = caller.chat("probe", 1);
        answer.is_ok() && engines.iter().any(|engine| !engine.seen().is_empty())
    };
    wait_for(SOON, "the hosts read the list", is_listed);
    for engine in &engines {
        engine.fail_next(EngineFault::CutAfter(5));
    }

    let answer = stream(&caller, "continued");

    assert_honest(&answer, "continued");
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

/// Guards against crossed answers and answers that look complete without being
/// whole, under load with faults at the engines and between the hosts.
#[test]
fn every_answer_under_load_and_faults_is_whole_or_told_as_broken() {
    let seed = seed();
    println!("CARDAMOMBRIDGE_SEED={seed}");
    let env = forwarding_env(&TestbedOptions::new());
    let until = Instant::now() + LOAD_SPAN;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = env.caller(REGIONS[number % REGIONS.len()]);
            let caller = caller.with_header("x-deadline-ms", LOAD_DEADLINE_MS);
            thread::spawn(move || call_until(&caller, number, until))
        })
        .collect();

    inject_faults(&env, &mut Pcg64Mcg::seed_from_u64(seed), until);
    let counts: Vec<Counts> = callers
        .into_iter()
        .map(|caller| caller.join().expect("every answer must be right"))
        .collect();

    let whole: usize = counts.iter().map(|one| one.whole).sum();
    let broken: usize = counts.iter().map(|one| one.broken).sum();
    println!("whole={whole} broken={broken}");
    assert!(whole > CALLERS, "only {whole} whole answers, seed {seed}");
    assert!(broken > 0, "no fault reached a caller, seed {seed}");
    let attempts = all_seen(&env).len();
    assert!(attempts > whole, "nothing was tried again, seed {seed}");
}

#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    broken: usize,
}

/// Asks for streams and plain answers in turn and checks every byte.
fn call_until(caller: &Caller, number: usize, until: Instant) -> Counts {
    let mut counts = Counts::default();
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let prompt = format!("caller {number} turn {turn}");
        let is_whole = match turn % 2 {
            0 => caller.stream(&prompt, TOKENS as u64).is_ok_and(|answer| {
                assert_honest(&answer, &prompt);
                answer.has_done
            }),
            _ => caller.chat(&prompt, TOKENS as u64).is_ok_and(|answer| {
                let is_whole = answer.status == 200;
                if is_whole {
                    assert_eq!(answer.text(), expected(&prompt));
                }
                is_whole
            }),
        };
        counts.whole += usize::from(is_whole);
        counts.broken += usize::from(!is_whole);
        if !is_whole {
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

/// Makes single requests fail at random engines, and changes the fault of one
/// wire every few hundred milliseconds.
///
/// A fault that stays at one engine would soon reach nobody, because the hosts
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
    let after = rng.random_range(0..TOKENS);
    match rng.random_range(0..6) {
        0 => EngineFault::CutAfter(after),
        1 => EngineFault::StallAfter(after),
        2 => EngineFault::TruncatedChunk(after),
        3 => EngineFault::NoDone,
        4 => EngineFault::WrongLength,
        _ => EngineFault::Status(500),
    }
}

/// An environment whose region zapad has no engines of its own, so that its
/// host forwards.
fn forwarding_env(options: &TestbedOptions) -> TestEnv {
    let env = start(options);
    let list = env.testbed.list();
    for engine in env.testbed.engines_in("zapad") {
        engine.standin.set_leaving(true);
        let removed = list.deregister(engine.info.id.as_str());
        removed.expect("the engine must leave the list");
    }
    let caller = env.caller("zapad");
    let is_forwarded = || {
        let told = caller.chat("probe", 1);
        told.is_ok_and(|told| told.status == 200)
    };
    wait_for(SOON, "zapad forwards", is_forwarded);
    env
}

/// Wires to the hosts that zapad can forward to.
fn set_held(env: &TestEnv, is_held: bool) {
    for seat in &env.testbed.seats {
        let flow = if is_held { Flow::Hold } else { Flow::Pass };
        seat.peer_wire.set_flow(Direction::ToCaller, flow);
    }
}

/// A stream of zapad that is cut off after five tokens from the region that
/// serves it, and how many attempts reached an engine.
fn stream_and_cut(env: &mut TestEnv, turn: usize) -> (StreamResponse, usize) {
    let caller = env.caller("zapad");
    let prompt = format!("forwarded {turn}");
    let before = all_seen(env).len();

    let answer = caller.stream_with(&prompt, TOKENS as u64, |pieces| {
        if pieces == 5 {
            let serving = serving_region(env);
            env.testbed.set_cut_between("zapad", serving, true);
        }
    });
    for region in REGIONS {
        env.testbed.set_cut_between("zapad", region, false);
    }

    let answer = answer.expect("the host must answer");
    assert_honest(&answer, &prompt);
    (answer, all_seen(env).len() - before)
}

/// The region in which an engine runs a request.
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

/// Guards against lost or repeated tokens when the way between two hosts breaks
/// in the middle of a stream.
#[test]
fn a_forwarded_stream_that_is_cut_is_whole_or_told_as_partial() {
    let mut env = forwarding_env(&slow());
    let until = Instant::now() + SOON;
    let mut broken = 0;
    for turn in 0.. {
        let (answer, attempts) = stream_and_cut(&mut env, turn);
        if !answer.has_done && answer.status == 200 {
            let error = answer.error.expect("the caller must be told");
            assert_eq!(error["error"]["run_state"], "partial");
        }
        let is_cut = !answer.has_done || attempts > 1;
        broken += usize::from(is_cut && !answer.text.is_empty());
        if broken == 3 {
            break;
        }
        assert!(Instant::now() < until, "{broken} cuts met a stream");
    }
}

/// Guards against a stream that is continued in a third region: a request
/// crosses between regions at most once, whatever became of it there.
#[test]
fn a_forwarded_stream_that_is_cut_goes_to_no_third_region() {
    let mut env = forwarding_env(&slow());
    let until = Instant::now() + SOON;
    for turn in 0.. {
        let before = REGIONS.map(|region| seen_in(&env, region));

        let (answer, _) = stream_and_cut(&mut env, turn);

        let after = REGIONS.map(|region| seen_in(&env, region));
        let reached = (0..REGIONS.len()).filter(|at| after[*at] > before[*at]);
        let reached: Vec<&str> = reached.map(|at| REGIONS[at]).collect();
        assert!(reached.len() <= 1, "one request reached {reached:?}");
        if !answer.has_done && !answer.text.is_empty() {
            break;
        }
        assert!(Instant::now() < until, "no cut met a stream");
    }
}

fn seen_in(env: &TestEnv, region: &str) -> usize {
    let engines = env.testbed.engines_in(region);
    engines.map(|engine| engine.standin.seen().len()).sum()
}

/// Guards against a late answer that reaches the next request on the same
/// connection between two hosts.
#[test]
fn a_late_answer_of_another_host_reaches_nobody_else() {
    let env = forwarding_env(&slow());
    let caller = env.caller("zapad");
    let hurried = caller.clone().with_header("x-deadline-ms", "400");

    set_held(&env, true);
    let late = hurried.chat("late", TOKENS as u64);
    let late_stream = hurried.stream("late stream", TOKENS as u64);
    set_held(&env, false);
    let answers: Vec<_> = (0..6)
        .map(|turn| caller.chat(&format!("next {turn}"), TOKENS as u64))
        .collect();

    let late = late.expect("the host must answer");
    assert_ne!(late.status, 200, "{late:?}");
    assert!(!late_stream.expect("the host must answer").has_done);
    for (turn, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("the host must answer");
        if answer.status == 200 {
            assert_eq!(answer.text(), expected(&format!("next {turn}")));
        }
    }
    let is_back = || {
        let answer = caller.chat("back", TOKENS as u64);
        answer.is_ok_and(|answer| answer.text() == expected("back"))
    };
    wait_for(SOON, "answers come again", is_back);
}

/// Starts a call and returns its open connection.
fn begin(
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
    let connection = client::connect(address, SOON);
    let mut connection = connection.expect("the host must take the connection");
    client::send(&mut connection, &call, Instant::now() + SOON).expect("the call must be sent");
    connection
}

/// Guards against engines that go on working for callers who have gone, for
/// plain answers and streams, at home and behind another host.
#[test]
fn work_of_a_caller_that_has_gone_is_cancelled() {
    let env = forwarding_env(&slow());
    for region in ["stred", "zapad"] {
        for is_stream in [false, true] {
            let before = all_seen(&env).len();
            let address = env.host(region).address;
            let connection = begin(address, &format!("{region} {is_stream}"), is_stream);
            let is_running = || {
                let seen = all_seen(&env);
                seen.len() > before
                    && seen
                        .iter()
                        .any(|one| !one.is_cancelled && one.generated.0 > 1)
            };
            wait_for(SOON, "the request runs", is_running);

            drop(connection);

            let is_idle = || {
                let mut engines = env.testbed.engines.iter();
                engines.all(|engine| engine.standin.load().running == 0)
            };
            wait_for(CANCEL_BOUND, "the work is cancelled", is_idle);
            let cancelled = all_seen(&env).iter().filter(|one| one.is_cancelled).count();
            assert!(cancelled > 0, "{region} {is_stream}");
        }
    }
    let cancelled = all_seen(&env).iter().filter(|one| one.is_cancelled).count();
    assert_eq!(cancelled, 4);
}
