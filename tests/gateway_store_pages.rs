//! Hosts beside entries of other writers, in a store that lists its items in pages.

mod gatewayenv;

use std::time::{
    Duration,
    Instant, //
};

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
    WAIT_LIMIT,
    announce,
    announce_as,
    configuration,
    store_with_configuration, //
};
use serde_json::json;

const LIMIT_MS: u64 = 2_000;
/// Requests of one case, to two hosts in turn.
const REQUESTS: usize = 60;

/// Starts and announces three endpoints that answer each request.
fn sound_endpoints(store: &MetadataStore) -> [ScriptedEndpoint; 3] {
    ["e-1", "e-5", "e-9"].map(|id| {
        let endpoint = ScriptedEndpoint::start(id, |_, _| Script::Answer(200, b"answer".to_vec()));
        let endpoint = endpoint.expect("the endpoint starts");
        announce(store, &endpoint, "north");
        endpoint
    })
}

/// Returns whether the host knows all sound endpoints within [`WAIT_LIMIT`].
fn wait_known(host: &Host) -> bool {
    let deadline = Instant::now() + WAIT_LIMIT;
    while Instant::now() < deadline {
        if host.log().matches("endpoint announced").count() >= 3 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Returns the number of [`REQUESTS`] that are served by the hosts.
fn served(hosts: &[Host]) -> usize {
    served_of(REQUESTS, hosts)
}

/// Returns the number of `requests` that are served by the hosts.
fn served_of(requests: usize, hosts: &[Host]) -> usize {
    (0..requests)
        .filter(|index| {
            let request = Request::get("/read/1").with_attempt(&format!("a-{index}"), LIMIT_MS);
            let answer = request.try_send(hosts[index % hosts.len()].caller_address);
            answer.is_some_and(|answer| answer.status == 200)
        })
        .count()
}

/// Guards against hosts that read no endpoint, or only some, when they start beside an entry
/// of another writer whose key ends a page of the list.
#[test]
fn hosts_that_start_beside_an_odd_key_use_all_endpoints() {
    let mut failed = Vec::new();
    for odd in [
        "servers/e-3",
        "servers/e-3&x=1",
        "servers/e-3+x",
        "servers/e-3#x",
        "servers/e-3 x",
        "servers/e-%7A",
        "servers/e-3\nx",
        "servers/e-\u{e9}\"",
        "op/evacuate/x&+#% y",
    ] {
        let store = store_with_configuration();
        store.set_page_items(1);
        let _endpoints = sound_endpoints(&store);
        store.put_text(odd, "not an entry");

        let names = ["host-1", "host-2"];
        let hosts = names.map(|name| {
            let options = HostOptions::new(name, "north");
            Host::start_only(&store, &options)
        });
        let is_known = hosts.iter().filter(|host| wait_known(host)).count() == hosts.len();
        let served = served(&hosts);

        if !is_known || served < REQUESTS {
            let calls = store.range_calls();
            failed.push(format!(
                "{odd:?}: {served} of {REQUESTS} served, {calls} list calls"
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a running host that stops following the store when it has to read the same
/// pages because the store dropped its history.
#[test]
fn running_host_reads_all_items_anew_beside_an_odd_key() {
    let store = store_with_configuration();
    store.set_page_items(1);
    let _endpoints = sound_endpoints(&store);
    let host = Host::start(&store, &HostOptions::default());
    store.put_text("op/a&+#% y", "not an entry");
    store.put_text("op/config&+#% y", "not an entry");

    store.drop_history();
    store.put("op/config", &configuration(8));

    host.wait_log("\"configuration in force\",\"version\":8");
    assert_eq!(served(&[host]), REQUESTS);
}

/// Guards against a host that asks a store for the same page without a pause, or that does not
/// read the items once the store lists them all.
#[test]
fn host_pauses_between_reads_that_a_store_does_not_finish() {
    const OBSERVED_MS: u64 = 2_000;
    const RETRY_PAUSE_MS: u64 = 250;
    const CALLS_PER_READ: u64 = 2;
    let store = store_with_configuration();
    store.set_page_items(1);
    let _endpoints = sound_endpoints(&store);
    store.set_fault(StoreFault::RepeatsPages);
    let host = Host::start_only(&store, &HostOptions::default());

    let calls_before = store.range_calls();
    std::thread::sleep(Duration::from_millis(OBSERVED_MS));
    let calls = store.range_calls() - calls_before;
    store.set_fault(StoreFault::None);

    let most_calls = CALLS_PER_READ * (OBSERVED_MS / RETRY_PAUSE_MS + 1);
    assert!((1..=most_calls).contains(&calls), "{calls} list calls");
    assert!(wait_known(&host), "the endpoints are not read");
    assert_eq!(served(&[host]), REQUESTS);
}

/// Guards against a host that applies no item of a page, or no change of a watch, because a
/// field of one of them has another type.
#[test]
fn host_applies_what_stands_beside_an_odd_item() {
    let store = store_with_configuration();
    let _endpoints = sound_endpoints(&store);
    store.put_text("servers/e-3", "{}");
    store.show_instead(
        "servers/e-3",
        &json!({ "key": "servers/e-3", "rev": "x", "value": [] }),
    );
    let host = Host::start_only(&store, &HostOptions::default());

    assert!(wait_known(&host), "the items beside it are not applied");
    store.put_text("servers/e-3", "{ }");
    store.put("op/config", &configuration(8));

    host.wait_log("\"configuration in force\",\"version\":8");
    assert_eq!(served(&[host]), REQUESTS);
}

/// Guards against an entry whose name puts a header of its own into requests for an endpoint, or
/// cannot be sent in a header at all.
#[test]
fn entry_whose_name_no_header_can_carry_names_no_endpoint() {
    let mut failed = Vec::new();
    for id in [
        "e-3\r\nX-Injected: 1",
        "e-3\nX-Injected: 1",
        "e-3\rX-Injected: 1",
        "e-3 x",
        "e-3\u{0}",
        "e-\u{e9}",
        "",
    ] {
        let store = store_with_configuration();
        let odd = ScriptedEndpoint::start("e-3", |_, _| Script::Answer(200, b"answer".to_vec()));
        let odd = odd.expect("the endpoint starts");
        announce_as(&store, id, &odd, "north", &json!({}));
        let host = Host::start(&store, &HostOptions::default());
        let hosts = [host];

        let served_alone = served_of(6, &hosts);
        let _endpoints = sound_endpoints(&store);
        let is_known = wait_known(&hosts[0]);
        let served = served(&hosts);

        let arrivals = odd.arrivals();
        if served_alone > 0 || !arrivals.is_empty() || !is_known || served < REQUESTS {
            let first = arrivals.first().map(|arrival| &arrival.headers);
            failed.push(format!(
                "{id:?}: {} requests, {served} of {REQUESTS} served beside it; {first:?}",
                arrivals.len()
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against an endpoint that is not used because of a name that a header can carry.
#[test]
fn entry_with_a_name_of_any_visible_characters_names_an_endpoint() {
    const ID: &str = "e&3+#%7A\"<>/~";
    let store = store_with_configuration();
    let endpoint = ScriptedEndpoint::start(ID, |_, _| Script::Answer(200, b"answer".to_vec()));
    let endpoint = endpoint.expect("the endpoint starts");
    announce(&store, &endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");

    assert_eq!(served(&[host]), REQUESTS);
}

/// Guards against a host without the store that receives nothing from another host because of an
/// odd entry among the changes.
#[test]
fn host_without_the_store_receives_what_stands_beside_an_odd_entry() {
    let store = store_with_configuration();
    store.set_page_items(1);
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let _connected = Host::start(&store, &HostOptions::default());
    let options = HostOptions {
        store: Some(wire.address()),
        ..HostOptions::new("host-2", "north")
    };
    let cut_off = Host::start(&store, &options);
    cut_off.wait_log("\"host registered\",\"host\":\"host-1\"");

    wire.set_cut(true);
    for key in [
        "servers/e-3&+#% y",
        "servers/e-3\r\nX: y",
        "op/evacuate/x&y",
        "x",
    ] {
        store.put_text(key, "not an entry");
    }
    let _endpoints = sound_endpoints(&store);

    assert!(wait_known(&cut_off), "the endpoints are not received");
    assert_eq!(served(&[cut_off]), REQUESTS);
}
