//! The choice between the local region, which is this host's, and a remote one.
//!
//! A request stays in the local region unless a remote region is predicted to
//! finish it earlier by a margin, or the local region cannot finish it in time.
//! Three measures prevent regions from oscillating: the margin for keeping a
//! choice is lower than that for changing it, a cap bounds the share of recent
//! requests that are forwarded, and the hosts of a region use only a part of a
//! remote region's free slots between two of its summaries. A region that recovers
//! from a loss of capacity gets its share of requests gradually.

use std::collections::BTreeMap;

use rand::{
    Rng,
    RngExt, //
};

use super::{
    RegionLink,
    context::Context,
    forwarding::{
        ForwardHistory,
        LinkState,
        Links, //
    },
    policy::{
        Policy,
        Routing,
        fraction, //
    },
    predict::Work,
    ramp::Ramps,
    residency::AllowedRegions,
    view::{
        ForwardHost,
        RegionSummary, //
    }, //
};
use crate::types::{
    Bytes,
    Millis,
    RegionId,
    RequestId,
    Target, //
};

/// The properties of a request that determine its region.
#[derive(Debug, Clone, Copy)]
pub struct RegionQuery<'a> {
    /// The model or service that is requested.
    pub target: &'a Target,
    /// Size of the request; a remote region is assumed to have nothing of it cached.
    pub work: Work,
    /// Length of the request body.
    pub body_bytes: Bytes,
    /// Regions that may see the request.
    pub allowed: &'a AllowedRegions,
    /// Time left until its deadline.
    pub remaining_ms: Millis,
}

/// Estimated performance and load of the local region for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalEstimate {
    /// Predicted time until the complete response, in milliseconds, or `None` without
    /// an endpoint.
    pub finish_ms: Option<f64>,
    /// Estimated requests in progress per slot.
    pub load_per_slot: f64,
    /// Requests in progress per slot according to the newest reports.
    pub reported_load_per_slot: f64,
    /// Total slots of all endpoints.
    pub slots: f64,
    /// Mean slots of an endpoint.
    pub endpoint_slots: f64,
}

/// A remote region that could serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteRegion {
    /// The region.
    pub region: RegionId,
    /// Predicted time until the complete response has arrived here, in milliseconds.
    pub finish_ms: f64,
    /// Requests in progress per slot.
    pub load_per_slot: f64,
    /// Total slots of its endpoints.
    pub slots: f64,
    /// Requests that this host may still forward to it before the next summary.
    pub quota: f64,
    /// The same for requests that the local region cannot serve in time. It does
    /// not ramp up a region that recovers, which can refuse excess requests.
    pub forced_quota: f64,
}

/// State of the choice between regions.
#[derive(Debug)]
pub struct RegionChooser {
    links: Links,
    histories: BTreeMap<Target, ForwardHistory>,
    ramps: Ramps,
}

impl RegionChooser {
    /// Creates the state of a host that has forwarded nothing.
    pub fn new(links: Vec<RegionLink>) -> Self {
        let links = links
            .into_iter()
            .map(|link| (link.region.clone(), LinkState::new(link)));
        Self {
            links: links.collect(),
            histories: BTreeMap::new(),
            ramps: Ramps::new(),
        }
    }

    /// Counts a request received from a caller.
    pub fn note_request(&mut self, now_ms: Millis, target: &Target, policy: &Policy) {
        let history = self.histories.entry(target.clone()).or_default();
        history.note_request(now_ms, policy);
    }

    /// Records the capacity that a remote region reports.
    pub fn note_summary(&mut self, now_ms: Millis, summary: &RegionSummary, policy: &Policy) {
        let capacity = summary.capacity.iter();
        let slots = capacity
            .map(|one| (one.target.clone(), one.slots))
            .collect();
        let max_gap_ms = Some(policy.summary_max_age_ms);
        self.ramps
            .observe(now_ms, &summary.region, &slots, max_gap_ms);
    }

    /// Records the capacity of the local region.
    pub fn note_local_capacity(
        &mut self,
        now_ms: Millis,
        region: &RegionId,
        slots: &BTreeMap<Target, u32>,
    ) {
        self.ramps.observe(now_ms, region, slots, None);
    }

