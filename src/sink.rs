//! Where the answer to one request goes.

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
    types::RequestId, //
};

/// Longest wait for a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How far the answer has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Streaming,
    Ended,
    Broken,
}

/// The caller's side of one exchange.
#[derive(Debug)]
pub struct AnswerSink {
    connection: Connection,
    request: RequestId,
    is_closing: bool,
    progress: Progress,
}

impl AnswerSink {
    /// A sink that writes to a caller's connection.
    pub fn new(connection: Connection, request: RequestId) -> Self {
        Self {
            connection,
            request,
            is_closing: false,
            progress: Progress::Nothing,
        }
    }

    /// The same sink; the answer tells the caller that the connection closes.
    pub fn with_closing(mut self, is_closing: bool) -> Self {
        self.is_closing = is_closing;
        self
    }

    /// The connection, if another request may follow on it.
    pub fn into_connection(self) -> Option<Connection> {
        let is_reusable = self.progress == Progress::Ended && !self.is_closing;
        is_reusable.then_some(self.connection)
    }

    /// Whether the caller has closed its end.
    pub fn is_gone(&self) -> bool {
        self.connection.is_closed_by_peer()
    }

    /// Writes a whole answer.
    pub fn whole(
        &mut self,
        status: u16,
        headers: Headers,
        body: &[u8],
    ) -> Result<(), MessageError> {
        let headers = self.with_common(headers);
        let result = server::respond(&mut self.connection, status, headers, body, deadline());
        self.note(result, Progress::Ended)
    }

    /// Writes the head of a stream.
    pub fn start_stream(&mut self, headers: Headers) -> Result<(), MessageError> {
        let headers = self.with_common(headers);
        let result = server::start_chunked(&mut self.connection, 200, headers, deadline());
        self.note(result, Progress::Streaming)
    }

    /// Writes a piece of a stream at once.
    pub fn piece(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let result = server::write_chunk(&mut self.connection, bytes, deadline());
        self.note(result, Progress::Streaming)
    }

    /// Writes the proper end of a stream.
    pub fn end_stream(&mut self) -> Result<(), MessageError> {
        let result = server::end_chunked(&mut self.connection, deadline());
        self.note(result, Progress::Ended)
    }

    /// Writes a final answer without a result.
    ///
    /// A stream that has started gets an error event and no proper end.
    pub fn give_up(&mut self, answer: &ErrorAnswer) {
        let body = answer.to_json();
        let result = match self.progress {
            Progress::Nothing => {
                let mut headers = Headers::new().with_field("content-type", "application/json");
                if let Some(seconds) = answer.retry_after_s() {
                    headers.push("retry-after", &seconds.to_string());
                }
                self.whole(answer.status, headers, &body)
            }
            Progress::Streaming => {
                let event = [b"data: ", body.as_slice(), b"\n\n"].concat();
                let result = self.piece(&event);
                self.progress = Progress::Broken;
                result
            }
            Progress::Ended | Progress::Broken => Ok(()),
        };
        if let Err(error) = result {
            tracing::debug!(request = %self.request, %error, "caller did not take the final answer");
        }
    }

    fn with_common(&self, headers: Headers) -> Headers {
        let headers = headers.with_field("x-request-id", &self.request.to_string());
        if self.is_closing {
            headers.with_field("connection", "close")
        } else {
            headers
        }
    }

    fn note(
        &mut self,
        result: Result<(), MessageError>,
        next: Progress,
    ) -> Result<(), MessageError> {
        self.progress = if result.is_ok() {
            next
        } else {
            Progress::Broken
        };
        result
    }
}

fn deadline() -> Instant {
    Instant::now() + WRITE_TIMEOUT
}
