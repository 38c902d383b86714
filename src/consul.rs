//! Client of a key-value service and list that speak the Consul HTTP interface.
//!
//! The interface is the published one. A write whose response did
//! not arrive may have taken effect, so it is reported as
//! [`CasOutcome::Unknown`]; only a refused connection and a rejection by the
//! service itself prove that nothing was written. Nothing is retried in here.

use std::{
    collections::BTreeMap,
    fmt,
    io::{
        self,
        ErrorKind,
        Read, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compact_str::{
    CompactString,
    format_compact, //
};
use oxhttp::{
    Client,
    model::{
        Body,
        Method,
        Request,
        Response, //
    }, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    decision::view::{
        EndpointInfo,
        HostInfo, //
    },
    types::ParseError, //
};

/// Largest value that is written, the published limit of the interface.
pub const MAX_VALUE_BYTES: usize = 512 * 1024;
/// Service name of the entry hosts in the list.
pub const HOST_SERVICE: &str = "cardamombridge";
/// Service name of the endpoints of all targets in the list.
pub const ENDPOINT_SERVICE: &str = "cardamombridge-endpoint";
/// Timeout of a call when none is set.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// A value of 512 KiB in base64 with the fields around it.
const MAX_KEY_ANSWER_BYTES: u64 = 768 * 1024;
/// 10,000 endpoints at about 800 bytes each, with room to grow.
const MAX_LIST_ANSWER_BYTES: u64 = 32 * 1024 * 1024;
/// Longest part of an error text that is kept.
const MAX_ERROR_TEXT_BYTES: usize = 200;
/// Prefix of the check that marks a service as leaving.
const MAINTENANCE_PREFIX: &str = "_service_maintenance:";

/// Why a call of the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The connection was refused, so the call had no effect.
    #[error("platform at {address} refused the connection")]
    NotSent {
        /// Address of the service.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The call may have been sent, but its response did not arrive.
    #[error("no response from the platform at {address}")]
    NoAnswer {
        /// Address of the service.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The service rejected the call, which had no effect.
    #[error("platform rejected {path}: status {status}, {text:?}")]
    Rejected {
        /// Path of the call.
        path: CompactString,
        /// HTTP status.
        status: u16,
        /// Start of the body.
        text: CompactString,
    },
    /// The service failed while it handled the call.
    #[error("platform failed at {path}: status {status}, {text:?}")]
    Failed {
        /// Path of the call.
        path: CompactString,
        /// HTTP status.
        status: u16,
        /// Start of the body.
        text: CompactString,
    },
    /// The response is not what the published interface describes.
    #[error("platform sent an invalid response for {path}: {reason}")]
    InvalidAnswer {
        /// Path of the call.
        path: CompactString,
        /// What is wrong with it.
        reason: CompactString,
    },
    /// The value is above the limit and was not sent.
    #[error("value of key {key:?} has {size_bytes} bytes, expected at most {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The key.
        key: CompactString,
        /// Size of the value.
        size_bytes: usize,
    },
}

impl PlatformError {
    /// Whether a write that failed like this may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::NoAnswer { .. } | Self::Failed { .. } | Self::InvalidAnswer { .. } => true,
            Self::NotSent { .. } | Self::Rejected { .. } | Self::TooLarge { .. } => false,
        }
    }
}

/// Modification index of the service, which grows with every write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Index(pub u64);

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a read of a key found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyState {
    /// Index for [`KeyValue::compare_and_swap`]; 0 if the key does not exist.
    pub modify_index: Index,
    /// Index for the next [`KeyValue::read_blocking`].
    pub watch_index: Index,
    /// Session that holds the key's lock.
    pub session: Option<SessionId>,
    /// The value, if the key exists.
    pub value: Option<Vec<u8>>,
}

/// How a conditional write ended.
#[derive(Debug)]
pub enum CasOutcome {
    /// The value was written.
    Written,
    /// The key has changed or is locked by another session; nothing was written.
    Stale,
    /// The response was lost; the value may have been written, now or later.
    Unknown(PlatformError),
}

/// Identifies a session, which holds locks until its lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(CompactString);

