//! Updates that the hosts of a region send each other about endpoint load.
//!
//! They serve the case in which many hosts place requests at the same time: an
//! endpoint that looks idle in an outdated view gets a prompt from each of them.
//! A host therefore reports each send at once, with its load at the endpoint and
//! the shared prompt parts that the endpoint prefills. Beacons carry the same
//! loads less often, so that a lost update has no lasting effect.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    allotment_exchange::{
        RegionUsage,
        UsageReport,
        UsageSummary, //
    },
    endpoint::{
        Endpoint,
        EndpointHash,
        LoadShare, //
    },
    endpoint_start::EndSign,
    fleet::Choice,
    hosts::Beacon,
    origin_exchange::{
        OriginAnswer,
        OriginQuestion, //
    },
    permit_exchange::{
        PermitAnswer,
        PermitQuestion, //
    },
    reactor::Reactor,
    request::RequestMetadata,
    serve_crashes::CrashReports,
    serve_limits::LimitReports,
    serve_starts::StartReports,
    service_room::RegionRoom,
    stream_origins::StreamOrigin, //
};

/// Interval of updates after a send, per other host of the region, so that a host
/// receives at most a thousand a second whatever the size of the region.
const SEND_INTERVAL_PER_HOST_MS: u64 = 1;
/// Shortest interval of updates: the network latency between data centres.
const MIN_SEND_INTERVAL_MS: u64 = 5;
/// Factor on the interval for changes that only reduce an endpoint's load.
const RELEASE_FACTOR: u64 = 5;
/// Most endpoints in an update, so that it fits into one packet.
const MAX_SHARES: usize = 24;
/// Most sends in an update, for the same reason.
const MAX_SENDS: usize = 6;
/// Most blocks in an update, for the same reason.
const MAX_BLOCKS: usize = 8;
/// Most leaving endpoints in an update or beacon, for the same reason.
pub const MAX_LEAVING: usize = 12;
/// Most stream origins in an update, for the same reason.
pub const MAX_ORIGINS: usize = 8;
/// Most shared parts that are reported of one prompt.
const MAX_PARTS: usize = 4;

/// A packet between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// Periodic state of the sender; sent to all regions.
    Beacon(Beacon),
    /// Changes since the last packet; sent to the sender's region only.
    LoadUpdate(LoadUpdate),
    /// Crashes of endpoints and the prompt parts that may have caused them.
    CrashReports(CrashReports),
    /// Limits that endpoints name; sent to the sender's region only.
    LimitReports(LimitReports),
    /// Question for permits; sent to the coordinator of an endpoint.
    PermitQuestion(PermitQuestion),
    /// Permits for the host that asked.
    PermitAnswer(PermitAnswer),
    /// What the sender has found out about the starts of endpoints; sent to its region only. The
    /// build before does not read it.
    StartReports(StartReports),
    /// What a host used of the allotments of accounts; sent to the relays of its region. The build
    /// before reads neither this nor the next two.
    UsageReport(UsageReport),
    /// What all other hosts used; sent by a relay to the hosts of its region.
    UsageSummary(UsageSummary),
    /// What a region used; sent by its relays to those of the other regions.
    RegionUsage(RegionUsage),
    /// Room for streams in the sender's region; sent to other regions. The build before does not
    /// read it.
    RegionRoom(RegionRoom),
    /// Question for the origins of streams. The build before reads neither this nor the next.
    OriginQuestion(OriginQuestion),
    /// What the sender knows of them; sent to the host that asked.
    OriginAnswer(OriginAnswer),
}

/// Changes of the load that a host places at endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Name of the sender.
    pub host: CompactString,
    /// Unix time of the sender's start.
    pub started_ms: u64,
    /// Sequence number of the packet in this instance of the sender.
    pub sequence: u64,
    /// Current loads at the endpoints where they changed.
    pub shares: Vec<EndpointLoadShare>,
    /// Prompts that were sent.
    pub sends: Vec<SentPrompt>,
    /// Endpoints that the sender could not reach or found replaced.
    pub blocks: Vec<EndpointBlock>,
    /// Endpoints that stated to the sender that they are leaving.
    pub leaving: Vec<LeavingEndpoint>,
    /// Streams that the sender began, or that a host of another region told it.
    pub origins: Vec<StreamOrigin>,
}

/// An endpoint that stated that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// Hash of the endpoint's id.
    pub endpoint: EndpointHash,
    /// Unix time of its start; a later start is not leaving.
    pub started_ms: u64,
}

