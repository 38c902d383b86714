//! Datagrams between hosts: format, authentication and replay protection.
//!
//! A datagram is a version byte, a `postcard` body and a 16-byte truncated
//! HMAC-SHA256 over both under the cluster key. The tag is checked before the
//! body is decoded, so only bytes written by a holder of the key are decoded.
//!
//! A sender numbers the datagrams of one instance (one process lifetime) from 1 and
//! adds a timestamp of its clock to each. Incarnation numbers are random, so the
//! timestamps order the instances of one host. A receiver keeps a window of
//! sequence numbers for each host, twice as long as the largest accepted age of a
//! timestamp. A replayed datagram is therefore either in the window or too old, and
//! is refused in both cases.

use std::{
    collections::HashMap,
    fmt, //
};

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{
    decision::view::{
        EndpointReport,
        Heartbeat,
        RegionSummary, //
    },
    types::{
        HostId,
        Incarnation,
        Millis,
        Revision, //
    }, //
};

/// Version of the datagram format.
pub const WIRE_VERSION: u8 = 1;
/// Largest datagram; fits the smallest common path MTU with tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of a truncated authentication tag.
pub const TAG_BYTES: usize = 16;
/// Largest accepted difference between a timestamp and the local clock.
pub const MAX_CLOCK_SKEW_MS: Millis = Millis(300_000);
/// How long the replay window of a host is kept after its last datagram.
const REPLAY_WINDOW_TTL_MS: Millis = Millis(2 * MAX_CLOCK_SKEW_MS.0);
/// Maximum number of replay windows, one for each host; above the 3,700 hosts that
/// the system is designed for.
pub const MAX_REPLAY_WINDOWS: usize = 8_192;
/// How far behind the highest sequence number a datagram may be.
const REPLAY_WINDOW_SEQUENCES: u64 = 128;

type HmacSha256 = Hmac<Sha256>;

/// A truncated HMAC-SHA256.
pub type Tag = [u8; TAG_BYTES];

/// Why a datagram was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {bytes} bytes is too long: expected at most {MAX_DATAGRAM_BYTES}")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The first byte names another version.
    #[error("datagram version {version} is not supported: expected {WIRE_VERSION}")]
    BadVersion {
        /// The version byte.
        version: u8,
    },
    /// The tag does not match; the sender uses another key or bytes were altered.
    #[error("datagram tag does not match the cluster key")]
    BadTag,
    /// The datagram is too short, or authentic with an invalid body.
    #[error("datagram body is malformed")]
    Malformed,
    /// The sequence number was received before or is older than the window.
    #[error("datagram {sequence} of host {sender} is a replay or too far behind")]
    Replayed {
        /// The host that wrote it.
        sender: HostId,
        /// Its sequence number.
        sequence: u64,
    },
    /// A datagram of a newer instance of the host was received before.
    #[error("datagram comes from a previous instance of host {sender}, incarnation {incarnation}")]
    OldIncarnation {
        /// The host that wrote it.
        sender: HostId,
        /// Incarnation of the previous instance.
        incarnation: Incarnation,
    },
    /// The timestamp is too far from the local clock.
    #[error(
        "datagram of host {sender} has timestamp {sent_ms}: expected within {MAX_CLOCK_SKEW_MS} of the local clock"
    )]
    ClockSkew {
        /// The host that wrote it.
        sender: HostId,
        /// Its timestamp.
        sent_ms: Millis,
    },
}

/// The secret that all hosts of one cluster share.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(redacted)")
    }
}

impl ClusterKey {
    /// Derives the key from a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Derives a subkey for one purpose, bound to `parts`.
    pub fn derive(&self, purpose: &str, parts: &[&[u8]]) -> Self {
        Self(self.mac(&length_prefixed(purpose, parts)))
    }

    /// Returns the truncated tag of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let full = self.mac(parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of the concatenated parts; compares in constant time.
    pub fn is_valid_tag(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.tag(parts)[..].ct_eq(tag).into()
    }

    fn mac<P>(&self, parts: &[P]) -> [u8; 32]
    where
        P: AsRef<[u8]>,
    {
        let mut mac = HmacSha256::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(part.as_ref());
        }
        mac.finalize().into_bytes().into()
    }
}

