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
    /// Take out a daemon that is gone for good
    Leave {
        /// Its host
        host: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List members
    List,
}

pub(crate) async fn run(session: &Session, command: MemberCommand) -> Result<String, Error> {
    match command {
        MemberCommand::Leave { host, against } => leave(session, host, against).await,
        MemberCommand::List => list(session).await,
    }
}

/// Names the incarnation that was read, so that a daemon which came back in
/// the meantime stays.
async fn leave(session: &Session, host: Name, mut against: Against) -> Result<String, Error> {
    let config = session.client.config().await?;
    against.against.get_or_insert(config.number.0);
    let Some((_, member)) = config.member(&host) else {
        let refusal = Refusal::Missing { kind: "member".into(), name: host.to_string() };
        return Err(Error::Refused { place: None, refusal });
    };
    let change = Change::Leave { host, incarnation: member.incarnation };
    Ok(session.taken(session.change(against, change).await?))
}

async fn list(session: &Session) -> Result<String, Error> {
    let config = session.client.config().await?;
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
    Ok(session.list(&rows, &columns))
}
