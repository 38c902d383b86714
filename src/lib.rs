//! cardamombridge: a multi-region inference gateway.
//!
//! Every entry host runs the same process. `docs/design.md` describes the
//! modules, the state and its owners, the messages, and what happens when each
//! part fails.

pub mod burn;
pub mod cli;
pub mod decision;
pub mod http;
pub mod intent;
pub mod logs;
pub mod metrics;
pub mod outcome;
pub mod peer;
pub mod poller;
pub mod types;
