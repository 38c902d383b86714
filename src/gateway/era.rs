//! The era of the store that its answers state.
//!
//! An answer without a usable era is taken to be of the known one: a store that does
//! not state its era does not return from copies either.

use compact_str::CompactString;
use thiserror::Error;

use crate::{
    platform::store::StatedEra,
    store_position::StoreEra, //
};

/// An answer of an era that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("store states era {stated}, expected {known} or a later one; its answer is ignored")]
pub struct EraWentBack {
    /// Latest era known.
    pub known: StoreEra,
    /// Era of the answer.
    pub stated: StoreEra,
}

/// Latest era of the store that one of its clients knows.
#[derive(Debug, Default)]
pub struct EraTracker {
    known: StoreEra,
    /// Last text that was reported as unusable; empty for an answer without an era.
    reported: Option<CompactString>,
}

impl EraTracker {
    /// Returns a tracker that knows no era.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the era of an answer.
    ///
    /// # Errors
    ///
    /// Fails if the era is earlier than that of a previous answer.
    pub fn observe(&mut self, stated: &StatedEra) -> Result<StoreEra, EraWentBack> {
        match stated {
            StatedEra::Era(era) if *era < self.known => {
                let error = EraWentBack {
                    known: self.known,
                    stated: *era,
                };
                self.report(&format!("{era}"), &error.to_string());
                return Err(error);
            }
            StatedEra::Era(era) => {
                self.known = *era;
                self.reported = None;
            }
            StatedEra::Missing => self.report("", "store states no era"),
            StatedEra::Invalid(text) => self.report(text, "store states an era that is no number"),
        }
        Ok(self.known)
    }

    /// Logs an unusable era, once until it changes.
    fn report(&mut self, text: &str, problem: &str) {
        if self.reported.as_deref() != Some(text) {
            tracing::error!(stated = text, known = %self.known, problem, "unusable era of the store");
            self.reported = Some(text.into());
        }
    }
}
