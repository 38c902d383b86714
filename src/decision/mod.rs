//! Admission, routing, retries and spending of one host, as a deterministic state
//! machine without I/O.
//!
//! [`Gateway::handle`] takes an event with an explicit time and appends actions.
//! It opens no socket, starts no thread, reads no clock and draws its random
//! numbers from a seeded generator, so the same seed and events always produce
//! the same actions. The surrounding threads deliver the events and carry out
//! the actions.

pub mod admission;
mod arrival;
mod attempt_end;
pub mod budget;
pub mod context;
mod dispatch;
pub mod endpoint_choice;
pub mod endpoint_state;
pub mod entry;
pub mod event;
pub mod forwarding;
pub mod policy;
pub mod predict;
pub mod prefix;
pub mod ramp;
pub mod region_choice;
mod request;
pub mod residency;
pub mod retry;
pub mod summary;
mod tick;
pub mod view;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use compact_str::CompactString;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::{
    admission::WaitQueue,
    budget::{
        Budget,
        Waste, //
    },
    context::Context,
    entry::{
        EntryList,
        entry_hosts,
        known_hosts, //
    },
    event::{
        Action,
        Event, //
    },
    policy::Policy,
    predict::Predictor,
    region_choice::RegionChooser,
    request::OpenRequest,
    residency::AllowedRegions,
    retry::RetryBudget,
    summary::region_summary,
    view::{
        EndpointReport,
        RegionSummary,
        View, //
    }, //
};
use crate::{
    intent::Intents,
    types::{
        Attempt,
        CallerId,
        HostId,
        Incarnation,
        MbitPerSecond,
        Millis,
        RegionId,
        RequestId,
        Target, //
    }, //
};

/// The network link to another region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// The other region.
    pub region: RegionId,
    /// One-way latency.
    pub latency_ms: Millis,
    /// Bandwidth of the link, shared by all traffic.
    pub rate: MbitPerSecond,
}

/// Identity, links and random seed of the local host.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// This host.
    pub host: HostId,
    /// Its current instance, which a restart changes.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Links to the other regions.
    pub links: Vec<RegionLink>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The state that choices read and only events change.
#[derive(Debug)]
struct Inputs {
    region: RegionId,
    policy: Policy,
    view: View,
    predictor: Predictor,
    intents: Option<Arc<Intents>>,
}

impl Inputs {
    fn context(&self, now_ms: Millis) -> Context<'_> {
        Context {
            now_ms,
            region: &self.region,
            view: &self.view,
            predictor: &self.predictor,
            policy: &self.policy,
        }
    }

    /// Returns the version that endpoints of a target must serve: `Some(None)` for
    /// a service, which has no version, and `None` if the configuration in force
    /// no longer contains the target.
    fn version(&self, target: &Target) -> Option<Option<CompactString>> {
        match target {
            Target::Service(_) => Some(None),
            Target::Model(id) => {
                let model = self.intents.as_ref()?.model(id)?;
                Some(Some(model.version.clone()))
            }
        }
    }
}

/// The decision state of one host.
///
/// The surrounding threads must ensure three things:
///
/// - A request id is not reused while the request is open; a second arrival with
///   the same id is ignored.
/// - Each attempt that was sent or forwarded ends with exactly one
///   [`Event::Ended`], also after an [`Action::Cancel`].
/// - An [`Event::Tick`] follows at least every 100 ms, since deadlines and
///   delayed retries are checked only then.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    inputs: Inputs,
    region_chooser: RegionChooser,
    budget: Budget,
    retries: RetryBudget,
    queue: WaitQueue,
    open: BTreeMap<RequestId, OpenRequest>,
    /// When to check a request again. Entries may be stale: a request can change
    /// phase before its timer is due.
    timers: BTreeSet<(Millis, RequestId)>,
    /// Requests that wait for a budget grant, by caller, oldest first.
    awaiting_grant: BTreeMap<CallerId, Vec<RequestId>>,
    waste: Waste,
    is_leaving: bool,
    /// Counts region choices, for round-robin routing.
    region_turn: usize,
    /// Counts endpoint choices, for round-robin routing.
    endpoint_turn: usize,
    rng: Pcg64Mcg,
}

impl Gateway {
    /// Creates the state of a host without configuration, with the default policy.
    pub fn new(config: GatewayConfig) -> Self {
        let policy = Policy::default();
        Self {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            region_chooser: RegionChooser::new(config.links.clone()),
            retries: RetryBudget::new(&policy),
            inputs: Inputs {
                region: config.region.clone(),
                policy,
                view: View::new(),
                predictor: Predictor::new(),
                intents: None,
            },
            config,
            budget: Budget::new(),
            queue: WaitQueue::new(),
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            awaiting_grant: BTreeMap::new(),
            waste: Waste::default(),
            is_leaving: false,
            region_turn: 0,
            endpoint_turn: 0,
        }
    }

