//! Promise `forwarding`: no request ever loops between regions or hosts.

mod testenv;

use std::{
    collections::BTreeMap,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
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
    decision::residency::AllowedRegions,
    peer::{
        frame::{
            ForwardHead,
            Frame,
            Message, //
        },
        link::{
            Link,
            LinkError,
            PeerIdentity, //
        },
        wire::ClusterKey, //
    },
    standin::{
        model::ModelOptions,
        testbed::{
            CALLER_KEY,
            CLUSTER_KEY,
            HostSeat,
            MODEL,
            TestbedOptions, //
        },
        wire::DatagramFaults, //
    },
    types::{
        Bytes,
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
    CallerResponse,
    TestEnv,
    chat_body,
    wait_for, //
};

const REGIONS: [&str; 3] = ["stred", "zapad", "sever"];
const REQUESTS_PER_REGION: usize = 12;
/// Time for what is known of other regions to arrive at a host.
const KNOWN: Duration = Duration::from_secs(5);
const EXCHANGE: Duration = Duration::from_secs(5);
/// Fields with which a caller could pass a request off as forwarded.
const FORGED: [(&str, &str); 6] = [
    ("x-request-id", "00000000000000000000000000000007"),
    ("x-forwarded-for", "10.0.0.1"),
    ("forwarded", "by=zapad-1;for=stred-1"),
    ("via", "1.1 zapad-1"),
    ("x-origin-region", "zapad"),
    ("x-origin-host", "zapad-1"),
];

/// Engines that a few requests overload.
fn small_engines() -> TestbedOptions {
    let speed = ModelOptions {
        slots: 2,
        max_waiting: 2,
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    TestbedOptions::new()
        .with_hosts_per_region(2)
        .with_engines_per_region(1)
        .with_speed(speed)
}

/// Text that only the prompt of one request contains.
fn marker(region: &str, number: usize) -> String {
    format!("marker-{region}-{number:03}-end")
}

fn all_markers() -> Vec<String> {
    let numbers = 0..REQUESTS_PER_REGION;
    REGIONS
        .iter()
        .flat_map(|region| numbers.clone().map(|number| marker(region, number)))
        .collect()
}

/// Waits until a host knows capacity in the other regions.
fn wait_until_regions_are_known(env: &TestEnv) {
    for host in &env.hosts {
        let caller = Caller::new(host.address).with_key(CALLER_KEY);
        wait_for(KNOWN, "entry hosts of all regions", || {
            let answer = caller.get("/v1/entry").map(|answer| answer.json());
            let hosts = answer.unwrap_or_default()["hosts"].clone();
            let hosts = hosts.as_array().cloned().unwrap_or_default();
            let is_listed = |region: &str| hosts.iter().any(|host| host["region"] == region);
            REGIONS.iter().all(|region| is_listed(region))
        });
    }
}

/// Loses all gossip, so that each host goes on believing what it last heard.
fn lose_gossip(env: &TestEnv) {
    let faults = DatagramFaults {
        lost_permille: 1_000,
        ..DatagramFaults::default()
    };
    for seat in &env.testbed.seats {
        seat.peer_wire.set_datagram_faults(faults);
    }
}

/// Sends the marked requests of all regions at once, to the hosts in turn.
fn chat_everywhere(env: &TestEnv) -> Vec<CallerResponse> {
    let mut chats = Vec::new();
    for region in REGIONS {
        let hosts: Vec<SocketAddr> = env
            .hosts
            .iter()
            .filter(|host| host.region == region)
            .map(|host| host.address)
            .collect();
        for number in 0..REQUESTS_PER_REGION {
            let caller = Caller::new(hosts[number % hosts.len()]).with_key(CALLER_KEY);
            let prompt = marker(region, number);
            chats.push(thread::spawn(move || caller.chat(&prompt, 30)));
        }
    }
    let answers = chats.into_iter().map(|chat| chat.join());
    answers
        .map(|answer| answer.expect("a caller must not panic"))
        .map(|answer| answer.expect("the host must answer"))
        .collect()
}

fn watch_wires(env: &TestEnv) {
    for seat in &env.testbed.seats {
        for marker in all_markers() {
            seat.peer_wire.watch_for(&marker);
        }
    }
}

/// How often each request passed into each host.
fn crossings(env: &TestEnv) -> BTreeMap<String, Vec<(String, u64)>> {
    let crossed_into = |seat: &HostSeat, marker: &str| {
        let count = seat.peer_wire.sightings(marker);
        (seat.config.host.to_string(), count)
    };
    let crossings = |marker: &str| {
        let seats = env.testbed.seats.iter();
        let into = seats.map(|seat| crossed_into(seat, marker));
        into.filter(|(_, count)| *count > 0).collect()
    };
    let markers = all_markers();
    markers
        .iter()
        .map(|marker| (marker.clone(), crossings(marker)))
        .collect()
}

/// Checks that no request crossed twice.
fn assert_at_most_one_crossing(env: &TestEnv) {
    for (marker, into) in &crossings(env) {
        let total: u64 = into.iter().map(|(_, count)| count).sum();
        assert!(total <= 1, "{marker} crossed {total} times: {into:?}");
    }
}

/// Checks that no request came to a host twice or back to its region.
fn assert_no_loop(env: &TestEnv) {
    for (marker, into) in &crossings(env) {
        for (host, count) in into {
            assert_eq!(*count, 1, "{marker} came to {host} {count} times");
            let (region, _) = host.split_once('-').expect("hosts are named by region");
            assert!(!marker.contains(region), "{marker} came back to {host}");
        }
    }
}

/// How many engines ran each request.
fn runs(env: &TestEnv) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for engine in &env.testbed.engines {
        for seen in engine.standin.seen() {
            *runs.entry(seen.id.to_string()).or_default() += usize::from(seen.has_run);
        }
    }
    runs
}

fn assert_each_ran_once(env: &TestEnv) {
    for (id, count) in runs(env) {
        assert!(count <= 1, "request {id} ran at {count} engines");
    }
}

/// Guards against requests that overloaded regions hand back to each other, and
/// against a request that runs at two engines.
#[test]
fn a_request_never_comes_back_while_every_region_is_overloaded() {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_wires(&env);

    let answers = chat_everywhere(&env);

    assert_no_loop(&env);
    assert_each_ran_once(&env);
    assert!(answers.iter().any(|answer| answer.status == 200));
}

/// Guards against a request that is sent to one region after another.
#[test]
fn a_request_crosses_at_most_once_while_every_region_is_overloaded() {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_wires(&env);

    chat_everywhere(&env);

    assert_at_most_one_crossing(&env);
}

/// Sends requests while each host believes that another region has room and no
/// region has any.
fn chat_with_contradictory_views() -> (TestEnv, Vec<CallerResponse>) {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_wires(&env);
    lose_gossip(&env);
    for engine in &env.testbed.engines {
        engine.standin.set_leaving(true);
    }
    let answers = chat_everywhere(&env);
    (env, answers)
}

/// Guards against a loop between regions each of which believes that another
/// one has room, and against a request that runs although it is refused.
#[test]
fn a_request_never_comes_back_with_contradictory_views() {
    let (env, answers) = chat_with_contradictory_views();

    assert_no_loop(&env);
    let crossings = crossings(&env);
    let has_crossed = crossings.values().any(|into| !into.is_empty());
    assert!(has_crossed, "the views do not contradict: {}", env.logs());
    assert_each_ran_once(&env);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.run_state(), "not_run");
    }
}

