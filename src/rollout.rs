//! Accepts changes and brings a host to the newest revision.
//!
//! The key `cardamombridge/head` is the one compare-and-swap point: a change is
//! accepted by the write that puts it into the head's tail. Objects live in 16
//! shards. A writer folds the tail into the shards from time to time and then
//! moves the head's `folded_revision`, so a change leaves the tail only after its
//! shards hold it. Each shard knows the revision up to which it is folded;
//! readers apply only later changes of the tail to it. A writer that dies in
//! between therefore leaves a readable state, and the next one completes it.
//!
//! A shard keeps a removed object as an entry without a body, because a plan that
//! adds the object must not be accepted a second time after the removal. The
//! oldest of these entries are pruned; a plan from before the pruning is refused
//! as expired.
//!
//! After a lost response the writer reads the head. If the head has not moved, it
//! repeats the same compare-and-swap, of which only one can succeed; if the head
//! has moved, the lost write is in it or can no longer take effect.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use rand::RngExt;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    consul::{
        CasOutcome,
        Index,
        KeyState,
        KeyValue,
        MAX_VALUE_BYTES,
        PlatformError, //
    },
    intent::{
        Change,
        ChangeId,
        Intents,
        Object,
        ObjectName,
        RevisionGap,
        Versioned, //
    },
    plan::{
        Plan,
        PlanRules,
        PlannedChange,
        Refused, //
    },
    types::{
        Millis,
        Revision, //
    }, //
};

/// Key of the head.
pub const HEAD_KEY: &str = "cardamombridge/head";
/// Number of shards.
pub const SHARD_COUNT: usize = 16;
/// Most changes in the tail.
pub const MAX_TAIL: usize = 32;

/// Version of the stored form.
const FORMAT: u32 = 1;
/// Largest head that a change may make, so that a longer folded revision fits.
const MAX_HEAD_BYTES: usize = MAX_VALUE_BYTES - 64;
/// Unfolded changes at which their last writer folds.
const FOLD_AT: u64 = 16;
/// Unfolded changes at which every writer folds, in case the one above died.
const FOLD_AT_LATEST: u64 = 24;
/// Entries of removed objects that a shard keeps.
const MAX_REMOVED: usize = 64;
/// Tries of a write that loses races before it is given up.
const MAX_ATTEMPTS: u32 = 32;
/// Reads after a lost response before the outcome is reported as unknown.
const SETTLE_READS: u32 = 4;
/// Reads of a state that others keep changing.
const READ_ATTEMPTS: u32 = 8;
/// Longest pause before the second try; doubles with each further try.
const FIRST_PAUSE: Duration = Duration::from_millis(4);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Key of a shard.
pub fn shard_key(shard: usize) -> String {
    format!("cardamombridge/shard/{shard}")
}

/// Shard that holds an object.
pub fn shard_of(name: &ObjectName) -> usize {
    let text = format_compact!("{name}");
    (xxh3_64(text.as_bytes()) % SHARD_COUNT as u64) as usize
}

