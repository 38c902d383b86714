//! Decides which records are sent to which hosts, without I/O and with explicit
//! time.
//!
//! In each round a host sends datagrams to a few random hosts of its region: full
//! records that changed, then compact heartbeats, compact summaries of other
//! regions and compact reports. Full records that did not change are sent only
//! rarely; a host that receives an unknown short identifier requests the full
//! record from the sender. The first three hosts of a region by rendezvous hashing
//! are its delegates. They also send compact summaries of all regions to one host
//! each of a few random other regions. That a host or endpoint is leaving, and a
//! higher revision, are sent and relayed immediately.
//!
//! Sent and received bytes draw on one budget, and the next round waits until it
//! has credit. More hosts and endpoints therefore increase the age of records but
//! not the number of bytes.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use rand::{
    RngExt,
    SeedableRng,
    seq::{
        IteratorRandom,
        SliceRandom, //
    }, //
};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

pub use super::simulation::{
    CrossRegionCost,
    GossipCost,
    measure_cross_region,
    measure_region, //
};
pub use super::store::{
    GossipEvent,
    RevisionSource, //
};
use super::{
    rendezvous_rank,
    store::{
        HostRecord,
        IdLookup,
        Store, //
    },
    wire::{
        ClusterKey,
        CompactHeartbeat,
        CompactReport,
        CompactSummary,
        Datagram,
        DatagramBody,
        DatagramDecoder,
        DatagramEncoder,
        FullRecord,
        MAX_DATAGRAM_BYTES,
        ShortId,
        TICK_MS,
        WireCounts,
        WireError,
        tick_floor,
        ticks_before,
        ticks_behind, //
    }, //
};
use crate::{
    decision::view::{
        EndpointReport,
        Heartbeat,
        RegionSummary, //
    },
    types::{
        HostId,
        Incarnation,
        Millis,
        RegionId,
        Revision, //
    }, //
};

/// Bytes of the IP and UDP headers of one datagram, which count against the budget.
pub const UDP_OVERHEAD_BYTES: u64 = 28;
/// Budget for sent and received bytes together. It leaves 1 KB/s of the 11 KB/s
/// control traffic in the design to configuration changes over TCP.
pub const DEFAULT_BUDGET_BYTES_PER_S: u64 = 10_000;
/// Hosts of a region that send to other regions.
const DELEGATES_PER_REGION: usize = 3;
/// Time between rounds while the budget allows it.
const ROUND_INTERVAL_MS: Millis = Millis(200);
/// Time until the next attempt of a round while this host has no heartbeat yet.
const NO_HEARTBEAT_RETRY_MS: Millis = Millis(20);
/// Longest time between rounds; one that is due without credit sends one datagram.
const MAX_ROUND_INTERVAL_MS: Millis = Millis(1_000);
/// Hosts of the region that one round sends to.
const FANOUT: usize = 2;
/// Other regions that one round of a delegate sends to.
const CROSS_REGION_FANOUT: usize = 2;
/// Heartbeats older than this are not relayed.
const MAX_RELAYED_HEARTBEAT_AGE_MS: Millis = Millis(5_000);
/// Share of a datagram that full records may take, in percent.
const FULL_RECORDS_SHARE_PERCENT: usize = 60;
/// Share of the remaining space that compact heartbeats may take, in percent. With
/// 70 the 99th percentile of the age of loads rose from 4.6 s to 7.3 s.
const HEARTBEATS_SHARE_PERCENT: usize = 50;
/// Share of the then remaining space that compact summaries of other regions may
/// take, in percent.
const SUMMARIES_SHARE_PERCENT: usize = 40;
/// Maximum number of full records that one datagram requests, and that are sent in
/// response to one.
const MAX_REQUESTED_IDS: usize = 40;
/// Repeated sends of a compact report before reports that were sent less often
/// take precedence. With 0 instead of 1, the median age of loads in the full-size
/// measurement was 1.5 s instead of 1.3 s.
const EXTRA_REPORT_SENDS: u32 = 1;
/// The same for compact heartbeats.
const EXTRA_HEARTBEAT_SENDS: u32 = 1;
/// Minimum time between sends of full records that did not change.
const REFRESH_INTERVAL_MS: Millis = Millis(1_000);
/// Minimum time between two requests for missing full records.
const RECORD_REQUEST_INTERVAL_MS: Millis = Millis(100);
/// First interval between contacts of a silent seed; doubles up to the maximum.
const SEED_RETRY_INTERVAL_MS: Millis = Millis(500);
const MAX_SEED_RETRY_INTERVAL_MS: Millis = Millis(8_000);
/// Maximum for a host that knows no other host of its region. Without this lower
/// limit, a host that lost four exchanges in a row stayed isolated for 16 s.
const MAX_ISOLATED_RETRY_INTERVAL_MS: Millis = Millis(2_000);
/// Hosts whose heartbeats a new host receives while this host is over its budget.
const SHORT_HELLO_HOSTS: usize = 3;
/// Delegates contact a seed again after this time without a datagram from it.
const SEED_SILENCE_MS: Millis = Millis(30_000);
/// Average time between probes of silent hosts by all hosts of a region together,
/// and the minimum time between probes by one host.
const REGION_PROBE_INTERVAL_MS: Millis = Millis(250);
const MIN_HOST_PROBE_INTERVAL_MS: Millis = Millis(1_000);
/// Minimum time between events about a higher revision of the same host.
const REVISION_EVENT_INTERVAL_MS: Millis = Millis(250);
/// Maximum number of hosts whose last such event is remembered.
const MAX_REVISION_EVENT_TIMES: usize = 1_024;
/// Space for the revision and the length prefixes of the five lists of a body.
const BODY_OVERHEAD_BYTES: usize = 20;
/// Hosts of the region to which a leaving host or endpoint is announced
/// immediately; each of them announces it to as many.
const LEAVING_FANOUT: usize = 5;
/// Rounds in which a host announces a leaving host or endpoint. With one round,
/// some of 66 hosts missed it when all hosts of a region started at once and 10% of
/// the datagrams were lost.
const LEAVING_ROUNDS: u8 = 3;
/// Hosts of the region to which a higher revision is announced immediately; each
/// of them announces it to as many. Delegates announce it to as many other regions.
const REVISION_FANOUT: usize = 2;
/// Size limit of a regular datagram within the region. In the full-size measurement
/// the 99th percentile of the age of heartbeats was 3.2 s with datagrams of maximum
/// size, 2.1 s with 760 bytes and 1.8 s with 640 bytes.
const MAX_REGION_DATAGRAM_BYTES: usize = 640;

