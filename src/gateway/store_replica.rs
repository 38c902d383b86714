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
//! A new era begins with a page of all items; [`super::replica_entry`] decides how
//! these are merged with what was known before.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::Sender;
use mio::Waker;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    configuration::{
        Configuration,
        ConfigurationVersion, //
    },
    copy_checks::CopyCheck,
    crash_records::Suspect,
    endpoint::Announcement,
    hosts::{
        HOST_PREFIX,
        HostInfo, //
    },
    known_state::KnownState,
    replica_entry::{
        Entry,
        Merge, //
    },
    stored_verdicts::{
        StoredVerdict,
        VERDICT_PREFIX, //
    },
    stored_versions::{
        ServedVersions,
        VERSIONS_PREFIX, //
    }, //
};
use crate::{
    platform::{
        items::{
            CONFIGURATION_KEY,
            ENDPOINT_PREFIX,
            EVACUATION_PREFIX,
            decode_configuration,
            decode_endpoint, //
        },
        store::ItemChange, //
    },
    store_position::{
        StoreEra,
        StorePosition,
        StoreRevision, //
    },
    types::ParseError, //
};

/// Deletions that are kept, so that other hosts can receive them.
const MAX_DELETIONS: usize = 1_024;
/// Time after the begin of an era in which items that its first page contradicts
/// are kept. The writers of live items have written them again by then, and items
/// whose writers are gone have expired.
pub const SETTLE_TIME: Duration = Duration::from_millis(4_000);

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
    /// A suspect that crashes endpoints was written.
    Verdict(Suspect, StoredVerdict),
    /// A suspect is no longer stored.
    VerdictRemoved(Suspect),
    /// Whether the store responds.
    StoreReachable(bool),
    /// Result of a check of the copy, after the changes that it found.
    CopyChecked(CopyCheck),
    /// The host's lease could not be renewed.
    RenewalFailed,
    /// Versions of a service whose streams may be taken up.
    ServedVersions(CompactString, ServedVersions),
    /// The item of a service's versions was deleted.
    ServedVersionsRemoved(CompactString),
    /// The store returned from an older copy of itself.
    StoreReturned,
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

#[derive(Debug, Default)]
struct Content {
    position: StorePosition,
    entries: BTreeMap<CompactString, Entry>,
    is_synchronised: bool,
    /// Revision from which on the replica contains every deletion.
    history_start: StoreRevision,
    /// When the items that are kept from the previous era are given up.
    settles_at: Option<Instant>,
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

    /// Returns the position up to which the replica contains all changes.
    pub fn position(&self) -> StorePosition {
        self.lock().position
    }

    /// Returns the state of the store that the replica contains.
    pub fn known(&self) -> KnownState {
        let content = self.lock();
        let entry = content.entries.get(CONFIGURATION_KEY);
        KnownState {
            position: content.position,
            configuration: entry.map_or_else(ConfigurationVersion::default, Entry::version),
        }
    }

    /// Returns the items of the replica, by key.
    pub fn items(&self) -> BTreeMap<CompactString, Vec<u8>> {
        let content = self.lock();
        let entries = content.entries.iter();
        entries
            .filter_map(|(key, entry)| Some((key.clone(), entry.value.clone()?)))
            .collect()
    }

    /// Returns what another host that has `known` is missing.
    ///
    /// The configuration is compared by version, because a host that started after
    /// the store returned from a copy has only the one of the copy.
    pub fn changes_for(&self, known: KnownState) -> ReplicaPage {
        let content = self.lock();
        let is_same_era = known.position.era == content.position.era;
        let lacks_history = is_same_era && known.position.revision < content.history_start;
        let is_complete = known.position.era < content.position.era || lacks_history;
        let changes = content
            .entries
            .iter()
            .filter(|(key, entry)| {
                let is_missing = match is_complete {
                    true => entry.is_shown_item(),
                    false => is_same_era && entry.revision > known.position.revision,
                };
                is_missing || (*key == CONFIGURATION_KEY && entry.version() > known.configuration)
            })
            .map(|(key, entry)| ItemChange {
                key: key.clone(),
                revision: entry.revision,
                value: entry.shown_value().cloned(),
            })
            .collect();
        ReplicaPage {
            changes,
            revision: content.position.revision,
            era: content.position.era,
            is_complete,
        }
    }