/// Why a change was not accepted or a state could not be read.
#[derive(Debug, Error)]
pub enum RolloutError {
    /// The service could not be used.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A key holds something else than this version writes.
    #[error("key {key} holds an invalid value: {reason}")]
    InvalidState {
        /// The key.
        key: CompactString,
        /// What is wrong with it.
        reason: CompactString,
    },
    /// Another change has touched an object since the plan was made.
    #[error("{object} was changed by {by_change} at revision {revision}; make a new plan")]
    Conflict {
        /// The object.
        object: ObjectName,
        /// The other change.
        by_change: ChangeId,
        /// Its revision.
        revision: Revision,
    },
    /// The plan breaks residency, is not covered by the fee, or is invalid.
    #[error(transparent)]
    Refused(#[from] Refused),
    /// The plan is too old to tell whether its objects have changed since.
    #[error("{object} may have changed since revision {planned_revision}; make a new plan")]
    Expired {
        /// The object.
        object: ObjectName,
        /// Revision that the plan was made against.
        planned_revision: Revision,
    },
    /// The change does not fit into the head.
    #[error("change has {size_bytes} bytes, expected at most {MAX_HEAD_BYTES}; split the plan")]
    TooLarge {
        /// Size of a head with only this change.
        size_bytes: usize,
    },
    /// The service shows an older configuration than the one in force.
    #[error("key-value service shows revision {shown}, below revision {known}")]
    Older {
        /// Revision in the service.
        shown: Revision,
        /// Revision in force or planned against.
        known: Revision,
    },
    /// Others kept changing the head.
    #[error("no success in {attempts} attempts because of concurrent writes")]
    Contended {
        /// Number of tries.
        attempts: u32,
    },
    /// The change may have been accepted; confirming it again tells.
    #[error("change {change} may have been accepted; confirm the same plan again")]
    Unknown {
        /// The change.
        change: ChangeId,
        /// Why its outcome could not be read.
        source: Option<PlatformError>,
    },
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change made.
    pub revision: Revision,
    /// Whether an earlier confirmation of the same plan had made it.
    pub is_repeat: bool,
}

/// Value of [`HEAD_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    format: u32,
    revision: Revision,
    folded_revision: Revision,
    tail: VecDeque<Change>,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            format: FORMAT,
            revision: Revision(0),
            folded_revision: Revision(0),
            tail: VecDeque::new(),
        }
    }
}

impl Head {
    /// Whether the tail holds every change after `revision`.
    fn covers(&self, revision: Revision) -> bool {
        revision.0 + self.tail.len() as u64 >= self.revision.0
    }

    fn changes_after(&self, revision: Revision) -> impl Iterator<Item = &Change> {
        self.tail
            .iter()
            .filter(move |change| change.revision > revision)
    }

    fn unfolded(&self) -> u64 {
        self.revision.0.saturating_sub(self.folded_revision.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ShardEntry {
    revision: Revision,
    change: ChangeId,
    object: Option<Object>,
}

/// Value of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Shard {
    format: u32,
    revision: Revision,
    pruned_revision: Revision,
    objects: BTreeMap<ObjectName, ShardEntry>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            format: FORMAT,
            revision: Revision(0),
            pruned_revision: Revision(0),
            objects: BTreeMap::new(),
        }
    }
}

impl Shard {
    /// The shard with the head's later changes applied.
    fn folded(mut self, number: usize, head: &Head) -> Self {
        for change in head.changes_after(self.revision) {
            self.objects.extend(entries_of(change, number));
        }
        self.revision = self.revision.max(head.revision);
        self.prune();
        self
    }

    fn prune(&mut self) {
        let mut removed: Vec<(Revision, ObjectName)> = self
            .objects
            .iter()
            .filter(|(_, entry)| entry.object.is_none())
            .map(|(name, entry)| (entry.revision, name.clone()))
            .collect();
        removed.sort_by_key(|(revision, _)| Reverse(*revision));
        for (revision, name) in removed.into_iter().skip(MAX_REMOVED) {
            self.objects.remove(&name);
            self.pruned_revision = self.pruned_revision.max(revision);
        }
    }
}

/// Entries that a change makes in one shard.
fn entries_of(change: &Change, shard: usize) -> impl Iterator<Item = (ObjectName, ShardEntry)> {
    let is_in_shard = move |name: &ObjectName| shard_of(name) == shard;
    change
        .objects
        .iter()
        .filter(move |object| is_in_shard(&object.name))
        .map(|object| {
            let entry = ShardEntry {
                revision: change.revision,
                change: change.id,
                object: object.object.clone(),
            };
            (object.name.clone(), entry)
        })
}

/// A stored value with the index for its next write.
#[derive(Debug, Clone)]
struct Stored<Value> {
    index: Index,
    watch_index: Index,
    value: Value,
}

