//! The guarantee `not_run`: this run state is reported to a caller only if its
//! request did not run.
//!
//! Endpoints and connections fail at every point of an exchange. Each check
//! compares the response that the caller received with what the endpoints
//! recorded under the same request id.

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
    CallerResponse,
    TestEnv,
    chat_body,
    wait_for, //
};

/// Timeout for conditions that the hosts reach within seconds.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for a refusal, which does not wait for the deadline.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
/// Deadline of the calls to an endpoint that stalls.
const DEADLINE_MS: &str = "1500";
const DEADLINE: Duration = Duration::from_millis(1_500);
/// `Retry-After` of an engine stand-in.
const ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time after its deadline in which a response must arrive.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// `Retry-After` of a scripted refusal, above every deadline used here.
const REFUSAL_RETRY_AFTER_S: u32 = 5;

/// What a scripted endpoint does with a request that it has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Script {
    /// Refuses the request without running it.
    Refuse,
    /// Runs it and closes the connection without a response.
    CutAfterRequest,
    /// Runs it and closes within the head of the response.
    TruncatedHead,
    /// Runs it and closes within the head of what may be a refusal.
    TruncatedRefusal,
    /// Runs it and closes within the body of the response.
    TruncatedBody,
    /// Runs it and sends no length, so that a closed connection looks like the
    /// end.
    NoLength,
    /// Runs it and never responds.
    Stall,
    /// Runs it and reports a failure.
    Failure,
}

#[derive(Debug)]
struct ScriptState {
    next: VecDeque<Script>,
    default: Script,
    ran: Vec<String>,
}

/// Endpoints that follow one script and share their record of runs.
struct ScriptedEndpoints {
    state: Arc<Mutex<ScriptState>>,
    wires: Vec<Wire>,
    _listeners: Vec<Listener>,
}

