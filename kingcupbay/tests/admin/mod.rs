//! A daemon's operators' port, small: it keeps a configuration, forgets no
//! patch id, and goes wrong only as told.

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

/// What goes wrong with one posted patch.
#[derive(Clone, Copy)]
pub(crate) enum Fault {
    /// Taken, but the connection closes before the answer.
    LostAnswer,
    /// Taken and lost, and a repeat is not known by its id.
    LostAndForgotten,
    /// The connection closes and nothing was taken.
    LostRequest,
    /// Refused as stale, since another patch came first.
    Overtaken,
    /// The table could not be reached.
    NotTaken,
    /// The table did not answer.
    Unknown,
    /// Taken, but no majority holds it yet.
    Unacknowledged,
}

/// State that the test looks at afterwards.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) config: Config,
    pub(crate) history: Vec<NumberedPatch>,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) posted: Vec<Patch>,
    forgotten: bool,
}

/// The running port.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl Admin {
    /// Serves until the test's process ends.
    pub(crate) fn start(faults: &[Fault]) -> Admin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { faults: faults.iter().copied().collect(), ..State::default() };
        let admin = Admin { address, state: Arc::new(Mutex::new(state)) };
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

    /// Runs the tool and takes its output, which must be a success.
    pub(crate) fn done(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert_eq!(code(&output), 0, "{args:?}: {}", errors(&output));
        String::from_utf8(output.stdout).unwrap()
    }
}

/// Runs the tool with these daemons.
pub(crate) fn run(daemons: &[SocketAddr], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupbay"));
    command.env_remove("KINGCUPBAY_DAEMON").env("USER", "ops").args(args);
    for daemon in daemons {
        command.arg("--daemon").arg(daemon.to_string());
    }
    command.output().unwrap()
}

pub(crate) fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

pub(crate) fn errors(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn serve(stream: TcpStream, state: &mut State) {
    let mut reader = BufReader::new(&stream);
    let mut first = String::new();
    if reader.read_line(&mut first).unwrap_or(0) == 0 {
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
    let words: Vec<_> = first.split_whitespace().collect();
    if let Some((status, body)) = answer(state, words[0], words[1], &body) {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        (&stream).write_all(&[head.as_bytes(), &body].concat()).unwrap();
    }
}

fn answer(state: &mut State, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    match (method, path) {
        ("GET", "/admin/config") => Some((200, json(&state.config))),
        ("GET", "/admin/status") => Some((200, br#"{"standing":true,"number":3}"#.to_vec())),
        ("GET", "/admin/dump?host=h1") => Some((200, b"host h1\n".to_vec())),
        ("GET", "/admin/dump?host=h9") => {
            Some((404, br#"{"error":{"message":"no such member"}}"#.to_vec()))
        }
        ("POST", "/admin/patch") => post(state, serde_json::from_slice(body).unwrap()),
        _ => {
            let after: u64 = path.strip_prefix("/admin/history?after=")?.parse().unwrap();
            let newer = state.history.iter().filter(|entry| entry.number.0 > after);
            Some((200, json(&History { patches: newer.cloned().collect() })))
        }
    }
}

fn post(state: &mut State, patch: Patch) -> Option<(u16, Vec<u8>)> {
    state.posted.push(patch.clone());
    match state.faults.pop_front() {
        None => Some(take(state, patch, true)),
        Some(Fault::Unacknowledged) => Some(take(state, patch, false)),
        Some(Fault::LostRequest) => None,
        Some(Fault::LostAnswer) => {
            take(state, patch, true);
            None
        }
        Some(Fault::LostAndForgotten) => {
            take(state, patch, true);
            state.forgotten = true;
            None
        }
        Some(Fault::Overtaken) => {
            let other = Patch { id: "00".repeat(16).parse().unwrap(), ..patch.clone() };
            take(state, Patch { changes: vec![], ..other }, true);
            None
        }
        Some(Fault::NotTaken) => Some(undecided(UndecidedOutcome::NotTaken)),
        Some(Fault::Unknown) => Some(undecided(UndecidedOutcome::Unknown)),
    }
}

fn undecided(outcome: UndecidedOutcome) -> (u16, Vec<u8>) {
    (503, json(&PatchUndecided { outcome, message: "the table is down".into() }))
}

fn take(state: &mut State, patch: Patch, acknowledged: bool) -> (u16, Vec<u8>) {
    let known = state.history.iter().find(|entry| entry.patch.id == patch.id);
    if let Some(known) = known.filter(|_| !state.forgotten) {
        return (200, json(&PatchStored { number: known.number, acknowledged }));
    }
    match state.config.patched(&patch) {
        Ok(config) => {
            let number: Number = config.number;
            state.config = config;
            state.history.push(NumberedPatch { number, patch });
            (200, json(&PatchStored { number, acknowledged }))
        }
        Err(error @ PatchError::Stale { .. }) => (409, json(&PatchRefused { error })),
        Err(error) => (422, json(&PatchRefused { error })),
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}
