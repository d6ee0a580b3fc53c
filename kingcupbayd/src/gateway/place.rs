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
const MESSAGE: Span = Span::from_millis(250);

/// How long ended requests are collected before they are told. A place that
/// comes back this much later costs an engine with 48 places nothing.
const COLLECT: Span = Span::from_millis(4);

/// Tries to tell of ended requests; afterwards the engine's own reports do.
const TRIES: u32 = 2;

/// Ended requests to tell of, by the daemon that gave the place.
#[derive(Default)]
pub(crate) struct Dones {
    waiting: RefCell<BTreeMap<SocketAddr, Vec<PermitRelease>>>,
    collecting: Cell<bool>,
}

/// A place at an engine; its drop gives it back. It is made before the place
/// is asked for, as the answer may be lost after the place was given.
pub(crate) struct Place {
    gateway: Rc<Gateway>,
    sidecar: SocketAddr,
    done: PermitRelease,
}

impl Place {
    /// The stream came whole, with `pause` as the longest between two events.
    pub(crate) fn on_whole(&mut self, pause: Span) {
        self.done.pause = Some(pause);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let empty = PermitRelease { attempt: String::new(), pause: None };
        let done = std::mem::replace(&mut self.done, empty);
        let dones = &self.gateway.dones;
        dones.waiting.borrow_mut().entry(self.sidecar).or_default().push(done);
        if !dones.collecting.replace(true) {
            actix_rt::spawn(tell(self.gateway.clone()));
        }
    }
}

/// Address of the daemon beside `engine`: on its host, where all daemons take
/// messages.
pub(crate) fn beside(gateway: &Gateway, engine: SocketAddr) -> SocketAddr {
    SocketAddr::new(engine.ip(), gateway.node.registry.sidecars)
}

/// What the names of daemons beside engines begin with; no upstream's id has
/// a space.
const BESIDE: &str = "beside ";

/// Name under which the daemon beside `engine` is judged.
pub(crate) fn sidecar_id(engine: SocketAddr) -> String {
    format!("{BESIDE}{engine}")
}

/// Whether `id` names a daemon beside an engine, not an upstream.
pub(crate) fn is_sidecar(id: &str) -> bool {
    id.starts_with(BESIDE)
}

/// Asks for a place at `engine`. `None`: the daemon there does not answer.
pub(crate) async fn ask(
    job: &Job,
    engine: SocketAddr,
    name: &AdapterName,
    patience: Span,
) -> Option<(Verdict, Place)> {
    let gateway = &job.gateway;
    let sidecar = beside(gateway, engine);
    let done = PermitRelease { attempt: job.attempt().to_owned(), pause: None };
    let place = Place { gateway: gateway.clone(), sidecar, done };
    let waited = clock::now().since(job.arrived);
    let want = PermitRequest {
        attempt: job.attempt().to_owned(),
        newest: gateway.node.catalogue.borrow().version(name),
        name: name.clone(),
        priority: job.rank(),
        size: job.ask.size.unwrap_or(Size { prompt: 500, output: 200 }),
        latency_target: job.route.latency_target.saturating_sub(waited),
        max_wait: patience,
        event_gap: job.route.event_gap,
        entry: gateway.node.peers,
    };
    let body = rmp_serde::to_vec_named(&want).expect("a want has only plain fields");
    gateway.placement.borrow_mut().on_send(engine);
    let pool = &gateway.node.pool;
    let called = pool.call(sidecar, Method::POST, PERMIT_PATH, &body, patience + MESSAGE).await;
    let answer = match called {
        Ok(answer) if answer.status == 200 => {
            rmp_serde::from_slice(&answer.body).map_err(|error| error.to_string())
        }
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok(verdict) => Some((verdict, place)),
        Err(error) => {
            let now = clock::now();
            gateway.health.borrow_mut().on_exchange(
                now,
                &sidecar_id(engine),
                Exchange::Unreachable,
            );
            gateway.placement.borrow_mut().on_refusal(engine);
            warn!(gateway.node.log, ""; "event" => "sidecar_lost",
                "request" => &job.ask.attempt, "sidecar" => %sidecar, "error" => error);
            None
        }
    }
}

/// Asks for a copy of `name` at `engine`.
pub(crate) async fn copy(gateway: Rc<Gateway>, engine: SocketAddr, name: AdapterName) {
    let body = rmp_serde::to_vec_named(&name).expect("a name has only plain fields");
    let sidecar = beside(&gateway, engine);
    let called = gateway.node.pool.call(sidecar, Method::POST, REPLICA_PATH, &body, MESSAGE).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => None,
        Ok(answer) => Some(format!("status {}", answer.status)),
        Err(error) => Some(error.to_string()),
    };
    info!(gateway.node.log, ""; "event" => "copy_asked", "adapter" => &name.adapter,
        "sidecar" => %sidecar, "error" => error);
}

/// Tells of ended requests what was collected.
async fn tell(gateway: Rc<Gateway>) {
    tokio::time::sleep(COLLECT.into()).await;
    gateway.dones.collecting.set(false);
    let waiting = std::mem::take(&mut *gateway.dones.waiting.borrow_mut());
    for (sidecar, dones) in waiting {
        actix_rt::spawn(tell_one(gateway.clone(), sidecar, dones));
    }
}

async fn tell_one(gateway: Rc<Gateway>, sidecar: SocketAddr, dones: Vec<PermitRelease>) {
    let body = rmp_serde::to_vec(&dones).expect("they have only plain fields");
    for _ in 0..TRIES {
        let pool = &gateway.node.pool;
        let called = pool.call(sidecar, Method::POST, RELEASE_PATH, &body, MESSAGE).await;
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
                    "count" => dones.len(), "error" => %error);
            }
        }
    }
}
