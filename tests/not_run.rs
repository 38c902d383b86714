//! Promise `not_run`: a caller is told `not_run` only if its request did not run.
//!
//! Endpoints and wires break at every point of an exchange. Each check holds
//! what the caller was told against what the endpoints saw under the same
//! request id.

mod testenv;

use std::{
    collections::VecDeque,
    net::TcpStream,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    decision::view::EndpointInfo,
    http::{
        connection::Connection,
        message::{
            Headers,
            MessageError, //
        }, //
    },
    standin::{
        engine::{
            EngineFault,
            cut,
            metrics_text, //
        },
        listener::{
            Listener,
            Next,
            Request,
            lock,
            respond_json,
            respond_unavailable,
            write_deadline, //
        },
        model::{
            ModelLoad,
            ModelOptions, //
        },
        testbed::{
            CALLER_KEY,
            MODEL,
            MODEL_VERSION,
            SERVICE,
            Testbed,
            TestbedOptions, //
        },
        wire::{
            Direction,
            Flow,
            Wire, //
        }, //
    },
    types::{
        Incarnation,
        Target, //
    }, //
};
use expect_test::expect;
use nix::sys::signal::Signal;
use serde_json::json;
use testenv::{
    Caller,
    CallerAnswer,
    TestEnv,
    chat_body,
    wait_for, //
};

/// Longest wait for something that the hosts do within seconds.
const SOON: Duration = Duration::from_secs(10);
/// Bound of a refusal; the design gives the final answer at once.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Deadline of the calls to an endpoint that stalls.
const DEADLINE_MS: &str = "1500";
const DEADLINE: Duration = Duration::from_millis(1_500);
/// `Retry-After` of an engine stand-in.
const ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time past its deadline for an answer to arrive.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// `Retry-After` of a scripted refusal, above every deadline used here.
const REFUSAL_RETRY_AFTER_S: u32 = 5;

/// What a scripted endpoint does with a request that it has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Script {
    /// Refuses before it runs anything.
    Refuse,
    /// Runs it and closes without an answer.
    CutAfterRequest,
    /// Runs it and closes within the head of the answer.
    TruncatedHead,
    /// Runs it and closes within the head of what may be a refusal.
    TruncatedRefusal,
    /// Runs it and closes within the body.
    TruncatedBody,
    /// Runs it and gives no length, so that a cut looks like the end.
    NoLength,
    /// Runs it and never answers.
    Stall,
    /// Runs it and reports a failure.
    Failure,
}

#[derive(Debug)]
struct ScriptState {
    next: VecDeque<Script>,
    usual: Script,
    ran: Vec<String>,
}

/// Endpoints that follow one script and share their count of runs.
struct ScriptedEndpoints {
    state: Arc<Mutex<ScriptState>>,
    wires: Vec<Wire>,
    _listeners: Vec<Listener>,
}

impl ScriptedEndpoints {
    /// Adds `count` endpoints of each target to the list of one region.
    fn register(env: &TestEnv, region: &str, count: usize) -> Self {
        let state = Arc::new(Mutex::new(ScriptState {
            next: VecDeque::new(),
            usual: Script::Refuse,
            ran: Vec::new(),
        }));
        let mut endpoints = Self {
            state,
            wires: Vec::new(),
            _listeners: Vec::new(),
        };
        let targets = [
            Target::Model(MODEL.parse().expect("the name is valid")),
            Target::Service(SERVICE.parse().expect("the name is valid")),
        ];
        for target in targets {
            for number in 0..count {
                endpoints.add(env, region, &target, number);
            }
        }
        endpoints
    }

    fn add(&mut self, env: &TestEnv, region: &str, target: &Target, number: usize) {
        let state = Arc::clone(&self.state);
        let listener = Listener::start(0, move |connection, request| {
            follow_script(&state, connection, &request)
        });
        let listener = listener.expect("a scripted endpoint must start");
        let wire = Wire::start(listener.address(), 0).expect("a wire must start");
        let (kind, version) = match target {
            Target::Model(_) => ("model", MODEL_VERSION),
            Target::Service(_) => ("service", ""),
        };
        let name = format!("scripted-{kind}-{number}");
        let info = EndpointInfo {
            id: name.parse().expect("the name is valid"),
            address: wire.address(),
            region: region.parse().expect("the name is valid"),
            data_centre: format!("{region}-dc1").parse().expect("the name is valid"),
            target: target.clone(),
            version: version.into(),
            slots: 8,
            can_continue: true,
            is_leaving: false,
        };
        let listed = env.testbed.list().register_endpoint(&info);
        listed.expect("the endpoint must be listed");
        self.wires.push(wire);
        self._listeners.push(listener);
    }

