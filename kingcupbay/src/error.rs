//! Errors of commands and their exit codes.

use std::path::PathBuf;

use kingcupbay_core::{
    config::{change::Refusal, patch::PatchError},
    declare::model::Location,
    id::Number,
    ini::Mistake,
};
use thiserror::Error;

/// Error of a command.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum Error {
    /// The declaration has mistakes.
    #[error("{}", join_lines(.0))]
    Mistakes(Vec<Mistake>),
    /// A change is not valid.
    #[error("refused: {}{refusal}", format_place(place))]
    Refused {
        /// Place of its declaration, if it comes from a file.
        place: Option<Location>,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// A patch is refused as a whole.
    #[error("refused: {0}")]
    Patch(PatchError),
    /// A file cannot be read.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        error: std::io::Error,
    },
    /// The command line or the environment is incomplete or invalid.
    #[error("{0}")]
    Usage(&'static str),
    /// The change was made against another configuration number than the one in
    /// force.
    #[error("stale: made against {against}, but {current} is in force")]
    Stale {
        /// Configuration number that the change was made against.
        against: Number,
        /// Configuration number in force.
        current: Number,
    },
    /// A daemon answered that the requested item does not exist, and no other one
    /// returned it.
    #[error("refused: {0}")]
    NotFound(String),
    /// No daemon carried out the command; nothing changed. One line for each
    /// failed attempt.
    #[error("no daemon could do it; nothing changed\n{}", join_lines(.0))]
    Unreachable(Vec<String>),
    /// It is unknown whether a patch is in force.
    #[error("outcome of patch {id} unknown; look for it in the history\n{}", join_lines(.attempts))]
    OutcomeUnknown {
        /// Id of the patch.
        id: kingcupbay_core::id::RequestId,
        /// One line for each failed attempt.
        attempts: Vec<String>,
    },
    /// The output could not be written.
    #[error("cannot print: {0}")]
    Print(std::io::Error),
}

impl Error {
    /// Returns the exit code, as listed by `--help`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::Mistakes(_) | Error::Refused { .. } | Error::Patch(_) | Error::NotFound(_) => 1,
            Error::File { .. } | Error::Usage(_) | Error::Print(_) => 2,
            Error::Stale { .. } => 3,
            Error::Unreachable(_) => 4,
            Error::OutcomeUnknown { .. } => 5,
        }
    }

    /// Formats the error as one JSON object.
    pub(crate) fn to_json(&self) -> String {
        let mut object = serde_json::json!({ "code": self.exit_code(), "error": self.to_string() });
        if let Error::Stale { current, .. } = self {
            object["current"] = current.0.into();
        }
        object.to_string()
    }
}

impl From<PatchError> for Error {
    fn from(error: PatchError) -> Error {
        match error {
            PatchError::Stale { against, current } => Error::Stale { against, current },
            PatchError::Refused { refusal, .. } => Error::Refused { place: None, refusal },
            PatchError::Membership => Error::Patch(error),
        }
    }
}

fn join_lines<T: ToString>(items: &[T]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn format_place(place: &Option<Location>) -> String {
    place.as_ref().map(|place| format!("{place}: ")).unwrap_or_default()
}
