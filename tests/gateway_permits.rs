//! Permits for an endpoint with a limit: how many are handed out, and to whom.

use std::collections::BTreeMap;

use cardamombridge::gateway::{
    permits::{
        HeldPermits,
        PermitDesk,
        handed_out_rate, //
    },
    request_rate::RequestRate, //
};
use compact_str::{
    CompactString,
    format_compact, //
};

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
    let rate = handed_out_rate(rate(limit), heard_share);
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
