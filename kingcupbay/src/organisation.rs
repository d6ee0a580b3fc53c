//! Commands on organisations.

use clap::Subcommand;
use kingcupbay_core::{
    config::{change::Change, model::Organisation},
    id::Name,
};

use crate::{against::Against, error::Error, output::Column, session::Session};

/// Commands on organisations.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum OrganisationCommand {
    /// Make or change an organisation
    Set {
        /// Its name
        name: Name,

        /// Tokens a second
        #[arg(long, value_name = "TOKENS")]
        rate: u64,

        /// Tokens that may be used at once
        #[arg(long, value_name = "TOKENS")]
        burst: u64,

        #[command(flatten)]
        against: Against,
    },

    /// Remove an organisation that nothing refers to
    Remove {
        /// Its name
        name: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List organisations
    List,
}

/// Runs a command on organisations and returns the text to print.
pub(crate) async fn run(session: &Session, command: OrganisationCommand) -> Result<String, Error> {
    let (change, against) = match command {
        OrganisationCommand::Set { name, rate, burst, against } => {
            (Change::SetOrganisation { name, rate, burst }, against)
        }
        OrganisationCommand::Remove { name, against } => {
            (Change::RemoveOrganisation { name }, against)
        }
        OrganisationCommand::List => return list_organisations(session).await,
    };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

async fn list_organisations(session: &Session) -> Result<String, Error> {
    let config = session.client.read_config().await?;
    let rows: Vec<_> = config.organisations.iter().map(|(_, row)| row.clone()).collect();
    let columns: [Column<Organisation>; 3] = [
        Column("name", |row| row.name.to_string()),
        Column("rate", |row| row.rate.to_string()),
        Column("burst", |row| row.burst.to_string()),
    ];
    Ok(session.format_list(&rows, &columns))
}
