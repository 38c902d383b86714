//! Responses to callers match what happened to their requests, even if endpoints
//! fail.

mod gatewayenv;

use std::{
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
        ScriptedEndpoint,
        event_text, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    announce_as,
    announce_with,
    configuration,
    free_addresses,
    host_with,
    store_with_configuration,
    wait_until, //
};
use serde_json::json;

const LIMIT_MS: u64 = 5_000;

fn events(first: u64, end: u64, is_whole: bool) -> Script {
    Script::Events {
        first,
        end,
        pause: Duration::from_millis(20),
        is_whole,
    }
}

/// Guards against a truncated stream that looks complete: the first endpoint
/// stops midway and the one that should continue responds with an error.
#[test]
fn stream_is_cut_off_if_it_cannot_be_continued() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => events(0, 3, false),
        _ => Script::Answer(500, b"failed".to_vec()),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = Request::post("/chat/1", b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    assert_eq!(response.status, 200);
    assert!(
        !response.is_complete,
        "the response ends as if it were complete"
    );
    assert_eq!(response.text(), (0..3).map(event_text).collect::<String>());
}

/// Guards against events that are lost, duplicated or merged when another
/// endpoint continues a stream that stopped in the middle of an event.
#[test]
fn stream_continues_after_the_last_complete_event() {
    let partial = Script::Raw(
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
             30\r\n{}{}id: 2\ndat",
            event_text(0),
            event_text(1)
        )
        .into_bytes(),
    );
    let endpoint = ScriptedEndpoint::start("e-1", move |_, arrival| {
        match arrival.headers.get("last-event-id") {
            None => partial.clone(),
            Some(last) => events(last.parse::<u64>().unwrap_or(99) + 1, 5, true),
        }
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = Request::post("/chat/1", b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    assert!(response.is_complete);
    assert_eq!(response.text(), (0..5).map(event_text).collect::<String>());
    assert_eq!(endpoint.runs().len(), 2);
}

/// Guards against a second run of a non-idempotent request whose response was
/// lost.
#[test]
fn non_idempotent_request_runs_once_if_its_response_is_lost() {
    let endpoint =
        ScriptedEndpoint::start("e-1", |_, _| Script::Close).expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = Request::post("/book/1", b"parcel")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    assert_eq!(
        response.status, 502,
        "expected a status that does not say whether the request ran"
    );
    assert_eq!(endpoint.runs().len(), 1);
}

/// Guards against the response to an earlier request being sent to the next
/// caller: it arrives late on a connection that is reused.
#[test]
fn late_response_to_an_earlier_request_is_discarded() {
    let late = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-0\r\nX-Server-Seal: s\r\n\
                Content-Length: 5\r\n\r\nwrong";
    let endpoint = ScriptedEndpoint::start("e-1", move |index, _| match index {
        0 => Script::Extra(late.as_bytes().to_vec()),
        _ => Script::Answer(200, b"right".to_vec()),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    for attempt in 0..4 {
        let response = Request::post("/book/1", b"parcel")
            .with_attempt(&format!("a-{attempt}"), LIMIT_MS)
            .send(host.caller_address);

        assert_eq!(response.status, 200);
        let expected = if attempt == 0 { "answer" } else { "right" };
        assert_eq!(response.text(), expected);
    }
}

/// Guards against an endpoint's error that reaches the caller although the
/// request could have been retried.
#[test]
fn idempotent_request_is_retried_after_an_error() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => Script::Answer(500, b"failed".to_vec()),
        _ => Script::Answer(200, b"found".to_vec()),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = Request::get("/read/1")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    assert_eq!((response.status, response.text().as_str()), (200, "found"));
}

/// Guards against a refusal that states "not run" for a request that ran.
#[test]
fn refusal_says_not_run_only_if_no_endpoint_ran_the_request() {
    let endpoint =
        ScriptedEndpoint::start("e-1", |_, _| Script::NotRun).expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    let response = Request::post("/book/1", b"parcel")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(endpoint.runs().is_empty());
}

/// Guards against request outcomes that are missing in the metrics or the log.
#[test]
fn metrics_and_log_show_how_a_request_ended() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);

    Request::get("/read/1")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address);

    host.wait_log("\"request\":\"a-1\",\"route\":\"read\"");
    let metrics = Request::get("/metrics").send(host.metrics_address).text();
    let counted = "cardamombridge_requests_total{outcome=\"answered\",status=\"200\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    assert!(metrics.contains("cardamombridge_first_event_seconds_bucket"));
}

/// Guards against repeated attempts at an endpoint that has restarted with
/// another id at the same address: each attempt uses up the retry budget.
#[test]
fn replaced_endpoint_is_not_tried_again() {
    let store = store_with_configuration();
    let replaced = ScriptedEndpoint::start("e-3", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    let available = ScriptedEndpoint::start("e-2", |_, _| {
        let response = Script::Answer(200, b"ok".to_vec());
        Script::After(Duration::from_millis(300), Box::new(response))
    })
    .expect("the endpoint starts");
    announce_as(&store, "e-1", &replaced, "north", &json!({}));
    announce(&store, &available, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-1\"");
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-2\"");
    host.earn_repeats(2);

    // The requests overlap, so that the replaced endpoint always looks idle.
    thread::scope(|scope| {
        for number in 0..12 {
            let caller_address = host.caller_address;
            scope.spawn(move || {
                let response = Request::get("/read/1")
                    .with_attempt(&format!("a-{number}"), LIMIT_MS)
                    .send(caller_address);
                assert_eq!(response.status, 200);
            });
            thread::sleep(Duration::from_millis(80));
        }
    });

    let attempts = replaced.arrivals().len();
    assert_eq!(
        attempts, 1,
        "the replaced endpoint was tried {attempts} times"
    );
}

