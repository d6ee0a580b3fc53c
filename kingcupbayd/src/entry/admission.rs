//! Whether a request may run, asked in the order that costs least.

use actix_http::Request;
use kingcupbay_core::{
    id::{KeyId, Number, OrganisationId},
    time::Span,
    wire::error::{Code, Failure},
};

use super::{Entry, head};
use crate::{clock, server::drain::Phase};

/// When to come back while this daemon has no standing: the balancer has
/// turned to another entry by then.
const STANDING_RETRY: Span = Span::from_secs(1);

/// Who asks, and under which configuration.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The access key.
    pub(crate) key: KeyId,
    /// Its organisation.
    pub(crate) organisation: OrganisationId,
    /// The organisation's name, for logs and metrics.
    pub(crate) name: String,
    /// The configuration the request is admitted under.
    pub(crate) number: Number,
}

/// Finds out who asks.
pub(crate) fn caller(entry: &Entry, request: &Request) -> Result<Caller, Failure> {
    if entry.drain.phase() == Phase::Closing {
        let failure = Failure::not_run(Code::Stopping, "this host is stopping");
        return Err(failure.after(STANDING_RETRY));
    }
    // A host cut off from the fleet cannot know whether a key was withdrawn.
    if !entry.fleet.may_act(clock::now()) {
        let message = "this host cannot confirm its configuration";
        return Err(Failure::not_run(Code::NoStanding, message).after(STANDING_RETRY));
    }
    let config = entry.fleet.config();
    let found = head::key(request).and_then(|hash| config.key_by_hash(hash));
    let Some((key, row)) = found else {
        return Err(Failure::not_run(Code::BadKey, "the access key is not valid"));
    };
    let organisation = row.organisation;
    let name = config.organisations.get(organisation).expect("a key's organisation exists");
    Ok(Caller { key, organisation, name: name.name.to_string(), number: config.number })
}
