//! Guards against renamed StatsD metrics, metrics of the wrong type, recording
//! that blocks, and invalid log settings.

use std::{
    collections::BTreeSet,
    net::UdpSocket,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    logs::{
        LogError,
        LogFormat,
        init, //
    },
    metrics::{
        Metric,
        Metrics, //
    }, //
};

/// Guards against names that collide or that a StatsD server would alter.
#[test]
fn names_are_unique_and_safe_for_statsd() {
    let names: BTreeSet<&str> = Metric::ALL.iter().map(|metric| metric.name()).collect();

    assert_eq!(names.len(), Metric::ALL.len());
    let is_safe = |name: &&str| {
        name.bytes()
            .all(|b| b.is_ascii_lowercase() || b"._".contains(&b))
    };
    assert!(names.iter().all(is_safe), "{names:?}");
}

/// Guards against lines of the wrong type, unit or tags.
#[test]
fn values_arrive_as_statsd_lines_with_tags() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("bound");
    let timeout = Some(Duration::from_millis(20));
    receiver.set_read_timeout(timeout).expect("timeout set");
    let region = "stred".parse().expect("valid region");
    let host = "h1".parse().expect("valid host");
    let address = receiver.local_addr().expect("bound");
    let metrics = Metrics::udp(address, &region, &host).expect("set up");

    metrics.count(Metric::Requests, 3);
    metrics.gauge(Metric::OpenRequests, 12);
    metrics.time(Metric::FirstToken, Duration::from_millis(250));

    let mut lines = BTreeSet::new();
    let mut buffer = [0; 2_048];
    let deadline = Instant::now() + Duration::from_secs(3);
    while lines.len() < 3 && Instant::now() < deadline {
        // A flush does not wait for values that are still in the queue.
        metrics.flush();
        let Ok(length) = receiver.recv(&mut buffer) else {
            continue;
        };
        let text = std::str::from_utf8(&buffer[..length]).expect("text");
        lines.extend(text.lines().map(str::to_owned));
    }
    let expected = [
        "cardamombridge.first_token:250|ms|#region:stred,host:h1",
        "cardamombridge.requests.open:12|g|#region:stred,host:h1",
        "cardamombridge.requests:3|c|#region:stred,host:h1",
    ];
    assert_eq!(lines, expected.map(str::to_owned).into());
    assert_eq!(metrics.dropped(), 0);
}

/// Guards against recording that fails if no server is configured.
#[test]
fn recording_without_a_server_does_nothing() {
    let metrics = Metrics::none();

    metrics.count(Metric::Requests, 1);
    metrics.flush();

    assert_eq!(metrics.dropped(), 0);
}

/// Guards against a log filter or format that is accepted although it is invalid.
#[test]
fn logs_refuse_an_invalid_filter_and_a_second_setup() {
    let invalid = init(LogFormat::Json, "info,=[");
    let first = init(LogFormat::Json, "warn");
    let second = init(LogFormat::Text, "warn");

    assert!(matches!(invalid, Err(LogError::Filter { .. })));
    assert!(first.is_ok());
    assert!(matches!(second, Err(LogError::AlreadySet)));
    assert!("yaml".parse::<LogFormat>().is_err());
}
