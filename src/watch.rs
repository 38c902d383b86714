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
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::RngExt;

use crate::{
    decider::DeciderHandle,
    decision::event::Event,
    in_force::InForceCell,
    peer::client::PeerClient,
    peer_list,
    platform::{
        Index,
        KeyValue,
        PlatformError,
        ServiceList, //
    },
    rollout::{
        ChangeSet,
        HeadWatch, //
    }, //
};

/// Longest blocking read; a stop waits for it at most this long.
const BLOCKING_WAIT: Duration = Duration::from_secs(1);
/// How often a host that does not watch looks whether it should.
const ROLE_POLL: Duration = Duration::from_millis(100);
/// How often a host that does not watch reads the head all the same.
const UNWATCHED_READ_INTERVAL: Duration = Duration::from_secs(30);
const RING_PAUSE: Duration = Duration::from_millis(5);
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
///
/// A host that has read none yet takes the endpoints that a neighbour knows while
/// the platform cannot be reached.
pub fn follow_list(
    list: &ServiceList,
    decider: &DeciderHandle,
    peers: &PeerClient,
    stop: &StopFlag,
) {
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
                if peer_list::is_needed(decider) {
                    take_list_of_peer(decider, peers);
                }
                pause_after_failure();
            }
        }
    }
}

fn take_list_of_peer(decider: &DeciderHandle, peers: &PeerClient) {
    let endpoints = match peer_list::fetch(decider, peers) {
        Ok(endpoints) => endpoints,
        Err(error) => {
            tracing::debug!(%error, "could not read the list of another host");
            return;
        }
    };
    let event = Event::Listed {
        endpoints,
        hosts: Vec::new(),
    };
    // The next failure of the platform brings the list again if the ring is full.
    let _ = decider.report(event);
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

/// Brings the configuration up to date from the platform and from peers.
#[derive(Clone)]
pub struct Configuration {
    /// Configuration in force at this host.
    pub in_force: InForceCell,
    /// Leads to the decisions.
    pub decider: DeciderHandle,
}

impl Configuration {
    /// Puts changes in force.
    pub fn apply(&self, set: ChangeSet) {
        let Some(intents) = self.in_force.apply(set) else {
            return;
        };
        tracing::info!(revision = %intents.revision, "configuration in force");
        // The decisions must not miss a revision, so wait for room in the ring.
        while self
            .decider
            .report(Event::InForce(Arc::clone(&intents)))
            .is_err()
        {
            thread::sleep(RING_PAUSE);
        }
    }

    /// Follows the head of the configuration until stopped.
    ///
    /// Only hosts for which `is_watcher` is true wait for changes; the others
    /// hear of them from peers and read the head now and then.
    pub fn follow<W>(&self, kv: &KeyValue, is_watcher: W, stop: &StopFlag)
    where
        W: Fn() -> bool,
    {
        let mut head = HeadWatch::new();
        let mut next_read = Instant::now();
        while !stop.is_set() {
            let has_none = self.in_force.get().is_none();
            if !is_watcher() && !has_none && Instant::now() < next_read {
                thread::sleep(ROLE_POLL);
                continue;
            }
            next_read = Instant::now() + UNWATCHED_READ_INTERVAL;
            match head.next(kv, BLOCKING_WAIT, self.in_force.revision()) {
                Ok(Some(set)) => self.apply(set),
                Ok(None) if has_none => thread::sleep(ROLE_POLL),
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(%error, "could not read the configuration");
                    pause_after_failure();
                }
            }
        }
    }
}

/// Waits a random time, so that hosts do not return to a failed service together.
pub fn pause_after_failure() {
    let pause_ms = rand::rng().random_range(FAILURE_PAUSE_MS);
    thread::sleep(Duration::from_millis(pause_ms));
}
