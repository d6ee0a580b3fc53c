//! Stand-in for the platform's registry of rows.
//!
//! It serves reads, conditional transactions and a feed of changes. The handle
//! writes the rows of the operator and of the upstreams.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::{
    Method, StatusCode,
    header::{HeaderName, HeaderValue},
};
use futures_util::FutureExt;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::{Value, json};
use serde_with::{base64::Base64, serde_as};

use crate::{
    changes::{Changes, wait_until},
    server::{
        Behaviour, Handler, Server,
        call::{self, Answer, Call},
    },
};

/// Most rows in one answer.
const MAX_PAGE_ROWS: usize = 500;

/// Table and key.
type RowKey = (String, String);

/// A change: version, row key, and new value in wire encoding or `None` if removed.
type Change = (u64, RowKey, Option<Value>);

/// A running registry.
pub struct Registry {
    server: Server,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    rows: RefCell<BTreeMap<RowKey, (Value, u64)>>,
    history: RefCell<Vec<Change>>,
    /// All changes since the start, also those that the history no longer has.
    log: RefCell<Vec<Change>>,
    /// Number of returns from an older copy, which each answer states.
    era: Cell<u64>,
    /// Version up to which the history was dropped.
    dropped_until: RefCell<u64>,
    version: RefCell<u64>,
    changes: Changes,
    /// Feeds that begin now receive nothing until their wait is over.
    delayed: Cell<bool>,
    /// Number of feeds that began while `delayed` was set, by table.
    delayed_feeds: RefCell<BTreeMap<String, u32>>,
    /// Longest wait that a feed requested, in milliseconds, by table.
    longest_waits: RefCell<BTreeMap<String, u64>>,
}

impl Registry {
    /// Starts an empty registry on `address`, on the current thread. Fails
    /// when the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Registry> {
        let state = Rc::<State>::default();
        let server = Server::start(address, Behaviour::new(handler(&state)))?;
        Ok(Registry { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Writes a row as the operator or an upstream does and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        self.put_bytes(table, key, value.to_string().as_bytes())
    }

    /// Writes a row whose value need not be JSON and returns its version.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.state.write(vec![((table.to_owned(), key.to_owned()), Some(encode(value)))])
    }

    /// Writes a row whose answers hold `value` as it is, where base64 is due.
    pub fn put_unencoded(&self, table: &str, key: &str, value: Value) -> u64 {
        self.state.write(vec![((table.to_owned(), key.to_owned()), Some(value))])
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.write(vec![((table.to_owned(), key.to_owned()), None)]);
    }

    /// Drops the history, so that feeds must start again from a full read.
    pub fn drop_history(&self) {
        let version = *self.state.version.borrow();
        *self.state.dropped_until.borrow_mut() = version;
        self.state.history.borrow_mut().clear();
        self.state.changes.notify();
    }

    /// Returns the version of the newest change.
    pub fn version(&self) -> u64 {
        *self.state.version.borrow()
    }

    /// Comes back from the copy made at `version`: later changes are gone, and their versions
    /// are given out again.
    pub fn rewind(&self, version: u64) {
        self.state.rewind(version);
    }

    /// Sets whether feeds that begin from now on are delayed. A feed that began
    /// delayed stays so: it is answered at the end of its wait, with all
    /// changes since.
    pub fn set_feeds_delayed(&self, delayed: bool) {
        self.state.delayed.set(delayed);
    }

    /// Returns how many feeds of a table began delayed.
    pub fn delayed_feeds(&self, table: &str) -> u32 {
        self.state.delayed_feeds.borrow().get(table).copied().unwrap_or_default()
    }

    /// Returns the longest wait that a feed of a table requested, in milliseconds.
    pub fn longest_wait(&self, table: &str) -> u64 {
        self.state.longest_waits.borrow().get(table).copied().unwrap_or_default()
    }

    /// Returns the keys of a table, in order.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.state.rows.borrow();
        rows.keys().filter(|(of, _)| of == table).map(|(_, key)| key.clone()).collect()
    }
}

impl State {
    fn write(&self, writes: Vec<(RowKey, Option<Value>)>) -> u64 {
        *self.version.borrow_mut() += 1;
        let version = *self.version.borrow();
        for (key, value) in writes {
            match &value {
                Some(text) => {
                    self.rows.borrow_mut().insert(key.clone(), (text.clone(), version));
                }
                None => drop(self.rows.borrow_mut().remove(&key)),
            }
            self.log.borrow_mut().push((version, key.clone(), value.clone()));
            self.history.borrow_mut().push((version, key, value));
        }
        self.changes.notify();
        version
    }

