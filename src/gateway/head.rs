//! Strict parsing of HTTP/1.1 message heads.
//!
//! `httparse` tokenises the head. The rules added here prevent request
//! smuggling: they reject a line feed without a carriage return, two lengths,
//! and a length beside a transfer encoding.

use std::fmt;

use compact_str::CompactString;
use memchr::{
    memchr_iter,
    memmem, //
};
use thiserror::Error;

use crate::http::message::STATUSES;

/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 96;
/// Maximum size of a response head; endpoints send a few hundred bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name as sent.
    pub name: CompactString,
    /// Value without surrounding whitespace.
    pub value: Box<[u8]>,
}

impl Header {
    /// Returns whether the field is called `name`, ignoring case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }

    /// Returns the value if it is valid UTF-8.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.value).ok()
    }

    /// Returns whether the field is hop-by-hop and must not be forwarded.
    pub fn is_hop_by_hop(&self) -> bool {
        const NAMES: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
            "expect",
        ];
        NAMES.iter().any(|name| self.is(name))
    }
}

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Length in bytes; 0 if there is no body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(bytes) => write!(f, "length {bytes}"),
            Self::Chunked => f.write_str("chunked"),
            Self::UntilClose => f.write_str("until close"),
        }
    }
}

/// Reason for which a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.1 or is ambiguous.
    #[error("message head is not valid HTTP/1.1 or is ambiguous")]
    Malformed,
    /// The head exceeds the size limit.
    #[error("message head exceeds the size limit")]
    TooLong,
    /// The transfer coding is not `chunked`.
    #[error("transfer coding is not supported, expected chunked")]
    UnsupportedCoding,
}

/// Parsed head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: CompactString,
    /// Request target: path and query.
    pub target: CompactString,
    /// Header fields in the order sent.
    pub headers: Vec<Header>,
    /// Framing of the body.
    pub framing: Framing,
    /// The sender allows the connection to be reused.
    pub is_keep_alive: bool,
    /// The sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Parsed head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: CompactString,
    /// Header fields in the order sent.
    pub headers: Vec<Header>,
    /// Framing of the body.
    pub framing: Framing,
    /// The sender allows the connection to be reused.
    pub is_keep_alive: bool,
}

impl RequestHead {
    /// Returns the value of a header field, if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query without the question mark.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

impl ResponseHead {
    /// Returns whether the body is a stream of events; assumed if no type is stated.
    pub fn is_event_stream(&self) -> bool {
        self.header("content-type").is_none_or(|content_type| {
            let media_type = content_type.split(';').next().unwrap_or_default();
            media_type.trim().eq_ignore_ascii_case("text/event-stream")
        })
    }

    /// Returns the value of a header field, if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.is(name))?.text()
}

/// Parses a request head at the start of `bytes`; none if it is incomplete.
///
/// Returns the head and its length in bytes.
pub fn parse_request(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(length) = head_length(bytes, max_bytes)? else {
        return Ok(None);
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    let complete = parsed.parse(&bytes[..length]);
    if !matches!(complete, Ok(httparse::Status::Complete(end)) if end == length) {
        return Err(HeadError::Malformed);
    }
    let headers = copy_headers(parsed.headers);
    let version = parsed.version.unwrap_or(0);
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().into(),
        target: parsed.path.unwrap_or_default().into(),
        framing: body_framing(&headers)?.unwrap_or(Framing::Length(0)),
        is_keep_alive: is_keep_alive(&headers, version),
        expects_continue: find_header(&headers, "expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue")),
        headers,
    };
    let hosts = head.headers.iter().filter(|header| header.is("host"));
    if hosts.count() != 1 || !head.target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    Ok(Some((head, length)))
}

/// Parses a response head at the start of `bytes`; none if it is incomplete.
///
/// With `is_head_request`, the response has no body whatever its fields declare.
/// Returns the head and its length in bytes.
pub fn parse_response(
    bytes: &[u8],
    is_head_request: bool,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let Some(length) = head_length(bytes, MAX_RESPONSE_HEAD_BYTES)? else {
        return Ok(None);
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let complete = parsed.parse(&bytes[..length]);
    if !matches!(complete, Ok(httparse::Status::Complete(end)) if end == length) {
        return Err(HeadError::Malformed);
    }
    let headers = copy_headers(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    if !STATUSES.contains(&status) {
        return Err(HeadError::Malformed);
    }
    let version = parsed.version.unwrap_or(0);
    let declared = body_framing(&headers)?.unwrap_or(Framing::UntilClose);
    let has_no_body = is_head_request || status < 200 || status == 204 || status == 304;
    Ok(Some((
        ResponseHead {
            status,
            reason: parsed.reason.unwrap_or_default().into(),
            framing: if has_no_body {
                Framing::Length(0)
            } else {
                declared
            },
            is_keep_alive: is_keep_alive(&headers, version),
            headers,
        },
        length,
    )))
}

/// Returns the length of the head in bytes; none if its end has not arrived.
fn head_length(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let end = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    let seen = &bytes[..end.unwrap_or(bytes.len())];
    let has_bare_line_feed = memchr_iter(b'\n', seen).any(|at| at == 0 || seen[at - 1] != b'\r');
    if has_bare_line_feed {
        return Err(HeadError::Malformed);
    }
    if seen.len() > max_bytes {
        return Err(HeadError::TooLong);
    }
    Ok(end)
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    parsed
        .iter()
        .map(|header| Header {
            name: header.name.into(),
            value: header.value.into(),
        })
        .collect()
}

fn body_framing(headers: &[Header]) -> Result<Option<Framing>, HeadError> {
    let mut length = None;
    let mut is_chunked = false;
    for header in headers {
        if header.is("content-length") {
            let value = header.text().ok_or(HeadError::Malformed)?;
            let is_number = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let parsed: u64 = value.parse().map_err(|_| HeadError::Malformed)?;
            if !is_number || length.is_some() {
                return Err(HeadError::Malformed);
            }
            length = Some(parsed);
        } else if header.is("transfer-encoding") {
            let value = header.text().ok_or(HeadError::Malformed)?;
            if is_chunked || !value.eq_ignore_ascii_case("chunked") {
                return Err(HeadError::UnsupportedCoding);
            }
            is_chunked = true;
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(HeadError::Malformed),
        (Some(bytes), false) => Ok(Some(Framing::Length(bytes))),
        (None, true) => Ok(Some(Framing::Chunked)),
        (None, false) => Ok(None),
    }
}

fn is_keep_alive(headers: &[Header], version: u8) -> bool {
    let has_option = |token: &str| {
        headers
            .iter()
            .filter(|header| header.is("connection"))
            .filter_map(Header::text)
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    };
    if version == 0 {
        return has_option("keep-alive");
    }
    !has_option("close")
}
