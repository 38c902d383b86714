//! Software versions at which streams began.
//!
//! A caller can take up an interrupted stream at any host, and names the attempt that
//! brought its first event. The stream may continue only at the version that began it,
//! while the host that knew it may be gone. Each host therefore reports the streams that
//! it begins to the hosts of its region and, less often, to one host of each other
//! region, which passes them on there. A host that was not there, or that missed a report,
//! asks others: see [`super::origin_exchange`].

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

/// A software version of a service.
///
/// Two services may name their versions alike, and what these write does not fit together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: CompactString,
    /// Its version.
    pub version: SoftwareVersion,
}

/// An attempt that began a stream, and how long ago that was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedAttempt {
    /// The attempt.
    pub attempt: AttemptHash,
    /// Time since the first host recorded it.
    pub age_ms: u32,
}

/// Streams that began at the same version of a service, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    /// The service.
    pub service: CompactString,
    /// Its version.
    pub version: SoftwareVersion,
    /// Attempts that brought the first events.
    pub attempts: Vec<AgedAttempt>,
}

#[derive(Debug)]
struct KnownOrigin {
    begun_at: ServiceVersion,
    expires_ms: u64,
}

/// Origins of the streams that this host knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<AttemptHash, KnownOrigin>,
    /// Attempts in the order in which they expire.
    by_expiry: BTreeSet<(u64, AttemptHash)>,
    /// Time until which streams of a version may be taken up.
    used_until_ms: BTreeMap<ServiceVersion, u64>,
}

impl StreamOrigins {
    /// Returns a record without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the origin of a stream; returns false if it is known.
    pub fn record(&mut self, origin: &StreamOrigin, now_ms: u64) -> bool {
        let begun_at = ServiceVersion {
            service: origin.service.clone(),
            version: origin.version.clone(),
        };
        self.record_until(
            origin.attempt,
            begun_at,
            now_ms + ORIGIN_LIFETIME_MS,
            now_ms,
        )
    }

    /// Records streams that another host knows, for the rest of their lifetime; returns the
    /// number of those that were not known.
    pub fn record_group(&mut self, group: &OriginGroup, now_ms: u64) -> usize {
        let mut new_count = 0;
        for aged in &group.attempts {
            let left_ms = ORIGIN_LIFETIME_MS.saturating_sub(u64::from(aged.age_ms));
            let begun_at = ServiceVersion {
                service: group.service.clone(),
                version: group.version.clone(),
            };
            if left_ms > 0 && self.record_until(aged.attempt, begun_at, now_ms + left_ms, now_ms) {
                new_count += 1;
            }
        }
        new_count
    }

    fn record_until(
        &mut self,
        attempt: AttemptHash,
        begun_at: ServiceVersion,
        expires_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.expire(now_ms);
        if self.known.contains_key(&attempt) {
            return false;
        }
        let used_until_ms = self.used_until_ms.entry(begun_at.clone()).or_default();
        *used_until_ms = expires_ms.max(*used_until_ms);
        let known = KnownOrigin {
            begun_at,
            expires_ms,
        };
        self.known.insert(attempt, known);
        self.by_expiry.insert((expires_ms, attempt));
        true
    }

    /// Returns the version that began the stream of an attempt, and its service.
    pub fn begun_at(&self, attempt: &str) -> Option<&ServiceVersion> {
        let known = self.known.get(&AttemptHash::new(attempt));
        known.map(|known| &known.begun_at)
    }

    /// Returns whether a stream of `service` began at another version than `version`
    /// recently.
    pub fn has_other(&self, service: &str, version: &SoftwareVersion, now_ms: u64) -> bool {
        self.used_until_ms
            .iter()
            .filter(|(_, until_ms)| now_ms < **until_ms)
            .any(|(used, _)| used.service == service && used.version != *version)
    }

    /// Returns whether the origin of a stream is known.
    pub fn knows(&self, attempt: AttemptHash, now_ms: u64) -> bool {
        let known = self.known.get(&attempt);
        known.is_some_and(|known| now_ms < known.expires_ms)
    }

    /// Returns all streams, for a host that knows none.
    pub fn groups(&self, now_ms: u64) -> Vec<OriginGroup> {
        group(
            self.known.iter().map(|(attempt, known)| (*attempt, known)),
            now_ms,
        )
    }

    /// Returns those of `attempts` that began streams which this host knows.
    pub fn groups_of(&self, attempts: &[AttemptHash], now_ms: u64) -> Vec<OriginGroup> {
        let known = attempts
            .iter()
            .filter_map(|attempt| Some((*attempt, self.known.get(attempt)?)));
        group(known, now_ms)
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, attempt)) = self.by_expiry.first().copied() {
            if now_ms < expires_ms && self.by_expiry.len() < MAX_ORIGINS {
                break;
            }
            self.known.remove(&attempt);
            self.by_expiry.pop_first();
        }
        self.used_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}

/// Groups streams by the version that began them.
fn group<'a, I>(known: I, now_ms: u64) -> Vec<OriginGroup>
where
    I: Iterator<Item = (AttemptHash, &'a KnownOrigin)>,
{
    let mut groups: BTreeMap<&ServiceVersion, Vec<AgedAttempt>> = BTreeMap::new();
    for (attempt, origin) in known.filter(|(_, origin)| now_ms < origin.expires_ms) {
        let left_ms = origin.expires_ms - now_ms;
        let age_ms = ORIGIN_LIFETIME_MS.saturating_sub(left_ms) as u32;
        let aged = AgedAttempt { attempt, age_ms };
        groups.entry(&origin.begun_at).or_default().push(aged);
    }
    groups
        .into_iter()
        .map(|(begun_at, attempts)| OriginGroup {
            service: begun_at.service.clone(),
            version: begun_at.version.clone(),
            attempts,
        })
        .collect()
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
