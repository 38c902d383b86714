//! Allotments of client accounts over many hosts, with a virtual clock and network.

mod allotmentenv;

use std::collections::BTreeMap;

use allotmentenv::{
    Asked,
    Net,
    REGIONS,
    account, //
};
use cardamombridge::gateway::{
    allotment_exchange::{
        AccountHash,
        RelayedAccount,
        Usage,
        UsageRelay,
        UsageReport,
        UsageSender,
        UsageSummary,
        UsageTracker,
        parts_of, //
    },
    load_updates::Packet,
    stream_origins::AttemptHash, //
};

const HOSTS: usize = 24;
const RATE: f64 = 20_000.0;
const BURST: f64 = 40_000.0;
/// Cost of an average chat request.
const UNITS: u64 = 900;
/// Demand of an account that sends many times what it may, relative to its rate.
const FLOOD: f64 = 4.6;
const WINDOW_MS: u64 = 8_000;
/// Time after the start of hosts until relays pass on what hosts use.
const SETTLE_MS: u64 = 6_000;

/// Returns the most that was admitted in a window that begins at `from_ms` or later.
fn most_in_window(asked: &[Asked], from_ms: u64) -> f64 {
    let admitted: Vec<&Asked> = asked
        .iter()
        .filter(|one| one.retry_ms.is_none() && one.at_ms >= from_ms)
        .collect();
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for one in &admitted {
        sum += one.units;
        while admitted[first].at_ms + WINDOW_MS <= one.at_ms {
            sum -= admitted[first].units;
            first += 1;
        }
        most = most.max(sum);
    }
    most as f64
}

fn admitted(asked: &[Asked], from_ms: u64, until_ms: u64) -> f64 {
    let within = asked
        .iter()
        .filter(|one| one.at_ms >= from_ms && one.at_ms < until_ms && one.retry_ms.is_none());
    within.map(|one| one.units as f64).sum()
}

/// Returns the share of the rate that was used in a span.
fn use_of_rate(net: &Net, from_ms: u64, until_ms: u64) -> f64 {
    admitted(&net.asked, from_ms, until_ms) * 1_000.0 / (until_ms - from_ms) as f64 / RATE
}

#[track_caller]
fn assert_within(net: &Net, from_ms: u64, rate: f64, burst: f64) {
    let most = most_in_window(&net.asked, from_ms) / (rate * 8.0 + burst);
    println!("most in a window: {most:.3} of the allotment");
    assert!(most <= 1.1, "{most:.3} of the allotment in a window");
}

#[track_caller]
fn assert_used(net: &Net, from_ms: u64, until_ms: u64, least: f64) {
    let used = use_of_rate(net, from_ms, until_ms);
    println!("use: {used:.3} of the rate");
    assert!(used >= least, "{used:.3} of the rate was used");
}

/// Returns the share of requests that were refused, and that one bucket for all hosts refuses.
fn refused(asked: &[Asked], from_ms: u64, rate: f64, burst: f64) -> (f64, f64) {
    let (mut level, mut at_ms) = (burst, from_ms);
    let (mut refused, mut inevitable, mut all) = (0, 0, 0);
    for one in asked.iter().filter(|one| one.at_ms >= from_ms) {
        level = (level + rate * (one.at_ms - at_ms) as f64 / 1_000.0).min(burst);
        at_ms = one.at_ms;
        all += 1;
        refused += u32::from(one.retry_ms.is_some());
        match level > 0.0 {
            true => level -= one.units as f64,
            false => inevitable += 1,
        }
    }
    let share = |count: u32| f64::from(count) / f64::from(all);
    (share(refused), share(inevitable))
}

#[track_caller]
fn assert_few_refused(net: &Net, from_ms: u64, rate: f64, burst: f64) {
    let (refused, inevitable) = refused(&net.asked, from_ms, rate, burst);
    println!("refused: {refused:.4}, by one bucket for all: {inevitable:.4}");
    assert!(refused < inevitable + 0.01, "{refused} of all are refused");
}

