//! Permits for an endpoint with a limit: how many are handed out, and to whom.

use std::collections::BTreeMap;

use cardamombridge::gateway::{
    permits::{
        HeldPermits,
        PermitDesk,
        coordinator_priority,
        handed_out_rate, //
    },
    request_rate::RequestRate, //
};
use compact_str::{
    CompactString,
    format_compact, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// Hosts of a region at the largest size.
const HOST_COUNT: usize = 66;
const QUESTION_MS: u64 = 600;
const STEP_MS: u64 = 15;
const WINDOW_MS: u64 = 4_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

fn host(index: usize) -> CompactString {
    format_compact!("host-{index}")
}

/// Returns the permits that each host gets from `desks` of a limit in a time, if each host
/// asks one of them in turn for more than there are.
fn handed_out(
    desks: &mut [PermitDesk],
    heard_share: f64,
    limit: f64,
    time_ms: u64,
) -> BTreeMap<CompactString, u32> {
    let mut total: BTreeMap<CompactString, u32> = BTreeMap::new();
    let rate = handed_out_rate(rate(limit), heard_share, 0);
    for now_ms in (0..time_ms).step_by(STEP_MS as usize) {
        let count = desks.len();
        for (number, desk) in desks.iter_mut().enumerate() {
            if now_ms % QUESTION_MS < STEP_MS {
                for index in (number..HOST_COUNT).step_by(count) {
                    desk.ask(&host(index), 10, QUESTION_MS, now_ms);
                }
            }
            for (name, permits) in desk.hand_out(rate, now_ms) {
                *total.entry(name).or_default() += permits;
            }
        }
    }
    total
}

/// Hosts of a region that all hear each other and ask for the permits of one endpoint over a
/// network that loses packets.
struct LossyRegion {
    /// In the order in which they coordinate the endpoint.
    names: Vec<CompactString>,
    held: Vec<HeldPermits>,
    desks: Vec<PermitDesk>,
    limit: RequestRate,
    loss: f64,
    random: Pcg64Mcg,
}

impl LossyRegion {
    fn new(host_count: usize, limit: f64, loss: f64) -> Self {
        let mut names: Vec<CompactString> = (0..host_count).map(host).collect();
        names.sort_by_key(|name| std::cmp::Reverse(coordinator_priority("e-1", name)));
        Self {
            names,
            held: vec![HeldPermits::default(); host_count],
            desks: vec![PermitDesk::new(0); host_count],
            limit: rate(limit),
            loss,
            random: Pcg64Mcg::seed_from_u64(1),
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.loss)
    }

    /// Lets a host ask for as many permits as it can use, if a question is due.
    fn ask(&mut self, index: usize, now_ms: u64) {
        let wanted = (self.limit.per_s() / 2.0).ceil() as usize + 1;
        let Some(missing) = self.held[index].missing(wanted, now_ms) else {
            return;
        };
        let interval_ms = (10 * self.names.len() as u64).max(100);
        let held = &self.held[index];
        let asked = self
            .names
            .iter()
            .position(|name| held.may_ask(name, now_ms));
        let Some(asked) = asked else {
            return;
        };
        self.held[index].record_question(&self.names[asked], interval_ms, now_ms);
        if asked == index || !self.is_lost() {
            let asker = self.names[index].clone();
            self.desks[asked].ask(&asker, missing, interval_ms, now_ms);
            self.hand_out(asked, Some(index), now_ms);
        }
    }

    fn hand_out(&mut self, coordinator: usize, asker: Option<usize>, now_ms: u64) {
        let rate = handed_out_rate(self.limit, 1.0, coordinator);
        let mut handed_out = self.desks[coordinator].hand_out(rate, now_ms);
        let interval_ms = self.desks[coordinator].interval_ms(rate);
        if let Some(asker) = asker {
            handed_out.entry(self.names[asker].clone()).or_default();
        }
        for (name, count) in handed_out {
            let to = self.names.iter().position(|known| *known == name);
            let to = to.expect("a host of the region");
            if to == coordinator || !self.is_lost() {
                self.held[to].apply_answer(count, interval_ms, now_ms);
            }
        }
    }

    /// Returns the times at which requests are sent, if each host has more than it may send.
    fn sends_ms(&mut self, time_ms: u64) -> Vec<u64> {
        let mut sends_ms = Vec::new();
        for now_ms in (0..time_ms).step_by(STEP_MS as usize) {
            for index in 0..self.names.len() {
                self.ask(index, now_ms);
                self.hand_out(index, None, now_ms);
            }
            for held in &mut self.held {
                while held.count(now_ms) > 0 {
                    held.use_one(now_ms);
                    sends_ms.push(now_ms);
                }
            }
        }
        sends_ms
    }
}

fn allowed(limit: f64, time_ms: u64) -> f64 {
    limit * 1.5 * time_ms as f64 / 1_000.0 + 5.0
}

/// Guards against a limit below one request a host that many hosts exceed together.
#[test]
fn many_hosts_share_a_small_limit() {
    let mut desk = [PermitDesk::new(0)];

    let total = handed_out(&mut desk, 1.0, 1.0, 20 * WINDOW_MS);

    let count: u32 = total.values().sum();
    assert!((65..=80).contains(&count), "{count} permits in 80 s");
    assert!(total.values().all(|permits| *permits <= 2), "{total:?}");
}

/// Guards against the whole limit on both sides of a cut through a region.
#[test]
fn hosts_that_are_cut_off_from_each_other_keep_to_the_limit() {
    let mut desks = [PermitDesk::new(0), PermitDesk::new(0)];

    let total = handed_out(&mut desks, 0.5, 20.0, WINDOW_MS);

    let count: u32 = total.values().sum();
    assert!(f64::from(count) <= allowed(20.0, WINDOW_MS), "{count}");
    assert!(f64::from(count) >= 0.8 * 20.0 * 4.0, "{count}");
}

/// Guards against a limit that hosts exceed together because lost packets make some of them
/// ask another coordinator, and against one that is hardly used for that reason.
#[test]
fn hosts_keep_to_the_limit_while_packets_are_lost() {
    for (host_count, limit, loss) in [
        (3, 20.0, 0.1),
        (3, 20.0, 0.3),
        (6, 50.0, 0.2),
        (66, 4.0, 0.3),
        (66, 50.0, 0.1),
        (66, 50.0, 0.5),
    ] {
        let sends_ms = LossyRegion::new(host_count, limit, loss).sends_ms(20 * WINDOW_MS);

        let most = sends_ms.iter().map(|from_ms| {
            let window = *from_ms..from_ms + WINDOW_MS;
            sends_ms.iter().filter(|ms| window.contains(ms)).count()
        });
        let most = most.max().unwrap_or_default() as f64;
        let case = format!("{host_count} hosts, limit {limit}, loss {loss}: {most} in 4 s");
        assert!(most <= allowed(limit, WINDOW_MS), "{case}");
        let used = sends_ms.len() as f64 / (80.0 * limit);
        assert!(used >= 0.4, "{case}, {used} of the limit used");
        println!("{case}, {used:.2} of the limit used");
    }
}

/// Guards against a burst of permits that a pause has collected.
#[test]
fn pause_collects_few_permits() {
    let mut desk = [PermitDesk::new(0)];
    handed_out(&mut desk, 1.0, 4.0, WINDOW_MS);

    desk[0].ask("host-1", 100, QUESTION_MS, 600_000);
    let burst: u32 = desk[0].hand_out(rate(4.0), 600_000).values().sum();

    assert_eq!(burst, 1);
}

/// Guards against permits that are used long after they were handed out.
#[test]
fn permit_lapses() {
    let mut permits = HeldPermits::default();
    permits.apply_answer(2, 250.0, 1_000);
    assert_eq!(permits.count(1_000), 2);

    permits.use_one(1_100);

    assert_eq!(permits.count(1_100), 1);
    assert_eq!(permits.count(1_500), 0);
}

/// Guards against a limit that is not used because the host that hands out permits is
/// silent.
#[test]
fn silent_coordinator_is_left_for_a_while() {
    let mut permits = HeldPermits::default();

    for now_ms in (0..400).step_by(100) {
        assert!(permits.may_ask("host-1", now_ms));
        permits.record_question("host-1", 100, now_ms);
    }

    assert!(!permits.may_ask("host-1", 400));
    assert!(permits.may_ask("host-2", 400));
    assert!(permits.may_ask("host-1", 4_000));
}

/// Guards against a limit of zero that no host learns to have ended.
#[test]
fn limit_of_zero_lets_a_request_through_now_and_then() {
    let mut desk = [PermitDesk::new(0)];

    let total = handed_out(&mut desk, 1.0, 0.0, 5 * WINDOW_MS);

    let count: u32 = total.values().sum();
    assert!((4..=5).contains(&count), "{count} permits in 20 s");
}

/// Guards against rates that are no rates.
#[test]
fn rates_are_checked_when_they_are_read() {
    assert_eq!("2.5/s".parse(), Ok(rate(2.5)));
    assert_eq!(rate(2.5).to_string(), "2.5/s");
    for text in ["", "2.5", "-1/s", "nan/s", "inf/s"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}
