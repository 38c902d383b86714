//! Crashes of endpoints and the suspects that may have caused them: prompt parts and whole
//! requests.
//!
//! A suspect is blamed for a crash if a request with it was in progress. A request that ends
//! well clears its suspects. Hosts exchange what they know as [`CrashReport`]s, whose order
//! and repetition do not matter.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

use super::request::PromptPart;
use crate::types::{
    ParseError,
    hex_id, //
};

/// Crashes after which requests with a suspect are refused.
const CRASH_LIMIT: u32 = 3;
/// Time within which crashes count as one, since endpoints also end together, but not those
/// of a request and its repeat.
const EPISODE_MS: i64 = 500;
/// Time for which a suspect is refused after the crash that reached the limit; doubles with
/// each further one.
const REFUSAL_MS: i64 = 60_000;
/// Largest number of times that it doubles, up to about an hour.
const MAX_DOUBLINGS: u32 = 6;
/// Time for which crashes below the limit are remembered: ten returns of a request that
/// comes once a minute.
const SUSPICION_LIFETIME_MS: i64 = 600_000;
/// Time for which clearances are remembered; reports that are under way arrive in it.
const CLEARANCE_LIFETIME_MS: i64 = 60_000;
/// Time for which the crashes of a suspect that reached the limit are remembered.
const VERDICT_LIFETIME_MS: i64 = 2 * (REFUSAL_MS << MAX_DOUBLINGS);
/// Remaining lifetime below which a crash is no longer reported, so that hosts do not
/// remind each other of it for ever.
const REPORT_MARGIN_MS: i64 = 5_000;
/// Time after a request that ended well in which its suspects are not blamed.
const SOUND_LIFETIME_MS: i64 = 10_000;
/// Suspects that are remembered; those with the fewest and oldest crashes are dropped first.
const MAX_SUSPECTS: usize = 2_048;
/// Crashes that are remembered of one suspect.
const MAX_CRASHES: usize = 16;
/// Suspects of requests that ended well that are remembered in a generation.
const MAX_SOUND: usize = 8_192;
/// Reports that wait to be sent; the oldest are dropped first.
const MAX_PENDING: usize = 1_024;

hex_id!(
    /// Id of a prompt part.
    PartId,
    u64,
    "prompt part",
    "{:x}",
    "up to 16 hexadecimal digits"
);
hex_id!(
    /// Hash by which a request that comes again is recognised.
    RequestHash,
    u64,
    "request hash",
    "{:016x}",
    "up to 16 hexadecimal digits"
);
hex_id!(
    /// Id of the crash of one start of an endpoint.
    CrashId,
    u64,
    "crash",
    "{:016x}",
    "up to 16 hexadecimal digits"
);

impl CrashId {
    /// Returns the id of the crash of an endpoint that started at this Unix time.
    pub fn new(endpoint: &str, started_ms: u64) -> Self {
        // As a seed, the start would cancel out against the bytes of a short id.
        let mut hash = Xxh3::new();
        hash.update(&started_ms.to_le_bytes());
        hash.update(endpoint.as_bytes());
        Self(hash.digest())
    }
}

/// What may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A part of a prompt.
    Part(PartId),
    /// A request as a whole.
    Request(RequestHash),
    /// A request whatever its prompt parts are.
    Call(RequestHash),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part-{part}"),
            Self::Request(request) => write!(f, "request-{request}"),
            Self::Call(call) => write!(f, "call-{call}"),
        }
    }
}

impl FromStr for Suspect {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once('-') {
            Some(("part", id)) => Ok(Self::Part(id.parse()?)),
            Some(("request", id)) => Ok(Self::Request(id.parse()?)),
            Some(("call", id)) => Ok(Self::Call(id.parse()?)),
            _ => Err(ParseError::new(
                "suspect",
                text,
                "part-ID, request-ID or call-ID",
            )),
        }
    }
}

/// The suspects of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspects {
    all: Vec<Suspect>,
    shared_count: usize,
    request: Suspect,
}

