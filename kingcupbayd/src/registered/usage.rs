//! Exchange of usage reports between entries.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use kingcupbay_core::{
    deployment::waits::RELAY_PERIOD,
    time::{Instant, Span},
    wire::usage::{USAGE_PATH, UsageReport},
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::Gateway,
    registered::{Node, confirm, evacuations, limits, members, message, origins, parts, rows},
};

/// Timeout of a peer's answer. If it is late, the next report replaces this one.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Silence after which an entry is removed from the list, so that its part of the limits
/// goes to the others. A restart or a short loss of the network does not take that long.
const SILENCE_MAX: Span = Span::from_secs(20);

/// Pause between two looks at the software of all upstreams.
const REVIEW_PERIOD: Span = Span::from_secs(1);

/// Pause between two reports of the parts that engines crash on.
const PARTS_PERIOD: Span = Span::from_millis(100);

/// Pause between two attempts to remove the same entries.
const REMOVAL_PAUSE: Span = Span::from_secs(5);

/// Sends usage reports forever.
pub(crate) async fn send_reports(gateway: Rc<Gateway>) {
    let mut last_removal = clock::now();
    let mut last_relay = last_removal;
    let mut last_review = last_removal;
    let mut last_parts = last_removal;
    loop {
        let period = gateway.allowance.borrow().report_period();
        tokio::time::sleep(period.into()).await;
        let now = clock::now();
        gateway.node.tick(now);
        gateway.metrics.set_configuration_age(confirm::age(&gateway.node));
        gateway.metrics.set_limited(gateway.limits.borrow().limited(now));
        limits::send_reports(&gateway);
        if now.since(last_parts) >= PARTS_PERIOD {
            last_parts = now;
            parts::send_reports(&gateway);
        }
        if now.since(last_review) >= REVIEW_PERIOD {
            last_review = now;
            origins::on_instances(&gateway);
        }
        let peers = gateway.limiters.borrow().peers().to_vec();
        let mut whole = false;
        if !peers.is_empty() {
            whole = report_usage(&gateway, now, &peers);
        }
        let followers: Vec<SocketAddr> = gateway.limiters.borrow().followers().collect();
        if !followers.is_empty() && now.since(last_relay) >= RELAY_PERIOD {
            last_relay = now;
            relay(&gateway, now, &followers);
        }
        let reader = gateway.node.reader.get();
        let others: Vec<_> = peers.into_iter().filter(|_| reader).chain(followers).collect();
        if !others.is_empty() {
            evacuations::send_reports(&gateway.node, others, whole);
        }
        if now.since(last_removal) >= REMOVAL_PAUSE {
            last_removal = now;
            remove_silent(&gateway);
        }
    }
}

/// Sends a usage report to `peers`. Returns whether it is a whole one.
fn report_usage(gateway: &Rc<Gateway>, now: Instant, peers: &[SocketAddr]) -> bool {
    let node = &gateway.node;
    let mut report = gateway.allowance.borrow_mut().usage_report(now, node.number());
    report.left = node.catalogue.borrow_mut().departures_to_report(now, report.whole);
    report.positions = node.own_read_positions(now);
    let body = encode(&report);
    for &peer in peers {
        drop(actix_rt::spawn(send_report(gateway.clone(), peer, body.clone())));
    }
    report.whole
}

/// Passes on to `followers` what is known of the tables, departures and the configuration.
fn relay(gateway: &Rc<Gateway>, now: Instant, followers: &[SocketAddr]) {
    let node = &gateway.node;
    let report = UsageReport {
        host: node.host().to_owned(),
        incarnation: node.incarnation,
        number: node.number(),
        whole: true,
        left: node.catalogue.borrow().departures_to_relay(now),
        positions: node.read_positions.borrow_mut().relay(now),
        ..UsageReport::default()
    };
    let body = encode(&report);
    for &follower in followers {
        drop(actix_rt::spawn(send_report(gateway.clone(), follower, body.clone())));
    }
}

/// Encodes a report so that entries of earlier builds, which reject a longer list of values,
/// understand it.
fn encode(report: &UsageReport) -> Bytes {
    let encoded = match report.is_extended() {
        true => rmp_serde::to_vec_named(report),
        false => rmp_serde::to_vec(report),
    };
    encoded.expect("a usage report has only plain fields").into()
}

