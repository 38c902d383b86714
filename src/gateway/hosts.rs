//! Membership of the gateway's hosts, from the store and from beacons.
//!
//! Every host writes an item to the store under a lease. Hosts also send each
//! other beacons, so that a host stays known while the store is unreachable, and
//! the loss of a host is detected although the store cannot report it.

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
    configuration::ConfigurationVersion,
    endpoint::{
        EndpointHash,
        LoadShare, //
    },
    known_state::KnownState,
    load_updates::{
        EndpointLoadShare,
        LeavingEndpoint,
        LoadUpdate, //
    },
    service_room::{
        RegionRoom,
        ServiceRoom, //
    },
    stream_origins::StreamOrigin, //
};
use crate::store_position::{
    StoreEra,
    StorePosition,
    StoreRevision, //
};

/// Prefix of the keys of hosts in the store.
pub const HOST_PREFIX: &str = "cardamombridge/hosts/";
/// Time without packets after which a host that sent beacons counts as lost
/// while the store is unreachable. Several beacons of the longest interval fit
/// into it.
const SILENCE_LIMIT_MS: u64 = 3_000;
/// Time without packets after which a host may no longer answer questions; one beacon of the
/// longest interval fits into it.
const PRESENCE_LIMIT_MS: u64 = 1_000;
/// Time after the last packet of a host that is not registered in which it may be at work.
const ABSENCE_LIMIT_MS: u64 = 60_000;
/// Time after which the prompts that another host reported have been prefilled.
const BACKLOG_LIFETIME_MS: u64 = 600;
/// Time after the start of a host in which it may not know all others yet: one
/// pause between watches and one beacon of the longest interval.
const VIEW_SETTLE_MS: u64 = 3_000;
/// Age beyond which another region's load is ignored; several beacon intervals.
const MAX_REMOTE_LOAD_AGE_MS: u64 = 2_500;
/// Time for which a host that said that it reaches no endpoint gets no requests of others.
const CUT_OFF_LIFETIME_MS: u64 = 3_000;
/// Time after the stop signal of a host in which callers are still sent to it if their region
/// has no other: it accepts their requests for another second.
const LAST_CALLERS_MS: u64 = 1_700;
/// Most addresses in a response of the directory.
const MAX_DIRECTORY_ADDRESSES: usize = 64;

/// Identity, place and addresses of a host, as it registers them.
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

/// Load of one service in a region, from the view of one of the region's hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: CompactString,
    /// Endpoints that may be used.
    pub endpoint_count: u32,
    /// Mean time until an endpoint begins with a new request, in milliseconds.
    pub backlog_ms: u32,
}

/// State that a host sends to other hosts periodically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub host: HostInfo,
    /// Unix time of the sender's start; a later instance replaces an earlier one.
    pub started_ms: u64,
    /// Sequence number of the packet in this instance of the sender.
    pub sequence: u64,
    /// Store revision up to which the sender knows all changes.
    pub revision: StoreRevision,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Load that the sender places at endpoints; sent to its own region only.
    pub shares: Vec<EndpointLoadShare>,
    /// Work that waits at the sender, by service; sent to its own region only.
    pub queues: Vec<QueueLoad>,
    /// Loads of the sender's region; sent to other regions only.
    pub services: Vec<ServiceLoad>,
    /// Era of the revision.
    pub era: StoreEra,
    /// Highest version of the configuration that the sender has seen.
    pub configuration: ConfigurationVersion,
    /// Endpoints that stated that they are leaving; sent to the sender's region only.
    pub leaving: Vec<LeavingEndpoint>,
    /// Streams that the sender began; sent to other regions only.
    pub origins: Vec<StreamOrigin>,
    /// Whether the sender reaches no endpoint.
    pub is_cut_off: bool,
}

impl Beacon {
    /// Returns the state of the store that the sender knows.
    pub fn known(&self) -> KnownState {
        KnownState {
            position: StorePosition::new(self.era, self.revision),
            configuration: self.configuration,
        }
    }
}

/// Work that waits at a host for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The service.
    pub service: CompactString,
    /// Time that one endpoint needs for it.
    pub work_ms: u32,
}

