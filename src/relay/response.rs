//! Relays a response to the caller and checks that it has its proper end.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    CALLER_POLL_INTERVAL,
    Payload,
    Relay,
    RelayError, //
};
use crate::{
    byte_pool::PoolShare,
    decision::event::{
        AttemptOutcome,
        Event, //
    },
    http::message::Headers,
    openai::{
        self,
        EventSplitter,
        StreamEvent, //
    },
    types::{
        Attempt,
        Tokens, //
    },
    upstream::{
        ReadError,
        Upstream,
        UpstreamHead, //
    }, //
};

/// Largest response that is buffered until its end is seen.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Largest single event of a streamed response.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Longest wait for the end frame of a host after the last event of its stream.
const END_FRAME_TIMEOUT: Duration = Duration::from_millis(200);

/// State of one streamed response of an endpoint or host.
struct StreamReader {
    is_continuation: bool,
    is_finished: bool,
    splitter: EventSplitter,
}

impl Relay<'_, '_, '_> {
    pub(super) fn relay_response(
        &mut self,
        attempt: Attempt,
        upstream: Upstream,
        head: &UpstreamHead,
    ) -> AttemptOutcome {
        let result = if self.is_stream() && head.status == 200 {
            self.relay_stream(attempt, upstream)
        } else if self.stream.is_started {
            // The caller has received part of a stream, which no other head and
            // body can follow.
            Err(RelayError::Upstream)
        } else {
            self.relay_complete_response(attempt, upstream, head)
        };
        match result {
            Ok(outcome) => outcome,
            Err(RelayError::Caller) => self.caller_disconnected(),
            Err(RelayError::Upstream) => self.interrupted(),
        }
    }

    /// Reads the next part of the body; returns false at its proper end.
    fn read_piece(
        &mut self,
        upstream: &mut Upstream,
        piece: &mut Vec<u8>,
        last_byte: &mut Option<Instant>,
    ) -> Result<bool, RelayError> {
        loop {
            let until = Instant::now() + CALLER_POLL_INTERVAL;
            match upstream.read_piece(piece, until) {
                Ok(has_more) => {
                    *last_byte = Some(Instant::now());
                    return Ok(has_more);
                }
                Err(ReadError::TimedOut) => self.check_wait(*last_byte)?,
                Err(ReadError::Failed) => return Err(RelayError::Upstream),
            }
        }
    }

    /// Takes the memory for a buffer of this size.
    fn hold(&self, memory: &mut PoolShare, bytes: usize) -> Result<(), RelayError> {
        memory.grow_to(bytes).map_err(|error| {
            tracing::warn!(request = %self.arrival.request, %error, "response given up");
            RelayError::Upstream
        })
    }

    fn relay_complete_response(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
        head: &UpstreamHead,
    ) -> Result<AttemptOutcome, RelayError> {
        let mut body = Vec::new();
        let mut memory = self.context.response_memory.share();
        let mut last_byte = Some(Instant::now());
        while self.read_piece(&mut upstream, &mut body, &mut last_byte)? {
            if body.len() > MAX_RESPONSE_BYTES {
                return Err(RelayError::Upstream);
            }
            self.hold(&mut memory, body.len())?;
        }
        let status = head.status;
        let is_chat = matches!(self.payload, Payload::Chat(_));
        if is_chat && status == 200 && !openai::is_whole_answer(&body) {
            return Err(RelayError::Upstream);
        }
        self.report_first_token(attempt);
        let headers = response_headers(&head.headers);
        self.sink
            .write_response(status, headers, &body)
            .map_err(|_| RelayError::Caller)?;
        if is_chat && status != 200 {
            return Ok(AttemptOutcome::Failed { status });
        }
        let usage = openai::usage(&body);
        Ok(self.complete(usage.output, usage.cached))
    }

    fn relay_stream(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
    ) -> Result<AttemptOutcome, RelayError> {
        let mut reader = StreamReader {
            is_continuation: self.stream.tokens > Tokens(0),
            is_finished: false,
            splitter: EventSplitter::new(),
        };
        let mut piece = Vec::new();
        let mut memory = self.context.response_memory.share();
        let mut last_byte = None;
        loop {
            piece.clear();
            if !self.read_piece(&mut upstream, &mut piece, &mut last_byte)? {
                return Err(RelayError::Upstream);
            }
            reader.splitter.push(&piece);
            while let Some(event) = reader.splitter.next_event() {
                let text = std::str::from_utf8(&event).map_err(|_| RelayError::Upstream)?;
                if self.relay_stream_event(attempt, &mut reader, text)? {
                    upstream.finish(Instant::now() + END_FRAME_TIMEOUT);
                    return self.finish_stream();
                }
            }
            if reader.splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Err(RelayError::Upstream);
            }
            self.hold(&mut memory, reader.splitter.pending_bytes())?;
        }
    }

    /// Relays one event; returns whether it was the proper end of the stream.
    fn relay_stream_event(
        &mut self,
        attempt: Attempt,
        reader: &mut StreamReader,
        text: &str,
    ) -> Result<bool, RelayError> {
        let event = StreamEvent::parse(text).map_err(|_| RelayError::Upstream)?;
        self.record_usage(text);
        match event {
            StreamEvent::Done if reader.is_finished => {
                self.sink
                    .write_piece(text.as_bytes())
                    .map_err(|_| RelayError::Caller)?;
                return Ok(true);
            }
            StreamEvent::Done | StreamEvent::Error => return Err(RelayError::Upstream),
            StreamEvent::Other => {
                // A continuation starts with the role again, which the caller has
                // already received.
                if !reader.is_continuation || reader.is_finished {
                    self.write_event(text, reader.is_continuation)?;
                }
            }
            StreamEvent::Delta { content, is_finish } => {
                self.write_event(text, reader.is_continuation)?;
                if self.stream.tokens == Tokens(0) {
                    self.report_first_token(attempt);
                }
                self.record_delta(&content);
                reader.is_finished |= is_finish;
            }
        }
        Ok(false)
    }

    fn record_usage(&mut self, event: &str) {
        if let Some(usage) = openai::event_usage(event) {
            self.stream.usage = usage;
        }
    }

    fn record_delta(&mut self, content: &str) {
        if !content.is_empty() {
            self.stream.text.push_str(content);
            self.stream.tokens = self.stream.tokens + Tokens(1);
        }
    }

    fn write_event(&mut self, event: &str, is_continuation: bool) -> Result<(), RelayError> {
        if !self.stream.is_started {
            let headers = Headers::new()
                .with_field("content-type", "text/event-stream")
                .with_field("cache-control", "no-cache");
            self.sink
                .start_stream(headers)
                .map_err(|_| RelayError::Caller)?;
            self.stream.is_started = true;
            self.stream.response_id = openai::answer_id(event);
        }
        let rewritten = match &self.stream.response_id {
            Some(id) if is_continuation => openai::with_answer_id(event, id),
            _ => None,
        };
        let event = rewritten.as_deref().unwrap_or(event);
        self.sink
            .write_piece(event.as_bytes())
            .map_err(|_| RelayError::Caller)
    }

    fn finish_stream(&mut self) -> Result<AttemptOutcome, RelayError> {
        self.sink.end_stream().map_err(|_| RelayError::Caller)?;
        Ok(self.complete(self.stream.tokens, self.stream.usage.cached))
    }

    fn complete(&mut self, output: Tokens, cached: Tokens) -> AttemptOutcome {
        self.delivered.output_tokens = output;
        self.delivered.cached_tokens = cached;
        AttemptOutcome::Complete {
            output_tokens: output,
            cached_tokens: cached,
        }
    }

    fn report_first_token(&mut self, attempt: Attempt) {
        self.delivered.first_token_at = Some(Instant::now());
        let event = Event::FirstToken {
            request: self.arrival.request,
            attempt,
        };
        // A full ring drops this event; the decisions work without it.
        let _ = self.context.decider.report(event);
    }
}

/// Returns the header fields of a response that the caller receives.
fn response_headers(headers: &Headers) -> Headers {
    const FORWARDED_FIELDS: [&str; 6] = [
        "content-type",
        "cache-control",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    ];
    let mut returned = Headers::new();
    for field in headers.iter() {
        if FORWARDED_FIELDS.contains(&field.name.as_str()) {
            returned.push(&field.name, &field.value);
        }
    }
    returned
}
