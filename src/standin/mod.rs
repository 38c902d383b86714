//! Small stand-ins of the systems around the gateway, for tests and the demo.

pub mod platform;
