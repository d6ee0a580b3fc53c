//! Waiting requests, and requests given up without running.

use crate::{
    id::{OrganisationId, RequestId, VersionId},
    time::{Instant, Span},
    wire::error::{Code, Failure, Ran},
};

/// A request that waits for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identity of the request.
    pub request: RequestId,
    /// Organisation in whose lane it waits.
    pub organisation: OrganisationId,
    /// Adapter version it needs.
    pub version: VersionId,
    /// Expected number of tokens: those of the prompt and those it may generate.
    pub tokens: u64,
    /// Time at which its caller stops waiting.
    pub deadline: Instant,
    /// Time at which it was enqueued.
    pub enqueued: Instant,
}

/// A request that left the queue without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The request.
    pub entry: Entry,
    /// Reason, as an error code.
    pub code: Code,
    /// Time after which a retry may succeed.
    pub retry_after: Span,
}

impl GivenUp {
    pub(super) fn new(entry: Entry, code: Code, retry_after: Span) -> GivenUp {
        GivenUp { entry, code, retry_after }
    }

    /// Returns the failure reported to the caller. The request never left the
    /// queue, so it is reported as not run. The exception is a second attempt of
    /// a request: its outcome is unknown, as the first attempt may run.
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
    /// Organisation of the requests; a version belongs to one organisation.
    pub organisation: OrganisationId,
    /// Number of waiting requests.
    pub count: u32,
    /// Time at which the oldest of them was enqueued.
    pub oldest: Instant,
}
