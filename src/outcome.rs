//! What is known about whether a request ran.
//!
//! A caller that is told `not_run` may safely repeat its request, so that word
//! must never be guessed. [`NotRun`] has no public constructor: it comes only
//! from an [`Unsent`] request, and sending a request consumes its `Unsent`.
//! Everything else is [`RunState::Unknown`] or [`RunState::Partial`].

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A request of which no byte has left this host.
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

impl Unsent {
    /// Marks a request that this host has just read from its caller.
    pub fn new() -> Self {
        Self(())
    }

    /// Gives up the request, which therefore did not run.
    pub fn give_up(self) -> NotRun {
        NotRun(())
    }

    /// Gives up the claim: from here on, the request may have run.
    pub fn mark_sent(self) -> Sent {
        Sent(())
    }
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

/// A request of which at least one byte may have left this host.
#[derive(Debug)]
#[must_use]
pub struct Sent(());

impl Sent {
    /// Accepts the word of the one component that executes the request that it
    /// refused it before executing anything.
    ///
    /// Only two sources qualify: a `503` of an endpoint whose engine rejects
    /// before it queues, and a `not_run` of an authenticated peer host.
    pub fn refused_by_executor(self) -> Unsent {
        Unsent(())
    }
}

/// Proof that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun(());

/// Whether any byte of the request has left this host so far.
#[derive(Debug)]
pub enum Claim {
    /// None has.
    Unsent(Unsent),
    /// Some may have.
    Sent(Sent),
    /// The final answer has been given.
    Settled,
}

impl Claim {
    /// Leaves [`Claim::Settled`] behind.
    pub fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Settled)
    }

    /// Records that bytes leave now.
    pub fn mark_sent(&mut self) {
        *self = match self.take() {
            Self::Unsent(unsent) => Self::Sent(unsent.mark_sent()),
            other => other,
        };
    }

    /// Takes the word of the executor that it did not run the request.
    ///
    /// See [`Sent::refused_by_executor`]; without an earlier attempt that may
    /// have run, the request is unsent again.
    pub fn refused_by_executor(&mut self) {
        *self = match self.take() {
            Self::Sent(sent) => Self::Unsent(sent.refused_by_executor()),
            other => other,
        };
    }

    /// What the caller is told.
    pub fn into_state(self, has_delivered: bool) -> RunState {
        match self {
            _ if has_delivered => RunState::Partial,
            Self::Unsent(unsent) => RunState::NotRun(unsent.give_up()),
            Self::Sent(_) | Self::Settled => RunState::Unknown,
        }
    }
}

/// What a caller is told about a request that has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown,
    /// The request ran and the caller holds part of its answer.
    Partial,
}

impl RunState {
    /// The form that is sent to callers and peers.
    pub fn word(self) -> RunStateWord {
        match self {
            Self::NotRun(_) => RunStateWord::NotRun,
            Self::Unknown => RunStateWord::Unknown,
            Self::Partial => RunStateWord::Partial,
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.word().fmt(f)
    }
}

/// A run state as it is written on the wire, without the proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStateWord {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and the caller holds part of its answer.
    Partial,
}

impl fmt::Display for RunStateWord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        })
    }
}