/// Returns a load of `factor` times the rate, divided between the hosts that match.
fn load_of(
    factor: f64,
    host_count: usize,
    is_busy: fn(usize) -> bool,
) -> impl Fn(usize, f64) -> (f64, u64) {
    let busy = (0..host_count).filter(|host| is_busy(*host)).count();
    let per_s = factor * RATE / UNITS as f64 / busy as f64;
    move |host, _| (if is_busy(host) { per_s } else { 0.0 }, UNITS)
}

fn settled(seed: u64) -> Net {
    settled_with(HOSTS, seed)
}

fn settled_with(host_count: usize, seed: u64) -> Net {
    let mut net = Net::new(host_count, &account(RATE, BURST), seed);
    net.run(SETTLE_MS, |_, _| (0.0, 0));
    net
}

fn flood(net: &mut Net, for_ms: u64) -> u64 {
    net.run(for_ms, load_of(FLOOD, net.hosts.len(), |_| true));
    net.now_ms
}

/// Guards against an account that uses more because many hosts admit ahead of reports, or that
/// cannot use its rate because few are busy.
#[test]
fn flood_at_one_half_or_all_hosts_uses_the_rate_and_no_more() {
    let busy: [fn(usize) -> bool; 4] = [
        |host| host == 4,
        |host| host % 2 == 0,
        |_| true,
        |host| host < 3,
    ];
    for host_count in [6, HOSTS, 80] {
        for (seed, is_busy) in busy.into_iter().enumerate() {
            let mut net = settled_with(host_count, seed as u64);
            let start_ms = net.now_ms;

            net.run(30_000, load_of(FLOOD, host_count, is_busy));

            assert_within(&net, 0, RATE, BURST);
            assert_used(&net, start_ms + 2_000, net.now_ms, 0.9);
            let refused = net.asked.iter().filter(|one| one.retry_ms.is_some());
            assert!(refused.count() > 0);
        }
    }
}

/// Guards against a burst that is far smaller than what hosts admit ahead of reports.
#[test]
fn flood_with_a_small_burst_stays_within_the_allotment() {
    for burst in [0.0, 5_000.0] {
        let mut net = Net::new(HOSTS, &account(RATE, burst), 7);
        net.run(SETTLE_MS, |_, _| (0.0, 0));

        let end_ms = flood(&mut net, 30_000);

        assert_within(&net, 0, RATE, burst);
        assert_used(&net, SETTLE_MS + 3_000, end_ms, 0.9);
    }
}

/// Guards against hosts with a small part of a processor, which read and report late.
#[test]
fn hosts_that_stall_keep_to_the_allotment() {
    let mut net = settled_with(80, 73);
    net.stall_ms = 300;
    net.run(20_000, load_of(0.8, 80, |_| true));
    let calm = net.asked.clone();
    let start_ms = net.now_ms;

    let end_ms = flood(&mut net, 30_000);

    let (refused, inevitable) = refused(&calm, 0, RATE, BURST);
    println!("refused below the rate: {refused:.4}");
    assert!(refused < inevitable + 0.01, "{refused} of all are refused");
    assert_within(&net, 0, RATE, BURST);
    assert_used(&net, start_ms + 2_000, end_ms, 0.9);
}

/// Guards against a region that gets nothing while others use all of the rate.
#[test]
fn every_region_gets_a_part_of_the_rate() {
    for seed in 0..5 {
        let mut net = settled(80 + seed);
        // The replicas of a region whose hosts start later have another level at first.
        flood(&mut net, 5_000);
        let west: Vec<usize> = (0..HOSTS).filter(|host| host % 3 == 2).collect();
        west.iter().for_each(|host| net.kill(*host));
        flood(&mut net, 8_000);
        west.iter().for_each(|host| net.start(*host));
        flood(&mut net, 10_000);
        let start_ms = net.now_ms;

        flood(&mut net, 20_000);

        for region in 0..3 {
            let of_region = net.asked.iter().filter(|one| one.host % 3 == region);
            let of_region: Vec<Asked> = of_region.copied().collect();
            let used = admitted(&of_region, start_ms, net.now_ms) / 20.0 / RATE;
            println!("seed {seed}: region {region} used {used:.3} of the rate");
            assert!(used > 0.1, "region {region} used {used:.3} of the rate");
        }
    }
}

