//! Reports the engine's load and resident adapters to entries, and applies the
//! operator's specification of the engine.

use std::{net::SocketAddr, rc::Rc};

use actix_http::Method;
use kingcupbay_core::{
    admission::load_report::REPORTED_FOR,
    time::{Instant, Span},
    wire::sidecar::{EngineLoadReport, LOAD_REPORT_PATH},
};
use slog::debug;

use crate::{clock, sidecar::Sidecar};

/// Period of load reports. In between, an entry counts its own requests.
const REPORT_PERIOD: Span = Span::from_millis(250);

/// Timeout of an entry's answer.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Time without a permit request after which an entry's state is dropped. An entry that asks
/// again before need not be sent the adapters that it knows.
const ENTRY_IDLE_MAX: Span = Span::from_secs(60);

/// Sends load reports forever.
pub(crate) async fn send_reports(sidecar: Rc<Sidecar>) {
    loop {
        tokio::time::sleep(REPORT_PERIOD.into()).await;
        let now = clock::now();
        sidecar.node.tick(now);
        let actions = sidecar.admission.borrow_mut().on_tick(now);
        sidecar.perform(actions);
        sidecar
            .entries
            .borrow_mut()
            .retain(|_, entry| now.since(entry.last_request) < ENTRY_IDLE_MAX);
        let mut load_report = sidecar.admission.borrow().load_report(now);
        load_report.engine = Some(sidecar.engine);
        for (&address, entry) in sidecar.entries.borrow_mut().iter_mut() {
            if now.since(entry.last_request) >= REPORTED_FOR {
                continue;
            }
            if let Some(report) = entry.reporter.next(now, &load_report) {
                drop(actix_rt::spawn(send_report(sidecar.clone(), address, now, report)));
            }
        }
    }
}

/// Encodes a load report so that entries of earlier builds understand it.
fn encode(report: &EngineLoadReport) -> Vec<u8> {
    let encoded = match report.is_extended() {
        true => rmp_serde::to_vec_named(report),
        false => rmp_serde::to_vec(report),
    };
    encoded.expect("a load report has only plain fields")
}

/// Sends one load report to `entry` and applies its answer.
async fn send_report(
    sidecar: Rc<Sidecar>,
    entry: SocketAddr,
    at: Instant,
    report: EngineLoadReport,
) {
    let node = &sidecar.node;
    let body = encode(&report);
    let called = node.call(entry, Method::POST, LOAD_REPORT_PATH, &body, ANSWER_TIMEOUT).await;
    let acknowledged = called.as_ref().is_ok_and(|answer| answer.status == 204);
    if let Some(entry) = sidecar.entries.borrow_mut().get_mut(&entry) {
        entry.reporter.on_answer(at, acknowledged);
    }
    if let Err(error) = called {
        // The next report replaces this one, and an entry that has stopped requests no
        // more permits.
        debug!(sidecar.node.log, ""; "event" => "tell_failed", "entry" => %entry,
            "error" => %error);
    }
}

/// Applies the operator's specification and the announced versions whenever the
/// catalogue changes.
pub(crate) async fn follow_catalogue(sidecar: Rc<Sidecar>) {
    let node = &sidecar.node;
    loop {
        let changed = node.changed.notified();
        apply_catalogue(&sidecar);
        // An engine that restarted empty waits for this.
        let actions = sidecar.admission.borrow_mut().on_tick(clock::now());
        sidecar.perform(actions);
        changed.await;
    }
}

/// Applies the engine's specification, announced versions, the fencing number and whether
/// the zone is evacuated.
fn apply_catalogue(sidecar: &Rc<Sidecar>) {
    let node = &sidecar.node;
    let mut admission = sidecar.admission.borrow_mut();
    let catalogue = node.catalogue.borrow();
    let name = node.registry.service.as_deref().unwrap_or_default();
    let now = clock::now();
    let service = catalogue.deployment().and_then(|deployment| deployment.services.get(name));
    if let Some(service) = service {
        admission.on_cold_limits(now, service.cold);
        if let Some(spec) = &service.engine {
            admission.on_spec(spec.clone());
        }
    }
    admission.on_evacuation(now, node.is_evacuated());
    for (name, &version) in catalogue.versions() {
        admission.on_version(name.clone(), version);
    }
    if let Some(number) = node.fencing.get() {
        admission.on_fencing(number);
    }
}
