//! Reads the entries of one section by key and collects every mistake.

use std::str::FromStr;

use crate::ini::{Entry, Mistake, Section};

/// Allowed form of a name, as shown in mistakes.
pub(super) const NAME_FORM: &str = "1 to 64 of a-z, 0-9, '.', '_', '-'";

/// Reads the fields of one section.
pub(super) struct Fields<'a> {
    file: &'a str,
    section: &'a Section,
    /// Keys read so far; any other key in the section is a mistake.
    known: Vec<&'static str>,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(
        file: &'a str,
        section: &'a Section,
        mistakes: &'a mut Vec<Mistake>,
    ) -> Fields<'a> {
        Fields { file, section, known: Vec::new(), mistakes }
    }

    /// Whether the section has an entry for `key`.
    pub(super) fn has(&self, key: &str) -> bool {
        self.section.entries.iter().any(|entry| entry.key == key)
    }

    /// Returns the value of `key` as converted by `read`. Reports a mistake if
    /// the key is missing or `read` returns `None`.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            self.known.push(key);
            let allowed = format!("{allowed}; this key is required");
            self.mistake(self.section.line, key, "", allowed);
            return None;
        }
        self.optional(key, allowed, read)
    }

    /// Returns the value of `key`, if present, as converted by `read`. Reports
    /// a mistake if `read` returns `None`.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.section.entries.iter().find(|entry| entry.key == key)?;
        let value = read(&entry.value);
        if value.is_none() {
            self.mistake(entry.line, key, &entry.value, allowed.to_owned());
        }
        value
    }

    /// Returns a required value, parsed with the [`FromStr`] of its type.
    pub(super) fn parsed<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        self.required(key, allowed, |text| text.parse().ok())
    }

    /// Returns a required whole number of at least 1.
    pub(super) fn positive<T: FromStr + Default + PartialEq>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        let read = |text: &str| text.parse().ok().filter(|count| *count != T::default());
        self.required(key, "a whole number, 1 or more", read)
    }

    /// Returns a required `true` or `false`.
    pub(super) fn flag(&mut self, key: &'static str) -> Option<bool> {
        self.parsed(key, "true or false")
    }

    /// Reports keys that were never read and keys that occur more than once.
    pub(super) fn finish(mut self) {
        let section = self.section;
        for (index, entry) in section.entries.iter().enumerate() {
            if !self.known.contains(&entry.key.as_str()) {
                let allowed = format!("one of the keys {}", self.known.join(", "));
                self.mistake(entry.line, &entry.key, &entry.value, allowed);
            } else if let Some(first) = first_with_key(&section.entries[..index], &entry.key) {
                let allowed = format!("each key once; it stands in line {} already", first.line);
                self.mistake(entry.line, &entry.key, &entry.value, allowed);
            }
        }
    }

    fn mistake(&mut self, line: u32, key: &str, found: &str, allowed: String) {
        self.mistakes.push(Mistake {
            file: self.file.to_owned(),
            line,
            section: self.section.name.clone(),
            key: key.to_owned(),
            found: found.to_owned(),
            allowed,
        });
    }
}

fn first_with_key<'a>(entries: &'a [Entry], key: &str) -> Option<&'a Entry> {
    entries.iter().find(|entry| entry.key == key)
}
