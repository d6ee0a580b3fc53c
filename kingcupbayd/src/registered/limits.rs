//! Exchange of the limits that upstreams announce between entries.
//!
//! The entries that may send to a limited upstream hear whether the limit still holds, and
//! report it to the others.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    time::Span,
    wire::limit::{LIMITS_PATH, LimitReports},
};
use slog::debug;

use crate::{clock, gateway::Gateway, registered::message};

/// Timeout of an answer to a report. If it is late, a later report replaces this one.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Reports the limits that are due to the other entries. Those of engines are kept by their
/// sidecars.
pub(crate) fn send_reports(gateway: &Rc<Gateway>) {
    let upstreams = {
        let catalogue = gateway.node.catalogue.borrow();
        let is_plain = |id: &str| {
            let service = &catalogue.instance(id)?.service;
            Some(catalogue.deployment()?.services.get(service)?.engine.is_none())
        };
        let shared = |id: &str| is_plain(id).unwrap_or_default();
        gateway.limits.borrow_mut().reports(clock::now(), shared)
    };
    if upstreams.is_empty() {
        return;
    }
    let body = rmp_serde::to_vec_named(&LimitReports { upstreams });
    let body = Bytes::from(body.expect("a report has only plain fields"));
    for peer in other_entries(gateway) {
        drop(actix_rt::spawn(send_report(gateway.clone(), peer, body.clone())));
    }
}

/// Returns the addresses of the other entries.
fn other_entries(gateway: &Gateway) -> Vec<SocketAddr> {
    let catalogue = gateway.node.catalogue.borrow();
    let others = catalogue.entries().filter(|member| member.host != gateway.node.host());
    others.map(|member| member.address).collect()
}

/// Sends a report to one entry.
async fn send_report(gateway: Rc<Gateway>, peer: SocketAddr, body: Bytes) {
    let node = &gateway.node;
    let called = node.call(peer, Method::POST, LIMITS_PATH, &body, ANSWER_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => return,
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    debug!(gateway.node.log, ""; "event" => "limits_lost", "peer" => %peer, "error" => error);
}

/// Applies another entry's report.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    match message::read::<LimitReports>(&gateway.node.log, &mut request).await {
        Ok(reports) => gateway.on_limit_reports(reports),
        Err(answer) => return answer,
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}