fn decode<Value>(key: &str, state: KeyState) -> Result<Stored<Value>, RolloutError>
where
    Value: DeserializeOwned + Default,
{
    let value = match state.value {
        None => Value::default(),
        Some(bytes) => {
            serde_json::from_slice(&bytes).map_err(|error| RolloutError::InvalidState {
                key: CompactString::from(key),
                reason: format_compact!("{error}"),
            })?
        }
    };
    Ok(Stored {
        index: state.modify_index,
        watch_index: state.watch_index,
        value,
    })
}

fn check_format(key: &str, format: u32) -> Result<(), RolloutError> {
    if format == FORMAT {
        return Ok(());
    }
    Err(RolloutError::InvalidState {
        key: CompactString::from(key),
        reason: format_compact!("format {format}, expected {FORMAT}"),
    })
}

fn encode<Value>(key: &str, value: &Value) -> Result<Vec<u8>, RolloutError>
where
    Value: Serialize,
{
    serde_json::to_vec(value).map_err(|error| RolloutError::InvalidState {
        key: CompactString::from(key),
        reason: format_compact!("{error}"),
    })
}

fn read_head(kv: &KeyValue) -> Result<Stored<Head>, RolloutError> {
    let head: Stored<Head> = decode(HEAD_KEY, kv.read(HEAD_KEY)?)?;
    check_format(HEAD_KEY, head.value.format)?;
    Ok(head)
}

fn read_shard(kv: &KeyValue, number: usize) -> Result<Stored<Shard>, RolloutError> {
    let key = shard_key(number);
    let shard: Stored<Shard> = decode(&key, kv.read(&key)?)?;
    check_format(&key, shard.value.format)?;
    Ok(shard)
}

fn read_shards(kv: &KeyValue) -> Result<Vec<Stored<Shard>>, RolloutError> {
    in_parallel((0..SHARD_COUNT).collect(), |number| read_shard(kv, number))
}

/// Does the same with several shards at once, because one call between regions
/// takes at least 160 ms.
fn in_parallel<Done, Work>(shards: BTreeSet<usize>, work: Work) -> Result<Vec<Done>, RolloutError>
where
    Done: Send,
    Work: Fn(usize) -> Result<Done, RolloutError> + Sync,
{
    let work = &work;
    thread::scope(|scope| {
        let workers: Vec<_> = shards
            .into_iter()
            .map(|number| scope.spawn(move || work(number)))
            .collect();
        workers
            .into_iter()
            .map(|worker| match worker.join() {
                Ok(done) => done,
                Err(panic) => std::panic::resume_unwind(panic),
            })
            .collect()
    })
}

/// Waits a random time before try number `attempt`, which spreads racing writers.
fn pause(attempt: u32) {
    if attempt == 0 {
        return;
    }
    let longest = FIRST_PAUSE
        .saturating_mul(1 << attempt.min(10))
        .min(MAX_PAUSE);
    thread::sleep(longest.mul_f64(rand::rng().random()));
}

/// The head with shards that it can be combined with.
#[derive(Debug)]
struct State {
    head: Stored<Head>,
    shards: Vec<Stored<Shard>>,
    /// Every shard holds all its changes up to here.
    shards_complete_to: Revision,
}

impl State {
    fn read(kv: &KeyValue) -> Result<Self, RolloutError> {
        for attempt in 0..READ_ATTEMPTS {
            pause(attempt);
            let head = read_head(kv)?;
            let mut state = Self {
                shards_complete_to: head.value.folded_revision,
                shards: read_shards(kv)?,
                head,
            };
            if !state.is_consistent() {
                state.head = read_head(kv)?;
            }
            if state.is_consistent() {
                return Ok(state);
            }
        }
        Err(RolloutError::Contended {
            attempts: READ_ATTEMPTS,
        })
    }

