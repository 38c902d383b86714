//! Clients: one request on a connection of its own, as PROTOCOL.md says.

use std::{
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    time::Duration,
};

use crate::http::{End, Wire};

/// What a client has seen of one attempt.
#[derive(Debug, Clone)]
pub enum Seen {
    /// An answer: status, whether a replica has signed it, body and its end.
    Answer {
        status: u16,
        is_signed: bool,
        body: Vec<u8>,
        end: End,
    },
    /// No connection within a second, or no answer.
    Nothing(String),
}

impl Seen {
    pub fn is_served(&self) -> bool {
        matches!(
            self,
            Self::Answer {
                status: 200..=299,
                is_signed: true,
                end: End::Complete,
                ..
            }
        )
    }

    pub fn text(&self) -> String {
        match self {
            Self::Answer {
                status,
                is_signed,
                body,
                end,
            } => {
                format!(
                    "status {status}, signed {is_signed}, {} bytes, {end:?}",
                    body.len()
                )
            }
            Self::Nothing(cause) => format!("no answer: {cause}"),
        }
    }
}

pub fn open(address: SocketAddr) -> Result<Wire, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    stream
        .map(Wire::new)
        .map_err(|error| error.kind().to_string())
}

pub fn head(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    more: &str,
    length: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{more}Content-Length: {length}\r\n\r\n"
    )
}

/// Reads the answer to a request that was sent.
pub fn read<F>(wire: &mut Wire, pause: F) -> Seen
where
    F: FnMut(usize),
{
    match wire.read_head() {
        Ok(Some(head)) => {
            let (body, end) = wire.read_body(&head, true, pause);
            Seen::Answer {
                status: head.status(),
                is_signed: head.field("x-server-seal").is_some(),
                body,
                end,
            }
        }
        Ok(None) => Seen::Nothing("closed".into()),
        Err(error) => Seen::Nothing(error.kind().to_string()),
    }
}

/// Sends one request on a new connection and waits for its answer, for its time limit at most.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Seen {
    let mut wire = match open(address) {
        Ok(wire) => wire,
        Err(cause) => return Seen::Nothing(cause),
    };
    wire.set_limit(Duration::from_millis(deadline_ms));
    let request = head(method, path, attempt, deadline_ms, more, body.len());
    if wire.write(request.as_bytes()).is_err() || wire.write(body).is_err() {
        return Seen::Nothing("could not send".into());
    }
    read(&mut wire, |_| {})
}

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// An IPv4 address as the system takes it.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Numbers on Linux.
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segments of an Ethernet link. Those of loopback are 45 times as long, and so are the buffers
/// that the system takes for them.
const SEGMENT: i32 = 1_460;

/// Connects as a client on a usual link with a receive buffer of this size, so that what it does
/// not read waits at its host.
pub fn connect_on_link(address: SocketAddr, receive_bytes: i32) -> Result<Wire, String> {
    let SocketAddr::V4(v4) = address else {
        return Err("not an IPv4 address".into());
    };
    let target = Address {
        family: AF_INET as u16,
        port: v4.port().to_be_bytes(),
        ip: v4.ip().octets(),
        zero: [0; 8],
    };
    // The calls get a socket of this function and valid pointers; the stream owns the socket.
    unsafe {
        let number = socket(AF_INET, SOCK_STREAM, 0);
        if number < 0 {
            return Err("no socket".into());
        }
        let stream = TcpStream::from_raw_fd(number);
        setsockopt(number, SOL_SOCKET, SO_RCVBUF, &receive_bytes, 4);
        setsockopt(number, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        match connect(number, &target, size_of::<Address>() as u32) {
            0 => Ok(Wire::new(stream)),
            _ => Err("refused".into()),
        }
    }
}
