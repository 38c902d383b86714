//! Plays the scripts of the review: `review-stand CASE DIRECTORY RECORD`.
//!
//! The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod call;
mod cases;
mod host;
mod record;
mod server;
mod site;
mod streams;
mod wires;

use std::{
    env,
    path::PathBuf,
    process::ExitCode, //
};

use record::Record;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    NotRun,
}

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let [_, case, directory, record] = words.as_slice() else {
        eprintln!("usage: review-stand CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let directory = PathBuf::from(directory);
    let record = Record::create(&PathBuf::from(record));
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "apart" => cases::apart::play(&directory, has_trouble, &record),
        "cold" => cases::cold::play(&directory, has_trouble, &record),
        "entry" => cases::entry::play(&directory, has_trouble, &record),
        "heads" => cases::heads::play(&directory, has_trouble, &record),
        "versions" => cases::versions::play(&directory, has_trouble, &record),
        "pause" => cases::pause::play(&directory, has_trouble, &record),
        "stop" => cases::stop::play(&directory, has_trouble, &record),
        "leave" => cases::leave::play(&directory, has_trouble, &record),
        "news" => cases::news::play(&directory, has_trouble, &record),
        _ => Verdict::NotRun,
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(status)
}
