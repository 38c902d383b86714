//! Hosts, endpoints and regions as this host knows them.
//!
//! Everything in here may be late, so every entry has the instant at which its
//! source wrote it. An entry is replaced only by a newer one of the same source,
//! which makes loss, duplication and reordering of messages harmless.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

pub use super::endpoint_state::EndpointState;
use super::policy::{
    Policy,
    fraction, //
};
use crate::{
    ticket::token::HostInstance,
    types::{
        DataCentreId,
        EndpointId,
        HostId,
        Incarnation,
        Millis,
        RegionId,
        Revision,
        Target, //
    }, //
};

/// An endpoint as the platform's list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it serves.
    pub target: Target,
    /// Version of the model it serves; empty for services.
    pub version: CompactString,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it continues a partial answer without repeating it.
    pub can_continue: bool,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// A host as the platform's list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host.
    pub id: HostId,
    /// Its region.
    pub region: RegionId,
    /// Address for other hosts, the same port for TCP and UDP.
    pub peer_address: SocketAddr,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// What a host reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of this run.
    pub sequence: u64,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether it has a configuration and serves callers.
    pub is_ready: bool,
    /// Revision that it has in force.
    pub revision: Revision,
    /// Requests in progress.
    pub open_requests: u32,
    /// Runs whose tickets it decides; its own one is among them until it has
    /// handed them over.
    pub ticket_runs: Vec<HostInstance>,
}

/// Load that an endpoint reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its current run, as far as it tells.
    pub incarnation: Incarnation,
    /// When the load was measured.
    pub measured_ms: Millis,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Used share of its cache, in thousandths.
    pub cache_permille: u16,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// What one region can take, for one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCapacity {
    /// The target.
    pub target: Target,
    /// Requests that its endpoints run at the same time.
    pub slots: u32,
    /// Requests that they run or hold now.
    pub busy: u32,
}

/// A host that takes requests from other regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHost {
    /// The host.
    pub host: HostId,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
    /// Its address for callers.
    pub caller_address: SocketAddr,
}

/// Capacity and revision of one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionId,
    /// When the summary was made.
    pub made_ms: Millis,
    /// Capacity by target.
    pub capacity: Vec<TargetCapacity>,
    /// Lowest revision in force at a live host.
    pub lowest_revision: Revision,
    /// Hosts to forward to, at most eight.
    pub hosts: Vec<ForwardHost>,
}

/// Runs of a host remembered, so that their late heartbeats are ignored.
const PAST_INCARNATIONS: usize = 4;

/// A host with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    /// Newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it arrived here.
    pub received_ms: Millis,
    /// When its current run was first heard.
    pub run_since_ms: Millis,
    /// Whether it has said in its current run, or the list, that it leaves.
    pub is_leaving: bool,
    /// Whether callers should rather use other hosts.
    pub is_overloaded: bool,
    past_incarnations: Vec<Incarnation>,
}

impl HostState {
    fn new(now_ms: Millis, heartbeat: Heartbeat) -> Self {
        Self {
            is_leaving: heartbeat.is_leaving,
            heartbeat,
            received_ms: now_ms,
            run_since_ms: now_ms,
            is_overloaded: false,
            past_incarnations: Vec::new(),
        }
    }

    /// Whether it has been heard lately, is ready and stays.
    pub fn takes_work(&self, now_ms: Millis, policy: &Policy) -> bool {
        self.is_live(now_ms, policy) && self.heartbeat.is_ready && !self.is_leaving
    }

    /// Whether it has been heard lately.
    pub fn is_live(&self, now_ms: Millis, policy: &Policy) -> bool {
        now_ms - self.received_ms < policy.host_live_ms
    }

    fn apply(&mut self, now_ms: Millis, mut heartbeat: Heartbeat) {
        let is_same_run = self.heartbeat.incarnation == heartbeat.incarnation;
        if is_same_run && heartbeat.sequence <= self.heartbeat.sequence
            || self.past_incarnations.contains(&heartbeat.incarnation)
        {
            return;
        }
        if is_same_run {
            heartbeat.revision = heartbeat.revision.max(self.heartbeat.revision);
            self.is_leaving |= heartbeat.is_leaving;
        } else {
            self.is_leaving = heartbeat.is_leaving;
            self.run_since_ms = now_ms;
            self.past_incarnations.push(self.heartbeat.incarnation);
        }
        if self.past_incarnations.len() > PAST_INCARNATIONS {
            self.past_incarnations.remove(0);
        }
        self.heartbeat = heartbeat;
        self.received_ms = now_ms;
    }
}