/// Applies another entry's usage report.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let mut report = match message::read::<UsageReport>(&gateway.node.log, &mut request).await {
        Ok(report) => report,
        Err(answer) => return answer,
    };
    let now = clock::now();
    let from = gateway.node.address_of(&report.host);
    let number = gateway.node.number();
    // This also counts for an entry that is not listed here yet.
    gateway.catch_up.borrow_mut().on_number(report.number);
    if let Some(address) = from
        && gateway.catch_up.borrow_mut().begin_fetch(now, number, report.number)
    {
        info!(gateway.node.log, ""; "event" => "newer_elsewhere", "peer" => &report.host,
            "number" => number.0, "theirs" => report.number.0);
        drop(actix_rt::spawn(catch_up(gateway.clone(), address)));
    }
    gateway.node.on_read_positions(now, &mut report);
    apply_departures(&gateway.node, now, &report);
    let limiter = gateway.limiters.borrow().is_limiter();
    let known = !limiter || gateway.allowance.borrow_mut().on_usage_report(now, report);
    let status = if known { StatusCode::NO_CONTENT } else { StatusCode::ACCEPTED };
    Response::with_body(status, BoxBody::new(()))
}

/// Applies departures of upstreams that another entry has seen.
fn apply_departures(node: &Node, now: Instant, report: &UsageReport) {
    for (id, &version) in &report.left {
        if node.catalogue.borrow_mut().on_departure_report(now, id, version) {
            info!(node.log, ""; "event" => "upstream_gone", "id" => id, "why" => "told",
                "version" => version, "peer" => &report.host);
            node.changed.notify_waiters();
        }
    }
}

/// Fetches from another entry what the store has not delivered.
async fn catch_up(gateway: Rc<Gateway>, from: SocketAddr) {
    let node = &gateway.node;
    let began = clock::now();
    rows::fetch(node, from).await;
    let (now, number) = (clock::now(), node.number());
    let mut catch_up = gateway.catch_up.borrow_mut();
    catch_up.on_fetch_end(now, number);
    info!(node.log, ""; "event" => "caught_up", "number" => number.0,
        "newest" => catch_up.newest().0, "ms" => now.since(began).as_millis());
}

/// Sends a usage report to one entry.
async fn send_report(gateway: Rc<Gateway>, peer: SocketAddr, body: Bytes) {
    let called = gateway.node.call(peer, Method::POST, USAGE_PATH, &body, ANSWER_TIMEOUT).await;
    let failed = match &called {
        Ok(answer) => !matches!(answer.status, 202 | 204),
        Err(_) => true,
    };
    if called.as_ref().is_ok_and(|answer| answer.status == 202) {
        gateway.allowance.borrow_mut().on_full_report_request();
    }
    if !failed {
        gateway.limiters.borrow_mut().on_answer(clock::now(), peer);
    }
    let changed = match failed {
        true => gateway.unreachable.borrow_mut().insert(peer),
        false => gateway.unreachable.borrow_mut().remove(&peer),
    };
    if changed && failed {
        let error = called.err().map(|error| error.to_string());
        warn!(gateway.node.log, ""; "event" => "entry_lost", "peer" => %peer, "error" => error);
    } else if changed {
        info!(gateway.node.log, ""; "event" => "entry_back", "peer" => %peer);
    }
}

/// Removes silent entries from the list, unless the store is not available.
fn remove_silent(gateway: &Rc<Gateway>) {
    if gateway.node.store_unavailable_since().is_some() {
        return;
    }
    let now = clock::now();
    let (allowance, limiters) = (gateway.allowance.borrow(), gateway.limiters.borrow());
    let limit = SILENCE_MAX + limiters.removal_delay();
    let silent = limiters.is_limiter().then(|| allowance.silent_since(now, limit));
    for host in silent.into_iter().flatten().chain(limiters.silent_followers(now, limit)) {
        drop(actix_rt::spawn(members::remove(gateway.node.clone(), host.to_owned())));
    }
}
