//! The hosts of the gateway, as the store and the hosts themselves show them.
//!
//! Every host writes an item under a lease. Hosts also send each other beacons,
//! so that a host is still known while the store is away, and its end is seen
//! although the store cannot tell.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    endpoint::LoadShare,
    load_updates::{
        EndpointLoadShare,
        LoadUpdate, //
    }, //
};

/// Prefix of the keys of hosts in the store.
pub const HOST_PREFIX: &str = "cardamombridge/hosts/";
/// Silence after which a host that sent beacons is taken as gone while the
/// store cannot tell. Several beacons of the slowest interval fit into it.
const SILENCE_MS: u64 = 3_000;
/// Time after which the prompts that another host told of have been read.
const BACKLOG_LIFETIME_MS: u64 = 600;
/// Time after the start of a host in which it may not know all others yet: one
/// pause between watches and one beacon of the slowest interval.
const VIEW_SETTLES_MS: u64 = 3_000;
/// Most addresses in an answer of the directory.
const MAX_DIRECTORY_ADDRESSES: usize = 64;

/// What a host says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name.
    pub name: CompactString,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// Processing power relative to other hosts.
    pub capacity: u32,
}

/// Load of one service in a region, as one of its hosts knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: CompactString,
    /// Endpoints that may be used.
    pub endpoint_count: u32,
    /// Mean time until an endpoint begins with a new request, in milliseconds.
    pub backlog_ms: u32,
}

/// What a host sends to other hosts several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub host: HostInfo,
    /// Unix time of the sender's start; a later run replaces an earlier one.
    pub started_ms: u64,
    /// Number of the beacon in this run.
    pub sequence: u64,
    /// Revision of the store up to which the sender knows all changes.
    pub revision: u64,
    /// The sender is shutting down.
    pub is_leaving: bool,
    /// Requests in progress, by a hash of the endpoint's id; to its own region.
    pub shares: Vec<EndpointLoadShare>,
    /// Work that waits at the sender, by service; to its own region.
    pub queues: Vec<QueueLoad>,
    /// Loads of the sender's region; to other regions.
    pub services: Vec<ServiceLoad>,
}

/// Work that waits at a host for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The service.
    pub service: CompactString,
    /// Time that an endpoint needs for it.
    pub work_ms: u32,
}

#[derive(Debug, Clone)]
struct Known {
    info: HostInfo,
    is_registered: bool,
    is_leaving: bool,
    run: (u64, u64),
    heard_ms: Option<u64>,
    shares: BTreeMap<u32, LoadShare>,
    queues: Vec<QueueLoad>,
}

impl Known {
    fn new(info: HostInfo) -> Self {
        Self {
            info,
            is_registered: false,
            is_leaving: false,
            run: (0, 0),
            heard_ms: None,
            shares: BTreeMap::new(),
            queues: Vec::new(),
        }
    }
}

#[derive(Debug, Clone)]
struct AwayLoad {
    at_ms: u64,
    load: ServiceLoad,
    sent_since_ms: f64,
}

/// All hosts that this host knows, itself included.
#[derive(Debug)]
pub struct Hosts {
    own: HostInfo,
    is_leaving: bool,
    is_store_reachable: bool,
    known: BTreeMap<CompactString, Known>,
    away: BTreeMap<(CompactString, CompactString), AwayLoad>,
}

/// The hosts of this host's region, as it sees them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RegionView {
    /// Live hosts, this one included.
    pub host_count: usize,
    /// Hosts that share the limits of cold endpoints; empty if this host sees
    /// too few others to take a share.
    pub cold_sharers: Vec<CompactString>,
}

impl Hosts {
    /// Knows only the host itself.
    pub fn new(own: HostInfo) -> Self {
        Self {
            own,
            is_leaving: false,
            is_store_reachable: false,
            known: BTreeMap::new(),
            away: BTreeMap::new(),
        }
    }

