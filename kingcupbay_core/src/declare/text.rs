//! Formats declarations as text and shows the differences between two.

use std::{collections::BTreeMap, fmt::Write as _};

use super::model::Declaration;
use crate::config::model::{Serves, Upstream};

/// A section of a declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets.
    pub title: String,
    /// The `key = value` lines.
    pub lines: Vec<String>,
}

/// Converts every row of `declared` into a section. The order is organisations,
/// adapters, versions, upstreams, routes, keys, each sorted by name.
pub fn sections(declared: &Declaration) -> Vec<Section> {
    let mut sections = Vec::new();
    let mut add = |title: String, lines: Vec<String>| sections.push(Section { title, lines });
    for (name, row) in &declared.organisations {
        let lines = vec![format!("rate = {}", row.rate), format!("burst = {}", row.burst)];
        add(format!("organisation {name}"), lines);
    }
    for (name, row) in &declared.adapters {
        let mut lines =
            vec![format!("organisation = {}", row.organisation), format!("base = {}", row.base)];
        lines.extend(row.default.iter().map(|label| format!("default = {label}")));
        add(format!("adapter {name}"), lines);
    }
    for (name, source) in &declared.versions {
        add(format!("version {name}"), vec![format!("source = {}", quote(source))]);
    }
    for (name, row) in &declared.upstreams {
        add(format!("upstream {name}"), upstream_lines(row));
    }
    for (name, row) in &declared.routes {
        let lines = vec![
            format!("organisation = {}", row.organisation),
            format!("service = {}", row.service),
            format!("once = {}", row.once),
        ];
        add(format!("route {name}"), lines);
    }
    for (label, row) in &declared.keys {
        let lines = vec![
            format!("organisation = {}", row.organisation),
            format!("hash = {}", hex::encode(row.hash.0)),
        ];
        add(format!("key {label}"), lines);
    }
    sections
}

/// Formats `declared` as the text of one file.
pub fn write(declared: &Declaration) -> String {
    let mut text = String::new();
    for section in sections(declared) {
        if !text.is_empty() {
            text.push('\n');
        }
        writeln!(text, "[{}]", section.title).expect("a string takes every write");
        for line in section.lines {
            writeln!(text, "{line}").expect("a string takes every write");
        }
    }
    text
}

/// Formats the differences from `old` to `new`: the title of each section that
/// differs, then removed lines with `-` and added lines with `+`.
pub fn diff(old: &Declaration, new: &Declaration) -> String {
    let (mut old, new) = (sections(old), sections(new));
    if !new.iter().any(|section| section.title.starts_with("key ")) {
        // The files declare no key, so the existing keys are kept.
        old.retain(|section| !section.title.starts_with("key "));
    }
    let mut merged: BTreeMap<&str, (&[String], &[String])> = BTreeMap::new();
    for section in &old {
        merged.entry(&section.title).or_default().0 = &section.lines;
    }
    for section in &new {
        merged.entry(&section.title).or_default().1 = &section.lines;
    }
    let mut text = String::new();
    for (title, (old, new)) in merged.into_iter().filter(|(_, (old, new))| old != new) {
        let mark = match (old.is_empty(), new.is_empty()) {
            (true, _) => "+",
            (_, true) => "-",
            _ => " ",
        };
        writeln!(text, "{mark}[{title}]").expect("a string takes every write");
        for line in old.iter().filter(|line| !new.contains(line)) {
            writeln!(text, "-{line}").expect("a string takes every write");
        }
        for line in new.iter().filter(|line| !old.contains(line)) {
            writeln!(text, "+{line}").expect("a string takes every write");
        }
    }
    text
}

fn upstream_lines(row: &Upstream) -> Vec<String> {
    let mut lines = vec![
        format!("host = {}", row.host),
        format!("address = {}", row.address),
        format!("zone = {}", row.zone),
    ];
    match &row.serves {
        Serves::Model { base, slots, fenced } => {
            lines.push(format!("base = {base}"));
            lines.push(format!("slots = {slots}"));
            lines.push(format!("fenced = {fenced}"));
        }
        Serves::Service { service } => lines.push(format!("service = {service}")),
    }
    lines.push(format!("leaving = {}", row.leaving));
    lines
}

/// Returns a source as plain text, or as a JSON string if an INI line would not
/// preserve it: INI values are trimmed and end with their line.
fn quote(source: &str) -> String {
    let trimmed = source.trim_matches(|c: char| c.is_ascii_whitespace());
    let plain = trimmed == source && !source.starts_with('"') && !source.contains(char::is_control);
    if plain { source.to_owned() } else { serde_json::Value::from(source).to_string() }
}
