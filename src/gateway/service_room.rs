//! Room of a region for streams: the pauses between their events, and free engine memory.
//!
//! Regions tell each other beside the time to a first event, so that a request is not forwarded to
//! where its stream would pause for too long or be preempted.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::gap_goal::{
    GapGoal,
    Pauses, //
};

/// Room for the streams of one service in a region, from the view of one of the region's hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// The service.
    pub service: CompactString,
    /// Mean over the endpoints of the pause between two events that few exceed, in milliseconds.
    pub pause_ms: u32,
    /// Memory of all endpoints that is not needed until the running requests end, in tokens.
    pub free_tokens: u64,
    /// The largest part of it at one endpoint.
    pub largest_free_tokens: u64,
}

/// Room of the sender's region; sent to other regions with the beacons for them, if routes set
/// goals for pauses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRoom {
    /// The region.
    pub region: CompactString,
    /// Its room by service.
    pub services: Vec<ServiceRoom>,
}

impl ServiceRoom {
    /// Returns whether a request that needs this memory finds room.
    pub fn fits(&self, goal: GapGoal, needed_tokens: u64) -> bool {
        goal.is_kept(self.pauses())
            && self.free_tokens >= needed_tokens
            && self.largest_free_tokens >= needed_tokens
    }

    /// Returns the pauses as those of one endpoint.
    pub fn pauses(&self) -> Pauses {
        let pause_ms = f64::from(self.pause_ms);
        Pauses {
            mean_ms: pause_ms,
            long_ms: pause_ms,
        }
    }
}
