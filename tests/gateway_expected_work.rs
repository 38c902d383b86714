//! Placement by expected work, without a network.
//!
//! A model of one host and the engines of its region plays the load. An engine generates a token of
//! each of its streams in a step, and prefills a chunk of the most urgent prompts in the same step.
//! It keeps shared prompt parts while it has memory for them, and preempts a stream when it has
//! none for the next token. How long a step takes changes several times a second.

use std::{
    cmp::Ordering,
    collections::BTreeMap, //
};

use cardamombridge::{
    gateway::{
        admission::{
            Placement,
            PlacementContext,
            RemoteOffer,
            RemoteRoom,
            place,
            returning_allowance_ms, //
        },
        answer_lengths::{
            AnswerLengths,
            EventCount,
            RouteAnswers, //
        },
        bound::ColdBounds,
        configuration::{
            Configuration,
            Engine,
            RetryPolicy,
            Route,
            RouteTarget,
            Service, //
        },
        endpoint::{
            Announcement,
            AnnouncementOrder,
            Stage,
            Work, //
        },
        fleet::{
            Choice,
            EndpointQuery,
            Fleet, //
        },
        gap_goal::{
            GapGoal,
            Pauses,
            PrefillState, //
        },
        head::parse_response,
        hosts::{
            HostInfo,
            Hosts,
            RegionView, //
        },
        load_updates::{
            Packet,
            SentPrompt, //
        },
        request::{
            EndpointLoad,
            PromptPart,
            RequestMetadata,
            SlownessPercent, //
        },
        request_sizes::RequestSizes,
        service_room::{
            RegionRoom,
            ServiceRoom, //
        },
        stated_slowness::StatedSlowness,
        stream_pace::PaceMeter, //
    },
    platform::headers::decode_response_metadata,
    types::Tokens, //
};
use compact_str::{
    CompactString,
    format_compact, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

const ENDPOINT_COUNT: usize = 6;
const SLOTS: usize = 48;
const MEMORY_TOKENS: u64 = 450_000;
/// Times of an engine: a step, more for each stream, and a chunk of prompts.
const STEP_MS: f64 = 3.0;
const STEP_MS_PER_STREAM: f64 = 0.125;
const CHUNK_MS: f64 = 24.0;
const CHUNK_TOKENS: u64 = 2_040;
const TOKENS_PER_EVENT: u64 = 11;
/// Time for which an engine keeps its speed, and the range of it relative to the usual one.
const SLOWNESS_MS: u64 = 150;
const SLOWNESS: (f64, f64) = (0.7, 1.7);
/// Shared prompt parts, and the tokens of one.
const PART_COUNT: u64 = 24;
const PART_TOKENS: u64 = 5_382;
const GAP_GOAL_MS: u64 = 400;
const PLAY_MS: u64 = 30_000;
const COLD: ColdBounds = ColdBounds {
    factor: 1.5,
    slack: 3.0,
};

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    priority: u8,
    goal_ms: u64,
    deadline_ms: u64,
    prompt_tokens: f64,
    is_shared: bool,
    events: f64,
    share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "label",
        priority: 0,
        goal_ms: 800,
        deadline_ms: 3_000,
        prompt_tokens: 2_400.0,
        is_shared: false,
        events: 2.0,
        share: 0.3,
    },
    Kind {
        name: "chat",
        priority: 1,
        goal_ms: 800,
        deadline_ms: 12_000,
        prompt_tokens: 830.0,
        is_shared: false,
        events: 28.0,
        share: 0.35,
    },
    Kind {
        name: "long",
        priority: 2,
        goal_ms: 2_500,
        deadline_ms: 15_000,
        prompt_tokens: 12_000.0,
        is_shared: true,
        events: 36.0,
        share: 0.35,
    },
];

/// A request of a caller, over all its attempts.
struct Call {
    kind: Kind,
    metadata: RequestMetadata,
    length: u64,
    first_ms: u64,
    arrived_ms: u64,
    allowance_ms: u64,
    attempt_count: u32,
    choice: Option<(Choice, u64)>,
    token_count: u64,
    last_event_ms: Option<u64>,
    longest_gap_ms: u64,
    is_first_in_time: bool,
    is_served: bool,
}

impl Call {
    fn goal_ms(&self) -> u64 {
        self.kind.goal_ms + self.allowance_ms
    }

    fn limit_at_ms(&self) -> u64 {
        self.first_ms + self.kind.deadline_ms
    }

    fn rank(&self, index: usize) -> (u8, u64, usize) {
        (self.kind.priority, self.arrived_ms, index)
    }

    fn part(&self) -> Option<u64> {
        self.metadata.affinity_key()
    }

    /// Returns whether the caller got all of the answer without a wait that is too long.
    fn is_on_time(&self) -> bool {
        self.is_served && self.is_first_in_time && self.longest_gap_ms <= GAP_GOAL_MS
    }
}

/// Prompts and streams at one engine.
#[derive(Default)]
struct EngineModel {
    /// Index of the call and tokens to prefill.
    waiting: Vec<(usize, u64)>,
    /// Index of the call and tokens that it keeps in memory, without a shared part.
    streams: Vec<(usize, u64)>,
    /// Shared parts in memory, with the time of the last use.
    parts: BTreeMap<u64, u64>,
    step_ends_ms: f64,
    slowness: Vec<f64>,
    preempted_count: usize,
}

impl EngineModel {
    fn used_tokens(&self) -> u64 {
        let streams: u64 = self.streams.iter().map(|(_, tokens)| tokens).sum();
        streams + self.parts.len() as u64 * PART_TOKENS
    }

    fn slowness_at(&self, now_ms: u64) -> f64 {
        self.slowness[(now_ms / SLOWNESS_MS) as usize % self.slowness.len()]
    }
}

/// What a play varies.
#[derive(Clone, Copy)]
struct Setting {
    gap_goal: Option<GapGoal>,
    /// Arriving prompt tokens relative to what the endpoints can prefill without a break.
    load: f64,
    /// Memory of an engine.
    memory_tokens: u64,
    /// What answers state of the slowness of their engine.
    statement: Statement,
}

/// Fourth figure of the load that answers state.
#[derive(Clone, Copy, PartialEq)]
enum Statement {
    Absent,
    True,
    /// The opposite of the truth.
    False,
}

impl Setting {
    fn new(load: f64) -> Self {
        Self {
            gap_goal: None,
            load,
            memory_tokens: MEMORY_TOKENS,
            statement: Statement::Absent,
        }
    }

    fn with_gap_goal(self) -> Self {
        let gap_goal = gap_goal();
        Self { gap_goal, ..self }
    }

