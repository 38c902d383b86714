//! Destination of the response to one request: a caller, the host that forwarded
//! the request, or memory.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    http::{
        connection::Connection,
        message::{
            Headers,
            MessageError, //
        },
        server, //
    },
    openai::ErrorAnswer,
    peer::{
        frame::Frame,
        server::ServerExchange, //
    },
    types::{
        RequestId,
        Tokens, //
    },
    upstream, //
};

/// Timeout of one write to a caller or host that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

const CAPTURED_STREAM: &str = "an answer that is kept cannot be a stream";

/// How far the response has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    NotStarted,
    Streaming,
    Ended,
    Failed,
}

/// A response that is kept in memory instead of written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapturedResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields of the endpoint's response.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
}

#[derive(Debug)]
enum Output<'a, 'b> {
    Caller(Connection),
    Host(HostOutput<'a, 'b>),
    Capture(Option<CapturedResponse>),
}

/// Writer of the response to one request.
#[derive(Debug)]
pub struct ResponseSink<'a, 'b> {
    output: Output<'a, 'b>,
    request: RequestId,
    is_closing: bool,
    progress: Progress,
}

impl<'a, 'b> ResponseSink<'a, 'b> {
    /// Returns a sink that writes to a caller's connection.
    pub fn new(connection: Connection, request: RequestId) -> Self {
        Self::with_output(Output::Caller(connection), request)
    }

    /// Returns a sink that responds to the host that forwarded the request.
    pub fn for_host(exchange: &'a mut ServerExchange<'b>, request: RequestId) -> Self {
        Self::with_output(Output::Host(HostOutput::new(exchange)), request)
    }

    /// Returns a sink that keeps a complete response in memory.
    pub fn capturing(request: RequestId) -> Self {
        Self::with_output(Output::Capture(None), request)
    }

    fn with_output(output: Output<'a, 'b>, request: RequestId) -> Self {
        Self {
            output,
            request,
            is_closing: false,
            progress: Progress::NotStarted,
        }
    }

    /// Sets whether the response announces that the connection closes.
    pub fn with_closing(mut self, is_closing: bool) -> Self {
        self.is_closing = is_closing;
        self
    }

    /// Returns the caller's connection if it can carry another request.
    pub fn into_connection(self) -> Option<Connection> {
        let is_reusable = self.progress == Progress::Ended && !self.is_closing;
        match self.output {
            Output::Caller(connection) if is_reusable => Some(connection),
            _ => None,
        }
    }

    /// Returns the captured response, if any.
    pub fn into_captured(self) -> Option<CapturedResponse> {
        match self.output {
            Output::Capture(response) => response,
            Output::Caller(_) | Output::Host(_) => None,
        }
    }

    /// Returns whether the caller, or the forwarding host, has disconnected or
    /// cancelled.
    pub fn is_disconnected(&mut self) -> bool {
        match &mut self.output {
            Output::Caller(connection) => connection.is_closed_by_peer(),
            Output::Host(host) => host.is_disconnected(),
            Output::Capture(_) => false,
        }
    }

    /// Writes a complete response.
    pub fn write_response(
        &mut self,
        status: u16,
        headers: Headers,
        body: &[u8],
    ) -> Result<(), MessageError> {
        let full_headers = self.with_common_headers(headers.clone());
        let result = match &mut self.output {
            Output::Caller(connection) => {
                server::respond(connection, status, full_headers, body, deadline())
            }
            Output::Host(host) => host.write_response(status, &headers, body),
            Output::Capture(response) => {
                *response = Some(CapturedResponse {
                    status,
                    headers,
                    body: body.to_vec(),
                });
                Ok(())
            }
        };
        self.update_progress(result, Progress::Ended)
    }

    /// Writes the head of a streamed response with status 200.
    pub fn start_stream(&mut self, headers: Headers) -> Result<(), MessageError> {
        let headers = self.with_common_headers(headers);
        let result = match &mut self.output {
            Output::Caller(connection) => {
                server::start_chunked(connection, 200, headers, deadline())
            }
            Output::Host(host) => host.write_head(200, &headers),
            Output::Capture(_) => Err(MessageError::Malformed(CAPTURED_STREAM)),
        };
        self.update_progress(result, Progress::Streaming)
    }

