//! The replica of the store across its eras, without a network.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    gateway::{
        known_state::KnownState,
        store_replica::{
            ApplyOutcome,
            ReplicaPage,
            SETTLE_TIME,
            StoreReplica,
            Update,
            UpdateSender, //
        }, //
    },
    platform::store::ItemChange,
    store_position::{
        StoreEra,
        StoreRevision, //
    }, //
};
use compact_str::{
    CompactString,
    format_compact, //
};
use crossbeam::channel::{
    Receiver,
    Sender,
    bounded,
    unbounded, //
};
use mio::{
    Poll,
    Token,
    Waker, //
};
use proptest::prelude::*;
use serde_json::json;

/// A replica with the updates that it sends.
struct Subject {
    replica: StoreReplica,
    updates: Receiver<Update>,
    started: Instant,
    _poll: Poll,
}

impl Subject {
    fn new() -> Self {
        Self::with_queue(unbounded())
    }

    fn with_queue((sender, updates): (Sender<Update>, Receiver<Update>)) -> Self {
        let poll = Poll::new().expect("a poll");
        let waker = Waker::new(poll.registry(), Token(0)).expect("a waker");
        Self {
            replica: StoreReplica::new(UpdateSender::new(sender, Arc::new(waker))),
            updates,
            started: Instant::now(),
            _poll: poll,
        }
    }

    fn apply(&self, page: ReplicaPage) -> ApplyOutcome {
        self.replica.apply(page, self.started)
    }

    fn settle(&self) {
        self.replica.settle(self.started + SETTLE_TIME);
    }

    /// Returns the updates sent since the last call.
    fn updates(&self) -> Vec<Update> {
        self.updates.try_iter().collect()
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.replica.items().get(key).cloned()
    }
}

fn change(key: &str, revision: u64, value: Option<Vec<u8>>) -> ItemChange {
    ItemChange {
        key: key.into(),
        revision: StoreRevision(revision),
        value,
    }
}

fn complete(era: u64, revision: u64, changes: Vec<ItemChange>) -> ReplicaPage {
    ReplicaPage {
        changes,
        revision: StoreRevision(revision),
        era: StoreEra(era),
        is_complete: true,
    }
}

fn changes(era: u64, revision: u64, changes: Vec<ItemChange>) -> ReplicaPage {
    ReplicaPage {
        is_complete: false,
        ..complete(era, revision, changes)
    }
}

fn endpoint(state: &str, sequence: u64) -> Option<Vec<u8>> {
    let item = json!({
        "backend": "desk", "addr": "127.0.0.1:80", "zone": "north-a", "version": "v1",
        "slots": 8,
        "state": state, "cold_left_ms": 0, "seq": sequence, "born": 1,
    });
    Some(item.to_string().into_bytes())
}

fn configuration(version: u64) -> Option<Vec<u8>> {
    let item = json!({
        "version": version, "routes": [], "backends": [],
        "limits": { "max_header_bytes": 1, "max_body_bytes": 1,
                    "header_timeout_ms": 1, "idle_timeout_ms": 1 },
    });
    Some(item.to_string().into_bytes())
}

const ENDPOINT: &str = "servers/e-1";
const CONFIGURATION: &str = "op/config";
const EVACUATION: &str = "op/evacuate/north-a";
const HOST: &str = "cardamombridge/hosts/host-9";

fn host() -> Option<Vec<u8>> {
    let item = json!({
        "name": "host-9", "region": "north", "data_centre": "north-a", "capacity": 1,
        "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
    });
    Some(item.to_string().into_bytes())
}

/// Guards against a replica that keeps items of the lost history for good, because
/// their revisions are higher than those that the store gives out again.
#[test]
fn changes_of_the_new_era_replace_those_of_the_lost_history() {
    let subject = Subject::new();
    subject.apply(complete(
        1,
        50,
        vec![change("x", 50, Some(b"lost".to_vec()))],
    ));

    subject.apply(complete(
        2,
        20,
        vec![change("x", 20, Some(b"copy".to_vec()))],
    ));
    subject.apply(changes(2, 21, vec![change("x", 21, Some(b"new".to_vec()))]));

    assert_eq!(subject.value("x"), Some(b"new".to_vec()));
    assert_eq!(subject.replica.position().to_string(), "2/21");
}

