//! Connections of the reactor to callers, other hosts and endpoints.
//!
//! All sockets are non-blocking. Each is registered once, edge-triggered, for
//! reading and writing.

use std::{
    io::{
        self,
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr, //
    },
    time::Duration, //
};

use compact_str::CompactString;
use mio::net::TcpStream;
use socket2::{
    SockRef,
    TcpKeepalive, //
};

use super::{
    answer_record::{
        AnswerRecord,
        ConnectionId, //
    },
    body::BodyDecoder,
    buffer_budget::ByteCount,
    endpoint_start::{
        Arrival,
        EndSign, //
    },
    head::{
        Framing,
        RequestHead,
        ResponseHead, //
    },
    sent_requests::SentRequests,
    serve_starts::StartCheck,
    stream_origins::AttemptHash, //
};
use crate::platform::headers::decode_response_metadata;

/// Time without an acknowledgement after which the kernel closes a connection.
/// The round trip between regions is up to a fifth of a second, and a lost
/// packet is retransmitted within a second.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_000);
/// The same for connections to endpoints.
///
/// It decides about unanswered keep-alive probes too, counted from the last packet, which may
/// have come a probe interval before a silence began: a sound endpoint may be silent for two
/// seconds, and its answer to the next probe takes another one.
const ENDPOINT_UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(4_000);
/// Bytes of a request to an endpoint that the kernel takes before it has sent the earlier ones.
///
/// The rest stays with the host, which so knows whether an answer ended before its request was
/// sent. Without a limit, the kernel takes uploads of 3 MB at once.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the kernel closes a connection, where
/// [`UNACKNOWLEDGED_LIMIT`] does not decide.
const KEEPALIVE_PROBES: u32 = 2;
/// Time without bytes on a connection after which its end may have been on the way for long, or
/// may be the answer of a later start that does not know the connection.
const MAX_QUIET_MS: u64 = 500;
/// Size of a single read from a socket.
const READ_BYTES: usize = 32 * 1024;

/// State of the read side of a connection after a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// More data may arrive.
    Open,
    /// More data has arrived and is left for the next turn, which no event announces.
    Partial,
    /// The peer has closed its write side.
    Closed,
    /// Reading failed.
    Broken,
}

/// A socket with input and output buffers.
#[derive(Debug)]
pub struct BufferedSocket {
    /// Underlying socket.
    pub stream: TcpStream,
    /// Received bytes that have not been consumed.
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Writing failed. The kernel reports a reset once, and if a write got the report, the end of
    /// what can be read looks like an orderly close.
    has_write_failed: bool,
}

impl BufferedSocket {
    /// Wraps a socket and sets its options.
    pub fn new(stream: TcpStream) -> Self {
        let socket = Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            has_write_failed: false,
        };
        if let Err(error) = socket.set_options() {
            tracing::debug!(%error, "could not set socket options; the connection uses the defaults");
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

    /// Keeps the connection while its remote end is silent for as long as a sound endpoint may
    /// be.
    fn allow_silence(&self) {
        let options = SockRef::from(&self.stream);
        if let Err(error) = options.set_tcp_user_timeout(Some(ENDPOINT_UNACKNOWLEDGED_LIMIT)) {
            tracing::debug!(%error, "could not set a socket option; a silence may end the connection");
        }
    }

    /// Keeps output in the buffer of this socket until the kernel can send it.
    fn limit_unsent(&self) {
        let options = SockRef::from(&self.stream);
        if let Err(error) = options.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            tracing::debug!(%error, "could not set a socket option; unsent output counts as sent");
        }
    }