/// Guards against a request that is sent to one region after another because
/// each seems to have room.
#[test]
fn a_request_crosses_at_most_once_with_contradictory_views() {
    let (env, _answers) = chat_with_contradictory_views();

    assert_at_most_one_crossing(&env);
}

/// Guards against a caller that makes a host take its request for a forwarded
/// one, which is final there, or that chooses the id of its request.
#[test]
fn a_forwarding_mark_from_a_caller_is_ignored() {
    let env = TestEnv::start(&TestbedOptions::new());
    wait_until_regions_are_known(&env);
    for engine in env.testbed.engines_in("stred") {
        engine.standin.set_leaving(true);
    }
    let mut caller = env.caller("stred");
    for (name, value) in FORGED {
        caller = caller.with_header(name, value);
    }

    let answer = caller.chat("forged", 8).expect("the host must answer");

    assert_eq!(answer.status, 200, "not forwarded:\n{}", env.logs());
    let id = answer.headers.get("x-request-id").unwrap_or_default();
    let forged = FORGED[0].1;
    assert!(!id.is_empty() && id != forged);
    let runs = runs(&env);
    assert_eq!(runs.get(id), Some(&1), "{runs:?}");
    assert_eq!(runs.get(forged), None, "{runs:?}");
}

fn identity(host: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.parse().expect("valid host"),
        incarnation: Incarnation(1),
    }
}

