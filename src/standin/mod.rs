//! Small in-process stand-ins for the systems around the gateway.

pub mod answer;
pub mod engine;
pub mod listener;
pub mod model;
pub mod service;
pub mod wire;
