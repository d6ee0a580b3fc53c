//! Fetches the engine's reports and sends it orders.

use std::rc::Rc;

use actix_http::Method;
use kingcupbay_core::{
    admission::{
        order::{Order, Reply},
        report::Report,
    },
    limit::LimitSource,
    time::{Instant, Span},
    wire::sidecar::EngineCapacity,
};
use kingcupbay_platform::{answer::decode_headers, engine as platform};
use slog::{info, warn};

use crate::{
    clock,
    http::pool::Answer,
    sidecar::{Sidecar, transfers},
};

/// Timeout of fetching a report. The engine is on the same host and answers at once.
const REPORT_TIMEOUT: Span = Span::from_millis(400);

/// Timeout of sending an order and receiving the reply.
const ORDER_TIMEOUT: Span = Span::from_millis(800);

/// Failed fetches in a row after which the engine is considered lost.
const MISSED_REPORTS_MAX: u32 = 2;

/// Longest rest from report requests that an engine is granted. Without reports its sidecar
/// knows nothing of it.
const REPORT_REST_MAX: Span = Span::from_secs(5);

/// Work on the host, in percent of the usual time, from which it is logged as slow.
const SLOW_WORK_PERCENT: u32 = 150;

/// Fetches reports forever, at the interval that the admission state asks for.
pub(crate) async fn watch(sidecar: Rc<Sidecar>) {
    let mut misses = 0;
    loop {
        match fetch_report(&sidecar).await {
            Ok(()) => {
                if misses >= MISSED_REPORTS_MAX {
                    info!(sidecar.node.log, ""; "event" => "engine_back");
                }
                misses = 0;
            }
            Err(error) => {
                misses += 1;
                if misses == MISSED_REPORTS_MAX {
                    warn!(sidecar.node.log, ""; "event" => "engine_lost", "error" => error);
                    let actions = sidecar.admission.borrow_mut().on_report_failure(clock::now());
                    sidecar.perform(actions);
                }
            }
        }
        let requested = clock::now();
        loop {
            let rest = sidecar.admission.borrow().rest(requested).min(REPORT_REST_MAX);
            let wait = sidecar.admission.borrow().report_interval().max(rest);
            let passed = clock::now().since(requested);
            if passed >= wait {
                break;
            }
            // A new request may shorten the interval.
            let remaining = wait.saturating_sub(passed);
            tokio::select! {
                () = tokio::time::sleep(remaining.into()) => {}
                () = sidecar.wake.notified() => {}
            }
        }
    }
}

/// Fetches one report and applies it.
async fn fetch_report(sidecar: &Rc<Sidecar>) -> Result<(), String> {
    let call = platform::encode_report_request();
    let pool = &sidecar.node.pool;
    let sent = clock::now();
    let called = pool.call(sidecar.engine, Method::GET, &call.path, &[], REPORT_TIMEOUT).await;
    let answer = called.map_err(|error| error.to_string())?;
    on_announcements(sidecar, sent, LimitSource::Report, &answer);
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let mut report = platform::decode_report(&answer.body).map_err(|error| error.to_string())?;
    report.leaving |= decode_headers(answer.status, &answer.headers).leaving;
    log_report(sidecar, &report);
    transfers::on_report(sidecar, &report);
    let now = clock::now();
    let before = sidecar.admission.borrow().capacity(now);
    let actions = sidecar.admission.borrow_mut().on_report(now, report);
    log_pace(sidecar, now, before);
    sidecar.perform(actions);
    Ok(())
}

/// Applies and logs what the engine says of itself in its answer to a call sent at `sent`.
fn on_announcements(sidecar: &Sidecar, sent: Instant, source: LimitSource, answer: &Answer) {
    let metadata = decode_headers(answer.status, &answer.headers);
    let now = clock::now();
    let before = sidecar.admission.borrow().limit(now);
    sidecar.admission.borrow_mut().on_announced_limit(now, sent, source, metadata.limit);
    log_limit(sidecar, now, before, source);
    if let Some(rest) = metadata.rest {
        sidecar.admission.borrow_mut().on_rest(now, rest);
        warn!(sidecar.node.log, ""; "event" => "engine_rest", "call" => source.as_str(),
            "for_ms" => rest.as_millis());
    }
}

/// Logs the engine's limit if it is no longer `before`.
pub(crate) fn log_limit(sidecar: &Sidecar, now: Instant, before: Option<f64>, source: LimitSource) {
    let limit = sidecar.admission.borrow().limit(now);
    if limit != before {
        info!(sidecar.node.log, ""; "event" => "engine_limit", "call" => source.as_str(),
            "per_s" => limit);
    }
}

/// Logs when work on the host becomes slow or usual again.
fn log_pace(sidecar: &Sidecar, now: Instant, before: Option<EngineCapacity>) {
    let Some(capacity) = sidecar.admission.borrow().capacity(now) else { return };
    let is_slow = |capacity: EngineCapacity| capacity.work_percent >= SLOW_WORK_PERCENT;
    if before.is_none_or(|before| is_slow(before) != is_slow(capacity)) {
        info!(sidecar.node.log, ""; "event" => "engine_pace",
            "work_percent" => capacity.work_percent, "prefill_per_s" => capacity.prefill_rate,
            "event_ms" => capacity.event_interval.as_millis(),
            "sustained_per_s" => capacity.sustained_rate);
    }
}

/// Logs the first report after the engine has taken an order. The others only repeat it.
fn log_report(sidecar: &Sidecar, report: &Report) {
    if report.orders == sidecar.orders.replace(report.orders) {
        return;
    }
    let pending = report.pending.iter().map(|(name, version)| {
        format!("{}@{version}", name.adapter.as_deref().unwrap_or(&name.model))
    });
    let pending: Vec<String> = pending.collect();
    info!(sidecar.node.log, ""; "event" => "report", "orders" => report.orders,
        "born" => report.born,
        "held" => report.adapters().count(), "pending" => pending.join(","),
        "busy" => report.busy, "running" => report.running, "waiting" => report.waiting,
        "leaving" => report.leaving);
}

/// Sends an order to the engine and applies its reply.
pub(crate) async fn send_order(sidecar: Rc<Sidecar>, order: Order) {
    let call = platform::encode_order(&order);
    let pool = &sidecar.node.pool;
    let sent = clock::now();
    let called =
        pool.call(sidecar.engine, Method::POST, &call.path, &call.body, ORDER_TIMEOUT).await;
    if let Ok(answer) = &called {
        on_announcements(&sidecar, sent, LimitSource::Order, answer);
    }
    let reply = match &called {
        Ok(answer) => platform::decode_order_status(answer.status),
        Err(_) => Reply::Unknown,
    };
    sidecar.metrics.on_order(order.target, reply);
    let error = called.err().map(|error| error.to_string());
    info!(sidecar.node.log, ""; "event" => "ordered", "model" => &order.name.model,
        "adapter" => &order.name.adapter, "reply" => reply.as_str(), "error" => error);
    sidecar.admission.borrow_mut().on_reply(clock::now(), reply);
    sidecar.wake.notify_one();
}
