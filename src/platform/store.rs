//! Client of the platform's metadata store.
//!
//! Calls are blocking and sequential, over `oxhttp`. A call that gets no response
//! may still have been executed, so only idempotent calls are to be retried.
//!
//! Other writers put items into the store as well. An item or a field of one that
//! cannot be read says nothing about the items beside it, so each is decoded alone.

use std::{
    borrow::Cow,
    collections::BTreeSet,
    fmt,
    io::Read,
    net::SocketAddr,
    str::FromStr,
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
        Response,
        header::CONTENT_TYPE, //
    }, //
};
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    PercentEncode,
    utf8_percent_encode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    store_position::{
        StoreEra,
        StoreRevision, //
    },
    types::ParseError, //
};

/// Header in which the store states its era.
const ERA_HEADER: &str = "store-era";
/// Maximum size of a response: a page holds a megabyte of values in base64.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;
/// Characters that are encoded in a parameter: all that have a meaning in a query string, and
/// `+`, which some servers decode as a blank.
const PARAMETER_ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Lease of items that stay until they are deleted.
const NO_LEASE: LeaseId = LeaseId(0);

/// Error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No complete response arrived; the call may have been executed.
    #[error("no complete response from the store: {0}")]
    NoAnswer(std::io::Error),
    /// The store refused the call and did not execute it.
    #[error("store refused the call with status {0}, expected 2xx")]
    Refused(u16),
    /// The response cannot be decoded.
    #[error("invalid response of the store: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The store no longer has all changes after the revision.
    #[error("store no longer has all changes after the revision; its items have to be read again")]
    HistoryDropped,
    /// The lease does not exist or has ended.
    #[error("lease does not exist or has ended")]
    LeaseEnded,
    /// The store returned from an older copy between two pages.
    #[error("pages of one read state different eras; all items have to be read again")]
    MixedEras,
    /// The page says that there are more items, but does not go beyond the pages before.
    #[error(
        "page of {items} items after key {after:?} does not go beyond it, expected further items"
    )]
    NoProgress {
        /// Key after which the page begins; empty for the first page.
        after: CompactString,
        /// Number of items of the page.
        items: usize,
    },
}

/// Id of a lease; the store may give it out again in a later era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LeaseId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new("lease id", text, "a whole number"))
    }
}

/// Era as an answer of the store states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatedEra {
    /// The era.
    Era(StoreEra),
    /// The answer states no era.
    Missing,
    /// The answer states something that is not an era.
    Invalid(CompactString),
}

/// Result of a call, with the era that the answer states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer<T> {
    /// Era in which the store executed the call.
    pub era: StatedEra,
    /// Result of the call.
    pub value: T,
}

impl<T> Answer<T> {
    fn map<F, U>(self, convert: F) -> Answer<U>
    where
        F: FnOnce(T) -> U,
    {
        Answer {
            era: self.era,
            value: convert(self.value),
        }
    }
}

/// Write or deletion of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Key.
    pub key: CompactString,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// New value; none if the item was deleted.
    pub value: Option<Vec<u8>>,
}

/// Items or changes, with the revision up to which they are complete.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Items or changes, in the order received.
    pub changes: Vec<ItemChange>,
    /// Revision of the store at the time of the answer.
    pub revision: StoreRevision,
    /// Items that were passed over because their key or revision cannot be read.
    pub unreadable: usize,
}

/// An item, whose other fields are decoded once its key is known.
#[derive(Deserialize)]
struct WireItem<'a> {
    key: CompactString,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    #[serde(borrow)]
    rev: Option<&'a RawValue>,
    #[serde(borrow)]
    deleted: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct WirePage<'a> {
    #[serde(borrow, default, alias = "events")]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    current_rev: u64,
}

/// A page with what is needed to ask for the next one.
struct DecodedPage {
    page: Page,
    /// Key of the last item whose key can be read.
    last_key: Option<CompactString>,
    has_more: bool,
}

#[derive(Deserialize)]
struct WireLease {
    lease: u64,
}

