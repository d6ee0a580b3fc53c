//! Read positions: up to which version this entry knows each table of the store.
//!
//! If every entry read every change, the number of store calls would be the number of
//! entries times the number of changes. Instead, a few entries read the store
//! ([`super::readers`]). Their usage reports state how far they have read and what
//! has changed.
//!
//! An entry knows a table as of a version of the store. A [`ReadPosition`] of another entry
//! advances that version only if no change is missing in between. An entry whose position
//! has not been confirmed for [`Table::max_age`] reads the store itself, independently of
//! the readers.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    time::{Instant, Span},
    wire::read_position::{ReadPosition, Table, TableChange},
};

use super::waits::{
    ENTRIES_AGE_MAX, OPERATOR_AGE_MAX, RELAYED_FOR, STORE_ANSWER_MAX, UPSTREAMS_AGE_MAX,
};

/// Number of usage reports that carry a change. One of them may be lost.
const REPORTS_PER_CHANGE: u32 = 2;

/// Largest number of changes in one usage report. If more happen at once, the other
/// entries read the store themselves.
const CHANGES_PER_REPORT_MAX: usize = 32;

impl Table {
    /// Returns the age up to which another entry's read position is valid.
    pub fn max_age(self) -> Span {
        match self {
            Table::Operator => OPERATOR_AGE_MAX,
            Table::Upstreams => UPSTREAMS_AGE_MAX,
            Table::Entries => ENTRIES_AGE_MAX,
        }
    }

    /// Returns whether an entry that lacks changes before `position` must read them from
    /// the store. Otherwise another reader's usage report may carry them.
    fn must_be_read(self, position: &ReadPosition) -> bool {
        self == Table::Operator || position.changes.len() >= CHANGES_PER_REPORT_MAX
    }
}

/// Read position of one table.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Invariant: every change up to this version has been applied.
    known: u64,
    /// Version of this entry's own last read, and when the store answered.
    own: Option<(u64, Instant)>,
    /// Time as of which other entries' reports confirm that the table is known here.
    confirmed: Option<Instant>,
    /// Version up to which there are changes that no usage report carries.
    unreported: u64,
    /// Invariant: changes after this version, up to that of `own`, are in `changes`.
    since: u64,
    /// Changes that this entry read from the store before another reported them, each
    /// with the number of usage reports that still have to carry it.
    changes: VecDeque<(TableChange, u32)>,
    /// Invariant: changes after this version, up to `known`, are in `recent`.
    recent_since: u64,
    /// Changes that were learned recently in any way, to pass on to followers.
    recent: VecDeque<(TableChange, Instant)>,
}

/// Read positions of all tables that the entry follows.
#[derive(Clone, Debug, Default)]
pub struct ReadPositions {
    tables: BTreeMap<Table, Progress>,
}

impl ReadPositions {
    /// Returns the version up to which every change of `table` has been applied.
    pub fn known(&self, table: Table) -> u64 {
        self.tables.get(&table).map_or(0, |progress| progress.known)
    }

    /// Records that the store answered with the complete table as of `version`, which
    /// does not show the deletions before.
    pub fn on_list(&mut self, now: Instant, table: Table, version: u64) {
        let progress = self.tables.entry(table).or_default();
        progress.on_own(now, version);
        progress.since = progress.since.max(version);
        progress.changes.clear();
        progress.recent_since = progress.known;
        progress.recent.clear();
    }

    /// Records that the store answered with `changes` up to `version`.
    pub fn on_page(
        &mut self,
        now: Instant,
        table: Table,
        version: u64,
        changes: impl IntoIterator<Item = TableChange>,
    ) {
        let progress = self.tables.entry(table).or_default();
        progress.on_own(now, version);
        for change in changes {
            progress.on_change(now, &change);
            progress.changes.push_back((change, REPORTS_PER_CHANGE));
        }
        while progress.changes.len() > CHANGES_PER_REPORT_MAX {
            progress.drop_oldest();
        }
    }

    /// Records that a change at `version` was read that no usage report carries.
    pub fn on_unreported(&mut self, table: Table, version: u64) {
        let progress = self.tables.entry(table).or_default();
        progress.since = progress.since.max(version);
        progress.recent_since = progress.recent_since.max(version);
    }

    /// Returns the read positions for the next usage report, of the tables that this
    /// entry has recently read itself.
    pub fn report(&mut self, now: Instant) -> BTreeMap<Table, ReadPosition> {
        let tables = self.tables.iter_mut();
        tables
            .filter_map(|(&table, progress)| Some((table, progress.report(now, table.max_age())?)))
            .collect()
    }

