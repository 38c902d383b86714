//! Streams go on only at endpoints of the software version that began them, within a
//! response and over the attempts of a caller.

mod gatewayenv;
mod streamenv;

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        Barrier, //
    },
    thread,
    time::Duration, //
};

use cardamombridge::standin::{
    metadata_store::{
        MetadataStore,
        StoreFault, //
    },
    scripted::Script,
    wire::Wire, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Response,
    store_with_configuration,
    wait_until, //
};
use nix::sys::signal::Signal;
use streamenv::{
    BEACON_TIME,
    Begun,
    EVENT_COUNT,
    EVENT_PAUSE,
    SILENT_REFUSAL_LIMIT,
    STREAM_COUNT,
    Stream,
    assert_all_go_on,
    assert_refused_at_once,
    assert_whole_stream_of_one_version,
    begin,
    begin_and_leave,
    breaking_endpoint,
    event_count,
    events,
    first_event,
    options,
    release,
    scripted_endpoint,
    start_hosts,
    take_up,
    take_up_all,
    take_up_unknown,
    timed,
    versions,
    wait_known,
    whole_endpoint, //
};

/// Guards against a response that goes on at an idle endpoint of another version after
/// its endpoint broke off.
#[test]
fn broken_stream_goes_on_at_the_version_that_began_it() {
    let store = store_with_configuration();
    let end = EVENT_COUNT / 2;
    let first = breaking_endpoint(&store, "old-1", "v1", "north", end);
    let second = breaking_endpoint(&store, "old-2", "v1", "north", end);
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&first, &second]);
    hosts[0].earn_repeats(STREAM_COUNT as u32 + 1);
    let address = hosts[0].caller_address;
    let callers: Vec<_> = (0..STREAM_COUNT)
        .map(|number| thread::spawn(move || begin(&format!("a-{number}")).send(address)))
        .collect();
    wait_until("all streams have begun", || {
        first.runs().len() + second.runs().len() >= STREAM_COUNT
    });

    let released = release(&store, &hosts, "north");

    for (number, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller ends");
        assert!(response.is_complete, "a-{number} was cut off");
        assert_whole_stream_of_one_version(&response.text(), &format!("a-{number}"));
    }
    assert!(released.iter().all(|endpoint| endpoint.runs().is_empty()));
}

/// Guards against a response that goes on at another version because no endpoint of its
/// own is left.
#[test]
fn broken_stream_is_cut_off_if_only_another_version_is_left() {
    let store = store_with_configuration();
    let old = whole_endpoint(&store, "old-1", "v1", "north");
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old]);
    let mut stream = Stream::open(&begin("a-1"), hosts[0].caller_address).expect("a stream");
    stream.read_events(2);
    let released = release(&store, &hosts, "north");

    old.stop();
    let text = stream.read_events(EVENT_COUNT as usize);

    assert_eq!(versions(&text), BTreeSet::from(["v1"]));
    assert!(!stream.decoder.is_done(), "the response looks complete");
    assert!(released.iter().all(|endpoint| endpoint.runs().is_empty()));
}

/// Guards against a forwarded response that goes on at another version after it broke
/// off: its own region now has endpoints of that version.
#[test]
fn broken_forwarded_stream_does_not_go_on_at_another_version() {
    let store = store_with_configuration();
    let old = breaking_endpoint(&store, "old-1", "v1", "south", EVENT_COUNT / 2);
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    wait_known(&hosts, &[&old]);
    let address = hosts[0].caller_address;
    let callers: Vec<_> = (0..STREAM_COUNT)
        .map(|number| thread::spawn(move || begin(&format!("a-{number}")).send(address)))
        .collect();
    wait_until("all streams have begun", || {
        old.runs().len() >= STREAM_COUNT
    });

    let released = release(&store, &hosts, "north");

    for caller in callers {
        let text = caller.join().expect("a caller ends").text();
        assert_eq!(versions(&text), BTreeSet::from(["v1"]));
    }
    assert!(released.iter().all(|endpoint| endpoint.runs().is_empty()));
}

