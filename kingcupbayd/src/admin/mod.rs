//! The operators' port: configuration, state, metrics and probes.

pub(crate) mod dump;

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    config::{
        change::Change,
        patch::{Patch, PatchError},
    },
    id::Number,
    time::Span,
    wire::{
        admin::{
            CONFIG_PATH, DUMP_PATH, HISTORY_PATH, History, NumberedPatch, PATCH_PATH, PatchRefused,
            PatchStored, PatchUndecided, STATUS_PATH, UndecidedOutcome,
        },
        error::{Code, Failure},
    },
};
use serde::Serialize;

use crate::{
    Daemon,
    fleet::PatchOutcome,
    http::{body, reply},
};

/// Longest patch, in bytes. Declarations of 67,000 adapters have about 20 MB.
const MAX_PATCH_BYTES: usize = 64 << 20;

/// Time for a patch to arrive completely.
const PATCH_TIMEOUT: Span = Span::from_secs(30);

/// The answer to `GET /admin/status`.
#[derive(Serialize)]
struct Status {
    host: String,
    zone: String,
    role: kingcupbay_core::config::model::Role,
    phase: String,
    standing: bool,
    number: Number,
    members: usize,
    connections: usize,
}

/// Answers a request of an operator or a probe.
pub(crate) async fn handle(daemon: Rc<Daemon>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let get = request.method() == Method::GET;
    match path.as_str() {
        "/health" if get => reply::text(StatusCode::OK, "alive\n"),
        "/ready" if get => ready(&daemon),
        "/metrics" if get => reply::text(StatusCode::OK, daemon.metrics.text()),
        CONFIG_PATH if get => config(&daemon).await,
        HISTORY_PATH if get => history(&daemon, &request).await,
        STATUS_PATH if get => reply::json(StatusCode::OK, &status(&daemon)),
        DUMP_PATH if get => dump::answer(&daemon, &request).await,
        PATCH_PATH if request.method() == Method::POST => {
            match body::read(&mut request, None, MAX_PATCH_BYTES, PATCH_TIMEOUT).await {
                Ok(body) => patch(&daemon, &body.bytes).await,
                Err(failure) => reply::failure(&failure),
            }
        }
        _ => reply::failure(&Failure::not_run(Code::NotFound, "no such path")),
    }
}

/// Answers with the configuration in force, or with the newest known one if the
/// table is unreachable. A patch is made against this answer, so the table is
/// read first: a configuration older than what the operator just applied through
/// another daemon would make the patch stale.
async fn config(daemon: &Daemon) -> Response<BoxBody> {
    let _ = daemon.fleet.refresh().await;
    reply::json(StatusCode::OK, &*daemon.fleet.config())
}

fn ready(daemon: &Daemon) -> Response<BoxBody> {
    match daemon.ready() {
        true => reply::text(StatusCode::OK, "ready\n"),
        false => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn status(daemon: &Daemon) -> Status {
    let config = daemon.fleet.config();
    let settings = &daemon.settings.daemon;
    Status {
        host: settings.host.to_string(),
        zone: settings.zone.to_string(),
        role: settings.role,
        phase: format!("{:?}", daemon.drain.phase()).to_lowercase(),
        standing: daemon.fleet.may_act(crate::clock::now()),
        number: config.number,
        members: config.members.len(),
        connections: daemon.drain.open_connections(),
    }
}

async fn history(daemon: &Daemon, request: &Request) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or("");
    let after = query.strip_prefix("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
    match daemon.fleet.history(Number(after)).await {
        Ok(patches) => {
            let patches = patches
                .into_iter()
                .map(|(number, patch)| NumberedPatch { number, patch })
                .collect();
            reply::json(StatusCode::OK, &History { patches })
        }
        Err(error) => {
            let failure = Failure::not_run(Code::StoreDown, error.to_string());
            reply::failure(&failure.after(Span::from_secs(1)))
        }
    }
}

async fn patch(daemon: &Daemon, bytes: &[u8]) -> Response<BoxBody> {
    let patch: Patch = match serde_json::from_slice(bytes) {
        Ok(patch) => patch,
        Err(error) => {
            let message = format!("not a patch: {error}");
            return reply::failure(&Failure::not_run(Code::BadRequest, message));
        }
    };
    let undecided = |outcome, message| {
        reply::json(StatusCode::SERVICE_UNAVAILABLE, &PatchUndecided { outcome, message })
    };
    match daemon.fleet.patch(&patch).await {
        PatchOutcome::Taken { number, acknowledged } => {
            reply::json(StatusCode::OK, &PatchStored { number, acknowledged })
        }
        PatchOutcome::Refused(error) => {
            let status = match error {
                PatchError::Stale { .. } => StatusCode::CONFLICT,
                PatchError::Refused { .. } | PatchError::Membership => {
                    StatusCode::UNPROCESSABLE_ENTITY
                }
            };
            reply::json(status, &PatchRefused { error })
        }
        PatchOutcome::NotTaken(message) => undecided(UndecidedOutcome::NotTaken, message),
        PatchOutcome::Unknown(message) => undecided(UndecidedOutcome::Unknown, message),
    }
}

/// Returns the change by which this daemon joins the fleet.
pub(crate) fn join_change(daemon: &Daemon, address: String) -> Change {
    let settings = &daemon.settings.daemon;
    Change::Join {
        host: settings.host.clone(),
        address,
        zone: settings.zone.clone(),
        role: settings.role,
        incarnation: daemon.incarnation,
    }
}
