//! Orders to the engine, and its answers as outcomes.

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
/// eight in flight; a load that takes this long counts as unknown.
const LOAD_TIME: Span = Span::from_secs(30);

/// Longest time for a short order.
const ORDER_TIME: Span = Span::from_secs(2);

/// By how much an engine's report lags behind at most.
const REPORT_LAG: Span = Span::from_millis(500);

/// Status of an answer that refuses an old fencing number.
const CONFLICT: u16 = 409;

/// Sends one order and tells the slots how it ended.
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
        Action::RequestReport => ask(runner).await,
        Action::Failed { .. } | Action::Lost { .. } => Vec::new(),
    }
}

fn with_slots(
    runner: &Runner,
    f: impl FnOnce(&mut kingcupbay_core::slot::Slots) -> Vec<Action>,
) -> Vec<Action> {
    runner.state.borrow_mut().slots.as_mut().map(f).unwrap_or_default()
}

async fn load(runner: &Runner, version: VersionId, fencing: u64) -> Outcome {
    let config = runner.upstream.fleet.config();
    let (Some(row), Some(name)) = (config.versions.get(version), config.model_name(version)) else {
        return Outcome::Failed;
    };
    let order = LoadAdapter { lora_name: name, lora_path: row.source.clone(), fencing };
    let began = clock::now();
    let sent = engine::load(&runner.upstream.clients, &runner.row.address, &order);
    let outcome = outcome(bounded(runner, LOAD_TIME, sent).await, true);
    let text = format!("{outcome:?}").to_lowercase();
    runner.upstream.metrics.loads.with_label_values(&[text.as_str()]).inc();
    info!(runner.upstream.log, ""; "event" => "load", "upstream" => %runner.row.name,
        "model" => order.lora_name, "outcome" => text,
        "ms" => clock::now().since(began).as_millis());
    outcome
}

async fn unload(runner: &Runner, version: VersionId, fencing: u64) -> Outcome {
    let config = runner.upstream.fleet.config();
    // A version that left the configuration has no name here any more; the
    // engine's report shows it, and it is unloaded by the name there.
    let Some(name) = config.model_name(version) else { return Outcome::Unknown };
    let order = UnloadAdapter { lora_name: name, fencing };
    let sent = engine::unload(&runner.upstream.clients, &runner.row.address, &order);
    let outcome = outcome(bounded(runner, ORDER_TIME, sent).await, false);
    info!(runner.upstream.log, ""; "event" => "unload", "upstream" => %runner.row.name,
        "model" => order.lora_name, "outcome" => format!("{outcome:?}").to_lowercase());
    outcome
}

async fn ask(runner: &Rc<Runner>) -> Vec<Action> {
    let asked = clock::now();
    let sent = engine::report(&runner.upstream.clients, &runner.row.address);
    let Ok(report) = bounded(runner, ORDER_TIME, sent).await else { return Vec::new() };
    let config = runner.upstream.fleet.config();
    let known = |name: &String| config.version_by_model(name);
    let loaded = report.loaded.iter().filter_map(known).collect();
    drop_unknown(runner, &report).await;
    let as_of = asked - REPORT_LAG;
    let report = EngineReport { incarnation: report.incarnation, as_of, loaded };
    with_slots(runner, |slots| slots.on_report(clock::now(), &report))
}

/// Unloads what the configuration does not name: it would keep a slot from
/// everybody, and no request can ask for it.
async fn drop_unknown(runner: &Runner, report: &LoadReport) {
    let config = runner.upstream.fleet.config();
    let now = clock::now();
    let owner = runner.upstream.fleet.holds(now);
    let fencing = runner.state.borrow().slots.as_ref().map(kingcupbay_core::slot::Slots::fencing);
    let Some(fencing) = fencing.filter(|_| owner) else { return };
    for name in report.loaded.iter().filter(|name| config.version_by_model(name).is_none()) {
        let order = UnloadAdapter { lora_name: name.clone(), fencing };
        let sent = engine::unload(&runner.upstream.clients, &runner.row.address, &order);
        let _ = bounded(runner, ORDER_TIME, sent).await;
    }
}

/// Waits for an answer within `time`. A connection that stays silent leaves
/// the pool with its neighbours, or the next order would meet the next dead one.
async fn bounded<T>(
    runner: &Runner,
    time: Span,
    call: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    match tokio::time::timeout(time.into(), call).await {
        Ok(result) => result,
        Err(_) => {
            runner.upstream.clients.forget(&runner.row.address);
            Err(EngineError::Broken("no answer in time".to_owned()))
        }
    }
}

/// What an answer means for the slots. A conflict tells of a newer fencing
/// number only for loads: an unload conflicts while a request still runs.
fn outcome(result: Result<(), EngineError>, is_load: bool) -> Outcome {
    match result {
        Ok(()) => Outcome::Done,
        Err(EngineError::Refused(CONFLICT)) if is_load => Outcome::Fenced,
        Err(EngineError::Refused(_) | EngineError::Unreached(_)) => Outcome::Failed,
        Err(EngineError::Broken(_)) => Outcome::Unknown,
    }
}
