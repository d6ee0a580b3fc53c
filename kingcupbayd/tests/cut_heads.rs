//! Streams whose engines stop in the middle of their answers' heads and close.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use common::{
    registered::{
        CallerAnswer, Fleet, KEY, STREAM_HEADERS, event_ids, request_tour, start_engine_fleet,
    },
    wait_until,
};
use kingcupbay_standin::UpstreamSettings;

/// Bytes between two cuts.
const STEP_BYTES: usize = 5;

/// Forwards connections to an engine, and ends answers after a number of bytes.
struct Cutting {
    address: SocketAddr,
    state: Arc<State>,
}

struct State {
    /// Bytes of an answer that pass.
    length: AtomicUsize,
    /// Bytes of the longest head so far.
    head: AtomicUsize,
    /// Answers that were cut.
    cuts: AtomicUsize,
}

impl Cutting {
    fn start(engine: SocketAddr) -> Cutting {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let [length, head, cuts] = [usize::MAX, 0, 0].map(AtomicUsize::new);
        let cutting = Cutting { address, state: Arc::new(State { length, head, cuts }) };
        let state = cutting.state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Ok(behind) = TcpStream::connect(engine) else { continue };
                let (from, to) = (stream.try_clone().unwrap(), behind.try_clone().unwrap());
                std::thread::spawn(move || copy(from, to, |_| usize::MAX));
                let state = state.clone();
                std::thread::spawn(move || copy(behind, stream, |bytes| state.on_answer(bytes)));
            }
        });
        cutting
    }
}

impl State {
    /// Returns how many of `bytes` pass.
    fn on_answer(&self, bytes: &[u8]) -> usize {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            self.head.fetch_max(end + 4, Ordering::SeqCst);
        }
        let length = self.length.load(Ordering::SeqCst);
        self.cuts.fetch_add(usize::from(length < bytes.len()), Ordering::SeqCst);
        length
    }
}

/// Copies until fewer bytes pass than have arrived, and closes both sides.
fn copy(mut from: TcpStream, mut to: TcpStream, passing: impl Fn(&[u8]) -> usize) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        let kept = passing(&buffer[..read]).min(read);
        if to.write_all(&buffer[..kept]).is_err() || kept < read {
            break;
        }
    }
    // Either side may have closed its connection already.
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

async fn tour(fleet: &Fleet, attempt: &str, last: Option<&str>) -> CallerAnswer {
    let mut headers = STREAM_HEADERS.to_vec();
    headers.extend(last.map(|last| ("last-event-id", last)));
    // Requests under which engines end differ by their paths.
    fleet.send_with("POST", &format!("/tour/{attempt}"), attempt, KEY, &headers).await
}

/// Guards against a success, framed as whole, that the entry makes of a part of a head; also where
/// the stream is taken up.
#[actix_rt::test]
async fn a_stream_with_a_part_of_a_head_is_no_success() {
    for last in [None, Some("2")] {
        for unframed in [false, true] {
            let settings = UpstreamSettings { unframed, ..UpstreamSettings::engine("gpu-1", 6) };
            let (mut fleet, engine, _sidecar) = start_engine_fleet(settings).await;
            let cutting = Cutting::start(engine.server().address());
            let row = engine.registration_at(cutting.address, "writer", false);
            fleet.store.put("servers", "gpu-1", &row);
            let port = format!(":{}", cutting.address.port());
            wait_until("the new address", async || fleet.entry.has_line(&port).then_some(())).await;
            let calm = request_tour(&fleet, "calm", last).await;
            let whole = event_ids(&calm.body.unwrap());
            assert_eq!(whole.last(), Some(&6));
            let state = &cutting.state;
            let head = state.head.load(Ordering::SeqCst);
            assert!(head > 100, "{head}");
            for length in (0..head).step_by(STEP_BYTES) {
                state.length.store(length, Ordering::SeqCst);
                let before = state.cuts.load(Ordering::SeqCst);
                let mut tries = 0;
                wait_until("an answer that is cut", async || {
                    tries += 1;
                    let got = tour(&fleet, &format!("cut-{length}-{tries}"), last).await;
                    let shown = format!("{length} of {head} bytes, {last:?}, unframed {unframed}");
                    assert_ne!(got.status, 200, "{shown}: {got:?}");
                    assert_eq!(got.signature, None, "{shown}: {got:?}");
                    (state.cuts.load(Ordering::SeqCst) > before).then_some(())
                })
                .await;
            }
        }
    }
}
