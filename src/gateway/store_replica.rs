//! What a host believes about configuration, endpoints and hosts.
//!
//! The belief is a copy of the store's items with their revisions. It changes
//! through [`StoreReplica::apply`] alone, whether a change comes from the store or
//! from another host, and an item never goes back to an earlier revision. Each
//! change is decoded once and sent to the reactor.
//!
//! The revision of a belief is one up to which it holds every change: other
//! hosts ask for what came after their own, so a change that was left out below
//! it would never reach them.

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

/// Deleted items that are remembered, so that other hosts learn of them.
const MAX_DELETED: usize = 1_024;

/// A change of what the host believes.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// A configuration was written.
    Configuration(Arc<Configuration>),
    /// An endpoint announces itself.
    Endpoint(CompactString, Announcement),
    /// An endpoint is no longer announced.
    EndpointRemoved(CompactString),
    /// A data centre is evacuated, or no longer.
    Evacuated(CompactString, bool),
    /// A host registered.
    Host(HostInfo),
    /// A host's item is gone.
    HostRemoved(CompactString),
    /// The store answers, or no longer.
    StoreReachable(bool),
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

#[derive(Debug, Default)]
struct Content {
    revision: StoreRevision,
    entries: BTreeMap<CompactString, (StoreRevision, Option<Vec<u8>>)>,
    is_synchronised: bool,
}

/// The belief of a host, shared by the threads that change it.
#[derive(Clone)]
pub struct StoreReplica {
    content: Arc<Mutex<Content>>,
    updates: UpdateSender,
}

impl StoreReplica {
    /// Knows nothing; sends changes through `updates`.
    pub fn new(updates: UpdateSender) -> Self {
        Self {
            content: Arc::default(),
            updates,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Revision up to which all changes are known.
    pub fn revision(&self) -> StoreRevision {
        self.lock().revision
    }

    /// Items changed after `revision`, for another host.
    pub fn changes_after(&self, revision: StoreRevision) -> Page {
        let content = self.lock();
        let changes = content
            .entries
            .iter()
            .filter(|(_, (changed, _))| *changed > revision)
            .map(|(key, (changed, value))| ItemChange {
                key: key.clone(),
                revision: *changed,
                value: value.clone(),
            })
            .collect();
        Page {
            changes,
            revision: content.revision,
        }
    }

    /// Keys that exist and are not among `present`.
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

    /// Hosts that are registered.
    pub fn hosts(&self) -> Vec<HostInfo> {
        let content = self.lock();
        content
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(HOST_PREFIX))
            .filter_map(|(_, (_, value))| serde_json::from_slice(value.as_ref()?).ok())
            .collect()
    }

    /// Takes over changes; those older than what is known are ignored.
    pub fn apply(&self, changes: Vec<ItemChange>, revision: StoreRevision) {
        let mut content = self.lock();
        for change in changes {
            let known = content.entries.get(&change.key);
            if known.is_some_and(|(changed, _)| *changed >= change.revision) {
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
                // The lock is held, so that updates arrive in the order of changes.
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

    /// Tells the reactor whether the store answers.
    pub fn report_store_reachable(&self, is_reachable: bool) {
        self.updates.send(Update::StoreReachable(is_reachable));
    }
}

/// Drops the oldest deletions beyond the limit.
fn prune_deletions(entries: &mut BTreeMap<CompactString, (StoreRevision, Option<Vec<u8>>)>) {
    let mut deleted: Vec<StoreRevision> = entries
        .values()
        .filter(|(_, value)| value.is_none())
        .map(|(changed, _)| *changed)
        .collect();
    if deleted.len() <= MAX_DELETED {
        return;
    }
    deleted.sort_unstable();
    let limit = deleted[deleted.len() - MAX_DELETED];
    entries.retain(|_, (changed, value)| value.is_some() || *changed >= limit);
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
        // An unusable entry names no endpoint; an earlier one of it is void.
        match decode_endpoint(value) {
            Ok(announcement) => Ok(Update::Endpoint(id.into(), announcement)),
            Err(error) => {
                tracing::warn!(key, revision = revision.0, %error, "item is unusable");
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
            tracing::warn!(key, revision = revision.0, error, "item is unusable");
            None
        }
    }
}
