//! Lets entries know how busy the engine is and what it holds, and takes over
//! what the operator declares of it.

use std::{net::SocketAddr, rc::Rc};

use actix_http::Method;
use kingcupbay_core::{
    time::{Instant, Span},
    wire::sidecar::{EngineLoadReport, LOAD_REPORT_PATH},
};
use slog::debug;

use crate::{clock, sidecar::Sidecar};

/// Period of the messages; an entry's own sends since the last one count too.
const REPORT_PERIOD: Span = Span::from_millis(250);

/// Time for an entry's answer.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// An entry that asked for no place for this long is told nothing.
const ENTRY_IDLE_MAX: Span = Span::from_secs(20);

/// Tells entries for ever.
pub(crate) async fn send_reports(sidecar: Rc<Sidecar>) {
    loop {
        tokio::time::sleep(REPORT_PERIOD.into()).await;
        let now = clock::now();
        let actions = sidecar.admission.borrow_mut().on_tick(now);
        sidecar.perform(actions);
        sidecar
            .entries
            .borrow_mut()
            .retain(|_, entry| now.since(entry.last_request) < ENTRY_IDLE_MAX);
        let mut load_report = sidecar.admission.borrow().load_report();
        load_report.engine = Some(sidecar.engine);
        for (&address, entry) in sidecar.entries.borrow_mut().iter_mut() {
            if let Some(report) = entry.reporter.next(now, &load_report) {
                drop(actix_rt::spawn(send_report(sidecar.clone(), address, now, report)));
            }
        }
    }
}

async fn send_report(
    sidecar: Rc<Sidecar>,
    entry: SocketAddr,
    at: Instant,
    report: EngineLoadReport,
) {
    let pool = &sidecar.node.pool;
    let body = rmp_serde::to_vec(&report).expect("a load report has only plain fields");
    let called = pool.call(entry, Method::POST, LOAD_REPORT_PATH, &body, ANSWER_TIMEOUT).await;
    let acknowledged = called.as_ref().is_ok_and(|answer| answer.status == 204);
    if let Some(entry) = sidecar.entries.borrow_mut().get_mut(&entry) {
        entry.reporter.on_answer(at, acknowledged);
    }
    if let Err(error) = called {
        // The next message says more; an entry that is gone asks no more.
        debug!(sidecar.node.log, ""; "event" => "tell_failed", "entry" => %entry,
            "error" => %error);
    }
}

/// Takes over what is declared of the engine, whenever that changes.
pub(crate) async fn follow_catalogue(sidecar: Rc<Sidecar>) {
    let node = &sidecar.node;
    loop {
        let changed = node.changed.notified();
        apply_catalogue(&sidecar);
        // An engine that came back empty waits for just this.
        let actions = sidecar.admission.borrow_mut().on_tick(clock::now());
        sidecar.perform(actions);
        changed.await;
    }
}

fn apply_catalogue(sidecar: &Rc<Sidecar>) {
    let node = &sidecar.node;
    let mut admission = sidecar.admission.borrow_mut();
    let catalogue = node.catalogue.borrow();
    let service = node.registry.service.as_deref().unwrap_or_default();
    let spec = catalogue
        .deployment()
        .and_then(|deployment| deployment.services.get(service)?.engine.clone());
    if let Some(spec) = spec {
        admission.on_spec(spec);
    }
    for (name, &version) in catalogue.versions() {
        admission.on_version(name.clone(), version);
    }
    if let Some(number) = node.fencing.get() {
        admission.on_fencing(number);
    }
}
