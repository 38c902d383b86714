//! What the cases share: hosts as processes, replicas and clients as stand-ins, and a record.
//!
//! The store is the project's own stand-in. Replicas and clients speak plain HTTP/1.1 on
//! loopback and do only what the users' pages allow them.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cardamombridge::standin::metadata_store::MetadataStore;

/// Loopback address of all stand-ins and hosts.
const IP: &str = "127.0.0.2";
/// Host header of the requests.
pub const SITE: &str = "ficu95.example";
/// Interval at which replicas check in, as in the settings of the small sites.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.expect("a time after 1970").as_millis() as u64
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

/// What the replicas ran.
static RUNS: Mutex<Vec<(Instant, String)>> = Mutex::new(Vec::new());

/// Returns whether a replica has run an attempt.
pub fn has_run(attempt: &str) -> bool {
    let end = format!("attempt {attempt}");
    lock(&RUNS).iter().any(|(_, text)| text.ends_with(&end))
}

impl Record {
    /// Adds what the replicas ran.
    pub fn runs(&self) {
        for (at, text) in lock(&RUNS).iter() {
            let at_ms = at.saturating_duration_since(self.started).as_millis();
            self.line(format!("at {at_ms} ms, {text}"));
        }
    }

    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("a record file"))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at_ms = self.started.elapsed().as_millis();
        let line = format!("{at_ms:>7} ms  {}\n", text.as_ref());
        // A full disk must not end the run before its processes are ended.
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// Returns loopback addresses with free ports.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((IP, 0)).expect("a free port"))
        .collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(address).collect()
}

/// Folder of a run, deleted at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("cases-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A host: the gateway as the deploy file runs it, as a process of its own.
pub struct Host {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    log: PathBuf,
}

/// Regions and zones that the settings name.
pub const ZONES: [(&str, &str); 2] = [("stred-a", "stred"), ("zapad-a", "zapad")];

impl Host {
    /// Starts a host with settings like the template of the deploy file gives them.
    pub fn start(folder: &Folder, name: &str, region: &str, store: SocketAddr) -> Self {
        let ports = free_addresses(5);
        let zones: String = ZONES.iter().map(|(zone, region)| format!("{zone} = {region}\n")).collect();
        let settings = format!(
            "[host]\nname = {name}\nregion = {region}\ndata_centre = {region}-a\n\
             capacity = 0.25\ncaller_address = {}\nready_address = {}\n\
             directory_address = {}\npeer_address = {}\nmetrics_address = {}\nseeds = \n\n\
             [store]\naddress = {store}\nmin_lease_ms = 1000\n\n[data_centres]\n{zones}\n\
             [limits]\nshutdown_s = 8\ncold_factor = 1.5\ncold_slack = 3\nretry_ratio = 0.2\n\
             retry_slack = 56\nretry_window_s = 10\nmemory_mb = 260\n\n[logs]\nfilter = info\n",
            ports[0], ports[1], ports[2], ports[3], ports[4],
        );
        let path = folder.0.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("settings can be written");
        let log = folder.0.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log file");
        let child = Command::new("target/release/cardamombridge")
            .arg("gateway")
            .env("CARDAMOMBRIDGE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .expect("the host starts");
        Self { child, front: ports[0], ready: ports[1], log }
    }

    /// Waits until the host is ready and its log holds all texts; returns whether it does.
    pub fn wait_for(&self, texts: &[String]) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let log = self.log();
            if self.is_ready() && texts.iter().all(|text| log.contains(text.as_str())) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /cardamombridge/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let answer = call(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.child.kill().expect("the signal is sent");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A request as a replica received it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("")
    }
}

/// What a replica is and does.
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
}

type Work = dyn Fn(&Request, &mut TcpStream, &ReplicaState) -> std::io::Result<()> + Send + Sync;

/// What the threads of a replica share.
pub struct ReplicaState {
    pub plan: Plan,
    pub version: Mutex<String>,
    pub born: AtomicU64,
    /// Starts so far; a thread of an earlier start ends.
    pub starts: AtomicU64,
    is_up: AtomicBool,
    announces: AtomicBool,
    running: AtomicU64,
    sequence: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
    work: Box<Work>,
}

/// A replica: a stand-in that registers itself in the store and serves requests.
#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    pub state: Arc<ReplicaState>,
}

