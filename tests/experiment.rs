//! Guards against an experiment whose figures mean nothing: runs that differ
//! for the same seed, requests that vanish, and rules that a policy breaks.

use std::time::Duration;

use cardamombridge::{
    decision::policy::{
        Policy,
        Routing, //
    },
    experiment::{
        ROUTINGS,
        customer::{
            Customer,
            CustomerName, //
        },
        measure::{
            Fate,
            Measures, //
        },
        replay,
        workload::Workload,
        world::{
            FaultPlan,
            Replay,
            World, //
        }, //
    },
    types::{
        Bytes,
        Tokens, //
    }, //
};

const DAY: Duration = Duration::from_secs(60);

fn policy(routing: Routing) -> Policy {
    Policy {
        routing,
        ..Policy::default()
    }
}

fn faults() -> Option<FaultPlan> {
    Some(FaultPlan::default())
}

fn run(name: CustomerName, routing: Routing, seed: u64) -> (Workload, Replay) {
    let customer = Customer::new(name);
    let workload = Workload::new(&customer, seed, DAY);
    let replay = World::new(&customer, &workload, &policy(routing), seed, DAY, faults()).run();
    (workload, replay)
}

/// Guards against ambient randomness or an order that depends on hashing.
#[test]
fn the_same_seed_gives_the_same_actions_and_another_seed_others() {
    for routing in ROUTINGS {
        let result = |seed| {
            replay(
                CustomerName::Consorcio,
                &policy(routing),
                seed,
                DAY,
                faults(),
            )
        };

        let (first, again, other) = (result(3), result(3), result(4));

        assert_eq!(first, again, "{routing:?}");
        assert_ne!(first.measures.digest, other.measures.digest, "{routing:?}");
    }
}

/// Guards against a policy that the replay does not use.
#[test]
fn every_policy_decides_differently() {
    let digest = |routing| {
        let result = replay(CustomerName::Consorcio, &policy(routing), 3, DAY, faults());
        result.measures.digest
    };

    let mut digests: Vec<u64> = ROUTINGS.into_iter().map(digest).collect();
    digests.sort_unstable();
    digests.dedup();

    assert_eq!(digests.len(), ROUTINGS.len());
}

/// Guards against requests that vanish or are answered twice, and against
/// tokens or calls that come from nowhere.
#[test]
fn every_request_ends_once_and_nothing_is_made_up() {
    for seed in 5..8 {
        for name in [CustomerName::Drevoton, CustomerName::Consorcio] {
            for routing in ROUTINGS {
                check_accounts(name, routing, seed);
            }
        }
    }
}

fn check_accounts(name: CustomerName, routing: Routing, seed: u64) {
    let (workload, replay) = run(name, routing, seed);

    let mut useful = Tokens(0);
    let mut delivered = Tokens(0);
    let mut calls = 0;
    for (job, trace) in workload.jobs.iter().zip(&replay.traces) {
        let which = format!("{name:?}, {routing:?}, seed {seed}: {job:?} {trace:?}");
        assert_eq!(trace.ends, 1, "{which}");
        let is_answered = matches!(trace.fate, Some(Fate::Answered { .. }));
        if is_answered {
            assert_eq!(trace.delivered, job.output, "{which}");
        }
        if job.is_order {
            assert!(trace.runs <= 1, "an order ran twice, {which}");
            calls += u64::from(trace.runs);
        } else {
            delivered = delivered + trace.delivered;
            useful = useful + Tokens(if is_answered { job.output.0 } else { 0 });
        }
    }
    let totals = &replay.totals;
    let measures = Measures::new(&workload.jobs, &replay.traces, totals);
    assert_eq!(measures.unfinished, 0);
    assert_eq!(measures.answered + measures.refused, measures.requests);
    assert!(delivered <= totals.generated && useful <= delivered);
    assert_eq!(totals.generated - useful, measures.wasted);
    assert!(
        totals.calls <= calls,
        "{} calls, {calls} runs",
        totals.calls
    );
}

/// Guards against a baseline or a policy that breaks the residency of callers,
/// and against bytes that are not counted.
#[test]
fn bound_callers_and_the_home_baseline_stay_home() {
    for routing in ROUTINGS {
        let (workload, replay) = run(CustomerName::Drevoton, routing, 5);

        let jobs = workload.jobs.iter().zip(&replay.traces);
        let is_bound = |caller: usize| workload.callers[caller].is_bound;
        let bound = jobs.clone().filter(|(job, _)| is_bound(job.caller));
        assert!(bound.clone().count() > 50);
        assert_eq!(bound.filter(|(_, trace)| trace.is_away).count(), 0);
        let away = jobs.filter(|(_, trace)| trace.is_away).count();
        assert_eq!(away > 0, routing != Routing::HomeOnly, "{routing:?}");
        assert_eq!(away > 0, replay.totals.wan > Bytes(0), "{routing:?}");
    }
}
