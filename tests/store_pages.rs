//! Reads of all items of the store, which the client makes page by page.

use std::{
    collections::BTreeSet,
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
    sync::mpsc,
    thread,
    time::Duration, //
};

use cardamombridge::{
    platform::store::{
        Answer,
        ItemChange,
        Page,
        StoreClient,
        StoreError, //
    },
    standin::{
        listener::STANDIN_IP,
        metadata_store::{
            MetadataStore,
            StoreFault, //
        }, //
    },
    store_position::StoreRevision, //
};
use proptest::prelude::*;
use serde_json::{
    Value,
    json, //
};

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

/// Items that no store lists, of which the key cannot be read.
fn items_without_key(_key: &str) -> Vec<Value> {
    vec![
        json!(null),
        json!(7),
        json!("text"),
        json!([]),
        json!({}),
        json!({ "key": 7, "rev": 3, "value": "e30=" }),
        json!({ "rev": 3, "value": "e30=" }),
    ]
}

/// Items that no store lists, with a key.
fn items_with_key(key: &str) -> Vec<Value> {
    vec![
        json!({ "key": key, "rev": "3", "value": "e30=" }),
        json!({ "key": key, "rev": -1, "value": "e30=" }),
        json!({ "key": key, "value": "e30=" }),
        json!({ "key": key, "rev": 3, "value": 5 }),
        json!({ "key": key, "rev": 3, "value": null }),
        json!({ "key": key, "rev": 3, "value": "e30=", "deleted": "no" }),
        json!({ "key": key, "rev": 3, "value": { "key": [] }, "deleted": 1 }),
    ]
}

/// Checks that all items but an odd one are read, for each place that it may have in a page.
fn check_others_are_read<OddItems>(page_items: usize, odd_items: OddItems)
where
    OddItems: Fn(&str) -> Vec<Value>,
{
    const KEYS: [&str; 5] = ["a", "b", "c", "d", "e"];
    for odd in KEYS {
        for item in odd_items(odd) {
            let store = store_with(KEYS, page_items);
            store.show_instead(odd, &item);

            let read = read_keys(&store, "");

            let others = read.iter().filter(|key| *key != odd);
            let expected = KEYS.iter().filter(|key| **key != odd);
            assert!(
                others.eq(expected),
                "{odd} of pages of {page_items}, {item}: {read:?}"
            );
        }
    }
}

/// Guards against a page of which no item is read because one of them is odd.
#[test]
fn items_beside_an_odd_one_are_read() {
    for page_items in [1, 2, 3, 10] {
        check_others_are_read(page_items, items_with_key);
    }
}

/// Guards against the same where the key of the item cannot be read, so that no page can begin
/// after it.
#[test]
fn items_beside_one_without_a_key_are_read() {
    for page_items in [2, 3, 10] {
        check_others_are_read(page_items, items_without_key);
    }
}

/// Guards against a page of which no item is read because a key is no valid text: one has bytes
/// that are not UTF-8, the other one half of a surrogate pair.
#[test]
fn items_beside_keys_that_are_no_text_are_read() {
    let body = b"{\"items\":[{\"key\":\"a\",\"rev\":2},{\"key\":\"b\xff\",\"rev\":3},\
        {\"key\":\"\\ud800\",\"rev\":4},{\"key\":\"c\",\"rev\":5}],\"current_rev\":5}";
    let listener = TcpListener::bind((STANDIN_IP, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(read > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let response = [head.as_bytes(), body].concat();
        stream.write_all(&response).expect("the response is sent");
    });

    let answer = StoreClient::new(address, READ_LIMIT).range("");

    let page = answer.expect("the page is read").value;
    let keys = page.changes.iter().map(|change| change.key.as_str());
    assert!(keys.eq(["a", "c"]), "{page:?}");
    assert_eq!(page.unreadable, 2);
}

/// Guards against changes that are lost because one of them is odd.
#[test]
fn changes_beside_an_odd_one_are_read() {
    for item in [items_with_key("b"), items_without_key("b")].concat() {
        let store = store_with(["a", "b", "c"], 10);
        store.show_instead("b", &item);
        let client = StoreClient::new(store.address(), Duration::from_secs(2));

        let answer = client.watch("", StoreRevision(1), Duration::ZERO);

        let changes = answer.expect("the changes are read").value.changes;
        let others = changes.iter().map(|change| change.key.as_str());
        assert!(
            others.filter(|key| *key != "b").eq(["a", "c"]),
            "{item}: {changes:?}"
        );
    }
}

/// Guards against a value that cannot be read and leaves the one before in effect.
#[test]
fn value_of_another_type_replaces_the_one_before() {
    let store = store_with(["a"], 10);
    store.show_instead("a", &json!({ "key": "a", "rev": 2, "value": 5 }));
    let client = StoreClient::new(store.address(), Duration::from_secs(2));

    let answer = client.watch("", StoreRevision(1), Duration::ZERO);

    let changes = answer.expect("the changes are read").value.changes;
    let expected = ItemChange {
        key: "a".into(),
        revision: StoreRevision(2),
        value: Some(Vec::new()),
    };
    assert_eq!(changes, [expected]);
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