    /// Records that a request was forwarded to a remote region.
    pub fn note_sent(
        &mut self,
        context: &Context<'_>,
        region: &RegionId,
        request: RequestId,
        query: &RegionQuery<'_>,
    ) {
        let history = self.histories.entry(query.target.clone()).or_default();
        history.note_forward();
        if let Some(state) = self.links.get_mut(region) {
            state.note_sent(
                context.now_ms,
                query.target,
                request,
                query.body_bytes,
                context.host_count(),
                context.policy,
            );
        }
    }

    /// Records that a forwarded request has ended.
    pub fn note_ended(&mut self, region: &RegionId, target: &Target, request: RequestId) {
        if let Some(state) = self.links.get_mut(region) {
            state.note_ended(target, request);
        }
    }

    /// Records that a request could not be sent to the remote region chosen for it.
    pub fn note_unsent(&mut self, target: &Target) {
        if let Some(history) = self.histories.get_mut(target) {
            history.note_unsent();
        }
    }

    /// Chooses a remote region and one of its hosts, or `None` for the local region.
    ///
    /// `turn` is the number of choices so far, for `RoundRobin`.
    pub fn choose<R>(
        &mut self,
        context: &Context<'_>,
        query: &RegionQuery<'_>,
        local: LocalEstimate,
        turn: usize,
        rng: &mut R,
    ) -> Option<(RegionId, ForwardHost)>
    where
        R: Rng,
    {
        let remotes = self.remotes(context, query, local);
        let region = match context.policy.routing {
            Routing::HomeOnly => None,
            Routing::Adaptive => self.adaptive(context, query, local, &remotes, rng),
            Routing::Random => random(local, &remotes, rng),
            Routing::RoundRobin => in_turn(local, &remotes, turn),
            Routing::LeastReported => least_reported(local, &remotes),
        }?;
        let hosts = context.forward_hosts(&region);
        let host = hosts.get(rng.random_range(0..hosts.len().max(1)))?;
        Some((region, (*host).clone()))
    }

    fn adaptive<R>(
        &mut self,
        context: &Context<'_>,
        query: &RegionQuery<'_>,
        local: LocalEstimate,
        remotes: &[RemoteRegion],
        rng: &mut R,
    ) -> Option<RegionId>
    where
        R: Rng,
    {
        let remaining_ms = query.remaining_ms.0 as f64;
        let is_local_late = local
            .finish_ms
            .is_none_or(|finish_ms| finish_ms > remaining_ms);
        let quota = |remote: &RemoteRegion| match is_local_late {
            true => remote.forced_quota,
            false => remote.quota,
        };
        // A fractional quota allows a request with that probability.
        let draw = rng.random::<f64>();
        let best = remotes
            .iter()
            .filter(|remote| remote.finish_ms <= remaining_ms && quota(remote) > draw)
            .min_by(|a, b| a.finish_ms.total_cmp(&b.finish_ms));
        let is_better = best.is_some_and(|best| self.is_better(context, query, local, best));
        let history = self.histories.entry(query.target.clone()).or_default();
        history.prefers_remote = is_better;
        best.filter(|_| is_better).map(|best| best.region.clone())
    }

    fn is_better(
        &self,
        context: &Context<'_>,
        query: &RegionQuery<'_>,
        local: LocalEstimate,
        best: &RemoteRegion,
    ) -> bool {
        let policy = context.policy;
        let history = self
            .histories
            .get(query.target)
            .copied()
            .unwrap_or_default();
        let ramp = self.usable_fraction(context, context.region, query.target);
        let remaining_ms = query.remaining_ms.0 as f64;
        let is_local_late = local
            .finish_ms
            .is_none_or(|finish_ms| finish_ms > remaining_ms);
        let is_forced = is_local_late || (ramp < 1.0 && local.load_per_slot >= ramp);
        if is_forced {
            return history.allows_forward(policy.away_forced_cap_permille);
        }
        let margin_ms = match history.prefers_remote {
            true => policy.away_stay_ms,
            false => policy.away_margin_ms,
        };
        let gain_ms = local.finish_ms.unwrap_or(f64::INFINITY) - best.finish_ms;
        gain_ms >= margin_ms.0 as f64 && history.allows_forward(policy.away_cap_permille)
    }

