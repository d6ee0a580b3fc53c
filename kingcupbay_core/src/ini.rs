//! INI text as sections and entries that know their line.

use ini_core::{Item, Parser};
use thiserror::Error;

/// One `[section]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets; empty before the first section.
    pub name: String,
    /// Line of its header, from 1.
    pub line: u32,
    /// Its entries, in order.
    pub entries: Vec<Entry>,
}

/// One `key = value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, trimmed.
    pub value: String,
    /// Its line, from 1.
    pub line: u32,
}

/// A mistake in a file, complete for the person who wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Error)]
#[error("{file}:{line}: [{section}] {key}: found {found:?}, allowed: {allowed}")]
pub struct Mistake {
    /// The file.
    pub file: String,
    /// Its line, from 1.
    pub line: u32,
    /// The section.
    pub section: String,
    /// The key, empty when the section as a whole is meant.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

/// Reads `text`; every line that is neither section, entry, comment nor blank
/// is a mistake, and all are reported at once.
pub fn parse(file: &str, text: &str) -> Result<Vec<Section>, Vec<Mistake>> {
    let mut sections = vec![Section { name: String::new(), line: 1, entries: Vec::new() }];
    let mut mistakes = Vec::new();
    let mut parser = Parser::new(text).comment_char(b'#').auto_trim(true);
    loop {
        // The parser counts the lines it has finished, so this is the next one.
        let line = parser.line() + 1;
        let Some(item) = parser.next() else { break };
        let current = sections.last_mut().expect("never empty");
        match item {
            Item::Section(name) => {
                sections.push(Section { name: name.to_owned(), line, entries: Vec::new() });
            }
            Item::Property(key, Some(value)) => {
                current.entries.push(Entry { key: key.to_owned(), value: value.to_owned(), line });
            }
            Item::Property(found, None) | Item::Error(found) => mistakes.push(Mistake {
                file: file.to_owned(),
                line,
                section: current.name.clone(),
                key: String::new(),
                found: found.to_owned(),
                allowed: "[section], key = value, or # comment".to_owned(),
            }),
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }
    if mistakes.is_empty() { Ok(sections) } else { Err(mistakes) }
}
