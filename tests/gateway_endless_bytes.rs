//! Endpoints that send bytes without end: the host closes the connection at once and holds
//! a bounded part.

mod gatewayenv;

use std::{
    io::{
        Read,
        Write, //
    },
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

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    announce_with,
    configuration,
    host_with, //
};
use serde_json::json;

const LIMIT_MS: u64 = 4_000;
/// Time in which an answer without end has to be given up: half of the request's limit.
const CLOSE_LIMIT: Duration = Duration::from_millis(LIMIT_MS / 2);
/// Memory that a host may use beside one such answer: a quarter of a small host's.
const MAX_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
/// A signature without the attempt that the answer belongs to.
const SIGNED: &str = "X-Server-Seal: s\r\n";
const SEALED: &str = "X-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n";

fn endless(head: &str, rest: &[u8]) -> Script {
    let rest = rest.repeat(64 * 1024 / rest.len());
    Script::Endless(head.as_bytes().to_vec(), rest)
}

fn start(script: Script) -> (ScriptedEndpoint, MetadataStore, Host) {
    let endpoint = ScriptedEndpoint::start("e-1", move |_, _| script.clone());
    let endpoint = endpoint.expect("the endpoint starts");
    let (store, host) = host_with(&endpoint);
    (endpoint, store, host)
}

