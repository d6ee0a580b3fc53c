//! Commands on versions of adapters.

use clap::Subcommand;
use kingcupbay_core::{
    config::change::Change,
    declare::{Declaration, model::VersionName},
    id::Name,
};
use serde::Serialize;

use crate::{against::Against, error::Error, output::Column, session::Session};

/// Commands on versions.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum VersionCommand {
    /// Add a version to an adapter; its source never changes
    Add {
        /// Adapter and label
        #[arg(value_name = "ADAPTER@LABEL")]
        version: VersionName,

        /// Where the weight store keeps it
        #[arg(long, value_name = "PATH")]
        source: String,

        #[command(flatten)]
        against: Against,
    },

    /// Remove a version that is not its adapter's default
    Remove {
        /// Adapter and label
        #[arg(value_name = "ADAPTER@LABEL")]
        version: VersionName,

        #[command(flatten)]
        against: Against,
    },

    /// List versions
    List {
        /// Only those of this adapter
        adapter: Option<Name>,
    },
}

/// A version as listed.
#[derive(Serialize)]
struct Row {
    adapter: Name,
    label: Name,
    source: String,
}

pub(crate) async fn run(session: &Session, command: VersionCommand) -> Result<String, Error> {
    let (change, against) = match command {
        VersionCommand::Add { version: VersionName { adapter, label }, source, against } => {
            (Change::SetVersion { adapter, label, source }, against)
        }
        VersionCommand::Remove { version: VersionName { adapter, label }, against } => {
            (Change::RemoveVersion { adapter, label }, against)
        }
        VersionCommand::List { adapter } => return list(session, adapter.as_ref()).await,
    };
    Ok(session.taken(session.change(against, change).await?))
}

async fn list(session: &Session, adapter: Option<&Name>) -> Result<String, Error> {
    let config = Declaration::of(&session.client.config().await?);
    let wanted = |name: &VersionName| adapter.is_none_or(|adapter| *adapter == name.adapter);
    let rows = config.versions.iter().filter(|(name, _)| wanted(name)).map(|(name, source)| Row {
        adapter: name.adapter.clone(),
        label: name.label.clone(),
        source: source.clone(),
    });
    let columns: [Column<Row>; 3] = [
        Column("adapter", |row| row.adapter.to_string()),
        Column("label", |row| row.label.to_string()),
        Column("source", |row| row.source.clone()),
    ];
    Ok(session.list(&rows.collect::<Vec<_>>(), &columns))
}
