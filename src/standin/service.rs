//! A plain service on loopback, some of whose calls must not be repeated.
//!
//! `POST` on any path runs a call and counts it under its key, the `key` of a
//! JSON body or else the whole body. `GET /stock/...` may be repeated.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::json;

use super::{
    engine::{
        cut,
        metrics_text, //
    },
    listener::{
        Listener,
        Next,
        Request,
        lock,
        respond_json,
        respond_unavailable,
        write_deadline, //
    },
    model::ModelLoad, //
};
use crate::{
    http::{
        connection::Connection,
        message::{
            Headers,
            MessageError, //
        },
        server::respond, //
    },
    types::{
        Bytes,
        Incarnation, //
    }, //
};

/// `Retry-After` of a refusal.
const RETRY_AFTER_S: u32 = 1;

/// How a service stand-in is set up.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Port on loopback; 0 takes a free one.
    pub port: u16,
    /// Name of the service.
    pub service: CompactString,
    /// Current run, shown in the metrics.
    pub incarnation: Incarnation,
    /// Calls that run at the same time; further ones are refused.
    pub slots: u32,
    /// How long a call takes.
    pub delay: Duration,
}

impl ServiceOptions {
    /// A quick service called `service`.
    pub fn new(service: &str) -> Self {
        Self {
            port: 0,
            service: CompactString::from(service),
            incarnation: Incarnation(1),
            slots: 64,
            delay: Duration::ZERO,
        }
    }

    /// The same service with another duration of calls.
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// The same service with another number of calls at the same time.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// The same service as another run on a given port.
    pub fn with_restart(mut self, port: u16, incarnation: Incarnation) -> Self {
        self.port = port;
        self.incarnation = incarnation;
        self
    }
}

/// One call that a service has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenCall {
    /// Field `x-request-id`, or empty.
    pub id: CompactString,
    /// Method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Length of the body.
    pub body: Bytes,
    /// Whether it was accepted and not refused.
    pub has_run: bool,
}

#[derive(Debug, Deserialize)]
struct KeyedBody {
    key: String,
}

#[derive(Debug, Default)]
struct Core {
    runs: BTreeMap<String, u32>,
    seen: Vec<SeenCall>,
    delay: Duration,
    running: u32,
    drops_left: u32,
    is_leaving: bool,
}

#[derive(Debug)]
struct Service {
    options: ServiceOptions,
    core: Mutex<Core>,
}

/// A running service stand-in.
#[derive(Debug)]
pub struct ServiceStandin {
    service: Arc<Service>,
    listener: Listener,
}

impl ServiceStandin {
    /// Starts a service on loopback.
    pub fn start(options: ServiceOptions) -> io::Result<Self> {
        let port = options.port;
        let core = Core {
            delay: options.delay,
            ..Core::default()
        };
        let service = Arc::new(Service {
            options,
            core: Mutex::new(core),
        });
        let listener = {
            let service = Arc::clone(&service);
            Listener::start(port, move |connection, request| {
                service.serve(connection, &request)
            })?
        };
        Ok(Self { service, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Makes it refuse new calls, or take them again.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.service.core).is_leaving = is_leaving;
    }

    /// Sets how long a call takes.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.service.core).delay = delay;
    }

    /// Makes the next `count` calls run and then close without an answer.
    pub fn drop_after_running(&self, count: u32) {
        lock(&self.service.core).drops_left = count;
    }

    /// How often the call with this key ran.
    pub fn runs(&self, key: &str) -> u32 {
        let core = lock(&self.service.core);
        core.runs.get(key).copied().unwrap_or(0)
    }

    /// How often each call ran, by key.
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        lock(&self.service.core).runs.clone()
    }

    /// All calls so far, in order of arrival.
    pub fn seen(&self) -> Vec<SeenCall> {
        lock(&self.service.core).seen.clone()
    }

    /// Stops at once and breaks all connections.
    pub fn stop(&mut self) {
        self.listener.stop();
    }
}

impl Service {
    fn serve(&self, connection: &mut Connection, request: &Request) -> Result<Next, MessageError> {
        match (request.head.method.as_str(), request.head.path.as_str()) {
            ("GET", "/health") if lock(&self.core).is_leaving => {
                respond_unavailable(connection, RETRY_AFTER_S, "leaving")
            }
            ("GET", "/health") => respond_json(connection, 200, Headers::new(), &json!({})),
            ("GET", "/metrics") => self.metrics(connection),
            ("POST" | "PUT" | "DELETE", _) => self.call(connection, request),
            ("GET", path) if path.starts_with("/stock/") => self.call(connection, request),
            _ => respond_json(connection, 404, Headers::new(), &json!({})),
        }
    }

    fn metrics(&self, connection: &mut Connection) -> Result<Next, MessageError> {
        let load = ModelLoad {
            running: lock(&self.core).running,
            ..ModelLoad::default()
        };
        let text = metrics_text(&self.options.service, load, self.options.incarnation);
        let headers = Headers::new().with_field("content-type", "text/plain; version=0.0.4");
        respond(connection, 200, headers, text.as_bytes(), write_deadline())?;
        Ok(Next::Keep)
    }

    fn call(&self, connection: &mut Connection, request: &Request) -> Result<Next, MessageError> {
        let is_read = request.head.method == "GET";
        let Some(delay) = self.accept(request) else {
            return respond_unavailable(connection, RETRY_AFTER_S, "no capacity");
        };
        thread::sleep(delay);
        let key = if is_read {
            request.head.path.to_string()
        } else {
            body_key(&request.body)
        };
        let (runs, is_dropped) = self.finish(&key, is_read);
        if is_dropped {
            return cut(connection);
        }
        let body = if is_read {
            json!({ "item": key, "in_stock": stock(&key) })
        } else {
            json!({ "key": key, "runs": runs })
        };
        respond_json(connection, 200, Headers::new(), &body)
    }

    fn accept(&self, request: &Request) -> Option<Duration> {
        let mut core = lock(&self.core);
        let is_accepted = !core.is_leaving && core.running < self.options.slots;
        core.seen.push(SeenCall {
            id: CompactString::from(request.head.headers.get("x-request-id").unwrap_or("")),
            method: request.head.method.clone(),
            path: request.head.path.clone(),
            body: Bytes(request.body.len() as u64),
            has_run: is_accepted,
        });
        if !is_accepted {
            return None;
        }
        core.running += 1;
        Some(core.delay)
    }

    fn finish(&self, key: &str, is_read: bool) -> (u32, bool) {
        let mut core = lock(&self.core);
        core.running -= 1;
        let is_dropped = core.drops_left > 0;
        core.drops_left = core.drops_left.saturating_sub(1);
        if is_read {
            return (0, is_dropped);
        }
        let runs = core.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        (*runs, is_dropped)
    }
}

fn body_key(body: &[u8]) -> String {
    match serde_json::from_slice::<KeyedBody>(body) {
        Ok(keyed) => keyed.key,
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    }
}

fn stock(item: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(item.as_bytes()) % 100
}
