//! What a host shows its operators, read from the decision state.

use std::collections::BTreeMap;

use crate::{
    admin::{
        HostStatus,
        RegionState,
        Status,
        TargetStatus, //
    },
    decision::Gateway,
    types::{
        Millis,
        RegionId,
        Revision,
        Target, //
    }, //
};

/// The lowest revision in each region, as far as it is known here.
pub fn regions(gateway: &Gateway, now_ms: Millis) -> Vec<RegionState> {
    let own = &gateway.config().region;
    let mut states = vec![RegionState {
        region: own.clone(),
        lowest_revision: Some(own_lowest(gateway, now_ms)),
    }];
    for link in &gateway.config().links {
        let summary = gateway
            .view()
            .fresh_summary(now_ms, &link.region, gateway.policy());
        states.push(RegionState {
            region: link.region.clone(),
            lowest_revision: summary.map(|summary| summary.lowest_revision),
        });
    }
    states
}

/// The lowest revision at a live host of this region.
fn own_lowest(gateway: &Gateway, now_ms: Millis) -> Revision {
    let own = gateway.intents().map(|intents| intents.revision);
    let region = &gateway.config().region;
    let hosts = gateway
        .view()
        .ready_hosts(now_ms, region, gateway.policy())
        .map(|state| state.heartbeat.revision);
    hosts.chain(own).min().unwrap_or_default()
}

/// State of a host for `status`.
pub fn status(gateway: &Gateway, now_ms: Millis) -> Status {
    let config = gateway.config();
    let own = gateway.view().hosts.get(&config.host);
    let hosts = gateway.view().hosts.values().map(|state| HostStatus {
        host: state.heartbeat.host.clone(),
        region: state.heartbeat.region.clone(),
        revision: state.heartbeat.revision,
        is_leaving: state.is_leaving,
        heard_ago_ms: now_ms - state.received_ms,
    });
    Status {
        host: config.host.clone(),
        incarnation: config.incarnation,
        region: config.region.clone(),
        revision: gateway
            .intents()
            .map_or(Revision::default(), |intents| intents.revision),
        is_ready: gateway.intents().is_some(),
        is_leaving: own.is_some_and(|state| state.is_leaving),
        open_requests: u32::try_from(gateway.open_requests()).unwrap_or(u32::MAX),
        platform_ago_ms: None,
        regions: regions(gateway, now_ms),
        hosts: hosts.collect(),
        targets: targets(gateway),
    }
}

fn targets(gateway: &Gateway) -> Vec<TargetStatus> {
    let mut by_target: BTreeMap<(Target, RegionId), TargetStatus> = BTreeMap::new();
    for state in gateway.view().endpoints.values() {
        let info = &state.info;
        let key = (info.target.clone(), info.region.clone());
        let entry = by_target.entry(key).or_insert_with(|| TargetStatus {
            target: info.target.clone(),
            region: info.region.clone(),
            live: 0,
            leaving: 0,
            slots: 0,
            busy: 0,
        });
        if !state.takes_work() {
            entry.leaving += 1;
            continue;
        }
        entry.live += 1;
        entry.slots += info.slots;
        let report = state.report.as_ref();
        entry.busy += report.map_or(0, |report| report.running + report.waiting);
    }
    by_target.into_values().collect()
}
