//! A host is killed while it passes on answers that have no length and end with their channel.

use std::{thread, time::Duration};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options, SIGKILL},
    http::End,
    replica::{self, SEAL},
    store::Store,
};

/// Length of the replica's answers; the configuration lets clients send as much.
const BODY: usize = 3 * 1024 * 1024;
/// The replica sends its answers in pieces with pauses, within a second and a half.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(30);
/// Time from the requests to the SIGKILL.
const KILLED_AFTER: Duration = Duration::from_millis(1_000);
const REQUESTS: usize = 4;

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/export/", "idempotent", "desk", 8_000, 4_000, 2);
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk"], ""),
    );
    let seen_by_replica = record.clone();
    let address = replica::start("desk-0", net.address(210, 0), move |arrived| {
        let attempt = arrived.attempt();
        seen_by_replica.line(&format!(
            "desk-0 runs {attempt}, sends {BODY} bytes without a length"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SEAL}Content-Type: text/csv\r\n\r\n"
        );
        let mut is_sent = arrived.wire.write(head.as_bytes()).is_ok();
        for _ in 0..BODY / PIECE {
            is_sent = is_sent && arrived.wire.write(&[b'x'; PIECE]).is_ok();
            thread::sleep(PAUSE);
        }
        seen_by_replica.line(&format!("desk-0 ends {attempt}, all sent {is_sent}"));
        false
    });
    let (key, value) = replica::item("desk-0", "desk", address, "ba-palermo", 6);
    store.put(&key, &value);
    let options = Options::default();
    let mut host = Host::start(
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
    let calls = (0..REQUESTS).map(|number| {
        let (front, record) = (host.front, record.clone());
        thread::spawn(move || {
            let attempt = format!("e{number:04}");
            record.line(&format!("client sends {attempt}"));
            let seen = client::call(front, "GET", "/export/all", &attempt, 8_000, "", b"");
            record.line(&format!("client got for {attempt}: {}", seen.text()));
            seen
        })
    });
    let calls: Vec<_> = calls.collect();
    if run.has_trouble {
        thread::sleep(KILLED_AFTER);
        record.line("the host gets SIGKILL");
        host.signal(SIGKILL);
    }
    let seen = calls.into_iter().map(|call| call.join().expect("a client"));
    let seen: Vec<Seen> = seen.collect();
    record.line(&format!("the host has ended: {:?}", host.end()));
    let is_short = |seen: &&Seen| matches!(seen, Seen::Answer { status: 200..=299, body, end: End::Complete, .. } if body.len() < BODY);
    let short = seen.iter().filter(is_short).count();
    let whole = seen.iter().filter(|seen| seen.is_served()).count() - short;
    record.line(&format!(
        "whole answers {whole}, answers that look complete and are not {short}"
    ));
    if !run.has_trouble && whole < REQUESTS {
        return Verdict::CouldNotRun("not all answers were whole without the disruption".into());
    }
    match short > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
