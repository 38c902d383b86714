//! Intent files: what an operator wants, as INI.
//!
//! Each section names an object, `[caller/NAME]`, `[model/NAME]` or
//! `[service/NAME]`, and states the whole object with the keys of its type in
//! [`crate::intent`]. An object that is not in the file stays as it is, and
//! `remove = true` as the only key removes one. Times are written `1600ms` and
//! money `5000000u`. The INI library reports no line for a key and joins a line
//! without a separator to the next one, so a scan checks the lines first.

use std::{
    collections::BTreeMap,
    fmt,
    str::FromStr, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use ini::{
    Ini,
    ParseOption,
    Properties, //
};

use crate::{
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

/// Where an intent file is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentFileError {
    /// Name of the file.
    pub file: CompactString,
    /// Line, counted from 1.
    pub line: usize,
    /// Key, section or line that is wrong.
    pub key: CompactString,
    /// Its value; none if it is missing.
    pub value: Option<CompactString>,
    /// What would have been accepted.
    pub expected: CompactString,
}

impl fmt::Display for IntentFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        match &self.value {
            Some(value) => write!(f, "{} has value {value:?}", self.key)?,
            None => write!(f, "{} is missing", self.key)?,
        }
        write!(f, ", expected {}", self.expected)
    }
}

impl std::error::Error for IntentFileError {}

/// Line numbers of one section.
#[derive(Debug, Default)]
struct SectionLines {
    line: usize,
    keys: BTreeMap<CompactString, usize>,
}

#[derive(Debug)]
struct Scan<'a> {
    file: &'a str,
    sections: BTreeMap<CompactString, SectionLines>,
}

/// Parses an intent file; `file` is its name for error messages.
pub fn parse(file: &str, text: &str) -> Result<Vec<ObjectChange>, IntentFileError> {
    let scan = Scan::new(file, text)?;
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|error| IntentFileError {
        file: CompactString::from(file),
        line: error.line,
        key: CompactString::from("line"),
        value: text
            .lines()
            .nth(error.line.max(1) - 1)
            .map(CompactString::from),
        expected: CompactString::from("[SECTION] or KEY = VALUE"),
    })?;
    let mut changes = Vec::new();
    for (section, properties) in &ini {
        // The scan has rejected keys before the first section.
        let Some(section) = section else { continue };
        changes.push(Section::new(&scan, section, properties).change()?);
    }
    Ok(changes)
}

impl<'a> Scan<'a> {
    fn new(file: &'a str, text: &str) -> Result<Self, IntentFileError> {
        let mut scan = Self {
            file,
            sections: BTreeMap::new(),
        };
        let mut section = None;
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let line = line.trim();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if let Some(rest) = line.strip_prefix('[') {
                section = Some(scan.add_section(line_number, rest)?);
            } else {
                scan.add_key(line_number, section.as_deref(), line)?;
            }
        }
        Ok(scan)
    }

    fn error(&self, line: usize, key: &str, value: &str, expected: &str) -> IntentFileError {
        IntentFileError {
            file: CompactString::from(self.file),
            line,
            key: CompactString::from(key),
            value: Some(CompactString::from(value)),
            expected: CompactString::from(expected),
        }
    }

    fn add_section(&mut self, line: usize, rest: &str) -> Result<CompactString, IntentFileError> {
        let Some(name) = rest.strip_suffix(']') else {
            return Err(self.error(line, "section", rest, "']' at the end of the line"));
        };
        let name = CompactString::from(name.trim());
        if let Some(known) = self.sections.get(&name) {
            let expected = format!("each section once, it is also on line {}", known.line);
            return Err(self.error(line, "section", &name, &expected));
        }
        let lines = SectionLines {
            line,
            keys: BTreeMap::new(),
        };
        self.sections.insert(name.clone(), lines);
        Ok(name)
    }

    fn add_key(
        &mut self,
        line: usize,
        section: Option<&str>,
        text: &str,
    ) -> Result<(), IntentFileError> {
        let Some((key, value)) = text.split_once(['=', ':']) else {
            return Err(self.error(line, "line", text, "[SECTION] or KEY = VALUE"));
        };
        let (key, value) = (key.trim(), value.trim());
        let Some(section) = section else {
            return Err(self.error(line, key, value, "a section before the first key"));
        };
        let Some(lines) = self.sections.get_mut(section) else {
            return Ok(());
        };
        if let Some(known) = lines.keys.insert(CompactString::from(key), line) {
            let expected = format!("each key once, it is also on line {known}");
            return Err(self.error(line, key, value, &expected));
        }
        Ok(())
    }
}

