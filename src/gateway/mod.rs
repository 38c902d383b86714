//! The gateway for HTTP requests of the users' platform.
//!
//! A host accepts requests, finds their route in the operators' configuration,
//! and sends each to an endpoint of its own region or, once, to a host of
//! another region. The decisions ([`admission`], [`fleet`], [`retry_budget`],
//! [`hosts`]) open no socket and read no clock. [`reactor`] carries them out.
//! Names of the platform stand only in [`crate::platform`].

pub mod admission;
pub mod answer;
pub mod body;
pub mod configuration;
pub mod connection;
pub mod endpoint;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follower;
pub mod head;
pub mod hosts;
pub mod load_updates;
pub mod peer_changes;
pub mod reactor;
pub mod registration;
pub mod request;
pub mod retry_budget;
mod serve_answer;
mod serve_caller;
mod serve_ending;
mod serve_endpoint;
mod serve_exchange;
mod serve_sending;
pub mod settings;
pub mod start;
mod state_updates;
pub mod store_replica;
pub mod telemetry;
