//! Connections of the reactor: to callers and hosts, and to endpoints.
//!
//! All sockets are non-blocking and registered once, edge-triggered, for both
//! directions.

use std::{
    io::{
        self,
        ErrorKind,
        Read,
        Write, //
    },
    net::SocketAddr,
    time::Duration, //
};

use mio::net::TcpStream;
use socket2::{
    SockRef,
    TcpKeepalive, //
};

use super::{
    body::BodyDecoder,
    head::{
        RequestHead,
        ResponseHead, //
    }, //
};

/// Time without an acknowledgement after which a peer counts as gone. Links
/// between regions take up to a fifth of a second both ways, and a lost packet
/// is sent again within a second.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_000);
/// Silence after which the peer is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a peer counts as gone.
const KEEPALIVE_PROBES: u32 = 2;
/// Bytes read from a connection at once.
const READ_BYTES: usize = 32 * 1024;
/// Bytes read from one connection before others get their turn.
const READ_TURN_BYTES: usize = 512 * 1024;

/// What happened to the reading side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// More may come.
    Open,
    /// The peer has ended its side.
    Closed,
    /// The connection is broken.
    Broken,
}

/// A socket with its buffers.
#[derive(Debug)]
pub struct BufferedSocket {
    /// The socket.
    pub stream: TcpStream,
    /// Received bytes that have not been used.
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

impl BufferedSocket {
    /// Wraps a socket and sets its options.
    pub fn new(stream: TcpStream) -> Self {
        let socket = Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
        };
        if let Err(error) = socket.set_options() {
            tracing::debug!(%error, "could not set options of a socket");
        }
        socket
    }

    fn set_options(&self) -> io::Result<()> {
        let options = SockRef::from(&self.stream);
        options.set_tcp_nodelay(true)?;
        options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
        options.set_tcp_keepalive(
            &TcpKeepalive::new()
                .with_time(KEEPALIVE_IDLE)
                .with_interval(KEEPALIVE_IDLE)
                .with_retries(KEEPALIVE_PROBES),
        )
    }

    /// Reads what has arrived into the input.
    pub fn fill(&mut self) -> ReadState {
        let mut turn = 0;
        loop {
            let start = self.input.len();
            self.input.resize(start + READ_BYTES, 0);
            let result = self.stream.read(&mut self.input[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.input.truncate(start + count);
            match result {
                Ok(0) => return ReadState::Closed,
                Ok(_) => turn += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadState::Open,
                Err(_) => return ReadState::Broken,
            }
            if turn > READ_TURN_BYTES {
                return ReadState::Open;
            }
        }
    }

    /// Appends bytes to the output.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Buffer to which output can be appended.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of the output that have not been written.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much of the output as the socket takes; false if it is broken.
    pub fn flush(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > READ_BYTES * 4 {
            self.output.shrink_to(READ_BYTES);
        }
        true
    }

    /// Gives memory of empty buffers back.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = Vec::new();
        }
        if self.output.is_empty() {
            self.output = Vec::new();
        }
    }
}

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Requests of callers.
    Caller,
    /// Requests that other hosts forward.
    Peer,
    /// Questions which hosts to use.
    Directory,
    /// Questions whether this host takes requests.
    Ready,
    /// Metrics.
    Metrics,
}

/// How far a request has been read.
#[derive(Debug)]
pub enum RequestProgress {
    /// The head is incomplete.
    Head,
    /// The body is incomplete.
    Body {
        /// Head of the request.
        head: Box<RequestHead>,
        /// Decoder of the body.
        decoder: BodyDecoder,
        /// Body so far.
        content: Vec<u8>,
    },
}

/// A connection from a caller or another host.
#[derive(Debug)]
pub struct Client {
    /// Socket and buffers.
    pub socket: BufferedSocket,
    /// What it is for.
    pub role: Role,
    /// How far the next request has been read.
    pub request_progress: RequestProgress,
    /// Request in progress.
    pub exchange: Option<usize>,
    /// The peer has ended its side.
    pub is_read_closed: bool,
    /// The connection ends when the output is written.
    pub is_closing: bool,
    /// Last time at which a request ended or a byte arrived.
    pub last_active_ms: u64,
    /// Time of the first byte of the request that is being read.
    pub request_started_ms: Option<u64>,
}

impl Client {
    /// A connection without a request.
    pub fn new(stream: TcpStream, role: Role, now_ms: u64) -> Self {
        Self {
            socket: BufferedSocket::new(stream),
            role,
            request_progress: RequestProgress::Head,
            exchange: None,
            is_read_closed: false,
            is_closing: false,
            last_active_ms: now_ms,
            request_started_ms: None,
        }
    }
}

/// What a connection to an endpoint is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// The connection is being made.
    Connecting,
    /// A request is in progress.
    Busy,
    /// The connection waits for its next request.
    Idle,
}

/// How far an answer has been read.
#[derive(Debug)]
pub enum ResponseProgress {
    /// The head is incomplete.
    Head,
    /// The body is incomplete.
    Body {
        /// Head of the answer.
        head: Box<ResponseHead>,
        /// Decoder of the body.
        decoder: BodyDecoder,
        /// The answer belongs to an earlier request and is dropped.
        is_stale: bool,
    },
}

/// A connection to an endpoint, or to a host of another region.
#[derive(Debug)]
pub struct Upstream {
    /// Socket and buffers.
    pub socket: BufferedSocket,
    /// Other end.
    pub address: SocketAddr,
    /// What it is doing.
    pub phase: UpstreamPhase,
    /// Request in progress; none if its caller has left and the answer is dropped.
    pub exchange: Option<usize>,
    /// How far the answer has been read.
    pub response_progress: ResponseProgress,
    /// The request asks for the head only.
    pub is_head_request: bool,
    /// When the connection was opened, or became idle.
    pub since_ms: u64,
    /// Requests sent on it.
    pub request_count: u32,
    /// When an idle connection is no longer used.
    pub idle_deadline_ms: u64,
    /// The other end is a host of another region.
    pub is_peer: bool,
    /// The answer is not read on until the caller has read what is written.
    pub is_paused: bool,
    /// An answer to an earlier request arrived, so the connection is not reused.
    pub had_stale_response: bool,
}

impl Upstream {
    /// A connection that is being made.
    pub fn new(stream: TcpStream, address: SocketAddr, now_ms: u64) -> Self {
        Self {
            socket: BufferedSocket::new(stream),
            address,
            phase: UpstreamPhase::Connecting,
            exchange: None,
            response_progress: ResponseProgress::Head,
            is_head_request: false,
            since_ms: now_ms,
            request_count: 0,
            idle_deadline_ms: 0,
            is_peer: false,
            is_paused: false,
            had_stale_response: false,
        }
    }
}
