//! Hosts are stopped and started in turn, before a fleet of many replicas.

use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Run, Verdict,
    client::{self, Seen},
    host::{self, Host, Options, SIGTERM},
    json::Json,
    replica::{self, SEAL},
    store::Store,
};

/// Replicas of another service; the users plan for 10,000.
const REPLICAS: usize = 10_000;
/// Replicas that register at the same moment while the fleet is built up, and the pause after.
const AT_ONCE: usize = 400;
const PAUSE: Duration = Duration::from_millis(500);
/// Places of the small site, with the hosts of each.
const PLACES: [(&str, &str, u8); 3] = [
    ("ba-palermo", "buenos-aires", 4),
    ("cba-centro", "cordoba", 3),
    ("mza-godoy", "mendoza", 2),
];
/// Time between two stops.
const GAP: Duration = Duration::from_millis(1_300);
/// Time after which a machine that runs counts as in touch, `contact_ms`, and some more.
const IN_TOUCH: Duration = Duration::from_millis(7_000);
/// Descriptors of this process for anything but the listeners of replicas.
const SPARE_DESCRIPTORS: usize = 600;
const REQUESTS_PER_HOST: usize = 8;
/// `timeout_ms` of the route.
const TIMEOUT_MS: u64 = 1_200;
/// Time that clients wait.
const DEADLINE_MS: u64 = 2_500;

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let replica_count = std::env::var("REPLICAS")
        .ok()
        .and_then(|text| text.parse().ok());
    let replica_count: usize = replica_count.unwrap_or(REPLICAS);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/lookup/", "idempotent", "desk", TIMEOUT_MS, 400, 2);
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk", "model"], ""),
    );
    let start_one = |index: usize| -> Host {
        let places = PLACES
            .iter()
            .flat_map(|place| (0..place.2).map(move |_| place));
        let (zone, region, _) = places.skip(index).next().expect("a place");
        let options = Options::default();
        Host::start(
            net,
            index as u8 + 1,
            zone,
            region,
            store.address,
            &run.folder,
            &options,
        )
    };
    let host_count: u8 = PLACES.iter().map(|place| place.2).sum();
    let mut hosts: Vec<Host> = (0..usize::from(host_count)).map(&start_one).collect();
    for number in 0..3 {
        let id = format!("desk-{number}");
        let record = record.clone();
        let name = id.clone();
        let address = replica::start(&id, net.address(210, 0), move |arrived| {
            record.line(&format!("{name} runs {}", arrived.attempt()));
            arrived.answer(200, SEAL, b"in stock")
        });
        let (key, value) = replica::item(&id, "desk", address, PLACES[number].0, 6);
        store.put(&key, &value);
    }
    // The other replicas take connections, and get no requests here.
    let mut listeners = Vec::new();
    let most_listeners = host::descriptors().saturating_sub(SPARE_DESCRIPTORS);
    let mut batch = Vec::new();
    for number in 0..replica_count {
        // Beyond the most descriptors of this process, a replica is a peer that does not answer.
        let address = match TcpListener::bind(net.address(220, 0)) {
            Ok(listener) if listeners.len() < most_listeners => {
                let address = listener.local_addr().expect("an address");
                listeners.push(listener);
                address
            }
            _ => net.address(221, 9 + (number % 60_000) as u16),
        };
        let id = format!("model-{number}");
        let (key, value) = replica::item(&id, "model", address, PLACES[number % 3].0, 64);
        batch.push((key, Some(value)));
        if batch.len() == AT_ONCE || number + 1 == replica_count {
            store.change(&batch);
            batch.clear();
            thread::sleep(PAUSE);
        }
    }
    for host in &mut hosts {
        if !host.wait_ready(Duration::from_secs(20)) {
            return Verdict::CouldNotRun(format!("{} did not become ready", host.name));
        }
    }
    let before = ask(run, &hosts, "a");
    record.line(&format!("before: {before:?}"));
    if before.served < before.sent {
        return Verdict::CouldNotRun("not all requests were served before".into());
    }
    if run.has_trouble {
        hosts = roll(run, hosts, &start_one);
    }
    thread::sleep(IN_TOUCH);
    for host in &mut hosts {
        let (is_ready, end) = (host.is_ready(Duration::from_secs(1)), host.end());
        record.line(&format!("{}: ready {is_ready}, ended {end:?}", host.name));
    }
    let after = ask(run, &hosts, "b");
    record.line(&format!("after: {after:?}"));
    drop(listeners);
    match after.unanswered >= 8 && after.unanswered * 4 > after.past_timeout {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Stops the hosts in turn with SIGTERM, and starts each again once it has ended.
fn roll<F>(run: &Run, hosts: Vec<Host>, start_one: &F) -> Vec<Host>
where
    F: Fn(usize) -> Host + Sync,
{
    thread::scope(|scope| {
        let mut started = Vec::new();
        for (index, mut host) in hosts.into_iter().enumerate() {
            run.record.line(&format!("{} gets SIGTERM", host.name));
            host.signal(SIGTERM);
            started.push(scope.spawn(move || {
                while host.end().is_none() {
                    thread::sleep(Duration::from_millis(20));
                }
                run.record
                    .line(&format!("{} has ended and is started again", host.name));
                drop(host);
                start_one(index)
            }));
            thread::sleep(GAP);
        }
        started
            .into_iter()
            .map(|one| one.join().expect("a host"))
            .collect()
    })
}

/// What became of the requests that were sent.
#[derive(Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
    /// Not answered at their route's `timeout_ms`.
    past_timeout: usize,
    /// Not answered half a second later.
    unanswered: usize,
}