/// Guards against changes of an ended era that another host still spreads.
#[test]
fn page_of_an_ended_era_is_ignored() {
    let subject = Subject::new();
    subject.apply(complete(2, 20, vec![]));

    let outcome = subject.apply(changes(1, 90, vec![change("x", 90, Some(vec![1]))]));

    assert_eq!(outcome, ApplyOutcome::Outdated);
    assert_eq!(subject.value("x"), None);
}

/// Guards against changes of a new era on top of items of the old one.
#[test]
fn new_era_begins_with_all_items() {
    let subject = Subject::new();
    subject.apply(complete(1, 50, vec![]));

    let outcome = subject.apply(changes(2, 60, vec![change("x", 60, Some(vec![1]))]));

    assert_eq!(outcome, ApplyOutcome::NeedsAllItems);
    assert_eq!(subject.replica.position().to_string(), "1/50");
}

/// Guards against requests to an endpoint whose leaving, or whose removal, the copy
/// has lost.
#[test]
fn endpoint_that_left_does_not_come_back_with_the_copy() {
    for (last_known, kept) in [
        (endpoint("draining", 2), endpoint("draining", 2)),
        (None, None),
    ] {
        let subject = Subject::new();
        let ready = change(ENDPOINT, 10, endpoint("ready", 1));
        subject.apply(complete(1, 10, vec![ready.clone()]));
        subject.apply(changes(1, 12, vec![change(ENDPOINT, 12, last_known)]));
        subject.updates();

        subject.apply(complete(2, 11, vec![ready]));

        assert_eq!(subject.value(ENDPOINT), kept);
        assert_eq!(subject.updates(), vec![Update::StoreReturned]);
    }
}

/// Guards against an endpoint that stays unused because the copy once contradicted
/// what was known of it.
#[test]
fn endpoint_is_used_again_once_it_is_announced_again() {
    let subject = Subject::new();
    let ready = change(ENDPOINT, 10, endpoint("ready", 1));
    subject.apply(complete(1, 10, vec![ready.clone()]));
    subject.apply(changes(1, 12, vec![change(ENDPOINT, 12, None)]));
    subject.apply(complete(2, 11, vec![ready]));
    subject.updates();

    subject.apply(changes(
        2,
        13,
        vec![change(ENDPOINT, 13, endpoint("ready", 3))],
    ));

    assert_eq!(subject.value(ENDPOINT), endpoint("ready", 3));
    assert!(matches!(&subject.updates()[..], [Update::Endpoint(..)]));
}

/// Guards against a changed announcement that is taken for an older one, because its
/// writer did not number it anew.
#[test]
fn announcement_with_the_same_number_and_another_value_is_in_effect() {
    let subject = Subject::new();
    let ready = change(ENDPOINT, 10, endpoint("ready", 1));
    subject.apply(complete(1, 10, vec![ready]));

    subject.apply(complete(
        2,
        11,
        vec![change(ENDPOINT, 11, endpoint("draining", 1))],
    ));

    assert_eq!(subject.value(ENDPOINT), endpoint("draining", 1));
}

/// Guards against an item of the copy that is held back for good although its writer
/// keeps it alive, which the store does not show as a change.
#[test]
fn item_that_stays_in_the_store_is_in_effect_after_the_settle_time() {
    let subject = Subject::new();
    let ready = change(ENDPOINT, 10, endpoint("ready", 1));
    subject.apply(complete(1, 10, vec![ready.clone()]));
    subject.apply(changes(1, 12, vec![change(ENDPOINT, 12, None)]));
    subject.apply(complete(2, 11, vec![ready]));
    assert_eq!(subject.value(ENDPOINT), None);
    subject.updates();

    subject.settle();

    assert_eq!(subject.value(ENDPOINT), endpoint("ready", 1));
    assert!(matches!(&subject.updates()[..], [Update::Endpoint(..)]));
}

