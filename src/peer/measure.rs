//! Runs the gossip of one region in memory to find what it costs.
//!
//! The hosts are real [`Gossip`] values with a virtual clock; only the network
//! between them is replaced by a seeded delivery with loss. Bytes and staleness
//! are exact for that delivery; the processor time is measured on this machine.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Instant, //
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
        Outgoing, //
    },
    wire::ClusterKey, //
};
use crate::{
    decision::view::{
        EndpointReport,
        Heartbeat, //
    },
    types::{
        DataCentreId,
        EndpointId,
        HostId,
        Incarnation,
        Millis,
        RegionId,
        Revision, //
    }, //
};

const START_MS: Millis = Millis(1_700_000_000_000);
const STEP_MS: Millis = Millis(10);
const POLL_MS: Millis = Millis(1_000);
const LATENCY_MS: Millis = Millis(1);
const LOSS_PERMILLE: u32 = 10;
/// Time to learn all descriptions, which is left out of the figures.
const WARM_UP_MS: Millis = Millis(20_000);

/// What gossip costs one host of a region, and how old its news are.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct GossipCost {
    /// Hosts in the region.
    pub hosts: usize,
    /// Endpoints in the region.
    pub endpoints: usize,
    /// Virtual time that was measured, after the warm-up.
    pub seconds: u64,
    /// Sent and received bytes per second of the average host.
    pub mean_bytes_per_s: f64,
    /// Sent and received bytes per second of the busiest host.
    pub max_bytes_per_s: f64,
    /// Processor time per second of one host, in microseconds.
    pub cpu_micros_per_s: f64,
    /// Median age of an endpoint's load at a host.
    pub report_age_p50_ms: u64,
    /// 99th percentile of that age.
    pub report_age_p99_ms: u64,
    /// Median age of the newest sign of life of a host at another.
    pub beat_age_p50_ms: u64,
    /// 99th percentile of that age.
    pub beat_age_p99_ms: u64,
    /// Longest such age.
    pub beat_age_max_ms: u64,
}

/// Measures one region with `hosts` and `endpoints` over `seconds` of virtual
/// time; two hosts poll each endpoint once a second.
pub fn measure(hosts: usize, endpoints: usize, seconds: u64) -> GossipCost {
    let mut region = MeasuredRegion::new(hosts.max(1), endpoints);
    region.run(WARM_UP_MS);
    let before = region.total_bytes();
    region.ages = Ages::default();
    let started = Instant::now();
    region.run(Millis(seconds.max(1) * 1_000));
    let cpu_micros = started.elapsed().as_micros() as f64;
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
        beat_age_p50_ms: percentile(&mut region.ages.beats, 50),
        beat_age_p99_ms: percentile(&mut region.ages.beats, 99),
        beat_age_max_ms: percentile(&mut region.ages.beats, 100),
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
    beats: Vec<u64>,
}

struct MeasuredRegion {
    hosts: Vec<Gossip>,
    endpoints: Vec<EndpointId>,
    in_transit: BTreeMap<Millis, Vec<(SocketAddr, Outgoing)>>,
    rng: Pcg64Mcg,
    now_ms: Millis,
    ages: Ages,
}

fn id<T>(text: String) -> T
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

fn heartbeat(index: usize) -> Heartbeat {
    Heartbeat {
        host: id::<HostId>(format!("gateway-{index:03}")),
        incarnation: Incarnation(0x9e37_79b9_7f4a_7c15 ^ index as u64),
        sequence: 0,
        region: id::<RegionId>("buenos-aires".into()),
        data_centre: id::<DataCentreId>("buenos-aires-1".into()),
        peer_address: address(index),
        caller_address: address(index),
        is_leaving: false,
        is_ready: true,
        revision: Revision(52_000),
        open_requests: 40,
        held_runs: Vec::new(),
    }
}

impl MeasuredRegion {
    fn new(hosts: usize, endpoints: usize) -> Self {
        let key = ClusterKey::new(b"measure");
        let start = |index: usize| {
            let own = heartbeat(index);
            let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
                .with_seeds(vec![address(0), address(1)]);
            let mut gossip = Gossip::new(config, &key);
            gossip.put_heartbeat(START_MS, own);
            gossip
        };
        let endpoint_ids = (0..endpoints).map(|n| id(format!("engine-{n:05}")));
        Self {
            hosts: (0..hosts).map(start).collect(),
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
            self.now_ms = self.now_ms + STEP_MS;
            self.poll_endpoints();
            self.deliver();
            self.send();
            if self.now_ms.0.is_multiple_of(POLL_MS.0) {
                self.record_ages();
            }
        }
    }

    /// Each endpoint is polled by two hosts at different times of the second.
    fn poll_endpoints(&mut self) {
        let phase = self.now_ms.0 % POLL_MS.0 / STEP_MS.0;
        let phases = (POLL_MS.0 / STEP_MS.0) as usize;
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
                self.hosts[host].put_report(self.now_ms, report, &mut Vec::new());
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.now_ms + Millis(1)));
        let due = std::mem::replace(&mut self.in_transit, later);
        for (from, datagram) in due.into_values().flatten() {
            let SocketAddr::V4(to) = datagram.to else {
                continue;
            };
            let [_, _, high, low] = to.ip().octets();
            let index = usize::from(high) << 8 | usize::from(low);
            let mut out = Vec::new();
            let mut news = Vec::new();
            let gossip = &mut self.hosts[index];
            let result = gossip.receive(self.now_ms, from, &datagram.bytes, &mut news, &mut out);
            debug_assert!(result.is_ok(), "{result:?}");
            self.post(index, out);
        }
    }

    fn send(&mut self) {
        for index in 0..self.hosts.len() {
            let mut out = Vec::new();
            self.hosts[index].poll(self.now_ms, &mut out);
            self.post(index, out);
        }
    }

    fn post(&mut self, from: usize, out: Vec<Outgoing>) {
        for datagram in out {
            if self.rng.random_range(0..1_000) < LOSS_PERMILLE {
                continue;
            }
            let arrival = self.in_transit.entry(self.now_ms + LATENCY_MS).or_default();
            arrival.push((address(from), datagram));
        }
    }

    fn record_ages(&mut self) {
        for gossip in &self.hosts {
            let reports = gossip.store().endpoints.values();
            let ages = reports.map(|record| (self.now_ms - record.report.measured_ms).0);
            self.ages.reports.extend(ages);
            let beats = gossip.store().hosts.values();
            let ages = beats.map(|record| (self.now_ms - Millis(record.beat)).0);
            self.ages.beats.extend(ages);
        }
    }
}
