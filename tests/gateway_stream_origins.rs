//! Streams go on at hosts that were not told where they began: hosts that were added, restarted
//! or replaced, and hosts that missed a report.

mod gatewayenv;
mod streamenv;

use std::{
    net::UdpSocket,
    thread, //
};

use cardamombridge::gateway::{
    load_updates::Packet,
    origin_exchange::{
        OriginAnswer,
        OriginCatchUp,
        OriginLookup,
        OriginQuestion, //
    },
    stream_origins::{
        AttemptHash,
        ORIGIN_LIFETIME_MS,
        StreamOrigin,
        StreamOrigins, //
    }, //
};
use gatewayenv::{
    Host,
    store_with_configuration, //
};
use nix::sys::signal::Signal;
use streamenv::{
    ADDED_BEFORE,
    BEACON_TIME,
    EVENTS_BEFORE,
    STREAM_COUNT,
    add_host,
    add_hosts,
    assert_all_go_on,
    begin_and_leave,
    endpoints_of_two_versions,
    hosts_with_streams,
    kill,
    options,
    start_hosts,
    stop,
    take_up_all,
    wait_known,
    wait_served, //
};

/// Guards against a refusal of streams that began before a host was added: it was told of none.
#[test]
fn streams_go_on_at_a_host_that_was_added() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, STREAM_COUNT);
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against hosts that take each other for those that know all: three are added at once.
#[test]
fn streams_go_on_at_hosts_that_were_added_at_once() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, STREAM_COUNT);
    let added = add_hosts(&store, &["host-3", "host-4", "host-5"], &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = added
        .iter()
        .map(|host| take_up_all(&begun, host.caller_address))
        .collect::<Vec<_>>();

    for responses in &responses {
        assert_all_go_on(&begun, responses);
    }
}

/// Guards against streams whose reports go out while only some hosts know a new one: a burst takes
/// longer to report than the host to start.
#[test]
fn streams_of_a_burst_go_on_at_a_host_that_was_added_meanwhile() {
    const BURST: usize = 400;
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 8, "north");
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &endpoints);
    let begun = begin_and_leave(&hosts[0], BURST, 1);
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut hosts[0]);
    kill(&mut hosts[1]);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against the same in another region, which is told of each stream once as well.
