//! The thread that fetches configuration changes from hosts that are ahead.

use std::time::{
    Duration,
    Instant, //
};

use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use thiserror::Error;

use crate::{
    peer::{
        client::{
            PeerClient,
            PeerRequest,
            PeerRequestError, //
        },
        frame::Frame,
        gossip::RevisionSource, //
    },
    rollout::ChangeSet,
    watch::Configuration, //
};

/// Sources that wait; a source that does not fit is announced again.
const RING_SOURCES: usize = 8;
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CHANGES_BYTES: usize = 16 * 1024 * 1024;

/// Why changes could not be fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The other host did not answer.
    #[error(transparent)]
    Ask(#[from] PeerRequestError),
    /// The answer is not a set of changes.
    #[error("the answer is not a set of changes: {0}")]
    Content(#[from] postcard::Error),
    /// The other host answered with another frame.
    #[error("the other host has no changes to give")]
    NoChanges,
}

/// Leads sources to the thread.
#[derive(Debug, Clone)]
pub struct SourceRing(Sender<RevisionSource>);

/// The other end of a [`SourceRing`].
#[derive(Debug)]
pub struct Sources(Receiver<RevisionSource>);

/// A ring for sources.
pub fn ring() -> (SourceRing, Sources) {
    let (sender, receiver) = bounded(RING_SOURCES);
    (SourceRing(sender), Sources(receiver))
}

impl SourceRing {
    /// Notes a host that has a higher revision.
    pub fn note(&self, source: RevisionSource) {
        // The source is announced again with every heartbeat.
        let _ = self.0.try_send(source);
    }
}

/// Fetches changes until the ring is closed.
pub fn run(sources: &Sources, peers: &PeerClient, configuration: &Configuration) {
    for source in &sources.0 {
        if source.revision <= configuration.in_force.revision() {
            continue;
        }
        match fetch(&source, peers, configuration) {
            Ok(set) => configuration.apply(set),
            Err(error) => {
                tracing::debug!(host = %source.host, %error, "could not fetch changes");
            }
        }
    }
}

fn fetch(
    source: &RevisionSource,
    peers: &PeerClient,
    configuration: &Configuration,
) -> Result<ChangeSet, FetchError> {
    let request = Frame::GetChanges {
        revision: configuration.in_force.revision(),
    };
    let answer = peers.request(&PeerRequest {
        host: &source.host,
        address: source.peer_address,
        frame: &request,
        body: &[],
        max_response_bytes: MAX_CHANGES_BYTES,
        deadline: Instant::now() + FETCH_TIMEOUT,
    })?;
    if answer.frame != Frame::Changes {
        return Err(FetchError::NoChanges);
    }
    Ok(postcard::from_bytes(&answer.payload)?)
}