impl Suspects {
    /// Returns the suspects of a request with these prompt parts; `call` is the hash of the
    /// rest of it.
    pub fn new(parts: &[PromptPart], call: RequestHash) -> Self {
        let ids = parts.iter().map(|part| part.id);
        let mut all: Vec<Suspect> = ids.clone().map(PartId).map(Suspect::Part).collect();
        let shared_count = all.len().saturating_sub(1);
        let numbers = [call.0].into_iter().chain(ids);
        let bytes: Vec<u8> = numbers.flat_map(u64::to_le_bytes).collect();
        let request = Suspect::Request(RequestHash(xxh3_64(&bytes)));
        all.push(request);
        if !parts.is_empty() {
            all.push(Suspect::Call(call));
        }
        Self {
            all,
            shared_count,
            request,
        }
    }

    /// The request itself.
    pub fn request(&self) -> Suspect {
        self.request
    }

    /// All suspects.
    pub fn all(&self) -> &[Suspect] {
        &self.all
    }

    /// Prompt parts that other requests may share.
    pub fn shared(&self) -> &[Suspect] {
        &self.all[..self.shared_count]
    }

    /// The request itself and, if it has a prompt, the last part of that and the rest.
    pub fn own(&self) -> &[Suspect] {
        &self.all[self.shared_count..]
    }
}

/// A crash for which a suspect is blamed, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: Suspect,
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
    /// Time from the first send of a request with the suspect to the crash, in milliseconds.
    pub run_ms: u32,
    /// A request with the suspect has ended well since.
    pub is_cleared: bool,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Time of the crash, negative if it was before the start of this host.
    at_ms: i64,
    /// When the earliest request with the suspect that was in progress had been sent.
    began_ms: i64,
    is_cleared: bool,
}

impl Crash {
    /// Returns the time for which it is remembered if its suspect's are for `blamed_ms`.
    fn lifetime_ms(&self, blamed_ms: i64) -> i64 {
        match self.is_cleared {
            true => CLEARANCE_LIFETIME_MS,
            false => blamed_ms,
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    /// The suspect is a whole request: a run that began after another crash is its repeat.
    is_request: bool,
    crashes: BTreeMap<CrashId, Crash>,
}

impl Record {
    fn blamed(&self) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    /// Returns the number of crashes that were no coincidence with another, and the time of
    /// the last.
    fn episodes(&self) -> (u32, i64) {
        let mut crashes: Vec<&Crash> = self.blamed().map(|(_, crash)| crash).collect();
        crashes.sort_unstable_by_key(|crash| crash.at_ms);
        let mut count = 0;
        let mut counted_ms = i64::MIN / 2;
        for crash in &crashes {
            let is_repeat = self.is_request && crash.began_ms >= counted_ms;
            if is_repeat || crash.at_ms - counted_ms >= EPISODE_MS {
                count += 1;
                counted_ms = crash.at_ms;
            }
        }
        let last = crashes.last();
        (count, last.map_or(i64::MIN / 2, |crash| crash.at_ms))
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

    /// Returns whether this suspect is blamed for all crashes for which another one is.
    fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.blamed().map(|(id, _)| id);
        crashes.all(|id| {
            let known = self.crashes.get(id);
            known.is_some_and(|crash| !crash.is_cleared)
        })
    }
}

/// Suspects of requests that ended well, with the time of the last.
#[derive(Debug, Default)]
struct SoundSuspects {
    current: HashMap<Suspect, i64>,
    previous: HashMap<Suspect, i64>,
    since_ms: i64,
}

impl SoundSuspects {
    fn insert(&mut self, suspect: Suspect, now_ms: i64) {
        if self.current.len() >= MAX_SOUND || now_ms >= self.since_ms + SOUND_LIFETIME_MS {
            self.previous = std::mem::take(&mut self.current);
            self.since_ms = now_ms;
        }
        self.current.insert(suspect, now_ms);
    }

    fn contains(&self, suspect: Suspect, now_ms: i64) -> bool {
        let at_ms = self.current.get(&suspect);
        let at_ms = at_ms.or_else(|| self.previous.get(&suspect));
        at_ms.is_some_and(|at_ms| now_ms < at_ms + SOUND_LIFETIME_MS)
    }
}

/// What a host knows about the causes of crashes.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: HashMap<Suspect, Record>,
    sound: SoundSuspects,
    /// Changes that the hosts of the region have not been told.
    pending_local: VecDeque<(Suspect, CrashId)>,
    /// Changes that the other regions have not been told.
    pending_remote: VecDeque<(Suspect, CrashId)>,
    has_new_crash: bool,
}

impl CrashRecords {
    /// Returns records without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a crash was added since the last call.
    pub fn take_new_crash(&mut self) -> bool {
        std::mem::take(&mut self.has_new_crash)
    }

