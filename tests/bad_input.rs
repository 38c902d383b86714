//! Invalid input is refused with a specific error, and the host continues to serve
//! other requests.

mod testenv;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream,
        UdpSocket, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    caller::MAX_BODY_BYTES,
    standin::testbed::{
        CALLER_KEY,
        MODEL,
        TestbedOptions, //
    }, //
};
use rand::{
    Rng,
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use testenv::{
    Caller,
    CallerResponse,
    TestEnv,
    chat_body,
    expected_text,
    wait_for, //
};

/// Documented time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const SEED: u64 = 20_261_203;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

fn start() -> TestEnv {
    TestEnv::start(&TestbedOptions::new())
}

fn post(env: &TestEnv, body: &[u8]) -> CallerResponse {
    let response = env
        .caller("stred")
        .call("POST", "/v1/chat/completions", body.to_vec());
    response.expect("the host must answer")
}

fn assert_serves(env: &TestEnv) {
    let response = env.caller("stred").chat("after bad input", 8);
    let response = response.expect("the host must answer");
    assert_eq!(response.text(), expected_text("after bad input", 8));
}

fn random_bytes(rng: &mut Pcg64Mcg, max_length: usize) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(1..max_length)];
    rng.fill_bytes(&mut bytes);
    bytes
}

/// Writes raw bytes and returns the response, read until the host closes the
/// connection.
fn send_raw(address: SocketAddr, bytes: &[u8], timeout: Duration) -> String {
    let mut stream = TcpStream::connect(address).expect("the host must accept");
    stream
        .set_read_timeout(Some(timeout))
        .expect("a timeout must be set");
    // The host may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against invalid requests that are sent to an engine, and against errors
/// that do not name the invalid field.
#[test]
fn a_malformed_request_is_refused_with_the_invalid_field() {
    let env = start();
    let cases: [(&[u8], &str); 6] = [
        (b"{", "not valid JSON"),
        (b"{}", "\\\"model\\\""),
        (br#"{"model":"stain-advice"}"#, "\\\"messages\\\""),
        (br#"{"model":"stain-advice","messages":[]}"#, "\\\"messages\\\""),
        (
            br#"{"model":"stain-advice","messages":[{"role":"user","content":"x"}],"max_tokens":-1}"#,
            "\\\"max_tokens\\\"",
        ),
        (
            br#"{"model":"stain-advice","messages":[{"role":"user","content":"x"}],"service_tier":"fast"}"#,
            "\\\"service_tier\\\"",
        ),
    ];

    for (body, named) in cases {
        let response = post(&env, body);

        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, 400, "{text}");
        assert_eq!(response.run_state(), "not_run");
        assert!(text.contains(named), "{text} does not name {named}");
    }
    assert_serves(&env);
    let seen = env
        .testbed
        .engines
        .iter()
        .map(|engine| engine.standin.seen().len());
    assert_eq!(seen.sum::<usize>(), 1);
}

/// Guards against requests for unknown models, services, paths or methods that
/// are not refused as not run.
#[test]
fn unknown_names_are_refused() {
    let env = start();
    let caller = env.caller("stred");
    let unknown = String::from_utf8_lossy(&chat_body("x", 1, false)).replace(MODEL, "gpt-0");

    let model = post(&env, unknown.as_bytes());
    let service = caller.get("/v1/services/bakery/stock").expect("a response");
    let path = caller.get("/v2/anything").expect("a response");
    let method = caller
        .call("PUT", "/v1/models", Vec::new())
        .expect("a response");

    assert_eq!(
        [model.status, service.status, path.status, method.status],
        [404, 404, 404, 405]
    );
    assert!(
        [model, service, path, method]
            .iter()
            .all(|response| response.run_state() == "not_run")
    );
}

/// Guards against memory exhaustion by a large head or body, with or without an
/// announced length.
#[test]
fn an_oversized_head_or_body_is_refused() {
    let env = start();
    let address = env.host("stred").address;
    let head = format!(
        "GET /v1/models HTTP/1.1\r\nx-fill: {}\r\n\r\n",
        "a".repeat(20_000)
    );
    let many: String = (0..100)
        .map(|number| format!("x-{number}: 1\r\n"))
        .collect();
    let many = format!("GET /v1/models HTTP/1.1\r\n{many}\r\n");
    let announced = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{}",
        MAX_BODY_BYTES + 1,
        "a".repeat(MAX_BODY_BYTES + 1)
    );

    let long_head = send_raw(address, head.as_bytes(), RESPONSE_TIMEOUT);
    let many_fields = send_raw(address, many.as_bytes(), RESPONSE_TIMEOUT);
    let long_body = send_raw(address, announced.as_bytes(), RESPONSE_TIMEOUT);
    let long_chunk = send_raw(address, chunked.as_bytes(), RESPONSE_TIMEOUT);

    assert!(long_head.starts_with("HTTP/1.1 431"), "{long_head}");
    assert!(many_fields.starts_with("HTTP/1.1 400"), "{many_fields}");
    assert!(long_body.starts_with("HTTP/1.1 413"), "{long_body}");
    assert!(
        long_chunk.is_empty() || long_chunk.starts_with("HTTP/1.1 413"),
        "{long_chunk}"
    );
    assert_serves(&env);
}

/// Guards against request smuggling: a body length that can be read in two ways
/// lets a caller hide a second request.
#[test]
fn an_ambiguous_body_length_is_refused() {
    let env = start();
    let address = env.host("stred").address;
    let start =
        format!("POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\n");
    let fields = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n\r\nabcd",
        "content-length: +4\r\n\r\nabcd",
        "transfer-encoding: gzip\r\n\r\nabcd",
    ];

    for field in fields {
        let response = send_raw(
            address,
            format!("{start}{field}").as_bytes(),
            RESPONSE_TIMEOUT,
        );

        assert!(response.starts_with("HTTP/1.1 400"), "{field}: {response}");
        assert!(
            response.contains("connection: close"),
            "{field}: {response}"
        );
    }
    assert_serves(&env);
}

