//! The state of the store that a host knows, as beacons and requests for changes
//! state it.

use super::configuration::ConfigurationVersion;
use crate::store_position::StorePosition;

/// State of the store that a host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownState {
    /// Position of its replica.
    pub position: StorePosition,
    /// Highest version of the configuration that it has seen.
    pub configuration: ConfigurationVersion,
}

impl KnownState {
    /// Returns whether a host that has `other` knows something that this one lacks.
    pub fn lags_behind(&self, other: Self) -> bool {
        other.position > self.position || other.configuration > self.configuration
    }
}
