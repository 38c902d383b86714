//! The decisions of one host, as a plain library.
//!
//! [`Gateway::handle`] takes an event with an explicit time and appends actions.
//! It opens no socket, starts no thread, reads no clock and draws its random
//! numbers from a seeded generator, so the same seed and events always give the
//! same actions. The threads around it only carry events in and actions out.

pub mod admission;
pub mod away;
pub mod budget;
pub mod context;
pub mod endpoint;
pub mod entry;
pub mod event;
pub mod load;
pub mod policy;
pub mod predict;
pub mod prefix;
pub mod ramp;
pub mod region;
pub mod residency;
pub mod retry;
pub mod summary;
pub mod view;

use std::{
    collections::HashMap,
    sync::Arc, //
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::{
    event::{
        Action,
        Arrival,
        AttemptOutcome,
        Event,
        Refusal,
        RefusalReason, //
    },
    view::View, //
};
use crate::{
    intent::Intents,
    types::{
        Attempt,
        EndpointId,
        HostId,
        Incarnation,
        MbitPerSecond,
        Millis,
        RegionId,
        RequestId, //
    }, //
};

/// The way to another region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// The other region.
    pub region: RegionId,
    /// One-way latency.
    pub latency_ms: Millis,
    /// Rate of the link, shared by all traffic.
    pub rate: MbitPerSecond,
}

/// What the decisions know of their own host.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// This host.
    pub host: HostId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Links to the other regions.
    pub links: Vec<RegionLink>,
    /// Seed of the random numbers.
    pub seed: u64,
}

#[derive(Debug)]
struct OpenRequest {
    arrival: Arrival,
    attempt: Attempt,
    endpoint: Option<EndpointId>,
}

/// Decision state of one host.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    view: View,
    intents: Option<Arc<Intents>>,
    open: HashMap<RequestId, OpenRequest>,
    is_leaving: bool,
    #[expect(dead_code, reason = "used by endpoint choice")]
    rng: Pcg64Mcg,
}

impl Gateway {
    /// A host that knows nothing yet.
    pub fn new(config: GatewayConfig) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        Self {
            config,
            view: View::new(),
            intents: None,
            open: HashMap::new(),
            is_leaving: false,
            rng,
        }
    }

    /// What this host knows of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Requests in progress at this host.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Takes one event and appends what has to be done.
    pub fn handle(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.arrived(now_ms, arrival, actions),
            Event::Ended {
                request, outcome, ..
            } => self.ended(now_ms, request, outcome, actions),
            Event::Heartbeat(heartbeat) => self.view.apply_heartbeat(now_ms, heartbeat),
            Event::Report(report) => self.view.apply_report(report),
            Event::Summary(summary) => self.view.apply_summary(now_ms, summary),
            Event::Listed { endpoints, hosts } => self.view.apply_list(now_ms, endpoints, &hosts),
            Event::InForce(intents) => self.apply_intents(intents),
            Event::Leaving => self.is_leaving = true,
            Event::FirstToken { .. }
            | Event::Granted { .. }
            | Event::GrantRefused { .. }
            | Event::GrantUnavailable { .. }
            | Event::Tick => {}
        }
    }

    fn apply_intents(&mut self, intents: Arc<Intents>) {
        let known = self.intents.as_ref().map(|known| known.revision);
        if known.is_none_or(|known| known < intents.revision) {
            self.intents = Some(intents);
        }
    }

    fn arrived(&mut self, now_ms: Millis, arrival: Arrival, actions: &mut Vec<Action>) {
        let request = arrival.request;
        let open = OpenRequest {
            arrival,
            attempt: Attempt(0),
            endpoint: None,
        };
        self.dispatch(now_ms, request, open, actions);
    }

    fn dispatch(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        match self.choose(&open.arrival) {
            Ok(endpoint) => {
                let Some(state) = self.view.endpoints.get_mut(&endpoint) else {
                    return;
                };
                state.start(
                    now_ms,
                    request,
                    open.attempt,
                    &open.arrival.prefix_hashes,
                    &policy::Policy::default(),
                );
                actions.push(Action::Send {
                    request,
                    attempt: open.attempt,
                    endpoint: endpoint.clone(),
                    address: state.info.address,
                });
                open.endpoint = Some(endpoint);
                self.open.insert(request, open);
            }
            Err(reason) => actions.push(Action::Refuse {
                request,
                refusal: Refusal::new(reason).with_retry_after(Millis(1_000)),
            }),
        }
    }

    fn choose(&self, arrival: &Arrival) -> Result<EndpointId, RefusalReason> {
        if self.is_leaving {
            return Err(RefusalReason::Leaving);
        }
        let intents = self.intents.as_ref().ok_or(RefusalReason::NotReady)?;
        let caller = intents
            .caller(&arrival.caller)
            .ok_or(RefusalReason::UnknownTarget)?;
        if !caller.targets.contains(&arrival.target) {
            return Err(RefusalReason::UnknownTarget);
        }
        if !caller.regions.contains(&self.config.region) {
            return Err(RefusalReason::WrongRegion);
        }
        self.view
            .endpoints
            .values()
            .filter(|state| state.info.region == self.config.region)
            .filter(|state| state.info.target == arrival.target && state.takes_work())
            .min_by_key(|state| state.in_flight())
            .map(|state| state.info.id.clone())
            .ok_or(RefusalReason::NoEndpoint)
    }

    fn ended(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.open.remove(&request) else {
            return;
        };
        if let Some(state) = open
            .endpoint
            .take()
            .and_then(|id| self.view.endpoints.get_mut(&id))
        {
            state.end(now_ms, request, open.attempt);
        }
        let may_retry = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::Rejected { .. }
        );
        if may_retry && now_ms < open.arrival.deadline_ms && open.attempt < Attempt(2) {
            open.attempt = Attempt(open.attempt.0 + 1);
            self.dispatch(now_ms, request, open, actions);
        } else if may_retry || matches!(outcome, AttemptOutcome::Interrupted { .. }) {
            actions.push(Action::Refuse {
                request,
                refusal: Refusal::new(RefusalReason::RetriesExhausted)
                    .with_retry_after(Millis(1_000)),
            });
        }
    }
}