/// Guards against lost and overtaking reports that count twice or not at all.
#[test]
fn lost_packets_change_nothing() {
    let mut net = settled(3);
    net.loss = 0.1;

    let end_ms = flood(&mut net, 30_000);

    assert_within(&net, 0, RATE, BURST);
    assert_used(&net, SETTLE_MS + 3_000, end_ms, 0.9);
}

/// Guards against a rate that stays where the demand was.
#[test]
fn rate_follows_demand_to_another_region_within_two_seconds() {
    let mut net = settled(5);
    for region in [0, 1, 2, 0] {
        let near = load_of(FLOOD, HOSTS, |host| host % 3 == 0);
        let start_ms = net.now_ms;

        net.run(6_000, |host, size| near((host + 3 - region) % 3, size));

        assert_used(&net, start_ms + 2_000, net.now_ms, 0.9);
    }
    assert_within(&net, 0, RATE, BURST);
}

/// Guards against refusals of an account that keeps to its rate, with its requests at many hosts, at
/// one, or moving.
#[test]
fn account_below_its_rate_is_hardly_refused() {
    for factor in [0.5, 0.8, 0.9] {
        let mut net = settled_with(80, 11);
        let start_ms = net.now_ms;
        net.run(15_000, load_of(factor, 80, |_| true));
        net.run(15_000, load_of(factor, 80, |host| host == 40));
        net.run(15_000, load_of(factor, 80, |host| host % 3 == 2));

        assert_few_refused(&net, start_ms, RATE, BURST);
        assert_within(&net, 0, RATE, BURST);
    }
}

/// Guards against shares of less than one request.
#[test]
fn few_requests_over_many_hosts_are_hardly_refused() {
    let mut net = Net::new(80, &account(4.0, 8.0), 13);
    net.run(SETTLE_MS, |_, _| (0.0, 0));
    let start_ms = net.now_ms;

    net.run(120_000, |_, _| (3.0 / 80.0, 1));

    assert_few_refused(&net, start_ms, 4.0, 8.0);
    assert_within(&net, 0, 4.0, 8.0);
}

/// Guards against large requests that do not fit what a host may use ahead of reports.
#[test]
fn requests_of_uneven_size_are_hardly_refused() {
    let mut net = Net::new(80, &account(RATE, 3.0 * BURST), 17);
    net.run(SETTLE_MS, |_, _| (0.0, 0));
    let start_ms = net.now_ms;
    let uneven = |_: usize, size: f64| (12.4 / 80.0, if size < 0.9 { 100 } else { 12_000 });

    net.run(60_000, uneven);
    // All at two hosts.
    net.run(60_000, |host, size| {
        (
            uneven(host, size).0 * f64::from(host < 2) * 40.0,
            uneven(host, size).1,
        )
    });

    assert_few_refused(&net, start_ms, RATE, 3.0 * BURST);
}

/// Guards against a debt that is forgotten, so that use over some seconds exceeds the rate.
#[test]
fn debt_is_repaid_before_more_is_admitted() {
    let mut net = settled(19);
    // One request of ten seconds of the rate.
    assert_eq!(net.ask(4, 200_000), None);
    let start_ms = net.now_ms;
    net.run(500, |_, _| (0.0, 0));

    flood(&mut net, 20_000);

    let debt_ms = ((200_000.0 - BURST) / RATE * 1_000.0) as u64;
    let early = admitted(&net.asked, start_ms + 500, start_ms + debt_ms - 200);
    assert!(early < 0.001, "{early} units before the debt was repaid");
    assert_used(&net, start_ms + debt_ms, net.now_ms, 0.9);
}

