//! The platform's store: ranges, watches, transactions and leases, as PROTOCOL.md says.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Wire,
    json::{Json, base64},
};

const PAGE_ITEMS: usize = 500;

struct Event {
    key: String,
    revision: u64,
    /// Value in base64, and its lease; none for a deletion.
    value: Option<(String, u64)>,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (u64, u64, String, u64)>,
    history: Vec<Event>,
    /// Revision from which on the history is kept.
    history_start: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.1);
        let item = (self.revision, created, value.clone(), lease);
        self.items.insert(key.into(), item);
        self.history.push(Event {
            key: key.into(),
            revision: self.revision,
            value: Some((value, lease)),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Event {
                key: key.into(),
                revision: self.revision,
                value: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.3 == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter();
        let ended = leases.filter(|(_, (since, ttl))| now > *since + *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("a port for the store");
        let store = Self {
            content: Arc::default(),
            address: listener.local_addr().expect("an address"),
        };
        store.lock().revision = 10;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.lock().expire();
                expiring.content.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.0.lock().expect("the store")
    }

    /// Writes or removes items in one change, as the operator or replicas do.
    pub fn change(&self, changes: &[(String, Option<String>)]) -> u64 {
        let mut content = self.lock();
        content.revision += 1;
        for (key, value) in changes {
            match value {
                Some(value) => content.write(key, base64(value.as_bytes()), 0),
                None => content.remove(key),
            }
        }
        let revision = content.revision;
        drop(content);
        self.content.1.notify_all();
        revision
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(&[(key.into(), Some(value.into()))]);
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            let (body, _) = wire.read_body(&head, false, |_| {});
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.method(), head.target(), &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if wire.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let call = path.strip_prefix("/cardamombridge/").unwrap_or("");
        match (method, call) {
            ("GET", "kv-range") => (200, self.range(&parameter("prefix"), &parameter("after"))),
            ("GET", "kv-watch") => {
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(
                    &parameter("prefix"),
                    parameter("after").parse().unwrap_or(0),
                    wait,
                )
            }
            ("POST", "kv-txn") => self.transact(body),
            ("POST", "kv-lease") => {
                let ttl = Json::parse(body).and_then(|json| json.get("ttl_ms")?.number());
                let ttl_ms = ttl.unwrap_or(1_000).max(1_000);
                let mut content = self.lock();
                content.next_lease += 1;
                let lease = content.next_lease;
                let term = (Instant::now(), Duration::from_millis(ttl_ms));
                content.leases.insert(lease, term);
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", call) if call.starts_with("kv-keep/") => {
                let lease = call["kv-keep/".len()..].parse().unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some(term) => {
                        term.0 = Instant::now();
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", call) if call.starts_with("kv-lease-end/") => {
                let lease = call["kv-lease-end/".len()..].parse().unwrap_or(0);
                self.lock().end_lease(lease);
                self.content.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.lock();
        let items = content.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let has_more = items.next().is_some();
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"current_rev\":{}}}",
            page.join(","),
            content.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut content = self.lock();
        loop {
            if after < content.history_start {
                return (410, "{}".into());
            }
            let events = content.history.iter();
            let events = events.filter(|e| e.revision > after && e.key.starts_with(prefix));
            let texts: Vec<String> = events.map(event_text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let revision = content.revision;
                let text = format!(
                    "{{\"events\":[{}],\"current_rev\":{revision}}}",
                    texts.join(",")
                );
                return (200, text);
            }
            content = self
                .content
                .1
                .wait_timeout(content, left)
                .expect("the store")
                .0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(json) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let list = |name: &str| {
            json.get(name)
                .map(|list| list.list().to_vec())
                .unwrap_or_default()
        };
        let mut content = self.lock();
        for row in list("precondition") {
            let key = row.get("key").and_then(Json::text).unwrap_or("");
            let revision = row.get("rev").and_then(Json::number).unwrap_or(0);
            if content.items.get(key).map_or(0, |item| item.0) != revision {
                return (412, "{\"items\":[]}".into());
            }
        }
        let writes = list("writes");
        let lease_of = |write: &Json| write.get("lease").and_then(Json::number).unwrap_or(0);
        let is_known = |lease: u64| lease == 0 || content.leases.contains_key(&lease);
        if !writes.iter().map(lease_of).all(is_known) {
            return (404, "{}".into());
        }
        content.revision += 1;
        for write in &writes {
            let key = write.get("key").and_then(Json::text).unwrap_or("");
            let value = write.get("value").and_then(Json::text).unwrap_or("");
            content.write(key, value.into(), lease_of(write));
        }
        for key in list("remove") {
            content.remove(key.text().unwrap_or(""));
        }
        let revision = content.revision;
        drop(content);
        self.content.1.notify_all();
        (200, format!("{{\"rev\":{revision}}}"))
    }
}

fn item_text(key: &str, (revision, created, value, lease): &(u64, u64, String, u64)) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

fn event_text(event: &Event) -> String {
    let (key, revision) = (&event.key, event.revision);
    match &event.value {
        Some((value, lease)) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{revision},\"lease\":{lease}}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