impl Replica {
    /// Starts a replica; `work` serves its requests.
    pub fn start<F>(plan: Plan, store: &Arc<MetadataStore>, work: F) -> Self
    where
        F: Fn(&Request, &mut TcpStream, &ReplicaState) -> std::io::Result<()>
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind((IP, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(ReplicaState {
            version: Mutex::new(plan.version.clone()),
            plan,
            born: AtomicU64::new(unix_ms()),
            starts: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            announces: AtomicBool::new(true),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            channels: Mutex::new(Vec::new()),
            work: Box::new(work),
        });
        let replica = Self { address, state };
        replica.accept_on(listener);
        replica.check_in(store);
        let (beating, store) = (replica.clone(), Arc::clone(store));
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            let state = &beating.state;
            if state.is_up.load(Ordering::SeqCst) && state.announces.load(Ordering::SeqCst) {
                beating.check_in(&store);
            }
        });
        replica
    }

    /// Writes the replica's entry to the store.
    pub fn check_in(&self, store: &MetadataStore) {
        let state = &self.state;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"backend\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{sequence},\
             \"born\":{}}}",
            state.plan.service,
            self.address,
            state.plan.zone,
            lock(&state.version),
            state.plan.slots,
            state.born.load(Ordering::SeqCst),
        );
        store.put_text(&format!("servers/{}", state.plan.id), &entry);
    }

    /// Crashes: all channels and the listener are gone.
    pub fn crash(&self) {
        self.state.is_up.store(false, Ordering::SeqCst);
        self.state.starts.fetch_add(1, Ordering::SeqCst);
        for channel in lock(&self.state.channels).drain(..) {
            // The other side may have closed it before.
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under its id and address.
    pub fn start_again(&self, version: &str) {
        *lock(&self.state.version) = version.into();
        self.state.born.store(unix_ms(), Ordering::SeqCst);
        self.state.sequence.store(0, Ordering::SeqCst);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(2),
            }
        };
        self.state.is_up.store(true, Ordering::SeqCst);
        self.accept_on(listener);
    }

    /// Sets whether the replica checks in.
    pub fn set_announces(&self, announces: bool) {
        self.state.announces.store(announces, Ordering::SeqCst);
    }

    fn accept_on(&self, listener: TcpListener) {
        let state = Arc::clone(&self.state);
        let start = state.starts.load(Ordering::SeqCst);
        listener.set_nonblocking(true).expect("a listener that does not block");
        thread::spawn(move || {
            while state.starts.load(Ordering::SeqCst) == start {
                match listener.accept() {
                    Ok((channel, _)) => {
                        let _ = channel.set_nonblocking(false);
                        let _ = channel.set_nodelay(true);
                        if let Ok(copy) = channel.try_clone() {
                            lock(&state.channels).push(copy);
                        }
                        if state.starts.load(Ordering::SeqCst) != start {
                            let _ = channel.shutdown(Shutdown::Both);
                            return;
                        }
                        let state = Arc::clone(&state);
                        thread::spawn(move || serve_channel(channel, &state, start));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }
}

fn serve_channel(mut channel: TcpStream, state: &ReplicaState, start: u64) {
    let mut input = Vec::new();
    while state.starts.load(Ordering::SeqCst) == start {
        let Some(request) = read_request(&mut channel, &mut input) else {
            break;
        };
        if state.starts.load(Ordering::SeqCst) != start {
            break;
        }
        if serve_request(&request, &mut channel, state).is_err() {
            break;
        }
    }
    let _ = channel.shutdown(Shutdown::Both);
}

fn serve_request(
    request: &Request,
    channel: &mut TcpStream,
    state: &ReplicaState,
) -> std::io::Result<()> {
    let id = &state.plan.id;
    let running = state.running.load(Ordering::SeqCst);
    let load = format!("X-Server-Load: {running},0,{}\r\n", state.plan.slots);
    if request.target == "/healthz" {
        let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n");
        return channel.write_all(head.as_bytes());
    }
    if request.target == "/cardamombridge/report" {
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"queued\":0,\"active\":{running},\"kv_used\":0,\
             \"kv_total\":400000,\"handles\":0,\"born\":{}}}",
            state.born.load(Ordering::SeqCst)
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        return channel.write_all(head.as_bytes());
    }
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n",
            request.attempt()
        );
        return channel.write_all(head.as_bytes());
    }
    let version = lock(&state.version).clone();
    let resumed = request.header("last-event-id").map_or(String::new(), |id| format!(" after event {id}"));
    lock(&RUNS).push((
        Instant::now(),
        format!("{id} ({version}) runs {} {}, attempt {}{resumed}", request.method, request.target, request.attempt()),
    ));
    state.running.fetch_add(1, Ordering::SeqCst);
    let result = (state.work)(request, channel, state);
    state.running.fetch_sub(1, Ordering::SeqCst);
    result
}

/// Reads one request; none if the channel ends before.
pub fn read_request(channel: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match channel.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    };
    let head: Vec<u8> = input.drain(..head_end).collect();
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let mut start = lines.next()?.split(' ');
    let mut request = Request {
        method: start.next()?.into(),
        target: start.next()?.into(),
        headers: parse_headers(lines),
        body: Vec::new(),
    };
    let length: usize = request.header("content-length").unwrap_or("0").parse().ok()?;
    while input.len() < length {
        match channel.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    }
    request.body = input.drain(..length).collect();
    Some(request)
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let fields = lines.filter_map(|line| line.split_once(':'));
    fields.map(|(name, value)| (name.trim().into(), value.trim().into())).collect()
}

/// How an answer ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is complete by its frame, or it has none and its channel was closed in order.
    Complete,
    /// The channel was closed before the end that the frame states.
    Cut,
    /// The channel was reset.
    Reset,
    /// Nothing came in time.
    TimedOut,
}

