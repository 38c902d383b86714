//! Measures what a host adds to the latency of requests.
//!
//! Requests through the host and directly to an endpoint are interleaved in one
//! run, so that both see the same machine in the same state. The run is open:
//! requests start at their planned instants, and a late start counts as
//! latency. Plain and streamed requests alternate. The added latency is the
//! difference between the same quantiles of the two ways.

use std::{
    fmt,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::{
    Context as _,
    bail,
    ensure, //
};
use clap::Args;
use crossbeam::channel::{
    Receiver,
    bounded, //
};
use hdrhistogram::Histogram;
use serde_json::{
    Value,
    json, //
};
use thiserror::Error;

use crate::{
    host::Host,
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
    standin::{
        model::ModelOptions,
        testbed::{
            CALLER_KEY,
            MODEL,
            Testbed,
            TestbedOptions, //
        }, //
    }, //
};

/// Longest run.
const MAX_SECONDS: u64 = 600;
/// Most requests of one run, both ways together.
const MAX_REQUESTS: u64 = 1_000_000;
/// Most connections at the same time, each with a thread.
const MAX_CONNECTIONS: u64 = 512;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
const OWN_ENGINE_SLOTS: u32 = 4_096;
const OWN_MAX_CONNECTIONS: usize = 4_096;
const OWN_START_TIMEOUT: Duration = Duration::from_secs(10);
const OWN_START_POLL: Duration = Duration::from_millis(20);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Whom a load run asks.
#[derive(Debug, Clone, Args)]
pub struct LoadTarget {
    /// Address for callers of the host under test.
    #[arg(long, required = false, requires_all = ["direct", "key", "model"])]
    pub host: SocketAddr,
    /// Address of an endpoint for the direct requests.
    #[arg(long, required = false, requires_all = ["host", "key", "model"])]
    pub direct: SocketAddr,
    /// Bearer key for the host.
    #[arg(long, required = false, requires_all = ["host", "direct", "model"])]
    pub key: String,
    /// Model to ask for.
    #[arg(long, required = false, requires_all = ["host", "direct", "key"])]
    pub model: String,
}

/// Options of a load run.
#[derive(Debug, Clone, Args)]
#[command(after_help = "Examples:\n  \
    cardamombridge load --rate 400    # starts a host and an engine of its own\n  \
    cardamombridge load --host 127.0.0.1:8080 --direct 127.0.0.1:8000 \\\n    \
    --key sk-example --model stain-advice")]
pub struct LoadArgs {
    /// Whom to ask; without it, a host and an engine are started.
    #[command(flatten)]
    pub target: Option<LoadTarget>,
    /// Requests a second, half of them direct.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub rate: u64,
    /// Length of the run.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    pub seconds: u64,
    /// Requests at the same time.
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u64).range(1..=MAX_CONNECTIONS))]
    pub connections: u64,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u32,
}

/// What every request of a run has in common.
#[derive(Debug, Clone)]
struct Question {
    target: LoadTarget,
    max_tokens: u32,
}

/// A host and an engine in this process.
struct OwnInstallation {
    target: LoadTarget,
    _host: Host,
    _testbed: Testbed,
}

impl OwnInstallation {
    fn start() -> anyhow::Result<Self> {
        let speed = ModelOptions {
            slots: OWN_ENGINE_SLOTS,
            max_waiting: OWN_ENGINE_SLOTS,
            // A full batch must not slow the engine down, or its delay hides the
            // delay of the host.
            step_per_sequence: Duration::ZERO,
            ..ModelOptions::default()
        };
        let options = TestbedOptions {
            regions: vec!["stred".into()],
            ..TestbedOptions::new()
        }
        .with_engines_per_region(1)
        .with_speed(speed);
        let testbed = Testbed::start(&options)?;
        testbed.accept(&Testbed::intent_text(&options))?;
        let mut config = testbed.seats[0].config.clone();
        config.max_connections = OWN_MAX_CONNECTIONS;
        let host = Host::start(config, &Testbed::keys())?;
        let deadline = Instant::now() + OWN_START_TIMEOUT;
        while !host.is_ready() {
            ensure!(Instant::now() < deadline, "the host is not ready in time");
            thread::sleep(OWN_START_POLL);
        }
        let target = LoadTarget {
            host: host.caller_address(),
            direct: testbed.engines[0].standin.address(),
            key: CALLER_KEY.to_owned(),
            model: MODEL.to_owned(),
        };
        Ok(Self {
            target,
            _host: host,
            _testbed: testbed,
        })
    }
}

/// Which way a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Through the host under test.
    Host,
    /// Straight to the endpoint.
    Direct,
}