    fn with_statement(self, statement: Statement) -> Self {
        Self { statement, ..self }
    }

    fn with_memory(self, memory_tokens: u64) -> Self {
        Self {
            memory_tokens,
            ..self
        }
    }
}

struct Region {
    setting: Setting,
    fleet: Fleet,
    sizes: RequestSizes,
    lengths: AnswerLengths,
    engines: BTreeMap<CompactString, EngineModel>,
    calls: Vec<Call>,
    queue: Vec<usize>,
    returns: BTreeMap<u64, Vec<usize>>,
}

/// What a play showed.
#[derive(Debug)]
struct Outcome {
    call_count: usize,
    served_count: usize,
    on_time_count: usize,
    late_gap_count: usize,
    preempted_count: usize,
}

fn model() -> Service {
    model_with(MEMORY_TOKENS)
}

fn model_with(memory_tokens: u64) -> Service {
    Service {
        name: "model".into(),
        health_path: None,
        cold_ms: 0,
        cold_per_s: 0.0,
        engine: Some(Engine {
            slots: SLOTS as u32,
            memory_tokens,
            copy_ms_per_token: None,
        }),
    }
}

fn announcement() -> Announcement {
    Announcement {
        service: "model".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        software_version: "v1".parse().expect("a valid version"),
        data_centre: "north-a".into(),
        slots: SLOTS as u32,
        stage: Stage::Ready,
        cold_left_ms: 0,
        remaining_ms: None,
        order: AnnouncementOrder {
            started_ms: 1,
            sequence: 1,
        },
    }
}

fn fleet_of(endpoint_count: usize) -> Fleet {
    let regions = BTreeMap::from([("north-a".into(), "north".into())]);
    let mut fleet = Fleet::new("north".into(), regions, COLD);
    for number in 0..endpoint_count {
        assert!(fleet.apply_announcement(&format!("e-{number}"), announcement(), 0));
    }
    fleet
}