/// Prefixes each part with its length, so that no two lists of parts collide.
fn length_prefixed(purpose: &str, parts: &[&[u8]]) -> Vec<Vec<u8>> {
    let all = std::iter::once(purpose.as_bytes()).chain(parts.iter().copied());
    all.map(|part| {
        let mut bytes = (part.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(part);
        bytes
    })
    .collect()
}

/// A record with all its fields, as hosts relay it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FullRecord {
    /// State that a host reports about itself.
    Heartbeat(Heartbeat),
    /// Load and state of an endpoint.
    Report(EndpointReport),
    /// Capacity and revision of one region.
    Summary(RegionSummary),
}

/// Four-byte hash that identifies a host, endpoint or region in compact records;
/// the receiver needs the full record to resolve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShortId(pub [u8; 4]);

/// Resolution of ages in compact records; ages below 64 ticks encode as one byte.
pub const TICK_MS: Millis = Millis(100);

/// Rounds an instant down to a tick.
pub fn tick_floor(instant_ms: Millis) -> Millis {
    Millis(instant_ms.0 / TICK_MS.0 * TICK_MS.0)
}

/// Returns how many ticks `instant_ms` lies before `timestamp_ms`; negative if after.
pub fn ticks_behind(timestamp_ms: Millis, instant_ms: Millis) -> i64 {
    let timestamp = timestamp_ms.0 / TICK_MS.0;
    timestamp.wrapping_sub(instant_ms.0 / TICK_MS.0) as i64
}

/// Returns the instant that lies `ticks` before `timestamp_ms`.
pub fn ticks_before(timestamp_ms: Millis, ticks: i64) -> Millis {
    let timestamp = timestamp_ms.0 / TICK_MS.0;
    let tick = timestamp.saturating_add_signed(ticks.saturating_neg());
    Millis(tick.saturating_mul(TICK_MS.0))
}

/// Newest heartbeat of a host, reduced to the fields that change often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// Identifies the host and its instance.
    pub id: ShortId,
    /// Heartbeat sequence, in ticks before the datagram's timestamp.
    pub age_ticks: i64,
    /// Revision in force there, as the difference below the sender's.
    pub revision_lag: i64,
    /// Requests in progress there.
    pub open_requests: u32,
}

/// Newest report of an endpoint, reduced to its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactReport {
    /// Identifies the endpoint and its instance.
    pub id: ShortId,
    /// When it was measured, in ticks before the datagram's timestamp.
    pub age_ticks: i64,
    /// Requests that the endpoint runs.
    pub running: u32,
    /// Requests that are queued in the endpoint.
    pub waiting: u32,
    /// Used share of its KV cache, in thousandths.
    pub cache_permille: u16,
}

/// Newest summary of a region, reduced to the fields that change often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactSummary {
    /// Identifies the region with its targets, slots and hosts.
    pub id: ShortId,
    /// When the summary was made, in ticks before the datagram's timestamp.
    pub age_ticks: i64,
    /// Lowest revision there, as the difference below the sender's own.
    pub revision_lag: i64,
    /// Requests that its endpoints run or queue, in the order of its targets.
    pub busy: Vec<u32>,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DatagramBody {
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// Full records.
    pub full_records: Vec<FullRecord>,
    /// Compact heartbeats of hosts in the sender's region.
    pub heartbeats: Vec<CompactHeartbeat>,
    /// Compact reports of endpoints in the sender's region.
    pub reports: Vec<CompactReport>,
    /// Compact summaries of regions.
    pub summaries: Vec<CompactSummary>,
    /// Short identifiers of the full records that the sender requests.
    pub requested_ids: Vec<ShortId>,
}

/// Sender and time of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// The host that wrote it.
    pub sender: HostId,
    /// Incarnation of its current instance.
    pub incarnation: Incarnation,
    /// Counts the datagrams of this instance from 1.
    pub sequence: u64,
    /// When it was sent, by the sender's clock.
    pub sent_ms: Millis,
}

/// An authenticated datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender and time.
    pub header: DatagramHeader,
    /// Content.
    pub body: DatagramBody,
}

/// Encodes and tags the datagrams of one instance.
#[derive(Debug)]
pub struct DatagramEncoder {
    key: ClusterKey,
    header: DatagramHeader,
}

