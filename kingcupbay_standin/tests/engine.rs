//! Tests of the engine: answers, slots, batch, reports and its record.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    any_port, client, engine, generate, generate_order, get, load, post, read_stream, request_id,
    unload,
};
use futures_util::future::join;
use kingcupbay_core::wire::engine::{Cancel, EventKind, Events, LoadReport, Message};
use kingcupbay_standin::{
    Engine, EngineRecord, Fault, FaultOrder, FencingConflict, Outcome, Rule, Weights, answer_text,
    token_text,
};

async fn cancel(engine: &Engine, n: u8) {
    let order = Cancel { request_id: request_id(n) };
    let answer = post(engine.server().address(), "/v1/cancel", &order).await.unwrap();
    assert_eq!(answer.status(), 200);
}

async fn events(engine: &Engine, after: u64) -> Vec<(u64, EventKind, String)> {
    let path = format!("/events?after={after}");
    let mut answer = get(engine.server().address(), &path).await.unwrap();
    let events: Events = answer.json().await.unwrap();
    events.events.into_iter().map(|event| (event.seq, event.kind, event.model)).collect()
}

/// Other tests detect wrong adapters, misrouted answers and missing tokens by
/// the text of an answer. They would miss these if the text did not name model,
/// request and offset.
#[actix_rt::test]
async fn answer_is_complete_and_names_model_request_and_offset() {
    let engine = engine(|settings| settings.max_tokens = 5);
    assert_eq!(load(&engine, "rose@v1", 1).await, 200);
    assert_eq!(token_text("rose@v1", request_id(0xab), 3), "rose@v1:3:ab000000 ");
    let mut chat = generate_order("rose@v1", 0xab, 4);
    let text = chat.prompt.take().unwrap();
    chat.messages = Some(vec![Message { role: "user".into(), content: text }; 2]);
    let cases = [
        (generate_order("rose@v1", 1, 4), 4, "length", 2),
        (chat, 4, "length", 4),
        (generate_order("base", 3, 9), 5, "stop", 2),
    ];
    for (order, tokens, reason, prompt) in cases {
        let whole = read_stream(generate(&engine, &order).await).await;
        assert!(whole.done);
        assert_eq!(whole.text(), answer_text(&order.model, order.request_id, 0..tokens));
        let offsets: Vec<_> = whole.chunks.iter().map(|chunk| chunk.choices[0].offset).collect();
        assert_eq!(offsets, (0..=tokens).collect::<Vec<_>>());
        assert!(whole.chunks.iter().all(|c| c.id == order.request_id && c.model == order.model));
        let (last, rest) = whole.chunks.split_last().unwrap();
        assert!(rest.iter().all(|c| c.usage.is_none() && c.choices[0].finish_reason.is_none()));
        assert_eq!(last.choices[0].finish_reason.as_deref(), Some(reason));
        let usage = last.usage.unwrap();
        assert_eq!((usage.prompt_tokens, usage.completion_tokens), (prompt, tokens));
    }
    assert_eq!(engine.record().count(Outcome::Finished), 3);
}

/// Guards against missing or duplicate tokens after a resume: a stream that is
/// resumed at an offset must continue exactly there.
#[actix_rt::test]
async fn stream_resumes_at_any_offset() {
    let engine = engine(|_| {});
    let whole = answer_text("base", request_id(1), 0..6);
    for offset in 0..=6 {
        let mut rest = generate_order("base", 1, 6);
        rest.offset = offset;
        let resumed = read_stream(generate(&engine, &rest).await).await;
        assert!(resumed.done);
        let text = answer_text("base", request_id(1), 0..offset) + &resumed.text();
        assert_eq!(text, whole);
        let usage = resumed.chunks.last().unwrap().usage.unwrap();
        assert_eq!(usage.completion_tokens, 6, "usage counts the whole answer");
    }
}

