//! Guards against burn reports that hide bad requests, count old ones, count a
//! host twice, or grow without bound.

use cardamombridge::{
    burn::{
        Alert,
        Burn,
        BurnReport,
        Delivery,
        MAX_CALLERS,
        Objective,
        Promise,
        ReportError,
        Tally,
        Window, //
    },
    types::{
        CallerId,
        HostId,
        Millis, //
    }, //
};
use expect_test::expect;
use proptest::prelude::*;

/// The start of a slice of every window.
const START_MS: Millis = Millis(1_699_999_200_000);
const MINUTE_MS: u64 = 60_000;

fn host(name: &str) -> HostId {
    name.parse().expect("valid host")
}

fn caller(name: &str) -> CallerId {
    name.parse().expect("valid caller")
}

fn promise() -> Promise {
    Promise {
        first_token_ms: Some(Millis(1_600)),
        whole_ms: Millis(20_000),
        objective_permille: 990,
    }
}

fn served(first_token_ms: u64, whole_ms: u64) -> Delivery {
    Delivery {
        first_token_ms: Some(Millis(first_token_ms)),
        whole_ms: Some(Millis(whole_ms)),
    }
}

fn record_many(burn: &mut Burn, now_ms: Millis, name: &str, delivery: &Delivery, times: usize) {
    for _ in 0..times {
        burn.record(now_ms, &caller(name), &promise(), delivery);
    }
}

fn sample() -> BurnReport {
    let mut burn = Burn::new(host("h1"));
    record_many(&mut burn, START_MS, "drevoton", &served(400, 3_000), 990);
    record_many(&mut burn, START_MS, "drevoton", &served(2_000, 9_000), 8);
    record_many(&mut burn, START_MS, "drevoton", &Delivery::default(), 2);
    record_many(&mut burn, START_MS, "marcos", &served(900, 12_000), 80);
    record_many(&mut burn, START_MS, "marcos", &served(3_000, 30_000), 20);
    burn.report(START_MS + Millis(MINUTE_MS))
}

