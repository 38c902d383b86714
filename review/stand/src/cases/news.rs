//! The store was down for a while, and the entries of the endpoints come back with it.

use std::{
    env,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::{
        MetadataStore,
        StoreFault, //
    },
    scripted::{
        Script, //
        ScriptedEndpoint,
    }, //
};

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    site::{
        announce,
        announcement,
        start_store, //
    }, //
};

const LIMIT_MS: u64 = 5_000;
const GOAL_MS: u64 = 800;
/// Endpoints of the other region, whose entries alone matter here.
const ENTRIES: usize = 10_000;
const HOSTS: usize = 6;
/// Time in which the entries are first written, a few hundred a second.
const GROWTH: Duration = Duration::from_secs(20);
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time after the store's return in which the entries come back.
const RENEWAL: Duration = Duration::from_millis(1_500);
const REQUESTS: usize = 90;

pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let entries = env::var("ENTRIES").ok().and_then(|text| text.parse().ok());
    let entries: usize = entries.unwrap_or(ENTRIES);
    let store = start_store(LIMIT_MS, GOAL_MS);
    let endpoint =
        ScriptedEndpoint::start("i-desk-1", |_, _| Script::Answer(200, b"booked".to_vec()));
    let Ok(endpoint) = endpoint else {
        return Verdict::NotRun;
    };
    announce(&store, &endpoint, "north");
    let hosts: Vec<Host> = (1..=HOSTS)
        .map(|number| {
            let name = format!("edge-north-a-{number}");
            Host::start(directory, store.address(), &name, "north")
        })
        .collect();
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    write_entries(&store, entries, 1, GROWTH);
    record.line(&format!("{entries} entries are in the store"));
    thread::sleep(Duration::from_secs(3));
    let is_ready = hosts.iter().all(Host::is_ready);
    record.line(&format!("all hosts are ready: {is_ready}"));
    if !is_ready {
        return Verdict::NotRun;
    }
    if has_trouble {
        store.set_fault(StoreFault::Down);
        record.line("the store is down");
        thread::sleep(OUTAGE);
        for number in 0..entries {
            store.delete(&key(number));
        }
        store.set_fault(StoreFault::None);
        record.line("the store is back; the entries have lapsed");
        write_entries(&store, entries, 2, RENEWAL);
        record.line("the entries are back");
    }
    thread::sleep(Duration::from_secs(2));
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(50));
            let address = hosts[number % HOSTS].caller_address;
            let id = format!("attempt-{number}");
            record.line(&format!("{id} sent to host {}", 1 + number % HOSTS));
            let call = Call::post("/book/order", b"one box").with_attempt(&id, LIMIT_MS);
            let limit = Duration::from_millis(LIMIT_MS + 500);
            thread::spawn(move || (id, call.send(address, limit)))
        })
        .collect();
    let mut unanswered_count = 0;
    for caller in callers {
        let (id, answer) = caller.join().expect("no caller panics");
        record.line(&format!(
            "{id}: status {:?}, no answer in time {}",
            answer.status, answer.is_timed_out
        ));
        unanswered_count += usize::from(answer.status.is_none());
    }
    thread::sleep(Duration::from_secs(10));
    for (number, host) in hosts.iter().enumerate() {
        record.line(&format!(
            "host {} is ready: {}",
            number + 1,
            host.is_ready()
        ));
    }
    record.line(&format!("{} requests have run", endpoint.runs().len()));
    record.line(&format!(
        "{unanswered_count} of {REQUESTS} without an answer"
    ));
    match unanswered_count {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn key(number: usize) -> String {
    format!("servers/i-{number:05}")
}

/// Writes the entries, spread evenly over `time`.
fn write_entries(store: &MetadataStore, entries: usize, sequence: u64, time: Duration) {
    let started = Instant::now();
    for number in 0..entries {
        let due = started + time.mul_f64(number as f64 / entries as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let address = format!("127.1.{}.{}:9", 1 + number / 250, 1 + number % 250);
        let mut entry = announcement(&address, "south");
        entry["born"] = 1_765_000_000_000_u64.into();
        entry["seq"] = sequence.into();
        store.put(&key(number), &entry);
    }
}
