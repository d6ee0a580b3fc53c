//! Chooses engines for requests and acquires permits for them.

use std::{net::SocketAddr, rc::Rc};

use kingcupbay_core::{
    deployment::model::{AdapterName, Instance},
    origin::Eligible,
    placement::RequestNeeds,
    time::Span,
    wire::sidecar::{Refusal as PermitRefusal, Verdict},
};
use slog::{debug, info};

use crate::{
    clock,
    gateway::{
        admit::Hold,
        generate::StartPoint,
        job::Job,
        permits::{self, Permit},
    },
};

/// Maximum wait for a permit, as a multiple of the latency target. A caller leaves after
/// four times the target without an event, and prefill and the first event take part of
/// the rest.
const PERMIT_WAIT_FACTOR: u64 = 2;

/// Maximum wait for a permit while the fleet is mostly idle and further engines can be asked.
/// Another engine loads the adapter in this time.
const IDLE_FLEET_WAIT_MAX: Span = Span::from_millis(350);

/// Shortest maximum wait for which a permit is requested.
pub(super) const PERMIT_WAIT_MIN: Span = Span::from_millis(60);

/// Returns whether engines are left that a request may ask for a permit. Those of one software
/// may be few.
pub(super) fn has_others(
    job: &Job,
    service: &str,
    asked: &[SocketAddr],
    point: StartPoint,
) -> bool {
    let catalogue = job.gateway.node.catalogue.borrow();
    let mut serving = catalogue.serving(service);
    point.eligible == Eligible::Any
        || serving.any(|row| point.eligible.includes(row) && !asked.contains(&row.address))
}

/// Returns the engine to try next, and how long to wait there until another one would start
/// the request sooner, where the speeds of engines differ. Only engines in good health are
/// tried for a speculative request.
pub(super) fn choose(
    job: &Job,
    service: &str,
    name: &AdapterName,
    asked: &[SocketAddr],
    point: StartPoint,
) -> Option<(Rc<Instance>, Option<Span>)> {
    let now = clock::now();
    let gateway = &job.gateway;
    let catalogue = gateway.node.catalogue.borrow();
    let health = gateway.health.borrow();
    let placement = gateway.placement.borrow();
    let rests = gateway.rests.borrow();
    let is_open = |row: &&Rc<Instance>| {
        point.eligible.includes(row)
            && !asked.contains(&row.address)
            && rests.remaining(now, &row.id, row.born).is_none()
    };
    let untried: Vec<&Rc<Instance>> = catalogue.serving(service).filter(is_open).collect();
    let is_sound = |row: &&&Rc<Instance>| {
        !health.is_suspect(now, &row.id)
            && !health.is_suspect(now, &permits::sidecar_id(row.address))
    };
    let is_healthy = |row: &&&Rc<Instance>| is_sound(row) && !placement.is_silent(now, row.address);
    let healthy: Vec<SocketAddr> =
        untried.iter().filter(is_healthy).map(|row| row.address).collect();
    // A sidecar that has restarted reports only once it is asked for a permit again.
    let others = || match point.is_speculative {
        true => untried.iter().filter(is_sound).map(|row| row.address).collect::<Vec<_>>(),
        false => untried.iter().map(|row| row.address).collect(),
    };
    let zone = gateway.node.settings.daemon.zone.to_string();
    let near = untried.iter().filter(|row| row.zone == zone).map(|row| row.address).collect();
    let want =
        RequestNeeds { size: job.size(), priority: job.priority(), remaining: job.remaining() };
    let (engine, wait) = match placement.choose_at_pace(now, name, &want, &healthy, &near) {
        Some(chosen) => chosen,
        None => {
            let engine = placement
                .choose_spread(now, name, &healthy, job.draw())
                .or_else(|| placement.choose(now, name, &healthy))
                .or_else(|| placement.choose(now, name, &others()))?;
            (engine, None)
        }
    };
    drop(placement);
    if let Some(at) = gateway.placement.borrow_mut().choose_replica(now, name, &healthy) {
        drop(actix_rt::spawn(permits::request_replica(gateway.clone(), at, name.clone())));
    }
    untried.into_iter().find(|row| row.address == engine).cloned().map(|row| (row, wait))
}

