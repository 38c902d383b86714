//! Polls endpoints for load and health.
//!
//! Each endpoint of a region is polled by the first two live hosts by
//! rendezvous hashing, so that the failure of a host delays no report and the
//! polls are distributed without coordination. A poll reads `GET /metrics` for
//! the load and `GET /health` for whether the endpoint is leaving, each on a
//! separate connection with a short deadline.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use thiserror::Error;

use crate::{
    clock,
    decision::view::{
        EndpointInfo,
        EndpointReport, //
    },
    http::{
        client::{
            self,
            HttpRequest, //
        },
        message::{
            Headers,
            MessageError, //
        }, //
    },
    peer::rendezvous_rank,
    types::{
        EndpointId,
        HostId,
        Incarnation,
        Millis, //
    }, //
};

/// Number of hosts that poll each endpoint.
pub const POLLERS_PER_ENDPOINT: usize = 2;
/// Maximum size of a metrics page; the histograms of one vLLM engine take about
/// 60 KB.
const MAX_METRICS_BYTES: usize = 512 * 1024;
/// Maximum size of the body of a health response.
const MAX_HEALTH_BYTES: usize = 16 * 1024;
/// Longest sleep between checks of the stop flag.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const CACHE_USAGE: &str = "vllm:kv_cache_usage_perc";
const INCARNATION: &str = "cardamombridge_standin_incarnation";
/// Published by the standard Prometheus client libraries; differs after a
/// restart.
const START_TIME: &str = "process_start_time_seconds";

/// Why an endpoint could not be polled.
#[derive(Debug, Error)]
pub enum PollError {
    /// The HTTP exchange failed.
    #[error("could not poll endpoint {endpoint}: {error}")]
    Exchange {
        /// Endpoint that was polled.
        endpoint: EndpointId,
        /// Cause of the failure.
        #[source]
        error: MessageError,
    },
    /// The metrics request got a status other than 200.
    #[error("endpoint {endpoint} answered status {status} for its metrics: expected 200")]
    Status {
        /// Endpoint that was polled.
        endpoint: EndpointId,
        /// Status of the response.
        status: u16,
    },
    /// The metrics page lacks a metric or has an invalid value.
    #[error("endpoint {endpoint}: {error}")]
    Metrics {
        /// Endpoint that was polled.
        endpoint: EndpointId,
        /// Fault in the page.
        #[source]
        error: MetricsError,
    },
}

/// Why a metrics page could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MetricsError {
    /// The page is not UTF-8.
    #[error("metrics page is not UTF-8")]
    NotText,
    /// A required metric is missing.
    #[error("metrics page has no {0}")]
    Missing(&'static str),
    /// A value is not a finite number from 0.
    #[error("metrics page has an invalid value of {0}: expected a number from 0")]
    Invalid(&'static str),
}

/// Load of an endpoint according to its metrics page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Running requests, summed over all engines on the page.
    pub running: u32,
    /// Waiting requests, summed over all engines on the page.
    pub waiting: u32,
    /// Highest KV cache usage of any engine on the page, in thousandths.
    pub cache_permille: u16,
    /// Identifies the process lifetime of the endpoint; 0 if the page does not
    /// state it.
    pub incarnation: Incarnation,
}

impl EngineLoad {
    /// Parses a page in the Prometheus text format.
    ///
    /// Services without a model publish no cache usage, which counts as 0.
    pub fn parse(page: &[u8]) -> Result<Self, MetricsError> {
        let text = std::str::from_utf8(page).map_err(|_| MetricsError::NotText)?;
        let mut load = PageValues::default();
        for line in text.lines() {
            load.add_line(line)?;
        }
        Ok(Self {
            running: load.running.ok_or(MetricsError::Missing(RUNNING))?,
            waiting: load.waiting.ok_or(MetricsError::Missing(WAITING))?,
            cache_permille: load.cache_permille.unwrap_or(0),
            incarnation: load.incarnation.or(load.start_time).unwrap_or_default(),
        })
    }
}

#[derive(Debug, Default)]
struct PageValues {
    running: Option<u32>,
    waiting: Option<u32>,
    cache_permille: Option<u16>,
    incarnation: Option<Incarnation>,
    start_time: Option<Incarnation>,
}

