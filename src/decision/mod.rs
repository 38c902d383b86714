//! The decisions of one host, as a plain library.
//!
//! [`Gateway::handle`] takes an event with an explicit time and appends actions.
//! It opens no socket, starts no thread, reads no clock and draws its random
//! numbers from a seeded generator, so the same seed and events always give the
//! same actions. The threads around it only carry events in and actions out.

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

/// What this host knows and only events change.
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

    /// The version that endpoints of a target must serve, `Some(None)` for a
    /// service, or `None` if the target is no longer in force.
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
/// The threads around it keep three promises. A request id is not reused while
/// the request is open; a second arrival under it is ignored. Each attempt sent
/// or forwarded ends with one [`Event::Ended`], also after an
/// [`Action::Cancel`]. And a [`Event::Tick`] comes at least every 100 ms, since
/// deadlines and delayed retries are looked at only then.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    inputs: Inputs,
    region_chooser: RegionChooser,
    budget: Budget,
    retries: RetryBudget,
    queue: WaitQueue,
    open: BTreeMap<RequestId, OpenRequest>,
    /// When to look at a request again; entries may be out of date.
    timers: BTreeSet<(Millis, RequestId)>,
    /// Requests that wait for a grant, by caller, oldest first.
    awaiting_grant: BTreeMap<CallerId, Vec<RequestId>>,
    waste: Waste,
    is_leaving: bool,
    /// Counts choices of a region, for the baseline that takes turns.
    region_turn: usize,
    /// Counts choices of an endpoint, for the same.
    endpoint_turn: usize,
    rng: Pcg64Mcg,
}

impl Gateway {
    /// A host that knows nothing yet, with the default policy.
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

    /// The same host with other parameters.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.retries = RetryBudget::new(&policy);
        self.inputs.policy = policy;
        self
    }

    /// Its settings.
    pub fn config(&self) -> &GatewayConfig {
        &self.config
    }

    /// Its parameters.
    pub fn policy(&self) -> &Policy {
        &self.inputs.policy
    }

    /// What this host knows of the others.
    pub fn view(&self) -> &View {
        &self.inputs.view
    }

    /// The configuration in force here.
    pub fn intents(&self) -> Option<&Arc<Intents>> {
        self.inputs.intents.as_ref()
    }

    /// Requests in progress at this host, waiting ones included.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Requests that wait here for an endpoint.
    pub fn waiting_requests(&self) -> usize {
        self.queue.len()
    }

    /// Spending of each caller through this host.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Work paid for or carried without use.
    pub fn waste(&self) -> Waste {
        self.waste
    }

    /// The summary of this region for the others, or `None` without a configuration.
    ///
    /// This host is part of it if its own heartbeats are fed to it as events.
    pub fn region_summary(&self, now_ms: Millis) -> Option<RegionSummary> {
        let intents = self.inputs.intents.as_ref()?;
        let context = self.inputs.context(now_ms);
        Some(region_summary(&context, intents))
    }

    /// Entry hosts for a caller, or `None` if no intent names it.
    pub fn entry_list(&self, now_ms: Millis, caller: &CallerId) -> Option<EntryList> {
        let intents = self.inputs.intents.as_ref()?;
        let intent = intents.caller(caller)?;
        let allowed = AllowedRegions::new(intent);
        let policy = &self.inputs.policy;
        let hosts = known_hosts(&self.inputs.view, now_ms, &self.inputs.region, policy);
        Some(entry_hosts(caller, &intent.home, &allowed, &hosts, policy))
    }

    /// Takes one event and appends what has to be done.
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
