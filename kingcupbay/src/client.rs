//! Speaks to the operators' ports of daemons, one after the other.

use std::{net::SocketAddr, time::Duration};

use awc::{
    error::{ConnectError, SendRequestError},
    http::{Method, StatusCode},
};
use kingcupbay_core::{
    config::{
        model::Config,
        patch::{Patch, PatchError},
    },
    id::Number,
    wire::admin::{self, History, PatchRefused, PatchStored, PatchUndecided, UndecidedOutcome},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;

/// A host that is gone must not hold an operator up.
const CONNECT: Duration = Duration::from_secs(2);

/// Longer than a patch may take to reach a majority.
const ANSWER: Duration = Duration::from_secs(20);

/// A configuration of 67,000 adapters is some tens of megabytes.
const ANSWER_MAX: usize = 256 << 20;

/// How often every daemon is tried with the same patch.
const ROUNDS: u32 = 3;

/// Between two rounds, so that a daemon may reach the table again.
const PAUSE: Duration = Duration::from_millis(300);

/// The daemons that may be asked.
pub(crate) struct Client {
    daemons: Vec<SocketAddr>,
    http: awc::Client,
}

/// Why one exchange with one daemon brought no answer.
enum Failed {
    /// No byte of the request left.
    NotSent(String),
    /// The request may have been read.
    Lost(String),
}

/// What one daemon made of a patch.
enum Posted {
    /// A final answer.
    Answer(Result<PatchStored, PatchError>),
    /// This daemon took nothing to the table.
    Not(String),
    /// The patch may be in the table.
    Maybe(String),
}

impl Client {
    pub(crate) fn new(daemons: Vec<SocketAddr>) -> Client {
        let connector = awc::Connector::new().timeout(CONNECT);
        let http = awc::Client::builder().connector(connector).timeout(ANSWER).finish();
        Client { daemons, http }
    }

    /// The configuration in force.
    pub(crate) async fn config(&self) -> Result<Config, Error> {
        self.read(admin::CONFIG_PATH).await
    }

    /// The patches that made numbers above `after`.
    pub(crate) async fn history(&self, after: Number) -> Result<History, Error> {
        self.read(&format!("{}?after={after}", admin::HISTORY_PATH)).await
    }

    /// The JSON under `path` from the first daemon that gives it.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.first(path, |body| serde_json::from_slice(body).map_err(|error| error.to_string()))
            .await
    }

    /// The text under `path` from the first daemon that gives it.
    pub(crate) async fn text(&self, path: &str) -> Result<String, Error> {
        self.first(path, |body| Ok(String::from_utf8_lossy(body).into_owned())).await
    }

    async fn first<T>(
        &self,
        path: &str,
        parse: impl Fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, Error> {
        let mut attempts = Vec::new();
        let mut absent = None;
        for &daemon in &self.daemons {
            let problem = match self.exchange(daemon, Method::GET, path, Vec::new()).await {
                Ok((StatusCode::OK, body)) => match parse(&body) {
                    Ok(value) => return Ok(value),
                    Err(problem) => problem,
                },
                Ok((status, body)) => {
                    let problem = message(&body);
                    // Another daemon may know of it already.
                    if status == StatusCode::NOT_FOUND {
                        absent.get_or_insert(problem.clone());
                    }
                    format!("{status}: {problem}")
                }
                Err(Failed::NotSent(problem) | Failed::Lost(problem)) => problem,
            };
            attempts.push(format!("{daemon}: {problem}"));
        }
        Err(absent.map_or(Error::Unreachable(attempts), Error::Absent))
    }

    /// Has `patch` taken, or learns that it is not.
    ///
    /// An answer may be lost after the patch took effect. The same patch is
    /// then posted again, to the next daemon too: it is known by its id, so a
    /// repeat is answered as the first time and never taken twice.
    pub(crate) async fn post(&self, patch: &Patch) -> Result<PatchStored, Error> {
        let body = serde_json::to_vec(patch).expect("a patch is JSON");
        let mut attempts = Vec::new();
        let mut maybe = false;
        for round in 0..ROUNDS {
            if round > 0 {
                actix_rt::time::sleep(PAUSE).await;
            }
            for &daemon in &self.daemons {
                match self.post_once(daemon, body.clone()).await {
                    Posted::Answer(Ok(taken)) => return Ok(taken),
                    Posted::Answer(Err(PatchError::Stale { against, current })) if maybe => {
                        return self.resolve(patch, against, current, attempts).await;
                    }
                    Posted::Answer(Err(error)) => return Err(error.into()),
                    Posted::Not(problem) => note(&mut attempts, daemon, &problem),
                    Posted::Maybe(problem) => {
                        maybe = true;
                        note(&mut attempts, daemon, &problem);
                    }
                }
            }
        }
        match maybe {
            true => Err(Error::Unknown { id: patch.id, attempts }),
            false => Err(Error::Unreachable(attempts)),
        }
    }

    /// A repeat was called stale. Either this patch itself made the next
    /// number and the daemon did not know it by its id, or another one came
    /// first: the history says which, and nothing later can change it.
    async fn resolve(
        &self,
        patch: &Patch,
        against: Number,
        current: Number,
        mut attempts: Vec<String>,
    ) -> Result<PatchStored, Error> {
        let history = match self.history(against).await {
            Ok(history) => history,
            Err(error) => {
                attempts.push(error.to_string());
                return Err(Error::Unknown { id: patch.id, attempts });
            }
        };
        match history.patches.iter().find(|entry| entry.number == against.next()) {
            Some(entry) if entry.patch.id == patch.id => {
                // The table holds it; whether a majority does, it can't say.
                Ok(PatchStored { number: entry.number, acknowledged: false })
            }
            Some(_) => Err(Error::Stale { against, current }),
            None => Err(Error::Unknown { id: patch.id, attempts }),
        }
    }

    async fn post_once(&self, daemon: SocketAddr, body: Vec<u8>) -> Posted {
        let (status, body) =
            match self.exchange(daemon, Method::POST, admin::PATCH_PATH, body).await {
                Ok(answer) => answer,
                Err(Failed::NotSent(problem)) => return Posted::Not(problem),
                Err(Failed::Lost(problem)) => return Posted::Maybe(problem),
            };
        if status == StatusCode::OK
            && let Ok(taken) = serde_json::from_slice::<PatchStored>(&body)
        {
            return match taken.acknowledged {
                true => Posted::Answer(Ok(taken)),
                false => {
                    Posted::Maybe(format!("made {}, not yet held by a majority", taken.number))
                }
            };
        }
        if let Ok(refused) = serde_json::from_slice::<PatchRefused>(&body) {
            return Posted::Answer(Err(refused.error));
        }
        match serde_json::from_slice::<PatchUndecided>(&body) {
            Ok(PatchUndecided { outcome: UndecidedOutcome::NotTaken, message }) => {
                Posted::Not(message)
            }
            Ok(PatchUndecided { outcome: UndecidedOutcome::Unknown, message }) => {
                Posted::Maybe(message)
            }
            // An answer of no known shape proves nothing.
            Err(_) => Posted::Maybe(format!("{status}: {}", String::from_utf8_lossy(&body))),
        }
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>), Failed> {
        let url = format!("http://{daemon}{path}");
        let request = self.http.request(method, url).content_type("application/json");
        // A kept connection may be dead at the other end, which would make an
        // answer look lost that was never asked for.
        let mut response = request.force_close().send_body(body).await.map_err(Failed::from)?;
        match response.body().limit(ANSWER_MAX).await {
            Ok(body) => Ok((response.status(), body.to_vec())),
            Err(error) => Err(Failed::Lost(error.to_string())),
        }
    }
}

/// What a daemon says in an answer that is no success: the message of a
/// failure, else its whole text.
fn message(body: &[u8]) -> String {
    let failure = serde_json::from_slice::<Value>(body).unwrap_or_default();
    match failure["error"]["message"].as_str() {
        Some(message) => message.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    }
}

/// Adds a line unless an earlier round said the same.
fn note(attempts: &mut Vec<String>, daemon: SocketAddr, problem: &str) {
    let line = format!("{daemon}: {problem}");
    if !attempts.contains(&line) {
        attempts.push(line);
    }
}

impl From<SendRequestError> for Failed {
    fn from(error: SendRequestError) -> Failed {
        match error {
            // The client says so too when the connection closed before an
            // answer, long after the request left.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Failed::Lost("closed without an answer".to_owned())
            }
            SendRequestError::Connect(error) => Failed::NotSent(error.to_string()),
            error => Failed::Lost(error.to_string()),
        }
    }
}