/// Draws a size with this mean, spread as in the users' traffic.
fn draw_size(random: &mut Pcg64Mcg, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

fn draw_kind(random: &mut Pcg64Mcg) -> Kind {
    let mut left: f64 = random.random();
    let drawn = KINDS.iter().find(|kind| {
        left -= kind.share;
        left < 0.0
    });
    *drawn.unwrap_or(&KINDS[KINDS.len() - 1])
}

/// Returns calls that arrive over [`PLAY_MS`], at this load.
fn calls(random: &mut Pcg64Mcg, load: f64) -> Vec<Call> {
    let mean_tokens: f64 = KINDS
        .iter()
        .map(|kind| {
            let shared = if kind.is_shared { PART_TOKENS } else { 0 };
            kind.share * (kind.prompt_tokens - shared as f64)
        })
        .sum();
    let capacity_per_ms = ENDPOINT_COUNT as f64 * CHUNK_TOKENS as f64 / (STEP_MS + CHUNK_MS);
    let count = (load * capacity_per_ms / mean_tokens * PLAY_MS as f64) as u64;
    let mut calls: Vec<Call> = (0..count)
        .map(|number| {
            let kind = draw_kind(random);
            let tokens = draw_size(random, kind.prompt_tokens, 0.3) as u64;
            let at_ms = random.random_range(0..PLAY_MS);
            let own = PromptPart {
                id: 1_000 + number,
                tokens: Tokens(tokens.saturating_sub(PART_TOKENS).max(1)),
            };
            let shared = PromptPart {
                id: random.random_range(0..PART_COUNT),
                tokens: Tokens(PART_TOKENS),
            };
            let parts = if kind.is_shared {
                vec![shared, own]
            } else {
                vec![own]
            };
            let length = draw_size(random, kind.events, 0.4).clamp(1.0, kind.events * 3.3) as u64;
            Call {
                kind,
                metadata: RequestMetadata {
                    prompt_tokens: Tokens(if kind.is_shared {
                        PART_TOKENS + own.tokens.0
                    } else {
                        tokens
                    }),
                    max_output_tokens: Tokens(1_400),
                    length_hint: Some(Tokens(length * TOKENS_PER_EVENT)),
                    parts,
                    ..RequestMetadata::default()
                },
                length,
                first_ms: at_ms,
                arrived_ms: at_ms,
                allowance_ms: 0,
                attempt_count: 0,
                choice: None,
                token_count: 0,
                last_event_ms: None,
                longest_gap_ms: 0,
                is_first_in_time: false,
                is_served: false,
            }
        })
        .collect();
    calls.sort_by_key(|call| call.arrived_ms);
    calls
}

impl Region {
    fn new(seed: u64, setting: Setting) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let engines = (0..ENDPOINT_COUNT).map(|number| {
            let slowness = 0..PLAY_MS / SLOWNESS_MS;
            let slowness = slowness.map(|_| random.random_range(SLOWNESS.0..SLOWNESS.1));
            let engine = EngineModel {
                slowness: slowness.collect(),
                ..EngineModel::default()
            };
            (format_compact!("e-{number}"), engine)
        });
        Self {
            setting,
            fleet: fleet_of(ENDPOINT_COUNT),
            sizes: RequestSizes::default(),
            lengths: AnswerLengths::default(),
            engines: engines.collect(),
            calls: calls(&mut random, setting.load),
            queue: Vec::new(),
            returns: BTreeMap::new(),
        }
    }

    /// Plays all calls, until the last of them has ended.
    fn play(mut self) -> Outcome {
        let mut next = 0;
        for now_ms in 0..PLAY_MS + 15_000 {
            for index in self.returns.remove(&now_ms).unwrap_or_default() {
                self.arrive(index, now_ms);
            }
            while next < self.calls.len() && self.calls[next].arrived_ms <= now_ms {
                self.arrive(next, now_ms);
                next += 1;
            }
            if now_ms % 5 == 0 {
                self.fleet.update_paces(now_ms);
                self.place_waiting(now_ms);
            }
            let names: Vec<CompactString> = self.engines.keys().cloned().collect();
            for name in names {
                self.run_engine(&name, now_ms);
            }
        }
        let count = |is_counted: &dyn Fn(&&Call) -> bool| {
            self.calls.iter().filter(|call| is_counted(call)).count()
        };
        let engines = self.engines.values();
        Outcome {
            call_count: self.calls.len(),
            served_count: count(&|call| call.is_served),
            on_time_count: count(&|call| call.is_on_time()),
            late_gap_count: count(&|call| call.longest_gap_ms > GAP_GOAL_MS),
            preempted_count: engines.map(|engine| engine.preempted_count).sum(),
        }
    }

    fn arrive(&mut self, index: usize, now_ms: u64) {
        let prefill_ms = self.fleet.mean_prefill_ms_per_token(&model(), now_ms);
        let call = &mut self.calls[index];
        call.arrived_ms = now_ms;
        let limit_ms = call.limit_at_ms().saturating_sub(now_ms);
        call.metadata.time_limit_ms = Some(limit_ms);
        let prompt = call.metadata.prompt_tokens;
        let size = self
            .sizes
            .record(call.kind.name, call.kind.deadline_ms, &call.metadata);
        call.allowance_ms = match size.is_returning {
            true => returning_allowance_ms(prompt, size.usual_prompt, prefill_ms, limit_ms),
            false => 0,
        };
        self.place(index, now_ms);
    }

    fn place_waiting(&mut self, now_ms: u64) {
        let mut waiting = self.queue.clone();
        waiting.sort_by_key(|index| self.calls[*index].rank(*index));
        for index in waiting.into_iter().take(24) {
            self.place(index, now_ms);
        }
    }

    fn context(&self, index: usize, now_ms: u64) -> PlacementContext {
        let service = model_with(self.setting.memory_tokens);
        let call = &self.calls[index];
        let rank = call.rank(index);
        let ahead = self.queue.iter().filter(|other| **other != index);
        let ahead = ahead.filter(|other| self.calls[**other].rank(**other) <= rank);
        let ahead_ms: f64 = ahead
            .map(|other| {
                let metadata = &self.calls[*other].metadata;
                self.fleet.service_ms(&service, metadata, now_ms)
            })
            .sum();
        let view = RegionView { host_count: 1 };
        let goal_at_ms = call.arrived_ms + call.goal_ms();
        let hint = call.metadata.length_hint;
        let query = EndpointQuery {
            share_ahead: self.fleet.share_ahead(&service, Some(call.kind.priority)),
            goal_left_ms: goal_at_ms.saturating_sub(now_ms) as f64,
            time_left_ms: call.limit_at_ms().saturating_sub(now_ms) as f64,
            pace_goal: self.lengths.pace_goal(&service.name),
            gap_goal: self.setting.gap_goal,
            expected_events: self.lengths.expected_events(call.kind.name, hint),
            expected_output: self.lengths.expected_tokens(call.kind.name, hint),
            ..EndpointQuery::new(&service, &call.metadata, &view)
        };
        PlacementContext {
            local: self.fleet.choose(&query, now_ms),
            queue_ms: ahead_ms / ENDPOINT_COUNT as f64,
            goal_left_ms: query.goal_left_ms,
            goal_ms: call.goal_ms() as f64,
            time_left_ms: query.time_left_ms,
            usual_run_ms: 5_000.0,
            is_waiting: self.queue.contains(&index),
            ..placement_context()
        }
    }

    fn place(&mut self, index: usize, now_ms: u64) {
        let placement = place(self.context(index, now_ms));
        if placement != Placement::Wait {
            self.queue.retain(|other| *other != index);
        }
        match placement {
            Placement::Send(choice) => self.send(index, choice, now_ms),
            Placement::Wait if self.queue.contains(&index) => {}
            Placement::Wait => self.queue.push(index),
            Placement::Forward(offer) => panic!("there is no other region: {offer:?}"),
            Placement::Refuse(retry_ms) => {
                let call = &mut self.calls[index];
                call.attempt_count += 1;
                if call.attempt_count == 1 {
                    let back_ms = now_ms + retry_ms.max(1);
                    self.returns.entry(back_ms).or_default().push(index);
                }
            }
        }
    }

    fn send(&mut self, index: usize, choice: Choice, now_ms: u64) {
        let call = &mut self.calls[index];
        let endpoint = self.fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_send(choice.work, now_ms);
        endpoint.record_prompt(&call.metadata, now_ms + choice.first_event_ms as u64);
        let prefill = Tokens(choice.work.uncached_tokens);
        let priority = Some(call.kind.priority);
        self.fleet
            .record_prefill(&"model".into(), priority, prefill, now_ms);
        self.fleet.record_shared_parts(&call.metadata);
        let engine = self.engines.get_mut(&choice.endpoint).expect("the engine");
        let mut tokens = call.metadata.prompt_tokens.0;
        if let Some(part) = call.part()
            && engine.parts.insert(part, now_ms).is_some()
        {
            tokens -= PART_TOKENS;
        }
        engine.waiting.push((index, tokens));
        call.choice = Some((choice, now_ms));
    }

    /// Runs the steps of an engine that end by now.
    fn run_engine(&mut self, name: &CompactString, now_ms: u64) {
        let engine = self.engines.get_mut(name).expect("the engine");
        if engine.step_ends_ms > now_ms as f64 {
            return;
        }
        let calls = &self.calls;
        let streams: Vec<usize> = engine.streams.iter().map(|(index, _)| *index).collect();
        engine
            .waiting
            .sort_by_key(|(index, _)| calls[*index].rank(*index));
        let mut chunk = CHUNK_TOKENS;
        let mut begun = Vec::new();
        let free_slots = SLOTS.saturating_sub(streams.len());
        for (index, tokens_left) in engine.waiting.iter_mut().take(free_slots) {
            let used = chunk.min(*tokens_left);
            *tokens_left -= used;
            chunk -= used;
            if *tokens_left == 0 {
                begun.push(*index);
            }
            if chunk == 0 {
                break;
            }
        }
        engine.waiting.retain(|(_, tokens_left)| *tokens_left > 0);
        for index in &begun {
            let call = &calls[*index];
            let shared = if call.part().is_some() {
                PART_TOKENS
            } else {
                0
            };
            let tokens = call.metadata.prompt_tokens.0 - shared + call.token_count;
            engine.streams.push((*index, tokens));
        }
        for (_, tokens) in &mut engine.streams {
            *tokens += 1;
        }
        self.free_memory(name);
        let engine = self.engines.get_mut(name).expect("the engine");
        let chunk_ms = CHUNK_MS * (CHUNK_TOKENS - chunk) as f64 / CHUNK_TOKENS as f64;
        let step_ms = STEP_MS + STEP_MS_PER_STREAM * engine.streams.len() as f64 + chunk_ms;
        engine.step_ends_ms = now_ms as f64 + step_ms * engine.slowness_at(now_ms);
        for index in begun {
            self.begin_stream(index, now_ms);
        }
        for index in streams {
            self.generate(index, now_ms);
        }
    }

    /// Drops unused shared parts and preempts streams until an engine's memory suffices.
    fn free_memory(&mut self, name: &CompactString) {
        let engine = self.engines.get_mut(name).expect("the engine");
        while engine.used_tokens() > self.setting.memory_tokens {
            let calls = &self.calls;
            let is_used = |part: &u64| {
                let streams = engine.streams.iter().map(|(index, _)| index);
                let mut known = streams.chain(engine.waiting.iter().map(|(index, _)| index));
                known.any(|index| calls[*index].part() == Some(*part))
            };
            let unused = engine.parts.iter().filter(|(part, _)| !is_used(part));
            let oldest = unused.min_by_key(|(_, used_ms)| **used_ms);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                engine.parts.remove(&part);
                continue;
            }
            let Some((index, tokens)) = engine.streams.pop() else {
                return;
            };
            engine.preempted_count += 1;
            engine.waiting.push((index, tokens));
        }
    }

    fn begin_stream(&mut self, index: usize, now_ms: u64) {
        let call = &mut self.calls[index];
        if call.last_event_ms.is_some() {
            return;
        }
        let (choice, sent_ms) = call.choice.clone().expect("it was sent");
        let engine = &self.engines[&choice.endpoint];
        let factor = engine.slowness_at(now_ms);
        let stated = match self.setting.statement {
            Statement::Absent => None,
            Statement::True => Some(factor),
            Statement::False => Some(SLOWNESS.0 + SLOWNESS.1 - factor),
        };
        let load = EndpointLoad {
            running: engine.streams.len() as u32,
            waiting: engine.waiting.len() as u32,
            slots: SLOTS as u32,
            slowness: stated.and_then(|factor| SlownessPercent::new(factor * 100.0)),
        };
        let endpoint = self.fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_reported_load(load, now_ms);
        let actual_ms = (now_ms - sent_ms) as f64;
        endpoint.record_first_event(choice.work);
        endpoint.record_success_of(actual_ms, choice.first_event_ms, choice.slowness);
        call.last_event_ms = Some(now_ms);
        call.is_first_in_time = now_ms <= call.arrived_ms + call.kind.goal_ms;
        self.fleet
            .record_first_event_time("model", &choice, actual_ms);
    }

    /// Generates a token of a stream, and ends the stream if it is whole or out of time.
    fn generate(&mut self, index: usize, now_ms: u64) {
        let call = &mut self.calls[index];
        call.token_count += 1;
        let event_count = call.token_count / TOKENS_PER_EVENT;
        let endpoint = &call.choice.as_ref().expect("it was sent").0.endpoint;
        let endpoint = self.fleet.get_mut(endpoint).expect("the endpoint");
        if call.token_count.is_multiple_of(TOKENS_PER_EVENT)
            && let Some(last_ms) = call.last_event_ms.replace(now_ms)
        {
            call.longest_gap_ms = call.longest_gap_ms.max(now_ms - last_ms);
            endpoint.pace.record(1, now_ms - last_ms, now_ms);
        }
        let is_late = now_ms >= call.limit_at_ms();
        call.is_served = event_count >= call.length && !is_late;
        if call.is_served || is_late {
            self.end(index, EventCount(event_count), now_ms);
        }
    }

    fn end(&mut self, index: usize, passed: EventCount, now_ms: u64) {
        let call = &self.calls[index];
        let (choice, sent_ms) = call.choice.as_ref().expect("it was sent");
        let engine = self.engines.get_mut(&choice.endpoint).expect("the engine");
        engine.streams.retain(|(other, _)| *other != index);
        engine.waiting.retain(|(other, _)| *other != index);
        let endpoint = self.fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_end(choice.work, true);
        self.fleet
            .record_run_time("model", (now_ms - sent_ms) as f64);
        let (_, answers) = self.lengths.entry(call.kind.name);
        let length = match call.is_served {
            true => passed,
            false => answers.cut_length(passed),
        };
        answers.record(length);
        if let Some(hint) = call.metadata.length_hint {
            answers.record_hint(hint, length);
        }
        let span_ms = call.kind.deadline_ms - call.kind.goal_ms;
        answers.set_pace_goal(&"model".into(), span_ms as f64);
    }
}