    /// Reads available bytes into the input buffer, until it has read more than `turn_limit`
    /// and others have their turn.
    pub fn fill(&mut self, turn_limit: ByteCount) -> ReadState {
        let mut turn = 0;
        loop {
            let start = self.input.len();
            self.input.resize(start + READ_BYTES, 0);
            let result = self.stream.read(&mut self.input[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.input.truncate(start + count);
            match result {
                Ok(0) if self.is_reset() => return ReadState::Broken,
                Ok(0) => return ReadState::Closed,
                Ok(_) => turn += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadState::Open,
                Err(_) => return ReadState::Broken,
            }
            if turn > turn_limit.0 {
                return ReadState::Partial;
            }
        }
    }

    /// Returns whether the connection has failed, also if the peer had closed its write side
    /// before.
    fn is_reset(&self) -> bool {
        self.has_write_failed || !matches!(self.stream.take_error(), Ok(None))
    }

    /// Closes the write side; the peer sees the end of what it can read.
    pub fn close_write_side(&self) {
        if let Err(error) = self.stream.shutdown(Shutdown::Write) {
            tracing::debug!(%error, "could not close the write side; the connection has ended");
        }
    }

    /// Appends bytes to the output buffer.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Output buffer, for appending.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Number of output bytes that have not been written.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much output as the socket accepts; false if writing failed.
    pub fn flush(&mut self) -> bool {
        let is_written = self.write_output();
        self.has_write_failed |= !is_written;
        is_written
    }

    fn write_output(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.drop_written();
                    return true;
                }
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

    /// Drops written output once it is the larger part, so that a slow reader does not keep all
    /// that it has read in memory.
    fn drop_written(&mut self) {
        if self.written < self.unwritten() {
            return;
        }
        self.output.drain(..std::mem::take(&mut self.written));
        self.output.shrink_to(self.output.len() + READ_BYTES);
    }

    /// Returns the memory of both buffers.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.input.capacity() + self.output.capacity())
    }

    /// Releases the memory of empty buffers.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = Vec::new();
        }
        if self.output.is_empty() {
            self.output = Vec::new();
        }
    }
}

/// Kind of requests that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Requests of callers.
    Caller,
    /// Requests of other hosts.
    Peer,
    /// Directory queries for the hosts that a caller should use.
    Directory,
    /// Readiness checks.
    Ready,
    /// Metrics scrapes.
    Metrics,
}

/// Parsing progress of a request.
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
        /// Body decoded so far.
        content: Vec<u8>,
    },
}

/// A connection from a caller or another host.
#[derive(Debug)]
pub struct InboundConnection {
    /// Socket and buffers.
    pub socket: BufferedSocket,
    /// Kind of requests on it.
    pub role: Role,
    /// Parsing progress of the next request.
    pub request_progress: RequestProgress,
    /// Key of the request in progress.
    pub exchange: Option<usize>,
    /// The peer has closed its write side.
    pub is_read_closed: bool,
    /// The connection is closed once the output is written.
    pub is_closing: bool,
    /// Time at which a request last ended or a byte last arrived.
    pub last_active_ms: u64,
    /// Arrival time of the first byte of the request that is being read.
    pub request_started_ms: Option<u64>,
    /// The response ends with the connection.
    is_unframed: bool,
    /// The response has been queued completely.
    pub is_response_whole: bool,
}

impl InboundConnection {
    /// Returns an accepted connection without a request.
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
            is_unframed: false,
            is_response_whole: false,
        }
    }

    /// Returns the memory of its buffers and of the body that is being read.
    pub fn held(&self) -> ByteCount {
        let body = match &self.request_progress {
            RequestProgress::Head => 0,
            RequestProgress::Body { content, .. } => content.capacity(),
        };
        ByteCount(self.socket.held().0 + body)
    }

    /// Records that the response which begins ends with the connection.
    pub fn begin_unframed_response(&mut self) {
        self.is_unframed = true;
        self.is_response_whole = false;
        self.is_closing = true;
    }

    /// Makes the close of the connection a reset if it would state the end of a response
    /// that has not been written completely.
    pub fn prepare_close(&self) {
        let is_written = self.is_response_whole && self.socket.unwritten() == 0;
        if !self.is_unframed || is_written {
            return;
        }
        if let Err(error) = SockRef::from(&self.socket.stream).set_linger(Some(Duration::ZERO)) {
            tracing::warn!(%error, "could not make a connection reset; its response looks complete");
        }
    }
}

