//! Helpers for tests with separate processes: stand-ins, daemons and a caller.

#![allow(dead_code, clippy::unwrap_used)]

pub(crate) mod raw;
pub(crate) mod registered;

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, KeyHash, Serves, Upstream},
        patch::Patch,
    },
    id::{Name, RequestId},
    wire::admin::PatchStored,
};
use kingcupbay_standin::Control;
use serde_json::{Value, json};

/// Longest wait for an event. Only a failing test reaches it.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two checks of a state that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Access key of the caller in every test.
pub(crate) const SECRET: &str = "kcb_secret_of_the_caller";

/// A program under test, killed when dropped.
pub(crate) struct Process {
    child: Child,
    lines: Receiver<String>,
    /// Key=value pairs of its `event=listening` line.
    pub(crate) listening: BTreeMap<String, String>,
    /// Lines read so far.
    pub(crate) seen: Vec<String>,
}

impl Process {
    /// Starts a program and waits until it listens.
    pub(crate) fn start(program: &str, args: &[String]) -> Process {
        let mut child = Command::new(binary_path(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    break;
                }
            }
        });
        let mut process = Process { child, lines, listening: BTreeMap::new(), seen: Vec::new() };
        let line = process.wait_line("event=listening");
        process.listening = parse_pairs(&line);
        process
    }

    /// Waits for a line that contains `text`; earlier lines count too.
    pub(crate) fn wait_line(&mut self, text: &str) -> String {
        if let Some(line) = self.seen.iter().find(|line| line.contains(text)) {
            return line.clone();
        }
        loop {
            let line = self.lines.recv_timeout(EVENT_TIMEOUT).unwrap_or_else(|_| {
                panic!("no line with {text:?} among:\n{}", self.seen.join("\n"))
            });
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Whether a line that contains `text` has been written. It does not wait,
    /// as that would block stand-ins that run on the test's own thread.
    pub(crate) fn has_line(&mut self, text: &str) -> bool {
        self.seen.extend(self.lines.try_iter());
        self.seen.iter().any(|line| line.contains(text))
    }

    /// The lines so far that contain `text`.
    pub(crate) fn lines_with(&mut self, text: &str) -> Vec<String> {
        self.seen.extend(self.lines.try_iter());
        self.seen.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// An address from the listening line.
    pub(crate) fn address(&self, key: &str) -> SocketAddr {
        self.listening[key].parse().unwrap()
    }

    /// Its process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the process to end; returns whether it succeeded, and its
    /// lines.
    pub(crate) fn wait(mut self) -> (bool, Vec<String>) {
        let ok = self.child.wait().unwrap().success();
        self.seen.extend(self.lines.iter());
        (ok, std::mem::take(&mut self.seen))
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.seen.extend(self.lines.try_iter());
            eprintln!("lines of a process of the failed test:\n{}", self.seen.join("\n"));
        }
    }
}

/// Parses the key=value pairs of a log line, without the quotes of values.
pub(crate) fn parse_pairs(line: &str) -> BTreeMap<String, String> {
    let words = line.split(' ').filter_map(|word| word.split_once('='));
    words.map(|(key, value)| (key.to_owned(), value.trim_matches('"').to_owned())).collect()
}

/// The path of another program of the workspace, which must be built.
pub(crate) fn binary_path(program: &str) -> PathBuf {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_kingcupbayd"));
    let path = daemon.with_file_name(program);
    assert!(path.exists(), "build the workspace's programs first: {}", path.display());
    path
}

/// Parses a valid name.
pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn to_strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|&arg| arg.to_owned()).collect()
}

/// Starts a stand-in of `role` with a control address.
pub(crate) fn start_standin(role: &str, args: &[&str]) -> Process {
    let mut all = to_strings(&[role, "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"]);
    all.extend(to_strings(args));
    Process::start("kingcupbay_standin", &all)
}

/// A client that injects faults into a stand-in and reads its state.
pub(crate) fn control(process: &Process) -> Control {
    Control::new(process.address("control"))
}

/// Starts a daemon with the usual settings of tests; `tuning` is added to
/// `[tuning]`.
pub(crate) fn start_daemon(role: &str, host: &str, platform: &Process, tuning: &str) -> Process {
    let at = platform.address("address");
    let callers = match role {
        "entry" => "[callers]\nlisten = 127.0.0.1:0\nbody_timeout_ms = 1000\n",
        _ => "",
    };
    let text = format!(
        "[daemon]\nhost = {host}\nzone = zone-a\nrole = {role}\n{callers}\
         [peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
         [platform]\ntable = {at}\nobjects = {at}\nhosts = {at}\n\
         [tuning]\nread_period_ms = 50\ndrain_delay_ms = 50\n{tuning}"
    );
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{}-{host}-{}.ini", std::process::id(), at.port()));
    std::fs::write(&file, text).unwrap();
    let args = vec!["--config".to_owned(), file.display().to_string()];
    let process = Process::start("kingcupbayd", &args);
    std::fs::remove_file(&file).unwrap();
    process
}

