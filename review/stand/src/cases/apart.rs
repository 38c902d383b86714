//! During a release, one host is cut off from the store and the other hosts, and streams that
//! began at another host, which is killed, are taken up at it.

use std::{
    collections::BTreeSet,
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
    site::start_store,
    streams::StreamServer,
    wires::{
        Cut,
        Paths, //
    },
};
use nix::sys::signal::Signal;

/// `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(6_000);
/// The cut lasts as on the small sites.
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// From the begin of the cut: the new replicas join, the streams begin, the host is killed.
const JOIN_AT: Duration = Duration::from_millis(150);
const BEGIN_AT: Duration = Duration::from_millis(500);
const KILL_AT: Duration = Duration::from_millis(1_300);
/// Streams that callers begin, one after the other.
const STREAMS: usize = 24;
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Events of a stream and the pause after each, within those of the small sites.
const EVENTS: u64 = 42;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const TIME_LIMIT_MS: u64 = 12_000;
/// Pause before a caller takes its stream up.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Tries of a caller for one stream, as in the small sites.
const TRIES: usize = 2;
const HOSTS: [&str; 3] = ["north-1", "north-2", "north-3"];

struct Stream {
    number: usize,
    text: String,
    tries: Vec<String>,
}

/// Plays the case.
pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let cut = Cut::default();
    let store = start_store(TIME_LIMIT_MS, 800);
    let paths = Paths::new(&store, &HOSTS, HOSTS[2], &cut);

    let old: Vec<StreamServer> = ["old-1", "old-2"]
        .into_iter()
        .map(|id| StreamServer::start(id, "v1", EVENTS, EVENT_PAUSE))
        .collect();
    let new: Vec<StreamServer> = ["new-1", "new-2"]
        .into_iter()
        .map(|id| StreamServer::start(id, "v2", EVENTS, EVENT_PAUSE))
        .collect();
    for server in &old {
        store.put(&server.key(), &server.entry("north", 1));
    }
    let apart = HOSTS[2];
    let hosts = HOSTS.map(|name| Host::start(directory, paths.store_of(name), name, "north"));
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(CONTACT + Duration::from_secs(1));

    let addresses = [
        hosts[0].caller_address,
        hosts[1].caller_address,
        hosts[2].caller_address,
    ];
    let began = Instant::now();
    let wait_for = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    cut.set(has_trouble);
    record.line(&format!(
        "{apart} is cut off from the store and the other hosts: {has_trouble}"
    ));
    wait_for(JOIN_AT);
    for server in &new {
        store.put(&server.key(), &server.entry("north", 1));
    }
    record.line("new-1 and new-2 (v2) join");
    wait_for(BEGIN_AT);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(STREAM_INTERVAL);
            thread::spawn(move || take(number, addresses))
        })
        .collect();
    wait_for(KILL_AT);
    if has_trouble {
        hosts[0].signal(Signal::SIGKILL);
        record.line(&format!("{} is killed", HOSTS[0]));
    }
    wait_for(CUT_FOR);
    cut.set(false);
    record.line("the cut has healed");
    let mut mixed_count = 0;
    for caller in callers {
        let stream = caller.join().expect("no caller panics");
        let versions: BTreeSet<&str> = stream
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.rsplit(' ').next())
            .collect();
        mixed_count += usize::from(versions.len() > 1);
        record.line(&format!(
            "stream {}: {} events of {versions:?}, tries: {}",
            stream.number,
            stream.text.matches("\n\n").count(),
            stream.tries.join("; ")
        ));
    }
    for (server, id) in old
        .iter()
        .chain(&new)
        .zip(["old-1", "old-2", "new-1", "new-2"])
    {
        for run in server.runs() {
            record.line(&format!(
                "{id} ran {} after event {:?} with {}",
                run.attempt, run.after, run.version
            ));
        }
    }
    record.line(&format!(
        "{mixed_count} of {STREAMS} streams hold events of two versions"
    ));
    if new.iter().all(|server| server.runs().is_empty()) {
        return Verdict::NotRun;
    }
    // ORDER: more than two streams.
    match mixed_count > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Reads a stream, and takes it up at one of the other hosts if its channel breaks.
fn take(number: usize, addresses: [SocketAddr; 3]) -> Stream {
    let began = Instant::now();
    let mut stream = Stream {
        number,
        text: String::new(),
        tries: Vec::new(),
    };
    let mut begun_by: Option<String> = None;
    for index in 0..TRIES {
        let left_ms = TIME_LIMIT_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let attempt = format!("{:08x}{index:08x}", number + 1);
        let mut call = Call::post("/chat/1", b"question").with_attempt(&attempt, left_ms);
        let last = stream
            .text
            .lines()
            .rev()
            .find_map(|line| line.strip_prefix("id: "));
        if let (Some(last), Some(begun_by)) = (last, &begun_by) {
            call = call
                .with_header("Last-Event-Id", last)
                .with_header("Resumes", begun_by);
        }
        // Callers choose one of the hosts that have not failed them at random.
        let host = if index == 0 { 0 } else { 1 + number % 2 };
        let answer = call.send(addresses[host], Duration::from_millis(left_ms));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        // What follows the last whole event is not an event.
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        stream.tries.push(format!(
            "{attempt} at {}: {:?}, {} events, whole {}",
            HOSTS[host],
            answer.status,
            whole.matches("\n\n").count(),
            answer.is_complete
        ));
        if !whole.is_empty() && begun_by.is_none() {
            begun_by = Some(attempt);
        }
        stream.text.push_str(whole);
        if answer.is_complete && answer.status == Some(200) {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    stream
}
