//! How a host learns of streams of which it has not been told.
//!
//! Hosts report the origin of a stream once, to the hosts that they know at that moment. A host
//! that starts therefore fetches all origins from another host, and again once the others know
//! it: what they reported in between may have reached the host that it asked too late, and did
//! not reach itself. A single origin that it still lacks, because a packet was lost, it asks
//! several hosts for when a caller takes the stream up.

use std::net::SocketAddr;

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    Sender, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    peer_changes::{
        PeerChangesError,
        fetch_from_host, //
    },
    store_replica::{
        Update,
        UpdateSender, //
    },
    stream_origins::{
        AttemptHash,
        OriginGroup, //
    }, //
};

/// Path of the request for all origins on a host's peer address.
pub const ORIGINS_PATH: &str = "/bridge/origins";
/// Pauses after a fetch until the next one: others know this host once its first beacon has
/// arrived, and if that was lost, after one pause between watches and one beacon of the longest
/// interval.
const FETCH_PAUSES_MS: [u64; 2] = [500, 2_500];
/// Most hosts that are asked one after the other until one has all origins.
const MAX_ASKED: usize = 8;
/// Longest time for which a request waits for the answers of other hosts: two round trips between
/// regions.
const LOOKUP_LIMIT_MS: u64 = 400;
/// Time after which a question without an answer is sent again: a round trip between regions.
const LOOKUP_REPEAT_MS: u64 = 150;

/// All origins that a host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginPage {
    /// The host has itself asked others since it started.
    pub is_complete: bool,
    /// The streams.
    pub groups: Vec<OriginGroup>,
}

/// Question for the origins of streams that callers take up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// Attempts that began the streams.
    pub attempts: Vec<AttemptHash>,
}

/// Part of the answer to a question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Name of the sender.
    pub host: CompactString,
    /// Streams of one version that the sender knows.
    pub known: Option<OriginGroup>,
    /// Attempts of which the sender does not know that they began a stream.
    pub unknown: Vec<AttemptHash>,
}

/// Result of a fetch of all origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedOrigins {
    /// The host that was asked.
    pub peer: SocketAddr,
    /// Its answer; none if there was no valid one.
    pub page: Option<OriginPage>,
}

/// Fetches origins from the hosts whose addresses arrive through `requests`, until the reactor
/// ends.
pub fn fetch_origins(updates: &UpdateSender, requests: &Receiver<SocketAddr>) {
    while let Ok(peer) = requests.recv() {
        let page = match fetch_page(peer) {
            Ok(page) => Some(page),
            Err(error) => {
                tracing::info!(%peer, %error, "could not fetch the origins of streams from a host");
                None
            }
        };
        if !updates.send(Update::Origins(FetchedOrigins { peer, page })) {
            return;
        }
    }
}

fn fetch_page(peer: SocketAddr) -> Result<OriginPage, PeerChangesError> {
    let bytes = fetch_from_host(peer, ORIGINS_PATH)?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Fetches of a host after its start.
#[derive(Debug, Default)]
pub struct OriginCatchUp {
    requests: Option<Sender<SocketAddr>>,
    finished_count: usize,
    next_ms: u64,
    /// Hosts that were asked since the latest fetch that has ended.
    asked: Vec<SocketAddr>,
    /// Hosts that have answered an earlier fetch; another one may know more.
    answered: Vec<SocketAddr>,
    is_in_progress: bool,
}

impl OriginCatchUp {
    /// Sets the channel of the thread that fetches.
    pub fn set_requests(&mut self, requests: Sender<SocketAddr>) {
        self.requests = Some(requests);
    }

    /// Returns whether this host knows what the others knew when it started.
    pub fn is_complete(&self) -> bool {
        self.finished_count > 0
    }

    /// Returns whether a host has to be asked now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.finished_count <= FETCH_PAUSES_MS.len()
            && !self.is_in_progress
            && now_ms >= self.next_ms
    }

    /// Returns whether a host may be asked that has not been.
    pub fn may_ask(&self, peer: SocketAddr) -> bool {
        self.asked.len() < MAX_ASKED && !self.asked.contains(&peer)
    }

    /// Returns whether a host has answered an earlier fetch.
    pub fn has_answered(&self, peer: SocketAddr) -> bool {
        self.answered.contains(&peer)
    }

    /// Asks a host.
    pub fn ask(&mut self, peer: SocketAddr) {
        self.asked.push(peer);
        let requests = self.requests.as_ref();
        self.is_in_progress = requests.is_some_and(|requests| requests.try_send(peer).is_ok());
    }

    /// Records the answer of a host.
    pub fn record_answer(&mut self, has_all: bool, now_ms: u64) {
        self.is_in_progress = false;
        if has_all {
            self.answered.extend(self.asked.last());
            self.finish(now_ms);
        }
    }

    /// Ends a fetch: a host has answered, or no other can be asked.
    pub fn finish(&mut self, now_ms: u64) {
        let pause_ms = FETCH_PAUSES_MS.get(self.finished_count);
        self.next_ms = now_ms + pause_ms.copied().unwrap_or(0);
        self.finished_count += 1;
        self.asked.clear();
    }
}

/// A question for the origin of one stream.
#[derive(Debug, Clone)]
pub struct OriginLookup {
    /// Attempt that began the stream; none if the caller did not name it.
    attempt: Option<AttemptHash>,
    ends_ms: u64,
    next_ms: u64,
    /// Names of the hosts that have not answered; none before they are asked.
    awaited: Option<Vec<CompactString>>,
}

impl OriginLookup {
    /// Returns a question that no host has been asked yet.
    pub fn new(attempt: Option<AttemptHash>, now_ms: u64) -> Self {
        Self {
            attempt,
            ends_ms: now_ms + LOOKUP_LIMIT_MS,
            next_ms: now_ms,
            awaited: None,
        }
    }

    /// Returns whether hosts have to be chosen.
    pub fn is_new(&self) -> bool {
        self.awaited.is_none()
    }

    /// Sets the hosts that are asked.
    pub fn set_hosts(&mut self, names: Vec<CompactString>) {
        self.awaited = Some(names);
    }

    /// Returns the attempt and the hosts that have to be asked for it now.
    pub fn take_due(&mut self, now_ms: u64) -> Option<(AttemptHash, &[CompactString])> {
        let awaited = self.awaited.as_deref().filter(|_| now_ms >= self.next_ms)?;
        self.next_ms = now_ms + LOOKUP_REPEAT_MS;
        Some((self.attempt?, awaited))
    }

    /// Records that a host does not know the origins of streams that these attempts began.
    pub fn record_unknown(&mut self, attempts: &[AttemptHash], host: &str) {
        let is_answered = self.attempt.is_some_and(|own| attempts.contains(&own));
        if let Some(awaited) = self.awaited.as_mut().filter(|_| is_answered) {
            awaited.retain(|name| name != host);
        }
    }

    /// Returns whether no further answer is awaited.
    pub fn is_over(&self, now_ms: u64) -> bool {
        let is_answered = self.awaited.as_ref().is_some_and(Vec::is_empty);
        self.attempt.is_none() || is_answered || now_ms >= self.ends_ms
    }
}
