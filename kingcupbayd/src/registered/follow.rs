//! Keeps the catalogue up to date from the store's feeds.

use std::rc::Rc;

use kingcupbay_core::{
    config::model::Role,
    deployment::{catalogue::Member, waits},
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
            (_, Role::Upstream) => waits::SIDECAR_FEED,
            (Table::Operator | Table::Upstreams, Role::Entry) => waits::ENTRY_FEED,
            (Table::Entries, Role::Entry) => waits::MEMBERS_FEED,
        }
    }

    /// Pause between two calls.
    fn pause(self) -> Span {
        match self {
            Table::Operator => waits::OPERATOR_PAUSE,
            Table::Upstreams | Table::Entries => waits::OTHER_PAUSE,
        }
    }
}

/// Follows `table` for ever.
pub(crate) async fn follow(node: Rc<Node>, table: Table) {
    let mut pause = waits::RETRY_MIN;
    let mut failed = None;
    loop {
        let error = match read(&node, table).await {
            Ok((rows, version)) => {
                if node.fencing.get().is_none() {
                    node.fencing.set(Some(version));
                }
                take_all(&node, table, rows, version, failed.is_some());
                pause = waits::RETRY_MIN;
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
            pause = Span::from_micros(pause.as_micros() * 2).min(waits::RETRY_MAX);
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
                "version" => version, "after_outage" => after_outage,
                "kept_missing" => kept.join(","));
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
                    "born" => instance.born, "count" => instance.count,
                    "version" => row.version);
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
