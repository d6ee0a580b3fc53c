//! Exchange of evacuated availability zones between daemons.
//!
//! Every entry reads evacuations from the store. The readers report them to the other
//! entries, so that an entry that cannot reach the store, or whose feed missed a change,
//! knows them too, and to the sidecars of the zone, whose feeds pause for longer.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    time::Span,
    wire::{
        evacuation::{EVACUATIONS_PATH, EvacuationReport, ZoneState},
        rows::{Row, RowKey},
    },
};
use kingcupbay_platform::{operator, store::OPERATOR_TABLE};
use slog::{info, warn};

use crate::{
    clock,
    registered::{Node, message},
};

/// Timeout of an answer to a report. If it is late, the next report repeats this one.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Applies the state of `zone`, unless a newer one is known. `why` says how this daemon
/// has learned of it. Returns whether the state was applied.
pub(crate) fn apply(node: &Node, zone: &str, state: ZoneState, why: &'static str) -> bool {
    let taken = node.catalogue.borrow_mut().evacuations_mut().on_state(zone, state);
    if taken {
        on_changed(node, zone, why);
    }
    taken
}

/// Returns the zones that `rows`, the operator's, evacuate, with the versions of their rows.
pub(crate) fn listed(rows: &[Row]) -> BTreeMap<String, u64> {
    let zone = |row: &Row| Some((operator::evacuated_zone(&row.key.key)?.to_owned(), row.version));
    rows.iter().filter_map(zone).collect()
}

/// Applies that `zones` are all evacuated zones as of `version`. Their rows have been applied
/// already.
pub(crate) fn on_list(node: &Node, version: u64, zones: &BTreeMap<String, u64>) {
    let now = clock::now();
    let changed = node.catalogue.borrow_mut().evacuations_mut().on_list(now, version, zones);
    changed.iter().for_each(|zone| on_listed(node, zone, "list"));
}

/// Restores zones whose evacuation the operator has not written again in time.
pub(crate) fn on_tick(node: &Node) {
    let now = clock::now();
    let restored = node.catalogue.borrow_mut().evacuations_mut().on_tick(now);
    restored.iter().for_each(|zone| on_listed(node, zone, "not written again"));
}

/// Stores the removal of the row of `zone` if it is restored, and reports the change.
fn on_listed(node: &Node, zone: &str, why: &'static str) {
    let state = node.catalogue.borrow().evacuations().state(zone);
    if let Some(ZoneState { version, evacuated: false }) = state {
        let key = operator::evacuation_key(zone);
        let key = RowKey { table: OPERATOR_TABLE.to_owned(), key };
        node.rows.borrow_mut().on_row(&Row::removal(key, version));
    }
    on_changed(node, zone, why);
}

/// Logs that the state of `zone` has changed, and notifies the requests that wait for an
/// engine there.
fn on_changed(node: &Node, zone: &str, why: &'static str) {
    let Some(state) = node.catalogue.borrow().evacuations().state(zone) else { return };
    info!(node.log, ""; "event" => "zone", "zone" => zone, "evacuated" => state.evacuated,
        "version" => state.version, "why" => why);
    node.evacuated.notify_waiters();
    node.changed.notify_waiters();
}

/// Reports the evacuated zones to `entries`, all of them if the report is `whole`. A reader
/// reports changes to the sidecars too.
pub(crate) fn send_reports(node: &Rc<Node>, entries: Vec<SocketAddr>, whole: bool) {
    let report = node.catalogue.borrow_mut().evacuations_mut().report(whole);
    if report.zones.is_empty() {
        return;
    }
    let body = rmp_serde::to_vec_named(&report).expect("a report has only plain fields");
    let body = Bytes::from(body);
    let reports_change = !whole && node.reader.get();
    let sidecars = if reports_change { sidecars_in(node, &report) } else { Vec::new() };
    for peer in entries.into_iter().chain(sidecars) {
        drop(actix_rt::spawn(send_report(node.clone(), peer, body.clone())));
    }
}

/// Returns the addresses of the sidecars of the engines in the zones of `report`.
fn sidecars_in(node: &Node, report: &EvacuationReport) -> Vec<SocketAddr> {
    let catalogue = node.catalogue.borrow();
    let Some(deployment) = catalogue.deployment() else { return Vec::new() };
    let concerned = catalogue.instances().filter(|row| {
        let service = deployment.services.get(&row.service);
        report.zones.contains_key(&row.zone) && service.is_some_and(|row| row.engine.is_some())
    });
    concerned.map(|row| SocketAddr::new(row.address.ip(), node.registry.sidecars)).collect()
}

/// Sends a report to one daemon.
async fn send_report(node: Rc<Node>, peer: SocketAddr, body: Bytes) {
    let called = node.call(peer, Method::POST, EVACUATIONS_PATH, &body, ANSWER_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => return,
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    warn!(node.log, ""; "event" => "evacuations_lost", "peer" => %peer, "error" => error);
}

/// Applies a reader's report.
pub(crate) async fn handle(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let report = match message::read::<EvacuationReport>(&node.log, &mut request).await {
        Ok(report) => report,
        Err(answer) => return answer,
    };
    for (zone, state) in report.zones {
        apply(&node, &zone, state, "told");
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

impl Node {
    /// Returns whether this daemon is in an evacuated zone.
    pub(crate) fn is_evacuated(&self) -> bool {
        let zone = self.settings.daemon.zone.to_string();
        self.catalogue.borrow().evacuations().is_evacuated(&zone)
    }
}
