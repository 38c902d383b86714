//! Callers that begin streams and take them up again, and endpoints of several software versions.
#![allow(
    dead_code,
    reason = "each test file uses the part of this module that it needs"
)]

use std::{
    borrow::Borrow,
    collections::BTreeSet,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    slice,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    gateway::{
        body::BodyDecoder,
        head::parse_response, //
    },
    standin::{
        metadata_store::MetadataStore,
        scripted::{
            Arrival,
            Script,
            ScriptedEndpoint, //
        }, //
    }, //
};
use nix::sys::signal::Signal;
use serde_json::{
    Value,
    json, //
};

use super::gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    SITE_HOST,
    announce_with,
    wait_until, //
};

pub const LIMIT_MS: u64 = 5_000;
/// Events of a whole stream.
pub const EVENT_COUNT: u64 = 24;
/// Events that a caller reads before it leaves.
pub const EVENTS_BEFORE: usize = 3;
/// Pause after each event of a stream.
pub const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Streams of a test, so that a choice that ignores versions shows.
pub const STREAM_COUNT: usize = 12;
/// Streams that are taken up at once: more of them can be refused because a busy machine cannot
/// serve them within their latency goal.
const TAKEN_UP_AT_ONCE: usize = 48;
/// Time within which a refusal that waits for nothing arrives.
pub const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// Time within which a refusal arrives that the store was asked about in vain.
pub const SILENT_REFUSAL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time in which hosts receive beacons from each other.
pub const BEACON_TIME: Duration = Duration::from_millis(1_000);
/// Time from the start of a host to the end of the one that could tell it.
pub const ADDED_BEFORE: Duration = Duration::from_millis(2_000);
/// Time limit for the end of a killed process.
const KILL_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for the end of a process that finishes its requests first.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Returns a host's options.
pub fn options(name: &'static str, region: &'static str) -> HostOptions {
    HostOptions::new(name, region)
}

/// Starts hosts and waits until each receives beacons from the others.
pub fn start_hosts(store: &MetadataStore, places: &[(&'static str, &'static str)]) -> Vec<Host> {
    let hosts: Vec<Host> = places
        .iter()
        .map(|(name, region)| Host::start(store, &options(name, region)))
        .collect();
    for host in &hosts {
        for (_, region) in places {
            let count = places.iter().filter(|(_, other)| other == region).count();
            wait_until("all hosts are known", || known_hosts(host, region) == count);
        }
    }
    thread::sleep(BEACON_TIME);
    hosts
}

/// Starts a host beside others, and waits until it knows the endpoints.
pub fn add_host(
    store: &MetadataStore,
    options: &HostOptions,
    endpoints: &[ScriptedEndpoint],
) -> Host {
    let host = Host::start(store, options);
    wait_known(slice::from_ref(&host), endpoints);
    host
}

