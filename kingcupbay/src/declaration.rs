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
    output::{self, describe_change},
    session::Session,
};

/// JSON output of `plan`.
#[derive(Serialize)]
struct Plan<'a> {
    against: Number,
    changes: &'a [Change],
}

/// JSON output of `apply`.
#[derive(Serialize)]
struct Applied {
    number: Number,
    changes: usize,
}

/// Lists the changes that would turn the configuration into the declared one.
pub(crate) async fn plan(session: &Session, files: &[PathBuf]) -> Result<String, Error> {
    let declared = read_files(files)?;
    let config = session.client.read_config().await?;
    let changes = plan_changes(session, &config, &declared)?;
    if session.json {
        return Ok(output::to_json(&Plan { against: config.number, changes: &changes }));
    }
    let mut text = format!("against {}: {}\n", config.number, format_count(changes.len()));
    for change in &changes {
        text.push_str(&format!("  {}\n", describe_change(change)));
    }
    Ok(text)
}

/// Applies the declaration as one patch.
///
/// # Errors
///
/// Besides other errors, [`Error::Stale`], before anything is posted, if a
/// configuration number other than `against` is in force.
pub(crate) async fn apply(
    session: &Session,
    against: u64,
    files: &[PathBuf],
) -> Result<String, Error> {
    let declared = read_files(files)?;
    let config = session.client.read_config().await?;
    if config.number != Number(against) {
        return Err(Error::Stale { against: Number(against), current: config.number });
    }
    let changes = plan_changes(session, &config, &declared)?;
    let count = changes.len();
    let number = match count {
        0 => config.number,
        _ => session.client.post_patch(&session.new_patch(config.number, changes)).await?.number,
    };
    Ok(match session.json {
        true => output::to_json(&Applied { number, changes: count }),
        false => format!("number {number} is in force, {}", format_count(count)),
    })
}

/// Writes the configuration in force as a declaration.
pub(crate) async fn export(session: &Session) -> Result<String, Error> {
    let text = declare::export(&session.client.read_config().await?);
    Ok(match session.json {
        true => output::to_json(&serde_json::json!({ "declaration": text })),
        false => text,
    })
}

/// Shows the difference from the configuration in force to the declared one.
pub(crate) async fn diff(session: &Session, files: &[PathBuf]) -> Result<String, Error> {
    let declared = read_files(files)?;
    let config = session.client.read_config().await?;
    let text = text::diff(&Declaration::of(&config), &declared);
    Ok(match session.json {
        true => output::to_json(&serde_json::json!({ "against": config.number, "diff": text })),
        false => text,
    })
}

/// Reads all files as one declaration.
fn read_files(paths: &[PathBuf]) -> Result<Declaration, Error> {
    let mut files = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::File { path: path.clone(), error })?;
        files.push((path.display().to_string(), text));
    }
    let files: Vec<_> = files.iter().map(|(name, text)| File { name, text }).collect();
    declare::read(&files).map_err(Error::Mistakes)
}

/// Plans the changes and checks them against `config` before they are sent,
/// because only here is the section known that causes a refusal.
fn plan_changes(
    session: &Session,
    config: &Config,
    declared: &Declaration,
) -> Result<Vec<Change>, Error> {
    let patch = session.new_patch(config.number, declare::plan(config, declared));
    match config.patched(&patch) {
        Ok(_) => Ok(patch.changes),
        Err(PatchError::Refused { index, refusal }) => {
            let place = declared.location(&patch.changes[index]).cloned();
            Err(Error::Refused { place, refusal })
        }
        Err(error) => Err(error.into()),
    }
}

fn format_count(changes: usize) -> String {
    match changes {
        0 => "no change".to_owned(),
        1 => "1 change".to_owned(),
        _ => format!("{changes} changes"),
    }
}
