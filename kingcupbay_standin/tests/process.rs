//! Tests of the stand-ins as separate processes.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use common::{any_port, get, post};
use kingcupbay_standin::{Control, EngineRecord, ExecutionCounts, Fault, Rule};

/// Process of a stand-in, killed when the test ends.
struct Process {
    child: Child,
    line: String,
}

impl Process {
    fn start(args: &[&str]) -> Process {
        common::start_watchdog();
        let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupbay_standin"));
        let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Process { child, line }
    }

    fn field(&self, key: &str) -> &str {
        let pairs = self.line.split_whitespace().filter_map(|pair| pair.split_once('='));
        pairs.filter(|&(found, _)| found == key).map(|(_, value)| value).next().unwrap()
    }

    fn address(&self, key: &str) -> SocketAddr {
        self.field(key).parse().unwrap()
    }

    /// Sends a signal and returns the exit status.
    fn signal(mut self, name: &str) -> Option<i32> {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already ended, as it should have.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a role that does not print its address, from which scripts
/// read the port, or that ignores a signal to stop.
#[actix_rt::test]
async fn every_role_prints_its_address_and_stops_on_a_signal() {
    let roles = ["table", "objects", "hosts", "weights", "platform", "engine", "service"];
    for (role, signal) in roles.into_iter().zip(["TERM", "INT"].into_iter().cycle()) {
        let process = Process::start(&[role, "--listen", "127.0.0.1:0"]);
        let address = process.address("address");
        assert_eq!(process.line, format!("event=listening role={role} address={address}\n"));
        assert_eq!(get(address, "/fault").await.unwrap().status(), 200);
        assert_eq!(process.signal(signal), Some(0), "{role} {signal}");
    }
}

/// Guards against two processes that share a port and split its connections.
#[actix_rt::test]
async fn second_process_on_a_port_ends_with_an_error() {
    let first = Process::start(&["table"]);
    let mut second = Process::start(&["objects", "--listen", first.field("address")]);
    assert_eq!(second.line, "");
    assert_eq!(second.child.wait().unwrap().code(), Some(1));
}

/// Guards against a control address that cannot set faults or read records of
/// a process, also while its main port refuses connections.
#[actix_rt::test]
async fn faults_and_records_are_available_over_http() {
    let service = Process::start(&["service", "--control", "127.0.0.1:0"]);
    let control = Control::new(service.address("control"));
    let address = service.address("address");
    control.set_recording(true).await.unwrap();
    let id = control.add_rule(Rule::new(Fault::LoseAnswer).times(1)).await.unwrap();
    assert!(post(address, "/call/award", &"rose").await.is_err());
    control.wait_for_hits(id, 1).await.unwrap();
    let executions: ExecutionCounts = control.get("/executions").await.unwrap();
    assert_eq!(executions.total, 1);
    let received = String::from_utf8(control.received().await.unwrap()).unwrap();
    assert!(received.contains("POST /call/award") && received.contains("\"rose\""));
    control.add_rule(Rule::new(Fault::Refuse)).await.unwrap();
    assert!(post(address, "/call/award", &"rose").await.is_err());
    control.clear_all().await.unwrap();
    let executions: ExecutionCounts = control.get("/executions").await.unwrap();
    assert_eq!(executions.total, 1);
}

/// Guards against an engine process that ignores its weight store address.
#[actix_rt::test]
async fn engine_process_loads_from_the_platform_process() {
    let platform = Process::start(&["platform", "--load", "1"]);
    let weights = platform.field("address");
    let args = ["engine", "--weights", weights, "--fenced", "--slots", "1", "--gap", "0"];
    let engine = Process::start(&args);
    let address = engine.address("address");
    assert_ne!(address, any_port());
    let order = serde_json::json!({"lora_name": "a@1", "lora_path": "w/a", "fencing": 3});
    let answer = post(address, "/v1/load_lora_adapter", &order).await.unwrap();
    assert_eq!(answer.status(), 200);
    let record: EngineRecord = Control::new(address).get("/state").await.unwrap();
    assert_eq!(record.loads, ["a@1"]);
    let platform = Control::new(weights.parse().unwrap());
    let record: kingcupbay_standin::PlatformRecord = platform.get("/state").await.unwrap();
    assert_eq!(record.weights.taken["w/a"], 1);
}