/// A region's summary with the instant at which it arrived here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryState {
    /// The summary.
    pub summary: RegionSummary,
    /// When it arrived; its age does not depend on the clock of its source.
    pub received_ms: Millis,
}

/// Everything this host knows of the others.
#[derive(Debug, Default)]
pub struct View {
    /// Endpoints of all regions by name.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Hosts that have been heard, by name.
    pub hosts: BTreeMap<HostId, HostState>,
    /// Newest summary of each region.
    pub summaries: BTreeMap<RegionId, SummaryState>,
    by_target: BTreeMap<RegionId, BTreeMap<Target, Vec<EndpointId>>>,
    listed_leaving: BTreeSet<HostId>,
    avoided_until_ms: BTreeMap<HostId, Millis>,
}

impl View {
    /// Nothing known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the platform's list.
    ///
    /// Endpoints that it no longer shows get no new work, but are kept for the
    /// requests still there and for what is known of their leaving.
    pub fn apply_list(&mut self, now_ms: Millis, endpoints: Vec<EndpointInfo>, hosts: &[HostInfo]) {
        for state in self.endpoints.values_mut() {
            state.unlisted_ms.get_or_insert(now_ms);
        }
        for info in endpoints {
            match self.endpoints.get_mut(&info.id) {
                Some(known) => known.update_info(info),
                None => {
                    let id = info.id.clone();
                    self.endpoints.insert(id, EndpointState::new(info));
                }
            }
        }
        self.index_targets();
        self.apply_listed_hosts(hosts);
    }

    fn apply_listed_hosts(&mut self, hosts: &[HostInfo]) {
        let leaving = hosts.iter().filter(|host| host.is_leaving);
        let leaving: BTreeSet<HostId> = leaving.map(|host| host.id.clone()).collect();
        // As for endpoints, only the change counts, since the list lags.
        for id in leaving.difference(&self.listed_leaving) {
            if let Some(state) = self.hosts.get_mut(id) {
                state.is_leaving = true;
            }
        }
        self.listed_leaving = leaving;
    }

    fn index_targets(&mut self) {
        self.by_target.clear();
        for (id, state) in &self.endpoints {
            let region = self.by_target.entry(state.info.region.clone());
            let targets = region.or_default();
            let ids = targets.entry(state.info.target.clone()).or_default();
            ids.push(id.clone());
        }
    }