/// Guards against use that is lost or counted again when a host ends, is paused or starts again.
#[test]
fn host_that_ends_is_paused_or_restarted_changes_little() {
    let mut net = settled(23);
    flood(&mut net, 10_000);
    net.kill(1);
    flood(&mut net, 5_000);
    net.start(1);
    flood(&mut net, 5_000);
    net.pause(2);
    flood(&mut net, 8_000);
    net.resume(2);
    flood(&mut net, 5_000);
    net.kill(2);
    net.start(2);
    let start_ms = net.now_ms;
    flood(&mut net, 10_000);

    assert_within(&net, 0, RATE, BURST);
    assert_used(&net, SETTLE_MS + 4_000, start_ms, 0.9);
    assert_used(&net, start_ms, net.now_ms, 0.9);
}

/// Guards against a relay as a single point of failure: its end must not lose or repeat use.
#[test]
fn relay_that_ends_is_paused_or_restarted_changes_little() {
    let mut net = settled(29);
    for region in REGIONS {
        let relay = net.relay(region);
        flood(&mut net, 5_000);
        let start_ms = net.now_ms;
        net.kill(relay);
        flood(&mut net, 300);
        net.start(relay);
        flood(&mut net, 5_000);
        net.kill(relay);
        flood(&mut net, 6_000);
        net.start(relay);
        flood(&mut net, 6_000);
        net.pause(relay);
        flood(&mut net, 700);
        net.resume(relay);
        flood(&mut net, 5_000);
        net.pause(relay);
        flood(&mut net, 70_000);
        net.resume(relay);
        flood(&mut net, 5_000);
        assert_used(&net, start_ms, net.now_ms, 0.9);
    }
    assert_within(&net, 0, RATE, BURST);
}

/// Guards against a region without both of its relays that uses more than its share, or nothing.
#[test]
fn both_relays_end_at_once() {
    let mut net = settled(31);
    flood(&mut net, 10_000);
    let relays: Vec<usize> = (0..HOSTS).rev().step_by(3).take(2).collect();
    let start_ms = net.now_ms;
    relays.iter().for_each(|relay| net.kill(*relay));

    flood(&mut net, 20_000);
    assert_used(&net, start_ms + 6_000, net.now_ms, 0.9);
    relays.iter().for_each(|relay| net.start(*relay));
    let end_ms = flood(&mut net, 20_000);

    assert_within(&net, start_ms + 2_000, RATE, BURST);
    assert_used(&net, end_ms - 10_000, end_ms, 0.9);
}

/// Guards against regions that each use all of the allotment while they do not hear each other, and
/// against a debt for what the others used meanwhile.
#[test]
fn cut_off_region_and_the_others_stay_within_the_rate_together() {
    let mut net = settled(37);
    flood(&mut net, 10_000);
    let cut_ms = net.now_ms;
    net.cut = Some(("west", cut_ms));

    let healed_ms = flood(&mut net, 30_000);
    net.cut = None;
    let end_ms = flood(&mut net, 20_000);

    // Each side has the whole rate until it knows of the cut.
    let at_first = most_in_window(&net.asked, 0) / (RATE * 8.0 + BURST);
    println!("most in a window, also at first: {at_first:.3}");
    assert!(at_first <= 1.5, "{at_first:.3} of the allotment");
    assert_within(&net, cut_ms + 2_000, RATE, BURST);
    assert_used(&net, cut_ms + 4_000, healed_ms, 0.9);
    assert_used(&net, healed_ms, healed_ms + 3_000, 0.9);
    assert_used(&net, healed_ms + 2_000, end_ms, 0.9);
}

/// Guards against full buckets at hosts that all start at the same moment.
#[test]
fn all_hosts_are_killed_and_restarted_at_the_same_moment() {
    let mut net = settled(41);
    flood(&mut net, 10_000);
    let start_ms = net.now_ms;
    (0..HOSTS).for_each(|host| net.kill(host));
    (0..HOSTS).for_each(|host| net.start(host));

    flood(&mut net, 20_000);

    assert_within(&net, 0, RATE, BURST);
    assert_used(&net, start_ms + 4_000, net.now_ms, 0.9);
}

