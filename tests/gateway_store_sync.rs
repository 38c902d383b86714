//! How hosts follow the store, directly or through other hosts.

mod gatewayenv;

use std::net::SocketAddr;

use cardamombridge::standin::{
    metadata_store::{
        MetadataStore,
        StoreFault, //
    },
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
    store_with_configuration,
    wait_until, //
};
use serde_json::json;

/// Starts a host that reaches the store at `address`, or directly if there is none.
fn start(store: &MetadataStore, name: &'static str, address: Option<SocketAddr>) -> Host {
    let options = HostOptions {
        name,
        store: address,
        ..HostOptions::default()
    };
    Host::start(store, &options)
}

/// Guards against hosts that keep sending to an evacuated data centre, or keep an
/// old configuration, while they cannot reach the store. Two such hosts also
/// receive each other's beacons and must not take each other's outdated state for
/// the latest.
#[test]
fn hosts_without_the_store_fetch_changes_from_another_host() {
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let _connected = start(&store, "host-1", None);
    let cut_off = [
        start(&store, "host-2", Some(wire.address())),
        start(&store, "host-3", Some(wire.address())),
    ];
    for host in &cut_off {
        host.wait_log("\"host registered\",\"host\":\"host-1\"");
    }

    wire.set_cut(true);
    store.put("op/evacuate/north-a", &json!({}));
    store.put("op/config", &configuration(8));

    for host in &cut_off {
        host.wait_log("evacuation changed");
        host.wait_log("\"configuration in force\",\"version\":8");
        let answer = Request::get("/read/1")
            .with_attempt("a-1", 2_000)
            .send(host.caller_address);
        assert_eq!(answer.status, 503, "an evacuated endpoint was used");
    }
    assert!(endpoint.arrivals().is_empty());
}

/// Guards against a host that stops using an endpoint whose announcement only
/// expired because the store was unreachable.
#[test]
fn endpoint_whose_announcement_expired_in_an_outage_stays_in_use() {
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let options = HostOptions {
        store: Some(wire.address()),
        ..HostOptions::default()
    };
    let host = Host::start(&store, &options);
    host.wait_log("endpoint announced");

    wire.set_cut(true);
    host.wait_log("dependency lost");
    store.delete("servers/e-1");
    wire.set_cut(false);
    wait_until("the store is reachable again", || {
        host.log().matches("dependency regained").count() == 2
    });
    let answer = Request::get("/read/1")
        .with_attempt("a-1", 2_000)
        .send(host.caller_address);

    assert_eq!(answer.status, 200);
    host.wait_log("endpoint is no longer announced");
}

/// Guards against a host that misses changes when the store drops its history.
#[test]
fn changes_behind_a_dropped_history_are_applied() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    store.drop_history();
    store.put("op/config", &configuration(8));

    host.wait_log("\"configuration in force\",\"version\":8");
}

/// Guards against an older configuration that replaces a newer one.
#[test]
fn older_configuration_is_ignored() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    store.put("op/config", &configuration(6));

    host.wait_log("older configuration ignored");
    assert!(
        !host
            .log()
            .contains("\"configuration in force\",\"version\":6")
    );
}

/// Guards against a host that adopts the revision of a watch that reported no
/// changes although there were some, and so never receives those changes.
#[test]
fn changes_that_a_watch_omitted_are_not_skipped() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    store.set_fault(StoreFault::DeafWatches);
    store.put("op/config", &configuration(8));
    // Longer than the wait of a watch, so that one of them ends without changes.
    std::thread::sleep(std::time::Duration::from_millis(3_000));
    store.set_fault(StoreFault::None);

    host.wait_log("\"configuration in force\",\"version\":8");
}

/// Guards against a host that announces a revision to other hosts without passing
/// on a deletion up to it: a host that cannot reach the store would never receive
/// that deletion.
#[test]
fn deletion_after_an_outage_reaches_hosts_without_the_store() {
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let connected = start(&store, "host-1", None);
    let cut_off = start(&store, "host-2", Some(wire.address()));
    cut_off.wait_log("\"host registered\",\"host\":\"host-1\"");
    cut_off.wait_log("endpoint announced");
    wire.set_cut(true);

    store.set_fault(StoreFault::Busy);
    connected.wait_log("dependency lost");
    store.delete("servers/e-1");
    store.set_fault(StoreFault::None);

    connected.wait_log("endpoint is no longer announced");
    cut_off.wait_log("endpoint is no longer announced");
}
