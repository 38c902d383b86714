//! Translation between the users' platform and the gateway.
//!
//! The modules read and write formats that the platform defines: HTTP headers,
//! items of its metadata store and the store's API. Each format is decoded once,
//! into types of [`crate::gateway`]. No decision is made here.

pub mod headers;
pub mod items;
pub mod store;

/// Longest time in milliseconds that is taken from what others write: longer ones are as good
/// as this, and can be added to without an overflow.
const MAX_STATED_MS: u64 = 30 * 24 * 60 * 60 * 1_000;
