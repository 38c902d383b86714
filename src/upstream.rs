//! Source of a response: an endpoint, or a host of another region that a request
//! was forwarded to.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    decision::event::Refusal,
    http::{
        client::{
            self,
            HttpRequest, //
        },
        connection::{
            BodyReader,
            Connection, //
        },
        message::{
            Framing,
            Headers,
            MessageError, //
        }, //
    },
    outcome::RunStateWord,
    peer::{
        client::Exchange,
        frame::{
            Field,
            Frame, //
        },
        link::LinkError, //
    }, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a read from an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// No data arrived before the deadline; the read can be repeated.
    TimedOut,
    /// The response cannot be completed.
    Failed,
}

impl From<MessageError> for ReadError {
    fn from(error: MessageError) -> Self {
        match error {
            MessageError::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

impl From<LinkError> for ReadError {
    fn from(error: LinkError) -> Self {
        match error {
            LinkError::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

/// Status and header fields of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
}

/// First part of the reply of an upstream.
#[derive(Debug)]
pub enum UpstreamReply {
    /// Head of a response, whose body follows.
    Response(UpstreamHead),
    /// A host refused the request before it sent any part of a response.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Whether the request has run.
        run_state: RunStateWord,
    },
}

/// Connects to an endpoint without sending any byte of a request.
pub fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, MessageError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    client::connect(
        address,
        remaining.clamp(Duration::from_millis(1), CONNECT_TIMEOUT),
    )
}

/// A request whose response is being read.
#[derive(Debug)]
pub enum Upstream {
    /// An endpoint, over a connection for this request only.
    Endpoint {
        /// Connection to the endpoint.
        connection: Connection,
        /// Reads the body; `None` until the head has been read.
        body: Option<BodyReader>,
    },
    /// A host of another region.
    Host {
        /// Exchange with the host.
        exchange: Exchange,
        /// Whether the host's final frame has been read.
        is_ended: bool,
    },
}

impl Upstream {
    /// Sends a request to an endpoint.
    ///
    /// After an error, part of the request may have arrived.
    pub fn send(
        mut connection: Connection,
        request: &HttpRequest,
        deadline: Instant,
    ) -> Result<Self, MessageError> {
        client::send(&mut connection, request, deadline)?;
        Ok(Self::Endpoint {
            connection,
            body: None,
        })
    }

    /// Returns the upstream of a request that was sent to a host.
    pub fn from_exchange(exchange: Exchange) -> Self {
        Self::Host {
            exchange,
            is_ended: false,
        }
    }

    /// Reads the head of a response or the refusal of a host.
    pub fn read_head(&mut self, until: Instant) -> Result<UpstreamReply, ReadError> {
        match self {
            Self::Endpoint { connection, body } => {
                let head = connection.read_response_head(until)?;
                let framing = head.framing()?;
                // Without a length or chunks, a truncated body looks complete.
                if framing == Framing::UntilClose {
                    return Err(ReadError::Failed);
                }
                *body = Some(BodyReader::new(framing));
                Ok(UpstreamReply::Response(UpstreamHead {
                    status: head.status,
                    headers: head.headers,
                }))
            }
            Self::Host { exchange, is_ended } => {
                let message = exchange.next_message(until)?;
                *is_ended = message.frame.is_final();
                match message.frame {
                    // Only final responses are forwarded.
                    Frame::ResponseHead { status, .. } if !(200..=599).contains(&status) => {
                        Err(ReadError::Failed)
                    }
                    Frame::ResponseHead { status, headers } => {
                        Ok(UpstreamReply::Response(UpstreamHead {
                            status,
                            headers: from_fields(&headers),
                        }))
                    }
                    Frame::Refused { refusal, run_state } => {
                        Ok(UpstreamReply::Refused { refusal, run_state })
                    }
                    _ => Err(ReadError::Failed),
                }
            }
        }
    }

    /// Appends the next part of the body to `out`; returns false at the end of a
    /// complete body.
    pub fn read_piece(&mut self, out: &mut Vec<u8>, until: Instant) -> Result<bool, ReadError> {
        match self {
            Self::Endpoint { connection, body } => {
                let body = body.as_mut().ok_or(ReadError::Failed)?;
                let count = body.read_piece(connection, out, until)?;
                Ok(count > 0)
            }
            Self::Host { is_ended: true, .. } => Ok(false),
            Self::Host { exchange, is_ended } => {
                let message = exchange.next_message(until)?;
                out.extend_from_slice(&message.payload);
                match message.frame {
                    Frame::ResponseBody => Ok(true),
                    Frame::ResponseEnd { .. } => {
                        *is_ended = true;
                        Ok(!message.payload.is_empty())
                    }
                    _ => Err(ReadError::Failed),
                }
            }
        }
    }

    /// Reads the end of a host's response, so that the connection can be reused.
    pub fn finish(mut self, until: Instant) {
        // If this fails, the connection is closed instead of reused.
        let _ = self.read_piece(&mut Vec::new(), until);
    }
}

/// Converts header fields to the form used between hosts.
pub fn to_fields(headers: &Headers) -> Vec<Field> {
    headers
        .iter()
        .map(|field| Field {
            name: field.name.clone(),
            value: field.value.clone(),
        })
        .collect()
}

/// Converts header fields received from another host.
pub fn from_fields(fields: &[Field]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.push(&field.name, &field.value);
    }
    headers
}
