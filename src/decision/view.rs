//! Hosts, endpoints and regions as this host knows them.
//!
//! Everything in here may be late, so every entry has the instant at which its
//! source wrote it. An entry is replaced only by a newer one of the same source,
//! which makes loss, duplication and reordering of messages harmless.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::types::{
    DataCentreId,
    EndpointId,
    HostId,
    Incarnation,
    Millis,
    RegionId,
    Revision,
    Target, //
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

/// What a host says of itself.
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
}

/// What an endpoint says of its load.
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
}

/// What a region says of itself.
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

/// An endpoint with what is known of its load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointState {
    /// What the list says.
    pub info: EndpointInfo,
    /// Newest load report.
    pub report: Option<EndpointReport>,
    /// Requests that this host has in progress there.
    pub in_flight: u32,
}

/// A host with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    /// Newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it arrived here.
    pub heard_ms: Millis,
}

/// Everything this host knows of the others.
#[derive(Debug, Default)]
pub struct View {
    /// Endpoints of all regions by name.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Hosts that have been heard, by name.
    pub hosts: BTreeMap<HostId, HostState>,
    /// Newest summary of each other region.
    pub summaries: BTreeMap<RegionId, RegionSummary>,
}

impl View {
    /// Nothing known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the platform's list.
    pub fn apply_list(&mut self, listed: Vec<EndpointInfo>) {
        let mut old = std::mem::take(&mut self.endpoints);
        for info in listed {
            let state = match old.remove(&info.id) {
                Some(known) => EndpointState { info, ..known },
                None => EndpointState {
                    info,
                    report: None,
                    in_flight: 0,
                },
            };
            self.endpoints.insert(state.info.id.clone(), state);
        }
    }

    /// Takes over a load report unless a newer one is known.
    pub fn apply_report(&mut self, report: EndpointReport) {
        let Some(state) = self.endpoints.get_mut(&report.endpoint) else {
            return;
        };
        let known_ms = state.report.as_ref().map(|known| known.measured_ms);
        if known_ms.is_none_or(|known_ms| known_ms < report.measured_ms) {
            state.report = Some(report);
        }
    }

    /// Takes over a heartbeat unless a newer one is known.
    pub fn apply_heartbeat(&mut self, now_ms: Millis, heartbeat: Heartbeat) {
        let is_newer = self.hosts.get(&heartbeat.host).is_none_or(|known| {
            known.heartbeat.incarnation != heartbeat.incarnation
                || known.heartbeat.sequence < heartbeat.sequence
        });
        if !is_newer {
            return;
        }
        let state = HostState {
            heartbeat,
            heard_ms: now_ms,
        };
        self.hosts.insert(state.heartbeat.host.clone(), state);
    }

    /// Takes over a summary unless a newer one is known.
    pub fn apply_summary(&mut self, summary: RegionSummary) {
        let known_ms = self
            .summaries
            .get(&summary.region)
            .map(|known| known.made_ms);
        if known_ms.is_none_or(|known_ms| known_ms < summary.made_ms) {
            self.summaries.insert(summary.region.clone(), summary);
        }
    }
}