    fn usable_fraction(&self, context: &Context<'_>, region: &RegionId, target: &Target) -> f64 {
        self.ramps
            .usable_fraction(context.now_ms, region, target, context.policy)
    }

    /// Returns the remote regions that could serve a request.
    pub fn remotes(
        &self,
        context: &Context<'_>,
        query: &RegionQuery<'_>,
        local: LocalEstimate,
    ) -> Vec<RemoteRegion> {
        let regions = query.allowed.iter().filter(|region| {
            let is_other = *region != context.region;
            is_other && !context.forward_hosts(region).is_empty()
        });
        regions
            .filter_map(|region| self.remote(context, region, query, local))
            .collect()
    }

    fn remote(
        &self,
        context: &Context<'_>,
        region: &RegionId,
        query: &RegionQuery<'_>,
        local: LocalEstimate,
    ) -> Option<RemoteRegion> {
        let policy = context.policy;
        let state = context.view.summaries.get(region)?;
        let mut capacity = state.summary.capacity.iter();
        let capacity = capacity.find(|one| one.target == *query.target && one.slots > 0)?;
        let link = self.links.get(region)?;
        let hosts = context.host_count() as f64;
        let unreported = link.unreported(query.target, state.received_ms) as f64;
        let slots = f64::from(capacity.slots);
        let busy = f64::from(capacity.busy);
        let free = (slots - busy).max(0.0) * fraction(policy.away_free_permille) / hosts;
        let load = busy + unreported * hosts;
        Some(RemoteRegion {
            region: region.clone(),
            finish_ms: network_ms(context, link, query)
                + run_ms(context, query, load, slots, local.endpoint_slots),
            load_per_slot: busy / slots,
            slots,
            quota: free * self.usable_fraction(context, region, query.target) - unreported,
            forced_quota: free - unreported,
        })
    }
}

/// Returns the time in the network between the regions, for both directions, in
/// milliseconds.
fn network_ms(context: &Context<'_>, link: &LinkState, query: &RegionQuery<'_>) -> f64 {
    let latency_ms = link.link.latency_ms.0 as f64 * 2.0;
    let hosts = context.host_count();
    latency_ms + link.send_ms(context.now_ms, query.body_bytes, hosts, context.policy)
}

/// Returns the predicted time at a remote region, in milliseconds, assuming that
/// its endpoints have as many slots as the local ones.
fn run_ms(
    context: &Context<'_>,
    query: &RegionQuery<'_>,
    load: f64,
    slots: f64,
    endpoint_slots: f64,
) -> f64 {
    let scale = endpoint_slots / slots.max(1.0);
    let predictor = context.predictor;
    let one = predictor.predict(
        context.policy,
        query.target,
        query.work,
        load * scale,
        endpoint_slots,
    );
    one.finish_ms()
}

fn random<R>(local: LocalEstimate, remotes: &[RemoteRegion], rng: &mut R) -> Option<RegionId>
where
    R: Rng,
{
    let total = local.slots + remotes.iter().map(|remote| remote.slots).sum::<f64>();
    let mut left = rng.random::<f64>() * total - local.slots;
    if left < 0.0 {
        return None;
    }
    for remote in remotes {
        left -= remote.slots;
        if left < 0.0 {
            return Some(remote.region.clone());
        }
    }
    None
}

fn in_turn(local: LocalEstimate, remotes: &[RemoteRegion], turn: usize) -> Option<RegionId> {
    let local_turns = usize::from(local.slots > 0.0);
    let index = turn % (remotes.len() + local_turns).max(1);
    let remote = remotes.get(index.checked_sub(local_turns)?)?;
    Some(remote.region.clone())
}

fn least_reported(local: LocalEstimate, remotes: &[RemoteRegion]) -> Option<RegionId> {
    let least = remotes
        .iter()
        .min_by(|a, b| a.load_per_slot.total_cmp(&b.load_per_slot))?;
    let is_less = local.slots <= 0.0 || least.load_per_slot < local.reported_load_per_slot;
    is_less.then(|| least.region.clone())
}