/// Guards against a taken-up stream that goes on at another version although the host
/// itself began it.
#[test]
fn taken_up_stream_goes_on_at_its_version_at_the_same_host() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);
    let _released = release(&store, &hosts, "north");

    let responses = take_up_all(&begun, hosts[0].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a stream that changes its version when it is taken up a second time,
/// which names the attempt that brought its first event, not the latest one.
#[test]
fn stream_taken_up_twice_goes_on_at_its_version() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let mut begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);
    let _released = release(&store, &hosts, "north");

    for stream in &mut begun {
        let attempt = format!("{}-second", stream.attempt);
        let request = take_up(&attempt, &stream.attempt, &stream.received);
        let mut second = Stream::open(&request, hosts[1].caller_address).expect("a stream");
        stream.received.push_str(&second.read_events(2));
    }
    let responses = take_up_all(&begun, hosts[0].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a taken-up stream that goes on at another version because another
/// host of the region began it.
#[test]
fn taken_up_stream_goes_on_at_its_version_at_another_host() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);
    let _released = release(&store, &hosts, "north");

    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a taken-up stream that goes on at another version because a host of
/// another region began it.
#[test]
fn taken_up_stream_goes_on_at_its_version_in_another_region() {
    let store = store_with_configuration();
    let old = [("old-1", "north"), ("old-2", "north"), ("old-3", "south")]
        .map(|(id, region)| whole_endpoint(&store, id, "v1", region));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    wait_known(&hosts, &[&old[0], &old[1], &old[2]]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 10);
    let _released = ["north", "south"].map(|region| release(&store, &hosts, region));

    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a refusal of streams that are taken up in another region as soon as
/// their own region is lost.
#[test]
fn stream_taken_up_in_another_region_at_once_goes_on() {
    const EVENTS_BEFORE_LOSS: usize = 6;
    let store = store_with_configuration();
    let _endpoints = [("e-1", "v1"), ("e-2", "v2")].map(|(id, version)| {
        ["north", "south"]
            .map(|region| whole_endpoint(&store, &format!("{region}-{id}"), version, region))
    });
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    let callers: Vec<_> = (0..STREAM_COUNT)
        .map(|number| {
            let (north, south) = (hosts[0].caller_address, hosts[1].caller_address);
            thread::spawn(move || {
                thread::sleep(EVENT_PAUSE * 2 * number as u32);
                let attempt = format!("a-{number}");
                let mut stream = Stream::open(&begin(&attempt), north).expect("a stream");
                let received = stream.read_events(EVENTS_BEFORE_LOSS);
                drop(stream);
                let response = take_up("again", &attempt, &received).send(south);
                (Begun { attempt, received }, response)
            })
        })
        .collect();

    let (begun, responses): (Vec<Begun>, Vec<Response>) = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller ends"))
        .unzip();

    assert_all_go_on(&begun, &responses);
}

/// Guards against a taken-up stream that goes on at another version because an endpoint
/// of another region began it through a forward.
#[test]
fn taken_up_forwarded_stream_goes_on_at_its_version() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "south"));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let mut begun = begin_and_leave(&hosts[0], STREAM_COUNT * 2, 10);
    let at_south = begun.split_off(STREAM_COUNT);
    let _released = ["north", "south"].map(|region| release(&store, &hosts, region));

    let responses = take_up_all(&begun, hosts[0].caller_address);
    let south_responses = take_up_all(&at_south, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
    assert_all_go_on(&at_south, &south_responses);
}

