//! What hosts of a region tell each other about the endpoints they share.
//!
//! This answers the load at which many hosts place requests at the same time:
//! an endpoint that looks idle in an old view gets a prompt from each of them.
//! A host therefore tells each send at once, with what the endpoint then has
//! from it and which shared prompt parts it reads. Beacons carry the same loads
//! less often, so that an update that is lost does no lasting harm.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    endpoint::LoadShare,
    fleet::Choice,
    hosts::Beacon,
    reactor::Reactor,
    request::Call, //
};

/// Interval of updates after a send, for each other host of the region, so that
/// a host receives at most a thousand a second whatever the size of the region.
const SEND_INTERVAL_PER_HOST_MS: u64 = 1;
/// Shortest interval of updates: the time on the way between data centres.
const MIN_SEND_INTERVAL_MS: u64 = 5;
/// Factor on the interval for changes that only free an endpoint.
const RELEASE_FACTOR: u64 = 5;
/// Most endpoints, sends and blocks in an update, so that it fits into one packet.
const MAX_SHARES: usize = 24;
const MAX_SENDS: usize = 10;
const MAX_BLOCKS: usize = 8;
/// Most shared parts that are told of one prompt.
const MAX_PARTS: usize = 4;

/// A packet between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// The regular one, to all regions.
    Beacon(Beacon),
    /// Changes since the last one, to the own region.
    LoadUpdate(LoadUpdate),
}

/// Changes of what a host has at endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Name of the sender.
    pub host: CompactString,
    /// Unix time of the sender's start.
    pub started_ms: u64,
    /// Number of the packet in this run.
    pub sequence: u64,
    /// Loads that changed, as they are now.
    pub shares: Vec<EndpointLoadShare>,
    /// Prompts that were sent.
    pub sends: Vec<SentPrompt>,
    /// Endpoints that turned out to be gone.
    pub blocks: Vec<EndpointBlock>,
}

/// An endpoint that a host could not reach, or that another one has replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBlock {
    /// Hash of the endpoint's id.
    pub endpoint: u32,
    /// Time for which the sender does not use it.
    pub for_ms: u32,
}

/// What a host has at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoadShare {
    /// Hash of the endpoint's id.
    pub endpoint: u32,
    /// Requests in progress.
    pub active: u32,
    /// Prompt tokens of requests without a first event.
    pub backlog_tokens: u32,
    /// Tokens of all requests in progress.
    pub reserved_tokens: u32,
}

impl EndpointLoadShare {
    /// The share of an endpoint with this hash.
    pub fn new(endpoint: u32, share: LoadShare) -> Self {
        Self {
            endpoint,
            active: share.active,
            backlog_tokens: share.backlog_tokens as u32,
            reserved_tokens: share.reserved_tokens as u32,
        }
    }

    /// The share without the endpoint.
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
    pub endpoint: u32,
    /// Memory that it takes, in tokens.
    pub reserved_tokens: u32,
    /// Tokens of it that the endpoint has to read.
    pub read_tokens: u32,
    /// Predicted time until it has been read.
    pub read_ms: u32,
    /// Its shared parts, in order.
    pub parts: Vec<u64>,
}

/// What one update tells.
#[derive(Debug, Default)]
pub struct LoadChanges {
    /// Endpoints at which the host has something else than before.
    pub endpoints: Vec<CompactString>,
    /// Prompts that were sent.
    pub sends: Vec<SentPrompt>,
    /// Endpoints that turned out to be gone.
    pub blocks: Vec<EndpointBlock>,
}

/// Changes that were not told yet.
#[derive(Debug, Default)]
pub struct PendingUpdate {
    changed: BTreeSet<CompactString>,
    sends: Vec<SentPrompt>,
    blocks: Vec<EndpointBlock>,
    next_ms: u64,
    next_release_ms: u64,
}

impl PendingUpdate {
    /// Records that what the host has at an endpoint has changed.
    pub fn record_change(&mut self, endpoint: &CompactString) {
        if !self.changed.contains(endpoint) {
            self.changed.insert(endpoint.clone());
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_send(&mut self, choice: &Choice, hash: u32, call: &Call) {
        self.record_change(&choice.endpoint);
        let shared = call.shared_parts().iter().map(|part| part.id);
        self.sends.push(SentPrompt {
            endpoint: hash,
            reserved_tokens: choice.work.reserved_tokens as u32,
            read_tokens: choice.work.uncached_tokens as u32,
            read_ms: choice.first_event_ms as u32,
            parts: shared.take(MAX_PARTS).collect(),
        });
    }

    /// Records that the host does not use an endpoint for a while.
    pub fn record_block(&mut self, hash: u32, for_ms: u64) {
        self.blocks.push(EndpointBlock {
            endpoint: hash,
            for_ms: for_ms as u32,
        });
    }

    /// What is to be told now, with `peer_count` other hosts in the region.
    ///
    /// What does not fit into one packet is left for the next one.
    pub fn take_due(&mut self, peer_count: usize, now_ms: u64) -> Option<LoadChanges> {
        let is_urgent = !self.sends.is_empty() || !self.blocks.is_empty();
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
        Some(LoadChanges {
            endpoints,
            sends,
            blocks,
        })
    }
}

impl Reactor {
    /// Tells the hosts of the region what has changed, if that is due.
    pub(super) fn send_load_update(&mut self, now_ms: u64) {
        let peer_count = self.region_view.host_count.saturating_sub(1);
        let Some(changes) = self.pending_update.take_due(peer_count, now_ms) else {
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
            started_ms: self.run_started_ms,
            sequence: self.beacon_sequence,
            shares,
            sends: changes.sends,
            blocks: changes.blocks,
        };
        self.send_packet(&Packet::LoadUpdate(update), &peers);
    }

    /// Takes over the update of another host.
    pub(super) fn apply_load_update(&mut self, update: &LoadUpdate, now_ms: u64) -> bool {
        if !self.hosts.apply_load_update(update, now_ms) {
            return false;
        }
        for sent in &update.sends {
            self.fleet.record_peer_prompt(sent, now_ms);
        }
        for block in &update.blocks {
            self.fleet.apply_peer_block(block, now_ms);
        }
        true
    }
}
