//! Many streams begin at once at a host that is then killed; their callers take them up in the
//! other region.

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
        lock, request, sleep_ms, tally, unix_ms,
    },
    streams::{batched_work, event_ids, versions},
};

const EVENTS: u64 = 30;
const EVENT_PAUSE_MS: u64 = 200;
/// Time from the first request to the kill.
const KILL_AFTER_MS: u64 = 2_000;
const STREAMS: usize = 72;
const NEW_STREAMS: usize = 20;
/// Time after which a caller takes its stream up.
const RETRY_AFTER_MS: u64 = 1_000;
/// Time limit of `shade-chat`.
const LIMIT_MS: u64 = 12_000;
/// Software versions that serve side by side, as a build names them; 64 characters.
const VERSIONS: [&str; 2] = [
    "2026.12.1-5f0c9e2ab47d1830c6e95b2f7a41d8e03b96c7f2a-linux-x86-64",
    "2026.12.2-8a6d41f09c3be752d10f8e46a5b97c21e4d3f0a68-linux-x86-64",
];

fn version(name: &str) -> String {
    match std::env::var_os("SHORT") {
        Some(_) => name[7..9].to_string(),
        None => name.to_string(),
    }
}

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
    let places = ["stred-a", "zapad-a"].into_iter().flat_map(|zone| VERSIONS.map(|name| (zone, name)));
    let replicas: Vec<Replica> = places
        .flat_map(|(zone, name)| (1..=4).map(move |number| (zone, name, number)))
        .map(|(zone, name, number)| {
            let plan = Plan {
                id: format!("i-{zone}-{}-{number}", &name[8..9]),
                service: "stain-model".into(),
                zone: zone.into(),
                version: version(name),
                slots: 64,
            };
            Replica::start(plan, &store, batched_work(EVENTS, EVENT_PAUSE_MS))
        })
        .collect();
    let known: Vec<String> = replicas.iter().map(|one| format!("\"endpoint\":\"{}\"", one.state.plan.id)).collect();
    let mut hosts = [("edge-1", "stred"), ("edge-2", "zapad"), ("edge-3", "zapad")]
        .map(|(name, region)| Host::start(&folder, name, region, store.address()));
    if !hosts.iter().all(|host| host.wait_for(&known)) {
        return Verdict::NotRun("the hosts did not become ready".into());
    }
    // The machines are in touch: contact_ms after their start.
    sleep_ms(6_500);
    let results = Arc::new(Mutex::new(Vec::new()));
    let fronts = [hosts[0].front, hosts[1].front, hosts[2].front];
    let begin = |number: usize, front, is_new: bool| {
        let (record, results) = (record.clone(), Arc::clone(&results));
        let other = fronts[1 + number % 2];
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
            let second = format!("60{number:014x}");
            let fields = format!("{fields}Last-Event-Id: {last}\r\nResumes: {attempt}\r\n");
            let bytes = request("POST", &path, &second, LIMIT_MS - 2_500, &fields, b"which stain is it");
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
    // All first events come in one step of the engines.
    sleep_ms(EVENT_PAUSE_MS - unix_ms() % EVENT_PAUSE_MS + 20);
    let mut clients: Vec<_> = (0..STREAMS).map(|number| begin(number, fronts[0], false)).collect();
    sleep_ms(KILL_AFTER_MS);
    if has_trouble() {
        record.line("edge-1 is killed (SIGKILL)");
        hosts[0].kill();
    }
    clients.extend((0..NEW_STREAMS).map(|number| begin(number, fronts[1 + number % 2], true)));
    for client in clients {
        if client.join().is_err() {
            return Verdict::NotRun("a client failed".into());
        }
    }
    let dropped = hosts[0].log().matches("packet exceeds the largest size").count();
    record.line(format!("edge-1 logs {dropped} packets that were too large to be sent"));
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