/// Guards against a beginning that only the host of the stream knew: it is killed right
/// after the first events.
#[test]
fn stream_of_a_killed_host_goes_on_at_its_version() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let _released = release(&store, &hosts, "north");
    let address = hosts[0].caller_address;
    let mut streams: Vec<(String, Stream)> = (0..STREAM_COUNT)
        .map(|number| format!("a-{number}"))
        .map(|attempt| {
            let stream = Stream::open(&begin(&attempt), address).expect("a stream");
            (attempt, stream)
        })
        .collect();
    let newest = streams.last_mut().expect("a stream");
    newest.1.read_events(2);

    hosts[0].signal(Signal::SIGKILL);
    hosts[0].wait_end(Duration::from_secs(5));
    let begun: Vec<Begun> = streams
        .into_iter()
        .map(|(attempt, mut stream)| {
            let received = stream.read_events(EVENT_COUNT as usize);
            Begun { attempt, received }
        })
        .collect();
    let responses = take_up_all(&begun, hosts[1].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a taken-up stream of unknown beginning that goes on at any version.
#[test]
fn stream_of_unknown_beginning_is_refused_while_two_versions_serve() {
    let store = store_with_configuration();
    let endpoints = [("e-1", "v1"), ("e-2", "v2")]
        .map(|(id, version)| whole_endpoint(&store, id, version, "north"));
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&endpoints[0], &endpoints[1]]);
    let request = begin("a-1")
        .with_header("Last-Event-Id", "2")
        .with_header("Resumes", "a-unknown");

    let (response, took) = timed(&request, hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert!(
        endpoints
            .iter()
            .all(|endpoint| endpoint.arrivals().is_empty())
    );
}

/// Guards against a taken-up stream of unknown beginning that goes on because the
/// region of the host has a single version, although another region has another one.
#[test]
fn stream_of_unknown_beginning_is_refused_while_another_region_has_another_version() {
    let store = store_with_configuration();
    let endpoints = [("e-1", "v1", "north"), ("e-2", "v2", "south")]
        .map(|(id, version, region)| whole_endpoint(&store, id, version, region));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    wait_known(&hosts, &[&endpoints[0], &endpoints[1]]);
    let request = begin("a-1")
        .with_header("Last-Event-Id", "2")
        .with_header("Resumes", "a-unknown");

    let (response, took) = timed(&request, hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert!(
        endpoints
            .iter()
            .all(|endpoint| endpoint.arrivals().is_empty())
    );
}

/// Guards against a refusal of streams of unknown beginning while no other version could
/// have begun them.
#[test]
fn stream_of_unknown_beginning_goes_on_while_a_single_version_serves() {
    let store = store_with_configuration();
    let endpoints = [("e-1", "north"), ("e-2", "south")]
        .map(|(id, region)| whole_endpoint(&store, id, "v1", region));
    let hosts = start_hosts(&store, &[("host-1", "north"), ("host-3", "south")]);
    wait_known(&hosts, &[&endpoints[0], &endpoints[1]]);
    let request = begin("a-1")
        .with_header("Last-Event-Id", "2")
        .with_header("Resumes", "a-unknown");

    let response = request.send(hosts[0].caller_address);

    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert_eq!(event_count(&response.text()) as u64, EVENT_COUNT - 3);
}

/// Guards against a taken-up stream that waits, or goes on at another version, after all
/// endpoints of its version have gone.
#[test]
fn taken_up_stream_is_refused_at_once_if_its_version_is_gone() {
    let store = store_with_configuration();
    let mut old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let begun = begin_and_leave(&hosts[0], 1, 3);
    let released = release(&store, &hosts, "north");
    for endpoint in &mut old {
        store.delete(&format!("servers/{}", endpoint.id()));
        endpoint.stop();
    }
    for endpoint in &old {
        let id = endpoint.id();
        hosts[0].wait_log(&format!(
            "\"endpoint is no longer announced\",\"endpoint\":\"{id}\""
        ));
    }

    let request = take_up("a-0-again", &begun[0].attempt, &begun[0].received);
    let (response, took) = timed(&request, hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert!(
        released
            .iter()
            .all(|endpoint| endpoint.arrivals().is_empty())
    );
}

/// Guards against a taken-up stream that goes on at another version because all
/// endpoints of its own refuse it.
#[test]
fn taken_up_stream_is_refused_if_its_version_refuses_it() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| {
        scripted_endpoint(&store, id, "v1", "north", |_, arrival| {
            match first_event(arrival) {
                0 => events(0, EVENT_COUNT, true),
                _ => Script::NotRun,
            }
        })
    });
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let begun = begin_and_leave(&hosts[0], 1, 3);
    let released = release(&store, &hosts, "north");

    let request = take_up("a-0-again", &begun[0].attempt, &begun[0].received);
    let (response, took) = timed(&request, hosts[0].caller_address);

    assert_refused_at_once(&response, took);
    assert!(
        released
            .iter()
            .all(|endpoint| endpoint.arrivals().is_empty())
    );
}

