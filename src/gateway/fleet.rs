//! The endpoints that this host knows, and the choice among them.
//!
//! The choice serves two load patterns. When requests share prompt parts, a part
//! is prefilled once in a region rather than at every endpoint, because hosts
//! that know nothing of each other's requests prefer the same endpoint for the
//! same part. When one endpoint has a backlog, its predicted latency moves the
//! next request to another one, even if the part has to be prefilled again there.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    bound::{
        Bound,
        ColdBounds, //
    },
    configuration::{
        Configuration,
        RetryPolicy,
        Service, //
    },
    endpoint::{
        Announcement,
        Endpoint,
        EndpointHash,
        FormerEndpoint,
        LoadShare,
        MAX_PREFILL_SHARE,
        Work,
        slots_of, //
    },
    endpoint_limit::{
        LimitReport,
        LimitStatement, //
    },
    endpoint_start::StartReport,
    endpoint_table::{
        Concern,
        EndpointTable, //
    },
    gap_goal::{
        GapGoal,
        Pauses,
        PrefillState, //
    },
    hosts::RegionView,
    load_updates::{
        EndpointBlock,
        LeavingEndpoint,
        SentPrompt, //
    },
    prefill_mix::PrefillMix,
    request::RequestMetadata,
    request_rate::RequestRate,
    service_room::ServiceRoom,
    software_version::SoftwareVersion,
    stated_slowness::SlownessEstimate,
    stored_versions::ServedVersions,
    stream_origins::ORIGIN_LIFETIME_MS, //
    stream_pace::Pace,
};
use crate::types::Tokens;

/// Time until a first event without any prompt to prefill: the shortest that a
/// batching engine needs for a step and its set-up.
const FIRST_EVENT_MS: f64 = 25.0;
/// Time to prefill a prompt token between the steps of other requests, before
/// the speed of the service's endpoints is known.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.022;
/// Relative increase of the prefill time per token with each request in the batch.
const BATCH_SLOWDOWN: f64 = 0.006;
/// Typical time of a call to a service without engines, before any was recorded.
const INITIAL_CALL_MS: f64 = 30.0;
/// Typical time of a generation, before any was recorded.
const INITIAL_GENERATION_MS: f64 = 3_000.0;
/// Share of a shared part that is expected in the cache of the endpoint that all
/// hosts prefer for it, if this host does not know it to be cached there.
const PREFERRED_CACHED_SHARE: f64 = 0.7;
/// Share of the latency goal within which a wait has no excess cost.
const FREE_WAIT_SHARE: f64 = 0.45;
/// Cost of a millisecond of prefill; compare [`EXCESS_WAIT_WEIGHT`].
const PREFILL_WEIGHT: f64 = 3.0;
/// Cost of copying the tokens that take a millisecond to prefill.
const COPY_WEIGHT: f64 = 0.8;
/// Fewest tokens that are copied; fewer are prefilled faster than a copy is set
/// up.
const MIN_COPIED_TOKENS: u64 = 512;
/// Share of an endpoint's memory in which unused prompt parts stay cached while
/// requests run.
const CACHE_SHARE: f64 = 0.6;
/// Cost of a millisecond until the first event.
const WAIT_WEIGHT: f64 = 0.4;
/// Additional cost of a millisecond beyond [`FREE_WAIT_SHARE`] of the goal.
const EXCESS_WAIT_WEIGHT: f64 = 4.0;
/// Cost of traffic between regions.
const REMOTE_COST_MS: f64 = 60.0;
/// Cost of traffic between hosts of a region.
const NEIGHBOUR_COST_MS: f64 = 5.0;
/// How long a prompt part is expected in the caches of another region.
const REMOTE_CACHE_LIFETIME_MS: u64 = 8_000;
/// Prompt parts remembered for other regions before expired ones are dropped.
const MAX_REMOTE_PARTS: usize = 4_096;
/// Cost of a full endpoint relative to an empty one, where events are sent more
/// slowly.
const LOAD_COST_MS: f64 = 150.0;
/// Value of a request that a bound endpoint takes from the others: a permit that is
/// not used lapses.
const PERMIT_CREDIT_MS: f64 = 100.0;
/// Cost of a millisecond by which prefill delays the streams at an endpoint, per
/// stream.
const DELAY_WEIGHT: f64 = 0.08;
/// Time of an engine's step without prefill, in which each stream gets a token:
/// the shortest that the platform states, with a usual batch.
const DECODE_STEP_MS: f64 = 4.5;
/// Cost of a millisecond of a stream's predicted duration.
const STREAM_TIME_WEIGHT: f64 = 0.08;
/// Additional cost of a millisecond by which a stream is predicted to overrun its time limit.
const OVERRUN_WEIGHT: f64 = 0.2;
/// Weight of a new observation in the moving average of a request's run time.
const RUN_EWMA_WEIGHT: f64 = 0.1;
/// Weight of a new observation in the moving average of the prefill time per
/// token, which few requests show.
const PREFILL_EWMA_WEIGHT: f64 = 0.03;
/// Relative increase of an endpoint's cost at an error rate of 1.
const ERROR_RATE_WEIGHT: f64 = 6.0;
/// Share of an engine's memory beyond which requests are preempted.
const PREEMPTION_MEMORY_SHARE: f64 = 0.85;
/// Time for which a request with a shared part runs, relative to the mean of its service: long
/// prompts have the longer answers.
const SHARED_USE_RUNS: f64 = 2.0;

/// Time that a report of a cold endpoint may be under way. Without it, reports that hosts pass
/// on would lengthen the cold time.
const COLD_REPORT_DELAY_MS: u64 = 500;

/// Endpoints that are no longer announced and are remembered.
const MAX_FORMER_ENDPOINTS: usize = 1_024;
/// Shared parts whose length is remembered, for the prompts of other hosts, before all are dropped.
const MAX_KNOWN_PARTS: usize = 4_096;

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuery<'a> {
    /// Its service.
    pub service: &'a Service,
    /// Metadata of the request.
    pub metadata: &'a RequestMetadata,
    /// Endpoints that are not chosen.
    pub excluded: &'a [CompactString],
    /// Software version that the endpoint must have; any if none.
    pub software_version: Option<&'a SoftwareVersion>,
    /// The hosts of the region.
    pub region: &'a RegionView,
    /// Share of the work waiting for the service that is ahead; see [`Fleet::share_ahead`].
    pub share_ahead: f64,
    /// Time left until the response misses its latency goal.
    pub goal_left_ms: f64,
    /// Time left until the request's deadline.
    pub time_left_ms: f64,
    /// Waiting requests for the service that come first.
    pub waiting_ahead: usize,
    /// Pace that the streams of the service need to end in time.
    pub pace_goal: Option<Pace>,
    /// Longest pause of the streams of the service.
    pub gap_goal: Option<GapGoal>,
    /// Predicted number of events of the answer.
    pub expected_events: Option<f64>,
    /// Predicted number of tokens of the answer.
    pub expected_output: Option<Tokens>,
}

impl<'a> EndpointQuery<'a> {
    /// Returns a query for any endpoint of a service, without time limits, ahead of all requests
    /// that wait at this host and behind all work that waits at endpoints.
    pub fn new(
        service: &'a Service,
        metadata: &'a RequestMetadata,
        region: &'a RegionView,
    ) -> Self {
        Self {
            service,
            metadata,
            excluded: &[],
            software_version: None,
            region,
            share_ahead: 1.0,
            goal_left_ms: 0.0,
            time_left_ms: 0.0,
            waiting_ahead: 0,
            pace_goal: None,
            gap_goal: None,
            expected_events: None,
            expected_output: None,
        }
    }
}

