//! State of one endpoint: its announcement, its load, and how it responds.
//!
//! Load is computed from this host's own requests, from the reports of the other
//! hosts of the region, and from the load that responses carry. Speed and health
//! are derived from responses alone, because announcements and health checks can
//! be wrong.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    bound::{
        Bound,
        Room, //
    },
    configuration::Service,
    endpoint_limit::KnownLimit,
    endpoint_start::{
        EndSign,
        StartDoubt,
        StartTime, //
    },
    load_updates::SentPrompt,
    permits::HeldPermits,
    request::{
        EndpointLoad,
        RequestMetadata, //
    },
    request_rate::RequestRate,
    software_version::SoftwareVersion,
    stated_slowness::{
        SlownessEstimate,
        StatedSlowness, //
    },
    stream_pace::{
        Pace,
        PaceMeter, //
    }, //
};
use crate::types::{
    Tokens,
    hex_id, //
};

/// Weight of a new observation in a moving average.
const EWMA_WEIGHT: f64 = 0.15;
/// First block after a failure to reach an endpoint; each further one doubles it.
const INITIAL_BLOCK_MS: u64 = 500;
/// Longest block. An endpoint renews its announcement about every second, so a
/// longer block would outlast the information in it.
const MAX_BLOCK_MS: u64 = 4_000;
/// Consecutive failures after the connection was made that block an endpoint.
const FAILURES_TO_BLOCK: u32 = 3;
/// Age at which a load that a response carried is no longer used.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Time constant of the moving sum of prefilled tokens: the duration of a stream.
const PREFILL_DECAY_MS: f64 = 2_000.0;
/// Prompt parts remembered for one endpoint; the least recently used are dropped
/// first.
const MAX_PARTS: usize = 512;
/// Limits of the slowness, so that one observation cannot exclude an endpoint
/// permanently.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);

/// Longest cold time that is believed, whoever states it: many times that of any endpoint.
const MAX_COLD_MS: u64 = 60 * 60 * 1_000;
/// Time in which the load updates about a send reach all hosts of a large region.
const UNSEEN_SEND_MS: u64 = 100;
/// Pause of all hosts after a brittle endpoint turned a request away, relative to the mean time
/// between those that it can turn away.
const FULL_PAUSE_FACTOR: f64 = 1.5;
/// Longest such pause, in milliseconds.
const MAX_FULL_PAUSE_MS: f64 = 1_500.0;
/// Time after a sign that an endpoint has ended in which requests wait for what a check says:
/// several round trips to it.
const START_CHECK_MS: u64 = 250;
/// Time for which it is remembered that the start of an endpoint without an entry is in doubt:
/// longer than outages of the store in which entries lapse.
const FORMER_DOUBT_MS: u64 = 60_000;
/// Pause after an endpoint refused a request for lack of capacity.
const SHED_PAUSE_MS: u64 = 60;
/// Largest backlog inside one endpoint. It is enough to keep the endpoint busy
/// until this host has received a response and sent the next request.
const MAX_BACKLOG_MS: f64 = 500.0;
/// Time over which the streams at an endpoint may be delayed by what they are ahead of the pace
/// goal: that of the moving pace.
const PACE_HORIZON_MS: f64 = 1_000.0;
/// Share of its time that an engine may spend on prefill, however slow its streams are.
const MIN_PREFILL_SHARE: f64 = 0.5;
/// Largest share of its time that an engine is expected to spend on prefill.
pub const MAX_PREFILL_SHARE: f64 = 0.9;
/// Most shared parts of running requests that are remembered for one endpoint: more than its
/// memory holds beside the prompts that use them.
const MAX_USED_PARTS: usize = 24;
/// Longest prompt that counts as short: two prefill chunks of a batching engine.
const SHORT_PROMPT_TOKENS: u64 = 2_048;

hex_id!(
    /// Hash of an endpoint's id, which identifies it in packets between hosts.
    EndpointHash,
    u32,
    "endpoint hash",
    "{:08x}",
    "up to 8 hexadecimal digits"
);

impl EndpointHash {
    /// Returns the hash of an endpoint's id.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// State that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint is shutting down and accepts no new requests.
    Draining,
}

/// What an endpoint announces about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// Its service.
    pub service: CompactString,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Version of its software.
    pub software_version: SoftwareVersion,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub stage: Stage,
    /// Time for which it stays cold.
    pub cold_left_ms: u64,
    /// Time until it ends, if it was asked to shut down at short notice.
    pub remaining_ms: Option<u64>,
    /// Place among all announcements under its id.
    pub order: AnnouncementOrder,
}

/// Place of an announcement among those of an endpoint and of its earlier instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct AnnouncementOrder {
    /// Unix time of the endpoint's start, which distinguishes its instances.
    pub started_ms: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
}

