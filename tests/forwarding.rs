//! Guarantee `forwarding`: no request loops between regions or hosts.

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
use nix::sys::signal::Signal;
use testenv::{
    Caller,
    CallerResponse,
    TestEnv,
    chat_body,
    wait_for, //
};

const REGIONS: [&str; 3] = ["stred", "zapad", "sever"];
const REQUESTS_PER_REGION: usize = 12;
/// Time for gossip of other regions to reach a host.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(5);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Header fields with which a caller could present its request as forwarded.
const FORGED_HEADERS: [(&str, &str); 6] = [
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

/// Waits until every host knows entry hosts in all regions.
fn wait_until_regions_are_known(env: &TestEnv) {
    for host in &env.hosts {
        let caller = Caller::new(host.address).with_key(CALLER_KEY);
        wait_for(GOSSIP_TIMEOUT, "entry hosts of all regions", || {
            let response = caller.get("/v1/entry").map(|response| response.json());
            let hosts = response.unwrap_or_default()["hosts"].clone();
            let hosts = hosts.as_array().cloned().unwrap_or_default();
            let is_listed = |region: &str| hosts.iter().any(|host| host["region"] == region);
            REGIONS.iter().all(|region| is_listed(region))
        });
    }
}

/// Drops all gossip, so that each host keeps the last state that it received.
fn drop_all_gossip(env: &TestEnv) {
    let faults = DatagramFaults {
        lost_permille: 1_000,
        ..DatagramFaults::default()
    };
    for seat in &env.testbed.seats {
        seat.peer_wire.set_datagram_faults(faults);
    }
}

/// Sends the marked requests of all regions at once, distributed over the hosts
/// of each region.
fn send_chats_in_all_regions(env: &TestEnv) -> Vec<CallerResponse> {
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
    let responses = chats.into_iter().map(|chat| chat.join());
    responses
        .map(|response| response.expect("a caller must not panic"))
        .map(|response| response.expect("the host must answer"))
        .collect()
}

fn watch_for_markers(env: &TestEnv) {
    for seat in &env.testbed.seats {
        for marker in all_markers() {
            seat.peer_wire.watch_for(&marker);
        }
    }
}

/// Returns how often each request was forwarded to each host.
fn forwards_into_hosts(env: &TestEnv) -> BTreeMap<String, Vec<(String, u64)>> {
    let forwarded_into = |seat: &HostSeat, marker: &str| {
        let count = seat.peer_wire.sightings(marker);
        (seat.config.host.to_string(), count)
    };
    let hosts_reached = |marker: &str| {
        let seats = env.testbed.seats.iter();
        let into = seats.map(|seat| forwarded_into(seat, marker));
        into.filter(|(_, count)| *count > 0).collect()
    };
    let markers = all_markers();
    markers
        .iter()
        .map(|marker| (marker.clone(), hosts_reached(marker)))
        .collect()
}

/// Asserts that no request was forwarded twice.
fn assert_forwarded_at_most_once(env: &TestEnv) {
    for (marker, into) in &forwards_into_hosts(env) {
        let total: u64 = into.iter().map(|(_, count)| count).sum();
        assert!(total <= 1, "{marker} was forwarded {total} times: {into:?}");
    }
}

/// Asserts that no request was forwarded to a host twice or back to its region.
fn assert_no_loop(env: &TestEnv) {
    for (marker, into) in &forwards_into_hosts(env) {
        for (host, count) in into {
            assert_eq!(*count, 1, "{marker} was forwarded to {host} {count} times");
            let (region, _) = host.split_once('-').expect("hosts are named by region");
            assert!(
                !marker.contains(region),
                "{marker} was forwarded back to {host}"
            );
        }
    }
}

/// Returns how many engines ran each request.
fn run_counts(env: &TestEnv) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for engine in &env.testbed.engines {
        for seen in engine.standin.seen() {
            *runs.entry(seen.id.to_string()).or_default() += usize::from(seen.has_run);
        }
    }
    runs
}

fn assert_each_ran_once(env: &TestEnv) {
    for (id, count) in run_counts(env) {
        assert!(count <= 1, "request {id} ran at {count} engines");
    }
}

/// Guards against overloaded regions that forward requests back to each other,
/// and against a request that runs at two engines.
#[test]
fn request_does_not_loop_while_every_region_is_overloaded() {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_for_markers(&env);

    let responses = send_chats_in_all_regions(&env);

    assert_no_loop(&env);
    assert_each_ran_once(&env);
    assert!(responses.iter().any(|response| response.status == 200));
}

/// Guards against a request that overloaded regions forward one after another.
#[test]
fn request_is_forwarded_at_most_once_while_every_region_is_overloaded() {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_for_markers(&env);

    send_chats_in_all_regions(&env);

    assert_forwarded_at_most_once(&env);
}

/// Sends requests while the last state that each host received shows capacity in
/// other regions, although no region has any.
fn chat_with_contradictory_views() -> (TestEnv, Vec<CallerResponse>) {
    let env = TestEnv::start(&small_engines());
    wait_until_regions_are_known(&env);
    watch_for_markers(&env);
    drop_all_gossip(&env);
    for engine in &env.testbed.engines {
        engine.standin.set_leaving(true);
    }
    let responses = send_chats_in_all_regions(&env);
    (env, responses)
}

/// Guards against a loop between regions whose outdated state shows capacity in
/// each other, and against a request that runs although it is refused.
#[test]
fn request_does_not_loop_with_contradictory_views() {
    let (env, responses) = chat_with_contradictory_views();

    assert_no_loop(&env);
    let forwards = forwards_into_hosts(&env);
    let has_forwarded = forwards.values().any(|into| !into.is_empty());
    assert!(has_forwarded, "no request was forwarded: {}", env.logs());
    assert_each_ran_once(&env);
    for response in responses.iter().filter(|response| response.status != 200) {
        assert_eq!(response.run_state(), "not_run");
    }
}

