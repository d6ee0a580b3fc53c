//! Entries that hear from other entries what these have read in the store.

use std::collections::BTreeMap;

use kingcupbay_core::{
    config::model::Role,
    deployment::readers,
    time::{Instant, Span},
    wire::{
        read_position::{ChangeKind, ReadPosition, Table, TableChange},
        usage::UsageReport,
    },
};
use slog::info;

use crate::{clock, registered::Node};

impl Node {
    /// Whether this daemon reads the store whatever others read.
    fn is_reader(&self) -> bool {
        let catalogue = self.catalogue.borrow();
        self.settings.daemon.role == Role::Upstream
            || readers::is_reader(catalogue.of_role(Role::Entry), self.host())
    }

    /// For how long others' readings of `table` save this daemon a call of the store.
    pub(crate) fn rest(&self, table: Table) -> Option<Span> {
        let rest = self.readings.borrow().remaining(clock::now(), table)?;
        (!self.is_reader()).then_some(rest)
    }

    /// What the next tally tells others of this daemon's own reads. Those of listeners
    /// are not told: at a start they read all, and all at once.
    pub(crate) fn own_readings(&self, now: Instant) -> BTreeMap<Table, ReadPosition> {
        match self.is_reader() {
            true => self.readings.borrow_mut().report(now),
            false => BTreeMap::new(),
        }
    }

    /// Ends when this daemon has to read `table` itself.
    pub(crate) async fn due(&self, table: Table) {
        loop {
            let behind = self.behind.notified();
            let Some(rest) = self.rest(table) else { return };
            // Whichever ends first, the state is looked at again.
            let _ = tokio::time::timeout(rest.into(), behind).await;
        }
    }

    /// Takes over what another entry has read.
    pub(crate) fn on_readings(&self, now: Instant, tally: &mut UsageReport) {
        for (table, reading) in std::mem::take(&mut tally.positions) {
            let version = reading.version;
            let taken = self.readings.borrow_mut().on_position(now, table, reading);
            let Some(changes) = taken else {
                self.behind.notify_waiters();
                continue;
            };
            if changes.is_empty() {
                continue;
            }
            for change in changes {
                self.log_told(&change, &tally.host, version);
                self.catalogue.borrow_mut().on_reported_change(now, change);
            }
            self.changed.notify_waiters();
        }
    }

    fn log_told(&self, change: &TableChange, peer: &str, read: u64) {
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
