//! Server for requests of other hosts.
//!
//! Each connection has a thread that reads one request after the other and
//! calls the handler with the exchange. The connection is reused only after the
//! handler has read the complete body and sent the final frame.

use std::{
    collections::HashMap,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use super::{
    client::MAX_CONNECTIONS_PER_HOST,
    frame::{
        Frame,
        MAX_BODY_BYTES,
        MAX_PAYLOAD_BYTES,
        Message, //
    },
    link::{
        HANDSHAKE_TIMEOUT,
        Link,
        LinkError,
        PeerIdentity, //
    },
    wire::ClusterKey, //
};
use crate::types::HostId;

/// Idle connections are closed after this time.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the rest of a request frame after its first byte, and for the
/// response to a ping.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which idle connections check whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of connections from all hosts together.
const MAX_CONNECTIONS: usize = 1_024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const CONNECTION_STACK_BYTES: usize = 512 * 1024;

/// Numbers of connections and exchanges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerCounts {
    /// Connections that are open now.
    pub open_connections: usize,
    /// Connections that were refused because of a limit.
    pub refused_connections: u64,
    /// Handshakes that failed.
    pub failed_handshakes: u64,
    /// Exchanges that ended with a final frame.
    pub completed_exchanges: u64,
    /// Connections that were closed because of an error or during an exchange.
    pub failed_connections: u64,
}

#[derive(Debug, Default)]
struct Counters {
    open_connections: AtomicUsize,
    refused_connections: AtomicU64,
    failed_handshakes: AtomicU64,
    completed_exchanges: AtomicU64,
    failed_connections: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Serves exchanges until it is stopped.
#[derive(Debug)]
pub struct PeerServer {
    key: ClusterKey,
    identity: PeerIdentity,
    max_connections_per_host: usize,
    is_stopping: AtomicBool,
    connections_by_host: Mutex<HashMap<HostId, usize>>,
    counters: Counters,
}

impl PeerServer {
    /// Creates a server; [`PeerServer::run`] starts serving.
    pub fn new(key: ClusterKey, identity: PeerIdentity) -> Self {
        Self {
            key,
            identity,
            max_connections_per_host: MAX_CONNECTIONS_PER_HOST,
            is_stopping: AtomicBool::new(false),
            connections_by_host: Mutex::new(HashMap::new()),
            counters: Counters::default(),
        }
    }

    /// Sets the maximum number of connections from one host.
    pub fn with_max_connections_per_host(mut self, max_connections_per_host: usize) -> Self {
        self.max_connections_per_host = max_connections_per_host;
        self
    }

    /// Returns the totals so far.
    pub fn counts(&self) -> ServerCounts {
        let counters = &self.counters;
        ServerCounts {
            open_connections: counters.open_connections.load(Ordering::Relaxed),
            refused_connections: counters.refused_connections.load(Ordering::Relaxed),
            failed_handshakes: counters.failed_handshakes.load(Ordering::Relaxed),
            completed_exchanges: counters.completed_exchanges.load(Ordering::Relaxed),
            failed_connections: counters.failed_connections.load(Ordering::Relaxed),
        }
    }

