//! Stand-in of the platform's key-value service and list.
//!
//! It speaks the part of the published Consul HTTP interface that the gateway
//! uses: `/v1/kv` with compare-and-swap and blocking queries, `/v1/session`,
//! `/v1/health/service` and `/v1/agent/service`. Everything is in memory. Faults
//! are set at run time through [`PlatformStandin`], which can be cloned freely.
//!
//! A dropped connection is a handler thread that unwinds: the server then closes
//! the connection without having sent a byte of the response.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    io::{
        self,
        Read, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    panic,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use oxhttp::{
    Server,
    model::{
        Body,
        Method,
        Request,
        Response,
        StatusCode, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

/// Largest value, as in the published limits of the interface.
pub const MAX_VALUE_BYTES: usize = 512 * 1024;
/// Wait of a blocking query that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Time after a lost session during which its locks cannot be taken.
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);
/// Interval at which waiting queries look for expired sessions and lagging lists.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Oldest list state that is kept, which bounds the list lag.
const LIST_HISTORY: Duration = Duration::from_secs(120);
/// Bound on connections, waiting queries included.
const MAX_CONNECTIONS: usize = 512;
/// Ports tried when the given port is 0.
const BIND_ATTEMPTS: u32 = 16;

/// Numbers of calls since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Calls that read, blocking queries included.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
    /// Blocking queries that wait at this moment.
    pub waiting: u64,
}

#[derive(Debug, Clone)]
struct KeyEntry {
    value: Vec<u8>,
    flags: u64,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    session: Option<String>,
}

#[derive(Debug)]
struct Session {
    ttl: Option<Duration>,
    expires: Option<Instant>,
    deletes_keys: bool,
    lock_delay: Duration,
}

#[derive(Debug, Clone)]
struct Registration {
    name: String,
    address: String,
    port: u64,
    meta: Value,
    status: String,
    maintenance: Option<String>,
}

#[derive(Debug, Clone, Default)]
struct Catalog {
    index: u64,
    services: BTreeMap<String, Registration>,
}

#[derive(Debug)]
struct CatalogState {
    since: Instant,
    catalog: Arc<Catalog>,
}

#[derive(Debug, Default)]
struct Faults {
    is_down: bool,
    delay: Duration,
    writes_to_delay: u64,
    write_delay: Duration,
    answers_to_keep: u64,
    answers_to_lose: u64,
    writes_before_down: Option<u64>,
    list_lag: Duration,
}

impl Faults {
    /// Time that a call waits before it takes effect.
    fn delay_of(&mut self, call: &Call) -> Duration {
        if call.method == Method::GET || self.writes_to_delay == 0 {
            return self.delay;
        }
        self.writes_to_delay -= 1;
        self.write_delay
    }