    fn set(&self, script: Script) {
        lock(&self.state).usual = script;
    }

    fn set_next(&self, scripts: &[Script]) {
        lock(&self.state).next.extend(scripts);
    }

    fn has_run(&self, id: &str) -> bool {
        lock(&self.state).ran.iter().any(|ran| ran == id)
    }
}

fn follow_script(
    state: &Mutex<ScriptState>,
    connection: &mut Connection,
    request: &Request,
) -> Result<Next, MessageError> {
    match request.head.path.as_str() {
        "/health" => return respond_json(connection, 200, Headers::new(), &json!({})),
        "/metrics" => {
            let text = metrics_text(MODEL, ModelLoad::default(), Incarnation(1));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n",
                text.len()
            );
            connection.write_all(head.as_bytes(), write_deadline())?;
            connection.write_all(text.as_bytes(), write_deadline())?;
            return Ok(Next::Keep);
        }
        _ => {}
    }
    let script = {
        let mut state = lock(state);
        let script = state.next.pop_front().unwrap_or(state.usual);
        if script != Script::Refuse {
            let id = request.head.headers.get("x-request-id");
            state.ran.push(id.unwrap_or_default().to_string());
        }
        script
    };
    let bytes: &[u8] = match script {
        Script::Refuse => {
            return respond_unavailable(connection, REFUSAL_RETRY_AFTER_S, "no capacity");
        }
        Script::Failure => return respond_json(connection, 500, Headers::new(), &json!({})),
        Script::Stall => {
            while !connection.is_closed_by_peer() {
                thread::sleep(Duration::from_millis(5));
            }
            return Ok(Next::Close);
        }
        Script::CutAfterRequest => b"",
        Script::TruncatedHead => b"HTTP/1.1 200 OK\r\ncontent-le",
        Script::TruncatedRefusal => b"HTTP/1.1 503 Service Unavailable\r\nretry-af",
        Script::TruncatedBody => b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"id\":",
        Script::NoLength => b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"id\":",
    };
    connection.write_all(bytes, write_deadline())?;
    cut(connection)
}

/// What a caller is told, and how long that took.
struct Told {
    answer: CallerAnswer,
    took: Duration,
}

impl Told {
    fn id(&self) -> String {
        let id = self.answer.headers.get("x-request-id");
        id.unwrap_or_default().to_string()
    }

    fn is_not_run(&self) -> bool {
        self.answer.run_state() == "not_run"
    }

    fn has_retry_after(&self) -> bool {
        self.answer.headers.get("retry-after").is_some()
    }

    /// One line of a golden file.
    fn shown(&self, step: &str, has_run: bool) -> String {
        let value = self.answer.json();
        let word = |value: &serde_json::Value| value.as_str().unwrap_or("-").to_string();
        format!(
            "{step}: {} code={} run_state={} has_run={has_run}\n",
            self.answer.status,
            word(&value["error"]["code"]),
            word(&value["error"]["run_state"]),
        )
    }
}

fn tell<F>(call: F) -> Told
where
    F: FnOnce() -> Result<CallerAnswer, MessageError>,
{
    let started = Instant::now();
    let answer = call().expect("the host must answer");
    Told {
        answer,
        took: started.elapsed(),
    }
}

fn chat(caller: &Caller, prompt: &str) -> Told {
    tell(|| caller.chat(prompt, 16))
}

/// Confirms an order under a fresh ticket of the caller's own host.
fn confirm(caller: &Caller, key: &str) -> Told {
    let entry = caller.get("/v1/entry?service=orders");
    let entry = entry.expect("the host must answer").json();
    let ticket = entry["ticket"].as_str().expect("a ticket must be issued");
    let caller = caller.clone().with_header("idempotency-key", ticket);
    let body = json!({"key": key}).to_string().into_bytes();
    tell(|| caller.call("POST", "/v1/services/orders/confirm", body))
}