/// Guards against an endpoint that stops being used because the copy lacks its
/// announcement: the reactor keeps it for a while, and the announcement that is
/// written again is passed on although its value is the same.
#[test]
fn announcement_that_the_copy_lacks_is_passed_on_when_it_is_written_again() {
    let subject = Subject::new();
    let ready = change(ENDPOINT, 10, endpoint("ready", 1));
    subject.apply(complete(1, 10, vec![ready]));
    subject.updates();

    subject.apply(complete(2, 5, vec![]));
    let removed = subject.updates();
    subject.apply(changes(
        2,
        6,
        vec![change(ENDPOINT, 6, endpoint("ready", 1))],
    ));

    let expected = [Update::StoreReturned, Update::EndpointRemoved("e-1".into())];
    assert_eq!(removed, expected);
    assert!(matches!(&subject.updates()[..], [Update::Endpoint(..)]));
}

/// Guards against the same if the announcement is already in a second read of all
/// items.
#[test]
fn announcement_is_passed_on_when_a_later_read_shows_it() {
    let subject = Subject::new();
    let ready = change(ENDPOINT, 10, endpoint("ready", 1));
    subject.apply(complete(1, 10, vec![ready]));
    subject.apply(complete(2, 5, vec![]));
    subject.updates();

    subject.apply(complete(
        2,
        6,
        vec![change(ENDPOINT, 6, endpoint("ready", 1))],
    ));

    assert!(matches!(&subject.updates()[..], [Update::Endpoint(..)]));
}

/// Guards against an evacuation, or a host of another region, that ends because the
/// copy lacks it, and against one that lasts for good if nobody writes it again.
#[test]
fn evacuation_and_host_are_kept_until_the_settle_time() {
    let subject = Subject::new();
    let items = vec![
        change(EVACUATION, 9, Some(b"{}".to_vec())),
        change(HOST, 10, host()),
    ];
    subject.apply(complete(1, 10, items));
    subject.updates();

    subject.apply(complete(2, 5, vec![]));
    let at_return = subject.updates();
    subject.settle();

    assert_eq!(at_return, vec![Update::StoreReturned]);
    let settled = [
        Update::HostRemoved("host-9".into()),
        Update::Evacuated("north-a".into(), false),
    ];
    assert_eq!(subject.updates(), settled);
}

/// Guards against an evacuation that the operator ended and the copy shows again, and
/// against a new one that is taken for it.
#[test]
fn ended_evacuation_is_held_back_and_a_new_one_is_not() {
    let started = |revision| change(EVACUATION, revision, Some(b"{}".to_vec()));
    for (revision, expected) in [(9, None), (10, Some(b"{}".to_vec()))] {
        let subject = Subject::new();
        subject.apply(complete(1, 9, vec![started(9)]));
        subject.apply(changes(1, 12, vec![change(EVACUATION, 12, None)]));

        subject.apply(complete(2, 11, vec![started(revision)]));

        assert_eq!(subject.value(EVACUATION), expected, "revision {revision}");
    }
}

/// Guards against a configuration that goes back to the one of the copy, and against
/// the same version counting as new when the operator writes it again.
#[test]
fn configuration_does_not_go_back_to_the_copy() {
    let subject = Subject::new();
    subject.apply(complete(
        1,
        10,
        vec![change(CONFIGURATION, 10, configuration(8))],
    ));
    subject.updates();

    subject.apply(complete(
        2,
        5,
        vec![change(CONFIGURATION, 5, configuration(7))],
    ));
    subject.updates();
    subject.settle();
    subject.apply(changes(
        2,
        6,
        vec![change(CONFIGURATION, 6, configuration(8))],
    ));

    assert_eq!(subject.value(CONFIGURATION), configuration(8));
    assert_eq!(subject.updates(), vec![]);
}

/// Guards against a host that starts after the return and serves by the configuration
/// of the copy, while the others have a higher version.
#[test]
fn host_that_starts_after_the_return_learns_the_configuration_from_another_one() {
    let copy = || complete(2, 5, vec![change(CONFIGURATION, 5, configuration(7))]);
    let other = Subject::new();
    other.apply(complete(
        1,
        10,
        vec![change(CONFIGURATION, 10, configuration(8))],
    ));
    other.apply(copy());
    let started = Subject::new();
    started.apply(copy());

    let known = started.replica.known();
    let is_behind = known.lags_behind(other.replica.known());
    started.apply(other.replica.changes_for(known));

    assert!(is_behind);
    assert_eq!(started.value(CONFIGURATION), configuration(8));
    assert!(!started.replica.known().lags_behind(other.replica.known()));
}

