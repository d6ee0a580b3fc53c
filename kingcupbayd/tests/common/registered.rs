//! Daemons of a registered fleet as separate processes, with stand-ins for the
//! platform's store, the plain services and the engines.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use futures_util::StreamExt;
use kingcupbay_standin::{
    DeclaredConfig, DeclaredOrganisation, DeclaredRoute, Registry, UpstreamServer, UpstreamSettings,
};
use serde_json::Value;

use super::{Process, client, wait_until};

/// API key of the organisation in every test.
pub(crate) const KEY: &str = "key-of-the-winery";

/// The plain service of every test.
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// Loopback address whose port the kernel chooses.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A store with one configuration, and an entry that follows it.
pub(crate) struct Fleet {
    pub(crate) store: Registry,
    pub(crate) entry: Process,
}

/// The store row of configuration `version`, in which the organisation holds
/// `keys`.
pub(crate) fn config_row(version: u64, keys: &[&str]) -> Value {
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
        cold_rate: 0,
        cold_secs: 0,
        idle_timeout: 15_000,
    };
    declared.row()
}

/// The settings of a daemon; `rest` is added to `[registry]`.
pub(crate) fn settings_text(role: &str, host: &str, store: SocketAddr, rest: &str) -> String {
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

/// Starts a daemon with [`settings_text`].
pub(crate) fn start_daemon(role: &str, host: &str, store: &Registry, rest: &str) -> Process {
    let at = store.server().address();
    start_with(&format!("{host}-{}", at.port()), &settings_text(role, host, at, rest))
}

/// Starts a daemon with the settings `text`; `label` names their file.
pub(crate) fn start_with(label: &str, text: &str) -> Process {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{}-{label}.ini", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let args = vec!["--config".to_owned(), file.display().to_string()];
    let process = Process::start("kingcupbayd", &args);
    std::fs::remove_file(&file).unwrap();
    process
}

/// Starts an entry; the sidecars listen at port `sidecars`.
pub(crate) fn start_entry(host: &str, store: &Registry, sidecars: u16) -> Process {
    start_daemon("entry", host, store, &format!("ready = 127.0.0.1:0\nsidecars = {sidecars}\n"))
}

/// Starts the sidecar of `engine`.
pub(crate) fn start_sidecar(host: &str, store: &Registry, engine: &UpstreamServer) -> Process {
    let engine = engine.server().address();
    start_daemon("upstream", host, store, &format!("engine = {engine}\nservice = writer\n"))
}

impl Fleet {
    /// Starts a store with configuration 1 and an entry that follows it;
    /// sidecars listen at port `sidecars`.
    pub(crate) async fn start(sidecars: u16) -> Fleet {
        let store = Registry::start(ANY_PORT).unwrap();
        store.put("op", "config", &config_row(1, &[KEY]));
        let entry = start_entry("entry-1", &store, sidecars);
        Fleet { store, entry }
    }

    /// Registers `upstream` in the store as a ready instance of `service`.
    pub(crate) fn register(&self, id: &str, service: &str, upstream: &UpstreamServer) {
        self.store.put("servers", id, &upstream.registration(service, "ready"));
    }

    /// Waits until the entry reports readiness.
    pub(crate) async fn wait_until_ready(&self) {
        wait_until_ready(&self.entry).await;
    }

    /// Starts a plain upstream and registers it.
    pub(crate) fn start_plain(&self, id: &str) -> UpstreamServer {
        let upstream = UpstreamServer::start(ANY_PORT, UpstreamSettings::plain(id)).unwrap();
        self.register(id, PLAIN_SERVICE, &upstream);
        upstream
    }

    /// Sends requests for the plain service until `upstream` has got one.
    pub(crate) async fn request_until(&self, upstream: &UpstreamServer, label: &str) {
        let before = upstream.arrivals().len();
        let mut attempts = 0;
        wait_until("a request at the upstream", async || {
            attempts += 1;
            self.send("GET", "/seats/today", &format!("{label}{attempts}")).await;
            (upstream.arrivals().len() > before).then_some(())
        })
        .await;
    }

    /// Sends a request with the usual key and reads the answer.
    pub(crate) async fn send(&self, method: &str, path: &str, attempt: &str) -> CallerAnswer {
        self.send_with(method, path, attempt, KEY, &[]).await
    }

    /// Sends a request with `key` and further `headers` and reads the answer.
    pub(crate) async fn send_with(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        key: &str,
        headers: &[(&str, &str)],
    ) -> CallerAnswer {
        send_to(&self.entry, method, path, attempt, key, headers).await
    }
}

/// Waits until `entry` reports readiness.
pub(crate) async fn wait_until_ready(entry: &Process) {
    let url = format!("http://{}/ready", entry.address("ready"));
    wait_until("readiness", async || {
        let answer = client().get(&url).send().await.ok()?;
        answer.status().is_success().then_some(())
    })
    .await;
}

/// Sends a request with `key` and further `headers` to `entry` and reads the answer.
pub(crate) async fn send_to(
    entry: &Process,
    method: &str,
    path: &str,
    attempt: &str,
    key: &str,
    headers: &[(&str, &str)],
) -> CallerAnswer {
    let url = format!("http://{}{path}", entry.address("callers"));
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
    let (signature, retry_after) = (text("x-response-stamp"), text("retry-after"));
    let status = response.status().as_u16();
    let body = response.body().limit(1 << 20).await;
    let body = body.map(|body| String::from_utf8(body.to_vec()).unwrap());
    CallerAnswer { status, signature, retry_after, body: body.map_err(|error| error.to_string()) }
}

/// An answer as the caller receives it.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Header `x-response-stamp`.
    pub(crate) signature: Option<String>,
    /// Header `retry-after`.
    pub(crate) retry_after: Option<String>,
    /// The whole body, or why it could not be read.
    pub(crate) body: Result<String, String>,
}

