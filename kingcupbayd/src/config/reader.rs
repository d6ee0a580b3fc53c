//! Typed reading of settings that collects every mistake.

use std::{fmt::Display, str::FromStr};

use kingcupbay_core::{
    ini::{Mistake, Section},
    time::Span,
};

/// Reads typed values from sections and collects their mistakes.
pub(crate) struct Reader {
    file: String,
    sections: Vec<Section>,
    /// Names of the sections that have been read from.
    known: Vec<&'static str>,
    mistakes: Vec<Mistake>,
}

impl Reader {
    /// Creates a reader of the sections of `file`.
    pub(crate) fn new(file: &str, sections: Vec<Section>) -> Reader {
        let mut reader =
            Reader { file: file.to_owned(), sections, known: vec![""], mistakes: Vec::new() };
        reader.reject_duplicates();
        reader
    }

    fn add_mistake(&mut self, line: u32, section: &str, key: &str, found: String, allowed: String) {
        let (section, key) = (section.to_owned(), key.to_owned());
        let file = self.file.clone();
        self.mistakes.push(Mistake { file, line, section, key, found, allowed });
    }

    fn reject_duplicates(&mut self) {
        let mut seen: Vec<(String, u32)> = Vec::new();
        for at in 0..self.sections.len() {
            let (name, line) = (self.sections[at].name.clone(), self.sections[at].line);
            match seen.iter().find(|(other, _)| *other == name) {
                Some((_, first)) => {
                    let allowed = format!("one such section; the first is on line {first}");
                    self.add_mistake(line, &name, "", format!("[{name}] again"), allowed);
                }
                None => seen.push((name, line)),
            }
        }
    }

    /// Removes a key and returns its value and line.
    fn take(&mut self, section: &'static str, key: &str) -> Option<(String, u32)> {
        if !self.known.contains(&section) {
            self.known.push(section);
        }
        let found = self.sections.iter_mut().find(|row| row.name == section)?;
        let at = found.entries.iter().position(|entry| entry.key == key)?;
        let entry = found.entries.remove(at);
        Some((entry.value, entry.line))
    }

    fn section_line(&self, section: &str) -> u32 {
        self.sections.iter().find(|row| row.name == section).map_or(0, |row| row.line)
    }

    /// Returns the value of an optional key.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let (text, line) = self.take(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.add_mistake(line, section, key, text, allowed.to_owned());
        }
        parsed
    }

    /// Returns the value of a required key. If it is missing or wrong, the
    /// mistake is kept and `placeholder` is returned in its stead.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &str,
        allowed: &str,
        placeholder: &str,
    ) -> T
    where
        T::Err: std::fmt::Debug,
    {
        let before = self.mistakes.len();
        if let Some(value) = self.optional(section, key, allowed) {
            return value;
        }
        if self.mistakes.len() == before {
            let line = self.section_line(section);
            self.add_mistake(line, section, key, "nothing".to_owned(), allowed.to_owned());
        }
        placeholder.parse().expect("the placeholder is a valid value")
    }

    /// Returns comma-separated values, none if the key is missing or empty.
    pub(crate) fn list<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &str,
        allowed: &str,
    ) -> Vec<T> {
        let Some((text, line)) = self.take(section, key) else { return Vec::new() };
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parsed: Option<Vec<T>> = parts.map(|part| part.parse().ok()).collect();
        if parsed.is_none() {
            self.add_mistake(line, section, key, text.clone(), allowed.to_owned());
        }
        parsed.unwrap_or_default()
    }

    /// Whether the file contains `section`.
    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.sections.iter().any(|row| row.name == section)
    }

    /// Returns a number within `bounds`, or the default.
    pub(crate) fn number<T>(
        &mut self,
        section: &'static str,
        key: &str,
        bounds: std::ops::RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let Some((text, line)) = self.take(section, key) else { return default };
        match text.parse::<T>() {
            Ok(value) if bounds.contains(&value) => value,
            _ => {
                self.add_mistake(line, section, key, text, allowed);
                default
            }
        }
    }

    /// Returns `true` or `false`, or the default.
    pub(crate) fn flag(&mut self, section: &'static str, key: &str, default: bool) -> bool {
        let Some((text, line)) = self.take(section, key) else { return default };
        text.parse().unwrap_or_else(|_| {
            self.add_mistake(line, section, key, text, "true or false".to_owned());
            default
        })
    }

    /// Returns a decimal within `bounds`, or the default if the key is missing or empty.
    pub(crate) fn decimal(
        &mut self,
        section: &'static str,
        key: &str,
        bounds: std::ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some((text, line)) = self.take(section, key) else { return default };
        match text.parse::<f64>() {
            _ if text.is_empty() => default,
            Ok(value) if bounds.contains(&value) => value,
            _ => {
                let allowed = format!("a number from {} to {}", bounds.start(), bounds.end());
                self.add_mistake(line, section, key, text, allowed);
                default
            }
        }
    }

    /// Returns a span given in seconds under `key_s`, or in milliseconds under the older key
    /// `key_ms`, or the default.
    pub(crate) fn span(
        &mut self,
        section: &'static str,
        (key_s, key_ms): (&str, &str),
        bounds: std::ops::RangeInclusive<Span>,
        default: Span,
    ) -> Span {
        let (low, high) = (*bounds.start(), *bounds.end());
        let seconds = low.as_secs_f64()..=high.as_secs_f64();
        let millis = low.as_millis()..=high.as_millis();
        let older = self.millis(section, key_ms, millis, default.as_millis());
        let value = self.decimal(section, key_s, seconds, older.as_secs_f64());
        Span::from_millis_f64(value * 1_000.0)
    }

    /// Returns a span given in milliseconds, or the default.
    pub(crate) fn millis(
        &mut self,
        section: &'static str,
        key: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Span {
        Span::from_millis(self.number(section, key, bounds, default))
    }

    /// Adds unknown sections and keys to the mistakes. Fails with all mistakes,
    /// sorted by line, if there are any.
    pub(crate) fn finish(mut self) -> Result<(), Vec<Mistake>> {
        for section in std::mem::take(&mut self.sections) {
            if !self.known.contains(&section.name.as_str()) {
                let known = self.known[1..].join(", ");
                let found = format!("[{}]", section.name);
                let allowed = format!("one of the sections {known}");
                self.add_mistake(section.line, &section.name, "", found, allowed);
                continue;
            }
            for entry in section.entries {
                let allowed = "a key that the manual names, once".to_owned();
                self.add_mistake(entry.line, &section.name, &entry.key, entry.value, allowed);
            }
        }
        self.mistakes.sort_by_key(|mistake| mistake.line);
        if self.mistakes.is_empty() { Ok(()) } else { Err(self.mistakes) }
    }
}
