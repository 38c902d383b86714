//! Which prompt part or request is blamed for the crashes of endpoints, and for how long.

use std::collections::BTreeSet;

use cardamombridge::{
    gateway::{
        crash_records::{
            CrashId,
            CrashRecords,
            PartId,
            RequestHash,
            Suspect,
            Suspects, //
        },
        request::PromptPart, //
    },
    types::Tokens,
};

const FIRST: u64 = 1;
const BAD: u64 = 2;
const NEIGHBOUR: u64 = 3;
const MINUTE_MS: u64 = 60_000;

const OWN: u64 = 4;
/// Time between the send of a request and the crash of its endpoint.
const RUN_MS: u64 = 50;

fn parts(ids: &[u64]) -> Vec<Suspect> {
    ids.iter().map(|id| Suspect::Part(PartId(*id))).collect()
}

/// Returns the suspects of a request whose last prompt part is its own.
fn suspects(ids: &[u64], request: u64) -> Suspects {
    let parts = ids.iter().map(|id| PromptPart {
        id: *id,
        tokens: Tokens(100),
    });
    Suspects::new(&parts.collect::<Vec<_>>(), RequestHash(request))
}

/// Records the crash of an endpoint by a request that was sent shortly before.
fn record(records: &mut CrashRecords, suspects: &[Suspect], endpoint: u64, at_ms: u64) {
    let crash = CrashId::new(&format!("e-{endpoint}"), 1);
    records.record_crash(suspects, crash, at_ms - RUN_MS, at_ms);
}

/// Returns records of crashes, two seconds apart, of requests with these parts.
fn records_of(crashes: &[&[u64]]) -> CrashRecords {
    let mut records = CrashRecords::new();
    for (number, ids) in (0..).zip(crashes) {
        record(&mut records, &parts(ids), number, 1_000 + 2_000 * number);
    }
    records
}

fn is_refused(records: &CrashRecords, ids: &[u64], now_ms: u64) -> bool {
    records.refused(&parts(ids), now_ms).is_some()
}

/// Guards against parts that are refused because they came with the crashing one.
#[test]
fn parts_beside_a_crashing_one_are_not_refused() {
    let mut records = records_of(&[[FIRST, NEIGHBOUR, BAD].as_slice(); 3]);
    assert!(is_refused(&records, &[FIRST, NEIGHBOUR, BAD], 6_000));
    assert!(!is_refused(&records, &[FIRST, NEIGHBOUR], 6_000));

    records.record_sound(&parts(&[FIRST, NEIGHBOUR]), 6_000);

    assert!(is_refused(&records, &[FIRST, BAD], 6_500));
    assert!(!is_refused(&records, &[FIRST, NEIGHBOUR], 6_500));
}

/// Guards against a crashing part that is never blamed alone because of its neighbours.
#[test]
fn part_that_crashes_without_its_neighbours_is_refused_alone() {
    let with_neighbour: &[u64] = &[NEIGHBOUR, BAD];
    let records = records_of(&[with_neighbour, with_neighbour, with_neighbour, &[BAD]]);

    assert!(is_refused(&records, &[BAD], 8_000));
    assert!(!is_refused(&records, &[NEIGHBOUR], 8_000));
}

/// Guards against a part that is blamed although requests with it run well.
#[test]
fn part_with_a_sound_request_is_not_blamed() {
    let mut records = CrashRecords::new();
    records.record_sound(&parts(&[FIRST]), 1_000);
    for number in 0..4 {
        record(
            &mut records,
            &parts(&[FIRST, BAD]),
            number,
            2_000 + 2_000 * number,
        );
    }

    assert_eq!(
        records.refused(&parts(&[FIRST, BAD]), 9_000),
        Some(Suspect::Part(PartId(BAD)))
    );
    assert!(!records.is_suspect(&parts(&[FIRST])));
}

/// Guards against a part that is blamed because many endpoints end at the same time.
#[test]
fn crashes_at_the_same_time_count_as_one() {
    let mut records = CrashRecords::new();
    for number in 0..10 {
        record(&mut records, &parts(&[BAD]), number, 1_000 + 40 * number);
    }

    assert!(!is_refused(&records, &[BAD], 2_000));
}

/// Guards against a belief that never ends, and against one that ends as soon after each
/// further crash.
#[test]
fn refusals_end_and_last_longer_after_each_crash() {
    let mut records = records_of(&[[BAD].as_slice(); 3]);
    assert!(is_refused(&records, &[BAD], 5_000 + MINUTE_MS - 1));
    assert!(!is_refused(&records, &[BAD], 5_000 + MINUTE_MS));

    record(&mut records, &parts(&[BAD]), 9, 5_000 + MINUTE_MS);

    assert!(is_refused(&records, &[BAD], 5_000 + 3 * MINUTE_MS - 1));
    assert!(!is_refused(&records, &[BAD], 5_000 + 3 * MINUTE_MS));
}

