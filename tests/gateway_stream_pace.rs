//! What a host learns of the streams that pass through it.

mod gatewayenv;

use std::time::Duration;

use cardamombridge::{
    gateway::{
        answer_lengths::{
            EventCount,
            RouteAnswers, //
        },
        stream_pace::{
            Pace,
            PaceMeter, //
        },
    },
    standin::scripted::{
        Script,
        ScriptedEndpoint, //
    },
    types::ParseError, //
};
use gatewayenv::{
    Request,
    host_with, //
};

/// Guards against a pace that depends on how many streams show it.
#[test]
fn pace_is_the_mean_time_between_events_whatever_their_number() {
    let paces = [1, 20].map(|stream_count| {
        let mut meter = PaceMeter::default();
        for now_ms in (100..3_000).step_by(100) {
            for _ in 0..stream_count {
                meter.record(2, 100, now_ms);
            }
        }
        meter.pace(2_900).expect("a pace").event_ms()
    });

    for event_ms in paces {
        assert!((event_ms - 50.0).abs() < 1.0, "{event_ms} ms");
    }
}

/// Guards against a pace that outlasts the streams that showed it.
#[test]
fn pace_is_forgotten_without_events() {
    let mut meter = PaceMeter::default();
    meter.record(4, 400, 400);

    assert!(meter.pace(1_000).is_some());
    assert!(meter.pace(4_000).is_none());
}

/// Guards against paces that are written and not read back.
#[test]
fn pace_is_shown_with_its_unit_and_read_back() {
    let pace = Pace::from_event_ms(12.5).expect("a pace");

    let read: Result<Pace, ParseError> = pace.to_string().parse();
    let negative: Result<Pace, ParseError> = "-1 ms/event".parse();

    assert_eq!(pace.to_string(), "12.5 ms/event");
    assert_eq!(read, Ok(pace));
    assert!(negative.is_err());
}

/// Guards against long answers that vanish in a mean.
#[test]
fn quantile_of_the_answers_shows_the_longest_ones() {
    let mut answers = RouteAnswers::default();
    for number in 0..1_000 {
        answers.record(EventCount(if number % 10 == 0 { 120 } else { 30 }));
    }

    let (usual, long) = (answers.quantile(0.5), answers.quantile(0.95));

    // Classes grow by a fifth.
    assert!((25..=36).contains(&usual.0), "{usual}");
    assert!((100..=143).contains(&long.0), "{long}");
    assert!((answers.mean_events() - 39.0).abs() < 8.0);
}

/// Guards against answers that run out of time unseen, while requests are counted by their
/// prompts.
#[test]
fn metrics_show_streams_that_run_out_of_time_by_length() {
    let endpoint = ScriptedEndpoint::start("e-1", |index, _| Script::Events {
        first: 0,
        end: if index < 3 { 4 } else { 1_000 },
        pause: Duration::from_millis(50),
        is_whole: true,
    })
    .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    for attempt in ["a-1", "a-2", "a-3"] {
        Request::post("/draft/1", b"text")
            .with_attempt(attempt, 9_000)
            .send(host.caller_address);
    }

    Request::post("/draft/1", b"text")
        .with_attempt("a-4", 1_000)
        .send(host.caller_address);
    host.wait_log("\"request\":\"a-4\",\"route\":\"draft\"");

    let metrics = Request::get("/metrics").send(host.metrics_address).text();
    let whole = "cardamombridge_streams_by_length_total{route=\"draft\",length=\"up to 1\",result=\"whole\"} 3";
    let late = "cardamombridge_streams_by_length_total{route=\"draft\",length=\"up to 4\",result=\"out of time\"} 1";
    let wasted = "cardamombridge_wasted_events_total{route=\"draft\",result=\"out of time\"}";
    let pace = "cardamombridge_endpoint_pace_seconds{endpoint=\"e-1\"} 0.05";
    for line in [whole, late, wasted, pace] {
        assert!(metrics.contains(line), "{line} in {metrics}");
    }
    assert!(host.log().contains("\"stream_result\":\"out of time\""));
}
