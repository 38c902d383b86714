//! Guarantee `residency`: a request and its data never reach a region that the
//! caller's intent does not allow.

mod testenv;

use std::{
    collections::BTreeSet,
    io::Write,
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    clock,
    consul::KeyValue,
    decision::{
        event::RefusalReason,
        residency::AllowedRegions, //
    },
    http::connection::Connection,
    intent::CallerIntent,
    outcome::RunStateWord,
    peer::{
        frame::{
            ForwardHead,
            Frame, //
        },
        link::{
            Link,
            PeerIdentity, //
        },
        wire::ClusterKey, //
    },
    rollout,
    standin::{
        engine::EngineFault,
        model::ModelOptions,
        testbed::{
            BOUND_CALLER_KEY,
            CALLER_KEY,
            CLUSTER_KEY,
            MODEL,
            SERVICE,
            Testbed,
            TestbedOptions, //
        }, //
    },
    types::{
        Bytes,
        CallerId,
        Incarnation,
        Millis,
        RequestId,
        Target,
        Tier,
        Tokens, //
    }, //
};
use testenv::{
    Caller,
    CallerAnswer,
    TestEnv,
    revision_at,
    wait_for, //
};

/// Text that occurs only in prompts of the caller that is bound to its home region.
const BOUND_MARKER: &str = "walnut-marker-of-the-bound-caller";
/// Text that occurs only in prompts of the caller that may use all regions.
const FREE_MARKER: &str = "cherry-marker-of-the-free-caller";
const FORBIDDEN: [&str; 2] = ["zapad", "sever"];
/// Time limit for a configuration to come into force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for a refusal that does not wait for the body. A refusal after the
/// body has timed out takes longer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for an overloaded home region to start forwarding requests.
const OVERLOAD_TIMEOUT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(10);

