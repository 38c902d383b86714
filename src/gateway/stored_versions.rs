//! Software versions that serve, as items of the store.
//!
//! A host that starts knows only the versions that are announced now. A stream may have begun
//! at another one, whose endpoints left while all hosts were down. One host therefore keeps the
//! versions of each service in an item, as long as streams that they began may be taken up, and
//! with them the routes that the service had.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    reactor::Reactor,
    route_history::RouteKey,
    software_version::SoftwareVersion,
    stored_verdicts::StoredWrite,
    stream_origins::ORIGIN_LIFETIME_MS, //
};

/// Prefix of the keys of the items.
pub const VERSIONS_PREFIX: &str = "cardamombridge/versions/";
/// Interval at which the items are compared with what this host knows.
const COMPARE_INTERVAL_MS: u64 = 250;
/// Time for which a host waits for each host before it in the order of those that write: a
/// call, and the longest pause between two watches.
const WRITER_DELAY_MS: u64 = 3_500;

/// Versions of a service whose streams may be taken up.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "VersionsItem", into = "VersionsItem")]
pub struct ServedVersions {
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Routes of streams that the service had; none in an item of the build before.
    pub routes: Option<BTreeSet<RouteKey>>,
}

/// Form of an item in the store.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum VersionsItem {
    WithRoutes {
        versions: BTreeSet<SoftwareVersion>,
        routes: BTreeSet<RouteKey>,
    },
    /// As the build before writes it.
    VersionsOnly { versions: BTreeSet<SoftwareVersion> },
}

impl From<VersionsItem> for ServedVersions {
    fn from(item: VersionsItem) -> Self {
        let (versions, routes) = match item {
            VersionsItem::WithRoutes { versions, routes } => (versions, Some(routes)),
            VersionsItem::VersionsOnly { versions } => (versions, None),
        };
        Self { versions, routes }
    }
}

impl From<ServedVersions> for VersionsItem {
    fn from(served: ServedVersions) -> Self {
        let versions = served.versions;
        match served.routes {
            Some(routes) => Self::WithRoutes { versions, routes },
            None => Self::VersionsOnly { versions },
        }
    }
}

/// Items of the store, and the writes that this host makes.
#[derive(Debug, Default)]
pub(super) struct VersionItems {
    stored: BTreeMap<CompactString, ServedVersions>,
    /// Since when an item has differed from what this host knows.
    differs_since_ms: BTreeMap<CompactString, u64>,
    next_comparison_ms: u64,
}

impl Reactor {
    /// Applies an item of the store: versions that are not announced here served until now.
    pub(super) fn apply_served_versions(&mut self, service: CompactString, served: ServedVersions) {
        let now_ms = self.now_ms();
        // A configuration may have been replaced before this host read it.
        self.route_history.record_served(&service, &served, now_ms);
        // A host that runs for longer knows by itself what served.
        if now_ms < ORIGIN_LIFETIME_MS {
            for version in &served.versions {
                self.fleet.record_served(&service, version, now_ms);
            }
        }
        self.version_items.stored.insert(service, served);
    }

    /// Records that an item was deleted.
    pub(super) fn forget_served_versions(&mut self, service: &str) {
        self.version_items.stored.remove(service);
    }

    /// Writes the items that differ from what this host knows, if it is this host's turn.
    pub(super) fn store_versions(&mut self, now_ms: u64) {
        let is_ready = self.is_synchronised && self.configuration.is_some();
        if now_ms < self.version_items.next_comparison_ms || !is_ready {
            return;
        }
        self.version_items.next_comparison_ms = now_ms + COMPARE_INTERVAL_MS;
        let mut known = self.fleet.served_versions(now_ms);
        for (service, served) in &mut known {
            served.routes = self.route_history.routes_of(service, now_ms);
        }
        let items = &mut self.version_items;
        known.retain(|service, served| items.stored.get(service) != Some(&*served));
        items
            .differs_since_ms
            .retain(|service, _| known.contains_key(service));
        for (service, served) in known {
            let since_ms = *items
                .differs_since_ms
                .entry(service.clone())
                .or_insert(now_ms);
            let seed = xxh3_64_with_seed(service.as_bytes(), 0);
            let hash_of = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
            let own = hash_of(&self.settings.host.name);
            let earlier = self.hosts.live(now_ms);
            let rank = earlier.filter(|host| hash_of(&host.name) > own).count() as u64;
            if now_ms < since_ms + rank * WRITER_DELAY_MS {
                continue;
            }
            // The next difference is written as late as this one.
            items.differs_since_ms.insert(service.clone(), now_ms);
            if !self
                .verdict_items
                .send(StoredWrite::Versions(service, served))
            {
                tracing::warn!("item of served versions is not written now; trying again");
            }
        }
    }
}
