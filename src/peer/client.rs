//! Client for requests to other hosts, over pooled connections.
//!
//! The connection and its handshake are complete before a request is sent, so if
//! they fail, certainly nothing of the request was sent. A connection returns to
//! the pool only after the final frame of its exchange.

use std::{
    collections::HashMap,
    io,
    net::{
        IpAddr,
        Shutdown,
        SocketAddr,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use socket2::{
    Domain,
    Socket,
    Type, //
};
use thiserror::Error;

use super::{
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
        PeerIdentity,
        remaining, //
    },
    wire::ClusterKey, //
};
use crate::{
    outcome::{
        Sent,
        Unsent, //
    },
    types::HostId, //
};

/// Maximum number of connections to one host in use, and of idle ones in its pool.
pub const MAX_CONNECTIONS_PER_HOST: usize = 64;
/// Idle connections are closed after this time. The server's timeout is longer, so
/// that it does not close a connection that the client is about to use.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for sending the cancellation frame.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// Failure to send a complete request.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("could not send the request, no byte was sent: {error}")]
    NotSent {
        /// Proof that the request may be sent to another host.
        unsent: Unsent,
        /// Cause.
        #[source]
        error: LinkError,
    },
    /// Part of the request may have arrived.
    #[error("could not send the complete request, part of it was sent: {error}")]
    PartlySent {
        /// Marks that the request may have run.
        sent: Sent,
        /// Cause.
        #[source]
        error: LinkError,
    },
}

/// Failure of a request to another host.
#[derive(Debug, Error)]
pub enum PeerRequestError {
    /// The connection could not be established, or failed while the response was
    /// read.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The request could not be sent.
    #[error(transparent)]
    Send(#[from] SendError),
}

/// A request whose response is read completely before it is returned.
#[derive(Debug)]
pub struct PeerRequest<'a> {
    /// Host to send the request to.
    pub host: &'a HostId,
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Request frame.
    pub frame: &'a Frame,
    /// Body of the request.
    pub body: &'a [u8],
    /// Largest accepted payload of the response, over all its frames.
    pub max_response_bytes: usize,
    /// Deadline for the complete response.
    pub deadline: Instant,
}

#[derive(Debug, Default)]
struct HostPool {
    idle: Vec<(Link, Instant)>,
    in_use: usize,
}

#[derive(Debug)]
struct Pools {
    by_address: Mutex<HashMap<SocketAddr, HostPool>>,
}

impl Pools {
    /// Locks the pools. A poisoned lock is still used: a panic while it was held leaves
    /// at worst a wrong count.
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, HostPool>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one connection as in use until it is dropped.
#[derive(Debug)]
struct Slot {
    pools: Arc<Pools>,
    address: SocketAddr,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut pools = self.pools.lock();
        let Some(pool) = pools.get_mut(&self.address) else {
            return;
        };
        pool.in_use = pool.in_use.saturating_sub(1);
        if pool.in_use == 0 && pool.idle.is_empty() {
            pools.remove(&self.address);
        }
    }
}

/// Sends requests to other hosts.
#[derive(Debug, Clone)]
pub struct PeerClient {
    key: ClusterKey,
    identity: PeerIdentity,
    source_address: Option<IpAddr>,
    max_connections: usize,
    pools: Arc<Pools>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(key: ClusterKey, identity: PeerIdentity) -> Self {
        Self {
            key,
            identity,
            source_address: None,
            max_connections: MAX_CONNECTIONS_PER_HOST,
            pools: Arc::new(Pools {
                by_address: Mutex::new(HashMap::new()),
            }),
        }
    }

    /// Sets the maximum number of connections to one host in use.
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the local address of connections, for a host with several addresses.
    pub fn with_source_address(mut self, source_address: IpAddr) -> Self {
        self.source_address = Some(source_address);
        self
    }

