//! One authenticated TCP connection between two hosts.
//!
//! In the handshake, both sides send a random nonce and prove that they hold the
//! cluster key. The session key is derived from both nonces, hosts and incarnation
//! numbers. Each frame carries a tag over its direction, its number in that
//! direction and its content, so that frames cannot be forged, replayed, reordered
//! or moved between connections.
//!
//! A frame on the wire is a 4-byte length, the `postcard` envelope, the payload and
//! the tag. A read that times out can be repeated without loss.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::TcpStream,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use super::{
    frame::{
        Frame,
        MAX_PAYLOAD_BYTES,
        Message, //
    },
    wire::{
        ClusterKey,
        TAG_BYTES,
        Tag, //
    }, //
};
use crate::types::{
    HostId,
    Incarnation, //
};

/// Version of the frame format.
pub const LINK_VERSION: u8 = 1;
/// Timeout for connecting and the handshake together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest envelope beside a payload of maximum size. The head of a forwarded
/// request with 4,096 prefix hashes and 16 KiB of header fields fits.
const MAX_ENVELOPE_BYTES: usize = 64 * 1024;
const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES + MAX_ENVELOPE_BYTES + TAG_BYTES;
const MAX_HANDSHAKE_BYTES: usize = 512;
const LENGTH_BYTES: usize = 4;
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Shortest socket timeout; the standard library rejects a timeout of zero.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_millis(1);

/// Why an exchange with another host failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket failed.
    #[error("socket error: {0}")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("timed out waiting for the other host")]
    TimedOut,
    /// The other host closed the connection.
    #[error("connection closed by the other host")]
    Closed,
    /// A frame, request body or response is longer than accepted.
    #[error("message of {bytes} bytes is too long: expected at most {limit_bytes}")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// A tag does not match the session key.
    #[error("frame tag does not match the session key")]
    BadTag,
    /// The bytes are authentic but not a valid frame.
    #[error("frame is malformed")]
    Malformed,
    /// The other host uses another version of the frame format.
    #[error("link version {version} is not supported: expected {LINK_VERSION}")]
    BadVersion {
        /// Its version.
        version: u8,
    },
    /// The other host uses another cluster key.
    #[error("the other host did not prove that it holds the cluster key")]
    WrongKey,
    /// The host at the address is not the expected one.
    #[error("connected to host {found}: expected host {expected}")]
    WrongHost {
        /// The host that should be at the address.
        expected: HostId,
        /// The host at the address.
        found: HostId,
    },
    /// A frame belongs to another exchange than the current one.
    #[error("frame belongs to exchange {found}: expected exchange {expected}")]
    WrongExchange {
        /// Number of the current exchange.
        expected: u64,
        /// Number that the frame carries.
        found: u64,
    },
    /// A frame violates the protocol, or the request cannot be served.
    #[error("exchange failed: {0}")]
    Unexpected(&'static str),
    /// All connections to the host are in use.
    #[error("all {limit} connections to the host are in use")]
    TooManyConnections {
        /// The limit.
        limit: usize,
    },
}

impl LinkError {
    fn from_io(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::TimedOut,
            io::ErrorKind::UnexpectedEof
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::BrokenPipe => Self::Closed,
            _ => Self::Io(error),
        }
    }
}

/// Failure to write a complete frame.
#[derive(Debug, Error)]
#[error("could not write the frame after {written} bytes: {error}")]
pub struct WriteError {
    /// Bytes that the kernel accepted.
    pub written: usize,
    /// Why the remaining bytes were not written.
    #[source]
    pub error: LinkError,
}

/// A host and its current instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The host.
    pub host: HostId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Hello {
    version: u8,
    identity: PeerIdentity,
    nonce: [u8; 32],
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Welcome {
    hello: Hello,
    proof: Tag,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Client,
    Server,
}

impl Side {
    /// Label of the direction in which this side writes, for authentication tags.
    fn direction(self) -> &'static [u8] {
        match self {
            Self::Client => b"c",
            Self::Server => b"s",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    exchange: u64,
    frame: Frame,
}

#[derive(Serialize)]
struct EnvelopeRef<'a> {
    exchange: u64,
    frame: &'a Frame,
}

/// A connection after its handshake.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    buffer: Vec<u8>,
    session_key: ClusterKey,
    side: Side,
    peer: PeerIdentity,
    frames_written: u64,
    frames_read: u64,
    /// Number of the newest exchange; the first one has number 1.
    pub(super) exchange_number: u64,
}

