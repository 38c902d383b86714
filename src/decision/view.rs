//! Hosts, endpoints and regions as this host knows them.
//!
//! All of this may be outdated, so every entry carries a time or sequence number
//! set by its source. An entry is replaced only by a newer one from the same
//! source, so lost, duplicated and reordered messages do no harm.

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

/// An endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The model or service that it serves.
    pub target: Target,
    /// Version of the model that it serves; empty for services.
    pub version: CompactString,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it can continue a partial response without repeating it.
    pub can_continue: bool,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// A host in the platform's list.
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
    /// Its current instance.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within this instance.
    pub sequence: u64,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// Whether it has a configuration and serves callers.
    pub is_ready: bool,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Requests in progress.
    pub open_requests: u32,
    /// Host instances whose tickets it decides, including its own instance until it
    /// has handed its tickets over.
    pub ticket_owners: Vec<HostInstance>,
}

/// An endpoint's report of its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its current instance, if it reports one.
    pub incarnation: Incarnation,
    /// When the load was measured.
    pub measured_ms: Millis,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Used share of its cache, in thousandths.
    pub cache_permille: u16,
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
}

/// Capacity of one region for one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCapacity {
    /// The target.
    pub target: Target,
    /// Requests that its endpoints run at the same time.
    pub slots: u32,
    /// Estimated requests that run or wait at its endpoints now.
    pub busy: u32,
}

/// A host that accepts requests forwarded from other regions.
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
    /// When the summary was created, by the clock of its source.
    pub made_ms: Millis,
    /// Capacity by target.
    pub capacity: Vec<TargetCapacity>,
    /// Lowest revision in force on a ready host.
    pub lowest_revision: Revision,
    /// Hosts to forward requests to, at most eight.
    pub hosts: Vec<ForwardHost>,
}

/// Past incarnations remembered per host, so that their late heartbeats are ignored.
const PAST_INCARNATIONS: usize = 4;

/// The known state of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    /// Newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When the newest heartbeat arrived here.
    pub received_ms: Millis,
    /// When the first heartbeat of its current instance arrived here.
    pub instance_since_ms: Millis,
    /// Whether a heartbeat of its current instance, or the platform's list, has
    /// marked it as leaving.
    pub is_leaving: bool,
    /// Whether callers should prefer other hosts.
    pub is_overloaded: bool,
    past_incarnations: Vec<Incarnation>,
}

impl HostState {
    fn new(now_ms: Millis, heartbeat: Heartbeat) -> Self {
        Self {
            is_leaving: heartbeat.is_leaving,
            heartbeat,
            received_ms: now_ms,
            instance_since_ms: now_ms,
            is_overloaded: false,
            past_incarnations: Vec::new(),
        }
    }

    /// Whether it is live, ready and not leaving.
    pub fn takes_work(&self, now_ms: Millis, policy: &Policy) -> bool {
        self.is_live(now_ms, policy) && self.heartbeat.is_ready && !self.is_leaving
    }

    /// Whether its newest heartbeat is recent.
    pub fn is_live(&self, now_ms: Millis, policy: &Policy) -> bool {
        now_ms - self.received_ms < policy.host_live_ms
    }

    fn apply(&mut self, now_ms: Millis, mut heartbeat: Heartbeat) {
        let is_same_instance = self.heartbeat.incarnation == heartbeat.incarnation;
        if is_same_instance && heartbeat.sequence <= self.heartbeat.sequence
            || self.past_incarnations.contains(&heartbeat.incarnation)
        {
            return;
        }
        if is_same_instance {
            heartbeat.revision = heartbeat.revision.max(self.heartbeat.revision);
            self.is_leaving |= heartbeat.is_leaving;
        } else {
            self.is_leaving = heartbeat.is_leaving;
            self.instance_since_ms = now_ms;
            self.past_incarnations.push(self.heartbeat.incarnation);
        }
        if self.past_incarnations.len() > PAST_INCARNATIONS {
            self.past_incarnations.remove(0);
        }
        self.heartbeat = heartbeat;
        self.received_ms = now_ms;
    }
}