/// Guards against orders that run although the model is not loaded, the order
/// is malformed or no slot is free.
#[actix_rt::test]
async fn orders_that_cannot_run_are_refused() {
    let engine = engine(|settings| settings.slots = 1);
    let mut whole = generate_order("base", 1, 1);
    whole.stream = false;
    let mut bare = generate_order("base", 1, 1);
    bare.prompt = None;
    for (order, status) in [(generate_order("rose@v1", 1, 1), 404), (whole, 400), (bare, 400)] {
        assert_eq!(generate(&engine, &order).await.status(), status);
    }
    assert_eq!(load(&engine, "rose@v1", 1).await, 200);
    assert_eq!(load(&engine, "rose@v1", 1).await, 200, "loaded already");
    assert_eq!(load(&engine, "iris@v1", 1).await, 507);
    assert_eq!(unload(&engine, "iris@v1", 1).await, 200, "not loaded");
    assert_eq!(unload(&engine, "rose@v1", 1).await, 200);
    assert_eq!(load(&engine, "iris@v1", 1).await, 200);
    let record = engine.record();
    assert_eq!(
        (record.loads, record.unloads),
        (vec!["rose@v1".into(), "iris@v1".into()], vec!["rose@v1".into()])
    );
    assert!(record.ran.is_empty());
}

/// Guards against an answer that stops halfway because its adapter is unloaded
/// while it is generated. The engine refuses the unload and records the attempt.
#[actix_rt::test]
async fn adapter_in_use_is_not_unloaded() {
    // Running and waiting requests both use their adapter.
    for (runs, waits) in [("rose@v1", "base"), ("base", "rose@v1")] {
        let engine = engine(|settings| settings.batch_size = 1);
        load(&engine, "rose@v1", 1).await;
        engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 1 }).times(1));
        let running = generate(&engine, &generate_order(runs, 1, 9)).await;
        let waiting = generate(&engine, &generate_order(waits, 2, 2)).await;
        engine.wait_until(|record| record.ran.len() == 2 && record.ran[0].tokens == 1).await;
        assert_eq!(unload(&engine, "rose@v1", 1).await, 409);
        cancel(&engine, 1).await;
        let (cancelled, whole) = join(read_stream(running), read_stream(waiting)).await;
        assert!(!cancelled.done && whole.done);
        assert_eq!(unload(&engine, "rose@v1", 1).await, 200);
        let record = engine.record();
        assert_eq!(record.unloads_in_use, ["rose@v1"]);
        assert_eq!((record.count(Outcome::Cancelled), record.count(Outcome::Finished)), (1, 1));
    }
}

/// Guards against a stream that stays in the batch forever after its caller
/// disconnected: the end of a connection must end its stream.
#[actix_rt::test]
async fn stream_ends_with_its_connection() {
    let engine = engine(|settings| settings.batch_size = 1);
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 0 }).times(1));
    let gone = generate(&engine, &generate_order("base", 1, 3)).await;
    engine.wait_until(|record| record.count(Outcome::Running) == 1).await;
    drop(gone);
    engine.wait_until(|record| record.count(Outcome::Dropped) == 1).await;
    assert!(read_stream(generate(&engine, &generate_order("base", 2, 3)).await).await.done);
    assert_eq!(engine.load_report().running, 0);
}

/// Guards against a low-priority stream that enters the batch before one with
/// a higher priority; equal priorities start in order of arrival.
#[actix_rt::test]
async fn batch_takes_the_highest_priority_first() {
    let engine = engine(|settings| settings.batch_size = 1);
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 0 }).times(1));
    let _running = generate(&engine, &generate_order("base", 0, 1)).await;
    engine.wait_until(|record| record.count(Outcome::Running) == 1).await;
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 0 }));
    let mut waiting = Vec::new();
    for (n, priority) in [(1, 0), (2, 5), (3, -1), (4, 5)] {
        let mut order = generate_order("base", n, 1);
        order.priority = priority;
        waiting.push(generate(&engine, &order).await);
    }
    assert_eq!((engine.load_report().running, engine.load_report().waiting), (1, 4));
    let mut served = Vec::new();
    for _ in 0..5 {
        let record = engine.record();
        let running = record.ran.iter().find(|ran| ran.outcome == Outcome::Running).unwrap();
        served.push(running.request.0[0]);
        cancel(&engine, running.request.0[0]).await;
    }
    assert_eq!(served, [0, 2, 4, 1, 3]);
    assert_eq!(engine.record().most_running, 1);
}

