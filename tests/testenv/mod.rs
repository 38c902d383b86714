//! Hosts as real processes in a testbed, and an HTTP client that calls them.
#![allow(dead_code, reason = "each test file uses only part of this module")]

use std::{
    fs::{
        self,
        File, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        ExitStatus, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    admin::Status,
    admin_client::AdminClient,
    http::{
        client::{
            self,
            HttpRequest, //
        },
        message::{
            Headers,
            MessageError, //
        }, //
    },
    standin::testbed::{
        self,
        CALLER_KEY,
        MODEL,
        Testbed,
        TestbedOptions, //
    }, //
};
use nix::{
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

const READY_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One host process.
pub struct HostProcess {
    pub name: String,
    pub region: String,
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl HostProcess {
    /// Starts the process without waiting until it is ready.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log file must open");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
            .arg("serve")
            .arg(&self.settings)
            .current_dir(self.settings.parent().expect("settings are in a directory"))
            .stdout(log.try_clone().expect("the log file must be shared"))
            .stderr(log)
            .spawn()
            .expect("the host process must start");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id() as i32);
            kill(pid, signal).expect("the host process must take the signal");
        }
    }

    /// Kills the process with `SIGKILL`.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the host process must end");
            child.wait().expect("the host process must be reaped");
        }
    }

    /// Waits for the process to exit; `None` after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().expect("the child must be known") {
                self.child = None;
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let response = Caller::new(self.address).get("/readyz");
        response.is_ok_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            let is_late = Instant::now() >= deadline;
            assert!(!is_late, "{} is not ready:\n{}", self.name, self.log());
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // `SIGKILL` also ends a stopped process.
        self.kill();
    }
}

/// A testbed with host processes.
pub struct TestEnv {
    pub testbed: Testbed,
    pub hosts: Vec<HostProcess>,
    pub dir: TempDir,
}

impl TestEnv {
    /// Starts the stand-ins and all hosts, and waits until the hosts are ready.
    pub fn start(options: &TestbedOptions) -> Self {
        let mut env = Self::prepare(options);
        let intents = Testbed::intent_text(options);
        env.testbed
            .accept(&intents)
            .expect("the intents must be accepted");
        for host in &mut env.hosts {
            host.start();
        }
        for host in &env.hosts {
            host.wait_ready();
        }
        env
    }

    /// Starts the stand-ins; no host runs and no intent is accepted.
    pub fn prepare(options: &TestbedOptions) -> Self {
        let testbed = Testbed::start(options).expect("the testbed must start");
        let dir = tempfile::tempdir().expect("a directory for settings must be created");
        write(&dir, "cluster.key", testbed::CLUSTER_KEY);
        write(&dir, "operator.key", testbed::OPERATOR_KEY);
        let hosts = testbed
            .seats
            .iter()
            .map(|seat| {
                let name = seat.config.host.to_string();
                let settings = write(&dir, &format!("{name}.ini"), &seat.config.to_ini());
                HostProcess {
                    region: seat.config.region.to_string(),
                    address: seat.config.caller_address,
                    admin_address: seat.config.admin_address,
                    log: dir.path().join(format!("{name}.log")),
                    name,
                    settings,
                    child: None,
                }
            })
            .collect();
        Self {
            testbed,
            hosts,
            dir,
        }
    }

    /// Waits until every host knows all hosts of its region, the summaries of
    /// the other regions and all endpoints.
    ///
    /// A host is ready before that; without it, a leaving host may have no
    /// successor and a request may find no endpoint.
    pub fn wait_settled(&self) {
        self.wait_live(self.testbed.engines.len() + self.testbed.services.len());
    }