/// An answer as a client received it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one answer up to `limit` from now; none if nothing of it came.
pub fn read_answer(channel: &mut TcpStream, limit: Duration) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut input = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut ended = None;
    let mut head: Option<(Answer, usize)> = None;
    loop {
        if head.is_none()
            && let Some(at) = input.windows(4).position(|four| four == b"\r\n\r\n")
        {
            let text = String::from_utf8_lossy(&input[..at]).into_owned();
            let mut lines = text.split("\r\n");
            let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
            let headers = parse_headers(lines);
            head = Some((Answer { status, headers, body: Vec::new(), end: End::Cut }, at + 4));
        }
        if let Some((answer, start)) = &mut head {
            let (body, is_done) = decode(answer, &input[*start..], ended == Some(End::Cut));
            if is_done || ended.is_some() {
                answer.body = body;
                answer.end = if is_done { End::Complete } else { ended.unwrap_or(End::Cut) };
                return head.map(|(answer, _)| answer);
            }
        } else if ended.is_some() {
            return None;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = channel.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match channel.read(&mut buffer) {
            Ok(0) => ended = Some(End::Cut),
            Ok(count) => input.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                ended = Some(End::TimedOut);
            }
            Err(_) => ended = Some(End::Reset),
        }
    }
}

/// Decodes a body as far as it has come; returns it and whether it is complete.
fn decode(answer: &Answer, input: &[u8], is_closed: bool) -> (Vec<u8>, bool) {
    if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        let length: usize = length;
        return (input[..length.min(input.len())].to_vec(), input.len() >= length);
    }
    let is_chunked = answer.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        return (input.to_vec(), is_closed);
    }
    let (mut body, mut rest) = (Vec::new(), input);
    loop {
        let Some(line) = rest.windows(2).position(|two| two == b"\r\n") else {
            return (body, false);
        };
        let digits = String::from_utf8_lossy(&rest[..line]).into_owned();
        let Ok(size) = usize::from_str_radix(digits.split(';').next().unwrap_or(""), 16) else {
            return (body, false);
        };
        rest = &rest[line + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            return (body, false);
        }
        rest = &rest[size + 2..];
    }
}

/// Sends a request on a new channel and reads its answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Answer> {
    let mut channel = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = channel.set_nodelay(true);
    channel.write_all(request).ok()?;
    read_answer(&mut channel, limit)
}

/// A request of a client with the usual headers.
pub fn request(method: &str, path: &str, attempt: &str, limit_ms: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {SITE}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {limit_ms}\r\n{fields}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Text of a route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    /// Services and their weights.
    pub services: Vec<(&'static str, u32)>,
    pub timeout_ms: u64,
    pub goal_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// A service of the configuration.
pub struct Service {
    pub name: &'static str,
    /// Cold time in seconds and rate while cold, if its replicas are model engines.
    pub engine: Option<(f64, f64)>,
}

/// Returns a configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route], services: &[Service]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let target = match route.services.as_slice() {
                [(only, _)] => format!("\"backend\":\"{only}\""),
                several => {
                    let shares: Vec<String> = several
                        .iter()
                        .map(|(name, weight)| format!("{{\"backend\":\"{name}\",\"weight\":{weight}}}"))
                        .collect();
                    format!("\"split\":[{}]", shares.join(","))
                }
            };
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{SITE}\",\"prefix\":\"/{0}/\",\"kind\":\"{1}\",\
                 \"timeout_ms\":{2},\"goal_ms\":{3},\"prio\":1,{target},\"max_attempts\":{4},\
                 \"sticky\":false,\"resumable\":{5},\"gap_goal_ms\":400,\"home_regions\":[]}}",
                route.name, route.kind, route.timeout_ms, route.goal_ms, route.attempts, route.resumable
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            let (cold_s, cold_per_s) = service.engine.unwrap_or((0.0, 0.0));
            let engine = match service.engine {
                Some(_) => {
                    ",\"engine\":{\"slots\":64,\"kv_cap_tokens\":437349,\"kv_token_bytes\":18432,\
                     \"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\
                     \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}"
                }
                None => "",
            };
            format!(
                "{{\"name\":\"{}\",\"health_path\":\"/healthz\",\"max_conns\":370,\"proto\":\"h1\",\
                 \"tls\":false,\"cold_s\":{cold_s:?},\"cold_per_s\":{cold_per_s:?}{engine}}}",
                service.name
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Counts by name, for the last lines of a record.
pub fn tally<I, S>(names: I) -> String
where
    I: IntoIterator<Item = S>,
    S: Into<String>,
{
    let mut counts: HashMap<String, usize> = HashMap::new();
    for name in names {
        *counts.entry(name.into()).or_default() += 1;
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    let texts: Vec<String> = counts.iter().map(|(name, count)| format!("{name}: {count}")).collect();
    texts.join(", ")
}

/// Returns whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
