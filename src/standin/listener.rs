//! The listening side that the stand-ins share.
//!
//! A stand-in can be stopped as a crash would: its listener goes away and all
//! open connections break at once.

use std::{
    collections::HashMap,
    io,
    net::{
        Ipv4Addr,
        Shutdown,
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
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::http::{
    connection::{
        BodyReader,
        Connection, //
    },
    message::{
        Headers,
        MessageError,
        RequestHead, //
    },
    server::{
        Acceptor,
        refusal_deadline,
        respond, //
    }, //
};

/// Loopback address of stand-ins. Connections that were closed keep ports of 127.0.0.1 for a
/// minute; after a burst of them none is free there.
pub const STANDIN_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Most connections to one stand-in.
const MAX_CONNECTIONS: usize = 512;
/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How long a stand-in keeps an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit for writing one piece to a reader that may have stopped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// One request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Start line and fields.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// Number of its connection among those of the listener.
    pub connection: u64,
}

/// Whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The response ended properly.
    Keep,
    /// The response broke off, or must be followed by a close.
    Close,
}

/// Locks `mutex` also after another thread panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The instant by which one piece has to be written.
pub fn write_deadline() -> Instant {
    Instant::now() + WRITE_TIMEOUT
}

/// A running loopback listener.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    acceptor: Acceptor,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on loopback; port 0 takes a free one. `serve` answers a request.
    pub fn start<S>(port: u16, serve: S) -> io::Result<Self>
    where
        S: Fn(&mut Connection, Request) -> Result<Next, MessageError> + Send + Sync + 'static,
    {
        let socket = TcpListener::bind((STANDIN_IP, port))?;
        let address = socket.local_addr()?;
        let acceptor = Acceptor::new(MAX_CONNECTIONS, Arc::new(AtomicBool::new(false)));
        let streams = Arc::new(Mutex::new(HashMap::new()));
        let thread = {
            let acceptor = acceptor.clone();
            let streams = Arc::clone(&streams);
            thread::Builder::new()
                .name("standin".into())
                .spawn(move || accept(&acceptor, socket, streams, serve))?
        };
        Ok(Self {
            address,
            acceptor,
            streams,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.acceptor.open_connections.load(Ordering::Relaxed)
    }

    /// Stops listening and breaks all connections.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.acceptor.stop(self.address);
        // The thread ends with the acceptor; a panic there was printed.
        let _ = thread.join();
        self.close_connections();
    }

    /// Breaks all open connections and goes on listening.
    pub fn close_connections(&self) {
        for stream in lock(&self.streams).values() {
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept<S>(
    acceptor: &Acceptor,
    socket: TcpListener,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    serve: S,
) where
    S: Fn(&mut Connection, Request) -> Result<Next, MessageError> + Send + Sync + 'static,
{
    let next_id = AtomicU64::new(0);
    let is_stopping = Arc::clone(&acceptor.is_stopping);
    let run = move |mut connection: Connection, _: SocketAddr| {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        if let Ok(stream) = connection.stream().try_clone() {
            lock(&streams).insert(id, stream);
        }
        // A stop that came before the insertion did not see this stream.
        if is_stopping.load(Ordering::Acquire) {
            lock(&streams).remove(&id);
            return;
        }
        if let Err(error) = serve_all(&mut connection, id, &serve) {
            tracing::debug!(%error, "connection to a stand-in ended");
        }
        lock(&streams).remove(&id);
    };
    acceptor.run(socket, run, |mut connection| {
        let headers = Headers::new().with_field("retry-after", "1");
        // The caller may be gone; there is nobody else to tell.
        let _ = respond(&mut connection, 503, headers, b"", refusal_deadline());
    });
}

fn serve_all<S>(connection: &mut Connection, id: u64, serve: &S) -> Result<(), MessageError>
where
    S: Fn(&mut Connection, Request) -> Result<Next, MessageError>,
{
    loop {
        let deadline = Instant::now() + IDLE_TIMEOUT;
        let Some(head) = connection.read_request_head(deadline)? else {
            return Ok(());
        };
        let keeps_alive = head.keeps_alive();
        let body = BodyReader::new(head.framing()?).read_to_end(
            connection,
            MAX_BODY_BYTES,
            Instant::now() + IDLE_TIMEOUT,
        )?;
        let request = Request {
            head,
            body,
            connection: id,
        };
        let next = serve(connection, request)?;
        if next == Next::Close || !keeps_alive {
            return Ok(());
        }
    }
}

/// Answers with a JSON body.
pub fn respond_json(
    connection: &mut Connection,
    status: u16,
    headers: Headers,
    body: &serde_json::Value,
) -> Result<Next, MessageError> {
    let headers = headers.with_field("content-type", "application/json");
    let bytes = body.to_string().into_bytes();
    respond(connection, status, headers, &bytes, write_deadline())?;
    Ok(Next::Keep)
}

/// Refuses a request before it runs and asks to come back in `retry_after_s`.
pub fn respond_unavailable(
    connection: &mut Connection,
    retry_after_s: u32,
    message: &str,
) -> Result<Next, MessageError> {
    let headers = Headers::new().with_field("retry-after", &retry_after_s.to_string());
    let body = serde_json::json!({
        "error": { "message": message, "type": "service_unavailable", "code": 503 }
    });
    respond_json(connection, 503, headers, &body)
}
