//! The thread that counts finished requests for the service-level burn and the
//! metrics.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
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

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    bounded, //
};

use crate::{
    burn::{
        Burn,
        BurnReport,
        Delivery,
        Promise, //
    },
    clock,
    metrics::{
        Metric,
        Metrics, //
    },
    outcome::RunStateWord,
    types::{
        CallerId,
        Millis,
        Tokens, //
    }, //
};

const RING_RECORDS: usize = 4_096;
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer.
    Whole,
    /// Without one, and this is what is known of the run.
    GivenUp(RunStateWord),
    /// The caller went away.
    CallerGone,
}

/// One finished request.
#[derive(Debug, Clone)]
pub struct Record {
    /// Whose request it was.
    pub caller: CallerId,
    /// What the caller was promised.
    pub promise: Promise,
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Generated tokens that reached the caller.
    pub output: Tokens,
    /// Prompt tokens that the endpoint had cached.
    pub cached: Tokens,
}

enum Message {
    Record(Box<Record>),
    Report(Sender<BurnReport>),
}

/// Leads records to the recorder; a full ring drops and counts them.
#[derive(Debug, Clone)]
pub struct RecorderHandle {
    ring: Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl RecorderHandle {
    /// Counts a finished request.
    pub fn record(&self, record: Record) {
        if self
            .ring
            .try_send(Message::Record(Box::new(record)))
            .is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that were dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// What this host has counted; none while the recorder is too busy.
    pub fn report(&self) -> Option<BurnReport> {
        let (sender, receiver) = bounded(1);
        self.ring.try_send(Message::Report(sender)).ok()?;
        receiver.recv_timeout(REPORT_TIMEOUT).ok()
    }
}

/// Starts the recorder; `sample` adds about once a second what is counted
/// elsewhere. The thread ends when the last handle is dropped.
pub fn start<F>(
    burn: Burn,
    metrics: Metrics,
    sample: F,
) -> std::io::Result<(RecorderHandle, JoinHandle<()>)>
where
    F: FnMut(&Metrics) + Send + 'static,
{
    let (ring, messages) = bounded(RING_RECORDS);
    let recorder = Recorder {
        burn,
        metrics,
        sample,
    };
    let thread = thread::Builder::new()
        .name("recorder".into())
        .spawn(move || recorder.run(&messages))?;
    let handle = RecorderHandle {
        ring,
        dropped: Arc::new(AtomicU64::new(0)),
    };
    Ok((handle, thread))
}

struct Recorder<F> {
    burn: Burn,
    metrics: Metrics,
    sample: F,
}

impl<F> Recorder<F>
where
    F: FnMut(&Metrics),
{
    fn run(mut self, messages: &Receiver<Message>) {
        let mut next_sample = Instant::now() + SAMPLE_INTERVAL;
        loop {
            match messages.recv_deadline(next_sample) {
                Ok(Message::Record(record)) => self.take(&record),
                Ok(Message::Report(sender)) => {
                    // The asking thread may have given up.
                    let _ = sender.send(self.burn.report(clock::now()));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_sample {
                next_sample = Instant::now() + SAMPLE_INTERVAL;
                (self.sample)(&self.metrics);
                self.metrics.flush();
            }
        }
    }

    fn take(&mut self, record: &Record) {
        self.count(record);
        if record.ending == Ending::CallerGone {
            return;
        }
        let is_whole = record.ending == Ending::Whole;
        let delivery = Delivery {
            first_token_ms: record.first_token.map(to_millis),
            whole_ms: is_whole.then(|| to_millis(record.whole)),
        };
        self.burn
            .record(clock::now(), &record.caller, &record.promise, &delivery);
    }

    fn count(&self, record: &Record) {
        let metrics = &self.metrics;
        metrics.count(Metric::Requests, 1);
        metrics.count(Metric::OutputTokens, record.output.0);
        metrics.count(Metric::CachedTokens, record.cached.0);
        if let Some(first_token) = record.first_token {
            metrics.time(Metric::FirstToken, first_token);
        }
        match record.ending {
            Ending::Whole => {
                metrics.count(Metric::RequestsComplete, 1);
                metrics.time(Metric::WholeAnswer, record.whole);
            }
            Ending::GivenUp(RunStateWord::NotRun) => metrics.count(Metric::RequestsNotRun, 1),
            Ending::GivenUp(RunStateWord::Unknown) => metrics.count(Metric::RequestsUnknown, 1),
            Ending::GivenUp(RunStateWord::Partial) => metrics.count(Metric::RequestsPartial, 1),
            Ending::CallerGone => {}
        }
    }
}

fn to_millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
