//! Daemons of a registered fleet as separate processes, before stand-ins of
//! the platform's store, plain services and engines.

use std::{net::SocketAddr, path::PathBuf};

use kingcupbay_standin::{
    DeclaredConfig, DeclaredOrganisation, DeclaredRoute, Registry, UpstreamServer, UpstreamSettings,
};
use serde_json::Value;

use super::{Process, client, until};

pub(crate) const KEY: &str = "key-of-the-winery";

pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A store with one configuration, and an entry that follows it.
pub(crate) struct Fleet {
    pub(crate) store: Registry,
    pub(crate) entry: Process,
}

/// The configuration `version`, in which the winery holds `keys`.
pub(crate) fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name, kind, service, max_attempts| DeclaredRoute {
        name,
        kind,
        resumable: kind == "stream",
        service,
        max_attempts,
    };
    let winery = DeclaredOrganisation {
        name: "winery".to_owned(),
        keys: keys.iter().map(|&key| key.to_owned()).collect(),
        rate: 100_000,
        plain_tokens: 100,
    };
    let declared = DeclaredConfig {
        number: version,
        routes: vec![
            route("seats", "idempotent", "desk", 2),
            route("book", "non_idempotent", "desk", 1),
            route("tour", "stream", "writer", 2),
        ],
        organisations: vec![winery],
        timeout: 10_000,
        latency_target: 800,
        adapter_slots: 2,
    };
    declared.row()
}

pub(crate) fn settings(role: &str, host: &str, store: SocketAddr, rest: &str) -> String {
    let callers = match role {
        "entry" => "[callers]\nlisten = 127.0.0.1:0\n",
        _ => "",
    };
    format!(
        "[daemon]\nhost = {host}\nzone = zone-a\nrole = {role}\n{callers}\
         [peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
         [registry]\nstore = {store}\n{rest}"
    )
}

pub(crate) fn start(role: &str, host: &str, store: &Registry, rest: &str) -> Process {
    let at = store.server().address();
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{}-{host}-{}.ini", std::process::id(), at.port()));
    std::fs::write(&file, settings(role, host, at, rest)).unwrap();
    let args = vec!["--config".to_owned(), file.display().to_string()];
    let process = Process::start("kingcupbayd", &args);
    std::fs::remove_file(&file).unwrap();
    process
}

pub(crate) fn entry(host: &str, store: &Registry, sidecars: u16) -> Process {
    start("entry", host, store, &format!("ready = 127.0.0.1:0\nsidecars = {sidecars}\n"))
}

pub(crate) fn sidecar(host: &str, store: &Registry, engine: &UpstreamServer) -> Process {
    let engine = engine.server().address();
    start("upstream", host, store, &format!("engine = {engine}\nservice = writer\n"))
}

impl Fleet {
    /// An entry that knows `config(1)`; sidecars listen at `sidecars`.
    pub(crate) async fn start(sidecars: u16) -> Fleet {
        let store = Registry::start(ANY).unwrap();
        store.put("op", "config", &config(1, &[KEY]));
        let entry = entry("entry-1", &store, sidecars);
        Fleet { store, entry }
    }

    pub(crate) fn register(&self, id: &str, service: &str, upstream: &UpstreamServer) {
        self.store.put("servers", id, &upstream.registration(service, "ready"));
    }

    /// Waits until the entry says that it is ready.
    pub(crate) async fn ready(&self) {
        let url = format!("http://{}/ready", self.entry.address("ready"));
        until("readiness", async || {
            let answer = client().get(&url).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }

    pub(crate) async fn ask(&self, method: &str, path: &str, attempt: &str) -> Got {
        self.ask_with(method, path, attempt, KEY, &[]).await
    }

    pub(crate) async fn ask_with(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        key: &str,
        headers: &[(&str, &str)],
    ) -> Got {
        let url = format!("http://{}{path}", self.entry.address("callers"));
        let method = method.parse().unwrap();
        let mut request = client()
            .request(method, url)
            .insert_header(("host", "desk.example"))
            .insert_header(("x-attempt-id", attempt.to_owned()))
            .insert_header(("x-deadline-ms", "10000"))
            .bearer_auth(key);
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let mut response = request.send_body("a table for two").await.unwrap();
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (stamp, retry_after) = (text("x-response-stamp"), text("retry-after"));
        let status = response.status().as_u16();
        let body = response.body().limit(1 << 20).await;
        let body = body.map(|body| String::from_utf8(body.to_vec()).unwrap());
        Got { status, stamp, retry_after, body: body.map_err(|error| error.to_string()) }
    }
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) stamp: Option<String>,
    pub(crate) retry_after: Option<String>,
    pub(crate) body: Result<String, String>,
}

pub(crate) const STREAM: &[(&str, &str)] =
    &[("x-model", "base/roses"), ("x-token-usage", "100,50")];

/// An engine with its daemon, and an entry that knows both.
pub(crate) async fn engine_fleet(settings: UpstreamSettings) -> (Fleet, UpstreamServer, Process) {
    let store = Registry::start(ANY).unwrap();
    store.put("op", "config", &config(1, &[KEY]));
    let engine = UpstreamServer::start(ANY, settings).unwrap();
    let beside = sidecar("upstream-1", &store, &engine);
    let entry = entry("entry-1", &store, beside.address("peers").port());
    let fleet = Fleet { store, entry };
    fleet.register("gpu-1", "writer", &engine);
    fleet.ready().await;
    (fleet, engine, beside)
}

/// Asks for a tour until the daemon beside the engine has read its first
/// report; until then the answer is "come back".
pub(crate) async fn tour(fleet: &Fleet, attempt: &str, last: Option<&str>) -> Got {
    let mut headers = STREAM.to_vec();
    headers.extend(last.map(|last| ("last-event-id", last)));
    let mut tries = 0;
    until("a tour", async || {
        tries += 1;
        let attempt = if tries == 1 { attempt.to_owned() } else { format!("{attempt}-{tries}") };
        let got = fleet.ask_with("POST", "/tour/day", &attempt, KEY, &headers).await;
        (got.status != 503).then_some(got)
    })
    .await
}

pub(crate) fn ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}
