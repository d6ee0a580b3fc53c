//! Keeps the catalogue up to date from the store's feeds.

use std::rc::Rc;

use kingcupbay_core::{
    config::model::Role,
    deployment::catalogue::Member,
    time::{Instant, Span},
    wire::rows::{Change, Page, Row, RowKey},
};
use kingcupbay_platform::{
    operator, registration,
    store::{OPERATOR, UPSTREAMS},
};
use slog::{error, info, warn};

use crate::{
    clock,
    registered::{Node, copies, members::ENTRIES, store::StoreError},
};

/// How long an entry's feeds of the operator's rows and of upstreams wait. A
/// feed that begins while the store drops its history may stay deaf: it is
/// answered at its end only, with all that it missed. A withdrawn key has to be
/// dead by then, and an upstream that leaves gets nothing new. The first feed
/// doubles as the sign that the store is there. A deaf feed of upstreams that
/// waited 20 s sent a booking to one that had been leaving for 3.1 s.
const ENTRY_WAIT: Span = Span::from_millis(2_000);

/// How long an entry's feed of entries waits. While it is deaf, an entry that
/// others do not know yet admits its small part of the limits only.
const MEMBERS_WAIT: Span = Span::from_secs(5);

/// How long a feed of a daemon beside an engine waits. It learns of new versions
/// from the entries too.
const SIDECAR_WAIT: Span = Span::from_secs(20);

/// Pause between two calls of the operator's feed. Changes that come in quick
/// succession arrive together; all are in force within two seconds.
const OPERATOR_PAUSE: Span = Span::from_millis(150);

/// Pause between two calls of the other feeds. Each upstream writes when its
/// load of adapters changes, and each entry would be answered each time: with 44
/// upstreams, 22 entries and 41 daemons beside engines all calls together were
/// 346 a second over a quiet minute, and are 47 with the pause. An engine that
/// leaves is known sooner, from the daemon beside it.
const OTHER_PAUSE: Span = Span::from_millis(600);

/// First pause after a failed call.
const PAUSE: Span = Span::from_millis(150);

/// Longest pause, so that a daemon is up to date a second after the store is
/// back.
const PAUSE_MAX: Span = Span::from_millis(800);

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Table {
    /// The configuration and announced versions.
    Operator,
    /// Registered upstreams.
    Upstreams,
    /// Registered entries.
    Entries,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Operator => OPERATOR,
            Table::Upstreams => UPSTREAMS,
            Table::Entries => ENTRIES,
        }
    }

    /// How long a call waits for a first change.
    fn wait(self, role: Role) -> Span {
        match (self, role) {
            (_, Role::Upstream) => SIDECAR_WAIT,
            (Table::Operator | Table::Upstreams, Role::Entry) => ENTRY_WAIT,
            (Table::Entries, Role::Entry) => MEMBERS_WAIT,
        }
    }

    /// Pause between two calls.
    fn pause(self) -> Span {
        match self {
            Table::Operator => OPERATOR_PAUSE,
            Table::Upstreams | Table::Entries => OTHER_PAUSE,
        }
    }
}

/// Follows `table` for ever.
pub(crate) async fn follow(node: Rc<Node>, table: Table) {
    let mut pause = PAUSE;
    let mut failed = None;
    loop {
        let error = match read(&node, table).await {
            Ok((rows, version)) => {
                if node.fencing.get().is_none() {
                    node.fencing.set(Some(version));
                }
                take_all(&node, table, rows, version, failed.is_some());
                pause = PAUSE;
                failed = None;
                on_feed(&node, table, version).await
            }
            Err(error) => error,
        };
        if !matches!(error, StoreError::Forgotten) {
            let since = *failed.get_or_insert_with(clock::now);
            warn!(node.log, ""; "event" => "feed_lost", "table" => table.name(),
                "error" => %error, "for_ms" => clock::now().since(since).as_millis());
            if table == Table::Operator {
                node.store_lost();
                ask_others(&node).await;
            }
            tokio::time::sleep(pause.into()).await;
            pause = Span::from_micros(pause.as_micros() * 2).min(PAUSE_MAX);
        }
    }
}

/// Every row of a table, with the version of the store from which its feed goes
/// on: that of the first page. Rows of it may have changed while the others were
/// read, and the feed tells of those again.
async fn read(node: &Node, table: Table) -> Result<(Vec<Row>, u64), StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    let mut oldest = None;
    loop {
        let from = rows.last().map_or(String::new(), |row| row.key.key.clone());
        let page = node.store.read(table.name(), &from).await?;
        let version = *oldest.get_or_insert(page.version);
        let before = rows.len();
        // A page begins with the last row of the one before.
        rows.extend(page.rows.into_iter().filter_map(|change| match change {
            Change::Put(row) if before == 0 || row.key.key != from => Some(row),
            Change::Put(_) | Change::Removed(..) => None,
        }));
        if !page.more || rows.len() == before {
            return Ok((rows, version));
        }
    }
}