#[derive(Serialize)]
struct WireTransaction<'a> {
    precondition: [(); 0],
    writes: &'a [WireWrite<'a>],
    remove: &'a [&'a str],
}

#[derive(Serialize)]
struct WireWrite<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

/// Client of the metadata store.
pub struct StoreClient {
    address: SocketAddr,
    client: Client,
}

impl StoreClient {
    /// Returns a client with a timeout for connecting and for responses.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            client: Client::new().with_global_timeout(timeout),
        }
    }

    /// Reads all items whose keys start with `prefix`, page by page.
    ///
    /// The pages are not a snapshot; changes after the revision of the first
    /// page have to be watched.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::MixedEras`] if the pages are of different eras, with
    /// [`StoreError::NoProgress`] if the store repeats a page, or if one of the calls fails.
    pub fn range(&self, prefix: &str) -> Result<Answer<Page>, StoreError> {
        let mut all = Page::default();
        let mut after: Option<CompactString> = None;
        // Keys are compared for equality only, because their order is the store's.
        let mut page_ends = BTreeSet::new();
        let mut first_era: Option<StatedEra> = None;
        loop {
            let Answer { era, value: next } = self.read_page(prefix, after.as_deref())?;
            if *first_era.get_or_insert_with(|| era.clone()) != era {
                return Err(StoreError::MixedEras);
            }
            if after.is_none() {
                all.revision = next.page.revision;
            }
            let items = next.page.changes.len() + next.page.unreadable;
            all.unreadable += next.page.unreadable;
            all.changes.extend(next.page.changes);
            if !next.has_more {
                return Ok(Answer { era, value: all });
            }
            match next.last_key.filter(|key| page_ends.insert(key.clone())) {
                Some(key) => after = Some(key),
                None => {
                    let after = after.unwrap_or_default();
                    return Err(StoreError::NoProgress { after, items });
                }
            }
        }
    }

    /// Reads the items under `prefix` that follow the key `after`, as many as fit into a page.
    fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Answer<DecodedPage>, StoreError> {
        let mut path = format!(
            "/cardamombridge/kv-range?prefix={}",
            encode_parameter(prefix)
        );
        if let Some(key) = after {
            path.push_str(&format!("&after={}", encode_parameter(key)));
        }
        let answer = self.call(Method::GET, &path, None)?;
        let page = decode_page(&answer.value)?;
        Ok(answer.map(|_| page))
    }

    /// Returns changes after `revision` under `prefix`; waits up to `wait` for the
    /// first one.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::HistoryDropped`] if the store no longer has all
    /// changes after `revision`, or if the call fails.
    pub fn watch(
        &self,
        prefix: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<Answer<Page>, StoreError> {
        let path = format!(
            "/cardamombridge/kv-watch?prefix={}&after={revision}&wait_ms={}",
            encode_parameter(prefix),
            wait.as_millis()
        );
        let answer = self.call(Method::GET, &path, None)?;
        let decoded = decode_page(&answer.value)?;
        Ok(answer.map(|_| decoded.page))
    }

    /// Creates a lease that ends unless it is renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub fn grant_lease(&self, ttl: Duration) -> Result<Answer<LeaseId>, StoreError> {
        let body = serde_json::json!({ "ttl_ms": ttl.as_millis() as u64 }).to_string();
        let answer = self.call(
            Method::POST,
            "/cardamombridge/kv-lease",
            Some(body.into_bytes()),
        )?;
        let lease: WireLease = serde_json::from_slice(&answer.value)?;
        Ok(answer.map(|_| LeaseId(lease.lease)))
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails if the lease has ended or the call fails.
    pub fn renew_lease(&self, lease: LeaseId) -> Result<Answer<()>, StoreError> {
        let path = format!("/cardamombridge/kv-keep/{lease}");
        let answer = self.call(Method::POST, &path, None)?;
        Ok(answer.map(drop))
    }

    /// Ends a lease, which deletes its items.
    ///
    /// # Errors
    ///
    /// Fails if the lease has ended or the call fails.
    pub fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/cardamombridge/kv-lease-end/{lease}");
        self.call(Method::DELETE, &path, None).map(drop)
    }

    /// Writes an item that stays until it is deleted.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub fn put_lasting(&self, key: &str, value: &[u8]) -> Result<Answer<()>, StoreError> {
        self.put(key, value, NO_LEASE)
    }

    /// Deletes an item.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub fn delete(&self, key: &str) -> Result<Answer<()>, StoreError> {
        self.transact(&[], &[key])
    }

    /// Writes an item that is deleted when `lease` ends.
    ///
    /// # Errors
    ///
    /// Fails if the lease has ended or the call fails.
    pub fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<Answer<()>, StoreError> {
        let write = WireWrite {
            key,
            value: STANDARD.encode(value),
            lease: lease.0,
        };
        self.transact(&[write], &[])
    }

    fn transact(
        &self,
        writes: &[WireWrite<'_>],
        remove: &[&str],
    ) -> Result<Answer<()>, StoreError> {
        let body = serde_json::to_vec(&WireTransaction {
            precondition: [],
            writes,
            remove,
        })?;
        let answer = self.call(Method::POST, "/cardamombridge/kv-txn", Some(body))?;
        Ok(answer.map(drop))
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Answer<Vec<u8>>, StoreError> {
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
        let era = decode_era(&response);
        let mut bytes = Vec::new();
        response
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut bytes)
            .map_err(StoreError::NoAnswer)?;
        Ok(Answer { era, value: bytes })
    }
}