/// Identity, seeds and budget of a host.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// This host.
    pub host: HostId,
    /// Incarnation of its current instance.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Addresses of hosts to contact until a datagram arrives from them.
    pub seeds: Vec<SocketAddr>,
    /// Budget for sent and received bytes together, with IP and UDP headers.
    pub budget_bytes_per_s: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl GossipConfig {
    /// Creates a configuration without seeds and with the default budget.
    pub fn new(host: HostId, incarnation: Incarnation, region: RegionId) -> Self {
        Self {
            host,
            incarnation,
            region,
            seeds: Vec::new(),
            budget_bytes_per_s: DEFAULT_BUDGET_BYTES_PER_S,
            seed: incarnation.0,
        }
    }

    /// Sets the addresses of hosts to contact at the start.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the budget.
    pub fn with_budget(mut self, budget_bytes_per_s: u64) -> Self {
        self.budget_bytes_per_s = budget_bytes_per_s;
        self
    }
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the receiving host.
    pub to: SocketAddr,
    /// Encoded and tagged datagram.
    pub bytes: Vec<u8>,
}

/// Totals of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct GossipCounts {
    /// Rounds that were sent.
    pub rounds: u64,
    /// Sent bytes with IP and UDP headers.
    pub sent_bytes: u64,
    /// Received bytes with IP and UDP headers.
    pub received_bytes: u64,
    /// Datagrams sent to request missing full records.
    pub requested_records: u64,
    /// Received datagrams that were accepted and refused.
    pub wire: WireCounts,
}

/// Token bucket for sent and received bytes; the balance may become negative.
#[derive(Debug)]
struct Budget {
    bytes_per_s: i64,
    available_bytes: i64,
    refilled_ms: Millis,
}

impl Budget {
    fn new(bytes_per_s: u64) -> Self {
        let bytes_per_s = i64::try_from(bytes_per_s.max(1)).unwrap_or(i64::MAX / 1_000);
        Self {
            bytes_per_s,
            available_bytes: bytes_per_s / 2,
            refilled_ms: Millis(0),
        }
    }

    fn refill(&mut self, now_ms: Millis) {
        let passed_ms = (now_ms - self.refilled_ms).0.min(10_000) as i64;
        let gained_bytes = self.bytes_per_s * passed_ms / 1_000;
        if gained_bytes > 0 {
            self.available_bytes = (self.available_bytes + gained_bytes).min(self.bytes_per_s / 2);
            self.refilled_ms = now_ms;
        }
    }

    fn spend(&mut self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(self.bytes_per_s);
        // The debt is bounded, so that a flood of received bytes keeps this host from
        // sending for a few seconds at most.
        self.available_bytes = (self.available_bytes - bytes).max(-3 * self.bytes_per_s);
    }

    /// Whether a short reply may be sent; allowed up to a debt of 2.5 seconds.
    fn allows_short_reply(&self) -> bool {
        self.available_bytes > -5 * self.bytes_per_s / 2
    }

    fn has_credit(&self) -> bool {
        self.available_bytes > 0
    }

    /// Whether a reply may be sent; allowed up to a debt of one second.
    fn allows_reply(&self) -> bool {
        self.available_bytes > -self.bytes_per_s
    }

    fn wait_ms(&self) -> Millis {
        let missing_bytes = (1 - self.available_bytes).max(0);
        Millis((missing_bytes * 1_000 / self.bytes_per_s + 1) as u64)
    }
}

#[derive(Debug)]
struct SeedState {
    address: SocketAddr,
    last_received_ms: Option<Millis>,
    next_contact_ms: Millis,
    retry_interval_ms: Millis,
}

impl SeedState {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            last_received_ms: None,
            next_contact_ms: Millis(0),
            retry_interval_ms: SEED_RETRY_INTERVAL_MS,
        }
    }

    fn is_due(&self, now_ms: Millis, is_delegate: bool) -> bool {
        let is_silent = match self.last_received_ms {
            None => true,
            Some(last_received_ms) => is_delegate && now_ms - last_received_ms > SEED_SILENCE_MS,
        };
        is_silent && now_ms >= self.next_contact_ms
    }
}

/// A full record that may be added to the next datagram. The order of the fields
/// gives the priority.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_not_leaving: bool,
    full_sends_left: Reverse<u8>,
    full_last_sent_ms: Millis,
    key: RecordKey,
}

/// Subject of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKey {
    Host(HostId),
    Endpoint(crate::types::EndpointId),
    Summary(RegionId),
}

/// Builds a datagram body up to a size limit.
#[derive(Debug)]
struct BodyBuilder {
    body: DatagramBody,
    free_bytes: usize,
}

impl BodyBuilder {
    fn new(free_bytes: usize, revision: Revision) -> Self {
        Self {
            body: DatagramBody {
                revision,
                ..DatagramBody::default()
            },
            free_bytes: free_bytes.saturating_sub(BODY_OVERHEAD_BYTES),
        }
    }

    fn reserve<T>(&mut self, value: &T) -> bool
    where
        T: Serialize,
    {
        let Ok(bytes) = postcard::to_allocvec(value) else {
            return false;
        };
        let fits = bytes.len() <= self.free_bytes;
        if fits {
            self.free_bytes -= bytes.len();
        }
        fits
    }

    fn push_full_record(&mut self, record: FullRecord) -> bool {
        let fits = self.reserve(&record);
        if fits {
            self.body.full_records.push(record);
        }
        fits
    }

    fn push_heartbeat(&mut self, heartbeat: CompactHeartbeat) -> bool {
        let fits = self.reserve(&heartbeat);
        if fits {
            self.body.heartbeats.push(heartbeat);
        }
        fits
    }

