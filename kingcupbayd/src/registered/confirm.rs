//! Confirms the configuration before it denies a request.
//!
//! A caller that is told that its route or key is unknown does not retry. The store's feed may
//! have died without this entry knowing, so it asks the store once more if that has not answered
//! for a while, and other entries' read positions if the store does not answer.

use std::{cell::Cell, rc::Rc};

use kingcupbay_core::{
    deployment::waits::{CONFIRM_PAUSE, CONFIRM_TIMEOUT, DENIAL_AGE_MAX},
    time::{Instant, Span},
    wire::read_position::Table,
};
use kingcupbay_platform::store::OPERATOR_TABLE;
use slog::warn;
use tokio::sync::Mutex;

use crate::{
    clock,
    http::link::LinkError,
    registered::{Node, follow, store::StoreError},
};

/// Who has confirmed the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmedBy {
    /// The store's feed, a short while ago.
    Feed,
    /// The store, when it was asked.
    Store,
    /// Other entries, whose read positions are valid.
    Entries,
    /// Nobody: it may be outdated.
    Nobody,
}

impl ConfirmedBy {
    /// Returns the name as written to logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ConfirmedBy::Feed => "feed",
            ConfirmedBy::Store => "store",
            ConfirmedBy::Entries => "entries",
            ConfirmedBy::Nobody => "nobody",
        }
    }
}

/// Calls that ask the store whether the configuration is the newest.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Held during a call: requests that arrive meanwhile wait for its answer.
    turn: Mutex<()>,
    /// When the last call failed.
    failed: Cell<Option<Instant>>,
}

/// Finds out who confirms the configuration. `newer_elsewhere` says whether another entry has a
/// newer one. The store's answer is applied.
pub(crate) async fn confirm(node: &Rc<Node>, newer_elsewhere: bool) -> ConfirmedBy {
    if is_recent(node) && !newer_elsewhere {
        return ConfirmedBy::Feed;
    }
    let asked = clock::now();
    let _turn = node.confirmation.turn.lock().await;
    if is_read_since(node, asked) || ask_store(node).await {
        return ConfirmedBy::Store;
    }
    let by_entries = node.read_positions.borrow().remaining(clock::now(), Table::Operator);
    match by_entries {
        Some(_) => ConfirmedBy::Entries,
        None => ConfirmedBy::Nobody,
    }
}

/// Returns how long ago the store last confirmed the configuration, to this entry itself.
pub(crate) fn age(node: &Node) -> Option<Span> {
    node.read_positions.borrow().own_age(clock::now(), Table::Operator)
}

fn is_recent(node: &Node) -> bool {
    age(node).is_some_and(|age| age <= DENIAL_AGE_MAX)
}

fn is_read_since(node: &Node, since: Instant) -> bool {
    age(node).is_some_and(|age| age <= clock::now().since(since))
}

/// Asks the store for changes of the operator's rows. Returns whether it has confirmed what is
/// known.
async fn ask_store(node: &Rc<Node>) -> bool {
    let failed = node.confirmation.failed.get();
    if failed.is_some_and(|at| clock::now().since(at) < CONFIRM_PAUSE) {
        return false;
    }
    let known = node.read_positions.borrow().known(Table::Operator);
    let feed = node.store.feed(OPERATOR_TABLE, known, Span::ZERO);
    let silent = || Err(StoreError::Link(LinkError::Silent));
    match clock::timeout(CONFIRM_TIMEOUT, feed).await.unwrap_or_else(silent) {
        Ok(page) => {
            let is_whole = !page.more;
            follow::apply_page(node, Table::Operator, page);
            is_whole
        }
        Err(error) => {
            node.confirmation.failed.set(Some(clock::now()));
            warn!(node.log, ""; "event" => "unconfirmed", "error" => %error,
                "age_ms" => age(node).map(Span::as_millis));
            false
        }
    }
}
