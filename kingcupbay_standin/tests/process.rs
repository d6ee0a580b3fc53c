//! The stand-ins as processes of their own.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use common::{any, get, post};
use kingcupbay_standin::{Control, EngineRecord, ExecutionCounts, Fault, Rule};

/// A stand-in's process, killed when the test ends.
struct Process {
    child: Child,
    line: String,
}

impl Process {
    fn start(args: &[&str]) -> Process {
        common::watch();
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

    /// Exit status after a signal.
    fn signal(mut self, name: &str) -> Option<i32> {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails when it has ended, as it should have.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[actix_rt::test]
async fn every_role_says_where_it_listens_and_stops_on_a_signal() {
    let roles = ["table", "objects", "hosts", "weights", "platform", "engine", "service"];
    for (role, signal) in roles.into_iter().zip(["TERM", "INT"].into_iter().cycle()) {
        let process = Process::start(&[role, "--listen", "127.0.0.1:0"]);
        let address = process.address("address");
        assert_eq!(process.line, format!("event=listening role={role} address={address}\n"));
        assert_eq!(get(address, "/fault").await.unwrap().status(), 200);
        assert_eq!(process.signal(signal), Some(0), "{role} {signal}");
    }
}

#[actix_rt::test]
async fn second_process_on_a_port_ends_with_an_error() {
    let first = Process::start(&["table"]);
    let mut second = Process::start(&["objects", "--listen", first.field("address")]);
    assert_eq!(second.line, "");
    assert_eq!(second.child.wait().unwrap().code(), Some(1));
}

#[actix_rt::test]
async fn faults_records_and_recordings_by_request() {
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

#[actix_rt::test]
async fn engine_process_loads_from_the_platform_process() {
    let platform = Process::start(&["platform", "--load", "1"]);
    let weights = platform.field("address");
    let args = ["engine", "--weights", weights, "--fenced", "--slots", "1", "--gap", "0"];
    let engine = Process::start(&args);
    let address = engine.address("address");
    assert_ne!(address, any());
    let order = serde_json::json!({"lora_name": "a@1", "lora_path": "w/a", "fencing": 3});
    let answer = post(address, "/v1/load_lora_adapter", &order).await.unwrap();
    assert_eq!(answer.status(), 200);
    let record: EngineRecord = Control::new(address).get("/state").await.unwrap();
    assert_eq!(record.loads, ["a@1"]);
    let platform = Control::new(weights.parse().unwrap());
    let record: kingcupbay_standin::PlatformRecord = platform.get("/state").await.unwrap();
    assert_eq!(record.weights.taken["w/a"], 1);
}
