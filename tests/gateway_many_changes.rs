//! Thousands of items of the store that change at a time: hosts as real processes, with one
//! processor each.

mod gatewayenv;

use std::{
    ops::Range,
    thread,
    time::Duration, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Script,
        ScriptedEndpoint, //
    },
    wire::Wire, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    configuration,
    free_addresses,
    route,
    store_with_configuration,
    wait_until, //
};
use nix::sys::signal::Signal;
use serde_json::json;

const HOST_NAMES: [&str; 4] = ["host-1", "host-2", "host-3", "host-4"];
/// Requests that each host gets at the end.
const REQUESTS: usize = 20;
/// Time limit of a request, which hosts get in `X-Deadline-Ms`.
const REQUEST_LIMIT_MS: u64 = 2_000;
/// Time between the stops of two hosts.
const STOP_INTERVAL: Duration = Duration::from_millis(1_300);
/// Memory of the smallest host that the platform has.
const HOST_MEMORY_BYTES: u64 = 160 * 1_024 * 1_024;

/// Returns a store with an endpoint that responds, and the endpoint.
fn store_with_endpoint() -> (MetadataStore, ScriptedEndpoint) {
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    (store, endpoint)
}

/// Announces endpoints of another service, at an address where none responds.
fn announce_others(store: &MetadataStore, numbers: Range<u64>, sequence: u64) {
    let address = free_addresses(1)[0];
    for number in numbers {
        let item = json!({
            "backend": "model", "addr": address, "zone": "north-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": sequence, "born": 1,
        });
        store.put(&format!("servers/other-{number:05}"), &item);
    }
}

fn delete_others(store: &MetadataStore, numbers: Range<u64>) {
    for number in numbers {
        store.delete(&format!("servers/other-{number:05}"));
    }
}

fn options(index: usize) -> HostOptions {
    HostOptions {
        processor: Some(index),
        ..HostOptions::new(HOST_NAMES[index], "north")
    }
}

fn start_hosts(store: &MetadataStore, count: usize) -> Vec<Host> {
    let hosts = (0..count).map(|index| Host::start_only(store, &options(index)));
    let hosts: Vec<Host> = hosts.collect();
    hosts.iter().for_each(Host::wait_ready);
    hosts
}

fn is_served(host: &Host, path: &str, number: usize) -> bool {
    let limit = Duration::from_millis(REQUEST_LIMIT_MS);
    let response = Request::get(path)
        .with_attempt(&format!("a-{number}"), REQUEST_LIMIT_MS)
        .send_within(host.caller_address, limit);
    response.is_some_and(|response| response.status == 200)
}

/// Sends requests to each host, and returns how many each has served.
fn served_by(hosts: &[Host]) -> Vec<usize> {
    thread::scope(|scope| {
        let serve = |host| {
            let numbers = 0..REQUESTS;
            numbers
                .filter(|number| is_served(host, "/read/1", *number))
                .count()
        };
        let counts = hosts.iter().map(|host| scope.spawn(move || serve(host)));
        let counts: Vec<_> = counts.collect();
        counts
            .into_iter()
            .map(|count| count.join().expect("the caller ends"))
            .collect()
    })
}

/// Writes a configuration with a route of its own, and waits until each host serves that route;
/// all earlier changes are then in force there.
fn wait_until_followed(store: &MetadataStore, hosts: &[Host], version: u64) {
    let name = format!("version-{version}");
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    routes.push(route(&name, "idempotent", 2, false));
    store.put("op/config", &configuration);
    for host in hosts {
        wait_until("the changes are in force", || {
            is_served(host, &format!("/{name}/1"), 0)
        });
    }
}

/// Guards against hosts that hang for good after a planned restart, because more endpoints are
/// announced than the queue of updates has room for.
#[test]
fn hosts_that_are_started_again_in_turn_serve_beside_many_endpoints() {
    let (store, _endpoint) = store_with_endpoint();
    announce_others(&store, 0..3_000, 1);
    let mut hosts = start_hosts(&store, 4);

    thread::scope(|scope| {
        let store = &store;
        for (index, host) in hosts.iter_mut().enumerate() {
            scope.spawn(move || {
                host.signal(Signal::SIGTERM);
                assert_eq!(host.wait_end(Duration::from_secs(9)), Some(0));
                *host = Host::start_only(store, &options(index));
            });
            thread::sleep(STOP_INTERVAL);
        }
    });
    hosts.iter().for_each(Host::wait_ready);

    assert_eq!(served_by(&hosts), [REQUESTS; 4]);
}

