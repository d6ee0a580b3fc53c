//! Authentication of callers, and the check that this daemon may serve them.

use actix_http::Request;
use kingcupbay_core::{
    id::{KeyId, Number, OrganisationId},
    time::Span,
    wire::error::{Code, Failure},
};

use super::{Entry, headers};
use crate::{clock, server::drain::Phase};

/// When to retry while this daemon has no standing or is stopping. By then the
/// balancer sends requests to another entry.
const STANDING_RETRY: Span = Span::from_secs(1);

/// The caller of a request, and the configuration that admitted it.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The access key.
    pub(crate) key: KeyId,
    /// The organisation of the key.
    pub(crate) organisation: OrganisationId,
    /// The organisation's name, for logs and metrics.
    pub(crate) name: String,
    /// Number of the configuration that the request is admitted under.
    pub(crate) number: Number,
}

/// Returns the caller that the access key of `request` belongs to.
///
/// Fails if this daemon is stopping, has no standing, or does not know the key.
/// The checks are made in the order of their cost.
pub(crate) fn authenticate(entry: &Entry, request: &Request) -> Result<Caller, Failure> {
    if entry.drain.phase() >= Phase::Closing {
        let failure = Failure::not_run(Code::Stopping, "this host is stopping");
        return Err(failure.after(STANDING_RETRY));
    }
    // A host that is cut off from the fleet cannot know whether a key was
    // withdrawn.
    if !entry.fleet.may_act(clock::now()) {
        let message = "this host cannot confirm its configuration";
        return Err(Failure::not_run(Code::NoStanding, message).after(STANDING_RETRY));
    }
    let config = entry.fleet.config();
    let found = headers::access_key(request).and_then(|hash| config.key_by_hash(hash));
    let Some((key, row)) = found else {
        return Err(Failure::not_run(Code::BadKey, "the access key is not valid"));
    };
    let organisation = row.organisation;
    let name = config.organisations.get(organisation).expect("a key's organisation exists");
    Ok(Caller { key, organisation, name: name.name.to_string(), number: config.number })
}
