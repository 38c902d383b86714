//! A host is stopped with SIGTERM while clients read its answers slowly.

use std::{thread, time::Duration};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options, SIGTERM},
    http::End,
    replica::{self, SEAL},
    store::Store,
};

/// Lengths of the answers, one for each host. How much of an answer the kernel takes differs
/// between machines.
const BODIES: [usize; 5] = [3_800_000, 4_200_000, 4_600_000, 5_000_000, 5_400_000];
/// Bytes that a client reads in a second, as over a link of 6.4 Mbit/s.
const RATE: usize = 800_000;
/// Receive buffer of a client.
const CLIENT_BUFFER: i32 = 32 * 1024;
/// Time between the requests and the SIGTERM.
const STOPPED_AFTER: Duration = Duration::from_millis(200);
/// `timeout_ms` of the route, and the time that clients wait.
const TIMEOUT_MS: u64 = 8_000;
/// `grace_s`, and the part of it after which what replicas still do does not count.
const GRACE_MS: u64 = 8_000;

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
    let hosts = (1..=BODIES.len() as u8).map(|number| {
        let options = Options::default();
        Host::start(
            net,
            number,
            "ba-palermo",
            "buenos-aires",
            store.address,
            &run.folder,
            &options,
        )
    });
    let mut hosts: Vec<Host> = hosts.collect();
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun("a host did not become ready".into());
    }
    let calls = BODIES.iter().zip(&hosts).map(|(length, host)| {
        let (front, record, length) = (host.front, record.clone(), *length);
        thread::spawn(move || {
            let attempt = format!("s{:04}", length / 1_000);
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
    thread::sleep(STOPPED_AFTER);
    let stopped_ms = record.now_ms();
    if run.has_trouble {
        record.line("the hosts get SIGTERM");
        hosts.iter().for_each(|host| host.signal(SIGTERM));
        for host in &mut hosts {
            while host.end().is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            let end = host.end();
            record.line(&format!("{} has ended: {end:?}", host.name));
        }
    }
    let mut lost = 0;
    for call in calls {
        let (length, seen, at_ms) = call.join().expect("a client");
        let is_lost = !matches!(&seen, Seen::Answer { status: 200, body, end: End::Complete, .. } if body.len() == length);
        let is_within = at_ms < stopped_ms + GRACE_MS;
        lost += usize::from(is_lost && is_within);
    }
    record.line(&format!(
        "answers that were lost: {lost} of {}",
        BODIES.len()
    ));
    if !run.has_trouble && lost > 0 {
        return Verdict::CouldNotRun("an answer was lost without the disruption".into());
    }
    match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