    /// Whether the head is as new as each shard and its tail fills the gaps.
    fn is_consistent(&self) -> bool {
        let head = &self.head.value;
        let newest = self.shards.iter().map(|shard| shard.value.revision).max();
        newest.is_none_or(|newest| newest <= head.revision) && head.covers(self.shards_complete_to)
    }

    /// Reads the head again, and the shards only if they no longer go with it.
    fn refresh(&mut self, kv: &KeyValue) -> Result<(), RolloutError> {
        self.head = read_head(kv)?;
        if !self.is_consistent() {
            *self = Self::read(kv)?;
        }
        Ok(())
    }

    fn entries(&self) -> BTreeMap<ObjectName, ShardEntry> {
        let mut entries = BTreeMap::new();
        for (number, shard) in self.shards.iter().enumerate() {
            entries.extend(shard.value.objects.clone());
            for change in self.head.value.changes_after(shard.value.revision) {
                entries.extend(entries_of(change, number));
            }
        }
        entries
    }

    fn intents(&self, entries: &BTreeMap<ObjectName, ShardEntry>) -> Intents {
        let mut intents = Intents {
            revision: self.head.value.revision,
            objects: BTreeMap::new(),
        };
        for (name, entry) in entries {
            if let Some(object) = entry.object.clone() {
                let revision = entry.revision;
                let versioned = Versioned { revision, object };
                intents.objects.insert(name.clone(), versioned);
            }
        }
        intents
    }

    /// Revision of an accepted change, as far as the state still shows it.
    fn accepted_revision(
        &self,
        id: ChangeId,
        entries: &BTreeMap<ObjectName, ShardEntry>,
    ) -> Option<Revision> {
        let mut tail = self.head.value.tail.iter();
        let in_tail = tail.find(|change| change.id == id);
        let mut entries = entries.values();
        in_tail.map(|change| change.revision).or_else(|| {
            let touched = entries.find(|entry| entry.change == id);
            touched.map(|entry| entry.revision)
        })
    }

    /// Checks that no object of the plan was touched since the plan was made.
    fn check_unchanged(
        &self,
        plan: &Plan,
        entries: &BTreeMap<ObjectName, ShardEntry>,
    ) -> Result<(), RolloutError> {
        for change in &plan.changes {
            self.check_object(plan, change, entries.get(&change.name))?;
        }
        Ok(())
    }

    fn check_object(
        &self,
        plan: &Plan,
        change: &PlannedChange,
        entry: Option<&ShardEntry>,
    ) -> Result<(), RolloutError> {
        let Some(entry) = entry else {
            let shard = &self.shards[shard_of(&change.name)].value;
            let may_have_changed = shard.pruned_revision > plan.planned_revision;
            if change.base.is_some() || may_have_changed {
                return Err(RolloutError::Expired {
                    object: change.name.clone(),
                    planned_revision: plan.planned_revision,
                });
            }
            return Ok(());
        };
        let is_unchanged = match (change.base, &entry.object) {
            (Some(base), Some(_)) => entry.revision == base,
            (None, None) => entry.revision <= plan.planned_revision,
            _ => false,
        };
        if is_unchanged {
            return Ok(());
        }
        Err(RolloutError::Conflict {
            object: change.name.clone(),
            by_change: entry.change,
            revision: entry.revision,
        })
    }
}

/// Reads the newest accepted configuration.
pub fn load(kv: &KeyValue) -> Result<Intents, RolloutError> {
    let state = State::read(kv)?;
    Ok(state.intents(&state.entries()))
}

/// Reads the changes that the service still holds, newest first.
pub fn history(kv: &KeyValue) -> Result<Vec<Change>, RolloutError> {
    let head = read_head(kv)?.value;
    Ok(head.tail.into_iter().rev().collect())
}

/// What the head becomes when a change is added to it.
#[derive(Debug)]
enum NextHead {
    Ready(Vec<u8>),
    NeedsFold,
}

