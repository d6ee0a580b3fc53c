//! Why a command did not succeed, and its exit code.

use std::path::PathBuf;

use kingcupbay_core::{
    config::{change::Refusal, patch::PatchError},
    declare::model::Location,
    id::Number,
    ini::Mistake,
};
use thiserror::Error;

/// Why a command did not succeed.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum Error {
    /// Declarations that do not check.
    #[error("{}", lines(.0))]
    Mistakes(Vec<Mistake>),
    /// A change that does not check.
    #[error("refused: {}{refusal}", prefix(place))]
    Refused {
        /// Where it is declared, if it is.
        place: Option<Location>,
        /// Why.
        refusal: Refusal,
    },
    /// A patch that may not be made like this.
    #[error("refused: {0}")]
    Patch(PatchError),
    /// A file that cannot be read.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A command line that is not complete.
    #[error("{0}")]
    Usage(&'static str),
    /// Made against another number than the one in force.
    #[error("stale: made against {against}, but {current} is in force")]
    Stale {
        /// The number it was made against.
        against: Number,
        /// The number in force.
        current: Number,
    },
    /// The daemons that were asked do not know it.
    #[error("refused: {0}")]
    Absent(String),
    /// No daemon answered as it should; nothing changed.
    #[error("no daemon could do it; nothing changed\n{}", lines(.0))]
    Unreachable(Vec<String>),
    /// A patch may or may not be in force.
    #[error("outcome of patch {id} unknown; look for it in the history\n{}", lines(.attempts))]
    Unknown {
        /// The patch's id.
        id: kingcupbay_core::id::RequestId,
        /// What each attempt met.
        attempts: Vec<String>,
    },
    /// The output could not be written.
    #[error("cannot print: {0}")]
    Print(std::io::Error),
}

impl Error {
    /// The exit code, as `--help` lists them.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Error::Mistakes(_) | Error::Refused { .. } | Error::Patch(_) | Error::Absent(_) => 1,
            Error::File { .. } | Error::Usage(_) | Error::Print(_) => 2,
            Error::Stale { .. } => 3,
            Error::Unreachable(_) => 4,
            Error::Unknown { .. } => 5,
        }
    }

    /// The error as one JSON object.
    pub(crate) fn json(&self) -> String {
        let mut object = serde_json::json!({ "code": self.code(), "error": self.to_string() });
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

fn lines<T: ToString>(items: &[T]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn prefix(place: &Option<Location>) -> String {
    place.as_ref().map(|place| format!("{place}: ")).unwrap_or_default()
}
