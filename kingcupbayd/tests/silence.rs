//! Sound upstreams that fall silent for a while and go on.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{
    EVENT_TIMEOUT,
    registered::{
        ANY_PORT, Fleet, KEY, config_row, event_ids, request_tour, second_host, second_sidecar,
        send_to, start_daemon, start_engine_fleet, start_sidecar, start_two_engines,
    },
    wait_until,
};
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};

/// Events of each stream.
const EVENTS: u64 = 300;

/// A silence that ends before callers give up. It outlasts all times after which an entry looks
/// for another upstream.
const SILENCE: Duration = Duration::from_millis(2_700);

fn slow_engine(id: &str) -> UpstreamSettings {
    UpstreamSettings {
        event_interval: Duration::from_millis(15),
        ..UpstreamSettings::engine(id, EVENTS)
    }
}

/// Waits until one of `engines` has made a few events of a stream.
async fn wait_for_events(engines: &[&UpstreamServer]) {
    wait_until("events of a stream", async || {
        let mut made = engines.iter().flat_map(|engine| engine.events_made().into_values());
        made.any(|made| made >= 5).then_some(())
    })
    .await;
}

/// Makes `upstreams` silent for [`SILENCE`].
async fn pause(upstreams: &[&UpstreamServer]) {
    let pauses: Vec<_> = upstreams.iter().map(|upstream| upstream.server().pause()).collect();
    tokio::time::sleep(SILENCE).await;
    drop(pauses);
}

/// Requests a stream and returns the ids of its events, or why it broke off, with the lines of
/// the entry.
async fn stream(fleet: &Fleet) -> Result<Vec<u64>, String> {
    let answer = request_tour(fleet, "a1", None).await;
    answer.body.as_deref().map(event_ids).map_err(String::clone)
}

/// Guards against ending a stream because its engine is silent while no other takes it.
#[actix_rt::test]
async fn a_stream_outlasts_the_silence_of_its_only_engine() {
    let (fleet, engine, _sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    let silence = async {
        wait_for_events(&[&engine]).await;
        pause(&[&engine]).await;
    };
    let (ids, ()) = tokio::join!(stream(&fleet), silence);
    assert_eq!(ids, Ok((1..=EVENTS).collect()));
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against ending a stream while all engines of its service are silent.
#[actix_rt::test]
async fn a_stream_outlasts_the_silence_of_all_engines() {
    let (fleet, [first, second], _sidecars) = start_two_engines(slow_engine).await;
    let silence = async {
        wait_for_events(&[&first, &second]).await;
        pause(&[&first, &second]).await;
    };
    let (ids, ()) = tokio::join!(stream(&fleet), silence);
    assert_eq!(ids, Ok((1..=EVENTS).collect()));
}

/// Guards against a request that is given up before its first event as its engine is silent.
#[actix_rt::test]
async fn a_request_outlasts_a_silence_before_its_first_event() {
    let (fleet, engine, _sidecar) = start_engine_fleet(slow_engine("gpu-1")).await;
    assert_eq!(request_tour(&fleet, "a0", None).await.status, 200);
    let runs = engine.runs().len();
    let silence = async {
        pause(&[&engine]).await;
    };
    let (ids, ()) = tokio::join!(stream(&fleet), silence);
    assert_eq!(ids, Ok((1..=EVENTS).collect()));
    assert_eq!(engine.runs().len(), runs + 1);
}

/// Guards against a failure in place of an answer that comes after a silence.
#[actix_rt::test]
async fn a_plain_request_outlasts_the_silence_of_its_only_upstream() {
    let fleet = Fleet::start(1).await;
    let desk = fleet.start_plain("desk-1");
    fleet.wait_until_ready().await;
    fleet.request_until(&desk, "first").await;
    let request = send_to(&fleet.entry, "GET", "/seats/today", "a1", KEY, &[]);
    let desks = [&desk];
    let (answer, ()) = tokio::join!(request, pause(&desks));
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("done by desk-1")));
}

/// Guards against two engines that write one stream: the silent one must stop once another goes
/// on with its stream, and its late events must not reach the caller.
#[actix_rt::test]
async fn a_silent_engine_stops_once_another_goes_on() {
    let (fleet, [first, second], _sidecars) = start_two_engines(slow_engine).await;
    let silence = async {
        wait_for_events(&[&first, &second]).await;
        let silent = [&first, &second].into_iter().find(|engine| !engine.runs().is_empty());
        let silent = silent.unwrap();
        pause(&[silent]).await;
        tokio::time::timeout(EVENT_TIMEOUT, silent.wait_for_disconnects(1)).await.unwrap();
    };
    let (ids, ()) = tokio::join!(stream(&fleet), silence);
    assert_eq!(ids, Ok((1..=EVENTS).collect()));
    let runs = [&first, &second].into_iter().flat_map(UpstreamServer::runs);
    assert_eq!(runs.count(), 2);
}

/// Guards against repeats that are counted although no engine granted a permit for them.
#[actix_rt::test]
async fn a_refused_permit_uses_no_repeat() {
    let store = Registry::start(ANY_PORT).unwrap();
    store.put("op", "config", &config_row(1, &[KEY]));
    let first = UpstreamServer::start(ANY_PORT, slow_engine("gpu-1")).unwrap();
    let second = UpstreamServer::start((second_host(), 0).into(), slow_engine("gpu-2")).unwrap();
    let sidecar = start_sidecar("upstream-1", &store, &first);
    let port = sidecar.address("peers").port();
    // One repeat in ten seconds.
    let settings =
        format!("ready = 127.0.0.1:0\nsidecars = {port}\nrepeat_percent = 0\nrepeat_slack = 2\n");
    let entry = start_daemon("entry", "entry-1", &store, &settings);
    let fleet = Fleet { store, entry };
    fleet.register("gpu-1", "writer", &first);
    fleet.wait_until_ready().await;
    fleet.register("gpu-2", "writer", &second);
    let silence = async {
        wait_for_events(&[&first]).await;
        let pause = first.server().pause();
        // The entry asks in vain for a permit of the second engine meanwhile.
        tokio::time::sleep(SILENCE).await;
        let sidecar = second_sidecar(&fleet.store, &second, port);
        let started = tokio::time::timeout(EVENT_TIMEOUT, second.wait_for_runs(1)).await;
        drop(pause);
        (sidecar, started)
    };
    let (ids, (_sidecar, started)) = tokio::join!(stream(&fleet), silence);
    assert_eq!((ids, started), (Ok((1..=EVENTS).collect()), Ok(())));
}