/// Returns a context in which nothing is known but what a test sets.
fn placement_context() -> PlacementContext {
    PlacementContext {
        local: None,
        queue_ms: 0.0,
        remote: None,
        goal_left_ms: 800.0,
        goal_ms: 800.0,
        time_left_ms: 8_000.0,
        usual_run_ms: 0.0,
        is_waiting: false,
        has_run: false,
        usable_in_ms: None,
        unwanted_for_ms: None,
        limited: None,
        is_cut_off: false,
    }
}

fn gap_goal() -> Option<GapGoal> {
    GapGoal::from_ms(GAP_GOAL_MS)
}

fn long_prompt() -> RequestMetadata {
    let tokens = Tokens(12_000);
    RequestMetadata {
        prompt_tokens: tokens,
        max_output_tokens: Tokens(400),
        parts: vec![PromptPart { id: 1, tokens }],
        ..RequestMetadata::default()
    }
}

fn short_prompt() -> RequestMetadata {
    let tokens = Tokens(830);
    RequestMetadata {
        prompt_tokens: tokens,
        max_output_tokens: Tokens(400),
        parts: vec![PromptPart { id: 2, tokens }],
        ..RequestMetadata::default()
    }
}

/// Returns a fleet in which the streams of some endpoints pause for `event_ms`, while the
/// endpoints prefill nearly all the time. Each endpoint has a request.
fn fleet_with_pauses(endpoint_count: usize, paused: &[&str], event_ms: u64) -> Fleet {
    let mut fleet = fleet_of(endpoint_count);
    for number in 0..endpoint_count {
        let id = format_compact!("e-{number}");
        let endpoint = fleet.get_mut(&id).expect("the endpoint");
        let is_paused = paused.contains(&id.as_str());
        let work = Work {
            uncached_tokens: if is_paused { 100_000 } else { 0 },
            reserved_tokens: 1_000,
        };
        endpoint.record_send(work, 1_000);
        endpoint.record_first_event(work);
        let pause_ms = if is_paused { event_ms } else { 100 };
        for _ in 0..10 {
            endpoint.pace.record(1, pause_ms, 1_000);
        }
    }
    fleet
}

fn context_at(
    fleet: &Fleet,
    metadata: &RequestMetadata,
    gap_goal: Option<GapGoal>,
) -> PlacementContext {
    let (service, region) = (model(), RegionView { host_count: 1 });
    let query = EndpointQuery {
        goal_left_ms: 1_200.0,
        time_left_ms: 15_000.0,
        gap_goal,
        ..EndpointQuery::new(&service, metadata, &region)
    };
    PlacementContext {
        local: fleet.choose(&query, 1_000),
        goal_left_ms: query.goal_left_ms,
        goal_ms: query.goal_left_ms,
        time_left_ms: query.time_left_ms,
        ..placement_context()
    }
}

