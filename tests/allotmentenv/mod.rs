//! Hosts of three regions that share the allotment of an account, with a virtual clock and network.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    }, //
};

use cardamombridge::gateway::{
    account::{
        Account,
        Allotment,
        AllotmentUnit, //
    },
    allotment_exchange::{
        AccountHash,
        RELAY_COUNT,
        relay_order, //
    },
    allotment_state::AllotmentState,
    hosts::HostInfo,
    load_updates::Packet, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

pub const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Longest time between two timer checks of an idle host.
const IDLE_TICK_MS: u64 = 100;
/// Time after which a silent host no longer counts as heard.
const SILENCE_MS: u64 = 3_000;
const MAX_INBOX: usize = 200;
const RELAY_CHOICE_MS: u64 = 500;

/// Returns an account with an allotment in requests; costs are set by each test.
pub fn account(rate_per_s: f64, burst: f64) -> Account {
    let unit = AllotmentUnit::Requests;
    Account {
        name: "bolt".into(),
        keys: Vec::new(),
        priority: None,
        home_regions: Vec::new(),
        allotment: Some(Allotment {
            unit,
            rate_per_s,
            burst,
        }),
    }
}

pub struct FakeHost {
    pub info: HostInfo,
    pub state: AllotmentState,
    pub is_up: bool,
    pub is_paused: bool,
    started_ms: u64,
    next_tick_ms: u64,
    next_choice_ms: u64,
    stalled_until_ms: u64,
    silent_since_ms: Option<u64>,
    inbox: VecDeque<Packet>,
}

/// A request, and whether it was admitted.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    pub at_ms: u64,
    pub host: usize,
    pub units: u64,
    pub retry_ms: Option<u64>,
}

