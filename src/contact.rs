//! What this host has heard from the platform so far.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    }, //
};

use crate::{
    clock,
    types::Millis, //
};

#[derive(Debug, Default)]
struct State {
    has_list: AtomicBool,
    /// Instant of the last response; 0 before the first one.
    heard_ms: AtomicU64,
}

/// Shared by the threads that read from the platform and those that need it.
#[derive(Debug, Clone, Default)]
pub struct PlatformContact(Arc<State>);

impl PlatformContact {
    /// Nothing heard yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a response of the platform.
    pub fn note_response(&self) {
        self.0.heard_ms.store(clock::now().0, Ordering::Relaxed);
    }

    /// Time since the last response; none if there never was one.
    pub fn response_age_ms(&self) -> Option<Millis> {
        let heard_ms = self.0.heard_ms.load(Ordering::Relaxed);
        (heard_ms > 0).then(|| clock::now() - Millis(heard_ms))
    }

    /// Notes that the list of endpoints has been read, here or by another host of the region.
    pub fn note_list(&self) {
        self.0.has_list.store(true, Ordering::Release);
    }

    /// Whether the list of endpoints has been read.
    ///
    /// A host without a list would refuse every request for want of an endpoint.
    pub fn has_list(&self) -> bool {
        self.0.has_list.load(Ordering::Acquire)
    }
}
