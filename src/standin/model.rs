//! A model engine with continuous batching, in explicit time.
//!
//! The engine runs in steps. Each step computes a bounded number of prompt
//! tokens and one output token for every sequence whose prompt is done, so a
//! long prompt slows down the sequences beside it, as in real engines. Memory
//! is shared by running sequences and cached prompt prefixes, of which the
//! least recently used go first. The caller of [`EngineModel`] supplies the
//! time, as a span since the model was made.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use crate::types::Tokens;

/// Capacity and speed of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOptions {
    /// Sequences in one batch.
    pub slots: u32,
    /// Requests that may wait for a slot; further ones are rejected.
    pub max_waiting: u32,
    /// Memory for running sequences and cached prefixes.
    pub memory: Tokens,
    /// Length of one cached prefix block.
    pub block: Tokens,
    /// Prompt tokens computed in a second when nothing else runs.
    pub prefill_tokens_per_s: u32,
    /// Most prompt tokens in one step.
    pub step_prefill: Tokens,
    /// Length of a step without any sequence.
    pub step: Duration,
    /// What each generating sequence adds to a step.
    pub step_per_sequence: Duration,
}

impl Default for ModelOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            max_waiting: 32,
            memory: Tokens(200_000),
            block: Tokens(64),
            prefill_tokens_per_s: 200_000,
            step_prefill: Tokens(2_048),
            step: Duration::from_millis(2),
            step_per_sequence: Duration::from_micros(100),
        }
    }
}

/// Number of one accepted request at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// One request as the engine sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Lower runs first.
    pub priority: i32,
    /// Prompt length.
    pub prompt: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix_hashes: Vec<u64>,
    /// Tokens that it generates; at least one.
    pub output: Tokens,
}

/// One generated token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generated {
    /// When.
    pub at: Duration,
    /// For which request.
    pub work: WorkId,
    /// Its number, from 0.
    pub index: u64,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
    /// Whether it ends the answer.
    pub is_last: bool,
}

/// Load of an engine at one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ModelLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Used share of the memory, in thousandths.
    pub cache_permille: u16,
}

/// Tokens computed since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ModelTotals {
    /// Prompt tokens that were computed.
    pub prefilled: Tokens,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
    /// Output tokens.
    pub generated: Tokens,
}

/// The engine has no room for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineFull;

#[derive(Debug)]
struct Sequence {
    id: WorkId,
    work: Work,
    cached: Tokens,
    prefill_left: Tokens,
    prefill_in_step: Tokens,
    is_in_step: bool,
    generated: u64,
}

/// Prompt prefixes in memory, least recently used first.
#[derive(Debug, Default)]
struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    fn hits(&self, hashes: &[u64]) -> usize {
        let is_cached = |hash: &&u64| self.last_use.contains_key(hash);
        hashes.iter().take_while(is_cached).count()
    }

    fn touch(&mut self, hashes: &[u64]) {
        // A block is useless without the ones before it, so the deepest block
        // gets the oldest use and is evicted first.
        for &hash in hashes.iter().rev() {
            self.uses += 1;
            if let Some(old) = self.last_use.insert(hash, self.uses) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.uses, hash);
        }
    }

    fn shrink_to(&mut self, blocks: u64) {
        while self.last_use.len() as u64 > blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
        }
    }
}

/// A model engine in explicit time.
#[derive(Debug)]
pub struct EngineModel {
    options: ModelOptions,
    waiting: BTreeMap<(i32, WorkId), Work>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    next_id: u64,
    step_end: Option<Duration>,
    totals: ModelTotals,
}

impl EngineModel {
    /// An idle engine with a cold cache.
    pub fn new(options: ModelOptions) -> Self {
        Self {
            options,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            next_id: 0,
            step_end: None,
            totals: ModelTotals::default(),
        }
    }

    /// Accepts a request, or rejects it before it runs.
    ///
    /// The model must have been advanced to `now`.
    pub fn submit(&mut self, now: Duration, work: Work) -> Result<WorkId, EngineFull> {
        let free = self.options.slots.saturating_sub(self.running.len() as u32);
        if self.waiting.len() as u32 >= self.options.max_waiting + free {
            return Err(EngineFull);
        }
        let id = WorkId(self.next_id);
        self.next_id += 1;
        self.waiting.insert((work.priority, id), work);
        if self.step_end.is_none() {
            self.start_step(now);
        }
        Ok(id)
    }

    /// Stops a request; returns the tokens generated for it, if it was here.
    pub fn cancel(&mut self, work: WorkId) -> Option<Tokens> {
        if let Some(index) = self.running.iter().position(|s| s.id == work) {
            return Some(Tokens(self.running.remove(index).generated));
        }
        let key = *self.waiting.keys().find(|(_, id)| *id == work)?;
        self.waiting.remove(&key);
        Some(Tokens(0))
    }

