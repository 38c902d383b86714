//! Heads of HTTP messages and the framing of their bodies.

use std::{
    fmt::Write as _,
    io,
    ops::RangeInclusive, //
};

use compact_str::CompactString;
use thiserror::Error;

/// Maximum number of header fields in one message.
const MAX_HEADERS: usize = 64;
/// Status codes that HTTP defines; others have no meaning that a caller could rely on.
pub const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status after which a connection no longer carries HTTP/1.1.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The head or the body exceeds its limit.
    #[error("{part} exceeds {limit_bytes} bytes")]
    TooLarge {
        /// Part of the message that is too large.
        part: &'static str,
        /// Maximum size of that part.
        limit_bytes: usize,
    },
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("malformed HTTP message: {0}")]
    Malformed(&'static str),
    /// The peer closed the connection before the message ended.
    #[error("connection closed before the end of the message")]
    Closed,
    /// The deadline passed before the message was read or written.
    #[error("timed out waiting for the message")]
    TimedOut,
    /// A socket operation failed.
    #[error("socket error: {0}")]
    Io(#[from] io::Error),
}

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Field name in lower case.
    pub name: CompactString,
    /// Field value.
    pub value: CompactString,
}

/// The header fields of one message, in order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns an empty list of fields.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a field and returns the list.
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.push(name, value);
        self
    }

    /// Appends a field; its name is converted to lower case.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push(Header {
            name: CompactString::from(name.to_ascii_lowercase()),
            value: CompactString::from(value),
        });
    }

    /// Returns the value of the first field named `name`, which must be in lower
    /// case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.name == name)?;
        Some(&field.value)
    }

    /// Iterates over all fields in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Header> {
        self.0.iter()
    }

    fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|field| field.name == name).count()
    }

    /// Returns whether the comma-separated field `name` contains `token`,
    /// ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.0
            .iter()
            .filter(|field| field.name == name)
            .flat_map(|field| field.value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Result<Self, MessageError> {
        let mut headers = Self::new();
        for field in parsed {
            let value = std::str::from_utf8(field.value)
                .map_err(|_| MessageError::Malformed("header value is not UTF-8"))?;
            headers.push(field.name, value);
        }
        Ok(headers)
    }
}

/// Request line and header fields of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method in upper case, such as `POST`.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Header fields.
    pub headers: Headers,
}

/// Status line and header fields of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has exactly this many bytes.
    Length(u64),
    /// The body is chunked and ends with an empty chunk.
    Chunked,
    /// The body ends when the connection closes, so a truncated body looks
    /// complete.
    UntilClose,
}

impl RequestHead {
    /// Parses a head; `Ok(None)` means that more bytes are needed.
    ///
    /// Returns the head and its length in bytes.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(map_parse_error(error)),
        };
        let head = Self {
            method: CompactString::from(parsed.method.unwrap_or_default()),
            path: CompactString::from(parsed.path.unwrap_or_default()),
            headers: Headers::from_parsed(parsed.headers)?,
        };
        Ok(Some((head, length)))
    }

    /// Returns the framing of the request body; fails if it is ambiguous or
    /// unsupported.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        Ok(framing(&self.headers)?.unwrap_or(Framing::Length(0)))
    }

    /// Returns whether the sender may send another request on the connection.
    pub fn keeps_alive(&self) -> bool {
        !self.headers.has_token("connection", "close")
    }
}

impl ResponseHead {
    /// Parses a head; `Ok(None)` means that more bytes are needed.
    ///
    /// Returns the head and its length in bytes.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(map_parse_error(error)),
        };
        let head = Self {
            status: parsed.code.unwrap_or_default(),
            headers: Headers::from_parsed(parsed.headers)?,
        };
        if !STATUSES.contains(&head.status) {
            return Err(MessageError::Malformed("status is not 100 to 599"));
        }
        // No request of this crate asks for another protocol.
        if head.status == SWITCHING_PROTOCOLS {
            return Err(MessageError::Malformed("protocol switched unasked"));
        }
        Ok(Some((head, length)))
    }

    /// Returns whether the final response is still to follow.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns the framing of the response body; fails if it is ambiguous or
    /// unsupported.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        if self.status == 204 || self.status == 304 {
            return Ok(Framing::Length(0));
        }
        Ok(framing(&self.headers)?.unwrap_or(Framing::UntilClose))
    }

    /// Encodes the head as it is sent on the wire.
    pub fn encode(&self) -> String {
        let mut text = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        write_fields(&mut text, &self.headers);
        text
    }
}

/// Appends the fields and the empty line that ends a head.
pub fn write_fields(text: &mut String, headers: &Headers) {
    for field in headers.iter() {
        let _ = write!(text, "{}: {}\r\n", field.name, field.value);
    }
    text.push_str("\r\n");
}

fn framing(headers: &Headers) -> Result<Option<Framing>, MessageError> {
    let is_chunked = headers.has_token("transfer-encoding", "chunked");
    let length = headers.get("content-length");
    // Request smuggling: if two hops derive different body lengths, a second
    // request can pass through a gateway unseen.
    if headers.count("content-length") > 1 || (is_chunked && length.is_some()) {
        return Err(MessageError::Malformed("ambiguous body length"));
    }
    if is_chunked {
        return Ok(Some(Framing::Chunked));
    }
    if headers.get("transfer-encoding").is_some() {
        return Err(MessageError::Malformed("unknown transfer encoding"));
    }
    let Some(length) = length else {
        return Ok(None);
    };
    if !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::Malformed("invalid content length"));
    }
    let length = length
        .parse()
        .map_err(|_| MessageError::Malformed("invalid content length"))?;
    Ok(Some(Framing::Length(length)))
}

fn map_parse_error(error: httparse::Error) -> MessageError {
    MessageError::Malformed(match error {
        httparse::Error::HeaderName => "invalid header name",
        httparse::Error::HeaderValue => "invalid header value",
        httparse::Error::NewLine => "invalid line end",
        httparse::Error::Status => "invalid status",
        httparse::Error::Token => "invalid token",
        httparse::Error::TooManyHeaders => "too many header fields",
        httparse::Error::Version => "unsupported version",
    })
}

/// Returns whether callers take a status as the promise that their request has not run and will
/// not run.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
