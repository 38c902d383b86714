//! Many users book at once, so a service is overloaded; one client sends its lookups without
//! waiting for the answers before.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cardamombridge::standin::metadata_store::MetadataStore;

use crate::{
    Verdict,
    bench::{
        End, Folder, Host, Plan, Record, Replica, ReplicaState, Request, Route, Service,
        configuration, has_run, has_trouble, lock, read_answer, request, sleep_ms, tally,
    },
};

/// Slots of `sample-desk`; a replica queues as many requests again.
const SLOTS: u32 = 6;
/// Bookings take 0.9 s to 2.1 s.
const BOOKING_MS: u64 = 900;
const BOOKING_STEP_MS: u64 = 300;
const LOOKUP_MS: u64 = 3;
/// Time in which each client books again and again.
const BOOKING_TIME: Duration = Duration::from_secs(6);
/// Most bookings of a client.
const MOST_BOOKINGS: usize = 100;
/// Clients that book, without and with the disruption.
const USUAL_BOOKINGS: usize = 6;
const BURST_BOOKINGS: usize = 60;
/// Lookups that one client sends on one channel, about 190 KB.
const LOOKUPS: usize = 2_000;
/// Time limit and objective of `dispatch-post` and `order-lookup`.
const LIMIT_MS: u64 = 8_000;
const GOAL_MS: u64 = 500;

/// The slots of a replica.
#[derive(Default)]
struct Room {
    /// Requests that run, and those that wait.
    used: Mutex<(u32, u32)>,
    freed: Condvar,
}

impl Room {
    /// Waits for a slot; returns false if too many wait.
    fn enter(&self) -> bool {
        let mut used = lock(&self.used);
        if used.0 >= SLOTS {
            if used.1 >= SLOTS {
                return false;
            }
            used.1 += 1;
            while used.0 >= SLOTS {
                used = self.freed.wait(used).unwrap_or_else(|error| error.into_inner());
            }
            used.1 -= 1;
        }
        used.0 += 1;
        true
    }

    fn leave(&self) {
        lock(&self.used).0 -= 1;
        self.freed.notify_one();
    }
}

fn work(room: &Room, request: &Request, channel: &mut TcpStream, state: &ReplicaState) -> std::io::Result<()> {
    let attempt = request.attempt();
    if !room.enter() {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\nX-Not-Run: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return channel.write_all(refusal.as_bytes());
    }
    let number: u64 = request.target.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    sleep_ms(match request.method.as_str() {
        "POST" => BOOKING_MS + number % 5 * BOOKING_STEP_MS,
        _ => LOOKUP_MS,
    });
    room.leave();
    let running = lock(&room.used).0;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{attempt}\r\n\
         X-Server-Load: {running},0,{}\r\nContent-Length: 2\r\n\r\nok",
        state.plan.slots
    );
    channel.write_all(answer.as_bytes())
}