/// Predicted wait for a permit of a request that only endpoints with a limit can serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWait {
    /// Time until the first event, behind the waiting requests that come first.
    pub wait_ms: f64,
    /// Time between two permits of this host.
    pub interval_ms: f64,
}

/// An endpoint from which a request was kept because of its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptFrom {
    /// The endpoint.
    pub endpoint: CompactString,
    /// Requests a second that all hosts may send it; none if only its room bounds it.
    pub rate: Option<RequestRate>,
    /// Its free places, if its room bounds it.
    pub free_places: Option<u32>,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Age of its limit as this host knows it.
    pub age_ms: u64,
    /// Time between two permits of this host, if it is known.
    pub interval_ms: Option<f64>,
}

/// An endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: CompactString,
    /// Predicted time until the first event, or until the response if the service
    /// has no engines.
    pub first_event_ms: f64,
    /// Work at the endpoint.
    pub work: Work,
    /// Prompt tokens that are copied from another endpoint.
    pub copied_tokens: u64,
    /// Slowness on which the prediction is based.
    pub slowness: SlownessEstimate,
    /// Predicted time until the endpoint begins with the request.
    pub backlog_ms: f64,
    /// Largest backlog at which the endpoint gets another prompt.
    pub backlog_limit_ms: f64,
    /// Whether the streams there keep the longest pause that their routes allow, if any does.
    pub is_gap_goal_kept: bool,
    /// Whether the request fits into the memory with those that run there, until they end; true
    /// where no route sets a goal for pauses.
    pub has_memory: bool,
    /// Cost, comparable among endpoints and with offers of other regions.
    pub cost_ms: f64,
    /// Endpoint from which cached parts of the prompt are copied first.
    pub fetch_from: Option<SocketAddr>,
    /// The endpoint has no other request, as far as this host knows.
    pub is_idle: bool,
}

impl Choice {
    /// Returns whether the endpoint gets another prompt now.
    pub fn has_room(&self) -> bool {
        self.backlog_ms <= self.backlog_limit_ms
    }

    /// Returns the time for which it gets none after its backlog has drained.
    pub fn hold_ms(&self) -> f64 {
        (-self.backlog_limit_ms).max(0.0)
    }
}

/// Where the start of a prompt is probably cached.
#[derive(Debug, Default)]
struct Caches {
    /// Cached tokens by endpoint.
    tokens: Vec<(CompactString, u64)>,
    /// Id, address and cached tokens of the endpoint with the most of them, if
    /// endpoints copy from each other.
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

fn version_key(announcement: &Announcement) -> (CompactString, SoftwareVersion) {
    (
        announcement.service.clone(),
        announcement.software_version.clone(),
    )
}

/// Returns the cost of a wait: low within a share of the goal, and higher beyond
/// it.
fn wait_cost(first_event_ms: f64, goal_left_ms: f64) -> f64 {
    let excess_ms = (first_event_ms - goal_left_ms * FREE_WAIT_SHARE).max(0.0);
    WAIT_WEIGHT * first_event_ms + EXCESS_WAIT_WEIGHT * excess_ms
}

/// Returns the cost of the time that a stream takes after its first event.
///
/// An engine generates a token of each stream between the prompt chunks that it
/// prefills, so long responses are slow, and may miss their deadline, where many
/// prompts are prefilled.
fn stream_cost(
    endpoint: &Endpoint,
    choice: &Choice,
    query: &EndpointQuery<'_>,
    pace: Option<Pace>,
    prefill_ms_per_token: f64,
    now_ms: u64,
) -> f64 {
    if query.service.engine.is_none() {
        return 0.0;
    }
    let prefill_share = endpoint
        .prefill_share(prefill_ms_per_token, now_ms)
        .min(MAX_PREFILL_SHARE);
    let tokens = query.metadata.max_output_tokens.0 as f64;
    let stream_ms = match (query.expected_events, pace) {
        (Some(events), Some(pace)) => events * pace.event_ms(),
        _ => choice.slowness.factor * tokens * DECODE_STEP_MS / (1.0 - prefill_share),
    };
    let overrun_ms = choice.first_event_ms + choice.hold_ms() + stream_ms - query.time_left_ms;
    STREAM_TIME_WEIGHT * stream_ms + OVERRUN_WEIGHT * overrun_ms.max(0.0)
}

/// Returns the share by which a request would exceed the memory of an engine; running requests
/// free that in the same share of their time.
fn memory_excess(
    endpoint: &Endpoint,
    query: &EndpointQuery<'_>,
    work: Work,
    run_ms: f64,
    now_ms: u64,
) -> f64 {
    let Some(engine) = query.service.engine else {
        return 0.0;
    };
    let shared_tokens = match query.gap_goal {
        Some(_) => endpoint.shared_tokens_in_use(query.metadata, run_ms * SHARED_USE_RUNS, now_ms),
        None => 0,
    };
    let memory = engine.memory_tokens;
    let reserved = endpoint.own_load.reserved_tokens
        + endpoint.peer_load.reserved_tokens
        + shared_tokens
        + work.reserved_tokens;
    let excess = reserved as f64 / (memory as f64 * PREEMPTION_MEMORY_SHARE) - 1.0;
    excess.max(0.0)
}

/// Returns whether a request may be sent to a usable endpoint of its service, regardless of
/// bounds.
fn is_candidate(endpoint: &Endpoint, query: &EndpointQuery<'_>) -> bool {
    let version = &endpoint.announcement.software_version;
    let is_bound_to = |bound| bound == version && endpoint.is_start_known();
    !query.excluded.contains(&endpoint.id) && query.software_version.is_none_or(is_bound_to)
}

/// Returns the tokens that an endpoint is expected to have cached: the known ones
/// or, at the endpoint that all hosts prefer, those that they probably sent there.
fn expected_cached(known: u64, metadata: &RequestMetadata, is_preferred: bool) -> u64 {
    if !is_preferred {
        return known;
    }
    known.max((metadata.shared_tokens() as f64 * PREFERRED_CACHED_SHARE) as u64)
}

/// What is the same for all requests of a service at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mean {
    /// Mean load of the usable endpoints.
    Load,
    /// Usable endpoints, bound ones as the part of one that they can serve.
    Capacity,
}

/// Values that were computed at one moment, for as long as nothing changes.
#[derive(Debug, Default)]
struct Memo {
    change_count: u64,
    now_ms: u64,
    values: Vec<(Mean, CompactString, f64)>,
}

