//! Stand-in of the platform's metadata store.
//!
//! Speaks the published calls: range, watch, transactions and leases. It can be
//! down, forget its history, lose answers and return from an older copy, as the
//! platform's store does. Items are listed page by page, in the order of their keys.

use std::{
    collections::BTreeMap,
    fmt,
    io,
    net::SocketAddr,
    ops::Bound,
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use percent_encoding::percent_decode_str;
use serde_json::{
    Value,
    json, //
};

use super::listener::{
    Listener,
    Next,
    Request,
    lock,
    respond_json, //
};
use crate::http::{
    connection::Connection,
    message::{
        Headers,
        MessageError, //
    }, //
};

/// Header that states the era in every answer.
const ERA_HEADER: &str = "store-era";
/// Longest wait of a watch, as published.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Most items of a page, as published.
const MAX_PAGE_ITEMS: usize = 500;

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses all calls.
    Busy,
    /// It closes connections without an answer.
    Down,
    /// It executes calls and closes the connection instead of answering.
    LosesAnswers,
    /// Its watches report no changes, although they tell the newest revision.
    DeafWatches,
    /// It answers each call for the next page with the first one.
    RepeatsPages,
    /// Its pages are empty, although they say that there are more.
    EmptyPages,
}

impl StoreFault {
    /// Whether calls are answered with a result.
    fn is_answering(self) -> bool {
        match self {
            Self::None | Self::DeafWatches | Self::RepeatsPages | Self::EmptyPages => true,
            Self::Busy | Self::Down | Self::LosesAnswers => false,
        }
    }
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// What the store loses when it returns from a copy.
#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>, u64)>,
    history: Vec<Change>,
    history_start: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Returns the value that is stored instead of one that a host writes under a key.
type RewriteValue = dyn Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync;

#[derive(Clone)]
struct Rewrite(Arc<RewriteValue>);

impl fmt::Debug for Rewrite {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Rewrite")
    }
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    page_items: usize,
    /// Calls that list items.
    range_calls: u64,
    /// Items by key, as they are shown instead of what they are.
    shown: BTreeMap<String, Value>,
    copy: Content,
    rewrite: Option<Rewrite>,
    era: u64,
    /// Value of the era's header if it is not the era; no header if empty.
    era_text: Option<String>,
    fault: StoreFault,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running stand-in of the store.
#[derive(Debug)]
pub struct MetadataStore {
    listener: Listener,
    shared: Arc<Shared>,
}

/// The store as some hosts see it: with other values, at an address of its own.
#[derive(Debug)]
pub struct StoreView {
    listener: Listener,
}

impl StoreView {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl Content {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        match &value {
            Some(bytes) => {
                let item = (self.revision, bytes.clone(), lease);
                self.items.insert(key.into(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(Change {
            key: key.into(),
            revision: self.revision,
            value,
        });
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.2 == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(&key, None, 0);
        }
        existed
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ends, _))| *ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn changes_after(&self, prefix: &str, revision: u64) -> Vec<Value> {
        self.history
            .iter()
            .filter(|change| change.revision > revision && change.key.starts_with(prefix))
            .map(|change| match &change.value {
                Some(value) => json!({
                    "key": change.key, "rev": change.revision,
                    "created": change.revision, "lease": 0, "value": STANDARD.encode(value),
                }),
                None => json!({ "key": change.key, "rev": change.revision, "deleted": true }),
            })
            .collect()
    }
}

impl MetadataStore {
    /// Starts an empty store on a free port of loopback.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let mut state = lock(&shared.state);
        state.content.revision = 1;
        state.page_items = MAX_PAGE_ITEMS;
        state.era = 1;
        drop(state);
        let served = Arc::clone(&shared);
        let listener = Listener::start(0, move |connection, request| {
            serve(&served, connection, &request)
        })?;
        Ok(Self { listener, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Writes an item, as the operator and endpoints do.
    pub fn put(&self, key: &str, value: &Value) {
        let value = value.to_string().into_bytes();
        lock(&self.shared.state).content.write(key, Some(value), 0);
        self.shared.changed.notify_all();
    }

    /// Writes an item of any text, as another writer may.
    pub fn put_text(&self, key: &str, text: &str) {
        let value = text.as_bytes().to_vec();
        lock(&self.shared.state).content.write(key, Some(value), 0);
        self.shared.changed.notify_all();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        lock(&self.shared.state).content.write(key, None, 0);
        self.shared.changed.notify_all();
    }

    /// Stores what `rewrite` returns instead of the values that hosts write, if it returns
    /// something, as with a network that translates their addresses.
    pub fn set_rewrite<F>(&self, rewrite: F)
    where
        F: Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    {
        lock(&self.shared.state).rewrite = Some(Rewrite(Arc::new(rewrite)));
    }

    /// Serves the same items at another address, with what `rewrite` returns for a value that
    /// is read, if it returns something, as to hosts that reach endpoints by other paths.
    pub fn view<F>(&self, rewrite: F) -> io::Result<StoreView>
    where
        F: Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let listener = Listener::start(0, move |connection, request| {
            serve_with(&shared, connection, &request, |body| {
                rewrite_values(body, &rewrite);
            })
        })?;
        Ok(StoreView { listener })
    }

    /// Sets how the store misbehaves.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.shared.state).fault = fault;
        self.shared.changed.notify_all();
    }

