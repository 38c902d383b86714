//! Messages between hosts and items of the store, as the build before wrote them.
//!
//! Hosts are replaced one after the other, so each build reads what the one before writes, and
//! the one before reads what this one writes. The bytes below were written by commit 7144eca.
//! A message that changes gets a fixture of the new landed build once it has landed.

use std::collections::BTreeMap;

use cardamombridge::{
    gateway::{
        allotment_exchange::{
            RegionUsage,
            UsageReport,
            UsageSender,
            UsageSummary, //
        },
        configuration::ConfigurationVersion,
        crash_records::CrashId,
        endpoint::EndpointHash,
        endpoint_limit::LimitReport,
        exchange::ResolvedRoute,
        hosts::{
            Beacon,
            HostInfo,
            QueueLoad,
            ServiceLoad, //
        },
        load_updates::{
            EndpointBlock,
            EndpointLoadShare,
            LeavingEndpoint,
            LoadUpdate,
            Packet,
            SentPrompt, //
        },
        permit_exchange::{
            PermitAnswer,
            PermitQuestion, //
        },
        request_rate::RequestRate,
        serve_crashes::CrashReports,
        serve_limits::LimitReports,
        stored_verdicts::{
            StoredCrash,
            StoredVerdict, //
        },
        stored_versions::ServedVersions,
        stream_origins::{
            AttemptHash,
            StreamOrigin, //
        }, //
    },
    store_position::{
        StoreEra,
        StoreRevision, //
    }, //
};
use expect_test::{
    Expect,
    expect, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("ASCII digits");
            u8::from_str_radix(pair, 16).expect("two hexadecimal digits")
        })
        .collect()
}

/// Checks that `value` is written as the landed build wrote it, and read from its bytes.
fn assert_same_packet(value: &Packet, landed: &Expect) {
    let bytes = postcard::to_allocvec(value).expect("it is encoded");

    landed.assert_eq(&hex(&bytes));

    let read: Packet = postcard::from_bytes(&unhex(landed.data())).expect("it is decoded");
    assert_eq!(read, *value);
}

/// Like [`assert_same_packet`], for an item of the store.
fn assert_same_item<T>(value: &T, landed: &Expect)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = serde_json::to_string(value).expect("it is encoded");

    landed.assert_eq(&text);

    let read: T = serde_json::from_str(landed.data()).expect("it is decoded");
    assert_eq!(read, *value);
}

fn host() -> HostInfo {
    HostInfo {
        name: "edge-north-1".into(),
        region: "north".into(),
        data_centre: "north-a".into(),
        caller_address: "10.1.0.38:8149".parse().expect("an address"),
        peer_address: "10.1.0.38:7380".parse().expect("an address"),
        capacity: 12,
    }
}

fn share() -> EndpointLoadShare {
    EndpointLoadShare {
        endpoint: EndpointHash(0x1234_5678),
        active: 3,
        backlog_tokens: 40_000,
        reserved_tokens: 90_000,
    }
}

fn leaving() -> LeavingEndpoint {
    LeavingEndpoint {
        endpoint: EndpointHash(7),
        started_ms: 1_790_000_000_123,
    }
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        attempt: AttemptHash(0xdead_beef_0102_0304),
        service: "model".into(),
        version: "v2".parse().expect("a valid version"),
    }
}

fn limit_report() -> LimitReport {
    LimitReport {
        endpoint: EndpointHash(9),
        started_ms: 1_790_000_000_123,
        rate: RequestRate::new(2.5),
        brittle: None,
        age_ms: 300,
        cold_left_ms: 2_000,
    }
}

#[test]
fn beacon_passes_between_builds() {
    let beacon = Packet::Beacon(Beacon {
        host: host(),
        started_ms: 1_790_000_000_000,
        sequence: 77,
        revision: StoreRevision(501),
        is_leaving: true,
        shares: vec![share()],
        queues: vec![QueueLoad {
            service: "model".into(),
            work_ms: 640,
        }],
        services: vec![ServiceLoad {
            service: "model".into(),
            endpoint_count: 9,
            backlog_ms: 250,
        }],
        era: StoreEra(2),
        configuration: ConfigurationVersion(14),
        leaving: vec![leaving()],
        origins: vec![origin()],
        is_cut_off: true,
    });

    assert_same_packet(
        &beacon,
        &expect![
            "000c656467652d6e6f7274682d31056e6f727468076e6f7274682d61000a010026d53f000a010026d4390c80d8c1a28c344df5030101f8acd1910103c0b80290bf0501056d6f64656c800501056d6f64656c09fa01020e0107fbd8c1a28c340184868888f0ddefd6de01056d6f64656c02763201"
        ],
    );
}