/// Guards against streams of a killed host that change their version, or of which most
/// are refused, while both versions serve.
#[test]
fn most_streams_of_a_killed_host_go_on_at_their_versions() {
    const BEGUN_COUNT: usize = 40;
    let store = store_with_configuration();
    let endpoints = [("e-1", "v1"), ("e-2", "v2"), ("e-3", "v1"), ("e-4", "v2")]
        .map(|(id, version)| whole_endpoint(&store, id, version, "north"));
    let mut hosts = start_hosts(&store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, &endpoints.iter().collect::<Vec<_>>());
    let address = hosts[0].caller_address;
    let all_begun = Arc::new(Barrier::new(BEGUN_COUNT + 1));
    let callers: Vec<_> = (0..BEGUN_COUNT)
        .map(|number| {
            let all_begun = Arc::clone(&all_begun);
            thread::spawn(move || {
                let attempt = format!("a-{number}");
                let mut stream = Stream::open(&begin(&attempt), address).expect("a stream");
                stream.read_events(1 + number % 3);
                all_begun.wait();
                let received = stream.read_events(EVENT_COUNT as usize);
                Begun { attempt, received }
            })
        })
        .collect();
    all_begun.wait();

    hosts[0].signal(Signal::SIGKILL);
    hosts[0].wait_end(Duration::from_secs(5));
    let begun: Vec<Begun> = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller ends"))
        .collect();
    let responses = take_up_all(&begun, hosts[1].caller_address);

    let mut gone_on = 0;
    for (stream, response) in begun.iter().zip(&responses) {
        let is_broken = event_count(&stream.received) < EVENT_COUNT as usize;
        assert!(is_broken, "{} had ended before the kill", stream.attempt);
        if response.status == 200 {
            let text = format!("{}{}", stream.received, response.text());
            assert_whole_stream_of_one_version(&text, &stream.attempt);
            gone_on += 1;
        }
    }
    assert!(
        gone_on * 2 > BEGUN_COUNT,
        "only {gone_on} of {BEGUN_COUNT} went on"
    );
}

/// Guards against streams that go on at another version because the only host was killed and
/// does not know the version that served before it started.
#[test]
fn stream_does_not_go_on_at_a_version_that_came_while_all_hosts_were_down() {
    let store = store_with_configuration();
    let old = whole_endpoint(&store, "e-old", "v1", "north");
    let mut hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);
    wait_until("the versions are stored", || {
        !store.keys("cardamombridge/versions/").is_empty()
    });

    hosts[0].signal(Signal::SIGKILL);
    let new = whole_endpoint(&store, "e-new", "v2", "north");
    store.delete("servers/e-old");
    hosts = start_hosts(&store, &[("host-2", "north")]);
    wait_known(&hosts, &[&new]);
    let responses = take_up_all(&begun, hosts[0].caller_address);

    for response in &responses {
        assert_eq!(response.status, 503, "{:?}", versions(&response.text()));
    }
    assert!(new.arrivals().is_empty(), "a stream went on at v2");
}

