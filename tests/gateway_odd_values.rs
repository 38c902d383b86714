//! Entries, headers and counts that no sound writer states.

mod gatewayenv;

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
    thread,
    time::Duration, //
};

use cardamombridge::{
    platform::items::decode_configuration,
    standin::{
        listener::STANDIN_IP,
        metadata_store::MetadataStore,
        scripted::{
            Script,
            ScriptedEndpoint, //
        }, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    announce,
    announce_with,
    configuration,
    host_with,
    store_with_configuration, //
};
use serde_json::{
    Value,
    json, //
};

const LIMIT_MS: u64 = 2_000;
const MAX: u64 = u64::MAX;

fn sound_endpoint(id: &str) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::start(id, |_, _| Script::Answer(200, b"answer".to_vec()));
    endpoint.expect("the endpoint starts")
}

fn nested(depth: usize) -> Value {
    (0..depth).fold(json!(1), |inner, _| json!([inner]))
}

/// Checks that a host still runs and follows the store: it uses an endpoint that is announced
/// now, after the one before has gone.
fn check_follows(host: &mut Host, store: &MetadataStore, case: &str) {
    assert_eq!(host.wait_end(Duration::from_millis(100)), None, "{case}");
    let endpoint = sound_endpoint("e-new");
    announce(store, &endpoint, "north");
    store.delete("servers/e-1");
    gatewayenv::wait_until(case, || {
        let request = Request::get("/read/1").with_attempt("a", LIMIT_MS);
        let _ = request.try_send(host.caller_address);
        !endpoint.arrivals().is_empty()
    });
    assert_eq!(host.wait_end(Duration::from_millis(100)), None, "{case}");
}

/// Guards against a host that ends, or stops following the store, because of an entry that
/// another writer left.
#[test]
fn odd_entries_of_endpoints_end_no_host() {
    let fields = [
        json!({ "cold_left_ms": 1e300 }),
        json!({ "cold_left_ms": -1e300 }),
        json!({ "remaining_ms": 1e300, "state": "draining" }),
        json!({ "remaining_ms": 1e300 }),
        json!({ "slots": u32::MAX }),
        json!({ "slots": 1e300 }),
        json!({ "born": MAX, "seq": MAX }),
        json!({ "born": 1e300 }),
        json!({ "addr": "10.0.0.1:70000" }),
        json!({ "addr": "10.0.0.1:0" }),
        json!({ "addr": "255.255.255.255:1" }),
        json!({ "version": "" }),
        json!({ "zone": null }),
        json!({ "other": nested(100) }),
        json!({ "other": nested(120), "cold_left_ms": 1e18 }),
    ];
    for odd in fields {
        let endpoint = sound_endpoint("e-1");
        let (store, mut host) = host_with(&endpoint);

        announce_with(&store, &sound_endpoint("e-odd"), "north", &odd);
        let texts = ["null", "[]", "\"\"", "1e999", "{\"addr\":", ""];
        for (index, text) in texts.iter().enumerate() {
            store.put_text(&format!("servers/e-text-{index}"), text);
        }
        store.put_text("servers/", "{}");
        store.put_text("servers/e-deep", &"[".repeat(100_000));

        let request = Request::get("/read/1").with_attempt("b", LIMIT_MS);
        assert_eq!(request.send(host.caller_address).status, 200, "{odd}");
        check_follows(&mut host, &store, &odd.to_string());
    }
}

/// Guards against the same in entries that are not of endpoints.
#[test]
fn odd_entries_of_other_kinds_end_no_host() {
    let endpoint = sound_endpoint("e-1");
    let (store, mut host) = host_with(&endpoint);

    for prefix in [
        "op/evacuate/",
        "cardamombridge/hosts/",
        "cardamombridge/crashing/",
        "cardamombridge/",
        "op/",
    ] {
        for (index, text) in ["null", "", "{", "{\"crashes\":[{\"crash\":\"1\",\"at_unix_ms\":18446744073709551615,\"run_ms\":4294967295}]}"].iter().enumerate() {
            store.put_text(&format!("{prefix}odd-{index}"), text);
            store.put_text(&format!("{prefix}part-{index}"), text);
        }
        store.put_text(&format!("{prefix}deep"), &"[".repeat(10_000));
    }

    check_follows(&mut host, &store, "other kinds");
}

