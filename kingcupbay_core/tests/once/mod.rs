//! Shared by the tests of once-only calls: a table, attempts and short texts.

use std::collections::BTreeMap;

use kingcupbay_core::{
    claim::{
        Answer, Attempt,
        record::{Digest, Outcome},
    },
    id::{Id as _, RequestId, RouteId},
    wire::table::{Condition, Row, Txn, TxnAnswer},
};

/// Key of the row that every attempt claims.
pub(crate) const KEY: &str = "claim/0/seat-7";

/// Key of the row of the upstream's fencing number, shared by all attempts.
pub(crate) const FENCE: &str = "fence/desk";

/// In-memory table with the semantics of the platform's table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<String, Row>,
}

impl Table {
    pub(crate) fn txn(&mut self, txn: &Txn) -> TxnAnswer {
        let revision = |key: &str| self.rows.get(key).map_or(0, |row| row.revision);
        let fails = |condition: &&Condition| revision(&condition.key) != condition.revision;
        let failed: Vec<_> = txn.conditions.iter().filter(fails).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|condition| self.rows.get(&condition.key));
            return TxnAnswer::Conflict(rows.cloned().collect());
        }
        for write in &txn.writes {
            match &write.value {
                Some(value) => self.set(&write.key, value),
                None => drop(self.rows.remove(&write.key)),
            }
        }
        TxnAnswer::Committed
    }

    pub(crate) fn set(&mut self, key: &str, value: &str) {
        let revision = self.rows.get(key).map_or(0, |row| row.revision) + 1;
        let row = Row { key: key.to_owned(), value: value.to_owned(), revision };
        self.rows.insert(key.to_owned(), row);
    }

    /// Lets a daemon take over the upstream; returns its fencing number.
    pub(crate) fn take_over(&mut self) -> u64 {
        self.set(FENCE, "");
        self.rows[FENCE].revision
    }
}

/// Returns attempt number `index`, made by the daemon with this fencing number.
pub(crate) fn attempt(index: usize, fencing: u64) -> Attempt {
    Attempt {
        key: KEY.to_owned(),
        digest: Digest::of(RouteId::from_raw(0), "book", b"seat 7"),
        id: RequestId([index as u8 + 1; 16]),
        claimer: format!("h{index}").parse().unwrap(),
        fence: Condition { key: FENCE.to_owned(), revision: fencing },
    }
}

/// Returns the service's answer to execution number `execution`.
pub(crate) fn outcome(execution: usize) -> Outcome {
    Outcome { status: 200, body: Some(format!("execution {execution}").into_bytes()) }
}

/// Formats an answer as a short text.
pub(crate) fn describe(answer: &Answer) -> String {
    match answer {
        Answer::Outcome { outcome, replayed } => {
            let body = outcome.body.clone().unwrap_or_default();
            let replayed = if *replayed { " replayed" } else { "" };
            format!("{}{replayed}", String::from_utf8_lossy(&body))
        }
        Answer::Failure(failure) => {
            let ran = serde_json::to_value(failure.ran).unwrap();
            format!("{} {}", failure.code.as_str(), ran.as_str().unwrap())
        }
    }
}
