//! Gateway hosts as real processes, with stand-ins for the store and endpoints.
#![allow(
    dead_code,
    reason = "each test file uses the part of this module that it needs"
)]

use std::{
    fs::File,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    gateway::head::Framing,
    standin::{
        listener::STANDIN_IP,
        metadata_store::MetadataStore,
        scripted::{
            ScriptedEndpoint,
            event_text, //
        }, //
    }, //
};
use nix::{
    sched::{
        CpuSet,
        sched_getaffinity,
        sched_setaffinity, //
    },
    sys::signal::{
        Signal,
        kill, //
    },
    unistd::Pid, //
};
use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;

/// Time limit for conditions that should hold almost immediately.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a host that is alone earns a repeat: it earns half of the slack, 56, in
/// the ten seconds after its start.
const REPEAT_EARNED_MS: u64 = 360;
/// Repeats that a host of [`host_with`] has earned.
const EARNED_REPEATS: u32 = 7;
/// Value of the `Host` header in requests.
pub const SITE_HOST: &str = "shop.example";

/// A gateway host that runs as a process.
pub struct Host {
    child: Child,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address of the directory.
    pub directory_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address for packets and connections of other hosts.
    pub peer_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    log_path: PathBuf,
    settings: PathBuf,
    started: Instant,
    _directory: TempDir,
}

/// Options of a host.
pub struct HostOptions {
    /// Name.
    pub name: &'static str,
    /// Region; its data centre is the region's name with `-a`.
    pub region: &'static str,
    /// Time between the stop signal and the forced end of the process.
    pub shutdown_s: u64,
    /// Address at which the host reaches the store, if not its own address.
    pub store: Option<SocketAddr>,
    /// Number of the only processor on which the host runs, if it is limited to one.
    pub processor: Option<usize>,
}

impl HostOptions {
    /// Returns the options of a host in a region, which reaches the store directly.
    pub fn new(name: &'static str, region: &'static str) -> Self {
        Self {
            name,
            region,
            shutdown_s: 8,
            store: None,
            processor: None,
        }
    }
}

impl Default for HostOptions {
    fn default() -> Self {
        Self::new("host-1", "north")
    }
}

impl Host {
    /// Starts a host and waits until it is ready.
    pub fn start(store: &MetadataStore, options: &HostOptions) -> Self {
        let mut host = Self::start_only(store, options);
        wait_until("the host is ready", || {
            // On a busy machine, a host finds out late that one of its ports is taken.
            if host.has_lost_port() {
                host = Self::start_only(store, options);
            }
            host.is_ready()
        });
        host
    }

    fn has_lost_port(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        has_ended && self.log().contains("Address already in use")
    }

    /// Starts a host without waiting; retries with other ports if one of them has
    /// been taken by another process.
    pub fn start_only(store: &MetadataStore, options: &HostOptions) -> Self {
        loop {
            let mut host = Self::spawn(store, options);
            let ended = host.wait_end(Duration::from_millis(60));
            let is_taken = host.log().contains("Address already in use");
            if ended.is_none() || !is_taken {
                return host;
            }
        }
    }

