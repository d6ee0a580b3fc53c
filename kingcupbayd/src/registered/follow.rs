//! Keeps the catalogue up to date from the store's feeds.

use std::rc::Rc;

use kingcupbay_core::{
    config::model::Role,
    deployment::{catalogue::Member, limiters::LIMITERS_MAX, waits},
    time::{Instant, Span},
    wire::{
        evacuation::ZoneState,
        read_position::{ChangeKind, Table, TableChange},
        rows::{Row, RowChange, RowKey, RowPage, era, number},
        sidecar::AnnouncedVersion,
    },
};
use kingcupbay_platform::{
    operator, registration,
    store::{OPERATOR_TABLE, UPSTREAM_TABLE},
};
use slog::{error, info, warn};

use crate::{
    clock,
    registered::{Node, evacuations, members::ENTRY_TABLE, rows, specs, store::StoreError},
};

/// Returns the name of a table in the store.
pub(super) fn table_name(table: Table) -> &'static str {
    match table {
        Table::Operator => OPERATOR_TABLE,
        Table::Upstreams => UPSTREAM_TABLE,
        Table::Entries => ENTRY_TABLE,
    }
}

/// Returns how long a feed waits for a first change. `listens` says whether other
/// entries report changes of the table too.
fn feed_wait(node: &Node, table: Table, listens: bool) -> Span {
    let followed = node.entries.get() > LIMITERS_MAX;
    match (table, node.settings.daemon.role) {
        (_, Role::Upstream) if node.follows_rarely() => Span::ZERO,
        (_, Role::Upstream) => waits::SIDECAR_FEED_WAIT,
        (Table::Operator, Role::Entry) if listens => waits::LISTENER_FEED_WAIT,
        (Table::Operator, Role::Entry) if followed && node.reader.get() => {
            waits::FOLLOWED_FEED_WAIT
        }
        (Table::Operator, Role::Entry) => waits::OPERATOR_FEED_WAIT,
        (Table::Upstreams, Role::Entry) if node.reader.get() => waits::UPSTREAMS_FEED_WAIT,
        (Table::Upstreams, Role::Entry) => waits::OWN_UPSTREAMS_FEED_WAIT,
        (Table::Entries, Role::Entry) => waits::ENTRIES_FEED_WAIT,
    }
}

/// Returns the pause after a call that returned changes.
fn feed_pause(node: &Node, table: Table) -> Span {
    match (table, node.settings.daemon.role) {
        (_, Role::Upstream) => waits::SIDECAR_FEED_PAUSE,
        (Table::Operator, Role::Entry) => waits::OPERATOR_FEED_PAUSE,
        (Table::Entries, Role::Entry) if !node.reader.get() => waits::OWN_ENTRIES_FEED_PAUSE,
        (Table::Upstreams, Role::Entry) if !node.reader.get() => waits::OWN_UPSTREAMS_FEED_PAUSE,
        (Table::Upstreams | Table::Entries, Role::Entry) => waits::OTHER_FEED_PAUSE,
    }
}

/// Follows `table` forever.
pub(crate) async fn follow(node: Rc<Node>, table: Table) {
    let mut pause = waits::RETRY_PAUSE_MIN;
    let mut failing_since = None;
    loop {
        let error = match read_table(&node, table).await {
            Ok((rows, version)) => {
                if node.fencing.get().is_none() {
                    node.fencing.set(Some(version));
                }
                let known = node.read_positions.borrow().known(table);
                let after = if known > 0 && era(known) != era(version) {
                    ListedAfter::Rewind
                } else if failing_since.is_some() {
                    ListedAfter::Outage
                } else {
                    ListedAfter::Feed
                };
                apply_table(&node, table, rows, version, after);
                pause = waits::RETRY_PAUSE_MIN;
                failing_since = None;
                follow_feed(&node, table).await
            }
            Err(error) => error,
        };
        if matches!(error, StoreError::Rewound) {
            tokio::time::sleep(reread_delay(&node).into()).await;
        } else if !matches!(error, StoreError::HistoryDropped) {
            let since = *failing_since.get_or_insert_with(clock::now);
            warn!(node.log, ""; "event" => "feed_lost", "table" => table_name(table),
                "error" => %error, "for_ms" => clock::now().since(since).as_millis());
            if table == Table::Operator {
                node.store_lost();
                fetch_from_seeds(&node).await;
            }
            tokio::time::sleep(pause.into()).await;
            pause = Span::from_micros(pause.as_micros() * 2).min(waits::RETRY_PAUSE_MAX);
            if table != Table::Operator {
                wait_for_store(&node).await;
            }
        }
    }
}

