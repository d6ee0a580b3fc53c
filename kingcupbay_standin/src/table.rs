//! Stand-in for the platform's transactional table.
//!
//! It serves `POST /txn`, `POST /read`, and `GET /state` for a [`TableRecord`].

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc};

use actix_http::Method;
use futures_util::FutureExt;
use kingcupbay_core::wire::table::{Condition, Read, Row, Rows, Txn, TxnAnswer, Write};
use serde::{Deserialize, Serialize};

use crate::server::{
    Behaviour, Handler, Server,
    call::{self, Answer, Call},
};

/// Counts of a table since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableRecord {
    /// Number of transactions that took effect.
    pub committed: u64,
    /// Number of transactions whose conditions failed.
    pub conflicts: u64,
    /// Number of reads.
    pub reads: u64,
}

/// A running table.
pub struct Table {
    server: Server,
    state: Rc<RefCell<State>>,
}

/// The rows and counts.
#[derive(Default)]
pub(crate) struct State {
    /// Invariant: each row is stored under its own key and has a revision of
    /// at least 1. A row that is removed and written again restarts at 1.
    rows: BTreeMap<String, Row>,
    record: TableRecord,
}

impl Table {
    /// Starts an empty table on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Table> {
        let state = Rc::default();
        let server = Server::start(address, Behaviour::new(handler(&state)))?;
        Ok(Table { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// Returns the counts.
    pub fn record(&self) -> TableRecord {
        self.state.borrow().record
    }

    /// Returns all rows in order of their keys.
    pub fn rows(&self) -> Vec<Row> {
        self.state.borrow().rows()
    }

    /// Runs a transaction directly, without an HTTP request.
    pub fn txn(&self, txn: &Txn) -> TxnAnswer {
        self.state.borrow_mut().txn(txn)
    }
}

impl State {
    pub(crate) fn record(&self) -> TableRecord {
        self.record
    }

    pub(crate) fn rows(&self) -> Vec<Row> {
        self.rows.values().cloned().collect()
    }

    pub(crate) fn txn(&mut self, txn: &Txn) -> TxnAnswer {
        let failed: Vec<_> = txn.conditions.iter().filter(|cond| !self.holds(cond)).collect();
        if !failed.is_empty() {
            self.record.conflicts += 1;
            let rows = failed.iter().filter_map(|cond| self.rows.get(&cond.key)).cloned();
            return TxnAnswer::Conflict(rows.collect());
        }
        self.record.committed += 1;
        txn.writes.iter().for_each(|write| self.write(write));
        TxnAnswer::Committed
    }

    fn read(&mut self, read: &Read) -> Rows {
        self.record.reads += 1;
        let rows = match read {
            Read::Keys(keys) => {
                let mut keys: Vec<_> = keys.iter().collect();
                keys.sort();
                keys.dedup();
                keys.into_iter().filter_map(|key| self.rows.get(key)).cloned().collect()
            }
            Read::Range { from, to, limit } if from < to => {
                let range = self.rows.range(from.clone()..to.clone());
                range.map(|(_, row)| row).take(*limit).cloned().collect()
            }
            Read::Range { .. } => Vec::new(),
        };
        Rows { rows }
    }

    fn holds(&self, condition: &Condition) -> bool {
        self.rows.get(&condition.key).map_or(0, |row| row.revision) == condition.revision
    }

    fn write(&mut self, write: &Write) {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return;
        };
        let revision = self.rows.get(&write.key).map_or(0, |row| row.revision) + 1;
        let row = Row { key: write.key.clone(), value: value.clone(), revision };
        self.rows.insert(write.key.clone(), row);
    }
}

fn handler(state: &Rc<RefCell<State>>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let answer = match (&call.method, call.path.as_str()) {
            (&Method::GET, "/state") => call::json(&state.borrow().record()),
            _ => answer(&state, &call).unwrap_or_else(call::unknown),
        };
        async { answer }.boxed_local()
    })
}

/// Answers a request for the table; returns `None` for any other request.
pub(crate) fn answer(state: &RefCell<State>, call: &Call) -> Option<Answer> {
    let answer = match (&call.method, call.path.as_str()) {
        (&Method::POST, "/txn") => call.json().map(|txn| call::json(&state.borrow_mut().txn(&txn))),
        (&Method::POST, "/read") => {
            call.json().map(|read| call::json(&state.borrow_mut().read(&read)))
        }
        _ => return None,
    };
    Some(answer.unwrap_or_else(|refusal| refusal))
}