    /// Returns the read positions to pass on to followers, of the tables that this entry knows
    /// from its own reads or from other entries.
    pub fn relay(&mut self, now: Instant) -> BTreeMap<Table, ReadPosition> {
        let tables = self.tables.iter_mut();
        tables
            .filter_map(|(&table, progress)| Some((table, progress.relay(now, table.max_age())?)))
            .collect()
    }

    /// Applies another entry's read position. Returns the changes to apply, in order of
    /// their versions, or `None` if changes are missing in between.
    pub fn on_position(
        &mut self,
        now: Instant,
        table: Table,
        position: ReadPosition,
    ) -> Option<Vec<TableChange>> {
        let progress = self.tables.entry(table).or_default();
        if progress.known < position.since {
            if table.must_be_read(&position) {
                progress.unreported = progress.unreported.max(position.since);
            }
            return None;
        }
        let known = progress.known;
        let mut changes = position.changes;
        changes.retain(|change| known < change.version && change.version <= position.version);
        changes.sort_by_key(|change| change.version);
        progress.known = known.max(position.version);
        // The sender reports these changes to all other entries too.
        let reported = changes.last().map_or(0, |change| change.version);
        progress.since = progress.since.max(reported);
        for change in &changes {
            progress.on_change(now, change);
        }
        let age = position.age + STORE_ANSWER_MAX;
        let as_of = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros()));
        progress.confirmed = progress.confirmed.max(Some(as_of));
        Some(changes)
    }

    /// Returns how long ago the store last answered this entry itself with all changes of `table`
    /// until then. `None` if it has not.
    pub fn own_age(&self, now: Instant, table: Table) -> Option<Span> {
        let (_, at) = self.tables.get(&table)?.own?;
        Some(now.since(at))
    }

    /// Returns whether another entry has reported changes of `table` that are missing here.
    pub fn is_behind(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|progress| progress.unreported > progress.known)
    }

    /// Returns for how long other entries' read positions of `table` remain valid.
    /// `None` if they have expired, or show that changes are missing here.
    pub fn remaining(&self, now: Instant, table: Table) -> Option<Span> {
        let progress = self.tables.get(&table)?;
        if progress.unreported > progress.known {
            return None;
        }
        let until = progress.confirmed? + table.max_age();
        (until > now).then(|| until.since(now))
    }
}

impl Progress {
    /// Records an own read of `version`. An answer older than the known version is
    /// ignored, as it does not show the current state of the store.
    fn on_own(&mut self, now: Instant, version: u64) {
        if version >= self.known {
            self.known = version;
            self.own = Some((version, now));
        }
    }

    /// Returns the read position for the next usage report, unless the last own read is
    /// as old as `limit`.
    fn report(&mut self, now: Instant, limit: Span) -> Option<ReadPosition> {
        let (version, at) = self.own?;
        let age = now.since(at);
        if age >= limit {
            return None;
        }
        let since = self.since.min(version);
        let changes = self.changes.iter().map(|(change, _)| change.clone()).collect();
        for (_, reports) in &mut self.changes {
            *reports -= 1;
        }
        while self.changes.front().is_some_and(|(_, reports)| *reports == 0) {
            self.drop_oldest();
        }
        Some(ReadPosition { version, age, since, changes })
    }

    /// Stores a change to pass on.
    fn on_change(&mut self, now: Instant, change: &TableChange) {
        self.recent.push_back((change.clone(), now));
        if self.recent.len() > CHANGES_PER_REPORT_MAX {
            self.drop_oldest_recent();
        }
    }

    /// Returns the read position to pass on, unless what it is based on is as old as `limit`.
    fn relay(&mut self, now: Instant, limit: Span) -> Option<ReadPosition> {
        while self.recent.front().is_some_and(|(_, at)| now.since(*at) >= RELAYED_FOR) {
            self.drop_oldest_recent();
        }
        let as_of = self.confirmed.max(self.own.map(|(_, at)| at))?;
        let age = now.since(as_of);
        if age >= limit {
            return None;
        }
        let since = self.recent_since.min(self.known);
        let changes = self.recent.iter().map(|(change, _)| change.clone()).collect();
        Some(ReadPosition { version: self.known, age, since, changes })
    }

    fn drop_oldest_recent(&mut self) {
        if let Some((change, _)) = self.recent.pop_front() {
            self.recent_since = self.recent_since.max(change.version);
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((change, _)) = self.changes.pop_front() {
            self.since = self.since.max(change.version);
        }
    }
}
