//! Translation between the users' platform and the gateway.
//!
//! Everything here reads or writes names and shapes that the platform defines:
//! HTTP headers, items of its store and the calls of the store. Each shape is
//! decoded once, into types of [`crate::gateway`]. No decision is made here.

pub mod headers;
pub mod items;
pub mod store;