fn in_time(caller: Caller) -> Caller {
    caller.with_header("x-deadline-ms", DEADLINE_MS)
}

/// Whether any engine or service accepted the request.
fn has_run(env: &TestEnv, id: &str) -> bool {
    let in_engines = env.testbed.engines.iter().any(|engine| {
        let seen = engine.standin.seen();
        seen.iter().any(|one| one.id == id && one.has_run)
    });
    let in_services = env.testbed.services.iter().any(|service| {
        let seen = service.standin.seen();
        seen.iter().any(|one| one.id == id && one.has_run)
    });
    in_engines || in_services
}

/// Asserts a refusal of a request that did not run.
fn assert_refused(env: &TestEnv, told: &Told, status: u16) {
    let logs = || env.logs();
    assert_eq!(told.answer.status, status, "{:?}\n{}", told.answer, logs());
    assert!(told.is_not_run(), "{:?}", told.answer);
    assert!(told.has_retry_after(), "{:?}", told.answer);
    assert!(told.took < AT_ONCE, "refused after {:?}", told.took);
    assert!(!has_run(env, &told.id()));
}

/// An environment without engines and services of its own.
fn bare_env() -> TestEnv {
    let options = TestbedOptions {
        services_per_region: 0,
        ..TestbedOptions::new().with_engines_per_region(0)
    };
    let env = TestEnv::start(&options);
    env.wait_settled();
    env
}

/// The same with scripted endpoints in the region sever, which the other
/// regions know of.
fn scripted_env() -> (TestEnv, ScriptedEndpoints) {
    let env = bare_env();
    let endpoints = ScriptedEndpoints::register(&env, "sever", 2);
    env.wait_live(4);
    // A failure that an endpoint reports does not make hosts avoid it.
    endpoints.set(Script::Failure);
    for region in ["stred", "zapad"] {
        let is_forwarded = || {
            let told = chat(&env.caller(region), "probe");
            endpoints.has_run(&told.id())
        };
        wait_for(SOON, "requests reach sever", is_forwarded);
    }
    lock(&endpoints.state).ran.clear();
    (env, endpoints)
}

fn env() -> TestEnv {
    let env = TestEnv::start(&TestbedOptions::new());
    env.wait_settled();
    env
}

