//! The configuration in force, shared by the threads of one host.

use std::sync::Arc;

use crossbeam::sync::ShardedLock;

use crate::{
    auth::CallerKeys,
    intent::Intents,
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

/// The newest revision; it only ever goes up.
#[derive(Debug, Clone, Default)]
pub struct InForceCell(Arc<ShardedLock<Option<Arc<InForce>>>>);

impl InForceCell {
    /// No configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest revision, if there is one.
    pub fn get(&self) -> Option<Arc<InForce>> {
        match self.0.read() {
            Ok(current) => current.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// The number of the newest revision; 0 without a configuration.
    pub fn revision(&self) -> Revision {
        self.get()
            .map_or(Revision::default(), |current| current.intents.revision)
    }

    /// Puts `intents` in force unless the present revision is as high.
    pub fn raise(&self, intents: Arc<Intents>) -> bool {
        let mut current = match self.0.write() {
            Ok(current) => current,
            Err(poisoned) => poisoned.into_inner(),
        };
        let is_higher = current
            .as_ref()
            .is_none_or(|known| known.intents.revision < intents.revision);
        if is_higher {
            let keys = CallerKeys::new(&intents);
            *current = Some(Arc::new(InForce { intents, keys }));
        }
        is_higher
    }
}
