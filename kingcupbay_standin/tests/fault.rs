//! Tests of the faults: each stays until cleared or hits a given number of times.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use awc::error::SendRequestError;
use common::{
    any_port, client, engine, generate, generate_order, get, load, post, read_stream, request_id,
};
use futures_util::{
    StreamExt,
    future::{Either, join, select},
};
use kingcupbay_core::wire::table::{Txn, Write as Put};
use kingcupbay_standin::{
    Control, Fault, FaultOrder, Outcome, PlainService, Platform, Rule, Table, answer_text,
};

const CALL_PATH: &str = "/call/book";

async fn call(address: SocketAddr) -> common::Answer {
    post(address, CALL_PATH, &1).await
}

/// Guards against rules that hit the wrong request: a rule counts matches of
/// its path only, skips the first ones and stops after its number of hits.
#[actix_rt::test]
async fn rule_skips_then_hits_a_given_number_of_times() {
    let platform = Platform::start(any_port(), Duration::ZERO).unwrap();
    let server = platform.server();
    let control = Control::new(server.address());
    let rule = Rule::new(Fault::Outage).path("/objects").skip(1).times(2);
    let id = control.add_rule(rule.clone()).await.unwrap();
    let mut statuses = Vec::new();
    for path in ["/hosts", "/objects/a", "/objects/a", "/hosts", "/objects/a", "/objects/a"] {
        statuses.push(get(server.address(), path).await.unwrap().status().as_u16());
    }
    assert_eq!(statuses, [200, 404, 503, 200, 503, 404]);
    let faults = control.faults().await.unwrap();
    assert_eq!(
        (faults.hits(id), faults.rules[&id.0].seen, &faults.rules[&id.0].rule),
        (2, 4, &rule)
    );
    control.wait_for_hits(id, 2).await.unwrap();
    control.clear(id).await.unwrap();
    assert!(server.faults().rules.is_empty());
    assert_eq!(platform.record().objects.gets, 2, "an outage has no effect");
}

/// A call runs twice if a caller takes a lost answer for "not run" and repeats
/// the call. Checks that each fault without an answer, and each with an error
/// answer, runs the call exactly as often as documented.
#[actix_rt::test]
async fn missing_answer_may_or_may_not_have_run() {
    let cases = [
        (Fault::LoseAnswer, None, 1),
        (Fault::Reset, None, 0),
        (Fault::ErrorAnswer, Some(500), 1),
        (Fault::Outage, Some(503), 0),
    ];
    for (fault, status, runs) in cases {
        let service = PlainService::start(any_port()).unwrap();
        let address = service.server().address();
        service.server().add_rule(Rule::new(fault).times(1));
        let answer = call(address).await.ok();
        assert_eq!(answer.map(|answer| answer.status().as_u16()), status, "{fault:?}");
        assert_eq!(service.executions().total, runs, "{fault:?}");
        assert_eq!(call(address).await.unwrap().status(), 200);
    }
}

/// Guards against a silent request that runs, or is answered once the fault is
/// cleared.
#[actix_rt::test]
async fn silent_request_is_never_answered_or_run() {
    let service = PlainService::start(any_port()).unwrap();
    let server = service.server();
    let id = server.add_rule(Rule::new(Fault::Silent).times(1));
    let silent = Box::pin(call(server.address()));
    let Either::Right((_, silent)) = select(silent, Box::pin(server.wait_for_hits(id, 1))).await
    else {
        panic!("answered");
    };
    server.apply(FaultOrder::ClearAll);
    let new = Box::pin(call(server.address()));
    let Either::Right((answer, _silent)) = select(silent, new).await else {
        panic!("answered");
    };
    assert_eq!(answer.unwrap().status(), 200);
    assert_eq!(service.executions().total, 1);
}

/// A repeated write conflicts with itself if the table was slow, the caller
/// gave up, and the first write took effect afterwards. Checks that a slow
/// request takes effect without its caller.
#[actix_rt::test]
async fn slow_request_takes_effect_without_its_caller() {
    let service = PlainService::start(any_port()).unwrap();
    let server = service.server();
    let id = server.add_rule(Rule::new(Fault::Slow { millis: 20 }).times(1));
    let slow = Box::pin(call(server.address()));
    drop(select(slow, Box::pin(server.wait_for_hits(id, 1))).await);
    service.wait_for_executions(1).await;
}

