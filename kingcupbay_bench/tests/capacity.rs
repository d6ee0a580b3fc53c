//! Compares the capacity page with the command that prints its tables.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, process::Command};

/// Guards against rows that were renamed, added or removed only in docs/CAPACITY.md
/// or only in the command: a reader would not find a figure, or find an obsolete one.
#[test]
fn the_page_holds_every_row_that_the_command_prints() {
    let bench = env!("CARGO_BIN_EXE_kingcupbay_bench");
    let output = Command::new(bench).args(["capacity", "--rows"]).output().unwrap();
    assert!(output.status.success());
    let printed = String::from_utf8(output.stdout).unwrap();
    let printed: Vec<&str> = printed.lines().collect();
    assert!(!printed.is_empty());

    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CAPACITY.md");
    let page = fs::read_to_string(page).unwrap();
    let (_, measured) = page.split_once("\n## Measured slopes\n").unwrap();
    let measured = measured.split("\n## ").next().unwrap();
    let row = |line: &str| Some(line.strip_prefix("| ")?.split_once(" | ")?.0.to_owned());
    // The table head and the separator below it are not rows.
    let head = |line: &&str| line.contains("| residual |") || line.starts_with("| ---");
    let documented: Vec<String> =
        measured.lines().filter(|line| !head(line)).filter_map(row).collect();

    assert_eq!(documented, printed);
}