/// Takes changes until a call fails.
async fn on_feed(node: &Rc<Node>, table: Table, mut after: u64) -> StoreError {
    loop {
        let lost = node.lost.notified();
        let wait = table.wait(node.settings.daemon.role);
        let began = clock::now();
        let feed = node.store.feed(table.name(), after, wait);
        let page = tokio::select! {
            page = feed => page,
            // The store failed another call: this one may hang as well.
            () = lost, if table != Table::Operator => {
                return StoreError::Link(crate::http::link::LinkError::Silent);
            }
        };
        match page {
            Ok(Page { rows, version, .. }) => {
                after = after.max(version);
                let changed = !rows.is_empty();
                let took = clock::now().since(began);
                if changed && took >= wait {
                    // Changes end the wait early, unless the feed heard nothing of them.
                    warn!(node.log, ""; "event" => "feed_deaf", "table" => table.name(),
                        "ms" => took.as_millis(), "rows" => rows.len(), "version" => version);
                }
                for change in rows {
                    take(node, table, change);
                }
                if changed {
                    tokio::time::sleep(table.pause().into()).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// While the store is away, others may know more.
async fn ask_others(node: &Rc<Node>) {
    if node.deployment().is_some() {
        return;
    }
    let own = node.peers;
    for &seed in node.registry.seeds.iter().filter(|&&seed| seed != own) {
        if copies::fetch(node, seed).await && node.deployment().is_some() {
            return;
        }
    }
}

/// Takes a whole table as read.
fn take_all(node: &Rc<Node>, table: Table, rows: Vec<Row>, version: u64, after_outage: bool) {
    match table {
        Table::Operator => {
            for row in rows {
                take(node, table, Change::Put(row));
            }
        }
        Table::Upstreams => {
            let instances = rows.iter().filter_map(|row| {
                let read = registration::instance(row);
                read.inspect_err(|error| unreadable(node, &row.key, error)).ok()
            });
            let instances: Vec<_> = instances.collect();
            let (count, now) = (instances.len(), clock::now());
            let mut catalogue = node.catalogue.borrow_mut();
            let kept = catalogue.on_instances(now, instances, version, after_outage);
            info!(node.log, ""; "event" => "upstreams_read", "count" => count,
                "version" => version, "after_outage" => after_outage, "kept_missing" => kept.join(","));
        }
        Table::Entries => {
            let members = rows.iter().filter_map(|row| member(node, row)).collect();
            node.catalogue.borrow_mut().on_members(members);
        }
    }
    node.changed.notify_waiters();
}

/// Takes one change.
fn take(node: &Rc<Node>, table: Table, change: Change) {
    let now = clock::now();
    match (table, change) {
        (Table::Operator, change) => take_operator(node, change),
        (Table::Upstreams, Change::Put(row)) => match registration::instance(&row) {
            Ok(instance) => {
                info!(node.log, ""; "event" => "upstream", "id" => &instance.id,
                        "address" => %instance.address, "leaving" => instance.leaving,
                        "born" => instance.born, "version" => row.version);
                node.catalogue.borrow_mut().on_instance(now, instance);
            }
            Err(error) => {
                unreadable(node, &row.key, &error);
                let mut catalogue = node.catalogue.borrow_mut();
                catalogue.on_instance_gone(now, &row.key.key, row.version);
            }
        },
        (Table::Upstreams, Change::Removed(key, version)) => {
            info!(node.log, ""; "event" => "upstream_gone", "id" => &key.key,
                "why" => "removed", "version" => version);
            node.catalogue.borrow_mut().on_instance_gone(now, &key.key, version);
        }
        (Table::Entries, Change::Put(row)) => {
            if let Some(member) = member(node, &row) {
                node.catalogue.borrow_mut().on_member(member);
            }
        }
        (Table::Entries, Change::Removed(key, _)) => {
            info!(node.log, ""; "event" => "entry_gone", "host" => &key.key);
            node.catalogue.borrow_mut().on_member_gone(&key.key);
        }
    }
    node.changed.notify_waiters();
}

fn take_operator(node: &Rc<Node>, change: Change) {
    node.rows.borrow_mut().on_change(&change);
    let Change::Put(row) = change else { return };
    on_operator_row(node, &row);
}

/// Takes a row that another daemon has read.
pub(crate) fn on_copy(node: &Rc<Node>, row: &Row) {
    node.rows.borrow_mut().on_row(row);
    on_operator_row(node, row);
    node.changed.notify_waiters();
}

fn on_operator_row(node: &Rc<Node>, row: &Row) {
    if row.key.key == operator::CONFIG {
        match operator::config(&row.value) {
            Ok(next) => {
                let number = next.number.0;
                let (routes, organisations) = (next.routes.len(), next.organisations.len());
                let taken = node.catalogue.borrow_mut().on_deployment(next);
                info!(node.log, ""; "event" => "configuration", "number" => number,
                    "taken" => taken, "routes" => routes, "organisations" => organisations,
                    "version" => row.version);
            }
            Err(error) => error!(node.log, ""; "event" => "configuration_unreadable",
                "error" => %error, "version" => row.version),
        }
    } else if row.key.key.starts_with(operator::VERSION) {
        match operator::version(&row.value) {
            Ok((name, version)) => {
                let adapter = name.adapter.clone().unwrap_or_default();
                let taken = node.catalogue.borrow_mut().on_version(name, version);
                info!(node.log, ""; "event" => "adapter_version", "adapter" => adapter,
                    "version" => version, "taken" => taken);
            }
            Err(error) => unreadable(node, &row.key, &error),
        }
    }
}

fn member(node: &Node, row: &Row) -> Option<Member> {
    let read = serde_json::from_slice(&row.value);
    read.inspect_err(|error| unreadable(node, &row.key, error)).ok()
}

fn unreadable(node: &Node, key: &RowKey, error: &dyn std::fmt::Display) {
    warn!(node.log, ""; "event" => "row_unreadable", "table" => &key.table, "key" => &key.key,
        "error" => %error);
}

impl Node {
    /// The store failed: feeds that wait there may never be answered.
    fn store_lost(&self) {
        self.pool.forget(self.registry.store);
        self.lost.notify_waiters();
    }

    /// Since when nothing has been heard of the store.
    pub(crate) fn store_away(&self) -> Option<Instant> {
        self.store.away()
    }
}
