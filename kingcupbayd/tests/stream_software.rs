//! Streams go on only at engines of the software version that began them.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use common::{
    Process, get_text,
    registered::{
        CallerAnswer, Fleet, KEY, STREAM_HEADERS, adapter, event_ids, read_until_cut, request_tour,
        second_host, second_sidecar, send_to, start_engine_fleet, start_entry, wait_until_ready,
    },
    wait_until,
};
use kingcupbay_standin::{UpstreamServer, UpstreamSettings};

/// Two engines of different software behind two entries.
struct MixedFleet {
    fleet: Fleet,
    engines: [UpstreamServer; 2],
    other: Process,
    _sidecars: [Process; 2],
}

impl MixedFleet {
    /// Starts engines with `settings`, whose software is `v1` and `v2`.
    async fn start(settings: impl Fn(&str) -> UpstreamSettings) -> MixedFleet {
        let (mut fleet, first, mut sidecar) = start_engine_fleet(settings("gpu-1")).await;
        let port = sidecar.address("peers").port();
        let newer = UpstreamSettings { software: "v2".to_owned(), ..settings("gpu-2") };
        let second = UpstreamServer::start(SocketAddr::new(second_host(), 0), newer).unwrap();
        let mut second_sidecar = second_sidecar(&fleet.store, &second, port);
        fleet.register("gpu-2", "writer", &second);
        let other = start_entry("entry-2", &fleet.store, port);
        wait_until_ready(&other).await;
        wait_until("both engines", async || {
            let known = fleet.entry.has_line("id=gpu-2");
            let reported =
                sidecar.has_line("event=report") && second_sidecar.has_line("event=report");
            (known && reported).then_some(())
        })
        .await;
        wait_until("both entries to know each other", async || {
            let counts = get_text(&fleet.entry, "/metrics").await;
            counts.contains("kingcupbay_control_messages_total{kind=\"tally\"}").then_some(())
        })
        .await;
        let sidecars = [sidecar, second_sidecar];
        MixedFleet { fleet, engines: [first, second], other, _sidecars: sidecars }
    }

    /// Returns the engine, by its index, that ran `attempt` first.
    fn ran(&self, attempt: &str) -> Option<usize> {
        self.engines
            .iter()
            .position(|engine| engine.runs().iter().any(|run| run.attempt == attempt))
    }
}

/// Takes up stream `number` after the event `last`.
async fn take_up(entry: &Process, number: usize, last: u64) -> CallerAnswer {
    take_up_as(entry, number, last, &format!("s{number}-again")).await
}

async fn take_up_as(entry: &Process, number: usize, last: u64, attempt: &str) -> CallerAnswer {
    let (model, first, last) = (adapter(number), format!("s{number}"), last.to_string());
    let headers =
        [("x-model", &*model), STREAM_HEADERS[1], ("last-event-id", &*last), ("resumes", &*first)];
    send_to(entry, "POST", "/tour/day", attempt, KEY, &headers).await
}

/// Takes up stream `number` as callers do that come back when an answer says so.
async fn take_up_patiently(entry: &Process, number: usize, last: u64) -> CallerAnswer {
    for attempt in 0.. {
        let answer = take_up_as(entry, number, last, &format!("s{number}-again-{attempt}")).await;
        let Some(after) = answer.retry_after.as_ref().filter(|_| attempt < 10) else {
            return answer;
        };
        tokio::time::sleep(Duration::from_secs_f64(after.parse().unwrap())).await;
    }
    unreachable!("the last attempt returns")
}

/// The entry that relayed streams is killed. Their callers come back to another one, which must
/// continue each at an engine of the software that began it.
#[actix_rt::test]
async fn streams_taken_up_at_another_entry_keep_their_software() {
    const STREAMS: usize = 24;
    let settings = |id: &str| UpstreamSettings {
        event_interval: Duration::from_millis(40),
        ..UpstreamSettings::engine(id, 100)
    };
    let mixed = MixedFleet::start(settings).await;
    let callers = mixed.fleet.entry.address("callers");
    let streams = (0..STREAMS).map(|number| read_until_cut(callers, number));
    let kill = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        mixed.fleet.entry.signal("-KILL");
    };
    let (lasts, ()) = tokio::join!(futures_util::future::join_all(streams), kill);
    let broken: Vec<(usize, u64)> =
        (0..STREAMS).zip(lasts).filter_map(|(number, last)| Some((number, last?))).collect();
    assert!(broken.len() * 2 >= STREAMS, "{broken:?}");
    let used: BTreeSet<_> =
        broken.iter().map(|(number, _)| mixed.ran(&format!("s{number}"))).collect();
    assert_eq!(used.len(), 2, "both engines have streams: {broken:?}");
    let retries = broken.iter().map(|&(number, last)| take_up(&mixed.other, number, last));
    let answers = futures_util::future::join_all(retries).await;
    let mut went_on = 0;
    for (&(number, last), answer) in broken.iter().zip(answers) {
        if let Some(engine) = mixed.ran(&format!("s{number}-again")) {
            let began = mixed.ran(&format!("s{number}"));
            assert_eq!(Some(engine), began, "s{number} after {last}: {answer:?}");
            went_on += 1;
        }
    }
    assert!(went_on * 2 >= broken.len(), "{went_on} of {}", broken.len());
}