    /// Applies a page of the store or of another host at the time `now`.
    ///
    /// Changes that are not newer than the replica's item are ignored.
    pub fn apply(&self, page: ReplicaPage, now: Instant) -> ApplyOutcome {
        let mut content = self.lock();
        let is_older_read = page.is_complete && page.position() < content.position;
        if page.era < content.position.era || is_older_read {
            return ApplyOutcome::Outdated;
        }
        if page.era > content.position.era {
            if !page.is_complete {
                return ApplyOutcome::NeedsAllItems;
            }
            self.begin_era(&mut content, &page, now);
        }
        // Updates are sent under the lock, so that they arrive in the order of changes.
        if page.is_complete {
            for update in content.drop_absent(&page) {
                self.updates.send(update);
            }
            // Items may have been written and deleted since the previous position.
            content.history_start = page.revision;
        }
        let position = page.position();
        for change in page.changes {
            if let Some(update) = content.merge(change, page.is_complete) {
                self.updates.send(update);
            }
        }
        let pruned_up_to = prune_deletions(&mut content.entries);
        content.history_start = content.history_start.max(pruned_up_to);
        content.position = content.position.max(position);
        if !content.is_synchronised {
            content.is_synchronised = true;
            self.updates.send(Update::Synchronised);
        }
        ApplyOutcome::Applied
    }

    fn begin_era(&self, content: &mut Content, page: &ReplicaPage, now: Instant) {
        if content.is_synchronised {
            tracing::warn!(
                before = %content.position,
                after = %page.position(),
                items = page.changes.len(),
                "store returned from an older copy; known state is kept until it is written again"
            );
            self.updates.send(Update::StoreReturned);
            content.settles_at = Some(now + SETTLE_TIME);
            for entry in content.entries.values_mut() {
                entry.begin_era();
            }
        }
        content.position = StorePosition::new(page.era, StoreRevision(0));
    }

    /// Returns the time left until the items kept from the previous era are given up,
    /// if there are any.
    pub fn settles_in(&self, now: Instant) -> Option<Duration> {
        let settles_at = self.lock().settles_at?;
        Some(settles_at.saturating_duration_since(now))
    }

    /// Gives up the items kept from the previous era, if it is time.
    pub fn settle(&self, now: Instant) {
        let mut content = self.lock();
        if content.settles_at.is_none_or(|at| now < at) {
            return;
        }
        content.settles_at = None;
        let revision = content.position.revision;
        for (key, entry) in &mut content.entries {
            let is_kept = key == CONFIGURATION_KEY;
            let update = match entry.settle(is_kept, revision) {
                Merge::Write => written_update(key, entry),
                Merge::Delete => deletion_update(key),
                Merge::None => None,
            };
            if let Some(update) = update {
                tracing::info!(
                    %key,
                    "item was not written again after the store returned; its state in the store is in effect"
                );
                self.updates.send(update);
            }
        }
    }

    /// Reports to the reactor whether the store responds.
    pub fn report_store_reachable(&self, is_reachable: bool) {
        self.updates.send(Update::StoreReachable(is_reachable));
    }

    /// Reports the result of a check to the reactor.
    pub fn report_check(&self, check: CopyCheck) {
        self.updates.send(Update::CopyChecked(check));
    }
}

impl Content {
    /// Merges one change and returns the update that follows from it.
    fn merge(&mut self, change: ItemChange, is_complete: bool) -> Option<Update> {
        if change.key == CONFIGURATION_KEY {
            return merge_configuration(
                self.entries.entry(change.key.clone()).or_default(),
                change,
            );
        }
        let is_known = self.entries.contains_key(&change.key);
        if !is_known && !is_complete && change.revision <= self.position.revision {
            // A later change, which the replica contains, deleted the item.
            return None;
        }
        let entry = self.entries.entry(change.key.clone()).or_default();
        if entry.revision >= change.revision {
            return None;
        }
        let order = match (&change.value, change.key.strip_prefix(ENDPOINT_PREFIX)) {
            (Some(value), Some(id)) => decode_endpoint(id, value).ok().map(|known| known.order),
            _ => None,
        };
        let is_endpoint = change.key.starts_with(ENDPOINT_PREFIX);
        let merge = match is_complete && entry.knows_newer(&change, is_endpoint, order) {
            true => entry.hold_back(change.revision, change.value),
            false => entry.write(change.revision, change.value, order),
        };
        match merge {
            Merge::Write => written_update(&change.key, entry),
            Merge::Delete => deletion_update(&change.key),
            Merge::None => None,
        }
    }