/// Guards against reports that are lost, repeated or out of order and leave hosts with
/// different beliefs.
#[test]
fn reports_in_any_order_lead_to_the_same_belief() {
    let mut sender = records_of(&[[FIRST, BAD].as_slice(); 3]);
    let early = sender.all(40, 6_000);
    sender.record_sound(&parts(&[FIRST]), 6_000);
    let late = sender.all(40, 6_000);
    let mut receiver = CrashRecords::new();

    for report in late.iter().rev().chain(&early).chain(&late) {
        receiver.apply(*report, true, 6_050);
    }

    assert!(is_refused(&receiver, &[FIRST, BAD], 7_000));
    assert!(!is_refused(&receiver, &[FIRST], 7_000));
    assert_eq!(receiver.take_local(40, 7_000).len(), early.len());
}

/// Guards against hosts that remind each other of a crash for ever.
#[test]
fn old_crashes_are_not_reported() {
    let mut records = records_of(&[[BAD].as_slice()]);

    assert_eq!(records.all(40, 1_000 + 5 * MINUTE_MS).len(), 1);
    assert!(records.all(40, 1_000 + 10 * MINUTE_MS).is_empty());
    records.expire(1_000 + 10 * MINUTE_MS);

    assert!(records.is_empty());
}

/// Guards against the repeat of a request whose crash counts as the same one.
#[test]
fn repeat_that_ends_the_next_endpoint_counts() {
    let mut records = CrashRecords::new();
    let own = suspects(&[], OWN);

    for number in 0..3 {
        record(&mut records, own.all(), number, 1_000 + RUN_MS * number);
    }

    assert!(records.refused(own.all(), 1_200).is_some());
}

/// Guards against parts that are refused because one request with them crashes endpoints.
#[test]
fn parts_of_a_crashing_request_are_not_refused() {
    let mut records = CrashRecords::new();
    let bad = suspects(&[FIRST, NEIGHBOUR, OWN], 1);
    for number in 0..3 {
        record(&mut records, bad.all(), number, 1_000 + 2_000 * number);
    }

    let other = suspects(&[FIRST, NEIGHBOUR, OWN + 1], 2);

    assert!(records.refused(bad.all(), 6_000).is_some());
    assert_eq!(records.refused(other.all(), 6_000), None);
}

/// Guards against requests that are told apart although one part crashes endpoints.
#[test]
fn part_is_refused_in_requests_that_differ_otherwise() {
    let mut records = CrashRecords::new();
    for number in 0..3 {
        let request = suspects(&[FIRST, BAD, OWN + number], number);
        record(&mut records, request.all(), number, 1_000 + 2_000 * number);
    }
    records.record_sound(&parts(&[FIRST]), 6_000);

    let next = suspects(&[FIRST, BAD, OWN + 9], 9);

    let bad = Suspect::Part(PartId(BAD));
    assert_eq!(records.refused(next.all(), 6_000), Some(bad));
}

/// Guards against a request that comes once a minute and is forgotten in between.
#[test]
fn rare_request_is_found() {
    let mut records = CrashRecords::new();
    let own = suspects(&[], OWN);

    for number in 0..3 {
        let at_ms = 1_000 + MINUTE_MS * number;
        records.expire(at_ms);
        record(&mut records, own.all(), number, at_ms);
    }

    assert!(records.refused(own.all(), 2_000 + 2 * MINUTE_MS).is_some());
}

/// Guards against suspects that cannot be read back from the store.
#[test]
fn suspects_are_read_as_they_are_written() {
    for suspect in [
        Suspect::Part(PartId(0x1f)),
        Suspect::Request(RequestHash(u64::MAX)),
        Suspect::Call(RequestHash(7)),
    ] {
        assert_eq!(suspect.to_string().parse(), Ok(suspect));
    }
    for text in ["", "1f", "part-", "part-x", "whole-1f"] {
        assert!(text.parse::<Suspect>().is_err(), "{text}");
    }
}

/// Guards against crashes of different endpoints, or starts, that count as the same one.
#[test]
fn crashes_of_short_ids_and_low_starts_differ() {
    let starts = (0..10).flat_map(|endpoint| (1..30).map(move |start| (endpoint, start)));

    let crashes: BTreeSet<CrashId> = starts
        .map(|(endpoint, start)| CrashId::new(&format!("e-{endpoint}"), start))
        .collect();

    assert_eq!(crashes.len(), 10 * 29);
}