/// Phase of a connection to an endpoint or host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// The request waits for the end of the connection that its own one replaces.
    Closing,
    /// The TCP handshake is in progress.
    Connecting,
    /// A request is in progress.
    Busy,
    /// The connection is open and free for the next request.
    Idle,
}

/// Parsing progress of a response.
#[derive(Debug)]
pub enum ResponseProgress {
    /// The head is incomplete.
    Head,
    /// The body is incomplete.
    Body {
        /// Head of the response.
        head: Box<ResponseHead>,
        /// Decoder of the body.
        decoder: BodyDecoder,
        /// The response belongs to an earlier request and is discarded.
        is_stale: bool,
    },
}

/// A connection to an endpoint, or to a host of another region.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Id in log lines.
    pub id: ConnectionId,
    /// Socket and buffers.
    pub socket: BufferedSocket,
    /// Remote address.
    pub address: SocketAddr,
    /// Current phase.
    pub phase: UpstreamPhase,
    /// Key of the request in progress; none if the response is discarded.
    pub exchange: Option<usize>,
    /// Parsing progress of the response.
    pub response_progress: ResponseProgress,
    /// Time at which the connection was opened or became idle.
    pub since_ms: u64,
    /// Time at which the latest request was sent.
    pub sent_ms: u64,
    /// Requests sent on it.
    pub sent: SentRequests,
    /// Time from which an idle connection is not reused.
    pub idle_deadline_ms: u64,
    /// Time at which a connection that is being closed is replaced by another one.
    pub reopen_at_ms: u64,
    /// The remote end is a host of another region.
    pub is_peer: bool,
    /// Reading is paused until the caller has received pending output.
    pub is_paused: bool,
    /// Interim responses before the current response.
    pub interim_count: usize,
    /// Bytes of responses that were discarded.
    pub discarded_bytes: usize,
    /// Endpoint to which it was opened before there is a request for it.
    pub opened_ahead_for: Option<CompactString>,
    /// Endpoint at the remote end; none if it is a host.
    pub endpoint: Option<CompactString>,
    /// Endpoint whose health is being checked.
    pub health_check: Option<CompactString>,
    /// Check of the start of the endpoint.
    pub(super) start_check: Option<StartCheck>,
    /// Time at which the connection was established; none until then.
    pub established_ms: Option<u64>,
    /// Time up to which all that had arrived was read.
    pub drained_ms: u64,
    /// Time at which the remote end is known to have lived.
    pub alive_ms: u64,
    /// Bytes may have arrived that were not read.
    pub has_unread: bool,
    /// It has carried a request, and not only checks.
    pub has_carried_request: bool,
}

impl UpstreamConnection {
    /// Returns a connection whose handshake is in progress.
    pub fn new(stream: TcpStream, address: SocketAddr, now_ms: u64) -> Self {
        Self {
            id: ConnectionId::default(),
            socket: BufferedSocket::new(stream),
            address,
            phase: UpstreamPhase::Connecting,
            exchange: None,
            response_progress: ResponseProgress::Head,
            since_ms: now_ms,
            sent_ms: now_ms,
            sent: SentRequests::default(),
            idle_deadline_ms: 0,
            reopen_at_ms: 0,
            is_peer: false,
            is_paused: false,
            interim_count: 0,
            discarded_bytes: 0,
            opened_ahead_for: None,
            endpoint: None,
            health_check: None,
            start_check: None,
            established_ms: None,
            drained_ms: now_ms,
            alive_ms: now_ms,
            has_unread: false,
            has_carried_request: false,
        }
    }

    /// Sets the id in log lines.
    pub fn with_id(mut self, id: ConnectionId) -> Self {
        self.id = id;
        self
    }

    /// Sets the endpoint at the remote end.
    pub fn with_endpoint(mut self, endpoint: Option<CompactString>) -> Self {
        if endpoint.is_some() {
            self.socket.allow_silence();
            self.socket.limit_unsent();
        }
        self.endpoint = endpoint;
        self
    }