/// A region's newest summary with its time of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryState {
    /// The summary.
    pub summary: RegionSummary,
    /// When it arrived here. Its age is computed from this, so that it does not
    /// depend on the clock of its source.
    pub received_ms: Millis,
}

/// The known state of endpoints, hosts and regions.
#[derive(Debug, Default)]
pub struct View {
    /// Endpoints of all regions, by name.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Hosts whose heartbeats have arrived, by name.
    pub hosts: BTreeMap<HostId, HostState>,
    /// Newest summary of each region.
    pub summaries: BTreeMap<RegionId, SummaryState>,
    by_target: BTreeMap<RegionId, BTreeMap<Target, Vec<EndpointId>>>,
    listed_leaving: BTreeSet<HostId>,
    avoided_until_ms: BTreeMap<HostId, Millis>,
}

impl View {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the platform's list.
    ///
    /// Endpoints that are no longer listed get no new requests. Their state is kept
    /// for requests in progress and to remember whether they are leaving.
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
        // As for endpoints, only a change to leaving counts, since the list lags.
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

    /// Endpoints of a region that accept new requests for a target and version.
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

    /// Total slots of a region's endpoints that accept new requests, by target.
    pub fn slots(&self, region: &RegionId) -> BTreeMap<Target, u32> {
        let targets = self.by_target.get(region);
        let slots = targets.into_iter().flatten().map(|(target, _)| {
            let states = self.serving(region, target, None);
            (target.clone(), states.map(|state| state.info.slots).sum())
        });
        slots.collect()
    }

    /// Applies a load report unless a newer one is known.
    pub fn apply_report(&mut self, report: EndpointReport) {
        if let Some(state) = self.endpoints.get_mut(&report.endpoint) {
            state.apply_report(report);
        }
    }

    /// Applies a heartbeat unless a newer one is known.
    pub fn apply_heartbeat(&mut self, now_ms: Millis, heartbeat: Heartbeat) {
        match self.hosts.get_mut(&heartbeat.host) {
            Some(known) => known.apply(now_ms, heartbeat),
            None => {
                let id = heartbeat.host.clone();
                self.hosts.insert(id, HostState::new(now_ms, heartbeat));
            }
        }
    }

    /// Applies a summary unless a newer one is known, and returns whether it was
    /// applied.
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

    /// Returns the newest summary of a region, unless it is too old.
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

    /// Excludes a host from forwarded requests until the given time.
    pub fn avoid_host(&mut self, host: HostId, until_ms: Millis) {
        self.avoided_until_ms.insert(host, until_ms);
    }

    /// Hosts in a region's summary that accept forwarded requests now.
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
        // Most hosts of other regions are known only from their region's summary.
        self.hosts.get(&host.host).is_none_or(|state| {
            state.takes_work(now_ms, policy) && state.heartbeat.region == *region
        })
    }

    /// Hosts of a region that accept new requests, including this one if its own
    /// heartbeats are delivered as events.
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

    /// Returns the host instance that decides the tickets issued by `owner`: `owner`
    /// itself, or the instance of another host that has announced that it took them
    /// over.
    pub fn ticket_holder(&self, owner: &HostInstance) -> HostInstance {
        let is_successor = |state: &&HostState| {
            state.heartbeat.host != owner.host && state.heartbeat.ticket_owners.contains(owner)
        };
        match self.hosts.values().find(is_successor) {
            Some(state) => HostInstance {
                host: state.heartbeat.host.clone(),
                incarnation: state.heartbeat.incarnation,
            },
            None => owner.clone(),
        }
    }

    /// Number of hosts that share the work of a region, at least one.
    pub fn host_count(&self, now_ms: Millis, region: &RegionId, policy: &Policy) -> usize {
        self.ready_hosts(now_ms, region, policy).count().max(1)
    }

    /// Removes outdated entries and updates which hosts are overloaded.
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
