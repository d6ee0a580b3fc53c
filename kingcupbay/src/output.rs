//! Formats of the output: tables for people and JSON for programs.

use kingcupbay_core::config::change::Change;
use serde::Serialize;

/// A column of a table: its heading and the function that formats its cell of a
/// row.
pub(crate) struct Column<T>(pub(crate) &'static str, pub(crate) fn(&T) -> String);

/// Formats `value` as indented JSON.
pub(crate) fn to_json<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("rows are JSON")
}

/// Formats `rows` in aligned columns under upper-case headings.
pub(crate) fn format_table<T>(rows: &[T], columns: &[Column<T>]) -> String {
    let mut lines = vec![columns.iter().map(|column| column.0.to_uppercase()).collect()];
    lines.extend(rows.iter().map(|row| columns.iter().map(|column| (column.1)(row)).collect()));
    align_columns(&lines)
}

/// Joins cells into lines, with all columns padded to their widest cell.
fn align_columns(lines: &[Vec<String>]) -> String {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
    let widths: Vec<_> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats a value, or `-` if there is none.
pub(crate) fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Describes a change in one line.
pub(crate) fn describe_change(change: &Change) -> String {
    match change {
        Change::SetOrganisation { name, rate, burst } => {
            format!("set organisation {name} rate={rate} burst={burst}")
        }
        Change::RemoveOrganisation { name } => format!("remove organisation {name}"),
        Change::IssueKey { label, organisation, .. } => {
            format!("issue key {label} organisation={organisation}")
        }
        Change::WithdrawKey { label } => format!("withdraw key {label}"),
        Change::SetAdapter { name, organisation, base, default } => {
            let default = or_dash(default.as_ref());
            format!("set adapter {name} organisation={organisation} base={base} default={default}")
        }
        Change::RemoveAdapter { name } => format!("remove adapter {name}"),
        Change::SetVersion { adapter, label, source } => {
            format!("add version {adapter}@{label} source={source}")
        }
        Change::RemoveVersion { adapter, label } => format!("remove version {adapter}@{label}"),
        Change::SetUpstream { upstream } => {
            let address = &upstream.address;
            format!("set upstream {} address={address} leaving={}", upstream.name, upstream.leaving)
        }
        Change::RemoveUpstream { name } => format!("remove upstream {name}"),
        Change::SetRoute { name, organisation, service, once } => {
            format!("set route {name} organisation={organisation} service={service} once={once}")
        }
        Change::RemoveRoute { name } => format!("remove route {name}"),
        Change::Join { host, address, zone, .. } => {
            format!("join member {host} address={address} zone={zone}")
        }
        Change::Leave { host, .. } => format!("leave member {host}"),
    }
}