    /// Records a crash at `at_ms` while a request with these suspects, sent at `sent_ms`, was
    /// in progress.
    pub fn record_crash(&mut self, suspects: &[Suspect], crash: CrashId, sent_ms: u64, at_ms: u64) {
        let new = Crash {
            at_ms: at_ms as i64,
            began_ms: sent_ms as i64,
            is_cleared: false,
        };
        for suspect in suspects {
            let is_sound = self.sound.contains(*suspect, new.at_ms);
            if !is_sound && self.add(*suspect, crash, new) {
                self.push_pending(*suspect, crash, true);
            }
        }
    }

    /// Records that a request with these suspects has ended well.
    pub fn record_sound(&mut self, suspects: &[Suspect], now_ms: u64) {
        for suspect in suspects {
            self.sound.insert(*suspect, now_ms as i64);
            self.clear(*suspect);
        }
    }

    /// Applies the report of another host; `is_remote` if that is in another region.
    pub fn apply(&mut self, report: CrashReport, is_remote: bool, now_ms: u64) {
        let now_ms = now_ms as i64;
        let CrashReport { suspect, crash, .. } = report;
        let at_ms = now_ms - i64::from(report.age_ms);
        let known = Crash {
            at_ms,
            began_ms: at_ms - i64::from(report.run_ms),
            is_cleared: report.is_cleared,
        };
        if self.add(suspect, crash, known) && is_remote {
            self.push_pending(suspect, crash, false);
        }
        if !report.is_cleared && self.sound.contains(suspect, now_ms) {
            self.clear(suspect);
        }
    }

    /// Returns a suspect for which a request with these suspects is refused.
    pub fn refused(&self, suspects: &[Suspect], now_ms: u64) -> Option<Suspect> {
        if self.records.is_empty() {
            return None;
        }
        let now_ms = now_ms as i64;
        suspects.iter().copied().find(|suspect| {
            let record = self.records.get(suspect);
            let Some(record) = record.filter(|record| record.is_refused(now_ms)) else {
                return false;
            };
            // Another suspect may be the cause unless the request has that one too.
            let mut others = self.records.iter().filter(|(other, _)| *other != suspect);
            others.all(|(other, known)| {
                suspects.contains(other)
                    || !is_better_cause(*other, *suspect)
                    || !known.is_refused(now_ms)
                    || !known.explains(record)
            })
        })
    }

    /// Returns whether one of these suspects has reached the limit.
    pub fn has_verdict(&self, suspects: &[Suspect], now_ms: u64) -> bool {
        suspects.iter().any(|suspect| {
            let record = self.records.get(suspect);
            record.is_some_and(|record| record.is_refused(now_ms as i64))
        })
    }

    /// Returns whether one of these suspects is blamed for a crash.
    pub fn is_suspect(&self, suspects: &[Suspect]) -> bool {
        suspects.iter().any(|suspect| {
            let record = self.records.get(suspect);
            record.is_some_and(|record| record.blamed().next().is_some())
        })
    }