/// An engine closes the connection in the middle of a stream, and the only other one runs another
/// software. The stream must end incomplete.
#[actix_rt::test]
async fn a_broken_stream_does_not_go_on_at_another_software() {
    let settings =
        |id: &str| UpstreamSettings { cut_after: Some(3), ..UpstreamSettings::engine(id, 6) };
    let mixed = MixedFleet::start(settings).await;
    let got = request_tour(&mixed.fleet, "a1", None).await;
    let runs: usize = mixed.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "{got:?}");
    assert_eq!(event_ids(&got.body.unwrap()), [1, 2, 3]);
}

/// Nobody knows which software began a stream. It must be refused at once as not run.
#[actix_rt::test]
async fn a_stream_of_unknown_origin_is_refused() {
    let mixed = MixedFleet::start(|id| UpstreamSettings::engine(id, 6)).await;
    assert_eq!(request_tour(&mixed.fleet, "a1", None).await.status, 200);
    let runs = || mixed.engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
    let before = runs();
    for (number, entry) in [(1, &mixed.fleet.entry), (2, &mixed.other)] {
        let got = take_up(entry, number, 2).await;
        assert_eq!((got.status, got.retry_after.as_deref()), (503, None), "{got:?}");
    }
    assert_eq!(runs(), before);
}

/// All engines run one software. A stream that nobody knows must still be taken up, as by
/// callers that name no attempt.
#[actix_rt::test]
async fn streams_of_a_single_software_need_no_origin() {
    let (fleet, engine, _sidecar) = start_engine_fleet(UpstreamSettings::engine("gpu-1", 6)).await;
    assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
    let got = take_up(&fleet.entry, 0, 2).await;
    assert_eq!(event_ids(&got.body.unwrap()), [3, 4, 5, 6]);
    let got = request_tour(&fleet, "c1", Some("4")).await;
    assert_eq!(event_ids(&got.body.unwrap()), [5, 6]);
    assert_eq!(engine.runs().len(), 3);
}

/// A release has replaced all engines of one software when all entries are killed. Those that
/// start again see the other software alone, and must not let a stream of unknown origin go on.
#[actix_rt::test]
async fn a_stream_is_refused_after_the_loss_of_all_entries_beside_a_release() {
    let mut mixed = MixedFleet::start(|id| UpstreamSettings::engine(id, 6)).await;
    wait_until("the note", async || {
        let noted = "event=software_noted";
        (mixed.fleet.entry.has_line(noted) || mixed.other.has_line(noted)).then_some(())
    })
    .await;
    mixed.fleet.store.remove("servers", "gpu-1");
    mixed.fleet.entry.signal("-KILL");
    mixed.other.signal("-KILL");
    let port = mixed._sidecars[0].address("peers").port();
    let entry = start_entry("entry-1", &mixed.fleet.store, port);
    wait_until_ready(&entry).await;
    let runs = || mixed.engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
    let before = runs();
    let got = take_up(&entry, 1, 2).await;
    assert_eq!((got.status, runs()), (503, before), "{got:?}");
}

/// All entries are killed while engines of two software versions serve. Guards against losing the
/// origins of all streams with them, and against streams that go on at another software.
#[actix_rt::test]
async fn streams_go_on_after_the_loss_of_all_entries() {
    const STREAMS: usize = 24;
    let settings = |id: &str| UpstreamSettings {
        event_interval: Duration::from_millis(40),
        ..UpstreamSettings::engine(id, 100)
    };
    let mixed = MixedFleet::start(settings).await;
    let entries = [&mixed.fleet.entry, &mixed.other];
    let callers = entries.map(|entry| entry.address("callers"));
    let streams = (0..STREAMS).map(|number| read_until_cut(callers[number % 2], number));
    let kill = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        entries.iter().for_each(|entry| entry.signal("-KILL"));
    };
    let (lasts, ()) = tokio::join!(futures_util::future::join_all(streams), kill);
    let broken: Vec<(usize, u64)> =
        (0..STREAMS).zip(lasts).filter_map(|(number, last)| Some((number, last?))).collect();
    assert!(broken.len() * 2 >= STREAMS, "{broken:?}");
    let began: Vec<Option<usize>> =
        broken.iter().map(|(number, _)| mixed.ran(&format!("s{number}"))).collect();
    assert_eq!(began.iter().collect::<BTreeSet<_>>().len(), 2, "both engines have streams");
    let port = mixed._sidecars[0].address("peers").port();
    let entry = start_entry("entry-1", &mixed.fleet.store, port);
    wait_until_ready(&entry).await;
    let again = broken.iter().map(|&(number, last)| take_up_patiently(&entry, number, last));
    let answers = futures_util::future::join_all(again).await;
    let mut went_on = 0;
    for ((&(number, last), began), answer) in broken.iter().zip(began).zip(&answers) {
        let runs = (0..=10).filter_map(|attempt| mixed.ran(&format!("s{number}-again-{attempt}")));
        let elsewhere = runs.filter(|&engine| Some(engine) != began).count();
        assert_eq!(elsewhere, 0, "s{number} after {last}: {answer:?}");
        let events = answer.body.as_deref().map(event_ids).unwrap_or_default();
        went_on += usize::from(answer.status == 200 && events.first() == Some(&(last + 1)));
    }
    assert!(went_on * 2 >= broken.len(), "{went_on} of {}: {answers:?}", broken.len());
}
