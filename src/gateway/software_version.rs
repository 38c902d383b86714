//! Version of the software that an endpoint runs.

use std::{
    fmt,
    str::FromStr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::types::ParseError;

/// Longest version, in bytes.
const MAX_VERSION_BYTES: usize = 64;

/// Version of an endpoint's software.
///
/// Versions are only compared for equality, since a stream can continue only at the
/// version that began it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct SoftwareVersion(CompactString);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_valid = (1..=MAX_VERSION_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        match is_valid {
            true => Ok(Self(text.into())),
            false => Err(ParseError::new(
                "software version",
                text,
                "1 to 64 visible ASCII characters",
            )),
        }
    }
}

impl TryFrom<CompactString> for SoftwareVersion {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for CompactString {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}
