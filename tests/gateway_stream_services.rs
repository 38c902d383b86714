//! Streams go on at the service that began them, as long as the configuration lets their route go
//! there.

mod gatewayenv;
mod splitenv;
mod streamenv;

use std::collections::BTreeSet;

use cardamombridge::{
    gateway::{
        route_history::{
            HISTORY_MS,
            RouteHistory, //
        },
        stored_versions::ServedVersions, //
    },
    standin::scripted::ScriptedEndpoint,
};
use gatewayenv::{
    Request,
    route, //
};
use splitenv::{
    arrivals,
    assert_go_on_at,
    configure,
    endpoints_of,
    endpoints_of_each,
    even,
    service_of,
    split,
    store_with, //
};
use streamenv::{
    EVENTS_BEFORE,
    assert_all_go_on,
    assert_refused_at_once,
    begin,
    begin_and_leave,
    hosts_with_streams,
    kill,
    start_hosts,
    take_up,
    take_up_all,
    take_up_unknown,
    timed,
    versions,
    wait_known,
    wait_served, //
};

/// Streams of a test, so that each service of a split gets some.
const STREAMS: usize = 24;

/// Guards against a taken-up stream that is drawn to a service at which it did not begin, and
/// refused because that one does not serve its version.
#[test]
fn streams_of_a_split_route_go_on_at_their_service() {
    let services = ["desk-a", "desk-b", "desk-c"];
    let store = store_with(&split(7, &even(&services)));
    let endpoints: Vec<ScriptedEndpoint> = services
        .iter()
        .flat_map(|service| endpoints_of(&store, service, &format!("{service}-v1"), "north"))
        .collect();
    let (mut first, second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);

    kill(&mut first);
    let responses = take_up_all(&begun, second.caller_address);

    let found: BTreeSet<String> = begun.iter().map(service_of).collect();
    assert_eq!(found.len(), services.len(), "streams begin at all services");
    assert_all_go_on(&begun, &responses);
}

/// Guards against a stream that goes on at another service whose version has the same name.
#[test]
fn versions_of_two_services_with_the_same_name_are_told_apart() {
    let services = ["desk-a", "desk-b", "desk-c"];
    let store = store_with(&split(7, &even(&services)));
    let endpoints = endpoints_of_each(&store, &services, &["v1"], "north");
    let (mut first, second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);

    kill(&mut first);
    let responses = take_up_all(&begun, second.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a choice by weight for streams that have their service already, with two
/// versions of each service.
#[test]
fn streams_of_a_light_service_go_on_there() {
    let weights = [("desk-a", 1.0), ("desk-b", 3.0)];
    let store = store_with(&split(7, &weights));
    let endpoints = endpoints_of_each(&store, &["desk-a", "desk-b"], &["v1", "v2"], "north");
    let (mut first, second, begun) = hosts_with_streams(&store, &endpoints, STREAMS);

    kill(&mut first);
    let responses = take_up_all(&begun, second.caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against the same draw at a host of another region, which forwards the stream.
#[test]
fn streams_of_a_split_route_go_on_when_they_are_forwarded() {
    let services = ["desk-a", "desk-b"];
    let store = store_with(&split(7, &even(&services)));
    let endpoints = endpoints_of_each(&store, &services, &["v1"], "south");
    let places = [
        ("host-1", "north"),
        ("host-2", "north"),
        ("host-3", "south"),
    ];
    let mut hosts = start_hosts(&store, &places);
    wait_known(&hosts, &endpoints);
    wait_served(&hosts[0]);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);

    kill(&mut hosts[0]);
    wait_served(&hosts[1]);
    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against streams that go on at a service which has left the route, and against a refusal
/// of those of the services that stay.
#[test]
fn streams_of_a_service_that_leaves_a_split_are_refused() {
    let services = ["desk-a", "desk-b", "desk-c"];
    let store = store_with(&split(7, &even(&services)));
    let [first, second, third] =
        services.map(|service| endpoints_of(&store, service, "v1", "north"));
    let all: Vec<&ScriptedEndpoint> = first.iter().chain(&second).chain(&third).collect();
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &all);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);
    configure(&store, &hosts, 8, &even(&services[..2]));
    let arrivals_before = arrivals(&third);

    kill(&mut hosts[0]);
    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_eq!(arrivals(&third), arrivals_before);
    assert_go_on_at(&services[..2], begun, responses);
}

/// Guards against the same for a service that stays in the split with no share.
#[test]
fn streams_of_a_service_without_a_share_are_refused() {
    let services = ["desk-a", "desk-b"];
    let store = store_with(&split(7, &even(&services)));
    let [first, second] = services.map(|service| endpoints_of(&store, service, "v1", "north"));
    let all: Vec<&ScriptedEndpoint> = first.iter().chain(&second).collect();
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &all);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);
    configure(&store, &hosts, 8, &[("desk-a", 1.0), ("desk-b", 0.0)]);
    let arrivals_before = arrivals(&second);

    kill(&mut hosts[0]);
    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_eq!(arrivals(&second), arrivals_before);
    assert_go_on_at(&services[..1], begun, responses);
}