impl DatagramEncoder {
    /// Creates an encoder that starts at sequence number 1.
    pub fn new(key: &ClusterKey, sender: HostId, incarnation: Incarnation) -> Self {
        Self {
            key: datagram_key(key),
            header: DatagramHeader {
                sender,
                incarnation,
                sequence: 0,
                sent_ms: Millis(0),
            },
        }
    }

    /// Returns the largest size of a body that fits the next datagram.
    pub fn max_body_bytes(&self, now_ms: Millis) -> usize {
        let next = DatagramHeader {
            sequence: self.header.sequence + 1,
            sent_ms: now_ms,
            ..self.header.clone()
        };
        let header_bytes = postcard::to_allocvec(&next).map_or(0, |bytes| bytes.len());
        MAX_DATAGRAM_BYTES - 1 - TAG_BYTES - header_bytes
    }

    /// Encodes and tags one datagram.
    ///
    /// Fails if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&mut self, now_ms: Millis, body: DatagramBody) -> Result<Vec<u8>, WireError> {
        self.header.sequence += 1;
        self.header.sent_ms = now_ms;
        let datagram = Datagram {
            header: self.header.clone(),
            body,
        };
        let bytes = postcard::to_extend(&datagram, vec![WIRE_VERSION]);
        let mut bytes = bytes.map_err(|_| WireError::Malformed)?;
        let tag = self.key.tag(&[&bytes]);
        bytes.extend_from_slice(&tag);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong { bytes: bytes.len() });
        }
        Ok(bytes)
    }
}

fn datagram_key(key: &ClusterKey) -> ClusterKey {
    key.derive("cardamombridge datagram", &[])
}

/// Numbers of accepted datagrams, and of refused ones by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WireCounts {
    /// Accepted.
    pub accepted: u64,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    pub too_long: u64,
    /// With another format version.
    pub bad_version: u64,
    /// With a tag that does not match.
    pub bad_tag: u64,
    /// Too short, or authentic with an invalid body.
    pub malformed: u64,
    /// Received before, or with a sequence number below the window.
    pub replayed: u64,
    /// From a previous instance of the host.
    pub old_incarnation: u64,
    /// With a timestamp too far from the local clock.
    pub clock_skew: u64,
}

impl WireCounts {
    /// All datagrams, accepted or refused.
    pub fn total(&self) -> u64 {
        self.accepted + self.refused()
    }

    /// Datagrams that were refused for any reason.
    pub fn refused(&self) -> u64 {
        let invalid = self.too_long + self.bad_version + self.bad_tag + self.malformed;
        invalid + self.replayed + self.old_incarnation + self.clock_skew
    }

    fn count(&mut self, result: &Result<Datagram, WireError>) {
        let counter = match result {
            Ok(_) => &mut self.accepted,
            Err(WireError::TooLong { .. }) => &mut self.too_long,
            Err(WireError::BadVersion { .. }) => &mut self.bad_version,
            Err(WireError::BadTag) => &mut self.bad_tag,
            Err(WireError::Malformed) => &mut self.malformed,
            Err(WireError::Replayed { .. }) => &mut self.replayed,
            Err(WireError::OldIncarnation { .. }) => &mut self.old_incarnation,
            Err(WireError::ClockSkew { .. }) => &mut self.clock_skew,
        };
        *counter += 1;
    }
}

/// Sequence numbers received from the newest instance of one host.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest_sequence: u64,
    /// Bit `n` is set if `highest_sequence - n` was received.
    seen_bits: u128,
    newest_sent_ms: Millis,
    last_received_ms: Millis,
}

impl ReplayWindow {
    fn new(header: &DatagramHeader, now_ms: Millis) -> Self {
        Self {
            incarnation: header.incarnation,
            highest_sequence: header.sequence,
            seen_bits: 1,
            newest_sent_ms: header.sent_ms,
            last_received_ms: now_ms,
        }
    }

    /// Records a sequence number; returns false if it was received before or is too
    /// far behind.
    fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest_sequence {
            let ahead = sequence - self.highest_sequence;
            self.seen_bits = match ahead {
                0..REPLAY_WINDOW_SEQUENCES => self.seen_bits << ahead | 1,
                _ => 1,
            };
            self.highest_sequence = sequence;
            return true;
        }
        let behind = self.highest_sequence - sequence;
        if behind >= REPLAY_WINDOW_SEQUENCES {
            return false;
        }
        let bit = 1u128 << behind;
        let is_new = self.seen_bits & bit == 0;
        self.seen_bits |= bit;
        is_new
    }
}