/// Guards against a host without the store that stays in the old era, or enters the
/// new one half-way.
#[test]
fn host_of_the_old_era_receives_all_items_of_the_new_one() {
    let ahead = Subject::new();
    ahead.apply(complete(
        2,
        20,
        vec![change("x", 3, Some(vec![1])), change("y", 20, None)],
    ));
    let behind = Subject::new();
    let old = vec![
        change("x", 40, Some(vec![2])),
        change("y", 41, Some(vec![3])),
    ];
    behind.apply(complete(1, 41, old));

    let page = ahead.replica.changes_for(behind.replica.known());
    behind.apply(page);
    behind.settle();

    assert_eq!(behind.replica.items(), ahead.replica.items());
    assert_eq!(behind.replica.position(), ahead.replica.position());
}

/// Guards against an item that a host without the store keeps for good: it was deleted
/// before the host that it fetches from was filled, or among more deletions than that
/// one remembers.
#[test]
fn deletion_that_a_host_never_saw_reaches_another_one() {
    let deletions = (2..2_000).map(|revision| change(&format!("y{revision}"), revision, None));
    let histories: [Vec<ReplicaPage>; 2] = [
        vec![complete(1, 2, vec![])],
        vec![
            complete(1, 1, vec![change(ENDPOINT, 1, endpoint("ready", 1))]),
            changes(1, 2, vec![change(ENDPOINT, 2, None)]),
            changes(1, 2_000, deletions.collect()),
        ],
    ];
    for history in histories {
        let source = Subject::new();
        for page in history {
            source.apply(page);
        }
        let behind = Subject::new();
        behind.apply(complete(
            1,
            1,
            vec![change(ENDPOINT, 1, endpoint("ready", 1))],
        ));

        behind.apply(source.replica.changes_for(behind.replica.known()));

        assert_eq!(behind.value(ENDPOINT), None);
    }
}

/// What a model of the store does, and what reaches the replicas.
#[derive(Debug, Clone)]
enum Step {
    Write(usize, u8),
    Delete(usize),
    TakeCopy,
    ReturnFromCopy,
    /// A replica reads all items now; the page arrives at the second index.
    ReadAll(usize),
    /// A replica asks for the changes after its position, of the same era.
    Watch(usize),
    /// A page arrives once more, late, at the replica that had asked for it.
    Repeat(usize),
    /// One replica fetches from the other.
    Fetch(usize),
    Settle(usize),
}

#[derive(Debug, Clone, Default, PartialEq)]
struct ModelStore {
    items: BTreeMap<CompactString, (u64, Vec<u8>)>,
    history: Vec<ItemChange>,
    revision: u64,
}

impl ModelStore {
    fn write(&mut self, key: usize, value: Option<Vec<u8>>) {
        self.revision += 1;
        let key = format_compact!("other/{key}");
        match &value {
            Some(value) => self
                .items
                .insert(key.clone(), (self.revision, value.clone())),
            None => self.items.remove(&key),
        };
        self.history.push(change(&key, self.revision, value));
    }

    fn all(&self, era: u64) -> ReplicaPage {
        let items = self.items.iter();
        let items =
            items.map(|(key, (revision, value))| change(key, *revision, Some(value.clone())));
        complete(era, self.revision, items.collect())
    }

    fn after(&self, era: u64, revision: StoreRevision) -> ReplicaPage {
        let history = self.history.iter();
        let newer = history.filter(|one| one.revision > revision).cloned();
        changes(era, self.revision, newer.collect())
    }

    /// Returns the items at a revision of this store's history.
    fn at(&self, revision: StoreRevision) -> BTreeMap<CompactString, Vec<u8>> {
        let mut items = BTreeMap::new();
        for one in self.history.iter().filter(|one| one.revision <= revision) {
            match &one.value {
                Some(value) => items.insert(one.key.clone(), value.clone()),
                None => items.remove(&one.key),
            };
        }
        items
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, any::<u8>()).prop_map(|(key, value)| Step::Write(key, value)),
        2 => (0..3_usize).prop_map(Step::Delete),
        1 => Just(Step::TakeCopy),
        1 => Just(Step::ReturnFromCopy),
        3 => (0..2_usize).prop_map(Step::ReadAll),
        3 => (0..2_usize).prop_map(Step::Watch),
        2 => (0..16_usize).prop_map(Step::Repeat),
        3 => (0..2_usize).prop_map(Step::Fetch),
        2 => (0..2_usize).prop_map(Step::Settle),
    ]
}

