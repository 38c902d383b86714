//! Datagrams between hosts: format, authentication and replay protection.
//!
//! A datagram is a version byte, a `postcard` body and a 16-byte truncated
//! HMAC-SHA256 over both under the cluster key. The tag is checked before the
//! body is decoded, so only bytes written by a holder of the key reach the
//! decoder.
//!
//! A sender numbers the datagrams of one run from 1 and stamps each with its
//! clock. Incarnations are random, so the stamps order the runs of one host.
//! A receiver remembers a window of sequence numbers for each host and keeps it
//! twice as long as the oldest accepted stamp. A datagram is therefore either
//! remembered or too old, and a replay is refused in both cases.

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
/// Longest datagram; fits the smallest common path MTU with tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of a truncated tag.
pub const TAG_BYTES: usize = 16;
/// Largest accepted difference between a stamp and the local clock.
pub const MAX_CLOCK_SKEW_MS: Millis = Millis(300_000);
/// How long the replay window of a silent host is kept.
const REPLAY_WINDOW_TTL_MS: Millis = Millis(2 * MAX_CLOCK_SKEW_MS.0);
/// Most hosts with a replay window; above the 3,700 hosts of the design size.
pub const MAX_REPLAY_WINDOWS: usize = 8_192;
/// How far behind the newest sequence number a datagram may arrive.
const REPLAY_WINDOW_SEQUENCES: u64 = 128;

type HmacSha256 = Hmac<Sha256>;

/// A truncated HMAC-SHA256.
pub type Tag = [u8; TAG_BYTES];

/// Why a datagram was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram is longer than any that hosts send.
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
    /// The tag does not match; the sender has another key or bytes changed.
    #[error("datagram tag does not match the cluster key")]
    BadTag,
    /// The bytes are authentic but not a valid body.
    #[error("datagram body is malformed")]
    Malformed,
    /// The sequence number was seen before or is older than the window.
    #[error("datagram {sequence} of host {sender} is a replay or too far behind")]
    Replayed {
        /// The host that wrote it.
        sender: HostId,
        /// Its sequence number.
        sequence: u64,
    },
    /// A newer run of the host has been heard.
    #[error("datagram comes from the former run {incarnation} of host {sender}")]
    OldIncarnation {
        /// The host that wrote it.
        sender: HostId,
        /// Its former run.
        incarnation: Incarnation,
    },
    /// The stamp is too far from the local clock.
    #[error("datagram of host {sender} is stamped {sent_ms}, too far from the local clock")]
    ClockSkew {
        /// The host that wrote it.
        sender: HostId,
        /// Its stamp.
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

    /// A key for one purpose, bound to `parts`.
    pub fn derive(&self, purpose: &str, parts: &[&[u8]]) -> Self {
        Self(self.mac(&length_prefixed(purpose, parts)))
    }

    /// The truncated tag of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let full = self.mac(parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Compares a tag with the expected one in constant time.
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

/// A fact that hosts pass on in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FullRecord {
    /// What a host reports about itself.
    Heartbeat(Heartbeat),
    /// Report of an endpoint.
    Report(EndpointReport),
    /// Capacity and revision of one region.
    Summary(RegionSummary),
}

/// Short name of a host or endpoint run that the receiver knows in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShortId(pub [u8; 4]);

/// Unit of the short instants in a datagram; 64 of them fit one byte.
pub const TICK_MS: Millis = Millis(100);

/// The last tick at or before an instant.
pub fn tick_floor(instant_ms: Millis) -> Millis {
    Millis(instant_ms.0 / TICK_MS.0 * TICK_MS.0)
}

/// How many ticks `instant_ms` lies below `timestamp_ms`.
pub fn ticks_behind(timestamp_ms: Millis, instant_ms: Millis) -> i64 {
    let timestamp = timestamp_ms.0 / TICK_MS.0;
    timestamp.wrapping_sub(instant_ms.0 / TICK_MS.0) as i64
}

/// The instant that lies `ticks` below `timestamp_ms`.
pub fn ticks_before(timestamp_ms: Millis, ticks: i64) -> Millis {
    let timestamp = timestamp_ms.0 / TICK_MS.0;
    let tick = timestamp.saturating_add_signed(ticks.saturating_neg());
    Millis(tick.saturating_mul(TICK_MS.0))
}

