//! Chooses the upstream of a request: keeps the core's router up to date.

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

/// Pause between two reads of the load reports of upstream daemons.
const REPORT_POLL_PERIOD: Duration = Duration::from_millis(100);

/// How long an upstream whose daemon could not be reached gets no requests.
/// Short, because the daemon of a restarted host is available again soon.
const UNREACHABLE_PAUSE: Span = Span::from_secs(1);

/// State of all upstreams as the entry knows them.
pub(crate) struct Routes {
    fleet: Rc<Fleet>,
    router: RefCell<Router>,
    budget: RefCell<RetryBudget>,
    /// Number of the configuration that the router uses.
    config_number: Cell<Number>,
    /// Version of the record of each member that the router uses.
    seen_records: RefCell<BTreeMap<MemberId, u32>>,
    /// Number of resident adapter versions that each upstream last reported, for
    /// dumps.
    resident_count: RefCell<BTreeMap<UpstreamId, usize>>,
    /// Number of reports applied so far. It numbers the reports for the router.
    report_count: Cell<u64>,
    /// Upstreams considered unreachable, and since when.
    unreachable: RefCell<BTreeMap<UpstreamId, Instant>>,
}

impl Routes {
    /// Creates the state, without upstreams yet, for the configuration of `fleet`.
    pub(crate) fn new(fleet: Rc<Fleet>) -> Routes {
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).expect("the system's random source works");
        Routes {
            fleet,
            router: RefCell::new(Router::new(Limits::default(), u64::from_le_bytes(seed))),
            budget: RefCell::default(),
            config_number: Cell::default(),
            seen_records: RefCell::default(),
            resident_count: RefCell::default(),
            report_count: Cell::default(),
            unreachable: RefCell::default(),
        }
    }

    /// Chooses an upstream for an adapter version, other than those `tried`.
    pub(crate) fn choose_for_model(
        &self,
        version: VersionId,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let now = self.refresh();
        let config = self.fleet.config();
        let base = &config.adapters.get(config.versions.get(version)?.adapter)?.base;
        self.router.borrow_mut().choose(now, version, base, tried)
    }

    /// Chooses an upstream for a plain service, other than those `tried`.
    pub(crate) fn choose_for_service(
        &self,
        name: &Name,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        self.refresh();
        self.router.borrow_mut().choose_service(name, tried)
    }

    /// Applies a new configuration, and retries upstreams that were unreachable.
    fn refresh(&self) -> Instant {
        let now = clock::now();
        let config = self.fleet.config();
        let mut router = self.router.borrow_mut();
        if self.config_number.replace(config.number) != config.number {
            router.on_config(&config);
        }
        self.unreachable.borrow_mut().retain(|&upstream, &mut since| {
            let expired = now.since(since) >= UNREACHABLE_PAUSE;
            if expired {
                router.set_reachable(upstream, true);
            }
            !expired
        });
        now
    }

    /// Applies the load reports that have arrived since the last read. A report
    /// about an upstream that its sender does not own is ignored.
    fn read_reports(&self) {
        let records = self.fleet.records(Topic::Load);
        let mut seen = self.seen_records.borrow_mut();
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
                    self.apply_report(upstream, report);
                }
            }
        }
    }

    fn apply_report(&self, upstream: UpstreamId, report: Report) {
        let seq = self.report_count.get() + 1;
        self.report_count.set(seq);
        self.resident_count.borrow_mut().insert(upstream, report.loaded.len());
        self.router.borrow_mut().on_report(upstream, &Report { seq, ..report });
    }

    /// Counts a request in flight on `upstream` until the guard is dropped.
    pub(crate) fn begin(&self, upstream: UpstreamId) -> Option<InFlight> {
        self.router.borrow().begin(upstream)
    }

    /// Records that the daemon of `upstream` could not be reached.
    pub(crate) fn on_unreachable(&self, upstream: UpstreamId) {
        self.router.borrow_mut().set_reachable(upstream, false);
        self.unreachable.borrow_mut().insert(upstream, clock::now());
    }

    /// Records that `upstream` could not load `version`.
    pub(crate) fn on_load_failed(&self, upstream: UpstreamId, version: VersionId) {
        self.router.borrow_mut().on_load_failed(upstream, version);
    }

    /// Records the first attempt of a request.
    pub(crate) fn first_attempt(&self) {
        self.budget.borrow_mut().record_first_attempt();
    }

    /// Returns whether another attempt may follow a failed one.
    pub(crate) fn may_retry(&self, work: WorkKind, progress: Progress) -> bool {
        let retry = self.budget.borrow_mut().retry(work, progress);
        matches!(retry, Retry::Again | Retry::Resume { .. })
    }

    /// Returns one line for each upstream.
    pub(crate) fn dump(&self) -> String {
        let config = self.fleet.config();
        let router = self.router.borrow();
        let unreachable = self.unreachable.borrow();
        let resident_count = self.resident_count.borrow();
        let mut out = String::new();
        for (id, row) in config.upstreams.iter() {
            let _ = writeln!(
                out,
                "upstream={} leaving={} reachable={} holds={} in_flight={}",
                row.name,
                row.leaving,
                !unreachable.contains_key(&id),
                resident_count.get(&id).copied().unwrap_or(0),
                router.in_flight(id),
            );
        }
        out
    }
}

/// Refreshes the state of the router until the daemon ends.
pub(super) async fn refresh_periodically(entry: Rc<super::Entry>) {
    loop {
        entry.routes.refresh();
        entry.routes.read_reports();
        tokio::time::sleep(REPORT_POLL_PERIOD).await;
    }
}