/// Sends a request to an endpoint with this script, and checks that it is given up early
/// and in bounded memory.
fn assert_closed(path: &str, script: Script) -> Response {
    let (_endpoint, _store, host) = start(script);
    let started = Instant::now();

    let response = Request::post(path, b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    let took = started.elapsed();
    assert!(took < CLOSE_LIMIT, "took {took:?}");
    let memory = host.peak_memory_bytes();
    assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes of memory");
    response
}

/// Guards against a failure of unlimited size that is held in memory.
#[test]
fn failure_without_end_is_closed() {
    let head = format!("HTTP/1.1 500 Failed\r\n{SEALED}\r\n");
    assert_eq!(assert_closed("/book/1", endless(&head, b"x")).status, 502);
}

/// Guards against an unsigned success of unlimited size that is held in memory.
#[test]
fn success_without_a_signature_and_end_is_closed() {
    let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\n\r\n";
    assert_eq!(assert_closed("/book/1", endless(head, b"x")).status, 502);
}

/// Guards against an event of unlimited size that is held in memory.
#[test]
fn event_without_end_is_closed() {
    let head =
        format!("HTTP/1.1 200 OK\r\n{SEALED}Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ");
    assert_eq!(assert_closed("/draft/1", endless(&head, b"x")).status, 502);
}

/// Guards against interim responses that are read until the limit of the request.
#[test]
fn interim_responses_without_end_are_closed() {
    let script = endless("", b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(assert_closed("/book/1", script).status, 502);
}

/// Guards against a late answer that is discarded until the limit of the next request.
#[test]
fn discarded_answer_without_end_is_closed() {
    let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n\r\n";
    assert_eq!(assert_closed("/book/1", endless(head, b"x")).status, 502);
}

/// Guards against trailer fields without end after a chunked answer.
#[test]
fn trailer_without_end_is_closed() {
    let head = format!("HTTP/1.1 200 OK\r\n{SEALED}Transfer-Encoding: chunked\r\n\r\n0\r\n");
    assert_eq!(
        assert_closed("/book/1", endless(&head, b"A: b\r\n")).status,
        502
    );
}

/// Guards against a head without end.
#[test]
fn head_without_end_is_closed() {
    let script = endless("HTTP/1.1 200 OK\r\n", b"A: b\r\n");
    assert_eq!(assert_closed("/book/1", script).status, 502);
}

/// Guards against bytes after a whole answer that are read without end.
#[test]
fn bytes_after_an_answer_are_closed() {
    let head = format!("HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 5\r\n\r\nfound");
    let response = assert_closed("/book/1", endless(&head, b"x"));
    assert_eq!((response.status, &*response.text()), (200, "found"));
}

/// Guards against an answer without end that is held for a caller who does not read.
#[test]
fn answer_without_end_waits_for_its_reader() {
    let head = format!("HTTP/1.1 200 OK\r\n{SEALED}\r\n");
    let (_endpoint, _store, host) = start(endless(&head, b"x"));
    let mut stream = TcpStream::connect(host.caller_address).expect("a connection");

    let request = Request::post("/book/1", b"hello").with_attempt("a-1", LIMIT_MS);
    stream
        .write_all(&request.bytes())
        .expect("the request is sent");
    thread::sleep(CLOSE_LIMIT);

    let memory = host.peak_memory_bytes();
    assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes of memory");
}

/// Guards against answers that are queued without end for a caller who sends requests and
/// does not read.
#[test]
fn requests_without_a_reader_are_closed() {
    let (_endpoint, _store, host) = start(Script::Close);
    let mut stream = TcpStream::connect(host.caller_address).expect("a connection");
    stream
        .set_write_timeout(Some(CLOSE_LIMIT))
        .expect("a time limit");

    let requests = Request::get("/none").bytes().repeat(1_000);
    let started = Instant::now();
    while started.elapsed() < CLOSE_LIMIT && stream.write_all(&requests).is_ok() {}

    let memory = host.peak_memory_bytes();
    assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes of memory");
}

/// Memory that a host may use whatever endpoints and callers do: half of a small host's.
const MAX_HOST_MEMORY_BYTES: u64 = 130 * 1024 * 1024;
/// Endpoints whose answers don't end: enough that a host sends them most of the requests.
const BULK_ENDPOINTS: usize = 40;
/// Callers of answers without end.
const CALLER_COUNT: usize = 150;
/// Time between two of these callers.
const CALLER_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which these callers stay.
const STAY: Duration = Duration::from_millis(3_000);
/// Requests of other callers in the meantime, one after the other.
const OTHER_COUNT: usize = 40;
/// Latency goal of the routes without end, so that no request is refused because others take
/// long.
const PATIENT_GOAL_MS: u64 = 60_000;
/// Time within which ordinary requests are answered: the goal of other tests.
const GOAL: Duration = Duration::from_millis(800);

/// Starts a host with a service whose endpoints follow `script`, and one that serves `/read/`.
fn start_two_services(script: &Script) -> (Vec<ScriptedEndpoint>, MetadataStore, Host) {
    let store = MetadataStore::start().expect("the store starts");
    let mut config = configuration(7);
    let mut bulk = config["backends"][0].clone();
    bulk["name"] = json!("bulk");
    config["backends"]
        .as_array_mut()
        .expect("a list")
        .push(bulk);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        if route["name"] != "read" {
            route["backend"] = json!("bulk");
            route["goal_ms"] = json!(PATIENT_GOAL_MS);
            route["timeout_ms"] = json!(PATIENT_GOAL_MS);
        }
    }
    store.put("op/config", &config);
    let start = |id: &str, service: &str, script: Script| {
        let endpoint = ScriptedEndpoint::start(id, move |_, _| script.clone());
        let endpoint = endpoint.expect("the endpoint starts");
        announce_with(&store, &endpoint, "north", &json!({ "backend": service }));
        endpoint
    };
    let mut endpoints = vec![start("e-0", "desk", Script::Answer(200, b"found".to_vec()))];
    let bulk =
        (1..=BULK_ENDPOINTS).map(|number| start(&format!("e-{number}"), "bulk", script.clone()));
    endpoints.extend(bulk);
    let host = Host::start(&store, &HostOptions::default());
    for endpoint in &endpoints {
        host.wait_log(&format!("\"endpoint\":\"{}\"", endpoint.id()));
    }
    (endpoints, store, host)
}

/// Sends a request whose answer does not end, and passes the connection to `read` until the
/// caller leaves.
fn call_endless<R>(path: &str, number: usize, address: SocketAddr, mut read: R)
where
    R: FnMut(&mut TcpStream),
{
    let request = Request::post(path, b"hello").with_attempt(&format!("e-{number}"), LIMIT_MS);
    let mut stream = TcpStream::connect(address).expect("a connection");
    let bytes = request.bytes();
    stream.write_all(&bytes).expect("the request is sent");
    let called = Instant::now();
    while called.elapsed() < STAY {
        read(&mut stream);
    }
}

/// Sends ordinary requests one after the other; returns the status and the time of each.
fn serve_others(address: SocketAddr) -> Vec<(u16, Duration)> {
    let send = |number| {
        thread::sleep(STAY / OTHER_COUNT as u32);
        let called = Instant::now();
        let request = Request::get("/read/1");
        let request = request.with_attempt(&format!("o-{number}"), LIMIT_MS);
        (request.send(address).status, called.elapsed())
    };
    (0..OTHER_COUNT).map(send).collect()
}

/// Checks that answers without end stay in bounded memory, and that other callers are served in
/// time meanwhile.
fn assert_host_is_bounded<R>(path: &'static str, script: Script, read: R)
where
    R: Fn(&mut TcpStream) + Copy + Send + Sync + 'static,
{
    let (endpoints, _store, host) = start_two_services(&script);
    let address = host.caller_address;
    let others = thread::spawn(move || serve_others(address));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            thread::sleep(CALLER_INTERVAL);
            thread::spawn(move || call_endless(path, number, address, read))
        })
        .collect();
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let others = others.join().expect("the other callers end");

    let endless = endpoints[1..].iter().map(|endpoint| endpoint.runs().len());
    let endless_count: usize = endless.sum();
    assert!(endless_count > CALLER_COUNT / 2, "{endless_count} answers");
    let memory = host.peak_memory_bytes();
    assert!(memory < MAX_HOST_MEMORY_BYTES, "{memory} bytes of memory");
    assert!(
        others
            .iter()
            .all(|(status, took)| *status == 200 && *took < GOAL),
        "{others:?}"
    );
}