/// Guards against hosts that join one after the other and start with other levels than the rest.
#[test]
fn host_that_starts_late_refuses_no_more_than_others() {
    let mut net = settled(43);
    net.run(20_000, load_of(0.9, HOSTS, |_| true));
    net.kill(3);
    net.run(5_000, load_of(0.9, HOSTS, |_| true));
    net.start(3);
    net.run(3_000, load_of(0.9, HOSTS, |host| host != 3));
    let start_ms = net.now_ms;

    net.run(20_000, load_of(0.9, HOSTS, |_| true));

    let at_host: Vec<Asked> = net
        .asked
        .iter()
        .filter(|one| one.host == 3)
        .copied()
        .collect();
    let (refused, _) = refused(&at_host, start_ms, RATE, BURST);
    assert!(refused < 0.01, "{refused} of its requests were refused");
}

/// Guards against a burst that outlives the configuration that allowed it.
#[test]
fn lower_limit_binds_at_once_and_a_higher_one_soon() {
    let mut net = settled(47);
    net.run(5_000, load_of(0.5, HOSTS, |_| true));
    let lower_ms = net.now_ms;
    net.configure(&account(RATE / 4.0, BURST / 8.0));
    let higher_ms = flood(&mut net, 15_000);
    net.configure(&account(RATE, BURST));

    flood(&mut net, 10_000);

    let before: Vec<Asked> = net
        .asked
        .iter()
        .filter(|one| one.at_ms <= higher_ms)
        .copied()
        .collect();
    let most = most_in_window(&before, lower_ms) / (RATE / 4.0 * 8.0 + BURST / 8.0);
    assert!(most <= 1.1, "{most:.3} of the lower allotment");
    assert_used(&net, higher_ms + 2_000, net.now_ms, 0.9);
}

/// Guards against an account that is taken out of the configuration and put back with use that
/// counts from 0, which would look as if all of it had been given back.
#[test]
fn account_that_returns_to_the_configuration_keeps_its_use() {
    let mut net = settled(53);
    flood(&mut net, 10_000);
    let mut without = account(RATE, BURST);
    without.allotment = None;
    net.configure(&without);
    net.run(2_000, |_, _| (0.0, 0));
    let start_ms = net.now_ms;
    net.configure(&account(RATE, BURST));

    flood(&mut net, 10_000);

    assert_within(&net, start_ms, RATE, BURST);
}

/// Returns a flooded system whose demand ends, and the retry time of a request at a host then.
fn refused_after_flood(seed: u64) -> Option<(Net, usize, u64)> {
    let mut net = settled(100 + seed);
    flood(&mut net, 5_000 + 37 * seed);
    let host = (seed as usize * 7) % HOSTS;
    let retry_ms = net.ask(host, UNITS)?;
    Some((net, host, retry_ms))
}

/// Guards against refused callers that are refused again although nobody else has used
/// the account, and against retry times that are far too long.
#[test]
fn retry_time_is_true() {
    let (mut all, mut failed) = (0, 0);
    let mut excess_ms = Vec::new();
    for seed in 0..150 {
        let Some((mut net, host, retry_ms)) = refused_after_flood(seed) else {
            continue;
        };
        net.run(retry_ms, |_, _| (0.0, 0));
        let again = net.ask(host, UNITS);

        let (mut net, host, _) = refused_after_flood(seed).expect("it is refused again");
        let asked_ms = net.now_ms;
        net.run(10, |_, _| (0.0, 0));
        while net.ask(host, UNITS).is_some() {
            net.run(10, |_, _| (0.0, 0));
        }
        let wait_ms = net.now_ms - asked_ms;
        println!("{seed}: refused for {retry_ms} ms, has room after {wait_ms} ms, then {again:?}");
        excess_ms.push(retry_ms.saturating_sub(wait_ms));
        all += 1;
        failed += u32::from(again.is_some());
    }
    excess_ms.sort_unstable();
    println!("{failed} of {all} are refused again; too long: {excess_ms:?} ms");
    assert_eq!(failed, 0);
    // What others have used is allowed for with at least 0.35 seconds of the rate, so refused callers wait about that much longer.
    assert!(excess_ms[all / 2] < 500);
}

