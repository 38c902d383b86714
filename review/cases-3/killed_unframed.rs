//! A host is killed while it passes on answers that end with their channel.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cardamombridge::standin::metadata_store::MetadataStore;

use crate::{
    Verdict,
    bench::{
        End, Folder, Host, Plan, Record, Replica, ReplicaState, Request, Route, Service, call,
        configuration, has_trouble, lock, request, sleep_ms, tally,
    },
};

/// Pieces of an answer, each sent after a pause; together 1.2 MB in 2.4 s.
const PIECES: usize = 24;
const PIECE_BYTES: usize = 50_000;
const PIECE_PAUSE_MS: u64 = 100;
/// Time from the first request to the kill.
const KILL_AFTER_MS: u64 = 1_700;

fn answer_of(attempt: &str) -> Vec<u8> {
    let line = format!("{attempt};");
    line.bytes().cycle().take(PIECES * PIECE_BYTES).collect()
}

/// Sends an answer with neither a length nor chunks; the end of the channel is its end.
fn answer(request: &Request, channel: &mut std::net::TcpStream, _: &ReplicaState) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Server-Seal: seal-{0}\r\n\
         Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
        request.attempt()
    );
    channel.write_all(head.as_bytes())?;
    for piece in answer_of(request.attempt()).chunks(PIECE_BYTES) {
        sleep_ms(PIECE_PAUSE_MS);
        channel.write_all(piece)?;
    }
    Err(std::io::Error::other("the answer ends with the channel"))
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let route = |name, kind| Route {
        name,
        kind,
        services: vec![("desk", 1)],
        timeout_ms: 8_000,
        goal_ms: 500,
        attempts: 1,
        resumable: false,
    };
    let routes = [route("post", "mutating"), route("lookup", "idempotent")];
    let services = [Service { name: "desk", engine: None }];
    store.put_text("op/config", &configuration(7, &routes, &services));
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
    let mut hosts: Vec<Host> = (1..=2)
        .map(|number| Host::start(&folder, &format!("edge-{number}"), "stred", store.address()))
        .collect();
    if !hosts.iter().all(|host| host.wait_for(&known)) {
        return Verdict::NotRun("the hosts did not become ready".into());
    }
    sleep_ms(1_000);
    let results = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let host = &hosts[usize::from(number >= 6)];
            let (front, name) = (host.front, host.name.clone());
            let (record, results) = (record.clone(), Arc::clone(&results));
            thread::spawn(move || {
                let attempt = format!("a{number:015x}");
                let (method, path) = match number % 2 {
                    0 => ("POST", format!("/post/{number}")),
                    _ => ("GET", format!("/lookup/{number}")),
                };
                let body: &[u8] = if method == "POST" { b"one box" } else { b"" };
                record.line(format!("client sends {method} {path}, attempt {attempt}, to {name}"));
                let bytes = request(method, &path, &attempt, 8_000, "", body);
                let answer = call(front, &bytes, Duration::from_secs(9));
                let whole = answer_of(&attempt);
                let text = match &answer {
                    None => "no answer".to_string(),
                    Some(answer) if answer.status != 200 => format!("status {}", answer.status),
                    Some(answer) if answer.end != End::Complete => format!("visibly cut off ({:?})", answer.end),
                    Some(answer) if answer.body == whole => "whole".into(),
                    Some(answer) if answer.header("x-server-seal").is_none() => "no seal".into(),
                    Some(_) => "complete for the client, but not the whole body".into(),
                };
                let received = answer.as_ref().map_or(0, |answer| answer.body.len());
                record.line(format!(
                    "attempt {attempt} at {name}: {text}; {received} of {} bytes",
                    whole.len()
                ));
                lock(&results).push(text);
            })
        })
        .collect();
    if has_trouble() {
        sleep_ms(KILL_AFTER_MS);
        record.line("edge-1 is killed (SIGKILL)");
        hosts[0].kill();
    }
    for client in clients {
        if client.join().is_err() {
            return Verdict::NotRun("a client failed".into());
        }
    }
    let results = lock(&results);
    record.line(tally(results.iter().cloned()));
    match results.iter().any(|text| text.starts_with("complete for") || text == "no seal") {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
