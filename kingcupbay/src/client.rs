//! HTTP client for the operators' ports of daemons. It asks the daemons one after
//! the other.

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

/// Timeout of connecting, so that a host that is down delays the operator only
/// briefly.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an answer. It exceeds the time that a patch may take to reach a
/// majority.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of an answer in bytes. A configuration of 67,000 adapters takes
/// some tens of megabytes.
const ANSWER_BYTES_MAX: usize = 256 << 20;

/// Maximum number of rounds in which the same patch is sent to every daemon.
const ROUNDS_MAX: u32 = 3;

/// Delay between two rounds, in which a daemon may reach the table again.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Client for the daemons that the operator named.
pub(crate) struct Client {
    daemons: Vec<SocketAddr>,
    http: awc::Client,
}

/// Failure of one HTTP exchange with one daemon.
enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No complete answer came; the daemon may have received the request.
    AnswerLost(String),
}

/// Result of sending a patch to one daemon.
enum PostResult {
    /// The daemon gave a final answer.
    Final(Result<PatchStored, PatchError>),
    /// The daemon wrote nothing to the table.
    NotTaken(String),
    /// The patch may or may not be in the table.
    Unknown(String),
}

impl Client {
    /// Creates a client that asks `daemons` in this order.
    pub(crate) fn new(daemons: Vec<SocketAddr>) -> Client {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder().connector(connector).timeout(ANSWER_TIMEOUT).finish();
        Client { daemons, http }
    }

    /// Reads the configuration in force.
    pub(crate) async fn read_config(&self) -> Result<Config, Error> {
        self.read_json(admin::CONFIG_PATH).await
    }

    /// Reads the patches that made configuration numbers above `after`.
    pub(crate) async fn read_history(&self, after: Number) -> Result<History, Error> {
        self.read_json(&format!("{}?after={after}", admin::HISTORY_PATH)).await
    }

