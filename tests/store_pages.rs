//! Reads of all items of the store, which the client makes page by page.

use std::{
    collections::BTreeSet,
    sync::mpsc,
    thread,
    time::Duration, //
};

use cardamombridge::{
    platform::store::{
        Answer,
        Page,
        StoreClient,
        StoreError, //
    },
    standin::metadata_store::{
        MetadataStore,
        StoreFault, //
    }, //
};
use proptest::prelude::*;

/// Keys that a query string does not carry as they are.
const ODD_KEYS: [&str; 12] = [
    "servers/e-3&x=1",
    "servers/e-3&after=a",
    "servers/e-3+x",
    "servers/e-3#x",
    "servers/e-3 x",
    "servers/e-3%",
    "servers/e-%7A",
    "servers/e-3\nx",
    "servers/e-3\u{0}",
    "servers/e-3\"<>",
    "servers/e-\u{e9}\u{4e2d}",
    "op/evacuate/x&+#% y",
];

/// Limit for one read, so that an endless one fails its test.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Reads the items under a prefix; none if that has not ended within [`READ_LIMIT`].
fn read(store: &MetadataStore, prefix: &'static str) -> Option<Result<Answer<Page>, StoreError>> {
    let client = StoreClient::new(store.address(), Duration::from_secs(2));
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(client.range(prefix)));
    receiver.recv_timeout(READ_LIMIT).ok()
}

/// Returns the keys under a prefix that the client reads, each as often as it does.
fn read_keys(store: &MetadataStore, prefix: &'static str) -> Vec<String> {
    let answer = read(store, prefix).expect("the read ends");
    let answer = answer.expect("all items are read");
    let changes = answer.value.changes.into_iter();
    changes.map(|item| item.key.into()).collect()
}

fn store_with<'a, Keys>(keys: Keys, page_items: usize) -> MetadataStore
where
    Keys: IntoIterator<Item = &'a str>,
{
    let store = MetadataStore::start().expect("the store starts");
    store.set_page_items(page_items);
    for key in keys {
        store.put_text(key, "{}");
    }
    store
}

/// Guards against items that are skipped, or read twice, because of the characters in the
/// last key of a page.
#[test]
fn items_after_a_page_that_ends_with_an_odd_key_are_read() {
    for odd in ODD_KEYS {
        let keys = BTreeSet::from([
            "op/config",
            "servers/e-1",
            odd,
            "servers/e-5",
            "servers/e-z",
        ]);
        let store = store_with(keys.iter().copied(), 1);

        let read = read_keys(&store, "");

        assert!(
            read.iter().map(String::as_str).eq(keys),
            "{odd:?}: {read:?}"
        );
    }
}

/// Guards against a prefix whose characters change the query.
#[test]
fn prefix_is_read_as_it_is() {
    let store = store_with(["a", "a&b", "a&b+c", "a+b"], 1);

    let read = read_keys(&store, "a&b");

    assert_eq!(read, ["a&b", "a&b+c"]);
}

/// Guards against a read that asks for the same page without end, or that takes the items before
/// an empty page for all there are.
#[test]
fn read_ends_when_a_page_does_not_go_beyond_the_one_before() {
    for (fault, most_calls) in [(StoreFault::RepeatsPages, 2), (StoreFault::EmptyPages, 1)] {
        let store = store_with(["a", "b", "c"], 1);
        store.set_fault(fault);

        let result = read(&store, "");

        assert!(matches!(result, Some(Err(_))), "{fault:?}: {result:?}");
        assert_eq!(store.range_calls(), most_calls, "{fault:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any other key with the same effect.
    #[test]
    fn all_items_are_read_whatever_their_keys(
        keys in proptest::collection::btree_set("\\PC{1,12}|[ -~]{1,12}", 1..10),
        page_items in 1..4_usize,
    ) {
        let store = store_with(keys.iter().map(String::as_str), page_items);

        let read = read_keys(&store, "");

        prop_assert!(read.iter().eq(&keys), "{read:?}");
    }
}