/// Guards against a stream that goes on at either service after its route has moved: the old one
/// gets nothing more, and the new one did not begin it.
#[test]
fn streams_of_a_route_that_moves_are_refused_at_once() {
    let store = store_with(&split(7, &even(&["desk-a"])));
    let old = endpoints_of(&store, "desk-a", "v1", "north");
    let new = endpoints_of(&store, "desk-b", "v1", "north");
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &old.iter().chain(&new).collect::<Vec<_>>());
    let begun = begin_and_leave(&hosts[0], 1, EVENTS_BEFORE);
    configure(&store, &hosts, 8, &even(&["desk-b"]));
    let arrivals_before = arrivals(&old);

    kill(&mut hosts[0]);
    let request = take_up("a-again", &begun[0].attempt, &begun[0].received);
    let (response, took) = timed(&request, hosts[1].caller_address);

    assert_refused_at_once(&response, took);
    assert_eq!((arrivals(&old), arrivals(&new)), (arrivals_before, 0));
}

/// Guards against data of two services in one stream: a host takes the only version of the service
/// that it has drawn for the one that began the stream.
#[test]
fn stream_of_unknown_beginning_is_refused_while_its_route_is_split() {
    let services = ["desk-a", "desk-b"];
    let store = store_with(&split(7, &even(&services)));
    let endpoints = services.map(|service| endpoints_of(&store, service, "v1", "north"));
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &endpoints.iter().flatten().collect::<Vec<_>>());

    let (response, took) = timed(&take_up_unknown("a-1"), hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert!(endpoints.iter().all(|one| arrivals(one) == 0));
}

/// Guards against the same a moment after the route has moved, when only one service is left.
#[test]
fn stream_of_unknown_beginning_is_refused_after_its_route_has_moved() {
    let store = store_with(&split(7, &even(&["desk-a"])));
    let old = endpoints_of(&store, "desk-a", "v1", "north");
    let new = endpoints_of(&store, "desk-b", "v1", "north");
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &old.iter().chain(&new).collect::<Vec<_>>());
    configure(&store, &hosts, 8, &even(&["desk-b"]));

    let (response, took) = timed(&take_up_unknown("a-1"), hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert_eq!((arrivals(&old), arrivals(&new)), (0, 0));
}

/// Guards against the same at a host that came after the move, with nobody left who knows it.
#[test]
fn streams_do_not_go_on_after_their_route_has_moved_and_all_hosts_were_killed() {
    let store = store_with(&split(7, &even(&["desk-a"])));
    let old = endpoints_of(&store, "desk-a", "v1", "north");
    let new = endpoints_of(&store, "desk-b", "v1", "north");
    let all: Vec<&ScriptedEndpoint> = old.iter().chain(&new).collect();
    let mut hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &all);
    let begun = begin_and_leave(&hosts[0], STREAMS, EVENTS_BEFORE);
    configure(&store, &hosts, 8, &even(&["desk-b"]));
    let item = "item of served versions written\",\"key\":\"cardamombridge/versions/desk-b";
    hosts[0].wait_log(item);
    let arrivals_before = arrivals(&old);

    kill(&mut hosts[0]);
    let hosts = start_hosts(&store, &[("host-2", "north")]);
    wait_known(&hosts, &all);
    let responses = take_up_all(&begun, hosts[0].caller_address);

    for response in &responses {
        assert_eq!(response.status, 503, "{:?}", versions(&response.text()));
    }
    assert_eq!((arrivals(&old), arrivals(&new)), (arrivals_before, 0));
}