    /// Starts to close the connection, so that the request that is queued next is sent on
    /// another one, which is opened at `reopen_at_ms` at the latest.
    pub fn begin_close(&mut self, reopen_at_ms: u64) {
        self.phase = UpstreamPhase::Closing;
        self.reopen_at_ms = reopen_at_ms;
        self.socket.close_write_side();
    }

    /// Takes over the request that waits for the close of `earlier`.
    pub fn with_request_of(mut self, earlier: &mut Self, now_ms: u64) -> Self {
        self.begin_request(earlier.sent.latest(), now_ms);
        if earlier.sent.is_head(earlier.sent.latest()) {
            self.sent.record_head();
        }
        self.socket.queue(earlier.socket.output());
        self.exchange = earlier.exchange;
        self.is_peer = earlier.is_peer;
        self.has_carried_request = true;
        self
    }

    /// Records that the connection is established.
    pub fn record_established(&mut self, now_ms: u64) {
        self.established_ms = Some(now_ms);
        self.drained_ms = now_ms;
        self.alive_ms = now_ms;
    }

    /// Records a read that brought `count` bytes; returns what is known of them, if there are any.
    ///
    /// They arrived after the read that found nothing left, whenever they are read.
    pub fn record_read(
        &mut self,
        count: ByteCount,
        state: ReadState,
        now_ms: u64,
    ) -> Option<Arrival> {
        let arrival = Arrival {
            established_ms: self.established_ms?,
            sent_ms: self.sent_ms,
            drained_ms: self.drained_ms,
        };
        if state != ReadState::Partial {
            self.drained_ms = now_ms;
        }
        self.has_unread = match state {
            ReadState::Open => false,
            ReadState::Partial => true,
            ReadState::Closed | ReadState::Broken => self.has_unread,
        };
        if count.0 == 0 {
            return None;
        }
        self.alive_ms = arrival.drained_ms;
        Some(arrival)
    }

    /// Returns the sign that its end is for the start of its endpoint; none if it was not
    /// established.
    ///
    /// Its close had not arrived at `polled_ms`.
    pub fn end_sign(&self, polled_ms: u64, now_ms: u64) -> Option<EndSign> {
        let sign = EndSign::new(now_ms).with_connection(self.established_ms?);
        let seen_open_ms = (!self.has_unread).then_some(polled_ms);
        let sign = sign.with_alive_until(Some(self.alive_ms));
        Some(sign.with_seen_open(seen_open_ms, MAX_QUIET_MS))
    }

    /// Returns the record of an answer with a status to the latest request.
    pub fn answer_record(&self, status: u16, now_ms: u64) -> AnswerRecord {
        AnswerRecord {
            connection: self.id,
            send_number: self.sent.count(),
            status,
            after_ms: now_ms.saturating_sub(self.sent_ms),
        }
    }

    /// Returns whether the connection, if it is idle, may carry a request of an attempt.
    pub fn is_usable(&self, attempt: Option<AttemptHash>, now_ms: u64) -> bool {
        now_ms < self.idle_deadline_ms && self.sent.allows(attempt)
    }

    /// Returns whether a response belongs to the request in progress; `answered` is the attempt
    /// that it states.
    ///
    /// A host sends one response to each request, and its refusals state no attempt.
    pub fn pair(&mut self, answered: Option<AttemptHash>) -> bool {
        (self.is_peer && answered.is_none()) || self.sent.pair(answered)
    }

    /// Returns the head of a response with the framing that the method of its request implies.
    pub fn frame_by_request(&self, head: ResponseHead) -> ResponseHead {
        let attempt = decode_response_metadata(&head).attempt();
        match self.sent.is_head(attempt) {
            true => ResponseHead {
                framing: Framing::Length(0),
                ..head
            },
            false => head,
        }
    }

    /// Records that a request of an attempt is sent.
    pub fn begin_request(&mut self, attempt: Option<AttemptHash>, now_ms: u64) {
        self.sent.push(attempt);
        self.sent_ms = now_ms;
        self.response_progress = ResponseProgress::Head;
        self.interim_count = 0;
        self.is_paused = false;
    }
}
