//! Which answers a request got, for its log line.
//!
//! An endpoint may answer a request more than once. Two answers on one connection to sends of
//! one attempt show in the line, with the time that passed since each send.

use std::fmt;

use crate::types::hex_id;

hex_id!(
    /// Connection to an endpoint or host, unique within the process.
    ConnectionId,
    u64,
    "connection id",
    "{:x}",
    "up to 16 hexadecimal digits"
);

/// An answer that was taken for that to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRecord {
    /// Connection on which it arrived.
    pub connection: ConnectionId,
    /// Number of the request among those sent on the connection, from 1.
    pub send_number: u32,
    /// Status code.
    pub status: u16,
    /// Time since the request was sent.
    pub after_ms: u64,
}

impl fmt::Display for AnswerRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            connection,
            send_number,
            status,
            after_ms,
        } = self;
        write!(f, "{connection}/{send_number} {status} {after_ms}ms")
    }
}

/// Answers to the sends of one request, the first ones of many.
#[derive(Debug, Default)]
pub struct AnswerRecords(Vec<AnswerRecord>);

impl AnswerRecords {
    /// Answers that are recorded: more than a request usually gets.
    const MAX_RECORDS: usize = 16;

    /// Adds an answer.
    pub fn push(&mut self, record: AnswerRecord) {
        if self.0.len() < Self::MAX_RECORDS {
            self.0.push(record);
        }
    }
}

impl fmt::Display for AnswerRecords {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, record) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{record}")?;
        }
        Ok(())
    }
}