/// Changes for one organisation with a key and an adapter in two versions.
pub(crate) fn basic_changes() -> Vec<Change> {
    vec![
        Change::SetOrganisation { name: name("winery"), rate: 10_000, burst: 100_000 },
        Change::IssueKey {
            label: name("desk"),
            organisation: name("winery"),
            hash: KeyHash::of(SECRET),
        },
        Change::SetAdapter {
            name: name("tasting"),
            organisation: name("winery"),
            base: name("base"),
            default: None,
        },
        version("v1"),
        Change::SetAdapter {
            name: name("tasting"),
            organisation: name("winery"),
            base: name("base"),
            default: Some(name("v1")),
        },
        version("v2"),
    ]
}

fn version(label: &str) -> Change {
    Change::SetVersion {
        adapter: name("tasting"),
        label: name(label),
        source: format!("weights/tasting/{label}"),
    }
}

/// The change that adds a model's upstream at `engine`, owned by the daemon on
/// `host`.
pub(crate) fn model_upstream(text: &str, host: &str, engine: &Process) -> Change {
    let serves = Serves::Model { base: name("base"), slots: 8, fenced: true };
    upstream(text, host, engine, serves)
}

/// The change that adds a plain service's upstream.
pub(crate) fn service_upstream(text: &str, host: &str, service: &Process) -> Change {
    upstream(text, host, service, Serves::Service { service: name("booking") })
}

/// Changes for a service at `address`, owned by the daemon on `upstream-1`, with a repeatable route
/// and a once-only route.
pub(crate) fn service_route(text: &str, address: SocketAddr) -> Vec<Change> {
    let route = |label: String, once| Change::SetRoute {
        name: name(&label),
        organisation: name("winery"),
        service: name(text),
        once,
    };
    vec![
        upstream_at(
            text,
            "upstream-1",
            address.to_string(),
            Serves::Service { service: name(text) },
        ),
        route(text.to_owned(), false),
        route(format!("{text}-once"), true),
    ]
}

fn upstream(text: &str, host: &str, process: &Process, serves: Serves) -> Change {
    upstream_at(text, host, process.listening["address"].clone(), serves)
}

/// The change that adds an upstream at `address`.
pub(crate) fn upstream_at(text: &str, host: &str, address: String, serves: Serves) -> Change {
    let zone = name("zone-a");
    let leaving = false;
    let upstream = Upstream { name: name(text), host: name(host), address, zone, serves, leaving };
    Change::SetUpstream { upstream }
}

/// A client that keeps no idle connections: a pool would hide what happened to
/// a connection.
pub(crate) fn client() -> awc::Client {
    let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
    awc::Client::builder().connector(connector).disable_timeout().finish()
}

