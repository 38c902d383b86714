//! The endpoints that this host knows, and the choice among them.
//!
//! The choice answers two loads. When requests share prompt parts, a part is
//! read once in a region rather than at every endpoint, because hosts that know
//! nothing of each other's requests prefer the same endpoint for the same part.
//! When one endpoint has a backlog, the prediction moves the next request to
//! another one, even if the part has to be read again there.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    configuration::{
        Configuration,
        Service, //
    },
    endpoint::{
        Announcement,
        Endpoint,
        LoadShare,
        Work,
        slots_of, //
    },
    hosts::RegionView,
    load_updates::{
        EndpointBlock,
        SentPrompt, //
    },
    request::Call, //
};

/// Time until a first event without any prompt to read: the shortest that a
/// batching engine needs for a step and its set-up.
const FIRST_EVENT_MS: f64 = 25.0;
/// Time to read a prompt token between the steps of other requests, before the
/// endpoint's own speed is known.
const TOKEN_MS: f64 = 0.022;
/// Growth of a step with each request in the batch, relative to reading alone.
const BATCH_SLOWDOWN: f64 = 0.006;
/// Typical time of a call to a plain service before any was seen.
const CALL_MS: f64 = 30.0;
/// Typical time of a generation before any was seen.
const GENERATION_MS: f64 = 3_000.0;
/// Share of an unknown shared part that is expected in the cache of the
/// endpoint that all hosts prefer for it.
const PREFERRED_CACHE: f64 = 0.7;
/// Share of the goal within which a wait costs a caller nothing yet.
const SPARE_GOAL_SHARE: f64 = 0.45;
/// Cost of a millisecond in which an endpoint reads, relative to one of waiting
/// beyond the spare time.
const READ_WEIGHT: f64 = 3.0;
/// Cost of copying what takes a millisecond to read.
const COPY_WEIGHT: f64 = 0.8;
/// Fewest tokens that are copied; less is read faster than a copy is set up.
const MIN_COPIED_TOKENS: u64 = 512;
/// Part of an endpoint's memory in which unused parts stay while requests run.
const CACHE_SHARE: f64 = 0.6;
/// Cost of a millisecond until the first event.
const WAIT_WEIGHT: f64 = 0.4;
/// Cost of a millisecond beyond the spare time.
const EXCESS_WEIGHT: f64 = 4.0;
/// Cost of traffic between regions.
const AWAY_COST_MS: f64 = 60.0;
/// How long a prompt part is expected in the caches of another region.
const AWAY_CACHE_MS: u64 = 8_000;
/// Parts remembered for other regions before old ones are dropped.
const MAX_AWAY_PARTS: usize = 4_096;
/// Cost of a full endpoint relative to an empty one: events come more slowly.
const LOAD_COST_MS: f64 = 150.0;
/// Cost of a millisecond in which an endpoint reads instead of going on with the
/// streams that run there, for each of them.
const DELAY_WEIGHT: f64 = 0.08;
/// Time of an engine's step that reads no prompt, in which each stream gets a
/// token: the shortest that the platform states, with a usual batch.
const STEP_MS: f64 = 4.5;
/// Largest share of the time that an engine is expected to read.
const MAX_READ_SHARE: f64 = 0.9;
/// Cost of a millisecond that a stream takes longer.
const STREAM_WEIGHT: f64 = 0.08;
/// Cost of a stream that will not end within its time limit.
const OVERRUN_COST_MS: f64 = 600.0;
/// Weight of a new observation in the mean time of a run.
const RUN_EWMA_WEIGHT: f64 = 0.1;
/// The same for the time to read a token, which is told by few requests.
const TOKEN_EWMA_WEIGHT: f64 = 0.03;
/// Weight of the error rate in the choice.
const ERROR_WEIGHT: f64 = 6.0;
/// Share of an engine's memory beyond which requests are preempted.
const MEMORY_SHARE: f64 = 0.85;

