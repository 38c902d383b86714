//! Intent files: what an operator wants, as INI.
//!
//! Each section names an object, `[caller/NAME]`, `[model/NAME]` or
//! `[service/NAME]`, and states the whole object with the keys of its type in
//! [`crate::intent`]. An object that is not in the file stays as it is, and
//! `remove = true` as the only key removes one. Times are written `1600ms` and
//! money `5000000u`.

use std::{
    path::Path,
    str::FromStr, //
};

use compact_str::CompactString;

use crate::{
    ini_file::{
        Entry,
        IniError,
        IniFile,
        IniProblem,
        Section, //
    },
    intent::{
        CallerIntent,
        ModelIntent,
        Object,
        ObjectChange,
        ObjectName,
        ServiceIntent, //
    },
    types::ParseError, //
};

const CALLER_KEYS: &[&str] = &[
    "key_sha256",
    "home",
    "regions",
    "targets",
    "tier",
    "first_token_ms",
    "deadline_ms",
    "objective_permille",
    "budget_micros",
    "period_ms",
];
const MODEL_KEYS: &[&str] = &[
    "version",
    "prefill_micros_per_ktok",
    "decode_micros_per_ktok",
];
const SERVICE_KEYS: &[&str] = &["repeatable_methods", "call_micros"];
const REMOVE_KEY: &str = "remove";
const MAX_VERSION_BYTES: usize = 64;

/// Parses an intent file; `file` is its name for error messages.
pub fn parse(file: &str, text: &str) -> Result<Vec<ObjectChange>, IniError> {
    let file = IniFile::parse(Path::new(file), text)?;
    let read = |section| ObjectReader {
        file: &file,
        section,
    };
    file.sections
        .iter()
        .map(|section| read(section).change())
        .collect()
}

/// Reads one section.
struct ObjectReader<'a> {
    file: &'a IniFile,
    section: &'a Section,
}

impl ObjectReader<'_> {
    fn change(&self) -> Result<ObjectChange, IniError> {
        let name = self.name()?;
        if let Some(entry) = self.section.entry(REMOVE_KEY) {
            self.check_removal(entry)?;
            return Ok(ObjectChange { name, object: None });
        }
        let object = match &name {
            ObjectName::Caller(_) => Object::Caller(self.caller()?),
            ObjectName::Model(_) => Object::Model(self.model()?),
            ObjectName::Service(_) => Object::Service(self.service()?),
        };
        Ok(ObjectChange {
            name,
            object: Some(object),
        })
    }

    fn name(&self) -> Result<ObjectName, IniError> {
        self.section.name.parse().map_err(|error: ParseError| {
            let problem = IniProblem::UnknownSection {
                section: self.section.name.clone(),
                expected: error.expected.into(),
            };
            self.file.error(self.section.line, problem)
        })
    }

    fn check_removal(&self, entry: &Entry) -> Result<(), IniError> {
        if entry.value != "true" {
            return Err(self.bad_value(entry, "true, or no such key"));
        }
        self.check_keys(&[REMOVE_KEY])
    }

    fn check_keys(&self, known: &[&str]) -> Result<(), IniError> {
        self.file.reject_unknown_keys(self.section, known)
    }

    fn caller(&self) -> Result<CallerIntent, IniError> {
        self.check_keys(CALLER_KEYS)?;
        Ok(CallerIntent {
            key_sha256: self.key_digest()?,
            home: self.value("home")?,
            regions: self.values("regions")?,
            targets: self.values("targets")?,
            tier: self.value("tier")?,
            first_token_ms: self.value("first_token_ms")?,
            deadline_ms: self.value("deadline_ms")?,
            objective_permille: self.permille()?,
            budget_micros: self.value("budget_micros")?,
            period_ms: self.value("period_ms")?,
        })
    }

    fn model(&self) -> Result<ModelIntent, IniError> {
        self.check_keys(MODEL_KEYS)?;
        Ok(ModelIntent {
            version: self.version()?,
            prefill_micros_per_ktok: self.value("prefill_micros_per_ktok")?,
            decode_micros_per_ktok: self.value("decode_micros_per_ktok")?,
        })
    }

    fn service(&self) -> Result<ServiceIntent, IniError> {
        self.check_keys(SERVICE_KEYS)?;
        Ok(ServiceIntent {
            repeatable_methods: self.methods()?,
            call_micros: self.value("call_micros")?,
        })
    }

    fn entry(&self, key: &str) -> Result<&Entry, IniError> {
        self.section.entry(key).ok_or_else(|| {
            let problem = IniProblem::MissingKey {
                section: self.section.name.clone(),
                key: key.into(),
            };
            self.file.error(self.section.line, problem)
        })
    }

    fn bad_value(&self, entry: &Entry, expected: &str) -> IniError {
        self.file.bad_value(self.section, entry, expected)
    }

    fn value<Value>(&self, key: &str) -> Result<Value, IniError>
    where
        Value: FromStr<Err = ParseError>,
    {
        self.file.value(self.section, key)
    }

    /// A comma-separated list of different values.
    fn values<Value>(&self, key: &str) -> Result<Vec<Value>, IniError>
    where
        Value: FromStr<Err = ParseError> + PartialEq,
    {
        let entry = self.entry(key)?;
        let mut values = Vec::new();
        for text in items(entry) {
            let value = text
                .parse()
                .map_err(|error: ParseError| self.bad_value(entry, error.expected))?;
            if values.contains(&value) {
                return Err(self.bad_value(entry, "each item once"));
            }
            values.push(value);
        }
        Ok(values)
    }

    fn key_digest(&self) -> Result<CompactString, IniError> {
        let entry = self.entry("key_sha256")?;
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if entry.value.len() != 64 || !entry.value.bytes().all(is_digit) {
            return Err(self.bad_value(entry, "64 lower-case hexadecimal digits"));
        }
        Ok(entry.value.clone())
    }

    fn permille(&self) -> Result<u16, IniError> {
        let entry = self.entry("objective_permille")?;
        let parsed = entry.value.parse();
        parsed.map_err(|_| self.bad_value(entry, "a whole number from 1 to 999"))
    }

    fn version(&self) -> Result<CompactString, IniError> {
        let entry = self.entry("version")?;
        let is_valid = (1..=MAX_VERSION_BYTES).contains(&entry.value.len())
            && entry.value.bytes().all(|b| b.is_ascii_graphic());
        if !is_valid {
            return Err(self.bad_value(entry, "1 to 64 printable characters without spaces"));
        }
        Ok(entry.value.clone())
    }

    fn methods(&self) -> Result<Vec<CompactString>, IniError> {
        let entry = self.entry("repeatable_methods")?;
        let mut methods = Vec::new();
        for text in items(entry) {
            let is_method = !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase());
            if !is_method {
                return Err(self.bad_value(entry, "HTTP methods in upper case"));
            }
            methods.push(CompactString::from(text));
        }
        Ok(methods)
    }
}

fn items(entry: &Entry) -> Vec<&str> {
    if entry.value.is_empty() {
        return Vec::new();
    }
    entry.value.split(',').map(str::trim).collect()
}
