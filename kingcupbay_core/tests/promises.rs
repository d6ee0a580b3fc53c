//! `docs/PROMISES.md` names only files and tests that exist.
//!
//! A promise whose test was renamed or removed would go on looking proved.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Sections of the page: ten promises and four measures.
const SECTIONS: usize = 15;

/// What each section says, in this order.
const LABELS: [&str; 6] =
    ["Mechanism", "Proof", "Failures", "Without its guard", "Figure", "Not proved"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn page() -> String {
    fs::read_to_string(root().join("docs/PROMISES.md")).unwrap()
}

/// Every file of the repository, without what the build makes.
fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && name != "target" && name != ".git" {
            files(&path, found);
        } else if path.is_file() {
            found.push(path);
        }
    }
}

/// Texts in backticks, which may go on over the end of a line.
fn quoted(page: &str) -> BTreeSet<String> {
    let page = page.replace('\n', " ");
    assert_eq!(page.matches('`').count() % 2, 0, "a backtick has no partner");
    page.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Whether `text` names a file: a path, or a name with an extension in use.
fn names_file(text: &str) -> bool {
    let path = Path::new(text);
    let known = path.extension().is_some_and(|end| {
        ["rs", "txt", "md", "ini", "toml", "service"].iter().any(|known| end == *known)
    });
    known && !text.contains([' ', '*'])
}

/// Whether a function of this name stands under a test's attribute.
fn has_test(source: &str, name: &str) -> bool {
    let lines: Vec<_> = source.lines().map(str::trim_start).collect();
    let head = format!("fn {name}()");
    lines.iter().enumerate().any(|(at, line)| {
        let declared = line.starts_with(&head) || line.starts_with(&format!("async {head}"));
        let mut above = lines[..at].iter().rev().take_while(|line| line.starts_with("#["));
        declared && above.any(|line| ["#[test]", "#[actix_rt::test]"].contains(line))
    })
}

#[test]
fn every_named_file_and_test_exists() {
    let mut known = Vec::new();
    files(&root(), &mut known);
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

#[test]
fn every_section_says_all_that_it_must() {
    let page = page();
    let sections: Vec<_> = page.split("\n## ").skip(1).collect();
    assert_eq!(sections.len(), SECTIONS);
    for section in sections {
        let title = section.lines().next().unwrap();
        let labels: Vec<_> = section
            .lines()
            .filter_map(|line| line.strip_prefix("- **")?.split_once(".**"))
            .map(|(label, _)| label)
            .collect();
        assert_eq!(labels, LABELS, "{title}");
        let proved = quoted(section).iter().any(|text| text.contains(".rs::"));
        assert!(proved || section.contains("not on main"), "{title}: no test is named");
    }
}