impl PageValues {
    fn add_line(&mut self, line: &str) -> Result<(), MetricsError> {
        let Some((name, value)) = split_sample(line) else {
            return Ok(());
        };
        match name {
            RUNNING => add_count(&mut self.running, RUNNING, value),
            WAITING => add_count(&mut self.waiting, WAITING, value),
            CACHE_USAGE => {
                let usage = parse_number(CACHE_USAGE, value)?.min(1.0);
                let permille = (usage * 1_000.0).round() as u16;
                self.cache_permille = Some(self.cache_permille.unwrap_or(0).max(permille));
                Ok(())
            }
            INCARNATION => {
                // An integer is parsed exactly; a float has only 53 bits.
                let number = match value.parse() {
                    Ok(exact) => exact,
                    Err(_) => parse_number(INCARNATION, value)? as u64,
                };
                self.incarnation = Some(Incarnation(number));
                Ok(())
            }
            START_TIME => {
                let start_ms = parse_number(START_TIME, value)? * 1_000.0;
                self.start_time = Some(Incarnation(start_ms as u64));
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// Splits a sample line into the metric name without labels and the value.
fn split_sample(line: &str) -> Option<(&str, &str)> {
    if line.starts_with('#') {
        return None;
    }
    let name_end = line.find(|c: char| c == '{' || c.is_ascii_whitespace())?;
    let (name, rest) = line.split_at(name_end);
    // Label values may contain spaces, and an optional timestamp follows the value.
    let value = match rest.strip_prefix('{') {
        Some(labelled) => &labelled[labelled.rfind('}')? + 1..],
        None => rest,
    };
    Some((name, value.split_ascii_whitespace().next()?))
}

fn parse_number(name: &'static str, value: &str) -> Result<f64, MetricsError> {
    let number: f64 = value.parse().map_err(|_| MetricsError::Invalid(name))?;
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    Err(MetricsError::Invalid(name))
}

fn add_count(sum: &mut Option<u32>, name: &'static str, value: &str) -> Result<(), MetricsError> {
    let count = parse_number(name, value)? as u32;
    *sum = Some(sum.unwrap_or(0).saturating_add(count));
    Ok(())
}

/// Returns the endpoints that `this_host` polls, given the live hosts of its
/// region.
pub fn assigned<'a>(
    this_host: &HostId,
    live_hosts: &[HostId],
    endpoints: &'a [EndpointInfo],
) -> Vec<&'a EndpointInfo> {
    let is_assigned =
        |endpoint: &&EndpointInfo| pollers(live_hosts, &endpoint.id).contains(&this_host);
    endpoints.iter().filter(is_assigned).collect()
}

/// Returns the hosts that poll an endpoint, highest rank first.
pub fn pollers<'a>(live_hosts: &'a [HostId], endpoint: &EndpointId) -> Vec<&'a HostId> {
    let mut ranked: Vec<&HostId> = live_hosts.iter().collect();
    let rank = |host: &HostId| rendezvous_rank(endpoint.as_str(), host.as_str());
    ranked.sort_unstable_by_key(|host| Reverse(rank(host)));
    ranked.truncate(POLLERS_PER_ENDPOINT);
    ranked
}

/// Polls one endpoint; `last_report` is its previous report, if any.
///
/// An endpoint that is leaving and whose metrics cannot be read is reported with
/// its last known load.
pub fn poll_endpoint(
    info: &EndpointInfo,
    last_report: Option<&EndpointReport>,
    timeout: Duration,
) -> Result<EndpointReport, PollError> {
    let deadline = Instant::now() + timeout;
    let is_leaving = is_leaving(info, timeout, deadline)?;
    match read_load(info, timeout, deadline) {
        Ok(load) => Ok(EndpointReport {
            endpoint: info.id.clone(),
            incarnation: load.incarnation,
            measured_ms: clock::now(),
            running: load.running,
            waiting: load.waiting,
            cache_permille: load.cache_permille,
            is_leaving,
        }),
        Err(error) => {
            let last_report = last_report.filter(|_| is_leaving).ok_or(error)?;
            Ok(EndpointReport {
                measured_ms: clock::now(),
                is_leaving,
                ..last_report.clone()
            })
        }
    }
}

fn is_leaving(
    info: &EndpointInfo,
    timeout: Duration,
    deadline: Instant,
) -> Result<bool, PollError> {
    let (status, _) = get(info, "/health", MAX_HEALTH_BYTES, timeout, deadline)?;
    Ok(status == 503)
}

fn read_load(
    info: &EndpointInfo,
    timeout: Duration,
    deadline: Instant,
) -> Result<EngineLoad, PollError> {
    let endpoint = || info.id.clone();
    let (status, page) = get(info, "/metrics", MAX_METRICS_BYTES, timeout, deadline)?;
    if status != 200 {
        return Err(PollError::Status {
            endpoint: endpoint(),
            status,
        });
    }
    EngineLoad::parse(&page).map_err(|error| PollError::Metrics {
        endpoint: endpoint(),
        error,
    })
}

fn get(
    info: &EndpointInfo,
    path: &str,
    limit_bytes: usize,
    timeout: Duration,
    deadline: Instant,
) -> Result<(u16, Vec<u8>), PollError> {
    let exchange = || {
        let mut connection = client::connect(info.address, timeout)?;
        let request = HttpRequest {
            method: "GET".into(),
            path: path.into(),
            headers: Headers::new(),
            body: Vec::new(),
        };
        client::send(&mut connection, &request, deadline)?;
        let mut response = client::receive(connection, deadline)?;
        let body = response
            .body
            .read_to_end(&mut response.connection, limit_bytes, deadline)?;
        Ok((response.head.status, body))
    };
    exchange().map_err(|error| PollError::Exchange {
        endpoint: info.id.clone(),
        error,
    })
}

/// Polling interval, timeout and concurrency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollerConfig {
    /// Time between the starts of two rounds.
    pub interval_ms: Millis,
    /// Timeout for one endpoint.
    pub timeout_ms: Millis,
    /// Maximum number of endpoints polled concurrently.
    pub max_concurrent: usize,
}

