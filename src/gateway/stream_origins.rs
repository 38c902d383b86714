//! Software versions at which streams began.
//!
//! A caller can take up an interrupted stream at any host, and names the attempt that
//! brought its first event. The stream may continue only at the version that began it,
//! while the host that knew it may be gone. Each host therefore reports the streams that
//! it begins to the hosts of its region and, less often, to one host of each other
//! region, which passes them on there.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::software_version::SoftwareVersion;

/// Time for which the origin of a stream is remembered: the longest time limit of a
/// request that states none.
pub const ORIGIN_LIFETIME_MS: u64 = 30_000;
/// Streams that are remembered; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;
/// Streams that wait to be reported; the oldest are dropped first.
const MAX_PENDING: usize = 512;

/// Hash of an attempt's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptHash(pub u64);

impl AttemptHash {
    /// Returns the hash of an attempt's id.
    pub fn new(attempt: &str) -> Self {
        Self(xxh3_64(attempt.as_bytes()))
    }

    /// Returns the hash of an attempt's id; none if the id is empty.
    pub fn of_stated(attempt: &str) -> Option<Self> {
        (!attempt.is_empty()).then(|| Self::new(attempt))
    }
}

impl fmt::Display for AttemptHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AttemptHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Attempt that brought its first event.
    pub attempt: AttemptHash,
    /// Its service.
    pub service: CompactString,
    /// Software version of the endpoint that sent its first event.
    pub version: SoftwareVersion,
}

#[derive(Debug)]
struct KnownOrigin {
    version: SoftwareVersion,
    recorded_ms: u64,
}

/// Origins of the streams that this host knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<AttemptHash, KnownOrigin>,
    /// Attempts in the order in which they were recorded.
    order: VecDeque<AttemptHash>,
    /// When a stream was last recorded, by service and version.
    recorded_ms: BTreeMap<(CompactString, SoftwareVersion), u64>,
}

impl StreamOrigins {
    /// Returns a record without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the origin of a stream; returns false if it is known.
    pub fn record(&mut self, origin: &StreamOrigin, now_ms: u64) -> bool {
        self.expire(now_ms);
        if self.known.contains_key(&origin.attempt) {
            return false;
        }
        let version = origin.version.clone();
        let key = (origin.service.clone(), version.clone());
        self.recorded_ms.insert(key, now_ms);
        let known = KnownOrigin {
            version,
            recorded_ms: now_ms,
        };
        self.known.insert(origin.attempt, known);
        self.order.push_back(origin.attempt);
        true
    }

    /// Returns the version that began the stream of an attempt.
    pub fn version_of(&self, attempt: &str) -> Option<&SoftwareVersion> {
        let known = self.known.get(&AttemptHash::new(attempt));
        known.map(|known| &known.version)
    }

    /// Returns whether a stream of `service` began at another version than `version`
    /// recently.
    pub fn has_other(&self, service: &str, version: &SoftwareVersion, now_ms: u64) -> bool {
        self.recorded_ms
            .iter()
            .filter(|(_, recorded_ms)| now_ms < **recorded_ms + ORIGIN_LIFETIME_MS)
            .any(|((other_service, other), _)| other_service == service && other != version)
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.order.front() {
            let is_kept = self.order.len() < MAX_ORIGINS
                && self
                    .known
                    .get(oldest)
                    .is_some_and(|known| now_ms < known.recorded_ms + ORIGIN_LIFETIME_MS);
            if is_kept {
                return;
            }
            self.known.remove(oldest);
            self.order.pop_front();
        }
        self.recorded_ms
            .retain(|_, recorded_ms| now_ms < *recorded_ms + ORIGIN_LIFETIME_MS);
    }
}

/// Origins that other hosts have not been told.
#[derive(Debug, Default)]
pub struct PendingOrigins {
    /// Streams that this host began, for its region.
    own: VecDeque<StreamOrigin>,
    /// Streams that began in another region, for this region.
    relayed: VecDeque<StreamOrigin>,
    /// Streams that this host began, for the other regions.
    remote: VecDeque<StreamOrigin>,
}

impl PendingOrigins {
    /// Adds a stream that this host began.
    pub fn add_own(&mut self, origin: StreamOrigin) {
        push(&mut self.own, origin.clone());
        push(&mut self.remote, origin);
    }

    /// Adds a stream that a host of another region reported.
    pub fn add_relayed(&mut self, origin: StreamOrigin) {
        push(&mut self.relayed, origin);
    }

    /// Returns whether this host began streams that its region does not know.
    pub fn has_own(&self) -> bool {
        !self.own.is_empty()
    }

    /// Returns whether this host began streams that the other regions do not know.
    pub fn has_remote(&self) -> bool {
        !self.remote.is_empty()
    }

    /// Takes up to `count` streams for the hosts of this region.
    pub fn take_local(&mut self, count: usize) -> Vec<StreamOrigin> {
        let own_count = count.min(self.own.len());
        let relayed_count = (count - own_count).min(self.relayed.len());
        let own = self.own.drain(..own_count);
        own.chain(self.relayed.drain(..relayed_count)).collect()
    }

    /// Takes up to `count` streams for the other regions.
    pub fn take_remote(&mut self, count: usize) -> Vec<StreamOrigin> {
        let count = count.min(self.remote.len());
        self.remote.drain(..count).collect()
    }
}

fn push(queue: &mut VecDeque<StreamOrigin>, origin: StreamOrigin) {
    if queue.len() >= MAX_PENDING {
        queue.pop_front();
    }
    queue.push_back(origin);
}
