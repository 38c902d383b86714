//! HTTP client that sends one request per connection.
//!
//! Connecting and sending are separate steps, so that a caller of this module
//! knows whether any byte of a request was sent.

use std::{
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use super::{
    connection::{
        BodyReader,
        Connection, //
    },
    message::{
        Headers,
        MessageError,
        ResponseHead,
        write_fields, //
    }, //
};

/// A complete request to send.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method, such as `POST`.
    pub method: compact_str::CompactString,
    /// Path and query.
    pub path: compact_str::CompactString,
    /// Header fields except `host`, `content-length` and `connection`, which
    /// [`send`] adds.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
}

/// A response whose head has been read and whose body has not.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Reads the body from `connection`.
    pub body: BodyReader,
    /// Connection that carries this response only.
    pub connection: Connection,
}

/// Opens a connection without sending any byte of a request.
pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, MessageError> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    Ok(Connection::new(stream)?)
}

/// Sends the complete request.
///
/// After an error, part of the request may have arrived.
pub fn send(
    connection: &mut Connection,
    request: &HttpRequest,
    deadline: Instant,
) -> Result<(), MessageError> {
    let host = connection.stream().peer_addr()?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    let fields = request
        .headers
        .clone()
        .with_field("host", &host.to_string())
        .with_field("content-length", &request.body.len().to_string())
        .with_field("connection", "close");
    write_fields(&mut head, &fields);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&request.body);
    connection.write_all(&bytes, deadline)
}

/// Reads the head of the response to a request that was sent.
pub fn receive(
    mut connection: Connection,
    deadline: Instant,
) -> Result<HttpResponse, MessageError> {
    let head = connection.read_response_head(deadline)?;
    let body = BodyReader::new(head.framing()?);
    Ok(HttpResponse {
        head,
        body,
        connection,
    })
}