/// Guards against a late answer that also delays the effect of its request.
#[actix_rt::test]
async fn late_answer_follows_its_effect() {
    let service = PlainService::start(any_port()).unwrap();
    let server = service.server();
    server.add_rule(Rule::new(Fault::LateAnswer { millis: 20 }).times(1));
    let late = Box::pin(call(server.address()));
    let Either::Right(((), late)) = select(late, Box::pin(service.wait_for_executions(1))).await
    else {
        panic!("answered before the delay");
    };
    assert_eq!(late.await.unwrap().status(), 200);
}

/// A device between two hosts that loses its connection table leaves open
/// connections silent, while new ones work. Checks that nothing sent on a
/// frozen connection arrives, and that it is never closed.
#[actix_rt::test]
async fn frozen_connections_stay_silent_while_new_ones_work() {
    let service = PlainService::start(any_port()).unwrap();
    let server = service.server();
    let address = server.address();
    let head = format!("POST {CALL_PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n1");
    let mut open = TcpStream::connect(address).unwrap();
    open.write_all(head.as_bytes()).unwrap();
    service.wait_for_executions(1).await;
    let control = Control::new(address);
    control.freeze().await.unwrap();
    open.write_all(head.as_bytes()).unwrap();
    assert_eq!(call(address).await.unwrap().status(), 200);
    control.clear_all().await.unwrap();
    assert_eq!(call(address).await.unwrap().status(), 200);
    assert_eq!(service.executions().total, 3, "the request on the frozen connection did not run");
    open.set_nonblocking(true).unwrap();
    let mut bytes = [0; 4096];
    while let Ok(count) = open.read(&mut bytes) {
        assert_ne!(count, 0, "it is not closed either");
    }
}

/// Guards against a frozen connection that closes when its stream ends, as
/// after a resume: the close would notify the reader.
#[actix_rt::test]
async fn frozen_connection_outlives_its_stream() {
    let engine = engine(|_| {});
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 2 }).times(1));
    let mut frozen = generate(&engine, &generate_order("base", 1, 3)).await;
    engine.wait_until(|record| record.ran.first().is_some_and(|ran| ran.tokens == 2)).await;
    engine.server().apply(FaultOrder::Freeze);
    let mut rest = generate_order("base", 1, 3);
    rest.offset = 2;
    assert!(read_stream(generate(&engine, &rest).await).await.done);
    engine.server().apply(FaultOrder::Restart);
    while engine.server().connections() > 0 {
        actix_rt::task::yield_now().await;
    }
    let more = async { while frozen.next().await.is_some() {} };
    let new = async { read_stream(generate(&engine, &generate_order("base", 2, 3)).await).await };
    let Either::Right((whole, _)) = select(Box::pin(more), Box::pin(new)).await else {
        panic!("the frozen connection ended");
    };
    assert!(whole.done);
    assert_eq!(engine.record().ran[0].outcome, Outcome::Superseded);
}

/// The platform's port refuses all connections for a while and then accepts
/// them again at the same address. Checks that no other process can take the
/// port meanwhile, and that the control address stays open to clear the fault.
#[actix_rt::test]
async fn refused_port_accepts_connections_again() {
    let mut table = Table::start(any_port()).unwrap();
    let control = Control::new(table.server_mut().open_control(any_port()).unwrap());
    let address = table.server().address();
    let read = serde_json::json!({"keys": []});
    let pooled = client();
    let send_read = || pooled.post(format!("http://{address}/read")).send_json(&read);
    assert_eq!(send_read().await.unwrap().status(), 200);
    let id = control.add_rule(Rule::new(Fault::Refuse)).await.unwrap();
    control.freeze().await.unwrap();
    while table.server().connections() > 1 {
        actix_rt::task::yield_now().await;
    }
    for _ in 0..3 {
        assert!(matches!(
            send_read().await,
            Err(SendRequestError::Connect(_) | SendRequestError::Send(_))
        ));
    }
    assert!(Table::start(address).is_err(), "the port stays taken");
    control.clear(id).await.unwrap();
    // The port opens when the accept loop runs the next time.
    while TcpStream::connect(address).is_err() {
        actix_rt::task::yield_now().await;
    }
    assert_eq!(send_read().await.unwrap().status(), 200);
    assert_eq!(table.record().reads, 2);
}