/// How a request failed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Unreachable,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The endpoint responded with an error.
    Error,
    /// The endpoint reported that it did not run the request.
    Shed,
    /// Another endpoint listens at the address.
    Replaced,
}

/// Load that one or more hosts place at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadShare {
    /// Requests in progress.
    pub active: u32,
    /// Prompt tokens of requests without a first event.
    pub backlog_tokens: u64,
    /// Engine memory that all requests in progress reserve, in tokens.
    pub reserved_tokens: u64,
}

impl LoadShare {
    /// Adds another share.
    pub fn add(&mut self, other: LoadShare) {
        self.active = self.active.saturating_add(other.active);
        self.backlog_tokens = self.backlog_tokens.saturating_add(other.backlog_tokens);
        self.reserved_tokens = self.reserved_tokens.saturating_add(other.reserved_tokens);
    }
}

/// What an endpoint states about itself in responses; holds until its next start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statements {
    /// It is leaving and is to get no new requests.
    pub is_leaving: bool,
    /// Until then it wants no requests from this host.
    pub unwanted_until_ms: u64,
    /// Its limit on requests from all hosts.
    pub limit: KnownLimit,
    /// Requests a second that it can turn away without falling over.
    pub brittle: KnownLimit,
}

/// What holds for an endpoint that is no longer announced until its next start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FormerEndpoint {
    /// Unix time of its start in milliseconds.
    pub started_ms: u64,
    /// What it stated.
    statements: Statements,
    cold_until_ms: u64,
    start_doubt: Option<StartDoubt>,
}

impl FormerEndpoint {
    /// Returns what holds for an endpoint.
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            started_ms: endpoint.announcement.order.started_ms,
            statements: endpoint.statements,
            cold_until_ms: endpoint.cold_until_ms,
            start_doubt: endpoint.start_doubt,
        }
    }

    /// Returns whether it says more than a new announcement would.
    pub fn is_remembered(&self, now_ms: u64) -> bool {
        let is_doubt_recent = |doubt: StartDoubt| now_ms < doubt.signed_ms() + FORMER_DOUBT_MS;
        self.statements != Statements::default()
            || now_ms < self.cold_until_ms
            || self.start_doubt.is_some_and(is_doubt_recent)
    }
}

/// A prompt part that an endpoint has prefilled or will soon have prefilled.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    /// Value of [`Endpoint::total_reserved_tokens`] at its last use.
    last_used_at_tokens: u64,
    /// When the endpoint has prefilled it.
    prefilled_at_ms: u64,
}

/// A shared prompt part that requests at an endpoint used lately.
#[derive(Debug, Clone, Copy)]
struct UsedPart {
    part: u64,
    tokens: u64,
    used_ms: u64,
}

/// An endpoint with this host's view of its load, speed and health.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Id under which it is announced.
    pub id: CompactString,
    /// Hash of the id.
    pub hash: EndpointHash,
    /// Latest announcement.
    pub announcement: Announcement,
    /// Region of its data centre.
    pub region: CompactString,
    /// When its announcement ends; afterwards it gets no new requests.
    withdrawn_at_ms: Option<u64>,
    /// Load of this host's requests.
    pub own_load: LoadShare,
    /// Load that the other hosts of the region report.
    pub peer_load: LoadShare,
    /// What it states about itself in responses.
    pub statements: Statements,
    /// Permits to send to it while it names a limit.
    pub permits: HeldPermits,
    /// Rate of requests from all hosts while it is cold; none if its service sets none.
    pub cold_rate: Option<RequestRate>,
    /// Requests that it runs at the same time, if its service sets that.
    pub service_slots: Option<u32>,
    /// Its service has streams that may go on at another endpoint.
    pub has_resumable_streams: bool,
    /// Live hosts of its region.
    host_count: u32,
    /// Time at which each of these last saw room for a request.
    spacious_ms: u64,
    /// Times of this host's latest sends, which other hosts may not know of.
    recent_sends_ms: VecDeque<u64>,
    cold_until_ms: u64,
    /// Doubt whether it is the start that it announced; none if it is.
    start_doubt: Option<StartDoubt>,
    /// Time at which the announced start was last known to live, after a doubt.
    proven_alive_ms: Option<u64>,
    /// Latest load from a response, with the time at which it arrived.
    reported: Option<(u64, EndpointLoad)>,
    /// Pace of this host's streams there.
    pub pace: PaceMeter,
    slowness: f64,
    /// What it states about its slowness.
    stated_slowness: StatedSlowness,
    error_rate: f64,
    consecutive_failures: u32,
    blocked_until_ms: u64,
    next_block_ms: u64,
    /// After a block, only one request is sent at a time until one succeeds.
    is_probing: bool,
    parts: HashMap<u64, CachedPart>,
    /// Shared parts that its requests use; at most [`MAX_USED_PARTS`].
    used_parts: Vec<UsedPart>,
    /// Prompt tokens that all hosts sent recently; decays exponentially with
    /// [`PREFILL_DECAY_MS`].
    recent_prefill_tokens: f64,
    recent_prefill_at_ms: u64,
    /// Engine memory that requests of all hosts have reserved so far, in tokens;
    /// never decreases, and serves as the clock of cache eviction.
    total_reserved_tokens: u64,
}