/// Guards against a request that is forwarded to one region after another because
/// the outdated state of each shows capacity in the next.
#[test]
fn request_is_forwarded_at_most_once_with_contradictory_views() {
    let (env, _responses) = chat_with_contradictory_views();

    assert_forwarded_at_most_once(&env);
}

/// Guards against a caller whose header fields make a host treat its request as
/// forwarded, so that it is not forwarded again, or set the request id.
#[test]
fn forwarding_headers_from_a_caller_are_ignored() {
    let env = TestEnv::start(&TestbedOptions::new());
    wait_until_regions_are_known(&env);
    for engine in env.testbed.engines_in("stred") {
        engine.standin.set_leaving(true);
    }
    let mut caller = env.caller("stred");
    for (name, value) in FORGED_HEADERS {
        caller = caller.with_header(name, value);
    }

    let response = caller.chat("forged", 8).expect("the host must answer");

    assert_eq!(response.status, 200, "not forwarded:\n{}", env.logs());
    let id = response.headers.get("x-request-id").unwrap_or_default();
    let forged = FORGED_HEADERS[0].1;
    assert!(!id.is_empty() && id != forged);
    let runs = run_counts(&env);
    assert_eq!(runs.get(id), Some(&1), "{runs:?}");
    assert_eq!(runs.get(forged), None, "{runs:?}");
}

/// Guards against a request that fails although another region could serve it: the
/// endpoints at home are leaving, and the first host in another region does not
/// respond, as a paused process does.
#[test]
fn a_paused_host_of_another_region_does_not_use_up_the_attempts() {
    for paused in ["zapad", "sever"] {
        let env = TestEnv::start(&TestbedOptions::new());
        wait_until_regions_are_known(&env);
        for engine in env.testbed.engines_in("stred") {
            engine.standin.set_leaving(true);
        }
        env.host(paused).signal(Signal::SIGSTOP);

        let response = env.caller("stred").chat("while paused", 8);

        let response = response.expect("the host must answer");
        assert_eq!(response.status, 200, "{paused} paused:\n{}", env.logs());
    }
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
        deadline_ms: clock::now() + Millis(EXCHANGE_TIMEOUT.as_millis() as u64),
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
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    Link::connect(stream, &ClusterKey::new(key.as_bytes()), own, deadline)
}

/// Sends a forward and reads frames up to the final one.
fn exchange(link: &mut Link, frame: &Frame, body: &[u8]) -> Result<Message, LinkError> {
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
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

/// Proxies one connection to `target`; returns the address of the proxy and the
/// thread that yields the bytes that the client sent.
fn record_connection(target: SocketAddr) -> (SocketAddr, thread::JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let recorder = thread::spawn(move || {
        let (mut caller, _) = listener.accept().expect("a connection");
        let mut host = TcpStream::connect(target).expect("the host must accept");
        let (mut host_output, mut caller_input) = (
            host.try_clone().expect("a socket"),
            caller.try_clone().expect("a socket"),
        );
        let copy_thread = thread::spawn(move || io::copy(&mut host_output, &mut caller_input));
        let mut recorded = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = caller.read(&mut buffer) {
            recorded.extend_from_slice(&buffer[..count]);
            if host.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // The host may already have closed the connection.
        let _ = host.shutdown(Shutdown::Both);
        let _ = copy_thread.join();
        recorded
    });
    (address, recorder)
}

/// Returns how often engines received a request with this id.
fn received_count(env: &TestEnv, request: u128) -> usize {
    let id = RequestId(request).to_string();
    let engines = env.testbed.engines.iter();
    let seen = engines.flat_map(|engine| engine.standin.seen());
    seen.filter(|seen| seen.id == id).count()
}

/// Guards against forwards from outside the cluster or with a false origin: a
/// replay of recorded bytes, a wrong key, or the name of another host.
#[test]
fn replayed_or_forged_forward_is_refused() {
    let env = TestEnv::start(&TestbedOptions::new());
    wait_until_regions_are_known(&env);
    let seat = env.testbed.seats_in("zapad").next().expect("a host");
    let address = seat.config.peer_address;
    let own = identity("stred-9");
    let body = chat_body("replayed", 4, false);
    let (recording, recorder) = record_connection(address);
    let mut valid_link = link(recording, CLUSTER_KEY, &own).expect("the key is right");
    let response = exchange(&mut valid_link, &forward("stred-9", 1, &body), &body);
    assert!(matches!(response, Ok(message) if matches!(message.frame, Frame::ResponseEnd { .. })));
    drop(valid_link);
    let recorded = recorder.join().expect("the recorder must not panic");

    let mut replay = TcpStream::connect(address).expect("the host must accept");
    // The host may close the connection before all bytes are written.
    let _ = replay.write_all(&recorded);
    let _ = replay.set_read_timeout(Some(EXCHANGE_TIMEOUT));
    let mut replay_response = Vec::new();
    let _ = replay.read_to_end(&mut replay_response);
    let wrong_key_link = link(address, "another key of a cluster", &own);
    let mut forging_link = link(address, CLUSTER_KEY, &own).expect("the key is right");
    let forged_response = exchange(&mut forging_link, &forward("stred-1", 2, &body), &body);

    assert_eq!(received_count(&env, 1), 1, "the replay ran");
    assert!(
        wrong_key_link.is_err(),
        "a host without the cluster key was accepted"
    );
    assert!(
        forged_response.is_err(),
        "a forward in the name of another host was accepted"
    );
    assert_eq!(received_count(&env, 2), 0, "the forged forward ran");
}
