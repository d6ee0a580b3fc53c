//! Reads a declaration from several files and reports every mistake at once.

use std::net::SocketAddr;

use super::{
    fields::{Fields, NAME_FORM},
    model::{Adapter, Declaration, Key, Location, Organisation, Route, VersionName},
};
use crate::{
    config::model::{KeyHash, Serves, Upstream},
    id::Name,
    ini::{self, Mistake, Section},
};

/// Allowed section titles, as shown in mistakes.
const TITLES: &str = "[organisation NAME], [adapter NAME], [version ADAPTER@LABEL], \
                      [upstream NAME], [route NAME], [key LABEL]";

/// Name and text of a declaration file.
#[derive(Clone, Copy, Debug)]
pub struct File<'a> {
    /// File name, as shown in mistakes.
    pub name: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// Reads `files` as one declaration.
///
/// # Errors
///
/// Returns every mistake in the files, ordered by file and line.
pub fn read(files: &[File<'_>]) -> Result<Declaration, Vec<Mistake>> {
    let mut reader = Reader::default();
    for file in files {
        match ini::parse(file.name, file.text) {
            Ok(sections) => sections.iter().for_each(|section| reader.section(file.name, section)),
            Err(mut mistakes) => reader.mistakes.append(&mut mistakes),
        }
    }
    reader.finish()
}

/// A reference to another section.
struct Reference {
    /// Title of the required section.
    title: String,
    /// Mistake to report if that section does not exist.
    mistake: Mistake,
}

#[derive(Default)]
struct Reader {
    declared: Declaration,
    references: Vec<Reference>,
    mistakes: Vec<Mistake>,
}

impl Reader {
    fn section(&mut self, file: &str, section: &Section) {
        if section.name.is_empty() && section.entries.is_empty() {
            return;
        }
        let words: Vec<_> = section.name.split_whitespace().collect();
        let &[kind, name] = words.as_slice() else {
            return self.mistake(file, section, TITLES.to_owned());
        };
        let title = format!("{kind} {name}");
        if let Some(first) = self.declared.locations.get(&title) {
            let allowed = format!("each row once; it stands at {first} already");
            return self.mistake(file, section, allowed);
        }
        let location = Location { file: file.to_owned(), line: section.line };
        self.declared.locations.insert(title, location);
        match (kind, name.parse::<Name>(), name.parse::<VersionName>()) {
            ("organisation", Ok(name), _) => self.organisation(file, section, name),
            ("adapter", Ok(name), _) => self.adapter(file, section, name),
            ("version", _, Ok(name)) => self.version(file, section, name),
            ("upstream", Ok(name), _) => self.upstream(file, section, name),
            ("route", Ok(name), _) => self.route(file, section, name),
            ("key", Ok(label), _) => self.key(file, section, label),
            ("organisation" | "adapter" | "upstream" | "route" | "key", Err(_), _) => {
                self.mistake(file, section, format!("a name of {NAME_FORM}"));
            }
            ("version", ..) => {
                self.mistake(file, section, format!("ADAPTER@LABEL, each a name of {NAME_FORM}"));
            }
            _ => self.mistake(file, section, TITLES.to_owned()),
        }
    }

    fn organisation(&mut self, file: &str, section: &Section, name: Name) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let rate = fields.positive("rate");
        let burst = fields.positive("burst");
        fields.finish();
        if let (Some(rate), Some(burst)) = (rate, burst) {
            self.declared.organisations.insert(name, Organisation { rate, burst });
        }
    }

    fn adapter(&mut self, file: &str, section: &Section, name: Name) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let organisation = fields.parsed::<Name>("organisation", NAME_FORM);
        let base = fields.parsed("base", NAME_FORM);
        let default = fields.optional("default", NAME_FORM, |text| text.parse::<Name>().ok());
        fields.finish();
        if let Some(organisation) = &organisation {
            self.add_reference(
                file,
                section,
                "organisation",
                format!("organisation {organisation}"),
            );
        }
        if let Some(default) = &default {
            self.add_reference(file, section, "default", format!("version {name}@{default}"));
        }
        if let (Some(organisation), Some(base)) = (organisation, base) {
            self.declared.adapters.insert(name, Adapter { organisation, base, default });
        }
    }

    fn version(&mut self, file: &str, section: &Section, name: VersionName) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let allowed = "a path of the weight store, or a JSON string of one";
        let source = fields.required("source", allowed, unquote);
        fields.finish();
        self.add_reference(file, section, "", format!("adapter {}", name.adapter));
        if let Some(source) = source {
            self.declared.versions.insert(name, source);
        }
    }

    fn upstream(&mut self, file: &str, section: &Section, name: Name) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let host = fields.parsed("host", NAME_FORM);
        let address = fields.required("address", "IP:PORT", |text| {
            text.parse::<SocketAddr>().is_ok().then(|| text.to_owned())
        });
        let zone = fields.parsed("zone", NAME_FORM);
        let leaving = fields.optional("leaving", "true or false", |text| text.parse().ok());
        let serves = read_serves(&mut fields);
        fields.finish();
        if let (Some(host), Some(address), Some(zone), Some(serves)) = (host, address, zone, serves)
        {
            let leaving = leaving.unwrap_or(false);
            let row = Upstream { name: name.clone(), host, address, zone, serves, leaving };
            self.declared.upstreams.insert(name, row);
        }
    }

    fn route(&mut self, file: &str, section: &Section, name: Name) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let organisation = fields.parsed::<Name>("organisation", NAME_FORM);
        let service = fields.parsed("service", NAME_FORM);
        let once = fields.flag("once");
        fields.finish();
        if let Some(organisation) = &organisation {
            self.add_reference(
                file,
                section,
                "organisation",
                format!("organisation {organisation}"),
            );
        }
        if let (Some(organisation), Some(service), Some(once)) = (organisation, service, once) {
            self.declared.routes.insert(name, Route { organisation, service, once });
        }
    }

    fn key(&mut self, file: &str, section: &Section, label: Name) {
        let mut fields = Fields::new(file, section, &mut self.mistakes);
        let organisation = fields.parsed::<Name>("organisation", NAME_FORM);
        let hash = fields.required("hash", "SHA-256 of the key: 64 hex digits", |text| {
            let mut hash = [0; 32];
            hex::decode_to_slice(text, &mut hash).ok().map(|()| KeyHash(hash))
        });
        fields.finish();
        if let Some(organisation) = &organisation {
            self.add_reference(
                file,
                section,
                "organisation",
                format!("organisation {organisation}"),
            );
        }
        if let (Some(organisation), Some(hash)) = (organisation, hash) {
            self.declared.keys.insert(label, Key { organisation, hash });
        }
    }

    /// Records that the value of `key`, or the section's own title if `key` is
    /// empty, requires a section `title` in one of the files.
    fn add_reference(&mut self, file: &str, section: &Section, key: &str, title: String) {
        let entry = section.entries.iter().find(|entry| entry.key == key);
        let mistake = Mistake {
            file: file.to_owned(),
            line: entry.map_or(section.line, |entry| entry.line),
            section: section.name.clone(),
            key: key.to_owned(),
            found: entry.map_or(&section.name, |entry| &entry.value).clone(),
            allowed: format!("what is declared; there is no [{title}]"),
        };
        self.references.push(Reference { title, mistake });
    }

    fn mistake(&mut self, file: &str, section: &Section, allowed: String) {
        self.mistakes.push(Mistake {
            file: file.to_owned(),
            line: section.line,
            section: section.name.clone(),
            key: String::new(),
            found: section.name.clone(),
            allowed,
        });
    }

    fn finish(mut self) -> Result<Declaration, Vec<Mistake>> {
        for reference in self.references {
            if !self.declared.locations.contains_key(&reference.title) {
                self.mistakes.push(reference.mistake);
            }
        }
        if self.mistakes.is_empty() {
            return Ok(self.declared);
        }
        self.mistakes.sort();
        Err(self.mistakes)
    }
}

/// Reads what an upstream serves: a plain service if the section has the key
/// `service`, otherwise adapters of a base model. Keys of the other kind are
/// then reported as unknown.
fn read_serves(fields: &mut Fields<'_>) -> Option<Serves> {
    if fields.has("service") {
        let service = fields.parsed("service", NAME_FORM)?;
        return Some(Serves::Service { service });
    }
    let base = fields.parsed("base", NAME_FORM);
    let slots = fields.positive("slots");
    let fenced = fields.flag("fenced");
    Some(Serves::Model { base: base?, slots: slots?, fenced: fenced? })
}

/// Returns a source given as plain text or as a JSON string; the latter is how
/// [`text`](super::text) writes a source that does not fit an INI line.
fn unquote(text: &str) -> Option<String> {
    match text.starts_with('"') {
        true => serde_json::from_str(text).ok(),
        false => (!text.is_empty()).then(|| text.to_owned()),
    }
}
