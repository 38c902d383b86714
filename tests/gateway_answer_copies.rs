//! An endpoint may send an answer once more, where a later one is due. It bears the id of its
//! request, also when that request is under way again on the same connection.

mod gatewayenv;

use std::{
    thread,
    time::Duration, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Arrival,
        Copies,
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    Request,
    Response,
    announce,
    announce_as,
    host_with,
    hosts_of_two_regions,
    store_with_configuration,
    wait_until, //
};
use serde_json::json;

const LIMIT_MS: u64 = 3_000;
/// Statuses that callers take as the promise that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Routes whose requests may run once only: a call, and a stream that can't be resumed.
const ONCE_PATHS: [&str; 2] = ["/book/1", "/draft/1"];
/// Times between a copy and the answer that is due.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(40)];
/// Requests of a test with an endpoint that returned under a new id.
const RETURNED_REQUESTS: usize = 12;
/// Path of requests that keep the endpoint busy under its new id.
const SLOW_PATH: &str = "/book/slow";
const SLOW_TIME: Duration = Duration::from_millis(500);

fn endpoint<S>(script: S) -> ScriptedEndpoint
where
    S: Fn(usize, &Arrival) -> Script + Send + Sync + 'static,
{
    let endpoint = ScriptedEndpoint::start("e-new", script);
    endpoint.expect("the endpoint starts")
}

fn answer(arrival: &Arrival) -> Script {
    match arrival.path.starts_with("/draft/") {
        true => Script::Events {
            first: 0,
            end: 3,
            pause: Duration::ZERO,
            is_whole: true,
        },
        false => Script::Answer(200, b"answer".to_vec()),
    }
}

/// Returns an endpoint that answers everything, slowly on [`SLOW_PATH`].
fn returned_endpoint() -> ScriptedEndpoint {
    endpoint(|_, arrival| match arrival.path == SLOW_PATH {
        true => Script::After(SLOW_TIME, Box::new(answer(arrival))),
        false => answer(arrival),
    })
}

/// Returns an endpoint that refuses its first request.
fn refusing_endpoint() -> ScriptedEndpoint {
    endpoint(|index, arrival| match index {
        0 => Script::NotRun,
        _ => answer(arrival),
    })
}

fn post(host: &Host, path: &str, attempt: &str) -> Response {
    Request::post(path, b"parcel")
        .with_attempt(attempt, LIMIT_MS)
        .send(host.caller_address)
}

/// Sends requests while the entry of an earlier id of `endpoint` stands, a new one for each;
/// returns the attempts and their statuses.
fn requests_to_a_returned_endpoint(
    store: &MetadataStore,
    endpoint: &ScriptedEndpoint,
    region: &str,
    (home, serving): (&Host, &Host),
    path: &str,
) -> Vec<(String, u16)> {
    let mut statuses = Vec::new();
    for number in 0..RETURNED_REQUESTS {
        let old = format!("e-old-{number}");
        let (attempt, slow) = (format!("a-{number}"), format!("slow-{number}"));
        thread::scope(|scope| {
            let busy = scope.spawn(|| post(serving, SLOW_PATH, &slow));
            wait_until("the slow request arrives or is refused", || {
                let runs = endpoint.runs();
                busy.is_finished() || runs.iter().any(|run| run.attempt() == slow)
            });
            announce_as(store, &old, endpoint, region, &json!({}));
            serving.wait_log(&format!("\"endpoint announced\",\"endpoint\":\"{old}\""));
            statuses.push((attempt.clone(), post(home, path, &attempt).status));
        });
        store.delete(&format!("servers/{old}"));
    }
    statuses
}

