//! One endpoint: what it announces, what it was sent, and how it answers.
//!
//! Load is known from this host's own requests, from what the other hosts of
//! the region say they sent, and from the load that answers carry. Speed and
//! health are judged by answers alone, because announcements and health checks
//! can be wrong.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    configuration::Service,
    load_updates::SentPrompt,
    request::{
        Call,
        EndpointLoad, //
    }, //
};

/// Weight of a new observation in a moving average.
const EWMA_WEIGHT: f64 = 0.15;
/// First block after a failure to reach an endpoint; doubles with each one.
const FIRST_BLOCK_MS: u64 = 500;
/// Longest block: one heartbeat of an endpoint's announcement is about a second,
/// so a longer one would outlast what the announcement shows.
const MAX_BLOCK_MS: u64 = 4_000;
/// Failures in a row, after the connection was made, that block an endpoint.
const FAILURES_TO_BLOCK: u32 = 3;
/// How long a reported load is believed.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Time over which the reading of an endpoint is averaged: the run of a stream.
const PREFILL_DECAY_MS: f64 = 2_000.0;
/// Parts remembered for one endpoint; older ones are forgotten first.
const MAX_PARTS: usize = 512;
/// Slowness is kept in this range, so that one observation cannot exclude an
/// endpoint for good.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);

/// Window in which requests to a cold endpoint are counted. The platform counts
/// whole seconds; the rest covers differences in the time on the way.
const COLD_WINDOW_MS: u64 = 1_150;
/// Pause after an endpoint refused a request for lack of room.
const SHED_PAUSE_MS: u64 = 60;
/// Longest prompt that counts as quick: two chunks of a batching engine.
const SHORT_PROMPT_TOKENS: u64 = 2_048;

/// State that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes requests.
    Ready,
    /// It leaves and takes no new requests.
    Draining,
}

/// What an endpoint announces about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// Its service.
    pub service: CompactString,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub stage: Stage,
    /// How long it stays cold.
    pub cold_left_ms: u64,
    /// How long it exists, if it was told to leave at short notice.
    pub remaining_ms: Option<u64>,
    /// Unix time of its start, which tells one run from the next.
    pub started_ms: u64,
}

/// How sure a failure is to come from the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the answer was unusable.
    Broken,
    /// The endpoint answered with an error of its own.
    Error,
    /// The endpoint said that it did not run the request.
    Shed,
    /// Another endpoint listens at its address.
    Replaced,
}

/// What one host has at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadShare {
    /// Requests in progress.
    pub active: u32,
    /// Prompt tokens of requests without a first event.
    pub backlog_tokens: u64,
    /// Tokens of all requests in progress.
    pub reserved_tokens: u64,
}

impl LoadShare {
    /// Adds another share.
    pub fn add(&mut self, other: LoadShare) {
        self.active += other.active;
        self.backlog_tokens += other.backlog_tokens;
        self.reserved_tokens += other.reserved_tokens;
    }
}

/// A prompt part that an endpoint has read, or will have read soon.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    /// Tokens that requests had taken in the endpoint's memory at its last use.
    last_used_at_tokens: u64,
    /// When the endpoint has read it.
    read_at_ms: u64,
}

/// An endpoint and what this host knows about it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Identity.
    pub id: CompactString,
    /// Hash of the identity, its short name between hosts.
    pub hash: u32,
    /// Latest announcement.
    pub announcement: Announcement,
    /// Region of its data centre.
    pub region: CompactString,
    /// When its announcement ends; after that it only finishes its work.
    withdrawn_at_ms: Option<u64>,
    /// What this host sent.
    pub own_load: LoadShare,
    /// What the other hosts of the region say they sent.
    pub peer_load: LoadShare,
    cold_until_ms: u64,
    last_cold_send_ms: Vec<u64>,
    reported: Option<(u64, EndpointLoad)>,
    slowness: f64,
    error_rate: f64,
    failures: u32,
    blocked_until_ms: u64,
    block_ms: u64,
    is_probing: bool,
    parts: HashMap<u64, CachedPart>,
    /// Prompt tokens that all hosts sent lately, fading with [`PREFILL_DECAY_MS`].
    recent_read_tokens: f64,
    recent_read_at_ms: u64,
    /// Tokens that requests of all hosts took up in the endpoint's memory.
    total_reserved_tokens: u64,
}

impl Endpoint {
    /// An endpoint that was just announced.
    pub fn new(
        id: CompactString,
        region: CompactString,
        announcement: Announcement,
        now_ms: u64,
    ) -> Self {
        Self {
            hash: xxh3_64(id.as_bytes()) as u32,
            id,
            region,
            cold_until_ms: now_ms + announcement.cold_left_ms,
            announcement,
            withdrawn_at_ms: None,
            own_load: LoadShare::default(),
            peer_load: LoadShare::default(),
            last_cold_send_ms: Vec::new(),
            reported: None,
            slowness: 1.0,
            error_rate: 0.0,
            failures: 0,
            blocked_until_ms: 0,
            block_ms: FIRST_BLOCK_MS,
            is_probing: false,
            parts: HashMap::new(),
            recent_read_tokens: 0.0,
            recent_read_at_ms: 0,
            total_reserved_tokens: 0,
        }
    }

