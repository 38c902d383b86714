//! HTTP server that runs one thread per connection.

use std::{
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
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
    connection::Connection,
    message::{
        Headers,
        MessageError,
        ResponseHead, //
    }, //
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
const CONNECTION_STACK_BYTES: usize = 256 * 1024;

/// Accept loop of one listener, with its connection limit and stop flag.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Whether the accept loop should stop.
    pub is_stopping: Arc<AtomicBool>,
    /// Number of open connections.
    pub open_connections: Arc<AtomicUsize>,
}

impl Acceptor {
    /// Returns an acceptor that runs until `is_stopping` is set.
    pub fn new(max_connections: usize, is_stopping: Arc<AtomicBool>) -> Self {
        Self {
            max_connections,
            is_stopping,
            open_connections: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Accepts connections until stopped.
    ///
    /// `serve` runs on a new thread for each connection; `refuse` runs on the
    /// accepting thread for each connection over the limit.
    pub fn run<S, R>(&self, listener: TcpListener, serve: S, refuse: R)
    where
        S: Fn(Connection, SocketAddr) + Send + Sync + 'static,
        R: Fn(Connection),
    {
        let serve = Arc::new(serve);
        while !self.is_stopping.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((stream, peer)) => self.start_connection(stream, peer, &serve, &refuse),
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection; retrying after a short delay");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Stops accepting; open connections are served to their end.
    ///
    /// `address` is the listener's address.
    pub fn stop(&self, address: SocketAddr) {
        self.is_stopping.store(true, Ordering::Release);
        // The accept loop checks the flag only after a connection arrives.
        if let Err(error) = TcpStream::connect_timeout(&address, WAKE_TIMEOUT) {
            tracing::debug!(%error, "could not connect to the listener; it stops at its next connection");
        }
    }

    fn start_connection<S, R>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        serve: &Arc<S>,
        refuse: &R,
    ) where
        S: Fn(Connection, SocketAddr) + Send + Sync + 'static,
        R: Fn(Connection),
    {
        let Ok(connection) = Connection::new(stream) else {
            return;
        };
        if self.open_connections.load(Ordering::Relaxed) >= self.max_connections {
            refuse(connection);
            return;
        }
        let guard = OpenConnectionGuard::new(&self.open_connections);
        let serve = Arc::clone(serve);
        let spawned = thread::Builder::new()
            .name("connection".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || {
                let _guard = guard;
                serve(connection, peer);
            });
        if let Err(error) = spawned {
            tracing::warn!(%error, "could not start a connection thread; the connection is closed");
        }
    }
}

/// Counts one open connection until it is dropped, including by a panic.
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl OpenConnectionGuard {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open_connections))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Writes a complete response.
pub fn respond(
    connection: &mut Connection,
    status: u16,
    headers: Headers,
    body: &[u8],
    deadline: Instant,
) -> Result<(), MessageError> {
    let headers = headers.with_field("content-length", &body.len().to_string());
    let mut bytes = ResponseHead { status, headers }.encode().into_bytes();
    bytes.extend_from_slice(body);
    connection.write_all(&bytes, deadline)
}

/// Writes the head of a chunked response.
pub fn start_chunked(
    connection: &mut Connection,
    status: u16,
    headers: Headers,
    deadline: Instant,
) -> Result<(), MessageError> {
    let headers = headers.with_field("transfer-encoding", "chunked");
    let head = ResponseHead { status, headers }.encode();
    connection.write_all(head.as_bytes(), deadline)
}

/// Writes one chunk without buffering; an empty one is skipped, because it would
/// end the body.
pub fn write_chunk(
    connection: &mut Connection,
    data: &[u8],
    deadline: Instant,
) -> Result<(), MessageError> {
    if data.is_empty() {
        return Ok(());
    }
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    connection.write_all(&bytes, deadline)
}

/// Writes the last chunk of a chunked response.
pub fn end_chunked(connection: &mut Connection, deadline: Instant) -> Result<(), MessageError> {
    connection.write_all(b"0\r\n\r\n", deadline)
}

/// Returns the deadline for writing a refusal; short, because the peer may not
/// read it.
pub fn refusal_deadline() -> Instant {
    Instant::now() + REFUSAL_TIMEOUT
}
