//! Decides which requests an upstream gets, by what it says of itself in its answers, and by what
//! is known of a request and its caller right before it is written.
//!
//! An upstream may say that it leaves, ask this entry for rest, or limit the requests of all
//! daemons. Each holds for the process that has said it, by id and start. A request that waits while
//! its upstream is withdrawn goes elsewhere, if it can. A stream goes on only at an upstream of the
//! software that began it, and a request with a part that engines crash on goes to none, nor does
//! one under which upstreams end.

use std::rc::Rc;

use kingcupbay_core::{
    cold::ColdLimits,
    config::model::Role,
    deployment::{
        catalogue::{Catalogue, Withdrawal},
        model::Instance,
    },
    origin::Eligible,
    time::{Instant, Span},
    wire::{limit::LimitReports, metadata::AnswerMetadata, origin::SoftwareId},
};
use slog::info;

use crate::{
    clock,
    gateway::{Gateway, job::Job, send::SendOptions},
    registered::{fatal, parts},
};

/// Why a request whose caller has left gets no run.
pub(crate) const CALLER_LEFT: &str = "the caller has left";

/// How long an upstream that leaves still gets requests which no other one may run. Upstreams serve
/// for twice as long at least, and the news of their leaving may be late.
const LEAVING_GRACE: Span = Span::from_millis(1_000);

/// How long such a request waits for a permit.
const LEAVING_WAIT: Span = Span::from_millis(500);

/// Why a request is not sent to an upstream now, or does not wait for it any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Its caller has left.
    CallerLeft,
    /// Engines crash on a part of the prompt.
    Quarantined,
    /// Upstreams end under the request.
    Fatal,
    /// The upstream runs another software than the one that began the stream, or was chosen for.
    Software,
    /// The upstream's availability zone is evacuated.
    Evacuated,
    /// The upstream is leaving.
    Leaving,
    /// The process that the request was chosen for is gone.
    Gone,
    /// The upstream has asked for rest; what is left of that.
    Resting(Span),
    /// The upstream limits its requests; the time until it takes another one.
    Limited(Span),
    /// The upstream is cold; the time until it takes another request.
    Cold(Span),
}

impl Hold {
    /// Returns the time until the upstream takes another request, if it does.
    pub(crate) fn after(self) -> Option<Span> {
        match self {
            Hold::Resting(after) | Hold::Limited(after) | Hold::Cold(after) => Some(after),
            _ => None,
        }
    }

    /// Returns whether no upstream may get the request.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, Hold::CallerLeft | Hold::Quarantined | Hold::Fatal)
    }

    /// Returns the reason as written to answers and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Hold::CallerLeft => CALLER_LEFT,
            Hold::Quarantined => parts::QUARANTINED,
            Hold::Fatal => fatal::REFUSED,
            Hold::Software => "upstreams run another software",
            Hold::Evacuated => "zones are evacuated",
            Hold::Leaving => "upstreams are leaving",
            Hold::Gone => "upstreams are gone",
            Hold::Resting(_) => "upstreams asked for rest",
            Hold::Limited(_) => "upstreams limit their requests",
            Hold::Cold(_) => "upstreams are cold",
        }
    }

    /// Returns the reason as a label of metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Hold::CallerLeft => "caller_left",
            Hold::Quarantined => "quarantined",
            Hold::Fatal => "fatal",
            Hold::Software => "software",
            Hold::Evacuated => "evacuated",
            Hold::Leaving => "leaving",
            Hold::Gone => "gone",
            Hold::Resting(_) => "resting",
            Hold::Limited(_) => "limited",
            Hold::Cold(_) => "cold",
        }
    }

    /// Returns the one of both that ends first.
    pub(crate) fn earlier(self, other: Option<Hold>) -> Hold {
        let end = |hold: Hold| hold.after().map_or((true, Span::ZERO), |after| (false, after));
        other.filter(|&other| end(other) < end(self)).unwrap_or(self)
    }
}

