//! INI files with the line of every section and key.
//!
//! `rust-ini` parses the text but does not keep line numbers, so a scan finds
//! them afterwards. Sections and keys that appear twice are errors, since the
//! second one would silently win.

use std::{
    collections::HashSet,
    fmt,
    path::{
        Path,
        PathBuf, //
    },
    str::FromStr, //
};

use compact_str::CompactString;
use ini::{
    EscapePolicy,
    Ini,
    ParseOption, //
};
use thiserror::Error;

use crate::types::ParseError;

/// What is wrong with an INI file, and where.
#[derive(Debug, Error)]
#[error("{}:{line}: {problem}", path.display())]
pub struct IniError {
    /// The file.
    pub path: PathBuf,
    /// Line, counted from 1.
    pub line: usize,
    /// The problem.
    pub problem: Box<IniProblem>,
}

/// What is wrong at one place of an INI file.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum IniProblem {
    /// The text is not INI.
    #[error("not valid INI: {0}")]
    Syntax(CompactString),
    /// The same section appears again.
    #[error("section [{0}] appears twice: expected each section once")]
    DuplicateSection(CompactString),
    /// The same key appears again in one section.
    #[error("key {key:?} in [{section}] has value {value:?}: expected each key once")]
    DuplicateKey {
        /// Section.
        section: CompactString,
        /// Key.
        key: CompactString,
        /// The value of the second one.
        value: CompactString,
    },
    /// A line is neither a section nor a key.
    #[error("line has value {0:?}: expected [SECTION] or KEY = VALUE")]
    BadLine(CompactString),
    /// A key stands above all sections.
    #[error("key {key:?} has value {value:?}: expected a section before the first key")]
    KeyOutsideSection {
        /// Key.
        key: CompactString,
        /// Value.
        value: CompactString,
    },
    /// The section has no meaning.
    #[error("unknown section [{section}]: expected {expected}")]
    UnknownSection {
        /// Section.
        section: CompactString,
        /// What would have been accepted.
        expected: CompactString,
    },
    /// The key has no meaning in its section.
    #[error("unknown key {key:?} in [{section}] has value {value:?}: expected one of {expected}")]
    UnknownKey {
        /// Section.
        section: CompactString,
        /// Key.
        key: CompactString,
        /// The value in the file.
        value: CompactString,
        /// Keys that would have been accepted.
        expected: CompactString,
    },
    /// A required section is absent.
    #[error("missing section: expected [{0}]")]
    MissingSection(CompactString),
    /// A required key is absent.
    #[error("missing key in [{section}]: expected {key:?} with a value")]
    MissingKey {
        /// Section.
        section: CompactString,
        /// Key.
        key: CompactString,
    },
    /// The value of a key cannot be used.
    #[error("key {key:?} in [{section}] has value {value:?}: expected {expected}")]
    BadValue {
        /// Section.
        section: CompactString,
        /// Key.
        key: CompactString,
        /// The value in the file.
        value: CompactString,
        /// What would have been accepted.
        expected: CompactString,
    },
}

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: CompactString,
    /// Value without surrounding space.
    pub value: CompactString,
    /// Line, counted from 1.
    pub line: usize,
}

/// One section; the keys before the first one are in a section without a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name between the brackets.
    pub name: CompactString,
    /// Line of the brackets, counted from 1.
    pub line: usize,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// A parsed INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFile {
    /// Where it came from, for messages.
    pub path: PathBuf,
    /// Sections in order.
    pub sections: Vec<Section>,
}

impl IniFile {
    /// Parses `text`, which was read from `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, IniError> {
        let fail = |line, problem| IniError {
            path: path.to_path_buf(),
            line,
            problem: Box::new(problem),
        };
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let lines = scan_lines(text).map_err(|(line, problem)| fail(line, problem))?;
        let parsed = Ini::load_from_str_opt(text, options)
            .map_err(|error| fail(error.line, IniProblem::Syntax(error.msg.as_ref().into())))?;