/// The rule for requests to cold endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate that a service tolerates.
    pub factor: f64,
    /// Requests a second on top.
    pub slack: f64,
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Its service.
    pub service: &'a Service,
    /// What the caller said.
    pub call: &'a Call,
    /// Endpoints that are not tried.
    pub excluded: &'a [CompactString],
    /// The hosts of the region.
    pub region: &'a RegionView,
    /// Time left until an answer is late.
    pub goal_left_ms: f64,
    /// Time left until the caller gives up.
    pub time_left_ms: f64,
}

/// An endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: CompactString,
    /// Predicted time until the first event, or the answer of a plain service.
    pub first_event_ms: f64,
    /// Work at the endpoint.
    pub work: Work,
    /// Prompt tokens that are copied from another endpoint.
    pub copied_tokens: u64,
    /// Time that all requests before this one take.
    pub backlog_ms: f64,
    /// Cost, by which choices and offers of other regions are compared.
    pub cost_ms: f64,
    /// Endpoint from which cached parts of the prompt are copied first.
    pub fetch_from: Option<SocketAddr>,
}

/// Where the start of a prompt is probably cached.
#[derive(Debug, Default)]
struct Caches {
    tokens: Vec<(CompactString, u64)>,
    /// The endpoint with most of it, if endpoints copy from each other.
    source: Option<(CompactString, SocketAddr, u64)>,
}

impl Caches {
    fn tokens_at(&self, id: &str) -> u64 {
        let found = self.tokens.iter().find(|(other, _)| other == id);
        found.map_or(0, |(_, tokens)| *tokens)
    }

    fn copied_to(&self, endpoint: &Endpoint, cached_tokens: u64) -> u64 {
        let Some((source, _, tokens)) = &self.source else {
            return 0;
        };
        let copied = tokens.saturating_sub(cached_tokens);
        match *source != endpoint.id && copied >= MIN_COPIED_TOKENS {
            true => copied,
            false => 0,
        }
    }
}

/// Cost of a wait: little within a part of the goal, and more beyond it.
fn wait_cost(first_event_ms: f64, goal_left_ms: f64) -> f64 {
    let excess_ms = (first_event_ms - goal_left_ms * SPARE_GOAL_SHARE).max(0.0);
    WAIT_WEIGHT * first_event_ms + EXCESS_WEIGHT * excess_ms
}

/// Cost of the time that a stream takes after its first event.
///
/// An engine gives each stream a token between the chunks of prompts that it
/// reads, so long answers are slow, and may not end in time, where many prompts
/// are read.
fn stream_cost(
    endpoint: &Endpoint,
    choice: &Choice,
    demand: &Demand<'_>,
    token_ms: f64,
    now_ms: u64,
) -> f64 {
    if demand.service.engine.is_none() {
        return 0.0;
    }
    let read_share = endpoint.read_share(token_ms, now_ms).min(MAX_READ_SHARE);
    let tokens = demand.call.max_output.0 as f64;
    let stream_ms = endpoint.slowness() * tokens * STEP_MS / (1.0 - read_share);
    let is_overrun = choice.first_event_ms + stream_ms > demand.time_left_ms;
    let overrun_ms = if is_overrun { OVERRUN_COST_MS } else { 0.0 };
    STREAM_WEIGHT * stream_ms + overrun_ms
}

/// Tokens that an endpoint has cached, from knowledge or, at the endpoint that
/// all hosts prefer, from what they probably sent there.
fn expected_cached(known: u64, call: &Call, is_preferred: bool) -> u64 {
    if !is_preferred {
        return known;
    }
    known.max((call.shared_tokens() as f64 * PREFERRED_CACHE) as u64)
}

