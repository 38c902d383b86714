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