/// Engines that are slower than usual prefill without a break, and their streams pause for longer
/// than callers accept. Guards against a prompt that is sent there while another engine has room.
#[test]
fn prompt_goes_where_pauses_are_short_or_waits() {
    let prompt = long_prompt();
    let one_free = fleet_with_pauses(3, &["e-0", "e-2"], 420);
    let none_free = fleet_with_pauses(3, &["e-0", "e-1", "e-2"], 420);

    let with_room = place(context_at(&one_free, &prompt, gap_goal()));
    let without = place(context_at(&none_free, &prompt, gap_goal()));

    let Placement::Send(choice) = with_room else {
        panic!("{with_room:?}");
    };
    assert_eq!(choice.endpoint, "e-1");
    assert_eq!(without, Placement::Wait);
}

/// This host has streams at one endpoint alone, which pause for too long; the pauses at others are
/// taken to be the same. Guards against an idle endpoint that is avoided, or whose short prompts
/// are held, for pauses that no stream there has.
#[test]
fn idle_endpoint_has_no_pauses() {
    let mut fleet = fleet_of(2);
    let work = Work {
        uncached_tokens: 0,
        reserved_tokens: 1_000,
    };
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    endpoint.record_send(work, 1_000);
    endpoint.record_first_event(work);
    endpoint.pace.record(10, 10 * 500, 1_000);
    fleet.update_paces(1_000);

    let choice = |gap_goal| {
        let context = context_at(&fleet, &short_prompt(), gap_goal);
        context.local.expect("an endpoint")
    };

    let with_goal = choice(gap_goal());
    assert_eq!(with_goal.endpoint, "e-1");
    assert!(with_goal.is_gap_goal_kept);
    assert_eq!(with_goal.cost_ms, choice(None).cost_ms);
}

/// Chat prompts arrive where the streams pause for too long already. Guards against short prompts
/// that pass by the limit for pauses, and against ones that are held while the pauses are short.
#[test]
fn short_prompt_is_held_only_where_pauses_are_too_long() {
    let prompt = short_prompt();
    let placed = |event_ms: u64| {
        let fleet = fleet_with_pauses(1, &["e-0"], event_ms);
        place(context_at(&fleet, &prompt, gap_goal()))
    };

    assert_eq!(placed(420), Placement::Wait);
    assert!(matches!(placed(260), Placement::Send(_)));
}

/// Guards against a prompt that is held for the pauses of others until its own first event is late,
/// with a caller that waits in vain.
#[test]
fn held_prompt_that_would_be_late_is_refused_with_the_time_to_return() {
    let fleet = fleet_with_pauses(1, &["e-0"], 500);
    let held = PlacementContext {
        is_waiting: true,
        goal_left_ms: 300.0,
        ..context_at(&fleet, &long_prompt(), gap_goal())
    };
    let local = held.local.clone().expect("an endpoint");
    let ready_ms = local.first_event_ms + local.hold_ms() - held.goal_ms / 2.0;

    let Placement::Refuse(retry_ms) = place(held) else {
        panic!("a held prompt that will be late goes on waiting");
    };

    assert!(retry_ms as f64 >= ready_ms, "{retry_ms} of {ready_ms} ms");
}

/// Guards against an engine that is slow without any prefill and never gets a prompt, although no
/// hold makes it faster.
#[test]
fn slow_engine_without_prefill_gets_prompts() {
    let mut fleet = fleet_of(1);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    endpoint.pace.record(6, 6 * 700, 1_000);

    let context = context_at(&fleet, &long_prompt(), gap_goal());

    let choice = context.local.expect("an endpoint");
    assert!(choice.has_room(), "{choice:?}");
}

/// Engines of other deployments prefill without a break and send an event of seven tokens each
/// 154 ms. Guards against a goal for pauses that changes the placement where it is kept anyway.
#[test]
fn goal_that_is_kept_while_engines_prefill_changes_nothing() {
    let fleet = fleet_with_pauses(2, &["e-0", "e-1"], 154);

    for prompt in [long_prompt(), short_prompt()] {
        let without = context_at(&fleet, &prompt, None);
        let with = context_at(&fleet, &prompt, gap_goal());

        assert_eq!(without, with);
    }
}

/// One stream is preempted while twenty go on. Guards against a hold of all prompts for the pause
/// of a single stream.
#[test]
fn pause_of_one_stream_is_not_that_of_the_endpoint() {
    let mut meter = PaceMeter::default();
    for now_ms in (100..2_000).step_by(100) {
        for _ in 0..20 {
            meter.record(1, 100, now_ms);
        }
    }
    meter.record(1, 3_000, 1_950);

    let pauses = meter.pauses(2_000).expect("pauses");

    let goal = gap_goal().expect("a goal");
    assert!(goal.is_kept(pauses), "{pauses:?}");
}

/// Half of the time passes with prefill and half without. Guards against long pauses that vanish
/// in the mean pace.
#[test]
fn long_pauses_show_beside_short_ones() {
    let mut meter = PaceMeter::default();
    for round in 1..10 {
        for event in 1..=4 {
            meter.record(1, 100, round * 800 + event * 100);
        }
        meter.record(1, 400, (round + 1) * 800);
    }

    let pauses = meter.pauses(8_000).expect("pauses");

    assert!(pauses.mean_ms < 200.0, "{pauses:?}");
    assert!((350.0..500.0).contains(&pauses.long_ms), "{pauses:?}");
}

/// A prompt of 12,000 tokens takes 200 ms at an engine whose streams pause for 240 ms. Guards
/// against a backlog that adds its prefill to the same pause.
#[test]
fn prompt_waits_until_its_prefill_fits_into_a_pause() {
    let goal = gap_goal().expect("a goal");
    let pauses = Pauses {
        mean_ms: 130.0,
        long_ms: 240.0,
    };
    let limit_ms = |request_ms| {
        let prefill = PrefillState {
            share: 0.4,
            share_ahead: 1.0,
            request_ms,
        };
        goal.backlog_limit_ms(pauses, prefill)
    };

    assert!(limit_ms(200.0) < limit_ms(20.0));
    // One that is longer than the rest of a pause is sent once the endpoint has no backlog.
    assert_eq!(limit_ms(900.0), 0.0);
}

