//! The regions that may see a request, determined once on its arrival.
//!
//! [`AllowedRegions::for_request`] is called when a request arrives. All later
//! stages use the result and never the intent, which may have changed since.

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
    /// Returns the regions that a caller's intent allows.
    pub fn new(intent: &CallerIntent) -> Self {
        Self(intent.regions.clone())
    }

    /// Returns the regions that may see a request of the caller with this intent.
    ///
    /// A forwarded request is limited to the regions that both this host and the
    /// forwarding host allow, since either may have the older intent.
    pub fn for_request(intent: &CallerIntent, origin: &Origin) -> Self {
        let allowed = Self::new(intent);
        match origin {
            Origin::Caller => allowed,
            Origin::Host { allowed: other, .. } => allowed.intersect(other),
        }
    }

    /// Returns the regions that are in both sets.
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
