//! cardamombridge: a multi-region inference gateway.
//!
//! Every entry host runs the same process. `docs/design.md` describes the
//! modules, the state and its owners, the messages, and what happens when each
//! part fails.

pub mod admin;
pub mod admin_client;
pub mod cli;
pub mod decision;
pub mod grant;
pub mod http;
pub mod intent;
pub mod intent_file;
pub mod outcome;
pub mod plan;
pub mod platform;
pub mod rollout;
pub mod standin;
pub mod types;