/// Guards against `not_run` after any break between a host and an endpoint.
#[test]
fn a_break_at_an_endpoint_is_told_as_it_was() {
    let (env, mut endpoints) = scripted_env();
    let caller = in_time(env.caller("sever"));
    let scripts = [
        Script::Refuse,
        Script::CutAfterRequest,
        Script::TruncatedHead,
        Script::TruncatedRefusal,
        Script::TruncatedBody,
        Script::NoLength,
        Script::Failure,
        Script::Stall,
    ];
    let mut session = String::new();

    for script in scripts {
        endpoints.set(script);
        let bound = match script {
            Script::Stall => DEADLINE + DEADLINE_SLACK,
            _ => AT_ONCE,
        };
        for (kind, told) in [
            ("chat", chat(&caller, &format!("{script:?}"))),
            ("confirm", confirm(&caller, &format!("{script:?}"))),
        ] {
            let has_run = endpoints.has_run(&told.id());
            if script == Script::Stall {
                // The host or its decider may be the first to see the deadline.
                assert!(matches!(told.answer.status, 502 | 504));
                assert_eq!(told.answer.run_state(), "unknown");
            } else {
                session += &told.shown(&format!("{kind} {script:?}"), has_run);
            }
            assert_eq!(has_run, script != Script::Refuse);
            assert!(!(has_run && told.is_not_run()), "{script:?} {kind}");
            assert!(told.took < bound, "{script:?} {kind}: {:?}", told.took);
        }
    }
    for wire in &endpoints.wires {
        wire.set_cut(true);
    }
    endpoints.set(Script::Failure);
    let told = chat(&caller, "cut before the request");
    let is_run = endpoints.has_run(&told.id());
    session += &told.shown("chat cut before the request", is_run);
    assert!(!is_run && told.took < AT_ONCE, "{:?}", told.took);
    for wire in &mut endpoints.wires {
        wire.stop();
    }
    for (kind, told) in [
        ("chat", chat(&caller, "connect refused")),
        ("confirm", confirm(&caller, "connect refused")),
    ] {
        session += &told.shown(&format!("{kind} connect refused"), false);
        assert!(told.is_not_run() && told.has_retry_after());
        assert!(told.took < AT_ONCE, "{kind}: {:?}", told.took);
    }

    expect![[r#"
        chat Refuse: 502 code=upstream_failed run_state=not_run has_run=false
        confirm Refuse: 503 code=- run_state=- has_run=false
        chat CutAfterRequest: 502 code=upstream_failed run_state=unknown has_run=true
        confirm CutAfterRequest: 502 code=upstream_failed run_state=unknown has_run=true
        chat TruncatedHead: 502 code=upstream_failed run_state=unknown has_run=true
        confirm TruncatedHead: 502 code=upstream_failed run_state=unknown has_run=true
        chat TruncatedRefusal: 502 code=upstream_failed run_state=unknown has_run=true
        confirm TruncatedRefusal: 502 code=upstream_failed run_state=unknown has_run=true
        chat TruncatedBody: 502 code=upstream_failed run_state=unknown has_run=true
        confirm TruncatedBody: 502 code=upstream_failed run_state=unknown has_run=true
        chat NoLength: 502 code=upstream_failed run_state=unknown has_run=true
        confirm NoLength: 502 code=upstream_failed run_state=unknown has_run=true
        chat Failure: 500 code=- run_state=- has_run=true
        confirm Failure: 500 code=- run_state=- has_run=true
        chat cut before the request: 502 code=upstream_failed run_state=unknown has_run=false
        chat connect refused: 502 code=upstream_failed run_state=not_run has_run=false
        confirm connect refused: 502 code=upstream_failed run_state=not_run has_run=false
    "#]]
    .assert_eq(&session);
}

/// Guards against `not_run` from the host that accepted a request when the host
/// that runs it meets the break.
#[test]
fn a_break_at_an_endpoint_of_another_region_is_told_as_it_was() {
    let (env, endpoints) = scripted_env();
    let caller = in_time(env.caller("zapad"));
    let mut forwarded = 0;
    let mut has_refused = false;

    for script in [
        Script::Refuse,
        Script::CutAfterRequest,
        Script::TruncatedRefusal,
        Script::Failure,
        Script::Stall,
    ] {
        endpoints.set(script);
        for told in [
            chat(&caller, &format!("{script:?}")),
            confirm(&caller, &format!("{script:?}")),
        ] {
            let has_run = endpoints.has_run(&told.id());
            assert!(!(has_run && told.is_not_run()), "{script:?}");
            assert!(told.took < DEADLINE + DEADLINE_SLACK, "{:?}", told.took);
            has_refused |= told.is_not_run();
            forwarded += usize::from(has_run);
        }
    }

    assert!(forwarded > 0, "no request was forwarded\n{}", env.logs());
    assert!(has_refused, "no refusal was told\n{}", env.logs());
}

/// Guards against a later refusal that hides that an earlier attempt ran.
#[test]
fn a_refusal_after_an_attempt_that_ran_is_unknown() {
    let (env, endpoints) = scripted_env();
    for region in ["sever", "zapad"] {
        endpoints.set_next(&[Script::CutAfterRequest]);
        endpoints.set(Script::Refuse);

        let told = chat(&in_time(env.caller(region)), "ran, then refused");

        assert!(endpoints.has_run(&told.id()), "{region}");
        assert_eq!(told.answer.run_state(), "unknown", "{region}");
        assert!(told.has_retry_after(), "{:?}", told.answer);
    }
}

/// Guards against `not_run` when the way between two hosts breaks.
#[test]
fn a_break_between_hosts_is_told_as_it_was() {
    let (env, endpoints) = scripted_env();
    endpoints.set(Script::Stall);
    let caller = in_time(env.caller("zapad"));
    let seat = env.testbed.seats_in("sever").next();
    let wire = &seat.expect("the region must have a host").peer_wire;
    let is_running = || !lock(&endpoints.state).ran.is_empty();

    let cut_while_running = thread::scope(|scope| {
        let call = scope.spawn(|| chat(&caller, "cut while it runs"));
        wait_for(SOON, "the request runs", is_running);
        wire.set_cut(true);
        call.join().expect("the call must end")
    });
    let cut_before = chat(&caller, "cut before");
    let cut_confirm = confirm(&caller, "cut before");
    wire.set_cut(false);
    wire.set_flow(Direction::ToCaller, Flow::Hold);
    let held = chat(&caller, "held");
    wire.set_flow(Direction::ToCaller, Flow::Pass);
    env.host("sever").signal(Signal::SIGSTOP);
    let frozen = chat(&caller, "frozen");
    env.host("sever").signal(Signal::SIGCONT);
    thread::sleep(AT_ONCE);

    assert_eq!(cut_while_running.answer.run_state(), "unknown");
    for told in [
        &cut_while_running,
        &cut_before,
        &cut_confirm,
        &held,
        &frozen,
    ] {
        assert_ne!(told.answer.status, 200);
        let has_run = endpoints.has_run(&told.id());
        assert!(!(has_run && told.is_not_run()), "{:?}", told.answer);
        assert!(told.took < DEADLINE + DEADLINE_SLACK, "{:?}", told.took);
    }
    for told in [&cut_before, &cut_confirm] {
        assert!(told.is_not_run(), "{:?}", told.answer);
        assert!(told.has_retry_after(), "{:?}", told.answer);
        assert!(told.took < AT_ONCE, "{:?}", told.took);
    }
}

/// Guards against a request that is held, or called run, without an endpoint.
#[test]
fn without_an_endpoint_a_request_is_refused_at_once() {
    let env = bare_env();

    let told = [
        chat(&env.caller("stred"), "nobody"),
        confirm(&env.caller("stred"), "nobody"),
    ];

    for told in &told {
        assert_refused(&env, told, 503);
    }
}

/// Guards against a leaving endpoint whose refusal is taken for a run.
#[test]
fn a_refusal_of_all_engines_is_told_as_not_run() {
    let env = env();
    for engine in &env.testbed.engines {
        engine.standin.set_leaving(true);
    }

    let caller = env.caller("stred");

    let in_a_hurry = chat(&caller.clone().with_header("x-deadline-ms", "900"), "soon");
    let patient = chat(&caller, "later");

    for (told, bound) in [
        (in_a_hurry, AT_ONCE),
        // A deadline of 10 s leaves time for one more attempt when the engines
        // ask for it.
        (patient, ENGINE_RETRY_AFTER + AT_ONCE),
    ] {
        assert!(!has_run(&env, &told.id()));
        assert!(told.is_not_run(), "{:?}\n{}", told.answer, env.logs());
        assert!(told.has_retry_after(), "{:?}", told.answer);
        assert!(told.took < bound, "refused after {:?}", told.took);
    }
}

/// Guards against refused requests that run, and against refusals that come
/// near the deadline, when there is more work than the engines can do in time.
#[test]
fn overload_is_refused_at_once_and_not_run() {
    let speed = ModelOptions {
        slots: 1,
        max_waiting: 1,
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    let options = TestbedOptions::new()
        .with_engines_per_region(1)
        .with_speed(speed);
    let env = TestEnv::start(&options);
    env.wait_settled();
    let caller = env.caller("stred").with_header("x-deadline-ms", "3000");

    let told: Vec<Told> = thread::scope(|scope| {
        let calls: Vec<_> = (0..32)
            .map(|number| {
                let caller = &caller;
                scope.spawn(move || tell(|| caller.chat(&format!("load {number}"), 60)))
            })
            .collect();
        let told = calls.into_iter().map(|call| call.join());
        told.map(|told| told.expect("a call must end")).collect()
    });

    let mut refused = 0;
    for one in &told {
        let has_run = has_run(&env, &one.id());
        assert!(!(has_run && one.is_not_run()), "{:?}", one.answer);
        if one.is_not_run() {
            refused += 1;
            assert!(one.took < AT_ONCE, "refused after {:?}", one.took);
            assert!(one.has_retry_after(), "{:?}", one.answer);
        }
    }
    assert!(refused > 0, "nothing was refused");
    assert!(told.iter().any(|one| one.answer.status == 200));
}

/// Guards against work beyond the budget that runs all the same.
#[test]
fn over_budget_is_refused_at_once_and_not_run() {
    let options = TestbedOptions::new();
    let mut env = TestEnv::prepare(&options);
    let intents = Testbed::intent_text(&options);
    let intents = intents.replace("budget_micros = 1000000000u", "budget_micros = 1000u");
    env.testbed
        .accept(&intents)
        .expect("the intents must be accepted");
    for host in &mut env.hosts {
        host.start();
    }
    for host in &env.hosts {
        host.wait_ready();
    }
    env.wait_settled();

    let caller = env.caller("stred");
    let mut calls = (0..40).map(|number| tell(|| caller.chat(&format!("dear {number}"), 200)));
    let told = calls.find(|told| told.answer.status != 200);
    let told = told.expect("the budget must be used up");

    assert_refused(&env, &told, 429);
}

/// Guards against a host without a configuration that takes work.
#[test]
fn a_host_that_is_not_ready_refuses_at_once() {
    let mut env = TestEnv::prepare(&TestbedOptions::new());
    env.host_mut("stred").start();
    let caller = env.caller("stred");
    wait_for(SOON, "the host listens", || caller.get("/healthz").is_ok());

    let told = chat(&caller, "too early");

    assert_refused(&env, &told, 503);
    assert!(!env.host("stred").is_ready());
}

/// Guards against a leaving host that takes new work.
#[test]
fn a_leaving_host_refuses_at_once() {
    let env = env();
    let caller = env.caller("stred");

    let (open, told) = thread::scope(|scope| {
        let open = scope.spawn(|| caller.chat("kept open", 300));
        let is_running = || {
            let engines = env.testbed.engines.iter();
            engines
                .map(|engine| engine.standin.load().running)
                .sum::<u32>()
                > 0
        };
        wait_for(SOON, "the request runs", is_running);
        env.host("stred").signal(Signal::SIGTERM);
        wait_for(SOON, "the host leaves", || !env.host("stred").is_ready());
        let told = chat(&caller, "too late");
        (open.join().expect("the call must end"), told)
    });

    assert_refused(&env, &told, 503);
    assert_eq!(told.answer.headers.get("connection"), Some("close"));
    assert_eq!(open.expect("the host must answer").status, 200);
}

/// Guards against a host that lets connections wait when it has too many.
#[test]
fn a_connection_above_the_limit_is_refused_at_once() {
    let env = env();
    let host = env.host("stred");
    let idle: Vec<TcpStream> = (0..256)
        .filter_map(|_| TcpStream::connect(host.address).ok())
        .collect();
    let caller = Caller::new(host.address).with_key(CALLER_KEY);
    // The host may still be taking the idle connections over.
    thread::sleep(AT_ONCE);

    let told = chat(&caller, "one too many");

    assert_eq!(idle.len(), 256);
    assert_refused(&env, &told, 503);
}

/// Guards against a failure of an engine that ran the request and is told as
/// `not_run`, for every fault that the engine stand-in knows.
#[test]
fn a_request_that_ran_is_never_told_as_not_run() {
    let env = env();
    let caller = in_time(env.caller("stred"));
    let faults = [
        EngineFault::CutAfter(0),
        EngineFault::CutAfter(3),
        EngineFault::TruncatedChunk(2),
        EngineFault::WrongLength,
        EngineFault::Status(500),
        EngineFault::StallAfter(1),
    ];

    for fault in faults {
        for engine in &env.testbed.engines {
            engine.standin.set_fault(Some(fault));
        }
        let told = chat(&caller, &format!("{fault:?}"));
        let stream = caller.call(
            "POST",
            "/v1/chat/completions",
            chat_body(&format!("{fault:?}"), 16, true),
        );

        assert!(has_run(&env, &told.id()), "{fault:?}");
        assert!(!told.is_not_run(), "{fault:?}: {:?}", told.answer);
        if let Ok(stream) = stream {
            assert_ne!(stream.run_state(), "not_run", "{fault:?}");
        }
    }
}