    /// Accepts connections until [`PeerServer::stop`] is called. `handler` runs on
    /// the connection's thread and must end each exchange with a final frame.
    pub fn run<H>(self: &Arc<Self>, listener: &TcpListener, handler: H)
    where
        H: Fn(&mut ServerExchange<'_>) -> Result<(), LinkError> + Send + Sync + 'static,
    {
        let handler = Arc::new(handler);
        while !self.is_stopping.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((stream, address)) => self.spawn_connection(stream, address, &handler),
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection from another host; retrying after a short delay");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Stops the server that accepts on `address`. Exchanges in progress continue,
    /// idle connections are closed.
    pub fn stop(&self, address: SocketAddr) {
        self.is_stopping.store(true, Ordering::Release);
        // A connection of its own unblocks the thread that waits in `accept`.
        if let Err(error) = TcpStream::connect_timeout(&address, STOP_CHECK_INTERVAL) {
            tracing::debug!(%error, "could not connect to unblock the peer acceptor; it stops at the next connection");
        }
    }

    fn spawn_connection<H>(
        self: &Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        handler: &Arc<H>,
    ) where
        H: Fn(&mut ServerExchange<'_>) -> Result<(), LinkError> + Send + Sync + 'static,
    {
        let open = &self.counters.open_connections;
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            increment(&self.counters.refused_connections);
            return;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let slot = OpenSlot(Arc::clone(self));
        let handler = Arc::clone(handler);
        let started = thread::Builder::new()
            .name("peer connection".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || slot.0.serve(stream, address, &*handler));
        if let Err(error) = started {
            tracing::warn!(%error, "could not start a thread for a connection from another host; closing the connection");
        }
    }

    fn serve<H>(&self, stream: TcpStream, address: SocketAddr, handler: &H)
    where
        H: Fn(&mut ServerExchange<'_>) -> Result<(), LinkError>,
    {
        let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
        let mut link = match Link::accept(stream, &self.key, &self.identity, deadline) {
            Ok(link) => link,
            Err(error) => {
                increment(&self.counters.failed_handshakes);
                tracing::debug!(%error, %address, "handshake with another host failed; closing the connection");
                return;
            }
        };
        let Some(_slot) = self.take_host_slot(&link.peer().host) else {
            increment(&self.counters.refused_connections);
            return;
        };
        if let Err(error) = self.serve_link(&mut link, handler) {
            increment(&self.counters.failed_connections);
            tracing::debug!(%error, host = %link.peer().host, "connection from another host failed; closing it");
        }
    }

    fn serve_link<H>(&self, link: &mut Link, handler: &H) -> Result<(), LinkError>
    where
        H: Fn(&mut ServerExchange<'_>) -> Result<(), LinkError>,
    {
        while let Some(request) = self.next_request(link)? {
            check_origin(&request, link.peer())?;
            let mut exchange = ServerExchange {
                remaining_body_bytes: request.body_bytes().0,
                link,
                request,
                is_ended: false,
                is_cancelled: false,
            };
            if exchange.request == Frame::Ping {
                let deadline = Instant::now() + FRAME_TIMEOUT;
                exchange.finish(&Frame::Ack, &[], deadline)?;
            } else {
                handler(&mut exchange)?;
            }
            if !exchange.is_ended {
                return Err(LinkError::Unexpected("the exchange has no final frame"));
            }
            increment(&self.counters.completed_exchanges);
            if exchange.remaining_body_bytes > 0 || exchange.is_cancelled {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the next request, or `None` if the connection ends between requests
    /// or the server is stopping.
    fn next_request(&self, link: &mut Link) -> Result<Option<Frame>, LinkError> {
        let idle_deadline = Instant::now() + SERVER_IDLE_TIMEOUT;
        let mut frame_deadline = None;
        loop {
            if self.is_stopping.load(Ordering::Acquire) {
                return Ok(None);
            }
            let wait = Instant::now() + STOP_CHECK_INTERVAL;
            match link.read_exchange_frame(wait) {
                Ok((exchange, message)) => {
                    return start_exchange(link, exchange, message).map(Some);
                }
                Err(LinkError::TimedOut) => {}
                Err(LinkError::Closed) if !link.has_partial_frame() => return Ok(None),
                Err(error) => return Err(error),
            }
            let now = Instant::now();
            if link.has_partial_frame() {
                let deadline = *frame_deadline.get_or_insert(now + FRAME_TIMEOUT);
                if now >= deadline {
                    return Err(LinkError::TimedOut);
                }
            } else if now >= idle_deadline {
                return Ok(None);
            }
        }
    }

    fn connections_by_host(&self) -> MutexGuard<'_, HashMap<HostId, usize>> {
        // A poisoned lock is still used: a panic while it was held leaves at worst a
        // wrong count.
        self.connections_by_host
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn take_host_slot(&self, host: &HostId) -> Option<HostSlot<'_>> {
        let mut connections_by_host = self.connections_by_host();
        let open = connections_by_host.entry(host.clone()).or_insert(0);
        if *open >= self.max_connections_per_host {
            return None;
        }
        *open += 1;
        Some(HostSlot {
            server: self,
            host: host.clone(),
        })
    }
}

fn start_exchange(link: &mut Link, exchange: u64, message: Message) -> Result<Frame, LinkError> {
    let expected = link.exchange_number + 1;
    if exchange != expected {
        return Err(LinkError::WrongExchange {
            expected,
            found: exchange,
        });
    }
    if !message.frame.is_request() || !message.payload.is_empty() {
        return Err(LinkError::Unexpected("the frame is not a request"));
    }
    let body_bytes = message.frame.body_bytes().0;
    if body_bytes > MAX_BODY_BYTES as u64 {
        return Err(LinkError::TooLong {
            bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
            limit_bytes: MAX_BODY_BYTES,
        });
    }
    link.exchange_number = exchange;
    Ok(message.frame)
}

/// Fails if a host forwards a request that it did not accept itself.
fn check_origin(request: &Frame, peer: &PeerIdentity) -> Result<(), LinkError> {
    match request.origin_host().filter(|origin| **origin != peer.host) {
        None => Ok(()),
        Some(_) => Err(LinkError::Unexpected(
            "the origin host of the request is not the sender",
        )),
    }
}

/// Counts one connection as open until it is dropped, also after a panic.
struct OpenSlot(Arc<PeerServer>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        let open = &self.0.counters.open_connections;
        open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one connection of a host as open until it is dropped, also after a panic.
struct HostSlot<'a> {
    server: &'a PeerServer,
    host: HostId,
}

impl Drop for HostSlot<'_> {
    fn drop(&mut self) {
        let mut connections_by_host = self.server.connections_by_host();
        if let Some(open) = connections_by_host.get_mut(&self.host) {
            *open -= 1;
            if *open == 0 {
                connections_by_host.remove(&self.host);
            }
        }
    }
}

/// One exchange that another host started.
#[derive(Debug)]
pub struct ServerExchange<'a> {
    link: &'a mut Link,
    request: Frame,
    remaining_body_bytes: u64,
    is_ended: bool,
    is_cancelled: bool,
}

impl ServerExchange<'_> {
    /// The host that started it.
    pub fn peer(&self) -> &PeerIdentity {
        self.link.peer()
    }

    /// The request frame.
    pub fn request(&self) -> &Frame {
        &self.request
    }

    /// Reads the complete body.
    ///
    /// A handler that refuses the request need not read it; the connection is then
    /// closed after the exchange.
    pub fn read_body(&mut self, deadline: Instant) -> Result<Vec<u8>, LinkError> {
        let mut body = Vec::new();
        while self.remaining_body_bytes > 0 {
            let message = self.link.read_frame(deadline)?;
            match message.frame {
                Frame::RequestBody => {}
                Frame::Cancel => {
                    self.is_cancelled = true;
                    return Err(LinkError::Closed);
                }
                _ => return Err(LinkError::Unexpected("expected a body frame")),
            }
            let bytes = message.payload.len() as u64;
            if bytes == 0 || bytes > self.remaining_body_bytes {
                return Err(LinkError::Unexpected(
                    "the body does not have the length that the request states",
                ));
            }
            self.remaining_body_bytes -= bytes;
            body.extend_from_slice(&message.payload);
        }
        Ok(body)
    }

    /// Whether the other host cancelled the exchange or closed the connection.
    ///
    /// Only meaningful once the body has been read.
    pub fn is_cancelled(&mut self) -> bool {
        // After the body, a cancellation is the only frame that the other host may
        // send.
        if !self.is_cancelled && self.remaining_body_bytes == 0 {
            self.is_cancelled = !self.link.is_idle();
        }
        self.is_cancelled
    }

    /// Sends a response frame that is not final.
    pub fn send(
        &mut self,
        frame: &Frame,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), LinkError> {
        if self.is_ended || frame.is_final() || frame.is_request() {
            return Err(LinkError::Unexpected("the frame is not part of a response"));
        }
        self.write_in_chunks(frame, bytes, deadline)
    }

    fn write_in_chunks(
        &mut self,
        frame: &Frame,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let mut rest = bytes;
        while rest.len() > MAX_PAYLOAD_BYTES {
            let (chunk, later) = rest.split_at(MAX_PAYLOAD_BYTES);
            self.write(&Frame::ResponseBody, chunk, deadline)?;
            rest = later;
        }
        self.write(frame, rest, deadline)
    }

    fn write(&mut self, frame: &Frame, bytes: &[u8], deadline: Instant) -> Result<(), LinkError> {
        let written = self.link.write_frame(frame, bytes, deadline);
        written.map_err(|failed| failed.error)
    }

    /// Sends the final frame. All but the last [`MAX_PAYLOAD_BYTES`] of longer
    /// `bytes` are sent before it in [`Frame::ResponseBody`] frames.
    pub fn finish(
        &mut self,
        frame: &Frame,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), LinkError> {
        if self.is_ended || !frame.is_final() {
            return Err(LinkError::Unexpected(
                "the frame is not final, or the exchange has ended",
            ));
        }
        self.write_in_chunks(frame, bytes, deadline)?;
        self.is_ended = true;
        Ok(())
    }
}
