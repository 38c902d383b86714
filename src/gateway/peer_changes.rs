//! HTTP requests with which a host fetches what another host knows, above all store changes.

use std::{
    io::{
        self,
        Read, //
    },
    net::SocketAddr,
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{
        Body,
        Method,
        Request, //
    }, //
};
use thiserror::Error;

use super::{
    known_state::KnownState,
    store_replica::{
        ReplicaPage,
        ReplicaReader, //
    }, //
};

/// Path of the request on a host's peer address.
pub const CHANGES_PATH: &str = "/bridge/news";
/// Longest wait for a host's response, including a round trip between regions.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest response: all items of a large installation.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Why changes could not be fetched from a host, or not be encoded.
#[derive(Debug, Error)]
pub enum PeerChangesError {
    /// No complete response arrived.
    #[error("no complete response: {0}")]
    NoResponse(#[from] io::Error),
    /// The host refused the request.
    #[error("request refused with status {0}, expected 200")]
    Refused(u16),
    /// The changes could not be decoded or encoded.
    #[error("changes could not be decoded or encoded: {0}")]
    Codec(#[from] postcard::Error),
}

/// Fetches from the host at `peer` what a host that has `known` is missing.
///
/// # Errors
///
/// Fails if no complete and valid response arrives in time.
pub fn fetch_changes(peer: SocketAddr, known: KnownState) -> Result<ReplicaPage, PeerChangesError> {
    let target = format!("{CHANGES_PATH}?{}", encode_query(known));
    let bytes = fetch_from_host(peer, &target)?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Fetches the body of the response to a path and query at the host at `peer`.
///
/// # Errors
///
/// Fails if no complete response with status 200 arrives in time.
pub(super) fn fetch_from_host(peer: SocketAddr, target: &str) -> Result<Vec<u8>, PeerChangesError> {
    let client = Client::new().with_global_timeout(RESPONSE_TIMEOUT);
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{peer}{target}"))
        .body(Body::empty())
        .map_err(io::Error::other)?;
    let response = client.request(request)?;
    if response.status().as_u16() != 200 {
        return Err(PeerChangesError::Refused(response.status().as_u16()));
    }
    let mut bytes = Vec::new();
    response
        .into_body()
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn encode_query(known: KnownState) -> String {
    let KnownState {
        position,
        configuration,
    } = known;
    format!(
        "era={}&after={}&configuration={configuration}",
        position.era, position.revision
    )
}

/// Decodes a query; a number that is missing or malformed counts as 0, so that the
/// response contains more than needed.
fn decode_query(query: &str) -> KnownState {
    let mut known = KnownState::default();
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("era", value)) => known.position.era = value.parse().unwrap_or_default(),
            Some(("after", value)) => known.position.revision = value.parse().unwrap_or_default(),
            Some(("configuration", value)) => {
                known.configuration = value.parse().unwrap_or_default()
            }
            _ => {}
        }
    }
    known
}

/// Encodes the response to the request of [`fetch_changes`] with this query string; none while the
/// replica is in use, so that the host has to ask again.
///
/// # Errors
///
/// Fails if the changes cannot be serialised.
pub fn encode_changes(
    replica: &ReplicaReader,
    query: &str,
) -> Result<Option<Vec<u8>>, PeerChangesError> {
    let page = replica.changes_for(decode_query(query));
    Ok(page.as_ref().map(postcard::to_allocvec).transpose()?)
}