/// All endpoints of this host's view.
#[derive(Debug)]
pub struct Fleet {
    region: CompactString,
    host: CompactString,
    cold: ColdBounds,
    regions: BTreeMap<CompactString, CompactString>,
    endpoints: BTreeMap<CompactString, Endpoint>,
    evacuated: BTreeSet<CompactString>,
    run_ms: BTreeMap<CompactString, f64>,
    token_ms: BTreeMap<CompactString, f64>,
    /// When a prompt part was last sent to another region.
    away_parts: BTreeMap<(CompactString, u64), u64>,
}

impl Fleet {
    /// A fleet without endpoints, for a host in `region`.
    pub fn new(
        host: CompactString,
        region: CompactString,
        regions: BTreeMap<CompactString, CompactString>,
        cold: ColdBounds,
    ) -> Self {
        Self {
            region,
            host,
            cold,
            regions,
            endpoints: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            run_ms: BTreeMap::new(),
            token_ms: BTreeMap::new(),
            away_parts: BTreeMap::new(),
        }
    }

    /// Takes over an announcement; false if its data centre is unknown.
    pub fn apply_announcement(
        &mut self,
        id: &str,
        announcement: Announcement,
        now_ms: u64,
    ) -> bool {
        let Some(region) = self.regions.get(&announcement.data_centre) else {
            return false;
        };
        match self.endpoints.get_mut(id) {
            Some(endpoint) => endpoint.apply_announcement(announcement, now_ms),
            None => {
                let endpoint = Endpoint::new(id.into(), region.clone(), announcement, now_ms);
                self.endpoints.insert(id.into(), endpoint);
            }
        }
        true
    }