/// Plays the steps and checks each replica after each one: once it has settled, it
/// equals what the store of its era held at its position.
fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let subjects = [Subject::new(), Subject::new()];
    let mut is_settled = [true, true];
    let mut stores = vec![ModelStore::default()];
    let mut copy = ModelStore::default();
    let mut sent: Vec<(usize, ReplicaPage)> = Vec::new();
    for one in steps {
        let era = stores.len() as u64;
        let store = stores.last_mut().expect("an era");
        let page = match one {
            Step::Write(key, value) => {
                store.write(key, Some(vec![value]));
                continue;
            }
            Step::Delete(key) => {
                store.write(key, None);
                continue;
            }
            Step::TakeCopy => {
                copy = store.clone();
                continue;
            }
            Step::ReturnFromCopy => {
                stores.push(copy.clone());
                continue;
            }
            Step::Settle(to) => {
                subjects[to].settle();
                is_settled[to] = true;
                continue;
            }
            Step::ReadAll(to) => (to, store.all(era)),
            Step::Watch(to) => {
                let known = subjects[to].replica.position();
                if known.era != StoreEra(era) {
                    continue;
                }
                (to, store.after(era, known.revision))
            }
            Step::Repeat(index) => match sent.get(index) {
                Some(page) => page.clone(),
                None => continue,
            },
            Step::Fetch(to) => {
                let known = subjects[to].replica.known();
                (to, subjects[1 - to].replica.changes_for(known))
            }
        };
        let (to, page) = page;
        sent.push((to, page.clone()));
        let before = subjects[to].replica.position();
        subjects[to].apply(page);
        let after = subjects[to].replica.position();
        prop_assert!(after >= before, "{before} to {after}");
        is_settled[to] &= after.era == before.era || before.era == StoreEra(0);
        if is_settled[to] && after.era > StoreEra(0) {
            let store = &stores[after.era.0 as usize - 1];
            prop_assert_eq!(subjects[to].replica.items(), store.at(after.revision));
        }
    }
    Ok(())
}

/// Guards against an item of another writer that replaces the addresses of a host.
#[test]
fn item_under_another_name_does_not_change_a_host() {
    let subject = Subject::new();
    let host = |address: &str| {
        let item = json!({
            "name": "host-9", "region": "north", "data_centre": "north-a",
            "caller_address": address, "peer_address": address, "capacity": 1,
        });
        Some(item.to_string().into_bytes())
    };
    let own = change("cardamombridge/hosts/host-9", 2, host("127.0.0.1:80"));
    let odd = change("cardamombridge/hosts/odd", 3, host("127.0.0.1:81"));
    subject.apply(complete(1, 2, vec![own]));
    let registered = subject.updates();

    subject.apply(changes(1, 3, vec![odd]));

    assert!(matches!(
        registered[..],
        [Update::Host(_), Update::Synchronised]
    ));
    assert_eq!(subject.updates(), Vec::new());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any order of eras, revisions, pages and messages of other hosts
    /// after which a replica differs from the store, or goes back.
    #[test]
    fn settled_replica_equals_the_store_at_its_position(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        play(steps)?;
    }
}

/// Guards against a deadline that passes unnoticed, or items that are given up early.
#[test]
fn items_are_kept_for_the_settle_time() {
    let subject = Subject::new();
    subject.apply(complete(
        1,
        10,
        vec![change(EVACUATION, 9, Some(b"{}".to_vec()))],
    ));
    subject.apply(complete(2, 5, vec![]));
    let replica = &subject.replica;
    let almost = subject.started + SETTLE_TIME - Duration::from_millis(1);

    replica.settle(almost);

    assert_eq!(replica.settles_in(almost), Some(Duration::from_millis(1)));
    assert!(subject.value(EVACUATION).is_some());
}

/// Time limit for calls that do not wait for the reactor.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time between two reads of the replica.
const READ_INTERVAL: Duration = Duration::from_millis(1);
/// Reads that end while a large page is applied, at least; a reader that waits for the page ends
/// one or two.
const MIN_READS: u64 = 20;

