//! Reports of share epochs in the table.

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

/// Pause between two looks for what is to be written or read.
const PAUSE: Duration = Duration::from_millis(100);

/// Most reports in one answer, above the 340 entries of the largest fleet.
const ROWS: usize = 1_024;

/// Writes this entry's report and reads those that are missing; with nothing
/// of that to do the table is left alone.
pub(super) async fn keep(shares: Rc<Shares>) {
    loop {
        shares.follow(clock::now());
        if let Err(error) = shares.step().await {
            warn!(shares.log, ""; "event" => "share_reports_undone", "error" => %error);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

impl Shares {
    async fn step(self: &Rc<Shares>) -> Result<(), TableError> {
        let unwritten = self.unwritten.borrow().clone();
        if let Some(report) = unwritten {
            self.write(&report).await?;
        }
        if self.core.borrow().missing_reports().next().is_some() {
            self.read().await?;
        }
        Ok(())
    }

    /// Brings the report into its row. A write whose answer was lost is found
    /// at the next look; one that is still on its way when the next epoch's
    /// report is written fails by the row's revision.
    async fn write(&self, report: &Report) -> Result<(), TableError> {
        let key = report_key(report.holder);
        let rows = self.table.read(&Read::Keys(vec![key.clone()])).await?;
        let row = rows.rows.first();
        if row.is_some_and(|row| decode::<Report>(row) == *report) {
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
        let rows = self.table.read(&Read::Range { from, to, limit: ROWS }).await?;
        let reports: Vec<Report> = rows.rows.iter().map(decode).collect();
        let actions = self.core.borrow_mut().on_reports(clock::now(), &reports);
        self.carry_out(actions);
        if self.core.borrow().missing_reports().next().is_none() {
            self.clear(&rows.rows).await?;
        }
        Ok(())
    }

    /// Removes the rows of entries that are gone. One that is not known here
    /// because it has just joined reported to a later epoch.
    async fn clear(&self, rows: &[Row]) -> Result<(), TableError> {
        let entries = self.fleet.config().entry_incarnations();
        let epoch = self.core.borrow().epoch();
        let gone = |row: &&Row| {
            let report: Report = decode(row);
            report.epoch < epoch && !entries.contains(&report.holder.0)
        };
        for row in rows.iter().filter(gone) {
            let condition = Condition { key: row.key.clone(), revision: row.revision };
            let write = Write { key: row.key.clone(), value: None };
            self.table.txn(&Txn { conditions: vec![condition], writes: vec![write] }).await?;
        }
        Ok(())
    }
}
