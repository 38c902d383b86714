//! Three replicas crash one after the other, for reasons of their own, while long streams with the
//! same shared prompt part are in progress.

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
    streams::{event_ids, stream_work},
};

/// A long draft: 8 s.
const EVENTS: u64 = 40;
const EVENT_PAUSE_MS: u64 = 200;
const STREAM_INTERVAL_MS: u64 = 100;
const STREAMS: usize = 100;
/// Time from the first stream to the first crash, and between crashes.
const CRASH_AFTER_MS: u64 = 1_500;
const CRASH_GAP_MS: u64 = 1_000;
const CRASHES: usize = 3;
/// Time for which a replica is down.
const DOWN_MS: u64 = 3_000;
/// Time limit of `finish-guide`.
const LIMIT_MS: u64 = 15_000;

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Arc::new(MetadataStore::start().expect("the store starts"));
    let routes = [Route {
        name: "guide",
        kind: "streaming",
        services: vec![("model", 1)],
        timeout_ms: LIMIT_MS,
        goal_ms: 1_200,
        attempts: 1,
        resumable: false,
    }];
    let services = [Service { name: "model", engine: Some((3.0, 1.9)) }];
    store.put_text("op/config", &configuration(7, &routes, &services));
    let replicas: Vec<Replica> = (1..=6)
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
    // The machines are in touch: contact_ms after their start.
    sleep_ms(6_500);
    let results = Arc::new(Mutex::new(Vec::new()));
    let fronts = [hosts[0].front, hosts[1].front];
    let sender = {
        let (record, results) = (record.clone(), Arc::clone(&results));
        thread::spawn(move || {
            let clients: Vec<_> = (0..STREAMS)
                .map(|number| {
                    let (record, results) = (record.clone(), Arc::clone(&results));
                    let front = fronts[number % 2];
                    sleep_ms(STREAM_INTERVAL_MS);
                    thread::spawn(move || {
                        let attempt = format!("9a{number:014x}");
                        let fields = format!(
                            "X-Model: m\r\nX-Token-Counts: 1200,400\r\n\
                             X-Prompt-Prefix: 5c1e07a2:1000,e4{number:06x}:200\r\n"
                        );
                        let path = format!("/guide/{number}");
                        let body = format!("a guide for floor {number}");
                        let bytes = request("POST", &path, &attempt, LIMIT_MS, &fields, body.as_bytes());
                        let answer = call(front, &bytes, Duration::from_secs(16));
                        let text = match &answer {
                            None => "no answer".to_string(),
                            Some(answer) if answer.status != 200 => format!("status {}", answer.status),
                            Some(answer) => match event_ids(&answer.body).last() == Some(&EVENTS) {
                                true => "whole".into(),
                                false => "broken off".into(),
                            },
                        };
                        let seal = answer.as_ref().is_some_and(|answer| answer.header("x-server-seal").is_some());
                        record.line(format!("attempt {attempt}: {text}, a replica's seal: {seal}"));
                        lock(&results).push(text);
                    })
                })
                .collect();
            clients.into_iter().all(|client| client.join().is_ok())
        })
    };
    if has_trouble() {
        sleep_ms(CRASH_AFTER_MS);
        for replica in replicas.iter().take(CRASHES) {
            record.line(format!("{} crashes", replica.state.plan.id));
            replica.crash();
            let (down, record) = (replica.clone(), record.clone());
            thread::spawn(move || {
                sleep_ms(DOWN_MS);
                record.line(format!("{} starts again", down.state.plan.id));
                down.start_again("v1");
            });
            sleep_ms(CRASH_GAP_MS);
        }
    }
    if !sender.join().unwrap_or(false) {
        return Verdict::NotRun("a client failed".into());
    }
    let results = lock(&results);
    record.line(tally(results.iter().cloned()));
    let is_denied = |text: &&String| text.starts_with("status 4") && !["status 408", "status 421", "status 429"].contains(&text.as_str());
    let denied = results.iter().filter(is_denied).count();
    let bound = 5.0 + results.len() as f64 / 500.0;
    record.line(format!("{denied} proper requests were denied; the bound is {bound}"));
    match denied as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
