//! Host to host: gossip over UDP and exchanges over TCP.
//!
//! Both are authenticated under one cluster key. `wire` holds the key and the
//! datagram format, `gossip` spreads what hosts know of each other.

pub mod wire;
