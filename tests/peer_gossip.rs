//! Guards against gossip records that do not reach every host, or that cost more
//! bytes than the control budget, when datagrams are lost, duplicated or reordered.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::mpsc,
    time::Duration, //
};

use cardamombridge::{
    decision::view::{
        EndpointReport,
        ForwardHost,
        Heartbeat,
        RegionSummary, //
    },
    peer::{
        gossip::{
            Gossip,
            GossipConfig,
            GossipEvent,
            OutgoingDatagram,
            measure_cross_region,
            measure_region, //
        },
        rendezvous_rank,
        socket::{
            GossipSocket,
            LocalUpdate, //
        },
        wire::ClusterKey, //
    },
    types::{
        EndpointId,
        Incarnation,
        Millis,
        RegionId,
        Revision, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

const START_MS: Millis = Millis(1_700_000_000_000);
const STEP_MS: Millis = Millis(10);

struct Node {
    gossip: Gossip,
    heartbeat: Heartbeat,
    events: Vec<GossipEvent>,
    is_running: bool,
}

/// Hosts with a simulated network between them; its faults are seeded.
struct Net {
    nodes: Vec<Node>,
    in_transit: BTreeMap<Millis, Vec<(usize, OutgoingDatagram)>>,
    rng: Pcg64Mcg,
    now_ms: Millis,
    loss_percent: u32,
    duplicate_percent: u32,
    max_delay_ms: u64,
    /// Two regions whose hosts do not reach each other.
    partitioned_regions: Option<(RegionId, RegionId)>,
    /// Hosts below this index and the others do not reach each other.
    partitioned_at: Option<usize>,
}

fn region(name: &str) -> RegionId {
    name.parse().expect("valid region")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16))
}

fn heartbeat(index: usize, region: RegionId) -> Heartbeat {
    Heartbeat {
        host: format!("h{index}").parse().expect("valid host"),
        incarnation: Incarnation(index as u64 + 1),
        sequence: 0,
        data_centre: format!("{region}-1").parse().expect("valid data centre"),
        region,
        peer_address: address(index),
        caller_address: address(index),
        is_leaving: false,
        is_ready: true,
        revision: Revision(5),
        open_requests: 0,
        ticket_owners: Vec::new(),
    }
}

fn report(name: &str, measured_ms: Millis) -> EndpointReport {
    EndpointReport {
        endpoint: name.parse().expect("valid endpoint"),
        incarnation: Incarnation(1),
        measured_ms,
        running: 3,
        waiting: 1,
        cache_permille: 500,
        is_leaving: false,
    }
}

impl Net {
    fn new(regions: &[&str], hosts_per_region: usize, seed: u64) -> Self {
        let key = ClusterKey::new(b"test");
        // One seed in each region.
        let seeds: Vec<_> = (0..regions.len())
            .map(|n| address(n * hosts_per_region))
            .collect();
        let start = |index: usize| {
            let own = heartbeat(index, region(regions[index / hosts_per_region]));
            let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
                .with_seeds(seeds.clone());
            let mut gossip = Gossip::new(config, &key);
            gossip.set_own_heartbeat(START_MS, own.clone());
            Node {
                gossip,
                heartbeat: own,
                events: Vec::new(),
                is_running: true,
            }
        };
        Self {
            nodes: (0..regions.len() * hosts_per_region).map(start).collect(),
            in_transit: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: START_MS,
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 20,
            partitioned_regions: None,
            partitioned_at: None,
        }
    }

    fn with_faults(mut self, loss_percent: u32, duplicate_percent: u32, delay_ms: u64) -> Self {
        self.loss_percent = loss_percent;
        self.duplicate_percent = duplicate_percent;
        self.max_delay_ms = delay_ms;
        self
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        if self
            .partitioned_at
            .is_some_and(|first| (a < first) != (b < first))
        {
            return true;
        }
        let (a, b) = (
            &self.nodes[a].heartbeat.region,
            &self.nodes[b].heartbeat.region,
        );
        let regions = self.partitioned_regions.as_ref();
        regions.is_some_and(|(x, y)| (a, b) == (x, y) || (a, b) == (y, x))
    }

