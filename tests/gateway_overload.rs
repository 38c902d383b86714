//! Who is refused while more prompts arrive than a region can prefill.
//!
//! A model of one host and the engines of its region plays the load. An engine prefills one
//! prompt after the other, the most urgent of those that wait first, as the platform's engines
//! do. Callers come back once, after the time that a refusal names.

use std::collections::BTreeMap;

use cardamombridge::{
    gateway::{
        admission::{
            Placement,
            PlacementContext,
            place,
            returning_allowance_ms, //
        },
        bound::ColdBounds,
        configuration::{
            Engine,
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
        hosts::RegionView,
        request::{
            PromptPart,
            RequestMetadata, //
        },
        request_sizes::RequestSizes, //
    },
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

const ENDPOINT_COUNT: usize = 4;
/// Prefill speed of the platform's engines beside the steps of streams.
const TOKENS_PER_MS: f64 = 45.0;
/// Time of a stream after its first event.
const STREAM_MS: u64 = 1_500;
const PLAY_MS: u64 = 20_000;
/// Arriving prompt tokens relative to what the endpoints can prefill: a heavy burst.
const OVERLOAD: f64 = 1.8;

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    priority: u8,
    goal_ms: u64,
    deadline_ms: u64,
    mean_tokens: f64,
    /// Share of all requests.
    share: f64,
}

/// The platform's mix: long quotes are the least urgent and most of the work.
const KINDS: [Kind; 3] = [
    Kind {
        name: "tag",
        priority: 0,
        goal_ms: 800,
        deadline_ms: 3_000,
        mean_tokens: 2_400.0,
        share: 0.4,
    },
    Kind {
        name: "question",
        priority: 1,
        goal_ms: 800,
        deadline_ms: 12_000,
        mean_tokens: 800.0,
        share: 0.3,
    },
    Kind {
        name: "quote",
        priority: 2,
        goal_ms: 1_200,
        deadline_ms: 15_000,
        mean_tokens: 12_000.0,
        share: 0.3,
    },
];

/// A request of a caller, over all its attempts.
struct Call {
    kind: Kind,
    metadata: RequestMetadata,
    first_ms: u64,
    arrived_ms: u64,
    allowance_ms: u64,
    attempt_count: u32,
    choice: Option<(Choice, u64)>,
    is_served: bool,
}

impl Call {
    fn goal_ms(&self) -> u64 {
        self.kind.goal_ms + self.allowance_ms
    }

    fn goal_left_ms(&self, now_ms: u64) -> f64 {
        (self.arrived_ms + self.goal_ms()).saturating_sub(now_ms) as f64
    }

    fn time_left_ms(&self, now_ms: u64) -> f64 {
        (self.first_ms + self.kind.deadline_ms).saturating_sub(now_ms) as f64
    }

    fn rank(&self, index: usize) -> (u8, u64, usize) {
        (self.kind.priority, self.arrived_ms, index)
    }
}

/// Prompts at one engine.
#[derive(Default)]
struct EngineModel {
    waiting: Vec<usize>,
    prefilled: Option<usize>,
    tokens_left: f64,
}

struct Region {
    fleet: Fleet,
    sizes: RequestSizes,
    engines: BTreeMap<CompactString, EngineModel>,
    calls: Vec<Call>,
    queue: Vec<usize>,
    /// Calls that come back, and streams that end, by time.
    returns: BTreeMap<u64, Vec<usize>>,
    ends: BTreeMap<u64, Vec<(CompactString, Work)>>,
}

fn model() -> Service {
    Service {
        name: "model".into(),
        health_path: None,
        cold_ms: 0,
        cold_per_s: 0.0,
        engine: Some(Engine {
            slots: 64,
            memory_tokens: 4_000_000,
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
        slots: 64,
        stage: Stage::Ready,
        cold_left_ms: 0,
        remaining_ms: None,
        order: AnnouncementOrder {
            started_ms: 1,
            sequence: 1,
        },
    }
}

/// Returns calls that arrive over [`PLAY_MS`], with sizes spread as in the users' traffic.
fn calls(seed: u64) -> Vec<Call> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mean_tokens: f64 = KINDS.iter().map(|kind| kind.share * kind.mean_tokens).sum();
    let capacity_per_ms = ENDPOINT_COUNT as f64 * TOKENS_PER_MS;
    let per_ms = OVERLOAD * capacity_per_ms / mean_tokens;
    let count = (per_ms * PLAY_MS as f64) as u64;
    let mut calls: Vec<Call> = (0..count)
        .map(|number| {
            let drawn: f64 = random.random();
            let kind = if drawn < KINDS[0].share {
                KINDS[0]
            } else if drawn < KINDS[0].share + KINDS[1].share {
                KINDS[1]
            } else {
                KINDS[2]
            };
            let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            // The mean of exp(0.8 z) is exp(0.32).
            let tokens = (kind.mean_tokens * (0.8 * normal - 0.32).exp()) as u64;
            let at_ms = random.random_range(0..PLAY_MS);
            Call {
                kind,
                metadata: RequestMetadata {
                    prompt_tokens: Tokens(tokens),
                    max_output_tokens: Tokens(300),
                    parts: vec![PromptPart {
                        id: number,
                        tokens: Tokens(tokens),
                    }],
                    ..RequestMetadata::default()
                },
                first_ms: at_ms,
                arrived_ms: at_ms,
                allowance_ms: 0,
                attempt_count: 0,
                choice: None,
                is_served: false,
            }
        })
        .collect();
    calls.sort_by_key(|call| call.arrived_ms);
    calls
}

impl Region {
    fn new(seed: u64) -> Self {
        let regions = BTreeMap::from([("north-a".into(), "north".into())]);
        let cold = ColdBounds {
            factor: 1.5,
            slack: 3.0,
        };
        let mut fleet = Fleet::new("north".into(), regions, cold);
        let names = (0..ENDPOINT_COUNT).map(|number| format_compact!("e-{number}"));
        let names: Vec<CompactString> = names.collect();
        for name in &names {
            assert!(fleet.apply_announcement(name, announcement(), 0));
        }
        let engines = names
            .into_iter()
            .map(|name| (name, EngineModel::default()))
            .collect();
        Self {
            fleet,
            sizes: RequestSizes::default(),
            engines,
            calls: calls(seed),
            queue: Vec::new(),
            returns: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Plays all calls, until the last of them has ended.
    fn play(mut self) -> Vec<Call> {
        let mut next = 0;
        for now_ms in 0..PLAY_MS + 20_000 {
            for index in self.returns.remove(&now_ms).unwrap_or_default() {
                self.arrive(index, now_ms);
            }
            while next < self.calls.len() && self.calls[next].arrived_ms <= now_ms {
                self.arrive(next, now_ms);
                next += 1;
            }
            self.place_waiting(now_ms);
            self.run_engines(now_ms);
            for (endpoint, work) in self.ends.remove(&now_ms).unwrap_or_default() {
                let endpoint = self.fleet.get_mut(&endpoint).expect("the endpoint");
                endpoint.record_end(work, true);
            }
        }
        self.calls
    }

    fn arrive(&mut self, index: usize, now_ms: u64) {
        let prefill_ms = self.fleet.mean_prefill_ms_per_token(&model(), now_ms);
        let call = &mut self.calls[index];
        call.arrived_ms = now_ms;
        let prompt = call.metadata.prompt_tokens;
        let limit_ms = call.time_left_ms(now_ms) as u64;
        call.metadata.time_limit_ms = Some(limit_ms);
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
        for index in waiting {
            self.place(index, now_ms);
        }
    }

    fn context(&self, index: usize, now_ms: u64) -> PlacementContext {
        let service = model();
        let call = &self.calls[index];
        let rank = call.rank(index);
        let ahead = self.queue.iter().filter(|other| **other != index);
        let ahead = ahead.filter(|other| self.calls[**other].rank(**other) <= rank);
        let ahead_ms = ahead
            .map(|other| {
                let metadata = &self.calls[*other].metadata;
                self.fleet.service_ms(&service, metadata, now_ms)
            })
            .sum::<f64>();
        let view = RegionView { host_count: 1 };
        let query = EndpointQuery {
            share_ahead: self.fleet.share_ahead(&service, Some(call.kind.priority)),
            goal_left_ms: call.goal_left_ms(now_ms),
            time_left_ms: call.time_left_ms(now_ms),
            ..EndpointQuery::new(&service, &call.metadata, &view)
        };
        PlacementContext {
            local: self.fleet.choose(&query, now_ms),
            queue_ms: ahead_ms / ENDPOINT_COUNT as f64,
            remote: None,
            goal_left_ms: query.goal_left_ms,
            goal_ms: call.goal_ms() as f64,
            time_left_ms: query.time_left_ms,
            usual_run_ms: STREAM_MS as f64,
            is_waiting: self.queue.contains(&index),
            has_run: false,
            usable_in_ms: None,
            unwanted_for_ms: None,
            limited: None,
            is_cut_off: false,
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
        let prefill = Tokens(choice.work.uncached_tokens);
        let priority = Some(call.kind.priority);
        self.fleet
            .record_prefill(&"model".into(), priority, prefill, now_ms);
        let engine = self.engines.get_mut(&choice.endpoint).expect("the engine");
        engine.waiting.push(index);
        call.choice = Some((choice, now_ms));
    }

    /// Prefills for a millisecond at each engine.
    fn run_engines(&mut self, now_ms: u64) {
        let mut begun = Vec::new();
        for engine in self.engines.values_mut() {
            let mut tokens = TOKENS_PER_MS;
            while tokens > 0.0 {
                if engine.prefilled.is_none() {
                    let calls = &self.calls;
                    let first = engine.waiting.iter().copied();
                    let first = first.min_by_key(|index| calls[*index].rank(*index));
                    let Some(first) = first else {
                        break;
                    };
                    engine.waiting.retain(|index| *index != first);
                    engine.tokens_left = calls[first].metadata.prompt_tokens.0 as f64;
                    engine.prefilled = Some(first);
                }
                let used = tokens.min(engine.tokens_left);
                engine.tokens_left -= used;
                tokens -= used;
                if engine.tokens_left <= 0.0 {
                    begun.extend(engine.prefilled.take());
                }
            }
        }
        for index in begun {
            self.begin_stream(index, now_ms);
        }
    }

    fn begin_stream(&mut self, index: usize, now_ms: u64) {
        let call = &mut self.calls[index];
        let (choice, sent_ms) = call.choice.clone().expect("the call was sent");
        call.is_served = call.time_left_ms(now_ms) > 0.0;
        let actual_ms = (now_ms - sent_ms) as f64;
        let endpoint = self.fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_first_event(choice.work);
        endpoint.record_success(actual_ms, choice.first_event_ms);
        let end = (choice.endpoint, choice.work);
        self.ends.entry(now_ms + STREAM_MS).or_default().push(end);
    }
}

/// Returns the calls of a kind, the smallest first.
fn by_size<'a>(calls: &'a [Call], name: &str) -> Vec<&'a Call> {
    let mut calls: Vec<&Call> = calls.iter().filter(|call| call.kind.name == name).collect();
    calls.sort_by_key(|call| call.metadata.prompt_tokens);
    calls
}

fn served_share(calls: &[&Call]) -> f64 {
    let served = calls.iter().filter(|call| call.is_served).count();
    served as f64 / calls.len() as f64
}

/// Guards against a burst in which the largest prompts are refused at each attempt.
#[test]
fn large_prompts_are_served_half_as_often_as_all() {
    for seed in 1..=3 {
        let calls = Region::new(seed).play();

        for kind in &KINDS {
            let sorted = by_size(&calls, kind.name);
            let (fifth, tenth) = (sorted.len() * 7 / 10, sorted.len() * 9 / 10);
            let [fifth, tenth, all] =
                [&sorted[fifth..tenth], &sorted[tenth..], &sorted].map(served_share);

            // The users ask for half.
            assert!(tenth >= all / 2.0, "{seed} {}: {tenth} of {all}", kind.name);
            assert!(fifth >= all / 2.0, "{seed} {}: {fifth} of {all}", kind.name);
        }
    }
}

/// Guards against refusals of urgent prompts because of work that the engine does after them.
#[test]
fn urgent_requests_are_served_at_least_as_often_as_less_urgent_ones() {
    for seed in 1..=3 {
        let calls = Region::new(seed).play();

        let [tag, question, quote] =
            ["tag", "question", "quote"].map(|name| served_share(&by_size(&calls, name)));

        // The users allow a difference of 5 in 100.
        assert!(tag >= question - 0.05, "{seed}: {tag} of {question}");
        assert!(tag >= quote - 0.05, "{seed}: {tag} of {quote}");
        assert!(question >= quote - 0.05, "{seed}: {question} of {quote}");
    }
}
