//! Requests permits from engines' sidecars and releases them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use actix_http::Method;
use kingcupbay_core::{
    deployment::model::{AdapterName, Instance},
    health::Exchange,
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{
            PERMIT_PATH, PermitRelease, PermitRequest, RELEASE_PATH, REPLICA_PATH, SpecDigest,
            Verdict,
        },
    },
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{Gateway, job::Job},
};

/// Timeout of a message to another daemon, in addition to a permit request's own wait. A
/// round trip within a region takes 2 ms.
const MESSAGE_TIMEOUT: Span = Span::from_millis(250);

/// Time for which releases are collected before they are sent. For an engine with 48
/// permits this delay costs nothing.
const COLLECT_DELAY: Span = Span::from_millis(4);

/// Attempts to send releases. If all fail, the sidecar learns from the engine's reports
/// that the requests have ended.
const RELEASE_ATTEMPTS: u32 = 2;

/// Releases that have not been sent yet, by sidecar.
#[derive(Default)]
pub(crate) struct Releases {
    pending: RefCell<BTreeMap<SocketAddr, Vec<PermitRelease>>>,
    collecting: Cell<bool>,
}

/// A permit for one request on an engine, released on drop. It is created before the
/// request for it is sent, because the answer may be lost after the sidecar has granted
/// the permit.
pub(crate) struct Permit {
    gateway: Rc<Gateway>,
    sidecar: SocketAddr,
    release: PermitRelease,
    /// Whether the sidecar has refused it. A release could revoke the permit of a later request.
    is_refused: bool,
}

impl Permit {
    /// Records that the stream completed, with `pause` as the longest time between two
    /// events.
    pub(crate) fn on_complete(&mut self, pause: Span) {
        self.release.pause = Some(pause);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_refused {
            return;
        }
        let empty = PermitRelease { attempt: String::new(), pause: None };
        let release = std::mem::replace(&mut self.release, empty);
        let releases = &self.gateway.releases;
        releases.pending.borrow_mut().entry(self.sidecar).or_default().push(release);
        if !releases.collecting.replace(true) {
            actix_rt::spawn(send_releases(self.gateway.clone()));
        }
    }
}

/// Returns the address of the sidecar of `engine`: it runs on the same host, and all
/// sidecars listen on the same port.
pub(crate) fn sidecar_address(gateway: &Gateway, engine: SocketAddr) -> SocketAddr {
    SocketAddr::new(engine.ip(), gateway.node.registry.sidecars)
}

/// Prefix of sidecars' ids. No upstream's id contains a space.
const SIDECAR_PREFIX: &str = "beside ";

/// Returns the id under which the health of the sidecar of `engine` is tracked.
pub(crate) fn sidecar_id(engine: SocketAddr) -> String {
    format!("{SIDECAR_PREFIX}{engine}")
}

/// Returns whether `id` is the id of a sidecar and not of an upstream.
pub(crate) fn is_sidecar(id: &str) -> bool {
    id.starts_with(SIDECAR_PREFIX)
}

/// Requests a permit for the engine `instance`. Returns `None` if the sidecar does not answer.
/// Its wait counts from `since` on. A `transferred` run has its memory there already: it prefills
/// nothing.
pub(crate) async fn request_permit(
    job: &Job,
    instance: &Instance,
    name: &AdapterName,
    since: Instant,
    max_wait: Span,
    transferred: bool,
) -> Option<(Verdict, Permit)> {
    let gateway = &job.gateway;
    let engine = instance.address;
    let sidecar = sidecar_address(gateway, engine);
    let release = PermitRelease { attempt: job.attempt().to_owned(), pause: None };
    let mut permit = Permit { gateway: gateway.clone(), sidecar, release, is_refused: false };
    let now = clock::now();
    let waited = now.since(since);
    let (newest, cold) = {
        let catalogue = gateway.node.catalogue.borrow();
        (catalogue.version(name), catalogue.cold_remaining(now, &instance.id))
    };
    let service = job.deployment.services.get(&instance.service);
    let number = job.deployment.number;
    let size = job.size();
    let request = PermitRequest {
        attempt: job.attempt().to_owned(),
        newest,
        cold,
        limit: gateway.limits.borrow().report_of(now, &instance.id, instance.born),
        spec: service.map(|service| SpecDigest { number, hash: service.spec_hash() }),
        name: name.clone(),
        priority: job.priority(),
        size: match transferred {
            true => Size { prompt: 0, output: size.total() },
            false => size,
        },
        latency_target: job.route.latency_target.saturating_sub(waited),
        max_wait,
        event_gap: job.route.event_gap,
        entry: gateway.node.peer_address,
        organisation: job.organisation.as_ref().map(|organisation| organisation.name.clone()),
        transferred,
    };
    let body = rmp_serde::to_vec_named(&request).expect("a permit request has only plain fields");
    gateway.placement.borrow_mut().on_send(now, engine);
    let node = &gateway.node;
    let called =
        node.call(sidecar, Method::POST, PERMIT_PATH, &body, max_wait + MESSAGE_TIMEOUT).await;
    let answer = match called {
        Ok(answer) if answer.status == 200 => {
            rmp_serde::from_slice(&answer.body).map_err(|error| error.to_string())
        }
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok(verdict) => {
            permit.is_refused = matches!(verdict, Verdict::Refused { .. });
            Some((verdict, permit))
        }
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

/// Requests a replica of `name` on `engine`.
pub(crate) async fn request_replica(gateway: Rc<Gateway>, engine: SocketAddr, name: AdapterName) {
    let body = rmp_serde::to_vec_named(&name).expect("a name has only plain fields");
    let sidecar = sidecar_address(&gateway, engine);
    let called =
        gateway.node.call(sidecar, Method::POST, REPLICA_PATH, &body, MESSAGE_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => None,
        Ok(answer) => Some(format!("status {}", answer.status)),
        Err(error) => Some(error.to_string()),
    };
    info!(gateway.node.log, ""; "event" => "copy_asked", "adapter" => &name.adapter,
        "sidecar" => %sidecar, "error" => error);
}

/// Sends the releases collected within `COLLECT_DELAY`.
async fn send_releases(gateway: Rc<Gateway>) {
    tokio::time::sleep(COLLECT_DELAY.into()).await;
    gateway.releases.collecting.set(false);
    let pending = std::mem::take(&mut *gateway.releases.pending.borrow_mut());
    for (sidecar, releases) in pending {
        actix_rt::spawn(send_releases_to(gateway.clone(), sidecar, releases));
    }
}

/// Sends releases to one sidecar.
async fn send_releases_to(gateway: Rc<Gateway>, sidecar: SocketAddr, releases: Vec<PermitRelease>) {
    let body = rmp_serde::to_vec(&releases).expect("a release has only plain fields");
    for _ in 0..RELEASE_ATTEMPTS {
        let node = &gateway.node;
        let called = node.call(sidecar, Method::POST, RELEASE_PATH, &body, MESSAGE_TIMEOUT).await;
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
