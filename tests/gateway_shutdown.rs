//! Behaviour of a host towards callers when it stops and when they disconnect.

mod gatewayenv;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::Duration, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Script,
        ScriptedEndpoint,
        event_text, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    configuration,
    host_with,
    read_next_response,
    wait_until, //
};
use nix::sys::signal::Signal;
use serde_json::json;
use socket2::SockRef;

/// Guards against a stopping host that accepts requests it cannot finish, or
/// interrupts streams that it could have finished.
#[test]
fn stopping_host_finishes_streams_and_refuses_late_requests() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| match arrival.path.as_str() {
        "/draft/1" => Script::Events {
            first: 0,
            end: 40,
            pause: Duration::from_millis(100),
            is_whole: true,
        },
        _ => Script::Answer(200, b"ok".to_vec()),
    })
    .expect("the endpoint starts");
    let (store, mut host) = host_with(&endpoint);
    let caller_address = host.caller_address;
    let stream = thread::spawn(move || {
        Request::post("/draft/1", b"text")
            .with_attempt("a-1", 9_000)
            .send(caller_address)
    });
    wait_until("the stream runs", || endpoint.runs().len() == 1);

    host.signal(Signal::SIGTERM);
    wait_until("the host is not ready", || !host.is_ready());
    let early = Request::post("/book/1", b"x")
        .with_attempt("a-2", 5_000)
        .send(host.caller_address);
    thread::sleep(Duration::from_millis(3_100));
    let late = Request::post("/book/1", b"x")
        .with_attempt("a-3", 5_000)
        .send(host.caller_address);

    assert_eq!(early.status, 200);
    assert_eq!(early.header("connection"), Some("close"));
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    let stream = stream.join().expect("the caller ends");
    assert!(stream.is_complete);
    assert_eq!(stream.text(), (0..40).map(event_text).collect::<String>());
    assert_eq!(host.wait_end(Duration::from_secs(5)), Some(0));
    assert!(!endpoint.runs().iter().any(|run| run.attempt() == "a-3"));
    assert!(store.keys("cardamombridge/hosts/").is_empty());
}

/// Guards against a stream that keeps running at the endpoint after its caller
/// has disconnected, and against the interruption of a request with a side
/// effect whose caller has disconnected.
#[test]
fn disconnection_ends_a_stream_but_not_a_booking() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| match arrival.path.as_str() {
        "/draft/1" => Script::Events {
            first: 0,
            end: 1_000,
            pause: Duration::from_millis(20),
            is_whole: true,
        },
        _ => Script::After(
            Duration::from_millis(300),
            Box::new(Script::Answer(200, b"ok".to_vec())),
        ),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let leave_after_start = |path: &str, attempt: &str| {
        let mut stream = TcpStream::connect(host.caller_address).expect("a connection");
        let request = Request::post(path, b"x").with_attempt(attempt, 9_000);
        std::io::Write::write_all(&mut stream, &request.bytes()).expect("the request is sent");
        wait_until("the request runs", || {
            endpoint.runs().iter().any(|run| run.attempt() == attempt)
        });
    };

    leave_after_start("/draft/1", "a-1");
    leave_after_start("/book/1", "a-2");

    host.wait_log("\"outcome\":\"caller left\"");
    host.wait_log("\"request\":\"a-2\",\"route\":\"book\"");
    let log = host.log();
    let booking = log
        .lines()
        .find(|line| line.contains("request ended") && line.contains("\"request\":\"a-2\""))
        .expect("the booking ended");
    assert!(booking.contains("\"outcome\":\"answered\""), "{booking}");
    assert!(log.contains("\"outcome\":\"caller left\""));
}

/// Guards against responses that are lost or reordered when requests are
/// pipelined on one connection.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| {
        Script::Answer(200, arrival.attempt().as_bytes().to_vec())
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let mut stream = TcpStream::connect(host.caller_address).expect("a connection");
    let pipelined: Vec<u8> = (0..3)
        .flat_map(|number| {
            Request::get("/read/1")
                .with_attempt(&format!("a-{number}"), 5_000)
                .bytes()
        })
        .collect();

    std::io::Write::write_all(&mut stream, &pipelined).expect("the requests are sent");
    // All responses may arrive at once.
    thread::sleep(Duration::from_millis(300));

    let mut read = Vec::new();
    for number in 0..3 {
        let response = read_next_response(&mut stream, &mut read).expect("a response");
        assert_eq!(response.text(), format!("a-{number}"));
    }
    assert!(read.is_empty(), "bytes after the last response: {read:?}");
}

