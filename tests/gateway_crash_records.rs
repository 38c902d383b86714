//! Which prompt part is blamed for the crashes of endpoints, and for how long.

use cardamombridge::{
    gateway::{
        crash_records::{
            CrashId,
            CrashRecords,
            PartId, //
        },
        request::PromptPart, //
    },
    types::Tokens,
};

const FIRST: u64 = 1;
const BAD: u64 = 2;
const NEIGHBOUR: u64 = 3;
const MINUTE_MS: u64 = 60_000;

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter()
        .map(|id| PromptPart {
            id: *id,
            tokens: Tokens(100),
        })
        .collect()
}

/// Returns records of crashes, two seconds apart, of requests with these parts.
fn records_of(crashes: &[&[u64]]) -> CrashRecords {
    let mut records = CrashRecords::new();
    for (number, ids) in (0..).zip(crashes) {
        let crash = CrashId::new(&format!("e-{number}"), 1);
        records.record_crash(&parts(ids), crash, 1_000 + 2_000 * number);
    }
    records
}

fn is_refused(records: &CrashRecords, ids: &[u64], now_ms: u64) -> bool {
    records.refused_part(&parts(ids), now_ms).is_some()
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
        let crash = CrashId::new(&format!("e-{number}"), 1);
        records.record_crash(&parts(&[FIRST, BAD]), crash, 2_000 + 2_000 * number);
    }

    assert_eq!(
        records.refused_part(&parts(&[FIRST, BAD]), 9_000),
        Some(PartId(BAD))
    );
    assert!(!records.is_suspect(&parts(&[FIRST])));
}

/// Guards against a part that is blamed because many endpoints end at the same time.
#[test]
fn crashes_at_the_same_time_count_as_one() {
    let mut records = CrashRecords::new();
    for number in 0..10 {
        let crash = CrashId::new(&format!("e-{number}"), 1);
        records.record_crash(&parts(&[BAD]), crash, 1_000 + 40 * number);
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

    records.record_crash(&parts(&[BAD]), CrashId::new("e-9", 1), 5_000 + MINUTE_MS);

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

    assert_eq!(records.all(40, 1_000 + MINUTE_MS / 2).len(), 1);
    assert!(records.all(40, 1_000 + MINUTE_MS).is_empty());
    records.expire(1_000 + MINUTE_MS);

    assert!(records.is_empty());
}
