//! Guards against endpoints that no host polls, loads that are parsed wrongly, and
//! leaving endpoints that are not detected.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    decision::view::EndpointInfo,
    http::{
        message::Headers,
        server::{
            Acceptor,
            respond, //
        }, //
    },
    poller::{
        EngineLoad,
        MetricsError,
        POLLERS_PER_ENDPOINT,
        Poller,
        PollerConfig,
        assigned,
        pollers, //
    },
    types::{
        HostId,
        Incarnation,
        Millis, //
    }, //
};
use proptest::prelude::*;

const PAGE: &str = "\
# HELP vllm:num_requests_running Number of requests in model execution batches.
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{engine=\"0\",model_name=\"stain advice {v2}\"} 3.0
vllm:num_requests_running{engine=\"1\",model_name=\"stain advice {v2}\"} 4.0
vllm:num_requests_waiting{engine=\"0\"} 2 1700000000000
vllm:kv_cache_usage_perc{engine=\"0\"} 0.25
vllm:kv_cache_usage_perc{engine=\"1\"} 0.7504
vllm:num_requests_running_total 99
process_start_time_seconds 1.7e+09
cardamombridge_standin_incarnation 18446744073709551615
";

fn hosts(count: usize) -> Vec<HostId> {
    let name = |n| format!("host-{n}").parse().expect("valid host");
    (0..count).map(name).collect()
}

fn endpoint(name: &str, port: u16) -> EndpointInfo {
    EndpointInfo {
        id: name.parse().expect("valid endpoint"),
        address: ([127, 0, 0, 1], port).into(),
        region: "stred".parse().expect("valid region"),
        data_centre: "stred-1".parse().expect("valid data centre"),
        target: "model/stain-advice".parse().expect("valid target"),
        version: "v2".into(),
        slots: 8,
        can_continue: true,
        is_leaving: false,
    }
}

#[test]
fn the_loads_of_several_engines_on_one_page_are_added() {
    let load = EngineLoad::parse(PAGE.as_bytes()).expect("valid page");

    assert_eq!((load.running, load.waiting), (7, 2));
    assert_eq!(load.cache_permille, 750);
    assert_eq!(load.incarnation, Incarnation(u64::MAX));
}

#[test]
fn pages_without_a_usable_load_are_refused() {
    let without_waiting = PAGE.replace("vllm:num_requests_waiting", "other");
    let not_a_number = PAGE.replace("} 2 ", "} NaN ");

    let missing = EngineLoad::parse(without_waiting.as_bytes());
    let invalid = EngineLoad::parse(not_a_number.as_bytes());

    let waiting = "vllm:num_requests_waiting";
    assert_eq!(missing, Err(MetricsError::Missing(waiting)));
    assert_eq!(invalid, Err(MetricsError::Invalid(waiting)));
}

proptest! {
    #[test]
    fn arbitrary_pages_never_panic(page in "(vllm:num_requests_(running|waiting)|[a-z{} \n\"#]){0,20}[-0-9.einfNa ]{0,9}") {
        let _ = EngineLoad::parse(page.as_bytes());
    }

    #[test]
    fn each_endpoint_has_two_pollers_and_a_lost_host_moves_only_its_own(
        count in 3usize..40,
        lost in 0usize..40,
    ) {
        let all = hosts(count);
        let mut rest = all.clone();
        let lost = rest.remove(lost % count);
        for n in 0..30 {
            let endpoint = endpoint(&format!("engine-{n}"), 1);
            let before = pollers(&all, &endpoint.id);
            let after = pollers(&rest, &endpoint.id);

            prop_assert_eq!(before.len(), POLLERS_PER_ENDPOINT);
            prop_assert_eq!(after.len(), POLLERS_PER_ENDPOINT);
            let kept = before.iter().filter(|host| after.contains(host)).count();
            prop_assert_eq!(kept, if before.contains(&&lost) { 1 } else { 2 });
        }
    }
}

#[test]
fn polling_is_spread_over_all_hosts() {
    let all = hosts(66);
    let endpoints: Vec<_> = (0..180)
        .map(|n| endpoint(&format!("engine-{n}"), 1))
        .collect();

    let shares: BTreeMap<&HostId, usize> = all
        .iter()
        .map(|host| (host, assigned(host, &all, &endpoints).len()))
        .collect();

    assert_eq!(shares.values().sum::<usize>(), 180 * POLLERS_PER_ENDPOINT);
    let largest = shares.values().max().copied().unwrap_or(0);
    assert!(largest <= 16, "one host polls {largest} endpoints");
}

/// An engine whose health check and metrics page can be made to fail.
struct Engine {
    is_leaving: Arc<AtomicBool>,
    has_metrics: Arc<AtomicBool>,
    max_open_connections: Arc<AtomicUsize>,
    port: u16,
}

fn start_engine(delay: Duration) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let engine = Engine {
        is_leaving: Arc::new(AtomicBool::new(false)),
        has_metrics: Arc::new(AtomicBool::new(true)),
        max_open_connections: Arc::new(AtomicUsize::new(0)),
        port: listener.local_addr().expect("bound").port(),
    };
    let acceptor = Acceptor::new(64, Arc::new(AtomicBool::new(false)));
    let open = Arc::clone(&acceptor.open_connections);
    let leaving = Arc::clone(&engine.is_leaving);
    let metrics = Arc::clone(&engine.has_metrics);
    let max_open_connections = Arc::clone(&engine.max_open_connections);
    thread::spawn(move || {
        let serve = move |mut connection: cardamombridge::http::connection::Connection, _| {
            max_open_connections.fetch_max(open.load(Ordering::SeqCst), Ordering::SeqCst);
            thread::sleep(delay);
            let deadline = Instant::now() + Duration::from_secs(1);
            let head = connection.read_request_head(deadline);
            let Ok(Some(head)) = head else { return };
            let is_up = match head.path.as_str() {
                "/health" => !leaving.load(Ordering::SeqCst),
                _ => metrics.load(Ordering::SeqCst),
            };
            let status = if is_up { 200 } else { 503 };
            let _ = respond(
                &mut connection,
                status,
                Headers::new(),
                PAGE.as_bytes(),
                deadline,
            );
        };
        acceptor.run(listener, serve, |_| {});
    });
    engine
}

fn short_intervals() -> PollerConfig {
    PollerConfig::new().with_times(Millis(30), Millis(400))
}

#[test]
fn a_leaving_endpoint_is_reported_even_when_its_metrics_fail() {
    let engine = start_engine(Duration::ZERO);
    let (sender, reports) = mpsc::channel();
    let poller = Poller::start(short_intervals(), move |report| {
        let _ = sender.send(report);
    });
    let poller = poller.expect("started");
    poller.set_targets(vec![endpoint("engine", engine.port)]);
    let wait = Duration::from_secs(3);

    let first = reports.recv_timeout(wait).expect("a first report");
    engine.has_metrics.store(false, Ordering::SeqCst);
    engine.is_leaving.store(true, Ordering::SeqCst);
    let leaving = reports.iter().find(|report| report.is_leaving);

    let leaving = leaving.expect("a leaving report");
    assert!(!first.is_leaving);
    assert_eq!(
        (leaving.running, leaving.incarnation),
        (7, first.incarnation)
    );
    assert!(leaving.measured_ms > first.measured_ms);
}

#[test]
fn unreachable_endpoints_are_counted_and_do_not_delay_the_others() {
    let engine = start_engine(Duration::ZERO);
    let closed = TcpListener::bind("127.0.0.1:0").expect("bound");
    let closed_port = closed.local_addr().expect("bound").port();
    drop(closed);
    let (sender, reports) = mpsc::channel();
    let poller = Poller::start(short_intervals(), move |report| {
        let _ = sender.send(report);
    });
    let poller = poller.expect("started");

    poller.set_targets(vec![
        endpoint("gone", closed_port),
        endpoint("engine", engine.port),
    ]);

    let report = reports
        .recv_timeout(Duration::from_secs(3))
        .expect("a report");
    assert_eq!(report.endpoint.as_str(), "engine");
    thread::sleep(Duration::from_millis(100));
    assert!(poller.counts().failures > 0);
}

#[test]
fn polls_at_the_same_time_are_bounded_and_late_rounds_are_skipped() {
    let engine = start_engine(Duration::from_millis(40));
    let poller = Poller::start(short_intervals(), |_| {}).expect("started");
    let names = (0..12).map(|n| endpoint(&format!("engine-{n}"), engine.port));
    poller.set_targets(names.collect());

    let deadline = Instant::now() + Duration::from_secs(5);
    while poller.counts().skipped_rounds == 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }

    assert!(poller.counts().skipped_rounds > 0);
    // A closing connection may overlap with the next one.
    assert!(engine.max_open_connections.load(Ordering::SeqCst) <= 8);
}
