//! The choice of an endpoint within the region.
//!
//! The completion time is predicted for every candidate; a cached prefix reduces
//! its prefill. Candidates whose prediction is close to the best one count as
//! equal. A prompt with a prefix goes to the endpoint among them that has most
//! of it cached, or else to the one that rendezvous hashing of the prefix
//! selects, unless that endpoint's load exceeds a bound. Any other request goes
//! to the less loaded of two equal candidates drawn at random, so that many hosts
//! that use the same outdated load report do not all choose the same endpoint.

use rand::{
    Rng,
    RngExt, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    context::Context,
    policy::{
        Policy,
        Routing,
        fraction, //
    },
    predict::{
        Prediction,
        Work, //
    },
    view::EndpointState, //
};
use crate::types::{
    EndpointId,
    Millis,
    Target,
    Tokens, //
};

/// The properties of a request that determine its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuery<'a> {
    /// The model or service that is requested.
    pub target: &'a Target,
    /// Version that the endpoint must serve; `None` for services.
    pub version: Option<&'a str>,
    /// Size of the request.
    pub work: Work,
    /// Hashes of the prompt's leading blocks.
    pub prefix_hashes: &'a [u64],
    /// Whether the endpoint must be able to continue a partial response.
    pub needs_continuation: bool,
    /// Endpoints of its earlier attempts.
    pub tried: &'a [EndpointId],
    /// Whether the request may wait for an endpoint that has its prefix cached.
    pub may_wait_for_cache: bool,
}

/// An endpoint that could serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Estimated number of requests at the endpoint.
    pub load: f64,
    /// Requests according to the newest report, regardless of its age.
    pub reported_requests: u32,
    /// Requests that the endpoint runs concurrently.
    pub slots: f64,
    /// Leading blocks of the prompt that are probably cached there.
    pub cached_blocks: usize,
    /// Predicted times of the request at this endpoint.
    pub prediction: Prediction,
}

impl Candidate {
    /// Whether one more request would have to wait at the endpoint.
    pub fn is_full(&self) -> bool {
        // The estimate is fractional; less than half a free slot counts as none.
        self.load + 0.5 > self.slots
    }
}

/// Returns the endpoints of this region that could serve a request now.
///
/// Endpoints of earlier attempts of the request, and those that recently failed
/// or refused any request, are excluded if others are available.
pub fn candidates(context: &Context<'_>, query: &EndpointQuery<'_>) -> Vec<Candidate> {
    let (now_ms, policy) = (context.now_ms, context.policy);
    let view = context.view;
    let serving = view.serving(context.region, query.target, query.version);
    let states: Vec<&EndpointState> = serving
        .filter(|state| state.info.can_continue || !query.needs_continuation)
        .collect();
    let hosts = context.host_count();
    let prior = mean_load_per_slot(&states, now_ms, policy);
    preferred(states, now_ms, query)
        .into_iter()
        .map(|state| {
            let prior = prior * f64::from(state.info.slots);
            let load = state.load(now_ms, prior, hosts, policy);
            candidate(context, state, load, query)
        })
        .collect()
}

/// Returns the endpoints that the request has not tried, if any, and of these the
/// ones that have not recently failed or refused a request, if any.
fn preferred<'a>(
    states: Vec<&'a EndpointState>,
    now_ms: Millis,
    query: &EndpointQuery<'_>,
) -> Vec<&'a EndpointState> {
    let rank = |state: &EndpointState| (is_tried(state, query), state.is_avoided(now_ms));
    let best = states.iter().map(|state| rank(state)).min();
    let is_best = |state: &&EndpointState| Some(rank(state)) == best;
    states.into_iter().filter(is_best).collect()
}

/// Returns the mean reported load per slot, weighted by the age of the reports.
pub(super) fn mean_load_per_slot(
    states: &[&EndpointState],
    now_ms: Millis,
    policy: &Policy,
) -> f64 {
    let mut load = 0.0;
    let mut slots = 0.0;
    for state in states {
        let weight = state.report_weight(now_ms, policy);
        load += weight * f64::from(state.reported_requests().unwrap_or(0));
        slots += weight * f64::from(state.info.slots);
    }
    if slots > 0.0 { load / slots } else { 0.0 }
}

fn is_tried(state: &EndpointState, query: &EndpointQuery<'_>) -> bool {
    query.tried.contains(&state.info.id)
}

fn candidate(
    context: &Context<'_>,
    state: &EndpointState,
    load: f64,
    query: &EndpointQuery<'_>,
) -> Candidate {
    let policy = context.policy;
    let predictor = context.predictor;
    let slots = f64::from(state.info.slots);
    let cached_blocks = state.prefixes.known_blocks(query.prefix_hashes);
    let cached = Tokens(policy.prefix_block.0.saturating_mul(cached_blocks as u64));
    let work = Work {
        prompt_tokens: query.work.prompt_tokens - cached,
        ..query.work
    };
    Candidate {
        endpoint: state.info.id.clone(),
        load,
        reported_requests: state.reported_requests().unwrap_or(0),
        slots,
        cached_blocks,
        prediction: predictor.predict(policy, query.target, work, load, slots),
    }
}

/// Returns the candidate with the earliest predicted completion.
pub fn earliest(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates.iter().min_by(|a, b| {
        let a = a.prediction.finish_ms();
        a.total_cmp(&b.prediction.finish_ms())
    })
}

