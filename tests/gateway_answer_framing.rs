//! Answers with neither a length nor chunks, which end with their connection.

mod gatewayenv;

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
    announce,
    event_texts,
    host_with,
    hosts_of_two_regions,
    store_with_configuration, //
};

const LIMIT_MS: u64 = 5_000;
const EVENT_COUNT: u64 = 5;
/// Part of an event.
const HALF_EVENT: &str = "id: 3\ndata: tok";

/// Events without a frame, and a part of the next one.
fn cut_stream() -> Script {
    Script::unframed_events(event_texts(0, 3) + HALF_EVENT)
}

/// Sends a cut stream first, and then what follows the caller's last event.
fn cut_then_continued(first: Script) -> ScriptedEndpoint {
    ScriptedEndpoint::start("e-1", move |index, arrival| {
        let last = arrival.headers.get("last-event-id");
        match (index, last) {
            (0, _) => first.clone(),
            (_, None) => Script::unframed_events(event_texts(0, EVENT_COUNT)),
            (_, Some(last)) => {
                let next = last.parse::<u64>().expect("a number") + 1;
                Script::unframed_events(event_texts(next, EVENT_COUNT))
            }
        }
    })
    .expect("the endpoint starts")
}

fn endpoint_with(script: Script) -> ScriptedEndpoint {
    ScriptedEndpoint::start("e-1", move |_, _| script.clone()).expect("the endpoint starts")
}

fn send(host: &Host, path: &str) -> Response {
    Request::post(path, b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .send(host.caller_address)
}

fn has_frame(response: &Response) -> bool {
    response.header("content-length").is_some() || response.header("transfer-encoding").is_some()
}

/// Starts a host of the region north whose only endpoint is in the region south.
fn host_without_endpoint(endpoint: &ScriptedEndpoint) -> (MetadataStore, Host, Host) {
    let store = store_with_configuration();
    announce(&store, endpoint, "south");
    let (host, remote) = hosts_of_two_regions(&store);
    (store, host, remote)
}

/// Guards against a stream that ends within an event and is framed as complete.
#[test]
fn stream_that_ends_within_an_event_is_cut_off() {
    let endpoint = endpoint_with(cut_stream());
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/draft/1");

    assert_eq!(response.text(), event_texts(0, 3));
    assert!(!response.is_complete, "framed as complete");
}

/// Guards against a half event in the middle of a stream that another run continues.
#[test]
fn resumable_stream_that_ends_within_an_event_continues() {
    let endpoint = cut_then_continued(cut_stream());
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/chat/1");

    assert_eq!(response.text(), event_texts(0, EVENT_COUNT));
    assert!(response.is_complete);
    assert_eq!(endpoint.runs().len(), 2);
}

/// Guards against a stream that is cut off or run again although it is whole.
#[test]
fn stream_that_ends_after_an_event_is_complete() {
    let endpoint = endpoint_with(Script::unframed_events(event_texts(0, EVENT_COUNT)));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/chat/1");

    assert_eq!(response.text(), event_texts(0, EVENT_COUNT));
    assert!(response.is_complete);
    assert_eq!(endpoint.runs().len(), 1);
}

/// Guards against the last event of a stream with other line ends being taken for a part.
#[test]
fn stream_with_carriage_returns_is_complete() {
    let text = event_texts(0, EVENT_COUNT).replace('\n', "\r\n");
    let endpoint = endpoint_with(Script::unframed_events(text.clone()));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/chat/1");

    assert_eq!(response.text(), text);
    assert!(response.is_complete);
}

/// Guards against an empty answer to a stream that was cut before its first event.
#[test]
fn stream_that_ends_before_its_first_event_is_repeated() {
    let endpoint = cut_then_continued(Script::unframed_events(String::new()));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/chat/1");

    assert_eq!(response.text(), event_texts(0, EVENT_COUNT));
    assert!(response.is_complete);
    assert_eq!(endpoint.runs().len(), 2);
}

/// Guards against a resumed stream that is run again because no event was left.
#[test]
fn resumed_stream_without_further_events_is_complete() {
    let endpoint = endpoint_with(Script::unframed_events(String::new()));
    let (_store, host) = host_with(&endpoint);

    let response = Request::post("/chat/1", b"hello")
        .with_attempt("a-1", LIMIT_MS)
        .with_header("Last-Event-Id", "4")
        .send(host.caller_address);

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(endpoint.runs().len(), 1);
}

/// Guards against a cut stream that is framed as complete although its frame is whole.
#[test]
fn chunked_stream_that_ends_within_an_event_is_cut_off() {
    let text = event_texts(0, 3) + HALF_EVENT;
    let whole_frame = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{text}\r\n0\r\n\r\n",
        text.len()
    );
    let endpoint = endpoint_with(Script::Raw(whole_frame.into_bytes()));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/draft/1");

    assert_eq!(response.text(), event_texts(0, 3));
    assert!(!response.is_complete, "framed as complete");
}

/// Guards against a host of another region that frames a cut stream as complete.
#[test]
fn forwarded_stream_that_ends_within_an_event_is_cut_off() {
    let endpoint = endpoint_with(cut_stream());
    let (_store, host, _remote) = host_without_endpoint(&endpoint);

    let response = send(&host, "/draft/1");

    assert_eq!(response.text(), event_texts(0, 3));
    assert!(!response.is_complete, "framed as complete");
}

/// Guards against an answer of unknown length that gets a frame which states its end.
#[test]
fn answer_without_a_frame_is_relayed_without_one() {
    let endpoint = endpoint_with(Script::unframed("found"));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/book/1");

    assert_eq!((response.status, &*response.text()), (200, "found"));
    assert!(!has_frame(&response), "{}", response.head);
    assert_eq!(response.header("connection"), Some("close"));
}

/// Guards against the same between regions, where a broken connection must still show.
#[test]
fn forwarded_answer_without_a_frame_is_relayed_without_one() {
    let endpoint = endpoint_with(Script::unframed("found"));
    let (_store, host, _remote) = host_without_endpoint(&endpoint);

    let response = send(&host, "/book/1");

    assert_eq!((response.status, &*response.text()), (200, "found"));
    assert!(!has_frame(&response), "{}", response.head);
}

/// Guards against the end of a reset connection being taken for the end of an answer.
#[test]
fn answer_without_a_frame_is_not_complete_after_a_reset() {
    let endpoint = endpoint_with(Script::unframed("found").with_reset());
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/book/1");

    assert_eq!(response.status, 502);
}

/// Guards against a stream that is framed as complete after its connection was reset.
#[test]
fn stream_is_cut_off_after_a_reset() {
    let endpoint = endpoint_with(Script::unframed_events(event_texts(0, 3)).with_reset());
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/draft/1");

    assert!(
        response.status == 502 || !response.is_complete,
        "framed as complete"
    );
}

/// Guards against a failure that is framed as complete although its end is unknown.
#[test]
fn failure_without_a_frame_is_relayed_without_one() {
    let endpoint = endpoint_with(Script::unframed("failed").with_status(500));
    let (_store, host) = host_with(&endpoint);

    let response = send(&host, "/book/1");

    assert_eq!((response.status, &*response.text()), (500, "failed"));
    assert!(!has_frame(&response), "{}", response.head);
}