/// Why a request has no whole answer.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The exchange broke.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// The answer was an error.
    #[error("status {0}")]
    Status(u16),
    /// A stream ended without its end mark.
    #[error("stream ended without [DONE]")]
    NoDone,
}

/// Latencies of the requests that took one way, in microseconds.
#[derive(Debug, Clone)]
pub struct WayTimes {
    /// Whole plain answers.
    pub plain: Histogram<u64>,
    /// First tokens of streams.
    pub first_token: Histogram<u64>,
    /// Delays between the tokens of streams.
    pub between_tokens: Histogram<u64>,
    /// Requests without a whole answer.
    pub failures: u64,
    /// The first failure.
    pub first_failure: Option<String>,
}

impl WayTimes {
    fn new() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
                .expect("bounds are valid")
        };
        Self {
            plain: empty(),
            first_token: empty(),
            between_tokens: empty(),
            failures: 0,
            first_failure: None,
        }
    }

    fn note(&mut self, result: &Result<Timing, LoadError>) {
        match result {
            Ok(Timing::Plain { whole }) => record(&mut self.plain, *whole),
            Ok(Timing::Stream { first, between }) => {
                record(&mut self.first_token, *first);
                for delay in between {
                    record(&mut self.between_tokens, *delay);
                }
            }
            Err(error) => {
                self.failures += 1;
                self.first_failure.get_or_insert_with(|| error.to_string());
            }
        }
    }

    /// Requests with a whole answer.
    pub fn answered(&self) -> u64 {
        self.plain.len() + self.first_token.len()
    }
}

/// The result of one run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests through the host.
    pub host: WayTimes,
    /// Direct requests.
    pub direct: WayTimes,
    /// From the first start to the last end.
    pub elapsed: Duration,
}

#[derive(Debug)]
enum Timing {
    Plain {
        whole: Duration,
    },
    Stream {
        first: Duration,
        between: Vec<Duration>,
    },
}

#[derive(Debug, Clone, Copy)]
struct Planned {
    at: Instant,
    number: u64,
}

impl Planned {
    fn way(self) -> Way {
        if self.number.is_multiple_of(2) {
            Way::Host
        } else {
            Way::Direct
        }
    }

    fn is_stream(self) -> bool {
        (self.number / 2).is_multiple_of(2)
    }
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}

/// Runs the load and returns what was measured.
pub fn measure(target: &LoadTarget, args: &LoadArgs) -> anyhow::Result<LoadReport> {
    let count = args.rate * args.seconds;
    ensure!(
        count <= MAX_REQUESTS,
        "{count} requests are too many for one run: expected at most {MAX_REQUESTS}"
    );
    let report = Arc::new(Mutex::new(LoadReport {
        host: WayTimes::new(),
        direct: WayTimes::new(),
        elapsed: Duration::ZERO,
    }));
    let question = Question {
        target: target.clone(),
        max_tokens: args.max_tokens,
    };
    let (sender, receiver) = bounded(args.connections as usize);
    let workers = (0..args.connections)
        .map(|_| start_worker(&question, &receiver, &report))
        .collect::<Result<Vec<_>, _>>()
        .context("could not start the threads of the load")?;
    drop(receiver);
    let started = Instant::now();
    for number in 0..count {
        let at = started + Duration::from_secs_f64(number as f64 / args.rate as f64);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        // Blocks while all connections are in use; that wait is latency.
        sender
            .send(Planned { at, number })
            .context("all threads of the load have ended")?;
    }
    drop(sender);
    for worker in workers {
        ensure!(worker.join().is_ok(), "a thread of the load panicked");
    }
    let mut report = locked(&report).clone();
    report.elapsed = started.elapsed();
    Ok(report)
}

fn locked(report: &Mutex<LoadReport>) -> MutexGuard<'_, LoadReport> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_worker(
    question: &Question,
    planned: &Receiver<Planned>,
    report: &Arc<Mutex<LoadReport>>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let question = question.clone();
    let planned = planned.clone();
    let report = Arc::clone(report);
    thread::Builder::new().name("load".into()).spawn(move || {
        for one in planned {
            let result = exchange(&question, one);
            let mut report = locked(&report);
            match one.way() {
                Way::Host => report.host.note(&result),
                Way::Direct => report.direct.note(&result),
            }
        }
    })
}

fn exchange(question: &Question, one: Planned) -> Result<Timing, LoadError> {
    let address = match one.way() {
        Way::Host => question.target.host,
        Way::Direct => question.target.direct,
    };
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut connection = client::connect(address, CONNECT_TIMEOUT)?;
    client::send(&mut connection, &call(question, one), deadline)?;
    let mut answer = client::receive(connection, deadline)?;
    if answer.head.status != 200 {
        return Err(LoadError::Status(answer.head.status));
    }
    if one.is_stream() {
        return read_stream(&mut answer, one, deadline);
    }
    let connection = &mut answer.connection;
    answer
        .body
        .read_to_end(connection, MAX_BODY_BYTES, deadline)?;
    Ok(Timing::Plain {
        whole: one.at.elapsed(),
    })
}

