//! Endpoints that send bytes without end: the host closes the connection at once and holds
//! a bounded part.

mod gatewayenv;

use std::{
    io::Write,
    net::TcpStream,
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
    Request,
    Response,
    host_with, //
};

const LIMIT_MS: u64 = 4_000;
/// Time in which an answer without end has to be given up: half of the request's limit.
const CLOSE_LIMIT: Duration = Duration::from_millis(LIMIT_MS / 2);
/// Memory that a host may use beside one such answer: a quarter of a small host's.
const MAX_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
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
