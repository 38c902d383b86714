//! Spending, waste, time limits and region summaries.

mod decision_fixture;

use std::sync::Arc;

use cardamombridge::{
    decision::{
        Gateway,
        budget::{
            Budget,
            Waste, //
        },
        event::{
            Action,
            AttemptOutcome,
            Event,
            RefusalReason, //
        },
        policy::Policy,
        view::HostInfo, //
    },
    intent::Intents,
    types::{
        Bytes,
        CallerId,
        CostMicros,
        Millis,
        RequestId,
        Revision,
        Tier,
        Tokens, //
    }, //
};
use decision_fixture::*;

fn spent(gateway: &Gateway) -> CostMicros {
    let ledger = gateway.budget().ledger(&id("wide"), START);
    ledger.unwrap_or_default().spent
}

/// Spends `each_second` micros per second for ten minutes and returns the amount of
/// the last grant request.
fn last_ask(each_second: u64) -> CostMicros {
    let (intents, policy) = (intents(), Policy::default());
    let caller: CallerId = id("wide");
    let intent = intents.caller(&caller).expect("caller");
    let mut budget = Budget::new();
    let mut last = CostMicros(0);
    budget.granted(&caller, START, CostMicros(1));
    for second in 0..600 {
        let now_ms = at(second * 1_000);
        let amount = CostMicros(each_second);
        if let Ok(mut reservation) = budget.reserve(now_ms, &caller, intent, amount, &policy) {
            budget.charge(now_ms, &mut reservation, amount, &policy);
            budget.release(reservation);
        }
        if let Some(asked) = budget.take_grant_request(now_ms, &caller, intent, &policy) {
            budget.granted(&caller, START, asked);
            last = asked;
        }
    }
    last
}

/// Guards against grants so large that one host ties up the budget, and so small
/// that the platform's service is asked for them all the time.
#[test]
fn grants_cover_about_five_minutes() {
    let steady = last_ask(1_000);

    assert!((200_000..=300_000).contains(&steady.0), "asked {steady}");
    assert_eq!(last_ask(10), Policy::default().grant_min);
    assert_eq!(last_ask(50_000), CostMicros(500_000));
}

/// Guards against grants of one period being spent in the next.
#[test]
fn grants_expire_with_their_period() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 8)]);
    let event = Event::Arrived(arrival(1, "wide", at(1_030_000)));

    let actions = run(&mut gateway, at(1_000_000), event);

    assert!(
        matches!(actions[..], [Action::RequestGrant { .. }]),
        "{actions:?}"
    );
}

/// Guards against charges and waste that do not match the attempts made.
#[test]
fn costs_and_waste_are_counted() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 8)]);
    let ask = |number| Event::Arrived(arrival(number, "wide", at(30_000)));
    let cached = AttemptOutcome::Complete {
        output_tokens: Tokens(100),
        cached_tokens: Tokens(512),
    };
    let disconnected = AttemptOutcome::CallerDisconnected {
        wasted_tokens: Tokens(30),
    };

    run(&mut gateway, at(0), ask(1));
    run(&mut gateway, at(10), ended(1, 0, cached));
    // 100 tokens at 1,000 per thousand; the prompt was cached.
    assert_eq!(spent(&gateway), CostMicros(100));
    run(&mut gateway, at(20), ask(2));
    run(&mut gateway, at(30), ended(2, 0, disconnected));
    // 512 prompt tokens at 100 per thousand and 30 generated ones, rounded up.
    assert_eq!(spent(&gateway), CostMicros(182));
    run(
        &mut gateway,
        at(40),
        Event::Summary(summary("zapad", at(40), 100, 0)),
    );
    run(&mut gateway, at(40), listed(Vec::new()));
    run(&mut gateway, at(50), ask(3));
    run(&mut gateway, at(900), ended(3, 0, complete()));

    let waste = Waste {
        retries: 0,
        cancelled_tokens: Tokens(30),
        inter_region_bytes: Bytes(2_048 + 100 * 200),
    };
    assert_eq!(gateway.waste(), waste);
}