    /// Takes over a newer announcement.
    ///
    /// A restarted endpoint keeps nothing, so what was learned is dropped.
    pub fn apply_announcement(&mut self, announcement: Announcement, now_ms: u64) {
        let is_restarted = announcement.started_ms != self.announcement.started_ms
            || announcement.address != self.announcement.address;
        if is_restarted {
            let own = self.own_load;
            *self = Self::new(self.id.clone(), self.region.clone(), announcement, now_ms);
            self.own_load = own;
            return;
        }
        self.withdrawn_at_ms = None;
        if announcement.cold_left_ms > 0 {
            self.set_cold(announcement.cold_left_ms, now_ms);
        }
        self.announcement = announcement;
    }

    /// Records that the endpoint stays cold for so long.
    pub fn set_cold(&mut self, left_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + left_ms);
    }

    /// Whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Ends the announcement at a time, unless it ended before.
    pub fn withdraw(&mut self, at_ms: u64) {
        let ends_ms = self.withdrawn_at_ms.unwrap_or(at_ms);
        self.withdrawn_at_ms = Some(ends_ms.min(at_ms));
    }

    /// Whether the announcement stands.
    pub fn is_announced(&self, now_ms: u64) -> bool {
        self.withdrawn_at_ms.is_none_or(|at_ms| now_ms < at_ms)
    }

    /// Whether new requests may go to the endpoint, its load aside.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_announced(now_ms)
            && self.announcement.stage == Stage::Ready
            && now_ms >= self.blocked_until_ms
            && !(self.is_probing && self.own_load.active > 0)
    }

    /// Whether one more request may be sent in this second to a cold endpoint.
    pub fn has_cold_allowance(&self, per_second: u32, now_ms: u64) -> bool {
        let recent = self
            .last_cold_send_ms
            .iter()
            .filter(|sent_ms| now_ms < **sent_ms + COLD_WINDOW_MS)
            .count();
        recent < per_second as usize
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, work: Work, now_ms: u64) {
        self.own_load.active += 1;
        self.own_load.backlog_tokens += work.uncached_tokens;
        self.own_load.reserved_tokens += work.reserved_tokens;
        self.total_reserved_tokens += work.reserved_tokens;
        self.record_read(work.uncached_tokens, now_ms);
        if self.is_cold(now_ms) {
            self.last_cold_send_ms
                .retain(|sent_ms| now_ms < *sent_ms + COLD_WINDOW_MS);
            self.last_cold_send_ms.push(now_ms);
        }
    }

    /// Records that a request's prompt has been read.
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

    /// Records a good answer that began after `actual_ms` instead of `predicted_ms`.
    pub fn record_success(&mut self, actual_ms: f64, predicted_ms: f64) {
        let ratio = self.slowness * actual_ms / predicted_ms.max(1.0);
        let (low, high) = SLOWNESS_RANGE;
        self.slowness += EWMA_WEIGHT * (ratio.clamp(low, high) - self.slowness);
        self.error_rate -= EWMA_WEIGHT * self.error_rate;
        self.failures = 0;
        self.is_probing = false;
        self.block_ms = FIRST_BLOCK_MS;
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
        self.failures += 1;
        if failure == Failure::Replaced {
            self.block_ms = MAX_BLOCK_MS;
        }
        let blocks = matches!(failure, Failure::Unreachable | Failure::Replaced)
            || self.is_probing
            || self.failures >= FAILURES_TO_BLOCK;
        if !blocks || now_ms < self.blocked_until_ms {
            return false;
        }
        self.blocked_until_ms = now_ms + self.block_ms;
        self.block_ms = (self.block_ms * 2).min(MAX_BLOCK_MS);
        self.is_probing = true;
        true
    }

    /// Takes over that another host cannot use the endpoint for a while.
    ///
    /// A host may be cut off alone, so requests of this host that still run at
    /// the endpoint count for more.
    pub fn apply_peer_block(&mut self, for_ms: u64, now_ms: u64) {
        if self.own_load.active > 0 {
            return;
        }
        let until_ms = now_ms + for_ms.min(MAX_BLOCK_MS);
        self.blocked_until_ms = self.blocked_until_ms.max(until_ms);
        self.is_probing = true;
    }

    /// Takes over the load that an answer carries.
    pub fn record_reported_load(&mut self, load: EndpointLoad, now_ms: u64) {
        self.reported = Some((now_ms, load));
    }

    /// Requests at the endpoint, from all that is known.
    pub fn load(&self, now_ms: u64) -> f64 {
        let known = f64::from(self.own_load.active + self.peer_load.active);
        match self.reported {
            Some((at_ms, load)) if now_ms < at_ms + REPORT_LIFETIME_MS => {
                let age = (now_ms - at_ms) as f64 / REPORT_LIFETIME_MS as f64;
                let reported = f64::from(load.running + load.waiting);
                known.max(reported * (1.0 - age))
            }
            _ => known,
        }
    }

    /// Remembers which parts of a prompt the endpoint has read at `read_at_ms`.
    pub fn record_prompt(&mut self, call: &Call, read_at_ms: u64) {
        for part in &call.parts {
            self.record_part(part.id, read_at_ms);
        }
    }

    /// Remembers a prompt that another host sent.
    pub fn record_peer_prompt(&mut self, sent: &SentPrompt, now_ms: u64) {
        self.total_reserved_tokens += u64::from(sent.reserved_tokens);
        self.record_read(u64::from(sent.read_tokens), now_ms);
        for part in &sent.parts {
            self.record_part(*part, now_ms + u64::from(sent.read_ms));
        }
    }

    fn record_read(&mut self, tokens: u64, now_ms: u64) {
        self.recent_read_tokens = self.recent_read_tokens(now_ms) + tokens as f64;
        self.recent_read_at_ms = now_ms;
    }

    fn recent_read_tokens(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.recent_read_at_ms) as f64;
        self.recent_read_tokens * (-age_ms / PREFILL_DECAY_MS).exp()
    }

    /// Share of the time that the endpoint lately spent on reading prompts, if
    /// it needs `token_ms` for each token.
    pub fn read_share(&self, token_ms: f64, now_ms: u64) -> f64 {
        self.recent_read_tokens(now_ms) * token_ms / PREFILL_DECAY_MS
    }

    fn record_part(&mut self, part: u64, read_at_ms: u64) {
        if self.parts.len() > MAX_PARTS {
            let uses = self.parts.values().map(|known| known.last_used_at_tokens);
            let mut uses: Vec<u64> = uses.collect();
            let (_, median, _) = uses.select_nth_unstable(MAX_PARTS / 2);
            let oldest_kept = *median;
            self.parts
                .retain(|_, known| known.last_used_at_tokens > oldest_kept);
        }
        let last_used_at_tokens = self.total_reserved_tokens;
        let known = self.parts.entry(part).or_insert(CachedPart {
            last_used_at_tokens,
            read_at_ms,
        });
        known.last_used_at_tokens = last_used_at_tokens;
        known.read_at_ms = known.read_at_ms.min(read_at_ms);
    }

    /// Tokens at the start of the prompt that the endpoint has probably cached.
    ///
    /// An endpoint drops the parts that were not used for longest, so a part is
    /// there until requests have taken `lifetime_tokens` more.
    /// Parts that it only reads until `by_ms` count as well: it reads prompts in
    /// the order of their arrival.
    pub fn cached_tokens(&self, call: &Call, lifetime_tokens: u64, by_ms: u64) -> u64 {
        let is_cached = |id: &u64| {
            self.parts.get(id).is_some_and(|known| {
                known.read_at_ms <= by_ms
                    && self.total_reserved_tokens < known.last_used_at_tokens + lifetime_tokens
            })
        };
        call.parts
            .iter()
            .take_while(|part| is_cached(&part.id))
            .map(|part| part.tokens.0)
            .sum()
    }

    /// Factor on predicted times, learned from answers.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Share of answers that failed, as a moving average.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Earliest time at which a blocked endpoint is tried again.
    pub fn blocked_until_ms(&self) -> u64 {
        self.blocked_until_ms
    }
}

/// Size of a request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Prompt tokens that the endpoint has to read.
    pub uncached_tokens: u64,
    /// Memory that the request takes.
    pub reserved_tokens: u64,
}

impl Work {
    /// The work of `call` at an endpoint that has cached the first tokens.
    pub fn new(call: &Call, cached_tokens: u64) -> Self {
        let prompt = call.prompt.0;
        let uncached_tokens = prompt.saturating_sub(cached_tokens);
        Self {
            uncached_tokens,
            reserved_tokens: uncached_tokens + call.max_output.0,
        }
    }
}

impl Work {
    /// Whether the prompt is read within a few steps of an engine, so that it
    /// delays others little.
    pub fn is_short_prompt(&self) -> bool {
        self.uncached_tokens <= SHORT_PROMPT_TOKENS
    }
}

/// Requests that a service's endpoints run at once.
pub fn slots_of(endpoint: &Endpoint, service: Option<&Service>) -> f64 {
    let configured = service.and_then(|service| service.engine);
    let configured = configured.map(|engine| engine.slots);
    f64::from(configured.unwrap_or(endpoint.announcement.slots).max(1))
}