fn route(name: &str, service: &str, gap_goal_ms: Option<u64>) -> Route {
    Route {
        name: name.into(),
        host: "site".into(),
        prefix: format_compact!("/{name}/"),
        is_stream: true,
        retry_policy: RetryPolicy::Resume,
        timeout_ms: 15_000,
        goal_ms: 1_000,
        max_attempts: 2,
        priority: Some(1),
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1.0,
        }],
        home_regions: Vec::new(),
        is_public: false,
        gap_goal_ms,
    }
}

/// Guards against streams of a strict route that pause as long as those of another one may.
#[test]
fn strictest_goal_of_the_routes_holds_for_a_service() {
    let configuration = Configuration {
        routes: vec![
            route("chat", "model", Some(600)),
            route("long", "model", Some(400)),
            route("label", "model", None),
            route("other", "small", Some(100)),
            route("odd", "large", Some(0)),
        ],
        ..Configuration::default()
    };

    let goals = configuration.gap_goals();
    assert_eq!(goals.get("model").copied(), GapGoal::from_ms(400));
    assert_eq!(goals.get("small").copied(), GapGoal::from_ms(100));
    assert_eq!(goals.get("large"), None);
}

/// Engines whose speed changes several times a second get nearly as many prompts as they can
/// prefill. Guards against streams that pause for longer than callers accept, and against a limit
/// for pauses that costs answers.
#[test]
fn more_answers_are_on_time_with_a_goal_for_pauses() {
    for seed in 1..=3 {
        let setting = Setting::new(0.9);

        let without = Region::new(seed, setting).play();
        let with = Region::new(seed, setting.with_gap_goal()).play();

        let figures = format!("{seed}: {without:?}, {with:?}");
        assert_eq!(with.call_count, without.call_count);
        assert!(
            with.on_time_count * 10 >= without.on_time_count * 13,
            "{figures}"
        );
        assert!(
            with.late_gap_count * 10 <= without.late_gap_count * 4,
            "{figures}"
        );
        assert!(
            with.served_count * 100 >= without.served_count * 97,
            "{figures}"
        );
    }
}

/// Requests of the usual mix come to engines with memory for about twenty long prompts. Guards
/// against streams that are preempted because more requests run than the memory holds until they
/// end, and against answers that the limit costs.
#[test]
fn streams_are_hardly_preempted_where_memory_is_short() {
    let mut preempted = (0, 0);
    let mut served = (0, 0);
    for seed in 1..=3 {
        let setting = Setting::new(0.9).with_memory(170_000);

        let without = Region::new(seed, setting).play();
        let with = Region::new(seed, setting.with_gap_goal()).play();

        preempted = (
            preempted.0 + without.preempted_count,
            preempted.1 + with.preempted_count,
        );
        served = (
            served.0 + without.served_count,
            served.1 + with.served_count,
        );
    }

    assert!(preempted.0 >= 100, "the load preempts none: {preempted:?}");
    assert!(preempted.1 * 10 <= preempted.0, "{preempted:?}");
    assert!(served.1 >= served.0, "{served:?}");
}

/// Returns a fleet in which an endpoint runs requests that need this memory in all.
fn fleet_with_memory(endpoint_count: usize, id: &str, reserved_tokens: u64) -> Fleet {
    let mut fleet = fleet_of(endpoint_count);
    let endpoint = fleet.get_mut(id).expect("the endpoint");
    let work = Work {
        uncached_tokens: 0,
        reserved_tokens,
    };
    endpoint.record_send(work, 1_000);
    endpoint.record_first_event(work);
    fleet
}

/// The requests at an engine need 380,000 of its 450,000 tokens until they end, and requests are
/// preempted from 382,500 on. Guards against a request that is sent there, also as a short prompt,
/// while another engine has memory or none has.
#[test]
fn request_goes_where_the_memory_suffices_or_waits() {
    let two = fleet_with_memory(2, "e-0", 380_000);
    let one = fleet_with_memory(1, "e-0", 382_000);

    for prompt in [long_prompt(), short_prompt()] {
        let elsewhere = place(context_at(&two, &prompt, gap_goal()));
        let waiting = place(context_at(&one, &prompt, gap_goal()));

        let Placement::Send(choice) = elsewhere else {
            panic!("{elsewhere:?}");
        };
        assert_eq!(choice.endpoint, "e-1");
        assert_eq!(waiting, Placement::Wait);
    }
}

/// Guards against a request that waits for memory until its goal is missed, with a caller that is
/// not told to come back.
#[test]
fn request_that_gets_no_memory_in_time_is_refused() {
    let fleet = fleet_with_memory(1, "e-0", 460_000);

    let on_arrival = place(context_at(&fleet, &long_prompt(), gap_goal()));
    let after_a_wait = place(PlacementContext {
        is_waiting: true,
        goal_left_ms: 200.0,
        ..context_at(&fleet, &long_prompt(), gap_goal())
    });

    assert!(matches!(after_a_wait, Placement::Refuse(_)));
    // Of the mean time of a request, which is 3 s before one has ended, a quarter.
    assert_eq!(on_arrival, Placement::Wait);
}

/// Guards against a prompt that is longer than the memory of an engine and is never sent.
#[test]
fn idle_endpoint_takes_a_request_of_any_size() {
    let fleet = fleet_of(1);
    let tokens = Tokens(500_000);
    let prompt = RequestMetadata {
        prompt_tokens: tokens,
        parts: vec![PromptPart { id: 1, tokens }],
        ..RequestMetadata::default()
    };

    let placement = place(context_at(&fleet, &prompt, gap_goal()));

    assert!(matches!(placement, Placement::Send(_)), "{placement:?}");
}

/// Guards against running streams that count with the most that they may generate, of which most
/// use a third, and against a shared part that counts for each request or for none.
#[test]
fn memory_counts_shared_parts_once_and_expected_answers() {
    let mut fleet = fleet_of(1);
    let shared = PromptPart {
        id: 7,
        tokens: Tokens(PART_TOKENS),
    };
    let metadata = RequestMetadata {
        prompt_tokens: Tokens(12_000),
        max_output_tokens: Tokens(1_400),
        parts: vec![
            shared,
            PromptPart {
                id: 8,
                tokens: Tokens(12_000 - PART_TOKENS),
            },
        ],
        ..RequestMetadata::default()
    };
    let work = Work::new(&metadata, PART_TOKENS);

    let expected = work.with_expected_memory(&metadata, Some(Tokens(400)));
    let unknown = work.with_expected_memory(&metadata, None);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    let before = endpoint.shared_tokens_in_use(&metadata, 6_000.0, 1_000);
    endpoint.record_prompt(&metadata, 1_000);
    endpoint.record_prompt(&metadata, 1_500);
    let while_used = endpoint.shared_tokens_in_use(&metadata, 6_000.0, 2_000);
    let of_others = endpoint.shared_tokens_in_use(&short_prompt(), 6_000.0, 2_000);
    let afterwards = endpoint.shared_tokens_in_use(&short_prompt(), 6_000.0, 9_000);

    assert_eq!(expected.reserved_tokens, 12_000 - PART_TOKENS + 400);
    assert_eq!(unknown.reserved_tokens, 12_000 - PART_TOKENS + 1_400);
    assert_eq!(expected.uncached_tokens, work.uncached_tokens);
    assert_eq!((before, while_used), (PART_TOKENS, PART_TOKENS));
    assert_eq!((of_others, afterwards), (PART_TOKENS, 0));
}