/// All endpoints that this host knows.
#[derive(Debug)]
pub struct Fleet {
    region: CompactString,
    cold: ColdBounds,
    /// Rates of requests to cold endpoints, by service.
    cold_rates: BTreeMap<CompactString, RequestRate>,
    /// Requests that endpoints run at the same time, by service.
    service_slots: BTreeMap<CompactString, u32>,
    /// Services with streams that may go on at another endpoint.
    resumable_services: BTreeSet<CompactString>,
    regions: BTreeMap<CompactString, CompactString>,
    endpoints: EndpointTable,
    evacuated: BTreeSet<CompactString>,
    mean_run_ms: BTreeMap<CompactString, f64>,
    prefill_ms_per_token: BTreeMap<CompactString, f64>,
    /// Mean of the pauses at the endpoints of this host's streams, by service.
    mean_paces: BTreeMap<CompactString, Pauses>,
    /// Prefill work that this host sent, by service.
    prefill_mix: BTreeMap<CompactString, PrefillMix>,
    /// Tokens of the shared parts of prompts that this host sent.
    part_tokens: HashMap<u64, u64>,
    /// When a prompt part was last sent to another region, by region and part.
    remote_parts: BTreeMap<(CompactString, u64), u64>,
    /// Endpoints that are no longer announced, in case they are announced again.
    former_endpoints: BTreeMap<CompactString, FormerEndpoint>,
    /// Services and software versions of endpoints that are gone, with the time until
    /// which streams that they began may be taken up.
    former_versions: BTreeMap<(CompactString, SoftwareVersion), u64>,
    /// This host reaches endpoints.
    is_reached: bool,
    memo: RefCell<Memo>,
}

impl Fleet {
    /// Creates a fleet without endpoints for a host in `region`; `regions` maps data
    /// centres to their regions.
    pub fn new(
        region: CompactString,
        regions: BTreeMap<CompactString, CompactString>,
        cold: ColdBounds,
    ) -> Self {
        Self {
            region,
            cold,
            cold_rates: BTreeMap::new(),
            service_slots: BTreeMap::new(),
            resumable_services: BTreeSet::new(),
            regions,
            endpoints: EndpointTable::default(),
            evacuated: BTreeSet::new(),
            mean_run_ms: BTreeMap::new(),
            prefill_ms_per_token: BTreeMap::new(),
            mean_paces: BTreeMap::new(),
            prefill_mix: BTreeMap::new(),
            part_tokens: HashMap::new(),
            remote_parts: BTreeMap::new(),
            former_endpoints: BTreeMap::new(),
            former_versions: BTreeMap::new(),
            is_reached: true,
            memo: RefCell::default(),
        }
    }

