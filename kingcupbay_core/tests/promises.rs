//! Checks that `docs/PROMISES.md` names only files and tests that exist.
//!
//! Otherwise a promise whose test was renamed or removed would still appear to
//! be tested.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Number of sections on the page.
const SECTION_COUNT: usize = 16;

/// Labels of the paragraphs in each section, in this order.
const LABELS: [&str; 6] =
    ["Mechanism", "Proof", "Failures", "Without its guard", "Figure", "Not proved"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn page() -> String {
    fs::read_to_string(root().join("docs/PROMISES.md")).unwrap()
}

/// Collects every file of the repository except build output and Git data.
fn collect_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && name != "target" && name != ".git" {
            collect_files(&path, found);
        } else if path.is_file() {
            found.push(path);
        }
    }
}

/// Returns the texts in backticks, which may span lines.
fn quoted(page: &str) -> BTreeSet<String> {
    let page = page.replace('\n', " ");
    assert_eq!(page.matches('`').count() % 2, 0, "unmatched backtick");
    page.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns whether `text` is a file name or path with a known extension.
fn names_file(text: &str) -> bool {
    let path = Path::new(text);
    let known = path.extension().is_some_and(|end| {
        ["rs", "txt", "md", "ini", "toml", "service"].iter().any(|known| end == *known)
    });
    known && !text.contains([' ', '*'])
}

/// Returns whether `source` has a function `name` with a test attribute.
fn has_test(source: &str, name: &str) -> bool {
    let lines: Vec<_> = source.lines().map(str::trim_start).collect();
    let head = format!("fn {name}()");
    lines.iter().enumerate().any(|(at, line)| {
        let declared = line.starts_with(&head) || line.starts_with(&format!("async {head}"));
        let mut above = lines[..at].iter().rev().take_while(|line| line.starts_with("#["));
        declared && above.any(|line| ["#[test]", "#[actix_rt::test]"].contains(line))
    })
}

/// Guards against references to files and tests that were renamed or removed.
#[test]
fn every_named_file_and_test_exists() {
    let mut known = Vec::new();
    collect_files(&root(), &mut known);
    let mut missing = Vec::new();
    for text in quoted(&page()) {
        let (file, test) = match text.split_once("::") {
            Some((file, test)) => (file, Some(test)),
            None => (text.as_str(), None),
        };
        if !names_file(file) {
            continue;
        }
        let named = known.iter().filter(|path| path.ends_with(file));
        let found = match test {
            None => named.count() > 0,
            Some(test) => {
                named.into_iter().any(|path| has_test(&fs::read_to_string(path).unwrap(), test))
            }
        };
        if !found {
            missing.push(text);
        }
    }
    assert!(missing.is_empty(), "not in the workspace: {missing:#?}");
}

/// Guards against sections that lack a paragraph or name no test.
#[test]
fn every_section_has_every_label_and_names_a_test() {
    let page = page();
    let sections: Vec<_> = page.split("\n## ").skip(1).collect();
    assert_eq!(sections.len(), SECTION_COUNT);
    for section in sections {
        let title = section.lines().next().unwrap();
        let labels: Vec<_> = section
            .lines()
            .filter_map(|line| line.strip_prefix("- **")?.split_once(".**"))
            .map(|(label, _)| label)
            .collect();
        assert_eq!(labels, LABELS, "{title}");
        let tested = quoted(section).iter().any(|text| text.contains(".rs::"));
        assert!(tested || section.contains("not on main"), "{title}: no test is named");
    }
}
