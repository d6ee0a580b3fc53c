//! Registration of entries in the store. The registered entries share the organisations'
//! limits.

use std::rc::Rc;

use kingcupbay_core::{
    deployment::{catalogue::Member, registration::Registration},
    wire::rows::{RowKey, Txn, TxnAnswer},
};
use slog::{info, warn};

use crate::registered::Node;

/// Name of the entries' table.
pub(crate) const ENTRY_TABLE: &str = "entries";

/// Registers this entry, and retries until the store has accepted it.
pub(crate) async fn register(node: Rc<Node>) {
    let member = Member {
        host: node.host().to_owned(),
        role: node.settings.daemon.role,
        address: node.peer_address,
        zone: node.settings.daemon.zone.to_string(),
        incarnation: node.incarnation,
    };
    let value = serde_json::to_vec(&member).expect("a member has only strings and numbers");
    let key = RowKey { table: ENTRY_TABLE.to_owned(), key: member.host };
    let txn = Txn { conditions: Vec::new(), writes: vec![(key, Some(value))] };
    let mut registration = Registration::new(node.incarnation);
    loop {
        match node.store.transact(&txn).await {
            Ok(TxnAnswer::Committed(version)) => {
                info!(node.log, ""; "event" => "registered", "version" => version);
                node.registered.set(true);
                return;
            }
            Ok(TxnAnswer::Conflict(_)) => unreachable!("the write has no condition"),
            Err(error) => warn!(node.log, ""; "event" => "register_failed", "error" => %error),
        }
        tokio::time::sleep(registration.on_failure().into()).await;
        // The store may have carried out a write whose answer did not arrive.
        if is_listed(&node) {
            info!(node.log, ""; "event" => "registered", "why" => "listed");
            node.registered.set(true);
            return;
        }
    }
}

/// Returns whether the list of entries holds this start of this entry.
fn is_listed(node: &Node) -> bool {
    let catalogue = node.catalogue.borrow();
    let own = catalogue.members().find(|member| member.host == node.host());
    own.is_some_and(|member| member.incarnation == node.incarnation)
}

/// Registers this entry again if another entry has removed it from the list. They do so
/// after a long silence, and an entry that is not listed admits no requests that have a
/// limit. Without this, an entry that is reachable again would refuse its callers
/// forever.
pub(crate) fn ensure_listed(node: &Rc<Node>) {
    let listed = node.catalogue.borrow().members().any(|member| member.host == node.host());
    if !listed && node.registered.replace(false) {
        warn!(node.log, ""; "event" => "taken_off_list");
        drop(actix_rt::spawn(register(node.clone())));
    }
}

/// Removes an entry from the list that has been silent for long.
pub(crate) async fn remove(node: Rc<Node>, host: String) {
    let key = RowKey { table: ENTRY_TABLE.to_owned(), key: host.clone() };
    let txn = Txn { conditions: Vec::new(), writes: vec![(key, None)] };
    match node.store.transact(&txn).await {
        Ok(_) => info!(node.log, ""; "event" => "entry_removed", "host" => host),
        Err(error) => {
            warn!(node.log, ""; "event" => "entry_not_removed", "host" => host,
                "error" => %error);
        }
    }
}
