//! The operator lowers `idle_timeout_ms` while clients read their answers slowly.

use std::{thread, time::Duration};

use crate::{
    client::{self, Seen},
    host::{Host, Options},
    http::End,
    replica::{self, SEAL},
    store::Store,
    Run, Verdict,
};

/// Lengths of the answers, one for each channel. How much of an answer the kernel takes differs
/// between machines.
const BODIES: [usize; 5] = [1_300_000, 1_400_000, 1_500_000, 1_600_000, 1_700_000];
/// Bytes that a client reads in a second, as over a link of 1 Mbit/s.
const RATE: usize = 125_000;
/// Receive buffer of a client.
const CLIENT_BUFFER: i32 = 32 * 1024;
/// `timeout_ms` of the route, and the time that clients wait.
const TIMEOUT_MS: u64 = 15_000;
/// `idle_timeout_ms` of the later version, and the time of its change.
const IDLE_MS: u64 = 3_000;
const CHANGED_AFTER: Duration = Duration::from_millis(500);
/// `config_apply_ms` of the small sites, and the second after.
const COUNTED_MS: u64 = 4_000 + 1_000;

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/export/", "idempotent", "desk", TIMEOUT_MS, 4_000, 1);
    let configuration = replica::configuration(7, &[route.clone()], &["desk"], "");
    store.put("op/config", &configuration);
    let seen_by_replica = record.clone();
    let address = replica::start("desk-0", net.address(210, 0), move |arrived| {
        let attempt = arrived.attempt();
        let length = arrived.head.target().rsplit('/').next().and_then(|text| text.parse().ok());
        seen_by_replica.line(&format!("desk-0 runs {attempt}"));
        let is_sent = arrived.answer(200, SEAL, &vec![b'x'; length.unwrap_or(0)]);
        seen_by_replica.line(&format!("desk-0 has ended {attempt}, all sent {is_sent}"));
        is_sent
    });
    let (key, value) = replica::item("desk-0", "desk", address, "ba-palermo", 6);
    store.put(&key, &value);
    let options = Options::default();
    let host = Host::start(net, 1, "ba-palermo", "buenos-aires", store.address, &run.folder, &options);
    if !host.wait_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the host did not become ready".into());
    }
    let calls = BODIES.iter().map(|length| {
        let (front, record, length) = (host.front, record.clone(), *length);
        thread::spawn(move || {
            let attempt = format!("i{:04}", length / 1_000);
            let Ok(mut wire) = client::connect_on_link(front, CLIENT_BUFFER) else {
                return (length, Seen::Nothing("no connection".into()), 0);
            };
            wire.set_limit(Duration::from_millis(TIMEOUT_MS));
            let path = format!("/export/{length}");
            let request = client::head("GET", &path, &attempt, TIMEOUT_MS, "", 0);
            let _ = wire.write(request.as_bytes());
            record.line(&format!("client sends {attempt}, for {length} bytes"));
            let begun_ms = record.now_ms();
            let seen = client::read(&mut wire, |count| {
                let due_ms = (count * 1_000 / RATE) as u64;
                let ahead_ms = due_ms.saturating_sub(record.now_ms() - begun_ms);
                thread::sleep(Duration::from_millis(ahead_ms));
            });
            record.line(&format!("client got for {attempt}: {}", seen.text()));
            (length, seen, record.now_ms())
        })
    });
    let calls: Vec<_> = calls.collect();
    thread::sleep(CHANGED_AFTER);
    let changed_ms = record.now_ms();
    if run.has_trouble {
        record.line(&format!("the operator sets idle_timeout_ms to {IDLE_MS}"));
        let changed = replica::configuration(8, &[route], &["desk"], "");
        let changed = changed.replace("\"idle_timeout_ms\":15000", &format!("\"idle_timeout_ms\":{IDLE_MS}"));
        store.put("op/config", &changed);
    }
    let mut lost = 0;
    for call in calls {
        let (length, seen, at_ms) = call.join().expect("a client");
        let is_lost = !matches!(&seen, Seen::Answer { status: 200, body, end: End::Complete, .. } if body.len() == length);
        record.line(&format!("{length} bytes: lost {is_lost}, {} ms after the change", at_ms - changed_ms.min(at_ms)));
        lost += usize::from(is_lost);
    }
    record.line(&format!("answers that were lost: {lost} of {}; counted up to {COUNTED_MS} ms", BODIES.len()));
    match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