    /// This host.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Records that this host is shutting down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records whether the store answers.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Takes over the item of a host in the store.
    pub fn register(&mut self, info: HostInfo) {
        if info.name == self.own.name {
            return;
        }
        let known = self
            .known
            .entry(info.name.clone())
            .or_insert_with(|| Known::new(info.clone()));
        known.info = info;
        known.is_registered = true;
    }

    /// Records that a host's item is gone from the store.
    pub fn unregister(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.is_registered = false;
        }
    }

    /// Takes over a beacon; false if it is older than one seen before.
    pub fn apply_beacon(&mut self, beacon: Beacon, now_ms: u64) -> bool {
        if beacon.host.name == self.own.name {
            return false;
        }
        let run = (beacon.started_ms, beacon.sequence);
        let known = self
            .known
            .entry(beacon.host.name.clone())
            .or_insert_with(|| Known::new(beacon.host.clone()));
        if run <= known.run {
            return false;
        }
        known.run = run;
        known.heard_ms = Some(now_ms);
        known.is_leaving = beacon.is_leaving;
        if beacon.host.region == self.own.region && beacon.services.is_empty() {
            known.queues = beacon.queues;
            known.shares = beacon
                .shares
                .into_iter()
                .map(|told| (told.endpoint, told.share()))
                .collect();
        }
        for load in beacon.services {
            let key = (beacon.host.region.clone(), load.service.clone());
            let fresh = AwayLoad {
                at_ms: now_ms,
                load,
                sent_since_ms: 0.0,
            };
            self.away.insert(key, fresh);
        }
        true
    }

    /// Takes over an update; false if it is older than a packet seen before, or
    /// of a host that has sent no beacon yet.
    pub fn apply_load_update(&mut self, update: &LoadUpdate, now_ms: u64) -> bool {
        let Some(known) = self.known.get_mut(&update.host) else {
            return false;
        };
        let run = (update.started_ms, update.sequence);
        if run <= known.run || update.started_ms != known.run.0 {
            return false;
        }
        known.run = run;
        known.heard_ms = Some(now_ms);
        for told in &update.shares {
            match told.active {
                0 => known.shares.remove(&told.endpoint),
                _ => known.shares.insert(told.endpoint, told.share()),
            };
        }
        true
    }

    /// What all other hosts of the region have at each endpoint, by the hash of
    /// the endpoint's id.
    pub fn peer_load_shares(&self, now_ms: u64) -> HashMap<u32, LoadShare> {
        let mut totals: HashMap<u32, LoadShare> = HashMap::new();
        for known in self.known.values() {
            if !is_heard(known, now_ms) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(known.heard_ms.unwrap_or(0));
            for (endpoint, share) in &known.shares {
                totals
                    .entry(*endpoint)
                    .or_default()
                    .add(faded(*share, age_ms));
            }
        }
        totals
    }

    /// Work that waits for a service at the other hosts of the region.
    pub fn peer_queue_ms(&self, service: &str, now_ms: u64) -> f64 {
        self.known
            .values()
            .filter(|known| is_heard(known, now_ms))
            .flat_map(|known| &known.queues)
            .filter(|queue| queue.service == service)
            .map(|queue| f64::from(queue.work_ms))
            .sum()
    }

    /// Load of a service in another region, with its age.
    pub fn away_load(
        &self,
        region: &str,
        service: &str,
        now_ms: u64,
    ) -> Option<(&ServiceLoad, u64)> {
        let away = self.away.get(&(region.into(), service.into()))?;
        Some((&away.load, now_ms.saturating_sub(away.at_ms)))
    }

    /// Work sent to another region since its load was last heard, as the time
    /// that one endpoint needs for it.
    pub fn away_sent_ms(&self, region: &str, service: &str) -> f64 {
        let away = self.away.get(&(region.into(), service.into()));
        away.map_or(0.0, |away| away.sent_since_ms)
    }

    /// Records a request sent to another region, which needs `work_ms` there.
    pub fn record_away(&mut self, region: &str, service: &str, work_ms: f64) {
        if let Some(away) = self.away.get_mut(&(region.into(), service.into())) {
            away.sent_since_ms += work_ms;
        }
    }

    /// Live hosts other than this one.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &HostInfo> {
        self.known
            .values()
            .filter(move |known| self.is_live(known, now_ms))
            .map(|known| &known.info)
    }

    fn is_live(&self, known: &Known, now_ms: u64) -> bool {
        if known.is_leaving && is_heard(known, now_ms) {
            return false;
        }
        if self.is_store_reachable {
            return known.is_registered || is_heard(known, now_ms);
        }
        match known.heard_ms {
            Some(_) if known.info.region == self.own.region => is_heard(known, now_ms),
            _ => known.is_registered,
        }
    }

    /// The live hosts of this region.
    pub fn region_view(&self, now_ms: u64) -> RegionView {
        let live = self.live(now_ms);
        RegionView {
            host_count: 1 + live.filter(|host| host.region == self.own.region).count(),
            cold_sharers: self.cold_sharers(now_ms),
        }
    }

    /// Hosts that share the limits of cold endpoints with this one, itself
    /// included.
    ///
    /// Each host takes its share from its own view, so hosts that do not hear
    /// each other would take the same share twice. A host therefore takes one
    /// only if it hears half of the hosts that are registered, which at most two
    /// groups can do, and not shortly after its start.
    fn cold_sharers(&self, now_ms: u64) -> Vec<CompactString> {
        let own_region = || {
            let known = self.known.values();
            known.filter(|known| known.info.region == self.own.region)
        };
        let heard: Vec<CompactString> = own_region()
            .filter(|known| is_heard(known, now_ms))
            .map(|known| known.info.name.clone())
            .chain([self.own.name.clone()])
            .collect();
        let possible = own_region()
            .filter(|known| known.is_registered || is_heard(known, now_ms))
            .count()
            + 1;
        if now_ms < VIEW_SETTLES_MS || heard.len() * 2 < possible {
            return Vec::new();
        }
        heard
    }

    /// Number of live hosts, this one included.
    pub fn live_count(&self, now_ms: u64) -> usize {
        1 + self.live(now_ms).count()
    }

    /// Addresses for a caller in a region and data centre, best ones only.
    ///
    /// While the caller's region has no host, another one is named: the one with
    /// most `home_routes`, since a request may be bound to certain regions.
    pub fn directory<F>(
        &self,
        region: &str,
        data_centre: &str,
        home_routes: F,
        now_ms: u64,
    ) -> Vec<SocketAddr>
    where
        F: Fn(&str) -> usize,
    {
        let own = (!self.is_leaving).then_some(&self.own);
        let live: Vec<&HostInfo> = self.live(now_ms).chain(own).collect();
        let same = |keep: &dyn Fn(&HostInfo) -> bool| -> Vec<&HostInfo> {
            live.iter().copied().filter(|host| keep(host)).collect()
        };
        let near = same(&|host| host.data_centre == data_centre);
        let in_region = same(&|host| host.region == region);
        // Too few hosts nearby would carry the load of their lost neighbours.
        let chosen = if !near.is_empty() && near.len() * 4 >= in_region.len() {
            near
        } else if !in_region.is_empty() {
            in_region
        } else {
            let best = live.iter().map(|host| home_routes(&host.region)).max();
            same(&|host| Some(home_routes(&host.region)) == best)
        };
        chosen
            .into_iter()
            .take(MAX_DIRECTORY_ADDRESSES)
            .map(|host| host.caller_address)
            .collect()
    }
}

/// A share as it probably is some time after it was told: prompts are read in
/// the meantime.
fn faded(share: LoadShare, age_ms: u64) -> LoadShare {
    let left_ms = BACKLOG_LIFETIME_MS.saturating_sub(age_ms);
    LoadShare {
        backlog_tokens: share.backlog_tokens * left_ms / BACKLOG_LIFETIME_MS,
        ..share
    }
}

fn is_heard(known: &Known, now_ms: u64) -> bool {
    known
        .heard_ms
        .is_some_and(|heard_ms| now_ms < heard_ms + SILENCE_MS)
}
