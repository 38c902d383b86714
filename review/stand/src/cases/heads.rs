//! Requests with long heads while a zone is evacuated.
//!
//! Some callers send heads as long as the configuration allows. The requests of the evacuated
//! zone's region go through a host of another region.

use std::{
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::json;

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    server::WorkingServer,
    site::{
        announce_at,
        start_store, //
    },
};

/// Longest head in the configuration of the small sites.
const MAX_HEAD_BYTES: usize = 16_384;
/// One request in this many has such a head.
const LONG_HEAD_EVERY: usize = 5;
/// `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(6_000);
/// Length of an evacuation in the small sites.
const EVACUATION: Duration = Duration::from_secs(8);
/// Time from the evacuation to the first request that counts: hosts know of it by then.
const KNOWN_AFTER: Duration = Duration::from_millis(5_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const TIME_LIMIT_MS: u64 = 5_000;

/// Plays the case.
pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(TIME_LIMIT_MS, 2_000);
    let work = Duration::from_millis(20);
    let near = WorkingServer::start("near", work);
    let far = WorkingServer::start("far", work);
    announce_at(&store, "near", near.address(), "north");
    announce_at(&store, "far", far.address(), "south");
    let south = Host::start(directory, store.address(), "south-1", "south");
    let north = Host::start(directory, store.address(), "north-1", "north");
    if !south.wait_ready() || !north.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(CONTACT);
    if has_trouble {
        store.put("op/evacuate/north-a", &json!({}));
        record.line("op/evacuate/north-a is written and acknowledged");
    }
    let started = Instant::now();
    let mut counts = Counts::default();
    let mut number = 0;
    while started.elapsed() < KNOWN_AFTER + EVACUATION {
        let is_long = number % LONG_HEAD_EVERY == 0;
        let attempt = format!("{number:016x}");
        let call = Call::get("/read/1").with_attempt(&attempt, TIME_LIMIT_MS);
        let call = match is_long {
            true => with_head_of(call, MAX_HEAD_BYTES),
            false => call,
        };
        let head_bytes = call.bytes().len();
        let answer = call.send(north.caller_address, Duration::from_secs(6));
        let is_signed = answer.head.to_ascii_lowercase().contains("x-server-seal:");
        record.line(&format!(
            "request {attempt}, head of {head_bytes} bytes: status {:?}, signed {is_signed}",
            answer.status
        ));
        counts.add(answer.status, is_signed);
        number += 1;
        thread::sleep(REQUEST_INTERVAL);
    }
    let is_run = |server: &WorkingServer| server.runs().len();
    record.line(&format!(
        "{} requests, {} served, {} denied with a 3xx or 4xx of a host; runs at near {}, at far {}",
        counts.all,
        counts.served,
        counts.denied,
        is_run(&near),
        is_run(&far)
    ));
    if counts.all == 0 || counts.served == 0 {
        return Verdict::NotRun;
    }
    // DENIED: more than 5 + one in 500 of all requests.
    match counts.denied * 500 > 5 * 500 + counts.all {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

#[derive(Default)]
struct Counts {
    all: usize,
    served: usize,
    denied: usize,
}

impl Counts {
    fn add(&mut self, status: Option<u16>, is_signed: bool) {
        self.all += 1;
        let Some(status) = status else {
            return;
        };
        let is_promise = matches!(status, 408 | 421 | 429);
        self.served += usize::from((200..300).contains(&status) && is_signed);
        self.denied += usize::from((300..500).contains(&status) && !is_signed && !is_promise);
    }
}

/// Adds a cookie so that the head has this length.
fn with_head_of(call: Call, bytes: usize) -> Call {
    let frame = "Cookie: session=\r\n".len();
    let filling = bytes - call.bytes().len() - frame;
    call.with_header("Cookie", &format!("session={}", "c".repeat(filling)))
}