/// Guards against a restart that loses rows: it closes the connections of the
/// table but keeps its data.
#[actix_rt::test]
async fn restart_of_the_table_keeps_its_rows() {
    let table = Table::start(any_port()).unwrap();
    let address = table.server().address();
    let writes = vec![Put { key: "a".into(), value: Some("1".into()) }];
    post(address, "/txn", &Txn { conditions: vec![], writes }).await.unwrap();
    let _open = TcpStream::connect(address).unwrap();
    while table.server().connections() < 1 {
        actix_rt::task::yield_now().await;
    }
    Control::new(address).restart().await.unwrap();
    while table.server().connections() > 0 {
        actix_rt::task::yield_now().await;
    }
    assert_eq!(table.rows().len(), 1);
}

/// A stream ends or hangs after some tokens when the engine's connection is
/// closed or goes silent. Checks that the tokens sent before still arrive.
#[actix_rt::test]
async fn streams_are_cut_or_stalled_after_some_tokens() {
    let engine = engine(|_| {});
    let server = engine.server();
    server.add_rule(Rule::new(Fault::CutStreams { tokens: 3 }).times(1));
    server.add_rule(Rule::new(Fault::StallStreams { tokens: 2 }).skip(1).times(1));
    let mut resumed = generate_order("base", 1, 9);
    resumed.offset = 4;
    let cut = read_stream(generate(&engine, &resumed).await).await;
    assert_eq!((cut.text(), cut.done), (answer_text("base", request_id(1), 4..7), false));
    let stalled = generate(&engine, &generate_order("base", 2, 9)).await;
    engine.wait_until(|record| record.ran.len() == 2 && record.ran[1].tokens == 2).await;
    server.apply(FaultOrder::ClearAll);
    let whole = read_stream(generate(&engine, &generate_order("base", 3, 9)).await).await;
    assert_eq!((whole.text(), whole.done), (answer_text("base", request_id(3), 0..9), true));
    assert_eq!(engine.record().ran[1].outcome, Outcome::Running, "stalled permanently");
    drop(stalled);
    engine.wait_until(|record| record.ran[1].outcome == Outcome::Dropped).await;
    assert_eq!(engine.record().ran[0].outcome, Outcome::Cut);
}

/// Guards against a cut stream that looks complete: on the wire it lacks the
/// last HTTP chunk, while a cancelled stream has it, without `[DONE]`.
#[actix_rt::test]
async fn cut_stream_lacks_its_last_chunk() {
    let engine = engine(|_| {});
    let address = engine.server().address();
    engine.server().add_rule(Rule::new(Fault::CutStreams { tokens: 1 }).times(1));
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 1 }).skip(1).times(1));
    let raw = |n| {
        let body = serde_json::to_string(&generate_order("base", n, 3)).unwrap();
        let length = body.len();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        let exchange = move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all((head + &body).as_bytes()).unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).unwrap();
            text
        };
        actix_rt::task::spawn_blocking(exchange)
    };
    let cut = raw(1).await.unwrap();
    let cancel = async {
        engine.wait_until(|record| record.ran.len() == 2 && record.ran[1].tokens == 1).await;
        post(address, "/v1/cancel", &serde_json::json!({"request_id": request_id(2)}))
            .await
            .unwrap();
    };
    let (cancelled, ()) = join(raw(2), cancel).await;
    let cancelled = cancelled.unwrap();
    let last = "\r\n0\r\n\r\n";
    for (text, whole) in [(&cut, false), (&cancelled, true)] {
        assert!(text.contains("base:0:") && !text.contains("[DONE]"));
        assert_eq!(text.ends_with(last), whole);
    }
    assert_eq!(engine.record().count(Outcome::Cancelled), 1);
}

/// Guards against a fault on loads that fails more or fewer loads than its
/// rule says.
#[actix_rt::test]
async fn given_number_of_loads_fails() {
    let engine = engine(|_| {});
    engine.server().add_rule(Rule::new(Fault::FailLoads).times(2));
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(load(&engine, "a@1", 1).await);
    }
    assert_eq!(statuses, [503, 503, 200]);
    assert_eq!((engine.record().failed_loads, engine.load_report().loaded.len()), (2, 1));
}
