//! Reads the endpoint list from another host of the region.
//!
//! A host that starts while the platform cannot be reached would otherwise know
//! no endpoint, although the others still serve.

use std::time::{
    Duration,
    Instant, //
};

use thiserror::Error;

use crate::{
    clock,
    decider::DeciderHandle,
    decision::{
        Gateway,
        view::{
            EndpointInfo,
            HostState, //
        }, //
    },
    peer::{
        client::{
            PeerClient,
            PeerRequest,
            PeerRequestError, //
        },
        frame::Frame, //
    },
    types::HostId, //
};

const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Why another host's list could not be read.
#[derive(Debug, Error)]
pub enum PeerListError {
    /// No other host of this region is ready.
    #[error("no other host of this region is ready")]
    NoHost,
    /// The other host did not answer.
    #[error(transparent)]
    Ask(#[from] PeerRequestError),
    /// The answer is not a list.
    #[error("the answer is not a list of endpoints: {0}")]
    Content(#[from] postcard::Error),
    /// The other host answered with another frame.
    #[error("the other host has no list to give")]
    NoList,
}

/// Endpoints that this host may pass on, with what it knows of their leaving.
pub fn known_endpoints(gateway: &Gateway) -> Vec<EndpointInfo> {
    let states = gateway.view().endpoints.values();
    let listed = states.filter(|state| state.unlisted_ms.is_none());
    let infos = listed.map(|state| EndpointInfo {
        is_leaving: state.is_leaving(),
        ..state.info.clone()
    });
    infos.collect()
}

/// Whether this host has read no list yet.
pub fn is_needed(decider: &DeciderHandle) -> bool {
    let is_empty = decider.query(|gateway| gateway.view().endpoints.is_empty());
    is_empty.unwrap_or_default()
}

/// Reads the list of the first host of this region that gives one.
pub fn fetch(
    decider: &DeciderHandle,
    peers: &PeerClient,
) -> Result<Vec<EndpointInfo>, PeerListError> {
    let hosts = decider.query(other_hosts).unwrap_or_default();
    let mut result = Err(PeerListError::NoHost);
    for host in &hosts {
        result = fetch_from(host, peers);
        if matches!(&result, Ok(list) if !list.is_empty()) {
            break;
        }
    }
    result
}

/// The other hosts of this region that are ready.
fn other_hosts(gateway: &Gateway) -> Vec<HostState> {
    let own: &HostId = &gateway.config().host;
    let region = &gateway.config().region;
    let ready = gateway
        .view()
        .ready_hosts(clock::now(), region, gateway.policy());
    ready
        .filter(|state| state.heartbeat.host != *own)
        .cloned()
        .collect()
}

fn fetch_from(host: &HostState, peers: &PeerClient) -> Result<Vec<EndpointInfo>, PeerListError> {
    let answer = peers.request(&PeerRequest {
        host: &host.heartbeat.host,
        address: host.heartbeat.peer_address,
        frame: &Frame::GetEndpoints,
        body: &[],
        max_response_bytes: MAX_LIST_BYTES,
        deadline: Instant::now() + FETCH_TIMEOUT,
    })?;
    if answer.frame != Frame::EndpointList {
        return Err(PeerListError::NoList);
    }
    Ok(postcard::from_bytes(&answer.payload)?)
}