impl Gateway {
    /// Returns why the request of `job` may not be written to `row` now, by all that is known of
    /// the request, its caller and the upstream.
    pub(crate) fn hold(
        &self,
        job: &Job,
        row: &Instance,
        options: &SendOptions<'_>,
    ) -> Option<Hold> {
        let catalogue = self.node.catalogue.borrow();
        let replaced = catalogue.instance(&row.id).is_some_and(|now| now.software != row.software);
        if replaced || !options.eligible.includes(row) {
            return Some(Hold::Software);
        }
        match options.copy {
            // A run that continues counts as the same run, and its source leaves already. No
            // other upstream but its target holds its memory.
            Some((source, _)) => request_hold(job).or_else(|| {
                let hold = self.departure(row, Eligible::Only(row.software_id()), false);
                hold.filter(|_| row.address != source)
            }),
            None => self.withdrawal(job, row, options.eligible),
        }
    }

    /// Returns why a request for `eligible` upstreams no longer goes to `row`, as that is withdrawn.
    /// A request that has no other upstream, or may not move to one, still goes there for
    /// [`LEAVING_GRACE`].
    fn departure(&self, row: &Instance, eligible: Eligible, may_move: bool) -> Option<Hold> {
        let catalogue = self.node.catalogue.borrow();
        let hold = match catalogue.withdrawal(row)? {
            Withdrawal::Leaving => Hold::Leaving,
            Withdrawal::Gone => Hold::Gone,
        };
        let is_other = |other: &Rc<Instance>| other.id != row.id && eligible.includes(other);
        let left_for = catalogue.left_for(clock::now(), &row.id);
        let is_late = left_for.is_some_and(|time| time >= LEAVING_GRACE);
        let has_other = || may_move && catalogue.serving(&row.service).any(is_other);
        (is_late || has_other()).then_some(hold)
    }

    /// Counts the request of `job`, which this entry may send to `row` now. The sidecar beside an engine
    /// that has permitted the request keeps the limits of its engine itself.
    ///
    /// Every request to an upstream passes here.
    pub(crate) fn admit(
        &self,
        job: &Job,
        row: &Instance,
        options: &SendOptions<'_>,
    ) -> Result<(), Hold> {
        if let Some(hold) = self.hold(job, row, options) {
            return Err(hold);
        }
        // A run that continues counts as the same run.
        if options.copy.is_some() {
            return Ok(());
        }
        let now = clock::now();
        let catalogue = self.node.catalogue.borrow();
        if options.permitted {
            return Ok(());
        }
        let hosts = || catalogue.of_role(Role::Entry).map(|member| member.host.as_str()).collect();
        let mut limits = self.limits.borrow_mut();
        let sent = limits.try_send(now, &row.id, row.born, self.node.host(), hosts);
        sent.map_err(Hold::Limited)?;
        let Some(cold) = self.cold_limits(now, &catalogue, row) else { return Ok(()) };
        let entries = self.entries();
        self.cold.borrow_mut().try_send(now, &row.id, cold, entries).map_err(Hold::Cold)
    }

    /// Returns what `row` tolerates if it is cold, or may be: only the sidecar beside an
    /// engine knows whether that is cold.
    fn cold_limits(&self, now: Instant, known: &Catalogue, row: &Instance) -> Option<ColdLimits> {
        let service = known.deployment()?.services.get(&row.service)?;
        match service.engine {
            Some(_) => service.cold,
            None => known.cold_limits(now, row),
        }
    }

    /// Returns the software of the process that answers at `row`, unless another one has started
    /// under its id since.
    pub(crate) fn software(&self, row: &Instance) -> Option<SoftwareId> {
        let catalogue = self.node.catalogue.borrow();
        let known = catalogue.instance(&row.id);
        let same = known.is_none_or(|known| known.born == row.born);
        same.then(|| row.software_id())
    }

