//! Home or another region.
//!
//! A request stays home unless another region will probably finish it earlier
//! by a margin, or home cannot finish it in time. Three things keep regions from
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
    away::{
        Flow,
        LinkState,
        Links, //
    },
    context::Context,
    policy::{
        Policy,
        Routing,
        share, //
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
pub struct Trip<'a> {
    /// What it is for.
    pub target: &'a Target,
    /// Size of the work; nothing of it is cached elsewhere.
    pub work: Work,
    /// Length of the request body.
    pub body: Bytes,
    /// Regions that may see it.
    pub allowed: &'a AllowedRegions,
    /// Time left until its deadline.
    pub left_ms: Millis,
}

/// What home can do for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeOutlook {
    /// Predicted completion, or `None` without an endpoint.
    pub finish_ms: Option<f64>,
    /// Requests in progress for each slot, as estimated.
    pub ratio: f64,
    /// The same as the newest reports show it.
    pub reported_ratio: f64,
    /// Slots of all endpoints.
    pub slots: f64,
    /// Slots of a typical endpoint.
    pub endpoint_slots: f64,
}

/// Another region that could take a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
    /// The region.
    pub region: RegionId,
    /// Predicted time until the whole answer is back here.
    pub finish_ms: f64,
    /// Requests in progress for each slot.
    pub ratio: f64,
    /// Its slots.
    pub slots: f64,
    /// Requests that this host may send there until the next summary.
    pub room: f64,
    /// The same while home cannot serve them in time. A region that has
    /// returned is then not spared, since it can refuse what is too much.
    pub forced_room: f64,
}

/// State of the choice between regions.
#[derive(Debug)]
pub struct Regions {
    links: Links,
    flows: BTreeMap<Target, Flow>,
    ramps: Ramps,
}