fn read_stream(
    answer: &mut client::HttpResponse,
    one: Planned,
    deadline: Instant,
) -> Result<Timing, LoadError> {
    let mut first = None;
    let mut last = one.at;
    let mut between = Vec::new();
    let mut unread = Vec::new();
    let mut is_done = false;
    let connection = &mut answer.connection;
    while answer.body.read_piece(connection, &mut unread, deadline)? > 0 {
        let now = Instant::now();
        for event in take_events(&mut unread) {
            is_done |= event == DONE;
            if !has_text(&event) {
                continue;
            }
            match first {
                None => first = Some(now - one.at),
                Some(_) => between.push(now - last),
            }
            last = now;
        }
    }
    match first {
        Some(first) if is_done => Ok(Timing::Stream { first, between }),
        _ => Err(LoadError::NoDone),
    }
}

const DONE: &str = "data: [DONE]";

/// Takes the complete events out of the bytes read so far.
fn take_events(unread: &mut Vec<u8>) -> Vec<String> {
    let mut events = Vec::new();
    while let Some(end) = unread.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = unread.drain(..end + 2).take(end).collect();
        events.push(String::from_utf8_lossy(&event).into_owned());
    }
    events
}

fn has_text(event: &str) -> bool {
    let chunk = event.strip_prefix("data: ");
    let chunk = chunk.and_then(|data| serde_json::from_str::<Value>(data).ok());
    let delta = chunk.as_ref().map(|chunk| &chunk["choices"][0]["delta"]);
    let text = delta.and_then(|delta| delta["content"].as_str());
    text.is_some_and(|text| !text.is_empty())
}

fn call(question: &Question, one: Planned) -> HttpRequest {
    let target = &question.target;
    // Pairs of one host request and one direct request ask the same question.
    let prompt = format!("load question {}", one.number / 2);
    let body = json!({
        "model": target.model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": question.max_tokens,
        "stream": one.is_stream(),
    });
    HttpRequest {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Headers::new()
            .with_field("content-type", "application/json")
            .with_field("authorization", &format!("Bearer {}", target.key)),
        body: body.to_string().into_bytes(),
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        for (label, way) in [("host", &self.host), ("direct", &self.direct)] {
            let rate = way.answered() as f64 / seconds;
            write!(
                f,
                "{label:<8}{rate:>9.1} answers/s, {} failed",
                way.failures
            )?;
            match &way.first_failure {
                Some(failure) => writeln!(f, " (first: {failure})")?,
                None => writeln!(f)?,
            }
        }
        writeln!(
            f,
            "{:<16}{:>28}{:>28}{:>28}",
            "ms, p50/p95/p99", "host", "direct", "added"
        )?;
        let (host, direct) = (&self.host, &self.direct);
        write_row(f, "plain answer", &host.plain, &direct.plain)?;
        write_row(f, "first token", &host.first_token, &direct.first_token)?;
        write_row(
            f,
            "between tokens",
            &host.between_tokens,
            &direct.between_tokens,
        )
    }
}

/// Quantiles that are printed.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

fn write_row(
    f: &mut fmt::Formatter<'_>,
    label: &str,
    host: &Histogram<u64>,
    direct: &Histogram<u64>,
) -> fmt::Result {
    let of = |times: &Histogram<u64>| QUANTILES.map(|q| times.value_at_quantile(q) as f64 / 1e3);
    let (host, direct) = (of(host), of(direct));
    let added = [0, 1, 2].map(|index| host[index] - direct[index]);
    let text = |ms: [f64; 3]| format!("{:.3}/{:.3}/{:.3}", ms[0], ms[1], ms[2]);
    writeln!(
        f,
        "{label:<16}{:>28}{:>28}{:>28}",
        text(host),
        text(direct),
        text(added)
    )
}

/// Runs the load and prints the report; fails if any request has failed.
pub fn run<W>(args: &LoadArgs, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    let own = match args.target {
        Some(_) => None,
        None => Some(OwnInstallation::start()?),
    };
    let target = own.as_ref().map(|own| &own.target);
    let Some(target) = target.or(args.target.as_ref()) else {
        bail!("a load run needs a target");
    };
    let report = measure(target, args)?;
    write!(out, "{report}")?;
    let failures = report.host.failures + report.direct.failures;
    ensure!(failures == 0, "{failures} requests have no whole answer");
    Ok(())
}