/// One section with what is needed to report errors in it.
#[derive(Debug)]
struct Section<'a> {
    scan: &'a Scan<'a>,
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn new(scan: &'a Scan<'a>, name: &'a str, properties: &'a Properties) -> Self {
        Self {
            scan,
            name,
            properties,
        }
    }

    fn line(&self, key: &str) -> usize {
        let Some(lines) = self.scan.sections.get(self.name) else {
            return 0;
        };
        lines.keys.get(key).copied().unwrap_or(lines.line)
    }

    fn error(&self, key: &str, value: &str, expected: &str) -> IntentFileError {
        self.scan.error(self.line(key), key, value, expected)
    }

    fn change(&self) -> Result<ObjectChange, IntentFileError> {
        let name: ObjectName = self
            .name
            .parse()
            .map_err(|error: ParseError| self.error("section", self.name, error.expected))?;
        if let Some(value) = self.properties.get(REMOVE_KEY) {
            self.check_removal(value)?;
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

    fn check_removal(&self, value: &str) -> Result<(), IntentFileError> {
        if value != "true" {
            return Err(self.error(REMOVE_KEY, value, "true, or no such key"));
        }
        self.check_keys(&[REMOVE_KEY])
    }

    fn check_keys(&self, known: &[&str]) -> Result<(), IntentFileError> {
        for (key, value) in self.properties.iter() {
            if !known.contains(&key) {
                let expected = format!("one of the keys {}", known.join(", "));
                return Err(self.error(key, value, &expected));
            }
        }
        Ok(())
    }

    fn caller(&self) -> Result<CallerIntent, IntentFileError> {
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

    fn model(&self) -> Result<ModelIntent, IntentFileError> {
        self.check_keys(MODEL_KEYS)?;
        Ok(ModelIntent {
            version: self.version()?,
            prefill_micros_per_ktok: self.value("prefill_micros_per_ktok")?,
            decode_micros_per_ktok: self.value("decode_micros_per_ktok")?,
        })
    }

    fn service(&self) -> Result<ServiceIntent, IntentFileError> {
        self.check_keys(SERVICE_KEYS)?;
        Ok(ServiceIntent {
            repeatable_methods: self.methods()?,
            call_micros: self.value("call_micros")?,
        })
    }

    fn text(&self, key: &str) -> Result<&'a str, IntentFileError> {
        self.properties.get(key).ok_or_else(|| IntentFileError {
            file: CompactString::from(self.scan.file),
            line: self.line(key),
            key: format_compact!("{key} in [{}]", self.name),
            value: None,
            expected: CompactString::from("every key of the object"),
        })
    }

    fn value<Value>(&self, key: &str) -> Result<Value, IntentFileError>
    where
        Value: FromStr<Err = ParseError>,
    {
        let text = self.text(key)?;
        text.parse()
            .map_err(|error: ParseError| self.error(key, text, error.expected))
    }

    /// A comma-separated list of different values.
    fn values<Value>(&self, key: &str) -> Result<Vec<Value>, IntentFileError>
    where
        Value: FromStr<Err = ParseError> + PartialEq,
    {
        let mut values = Vec::new();
        for text in self.items(key)? {
            let value = text
                .parse()
                .map_err(|error: ParseError| self.error(key, text, error.expected))?;
            if values.contains(&value) {
                return Err(self.error(key, text, "each item once"));
            }
            values.push(value);
        }
        Ok(values)
    }

    fn items(&self, key: &str) -> Result<Vec<&'a str>, IntentFileError> {
        let text = self.text(key)?;
        if text.is_empty() {
            return Ok(Vec::new());
        }
        Ok(text.split(',').map(str::trim).collect())
    }

    fn key_digest(&self) -> Result<CompactString, IntentFileError> {
        const KEY: &str = "key_sha256";
        let text = self.text(KEY)?;
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 64 || !text.bytes().all(is_digit) {
            return Err(self.error(KEY, text, "64 lower-case hexadecimal digits"));
        }
        Ok(CompactString::from(text))
    }

    fn permille(&self) -> Result<u16, IntentFileError> {
        const KEY: &str = "objective_permille";
        let text = self.text(KEY)?;
        text.parse()
            .map_err(|_| self.error(KEY, text, "a whole number from 1 to 999"))
    }

    fn version(&self) -> Result<CompactString, IntentFileError> {
        const KEY: &str = "version";
        let text = self.text(KEY)?;
        let is_valid = (1..=MAX_VERSION_BYTES).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_graphic());
        if !is_valid {
            return Err(self.error(KEY, text, "1 to 64 printable characters without spaces"));
        }
        Ok(CompactString::from(text))
    }

    fn methods(&self) -> Result<Vec<CompactString>, IntentFileError> {
        const KEY: &str = "repeatable_methods";
        let mut methods = Vec::new();
        for text in self.items(KEY)? {
            let is_method = !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase());
            if !is_method {
                return Err(self.error(KEY, text, "HTTP methods in upper case"));
            }
            methods.push(CompactString::from(text));
        }
        Ok(methods)
    }
}
