//! The newest record of each host, endpoint and region, as received by gossip.
//!
//! A record is replaced only by a newer one of the same subject. Heartbeats are
//! ordered by their sequence, which is the sender's clock and therefore also orders
//! the instances of one host. Reports and summaries are ordered by their time.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    fmt::Write as _,
    net::SocketAddr, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::wire::{
    CompactHeartbeat,
    CompactReport,
    CompactSummary,
    ShortId, //
};
use crate::{
    decision::view::{
        EndpointReport,
        Heartbeat,
        RegionSummary, //
    },
    types::{
        EndpointId,
        HostId,
        Incarnation,
        Millis,
        RegionId,
        Revision, //
    }, //
};

/// Time without a new heartbeat after which a host no longer counts as live.
pub const HOST_LIVENESS_TIMEOUT_MS: Millis = Millis(10_000);
/// How long a silent host is kept, so that late datagrams do not make it live again.
const HOST_RETENTION_MS: Millis = Millis(120_000);
/// How long an endpoint without new reports is kept.
const ENDPOINT_RETENTION_MS: Millis = Millis(60_000);
/// How long the summary of an unreachable region is kept; it holds the addresses of
/// the region's hosts.
const SUMMARY_RETENTION_MS: Millis = Millis(3_600_000);
/// Minimum time between events of one host while only compact heartbeats without
/// a new revision arrive.
const MIN_HEARTBEAT_EVENT_INTERVAL_MS: Millis = Millis(200);
/// How many times each host sends a changed record in full.
const CHANGED_RECORD_SENDS: u8 = 4;
/// How many times each host sends the full record of a leaving host or endpoint.
const LEAVING_RECORD_SENDS: u8 = 8;

/// A change of the store that others need to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipEvent {
    /// A host has a newer heartbeat.
    Heartbeat(Heartbeat),
    /// An endpoint has a newer report.
    Report(EndpointReport),
    /// A region has a newer summary.
    Summary(RegionSummary),
    /// A host has a higher revision in force than this host.
    HigherRevision(RevisionSource),
}

/// Where a higher revision can be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionSource {
    /// A host that has the revision in force.
    pub host: HostId,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
    /// The host's revision, or the lowest one of its region.
    pub revision: Revision,
}

/// A host, and how often and when its record was sent.
#[derive(Debug, Clone)]
pub struct HostRecord {
    /// Newest full heartbeat.
    pub heartbeat: Heartbeat,
    /// Short identifier of this instance.
    pub id: ShortId,
    /// Newest heartbeat sequence, from full or compact heartbeats.
    pub newest_sequence: u64,
    /// When `newest_sequence` was received.
    pub last_received_ms: Millis,
    /// How many times a compact heartbeat with `newest_sequence` was sent.
    pub compact_sends: u32,
    /// When an event of the host was last emitted.
    last_event_ms: Millis,
    last_event_sequence: u64,
    /// How many more times the full record is sent with priority.
    pub full_sends_left: u8,
    /// When the full record was last sent.
    pub full_last_sent_ms: Millis,
}

impl HostRecord {
    fn new(heartbeat: Heartbeat, now_ms: Millis) -> Self {
        Self {
            id: host_short_id(&heartbeat.host, heartbeat.incarnation),
            newest_sequence: heartbeat.sequence,
            last_received_ms: now_ms,
            compact_sends: 0,
            last_event_ms: now_ms,
            last_event_sequence: heartbeat.sequence,
            full_sends_left: full_sends_for_heartbeat(&heartbeat),
            full_last_sent_ms: Millis(0),
            heartbeat,
        }
    }

    /// Whether a heartbeat was received within [`HOST_LIVENESS_TIMEOUT_MS`].
    pub fn is_live(&self, now_ms: Millis) -> bool {
        now_ms - self.last_received_ms < HOST_LIVENESS_TIMEOUT_MS
    }

    /// Returns the heartbeat as an event, with a sequence above that of earlier
    /// events.
    fn next_event(&mut self, now_ms: Millis) -> GossipEvent {
        self.last_event_ms = now_ms;
        self.last_event_sequence = self.newest_sequence.max(self.last_event_sequence + 1);
        let mut heartbeat = self.heartbeat.clone();
        heartbeat.sequence = self.last_event_sequence;
        GossipEvent::Heartbeat(heartbeat)
    }
}

