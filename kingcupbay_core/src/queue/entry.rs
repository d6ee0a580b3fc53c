//! A waiting request, and one that was given up on.

use crate::{
    id::{OrganisationId, RequestId, VersionId},
    time::{Instant, Span},
    wire::error::{Code, Failure, Ran},
};

/// A request that waits for its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identity of the request.
    pub request: RequestId,
    /// Whose lane it waits in.
    pub organisation: OrganisationId,
    /// The adapter version it needs.
    pub version: VersionId,
    /// Tokens expected: the prompt's and those it may generate.
    pub tokens: u64,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// When it came.
    pub enqueued: Instant,
}

/// A request that left the queue without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The request.
    pub entry: Entry,
    /// Why.
    pub code: Code,
    /// When coming back helps.
    pub retry_after: Span,
}

impl GivenUp {
    pub(super) fn new(entry: Entry, code: Code, retry_after: Span) -> GivenUp {
        GivenUp { entry, code, retry_after }
    }

    /// What the caller is told. "Not run" is true: it never left the queue.
    /// Only of a second attempt that is not known, as the first may run.
    pub fn failure(&self) -> Failure {
        let message = match self.code {
            Code::OutcomeUnknown => "an earlier attempt of this request has not ended",
            Code::Deadline => "the deadline cannot be met",
            Code::LoadFailed => "the adapter could not be loaded",
            Code::Stopping => "the daemon is stopping",
            _ => "too many requests wait already",
        };
        let ran = if self.code == Code::OutcomeUnknown { Ran::Unknown } else { Ran::NotRun };
        Failure { ran, ..Failure::not_run(self.code, message) }.after(self.retry_after)
    }
}

/// The requests that wait for one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The version.
    pub version: VersionId,
    /// Whose requests they are; a version belongs to one organisation.
    pub organisation: OrganisationId,
    /// How many wait.
    pub count: u32,
    /// Since when the first of them waits.
    pub oldest: Instant,
}
