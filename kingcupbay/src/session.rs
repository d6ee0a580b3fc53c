//! What every command needs: daemons to ask, and how to answer.

use std::net::SocketAddr;

use kingcupbay_core::{
    config::{change::Change, patch::Patch},
    id::{Number, RequestId},
    wire::admin::PatchStored,
};
use serde::Serialize;

use crate::{
    against::Against,
    client::Client,
    error::Error,
    output::{self, Column},
};

/// Daemons that are asked when the command line names none.
const DAEMON_VARIABLE: &str = "KINGCUPBAY_DAEMON";

/// What every command needs.
pub(crate) struct Session {
    pub(crate) client: Client,
    pub(crate) json: bool,
    author: String,
}

impl Session {
    /// Fails when neither the command line nor the environment names a daemon.
    pub(crate) fn new(
        mut daemons: Vec<SocketAddr>,
        json: bool,
        author: Option<String>,
    ) -> Result<Session, Error> {
        if daemons.is_empty() {
            let listed = std::env::var(DAEMON_VARIABLE).unwrap_or_default();
            let words = listed.split([',', ' ']).filter(|word| !word.is_empty());
            let parsed: Result<_, _> = words.map(str::parse).collect();
            daemons = parsed.map_err(|_| Error::Usage("KINGCUPBAY_DAEMON is not IP:PORT,…"))?;
        }
        if daemons.is_empty() {
            return Err(Error::Usage("name a daemon by --daemon IP:PORT or KINGCUPBAY_DAEMON"));
        }
        let author = author.or_else(|| std::env::var("USER").ok());
        let author = author.unwrap_or_else(|| "unknown".to_owned());
        Ok(Session { client: Client::new(daemons), json, author })
    }

    /// A patch by this operator.
    pub(crate) fn patch(&self, against: Number, changes: Vec<Change>) -> Patch {
        let mut id = [0; 16];
        getrandom::fill(&mut id).expect("the system has random bytes");
        Patch { id: RequestId(id), against, author: self.author.clone(), changes }
    }

    /// Has one change taken, against the number given or the one in force.
    pub(crate) async fn change(
        &self,
        against: Against,
        change: Change,
    ) -> Result<PatchStored, Error> {
        let number = match against.against {
            Some(number) => Number(number),
            None => self.client.config().await?.number,
        };
        self.client.post(&self.patch(number, vec![change])).await
    }

    /// The text that tells of a patch that was taken.
    pub(crate) fn taken(&self, taken: PatchStored) -> String {
        match self.json {
            true => output::json(&taken),
            false if taken.acknowledged => format!("number {} is in force", taken.number),
            false => format!("number {} was taken", taken.number),
        }
    }

    /// A list of rows.
    pub(crate) fn list<T: Serialize>(&self, rows: &[T], columns: &[Column<T>]) -> String {
        match self.json {
            true => output::json(rows),
            false => output::table(rows, columns),
        }
    }
}