/// Entries of the list with the index for the next read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed<Entry> {
    /// Index for the next blocking read.
    pub index: Index,
    /// Entries that could be parsed and are live or leaving.
    pub entries: Vec<Entry>,
    /// Entries that were passed over because they could not be parsed.
    pub invalid: usize,
}

#[derive(Debug, Clone)]
struct Transport {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Debug)]
struct Reply {
    status: u16,
    index: Index,
    body: Vec<u8>,
}

#[derive(Debug)]
struct Call<'a> {
    method: Method,
    path: &'a str,
    body: Vec<u8>,
    timeout: Duration,
    max_answer_bytes: u64,
}

impl Transport {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sends one call and reads the whole response.
    fn send(&self, call: Call<'_>) -> Result<Reply, PlatformError> {
        let deadline = Instant::now() + call.timeout;
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .body(call.body)
            .map_err(|error| self.invalid(call.path, &error.to_string()))?;
        let response = Client::new()
            .with_global_timeout(call.timeout)
            .request(request)
            .map_err(|source| self.io_error(source))?;
        let status = response.status().as_u16();
        let index = consul_index(&response);
        let body = read_body(response.into_body(), call.max_answer_bytes, deadline)
            .map_err(|source| self.no_answer(source))?;
        let reply = Reply {
            status,
            index,
            body,
        };
        reply.checked(call.path)
    }

    /// Runs a blocking read for at most `wait` and the usual timeout.
    fn read(
        &self,
        path: &str,
        index: Index,
        wait: Duration,
        max_answer_bytes: u64,
    ) -> Result<Reply, PlatformError> {
        let path = if index == Index::default() {
            path.to_owned()
        } else {
            format!("{path}?index={index}&wait={}ms", wait.as_millis())
        };
        // The published interface adds up to a sixteenth of the wait.
        let timeout = self.timeout + wait + wait / 16;
        self.send(Call {
            method: Method::GET,
            path: &path,
            body: Vec::new(),
            timeout,
            max_answer_bytes,
        })
    }

    fn write(&self, path: &str, body: Vec<u8>) -> Result<Reply, PlatformError> {
        self.send(Call {
            method: Method::PUT,
            path,
            body,
            timeout: self.timeout,
            max_answer_bytes: MAX_KEY_ANSWER_BYTES,
        })
    }

    fn io_error(&self, source: io::Error) -> PlatformError {
        match source.kind() {
            ErrorKind::ConnectionRefused => PlatformError::NotSent {
                address: self.address,
                source,
            },
            _ => self.no_answer(source),
        }
    }

    fn no_answer(&self, source: io::Error) -> PlatformError {
        PlatformError::NoAnswer {
            address: self.address,
            source,
        }
    }

    fn invalid(&self, path: &str, reason: &str) -> PlatformError {
        PlatformError::InvalidAnswer {
            path: CompactString::from(path),
            reason: CompactString::from(reason),
        }
    }

    fn decode<Answer>(&self, path: &str, body: &[u8]) -> Result<Answer, PlatformError>
    where
        Answer: DeserializeOwned,
    {
        serde_json::from_slice(body).map_err(|error| self.invalid(path, &error.to_string()))
    }
}

impl Reply {
    fn checked(self, path: &str) -> Result<Self, PlatformError> {
        if matches!(self.status, 200 | 404) {
            return Ok(self);
        }
        let path = CompactString::from(path);
        let status = self.status;
        let end = self.body.len().min(MAX_ERROR_TEXT_BYTES);
        let text = CompactString::from_utf8_lossy(&self.body[..end]);
        if (400..500).contains(&status) {
            return Err(PlatformError::Rejected { path, status, text });
        }
        Err(PlatformError::Failed { path, status, text })
    }
}

fn consul_index(response: &Response<Body>) -> Index {
    let number = response
        .headers()
        .get("X-Consul-Index")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    // The published interface asks clients to treat an index of 0 as 1.
    Index(number.unwrap_or(0).max(1))
}