/// Guards against a configuration with numbers too large to add.
#[test]
fn large_numbers_in_a_configuration_end_no_host() {
    let endpoint = sound_endpoint("e-1");
    let (store, mut host) = host_with(&endpoint);
    let mut known = configuration(8);
    known["routes"][0]["timeout_ms"] = json!(1e300);
    known["routes"][0]["goal_ms"] = json!(1e300);
    known["routes"][0]["max_attempts"] = json!(u32::MAX);
    known["backends"][0]["cold_s"] = json!(1e300);
    known["backends"][0]["cold_per_s"] = json!(1e300);
    known["backends"][0]["engine"] = json!({ "slots": u32::MAX, "kv_cap_tokens": MAX, "kv_token_bytes": 1e300, "link_mbps": 1e300 });
    known["limits"]["header_timeout_ms"] = json!(1e300);
    known["limits"]["idle_timeout_ms"] = json!(1e300);

    store.put("op/config", &known);
    host.wait_log("\"version\":8");
    store.put("op/evacuate/north-a", &json!({}));
    host.wait_log("\"is_evacuated\":true");
    store.delete("op/evacuate/north-a");
    host.wait_log("\"is_evacuated\":false");

    check_follows(&mut host, &store, "large numbers");
}

/// Guards against a health path that puts a header of its own into health checks.
#[test]
fn health_path_that_is_no_path_is_not_used() {
    for (path, is_used) in [
        ("/healthz", true),
        ("/healthz?full=1&x=%20", true),
        ("/healthz HTTP/1.1\r\nX-Injected: 1", false),
        ("/health z", false),
        ("/h\u{e9}", false),
        ("healthz", false),
        ("", false),
    ] {
        let mut known = configuration(8);
        known["backends"][0]["health_path"] = json!(path);

        let decoded = decode_configuration(known.to_string().as_bytes());

        let services = decoded.expect("the configuration is valid").services;
        assert_eq!(services[0].health_path.is_some(), is_used, "{path:?}");
    }
}

/// Guards against headers of a caller with numbers too large to add.
#[test]
fn large_numbers_of_a_caller_end_no_host() {
    let endpoint = sound_endpoint("e-1");
    let (store, mut host) = host_with(&endpoint);
    let max = MAX.to_string();

    let request = Request::post("/read/1", b"{}")
        .with_attempt("a", MAX)
        .with_header("X-Token-Counts", &format!("{max},{max}"))
        .with_header("X-Prompt-Prefix", &format!("a1:{max},b2:{max},c3:{max}"));
    for _ in 0..3 {
        assert_eq!(request.send(host.caller_address).status, 200);
    }

    check_follows(&mut host, &store, "large numbers of a caller");
}

/// Starts an endpoint that answers with these header fields and keeps connections.
fn start_raw_endpoint(status: u16, fields: &str) -> std::net::SocketAddr {
    let listener = TcpListener::bind((STANDIN_IP, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let head = format!(
        "HTTP/1.1 {status} x\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n{fields}\r\n\r\nok"
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let head = head.clone();
            thread::spawn(move || {
                let mut buffer = [0; 4_096];
                while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {
                    if stream.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against headers of an endpoint with numbers too large to add.
#[test]
fn large_numbers_of_an_endpoint_end_no_host() {
    let max = MAX.to_string();
    for (status, fields) in [
        (200, format!("X-Cold-Ms: {max}")),
        (
            200,
            "X-Server-Load: 4294967295,4294967295,4294967295".into(),
        ),
        (200, "Keep-Alive: timeout=1e300".into()),
        (200, "Keep-Alive: timeout=-1e300".into()),
        (503, "X-Not-Run: 1\r\nRetry-After: 1e300".into()),
        (200, "Server-Limit: 1e300".into()),
        (200, "Server-Brittle: 1e300".into()),
        (200, "Server-Brittle: -1".into()),
    ] {
        let store = store_with_configuration();
        let address = start_raw_endpoint(status, &fields);
        let entry = json!({
            "backend": "desk", "addr": address, "zone": "north-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        store.put("servers/e-1", &entry);
        let mut host = Host::start(&store, &HostOptions::default());
        host.wait_log("endpoint announced");

        for _ in 0..4 {
            let request = Request::get("/read/1").with_attempt("a", LIMIT_MS);
            let _ = request.try_send(host.caller_address);
        }

        check_follows(&mut host, &store, &fields);
    }
}
