//! Clients on slow links read answers all the while, at 64 KB a second.

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cardamombridge::standin::metadata_store::MetadataStore;

use crate::{
    Verdict,
    bench::{
        End, Folder, Host, Plan, Record, Replica, ReplicaState, Request, Route, Service,
        configuration, has_run, has_trouble, read_answer, request, sleep_ms, tally,
    },
    slow_channel,
};

const ANSWER_BYTES: usize = 400_000;
/// What a slow client reads at a time, and the pause before each read.
const READ_BYTES: usize = 6_400;
const READ_PAUSE_MS: u64 = 100;
const CLIENTS: usize = 6;
/// Time limit of `dispatch-post` and `order-lookup`.
const LIMIT_MS: u64 = 8_000;

/// Sends a whole answer at once: a short one to a lookup, a long one to a booking.
fn answer(request: &Request, channel: &mut TcpStream, _: &ReplicaState) -> std::io::Result<()> {
    let length = if request.method == "POST" { ANSWER_BYTES } else { 800 };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Server-Seal: seal-{0}\r\n\
         Content-Type: application/octet-stream\r\nContent-Length: {length}\r\n\r\n",
        request.attempt()
    );
    channel.write_all(&[head.as_bytes(), &vec![b'x'; length]].concat())
}

/// Reads up to the time limit; returns the bytes read and how the channel stands.
fn read_slowly(channel: &mut TcpStream, is_slow: bool) -> (usize, &'static str) {
    let end = Instant::now() + Duration::from_millis(LIMIT_MS);
    let mut buffer = [0; READ_BYTES];
    let mut count = 0;
    while Instant::now() < end && count < ANSWER_BYTES {
        if is_slow {
            sleep_ms(READ_PAUSE_MS);
        }
        match channel.read(&mut buffer) {
            Ok(0) => return (count, "closed"),
            Ok(read) => count += read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return (count, "reset"),
        }
    }
    (count, "open")
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let route = |name, kind| Route {
        name,
        kind,
        services: vec![("desk", 1)],
        timeout_ms: LIMIT_MS,
        goal_ms: 500,
        attempts: 1,
        resumable: false,
    };
    let routes = [route("post", "mutating"), route("lookup", "idempotent")];
    store.put_text("op/config", &configuration(7, &routes, &[Service { name: "desk", engine: None }]));
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}"),
                service: "desk".into(),
                zone: "stred-a".into(),
                version: "v1".into(),
                slots: 8,
            };
            Replica::start(plan, &store, answer)
        })
        .collect();
    let known: Vec<String> = replicas.iter().map(|one| format!("\"endpoint\":\"{}\"", one.state.plan.id)).collect();
    let host = Host::start(&folder, "edge-1", "stred", store.address());
    if !host.wait_for(&known) {
        return Verdict::NotRun("the host did not become ready".into());
    }
    // The machine is in touch: contact_ms after its start.
    sleep_ms(6_500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || {
                let Ok(mut channel) = slow_channel::open(front) else {
                    return "no channel".to_string();
                };
                let first = format!("b0{number:014x}");
                let bytes = request("GET", &format!("/lookup/{number}"), &first, LIMIT_MS, "", b"");
                let looked_up = channel.write_all(&bytes).ok().and_then(|()| read_answer(&mut channel, Duration::from_secs(8)));
                if looked_up.is_none_or(|answer| answer.end != End::Complete) {
                    return "no kept channel".into();
                }
                let attempt = format!("b1{number:014x}");
                let bytes = request("POST", &format!("/post/{number}"), &attempt, LIMIT_MS, "", b"one box");
                let sent = Instant::now();
                let _ = channel.set_read_timeout(Some(Duration::from_millis(500)));
                if channel.write_all(&bytes).is_err() {
                    return "closed before the request".into();
                }
                let (count, state) = read_slowly(&mut channel, has_trouble());
                record.line(format!(
                    "request {attempt} on a kept channel, run: {}: {count} bytes of the head and {ANSWER_BYTES} bytes \
                     of the body read in {} ms, channel {state}",
                    has_run(&attempt),
                    sent.elapsed().as_millis()
                ));
                match count >= ANSWER_BYTES {
                    true => "whole".into(),
                    false => format!("not whole, channel {state}"),
                }
            })
        })
        .collect();
    let results: Vec<String> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    record.line(tally(results.iter().cloned()));
    let lost = results.iter().filter(|text| ["not whole, channel reset", "not whole, channel closed"].contains(&text.as_str())).count();
    record.line(format!("{lost} requests from kept channels were passed on and lost; the bound is 3"));
    match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