impl Endpoint {
    /// Creates the state of an endpoint that was just announced.
    pub fn new(
        id: CompactString,
        region: CompactString,
        announcement: Announcement,
        now_ms: u64,
    ) -> Self {
        Self {
            hash: EndpointHash::new(&id),
            id,
            region,
            cold_until_ms: now_ms + announcement.cold_left_ms.min(MAX_COLD_MS),
            announcement,
            withdrawn_at_ms: None,
            statements: Statements::default(),
            permits: HeldPermits::default(),
            own_load: LoadShare::default(),
            peer_load: LoadShare::default(),
            cold_rate: None,
            service_slots: None,
            has_resumable_streams: false,
            start_doubt: None,
            proven_alive_ms: None,
            host_count: 1,
            spacious_ms: now_ms,
            recent_sends_ms: VecDeque::new(),
            reported: None,
            pace: PaceMeter::default(),
            slowness: 1.0,
            stated_slowness: StatedSlowness::default(),
            error_rate: 0.0,
            consecutive_failures: 0,
            blocked_until_ms: 0,
            next_block_ms: INITIAL_BLOCK_MS,
            is_probing: false,
            parts: HashMap::new(),
            used_parts: Vec::new(),
            recent_prefill_tokens: 0.0,
            recent_prefill_at_ms: 0,
            total_reserved_tokens: 0,
        }
    }

    /// Applies a newer announcement.
    ///
    /// A restarted endpoint keeps no state, so what was learned about it is
    /// dropped.
    pub fn apply_announcement(&mut self, announcement: Announcement, now_ms: u64) {
        let is_restarted = announcement.order.started_ms != self.announcement.order.started_ms
            || announcement.address != self.announcement.address;
        if is_restarted {
            let former = FormerEndpoint::new(self);
            let is_same_start = announcement.order.started_ms == former.started_ms;
            self.forget_learned(announcement, now_ms);
            match is_same_start {
                true => self.restore(&former),
                false => {
                    self.statements.limit = KnownLimit::new(now_ms);
                    self.statements.brittle = KnownLimit::new(now_ms);
                    self.start_doubt = former.start_doubt.and_then(StartDoubt::after_announcement);
                    // A host may have learned of the start before it was announced.
                    if former.start_doubt.is_some() {
                        self.cold_until_ms = self.cold_until_ms.max(former.cold_until_ms);
                    }
                }
            }
            return;
        }
        self.withdrawn_at_ms = None;
        if announcement.cold_left_ms > 0 {
            self.set_cold(announcement.cold_left_ms, now_ms);
        }
        self.announcement = announcement;
    }

    /// Drops what was learned from the responses of a start, but for this host's own load.
    fn forget_learned(&mut self, announcement: Announcement, now_ms: u64) {
        let fresh = Self::new(self.id.clone(), self.region.clone(), announcement, now_ms);
        *self = Self {
            own_load: self.own_load,
            cold_rate: self.cold_rate,
            service_slots: self.service_slots,
            has_resumable_streams: self.has_resumable_streams,
            host_count: self.host_count,
            ..fresh
        };
    }

    /// Unix time of the announced start.
    pub fn start(&self) -> StartTime {
        StartTime(self.announcement.order.started_ms)
    }

    /// Returns the doubt whether it is the start that it announced, if there is one.
    pub fn start_doubt(&self) -> Option<&StartDoubt> {
        self.start_doubt.as_ref()
    }

    /// Returns that doubt for changes.
    pub fn start_doubt_mut(&mut self) -> Option<&mut StartDoubt> {
        self.start_doubt.as_mut()
    }

    /// Returns whether it is the announced start, as far as this host can know.
    pub fn is_start_known(&self) -> bool {
        !self.start_doubt.is_some_and(|doubt| doubt.has_sign())
    }

    /// Returns whether it matters which start it is: another one may be cold, or write streams of
    /// another version.
    pub fn depends_on_start(&self) -> bool {
        self.cold_rate.is_some() || self.has_resumable_streams
    }

