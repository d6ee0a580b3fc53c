//! Checks that tables and lists in the documentation match the code.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, fs, path::Path};

use kingcupbay_core::wire::error::Code;

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path)).unwrap()
}

/// Returns the doc comment of each error code, in source order.
fn meanings() -> Vec<String> {
    let source = read("kingcupbay_core/src/wire/error.rs");
    let (_, codes) = source.split_once("\ncodes! {\n").unwrap();
    let (codes, _) = codes.split_once("\n}").unwrap();
    let lines = codes.lines().filter_map(|line| line.trim().strip_prefix("/// "));
    lines.map(str::to_owned).collect()
}

/// Guards against an error code table in README.md that is out of date.
#[test]
fn the_readme_lists_every_error_code() {
    let mut table = String::from("| code | status | meaning |\n| --- | --- | --- |\n");
    let meanings = meanings();
    assert_eq!(meanings.len(), Code::ALL.len());
    for (code, meaning) in Code::ALL.iter().zip(meanings) {
        table += &format!("| `{}` | {} | {meaning} |\n", code.as_str(), code.status());
    }
    assert!(read("README.md").contains(&table), "README.md must hold this table:\n{table}");
}

/// Guards against metrics that the page does not explain, and against
/// explanations of metrics that no longer exist.
#[test]
fn the_operators_page_explains_every_metric() {
    let names = |text: &str| -> BTreeSet<String> {
        let words = text.split(|c: char| !c.is_ascii_lowercase() && c != '_');
        let parts = ["_bucket", "_sum", "_count"];
        words
            .filter(|word| word.starts_with("kingcupbay_"))
            .map(|word| {
                let part = parts.iter().find_map(|part| word.strip_suffix(part));
                part.unwrap_or(word).to_owned()
            })
            .collect()
    };
    let files = [
        "metrics.rs",
        "gateway/metrics.rs",
        "sidecar/metrics.rs",
        "registered/control.rs",
        "http/budget.rs",
    ];
    let texts = files.map(|file| read(&format!("kingcupbayd/src/{file}")));
    let mut exported: BTreeSet<String> = texts.iter().flat_map(|text| names(text)).collect();
    let crates = ["kingcupbay_standin", "kingcupbay_core", "kingcupbay_bench"];
    exported.retain(|name| !crates.contains(&name.as_str()));
    let page = read("docs/OPERATIONS.md");
    let explained = names(&page);
    let unexplained: Vec<_> = exported.difference(&explained).collect();
    assert!(unexplained.is_empty(), "not in docs/OPERATIONS.md: {unexplained:?}");
    let unknown: Vec<_> =
        explained.difference(&exported).filter(|name| !crates.contains(&name.as_str())).collect();
    assert!(unknown.is_empty(), "no such metric: {unknown:?}");
}