/// Sends requests to all hosts that the directory names to clients of their zones.
fn ask(run: &Run, hosts: &[Host], phase: &str) -> Count {
    let mut calls = Vec::new();
    for (zone, region, _) in PLACES {
        let fronts = directory(hosts, zone, region);
        run.record
            .line(&format!("directory for {zone}: {fronts:?}"));
        for number in 0..REQUESTS_PER_HOST * fronts.len() {
            let (front, record) = (fronts[number % fronts.len()], run.record.clone());
            let attempt = format!("{phase}-{zone}-{number:02}");
            thread::sleep(Duration::from_millis(20));
            calls.push(thread::spawn(move || {
                record.line(&format!("client sends {attempt} to {front}"));
                let sent = Instant::now();
                let seen = client::call(front, "GET", "/lookup/2f", &attempt, DEADLINE_MS, "", b"");
                record.line(&format!("client got for {attempt}: {}", seen.text()));
                (seen.is_served(), sent.elapsed().as_millis() as u64)
            }));
        }
    }
    let mut count = Count::default();
    for call in calls {
        let (is_served, after_ms) = call.join().expect("a client");
        count.sent += 1;
        count.served += usize::from(is_served);
        count.past_timeout += usize::from(after_ms > TIMEOUT_MS);
        count.unanswered += usize::from(after_ms > TIMEOUT_MS + 500);
    }
    count
}

/// Asks up to three hosts, nearest first, for the addresses for a client, a second each.
fn directory(hosts: &[Host], zone: &str, region: &str) -> Vec<SocketAddr> {
    let near = hosts.iter().filter(|host| host.name.contains(zone));
    let far = hosts.iter().filter(|host| !host.name.contains(zone));
    let path = format!("/cardamombridge/resolve?name=shop.example&region={region}&zone={zone}");
    for host in near.chain(far).take(3) {
        let Ok(mut wire) = client::open(host.directory) else {
            continue;
        };
        wire.set_limit(Duration::from_secs(1));
        let question = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let _ = wire.write(question.as_bytes());
        if let Seen::Answer {
            status: 200, body, ..
        } = client::read(&mut wire, |_| {})
        {
            let json = Json::parse(&String::from_utf8_lossy(&body));
            let addresses = json.and_then(|json| Some(json.get("addrs")?.list().to_vec()));
            let addresses = addresses.unwrap_or_default();
            return addresses
                .iter()
                .filter_map(|one| one.text()?.parse().ok())
                .collect();
        }
    }
    Vec::new()
}