    /// Replaces the policy and refills the retry budget.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.retries = RetryBudget::new(&policy);
        self.inputs.policy = policy;
        self
    }

    /// Identity, links and random seed of the host.
    pub fn config(&self) -> &GatewayConfig {
        &self.config
    }

    /// Parameters of the decisions.
    pub fn policy(&self) -> &Policy {
        &self.inputs.policy
    }

    /// Endpoints, other hosts and other regions as this host knows them.
    pub fn view(&self) -> &View {
        &self.inputs.view
    }

    /// The configuration in force on this host.
    pub fn intents(&self) -> Option<&Arc<Intents>> {
        self.inputs.intents.as_ref()
    }

    /// Number of requests in progress on this host, including waiting ones.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Number of requests that wait on this host for an endpoint.
    pub fn waiting_requests(&self) -> usize {
        self.queue.len()
    }

    /// Spending of each caller through this host.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Work that did not contribute to a response, and traffic between regions.
    pub fn waste(&self) -> Waste {
        self.waste
    }

    /// Returns the summary of this region for other regions, or `None` without a
    /// configuration.
    ///
    /// It includes this host if the host's own heartbeats are delivered as events.
    pub fn region_summary(&self, now_ms: Millis) -> Option<RegionSummary> {
        let intents = self.inputs.intents.as_ref()?;
        let context = self.inputs.context(now_ms);
        Some(region_summary(&context, intents))
    }

    /// Returns the entry hosts for a caller, or `None` if the configuration does
    /// not contain the caller.
    pub fn entry_list(&self, now_ms: Millis, caller: &CallerId) -> Option<EntryList> {
        let intents = self.inputs.intents.as_ref()?;
        let intent = intents.caller(caller)?;
        let allowed = AllowedRegions::new(intent);
        let policy = &self.inputs.policy;
        let hosts = known_hosts(&self.inputs.view, now_ms, &self.inputs.region, policy);
        Some(entry_hosts(caller, &intent.home, &allowed, &hosts, policy))
    }

    /// Processes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.on_arrival(now_ms, arrival, actions),
            Event::FirstToken { request, attempt } => self.on_first_token(request, attempt),
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.on_ended(now_ms, request, attempt, &outcome, actions),
            Event::Heartbeat(heartbeat) => self.inputs.view.apply_heartbeat(now_ms, heartbeat),
            Event::Report(report) => self.on_report(now_ms, report, actions),
            Event::Summary(summary) => self.on_summary(now_ms, summary),
            Event::Listed { endpoints, hosts } => {
                self.inputs.view.apply_list(now_ms, endpoints, &hosts);
                self.dispatch_all_queued(now_ms, actions);
            }
            Event::InForce(intents) => self.on_in_force(intents),
            Event::Granted {
                caller,
                period_start_ms,
                amount_micros,
            } => {
                self.budget.granted(&caller, period_start_ms, amount_micros);
                self.retry_awaiting_grant(now_ms, &caller, actions);
            }
            Event::GrantRefused {
                caller,
                period_start_ms,
            } => {
                self.budget.refused(&caller, period_start_ms);
                self.retry_awaiting_grant(now_ms, &caller, actions);
            }
            Event::GrantUnavailable { caller } => {
                self.budget.unavailable(&caller);
                self.retry_awaiting_grant(now_ms, &caller, actions);
            }
            Event::Leaving => self.is_leaving = true,
            Event::Tick => self.on_tick(now_ms, actions),
        }
    }

    fn on_in_force(&mut self, intents: Arc<Intents>) {
        let known = self.inputs.intents.as_ref().map(|known| known.revision);
        if known.is_none_or(|known| known < intents.revision) {
            self.inputs.intents = Some(intents);
            self.budget.budgets_changed();
        }
    }

    fn on_report(&mut self, now_ms: Millis, report: EndpointReport, actions: &mut Vec<Action>) {
        let id = report.endpoint.clone();
        self.inputs.view.apply_report(report);
        let state = self.inputs.view.endpoints.get(&id);
        if let Some(target) = state.map(|state| state.info.target.clone()) {
            self.dispatch_queued(now_ms, &target, actions);
        }
    }

    fn on_summary(&mut self, now_ms: Millis, summary: RegionSummary) {
        let is_other = summary.region != self.inputs.region;
        let copy = summary.clone();
        if self.inputs.view.apply_summary(now_ms, summary) && is_other {
            self.region_chooser
                .note_summary(now_ms, &copy, &self.inputs.policy);
        }
    }

    fn on_first_token(&mut self, request: RequestId, attempt: Attempt) {
        let open = self.open.get_mut(&request);
        if let Some(open) = open.filter(|open| open.attempt == attempt) {
            open.has_first_token = true;
        }
    }
}
