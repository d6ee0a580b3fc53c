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

/// Row of the list of versions.
#[derive(Serialize)]
struct Row {
    adapter: Name,
    label: Name,
    source: String,
}

/// Runs a command on versions and returns the text to print.
pub(crate) async fn run(session: &Session, command: VersionCommand) -> Result<String, Error> {
    let (change, against) = match command {
        VersionCommand::Add { version: VersionName { adapter, label }, source, against } => {
            (Change::SetVersion { adapter, label, source }, against)
        }
        VersionCommand::Remove { version: VersionName { adapter, label }, against } => {
            (Change::RemoveVersion { adapter, label }, against)
        }
        VersionCommand::List { adapter } => return list_versions(session, adapter.as_ref()).await,
    };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

async fn list_versions(session: &Session, adapter: Option<&Name>) -> Result<String, Error> {
    let config = Declaration::of(&session.client.read_config().await?);
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
    Ok(session.format_list(&rows.collect::<Vec<_>>(), &columns))
}