/// Polls `check` until it returns a value; panics after [`EVENT_TIMEOUT`].
pub(crate) async fn wait_until<T, F: AsyncFnMut() -> Option<T>>(what: &str, mut check: F) -> T {
    let rounds = EVENT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..rounds {
        if let Some(found) = check().await {
            return found;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {what}");
}

/// The body of `GET path` on an operators' port.
pub(crate) async fn get_text(process: &Process, path: &str) -> String {
    let url = format!("http://{}{path}", process.address("operators"));
    let mut response = client().get(url).send().await.unwrap();
    String::from_utf8(response.body().limit(64 << 20).await.unwrap().to_vec()).unwrap()
}

/// Waits until a daemon is ready.
pub(crate) async fn wait_until_ready(process: &Process) {
    wait_until("readiness", async || {
        (get_text(process, "/ready").await == "ready\n").then_some(())
    })
    .await;
}

/// Waits until a daemon uses configuration `number` or a later one.
pub(crate) async fn wait_for_number(process: &Process, number: u64) {
    wait_until("the configuration", async || {
        let status: Value =
            serde_json::from_str(&get_text(process, "/admin/status").await).unwrap();
        (status["number"].as_u64().unwrap() >= number).then_some(())
    })
    .await;
}

/// Posts a patch and returns the status and body.
pub(crate) async fn post_patch(process: &Process, patch: &Patch) -> (u16, Value) {
    let url = format!("http://{}/admin/patch", process.address("operators"));
    let mut response = client().post(url).send_json(patch).await.unwrap();
    let body = response.body().await.unwrap();
    (response.status().as_u16(), serde_json::from_slice(&body).unwrap())
}

/// Applies `changes` to the configuration in force, again when another patch
/// came first, and returns the new configuration number.
pub(crate) async fn apply_changes(process: &Process, changes: &[Change]) -> u64 {
    for attempt in 0..100u8 {
        let config: Config =
            serde_json::from_str(&get_text(process, "/admin/config").await).unwrap();
        let mut id = [attempt; 16];
        id[1..9].copy_from_slice(&config.number.0.to_le_bytes());
        let patch = Patch {
            id: RequestId(id),
            against: config.number,
            author: "test".into(),
            changes: changes.to_vec(),
        };
        let (status, body) = post_patch(process, &patch).await;
        match status {
            200 => return serde_json::from_value::<PatchStored>(body).unwrap().number.0,
            409 => {}
            _ => panic!("patch refused with {status}: {body}"),
        }
    }
    panic!("the configuration changes all the time");
}

/// An answer as a caller receives it.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Header `retry-after`.
    pub(crate) retry_after: Option<u64>,
    /// Whole body.
    pub(crate) body: String,
}

impl Answer {
    /// The code of an error.
    pub(crate) fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// The field `ran` of an error: whether the request ran.
    pub(crate) fn ran(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap();
        value["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// The JSON of each event, without the final `[DONE]`.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self.body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        data.filter(|data| *data != "[DONE]").map(|d| serde_json::from_str(d).unwrap()).collect()
    }

    /// The text of all events of a text completion.
    pub(crate) fn text(&self) -> String {
        let texts = self.events();
        texts.iter().filter_map(|event| event["choices"][0]["text"].as_str()).collect()
    }

    /// The request id in the first event.
    pub(crate) fn request(&self) -> RequestId {
        self.events()[0]["id"].as_str().unwrap().parse().unwrap()
    }
}

/// Builds a caller's request with the usual headers.
pub(crate) fn build_request(entry: &Process, path: &str) -> awc::ClientRequest {
    let url = format!("http://{}{path}", entry.address("callers"));
    client().post(url).insert_header(("x-deadline-ms", "30000")).bearer_auth(SECRET)
}

/// Sends a request and reads its whole answer.
pub(crate) async fn send_request(request: awc::ClientRequest, body: &Value) -> Answer {
    let mut response = request.send_json(body).await.unwrap();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let bytes = response.body().limit(64 << 20).await.unwrap();
    let body = String::from_utf8(bytes.to_vec()).unwrap();
    Answer { status: response.status().as_u16(), retry_after, body }
}

/// The body of a request for a streamed text completion of `tokens` tokens.
pub(crate) fn completion_body(model: &str, tokens: u32) -> Value {
    json!({"model": model, "prompt": "a tour of two wineries", "max_tokens": tokens, "stream": true})
}

/// One platform, engines with an upstream daemon each, and entries.
pub(crate) struct Fleet {
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) upstreams: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) number: u64,
}

impl Fleet {
    /// Starts all processes and waits until they are ready and configured.
    pub(crate) async fn start(
        entries: usize,
        engines: usize,
        engine: &[&str],
        tuning: &str,
    ) -> Fleet {
        let platform = start_standin("platform", &["--load", "1"]);
        let mut args = vec!["--fenced", "--load", "1"];
        args.extend(engine);
        let engines: Vec<_> = (0..engines).map(|_| start_standin("engine", &args)).collect();
        let host = |role: &str, at: usize| format!("{role}-{}", at + 1);
        let start = |role: &str, at| start_daemon(role, &host(role, at), &platform, tuning);
        let upstreams: Vec<_> = (0..engines.len()).map(|at| start("upstream", at)).collect();
        let entries: Vec<_> = (0..entries).map(|at| start("entry", at)).collect();
        for process in upstreams.iter().chain(&entries) {
            wait_until_ready(process).await;
        }
        let mut changes = basic_changes();
        for (at, engine) in engines.iter().enumerate() {
            changes.push(model_upstream(&host("gpu", at), &host("upstream", at), engine));
        }
        let number = apply_changes(&entries[0], &changes).await;
        for process in upstreams.iter().chain(&entries) {
            wait_for_number(process, number).await;
        }
        Fleet { platform, engines, upstreams, entries, number }
    }

    /// Applies changes and waits until every daemon uses them.
    pub(crate) async fn apply(&mut self, changes: &[Change]) {
        self.number = apply_changes(&self.entries[0], changes).await;
        for process in self.upstreams.iter().chain(&self.entries) {
            wait_for_number(process, self.number).await;
        }
    }
}