/// Latest known state of another host.
#[derive(Debug, Clone)]
struct PeerState {
    info: HostInfo,
    is_registered: bool,
    /// Since when this host knows that it is leaving.
    leaving_since_ms: Option<u64>,
    /// Start time and sequence number of the newest packet.
    last_packet: (u64, u64),
    last_seen_ms: Option<u64>,
    /// Time until which it counts as one that reaches no endpoint.
    cut_off_until_ms: u64,
    shares: BTreeMap<EndpointHash, LoadShare>,
    queues: Vec<QueueLoad>,
}

impl PeerState {
    fn new(info: HostInfo) -> Self {
        Self {
            info,
            is_registered: false,
            leaving_since_ms: None,
            last_packet: (0, 0),
            last_seen_ms: None,
            cut_off_until_ms: 0,
            shares: BTreeMap::new(),
            queues: Vec::new(),
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }
}

/// Latest load of a service in another region.
#[derive(Debug, Clone)]
struct RemoteLoad {
    received_ms: u64,
    load: ServiceLoad,
    /// Work that this host forwarded since the load was received.
    forwarded_work_ms: f64,
}

/// Latest room for the streams of a service in another region.
#[derive(Debug, Clone)]
struct RemoteRoom {
    received_ms: u64,
    room: ServiceRoom,
    /// Memory of the requests that this host forwarded since the room was received, in tokens.
    forwarded_tokens: u64,
}

/// All hosts that this host knows, itself included.
#[derive(Debug)]
pub struct Hosts {
    own: HostInfo,
    leaving_since_ms: Option<u64>,
    is_store_reachable: bool,
    peers: BTreeMap<CompactString, PeerState>,
    /// By region and service.
    remote_loads: BTreeMap<(CompactString, CompactString), RemoteLoad>,
    /// By region and service.
    remote_rooms: BTreeMap<(CompactString, CompactString), RemoteRoom>,
}

/// The hosts of this host's region, from its own view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RegionView {
    /// Live hosts, this one included.
    pub host_count: usize,
}

impl Hosts {
    /// Returns a membership with only this host.
    pub fn new(own: HostInfo) -> Self {
        Self {
            own,
            leaving_since_ms: None,
            is_store_reachable: false,
            peers: BTreeMap::new(),
            remote_loads: BTreeMap::new(),
            remote_rooms: BTreeMap::new(),
        }
    }

    /// Returns this host.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Records that this host is shutting down.
    pub fn set_leaving(&mut self, now_ms: u64) {
        self.leaving_since_ms = Some(now_ms);
    }

    /// Records whether the store responds.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Applies the item that a host has in the store.
    pub fn register(&mut self, info: HostInfo) {
        if info.name == self.own.name {
            return;
        }
        let peer = self
            .peers
            .entry(info.name.clone())
            .or_insert_with(|| PeerState::new(info.clone()));
        peer.info = info;
        peer.is_registered = true;
    }

