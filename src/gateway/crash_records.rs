//! Crashes of endpoints and the prompt parts that may have caused them.
//!
//! A part is blamed for a crash if a request with it was in progress and had not begun.
//! A request that begins clears its parts. Hosts exchange what they know as
//! [`CrashReport`]s, whose order and repetition do not matter.

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

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::PromptPart;

/// Crashes after which requests with a part are refused.
const CRASH_LIMIT: u32 = 3;
/// Time within which crashes count as one: endpoints also end together.
const EPISODE_MS: i64 = 500;
/// Time for which a part is refused after the crash that reached the limit; doubles with
/// each further one.
const REFUSAL_MS: i64 = 60_000;
/// Largest number of times that it doubles, up to about an hour.
const MAX_DOUBLINGS: u32 = 6;
/// Time for which crashes below the limit, and clearances, are remembered.
const SUSPICION_LIFETIME_MS: i64 = 60_000;
/// Time for which the crashes of a part that reached the limit are remembered.
const VERDICT_LIFETIME_MS: i64 = 2 * (REFUSAL_MS << MAX_DOUBLINGS);
/// Remaining lifetime below which a crash is no longer reported, so that hosts do not
/// remind each other of it for ever.
const REPORT_MARGIN_MS: i64 = 5_000;
/// Time after a sound request in which a part is not blamed.
const SOUND_LIFETIME_MS: i64 = 10_000;
/// Parts with crashes that are remembered; those with the oldest are dropped first.
const MAX_PARTS: usize = 256;
/// Crashes that are remembered of one part.
const MAX_CRASHES: usize = 16;
/// Parts with sound requests that are remembered.
const MAX_SOUND_PARTS: usize = 8_192;
/// Reports that wait to be sent; the oldest are dropped first.
const MAX_PENDING: usize = 512;

/// Id of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// Id of the crash of one start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the crash of an endpoint that started at this Unix time.
    pub fn new(endpoint: &str, started_ms: u64) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_bytes(), started_ms))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CrashId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A crash for which a part is blamed, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The part.
    pub part: PartId,
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
    /// A request with the part has begun since.
    pub is_cleared: bool,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Time of the crash, negative if it was before the start of this host.
    at_ms: i64,
    is_cleared: bool,
}

#[derive(Debug, Default)]
struct PartRecord {
    crashes: BTreeMap<CrashId, Crash>,
}

impl PartRecord {
    fn blamed(&self) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    /// Returns the number of crashes that were not at the same time, and the time of the
    /// last.
    fn episodes(&self) -> (u32, i64) {
        let mut times: Vec<i64> = self.blamed().map(|(_, crash)| crash.at_ms).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut counted_ms = i64::MIN / 2;
        for at_ms in &times {
            if at_ms - counted_ms >= EPISODE_MS {
                count += 1;
                counted_ms = *at_ms;
            }
        }
        (count, times.last().copied().unwrap_or(i64::MIN / 2))
    }

    fn is_refused(&self, now_ms: i64) -> bool {
        let (count, last_ms) = self.episodes();
        let doublings = count.saturating_sub(CRASH_LIMIT).min(MAX_DOUBLINGS);
        count >= CRASH_LIMIT && now_ms < last_ms + (REFUSAL_MS << doublings)
    }

    fn lifetime_ms(&self) -> i64 {
        match self.episodes().0 >= CRASH_LIMIT {
            true => VERDICT_LIFETIME_MS,
            false => SUSPICION_LIFETIME_MS,
        }
    }

    /// Returns whether this part is blamed for all crashes for which another one is.
    fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.blamed().map(|(id, _)| id);
        crashes.all(|id| {
            let known = self.crashes.get(id);
            known.is_some_and(|crash| !crash.is_cleared)
        })
    }
}

/// What a host knows about prompt parts that may crash endpoints.
#[derive(Debug, Default)]
pub struct CrashRecords {
    parts: HashMap<PartId, PartRecord>,
    sound_at_ms: HashMap<PartId, i64>,
    /// Changes that the hosts of the region have not been told.
    pending_local: VecDeque<(PartId, CrashId)>,
    /// Changes that the other regions have not been told.
    pending_remote: VecDeque<(PartId, CrashId)>,
    has_new_crash: bool,
}

impl CrashRecords {
    /// Returns records without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether a crash was added since the last call.
    pub fn take_new_crash(&mut self) -> bool {
        std::mem::take(&mut self.has_new_crash)
    }

    /// Records a crash while a request with these shared parts had not begun.
    pub fn record_crash(&mut self, parts: &[PromptPart], crash: CrashId, now_ms: u64) {
        let now_ms = now_ms as i64;
        for part in parts {
            let part = PartId(part.id);
            if !self.is_sound(part, now_ms) && self.add(part, crash, now_ms, false) {
                self.push_pending(part, crash, true);
            }
        }
    }

    /// Records that a request with these shared parts has begun.
    pub fn record_sound(&mut self, parts: &[PromptPart], now_ms: u64) {
        let now_ms = now_ms as i64;
        for part in parts {
            let part = PartId(part.id);
            if self.sound_at_ms.len() < MAX_SOUND_PARTS {
                self.sound_at_ms.insert(part, now_ms);
            }
            self.clear(part);
        }
    }

    /// Applies the report of another host; `is_remote` if that is in another region.
    pub fn apply(&mut self, report: CrashReport, is_remote: bool, now_ms: u64) {
        let now_ms = now_ms as i64;
        let CrashReport {
            part,
            crash,
            age_ms,
            is_cleared,
        } = report;
        if self.add(part, crash, now_ms - i64::from(age_ms), is_cleared) && is_remote {
            self.push_pending(part, crash, false);
        }
        if !is_cleared && self.is_sound(part, now_ms) {
            self.clear(part);
        }
    }