    /// Applies a sign that the announced start has ended.
    pub fn add_end_sign(&mut self, sign: EndSign) {
        match &mut self.start_doubt {
            Some(doubt) => doubt.add_sign(sign),
            None => self.start_doubt = Some(StartDoubt::new(sign)),
        }
        // Permits of before were for the announced start.
        if self.cold_rate.is_some() {
            self.permits = HeldPermits::default();
        }
    }

    /// Begins the doubt of a host that has just started.
    pub fn doubt_until(&mut self, lapses_ms: u64, now_ms: u64) {
        self.start_doubt = Some(StartDoubt::of_new_host(lapses_ms, now_ms));
    }

    /// Ends the doubt, because the announced start lived at `alive_ms`.
    pub fn settle_start(&mut self, alive_ms: u64) {
        self.start_doubt = None;
        self.proven_alive_ms = self.proven_alive_ms.max(Some(alive_ms));
    }

    /// Returns whether the announced start lived after a time.
    pub fn is_proven_alive_since(&self, at_ms: u64) -> bool {
        self.proven_alive_ms
            .is_some_and(|alive_ms| alive_ms >= at_ms)
    }

    /// Records that a process listens that is not the announced start, whose own announcement
    /// this host has not read.
    pub fn record_other_start(&mut self, cold_left_ms: u64, now_ms: u64) {
        let (doubt, former) = (self.start_doubt, FormerEndpoint::new(self));
        let withdrawn_at_ms = self.withdrawn_at_ms;
        let announcement = Announcement {
            cold_left_ms: 0,
            ..self.announcement.clone()
        };
        self.forget_learned(announcement, now_ms);
        self.restore(&former);
        self.withdrawn_at_ms = withdrawn_at_ms;
        self.start_doubt = Some(doubt.unwrap_or(StartDoubt::new(EndSign::new(now_ms))));
        self.set_cold(cold_left_ms, now_ms);
        if let Some(doubt) = &mut self.start_doubt {
            doubt.record_other_start();
            doubt.record_cold_time();
        }
    }

    /// Records how long the process that listens stays cold, whichever start it is.
    pub fn record_listening(&mut self, cold_left_ms: u64, now_ms: u64) {
        self.set_cold(cold_left_ms, now_ms);
        if let Some(doubt) = &mut self.start_doubt {
            doubt.record_cold_time();
        }
    }

    /// Returns whether the process that listens may be cold without this host's knowledge.
    pub fn may_be_cold(&self) -> bool {
        let is_unknown = |doubt: StartDoubt| !doubt.is_cold_time_known();
        self.cold_rate.is_some() && self.start_doubt.is_some_and(is_unknown)
    }

    /// Returns whether it is about to be known whether the process that listens is cold.
    fn is_cold_time_due(&self, now_ms: u64) -> bool {
        let is_recent = |doubt: StartDoubt| now_ms < doubt.signed_ms() + START_CHECK_MS;
        self.may_be_cold() && self.start_doubt.is_some_and(is_recent)
    }

    /// Predicts the time until there is a permit, or none is needed any more.
    pub fn permit_due_in_ms(&self, now_ms: u64) -> f64 {
        match self.is_cold_time_due(now_ms) {
            true => 0.0,
            false => self.permits.due_in_ms(now_ms),
        }
    }

    /// Returns the time between two permits; none if it is not known, or if none may be needed
    /// soon.
    pub fn permit_interval_ms(&self, now_ms: u64) -> Option<f64> {
        let interval_ms = self.permits.interval_ms(now_ms);
        interval_ms.filter(|_| !self.is_cold_time_due(now_ms))
    }

    /// Applies what was known of this start of the endpoint before.
    pub fn restore(&mut self, former: &FormerEndpoint) {
        self.statements = former.statements;
        self.start_doubt = former.start_doubt;
        self.cold_until_ms = self.cold_until_ms.max(former.cold_until_ms);
    }

    /// Records that the endpoint stays cold for at least `left_ms`.
    pub fn set_cold(&mut self, left_ms: u64, now_ms: u64) {
        let until_ms = now_ms + left_ms.min(MAX_COLD_MS);
        self.cold_until_ms = self.cold_until_ms.max(until_ms);
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Returns how much longer the endpoint stays cold, in milliseconds; 0 if it is warm.
    pub fn cold_left_ms(&self, now_ms: u64) -> u64 {
        self.cold_until_ms.saturating_sub(now_ms)
    }

    /// Ends the announcement at `at_ms`, unless it ends earlier.
    pub fn withdraw(&mut self, at_ms: u64) {
        let current_ms = self.withdrawn_at_ms.unwrap_or(at_ms);
        self.withdrawn_at_ms = Some(current_ms.min(at_ms));
    }

    /// Returns whether the endpoint is still announced.
    pub fn is_announced(&self, now_ms: u64) -> bool {
        self.withdrawn_at_ms.is_none_or(|at_ms| now_ms < at_ms)
    }

    /// Returns whether its announcement has ended or ends at a time that is known.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_at_ms.is_some()
    }

