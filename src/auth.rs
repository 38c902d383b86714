//! Bearer keys of callers and operators.
//!
//! Keys are compared by their SHA-256 digests in constant time. Neither a key
//! nor its digest is ever logged.

use std::collections::HashMap;

use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

use crate::{
    intent::Intents,
    types::CallerId, //
};

const BEARER_PREFIX: &str = "Bearer ";

/// SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// Digest of a key.
pub fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

/// Digest in the form that intents hold.
pub fn digest_hex(key: &[u8]) -> String {
    digest(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// The key in an `Authorization` field.
pub fn bearer(field: Option<&str>) -> Option<&str> {
    field?.strip_prefix(BEARER_PREFIX).map(str::trim)
}

/// Whether two digests are equal, in constant time.
pub fn is_same_digest(left: &KeyDigest, right: &KeyDigest) -> bool {
    left.ct_eq(right).into()
}

/// Finds callers by their keys, for one revision of the intents.
#[derive(Debug, Default)]
pub struct CallerKeys {
    by_digest: HashMap<KeyDigest, CallerId>,
}

impl CallerKeys {
    /// The keys of all callers.
    pub fn new(intents: &Intents) -> Self {
        let by_digest = intents
            .callers()
            .filter_map(|(id, caller)| Some((parse_hex(&caller.key_sha256)?, id.clone())))
            .collect();
        Self { by_digest }
    }

    /// The caller with this key.
    pub fn find(&self, key: &str) -> Option<&CallerId> {
        let wanted = digest(key.as_bytes());
        let (found, caller) = self.by_digest.get_key_value(&wanted)?;
        is_same_digest(found, &wanted).then_some(caller)
    }
}

fn parse_hex(text: &str) -> Option<KeyDigest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
