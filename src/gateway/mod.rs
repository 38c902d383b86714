//! Gateway for the HTTP requests of the platform's callers.
//!
//! A host accepts requests, looks up their route in the operators'
//! configuration, and sends each to an endpoint of its own region or, once, to a
//! host of another region. The decision modules ([`admission`], [`fleet`],
//! [`retry_budget`], [`hosts`]) do no I/O and read no clock; [`reactor`] carries
//! out their decisions. Names that the platform defines occur only in
//! [`crate::platform`].

pub mod account;
pub mod admission;
pub mod allotment;
pub mod allotment_exchange;
pub mod allotment_state;
pub mod answer_lengths;
pub mod answer_record;
pub mod answer_times;
pub mod body;
pub mod bound;
pub mod buffer_budget;
pub mod commands;
pub mod configuration;
pub mod connection;
pub mod copy_checks;
pub mod crash_records;
pub mod endpoint;
pub mod endpoint_limit;
pub mod endpoint_reach;
pub mod endpoint_start;
pub mod endpoint_table;
pub mod era;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follower;
pub mod gap_goal;
pub mod head;
pub mod hosts;
pub mod known_state;
pub mod load_updates;
pub mod origin_exchange;
pub mod peer_changes;
pub mod permit_exchange;
pub mod permits;
pub mod prefill_mix;
pub mod reactor;
pub mod registration;
mod replica_content;
pub mod replica_entry;
pub mod request;
pub mod request_rate;
pub mod request_sizes;
pub mod response;
pub mod retry_budget;
pub mod route_history;
pub mod route_table;
pub mod sent_requests;
pub mod serve_accounts;
pub mod serve_allotments;
mod serve_caller;
mod serve_completion;
pub mod serve_crashes;
mod serve_dispatch;
mod serve_health;
pub mod serve_limits;
mod serve_origins;
mod serve_placement;
mod serve_reach;
mod serve_response;
mod serve_shutdown;
mod serve_stall;
pub mod serve_starts;
mod serve_streams;
mod serve_upstream;
pub mod service_room;
pub mod settings;
pub mod software_version;
pub mod spread;
pub mod start;
mod state_updates;
pub mod stated_slowness;
pub mod store_replica;
pub mod stored_verdicts;
pub mod stored_versions;
pub mod stream_origins;
pub mod stream_pace;
pub mod telemetry;