fn read_body(mut body: Body, max_bytes: u64, deadline: Instant) -> io::Result<Vec<u8>> {
    const CHUNK_BYTES: usize = 16 * 1024;
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = body.read(&mut chunk)?;
        if length == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&chunk[..length]);
        if bytes.len() as u64 > max_bytes {
            return Err(io::Error::other("response is too large"));
        }
        if Instant::now() > deadline {
            return Err(io::Error::from(ErrorKind::TimedOut));
        }
    }
}

/// Client of the key-value service.
#[derive(Debug, Clone)]
pub struct KeyValue {
    transport: Transport,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyAnswer {
    value: Option<String>,
    modify_index: u64,
    session: Option<SessionId>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'static str,
}

#[derive(Debug, Deserialize)]
struct SessionAnswer {
    #[serde(rename = "ID")]
    id: SessionId,
}

impl KeyValue {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            transport: Transport::new(address),
        }
    }

    /// The same client with another timeout for each call.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.transport.timeout = timeout;
        self
    }

    /// Reads a key.
    pub fn read(&self, key: &str) -> Result<KeyState, PlatformError> {
        self.read_blocking(key, Index::default(), Duration::ZERO)
    }

    /// Reads a key once its index is above `index`, or after `wait`.
    ///
    /// An index of 0 returns at once.
    pub fn read_blocking(
        &self,
        key: &str,
        index: Index,
        wait: Duration,
    ) -> Result<KeyState, PlatformError> {
        let path = format!("/v1/kv/{key}");
        let reply = self
            .transport
            .read(&path, index, wait, MAX_KEY_ANSWER_BYTES)?;
        if reply.status == 404 {
            return Ok(KeyState {
                modify_index: Index::default(),
                watch_index: reply.index,
                session: None,
                value: None,
            });
        }
        let answers: Vec<KeyAnswer> = self.transport.decode(&path, &reply.body)?;
        let answer = answers
            .into_iter()
            .next()
            .ok_or_else(|| self.transport.invalid(&path, "empty array"))?;
        let value = STANDARD
            .decode(answer.value.unwrap_or_default())
            .map_err(|error| self.transport.invalid(&path, &error.to_string()))?;
        Ok(KeyState {
            modify_index: Index(answer.modify_index),
            watch_index: reply.index,
            session: answer.session,
            value: Some(value),
        })
    }

    /// Writes a key if its index is still `index`; 0 means that it must not exist.
    ///
    /// An error means that nothing was written.
    pub fn compare_and_swap(
        &self,
        key: &str,
        index: Index,
        value: Vec<u8>,
    ) -> Result<CasOutcome, PlatformError> {
        self.write_if(key, &format!("cas={index}"), value)
    }

    /// Writes a key and takes its lock for `session`.
    ///
    /// An error means that nothing was written.
    pub fn acquire(
        &self,
        key: &str,
        session: &SessionId,
        value: Vec<u8>,
    ) -> Result<CasOutcome, PlatformError> {
        self.write_if(key, &format!("acquire={}", session.0), value)
    }

    /// Writes a key and gives up its lock, if `session` holds it.
    ///
    /// An error means that nothing was written.
    pub fn release(
        &self,
        key: &str,
        session: &SessionId,
        value: Vec<u8>,
    ) -> Result<CasOutcome, PlatformError> {
        self.write_if(key, &format!("release={}", session.0), value)
    }

    fn write_if(
        &self,
        key: &str,
        condition: &str,
        value: Vec<u8>,
    ) -> Result<CasOutcome, PlatformError> {
        let size_bytes = value.len();
        if size_bytes > MAX_VALUE_BYTES {
            let key = CompactString::from(key);
            return Err(PlatformError::TooLarge { key, size_bytes });
        }
        let path = format!("/v1/kv/{key}?{condition}");
        let written = self
            .transport
            .write(&path, value)
            .and_then(|reply| self.transport.decode(&path, &reply.body));
        match written {
            Ok(true) => Ok(CasOutcome::Written),
            Ok(false) => Ok(CasOutcome::Stale),
            Err(error) if error.may_have_taken_effect() => Ok(CasOutcome::Unknown(error)),
            Err(error) => Err(error),
        }
    }

    /// Starts a session whose lease ends `ttl` after its last renewal.
    ///
    /// Locks of an ended session are released.
    pub fn create_session(&self, ttl: Duration) -> Result<SessionId, PlatformError> {
        const PATH: &str = "/v1/session/create";
        let request = SessionRequest {
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release",
        };
        let body = serde_json::to_vec(&request)
            .map_err(|error| self.transport.invalid(PATH, &error.to_string()))?;
        let reply = self.transport.write(PATH, body)?;
        let answer: SessionAnswer = self.transport.decode(PATH, &reply.body)?;
        Ok(answer.id)
    }

    /// Renews a session's lease; `false` means that the session has ended.
    pub fn renew_session(&self, session: &SessionId) -> Result<bool, PlatformError> {
        let path = format!("/v1/session/renew/{}", session.0);
        let reply = self.transport.write(&path, Vec::new())?;
        Ok(reply.status == 200)
    }

    /// Ends a session and releases its locks.
    pub fn destroy_session(&self, session: &SessionId) -> Result<(), PlatformError> {
        let path = format!("/v1/session/destroy/{}", session.0);
        self.transport.write(&path, Vec::new())?;
        Ok(())
    }
}

