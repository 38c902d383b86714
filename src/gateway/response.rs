//! Answers that the gateway writes: its own, and those of endpoints.

use super::head::{
    Header,
    RequestHead,
    ResponseHead, //
};
use crate::http::message::reason;

/// Header with which a host tells another one that a request did not run.
pub const NOT_RUN_HEADER: &str = "Bridge-Not-Run";
/// Header that carries the plan of a forwarded request.
pub const FORWARD_HEADER: &str = "Bridge-Forward";
/// Start of the names of headers that only hosts may send.
const INTERNAL_PREFIX: &str = "bridge-";

/// An answer of the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayResponse {
    /// Status.
    pub status: u16,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
    /// The request has not run and never will.
    pub is_not_run: bool,
}

impl GatewayResponse {
    /// Refuses a request that was not sent, until a time.
    pub fn refusal(retry_after_ms: u64) -> Self {
        Self {
            status: 503,
            retry_after_ms: Some(retry_after_ms),
            is_not_run: true,
        }
    }

    /// An answer that promises nothing.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            retry_after_ms: None,
            is_not_run: false,
        }
    }
}

/// Writes an answer of the gateway with a body.
pub fn write_gateway_response(
    response: GatewayResponse,
    content_type: &str,
    body: &[u8],
    is_closing: bool,
    out: &mut Vec<u8>,
) {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        body.len()
    );
    if let Some(retry_ms) = response.retry_after_ms {
        head.push_str(&format!(
            "Retry-After: {:.3}\r\n",
            retry_ms as f64 / 1_000.0
        ));
    }
    if response.is_not_run {
        head.push_str(&format!("{NOT_RUN_HEADER}: 1\r\n"));
    }
    if is_closing {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// How the body of a passed-on answer is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFrame {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
}

/// Writes the head of an endpoint's answer.
pub fn write_response_head(
    head: &ResponseHead,
    frame: BodyFrame,
    is_closing: bool,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    write_end_to_end(&head.headers, |_| true, out);
    match frame {
        BodyFrame::Length(bytes) => {
            out.extend_from_slice(format!("Content-Length: {bytes}\r\n").as_bytes());
        }
        BodyFrame::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    if is_closing {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes the start of a request's head: the first line and the caller's headers.
pub fn write_request_start<F>(head: &RequestHead, is_relayed: F, out: &mut Vec<u8>)
where
    F: Fn(&Header) -> bool,
{
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_end_to_end(&head.headers, is_relayed, out);
}

/// Writes the fields that concern more than one connection.
///
/// A `Connection` field can name further fields that concern only one.
fn write_end_to_end<F>(headers: &[Header], is_relayed: F, out: &mut Vec<u8>)
where
    F: Fn(&Header) -> bool,
{
    let connection_options: Vec<&str> = headers
        .iter()
        .filter(|header| header.is("connection"))
        .filter_map(Header::text)
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    headers
        .iter()
        .filter(|header| !header.is_hop_by_hop() && !is_internal(header))
        .filter(|header| !connection_options.iter().any(|name| header.is(name)))
        .filter(|header| is_relayed(header))
        .for_each(|header| write_header(header, out));
}

fn write_header(header: &Header, out: &mut Vec<u8>) {
    out.extend_from_slice(header.name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(&header.value);
    out.extend_from_slice(b"\r\n");
}

fn is_internal(header: &Header) -> bool {
    let name = header.name.as_bytes();
    name.len() >= INTERNAL_PREFIX.len()
        && name[..INTERNAL_PREFIX.len()].eq_ignore_ascii_case(INTERNAL_PREFIX.as_bytes())
}
