//! Memory that the buffered answers of a host may use together.
//!
//! Each answer is bounded by itself, but a host has many at a time, and a faulty endpoint may send
//! bytes without end. What an answer holds beyond a size that ordinary answers keep within comes
//! from a pool; an answer for which nothing is left has failed.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

use thiserror::Error;

/// Bytes that each answer may hold besides the pool.
pub const FREE_BYTES: usize = 64 * 1024;

/// The pool has too little left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("buffer of {needed_bytes} bytes does not fit into the {left_bytes} bytes left in the pool")]
pub struct PoolExhausted {
    /// Size of the buffer.
    pub needed_bytes: usize,
    /// Bytes left.
    pub left_bytes: usize,
}

/// Bytes that buffers share.
#[derive(Debug, Clone)]
pub struct BytePool {
    left: Arc<AtomicUsize>,
}

impl BytePool {
    /// Returns a pool of this size.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns the share of a buffer that is empty.
    pub fn share(&self) -> PoolShare {
        PoolShare {
            pool: self.clone(),
            taken_bytes: 0,
        }
    }
}

/// Part of a pool that one buffer holds until it is dropped.
#[derive(Debug)]
pub struct PoolShare {
    pool: BytePool,
    taken_bytes: usize,
}

impl PoolShare {
    /// Takes what a buffer of this size needs beyond what it holds already.
    ///
    /// # Errors
    ///
    /// Fails if the pool has too little left.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), PoolExhausted> {
        let needed = bytes.saturating_sub(FREE_BYTES);
        let Some(more) = needed.checked_sub(self.taken_bytes) else {
            return Ok(());
        };
        let take = |left: usize| left.checked_sub(more);
        let left = &self.pool.left;
        left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .map_err(|left_bytes| PoolExhausted {
                needed_bytes: bytes,
                left_bytes,
            })?;
        self.taken_bytes = needed;
        Ok(())
    }
}

impl Drop for PoolShare {
    fn drop(&mut self) {
        self.pool
            .left
            .fetch_add(self.taken_bytes, Ordering::Relaxed);
    }
}