/// Returns how long to wait before a table is read again once the store has come back from
/// an older copy. All daemons learn of that at the same time, and the readers go first.
fn reread_delay(node: &Node) -> Span {
    match node.settings.daemon.role == Role::Entry && node.reader.get() {
        true => Span::ZERO,
        false => Span::from_micros(node.incarnation % waits::REREAD_DELAY_MAX.as_micros()),
    }
}

/// Waits until the store is available again, which the operator table's feed finds out.
async fn wait_for_store(node: &Node) {
    while node.store.unavailable_since().is_some() {
        tokio::time::sleep(waits::RETRY_PAUSE_MIN.into()).await;
    }
}

/// Reads every row of a table. Returns them with the version from which to follow the
/// feed: that of the first page. Rows that changed while later pages were read are
/// returned again by the feed.
async fn read_table(node: &Node, table: Table) -> Result<(Vec<Row>, u64), StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    let mut oldest = None;
    loop {
        let from = rows.last().map_or(String::new(), |row| row.key.key.clone());
        let page = node.store.read(table_name(table), &from).await?;
        let version = *oldest.get_or_insert(page.version);
        if era(page.version) != era(version) {
            return Err(StoreError::Rewound);
        }
        let before = rows.len();
        // A page begins with the last row of the previous one.
        rows.extend(page.rows.into_iter().filter_map(|change| match change {
            RowChange::Put(row) if before == 0 || row.key.key != from => Some(row),
            RowChange::Put(_) | RowChange::Removed(..) => None,
        }));
        if !page.more || rows.len() == before {
            return Ok((rows, version));
        }
    }
}

