//! What the store says, as changes for the reactor, and this host's item in it.
//!
//! One thread follows the store and one keeps the host's lease, so a store that
//! is slow or away never holds up a request. Changes pass through a bounded
//! channel; the thread that follows waits when it is full.
//!
//! Entries of endpoints lapse while the store is away, although the endpoints
//! live. An entry that is missing shortly after an outage is therefore only
//! taken as gone when it is still missing after [`RETURN_MS`].

use std::{
    collections::BTreeMap,
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

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    Sender, //
};
use mio::Waker;

use super::{
    configuration::Configuration,
    endpoint::{
        Announcement,
        Stage, //
    },
    hosts::{
        HOST_PREFIX,
        HostInfo, //
    }, //
};
use crate::platform::{
    items::{
        CONFIGURATION_KEY,
        ENDPOINT_PREFIX,
        EVACUATION_PREFIX,
        decode_configuration,
        decode_endpoint, //
    },
    store::{
        ItemChange,
        LeaseId,
        StoreClient,
        StoreError,
        StoreRevision, //
    }, //
};

/// Longest wait of one watch. A watch whose connection went silent is noticed
/// after this and [`ANSWER_TIMEOUT`], which has to be within the time after
/// which a host counts as connected again.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait for an answer of the store: several times its slowest.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, so that a store that is down is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time in which entries that lapsed during an outage come back.
const RETURN_MS: u64 = 2_200;
/// Lifetime of the host's lease: two renewals may fail.
const LEASE_TTL: Duration = Duration::from_millis(3_000);
/// Interval of renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// A change of what the host believes.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// A configuration was written.
    Configuration(Arc<Configuration>),
    /// An endpoint announces itself.
    Endpoint(CompactString, Announcement),
    /// An endpoint is no longer announced.
    EndpointGone(CompactString),
    /// A data centre is evacuated, or no longer.
    Evacuated(CompactString, bool),
    /// A host registered.
    Host(HostInfo),
    /// A host's item is gone.
    HostGone(CompactString),
    /// The store answers, or no longer.
    Store(bool),
    /// The whole content of the store was read once.
    Synchronised,
    /// The process is asked to stop.
    Stop,
    /// The process is asked to read its settings again.
    Reload,
}

/// Sends updates to the reactor and wakes it.
#[derive(Clone)]
pub struct UpdateSender {
    sender: Sender<Update>,
    waker: Arc<Waker>,
}

impl UpdateSender {
    /// A sender for the reactor behind `waker`.
    pub fn new(sender: Sender<Update>, waker: Arc<Waker>) -> Self {
        Self { sender, waker }
    }

    /// Sends an update; false if the reactor has ended.
    pub fn send(&self, update: Update) -> bool {
        if self.sender.send(update).is_err() {
            return false;
        }
        if let Err(error) = self.waker.wake() {
            tracing::warn!(%error, "could not wake the reactor; it sees the update at its next tick");
        }
        true
    }
}

/// Follows the store's content and turns it into updates.
pub struct StoreFollower {
    quick: StoreClient,
    patient: StoreClient,
    updates: UpdateSender,
    items: BTreeMap<CompactString, Vec<u8>>,
    missing: BTreeMap<CompactString, Instant>,
    is_reachable: Option<bool>,
    unstable_until: Option<Instant>,
}

impl StoreFollower {
    /// A follower of the store at `address`.
    pub fn new(address: std::net::SocketAddr, updates: UpdateSender) -> Self {
        Self {
            quick: StoreClient::new(address, ANSWER_TIMEOUT),
            patient: StoreClient::new(address, WATCH_WAIT + ANSWER_TIMEOUT),
            updates,
            items: BTreeMap::new(),
            missing: BTreeMap::new(),
            is_reachable: None,
            unstable_until: None,
        }
    }

