//! Writes and reads the reports of share epochs in the table.

use std::{rc::Rc, time::Duration};

use kingcupbay_core::{
    share::plan::{REPORT_PREFIX, Report, report_key},
    wire::table::{Condition, Read, Row, Txn, Write},
};
use slog::warn;

use super::Shares;
use crate::{
    clock,
    fleet::{decode, encode},
    store::table::TableError,
};

/// Pause between two checks for reports to write or read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Most reports in one answer, more than the 340 entries of the largest fleet.
const MAX_REPORTS: usize = 1_024;

/// Writes this entry's report and reads those that are missing, for as long as
/// the daemon runs. Without either, the table is not called.
pub(super) async fn keep(shares: Rc<Shares>) {
    loop {
        shares.sync_config(clock::now());
        if let Err(error) = shares.sync_reports().await {
            warn!(shares.log, ""; "event" => "share_reports_undone", "error" => %error);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Shares {
    async fn sync_reports(self: &Rc<Shares>) -> Result<(), TableError> {
        let unwritten = self.unwritten.borrow().clone();
        if let Some(report) = unwritten {
            self.write(&report).await?;
        }
        if self.core.borrow().missing_reports().next().is_some() {
            self.read().await?;
        }
        Ok(())
    }

    /// Writes the report to its row, unless the row already holds it. A write
    /// whose answer was lost is noticed at the next call. A write that reaches
    /// the table only after the report of the next epoch fails by the row's
    /// revision.
    async fn write(&self, report: &Report) -> Result<(), TableError> {
        let key = report_key(report.holder);
        let rows = self.table.read(&Read::Keys(vec![key.clone()])).await?;
        let row = rows.rows.first();
        if row.is_some_and(|row| decode(row).is_ok_and(|known: Report| known == *report)) {
            self.unwritten.borrow_mut().take_if(|other| other == report);
            return Ok(());
        }
        let revision = row.map_or(0, |row| row.revision);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), revision }],
            writes: vec![Write { key, value: Some(encode(report)) }],
        };
        self.table.txn(&txn).await?;
        Ok(())
    }

    async fn read(self: &Rc<Shares>) -> Result<(), TableError> {
        let (from, to) = (REPORT_PREFIX.to_owned(), format!("{REPORT_PREFIX}~"));
        let rows = self.table.read(&Read::Range { from, to, limit: MAX_REPORTS }).await?;
        let readable = |row: &Row| {
            let report = decode::<Report>(row);
            let log = |error: &TableError| {
                warn!(self.log, ""; "event" => "report_unreadable", "error" => %error);
            };
            report.inspect_err(log).ok()
        };
        let reports: Vec<Report> = rows.rows.iter().filter_map(readable).collect();
        let actions = self.core.borrow_mut().on_reports(clock::now(), &reports);
        self.execute(actions);
        if self.core.borrow().missing_reports().next().is_none() {
            self.remove_stale_rows(&rows.rows).await?;
        }
        Ok(())
    }

    /// Removes the rows of entries that left the fleet. An entry that has just
    /// joined and is not known here yet has reported for a later epoch, so its
    /// row stays.
    async fn remove_stale_rows(&self, rows: &[Row]) -> Result<(), TableError> {
        let entries = self.fleet.config().entry_incarnations();
        let epoch = self.core.borrow().epoch();
        let gone = |row: &&Row| {
            let is_gone =
                |report: Report| report.epoch < epoch && !entries.contains(&report.holder.0);
            decode(row).is_ok_and(is_gone)
        };
        for row in rows.iter().filter(gone) {
            let condition = Condition { key: row.key.clone(), revision: row.revision };
            let write = Write { key: row.key.clone(), value: None };
            self.table.txn(&Txn { conditions: vec![condition], writes: vec![write] }).await?;
        }
        Ok(())
    }
}
