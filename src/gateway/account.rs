//! Client accounts of the operators' configuration: their keys, priority, homes and allotments.
//!
//! Only digests of keys are kept. They are compared in constant time, and neither a key nor its
//! digest is ever logged or sent.

use std::fmt;

use compact_str::CompactString;

use crate::auth::{
    KeyDigest,
    digest,
    is_same_digest, //
};

/// Digest of the key with which callers identify as an account; not shown in debug output.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ApiKey(KeyDigest);

impl ApiKey {
    /// Returns the digest of a key.
    pub fn new(key: &str) -> Self {
        Self(digest(key.as_bytes()))
    }

    /// Returns whether two keys are equal, in constant time.
    pub fn is_same(&self, other: &Self) -> bool {
        is_same_digest(&self.0, &other.0)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// What an allotment counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllotmentUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its maximum output tokens; one that states
    /// neither counts as `plain_tokens`.
    Tokens {
        /// Tokens of a request that states none.
        plain_tokens: u64,
    },
}

/// What an account may use over all hosts of all regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allotment {
    /// What is counted.
    pub unit: AllotmentUnit,
    /// Units a second; positive and finite.
    pub rate_per_s: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name, which endpoints are told.
    pub name: CompactString,
    /// Keys that callers of the account may use.
    pub keys: Vec<ApiKey>,
    /// Priority, which goes before that of a route; 0 is the highest.
    pub priority: Option<u8>,
    /// Regions that may serve the account; any region if empty.
    pub home_regions: Vec<CompactString>,
    /// What it may use; none for no limit.
    pub allotment: Option<Allotment>,
}

/// Returns the account that holds a key.
///
/// All keys are compared, so that the time taken does not depend on which of them matches.
pub fn account_of_key<'a>(accounts: &'a [Account], key: &str) -> Option<&'a Account> {
    let key = ApiKey::new(key);
    let mut found = None;
    for account in accounts {
        for known in &account.keys {
            if known.is_same(&key) {
                found = Some(account);
            }
        }
    }
    found
}