    /// Counts one write and tells whether its answer is lost.
    fn loses_answer(&mut self) -> bool {
        if self.answers_to_keep > 0 {
            self.answers_to_keep -= 1;
            return false;
        }
        let is_lost = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        is_lost
    }
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    keys: BTreeMap<String, KeyEntry>,
    deleted: BTreeMap<String, u64>,
    lock_delays: BTreeMap<String, Instant>,
    sessions: BTreeMap<String, Session>,
    session_count: u64,
    catalogs: VecDeque<CatalogState>,
    faults: Faults,
    counts: CallCounts,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Handle of a running stand-in.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl PlatformStandin {
    /// Serves on `address`; port 0 takes a free one.
    ///
    /// The server runs until the process ends, because its library cannot stop
    /// one.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().publish_catalog(Catalog::default());
        let mut result = Err(io::Error::other("no port was tried"));
        for _ in 0..BIND_ATTEMPTS {
            let candidate = free_address(address)?;
            result = spawn_server(candidate, &shared).map(|()| candidate);
            if result.is_ok() || address.port() != 0 {
                break;
            }
        }
        let address = result?;
        Ok(Self { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections from now on, or serves again.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.shared.lock();
        state.faults.is_down = is_down;
        state.faults.writes_before_down = None;
        self.shared.changed.notify_all();
    }

    /// Goes down once `writes` more writes have been answered.
    pub fn set_down_after_writes(&self, writes: u64) {
        let mut state = self.shared.lock();
        state.faults.is_down = writes == 0;
        state.faults.writes_before_down = (writes > 0).then_some(writes);
    }

    /// Delays every call before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Delays the next `count` writes before they take effect.
    pub fn delay_writes(&self, count: u64, delay: Duration) {
        let mut state = self.shared.lock();
        state.faults.writes_to_delay = count;
        state.faults.write_delay = delay;
    }

    /// Drops the connections of the next `count` writes after they took effect.
    pub fn lose_write_answers(&self, count: u64) {
        self.lose_write_answers_after(0, count);
    }

    /// Answers the next `kept` writes and drops the connections of `count` after
    /// them once they took effect.
    pub fn lose_write_answers_after(&self, kept: u64, count: u64) {
        let mut state = self.shared.lock();
        state.faults.answers_to_keep = kept;
        state.faults.answers_to_lose = count;
    }

    /// Makes list reads show the state of `lag` ago, at most two minutes.
    pub fn set_list_lag(&self, lag: Duration) {
        self.shared.lock().faults.list_lag = lag;
        self.shared.changed.notify_all();
    }

    /// Sets the health check of a listed service to `passing` or `critical`.
    pub fn set_check(&self, service_id: &str, status: &str) {
        let mut state = self.shared.lock();
        let mut catalog = state.newest_catalog();
        if let Some(registration) = catalog.services.get_mut(service_id) {
            registration.status = status.to_owned();
        }
        state.publish_catalog(catalog);
        self.shared.changed.notify_all();
    }

    /// Numbers of calls since the start.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }
}

fn free_address(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn spawn_server(address: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    let shared = Arc::clone(shared);
    Server::new(move |request| shared.answer(request))
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address)
        .spawn()?;
    Ok(())
}

/// Closes the connection without a response.
fn drop_connection() -> ! {
    panic::resume_unwind(Box::new("connection dropped by the stand-in"))
}

#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
    index: Option<u64>,
}

impl Answer {
    fn json(value: &Value) -> Self {
        Self::bytes(value.to_string().into_bytes())
    }

    fn bytes(body: Vec<u8>) -> Self {
        Self {
            status: StatusCode::OK,
            body,
            index: None,
        }
    }

    fn error(status: StatusCode, text: &str) -> Self {
        Self {
            status,
            body: text.as_bytes().to_vec(),
            index: None,
        }
    }

    fn with_index(mut self, index: u64) -> Self {
        self.index = Some(index);
        self
    }

    fn into_response(self) -> Response<Body> {
        let mut builder = Response::builder().status(self.status);
        if let Some(index) = self.index {
            builder = builder.header("X-Consul-Index", index.to_string());
        }
        builder
            .body(Body::from(self.body))
            .unwrap_or_else(|_| Response::new(Body::empty()))
    }
}

/// One parsed call.
#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Vec<u8>,
}