    fn spawn(store: &MetadataStore, options: &HostOptions) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let ports = free_addresses(5);
        let region = options.region;
        let text = format!(
            "[host]\nname = {}\nregion = {region}\ndata_centre = {region}-a\ncapacity = 1\n\
             caller_address = {}\nready_address = {}\ndirectory_address = {}\n\
             peer_address = {}\nmetrics_address = {}\n\
             [store]\naddress = {}\nmin_lease_ms = 1000\n\
             [data_centres]\nnorth-a = north\nsouth-a = south\n\
             [limits]\nshutdown_s = {}\ncold_factor = 1.5\n\
             cold_slack = 3\nretry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\n\
             [logs]\nfilter = debug\n",
            options.name,
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            options.store.unwrap_or(store.address()),
            options.shutdown_s,
        );
        let settings = directory.path().join("settings.ini");
        std::fs::write(&settings, text).expect("settings can be written");
        let log_path = directory.path().join("log");
        let log = File::create(&log_path).expect("a log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cardamombridge"));
        command
            .arg("gateway")
            .arg(&settings)
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log);
        let child = match options.processor {
            Some(number) => on_processor(number, || command.spawn()),
            None => command.spawn(),
        };
        let child = child.expect("the host starts");
        Self {
            child,
            caller_address: ports[0],
            ready_address: ports[1],
            directory_address: ports[2],
            peer_address: ports[3],
            metrics_address: ports[4],
            log_path,
            settings,
            started: Instant::now(),
            _directory: directory,
        }
    }

    /// Waits until the host accepts requests.
    pub fn wait_ready(&self) {
        wait_until("the host is ready", || self.is_ready());
    }

    /// Waits until a host that is alone has earned this many repeats since its start.
    pub fn earn_repeats(&self, count: u32) {
        let time = Duration::from_millis(REPEAT_EARNED_MS) * count;
        thread::sleep(time.saturating_sub(self.started.elapsed()));
    }

    /// Returns whether the readiness check of the host succeeds.
    pub fn is_ready(&self) -> bool {
        let response = Request::get("/cardamombridge/readyz").try_send(self.ready_address);
        response.is_some_and(|response| response.status == 200)
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits until the log contains `text`.
    pub fn wait_log(&self, text: &str) {
        wait_until(text, || self.log().contains(text));
    }

    /// Replaces text in the settings file without sending a signal.
    pub fn replace_setting(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("settings can be read");
        assert!(text.contains(from), "no such setting: {from}");
        std::fs::write(&self.settings, text.replace(from, to)).expect("settings can be written");
    }

    /// Returns the most memory that the process has used, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        1_024 * kilobytes.unwrap_or(0_u64)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the signal is sent");
    }

    /// Waits up to `limit` for the process to end; returns its exit code.
    pub fn wait_end(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process status can be read")
            {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of the host:\n{}", self.log());
        }
    }
}

/// Starts a store and a host that knows `endpoint`.
pub fn host_with(endpoint: &ScriptedEndpoint) -> (MetadataStore, Host) {
    let store = store_with_configuration();
    announce(&store, endpoint, "north");
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");
    host.earn_repeats(EARNED_REPEATS);
    (store, host)
}

/// Runs `start` on one of the processors that this thread may use, and lets what it starts use no
/// other.
fn on_processor<F, T>(number: usize, start: F) -> T
where
    F: FnOnce() -> T,
{
    let this_thread = Pid::from_raw(0);
    let usable = sched_getaffinity(this_thread).expect("the usable processors");
    let processors: Vec<usize> = (0..CpuSet::count())
        .filter(|processor| usable.is_set(*processor) == Ok(true))
        .collect();
    let mut only = CpuSet::new();
    only.set(processors[number % processors.len()])
        .expect("a valid processor");
    sched_setaffinity(this_thread, &only).expect("a usable processor");
    let started = start();
    sched_setaffinity(this_thread, &usable).expect("the usable processors");
    started
}

/// Returns loopback addresses with free ports.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((STANDIN_IP, 0)).expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect()
}

/// Waits until a condition holds; `what` names it if it does not in time.
pub fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A request of a caller.
#[derive(Clone)]
pub struct Request {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// A response as a caller received it.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Head as text.
    pub head: String,
    /// Body without transfer coding.
    pub body: Vec<u8>,
    /// The end of the body has arrived.
    pub is_complete: bool,
}

impl Response {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Request {
    /// Returns a GET request without a body.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns a POST request with a body.
    pub fn post(path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST",
            body: body.to_vec(),
            ..Self::get(path)
        }
    }

    /// Sets the attempt id and the time limit.
    pub fn with_attempt(self, attempt: &str, limit_ms: u64) -> Self {
        self.with_header("X-Attempt-Id", attempt)
            .with_header("X-Deadline-Ms", &limit_ms.to_string())
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Returns the encoded request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {SITE_HOST}\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the response.
    pub fn send(&self, address: SocketAddr) -> Response {
        self.try_send(address).expect("a response")
    }

    /// Like [`Self::send`]; none if the host does not respond within `limit`.
    pub fn send_within(&self, address: SocketAddr, limit: Duration) -> Option<Response> {
        let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
        stream.write_all(&self.bytes()).ok()?;
        read_response_parts(&mut stream, &mut Vec::new(), usize::MAX, limit)
    }

    /// Like [`Self::send`]; none if the host does not respond.
    pub fn try_send(&self, address: SocketAddr) -> Option<Response> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(&self.bytes()).ok()?;
        read_response(&mut stream)
    }
}

/// Reads one response; none if the connection ends before its head.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    read_next_response(stream, &mut Vec::new())
}