impl LeavingEndpoint {
    /// Returns the statement about an endpoint in its current start.
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.hash,
            started_ms: endpoint.announcement.order.started_ms,
        }
    }
}

/// An endpoint that the sender could not reach, or whose address now belongs to
/// another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBlock {
    /// Hash of the endpoint's id.
    pub endpoint: EndpointHash,
    /// Time for which the sender does not use it.
    pub for_ms: u32,
    /// It is brittle and has turned a request away; it could be reached.
    pub is_full: bool,
}

/// Load that a host places at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoadShare {
    /// Hash of the endpoint's id.
    pub endpoint: EndpointHash,
    /// Requests in progress.
    pub active: u32,
    /// Prompt tokens of requests without a first event.
    pub backlog_tokens: u32,
    /// Engine memory that all requests in progress reserve, in tokens.
    pub reserved_tokens: u32,
}

impl EndpointLoadShare {
    /// Encodes a share at the endpoint with this hash.
    pub fn new(endpoint: EndpointHash, share: LoadShare) -> Self {
        Self {
            endpoint,
            active: share.active,
            backlog_tokens: share.backlog_tokens as u32,
            reserved_tokens: share.reserved_tokens as u32,
        }
    }

    /// Returns the share without the endpoint.
    pub fn share(&self) -> LoadShare {
        LoadShare {
            active: self.active,
            backlog_tokens: u64::from(self.backlog_tokens),
            reserved_tokens: u64::from(self.reserved_tokens),
        }
    }
}

/// A prompt that a host sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrompt {
    /// Hash of the endpoint's id.
    pub endpoint: EndpointHash,
    /// Engine memory that the request reserves, in tokens.
    pub reserved_tokens: u32,
    /// Tokens that the endpoint has to prefill.
    pub prefill_tokens: u32,
    /// Predicted time until the prompt has been prefilled.
    pub prefill_ms: u32,
    /// Ids of the shared parts, in order.
    pub parts: Vec<u64>,
}

/// Changes that go into one update.
#[derive(Debug, Default)]
pub struct LoadChanges {
    /// Endpoints at which this host's load has changed.
    pub endpoints: Vec<CompactString>,
    /// Prompts that were sent.
    pub sends: Vec<SentPrompt>,
    /// Endpoints that this host could not reach or found replaced.
    pub blocks: Vec<EndpointBlock>,
    /// Endpoints that stated that they are leaving.
    pub leaving: Vec<LeavingEndpoint>,
}

/// Changes that have not been sent yet.
#[derive(Debug, Default)]
pub struct PendingUpdate {
    changed: BTreeSet<CompactString>,
    sends: Vec<SentPrompt>,
    blocks: Vec<EndpointBlock>,
    leaving: Vec<LeavingEndpoint>,
    next_ms: u64,
    next_release_ms: u64,
}

