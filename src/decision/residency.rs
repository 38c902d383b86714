//! The regions that may see a request, computed once.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    intent::CallerIntent,
    types::RegionId, //
};

/// Regions that may see one request and its data.
///
/// Later stages choose only from this set. It can shrink but never grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(Vec<RegionId>);

impl AllowedRegions {
    /// The regions that a caller's intent allows.
    pub fn new(intent: &CallerIntent) -> Self {
        Self(intent.regions.clone())
    }

    /// The regions that are in both sets.
    pub fn intersect(&self, other: &Self) -> Self {
        let common = self.0.iter().filter(|region| other.contains(region));
        Self(common.cloned().collect())
    }

    /// Whether `region` may see the request.
    pub fn contains(&self, region: &RegionId) -> bool {
        self.0.contains(region)
    }

    /// The allowed regions in the order of the intent.
    pub fn iter(&self) -> std::slice::Iter<'_, RegionId> {
        self.0.iter()
    }
}