/// Options for engines that a few requests overload.
fn small_engines() -> TestbedOptions {
    let speed = ModelOptions {
        slots: 2,
        max_waiting: 2,
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new()
        .with_engines_per_region(1)
        .with_speed(speed)
}

fn prompt(marker: &str, number: usize) -> String {
    format!("{number} ") + &format!("{marker} ").repeat(20)
}

fn watch_for_markers(env: &TestEnv) {
    for seat in &env.testbed.seats {
        seat.peer_wire.watch_for(BOUND_MARKER);
        seat.peer_wire.watch_for(FREE_MARKER);
    }
}

/// How often a marker was observed on the connections to the hosts of a region.
fn marker_count(env: &TestEnv, region: &str, marker: &str) -> u64 {
    let seats = env.testbed.seats_in(region);
    seats.map(|seat| seat.peer_wire.sightings(marker)).sum()
}

/// Ids of the requests that engines and services of a region have received.
fn received_ids(env: &TestEnv, region: &str) -> BTreeSet<String> {
    let testbed = &env.testbed;
    let engines = testbed.engines_in(region).flat_map(|e| e.standin.seen());
    let services = testbed.services.iter();
    let services = services
        .filter(|service| service.info.region.as_str() == region)
        .flat_map(|service| service.standin.seen());
    engines
        .map(|seen| seen.id.to_string())
        .chain(services.map(|seen| seen.id.to_string()))
        .collect()
}

fn request_id(response: &CallerAnswer) -> String {
    let id = response.headers.get("x-request-id");
    id.expect("a response contains its request id").to_string()
}

/// Sends concurrent requests of one caller and collects the responses.
fn chat_at_once(address: SocketAddr, key: &str, marker: &str, count: usize) -> Vec<CallerAnswer> {
    let caller = Caller::new(address).with_key(key);
    let chats: Vec<_> = (0..count)
        .map(|number| {
            let (caller, prompt) = (caller.clone(), prompt(marker, number));
            thread::spawn(move || caller.chat(&prompt, 30))
        })
        .collect();
    let responses = chats.into_iter().map(|chat| chat.join());
    responses
        .map(|response| response.expect("a caller must not panic"))
        .map(|response| response.expect("the host must respond"))
        .collect()
}

/// Overloads the home region with requests that may use all regions until some are
/// forwarded to one of `regions`. Without that, observing no request of the bound
/// caller there would prove nothing.
fn overload_until_forwarded(env: &TestEnv, regions: &[&str]) -> Vec<CallerAnswer> {
    let home = env.host("stred").address;
    let deadline = Instant::now() + OVERLOAD_TIMEOUT;
    let mut responses = Vec::new();
    loop {
        responses.extend(chat_at_once(home, CALLER_KEY, FREE_MARKER, 12));
        let forwarded = regions.iter().map(|r| marker_count(env, r, FREE_MARKER));
        if forwarded.sum::<u64>() > 0 {
            return responses;
        }
        let is_late = Instant::now() >= deadline;
        assert!(
            !is_late,
            "the home region forwarded nothing:\n{}",
            env.logs()
        );
    }
}

/// Sends the head of a request without its body and returns the status of the
/// response.
fn status_of_head_only(address: SocketAddr, key: &str, path: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("the host must accept");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {key}\r\n\
         content-length: 4000000\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .expect("the host must read the head");
    let mut connection = Connection::new(stream).expect("a connected socket");
    let response = connection.read_response_head(Instant::now() + REFUSAL_TIMEOUT);
    response.map_or(0, |response| response.status)
}

fn assert_never_received(env: &TestEnv, region: &str, marker: &str, ids: &BTreeSet<String>) {
    let received = received_ids(env, region);
    let leaked: Vec<_> = ids.intersection(&received).collect();
    assert!(leaked.is_empty(), "{region} served {leaked:?}");
    assert_eq!(
        marker_count(env, region, marker),
        0,
        "bytes reached {region}"
    );
}

fn assert_logs_without_prompts(env: &TestEnv) {
    let logs = env.logs();
    assert!(!logs.is_empty());
    assert!(!logs.contains(BOUND_MARKER) && !logs.contains(FREE_MARKER));
}

/// Guards against a bound request leaving its region because of overload,
/// interrupted responses or a network partition between regions.
#[test]
fn a_bound_request_stays_home_under_overload_cuts_and_retries() {
    let mut env = TestEnv::start(&small_engines());
    watch_for_markers(&env);
    overload_until_forwarded(&env, &FORBIDDEN);
    for engine in env.testbed.engines_in("stred") {
        for tokens in [0, 3, 0, 5] {
            engine.standin.fail_next(EngineFault::CutAfter(tokens));
        }
    }
    let home = env.host("stred").address;
    let bound = thread::spawn(move || chat_at_once(home, BOUND_CALLER_KEY, BOUND_MARKER, 12));
    let free = thread::spawn(move || chat_at_once(home, CALLER_KEY, FREE_MARKER, 12));

    thread::sleep(Duration::from_millis(300));
    env.testbed.set_cut_between("stred", "zapad", true);
    let caller = Caller::new(home).with_key(BOUND_CALLER_KEY);
    let stock = caller.get(&format!("/v1/services/{SERVICE}/stock/{BOUND_MARKER}"));
    thread::sleep(Duration::from_millis(300));
    env.testbed.set_cut_between("stred", "zapad", false);
    let mut responses = bound.join().expect("the callers must not panic");
    responses.push(stock.expect("the host must respond"));
    free.join().expect("the callers must not panic");

    let ids = responses.iter().map(request_id).collect();
    for region in FORBIDDEN {
        assert_never_received(&env, region, BOUND_MARKER, &ids);
    }
    let served = responses
        .iter()
        .filter(|response| response.status == 200)
        .count();
    assert!(
        served > 0,
        "the home region served nothing:\n{}",
        env.logs()
    );
    assert_logs_without_prompts(&env);
}

/// Guards against a host of a forbidden region reading the body before it refuses
/// the request.
#[test]
fn a_host_of_a_forbidden_region_refuses_before_the_body() {
    let env = TestEnv::start(&TestbedOptions::new());
    let paths = [
        "/v1/chat/completions".to_string(),
        format!("/v1/services/{SERVICE}/orders"),
    ];

    for region in FORBIDDEN {
        for path in &paths {
            let status = status_of_head_only(env.host(region).address, BOUND_CALLER_KEY, path);

            assert_eq!(status, 421, "{region} {path}");
        }
    }
}

/// A forwarded request of the bound caller for which the sender allows all regions.
fn stale_forward(sender: &PeerIdentity, allowed: AllowedRegions) -> Frame {
    Frame::Forward(ForwardHead {
        request: RequestId(7),
        caller: "bound".parse().expect("valid caller"),
        target: Target::Model(MODEL.parse().expect("valid model")),
        tier: Tier::Default,
        prompt_tokens: Tokens(100),
        max_output_tokens: Tokens(10),
        prefix_hashes: Vec::new(),
        deadline_ms: clock::now() + Millis(DEADLINE.as_millis() as u64),
        is_repeatable: true,
        origin_region: "stred".parse().expect("valid region"),
        origin_host: sender.host.clone(),
        allowed,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        is_stream: false,
        body_bytes: Bytes(100_000),
    })
}

/// The intent of a caller as stored on the platform.
fn intent_of(env: &TestEnv, caller: &str) -> CallerIntent {
    let kv = KeyValue::new(env.testbed.platform.address());
    let intents = rollout::load(&kv).expect("the intents can be read");
    let caller: CallerId = caller.parse().expect("valid caller");
    intents.caller(&caller).expect("a known caller").clone()
}

/// Guards against a host that relies on the older intent of the forwarding host, or
/// that reads the body before it refuses the request.
#[test]
fn a_forward_from_a_host_with_an_older_intent_is_refused_before_the_body() {
    let env = TestEnv::start(&TestbedOptions::new());
    let sender = PeerIdentity {
        host: "stred-9".parse().expect("valid host"),
        incarnation: Incarnation(1),
    };
    let older = AllowedRegions::new(&intent_of(&env, "drevoton"));
    let deadline = Instant::now() + REFUSAL_TIMEOUT;
    let seat = env.testbed.seats_in("zapad").next().expect("a host");
    let stream = TcpStream::connect(seat.config.peer_address).expect("the host must accept");
    let key = ClusterKey::new(CLUSTER_KEY.as_bytes());
    let mut link = Link::connect(stream, &key, &sender, deadline).expect("the key is right");

    link.write_exchange_frame(1, &stale_forward(&sender, older), &[], deadline)
        .expect("the host must read the frame");

    let response = link.read_exchange_frame(deadline);
    let (_, message) = response.expect("a refusal must come without the body");
    let Frame::Refused { refusal, run_state } = message.frame else {
        panic!("expected a refusal, got {:?}", message.frame);
    };
    assert_eq!(refusal.reason, RefusalReason::WrongRegion);
    assert_eq!(run_state, RunStateWord::NotRun);
}

/// Guards against requests reaching a region that a newer intent forbids while a
/// host there still has the older intent, and against that host not getting the
/// newer one from other hosts.
#[test]
fn a_tightened_intent_holds_against_hosts_with_stale_views() {
    let options = small_engines();
    let mut env = TestEnv::start(&options);
    watch_for_markers(&env);
    overload_until_forwarded(&env, &FORBIDDEN);
    let (home, zapad) = (env.host("stred").address, env.host("zapad").address);
    env.testbed.set_platform_cut("zapad", true);
    for other in ["stred", "sever"] {
        env.testbed.set_cut_between("zapad", other, true);
    }

    let tightened = Testbed::intent_text(&options)
        .replace("regions = stred, zapad, sever\n", "regions = stred\n");
    let accepted = env.testbed.accept(&tightened);
    let revision = accepted.expect("the change must be accepted").revision.0;
    wait_for(IN_FORCE_TIMEOUT, "the change at home", || {
        revision_at(home) >= revision
    });
    assert!(
        revision_at(zapad) < revision,
        "zapad already has the change"
    );
    // The markers observed so far were allowed there.
    watch_for_markers(&env);
    let load = thread::spawn(move || chat_at_once(home, CALLER_KEY, FREE_MARKER, 16));
    thread::sleep(Duration::from_millis(300));
    // The platform stays unreachable, so the host can get the change only from other
    // hosts.
    for other in ["stred", "sever"] {
        env.testbed.set_cut_between("zapad", other, false);
    }
    wait_for(IN_FORCE_TIMEOUT, "421 at the stale host", || {
        status_of_head_only(zapad, CALLER_KEY, "/v1/chat/completions") == 421
    });
    let mut responses = load.join().expect("the callers must not panic");
    responses.extend(chat_at_once(home, CALLER_KEY, FREE_MARKER, 16));

    let ids = responses.iter().map(request_id).collect();
    for region in FORBIDDEN {
        assert_never_received(&env, region, FREE_MARKER, &ids);
    }
    assert_logs_without_prompts(&env);
}
