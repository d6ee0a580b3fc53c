//! An admitted request.

use std::{
    cell::{Cell, OnceCell},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{
    Method,
    header::{self, HeaderMap, HeaderValue},
};
use kingcupbay_core::{
    deployment::model::{Deployment, Organisation, Route},
    retry_after::retry_after,
    time::{Instant, Span},
    wire::{
        fatal::RequestKey,
        metadata::{RequestMetadata, Size},
        origin::StreamId,
    },
};
use slog::debug;

use crate::{clock, gateway::Gateway, http::budget::HeldBytes, server::socket::Peer};

/// Longest time over which the returns of refused callers are spread.
const SPREAD_MAX: Span = Span::from_secs(2);

/// An admitted request, with everything needed to forward it.
pub(crate) struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) caller: Peer,
    /// Configuration under which it was admitted.
    pub(crate) deployment: Rc<Deployment>,
    pub(crate) route: Rc<Route>,
    /// Its organisation. `None` if the route needs no key.
    pub(crate) organisation: Option<Rc<Organisation>>,
    pub(crate) metadata: RequestMetadata,
    /// Tokens taken off its organisation's limit.
    pub(crate) cost: u64,
    /// The limiter that took them off; `None` if this entry did itself.
    pub(crate) limiter: Cell<Option<SocketAddr>>,
    /// Whether it has been sent to an upstream, and may have run.
    pub(crate) is_sent: Cell<bool>,
    /// Whether it is sent although its prompt holds a quarantined part.
    pub(crate) is_trial: Cell<bool>,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers as sent by the caller.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBytes,
    /// What stays the same over the caller's tries, once it has been asked for.
    pub(crate) key: OnceCell<RequestKey>,
    pub(crate) arrived: Instant,
    /// Time by which the final answer is due.
    pub(crate) deadline: Instant,
}

impl Job {
    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Span {
        self.deadline.since(clock::now())
    }

    /// Records that its caller has left, before what `step` names was sent for it.
    pub(crate) fn on_abandoned(&self, step: &'static str) {
        self.gateway.metrics.on_abandoned(step);
        debug!(self.gateway.node.log, ""; "event" => "caller_left",
            "request" => &self.metadata.attempt, "before" => step,
            "ms" => clock::now().since(self.arrived).as_millis());
    }

    /// Returns the priority, 0 being the highest. The organisation's overrides the
    /// route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the size of the generation, or a usual one if the caller states none.
    pub(crate) fn size(&self) -> Size {
        self.metadata.size.unwrap_or(Size { prompt: 500, output: 200 })
    }

    /// Returns a pseudorandom number that is the same for each call on one request.
    pub(crate) fn draw(&self) -> u64 {
        draw(self.metadata.attempt.as_deref())
    }

    /// Returns the pseudorandom number that chooses the service: that of the attempt which began
    /// the stream, if the caller takes one up and names it.
    pub(crate) fn service_draw(&self) -> u64 {
        let first = self.metadata.resumes.as_deref();
        match first.filter(|_| self.metadata.last_event.is_some()) {
            Some(first) => draw(Some(first)),
            None => self.draw(),
        }
    }

    /// Returns a time from `after` up to twice that, or [`SPREAD_MAX`] later, so that callers
    /// who are refused for the same reason do not all return at once.
    pub(crate) fn spread(&self, after: Span) -> Span {
        spread(after, &self.metadata)
    }

    /// Returns the time after which this request may retry if capacity is expected `after`
    /// now. Where priorities of the deployment differ, it is spread by priority.
    pub(crate) fn retry_after(&self, after: Span) -> Span {
        let routes = self.deployment.routes.iter().map(|route| route.priority);
        let own = self.deployment.organisations.iter().filter_map(|row| row.priority);
        retry_after(after, self.priority(), &routes.chain(own).collect(), self.draw())
    }

    /// Returns the stream that the caller takes up, if it names one.
    pub(crate) fn taken_up(&self) -> Option<StreamId> {
        let first = self.metadata.resumes.as_deref()?;
        Some(StreamId::of(self.organisation_name(), first))
    }

    /// Returns the stream that the request begins or takes up, if its attempt is known.
    pub(crate) fn stream(&self) -> Option<StreamId> {
        match self.metadata.last_event {
            Some(_) => self.taken_up(),
            None => {
                let attempt = self.metadata.attempt.as_deref()?;
                Some(StreamId::of(self.organisation_name(), attempt))
            }
        }
    }

    /// Returns the hash of what stays the same over the caller's tries. Callers may share a request.
    pub(crate) fn request_key(&self) -> RequestKey {
        *self.key.get_or_init(|| {
            let RequestMetadata { model, parts, own_part, size, .. } = &self.metadata;
            let host = self.headers.get(header::HOST).map(HeaderValue::as_bytes);
            let mut hasher = DefaultHasher::new();
            (self.organisation_name(), host, self.method.as_str(), &self.path).hash(&mut hasher);
            (model, parts, own_part, &self.body.bytes).hash(&mut hasher);
            if own_part.is_none() && self.body.bytes.is_empty() {
                // Little else tells it from the requests of other callers.
                size.map(|size| (size.prompt, size.output)).hash(&mut hasher);
            }
            RequestKey(hasher.finish())
        })
    }

    /// Returns the name of the organisation, if the route needs a key.
    pub(crate) fn organisation_name(&self) -> Option<&str> {
        self.organisation.as_ref().map(|organisation| organisation.name.as_str())
    }

    /// Returns the attempt id, empty if the caller set none.
    pub(crate) fn attempt(&self) -> &str {
        self.metadata.attempt.as_deref().unwrap_or_default()
    }
}

/// Returns a pseudorandom number that is the same for each call on one attempt.
fn draw(attempt: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}

/// Returns a time from `after` up to twice that, or [`SPREAD_MAX`] later.
pub(crate) fn spread(after: Span, metadata: &RequestMetadata) -> Span {
    let width = after.min(SPREAD_MAX).as_micros().max(1);
    after + Span::from_micros(draw(metadata.attempt.as_deref()) % width)
}
