//! The side of an exchange that produces the answer: an endpoint or a host.

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

/// Why nothing could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// Nothing came yet; the read may be repeated.
    TimedOut,
    /// The answer will not be whole.
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

/// Status and fields of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
}

/// How a host replied to a forwarded request.
#[derive(Debug)]
pub enum UpstreamReply {
    /// It has an answer, whose body follows.
    Response(UpstreamHead),
    /// It gave the request up before any part of the answer.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Whether the request ran.
        run_state: RunStateWord,
    },
}

/// Connects to an endpoint; no byte of a request is sent.
pub fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, MessageError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    client::connect(
        address,
        remaining.clamp(Duration::from_millis(1), CONNECT_TIMEOUT),
    )
}

/// An exchange whose answer is being read.
#[derive(Debug)]
pub enum Upstream {
    /// An endpoint, over a connection of its own.
    Endpoint {
        /// The connection.
        connection: Connection,
        /// Reads the body once the head is there.
        body: Option<BodyReader>,
    },
    /// A host of another region.
    Host {
        /// The exchange with it.
        exchange: Exchange,
        /// Whether its final frame has been read.
        is_ended: bool,
    },
}

impl Upstream {
    /// Sends a call to an endpoint; an error means that part may have arrived.
    pub fn send(
        mut connection: Connection,
        call: &HttpRequest,
        deadline: Instant,
    ) -> Result<Self, MessageError> {
        client::send(&mut connection, call, deadline)?;
        Ok(Self::Endpoint {
            connection,
            body: None,
        })
    }

    /// The answer of a host to a request that was sent.
    pub fn from_exchange(exchange: Exchange) -> Self {
        Self::Host {
            exchange,
            is_ended: false,
        }
    }

    /// Reads the head of an answer or the refusal of a host.
    pub fn read_head(&mut self, until: Instant) -> Result<UpstreamReply, ReadError> {
        match self {
            Self::Endpoint { connection, body } => {
                let head = connection.read_response_head(until)?;
                let framing = head.framing()?;
                // Without a length or chunks, a cut looks like the end.
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

    /// Appends the next piece of the body; false at its proper end.
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

    /// Reads the end of a host's answer, so that the connection can be reused.
    pub fn finish(mut self, until: Instant) {
        // Without it the connection is closed, which does no harm.
        let _ = self.read_piece(&mut Vec::new(), until);
    }
}

/// Header fields as they travel between hosts.
pub fn to_fields(headers: &Headers) -> Vec<Field> {
    headers
        .iter()
        .map(|field| Field {
            name: field.name.clone(),
            value: field.value.clone(),
        })
        .collect()
}

/// Header fields that came from another host.
pub fn from_fields(fields: &[Field]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.push(&field.name, &field.value);
    }
    headers
}
