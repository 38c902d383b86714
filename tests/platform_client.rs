//! Guards the client of the platform against lost responses, outages and stale
//! service lists.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    consul::{
        CasOutcome,
        Index,
        KeyValue,
        MAX_VALUE_BYTES,
        PlatformError,
        ServiceList, //
    },
    decision::view::EndpointInfo,
    http::message::Headers,
    standin::{
        listener::{
            Listener,
            respond_json, //
        },
        platform::PlatformStandin, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

const WAIT: Duration = Duration::from_secs(5);

fn standin() -> PlatformStandin {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformStandin::start(address).expect("the stand-in starts")
}

fn client(standin: &PlatformStandin) -> KeyValue {
    KeyValue::new(standin.address()).with_timeout(Duration::from_millis(500))
}

fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn endpoint(id: &str, target: &str) -> EndpointInfo {
    EndpointInfo {
        id: id.parse().expect("valid id"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        region: "stred".parse().expect("valid region"),
        data_centre: "stred-1".parse().expect("valid data centre"),
        target: target.parse().expect("valid target"),
        version: "2.1".into(),
        slots: 8,
        can_continue: true,
        is_leaving: false,
    }
}

/// Guards against a write over a value that has changed since it was read.
#[test]
fn compare_and_swap_writes_only_at_the_index_that_was_read() {
    let standin = standin();
    let kv = client(&standin);

    let absent = kv.read("a/b").expect("read");
    let first = kv.compare_and_swap("a/b", absent.modify_index, b"one".to_vec());
    let second = kv.compare_and_swap("a/b", absent.modify_index, b"two".to_vec());
    let state = kv.read("a/b").expect("read");

    assert_eq!((absent.value, absent.modify_index), (None, Index(0)));
    assert!(matches!(first, Ok(CasOutcome::Written)));
    assert!(matches!(second, Ok(CasOutcome::Stale)));
    assert_eq!(state.value.as_deref(), Some(b"one".as_slice()));
    assert_eq!((standin.counts().reads, standin.counts().writes), (2, 2));
}

/// Guards against a lost response that is reported as a failed write.
#[test]
fn a_lost_response_is_unknown_and_the_write_may_have_taken_effect() {
    let standin = standin();
    let kv = client(&standin);
    standin.lose_write_answers(1);

    let outcome = kv.compare_and_swap("key", Index(0), b"value".to_vec());
    let state = kv.read("key").expect("read");

    assert!(matches!(outcome, Ok(CasOutcome::Unknown(_))));
    assert_eq!(state.value.as_deref(), Some(b"value".as_slice()));
}

/// Guards against a slow service that blocks a call beyond its timeout, and
/// against reporting the late write as failed.
#[test]
fn a_slow_write_times_out_as_unknown_and_takes_effect_later() {
    let standin = standin();
    let kv = client(&standin);
    standin.set_delay(Duration::from_millis(800));
    let started = Instant::now();

    let outcome = kv.compare_and_swap("key", Index(0), b"late".to_vec());
    let elapsed = started.elapsed();
    thread::sleep(Duration::from_millis(600));
    standin.set_delay(Duration::ZERO);
    let state = kv.read("key").expect("read");

    assert!(matches!(outcome, Ok(CasOutcome::Unknown(_))));
    assert!(elapsed < Duration::from_millis(750), "took {elapsed:?}");
    assert_eq!(state.value.as_deref(), Some(b"late".as_slice()));
}

/// Guards against an outage that is reported as an empty store.
#[test]
fn an_outage_is_an_error_and_a_refused_connection_wrote_nothing() {
    let standin = standin();
    let kv = client(&standin);
    let refused = KeyValue::new(closed_address());
    standin.set_down(true);

    let read = kv.read("key");
    let write = kv.compare_and_swap("key", Index(0), Vec::new());
    let not_sent = refused.compare_and_swap("key", Index(0), Vec::new());

    assert!(matches!(read, Err(PlatformError::NoAnswer { .. })));
    assert!(matches!(write, Ok(CasOutcome::Unknown(_))));
    assert!(not_sent.is_err_and(|error| !error.may_have_taken_effect()));
}

/// Guards against sending values that the service rejects because of their size.
#[test]
fn a_value_above_the_limit_is_not_sent() {
    let standin = standin();
    let kv = client(&standin);

    let at_limit = kv.compare_and_swap("key", Index(0), vec![b'x'; MAX_VALUE_BYTES]);
    let above = kv.compare_and_swap("other", Index(0), vec![b'x'; MAX_VALUE_BYTES + 1]);
    let read = kv.read("key").expect("read");

    assert!(matches!(at_limit, Ok(CasOutcome::Written)));
    assert!(matches!(above, Err(PlatformError::TooLarge { .. })));
    assert_eq!(read.value.map(|value| value.len()), Some(MAX_VALUE_BYTES));
    assert_eq!(standin.counts().writes, 1);
}

/// Guards against a blocking read that misses a change or polls.
#[test]
fn a_blocking_read_waits_for_the_next_change() {
    let standin = standin();
    let kv = client(&standin);
    kv.compare_and_swap("key", Index(0), b"old".to_vec())
        .expect("write");
    let seen = kv.read("key").expect("read");
    let watcher = {
        let kv = kv.clone();
        thread::spawn(move || kv.read_blocking("key", seen.watch_index, WAIT))
    };
    while standin.counts().waiting == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let written = kv.compare_and_swap("key", seen.modify_index, b"new".to_vec());
    let changed = watcher.join().expect("no panic").expect("read");

    assert!(matches!(written, Ok(CasOutcome::Written)));
    assert_eq!(changed.value.as_deref(), Some(b"new".as_slice()));
    assert_eq!(standin.counts().reads, 2);
}

/// Guards against a lock that outlives its lease, and against a paused lock
/// holder that writes after its lease has ended.
#[test]
fn a_lease_that_is_not_renewed_releases_its_lock() {
    let standin = standin();
    let kv = client(&standin);
    let holder = kv
        .create_session(Duration::from_millis(150))
        .expect("session");
    let other = kv.create_session(WAIT).expect("session");

    let acquired = kv.acquire("lock", &holder, b"holder".to_vec());
    let refused = kv.acquire("lock", &other, b"other".to_vec());
    thread::sleep(Duration::from_millis(300));
    let is_renewed = kv.renew_session(&holder).expect("renew");
    let late = kv.acquire("lock", &holder, b"late".to_vec());
    let state = kv.read("lock").expect("read");

    assert!(matches!(acquired, Ok(CasOutcome::Written)));
    assert!(matches!(refused, Ok(CasOutcome::Stale)));
    assert!(!is_renewed);
    assert!(!matches!(late, Ok(CasOutcome::Written)));
    assert_eq!(state.session, None);
    assert_eq!(state.value.as_deref(), Some(b"holder".as_slice()));
}

/// Guards against service lists with endpoints of the wrong state or kind.
#[test]
fn the_list_shows_live_and_leaving_endpoints() {
    let standin = standin();
    let list = ServiceList::new(standin.address());
    let ids = ["live", "leaving", "failing", "gone"];
    for id in ids {
        let info = endpoint(id, "model/stain-advice");
        list.register_endpoint(&info).expect("register");
    }
    list.set_leaving("leaving", true).expect("maintenance");
    list.deregister("gone").expect("deregister");
    standin.set_check("failing", "critical");

    let listed = list.list_endpoints(Index(0), WAIT).expect("list");
    let hosts = list.list_hosts(Index(0), WAIT).expect("list");

    let leaving = EndpointInfo {
        is_leaving: true,
        ..endpoint("leaving", "model/stain-advice")
    };
    let live = endpoint("live", "model/stain-advice");
    assert_eq!(listed.entries, vec![leaving, live]);
    assert_eq!((listed.invalid, hosts.entries.len()), (0, 0));
}

/// Starts a list that consists of these entries, of each service.
fn list_of(entries: Value) -> (Listener, ServiceList) {
    let listener = Listener::start(0, move |connection, _| {
        respond_json(connection, 200, Headers::new(), &entries)
    });
    let listener = listener.expect("the list starts");
    let list = ServiceList::new(listener.address());
    (listener, list)
}

fn list_entry(id: &str) -> Value {
    json!({
        "Service": {
            "ID": id, "Address": "127.0.0.1", "Port": 9_000,
            "Meta": {
                "region": "stred", "data_centre": "stred-1", "target": "service/orders",
                "version": "2.1", "slots": "8", "can_continue": "true",
            },
        },
        "Checks": [],
    })
}

/// Guards against a list that is given up because of one entry of another writer.
#[test]
fn entries_beside_an_odd_one_are_listed() {
    let with_service = |name: &str, value: Value| {
        let mut entry = list_entry("odd");
        entry["Service"][name] = value;
        entry
    };
    let odd_entries = [
        json!(null),
        json!(7),
        json!({}),
        json!({ "Service": null, "Checks": [] }),
        json!({ "Service": list_entry("odd")["Service"], "Checks": null }),
        json!({ "Service": list_entry("odd")["Service"], "Checks": [{ "Status": 1 }] }),
        with_service("ID", json!(7)),
        with_service("ID", json!("odd\r\nX: y")),
        with_service("Address", json!(null)),
        with_service("Address", json!("odd.example")),
        with_service("Port", json!(70_000)),
        with_service("Port", json!(-1)),
        with_service("Port", json!("9000")),
        with_service("Meta", json!({ "slots": 8 })),
        with_service("Meta", json!([])),
    ];
    for odd in odd_entries {
        let entries = json!([list_entry("e-1"), odd, list_entry("e-2")]);
        let (_listener, list) = list_of(entries);

        let endpoints = list.list_endpoints(Index(0), WAIT);
        let hosts = list.list_hosts(Index(0), WAIT);

        let endpoints = endpoints.unwrap_or_else(|error| panic!("{odd}: {error}"));
        let ids = endpoints.entries.iter().map(|entry| entry.id.as_str());
        assert!(ids.eq(["e-1", "e-2"]), "{odd}");
        assert_eq!(endpoints.invalid, 1, "{odd}");
        assert!(hosts.is_ok(), "{odd}");
    }
}

/// Guards against a stand-in that does not simulate list lag, which would hide
/// faults.
#[test]
fn a_lagging_list_shows_an_entry_late() {
    let standin = standin();
    let list = ServiceList::new(standin.address());
    standin.set_list_lag(Duration::from_millis(300));
    let before = list.list_endpoints(Index(0), WAIT).expect("list");
    let info = endpoint("new", "service/orders");
    list.register_endpoint(&info).expect("register");
    let registered = Instant::now();

    let at_once = list.list_endpoints(Index(0), WAIT).expect("list");
    let later = list.list_endpoints(before.index, WAIT).expect("list");

    assert!(at_once.entries.is_empty());
    assert_eq!(later.entries, vec![info]);
    assert!(registered.elapsed() >= Duration::from_millis(250));
}
