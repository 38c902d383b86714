//! The thread that owns the ticket table, and its job queue.

use std::{
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    TrySendError,
    bounded, //
};

use crate::{
    clock,
    decider::RingFull,
    ticket::table::TicketTable,
    types::Millis, //
};

const MAX_QUEUED_JOBS: usize = 1_024;
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

type Job = Box<dyn FnOnce(&mut TicketTable, Millis) + Send>;

/// Sends jobs to the thread that owns the ticket table.
#[derive(Clone)]
pub struct TicketTableHandle {
    queue: Sender<Job>,
}

impl TicketTableHandle {
    /// Starts the thread; it ends when the last handle is dropped.
    pub fn start(table: TicketTable) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (queue, jobs) = bounded(MAX_QUEUED_JOBS);
        let thread = thread::Builder::new()
            .name("tickets".into())
            .spawn(move || run_table(table, &jobs))?;
        Ok((Self { queue }, thread))
    }

    /// Runs `job` on the table and returns its result, unless the queue is
    /// full.
    pub fn run<F, T>(&self, job: F) -> Result<T, RingFull>
    where
        F: FnOnce(&mut TicketTable, Millis) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (job, result) = job_with_result(job);
        self.queue.try_send(job).map_err(|error| match error {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => RingFull,
        })?;
        result.recv().map_err(|_| RingFull)
    }

    /// Runs `job` on the table and returns its result; waits while the queue is
    /// full. For records of the end of a call, which must not be lost.
    pub fn run_blocking<F, T>(&self, job: F) -> Result<T, RingFull>
    where
        F: FnOnce(&mut TicketTable, Millis) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (job, result) = job_with_result(job);
        self.queue.send(job).map_err(|_| RingFull)?;
        result.recv().map_err(|_| RingFull)
    }
}

fn job_with_result<F, T>(job: F) -> (Job, Receiver<T>)
where
    F: FnOnce(&mut TicketTable, Millis) -> T + Send + 'static,
    T: Send + 'static,
{
    let (sender, receiver) = bounded(1);
    let job: Job = Box::new(move |table, now_ms| {
        // The thread that waits for the result may have ended with its
        // connection.
        let _ = sender.send(job(table, now_ms));
    });
    (job, receiver)
}

fn run_table(mut table: TicketTable, jobs: &Receiver<Job>) {
    loop {
        match jobs.recv_timeout(SWEEP_INTERVAL) {
            Ok(job) => job(&mut table, clock::now()),
            Err(RecvTimeoutError::Timeout) => {
                table.sweep(clock::now());
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