    fn push_summary(&mut self, summary: CompactSummary) -> bool {
        let fits = self.reserve(&summary);
        if fits {
            self.body.summaries.push(summary);
        }
        fits
    }

    fn push_report(&mut self, report: CompactReport) -> bool {
        let fits = self.reserve(&report);
        if fits {
            self.body.reports.push(report);
        }
        fits
    }
}

/// Gossip state of one host.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    store: Store,
    budget: Budget,
    seeds: Vec<SeedState>,
    rng: Pcg64Mcg,
    /// Leaving hosts and endpoints, with the rounds in which they are still announced.
    urgent_rounds_left: BTreeMap<RecordKey, u8>,
    is_revision_urgent: bool,
    next_round_ms: Millis,
    last_round_ms: Millis,
    next_record_request_ms: Millis,
    next_refresh_ms: Millis,
    next_probe_ms: Millis,
    revision_event_times: BTreeMap<HostId, Millis>,
    counts: GossipCounts,
}

impl Gossip {
    /// Creates a state that knows no hosts. Rounds start after the first call of
    /// [`Gossip::set_own_heartbeat`].
    pub fn new(config: GossipConfig, key: &ClusterKey) -> Self {
        Self {
            encoder: DatagramEncoder::new(key, config.host.clone(), config.incarnation),
            decoder: DatagramDecoder::new(key, config.host.clone()),
            store: Store::new(),
            budget: Budget::new(config.budget_bytes_per_s),
            seeds: config.seeds.iter().copied().map(SeedState::new).collect(),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            urgent_rounds_left: BTreeMap::new(),
            is_revision_urgent: false,
            next_round_ms: Millis(0),
            last_round_ms: Millis(0),
            next_record_request_ms: Millis(0),
            next_refresh_ms: Millis(0),
            next_probe_ms: Millis(0),
            revision_event_times: BTreeMap::new(),
            counts: GossipCounts::default(),
            config,
        }
    }

    /// Returns the totals so far.
    pub fn counts(&self) -> GossipCounts {
        GossipCounts {
            wire: self.decoder.counts(),
            ..self.counts
        }
    }

    /// Returns the newest records of all hosts, endpoints and regions.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the region of this host.
    pub fn region(&self) -> &RegionId {
        &self.config.region
    }

    /// Returns when [`Gossip::poll`] should be called next.
    pub fn next_round_ms(&self) -> Millis {
        self.next_round_ms
    }