    /// Records that the endpoint wants no requests from this host for `for_ms`.
    pub fn record_unwanted(&mut self, for_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(for_ms);
        self.statements.unwanted_until_ms = self.statements.unwanted_until_ms.max(until_ms);
    }

    /// Returns whether the endpoint is announced and is not about to end.
    pub fn is_staying(&self, now_ms: u64) -> bool {
        self.is_announced(now_ms)
            && self.announcement.stage == Stage::Ready
            && !self.statements.is_leaving
    }

    /// Returns the limit that it names, if any.
    pub fn limit(&self) -> Option<RequestRate> {
        self.statements.limit.rate()
    }

    /// Returns what it lets all hosts send together; none if it is not bound.
    pub fn bound(&self, now_ms: u64) -> Option<Bound> {
        let is_cold = self.is_cold(now_ms) || self.may_be_cold();
        let cold = self.cold_rate.filter(|_| is_cold);
        let room = self.crowded_room(now_ms);
        Bound::new(self.limit(), cold, room)
    }

    /// Returns the places of a brittle endpoint for which hosts need permits; none if it is not
    /// brittle, or if each host of the region may send one more request at the same time.
    ///
    /// Other hosts are assumed to send as many requests at this moment as this one.
    fn crowded_room(&self, now_ms: u64) -> Option<Room> {
        let turned_away = self.statements.brittle.rate()?;
        let recent = self.recent_sends_ms.iter();
        let recent = recent.filter(|sent_ms| now_ms < **sent_ms + UNSEEN_SEND_MS);
        let others = f64::from(self.host_count.saturating_sub(1));
        let free = self.places() - self.load(now_ms);
        if free - recent.count() as f64 * others >= f64::from(self.host_count) {
            return None;
        }
        // Others may have seen room for one request each a moment ago.
        let was_spacious = now_ms < self.spacious_ms + UNSEEN_SEND_MS;
        let unseen = if was_spacious { others } else { 0.0 };
        Some(Room {
            free: (free - unseen).max(0.0) as u32,
            most_at_once: (turned_away.per_s() as u32).max(1),
        })
    }

    /// Sets the number of live hosts of the region, and notes whether each of them sees room
    /// for a request.
    pub fn set_host_count(&mut self, host_count: u32, now_ms: u64) {
        self.host_count = host_count;
        if self.places() - self.load(now_ms) >= f64::from(host_count) {
            self.spacious_ms = now_ms;
        }
    }

    /// Requests that it runs at the same time.
    fn places(&self) -> f64 {
        f64::from(self.service_slots.unwrap_or(self.announcement.slots).max(1))
    }

    /// Returns whether it is not bound, or this host has a permit.
    pub fn is_permitted(&self, now_ms: u64) -> bool {
        let Some(bound) = self.bound(now_ms) else {
            return true;
        };
        let has_room = bound.room().is_none_or(|room| room.free > 0);
        has_room && self.permits.count(now_ms) > 0
    }

    /// Returns whether it names how many requests it can turn away.
    pub fn is_brittle(&self) -> bool {
        self.statements.brittle.rate().is_some()
    }

    /// Returns the time for which a brittle endpoint that has just turned a request away gets
    /// no other.
    pub fn full_pause_ms(&self) -> Option<u64> {
        let turned_away = self.statements.brittle.rate()?.per_s();
        let pause_ms = FULL_PAUSE_FACTOR * 1_000.0 / turned_away.max(f64::MIN_POSITIVE);
        Some(pause_ms.min(MAX_FULL_PAUSE_MS) as u64)
    }

    /// Records that a brittle endpoint turned a request of any host away.
    pub fn record_full(&mut self, for_ms: u64, now_ms: u64) {
        let for_ms = for_ms.min(MAX_FULL_PAUSE_MS as u64);
        self.blocked_until_ms = self.blocked_until_ms.max(now_ms + for_ms);
    }

