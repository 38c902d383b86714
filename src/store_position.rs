//! Points in the history of the metadata store.
//!
//! The store may return from an older copy of itself. It then loses what it had
//! acknowledged since, and gives the same revisions out again for other changes. A
//! revision is therefore meaningful only together with its era, which rises each
//! time this happens.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::types::{
    ParseError,
    counter, //
};

counter!(
    /// Era of the store; it rises when the store returns from an older copy.
    StoreEra,
    "store era"
);
counter!(
    /// Revision of the store; within an era it increases with each change.
    StoreRevision,
    "store revision"
);

/// A revision with its era; a later era comes after every revision of an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era.
    pub era: StoreEra,
    /// Revision in this era.
    pub revision: StoreRevision,
}

impl StorePosition {
    /// Returns the position of a revision in an era.
    pub fn new(era: StoreEra, revision: StoreRevision) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = "an era and a revision, separated by '/'";
        let invalid = || ParseError::new("store position", text, expected);
        let (era, revision) = text.split_once('/').ok_or_else(invalid)?;
        Ok(Self::new(era.parse()?, revision.parse()?))
    }
}
