//! Hosts are added while streams are in progress; seven seconds later the host at which they began is
//! killed, and their callers take them up at the others.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cardamombridge::standin::metadata_store::MetadataStore;

use crate::{
    Verdict,
    bench::{
        Folder, Host, Plan, Record, Replica, Route, Service, call, configuration, has_trouble,
        lock, request, sleep_ms, tally,
    },
    streams::{batched_work, event_ids, versions},
};

/// Streams of 10 s, within the pause of 400 ms that is on time.
const EVENTS: u64 = 40;
const EVENT_PAUSE_MS: u64 = 250;
const STREAMS: usize = 24;
const NEW_STREAMS: usize = 12;
/// Time from the first request to the start of the new hosts, and from then to the kill: longer than
/// `contact_ms`.
const ADD_AFTER_MS: u64 = 500;
const KILL_AFTER_MS: u64 = 7_000;
/// Time after which a caller takes its stream up.
const RETRY_AFTER_MS: u64 = 200;
/// Time limit of `shade-chat`.
const LIMIT_MS: u64 = 12_000;
/// Hosts that are added to two.
const ADDED: [&str; 3] = ["edge-3", "edge-4", "edge-5"];
/// Software versions that serve side by side.
const VERSIONS: [&str; 2] = ["v1", "v2"];

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        services: vec![("stain-model", 1)],
        timeout_ms: LIMIT_MS,
        goal_ms: 800,
        attempts: 2,
        resumable: true,
    }];
    let services = [Service { name: "stain-model", engine: Some((3.0, 1.9)) }];
    store.put_text("op/config", &configuration(7, &routes, &services));
    let places = VERSIONS.map(|name| ("stred-a", name)).into_iter();
    let replicas: Vec<Replica> = places
        .flat_map(|(zone, name)| (1..=2).map(move |number| (zone, name, number)))
        .map(|(zone, name, number)| {
            let plan = Plan {
                id: format!("i-{name}-{number}"),
                service: "stain-model".into(),
                zone: zone.into(),
                version: name.into(),
                slots: 64,
            };
            Replica::start(plan, &store, batched_work(EVENTS, EVENT_PAUSE_MS))
        })
        .collect();
    let known: Vec<String> = replicas.iter().map(|one| format!("\"endpoint\":\"{}\"", one.state.plan.id)).collect();
    let start = |name: &str| Host::start(&folder, name, "stred", store.address());
    let (mut first, second) = (start("edge-1"), start("edge-2"));
    if !first.wait_for(&known) || !second.wait_for(&known) {
        return Verdict::NotRun("the hosts did not become ready".into());
    }
    // The machines are in touch: contact_ms after their start.
    sleep_ms(6_500);
    let results = Arc::new(Mutex::new(Vec::new()));
    let others = Arc::new(Mutex::new(vec![second.front]));
    let begin = |number: usize, front, is_new: bool| {
        let (record, results) = (record.clone(), Arc::clone(&results));
        let others = Arc::clone(&others);
        thread::spawn(move || {
            let attempt = format!("5{}{number:014x}", u8::from(is_new));
            let fields = "X-Model: m\r\nX-Token-Counts: 400,200\r\n";
            let path = format!("/chat/{number}");
            let bytes = request("POST", &path, &attempt, LIMIT_MS, fields, b"which stain is it");
            let answer = call(front, &bytes, Duration::from_secs(13));
            let ids = answer.as_ref().map_or(Vec::new(), |answer| event_ids(&answer.body));
            let is_whole = ids.last() == Some(&EVENTS);
            if is_new {
                let text = if ids.is_empty() { "new: not begun" } else { "new: begun" };
                return lock(&results).push(text.to_string());
            }
            let Some(last) = ids.last().copied().filter(|_| !is_whole) else {
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                return lock(&results).push(format!("not taken up, status {status}, whole: {is_whole}"));
            };
            sleep_ms(RETRY_AFTER_MS);
            let others = lock(&others).clone();
            let other = others[number % others.len()];
            let second = format!("60{number:014x}");
            let fields = format!("{fields}Last-Event-Id: {last}\r\nResumes: {attempt}\r\n");
            let bytes = request("POST", &path, &second, LIMIT_MS - 7_700, &fields, b"which stain is it");
            let rest = call(other, &bytes, Duration::from_secs(11));
            let status = rest.as_ref().map_or(0, |rest| rest.status);
            let rest_ids = rest.as_ref().map_or(Vec::new(), |rest| event_ids(&rest.body));
            let begun_at = answer.as_ref().map_or(Vec::new(), |answer| versions(&answer.body));
            record.line(format!(
                "stream {attempt}, begun at {begun_at:?}, taken up as {second} after event {last}: \
                 status {status}, events {:?} to {:?}",
                rest_ids.first(),
                rest_ids.last()
            ));
            lock(&results).push(match rest_ids.first() == Some(&(last + 1)) {
                true => "taken up: goes on".into(),
                false => format!("taken up: status {status}"),
            });
        })
    };
    let mut clients: Vec<_> = (0..STREAMS).map(|number| begin(number, first.front, false)).collect();
    sleep_ms(ADD_AFTER_MS);
    let added = ADDED.map(|name| {
        record.line(format!("{name} is added"));
        start(name)
    });
    lock(&others).extend(added.iter().map(|host| host.front));
    if !added.iter().all(|host| host.wait_for(&known)) {
        return Verdict::NotRun("the new hosts did not become ready".into());
    }
    sleep_ms(KILL_AFTER_MS);
    if has_trouble() {
        record.line("edge-1 is killed (SIGKILL)");
        first.kill();
    }
    clients.extend((0..NEW_STREAMS).map(|number| begin(number, added[number % ADDED.len()].front, true)));
    for client in clients {
        if client.join().is_err() {
            return Verdict::NotRun("a client failed".into());
        }
    }
    let results = lock(&results);
    record.line(tally(results.iter().cloned()));
    let count = |start: &str| results.iter().filter(|text| text.starts_with(start)).count();
    let (taken_up, go_on) = (count("taken up"), count("taken up: goes on"));
    let begun_share = count("new: begun") as f64 / NEW_STREAMS as f64;
    record.line(format!(
        "{go_on} of {taken_up} streams that were taken up go on; share of new streams that begin: {begun_share:.2}"
    ));
    let is_broken = taken_up >= 12 && (go_on as f64) < 0.5 * begun_share * taken_up as f64;
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