    /// Returns whether new requests may be sent to the endpoint, regardless of its
    /// load and limit.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_staying(now_ms)
            && now_ms >= self.statements.unwanted_until_ms
            && now_ms >= self.blocked_until_ms
            && !(self.is_probing && self.own_load.active > 0)
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, work: Work, now_ms: u64) {
        if self.bound(now_ms).is_some() {
            self.permits.use_one(now_ms);
        }
        if self.is_brittle() {
            while self
                .recent_sends_ms
                .front()
                .is_some_and(|sent_ms| now_ms >= *sent_ms + UNSEEN_SEND_MS)
            {
                self.recent_sends_ms.pop_front();
            }
            self.recent_sends_ms.push_back(now_ms);
        }
        self.own_load.active += 1;
        self.own_load.backlog_tokens += work.uncached_tokens;
        self.own_load.reserved_tokens += work.reserved_tokens;
        self.total_reserved_tokens += work.reserved_tokens.max(work.uncached_tokens);
        self.record_prefill(work.uncached_tokens, now_ms);
    }

    /// Records that a request's prompt has been prefilled.
    pub fn record_first_event(&mut self, work: Work) {
        self.own_load.backlog_tokens = self
            .own_load
            .backlog_tokens
            .saturating_sub(work.uncached_tokens);
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, work: Work, had_first_event: bool) {
        self.own_load.active = self.own_load.active.saturating_sub(1);
        self.own_load.reserved_tokens = self
            .own_load
            .reserved_tokens
            .saturating_sub(work.reserved_tokens);
        if !had_first_event {
            self.record_first_event(work);
        }
    }

    /// Records a successful response that began after `actual_ms` instead of
    /// `predicted_ms`.
    pub fn record_success(&mut self, actual_ms: f64, predicted_ms: f64) {
        self.record_success_of(
            actual_ms,
            predicted_ms,
            SlownessEstimate::new(self.slowness),
        );
    }

    /// Like [`Endpoint::record_success`], for a prediction that is based on `used`.
    pub fn record_success_of(&mut self, actual_ms: f64, predicted_ms: f64, used: SlownessEstimate) {
        let (low, high) = SLOWNESS_RANGE;
        // What is learned from times alone is compared with what is known now: several answers
        // may have come since the prediction.
        let (factor, stated_part) = match used.relative {
            Some(_) => (used.factor, used.stated_part),
            None => (self.slowness, 1.0),
        };
        let measured = (factor * actual_ms / predicted_ms.max(1.0)).clamp(low, high);
        self.stated_slowness.record_measured(measured, used);
        let learned = (measured / stated_part).clamp(low, high);
        self.slowness += EWMA_WEIGHT * (learned - self.slowness);
        self.error_rate -= EWMA_WEIGHT * self.error_rate;
        self.consecutive_failures = 0;
        self.is_probing = false;
        self.next_block_ms = INITIAL_BLOCK_MS;
    }

    /// Records a failure; returns whether the endpoint is blocked because of it.
    pub fn record_failure(&mut self, failure: Failure, now_ms: u64) -> bool {
        if failure == Failure::Shed {
            self.blocked_until_ms = self.blocked_until_ms.max(now_ms + SHED_PAUSE_MS);
            return false;
        }
        self.error_rate += EWMA_WEIGHT * (1.0 - self.error_rate);
        if failure == Failure::Error {
            return false;
        }
        self.consecutive_failures += 1;
        if failure == Failure::Replaced {
            self.next_block_ms = MAX_BLOCK_MS;
        }
        let is_blocking = matches!(failure, Failure::Unreachable | Failure::Replaced)
            || self.is_probing
            || self.consecutive_failures >= FAILURES_TO_BLOCK;
        if !is_blocking || now_ms < self.blocked_until_ms {
            return false;
        }
        self.blocked_until_ms = now_ms + self.next_block_ms;
        self.next_block_ms = (self.next_block_ms * 2).min(MAX_BLOCK_MS);
        self.is_probing = true;
        true
    }

    /// Forgets failures, and the block that followed from them.
    pub fn forget_failures(&mut self) {
        self.blocked_until_ms = 0;
        self.next_block_ms = INITIAL_BLOCK_MS;
        self.consecutive_failures = 0;
        self.is_probing = false;
    }

    /// Applies another host's block of the endpoint.
    ///
    /// That host alone may have lost its connection to the endpoint, so the block
    /// is ignored while this host has requests in progress there.
    pub fn apply_peer_block(&mut self, for_ms: u64, now_ms: u64) {
        if self.own_load.active > 0 {
            return;
        }
        let until_ms = now_ms + for_ms.min(MAX_BLOCK_MS);
        self.blocked_until_ms = self.blocked_until_ms.max(until_ms);
        self.is_probing = true;
    }

    /// Records the load that a response carries.
    pub fn record_reported_load(&mut self, load: EndpointLoad, now_ms: u64) {
        self.reported = Some((now_ms, load));
        let first = load
            .slowness
            .and_then(|stated| self.stated_slowness.record(stated, now_ms));
        // Nothing was measured before the first answer.
        if let Some(factor) = first {
            let (low, high) = SLOWNESS_RANGE;
            self.slowness = factor.clamp(low, high);
        }
    }

    /// Returns the estimated number of requests at the endpoint.
    pub fn load(&self, now_ms: u64) -> f64 {
        let known = f64::from(self.own_load.active) + f64::from(self.peer_load.active);
        match self.reported {
            Some((at_ms, load)) if now_ms < at_ms + REPORT_LIFETIME_MS => {
                let age = (now_ms - at_ms) as f64 / REPORT_LIFETIME_MS as f64;
                let reported = f64::from(load.running) + f64::from(load.waiting);
                known.max(reported * (1.0 - age))
            }
            _ => known,
        }
    }

    /// Remembers the parts of a prompt, which the endpoint will have prefilled at
    /// `prefilled_at_ms`.
    pub fn record_prompt(&mut self, metadata: &RequestMetadata, prefilled_at_ms: u64) {
        for part in &metadata.parts {
            self.record_part(part.id, prefilled_at_ms);
        }
        for part in metadata.shared_parts() {
            self.record_used_part(part.id, part.tokens.0, prefilled_at_ms);
        }
    }

    /// Remembers that a request uses a shared part, which takes memory until it ends.
    pub fn record_used_part(&mut self, part: u64, tokens: u64, used_ms: u64) {
        let new = UsedPart {
            part,
            tokens,
            used_ms,
        };
        let known = self.used_parts.iter_mut().find(|used| used.part == part);
        if let Some(known) = known {
            known.used_ms = known.used_ms.max(used_ms);
        } else if self.used_parts.len() < MAX_USED_PARTS {
            self.used_parts.push(new);
        } else if let Some(oldest) = self.used_parts.iter_mut().min_by_key(|used| used.used_ms) {
            *oldest = new;
        }
    }

    /// Returns the tokens of the shared parts that requests use which run for `run_ms`, those of
    /// a new request included, each part once.
    pub fn shared_tokens_in_use(
        &self,
        metadata: &RequestMetadata,
        run_ms: f64,
        now_ms: u64,
    ) -> u64 {
        let shared = metadata.shared_parts();
        let is_new = |used: &UsedPart| shared.iter().any(|part| part.id == used.part);
        let since_ms = now_ms.saturating_sub(run_ms as u64);
        let used = self.used_parts.iter();
        let used = used.filter(|used| used.used_ms >= since_ms && !is_new(used));
        used.map(|used| used.tokens).sum::<u64>() + metadata.shared_tokens()
    }

    /// Remembers a prompt that another host sent.
    pub fn record_peer_prompt(&mut self, sent: &SentPrompt, now_ms: u64) {
        self.total_reserved_tokens += u64::from(sent.reserved_tokens.max(sent.prefill_tokens));
        self.record_prefill(u64::from(sent.prefill_tokens), now_ms);
        for part in &sent.parts {
            self.record_part(*part, now_ms + u64::from(sent.prefill_ms));
        }
    }

    fn record_prefill(&mut self, tokens: u64, now_ms: u64) {
        self.recent_prefill_tokens = self.recent_prefill_tokens(now_ms) + tokens as f64;
        self.recent_prefill_at_ms = now_ms;
    }

    fn recent_prefill_tokens(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.recent_prefill_at_ms) as f64;
        self.recent_prefill_tokens * (-age_ms / PREFILL_DECAY_MS).exp()
    }

    /// Returns the share of recent time that the endpoint spent on prefill, if it
    /// needs `prefill_ms_per_token` for each token.
    pub fn prefill_share(&self, prefill_ms_per_token: f64, now_ms: u64) -> f64 {
        self.recent_prefill_tokens(now_ms) * prefill_ms_per_token / PREFILL_DECAY_MS
    }

    /// Returns the largest backlog that the streams there can bear; negative while they need time
    /// to get back to the pace goal.
    ///
    /// All streams of an engine wait while it prefills. Of the recent prefill, the part
    /// `share_ahead` counts that is at least as urgent as the request: what is less urgent is held
    /// first. Without a goal, or where the engine is slow by itself, prefill gets a fixed share of
    /// its time.
    pub fn backlog_limit_ms(
        &self,
        pace: Option<Pace>,
        goal: Option<Pace>,
        prefill_share: f64,
        share_ahead: f64,
    ) -> f64 {
        let Some(pace) = pace else {
            return MAX_BACKLOG_MS;
        };
        let prefill_share = prefill_share.min(MAX_PREFILL_SHARE);
        let spare_share = MIN_PREFILL_SHARE - prefill_share * share_ahead;
        let counted_share = 1.0 - prefill_share * (1.0 - share_ahead);
        let spare_share = goal.map_or(spare_share, |goal| {
            let counted_ms = pace.event_ms() * counted_share;
            spare_share.max(1.0 - counted_ms / goal.event_ms())
        });
        (spare_share * PACE_HORIZON_MS).min(MAX_BACKLOG_MS)
    }

    fn record_part(&mut self, part: u64, prefilled_at_ms: u64) {
        if self.parts.len() > MAX_PARTS {
            let uses = self.parts.values().map(|known| known.last_used_at_tokens);
            let mut uses: Vec<u64> = uses.collect();
            let (_, median, _) = uses.select_nth_unstable(MAX_PARTS / 2);
            let median_use = *median;
            self.parts
                .retain(|_, known| known.last_used_at_tokens > median_use);
        }
        let last_used_at_tokens = self.total_reserved_tokens;
        let known = self.parts.entry(part).or_insert(CachedPart {
            last_used_at_tokens,
            prefilled_at_ms,
        });
        known.last_used_at_tokens = last_used_at_tokens;
        known.prefilled_at_ms = known.prefilled_at_ms.min(prefilled_at_ms);
    }

    /// Returns the number of tokens at the start of the prompt that the endpoint
    /// has probably cached.
    ///
    /// An endpoint evicts the least recently used parts, so a part stays cached
    /// until requests have reserved `lifetime_tokens` more. Parts that are
    /// prefilled by `by_ms` count as well, because the endpoint prefills prompts
    /// in the order of their arrival.
    pub fn cached_tokens(
        &self,
        metadata: &RequestMetadata,
        lifetime_tokens: u64,
        by_ms: u64,
    ) -> u64 {
        let is_cached = |id: &u64| {
            self.parts.get(id).is_some_and(|known| {
                known.prefilled_at_ms <= by_ms
                    && self.total_reserved_tokens < known.last_used_at_tokens + lifetime_tokens
            })
        };
        metadata
            .parts
            .iter()
            .take_while(|part| is_cached(&part.id))
            .map(|part| part.tokens.0)
            .sum()
    }

    /// Returns the slowness on which predictions are based: what is learned from responses, with
    /// what they state lately.
    pub fn slowness_estimate(&self, now_ms: u64) -> SlownessEstimate {
        self.stated_slowness.estimate(self.slowness, now_ms)
    }

    /// Returns the factor on predicted times, learned from responses.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the share of requests that failed, as a moving average.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns the earliest time at which the endpoint may get a request, if it stays.
    pub fn usable_at_ms(&self) -> u64 {
        self.blocked_until_ms.max(self.statements.unwanted_until_ms)
    }

    /// Returns the earliest time at which a blocked endpoint is tried again.
    pub fn blocked_until_ms(&self) -> u64 {
        self.blocked_until_ms
    }
}

