//! Spreads calls that all hosts make for the same cause, such as the return of the
//! store, so that they do not reach it in the same instant.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

/// Longest delay, so that a host of a large region does not stay behind for long.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// A host's place in the order in which hosts make such calls.
#[derive(Debug, Clone)]
pub struct Spread {
    /// Between 0 and 1, different for each host.
    fraction: f64,
    host_count: Arc<AtomicU64>,
}

impl Spread {
    /// Returns the place of the host `name` among `host_count` hosts.
    pub fn new(name: &str, host_count: Arc<AtomicU64>) -> Self {
        Self {
            fraction: xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64,
            host_count,
        }
    }

    /// Returns the delay of this host, if each host takes `per_host` of the time.
    pub fn delay(&self, per_host: Duration) -> Duration {
        let count = u32::try_from(self.host_count.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let total = per_host.saturating_mul(count).min(MAX_DELAY);
        total.mul_f64(self.fraction)
    }
}
