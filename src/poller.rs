//! Reads load and health of endpoints.
//!
//! Each endpoint of a region is polled by the first two live hosts by
//! rendezvous hashing, so that a lost host delays no report and the work is
//! spread without any agreement. A poll reads `GET /metrics` for the load and
//! `GET /health` for whether the endpoint is leaving; each on a connection of
//! its own, with a short deadline.

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

/// Hosts that poll each endpoint.
pub const POLLERS_PER_ENDPOINT: usize = 2;
/// Longest metrics page; the histograms of one vLLM engine take about 60 KB.
const MAX_METRICS_BYTES: usize = 512 * 1024;
/// Longest body of a health answer.
const MAX_HEALTH_BYTES: usize = 16 * 1024;
/// Longest wait before the poller looks at the stop signal.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const CACHE_USE: &str = "vllm:kv_cache_usage_perc";
const INCARNATION: &str = "cardamombridge_standin_incarnation";
/// Published by the usual Prometheus clients; tells restarts apart.
const START_TIME: &str = "process_start_time_seconds";

/// Why an endpoint could not be polled.
#[derive(Debug, Error)]
pub enum PollError {
    /// The exchange failed.
    #[error("could not poll endpoint {endpoint}: {error}")]
    Exchange {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        #[source]
        error: MessageError,
    },
    /// The metrics page was refused.
    #[error("endpoint {endpoint} answered status {status} for its metrics: expected 200")]
    Status {
        /// The endpoint.
        endpoint: EndpointId,
        /// Status of the answer.
        status: u16,
    },
    /// The page lacks a metric or holds an invalid value.
    #[error("endpoint {endpoint}: {error}")]
    Metrics {
        /// The endpoint.
        endpoint: EndpointId,
        /// What is wrong.
        #[source]
        error: MetricsError,
    },
}

/// Why a metrics page is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MetricsError {
    /// The page is not text.
    #[error("metrics page is not UTF-8")]
    NotText,
    /// A metric is missing.
    #[error("metrics page has no {0}")]
    Missing(&'static str),
    /// A value is not a number that makes sense.
    #[error("metrics page has an invalid value of {0}: expected a number from 0")]
    Invalid(&'static str),
}

/// The load of an endpoint, as its metrics page shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run, over all engines of the page.
    pub running: u32,
    /// Requests that wait, over all engines of the page.
    pub waiting: u32,
    /// Used share of the fullest cache, in thousandths.
    pub cache_permille: u16,
    /// Tells runs apart; 0 if the page does not tell.
    pub incarnation: Incarnation,
}

impl EngineLoad {
    /// Reads a page in the Prometheus text format.
    ///
    /// Plain services publish no cache use, which counts as 0.
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
            CACHE_USE => {
                let share = parse_number(CACHE_USE, value)?.min(1.0);
                let permille = (share * 1_000.0).round() as u16;
                self.cache_permille = Some(self.cache_permille.unwrap_or(0).max(permille));
                Ok(())
            }
            INCARNATION => {
                // A whole number is kept exactly; a float has only 53 bits.
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

/// Splits a sample into its name without labels and its value.
fn split_sample(line: &str) -> Option<(&str, &str)> {
    if line.starts_with('#') {
        return None;
    }
    let name_end = line.find(|c: char| c == '{' || c.is_ascii_whitespace())?;
    let (name, rest) = line.split_at(name_end);
    // Label values may contain spaces, and an optional time follows the value.
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

/// The endpoints that `own` polls, given the live hosts of its region.
pub fn assigned<'a>(
    own: &HostId,
    live_hosts: &[HostId],
    endpoints: &'a [EndpointInfo],
) -> Vec<&'a EndpointInfo> {
    let is_own = |endpoint: &&EndpointInfo| pollers(live_hosts, &endpoint.id).contains(&own);
    endpoints.iter().filter(is_own).collect()
}

/// The hosts that poll an endpoint, first one first.
pub fn pollers<'a>(live_hosts: &'a [HostId], endpoint: &EndpointId) -> Vec<&'a HostId> {
    let mut ranked: Vec<&HostId> = live_hosts.iter().collect();
    let rank = |host: &HostId| rendezvous_rank(endpoint.as_str(), host.as_str());
    ranked.sort_unstable_by_key(|host| Reverse(rank(host)));
    ranked.truncate(POLLERS_PER_ENDPOINT);
    ranked
}

