//! Answers whose status is not one that ends a request.

mod gatewayenv;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    gateway::head::{
        HeadError,
        parse_response, //
    },
    http::{
        client::HttpRequest,
        message::Headers, //
    },
    standin::{
        listener::{
            Listener,
            Next,
            write_deadline, //
        },
        metadata_store::{
            MetadataStore,
            StoreFault, //
        },
        scripted::{
            Script,
            ScriptedEndpoint, //
        }, //
    },
    upstream::{
        ReadError,
        Upstream,
        UpstreamReply,
        connect, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    configuration,
    event_texts,
    host_with,
    hosts_of_two_regions,
    store_with_configuration,
    wait_until, //
};
use serde_json::{
    Value,
    json, //
};

const LIMIT_MS: u64 = 3_000;
/// Time in which an invalid answer is given up; a request without any answer takes [`LIMIT_MS`].
const GIVE_UP_LIMIT: Duration = Duration::from_millis(1_500);
const INVALID_STATUSES: [&str; 6] = ["000", "001", "099", "600", "700", "999"];
/// Those that are sent to hosts, each of which takes seconds to start.
const SENT_STATUSES: [&str; 3] = ["000", "099", "999"];
const SEALED: &str = "X-Attempt-Id: a-1\r\nX-Server-Seal: s\r\nContent-Type: text/plain\r\n";
/// Time in which a host checks an endpoint several times.
const CHECK_TIME: Duration = Duration::from_millis(1_200);
const COLD_TIME: Duration = Duration::from_secs(20);

/// Returns a signed answer with a length.
fn answer(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} Text\r\n{SEALED}Content-Length: 4\r\n\r\ntext").into_bytes()
}

/// Returns the head of an interim response.
fn interim(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} Text\r\n\r\n").into_bytes()
}

/// Starts an endpoint that writes `first` for its first request, and a proper answer otherwise.
fn endpoint_with_first(first: Vec<u8>) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::start("e-1", move |index, _| match index {
        0 => Script::Raw(first.clone()),
        _ => Script::Answer(200, event_texts(0, 3).into_bytes()),
    });
    endpoint.expect("the endpoint starts")
}

fn endpoint_with(bytes: Vec<u8>) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::start("e-1", move |_, _| Script::Raw(bytes.clone()));
    endpoint.expect("the endpoint starts")
}

fn send(host: &Host, path: &str) -> Response {
    Request::post(path, b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address)
}

/// Guards against a status outside of HTTP that is taken for an answer.
#[test]
fn status_outside_of_http_is_malformed() {
    for status in INVALID_STATUSES {
        for is_head_request in [false, true] {
            let parsed = parse_response(&answer(status), is_head_request);

            assert_eq!(parsed, Err(HeadError::Malformed), "{status}");
        }
    }
}

/// Guards against valid statuses that are rejected as well.
#[test]
fn every_status_of_http_is_parsed() {
    for status in 100..=599_u16 {
        let parsed = parse_response(&answer(&status.to_string()), false);

        let (head, _) = parsed.expect("a valid head").expect("a whole head");
        assert_eq!(head.status, status);
    }
}

/// Guards against an invalid status that reaches the caller of a request that must not be
/// repeated.
#[test]
fn invalid_status_is_answered_with_bad_gateway() {
    for status in SENT_STATUSES {
        let endpoint = endpoint_with(answer(status));
        let (_store, host) = host_with(&endpoint);

        let response = send(&host, "/book/1");

        assert_eq!(response.status, 502, "{status}");
        assert_eq!(response.text(), "", "{status}");
        assert_eq!(endpoint.runs().len(), 1, "{status}");
    }
}

/// Guards against an invalid status that ends a request which may be repeated.
#[test]
fn request_with_an_invalid_answer_is_repeated() {
    for status in SENT_STATUSES {
        for path in ["/read/1", "/chat/1"] {
            let endpoint = endpoint_with_first(answer(status));
            let (_store, host) = host_with(&endpoint);

            let response = send(&host, path);

            assert_eq!(
                (response.status, response.text()),
                (200, event_texts(0, 3)),
                "{status} {path}"
            );
            assert_eq!(endpoint.runs().len(), 2, "{status} {path}");
        }
    }
}

