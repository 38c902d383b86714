//! Passes an answer on and checks that it has its proper end.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    Broken,
    CALLER_POLL,
    Payload,
    Relay, //
};
use crate::{
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
        AnswerHead,
        ReadError,
        Upstream, //
    }, //
};

/// Largest plain answer that is held until its end is seen.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest single event of a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Longest wait for the end frame of a host whose stream has ended.
const END_FRAME_TIMEOUT: Duration = Duration::from_millis(200);

/// State of one upstream stream.
struct StreamReader {
    is_continued: bool,
    is_finished: bool,
    splitter: EventSplitter,
}

impl Relay<'_, '_, '_> {
    pub(super) fn pass_on(
        &mut self,
        attempt: Attempt,
        upstream: Upstream,
        head: &AnswerHead,
    ) -> AttemptOutcome {
        let result = if self.is_stream() && head.status == 200 {
            self.pass_stream(attempt, upstream)
        } else if self.stream.is_started {
            // The caller is in the middle of a stream, where no other head and
            // body can follow.
            Err(Broken::Upstream)
        } else {
            self.pass_whole(attempt, upstream, head)
        };
        match result {
            Ok(outcome) => outcome,
            Err(Broken::Caller) => self.caller_gone(),
            Err(Broken::Upstream) => self.interrupted(),
        }
    }

    /// Reads the next piece; false at the proper end of the body.
    fn read_piece(
        &mut self,
        upstream: &mut Upstream,
        piece: &mut Vec<u8>,
        last_byte: &mut Option<Instant>,
    ) -> Result<bool, Broken> {
        loop {
            let until = Instant::now() + CALLER_POLL;
            match upstream.read_piece(piece, until) {
                Ok(has_more) => {
                    *last_byte = Some(Instant::now());
                    return Ok(has_more);
                }
                Err(ReadError::TimedOut) => self.check_waiting(*last_byte)?,
                Err(ReadError::Broken) => return Err(Broken::Upstream),
            }
        }
    }

    fn pass_whole(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
        head: &AnswerHead,
    ) -> Result<AttemptOutcome, Broken> {
        let mut body = Vec::new();
        let mut last_byte = Some(Instant::now());
        while self.read_piece(&mut upstream, &mut body, &mut last_byte)? {
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Broken::Upstream);
            }
        }
        let status = head.status;
        let is_chat = matches!(self.payload, Payload::Chat(_));
        if is_chat && status == 200 && !openai::is_whole_answer(&body) {
            return Err(Broken::Upstream);
        }
        self.report_first_token(attempt);
        let headers = passed_headers(&head.headers);
        self.sink
            .whole(status, headers, &body)
            .map_err(|_| Broken::Caller)?;
        if is_chat && status != 200 {
            return Ok(AttemptOutcome::Failed { status });
        }
        let usage = openai::usage(&body);
        Ok(self.complete(usage.output, usage.cached))
    }

    fn pass_stream(
        &mut self,
        attempt: Attempt,
        mut upstream: Upstream,
    ) -> Result<AttemptOutcome, Broken> {
        let mut reader = StreamReader {
            is_continued: self.stream.tokens > Tokens(0),
            is_finished: false,
            splitter: EventSplitter::new(),
        };
        let mut piece = Vec::new();
        let mut last_byte = None;
        loop {
            piece.clear();
            if !self.read_piece(&mut upstream, &mut piece, &mut last_byte)? {
                return Err(Broken::Upstream);
            }
            reader.splitter.push(&piece);
            while let Some(event) = reader.splitter.next_event() {
                let text = std::str::from_utf8(&event).map_err(|_| Broken::Upstream)?;
                if self.pass_stream_event(attempt, &mut reader, text)? {
                    upstream.finish(Instant::now() + END_FRAME_TIMEOUT);
                    return self.finish_stream();
                }
            }
            if reader.splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Err(Broken::Upstream);
            }
        }
    }

    /// Passes on one event; returns whether it was the proper end.
    fn pass_stream_event(
        &mut self,
        attempt: Attempt,
        reader: &mut StreamReader,
        text: &str,
    ) -> Result<bool, Broken> {
        let event = StreamEvent::parse(text).map_err(|_| Broken::Upstream)?;
        self.note_usage(text);
        match event {
            StreamEvent::Done if reader.is_finished => {
                self.sink
                    .piece(text.as_bytes())
                    .map_err(|_| Broken::Caller)?;
                return Ok(true);
            }
            StreamEvent::Done | StreamEvent::Error => return Err(Broken::Upstream),
            StreamEvent::Other => {
                // A continued answer starts with the role once more.
                if !reader.is_continued || reader.is_finished {
                    self.pass_event(text, reader.is_continued)?;
                }
            }
            StreamEvent::Delta { content, is_finish } => {
                self.pass_event(text, reader.is_continued)?;
                if self.stream.tokens == Tokens(0) {
                    self.report_first_token(attempt);
                }
                self.note_delta(&content);
                reader.is_finished |= is_finish;
            }
        }
        Ok(false)
    }

    fn note_usage(&mut self, event: &str) {
        if let Some(usage) = openai::event_usage(event) {
            self.stream.usage = usage;
        }
    }

    fn note_delta(&mut self, content: &str) {
        if !content.is_empty() {
            self.stream.text.push_str(content);
            self.stream.tokens = self.stream.tokens + Tokens(1);
        }
    }

    fn pass_event(&mut self, event: &str, is_continued: bool) -> Result<(), Broken> {
        if !self.stream.is_started {
            let headers = Headers::new()
                .with_field("content-type", "text/event-stream")
                .with_field("cache-control", "no-cache");
            self.sink
                .start_stream(headers)
                .map_err(|_| Broken::Caller)?;
            self.stream.is_started = true;
            self.stream.answer_id = openai::answer_id(event);
        }
        let renamed = match &self.stream.answer_id {
            Some(id) if is_continued => openai::with_answer_id(event, id),
            _ => None,
        };
        let event = renamed.as_deref().unwrap_or(event);
        self.sink
            .piece(event.as_bytes())
            .map_err(|_| Broken::Caller)
    }

    fn finish_stream(&mut self) -> Result<AttemptOutcome, Broken> {
        self.sink.end_stream().map_err(|_| Broken::Caller)?;
        Ok(self.complete(self.stream.tokens, self.stream.usage.cached))
    }

    fn complete(&mut self, output: Tokens, cached: Tokens) -> AttemptOutcome {
        self.delivered.output = output;
        self.delivered.cached = cached;
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
        // The decisions do without this event when the ring is full.
        let _ = self.context.decider.report(event);
    }
}

/// Fields of an endpoint's answer that the caller gets.
fn passed_headers(headers: &Headers) -> Headers {
    const PASSED: [&str; 6] = [
        "content-type",
        "cache-control",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    ];
    let mut passed = Headers::new();
    for field in headers.iter() {
        if PASSED.contains(&field.name.as_str()) {
            passed.push(&field.name, &field.value);
        }
    }
    passed
}
