//! Blocking TCP connection with a read buffer and deadlines.

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

use super::message::{
    Framing,
    MessageError,
    RequestHead,
    ResponseHead, //
};

/// Maximum size of the head of a request or response.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of a chunk size line.
const MAX_CHUNK_LINE_BYTES: usize = 128;
/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;
const READ_SIZE_BYTES: usize = 16 * 1024;
/// Shortest socket timeout; the kernel rejects zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection with the bytes that were read from the socket but not consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    consumed: usize,
    /// Interim responses since the last final one; a read that timed out may be repeated.
    interim_count: usize,
}

impl Connection {
    /// Wraps a connected socket; fails if `TCP_NODELAY` cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            interim_count: 0,
        })
    }

    /// Returns the underlying socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the read buffer has unconsumed bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Writes all bytes before `deadline`.
    pub fn write_all(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), MessageError> {
        self.stream.set_write_timeout(Some(remaining(deadline)?))?;
        self.stream.write_all(bytes).map_err(from_io)
    }

    /// Returns whether the peer has closed its end; to be called while no data
    /// is expected.
    pub fn is_closed_by_peer(&self) -> bool {
        if self.has_unread_bytes() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let restored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads the head of a request; `Ok(None)` if the peer closed before its
    /// first byte.
    pub fn read_request_head(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<RequestHead>, MessageError> {
        loop {
            if let Some((head, length)) = RequestHead::parse(self.unread())? {
                self.consume(length);
                return Ok(Some(head));
            }
            self.check_head_size()?;
            if self.fill(deadline)? == 0 {
                let is_clean_close = !self.has_unread_bytes();
                return if is_clean_close {
                    Ok(None)
                } else {
                    Err(MessageError::Closed)
                };
            }
        }
    }

    /// Reads the head of a final response and skips interim ones.
    pub fn read_response_head(&mut self, deadline: Instant) -> Result<ResponseHead, MessageError> {
        loop {
            if let Some((head, length)) = ResponseHead::parse(self.unread())? {
                self.consume(length);
                if !head.is_interim() {
                    self.interim_count = 0;
                    return Ok(head);
                }
                self.interim_count += 1;
                if self.interim_count > MAX_INTERIM_RESPONSES {
                    return Err(MessageError::Malformed("too many interim responses"));
                }
                continue;
            }
            self.check_head_size()?;
            self.fill_or_fail(deadline)?;
        }
    }

    fn check_head_size(&self) -> Result<(), MessageError> {
        if self.unread().len() < MAX_HEAD_BYTES {
            return Ok(());
        }
        Err(MessageError::TooLarge {
            part: "message head",
            limit_bytes: MAX_HEAD_BYTES,
        })
    }

    fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    fn fill(&mut self, deadline: Instant) -> Result<usize, MessageError> {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.stream.set_read_timeout(Some(remaining(deadline)?))?;
        let previous_length = self.buffer.len();
        self.buffer.resize(previous_length + READ_SIZE_BYTES, 0);
        let result = self.stream.read(&mut self.buffer[previous_length..]);
        self.buffer
            .truncate(previous_length + result.as_ref().copied().unwrap_or(0));
        result.map_err(from_io)
    }

    fn fill_or_fail(&mut self, deadline: Instant) -> Result<(), MessageError> {
        match self.fill(deadline)? {
            0 => Err(MessageError::Closed),
            _ => Ok(()),
        }
    }
}

/// Incremental reader of one body; records whether the body was complete.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    remaining_bytes: u64,
    is_first_chunk: bool,
    is_complete: bool,
}

