//! Simulates the gossip of many hosts in memory to measure its cost.
//!
//! The hosts are real [`Gossip`] values with a virtual clock; only the network
//! between them is replaced by a seeded delivery with loss. Bytes and ages of
//! records are exact for that delivery; CPU time is measured on this machine.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    }, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::{
    gossip::{
        Gossip,
        GossipConfig,
        GossipEvent,
        OutgoingDatagram, //
    },
    wire::ClusterKey, //
};
use crate::{
    cpu_clock::CpuTimer,
    decision::view::{
        EndpointReport,
        ForwardHost,
        Heartbeat,
        RegionSummary,
        TargetCapacity, //
    },
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

const START_MS: Millis = Millis(1_700_000_000_000);
const STEP_MS: Millis = Millis(10);
const POLL_INTERVAL_MS: Millis = Millis(1_000);
const REGION_LATENCY_MS: Millis = Millis(1);
const CROSS_REGION_LATENCY_MS: Millis = Millis(80);
/// Time after which measuring the spread of a revision stops.
const MAX_REVISION_SPREAD_MS: Millis = Millis(60_000);
const LOSS_PERMILLE: u32 = 10;
/// Time until all full records are known, which is excluded from the results. After
/// 20 s the datagrams of 66 hosts still carried full records in place of loads.
const WARM_UP_MS: Millis = Millis(60_000);

/// Cost of gossip for one host of a region, and the age of its records.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct GossipCost {
    /// Hosts in the region.
    pub hosts: usize,
    /// Endpoints in the region.
    pub endpoints: usize,
    /// Measured virtual time in seconds, after the warm-up.
    pub seconds: u64,
    /// Sent and received bytes per second of the average host.
    pub mean_bytes_per_s: f64,
    /// Sent and received bytes per second of the busiest host.
    pub max_bytes_per_s: f64,
    /// CPU time per second of one host, in microseconds, including its share of the
    /// simulated network.
    pub cpu_micros_per_s: f64,
    /// Median age of the newest load of an endpoint that a host knows.
    pub report_age_p50_ms: u64,
    /// 99th percentile of that age.
    pub report_age_p99_ms: u64,
    /// Median age of the newest heartbeat of a host that another host knows.
    pub beat_age_p50_ms: u64,
    /// 99th percentile of that age.
    pub beat_age_p99_ms: u64,
    /// Maximum of that age.
    pub beat_age_max_ms: u64,
}

/// Measures gossip in one region with `hosts` and `endpoints` over `seconds` of
/// virtual time; two hosts poll each endpoint once a second.
pub fn measure_region(hosts: usize, endpoints: usize, seconds: u64) -> GossipCost {
    let mut region = SimulatedCluster::new(1, hosts.max(1), endpoints);
    region.run(WARM_UP_MS);
    let before = region.total_bytes();
    region.ages = Ages::default();
    let timer = CpuTimer::start();
    region.run(Millis(seconds.max(1) * 1_000));
    let cpu_micros = timer.elapsed().as_micros() as f64;
    let seconds = seconds.max(1);
    let used: Vec<u64> = region
        .total_bytes()
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    let per_second = |bytes: u64| bytes as f64 / seconds as f64;
    GossipCost {
        hosts: region.hosts.len(),
        endpoints,
        seconds,
        mean_bytes_per_s: per_second(used.iter().sum()) / region.hosts.len() as f64,
        max_bytes_per_s: per_second(used.iter().copied().max().unwrap_or(0)),
        cpu_micros_per_s: cpu_micros / (seconds as f64 * region.hosts.len() as f64),
        report_age_p50_ms: percentile(&mut region.ages.reports, 50),
        report_age_p99_ms: percentile(&mut region.ages.reports, 99),
        beat_age_p50_ms: percentile(&mut region.ages.heartbeats, 50),
        beat_age_p99_ms: percentile(&mut region.ages.heartbeats, 99),
        beat_age_max_ms: percentile(&mut region.ages.heartbeats, 100),
    }
}

