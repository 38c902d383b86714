//! Threads that follow the platform's list and the configuration.

use std::{
    net::SocketAddr,
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
    clock,
    consul::{
        Index,
        KeyValue,
        PlatformError,
        ServiceList, //
    },
    contact::PlatformContact,
    decider::DeciderHandle,
    decision::{
        Gateway,
        event::Event, //
    },
    in_force::InForceCell,
    peer::{
        client::PeerClient,
        rendezvous_rank, //
    },
    peer_list,
    rollout::{
        ChangeSet,
        HEAD_KEY,
        HeadWatch, //
    },
    types::HostId, //
};

/// Longest blocking read; a stop waits for it at most this long.
const BLOCKING_WAIT: Duration = Duration::from_secs(1);
/// Hosts of one region that wait for changes; the second covers the first.
const WATCHERS_PER_REGION: usize = 2;
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

/// Follows the platform's list of endpoints and hosts.
pub struct ListFollower {
    /// The list.
    pub list: ServiceList,
    /// Leads to the decisions.
    pub decider: DeciderHandle,
    /// Asks hosts of the region while the platform is away.
    pub peers: PeerClient,
    /// Notes what was read.
    pub contact: PlatformContact,
}

impl ListFollower {
    /// Follows until stopped; `on_hosts` takes the addresses of the hosts.
    ///
    /// A host that has read no list yet takes the endpoints that another host of the region
    /// knows while the platform cannot be reached.
    pub fn follow<F>(&self, on_hosts: F, stop: &StopFlag)
    where
        F: Fn(Vec<SocketAddr>),
    {
        let mut index = Index::default();
        while !stop.is_set() {
            match read_list(&self.list, index) {
                Ok(read) => {
                    index = read.index;
                    on_hosts(read.host_addresses);
                    // The next read brings the list again if the ring is full.
                    self.contact.note_response();
                    match self.decider.report(read.event) {
                        Ok(()) => self.contact.note_list(),
                        Err(_) => index = Index::default(),
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "could not read the list");
                    if peer_list::is_needed(&self.decider) {
                        self.take_list_of_peer();
                    }
                    pause_after_failure();
                }
            }
        }
    }

    fn take_list_of_peer(&self) {
        let endpoints = match peer_list::fetch(&self.decider, &self.peers) {
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
        // The next failure of the platform brings the list again if the ring is
        // full.
        if self.decider.report(event).is_ok() {
            self.contact.note_list();
        }
    }
}

/// What one read of the list has brought.
struct ListRead {
    index: Index,
    host_addresses: Vec<SocketAddr>,
    event: Event,
}

fn read_list(list: &ServiceList, index: Index) -> Result<ListRead, PlatformError> {
    let endpoints = list.list_endpoints(index, BLOCKING_WAIT)?;
    let hosts = list.list_hosts(Index::default(), Duration::ZERO)?;
    let addresses = hosts.entries.iter().map(|host| host.peer_address);
    let host_addresses = addresses.collect();
    let event = Event::Listed {
        endpoints: endpoints.entries,
        hosts: hosts.entries,
    };
    Ok(ListRead {
        index: endpoints.index,
        host_addresses,
        event,
    })
}

/// Whether this host is one of the few of its region that wait for changes.
///
/// Hosts whose views differ for a moment give one watcher more or less; the
/// others read the head now and then all the same.
pub fn is_watcher(gateway: &Gateway) -> bool {
    let config = gateway.config();
    let rank = |host: &HostId| rendezvous_rank(HEAD_KEY, host.as_str());
    let own_rank = rank(&config.host);
    let ahead = gateway
        .view()
        .ready_hosts(clock::now(), &config.region, gateway.policy())
        .filter(|state| state.heartbeat.host != config.host)
        .filter(|state| rank(&state.heartbeat.host) > own_rank);
    ahead.count() < WATCHERS_PER_REGION
}

/// Brings the configuration up to date from the platform and from peers.
#[derive(Clone)]
pub struct Configuration {
    /// Configuration in force at this host.
    pub in_force: InForceCell,
    /// Leads to the decisions.
    pub decider: DeciderHandle,
    /// Notes what was read.
    pub contact: PlatformContact,
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
                Ok(news) => {
                    self.contact.note_response();
                    match news {
                        Some(set) => self.apply(set),
                        None if has_none => thread::sleep(ROLE_POLL),
                        None => {}
                    }
                }
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