    /// Like [`Self::wait_settled`], but for `endpoints` live endpoints.
    pub fn wait_live(&self, endpoints: usize) {
        let deadline = Instant::now() + READY_TIMEOUT;
        for host in &self.hosts {
            while !self.is_settled(host, endpoints) {
                let is_late = Instant::now() >= deadline;
                let status = self.status(host);
                assert!(!is_late, "not settled: {status:?}\n{}", self.logs());
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn status(&self, host: &HostProcess) -> Option<Status> {
        let client = AdminClient::new(host.admin_address, testbed::OPERATOR_KEY.into());
        client.status().ok()
    }

    fn is_settled(&self, host: &HostProcess, endpoints: usize) -> bool {
        let Some(status) = self.status(host) else {
            return false;
        };
        let own_region = self.hosts.iter().filter(|own| own.region == host.region);
        let knows_hosts = own_region.clone().all(|own| {
            status
                .hosts
                .iter()
                .any(|known| known.host.as_str() == own.name)
        });
        let knows_regions = status
            .regions
            .iter()
            .all(|region| region.lowest_revision.is_some());
        let live: u32 = status.targets.iter().map(|target| target.live).sum();
        knows_hosts && knows_regions && live as usize == endpoints
    }

    /// Returns the first host of a region.
    pub fn host(&self, region: &str) -> &HostProcess {
        let mut hosts = self.hosts.iter().filter(|host| host.region == region);
        hosts.next().expect("the region must have a host")
    }

    pub fn host_mut(&mut self, region: &str) -> &mut HostProcess {
        let mut hosts = self.hosts.iter_mut().filter(|host| host.region == region);
        hosts.next().expect("the region must have a host")
    }

    /// Returns a caller that uses the first host of a region.
    pub fn caller(&self, region: &str) -> Caller {
        Caller::new(self.host(region).address).with_key(CALLER_KEY)
    }

    /// Returns the logs of all hosts, for the message of a failed assertion.
    pub fn logs(&self) -> String {
        let logs = self
            .hosts
            .iter()
            .map(|host| format!("--- {}\n{}", host.name, host.log()));
        logs.collect()
    }
}

fn write(dir: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("a file of the test must be written");
    path
}

/// Waits until `is_true`; fails with `what` after `timeout`.
pub fn wait_for<F>(timeout: Duration, what: &str, is_true: F)
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + timeout;
    while !is_true() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A complete response as the caller received it.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl CallerResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn run_state(&self) -> String {
        let value = self.json();
        value["error"]["run_state"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    pub fn text(&self) -> String {
        let value = self.json();
        let content = &value["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_string()
    }
}

/// The part of a streamed response that the caller received.
#[derive(Debug, Clone, Default)]
pub struct StreamResponse {
    pub status: u16,
    pub text: String,
    pub has_done: bool,
    pub has_proper_end: bool,
    pub error: Option<Value>,
    /// Arrival time of each event with text, from the start of the request.
    pub arrivals: Vec<Duration>,
}

/// HTTP client of one host.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    key: Option<String>,
    headers: Headers,
    timeout: Duration,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            key: None,
            headers: Headers::new(),
            timeout: CALL_TIMEOUT,
        }
    }

    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_string());
        self
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(name, value);
        self
    }

    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    pub fn get(&self, path: &str) -> Result<CallerResponse, MessageError> {
        self.call("GET", path, Vec::new())
    }

    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<CallerResponse, MessageError> {
        let deadline = Instant::now() + self.timeout;
        let mut response = self.send(method, path, body, deadline)?;
        let limit = 64 * 1024 * 1024;
        let body = response
            .body
            .read_to_end(&mut response.connection, limit, deadline)?;
        Ok(CallerResponse {
            status: response.head.status,
            headers: response.head.headers,
            body,
        })
    }

    /// Requests a non-streamed response.
    pub fn chat(&self, prompt: &str, max_tokens: u64) -> Result<CallerResponse, MessageError> {
        let body = chat_body(prompt, max_tokens, false);
        self.call("POST", "/v1/chat/completions", body)
    }

    /// Requests a stream and reads it to its end.
    pub fn stream(&self, prompt: &str, max_tokens: u64) -> Result<StreamResponse, MessageError> {
        self.stream_with(prompt, max_tokens, |_| {})
    }

