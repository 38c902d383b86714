//! HTTP/1.1 over blocking sockets, with `httparse` as the parser.
//!
//! `oxhttp` buffers a response body in blocks of 16 KiB, cannot stop its server
//! and does not report whether any byte of a request was sent. The caller
//! interface and the requests to endpoints need unbuffered streaming, graceful
//! shutdown and that report, so they use this module; all other HTTP traffic
//! uses `oxhttp`.

pub mod client;
pub mod connection;
pub mod message;
pub mod server;
