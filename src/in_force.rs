//! The configuration in force, shared by the threads of one host.

use std::sync::{
    Arc,
    PoisonError, //
};

use crossbeam::sync::ShardedLock;

use crate::{
    auth::CallerKeys,
    intent::{
        Change,
        Intents, //
    },
    rollout::{
        self,
        ChangeSet, //
    },
    types::Revision, //
};

/// One revision with what is derived from it.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub intents: Arc<Intents>,
    /// Callers by key.
    pub keys: CallerKeys,
}

#[derive(Debug, Default)]
struct Content {
    replica: rollout::InForce,
    current: Option<Arc<InForce>>,
}

/// The newest revision; it only ever goes up.
#[derive(Debug, Clone, Default)]
pub struct InForceCell(Arc<ShardedLock<Content>>);

impl InForceCell {
    /// No configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest revision, if there is one.
    pub fn get(&self) -> Option<Arc<InForce>> {
        self.read(|content| content.current.clone())
    }

    /// The number of the newest revision; 0 without a configuration.
    pub fn revision(&self) -> Revision {
        self.read(|content| content.replica.revision())
    }

    /// What a host with `revision` needs to get here.
    pub fn changes_since(&self, revision: Revision) -> ChangeSet {
        self.read(|content| content.replica.changes_since(revision))
    }

    /// The last changes that came in one by one, newest first.
    pub fn history(&self) -> Vec<Change> {
        self.read(|content| content.replica.history())
    }

    /// Takes over what is newer; returns the configuration if there is a new one.
    ///
    /// A gap leaves the changes before it in force; the rest comes with the next
    /// set that starts at the present revision.
    pub fn apply(&self, set: ChangeSet) -> Option<Arc<Intents>> {
        let mut content = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let before = content.replica.revision();
        if let Err(gap) = content.replica.apply(set) {
            tracing::warn!(%gap, "changes were passed over");
        }
        if content.replica.revision() <= before {
            return None;
        }
        let intents = content.replica.intents();
        let keys = CallerKeys::new(&intents);
        content.current = Some(Arc::new(InForce {
            intents: Arc::clone(&intents),
            keys,
        }));
        Some(intents)
    }

    fn read<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Content) -> T,
    {
        read(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}
