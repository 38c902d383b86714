//! Reads the endpoint list from another host of the region.
//!
//! A host that starts while the platform cannot be reached would otherwise know
//! no endpoint, although its neighbours still serve.

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
    outcome::Unsent,
    peer::{
        client::{
            PeerClient,
            StartError, //
        },
        frame::Frame,
        link::LinkError, //
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
    /// The other host could not be used.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The request could not be sent.
    #[error(transparent)]
    Start(#[from] StartError),
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
    let neighbours = decider.query(neighbours).unwrap_or_default();
    let mut result = Err(PeerListError::NoHost);
    for neighbour in &neighbours {
        result = fetch_from(neighbour, peers);
        if matches!(&result, Ok(list) if !list.is_empty()) {
            break;
        }
    }
    result
}

fn neighbours(gateway: &Gateway) -> Vec<HostState> {
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

fn fetch_from(
    neighbour: &HostState,
    peers: &PeerClient,
) -> Result<Vec<EndpointInfo>, PeerListError> {
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let heartbeat = &neighbour.heartbeat;
    let ready = peers.prepare(Some(&heartbeat.host), heartbeat.peer_address, deadline)?;
    let mut exchange = ready.start(Unsent::new(), &Frame::Endpoints, &[], deadline)?;
    let answer = exchange.collect(MAX_LIST_BYTES, deadline)?;
    if answer.frame != Frame::EndpointList {
        return Err(PeerListError::NoList);
    }
    Ok(postcard::from_bytes(&answer.bytes)?)
}
