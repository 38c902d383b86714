//! cardamombridge: a multi-region inference gateway.
//!
//! Every entry host runs the same process. `docs/design.md` describes the
//! modules, the state and its owners, the messages, and what happens when each
//! part fails.

pub mod admin;
pub mod admin_client;
pub mod announce;
pub mod auth;
pub mod burn;
pub mod caller;
pub mod capacity;
pub mod catch_up;
pub mod cli;
pub mod clock;
pub mod config;
pub mod cpu_clock;
pub mod decider;
pub mod decision;
pub mod demo;
pub mod experiment;
pub mod fit;
pub mod grant;
pub mod host;
pub mod http;
pub mod in_force;
pub mod ini_file;
pub mod intent;
pub mod intent_file;
pub mod leave;
pub mod load;
pub mod logs;
pub mod metrics;
pub mod openai;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod peer_requests;
pub mod plan;
pub mod platform;
pub mod poller;
pub mod relay;
pub mod rollout;
pub mod serve;
pub mod settings;
pub mod sink;
pub mod spending;
pub mod standin;
pub mod status;
pub mod ticket;
pub mod tickets;
pub mod types;
pub mod upstream;
pub mod watch;