impl BodyReader {
    /// Returns a reader at the start of a body.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            remaining_bytes: match framing {
                Framing::Length(length) => length,
                Framing::Chunked | Framing::UntilClose => 0,
            },
            is_first_chunk: true,
            is_complete: framing == Framing::Length(0),
        }
    }

    /// Returns whether the end of the body that the framing defines was read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Appends the next available bytes to `out`; returns their number, 0 at the
    /// end of the body.
    ///
    /// A read that timed out can be repeated without loss of data.
    pub fn read_piece(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        deadline: Instant,
    ) -> Result<usize, MessageError> {
        if self.is_complete {
            return Ok(0);
        }
        match self.framing {
            Framing::Length(_) => self.read_fixed_length(connection, out, deadline),
            Framing::Chunked => self.read_chunked(connection, out, deadline),
            Framing::UntilClose => self.read_until_close(connection, out, deadline),
        }
    }

    /// Reads the complete body; fails if it exceeds `limit_bytes`.
    pub fn read_to_end(
        &mut self,
        connection: &mut Connection,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Vec<u8>, MessageError> {
        let too_large = MessageError::TooLarge {
            part: "message body",
            limit_bytes,
        };
        if matches!(self.framing, Framing::Length(length) if length > limit_bytes as u64) {
            return Err(too_large);
        }
        let mut body = Vec::new();
        while self.read_piece(connection, &mut body, deadline)? > 0 {
            if body.len() > limit_bytes {
                return Err(too_large);
            }
        }
        Ok(body)
    }

    fn read_fixed_length(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        deadline: Instant,
    ) -> Result<usize, MessageError> {
        if !connection.has_unread_bytes() {
            connection.fill_or_fail(deadline)?;
        }
        let count = take_unread(connection, self.remaining_bytes, out);
        self.remaining_bytes -= count as u64;
        self.is_complete = self.remaining_bytes == 0;
        Ok(count)
    }

    fn read_until_close(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        deadline: Instant,
    ) -> Result<usize, MessageError> {
        if !connection.has_unread_bytes() && connection.fill(deadline)? == 0 {
            self.is_complete = true;
            return Ok(0);
        }
        Ok(take_unread(connection, u64::MAX, out))
    }

    fn read_chunked(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        deadline: Instant,
    ) -> Result<usize, MessageError> {
        if self.remaining_bytes == 0 {
            self.read_chunk_line(connection, deadline)?;
        }
        if self.is_complete {
            return Ok(0);
        }
        if !connection.has_unread_bytes() {
            connection.fill_or_fail(deadline)?;
        }
        let count = take_unread(connection, self.remaining_bytes, out);
        self.remaining_bytes -= count as u64;
        Ok(count)
    }

    fn read_chunk_line(
        &mut self,
        connection: &mut Connection,
        deadline: Instant,
    ) -> Result<(), MessageError> {
        // The line end of the previous chunk is read together with the next
        // size line, so that the data of a chunk is returned without waiting
        // for the bytes that follow it.
        let line_end_bytes = if self.is_first_chunk { 0 } else { 2 };
        loop {
            let bytes = connection.unread();
            if bytes.len() > line_end_bytes {
                if !b"\r\n"[..].starts_with(&bytes[..line_end_bytes]) {
                    return Err(MessageError::Malformed("chunk without line end"));
                }
                match httparse::parse_chunk_size(&bytes[line_end_bytes..]) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        let is_last = size == 0;
                        if !is_last {
                            connection.consume(line_end_bytes + used);
                            self.remaining_bytes = size;
                            self.is_first_chunk = false;
                            return Ok(());
                        }
                        // Trailer fields are not supported: the trailer section
                        // must be empty.
                        let end = &bytes[line_end_bytes + used..];
                        if end.len() >= 2 {
                            if !end.starts_with(b"\r\n") {
                                return Err(MessageError::Malformed("unexpected trailer"));
                            }
                            connection.consume(line_end_bytes + used + 2);
                            self.is_complete = true;
                            return Ok(());
                        }
                    }
                    Ok(httparse::Status::Partial) => {
                        if bytes.len() > MAX_CHUNK_LINE_BYTES {
                            return Err(MessageError::Malformed("chunk size line too long"));
                        }
                    }
                    Err(_) => return Err(MessageError::Malformed("invalid chunk size")),
                }
            }
            connection.fill_or_fail(deadline)?;
        }
    }
}

fn take_unread(connection: &mut Connection, limit: u64, out: &mut Vec<u8>) -> usize {
    let available = connection.unread().len() as u64;
    let count = available.min(limit) as usize;
    out.extend_from_slice(&connection.unread()[..count]);
    connection.consume(count);
    count
}

fn remaining(deadline: Instant) -> Result<Duration, MessageError> {
    let remaining_time = deadline.saturating_duration_since(Instant::now());
    if remaining_time.is_zero() {
        return Err(MessageError::TimedOut);
    }
    Ok(remaining_time.max(MIN_TIMEOUT))
}

fn from_io(error: io::Error) -> MessageError {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => MessageError::TimedOut,
        io::ErrorKind::UnexpectedEof
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::BrokenPipe => MessageError::Closed,
        _ => MessageError::Io(error),
    }
}