fn forward(origin_host: &str, request: u128, body: &[u8]) -> Frame {
    let regions = serde_json::json!(REGIONS);
    let allowed: AllowedRegions = serde_json::from_value(regions).expect("valid regions");
    Frame::Forward(ForwardHead {
        request: RequestId(request),
        caller: "drevoton".parse().expect("valid caller"),
        target: Target::Model(MODEL.parse().expect("valid model")),
        tier: Tier::Default,
        prompt_tokens: Tokens(10),
        max_output_tokens: Tokens(4),
        prefix_hashes: Vec::new(),
        deadline_ms: clock::now() + Millis(EXCHANGE.as_millis() as u64),
        is_repeatable: true,
        origin_region: "stred".parse().expect("valid region"),
        origin_host: origin_host.parse().expect("valid host"),
        allowed,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        is_stream: false,
        body_bytes: Bytes(body.len() as u64),
    })
}

fn link(address: SocketAddr, key: &str, own: &PeerIdentity) -> Result<Link, LinkError> {
    let stream = TcpStream::connect(address).expect("the host must accept");
    let deadline = Instant::now() + EXCHANGE;
    Link::connect(stream, &ClusterKey::new(key.as_bytes()), own, deadline)
}

/// Sends a forward and reads frames up to the final one.
fn exchange(link: &mut Link, frame: &Frame, body: &[u8]) -> Result<Message, LinkError> {
    let deadline = Instant::now() + EXCHANGE;
    link.write_exchange_frame(1, frame, &[], deadline)
        .map_err(|failed| failed.error)?;
    link.write_exchange_frame(1, &Frame::RequestBody, body, deadline)
        .map_err(|failed| failed.error)?;
    loop {
        let (_, message) = link.read_exchange_frame(deadline)?;
        if message.frame.is_final() {
            return Ok(message);
        }
    }
}

/// Passes one connection on to `target`; returns what the connecting side sent.
fn record(target: SocketAddr) -> (SocketAddr, thread::JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let recorder = thread::spawn(move || {
        let (mut caller, _) = listener.accept().expect("a connection");
        let mut host = TcpStream::connect(target).expect("the host must accept");
        let (mut answers, mut back) = (
            host.try_clone().expect("a socket"),
            caller.try_clone().expect("a socket"),
        );
        let answering = thread::spawn(move || io::copy(&mut answers, &mut back));
        let mut recorded = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = caller.read(&mut buffer) {
            recorded.extend_from_slice(&buffer[..count]);
            if host.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // The host may have closed its end already.
        let _ = host.shutdown(Shutdown::Both);
        let _ = answering.join();
        recorded
    });
    (address, recorder)
}

/// How often engines received a request with this id.
fn times_seen(env: &TestEnv, request: u128) -> usize {
    let id = RequestId(request).to_string();
    let engines = env.testbed.engines.iter();
    let seen = engines.flat_map(|engine| engine.standin.seen());
    seen.filter(|seen| seen.id == id).count()
}

/// Guards against a forward that someone on the network sends again or makes up.
#[test]
fn a_replayed_or_forged_forward_is_refused() {
    let env = TestEnv::start(&TestbedOptions::new());
    wait_until_regions_are_known(&env);
    let seat = env.testbed.seats_in("zapad").next().expect("a host");
    let address = seat.config.peer_address;
    let own = identity("stred-9");
    let body = chat_body("replayed", 4, false);
    let (recording, recorder) = record(address);
    let mut good = link(recording, CLUSTER_KEY, &own).expect("the key is right");
    let answer = exchange(&mut good, &forward("stred-9", 1, &body), &body);
    assert!(matches!(answer, Ok(message) if matches!(message.frame, Frame::ResponseEnd { .. })));
    drop(good);
    let recorded = recorder.join().expect("the recorder must not panic");

    let mut replay = TcpStream::connect(address).expect("the host must accept");
    // The host closes the connection in the middle of this.
    let _ = replay.write_all(&recorded);
    let _ = replay.set_read_timeout(Some(EXCHANGE));
    let mut answered = Vec::new();
    let _ = replay.read_to_end(&mut answered);
    let stranger = link(address, "another key of a cluster", &own);
    let mut liar = link(address, CLUSTER_KEY, &own).expect("the key is right");
    let lied = exchange(&mut liar, &forward("stred-1", 2, &body), &body);

    assert_eq!(times_seen(&env, 1), 1, "the replay ran");
    assert!(stranger.is_err(), "a host without the key was let in");
    assert!(lied.is_err(), "a forward for another host was taken");
    assert_eq!(times_seen(&env, 2), 0, "the forged forward ran");
}