/// Other hosts send the prompts with a shared part. Guards against parts that take memory unseen,
/// because load updates name them without their lengths.
#[test]
fn shared_parts_of_other_hosts_count() {
    let mut fleet = fleet_of(1);
    let shared = PromptPart {
        id: 7,
        tokens: Tokens(PART_TOKENS),
    };
    let own = RequestMetadata {
        prompt_tokens: Tokens(PART_TOKENS + 1),
        parts: vec![shared, shared],
        ..RequestMetadata::default()
    };
    fleet.record_shared_parts(&own);
    let sent = SentPrompt {
        endpoint: fleet.get("e-0").expect("the endpoint").hash,
        reserved_tokens: 7_000,
        prefill_tokens: 12_000,
        prefill_ms: 200,
        parts: vec![7, 9],
    };

    fleet.record_peer_prompt(&sent, 1_000);

    let endpoint = fleet.get("e-0").expect("the endpoint");
    let tokens = endpoint.shared_tokens_in_use(&short_prompt(), 6_000.0, 1_500);
    assert_eq!(tokens, PART_TOKENS);
}

/// Callers estimate the tokens of their answers, and engines send them in events. Guards against a length that
/// is guessed where nothing tells how many tokens an event holds.
#[test]
fn expected_tokens_follow_the_estimates_of_callers() {
    let mut unhinted = RouteAnswers::default();
    let mut hinted = RouteAnswers::default();
    for _ in 0..50 {
        unhinted.record(EventCount(36));
        hinted.record(EventCount(36));
        hinted.record_hint(Tokens(400), EventCount(36));
    }

    let tokens = hinted.expected_tokens(None).expect("a length");

    assert!((395..=405).contains(&tokens.0), "{tokens}");
    assert!(hinted.expected_tokens(Some(Tokens(800))) > Some(tokens));
    assert_eq!(unhinted.expected_tokens(Some(Tokens(400))), None);
}

fn percent(value: f64) -> SlownessPercent {
    SlownessPercent::new(value).expect("a slowness")
}

fn load_of(header: &str) -> Option<EndpointLoad> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Server-Load: {header}\r\n\r\n");
    let (head, _) = parse_response(head.as_bytes(), false)
        .expect("a valid head")
        .expect("a whole head");
    decode_response_metadata(&head).load
}

/// Guards against a load that is lost because an endpoint states a fourth figure, or none, or an
/// odd one.
#[test]
fn fourth_figure_of_the_load_is_optional() {
    let load = |slowness| {
        Some(EndpointLoad {
            running: 3,
            waiting: 1,
            slots: 48,
            slowness,
        })
    };

    assert_eq!(load_of("3,1,48"), load(None));
    assert_eq!(load_of("3,1,48,170"), load(Some(percent(170.0))));
    assert_eq!(load_of(" 3, 1, 48, 99.5 "), load(Some(percent(99.5))));
    for odd in ["0", "-5", "nan", "inf", "fast", ""] {
        assert_eq!(load_of(&format!("3,1,48,{odd}")), load(None), "{odd}");
    }
    assert_eq!(load_of("3,1"), None);
}

/// The speed of machines changes several times a second. Guards against a statement that is
/// ignored until times are measured, and against one that is used for long.
#[test]
fn stated_slowness_holds_for_a_moment() {
    let mut stated = StatedSlowness::default();

    let first = stated.record(percent(120.0), 1_000);
    let second = stated.record(percent(200.0), 2_000);

    let factor = |now_ms| stated.estimate(1.2, now_ms).factor;
    assert_eq!((first, second), (Some(1.2), None));
    assert!(factor(2_000) > 1.7, "{}", factor(2_000));
    assert!((1.4..1.6).contains(&factor(2_500)), "{}", factor(2_500));
    assert_eq!(factor(3_000), 1.2);
}

/// Guards against an endpoint that states once that it is slow, or fast, and is avoided, or gets
/// all prompts, for good.
#[test]
fn constant_statement_yields_to_measured_times() {
    for percents in [20.0, 400.0] {
        let mut fleet = fleet_of(1);
        let endpoint = fleet.get_mut("e-0").expect("the endpoint");
        for answer in 0..30 {
            let now_ms = 1_000 + answer * 100;
            let used = endpoint.slowness_estimate(now_ms);
            endpoint.record_reported_load(
                EndpointLoad {
                    slowness: Some(percent(percents)),
                    ..EndpointLoad::default()
                },
                now_ms,
            );
            // The endpoint is as fast as usual.
            endpoint.record_success_of(200.0, 200.0 * used.factor, used);
        }

        let factor = endpoint.slowness_estimate(4_000).factor;

        assert!((0.9..1.1).contains(&factor), "{percents}: {factor}");
    }
}

/// Guards against an endpoint whose statements vary without a reason and make its predictions
/// worse for good.
#[test]
fn statement_that_times_do_not_bear_out_is_ignored() {
    let learn = |is_true: bool| {
        let mut stated = StatedSlowness::default();
        for answer in 0..20 {
            let now_ms = 1_000 + answer * 100;
            let value = if answer % 2 == 0 { 60.0 } else { 160.0 };
            stated.record(percent(value), now_ms);
            let used = stated.estimate(1.0, now_ms);
            let measured = match is_true {
                true => used.relative.unwrap_or(1.0),
                false => 1.0,
            };
            stated.record_measured(measured, used);
        }
        stated.record(percent(160.0), 4_000);
        stated.estimate(1.0, 4_000).factor
    };

    assert!(learn(true) > 1.3, "{}", learn(true));
    assert!((0.95..1.05).contains(&learn(false)), "{}", learn(false));
}

