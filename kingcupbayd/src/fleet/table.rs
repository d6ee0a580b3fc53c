//! The configuration in the platform's table and object store.

use std::rc::Rc;

use bytes::Bytes;
use kingcupbay_core::{
    config::patch::{DELTA_PREFIX, HEAD_KEY, Head, Patch, delta_key, snapshot_key},
    gossip::message::Snapshot,
    id::{Number, RequestId},
    wire::table::{Condition, Read, Row, Txn, Write},
};
use slog::warn;

use super::Fleet;
use crate::{clock, store::table::TableError};

/// Most patches read in one step.
const DELTAS: usize = 256;

/// Patches after which the writer stores a snapshot.
const SNAPSHOT_EVERY: u64 = 64;

impl Fleet {
    /// Reads the head and everything after what is known.
    pub(crate) async fn refresh(self: &Rc<Fleet>) -> Result<(), TableError> {
        let sent = clock::now();
        let (head, _) = self.head().await?;
        if self.number() == Number(0) && head.snapshot > Number(0) {
            self.load_snapshot(head.snapshot).await;
        }
        while self.number() < head.number {
            self.load_deltas().await?;
        }
        let config = self.config();
        let mut gossip = self.gossip.borrow_mut();
        let actions = gossip.handle_head_read(clock::now(), sent, head.number, &config);
        drop(gossip);
        self.act(actions);
        Ok(())
    }

    /// Reads the head without anyone waiting for it, one read at a time.
    pub(super) fn read_head(self: &Rc<Fleet>) {
        if self.reading.replace(true) {
            return;
        }
        let fleet = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = fleet.refresh().await {
                warn!(fleet.log, ""; "event" => "table_unread", "error" => %error);
            }
            fleet.reading.set(false);
        });
    }

    /// The head row's content and revision; a new table has none.
    pub(super) async fn head(&self) -> Result<(Head, u64), TableError> {
        let rows = self.table.read(&Read::Keys(vec![HEAD_KEY.to_owned()])).await?;
        Ok(rows.rows.first().map(|row| (decode(row), row.revision)).unwrap_or_default())
    }

    /// Id of the patch that made `number`.
    pub(super) async fn writer_of(&self, number: Number) -> Result<Option<RequestId>, TableError> {
        let rows = self.table.read(&Read::Keys(vec![delta_key(number)])).await?;
        Ok(rows.rows.first().map(|row| decode::<Patch>(row).id))
    }

    async fn load_snapshot(self: &Rc<Fleet>, number: Number) {
        let loaded = self.objects.get(&snapshot_key(number)).await;
        match loaded {
            Ok(Some(bytes)) => match rmp_serde::from_slice::<Snapshot>(&bytes) {
                Ok(snapshot) => {
                    let actions = self.gossip.borrow_mut().restore(snapshot);
                    self.act(actions);
                }
                Err(error) => {
                    warn!(self.log, ""; "event" => "snapshot_unreadable", "number" => number.0,
                        "error" => %error);
                }
            },
            // Without the snapshot the patches since the beginning do.
            Ok(None) => {}
            Err(error) => {
                warn!(self.log, ""; "event" => "snapshot_unread", "number" => number.0, "error" => %error);
            }
        }
    }

    async fn load_deltas(&self) -> Result<(), TableError> {
        let from = delta_key(self.number().next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS }).await?;
        if rows.rows.is_empty() {
            return Err(TableError::Lost("the head names a patch that is not there".to_owned()));
        }
        for row in &rows.rows {
            self.apply(decode(row));
        }
        Ok(())
    }

    /// Applies a patch that the table has taken, unless another read or a peer
    /// has brought it in the meantime.
    pub(super) fn apply(&self, patch: Patch) {
        let config = self.config();
        if patch.against != config.number {
            return;
        }
        let next = config.patched(&patch);
        let next = next.expect("the writer checked the patch against the same rows");
        self.gossip.borrow_mut().add_patch(patch, &next);
        self.adopt(next);
    }

    /// Stores a snapshot where one is due. A failure costs only the next
    /// newcomer's time.
    pub(super) async fn keep_snapshot(&self, number: Number) {
        if !number.0.is_multiple_of(SNAPSHOT_EVERY) || number != self.number() {
            return;
        }
        let snapshot = self.gossip.borrow().snapshot(&self.config());
        let bytes = rmp_serde::to_vec(&snapshot).expect("a configuration serialises");
        let stored = self.objects.put(&snapshot_key(number), Bytes::from(bytes)).await;
        if let Err(error) = stored {
            warn!(self.log, ""; "event" => "snapshot_unstored", "error" => %error);
            return;
        }
        // Named in the head only once it is stored whole.
        let Ok((head, revision)) = self.head().await else { return };
        let head = Head { snapshot: number, ..head };
        let txn = Txn {
            conditions: vec![Condition { key: HEAD_KEY.to_owned(), revision }],
            writes: vec![Write { key: HEAD_KEY.to_owned(), value: Some(encode(&head)) }],
        };
        let _ = self.table.txn(&txn).await;
    }

    /// Patches after `after`, oldest first.
    pub(crate) async fn history(&self, after: Number) -> Result<Vec<(Number, Patch)>, TableError> {
        let from = delta_key(after.next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS }).await?;
        let patches = rows.rows.iter().map(decode::<Patch>);
        Ok(patches.map(|patch| (patch.against.next(), patch)).collect())
    }
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> T {
    serde_json::from_str(&row.value).expect("only this project writes its rows")
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows serialise")
}