pub struct Net {
    pub hosts: Vec<FakeHost>,
    pub now_ms: u64,
    pub asked: Vec<Asked>,
    pub loss: f64,
    /// Longest time for which a host gets no processor, about twice a second.
    pub stall_ms: u64,
    /// Region that is cut off, and since when.
    pub cut: Option<(&'static str, u64)>,
    account: Account,
    queue: BTreeMap<(u64, u64), (usize, usize, Packet)>,
    sent: u64,
    random: Pcg64Mcg,
}

impl Net {
    /// Starts hosts of all regions at once.
    pub fn new(host_count: usize, account: &Account, seed: u64) -> Self {
        let hosts = (0..host_count).map(|number| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + number as u16));
            let info = HostInfo {
                name: format!("host-{number}").into(),
                region: REGIONS[number % REGIONS.len()].into(),
                data_centre: "a".into(),
                caller_address: address,
                peer_address: address,
                capacity: 1 + (number / REGIONS.len()) as u32,
            };
            FakeHost {
                state: AllotmentState::new(info.clone(), 1),
                info,
                is_up: false,
                is_paused: false,
                started_ms: 0,
                next_tick_ms: 0,
                next_choice_ms: 0,
                stalled_until_ms: 0,
                silent_since_ms: None,
                inbox: VecDeque::new(),
            }
        });
        let mut net = Self {
            hosts: hosts.collect(),
            now_ms: 1_000,
            asked: Vec::new(),
            loss: 0.0,
            stall_ms: 0,
            cut: None,
            account: account.clone(),
            queue: BTreeMap::new(),
            sent: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        (0..host_count).for_each(|host| net.start(host));
        net
    }

    pub fn start(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let count = self.hosts.len();
        let one = &mut self.hosts[host];
        one.state = AllotmentState::new(one.info.clone(), now_ms);
        one.state
            .configure(std::slice::from_ref(&self.account), count, 0);
        (one.is_up, one.is_paused, one.silent_since_ms) = (true, false, None);
        (one.started_ms, one.next_tick_ms, one.next_choice_ms) = (now_ms, now_ms, now_ms);
        one.inbox.clear();
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        self.hosts[host].silent_since_ms = Some(self.now_ms);
    }

    pub fn pause(&mut self, host: usize) {
        self.hosts[host].is_paused = true;
        self.hosts[host].silent_since_ms = Some(self.now_ms);
    }

    pub fn resume(&mut self, host: usize) {
        self.hosts[host].is_paused = false;
        self.hosts[host].silent_since_ms = None;
    }

    pub fn configure(&mut self, account: &Account) {
        self.account = account.clone();
        let count = self.hosts.len();
        for host in 0..count {
            let local_ms = self.local_ms(host);
            let state = &mut self.hosts[host].state;
            state.configure(std::slice::from_ref(account), count, local_ms);
        }
    }

    /// Returns the first relay of a region.
    pub fn relay(&self, region: &str) -> usize {
        let hosts = self.hosts.iter().map(|host| host.info.clone());
        let first = &relay_order(hosts.filter(|host| host.region == region).collect())[0];
        self.index(&first.name)
    }

    fn index(&self, name: &str) -> usize {
        let position = self.hosts.iter().position(|host| host.info.name == name);
        position.expect("a known host")
    }

    pub fn local_ms(&self, host: usize) -> u64 {
        self.now_ms - self.hosts[host].started_ms
    }

    /// Asks for units at a host; returns the time until it may be retried if it is refused.
    pub fn ask(&mut self, host: usize, units: u64) -> Option<u64> {
        let hash = AccountHash::new("bolt");
        let (local_ms, count) = (self.local_ms(host), self.hosts.len());
        let state = &mut self.hosts[host].state;
        let charge = state.charge(hash, units, None, count, local_ms);
        let asked = Asked {
            at_ms: self.now_ms,
            host,
            units,
            retry_ms: charge.err(),
        };
        self.asked.push(asked);
        self.tick(host);
        asked.retry_ms
    }

    /// Lets time pass, with requests that `load` states by host: how many a second, and their units.
    pub fn run<F>(&mut self, for_ms: u64, load: F)
    where
        F: Fn(usize, f64) -> (f64, u64),
    {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver();
            for host in 0..self.hosts.len() {
                self.stall(host);
                if !self.is_running(host) {
                    continue;
                }
                let (draw, size) = (self.random.random::<f64>(), self.random.random::<f64>());
                let (per_s, units) = load(host, size);
                if draw < per_s / 1_000.0 {
                    self.ask(host, units);
                }
                if self.now_ms >= self.hosts[host].next_tick_ms {
                    self.tick(host);
                }
            }
        }
    }

    fn stall(&mut self, host: usize) {
        if self.stall_ms > 0 && self.random.random::<f64>() < 0.002 {
            let for_ms = self.random.random_range(0..self.stall_ms);
            self.hosts[host].stalled_until_ms = self.now_ms + for_ms;
        }
    }

    fn is_running(&self, host: usize) -> bool {
        let one = &self.hosts[host];
        one.is_up && !one.is_paused && self.now_ms >= one.stalled_until_ms
    }

    fn is_cut(&self, one: usize, other: usize, for_ms: u64) -> bool {
        self.cut.is_some_and(|(region, since_ms)| {
            let is_inside = |host: usize| self.hosts[host].info.region == region;
            is_inside(one) != is_inside(other) && self.now_ms >= since_ms + for_ms
        })
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now_ms + 1, 0));
        for (_, (from, to, packet)) in std::mem::replace(&mut self.queue, later) {
            // A paused host's socket holds only so many packets.
            let has_room = self.hosts[to].inbox.len() < MAX_INBOX;
            if self.hosts[to].is_up && has_room && !self.is_cut(from, to, 0) {
                self.hosts[to].inbox.push_back(packet);
            }
            if self.is_running(to) {
                self.tick(to);
            }
        }
    }

    /// One turn of a host: it reads packets, chooses relays and sends what is due.
    fn tick(&mut self, host: usize) {
        let (local_ms, count) = (self.local_ms(host), self.hosts.len());
        if self.now_ms >= self.hosts[host].next_choice_ms {
            self.choose_relays(host);
        }
        let one = &mut self.hosts[host];
        for packet in std::mem::take(&mut one.inbox) {
            match packet {
                Packet::UsageReport(report) => one.state.apply_report(&report, local_ms),
                Packet::UsageSummary(summary) => one.state.apply_summary(&summary, local_ms),
                Packet::RegionUsage(sent) => one.state.apply_region(&sent, local_ms),
                other => panic!("unexpected packet {other:?}"),
            }
        }
        let due = match one.state.tick(local_ms) {
            true => one.state.take_due(count, local_ms),
            false => Vec::new(),
        };
        one.next_tick_ms = self.now_ms + one.state.wait_ms(local_ms).clamp(1, IDLE_TICK_MS);
        for outgoing in due {
            for name in outgoing.hosts {
                self.send(host, self.index(&name), &outgoing.packet);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: &Packet) {
        if self.random.random::<f64>() < self.loss {
            return;
        }
        let is_near = self.hosts[from].info.region == self.hosts[to].info.region;
        // Some packets overtake others.
        let delay_ms = if is_near { 2 } else { 80 } + self.random.random_range(0..3);
        self.sent += 1;
        let place = (self.now_ms + delay_ms, self.sent);
        self.queue.insert(place, (from, to, packet.clone()));
    }

    fn choose_relays(&mut self, host: usize) {
        let is_heard = |other: &usize| {
            let since_ms = self.hosts[*other].silent_since_ms;
            let is_silent = since_ms.is_some_and(|since_ms| self.now_ms >= since_ms + SILENCE_MS);
            !is_silent && !self.is_cut(host, *other, SILENCE_MS)
        };
        let relays = |region: &str| {
            let heard = (0..self.hosts.len()).filter(is_heard);
            let hosts = heard.map(|other| self.hosts[other].info.clone());
            let order = relay_order(hosts.filter(|other| other.region == region).collect());
            order.into_iter().take(RELAY_COUNT).map(|relay| relay.name)
        };
        let own_region = self.hosts[host].info.region.clone();
        let own = relays(&own_region).collect();
        let others = REGIONS.iter().filter(|region| **region != own_region);
        let others = others.flat_map(|region| relays(region)).collect();
        let local_ms = self.local_ms(host);
        let one = &mut self.hosts[host];
        one.next_choice_ms = self.now_ms + RELAY_CHOICE_MS;
        one.state.set_relays(own, others, local_ms);
    }
}