/// Cost of gossip between regions, and how fast it spreads a revision.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CrossRegionCost {
    /// Regions.
    pub regions: usize,
    /// Hosts in each region.
    pub hosts_per_region: usize,
    /// Measured virtual time in seconds, after the warm-up.
    pub seconds: u64,
    /// Sent and received bytes per second of the average host.
    pub mean_bytes_per_s: f64,
    /// Sent and received bytes per second of the busiest host.
    pub max_bytes_per_s: f64,
    /// CPU time per second of one host, in microseconds, including its share of the
    /// simulated network.
    pub cpu_micros_per_s: f64,
    /// Median age of another region's summary that a host knows.
    pub summary_age_p50_ms: u64,
    /// 99th percentile of that age.
    pub summary_age_p99_ms: u64,
    /// Summaries of other regions that the average host knows.
    pub mean_summaries: f64,
    /// Time until a revision accepted at one host was in force at every host; each
    /// fetches it from the host that gossip names.
    pub revision_everywhere_ms: u64,
    /// Time until it was in force at one host of every region at least.
    pub revision_every_region_ms: u64,
}

/// Measures gossip between regions without endpoints over `seconds` of virtual
/// time, and then the spread of one revision by gossip alone.
pub fn measure_cross_region(
    regions: usize,
    hosts_per_region: usize,
    seconds: u64,
) -> CrossRegionCost {
    let hosts_per_region = hosts_per_region.max(1);
    let seconds = seconds.max(1);
    let mut cluster = SimulatedCluster::new(regions.max(1), hosts_per_region, 0);
    cluster.run(WARM_UP_MS);
    let before = cluster.total_bytes();
    cluster.ages = Ages::default();
    let timer = CpuTimer::start();
    cluster.run(Millis(seconds * 1_000));
    let cpu_micros = timer.elapsed().as_micros() as f64;
    let after = cluster.total_bytes();
    let used: Vec<u64> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    let known = cluster.ages.summaries.len() as f64;
    let (revision_every_region_ms, revision_everywhere_ms) = cluster.measure_revision_spread();
    let per_second = |bytes: u64| bytes as f64 / seconds as f64;
    let hosts = cluster.hosts.len() as f64;
    CrossRegionCost {
        regions,
        hosts_per_region,
        seconds,
        mean_bytes_per_s: per_second(used.iter().sum()) / hosts,
        max_bytes_per_s: per_second(used.iter().copied().max().unwrap_or(0)),
        cpu_micros_per_s: cpu_micros / (seconds as f64 * hosts),
        summary_age_p50_ms: percentile(&mut cluster.ages.summaries, 50),
        summary_age_p99_ms: percentile(&mut cluster.ages.summaries, 99),
        mean_summaries: known / (hosts * seconds as f64),
        revision_everywhere_ms,
        revision_every_region_ms,
    }
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let index = (values.len().saturating_sub(1)) * percent / 100;
    values.get(index).copied().unwrap_or(0)
}

#[derive(Debug, Default)]
struct Ages {
    reports: Vec<u64>,
    heartbeats: Vec<u64>,
    summaries: Vec<u64>,
}

struct SimulatedCluster {
    hosts_per_region: usize,
    heartbeats: Vec<Heartbeat>,
    fetches: BTreeMap<Millis, Vec<(usize, Revision)>>,
    hosts: Vec<Gossip>,
    endpoints: Vec<EndpointId>,
    in_transit: BTreeMap<Millis, Vec<(SocketAddr, OutgoingDatagram)>>,
    rng: Pcg64Mcg,
    now_ms: Millis,
    ages: Ages,
}

fn parse_id<T>(text: String) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("generated identifiers are valid")
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn heartbeat(index: usize, region: usize) -> Heartbeat {
    Heartbeat {
        host: parse_id::<HostId>(format!("gateway-{index:03}")),
        incarnation: Incarnation(0x9e37_79b9_7f4a_7c15 ^ index as u64),
        sequence: 0,
        region: parse_id::<RegionId>(format!("buenos-aires-{region:02}")),
        data_centre: parse_id::<DataCentreId>(format!("buenos-aires-{region:02}-1")),
        peer_address: address(index),
        caller_address: address(index),
        is_leaving: false,
        is_ready: true,
        revision: Revision(52_000),
        open_requests: 40,
        ticket_owners: Vec::new(),
    }
}