    /// Follows until the process ends.
    pub fn run(&mut self, is_stopping: &AtomicBool) {
        let mut revision: Option<StoreRevision> = None;
        while !is_stopping.load(Ordering::Relaxed) {
            let result = match revision {
                None => self.synchronise(),
                Some(known) => self.watch(known),
            };
            self.drop_missing();
            match result {
                Ok(next) => {
                    self.set_reachable(true, "");
                    revision = Some(next);
                }
                Err(StoreError::HistoryGone) => {
                    tracing::info!(revision = ?revision, "store dropped its history; reading all items again");
                    revision = None;
                }
                Err(error) => {
                    self.set_reachable(false, &error.to_string());
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn synchronise(&mut self) -> Result<StoreRevision, StoreError> {
        let page = self.quick.range("")?;
        let gone: Vec<CompactString> = self
            .items
            .keys()
            .filter(|key| !page.changes.iter().any(|change| change.key == **key))
            .cloned()
            .collect();
        for change in page.changes {
            self.apply(change);
        }
        for key in gone {
            self.remove(key);
        }
        self.updates.send(Update::Synchronised);
        Ok(page.revision)
    }

    fn watch(&mut self, revision: StoreRevision) -> Result<StoreRevision, StoreError> {
        let page = self.patient.watch("", revision, WATCH_WAIT)?;
        for change in page.changes {
            self.apply(change);
        }
        Ok(page.revision.max(revision))
    }

    fn apply(&mut self, change: ItemChange) {
        let Some(value) = change.value else {
            self.remove(change.key);
            return;
        };
        self.missing.remove(&change.key);
        if self.items.get(&change.key) == Some(&value) {
            return;
        }
        if let Some(update) = decode(&change.key, &value, change.revision) {
            self.updates.send(update);
        }
        self.items.insert(change.key, value);
    }

    /// Takes an item as gone, or waits whether it returns after an outage.
    fn remove(&mut self, key: CompactString) {
        let may_return = self
            .unstable_until
            .is_some_and(|until| Instant::now() < until)
            && key.starts_with(ENDPOINT_PREFIX)
            && self.items.get(&key).is_some_and(|value| is_ready(value));
        if may_return {
            let until = Instant::now() + Duration::from_millis(RETURN_MS);
            self.missing.entry(key).or_insert(until);
            return;
        }
        self.forget(&key);
    }

    fn forget(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
            self.updates.send(Update::EndpointGone(id.into()));
        } else if let Some(name) = key.strip_prefix(EVACUATION_PREFIX) {
            self.updates.send(Update::Evacuated(name.into(), false));
        } else if let Some(name) = key.strip_prefix(HOST_PREFIX) {
            self.updates.send(Update::HostGone(name.into()));
        }
    }

    fn drop_missing(&mut self) {
        let now = Instant::now();
        let due: Vec<CompactString> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.missing.remove(&key);
            self.forget(&key);
        }
    }

    fn set_reachable(&mut self, is_reachable: bool, cause: &str) {
        let window = Duration::from_millis(RETURN_MS);
        if !is_reachable {
            // Refreshed at each failure, so it counts from the end of an outage.
            self.unstable_until = Some(Instant::now() + window + WATCH_WAIT);
        }
        if self.is_reachable == Some(is_reachable) {
            return;
        }
        if is_reachable {
            tracing::info!(dependency = "store", "dependency regained");
        } else {
            tracing::warn!(dependency = "store", cause, "dependency lost");
        }
        self.is_reachable = Some(is_reachable);
        self.updates.send(Update::Store(is_reachable));
    }
}

fn is_ready(value: &[u8]) -> bool {
    decode_endpoint(value).is_ok_and(|announced| announced.stage == Stage::Ready)
}

fn decode(key: &str, value: &[u8], revision: StoreRevision) -> Option<Update> {
    let decoded = if key == CONFIGURATION_KEY {
        decode_configuration(value)
            .map(|configuration| Update::Configuration(Arc::new(configuration)))
            .map_err(|error| error.to_string())
    } else if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
        // An unusable entry names no endpoint; an earlier one of it is void.
        match decode_endpoint(value) {
            Ok(announcement) => Ok(Update::Endpoint(id.into(), announcement)),
            Err(error) => {
                tracing::warn!(key, revision = revision.0, %error, "item is unusable");
                Ok(Update::EndpointGone(id.into()))
            }
        }
    } else if let Some(name) = key.strip_prefix(EVACUATION_PREFIX) {
        Ok(Update::Evacuated(name.into(), true))
    } else if key.starts_with(HOST_PREFIX) {
        serde_json::from_slice(value)
            .map(Update::Host)
            .map_err(|error| error.to_string())
    } else {
        return None;
    };
    match decoded {
        Ok(update) => Some(update),
        Err(error) => {
            tracing::warn!(key, revision = revision.0, error, "item is unusable");
            None
        }
    }
}

/// Keeps the host's item in the store until `stop` says otherwise.
pub struct Registration {
    client: StoreClient,
    info: HostInfo,
    ttl: Duration,
}

impl Registration {
    /// Registers `info` at the store at `address`.
    pub fn new(address: std::net::SocketAddr, info: HostInfo, min_lease_ms: u64) -> Self {
        Self {
            client: StoreClient::new(address, ANSWER_TIMEOUT),
            info,
            ttl: LEASE_TTL.max(Duration::from_millis(min_lease_ms)),
        }
    }

    /// Registers, renews until `stop` is closed, and ends the lease.
    pub fn run(&self, stop: &Receiver<()>) {
        let mut lease: Option<LeaseId> = None;
        loop {
            let pause = match self.step(lease) {
                Ok(held) => {
                    lease = Some(held);
                    RENEW_INTERVAL
                }
                Err(StoreError::LeaseEnded) => {
                    tracing::warn!("lease of this host ended; registering again");
                    lease = None;
                    Duration::ZERO
                }
                Err(error) => {
                    tracing::debug!(%error, "could not renew the registration");
                    RETRY_PAUSE
                }
            };
            if stop.recv_timeout(pause) != Err(crossbeam::channel::RecvTimeoutError::Timeout) {
                break;
            }
        }
        if let Some(held) = lease {
            if let Err(error) = self.client.end_lease(held) {
                tracing::warn!(%error, "could not end the lease; it lapses by itself");
            }
        }
    }

    fn step(&self, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
        if let Some(held) = lease {
            self.client.renew_lease(held)?;
            return Ok(held);
        }
        let granted = self.client.grant_lease(self.ttl)?;
        let key = format!("{HOST_PREFIX}{}", self.info.name);
        self.client
            .put(&key, &serde_json::to_vec(&self.info)?, granted)?;
        Ok(granted)
    }
}