/// Guards against a retry of an interrupted request without a reservation of its
/// own.
#[test]
fn each_attempt_reserves_its_cost() {
    let mut gateway = gateway(1, Policy::default());
    run(&mut gateway, START, Event::InForce(intents()));
    run(&mut gateway, START, listed(vec![endpoint("e1", 8)]));
    // One complete attempt costs 452.
    run(&mut gateway, START, granted("wide", 500));
    let interrupted = AttemptOutcome::Interrupted {
        delivered_tokens: Tokens(400),
    };

    let event = Event::Arrived(arrival(1, "wide", at(30_000)));
    run(&mut gateway, START, event);
    let mut actions = run(&mut gateway, at(10), ended(1, 0, interrupted));
    actions.extend(run(&mut gateway, at(200), Event::Tick));
    let paid = run(&mut gateway, at(300), granted("wide", 500));

    assert!(!actions.iter().any(|one| matches!(one, Action::Send { .. })));
    assert!(matches!(paid[..], [.., Action::Send { .. }]), "{paid:?}");
}

/// Guards against requests that wait until their deadline because the reply to a
/// grant request was lost.
#[test]
fn wait_for_a_lost_grant_is_bounded() {
    let mut gateway = gateway(1, Policy::default());
    run(&mut gateway, START, Event::InForce(intents()));
    run(&mut gateway, START, listed(vec![endpoint("e1", 8)]));
    let event = Event::Arrived(arrival(1, "wide", at(30_000)));
    run(&mut gateway, START, event);

    let early = run(&mut gateway, at(1_999), Event::Tick);
    let due = run(&mut gateway, at(2_000), Event::Tick);

    assert!(early.is_empty(), "{early:?}");
    assert!(matches!(due[..], [Action::Send { .. }]), "{due:?}");
}

/// Guards against a request whose id is in use affecting the first request.
#[test]
fn id_in_use_is_ignored() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 8)]);
    let event = Event::Arrived(arrival(1, "wide", at(30_000)));
    run(&mut gateway, at(0), event.clone());

    let again = run(&mut gateway, at(10), event);

    assert!(again.is_empty(), "{again:?}");
    assert_eq!(gateway.open_requests(), 1);
}

/// Guards against an unbounded queue: its length is limited by the deadline, the
/// predicted wait and the configured length.
#[test]
fn queue_is_bounded() {
    let admitted = |policy| {
        let mut gateway = ready(1, policy, vec![endpoint("e1", 1)]);
        for number in 1..=60 {
            let event = Event::Arrived(arrival(number, "bound", at(60_000)));
            run(&mut gateway, at(0), event);
        }
        assert_eq!(gateway.waiting_requests() + 1, gateway.open_requests());
        gateway.waiting_requests()
    };
    let policy = Policy::default;

    // One request leaves every 2.4 s and runs for 2.1 s; all are due in 60 s.
    assert_eq!(admitted(policy()), 12);
    assert_eq!(
        admitted(Policy {
            max_queue_wait_ms: Millis(90_000),
            ..policy()
        }),
        24
    );
    assert_eq!(
        admitted(Policy {
            max_queue_len: 7,
            ..policy()
        }),
        7
    );
}

/// Guards against requests that outlive the longest deadline of their caller.
#[test]
fn deadline_is_bounded_by_the_intent() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 8)]);
    let event = Event::Arrived(arrival(1, "wide", at(900_000)));
    run(&mut gateway, at(0), event);

    let early = run(&mut gateway, at(59_999), Event::Tick);
    let due = run(&mut gateway, at(60_000), Event::Tick);

    assert!(early.is_empty(), "{early:?}");
    assert!(matches!(
        due[..],
        [Action::Cancel { .. }, Action::Refuse { .. }]
    ));
}