/// Headers of a request for a stream: its model, and the numbers of its prompt
/// tokens and output tokens.
pub(crate) const STREAM_HEADERS: &[(&str, &str)] =
    &[("x-model", "base/roses"), ("x-token-usage", "100,50")];

/// Starts an engine, its sidecar and an entry that knows both.
pub(crate) async fn start_engine_fleet(
    settings: UpstreamSettings,
) -> (Fleet, UpstreamServer, Process) {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    let engine = UpstreamServer::start(ANY_PORT, settings).unwrap();
    let sidecar = start_sidecar("upstream-1", &store, &engine);
    let entry = start_entry("entry-1", &store, sidecar.address("peers").port());
    let fleet = Fleet { store, entry };
    fleet.register("gpu-1", "writer", &engine);
    fleet.wait_until_ready().await;
    (fleet, engine, sidecar)
}

/// Starts two engines with `settings` and an entry that knows both.
pub(crate) async fn start_two_engines(
    settings: impl Fn(&str) -> UpstreamSettings,
) -> (Fleet, [UpstreamServer; 2], [Process; 2]) {
    let (mut fleet, first, mut sidecar) = start_engine_fleet(settings("gpu-1")).await;
    let second =
        UpstreamServer::start(SocketAddr::new(second_host(), 0), settings("gpu-2")).unwrap();
    let mut other_sidecar = second_sidecar(&fleet.store, &second, sidecar.address("peers").port());
    fleet.register("gpu-2", "writer", &second);
    wait_until("both engines", async || {
        let known = fleet.entry.has_line("id=gpu-2");
        let reported = sidecar.has_line("event=report") && other_sidecar.has_line("event=report");
        (known && reported).then_some(())
    })
    .await;
    (fleet, [first, second], [sidecar, other_sidecar])
}

/// Requests a stream until the sidecar has received the engine's first load
/// report; until then the answer is 503 and the request is repeated as a new
/// attempt.
pub(crate) async fn request_tour(fleet: &Fleet, attempt: &str, last: Option<&str>) -> CallerAnswer {
    let mut headers = STREAM_HEADERS.to_vec();
    headers.extend(last.map(|last| ("last-event-id", last)));
    let mut attempts = 0;
    wait_until("a tour", async || {
        attempts += 1;
        let attempt =
            if attempts == 1 { attempt.to_owned() } else { format!("{attempt}-{attempts}") };
        let answer = fleet.send_with("POST", "/tour/day", &attempt, KEY, &headers).await;
        (answer.status != 503).then_some(answer)
    })
    .await
}

/// The ids of the events in a stream's body.
pub(crate) fn event_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Returns the address of a second host, different for each test process. The second
/// sidecar must listen on the port that the first one got, which another process may use
/// at a shared address.
pub(crate) fn second_host() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (high & 0x7f), low, 2).into()
}

/// Starts the sidecar of a second engine where the entry expects it: at that engine's
/// address, on the port of the first sidecar.
pub(crate) fn second_sidecar(store: &Registry, engine: &UpstreamServer, port: u16) -> Process {
    let text = settings_text(
        "upstream",
        "upstream-2",
        store.server().address(),
        &format!("engine = {}\nservice = writer\n", engine.server().address()),
    );
    let peers = format!("[peers]\nlisten = {}:{port}", second_host());
    let text = text.replacen("[peers]\nlisten = 127.0.0.1:0", &peers, 1);
    start_with(&format!("second-{port}"), &text)
}

/// Returns the adapter of stream `number`.
pub(crate) fn adapter(number: usize) -> String {
    format!("base/a{}", number % 4)
}

/// Reads the events of stream `number` at `entry` until the connection fails. Returns the number
/// of the last one.
pub(crate) async fn read_until_cut(entry: SocketAddr, number: usize) -> Option<u64> {
    let request = client()
        .post(format!("http://{entry}/tour/day"))
        .insert_header(("host", "desk.example"))
        .insert_header(("x-attempt-id", format!("s{number}")))
        .insert_header(("x-deadline-ms", "10000"))
        .insert_header(("x-model", adapter(number)))
        .insert_header(STREAM_HEADERS[1])
        .bearer_auth(KEY);
    let mut response = request.send().await.ok()?;
    if response.status() != 200 {
        return None;
    }
    let mut text = String::new();
    while let Some(Ok(chunk)) = response.next().await {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    event_ids(whole).last().copied()
}
