//! Tickets for calls that must not be repeated.

pub mod call;
pub mod handover;
pub mod refusal;
pub mod route;
pub mod table;
pub mod token;

use crate::types::Millis;

/// How long a state is kept after its ticket has expired.
///
/// A caller whose connection broke shortly before the expiry can still learn
/// the outcome. After this span every host answers `unknown`.
pub const STATE_RETENTION_MS: Millis = Millis(10 * 60 * 1000);
