//! A host's local copy of the store: configuration, endpoints and hosts.
//!
//! The replica contains the store's items with their revisions. It changes only
//! through [`StoreReplica::apply`], whether a change comes from the store or from
//! another host, and within an era of the store an item never returns to an earlier
//! revision. Each change is decoded once and sent to the reactor.
//!
//! The position of a replica is one up to which it contains every change. Other
//! hosts ask for the changes after their own position, so a change that is missing
//! below it would never reach them.
//!
//! The reactor reads the replica and is the only receiver of its updates, so no thread may wait for
//! it while the content is locked. The threads that change the replica therefore use two locks:
//! `updates` from a change until its updates are sent, which keeps them in the order of changes,
//! and `content` only for the change itself. The reactor has a [`ReplicaReader`], which cannot
//! reach the first lock and does not wait for the second: a page may have any number of changes.
//!
//! A new era begins with a page of all items; [`super::replica_entry`] decides how
//! these are merged with what was known before.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        TryLockError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::{
    Sender,
    TrySendError, //
};
use mio::Waker;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    configuration::Configuration,
    copy_checks::CopyCheck,
    crash_records::Suspect,
    endpoint::Announcement,
    hosts::HostInfo,
    known_state::KnownState,
    origin_exchange::FetchedOrigins,
    reactor::wake,
    replica_content::Content,
    stored_verdicts::StoredVerdict,
    stored_versions::ServedVersions, //
};
use crate::{
    platform::store::ItemChange,
    store_position::{
        StoreEra,
        StorePosition,
        StoreRevision, //
    }, //
};

pub use super::replica_content::SETTLE_TIME;

/// A message to the reactor: a change of the replica, or what was found out about it.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// A configuration was written.
    Configuration(Arc<Configuration>),
    /// An endpoint was announced, or its announcement changed.
    Endpoint(CompactString, Announcement),
    /// An endpoint is no longer announced.
    EndpointRemoved(CompactString),
    /// Whether a data centre, given by name, is evacuated.
    Evacuated(CompactString, bool),
    /// A host registered, or its item changed.
    Host(HostInfo),
    /// A host, given by name, is no longer registered.
    HostRemoved(CompactString),
    /// A suspect that crashes endpoints was written.
    Verdict(Suspect, StoredVerdict),
    /// A suspect is no longer stored.
    VerdictRemoved(Suspect),
    /// Whether the store responds.
    StoreReachable(bool),
    /// Result of a check of the copy, after the changes that it found.
    CopyChecked(CopyCheck),
    /// Versions of a service whose streams may be taken up.
    ServedVersions(CompactString, ServedVersions),
    /// The item of a service's versions was deleted.
    ServedVersionsRemoved(CompactString),
    /// Origins of streams that another host knows.
    Origins(FetchedOrigins),
    /// The store returned from an older copy of itself.
    StoreReturned,
    /// The first set of changes was applied to the replica.
    Synchronised,
}

/// Sends updates to the reactor and wakes it.
#[derive(Clone)]
pub struct UpdateSender {
    sender: Sender<Update>,
    waker: Arc<Waker>,
}

impl UpdateSender {
    /// Creates a sender for the reactor that `waker` wakes.
    pub fn new(sender: Sender<Update>, waker: Arc<Waker>) -> Self {
        Self { sender, waker }
    }

    /// Sends an update, and waits until there is room for it; returns false if the reactor
    /// has ended.
    pub fn send(&self, update: Update) -> bool {
        self.send_all([update])
    }

    /// Sends updates in order, and waits until there is room for all; returns false if the
    /// reactor has ended.
    pub fn send_all<I>(&self, updates: I) -> bool
    where
        I: IntoIterator<Item = Update>,
    {
        let mut is_any_sent = false;
        for update in updates {
            is_any_sent = true;
            let is_sent = match self.sender.try_send(update) {
                Ok(()) => true,
                Err(TrySendError::Full(update)) => {
                    wake(&self.waker);
                    self.sender.send(update).is_ok()
                }
                Err(TrySendError::Disconnected(_)) => false,
            };
            if !is_sent {
                return false;
            }
        }
        if is_any_sent {
            wake(&self.waker);
        }
        true
    }
}