    /// Shows `item` instead of the item with this key, whatever `item` is.
    pub fn show_instead(&self, key: &str, item: &Value) {
        let shown = &mut lock(&self.shared.state).shown;
        shown.insert(key.into(), item.clone());
    }

    /// Sets the most items of a page.
    pub fn set_page_items(&self, page_items: usize) {
        lock(&self.shared.state).page_items = page_items;
    }

    /// Number of calls so far that list items.
    pub fn range_calls(&self) -> u64 {
        lock(&self.shared.state).range_calls
    }

    /// Drops all history, so that watches from earlier revisions fail.
    pub fn drop_history(&self) {
        let content = &mut lock(&self.shared.state).content;
        content.history.clear();
        content.history_start = content.revision;
        self.shared.changed.notify_all();
    }

    /// Copies the content, for [`Self::return_from_copy`].
    pub fn take_copy(&self) {
        let mut state = lock(&self.shared.state);
        state.copy = state.content.clone();
    }

    /// Replaces the content by the last copy: what was written since is lost, leases
    /// too, and revisions are given out again.
    pub fn return_from_copy(&self) {
        let mut state = lock(&self.shared.state);
        state.content = state.copy.clone();
        state.era += 1;
        self.shared.changed.notify_all();
    }

    /// Sends `text` instead of the era, or no era if it is empty.
    pub fn set_era_text(&self, text: Option<&str>) {
        lock(&self.shared.state).era_text = text.map(str::to_owned);
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.shared.state).content.revision
    }

