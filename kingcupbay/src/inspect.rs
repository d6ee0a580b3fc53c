//! Commands that only read: history, status and dump.

use kingcupbay_core::{
    id::{Name, Number},
    wire::admin::{self, NumberedPatch},
};
use serde_json::Value;

use crate::{
    error::Error,
    output::{self, Column, describe_change},
    session::Session,
};

/// Lists the patches that made configuration numbers above `after`.
pub(crate) async fn show_history(session: &Session, after: u64) -> Result<String, Error> {
    let history = session.client.read_history(Number(after)).await?;
    let columns: [Column<NumberedPatch>; 4] = [
        Column("number", |row| row.number.to_string()),
        Column("patch", |row| row.patch.id.to_string()),
        Column("author", |row| row.patch.author.clone()),
        Column("changes", |row| {
            row.patch.changes.iter().map(describe_change).collect::<Vec<_>>().join("; ")
        }),
    ];
    Ok(session.format_list(&history.patches, &columns))
}

/// Shows the status of a daemon.
pub(crate) async fn show_status(session: &Session) -> Result<String, Error> {
    let status: Value = session.client.read_json(admin::STATUS_PATH).await?;
    let Value::Object(fields) = &status else {
        return Ok(output::to_json(&status));
    };
    if session.json {
        return Ok(output::to_json(&status));
    }
    let rows: Vec<_> = fields.iter().collect();
    let columns: [Column<(&String, &Value)>; 2] = [
        Column("field", |row| row.0.clone()),
        Column("value", |row| row.1.as_str().map_or_else(|| row.1.to_string(), str::to_owned)),
    ];
    Ok(output::format_table(&rows, &columns))
}

/// Shows the state of the daemon on `host`, or of the daemon that is asked.
pub(crate) async fn show_dump(session: &Session, host: Option<&Name>) -> Result<String, Error> {
    let path = match host {
        Some(host) => format!("{}?host={host}", admin::DUMP_PATH),
        None => admin::DUMP_PATH.to_owned(),
    };
    let text = session.client.read_text(&path).await?;
    Ok(match session.json {
        true => output::to_json(&serde_json::json!({ "dump": text })),
        false => text,
    })
}