/// Size of a request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Prompt tokens that the endpoint has to prefill.
    pub uncached_tokens: u64,
    /// Engine memory that the request reserves, in tokens.
    pub reserved_tokens: u64,
}

impl Work {
    /// Returns the work of a request at an endpoint that has cached the first
    /// `cached_tokens` of its prompt.
    pub fn new(metadata: &RequestMetadata, cached_tokens: u64) -> Self {
        let prompt = metadata.prompt_tokens.0;
        let uncached_tokens = prompt.saturating_sub(cached_tokens);
        Self {
            uncached_tokens,
            reserved_tokens: uncached_tokens + metadata.max_output_tokens.0,
        }
    }
}

impl Work {
    /// Replaces the memory by what the request is expected to need until it ends: its own part of
    /// the prompt and `output`. Shared parts are counted once for all requests that use them; see
    /// [`Endpoint::shared_tokens_in_use`].
    pub fn with_expected_memory(self, metadata: &RequestMetadata, output: Option<Tokens>) -> Self {
        let most = metadata.max_output_tokens;
        let output = output.map_or(most, |output| output.min(most));
        let prompt = metadata.prompt_tokens.0;
        let own_tokens = prompt.saturating_sub(metadata.shared_tokens());
        Self {
            reserved_tokens: own_tokens + output.0,
            ..self
        }
    }
}

impl Work {
    /// Returns whether an engine prefills the prompt within a few steps, so that it
    /// delays other requests little.
    pub fn is_short_prompt(&self) -> bool {
        self.uncached_tokens <= SHORT_PROMPT_TOKENS
    }
}

/// Returns the number of requests that an endpoint runs concurrently: the
/// service's setting if it has one, otherwise the announced number.
pub fn slots_of(endpoint: &Endpoint, service: Option<&Service>) -> f64 {
    let configured = service.and_then(|service| service.engine);
    let configured = configured.map(|engine| engine.slots);
    f64::from(configured.unwrap_or(endpoint.announcement.slots).max(1))
}