    /// Keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = &mut lock(&self.shared.state).content;
        content.expire(Instant::now());
        let keys = content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

fn rewrite_values<F>(body: &mut Value, rewrite: F)
where
    F: Fn(&str, &[u8]) -> Option<Vec<u8>>,
{
    for name in ["items", "events"] {
        let items = body.get_mut(name).and_then(Value::as_array_mut);
        for item in items.into_iter().flatten() {
            let key = item["key"].as_str().unwrap_or_default();
            let value = STANDARD.decode(item["value"].as_str().unwrap_or_default());
            if let Some(value) = value.ok().and_then(|value| rewrite(key, &value)) {
                item["value"] = STANDARD.encode(value).into();
            }
        }
    }
}

/// Replaces items and events by what is shown instead of them.
fn replace_items(body: &mut Value, shown: &BTreeMap<String, Value>) {
    for name in ["items", "events"] {
        let items = body.get_mut(name).and_then(Value::as_array_mut);
        for item in items.into_iter().flatten() {
            let replacement = item["key"].as_str().and_then(|key| shown.get(key));
            if let Some(replacement) = replacement {
                *item = replacement.clone();
            }
        }
    }
}

fn serve(
    shared: &Shared,
    connection: &mut Connection,
    request: &Request,
) -> Result<Next, MessageError> {
    serve_with(shared, connection, request, |_| {})
}

fn serve_with<F>(
    shared: &Shared,
    connection: &mut Connection,
    request: &Request,
    change: F,
) -> Result<Next, MessageError>
where
    F: Fn(&mut Value),
{
    let fault = lock(&shared.state).fault;
    let refused = json!({ "error": "busy" });
    match fault {
        StoreFault::Down => return Ok(Next::Close),
        StoreFault::Busy => return respond_json(connection, 503, era_header(shared), &refused),
        _ => {}
    }
    let (status, mut body) = answer(shared, request);
    change(&mut body);
    replace_items(&mut body, &lock(&shared.state).shown);
    let fault = lock(&shared.state).fault;
    if !fault.is_answering() {
        return Ok(Next::Close);
    }
    respond_json(connection, status, era_header(shared), &body)
}

fn era_header(shared: &Shared) -> Headers {
    let state = lock(&shared.state);
    let text = state.era_text.clone();
    match text.unwrap_or_else(|| state.era.to_string()) {
        text if text.is_empty() => Headers::new(),
        text => Headers::new().with_field(ERA_HEADER, &text),
    }
}

fn answer(shared: &Shared, request: &Request) -> (u16, Value) {
    let (path, query) = match request.head.path.split_once('?') {
        Some((path, query)) => (path, query),
        None => (&*request.head.path, ""),
    };
    let name = path.trim_start_matches("/cardamombridge/");
    let (call, id) = name.split_once('/').unwrap_or((name, ""));
    let id = id.parse().unwrap_or(0);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    if call == "kv-watch" {
        return watch(shared, query);
    }
    let mut state = lock(&shared.state);
    let rewrite = state.rewrite.clone();
    let (fault, page_items) = (state.fault, state.page_items);
    state.range_calls += u64::from(call == "kv-range");
    let content = &mut state.content;
    content.expire(Instant::now());
    let answer = match call {
        "kv-range" => range(content, query, page_items, fault),
        "kv-txn" => transact(content, &body, rewrite.as_ref()),
        "kv-lease" => {
            let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
            content.next_lease += 1;
            let lease = content.next_lease;
            content.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                200,
                json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }),
            )
        }
        "kv-keep" => match content.leases.get_mut(&id) {
            Some((ends, ttl)) => {
                *ends = Instant::now() + *ttl;
                (200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
            }
            None => (404, json!({})),
        },
        "kv-lease-end" => match content.end_lease(id) {
            true => (200, json!({})),
            false => (404, json!({})),
        },
        _ => (400, json!({})),
    };
    drop(state);
    shared.changed.notify_all();
    answer
}

fn range(content: &Content, query: &str, page_items: usize, fault: StoreFault) -> (u16, Value) {
    let prefix = parameter(query, "prefix");
    let (after, page_items) = match fault {
        StoreFault::RepeatsPages => (String::new(), page_items),
        StoreFault::EmptyPages => (String::new(), 0),
        _ => (parameter(query, "after"), page_items),
    };
    let first = match after.is_empty() {
        true => Bound::Unbounded,
        false => Bound::Excluded(after),
    };
    let mut found = content
        .items
        .range((first, Bound::Unbounded))
        .filter(|(key, _)| key.starts_with(&prefix));
    let items: Vec<Value> = found
        .by_ref()
        .take(page_items)
        .map(|(key, (revision, value, lease))| {
            json!({
                "key": key, "rev": revision, "created": revision, "lease": lease,
                "value": STANDARD.encode(value),
            })
        })
        .collect();
    let has_more = found.next().is_some();
    let body = json!({ "items": items, "has_more": has_more, "current_rev": content.revision });
    (200, body)
}

fn transact(content: &mut Content, body: &Value, rewrite: Option<&Rewrite>) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let holds = rows("precondition").iter().all(|row| {
        let key = row["key"].as_str().unwrap_or_default();
        let found = content.items.get(key).map_or(0, |item| item.0);
        Some(found) == row["rev"].as_u64()
    });
    if !holds {
        return (412, json!({ "items": [] }));
    }
    for write in rows("writes") {
        let lease = write["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !content.leases.contains_key(&lease) {
            return (404, json!({}));
        }
        let value = STANDARD
            .decode(write["value"].as_str().unwrap_or_default())
            .unwrap_or_default();
        let key = write["key"].as_str().unwrap_or_default();
        let rewritten = rewrite.and_then(|rewrite| rewrite.0(key, &value));
        content.write(key, Some(rewritten.unwrap_or(value)), lease);
    }
    for key in rows("remove") {
        content.write(key.as_str().unwrap_or_default(), None, 0);
    }
    (200, json!({ "rev": content.revision }))
}

fn watch(shared: &Shared, query: &str) -> (u16, Value) {
    let prefix = parameter(query, "prefix");
    let after = parameter(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "wait_ms").parse().unwrap_or(0));
    let deadline = Instant::now() + wait.min(MAX_WAIT);
    let mut state = lock(&shared.state);
    loop {
        state.content.expire(Instant::now());
        let content = &state.content;
        let is_deaf = state.fault == StoreFault::DeafWatches;
        if after < content.history_start || after > content.revision || !state.fault.is_answering()
        {
            return (410, json!({}));
        }
        let events = match is_deaf {
            true => Vec::new(),
            false => content.changes_after(&prefix, after),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let body = json!({ "events": events, "current_rev": content.revision });
            return (200, body);
        }
        // Leases end without a notification.
        let pause = left.min(Duration::from_millis(50));
        let waited = shared.changed.wait_timeout(state, pause);
        state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

/// Returns a parameter, decoded like a field of a form.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value.replace('+', " "))
        .map(|value| percent_decode_str(&value).decode_utf8_lossy().into_owned())
        .next()
        .unwrap_or_default()
}
