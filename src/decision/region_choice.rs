//! Home or another region.
//!
//! A request stays local unless another region will probably finish it earlier
//! by a margin, or local cannot finish it in time. Three things keep regions from
//! swinging together: the margin is lower for staying with a choice than for
//! changing it, a cap bounds the share of recent requests sent away, and the
//! hosts of a region use only a part of another region's free slots between two
//! of its summaries. A region that returns is given its share gradually.

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

/// A request for which a region is chosen.
#[derive(Debug, Clone, Copy)]
pub struct RegionQuery<'a> {
    /// What it is for.
    pub target: &'a Target,
    /// Size of the work; nothing of it is cached elsewhere.
    pub work: Work,
    /// Length of the request body.
    pub body: Bytes,
    /// Regions that may see it.
    pub allowed: &'a AllowedRegions,
    /// Time left until its deadline.
    pub remaining_ms: Millis,
}

/// What local can do for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalEstimate {
    /// Predicted completion, or `None` without an endpoint.
    pub finish_ms: Option<f64>,
    /// Requests in progress for each slot, as estimated.
    pub load_per_slot: f64,
    /// The same as the newest reports show it.
    pub reported_load_per_slot: f64,
    /// Slots of all endpoints.
    pub slots: f64,
    /// Slots of a typical endpoint.
    pub endpoint_slots: f64,
}

/// Another region that could take a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteRegion {
    /// The region.
    pub region: RegionId,
    /// Predicted time until the whole answer is back here.
    pub finish_ms: f64,
    /// Requests in progress for each slot.
    pub load_per_slot: f64,
    /// Its slots.
    pub slots: f64,
    /// Requests that this host may send there until the next summary.
    pub quota: f64,
    /// The same while local cannot serve them in time. A region that has
    /// returned is then not spared, since it can refuse what is too much.
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
    /// A choice that has sent nothing away.
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

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now_ms: Millis, target: &Target, policy: &Policy) {
        let history = self.histories.entry(target.clone()).or_default();
        history.note_request(now_ms, policy);
    }

    /// Notes the capacity that another region reports.
    pub fn note_summary(&mut self, now_ms: Millis, summary: &RegionSummary, policy: &Policy) {
        let capacity = summary.capacity.iter();
        let slots = capacity
            .map(|one| (one.target.clone(), one.slots))
            .collect();
        let max_gap_ms = Some(policy.summary_max_age_ms);
        self.ramps
            .observe(now_ms, &summary.region, &slots, max_gap_ms);
    }

    /// Notes the capacity of this region.
    pub fn note_local_capacity(
        &mut self,
        now_ms: Millis,
        region: &RegionId,
        slots: &BTreeMap<Target, u32>,
    ) {
        self.ramps.observe(now_ms, region, slots, None);
    }

    /// Notes that a request was sent to another region.
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
                query.body,
                context.host_count(),
                context.policy,
            );
        }
    }

    /// Notes that a request sent to another region has ended.
    pub fn note_ended(&mut self, region: &RegionId, target: &Target, request: RequestId) {
        if let Some(state) = self.links.get_mut(region) {
            state.note_ended(target, request);
        }
    }

    /// Chooses a host of another region, or `None` to stay local.
    ///
    /// `turn` counts the choices for `RoundRobin`.
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
        // A fraction of a request is allowed as often as it says.
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

    /// Other regions that could take a request.
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

/// Time on the wide-area network, both ways.
fn network_ms(context: &Context<'_>, link: &LinkState, query: &RegionQuery<'_>) -> f64 {
    let latency_ms = link.link.latency_ms.0 as f64 * 2.0;
    let hosts = context.host_count();
    latency_ms + link.send_ms(context.now_ms, query.body, hosts, context.policy)
}

/// Time at a region whose endpoints are as large as those at local.
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
