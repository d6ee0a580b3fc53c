//! Errors that callers receive when a request does not succeed.

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request definitely never reached an engine or service.
    NotRun,
    /// The request ran, completely or in part.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident = $text:literal, $status:literal;)*) => {
        /// Stable codes of refusals and failures.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code {
            $($(#[$doc])* $code,)*
        }

        impl Code {
            /// All codes in declaration order.
            pub const ALL: &[Code] = &[$(Code::$code),*];

            /// Returns the code as sent to callers.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Code::$code => $text,)*
                }
            }

            /// Returns the HTTP status of an answer with this code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Code::$code => $status,)*
                }
            }
        }
    };
}

codes! {
    /// The body or a header is malformed.
    BadRequest = "bad_request", 400;
    /// The body is longer than allowed.
    TooLarge = "too_large", 413;
    /// The head is longer than allowed.
    HeadTooLarge = "head_too_large", 431;
    /// The body did not arrive in time.
    BodyTimeout = "body_timeout", 408;
    /// The key is unknown or withdrawn.
    BadKey = "bad_key", 401;
    /// The key was withdrawn while its request ran.
    KeyWithdrawn = "key_withdrawn", 401;
    /// No such adapter, version or route for this organisation.
    NotFound = "not_found", 404;
    /// The organisation is over its rate.
    OverRate = "over_rate", 429;
    /// More tokens asked for than the organisation's burst can ever hold.
    OverBurst = "over_burst", 400;
    /// Too many requests wait already.
    Overloaded = "overloaded", 503;
    /// The deadline passed, or cannot be met.
    Deadline = "deadline", 504;
    /// This daemon may not act on what it knows.
    NoStanding = "no_standing", 503;
    /// No upstream can take it.
    NoUpstream = "no_upstream", 503;
    /// The adapter could not be loaded.
    LoadFailed = "load_failed", 503;
    /// The upstream failed midway.
    UpstreamFailed = "upstream_failed", 502;
    /// A call with this idempotency key is already claimed; no outcome known.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The idempotency key was used for another request.
    KeyReused = "key_reused", 422;
    /// The platform's table cannot be reached.
    StoreDown = "store_down", 503;
    /// The daemon is stopping.
    Stopping = "stopping", 503;
}

/// A refusal or failure, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// Stable code of the failure.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// One sentence for the reader of the error.
    pub message: String,
    /// Time to wait before a retry; `None` if a retry does not help.
    pub retry_after: Option<Span>,
}

impl Failure {
    /// Creates a failure of a request that definitely did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Failure {
        Failure { code, ran: Ran::NotRun, message: message.into(), retry_after: None }
    }

    /// Sets the time to wait before a retry.
    pub fn after(mut self, span: Span) -> Failure {
        self.retry_after = Some(span);
        self
    }
}
