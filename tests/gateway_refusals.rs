//! A caller that gets 408, 421, 429 or 503 may send its request again: it has not run and will
//! not run. These statuses leave a host only where that is stated.

mod gatewayenv;

use std::time::Duration;

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
    host_with,
    hosts_of_two_regions,
    store_with_configuration, //
};

const LIMIT_MS: u64 = 5_000;
/// Statuses that callers take as the promise that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Routes whose requests may run once only: a call, and a stream that can't be resumed.
const ONCE_PATHS: [&str; 2] = ["/book/1", "/draft/1"];

fn endpoint(script: Script) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::start("e-1", move |_, _| script.clone());
    endpoint.expect("the endpoint starts")
}

fn post(host: &Host, path: &str, attempt: &str) -> Response {
    Request::post(path, b"parcel")
        .with_attempt(attempt, LIMIT_MS)
        .send(host.caller_address)
}

/// Returns an answer with a status and further header fields.
fn raw(status: u16, fields: &str) -> Script {
    let head =
        format!("HTTP/1.1 {status} Refused\r\nX-Server-Seal: s\r\nConnection: close\r\n{fields}");
    Script::Raw(format!("{head}Content-Length: 2\r\n\r\nno").into_bytes())
}

/// Starts a host without endpoints that forwards to one beside `endpoint`.
fn forwarding_hosts(endpoint: &ScriptedEndpoint) -> (MetadataStore, Host, Host) {
    let store = store_with_configuration();
    announce(&store, endpoint, "south");
    let (home, other) = hosts_of_two_regions(&store);
    (store, home, other)
}

fn assert_unknown(response: &Response, what: &str) {
    assert_eq!(response.status, 502, "{what}");
    assert!(response.header("x-server-seal").is_none(), "{what}");
    assert!(response.header("retry-after").is_none(), "{what}");
}

/// Guards against a refusal of a request that an endpoint has run: it answers with the status
/// of a refusal but does not state that it did not run the request.
#[test]
fn refusal_without_a_statement_is_not_passed_on() {
    for status in [408, 429, 503] {
        let endpoint = endpoint(Script::Answer(status, b"failed".to_vec()));
        let (_store, host) = host_with(&endpoint);
        for path in ONCE_PATHS {
            let response = post(&host, path, &format!("a-{path}"));

            assert_unknown(&response, &format!("{path} {status}"));
        }
        assert_eq!(endpoint.runs().len(), ONCE_PATHS.len());
    }
}

/// Guards against the same in a forward: the host of the other region passes the status on.
#[test]
fn refusal_without_a_statement_is_not_passed_on_between_regions() {
    for status in [408, 429, 503] {
        let endpoint = endpoint(Script::Answer(status, b"failed".to_vec()));
        let (_store, home, _other) = forwarding_hosts(&endpoint);
        for path in ONCE_PATHS {
            let response = post(&home, path, &format!("a-{path}"));

            assert_unknown(&response, &format!("{path} {status}"));
        }
        assert_eq!(endpoint.runs().len(), ONCE_PATHS.len());
    }
}

/// Guards against a statement in the words of hosts that an endpoint sends.
#[test]
fn statement_of_hosts_does_not_count_from_an_endpoint() {
    let script = raw(503, "Bridge-Not-Run: 1\r\nBridge-Cut-Off: 1\r\n");
    let endpoint = endpoint(script);
    let (_store, host) = host_with(&endpoint);

    let response = post(&host, "/book/1", "a-1");

    assert_unknown(&response, "Bridge-Not-Run");
    assert_eq!(endpoint.runs().len(), 1);
}

/// Guards against 421 that is taken for the answer of another endpoint at the address although
/// the expected one sends it.
#[test]
fn misdirected_answer_of_the_expected_endpoint_is_not_a_statement() {
    let endpoint = endpoint(raw(421, "X-Instance-Id: e-1\r\n"));
    let (_store, host) = host_with(&endpoint);

    let response = post(&host, "/book/1", "a-1");

    assert_unknown(&response, "421 of the expected endpoint");
}

/// Guards against a lost refusal: what states that it was not run is still refused, for each
/// status, at the host and through another one.
#[test]
fn stated_refusal_is_a_refusal() {
    for status in PROMISES {
        let endpoint = endpoint(raw(status, "X-Not-Run: 1\r\n"));
        let (_store, home, other) = forwarding_hosts(&endpoint);
        for host in [&home, &other] {
            let response = post(host, "/book/1", "a-1");

            assert_eq!(response.status, 503, "{status}");
            assert!(response.header("retry-after").is_some(), "{status}");
        }
    }
}

/// Guards against a request that is given up because one endpoint refuses without a statement,
/// although it may be repeated at another one.
#[test]
fn repeatable_request_goes_on_after_a_refusal_without_a_statement() {
    let store = store_with_configuration();
    let refusing = endpoint(Script::Answer(429, Vec::new()));
    let slow = ScriptedEndpoint::start("e-2", |_, _| {
        Script::After(
            Duration::from_millis(100),
            Box::new(Script::Answer(200, b"found".to_vec())),
        )
    });
    let slow = slow.expect("the endpoint starts");
    announce(&store, &refusing, "north");
    announce(&store, &slow, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-1\"");
    host.wait_log("\"endpoint announced\",\"endpoint\":\"e-2\"");
    host.earn_repeats(4);

    let statuses = (0..4).map(|number| {
        let request = Request::get("/read/1").with_attempt(&format!("a-{number}"), LIMIT_MS);
        request.send(host.caller_address).status
    });
    let statuses: Vec<u16> = statuses.collect();

    assert_eq!(statuses, [200; 4]);
    assert!(!refusing.runs().is_empty());
}
