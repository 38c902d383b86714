//! The call with which a host asks another one for what it knows.

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

/// Path of the call on the address for other hosts.
pub const CHANGES_PATH: &str = "/bridge/news";
/// Longest wait for an answer of a host, a round trip between regions included.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest answer: all items of a large installation.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Why a host did not tell its news.
#[derive(Debug, Error)]
pub enum PeerChangesError {
    /// No complete answer arrived.
    #[error("no answer: {0}")]
    NoResponse(#[from] io::Error),
    /// The host refused.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(#[from] postcard::Error),
}

/// Asks the host at `peer` for changes after `revision`.
pub fn fetch_changes(peer: SocketAddr, revision: StoreRevision) -> Result<Page, PeerChangesError> {
    let client = Client::new().with_global_timeout(RESPONSE_TIMEOUT);
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{peer}{CHANGES_PATH}?after={}", revision.0))
        .body(Body::empty())
        .map_err(io::Error::other)?;
    let answer = client.request(request)?;
    if answer.status().as_u16() != 200 {
        return Err(PeerChangesError::Refused(answer.status().as_u16()));
    }
    let mut bytes = Vec::new();
    answer
        .into_body()
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// The answer to [`fetch_changes`] with this query.
pub fn encode_changes(replica: &StoreReplica, query: &str) -> Result<Vec<u8>, PeerChangesError> {
    let after = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("after="))
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let news = replica.changes_after(StoreRevision(after));
    Ok(postcard::to_allocvec(&news)?)
}
