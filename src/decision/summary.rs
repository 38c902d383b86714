//! The summary of this region for other regions.

use std::collections::BTreeMap;

use super::{
    context::Context,
    endpoint_choice::mean_load_per_slot,
    view::{
        EndpointState,
        ForwardHost,
        HostState,
        RegionSummary,
        TargetCapacity,
        View, //
    }, //
};
use crate::{
    intent::Intents,
    types::{
        RegionId,
        Revision,
        Target, //
    }, //
};

/// Maximum number of hosts in a summary; more do not fit in a datagram.
pub const MAX_FORWARD_HOSTS: usize = 8;

/// Summarises this host's region from its view.
///
/// Endpoints that serve a version of a model other than the one in force are
/// excluded.
pub fn region_summary(context: &Context<'_>, intents: &Intents) -> RegionSummary {
    let revisions = context.ready_hosts();
    let lowest = revisions.map(|state| state.heartbeat.revision).min();
    RegionSummary {
        region: context.region.clone(),
        made_ms: context.now_ms,
        capacity: capacity(context, intents),
        lowest_revision: lowest.unwrap_or(intents.revision).min(intents.revision),
        hosts: forward_hosts(context),
    }
}

fn capacity(context: &Context<'_>, intents: &Intents) -> Vec<TargetCapacity> {
    let mut by_target: BTreeMap<&Target, Vec<&EndpointState>> = BTreeMap::new();
    for state in context.view.endpoints.values() {
        let is_here = state.info.region == *context.region && state.takes_work();
        if is_here && serves_version(state, intents) {
            by_target.entry(&state.info.target).or_default().push(state);
        }
    }
    by_target
        .into_iter()
        .map(|(target, states)| TargetCapacity {
            target: target.clone(),
            slots: states.iter().map(|state| state.info.slots).sum(),
            busy: busy(context, &states),
        })
        .collect()
}

fn busy(context: &Context<'_>, states: &[&EndpointState]) -> u32 {
    let (now_ms, policy) = (context.now_ms, context.policy);
    let hosts = context.host_count();
    let prior = mean_load_per_slot(states, now_ms, policy);
    let loads = states.iter().map(|state| {
        let slots = f64::from(state.info.slots);
        state.load(now_ms, prior * slots, hosts, policy)
    });
    loads.sum::<f64>().ceil() as u32
}

fn serves_version(state: &EndpointState, intents: &Intents) -> bool {
    match &state.info.target {
        Target::Service(_) => true,
        Target::Model(id) => intents
            .model(id)
            .is_some_and(|model| model.version == state.info.version),
    }
}

fn forward_hosts(context: &Context<'_>) -> Vec<ForwardHost> {
    let mut ready: Vec<&HostState> = context.ready_hosts().collect();
    ready.sort_by_key(|state| (state.is_overloaded, state.heartbeat.open_requests));
    let named = ready.into_iter().take(MAX_FORWARD_HOSTS);
    named
        .map(|state| ForwardHost {
            host: state.heartbeat.host.clone(),
            peer_address: state.heartbeat.peer_address,
            caller_address: state.heartbeat.caller_address,
        })
        .collect()
}

/// Returns the lowest revision in force in a region, according to its newest
/// summary.
pub fn known_revision(view: &View, region: &RegionId) -> Option<Revision> {
    let state = view.summaries.get(region)?;
    Some(state.summary.lowest_revision)
}