/// Looks something up, then books several times on the same channel; returns what became of the
/// bookings.
fn book(front: SocketAddr, number: usize, record: &Record) -> Vec<String> {
    let Ok(mut channel) = TcpStream::connect(front) else {
        return vec!["no channel".into()];
    };
    let limit = Duration::from_millis(LIMIT_MS);
    let first = request("GET", &format!("/lookup/{number}"), &format!("70{number:014x}"), LIMIT_MS, "", b"");
    let is_kept = channel.write_all(&first).is_ok()
        && read_answer(&mut channel, limit).is_some_and(|answer| answer.end == End::Complete);
    if !is_kept {
        return vec!["no kept channel".into()];
    }
    sleep_ms(1_000);
    let mut results = Vec::new();
    let started = Instant::now();
    for turn in 0..MOST_BOOKINGS {
        if started.elapsed() >= BOOKING_TIME {
            break;
        }
        let attempt = format!("71{:014x}", number * MOST_BOOKINGS + turn);
        let bytes = request("POST", &format!("/post/{number}"), &attempt, LIMIT_MS, "", b"one box");
        if channel.write_all(&bytes).is_err() {
            results.push("channel closed before".into());
            break;
        }
        let answer = read_answer(&mut channel, limit);
        let text = match &answer {
            None if has_run(&attempt) => "run, channel closed without an answer".to_string(),
            None => "not run, channel closed without an answer".into(),
            Some(answer) => format!("status {}, {:?}", answer.status, answer.end),
        };
        record.line(format!("booking {attempt} on a kept channel: {text}"));
        results.push(text);
        let Some(answer) = answer else {
            break;
        };
        if answer.status != 200 {
            let wait_s: f64 = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
            sleep_ms((wait_s * 1_000.0) as u64);
        }
    }
    results
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let route = |name, kind, attempts| Route {
        name,
        kind,
        services: vec![("desk", 1)],
        timeout_ms: LIMIT_MS,
        goal_ms: GOAL_MS,
        attempts,
        resumable: false,
    };
    let routes = [route("post", "mutating", 1), route("lookup", "idempotent", 2)];
    store.put_text("op/config", &configuration(7, &routes, &[Service { name: "desk", engine: None }]));
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}"),
                service: "desk".into(),
                zone: "stred-a".into(),
                version: "v1".into(),
                slots: SLOTS,
            };
            let room = Room::default();
            Replica::start(plan, &store, move |request, channel, state| work(&room, request, channel, state))
        })
        .collect();
    let known: Vec<String> = replicas.iter().map(|one| format!("\"endpoint\":\"{}\"", one.state.plan.id)).collect();
    let mut hosts: Vec<Host> = (1..=2)
        .map(|number| Host::start(&folder, &format!("edge-{number}"), "stred", store.address()))
        .collect();
    if !hosts.iter().all(|host| host.wait_for(&known)) {
        return Verdict::NotRun("the hosts did not become ready".into());
    }
    // The machines are in touch: contact_ms after their start.
    sleep_ms(6_500);
    let bookings = if has_trouble() { BURST_BOOKINGS } else { USUAL_BOOKINGS };
    let fronts = [hosts[0].front, hosts[1].front];
    let clients: Vec<_> = (0..bookings)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || (number % 2, book(fronts[number % 2], number, &record)))
        })
        .collect();
    // The bookings are under way.
    sleep_ms(1_600);
    let answered = Arc::new(AtomicUsize::new(0));
    let lookups = {
        let (record, answered) = (record.clone(), Arc::clone(&answered));
        thread::spawn(move || look_up(fronts[0], &record, &answered))
    };
    let bookings: Vec<(usize, String)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flat_map(|(at, texts)| texts.into_iter().map(move |text| (at, text)))
        .collect();
    let lookups = lookups.join().unwrap_or_default();
    record.line(format!("lookups: {lookups}"));
    for (number, host) in hosts.iter_mut().enumerate() {
        let ended = host.ended();
        record.line(format!("{}: {}", host.name, ended.as_deref().unwrap_or("runs")));
        let at_host = bookings.iter().filter(|(at, _)| *at == number).map(|(_, text)| text.clone());
        record.line(format!("bookings at {}: {}", host.name, tally(at_host)));
    }
    let lost = bookings.iter().filter(|(_, text)| text == "run, channel closed without an answer").count();
    record.line(format!("{lost} requests from kept channels were passed on and lost; the bound is 3"));
    match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends all lookups at once on one channel and counts the answers.
fn look_up(front: SocketAddr, record: &Record, answered: &AtomicUsize) -> String {
    let Ok(mut channel) = TcpStream::connect(front) else {
        return "no channel".into();
    };
    let bytes: Vec<u8> = (0..LOOKUPS)
        .flat_map(|number| request("GET", &format!("/lookup/{number}"), &format!("72{number:014x}"), LIMIT_MS, "", b""))
        .collect();
    record.line(format!("one client sends {LOOKUPS} lookups, {} bytes, on one channel to edge-1", bytes.len()));
    let writer = channel.try_clone();
    let writer = thread::spawn(move || writer.and_then(|mut writer| writer.write_all(&bytes)));
    let _ = channel.set_read_timeout(Some(Duration::from_secs(10)));
    let mut statuses = Vec::new();
    let mut input = Vec::new();
    let mut buffer = [0; 64 * 1024];
    while statuses.len() < LOOKUPS {
        match std::io::Read::read(&mut channel, &mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
        // Each answer has a head with a length, and a body of at most two bytes.
        while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
            let length: usize = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
                .unwrap_or(0);
            if input.len() < end + 4 + length {
                break;
            }
            statuses.push(format!("status {}", head.split(' ').nth(1).unwrap_or("")));
            input.drain(..end + 4 + length);
        }
    }
    answered.store(statuses.len(), Ordering::SeqCst);
    let _ = writer.join();
    format!("{} of {LOOKUPS} answered; {}", statuses.len(), tally(statuses))
}
