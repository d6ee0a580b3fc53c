//! The platform's store: rows with versions, reads, feeds and transactions.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Request, serve},
    json::{Json, base64},
};

#[derive(Default)]
struct State {
    version: u64,
    /// Content and version of each row; `None` if it was removed.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().expect("it is bound");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        serve(listener, move |conn| served.handle(conn));
        (store, address)
    }

    /// Writes a row of the operator or of a server. Returns the version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(&[(table.to_owned(), key.to_owned(), Some(base64(value.as_bytes())))])
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(&[(table.to_owned(), key.to_owned(), None)])
    }

    fn write(&self, changes: &[(String, String, Option<String>)]) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (table, key, value) in changes {
            state.rows.insert((table.clone(), key.clone()), (value.clone(), version));
        }
        self.changed.notify_all();
        version
    }

    fn handle(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_request() {
            std::thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if conn.reply(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let from = parameter("from").map(|text| decode(&text)).unwrap_or_default();
                let state = self.state.lock().unwrap();
                let rows = state.rows.iter().filter(|((row, key), (value, _))| {
                    *row == table && *key >= from && value.is_some()
                });
                (200, page(self, &state, rows.collect()))
            }
            "/v1/rows-feed" => {
                let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let mut state = self.state.lock().unwrap();
                loop {
                    let changed =
                        |((row, _), (_, version)): &Row<'_>| *row == table && *version > after;
                    let mut rows: Vec<Row<'_>> = state.rows.iter().filter(changed).collect();
                    let rest = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || rest.is_zero() {
                        rows.sort_by_key(|(_, (_, version))| *version);
                        return (200, page(self, &state, rows));
                    }
                    state = self.changed.wait_timeout(state, rest).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let Some(call) = Json::parse(&request.body) else { return (400, "{}".into()) };
                let name = |row: &Json| {
                    let text = |name| row.text(name).unwrap_or_default().to_owned();
                    (text("table"), text("key"))
                };
                let mut changes = Vec::new();
                for row in call.list("put") {
                    let (table, key) = name(row);
                    changes.push((table, key, row.text("value").map(str::to_owned)));
                }
                for row in call.list("remove") {
                    let (table, key) = name(row);
                    changes.push((table, key, None));
                }
                let version = self.write(&changes);
                (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now()))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn now(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

type Row<'a> = (&'a (String, String), &'a (Option<String>, u64));

fn page(store: &Store, state: &State, rows: Vec<Row<'_>>) -> String {
    let rows = rows.into_iter().map(|((table, key), (value, version))| {
        let content = match value {
            Some(value) => format!("\"value\":\"{value}\""),
            None => "\"deleted\":true".to_owned(),
        };
        format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}"
        )
    });
    let rows: Vec<String> = rows.collect();
    let (version, now) = (state.version, store.now());
    format!(
        "{{\"rows\":[{}],\"morePages\":false,\"ver\":{version},\"nowMs\":{now}}}",
        rows.join(",")
    )
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let pair = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let pair = String::from_utf8_lossy(&pair).into_owned();
                bytes.push(u8::from_str_radix(&pair, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
