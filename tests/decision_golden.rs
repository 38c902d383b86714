//! Complete event sequences of one host, compared with recorded actions.
//!
//! Run with `UPDATE_EXPECT=1` to rewrite the files, and review the difference.

mod decision_fixture;

use cardamombridge::{
    decision::{
        event::{
            AttemptOutcome,
            Event, //
        },
        policy::Policy, //
    },
    types::{
        Incarnation,
        Millis,
        Tier,
        Tokens, //
    }, //
};
use decision_fixture::*;
use expect_test::{
    ExpectFile,
    expect_file, //
};

fn check(session: &Session, expected: ExpectFile) {
    expected.assert_eq(&session.text);
}

fn rejected(is_leaving: bool) -> AttemptOutcome {
    AttemptOutcome::Rejected {
        retry_after_ms: Some(Millis(300)),
        is_leaving,
    }
}

/// Guards against requests being lost or wrongly refused at startup, before the
/// configuration, the endpoint list and the first grant have arrived.
#[test]
fn start_of_a_host() {
    let mut session = Session::new(gateway(1, Policy::default()));
    let ask = |number| Event::Arrived(arrival(number, "wide", at(20_000)));

    session.step(0, "arrive 1 without configuration", ask(1));
    session.step(10, "configuration", Event::InForce(intents()));
    session.step(20, "list of e1", listed(vec![endpoint("e1", 4)]));
    session.step(30, "arrive 2 without grant", ask(2));
    session.step(40, "arrive 3 without grant", ask(3));
    session.step(60, "grant of 700", granted("wide", 700));
    session.step(90, "complete 2", ended(2, 0, complete()));
    session.step(100, "grant of 100000", granted("wide", 100_000));
    let foreign = Event::Arrived(arrival(4, "away", at(20_000)));
    session.step(110, "arrive 4 of a caller of zapad", foreign);
    let unknown = Event::Arrived(arrival(5, "nobody", at(20_000)));
    session.step(120, "arrive 5 of an unknown caller", unknown);
    let late = Event::Arrived(arrival(6, "wide", at(130)));
    session.step(130, "arrive 6 at its deadline", late);
    session.step(140, "leaving", Event::Leaving);
    session.step(150, "arrive 7", ask(7));
    session.step(160, "complete 3", ended(3, 0, complete()));

    check(&session, expect_file!["golden/start.txt"]);
    assert_eq!(session.gateway.open_requests(), 0);
}

/// Guards against more requests at an endpoint than it has slots, against a lower
/// tier overtaking a higher one, and against requests queued past their deadline.
#[test]
fn queue_by_tier() {
    let mut session = Session::new(ready(1, Policy::default(), vec![endpoint("e1", 1)]));
    let ask = |number, tier, deadline_ms| {
        let mut arrival = arrival(number, "bound", at(deadline_ms));
        arrival.tier = tier;
        Event::Arrived(arrival)
    };

    session.step(0, "arrive 1", ask(1, Tier::Default, 30_000));
    session.step(10, "arrive 2 flex", ask(2, Tier::Flex, 30_000));
    session.step(20, "arrive 3 default", ask(3, Tier::Default, 30_000));
    session.step(30, "arrive 4 priority", ask(4, Tier::Priority, 30_000));
    session.step(40, "arrive 5 due in 4 s", ask(5, Tier::Default, 4_040));
    session.step(50, "arrive 6 priority", ask(6, Tier::Priority, 30_000));
    let disconnected = AttemptOutcome::CallerDisconnected {
        wasted_tokens: Tokens(0),
    };
    session.step(60, "caller of 6 gone", ended(6, 0, disconnected));
    session.step(2_000, "complete 1", ended(1, 0, complete()));
    session.step(4_000, "complete 4", ended(4, 0, complete()));
    session.ticks(4_050, 30_000);
    session.step(
        30_010,
        "3 ends after it was cancelled",
        ended(3, 0, complete()),
    );

    check(&session, expect_file!["golden/queue.txt"]);
    assert_eq!(session.gateway.open_requests(), 0);
}

/// Guards against new requests to a leaving endpoint, whether the list, a report or
/// a refusal shows that it is leaving and even if lists arrive out of order, and
/// against an endpoint that stays marked after it has restarted.
#[test]
fn endpoint_leaves_and_returns() {
    let both = || vec![endpoint("e1", 8), endpoint("e2", 8)];
    let mut session = Session::new(ready(1, Policy::default(), both()));
    let ask = |number| Event::Arrived(arrival(number, "bound", at(60_000)));
    let mut leaving = both();
    leaving[0].is_leaving = true;
    let next_run = |name, ms, run| {
        let mut report = report(name, at(ms), 0);
        report.incarnation = Incarnation(run);
        Event::Report(report)
    };

    session.step(0, "report e1", Event::Report(report("e1", at(0), 0)));
    session.step(10, "list shows e1 leaving", listed(leaving.clone()));
    session.step(20, "arrive 1", ask(1));
    session.step(30, "old list shows e1 live", listed(both()));
    session.step(40, "report e1 live", Event::Report(report("e1", at(40), 0)));
    session.step(50, "arrive 2", ask(2));
    session.step(60, "e2 rejects 2, leaving", ended(2, 0, rejected(true)));
    session.ticks(100, 400);
    session.step(410, "new run of e1", next_run("e1", 410, 2));
    session.step(420, "old list shows e1 leaving", listed(leaving));
    session.step(430, "list shows both live", listed(both()));
    session.step(440, "newer run of e1", next_run("e1", 440, 3));
    session.step(450, "arrive 3", ask(3));
    session.step(460, "list drops e1", listed(vec![endpoint("e2", 8)]));
    session.step(470, "arrive 4", ask(4));
    session.step(480, "list shows both", listed(both()));
    let state = &session.gateway.view().endpoints[&id("e1")];
    let in_flight = state.in_flight();
    session.step(490, "complete 3", ended(3, 0, complete()));

    check(&session, expect_file!["golden/drain.txt"]);
    assert_eq!(in_flight, 1, "the list removed request 3 from the state");
}

