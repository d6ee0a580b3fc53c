//! Sends orders to the engine and converts its answers into outcomes.

use std::rc::Rc;

use kingcupbay_core::{
    id::VersionId,
    slot::{Action, EngineReport, Outcome},
    time::Span,
    wire::engine::{LoadAdapter, LoadReport, UnloadAdapter},
};
use slog::info;

use super::Runner;
use crate::{
    clock,
    upstream::engine::{self, EngineError},
};

/// Longest time for a load. The weight store slows down with each load beyond
/// eight in flight. A load that exceeds this time has an unknown outcome.
const LOAD_TIMEOUT: Span = Span::from_secs(30);

/// Longest time for an unload or a report.
const ORDER_TIMEOUT: Span = Span::from_secs(2);

/// Longest delay between a change in an engine and its report.
const MAX_REPORT_LAG: Span = Span::from_millis(500);

/// HTTP status of an answer that refuses a stale fencing number.
const CONFLICT_STATUS: u16 = 409;

/// Sends one order, reports its outcome to the slots, and returns the actions
/// that follow.
pub(super) async fn send(runner: &Rc<Runner>, order: Action) -> Vec<Action> {
    match order {
        Action::Load { version, order } => {
            let outcome = load(runner, version, order.fencing).await;
            with_slots(runner, |slots| slots.on_load(clock::now(), order, outcome))
        }
        Action::Unload { version, order } => {
            let outcome = unload(runner, version, order.fencing).await;
            with_slots(runner, |slots| slots.on_unload(clock::now(), order, outcome))
        }
        Action::RequestReport => request_report(runner).await,
        Action::Failed { .. } | Action::Lost { .. } => Vec::new(),
    }
}

/// Updates the slots, if the daemon has its fencing number.
fn with_slots(
    runner: &Runner,
    update: impl FnOnce(&mut kingcupbay_core::slot::Slots) -> Vec<Action>,
) -> Vec<Action> {
    runner.state.borrow_mut().slots.as_mut().map(update).unwrap_or_default()
}

/// Loads an adapter version, and counts and logs the outcome.
async fn load(runner: &Runner, version: VersionId, fencing: u64) -> Outcome {
    let config = runner.upstream.fleet.config();
    let (Some(row), Some(name)) = (config.versions.get(version), config.model_name(version)) else {
        return Outcome::Failed;
    };
    let order = LoadAdapter { lora_name: name, lora_path: row.source.clone(), fencing };
    let began = clock::now();
    let sent = engine::load(&runner.upstream.clients, &runner.row.address, &order);
    let outcome = outcome_of(with_timeout(runner, LOAD_TIMEOUT, sent).await, true);
    let text = format!("{outcome:?}").to_lowercase();
    runner.upstream.metrics.loads.with_label_values(&[text.as_str()]).inc();
    info!(runner.upstream.log, ""; "event" => "load", "upstream" => %runner.row.name,
        "model" => order.lora_name, "outcome" => text,
        "ms" => clock::now().since(began).as_millis());
    outcome
}

/// Unloads an adapter version, and logs the outcome.
async fn unload(runner: &Runner, version: VersionId, fencing: u64) -> Outcome {
    let config = runner.upstream.fleet.config();
    // A version removed from the configuration has no name here any more. The
    // engine's report still lists it, and it is unloaded by the name there.
    let Some(name) = config.model_name(version) else { return Outcome::Unknown };
    let order = UnloadAdapter { lora_name: name, fencing };
    let sent = engine::unload(&runner.upstream.clients, &runner.row.address, &order);
    let outcome = outcome_of(with_timeout(runner, ORDER_TIMEOUT, sent).await, false);
    info!(runner.upstream.log, ""; "event" => "unload", "upstream" => %runner.row.name,
        "model" => order.lora_name, "outcome" => format!("{outcome:?}").to_lowercase());
    outcome
}

/// Requests the engine's report and passes it to the slots.
async fn request_report(runner: &Rc<Runner>) -> Vec<Action> {
    let asked = clock::now();
    let sent = engine::report(&runner.upstream.clients, &runner.row.address);
    let Ok(report) = with_timeout(runner, ORDER_TIMEOUT, sent).await else { return Vec::new() };
    let config = runner.upstream.fleet.config();
    let known = |name: &String| config.version_by_model(name);
    let loaded = report.loaded.iter().filter_map(known).collect();
    unload_unknown(runner, &report).await;
    let as_of = asked - MAX_REPORT_LAG;
    let report = EngineReport { incarnation: report.incarnation, as_of, loaded };
    with_slots(runner, |slots| slots.on_report(clock::now(), &report))
}

/// Unloads the adapters that the configuration does not name. No request can ask
/// for them, and each would occupy a slot.
async fn unload_unknown(runner: &Runner, report: &LoadReport) {
    let config = runner.upstream.fleet.config();
    let now = clock::now();
    let may_act = runner.upstream.fleet.may_act(now);
    let fencing = runner.state.borrow().slots.as_ref().map(kingcupbay_core::slot::Slots::fencing);
    let Some(fencing) = fencing.filter(|_| may_act) else { return };
    for name in report.loaded.iter().filter(|name| config.version_by_model(name).is_none()) {
        let order = UnloadAdapter { lora_name: name.clone(), fencing };
        let sent = engine::unload(&runner.upstream.clients, &runner.row.address, &order);
        let _ = with_timeout(runner, ORDER_TIMEOUT, sent).await;
    }
}

/// Waits for an answer for at most `limit`. If none arrives, all connections to
/// the engine are removed from the pool, because the next order could otherwise
/// use another dead one.
async fn with_timeout<T>(
    runner: &Runner,
    limit: Span,
    call: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    match tokio::time::timeout(limit.into(), call).await {
        Ok(result) => result,
        Err(_) => {
            runner.upstream.clients.forget(&runner.row.address);
            Err(EngineError::Broken("no answer in time".to_owned()))
        }
    }
}

/// Converts an answer into an outcome for the slots. A conflict means a newer
/// fencing number only for loads; an unload also conflicts while a request still
/// uses the adapter.
fn outcome_of(result: Result<(), EngineError>, is_load: bool) -> Outcome {
    match result {
        Ok(()) => Outcome::Done,
        Err(EngineError::Refused(CONFLICT_STATUS)) if is_load => Outcome::Fenced,
        Err(EngineError::Refused(_) | EngineError::Unreachable(_)) => Outcome::Failed,
        Err(EngineError::Broken(_)) => Outcome::Unknown,
    }
}