/// Encodes the value of a parameter of a query string.
fn encode_parameter(value: &str) -> PercentEncode<'_> {
    utf8_percent_encode(value, PARAMETER_ENCODED)
}

fn decode_era(response: &Response<Body>) -> StatedEra {
    let Some(value) = response.headers().get(ERA_HEADER) else {
        return StatedEra::Missing;
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    match text.trim().parse() {
        Ok(era) => StatedEra::Era(era),
        Err(_) => StatedEra::Invalid(text.into()),
    }
}

/// Decodes a page; items whose key or revision cannot be read are counted only.
fn decode_page(bytes: &[u8]) -> Result<DecodedPage, serde_json::Error> {
    let text = String::from_utf8_lossy(bytes);
    let wire: WirePage<'_> = serde_json::from_str(&text)?;
    // A key in which bytes were replaced is another key.
    let is_replaced =
        |key: &str| matches!(text, Cow::Owned(_)) && key.contains(char::REPLACEMENT_CHARACTER);
    let mut decoded = DecodedPage {
        page: Page {
            revision: StoreRevision(wire.current_rev),
            ..Page::default()
        },
        last_key: None,
        has_more: wire.has_more,
    };
    for raw in wire.items {
        let item = serde_json::from_str::<WireItem<'_>>(raw.get()).ok();
        let Some(item) = item.filter(|item| !is_replaced(&item.key)) else {
            decoded.page.unreadable += 1;
            continue;
        };
        match decode_item(&item) {
            Some(change) => decoded.page.changes.push(change),
            None => decoded.page.unreadable += 1,
        }
        decoded.last_key = Some(item.key);
    }
    Ok(decoded)
}

/// Decodes an item; none if its revision cannot be read. A value that cannot be read is empty,
/// so that it replaces the one before.
fn decode_item(wire: &WireItem<'_>) -> Option<ItemChange> {
    let is_deleted = wire.deleted.is_some_and(|raw| raw.get() == "true");
    Some(ItemChange {
        key: wire.key.clone(),
        revision: StoreRevision(serde_json::from_str(wire.rev?.get()).ok()?),
        value: (!is_deleted).then(|| wire.value.and_then(decode_value).unwrap_or_default()),
    })
}

fn decode_value(raw: &RawValue) -> Option<Vec<u8>> {
    let text: String = serde_json::from_str(raw.get()).ok()?;
    STANDARD.decode(text).ok()
}