/// Acquires a permit for an engine. Returns it with the version of the adapter that may
/// run the request. If the sidecar does not answer, the engine is used without a permit,
/// provided that the adapter is known to be resident. An error is the time until a
/// permit may be available, if known. `last` says whether no other engine is asked after this
/// one, `wait` how long to wait at most, if another one would start the request sooner.
pub(super) async fn acquire_permit(
    job: &Job,
    instance: &Instance,
    name: &AdapterName,
    point: StartPoint,
    last: bool,
    wait: Option<Span>,
) -> Result<(Option<u32>, Option<Permit>), Option<Span>> {
    let engine = instance.address;
    let gateway = &job.gateway;
    let now = clock::now();
    let suspect = gateway.health.borrow().is_suspect(now, &permits::sidecar_id(engine));
    let waited = now.since(point.since);
    let target = Span::from_micros(job.route.latency_target.as_micros() * PERMIT_WAIT_FACTOR);
    let mut max_wait = target.saturating_sub(waited).max(PERMIT_WAIT_MIN).min(job.remaining());
    if let Some(wait) = wait {
        max_wait = max_wait.min(wait).max(PERMIT_WAIT_MIN);
    } else if !last && gateway.placement.borrow().is_fleet_idle(now) {
        max_wait = max_wait.min(IDLE_FLEET_WAIT_MAX);
    }
    let verdict = match suspect {
        true => None,
        false => {
            gateway.placement.borrow_mut().on_send_prompt(engine, job.size().prompt);
            permits::request_permit(job, instance, name, point.since, max_wait, false).await
        }
    };
    match verdict {
        Some((Verdict::Granted { version }, permit)) => {
            debug!(gateway.node.log, ""; "event" => "placed", "request" => &job.metadata.attempt,
                "upstream" => &instance.id, "version" => version);
            Ok((version, Some(permit)))
        }
        Some((Verdict::Refused { why, after }, _)) => {
            let mut placement = gateway.placement.borrow_mut();
            placement.on_refusal(engine);
            // A silence is no demand for the adapter.
            if why == PermitRefusal::Busy && !point.is_speculative {
                let engines = gateway.node.catalogue.borrow().serving(&instance.service).count();
                placement.on_busy(now, name, engines);
            }
            info!(gateway.node.log, ""; "event" => "no_place", "request" => &job.metadata.attempt,
                "upstream" => &instance.id, "why" => why.as_str(),
                "after_ms" => after.as_millis());
            Err(matches!(why, PermitRefusal::Busy | PermitRefusal::Unready).then_some(after))
        }
        None => skip_permit(job, instance, name, point),
    }
}

/// Returns the version of the adapter with which a request may use an engine without a permit,
/// provided that the adapter is known to be resident.
pub(super) fn skip_permit(
    job: &Job,
    instance: &Instance,
    name: &AdapterName,
    point: StartPoint,
) -> Result<(Option<u32>, Option<Permit>), Option<Span>> {
    let engine = instance.address;
    let gateway = &job.gateway;
    let placement = gateway.placement.borrow();
    let is_down = point.is_speculative && placement.is_silent(clock::now(), engine);
    let resident = placement.resident_version(engine, name).filter(|_| !is_down);
    let newest = gateway.node.catalogue.borrow().version(name);
    match resident {
        Some(resident) => Ok((Some(newest.unwrap_or(resident)), None)),
        None => Err(None),
    }
}

/// Records that a request no longer waits for a permit, as `why` says.
pub(super) fn on_withdrawn(job: &Job, instance: &Instance, why: Hold) {
    job.gateway.metrics.on_withdrawal(why);
    let event = if why == Hold::Evacuated { "zone_left" } else { "wait_left" };
    info!(job.gateway.node.log, ""; "event" => event, "request" => &job.metadata.attempt,
        "upstream" => &instance.id, "zone" => &instance.zone, "why" => why.label());
}