fn next_head(head: &Head, change: Change) -> Result<NextHead, RolloutError> {
    let mut next = head.clone();
    next.revision = change.revision;
    next.tail.push_back(change);
    loop {
        let bytes = encode(HEAD_KEY, &next)?;
        if bytes.len() <= MAX_HEAD_BYTES && next.tail.len() <= MAX_TAIL {
            return Ok(NextHead::Ready(bytes));
        }
        if next.tail.len() <= 1 {
            let size_bytes = bytes.len();
            return Err(RolloutError::TooLarge { size_bytes });
        }
        let oldest = next.tail.front().map(|oldest| oldest.revision);
        if oldest > Some(next.folded_revision) {
            return Ok(NextHead::NeedsFold);
        }
        next.tail.pop_front();
    }
}

/// A write of the head whose response was lost.
#[derive(Debug, Clone, Copy)]
struct Unsettled {
    /// Revision that it would have made.
    revision: Revision,
    /// Index of the head that it was conditional on.
    index: Index,
}

/// Accepts changes.
#[derive(Debug, Clone)]
pub struct Acceptor {
    kv: KeyValue,
    rules: PlanRules,
}

impl Acceptor {
    /// Accepts changes through `kv`.
    pub fn new(kv: KeyValue) -> Self {
        Self {
            kv,
            rules: PlanRules::default(),
        }
    }

    /// The same acceptor with rules for the checks.
    pub fn with_rules(mut self, rules: PlanRules) -> Self {
        self.rules = rules;
        self
    }

    /// Accepts a plan at `now_ms`, unless an object of it has changed or the
    /// service shows a revision below `in_force`.
    ///
    /// An error other than [`RolloutError::Unknown`] means that this call did not
    /// change the configuration.
    pub fn accept(
        &self,
        plan: &Plan,
        in_force: Revision,
        now_ms: Millis,
    ) -> Result<Accepted, RolloutError> {
        let mut state = State::read(&self.kv)?;
        let known = in_force.max(plan.planned_revision);
        let mut unsettled: Option<Unsettled> = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                pause(attempt);
                self.refresh(&mut state, plan, unsettled)?;
            }
            let entries = state.entries();
            if let Some(revision) = state.accepted_revision(plan.id, &entries) {
                let is_repeat = unsettled.is_none();
                return Ok(Accepted {
                    revision,
                    is_repeat,
                });
            }
            self.check(&state, plan, &entries, known, unsettled)?;
            // A head that has moved without the change rules out the lost write.
            unsettled = unsettled.filter(|lost| lost.index == state.head.index);
            let revision = state.head.value.revision.next();
            let change = Change {
                id: plan.id,
                revision,
                accepted_ms: now_ms,
                objects: plan.object_changes(),
            };
            let NextHead::Ready(bytes) = next_head(&state.head.value, change)? else {
                fold(&self.kv, &state.head.value)?;
                continue;
            };
            let written = self
                .kv
                .compare_and_swap(HEAD_KEY, state.head.index, bytes)
                .map_err(|error| unknown_if(unsettled, plan, error.into()))?;
            match written {
                CasOutcome::Written => {
                    return Ok(Accepted {
                        revision,
                        is_repeat: false,
                    });
                }
                CasOutcome::Stale => {}
                CasOutcome::Unknown(error) => {
                    tracing::warn!(change = %plan.id, %error, "lost response to a change");
                    let index = state.head.index;
                    unsettled = Some(Unsettled { revision, index });
                }
            }
        }
        let attempts = MAX_ATTEMPTS;
        let error = RolloutError::Contended { attempts };
        Err(unknown_if(unsettled, plan, error))
    }

    /// Reads the state again; after a lost response it must not give up early.
    fn refresh(
        &self,
        state: &mut State,
        plan: &Plan,
        unsettled: Option<Unsettled>,
    ) -> Result<(), RolloutError> {
        let reads = if unsettled.is_some() { SETTLE_READS } else { 1 };
        let mut result = state.refresh(&self.kv);
        for attempt in 1..reads {
            if result.is_ok() {
                break;
            }
            pause(attempt);
            result = state.refresh(&self.kv);
        }
        result.map_err(|error| unknown_if(unsettled, plan, error))
    }

    fn check(
        &self,
        state: &State,
        plan: &Plan,
        entries: &BTreeMap<ObjectName, ShardEntry>,
        known: Revision,
        unsettled: Option<Unsettled>,
    ) -> Result<(), RolloutError> {
        let shown = state.head.value.revision;
        if shown < known {
            let error = RolloutError::Older { shown, known };
            return Err(unknown_if(unsettled, plan, error));
        }
        let is_settled = unsettled.is_none_or(|lost| {
            let before = Revision(lost.revision.0.saturating_sub(1));
            state.head.value.covers(before)
        });
        if !is_settled {
            return Err(RolloutError::Unknown {
                change: plan.id,
                source: None,
            });
        }
        state.check_unchanged(plan, entries)?;
        plan.check(&state.intents(entries), &self.rules)?;
        Ok(())
    }

    /// Folds after an accepted change, when it is this writer's turn.
    ///
    /// A writer that leaves this out only makes a later one fold. It is separate
    /// from [`Self::accept`] because operators should not wait for it.
    pub fn fold_if_due(&self, accepted: Revision) -> Result<(), RolloutError> {
        let head = read_head(&self.kv)?.value;
        let unfolded = head.unfolded();
        let is_turn = accepted.0.is_multiple_of(FOLD_AT) && unfolded >= FOLD_AT;
        if is_turn || unfolded >= FOLD_AT_LATEST {
            fold(&self.kv, &head)?;
        }
        Ok(())
    }
}