impl Call {
    fn read(request: &mut Request<Body>) -> io::Result<Self> {
        let mut body = Vec::new();
        let limit = MAX_VALUE_BYTES as u64 + 1;
        request.body_mut().take(limit).read_to_end(&mut body)?;
        Ok(Self {
            method: request.method().clone(),
            path: request.uri().path().to_owned(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            body,
        })
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    fn wait(&self) -> Duration {
        self.parameter("wait")
            .and_then(parse_duration)
            .unwrap_or(DEFAULT_WAIT)
    }

    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Parses `250ms`, `10s` and `5m`.
fn parse_duration(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_at);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_sessions();
        state
    }

    fn answer(&self, request: &mut Request<Body>) -> Response<Body> {
        let Ok(call) = Call::read(request) else {
            drop_connection();
        };
        let delay = self.lock().faults.delay_of(&call);
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        if self.lock().faults.is_down {
            drop_connection();
        }
        let answer = if call.method == Method::GET {
            self.read(&call)
        } else {
            self.write(&call)
        };
        answer.into_response()
    }

    fn read(&self, call: &Call) -> Answer {
        self.lock().counts.reads += 1;
        if let Some(key) = call.path.strip_prefix("/v1/kv/") {
            return self.block(call, |state| state.read_key(key, call));
        }
        if let Some(name) = call.path.strip_prefix("/v1/health/service/") {
            return self.block(call, |state| state.read_list(name));
        }
        Answer::error(StatusCode::NOT_FOUND, "unknown path")
    }

    /// Repeats `read` until its index is above the one in the call.
    fn block<F>(&self, call: &Call, read: F) -> Answer
    where
        F: Fn(&State) -> Answer,
    {
        let seen_index = call.number("index").unwrap_or(0);
        let until = Instant::now() + call.wait();
        let mut state = self.lock();
        state.counts.waiting += 1;
        let answer = loop {
            let answer = read(&state);
            let left = until.saturating_duration_since(Instant::now());
            let is_news = answer.index.is_none_or(|index| index > seen_index);
            if is_news || left.is_zero() || state.faults.is_down {
                break answer;
            }
            let (woken, _) = self
                .changed
                .wait_timeout(state, left.min(POLL_INTERVAL))
                .unwrap_or_else(PoisonError::into_inner);
            state = woken;
            state.expire_sessions();
        };
        state.counts.waiting -= 1;
        let is_down = state.faults.is_down;
        drop(state);
        if is_down {
            drop_connection();
        }
        answer
    }

    fn write(&self, call: &Call) -> Answer {
        let mut state = self.lock();
        state.counts.writes += 1;
        let answer = state.write(call);
        let loses_answer = state.faults.loses_answer();
        if let Some(left) = state.faults.writes_before_down {
            let left = left.saturating_sub(1);
            state.faults.writes_before_down = (left > 0).then_some(left);
            state.faults.is_down = left == 0;
        }
        drop(state);
        self.changed.notify_all();
        if loses_answer {
            drop_connection();
        }
        answer
    }
}

impl State {
    fn next_index(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    fn write(&mut self, call: &Call) -> Answer {
        if let Some(key) = call.path.strip_prefix("/v1/kv/") {
            return match call.method {
                Method::PUT => self.put_key(key, call),
                Method::DELETE => self.delete_key(key, call),
                _ => Answer::error(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "expected GET, PUT or DELETE",
                ),
            };
        }
        if let Some(rest) = call.path.strip_prefix("/v1/session/") {
            return self.write_session(rest, call);
        }
        if let Some(rest) = call.path.strip_prefix("/v1/agent/service/") {
            return self.write_service(rest, call);
        }
        Answer::error(StatusCode::NOT_FOUND, "unknown path")
    }

    fn read_key(&self, key: &str, call: &Call) -> Answer {
        let Some(entry) = self.keys.get(key) else {
            let index = self.deleted.get(key).copied().unwrap_or(1);
            return Answer::error(StatusCode::NOT_FOUND, "").with_index(index);
        };
        if call.parameter("raw").is_some() {
            return Answer::bytes(entry.value.clone()).with_index(entry.modify_index);
        }
        let mut shown = json!({
            "Key": key,
            "Flags": entry.flags,
            "Value": STANDARD.encode(&entry.value),
            "CreateIndex": entry.create_index,
            "ModifyIndex": entry.modify_index,
            "LockIndex": entry.lock_index,
        });
        if let Some(session) = &entry.session {
            shown["Session"] = json!(session);
        }
        Answer::json(&json!([shown])).with_index(entry.modify_index)
    }

    fn put_key(&mut self, key: &str, call: &Call) -> Answer {
        if call.body.len() > MAX_VALUE_BYTES {
            return Answer::error(StatusCode::PAYLOAD_TOO_LARGE, "value is too large");
        }
        let known_index = self.keys.get(key).map_or(0, |entry| entry.modify_index);
        if call.number("cas").is_some_and(|index| index != known_index) {
            return Answer::json(&json!(false));
        }
        let holder = self.keys.get(key).and_then(|entry| entry.session.clone());
        let mut session = holder.clone();
        let mut takes_lock = false;
        if let Some(id) = call.parameter("acquire") {
            if !self.sessions.contains_key(id) {
                let text = format!("invalid session {id:?}");
                return Answer::error(StatusCode::INTERNAL_SERVER_ERROR, &text);
            }
            let is_delayed = self
                .lock_delays
                .get(key)
                .is_some_and(|t| *t > Instant::now());
            if is_delayed || holder.as_deref().is_some_and(|held| held != id) {
                return Answer::json(&json!(false));
            }
            takes_lock = holder.is_none();
            session = Some(id.to_owned());
        }
        if let Some(id) = call.parameter("release") {
            if holder.as_deref() != Some(id) {
                return Answer::json(&json!(false));
            }
            session = None;
        }
        let index = self.next_index();
        let entry = self.keys.entry(key.to_owned()).or_insert(KeyEntry {
            value: Vec::new(),
            flags: 0,
            create_index: index,
            modify_index: index,
            lock_index: 0,
            session: None,
        });
        entry.value.clone_from(&call.body);
        entry.flags = call.number("flags").unwrap_or(entry.flags);
        entry.modify_index = index;
        entry.lock_index += u64::from(takes_lock);
        entry.session = session;
        Answer::json(&json!(true))
    }

    fn delete_key(&mut self, key: &str, call: &Call) -> Answer {
        let known_index = self.keys.get(key).map_or(0, |entry| entry.modify_index);
        if call.number("cas").is_some_and(|index| index != known_index) {
            return Answer::json(&json!(false));
        }
        if self.keys.remove(key).is_some() {
            let index = self.next_index();
            self.deleted.insert(key.to_owned(), index);
        }
        Answer::json(&json!(true))
    }

    fn write_session(&mut self, rest: &str, call: &Call) -> Answer {
        if rest == "create" {
            return self.create_session(call);
        }
        match rest.split_once('/') {
            Some(("renew", id)) => self.renew_session(id),
            Some(("destroy", id)) => {
                self.end_session(id, false);
                Answer::json(&json!(true))
            }
            _ => Answer::error(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn create_session(&mut self, call: &Call) -> Answer {
        let body = call.json();
        let duration = |name: &str| body[name].as_str().and_then(parse_duration);
        let ttl = duration("TTL");
        self.session_count += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.session_count);
        let session = Session {
            ttl,
            expires: ttl.map(|ttl| Instant::now() + ttl),
            deletes_keys: body["Behavior"] == "delete",
            lock_delay: duration("LockDelay").unwrap_or(DEFAULT_LOCK_DELAY),
        };
        self.sessions.insert(id.clone(), session);
        Answer::json(&json!({ "ID": id }))
    }

    fn renew_session(&mut self, id: &str) -> Answer {
        let Some(session) = self.sessions.get_mut(id) else {
            return Answer::error(StatusCode::NOT_FOUND, "session not found");
        };
        session.expires = session.ttl.map(|ttl| Instant::now() + ttl);
        Answer::json(&json!([{ "ID": id }]))
    }

    fn expire_sessions(&mut self) {
        let now = Instant::now();
        let is_expired = |session: &Session| session.expires.is_some_and(|at| at <= now);
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_expired(session))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.end_session(&id, true);
        }
    }

    fn end_session(&mut self, id: &str, is_expired: bool) {
        let Some(session) = self.sessions.remove(id) else {
            return;
        };
        let held: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            let index = self.next_index();
            if session.deletes_keys {
                self.keys.remove(&key);
                self.deleted.insert(key.clone(), index);
            } else if let Some(entry) = self.keys.get_mut(&key) {
                entry.session = None;
                entry.modify_index = index;
            }
            if is_expired {
                self.lock_delays
                    .insert(key, Instant::now() + session.lock_delay);
            }
        }
    }