    /// Records that the announcement of an endpoint ends at a time.
    pub fn withdraw(&mut self, id: &str, at_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.withdraw(at_ms);
        }
    }

    /// Forgets endpoints that are not announced and have finished their work.
    pub fn drop_withdrawn(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, endpoint| endpoint.is_announced(now_ms) || endpoint.own_load.active > 0);
    }

    /// Stops or resumes the use of a data centre's endpoints.
    ///
    /// Its endpoints may have gone cold in the meantime without announcing it.
    pub fn set_evacuated(
        &mut self,
        data_centre: &str,
        is_evacuated: bool,
        configuration: &Configuration,
        now_ms: u64,
    ) {
        if is_evacuated {
            self.evacuated.insert(data_centre.into());
            return;
        }
        if !self.evacuated.remove(data_centre) {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if endpoint.announcement.data_centre == data_centre {
                let service = configuration.service(&endpoint.announcement.service);
                endpoint.set_cold(service.map_or(0, |service| service.cold_ms), now_ms);
            }
        }
    }

    /// One endpoint.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// One endpoint, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Replaces what the other hosts of the region have at the endpoints.
    pub fn set_peer_loads<F>(&mut self, share_at: F)
    where
        F: Fn(u32) -> LoadShare,
    {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peer_load = share_at(endpoint.hash);
        }
    }

    fn get_by_hash(&mut self, hash: u32) -> Option<&mut Endpoint> {
        let mut endpoints = self.endpoints.values_mut();
        endpoints.find(|endpoint| endpoint.hash == hash)
    }

    /// Takes over that another host of the region cannot use an endpoint.
    pub fn apply_peer_block(&mut self, block: &EndpointBlock, now_ms: u64) {
        if let Some(endpoint) = self.get_by_hash(block.endpoint) {
            endpoint.apply_peer_block(u64::from(block.for_ms), now_ms);
        }
    }

    /// Remembers a prompt that another host of the region sent.
    pub fn record_peer_prompt(&mut self, sent: &SentPrompt, now_ms: u64) {
        if let Some(endpoint) = self.get_by_hash(sent.endpoint) {
            endpoint.record_peer_prompt(sent, now_ms);
        }
    }

    /// Learns how long requests of a service run.
    pub fn record_run_time(&mut self, service: &str, run_ms: f64) {
        let known = self.run_ms.entry(service.into()).or_insert(run_ms);
        *known += RUN_EWMA_WEIGHT * (run_ms - *known);
    }

    /// Learns how long a service's endpoints take to read a prompt token.
    ///
    /// Only requests that dominate their endpoint's backlog tell it.
    pub fn record_first_event_time(&mut self, service: &str, choice: &Choice, actual_ms: f64) {
        let tokens = choice.work.uncached_tokens as f64;
        let is_telling = tokens > 1_000.0 && choice.backlog_ms < choice.first_event_ms / 4.0;
        if !is_telling {
            return;
        }
        let observed =
            ((actual_ms - FIRST_EVENT_MS) / tokens).clamp(TOKEN_MS / 20.0, TOKEN_MS * 20.0);
        let known = self.token_ms.entry(service.into()).or_insert(TOKEN_MS);
        *known += TOKEN_EWMA_WEIGHT * (observed - *known);
    }

    /// Endpoints of `service` in this region that may be used, their load and
    /// coldness aside.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.announcement.service == service
                && endpoint.region == self.region
                && endpoint.is_usable(now_ms)
                && !self.evacuated.contains(&endpoint.announcement.data_centre)
        })
    }

    /// The best endpoint for a request, or none if none may be used now.
    pub fn choose(&self, demand: &Demand<'_>, now_ms: u64) -> Option<Choice> {
        let service = demand.service;
        let caches = self.caches(demand, now_ms);
        self.usable(&service.name, now_ms)
            .filter(|endpoint| !demand.excluded.contains(&endpoint.id))
            .filter(|endpoint| self.may_send_cold(endpoint, service, demand.region, now_ms))
            .map(|endpoint| {
                let choice = self.predict(endpoint, demand, &caches, now_ms);
                Choice {
                    cost_ms: self.cost(endpoint, &choice, demand, now_ms),
                    ..choice
                }
            })
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    /// What a choice costs, in milliseconds.
    ///
    /// A wait within a part of the goal costs a caller little, while a prompt
    /// part that is read again takes time from all requests of the endpoint.
    fn cost(&self, endpoint: &Endpoint, choice: &Choice, demand: &Demand<'_>, now_ms: u64) -> f64 {
        let service = demand.service;
        let slots = slots_of(endpoint, Some(service));
        let load = endpoint.load(now_ms);
        let token_ms = self.token_ms(service, load);
        let read_ms = choice.work.uncached_tokens as f64 * token_ms;
        let copy_ms = choice.copied_tokens as f64 * token_ms;
        let load_ms = load / slots * LOAD_COST_MS;
        let cost = READ_WEIGHT * read_ms
            + DELAY_WEIGHT * read_ms * load
            + COPY_WEIGHT * copy_ms
            + wait_cost(choice.first_event_ms, demand.goal_left_ms)
            + stream_cost(endpoint, choice, demand, token_ms, now_ms)
            + load_ms;
        cost * (1.0 + ERROR_WEIGHT * endpoint.error_rate())
    }

    /// The endpoint that all hosts of the region prefer for a prompt part.
    fn preferred(&self, service: &str, part: u64, now_ms: u64) -> Option<CompactString> {
        self.usable(service, now_ms)
            .max_by_key(|endpoint| xxh3_64_with_seed(endpoint.id.as_bytes(), part))
            .map(|endpoint| endpoint.id.clone())
    }

    /// Predicts the first event of a request at an endpoint.
    fn predict(
        &self,
        endpoint: &Endpoint,
        demand: &Demand<'_>,
        caches: &Caches,
        now_ms: u64,
    ) -> Choice {
        let service = demand.service;
        let cached = caches.tokens_at(&endpoint.id);
        let copied_tokens = caches.copied_to(endpoint, cached);
        let work = Work::new(demand.call, cached + copied_tokens);
        let load = endpoint.load(now_ms);
        let slots = slots_of(endpoint, Some(service));
        let run_ms = self.run_ms(service);
        let token_ms = self.token_ms(service, load);
        let waiting = (load + 1.0 - slots).max(0.0) / slots * run_ms;
        let backlog_tokens = endpoint.own_load.backlog_tokens + endpoint.peer_load.backlog_tokens;
        let backlog_ms = endpoint.slowness() * (backlog_tokens as f64 * token_ms + waiting)
            + self.memory_wait_ms(endpoint, service, work, run_ms);
        let own_ms = match service.engine {
            Some(_) => FIRST_EVENT_MS + work.uncached_tokens as f64 * token_ms,
            None => run_ms,
        };
        Choice {
            endpoint: endpoint.id.clone(),
            first_event_ms: backlog_ms + endpoint.slowness() * own_ms,
            cost_ms: 0.0,
            work,
            copied_tokens,
            backlog_ms,
            fetch_from: caches
                .source
                .as_ref()
                .filter(|_| copied_tokens > 0)
                .map(|(_, address, _)| *address),
        }
    }

    /// Where the start of the prompt is probably cached.
    fn caches(&self, demand: &Demand<'_>, now_ms: u64) -> Caches {
        let service = demand.service;
        let affinity = demand.call.affinity();
        let preferred = affinity.and_then(|part| self.preferred(&service.name, part, now_ms));
        let memory_tokens = service.engine.map_or(0, |engine| engine.memory_tokens);
        let lifetime_tokens = (memory_tokens as f64 * CACHE_SHARE) as u64;
        let copy_ms = service.engine.and_then(|engine| engine.copy_ms_per_token);
        let copies = copy_ms.is_some_and(|copy_ms| copy_ms <= TOKEN_MS / 2.0);
        let mut caches = Caches::default();
        for endpoint in self.usable(&service.name, now_ms) {
            let known = endpoint.cached_tokens(demand.call, lifetime_tokens, u64::MAX);
            let is_preferred = preferred.as_ref() == Some(&endpoint.id);
            let tokens = expected_cached(known, demand.call, is_preferred);
            if tokens == 0 {
                continue;
            }
            caches.tokens.push((endpoint.id.clone(), tokens));
            if !copies {
                continue;
            }
            // Only what has been read can be copied.
            let read = endpoint.cached_tokens(demand.call, lifetime_tokens, now_ms);
            let best = caches.source.as_ref().map_or(0, |(_, _, tokens)| *tokens);
            if read > best {
                let address = endpoint.announcement.address;
                caches.source = Some((endpoint.id.clone(), address, read));
            }
        }
        caches
    }

    /// Cost of a request in another region, which answers after `first_event_ms`
    /// if it has to read the whole prompt.
    pub fn cost_away(
        &self,
        region: &str,
        first_event_ms: f64,
        demand: &Demand<'_>,
        now_ms: u64,
    ) -> f64 {
        let call = demand.call;
        let is_known = call.affinity().is_some_and(|part| {
            let sent_ms = self.away_parts.get(&(region.into(), part));
            sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + AWAY_CACHE_MS)
        });
        let cached = if is_known { call.shared_tokens() } else { 0 };
        let uncached_tokens = call.prompt.0.saturating_sub(cached);
        let read_ms = uncached_tokens as f64 * self.mean_token_ms(demand.service, now_ms);
        AWAY_COST_MS + READ_WEIGHT * read_ms + wait_cost(first_event_ms, demand.goal_left_ms)
    }

    /// Remembers that a request was sent to another region.
    pub fn remember_away(&mut self, region: &str, call: &Call, now_ms: u64) {
        if self.away_parts.len() > MAX_AWAY_PARTS {
            self.away_parts
                .retain(|_, sent_ms| now_ms < *sent_ms + AWAY_CACHE_MS);
        }
        if let Some(part) = call.affinity() {
            self.away_parts.insert((region.into(), part), now_ms);
        }
    }

    /// Wait until running requests free enough memory.
    fn memory_wait_ms(
        &self,
        endpoint: &Endpoint,
        service: &Service,
        work: Work,
        run_ms: f64,
    ) -> f64 {
        let Some(engine) = service.engine else {
            return 0.0;
        };
        let memory = engine.memory_tokens;
        let held = endpoint.own_load.reserved_tokens
            + endpoint.peer_load.reserved_tokens
            + work.reserved_tokens;
        let excess = held as f64 / (memory as f64 * MEMORY_SHARE) - 1.0;
        excess.max(0.0) * run_ms
    }

    fn token_ms(&self, service: &Service, load: f64) -> f64 {
        let base = self
            .token_ms
            .get(&service.name)
            .copied()
            .unwrap_or(TOKEN_MS);
        base * (1.0 + BATCH_SLOWDOWN * load)
    }

    /// Typical time that a request of the service runs.
    pub fn run_ms(&self, service: &Service) -> f64 {
        let initial = match service.engine {
            Some(_) => GENERATION_MS,
            None => CALL_MS,
        };
        self.run_ms.get(&service.name).copied().unwrap_or(initial)
    }

    /// Whether this host may send to the endpoint if it is cold.
    ///
    /// The bound holds for all hosts together. Hosts agree on their shares
    /// without talking, by the rank that a hash gives them for the endpoint.
    fn may_send_cold(
        &self,
        endpoint: &Endpoint,
        service: &Service,
        region: &RegionView,
        now_ms: u64,
    ) -> bool {
        if service.cold_per_s <= 0.0 || !endpoint.is_cold(now_ms) {
            return true;
        }
        let per_second = self.cold_share(endpoint, service, &region.cold_sharers);
        endpoint.has_cold_allowance(per_second, now_ms)
    }

    /// Requests a second that this host may send to a cold endpoint.
    fn cold_share(&self, endpoint: &Endpoint, service: &Service, hosts: &[CompactString]) -> u32 {
        if hosts.is_empty() {
            return 0;
        }
        let bound = service.cold_per_s * self.cold.factor + self.cold.slack;
        // Half of the bound, so that it holds for two groups of hosts that do
        // not hear each other.
        let total = (bound / 2.0).floor() as usize;
        let rank_of = |host: &CompactString| {
            xxh3_64_with_seed(
                host.as_bytes(),
                xxh3_64_with_seed(endpoint.id.as_bytes(), 0),
            )
        };
        let own = rank_of(&self.host);
        let before = hosts
            .iter()
            .filter(|host| **host != self.host && rank_of(host) > own)
            .count();
        let count = hosts.len();
        let even = total / count;
        let extra = usize::from(before < total % count);
        (even + extra) as u32
    }
}

