//! Commands on adapters.

use clap::Subcommand;
use kingcupbay_core::{config::change::Change, declare::Declaration, id::Name};
use serde::Serialize;

use crate::{
    against::Against,
    error::Error,
    output::{Column, or_dash},
    session::Session,
};

/// Commands on adapters.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum AdapterCommand {
    /// Make or change an adapter
    Set {
        /// Its name, unique over all organisations
        name: Name,

        /// Organisation that owns it; cannot be changed
        #[arg(long)]
        organisation: Name,

        /// Base model
        #[arg(long)]
        base: Name,

        /// Version used for the name without a label; kept when not given
        #[arg(long, value_name = "LABEL")]
        default: Option<Name>,

        /// Use no version for the name without a label
        #[arg(long, conflicts_with = "default")]
        no_default: bool,

        #[command(flatten)]
        against: Against,
    },

    /// Remove an adapter with all its versions
    Remove {
        /// Its name
        name: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List adapters
    List,
}

/// Row of the list of adapters.
#[derive(Serialize)]
struct Row {
    name: Name,
    organisation: Name,
    base: Name,
    default: Option<Name>,
    versions: Vec<Name>,
}

/// Runs a command on adapters and returns the text to print.
pub(crate) async fn run(session: &Session, command: AdapterCommand) -> Result<String, Error> {
    let (change, against) = match command {
        AdapterCommand::Set { name, organisation, base, default, no_default, mut against } => {
            let kept = match default.is_some() || no_default {
                true => None,
                false => {
                    // The kept value is valid only for the number at which it was
                    // read.
                    let config = session.client.read_config().await?;
                    against.against.get_or_insert(config.number.0);
                    let mut adapters = Declaration::of(&config).adapters;
                    adapters.remove(&name).and_then(|old| old.default)
                }
            };
            let default = default.or(kept);
            (Change::SetAdapter { name, organisation, base, default }, against)
        }
        AdapterCommand::Remove { name, against } => (Change::RemoveAdapter { name }, against),
        AdapterCommand::List => return list_adapters(session).await,
    };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

async fn list_adapters(session: &Session) -> Result<String, Error> {
    let config = Declaration::of(&session.client.read_config().await?);
    let rows = config.adapters.iter().map(|(name, row)| Row {
        name: name.clone(),
        organisation: row.organisation.clone(),
        base: row.base.clone(),
        default: row.default.clone(),
        versions: config
            .versions
            .keys()
            .filter(|version| version.adapter == *name)
            .map(|version| version.label.clone())
            .collect(),
    });
    let columns: [Column<Row>; 5] = [
        Column("name", |row| row.name.to_string()),
        Column("organisation", |row| row.organisation.to_string()),
        Column("base", |row| row.base.to_string()),
        Column("default", |row| or_dash(row.default.as_ref())),
        Column("versions", |row| row.versions.len().to_string()),
    ];
    Ok(session.format_list(&rows.collect::<Vec<_>>(), &columns))
}
