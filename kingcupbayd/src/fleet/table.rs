//! Reads and writes the configuration in the platform's table and object store.

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

/// Most patches read by one request.
const DELTAS_PER_READ: usize = 256;

/// Number of patches after which the writer stores a snapshot.
const PATCHES_PER_SNAPSHOT: u64 = 64;

impl Fleet {
    /// Reads the head and all patches newer than the known configuration.
    pub(crate) async fn refresh(self: &Rc<Fleet>) -> Result<(), TableError> {
        let sent = clock::now();
        let (head, _) = self.fetch_head().await?;
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
        self.execute(actions);
        Ok(())
    }

    /// Refreshes in the background, at most one read at a time.
    pub(super) fn spawn_refresh(self: &Rc<Fleet>) {
        if self.refreshing.replace(true) {
            return;
        }
        let fleet = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = fleet.refresh().await {
                warn!(fleet.log, ""; "event" => "table_unread", "error" => %error);
            }
            fleet.refreshing.set(false);
        });
    }

    /// Returns the content and the revision of the head row, or defaults if the
    /// table is new.
    pub(super) async fn fetch_head(&self) -> Result<(Head, u64), TableError> {
        let rows = self.table.read(&Read::Keys(vec![HEAD_KEY.to_owned()])).await?;
        match rows.rows.first() {
            Some(row) => Ok((decode(row)?, row.revision)),
            None => Ok(Default::default()),
        }
    }

    /// Returns the id of the patch that made `number`.
    pub(super) async fn patch_id_at(
        &self,
        number: Number,
    ) -> Result<Option<RequestId>, TableError> {
        let rows = self.table.read(&Read::Keys(vec![delta_key(number)])).await?;
        rows.rows.first().map(|row| decode::<Patch>(row).map(|patch| patch.id)).transpose()
    }

    /// Restores the snapshot of `number` from the object store, if it is there.
    async fn load_snapshot(self: &Rc<Fleet>, number: Number) {
        let loaded = self.objects.get(&snapshot_key(number)).await;
        match loaded {
            Ok(Some(bytes)) => match rmp_serde::from_slice::<Snapshot>(&bytes) {
                Ok(snapshot) => {
                    let actions = self.gossip.borrow_mut().restore(snapshot);
                    self.execute(actions);
                }
                Err(error) => {
                    warn!(self.log, ""; "event" => "snapshot_unreadable", "number" => number.0,
                        "error" => %error);
                }
            },
            // Without the snapshot, all patches since the beginning are read.
            Ok(None) => {}
            Err(error) => {
                warn!(self.log, ""; "event" => "snapshot_unread", "number" => number.0, "error" => %error);
            }
        }
    }

    /// Reads and applies the next patches.
    async fn load_deltas(&self) -> Result<(), TableError> {
        let from = delta_key(self.number().next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS_PER_READ }).await?;
        if rows.rows.is_empty() {
            return Err(TableError::Lost("the head names a patch that is not there".to_owned()));
        }
        for row in &rows.rows {
            self.apply(decode(row)?)?;
        }
        Ok(())
    }

    /// Applies a patch that is in the table, unless another read or a peer has
    /// already delivered it. Fails if the patch does not fit, as none of this project's writers
    /// has checked it.
    pub(super) fn apply(&self, patch: Patch) -> Result<(), TableError> {
        let config = self.config();
        if patch.against != config.number {
            return Ok(());
        }
        let next = config.patched(&patch).map_err(|error| TableError::Unreadable {
            key: delta_key(config.number.next()),
            error: error.to_string(),
        })?;
        self.gossip.borrow_mut().add_patch(patch, &next);
        self.adopt(next);
        Ok(())
    }

    /// Stores a snapshot if one is due. After a failure, a daemon that joins only
    /// takes longer to read the patches.
    pub(super) async fn store_snapshot_if_due(&self, number: Number) {
        if !number.0.is_multiple_of(PATCHES_PER_SNAPSHOT) || number != self.number() {
            return;
        }
        let snapshot = self.gossip.borrow().snapshot(&self.config());
        let bytes = rmp_serde::to_vec(&snapshot).expect("a configuration serialises");
        let stored = self.objects.put(&snapshot_key(number), Bytes::from(bytes)).await;
        if let Err(error) = stored {
            warn!(self.log, ""; "event" => "snapshot_unstored", "error" => %error);
            return;
        }
        // The head names the snapshot only after it is stored completely.
        let Ok((head, revision)) = self.fetch_head().await else { return };
        let head = Head { snapshot: number, ..head };
        let txn = Txn {
            conditions: vec![Condition { key: HEAD_KEY.to_owned(), revision }],
            writes: vec![Write { key: HEAD_KEY.to_owned(), value: Some(encode(&head)) }],
        };
        let _ = self.table.txn(&txn).await;
    }

    /// Returns the patches after number `after`, oldest first. One request returns
    /// a limited number of them.
    pub(crate) async fn history(&self, after: Number) -> Result<Vec<(Number, Patch)>, TableError> {
        let from = delta_key(after.next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS_PER_READ }).await?;
        let patches = rows.rows.iter().map(decode::<Patch>);
        patches.map(|patch| patch.map(|patch| (patch.against.next(), patch))).collect()
    }
}

/// Decodes the value of a row of the table. Fails if another writer has written it.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, TableError> {
    serde_json::from_str(&row.value)
        .map_err(|error| TableError::Unreadable { key: row.key.clone(), error: error.to_string() })
}

/// Encodes the value of a row of the table.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows serialise")
}