/// Guards against two streams that both answer one request after a resume: a
/// later stream of a request supersedes the earlier one.
#[actix_rt::test]
async fn resumed_stream_replaces_the_earlier_one() {
    let engine = engine(|_| {});
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 2 }).times(1));
    let stalled = generate(&engine, &generate_order("base", 1, 4)).await;
    engine.wait_until(|record| record.ran.first().is_some_and(|ran| ran.tokens == 2)).await;
    let mut rest = generate_order("base", 1, 4);
    rest.offset = 2;
    let resumed = read_stream(generate(&engine, &rest).await).await;
    let first = read_stream(stalled).await;
    assert!(!first.done && resumed.done);
    assert_eq!(first.text() + &resumed.text(), answer_text("base", request_id(1), 0..4));
    assert_eq!(engine.record().ran[0].outcome, Outcome::Superseded);
}

/// Guards against a host that was declared dead, comes back and unloads an adapter
/// that its successor has just loaded. An engine that checks fencing numbers
/// refuses the old one; an engine that does not carries the order out and
/// records it.
#[actix_rt::test]
async fn old_fencing_number_is_refused_or_recorded() {
    for fenced in [true, false] {
        let engine = engine(|settings| settings.check_fencing = fenced);
        load(&engine, "rose@v1", 5).await;
        assert_eq!(unload(&engine, "rose@v1", 4).await, if fenced { 409 } else { 200 });
        engine.server().apply(FaultOrder::Restart);
        let body = serde_json::json!({"lora_name": "iris@v1", "lora_path": "w", "fencing": 4});
        let path = "/v1/load_lora_adapter";
        let mut answer = post(engine.server().address(), path, &body).await.unwrap();
        let record = engine.record();
        assert_eq!((record.fenced, record.stale), if fenced { (2, 0) } else { (0, 2) });
        if fenced {
            assert_eq!(answer.status(), 409);
            assert_eq!(
                answer.json::<FencingConflict>().await.unwrap(),
                FencingConflict { fencing: 5 }
            );
        }
    }
}

/// After a restart an engine is empty while the daemon still assumes that its
/// adapters are loaded. Guards against a stand-in that keeps state and so
/// hides this failure.
#[actix_rt::test]
async fn restart_empties_the_engine() {
    let weights = Weights::start(any_port(), Duration::from_secs(3600)).unwrap();
    let engine = engine(|settings| settings.weight_store = Some(weights.server().address()));
    engine.server().add_rule(Rule::new(Fault::StallStreams { tokens: 1 }));
    let running = generate(&engine, &generate_order("base", 1, 3)).await;
    engine.wait_until(|record| record.ran.first().is_some_and(|ran| ran.tokens == 1)).await;
    let loading = engine.server().add_rule(Rule::new(Fault::FailLoads).times(1));
    let orders = async {
        let path = "/v1/load_lora_adapter";
        let body = serde_json::json!({"lora_name": "a@1", "lora_path": "w", "fencing": 1});
        let (first, second) = join(
            post(engine.server().address(), path, &body),
            post(engine.server().address(), path, &body),
        )
        .await;
        assert!(first.is_err() && second.is_err(), "their connections were reset");
    };
    let restart = async {
        while engine.server().connections() < 3 {
            actix_rt::task::yield_now().await;
        }
        engine.server().wait_for_hits(loading, 1).await;
        while weights.record().in_flight == 0 {
            actix_rt::task::yield_now().await;
        }
        engine.server().apply(FaultOrder::Restart);
    };
    join(orders, restart).await;
    while weights.record().in_flight > 0 {
        actix_rt::task::yield_now().await;
    }
    assert!(!read_stream(running).await.done);
    let report = LoadReport { incarnation: 8, slots: 8, ..LoadReport::default() };
    assert_eq!(engine.load_report(), report);
    assert_eq!(engine.record().count(Outcome::Cut), 1);
    assert!(events(&engine, 0).await.is_empty());
}

