//! Splitting of streams at server-sent event boundaries.
//!
//! An endpoint can stop in the middle of an event. Only complete events are
//! relayed, so that another endpoint can continue a stream after the last one.

use compact_str::CompactString;
use memchr::memchr;

/// Splits a stream into complete events and records the id of the last one.
///
/// An event ends with an empty line; lines end with a line feed or with a carriage return
/// and a line feed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    /// Start of the unfinished line in `partial`.
    line_start: usize,
    last_id: Option<CompactString>,
    complete_count: u64,
}

impl EventSplitter {
    /// Returns a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds content and appends the events that it completes to `out`.
    pub fn push(&mut self, content: &[u8], out: &mut Vec<u8>) {
        let mut at = self.partial.len();
        self.partial.extend_from_slice(content);
        let mut start = 0;
        while let Some(found) = memchr(b'\n', &self.partial[at..]) {
            let line = &self.partial[self.line_start..at + found];
            at += found + 1;
            if matches!(line, b"" | b"\r") {
                let event = &self.partial[start..at];
                self.complete_count += u64::from(!event.trim_ascii().is_empty());
                self.last_id = event_id(event).or(self.last_id.take());
                start = at;
            }
            self.line_start = at;
        }
        self.line_start -= start;
        out.extend(self.partial.drain(..start));
    }

    /// Drops an incomplete event; the stream continues after the last complete one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.line_start = 0;
    }

    /// Returns the content after the last complete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }

    /// Returns the number of complete events.
    pub fn complete_count(&self) -> u64 {
        self.complete_count
    }
}

fn event_id(event: &[u8]) -> Option<CompactString> {
    // A carriage return ends a line as well, and an id is sent in a header.
    event
        .split(|byte| matches!(byte, b'\r' | b'\n'))
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| std::str::from_utf8(value).ok())
        .map(|value| CompactString::from(value.trim()))
        .next_back()
}
