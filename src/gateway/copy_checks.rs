//! Up to when this host's copy of the store is known to be complete.
//!
//! What the copy does not contain may not exist, or only not have arrived: a watch that is
//! silent looks the same from behind a cut. A conclusion from what is absent therefore holds
//! up to the moment at which the newest answer of the store was asked for. Where that is not
//! enough, the host asks the store for what the copy lacks.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use crossbeam::channel::{
    Receiver,
    Sender, //
};
use thiserror::Error;

use super::{
    era::{
        EraTracker,
        EraWentBack, //
    },
    store_replica::{
        ApplyOutcome,
        ReplicaPage,
        StoreReplica, //
    },
};
use crate::{
    platform::store::{
        StoreClient,
        StoreError, //
    },
    store_position::{
        StoreEra,
        StorePosition,
        StoreRevision, //
    },
};

/// Longest wait for the answer to a check: two round trips between regions and one packet
/// that is sent again.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// Longest time for which a request waits for a check: one may be in progress that was asked for
/// before the request came, and covers nothing for it.
pub const WAIT_LIMIT: Duration = ANSWER_LIMIT.saturating_mul(2);
/// Time after a check without an answer in which no request waits for the next one.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);
/// Shortest wait of a watch.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Why changes could not be read from the store.
#[derive(Debug, Error)]
pub enum ReadChangesError {
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The answer is of an era that has ended.
    #[error(transparent)]
    Era(#[from] EraWentBack),
}

/// Changes that the store has after a position.
#[derive(Debug)]
pub enum Changes {
    /// The changes.
    Page {
        /// Changes, complete up to the revision of the newest one.
        page: ReplicaPage,
        /// The store names no revision beyond that.
        is_complete: bool,
    },
    /// The store is in another era, so its revisions are not comparable.
    OtherEra(StoreEra),
}

/// Reads the changes after `known`; waits up to `wait` for the first one.
///
/// While the store drops its history it may name a revision without the changes up to it, so
/// only the changes themselves advance the revision.
///
/// # Errors
///
/// Fails if the call fails, or if the answer is of an era that has ended.
pub fn read_changes(
    client: &StoreClient,
    era: &mut EraTracker,
    known: StorePosition,
    wait: Duration,
) -> Result<Changes, ReadChangesError> {
    let answer = client.watch("", known.revision, wait)?;
    let stated = era.observe(&answer.era)?;
    if stated != known.era {
        return Ok(Changes::OtherEra(stated));
    }
    if answer.value.unreadable > 0 {
        tracing::debug!(
            changes = answer.value.unreadable,
            "changes of the store cannot be read and are passed over"
        );
    }
    let changes = answer.value.changes;
    let newest = changes.iter().map(|change| change.revision).max();
    let revision: StoreRevision = newest.unwrap_or(known.revision).max(known.revision);
    let page = ReplicaPage {
        changes,
        revision,
        era: stated,
        is_complete: false,
    };
    Ok(Changes::Page {
        page,
        is_complete: answer.value.revision <= revision,
    })
}

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyCheck {
    /// When the store was asked.
    pub asked_at: Instant,
    /// The copy contains all changes from before then.
    pub is_complete: bool,
}

/// Answers the checks that the reactor asks for, until it ends.
pub fn check_copy(address: SocketAddr, replica: &StoreReplica, questions: &Receiver<Instant>) {
    let client = StoreClient::new(address, ANSWER_LIMIT);
    let mut era = EraTracker::new();
    while let Ok(asked_at) = questions.recv() {
        let known = replica.position();
        let is_complete = match read_changes(&client, &mut era, known, NO_WAIT) {
            Ok(Changes::Page { page, is_complete }) => {
                let outcome = replica.apply(page, Instant::now());
                is_complete && outcome == ApplyOutcome::Applied
            }
            Ok(Changes::OtherEra(stated)) => {
                tracing::info!(known = %known.era, %stated, "copy of the store is of another era; all items have to be read");
                false
            }
            Err(error) => {
                tracing::info!(%error, "could not check whether the copy of the store is complete");
                false
            }
        };
        replica.report_check(CopyCheck {
            asked_at,
            is_complete,
        });
    }
}

/// What the reactor knows of its copy, and the check that is in progress.
#[derive(Debug, Default)]
pub struct CopyChecks {
    questions: Option<Sender<Instant>>,
    complete_until: Option<Instant>,
    /// When the store was asked in the check in progress.
    asked_at: Option<Instant>,
    /// When a check failed, if the store has not answered since.
    failed_at: Option<Instant>,
}

impl CopyChecks {
    /// Sets the channel of the thread that asks the store.
    pub fn set_questions(&mut self, questions: Sender<Instant>) {
        self.questions = Some(questions);
    }

    /// Returns the moment up to which the copy contains all changes; none if the store has not
    /// answered yet.
    pub fn complete_until(&self) -> Option<Instant> {
        self.complete_until
    }

    /// Returns whether the copy contains all changes from before `at`.
    pub fn covers(&self, at: Instant) -> bool {
        self.complete_until.is_some_and(|until| at <= until)
    }

    /// Returns whether a check failed a moment ago and the store has not answered since.
    pub fn has_failed(&self, now: Instant) -> bool {
        self.failed_at
            .is_some_and(|failed_at| now < failed_at + FAILURE_MEMORY)
    }

    /// Asks the store for what the copy lacks, unless a check is in progress; returns false if
    /// there is no thread for it.
    pub fn begin(&mut self, now: Instant) -> bool {
        let Some(questions) = &self.questions else {
            return false;
        };
        if self.asked_at.is_none() && questions.try_send(now).is_ok() {
            self.asked_at = Some(now);
        }
        true
    }

    /// Applies the result of a check, or an answer of the store to another call.
    pub fn record(&mut self, check: CopyCheck, now: Instant) {
        if self.asked_at == Some(check.asked_at) {
            self.asked_at = None;
        }
        if check.is_complete {
            self.complete_until = self.complete_until.max(Some(check.asked_at));
            self.failed_at = None;
        } else {
            self.failed_at = Some(now);
        }
    }
}