/// Items or changes, as the store or another host sends them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPage {
    /// Items or changes, in the order received.
    pub changes: Vec<ItemChange>,
    /// Revision up to which the changes are complete.
    pub revision: StoreRevision,
    /// Era of all revisions.
    pub era: StoreEra,
    /// Whether `changes` contains all items, so that others do not exist.
    pub is_complete: bool,
}

impl ReplicaPage {
    /// Returns the position up to which the changes are complete.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }
}

/// Whether a page was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The page was applied.
    Applied,
    /// The page is of an earlier era, or contains all items of an earlier revision, and
    /// was ignored.
    Outdated,
    /// The page is of a later era and does not contain all items, so it was ignored.
    NeedsAllItems,
}

/// A host's copy of the store, shared by the threads that change it.
#[derive(Clone)]
pub struct StoreReplica {
    content: Arc<Mutex<Content>>,
    /// State that the content contains, locked only to copy it.
    known: Arc<Mutex<KnownState>>,
    updates: Arc<Mutex<UpdateSender>>,
}

impl StoreReplica {
    /// Creates an empty replica that sends its changes through `updates`.
    pub fn new(updates: UpdateSender) -> Self {
        Self {
            content: Arc::default(),
            known: Arc::default(),
            updates: Arc::new(Mutex::new(updates)),
        }
    }

    /// Returns the replica as the reactor uses it.
    pub fn reader(&self) -> ReplicaReader {
        ReplicaReader {
            content: Arc::clone(&self.content),
            known: Arc::clone(&self.known),
        }
    }

    /// Returns the position up to which the replica contains all changes.
    pub fn position(&self) -> StorePosition {
        self.known().position
    }

    /// Returns the state of the store that the replica contains.
    pub fn known(&self) -> KnownState {
        *lock(&self.known)
    }

    /// Returns the items of the replica, by key.
    pub fn items(&self) -> BTreeMap<CompactString, Vec<u8>> {
        lock(&self.content).items()
    }

    /// Returns what another host that has `known` is missing.
    ///
    /// The configuration is compared by version, because a host that started after
    /// the store returned from a copy has only the one of the copy.
    pub fn changes_for(&self, known: KnownState) -> ReplicaPage {
        lock(&self.content).changes_for(known)
    }

    /// Applies a page of the store or of another host at the time `now`, and waits until the
    /// reactor has room for the updates.
    ///
    /// Changes that are not newer than the replica's item are ignored.
    pub fn apply(&self, page: ReplicaPage, now: Instant) -> ApplyOutcome {
        self.change(|content| content.apply(page, now))
    }

    /// Returns the time left until the items kept from the previous era are given up,
    /// if there are any.
    pub fn settles_in(&self, now: Instant) -> Option<Duration> {
        lock(&self.content).settles_in(now)
    }

    /// Gives up the items kept from the previous era, if it is time.
    pub fn settle(&self, now: Instant) {
        self.change(|content| ((), content.settle(now)));
    }

    /// Reports to the reactor whether the store responds.
    pub fn report_store_reachable(&self, is_reachable: bool) {
        lock(&self.updates).send(Update::StoreReachable(is_reachable));
    }

    /// Reports the result of a check to the reactor.
    pub fn report_check(&self, check: CopyCheck) {
        lock(&self.updates).send(Update::CopyChecked(check));
    }

    /// Changes the content, and sends the updates that follow once it is unlocked again.
    fn change<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Content) -> (T, Vec<Update>),
    {
        let sender = lock(&self.updates);
        let mut content = lock(&self.content);
        let (result, updates) = change(&mut content);
        *lock(&self.known) = content.known();
        drop(content);
        sender.send_all(updates);
        result
    }
}

/// A host's copy of the store, as the reactor reads it.
#[derive(Clone)]
pub struct ReplicaReader {
    content: Arc<Mutex<Content>>,
    known: Arc<Mutex<KnownState>>,
}

impl ReplicaReader {
    /// Returns the state of the store that the replica contains.
    pub fn known(&self) -> KnownState {
        *lock(&self.known)
    }

    /// Like [`StoreReplica::changes_for`]; none while another thread uses the content.
    pub fn changes_for(&self, known: KnownState) -> Option<ReplicaPage> {
        let content = match self.content.try_lock() {
            Ok(content) => content,
            Err(TryLockError::Poisoned(error)) => error.into_inner(),
            Err(TryLockError::WouldBlock) => return None,
        };
        Some(content.changes_for(known))
    }
}

/// Locks state that a panic of another thread leaves at worst stale.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