impl Link {
    /// Performs the handshake as the client, which authenticates both sides.
    pub fn connect(
        stream: TcpStream,
        key: &ClusterKey,
        own: &PeerIdentity,
        deadline: Instant,
    ) -> Result<Self, LinkError> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let client_hello = encode(&new_hello(own))?;
        write_unauthenticated(&stream, &client_hello, deadline)?;
        let welcome: Welcome = decode(&read_unauthenticated(&stream, &mut buffer, deadline)?)?;
        check_version(&welcome.hello)?;
        let server_hello = encode(&welcome.hello)?;
        let keys = HandshakeKeys::new(key, &client_hello, &server_hello);
        if !keys.server_proof_key.is_valid_tag(&[], &welcome.proof) {
            return Err(LinkError::WrongKey);
        }
        write_unauthenticated(&stream, &keys.client_proof_key.tag(&[]), deadline)?;
        let peer = welcome.hello.identity;
        Ok(Self::new(
            stream,
            buffer,
            keys.session_key,
            Side::Client,
            peer,
        ))
    }

    /// Performs the handshake as the server, which authenticates both sides.
    pub fn accept(
        stream: TcpStream,
        key: &ClusterKey,
        own: &PeerIdentity,
        deadline: Instant,
    ) -> Result<Self, LinkError> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let client_hello = read_unauthenticated(&stream, &mut buffer, deadline)?;
        let client: Hello = decode(&client_hello)?;
        check_version(&client)?;
        let hello = new_hello(own);
        let keys = HandshakeKeys::new(key, &client_hello, &encode(&hello)?);
        let proof = keys.server_proof_key.tag(&[]);
        write_unauthenticated(&stream, &encode(&Welcome { hello, proof })?, deadline)?;
        let proof = read_unauthenticated(&stream, &mut buffer, deadline)?;
        if !keys.client_proof_key.is_valid_tag(&[], &proof) {
            return Err(LinkError::WrongKey);
        }
        let peer = client.identity;
        Ok(Self::new(
            stream,
            buffer,
            keys.session_key,
            Side::Server,
            peer,
        ))
    }

    fn new(
        stream: TcpStream,
        buffer: Vec<u8>,
        session_key: ClusterKey,
        side: Side,
        peer: PeerIdentity,
    ) -> Self {
        Self {
            stream,
            buffer,
            session_key,
            side,
            peer,
            frames_written: 0,
            frames_read: 0,
            exchange_number: 0,
        }
    }

    /// The host at the other end.
    pub fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    /// The underlying socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Writes one frame of the current exchange.
    pub fn write_frame(
        &mut self,
        frame: &Frame,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteError> {
        self.write_exchange_frame(self.exchange_number, frame, bytes, deadline)
    }

    /// Writes one frame of any exchange.
    pub fn write_exchange_frame(
        &mut self,
        exchange: u64,
        frame: &Frame,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteError> {
        let not_written = |error| WriteError { written: 0, error };
        let encoded = self
            .encode_frame(exchange, frame, bytes)
            .map_err(not_written)?;
        write_all(&self.stream, &encoded, deadline)?;
        self.frames_written += 1;
        Ok(())
    }

    fn encode_frame(
        &self,
        exchange: u64,
        frame: &Frame,
        bytes: &[u8],
    ) -> Result<Vec<u8>, LinkError> {
        let envelope = EnvelopeRef { exchange, frame };
        let encoded = postcard::to_extend(&envelope, vec![0; LENGTH_BYTES]);
        let mut encoded = encoded.map_err(|_| LinkError::Malformed)?;
        encoded.extend_from_slice(bytes);
        let content = &encoded[LENGTH_BYTES..];
        let number = self.frames_written.to_be_bytes();
        let tag = self
            .session_key
            .tag(&[self.side.direction(), &number, content]);
        encoded.extend_from_slice(&tag);
        let length = encoded.len() - LENGTH_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLong {
                bytes: length,
                limit_bytes: MAX_FRAME_BYTES,
            });
        }
        encoded[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        Ok(encoded)
    }

    /// Reads one frame of the current exchange.
    pub fn read_frame(&mut self, deadline: Instant) -> Result<Message, LinkError> {
        let (exchange, message) = self.read_exchange_frame(deadline)?;
        if exchange != self.exchange_number {
            return Err(LinkError::WrongExchange {
                expected: self.exchange_number,
                found: exchange,
            });
        }
        Ok(message)
    }

    /// Reads one frame of any exchange, with the number of its exchange.
    pub fn read_exchange_frame(&mut self, deadline: Instant) -> Result<(u64, Message), LinkError> {
        loop {
            if let Some(content) = take_frame(&mut self.buffer, MAX_FRAME_BYTES)? {
                return self.decode_frame(&content);
            }
            read_more(&self.stream, &mut self.buffer, deadline)?;
        }
    }

    fn decode_frame(&mut self, content: &[u8]) -> Result<(u64, Message), LinkError> {
        let (content, tag) = content
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(LinkError::Malformed)?;
        let number = self.frames_read.to_be_bytes();
        let direction = self.side.other().direction();
        if !self
            .session_key
            .is_valid_tag(&[direction, &number, content], tag)
        {
            return Err(LinkError::BadTag);
        }
        self.frames_read += 1;
        let (envelope, bytes) =
            postcard::take_from_bytes::<Envelope>(content).map_err(|_| LinkError::Malformed)?;
        let message = Message {
            frame: envelope.frame,
            payload: bytes.to_vec(),
        };
        Ok((envelope.exchange, message))
    }

    /// Whether part of a frame has been read.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the connection is open and no bytes from the other side wait to be
    /// read.
    pub fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && is_silent
    }
}

