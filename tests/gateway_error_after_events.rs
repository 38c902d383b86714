//! Streams that broke off and are answered with an error next, and answers that end within
//! their head.

mod gatewayenv;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
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
    configuration,
    event_texts,
    host_with,
    hosts_of_two_regions,
    store_with_configuration, //
};
use serde_json::json;

const LIMIT_MS: u64 = 5_000;
const EVENT_COUNT: u64 = 8;
/// Events before a stream breaks off.
const BREAK_COUNT: u64 = 3;

fn cut_stream() -> Script {
    Script::Events {
        first: 0,
        end: BREAK_COUNT,
        pause: Duration::from_millis(5),
        is_whole: false,
    }
}

/// Errors as endpoints and what stands before them send them.
fn errors() -> Vec<(&'static str, Script)> {
    let raw = |text: &str| Script::Raw(text.as_bytes().to_vec());
    vec![
        ("500", Script::Answer(500, b"engine failed".to_vec())),
        ("404", Script::Answer(404, b"no such page".to_vec())),
        ("plain text", Script::Answer(200, b"engine failed".to_vec())),
        (
            "unframed error",
            Script::unframed("engine failed").with_status(500),
        ),
        (
            "part of a head",
            raw("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/ev"),
        ),
        (
            "head within a body",
            raw("HTTP/1.1 500 Failed\r\nContent-Length: 80\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"),
        ),
    ]
}

/// Returns endpoints of which the first that is asked breaks a stream off, the second answers
/// with `error`, and all others go on after the caller's last event.
fn endpoints(error: &Script) -> Vec<ScriptedEndpoint> {
    let asked = Arc::new(AtomicUsize::new(0));
    (0..3)
        .map(|number| {
            let (asked, error) = (asked.clone(), error.clone());
            ScriptedEndpoint::start(&format!("e-{number}"), move |_, arrival| {
                let order = asked.fetch_add(1, Ordering::SeqCst);
                let last = arrival.headers.get("last-event-id");
                match order {
                    0 => cut_stream(),
                    1 => error.clone(),
                    _ => Script::Events {
                        first: last.map_or(0, |last| last.parse::<u64>().expect("a number") + 1),
                        end: EVENT_COUNT,
                        pause: Duration::from_millis(5),
                        is_whole: true,
                    },
                }
            })
            .expect("the endpoint starts")
        })
        .collect()
}

/// Starts a store whose streams may be sent to three endpoints.
fn store_with_three_attempts(endpoints: &[ScriptedEndpoint], region: &str) -> MetadataStore {
    let store = store_with_configuration();
    let mut changed = configuration(8);
    for route in changed["routes"].as_array_mut().expect("routes") {
        if route["name"] == "chat" {
            route["max_attempts"] = json!(3);
        }
    }
    store.put("op/config", &changed);
    for endpoint in endpoints {
        announce(&store, endpoint, region);
    }
    store
}

fn send(host: &Host, path: &str, attempt: &str) -> Response {
    Request::post(path, b"hello")
        .with_attempt(attempt, LIMIT_MS)
        .send(host.caller_address)
}

/// Checks that a stream has nothing but its events, and all of them if it is complete.
fn assert_pure(name: &str, response: &Response) {
    let text = response.text();
    assert!(
        event_texts(0, EVENT_COUNT).starts_with(&text),
        "{name}: {text}"
    );
    if response.is_complete {
        assert_eq!(
            text,
            event_texts(0, EVENT_COUNT),
            "{name}: ends as if complete"
        );
    }
}

/// Guards against the text of an error in a stream, and against a stream that does not go on
/// although a third endpoint is sound.
#[test]
fn stream_goes_on_at_a_third_endpoint_after_an_error() {
    for (name, error) in errors() {
        let endpoints = endpoints(&error);
        let store = store_with_three_attempts(&endpoints, "north");
        let host = Host::start(&store, &HostOptions::default());
        for endpoint in &endpoints {
            host.wait_log(&format!(
                "\"endpoint announced\",\"endpoint\":\"{}\"",
                endpoint.id()
            ));
        }
        host.earn_repeats(3);

        let response = send(&host, "/chat/1", "a-1");

        assert_eq!(response.status, 200, "{name}");
        assert_pure(name, &response);
        // An endpoint's 404 is its answer to the request, so the stream ends cut.
        assert_eq!(response.is_complete, name != "404", "{name}");
    }
}

/// Guards against the same in a stream that another region serves.
#[test]
fn forwarded_stream_has_no_text_of_an_error() {
    for (name, error) in errors() {
        let endpoints = endpoints(&error);
        let store = store_with_three_attempts(&endpoints, "south");
        let (host, _remote) = hosts_of_two_regions(&store);

        let response = send(&host, "/chat/1", "a-1");

        assert_eq!(response.status, 200, "{name}");
        assert_pure(name, &response);
    }
}

/// Heads that end before they are complete.
const PARTIAL_HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Se",
    "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n",
    "HTTP/1.1 20",
];

/// Guards against an answer of status 200 that is made of a part of a head, over a forward.
#[test]
fn part_of_a_head_from_another_region_is_no_success() {
    for head in PARTIAL_HEADS {
        let endpoint = ScriptedEndpoint::start("e-1", move |_, _| Script::Raw(head.into()))
            .expect("the endpoint starts");
        let store = store_with_configuration();
        announce(&store, &endpoint, "south");
        let (host, _remote) = hosts_of_two_regions(&store);

        for path in ["/book/1", "/read/1", "/draft/1", "/chat/1"] {
            let response = send(&host, path, path);

            let status = response.status;
            assert!(matches!(status, 502..=504), "{path}: {status}");
            let has_run = endpoint.runs().iter().any(|run| run.attempt() == path);
            assert!(status != 503 || !has_run, "{path}: 503, and it has run");
        }
    }
}

/// Guards against the same on a connection that has brought a whole answer before.
#[test]
fn part_of_a_head_on_a_kept_connection_is_no_success() {
    for head in PARTIAL_HEADS {
        let endpoint = ScriptedEndpoint::start("e-1", move |index, _| match index {
            0 => Script::Answer(200, b"booked".to_vec()),
            _ => Script::Raw(head.into()),
        })
        .expect("the endpoint starts");
        let (_store, host) = host_with(&endpoint);
        assert_eq!(send(&host, "/book/1", "a-0").status, 200);

        let response = send(&host, "/book/1", "a-1");

        assert!(matches!(response.status, 502 | 504), "{}", response.status);
        assert_eq!(endpoint.runs().len(), 2, "run again");
    }
}
