//! Memory that the buffers of a host's connections and requests may use together.
//!
//! A faulty endpoint may send bytes without end, and callers may not read. Each answer and
//! request is bounded by itself, but a host has many of them at a time. An answer may
//! therefore hold a share of what is left, down to a size that any ordinary answer fits into,
//! and reading from its endpoint pauses beyond it. A request whose body does not fit is refused.

use std::fmt;

/// Memory of a host whose settings state none.
pub const DEFAULT_MEMORY_MB: u64 = 256;
/// Share of the memory for all buffers; the rest is for the process itself, for what the
/// kernel holds, and for fragmentation.
const BUFFER_SHARE: u64 = 4;
/// Most bytes that one answer may hold in each of its buffers.
pub const MAX_GRANT: ByteCount = ByteCount(512 * 1024);
/// Fewest bytes that an answer may hold, whatever the others do.
const MIN_GRANT: ByteCount = ByteCount(16 * 1024);
/// Part of the bytes left that one answer may take.
const GRANT_SHARE: usize = 16;
/// Copies of a request's body: as received, and as sent to an endpoint.
const BODY_COPIES: usize = 2;
/// Bytes read after which the buffers are counted again.
const COUNT_INTERVAL: ByteCount = ByteCount(1024 * 1024);

/// A number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ByteCount(pub usize);

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0)
    }
}

/// Limit and use of the buffers.
#[derive(Debug)]
pub struct BufferBudget {
    limit: ByteCount,
    /// Use when the buffers were last counted, with the bytes that were read since.
    held: ByteCount,
    uncounted: ByteCount,
}

impl BufferBudget {
    /// Returns the budget of a host with this memory.
    pub fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb.saturating_mul(1024 * 1024) / BUFFER_SHARE;
        Self {
            limit: ByteCount(usize::try_from(bytes).unwrap_or(usize::MAX)),
            held: ByteCount(0),
            uncounted: ByteCount(0),
        }
    }

    /// Records bytes that were read into a buffer.
    pub fn record_read(&mut self, count: ByteCount) {
        self.held.0 += count.0;
        self.uncounted.0 += count.0;
    }

    /// Returns whether so much was read that the buffers have to be counted.
    pub fn is_count_due(&self) -> bool {
        self.uncounted >= COUNT_INTERVAL
    }

    /// Sets the counted use of all buffers.
    pub fn set_held(&mut self, held: ByteCount) {
        self.held = held;
        self.uncounted = ByteCount(0);
    }

    /// Returns the use of all buffers.
    pub fn held(&self) -> ByteCount {
        self.held
    }

    /// Returns the bytes that an answer may hold in each of its buffers.
    pub fn grant(&self) -> ByteCount {
        let left = self.limit.0.saturating_sub(self.held.0);
        ByteCount(left / GRANT_SHARE).clamp(MIN_GRANT, MAX_GRANT)
    }

    /// Returns whether a request with a body of this size fits beside what is held.
    ///
    /// Bodies that are no larger than the smallest grant always do.
    pub fn fits_body(&self, body: ByteCount) -> bool {
        let needed = body.0.saturating_mul(BODY_COPIES);
        body <= MIN_GRANT || self.held.0.saturating_add(needed) <= self.limit.0 * 2
    }
}