/// Keys of one connection, derived from the hello messages of both sides.
struct HandshakeKeys {
    client_proof_key: ClusterKey,
    server_proof_key: ClusterKey,
    session_key: ClusterKey,
}

impl HandshakeKeys {
    fn new(key: &ClusterKey, client_hello: &[u8], server_hello: &[u8]) -> Self {
        let derive = |purpose| key.derive(purpose, &[client_hello, server_hello]);
        Self {
            client_proof_key: derive("cardamombridge link client proof"),
            server_proof_key: derive("cardamombridge link server proof"),
            session_key: derive("cardamombridge link session"),
        }
    }
}

fn new_hello(own: &PeerIdentity) -> Hello {
    Hello {
        version: LINK_VERSION,
        identity: own.clone(),
        nonce: rand::random(),
    }
}

fn check_version(hello: &Hello) -> Result<(), LinkError> {
    if hello.version == LINK_VERSION {
        return Ok(());
    }
    Err(LinkError::BadVersion {
        version: hello.version,
    })
}

fn encode<T>(value: &T) -> Result<Vec<u8>, LinkError>
where
    T: Serialize,
{
    postcard::to_allocvec(value).map_err(|_| LinkError::Malformed)
}

fn decode<T>(bytes: &[u8]) -> Result<T, LinkError>
where
    T: for<'de> Deserialize<'de>,
{
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(LinkError::Malformed),
    }
}

fn write_unauthenticated(
    stream: &TcpStream,
    content: &[u8],
    deadline: Instant,
) -> Result<(), LinkError> {
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(content);
    write_all(stream, &bytes, deadline).map_err(|failed| failed.error)
}

fn read_unauthenticated(
    stream: &TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Instant,
) -> Result<Vec<u8>, LinkError> {
    loop {
        if let Some(content) = take_frame(buffer, MAX_HANDSHAKE_BYTES)? {
            return Ok(content);
        }
        read_more(stream, buffer, deadline)?;
    }
}

/// Removes one complete frame from the front of `buffer`; returns it without its
/// length prefix.
fn take_frame(buffer: &mut Vec<u8>, limit_bytes: usize) -> Result<Option<Vec<u8>>, LinkError> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let bytes = u32::from_be_bytes(*length) as usize;
    if bytes > limit_bytes {
        return Err(LinkError::TooLong { bytes, limit_bytes });
    }
    if buffer.len() < LENGTH_BYTES + bytes {
        return Ok(None);
    }
    let rest = buffer.split_off(LENGTH_BYTES + bytes);
    let mut frame = std::mem::replace(buffer, rest);
    frame.drain(..LENGTH_BYTES);
    Ok(Some(frame))
}

fn read_more(
    mut stream: &TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Instant,
) -> Result<(), LinkError> {
    stream.set_read_timeout(Some(remaining(deadline)?))?;
    let old_length = buffer.len();
    buffer.resize(old_length + READ_CHUNK_BYTES, 0);
    let result = stream.read(&mut buffer[old_length..]);
    buffer.truncate(old_length + result.as_ref().copied().unwrap_or(0));
    match result {
        Ok(0) => Err(LinkError::Closed),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
        Err(error) => Err(LinkError::from_io(error)),
    }
}

fn write_all(mut stream: &TcpStream, bytes: &[u8], deadline: Instant) -> Result<(), WriteError> {
    let mut written = 0;
    while written < bytes.len() {
        let result = remaining(deadline).and_then(|timeout| {
            stream.set_write_timeout(Some(timeout))?;
            match stream.write(&bytes[written..]) {
                Ok(0) => Err(LinkError::Closed),
                Ok(count) => Ok(count),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(0),
                Err(error) => Err(LinkError::from_io(error)),
            }
        });
        match result {
            Ok(count) => written += count,
            Err(error) => return Err(WriteError { written, error }),
        }
    }
    Ok(())
}

/// Returns the time left until `deadline`, or [`LinkError::TimedOut`] if it passed.
pub(super) fn remaining(deadline: Instant) -> Result<Duration, LinkError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(LinkError::TimedOut);
    }
    Ok(left.max(MIN_SOCKET_TIMEOUT))
}
