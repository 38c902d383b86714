//! A replica leaves without reporting it, and another writer puts an entry with fields missing
//! under its key while it still serves.

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    server::WorkingServer,
    site::{
        announce_at,
        announcement,
        start_store, //
    },
};

/// `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(6_000);
/// `drain_ms` of the small sites.
const DRAIN: Duration = Duration::from_millis(4_000);
/// From the removal of the replica's entry to the entry of another writer.
const FOREIGN_AFTER: Duration = Duration::from_millis(2_000);
/// For how long the replica serves after the removal: at times many seconds.
const SERVES: Duration = Duration::from_millis(9_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const TIME_LIMIT_MS: u64 = 8_000;
/// Fields that the entry of the other writer lacks.
const MISSING: [&str; 1] = ["seq"];

/// Plays the case.
pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(TIME_LIMIT_MS, 500);
    let work = Duration::from_millis(30);
    let leaving = WorkingServer::start("leaving", work);
    let staying: Vec<WorkingServer> = ["stays-1", "stays-2", "stays-3"]
        .into_iter()
        .map(|id| {
            let server = WorkingServer::start(id, work);
            announce_at(&store, id, server.address(), "north");
            server
        })
        .collect();
    announce_at(&store, "leaving", leaving.address(), "north");
    let hosts = [
        Host::start(directory, store.address(), "north-1", "north"),
        Host::start(directory, store.address(), "north-2", "north"),
    ];
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    let mut callers = Callers::default();
    callers.call_for(CONTACT + Duration::from_secs(1), &hosts, record);
    let run_before = leaving.runs().len();
    record.line(&format!("{run_before} requests ran at the replica leaving"));
    store.delete("servers/leaving");
    let gone_at = Instant::now();
    record.line("the entry of leaving is removed and acknowledged; it serves on");
    callers.call_for(FOREIGN_AFTER, &hosts, record);
    if has_trouble {
        let mut entry = announcement(&leaving.address().to_string(), "north");
        for name in MISSING {
            entry.as_object_mut().expect("an object").remove(name);
        }
        store.put("servers/leaving", &entry);
        record.line(&format!("another writer: servers/leaving = {entry}"));
    }
    callers.call_for(SERVES.saturating_sub(gone_at.elapsed()), &hosts, record);
    let late = leaving
        .runs()
        .iter()
        .filter(|run| {
            callers
                .sent
                .get(&run.attempt)
                .is_some_and(|at| *at > gone_at + DRAIN)
        })
        .inspect(|run| record.line(&format!("leaving ran {}", run.attempt)))
        .count();
    record.line(&format!(
        "{} requests, {} served; {late} that were sent over {DRAIN:?} after the removal ran at \
         leaving; staying ran {}",
        callers.sent.len(),
        callers.served,
        staying
            .iter()
            .map(|server| server.runs().len())
            .sum::<usize>()
    ));
    if run_before == 0 {
        return Verdict::NotRun;
    }
    match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

#[derive(Default)]
struct Callers {
    sent: BTreeMap<String, Instant>,
    served: usize,
}

impl Callers {
    fn call_for(&mut self, time: Duration, hosts: &[Host], record: &Record) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            let number = self.sent.len();
            let attempt = format!("{number:016x}");
            let call = Call::post("/book/1", b"order").with_attempt(&attempt, TIME_LIMIT_MS);
            self.sent.insert(attempt.clone(), Instant::now());
            let address = hosts[number % hosts.len()].caller_address;
            let answer = call.send(address, Duration::from_secs(9));
            self.served += usize::from(answer.status == Some(200));
            record.line(&format!("request {attempt}: status {:?}", answer.status));
            thread::sleep(REQUEST_INTERVAL);
        }
    }
}
