//! Confirms the configuration before it denies a request.
//!
//! A caller that is told that its route or key is unknown does not retry. The store's feed may
//! have died without this entry knowing, so it asks the store once more if that has not answered
//! for a while, and other entries' read positions if the store does not answer. The registrations
//! are confirmed by the store alone, before a stream goes on at an upstream whose software is taken
//! for the only one.

use std::{cell::Cell, rc::Rc};

use kingcupbay_core::{
    deployment::waits::{CONFIRM_PAUSE, CONFIRM_TIMEOUT, DENIAL_AGE_MAX, UPSTREAM_CONFIRM_PAUSE},
    time::{Instant, Span},
    wire::read_position::Table,
};
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

/// Calls that ask the store whether a table is the newest.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Held during a call: requests that arrive meanwhile wait for its answer.
    turn: Mutex<()>,
    /// When the last call failed.
    failed: Cell<Option<Instant>>,
    /// When the last call that was answered began.
    answered: Cell<Option<Instant>>,
}

/// Finds out who confirms the configuration. `newer_elsewhere` says whether another entry has a
/// newer one. The store's answer is applied.
pub(crate) async fn confirm(node: &Rc<Node>, newer_elsewhere: bool) -> ConfirmedBy {
    if is_recent(node) && !newer_elsewhere {
        return ConfirmedBy::Feed;
    }
    let asked = clock::now();
    let _turn = node.confirmation.turn.lock().await;
    if is_read_since(node, asked) || ask_store(node, Table::Operator).await {
        return ConfirmedBy::Store;
    }
    let by_entries = node.read_positions.borrow().remaining(clock::now(), Table::Operator);
    match by_entries {
        Some(_) => ConfirmedBy::Entries,
        None => ConfirmedBy::Nobody,
    }
}

/// Applies the registrations as they are in the store now. Returns `false` if it does not answer.
///
/// A page of the feed does not show this: an entry that was paused reads it long after it was sent.
pub(crate) async fn confirm_upstreams(node: &Rc<Node>) -> bool {
    let asked = clock::now();
    let confirmation = &node.upstream_confirmation;
    let _turn = confirmation.turn.lock().await;
    if let Some(at) = confirmation.answered.get() {
        if at >= asked {
            return true;
        }
        tokio::time::sleep(UPSTREAM_CONFIRM_PAUSE.saturating_sub(clock::now().since(at)).into())
            .await;
    }
    ask_store(node, Table::Upstreams).await
}

/// Returns how long ago the store last confirmed the configuration, to this entry itself.
pub(crate) fn age(node: &Node) -> Option<Span> {
    own_age(node, Table::Operator)
}

fn own_age(node: &Node, table: Table) -> Option<Span> {
    node.read_positions.borrow().own_age(clock::now(), table)
}

fn is_recent(node: &Node) -> bool {
    age(node).is_some_and(|age| age <= DENIAL_AGE_MAX)
}

fn is_read_since(node: &Node, since: Instant) -> bool {
    age(node).is_some_and(|age| age <= clock::now().since(since))
}

/// Asks the store for changes of `table`. Returns whether it has confirmed what is known.
async fn ask_store(node: &Rc<Node>, table: Table) -> bool {
    let confirmation = match table {
        Table::Upstreams => &node.upstream_confirmation,
        Table::Operator | Table::Entries => &node.confirmation,
    };
    let failed = confirmation.failed.get();
    if failed.is_some_and(|at| clock::now().since(at) < CONFIRM_PAUSE) {
        return false;
    }
    let began = clock::now();
    let known = node.read_positions.borrow().known(table);
    let feed = node.store.feed(follow::table_name(table), known, Span::ZERO);
    let silent = || Err(StoreError::Link(LinkError::Silent));
    match clock::timeout(CONFIRM_TIMEOUT, feed).await.unwrap_or_else(silent) {
        Ok(page) => {
            let is_whole = !page.more;
            follow::apply_page(node, table, page);
            if is_whole {
                confirmation.answered.set(Some(began));
            }
            is_whole
        }
        Err(error) => {
            confirmation.failed.set(Some(clock::now()));
            warn!(node.log, ""; "event" => "unconfirmed", "table" => follow::table_name(table),
                "error" => %error, "age_ms" => own_age(node, table).map(Span::as_millis));
            false
        }
    }
}