/// Guards against a request that another host refused and that remains charged here or elsewhere.
#[test]
fn what_is_given_back_is_there_for_all_hosts() {
    let mut net = settled(59);
    let hash = AccountHash::new("bolt");
    let (local_ms, count) = (net.local_ms(4), net.hosts.len());
    let units = 2 * BURST as u64;
    let state = &mut net.hosts[4].state;
    let charge = state.charge(hash, units, None, count, local_ms);
    let charge = charge.expect("it is admitted").expect("it is charged");
    net.run(500, |_, _| (0.0, 0));
    assert!(net.ask(4, UNITS).is_some());
    assert!(net.ask(5, UNITS).is_some());

    net.hosts[4].state.refund(&charge);
    net.run(500, |_, _| (0.0, 0));

    assert_eq!(net.ask(4, UNITS), None);
    assert_eq!(net.ask(5, UNITS), None);
}

/// Guards against an attempt that is charged again when it comes again, against one that stays free
/// of charge, and against a large request that passes for a small one by its attempt id.
#[test]
fn repeated_attempt_is_charged_once() {
    let mut net = settled(61);
    let hash = AccountHash::new("bolt");
    let attempt = AttemptHash::of_stated("a-1");
    let (local_ms, count) = (net.local_ms(4), net.hosts.len());
    let state = &mut net.hosts[4].state;
    let mut charge = |hash: AccountHash, units: u64, at_ms: u64| {
        let charge = state.charge(hash, units, attempt, count, local_ms + at_ms);
        charge.expect("it is admitted")
    };

    let first = charge(hash, UNITS, 0);
    let second = charge(hash, UNITS, 9_000);
    let larger = charge(hash, UNITS + 1, 9_500);
    let late = charge(hash, UNITS, 19_500);

    assert!(first.is_some() && larger.is_some() && late.is_some());
    assert_eq!(second, None);
}

/// Guards against a host that wakes up and uses what others have used while it was paused.
#[test]
fn paused_host_wakes_with_its_share_only() {
    let mut net = settled(67);
    net.run(1_000, load_of(0.1, HOSTS, |_| true));
    net.pause(2);
    flood(&mut net, 20_000);
    net.resume(2);
    let start_ms = net.now_ms;
    for _ in 0..200 {
        net.ask(2, UNITS);
    }

    let used = admitted(&net.asked, start_ms, start_ms + 1);
    println!("{used} units were used at once");
    assert!(used <= BURST / HOSTS as f64 + UNITS as f64);
}

/// Guards against hosts whose loop spins because something is due that they do not do.
#[test]
fn nothing_is_due_after_a_turn() {
    let mut net = settled(71);
    flood(&mut net, 3_000);
    for _ in 0..2_000 {
        flood(&mut net, 1);
        for host in 0..HOSTS {
            let local_ms = net.local_ms(host);
            let count = net.hosts.len();
            let state = &mut net.hosts[host].state;
            if state.tick(local_ms) {
                state.take_due(count, local_ms);
            }
            assert!(state.wait_ms(local_ms) > 0, "host {host}");
        }
    }
}

fn report(host: &str, started_ms: u64, sequence: u64, used: &[(u32, i64)]) -> UsageReport {
    let sender = UsageSender {
        host: host.into(),
        started_ms,
        sequence,
    };
    let usage = |used: i64| Usage { used, asked: used };
    let usages = used
        .iter()
        .map(|(account, used)| (AccountHash(*account), usage(*used)));
    UsageReport {
        sender,
        usages: usages.collect(),
    }
}

