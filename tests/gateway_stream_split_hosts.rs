//! Streams of split routes go on at hosts that came after they had begun.

mod gatewayenv;
mod splitenv;
mod streamenv;

use std::thread;

use gatewayenv::store_with_configuration;
use splitenv::{
    arrivals,
    assert_go_on_at,
    configure,
    endpoints_of_each,
    even,
    split,
    store_with, //
};
use streamenv::{
    ADDED_BEFORE,
    BEACON_TIME,
    EVENTS_BEFORE,
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
    versions,
    wait_known,
    wait_served, //
};

const SERVICES: [&str; 3] = ["desk-a", "desk-b", "desk-c"];
/// Versions of each service; all services name theirs alike.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Streams of a test, so that each version of each service gets some.
const STREAMS: usize = 48;
/// Guards against a host that was added and takes the version of a service that it draws for the
/// one that began a stream.
#[test]
fn streams_of_a_split_route_go_on_at_a_host_that_was_added() {
    let store = store_with(&split(7, &even(&SERVICES)));
    let endpoints = endpoints_of_each(&store, &SERVICES, &VERSIONS, "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against the same with one version of each service, from which a host that was told
/// nothing might conclude where a stream began.
#[test]
fn streams_of_services_with_one_version_go_on_at_a_host_that_was_added() {
    let store = store_with(&split(7, &even(&SERVICES)));
    let endpoints = endpoints_of_each(&store, &SERVICES, &VERSIONS[..1], "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against streams of a service that has left, which go on at hosts that know the origin but
/// not the former configuration.
#[test]
fn streams_of_the_services_that_stay_go_on_after_all_hosts_were_replaced_in_turn() {
    let store = store_with(&split(7, &even(&SERVICES)));
    let endpoints = endpoints_of_each(&store, &SERVICES, &VERSIONS, "north");
    let (mut first, mut second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);
    let third = add_host(&store, &options("host-3", "north"), &endpoints);
    let mut hosts = vec![third];
    thread::sleep(BEACON_TIME);
    stop(&mut second);
    configure(&store, &hosts, 8, &even(&SERVICES[..2]));
    kill(&mut first);
    let fourth = add_host(&store, &options("host-4", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);
    let arrivals_before = arrivals(&endpoints[8..]);

    kill(&mut hosts[0]);
    let responses = take_up_all(&begun, fourth.caller_address);

    assert_eq!(arrivals(&endpoints[8..]), arrivals_before);
    assert_go_on_at(&SERVICES[..2], begun, responses);
}

/// Guards against data of two services in one stream at a host that comes after the move of the
/// route: it knows the new service only.
#[test]
fn streams_of_a_route_that_moves_do_not_go_on_at_a_host_that_was_added() {
    let store = store_with(&split(7, &even(&SERVICES[..1])));
    let endpoints = endpoints_of_each(&store, &SERVICES[..2], &VERSIONS[..1], "north");
    let (mut first, second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);
    let hosts = vec![second];
    configure(&store, &hosts, 8, &even(&SERVICES[1..2]));
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);
    let arrivals_before = arrivals(&endpoints);

    kill(&mut first);
    let responses = take_up_all(&begun, added.caller_address);

    for response in &responses {
        assert_eq!(response.status, 503, "{:?}", versions(&response.text()));
    }
    assert_eq!(arrivals(&endpoints), arrivals_before);
}

/// Guards against the loss of the service on the way to another region: the hosts there are
/// restarted, and forward what they take up.
#[test]
fn streams_of_a_split_route_go_on_at_a_restarted_host_of_another_region() {
    let store = store_with(&split(7, &even(&SERVICES)));
    let endpoints = endpoints_of_each(&store, &SERVICES, &VERSIONS, "north");
    let places = [
        ("host-1", "north"),
        ("host-2", "north"),
        ("host-3", "south"),
        ("host-4", "south"),
    ];
    let mut hosts = start_hosts(&store, &places);
    wait_known(&hosts, &endpoints);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);
    kill(&mut hosts[3]);
    kill(&mut hosts[2]);
    let restarted = add_host(&store, &options("host-3", "south"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut hosts[0]);
    wait_served(&restarted);
    let responses = take_up_all(&begun, restarted.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a host that fetches what another one has not fetched itself: half of the hosts
/// are killed and restarted at once.
#[test]
fn streams_go_on_at_hosts_that_were_restarted_at_once() {
    let store = store_with(&split(7, &even(&SERVICES)));
    let endpoints = endpoints_of_each(&store, &SERVICES, &VERSIONS, "north");
    let names = ["host-1", "host-2", "host-3", "host-4"];
    let mut hosts = start_hosts(&store, &names.map(|name| (name, "north")));
    wait_known(&hosts, &endpoints);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);
    hosts[2..].iter_mut().for_each(kill);
    let restarted = add_hosts(&store, &names[2..], &endpoints);
    thread::sleep(ADDED_BEFORE);

    hosts[..2].iter_mut().for_each(kill);
    let responses = restarted
        .iter()
        .map(|host| take_up_all(&begun, host.caller_address))
        .collect::<Vec<_>>();

    for responses in &responses {
        assert_all_go_on(&begun, responses);
    }
}

/// Guards against the loss of some of many streams: the host that began them reports them in many
/// packets.
#[test]
fn many_streams_go_on_at_a_host_that_was_added() {
    const MANY_STREAMS: usize = 600;
    let store = store_with_configuration();
    let endpoints = endpoints_of_two_versions(&store, 20, "north");
    let (mut first, _second, begun) = hosts_with_streams(&store, &endpoints, MANY_STREAMS);
    let added = add_host(&store, &options("host-3", "north"), &endpoints);
    thread::sleep(ADDED_BEFORE);

    kill(&mut first);
    let responses = take_up_all(&begun, added.caller_address);

    assert_all_go_on(&begun, &responses);
}