    fn newest_catalog(&self) -> Catalog {
        self.catalogs
            .back()
            .map(|newest| Catalog::clone(&newest.catalog))
            .unwrap_or_default()
    }

    fn publish_catalog(&mut self, mut catalog: Catalog) {
        let now = Instant::now();
        catalog.index = self.next_index();
        self.catalogs.push_back(CatalogState {
            since: now,
            catalog: Arc::new(catalog),
        });
        let is_old = |at: Instant| now.duration_since(at) > LIST_HISTORY;
        while self.catalogs.get(1).is_some_and(|next| is_old(next.since)) {
            self.catalogs.pop_front();
        }
    }

    fn visible_catalog(&self) -> Option<&Catalog> {
        let now = Instant::now();
        self.catalogs
            .iter()
            .rev()
            .find(|known| now.duration_since(known.since) >= self.faults.list_lag)
            .or(self.catalogs.front())
            .map(|known| known.catalog.as_ref())
    }

    fn read_list(&self, name: &str) -> Answer {
        let Some(catalog) = self.visible_catalog() else {
            return Answer::json(&json!([]));
        };
        let entries: Vec<Value> = catalog
            .services
            .iter()
            .filter(|(_, registration)| registration.name == name)
            .map(|(id, registration)| registration.shown(id))
            .collect();
        Answer::json(&json!(entries)).with_index(catalog.index)
    }

