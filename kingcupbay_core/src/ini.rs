//! Parses INI text into sections and entries with their line numbers.

use ini_core::{Item, Parser};
use thiserror::Error;

/// A `[section]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets; empty before the first section.
    pub name: String,
    /// Line of the section header, from 1.
    pub line: u32,
    /// Entries of the section, in file order.
    pub entries: Vec<Entry>,
}

/// A `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Text before the `=`.
    pub key: String,
    /// Text after the `=`, trimmed.
    pub value: String,
    /// Line of the entry, from 1.
    pub line: u32,
}

/// A mistake in a file, with all that its author needs to correct it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Error)]
#[error("{file}:{line}: [{section}] {key}: found {found:?}, allowed: {allowed}")]
pub struct Mistake {
    /// Name of the file.
    pub file: String,
    /// Line of the mistake, from 1.
    pub line: u32,
    /// Title of the section.
    pub section: String,
    /// Key of the entry; empty if the mistake concerns the whole section.
    pub key: String,
    /// Text that was found.
    pub found: String,
    /// Description of what is allowed.
    pub allowed: String,
}

/// Parses `text`, the content of `file`.
///
/// # Errors
///
/// Returns a mistake for every line that is not a section, an entry, a comment
/// or blank.
pub fn parse(file: &str, text: &str) -> Result<Vec<Section>, Vec<Mistake>> {
    let mut sections = vec![Section { name: String::new(), line: 1, entries: Vec::new() }];
    let mut mistakes = Vec::new();
    let mut parser = Parser::new(text).comment_char(b'#').auto_trim(true);
    loop {
        // The parser counts completed lines; the next item is on the line after.
        let line = parser.line() + 1;
        let Some(item) = parser.next() else { break };
        let current = sections.last_mut().expect("the list of sections is never empty");
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
