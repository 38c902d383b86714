//! Guards the acceptance of changes and spending grants against lost answers,
//! crashes, races and outages of the key-value service.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    consul::{
        Index,
        KeyValue,
        MAX_VALUE_BYTES, //
    },
    grant::{
        GrantId,
        GrantOutcome,
        GrantRequest,
        read_spend,
        take_grant, //
    },
    intent::{
        Change,
        ChangeId,
        Intents, //
    },
    intent_file,
    plan::{
        Plan,
        PlanRules,
        Violation, //
    },
    rollout::{
        self,
        Accepted,
        Acceptor,
        ChangeSet,
        HEAD_KEY,
        HeadWatch,
        InForce,
        RolloutError,
        SHARD_COUNT,
        shard_key, //
    },
    standin::platform::PlatformStandin,
    types::{
        CostMicros,
        Incarnation,
        Millis,
        Revision, //
    }, //
};
use expect_test::expect;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

const NOW: Millis = Millis(1_700_000_000_000);
const SERVICES: &str = "\
[model/stain-advice]
version = 2.1
prefill_micros_per_ktok = 300u
decode_micros_per_ktok = 900u
[service/orders]
repeatable_methods = GET, HEAD
call_micros = 40u
";

fn standin() -> PlatformStandin {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformStandin::start(address).expect("the stand-in starts")
}

fn client(standin: &PlatformStandin) -> KeyValue {
    KeyValue::new(standin.address())
}

/// A random seed, or the one in `CARDAMOMBRIDGE_TEST_SEED` to repeat a run.
fn seed() -> u64 {
    let given = std::env::var("CARDAMOMBRIDGE_TEST_SEED").ok();
    let seed = given.map_or_else(
        || u64::from(rand::rng().random::<u32>()),
        |text| text.parse().expect("CARDAMOMBRIDGE_TEST_SEED is a number"),
    );
    println!("CARDAMOMBRIDGE_TEST_SEED={seed}");
    seed
}

fn caller(name: &str, number: u32, budget: u64) -> String {
    format!(
        "[caller/{name}]\nkey_sha256 = {number:064x}\nhome = stred\nregions = stred, zapad\n\
         targets = model/stain-advice, service/orders\ntier = priority\n\
         first_token_ms = 1600ms\ndeadline_ms = 60000ms\nobjective_permille = 990\n\
         budget_micros = {budget}u\nperiod_ms = 86400000ms\n"
    )
}

fn model(name: &str, version: u64) -> String {
    format!(
        "[model/{name}]\nversion = {version}\nprefill_micros_per_ktok = 1u\n\
         decode_micros_per_ktok = 2u\n"
    )
}

fn plan(intents: &Intents, text: &str) -> Plan {
    let wanted = intent_file::parse("test.ini", text).expect("valid file");
    Plan::new(intents, wanted, &PlanRules::default()).expect("plan is not refused")
}

fn violations(intents: &Intents, text: &str, rules: &PlanRules) -> Vec<Violation> {
    let wanted = intent_file::parse("test.ini", text).expect("valid file");
    match Plan::new(intents, wanted, rules) {
        Ok(plan) => panic!("accepted {plan}"),
        Err(refused) => refused.violations,
    }
}

/// Confirms and folds like the operators' interface, which only logs a failed fold.
fn confirm(kv: &KeyValue, plan: &Plan) -> Result<Accepted, RolloutError> {
    let acceptor = Acceptor::new(kv.clone());
    let accepted = acceptor.accept(plan, Revision(0), NOW)?;
    if let Err(error) = acceptor.fold_if_due(accepted.revision) {
        println!("not folded: {error}");
    }
    Ok(accepted)
}

/// Plans against the service's state and confirms.
fn change(kv: &KeyValue, text: &str) -> Accepted {
    let intents = rollout::load(kv).expect("load");
    confirm(kv, &plan(&intents, text)).expect("accepted")
}

fn version_of(intents: &Intents, name: &str) -> Option<String> {
    let id = name.parse().expect("valid model");
    intents.model(&id).map(|model| model.version.to_string())
}