/// Guards against connections that a slow sender keeps open without limit: it
/// starts a head and never completes it.
#[test]
fn a_slow_sender_is_disconnected() {
    let env = start();
    let mut stream = TcpStream::connect(env.host("stred").address).expect("a connection");
    stream
        .set_read_timeout(Some(HEAD_TIMEOUT + RESPONSE_TIMEOUT))
        .expect("a timeout must be set");
    let started = Instant::now();
    stream
        .write_all(b"GET /v1/models HTTP/1.1\r\nx-slow: ")
        .expect("the host must read");

    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);

    assert!(read.is_ok(), "the connection stayed open");
    assert!(response.starts_with(b"HTTP/1.1 408"));
    assert!(started.elapsed() >= HEAD_TIMEOUT - Duration::from_millis(100));
    assert_serves(&env);
}

/// Guards against a panic or a success response on bytes that are not a request.
#[test]
fn random_bytes_get_an_error_or_a_closed_connection() {
    let env = start();
    let address = env.host("stred").address;
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);

    for _ in 0..60 {
        let mut bytes = random_bytes(&mut rng, 400);
        bytes.extend_from_slice(b"\r\n\r\n");
        let response = send_raw(address, &bytes, RESPONSE_TIMEOUT);

        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4"),
            "{response}"
        );
    }
    assert_serves(&env);
    assert!(!env.host("stred").log().contains("panicked"));
}

/// Guards against a host that accepts datagrams not authenticated with the cluster
/// key.
#[test]
fn corrupt_datagrams_change_nothing() {
    let env = start();
    let target = env.testbed.seats[0].config.peer_address;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);

    for _ in 0..500 {
        let bytes = random_bytes(&mut rng, 1_400);
        socket
            .send_to(&bytes, target)
            .expect("the datagram must go out");
    }

    assert_serves(&env);
    let listed = || {
        let entry = env.caller("stred").get("/v1/entry").expect("a response");
        entry.json()["hosts"].as_array().map_or(0, Vec::len)
    };
    wait_for(RESPONSE_TIMEOUT, "the hosts are listed", || listed() > 0);
    assert!(listed() <= 3, "{} hosts are listed", listed());
    assert!(!env.host("stred").log().contains("panicked"));
}

/// Guards against a wrong caller key that is accepted, and against keys in logs.
#[test]
fn a_wrong_key_is_refused_and_not_logged() {
    let env = start();
    let wrong = "sk-this-key-is-wrong-4711";
    let caller = Caller::new(env.host("stred").address).with_key(wrong);

    let response = caller.get("/v1/models").expect("the host must answer");

    assert_eq!(response.status, 401);
    assert!(!env.logs().contains(wrong));
    assert!(!env.logs().contains(CALLER_KEY));
}