/// An endpoint, and how often and when its record was sent.
#[derive(Debug, Clone)]
pub struct EndpointRecord {
    /// Newest report.
    pub report: EndpointReport,
    /// Short identifier of this instance.
    pub id: ShortId,
    /// When the newest report was received or measured.
    pub last_received_ms: Millis,
    /// How many more times the full record is sent with priority.
    pub full_sends_left: u8,
    /// When the full record was last sent.
    pub full_last_sent_ms: Millis,
    /// How many times the newest load was sent as a compact report.
    pub compact_sends: u32,
}

/// A region summary, and how often and when it was sent.
#[derive(Debug, Clone)]
pub struct SummaryRecord {
    /// Newest summary.
    pub summary: RegionSummary,
    /// Short identifier of the region's targets, slots and hosts.
    pub id: ShortId,
    /// When the newest summary was received or made.
    pub last_received_ms: Millis,
    /// How many more times the full record is sent with priority.
    pub full_sends_left: u8,
    /// When the full record was last sent within the region.
    pub full_last_sent_ms: Millis,
    /// How many times the newest state was sent as a compact summary.
    pub compact_sends: u32,
}

/// Host, endpoint or region that a short identifier stands for.
#[derive(Debug, Clone)]
enum IdOwner {
    Host(HostId),
    Endpoint(EndpointId),
    Region(RegionId),
}

/// Newest records by subject.
#[derive(Debug, Default)]
pub struct Store {
    /// Hosts of all regions whose heartbeats were received.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// Endpoints of this region.
    pub endpoints: BTreeMap<EndpointId, EndpointRecord>,
    /// Regions, including this one.
    pub summaries: BTreeMap<RegionId, SummaryRecord>,
    id_owners: HashMap<ShortId, IdOwner>,
}

