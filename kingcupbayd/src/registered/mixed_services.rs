//! Notes in the store of the services whose upstreams run different software.
//!
//! The origins of streams lie in the memory of entries. If all of them end, those that start
//! again see only the software that is left, and would let streams of another one go on there.
//! The readers write a note when a service becomes mixed and remove it some time after it was;
//! every entry reads the notes when it starts.

use std::{collections::BTreeSet, rc::Rc};

use kingcupbay_core::{
    deployment::waits::{RETRY_PAUSE_MAX, RETRY_PAUSE_MIN},
    time::Span,
    wire::rows::{RowChange, RowKey, Txn},
};
use slog::{info, warn};

use crate::{clock, gateway::Gateway};

/// Name of the table of notes, whose keys are names of services.
const NOTE_TABLE: &str = "mixed";

/// Content of a note, which says nothing beyond its key.
const NOTE: &[u8] = b"{}";

/// Pause between two comparisons of the notes with what is known, unless that changes.
const REVIEW_PAUSE: Span = Span::from_secs(1);

/// Reads the notes, and keeps them up to date forever.
pub(crate) async fn maintain(gateway: Rc<Gateway>) {
    let mut noted = read_notes(&gateway).await;
    gateway.has_read_notes.set(true);
    let node = &gateway.node;
    loop {
        let changed = node.changed.notified();
        let now = clock::now();
        let mixed: BTreeSet<String> =
            gateway.origins.borrow().mixed(now).map(str::to_owned).collect();
        if node.reader.get() {
            for service in mixed.difference(&noted.clone()) {
                if write(&gateway, service, Some(NOTE.to_vec())).await {
                    noted.insert(service.clone());
                }
            }
            for service in noted.clone().difference(&mixed) {
                if write(&gateway, service, None).await {
                    noted.remove(service);
                }
            }
        }
        // The state is checked again, whichever ends first.
        let _ = tokio::time::timeout(REVIEW_PAUSE.into(), changed).await;
    }
}

/// Reads the notes, and retries until the store has answered. Returns their services.
async fn read_notes(gateway: &Gateway) -> BTreeSet<String> {
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        match gateway.node.store.read(NOTE_TABLE, "").await {
            Ok(page) => {
                let put = |change: RowChange| match change {
                    RowChange::Put(row) => Some(row.key.key),
                    RowChange::Removed(..) => None,
                };
                let noted: BTreeSet<String> = page.rows.into_iter().filter_map(put).collect();
                let now = clock::now();
                for service in &noted {
                    info!(gateway.node.log, ""; "event" => "software_mixed",
                        "service" => service, "why" => "note");
                    gateway.origins.borrow_mut().on_note(now, service);
                }
                return noted;
            }
            Err(error) => {
                warn!(gateway.node.log, ""; "event" => "notes_unread", "error" => %error);
                tokio::time::sleep(pause.into()).await;
                pause = (pause + pause).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// Writes the note of `service`, or removes it. Returns whether the store has accepted that.
async fn write(gateway: &Gateway, service: &str, note: Option<Vec<u8>>) -> bool {
    let is_mixed = note.is_some();
    let key = RowKey { table: NOTE_TABLE.to_owned(), key: service.to_owned() };
    let txn = Txn { conditions: Vec::new(), writes: vec![(key, note)] };
    let log = &gateway.node.log;
    match gateway.node.store.transact(&txn).await {
        Ok(_) => {
            info!(log, ""; "event" => "software_noted", "service" => service, "mixed" => is_mixed);
            true
        }
        Err(error) => {
            warn!(log, ""; "event" => "software_not_noted", "service" => service,
                "error" => %error);
            false
        }
    }
}
