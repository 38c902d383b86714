//! A client sends many requests on one channel without waiting, while its replicas turn work away.

use std::{thread, time::Duration};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options},
    replica,
    store::Store,
};

/// Requests that are sent at once; with TROUBLE=0, a tenth of them.
const REQUESTS: usize = 1_500;

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/lookup/", "idempotent", "desk", 2_500, 400, 2);
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk"], ""),
    );
    let address = replica::start("desk-0", net.address(210, 0), move |arrived| {
        arrived.answer(503, "X-Not-Run: 1\r\nRetry-After: 10\r\n", b"")
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
    let seen = client::call(host.front, "GET", "/lookup/1", "p0", 2_500, "", b"");
    record.line(&format!("first: {}", seen.text()));
    let count = if run.has_trouble {
        REQUESTS
    } else {
        REQUESTS / 10
    };
    let mut wire = client::open(host.front).expect("connected");
    wire.set_limit(Duration::from_millis(3_000));
    let mut bytes = String::new();
    for number in 0..count {
        bytes.push_str(&format!(
            "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: p{number}\r\n\r\n"
        ));
    }
    let _ = wire.write(bytes.as_bytes());
    let mut answered = 0;
    while let Seen::Answer { .. } = client::read(&mut wire, |_| {}) {
        answered += 1;
        if answered == count {
            break;
        }
    }
    thread::sleep(Duration::from_millis(300));
    record.line(&format!(
        "{count} sent, {answered} answered, host ended {:?}",
        host.end()
    ));
    match host.end() {
        Some(_) => Verdict::Broken,
        None => Verdict::Held,
    }
}