    /// Records that the items that a page of all items lacks do not exist, and returns
    /// the updates that follow from it.
    fn drop_absent(&mut self, page: &ReplicaPage) -> Vec<Update> {
        let present: BTreeSet<&str> = page.changes.iter().map(|item| item.key.as_str()).collect();
        let entries = self.entries.iter_mut();
        let absent = entries.filter(|(key, _)| {
            !present.contains(key.as_str()) && key.as_str() != CONFIGURATION_KEY
        });
        let updates = absent.filter_map(|(key, entry)| {
            // The reactor keeps an endpoint in use for some time after its removal.
            let is_kept = !key.starts_with(ENDPOINT_PREFIX);
            match entry.mark_absent(page.revision, is_kept) {
                Merge::Delete => deletion_update(key),
                Merge::Write | Merge::None => None,
            }
        });
        updates.collect()
    }
}

/// Merges a change of the configuration, of which the highest version is kept.
fn merge_configuration(entry: &mut Entry, change: ItemChange) -> Option<Update> {
    let value = change.value.as_ref()?;
    let is_other_write = change.revision > entry.revision && change.value != entry.value;
    let update = decode_update(&change.key, value, change.revision);
    let Some(Update::Configuration(configuration)) = &update else {
        return None;
    };
    let is_higher = entry.value.is_none() || configuration.version > entry.version();
    entry.revision = entry.revision.max(change.revision);
    if is_higher {
        entry.set_configuration(change.value, configuration.version);
    }
    update.filter(|_| is_higher || is_other_write)
}

/// Drops the oldest deletions beyond [`MAX_DELETIONS`]; returns the revision from which
/// on there are all.
fn prune_deletions(entries: &mut BTreeMap<CompactString, Entry>) -> StoreRevision {
    let mut deleted: Vec<StoreRevision> = entries
        .values()
        .filter(|entry| entry.value.is_none())
        .map(|entry| entry.revision)
        .collect();
    if deleted.len() <= MAX_DELETIONS {
        return StoreRevision(0);
    }
    deleted.sort_unstable();
    let limit = deleted[deleted.len() - MAX_DELETIONS];
    entries.retain(|_, entry| entry.value.is_some() || entry.revision >= limit);
    limit
}

fn deletion_update(key: &str) -> Option<Update> {
    if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
        return Some(Update::EndpointRemoved(id.into()));
    }
    if let Some(name) = key.strip_prefix(EVACUATION_PREFIX) {
        return Some(Update::Evacuated(name.into(), false));
    }
    if let Some(suspect) = key.strip_prefix(VERDICT_PREFIX) {
        return suspect.parse().ok().map(Update::VerdictRemoved);
    }
    if let Some(service) = key.strip_prefix(VERSIONS_PREFIX) {
        return Some(Update::ServedVersionsRemoved(service.into()));
    }
    let name = key.strip_prefix(HOST_PREFIX)?;
    Some(Update::HostRemoved(name.into()))
}

/// Decodes the item of the host `name`.
fn decode_host(name: &str, value: &[u8]) -> Result<Update, String> {
    let info: HostInfo = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if info.name != name {
        let error = ParseError::new("host name", &info.name, "the name in the key");
        return Err(error.to_string());
    }
    Ok(Update::Host(info))
}

fn decode_verdict(suspect: &str, value: &[u8]) -> Result<Update, String> {
    let suspect = suspect
        .parse()
        .map_err(|error: ParseError| error.to_string())?;
    let verdict = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    Ok(Update::Verdict(suspect, verdict))
}

fn written_update(key: &str, entry: &Entry) -> Option<Update> {
    decode_update(key, entry.value.as_ref()?, entry.revision)
}

fn decode_update(key: &str, value: &[u8], revision: StoreRevision) -> Option<Update> {
    let decoded = if key == CONFIGURATION_KEY {
        decode_configuration(value)
            .map(|configuration| Update::Configuration(Arc::new(configuration)))
            .map_err(|error| error.to_string())
    } else if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
        // An item that cannot be decoded describes no endpoint, and it replaces any
        // earlier item, so the endpoint counts as removed.
        match decode_endpoint(id, value) {
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
    } else if let Some(suspect) = key.strip_prefix(VERDICT_PREFIX) {
        decode_verdict(suspect, value)
    } else if let Some(service) = key.strip_prefix(VERSIONS_PREFIX) {
        serde_json::from_slice(value)
            .map(|served| Update::ServedVersions(service.into(), served))
            .map_err(|error| error.to_string())
    } else if let Some(name) = key.strip_prefix(HOST_PREFIX) {
        decode_host(name, value)
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
