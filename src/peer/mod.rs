//! Communication between hosts: gossip over UDP, request and response exchanges
//! over TCP.
//!
//! Both are authenticated with one cluster key. `wire` defines the key and the
//! datagram format, `store` keeps the newest record of each host, endpoint and
//! region, `gossip` decides which records are sent to which hosts, `socket` runs
//! it on a UDP socket and `simulation` runs many instances in memory to measure
//! their cost. `frame` defines the messages over TCP, `link` is one authenticated
//! connection, `client` starts exchanges and `server` serves them.

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

/// Rank of `candidate` for `key` in rendezvous hashing; the highest ranks own the
/// key.
///
/// Each host computes the same ranks. Adding or removing one candidate moves only
/// the keys that it owns.
pub fn rendezvous_rank(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}
