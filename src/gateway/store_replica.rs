//! A host's local copy of the store: configuration, endpoints and hosts.
//!
//! The replica contains the store's items with their revisions. It changes only
//! through [`StoreReplica::apply`], whether a change comes from the store or from
//! another host, and an item never returns to an earlier revision. Each change is
//! decoded once and sent to the reactor.
//!
//! The revision of a replica is one up to which it contains every change. Other
//! hosts ask for the changes after their own revision, so a change that is
//! missing below it would never reach them.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::Sender;
use mio::Waker;

use super::{
    configuration::Configuration,
    endpoint::Announcement,
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
        Page,
        StoreRevision, //
    }, //
};

/// Deletions that are kept, so that other hosts can receive them.
const MAX_DELETIONS: usize = 1_024;

/// A message to the reactor: a change of the replica or a command to the process.
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
    /// Whether the store responds.
    StoreReachable(bool),
    /// The first set of changes was applied to the replica.
    Synchronised,
    /// The process has to shut down.
    Stop,
    /// The process has to read its settings again.
    Reload,
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

    /// Sends an update; returns false if the reactor has ended.
    pub fn send(&self, update: Update) -> bool {
        if self.sender.send(update).is_err() {
            return false;
        }
        if let Err(error) = self.waker.wake() {
            tracing::warn!(
                %error,
                "could not wake the reactor; it applies the update at its next tick"
            );
        }
        true
    }
}

#[derive(Debug, Default)]
struct Content {
    revision: StoreRevision,
    /// Revision and value of each item; a deleted item has no value.
    entries: BTreeMap<CompactString, (StoreRevision, Option<Vec<u8>>)>,
    is_synchronised: bool,
}

/// A host's copy of the store, shared by the threads that change it.
#[derive(Clone)]
pub struct StoreReplica {
    content: Arc<Mutex<Content>>,
    updates: UpdateSender,
}

impl StoreReplica {
    /// Creates an empty replica that sends its changes through `updates`.
    pub fn new(updates: UpdateSender) -> Self {
        Self {
            content: Arc::default(),
            updates,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision up to which the replica contains all changes.
    pub fn revision(&self) -> StoreRevision {
        self.lock().revision
    }

    /// Returns the items that changed after `revision`, for another host.
    pub fn changes_after(&self, revision: StoreRevision) -> Page {
        let content = self.lock();
        let changes = content
            .entries
            .iter()
            .filter(|(_, (item_revision, _))| *item_revision > revision)
            .map(|(key, (item_revision, value))| ItemChange {
                key: key.clone(),
                revision: *item_revision,
                value: value.clone(),
            })
            .collect();
        Page {
            changes,
            revision: content.revision,
        }
    }

    /// Returns the keys of the replica's items that are not among `present`.
    pub fn keys_missing_from(&self, present: &[ItemChange]) -> Vec<CompactString> {
        let content = self.lock();
        content
            .entries
            .iter()
            .filter(|(_, (_, value))| value.is_some())
            .map(|(key, _)| key)
            .filter(|key| !present.iter().any(|change| change.key == **key))
            .cloned()
            .collect()
    }

    /// Returns the hosts that are registered.
    pub fn hosts(&self) -> Vec<HostInfo> {
        let content = self.lock();
        content
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(HOST_PREFIX))
            .filter_map(|(_, (_, value))| serde_json::from_slice(value.as_ref()?).ok())
            .collect()
    }

    /// Applies changes, and raises the revision of the replica to `revision`.
    ///
    /// Changes that are not newer than the replica's item are ignored.
    pub fn apply(&self, changes: Vec<ItemChange>, revision: StoreRevision) {
        let mut content = self.lock();
        for change in changes {
            let known = content.entries.get(&change.key);
            if known.is_some_and(|(item_revision, _)| *item_revision >= change.revision) {
                continue;
            }
            let before = known.and_then(|(_, value)| value.clone());
            let is_new = before != change.value;
            let update = match &change.value {
                Some(value) if is_new => decode_update(&change.key, value, change.revision),
                None if is_new => deletion_update(&change.key),
                _ => None,
            };
            content
                .entries
                .insert(change.key, (change.revision, change.value));
            if let Some(update) = update {
                // Sent under the lock, so that updates arrive in the order of changes.
                self.updates.send(update);
            }
        }
        prune_deletions(&mut content.entries);
        content.revision = content.revision.max(revision);
        if !content.is_synchronised {
            content.is_synchronised = true;
            self.updates.send(Update::Synchronised);
        }
    }

    /// Reports to the reactor whether the store responds.
    pub fn report_store_reachable(&self, is_reachable: bool) {
        self.updates.send(Update::StoreReachable(is_reachable));
    }
}

/// Drops the oldest deletions beyond [`MAX_DELETIONS`].
fn prune_deletions(entries: &mut BTreeMap<CompactString, (StoreRevision, Option<Vec<u8>>)>) {
    let mut deleted: Vec<StoreRevision> = entries
        .values()
        .filter(|(_, value)| value.is_none())
        .map(|(item_revision, _)| *item_revision)
        .collect();
    if deleted.len() <= MAX_DELETIONS {
        return;
    }
    deleted.sort_unstable();
    let limit = deleted[deleted.len() - MAX_DELETIONS];
    entries.retain(|_, (item_revision, value)| value.is_some() || *item_revision >= limit);
}

fn deletion_update(key: &str) -> Option<Update> {
    if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
        return Some(Update::EndpointRemoved(id.into()));
    }
    if let Some(name) = key.strip_prefix(EVACUATION_PREFIX) {
        return Some(Update::Evacuated(name.into(), false));
    }
    let name = key.strip_prefix(HOST_PREFIX)?;
    Some(Update::HostRemoved(name.into()))
}

fn decode_update(key: &str, value: &[u8], revision: StoreRevision) -> Option<Update> {
    let decoded = if key == CONFIGURATION_KEY {
        decode_configuration(value)
            .map(|configuration| Update::Configuration(Arc::new(configuration)))
            .map_err(|error| error.to_string())
    } else if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
        // An item that cannot be decoded describes no endpoint, and it replaces any
        // earlier item, so the endpoint counts as removed.
        match decode_endpoint(value) {
            Ok(announcement) => Ok(Update::Endpoint(id.into(), announcement)),
            Err(error) => {
                tracing::warn!(
                    key,
                    revision = revision.0,
                    %error,
                    "endpoint item cannot be decoded; treating the endpoint as removed"
                );
                Ok(Update::EndpointRemoved(id.into()))
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
            tracing::warn!(
                key,
                revision = revision.0,
                error,
                "item cannot be decoded; change ignored"
            );
            None
        }
    }
}