/// Applies changes until a call fails, and returns the error.
async fn follow_feed(node: &Rc<Node>, table: Table) -> StoreError {
    let mut before = false;
    loop {
        let listens = node.listen_time(table).is_some();
        if listens != std::mem::replace(&mut before, listens) {
            let known = node.read_positions.borrow().known(table);
            info!(node.log, ""; "event" => if listens { "listens" } else { "reads" },
                "table" => table_name(table), "version" => known);
        }
        if let Some(rest) = node.spec_remaining(clock::now()) {
            // The state is checked again, whichever ends first.
            tokio::select! {
                () = tokio::time::sleep(rest.into()) => {}
                () = node.behind.notified() => {}
                () = node.evacuated.notified() => {}
            }
            continue;
        }
        if listens && (table != Table::Operator || node.follower.get()) {
            node.read_due(table).await;
            continue;
        }
        let store_failure = node.store_failure.notified();
        let wait = feed_wait(node, table, listens);
        let after = node.read_positions.borrow().known(table);
        let began = clock::now();
        let feed = node.store.feed(table_name(table), after, wait);
        let page = tokio::select! {
            page = feed => page,
            // Another call to the store failed, so this one may hang too.
            () = store_failure, if table != Table::Operator => {
                return StoreError::Link(crate::http::link::LinkError::Silent);
            }
            // Other entries know of newer changes, or have stopped reporting. The
            // connection may be dead.
            () = node.read_due(table), if listens => {
                node.pool.forget(node.registry.store);
                continue;
            }
        };
        match page {
            Ok(page) => {
                let changed = !page.rows.is_empty();
                let took = clock::now().since(began);
                if changed && took >= wait && wait > Span::ZERO {
                    // A change ends the wait early, unless the store missed it for this
                    // feed.
                    warn!(node.log, ""; "event" => "feed_deaf", "table" => table_name(table),
                        "ms" => took.as_millis(), "wait_ms" => wait.as_millis(),
                        "rows" => page.rows.len(), "version" => page.version,
                        "reported" => node.read_positions.borrow().is_behind(table));
                }
                apply_page(node, table, page);
                node.spec_confirmed.set(Some(clock::now()));
                if changed && !node.follows_rarely() {
                    tokio::time::sleep(feed_pause(node, table).into()).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// Applies a page of a feed.
pub(crate) fn apply_page(node: &Rc<Node>, table: Table, page: RowPage) {
    let known = node.read_positions.borrow().known(table);
    let last = page.rows.last().map(RowChange::version);
    // Changes that did not fit are returned by the next call.
    let version = if page.more { last.unwrap_or(known) } else { page.version };
    let now = clock::now();
    let mut reports = Vec::new();
    for change in page.rows {
        // Another entry may have reported the change since the call began.
        if change.version() > known {
            reports.extend(apply_change(node, table, change));
        }
    }
    node.read_positions.borrow_mut().on_page(now, table, version, reports);
    if table == Table::Operator
        && let Some(last) = last
    {
        node.read_positions.borrow_mut().on_unreported(table, last);
    }
}

/// Fetches rows from the seeds until a configuration is known, as the store is not
/// available.
async fn fetch_from_seeds(node: &Rc<Node>) {
    if node.deployment().is_some() {
        return;
    }
    let own = node.peer_address;
    for &seed in node.registry.seeds.iter().filter(|&&seed| seed != own) {
        if rows::fetch(node, seed).await && node.deployment().is_some() {
            return;
        }
    }
}

/// Why a table was listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListedAfter {
    /// The feed cannot go on from the known version, or none was known.
    Feed,
    /// The store did not answer. Registrations may have expired meanwhile.
    Outage,
    /// The store came back from an older copy, and lacks what was written since. The
    /// operator and the upstreams write it again.
    Rewind,
}

/// Applies a complete table.
fn apply_table(node: &Rc<Node>, table: Table, rows: Vec<Row>, version: u64, after: ListedAfter) {
    let now = clock::now();
    match table {
        Table::Operator => {
            let zones = evacuations::listed(&rows);
            for row in rows {
                apply_change(node, table, RowChange::Put(row));
            }
            evacuations::on_list(node, version, &zones);
        }
        Table::Upstreams => {
            let instances = rows.iter().filter_map(|row| {
                let decoded = registration::decode_instance(row);
                decoded.inspect_err(|error| log_unreadable(node, &row.key, error)).ok()
            });
            let instances: Vec<_> = instances.collect();
            let count = instances.len();
            let mut catalogue = node.catalogue.borrow_mut();
            let after_outage = after != ListedAfter::Feed;
            let kept = catalogue.on_instances(now, instances, version, after_outage);
            info!(node.log, ""; "event" => "upstreams_read", "count" => count,
                "version" => version, "after_outage" => after_outage,
                "kept_missing" => kept.join(","));
        }
        Table::Entries => apply_entries(node, &rows, version, after == ListedAfter::Rewind),
    }
    node.read_positions.borrow_mut().on_list(now, table, version);
    node.spec_confirmed.set(Some(now));
    if after == ListedAfter::Rewind {
        info!(node.log, ""; "event" => "reread", "table" => table_name(table),
            "era" => era(version), "number" => number(version));
    }
    node.changed.notify_waiters();
}

/// Applies the list of entries, unless other entries have reported newer changes
/// already. `rewound` says whether it may lack entries that will register again.
fn apply_entries(node: &Node, rows: &[Row], version: u64, rewound: bool) {
    let known = node.read_positions.borrow().known(Table::Entries);
    if version < known {
        info!(node.log, ""; "event" => "entries_outdated", "version" => version,
            "known" => known);
        return;
    }
    let members: Vec<Member> = rows.iter().filter_map(|row| member(node, row)).collect();
    let mut catalogue = node.catalogue.borrow_mut();
    match rewound {
        true => catalogue.on_members_rewound(clock::now(), members, node.host()),
        false => catalogue.on_members(members),
    }
}

/// Applies one change. Returns what to report of it to other entries.
fn apply_change(node: &Rc<Node>, table: Table, change: RowChange) -> Option<TableChange> {
    let now = clock::now();
    let version = change.version();
    let kind = match (table, change) {
        (Table::Operator, change) => {
            apply_operator_change(node, change);
            None
        }
        (Table::Upstreams, RowChange::Put(row)) => match registration::decode_instance(&row) {
            Ok(instance) => {
                info!(node.log, ""; "event" => "upstream", "id" => &instance.id,
                    "address" => %instance.address, "leaving" => instance.leaving,
                    "software" => &instance.software, "born" => instance.born,
                    "count" => instance.count,
                    "version" => row.version);
                let reported = node.catalogue.borrow().needs_report(&instance);
                let kind = reported.then(|| ChangeKind::Upstream(instance.clone()));
                node.catalogue.borrow_mut().on_instance(now, instance);
                kind
            }
            Err(error) => {
                log_unreadable(node, &row.key, &error);
                let id = row.key.key;
                node.catalogue.borrow_mut().on_instance_gone(now, &id, version);
                Some(ChangeKind::UpstreamGone(id))
            }
        },
        (Table::Upstreams, RowChange::Removed(key, version)) => {
            info!(node.log, ""; "event" => "upstream_gone", "id" => &key.key,
                "why" => "removed", "version" => version);
            node.catalogue.borrow_mut().on_instance_gone(now, &key.key, version);
            Some(ChangeKind::UpstreamGone(key.key))
        }
        (Table::Entries, RowChange::Put(row)) => match member(node, &row) {
            Some(member) => {
                node.catalogue.borrow_mut().on_member(member.clone());
                Some(ChangeKind::Entry(member))
            }
            // The entry registers again once it does not find itself on the list.
            None => {
                node.catalogue.borrow_mut().on_member_gone(&row.key.key);
                Some(ChangeKind::EntryGone(row.key.key))
            }
        },
        (Table::Entries, RowChange::Removed(key, _)) => {
            info!(node.log, ""; "event" => "entry_gone", "host" => &key.key);
            node.catalogue.borrow_mut().on_member_gone(&key.key);
            Some(ChangeKind::EntryGone(key.key))
        }
    };
    node.changed.notify_waiters();
    kind.map(|kind| TableChange { version, kind })
}

/// Stores and applies a change of the operator's rows.
fn apply_operator_change(node: &Rc<Node>, change: RowChange) {
    match change {
        RowChange::Put(row) => on_operator_row(node, &row, "feed"),
        RowChange::Removed(key, version) => {
            node.rows.borrow_mut().on_removal(&key, version);
            if let Some(zone) = operator::evacuated_zone(&key.key) {
                evacuations::apply(node, zone, ZoneState::restored(version), "feed");
            }
        }
    }
}

/// Stores and applies a row that another daemon has read.
pub(crate) fn on_fetched_row(node: &Rc<Node>, row: &Row) {
    on_operator_row(node, row, "fetched");
    node.changed.notify_waiters();
}

/// Applies a row of the operator and stores it for other daemons, unless it is older than
/// what this daemon acts on. `why` says where the row comes from.
fn on_operator_row(node: &Rc<Node>, row: &Row, why: &'static str) {
    if apply_operator_row(node, row, why) {
        node.rows.borrow_mut().on_row(row);
    }
}

/// Applies a row of the operator: the configuration, an announced version or an
/// evacuated availability zone. Returns whether this daemon acts on it now.
fn apply_operator_row(node: &Rc<Node>, row: &Row, why: &'static str) -> bool {
    if let Some(zone) = operator::evacuated_zone(&row.key.key) {
        let state = ZoneState { version: row.version, evacuated: !row.is_removal() };
        return evacuations::apply(node, zone, state, why);
    }
    if row.key.key == operator::CONFIG_KEY {
        match operator::decode_config(&row.value) {
            Ok(next) => {
                let number = next.number.0;
                let (routes, organisations) = (next.routes.len(), next.organisations.len());
                let taken = node.catalogue.borrow_mut().on_deployment(next);
                info!(node.log, ""; "event" => "configuration", "number" => number,
                    "taken" => taken, "routes" => routes, "organisations" => organisations,
                    "version" => row.version);
                taken
            }
            Err(error) => {
                error!(node.log, ""; "event" => "configuration_unreadable", "error" => %error,
                    "version" => row.version);
                false
            }
        }
    } else if row.key.key.starts_with(operator::VERSION_KEY_PREFIX) {
        match operator::decode_version(&row.value) {
            Ok((name, version)) => {
                let adapter = name.adapter.clone().unwrap_or_default();
                let taken = node.catalogue.borrow_mut().on_version(name.clone(), version);
                if taken && why == "feed" {
                    specs::report_version(node, AnnouncedVersion { name, version });
                }
                info!(node.log, ""; "event" => "adapter_version", "adapter" => adapter,
                    "version" => version, "taken" => taken);
                taken
            }
            Err(error) => {
                log_unreadable(node, &row.key, &error);
                false
            }
        }
    } else {
        // Other daemons may know what to do with it.
        true
    }
}

/// Decodes the registration of an entry.
fn member(node: &Node, row: &Row) -> Option<Member> {
    let decoded = serde_json::from_slice(&row.value);
    decoded.inspect_err(|error| log_unreadable(node, &row.key, error)).ok()
}

/// Logs a row that cannot be decoded.
fn log_unreadable(node: &Node, key: &RowKey, error: &dyn std::fmt::Display) {
    warn!(node.log, ""; "event" => "row_unreadable", "table" => &key.table, "key" => &key.key,
        "error" => %error);
}

impl Node {
    /// Drops the connections to the store after a failed call and notifies the other
    /// feeds, as those that wait there may never be answered.
    fn store_lost(&self) {
        self.pool.forget(self.registry.store);
        self.store_failure.notify_waiters();
    }

    /// Returns since when the store has not answered, if so.
    pub(crate) fn store_unavailable_since(&self) -> Option<Instant> {
        self.store.unavailable_since()
    }
}