    /// Applies what `row` says of itself in its answer to a request sent at `sent`.
    pub(crate) fn on_announcements(&self, row: &Instance, sent: Instant, answer: &AnswerMetadata) {
        let now = clock::now();
        if self.limits.borrow_mut().on_answer(now, sent, &row.id, row.born, answer.limit) {
            self.on_limit_changed(now, row, "answer");
        }
        let is_new = || self.node.catalogue.borrow_mut().on_leaving_answer(now, &row.id, row.born);
        if answer.leaving && is_new() {
            self.withdrawn.notify_waiters();
            info!(self.node.log, ""; "event" => "upstream_leaves", "upstream" => &row.id,
                "born" => row.born, "why" => "answer");
        }
        if let Some(rest) = answer.rest
            && self.rests.borrow_mut().on_refusal(now, &row.id, row.born, rest)
        {
            self.withdrawn.notify_waiters();
            info!(self.node.log, ""; "event" => "upstream_rest", "upstream" => &row.id,
                "born" => row.born, "for_ms" => rest.as_millis());
        }
    }

    /// Applies another entry's report of limits.
    pub(crate) fn on_limit_reports(&self, reports: LimitReports) {
        let now = clock::now();
        for (id, report) in reports.upstreams {
            let row = self.node.catalogue.borrow().instance(&id).cloned();
            let Some(row) = row.filter(|row| row.born == report.born) else { continue };
            if self.limits.borrow_mut().on_report(now, &id, report) {
                self.on_limit_changed(now, &row, "report");
            }
        }
    }

    fn on_limit_changed(&self, now: Instant, row: &Instance, why: &'static str) {
        let limits = self.limits.borrow();
        info!(self.node.log, ""; "event" => "upstream_limit", "upstream" => &row.id,
            "born" => row.born, "per_s" => limits.rate(now, &row.id, row.born), "why" => why);
        self.metrics.set_limited(limits.limited(now));
    }

    /// Returns the time until the first upstream of `service` no longer rests, if all do.
    pub(crate) fn shortest_rest(&self, service: &str) -> Option<Span> {
        let (now, catalogue, rests) =
            (clock::now(), self.node.catalogue.borrow(), self.rests.borrow());
        let rest = |row: &Rc<Instance>| rests.remaining(now, &row.id, row.born);
        // `None`, which is less than any time, if one of them does not rest.
        catalogue.serving(service).map(rest).min()?
    }

    /// Returns why the request of `job` gets no run at `row`, although it may wait for it already.
    fn withdrawal(&self, job: &Job, row: &Instance, eligible: Eligible) -> Option<Hold> {
        if let Some(hold) = request_hold(job).or_else(|| self.departure(row, eligible, true)) {
            return Some(hold);
        }
        let catalogue = self.node.catalogue.borrow();
        if catalogue.evacuations().is_evacuated(&row.zone) {
            return Some(Hold::Evacuated);
        }
        if catalogue.has_announced_leaving(row) {
            return Some(Hold::Leaving);
        }
        let rest = self.rests.borrow().remaining(clock::now(), &row.id, row.born);
        rest.map(Hold::Resting)
    }

    /// Waits until the request of `job` may not be sent to `row` any more, and returns why.
    /// Returns `None` once it must not wait any longer, as `row` leaves and no other one may run
    /// it.
    pub(crate) async fn wait_until_withdrawn(
        &self,
        job: &Job,
        row: &Instance,
        eligible: Eligible,
    ) -> Option<Hold> {
        loop {
            let withdrawn = self.withdrawn.notified();
            let evacuated = self.node.evacuated.notified();
            let changed = self.node.changed.notified();
            if let Some(why) = self.withdrawal(job, row, eligible) {
                return Some(why);
            }
            let left_for = self.node.catalogue.borrow().left_for(clock::now(), &row.id);
            let rest = left_for.map(|time| LEAVING_WAIT.saturating_sub(time));
            if rest == Some(Span::ZERO) {
                return None;
            }
            tokio::select! {
                () = withdrawn => {}
                () = evacuated => {}
                () = changed => {}
                () = tokio::time::sleep(rest.unwrap_or_default().into()), if rest.is_some() => {}
            }
        }
    }
}

/// Returns why no upstream gets the request of `job` now.
fn request_hold(job: &Job) -> Option<Hold> {
    if job.caller.has_left() {
        Some(Hold::CallerLeft)
    } else if parts::is_quarantined(&job.gateway, job) {
        Some(Hold::Quarantined)
    } else if fatal::is_refused(job) {
        Some(Hold::Fatal)
    } else {
        None
    }
}