impl SimulatedCluster {
    fn new(regions: usize, hosts_per_region: usize, endpoints: usize) -> Self {
        let key = ClusterKey::new(b"measure");
        let hosts = regions * hosts_per_region;
        let heartbeats: Vec<Heartbeat> = (0..hosts)
            .map(|index| heartbeat(index, index / hosts_per_region))
            .collect();
        let start = |(index, own): (usize, &Heartbeat)| {
            // The first hosts of this region and of the next one.
            let first = index / hosts_per_region * hosts_per_region;
            let seeds = vec![address(first), address((first + hosts_per_region) % hosts)];
            let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
                .with_seeds(seeds);
            let mut gossip = Gossip::new(config, &key);
            gossip.set_own_heartbeat(START_MS, own.clone());
            gossip
        };
        let endpoint_ids = (0..endpoints).map(|n| parse_id(format!("engine-{n:05}")));
        Self {
            hosts: heartbeats.iter().enumerate().map(start).collect(),
            hosts_per_region,
            heartbeats,
            fetches: BTreeMap::new(),
            endpoints: endpoint_ids.collect(),
            in_transit: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(17),
            now_ms: START_MS,
            ages: Ages::default(),
        }
    }

    fn total_bytes(&self) -> Vec<u64> {
        let counts = self.hosts.iter().map(Gossip::counts);
        counts.map(|c| c.sent_bytes + c.received_bytes).collect()
    }

