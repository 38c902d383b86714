//! A replica of the old software version crashes while the store is down, and starts again
//! under its id with the new version.

use std::{
    collections::BTreeSet,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::metadata_store::StoreFault;

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    site::start_store,
    streams::StreamServer, //
};

/// `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(6_000);
/// The store is down for less than the 8 s of the small sites.
const OUTAGE: Duration = Duration::from_millis(6_000);
/// From the begin of the outage to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(500);
/// The replica is down for this long, as in the small sites.
const DOWN: Duration = Duration::from_millis(2_000);
/// Streams that callers begin, one after the other.
const STREAMS: usize = 80;
const STREAM_INTERVAL: Duration = Duration::from_millis(40);
/// Events of a stream and the pause after each, within those of the small sites.
const EVENTS: u64 = 42;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
const TIME_LIMIT_MS: u64 = 12_000;
/// Pause before a retry if the answer names none.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Tries of a caller for one stream, as in the small sites.
const TRIES: usize = 2;

struct Stream {
    number: usize,
    text: String,
    tries: usize,
    last_status: Option<u16>,
}

/// Plays the case.
pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(TIME_LIMIT_MS, 800);
    let old = StreamServer::start("old", "v1", EVENTS, EVENT_PAUSE);
    let new: Vec<StreamServer> = ["new-1", "new-2", "new-3"]
        .into_iter()
        .map(|id| StreamServer::start(id, "v2", EVENTS, EVENT_PAUSE))
        .collect();
    for server in new.iter().chain([&old]) {
        store.put(&server.key(), &server.entry("north", 1));
    }
    let hosts = [
        Host::start(directory, store.address(), "north-1", "north"),
        Host::start(directory, store.address(), "north-2", "north"),
    ];
    if !hosts.iter().all(Host::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let addresses = [hosts[0].caller_address, hosts[1].caller_address];
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(STREAM_INTERVAL);
            thread::spawn(move || take(number, addresses))
        })
        .collect();
    if has_trouble {
        store.set_fault(StoreFault::Down);
        record.line("the store is down");
        let down_at = Instant::now();
        thread::sleep(CRASH_AFTER);
        old.crash();
        record.line("the replica old (v1) crashes");
        thread::sleep(DOWN);
        old.start_again("v2");
        record.line("the replica old is back under its id and address, with v2");
        thread::sleep(OUTAGE.saturating_sub(down_at.elapsed()));
        store.set_fault(StoreFault::None);
        store.put(&old.key(), &old.entry("north", 1));
        record.line("the store is back; the entry of old says v2");
    }
    let mut mixed_count = 0;
    let mut whole_count = 0;
    for caller in callers {
        let stream = caller.join().expect("no caller panics");
        let versions: BTreeSet<&str> = stream
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.rsplit(' ').next())
            .collect();
        let events = stream.text.matches("\n\n").count();
        mixed_count += usize::from(versions.len() > 1);
        whole_count += usize::from(events == EVENTS as usize);
        record.line(&format!(
            "stream {}: {events} events of {versions:?}, {} tries, last status {:?}",
            stream.number, stream.tries, stream.last_status
        ));
    }
    for run in old.runs() {
        record.line(&format!(
            "old ran {} after event {:?} with {}",
            run.attempt, run.after, run.version
        ));
    }
    record.line(&format!(
        "{mixed_count} of {STREAMS} streams hold events of two versions, {whole_count} are whole"
    ));
    if old.runs().is_empty() {
        return Verdict::NotRun;
    }
    // ORDER: more than two streams.
    match mixed_count > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Reads a stream to its end, and takes it up again if its channel breaks.
fn take(number: usize, addresses: [std::net::SocketAddr; 2]) -> Stream {
    let began = Instant::now();
    let mut stream = Stream {
        number,
        text: String::new(),
        tries: 0,
        last_status: None,
    };
    let mut begun_by: Option<String> = None;
    while stream.tries < TRIES {
        let left_ms = TIME_LIMIT_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let attempt = format!("{:08x}{:08x}", number + 1, stream.tries);
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
        let address = addresses[(number + stream.tries) % addresses.len()];
        let answer = call.send(address, Duration::from_millis(left_ms));
        stream.tries += 1;
        stream.last_status = answer.status;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        // What follows the last whole event is not an event.
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        if !whole.is_empty() && begun_by.is_none() {
            begun_by = Some(attempt);
        }
        stream.text.push_str(whole);
        if answer.is_complete && answer.status == Some(200) {
            break;
        }
        thread::sleep(retry_after(&answer.head));
    }
    stream
}

/// Returns the time after which the answer asks the caller to come back.
fn retry_after(head: &str) -> Duration {
    let stated_s = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("retry-after")
            .then(|| value.trim().parse::<f64>().ok())?
    });
    stated_s.map_or(RETRY_PAUSE, Duration::from_secs_f64)
}