/// Guards against an invalid answer that ends a stream as if it were complete.
#[test]
fn stream_that_an_invalid_answer_follows_is_cut_off() {
    let endpoint = ScriptedEndpoint::start("e-1", move |index, _| match index {
        0 => Script::Events {
            first: 0,
            end: 2,
            pause: Duration::ZERO,
            is_whole: false,
        },
        _ => Script::Raw(answer("999")),
    });
    let endpoint = endpoint.expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/chat/1");

    assert_eq!((response.status, response.text()), (200, event_texts(0, 2)));
    assert!(!response.is_complete, "framed as complete");
}

/// Guards against a host of another region that passes an invalid status on.
#[test]
fn invalid_status_of_an_endpoint_of_another_region_is_answered_with_bad_gateway() {
    let endpoint = endpoint_with(answer("999"));
    let store = store_with_configuration();
    announce(&store, &endpoint, "south");
    let (north, _south) = hosts_of_two_regions(&store);

    let response = send(&north, "/book/1");

    assert_eq!((response.status, &*response.text()), (502, ""));
    assert_eq!(endpoint.runs().len(), 1);
}

/// Makes hosts send what they forward to the host `name` to `address`.
fn redirect_forwards(store: &MetadataStore, name: &'static str, address: SocketAddr) {
    store.set_rewrite(move |_, value| {
        let mut item: Value = serde_json::from_slice(value).ok()?;
        if item["name"] != name || item["peer_address"].is_null() {
            return None;
        }
        item["peer_address"] = json!(address);
        Some(item.to_string().into_bytes())
    });
}

/// Guards against an invalid status of another host that reaches the caller.
#[test]
fn invalid_status_of_another_host_is_answered_with_bad_gateway() {
    let endpoint = endpoint_with(answer("200"));
    let store = store_with_configuration();
    announce(&store, &endpoint, "south");
    let remote = Listener::start(0, |connection, _| {
        connection.write_all(&answer("999"), write_deadline())?;
        Ok(Next::Close)
    });
    let remote = remote.expect("the listener starts");
    redirect_forwards(&store, "host-2", remote.address());
    let (north, _south) = hosts_of_two_regions(&store);

    let response = send(&north, "/book/1");

    assert_eq!((response.status, &*response.text()), (502, ""));
    assert!(north.log().contains("request sent to another host"));
}

/// Guards against an interim response that is passed on, or awaited further, as the answer
/// although its connection has ended.
#[test]
fn interim_response_is_not_an_answer() {
    for status in ["100", "103"] {
        let endpoint = endpoint_with(interim(status));
        let (_store, host) = host_with(&endpoint);

        let response = send(&host, "/book/1");

        assert_eq!(response.status, 502, "{status}");
    }
}

/// Guards against interim responses that are taken for the answer which follows them.
#[test]
fn answer_after_interim_responses_is_relayed() {
    let bytes = [interim("100"), interim("103"), answer("200")].concat();
    let endpoint = endpoint_with(bytes);
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/book/1");

    assert_eq!((response.status, &*response.text()), (200, "text"));
}

/// Guards against a change of protocols that no host asks for: what follows is not HTTP, and the
/// connection may stay open.
#[test]
fn switch_of_protocols_is_not_an_answer() {
    for rest in [Vec::new(), answer("200")] {
        let script = Script::RawKept([interim("101"), rest].concat());
        let endpoint = ScriptedEndpoint::start("e-1", move |_, _| script.clone());
        let endpoint = endpoint.expect("the endpoint starts");
        let (_store, host) = host_with(&endpoint);
        let started = Instant::now();

        let response = send(&host, "/book/1");

        assert_eq!((response.status, &*response.text()), (502, ""));
        let took = started.elapsed();
        assert!(took < GIVE_UP_LIMIT, "{took:?}");
    }
}

/// Returns a configuration whose endpoints may be cold.
fn cold_configuration() -> Value {
    let mut known = configuration(7);
    known["backends"][0]["cold_s"] = json!(3.0);
    known["backends"][0]["cold_per_s"] = json!(2.0);
    known
}