    /// Adds addresses of hosts to contact, such as those of the platform's host list.
    pub fn add_seeds(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if !self.seeds.iter().any(|seed| seed.address == *address) {
                self.seeds.push(SeedState::new(*address));
            }
        }
    }

    /// Sets the heartbeat of this host; its sequence is overwritten.
    pub fn set_own_heartbeat(&mut self, now_ms: Millis, mut heartbeat: Heartbeat) {
        let tick_ms = tick_floor(now_ms);
        let known = self.store.hosts.get(&self.config.host);
        let sequence = known.map_or(tick_ms, |known| {
            tick_ms.max(Millis(known.newest_sequence) + TICK_MS)
        });
        heartbeat.sequence = sequence.0;
        let is_revision_new = heartbeat.revision > self.own_revision();
        let is_leaving = heartbeat.is_leaving;
        let is_changed = self
            .store
            .apply_heartbeat(now_ms, heartbeat, &mut Vec::new());
        if is_changed && is_leaving {
            self.urgent_rounds_left
                .insert(RecordKey::Host(self.config.host.clone()), LEAVING_ROUNDS);
        }
        self.is_revision_urgent |= is_revision_new;
        self.schedule_now_if(now_ms, is_revision_new || (is_changed && is_leaving));
    }

    /// Applies a report that this host measured; appends the resulting events.
    pub fn apply_local_report(
        &mut self,
        now_ms: Millis,
        report: EndpointReport,
        events: &mut Vec<GossipEvent>,
    ) {
        self.apply_report(now_ms, &report, events);
    }

    /// Sets the summary of this host's region.
    ///
    /// Hosts of one region should name the same hosts to forward to where they can,
    /// since other regions need each different list in full.
    pub fn set_own_summary(&mut self, now_ms: Millis, mut summary: RegionSummary) {
        summary.capacity.sort_by(|a, b| a.target.cmp(&b.target));
        summary.hosts.sort_by(|a, b| a.host.cmp(&b.host));
        self.store.apply_summary(now_ms, summary, &mut Vec::new());
    }

    /// Handles a received datagram; appends the resulting events and the replies to
    /// send.
    ///
    /// Fails if the datagram is refused.
    pub fn receive(
        &mut self,
        now_ms: Millis,
        from: SocketAddr,
        bytes: &[u8],
        events: &mut Vec<GossipEvent>,
        out: &mut Vec<OutgoingDatagram>,
    ) -> Result<(), WireError> {
        self.budget.refill(now_ms);
        let cost_bytes = bytes.len() as u64 + UDP_OVERHEAD_BYTES;
        self.budget.spend(cost_bytes);
        self.counts.received_bytes += cost_bytes;
        let datagram = self.decoder.decode(now_ms, bytes)?;
        self.mark_seed_contacted(now_ms, from);
        let sender = datagram.header.sender.clone();
        let is_new_sender = self.needs_hello(now_ms, &sender);
        let missing = self.apply(now_ms, &datagram, events);
        self.emit_higher_revisions(now_ms, &datagram, events);
        self.send_requested_records(now_ms, from, &datagram.body.requested_ids, out);
        self.request_missing_records(now_ms, from, missing, out);
        if is_new_sender && self.budget.allows_reply() {
            self.send_hello(now_ms, from, &sender, out);
        } else if is_new_sender && self.budget.allows_short_reply() {
            self.send_short_hello(now_ms, from, out);
        }
        Ok(())
    }

    /// Appends the datagrams of a round to `out` if one is due.
    pub fn poll(&mut self, now_ms: Millis, out: &mut Vec<OutgoingDatagram>) {
        if now_ms < self.next_round_ms {
            return;
        }
        if !self.store.hosts.contains_key(&self.config.host) {
            self.next_round_ms = now_ms + NO_HEARTBEAT_RETRY_MS;
            return;
        }
        self.budget.refill(now_ms);
        self.send_urgent(now_ms, out);
        let is_overdue = now_ms - self.last_round_ms >= MAX_ROUND_INTERVAL_MS;
        if !self.budget.has_credit() && !is_overdue {
            let until_overdue_ms = self.last_round_ms + MAX_ROUND_INTERVAL_MS - now_ms;
            self.next_round_ms = now_ms + self.budget.wait_ms().min(until_overdue_ms);
            return;
        }
        self.store.remove_expired(now_ms);
        self.refresh_own_heartbeat(now_ms);
        if self.budget.has_credit() {
            self.send_round(now_ms, out);
        } else {
            self.send_overdue_round(now_ms, out);
        }
        self.counts.rounds += 1;
        self.last_round_ms = now_ms;
        let jitter_ms = Millis(self.rng.random_range(0..ROUND_INTERVAL_MS.0 / 4));
        self.next_round_ms = now_ms + ROUND_INTERVAL_MS + jitter_ms;
    }

    fn send_round(&mut self, now_ms: Millis, out: &mut Vec<OutgoingDatagram>) {
        let is_delegate = self.is_delegate(now_ms);
        self.send_to_region(now_ms, FANOUT, out);
        if is_delegate {
            self.send_to_other_regions(now_ms, CROSS_REGION_FANOUT, out);
        }
        self.contact_seeds(now_ms, is_delegate, out);
        self.probe_silent_host(now_ms, out);
    }

    /// Sends only one datagram, alternately within the region and to another one.
    fn send_overdue_round(&mut self, now_ms: Millis, out: &mut Vec<OutgoingDatagram>) {
        let is_cross_region_turn = self.counts.rounds.is_multiple_of(2);
        if is_cross_region_turn && self.is_delegate(now_ms) {
            self.send_to_other_regions(now_ms, 1, out);
        } else {
            self.send_to_region(now_ms, 1, out);
        }
    }

    fn mark_seed_contacted(&mut self, now_ms: Millis, from: SocketAddr) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == from) {
            seed.last_received_ms = Some(now_ms);
            seed.retry_interval_ms = SEED_RETRY_INTERVAL_MS;
        }
    }

    /// Whether the sender may not know this host. Hosts of other regions send rarely,
    /// so a long silence does not mean that they lost their state.
    fn needs_hello(&self, now_ms: Millis, sender: &HostId) -> bool {
        self.store.hosts.get(sender).is_none_or(|record| {
            let is_own_region = record.heartbeat.region == self.config.region;
            is_own_region && !record.is_live(now_ms)
        })
    }

    fn apply(
        &mut self,
        now_ms: Millis,
        datagram: &Datagram,
        events: &mut Vec<GossipEvent>,
    ) -> Vec<ShortId> {
        for record in &datagram.body.full_records {
            self.apply_full_record(now_ms, record, events);
        }
        let sent_ms = datagram.header.sent_ms;
        let mut missing = BTreeSet::new();
        for compact in &datagram.body.heartbeats {
            if self.is_own_host_id(compact.id) {
                continue;
            }
            let sequence = ticks_before(sent_ms, compact.age_ticks).0;
            let behind = compact.revision_lag.saturating_neg();
            let revision = Revision(datagram.body.revision.0.saturating_add_signed(behind));
            let known = self
                .store
                .apply_compact_heartbeat(now_ms, compact, sequence, revision, events);
            if known == IdLookup::NotFound {
                missing.insert(compact.id);
            }
        }
        for compact in &datagram.body.reports {
            let measured_ms = ticks_before(sent_ms, compact.age_ticks);
            if self
                .store
                .apply_compact_report(now_ms, compact, measured_ms, events)
                == IdLookup::NotFound
            {
                missing.insert(compact.id);
            }
        }
        for compact in &datagram.body.summaries {
            let made_ms = ticks_before(sent_ms, compact.age_ticks);
            let behind = compact.revision_lag.saturating_neg();
            let lowest = Revision(datagram.body.revision.0.saturating_add_signed(behind));
            if self.is_own_region_id(compact.id) {
                continue;
            }
            let known = self
                .store
                .apply_compact_summary(now_ms, compact, made_ms, lowest, events);
            if known == IdLookup::NotFound {
                missing.insert(compact.id);
            }
        }
        missing.into_iter().take(MAX_REQUESTED_IDS).collect()
    }

    fn is_own_region_id(&self, id: ShortId) -> bool {
        let own = self.store.summaries.get(&self.config.region);
        own.is_some_and(|own| own.id == id)
    }

    fn is_own_host_id(&self, id: ShortId) -> bool {
        let own = self.store.hosts.get(&self.config.host);
        own.is_some_and(|own| own.id == id)
    }

    fn apply_full_record(
        &mut self,
        now_ms: Millis,
        record: &FullRecord,
        events: &mut Vec<GossipEvent>,
    ) {
        match record {
            FullRecord::Heartbeat(heartbeat) if heartbeat.host == self.config.host => {}
            FullRecord::Heartbeat(heartbeat) => {
                let is_new = self
                    .store
                    .apply_heartbeat(now_ms, heartbeat.clone(), events);
                let is_own_region = heartbeat.region == self.config.region;
                if is_new && is_own_region && heartbeat.is_leaving {
                    self.urgent_rounds_left
                        .insert(RecordKey::Host(heartbeat.host.clone()), LEAVING_ROUNDS);
                    self.schedule_now_if(now_ms, true);
                }
            }
            FullRecord::Report(report) => self.apply_report(now_ms, report, events),
            FullRecord::Summary(summary) if summary.region == self.config.region => {}
            FullRecord::Summary(summary) => {
                self.store.apply_summary(now_ms, summary.clone(), events)
            }
        }
    }

    fn apply_report(
        &mut self,
        now_ms: Millis,
        report: &EndpointReport,
        events: &mut Vec<GossipEvent>,
    ) {
        let is_new = self.store.apply_report(now_ms, report.clone(), events);
        if is_new && report.is_leaving {
            self.urgent_rounds_left
                .insert(RecordKey::Endpoint(report.endpoint.clone()), LEAVING_ROUNDS);
            self.schedule_now_if(now_ms, true);
        }
    }

    /// Makes a round due immediately if there is something urgent to send.
    fn schedule_now_if(&mut self, now_ms: Millis, is_urgent: bool) {
        if is_urgent {
            self.next_round_ms = self.next_round_ms.min(now_ms);
        }
    }

    fn own_revision(&self) -> Revision {
        let own = self.store.hosts.get(&self.config.host);
        own.map_or(Revision(0), |own| own.heartbeat.revision)
    }

    fn emit_higher_revisions(
        &mut self,
        now_ms: Millis,
        datagram: &Datagram,
        events: &mut Vec<GossipEvent>,
    ) {
        let sender = self.store.hosts.get(&datagram.header.sender);
        let direct = sender.map(|record| RevisionSource {
            host: record.heartbeat.host.clone(),
            peer_address: record.heartbeat.peer_address,
            revision: datagram.body.revision,
        });
        let mut sources: Vec<RevisionSource> = direct.into_iter().collect();
        let from_full = datagram
            .body
            .full_records
            .iter()
            .filter_map(|record| match record {
                FullRecord::Summary(summary) => self.store.summaries.get(&summary.region),
                FullRecord::Heartbeat(_) | FullRecord::Report(_) => None,
            });
        let compact_summaries = datagram.body.summaries.iter();
        let from_compact =
            compact_summaries.filter_map(|compact| self.store.region_by_id(compact.id));
        for record in from_full.chain(from_compact) {
            let summary = &record.summary;
            let host = summary.hosts.iter().choose(&mut self.rng);
            sources.extend(host.map(|forward| RevisionSource {
                host: forward.host.clone(),
                peer_address: forward.peer_address,
                revision: summary.lowest_revision,
            }));
        }
        for source in sources {
            self.emit_if_higher(now_ms, source, events);
        }
    }

    fn emit_if_higher(
        &mut self,
        now_ms: Millis,
        source: RevisionSource,
        events: &mut Vec<GossipEvent>,
    ) {
        if source.revision <= self.own_revision() || source.host == self.config.host {
            return;
        }
        let emitted_ms = self.revision_event_times.get(&source.host);
        if emitted_ms.is_some_and(|emitted_ms| now_ms - *emitted_ms < REVISION_EVENT_INTERVAL_MS) {
            return;
        }
        if self.revision_event_times.len() >= MAX_REVISION_EVENT_TIMES {
            self.revision_event_times.clear();
        }
        self.revision_event_times
            .insert(source.host.clone(), now_ms);
        events.push(GossipEvent::HigherRevision(source));
    }

    fn send_requested_records(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        ids: &[ShortId],
        out: &mut Vec<OutgoingDatagram>,
    ) {
        self.refresh_own_heartbeat(now_ms);
        let mut builder = self.body_builder(now_ms);
        for id in ids.iter().take(MAX_REQUESTED_IDS) {
            let Some(record) = self.full_record_by_id(*id) else {
                continue;
            };
            if builder.push_full_record(record.clone()) {
                continue;
            }
            let full_builder = std::mem::replace(&mut builder, self.body_builder(now_ms));
            self.reply(now_ms, to, full_builder.body, out);
            builder.push_full_record(record);
        }
        if !builder.body.full_records.is_empty() {
            self.reply(now_ms, to, builder.body, out);
        }
    }

    fn full_record_by_id(&self, id: ShortId) -> Option<FullRecord> {
        let host = self.store.host_by_id(id);
        let endpoint = self.store.endpoint_by_id(id);
        let region = self.store.region_by_id(id);
        host.map(|record| FullRecord::Heartbeat(record.heartbeat.clone()))
            .or_else(|| endpoint.map(|record| FullRecord::Report(record.report.clone())))
            .or_else(|| region.map(|record| FullRecord::Summary(record.summary.clone())))
    }

    fn request_missing_records(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        missing: Vec<ShortId>,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        if missing.is_empty() || now_ms < self.next_record_request_ms {
            return;
        }
        self.next_record_request_ms = now_ms + RECORD_REQUEST_INTERVAL_MS;
        self.counts.requested_records += 1;
        let mut builder = self.body_builder(now_ms);
        if let Some(own) = self.own_full_record(now_ms) {
            builder.push_full_record(own);
        }
        builder.body.requested_ids = missing;
        self.reply(now_ms, to, builder.body, out);
    }

    fn send_hello(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        sender: &HostId,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let record = self.store.hosts.get(sender);
        let Some(region) = record.map(|record| record.heartbeat.region.clone()) else {
            return;
        };
        self.refresh_own_heartbeat(now_ms);
        let body = if region == self.config.region {
            let mut body = self.region_body(now_ms);
            self.prepend_own_heartbeat(now_ms, &mut body);
            body
        } else {
            self.hello_body(now_ms)
        };
        self.reply(now_ms, to, body, out);
    }

    /// Sends the heartbeats of a few other hosts, so that a new host contacts them
    /// while this one is over its budget. Without it, hosts that all started with the
    /// same seed overloaded it, and some knew no other host after 15 s.
    fn send_short_hello(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let mut body = self.hello_body(now_ms);
        let hosts = self.region_hosts(now_ms);
        let others = hosts
            .iter()
            .filter(|record| record.heartbeat.peer_address != to)
            .map(|record| FullRecord::Heartbeat(record.heartbeat.clone()));
        let named: Vec<FullRecord> = others.collect();
        let mut rng = self.rng.clone();
        body.full_records
            .extend(named.into_iter().sample(&mut rng, SHORT_HELLO_HOSTS));
        self.rng = rng;
        self.send(now_ms, to, body, out);
    }

    /// Adds this host's heartbeat, without which the receiver may not know it and
    /// its address.
    fn prepend_own_heartbeat(&mut self, now_ms: Millis, body: &mut DatagramBody) {
        let has_own_heartbeat = body.full_records.iter().any(
            |record| matches!(record, FullRecord::Heartbeat(heartbeat) if heartbeat.host == self.config.host),
        );
        let Some(own) = self.own_full_record(now_ms).filter(|_| !has_own_heartbeat) else {
            return;
        };
        // Reports come last and are the least useful part for a new host.
        let own_bytes = postcard::to_allocvec(&own).map_or(0, |bytes| bytes.len());
        let dropped = own_bytes.div_ceil(8);
        body.reports
            .truncate(body.reports.len().saturating_sub(dropped));
        body.full_records.truncate(4);
        body.full_records.insert(0, own);
    }

    fn reply(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        body: DatagramBody,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        if self.budget.allows_reply() {
            self.send(now_ms, to, body, out);
        }
    }

    fn send(
        &mut self,
        now_ms: Millis,
        to: SocketAddr,
        body: DatagramBody,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        match self.encoder.encode(now_ms, body) {
            Ok(bytes) => {
                let cost_bytes = bytes.len() as u64 + UDP_OVERHEAD_BYTES;
                self.budget.spend(cost_bytes);
                self.counts.sent_bytes += cost_bytes;
                out.push(OutgoingDatagram { to, bytes });
            }
            Err(error) => tracing::error!(%error, "could not encode a datagram; it is not sent"),
        }
    }

    fn refresh_own_heartbeat(&mut self, now_ms: Millis) {
        if let Some(own) = self.store.hosts.get_mut(&self.config.host) {
            let sequence = tick_floor(now_ms).0;
            if sequence > own.newest_sequence {
                own.newest_sequence = sequence;
                own.compact_sends = 0;
            }
            own.heartbeat.sequence = own.newest_sequence;
            own.last_received_ms = now_ms;
        }
    }

    fn own_full_record(&mut self, now_ms: Millis) -> Option<FullRecord> {
        self.refresh_own_heartbeat(now_ms);
        let own = self.store.hosts.get(&self.config.host)?;
        Some(FullRecord::Heartbeat(own.heartbeat.clone()))
    }

    fn region_hosts(&self, now_ms: Millis) -> Vec<&HostRecord> {
        let hosts = self.store.hosts.values();
        hosts
            .filter(|record| record.heartbeat.region == self.config.region)
            .filter(|record| record.is_live(now_ms))
            .collect()
    }

    /// Whether this host sends to other regions.
    fn is_delegate(&self, now_ms: Millis) -> bool {
        let region = self.config.region.as_str();
        let rank = |host: &HostId| rendezvous_rank(region, host.as_str());
        let own_rank = rank(&self.config.host);
        let hosts = self.region_hosts(now_ms);
        let higher_ranked = hosts
            .iter()
            .filter(|record| !record.heartbeat.is_leaving)
            .filter(|record| rank(&record.heartbeat.host) > own_rank);
        higher_ranked.count() < DELEGATES_PER_REGION
    }

    fn region_targets(&mut self, now_ms: Millis, fanout: usize) -> Vec<SocketAddr> {
        let mut targets: Vec<SocketAddr> = self
            .region_hosts(now_ms)
            .iter()
            .filter(|record| record.heartbeat.host != self.config.host)
            .map(|record| record.heartbeat.peer_address)
            .collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(fanout);
        targets
    }

    fn send_to_region(&mut self, now_ms: Millis, fanout: usize, out: &mut Vec<OutgoingDatagram>) {
        for to in self.region_targets(now_ms, fanout) {
            let body = self.region_body(now_ms);
            self.send(now_ms, to, body, out);
        }
    }

    /// Announces leaving hosts and endpoints and a higher revision immediately, in
    /// small datagrams of their own.
    fn send_urgent(&mut self, now_ms: Millis, out: &mut Vec<OutgoingDatagram>) {
        let has_leaving = !self.urgent_rounds_left.is_empty();
        if !(has_leaving || self.is_revision_urgent) || !self.budget.allows_reply() {
            return;
        }
        self.refresh_own_heartbeat(now_ms);
        let keys: Vec<RecordKey> = self.urgent_rounds_left.keys().cloned().collect();
        self.urgent_rounds_left.retain(|_, rounds| {
            *rounds -= 1;
            *rounds > 0
        });
        let is_revision_urgent = std::mem::take(&mut self.is_revision_urgent);
        let fanout = if has_leaving {
            LEAVING_FANOUT
        } else {
            REVISION_FANOUT
        };
        let mut builder = self.body_builder(now_ms);
        if let Some(own_heartbeat) = self.own_compact_heartbeat(now_ms) {
            builder.push_heartbeat(own_heartbeat);
        }
        for key in &keys {
            self.add_full_record(now_ms, key, &mut builder);
        }
        for to in self.region_targets(now_ms, fanout) {
            self.send(now_ms, to, builder.body.clone(), out);
        }
        if is_revision_urgent && self.is_delegate(now_ms) {
            let body = self.cross_region_builder(now_ms).body;
            for (_, to) in self.cross_region_targets(now_ms, REVISION_FANOUT) {
                self.send(now_ms, to, body.clone(), out);
            }
        }
    }

    fn body_builder(&self, now_ms: Millis) -> BodyBuilder {
        BodyBuilder::new(self.encoder.max_body_bytes(now_ms), self.own_revision())
    }

    fn region_body(&mut self, now_ms: Millis) -> DatagramBody {
        let mut builder = self.body_builder(now_ms);
        let shortened = MAX_DATAGRAM_BYTES - MAX_REGION_DATAGRAM_BYTES;
        builder.free_bytes = builder.free_bytes.saturating_sub(shortened);
        self.add_full_records(now_ms, &mut builder);
        self.add_heartbeats(now_ms, &mut builder);
        let reserved = builder.free_bytes * (100 - SUMMARIES_SHARE_PERCENT) / 100;
        self.add_summaries(now_ms, None, reserved, &mut builder);
        self.add_reports(now_ms, &mut builder);
        builder.body
    }

    fn candidates(&self, now_ms: Millis) -> Vec<Candidate> {
        let hosts = self.region_hosts(now_ms).into_iter().map(|r| Candidate {
            is_not_leaving: !(r.heartbeat.is_leaving && r.full_sends_left > 0),
            full_sends_left: Reverse(r.full_sends_left),
            full_last_sent_ms: r.full_last_sent_ms,
            key: RecordKey::Host(r.heartbeat.host.clone()),
        });
        let endpoints = self.store.endpoints.values().map(|r| Candidate {
            is_not_leaving: !(r.report.is_leaving && r.full_sends_left > 0),
            full_sends_left: Reverse(r.full_sends_left),
            full_last_sent_ms: r.full_last_sent_ms,
            key: RecordKey::Endpoint(r.report.endpoint.clone()),
        });
        let others = self.store.summaries.values();
        let summaries = others
            .filter(|r| r.summary.region != self.config.region)
            .map(|r| Candidate {
                is_not_leaving: true,
                full_sends_left: Reverse(r.full_sends_left),
                full_last_sent_ms: r.full_last_sent_ms,
                key: RecordKey::Summary(r.summary.region.clone()),
            });
        hosts.chain(endpoints).chain(summaries).collect()
    }

    /// Adds changed full records, and the unchanged one that was sent least recently.
    fn add_full_records(&mut self, now_ms: Millis, builder: &mut BodyBuilder) {
        let mut candidates = self.candidates(now_ms);
        candidates.sort_unstable();
        let reserved = builder.free_bytes * (100 - FULL_RECORDS_SHARE_PERCENT) / 100;
        for candidate in candidates {
            if builder.free_bytes <= reserved {
                return;
            }
            let is_unchanged = candidate.full_sends_left.0 == 0;
            if is_unchanged && now_ms < self.next_refresh_ms {
                return;
            }
            self.add_full_record(now_ms, &candidate.key, builder);
            if is_unchanged {
                self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
                return;
            }
        }
    }

    fn add_full_record(&mut self, now_ms: Millis, key: &RecordKey, builder: &mut BodyBuilder) {
        match key {
            RecordKey::Host(host) => {
                if let Some(r) = self.store.hosts.get_mut(host)
                    && builder.push_full_record(FullRecord::Heartbeat(r.heartbeat.clone()))
                {
                    r.full_sends_left = r.full_sends_left.saturating_sub(1);
                    r.full_last_sent_ms = now_ms;
                }
            }
            RecordKey::Endpoint(endpoint) => {
                if let Some(r) = self.store.endpoints.get_mut(endpoint)
                    && builder.push_full_record(FullRecord::Report(r.report.clone()))
                {
                    r.full_sends_left = r.full_sends_left.saturating_sub(1);
                    r.full_last_sent_ms = now_ms;
                }
            }
            RecordKey::Summary(region) => {
                if let Some(r) = self.store.summaries.get_mut(region)
                    && builder.push_full_record(FullRecord::Summary(r.summary.clone()))
                {
                    r.full_sends_left = r.full_sends_left.saturating_sub(1);
                    r.full_last_sent_ms = now_ms;
                }
            }
        }
    }

    fn compact_heartbeat(&self, now_ms: Millis, record: &HostRecord) -> CompactHeartbeat {
        let own = self.own_revision().0;
        CompactHeartbeat {
            id: record.id,
            age_ticks: ticks_behind(now_ms, Millis(record.newest_sequence)),
            revision_lag: own.wrapping_sub(record.heartbeat.revision.0) as i64,
            open_requests: record.heartbeat.open_requests,
        }
    }

    fn own_compact_heartbeat(&self, now_ms: Millis) -> Option<CompactHeartbeat> {
        let own = self.store.hosts.get(&self.config.host)?;
        Some(self.compact_heartbeat(now_ms, own))
    }

    /// Adds compact heartbeats, least often sent first and newest first among equals.
    ///
    /// Newest first alone would never relay a host that sends rarely because it is
    /// over its budget.
    fn add_heartbeats(&mut self, now_ms: Millis, builder: &mut BodyBuilder) {
        let mut records = self.region_hosts(now_ms);
        records.retain(|record| now_ms - record.last_received_ms <= MAX_RELAYED_HEARTBEAT_AGE_MS);
        records.sort_by_key(|record| {
            let surplus_sends = record.compact_sends.saturating_sub(EXTRA_HEARTBEAT_SENDS);
            (surplus_sends, Reverse(record.newest_sequence))
        });
        let heartbeats = records
            .iter()
            .map(|record| self.compact_heartbeat(now_ms, record));
        let hosts = records.iter().map(|record| record.heartbeat.host.clone());
        let candidates: Vec<(HostId, CompactHeartbeat)> = hosts.zip(heartbeats).collect();
        let reserved = builder.free_bytes * (100 - HEARTBEATS_SHARE_PERCENT) / 100;
        for (host, heartbeat) in candidates {
            if builder.free_bytes <= reserved || !builder.push_heartbeat(heartbeat) {
                return;
            }
            if let Some(record) = self.store.hosts.get_mut(&host) {
                record.compact_sends += 1;
            }
        }
    }

    fn add_reports(&mut self, now_ms: Millis, builder: &mut BodyBuilder) {
        let mut records: Vec<_> = self.store.endpoints.values_mut().collect();
        records.sort_by_key(|record| {
            let surplus_sends = record.compact_sends.saturating_sub(EXTRA_REPORT_SENDS);
            (surplus_sends, Reverse(record.report.measured_ms))
        });
        for record in records {
            let compact = CompactReport {
                id: record.id,
                age_ticks: ticks_behind(now_ms, record.report.measured_ms),
                running: record.report.running,
                waiting: record.report.waiting,
                cache_permille: record.report.cache_permille,
            };
            if !builder.push_report(compact) {
                return;
            }
            record.compact_sends += 1;
        }
    }

    fn send_to_other_regions(
        &mut self,
        now_ms: Millis,
        fanout: usize,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        for (region, to) in self.cross_region_targets(now_ms, fanout) {
            let body = self.cross_region_body(now_ms, &region);
            self.send(now_ms, to, body, out);
        }
    }

    /// Returns one random host of each of a few random other regions.
    fn cross_region_targets(
        &mut self,
        now_ms: Millis,
        fanout: usize,
    ) -> Vec<(RegionId, SocketAddr)> {
        let known = self.cross_region_addresses(now_ms);
        let chosen = known.into_iter().sample(&mut self.rng, fanout);
        let mut targets = Vec::with_capacity(chosen.len());
        for (region, addresses) in chosen {
            let to = addresses.iter().choose(&mut self.rng).copied();
            targets.extend(to.map(|to| (region, to)));
        }
        targets
    }

    /// Returns the addresses of hosts of other regions, from summaries and heartbeats.
    fn cross_region_addresses(&self, now_ms: Millis) -> BTreeMap<RegionId, Vec<SocketAddr>> {
        let mut targets: BTreeMap<RegionId, Vec<SocketAddr>> = BTreeMap::new();
        let summaries = self.store.summaries.values().map(|record| &record.summary);
        for summary in summaries.filter(|summary| summary.region != self.config.region) {
            let addresses = summary.hosts.iter().map(|forward| forward.peer_address);
            let known = targets.entry(summary.region.clone()).or_default();
            known.extend(addresses);
        }
        let known_hosts = self.store.hosts.values();
        let known_hosts =
            known_hosts.filter(|record| record.heartbeat.region != self.config.region);
        for record in known_hosts.filter(|record| record.is_live(now_ms)) {
            let known = targets.entry(record.heartbeat.region.clone()).or_default();
            known.push(record.heartbeat.peer_address);
        }
        targets.retain(|_, addresses| !addresses.is_empty());
        targets
    }

    /// Builds a body with this host and compact summaries of its region and of all
    /// others but `target`.
    fn cross_region_body(&mut self, now_ms: Millis, target: &RegionId) -> DatagramBody {
        let mut builder = self.cross_region_builder(now_ms);
        self.add_summaries(now_ms, Some(target), 0, &mut builder);
        builder.body
    }

    /// Builds a body with this host and its region in full, for a host that may know
    /// neither.
    fn hello_body(&mut self, now_ms: Millis) -> DatagramBody {
        let mut builder = self.cross_region_builder(now_ms);
        if let Some(own) = self.store.summaries.get(&self.config.region) {
            builder.push_full_record(FullRecord::Summary(own.summary.clone()));
        }
        builder.body
    }

    fn cross_region_builder(&mut self, now_ms: Millis) -> BodyBuilder {
        let mut builder = self.body_builder(now_ms);
        if let Some(own) = self.own_full_record(now_ms) {
            builder.push_full_record(own);
        }
        builder
    }

    /// Adds compact summaries, least often sent first, and leaves `reserved` bytes
    /// free.
    ///
    /// The summary of the own region is added first, and only to datagrams to other
    /// regions.
    fn add_summaries(
        &mut self,
        now_ms: Millis,
        target: Option<&RegionId>,
        reserved: usize,
        builder: &mut BodyBuilder,
    ) {
        let own_region = &self.config.region;
        let is_cross_region = reserved == 0;
        let records = self.store.summaries.values_mut().filter(|record| {
            let region = &record.summary.region;
            Some(region) != target && (is_cross_region || region != own_region)
        });
        let mut records: Vec<_> = records.collect();
        records.sort_by_key(|record| {
            let is_other = record.summary.region != *own_region;
            let made_ms = Reverse(record.summary.made_ms);
            (is_other, record.compact_sends, made_ms)
        });
        let own_revision = builder.body.revision.0;
        for record in records {
            let summary = &record.summary;
            let compact = CompactSummary {
                id: record.id,
                age_ticks: ticks_behind(now_ms, summary.made_ms),
                revision_lag: own_revision.wrapping_sub(summary.lowest_revision.0) as i64,
                busy: summary.capacity.iter().map(|c| c.busy).collect(),
            };
            if builder.free_bytes <= reserved || !builder.push_summary(compact) {
                return;
            }
            record.compact_sends += 1;
        }
    }

    /// Sends a probe to a silent host of the region, so that parts of a region that
    /// were partitioned for long enough to forget each other connect again.
    ///
    /// The hosts of a region together probe four times a second, whatever their
    /// number. With one probe a second by each host, a host that was over its budget
    /// stayed over it.
    fn probe_silent_host(&mut self, now_ms: Millis, out: &mut Vec<OutgoingDatagram>) {
        if now_ms < self.next_probe_ms {
            return;
        }
        let live = self.region_hosts(now_ms).len() as u64;
        self.next_probe_ms =
            now_ms + Millis(live * REGION_PROBE_INTERVAL_MS.0).max(MIN_HOST_PROBE_INTERVAL_MS);
        let hosts = self.store.hosts.values();
        let silent = hosts
            .filter(|record| record.heartbeat.region == self.config.region)
            .filter(|record| !record.is_live(now_ms) && !record.heartbeat.is_leaving)
            .map(|record| (record.heartbeat.peer_address, record.id))
            .choose(&mut self.rng);
        if let Some((to, id)) = silent {
            let mut body = self.hello_body(now_ms);
            body.requested_ids.push(id);
            self.send(now_ms, to, body, out);
        }
    }

    fn contact_seeds(
        &mut self,
        now_ms: Millis,
        is_delegate: bool,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let known: BTreeSet<SocketAddr> = self
            .region_hosts(now_ms)
            .iter()
            .map(|record| record.heartbeat.peer_address)
            .collect();
        // This host is one of the known ones.
        let is_isolated = known.len() <= 1;
        let max_retry_interval_ms = if is_isolated {
            MAX_ISOLATED_RETRY_INTERVAL_MS
        } else {
            MAX_SEED_RETRY_INTERVAL_MS
        };
        let mut due = Vec::new();
        for seed in &mut self.seeds {
            if known.contains(&seed.address) {
                seed.last_received_ms = Some(now_ms);
            }
            if seed.is_due(now_ms, is_delegate) {
                seed.next_contact_ms = now_ms + seed.retry_interval_ms;
                seed.retry_interval_ms =
                    Millis(seed.retry_interval_ms.0 * 2).min(max_retry_interval_ms);
                due.push(seed.address);
            }
        }
        for to in due {
            let body = self.hello_body(now_ms);
            self.send(now_ms, to, body, out);
        }
    }
}
