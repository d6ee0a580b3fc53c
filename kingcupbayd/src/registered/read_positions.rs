//! Reading by proxy: entries (listeners) that rely on what other entries (readers) have
//! read from the store.

use std::collections::BTreeMap;

use kingcupbay_core::{
    deployment::{
        readers,
        waits::{FOLLOWER_OPERATOR_AGE_MAX, OPERATOR_AGE_MAX},
    },
    time::{Instant, Span},
    wire::{
        read_position::{ChangeKind, ReadPosition, Table, TableChange},
        usage::UsageReport,
    },
};
use slog::info;

use crate::{clock, registered::Node};

impl Node {
    /// Finds out whether this entry reads the store itself at all times, once the list of
    /// entries has changed.
    pub(crate) fn update_reader(&self) {
        let catalogue = self.catalogue.borrow();
        self.reader.set(readers::is_reader(catalogue.entries(), self.host()));
    }

    /// Returns for how long other entries' read positions of `table` replace calls of
    /// the store. `None` if this daemon has to read the table itself.
    pub(crate) fn listen_time(&self, table: Table) -> Option<Span> {
        let listen_time = self.read_positions.borrow().remaining(clock::now(), table)?;
        let listen_time = match table {
            Table::Operator if self.follower.get() => {
                let listen_time = listen_time + FOLLOWER_OPERATOR_AGE_MAX;
                listen_time.saturating_sub(OPERATOR_AGE_MAX)
            }
            _ => listen_time,
        };
        (!self.reader.get() && listen_time > Span::ZERO).then_some(listen_time)
    }

    /// Returns this daemon's own read positions for the next usage report. Listeners
    /// report none: they all read every table when they start, and at the same time.
    pub(crate) fn own_read_positions(&self, now: Instant) -> BTreeMap<Table, ReadPosition> {
        match self.reader.get() {
            true => self.read_positions.borrow_mut().report(now),
            false => BTreeMap::new(),
        }
    }

    /// Waits until this daemon has to read `table` itself.
    pub(crate) async fn read_due(&self, table: Table) {
        loop {
            let behind = self.behind.notified();
            let Some(listen_time) = self.listen_time(table) else { return };
            // The state is checked again, whichever ends first.
            let _ = tokio::time::timeout(listen_time.into(), behind).await;
        }
    }

    /// Applies the read positions of another entry, taken out of its usage report.
    pub(crate) fn on_read_positions(&self, now: Instant, report: &mut UsageReport) {
        for (table, position) in std::mem::take(&mut report.positions) {
            let version = position.version;
            let taken = self.read_positions.borrow_mut().on_position(now, table, position);
            let Some(changes) = taken else {
                self.behind.notify_waiters();
                continue;
            };
            if changes.is_empty() {
                continue;
            }
            for change in changes {
                self.log_reported_change(&change, &report.host, version);
                self.catalogue.borrow_mut().on_reported_change(now, change);
            }
            self.changed.notify_waiters();
        }
    }

    /// Logs a change that another entry has reported.
    fn log_reported_change(&self, change: &TableChange, peer: &str, read: u64) {
        let (event, name) = match &change.kind {
            ChangeKind::Upstream(row) if row.leaving => ("upstream_leaves", &row.id),
            ChangeKind::Upstream(row) => ("upstream", &row.id),
            ChangeKind::UpstreamGone(id) => ("upstream_gone", id),
            ChangeKind::Entry(member) => ("entry", &member.host),
            ChangeKind::EntryGone(host) => ("entry_gone", host),
        };
        info!(self.log, ""; "event" => event, "id" => name, "why" => "told",
            "version" => change.version, "read" => read, "peer" => peer);
    }
}
