//! The configuration in force: what operators have confirmed.
//!
//! Intents are a set of named objects. An accepted change replaces or removes
//! whole objects, and each object carries the revision that last touched it, so
//! that two changes conflict only where they touch the same object.

use std::{
    collections::BTreeMap,
    fmt,
    str::FromStr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::types::{
    CallerId,
    CostMicros,
    Millis,
    ModelId,
    ParseError,
    RegionId,
    Revision,
    ServiceId,
    Target,
    Tier, //
};

/// Name of one object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub enum ObjectName {
    /// A caller with its key, residency, objectives and budget.
    Caller(CallerId),
    /// A model with its version and price.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller(id) => write!(f, "caller/{id}"),
            Self::Model(id) => write!(f, "model/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
        }
    }
}

impl FromStr for ObjectName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once('/') {
            Some(("caller", id)) => Ok(Self::Caller(id.parse()?)),
            Some(("model", id)) => Ok(Self::Model(id.parse()?)),
            Some(("service", id)) => Ok(Self::Service(id.parse()?)),
            _ => Err(ParseError::new(
                "object name",
                text,
                "caller/NAME, model/NAME or service/NAME",
            )),
        }
    }
}

impl TryFrom<CompactString> for ObjectName {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ObjectName> for CompactString {
    fn from(name: ObjectName) -> Self {
        compact_str::format_compact!("{name}")
    }
}

/// What a caller may use, where its data may live, and what it may spend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerIntent {
    /// SHA-256 of the caller's bearer key, in lower-case hexadecimal.
    pub key_sha256: CompactString,
    /// Region that serves the caller by default.
    pub home: RegionId,
    /// Regions that may see the caller's requests and data; includes `home`.
    pub regions: Vec<RegionId>,
    /// Models and services that the caller may use.
    pub targets: Vec<Target>,
    /// Highest scheduling class that the caller may ask for.
    pub tier: Tier,
    /// Objective for the time to the first token.
    pub first_token_ms: Millis,
    /// Deadline of a request that names none, and the longest one accepted.
    pub deadline_ms: Millis,
    /// Share of requests that must meet the objectives, in thousandths.
    pub objective_permille: u16,
    /// Spending limit for one period.
    pub budget_micros: CostMicros,
    /// Length of one budget period.
    pub period_ms: Millis,
}

/// A model that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// Version that endpoints must serve to receive requests.
    pub version: CompactString,
    /// Price of a thousand prompt tokens that are not cached.
    pub prefill_micros_per_ktok: CostMicros,
    /// Price of a thousand generated tokens.
    pub decode_micros_per_ktok: CostMicros,
}

/// A plain service that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// HTTP methods whose calls may be repeated; all others need a ticket.
    pub repeatable_methods: Vec<CompactString>,
    /// Price of one call.
    pub call_micros: CostMicros,
}

/// Body of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A caller.
    Caller(CallerIntent),
    /// A model.
    Model(ModelIntent),
    /// A plain service.
    Service(ServiceIntent),
}

/// An object with the revision of the change that last touched it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: Revision,
    /// What is in force.
    pub object: Object,
}

/// All objects in force at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Intents {
    /// Revision of the newest change in here.
    pub revision: Revision,
    /// Objects by name.
    pub objects: BTreeMap<ObjectName, Versioned>,
}

impl Intents {
    /// An empty configuration at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same configuration with `object` added at the next revision.
    pub fn with_object(mut self, name: ObjectName, object: Object) -> Self {
        self.revision = self.revision.next();
        let revision = self.revision;
        self.objects.insert(name, Versioned { revision, object });
        self
    }

    /// The intent of a caller.
    pub fn caller(&self, id: &CallerId) -> Option<&CallerIntent> {
        match &self.objects.get(&ObjectName::Caller(id.clone()))?.object {
            Object::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    /// The intent of a model.
    pub fn model(&self, id: &ModelId) -> Option<&ModelIntent> {
        match &self.objects.get(&ObjectName::Model(id.clone()))?.object {
            Object::Model(model) => Some(model),
            _ => None,
        }
    }

    /// The intent of a plain service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceIntent> {
        match &self.objects.get(&ObjectName::Service(id.clone()))?.object {
            Object::Service(service) => Some(service),
            _ => None,
        }
    }

    /// All callers in order of their names.
    pub fn callers(&self) -> impl Iterator<Item = (&CallerId, &CallerIntent)> {
        self.objects
            .iter()
            .filter_map(|(name, versioned)| match (name, &versioned.object) {
                (ObjectName::Caller(id), Object::Caller(caller)) => Some((id, caller)),
                _ => None,
            })
    }
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
pub fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, at) in digest.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[at..at + 2], 16).ok()?;
    }
    Some(digest)
}

/// Identifies a change: the SHA-256 of the plan that it was confirmed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ChangeId([u8; 32]);

impl ChangeId {
    /// The id with this digest.
    pub fn new(digest: [u8; 32]) -> Self {
        Self(digest)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ChangeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_sha256(text)
            .map(Self)
            .ok_or_else(|| ParseError::new("change id", text, "64 hexadecimal digits"))
    }
}

impl TryFrom<CompactString> for ChangeId {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ChangeId> for CompactString {
    fn from(id: ChangeId) -> Self {
        compact_str::format_compact!("{id}")
    }
}

/// What one object becomes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object.
    pub name: ObjectName,
    /// Its new body; none removes it.
    pub object: Option<Object>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the change.
    pub id: ChangeId,
    /// Revision that it made.
    pub revision: Revision,
    /// When it was accepted, by the clock of the accepting host.
    pub accepted_ms: Millis,
    /// Objects that it replaces or removes.
    pub objects: Vec<ObjectChange>,
}

/// A change that does not follow the revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("change has revision {change}, expected {in_force} + 1")]
pub struct RevisionGap {
    /// Revision in force.
    pub in_force: Revision,
    /// Revision of the change.
    pub change: Revision,
}

impl Intents {
    /// Applies the next change; returns `false` if it is already in force.
    pub fn apply(&mut self, change: &Change) -> Result<bool, RevisionGap> {
        if change.revision <= self.revision {
            return Ok(false);
        }
        if change.revision != self.revision.next() {
            return Err(RevisionGap {
                in_force: self.revision,
                change: change.revision,
            });
        }
        self.revision = change.revision;
        self.replace(change.revision, &change.objects);
        Ok(true)
    }

    /// The same configuration with objects replaced or removed as in a change
    /// that has not been accepted.
    pub fn with_changes(mut self, changes: &[ObjectChange]) -> Self {
        let revision = self.revision.next();
        self.replace(revision, changes);
        self
    }

    fn replace(&mut self, revision: Revision, changes: &[ObjectChange]) {
        for ObjectChange { name, object } in changes {
            match object.clone() {
                Some(object) => {
                    let versioned = Versioned { revision, object };
                    self.objects.insert(name.clone(), versioned);
                }
                None => {
                    self.objects.remove(name);
                }
            }
        }
    }
}
