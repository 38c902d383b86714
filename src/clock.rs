//! The time of the process.
//!
//! Wall time is read once; from then on a monotonic clock counts, so the time
//! never goes back when the system clock is set.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use crate::types::Millis;

struct Start {
    wall: Duration,
    monotonic: Instant,
}

static START: OnceLock<Start> = OnceLock::new();

fn start() -> &'static Start {
    START.get_or_init(|| Start {
        wall: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
        monotonic: Instant::now(),
    })
}

/// The present, counted from the Unix epoch.
pub fn now() -> Millis {
    let start = start();
    let elapsed = start.wall + start.monotonic.elapsed();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// The instant of the monotonic clock that corresponds to `at_ms`.
pub fn instant_of(at_ms: Millis) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(now()).0)
}
