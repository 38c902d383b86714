//! The message with which a leaving host hands its table to its successor.

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use super::{
    call::{
        CallDigest,
        KeptResponse, //
    },
    refusal::ClosedReason,
    token::{
        HostInstance,
        TicketBody, //
    }, //
};
use crate::types::Millis;

/// How long after the export a successor may still import the table.
///
/// A limit is needed so that a forwarding host that sees the next instance of
/// the leaving host can conclude at some point that no successor will announce
/// itself; see [`HANDOVER_SETTLE_MS`](super::route::HANDOVER_SETTLE_MS).
pub const HANDOVER_VALID_MS: Millis = Millis(5_000);

/// Final or resumable state of one ticket in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverState {
    /// Not started; the successor may run the call.
    Issued,
    /// Completed; the response if it is still kept.
    Finished(Option<KeptResponse>),
    /// Never ran and never will.
    Closed(ClosedReason),
    /// May have run.
    Unknown,
}

/// One ticket in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTicket {
    /// Contents of the ticket.
    pub body: TicketBody,
    /// Digest of the call that it is bound to, once one has started.
    pub digest: Option<CallDigest>,
    /// State of the ticket.
    pub state: HandoverState,
}

/// The complete table of one host instance, addressed to one other instance.
///
/// The instance that exports it starts no further calls; see
/// [`TicketTable::export`](super::table::TicketTable::export). The message that
/// carries it must be authenticated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The instance that is leaving.
    pub from: HostInstance,
    /// The only instance that may import it.
    pub to: HostInstance,
    /// Owners of the tickets: `from` and the instances whose tickets it had
    /// imported.
    pub owners: Vec<HostInstance>,
    /// Instant from which it must no longer be imported.
    pub valid_until_ms: Millis,
    /// The tickets, without those whose caller's data must not reach `to`.
    pub tickets: Vec<HandoverTicket>,
}

/// Why a table cannot be handed over.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HandoverError {
    /// The successor is the leaving instance itself.
    #[error("host instance {0} cannot hand over its tickets to itself")]
    ToItself(HostInstance),
    /// The table has already been exported to another instance.
    #[error("ticket table has already been exported to {0}")]
    AlreadyExported(HostInstance),
    /// No handover has been started.
    #[error("ticket table cannot be exported: no handover has been started")]
    NotLeaving,
}

/// Why a handover is not imported.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ImportError {
    /// It is addressed to another instance.
    #[error("handover is addressed to {to}, but was received by {receiver}")]
    NotAddressed {
        /// The instance that it is addressed to.
        to: HostInstance,
        /// The instance that refuses it.
        receiver: HostInstance,
    },
    /// The table of the same instance has already been imported; nothing
    /// changes.
    #[error("handover of {0} has already been imported")]
    AlreadyImported(HostInstance),
    /// It is older than [`HANDOVER_VALID_MS`].
    #[error("handover of {from} arrived too late: it was valid until {valid_until_ms}")]
    Late {
        /// The instance that exported it.
        from: HostInstance,
        /// Instant from which it is no longer valid.
        valid_until_ms: Millis,
    },
    /// This instance has exported its own table.
    #[error("handover of {0} was received after this host handed over its own tickets")]
    AlreadyExported(HostInstance),
}

/// Counts of an import.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Imported {
    /// Tickets that were added to the table.
    pub accepted: usize,
    /// Tickets for which there was no room or whose id was in use; their state
    /// is unknown.
    pub dropped: usize,
}