/// A daemon with old reports and a lost event sends requests to an engine that
/// has unloaded the adapter. Checks that the stand-in can produce this, and
/// that the event numbers show the gap.
#[actix_rt::test]
async fn reports_lag_and_events_are_lost() {
    let engine = engine(|_| {});
    let server = engine.server();
    let report = async || -> LoadReport {
        get(server.address(), "/load").await.unwrap().json().await.unwrap()
    };
    let lags = [
        server.add_rule(Rule::new(Fault::LagReports { millis: 600_000 })),
        server.add_rule(Rule::new(Fault::LagEvents { millis: 600_000 })),
    ];
    server.add_rule(Rule::new(Fault::LoseEvents).skip(1).times(1));
    for name in ["a@1", "b@1", "c@1"] {
        load(&engine, name, 1).await;
    }
    unload(&engine, "b@1", 1).await;
    assert!(report().await.loaded.is_empty());
    assert!(events(&engine, 0).await.is_empty());
    lags.into_iter().for_each(|id| server.apply(FaultOrder::Clear(id)));
    assert_eq!(report().await.loaded, ["a@1", "c@1"]);
    let shown = [
        (1, EventKind::Loaded, "a@1".to_owned()),
        (3, EventKind::Loaded, "c@1".to_owned()),
        (4, EventKind::Unloaded, "b@1".to_owned()),
    ];
    assert_eq!(events(&engine, 0).await, shown);
    assert_eq!(events(&engine, 3).await, shown[2..]);
}

/// Guards against two orders for one version that both fetch its weights, and
/// against a load that succeeds although the weight store failed.
#[actix_rt::test]
async fn loads_go_through_the_weight_store_once() {
    let weights = Weights::start(any_port(), Duration::ZERO).unwrap();
    let engine = engine(|settings| settings.weight_store = Some(weights.server().address()));
    let (first, second) = join(load(&engine, "a@1", 1), load(&engine, "a@1", 1)).await;
    assert_eq!((first, second), (200, 200));
    weights.server().add_rule(Rule::new(Fault::Outage).times(1));
    assert_eq!(load(&engine, "b@1", 1).await, 503, "the store is down");
    assert_eq!(load(&engine, "b@1", 1).await, 200);
    let record = weights.record();
    assert_eq!((record.taken["w/a@1"], record.taken["w/b@1"], record.in_flight), (1, 1, 0));
    assert_eq!(engine.record().failed_loads, 1);
}

/// An upstream must never receive a caller's API key, in any header or body.
/// Tests check this by searching every byte that the engine's sockets received,
/// so none may be missing from the recording.
#[actix_rt::test]
async fn every_byte_received_is_kept_while_recording() {
    let engine = engine(|_| {});
    let server = engine.server();
    let call = async |key: &str| {
        let url = format!("http://{}/v1/completions", server.address());
        let request = client().post(url).insert_header(("x-odd", format!("{key}-head")));
        request.send_body(format!("{key}-body")).await.unwrap();
    };
    call("before").await;
    server.set_recording(true);
    call("secret").await;
    server.set_recording(false);
    call("after").await;
    let received = String::from_utf8(server.received().concat()).unwrap();
    for (text, found) in
        [("secret-head", true), ("secret-body", true), ("before", false), ("after", false)]
    {
        assert_eq!(received.contains(text), found, "{text}");
    }
}

/// Guards against a difference between `/state` and the handle's record.
#[actix_rt::test]
async fn state_is_available_over_http() {
    let engine = engine(|_| {});
    read_stream(generate(&engine, &generate_order("base", 1, 2)).await).await;
    let mut answer = get(engine.server().address(), "/state").await.unwrap();
    let record: EngineRecord = answer.json().await.unwrap();
    assert_eq!(record, engine.record());
    let ran = &record.ran[0];
    assert_eq!((ran.request, ran.tokens, ran.outcome), (request_id(1), 2, Outcome::Finished));
}
