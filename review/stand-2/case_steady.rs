//! Clients read their answers slowly, just after the settings of their host have changed.

use std::{thread, time::Duration};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options, SIGHUP},
    http::End,
    replica::{self, SEAL},
    store::Store,
};

/// Length of the answers.
const BODY: usize = 1_400_000;
/// Bytes that a client reads in a second, as over a link of 0.8 Mbit/s.
const RATE: usize = 100_000;
/// Receive buffer of a client.
const CLIENT_BUFFER: i32 = 300_000;
/// `timeout_ms` of the route, and the time that clients wait.
const TIMEOUT_MS: u64 = 15_000;
const CLIENTS: usize = 6;
/// `contact_ms` of the small sites, and some more.
const IN_TOUCH: Duration = Duration::from_millis(6_500);

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/export/", "idempotent", "desk", TIMEOUT_MS, 4_000, 1);
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk"], ""),
    );
    let seen_by_replica = record.clone();
    let address = replica::start("desk-0", net.address(210, 0), move |arrived| {
        let attempt = arrived.attempt();
        let length = arrived
            .head
            .target()
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok());
        seen_by_replica.line(&format!("desk-0 runs {attempt}"));
        let is_sent = arrived.answer(200, SEAL, &vec![b'x'; length.unwrap_or(0)]);
        seen_by_replica.line(&format!("desk-0 has ended {attempt}, all sent {is_sent}"));
        is_sent
    });
    let (key, value) = replica::item("desk-0", "desk", address, "ba-palermo", 6);
    store.put(&key, &value);
    let options = Options::default();
    let host = Host::start(
        net,
        1,
        "ba-palermo",
        "buenos-aires",
        store.address,
        &run.folder,
        &options,
    );
    if !host.wait_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the host did not become ready".into());
    }
    thread::sleep(IN_TOUCH);
    // Planned work, also without the disruption.
    record.line("the host gets SIGHUP");
    host.signal(SIGHUP);
    let calls = (0..CLIENTS).map(|number| {
        let (front, record, is_slow) = (host.front, record.clone(), run.has_trouble);
        thread::spawn(move || {
            let Ok(mut wire) = client::connect_on_link(front, CLIENT_BUFFER) else {
                return None;
            };
            wire.set_limit(Duration::from_millis(TIMEOUT_MS));
            let mut call = |attempt: String, length: usize| -> Seen {
                let path = format!("/export/{length}");
                let request = client::head("GET", &path, &attempt, TIMEOUT_MS, "", 0);
                let _ = wire.write(request.as_bytes());
                record.line(&format!("client sends {attempt}, for {length} bytes"));
                let begun_ms = record.now_ms();
                let seen = client::read(&mut wire, |count| {
                    let due_ms = if is_slow {
                        (count * 1_000 / RATE) as u64
                    } else {
                        0
                    };
                    let ahead_ms = due_ms.saturating_sub(record.now_ms() - begun_ms);
                    thread::sleep(Duration::from_millis(ahead_ms));
                });
                record.line(&format!("client got for {attempt}: {}", seen.text()));
                seen
            };
            if !call(format!("f{number:04}"), 800).is_served() {
                return None;
            }
            let seen = call(format!("k{number:04}"), BODY);
            Some(matches!(
                &seen,
                Seen::Answer {
                    end: End::Complete,
                    ..
                }
            ))
        })
    });
    let calls: Vec<_> = calls.collect();
    let seen: Vec<Option<bool>> = calls
        .into_iter()
        .map(|call| call.join().expect("a client"))
        .collect();
    if seen.contains(&None) {
        return Verdict::CouldNotRun("a short answer was not served".into());
    }
    let lost = seen.iter().filter(|seen| **seen == Some(false)).count();
    record.line(&format!(
        "requests whose channel ended without a complete answer: {lost} of {CLIENTS}"
    ));
    match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