/// Guards against a refusal of streams that can only have begun at one service, while routes of
/// other requests go to others.
#[test]
fn stream_of_unknown_beginning_goes_on_beside_routes_to_other_services() {
    let mut all = split(7, &even(&["desk-a"]));
    let mut other = route("talk", "streaming", 2, true);
    other["backend"] = "desk-b".into();
    all["routes"].as_array_mut().expect("a list").push(other);
    let store = store_with(&all);
    let own = endpoints_of(&store, "desk-a", "v1", "north");
    let others = endpoints_of(&store, "desk-b", "v2", "north");
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &own.iter().chain(&others).collect::<Vec<_>>());

    let response = take_up_unknown("a-1").send(hosts[0].caller_address);

    assert_eq!(response.status, 200);
    assert_eq!(arrivals(&others), 0);
}

/// Guards against an item of the build before that reads as "no route": it names none.
#[test]
fn an_item_without_routes_allows_no_conclusion() {
    let item: ServedVersions =
        serde_json::from_str(r#"{"versions":["v1"]}"#).expect("it is decoded");
    let mut history = RouteHistory::default();

    history.record_served(&"desk-a".into(), &item, 0);

    let allows = |service, now_ms| history.allows_only(service, "shop.example", "/chat/1", now_ms);
    assert!(allows("desk-a", 1));
    assert!(!allows("desk-b", 1));
    assert!(allows("desk-b", HISTORY_MS));
    assert_eq!(history.routes_of("desk-a", 1), None);
    assert_eq!(
        history.routes_of("desk-a", HISTORY_MS),
        Some(BTreeSet::new())
    );
}

/// Guards against a former service that is never forgotten, because hosts read in the items what
/// they wrote themselves.
#[test]
fn an_item_does_not_extend_what_is_remembered() {
    let text = r#"{"versions":["v1"],"routes":["shop.example/chat/"]}"#;
    let item: ServedVersions = serde_json::from_str(text).expect("it is decoded");
    assert_eq!(serde_json::to_string(&item).expect("it is encoded"), text);
    let mut history = RouteHistory::default();
    let service = "desk-a".into();

    history.record_served(&service, &item, 0);
    history.record_served(&service, &item, HISTORY_MS - 1);

    let allows = |path, now_ms| history.allows_only("desk-b", "Shop.Example", path, now_ms);
    assert!(!allows("/chat/1", HISTORY_MS - 1));
    assert!(allows("/talk/1", HISTORY_MS - 1));
    assert!(allows("/chat/1", HISTORY_MS));
}

/// Guards against new streams that no longer follow the weights of a split.
#[test]
fn new_streams_follow_the_weights() {
    const NEW_STREAMS: usize = 200;
    let store = store_with(&split(7, &[("desk-a", 1.0), ("desk-b", 9.0)]));
    let light = endpoints_of(&store, "desk-a", "v1", "north");
    let heavy = endpoints_of(&store, "desk-b", "v1", "north");
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &light.iter().chain(&heavy).collect::<Vec<_>>());

    for wave in 0..NEW_STREAMS / STREAMS {
        let requests: Vec<Request> = (0..STREAMS)
            .map(|number| begin(&format!("a-{wave}-{number}")))
            .collect();
        let address = hosts[0].caller_address;
        std::thread::scope(|scope| {
            for request in &requests {
                scope.spawn(move || assert_eq!(request.send(address).status, 200));
            }
        });
    }

    let (light, heavy) = (arrivals(&light) as f64, arrivals(&heavy) as f64);
    let share = light / (light + heavy);
    // Five standard deviations of 192 draws around a tenth.
    assert!((share - 0.1).abs() < 0.11, "share {share}");
}