    fn run(&mut self, duration_ms: Millis) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
            if self.now_ms.0.is_multiple_of(POLL_INTERVAL_MS.0) {
                self.record_ages();
            }
        }
    }

    fn step(&mut self) {
        self.now_ms = self.now_ms + STEP_MS;
        if self.now_ms.0.is_multiple_of(POLL_INTERVAL_MS.0) {
            self.put_summaries();
        }
        self.poll_endpoints();
        self.deliver();
        self.apply_fetches();
        self.poll_hosts();
    }

    /// Sets the summary of its region at each host, with up to eight hosts.
    fn put_summaries(&mut self) {
        let is_one_region = self.hosts_per_region == self.hosts.len();
        for index in 0..self.hosts.len() {
            if is_one_region {
                return;
            }
            let first = index / self.hosts_per_region * self.hosts_per_region;
            let last = first + self.hosts_per_region;
            let forward = |index: usize| ForwardHost {
                host: self.heartbeats[index].host.clone(),
                peer_address: address(index),
                caller_address: address(index),
            };
            let lowest = self.heartbeats[first..last].iter().map(|h| h.revision);
            let busy = self.rng.random_range(0..2_000);
            let capacity = |n: usize| TargetCapacity {
                target: Target::Model(parse_id(format!("model-number-{n}"))),
                slots: 1_024,
                busy,
            };
            let summary = RegionSummary {
                region: self.heartbeats[index].region.clone(),
                made_ms: self.now_ms,
                capacity: (0..5).map(capacity).collect(),
                lowest_revision: lowest.min().unwrap_or_default(),
                hosts: (first..last.min(first + 8)).map(forward).collect(),
            };
            self.hosts[index].set_own_summary(self.now_ms, summary);
        }
    }

    /// Schedules the fetch of each higher revision, which takes one round trip.
    fn schedule_fetches(&mut self, index: usize, events: Vec<GossipEvent>) {
        for event in events {
            if let GossipEvent::HigherRevision(source) = event {
                let from = index_of(source.peer_address);
                let due_ms =
                    self.now_ms + self.latency_ms(index, from) + self.latency_ms(from, index);
                let fetches = self.fetches.entry(due_ms).or_default();
                fetches.push((index, self.heartbeats[from].revision));
            }
        }
    }

    fn apply_fetches(&mut self) {
        let later = self.fetches.split_off(&(self.now_ms + Millis(1)));
        let due = std::mem::replace(&mut self.fetches, later);
        for (index, revision) in due.into_values().flatten() {
            self.set_revision(index, revision);
        }
    }

    fn set_revision(&mut self, index: usize, revision: Revision) {
        let own = &mut self.heartbeats[index];
        if own.revision < revision {
            own.revision = revision;
            self.hosts[index].set_own_heartbeat(self.now_ms, own.clone());
        }
    }

    /// Starts a new revision at the first host; returns the milliseconds until one
    /// host of each region has it in force, and until every host has.
    fn measure_revision_spread(&mut self) -> (u64, u64) {
        let start_ms = self.now_ms;
        let newest = self.heartbeats[0].revision.next();
        self.set_revision(0, newest);
        let mut every_region_ms = None;
        while (self.now_ms - start_ms) < MAX_REVISION_SPREAD_MS {
            let regions = self.heartbeats.chunks(self.hosts_per_region);
            let has_revision = |own: &Heartbeat| own.revision >= newest;
            let is_in_each_region = regions.clone().all(|hosts| hosts.iter().any(has_revision));
            if is_in_each_region && every_region_ms.is_none() {
                every_region_ms = Some((self.now_ms - start_ms).0);
            }
            if self.heartbeats.iter().all(has_revision) {
                break;
            }
            self.step();
        }
        let everywhere_ms = (self.now_ms - start_ms).0;
        (every_region_ms.unwrap_or(everywhere_ms), everywhere_ms)
    }

    fn latency_ms(&self, a: usize, b: usize) -> Millis {
        if a / self.hosts_per_region == b / self.hosts_per_region {
            REGION_LATENCY_MS
        } else {
            CROSS_REGION_LATENCY_MS
        }
    }

    /// Each endpoint is polled by two hosts at different times of the second.
    fn poll_endpoints(&mut self) {
        let phase = self.now_ms.0 % POLL_INTERVAL_MS.0 / STEP_MS.0;
        let phases = (POLL_INTERVAL_MS.0 / STEP_MS.0) as usize;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            for poller in 0..2 {
                if (index * 7 + poller * phases / 2) % phases != phase as usize {
                    continue;
                }
                let host = (index * 2 + poller) % self.hosts.len();
                let report = EndpointReport {
                    endpoint: endpoint.clone(),
                    incarnation: Incarnation(0xdead_beef_0000_0000 | index as u64),
                    measured_ms: self.now_ms,
                    running: self.rng.random_range(0..200),
                    waiting: self.rng.random_range(0..20),
                    cache_permille: self.rng.random_range(0..1_000),
                    is_leaving: false,
                };
                self.hosts[host].apply_local_report(self.now_ms, report, &mut Vec::new());
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.now_ms + Millis(1)));
        let due = std::mem::replace(&mut self.in_transit, later);
        for (from, datagram) in due.into_values().flatten() {
            let index = index_of(datagram.to);
            let mut out = Vec::new();
            let mut events = Vec::new();
            let gossip = &mut self.hosts[index];
            let result = gossip.receive(self.now_ms, from, &datagram.bytes, &mut events, &mut out);
            debug_assert!(result.is_ok(), "{result:?}");
            self.schedule_fetches(index, events);
            self.put_in_transit(index, out);
        }
    }

    fn poll_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let mut out = Vec::new();
            self.hosts[index].poll(self.now_ms, &mut out);
            self.put_in_transit(index, out);
        }
    }

    fn put_in_transit(&mut self, from: usize, out: Vec<OutgoingDatagram>) {
        for datagram in out {
            if self.rng.random_range(0..1_000) < LOSS_PERMILLE {
                continue;
            }
            let latency_ms = self.latency_ms(from, index_of(datagram.to));
            let arrival = self.in_transit.entry(self.now_ms + latency_ms).or_default();
            arrival.push((address(from), datagram));
        }
    }

    fn record_ages(&mut self) {
        for gossip in &self.hosts {
            let reports = gossip.store().endpoints.values();
            let ages = reports.map(|record| (self.now_ms - record.report.measured_ms).0);
            self.ages.reports.extend(ages);
            let heartbeats = gossip.store().hosts.values();
            let ages = heartbeats.map(|record| (self.now_ms - Millis(record.newest_sequence)).0);
            self.ages.heartbeats.extend(ages);
            let own = gossip.region();
            let others = gossip.store().summaries.values();
            let others = others.filter(|record| record.summary.region != *own);
            let ages = others.map(|record| (self.now_ms - record.summary.made_ms).0);
            self.ages.summaries.extend(ages);
        }
    }
}
