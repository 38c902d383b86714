//! One request that comes again and again and crashes each endpoint that runs it.

mod gatewayenv;

use std::{
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::{
    metadata_store::MetadataStore,
    scripted::{
        Arrival,
        Script,
        ScriptedEndpoint, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    announce,
    store_with_configuration,
    wait_until, //
};
use nix::sys::signal::Signal;

const LIMIT_MS: u64 = 5_000;
/// Body of the crashing request.
const BAD_BODY: &[u8] = b"bad";
const ENDPOINT_COUNT: usize = 40;
/// Time after which all hosts in touch know what any of them knows.
const CONTACT: Duration = Duration::from_secs(6);
/// Crashes after which the bound on further runs holds.
const KNOWN_CRASHES: usize = 3;
/// Runs that may still begin afterwards.
const MAX_LATE_RUNS: usize = 3;
/// Endpoints that may end: by three crashes, by late runs, and by two that were under way.
const MAX_ENDED: usize = KNOWN_CRASHES + MAX_LATE_RUNS + 2;
/// The same if three attempts overlap, whose crashes count as one.
const MAX_ENDED_BY_OVERLAPS: usize = 3 * KNOWN_CRASHES + MAX_LATE_RUNS + 2;
const BAD_PAUSE: Duration = Duration::from_millis(200);
const FLOOD_TIME: Duration = Duration::from_secs(13);
const PROMPT: &str = "a1:100,b2:50,c3:10";

fn is_bad(arrival: &Arrival) -> bool {
    arrival.path.ends_with("/bad") || arrival.body == BAD_BODY
}

fn events() -> Script {
    Script::Events {
        first: 0,
        end: 4,
        pause: Duration::from_millis(10),
        is_whole: true,
    }
}

/// Starts endpoints, in turn in `regions`, that end when they run the crashing request, as
/// `crash` says.
fn start_endpoints(
    store: &MetadataStore,
    regions: &[&str],
    crash: &Script,
) -> Vec<ScriptedEndpoint> {
    (0..ENDPOINT_COUNT)
        .map(|index| {
            let crash = crash.clone();
            let script = move |_, arrival: &Arrival| match is_bad(arrival) {
                true => crash.clone(),
                false if arrival.path.starts_with("/read/") => {
                    Script::Answer(200, b"answer".to_vec())
                }
                false if arrival.path.starts_with("/book/") => {
                    Script::Answer(200, b"booked".to_vec())
                }
                false => events(),
            };
            let endpoint = ScriptedEndpoint::start(&format!("e-{index}"), script);
            let endpoint = endpoint.expect("the endpoint starts");
            announce(store, &endpoint, regions[index % regions.len()]);
            endpoint
        })
        .collect()
}

fn start_host(store: &MetadataStore, name: &'static str, region: &'static str) -> Host {
    let options = HostOptions::new(name, region);
    let host = Host::start(store, &options);
    host.wait_log(&format!("\"e-{}\"", ENDPOINT_COUNT - 1));
    host
}

fn start_hosts(store: &MetadataStore, regions: [&'static str; 3]) -> Vec<Host> {
    let names = ["host-1", "host-2", "host-3"];
    let hosts = names.iter().zip(regions);
    hosts
        .map(|(name, region)| start_host(store, name, region))
        .collect()
}

/// Ends an endpoint shortly after it has begun, without a byte.
fn crash_soon() -> Script {
    Script::After(Duration::from_millis(20), Box::new(Script::Crash))
}

/// Sends the crashing request and three sound ones in turn to all hosts; returns the answers
/// to the sound ones.
fn send_mixed<B, S>(hosts: &[Host], bad: B, sound: S) -> Vec<Response>
where
    B: Fn(&str) -> Request,
    S: Fn(usize) -> Request,
{
    let answers = Mutex::new(Vec::new());
    let deadline = Instant::now() + FLOOD_TIME;
    thread::scope(|scope| {
        let mut number = 0;
        while Instant::now() < deadline {
            let address = |number: usize| hosts[number % hosts.len()].caller_address;
            number += 1;
            let request = bad(&format!("bad-{number}"));
            let bad_address = address(number);
            scope.spawn(move || request.try_send(bad_address));
            thread::sleep(BAD_PAUSE / 2);
            for next in 0..3 {
                let (request, address) = (sound(number * 3 + next), address(number + next));
                let answers = &answers;
                scope.spawn(move || {
                    let answer = request.send(address);
                    answers.lock().expect("no panic").push(answer);
                });
            }
            thread::sleep(BAD_PAUSE / 2);
        }
    });
    answers.into_inner().expect("no panic")
}

fn bad_runs(endpoints: &[ScriptedEndpoint]) -> Vec<Instant> {
    let runs = endpoints.iter().flat_map(ScriptedEndpoint::runs);
    let mut times: Vec<Instant> = runs.filter(is_bad).map(|run| run.at).collect();
    times.sort_unstable();
    times
}

/// Checks the bound on late runs, and that few endpoints end and callers of sound requests
/// are served.
fn check(endpoints: &[ScriptedEndpoint], sound: &[Response], most_ended: usize) {
    let runs = bad_runs(endpoints);
    let known = runs[KNOWN_CRASHES - 1] + CONTACT;
    let late = runs.iter().filter(|at| **at > known).count();
    let ended = endpoints.iter().filter(|one| !one.is_running()).count();
    let served = sound
        .iter()
        .filter(|one| one.status == 200 && one.is_complete);
    let served = served.count();
    println!(
        "{ended} ended, {late} late, {served} of {} served",
        sound.len()
    );
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
    assert!(ended <= most_ended, "{ended} endpoints ended");
    assert!(
        served * 10 >= sound.len() * 9,
        "{served} of {} served",
        sound.len()
    );
}

fn read(path: &str, attempt: &str) -> Request {
    Request::get(path).with_attempt(attempt, LIMIT_MS)
}

fn post(path: &str, body: &[u8], attempt: &str) -> Request {
    Request::post(path, body).with_attempt(attempt, LIMIT_MS)
}

fn prompt(path: &str, body: &[u8], parts: &str, attempt: &str) -> Request {
    post(path, body, attempt)
        .with_header("X-Model", "m")
        .with_header("X-Token-Counts", "160,10")
        .with_header("X-Prompt-Prefix", parts)
}

/// Guards against a request without a prompt that ends one endpoint after the other, with
/// the help of repeats.
#[test]
fn repeatable_request_that_crashes_endpoints_stops_reaching_them() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, &["north"], &crash_soon());
    let hosts = start_hosts(&store, ["north"; 3]);

    let sound = send_mixed(
        &hosts,
        |attempt| read("/read/bad", attempt),
        |number| read("/read/1", &format!("{number:x}")),
    );

    check(&endpoints, &sound, MAX_ENDED);
}

/// Guards against the same with a request that runs once only.
#[test]
fn unrepeatable_request_that_crashes_endpoints_stops_reaching_them() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, &["north"], &crash_soon());
    let hosts = start_hosts(&store, ["north"; 3]);

    let sound = send_mixed(
        &hosts,
        |attempt| post("/book/1", BAD_BODY, attempt),
        |number| {
            post(
                "/book/1",
                format!("{number}").as_bytes(),
                &format!("{number:x}"),
            )
        },
    );

    check(&endpoints, &sound, MAX_ENDED);
}