    /// Reads the JSON at `path` from the first daemon that returns it.
    pub(crate) async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.read_first(path, |body| {
            serde_json::from_slice(body).map_err(|error| error.to_string())
        })
        .await
    }

    /// Reads the text at `path` from the first daemon that returns it.
    pub(crate) async fn read_text(&self, path: &str) -> Result<String, Error> {
        self.read_first(path, |body| Ok(String::from_utf8_lossy(body).into_owned())).await
    }

    /// Reads and parses `path` from the first daemon for which both succeed.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if all fail and one of them answered 404,
    /// [`Error::Unreachable`] if all fail otherwise.
    async fn read_first<T>(
        &self,
        path: &str,
        parse: impl Fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, Error> {
        let mut attempts = Vec::new();
        let mut not_found = None;
        for &daemon in &self.daemons {
            let problem = match self.exchange(daemon, Method::GET, path, Vec::new()).await {
                Ok((StatusCode::OK, body)) => match parse(&body) {
                    Ok(value) => return Ok(value),
                    Err(problem) => problem,
                },
                Ok((status, body)) => {
                    let problem = error_message(&body);
                    // Another daemon may have the item already.
                    if status == StatusCode::NOT_FOUND {
                        not_found.get_or_insert(problem.clone());
                    }
                    format!("{status}: {problem}")
                }
                Err(ExchangeError::NotSent(problem) | ExchangeError::AnswerLost(problem)) => {
                    problem
                }
            };
            attempts.push(format!("{daemon}: {problem}"));
        }
        Err(not_found.map_or(Error::Unreachable(attempts), Error::NotFound))
    }

    /// Posts `patch` and returns its result.
    ///
    /// An answer may be lost after the patch took effect. The same patch is
    /// then posted again, to the next daemon too. Daemons recognise it by its
    /// id, so a repeat gets the same answer as the first post and the patch is
    /// never taken twice.
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] if the patch may be in the table,
    /// [`Error::Unreachable`] if no daemon wrote it, and otherwise the reason for
    /// which it was refused.
    pub(crate) async fn post_patch(&self, patch: &Patch) -> Result<PatchStored, Error> {
        let body = serde_json::to_vec(patch).expect("a patch is JSON");
        let mut attempts = Vec::new();
        let mut unknown = false;
        for round in 0..ROUNDS_MAX {
            if round > 0 {
                actix_rt::time::sleep(ROUND_DELAY).await;
            }
            for &daemon in &self.daemons {
                match self.post_patch_once(daemon, body.clone()).await {
                    PostResult::Final(Ok(taken)) => return Ok(taken),
                    PostResult::Final(Err(PatchError::Stale { against, current })) if unknown => {
                        return self.resolve_stale(patch, against, current, attempts).await;
                    }
                    PostResult::Final(Err(error)) => return Err(error.into()),
                    PostResult::NotTaken(problem) => add_attempt(&mut attempts, daemon, &problem),
                    PostResult::Unknown(problem) => {
                        unknown = true;
                        add_attempt(&mut attempts, daemon, &problem);
                    }
                }
            }
        }
        match unknown {
            true => Err(Error::OutcomeUnknown { id: patch.id, attempts }),
            false => Err(Error::Unreachable(attempts)),
        }
    }

    /// Resolves a repeated patch that a daemon refused as stale.
    ///
    /// Either this patch made the next configuration number and the daemon did
    /// not recognise its id, or another patch was taken first. The history says
    /// which, and nothing can change that later.
    async fn resolve_stale(
        &self,
        patch: &Patch,
        against: Number,
        current: Number,
        mut attempts: Vec<String>,
    ) -> Result<PatchStored, Error> {
        let history = match self.read_history(against).await {
            Ok(history) => history,
            Err(error) => {
                attempts.push(error.to_string());
                return Err(Error::OutcomeUnknown { id: patch.id, attempts });
            }
        };
        match history.patches.iter().find(|entry| entry.number == against.next()) {
            Some(entry) if entry.patch.id == patch.id => {
                // The history shows that the table holds the patch, but not that a
                // majority holds it.
                Ok(PatchStored { number: entry.number, acknowledged: false })
            }
            Some(_) => Err(Error::Stale { against, current }),
            None => Err(Error::OutcomeUnknown { id: patch.id, attempts }),
        }
    }

    async fn post_patch_once(&self, daemon: SocketAddr, body: Vec<u8>) -> PostResult {
        let (status, body) =
            match self.exchange(daemon, Method::POST, admin::PATCH_PATH, body).await {
                Ok(answer) => answer,
                Err(ExchangeError::NotSent(problem)) => return PostResult::NotTaken(problem),
                Err(ExchangeError::AnswerLost(problem)) => return PostResult::Unknown(problem),
            };
        if status == StatusCode::OK
            && let Ok(taken) = serde_json::from_slice::<PatchStored>(&body)
        {
            return match taken.acknowledged {
                true => PostResult::Final(Ok(taken)),
                false => PostResult::Unknown(format!(
                    "made {}, not yet held by a majority",
                    taken.number
                )),
            };
        }
        if let Ok(refused) = serde_json::from_slice::<PatchRefused>(&body) {
            return PostResult::Final(Err(refused.error));
        }
        match serde_json::from_slice::<PatchUndecided>(&body) {
            Ok(PatchUndecided { outcome: UndecidedOutcome::NotTaken, message }) => {
                PostResult::NotTaken(message)
            }
            Ok(PatchUndecided { outcome: UndecidedOutcome::Unknown, message }) => {
                PostResult::Unknown(message)
            }
            // An answer that cannot be parsed says nothing about the patch.
            Err(_) => PostResult::Unknown(format!("{status}: {}", String::from_utf8_lossy(&body))),
        }
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>), ExchangeError> {
        let url = format!("http://{daemon}{path}");
        let request = self.http.request(method, url).content_type("application/json");
        // The daemon may have closed a connection that is kept alive. A request
        // on it would fail as if its answer were lost, though it was not received.
        let mut response =
            request.force_close().send_body(body).await.map_err(ExchangeError::from)?;
        match response.body().limit(ANSWER_BYTES_MAX).await {
            Ok(body) => Ok((response.status(), body.to_vec())),
            Err(error) => Err(ExchangeError::AnswerLost(error.to_string())),
        }
    }
}

/// Returns the error message of a failed answer, or its whole text if it has no
/// such message.
fn error_message(body: &[u8]) -> String {
    let failure = serde_json::from_slice::<Value>(body).unwrap_or_default();
    match failure["error"]["message"].as_str() {
        Some(message) => message.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    }
}

/// Adds a line about an attempt unless an earlier round added the same one.
fn add_attempt(attempts: &mut Vec<String>, daemon: SocketAddr, problem: &str) {
    let line = format!("{daemon}: {problem}");
    if !attempts.contains(&line) {
        attempts.push(line);
    }
}

impl From<SendRequestError> for ExchangeError {
    fn from(error: SendRequestError) -> ExchangeError {
        match error {
            // The HTTP client also returns this error when the connection closes
            // before an answer, long after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                ExchangeError::AnswerLost("closed without an answer".to_owned())
            }
            SendRequestError::Connect(error) => ExchangeError::NotSent(error.to_string()),
            error => ExchangeError::AnswerLost(error.to_string()),
        }
    }
}