/// Guards against a waiting request that gets neither an answer nor a refusal, because
/// its host ends before an endpoint accepts it.
#[test]
fn waiting_request_is_refused_when_its_host_ends() {
    let endpoint =
        ScriptedEndpoint::start("e-1", |_, _| Script::NotRunFor("9.5")).expect("it starts");
    let mut patient = configuration(7);
    patient["routes"][1]["goal_ms"] = json!(20_000);
    patient["routes"][1]["timeout_ms"] = json!(20_000);
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &patient);
    announce(&store, &endpoint, "north");
    let options = HostOptions {
        shutdown_s: 3,
        ..HostOptions::default()
    };
    let mut host = Host::start(&store, &options);
    host.wait_log("endpoint announced");
    let address = host.caller_address;
    let caller = thread::spawn(move || {
        Request::post("/book/1", b"parcel")
            .with_attempt("a-1", 20_000)
            .try_send(address)
    });
    wait_until("the endpoint refuses the request", || {
        endpoint.arrivals().len() == 1
    });

    host.signal(Signal::SIGTERM);
    let response = caller.join().expect("the caller ends");

    let response = response.expect("an answer before the connection closes");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(host.wait_end(Duration::from_secs(5)), Some(0));
}

/// Guards against the end of the whole process: a stream ends in the middle of an event
/// just after its caller reset the connection.
#[test]
fn caller_that_resets_at_the_end_of_a_stream_does_not_end_the_host() {
    let unfinished = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n\
        Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: t\r\n0\r\n\r\n";
    let endpoint = ScriptedEndpoint::start("e-1", move |_, _| {
        let answer = Script::Raw(unfinished.to_vec());
        Script::After(Duration::from_millis(300), Box::new(answer))
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let mut caller = TcpStream::connect(host.caller_address).expect("a connection");
    let request = Request::post("/chat/1", b"hello").with_attempt("a-1", 5_000);
    caller
        .write_all(&request.bytes())
        .expect("the request is sent");
    wait_until("the request runs", || endpoint.runs().len() == 1);

    host.signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(600));
    SockRef::from(&caller)
        .set_linger(Some(Duration::ZERO))
        .expect("the option can be set");
    drop(caller);
    host.signal(Signal::SIGCONT);
    host.wait_log("\"request\":\"a-1\",\"route\":\"chat\"");

    assert!(host.is_ready());
}

/// Returns a host that ends this many seconds after its stop signal, and its store.
fn host_with_grace(endpoint: &ScriptedEndpoint, shutdown_s: u64) -> (MetadataStore, Host) {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &configuration(7));
    announce(&store, endpoint, "north");
    let options = HostOptions {
        shutdown_s,
        ..HostOptions::default()
    };
    let host = Host::start(&store, &options);
    host.wait_log("endpoint announced");
    (store, host)
}

/// Returns a host with a grace of 4 s, an endpoint whose drafts take 2 s, and their store; one
/// draft has been answered.
fn host_with_known_drafts() -> (MetadataStore, ScriptedEndpoint, Host) {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| match arrival.path.as_str() {
        "/draft/1" => Script::Events {
            first: 0,
            end: 20,
            pause: Duration::from_millis(100),
            is_whole: true,
        },
        _ => Script::Answer(200, b"ok".to_vec()),
    })
    .expect("the endpoint starts");
    let (store, host) = host_with_grace(&endpoint, 4);
    let draft = Request::post("/draft/1", b"text")
        .with_attempt("a-0", 9_000)
        .send(host.caller_address);
    assert!(draft.is_complete);
    (store, endpoint, host)
}

