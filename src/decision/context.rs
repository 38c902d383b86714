//! The read-only inputs of every choice.

use super::{
    policy::Policy,
    predict::Predictor,
    view::{
        ForwardHost,
        HostState,
        View, //
    }, //
};
use crate::types::{
    Millis,
    RegionId, //
};

/// The state of the host at one instant.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Current time.
    pub now_ms: Millis,
    /// This host's region.
    pub region: &'a RegionId,
    /// Hosts, endpoints and other regions.
    pub view: &'a View,
    /// Predicted run times.
    pub predictor: &'a Predictor,
    /// Parameters of the decisions.
    pub policy: &'a Policy,
}

impl<'a> Context<'a> {
    /// Number of hosts that share the work of this region, at least one.
    pub fn host_count(&self) -> usize {
        self.view.host_count(self.now_ms, self.region, self.policy)
    }

    /// Hosts of this region that accept new requests.
    pub fn ready_hosts(&self) -> impl Iterator<Item = &'a HostState> {
        self.view.ready_hosts(self.now_ms, self.region, self.policy)
    }

    /// Hosts of another region that accept forwarded requests.
    pub fn forward_hosts(&self, region: &RegionId) -> Vec<&'a ForwardHost> {
        self.view.forward_hosts(self.now_ms, region, self.policy)
    }
}