    /// Records that a host's item was removed from the store.
    pub fn unregister(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_registered = false;
        }
    }

    /// Applies a beacon; returns false if it is not newer than the last packet of
    /// its host.
    pub fn apply_beacon(&mut self, beacon: Beacon, now_ms: u64) -> bool {
        if beacon.host.name == self.own.name {
            return false;
        }
        let packet = (beacon.started_ms, beacon.sequence);
        let peer = self
            .peers
            .entry(beacon.host.name.clone())
            .or_insert_with(|| PeerState::new(beacon.host.clone()));
        if packet <= peer.last_packet {
            return false;
        }
        peer.last_packet = packet;
        peer.last_seen_ms = Some(now_ms);
        peer.cut_off_until_ms = match beacon.is_cut_off {
            true => now_ms + CUT_OFF_LIFETIME_MS,
            false => 0,
        };
        peer.leaving_since_ms = beacon
            .is_leaving
            .then(|| peer.leaving_since_ms.unwrap_or(now_ms));
        if beacon.host.region == self.own.region && beacon.services.is_empty() {
            peer.queues = beacon.queues;
            peer.shares = beacon
                .shares
                .into_iter()
                .map(|reported| (reported.endpoint, reported.share()))
                .collect();
        }
        for load in beacon.services {
            let key = (beacon.host.region.clone(), load.service.clone());
            let remote_load = RemoteLoad {
                received_ms: now_ms,
                load,
                forwarded_work_ms: 0.0,
            };
            self.remote_loads.insert(key, remote_load);
        }
        true
    }

    /// Applies an update; returns false if it is not newer than the last packet of
    /// its host, or if no beacon of this instance of the host arrived before.
    pub fn apply_load_update(&mut self, update: &LoadUpdate, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&update.host) else {
            return false;
        };
        let packet = (update.started_ms, update.sequence);
        if packet <= peer.last_packet || update.started_ms != peer.last_packet.0 {
            return false;
        }
        peer.last_packet = packet;
        peer.last_seen_ms = Some(now_ms);
        for reported in &update.shares {
            match reported.active {
                0 => peer.shares.remove(&reported.endpoint),
                _ => peer.shares.insert(reported.endpoint, reported.share()),
            };
        }
        true
    }

    /// Returns the load that all other hosts of the region place at each endpoint,
    /// by the hash of the endpoint's id.
    pub fn peer_load_shares(&self, now_ms: u64) -> HashMap<EndpointHash, LoadShare> {
        let mut totals: HashMap<EndpointHash, LoadShare> = HashMap::new();
        for peer in self.peers.values() {
            if !is_recently_seen(peer, now_ms) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(peer.last_seen_ms.unwrap_or(0));
            for (endpoint, share) in &peer.shares {
                totals
                    .entry(*endpoint)
                    .or_default()
                    .add(decayed(*share, age_ms));
            }
        }
        totals
    }

    /// Returns the work that waits for a service at the other hosts of the region,
    /// in milliseconds of one endpoint.
    pub fn peer_queue_ms(&self, service: &str, now_ms: u64) -> f64 {
        self.peers
            .values()
            .filter(|peer| is_recently_seen(peer, now_ms))
            .flat_map(|peer| &peer.queues)
            .filter(|queue| queue.service == service)
            .map(|queue| f64::from(queue.work_ms))
            .sum()
    }

    /// Predicts the wait for a service in another region; none if its load is unknown
    /// or too old, or if it has no endpoint there.
    ///
    /// `sender_count` hosts of this region are assumed to forward as much as this one.
    /// What they forwarded since the load was reported is worked off by the endpoints
    /// there in the meantime; the reported backlog itself is assumed to stay, because
    /// the other region has callers of its own.
    pub fn remote_wait_ms(
        &self,
        region: &str,
        service: &str,
        sender_count: usize,
        now_ms: u64,
    ) -> Option<f64> {
        let remote = self.remote_loads.get(&(region.into(), service.into()))?;
        let age_ms = now_ms.saturating_sub(remote.received_ms);
        if age_ms > MAX_REMOTE_LOAD_AGE_MS || remote.load.endpoint_count == 0 {
            return None;
        }
        let all_sent_ms = remote.forwarded_work_ms * sender_count as f64;
        let sent_ms = all_sent_ms / f64::from(remote.load.endpoint_count) - age_ms as f64;
        Some(f64::from(remote.load.backlog_ms) + sent_ms.max(0.0))
    }

    /// Applies what another region states about its room for streams.
    pub fn apply_region_room(&mut self, stated: RegionRoom, now_ms: u64) {
        if stated.region == self.own.region {
            return;
        }
        for room in stated.services {
            let key = (stated.region.clone(), room.service.clone());
            let remote_room = RemoteRoom {
                received_ms: now_ms,
                room,
                forwarded_tokens: 0,
            };
            self.remote_rooms.insert(key, remote_room);
        }
    }

    /// Returns the room for the streams of a service in another region, without the memory of
    /// the requests that were forwarded since it was stated; none if it is unknown or too old.
    ///
    /// `sender_count` hosts of this region are assumed to forward as much as this one.
    pub fn remote_room(
        &self,
        region: &str,
        service: &str,
        sender_count: usize,
        now_ms: u64,
    ) -> Option<ServiceRoom> {
        let remote = self.remote_rooms.get(&(region.into(), service.into()))?;
        if now_ms.saturating_sub(remote.received_ms) > MAX_REMOTE_LOAD_AGE_MS {
            return None;
        }
        let forwarded_tokens = remote.forwarded_tokens * sender_count as u64;
        Some(ServiceRoom {
            free_tokens: remote.room.free_tokens.saturating_sub(forwarded_tokens),
            ..remote.room.clone()
        })
    }

    /// Records the memory that a request forwarded to another region needs there.
    pub fn record_remote_memory(&mut self, region: &str, service: &str, tokens: u64) {
        if let Some(remote) = self.remote_rooms.get_mut(&(region.into(), service.into())) {
            remote.forwarded_tokens = remote.forwarded_tokens.saturating_add(tokens);
        }
    }

    /// Records a request forwarded to another region, which needs `work_ms` there.
    pub fn record_remote_work(&mut self, region: &str, service: &str, work_ms: f64) {
        if let Some(remote) = self.remote_loads.get_mut(&(region.into(), service.into())) {
            remote.forwarded_work_ms += work_ms;
        }
    }

    /// Returns the live hosts other than this one.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &HostInfo> {
        self.peers
            .values()
            .filter(move |peer| self.is_live(peer, now_ms))
            .map(|peer| &peer.info)
    }

    /// Returns the live hosts of a region other than this one.
    pub fn live_in<'a>(
        &'a self,
        region: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a HostInfo> + 'a {
        self.peers
            .values()
            .filter(move |peer| peer.info.region == region && self.is_live(peer, now_ms))
            .map(|peer| &peer.info)
    }

    /// Returns the other hosts of this region that run: the live ones, and those that are
    /// leaving and still answer queries for the directory.
    pub fn running_in_region(&self, now_ms: u64) -> impl Iterator<Item = &HostInfo> {
        self.region_peers()
            .filter(move |peer| self.is_live(peer, now_ms) || is_recently_seen(peer, now_ms))
            .map(|peer| &peer.info)
    }

    fn is_live(&self, peer: &PeerState, now_ms: u64) -> bool {
        if peer.is_leaving() && is_recently_seen(peer, now_ms) {
            return false;
        }
        if self.is_store_reachable {
            return peer.is_registered || is_recently_seen(peer, now_ms);
        }
        match peer.last_seen_ms {
            Some(_) if peer.info.region == self.own.region => is_recently_seen(peer, now_ms),
            _ => peer.is_registered,
        }
    }

    /// Returns the live hosts of this region.
    pub fn region_view(&self, now_ms: u64) -> RegionView {
        RegionView {
            host_count: 1 + self.live_in(&self.own.region, now_ms).count(),
        }
    }

    /// Returns whether this host runs for long enough to know the others of its region, and
    /// hears at least half of them, which at most two parts of a region that are cut off from
    /// each other can do.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= VIEW_SETTLE_MS && self.heard_share(now_ms) >= 0.5
    }

    fn region_peers(&self) -> impl Iterator<Item = &PeerState> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.info.region == self.own.region)
    }

    /// Returns the share of the region's hosts, registered or heard, that this host hears,
    /// itself included.
    pub fn heard_share(&self, now_ms: u64) -> f64 {
        let count_if = |is_counted: &dyn Fn(&&PeerState) -> bool| {
            1 + self.region_peers().filter(|peer| is_counted(peer)).count()
        };
        let heard = count_if(&|peer| is_recently_seen(peer, now_ms));
        let known = count_if(&|peer| peer.is_registered || is_recently_seen(peer, now_ms));
        heard as f64 / known as f64
    }

    /// Records that a host reaches no endpoint.
    pub fn record_cut_off(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.cut_off_until_ms = now_ms + CUT_OFF_LIFETIME_MS;
        }
    }

    /// Returns whether another host reaches no endpoint, as far as this host knows.
    pub fn is_cut_off(&self, name: &str, now_ms: u64) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| now_ms < peer.cut_off_until_ms)
    }

    /// Returns the other hosts of the region that this host hears and that reach endpoints.
    pub fn reaching_in_region(&self, now_ms: u64) -> impl Iterator<Item = &HostInfo> {
        let heard = self.region_peers();
        heard
            .filter(move |peer| is_recently_seen(peer, now_ms) && now_ms >= peer.cut_off_until_ms)
            .map(|peer| &peer.info)
    }

    /// Returns the hosts of the region that this host hears and that stay, itself included.
    pub fn heard_in_region(&self, now_ms: u64) -> Vec<HostInfo> {
        let heard = self.region_peers();
        let heard = heard.filter(|peer| is_recently_seen(peer, now_ms) && !peer.is_leaving());
        let own = self.leaving_since_ms.is_none().then_some(&self.own);
        heard.map(|peer| &peer.info).chain(own).cloned().collect()
    }

    /// Returns the number of other hosts of the region that stay, sent a packet a moment ago
    /// and match `is_counted` by their names.
    pub fn count_present<F>(&self, is_counted: F, now_ms: u64) -> usize
    where
        F: Fn(&str) -> bool,
    {
        let is_present = |peer: &&PeerState| {
            let seen_ms = peer.last_seen_ms;
            !peer.is_leaving() && seen_ms.is_some_and(|at_ms| now_ms < at_ms + PRESENCE_LIMIT_MS)
        };
        let present = self.region_peers().filter(is_present);
        present.filter(|peer| is_counted(&peer.info.name)).count()
    }

    /// Returns the address at which another host receives packets.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.info.peer_address)
    }

    /// Returns the number of hosts, this one included, that may be at work: those that are
    /// registered, and others heard of within [`ABSENCE_LIMIT_MS`], which may be cut off.
    pub fn possible_count(&self, now_ms: u64) -> usize {
        let peers = self.peers.values();
        let possible = peers.filter(|peer| {
            let last_seen_ms = peer.last_seen_ms;
            peer.is_registered
                || last_seen_ms.is_some_and(|at_ms| now_ms < at_ms + ABSENCE_LIMIT_MS)
        });
        1 + possible.count()
    }

    /// Returns the hosts of a region that are leaving but still accept requests for a while.
    fn accepting_leavers(&self, region: &str, now_ms: u64) -> Vec<&HostInfo> {
        let peers = self.peers.values();
        let peers = peers.map(|peer| (&peer.info, peer.leaving_since_ms));
        let own = (&self.own, self.leaving_since_ms);
        peers
            .chain([own])
            .filter(|(info, since_ms)| {
                info.region == region && is_accepting_leaver(*since_ms, now_ms)
            })
            .map(|(info, _)| info)
            .collect()
    }

    /// Returns the addresses of the hosts that suit a caller in a region and data
    /// centre best.
    ///
    /// If the caller's region has no live host, they are hosts of the regions with
    /// the most `home_routes`, because a route may be restricted to some regions. If these
    /// have fewer than the caller's region, hosts of that one which began to leave a moment
    /// ago go before them.
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
        let own = self.leaving_since_ms.is_none().then_some(&self.own);
        let live: Vec<&HostInfo> = self.live(now_ms).chain(own).collect();
        let select = |keep: &dyn Fn(&HostInfo) -> bool| -> Vec<&HostInfo> {
            live.iter().copied().filter(|host| keep(host)).collect()
        };
        let near = select(&|host| host.data_centre == data_centre);
        let in_region = select(&|host| host.region == region);
        // If only a few hosts of the data centre are left, they would get the
        // load of all the lost ones.
        let chosen = if !near.is_empty() && near.len() * 4 >= in_region.len() {
            near
        } else if !in_region.is_empty() {
            in_region
        } else {
            let best = live.iter().map(|host| home_routes(&host.region)).max();
            let accepting = match best < Some(home_routes(region)) {
                true => self.accepting_leavers(region, now_ms),
                false => Vec::new(),
            };
            match accepting.is_empty() {
                true => select(&|host| Some(home_routes(&host.region)) == best),
                false => accepting,
            }
        };
        chosen
            .into_iter()
            .take(MAX_DIRECTORY_ADDRESSES)
            .map(|host| host.caller_address)
            .collect()
    }
}

fn is_accepting_leaver(leaving_since_ms: Option<u64>, now_ms: u64) -> bool {
    leaving_since_ms.is_some_and(|since_ms| now_ms < since_ms + LAST_CALLERS_MS)
}

/// Estimates a share at `age_ms` after it was reported: its prompts are prefilled
/// in the meantime.
fn decayed(share: LoadShare, age_ms: u64) -> LoadShare {
    let left_ms = BACKLOG_LIFETIME_MS.saturating_sub(age_ms);
    LoadShare {
        backlog_tokens: share.backlog_tokens * left_ms / BACKLOG_LIFETIME_MS,
        ..share
    }
}

fn is_recently_seen(peer: &PeerState, now_ms: u64) -> bool {
    peer.last_seen_ms
        .is_some_and(|last_seen_ms| now_ms < last_seen_ms + SILENCE_LIMIT_MS)
}