/// Guards against a refusal of all streams after all hosts were killed while a single version
/// served all the time.
#[test]
fn streams_go_on_after_a_kill_of_all_hosts_while_a_single_version_serves() {
    let store = store_with_configuration();
    let endpoint = whole_endpoint(&store, "e-1", "v1", "north");
    let mut hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&endpoint]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);

    hosts[0].signal(Signal::SIGKILL);
    hosts = start_hosts(&store, &[("host-2", "north")]);
    wait_known(&hosts, &[&endpoint]);
    let responses = take_up_all(&begun, hosts[0].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Starts a host whose path to the store can be frozen.
fn host_behind_wire(store: &MetadataStore) -> (Wire, Vec<Host>) {
    let wire = Wire::start(store.address(), 1).expect("the wire starts");
    let options = HostOptions {
        store: Some(wire.address()),
        ..options("host-1", "north")
    };
    let hosts = vec![Host::start(store, &options)];
    (wire, hosts)
}

/// Guards against a stream that goes on at another version because a host takes the silence of
/// the store for "no other version has joined".
#[test]
fn stream_of_unknown_beginning_is_refused_while_the_store_is_silent() {
    let store = store_with_configuration();
    let old = whole_endpoint(&store, "e-old", "v1", "north");
    let (wire, hosts) = host_behind_wire(&store);
    wait_known(&hosts, &[&old]);
    thread::sleep(BEACON_TIME);

    wire.set_frozen(true);
    let _new = whole_endpoint(&store, "e-new", "v2", "north");
    let address = hosts[0].caller_address;
    let (first, first_took) = timed(&take_up_unknown("a-1"), address);
    let (second, second_took) = timed(&take_up_unknown("a-2"), address);

    assert_eq!(first.status, 503, "events {:?}", versions(&first.text()));
    assert!(first_took < SILENT_REFUSAL_LIMIT, "it took {first_took:?}");
    assert_refused_at_once(&second, second_took);
    assert!(old.arrivals().is_empty(), "a stream went on at v1");
}

/// Guards against a stream that goes on at another version because the store names a newer
/// revision without the change that brought it.
#[test]
fn stream_of_unknown_beginning_is_refused_while_the_store_withholds_changes() {
    let store = store_with_configuration();
    let old = whole_endpoint(&store, "e-old", "v1", "north");
    let hosts = start_hosts(&store, &[("host-1", "north")]);
    wait_known(&hosts, &[&old]);

    store.set_fault(StoreFault::DeafWatches);
    let _new = whole_endpoint(&store, "e-new", "v2", "north");
    let response = take_up_unknown("a-1").send(hosts[0].caller_address);

    assert_eq!(response.status, 503, "{:?}", versions(&response.text()));
    assert!(old.arrivals().is_empty(), "a stream went on at v1");
}

/// Guards against a refusal of streams that can go on safely while the store is silent: the
/// host knows their beginning.
#[test]
fn stream_of_known_beginning_goes_on_while_the_store_is_silent() {
    let store = store_with_configuration();
    let old = ["old-1", "old-2"].map(|id| whole_endpoint(&store, id, "v1", "north"));
    let (wire, hosts) = host_behind_wire(&store);
    wait_known(&hosts, &[&old[0], &old[1]]);
    let begun = begin_and_leave(&hosts[0], STREAM_COUNT, 3);

    wire.set_frozen(true);
    let _new = whole_endpoint(&store, "e-new", "v2", "north");
    let responses = take_up_all(&begun, hosts[0].caller_address);

    assert_all_go_on(&begun, &responses);
}

/// Guards against a refusal of a stream of unknown beginning because the store answers late,
/// as from another region.
#[test]
fn stream_of_unknown_beginning_waits_for_the_answer_of_the_store() {
    const STORE_DELAY: Duration = Duration::from_millis(80);
    let store = store_with_configuration();
    let endpoint = whole_endpoint(&store, "e-1", "v1", "north");
    let (wire, hosts) = host_behind_wire(&store);
    wait_known(&hosts, &[&endpoint]);

    wire.set_delay(STORE_DELAY);
    let (response, took) = timed(&take_up_unknown("a-1"), hosts[0].caller_address);

    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert!(took > STORE_DELAY * 2, "it took {took:?}");
}

/// Guards against a refusal of a stream that comes while the store is being asked for another one:
/// that answer covers nothing for it, so it waits for two answers.
#[test]
fn stream_of_unknown_beginning_waits_for_the_next_answer_of_the_store() {
    const STORE_DELAY: Duration = Duration::from_millis(200);
    let store = store_with_configuration();
    let endpoint = whole_endpoint(&store, "e-1", "v1", "north");
    let (wire, hosts) = host_behind_wire(&store);
    wait_known(&hosts, &[&endpoint]);
    let address = hosts[0].caller_address;

    wire.set_delay(STORE_DELAY);
    let first = thread::spawn(move || take_up_unknown("a-1").send(address));
    thread::sleep(STORE_DELAY / 2);
    let second = take_up_unknown("a-2").send(address);

    let first = first.join().expect("a caller ends");
    assert_eq!((first.status, second.status), (200, 200));
}
