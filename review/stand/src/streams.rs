//! A server of one software version that streams events, and can crash and start again at its
//! address.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use cardamombridge::gateway::head::parse_request;
use serde_json::{
    Value,
    json, //
};

const MAX_HEAD_BYTES: usize = 64 * 1024;
const HEALTH_PATH: &str = "/healthz";
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// What a start of the server is.
#[derive(Debug, Clone)]
struct Start {
    version: String,
    born_ms: u64,
    is_running: bool,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct StreamRun {
    /// Id of the client attempt.
    pub attempt: String,
    /// Event after which it went on.
    pub after: Option<u64>,
    /// Version of the start that ran it.
    pub version: String,
    /// When it arrived.
    pub at: Instant,
}

/// A server that keeps its id and address over restarts.
#[derive(Clone)]
pub struct StreamServer {
    id: &'static str,
    address: SocketAddr,
    start: Arc<Mutex<Start>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    runs: Arc<Mutex<Vec<StreamRun>>>,
    events: u64,
    pause: Duration,
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.expect("a time after 1970").as_millis() as u64
}

impl StreamServer {
    /// Starts a server whose streams have `events` events with a pause after each.
    pub fn start(id: &'static str, version: &str, events: u64, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id,
            address: listener.local_addr().expect("an address"),
            start: Arc::new(Mutex::new(Start {
                version: version.into(),
                born_ms: unix_ms(),
                is_running: true,
            })),
            open: Arc::default(),
            cold_until: Arc::default(),
            runs: Arc::default(),
            events,
            pause,
        };
        server.clone().accept(listener);
        server
    }

    fn accept(self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("the mode can be set");
        thread::spawn(move || {
            while self.now().is_running {
                match listener.accept() {
                    Ok((stream, _)) => self.serve(stream),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(ACCEPT_INTERVAL);
                    }
                    Err(_) => return,
                }
            }
        });
    }

    fn now(&self) -> Start {
        self.start.lock().expect("no server panics").clone()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nonblocking(false).expect("the mode can be set");
        let copy = stream.try_clone().expect("a second handle");
        self.open.lock().expect("no server panics").push(copy);
        let (server, start) = (self.clone(), self.now());
        thread::spawn(move || server.answer_all(stream, &start));
    }

    fn answer_all(&self, mut stream: TcpStream, start: &Start) {
        let mut input = Vec::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            let (head, length) = match parse_request(&input, MAX_HEAD_BYTES) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => {
                        input.extend_from_slice(&buffer[..count]);
                        continue;
                    }
                },
                Err(_) => return,
            };
            input.drain(..length);
            let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
            let is_other = head
                .header("x-expect-instance")
                .is_some_and(|expected| expected != self.id);
            if is_other {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if head.path() == HEALTH_PATH {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Cold-Ms: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id,
                    self.cold_left_ms()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after = head.header("last-event-id").and_then(|id| id.parse().ok());
            self.runs.lock().expect("no server panics").push(StreamRun {
                attempt: attempt.clone(),
                after,
                version: start.version.clone(),
                at: Instant::now(),
            });
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for number in after.map_or(0, |after: u64| after + 1)..self.events {
                let event = format!(
                    "id: {number}\ndata: token {number} of {}\n\n",
                    start.version
                );
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(self.pause);
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// Ends the server as a crash does: it accepts nothing, and all channels break.
    pub fn crash(&self) {
        self.start.lock().expect("no server panics").is_running = false;
        for stream in self.open.lock().expect("no server panics").drain(..) {
            // The other end may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the server again under its id and at its address, with this software version.
    pub fn start_again(&self, version: &str) {
        let mut start = self.start.lock().expect("no server panics");
        *start = Start {
            version: version.into(),
            born_ms: unix_ms(),
            is_running: true,
        };
        drop(start);
        let listener = TcpListener::bind(self.address).expect("its port is free");
        self.clone().accept(listener);
    }

    /// Becomes cold for some time, which its entry and its health answers say.
    pub fn become_cold(&self, time: Duration) {
        *self.cold_until.lock().expect("no server panics") = Some(Instant::now() + time);
    }

    fn cold_left_ms(&self) -> u64 {
        let until = *self.cold_until.lock().expect("no server panics");
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| left.as_millis() as u64)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, region: &str, seq: u64) -> Value {
        let start = self.now();
        json!({
            "backend": "desk", "addr": self.address.to_string(), "zone": format!("{region}-a"),
            "version": start.version, "slots": 64, "state": "ready",
            "cold_left_ms": self.cold_left_ms(), "seq": seq, "born": start.born_ms,
        })
    }

    /// Key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<StreamRun> {
        self.runs.lock().expect("no server panics").clone()
    }
}