        let mut sections = Vec::new();
        let mut names = HashSet::new();
        for (name, properties) in &parsed {
            let name = CompactString::from(name.unwrap_or_default());
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let line = section_line(&lines, &name, 0);
            if !names.insert(name.clone()) {
                let again = section_line(&lines, &name, 1);
                return Err(fail(again, IniProblem::DuplicateSection(name)));
            }
            let section =
                read_section(&lines, name, line, properties).map_err(|e| fail(e.0, e.1))?;
            sections.push(section);
        }
        Ok(Self {
            path: path.to_path_buf(),
            sections,
        })
    }

    /// The section with this name, if present.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// The section with this name.
    pub fn require(&self, name: &str) -> Result<&Section, IniError> {
        self.section(name)
            .ok_or_else(|| self.error(1, IniProblem::MissingSection(name.into())))
    }

    /// A section that has to exist and may only have these keys.
    pub fn known_section(&self, name: &str, keys: &[&str]) -> Result<&Section, IniError> {
        let section = self.require(name)?;
        self.reject_unknown_keys(section, keys)?;
        Ok(section)
    }

    /// Refuses a value that has the right type but cannot work.
    pub fn check<F>(
        &self,
        section: &Section,
        key: &str,
        expected: &str,
        is_valid: F,
    ) -> Result<(), IniError>
    where
        F: Fn(&str) -> bool,
    {
        match section.entry(key) {
            Some(entry) if !is_valid(&entry.value) => Err(self.bad_value(section, entry, expected)),
            _ => Ok(()),
        }
    }

    /// An error at a line of this file.
    pub fn error(&self, line: usize, problem: IniProblem) -> IniError {
        IniError {
            path: self.path.clone(),
            line,
            problem: Box::new(problem),
        }
    }

    /// An error for the first section for which `is_known` is false.
    pub fn reject_unknown_sections<F>(&self, is_known: F, expected: &str) -> Result<(), IniError>
    where
        F: Fn(&str) -> bool,
    {
        match self.sections.iter().find(|found| !is_known(&found.name)) {
            Some(section) => Err(self.error(
                section.line,
                IniProblem::UnknownSection {
                    section: section.name.clone(),
                    expected: expected.into(),
                },
            )),
            None => Ok(()),
        }
    }

    /// An error for the first key of `section` that is not in `known`.
    pub fn reject_unknown_keys(&self, section: &Section, known: &[&str]) -> Result<(), IniError> {
        let unknown = section
            .entries
            .iter()
            .find(|entry| !known.contains(&entry.key.as_str()));
        match unknown {
            Some(entry) => Err(self.error(
                entry.line,
                IniProblem::UnknownKey {
                    section: section.name.clone(),
                    key: entry.key.clone(),
                    value: entry.value.clone(),
                    expected: known.join(", ").into(),
                },
            )),
            None => Ok(()),
        }
    }

    /// The value of a required key.
    pub fn value<T>(&self, section: &Section, key: &str) -> Result<T, IniError>
    where
        T: FromStr,
        T::Err: Expectation,
    {
        match self.optional(section, key)? {
            Some(value) => Ok(value),
            None => Err(self.error(
                section.line,
                IniProblem::MissingKey {
                    section: section.name.clone(),
                    key: key.into(),
                },
            )),
        }
    }

    /// The value of a key that may be absent.
    pub fn optional<T>(&self, section: &Section, key: &str) -> Result<Option<T>, IniError>
    where
        T: FromStr,
        T::Err: Expectation,
    {
        let Some(entry) = section.entry(key) else {
            return Ok(None);
        };
        match entry.value.parse() {
            Ok(value) => Ok(Some(value)),
            Err(error) => Err(self.bad_value(section, entry, &error.expected())),
        }
    }

    /// The values of a comma-separated key; none if the key is absent.
    pub fn list<T>(&self, section: &Section, key: &str) -> Result<Vec<T>, IniError>
    where
        T: FromStr,
        T::Err: Expectation,
    {
        let Some(entry) = section.entry(key) else {
            return Ok(Vec::new());
        };
        entry
            .value
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| {
                part.parse::<T>()
                    .map_err(|error| self.bad_value(section, entry, &error.expected()))
            })
            .collect()
    }

    /// The error for a value that is not what was expected.
    pub fn bad_value(&self, section: &Section, entry: &Entry, expected: &str) -> IniError {
        self.error(
            entry.line,
            IniProblem::BadValue {
                section: section.name.clone(),
                key: entry.key.clone(),
                value: entry.value.clone(),
                expected: expected.into(),
            },
        )
    }
}

