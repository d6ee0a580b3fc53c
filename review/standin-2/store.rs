//! The platform's store: rows in tables, with a feed of changes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::standin::{
    http::{self, Conn, Request},
    json::{Json, base64},
};

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(u64, Key, Option<String>)>,
}

impl State {
    fn put(&mut self, key: Key, value: Option<String>) {
        self.history.push((self.version, key.clone(), value.clone()));
        match value {
            Some(value) => self.rows.insert(key, (self.version, value)),
            None => self.rows.remove(&key),
        };
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    started: Instant,
}

fn row(key: &Key, version: u64, value: Option<&str>) -> String {
    let (table, part, name) = key;
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{name}\",\"ver\":{version},{rest}}}")
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let mut store = Store { state, address, started: Instant::now() };
        let own = store.clone();
        store.address = http::serve(address, move |request, conn| own.handle(&request, conn));
        store
    }

    /// Writes a row of the operator or a runner. When it returns, the write is acknowledged.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.write(table, key, Some(base64(json.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        state.put((table.to_owned(), String::new(), key.to_owned()), value);
        changed.notify_all();
    }

    fn handle(&self, request: &Request, conn: &mut Conn) -> io::Result<bool> {
        let call = request.path.split('?').next().unwrap_or_default();
        let (status, body) = match (request.method.as_str(), call) {
            ("GET", "/v1/rows-get") => self.get(request),
            ("GET", "/v1/rows-feed") => self.feed(request),
            ("POST", "/v1/rows-tx") => self.transact(request),
            _ => (404, "{}".to_owned()),
        };
        let json = [("Content-Type", "application/json")];
        conn.answer(status, &json, &body)?;
        Ok(true)
    }

    fn tail(&self, version: u64) -> String {
        format!("\"ver\":{version},\"nowMs\":{}", self.started.elapsed().as_millis())
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let wanted = |name| request.query(name).unwrap_or_default();
        let (table, part, from) = (wanted("table"), wanted("part"), wanted("from"));
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == part && key.2 >= from
        });
        let rows: Vec<String> = rows.map(|(key, (version, value))| row(key, *version, Some(value))).collect();
        let tail = self.tail(state.version);
        (200, format!("{{\"rows\":[{}],\"morePages\":false,{tail}}}", rows.join(",")))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after"), number("waitMs"));
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| row(key, *version, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let tail = self.tail(state.version);
                return (200, format!("{{\"rows\":[{}],{tail}}}", rows.join(",")));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let key = |entry: &Json| -> Key {
            let text = |name| entry.get(name).text().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expected = body.get("expectRevision").list();
        let holds = expected.iter().all(|entry| {
            let known = state.rows.get(&key(entry)).map_or(0, |(version, _)| *version);
            entry.get("ver").number() == Some(known)
        });
        if !holds {
            let rows = expected.iter().filter_map(|entry| {
                let key = key(entry);
                state.rows.get(&key).map(|(version, value)| row(&key, *version, Some(value)))
            });
            let rows: Vec<String> = rows.collect();
            let tail = self.tail(state.version);
            return (412, format!("{{\"rows\":[{}],{tail}}}", rows.join(",")));
        }
        state.version += 1;
        for entry in body.get("put").list() {
            let value = entry.get("value").text().unwrap_or_default().to_owned();
            state.put(key(entry), Some(value));
        }
        for entry in body.get("remove").list() {
            state.put(key(entry), None);
        }
        changed.notify_all();
        (200, format!("{{{}}}", self.tail(state.version)))
    }
}
