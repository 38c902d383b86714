//! The refusal that a caller receives when a ticketed call gets no response
//! from an endpoint.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use super::table::IssueError;
use crate::{
    outcome::{
        NotRun,
        RunState,
        Unsent, //
    },
    types::Millis, //
};

/// Retry time for a call that is in progress.
pub const IN_PROGRESS_RETRY_MS: Millis = Millis(1_000);
/// Retry time if the holder cannot be reached; an unreachable host gets no
/// forwarded requests for at least this long.
pub const UNREACHABLE_RETRY_MS: Millis = Millis(2_000);
/// Retry time while a table is being handed over to the successor.
pub const LEAVING_RETRY_MS: Millis = Millis(3_000);

/// Why a call can never run under a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClosedReason {
    /// The caller cancelled it before it started; `voided` in responses.
    #[serde(rename = "voided")]
    Cancelled,
    /// It expired before it started.
    Expired,
    /// Its host gave up the call before a byte was sent.
    GivenUp,
}

impl fmt::Display for ClosedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "voided",
            Self::Expired => "expired",
            Self::GivenUp => "given_up",
        })
    }
}

/// Final state of a ticket whose call did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// Why the ticket was closed.
    pub reason: ClosedReason,
    /// Proof that the call did not run.
    pub not_run: NotRun,
}

impl Closed {
    /// Closes the ticket that `unsent` belongs to.
    pub(super) fn new(reason: ClosedReason, unsent: Unsent) -> Self {
        Self {
            reason,
            not_run: unsent.give_up(),
        }
    }
}

/// Why a ticketed call gets no response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketRefusalReason {
    /// The call needs a ticket and has none.
    TicketRequired(NotRun),
    /// The call needs a ticket, has none, and none can be issued.
    CannotIssue(IssueError, NotRun),
    /// The call of the ticket never ran and never will.
    Closed(Closed),
    /// The call has started and has not ended.
    InProgress,
    /// The ticket belongs to a call with another method, path or body.
    OtherCall,
    /// The call ran and its response is not kept, or the ticket cannot be
    /// cancelled.
    AlreadyFinished,
    /// It is not known whether the call ran.
    Unknown,
    /// The table starts no calls because its host is leaving the cluster.
    Leaving,
    /// The table has no room for one more response.
    ResponsesFull,
    /// The holder of the ticket cannot be reached from this host.
    Unreachable,
}

/// A refusal of a ticketed call with its retry time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketRefusal {
    /// Reason of the refusal.
    pub reason: TicketRefusalReason,
    /// Time after which a repeat with the same ticket can get another response,
    /// or, with [`TicketRefusalReason::CannotIssue`], after which a ticket may
    /// be issued. `None` if a repeat always gets this response.
    pub retry_after_ms: Option<Millis>,
}

impl TicketRefusal {
    /// Returns a refusal that is final.
    pub fn new(reason: TicketRefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// Sets the retry time.
    pub fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Refuses a call without a ticket; the response carries a new one.
    pub fn ticket_required(request: Unsent) -> Self {
        Self::new(TicketRefusalReason::TicketRequired(request.give_up()))
    }

    /// Refuses a call without a ticket when the table cannot issue one.
    pub fn cannot_issue(request: Unsent, error: IssueError) -> Self {
        let reason = TicketRefusalReason::CannotIssue(error, request.give_up());
        Self {
            reason,
            retry_after_ms: error.retry_after_ms(),
        }
    }

    /// Refuses a call whose holder did not respond, whether or not bytes were
    /// sent.
    pub fn unreachable() -> Self {
        Self::new(TicketRefusalReason::Unreachable).with_retry_after(UNREACHABLE_RETRY_MS)
    }

    pub(super) fn in_progress() -> Self {
        Self::new(TicketRefusalReason::InProgress).with_retry_after(IN_PROGRESS_RETRY_MS)
    }

    pub(super) fn leaving() -> Self {
        Self::new(TicketRefusalReason::Leaving).with_retry_after(LEAVING_RETRY_MS)
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self.reason {
            TicketRefusalReason::TicketRequired(_) => 428,
            TicketRefusalReason::CannotIssue(IssueError::OutsideResidency, _) => 421,
            TicketRefusalReason::CannotIssue(..)
            | TicketRefusalReason::Leaving
            | TicketRefusalReason::ResponsesFull => 503,
            TicketRefusalReason::Closed(_) => 410,
            TicketRefusalReason::InProgress
            | TicketRefusalReason::OtherCall
            | TicketRefusalReason::AlreadyFinished
            | TicketRefusalReason::Unknown => 409,
            TicketRefusalReason::Unreachable => 502,
        }
    }

    /// Returns the run state that is reported to the caller.
    pub fn run_state(&self) -> RunState {
        match self.reason {
            TicketRefusalReason::TicketRequired(not_run)
            | TicketRefusalReason::CannotIssue(_, not_run)
            | TicketRefusalReason::Closed(Closed { not_run, .. }) => RunState::NotRun(not_run),
            TicketRefusalReason::InProgress
            | TicketRefusalReason::OtherCall
            | TicketRefusalReason::AlreadyFinished
            | TicketRefusalReason::Unknown
            | TicketRefusalReason::Leaving
            | TicketRefusalReason::ResponsesFull
            | TicketRefusalReason::Unreachable => RunState::Unknown,
        }
    }

    /// Returns the error code for the body of the response.
    pub fn code(&self) -> &'static str {
        match self.reason {
            TicketRefusalReason::TicketRequired(_) => "ticket_required",
            TicketRefusalReason::CannotIssue(error, _) => error.code(),
            TicketRefusalReason::Closed(closed) => match closed.reason {
                ClosedReason::Cancelled => "ticket_voided",
                ClosedReason::Expired => "ticket_expired",
                ClosedReason::GivenUp => "ticket_given_up",
            },
            TicketRefusalReason::InProgress => "ticket_in_progress",
            TicketRefusalReason::OtherCall => "ticket_of_another_call",
            TicketRefusalReason::AlreadyFinished => "ticket_already_finished",
            TicketRefusalReason::Unknown => "ticket_state_unknown",
            TicketRefusalReason::Leaving => "ticket_host_leaving",
            TicketRefusalReason::ResponsesFull => "ticket_answers_full",
            TicketRefusalReason::Unreachable => "ticket_host_unreachable",
        }
    }

    /// Returns the value of the `Retry-After` field in whole seconds, rounded
    /// up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms
            .map(|span_ms| span_ms.0.div_ceil(1_000).max(1))
    }
}