    fn rewind(&self, version: u64) {
        self.log.borrow_mut().retain(|(at, ..)| *at <= version);
        self.history.borrow_mut().retain(|(at, ..)| *at <= version);
        let mut rows = BTreeMap::new();
        for (at, key, value) in self.log.borrow().iter() {
            match value {
                Some(text) => drop(rows.insert(key.clone(), (text.clone(), *at))),
                None => drop(rows.remove(key)),
            }
        }
        *self.rows.borrow_mut() = rows;
        *self.version.borrow_mut() = version;
        let dropped = *self.dropped_until.borrow();
        *self.dropped_until.borrow_mut() = dropped.min(version);
        self.era.set(self.era.get() + 1);
        self.changes.notify();
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Answer {
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let rows = self.rows.borrow();
        let limit = query.get("limit").and_then(|text| text.parse().ok()).unwrap_or(MAX_PAGE_ROWS);
        let mut all = rows
            .range((table.clone(), from)..)
            .take_while(|((of, _), _)| *of == table)
            .map(|((table, key), (value, ver))| row(table, key, Some(value), *ver));
        let found: Vec<Value> = all.by_ref().take(limit.min(MAX_PAGE_ROWS)).collect();
        let more = all.next().is_some();
        call::json(&json!({"rows": found, "morePages": more, "ver": *self.version.borrow(),
            "nowMs": 0}))
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Answer {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let millis = number("waitMs").unwrap_or_default();
        let wait = Duration::from_millis(millis);
        let longest =
            self.longest_waits.borrow().get(&table).copied().unwrap_or_default().max(millis);
        self.longest_waits.borrow_mut().insert(table.clone(), longest);
        let pending = || {
            let history = self.history.borrow();
            let newer = |(ver, (of, _), _): &&Change| *ver > after && *of == table;
            history.iter().filter(newer).cloned().collect::<Vec<Change>>()
        };
        // A feed may also begin after a version that the store does not have any more.
        let dropped = || after < *self.dropped_until.borrow() || after > *self.version.borrow();
        let delayed = self.delayed.get();
        if delayed {
            *self.delayed_feeds.borrow_mut().entry(table.clone()).or_default() += 1;
        }
        let changed = wait_until(self.changes.subscribe(), || {
            !delayed && (!pending().is_empty() || dropped())
        });
        // When the wait ends without a change, the answer has no rows.
        let _ = tokio::time::timeout(wait, changed).await;
        if dropped() {
            return call::text(StatusCode::GONE, "the history is gone");
        }
        let rows: Vec<Value> = pending()
            .iter()
            .map(|(ver, (table, key), value)| row(table, key, value.as_ref(), *ver))
            .collect();
        call::json(&json!({"rows": rows, "ver": *self.version.borrow(), "nowMs": 0}))
    }

    fn transact(&self, call: &Call) -> Answer {
        let txn: Value = match call.json() {
            Ok(txn) => txn,
            Err(refusal) => return refusal,
        };
        let list = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let holds = |row: &Value| {
            let ver = self.rows.borrow().get(&key(row)).map_or(0, |(_, ver)| *ver);
            row["ver"].as_u64() == Some(ver)
        };
        if list("expectRevision").iter().any(|row| !holds(row)) {
            let body = json!({"rows": [], "ver": *self.version.borrow(), "nowMs": 0});
            return call::status_json(StatusCode::PRECONDITION_FAILED, &body);
        }
        let value = |row: &Value| row.get("value").filter(|value| value.is_string()).cloned();
        let mut writes: Vec<_> = list("put").iter().map(|row| (key(row), value(row))).collect();
        writes.extend(list("remove").iter().map(|row| (key(row), None)));
        let ver = self.write(writes);
        call::json(&json!({"ver": ver, "nowMs": 0}))
    }
}

fn handler(state: &Rc<State>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        async move {
            let query = parse_query(&call.query);
            let mut answer = match (&call.method, call.path.as_str()) {
                (&Method::GET, "/v1/rows-get") => state.read(&query),
                (&Method::GET, "/v1/rows-feed") => state.feed(&query).await,
                (&Method::POST, "/v1/rows-tx") => state.transact(&call),
                _ => call::unknown(),
            };
            let era = HeaderValue::from(state.era.get());
            answer.headers_mut().insert(HeaderName::from_static("store-era"), era);
            answer
        }
        .boxed_local()
    })
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decoded = |value: &str| percent_decode_str(value).decode_utf8_lossy().into_owned();
    pairs.map(|(name, value)| (name.to_owned(), decoded(value))).collect()
}

fn row(table: &str, key: &str, value: Option<&Value>, ver: u64) -> Value {
    match value {
        Some(value) => {
            json!({"table": table, "part": "", "key": key, "value": value, "ver": ver})
        }
        None => json!({"table": table, "part": "", "key": key, "ver": ver, "deleted": true}),
    }
}

/// Bytes that are base64 on the wire.
#[serde_as]
#[derive(Serialize)]
#[serde(transparent)]
struct Encoded<'a>(#[serde_as(as = "Base64")] &'a [u8]);

fn encode(bytes: &[u8]) -> Value {
    serde_json::to_value(Encoded(bytes)).expect("bytes always encode")
}