/// Guards against use that a relay counts twice or too late: of a host that it hears for the first
/// time, in copies and old packets, after a restart, and after a time out of reach.
#[test]
fn relay_counts_each_use_once() {
    let mut relay = UsageRelay::default();
    let account = AccountHash(1);
    let mut count = |report: UsageReport, at_ms: u64| {
        let changes = relay.apply_report(&report, at_ms);
        changes.get(&account).map_or(0, |change| change.used)
    };

    // Another relay has counted what the host used before; accounts may come in several packets.
    assert_eq!(count(report("h", 1, 1, &[(2, 50)]), 10), 0);
    assert_eq!(count(report("h", 1, 2, &[(1, 70)]), 11), 0);
    assert_eq!(count(report("h", 1, 4, &[(1, 100)]), 60), 30);
    assert_eq!(count(report("h", 1, 4, &[(1, 100)]), 61), 0);
    assert_eq!(count(report("h", 1, 3, &[(1, 80)]), 62), 0);
    // It started again.
    assert_eq!(count(report("h", 2, 1, &[(1, 5)]), 300), 5);
    assert_eq!(count(report("h", 1, 9, &[(1, 900)]), 310), 0);
    // It used its share while it was out of reach.
    assert_eq!(count(report("h", 2, 2, &[(1, 5_000)]), 90_000), 0);
    assert_eq!(count(report("h", 2, 3, &[(1, 5_010)]), 90_050), 10);
    assert_eq!(relay.total()[&account].used, 45);
}

/// Guards against use of another region that is counted twice or lost when its relays disagree, one
/// takes over from the other, or one starts again.
#[test]
fn relays_of_another_region_are_followed_one_at_a_time() {
    let mut tracker = UsageTracker::default();
    let account = AccountHash(1);
    let mut apply = |host: &str, started_ms: u64, sequence: u64, used: i64, at_ms: u64| {
        let report = report(host, started_ms, sequence, &[(1, used)]);
        let changes = tracker.apply(&report.sender, &report.usages, at_ms);
        changes.map(|changes| changes.get(&account).map_or(0, |change| change.used))
    };

    assert_eq!(apply("r1", 1, 1, 1_000, 0), Some(0));
    assert_eq!(apply("r2", 1, 1, 300, 10), None);
    assert_eq!(apply("r1", 1, 2, 1_040, 200), Some(40));
    assert_eq!(apply("r2", 1, 2, 340, 210), None);
    // The first one ends; what it had stated is counted.
    assert_eq!(apply("r1", 1, 3, 1_050, 250), Some(10));
    assert_eq!(apply("r2", 1, 3, 360, 800), Some(20));
    // It starts again and counts from 0; the other one is still followed.
    assert_eq!(apply("r1", 2, 1, 7, 900), None);
    assert_eq!(apply("r2", 1, 4, 365, 950), Some(5));
    // The second one starts again within its silence; the first one takes over.
    assert_eq!(apply("r1", 2, 2, 9, 960), None);
    assert_eq!(apply("r2", 2, 1, 0, 1_000), None);
    // What it has counted since the second one was last followed is counted.
    assert_eq!(apply("r1", 2, 3, 14, 1_010), Some(7));
}

/// Guards against packets that exceed the largest size with many accounts and large numbers.
#[test]
fn packets_with_many_accounts_fit() {
    let large = RelayedAccount {
        level_milli: i64::MIN,
        demand: i64::MAX,
        confirmed: i64::MAX,
    };
    let sender = UsageSender {
        host: "edge-north-1-of-many".into(),
        started_ms: u64::MAX,
        sequence: u64::MAX,
    };
    let accounts: BTreeMap<AccountHash, RelayedAccount> = (0..100)
        .map(|number| (AccountHash(u32::MAX - number), large))
        .collect();

    let parts = parts_of(&accounts);

    assert_eq!(parts.iter().map(BTreeMap::len).sum::<usize>(), 100);
    for accounts in parts {
        let summary = UsageSummary {
            sender: sender.clone(),
            receiver_started_ms: u64::MAX,
            accounts,
            reachable_count: u32::MAX,
            possible_count: u32::MAX,
        };
        let bytes = postcard::to_allocvec(&Packet::UsageSummary(summary)).expect("it is encoded");
        assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
    }
}