impl Section {
    /// The entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// A parse error that can say what would have been accepted.
pub trait Expectation: fmt::Display {
    /// What would have been accepted.
    fn expected(&self) -> CompactString;
}

impl Expectation for ParseError {
    fn expected(&self) -> CompactString {
        self.expected.into()
    }
}

impl Expectation for std::net::AddrParseError {
    fn expected(&self) -> CompactString {
        "an IP address and port such as 127.0.0.1:8080".into()
    }
}

impl Expectation for std::num::ParseIntError {
    fn expected(&self) -> CompactString {
        "a whole number in range".into()
    }
}

impl Expectation for std::str::ParseBoolError {
    fn expected(&self) -> CompactString {
        "true or false".into()
    }
}

impl Expectation for std::convert::Infallible {
    fn expected(&self) -> CompactString {
        "text".into()
    }
}

/// A line of the text that opens a section or sets a key.
enum Line<'a> {
    Section(usize, &'a str),
    Key(usize, &'a str),
}

/// Checks each line by itself: the library joins a line without a separator to
/// the next one and ignores text after the brackets of a section.
fn scan_lines(text: &str) -> Result<Vec<Line<'_>>, (usize, IniProblem)> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        let bad_line = || (number, IniProblem::BadLine(line.into()));
        if let Some(rest) = line.strip_prefix('[') {
            let name = rest.strip_suffix(']').ok_or_else(bad_line)?;
            found.push(Line::Section(number, name.trim()));
            continue;
        }
        let (key, value) = line.split_once(['=', ':']).ok_or_else(bad_line)?;
        if found.is_empty() {
            let problem = IniProblem::KeyOutsideSection {
                key: key.trim().into(),
                value: value.trim().into(),
            };
            return Err((number, problem));
        }
        found.push(Line::Key(number, key.trim()));
    }
    Ok(found)
}

fn section_line(lines: &[Line<'_>], name: &str, skip: usize) -> usize {
    let mut matching = lines.iter().filter_map(|line| match line {
        Line::Section(number, found) if *found == name => Some(*number),
        _ => None,
    });
    matching.nth(skip).unwrap_or(1)
}

fn key_line(lines: &[Line<'_>], section: usize, key: &str, skip: usize) -> usize {
    let mut in_section = lines
        .iter()
        .skip_while(|line| !matches!(line, Line::Section(number, _) if *number == section))
        .skip(1)
        .take_while(|line| matches!(line, Line::Key(..)))
        .filter_map(|line| match line {
            Line::Key(number, found) if *found == key => Some(*number),
            _ => None,
        });
    in_section.nth(skip).unwrap_or(section)
}

fn read_section(
    lines: &[Line<'_>],
    name: CompactString,
    line: usize,
    properties: &ini::Properties,
) -> Result<Section, (usize, IniProblem)> {
    let mut entries: Vec<Entry> = Vec::new();
    for (key, value) in properties.iter() {
        if entries.iter().any(|entry| entry.key == key) {
            let problem = IniProblem::DuplicateKey {
                section: name,
                key: key.into(),
                value: value.trim().into(),
            };
            return Err((key_line(lines, line, key, 1), problem));
        }
        entries.push(Entry {
            key: key.into(),
            value: value.trim().into(),
            line: key_line(lines, line, key, 0),
        });
    }
    Ok(Section {
        name,
        line,
        entries,
    })
}

/// Writes sections and keys as an INI text.
pub fn write<'a, S>(sections: S) -> String
where
    S: IntoIterator<Item = (&'a str, Vec<(&'a str, String)>)>,
{
    let mut file = Ini::new();
    for (name, entries) in sections {
        let mut section = file.with_section(Some(name));
        for (key, value) in entries {
            section.set(key, value);
        }
    }
    let mut text = Vec::new();
    // Writing to memory does not fail.
    let _ = file.write_to_policy(&mut text, EscapePolicy::Nothing);
    String::from_utf8_lossy(&text).into_owned()
}
