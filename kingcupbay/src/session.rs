//! State shared by the commands: the client, the output format and the author.

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

/// Environment variable that lists the daemons to ask when the command line names
/// none.
const DAEMON_ENV: &str = "KINGCUPBAY_DAEMON";

/// State that every command needs.
pub(crate) struct Session {
    pub(crate) client: Client,
    pub(crate) json: bool,
    author: String,
}

impl Session {
    /// Creates a session from the global options and the environment.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if neither the command line nor the environment names a
    /// daemon, or the environment's list is malformed.
    pub(crate) fn new(
        mut daemons: Vec<SocketAddr>,
        json: bool,
        author: Option<String>,
    ) -> Result<Session, Error> {
        if daemons.is_empty() {
            let listed = std::env::var(DAEMON_ENV).unwrap_or_default();
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

    /// Creates a patch by this author with a random id.
    pub(crate) fn new_patch(&self, against: Number, changes: Vec<Change>) -> Patch {
        let mut id = [0; 16];
        getrandom::fill(&mut id).expect("the system has random bytes");
        Patch { id: RequestId(id), against, author: self.author.clone(), changes }
    }

    /// Posts one change against the given configuration number, by default the one
    /// in force.
    pub(crate) async fn post_change(
        &self,
        against: Against,
        change: Change,
    ) -> Result<PatchStored, Error> {
        let number = match against.against {
            Some(number) => Number(number),
            None => self.client.read_config().await?.number,
        };
        self.client.post_patch(&self.new_patch(number, vec![change])).await
    }

    /// Formats the result of a patch that was taken.
    pub(crate) fn format_taken(&self, taken: PatchStored) -> String {
        match self.json {
            true => output::to_json(&taken),
            false if taken.acknowledged => format!("number {} is in force", taken.number),
            false => format!("number {} was taken", taken.number),
        }
    }

    /// Formats a list as JSON or as a table.
    pub(crate) fn format_list<T: Serialize>(&self, rows: &[T], columns: &[Column<T>]) -> String {
        match self.json {
            true => output::to_json(rows),
            false => output::format_table(rows, columns),
        }
    }
}
