//! What operators see of how prompts of different sizes are served.

mod gatewayenv;

use cardamombridge::{
    gateway::prompt_sizes::{
        PromptSizes,
        RelativeSize, //
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

/// Guards against large prompts of a short route that count as small.
#[test]
fn size_is_relative_to_the_mean_of_the_route() {
    let mut sizes = PromptSizes::default();
    for _ in 0..100 {
        sizes.record("long", Tokens(10_000));
        sizes.record("short", Tokens(100));
    }

    let (_, of_long) = sizes.record("long", Tokens(900));
    let (_, of_short) = sizes.record("short", Tokens(900));

    assert_eq!(of_long, RelativeSize::UpToHalf);
    assert_eq!(of_short, RelativeSize::Larger);
}

/// Guards against metrics that grow with the number of routes.
#[test]
fn routes_beyond_a_bound_count_together() {
    let mut sizes = PromptSizes::default();
    let names = (0..1_000).map(|number| format_compact!("route-{number}"));

    let mut counted: Vec<_> = names
        .map(|name| sizes.record(&name, Tokens(100)).0)
        .collect();
    counted.sort_unstable();
    counted.dedup();

    assert!(counted.len() <= 65, "{} names", counted.len());
    assert!(counted.contains(&"other".into()));
}

/// Guards against refusals of large prompts that no metric shows.
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
            .with_header("X-Token-Counts", &format!("{tokens},10"))
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
