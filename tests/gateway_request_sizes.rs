//! What operators see of how requests of different sizes are served.

mod gatewayenv;

use cardamombridge::{
    gateway::{
        admission::returning_allowance_ms,
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
/// Time limit of the routes; longer than callers wait.
const TIMEOUT_MS: u64 = 20_000;

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
        sizes.record("long", TIMEOUT_MS, &prompt(10_000));
        sizes.record("short", TIMEOUT_MS, &prompt(100));
    }

    let of_long = sizes.record("long", TIMEOUT_MS, &prompt(900)).relative;
    let of_short = sizes.record("short", TIMEOUT_MS, &prompt(900)).relative;

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
        assert!(
            !sizes
                .record("chat", TIMEOUT_MS, &limited(limit_ms))
                .is_returning
        );
    }

    assert!(
        sizes
            .record("chat", TIMEOUT_MS, &limited(11_200))
            .is_returning
    );
    assert!(
        !sizes
            .record("tag", TIMEOUT_MS, &limited(3_000))
            .is_returning
    );
}

/// Guards against a caller whose odd numbers decide how all others are treated, and against
/// an overflow.
#[test]
fn odd_statements_of_one_caller_do_not_shift_what_is_usual() {
    let mut sizes = RequestSizes::default();
    let limited = |tokens: u64, limit_ms: u64| RequestMetadata {
        time_limit_ms: Some(limit_ms),
        ..prompt(tokens)
    };
    for _ in 0..100 {
        sizes.record("chat", 12_000, &limited(600, 12_000));
    }

    let odd = sizes.record("chat", 12_000, &limited(u64::MAX, u64::MAX));
    let next = sizes.record("chat", 12_000, &limited(600, 12_000));

    assert!(!odd.is_returning && !next.is_returning);
    assert!(next.usual_prompt < Tokens(700), "{}", next.usual_prompt);
    let allowance_ms = returning_allowance_ms(Tokens(u64::MAX), Tokens(600), 1.0, 12_000);
    assert_eq!(allowance_ms, 12_000);
}

/// Guards against metrics that grow with the number of routes.
#[test]
fn routes_beyond_a_bound_count_together() {
    let mut sizes = RequestSizes::default();
    let names = (0..1_000).map(|number| format_compact!("route-{number}"));

    let mut counted: Vec<_> = names
        .map(|name| sizes.record(&name, TIMEOUT_MS, &prompt(100)).route)
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
    send("a-4", 1_000);
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