#[test]
fn load_update_passes_between_builds() {
    let update = Packet::LoadUpdate(LoadUpdate {
        host: "edge-north-1".into(),
        started_ms: 1_790_000_000_000,
        sequence: 78,
        shares: vec![share()],
        sends: vec![SentPrompt {
            endpoint: EndpointHash(0x1234_5678),
            reserved_tokens: 12_400,
            prefill_tokens: 12_000,
            prefill_ms: 310,
            parts: vec![1, u64::MAX],
        }],
        blocks: vec![EndpointBlock {
            endpoint: EndpointHash(8),
            for_ms: 500,
            is_full: true,
        }],
        leaving: vec![leaving()],
        origins: vec![origin()],
    });

    assert_same_packet(
        &update,
        &expect![
            "010c656467652d6e6f7274682d3180d8c1a28c344e01f8acd1910103c0b80290bf0501f8acd19101f060e05db6020201ffffffffffffffffff010108f403010107fbd8c1a28c340184868888f0ddefd6de01056d6f64656c027632"
        ],
    );
}

#[test]
fn limits_and_crashes_pass_between_builds() {
    let limits = Packet::LimitReports(LimitReports {
        host: "edge-north-1".into(),
        reports: vec![limit_report()],
        is_question: true,
    });
    let crashes = Packet::CrashReports(CrashReports {
        region: "north".into(),
        reports: Vec::new(),
        is_question: true,
    });

    assert_same_packet(
        &limits,
        &expect!["030c656467652d6e6f7274682d310109fbd8c1a28c3401000000000000044000ac02d00f01"],
    );
    assert_same_packet(&crashes, &expect!["02056e6f7274680001"]);
}

#[test]
fn permits_pass_between_builds() {
    let question = Packet::PermitQuestion(PermitQuestion {
        host: "edge-north-1".into(),
        limit: limit_report(),
        missing: 4,
        interval_ms: 100,
    });
    let answer = Packet::PermitAnswer(PermitAnswer {
        endpoint: EndpointHash(9),
        count: 2,
        interval_ms: 400.0,
        lifetime_ms: 500,
    });

    assert_same_packet(
        &question,
        &expect!["040c656467652d6e6f7274682d3109fbd8c1a28c3401000000000000044000ac02d00f0464"],
    );
    assert_same_packet(&answer, &expect!["0509020000000000007940f403"]);
}

/// Guards against a variant that takes the number of another, which the build before would read as
/// that one: it must fail to read the packets that are new.
#[test]
fn new_packets_have_numbers_after_all_that_the_build_before_reads() {
    let sender = UsageSender {
        host: "h".into(),
        started_ms: 1,
        sequence: 1,
    };
    let report = Packet::UsageReport(UsageReport {
        sender: sender.clone(),
        usages: BTreeMap::new(),
    });
    let summary = Packet::UsageSummary(UsageSummary {
        sender: sender.clone(),
        receiver_started_ms: 1,
        accounts: BTreeMap::new(),
        reachable_count: 1,
        possible_count: 1,
    });
    let region = Packet::RegionUsage(RegionUsage {
        sender,
        region: "r".into(),
        usages: BTreeMap::new(),
        levels: BTreeMap::new(),
        host_count: 1,
    });

    let numbers = [report, summary, region].map(|packet| {
        let bytes = postcard::to_allocvec(&packet).expect("it is encoded");
        bytes[0]
    });

    assert_eq!(numbers, [7, 8, 9]);
}

#[test]
fn route_of_a_forwarded_request_passes_between_builds() {
    let route = ResolvedRoute {
        name: "chat".into(),
        service: "model".into(),
        is_stream: true,
        is_idempotent: false,
        is_resumable: true,
        goal_ms: 800,
        timeout_ms: 12_000,
        max_attempts: 2,
        priority: Some(1),
        home_regions: vec!["north".into()],
        software_version: Some("v2".parse().expect("a valid version")),
    };
    let landed = expect!["BGNoYXQFbW9kZWwBAAGgBuBdAgEBAQVub3J0aAECdjI="];

    landed.assert_eq(&route.encode().expect("it is encoded"));

    assert_eq!(ResolvedRoute::decode(landed.data()), Some(route));
}

#[test]
fn items_of_the_store_pass_between_builds() {
    let versions = ["v1", "v2"].map(|version| version.parse().expect("a valid version"));
    let served = ServedVersions {
        versions: versions.into_iter().collect(),
        routes: None,
    };
    let verdict = StoredVerdict {
        crashes: vec![StoredCrash {
            crash: CrashId::new("i-7f3a91c2", 1_790_000_000_123),
            at_unix_ms: 1_790_000_009_000,
            run_ms: 40,
        }],
    };

    assert_same_item(
        &host(),
        &expect![[
            r#"{"name":"edge-north-1","region":"north","data_centre":"north-a","caller_address":"10.1.0.38:8149","peer_address":"10.1.0.38:7380","capacity":12}"#
        ]],
    );
    assert_same_item(&served, &expect![[r#"{"versions":["v1","v2"]}"#]]);
    assert_same_item(
        &verdict,
        &expect![[
            r#"{"crashes":[{"crash":8167425138359622376,"at_unix_ms":1790000009000,"run_ms":40}]}"#
        ]],
    );
}
