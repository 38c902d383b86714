//! HTTP/1.1 over blocking sockets, parsed by `httparse`.
//!
//! `oxhttp` buffers a response body in blocks of 16 KiB, cannot stop its server
//! and does not tell whether a byte of a request was sent. The caller interface
//! and the calls to endpoints need all three, so they use this module; every
//! other HTTP exchange goes through `oxhttp`.

pub mod client;
pub mod connection;
pub mod message;
pub mod server;