    /// Returns a part for which a request with these shared parts is refused.
    pub fn refused_part(&self, parts: &[PromptPart], now_ms: u64) -> Option<PartId> {
        if self.parts.is_empty() {
            return None;
        }
        let now_ms = now_ms as i64;
        let contains = |id: &PartId| parts.iter().any(|part| part.id == id.0);
        parts.iter().map(|part| PartId(part.id)).find(|id| {
            let Some(record) = self.parts.get(id).filter(|part| part.is_refused(now_ms)) else {
                return false;
            };
            // Another part may be the cause unless the request has that one too.
            let mut others = self.parts.iter().filter(|(other, _)| *other != id);
            others.all(|(other, known)| {
                contains(other) || !known.is_refused(now_ms) || !known.explains(record)
            })
        })
    }

    /// Returns whether one of these shared parts is blamed for a crash.
    pub fn is_suspect(&self, parts: &[PromptPart]) -> bool {
        parts.iter().any(|part| {
            let record = self.parts.get(&PartId(part.id));
            record.is_some_and(|record| record.blamed().next().is_some())
        })
    }

    /// Takes up to `count` changes for the hosts of this region.
    pub fn take_local(&mut self, count: usize, now_ms: u64) -> Vec<CrashReport> {
        let count = count.min(self.pending_local.len());
        let changes: Vec<_> = self.pending_local.drain(..count).collect();
        self.reports(changes, now_ms)
    }

    /// Takes up to `count` changes for the other regions.
    pub fn take_remote(&mut self, count: usize, now_ms: u64) -> Vec<CrashReport> {
        let count = count.min(self.pending_remote.len());
        let changes: Vec<_> = self.pending_remote.drain(..count).collect();
        self.reports(changes, now_ms)
    }

    /// Returns up to `count` reports, those of the parts with most crashes first.
    pub fn all(&self, count: usize, now_ms: u64) -> Vec<CrashReport> {
        let mut parts: Vec<(&PartId, &PartRecord)> = self.parts.iter().collect();
        parts.sort_by_key(|(id, record)| (std::cmp::Reverse(record.blamed().count()), **id));
        let known = parts
            .into_iter()
            .flat_map(|(part, record)| record.crashes.keys().map(|crash| (*part, *crash)));
        let mut reports = self.reports(known, now_ms);
        reports.truncate(count);
        reports
    }

    /// Drops crashes and sound requests that are too old.
    pub fn expire(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        for record in self.parts.values_mut() {
            let lifetime_ms = record.lifetime_ms();
            record.crashes.retain(|_, crash| {
                let lifetime_ms = match crash.is_cleared {
                    true => SUSPICION_LIFETIME_MS,
                    false => lifetime_ms,
                };
                now_ms < crash.at_ms + lifetime_ms
            });
        }
        self.parts.retain(|_, record| !record.crashes.is_empty());
        self.sound_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + SOUND_LIFETIME_MS);
    }

    fn is_sound(&self, part: PartId, now_ms: i64) -> bool {
        let sound_ms = self.sound_at_ms.get(&part);
        sound_ms.is_some_and(|at_ms| now_ms < at_ms + SOUND_LIFETIME_MS)
    }

    fn clear(&mut self, part: PartId) {
        let Some(record) = self.parts.get_mut(&part) else {
            return;
        };
        let mut cleared = Vec::new();
        for (id, crash) in &mut record.crashes {
            if !std::mem::replace(&mut crash.is_cleared, true) {
                cleared.push(*id);
            }
        }
        for crash in cleared {
            self.push_pending(part, crash, true);
        }
    }

    /// Adds a crash, or the clearance of one; returns whether that is new.
    fn add(&mut self, part: PartId, crash: CrashId, at_ms: i64, is_cleared: bool) -> bool {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, record)| {
                let crashes = record.crashes.values();
                crashes.map(|crash| crash.at_ms).max()
            });
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.parts.remove(&oldest);
            }
        }
        let record = self.parts.entry(part).or_default();
        if let Some(known) = record.crashes.get_mut(&crash) {
            return is_cleared && !std::mem::replace(&mut known.is_cleared, true);
        }
        if record.crashes.len() >= MAX_CRASHES {
            let crashes = record.crashes.iter();
            let oldest = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at_ms));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                record.crashes.remove(&oldest);
            }
        }
        record.crashes.insert(crash, Crash { at_ms, is_cleared });
        self.has_new_crash |= !is_cleared;
        true
    }

    fn push_pending(&mut self, part: PartId, crash: CrashId, is_own: bool) {
        push(&mut self.pending_local, (part, crash));
        if is_own {
            push(&mut self.pending_remote, (part, crash));
        }
    }

    fn reports<I>(&self, changes: I, now_ms: u64) -> Vec<CrashReport>
    where
        I: IntoIterator<Item = (PartId, CrashId)>,
    {
        let now_ms = now_ms as i64;
        let report = |(part, id)| {
            let record = self.parts.get(&part)?;
            let crash = record.crashes.get(&id)?;
            let age_ms = now_ms - crash.at_ms;
            let lifetime_ms = match crash.is_cleared {
                true => SUSPICION_LIFETIME_MS,
                false => record.lifetime_ms(),
            };
            (age_ms < lifetime_ms - REPORT_MARGIN_MS).then(|| CrashReport {
                part,
                crash: id,
                age_ms: u32::try_from(age_ms).unwrap_or_default(),
                is_cleared: crash.is_cleared,
            })
        };
        changes.into_iter().filter_map(report).collect()
    }
}

fn push(queue: &mut VecDeque<(PartId, CrashId)>, change: (PartId, CrashId)) {
    if queue.len() >= MAX_PENDING {
        queue.pop_front();
    }
    queue.push_back(change);
}
