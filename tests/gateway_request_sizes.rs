//! What operators see of how requests of different sizes are served.

mod gatewayenv;

use cardamombridge::{
    gateway::{
        request::RequestMetadata,
        request_sizes::{
            RelativeSize,
            RequestSizes, //
        }, //
    },
    standin::scripted::{
        Script,
        ScriptedEndpoint, //
    },
    types::Tokens, //
};
use compact_str::format_compact;
use gatewayenv::{
    Request,
    host_with, //
};

const LIMIT_MS: u64 = 5_000;

fn prompt(tokens: u64) -> RequestMetadata {
    RequestMetadata {
        prompt_tokens: Tokens(tokens),
        ..RequestMetadata::default()
    }
}

/// Guards against large requests of a short route that count as small.
#[test]
fn size_is_relative_to_the_mean_of_the_route() {
    let mut sizes = RequestSizes::default();
    for _ in 0..100 {
        sizes.record("long", &prompt(10_000));
        sizes.record("short", &prompt(100));
    }

    let of_long = sizes.record("long", &prompt(900)).relative;
    let of_short = sizes.record("short", &prompt(900)).relative;

    assert_eq!(of_long, RelativeSize::UpToHalf);
    assert_eq!(of_short, RelativeSize::Larger);
}

/// Guards against new requests that count as ones that come back, because operators grant a
/// longer time than callers wait.
#[test]
fn caller_that_has_less_time_left_than_others_comes_back() {
    let mut sizes = RequestSizes::default();
    let limited = |limit_ms: u64| RequestMetadata {
        time_limit_ms: Some(limit_ms),
        ..prompt(600)
    };
    for limit_ms in [12_000, 11_990, 11_950, 12_000] {
        assert!(!sizes.record("chat", &limited(limit_ms)).is_returning);
    }

    assert!(sizes.record("chat", &limited(11_200)).is_returning);
    assert!(!sizes.record("tag", &limited(3_000)).is_returning);
}

/// Guards against metrics that grow with the number of routes.
#[test]
fn routes_beyond_a_bound_count_together() {
    let mut sizes = RequestSizes::default();
    let names = (0..1_000).map(|number| format_compact!("route-{number}"));

    let mut counted: Vec<_> = names
        .map(|name| sizes.record(&name, &prompt(100)).route)
        .collect();
    counted.sort_unstable();
    counted.dedup();

    assert!(counted.len() <= 65, "{} names", counted.len());
    assert!(counted.contains(&"other".into()));
}

/// Guards against refusals of large requests that no metric shows.
#[test]
fn metrics_show_how_each_size_is_served() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| match index {
        0..3 => Script::Answer(200, b"ok".to_vec()),
        _ => Script::Answer(500, b"failed".to_vec()),
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let send = |attempt: &str, tokens: u64| {
        Request::get("/read/1")
            .with_attempt(attempt, LIMIT_MS)
            .with_header("X-Token-Counts", &format!("{tokens},0"))
            .send(host.caller_address)
    };

    for attempt in ["a-1", "a-2", "a-3"] {
        send(attempt, 100);
    }
    send("a-4", 2_000);
    host.wait_log("\"request\":\"a-4\",\"route\":\"read\"");

    let metrics = Request::get("/metrics").send(host.metrics_address).text();
    let counted = |size: &str, result: &str| {
        let name = "cardamombridge_requests_by_size_total";
        format!("{name}{{route=\"read\",size=\"{size}\",result=\"{result}\"}}")
    };
    let answered = counted("up to 1", "answered");
    let failed = counted("up to 4", "failed");
    assert!(metrics.contains(&format!("{answered} 3")), "{metrics}");
    assert!(metrics.contains(&format!("{failed} 1")), "{metrics}");
    assert!(metrics.contains("cardamombridge_first_event_by_size_seconds_bucket"));
}
