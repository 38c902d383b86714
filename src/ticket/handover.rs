//! The table of a leaving host on its way to its successor.

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use super::{
    call::{
        CallDigest,
        KeptAnswer, //
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
/// A bound is needed so that a forwarder which sees the host's next run can
/// tell at some point that no successor will turn up; see
/// [`HANDOVER_SETTLE_MS`](super::route::HANDOVER_SETTLE_MS).
pub const HANDOVER_VALID_MS: Millis = Millis(5_000);

/// Final or resumable state of one ticket in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverState {
    /// Not started; the successor may run it.
    Issued,
    /// Ran to its end; the answer if it is still kept.
    Finished(Option<KeptAnswer>),
    /// Never ran and never will.
    Closed(ClosedReason),
    /// May have run.
    Unknown,
}

/// One ticket in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTicket {
    /// What the ticket says.
    pub body: TicketBody,
    /// The call it is bound to, once one has begun.
    pub digest: Option<CallDigest>,
    /// How far it has come.
    pub state: HandoverState,
}

/// The whole table of one run, addressed to one other run.
///
/// The run that exports it has started its last call; see
/// [`TicketTable::export`](super::table::TicketTable::export). The message that
/// carries it must be authenticated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The run that is leaving.
    pub from: HostInstance,
    /// The one run that may import it.
    pub to: HostInstance,
    /// All runs whose tickets are in here: `from` and those it had imported.
    pub owners: Vec<HostInstance>,
    /// Instant from which it must not be imported.
    pub valid_until_ms: Millis,
    /// The tickets, without those whose caller's data must not reach `to`.
    pub tickets: Vec<HandoverTicket>,
}

/// Why a table cannot be handed over.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HandoverError {
    /// The successor is the leaving run itself.
    #[error("host run {0} cannot hand its tickets over to itself")]
    ToItself(HostInstance),
    /// The table has already been exported to another run.
    #[error("ticket table has already been exported to {0}")]
    AlreadyExported(HostInstance),
    /// No handover has been started.
    #[error("ticket table cannot be exported: expected a started handover")]
    NotLeaving,
}

/// Why a handover is not imported.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ImportError {
    /// It is addressed to another run.
    #[error("handover is addressed to {to}, this is {receiver}")]
    NotAddressed {
        /// Whom it is addressed to.
        to: HostInstance,
        /// The run that refuses it.
        receiver: HostInstance,
    },
    /// The same run's table has been imported before; nothing has changed.
    #[error("handover of {0} has already been imported")]
    AlreadyImported(HostInstance),
    /// It is older than [`HANDOVER_VALID_MS`].
    #[error("handover of {from} was valid until {valid_until_ms}")]
    Late {
        /// The run that exported it.
        from: HostInstance,
        /// When it ceased to be valid.
        valid_until_ms: Millis,
    },
    /// This run has exported its own table.
    #[error("handover of {0} reached a host that has handed over its own tickets")]
    AlreadyExported(HostInstance),
}

/// What an import took over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Imported {
    /// Tickets that are now held here.
    pub accepted: usize,
    /// Tickets for which there was no room; their state is unknown.
    pub dropped: usize,
}
