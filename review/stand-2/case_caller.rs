//! Requests of one tenant crash replicas; another tenant sends sound ones with the same path and
//! body.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{Host, Options},
    http::Wire,
    record::Record,
    replica::{self, SEAL},
    store::Store,
};

/// Time for which a replica is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time between two requests of the tenant whose requests crash replicas.
const BETWEEN: Duration = Duration::from_millis(2_500);
const CRASHES: usize = 4;
const SOUND_REQUESTS: usize = 40;
/// What both tenants send.
const PATH: &str = "/status/today";
const KEYS: [(&str, &str); 2] = [("tenant-a", "key-of-a"), ("tenant-b", "key-of-b")];

/// Serves at an address until a request of the first tenant arrives, which ends the replica: its
/// listener and all of its channels. It is back after some time.
fn serve(id: String, address: SocketAddr, record: Record, crashes: Arc<AtomicUsize>) {
    thread::spawn(move || {
        loop {
            let Ok(listener) = TcpListener::bind(address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).expect("a listener");
            let has_crashed = Arc::new(AtomicBool::new(false));
            let mut channels = Vec::new();
            while !has_crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                channels.extend(stream.try_clone());
                let (id, record) = (id.clone(), record.clone());
                let (has_crashed, crashes) = (Arc::clone(&has_crashed), Arc::clone(&crashes));
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(head)) = wire.read_head() {
                        wire.read_body(&head, false, |_| {});
                        let attempt = head.field("x-attempt-id").unwrap_or("").to_owned();
                        let tenant = head.field("x-tenant").unwrap_or("").to_owned();
                        if head.target() == PATH && tenant == KEYS[0].0 {
                            record.line(&format!("{id} begins {attempt} of {tenant} and crashes"));
                            crashes.fetch_add(1, Ordering::SeqCst);
                            has_crashed.store(true, Ordering::SeqCst);
                            return;
                        }
                        let is_health = head.target() == "/healthz";
                        if !is_health {
                            record.line(&format!("{id} runs {attempt} of {tenant}"));
                        }
                        let mut arrived = replica::Arrived {
                            head,
                            wire: &mut wire,
                        };
                        let fields = match is_health {
                            true => format!("X-Instance-Id: {id}\r\n"),
                            false => SEAL.to_owned(),
                        };
                        if !arrived.answer(200, &fields, b"open") {
                            return;
                        }
                    }
                });
            }
            drop(listener);
            for channel in channels {
                let _ = channel.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(DOWN);
        }
    });
}

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/status/", "idempotent", "desk", 2_500, 400, 2);
    let tenants = KEYS
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"prio\":2}}"));
    let tenants = format!(",\"tenants\":[{}]", tenants.join(","));
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk"], &tenants),
    );
    let crashes = Arc::new(AtomicUsize::new(0));
    for number in 0..4 {
        let free = TcpListener::bind(net.address(210, 0)).expect("a port for a replica");
        let address = free.local_addr().expect("an address");
        drop(free);
        let id = format!("desk-{number}");
        serve(id.clone(), address, record.clone(), Arc::clone(&crashes));
        let (key, value) = replica::item(&id, "desk", address, "ba-palermo", 6);
        store.put(&key, &value);
    }
    let hosts = (1..=2).map(|number| {
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
    let hosts: Vec<Host> = hosts.collect();
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun("a host did not become ready".into());
    }
    let ask = |number: usize, tenant: usize, attempt: &str| -> Seen {
        let front = hosts[number % hosts.len()].front;
        let (name, key) = KEYS[tenant];
        let fields = format!("Api-Key: {key}\r\n");
        record.line(&format!("client of {name} sends {attempt}"));
        let seen = client::call(front, "GET", PATH, attempt, 2_500, &fields, b"");
        record.line(&format!(
            "client of {name} got for {attempt}: {}",
            seen.text()
        ));
        seen
    };
    for number in 0..4 {
        if !ask(number, 1, &format!("w{number:04}")).is_served() {
            return Verdict::CouldNotRun("a sound request was not served before".into());
        }
    }
    // Beyond the time in which a request that ended well speaks for the ones that follow.
    thread::sleep(Duration::from_millis(10_500));
    for number in 0..CRASHES {
        if run.has_trouble {
            ask(number, 0, &format!("c{number:04}"));
        }
        thread::sleep(BETWEEN);
    }
    record.line(&format!(
        "crashes of replicas: {}",
        crashes.load(Ordering::SeqCst)
    ));
    let mut denied = 0;
    for number in 0..SOUND_REQUESTS {
        let seen = ask(number, 1, &format!("s{number:04}"));
        denied += usize::from(matches!(
            seen,
            Seen::Answer {
                status: 300..=499,
                is_signed: false,
                ..
            }
        ));
        thread::sleep(Duration::from_millis(100));
    }
    let sent = SOUND_REQUESTS + CRASHES + 4;
    record.line(&format!(
        "sound requests ended with a 4xx of the system: {denied} of {sent} requests"
    ));
    match denied > 5 + sent / 500 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