/// Guards against parts that are blamed for a request that shares them with sound ones, and
/// against regions that do not tell each other.
#[test]
fn prompt_that_crashes_endpoints_stops_reaching_them_in_all_regions() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, &["north", "south"], &crash_soon());
    let hosts = start_hosts(&store, ["north", "south", "north"]);
    thread::sleep(Duration::from_millis(1_200));

    let sound = send_mixed(
        &hosts,
        |attempt| prompt("/draft/1", BAD_BODY, PROMPT, attempt),
        |number| {
            let parts = format!("a1:100,b2:50,f{number:x}:10");
            let body = format!("{number}");
            prompt("/draft/1", body.as_bytes(), &parts, &format!("{number:x}"))
        },
    );

    check(&endpoints, &sound, MAX_ENDED);
}

/// Guards against a stream that counts as sound because the crash comes after its first
/// events.
#[test]
fn stream_that_crashes_endpoints_after_events_stops_reaching_them() {
    let store = store_with_configuration();
    let crash = Script::CrashAfterEvents {
        count: 3,
        pause: Duration::from_millis(200),
    };
    let endpoints = start_endpoints(&store, &["north"], &crash);
    let hosts = start_hosts(&store, ["north"; 3]);

    let sound = send_mixed(
        &hosts,
        |attempt| prompt("/chat/1", BAD_BODY, PROMPT, attempt),
        |number| {
            let parts = format!("a1:100,b2:50,f{number:x}:10");
            let body = format!("{number}");
            prompt("/chat/1", body.as_bytes(), &parts, &format!("{number:x}"))
        },
    );

    check(&endpoints, &sound, MAX_ENDED_BY_OVERLAPS);
}

