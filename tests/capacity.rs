//! Guards the measured slopes: a fit that is wrong, a series without points, and
//! costs that no longer depend on what the design says they depend on.

use std::process::Command;

use cardamombridge::fit::{
    Fit,
    Point, //
};
use serde_json::Value;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(x, y)| Point { x, y }).collect()
}

fn run(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
        .arg("capacity")
        .args(args)
        .output()
        .expect("the binary runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    String::from_utf8(output.stdout).expect("text")
}

fn series<'a>(report: &'a Value, role: &str, over: &str, cost: &str) -> &'a Value {
    let all = report["series"].as_array().expect("a list of series");
    let is_wanted =
        |one: &&Value| one["role"] == role && one["over"] == over && one["cost"] == cost;
    let found = all.iter().find(is_wanted);
    found.unwrap_or_else(|| panic!("no series {role}: {cost} over {over}"))
}

fn slope(report: &Value, role: &str, over: &str, cost: &str) -> f64 {
    let slope = &series(report, role, over, cost)["fit"]["slope"];
    slope.as_f64().expect("a number")
}

/// Guards against swapped coefficients and a residual that hides deviations.
#[test]
fn a_line_is_fitted_by_least_squares() {
    let exact = Fit::new(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])).expect("a line");
    let rough = Fit::new(&points(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0), (3.0, 3.0)]));
    let rough = rough.expect("a line");

    assert!((exact.intercept - 3.0).abs() < 1e-9, "{exact:?}");
    assert!((exact.slope - 2.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.relative_rms < 1e-9, "{exact:?}");
    assert!((exact.at(10.0) - 23.0).abs() < 1e-9, "{exact:?}");
    // Worked out by hand: deviations -0.6, 1.8, -1.8 and 0.6 around 0.6 + 0.6 x.
    assert!((rough.intercept - 0.6).abs() < 1e-9, "{rough:?}");
    assert!((rough.slope - 0.6).abs() < 1e-9, "{rough:?}");
    let rms = (7.2_f64 / 4.0).sqrt() / 1.5;
    assert!((rough.relative_rms - rms).abs() < 1e-9, "{rough:?}");
}

/// Guards against a slope that is made up from a single size.
#[test]
fn points_of_one_size_have_no_line() {
    assert_eq!(Fit::new(&points(&[(2.0, 1.0), (2.0, 3.0)])), None);
    assert_eq!(Fit::new(&points(&[(2.0, 1.0)])), None);
    assert_eq!(Fit::new(&[]), None);
}

/// Guards against a role that drops out of the report, and against slopes that
/// follow from the protocol and not from the speed of the machine.
#[test]
fn a_quick_run_measures_every_role() {
    let report: Value = serde_json::from_str(&run(&["--quick", "--json"])).expect("JSON");

    let all = report["series"].as_array().expect("a list of series");
    for role in [
        "gossip",
        "decisions",
        "configuration",
        "spending",
        "tickets",
        "burn",
        "polling",
        "list",
    ] {
        assert!(all.iter().any(|one| one["role"] == role), "no {role}");
    }
    for one in all {
        let count = one["points"].as_array().map_or(0, Vec::len);
        assert!(count >= 4, "{count} points in {one}");
        let rms = one["fit"]["relative_rms"].as_f64();
        assert!(rms.is_some_and(f64::is_finite), "{one}");
    }

    // Each watcher of the head reads it once for each change.
    let watch = slope(&report, "configuration", "watchers", "kv reads/change");
    assert!((watch - 1.0).abs() < 0.01, "{watch} reads for each watcher");
    // The text of a ticket has one size, whatever the number of tickets.
    let text = slope(&report, "tickets", "tickets", "text B");
    assert!((95.0..115.0).contains(&text), "{text} bytes of text");
    // Every host asks for its own share of each account.
    let per_host = slope(&report, "spending", "hosts", "grants/s");
    let per_account = slope(&report, "spending", "accounts", "grants/s");
    assert!(per_account > 0.0, "{per_account} grants/s for each account");
    assert!((per_host / per_account - 4.0).abs() < 0.5, "{per_host}");
    let snapshot = slope(&report, "configuration", "accounts", "snapshot B");
    assert!((100.0..1_000.0).contains(&snapshot), "{snapshot} bytes");
    let cost = slope(&report, "tickets", "tickets", "cpu us");
    assert!(cost > 0.0, "tickets cost {cost} us");
}

/// Guards against a table that leaves out the clock or a series.
#[test]
fn the_table_names_the_clock_and_has_all_series() {
    let table = run(&["--quick"]);

    assert!(table.starts_with("times: processor time"), "{table}");
    let rows = table.lines().skip(2).count();
    let report: Value = serde_json::from_str(&run(&["--quick", "--json"])).expect("JSON");
    assert_eq!(Some(rows), report["series"].as_array().map(Vec::len));
}