/// Guards against forwarding while the local region is as fast, and against
/// forwarding to a region that is full, has an outdated summary or was unreachable.
#[test]
fn other_regions() {
    let mut session = Session::new(ready(1, Policy::default(), vec![endpoint("e1", 1)]));
    let ask = |number| Event::Arrived(arrival(number, "wide", at(20_000)));
    let sum = |region, ms, busy| Event::Summary(summary(region, at(ms), 100, busy));

    for number in 1..=4 {
        session.step(0, &format!("arrive {number} and end"), ask(number));
        run(&mut session.gateway, at(0), ended(number, 0, complete()));
    }
    session.step(10, "summary of zapad, half full", sum("zapad", 10, 50));
    session.step(20, "summary of sever, full", sum("sever", 20, 100));
    session.step(30, "arrive 5, home idle", ask(5));
    session.step(40, "arrive 6, home full", ask(6));
    session.step(50, "arrive 7, home full", ask(7));
    session.step(55, "arrive 8, cap reached", ask(8));
    session.step(
        60,
        "zapad not reached",
        ended(6, 0, AttemptOutcome::NotSent),
    );
    session.ticks(100, 500);
    session.step(600, "complete 5", ended(5, 0, complete()));
    session.step(610, "complete 8", ended(8, 0, complete()));
    session.step(620, "complete 6", ended(6, 1, complete()));
    session.step(4_000, "complete 7", ended(7, 0, complete()));
    session.step(4_010, "arrive 9, summaries too old", ask(9));
    session.step(4_020, "summary of zapad", sum("zapad", 4_020, 50));
    session.step(4_030, "list is empty", listed(Vec::new()));
    session.step(4_040, "arrive a, no endpoint at home", ask(10));
    let guest = forwarded(arrival(11, "wide", at(20_000)), &["stred", "zapad"]);
    session.step(4_050, "arrive b from zapad", Event::Arrived(guest));
    let bound = Event::Arrived(arrival(12, "bound", at(20_000)));
    session.step(4_060, "arrive c, bound to stred", bound);

    check(&session, expect_file!["golden/regions.txt"]);
}

/// Guards against retries of requests that may have run, retries at the endpoint
/// that failed, and unbounded retries.
#[test]
fn retries() {
    let endpoints = vec![endpoint("e1", 8), endpoint("e2", 8)];
    let mut session = Session::new(ready(1, Policy::default(), endpoints));
    let ask = |number| Event::Arrived(arrival(number, "bound", at(20_000)));
    let once = |number| {
        let mut arrival = arrival(number, "bound", at(20_000));
        arrival.is_repeatable = false;
        Event::Arrived(arrival)
    };
    let interrupted = || AttemptOutcome::Interrupted {
        delivered_tokens: Tokens(7),
    };

    session.step(0, "arrive 1", ask(1));
    session.step(10, "1 not sent", ended(1, 0, AttemptOutcome::NotSent));
    session.ticks(50, 100);
    session.step(110, "1 not sent", ended(1, 1, AttemptOutcome::NotSent));
    session.ticks(150, 300);
    session.step(310, "1 not sent", ended(1, 2, AttemptOutcome::NotSent));
    session.step(320, "arrive 2, not repeatable", once(2));
    session.step(330, "2 interrupted", ended(2, 0, interrupted()));
    session.step(340, "arrive 3", ask(3));
    session.step(350, "3 interrupted", ended(3, 0, interrupted()));
    session.ticks(400, 500);
    session.step(
        510,
        "late end of its first attempt",
        ended(3, 0, complete()),
    );
    assert_eq!(session.gateway.open_requests(), 1);
    session.step(520, "complete 3", ended(3, 1, complete()));

    check(&session, expect_file!["golden/retries.txt"]);
    assert_eq!(session.gateway.waste().retries, 3);
    assert_eq!(session.gateway.open_requests(), 0);
}

/// Guards against spending beyond grants and outage allowance, and against refusals
/// while an amount is available.
#[test]
fn spending() {
    let mut gateway = gateway(1, Policy::default());
    run(&mut gateway, START, Event::InForce(intents()));
    run(&mut gateway, START, listed(vec![endpoint("e1", 1_000)]));
    let mut session = Session::new(gateway);
    let ask = |number| {
        let mut arrival = arrival(number, "bound", at(20_000));
        arrival.max_output_tokens = Tokens(40_000);
        Event::Arrived(arrival)
    };
    let caller = || id("bound");
    let refused = Event::GrantRefused {
        caller: caller(),
        period_start_ms: START,
    };

    session.step(0, "arrive 1", ask(1));
    session.step(
        10,
        "unavailable",
        Event::GrantUnavailable { caller: caller() },
    );
    session.step(20, "arrive 2", ask(2));
    session.step(30, "arrive 3, allowance too small", ask(3));
    session.step(5_000, "arrive 4, asks again", ask(4));
    session.step(5_010, "grant of 100000", granted("bound", 100_000));
    session.step(5_020, "arrive 5", ask(5));
    session.step(5_030, "arrive 6", ask(6));
    session.step(5_040, "arrive 7", ask(7));
    session.step(5_050, "refused", refused);
    session.step(5_060, "complete 5", ended(5, 0, complete()));
    session.step(5_070, "arrive 8, with what 5 left", ask(8));

    check(&session, expect_file!["golden/spending.txt"]);
}
