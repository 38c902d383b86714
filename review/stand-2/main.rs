//! Cases of the second review: each starts gateway hosts as processes, with a store, replicas and
//! clients of its own, and judges what these have seen.
//!
//! Usage: `stand CASE RECORD`, in the repository. `TROUBLE=0` leaves the disruption out.

mod client;
mod host;
mod http;
mod json;
mod record;
mod replica;
mod store;

mod case_caller;
mod case_gone;
mod case_many;
mod case_pipeline;
mod case_steady;
mod case_unframed;

use std::{path::PathBuf, process::ExitCode, time::Duration};

/// Time after which a run ends in any case.
const LIMIT: Duration = Duration::from_secs(115);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What each case gets.
pub struct Run {
    pub net: host::Net,
    pub record: record::Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    host::allow_descriptors();
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = words.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let run = Run {
        net: host::Net::new(),
        record: record::Record::new(path),
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    host::end_all_after(LIMIT);
    let verdict = match case.as_str() {
        "caller" => case_caller::run(&run),
        "gone" => case_gone::run(&run),
        "many" => case_many::run(&run),
        "pipeline" => case_pipeline::run(&run),
        "steady" => case_steady::run(&run),
        "unframed" => case_unframed::run(&run),
        _ => Verdict::CouldNotRun(format!("unknown case {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Verdict::Held => {
            run.record.line("verdict: the rule held");
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            run.record.line("verdict: the rule was broken");
            println!("broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(cause) => {
            run.record.line(&format!("verdict: could not run: {cause}"));
            println!("could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