/// Reads one of several responses on a connection.
///
/// `read` contains bytes already read beyond the previous response; on return,
/// it contains those beyond this one.
pub fn read_next_response(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<Response> {
    read_response_until(stream, read, usize::MAX)
}

/// Like [`read_next_response`]; stops after `most_events` events of a stream.
pub fn read_response_until(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    most_events: usize,
) -> Option<Response> {
    read_response_parts(stream, read, most_events, Duration::from_secs(30))
}

/// Like [`read_response_until`]; waits up to `limit` for each part of the response.
fn read_response_parts(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    most_events: usize,
    limit: Duration,
) -> Option<Response> {
    stream.set_read_timeout(Some(limit)).expect("a time limit");
    let mut bytes = std::mem::take(read);
    let mut buffer = [0; 4096];
    let (head, length) = loop {
        let parsed = cardamombridge::gateway::head::parse_response(&bytes, false);
        if let Some(parsed) = parsed.expect("a valid head") {
            break parsed;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
    let mut input = bytes.split_off(length);
    let mut decoder = cardamombridge::gateway::body::BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    let is_complete = loop {
        let used = decoder.decode(&input, &mut body).expect("a valid body");
        input.drain(..used);
        if decoder.is_done() {
            break true;
        }
        if event_count(&body) >= most_events {
            break false;
        }
        match stream.read(&mut buffer) {
            Ok(0) => break head.framing == Framing::UntilClose,
            Err(_) => break false,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    };
    *read = input;
    Some(Response {
        status: head.status,
        head: text,
        body,
        is_complete,
    })
}

/// Returns the number of complete events in a stream.
pub fn event_count(body: &[u8]) -> usize {
    body.windows(2).filter(|pair| *pair == b"\n\n").count()
}

/// Starts a store with a configuration whose routes go to the service `desk`.
///
/// `/read/` is idempotent, `/book/` is not, `/chat/` is a resumable stream and
/// `/draft/` a stream that cannot be resumed.
pub fn store_with_configuration() -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    store.put("op/config", &configuration(7));
    store
}

/// Returns the configuration of [`store_with_configuration`] with a version.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", 2, false),
            route("book", "mutating", 1, false),
            route("chat", "streaming", 2, true),
            route("draft", "streaming", 1, false),
        ],
        "backends": [
            { "name": "desk", "health_path": "/healthz", "max_conns": 100, "proto": "h1",
              "tls": false, "cold_s": 0.0, "cold_per_s": 0.0 },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
                    "header_timeout_ms": 1000, "idle_timeout_ms": 15000 },
    })
}

/// Returns a route whose path prefix is its name.
pub fn route(name: &str, kind: &str, attempts: u32, is_resumable: bool) -> Value {
    json!({
        "name": name, "host": SITE_HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 5000, "goal_ms": 800, "prio": 1, "backend": "desk",
        "max_attempts": attempts, "sticky": false, "resumable": is_resumable,
        "gap_goal_ms": 400, "home_regions": [],
    })
}

/// Returns the text of the events of a scripted endpoint from `first` up to `end`.
pub fn event_texts(first: u64, end: u64) -> String {
    (first..end).map(event_text).collect()
}

/// Starts a host of the region north and one of the region south; returns them once they know
/// the endpoints of the store and each other.
pub fn hosts_of_two_regions(store: &MetadataStore) -> (Host, Host) {
    let south = Host::start(store, &HostOptions::new("host-2", "south"));
    let north = Host::start(store, &HostOptions::default());
    south.wait_log("endpoint announced");
    north.wait_log("host registered");
    thread::sleep(Duration::from_millis(1_200));
    (north, south)
}

/// Announces an endpoint of the service `desk` in a region's data centre.
pub fn announce(store: &MetadataStore, endpoint: &ScriptedEndpoint, region: &str) {
    announce_with(store, endpoint, region, &json!({}));
}

/// Announces an endpoint with `fields` that override the default ones.
pub fn announce_with(
    store: &MetadataStore,
    endpoint: &ScriptedEndpoint,
    region: &str,
    fields: &Value,
) {
    announce_as(store, endpoint.id(), endpoint, region, fields);
}

/// Like [`announce_with`], under the id of another endpoint, which had its address before.
pub fn announce_as(
    store: &MetadataStore,
    id: &str,
    endpoint: &ScriptedEndpoint,
    region: &str,
    fields: &Value,
) {
    let mut entry = json!({
        "backend": "desk", "addr": endpoint.address(), "zone": format!("{region}-a"),
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    for (name, value) in fields.as_object().into_iter().flatten() {
        entry[name] = value.clone();
    }
    store.put(&format!("servers/{id}"), &entry);
}