/// Engines state their true slowness, or its opposite. Guards against statements that cost answers,
/// whether they are true or false.
#[test]
fn true_statements_help_and_false_ones_hardly_harm() {
    let on_time = |statement| -> usize {
        let plays = (1..=3).map(|seed| {
            let setting = Setting::new(0.9).with_statement(statement);
            Region::new(seed, setting.with_gap_goal()).play()
        });
        plays.map(|outcome| outcome.on_time_count).sum()
    };

    let absent = on_time(Statement::Absent);
    let (stated, opposite) = (on_time(Statement::True), on_time(Statement::False));

    let figures = format!("{absent} without, {stated} true, {opposite} false");
    assert!(stated >= absent, "{figures}");
    assert!(opposite * 100 >= absent * 95, "{figures}");
}

fn room(pause_ms: u32, free_tokens: u64, largest_free_tokens: u64) -> ServiceRoom {
    ServiceRoom {
        service: "model".into(),
        pause_ms,
        free_tokens,
        largest_free_tokens,
    }
}

fn offer_with(room: &ServiceRoom) -> RemoteOffer {
    let offer = RemoteOffer {
        region: "south".into(),
        first_event_ms: 400.0,
        cost_ms: 500.0,
        room: RemoteRoom::Unknown,
    };
    offer.with_room(gap_goal().expect("a goal"), room, 12_400)
}

/// A region is at its peak while another one is idle. Guards against forwards to a region whose
/// streams are too slow or whose memory is full, though its time to the first event is short.
#[test]
fn region_without_room_gets_no_forwards() {
    let fleet = fleet_with_pauses(1, &["e-0"], 420);
    let is_forwarded = |room: &ServiceRoom| {
        let placement = place(PlacementContext {
            queue_ms: 900.0,
            remote: Some(offer_with(room)),
            ..context_at(&fleet, &long_prompt(), gap_goal())
        });
        matches!(placement, Placement::Forward(_))
    };

    assert!(is_forwarded(&room(120, 900_000, 200_000)));
    assert!(!is_forwarded(&room(390, 900_000, 200_000)));
    assert!(!is_forwarded(&room(120, 900_000, 12_000)));
    assert!(!is_forwarded(&room(120, 12_000, 12_400)));
}

/// Guards against requests that are held for the streams of their region, which cost little there,
/// while another region has room.
#[test]
fn held_request_moves_to_a_region_with_room() {
    let paused = fleet_with_pauses(1, &["e-0"], 420);
    let full = fleet_with_memory(1, "e-0", 382_000);
    let free = fleet_with_pauses(1, &[], 0);
    let placed = |fleet: &Fleet, remote: RemoteOffer| {
        place(PlacementContext {
            remote: Some(remote),
            ..context_at(fleet, &long_prompt(), gap_goal())
        })
    };
    let with_room = RemoteOffer {
        cost_ms: 100_000.0,
        ..offer_with(&room(120, 900_000, 200_000))
    };
    let unknown = RemoteOffer {
        room: RemoteRoom::Unknown,
        ..with_room.clone()
    };

    for held in [&paused, &full] {
        let placement = placed(held, with_room.clone());
        assert!(matches!(placement, Placement::Forward(_)), "{placement:?}");
        assert_eq!(placed(held, unknown.clone()), Placement::Wait);
    }
    assert!(matches!(placed(&free, with_room), Placement::Send(_)));
}

/// The endpoints of a region are lost while the others are loaded. Guards against requests that are
/// refused though another region could serve them with some long pauses.
#[test]
fn request_without_an_endpoint_goes_to_a_region_without_room() {
    let lost = PlacementContext {
        local: None,
        remote: Some(offer_with(&room(390, 0, 0))),
        ..placement_context()
    };

    let placement = place(lost);

    assert!(matches!(placement, Placement::Forward(_)), "{placement:?}");
}

/// Guards against the cheaper one of two regions that has no room, while the other one has.
#[test]
fn region_with_room_is_preferred() {
    let full = RemoteOffer {
        cost_ms: 1.0,
        ..offer_with(&room(390, 0, 0))
    };
    let free = offer_with(&room(120, 900_000, 200_000));

    assert_eq!(free.compare(&full), Ordering::Less);
}

/// Several hosts forward to the region that stated room. Guards against all of them sending until
/// the next statement, and against a statement that is too old.
#[test]
fn room_of_a_region_shrinks_with_forwards_and_lapses() {
    let address = "10.0.0.1:80".parse().expect("an address");
    let mut hosts = Hosts::new(HostInfo {
        name: "host-0".into(),
        region: "north".into(),
        data_centre: "north-a".into(),
        caller_address: address,
        peer_address: address,
        capacity: 1,
    });
    let stated = |region: &str| RegionRoom {
        region: region.into(),
        services: vec![room(120, 100_000, 50_000)],
    };
    hosts.apply_region_room(stated("south"), 1_000);
    hosts.apply_region_room(stated("north"), 1_000);

    hosts.record_remote_memory("south", "model", 12_000);

    let free = |region: &str, now_ms| {
        let known = hosts.remote_room(region, "model", 4, now_ms);
        known.map(|room| room.free_tokens)
    };
    assert_eq!(free("south", 1_500), Some(52_000));
    assert_eq!(free("south", 3_600), None);
    assert_eq!(free("north", 1_500), None);
}

/// Guards against a region that states room by the latest streams of endpoints that are idle, or
/// states memory that running requests will need.
#[test]
fn room_of_a_region_is_that_of_its_endpoints() {
    let paused = fleet_with_pauses(2, &["e-0"], 400);
    let idle = fleet_of(2);
    let large = {
        let mut fleet = fleet_of(2);
        let endpoint = fleet.get_mut("e-0").expect("the endpoint");
        let work = Work {
            uncached_tokens: 0,
            reserved_tokens: 300_000,
        };
        endpoint.record_send(work, 1_000);
        fleet
    };

    let room_of = |fleet: &Fleet| fleet.room(&model(), 1_000).expect("room");

    assert_eq!(room_of(&paused).pause_ms, 250);
    assert_eq!(room_of(&idle).pause_ms, 0);
    assert_eq!(room_of(&idle).largest_free_tokens, 382_500);
    assert_eq!(room_of(&large).free_tokens, 382_500 + 82_500);
    assert_eq!(fleet_of(0).room(&model(), 1_000), None);
}

/// Guards against a packet that the build before takes for one that it knows: its variants keep
/// their numbers, of which the last one is 9.
#[test]
fn room_travels_in_a_packet_of_its_own() {
    let packet = Packet::RegionRoom(RegionRoom {
        region: "south".into(),
        services: vec![room(120, 900_000, 200_000)],
    });

    let bytes = postcard::to_allocvec(&packet).expect("it is encoded");
    let read: Packet = postcard::from_bytes(&bytes).expect("it is decoded");

    assert_eq!(bytes[0], 10);
    assert_eq!(read, packet);
}