/// Starts hosts of the region north at once, and waits until they know the endpoints.
pub fn add_hosts(
    store: &MetadataStore,
    names: &[&'static str],
    endpoints: &[ScriptedEndpoint],
) -> Vec<Host> {
    let hosts: Vec<Host> = names
        .iter()
        .map(|name| Host::start_only(store, &options(name, "north")))
        .collect();
    hosts.iter().for_each(Host::wait_ready);
    wait_known(&hosts, endpoints);
    hosts
}

/// Ends a host at once.
pub fn kill(host: &mut Host) {
    host.signal(Signal::SIGKILL);
    host.wait_end(KILL_LIMIT);
}

/// Ends a host once it has finished its requests.
pub fn stop(host: &mut Host) {
    host.signal(Signal::SIGTERM);
    host.wait_end(STOP_LIMIT);
}

/// Returns the number of hosts of a region that a host's directory contains.
pub fn known_hosts(host: &Host, region: &str) -> usize {
    let path = format!("/cardamombridge/resolve?name={SITE_HOST}&region={region}&zone={region}-a");
    let response = Request::get(&path).send(host.directory_address);
    let answer: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    answer["addrs"].as_array().map_or(0, Vec::len)
}

/// Returns the event after which a request wants a stream to continue, plus one.
pub fn first_event(arrival: &Arrival) -> u64 {
    let last = arrival.headers.get("last-event-id");
    last.and_then(|last| last.parse::<u64>().ok())
        .map_or(0, |last| last + 1)
}

/// Returns a script that sends the events from `first` up to `end`.
pub fn events(first: u64, end: u64, is_whole: bool) -> Script {
    Script::Events {
        first,
        end,
        pause: EVENT_PAUSE,
        is_whole,
    }
}

/// Starts and announces an endpoint that streams all events, or those that are left.
pub fn whole_endpoint(
    store: &MetadataStore,
    id: &str,
    version: &str,
    region: &str,
) -> ScriptedEndpoint {
    scripted_endpoint(store, id, version, region, |_, arrival| {
        events(first_event(arrival), EVENT_COUNT, true)
    })
}

/// Starts and announces endpoints of a region, half of them of each of two versions.
pub fn endpoints_of_two_versions(
    store: &MetadataStore,
    count: usize,
    region: &str,
) -> Vec<ScriptedEndpoint> {
    let versions = ["v1", "v2"].into_iter().cycle();
    (1..=count)
        .zip(versions)
        .map(|(number, version)| whole_endpoint(store, &format!("e-{number}"), version, region))
        .collect()
}

/// Starts and announces an endpoint that breaks off new streams after `end` events and
/// completes streams that began elsewhere.
pub fn breaking_endpoint(
    store: &MetadataStore,
    id: &str,
    version: &str,
    region: &str,
    end: u64,
) -> ScriptedEndpoint {
    scripted_endpoint(
        store,
        id,
        version,
        region,
        move |_, arrival| match first_event(arrival) {
            0 => events(0, end, false),
            first => events(first, EVENT_COUNT, true),
        },
    )
}

/// Starts and announces an endpoint that follows `script`.
pub fn scripted_endpoint<S>(
    store: &MetadataStore,
    id: &str,
    version: &str,
    region: &str,
    script: S,
) -> ScriptedEndpoint
where
    S: Fn(usize, &Arrival) -> Script + Send + Sync + 'static,
{
    let endpoint = ScriptedEndpoint::start(id, script).expect("the endpoint starts");
    let endpoint = endpoint.with_version(version);
    announce_version(store, &endpoint, version, region);
    endpoint
}

/// Announces an endpoint with a software version and room for all streams of a test.
pub fn announce_version(
    store: &MetadataStore,
    endpoint: &ScriptedEndpoint,
    version: &str,
    region: &str,
) {
    let fields = json!({ "version": version, "slots": 64 });
    announce_with(store, endpoint, region, &fields);
}

/// Waits until hosts know endpoints.
pub fn wait_known<E>(hosts: &[Host], endpoints: &[E])
where
    E: Borrow<ScriptedEndpoint>,
{
    for host in hosts {
        for endpoint in endpoints {
            let id = endpoint.borrow().id();
            host.wait_log(&format!("\"endpoint announced\",\"endpoint\":\"{id}\""));
        }
    }
}

/// Announces three idle endpoints of the version `v2` in a region.
pub fn release(store: &MetadataStore, hosts: &[Host], region: &str) -> Vec<ScriptedEndpoint> {
    let released: Vec<ScriptedEndpoint> = (1..=3)
        .map(|number| whole_endpoint(store, &format!("{region}-new-{number}"), "v2", region))
        .collect();
    wait_known(hosts, &released.iter().collect::<Vec<_>>());
    released
}

/// Returns a request that begins a stream.
pub fn begin(attempt: &str) -> Request {
    Request::post("/chat/1", b"hello").with_attempt(attempt, LIMIT_MS)
}

/// Returns a request that takes up the stream that `begun` began, after `received`
/// events.
pub fn take_up(attempt: &str, begun: &str, received: &str) -> Request {
    let last = event_count(received).saturating_sub(1);
    begin(attempt)
        .with_header("Last-Event-Id", &last.to_string())
        .with_header("Resumes", begun)
}

/// Returns a request that takes up a stream which no host knows.
pub fn take_up_unknown(attempt: &str) -> Request {
    begin(attempt)
        .with_header("Last-Event-Id", "2")
        .with_header("Resumes", "a-unknown")
}

/// Returns the number of complete events in `text`.
pub fn event_count(text: &str) -> usize {
    text.matches("\n\n").count()
}

/// Returns the software versions that sent the events in `text`.
pub fn versions(text: &str) -> BTreeSet<&str> {
    text.lines()
        .filter_map(|line| line.strip_prefix("data: token "))
        .filter_map(|data| data.split_once(" of "))
        .map(|(_, version)| version)
        .collect()
}

/// Checks that `text` contains all events of a stream, in order, of one version.
pub fn assert_whole_stream_of_one_version(text: &str, attempt: &str) {
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    let expected: Vec<String> = (0..EVENT_COUNT).map(|number| number.to_string()).collect();
    let found = versions(text);
    assert_eq!(found.len(), 1, "{attempt} holds events of {found:?}");
    assert_eq!(ids, expected, "events of {attempt}");
}

/// Checks that a refusal says when to return, and waited for nothing.
pub fn assert_refused_at_once(response: &Response, took: Duration) {
    assert_eq!(
        response.status,
        503,
        "events {:?}",
        versions(&response.text())
    );
    assert!(response.header("retry-after").is_some());
    assert!(took < REFUSAL_LIMIT, "the refusal took {took:?}");
}

/// Sends a request and returns the response with the time that it took.
pub fn timed(request: &Request, address: SocketAddr) -> (Response, Duration) {
    let sent = Instant::now();
    let response = request.send(address);
    (response, sent.elapsed())
}

/// Waits until a host serves new streams, for one whose region has no endpoint: another region
/// tells its load to one host of a region at a time.
pub fn wait_served(host: &Host) {
    wait_until("a stream begins", || {
        Stream::open(&begin("probe"), host.caller_address).is_some()
    });
}

/// A stream that a caller reads event by event; the caller disconnects on drop.
pub struct Stream {
    connection: TcpStream,
    pub decoder: BodyDecoder,
    text: Vec<u8>,
}

impl Stream {
    /// Sends a request and reads the response head; none without a success.
    pub fn open(request: &Request, address: SocketAddr) -> Option<Self> {
        let mut connection = TcpStream::connect(address).ok()?;
        let limit = Some(Duration::from_millis(LIMIT_MS));
        connection.set_read_timeout(limit).expect("a time limit");
        connection.write_all(&request.bytes()).ok()?;
        let mut bytes = Vec::new();
        let mut buffer = [0; 4096];
        let (head, length) = loop {
            if let Some(parsed) = parse_response(&bytes, false).expect("a valid head") {
                break parsed;
            }
            match connection.read(&mut buffer) {
                Ok(0) | Err(_) => return None,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        };
        if head.status != 200 {
            return None;
        }
        let mut stream = Self {
            connection,
            decoder: BodyDecoder::new(head.framing),
            text: Vec::new(),
        };
        let input = bytes.split_off(length);
        stream.decode(&input);
        Some(stream)
    }

    fn decode(&mut self, input: &[u8]) {
        let used = self.decoder.decode(input, &mut self.text);
        let used = used.expect("a valid body");
        assert_eq!(used, input.len(), "bytes after the end of the body");
    }

    /// Reads until `count` events or the end of the response have arrived; returns the
    /// events so far.
    pub fn read_events(&mut self, count: usize) -> String {
        let mut buffer = [0; 4096];
        while event_count(&self.received()) < count && !self.decoder.is_done() {
            match self.connection.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(length) => self.decode(&buffer[..length]),
            }
        }
        self.received()
    }

    /// Returns the complete events that have arrived.
    pub fn received(&self) -> String {
        let text = String::from_utf8_lossy(&self.text);
        let end = text.rfind("\n\n").map_or(0, |end| end + 2);
        text[..end].to_owned()
    }
}

/// A stream that its caller has received a part of.
pub struct Begun {
    /// Attempt that began it.
    pub attempt: String,
    /// Complete events so far.
    pub received: String,
}

/// Begins streams at a host and disconnects after `count` events of each.
pub fn begin_and_leave(host: &Host, streams: usize, count: usize) -> Vec<Begun> {
    let address = host.caller_address;
    let callers: Vec<_> = (0..streams)
        .map(|number| {
            thread::spawn(move || {
                // A host of another test that runs at once may be asked for it: it can get the
                // port of a killed one.
                let attempt = format!("a-{}-{number}", address.port());
                let mut stream = Stream::open(&begin(&attempt), address).expect("a stream");
                let received = stream.read_events(count);
                assert!(event_count(&received) >= count, "{attempt}: {received:?}");
                Begun { attempt, received }
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller ends"))
        .collect()
}

/// Starts two hosts of the region north that know `endpoints`, and begins streams at the first.
pub fn hosts_with_streams(
    store: &MetadataStore,
    endpoints: &[ScriptedEndpoint],
    streams: usize,
) -> (Host, Host, Vec<Begun>) {
    let hosts = start_hosts(store, &[("host-1", "north"), ("host-2", "north")]);
    wait_known(&hosts, endpoints);
    let begun = begin_and_leave(&hosts[0], streams, EVENTS_BEFORE);
    let [first, second]: [Host; 2] = hosts.try_into().ok().expect("two hosts");
    (first, second, begun)
}

/// Takes up all streams and returns the responses in the same order.
pub fn take_up_all(begun: &[Begun], address: SocketAddr) -> Vec<Response> {
    let waves = begun.chunks(TAKEN_UP_AT_ONCE);
    waves.flat_map(|wave| take_up_wave(wave, address)).collect()
}

/// Takes up streams at once.
fn take_up_wave(begun: &[Begun], address: SocketAddr) -> Vec<Response> {
    thread::scope(|scope| {
        let callers: Vec<_> = begun
            .iter()
            .map(|stream| {
                scope.spawn(move || {
                    let attempt = format!("{}-again", stream.attempt);
                    take_up(&attempt, &stream.attempt, &stream.received).send(address)
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"))
            .collect()
    })
}

/// Checks that each stream went on to its end at the version that began it.
pub fn assert_all_go_on(begun: &[Begun], responses: &[Response]) {
    for (stream, response) in begun.iter().zip(responses) {
        let attempt = &stream.attempt;
        assert_eq!(response.status, 200, "{attempt} did not go on");
        assert!(response.is_complete, "{attempt} was cut off");
        let text = format!("{}{}", stream.received, response.text());
        assert_whole_stream_of_one_version(&text, attempt);
    }
}
