//! A client sends many requests on one channel without waiting, while the replicas of their
//! service have asked for a pause. Other clients wait for answers of another service.

use std::{thread, time::Duration};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options},
    replica::{self, SEAL},
    store::Store,
};

/// Requests that are sent without waiting.
const REQUESTS: usize = 1_500;
/// Clients that wait for an answer, and the work of their requests.
const WAITING: usize = 6;
const WORK: Duration = Duration::from_millis(1_500);
/// `contact_ms` of the small sites, and some more.
const IN_TOUCH: Duration = Duration::from_millis(6_500);
const TIMEOUT_MS: u64 = 8_000;

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let routes = [
        replica::route("/lookup/", "idempotent", "desk", TIMEOUT_MS, 500, 1),
        replica::route("/order/", "mutating", "ledger", TIMEOUT_MS, 4_000, 1),
    ];
    store.put(
        "op/config",
        &replica::configuration(7, &routes, &["desk", "ledger"], ""),
    );
    let seen = record.clone();
    let busy = replica::start("desk-0", net.address(210, 0), move |arrived| {
        seen.line(&format!("desk-0 turns {} away for 10 s", arrived.attempt()));
        arrived.answer(503, "X-Not-Run: 1\r\nRetry-After: 10\r\n", b"")
    });
    let seen = record.clone();
    let sound = replica::start("ledger-0", net.address(210, 0), move |arrived| {
        let attempt = arrived.attempt();
        seen.line(&format!("ledger-0 runs {attempt}"));
        if !arrived.head.target().ends_with("/quick") {
            thread::sleep(WORK);
        }
        let is_sent = arrived.answer(200, SEAL, b"booked");
        seen.line(&format!("ledger-0 has ended {attempt}"));
        is_sent
    });
    for (id, service, address) in [("desk-0", "desk", busy), ("ledger-0", "ledger", sound)] {
        let (key, value) = replica::item(id, service, address, "ba-palermo", 64);
        store.put(&key, &value);
    }
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
    thread::sleep(IN_TOUCH);
    let calls = (0..WAITING).map(|number| {
        let (front, record) = (host.front, record.clone());
        thread::spawn(move || wait_for_answer(front, number, &record))
    });
    let calls: Vec<_> = calls.collect();
    let first = client::call(host.front, "GET", "/lookup/2f", "q", TIMEOUT_MS, "", b"");
    record.line(&format!("client got for q: {}", first.text()));
    thread::sleep(Duration::from_millis(300));
    let count = if run.has_trouble { REQUESTS } else { 1 };
    let answered = send_at_once(&host, count);
    record.line(&format!(
        "a client sent {count} requests without waiting and got {answered} answers"
    ));
    let seen: Vec<Option<Seen>> = calls
        .into_iter()
        .map(|call| call.join().expect("a client"))
        .collect();
    if seen.iter().any(Option::is_none) {
        return Verdict::CouldNotRun("a first request was not served".into());
    }
    record.line(&format!("the host has ended: {:?}", host.end()));
    let is_lost = |seen: &&Option<Seen>| matches!(seen, Some(Seen::Nothing(_)));
    let lost = seen.iter().filter(is_lost).count();
    record.line(&format!(
        "kept channels that were closed without an answer: {lost} of {WAITING}"
    ));
    match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a request on a channel that has served one before; none if that one was not served.
fn wait_for_answer(
    front: std::net::SocketAddr,
    number: usize,
    record: &crate::record::Record,
) -> Option<Seen> {
    let mut wire = client::open(front).ok()?;
    wire.set_limit(Duration::from_millis(TIMEOUT_MS));
    let mut call = |attempt: String, path: &str| -> Seen {
        let request = client::head("POST", path, &attempt, TIMEOUT_MS, "", 2);
        record.line(&format!("client sends {attempt}"));
        let _ = wire.write(format!("{request}{{}}").as_bytes());
        let seen = client::read(&mut wire, |_| {});
        record.line(&format!("client got for {attempt}: {}", seen.text()));
        seen
    };
    if !call(format!("f{number}"), "/order/quick").is_served() {
        return None;
    }
    Some(call(format!("k{number}"), "/order/2f"))
}

/// Sends requests on one channel without waiting; returns the number of answers.
fn send_at_once(host: &Host, count: usize) -> usize {
    let Ok(mut wire) = client::open(host.front) else {
        return 0;
    };
    wire.set_limit(Duration::from_millis(3_000));
    let requests = (0..count).map(|number| {
        format!("GET /lookup/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: p{number:04}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n")
    });
    let requests: String = requests.collect();
    let _ = wire.write(requests.as_bytes());
    let mut answered = 0;
    while answered < count && matches!(client::read(&mut wire, |_| {}), Seen::Answer { .. }) {
        answered += 1;
    }
    answered
}