    /// Applies the operators' configuration of services.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.forget_memo();
        let services = configuration.services.iter();
        let rates =
            services.filter_map(|service| Some((service.name.clone(), self.cold.rate(service)?)));
        self.cold_rates = rates.collect();
        let services = configuration.services.iter();
        let slots =
            services.filter_map(|service| Some((service.name.clone(), service.engine?.slots)));
        self.service_slots = slots.collect();
        let routes = configuration.routes.iter();
        let resumable = routes.filter(|route| route.retry_policy == RetryPolicy::Resume);
        let targets = resumable.flat_map(|route| &route.targets);
        self.resumable_services = targets.map(|target| target.service.clone()).collect();
        let ids: Vec<CompactString> = self.endpoints.ids().cloned().collect();
        for id in ids {
            self.apply_service(&id);
        }
        self.endpoints.settle();
    }

    /// Applies the parameters of its service to an endpoint.
    fn apply_service(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let service = &endpoint.announcement.service;
        endpoint.cold_rate = self.cold_rates.get(service).copied();
        endpoint.service_slots = self.service_slots.get(service).copied();
        endpoint.has_resumable_streams = self.resumable_services.contains(service);
    }

    /// Applies an announcement; returns false if its data centre is unknown.
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
            Some(endpoint) => {
                let key = version_key(&endpoint.announcement);
                self.former_versions
                    .insert(key, now_ms + ORIGIN_LIFETIME_MS);
                endpoint.apply_announcement(announcement, now_ms);
            }
            None => {
                let started_ms = announcement.order.started_ms;
                let mut endpoint = Endpoint::new(id.into(), region.clone(), announcement, now_ms);
                let former = self.former_endpoints.remove(id);
                if let Some(former) = former.filter(|former| former.started_ms == started_ms) {
                    endpoint.restore(&former);
                }
                self.endpoints.insert(endpoint);
            }
        }
        self.apply_service(id);
        self.endpoints.settle();
        true
    }

    /// Records that the announcement of an endpoint ends at `at_ms`.
    pub fn withdraw(&mut self, id: &str, at_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.withdraw(at_ms);
        }
    }

    /// Removes endpoints that are no longer announced and have no requests in
    /// progress from this host.
    pub fn drop_withdrawn(&mut self, now_ms: u64) {
        self.former_versions
            .retain(|_, until_ms| now_ms < *until_ms);
        let former_versions = &mut self.former_versions;
        let former = &mut self.former_endpoints;
        former.retain(|_, former| former.is_remembered(now_ms));
        let withdrawn = self.endpoints.concerned(Concern::Withdrawn);
        let gone = withdrawn
            .filter(|endpoint| !endpoint.is_announced(now_ms) && endpoint.own_load.active == 0);
        let gone: Vec<CompactString> = gone.map(|endpoint| endpoint.id.clone()).collect();
        for id in gone {
            let Some(endpoint) = self.endpoints.remove(&id) else {
                continue;
            };
            let key = version_key(&endpoint.announcement);
            former_versions.insert(key, now_ms + ORIGIN_LIFETIME_MS);
            let known = FormerEndpoint::new(&endpoint);
            if known.is_remembered(now_ms) && former.len() < MAX_FORMER_ENDPOINTS {
                former.insert(id, known);
            }
        }
    }

    /// Records that an endpoint states that it is leaving; returns whether this was
    /// not known.
    pub fn record_leaving(&mut self, id: &str) -> bool {
        let endpoint = self.endpoints.get_mut(id);
        endpoint
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.statements.is_leaving, true))
    }

    /// Applies another host's statement that an endpoint is leaving; returns its id if
    /// this was not known. A later start of the endpoint is not leaving.
    pub fn record_peer_leaving(&mut self, leaving: &LeavingEndpoint) -> Option<CompactString> {
        let endpoint = self.get_by_hash(leaving.endpoint)?;
        if endpoint.announcement.order.started_ms != leaving.started_ms {
            return None;
        }
        let was_known = std::mem::replace(&mut endpoint.statements.is_leaving, true);
        (!was_known).then(|| endpoint.id.clone())
    }

    /// Returns the endpoints of this region that state that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = LeavingEndpoint> + '_ {
        let leaving = self.endpoints.concerned(Concern::Leaving);
        let own_region = leaving
            .filter(|endpoint| endpoint.statements.is_leaving && endpoint.region == self.region);
        own_region.map(LeavingEndpoint::new)
    }

    /// Applies what an answer to a request sent at `sent_ms` says about the limit of its
    /// endpoint; returns whether it has changed.
    pub fn record_limit(
        &mut self,
        id: &str,
        statement: LimitStatement,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let rate = match statement {
            LimitStatement::None => None,
            LimitStatement::Limit(rate) => Some(rate),
            LimitStatement::Invalid => return false,
        };
        let endpoint = self.endpoints.get_mut(id);
        endpoint.is_some_and(|endpoint| endpoint.statements.limit.apply(rate, sent_ms, now_ms))
    }

    /// Applies what an answer to a request sent at `sent_ms` says about the requests that its
    /// endpoint can turn away; returns whether that has changed.
    pub fn record_brittle(
        &mut self,
        id: &str,
        statement: LimitStatement,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let rate = match statement {
            LimitStatement::None => None,
            LimitStatement::Limit(rate) => Some(rate),
            LimitStatement::Invalid => return false,
        };
        let endpoint = self.endpoints.get_mut(id);
        endpoint.is_some_and(|endpoint| endpoint.statements.brittle.apply(rate, sent_ms, now_ms))
    }

    /// Applies another host's report of a limit; returns the endpoint's id if it or the
    /// requests that the endpoint can turn away have changed.
    pub fn apply_limit_report(
        &mut self,
        report: &LimitReport,
        now_ms: u64,
    ) -> Option<CompactString> {
        let endpoint = self.get_by_hash(report.endpoint)?;
        if endpoint.announcement.order.started_ms != report.started_ms {
            return None;
        }
        let as_of_ms = now_ms.saturating_sub(report.age_ms);
        let statements = &mut endpoint.statements;
        let is_limit_changed = statements.limit.apply(report.rate, as_of_ms, now_ms);
        let is_brittle_changed = statements.brittle.apply(report.brittle, as_of_ms, now_ms);
        let is_changed = is_limit_changed || is_brittle_changed;
        is_changed.then(|| endpoint.id.clone())
    }

    /// Returns the limits of this region's endpoints for another host.
    pub fn limit_reports(&self, now_ms: u64) -> impl Iterator<Item = LimitReport> + '_ {
        let reported = self.endpoints.concerned(Concern::Reported);
        reported
            .filter(|endpoint| endpoint.region == self.region)
            .filter_map(move |endpoint| LimitReport::of_limited(endpoint, now_ms))
    }

    /// Returns the endpoints of this region that stay and are bound.
    pub fn bounded(&self, now_ms: u64) -> impl Iterator<Item = (&Endpoint, Bound)> {
        let bounded = self.endpoints.concerned(Concern::Bound);
        let bounded = bounded.filter_map(move |endpoint| Some((endpoint, endpoint.bound(now_ms)?)));
        bounded.filter(move |(endpoint, _)| {
            endpoint.region == self.region
                && endpoint.is_staying(now_ms)
                && !self.evacuated.contains(&endpoint.announcement.data_centre)
        })
    }

    /// Returns the endpoints of this region that stay, are not blocked, and get fewer requests
    /// while they are cold.
    pub fn checkable(&self, now_ms: u64) -> impl Iterator<Item = &CompactString> {
        let checkable = self.endpoints.values().filter(move |endpoint| {
            endpoint.region == self.region
                && endpoint.cold_rate.is_some()
                && endpoint.is_staying(now_ms)
                && now_ms >= endpoint.blocked_until_ms()
        });
        checkable.map(|endpoint| &endpoint.id)
    }

    /// Applies another host's report that an endpoint is cold; returns its id if this was not
    /// known.
    ///
    /// A report that says hardly more than this host knows is only late.
    pub fn apply_cold_report(
        &mut self,
        report: &LimitReport,
        now_ms: u64,
    ) -> Option<CompactString> {
        let endpoint = self.get_by_hash(report.endpoint)?;
        let is_same_start = endpoint.announcement.order.started_ms == report.started_ms;
        let known_ms = endpoint.cold_left_ms(now_ms) + COLD_REPORT_DELAY_MS;
        if !is_same_start || report.cold_left_ms <= known_ms {
            return None;
        }
        let was_cold = endpoint.is_cold(now_ms);
        endpoint.set_cold(report.cold_left_ms, now_ms);
        (!was_cold).then(|| endpoint.id.clone())
    }

    /// Returns the reports of this region's endpoints whose start is in doubt.
    pub fn start_reports(&self, now_ms: u64) -> impl Iterator<Item = StartReport> + '_ {
        let doubted = self.endpoints.concerned(Concern::Doubted);
        doubted
            .filter(|endpoint| endpoint.region == self.region)
            .filter_map(move |endpoint| StartReport::of_doubt(endpoint, now_ms))
    }

    /// Returns the endpoint that a report of another host is about; none if this host knows of a
    /// later start.
    pub fn reported_start(&mut self, report: &StartReport) -> Option<&mut Endpoint> {
        let endpoint = self.get_by_hash(report.endpoint)?;
        (endpoint.start() <= report.start).then_some(endpoint)
    }

    /// Returns the id of the endpoint with this hash.
    pub fn id_of(&self, hash: EndpointHash) -> Option<CompactString> {
        let endpoint = self.endpoints.get_by_hash(hash)?;
        Some(endpoint.id.clone())
    }

    /// Returns the time until an endpoint of `service` in this region may be used, of those
    /// that stay and are neither excluded nor of another software version.
    pub fn usable_in_ms(
        &self,
        service: &str,
        version: Option<&SoftwareVersion>,
        excluded: &[CompactString],
        now_ms: u64,
    ) -> Option<u64> {
        self.staying(service, now_ms)
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .filter(|endpoint| {
                version.is_none_or(|bound| *bound == endpoint.announcement.software_version)
            })
            .map(|endpoint| {
                let permit_ms = match endpoint.bound(now_ms) {
                    Some(_) => endpoint.permit_due_in_ms(now_ms) as u64,
                    None => 0,
                };
                permit_ms.max(endpoint.usable_at_ms().saturating_sub(now_ms))
            })
            .min()
    }

    /// Returns whether an endpoint of a service and software version in `region` is
    /// announced and stays.
    pub fn has_version(
        &self,
        region: &str,
        service: &str,
        version: &SoftwareVersion,
        now_ms: u64,
    ) -> bool {
        self.staying_in(region, service, now_ms)
            .any(|endpoint| endpoint.announcement.software_version == *version)
    }

    /// Returns the only software version of a service's endpoints in all regions, those
    /// included that are gone but may have begun streams that callers still take up.
    pub fn only_version(&self, service: &str, now_ms: u64) -> Option<&SoftwareVersion> {
        let current = self.endpoints.versions().get(service);
        let current = current.into_iter().flat_map(BTreeMap::keys);
        let former = self
            .former_versions
            .iter()
            .filter(|((name, _), until_ms)| name == service && now_ms < **until_ms)
            .map(|((_, version), _)| version);
        let mut versions = current.chain(former);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Records that a version of a service served until now, as far as the store knows.
    pub fn record_served(&mut self, service: &str, version: &SoftwareVersion, now_ms: u64) {
        let key = (service.into(), version.clone());
        let until_ms = now_ms + ORIGIN_LIFETIME_MS;
        self.former_versions.entry(key).or_insert(until_ms);
    }

    /// Returns the versions of each service, those included that are gone but may have begun
    /// streams that callers still take up.
    pub fn served_versions(&self, now_ms: u64) -> BTreeMap<CompactString, ServedVersions> {
        let current = self.endpoints.versions().iter();
        let current = current.map(|(service, versions)| {
            let served = ServedVersions {
                versions: versions.keys().cloned().collect(),
                routes: None,
            };
            (service.clone(), served)
        });
        let mut served: BTreeMap<CompactString, ServedVersions> = current.collect();
        let former = self.former_versions.iter();
        for ((service, version), _) in former.filter(|(_, until_ms)| now_ms < **until_ms) {
            let served = served.entry(service.clone()).or_default();
            served.versions.insert(version.clone());
        }
        served
    }

    /// Returns the endpoints of a service in this region that are announced and stay.
    fn staying<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.staying_in(&self.region, service, now_ms)
    }

    fn staying_in<'a>(
        &'a self,
        region: &'a str,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let endpoints = self.endpoints.of_service(region, service);
        endpoints.filter(move |endpoint| {
            endpoint.is_staying(now_ms)
                && !self.evacuated.contains(&endpoint.announcement.data_centre)
        })
    }

    /// Returns the time until the first endpoint of `service` in this region wants
    /// requests from this host again; none if there is another one, or none at all.
    pub fn unwanted_for_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let mut first_ms: Option<u64> = None;
        for endpoint in self.staying(service, now_ms) {
            let until_ms = endpoint.statements.unwanted_until_ms;
            if until_ms <= now_ms {
                return None;
            }
            first_ms = Some(first_ms.map_or(until_ms, |known_ms| known_ms.min(until_ms)));
        }
        first_ms.map(|until_ms| until_ms - now_ms)
    }

    /// Stops or resumes the use of a data centre's endpoints; returns the number of those that
    /// count as cold because of that.
    ///
    /// When use resumes, its endpoints count as cold, because they may have become
    /// so without announcing it.
    pub fn set_evacuated(
        &mut self,
        data_centre: &str,
        is_evacuated: bool,
        configuration: &Configuration,
        now_ms: u64,
    ) -> usize {
        self.forget_memo();
        if is_evacuated {
            self.evacuated.insert(data_centre.into());
            return 0;
        }
        if !self.evacuated.remove(data_centre) {
            return 0;
        }
        let mut cold_count = 0;
        self.endpoints.change_all(|endpoint| {
            if endpoint.announcement.data_centre == data_centre {
                let service = configuration.service(&endpoint.announcement.service);
                endpoint.set_cold(service.map_or(0, |service| service.cold_ms), now_ms);
                cold_count += usize::from(endpoint.is_cold(now_ms));
            }
        });
        cold_count
    }

    /// Sets whether this host reaches endpoints; without, none may be used.
    pub fn set_reached(&mut self, is_reached: bool) {
        self.forget_memo();
        self.is_reached = is_reached;
    }

    /// Forgets failures of endpoints, which were this host's own.
    pub fn forget_failures(&mut self) {
        self.endpoints.change_all(Endpoint::forget_failures);
    }

    /// Returns the ids of this region's endpoints that stay, in order.
    pub fn staying_ids(&self, now_ms: u64) -> Vec<CompactString> {
        let staying = self.endpoints.values().filter(|endpoint| {
            endpoint.region == self.region
                && endpoint.is_staying(now_ms)
                && !self.evacuated.contains(&endpoint.announcement.data_centre)
        });
        staying.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Returns the number of endpoints with requests of this host in progress.
    pub fn busy_count(&self) -> usize {
        self.endpoints.busy_count()
    }

    /// Returns the endpoints with requests of this host in progress.
    pub fn busy(&self) -> impl Iterator<Item = &Endpoint> {
        let busy = self.endpoints.concerned(Concern::Busy);
        busy.filter(|endpoint| endpoint.own_load.active > 0)
    }

    /// Returns the endpoints with streams of this host that have a pace.
    pub fn paced(&self, now_ms: u64) -> impl Iterator<Item = (&Endpoint, Pace)> {
        let paced = self.endpoints.concerned(Concern::Paced);
        paced.filter_map(move |endpoint| Some((endpoint, endpoint.pace.pace(now_ms)?)))
    }

    /// Looks at all endpoints in case that the change of one was missed; returns the number of
    /// those.
    pub fn rescan(&mut self, now_ms: u64) -> usize {
        self.endpoints.rescan(now_ms)
    }

    /// Returns the endpoints that a concern may apply to.
    pub fn concerned(&self, concern: Concern) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.concerned(concern)
    }

    /// Returns how many endpoints were looked at or changed, for a measure of the work.
    pub fn visit_count(&self) -> u64 {
        self.endpoints.visit_count()
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns an endpoint by its id for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Sets the number of live hosts of the region.
    pub fn set_host_count(&mut self, host_count: usize, now_ms: u64) {
        self.endpoints.set_host_count(host_count as u32, now_ms);
    }

    /// Applies another host's statement that a brittle endpoint turned a request away.
    pub fn apply_peer_full(&mut self, block: &EndpointBlock, now_ms: u64) {
        if let Some(endpoint) = self.get_by_hash(block.endpoint) {
            endpoint.record_full(u64::from(block.for_ms), now_ms);
        }
    }

    /// Returns the mean time until a place of a full endpoint is free again.
    pub fn place_interval_ms(&self, endpoint: &Endpoint) -> f64 {
        let run_ms = self.mean_run_ms.get(&endpoint.announcement.service);
        let slots = endpoint
            .service_slots
            .unwrap_or(endpoint.announcement.slots);
        run_ms.copied().unwrap_or(INITIAL_CALL_MS) / f64::from(slots.max(1))
    }

    /// Replaces the load that the other hosts of the region place at the endpoints, by the hashes
    /// of the endpoints' ids.
    pub fn set_peer_loads(&mut self, shares: &HashMap<EndpointHash, LoadShare>) {
        self.endpoints.set_peer_loads(shares);
    }

    fn get_by_hash(&mut self, hash: EndpointHash) -> Option<&mut Endpoint> {
        self.endpoints.get_mut_by_hash(hash)
    }

    /// Applies another host's block of an endpoint.
    pub fn apply_peer_block(&mut self, block: &EndpointBlock, now_ms: u64) {
        if let Some(endpoint) = self.get_by_hash(block.endpoint) {
            endpoint.apply_peer_block(u64::from(block.for_ms), now_ms);
        }
    }

    /// Remembers a prompt that another host of the region sent.
    pub fn record_peer_prompt(&mut self, sent: &SentPrompt, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut_by_hash(sent.endpoint) else {
            return;
        };
        endpoint.record_peer_prompt(sent, now_ms);
        for part in &sent.parts {
            if let Some(tokens) = self.part_tokens.get(part) {
                endpoint.record_used_part(*part, *tokens, now_ms);
            }
        }
    }

    /// Remembers the lengths of a prompt's shared parts, which other hosts do not state.
    pub fn record_shared_parts(&mut self, metadata: &RequestMetadata) {
        if self.part_tokens.len() > MAX_KNOWN_PARTS {
            self.part_tokens.clear();
        }
        for part in metadata.shared_parts() {
            self.part_tokens.insert(part.id, part.tokens.0);
        }
    }

    /// Records how long a request of a service ran.
    pub fn record_run_time(&mut self, service: &str, run_ms: f64) {
        self.forget_memo();
        let known = self.mean_run_ms.entry(service.into()).or_insert(run_ms);
        *known += RUN_EWMA_WEIGHT * (run_ms - *known);
    }

    /// Records the time until a request's first event, from which the prefill time
    /// per token of a service is estimated.
    ///
    /// Only requests that dominate their endpoint's backlog are used.
    pub fn record_first_event_time(&mut self, service: &str, choice: &Choice, actual_ms: f64) {
        let tokens = choice.work.uncached_tokens as f64;
        let is_significant = tokens > 1_000.0 && choice.backlog_ms < choice.first_event_ms / 4.0;
        if !is_significant {
            return;
        }
        self.forget_memo();
        let observed = ((actual_ms - FIRST_EVENT_MS) / tokens).clamp(
            INITIAL_PREFILL_MS_PER_TOKEN / 20.0,
            INITIAL_PREFILL_MS_PER_TOKEN * 20.0,
        );
        let known = self
            .prefill_ms_per_token
            .entry(service.into())
            .or_insert(INITIAL_PREFILL_MS_PER_TOKEN);
        *known += PREFILL_EWMA_WEIGHT * (observed - *known);
    }

    /// Returns the endpoints of `service` in this region that may be used, regardless
    /// of their load and of whether they are cold.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.staying(service, now_ms)
            .filter(move |endpoint| self.is_reached && endpoint.is_usable(now_ms))
    }

    /// Returns the endpoint with the lowest cost for a request, or none if none may be
    /// used now.
    pub fn choose(&self, query: &EndpointQuery<'_>, now_ms: u64) -> Option<Choice> {
        let caches = self.caches(query, now_ms);
        let has_permit = self.has_unclaimed_permit(query, now_ms);
        self.candidates(query, now_ms)
            .filter(|endpoint| {
                endpoint.bound(now_ms).is_none() || (has_permit && endpoint.is_permitted(now_ms))
            })
            .map(|endpoint| {
                let choice = self.predict(endpoint, query, &caches, now_ms);
                Choice {
                    cost_ms: self.cost(endpoint, &choice, query, now_ms),
                    ..choice
                }
            })
            .min_by(|left, right| {
                let by_memory = right.has_memory.cmp(&left.has_memory);
                by_memory.then_with(|| left.cost_ms.total_cmp(&right.cost_ms))
            })
    }

    /// Returns the usable endpoints that a request may be sent to, regardless of bounds.
    fn candidates<'a>(
        &'a self,
        query: &'a EndpointQuery<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.usable(&query.service.name, now_ms)
            .filter(|endpoint| is_candidate(endpoint, query))
    }

    /// Returns the bound ones of the endpoints of `service` in this region that may be used.
    fn bound_usable<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'a Endpoint, Bound)> + 'a {
        let bounded = self.bounded(now_ms);
        bounded.filter(move |(endpoint, _)| {
            endpoint.announcement.service == service
                && self.is_reached
                && endpoint.is_usable(now_ms)
        })
    }

    /// Returns whether this host holds more permits for a service than the waiting requests
    /// that come first will use.
    fn has_unclaimed_permit(&self, query: &EndpointQuery<'_>, now_ms: u64) -> bool {
        let bounded = self.bound_usable(&query.service.name, now_ms);
        let held: usize = bounded
            .map(|(endpoint, _)| endpoint.permits.count(now_ms))
            .sum();
        held > query.waiting_ahead
    }

    /// Predicts the wait of a request for a permit; none if an endpoint that is not bound may
    /// be used, or none at all.
    pub fn limit_wait(&self, query: &EndpointQuery<'_>, now_ms: u64) -> Option<LimitWait> {
        let mut due_ms: Option<f64> = None;
        let mut permits_per_ms = 0.0;
        for endpoint in self.candidates(query, now_ms) {
            endpoint.bound(now_ms)?;
            let next_ms = endpoint.permit_due_in_ms(now_ms);
            due_ms = Some(due_ms.map_or(next_ms, |known_ms| known_ms.min(next_ms)));
            // Before the first answer of the coordinator, a permit may come at once.
            let interval_ms = endpoint.permit_interval_ms(now_ms).unwrap_or(0.0);
            permits_per_ms += 1.0 / interval_ms;
        }
        let interval_ms = 1.0 / permits_per_ms;
        let run_ms = match query.service.engine {
            Some(_) => FIRST_EVENT_MS,
            None => self.mean_run_ms(query.service),
        };
        Some(LimitWait {
            wait_ms: due_ms? + query.waiting_ahead as f64 * interval_ms + run_ms,
            interval_ms,
        })
    }

    /// Returns an endpoint that a request may not be sent to because of its bound.
    pub fn kept_from(&self, query: &EndpointQuery<'_>, now_ms: u64) -> Option<KeptFrom> {
        let has_permit = self.has_unclaimed_permit(query, now_ms);
        let bounded = self.bound_usable(&query.service.name, now_ms);
        let mut candidates = bounded.filter(|(endpoint, _)| is_candidate(endpoint, query));
        candidates.find_map(|(endpoint, bound)| {
            let is_kept = !has_permit || !endpoint.is_permitted(now_ms);
            is_kept.then(|| KeptFrom {
                endpoint: endpoint.id.clone(),
                rate: bound.rate(),
                free_places: bound.room().map(|room| room.free),
                is_cold: bound.is_cold(),
                age_ms: endpoint.statements.limit.age_ms(now_ms),
                interval_ms: endpoint.permits.interval_ms(now_ms),
            })
        })
    }

    /// Returns the usable endpoints of a service, bound ones as the part of one that they can
    /// serve.
    pub fn capacity(&self, service: &Service, now_ms: u64) -> f64 {
        self.memoised(Mean::Capacity, &service.name, now_ms, || {
            let one_ms = self.service_ms(service, &RequestMetadata::default(), now_ms);
            self.usable(&service.name, now_ms)
                .map(|endpoint| match endpoint.bound(now_ms) {
                    Some(bound) => bound
                        .rate()
                        .map_or(1.0, |rate| (rate.per_s() * one_ms / 1_000.0).min(1.0)),
                    None => 1.0,
                })
                .sum()
        })
    }

    /// Returns a value of a service, which is computed once for each moment and state.
    ///
    /// The requests that wait are placed at the same moment, and each of them needs it for all
    /// those ahead of it and for each region.
    fn memoised<F>(&self, mean: Mean, service: &str, now_ms: u64, compute: F) -> f64
    where
        F: FnOnce() -> f64,
    {
        let change_count = self.endpoints.change_count();
        let mut memo = self.memo.borrow_mut();
        if memo.change_count != change_count || memo.now_ms != now_ms {
            memo.change_count = change_count;
            memo.now_ms = now_ms;
            memo.values.clear();
        }
        let mut values = memo.values.iter();
        let known = values.find(|(known, name, _)| *known == mean && name == service);
        if let Some((_, _, value)) = known {
            return *value;
        }
        drop(memo);
        let value = compute();
        let mut memo = self.memo.borrow_mut();
        memo.values.push((mean, service.into(), value));
        value
    }

    fn forget_memo(&mut self) {
        self.memo.get_mut().values.clear();
    }

    /// Returns the cost of a choice in milliseconds.
    ///
    /// A wait within a share of the goal costs a caller little, while a prompt part
    /// that is prefilled again takes time from all requests of the endpoint.
    fn cost(
        &self,
        endpoint: &Endpoint,
        choice: &Choice,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> f64 {
        let service = query.service;
        let slots = slots_of(endpoint, Some(service));
        let load = endpoint.load(now_ms);
        let prefill_ms_per_token = self.prefill_ms_per_token(service, load);
        let prefill_ms = choice.work.uncached_tokens as f64 * prefill_ms_per_token;
        let copy_ms = choice.copied_tokens as f64 * prefill_ms_per_token;
        let load_ms = load / slots * LOAD_COST_MS;
        let cost = PREFILL_WEIGHT * prefill_ms
            + DELAY_WEIGHT * prefill_ms * load
            + COPY_WEIGHT * copy_ms
            + wait_cost(choice.first_event_ms + choice.hold_ms(), query.goal_left_ms)
            + stream_cost(
                endpoint,
                choice,
                query,
                self.pace_at(endpoint, now_ms),
                prefill_ms_per_token,
                now_ms,
            )
            + load_ms
            + self.pause_cost(endpoint, query, now_ms);
        let bound = endpoint.bound(now_ms);
        let credit_ms = match bound.and_then(|bound| bound.rate()) {
            Some(_) => PERMIT_CREDIT_MS,
            None => 0.0,
        };
        cost * (1.0 + ERROR_RATE_WEIGHT * endpoint.error_rate()) - credit_ms
    }

    /// Returns the endpoint that all hosts of the region prefer for a prompt part
    /// (rendezvous hashing).
    fn preferred(&self, service: &str, part: u64, now_ms: u64) -> Option<CompactString> {
        // Most requests with the part could not be sent to a bound endpoint.
        self.usable(service, now_ms)
            .filter(|endpoint| {
                let bound = endpoint.bound(now_ms);
                bound.and_then(|bound| bound.rate()).is_none()
            })
            .max_by_key(|endpoint| xxh3_64_with_seed(endpoint.id.as_bytes(), part))
            .map(|endpoint| endpoint.id.clone())
    }

    /// Predicts the first event of a request at an endpoint.
    fn predict(
        &self,
        endpoint: &Endpoint,
        query: &EndpointQuery<'_>,
        caches: &Caches,
        now_ms: u64,
    ) -> Choice {
        let service = query.service;
        let cached = caches.tokens_at(&endpoint.id);
        let copied_tokens = caches.copied_to(endpoint, cached);
        let work = Work::new(query.metadata, cached + copied_tokens);
        let work = match query.gap_goal {
            Some(_) => work.with_expected_memory(query.metadata, query.expected_output),
            None => work,
        };
        let load = endpoint.load(now_ms);
        let slots = slots_of(endpoint, Some(service));
        let run_ms = self.mean_run_ms(service);
        let prefill_ms_per_token = self.prefill_ms_per_token(service, load);
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * run_ms;
        let memory_excess = memory_excess(endpoint, query, work, run_ms, now_ms);
        let backlog_tokens = endpoint.own_load.backlog_tokens + endpoint.peer_load.backlog_tokens;
        let slowness = endpoint.slowness_estimate(now_ms);
        let backlog_ms = slowness.factor
            * (backlog_tokens as f64 * prefill_ms_per_token * query.share_ahead + wait_ms)
            + memory_excess * run_ms;
        let request_ms = match service.engine {
            Some(_) => FIRST_EVENT_MS + work.uncached_tokens as f64 * prefill_ms_per_token,
            None => run_ms,
        };
        let prefill_share = slowness.factor * endpoint.prefill_share(prefill_ms_per_token, now_ms);
        let pauses = service.engine.and(self.pauses_at(endpoint, now_ms));
        let pace_limit_ms = endpoint.backlog_limit_ms(
            pauses.and_then(|pauses| Pace::from_event_ms(pauses.mean_ms)),
            query.pace_goal,
            prefill_share,
            query.share_ahead,
        );
        let prefill = PrefillState {
            share: prefill_share,
            share_ahead: query.share_ahead,
            request_ms: slowness.factor * work.uncached_tokens as f64 * prefill_ms_per_token,
        };
        let gap_goal = self.goal_and_pauses(endpoint, query, now_ms);
        Choice {
            endpoint: endpoint.id.clone(),
            first_event_ms: backlog_ms + slowness.factor * request_ms,
            backlog_limit_ms: gap_goal.map_or(pace_limit_ms, |(goal, pauses)| {
                pace_limit_ms.min(goal.backlog_limit_ms(pauses, prefill))
            }),
            slowness,
            has_memory: query.gap_goal.is_none() || memory_excess <= 0.0,
            is_gap_goal_kept: gap_goal.is_none_or(|(goal, pauses)| goal.is_kept(pauses)),
            cost_ms: 0.0,
            work,
            copied_tokens,
            backlog_ms,
            is_idle: load <= 0.0,
            fetch_from: caches
                .source
                .as_ref()
                .filter(|_| copied_tokens > 0)
                .map(|(_, address, _)| *address),
        }
    }

    /// Returns the pace of the streams at an endpoint: the measured one, or the mean of the
    /// others if this host has no streams there.
    fn pace_at(&self, endpoint: &Endpoint, now_ms: u64) -> Option<Pace> {
        let pauses = self.pauses_at(endpoint, now_ms)?;
        Pace::from_event_ms(pauses.mean_ms)
    }

    /// Returns the pauses of the streams at an endpoint, as [`Fleet::pace_at`] does.
    fn pauses_at(&self, endpoint: &Endpoint, now_ms: u64) -> Option<Pauses> {
        let own = endpoint.pace.pauses(now_ms);
        own.or_else(|| self.mean_paces.get(&endpoint.announcement.service).copied())
    }

    /// Returns the goal for the pauses at an endpoint, with those pauses; none if no stream there
    /// can pause, or if the pauses are not known.
    fn goal_and_pauses(
        &self,
        endpoint: &Endpoint,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> Option<(GapGoal, Pauses)> {
        let goal = query.gap_goal.filter(|_| query.service.engine.is_some())?;
        let has_streams = endpoint.load(now_ms) > 0.0;
        let pauses = self.pauses_at(endpoint, now_ms);
        pauses.filter(|_| has_streams).map(|pauses| (goal, pauses))
    }

    /// Returns the cost of a prompt to the streams at an endpoint whose pauses are near the goal.
    fn pause_cost(&self, endpoint: &Endpoint, query: &EndpointQuery<'_>, now_ms: u64) -> f64 {
        let paced = self.goal_and_pauses(endpoint, query, now_ms);
        paced.map_or(0.0, |(goal, pauses)| goal.cost_ms(pauses))
    }

    /// Returns the room for streams of a service in this region; none if it has no engines or
    /// no endpoint may be used.
    pub fn room(&self, service: &Service, now_ms: u64) -> Option<ServiceRoom> {
        let engine = service.engine?;
        let memory_tokens = (engine.memory_tokens as f64 * PREEMPTION_MEMORY_SHARE) as u64;
        let use_ms = self.mean_run_ms(service) * SHARED_USE_RUNS;
        let no_prompt = RequestMetadata::default();
        let (mut count, mut pause_ms) = (0.0, 0.0);
        let (mut free_tokens, mut largest_free_tokens) = (0, 0);
        for endpoint in self.usable(&service.name, now_ms) {
            count += 1.0;
            // An idle endpoint has no streams that pause.
            if endpoint.load(now_ms) > 0.0
                && let Some(pauses) = self.pauses_at(endpoint, now_ms)
            {
                pause_ms += pauses.long_ms;
            }
            let needed_tokens = endpoint.own_load.reserved_tokens
                + endpoint.peer_load.reserved_tokens
                + endpoint.shared_tokens_in_use(&no_prompt, use_ms, now_ms);
            let free = memory_tokens.saturating_sub(needed_tokens);
            free_tokens += free;
            largest_free_tokens = free.max(largest_free_tokens);
        }
        (count > 0.0).then(|| ServiceRoom {
            service: service.name.clone(),
            pause_ms: (pause_ms / count) as u32,
            free_tokens,
            largest_free_tokens,
        })
    }

    /// Updates the mean paces of the services' endpoints.
    pub fn update_paces(&mut self, now_ms: u64) {
        let mut sums: BTreeMap<CompactString, (f64, f64, f64)> = BTreeMap::new();
        for (endpoint, _) in self.paced(now_ms) {
            let Some(pauses) = endpoint.pace.pauses(now_ms) else {
                continue;
            };
            let service = endpoint.announcement.service.clone();
            let (mean_ms, long_ms, count) = sums.entry(service).or_default();
            *mean_ms += pauses.mean_ms;
            *long_ms += pauses.long_ms;
            *count += 1.0;
        }
        let means = sums
            .into_iter()
            .map(|(service, (mean_ms, long_ms, count))| {
                let pauses = Pauses {
                    mean_ms: mean_ms / count,
                    long_ms: long_ms / count,
                };
                (service, pauses)
            });
        self.mean_paces = means.collect();
    }

    /// Estimates where the start of the prompt is cached.
    fn caches(&self, query: &EndpointQuery<'_>, now_ms: u64) -> Caches {
        let service = query.service;
        let affinity = query.metadata.affinity_key();
        let preferred = affinity.and_then(|part| self.preferred(&service.name, part, now_ms));
        let memory_tokens = service.engine.map_or(0, |engine| engine.memory_tokens);
        let lifetime_tokens = (memory_tokens as f64 * CACHE_SHARE) as u64;
        let copy_ms = service.engine.and_then(|engine| engine.copy_ms_per_token);
        let is_copy_faster =
            copy_ms.is_some_and(|copy_ms| copy_ms <= INITIAL_PREFILL_MS_PER_TOKEN / 2.0);
        let mut caches = Caches::default();
        for endpoint in self.usable(&service.name, now_ms) {
            let known = endpoint.cached_tokens(query.metadata, lifetime_tokens, u64::MAX);
            let is_preferred = preferred.as_ref() == Some(&endpoint.id);
            let tokens = expected_cached(known, query.metadata, is_preferred);
            if tokens == 0 {
                continue;
            }
            caches.tokens.push((endpoint.id.clone(), tokens));
            if !is_copy_faster {
                continue;
            }
            // Only tokens that have been prefilled can be copied.
            let prefilled = endpoint.cached_tokens(query.metadata, lifetime_tokens, now_ms);
            let best = caches.source.as_ref().map_or(0, |(_, _, tokens)| *tokens);
            if prefilled > best {
                let address = endpoint.announcement.address;
                caches.source = Some((endpoint.id.clone(), address, prefilled));
            }
        }
        caches
    }

    /// Returns the cost of a request in another region, where the first event comes
    /// after `first_event_ms` if the complete prompt has to be prefilled.
    pub fn remote_cost(
        &self,
        region: &str,
        first_event_ms: f64,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> f64 {
        let metadata = query.metadata;
        let is_known = metadata.affinity_key().is_some_and(|part| {
            let sent_ms = self.remote_parts.get(&(region.into(), part));
            sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + REMOTE_CACHE_LIFETIME_MS)
        });
        let cached = if is_known {
            metadata.shared_tokens()
        } else {
            0
        };
        let uncached_tokens = metadata.prompt_tokens.0.saturating_sub(cached);
        let prefill_ms =
            uncached_tokens as f64 * self.mean_prefill_ms_per_token(query.service, now_ms);
        REMOTE_COST_MS + PREFILL_WEIGHT * prefill_ms + wait_cost(first_event_ms, query.goal_left_ms)
    }

    /// Returns the cost of a request that another host of this region serves.
    pub fn neighbour_cost(
        &self,
        region: &str,
        first_event_ms: f64,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> f64 {
        let remote_ms = self.remote_cost(region, first_event_ms, query, now_ms);
        remote_ms - REMOTE_COST_MS + NEIGHBOUR_COST_MS
    }

    /// Remembers the prompt of a request that was forwarded to another region.
    pub fn record_remote_prompt(&mut self, region: &str, metadata: &RequestMetadata, now_ms: u64) {
        if self.remote_parts.len() > MAX_REMOTE_PARTS {
            self.remote_parts
                .retain(|_, sent_ms| now_ms < *sent_ms + REMOTE_CACHE_LIFETIME_MS);
        }
        if let Some(part) = metadata.affinity_key() {
            self.remote_parts.insert((region.into(), part), now_ms);
        }
    }

    /// Records the prefill work of a request that this host sent.
    pub fn record_prefill(
        &mut self,
        service: &CompactString,
        priority: Option<u8>,
        prefill: Tokens,
        now_ms: u64,
    ) {
        let mix = self.prefill_mix.entry(service.clone()).or_default();
        mix.record(priority, prefill, now_ms);
    }

    /// Returns the share of the work waiting for a service that is ahead of a request.
    pub fn share_ahead(&self, service: &Service, priority: Option<u8>) -> f64 {
        let mix = self.prefill_mix.get(&service.name);
        mix.map_or(1.0, |mix| mix.share_ahead(priority))
    }

    fn prefill_ms_per_token(&self, service: &Service, load: f64) -> f64 {
        let base = self
            .prefill_ms_per_token
            .get(&service.name)
            .copied()
            .unwrap_or(INITIAL_PREFILL_MS_PER_TOKEN);
        base * (1.0 + BATCH_SLOWDOWN * load)
    }

    /// Returns the mean time that a request of the service runs.
    pub fn mean_run_ms(&self, service: &Service) -> f64 {
        let initial = match service.engine {
            Some(_) => INITIAL_GENERATION_MS,
            None => INITIAL_CALL_MS,
        };
        self.mean_run_ms
            .get(&service.name)
            .copied()
            .unwrap_or(initial)
    }
}

impl Fleet {
    /// Predicts the time until an endpoint begins with a new request.
    pub fn backlog_ms(&self, endpoint: &Endpoint, service: &Service, now_ms: u64) -> f64 {
        let (metadata, region) = (RequestMetadata::default(), RegionView::default());
        let query = EndpointQuery::new(service, &metadata, &region);
        self.predict(endpoint, &query, &Caches::default(), now_ms)
            .backlog_ms
    }

    /// Predicts the mean time until an endpoint of this region that stays begins with a new
    /// request; none if there is none.
    pub fn staying_backlog_ms(&self, service: &Service, now_ms: u64) -> Option<f64> {
        let staying: Vec<&Endpoint> = self.staying(&service.name, now_ms).collect();
        let backlogs = staying
            .iter()
            .map(|endpoint| self.backlog_ms(endpoint, service, now_ms));
        let total_ms: f64 = backlogs.sum();
        (!staying.is_empty()).then(|| total_ms / staying.len() as f64)
    }

    /// Returns the time to prefill a prompt token at an endpoint with the mean load.
    pub fn mean_prefill_ms_per_token(&self, service: &Service, now_ms: u64) -> f64 {
        let load = self.memoised(Mean::Load, &service.name, now_ms, || {
            let mut count = 0.0;
            let mut load = 0.0;
            for endpoint in self.usable(&service.name, now_ms) {
                count += 1.0;
                load += endpoint.load(now_ms);
            }
            load / f64::max(count, 1.0)
        });
        self.prefill_ms_per_token(service, load)
    }

    /// Returns the time that an endpoint spends on a request before it can begin
    /// with the next.
    pub fn service_ms(&self, service: &Service, metadata: &RequestMetadata, now_ms: u64) -> f64 {
        match service.engine {
            Some(_) => {
                FIRST_EVENT_MS
                    + metadata.prompt_tokens.0 as f64
                        * self.mean_prefill_ms_per_token(service, now_ms)
            }
            None => self.mean_run_ms(service) / 2.0,
        }
    }
}