#[test]
fn streams_go_on_at_a_host_that_was_added_in_another_region() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let places = [
        ("host-1", "north"),
        ("host-2", "south"),
        ("host-3", "south"),
    ];
    let mut hosts = start_hosts(&store, &places);
    wait_known(&hosts, &endpoints);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, EVENTS_BEFORE);
    thread::sleep(BEACON_TIME);
    let added = add_host(&store, &options("host-4", "south"), &endpoints);
    let _north = add_host(&store, &options("host-5", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut hosts[0]);
    wait_served(&added);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a new host that finds no other in its region and asks nobody.
#[test]
fn streams_go_on_at_the_first_host_of_a_region() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let places = [
        ("host-1", "north"),
        ("host-2", "north"),
        ("host-3", "south"),
    ];
    let mut hosts = start_hosts(&store, &places);
    wait_known(&hosts, &endpoints);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, EVENTS_BEFORE);
    thread::sleep(BEACON_TIME);
    kill(&mut hosts[2]);
    let added = add_host(&store, &options("host-3", "south"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut hosts[0]);
    wait_served(&added);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a host that, after a restart under its name, no longer knows what it was told.
#[test]
fn streams_go_on_at_a_host_that_was_restarted() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let (mut first, mut second, begun) = hosts_with_streams(&store, &endpoints, STREAM_COUNT);
    kill(&mut second);
    let second = add_host(&store, &options("host-2", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = take_up_all(&begun, second.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against streams that are forgotten in a planned replacement of all hosts: the last one
/// can only ask a host that was itself not there when they began.
#[test]
fn streams_go_on_after_all_hosts_were_replaced_in_turn() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let (mut first, mut second, begun) = hosts_with_streams(&store, &endpoints, STREAM_COUNT);
    let mut third = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(BEACON_TIME);
    stop(&mut second);
    kill(&mut first);
    let fourth = add_host(&store, &options("host-4", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut third);
    let responses = take_up_all(&begun, fourth.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a host that asks only the lost one: it is still registered.
#[test]
fn streams_of_a_killed_host_go_on_at_a_host_that_is_added_afterwards() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, STREAM_COUNT);
    kill(&mut first);

    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Fills the queue of a host's socket for packets, so that it loses the next ones.
fn overflow_packets(host: &Host) {
    const PACKETS: usize = 4_000;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for _ in 0..PACKETS {
        // A full queue drops the packet without an error.
        let _ = socket.send_to(&[u8::MAX; 64], host.peer_address);
    }
}

/// Guards against a refusal of streams whose reports were lost: other hosts know them.
#[test]
fn streams_go_on_at_a_host_that_missed_the_reports() {
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 4, "north");
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &endpoints);
    hosts[1].signal(Signal::SIGSTOP);
    overflow_packets(&hosts[1]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, EVENTS_BEFORE);
    thread::sleep(BEACON_TIME);

    hosts[1].signal(Signal::SIGCONT);
    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Returns the origin of a stream.
fn origin(attempt: u64) -> StreamOrigin {
    StreamOrigin {
        attempt: AttemptHash(attempt),
        service: "desk".into(),
        version: "v1".parse().expect("a valid version"),
    }
}

/// Guards against origins that never expire because hosts pass them on to each other.
#[test]
fn origins_expire_at_the_same_time_at_a_host_that_was_told_later() {
    let mut first = StreamOrigins::new();
    first.record(&origin(1), 1_000);
    let told_ms = 500;

    let groups = first.groups(1_000 + ORIGIN_LIFETIME_MS - 10);
    let mut second = StreamOrigins::new();
    let new_count: usize = groups
        .iter()
        .map(|group| second.record_group(group, told_ms))
        .sum();

    assert_eq!(new_count, 1);
    assert_eq!(second.groups(told_ms + 9).len(), 1);
    assert_eq!(second.groups(told_ms + 10).len(), 0);
}

/// Guards against more memory than for the streams that a host may keep, and drops the oldest.
#[test]
fn origins_that_are_fetched_are_bounded() {
    const BOUND: u64 = 16_384;
    let mut origins = StreamOrigins::new();
    for attempt in 0..2 * BOUND {
        origins.record(&origin(attempt), attempt / 8);
    }

    let groups = origins.groups(2 * BOUND / 8);

    let kept: Vec<u64> = groups
        .iter()
        .flat_map(|group| &group.attempts)
        .map(|aged| aged.attempt.0)
        .collect();
    assert_eq!(kept.len() as u64, BOUND);
    assert!(kept.iter().all(|attempt| *attempt >= BOUND));
}

/// Guards against a host that is asked again and again, or never a second time: what is reported
/// while others do not know the host yet may be in neither the first answer nor a report.
#[test]
fn a_host_fetches_origins_at_its_start_and_twice_more() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let (requests, _asked) = crossbeam::channel::bounded(1);
    let mut catch_up = OriginCatchUp::default();
    catch_up.set_requests(requests);

    let is_first_due = catch_up.is_due(100);
    catch_up.ask(address);
    let is_due_meanwhile = catch_up.is_due(150);
    let may_ask_again = catch_up.may_ask(address);
    catch_up.record_answer(true, 200);
    let is_due_at_once = catch_up.is_due(300);
    let is_second_due = catch_up.is_due(700);
    catch_up.finish(700);
    let is_third_due = catch_up.is_due(3_200);
    catch_up.finish(3_200);
    let is_due_again = catch_up.is_due(60_000);

    assert!(is_first_due && is_second_due && is_third_due);
    assert!(!is_due_meanwhile && !may_ask_again && !is_due_at_once && !is_due_again);
    assert!(catch_up.is_complete() && catch_up.has_answered(address));
}

/// Guards against a lookup that waits after all hosts have answered, or for ever for one that
/// does not.
#[test]
fn a_lookup_ends_with_the_last_answer_or_in_time() {
    let attempt = AttemptHash(7);
    let mut lookup = OriginLookup::new(Some(attempt), 1_000);
    lookup.set_hosts(vec!["host-2".into(), "host-3".into()]);

    let first = lookup.take_due(1_000).map(|(_, hosts)| hosts.len());
    lookup.record_unknown(&[attempt], "host-2");
    let is_over_early = lookup.is_over(1_010);
    let early = lookup.take_due(1_010).is_some();
    let repeated = lookup.take_due(1_200).map(|(_, hosts)| hosts.len());
    let is_over_in_time = lookup.is_over(1_400);
    lookup.record_unknown(&[attempt], "host-3");

    assert_eq!((first, early, repeated), (Some(2), false, Some(1)));
    assert!(!is_over_early && is_over_in_time);
    assert!(lookup.is_over(1_210));
}

/// Guards against a packet that the build before reads as another one: both are new.
#[test]
fn questions_for_origins_have_numbers_after_all_that_the_build_before_reads() {
    let question = Packet::OriginQuestion(OriginQuestion {
        attempts: vec![AttemptHash(1)],
    });
    let answer = Packet::OriginAnswer(OriginAnswer {
        host: "h".into(),
        known: None,
        unknown: Vec::new(),
    });

    let numbers = [question, answer].map(|packet| {
        let bytes = postcard::to_allocvec(&packet).expect("it is encoded");
        bytes[0]
    });

    assert_eq!(numbers, [11, 12]);
}
