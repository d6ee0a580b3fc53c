//! How far this entry knows the store's tables, from the store or from other entries.
//!
//! If every entry read every change, the store would be called entries times changes.
//! A few entries read ([`super::readers`]) and tell the others in their tallies how far
//! they have read and what changed. An entry knows a table as of a version of the store;
//! a [`ReadPosition`] takes it further only if nothing is missing in between. One that has
//! not been taken further for [`Table::listen`] reads by itself, whoever the readers
//! are and whatever became of them.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    time::{Instant, Span},
    wire::read_position::{ReadPosition, Table, TableChange},
};

use super::waits::{ENTRIES_LISTEN, OPERATOR_LISTEN, SOUND, UPSTREAMS_LISTEN};

/// Tallies that name a change: one may be lost.
const TALLIES: u32 = 2;

/// Most changes in one tally. Where more happen at once, the others read by themselves.
const CHANGES_MAX: usize = 32;

impl Table {
    /// How long another entry's reading counts.
    pub fn listen(self) -> Span {
        match self {
            Table::Operator => OPERATOR_LISTEN,
            Table::Upstreams => UPSTREAMS_LISTEN,
            Table::Entries => ENTRIES_LISTEN,
        }
    }

    /// Whether an entry that lacks changes has to read them. Otherwise another reader's
    /// tally may have them.
    fn is_untold(self, reading: &ReadPosition) -> bool {
        self == Table::Operator || reading.changes.len() >= CHANGES_MAX
    }
}

/// One table as this entry knows it.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Invariant: every change up to this version has been taken.
    known: u64,
    /// Version of this entry's last own read, and when the store answered.
    own: Option<(u64, Instant)>,
    /// The table was known here as of this time, by other entries' readings.
    heard: Option<Instant>,
    /// Version up to which there are changes that no tally has.
    untold: u64,
    /// Invariant: changes after this version, up to that of `own`, are in `changes`.
    since: u64,
    /// Changes that this entry read first, and how many tallies have still to name each.
    changes: VecDeque<(TableChange, u32)>,
}

/// Every followed table.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    tables: BTreeMap<Table, Progress>,
}

impl Readings {
    /// The version up to which every change of `table` has been taken.
    pub fn known(&self, table: Table) -> u64 {
        self.tables.get(&table).map_or(0, |progress| progress.known)
    }

    /// The store answered with the whole table as of `version`; it last changed at
    /// `changed`, or at `version` if removals do not show.
    pub fn on_list(&mut self, now: Instant, table: Table, version: u64, changed: u64) {
        let progress = self.tables.entry(table).or_default();
        progress.on_own(now, version);
        progress.since = progress.since.max(changed);
        progress.changes.clear();
    }

    /// The store answered with `changes`, up to `version`.
    pub fn on_page(
        &mut self,
        now: Instant,
        table: Table,
        version: u64,
        changes: impl IntoIterator<Item = TableChange>,
    ) {
        let progress = self.tables.entry(table).or_default();
        progress.on_own(now, version);
        progress.changes.extend(changes.into_iter().map(|change| (change, TALLIES)));
        while progress.changes.len() > CHANGES_MAX {
            progress.drop_oldest();
        }
    }

    /// A change at `version` was read that no tally carries.
    pub fn on_untold(&mut self, table: Table, version: u64) {
        let progress = self.tables.entry(table).or_default();
        progress.since = progress.since.max(version);
    }

    /// What the next tally tells: tables that this entry read itself lately.
    pub fn tell(&mut self, now: Instant) -> BTreeMap<Table, ReadPosition> {
        let tables = self.tables.iter_mut();
        tables
            .filter_map(|(&table, progress)| Some((table, progress.tell(now, table.listen())?)))
            .collect()
    }

    /// Takes another entry's reading. What is to be taken over, in order; `None` if
    /// changes are missing in between.
    pub fn on_reading(
        &mut self,
        now: Instant,
        table: Table,
        reading: ReadPosition,
    ) -> Option<Vec<TableChange>> {
        let progress = self.tables.entry(table).or_default();
        if progress.known < reading.since {
            if table.is_untold(&reading) {
                progress.untold = progress.untold.max(reading.since);
            }
            return None;
        }
        let known = progress.known;
        let mut changes = reading.changes;
        changes.retain(|change| known < change.version && change.version <= reading.version);
        changes.sort_by_key(|change| change.version);
        progress.known = known.max(reading.version);
        // Who told them tells all others too.
        let told = changes.last().map_or(0, |change| change.version);
        progress.since = progress.since.max(told);
        let age = reading.age + SOUND;
        let as_of = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros()));
        progress.heard = progress.heard.max(Some(as_of));
        Some(changes)
    }

    /// For how long others' readings of `table` still count; `None` if they do not, or
    /// show that something is missing here.
    pub fn rest(&self, now: Instant, table: Table) -> Option<Span> {
        let progress = self.tables.get(&table)?;
        if progress.untold > progress.known {
            return None;
        }
        let until = progress.heard? + table.listen();
        (until > now).then(|| until.since(now))
    }
}

impl Progress {
    /// An answer older than what is known here shows nothing of the store as it is now.
    fn on_own(&mut self, now: Instant, version: u64) {
        if version >= self.known {
            self.known = version;
            self.own = Some((version, now));
        }
    }

    fn tell(&mut self, now: Instant, limit: Span) -> Option<ReadPosition> {
        let (version, at) = self.own?;
        let age = now.since(at);
        if age >= limit {
            return None;
        }
        let since = self.since.min(version);
        let changes = self.changes.iter().map(|(change, _)| change.clone()).collect();
        for (_, tallies) in &mut self.changes {
            *tallies -= 1;
        }
        while self.changes.front().is_some_and(|(_, tallies)| *tallies == 0) {
            self.drop_oldest();
        }
        Some(ReadPosition { version, age, since, changes })
    }

    fn drop_oldest(&mut self) {
        if let Some((change, _)) = self.changes.pop_front() {
            self.since = self.since.max(change.version);
        }
    }
}