impl Regions {
    /// A choice that has sent nothing away.
    pub fn new(links: Vec<RegionLink>) -> Self {
        let links = links
            .into_iter()
            .map(|link| (link.region.clone(), LinkState::new(link)));
        Self {
            links: links.collect(),
            flows: BTreeMap::new(),
            ramps: Ramps::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now_ms: Millis, target: &Target, policy: &Policy) {
        let flow = self.flows.entry(target.clone()).or_default();
        flow.note_request(now_ms, policy);
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
    pub fn note_home(&mut self, now_ms: Millis, region: &RegionId, slots: &BTreeMap<Target, u32>) {
        self.ramps.observe(now_ms, region, slots, None);
    }

    /// Notes that a request was sent to another region.
    pub fn start(
        &mut self,
        context: &Context<'_>,
        region: &RegionId,
        request: RequestId,
        trip: &Trip<'_>,
    ) {
        let flow = self.flows.entry(trip.target.clone()).or_default();
        flow.note_away();
        if let Some(state) = self.links.get_mut(region) {
            state.start(
                context.now_ms,
                trip.target,
                request,
                trip.body,
                context.host_count(),
                context.policy,
            );
        }
    }

    /// Notes that a request sent to another region has ended.
    pub fn end(&mut self, region: &RegionId, target: &Target, request: RequestId) {
        if let Some(state) = self.links.get_mut(region) {
            state.end(target, request);
        }
    }

    /// Chooses a host of another region, or `None` to stay home.
    ///
    /// `turn` counts the choices for `RoundRobin`.
    pub fn choose<R>(
        &mut self,
        context: &Context<'_>,
        trip: &Trip<'_>,
        home: HomeOutlook,
        turn: usize,
        rng: &mut R,
    ) -> Option<(RegionId, ForwardHost)>
    where
        R: Rng,
    {
        let remotes = self.remotes(context, trip, home);
        let region = match context.policy.routing {
            Routing::HomeOnly => None,
            Routing::Adaptive => self.adaptive(context, trip, home, &remotes, rng),
            Routing::Random => random(home, &remotes, rng),
            Routing::RoundRobin => in_turn(home, &remotes, turn),
            Routing::LeastReported => least_reported(home, &remotes),
        }?;
        let hosts = context.forward_hosts(&region);
        let host = hosts.get(rng.random_range(0..hosts.len().max(1)))?;
        Some((region, (*host).clone()))
    }

    fn adaptive<R>(
        &mut self,
        context: &Context<'_>,
        trip: &Trip<'_>,
        home: HomeOutlook,
        remotes: &[Remote],
        rng: &mut R,
    ) -> Option<RegionId>
    where
        R: Rng,
    {
        let left_ms = trip.left_ms.0 as f64;
        let is_home_late = home.finish_ms.is_none_or(|finish_ms| finish_ms > left_ms);
        let room = |remote: &Remote| match is_home_late {
            true => remote.forced_room,
            false => remote.room,
        };
        // A fraction of a request is allowed as often as it says.
        let draw = rng.random::<f64>();
        let best = remotes
            .iter()
            .filter(|remote| remote.finish_ms <= left_ms && room(remote) > draw)
            .min_by(|a, b| a.finish_ms.total_cmp(&b.finish_ms));
        let is_better = best.is_some_and(|best| self.is_better(context, trip, home, best));
        let flow = self.flows.entry(trip.target.clone()).or_default();
        flow.is_away = is_better;
        best.filter(|_| is_better).map(|best| best.region.clone())
    }

    fn is_better(
        &self,
        context: &Context<'_>,
        trip: &Trip<'_>,
        home: HomeOutlook,
        best: &Remote,
    ) -> bool {
        let policy = context.policy;
        let flow = self.flows.get(trip.target).copied().unwrap_or_default();
        let ramp = self.factor(context, context.region, trip.target);
        let left_ms = trip.left_ms.0 as f64;
        let is_home_late = home.finish_ms.is_none_or(|finish_ms| finish_ms > left_ms);
        let is_pressed = is_home_late || (ramp < 1.0 && home.ratio >= ramp);
        if is_pressed {
            return flow.has_room(policy.away_forced_cap_permille);
        }
        let margin_ms = match flow.is_away {
            true => policy.away_stay_ms,
            false => policy.away_margin_ms,
        };
        let gain_ms = home.finish_ms.unwrap_or(f64::INFINITY) - best.finish_ms;
        gain_ms >= margin_ms.0 as f64 && flow.has_room(policy.away_cap_permille)
    }

    fn factor(&self, context: &Context<'_>, region: &RegionId, target: &Target) -> f64 {
        self.ramps
            .factor(context.now_ms, region, target, context.policy)
    }

    /// Other regions that could take a request.
    pub fn remotes(
        &self,
        context: &Context<'_>,
        trip: &Trip<'_>,
        home: HomeOutlook,
    ) -> Vec<Remote> {
        let regions = trip.allowed.iter().filter(|region| {
            let is_other = *region != context.region;
            is_other && !context.forward_hosts(region).is_empty()
        });
        regions
            .filter_map(|region| self.remote(context, region, trip, home))
            .collect()
    }

    fn remote(
        &self,
        context: &Context<'_>,
        region: &RegionId,
        trip: &Trip<'_>,
        home: HomeOutlook,
    ) -> Option<Remote> {
        let policy = context.policy;
        let state = context.view.summaries.get(region)?;
        let mut capacity = state.summary.capacity.iter();
        let capacity = capacity.find(|one| one.target == *trip.target && one.slots > 0)?;
        let link = self.links.get(region)?;
        let hosts = context.host_count() as f64;
        let unseen = link.unseen(trip.target, state.heard_ms) as f64;
        let slots = f64::from(capacity.slots);
        let busy = f64::from(capacity.busy);
        let free = (slots - busy).max(0.0) * share(policy.away_free_permille) / hosts;
        let load = busy + unseen * hosts;
        Some(Remote {
            region: region.clone(),
            finish_ms: trip_ms(context, link, trip)
                + run_ms(context, trip, load, slots, home.endpoint_slots),
            ratio: busy / slots,
            slots,
            room: free * self.factor(context, region, trip.target) - unseen,
            forced_room: free - unseen,
        })
    }
}

/// Time on the wide-area network, both ways.
fn trip_ms(context: &Context<'_>, link: &LinkState, trip: &Trip<'_>) -> f64 {
    let latency_ms = link.link.latency_ms.0 as f64 * 2.0;
    let hosts = context.host_count();
    latency_ms + link.send_ms(context.now_ms, trip.body, hosts, context.policy)
}

/// Time at a region whose endpoints are as large as those at home.
fn run_ms(
    context: &Context<'_>,
    trip: &Trip<'_>,
    load: f64,
    slots: f64,
    endpoint_slots: f64,
) -> f64 {
    let scale = endpoint_slots / slots.max(1.0);
    let predictor = context.predictor;
    let one = predictor.predict(
        context.policy,
        trip.target,
        trip.work,
        load * scale,
        endpoint_slots,
    );
    one.finish_ms()
}

fn random<R>(home: HomeOutlook, remotes: &[Remote], rng: &mut R) -> Option<RegionId>
where
    R: Rng,
{
    let total = home.slots + remotes.iter().map(|remote| remote.slots).sum::<f64>();
    let mut left = rng.random::<f64>() * total - home.slots;
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

fn in_turn(home: HomeOutlook, remotes: &[Remote], turn: usize) -> Option<RegionId> {
    let home_turns = usize::from(home.slots > 0.0);
    let index = turn % (remotes.len() + home_turns).max(1);
    let remote = remotes.get(index.checked_sub(home_turns)?)?;
    Some(remote.region.clone())
}

fn least_reported(home: HomeOutlook, remotes: &[Remote]) -> Option<RegionId> {
    let least = remotes.iter().min_by(|a, b| a.ratio.total_cmp(&b.ratio))?;
    let is_less = home.slots <= 0.0 || least.ratio < home.reported_ratio;
    is_less.then(|| least.region.clone())
}
