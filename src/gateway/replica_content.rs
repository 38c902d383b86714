//! Items of a host's copy of the store, and the updates that follow from their changes.
//!
//! The threads that change the copy and the reactor share the content under a lock. Methods
//! return updates instead of sending them, because a send waits for the reactor.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;

use super::{
    configuration::ConfigurationVersion,
    hosts::{
        HOST_PREFIX,
        HostInfo, //
    },
    known_state::KnownState,
    replica_entry::{
        Entry,
        Merge, //
    },
    store_replica::{
        ApplyOutcome,
        ReplicaPage,
        Update, //
    },
    stored_verdicts::VERDICT_PREFIX,
    stored_versions::VERSIONS_PREFIX, //
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

/// Items of a copy of the store.
#[derive(Debug, Default)]
pub(super) struct Content {
    position: StorePosition,
    entries: BTreeMap<CompactString, Entry>,
    is_synchronised: bool,
    /// Revision from which on the replica contains every deletion.
    history_start: StoreRevision,
    /// When the items that are kept from the previous era are given up.
    settles_at: Option<Instant>,
}

impl Content {
    /// Returns the state of the store that the content contains.
    pub(super) fn known(&self) -> KnownState {
        let entry = self.entries.get(CONFIGURATION_KEY);
        KnownState {
            position: self.position,
            configuration: entry.map_or_else(ConfigurationVersion::default, Entry::version),
        }
    }

    /// Returns the items, by key.
    pub(super) fn items(&self) -> BTreeMap<CompactString, Vec<u8>> {
        let entries = self.entries.iter();
        entries
            .filter_map(|(key, entry)| Some((key.clone(), entry.value.clone()?)))
            .collect()
    }

    /// Returns what a copy that has `known` is missing.
    pub(super) fn changes_for(&self, known: KnownState) -> ReplicaPage {
        let is_same_era = known.position.era == self.position.era;
        let lacks_history = is_same_era && known.position.revision < self.history_start;
        let is_complete = known.position.era < self.position.era || lacks_history;
        let changes = self
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
            revision: self.position.revision,
            era: self.position.era,
            is_complete,
        }
    }

    /// Applies a page at the time `now`; returns the updates in the order of changes.
    pub(super) fn apply(&mut self, page: ReplicaPage, now: Instant) -> (ApplyOutcome, Vec<Update>) {
        let is_older_read = page.is_complete && page.position() < self.position;
        if page.era < self.position.era || is_older_read {
            return (ApplyOutcome::Outdated, Vec::new());
        }
        let mut updates = Vec::new();
        if page.era > self.position.era {
            if !page.is_complete {
                return (ApplyOutcome::NeedsAllItems, Vec::new());
            }
            updates.extend(self.begin_era(&page, now));
        }
        if page.is_complete {
            updates.extend(self.drop_absent(&page));
            // Items may have been written and deleted since the previous position.
            self.history_start = page.revision;
        }
        let position = page.position();
        for change in page.changes {
            updates.extend(self.merge(change, page.is_complete));
        }
        let pruned_up_to = prune_deletions(&mut self.entries);
        self.history_start = self.history_start.max(pruned_up_to);
        self.position = self.position.max(position);
        if !self.is_synchronised {
            self.is_synchronised = true;
            updates.push(Update::Synchronised);
        }
        (ApplyOutcome::Applied, updates)
    }

    fn begin_era(&mut self, page: &ReplicaPage, now: Instant) -> Option<Update> {
        let before = self.position;
        self.position = StorePosition::new(page.era, StoreRevision(0));
        if !self.is_synchronised {
            return None;
        }
        tracing::warn!(
            %before,
            after = %page.position(),
            items = page.changes.len(),
            "store returned from an older copy; known state is kept until it is written again"
        );
        self.settles_at = Some(now + SETTLE_TIME);
        for entry in self.entries.values_mut() {
            entry.begin_era();
        }
        Some(Update::StoreReturned)
    }

    /// Returns the time left until the items kept from the previous era are given up,
    /// if there are any.
    pub(super) fn settles_in(&self, now: Instant) -> Option<Duration> {
        Some(self.settles_at?.saturating_duration_since(now))
    }

    /// Gives up the items kept from the previous era, if it is time; returns the updates
    /// that follow from it.
    pub(super) fn settle(&mut self, now: Instant) -> Vec<Update> {
        if self.settles_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.settles_at = None;
        let revision = self.position.revision;
        let settled = self.entries.iter_mut().filter_map(|(key, entry)| {
            let is_kept = key == CONFIGURATION_KEY;
            let update = match entry.settle(is_kept, revision) {
                Merge::Write => written_update(key, entry),
                Merge::Delete => deletion_update(key),
                Merge::None => None,
            }?;
            tracing::info!(
                %key,
                "item was not written again after the store returned; its state in the store is in effect"
            );
            Some(update)
        });
        settled.collect()
    }

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
