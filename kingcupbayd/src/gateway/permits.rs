//! Places at engines: asking the daemon beside an engine for one, and giving
//! it back.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use actix_http::Method;
use kingcupbay_core::{
    deployment::model::AdapterName,
    health::Exchange,
    time::Span,
    wire::{
        metadata::Size,
        sidecar::{PERMIT_PATH, PermitRelease, PermitRequest, RELEASE_PATH, REPLICA_PATH, Verdict},
    },
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job},
};

/// Time that a message between two daemons takes at most, beside what it
/// waits for: within a region a round trip takes 2 ms.
const MESSAGE_TIMEOUT: Span = Span::from_millis(250);

/// How long ended requests are collected before they are told. A place that
/// comes back this much later costs an engine with 48 places nothing.
const COLLECT_DELAY: Span = Span::from_millis(4);

/// Tries to tell of ended requests; afterwards the engine's own reports do.
const RELEASE_ATTEMPTS: u32 = 2;

/// Ended requests to tell of, by the daemon that gave the place.
#[derive(Default)]
pub(crate) struct Releases {
    pending: RefCell<BTreeMap<SocketAddr, Vec<PermitRelease>>>,
    collecting: Cell<bool>,
}

/// A place at an engine; its drop gives it back. It is made before the place
/// is asked for, as the answer may be lost after the place was given.
pub(crate) struct Permit {
    gateway: Rc<Gateway>,
    sidecar: SocketAddr,
    release: PermitRelease,
}

impl Permit {
    /// The stream came whole, with `pause` as the longest between two events.
    pub(crate) fn on_complete(&mut self, pause: Span) {
        self.release.pause = Some(pause);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let empty = PermitRelease { attempt: String::new(), pause: None };
        let release = std::mem::replace(&mut self.release, empty);
        let releases = &self.gateway.releases;
        releases.pending.borrow_mut().entry(self.sidecar).or_default().push(release);
        if !releases.collecting.replace(true) {
            actix_rt::spawn(send_releases(self.gateway.clone()));
        }
    }
}

/// Address of the daemon beside `engine`: on its host, where all daemons take
/// messages.
pub(crate) fn sidecar_address(gateway: &Gateway, engine: SocketAddr) -> SocketAddr {
    SocketAddr::new(engine.ip(), gateway.node.registry.sidecars)
}

/// What the names of daemons beside engines begin with; no upstream's id has
/// a space.
const SIDECAR_PREFIX: &str = "beside ";

/// Name under which the daemon beside `engine` is judged.
pub(crate) fn sidecar_id(engine: SocketAddr) -> String {
    format!("{SIDECAR_PREFIX}{engine}")
}

/// Whether `id` names a daemon beside an engine, not an upstream.
pub(crate) fn is_sidecar(id: &str) -> bool {
    id.starts_with(SIDECAR_PREFIX)
}

/// Asks for a place at `engine`. `None`: the daemon there does not answer.
pub(crate) async fn request_permit(
    job: &Job,
    engine: SocketAddr,
    name: &AdapterName,
    max_wait: Span,
) -> Option<(Verdict, Permit)> {
    let gateway = &job.gateway;
    let sidecar = sidecar_address(gateway, engine);
    let release = PermitRelease { attempt: job.attempt().to_owned(), pause: None };
    let permit = Permit { gateway: gateway.clone(), sidecar, release };
    let waited = clock::now().since(job.arrived);
    let request = PermitRequest {
        attempt: job.attempt().to_owned(),
        newest: gateway.node.catalogue.borrow().version(name),
        name: name.clone(),
        priority: job.priority(),
        size: job.metadata.size.unwrap_or(Size { prompt: 500, output: 200 }),
        latency_target: job.route.latency_target.saturating_sub(waited),
        max_wait,
        event_gap: job.route.event_gap,
        entry: gateway.node.peer_address,
    };
    let body = rmp_serde::to_vec_named(&request).expect("a permit request has only plain fields");
    gateway.placement.borrow_mut().on_send(engine);
    let pool = &gateway.node.pool;
    let called =
        pool.call(sidecar, Method::POST, PERMIT_PATH, &body, max_wait + MESSAGE_TIMEOUT).await;
    let answer = match called {
        Ok(answer) if answer.status == 200 => {
            rmp_serde::from_slice(&answer.body).map_err(|error| error.to_string())
        }
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok(verdict) => Some((verdict, permit)),
        Err(error) => {
            let now = clock::now();
            gateway.health.borrow_mut().on_exchange(
                now,
                &sidecar_id(engine),
                Exchange::Unreachable,
            );
            gateway.placement.borrow_mut().on_refusal(engine);
            warn!(gateway.node.log, ""; "event" => "sidecar_lost",
                "request" => &job.metadata.attempt, "sidecar" => %sidecar, "error" => error);
            None
        }
    }
}

/// Asks for a copy of `name` at `engine`.
pub(crate) async fn request_replica(gateway: Rc<Gateway>, engine: SocketAddr, name: AdapterName) {
    let body = rmp_serde::to_vec_named(&name).expect("a name has only plain fields");
    let sidecar = sidecar_address(&gateway, engine);
    let called =
        gateway.node.pool.call(sidecar, Method::POST, REPLICA_PATH, &body, MESSAGE_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => None,
        Ok(answer) => Some(format!("status {}", answer.status)),
        Err(error) => Some(error.to_string()),
    };
    info!(gateway.node.log, ""; "event" => "copy_asked", "adapter" => &name.adapter,
        "sidecar" => %sidecar, "error" => error);
}

/// Tells of ended requests what was collected.
async fn send_releases(gateway: Rc<Gateway>) {
    tokio::time::sleep(COLLECT_DELAY.into()).await;
    gateway.releases.collecting.set(false);
    let pending = std::mem::take(&mut *gateway.releases.pending.borrow_mut());
    for (sidecar, releases) in pending {
        actix_rt::spawn(send_releases_to(gateway.clone(), sidecar, releases));
    }
}

async fn send_releases_to(gateway: Rc<Gateway>, sidecar: SocketAddr, releases: Vec<PermitRelease>) {
    let body = rmp_serde::to_vec(&releases).expect("a release has only plain fields");
    for _ in 0..RELEASE_ATTEMPTS {
        let pool = &gateway.node.pool;
        let called = pool.call(sidecar, Method::POST, RELEASE_PATH, &body, MESSAGE_TIMEOUT).await;
        match called {
            Ok(answer) if answer.status == 204 => return,
            Ok(answer) => {
                let status = answer.status;
                warn!(gateway.node.log, ""; "event" => "done_refused", "sidecar" => %sidecar,
                    "status" => status);
                return;
            }
            Err(error) => {
                warn!(gateway.node.log, ""; "event" => "done_lost", "sidecar" => %sidecar,
                    "count" => releases.len(), "error" => %error);
            }
        }
    }
}
