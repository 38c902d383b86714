//! HTTP request with which a host fetches store changes from another host.

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

use super::store_replica::StoreReplica;
use crate::platform::store::{
    Page,
    StoreRevision, //
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

/// Fetches the changes after `revision` from the host at `peer`.
pub fn fetch_changes(peer: SocketAddr, revision: StoreRevision) -> Result<Page, PeerChangesError> {
    let client = Client::new().with_global_timeout(RESPONSE_TIMEOUT);
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{peer}{CHANGES_PATH}?after={}", revision.0))
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
    Ok(postcard::from_bytes(&bytes)?)
}

/// Encodes the response to the request of [`fetch_changes`] with this query string.
pub fn encode_changes(replica: &StoreReplica, query: &str) -> Result<Vec<u8>, PeerChangesError> {
    let after = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("after="))
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let changes = replica.changes_after(StoreRevision(after));
    Ok(postcard::to_allocvec(&changes)?)
}