    /// Returns the number of idle connections to one address.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.pools.lock().get(&address).map_or(0, |p| p.idle.len())
    }

    /// Sends a request and reads its complete response.
    ///
    /// Errors do not say whether the request ran, so it must be one that may be
    /// repeated, or the caller must treat any failure as an unknown outcome.
    pub fn request(&self, request: &PeerRequest<'_>) -> Result<Message, PeerRequestError> {
        let deadline = request.deadline;
        let ready = self.acquire(Some(request.host), request.address, deadline)?;
        let mut exchange = ready.send(Unsent::new(), request.frame, request.body, deadline)?;
        Ok(exchange.collect(request.max_response_bytes, deadline)?)
    }

    /// Takes an idle connection from the pool or opens one, without sending any part
    /// of a request.
    ///
    /// Fails if `host` is given and `address` belongs to another host, if all
    /// connections are in use, or if connecting or the handshake fails.
    pub fn acquire(
        &self,
        host: Option<&HostId>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<ReadyConnection, LinkError> {
        let slot = self.take_slot(address)?;
        while let Some(link) = self.take_idle_link(address) {
            if link.is_idle() && check_host(&link, host).is_ok() {
                return Ok(ReadyConnection { link, slot });
            }
        }
        let deadline = deadline.min(Instant::now() + HANDSHAKE_TIMEOUT);
        let stream = self.connect(address, remaining(deadline)?)?;
        let link = Link::connect(stream, &self.key, &self.identity, deadline)?;
        check_host(&link, host)?;
        Ok(ReadyConnection { link, slot })
    }

    fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        if let Some(source) = self.source_address {
            socket.bind(&SocketAddr::new(source, 0).into())?;
        }
        socket.connect_timeout(&address.into(), timeout)?;
        Ok(socket.into())
    }

    fn take_slot(&self, address: SocketAddr) -> Result<Slot, LinkError> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(address).or_default();
        if pool.in_use >= self.max_connections {
            return Err(LinkError::TooManyConnections {
                limit: self.max_connections,
            });
        }
        pool.in_use += 1;
        Ok(Slot {
            pools: Arc::clone(&self.pools),
            address,
        })
    }

    /// Takes the most recently used idle connection, which is the least likely to
    /// have been closed.
    fn take_idle_link(&self, address: SocketAddr) -> Option<Link> {
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(&address)?;
        pool.idle
            .retain(|(_, since)| since.elapsed() < CLIENT_IDLE_TIMEOUT);
        pool.idle.pop().map(|(link, _)| link)
    }

    /// Closes connections that have been idle for [`CLIENT_IDLE_TIMEOUT`].
    pub fn close_idle(&self) {
        let mut pools = self.pools.lock();
        for pool in pools.values_mut() {
            pool.idle
                .retain(|(_, since)| since.elapsed() < CLIENT_IDLE_TIMEOUT);
        }
        pools.retain(|_, pool| pool.in_use > 0 || !pool.idle.is_empty());
    }
}

fn check_host(link: &Link, host: Option<&HostId>) -> Result<(), LinkError> {
    let found = &link.peer().host;
    match host.filter(|expected| *expected != found) {
        None => Ok(()),
        Some(expected) => Err(LinkError::WrongHost {
            expected: expected.clone(),
            found: found.clone(),
        }),
    }
}

/// An established connection on which no request is in progress.
#[derive(Debug)]
pub struct ReadyConnection {
    link: Link,
    slot: Slot,
}

impl ReadyConnection {
    /// The host at the other end.
    pub fn peer(&self) -> &PeerIdentity {
        self.link.peer()
    }

