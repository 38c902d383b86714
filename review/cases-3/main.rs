//! Cases of the review: each starts hosts as processes and stand-ins, and judges what clients see.

mod added_host;
mod bench;
mod lost_origins;
mod slow_channel;
mod slow_readers;
mod split_take_up;
mod streams;
mod unannounced_version;

use std::{path::PathBuf, process::ExitCode};

use bench::Record;

/// Whether the rule of a case held.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(format!("case {case}, trouble: {}", bench::has_trouble()));
    let run = || match case.as_str() {
        "split-take-up" => split_take_up::run(&record),
        "unannounced-version" => unannounced_version::run(&record),
        "lost-origins" => lost_origins::run(&record),
        "slow-readers" => slow_readers::run(&record),
        "added-host" => added_host::run(&record),
        _ => Verdict::NotRun(format!("no case is called {case}")),
    };
    // The hosts that a case started end when it unwinds.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Verdict::NotRun("it failed".into()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".into(), 0),
        Verdict::Broken => ("the rule was broken".into(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.runs();
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
