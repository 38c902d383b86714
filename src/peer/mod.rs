//! Host to host: gossip over UDP and exchanges over TCP.
//!
//! Both are authenticated under one cluster key. `wire` holds the key and the
//! datagram format, `store` the newest facts of each source, `gossip` decides
//! which facts go to whom, `socket` runs it on a UDP socket and `simulation` runs
//! many of them in memory to find their cost. `frame` holds what hosts say over
//! TCP, `link` is one authenticated connection, `client` starts exchanges and
//! `server` serves them.

pub mod client;
pub mod frame;
pub mod gossip;
pub mod link;
pub mod server;
pub mod simulation;
pub mod socket;
pub mod store;
pub mod wire;

use xxhash_rust::xxh3::xxh3_64;

/// Rank of `candidate` for `key`; the highest ranks own the key.
///
/// Each host computes the same ranks, and a change of one candidate moves only
/// the keys that it owned or now owns.
pub fn rendezvous_rank(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}