impl PendingUpdate {
    /// Records that this host's load at an endpoint has changed.
    pub fn record_change(&mut self, endpoint: &CompactString) {
        if !self.changed.contains(endpoint) {
            self.changed.insert(endpoint.clone());
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_send(&mut self, choice: &Choice, hash: EndpointHash, metadata: &RequestMetadata) {
        self.record_change(&choice.endpoint);
        let shared = metadata.shared_parts().iter().map(|part| part.id);
        self.sends.push(SentPrompt {
            endpoint: hash,
            reserved_tokens: choice.work.reserved_tokens as u32,
            prefill_tokens: choice.work.uncached_tokens as u32,
            prefill_ms: choice.first_event_ms as u32,
            parts: shared.take(MAX_PARTS).collect(),
        });
    }

    /// Records that this host does not use an endpoint for `for_ms`.
    pub fn record_block(&mut self, hash: EndpointHash, for_ms: u64) {
        self.blocks.push(EndpointBlock {
            endpoint: hash,
            for_ms: for_ms as u32,
            is_full: false,
        });
    }

    /// Records that a brittle endpoint turned a request away and gets no other for `for_ms`.
    pub fn record_full(&mut self, hash: EndpointHash, for_ms: u64) {
        self.blocks.push(EndpointBlock {
            endpoint: hash,
            for_ms: for_ms as u32,
            is_full: true,
        });
    }

    /// Records that an endpoint stated that it is leaving.
    pub fn record_leaving(&mut self, leaving: LeavingEndpoint) {
        self.leaving.push(leaving);
    }

    /// Returns the changes that are due with `peer_count` other hosts in the region.
    ///
    /// Changes that do not fit into one packet stay for the next one.
    ///
    /// With `has_origins`, an update is due as after a send.
    pub fn take_due(
        &mut self,
        peer_count: usize,
        has_origins: bool,
        now_ms: u64,
    ) -> Option<LoadChanges> {
        let is_urgent = has_origins
            || !self.sends.is_empty()
            || !self.blocks.is_empty()
            || !self.leaving.is_empty();
        let due_ms = match is_urgent {
            true => self.next_ms,
            false => self.next_release_ms,
        };
        if (self.changed.is_empty() && !is_urgent) || now_ms < due_ms {
            return None;
        }
        let interval_ms = (peer_count as u64 * SEND_INTERVAL_PER_HOST_MS).max(MIN_SEND_INTERVAL_MS);
        self.next_ms = now_ms + interval_ms;
        self.next_release_ms = now_ms + interval_ms * RELEASE_FACTOR;
        let endpoints: Vec<CompactString> = self.changed.iter().take(MAX_SHARES).cloned().collect();
        for endpoint in &endpoints {
            self.changed.remove(endpoint);
        }
        let count = self.sends.len().min(MAX_SENDS);
        let sends = self.sends.drain(..count).collect();
        let count = self.blocks.len().min(MAX_BLOCKS);
        let blocks = self.blocks.drain(..count).collect();
        let count = self.leaving.len().min(MAX_LEAVING);
        let leaving = self.leaving.drain(..count).collect();
        Some(LoadChanges {
            endpoints,
            sends,
            blocks,
            leaving,
        })
    }
}

impl Reactor {
    /// Sends an update to the hosts of the region, if one is due.
    pub(super) fn send_load_update(&mut self, now_ms: u64) {
        let peer_count = self.region_view.host_count.saturating_sub(1);
        let has_origins = self.pending_origins.has_own();
        let changes = self
            .pending_update
            .take_due(peer_count, has_origins, now_ms);
        let Some(changes) = changes else {
            return;
        };
        let own_region = self.settings.host.region.clone();
        let peers = self.peers_in(&own_region, now_ms);
        if peers.is_empty() {
            return;
        }
        let changed = changes.endpoints.iter();
        let shares = changed
            .filter_map(|id| self.fleet.get(id))
            .map(|endpoint| EndpointLoadShare::new(endpoint.hash, endpoint.own_load))
            .collect();
        self.beacon_sequence += 1;
        let update = LoadUpdate {
            host: self.settings.host.name.clone(),
            started_ms: self.instance_started_ms,
            sequence: self.beacon_sequence,
            shares,
            sends: changes.sends,
            blocks: changes.blocks,
            leaving: changes.leaving,
            origins: self.pending_origins.take_local(MAX_ORIGINS),
        };
        self.send_packet(&Packet::LoadUpdate(update), &peers);
    }

    /// Applies the update of another host; returns false if it is outdated.
    pub(super) fn apply_load_update(&mut self, update: &LoadUpdate, now_ms: u64) -> bool {
        // The origin of a stream never changes, so the order of packets does not matter.
        for origin in &update.origins {
            self.origins.record(origin, now_ms);
        }
        if !self.hosts.apply_load_update(update, now_ms) {
            return false;
        }
        for sent in &update.sends {
            self.fleet.record_peer_prompt(sent, now_ms);
        }
        for block in &update.blocks {
            if block.is_full {
                self.fleet.apply_peer_full(block, now_ms);
                continue;
            }
            // Another host's connection was refused.
            if let Some(id) = self.fleet.id_of(block.endpoint) {
                self.confirm_crash(&id, now_ms);
                self.hear_of_block(&id, &update.host, now_ms);
            }
            self.fleet.apply_peer_block(block, now_ms);
        }
        self.apply_peer_leaving(&update.leaving, &update.host);
        true
    }

    /// Doubts the start of an endpoint that another host could not reach, unless this host has
    /// requests in progress there: that one alone may have lost its connection.
    fn hear_of_block(&mut self, id: &CompactString, host: &str, now_ms: u64) {
        let endpoint = self.fleet.get(id);
        if endpoint.is_some_and(|endpoint| endpoint.own_load.active == 0) {
            self.hear_of_sign(id, EndSign::new(now_ms), host, now_ms);
        }
    }

    /// Stops sending requests to endpoints that stated to another host that they are
    /// leaving.
    pub(super) fn apply_peer_leaving(&mut self, leaving: &[LeavingEndpoint], host: &str) {
        for one in leaving {
            if let Some(id) = self.fleet.record_peer_leaving(one) {
                tracing::info!(
                    endpoint = %id,
                    host,
                    "endpoint told another host that it is leaving; it gets no new requests"
                );
            }
        }
    }
}
