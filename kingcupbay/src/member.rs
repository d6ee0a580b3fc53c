//! Commands on members.

use clap::Subcommand;
use kingcupbay_core::{
    config::{
        change::{Change, Refusal},
        model::{Member, Role},
    },
    id::Name,
};

use crate::{against::Against, error::Error, output::Column, session::Session};

/// Commands on members.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum MemberCommand {
    /// Remove a daemon that is gone for good
    Leave {
        /// Its host
        host: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List members
    List,
}

/// Runs a command on members and returns the text to print.
pub(crate) async fn run(session: &Session, command: MemberCommand) -> Result<String, Error> {
    match command {
        MemberCommand::Leave { host, against } => remove_member(session, host, against).await,
        MemberCommand::List => list_members(session).await,
    }
}

/// Removes the incarnation of a member that was read. A daemon that joined again
/// in the meantime has another incarnation and stays.
async fn remove_member(
    session: &Session,
    host: Name,
    mut against: Against,
) -> Result<String, Error> {
    let config = session.client.read_config().await?;
    against.against.get_or_insert(config.number.0);
    let Some((_, member)) = config.member(&host) else {
        let refusal = Refusal::Missing { kind: "member".into(), name: host.to_string() };
        return Err(Error::Refused { place: None, refusal });
    };
    let change = Change::Leave { host, incarnation: member.incarnation };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

async fn list_members(session: &Session) -> Result<String, Error> {
    let config = session.client.read_config().await?;
    let rows: Vec<_> = config.members.iter().map(|(_, row)| row.clone()).collect();
    let columns: [Column<Member>; 5] = [
        Column("host", |row| row.host.to_string()),
        Column("address", |row| row.address.clone()),
        Column("zone", |row| row.zone.to_string()),
        Column("role", |row| match row.role {
            Role::Entry => "entry".to_owned(),
            Role::Upstream => "upstream".to_owned(),
        }),
        Column("incarnation", |row| format!("{:016x}", row.incarnation)),
    ];
    Ok(session.format_list(&rows, &columns))
}