    fn post(&mut self, from: usize, out: Vec<OutgoingDatagram>) {
        for datagram in out {
            let to = usize::from(datagram.to.port() - 7_000);
            if self.rng.random_range(0..100) < self.loss_percent || self.is_partitioned(from, to) {
                continue;
            }
            let is_duplicated = self.rng.random_range(0..100) < self.duplicate_percent;
            for _ in 0..1 + u32::from(is_duplicated) {
                let delay_ms = Millis(self.rng.random_range(1..=self.max_delay_ms));
                let due = self.in_transit.entry(self.now_ms + delay_ms).or_default();
                due.push((from, datagram.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now_ms = self.now_ms + STEP_MS;
        let later = self.in_transit.split_off(&(self.now_ms + Millis(1)));
        let due = std::mem::replace(&mut self.in_transit, later);
        for (from, datagram) in due.into_values().flatten() {
            let to = usize::from(datagram.to.port() - 7_000);
            let node = &mut self.nodes[to];
            if !node.is_running {
                continue;
            }
            let mut out = Vec::new();
            // Duplicates are refused by the replay window.
            let _ = node.gossip.receive(
                self.now_ms,
                address(from),
                &datagram.bytes,
                &mut node.events,
                &mut out,
            );
            self.post(to, out);
        }
        for index in 0..self.nodes.len() {
            let mut out = Vec::new();
            if self.nodes[index].is_running {
                self.nodes[index].gossip.poll(self.now_ms, &mut out);
            }
            self.post(index, out);
        }
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS.0 {
            self.step();
        }
    }

    /// Steps until `is_done`; returns the time it took, at most `limit_ms`.
    fn run_until<F>(&mut self, limit_ms: u64, is_done: F) -> u64
    where
        F: Fn(&Self) -> bool,
    {
        let start_ms = self.now_ms;
        while !is_done(self) && (self.now_ms - start_ms).0 < limit_ms {
            self.step();
        }
        (self.now_ms - start_ms).0
    }

    fn set_revision(&mut self, index: usize, revision: u64) {
        let node = &mut self.nodes[index];
        node.heartbeat.revision = Revision(revision);
        node.gossip
            .set_own_heartbeat(self.now_ms, node.heartbeat.clone());
    }

    /// Sets the summary of its region at each host, as a running host does from time
    /// to time.
    fn put_summaries(&mut self) {
        let now_ms = self.now_ms;
        let all: Vec<Heartbeat> = self.nodes.iter().map(|n| n.heartbeat.clone()).collect();
        for node in &mut self.nodes {
            let own = all.iter().filter(|h| h.region == node.heartbeat.region);
            let hosts = own.clone().map(|h| ForwardHost {
                host: h.host.clone(),
                peer_address: h.peer_address,
                caller_address: h.caller_address,
            });
            let summary = RegionSummary {
                region: node.heartbeat.region.clone(),
                made_ms: now_ms,
                capacity: Vec::new(),
                lowest_revision: own.map(|h| h.revision).min().unwrap_or_default(),
                hosts: hosts.take(8).collect(),
            };
            node.gossip.set_own_summary(now_ms, summary);
        }
    }

    fn knows_all_hosts(&self) -> bool {
        self.nodes.iter().all(|node| {
            let own_region = &node.heartbeat.region;
            let expected = self.nodes.iter().filter(|other| {
                let other = &other.heartbeat;
                other.region == *own_region && other.host != node.heartbeat.host
            });
            let hosts = &node.gossip.store().hosts;
            expected
                .into_iter()
                .all(|o| hosts.contains_key(&o.heartbeat.host))
        })
    }

    fn all_are_live_everywhere(&self) -> bool {
        self.nodes.iter().all(|node| {
            let hosts = node.gossip.store().hosts.values();
            let live = hosts.filter(|record| record.is_live(self.now_ms));
            live.count() == self.nodes.len()
        })
    }

    fn all_know_leaving(&self, endpoint: &EndpointId) -> bool {
        self.nodes.iter().all(|node| {
            let record = node.gossip.store().endpoints.get(endpoint);
            record.is_some_and(|record| record.report.is_leaving)
        })
    }
}

#[test]
fn hosts_find_each_other_from_one_seed_despite_faults() {
    for seed in 0..5 {
        let mut net = Net::new(&["stred"], 24, seed).with_faults(20, 20, 150);

        let took_ms = net.run_until(10_000, Net::knows_all_hosts);

        println!("seed {seed}: 24 hosts found each other in {took_ms} ms");
        assert!(took_ms < 6_000, "seed {seed} took {took_ms} ms");
    }
}

#[test]
fn a_leaving_endpoint_is_known_everywhere_within_three_seconds() {
    for seed in 0..5 {
        let mut net = Net::new(&["stred"], 66, seed).with_faults(10, 10, 50);
        let endpoint: EndpointId = "engine-007".parse().expect("valid endpoint");
        for n in 0..180 {
            let load = report(&format!("engine-{n:03}"), net.now_ms);
            net.nodes[n % 66]
                .gossip
                .apply_local_report(net.now_ms, load, &mut Vec::new());
        }
        net.run(15_000);
        let mut leaving = report("engine-007", net.now_ms);
        leaving.is_leaving = true;
        net.nodes[7]
            .gossip
            .apply_local_report(net.now_ms, leaving, &mut Vec::new());

        let took_ms = net.run_until(5_000, |net| net.all_know_leaving(&endpoint));

        println!("seed {seed}: leaving known at 66 hosts in {took_ms} ms");
        assert!(took_ms < 3_000, "seed {seed} took {took_ms} ms");
    }
}

#[test]
fn a_leaving_endpoint_stays_leaving_until_its_next_instance() {
    let mut net = Net::new(&["stred"], 2, 1);
    let gossip = &mut net.nodes[0].gossip;
    let mut leaving = report("e", START_MS);
    leaving.is_leaving = true;
    let outdated_report = report("e", START_MS + Millis(500));
    let mut next_instance = report("e", START_MS + Millis(900));
    next_instance.incarnation = Incarnation(2);
    let mut events = Vec::new();

    for report in [leaving, outdated_report, next_instance] {
        gossip.apply_local_report(START_MS, report, &mut events);
    }

    let is_leaving: Vec<bool> = events
        .iter()
        .filter_map(|event| match event {
            GossipEvent::Report(report) => Some(report.is_leaving),
            _ => None,
        })
        .collect();
    assert_eq!(is_leaving, [true, true, false]);
}

#[test]
fn a_stopped_host_does_not_become_live_again_by_late_datagrams() {
    let mut net = Net::new(&["stred"], 12, 3).with_faults(5, 20, 200);
    net.run(8_000);
    net.nodes[5].is_running = false;
    let stopped = net.nodes[5].heartbeat.host.clone();
    net.run(4_000);
    for node in &mut net.nodes {
        node.events.clear();
    }

    net.run(30_000);

    let events = net.nodes.iter().flat_map(|node| &node.events);
    let revived = events
        .filter(|event| matches!(event, GossipEvent::Heartbeat(h) if h.host == stopped))
        .count();
    assert_eq!(revived, 0);
}

#[test]
fn a_restarted_host_replaces_its_previous_instance() {
    let mut net = Net::new(&["stred"], 6, 4);
    net.run(5_000);
    let mut own = net.nodes[2].heartbeat.clone();
    own.incarnation = Incarnation(0);
    let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
        .with_seeds(vec![address(0)]);
    let mut gossip = Gossip::new(config, &ClusterKey::new(b"test"));
    gossip.set_own_heartbeat(net.now_ms, own.clone());
    net.nodes[2].gossip = gossip;

    let took_ms = net.run_until(5_000, |net| {
        net.nodes.iter().all(|node| {
            let record = node.gossip.store().hosts.get(&own.host);
            record.is_some_and(|record| record.heartbeat.incarnation == Incarnation(0))
        })
    });

    assert!(took_ms < 3_000, "took {took_ms} ms");
}

#[test]
fn hosts_of_a_region_reconnect_after_a_long_partition() {
    let mut net = Net::new(&["stred"], 10, 6).with_faults(5, 5, 50);
    net.run(8_000);
    assert!(net.all_are_live_everywhere());
    net.partitioned_at = Some(4);
    net.run(25_000);
    assert!(!net.all_are_live_everywhere());

    net.partitioned_at = None;
    let took_ms = net.run_until(10_000, Net::all_are_live_everywhere);

    println!("10 hosts in two partitions reconnected in {took_ms} ms");
    assert!(took_ms < 4_000, "took {took_ms} ms");
}

#[test]
fn a_delegate_over_its_budget_stays_live_and_is_not_flooded() {
    let mut net = Net::new(&["stred", "zapad"], 66, 8);
    for _ in 0..4 {
        net.put_summaries();
        net.run(500);
    }
    let rank = |net: &Net, n: usize| {
        let host = &net.nodes[n].heartbeat.host;
        rendezvous_rank("stred", host.as_str())
    };
    let delegate = (0..66).max_by_key(|n| rank(&net, *n)).expect("66 hosts");
    let own = net.nodes[delegate].heartbeat.clone();
    let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
        .with_seeds(vec![address(0)])
        .with_budget(500);
    // After its restart it sends one datagram a second, alternately to both regions.
    let mut gossip = Gossip::new(config, &ClusterKey::new(b"test"));
    let own = Heartbeat {
        incarnation: Incarnation(0),
        ..own
    };
    gossip.set_own_heartbeat(net.now_ms, own.clone());
    net.nodes[delegate].gossip = gossip;
    net.run(30_000);
    let before = net.nodes[delegate].gossip.counts();

    let mut silent_ms = 0;
    for _ in 0..200 {
        net.run(100);
        let knows = |node: &Node| node.gossip.store().hosts[&own.host].is_live(net.now_ms);
        let is_silent = !net.nodes[..66].iter().all(knows);
        silent_ms += if is_silent { 100 } else { 0 };
    }

    let after = net.nodes[delegate].gossip.counts();
    let received = (after.received_bytes - before.received_bytes) / 20;
    println!("a delegate over its budget receives {received} bytes/s, silent {silent_ms} ms");
    assert_eq!(silent_ms, 0);
    assert!(received < 8_000, "{received} bytes/s");
}

#[test]
fn a_host_that_was_paused_becomes_live_again() {
    let mut net = Net::new(&["stred"], 8, 7);
    net.run(8_000);
    net.nodes[3].is_running = false;
    net.run(20_000);

    net.nodes[3].is_running = true;
    let took_ms = net.run_until(10_000, Net::all_are_live_everywhere);

    assert!(took_ms < 4_000, "took {took_ms} ms");
}

#[test]
fn a_third_region_relays_between_two_partitioned_ones() {
    let mut net = Net::new(&["stred", "zapad", "sever"], 3, 9).with_faults(5, 5, 160);
    for _ in 0..10 {
        net.put_summaries();
        net.run(500);
    }
    net.partitioned_regions = Some((region("stred"), region("zapad")));
    net.run(2_000);
    // A host of the first region gets revision 6; each host that learns of a
    // higher revision fetches it, unless the partition separates it from the source.
    net.set_revision(0, 6);
    let start_ms = net.now_ms;
    for node in &mut net.nodes {
        node.events.clear();
    }

    while net.nodes.iter().any(|n| n.heartbeat.revision < Revision(6)) {
        net.put_summaries();
        net.run(100);
        for index in 0..net.nodes.len() {
            let events = std::mem::take(&mut net.nodes[index].events);
            for event in events {
                let GossipEvent::HigherRevision(source) = event else {
                    continue;
                };
                let from = usize::from(source.peer_address.port() - 7_000);
                if !net.is_partitioned(index, from) {
                    let revision = net.nodes[from].heartbeat.revision;
                    net.set_revision(index, revision.0.max(5));
                }
            }
        }
        assert!(
            (net.now_ms - start_ms).0 < 10_000,
            "revision 6 did not reach every host within 10 s"
        );
    }

    let took_ms = (net.now_ms - start_ms).0;
    println!("revision in force at 9 hosts across the partition in {took_ms} ms");
    assert!(took_ms < 4_000, "took {took_ms} ms");
}

#[test]
fn gossip_stays_within_its_byte_budget_at_full_size() {
    for (hosts, endpoints) in [(3, 12), (9, 24), (66, 180), (132, 360)] {
        let cost = measure_region(hosts, endpoints, 20);
        println!("{cost:?}");

        assert!(cost.mean_bytes_per_s < 11_000.0, "{cost:?}");
        assert!(cost.max_bytes_per_s < 11_000.0, "{cost:?}");
        if hosts <= 66 {
            assert!(cost.beat_age_p99_ms < 2_000, "{cost:?}");
            assert!(cost.report_age_p99_ms < 6_000, "{cost:?}");
        }
    }
}

#[test]
fn a_revision_reaches_56_regions_in_time_and_within_the_budget() {
    for (regions, hosts) in [(3, 3), (56, 4)] {
        let cost = measure_cross_region(regions, hosts, 10);
        println!("{cost:?}");

        assert!(cost.max_bytes_per_s < 11_000.0, "{cost:?}");
        assert!(cost.revision_everywhere_ms < 4_000, "{cost:?}");
        assert!(
            cost.mean_summaries > 0.95 * (regions - 1) as f64,
            "{cost:?}"
        );
    }
}

#[test]
fn heartbeats_reach_all_hosts_over_real_sockets_including_the_last_one() {
    let key = ClusterKey::new(b"test");
    let sockets: Vec<UdpSocket> = (0..3)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("bound"))
        .collect();
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("bound"))
        .collect();
    let (sender, receiver) = mpsc::channel();
    let mut running = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let mut own = heartbeat(index, region("stred"));
        own.peer_address = addresses[index];
        let config = GossipConfig::new(own.host.clone(), own.incarnation, own.region.clone())
            .with_seeds(vec![addresses[0]]);
        let sender = sender.clone();
        let host = own.host.clone();
        let started = GossipSocket::start(socket, config, &key, move |event| {
            let _ = sender.send((host.clone(), event));
        });
        let started = started.expect("started");
        started.publish(LocalUpdate::Heartbeat(own.clone()));
        running.push((started, own));
    }

    let mut received = std::collections::BTreeSet::new();
    while received.len() < 6 {
        let (by, event) = receiver
            .recv_timeout(Duration::from_secs(5))
            .expect("six pairs within 5 s of silence");
        if let GossipEvent::Heartbeat(heartbeat) = event {
            received.insert((by, heartbeat.host));
        }
    }

    let (stopping, mut own) = running.remove(2);
    own.is_leaving = true;
    stopping.publish(LocalUpdate::Heartbeat(own.clone()));
    stopping.stop();

    let mut informed = std::collections::BTreeSet::new();
    while informed.len() < 2 {
        let (by, event) = receiver
            .recv_timeout(Duration::from_secs(5))
            .expect("both other hosts receive the last heartbeat");
        if matches!(event, GossipEvent::Heartbeat(h) if h.host == own.host && h.is_leaving) {
            informed.insert(by);
        }
    }
}
