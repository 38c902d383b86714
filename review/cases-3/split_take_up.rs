//! Streams of a route that is split over services are taken up again after their host was killed.

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
    streams::{event_ids, stream_work, versions},
};

const EVENTS: u64 = 20;
const EVENT_PAUSE_MS: u64 = 200;
/// Time from the first request to the kill.
const KILL_AFTER_MS: u64 = 1_500;
/// Streams at the host that is killed, and new ones beside those that are taken up.
const STREAMS: usize = 120;
const NEW_STREAMS: usize = 20;
/// Time limit of `shade-chat`.
const LIMIT_MS: u64 = 12_000;
const SERVICES: [&str; 3] = ["model-a", "model-b", "model-c"];

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        services: SERVICES.iter().map(|name| (*name, 1)).collect(),
        timeout_ms: LIMIT_MS,
        goal_ms: 800,
        attempts: 2,
        resumable: true,
    }];
    let services = SERVICES.map(|name| Service { name, engine: Some((3.0, 1.9)) });
    store.put_text("op/config", &configuration(7, &routes, &services));
    let replicas: Vec<Replica> = SERVICES
        .iter()
        .flat_map(|service| (1..=2).map(move |number| (service, number)))
        .map(|(service, number)| {
            let plan = Plan {
                id: format!("i-{service}-{number}"),
                service: (*service).into(),
                zone: "stred-a".into(),
                version: format!("{service}-v1"),
                slots: 64,
            };
            Replica::start(plan, &store, stream_work(EVENTS, EVENT_PAUSE_MS))
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
    let results = Arc::new(Mutex::new(Vec::new()));
    let fronts = [hosts[0].front, hosts[1].front];
    let begin = |number: usize, front, is_new: bool| {
        let (record, results) = (record.clone(), Arc::clone(&results));
        let other = fronts[1];
        thread::spawn(move || {
            let attempt = format!("c{}{number:014x}", u8::from(is_new));
            let fields = "X-Model: m\r\nX-Token-Counts: 400,200\r\n";
            let path = format!("/chat/{number}");
            let bytes = request("POST", &path, &attempt, LIMIT_MS, fields, b"which stain is it");
            let answer = call(front, &bytes, Duration::from_secs(13));
            let ids = answer.as_ref().map_or(Vec::new(), |answer| event_ids(&answer.body));
            let is_whole = ids.last() == Some(&EVENTS);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.line(format!("stream {attempt}: status {status}, {} events, whole: {is_whole}", ids.len()));
            if is_new {
                let text = if ids.is_empty() { "new: not begun" } else { "new: begun" };
                return lock(&results).push(text.to_string());
            }
            let Some(last) = ids.last().copied().filter(|_| !is_whole) else {
                return lock(&results).push(format!("not taken up, whole: {is_whole}"));
            };
            let second = format!("d0{number:014x}");
            let fields = format!("{fields}Last-Event-Id: {last}\r\nResumes: {attempt}\r\n");
            let bytes = request("POST", &path, &second, LIMIT_MS - 2_000, &fields, b"which stain is it");
            let rest = call(other, &bytes, Duration::from_secs(11));
            let status = rest.as_ref().map_or(0, |rest| rest.status);
            let rest_ids = rest.as_ref().map_or(Vec::new(), |rest| event_ids(&rest.body));
            let begun_at = answer.as_ref().map_or(Vec::new(), |answer| versions(&answer.body));
            let went_on_at = rest.as_ref().map_or(Vec::new(), |rest| versions(&rest.body));
            record.line(format!(
                "stream {attempt}, begun at {begun_at:?}, taken up as {second} after event {last}: \
                 status {status}, events {:?} to {:?} of {went_on_at:?}",
                rest_ids.first(),
                rest_ids.last()
            ));
            let goes_on = rest_ids.first() == Some(&(last + 1));
            let text = match goes_on {
                true => "taken up: goes on".into(),
                false => format!("taken up: status {status}"),
            };
            lock(&results).push(text);
        })
    };
    let mut clients: Vec<_> = (0..STREAMS).map(|number| begin(number, fronts[0], false)).collect();
    sleep_ms(KILL_AFTER_MS);
    if has_trouble() {
        record.line("edge-1 is killed (SIGKILL)");
        hosts[0].kill();
    }
    clients.extend((0..NEW_STREAMS).map(|number| begin(number, fronts[1], true)));
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
