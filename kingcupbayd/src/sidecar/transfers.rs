//! Asks entries to move running streams away while the engine leaves.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use actix_http::Method;
use kingcupbay_core::{
    admission::report::Report,
    deployment::model::EngineTransfers,
    time::{Instant, Span},
    transfer::{StreamLoad, USUAL_NOTICE},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, TRANSFER_PATH, TransferReason, TransferRequest},
    },
};
use slog::{info, warn};

use crate::{clock, sidecar::Sidecar};

/// Pause between two requests to move the same streams.
const REQUEST_PERIOD: Span = Span::from_millis(500);

/// Timeout of an entry's answer. If it is late, the next request repeats this one.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Time after which a request that no report shows is forgotten.
const UNSEEN_MAX: Span = Span::from_secs(5);

/// A request that holds a permit.
struct GrantedRun {
    entry: SocketAddr,
    priority: u8,
    size: Size,
    /// When a report last showed it, or when it got its permit.
    seen: Instant,
    /// Time and tokens of the first report with an event.
    first: Option<(Instant, u64)>,
}

/// The running requests and the entries that relay them.
#[derive(Default)]
pub(crate) struct Transfers {
    runs: RefCell<BTreeMap<String, GrantedRun>>,
    /// Why and when the engine began to leave, with the time of the last requests.
    leaving: RefCell<Option<(TransferReason, Instant, Option<Instant>)>>,
}

impl Transfers {
    /// Records a request that was granted a permit.
    fn insert(&self, request: &PermitRequest) {
        let run = GrantedRun {
            entry: request.entry,
            priority: request.priority,
            size: request.size,
            seen: clock::now(),
            first: None,
        };
        self.runs.borrow_mut().insert(request.attempt.clone(), run);
    }

    /// Returns the number of recorded requests.
    pub(crate) fn count(&self) -> usize {
        self.runs.borrow().len()
    }

    /// Removes all requests.
    fn clear(&self) {
        self.runs.borrow_mut().clear();
        *self.leaving.borrow_mut() = None;
    }

    /// Removes a request that has ended.
    pub(crate) fn on_release(&self, attempt: &str) {
        self.runs.borrow_mut().remove(attempt);
    }

    /// Returns the requests to move streams that are due, by entry. They are in the order in
    /// which the streams shall move.
    fn due(
        &self,
        now: Instant,
        engine: SocketAddr,
        report: &Report,
        why: Option<TransferReason>,
    ) -> BTreeMap<SocketAddr, Vec<TransferRequest>> {
        let mut runs = self.runs.borrow_mut();
        let mut loads = Vec::new();
        for shown in &report.runs {
            let Some(run) = runs.get_mut(&shown.attempt) else { continue };
            run.seen = now;
            if run.first.is_none() && shown.events > 0 {
                run.first = Some((now, shown.tokens));
            }
            let token_time = run.first.and_then(|(since, tokens)| {
                let made = shown.tokens.saturating_sub(tokens);
                (made > 0).then(|| Span::from_micros(now.since(since).as_micros() / made))
            });
            let tokens_left = run.size.total().saturating_sub(shown.tokens);
            let load = StreamLoad { priority: run.priority, tokens_left, token_time };
            loads.push((load, run.entry, shown.attempt.clone()));
        }
        runs.retain(|_, run| now.since(run.seen) < UNSEEN_MAX);
        let mut leaving = self.leaving.borrow_mut();
        let Some(why) = why else {
            *leaving = None;
            return BTreeMap::new();
        };
        let (_, since, asked) = leaving.get_or_insert((why, now, None));
        if asked.is_some_and(|asked| now.since(asked) < REQUEST_PERIOD) {
            return BTreeMap::new();
        }
        *asked = Some(now);
        let usual = USUAL_NOTICE.saturating_sub(now.since(*since));
        let within = report.remaining.unwrap_or(usual);
        loads.retain(|(load, ..)| load.must_move(why, Some(within)));
        loads.sort_by_key(|(load, ..)| load.order());
        let mut requests: BTreeMap<SocketAddr, Vec<TransferRequest>> = BTreeMap::new();
        for (_, entry, attempt) in loads {
            let request = TransferRequest { engine, attempt, within: Some(within), why };
            requests.entry(entry).or_default().push(request);
        }
        requests
    }
}

/// Records a request that was granted a permit, if it may have to move.
pub(crate) fn on_grant(sidecar: &Sidecar, request: &PermitRequest) {
    if engine_transfers(sidecar).is_some() {
        sidecar.transfers.insert(request);
    }
}

/// Handles a report: removes the requests that have ended, and asks the entries to move the
/// streams that would not end in time.
pub(crate) fn on_report(sidecar: &Rc<Sidecar>, report: &Report) {
    if engine_transfers(sidecar).is_none() {
        sidecar.transfers.clear();
        return;
    }
    let evacuated = sidecar.node.is_evacuated().then_some(TransferReason::Evacuated);
    let why = report.leaving.then_some(TransferReason::Leaving).or(evacuated);
    let due = sidecar.transfers.due(clock::now(), sidecar.engine, report, why);
    for (entry, requests) in due {
        drop(actix_rt::spawn(send(sidecar.clone(), entry, requests)));
    }
}

/// Returns how the engine copies runs, if it does and transfers are switched on.
fn engine_transfers(sidecar: &Sidecar) -> Option<EngineTransfers> {
    let node = &sidecar.node;
    let deployment = node.deployment()?;
    let service = deployment.services.get(node.registry.service.as_deref()?)?;
    service.engine.as_ref()?.transfers.filter(|_| node.registry.transfers)
}

/// Asks one entry to move streams.
async fn send(sidecar: Rc<Sidecar>, entry: SocketAddr, requests: Vec<TransferRequest>) {
    let node = &sidecar.node;
    let body = rmp_serde::to_vec_named(&requests).expect("a request has only plain fields");
    let called = node.call(entry, Method::POST, TRANSFER_PATH, &body, ANSWER_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => None,
        Ok(answer) => Some(format!("status {}", answer.status)),
        Err(error) => Some(error.to_string()),
    };
    let why = requests.first().map(|request| request.why.as_str());
    match error {
        None => info!(node.log, ""; "event" => "transfer_asked", "entry" => %entry,
            "streams" => requests.len(), "why" => why),
        // The entry also learns on its own that the engine leaves.
        Some(error) => warn!(node.log, ""; "event" => "transfer_asked", "entry" => %entry,
            "streams" => requests.len(), "why" => why, "error" => error),
    }
}