fn read_nothing(_stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(50));
}

fn read_slowly(stream: &mut TcpStream) {
    thread::sleep(Duration::from_millis(20));
    // The host may have closed the connection.
    let _ = stream.read(&mut [0; 16 * 1024]);
}

/// Guards against many answers of unlimited length that are held for callers who do not read.
#[test]
fn answers_of_unlimited_length_stay_in_the_memory_of_a_host() {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: {}\r\n\r\n",
        1_u64 << 62
    );
    assert_host_is_bounded("/book/1", endless(&head, b"x"), read_nothing);
}

/// Guards against many chunks without end.
#[test]
fn chunks_without_end_stay_in_the_memory_of_a_host() {
    let size = 1_u64 << 60;
    let head = format!("HTTP/1.1 200 OK\r\n{SIGNED}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n");
    assert_host_is_bounded("/book/1", endless(&head, b"x"), read_nothing);
}

/// Guards against output that stays in memory after a caller has read it, because the host has
/// always more for it.
#[test]
fn answers_to_slow_readers_stay_in_the_memory_of_a_host() {
    let head = format!("HTTP/1.1 200 OK\r\n{SIGNED}\r\n");
    assert_host_is_bounded("/book/1", endless(&head, b"x"), read_slowly);
}

/// Guards against events without end that are held for callers who do not read.
#[test]
fn events_without_end_stay_in_the_memory_of_a_host() {
    let head = format!("HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n\r\n");
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(1_000));
    assert_host_is_bounded("/draft/1", endless(&head, event.as_bytes()), read_nothing);
}

/// Guards against large requests that arrive together and do not fit into the memory of a host:
/// those that don't are refused, and are not run.
#[test]
fn large_requests_stay_in_the_memory_of_a_host() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    const REQUEST_COUNT: usize = 48;
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| {
        let answer = Script::Answer(200, b"found".to_vec());
        Script::After(Duration::from_millis(500), Box::new(answer))
    });
    let endpoint = endpoint.expect("the endpoint starts");
    let store = MetadataStore::start().expect("the store starts");
    let mut large = configuration(7);
    large["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    store.put("op/config", &large);
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");
    let address = host.caller_address;

    let callers: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| {
            thread::spawn(move || {
                let request = Request::post("/book/1", &vec![b'x'; BODY_BYTES]);
                let request = request.with_attempt(&format!("a-{number}"), LIMIT_MS);
                // A refusal may be reset while the body is sent.
                request.try_send(address).map(|response| response.status)
            })
        })
        .collect();
    let statuses: Vec<Option<u16>> = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller ends"))
        .collect();

    let memory = host.peak_memory_bytes();
    let served = statuses
        .iter()
        .filter(|status| **status == Some(200))
        .count();
    assert!(
        memory < 2 * MAX_HOST_MEMORY_BYTES,
        "{memory} bytes of memory"
    );
    assert!(served > 0, "{statuses:?}");
    assert_eq!(endpoint.runs().len(), served, "{statuses:?}");
}
