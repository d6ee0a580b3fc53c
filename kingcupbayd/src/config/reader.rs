//! Typed reading of settings, with every mistake kept.

use std::{fmt::Display, str::FromStr};

use kingcupbay_core::{
    ini::{Mistake, Section},
    time::Span,
};

/// Reads sections and keeps what is wrong with them.
pub(crate) struct Reader {
    file: String,
    sections: Vec<Section>,
    /// Names of sections that some struct has asked for.
    known: Vec<&'static str>,
    mistakes: Vec<Mistake>,
}

impl Reader {
    /// A reader of the sections of `file`.
    pub(crate) fn new(file: &str, sections: Vec<Section>) -> Reader {
        let mut reader =
            Reader { file: file.to_owned(), sections, known: vec![""], mistakes: Vec::new() };
        reader.refuse_repeats();
        reader
    }

    fn mistake(&mut self, line: u32, section: &str, key: &str, found: String, allowed: String) {
        let (section, key) = (section.to_owned(), key.to_owned());
        let file = self.file.clone();
        self.mistakes.push(Mistake { file, line, section, key, found, allowed });
    }

    fn refuse_repeats(&mut self) {
        let mut seen: Vec<(String, u32)> = Vec::new();
        for at in 0..self.sections.len() {
            let (name, line) = (self.sections[at].name.clone(), self.sections[at].line);
            match seen.iter().find(|(other, _)| *other == name) {
                Some((_, first)) => {
                    let allowed = format!("one such section; the first is on line {first}");
                    self.mistake(line, &name, "", format!("[{name}] again"), allowed);
                }
                None => seen.push((name, line)),
            }
        }
    }

    /// Takes the value of a key out, as its text and line.
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

    /// The value of a key that may be left out.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let (text, line) = self.take(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.mistake(line, section, key, text, allowed.to_owned());
        }
        parsed
    }

    /// The value of a key that must be there; `stand_in` serves until the
    /// mistakes are reported.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &str,
        allowed: &str,
        stand_in: &str,
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
            self.mistake(line, section, key, "nothing".to_owned(), allowed.to_owned());
        }
        stand_in.parse().expect("the stand-in is a valid value")
    }

    /// Values separated by commas, none where the key is left out or empty.
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
            self.mistake(line, section, key, text.clone(), allowed.to_owned());
        }
        parsed.unwrap_or_default()
    }

    /// Whether the file has `section`.
    pub(crate) fn has(&self, section: &str) -> bool {
        self.sections.iter().any(|row| row.name == section)
    }

    /// A number of `unit` within bounds, or the default.
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
                self.mistake(line, section, key, text, allowed);
                default
            }
        }
    }

    /// A span given in milliseconds, or the default.
    pub(crate) fn millis(
        &mut self,
        section: &'static str,
        key: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Span {
        Span::from_millis(self.number(section, key, bounds, default))
    }

    /// Everything that is wrong, unknown sections and keys among it.
    pub(crate) fn finish(mut self) -> Result<(), Vec<Mistake>> {
        for section in std::mem::take(&mut self.sections) {
            if !self.known.contains(&section.name.as_str()) {
                let known = self.known[1..].join(", ");
                let found = format!("[{}]", section.name);
                let allowed = format!("one of the sections {known}");
                self.mistake(section.line, &section.name, "", found, allowed);
                continue;
            }
            for entry in section.entries {
                let allowed = "a key that the manual names, once".to_owned();
                self.mistake(entry.line, &section.name, &entry.key, entry.value, allowed);
            }
        }
        self.mistakes.sort_by_key(|mistake| mistake.line);
        if self.mistakes.is_empty() { Ok(()) } else { Err(self.mistakes) }
    }
}