impl ScriptedEndpoints {
    /// Registers `count` endpoints of each target in one region.
    fn register(env: &TestEnv, region: &str, count: usize) -> Self {
        let state = Arc::new(Mutex::new(ScriptState {
            next: VecDeque::new(),
            default: Script::Refuse,
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
        lock(&self.state).default = script;
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
        let script = state.next.pop_front().unwrap_or(state.default);
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

/// A response to a caller, and how long it elapsed.
struct TimedResponse {
    response: CallerResponse,
    elapsed: Duration,
}

impl TimedResponse {
    fn id(&self) -> String {
        let id = self.response.headers.get("x-request-id");
        id.unwrap_or_default().to_string()
    }

    fn is_not_run(&self) -> bool {
        self.response.run_state() == "not_run"
    }

    fn has_retry_after(&self) -> bool {
        self.response.headers.get("retry-after").is_some()
    }

    /// Returns a line of the recorded session.
    fn session_line(&self, step: &str, has_run: bool) -> String {
        let value = self.response.json();
        let text = |value: &serde_json::Value| value.as_str().unwrap_or("-").to_string();
        format!(
            "{step}: {} code={} run_state={} has_run={has_run}\n",
            self.response.status,
            text(&value["error"]["code"]),
            text(&value["error"]["run_state"]),
        )
    }
}

fn timed<F>(call: F) -> TimedResponse
where
    F: FnOnce() -> Result<CallerResponse, MessageError>,
{
    let started = Instant::now();
    let response = call().expect("the host must answer");
    TimedResponse {
        response,
        elapsed: started.elapsed(),
    }
}

fn chat(caller: &Caller, prompt: &str) -> TimedResponse {
    timed(|| caller.chat(prompt, 16))
}

/// Confirms an order with a new ticket from the host that the caller uses.
fn confirm(caller: &Caller, key: &str) -> TimedResponse {
    let entry = caller.get("/v1/entry?service=orders");
    let entry = entry.expect("the host must answer").json();
    let ticket = entry["ticket"].as_str().expect("a ticket must be issued");
    let caller = caller.clone().with_header("idempotency-key", ticket);
    let body = json!({"key": key}).to_string().into_bytes();
    timed(|| caller.call("POST", "/v1/services/orders/confirm", body))
}

fn with_deadline(caller: Caller) -> Caller {
    caller.with_header("x-deadline-ms", DEADLINE_MS)
}

/// Returns whether any engine or service ran the request.
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

/// Asserts that the request was refused and did not run.
fn assert_refused(env: &TestEnv, reply: &TimedResponse, status: u16) {
    let logs = || env.logs();
    assert_eq!(
        reply.response.status,
        status,
        "{:?}\n{}",
        reply.response,
        logs()
    );
    assert!(reply.is_not_run(), "{:?}", reply.response);
    assert!(reply.has_retry_after(), "{:?}", reply.response);
    assert!(
        reply.elapsed < REFUSAL_LIMIT,
        "refused after {:?}",
        reply.elapsed
    );
    assert!(!has_run(env, &reply.id()));
}

/// Starts an environment without engines and services.
fn bare_env() -> TestEnv {
    let options = TestbedOptions {
        services_per_region: 0,
        ..TestbedOptions::new().with_engines_per_region(0)
    };
    let env = TestEnv::start(&options);
    env.wait_settled();
    env
}

/// Starts the same with scripted endpoints in the region sever, to which the
/// other regions forward.
fn scripted_env() -> (TestEnv, ScriptedEndpoints) {
    let env = bare_env();
    let endpoints = ScriptedEndpoints::register(&env, "sever", 2);
    env.wait_live(4);
    // Hosts don't avoid an endpoint because of a failure that it reports.
    endpoints.set(Script::Failure);
    for region in ["stred", "zapad"] {
        let is_forwarded = || {
            let reply = chat(&env.caller(region), "probe");
            endpoints.has_run(&reply.id())
        };
        wait_for(TIMEOUT, "requests reach sever", is_forwarded);
    }
    lock(&endpoints.state).ran.clear();
    (env, endpoints)
}

fn env() -> TestEnv {
    let env = TestEnv::start(&TestbedOptions::new());
    env.wait_settled();
    env
}

/// Guards against `not_run` for a request that ran before its exchange with an
/// endpoint failed, at any point of the exchange.
#[test]
fn a_failure_at_an_endpoint_is_reported_with_the_true_run_state() {
    let (env, mut endpoints) = scripted_env();
    let caller = with_deadline(env.caller("sever"));
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
            _ => REFUSAL_LIMIT,
        };
        for (kind, reply) in [
            ("chat", chat(&caller, &format!("{script:?}"))),
            ("confirm", confirm(&caller, &format!("{script:?}"))),
        ] {
            let has_run = endpoints.has_run(&reply.id());
            if script == Script::Stall {
                // The host or its decider may be the first to see the deadline.
                assert!(matches!(reply.response.status, 502 | 504));
                assert_eq!(reply.response.run_state(), "unknown");
            } else {
                session += &reply.session_line(&format!("{kind} {script:?}"), has_run);
            }
            assert_eq!(has_run, script != Script::Refuse);
            assert!(!(has_run && reply.is_not_run()), "{script:?} {kind}");
            assert!(
                reply.elapsed < bound,
                "{script:?} {kind}: {:?}",
                reply.elapsed
            );
        }
    }
    for wire in &endpoints.wires {
        wire.set_cut(true);
    }
    endpoints.set(Script::Failure);
    let reply = chat(&caller, "cut before the request");
    let is_run = endpoints.has_run(&reply.id());
    session += &reply.session_line("chat cut before the request", is_run);
    assert!(
        !is_run && reply.elapsed < REFUSAL_LIMIT,
        "{:?}",
        reply.elapsed
    );
    for wire in &mut endpoints.wires {
        wire.stop();
    }
    for (kind, reply) in [
        ("chat", chat(&caller, "connect refused")),
        ("confirm", confirm(&caller, "connect refused")),
    ] {
        session += &reply.session_line(&format!("{kind} connect refused"), false);
        assert!(reply.is_not_run() && reply.has_retry_after());
        assert!(reply.elapsed < REFUSAL_LIMIT, "{kind}: {:?}", reply.elapsed);
    }

    expect![[r#"
        chat Refuse: 502 code=upstream_failed run_state=not_run has_run=false
        confirm Refuse: 502 code=upstream_failed run_state=unknown has_run=false
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

/// Guards against a service's refusal that reaches the caller of a call that must not be
/// repeated: the service does not state that it did no part of the work.
#[test]
fn a_refusal_of_a_service_does_not_promise_that_the_call_has_not_run() {
    let (env, endpoints) = scripted_env();
    let caller = with_deadline(env.caller("sever"));
    endpoints.set(Script::Refuse);

    let reply = confirm(&caller, "Refuse");

    assert_eq!(reply.response.status, 502, "{:?}", reply.response);
    assert_eq!(reply.response.run_state(), "unknown");
}

/// Guards against `not_run` from the host that accepted a request when the
/// exchange with an endpoint fails at the host that it was forwarded to.
#[test]
fn a_failure_at_an_endpoint_of_another_region_is_reported_with_the_true_run_state() {
    let (env, endpoints) = scripted_env();
    let caller = with_deadline(env.caller("zapad"));
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
        for reply in [
            chat(&caller, &format!("{script:?}")),
            confirm(&caller, &format!("{script:?}")),
        ] {
            let has_run = endpoints.has_run(&reply.id());
            assert!(!(has_run && reply.is_not_run()), "{script:?}");
            assert!(
                reply.elapsed < DEADLINE + DEADLINE_SLACK,
                "{:?}",
                reply.elapsed
            );
            has_refused |= reply.is_not_run();
            forwarded += usize::from(has_run);
        }
    }

    assert!(forwarded > 0, "no request was forwarded\n{}", env.logs());
    assert!(has_refused, "no refusal was reported\n{}", env.logs());
}

/// Guards against a later refusal that hides that an earlier attempt ran.
#[test]
fn a_refusal_after_an_attempt_that_ran_is_unknown() {
    let (env, endpoints) = scripted_env();
    for region in ["sever", "zapad"] {
        endpoints.set_next(&[Script::CutAfterRequest]);
        endpoints.set(Script::Refuse);

        let reply = chat(&with_deadline(env.caller(region)), "ran, then refused");

        assert!(endpoints.has_run(&reply.id()), "{region}");
        assert_eq!(reply.response.run_state(), "unknown", "{region}");
        assert!(reply.has_retry_after(), "{:?}", reply.response);
    }
}

/// Guards against `not_run` for a request that ran before the connection
/// between two hosts failed.
#[test]
fn a_failure_between_hosts_is_reported_with_the_true_run_state() {
    let (env, endpoints) = scripted_env();
    endpoints.set(Script::Stall);
    let caller = with_deadline(env.caller("zapad"));
    let host_seat = env.testbed.seats_in("sever").next();
    let wire = &host_seat.expect("the region must have a host").peer_wire;
    let is_running = || !lock(&endpoints.state).ran.is_empty();

    let cut_while_running = thread::scope(|scope| {
        let call = scope.spawn(|| chat(&caller, "cut while it runs"));
        wait_for(TIMEOUT, "the request runs", is_running);
        wire.set_cut(true);
        call.join().expect("the call must end")
    });
    let cut_before = chat(&caller, "cut before");
    let cut_confirm = confirm(&caller, "cut before");
    wire.set_cut(false);
    wire.set_flow(Direction::ToCaller, Flow::Hold);
    let stalled = chat(&caller, "held");
    wire.set_flow(Direction::ToCaller, Flow::Pass);
    env.host("sever").signal(Signal::SIGSTOP);
    let frozen = chat(&caller, "frozen");
    env.host("sever").signal(Signal::SIGCONT);
    thread::sleep(REFUSAL_LIMIT);

    assert_eq!(cut_while_running.response.run_state(), "unknown");
    for reply in [
        &cut_while_running,
        &cut_before,
        &cut_confirm,
        &stalled,
        &frozen,
    ] {
        assert_ne!(reply.response.status, 200);
        let has_run = endpoints.has_run(&reply.id());
        assert!(!(has_run && reply.is_not_run()), "{:?}", reply.response);
        assert!(
            reply.elapsed < DEADLINE + DEADLINE_SLACK,
            "{:?}",
            reply.elapsed
        );
    }
    for reply in [&cut_before, &cut_confirm] {
        assert!(reply.is_not_run(), "{:?}", reply.response);
        assert!(reply.has_retry_after(), "{:?}", reply.response);
        assert!(reply.elapsed < REFUSAL_LIMIT, "{:?}", reply.elapsed);
    }
}

/// Guards against a request that waits, or is reported as run, although there
/// is no endpoint.
#[test]
fn without_an_endpoint_a_request_is_refused_at_once() {
    let env = bare_env();

    let replies = [
        chat(&env.caller("stred"), "nobody"),
        confirm(&env.caller("stred"), "nobody"),
    ];

    for reply in &replies {
        assert_refused(&env, reply, 503);
    }
}

/// Guards against a refusal of a leaving endpoint that is reported as a run.
#[test]
fn a_refusal_of_all_engines_is_reported_as_not_run() {
    let env = env();
    for engine in &env.testbed.engines {
        engine.standin.set_leaving(true);
    }

    let caller = env.caller("stred");

    let short_deadline = chat(&caller.clone().with_header("x-deadline-ms", "900"), "soon");
    let long_deadline = chat(&caller, "later");

    for (reply, bound) in [
        (short_deadline, REFUSAL_LIMIT),
        // A deadline of 10 s leaves time for one more attempt when the engines
        // ask for it.
        (long_deadline, ENGINE_RETRY_AFTER + REFUSAL_LIMIT),
    ] {
        assert!(!has_run(&env, &reply.id()));
        assert!(reply.is_not_run(), "{:?}\n{}", reply.response, env.logs());
        assert!(reply.has_retry_after(), "{:?}", reply.response);
        assert!(reply.elapsed < bound, "refused after {:?}", reply.elapsed);
    }
}

/// Guards against refused requests that run, and against refusals that are sent
/// only near the deadline, when the engines are overloaded.
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

    let replies: Vec<TimedResponse> = thread::scope(|scope| {
        let calls: Vec<_> = (0..32)
            .map(|number| {
                let caller = &caller;
                scope.spawn(move || timed(|| caller.chat(&format!("load {number}"), 60)))
            })
            .collect();
        let replies = calls.into_iter().map(|call| call.join());
        replies
            .map(|reply| reply.expect("a call must end"))
            .collect()
    });

    let mut refused = 0;
    for one in &replies {
        let has_run = has_run(&env, &one.id());
        assert!(!(has_run && one.is_not_run()), "{:?}", one.response);
        if one.is_not_run() {
            refused += 1;
            assert!(
                one.elapsed < REFUSAL_LIMIT,
                "refused after {:?}",
                one.elapsed
            );
            assert!(one.has_retry_after(), "{:?}", one.response);
        }
    }
    assert!(refused > 0, "nothing was refused");
    assert!(replies.iter().any(|one| one.response.status == 200));
}

/// Guards against a request that runs although the budget of its caller is used
/// up.
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
    let mut calls = (0..40).map(|number| timed(|| caller.chat(&format!("dear {number}"), 200)));
    let reply = calls.find(|reply| reply.response.status != 200);
    let reply = reply.expect("the budget must be used up");

    assert_refused(&env, &reply, 429);
}

/// Guards against a host without a configuration that accepts requests.
#[test]
fn a_host_that_is_not_ready_refuses_at_once() {
    let mut env = TestEnv::prepare(&TestbedOptions::new());
    env.host_mut("stred").start();
    let caller = env.caller("stred");
    wait_for(TIMEOUT, "the host listens", || {
        caller.get("/healthz").is_ok()
    });

    let reply = chat(&caller, "too early");

    assert_refused(&env, &reply, 503);
    assert!(!env.host("stred").is_ready());
}

/// Guards against a leaving host that accepts new requests.
#[test]
fn a_leaving_host_refuses_at_once() {
    let env = env();
    let caller = env.caller("stred");

    let (open, reply) = thread::scope(|scope| {
        let open = scope.spawn(|| caller.chat("kept open", 300));
        let is_running = || {
            let engines = env.testbed.engines.iter();
            engines
                .map(|engine| engine.standin.load().running)
                .sum::<u32>()
                > 0
        };
        wait_for(TIMEOUT, "the request runs", is_running);
        env.host("stred").signal(Signal::SIGTERM);
        wait_for(TIMEOUT, "the host leaves", || !env.host("stred").is_ready());
        let reply = chat(&caller, "too late");
        (open.join().expect("the call must end"), reply)
    });

    assert_refused(&env, &reply, 503);
    assert_eq!(reply.response.headers.get("connection"), Some("close"));
    assert_eq!(open.expect("the host must answer").status, 200);
}

/// Guards against a host that lets connections wait above its limit.
#[test]
fn a_connection_above_the_limit_is_refused_at_once() {
    let env = env();
    let host = env.host("stred");
    let idle: Vec<TcpStream> = (0..256)
        .filter_map(|_| TcpStream::connect(host.address).ok())
        .collect();
    let caller = Caller::new(host.address).with_key(CALLER_KEY);
    // The host may still be accepting the idle connections.
    thread::sleep(REFUSAL_LIMIT);

    let reply = chat(&caller, "one too many");

    assert_eq!(idle.len(), 256);
    assert_refused(&env, &reply, 503);
}

/// Guards against `not_run` for a request that ran at an engine which then
/// failed, for every fault that the engine stand-in can inject.
#[test]
fn a_request_that_ran_is_never_reported_as_not_run() {
    let env = env();
    let caller = with_deadline(env.caller("stred"));
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
        let reply = chat(&caller, &format!("{fault:?}"));
        let stream = caller.call(
            "POST",
            "/v1/chat/completions",
            chat_body(&format!("{fault:?}"), 16, true),
        );

        assert!(has_run(&env, &reply.id()), "{fault:?}");
        assert!(!reply.is_not_run(), "{fault:?}: {:?}", reply.response);
        if let Ok(stream) = stream {
            assert_ne!(stream.run_state(), "not_run", "{fault:?}");
        }
    }
}
