//! A host gets SIGTERM while it passes on answers that their endpoint has finished.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use cardamombridge::standin::scripted::{
    Script, //
    ScriptedEndpoint,
};
use nix::sys::signal::Signal;

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    site::{
        announce,
        start_store, //
    }, //
};

const CALLERS: usize = 4;
const ANSWER_BYTES: usize = 13_000_000;
/// Rate of the callers' links, 16 Mbit/s, at which an answer takes six and a half seconds.
const RATE_BYTES_PER_S: usize = 2_000_000;
const LIMIT_MS: u64 = 15_000;
const GOAL_MS: u64 = 800;

pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(LIMIT_MS, GOAL_MS);
    let endpoint = ScriptedEndpoint::start("i-desk-1", |_, _| {
        Script::Answer(200, vec![b'x'; ANSWER_BYTES])
    });
    let Ok(endpoint) = endpoint else {
        return Verdict::NotRun;
    };
    announce(&store, &endpoint, "north");
    let mut host = Host::start(directory, store.address(), "edge-north-a-1", "north");
    if !host.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let address = host.caller_address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let id = format!("attempt-{number}");
            let call = match number % 2 {
                0 => Call::post("/book/order", b"one box").with_attempt(&id, LIMIT_MS),
                _ => Call::get("/read/list").with_attempt(&id, LIMIT_MS),
            };
            record.line(&format!("{id} sent"));
            let limit = Duration::from_millis(LIMIT_MS);
            thread::spawn(move || (id, call.send_slowly(address, RATE_BYTES_PER_S, limit)))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    record.line(&format!("{} requests have run", endpoint.runs().len()));
    let has_run_all = endpoint.runs().len() == CALLERS;
    if has_trouble {
        host.signal(Signal::SIGTERM);
        record.line("SIGTERM");
    }
    while has_trouble && host.ended().is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    if let Some(status) = host.ended() {
        record.line(&format!("the host ended: {status}"));
    }
    let mut cut_count = 0;
    for caller in callers {
        let (id, answer) = caller.join().expect("no caller panics");
        record.line(&format!(
            "{id}: status {:?}, {} of {ANSWER_BYTES} bytes, complete {}, after {:.1} s",
            answer.status,
            answer.body.len(),
            answer.is_complete,
            answer.took.as_secs_f64()
        ));
        cut_count += usize::from(!answer.is_complete);
    }
    record.line(&format!("{cut_count} answers were cut"));
    match (has_run_all, cut_count) {
        (false, _) => Verdict::NotRun,
        (true, 0) => Verdict::Held,
        (true, _) => Verdict::Broken,
    }
}
