//! Processor time of the calling thread.
//!
//! The thread's own clock leaves out the time in which other work had the
//! processor, so that figures hold on a busy machine too.

use std::time::Duration;

use nix::time::{
    ClockId,
    clock_gettime, //
};

/// Where the times of a [`CpuTimer`] come from.
pub const CLOCK: &str = "processor time of the measuring thread (CLOCK_THREAD_CPUTIME_ID)";

/// Measures the processor time that the calling thread uses.
#[derive(Debug, Clone, Copy)]
pub struct CpuTimer {
    started: Duration,
}

impl CpuTimer {
    /// Starts to measure.
    pub fn start() -> Self {
        Self { started: now() }
    }

    /// Processor time since the start.
    pub fn elapsed(&self) -> Duration {
        now().saturating_sub(self.started)
    }
}

/// Every supported system has this clock; zero would show as a flat line.
fn now() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Runs `work` and returns its processor time with its result.
pub fn measure<Work, Done>(work: Work) -> (Duration, Done)
where
    Work: FnOnce() -> Done,
{
    let timer = CpuTimer::start();
    let done = work();
    (timer.elapsed(), done)
}
