//! The store returns from an older copy of itself: hosts as real processes.

mod gatewayenv;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    platform::store::StoreClient,
    standin::{
        metadata_store::MetadataStore,
        scripted::{
            Script,
            ScriptedEndpoint, //
        },
        wire::Wire, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    announce_with,
    configuration,
    store_with_configuration,
    wait_until, //
};
use serde_json::json;

/// Time within which everything has settled after a return.
const SETTLED: Duration = Duration::from_millis(6_500);

fn endpoint(id: &str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(id, |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts")
}

fn read(host: &Host, number: u64) -> u16 {
    Request::get("/read/1")
        .with_attempt(&format!("a-{number}"), 2_000)
        .send(host.caller_address)
        .status
}

/// Sends requests for `time` and returns the statuses other than 200.
fn failures_during(host: &Host, time: Duration) -> Vec<u16> {
    let until = Instant::now() + time;
    let mut number = 0;
    let mut failures = Vec::new();
    while Instant::now() < until {
        number += 1;
        failures.extend(Some(read(host, number)).filter(|status| *status != 200));
        thread::sleep(Duration::from_millis(20));
    }
    failures
}

fn is_registered(store: &MetadataStore, name: &str) -> bool {
    let key = format!("cardamombridge/hosts/{name}");
    store.keys(&key).contains(&key)
}

/// Guards against a host whose registration is lost with the store's last seconds: it
/// does not notice, because another lease has got the id of its own.
#[test]
fn host_registers_again_although_its_lease_id_belongs_to_another() {
    let store = store_with_configuration();
    store.take_copy();
    let host = Host::start(&store, &HostOptions::default());
    wait_until("the host is registered", || is_registered(&store, "host-1"));

    store.return_from_copy();
    let client = StoreClient::new(store.address(), Duration::from_secs(1));
    let lease = client.grant_lease(Duration::from_secs(60));

    assert!(lease.is_ok());
    wait_until("the host is registered again", || {
        is_registered(&store, "host-1")
    });
    host.wait_log("store returned from an older copy");
}

/// Guards against refusals while the announcements and the configuration, which the
/// copy lacks, are written again, and against a configuration that goes back.
#[test]
fn callers_notice_nothing_of_the_return() {
    let store = store_with_configuration();
    store.take_copy();
    store.put("op/config", &configuration(8));
    let endpoint = endpoint("e-1");
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");
    host.wait_log("\"configuration in force\",\"version\":8");
    // Shortly after its start, a host keeps endpoints that are no longer announced.
    thread::sleep(Duration::from_millis(2_500));

    // Between two calls, so that the host sees no outage.
    store.return_from_copy();
    let at_return = failures_during(&host, Duration::from_millis(1_500));
    announce_with(&store, &endpoint, "north", &json!({ "seq": 2 }));
    store.put("op/config", &configuration(8));
    let afterwards = failures_during(&host, SETTLED);

    let failures = [at_return, afterwards].concat();
    assert!(failures.is_empty(), "{failures:?}");
    assert!(
        !host
            .log()
            .contains("\"configuration in force\",\"version\":7")
    );
}

/// Guards against requests to an endpoint whose leaving, or whose end, the store has
/// lost: the copy announces it as ready again.
#[test]
fn endpoint_that_left_gets_no_requests_after_the_return() {
    let store = store_with_configuration();
    let staying = endpoint("e-1");
    let leaving = endpoint("e-2");
    let ended = endpoint("e-3");
    for one in [&staying, &leaving, &ended] {
        announce(&store, one, "north");
    }
    let host = Host::start(&store, &HostOptions::default());
    wait_until("all endpoints are known", || {
        host.log().matches("endpoint announced").count() >= 3
    });
    // Shortly after its start, a host keeps endpoints that are no longer announced.
    thread::sleep(Duration::from_millis(2_500));
    store.take_copy();
    let fields = json!({ "state": "draining", "seq": 2 });
    announce_with(&store, &leaving, "north", &fields);
    store.delete("servers/e-3");
    host.wait_log("\"endpoint\":\"e-3\",\"delay_ms\":0");
    host.wait_log("Draining");

    let before = (leaving.arrivals().len(), ended.arrivals().len());
    store.return_from_copy();
    host.wait_log("store returned from an older copy");
    store.delete("servers/e-3");
    let failures = failures_during(&host, SETTLED);

    assert!(failures.is_empty(), "{failures:?}");
    assert_eq!((leaving.arrivals().len(), ended.arrivals().len()), before);
}

/// Guards against a host that stays in the old era because it cannot reach the store.
#[test]
fn host_without_the_store_enters_the_new_era_through_another_host() {
    let store = store_with_configuration();
    store.take_copy();
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let _connected = Host::start(&store, &HostOptions::default());
    let options = HostOptions {
        name: "host-2",
        store: Some(wire.address()),
        ..HostOptions::default()
    };
    let cut_off = Host::start(&store, &options);
    cut_off.wait_log("\"host registered\",\"host\":\"host-1\"");

    wire.set_cut(true);
    store.return_from_copy();
    store.put("op/evacuate/north-a", &json!({}));

    cut_off.wait_log("store returned from an older copy");
    cut_off.wait_log("evacuation changed");
}

/// Guards against a host that ends, or stops serving, because the store states no
/// era, no number, or an earlier era; each is an error in the log.
#[test]
fn unusable_era_is_an_error_in_the_log_and_nothing_else() {
    let store = store_with_configuration();
    let endpoint = endpoint("e-1");
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");

    for (text, problem) in [
        ("", "store states no era"),
        ("three", "store states an era that is no number"),
        ("0", "store states era 0, expected 1 or a later one"),
    ] {
        store.set_era_text(Some(text));
        host.wait_log(problem);
        assert_eq!(read(&host, 1), 200, "era {text:?}");
    }
    store.set_era_text(None);
    store.put("op/config", &configuration(9));

    host.wait_log("\"configuration in force\",\"version\":9");
    assert!(host.log().contains("\"level\":\"ERROR\""));
}