    /// Sends a request frame and its body.
    ///
    /// The body must have the length that the frame states. Errors say whether any
    /// byte was sent.
    pub fn send(
        mut self,
        unsent: Unsent,
        request: &Frame,
        body: &[u8],
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        if let Err(error) = self.check(request, body) {
            return Err(SendError::NotSent { unsent, error });
        }
        self.link.exchange_number += 1;
        if let Err(failed) = self.link.write_frame(request, &[], deadline) {
            let error = failed.error;
            return Err(match failed.written {
                0 => SendError::NotSent { unsent, error },
                _ => SendError::PartlySent {
                    sent: unsent.mark_sent(),
                    error,
                },
            });
        }
        let sent = unsent.mark_sent();
        for chunk in body.chunks(MAX_PAYLOAD_BYTES) {
            if let Err(failed) = self.link.write_frame(&Frame::RequestBody, chunk, deadline) {
                let error = failed.error;
                return Err(SendError::PartlySent { sent, error });
            }
        }
        Ok(Exchange {
            link: Some(self.link),
            slot: self.slot,
            sent,
        })
    }

    fn check(&self, request: &Frame, body: &[u8]) -> Result<(), LinkError> {
        if !request.is_request() {
            return Err(LinkError::Unexpected("the frame is not a request"));
        }
        if request.body_bytes().0 != body.len() as u64 {
            return Err(LinkError::Unexpected(
                "the body does not have the length that the request states",
            ));
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(LinkError::TooLong {
                bytes: body.len(),
                limit_bytes: MAX_BODY_BYTES,
            });
        }
        if !self.link.is_idle() {
            return Err(LinkError::Closed);
        }
        Ok(())
    }
}

/// A sent request whose response is being read.
///
/// Dropping it before the final frame closes the connection, which the other host
/// treats as a cancellation.
#[derive(Debug)]
pub struct Exchange {
    link: Option<Link>,
    slot: Slot,
    sent: Sent,
}

impl Exchange {
    /// Reads the next response frame; after the final one the connection returns to
    /// the pool. A read that timed out may be repeated, other errors are final.
    pub fn next_message(&mut self, deadline: Instant) -> Result<Message, LinkError> {
        let link = self.link.as_mut().ok_or(LinkError::Closed)?;
        let message = match link.read_frame(deadline) {
            Err(LinkError::TimedOut) => return Err(LinkError::TimedOut),
            Err(error) => {
                self.link = None;
                return Err(error);
            }
            Ok(message) => message,
        };
        let is_partial_response = matches!(
            message.frame,
            Frame::ResponseHead { .. } | Frame::ResponseBody
        );
        if message.frame.is_final() {
            self.return_to_pool();
        } else if !is_partial_response {
            self.link = None;
            return Err(LinkError::Unexpected("the frame is not part of a response"));
        }
        Ok(message)
    }

    /// Reads until the final frame and concatenates the payloads.
    ///
    /// Fails if they exceed `limit_bytes`.
    pub fn collect(&mut self, limit_bytes: usize, deadline: Instant) -> Result<Message, LinkError> {
        let mut payload = Vec::new();
        loop {
            let message = self.next_message(deadline)?;
            payload.extend_from_slice(&message.payload);
            if payload.len() > limit_bytes {
                self.link = None;
                return Err(LinkError::TooLong {
                    bytes: payload.len(),
                    limit_bytes,
                });
            }
            if message.frame.is_final() {
                let frame = message.frame;
                return Ok(Message { frame, payload });
            }
        }
    }

    /// Sends a cancellation and closes the connection.
    pub fn cancel(mut self) -> Sent {
        if let Some(mut link) = self.link.take() {
            let deadline = Instant::now() + CANCEL_TIMEOUT;
            if let Err(error) = link.write_frame(&Frame::Cancel, &[], deadline) {
                tracing::debug!(%error, "could not send a cancellation; closing the connection");
            }
            let _ = link.stream().shutdown(Shutdown::Both);
        }
        self.sent
    }

    /// Ends the exchange; closes the connection unless the final frame was read.
    pub fn finish(self) -> Sent {
        self.sent
    }

    fn return_to_pool(&mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        let mut pools = self.slot.pools.lock();
        let pool = pools.entry(self.slot.address).or_default();
        if pool.idle.len() < MAX_CONNECTIONS_PER_HOST {
            pool.idle.push((link, Instant::now()));
        }
    }
}