/// Authenticates and decodes datagrams of other hosts.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: ClusterKey,
    own_host: HostId,
    windows: HashMap<HostId, ReplayWindow>,
    max_windows: usize,
    counts: WireCounts,
}

impl DatagramDecoder {
    /// Creates a decoder without replay windows; datagrams that `own_host` sent are
    /// refused.
    pub fn new(key: &ClusterKey, own_host: HostId) -> Self {
        Self {
            key: datagram_key(key),
            own_host,
            windows: HashMap::new(),
            max_windows: MAX_REPLAY_WINDOWS,
            counts: WireCounts::default(),
        }
    }

    /// Sets the maximum number of replay windows.
    pub fn with_max_windows(mut self, max_windows: usize) -> Self {
        self.max_windows = max_windows;
        self
    }

    /// Returns the numbers of accepted and refused datagrams so far.
    pub fn counts(&self) -> WireCounts {
        self.counts
    }

    /// Returns the number of hosts with a replay window.
    pub fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Authenticates, decodes and counts one datagram, and refuses replays.
    pub fn decode(&mut self, now_ms: Millis, bytes: &[u8]) -> Result<Datagram, WireError> {
        let result = self
            .verify_and_decode(bytes)
            .and_then(|datagram| self.check_replay(now_ms, datagram));
        self.counts.count(&result);
        result
    }

    fn verify_and_decode(&self, bytes: &[u8]) -> Result<Datagram, WireError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong { bytes: bytes.len() });
        }
        let (&version, _) = bytes.split_first().ok_or(WireError::Malformed)?;
        if version != WIRE_VERSION {
            return Err(WireError::BadVersion { version });
        }
        let (signed, tag) = bytes
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(WireError::Malformed)?;
        if !self.key.is_valid_tag(&[signed], tag) {
            return Err(WireError::BadTag);
        }
        let body = signed.get(1..).ok_or(WireError::Malformed)?;
        match postcard::take_from_bytes::<Datagram>(body) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(WireError::Malformed),
        }
    }

    fn check_replay(&mut self, now_ms: Millis, datagram: Datagram) -> Result<Datagram, WireError> {
        let header = &datagram.header;
        let sender = || header.sender.clone();
        let skew = Millis(now_ms.0.abs_diff(header.sent_ms.0));
        if skew > MAX_CLOCK_SKEW_MS {
            return Err(WireError::ClockSkew {
                sender: sender(),
                sent_ms: header.sent_ms,
            });
        }
        let replayed = || WireError::Replayed {
            sender: sender(),
            sequence: header.sequence,
        };
        if header.sender == self.own_host {
            return Err(replayed());
        }
        match self.windows.get_mut(&header.sender) {
            Some(window) if window.incarnation == header.incarnation => {
                if !window.accept_sequence(header.sequence) {
                    return Err(replayed());
                }
                window.newest_sent_ms = window.newest_sent_ms.max(header.sent_ms);
                window.last_received_ms = now_ms;
            }
            Some(window) if header.sent_ms <= window.newest_sent_ms => {
                return Err(WireError::OldIncarnation {
                    sender: sender(),
                    incarnation: header.incarnation,
                });
            }
            _ => {
                let window = ReplayWindow::new(header, now_ms);
                self.evict_windows(now_ms, &header.sender);
                self.windows.insert(header.sender.clone(), window);
            }
        }
        Ok(datagram)
    }

    fn evict_windows(&mut self, now_ms: Millis, sender: &HostId) {
        self.windows
            .retain(|_, window| now_ms - window.last_received_ms <= REPLAY_WINDOW_TTL_MS);
        if self.windows.len() < self.max_windows || self.windows.contains_key(sender) {
            return;
        }
        let oldest = self.windows.iter().min_by_key(|(_, w)| w.last_received_ms);
        if let Some(oldest) = oldest.map(|(host, _)| host.clone()) {
            self.windows.remove(&oldest);
        }
    }
}