    /// Endpoints of a region that take new work for a target and version.
    ///
    /// Services have no version, so `version` is `None` for them.
    pub fn serving<'a>(
        &'a self,
        region: &RegionId,
        target: &Target,
        version: Option<&'a str>,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let targets = self.by_target.get(region);
        let ids = targets.and_then(|targets| targets.get(target));
        ids.into_iter()
            .flatten()
            .filter_map(|id| self.endpoints.get(id))
            .filter(|state| state.takes_work())
            .filter(move |state| version.is_none_or(|version| state.info.version == version))
    }

    /// Slots of the endpoints of a region that take new work, by target.
    pub fn slots(&self, region: &RegionId) -> BTreeMap<Target, u32> {
        let targets = self.by_target.get(region);
        let slots = targets.into_iter().flatten().map(|(target, _)| {
            let states = self.serving(region, target, None);
            (target.clone(), states.map(|state| state.info.slots).sum())
        });
        slots.collect()
    }

    /// Takes over a load report unless a newer one is known.
    pub fn apply_report(&mut self, report: EndpointReport) {
        if let Some(state) = self.endpoints.get_mut(&report.endpoint) {
            state.apply_report(report);
        }
    }

    /// Takes over a heartbeat unless a newer one is known.
    pub fn apply_heartbeat(&mut self, now_ms: Millis, heartbeat: Heartbeat) {
        match self.hosts.get_mut(&heartbeat.host) {
            Some(known) => known.apply(now_ms, heartbeat),
            None => {
                let id = heartbeat.host.clone();
                self.hosts.insert(id, HostState::new(now_ms, heartbeat));
            }
        }
    }

    /// Takes over a summary unless a newer one is known, and returns whether it
    /// did.
    pub fn apply_summary(&mut self, now_ms: Millis, mut summary: RegionSummary) -> bool {
        let known = self.summaries.get(&summary.region);
        let known = known.map(|known| &known.summary);
        if known.is_some_and(|known| known.made_ms >= summary.made_ms) {
            return false;
        }
        if let Some(known) = known {
            summary.lowest_revision = summary.lowest_revision.max(known.lowest_revision);
        }
        let region = summary.region.clone();
        let state = SummaryState {
            summary,
            received_ms: now_ms,
        };
        self.summaries.insert(region, state);
        true
    }

    /// The summary of a region, unless it is too old.
    pub fn fresh_summary(
        &self,
        now_ms: Millis,
        region: &RegionId,
        policy: &Policy,
    ) -> Option<&RegionSummary> {
        let state = self.summaries.get(region)?;
        let is_fresh = now_ms - state.received_ms < policy.summary_max_age_ms;
        is_fresh.then_some(&state.summary)
    }

    /// Forwards nothing to a host for a while.
    pub fn avoid_host(&mut self, host: HostId, until_ms: Millis) {
        self.avoided_until_ms.insert(host, until_ms);
    }

    /// Hosts of a region's summary that take forwarded requests now.
    pub fn forward_hosts(
        &self,
        now_ms: Millis,
        region: &RegionId,
        policy: &Policy,
    ) -> Vec<&ForwardHost> {
        let summary = self.fresh_summary(now_ms, region, policy);
        let hosts = summary.into_iter().flat_map(|summary| &summary.hosts);
        hosts
            .filter(|host| self.may_forward_to(now_ms, host, region, policy))
            .collect()
    }

    fn may_forward_to(
        &self,
        now_ms: Millis,
        host: &ForwardHost,
        region: &RegionId,
        policy: &Policy,
    ) -> bool {
        let is_avoided = self
            .avoided_until_ms
            .get(&host.host)
            .is_some_and(|at| now_ms < *at);
        if is_avoided || self.listed_leaving.contains(&host.host) {
            return false;
        }
        // A host of another region is mostly known from its summary alone.
        self.hosts.get(&host.host).is_none_or(|state| {
            state.takes_work(now_ms, policy) && state.heartbeat.region == *region
        })
    }

    /// Hosts of a region that take work, this one included if it is heard.
    pub fn ready_hosts<'a>(
        &'a self,
        now_ms: Millis,
        region: &'a RegionId,
        policy: &'a Policy,
    ) -> impl Iterator<Item = &'a HostState> {
        self.hosts.values().filter(move |state| {
            state.heartbeat.region == *region && state.takes_work(now_ms, policy)
        })
    }

    /// The run that decides the tickets of `run`: itself, or the one that has
    /// announced that it took them over.
    pub fn ticket_holder(&self, run: &HostInstance) -> HostInstance {
        let is_successor = |state: &&HostState| {
            state.heartbeat.host != run.host && state.heartbeat.ticket_runs.contains(run)
        };
        match self.hosts.values().find(is_successor) {
            Some(state) => HostInstance {
                host: state.heartbeat.host.clone(),
                incarnation: state.heartbeat.incarnation,
            },
            None => run.clone(),
        }
    }

    /// Number of hosts that share the work of a region, at least one.
    pub fn host_count(&self, now_ms: Millis, region: &RegionId, policy: &Policy) -> usize {
        self.ready_hosts(now_ms, region, policy).count().max(1)
    }

    /// Forgets what is too old, and finds the overloaded hosts.
    pub fn refresh(&mut self, now_ms: Millis, policy: &Policy) {
        self.hosts
            .retain(|_, state| now_ms - state.received_ms < policy.host_forget_ms);
        self.avoided_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let endpoints = self.endpoints.len();
        self.endpoints.retain(|_, state| {
            let unlisted_for_ms = state.unlisted_ms.map(|at_ms| now_ms - at_ms);
            state.in_flight() > 0
                || unlisted_for_ms.is_none_or(|for_ms| for_ms < policy.endpoint_forget_ms)
        });
        if self.endpoints.len() < endpoints {
            self.index_targets();
        }
        self.refresh_overload(policy);
    }

    fn refresh_overload(&mut self, policy: &Policy) {
        let mut sums: BTreeMap<RegionId, (f64, f64)> = BTreeMap::new();
        for state in self.hosts.values() {
            let sum = sums.entry(state.heartbeat.region.clone()).or_default();
            sum.0 += f64::from(state.heartbeat.open_requests);
            sum.1 += 1.0;
        }
        for state in self.hosts.values_mut() {
            let (requests, hosts) = sums[&state.heartbeat.region];
            let open = state.heartbeat.open_requests;
            let limit = match state.is_overloaded {
                true => policy.recover_permille,
                false => policy.overload_permille,
            };
            let is_above = f64::from(open) > requests / hosts * fraction(limit);
            state.is_overloaded = is_above && open >= policy.overload_min_requests;
        }
    }
}