/// Whether a short identifier could be resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdLookup {
    /// The record is known.
    Found,
    /// The full record is missing.
    NotFound,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a full heartbeat; returns true if the host is new or more than its
    /// sequence, revision and open requests changed.
    pub fn apply_heartbeat(
        &mut self,
        now_ms: Millis,
        heartbeat: Heartbeat,
        events: &mut Vec<GossipEvent>,
    ) -> bool {
        let Some(known) = self.hosts.get_mut(&heartbeat.host) else {
            self.insert_host(HostRecord::new(heartbeat, now_ms), now_ms, events);
            return true;
        };
        if known.heartbeat.incarnation != heartbeat.incarnation {
            if heartbeat.sequence <= known.newest_sequence {
                return false;
            }
            let old_id = known.id;
            let mut record = HostRecord::new(heartbeat, now_ms);
            record.last_event_sequence = known.last_event_sequence;
            self.id_owners.remove(&old_id);
            self.insert_host(record, now_ms, events);
            return true;
        }
        if heartbeat.sequence <= known.heartbeat.sequence {
            return false;
        }
        let is_newer = heartbeat.sequence > known.newest_sequence;
        if is_newer {
            known.newest_sequence = heartbeat.sequence;
            known.compact_sends = 0;
            known.last_received_ms = now_ms;
        }
        let is_changed = !is_same_description(&known.heartbeat, &heartbeat);
        if is_changed {
            known.full_sends_left = full_sends_for_heartbeat(&heartbeat);
        }
        let revision = heartbeat.revision.max(known.heartbeat.revision);
        known.heartbeat = heartbeat;
        known.heartbeat.revision = revision;
        if is_newer || is_changed {
            events.push(known.next_event(now_ms));
        }
        is_changed
    }

    fn insert_host(
        &mut self,
        mut record: HostRecord,
        now_ms: Millis,
        events: &mut Vec<GossipEvent>,
    ) {
        events.push(record.next_event(now_ms));
        let host = record.heartbeat.host.clone();
        self.id_owners
            .insert(record.id, IdOwner::Host(host.clone()));
        self.hosts.insert(host, record);
    }

    /// Applies a compact heartbeat unless a newer one is known.
    pub fn apply_compact_heartbeat(
        &mut self,
        now_ms: Millis,
        compact: &CompactHeartbeat,
        sequence: u64,
        revision: Revision,
        events: &mut Vec<GossipEvent>,
    ) -> IdLookup {
        let Some(IdOwner::Host(host)) = self.id_owners.get(&compact.id) else {
            return IdLookup::NotFound;
        };
        let Some(known) = self.hosts.get_mut(host) else {
            return IdLookup::NotFound;
        };
        if sequence <= known.newest_sequence {
            return IdLookup::Found;
        }
        let is_changed = revision > known.heartbeat.revision;
        known.newest_sequence = sequence;
        known.compact_sends = 0;
        known.last_received_ms = now_ms;
        known.heartbeat.revision = revision.max(known.heartbeat.revision);
        known.heartbeat.open_requests = compact.open_requests;
        if is_changed || now_ms - known.last_event_ms >= MIN_HEARTBEAT_EVENT_INTERVAL_MS {
            events.push(known.next_event(now_ms));
        }
        IdLookup::Found
    }

    /// Applies a full report unless a newer one is known; returns true if the
    /// endpoint, its instance or its leaving state is new.
    pub fn apply_report(
        &mut self,
        now_ms: Millis,
        mut report: EndpointReport,
        events: &mut Vec<GossipEvent>,
    ) -> bool {
        let known = self.endpoints.get(&report.endpoint);
        if known.is_some_and(|known| known.report.measured_ms >= report.measured_ms) {
            return false;
        }
        let same_run = known.filter(|known| known.report.incarnation == report.incarnation);
        // A leaving endpoint stays leaving for the rest of its instance, also when
        // a host that has not detected it yet reports a later measurement.
        report.is_leaving |= same_run.is_some_and(|known| known.report.is_leaving);
        let is_changed = same_run.is_none_or(|k| k.report.is_leaving != report.is_leaving);
        let full_sends_left = match same_run {
            Some(known) if !is_changed => known.full_sends_left,
            _ => full_sends_for_report(&report),
        };
        let id = endpoint_short_id(&report.endpoint, report.incarnation);
        if let Some(old_id) = known.map(|known| known.id).filter(|old_id| *old_id != id) {
            self.id_owners.remove(&old_id);
        }
        let record = EndpointRecord {
            id,
            last_received_ms: now_ms,
            full_sends_left,
            full_last_sent_ms: known.map_or(Millis(0), |known| known.full_last_sent_ms),
            compact_sends: 0,
            report: report.clone(),
        };
        let endpoint = report.endpoint.clone();
        self.id_owners
            .insert(id, IdOwner::Endpoint(endpoint.clone()));
        self.endpoints.insert(endpoint, record);
        events.push(GossipEvent::Report(report));
        is_changed
    }

    /// Applies a compact report unless a newer one is known.
    pub fn apply_compact_report(
        &mut self,
        now_ms: Millis,
        compact: &CompactReport,
        measured_ms: Millis,
        events: &mut Vec<GossipEvent>,
    ) -> IdLookup {
        let Some(IdOwner::Endpoint(endpoint)) = self.id_owners.get(&compact.id) else {
            return IdLookup::NotFound;
        };
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return IdLookup::NotFound;
        };
        if measured_ms <= known.report.measured_ms {
            return IdLookup::Found;
        }
        known.report.measured_ms = measured_ms;
        known.report.running = compact.running;
        known.report.waiting = compact.waiting;
        known.report.cache_permille = compact.cache_permille;
        known.last_received_ms = now_ms;
        known.compact_sends = 0;
        events.push(GossipEvent::Report(known.report.clone()));
        IdLookup::Found
    }

    /// Applies a full summary unless a newer one is known.
    pub fn apply_summary(
        &mut self,
        now_ms: Millis,
        summary: RegionSummary,
        events: &mut Vec<GossipEvent>,
    ) {
        let known = self.summaries.get(&summary.region);
        if known.is_some_and(|known| known.summary.made_ms >= summary.made_ms) {
            return;
        }
        let id = region_short_id(&summary);
        let same = known.filter(|known| known.id == id);
        let record = SummaryRecord {
            id,
            last_received_ms: now_ms,
            full_sends_left: same.map_or(CHANGED_RECORD_SENDS, |known| known.full_sends_left),
            full_last_sent_ms: known.map_or(Millis(0), |known| known.full_last_sent_ms),
            compact_sends: 0,
            summary: summary.clone(),
        };
        if let Some(old_id) = known.map(|known| known.id) {
            self.id_owners.remove(&old_id);
        }
        let region = summary.region.clone();
        self.id_owners.insert(id, IdOwner::Region(region.clone()));
        self.summaries.insert(region, record);
        events.push(GossipEvent::Summary(summary));
    }

    /// Applies a compact summary unless a newer one is known.
    pub fn apply_compact_summary(
        &mut self,
        now_ms: Millis,
        compact: &CompactSummary,
        made_ms: Millis,
        lowest_revision: Revision,
        events: &mut Vec<GossipEvent>,
    ) -> IdLookup {
        let Some(IdOwner::Region(region)) = self.id_owners.get(&compact.id) else {
            return IdLookup::NotFound;
        };
        let Some(known) = self.summaries.get_mut(region) else {
            return IdLookup::NotFound;
        };
        let summary = &mut known.summary;
        if made_ms <= summary.made_ms || compact.busy.len() != summary.capacity.len() {
            return IdLookup::Found;
        }
        summary.made_ms = made_ms;
        summary.lowest_revision = lowest_revision;
        for (capacity, busy) in summary.capacity.iter_mut().zip(&compact.busy) {
            capacity.busy = *busy;
        }
        known.last_received_ms = now_ms;
        known.compact_sends = 0;
        events.push(GossipEvent::Summary(summary.clone()));
        IdLookup::Found
    }

    /// Removes records that were not updated within their retention time.
    pub fn remove_expired(&mut self, now_ms: Millis) {
        self.hosts
            .retain(|_, record| now_ms - record.last_received_ms < HOST_RETENTION_MS);
        self.endpoints
            .retain(|_, record| now_ms - record.last_received_ms < ENDPOINT_RETENTION_MS);
        self.summaries
            .retain(|_, record| now_ms - record.last_received_ms < SUMMARY_RETENTION_MS);
        let (hosts, endpoints) = (&self.hosts, &self.endpoints);
        let summaries = &self.summaries;
        self.id_owners.retain(|_, owner| match owner {
            IdOwner::Host(host) => hosts.contains_key(host),
            IdOwner::Endpoint(endpoint) => endpoints.contains_key(endpoint),
            IdOwner::Region(region) => summaries.contains_key(region),
        });
    }

    /// Returns the host with this short identifier.
    pub fn host_by_id(&self, id: ShortId) -> Option<&HostRecord> {
        match self.id_owners.get(&id)? {
            IdOwner::Host(host) => self.hosts.get(host),
            IdOwner::Endpoint(_) | IdOwner::Region(_) => None,
        }
    }

    /// Returns the endpoint with this short identifier.
    pub fn endpoint_by_id(&self, id: ShortId) -> Option<&EndpointRecord> {
        match self.id_owners.get(&id)? {
            IdOwner::Endpoint(endpoint) => self.endpoints.get(endpoint),
            IdOwner::Host(_) | IdOwner::Region(_) => None,
        }
    }

    /// Returns the region whose targets, slots and hosts have this short identifier.
    pub fn region_by_id(&self, id: ShortId) -> Option<&SummaryRecord> {
        match self.id_owners.get(&id)? {
            IdOwner::Region(region) => self.summaries.get(region),
            IdOwner::Host(_) | IdOwner::Endpoint(_) => None,
        }
    }
}

