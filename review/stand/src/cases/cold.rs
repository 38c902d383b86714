//! The replicas of a zone become cold while one host is cut off from the store and the other
//! hosts.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    site::start_store_of_cold,
    streams::StreamServer,
    wires::{
        Cut,
        Paths, //
    },
};

/// `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(6_000);
/// Bound of the small sites on the requests to a cold replica in a second.
const COLD_PER_S: f64 = 1.9;
const COLD_BOUND: f64 = COLD_PER_S * 1.5 + 3.0;
const COLD_FOR: Duration = Duration::from_millis(3_000);
/// From the begin of the cut to the moment at which the replica becomes cold.
const COLD_AT: Duration = Duration::from_millis(500);
/// The cut lasts as on the small sites.
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// Requests at each of three hosts: 37 a second in the region.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const EVENTS: u64 = 42;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const TIME_LIMIT_MS: u64 = 12_000;
const HOSTS: [&str; 3] = ["south-1", "south-2", "south-3"];

/// Plays the case.
pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cut = Cut::default();
    let store = start_store_of_cold(TIME_LIMIT_MS, 800, COLD_PER_S);
    let paths = Paths::new(&store, &HOSTS, HOSTS[2], &cut);
    let servers: Vec<StreamServer> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|id| StreamServer::start(id, "v1", EVENTS, EVENT_PAUSE))
        .collect();
    for server in &servers {
        store.put(&server.key(), &server.entry("south", 1));
    }
    let hosts = HOSTS.map(|name| Host::start(directory, paths.store_of(name), name, "south"));
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    let ends = Instant::now() + CONTACT + CUT_FOR + Duration::from_secs(2);
    let callers: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let address = host.caller_address;
            thread::spawn(move || call_until(ends, index, address))
        })
        .collect();
    thread::sleep(CONTACT);
    cut.set(has_trouble);
    record.line(&format!("{} is cut off: {has_trouble}", HOSTS[2]));
    thread::sleep(COLD_AT);
    let cold_at = Instant::now();
    for server in &servers {
        server.become_cold(COLD_FOR);
        store.put(&server.key(), &server.entry("south", 2));
    }
    record.line("the replicas are cold and have written it");
    thread::sleep(CUT_FOR - COLD_AT);
    cut.set(false);
    record.line("the cut has healed");
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    let most = servers
        .iter()
        .map(|server| most_in_a_second(server, cold_at, record))
        .max()
        .unwrap_or(0);
    record.line(&format!(
        "{most} requests reached a cold replica in one second; allowed {COLD_BOUND:.2}"
    ));
    match most as f64 > COLD_BOUND {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Begins a stream in each interval and waits for the last one.
fn call_until(ends: Instant, index: usize, address: SocketAddr) {
    let mut callers = Vec::new();
    while Instant::now() < ends {
        let attempt = format!("{index:08x}{:08x}", callers.len());
        callers.push(thread::spawn(move || {
            let call = Call::post("/chat/1", b"question").with_attempt(&attempt, TIME_LIMIT_MS);
            call.send(address, Duration::from_millis(TIME_LIMIT_MS));
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    for caller in callers {
        caller.join().expect("no caller panics");
    }
}

/// Returns the most requests that a replica got in a second of the time in which it was cold.
fn most_in_a_second(server: &StreamServer, cold_at: Instant, record: &Record) -> usize {
    let cold = cold_at..cold_at + COLD_FOR;
    let runs = server.runs();
    let arrivals: Vec<Instant> = runs
        .iter()
        .filter(|run| cold.contains(&run.at))
        .inspect(|run| {
            let after = run.at.duration_since(cold_at);
            record.line(&format!(
                "{} got {} {after:?} after it became cold",
                server.key(),
                run.attempt
            ));
        })
        .map(|run| run.at)
        .collect();
    let windows = arrivals.iter().map(|first| {
        let window = *first..*first + Duration::from_secs(1);
        arrivals.iter().filter(|at| window.contains(*at)).count()
    });
    windows.max().unwrap_or(0)
}