/// Guards against a stream that is cut off because the first endpoint that is to
/// continue it cannot be reached, although another one can.
#[test]
fn stream_continues_if_the_next_endpoint_is_unreachable() {
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => Script::Events {
            first: 0,
            end: 2,
            pause: Duration::from_millis(400),
            is_whole: false,
        },
        _ => events(2, 4, true),
    })
    .expect("the endpoint starts");
    let unreachable = json!({ "addr": free_addresses(1)[0] });
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-1\"");
    host.earn_repeats(4);
    let address = host.caller_address;

    let caller = thread::spawn(move || {
        Request::post("/chat/1", b"hello")
            .with_attempt("a-1", LIMIT_MS)
            .send(address)
    });
    wait_until("the stream has begun", || endpoint.runs().len() == 1);
    let other = ScriptedEndpoint::start("e-2", |_, _| Script::Close).expect("it starts");
    announce_with(&store, &other, "north", &unreachable);
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-2\"");
    let response = caller.join().expect("the caller ends");

    assert_eq!(response.text(), (0..4).map(event_text).collect::<String>());
    assert!(response.is_complete);
}

/// Guards against streams that are cut off, because their goal for the first event has
/// passed, while the only endpoint is blocked for a moment after it broke them off.
#[test]
fn streams_wait_for_an_endpoint_that_broke_them_off() {
    const STREAM_COUNT: usize = 6;
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| {
        match arrival.headers.get("last-event-id") {
            None => Script::Events {
                first: 0,
                end: 1,
                pause: Duration::from_millis(900),
                is_whole: false,
            },
            Some(_) => events(1, 3, true),
        }
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let address = host.caller_address;

    let callers: Vec<_> = (0..STREAM_COUNT)
        .map(|number| {
            thread::spawn(move || {
                Request::post("/chat/1", b"hello")
                    .with_attempt(&format!("a-{number}"), LIMIT_MS)
                    .send(address)
            })
        })
        .collect();

    for caller in callers {
        let response = caller.join().expect("the caller ends");
        assert_eq!(response.text(), (0..3).map(event_text).collect::<String>());
        assert!(response.is_complete);
    }
}

/// Guards against requests that wait until their deadline although an endpoint, which
/// was full when they were sent there, has room again.
#[test]
fn request_goes_to_an_endpoint_that_was_full_for_a_moment() {
    const REQUEST_COUNT: usize = 14;
    let breaking = ScriptedEndpoint::start("e-1", |_, _| {
        Script::After(Duration::from_millis(300), Box::new(Script::Close))
    })
    .expect("the endpoint starts");
    let full = ScriptedEndpoint::start("e-2", |index, _| match index {
        0..REQUEST_COUNT => Script::NotRun,
        _ => Script::Answer(200, b"found".to_vec()),
    })
    .expect("the endpoint starts");
    let (store, host) = host_with(&breaking);
    // Each request is sent to the full endpoint, and again.
    host.earn_repeats(REQUEST_COUNT as u32 * 2);
    let address = host.caller_address;
    let callers: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| {
            thread::spawn(move || {
                Request::get("/read/1")
                    .with_attempt(&format!("a-{number}"), LIMIT_MS)
                    .send(address)
            })
        })
        .collect();
    wait_until("all requests run", || {
        breaking.runs().len() == REQUEST_COUNT
    });

    announce(&store, &full, "north");

    for caller in callers {
        assert_eq!(caller.join().expect("the caller ends").status, 200);
    }
}

/// Guards against a wait until the deadline if the only endpoint that could take a broken
/// request wants none before.
#[test]
fn broken_request_does_not_wait_for_an_endpoint_that_accepts_none_in_time() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0 => Script::After(Duration::from_millis(300), Box::new(Script::Close)),
        _ => Script::NotRunFor("9.5"),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let address = host.caller_address;
    let started = Instant::now();
    let read = |attempt: &str| Request::get("/read/1").with_attempt(attempt, LIMIT_MS);
    let broken = read("a-1");

    let caller = thread::spawn(move || broken.send(address));
    wait_until("the request runs", || endpoint.runs().len() == 1);
    let refused = read("a-2").send(address);
    let response = caller.join().expect("the caller ends");

    let took = started.elapsed();
    assert_eq!((refused.status, response.status), (503, 502));
    assert!(took < Duration::from_secs(1), "took {took:?}");
}

/// Guards against large requests and responses that hang: their rest is in the socket when
/// the host turns to other connections, and no further event announces it.
#[test]
fn large_messages_are_relayed_whole() {
    const BODY_BYTES: usize = 2 * 1024 * 1024;
    const LARGE_LIMIT_MS: u64 = 20_000;
    const REQUEST_COUNT: usize = 8;
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| {
        Script::Answer(200, vec![b'y'; arrival.body.len()])
    })
    .expect("the endpoint starts");
    let mut large = configuration(7);
    large["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    large["routes"][1]["timeout_ms"] = json!(LARGE_LIMIT_MS);
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &large);
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");
    let address = host.caller_address;

    let callers: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| {
            thread::spawn(move || {
                Request::post("/book/1", &vec![b'x'; BODY_BYTES])
                    .with_attempt(&format!("a-{number}"), LARGE_LIMIT_MS)
                    .send(address)
            })
        })
        .collect();

    for caller in callers {
        let response = caller.join().expect("the caller ends");
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.body.len(), BODY_BYTES);
    }
}