    fn write_service(&mut self, rest: &str, call: &Call) -> Answer {
        let mut catalog = self.newest_catalog();
        if rest == "register" {
            let Some((id, registration)) = Registration::from_json(&call.json()) else {
                return Answer::error(StatusCode::BAD_REQUEST, "missing service name");
            };
            catalog.services.insert(id, registration);
        } else if let Some(id) = rest.strip_prefix("deregister/") {
            catalog.services.remove(id);
        } else if let Some(id) = rest.strip_prefix("maintenance/") {
            let Some(registration) = catalog.services.get_mut(id) else {
                return Answer::error(StatusCode::NOT_FOUND, "unknown service");
            };
            let reason = call.parameter("reason").unwrap_or_default().to_owned();
            let is_on = call.parameter("enable") == Some("true");
            registration.maintenance = is_on.then_some(reason);
        } else {
            return Answer::error(StatusCode::NOT_FOUND, "unknown path");
        }
        self.publish_catalog(catalog);
        Answer::bytes(Vec::new())
    }
}

impl Registration {
    fn from_json(body: &Value) -> Option<(String, Self)> {
        let text = |value: &Value| value.as_str().map(str::to_owned);
        let name = text(&body["Name"])?;
        let id = text(&body["ID"]).unwrap_or_else(|| name.clone());
        let registration = Self {
            name,
            address: text(&body["Address"]).unwrap_or_default(),
            port: body["Port"].as_u64().unwrap_or(0),
            meta: body["Meta"].clone(),
            status: text(&body["Check"]["Status"]).unwrap_or_else(|| "passing".to_owned()),
            maintenance: None,
        };
        Some((id, registration))
    }

    fn shown(&self, id: &str) -> Value {
        let check = |check_id: String, status: &str, output: &str| {
            json!({
                "CheckID": check_id,
                "Status": status,
                "Output": output,
                "ServiceID": id,
                "ServiceName": self.name,
            })
        };
        let mut checks = vec![check(format!("service:{id}"), &self.status, "")];
        if let Some(reason) = &self.maintenance {
            checks.push(check(
                format!("_service_maintenance:{id}"),
                "critical",
                reason,
            ));
        }
        json!({
            "Node": { "Node": id, "Address": self.address },
            "Service": {
                "ID": id,
                "Service": self.name,
                "Address": self.address,
                "Port": self.port,
                "Meta": self.meta,
            },
            "Checks": checks,
        })
    }
}