fn is_same_description(known: &Heartbeat, newer: &Heartbeat) -> bool {
    let mut same = newer.clone();
    same.sequence = known.sequence;
    same.open_requests = known.open_requests;
    same.revision = known.revision;
    *known == same
}

fn full_sends_for_heartbeat(heartbeat: &Heartbeat) -> u8 {
    if heartbeat.is_leaving {
        LEAVING_RECORD_SENDS
    } else {
        CHANGED_RECORD_SENDS
    }
}

fn full_sends_for_report(report: &EndpointReport) -> u8 {
    if report.is_leaving {
        LEAVING_RECORD_SENDS
    } else {
        CHANGED_RECORD_SENDS
    }
}

/// Returns the short identifier of one instance of a host.
pub fn host_short_id(host: &HostId, incarnation: Incarnation) -> ShortId {
    short_id("host", host.as_str(), incarnation)
}

/// Returns the short identifier of one instance of an endpoint.
pub fn endpoint_short_id(endpoint: &EndpointId, incarnation: Incarnation) -> ShortId {
    short_id("endpoint", endpoint.as_str(), incarnation)
}

/// Returns the short identifier of a region with its targets, slots and hosts.
pub fn region_short_id(summary: &RegionSummary) -> ShortId {
    let mut text = format!("region/{}", summary.region);
    for capacity in &summary.capacity {
        let _ = write!(text, "/{}/{}", capacity.target, capacity.slots);
    }
    for forward in &summary.hosts {
        let _ = write!(text, "/{}/{}", forward.host, forward.peer_address);
    }
    short_id_of(&text)
}

fn short_id(kind: &str, name: &str, incarnation: Incarnation) -> ShortId {
    short_id_of(&format!("{kind}/{name}/{incarnation}"))
}

fn short_id_of(text: &str) -> ShortId {
    let hash = xxh3_64(text.as_bytes());
    // With 32 bits, the probability that any two of the 250 identifiers of a
    // full-size region collide is below 1 in 100,000.
    ShortId((hash as u32).to_be_bytes())
}
