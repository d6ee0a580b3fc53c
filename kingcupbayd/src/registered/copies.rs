//! The operator's rows from daemon to daemon.
//!
//! A daemon that cannot reach the store, at its start or for some seconds, may
//! still reach others that can. It asks them for what they have read, and
//! takes what is newer, so that a withdrawn key dies there too.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::Method;
use kingcupbay_core::{
    time::Span,
    wire::{
        rows::{Change, Row, RowKey},
        tally::{Copies, ROWS_PATH, serde_bytes_vec::Bytes},
    },
};
use slog::{info, warn};

use crate::registered::{Node, follow};

/// Time for another daemon's answer: even 100 KB over the slowest hosts' links of
/// 10 Mbit/s take a tenth of a second, and several may ask at once.
const ANSWER: Span = Span::from_millis(1_500);

/// Rows as read, by table and key, with the version of the store.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, Vec<u8>>,
}

impl Rows {
    /// Takes a change.
    pub(crate) fn on_change(&mut self, change: &Change) {
        match change {
            Change::Put(row) => {
                self.version = self.version.max(row.version);
                self.rows.insert(row.key.clone(), row.value.clone());
            }
            Change::Removed(key) => drop(self.rows.remove(key)),
        }
    }

    /// All rows, for another daemon.
    pub(crate) fn copies(&self) -> Copies {
        let row = |(key, value): (&RowKey, &Vec<u8>)| {
            (key.table.clone(), key.key.clone(), Bytes(value.clone()))
        };
        Copies { version: self.version, rows: self.rows.iter().map(row).collect() }
    }
}

/// Asks the daemon at `address` for its rows and takes what is newer.
pub(crate) async fn fetch(node: &Rc<Node>, address: SocketAddr) -> bool {
    let called = node.pool.call(address, Method::GET, ROWS_PATH, &[], ANSWER).await;
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
    let copies: Copies = match rmp_serde::from_slice(&answer.body) {
        Ok(copies) => copies,
        Err(error) => {
            warn!(node.log, ""; "event" => "copies_malformed", "peer" => %address,
                "error" => %error);
            return false;
        }
    };
    info!(node.log, ""; "event" => "copies_taken", "peer" => %address,
        "rows" => copies.rows.len(), "version" => copies.version);
    for (table, key, Bytes(value)) in copies.rows {
        let row = Row { key: RowKey { table, key }, value, version: copies.version };
        follow::on_copy(node, row);
    }
    true
}