/// Guards against a stream that is taken during a stop and cut at its end, although the host
/// knows how long such streams last.
#[test]
fn stream_that_outlasts_the_stop_is_refused_as_not_run() {
    let (_store, endpoint, host) = host_with_known_drafts();
    let send = |path: &str, attempt: &str| {
        Request::post(path, b"text")
            .with_attempt(attempt, 9_000)
            .try_send(host.caller_address)
            .expect("an answer")
    };

    host.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(200));
    let in_time = send("/draft/1", "a-1");
    let late = send("/draft/1", "a-2");

    assert!(in_time.is_complete);
    assert_eq!(in_time.status, 200);
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    assert!(!endpoint.runs().iter().any(|run| run.attempt() == "a-2"));
}

/// Guards against requests of unknown length that are cut at the end of a short grace.
#[test]
fn request_of_unknown_length_is_taken_only_if_its_time_limit_ends_before_the_host() {
    let (_store, endpoint, host) = host_with_known_drafts();
    let send = |attempt: &str, limit_ms: u64| {
        Request::post("/book/1", b"parcel")
            .with_attempt(attempt, limit_ms)
            .try_send(host.caller_address)
            .expect("an answer")
    };

    host.signal(Signal::SIGTERM);
    wait_until("the host is not ready", || !host.is_ready());
    let patient = send("a-1", 9_000);
    let short = send("a-2", 1_000);

    assert_eq!(patient.status, 503);
    assert_eq!(short.status, 200);
    assert!(!endpoint.runs().iter().any(|run| run.attempt() == "a-1"));
}

/// Guards against a connection that closes without an answer while its request is received.
#[test]
fn request_that_is_received_during_the_stop_is_refused() {
    let (_store, _endpoint, mut host) = host_with_known_drafts();
    let mut caller = TcpStream::connect(host.caller_address).expect("a connection");
    let request = Request::post("/book/1", &[b'x'; 400]).with_attempt("a-1", 9_000);
    let bytes = request.bytes();
    caller
        .write_all(&bytes[..bytes.len() - 100])
        .expect("the first part is sent");

    host.signal(Signal::SIGTERM);
    let answer = read_next_response(&mut caller, &mut Vec::new());

    let answer = answer.expect("an answer before the connection closes");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(host.wait_end(Duration::from_secs(5)), Some(0));
}

/// Guards against a repeat that is sent late in a stop and cut at its end.
#[test]
fn repeat_that_outlasts_the_stop_is_not_sent() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => Script::After(
            Duration::from_millis(1_500),
            Box::new(Script::Answer(200, b"ok".to_vec())),
        ),
        _ => Script::After(Duration::from_millis(2_500), Box::new(Script::Close)),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with_grace(&endpoint, 4);
    host.earn_repeats(8);
    let address = host.caller_address;
    let read = move |attempt: &'static str| {
        Request::get("/read/1")
            .with_attempt(attempt, 9_000)
            .try_send(address)
    };
    read("a-1").expect("an answer");
    let caller = thread::spawn(move || read("a-2"));
    wait_until("the request runs", || endpoint.runs().len() == 2);

    host.signal(Signal::SIGTERM);
    let answer = caller.join().expect("the caller ends");

    // Its endpoint breaks off 1 s before the host exits; a repeat takes 1.5 s.
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(endpoint.runs().len(), 2);
    host.wait_log("host stops before an answer");
}

/// Guards against a stream that is cut during a stop because its rest counts as a new answer.
#[test]
fn interrupted_stream_goes_on_elsewhere_if_its_rest_ends_before_the_host() {
    let events = |first, end, is_whole| Script::Events {
        first,
        end,
        pause: Duration::from_millis(100),
        is_whole,
    };
    let endpoint = ScriptedEndpoint::start("e-1", move |index, _| match index {
        0 => events(0, 20, true),
        1 => events(0, 16, false),
        _ => events(16, 20, true),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with_grace(&endpoint, 4);
    host.earn_repeats(8);
    let address = host.caller_address;
    let chat = move |attempt: &'static str| {
        Request::post("/chat/1", b"hello")
            .with_attempt(attempt, 9_000)
            .send(address)
    };
    assert!(chat("a-1").is_complete);
    let caller = thread::spawn(move || chat("a-2"));
    wait_until("the stream runs", || endpoint.runs().len() == 2);

    host.signal(Signal::SIGTERM);
    let answer = caller.join().expect("the caller ends");

    assert!(answer.is_complete, "{}", answer.text());
    assert_eq!(answer.text(), (0..20).map(event_text).collect::<String>());
}
