//! Threads that follow the platform's list and the configuration.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use rand::RngExt;

use crate::{
    decider::DeciderHandle,
    decision::event::Event,
    platform::{
        Index,
        PlatformError,
        ServiceList, //
    }, //
};

/// Longest blocking read; a stop waits for it at most this long.
const BLOCKING_WAIT: Duration = Duration::from_secs(1);
/// Shortest and longest pause after a failure.
const FAILURE_PAUSE_MS: std::ops::Range<u64> = 200..600;

/// Set to end the threads of a host.
#[derive(Debug, Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Follows the list of endpoints and hosts until stopped.
pub fn follow_list(list: &ServiceList, decider: &DeciderHandle, stop: &StopFlag) {
    let mut index = Index::default();
    while !stop.is_set() {
        match read_list(list, index) {
            Ok((next, event)) => {
                index = next;
                // The next read brings the list again if the ring is full.
                if decider.report(event).is_err() {
                    index = Index::default();
                }
            }
            Err(error) => {
                tracing::warn!(%error, "could not read the list");
                pause_after_failure();
            }
        }
    }
}

fn read_list(list: &ServiceList, index: Index) -> Result<(Index, Event), PlatformError> {
    let endpoints = list.list_endpoints(index, BLOCKING_WAIT)?;
    let hosts = list.list_hosts(Index::default(), Duration::ZERO)?;
    let event = Event::Listed {
        endpoints: endpoints.entries,
        hosts: hosts.entries,
    };
    Ok((endpoints.index, event))
}

/// Waits a random time, so that hosts do not return to a failed service together.
pub fn pause_after_failure() {
    let pause_ms = rand::rng().random_range(FAILURE_PAUSE_MS);
    thread::sleep(Duration::from_millis(pause_ms));
}
