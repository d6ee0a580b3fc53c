//! Commands on access keys.

use clap::Subcommand;
use kingcupbay_core::{
    config::{change::Change, model::KeyHash},
    id::Name,
};
use serde::Serialize;

use crate::{
    against::Against,
    error::Error,
    output::{self, Column},
    session::Session,
};

/// Marks a key as one of this system, for people and for secret scanners.
const PREFIX: &str = "kcb_";

/// Commands on access keys.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum KeyCommand {
    /// Draw a key and show it, this once only
    Issue {
        /// Its label
        label: Name,

        /// Whose key
        #[arg(long)]
        organisation: Name,

        #[command(flatten)]
        against: Against,
    },

    /// Withdraw a key
    Withdraw {
        /// Its label
        label: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List keys; the secrets are nowhere
    List,
}

/// A key as listed.
#[derive(Serialize)]
struct Row {
    label: Name,
    organisation: Name,
    hash: KeyHash,
}

/// A key just issued.
#[derive(Serialize)]
struct Issued {
    label: Name,
    organisation: Name,
    secret: String,
    number: u64,
}

pub(crate) async fn run(session: &Session, command: KeyCommand) -> Result<String, Error> {
    match command {
        KeyCommand::Issue { label, organisation, against } => {
            issue(session, label, organisation, against).await
        }
        KeyCommand::Withdraw { label, against } => {
            let change = Change::WithdrawKey { label };
            Ok(session.taken(session.change(against, change).await?))
        }
        KeyCommand::List => list(session).await,
    }
}

/// The secret is shown only once the key is in force: whoever gets exit code
/// 5 finds the label in the list, withdraws it and issues another.
async fn issue(
    session: &Session,
    label: Name,
    organisation: Name,
    against: Against,
) -> Result<String, Error> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).expect("the system has random bytes");
    let secret = format!("{PREFIX}{}", hex::encode(bytes));
    let change = Change::IssueKey {
        label: label.clone(),
        organisation: organisation.clone(),
        hash: KeyHash::of(&secret),
    };
    let taken = session.change(against, change).await?;
    let issued = Issued { label, organisation, secret, number: taken.number.0 };
    Ok(match session.json {
        true => output::json(&issued),
        false => issued.secret,
    })
}

async fn list(session: &Session) -> Result<String, Error> {
    let config = session.client.config().await?;
    let rows = config.keys.iter().map(|(_, row)| {
        let owner = config.organisations.get(row.organisation).expect("a key has an owner");
        Row { label: row.label.clone(), organisation: owner.name.clone(), hash: row.hash }
    });
    let columns: [Column<Row>; 3] = [
        Column("label", |row| row.label.to_string()),
        Column("organisation", |row| row.organisation.to_string()),
        Column("hash", |row| hex::encode(row.hash.0)),
    ];
    Ok(session.list(&rows.collect::<Vec<_>>(), &columns))
}
