//! Client of the platform's metadata store.
//!
//! One blocking call at a time, over `oxhttp`. A call that gets no answer may
//! still have been executed, so callers repeat only what may be repeated.

use std::{
    io::Read,
    net::SocketAddr,
    time::Duration, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compact_str::CompactString;
use oxhttp::{
    Client,
    model::{
        Body,
        Method,
        Request,
        header::CONTENT_TYPE, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Largest answer that is read: a page holds a megabyte of values in base64.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No complete answer arrived; the call may have been executed.
    #[error("no answer: {0}")]
    NoAnswer(std::io::Error),
    /// The store refused the call and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The history after the revision is gone.
    #[error("the history after that revision is gone")]
    HistoryDropped,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
}

/// A number that orders all changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// Identity of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// An item as it was written, or its deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Key.
    pub key: CompactString,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The value; none if the item was deleted.
    pub value: Option<Vec<u8>>,
}

/// Items or changes, and the revision that they reach.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Items or changes, in order.
    pub changes: Vec<ItemChange>,
    /// Revision of the store, or of the host, when it answered.
    pub revision: StoreRevision,
}

#[derive(Deserialize)]
struct WireItem {
    key: CompactString,
    #[serde(default)]
    value: String,
    rev: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct WirePage {
    #[serde(default, alias = "events")]
    items: Vec<WireItem>,
    #[serde(default)]
    has_more: bool,
    current_rev: u64,
}

#[derive(Deserialize)]
struct WireLease {
    lease: u64,
}

#[derive(Serialize)]
struct WireTransaction<'a> {
    precondition: [(); 0],
    writes: [WireWrite<'a>; 1],
    remove: [(); 0],
}

#[derive(Serialize)]
struct WireWrite<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

/// Client of the store.
pub struct StoreClient {
    address: SocketAddr,
    client: Client,
}

impl StoreClient {
    /// A client that gives up after `timeout`, for connecting and for answers.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            client: Client::new().with_global_timeout(timeout),
        }
    }

    /// All items whose keys start with `prefix`.
    ///
    /// The pages are not a snapshot; changes after the revision of the first
    /// page have to be watched.
    pub fn range(&self, prefix: &str) -> Result<Page, StoreError> {
        let mut all = Page::default();
        let mut after: Option<CompactString> = None;
        loop {
            let mut path = format!("/cardamombridge/kv-range?prefix={prefix}");
            if let Some(key) = &after {
                path.push_str("&after=");
                path.push_str(key);
            }
            let page: WirePage = serde_json::from_slice(&self.call(Method::GET, &path, None)?)?;
            if after.is_none() {
                all.revision = StoreRevision(page.current_rev);
            }
            after = page.items.last().map(|item| item.key.clone());
            all.changes.extend(page.items.into_iter().map(decode_item));
            if !page.has_more || after.is_none() {
                return Ok(all);
            }
        }
    }

    /// Changes after `revision` under `prefix`, waiting for the first of them.
    pub fn watch(
        &self,
        prefix: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<Page, StoreError> {
        let path = format!(
            "/cardamombridge/kv-watch?prefix={prefix}&after={}&wait_ms={}",
            revision.0,
            wait.as_millis()
        );
        let page: WirePage = serde_json::from_slice(&self.call(Method::GET, &path, None)?)?;
        Ok(Page {
            revision: StoreRevision(page.current_rev),
            changes: page.items.into_iter().map(decode_item).collect(),
        })
    }

    /// Takes a lease.
    pub fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = serde_json::json!({ "ttl_ms": ttl.as_millis() as u64 }).to_string();
        let response = self.call(
            Method::POST,
            "/cardamombridge/kv-lease",
            Some(body.into_bytes()),
        )?;
        let lease: WireLease = serde_json::from_slice(&response)?;
        Ok(LeaseId(lease.lease))
    }

    /// Renews a lease.
    pub fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/cardamombridge/kv-keep/{}", lease.0);
        self.call(Method::POST, &path, None).map(drop)
    }

    /// Ends a lease; its keys are deleted.
    pub fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/cardamombridge/kv-lease-end/{}", lease.0);
        self.call(Method::DELETE, &path, None).map(drop)
    }

    /// Writes an item that is deleted when `lease` ends.
    pub fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<(), StoreError> {
        let body = serde_json::to_vec(&WireTransaction {
            precondition: [],
            writes: [WireWrite {
                key,
                value: STANDARD.encode(value),
                lease: lease.0,
            }],
            remove: [],
        })?;
        self.call(Method::POST, "/cardamombridge/kv-txn", Some(body))
            .map(drop)
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Vec<u8>, StoreError> {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json");
        let request = builder
            .body(Body::from(body.unwrap_or_default()))
            .map_err(|error| StoreError::NoAnswer(std::io::Error::other(error)))?;
        let response = self.client.request(request).map_err(StoreError::NoAnswer)?;
        match response.status().as_u16() {
            200..=299 => {}
            404 => return Err(StoreError::LeaseEnded),
            410 => return Err(StoreError::HistoryDropped),
            status => return Err(StoreError::Refused(status)),
        }
        let mut bytes = Vec::new();
        response
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut bytes)
            .map_err(StoreError::NoAnswer)?;
        Ok(bytes)
    }
}

fn decode_item(wire: WireItem) -> ItemChange {
    let value = (!wire.deleted).then(|| STANDARD.decode(&wire.value).unwrap_or_default());
    ItemChange {
        key: wire.key,
        revision: StoreRevision(wire.rev),
        value,
    }
}