/// Chooses a candidate by the routing policy.
///
/// Adaptive routing returns `None` if all candidates are full, or if the request
/// should wait for one that has its prefix cached. The baselines also choose full
/// endpoints, which then queue the request. `turn` is the number of choices so
/// far, for `RoundRobin`.
pub fn choose<'a, R>(
    candidates: &'a [Candidate],
    query: &EndpointQuery<'_>,
    policy: &Policy,
    turn: usize,
    rng: &mut R,
) -> Option<&'a Candidate>
where
    R: Rng,
{
    if candidates.is_empty() {
        return None;
    }
    match policy.routing {
        Routing::Adaptive | Routing::HomeOnly => adaptive(candidates, query, policy, rng),
        Routing::Random => candidates.get(rng.random_range(0..candidates.len())),
        Routing::RoundRobin => candidates.get(turn % candidates.len()),
        Routing::LeastReported => least_reported(candidates, rng),
    }
}

fn least_reported<'a, R>(candidates: &'a [Candidate], rng: &mut R) -> Option<&'a Candidate>
where
    R: Rng,
{
    let ratio = |one: &Candidate| f64::from(one.reported_requests) / one.slots;
    let least = candidates.iter().map(ratio).min_by(f64::total_cmp)?;
    let equals: Vec<&Candidate> = candidates
        .iter()
        .filter(|one| ratio(one) <= least)
        .collect();
    equals
        .get(rng.random_range(0..equals.len().max(1)))
        .copied()
}

fn adaptive<'a, R>(
    candidates: &'a [Candidate],
    query: &EndpointQuery<'_>,
    policy: &Policy,
    rng: &mut R,
) -> Option<&'a Candidate>
where
    R: Rng,
{
    let available: Vec<&Candidate> = candidates.iter().filter(|one| !one.is_full()).collect();
    if query.may_wait_for_cache && is_worth_waiting(candidates, &available, policy) {
        return None;
    }
    let near = near_equals(&available, policy);
    if let Some(chosen) = by_affinity(&available, &near, query, policy) {
        return Some(chosen);
    }
    less_loaded_of_two(&near, rng)
}

/// Whether a full endpoint has much more of the prompt cached than all available
/// ones.
///
/// In a full region, the next free slot is usually at another endpoint. Using it
/// would prefill the entire prompt again and evict other prefixes, and the
/// additional work would keep the region full.
fn is_worth_waiting(candidates: &[Candidate], available: &[&Candidate], policy: &Policy) -> bool {
    let most = candidates.iter().map(|one| one.cached_blocks).max();
    let most_available = available.iter().map(|one| one.cached_blocks).max();
    most.unwrap_or(0) >= most_available.unwrap_or(0) + policy.affinity_wait_blocks
}

fn near_equals<'a>(available: &[&'a Candidate], policy: &Policy) -> Vec<&'a Candidate> {
    let finishes = available.iter().map(|one| one.prediction.finish_ms());
    let best = finishes.fold(f64::INFINITY, f64::min);
    let slack = (best * fraction(policy.near_equal_permille)).max(policy.near_equal_ms.0 as f64);
    let is_near = |one: &&&Candidate| one.prediction.finish_ms() <= best + slack;
    available.iter().filter(is_near).copied().collect()
}

/// Returns the endpoint whose cache the prompt should use: the one with the most
/// blocks cached, or else the one selected by rendezvous hashing.
fn by_affinity<'a>(
    available: &[&'a Candidate],
    near: &[&'a Candidate],
    query: &EndpointQuery<'_>,
    policy: &Policy,
) -> Option<&'a Candidate> {
    let deepest = query.prefix_hashes.len().min(policy.affinity_blocks);
    let key = query.prefix_hashes.get(deepest.checked_sub(1)?)?;
    let rank = |one: &&Candidate| xxh3_64_with_seed(one.endpoint.as_str().as_bytes(), *key);
    let bound = load_bound(available, policy);
    let caching = near.iter().filter(|one| one.cached_blocks > 0);
    let most_blocks = caching.clone().map(|one| one.cached_blocks).max();
    let best_cached = caching
        .filter(|one| Some(one.cached_blocks) == most_blocks && is_within_bound(one, bound, policy))
        .max_by_key(|one| rank(one));
    best_cached.copied().or_else(|| {
        let within = available
            .iter()
            .filter(|one| is_within_bound(one, bound, policy));
        within.max_by_key(|one| rank(one)).copied()
    })
}

/// Returns the load per slot up to which prefix affinity applies.
fn load_bound(available: &[&Candidate], policy: &Policy) -> f64 {
    let load: f64 = available.iter().map(|one| one.load).sum();
    let slots: f64 = available.iter().map(|one| one.slots).sum();
    load / slots.max(1.0) * fraction(policy.bounded_load_permille)
}

fn is_within_bound(one: &Candidate, bound: f64, policy: &Policy) -> bool {
    one.load <= bound * one.slots + f64::from(policy.affinity_slack)
}

fn less_loaded_of_two<'a, R>(near: &[&'a Candidate], rng: &mut R) -> Option<&'a Candidate>
where
    R: Rng,
{
    let first = near.get(rng.random_range(0..near.len().max(1)))?;
    let second = near.get(rng.random_range(0..near.len()))?;
    let is_first = first.load / first.slots <= second.load / second.slots;
    Some(if is_first { first } else { second })
}