fn endpoint_key(number: u64) -> CompactString {
    format_compact!("servers/e-{number:04}")
}

/// Returns the number of the endpoint, and of its announcement, in an update.
fn announced(update: &Update) -> Option<(u64, u64)> {
    match update {
        Update::Endpoint(id, announcement) => {
            let number = id.strip_prefix("e-")?.parse().ok()?;
            Some((number, announcement.order.sequence))
        }
        _ => None,
    }
}

/// Guards against a deadlock: the reactor, which alone empties the queue of updates, reads the
/// replica while the thread that changes it waits for room in that queue.
#[test]
fn replica_is_read_while_its_updates_wait_for_the_reactor() {
    let subject = Subject::with_queue(bounded(4));
    let items =
        (0..100).map(|number| change(&endpoint_key(number), number + 1, endpoint("ready", 1)));
    let page = complete(1, 100, items.collect());
    let (replica, now) = (subject.replica.clone(), subject.started);
    let applying = thread::spawn(move || replica.apply(page, now));
    while !subject.updates.is_full() {
        thread::yield_now();
    }

    let replica = subject.replica.clone();
    let (sender, read) = bounded(1);
    thread::spawn(move || {
        let missing = replica.changes_for(KnownState::default());
        sender.send((replica.known(), missing.changes.len()))
    });
    let read = read.recv_timeout(CALL_LIMIT);
    let mut updates: Vec<Update> = subject.updates.iter().take(101).collect();

    let (known, missing_count) = read.expect("the replica can be read");
    assert_eq!(known.position.revision, StoreRevision(100));
    assert_eq!(missing_count, 100);
    assert_eq!(
        applying.join().expect("the thread ends"),
        ApplyOutcome::Applied
    );
    assert_eq!(updates.pop(), Some(Update::Synchronised));
    let numbers: Vec<u64> = updates
        .iter()
        .filter_map(announced)
        .map(|one| one.0)
        .collect();
    assert_eq!(numbers, (0..100).collect::<Vec<u64>>());
}

/// Guards against updates that arrive in another order than the changes, so that the reactor ends
/// with an earlier state than the replica.
#[test]
fn updates_of_several_threads_arrive_in_the_order_of_changes() {
    let subject = Subject::with_queue(bounded(1));
    subject.apply(complete(1, 0, Vec::new()));
    assert_eq!(subject.updates(), [Update::Synchronised]);

    let threads: Vec<_> = (0..3)
        .map(|offset| {
            let (replica, now) = (subject.replica.clone(), subject.started);
            thread::spawn(move || {
                for revision in (1..300).filter(|revision| revision % 3 == offset) {
                    let item = change(&endpoint_key(1), revision, endpoint("ready", revision));
                    replica.apply(changes(1, revision, vec![item]), now);
                }
            })
        })
        .collect();

    let mut sequences = Vec::new();
    while sequences.last() != Some(&299) {
        let update = subject.updates.recv_timeout(CALL_LIMIT);
        let update = update.expect("the last change arrives");
        sequences.extend(announced(&update).map(|one| one.1));
    }

    for thread in threads {
        thread.join().expect("the thread ends");
    }
    assert!(sequences.is_sorted(), "{sequences:?}");
}

/// Guards against beacons, and with them all requests, that wait until a large page is applied.
#[test]
fn known_state_is_read_while_a_page_is_applied() {
    let subject = Subject::new();
    let items =
        (0..50_000).map(|number| change(&endpoint_key(number), number + 1, endpoint("ready", 1)));
    let page = complete(1, 50_000, items.collect());
    let (replica, now) = (subject.replica.clone(), subject.started);
    let (started, has_started) = bounded(1);

    let applying = thread::spawn(move || {
        started.send(()).expect("the test runs");
        replica.apply(page, now)
    });
    has_started.recv().expect("the thread starts");
    let reader = subject.replica.reader();
    let mut reads = 0;
    while !applying.is_finished() {
        reader.known();
        reads += 1;
        thread::sleep(READ_INTERVAL);
    }

    assert!(reads > MIN_READS, "{reads} reads");
    assert_eq!(reader.known().position.revision, StoreRevision(50_000));
}
