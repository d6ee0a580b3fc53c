//! Parts of prompts that crash engines.

#![allow(clippy::unwrap_used)]

mod common;

use std::{cell::Cell, time::Duration};

use common::{
    Process,
    registered::{
        CallerAnswer, Fleet, KEY, STREAM_HEADERS, send_to, start_engine_fleet, start_entry,
        wait_until_ready,
    },
    wait_until,
};
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};

/// The part on which engines crash.
const FATAL: &str = "bad0";

/// Crashes after which every entry must refuse the part.
const CRASHES_MAX: u32 = 5;

/// An engine that crashes on [`FATAL`], and what registers it.
struct CrashingFleet {
    fleet: Fleet,
    engine: UpstreamServer,
    _sidecar: Process,
    /// Number of its starts, as its row says.
    starts: Cell<u64>,
    requests: Cell<u64>,
}

impl CrashingFleet {
    async fn start(unframed: bool) -> CrashingFleet {
        let settings = UpstreamSettings {
            event_interval: Duration::from_millis(20),
            unframed,
            ..UpstreamSettings::engine("gpu-1", 8)
        };
        let (fleet, engine, sidecar) = start_engine_fleet(settings).await;
        engine.crash_on(FATAL);
        CrashingFleet {
            fleet,
            engine,
            _sidecar: sidecar,
            starts: Cell::new(1),
            requests: Cell::new(0),
        }
    }

    /// Sends a request whose prompt holds `part` in its middle, and a part of its own.
    async fn send(&self, entry: &Process, part: &str) -> CallerAnswer {
        self.requests.set(self.requests.get() + 1);
        let number = self.requests.get();
        let prefix = format!("5c1e07a2:40,{part}:30,{number:x}ff:30");
        let mut headers = STREAM_HEADERS.to_vec();
        headers.push(("x-prompt-prefix", &prefix));
        let attempt = format!("a{number}");
        send_to(entry, "POST", "/tour/day", &attempt, KEY, &headers).await
    }

    /// Sends sound requests until some have been served.
    async fn serve(&self, entry: &Process) {
        for _ in 0..4 {
            wait_until("a sound request", async || {
                (self.send(entry, "91bd3f06").await.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Sends fatal requests to `entry` until the engine has crashed, and registers it as started
    /// anew. Returns an answer that refuses the part instead, if one does.
    async fn crash(&self, entry: &Process) -> Option<CallerAnswer> {
        let before = self.engine.crashes();
        let refusal = wait_until("a crash or a refusal", async || {
            let answer = self.send(entry, FATAL).await;
            let refused =
                answer.body.as_ref().is_ok_and(|body| body.contains("part of the prompt"));
            match (refused, self.engine.crashes() > before) {
                (true, _) => Some(Some(answer)),
                (_, true) => Some(None),
                _ => None,
            }
        })
        .await;
        let crashes = u64::from(self.engine.crashes()) + 1;
        self.starts.set(crashes);
        let mut row = self.engine.registration("writer", "ready");
        row["born"] = crashes.into();
        row["seq"] = 1.into();
        self.fleet.store.put("servers", "gpu-1", &row);
        refusal
    }
}

/// Returns when the entries had time to decide on what they know.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

/// Engines crash on one part of the prompts of different requests. Requests with it must be
/// refused at once as not run, and those that share their other parts be served.
#[actix_rt::test]
async fn a_part_that_crashes_engines_is_refused() {
    assert_refused_after_crashes(false).await;
}

/// The same at an engine whose answers end with their connection: one that has crashed looks as
/// if its answer were whole.
#[actix_rt::test]
async fn a_part_that_ends_unframed_answers_is_refused() {
    assert_refused_after_crashes(true).await;
}

async fn assert_refused_after_crashes(unframed: bool) {
    let crashing = CrashingFleet::start(unframed).await;
    let entry = &crashing.fleet.entry;
    crashing.serve(entry).await;
    let refusal = loop {
        if let Some(refusal) = crashing.crash(entry).await {
            break refusal;
        }
        let crashes = crashing.engine.crashes();
        assert!(crashes <= CRASHES_MAX, "{crashes} crashes on one part");
        crashing.serve(entry).await;
        if crashes >= 3 {
            settle().await;
        }
    };
    assert_eq!((refusal.status, refusal.retry_after), (503, None));
    let crashes = crashing.engine.crashes();
    for _ in 0..5 {
        assert_eq!(crashing.send(entry, FATAL).await.status, 503);
        crashing.serve(entry).await;
    }
    assert_eq!(crashing.engine.crashes(), crashes);
}

/// Each entry sees a part of the crashes only. Together they must find the part, and an entry
/// that starts later must learn of it from them.
#[actix_rt::test]
async fn entries_find_a_fatal_part_together() {
    let crashing = CrashingFleet::start(false).await;
    let first = &crashing.fleet.entry;
    let port = crashing._sidecar.address("peers").port();
    let second = start_entry("entry-2", &crashing.fleet.store, port);
    wait_until_ready(&second).await;
    for entry in [first, &second] {
        crashing.serve(entry).await;
    }
    for entry in [first, &second, first, &second] {
        crashing.crash(entry).await;
        crashing.serve(first).await;
        crashing.serve(&second).await;
        if crashing.engine.crashes() >= 3 {
            settle().await;
        }
    }
    let crashes = crashing.engine.crashes();
    assert!(crashes <= 4, "{crashes} crashes on one part");
    let third = start_entry("entry-3", &crashing.fleet.store, port);
    wait_until_ready(&third).await;
    settle().await;
    for entry in [first, &second, &third] {
        let answer = crashing.send(entry, FATAL).await;
        let refused = answer.body.as_ref().is_ok_and(|body| body.contains("part of the prompt"));
        assert!(answer.status == 503 && refused, "{answer:?}");
    }
    assert_eq!(crashing.engine.crashes(), crashes);
}
