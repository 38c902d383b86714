//! Small stand-ins of the systems around the gateway, for tests and the demo.
//! Small in-process stand-ins for the systems around the gateway.

pub mod answer;
pub mod engine;
pub mod listener;
pub mod metadata_store;
pub mod model;
pub mod platform;
pub mod scripted;
pub mod service;
pub mod testbed;
pub mod wire;
