//! The digest of the call that a ticket is bound to, and its kept response.

use std::fmt;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::types::Bytes;

/// SHA-256 over the method, path and body of a call.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallDigest([u8; 32]);

impl CallDigest {
    /// Returns the digest of a call; `path` includes the query.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            // Without the length, bytes could move from one part to the next
            // and give the same digest.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Debug for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallDigest({self})")
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One header field of a kept response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeptField {
    /// Name in lower case.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

/// A complete response from an endpoint, kept so that it can be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct KeptResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields that describe the response, without connection fields.
    pub fields: Vec<KeptField>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl KeptResponse {
    /// Returns a response without header fields.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body,
        }
    }

    /// Adds a header field.
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.fields.push(KeptField {
            name: CompactString::from(name),
            value: CompactString::from(value),
        });
        self
    }

    /// Returns the bytes that count towards the limits of the table.
    pub fn size_bytes(&self) -> Bytes {
        let fields = self
            .fields
            .iter()
            .map(|field| field.name.len() + field.value.len());
        let bytes = self.body.len() + fields.sum::<usize>();
        Bytes(bytes as u64)
    }
}