    /// When the current step ends; `None` if idle.
    pub fn next_step(&self) -> Option<Duration> {
        self.step_end
    }

    /// Runs all steps that end by `now` and appends their tokens.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<Generated>) {
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.finish_step(end, out);
            self.start_step(end);
        }
    }

    /// Load now.
    pub fn load(&self) -> ModelLoad {
        let used = self.reserved() + self.cached_tokens();
        let permille = used.0.saturating_mul(1_000) / self.options.memory.0.max(1);
        ModelLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            cache_permille: permille.min(1_000) as u16,
        }
    }

    /// Tokens computed since the start.
    pub fn totals(&self) -> ModelTotals {
        self.totals
    }

    /// Forgets all cached prefixes.
    pub fn clear_cache(&mut self) {
        self.cache = PrefixCache::default();
    }

    fn reserved(&self) -> Tokens {
        let of = |s: &Sequence| s.work.prompt.0 + s.work.output.0;
        Tokens(self.running.iter().map(of).sum())
    }

    fn cached_tokens(&self) -> Tokens {
        Tokens(self.cache.last_use.len() as u64 * self.options.block.0)
    }

    fn admit(&mut self) {
        while (self.running.len() as u32) < self.options.slots {
            let Some((key, work)) = self.waiting.pop_first() else {
                break;
            };
            let needed = self.reserved() + work.prompt + work.output;
            let fits = needed <= self.options.memory;
            if !fits && !self.running.is_empty() {
                self.waiting.insert(key, work);
                break;
            }
            let sequence = self.sequence(key.1, work);
            self.totals.cached = self.totals.cached + sequence.cached;
            self.running.push(sequence);
        }
        self.shrink_cache();
    }

    fn sequence(&mut self, id: WorkId, work: Work) -> Sequence {
        let hits = self.cache.hits(&work.prefix_hashes);
        self.cache.touch(&work.prefix_hashes[..hits]);
        // The last prompt token is always computed: it yields the first output.
        let most = work.prompt.saturating_sub(Tokens(1));
        let cached = Tokens(hits as u64 * self.options.block.0).min(most);
        Sequence {
            id,
            cached,
            prefill_left: (work.prompt - cached).max(Tokens(1)),
            prefill_in_step: Tokens(0),
            is_in_step: false,
            generated: 0,
            work,
        }
    }

    fn shrink_cache(&mut self) {
        let room = self.options.memory.saturating_sub(self.reserved());
        self.cache.shrink_to(room.0 / self.options.block.0.max(1));
    }

    fn start_step(&mut self, now: Duration) {
        self.admit();
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut budget = self.options.step_prefill.max(Tokens(1));
        let mut generating = 0;
        for sequence in &mut self.running {
            sequence.is_in_step = true;
            sequence.prefill_in_step = sequence.prefill_left.min(budget);
            budget = budget - sequence.prefill_in_step;
            generating += u32::from(sequence.prefill_left == Tokens(0));
        }
        let prefilled = self.options.step_prefill.max(Tokens(1)) - budget;
        let per_s = f64::from(self.options.prefill_tokens_per_s.max(1));
        let prefill = Duration::from_secs_f64(prefilled.0 as f64 / per_s);
        let length = self.options.step + self.options.step_per_sequence * generating + prefill;
        // A step of no length would never let the time advance.
        self.step_end = Some(now + length.max(Duration::from_micros(1)));
    }

    fn finish_step(&mut self, end: Duration, out: &mut Vec<Generated>) {
        let mut finished_prompts = Vec::new();
        for sequence in &mut self.running {
            if !sequence.is_in_step {
                continue;
            }
            let had_prefill = sequence.prefill_left > Tokens(0);
            sequence.prefill_left = sequence.prefill_left - sequence.prefill_in_step;
            self.totals.prefilled = self.totals.prefilled + sequence.prefill_in_step;
            sequence.prefill_in_step = Tokens(0);
            if sequence.prefill_left > Tokens(0) {
                continue;
            }
            if had_prefill {
                finished_prompts.push(sequence.work.prefix_hashes.clone());
            }
            out.push(Generated {
                at: end,
                work: sequence.id,
                index: sequence.generated,
                cached: sequence.cached,
                is_last: sequence.generated + 1 >= sequence.work.output.0,
            });
            sequence.generated += 1;
            self.totals.generated = self.totals.generated + Tokens(1);
        }
        for hashes in finished_prompts {
            self.cache.touch(&hashes);
        }
        self.running
            .retain(|s| s.generated == 0 || s.generated < s.work.output.0);
        self.shrink_cache();
    }
}