    /// Writes part of a streamed response without buffering.
    pub fn write_piece(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let result = match &mut self.output {
            Output::Caller(connection) => server::write_chunk(connection, bytes, deadline()),
            Output::Host(host) => host.write_piece(bytes),
            Output::Capture(_) => Err(MessageError::Malformed(CAPTURED_STREAM)),
        };
        self.update_progress(result, Progress::Streaming)
    }

    /// Writes the end of a complete stream.
    pub fn end_stream(&mut self) -> Result<(), MessageError> {
        let result = match &mut self.output {
            Output::Caller(connection) => server::end_chunked(connection, deadline()),
            Output::Host(host) => host.write_end(),
            Output::Capture(_) => Err(MessageError::Malformed(CAPTURED_STREAM)),
        };
        self.update_progress(result, Progress::Ended)
    }

    /// Writes an error as the final response.
    ///
    /// A stream that has started gets an error event and is not terminated, so
    /// that it does not look complete.
    pub fn write_error(&mut self, answer: &ErrorAnswer) {
        let body = answer.to_json();
        let result = match self.progress {
            Progress::NotStarted => {
                let mut headers = Headers::new().with_field("content-type", "application/json");
                if let Some(seconds) = answer.retry_after_s() {
                    headers.push("retry-after", &seconds.to_string());
                }
                self.write_response(answer.status, headers, &body)
            }
            Progress::Streaming => {
                let event = [b"data: ", body.as_slice(), b"\n\n"].concat();
                let result = self.write_piece(&event);
                self.progress = Progress::Failed;
                result
            }
            Progress::Ended | Progress::Failed => Ok(()),
        };
        if let Err(error) = result {
            tracing::debug!(request = %self.request, %error, "could not write the error response to the caller");
        }
    }

    fn with_common_headers(&self, headers: Headers) -> Headers {
        let headers = headers.with_field("x-request-id", &self.request.to_string());
        if self.is_closing {
            headers.with_field("connection", "close")
        } else {
            headers
        }
    }

    fn update_progress(
        &mut self,
        result: Result<(), MessageError>,
        next: Progress,
    ) -> Result<(), MessageError> {
        self.progress = if result.is_ok() {
            next
        } else {
            Progress::Failed
        };
        result
    }
}

/// Writer to the host that forwarded a request.
#[derive(Debug)]
struct HostOutput<'a, 'b> {
    exchange: &'a mut ServerExchange<'b>,
}

impl<'a, 'b> HostOutput<'a, 'b> {
    fn new(exchange: &'a mut ServerExchange<'b>) -> Self {
        Self { exchange }
    }

    fn is_disconnected(&mut self) -> bool {
        self.exchange.is_cancelled()
    }

    fn write_head(&mut self, status: u16, headers: &Headers) -> Result<(), MessageError> {
        let headers = upstream::to_fields(headers);
        let frame = Frame::ResponseHead { status, headers };
        self.exchange
            .send(&frame, &[], deadline())
            .map_err(|_| MessageError::Closed)
    }

    fn write_piece(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        self.exchange
            .send(&Frame::ResponseBody, bytes, deadline())
            .map_err(|_| MessageError::Closed)
    }

    fn write_end(&mut self) -> Result<(), MessageError> {
        // The forwarding host counts the tokens itself.
        let frame = Frame::ResponseEnd {
            output_tokens: Tokens(0),
            cached_tokens: Tokens(0),
        };
        self.exchange
            .finish(&frame, &[], deadline())
            .map_err(|_| MessageError::Closed)
    }

    fn write_response(
        &mut self,
        status: u16,
        headers: &Headers,
        body: &[u8],
    ) -> Result<(), MessageError> {
        self.write_head(status, headers)?;
        if !body.is_empty() {
            self.write_piece(body)?;
        }
        self.write_end()
    }
}

fn deadline() -> Instant {
    Instant::now() + WRITE_TIMEOUT
}