/// Newest short heartbeat of a host, without its unchanged description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// The host's run.
    pub id: ShortId,
    /// Heartbeat sequence, in ticks below the datagram's stamp.
    pub age_ticks: i64,
    /// Revision in force there, as the distance below the sender's.
    pub revision_lag: i64,
    /// Requests in progress there.
    pub open_requests: u32,
}

/// Newest load of an endpoint, without its unchanged description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactReport {
    /// The endpoint's run.
    pub id: ShortId,
    /// When it was measured, in ticks below the datagram's stamp.
    pub age_ticks: i64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Used share of its cache, in thousandths.
    pub cache_permille: u16,
}

/// Newest state of a region, without its unchanged description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactSummary {
    /// The region with its targets, slots and hosts.
    pub id: ShortId,
    /// When it was made, in ticks below the datagram's stamp.
    pub age_ticks: i64,
    /// Lowest revision there, as the distance below the sender's own.
    pub revision_lag: i64,
    /// Requests that its endpoints run or hold, in the order of its targets.
    pub busy: Vec<u32>,
}

/// What one datagram says.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DatagramBody {
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// Facts in full.
    pub full_records: Vec<FullRecord>,
    /// Short heartbeats of hosts in the sender's region.
    pub heartbeats: Vec<CompactHeartbeat>,
    /// Loads of endpoints in the sender's region.
    pub reports: Vec<CompactReport>,
    /// States of regions.
    pub summaries: Vec<CompactSummary>,
    /// Short names that the sender asks the receiver to spell out.
    pub requested_ids: Vec<ShortId>,
}

/// Who wrote a datagram, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// The host.
    pub sender: HostId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Counts the datagrams of this run from 1.
    pub sequence: u64,
    /// The sender's clock.
    pub sent_ms: Millis,
}

/// An authenticated datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who wrote it.
    pub header: DatagramHeader,
    /// What it says.
    pub body: DatagramBody,
}

/// Writes the datagrams of one run.
#[derive(Debug)]
pub struct DatagramEncoder {
    key: ClusterKey,
    header: DatagramHeader,
}

impl DatagramEncoder {
    /// Starts at sequence number 1.
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

    /// Room for a body in one datagram.
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

/// How many datagrams were accepted, or refused for which reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WireCounts {
    /// Accepted.
    pub accepted: u64,
    /// Longer than any that hosts send.
    pub too_long: u64,
    /// Of another version.
    pub bad_version: u64,
    /// With a tag that does not match.
    pub bad_tag: u64,
    /// Authentic, but with an invalid body.
    pub malformed: u64,
    /// Seen before or too far behind.
    pub replayed: u64,
    /// From a former run of the host.
    pub old_incarnation: u64,
    /// Stamped too far from the local clock.
    pub clock_skew: u64,
}

impl WireCounts {
    /// All datagrams that were looked at.
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

/// Sequence numbers seen of one host's newest run.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest_sequence: u64,
    /// Bit `n` is set if `highest_sequence - n` was seen.
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

    /// Records a sequence number; false if it was seen or is too far behind.
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

/// Checks and decodes datagrams of other hosts.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: ClusterKey,
    own_host: HostId,
    windows: HashMap<HostId, ReplayWindow>,
    max_windows: usize,
    counts: WireCounts,
}

impl DatagramDecoder {
    /// Has heard nobody yet; datagrams written by `own` are refused.
    pub fn new(key: &ClusterKey, own_host: HostId) -> Self {
        Self {
            key: datagram_key(key),
            own_host,
            windows: HashMap::new(),
            max_windows: MAX_REPLAY_WINDOWS,
            counts: WireCounts::default(),
        }
    }

    /// The same with another bound on remembered hosts.
    pub fn with_max_windows(mut self, max_windows: usize) -> Self {
        self.max_windows = max_windows;
        self
    }

    /// What was accepted and refused so far.
    pub fn counts(&self) -> WireCounts {
        self.counts
    }

    /// Hosts with a replay window.
    pub fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Checks, decodes and counts one datagram.
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