fn assert_all_served(endpoint: &ScriptedEndpoint, statuses: &[(String, u16)], what: &str) {
    let runs = endpoint.runs();
    let has_run = |attempt: &str| runs.iter().any(|run| run.attempt() == attempt);
    let refused_and_ran = statuses
        .iter()
        .filter(|(attempt, status)| PROMISES.contains(status) && has_run(attempt));
    assert_eq!(refused_and_ran.count(), 0, "refused and ran, {what}");
    let served = statuses.iter().filter(|(_, status)| *status == 200).count();
    assert_eq!(served, statuses.len(), "served, {what}: {statuses:?}");
    let misdirected = endpoint.arrivals().len() - runs.len();
    assert!(misdirected >= 2, "{misdirected} requests for an old id");
}

#[test]
fn copy_of_a_misdirection_does_not_refuse_what_runs() {
    for (path, pause) in ONCE_PATHS.iter().zip(PAUSES) {
        let endpoint = returned_endpoint();
        endpoint.set_copies(Copies::of_refusals().with_pause(pause));
        let (store, host) = host_with(&endpoint);

        let statuses =
            requests_to_a_returned_endpoint(&store, &endpoint, "north", (&host, &host), path);

        assert_all_served(&endpoint, &statuses, path);
    }
}

#[test]
fn copy_of_a_misdirection_does_not_refuse_what_runs_in_another_region() {
    let endpoint = returned_endpoint();
    endpoint.set_copies(Copies::of_refusals());
    let store = store_with_configuration();
    announce(&store, &endpoint, "south");
    let (home, other) = hosts_of_two_regions(&store);
    home.earn_repeats(RETURNED_REQUESTS as u32);

    let statuses =
        requests_to_a_returned_endpoint(&store, &endpoint, "south", (&home, &other), "/book/1");

    assert_all_served(&endpoint, &statuses, "forwarded");
}

#[test]
fn copy_of_a_refusal_does_not_refuse_the_same_request_again() {
    for path in ["/book/1", "/draft/1", "/read/1"] {
        for pause in PAUSES {
            let endpoint = refusing_endpoint();
            endpoint.set_copies(Copies::of_refusals().with_pause(pause));
            let (_store, host) = host_with(&endpoint);
            let refused = post(&host, path, "a-1");

            let again = post(&host, path, "a-1");

            assert_eq!((refused.status, again.status), (503, 200), "{path}");
            assert_eq!(endpoint.runs().len(), 1, "{path}");
            let metrics = Request::get("/metrics").send(host.metrics_address).text();
            assert!(
                metrics.contains("cardamombridge_replaced_connections_total 1\n"),
                "{path}: {metrics}"
            );
        }
    }
}

#[test]
fn copy_that_comes_after_other_answers_does_not_refuse_the_request() {
    for lag in [2, 3] {
        let endpoint = refusing_endpoint();
        endpoint.set_copies(Copies::of_refusals().with_lag(lag));
        let (_store, host) = host_with(&endpoint);
        let others = &["a-2", "a-3"][..lag - 1];
        let attempts = [&["a-1"], others, &["a-1"]].concat();

        let statuses: Vec<u16> = attempts
            .iter()
            .map(|attempt| post(&host, "/book/1", attempt).status)
            .collect();

        let expected = [vec![503], vec![200; lag]].concat();
        assert_eq!(statuses, expected, "lag {lag}");
        assert_eq!(endpoint.runs().len(), lag, "lag {lag}");
    }
}

#[test]
fn copy_of_a_refusal_does_not_bring_back_a_limit() {
    let endpoint = refusing_endpoint();
    endpoint.set_limit(Some("5"));
    endpoint.set_copies(Copies::of_refusals().with_lag(2));
    let (_store, host) = host_with(&endpoint);
    let refused = post(&host, "/book/1", "a-1");
    endpoint.set_limit(None);

    let served = ["a-2", "a-3"].map(|attempt| post(&host, "/book/1", attempt).status);

    assert_eq!((refused.status, served), (503, [200, 200]));
    host.wait_log("\"request ended\",\"request\":\"a-3\"");
    let changes = host.log().matches("endpoint changed what it takes").count();
    assert_eq!(changes, 2, "the limit is named once and ends once");
}