/// Guards against an intent file that is misread instead of rejected.
#[test]
fn a_bad_file_names_line_key_value_and_what_was_expected() {
    let texts = [
        "home = stred".to_owned(),
        "[caller/a]\nnonsense\nhome = stred".to_owned(),
        "[planet/a]\nsize = 3".to_owned(),
        model("m", 1) + "version = 2",
        model("m", 1) + &model("m", 2),
        model("m", 1) + "\n# comment\ncolour = red",
        "[service/s]\nrepeatable_methods = GET".to_owned(),
        "[service/s]\nrepeatable_methods = get\ncall_micros = 1u".to_owned(),
        "[service/s]\nrepeatable_methods = GET\ncall_micros = 1".to_owned(),
        caller("a", 1, 5).replace("1600ms", "1.6s"),
        caller("a", 1, 5).replace("stred, zapad", "stred, stred"),
        "[model/m]\nremove = yes".to_owned(),
        "[model/m]\nremove = true\nversion = 2".to_owned(),
    ];

    let errors: Vec<String> = texts
        .iter()
        .map(|text| match intent_file::parse("new.ini", text) {
            Ok(changes) => panic!("accepted {changes:?}"),
            Err(error) => error.to_string(),
        })
        .collect();

    expect![[r#"
        new.ini:1: key "home" has value "stred": expected a section before the first key
        new.ini:2: line has value "nonsense": expected [SECTION] or KEY = VALUE
        new.ini:1: unknown section [planet/a]: expected caller/NAME, model/NAME or service/NAME
        new.ini:5: key "version" in [model/m] has value "2": expected each key once
        new.ini:5: section [model/m] appears twice: expected each section once
        new.ini:7: unknown key "colour" in [model/m] has value "red": expected one of version, prefill_micros_per_ktok, decode_micros_per_ktok
        new.ini:1: missing key in [service/s]: expected "call_micros" with a value
        new.ini:2: key "repeatable_methods" in [service/s] has value "get": expected HTTP methods in upper case
        new.ini:3: key "call_micros" in [service/s] has value "1": expected a whole number followed by 'u'
        new.ini:7: key "first_token_ms" in [caller/a] has value "1.6s": expected a whole number followed by 'ms'
        new.ini:4: key "regions" in [caller/a] has value "stred, stred": expected each item once
        new.ini:2: key "remove" in [model/m] has value "yes": expected true, or no such key
        new.ini:3: unknown key "version" in [model/m] has value "2": expected one of remove"#]].assert_eq(&errors.join("\n"));
}

/// Guards against a plan whose text hides part of the difference.
#[test]
fn a_plan_prints_the_exact_difference_and_the_affected_callers() {
    let text = SERVICES.to_owned() + &caller("drevoton", 1, 5_000_000) + &model("old", 1);
    let wanted = intent_file::parse("test.ini", &text).expect("valid file");
    let first = plan(&Intents::new(), &text);
    let mut intents = Intents::new();
    for object in wanted {
        intents = intents.with_object(object.name, object.object.expect("a body"));
    }
    let next = SERVICES.replace("900u", "950u")
        + &caller("drevoton", 1, 6_000_000).replace("stred, zapad", "stred")
        + &caller("tabor", 2, 7_000)
        + "[model/old]\nremove = true\n";

    let second = plan(&intents, &next);

    assert_ne!(first.id, second.id);
    expect![[r#"
        plan 7f62ce74034fa58c8cb2abec507bbe95be6b7a4bb58cd703c35a1d7484607614
        made against revision 4

        change caller/drevoton (revision 3)
          regions: stred, zapad -> stred
          budget_micros: 5000000u -> 6000000u

        add caller/tabor
          key_sha256: (none) -> 0000000000000000000000000000000000000000000000000000000000000002
          home: (none) -> stred
          regions: (none) -> stred, zapad
          targets: (none) -> model/stain-advice, service/orders
          tier: (none) -> priority
          first_token_ms: (none) -> 1600ms
          deadline_ms: (none) -> 60000ms
          objective_permille: (none) -> 990
          budget_micros: (none) -> 7000u
          period_ms: (none) -> 86400000ms

        remove model/old (revision 4)
          version: 1 -> (none)
          prefill_micros_per_ktok: 1u -> (none)
          decode_micros_per_ktok: 2u -> (none)

        change model/stain-advice (revision 1)
          decode_micros_per_ktok: 900u -> 950u

        affected callers: drevoton, tabor
    "#]]
    .assert_eq(&second.to_string());
}

/// Guards against plans that break residency or that the fee does not cover.
#[test]
fn a_plan_that_breaks_residency_or_the_fee_is_refused() {
    let rules = PlanRules {
        regions: vec!["stred".parse().expect("region")],
    };
    let free = PlanRules::default();
    let kv = client(&standin());
    change(&kv, &(SERVICES.to_owned() + &caller("a", 1, 5_000)));
    let intents = rollout::load(&kv).expect("load");
    let cases = [
        (
            caller("b", 2, 5_000).replace("home = stred", "home = sever"),
            &free,
        ),
        (caller("b", 2, 5_000), &rules),
        (caller("b", 1, 5_000), &free),
        (caller("b", 2, 0), &free),
        (caller("b", 2, 1_199), &free),
        (
            caller("b", 2, 5_000).replace("service/orders", "service/none"),
            &free,
        ),
        (caller("b", 2, 5_000).replace("= 990", "= 1000"), &free),
        (caller("b", 2, 5_000).replace("1600ms", "60001ms"), &free),
        ("[service/orders]\nremove = true".to_owned(), &free),
        (SERVICES.replace("900u", "4701u"), &free),
        ("[caller/none]\nremove = true".to_owned(), &free),
        (SERVICES.to_owned(), &free),
    ];

    let refusals: Vec<String> = cases
        .iter()
        .map(|(text, rules)| {
            let violations = violations(&intents, text, rules);
            let texts: Vec<String> = violations.iter().map(Violation::to_string).collect();
            texts.join("; ")
        })
        .collect();

    expect![[r#"
        residency: home sever of caller b is not one of its regions
        residency: region zapad of caller b does not exist
        residency: callers b and a have the same key
        fee: budget of caller b is zero
        fee: budget 1199u of caller b is below 1200u, one request to model/stain-advice
        target service/none of caller b does not exist
        objective_permille of caller b is 1000, expected 1 to 999
        first_token_ms of caller b is 60001ms, expected 1ms to the deadline, 60000ms
        target service/orders of caller a does not exist
        fee: budget 5000u of caller a is below 5001u, one request to model/stain-advice
        caller/none cannot be removed because it does not exist
        nothing would change"#]]
    .assert_eq(&refusals.join("\n"));
}

/// Guards against an edited plan that is accepted as the one that was shown.
#[test]
fn an_altered_plan_is_refused() {
    let kv = client(&standin());
    let mut altered = plan(&Intents::new(), &model("a", 1));
    altered.changes[0].name = "model/b".parse().expect("name");

    let result = confirm(&kv, &altered);

    let Err(RolloutError::Refused(refused)) = result else {
        panic!("expected a refusal, got {result:?}");
    };
    assert_eq!(refused.violations, vec![Violation::Altered]);
}

/// Guards against a plan that is applied twice, also after its change has left
/// the tail and its object has been removed again.
#[test]
fn confirming_the_same_plan_twice_is_one_change() {
    let kv = client(&standin());
    let plan = plan(&Intents::new(), &model("a", 1));

    let first = confirm(&kv, &plan).expect("accepted");
    let second = confirm(&kv, &plan).expect("accepted");
    change(&kv, &model("a", 2));
    let replaced = confirm(&kv, &plan).expect("accepted");
    let removed = change(&kv, "[model/a]\nremove = true");
    for version in 0..40 {
        change(&kv, &model("b", version));
    }
    let third = confirm(&kv, &plan);

    assert_eq!((first.revision, first.is_repeat), (Revision(1), false));
    assert_eq!((second.revision, second.is_repeat), (Revision(1), true));
    assert_eq!(replaced, second);
    assert!(matches!(
        third,
        Err(RolloutError::Conflict { revision, .. }) if revision == removed.revision
    ));
    let intents = rollout::load(&kv).expect("load");
    assert_eq!(intents.revision, Revision(43));
    assert_eq!(version_of(&intents, "a"), None);
}

/// Guards against a lost answer that loses or repeats a change, at every write
/// of a change and of the fold that follows it.
#[test]
fn a_lost_answer_at_any_write_neither_loses_nor_repeats_a_change() {
    for kept in 0..8 {
        let standin = standin();
        let kv = client(&standin);
        for number in 1..16 {
            change(&kv, &model(&format!("m{}", number % 6), number));
        }
        let last = plan(&rollout::load(&kv).expect("load"), &model("m6", 16));
        standin.lose_write_answers_after(kept, 1);

        let accepted = confirm(&kv, &last).expect("accepted");
        let repeated = confirm(&kv, &last).expect("accepted");

        assert_eq!(accepted.revision, Revision(16), "kept {kept}");
        assert!(!accepted.is_repeat && repeated.is_repeat, "kept {kept}");
        let intents = rollout::load(&kv).expect("load");
        assert_eq!(intents.revision, Revision(16), "kept {kept}");
        for number in 10..=15 {
            let found = version_of(&intents, &format!("m{}", number % 6));
            assert_eq!(found, Some(number.to_string()), "kept {kept}");
        }
        assert_eq!(version_of(&intents, "m6"), Some("16".into()), "kept {kept}");
    }
}

/// Guards against a writer that dies between the head, the shards and the folded
/// revision and leaves a state that cannot be read or completed.
#[test]
fn a_crash_at_any_write_leaves_a_state_that_the_next_writer_completes() {
    let mut crashes_between = 0;
    for writes in 0..9 {
        let standin = standin();
        let kv = client(&standin);
        for number in 1..16 {
            change(&kv, &model(&format!("m{}", number % 6), number));
        }
        let last = plan(&rollout::load(&kv).expect("load"), &model("m7", 16));
        standin.set_down_after_writes(writes);
        let crashed = confirm(&kv, &last);
        standin.set_down(false);

        let head = head(&kv);
        let seen = rollout::load(&kv).expect("load");
        let again = confirm(&kv, &last).expect("accepted");
        for number in 17..=48 {
            change(&kv, &model(&format!("m{}", number % 6), number));
        }

        assert_eq!(crashed.is_ok(), writes > 0, "writes {writes}: {crashed:?}");
        let is_between = head["folded_revision"] == 0 && writes > 1;
        crashes_between += u32::from(is_between);
        let expected = if writes > 0 { 16 } else { 15 };
        assert_eq!(seen.revision, Revision(expected), "writes {writes}");
        assert_eq!(
            version_of(&seen, "m3"),
            Some("15".into()),
            "writes {writes}"
        );
        assert_eq!(again.revision, Revision(16), "writes {writes}");
        let intents = rollout::load(&kv).expect("load");
        assert_eq!(intents.revision, Revision(48), "writes {writes}");
        assert_eq!(version_of(&intents, "m7"), Some("16".into()));
        assert_eq!(version_of(&intents, "m0"), Some("48".into()));
    }
    assert!(
        crashes_between >= 2,
        "only {crashes_between} crashes hit the fold"
    );
}

/// Guards against a full tail that drops a change which no shard holds, after
/// writers have died before folding again and again.
#[test]
fn a_full_tail_is_folded_before_it_takes_another_change() {
    let standin = standin();
    let kv = client(&standin);
    for number in 1..=32 {
        let next = plan(
            &rollout::load(&kv).expect("load"),
            &model(&format!("m{number}"), 1),
        );
        standin.set_down_after_writes(1);
        confirm(&kv, &next).expect("accepted");
        standin.set_down(false);
    }
    let next = plan(&rollout::load(&kv).expect("load"), &model("m33", 1));
    standin.set_down_after_writes(1);

    let crashed = confirm(&kv, &next);
    standin.set_down(false);
    let seen = rollout::load(&kv).expect("load");
    let completed = confirm(&kv, &next).expect("accepted");

    assert!(
        matches!(crashed, Err(RolloutError::Platform(_))),
        "{crashed:?}"
    );
    assert_eq!((seen.objects.len(), seen.revision), (32, Revision(32)));
    assert_eq!(completed.revision, Revision(33));
    assert_eq!(rollout::load(&kv).expect("load").objects.len(), 33);
}

fn head(kv: &KeyValue) -> serde_json::Value {
    let value = kv.read(HEAD_KEY).expect("read").value.expect("a head");
    serde_json::from_slice(&value).expect("valid head")
}

/// Guards against conflicts between changes of different objects, and against
/// changes lost in the race while answers are lost.
#[test]
fn racing_writers_on_different_objects_all_succeed() {
    const WRITERS: u64 = 6;
    const CHANGES: u64 = 8;
    let seed = seed();
    let standin = standin();
    let kv = client(&standin);
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let (kv, standin) = (kv.clone(), standin.clone());
            let mut rng = Pcg64Mcg::seed_from_u64(seed + writer);
            thread::spawn(move || {
                for version in 1..=CHANGES {
                    if rng.random_ratio(1, 3) {
                        standin.lose_write_answers(rng.random_range(1..3));
                    }
                    change(&kv, &model(&format!("w{writer}"), version));
                }
            })
        })
        .collect();

    for writer in writers {
        writer.join().expect("every change is accepted");
    }

    let intents = rollout::load(&kv).expect("load");
    assert_eq!(intents.revision, Revision(WRITERS * CHANGES));
    for writer in 0..WRITERS {
        let found = version_of(&intents, &format!("w{writer}"));
        assert_eq!(found, Some(CHANGES.to_string()));
    }
}

/// Guards against two winners on one object, and against a loser that is not
/// told which change won.
#[test]
fn racing_writers_on_the_same_object_have_one_winner() {
    let seed = seed();
    let standin = standin();
    let kv = client(&standin);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    change(&kv, &model("m", 0));
    for round in 1..=6_u64 {
        let intents = rollout::load(&kv).expect("load");
        standin.lose_write_answers(rng.random_range(0..3));
        let racers: Vec<_> = (0..5)
            .map(|racer| {
                let plan = plan(&intents, &model("m", round * 10 + racer));
                let kv = kv.clone();
                thread::spawn(move || (plan.id, confirm(&kv, &plan)))
            })
            .collect();

        let results: Vec<(ChangeId, Result<Accepted, RolloutError>)> = racers
            .into_iter()
            .map(|racer| racer.join().expect("no panic"))
            .collect();

        let winners: Vec<&ChangeId> = results
            .iter()
            .filter(|(_, result)| result.is_ok())
            .map(|(id, _)| id)
            .collect();
        assert_eq!(winners.len(), 1, "{results:?}");
        for (_, result) in results.iter().filter(|(_, result)| result.is_err()) {
            let Err(RolloutError::Conflict {
                object,
                by_change,
                revision,
            }) = result
            else {
                panic!("expected a conflict, got {result:?}");
            };
            assert_eq!(object.to_string(), "model/m");
            assert_eq!((by_change, *revision), (winners[0], Revision(round + 1)));
        }
    }
}

/// Guards against two changes that pass their checks one by one and together
/// leave a caller with a target that does not exist.
#[test]
fn a_race_cannot_remove_what_another_change_starts_to_use() {
    let kv = client(&standin());
    change(&kv, SERVICES);
    let intents = rollout::load(&kv).expect("load");
    let uses = plan(&intents, &caller("a", 1, 5_000));
    let removes = plan(&intents, "[service/orders]\nremove = true");

    confirm(&kv, &uses).expect("accepted");
    let result = confirm(&kv, &removes);

    assert!(
        matches!(result, Err(RolloutError::Refused(_))),
        "{result:?}"
    );
}

/// Guards against a confirmation that hangs or changes something when the
/// service is down, and against one that fails when it is only slow.
#[test]
fn an_outage_confirms_nothing_and_slowness_only_delays() {
    let standin = standin();
    let kv = client(&standin).with_timeout(Duration::from_millis(500));
    change(&kv, &model("m", 1));
    let next = plan(&rollout::load(&kv).expect("load"), &model("m", 2));
    standin.set_down(true);
    let started = Instant::now();

    let down = confirm(&kv, &next);
    let elapsed = started.elapsed();
    standin.set_down(false);
    standin.set_delay(Duration::from_millis(100));
    let seen = rollout::load(&kv).expect("load");
    let slow = confirm(&kv, &next).expect("accepted");

    assert!(matches!(down, Err(RolloutError::Platform(_))), "{down:?}");
    assert!(elapsed < Duration::from_secs(2), "took {elapsed:?}");
    assert_eq!((seen.revision, slow.revision), (Revision(1), Revision(2)));
}

/// Guards against a change that took effect and is reported as failed because
/// the service went down with its response.
#[test]
fn a_response_lost_in_an_outage_is_unknown_until_it_is_confirmed_again() {
    let standin = standin();
    let kv = client(&standin);
    let next = plan(&Intents::new(), &model("m", 1));
    standin.lose_write_answers(1);
    standin.set_down_after_writes(1);

    let lost = confirm(&kv, &next);
    standin.set_down(false);
    let settled = confirm(&kv, &next).expect("accepted");

    assert!(
        matches!(lost, Err(RolloutError::Unknown { change, .. }) if change == next.id),
        "{lost:?}"
    );
    assert_eq!((settled.revision, settled.is_repeat), (Revision(1), true));
}

/// Guards against a late write that lands after its response timed out and is
/// then written a second time or reported as failed.
#[test]
fn a_write_that_lands_after_its_timeout_is_one_change() {
    let standin = standin();
    let kv = client(&standin).with_timeout(Duration::from_millis(300));
    let next = plan(&Intents::new(), &model("m", 1));
    standin.delay_writes(1, Duration::from_millis(1_500));

    let accepted = confirm(&kv, &next).expect("accepted");
    let writes = standin.counts().writes;
    while standin.counts().writes < 2 {
        thread::sleep(Duration::from_millis(5));
    }

    assert_eq!(writes, 1, "the first write has not landed yet");
    assert_eq!(accepted.revision, Revision(1));
    let intents = rollout::load(&kv).expect("load");
    assert_eq!(intents.revision, Revision(1));
}

/// Guards against a host or a writer that goes back when the service shows an
/// older head, as after a restored backup.
#[test]
fn an_older_head_neither_reverts_a_host_nor_takes_changes() {
    let kv = client(&standin());
    change(&kv, &model("m", 1));
    let old_head = kv.read(HEAD_KEY).expect("read").value.expect("a head");
    change(&kv, &model("m", 2));
    let mut in_force = InForce::new();
    let mut watch = HeadWatch::new();
    let set = watch.next(&kv, Duration::ZERO, in_force.revision());
    let is_new = in_force.apply(set.expect("read").expect("news"));
    let intents = in_force.intents();
    let index = kv.read(HEAD_KEY).expect("read").modify_index;
    kv.compare_and_swap(HEAD_KEY, index, old_head)
        .expect("write");

    let set = watch.next(&kv, Duration::from_secs(2), in_force.revision());
    let next = plan(&intents, &model("n", 1));
    let result = Acceptor::new(kv.clone()).accept(&next, in_force.revision(), NOW);

    assert_eq!(is_new, Ok(true));
    assert!(set.expect("read").is_none());
    let shown_and_known = (Revision(1), Revision(2));
    assert!(matches!(
        result,
        Err(RolloutError::Older { shown, known }) if (shown, known) == shown_and_known
    ));
    let snapshot = ChangeSet::Snapshot(rollout::load(&kv).expect("load"));
    assert_eq!(in_force.apply(snapshot), Ok(false));
    assert_eq!(in_force.revision(), Revision(2));
}

/// Guards against a host that skips a change, and against peers that disagree
/// after the changes went over the wire.
#[test]
fn a_peer_catches_up_by_changes_or_by_a_snapshot_and_refuses_gaps() {
    let kv = client(&standin());
    let mut ahead = InForce::new();
    let mut watch = HeadWatch::new();
    let mut sets = Vec::new();
    for version in 1..=40 {
        change(&kv, &model("m", version));
        let set = watch.next(&kv, Duration::from_secs(1), ahead.revision());
        let set = set.expect("read").expect("news");
        sets.push(set.clone());
        ahead.apply(set).expect("no gap");
    }

    for known in [0, 7, 8, 39, 40] {
        let mut behind = InForce::new();
        for set in &sets[..known] {
            behind.apply(set.clone()).expect("no gap");
        }
        let set = ahead.changes_since(behind.revision());
        let bytes = postcard::to_allocvec(&set).expect("encode");
        let received: ChangeSet = postcard::from_bytes(&bytes).expect("decode");
        let is_snapshot = matches!(received, ChangeSet::Snapshot(_));
        behind.apply(received).expect("no gap");

        assert_eq!(behind.intents(), ahead.intents(), "known {known}");
        assert_eq!(is_snapshot, known < 8, "known {known}");
    }
    let gap = InForce::new().apply(sets[5].clone());
    assert!(gap.is_err_and(|gap| gap.change == Revision(6)));
    assert_eq!(*ahead.intents(), rollout::load(&kv).expect("load"));
}

/// Guards against values that the service rejects at the size to design for.
#[test]
fn values_stay_below_the_limit_with_740_callers() {
    let kv = client(&standin());
    let mut text = SERVICES.to_owned();
    for number in 0..740 {
        text += &caller(&format!("account-{number:04}"), number, 5_000_000);
    }

    let accepted = change(&kv, &text);
    let mut largest_bytes = 0;
    for number in 0..34 {
        change(&kv, &caller("account-0007", 7, 6_000_000 + number));
        largest_bytes = largest_bytes.max(value_bytes(&kv, HEAD_KEY));
    }
    let shards: Vec<usize> = (0..SHARD_COUNT)
        .map(|shard| value_bytes(&kv, &shard_key(shard)))
        .collect();

    println!("largest head {largest_bytes} bytes, shards {shards:?}");
    assert_eq!(accepted.revision, Revision(1));
    assert!(largest_bytes < MAX_VALUE_BYTES);
    assert!(
        shards
            .iter()
            .all(|bytes| (1..MAX_VALUE_BYTES).contains(bytes))
    );
    assert_eq!(rollout::load(&kv).expect("load").callers().count(), 740);
}

fn value_bytes(kv: &KeyValue, key: &str) -> usize {
    let value = kv.read(key).expect("read").value;
    value.map_or(0, |value| value.len())
}

/// Guards against a tail that loses a change before the shards hold it.
#[test]
fn history_shows_the_last_changes_newest_first() {
    let kv = client(&standin());
    for version in 1..=50 {
        change(&kv, &model("m", version));
    }

    let history: Vec<Change> = rollout::history(&kv).expect("read");

    let revisions: Vec<u64> = history.iter().map(|change| change.revision.0).collect();
    let expected: Vec<u64> = (19..=50).rev().collect();
    assert_eq!(revisions, expected);
    assert_eq!(history[0].accepted_ms, NOW);
}

fn grant(id: u64, amount: u64, budget: u64) -> GrantRequest {
    GrantRequest {
        caller: "drevoton".parse().expect("caller"),
        period_start_ms: Millis(1_000),
        amount_micros: CostMicros(amount),
        budget_micros: CostMicros(budget),
        id: GrantId {
            incarnation: Incarnation(7),
            sequence: id,
        },
    }
}

/// Guards against grants beyond the budget while hosts race and answers are
/// lost, and against grants that are lost although nothing failed.
#[test]
fn grants_never_exceed_the_budget_under_races_and_lost_answers() {
    const BUDGET: u64 = 10_000;
    let seed = seed();
    let standin = standin();
    let kv = client(&standin);
    let hosts: Vec<_> = (0..6)
        .map(|host| {
            let (kv, standin) = (kv.clone(), standin.clone());
            let mut rng = Pcg64Mcg::seed_from_u64(seed + host);
            thread::spawn(move || {
                let mut granted = 0;
                for number in 0..12 {
                    if rng.random_ratio(1, 3) {
                        standin.lose_write_answers(1);
                    }
                    let amount = rng.random_range(1..400);
                    let request = grant(host * 100 + number, amount, BUDGET);
                    loop {
                        match take_grant(&kv, &request) {
                            GrantOutcome::Granted(amount) => granted += amount.0,
                            GrantOutcome::Refused => {}
                            GrantOutcome::Unavailable => continue,
                        }
                        break;
                    }
                }
                granted
            })
        })
        .collect();

    let granted: u64 = hosts
        .into_iter()
        .map(|host| host.join().expect("no panic"))
        .sum();

    let spend = read_spend(&kv, &"drevoton".parse().expect("caller")).expect("read");
    assert_eq!(spend.granted_micros, CostMicros(granted));
    assert!(granted <= BUDGET, "granted {granted}");
    assert!(granted > BUDGET / 2, "granted {granted}");
}

/// Guards against a grant that is taken twice, a period that ends early, and an
/// outage that is reported as an exhausted budget.
#[test]
fn a_grant_is_taken_once_and_a_new_period_starts_from_zero() {
    let standin = standin();
    let kv = client(&standin);
    let next_period = GrantRequest {
        period_start_ms: Millis(2_000),
        ..grant(4, 30, 100)
    };
    standin.lose_write_answers(1);

    let first = take_grant(&kv, &grant(1, 80, 100));
    let again = take_grant(&kv, &grant(1, 80, 100));
    let rest = take_grant(&kv, &grant(2, 80, 100));
    let empty = take_grant(&kv, &grant(3, 80, 100));
    standin.set_down(true);
    let outage = take_grant(&kv, &next_period);
    standin.set_down(false);
    let next = take_grant(&kv, &next_period);
    let late = take_grant(&kv, &grant(5, 1, 100));

    let granted = |amount| GrantOutcome::Granted(CostMicros(amount));
    assert_eq!(
        (first, again, rest),
        (granted(80), granted(80), granted(20))
    );
    assert_eq!(empty, GrantOutcome::Refused);
    assert_eq!(outage, GrantOutcome::Unavailable);
    assert_eq!((next, late), (granted(30), GrantOutcome::Refused));
    assert_eq!(kv.read("none").expect("read").modify_index, Index(0));
}
