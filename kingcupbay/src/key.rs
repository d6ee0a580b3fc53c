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

/// Prefix of every key, by which people and secret scanners recognise it.
const KEY_PREFIX: &str = "kcb_";

/// Commands on access keys.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum KeyCommand {
    /// Generate a key and show it, this once only
    Issue {
        /// Its label
        label: Name,

        /// Organisation that owns it
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

    /// List keys; their secrets are not stored
    List,
}

/// Row of the list of keys.
#[derive(Serialize)]
struct Row {
    label: Name,
    organisation: Name,
    hash: KeyHash,
}

/// JSON output for an issued key.
#[derive(Serialize)]
struct Issued {
    label: Name,
    organisation: Name,
    secret: String,
    number: u64,
}

/// Runs a command on access keys and returns the text to print.
pub(crate) async fn run(session: &Session, command: KeyCommand) -> Result<String, Error> {
    match command {
        KeyCommand::Issue { label, organisation, against } => {
            issue_key(session, label, organisation, against).await
        }
        KeyCommand::Withdraw { label, against } => {
            let change = Change::WithdrawKey { label };
            Ok(session.format_taken(session.post_change(against, change).await?))
        }
        KeyCommand::List => list_keys(session).await,
    }
}

/// Issues a key and returns its secret.
///
/// The secret is shown only if the patch with the key was taken. After exit code
/// 5, the operator looks for the label in the list of keys, withdraws that key
/// and issues another one.
async fn issue_key(
    session: &Session,
    label: Name,
    organisation: Name,
    against: Against,
) -> Result<String, Error> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).expect("the system has random bytes");
    let secret = format!("{KEY_PREFIX}{}", hex::encode(bytes));
    let change = Change::IssueKey {
        label: label.clone(),
        organisation: organisation.clone(),
        hash: KeyHash::of(&secret),
    };
    let taken = session.post_change(against, change).await?;
    let issued = Issued { label, organisation, secret, number: taken.number.0 };
    Ok(match session.json {
        true => output::to_json(&issued),
        false => issued.secret,
    })
}

async fn list_keys(session: &Session) -> Result<String, Error> {
    let config = session.client.read_config().await?;
    let rows = config.keys.iter().map(|(_, row)| {
        let owner = config.organisations.get(row.organisation).expect("a key has an owner");
        Row { label: row.label.clone(), organisation: owner.name.clone(), hash: row.hash }
    });
    let columns: [Column<Row>; 3] = [
        Column("label", |row| row.label.to_string()),
        Column("organisation", |row| row.organisation.to_string()),
        Column("hash", |row| hex::encode(row.hash.0)),
    ];
    Ok(session.format_list(&rows.collect::<Vec<_>>(), &columns))
}
