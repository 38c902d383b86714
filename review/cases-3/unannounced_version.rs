//! A replica that is replaced by a new software version crashes again before its first check-in;
//! clients take up the streams that it had begun.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cardamombridge::standin::metadata_store::MetadataStore;

use crate::{
    Verdict,
    bench::{
        Folder, Host, Plan, Record, Replica, Route, Service, call, configuration,
        has_trouble, lock, request, sleep_ms, tally,
    },
    streams::{event_ids, stream_work, versions},
};

const EVENTS: u64 = 20;
const EVENT_PAUSE_MS: u64 = 100;
/// Time between two new streams.
const STREAM_INTERVAL_MS: u64 = 70;
const STREAMS: usize = 120;
/// Time from the first stream to the first crash.
const CRASH_AFTER_MS: u64 = 2_000;
/// Time for which the replica is down after each crash, and for which its first start as v2 lives.
const DOWN_MS: u64 = 100;
const UP_MS: u64 = 1_100;
/// Time from its second start as v2 to its first check-in; the entry of v1 is 2.3 s to 3.5 s old
/// then, and three check-in intervals are 3.6 s.
const CHECK_IN_MS: u64 = 1_000;
/// Time limit of `shade-chat`.
const LIMIT_MS: u64 = 12_000;

/// Sends one stream, and takes it up once at the other host if it breaks.
fn follow(number: usize, fronts: [SocketAddr; 2], record: &Record) -> String {
    let attempt = format!("e0{number:014x}");
    let path = format!("/chat/{number}");
    let fields = "X-Model: m\r\nX-Token-Counts: 3000,200\r\n";
    let bytes = request("POST", &path, &attempt, LIMIT_MS, fields, b"which stain is it");
    let Some(first) = call(fronts[0], &bytes, Duration::from_secs(13)) else {
        return "no answer".into();
    };
    let ids = event_ids(&first.body);
    let Some(last) = ids.last().copied() else {
        return format!("not begun, status {}", first.status);
    };
    if last == EVENTS {
        let by = versions(&first.body);
        return if by.len() > 1 { "two versions".into() } else { "whole".into() };
    }
    let second = format!("f0{number:014x}");
    let fields = format!("{fields}Last-Event-Id: {last}\r\nResumes: {attempt}\r\n");
    let bytes = request("POST", &path, &second, LIMIT_MS - 2_000, &fields, b"which stain is it");
    let rest = call(fronts[1], &bytes, Duration::from_secs(11));
    let mut by = versions(&first.body);
    let begun_by = by.clone();
    let (status, rest_by) = rest.as_ref().map_or((0, Vec::new()), |rest| (rest.status, versions(&rest.body)));
    by.extend(rest_by.clone());
    by.sort();
    by.dedup();
    record.line(format!(
        "stream {attempt}: events 1 to {last} of {begun_by:?}, then broken off; taken up as {second}: \
         status {status}, events {:?} of {rest_by:?}",
        rest.as_ref().map(|rest| event_ids(&rest.body).len())
    ));
    match (by.len(), rest_by.is_empty()) {
        (2.., _) => "two versions".into(),
        (_, true) => format!("broken off, taken up with status {status}"),
        _ => "broken off, goes on at its version".into(),
    }
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        services: vec![("model", 1)],
        timeout_ms: LIMIT_MS,
        goal_ms: 800,
        attempts: 2,
        resumable: true,
    }];
    let services = [Service { name: "model", engine: Some((0.0, 0.0)) }];
    store.put_text("op/config", &configuration(7, &routes, &services));
    let replicas: Vec<Replica> = (1..=2)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}"),
                service: "model".into(),
                zone: "stred-a".into(),
                version: "v1".into(),
                slots: 64,
            };
            Replica::start(plan, &store, stream_work(EVENTS, EVENT_PAUSE_MS))
        })
        .collect();
    let known: Vec<String> = replicas.iter().map(|one| format!("\"endpoint\":\"{}\"", one.state.plan.id)).collect();
    let hosts: Vec<Host> = (1..=2)
        .map(|number| Host::start(&folder, &format!("edge-{number}"), "stred", store.address()))
        .collect();
    if !hosts.iter().all(|host| host.wait_for(&known)) {
        return Verdict::NotRun("the hosts did not become ready".into());
    }
    sleep_ms(6_500);
    let results = Arc::new(Mutex::new(Vec::new()));
    let fronts = [hosts[0].front, hosts[1].front];
    let sender = {
        let (record, results) = (record.clone(), Arc::clone(&results));
        thread::spawn(move || {
            let clients: Vec<_> = (0..STREAMS)
                .map(|number| {
                    let (record, results) = (record.clone(), Arc::clone(&results));
                    let (near, other) = (fronts[number % 2], fronts[(number + 1) % 2]);
                    sleep_ms(STREAM_INTERVAL_MS);
                    thread::spawn(move || {
                        let result = follow(number, [near, other], &record);
                        lock(&results).push(result);
                    })
                })
                .collect();
            clients.into_iter().all(|client| client.join().is_ok())
        })
    };
    if has_trouble() {
        sleep_ms(CRASH_AFTER_MS);
        replicas[0].set_announces(false);
        for (start, up_ms) in [(1, UP_MS), (2, CHECK_IN_MS)] {
            record.line("i-1 crashes");
            replicas[0].crash();
            sleep_ms(DOWN_MS);
            record.line(format!("i-1 starts again as v2, start {start}"));
            replicas[0].start_again("v2");
            sleep_ms(up_ms);
        }
        record.line("i-1 checks in");
        replicas[0].check_in(&store);
        replicas[0].set_announces(true);
    }
    if !sender.join().unwrap_or(false) {
        return Verdict::NotRun("a client failed".into());
    }
    let results = lock(&results);
    record.line(tally(results.iter().cloned()));
    let mixed = results.iter().filter(|text| *text == "two versions").count();
    match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