/// Reports `error` as unknown if a response of this writer was lost before.
fn unknown_if(unsettled: Option<Unsettled>, plan: &Plan, error: RolloutError) -> RolloutError {
    if unsettled.is_none() {
        return error;
    }
    let source = match error {
        RolloutError::Platform(error) => Some(error),
        _ => None,
    };
    RolloutError::Unknown {
        change: plan.id,
        source,
    }
}

/// Writes the tail's changes into the shards, then moves the folded revision.
fn fold(kv: &KeyValue, head: &Head) -> Result<(), RolloutError> {
    let shards: BTreeSet<usize> = head
        .changes_after(head.folded_revision)
        .flat_map(|change| &change.objects)
        .map(|object| shard_of(&object.name))
        .collect();
    in_parallel(shards, |number| fold_shard(kv, number, head))?;
    move_folded(kv, head.revision)
}

fn fold_shard(kv: &KeyValue, number: usize, head: &Head) -> Result<(), RolloutError> {
    let key = shard_key(number);
    for attempt in 0..MAX_ATTEMPTS {
        pause(attempt);
        let known = read_shard(kv, number)?;
        if known.value.revision >= head.revision {
            return Ok(());
        }
        let bytes = encode(&key, &known.value.folded(number, head))?;
        let written = kv.compare_and_swap(&key, known.index, bytes)?;
        if matches!(written, CasOutcome::Written) {
            return Ok(());
        }
    }
    Err(RolloutError::Contended {
        attempts: MAX_ATTEMPTS,
    })
}

fn move_folded(kv: &KeyValue, folded: Revision) -> Result<(), RolloutError> {
    for attempt in 0..MAX_ATTEMPTS {
        pause(attempt);
        let mut head = read_head(kv)?;
        if head.value.folded_revision >= folded {
            return Ok(());
        }
        head.value.folded_revision = folded;
        let bytes = encode(HEAD_KEY, &head.value)?;
        let written = kv.compare_and_swap(HEAD_KEY, head.index, bytes)?;
        if matches!(written, CasOutcome::Written) {
            return Ok(());
        }
    }
    Err(RolloutError::Contended {
        attempts: MAX_ATTEMPTS,
    })
}

