//! Upstreams that have left, as entries report them to each other.
//!
//! An entry that is cut off from the store, or whose feed misses changes, keeps sending
//! to an upstream that has left. When it reads the store again, it cannot distinguish
//! that upstream from one whose registration expired while it could not be renewed.
//! Entries that saw the upstream leave can, so they name it in their usage reports.

use std::collections::BTreeMap;

use crate::time::{Instant, Span};

/// How long a departure is reported, so that an entry that was cut off from all others
/// learns of it once it is connected again.
const REPORTED_FOR: Span = Span::from_secs(60);

/// Number of consecutive usage reports that name a new departure. One or two of them
/// may be lost.
const REPORTS_PER_DEPARTURE: u32 = 3;

/// Largest number of departures in one usage report, the newest first. More leave
/// within a minute only if nearly all upstreams are replaced.
const DEPARTURES_PER_REPORT_MAX: usize = 16;

/// One upstream that left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Version of the store that shows it.
    version: u64,
    /// Start and count of the upstream's last known write.
    last: Option<(u64, u64)>,
    /// When this daemon last learned of it.
    learned: Instant,
    /// Number of usage reports that still have to name it.
    pending: u32,
    /// Whether this daemon read it from the store. Only then is it reported, so that
    /// reports do not circulate for ever.
    from_store: bool,
}

/// Upstreams that have left recently, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    left: BTreeMap<String, Departure>,
}

impl Departures {
    /// Returns the version of the store at which the upstream `id` left, and start and count
    /// of its last known write.
    pub(super) fn last(&self, id: &str) -> Option<(u64, Option<(u64, u64)>)> {
        self.left.get(id).map(|departure| (departure.version, departure.last))
    }

    /// Records that the store shows that `id` has left; `last` is the start and count of its
    /// last known write.
    pub(super) fn on_store(
        &mut self,
        now: Instant,
        id: &str,
        version: u64,
        last: Option<(u64, u64)>,
    ) {
        let known = self.left.get(id).filter(|known| known.from_store);
        // Further rows of a leaving upstream do not restart its reports.
        let pending = known.map_or(REPORTS_PER_DEPARTURE, |known| known.pending);
        let version = known.map_or(version, |known| known.version.max(version));
        let last = last.max(self.left.get(id).and_then(|known| known.last));
        let departure = Departure { version, last, learned: now, pending, from_store: true };
        self.left.insert(id.to_owned(), departure);
    }

    /// Drops the departure of `id`, which has registered again.
    pub(super) fn on_back(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Records another entry's report that `id` has left.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        id: &str,
        version: u64,
        last: Option<(u64, u64)>,
    ) {
        if self.last(id).is_none_or(|(known, _)| known < version) {
            let last = last.max(self.left.get(id).and_then(|known| known.last));
            let departure =
                Departure { version, last, learned: now, pending: 0, from_store: false };
            self.left.insert(id.to_owned(), departure);
        }
    }

    /// Returns the departures that this daemon has learned of within `age`, with their versions,
    /// from the store or from another entry.
    pub(super) fn recent(&self, now: Instant, age: Span) -> BTreeMap<String, u64> {
        let recent = self.left.iter().filter(|(_, row)| now.since(row.learned) < age);
        let mut recent: Vec<(&String, u64)> = recent.map(|(id, row)| (id, row.version)).collect();
        recent.sort_by_key(|&(_, version)| std::cmp::Reverse(version));
        recent.truncate(DEPARTURES_PER_REPORT_MAX);
        recent.into_iter().map(|(id, version)| (id.clone(), version)).collect()
    }

    /// Returns the departures to name in the next usage report, with their versions: the
    /// new ones, or in a `whole` report the newest of all.
    pub(super) fn report(&mut self, now: Instant, whole: bool) -> BTreeMap<String, u64> {
        self.left.retain(|_, departure| now.since(departure.learned) < REPORTED_FOR);
        let mut reported: Vec<(&String, &mut Departure)> = self
            .left
            .iter_mut()
            .filter(|(_, departure)| departure.from_store && (whole || departure.pending > 0))
            .collect();
        reported.sort_by_key(|(_, departure)| std::cmp::Reverse(departure.version));
        reported.truncate(DEPARTURES_PER_REPORT_MAX);
        let name = |(id, departure): (&String, &mut Departure)| {
            departure.pending = departure.pending.saturating_sub(1);
            (id.clone(), departure.version)
        };
        reported.into_iter().map(name).collect()
    }
}