/// Guards against hosts that hang for good after many of them were killed at the same moment.
#[test]
fn hosts_that_are_killed_together_serve_again_beside_many_endpoints() {
    let (store, _endpoint) = store_with_endpoint();
    announce_others(&store, 0..10_000, 1);
    drop(start_hosts(&store, 4));

    let hosts = start_hosts(&store, 4);

    assert_eq!(served_by(&hosts), [REQUESTS; 4]);
}

/// Guards against hosts that hang for good when the store returns from a copy without most
/// announcements, and these are written again.
#[test]
fn hosts_serve_after_many_announcements_were_lost_and_written_again() {
    let (store, _endpoint) = store_with_endpoint();
    store.take_copy();
    announce_others(&store, 0..6_000, 1);
    let hosts = start_hosts(&store, 4);
    wait_until_followed(&store, &hosts, 8);

    store.return_from_copy();
    hosts
        .iter()
        .for_each(|host| host.wait_log("store returned from an older copy"));
    announce_others(&store, 0..6_000, 2);
    wait_until_followed(&store, &hosts, 9);

    assert_eq!(served_by(&hosts), [REQUESTS; 4]);
}

/// Guards against hosts that hang for good when they give up many announcements that nobody has
/// written again after the return of the store.
#[test]
fn hosts_serve_after_many_announcements_were_given_up() {
    let (store, _endpoint) = store_with_endpoint();
    store.take_copy();
    announce_others(&store, 0..6_000, 1);
    let hosts = start_hosts(&store, 2);
    wait_until_followed(&store, &hosts, 8);

    store.return_from_copy();
    for host in &hosts {
        wait_until("the announcements are given up", || {
            host.log().contains("item was not written again")
        });
    }

    assert_eq!(served_by(&hosts), [REQUESTS; 2]);
}

/// Guards against hosts that hang for good, or let requests wait, while many announcements change
/// and are removed again and again.
#[test]
fn hosts_serve_while_many_announcements_change() {
    let (store, _endpoint) = store_with_endpoint();
    announce_others(&store, 0..6_000, 1);
    let hosts = start_hosts(&store, 3);

    let served: Vec<Vec<usize>> = (0..4)
        .map(|round| {
            let numbers = round * 1_500..(round + 1) * 1_500;
            announce_others(&store, numbers.clone(), 2);
            let served = served_by(&hosts);
            delete_others(&store, numbers);
            served
        })
        .collect();
    wait_until_followed(&store, &hosts, 8);

    assert_eq!(served, [[REQUESTS; 3]; 4]);
    assert_eq!(served_by(&hosts), [REQUESTS; 3]);
}

/// Guards against hosts that hang for good when they fetch many changes from another host.
#[test]
fn hosts_without_the_store_serve_after_many_changes_came_from_another_host() {
    let (store, _endpoint) = store_with_endpoint();
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let through_wire = |index| HostOptions {
        store: Some(wire.address()),
        ..options(index)
    };
    let hosts = [
        Host::start(&store, &options(0)),
        Host::start(&store, &through_wire(1)),
        Host::start(&store, &through_wire(2)),
    ];
    for host in &hosts[1..] {
        host.wait_log("\"host registered\",\"host\":\"host-1\"");
    }

    wire.set_cut(true);
    announce_others(&store, 0..6_000, 1);
    wait_until_followed(&store, &hosts, 8);

    assert_eq!(served_by(&hosts), [REQUESTS; 3]);
    assert!(
        hosts[1]
            .log()
            .contains("received changes from another host")
    );
}

/// Guards against a host that cannot be stopped, or has its settings read, while it reads many
/// items.
#[test]
fn signals_take_effect_while_many_items_are_read() {
    let (store, _endpoint) = store_with_endpoint();
    announce_others(&store, 0..6_000, 1);
    let mut hosts: Vec<Host> = (0..3)
        .map(|index| Host::start_only(&store, &options(index)))
        .collect();

    for host in &hosts {
        host.signal(Signal::SIGHUP);
        host.signal(Signal::SIGTERM);
    }

    for host in &mut hosts {
        assert_eq!(host.wait_end(Duration::from_secs(9)), Some(0));
    }
}

/// Guards against a host that takes more than a quarter of its memory to read many items, and
/// keeps them in a queue meanwhile.
#[test]
fn many_announcements_stay_in_a_quarter_of_the_memory_of_a_host() {
    let (store, _endpoint) = store_with_endpoint();
    announce_others(&store, 0..10_000, 1);
    let hosts = start_hosts(&store, 2);
    wait_until_followed(&store, &hosts, 8);

    announce_others(&store, 0..10_000, 2);
    wait_until_followed(&store, &hosts, 9);

    for host in &hosts {
        let peak_bytes = host.peak_memory_bytes();
        assert!(
            peak_bytes <= HOST_MEMORY_BYTES / 4,
            "{peak_bytes} bytes were used"
        );
    }
}