fn start_answering(store: &MetadataStore) -> (ScriptedEndpoint, Host) {
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"answer".to_vec()));
    let endpoint = endpoint.expect("the endpoint starts");
    announce(store, &endpoint, "north");
    let host = Host::start(store, &HostOptions::default());
    host.wait_log("\"e-1\"");
    (endpoint, host)
}

/// Guards against an endpoint that counts as cold because of an invalid answer to a health check.
#[test]
fn invalid_answer_to_a_health_check_states_nothing() {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &cold_configuration());
    let (endpoint, host) = start_answering(&store);
    let has_found = || host.log().contains("\"health check\"");
    endpoint.set_check_status(999);
    endpoint.become_cold(COLD_TIME);
    store.set_fault(StoreFault::Busy);
    wait_until("the endpoint is checked", || {
        endpoint.health_check_count() > 0
    });

    thread::sleep(CHECK_TIME);

    assert!(!has_found(), "an invalid answer counts");
    let checks = endpoint.health_check_count();
    assert!(checks > 1, "{checks} checks");
    endpoint.set_check_status(200);
    wait_until("a valid answer counts", has_found);
}

/// Guards against an endpoint that counts as started again because of an invalid report.
#[test]
fn invalid_report_states_nothing() {
    let store = MetadataStore::start().expect("the store starts");
    let mut known = cold_configuration();
    known["backends"][0]["engine"] = json!({ "slots": 64, "kv_cap_tokens": 400_000 });
    store.put("op/config", &known);
    let (endpoint, host) = start_answering(&store);
    let has_found = || host.log().contains("endpoint has started again");
    endpoint.set_reported_start(1);
    wait_until("the start is known", || {
        send(&host, "/read/1").status == 200
    });
    endpoint.set_check_status(999);
    endpoint.set_reported_start(2);

    endpoint.close_connections();
    host.wait_log("endpoint may have started again");
    thread::sleep(CHECK_TIME);

    assert!(!has_found(), "an invalid report counts");
    endpoint.set_check_status(200);
    wait_until("a valid report counts", has_found);
}

/// Returns what the OpenAI interface reads from an endpoint that writes `bytes`.
fn read_openai_head(bytes: Vec<u8>) -> Result<u16, ReadError> {
    let endpoint = Listener::start(0, move |connection, _| {
        connection.write_all(&bytes, write_deadline())?;
        Ok(Next::Close)
    });
    let endpoint = endpoint.expect("the listener starts");
    let deadline = Instant::now() + Duration::from_millis(LIMIT_MS);
    let connection = connect(endpoint.address(), deadline).expect("a connection");
    let request = HttpRequest {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Headers::new(),
        body: b"{}".to_vec(),
    };
    let mut upstream = Upstream::send(connection, &request, deadline).expect("a sent request");
    upstream.read_head(deadline).map(|reply| match reply {
        UpstreamReply::Response(head) => head.status,
        UpstreamReply::Refused { .. } => panic!("an endpoint has no such refusal"),
    })
}

/// Guards against the same at the OpenAI interface.
#[test]
fn openai_interface_takes_no_invalid_status_for_an_answer() {
    for status in INVALID_STATUSES {
        let read = read_openai_head(answer(status));

        assert_eq!(read, Err(ReadError::Failed), "{status}");
    }
}

/// Guards against an interim response that callers of the OpenAI interface get as the answer.
#[test]
fn openai_interface_takes_no_interim_response_for_an_answer() {
    for status in ["100", "101", "103", "199"] {
        let read = read_openai_head(answer(status));

        assert_eq!(read, Err(ReadError::Failed), "{status}");
    }
    let switched = [interim("101"), answer("200")].concat();
    assert_eq!(read_openai_head(switched), Err(ReadError::Failed));
    let followed = [interim("100"), interim("103"), answer("200")].concat();
    assert_eq!(read_openai_head(followed), Ok(200));
    let endless = interim("100").repeat(64);
    assert_eq!(read_openai_head(endless), Err(ReadError::Failed));
}