/// What brings a host from one revision to a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeSet {
    /// Changes in order of their revisions.
    Changes(Vec<Change>),
    /// The whole configuration, for a host that is too far behind.
    Snapshot(Intents),
}

/// The configuration in force at one host, which never goes down.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    intents: Arc<Intents>,
    recent: VecDeque<Change>,
}

impl InForce {
    /// Nothing in force yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration.
    pub fn intents(&self) -> Arc<Intents> {
        Arc::clone(&self.intents)
    }

    /// Its revision; 0 means that there is none yet.
    pub fn revision(&self) -> Revision {
        self.intents.revision
    }

    /// The last changes that came in one by one, newest first.
    pub fn history(&self) -> Vec<Change> {
        self.recent.iter().rev().cloned().collect()
    }

    /// What a host with `revision` needs to get here; empty if it is not behind.
    pub fn changes_since(&self, revision: Revision) -> ChangeSet {
        let behind = self.revision().0.saturating_sub(revision.0);
        if behind > self.recent.len() as u64 {
            return ChangeSet::Snapshot(Intents::clone(&self.intents));
        }
        let is_news = |change: &&Change| change.revision > revision;
        ChangeSet::Changes(self.recent.iter().filter(is_news).cloned().collect())
    }

    /// Takes over what is newer; returns whether anything was.
    ///
    /// A gap leaves the changes before it in force.
    pub fn apply(&mut self, set: ChangeSet) -> Result<bool, RevisionGap> {
        match set {
            ChangeSet::Changes(changes) => self.apply_changes(changes),
            ChangeSet::Snapshot(intents) => Ok(self.apply_snapshot(intents)),
        }
    }

    fn apply_changes(&mut self, changes: Vec<Change>) -> Result<bool, RevisionGap> {
        let mut is_changed = false;
        for change in changes {
            if change.revision <= self.revision() {
                continue;
            }
            Arc::make_mut(&mut self.intents).apply(&change)?;
            is_changed = true;
            self.recent.push_back(change);
            if self.recent.len() > MAX_TAIL {
                self.recent.pop_front();
            }
        }
        Ok(is_changed)
    }

    fn apply_snapshot(&mut self, intents: Intents) -> bool {
        if intents.revision <= self.revision() {
            return false;
        }
        self.intents = Arc::new(intents);
        // The changes in between are not known, so older ones are of no use.
        self.recent.clear();
        true
    }
}

/// Watches the head for one host.
#[derive(Debug, Clone, Default)]
pub struct HeadWatch {
    index: Index,
}

impl HeadWatch {
    /// A watch that returns at once the first time.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for a newer revision than `known`; none after `wait` without one.
    ///
    /// An older head, as after a restored backup, is passed over.
    pub fn next(
        &mut self,
        kv: &KeyValue,
        wait: Duration,
        known: Revision,
    ) -> Result<Option<ChangeSet>, RolloutError> {
        let state = kv.read_blocking(HEAD_KEY, self.index, wait)?;
        let head: Stored<Head> = decode(HEAD_KEY, state)?;
        check_format(HEAD_KEY, head.value.format)?;
        let shown = head.value.revision;
        if shown < known {
            tracing::warn!(%shown, %known, "key-value service shows an older revision");
        }
        let set = if shown <= known {
            None
        } else if head.value.covers(known) {
            let changes = head.value.changes_after(known).cloned().collect();
            Some(ChangeSet::Changes(changes))
        } else {
            Some(ChangeSet::Snapshot(load(kv)?))
        };
        // The published interface asks clients to start over when the index falls.
        let is_reset = head.watch_index < self.index;
        self.index = if is_reset {
            Index::default()
        } else {
            head.watch_index
        };
        Ok(set)
    }
}