/// Guards against a request waiting until its deadline although the queue ahead of
/// it does not drain.
#[test]
fn stuck_queue_refuses_what_cannot_finish() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 1)]);
    for (number, tier, deadline_ms) in [
        (1, Tier::Default, 60_000),
        (2, Tier::Priority, 60_000),
        (3, Tier::Default, 12_000),
    ] {
        let mut arrival = arrival(number, "bound", at(deadline_ms));
        arrival.tier = tier;
        run(&mut gateway, at(0), Event::Arrived(arrival));
    }

    let refused = (0..9_000).step_by(50).find_map(|ms| {
        let actions = run(&mut gateway, at(ms), Event::Tick);
        actions.into_iter().next()
    });

    let Some(Action::Refuse { request, refusal }) = refused else {
        panic!("expected a refusal, got {refused:?}");
    };
    assert_eq!(request, RequestId(3));
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
}

/// Guards against an older configuration replacing a newer one.
#[test]
fn older_configuration_is_ignored() {
    let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 8)]);

    run(
        &mut gateway,
        at(0),
        Event::InForce(Arc::new(Intents::new())),
    );

    let known = gateway.intents().expect("configuration");
    assert_eq!(known.revision, Revision(5));
}

/// Guards against the local region keeping all requests at once when it recovers
/// with cold caches.
#[test]
fn recovering_local_region_forwards_requests() {
    let is_forwarded = |is_recovering| {
        let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 64)]);
        run(&mut gateway, at(0), Event::Tick);
        if is_recovering {
            run(&mut gateway, at(10), listed(Vec::new()));
            run(&mut gateway, at(20), Event::Tick);
            run(&mut gateway, at(30), listed(vec![endpoint("e1", 64)]));
            run(&mut gateway, at(40), Event::Tick);
        }
        run(
            &mut gateway,
            at(50),
            Event::Report(report("e1", at(50), 10)),
        );
        run(
            &mut gateway,
            at(50),
            Event::Summary(summary("zapad", at(50), 100, 0)),
        );
        let event = Event::Arrived(arrival(1, "wide", at(30_000)));
        let actions = run(&mut gateway, at(50), event);
        matches!(actions[..], [Action::Forward { .. }])
    };

    assert!(is_forwarded(true));
    assert!(!is_forwarded(false));
}

/// Guards against summaries with hosts or capacity that other regions cannot use,
/// or with a revision that not all hosts have in force.
#[test]
fn summary_contains_only_usable_hosts_and_capacity() {
    let mut old = endpoint("e2", 100);
    old.version = "v1".into();
    let mut leaving = endpoint("e3", 100);
    leaving.is_leaving = true;
    let endpoints = vec![endpoint("e1", 8), old, leaving];
    let mut gateway = ready(1, Policy::default(), endpoints.clone());
    let mut behind = heartbeat("h2", 1, 3);
    behind.revision = Revision(4);
    let mut starting = heartbeat("h3", 1, 0);
    starting.is_ready = false;
    for beat in [
        heartbeat("h1", 1, 9),
        behind,
        starting,
        heartbeat("h4", 1, 1),
    ] {
        run(&mut gateway, START, Event::Heartbeat(beat));
    }
    let hosts = vec![HostInfo {
        id: id("h4"),
        region: id("stred"),
        peer_address: heartbeat("h4", 1, 0).peer_address,
        is_leaving: true,
    }];
    run(&mut gateway, START, Event::Listed { endpoints, hosts });
    run(&mut gateway, START, Event::Report(report("e1", START, 3)));

    let summary = gateway.region_summary(START).expect("configuration");

    let names: Vec<&str> = summary
        .hosts
        .iter()
        .map(|host| host.host.as_str())
        .collect();
    assert_eq!(names, ["h2", "h1"]);
    assert_eq!(summary.lowest_revision, Revision(4));
    let capacity: Vec<_> = summary
        .capacity
        .iter()
        .map(|one| (one.slots, one.busy))
        .collect();
    assert_eq!(capacity, [(8, 3)]);
    let entry = gateway.entry_list(START, &id("wide")).expect("caller");
    assert_eq!(entry.hosts.len(), 2);
    assert_eq!(entry.use_ms, Millis(30_000));
}
