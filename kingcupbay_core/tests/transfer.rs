//! Which streams move, in which order, and what happens after each answer.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use kingcupbay_core::{
    deployment::model::{Engine, EngineTransfers, Service},
    time::Span,
    transfer::{
        CopyOutcome, EventPlace, StartQueue, Step, StreamEnd, StreamLoad, Transfer, event_place,
    },
    wire::sidecar::TransferReason,
};

const GAP: Span = Span::from_millis(300);

fn load(priority: u8, tokens_left: u64) -> StreamLoad {
    StreamLoad { priority, tokens_left, token_time: Some(Span::from_millis(10)) }
}

fn copied() -> CopyOutcome {
    CopyOutcome::Copied { handle: "h".to_owned() }
}

/// Returns a transfer whose source was asked to stop the run.
fn stopping() -> Transfer {
    let mut transfer = Transfer::new();
    assert_eq!(transfer.on_copy(copied(), Span::ZERO, GAP), Step::Copy { last: true });
    transfer
}

/// Guards against moving streams that end in time, and losing those that would not.
#[test]
fn only_streams_that_would_not_end_in_time_move() {
    let notice = Some(Span::from_millis(1_000));
    assert!(!load(0, 50).must_move(TransferReason::Leaving, notice));
    assert!(load(0, 90).must_move(TransferReason::Leaving, notice));
    let unknown = StreamLoad { token_time: None, ..load(0, 172) };
    assert!(unknown.must_move(TransferReason::Evacuated, None));
    let unsized_stream = load(0, u64::MAX);
    assert!(unsized_stream.must_move(TransferReason::Leaving, notice));
}

/// Guards against urgent streams that wait for the link behind others.
#[test]
fn the_most_urgent_and_the_farthest_from_its_end_move_first() {
    let engine: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let mut queue = StartQueue::default();
    let loads = [load(2, 900), load(0, 100), load(1, 500), load(0, 400), load(1, 600), load(2, 1)];
    for (id, load) in loads.into_iter().enumerate() {
        queue.push(engine, id as u64, load);
    }
    assert_eq!(queue.start(engine), [3, 1, 4, 2]);
    queue.push(engine, 3, load(0, 400));
    assert_eq!(queue.start(engine), [0_u64; 0], "four move already");
    queue.remove(engine, 1);
    assert_eq!(queue.start(engine), [0]);
    queue.remove(engine, 5);
    queue.remove(engine, 3);
    assert_eq!(queue.start(engine), [0_u64; 0]);
}

/// Guards against a stream that is ended although its source still runs it.
#[test]
fn a_failed_copy_leaves_the_stream_where_it_is() {
    let outcomes = [CopyOutcome::NoRoom { handle: None }, CopyOutcome::NoRun, CopyOutcome::Unknown];
    for outcome in outcomes {
        let mut transfer = Transfer::new();
        assert_eq!(transfer.on_copy(outcome, Span::ZERO, GAP), Step::Stay);
        assert!(!transfer.may_have_stopped());
        assert_eq!(transfer.on_stream_end(StreamEnd::Whole), Step::Finished);
    }
}

/// Guards against a long pause: the rest of a slow copy is as long as the copy was.
#[test]
fn a_slow_copy_is_repeated_before_the_run_stops() {
    let mut transfer = Transfer::new();
    let slow = GAP + GAP;
    assert_eq!(transfer.on_copy(copied(), slow, GAP), Step::Copy { last: false });
    assert_eq!(transfer.on_copy(copied(), slow, GAP), Step::Copy { last: false });
    assert_eq!(transfer.on_copy(copied(), slow, GAP), Step::Copy { last: true });
}

/// Guards against a stream that is given up after calls to stop it were lost.
#[test]
fn a_source_that_does_not_answer_keeps_the_stream() {
    let mut transfer = stopping();
    let mut step = Step::Copy { last: true };
    while step == (Step::Copy { last: true }) {
        step = transfer.on_copy(CopyOutcome::Unknown, Span::ZERO, GAP);
    }
    assert_eq!(step, Step::Stay);
    assert!(transfer.may_have_stopped());
    // A late call stops it; the source is asked again what it has.
    assert_eq!(transfer.on_stream_end(StreamEnd::Cut), Step::Copy { last: true });
    let step = transfer.on_copy(copied(), Span::ZERO, GAP);
    assert!(matches!(step, Step::Continue { .. }), "{step:?}");
}

/// Guards against copies that are never freed as their stream ended meanwhile.
#[test]
fn the_copy_of_a_stream_that_ended_is_unused() {
    let mut transfer = stopping();
    assert_eq!(transfer.on_stream_end(StreamEnd::Whole), Step::Finished);
    assert_eq!(transfer.unused_copy(), Some("h"));
}

/// Guards against events that a caller gets twice or not at all.
#[test]
fn events_follow_the_last_forwarded_one() {
    assert_eq!(event_place(Some(3), 3), EventPlace::Repeated);
    assert_eq!(event_place(Some(3), 4), EventPlace::Next);
    assert_eq!(event_place(Some(3), 5), EventPlace::Gap);
    assert_eq!(event_place(None, 1), EventPlace::Next);
}

/// Guards against sidecars that read the store again as builds hash a specification
/// differently.
#[test]
fn an_engine_without_transfers_has_the_specification_of_earlier_builds() {
    let engine = Engine { slots: 2, ..Engine::default() };
    let text = "Engine { slots: 2, kv_tokens: 0, adapter_slots: 0, weights_mb: 0.0, models: {}, \
                load_rate: None }";
    assert_eq!(format!("{engine:?}"), text);
    let moving = Engine { transfers: Some(EngineTransfers::default()), ..engine.clone() };
    let hash = |engine| Service { engine: Some(engine), ..Service::default() }.spec_hash();
    assert_ne!(hash(engine), hash(moving));
}
