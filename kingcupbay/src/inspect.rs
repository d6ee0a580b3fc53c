//! Commands that only show: history, status and dump.

use kingcupbay_core::{
    id::{Name, Number},
    wire::admin::{self, NumberedPatch},
};
use serde_json::Value;

use crate::{
    error::Error,
    output::{self, Column, describe},
    session::Session,
};

pub(crate) async fn history(session: &Session, after: u64) -> Result<String, Error> {
    let history = session.client.history(Number(after)).await?;
    let columns: [Column<NumberedPatch>; 4] = [
        Column("number", |row| row.number.to_string()),
        Column("patch", |row| row.patch.id.to_string()),
        Column("author", |row| row.patch.author.clone()),
        Column("changes", |row| {
            row.patch.changes.iter().map(describe).collect::<Vec<_>>().join("; ")
        }),
    ];
    Ok(session.list(&history.patches, &columns))
}

pub(crate) async fn status(session: &Session) -> Result<String, Error> {
    let status: Value = session.client.read(admin::STATUS_PATH).await?;
    let Value::Object(fields) = &status else {
        return Ok(output::json(&status));
    };
    if session.json {
        return Ok(output::json(&status));
    }
    let rows: Vec<_> = fields.iter().collect();
    let columns: [Column<(&String, &Value)>; 2] = [
        Column("field", |row| row.0.clone()),
        Column("value", |row| row.1.as_str().map_or_else(|| row.1.to_string(), str::to_owned)),
    ];
    Ok(output::table(&rows, &columns))
}

pub(crate) async fn dump(session: &Session, host: Option<&Name>) -> Result<String, Error> {
    let path = match host {
        Some(host) => format!("{}?host={host}", admin::DUMP_PATH),
        None => admin::DUMP_PATH.to_owned(),
    };
    let text = session.client.text(&path).await?;
    Ok(match session.json {
        true => output::json(&serde_json::json!({ "dump": text })),
        false => text,
    })
}
