//! Commands on upstreams.

use std::net::SocketAddr;

use clap::{ArgGroup, Subcommand};
use kingcupbay_core::{
    config::{
        change::{Change, Refusal},
        model::{Config, Serves, Upstream},
    },
    id::Name,
};

use crate::{against::Against, error::Error, output::Column, session::Session};

/// Commands on upstreams.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum UpstreamCommand {
    /// Make or change an upstream
    Set(Set),

    /// Give an upstream no new work
    Leave {
        /// Its name
        name: Name,

        #[command(flatten)]
        against: Against,
    },

    /// Remove an upstream
    Remove {
        /// Its name
        name: Name,

        #[command(flatten)]
        against: Against,
    },

    /// List upstreams
    List,
}

/// Options of `upstream set`, which replaces the whole row of an upstream.
#[derive(Debug)]
#[derive(clap::Args)]
#[command(group = ArgGroup::new("serves").required(true))]
pub(crate) struct Set {
    /// Its name
    name: Name,

    /// Host whose daemon owns it
    #[arg(long)]
    host: Name,

    /// Address of the engine or service
    #[arg(long, value_name = "IP:PORT")]
    address: SocketAddr,

    /// Its availability zone
    #[arg(long)]
    zone: Name,

    /// Base model whose adapters it serves
    #[arg(long, group = "serves", requires = "slots", requires = "fenced")]
    base: Option<Name>,

    /// Adapter slots
    #[arg(long, requires = "base")]
    slots: Option<u32>,

    /// Whether the engine refuses old fencing numbers
    #[arg(long, requires = "base", value_name = "true|false")]
    fenced: Option<bool>,

    /// Plain service that it serves, as routes name it
    #[arg(long, group = "serves")]
    service: Option<Name>,

    /// Whether it gets no new work; kept when not given
    #[arg(long, value_name = "true|false")]
    leaving: Option<bool>,

    #[command(flatten)]
    against: Against,
}

/// Runs a command on upstreams and returns the text to print.
pub(crate) async fn run(session: &Session, command: UpstreamCommand) -> Result<String, Error> {
    let (change, against) = match command {
        UpstreamCommand::Set(set) => set_upstream(session, set).await?,
        UpstreamCommand::Leave { name, against } => leave_upstream(session, &name, against).await?,
        UpstreamCommand::Remove { name, against } => (Change::RemoveUpstream { name }, against),
        UpstreamCommand::List => return list_upstreams(session).await,
    };
    Ok(session.format_taken(session.post_change(against, change).await?))
}

/// Creates the change that sets an upstream. If `--leaving` is not given, its value
/// in force is kept.
async fn set_upstream(session: &Session, set: Set) -> Result<(Change, Against), Error> {
    let mut against = set.against;
    let leaving = match set.leaving {
        Some(leaving) => leaving,
        None => {
            // The kept value is valid only for the number at which it was read.
            let config = session.client.read_config().await?;
            against.against.get_or_insert(config.number.0);
            find_upstream(&config, &set.name).is_some_and(|row| row.leaving)
        }
    };
    let serves = match (set.service, set.base, set.slots, set.fenced) {
        (Some(service), ..) => Serves::Service { service },
        (None, Some(base), Some(slots), Some(fenced)) => Serves::Model { base, slots, fenced },
        _ => return Err(Error::Usage("give --service, or --base, --slots and --fenced")),
    };
    let upstream = Upstream {
        name: set.name,
        host: set.host,
        address: set.address.to_string(),
        zone: set.zone,
        serves,
        leaving,
    };
    Ok((Change::SetUpstream { upstream }, against))
}

/// Creates the change that marks an upstream as leaving.
async fn leave_upstream(
    session: &Session,
    name: &Name,
    mut against: Against,
) -> Result<(Change, Against), Error> {
    let config = session.client.read_config().await?;
    against.against.get_or_insert(config.number.0);
    let Some(mut upstream) = find_upstream(&config, name).cloned() else {
        let refusal = Refusal::Missing { kind: "upstream".into(), name: name.to_string() };
        return Err(Error::Refused { place: None, refusal });
    };
    upstream.leaving = true;
    Ok((Change::SetUpstream { upstream }, against))
}

fn find_upstream<'a>(config: &'a Config, name: &Name) -> Option<&'a Upstream> {
    config.upstreams.get(*config.upstream_names.get(name)?)
}

async fn list_upstreams(session: &Session) -> Result<String, Error> {
    let config = session.client.read_config().await?;
    let rows: Vec<_> = config.upstreams.iter().map(|(_, row)| row.clone()).collect();
    let columns: [Column<Upstream>; 6] = [
        Column("name", |row| row.name.to_string()),
        Column("host", |row| row.host.to_string()),
        Column("address", |row| row.address.clone()),
        Column("zone", |row| row.zone.to_string()),
        Column("serves", |row| match &row.serves {
            Serves::Model { base, slots, fenced } => {
                format!("base={base} slots={slots} fenced={fenced}")
            }
            Serves::Service { service } => format!("service={service}"),
        }),
        Column("leaving", |row| row.leaving.to_string()),
    ];
    Ok(session.format_list(&rows, &columns))
}