/// Polls one endpoint; `known` is its latest report, if any.
///
/// An endpoint that is leaving but no longer shows metrics is reported with its
/// latest known load.
pub fn poll_endpoint(
    info: &EndpointInfo,
    known: Option<&EndpointReport>,
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
            let known = known.filter(|_| is_leaving).ok_or(error)?;
            Ok(EndpointReport {
                measured_ms: clock::now(),
                is_leaving,
                ..known.clone()
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
        let call = HttpRequest {
            method: "GET".into(),
            path: path.into(),
            headers: Headers::new(),
            body: Vec::new(),
        };
        client::send(&mut connection, &call, deadline)?;
        let mut answer = client::receive(connection, deadline)?;
        let body = answer
            .body
            .read_to_end(&mut answer.connection, limit_bytes, deadline)?;
        Ok((answer.head.status, body))
    };
    exchange().map_err(|error| PollError::Exchange {
        endpoint: info.id.clone(),
        error,
    })
}

/// How often and how fast endpoints are polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollerConfig {
    /// Time between rounds.
    pub interval_ms: Millis,
    /// Time for one endpoint.
    pub timeout_ms: Millis,
    /// Endpoints that are polled at the same time.
    pub max_concurrent: usize,
}

impl PollerConfig {
    /// One round a second, which leaves two of the three seconds in which a
    /// leaving endpoint must be known everywhere to gossip and one lost poll.
    pub fn new() -> Self {
        Self {
            interval_ms: Millis(1_000),
            timeout_ms: Millis(500),
            max_concurrent: 4,
        }
    }

    /// The same with another interval and timeout.
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
    /// Polls that gave a report.
    pub reports: u64,
    /// Polls that failed.
    pub failures: u64,
    /// Rounds that were skipped because the one before took too long.
    pub skipped_rounds: u64,
}

#[derive(Debug)]
struct Shared {
    config: PollerConfig,
    targets: Mutex<Vec<EndpointInfo>>,
    known: Mutex<HashMap<EndpointId, EndpointReport>>,
    is_stopping: AtomicBool,
    reports: AtomicU64,
    failures: AtomicU64,
    skipped_rounds: AtomicU64,
}

/// A panic while one of these locks was held leaves whole entries.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls the assigned endpoints until it is stopped.
#[derive(Debug)]
pub struct Poller {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Poller {
    /// Starts without endpoints; `on_report` may run on several threads.
    ///
    /// Fails if the thread cannot be started.
    pub fn start<F>(config: PollerConfig, on_report: F) -> std::io::Result<Self>
    where
        F: Fn(EndpointReport) + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared {
            config,
            targets: Mutex::new(Vec::new()),
            known: Mutex::new(HashMap::new()),
            is_stopping: AtomicBool::new(false),
            reports: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            skipped_rounds: AtomicU64::new(0),
        });
        let running = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("endpoint poller".into())
            .spawn(move || poll_loop(&running, &on_report))?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Sets the endpoints to poll from the next round on.
    pub fn set_targets(&self, targets: Vec<EndpointInfo>) {
        lock(&self.shared.known)
            .retain(|endpoint, _| targets.iter().any(|target| target.id == *endpoint));
        *lock(&self.shared.targets) = targets;
    }

    /// Totals so far.
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
            tracing::error!("the endpoint poller panicked");
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
    let next = AtomicUsize::new(0);
    let poll_rest = || {
        while let Some(target) = targets.get(next.fetch_add(1, Ordering::Relaxed)) {
            if shared.is_stopping.load(Ordering::Acquire) {
                return;
            }
            poll_target(shared, target, on_report);
        }
    };
    let workers = shared.config.max_concurrent.min(targets.len());
    thread::scope(|scope| {
        for _ in 1..workers {
            let spawned = thread::Builder::new().spawn_scoped(scope, poll_rest);
            if let Err(error) = spawned {
                tracing::warn!(%error, "could not start a poll thread");
            }
        }
        poll_rest();
    });
}

fn poll_target<F>(shared: &Shared, target: &EndpointInfo, on_report: &F)
where
    F: Fn(EndpointReport),
{
    let known = lock(&shared.known).get(&target.id).cloned();
    let timeout = Duration::from_millis(shared.config.timeout_ms.0);
    match poll_endpoint(target, known.as_ref(), timeout) {
        Ok(report) => {
            shared.reports.fetch_add(1, Ordering::Relaxed);
            lock(&shared.known).insert(target.id.clone(), report.clone());
            on_report(report);
        }
        Err(error) => {
            shared.failures.fetch_add(1, Ordering::Relaxed);
            tracing::debug!(%error, "poll failed");
        }
    }
}
