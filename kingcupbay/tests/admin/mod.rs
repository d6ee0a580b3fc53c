//! Fake operators' port of a daemon. It holds a configuration, recognises the ids
//! of taken patches and injects the faults that a test lists.

use std::{
    collections::VecDeque,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    sync::{Arc, Mutex},
};

use kingcupbay_core::{
    config::{
        model::Config,
        patch::{Patch, PatchError},
    },
    id::Number,
    wire::admin::{
        History, NumberedPatch, PatchRefused, PatchStored, PatchUndecided, UndecidedOutcome,
    },
};
use serde::Serialize;

/// Fault injected into the handling of one posted patch.
#[derive(Clone, Copy)]
pub(crate) enum Fault {
    /// The patch is taken, but the connection closes before the answer.
    LostAnswer,
    /// Like `LostAnswer`, and the id of a repeated patch is not recognised.
    LostAndForgotten,
    /// The connection closes and the patch is not taken.
    LostRequest,
    /// Another patch is taken first and the connection closes, so that a repeat is
    /// stale.
    Overtaken,
    /// The daemon answers that the patch was not taken, since the table could not
    /// be reached.
    NotTaken,
    /// The daemon answers that the outcome is unknown, since the table did not
    /// answer.
    Unknown,
    /// The patch is taken, but no majority holds it yet.
    Unacknowledged,
}

/// State of the port, for the test to check.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) config: Config,
    pub(crate) history: Vec<NumberedPatch>,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) posted: Vec<Patch>,
    /// Whether the ids of taken patches are no longer recognised.
    forgotten: bool,
}

/// Handle of a running port.
#[derive(Clone)]
pub(crate) struct AdminServer {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl AdminServer {
    /// Starts a port, which serves until the test process ends. Each of `faults`
    /// applies to one posted patch, in order.
    pub(crate) fn start(faults: &[Fault]) -> AdminServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { faults: faults.iter().copied().collect(), ..State::default() };
        let admin = AdminServer { address, state: Arc::new(Mutex::new(state)) };
        let state = admin.state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &mut state.lock().unwrap());
            }
        });
        admin
    }

    /// Runs the tool against this port.
    pub(crate) fn run(&self, args: &[&str]) -> Output {
        run(&[self.address], args)
    }

    /// Runs the tool, asserts that it succeeds and returns its output.
    pub(crate) fn run_ok(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert_eq!(exit_code(&output), 0, "{args:?}: {}", stderr_text(&output));
        String::from_utf8(output.stdout).unwrap()
    }
}

/// Runs the tool with `daemons` on its command line.
pub(crate) fn run(daemons: &[SocketAddr], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupbay"));
    command.env_remove("KINGCUPBAY_DAEMON").env("USER", "ops").args(args);
    for daemon in daemons {
        command.arg("--daemon").arg(daemon.to_string());
    }
    command.output().unwrap()
}

/// Returns the exit code.
pub(crate) fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Returns the text printed to stderr.
pub(crate) fn stderr_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Reads one request and answers it, or closes the connection without an answer.
fn serve(stream: TcpStream, state: &mut State) {
    let mut reader = BufReader::new(&stream);
    let mut request_line = String::new();
    if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
        return;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let words: Vec<_> = request_line.split_whitespace().collect();
    if let Some((status, body)) = answer(state, words[0], words[1], &body) {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        (&stream).write_all(&[head.as_bytes(), &body].concat()).unwrap();
    }
}

/// Returns the status and body of an answer, or `None` for no answer.
fn answer(state: &mut State, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    match (method, path) {
        ("GET", "/admin/config") => Some((200, to_json(&state.config))),
        ("GET", "/admin/status") => Some((200, br#"{"standing":true,"number":3}"#.to_vec())),
        ("GET", "/admin/dump?host=h1") => Some((200, b"host h1\n".to_vec())),
        ("GET", "/admin/dump?host=h9") => {
            Some((404, br#"{"error":{"message":"no such member"}}"#.to_vec()))
        }
        ("POST", "/admin/patch") => post_patch(state, serde_json::from_slice(body).unwrap()),
        _ => {
            let after: u64 = path.strip_prefix("/admin/history?after=")?.parse().unwrap();
            let newer = state.history.iter().filter(|entry| entry.number.0 > after);
            Some((200, to_json(&History { patches: newer.cloned().collect() })))
        }
    }
}

/// Handles a posted patch with the next fault, if any.
fn post_patch(state: &mut State, patch: Patch) -> Option<(u16, Vec<u8>)> {
    state.posted.push(patch.clone());
    match state.faults.pop_front() {
        None => Some(take_patch(state, patch, true)),
        Some(Fault::Unacknowledged) => Some(take_patch(state, patch, false)),
        Some(Fault::LostRequest) => None,
        Some(Fault::LostAnswer) => {
            take_patch(state, patch, true);
            None
        }
        Some(Fault::LostAndForgotten) => {
            take_patch(state, patch, true);
            state.forgotten = true;
            None
        }
        Some(Fault::Overtaken) => {
            let other = Patch { id: "00".repeat(16).parse().unwrap(), ..patch.clone() };
            take_patch(state, Patch { changes: vec![], ..other }, true);
            None
        }
        Some(Fault::NotTaken) => Some(answer_undecided(UndecidedOutcome::NotTaken)),
        Some(Fault::Unknown) => Some(answer_undecided(UndecidedOutcome::Unknown)),
    }
}

/// Answers that the patch was not taken or that its outcome is unknown.
fn answer_undecided(outcome: UndecidedOutcome) -> (u16, Vec<u8>) {
    (503, to_json(&PatchUndecided { outcome, message: "the table is down".into() }))
}

/// Takes a patch unless its id is recognised, and answers with its result.
fn take_patch(state: &mut State, patch: Patch, acknowledged: bool) -> (u16, Vec<u8>) {
    let known = state.history.iter().find(|entry| entry.patch.id == patch.id);
    if let Some(known) = known.filter(|_| !state.forgotten) {
        return (200, to_json(&PatchStored { number: known.number, acknowledged }));
    }
    match state.config.patched(&patch) {
        Ok(config) => {
            let number: Number = config.number;
            state.config = config;
            state.history.push(NumberedPatch { number, patch });
            (200, to_json(&PatchStored { number, acknowledged }))
        }
        Err(error @ PatchError::Stale { .. }) => (409, to_json(&PatchRefused { error })),
        Err(error) => (422, to_json(&PatchRefused { error })),
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}
