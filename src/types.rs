//! Identifiers, sizes, times and money as distinct types.
//!
//! Text identifiers are short, lower-case names that come from settings,
//! intents or other hosts, so they are validated when they are parsed.
//! Quantities carry their unit in their name and print with it.

use std::{
    fmt,
    ops::{
        Add,
        Sub, //
    },
    str::FromStr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Longest text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Why a text is not a valid value of one of these types.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is not a valid {kind}: expected {expected}")]
pub struct ParseError {
    /// Name of the type, in words.
    pub kind: &'static str,
    /// The rejected text.
    pub value: CompactString,
    /// What would have been accepted.
    pub expected: &'static str,
}

impl ParseError {
    /// Describes a rejected text.
    pub fn new(kind: &'static str, value: &str, expected: &'static str) -> Self {
        Self {
            kind,
            value: CompactString::from(value),
            expected,
        }
    }
}

const ID_EXPECTED: &str = "1 to 64 characters of a-z, 0-9, '.', '_' and '-'";

fn is_valid_id(text: &str) -> bool {
    let length_ok = (1..=MAX_ID_BYTES).contains(&text.len());
    let is_id_byte =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-');
    length_ok && text.bytes().all(is_id_byte)
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if !is_valid_id(text) {
                    return Err(ParseError::new($kind, text, ID_EXPECTED));
                }
                Ok(Self(CompactString::from(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseError;

            fn try_from(text: CompactString) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// A region, such as `stred`.
    RegionId,
    "region"
);
text_id!(
    /// A data centre inside a region.
    DataCentreId,
    "data centre"
);
text_id!(
    /// An entry host.
    HostId,
    "host"
);
text_id!(
    /// A customer with its own key, intent and budget.
    CallerId,
    "caller"
);
text_id!(
    /// A model engine or plain service instance behind the gateway.
    EndpointId,
    "endpoint"
);
text_id!(
    /// A model, as callers name it.
    ModelId,
    "model"
);
text_id!(
    /// A plain service, as callers name it.
    ServiceId,
    "service"
);

/// Defines an id that is a number and is written in hexadecimal.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal, $format:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
                let parsed = <$inner>::from_str_radix(text, 16).ok();
                parsed
                    .filter(|_| is_hex)
                    .map(Self)
                    .ok_or_else(|| $crate::types::ParseError::new($kind, text, $expected))
            }
        }
    };
}

pub(crate) use hex_id;

hex_id!(
    /// One request of a caller, the same at every host it passes.
    RequestId,
    u128,
    "request id",
    "{:032x}",
    "up to 32 hexadecimal digits"
);
hex_id!(
    /// One run of a host process, drawn at random when it starts.
    Incarnation,
    u64,
    "incarnation",
    "{:016x}",
    "up to 16 hexadecimal digits"
);

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The sum, or the largest value if it does not fit.
            pub fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// The difference, or zero if `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                self.saturating_add(other)
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let expected = concat!("a whole number followed by '", $unit, "'");
                text.strip_suffix($unit)
                    .and_then(|number| number.parse().ok())
                    .map(Self)
                    .ok_or_else(|| ParseError::new($kind, text, expected))
            }
        }
    };
}

quantity!(
    /// A time span, or an instant counted from the Unix epoch, in milliseconds.
    Millis,
    "time",
    "ms"
);
quantity!(
    /// A number of bytes.
    Bytes,
    "size",
    "B"
);
quantity!(
    /// A number of model tokens.
    Tokens,
    "token count",
    "tok"
);
quantity!(
    /// Money in millionths of the currency unit.
    CostMicros,
    "cost",
    "u"
);
quantity!(
    /// A link rate in megabits per second.
    MbitPerSecond,
    "rate",
    "Mbit/s"
);

/// Defines a number that counts up and has no unit.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| $crate::types::ParseError::new($kind, text, "a whole number"))
            }
        }
    };
}

pub(crate) use counter;

/// Number of the configuration in force, one higher for each accepted change.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that the next accepted change gets.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new("revision", text, "a whole number"))
    }
}

/// Try number of one request, counted from 0.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u16);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A chat completion by a model.
    Model(ModelId),
    /// A call of a plain service.
    Service(ServiceId),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(id) => write!(f, "model/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
        }
    }
}

impl FromStr for Target {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once('/') {
            Some(("model", id)) => Ok(Self::Model(id.parse()?)),
            Some(("service", id)) => Ok(Self::Service(id.parse()?)),
            _ => Err(ParseError::new(
                "target",
                text,
                "model/NAME or service/NAME",
            )),
        }
    }
}

/// Scheduling class of a request, from the OpenAI field `service_tier`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Someone is waiting at the counter.
    Priority,
    /// Ordinary interactive work.
    Default,
    /// Background work that may wait.
    Flex,
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Priority => "priority",
            Self::Default => "default",
            Self::Flex => "flex",
        })
    }
}

impl FromStr for Tier {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "priority" => Ok(Self::Priority),
            "default" | "auto" => Ok(Self::Default),
            "flex" => Ok(Self::Flex),
            _ => Err(ParseError::new(
                "service tier",
                text,
                "priority, default, auto or flex",
            )),
        }
    }
}
