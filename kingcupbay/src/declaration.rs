//! Commands on declarations: plan, apply, export and diff.

use std::path::PathBuf;

use kingcupbay_core::{
    config::{change::Change, model::Config, patch::PatchError},
    declare::{self, Declaration, read::File, text},
    id::Number,
};
use serde::Serialize;

use crate::{
    error::Error,
    output::{self, describe},
    session::Session,
};

/// A plan as JSON.
#[derive(Serialize)]
struct Plan<'a> {
    against: Number,
    changes: &'a [Change],
}

/// What was applied, as JSON.
#[derive(Serialize)]
struct Applied {
    number: Number,
    changes: usize,
}

pub(crate) async fn plan(session: &Session, files: &[PathBuf]) -> Result<String, Error> {
    let declared = read(files)?;
    let config = session.client.config().await?;
    let changes = checked(session, &config, &declared)?;
    if session.json {
        return Ok(output::json(&Plan { against: config.number, changes: &changes }));
    }
    let mut text = format!("against {}: {}\n", config.number, count(changes.len()));
    for change in &changes {
        text.push_str(&format!("  {}\n", describe(change)));
    }
    Ok(text)
}

/// Refuses at once when another number is in force than was planned against.
pub(crate) async fn apply(
    session: &Session,
    against: u64,
    files: &[PathBuf],
) -> Result<String, Error> {
    let declared = read(files)?;
    let config = session.client.config().await?;
    if config.number != Number(against) {
        return Err(Error::Stale { against: Number(against), current: config.number });
    }
    let changes = checked(session, &config, &declared)?;
    let count = changes.len();
    let number = match count {
        0 => config.number,
        _ => session.client.post(&session.patch(config.number, changes)).await?.number,
    };
    Ok(match session.json {
        true => output::json(&Applied { number, changes: count }),
        false => format!("number {number} is in force, {}", self::count(count)),
    })
}

pub(crate) async fn export(session: &Session) -> Result<String, Error> {
    let text = declare::export(&session.client.config().await?);
    Ok(match session.json {
        true => output::json(&serde_json::json!({ "declaration": text })),
        false => text,
    })
}

pub(crate) async fn diff(session: &Session, files: &[PathBuf]) -> Result<String, Error> {
    let declared = read(files)?;
    let config = session.client.config().await?;
    let text = text::diff(&Declaration::of(&config), &declared);
    Ok(match session.json {
        true => output::json(&serde_json::json!({ "against": config.number, "diff": text })),
        false => text,
    })
}

fn read(paths: &[PathBuf]) -> Result<Declaration, Error> {
    let mut files = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::File { path: path.clone(), error })?;
        files.push((path.display().to_string(), text));
    }
    let files: Vec<_> = files.iter().map(|(name, text)| File { name, text }).collect();
    declare::read(&files).map_err(Error::Mistakes)
}

/// The plan, tried on the configuration here, where the section that is to
/// blame for a refusal is still known.
fn checked(
    session: &Session,
    config: &Config,
    declared: &Declaration,
) -> Result<Vec<Change>, Error> {
    let patch = session.patch(config.number, declare::plan(config, declared));
    match config.patched(&patch) {
        Ok(_) => Ok(patch.changes),
        Err(PatchError::Refused { index, refusal }) => {
            let place = declared.location(&patch.changes[index]).cloned();
            Err(Error::Refused { place, refusal })
        }
        Err(error) => Err(error.into()),
    }
}

fn count(changes: usize) -> String {
    match changes {
        0 => "no change".to_owned(),
        1 => "1 change".to_owned(),
        _ => format!("{changes} changes"),
    }
}