/// Client of the list of endpoints and entry hosts.
#[derive(Debug, Clone)]
pub struct ServiceList {
    transport: Transport,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListAnswer {
    service: ServiceAnswer,
    #[serde(default)]
    checks: Vec<CheckAnswer>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceAnswer {
    #[serde(rename = "ID")]
    id: CompactString,
    address: CompactString,
    port: u16,
    meta: Option<BTreeMap<CompactString, CompactString>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CheckAnswer {
    #[serde(rename = "CheckID")]
    check_id: CompactString,
    status: CompactString,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterRequest {
    #[serde(rename = "ID")]
    id: CompactString,
    name: &'static str,
    address: IpAddr,
    port: u16,
    meta: BTreeMap<&'static str, CompactString>,
}

impl ListAnswer {
    /// A failing check other than maintenance means that the entry is not live.
    fn is_live(&self) -> bool {
        self.checks
            .iter()
            .filter(|check| !check.check_id.starts_with(MAINTENANCE_PREFIX))
            .all(|check| check.status != "critical")
    }

    fn is_leaving(&self) -> bool {
        self.checks
            .iter()
            .filter(|check| check.check_id.starts_with(MAINTENANCE_PREFIX))
            .any(|check| check.status == "critical")
    }

    fn meta(&self, name: &'static str) -> &str {
        self.service
            .meta
            .as_ref()
            .and_then(|meta| meta.get(name))
            .map_or("", CompactString::as_str)
    }

    fn address(&self) -> Result<SocketAddr, ParseError> {
        let ip: IpAddr = self.service.address.parse().map_err(|_| {
            ParseError::new("service address", &self.service.address, "an IP address")
        })?;
        Ok(SocketAddr::new(ip, self.service.port))
    }

    fn endpoint(&self) -> Result<EndpointInfo, ParseError> {
        let slots = self.meta("slots");
        Ok(EndpointInfo {
            id: self.service.id.parse()?,
            address: self.address()?,
            region: self.meta("region").parse()?,
            data_centre: self.meta("data_centre").parse()?,
            target: self.meta("target").parse()?,
            version: CompactString::from(self.meta("version")),
            slots: slots
                .parse()
                .map_err(|_| ParseError::new("number of slots", slots, "a whole number"))?,
            can_continue: self.meta("can_continue") == "true",
            is_leaving: self.is_leaving(),
        })
    }

    fn host(&self) -> Result<HostInfo, ParseError> {
        Ok(HostInfo {
            id: self.service.id.parse()?,
            region: self.meta("region").parse()?,
            peer_address: self.address()?,
            is_leaving: self.is_leaving(),
        })
    }
}

impl ServiceList {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            transport: Transport::new(address),
        }
    }

    /// The same client with another timeout for each call.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.transport.timeout = timeout;
        self
    }

    /// Endpoints of all targets, once the list is newer than `index`.
    pub fn list_endpoints(
        &self,
        index: Index,
        wait: Duration,
    ) -> Result<Listed<EndpointInfo>, PlatformError> {
        self.list(ENDPOINT_SERVICE, index, wait, ListAnswer::endpoint)
    }

    /// Entry hosts, once the list is newer than `index`.
    pub fn list_hosts(
        &self,
        index: Index,
        wait: Duration,
    ) -> Result<Listed<HostInfo>, PlatformError> {
        self.list(HOST_SERVICE, index, wait, ListAnswer::host)
    }

    fn list<Entry, Parse>(
        &self,
        name: &str,
        index: Index,
        wait: Duration,
        parse: Parse,
    ) -> Result<Listed<Entry>, PlatformError>
    where
        Parse: Fn(&ListAnswer) -> Result<Entry, ParseError>,
    {
        let path = format!("/v1/health/service/{name}");
        let reply = self
            .transport
            .read(&path, index, wait, MAX_LIST_ANSWER_BYTES)?;
        // An entry that cannot be read says nothing about the entries beside it.
        let text = String::from_utf8_lossy(&reply.body);
        let answers: Vec<Box<RawValue>> = self.transport.decode(&path, text.as_bytes())?;
        let mut listed = Listed {
            index: reply.index,
            entries: Vec::new(),
            invalid: 0,
        };
        for raw in answers {
            let answer: ListAnswer = match serde_json::from_str(raw.get()) {
                Ok(answer) => answer,
                Err(error) => {
                    listed.invalid += 1;
                    tracing::warn!(list = name, %error, "list entry cannot be read");
                    continue;
                }
            };
            if !answer.is_live() {
                continue;
            }
            match parse(&answer) {
                Ok(entry) => listed.entries.push(entry),
                Err(error) => {
                    listed.invalid += 1;
                    tracing::warn!(service = %answer.service.id, %error, "invalid list entry");
                }
            }
        }
        Ok(listed)
    }

    /// Adds an endpoint to the list or replaces its entry.
    pub fn register_endpoint(&self, info: &EndpointInfo) -> Result<(), PlatformError> {
        let meta = BTreeMap::from([
            ("region", format_compact!("{}", info.region)),
            ("data_centre", format_compact!("{}", info.data_centre)),
            ("target", format_compact!("{}", info.target)),
            ("version", info.version.clone()),
            ("slots", format_compact!("{}", info.slots)),
            ("can_continue", format_compact!("{}", info.can_continue)),
        ]);
        self.register(RegisterRequest {
            id: CompactString::from(info.id.as_str()),
            name: ENDPOINT_SERVICE,
            address: info.address.ip(),
            port: info.address.port(),
            meta,
        })
    }

    /// Adds an entry host to the list or replaces its entry.
    pub fn register_host(&self, info: &HostInfo) -> Result<(), PlatformError> {
        self.register(RegisterRequest {
            id: CompactString::from(info.id.as_str()),
            name: HOST_SERVICE,
            address: info.peer_address.ip(),
            port: info.peer_address.port(),
            meta: BTreeMap::from([("region", format_compact!("{}", info.region))]),
        })
    }

    fn register(&self, request: RegisterRequest) -> Result<(), PlatformError> {
        const PATH: &str = "/v1/agent/service/register";
        let body = serde_json::to_vec(&request)
            .map_err(|error| self.transport.invalid(PATH, &error.to_string()))?;
        self.transport.write(PATH, body).map(drop)
    }

    /// Marks an endpoint or entry host as leaving, or clears the mark.
    pub fn set_leaving(&self, id: &str, is_leaving: bool) -> Result<(), PlatformError> {
        let path = format!("/v1/agent/service/maintenance/{id}?enable={is_leaving}");
        self.transport.write(&path, Vec::new()).map(drop)
    }

    /// Removes an endpoint or entry host from the list.
    pub fn deregister(&self, id: &str) -> Result<(), PlatformError> {
        let path = format!("/v1/agent/service/deregister/{id}");
        self.transport.write(&path, Vec::new()).map(drop)
    }
}