#[test]
fn the_table_shows_the_worst_first_with_rates_budget_and_latency() {
    let report = sample().with_missing(host("h2"));

    expect![[r#"
        caller               objective      burn 5m   burn 1h   burn 6h   burn 3d    budget   requests   p50 ms   p99 ms  alert
        marcos               first token      20.00     20.00     20.00     20.00  -1900.0%        100      927     3071  page
        marcos               whole answer     20.00     20.00     20.00     20.00  -1900.0%        100    12287    30719  page
        drevoton             first token       1.00      1.00      1.00      1.00      0.0%       1000      415      415  -
        drevoton             whole answer      0.20      0.20      0.20      0.20     80.0%       1000     3071     3071  -
        drevoton             served            0.20      0.20      0.20      0.20     80.0%       1000        -        -  -
        marcos               served            0.00      0.00      0.00      0.00    100.0%        100        -        -  -
        hosts: 1
        missing: h2
    "#]]
    .assert_eq(&report.to_table());
}

#[test]
fn the_json_has_the_same_rows() {
    let json = sample().to_json();

    let first = &json["rows"][0];
    assert_eq!(first["caller"], "marcos");
    assert_eq!(first["objective"], "first_token");
    assert_eq!(first["alert"], "page");
    assert_eq!(first["bad_requests"], 20);
    assert_eq!(json["rows"].as_array().map(Vec::len), Some(6));
}

#[test]
fn bad_requests_leave_each_window_after_its_length() {
    for (window, length_ms) in Window::ALL.map(|window| (window, window.length_ms())) {
        let mut burn = Burn::new(host("h1"));
        record_many(&mut burn, START_MS, "c", &Delivery::default(), 3);
        let slice_ms = Millis(length_ms.0 / 10);

        let within = burn.report(START_MS + (length_ms - slice_ms - Millis(1)));
        let after = burn.report(START_MS + length_ms);

        let tally =
            |report: &BurnReport| report.callers[&caller("c")].tally(Objective::Served, window);
        assert_eq!(tally(&within), Tally { good: 0, bad: 3 }, "{window:?}");
        assert_eq!(tally(&after), Tally::default(), "{window:?}");
    }
}

#[test]
fn calls_without_tokens_do_not_count_for_the_first_token() {
    let mut burn = Burn::new(host("h1"));
    let promise = Promise {
        first_token_ms: None,
        ..promise()
    };
    burn.record(START_MS, &caller("c"), &promise, &Delivery::default());

    let report = burn.report(START_MS);

    let burn = &report.callers[&caller("c")];
    assert_eq!(burn.burn_rate(Objective::FirstToken, Window::Hour), None);
    assert_eq!(burn.tally(Objective::Served, Window::Hour).bad, 1);
}

#[test]
fn burn_rates_follow_the_objective() {
    let tally = Tally { good: 98, bad: 2 };

    let rate = tally.burn_rate(990).expect("a rate");
    assert!((rate - 2.0).abs() < 1e-9, "{rate}");
    assert_eq!(tally.burn_rate(1_000), Some(f64::INFINITY));
    assert_eq!(Tally { good: 5, bad: 0 }.burn_rate(1_000), Some(0.0));
    assert_eq!(Tally::default().burn_rate(990), None);
}

#[test]
fn an_alert_needs_a_short_and_a_long_window() {
    let mut burn = Burn::new(host("h1"));
    record_many(&mut burn, START_MS, "c", &Delivery::default(), 50);
    record_many(&mut burn, START_MS, "c", &served(100, 200), 50);

    let during = burn.report(START_MS);
    let later = burn.report(START_MS + Millis(20 * MINUTE_MS));

    let alert = |report: &BurnReport| report.callers[&caller("c")].alert(Objective::Served);
    assert_eq!(alert(&during), Alert::Page);
    assert_eq!(alert(&later), Alert::Ticket);
}

#[test]
fn merged_reports_add_up_and_count_no_host_twice() {
    let mut first = Burn::new(host("h1"));
    let mut second = Burn::new(host("h2"));
    record_many(&mut first, START_MS, "c", &served(100, 200), 60);
    record_many(&mut second, START_MS, "c", &served(5_000, 9_000), 40);
    let second = second.report(START_MS);
    let mut merged = first.report(START_MS).with_missing(host("h2"));

    let is_added = merged.merge(&second);
    let is_added_again = merged.merge(&second);

    assert_eq!((is_added, is_added_again), (true, false));
    assert!(merged.missing.is_empty());
    let burn = &merged.callers[&caller("c")];
    let tally = burn.tally(Objective::FirstToken, Window::ThreeDays);
    assert_eq!(tally, Tally { good: 60, bad: 40 });
    let median = burn.first_token.quantile(500).expect("a median");
    let p99 = burn.first_token.quantile(990).expect("a quantile");
    assert!((90..=110).contains(&median.0), "{median}");
    assert!((4_500..=5_500).contains(&p99.0), "{p99}");
}

#[test]
fn reports_survive_the_way_to_another_host() {
    let report = sample();

    let encoded = report.encode().expect("encoded");

    assert_eq!(BurnReport::decode(&encoded), Ok(report));
    assert_eq!(BurnReport::decode(&[9]), Err(ReportError::BadVersion(9)));
}

#[test]
fn callers_are_bounded_and_what_is_not_counted_is_shown() {
    let mut burn = Burn::new(host("h1"));
    for n in 0..MAX_CALLERS + 5 {
        record_many(&mut burn, START_MS, &format!("c{n}"), &served(100, 200), 1);
    }
    let full = burn.report(START_MS);
    let later_ms = START_MS + Window::ThreeDays.length_ms() + Millis(1);
    record_many(&mut burn, later_ms, "new", &served(100, 200), 1);

    assert_eq!(full.callers.len(), MAX_CALLERS);
    assert_eq!(full.dropped, 5);
    assert!(full.to_table().contains("not counted: 5 requests"));
    assert_eq!(burn.report(later_ms).callers.len(), 1);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_refused_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = bytes;
        bytes.insert(0, 1);
        let _ = BurnReport::decode(&bytes);
    }

    #[test]
    fn each_request_is_counted_once_in_each_window_that_covers_it(
        offsets in prop::collection::vec(0u64..280_000, 1..60),
    ) {
        let mut burn = Burn::new(host("h1"));
        let mut sorted = offsets.clone();
        sorted.sort_unstable();
        for offset in &sorted {
            burn.record(START_MS + Millis(*offset), &caller("c"), &promise(), &served(1, 2));
        }

        let report = burn.report(START_MS + Millis(280_000));

        for window in Window::ALL {
            let tally = report.callers[&caller("c")].tally(Objective::Served, window);
            prop_assert_eq!(tally.total(), offsets.len() as u64);
        }
    }
}
