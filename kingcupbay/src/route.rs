//! Commands on routes to plain services.

use clap::{ArgAction, Subcommand};
use kingcupbay_core::{config::change::Change, declare::Declaration, id::Name};
use serde::Serialize;

use crate::{against::Against, error::Error, output::Column, session::Session};

/// Commands on routes.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum RouteCommand {
    /// Make or change a route
    Set {
        /// Its name, the first segment of the path
        name: Name,

        /// Organisation that may use it
        #[arg(long)]
        organisation: Name,

        /// Service behind it
        #[arg(long)]
        service: Name,

        /// Whether a call runs at most once
        #[arg(long, value_name = "true|false", action = ArgAction::Set)]
        once: bool,

        #[command(flatten)]
        against: Against,
    },

    /// Remove a route
    Remove {
        /// Its name
        name: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List routes
    List,
}

/// Row of the list of routes.
#[derive(Serialize)]
struct Row {
    name: Name,
    organisation: Name,
    service: Name,
    once: bool,
}

/// Runs a command on routes and returns the text to print.
pub(crate) async fn run(session: &Session, command: RouteCommand) -> Result<String, Error> {
    let (change, against) = match command {
        RouteCommand::Set { name, organisation, service, once, against } => {
            (Change::SetRoute { name, organisation, service, once }, against)
        }
        RouteCommand::Remove { name, against } => (Change::RemoveRoute { name }, against),
        RouteCommand::List => return list_routes(session).await,
    };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

async fn list_routes(session: &Session) -> Result<String, Error> {
    let config = Declaration::of(&session.client.read_config().await?);
    let rows = config.routes.into_iter().map(|(name, row)| Row {
        name,
        organisation: row.organisation,
        service: row.service,
        once: row.once,
    });
    let columns: [Column<Row>; 4] = [
        Column("name", |row| row.name.to_string()),
        Column("organisation", |row| row.organisation.to_string()),
        Column("service", |row| row.service.to_string()),
        Column("once", |row| row.once.to_string()),
    ];
    Ok(session.format_list(&rows.collect::<Vec<_>>(), &columns))
}