impl Fleet {
    /// Time until an endpoint begins with a new request.
    pub fn backlog_ms(&self, endpoint: &Endpoint, service: &Service, now_ms: u64) -> f64 {
        let demand = Demand {
            service,
            call: &Call::default(),
            excluded: &[],
            region: &RegionView::default(),
            goal_left_ms: 0.0,
            time_left_ms: 0.0,
        };
        self.predict(endpoint, &demand, &Caches::default(), now_ms)
            .backlog_ms
    }

    /// Time to read a prompt token at an endpoint with the mean load.
    pub fn mean_token_ms(&self, service: &Service, now_ms: u64) -> f64 {
        let mut count = 0.0;
        let mut load = 0.0;
        for endpoint in self.usable(&service.name, now_ms) {
            count += 1.0;
            load += endpoint.load(now_ms);
        }
        self.token_ms(service, load / f64::max(count, 1.0))
    }

    /// Time that an endpoint spends on a request before it can begin the next.
    pub fn service_ms(&self, service: &Service, call: &Call, now_ms: u64) -> f64 {
        match service.engine {
            Some(_) => FIRST_EVENT_MS + call.prompt.0 as f64 * self.mean_token_ms(service, now_ms),
            None => self.run_ms(service) / 2.0,
        }
    }
}