    /// Requests a stream; `on_piece` receives the number of events with text so
    /// far, after each of them.
    pub fn stream_with<F>(
        &self,
        prompt: &str,
        max_tokens: u64,
        mut on_piece: F,
    ) -> Result<StreamResponse, MessageError>
    where
        F: FnMut(usize),
    {
        let started = Instant::now();
        let deadline = started + self.timeout;
        let body = chat_body(prompt, max_tokens, true);
        let mut response = self.send("POST", "/v1/chat/completions", body, deadline)?;
        let mut read = StreamResponse {
            status: response.head.status,
            ..StreamResponse::default()
        };
        let mut bytes = Vec::new();
        loop {
            let count = response
                .body
                .read_piece(&mut response.connection, &mut bytes, deadline);
            let is_end = !matches!(count, Ok(count) if count > 0);
            while let Some(end) = bytes.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = bytes.drain(..end + 2).collect();
                let previous_count = read.arrivals.len();
                read.add_event(&String::from_utf8_lossy(&event), started);
                if read.arrivals.len() > previous_count {
                    on_piece(read.arrivals.len());
                }
            }
            if is_end {
                read.has_proper_end = response.body.is_complete();
                if read.status != 200 {
                    read.error = serde_json::from_slice(&bytes).ok();
                }
                return Ok(read);
            }
        }
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<client::HttpResponse, MessageError> {
        let mut headers = self.headers.clone();
        if let Some(key) = &self.key {
            headers.push("authorization", &format!("Bearer {key}"));
        }
        let call = HttpRequest {
            method: method.into(),
            path: path.into(),
            headers,
            body,
        };
        let mut connection = client::connect(self.address, Duration::from_secs(2))?;
        client::send(&mut connection, &call, deadline)?;
        client::receive(connection, deadline)
    }
}

impl StreamResponse {
    fn add_event(&mut self, event: &str, started: Instant) {
        let Some(data) = event.trim().strip_prefix("data:").map(str::trim) else {
            return;
        };
        if data == "[DONE]" {
            self.has_done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if !value["error"].is_null() {
            self.error = Some(value);
            return;
        }
        let content = value["choices"][0]["delta"]["content"].as_str();
        if let Some(content) = content.filter(|content| !content.is_empty()) {
            self.text.push_str(content);
            self.arrivals.push(started.elapsed());
        }
    }
}

/// A chat request with one user message.
pub fn chat_body(prompt: &str, max_tokens: u64, is_stream: bool) -> Vec<u8> {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_stream,
    })
    .to_string()
    .into_bytes()
}

/// Response text that every engine derives from the same request.
pub fn expected_text(prompt: &str, max_tokens: usize) -> String {
    use cardamombridge::standin::answer::{
        ChatMessage,
        expected_answer, //
    };
    expected_answer(&[ChatMessage::new("user", prompt)], max_tokens).concat()
}

/// Revision in force at a host; 0 while it is not ready.
pub fn revision_at(address: SocketAddr) -> u64 {
    let response = Caller::new(address).get("/readyz");
    let value = response.map(|response| response.json()).unwrap_or_default();
    value["revision"].as_u64().unwrap_or_default()
}

/// Names of the entry hosts of all regions that a host returns to a caller.
pub fn entry_hosts(address: SocketAddr) -> Vec<String> {
    let response = Caller::new(address).with_key(CALLER_KEY).get("/v1/entry");
    let value = response.map(|response| response.json()).unwrap_or_default();
    let hosts = value["hosts"].as_array().cloned().unwrap_or_default();
    let names = hosts.iter().filter_map(|host| host["host"].as_str());
    names.map(str::to_string).collect()
}

/// Retries a call that is refused with 503, for at most
/// [`REFUSAL_RETRY_TIMEOUT`], because a host limits how many of its requests it
/// forwards to another region at once; returns the duration of the last call.
pub fn retry_while_refused<F, S, A>(call: F, status: S) -> (Result<A, MessageError>, Duration)
where
    F: Fn() -> Result<A, MessageError>,
    S: Fn(&A) -> u16,
{
    let first = Instant::now();
    loop {
        let started = Instant::now();
        let response = call();
        let is_refused = matches!(&response, Ok(response) if status(response) == 503);
        if !is_refused || first.elapsed() > REFUSAL_RETRY_TIMEOUT {
            return (response, started.elapsed());
        }
        thread::sleep(REFUSAL_RETRY_DELAY);
    }
}

const REFUSAL_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(50);
