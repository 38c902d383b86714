//! One call on one connection, which tells whether a byte was sent.

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

/// A request that is ready to be written.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method, such as `POST`.
    pub method: compact_str::CompactString,
    /// Path and query.
    pub path: compact_str::CompactString,
    /// Fields besides `host`, `content-length` and `connection`.
    pub headers: Headers,
    /// Whole body.
    pub body: Vec<u8>,
}

/// A response whose head has been read.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status and fields.
    pub head: ResponseHead,
    /// Reads the body from `connection`.
    pub body: BodyReader,
    /// The connection, used for this one answer only.
    pub connection: Connection,
}

/// Opens a connection; no byte of a request is sent.
pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, MessageError> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    Ok(Connection::new(stream)?)
}

/// Writes the whole call; an error means that part of it may have arrived.
pub fn send(
    connection: &mut Connection,
    call: &HttpRequest,
    deadline: Instant,
) -> Result<(), MessageError> {
    let host = connection.stream().peer_addr()?;
    let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
    let fields = call
        .headers
        .clone()
        .with_field("host", &host.to_string())
        .with_field("content-length", &call.body.len().to_string())
        .with_field("connection", "close");
    write_fields(&mut head, &fields);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.body);
    connection.write_all(&bytes, deadline)
}

/// Reads the head of the answer to a call that was sent.
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