/// Guards against a crash that is not recognised because the endpoint accepts connections
/// for a moment longer.
#[test]
fn crash_is_recognised_if_the_listener_outlives_the_connections() {
    let store = store_with_configuration();
    let crash = Script::LingeringCrash(Duration::from_millis(150));
    let endpoints = start_endpoints(&store, &["north"], &crash);
    let hosts = start_hosts(&store, ["north"; 3]);

    let sound = send_mixed(
        &hosts,
        |attempt| read("/read/bad", attempt),
        |number| read("/read/1", &format!("{number:x}")),
    );

    check(&endpoints, &sound, MAX_ENDED_BY_OVERLAPS);
}

fn send_bad(address: SocketAddr, number: usize) -> Response {
    read("/read/bad", &format!("bad-{number}")).send(address)
}

/// Sends the crashing request until it is refused.
fn teach(address: SocketAddr) {
    let mut number = 0;
    wait_until("the request is refused", || {
        number += 1;
        send_bad(address, number).status == 400
    });
}

/// Guards against a known request that reaches endpoints again once all hosts have
/// restarted.
#[test]
fn known_request_stays_known_when_all_hosts_restart() {
    let store = store_with_configuration();
    let endpoints = start_endpoints(&store, &["north"], &crash_soon());
    let mut hosts = vec![
        start_host(&store, "host-1", "north"),
        start_host(&store, "host-2", "north"),
    ];
    teach(hosts[0].caller_address);
    thread::sleep(Duration::from_secs(1));
    let before = bad_runs(&endpoints).len();

    hosts.iter().for_each(|host| host.signal(Signal::SIGKILL));
    hosts.clear();
    let host = start_host(&store, "host-1", "north");
    let answer = send_bad(host.caller_address, 100);

    assert_eq!(answer.status, 400);
    assert_eq!(bad_runs(&endpoints).len(), before);
}

/// Guards against a plain read of one path that is refused because endpoints end for
/// another reason.
#[test]
fn common_read_is_not_refused_because_endpoints_end() {
    let store = store_with_configuration();
    let mut endpoints = start_endpoints(&store, &["north"], &crash_soon());
    let host = start_host(&store, "host-1", "north");
    let address = host.caller_address;
    let is_ending = std::sync::atomic::AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());

    thread::scope(|scope| {
        for sender in 0..4 {
            let (is_ending, answers) = (&is_ending, &answers);
            scope.spawn(move || {
                let mut number = 0;
                while !is_ending.load(std::sync::atomic::Ordering::Relaxed) {
                    number += 1;
                    let answer = read("/read/1", &format!("{sender}-{number}")).send(address);
                    answers.lock().expect("no panic").push(answer.status);
                }
            });
        }
        for endpoint in &mut endpoints[..12] {
            thread::sleep(Duration::from_millis(600));
            endpoint.stop();
        }
        is_ending.store(true, std::sync::atomic::Ordering::Relaxed);
    });

    let answers = answers.into_inner().expect("no panic");
    let refused = answers.iter().filter(|status| **status == 400).count();
    assert_eq!(refused, 0, "of {} reads", answers.len());
}
