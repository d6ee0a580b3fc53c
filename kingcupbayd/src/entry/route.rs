//! Which upstream takes a request: the core's router, kept up to date.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
    rc::Rc,
    time::Duration,
};

use kingcupbay_core::{
    gossip::record::Topic,
    id::{MemberId, Name, Number, UpstreamId, VersionId},
    route::{InFlight, Limits, Progress, Report, Retry, RetryBudget, Router, WorkKind},
    time::{Instant, Span},
};

use crate::{clock, fleet::Fleet};

/// Pause between two looks at what upstream daemons have told.
const LOOK: Duration = Duration::from_millis(100);

/// How long an upstream whose daemon could not be reached gets no request.
/// Short, because the daemon of a restarted host is soon back.
const UNREACHABLE: Span = Span::from_secs(1);

/// The entry's view of all upstreams.
pub(crate) struct Routes {
    fleet: Rc<Fleet>,
    router: RefCell<Router>,
    budget: RefCell<RetryBudget>,
    /// The configuration that the router knows.
    number: Cell<Number>,
    /// Version of each member's record that the router knows.
    seen: RefCell<BTreeMap<MemberId, u32>>,
    /// Adapter versions that each upstream last reported, for dumps.
    holding: RefCell<BTreeMap<UpstreamId, usize>>,
    /// Reports taken so far; numbers them for the router.
    reports: Cell<u64>,
    /// Upstreams taken for unreachable, and since when.
    down: RefCell<BTreeMap<UpstreamId, Instant>>,
}

impl Routes {
    /// Routes under the configuration of `fleet`.
    pub(crate) fn new(fleet: Rc<Fleet>) -> Routes {
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).expect("the system's random source works");
        Routes {
            fleet,
            router: RefCell::new(Router::new(Limits::default(), u64::from_le_bytes(seed))),
            budget: RefCell::default(),
            number: Cell::default(),
            seen: RefCell::default(),
            holding: RefCell::default(),
            reports: Cell::default(),
            down: RefCell::default(),
        }
    }

    /// An upstream for a version, other than those `tried`.
    pub(crate) fn model(&self, version: VersionId, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let now = self.refresh();
        let config = self.fleet.config();
        let base = &config.adapters.get(config.versions.get(version)?.adapter)?.base;
        self.router.borrow_mut().choose(now, version, base, tried)
    }

    /// An upstream for a plain service, other than those `tried`.
    pub(crate) fn service(&self, name: &Name, tried: &[UpstreamId]) -> Option<UpstreamId> {
        self.refresh();
        self.router.borrow_mut().choose_service(name, tried)
    }

    fn refresh(&self) -> Instant {
        let now = clock::now();
        let config = self.fleet.config();
        let mut router = self.router.borrow_mut();
        if self.number.replace(config.number) != config.number {
            router.on_config(&config);
        }
        self.down.borrow_mut().retain(|&upstream, &mut since| {
            let over = now.since(since) >= UNREACHABLE;
            if over {
                router.set_reachable(upstream, true);
            }
            !over
        });
        now
    }

    /// Takes what upstream daemons have told since the last look. A report of
    /// an upstream that its member does not own is passed over.
    fn take_reports(&self) {
        let records = self.fleet.records(Topic::Load);
        let mut seen = self.seen.borrow_mut();
        seen.retain(|id, _| records.iter().any(|(member, ..)| member == id));
        let config = self.fleet.config();
        for (member, sequence, body) in records {
            if seen.insert(member, sequence) == Some(sequence) {
                continue;
            }
            let host = config.members.get(member).map(|row| &row.host);
            let reports: Vec<(UpstreamId, Report)> =
                rmp_serde::from_slice(&body).unwrap_or_default();
            for (upstream, report) in reports {
                if host.is_some() && config.upstreams.get(upstream).map(|row| &row.host) == host {
                    self.take_report(upstream, report);
                }
            }
        }
    }

    fn take_report(&self, upstream: UpstreamId, report: Report) {
        let seq = self.reports.get() + 1;
        self.reports.set(seq);
        self.holding.borrow_mut().insert(upstream, report.loaded.len());
        self.router.borrow_mut().on_report(upstream, &Report { seq, ..report });
    }

    /// Counts a request on `upstream` until the guard is dropped.
    pub(crate) fn begin(&self, upstream: UpstreamId) -> Option<InFlight> {
        self.router.borrow().begin(upstream)
    }

    /// Notes that the daemon of `upstream` could not be reached.
    pub(crate) fn on_unreachable(&self, upstream: UpstreamId) {
        self.router.borrow_mut().set_reachable(upstream, false);
        self.down.borrow_mut().insert(upstream, clock::now());
    }

    /// Notes that `upstream` could not load `version`.
    pub(crate) fn on_load_failed(&self, upstream: UpstreamId, version: VersionId) {
        self.router.borrow_mut().on_load_failed(upstream, version);
    }

    /// Notes the first attempt of a request.
    pub(crate) fn first_attempt(&self) {
        self.budget.borrow_mut().record_first_attempt();
    }

    /// Whether another attempt may follow a failed one.
    pub(crate) fn may_retry(&self, work: WorkKind, progress: Progress) -> bool {
        let retry = self.budget.borrow_mut().retry(work, progress);
        matches!(retry, Retry::Again | Retry::Resume { .. })
    }

    /// One line for each upstream.
    pub(crate) fn dump(&self) -> String {
        let config = self.fleet.config();
        let router = self.router.borrow();
        let down = self.down.borrow();
        let holding = self.holding.borrow();
        let mut out = String::new();
        for (id, row) in config.upstreams.iter() {
            let _ = writeln!(
                out,
                "upstream={} leaving={} reachable={} holds={} in_flight={}",
                row.name,
                row.leaving,
                !down.contains_key(&id),
                holding.get(&id).copied().unwrap_or(0),
                router.in_flight(id),
            );
        }
        out
    }
}

/// Keeps the router's view of the upstreams fresh until the daemon ends.
pub(super) async fn keep(entry: Rc<super::Entry>) {
    loop {
        entry.routes.refresh();
        entry.routes.take_reports();
        tokio::time::sleep(LOOK).await;
    }
}
