//! The page of capacity against the command that prints its tables.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, process::Command};

/// A reader of docs/CAPACITY.md looks for a figure that the command prints
/// under another name, or finds one that no command prints any more. A row was
/// renamed, added or dropped on one side only.
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
    // The head and the line under it are not rows.
    let head = |line: &&str| line.contains("| residual |") || line.starts_with("| ---");
    let held: Vec<String> = measured.lines().filter(|line| !head(line)).filter_map(row).collect();

    assert_eq!(held, printed);
}
