//! The regions that may see a request, computed once.
//!
//! [`AllowedRegions::for_request`] runs when a request arrives. Every later
//! stage takes its regions from the result and never from the intent, which may
//! have changed since.

use serde::{
    Deserialize,
    Serialize, //
};

use super::event::Origin;
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

    /// The regions that may see a request of the caller with this intent.
    ///
    /// A forwarded request may go only where both this host and the one that
    /// forwarded it allow it, since either may have the older intent.
    pub fn for_request(intent: &CallerIntent, origin: &Origin) -> Self {
        let allowed = Self::new(intent);
        match origin {
            Origin::Caller => allowed,
            Origin::Host { allowed: other, .. } => allowed.intersect(other),
        }
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
