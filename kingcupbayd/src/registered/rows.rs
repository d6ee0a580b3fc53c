//! Exchange of the operator's rows between daemons.
//!
//! A daemon that cannot reach the store, at its start or for some seconds, may still
//! reach other daemons that can. It fetches their rows and applies the newer ones, so
//! that a withdrawn key stops working there too.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::Method;
use kingcupbay_core::{
    deployment::waits,
    wire::{
        rows::{Row, RowKey},
        usage::{ROWS_PATH, StoredRow, StoredRows, serde_bytes_vec::Bytes},
    },
};
use kingcupbay_platform::operator;
use slog::{info, warn};

use crate::registered::{Node, follow};

/// The newest rows known to this daemon, from the store or from another daemon. They
/// must include every row that it acts on: if it reported a newer configuration but
/// returned an older row, the daemons that fetch from it would stay behind, and fetch
/// ever more rarely.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// Version and content of each row.
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
}

impl Rows {
    /// Applies the removal of a row from the store.
    pub(crate) fn on_removal(&mut self, key: &RowKey, version: u64) {
        match operator::evacuated_zone(&key.key) {
            // A daemon that fetches the rows must learn that the zone is restored.
            Some(_) => self.on_row(&Row::removal(key.clone(), version)),
            None => drop(self.rows.remove(key)),
        }
    }

    /// Stores a row unless a newer one is known.
    pub(crate) fn on_row(&mut self, row: &Row) {
        let known = self.rows.get(&row.key).map_or(0, |(version, _)| *version);
        if known <= row.version {
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
        }
    }

    /// Returns all rows, for another daemon.
    pub(crate) fn stored_rows(&self) -> StoredRows {
        let stored = |(key, (version, value)): (&RowKey, &(u64, Vec<u8>))| StoredRow {
            table: key.table.clone(),
            key: key.key.clone(),
            version: *version,
            value: Bytes(value.clone()),
        };
        StoredRows { rows: self.rows.iter().map(stored).collect() }
    }
}

/// Fetches the rows of the daemon at `address` and applies the newer ones. Returns
/// whether the rows were received.
pub(crate) async fn fetch(node: &Rc<Node>, address: SocketAddr) -> bool {
    let called = node.call(address, Method::GET, ROWS_PATH, &[], waits::FETCH_TIMEOUT).await;
    let answer = match called {
        Ok(answer) if answer.status == 200 => answer,
        Ok(answer) => {
            let status = answer.status;
            warn!(node.log, ""; "event" => "copies_refused", "peer" => %address,
                "status" => status);
            return false;
        }
        Err(error) => {
            warn!(node.log, ""; "event" => "copies_failed", "peer" => %address,
                "error" => %error);
            return false;
        }
    };
    let fetched: StoredRows = match rmp_serde::from_slice(&answer.body) {
        Ok(fetched) => fetched,
        Err(error) => {
            warn!(node.log, ""; "event" => "copies_malformed", "peer" => %address,
                "error" => %error);
            return false;
        }
    };
    let newest = fetched.rows.iter().map(|row| row.version).max();
    info!(node.log, ""; "event" => "copies_taken", "peer" => %address,
        "rows" => fetched.rows.len(), "version" => newest);
    for StoredRow { table, key, version, value: Bytes(value) } in fetched.rows {
        follow::on_fetched_row(node, &Row { key: RowKey { table, key }, value, version });
    }
    true
}