    /// Returns the suspects that have reached the limit, with the crashes of each.
    pub fn verdicts(&self, now_ms: u64) -> BTreeMap<Suspect, Vec<CrashReport>> {
        let known = self.records.iter();
        let known = known.filter(|(_, record)| record.episodes().0 >= CRASH_LIMIT);
        let crashes = |(suspect, record): (&Suspect, &Record)| {
            let blamed = record.blamed().map(|(crash, _)| (*suspect, *crash));
            (*suspect, self.reports(blamed, now_ms))
        };
        known.map(crashes).collect()
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

    /// Returns up to `count` reports, those of the suspects with most crashes first.
    pub fn all(&self, count: usize, now_ms: u64) -> Vec<CrashReport> {
        let mut records: Vec<(&Suspect, &Record)> = self.records.iter().collect();
        records.sort_by_key(|(id, record)| (std::cmp::Reverse(record.blamed().count()), **id));
        let known = records
            .into_iter()
            .flat_map(|(id, record)| record.crashes.keys().map(|crash| (*id, *crash)));
        let mut reports = self.reports(known.take(count), now_ms);
        reports.truncate(count);
        reports
    }

    /// Drops crashes that are too old.
    pub fn expire(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        for record in self.records.values_mut() {
            let blamed_ms = record.lifetime_ms();
            record
                .crashes
                .retain(|_, crash| now_ms < crash.at_ms + crash.lifetime_ms(blamed_ms));
        }
        self.records.retain(|_, record| !record.crashes.is_empty());
    }

    fn clear(&mut self, suspect: Suspect) {
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        let mut cleared = Vec::new();
        for (id, crash) in &mut record.crashes {
            if !std::mem::replace(&mut crash.is_cleared, true) {
                cleared.push(*id);
            }
        }
        for crash in cleared {
            self.push_pending(suspect, crash, true);
        }
    }

    /// Adds a crash, or the clearance of one; returns whether that is new.
    fn add(&mut self, suspect: Suspect, crash: CrashId, new: Crash) -> bool {
        if !self.records.contains_key(&suspect) && self.records.len() >= MAX_SUSPECTS {
            self.drop_least();
        }
        let record = self.records.entry(suspect).or_default();
        record.is_request = !matches!(suspect, Suspect::Part(_));
        if let Some(known) = record.crashes.get_mut(&crash) {
            known.began_ms = known.began_ms.min(new.began_ms);
            return new.is_cleared && !std::mem::replace(&mut known.is_cleared, true);
        }
        if record.crashes.len() >= MAX_CRASHES {
            let crashes = record.crashes.iter();
            let oldest = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at_ms));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                record.crashes.remove(&oldest);
            }
        }
        record.crashes.insert(crash, new);
        self.has_new_crash |= !new.is_cleared;
        true
    }

    fn drop_least(&mut self) {
        let least = self.records.iter().min_by_key(|(_, record)| {
            let latest = record.crashes.values().map(|crash| crash.at_ms).max();
            (record.blamed().count(), latest)
        });
        if let Some(least) = least.map(|(suspect, _)| *suspect) {
            self.records.remove(&least);
        }
    }

    fn push_pending(&mut self, suspect: Suspect, crash: CrashId, is_own: bool) {
        push(&mut self.pending_local, (suspect, crash));
        if is_own {
            push(&mut self.pending_remote, (suspect, crash));
        }
    }

    fn reports<I>(&self, changes: I, now_ms: u64) -> Vec<CrashReport>
    where
        I: IntoIterator<Item = (Suspect, CrashId)>,
    {
        let now_ms = now_ms as i64;
        let report = |(suspect, id)| {
            let record = self.records.get(&suspect)?;
            let crash = record.crashes.get(&id)?;
            let age_ms = now_ms - crash.at_ms;
            let is_kept = age_ms < crash.lifetime_ms(record.lifetime_ms()) - REPORT_MARGIN_MS;
            is_kept.then(|| CrashReport {
                suspect,
                crash: id,
                age_ms: u32::try_from(age_ms).unwrap_or_default(),
                run_ms: u32::try_from(crash.at_ms - crash.began_ms).unwrap_or_default(),
                is_cleared: crash.is_cleared,
            })
        };
        changes.into_iter().filter_map(report).collect()
    }
}

/// Returns whether a suspect with the same crashes as another one may be the cause instead:
/// requests that differ in their prompts do not speak for the rest of them.
fn is_better_cause(suspect: Suspect, other: Suspect) -> bool {
    !matches!((suspect, other), (Suspect::Call(_), Suspect::Part(_)))
}

fn push(queue: &mut VecDeque<(Suspect, CrashId)>, change: (Suspect, CrashId)) {
    if queue.len() >= MAX_PENDING {
        queue.pop_front();
    }
    queue.push_back(change);
}