impl PollerConfig {
    /// Returns the default of one round per second.
    ///
    /// A leaving endpoint must be known on all hosts within three seconds; this
    /// interval leaves two of them for gossip and one lost poll.
    pub fn new() -> Self {
        Self {
            interval_ms: Millis(1_000),
            timeout_ms: Millis(500),
            max_concurrent: 4,
        }
    }

    /// Sets the interval and the timeout.
    pub fn with_times(mut self, interval_ms: Millis, timeout_ms: Millis) -> Self {
        self.interval_ms = interval_ms;
        self.timeout_ms = timeout_ms;
        self
    }
}

impl Default for PollerConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Totals of one poller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PollerCounts {
    /// Successful polls.
    pub reports: u64,
    /// Failed polls.
    pub failures: u64,
    /// Rounds that were skipped because the previous one took too long.
    pub skipped_rounds: u64,
}

#[derive(Debug)]
struct Shared {
    config: PollerConfig,
    targets: Mutex<Vec<EndpointInfo>>,
    last_reports: Mutex<HashMap<EndpointId, EndpointReport>>,
    is_stopping: AtomicBool,
    reports: AtomicU64,
    failures: AtomicU64,
    skipped_rounds: AtomicU64,
}

/// Locks a mutex and ignores poisoning, because a panic cannot leave an entry
/// partly written.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Background poller of the assigned endpoints; stops when dropped.
#[derive(Debug)]
pub struct Poller {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Poller {
    /// Starts the poller without endpoints.
    ///
    /// `on_report` may run on several threads at once. Fails if the thread cannot
    /// be started.
    pub fn start<F>(config: PollerConfig, on_report: F) -> std::io::Result<Self>
    where
        F: Fn(EndpointReport) + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared {
            config,
            targets: Mutex::new(Vec::new()),
            last_reports: Mutex::new(HashMap::new()),
            is_stopping: AtomicBool::new(false),
            reports: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            skipped_rounds: AtomicU64::new(0),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("endpoint poller".into())
            .spawn(move || poll_loop(&thread_shared, &on_report))?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Sets the endpoints to poll from the next round on.
    pub fn set_targets(&self, targets: Vec<EndpointInfo>) {
        lock(&self.shared.last_reports)
            .retain(|endpoint, _| targets.iter().any(|target| target.id == *endpoint));
        *lock(&self.shared.targets) = targets;
    }

    /// Returns the totals since the start.
    pub fn counts(&self) -> PollerCounts {
        PollerCounts {
            reports: self.shared.reports.load(Ordering::Relaxed),
            failures: self.shared.failures.load(Ordering::Relaxed),
            skipped_rounds: self.shared.skipped_rounds.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        if self.thread.take().is_some_and(|t| t.join().is_err()) {
            tracing::error!("the endpoint poller panicked; load reports had stopped");
        }
    }
}

fn poll_loop<F>(shared: &Shared, on_report: &F)
where
    F: Fn(EndpointReport) + Sync,
{
    let interval = Duration::from_millis(shared.config.interval_ms.0.max(1));
    let mut next_round = Instant::now();
    while !shared.is_stopping.load(Ordering::Acquire) {
        let now = Instant::now();
        if now < next_round {
            thread::sleep((next_round - now).min(STOP_INTERVAL));
            continue;
        }
        poll_round(shared, on_report);
        next_round += interval;
        while next_round < Instant::now() {
            next_round += interval;
            shared.skipped_rounds.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn poll_round<F>(shared: &Shared, on_report: &F)
where
    F: Fn(EndpointReport) + Sync,
{
    let targets = lock(&shared.targets).clone();
    let next_index = AtomicUsize::new(0);
    let poll_remaining = || {
        while let Some(target) = targets.get(next_index.fetch_add(1, Ordering::Relaxed)) {
            if shared.is_stopping.load(Ordering::Acquire) {
                return;
            }
            poll_target(shared, target, on_report);
        }
    };
    let workers = shared.config.max_concurrent.min(targets.len());
    thread::scope(|scope| {
        for _ in 1..workers {
            let spawned = thread::Builder::new().spawn_scoped(scope, poll_remaining);
            if let Err(error) = spawned {
                tracing::warn!(%error, "could not start a poll thread; the round runs on fewer threads");
            }
        }
        poll_remaining();
    });
}

fn poll_target<F>(shared: &Shared, target: &EndpointInfo, on_report: &F)
where
    F: Fn(EndpointReport),
{
    let last_report = lock(&shared.last_reports).get(&target.id).cloned();
    let timeout = Duration::from_millis(shared.config.timeout_ms.0);
    match poll_endpoint(target, last_report.as_ref(), timeout) {
        Ok(report) => {
            shared.reports.fetch_add(1, Ordering::Relaxed);
            lock(&shared.last_reports).insert(target.id.clone(), report.clone());
            on_report(report);
        }
        Err(error) => {
            shared.failures.fetch_add(1, Ordering::Relaxed);
            tracing::debug!(%error, "poll failed; the endpoint is polled again in the next round");
        }
    }
}
