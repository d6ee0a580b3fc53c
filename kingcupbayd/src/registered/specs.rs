//! What a sidecar needs of the operator's rows, without reading them at each change.
//!
//! Every permit request says which specification the entry's configuration has for the
//! engine. While that is the known one, the sidecar does not read the operator's rows. The
//! readers send new versions of adapters to the sidecars that usually hold them.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    config::model::Role,
    deployment::waits::SPEC_AGE_MAX,
    placement,
    time::{Instant, Span},
    wire::sidecar::{AnnouncedVersion, SpecDigest, VERSION_PATH},
};
use slog::{debug, info};

use crate::registered::{Node, message};

/// Timeout of an answer to a new version. A sidecar that misses one learns of it with the next
/// request for the adapter.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// Applies the specification that an entry's permit request names.
pub(crate) fn on_digest(node: &Node, now: Instant, digest: SpecDigest) {
    let own = node.deployment().and_then(|deployment| {
        let service = deployment.services.get(node.registry.service.as_deref()?)?;
        Some(service.spec_hash())
    });
    if own == Some(digest.hash) {
        node.spec_confirmed.set(Some(now));
    } else if digest.number > node.number() && node.spec_confirmed.take().is_some() {
        info!(node.log, ""; "event" => "spec_changed", "number" => node.number().0,
            "theirs" => digest.number.0);
        node.behind.notify_waiters();
    }
}

impl Node {
    /// Returns whether this is a sidecar that need not follow the operator's rows, as entries
    /// say what has changed. In an evacuated zone it has to: entries do not say when the zone is
    /// restored.
    pub(crate) fn follows_rarely(&self) -> bool {
        let sidecar = self.settings.daemon.role == Role::Upstream;
        sidecar && self.deployment().is_some() && !self.is_evacuated()
    }

    /// Returns for how long this sidecar need not read the operator's rows. `None` if it has
    /// to.
    pub(crate) fn spec_remaining(&self, now: Instant) -> Option<Span> {
        if !self.follows_rarely() {
            return None;
        }
        let until = self.spec_confirmed.get()? + SPEC_AGE_MAX;
        (until > now).then(|| until.since(now))
    }
}

/// Sends a new version to the sidecars that usually hold the adapter, if this daemon is a
/// reader.
pub(crate) fn report_version(node: &Rc<Node>, announced: AnnouncedVersion) {
    if node.settings.daemon.role != Role::Entry || !node.reader.get() {
        return;
    }
    let body = rmp_serde::to_vec_named(&announced).expect("a version has only plain fields");
    for sidecar in usual_sidecars(node, &announced) {
        let (node, body) = (node.clone(), body.clone());
        drop(actix_rt::spawn(async move {
            let called =
                node.call(sidecar, Method::POST, VERSION_PATH, &body, ANSWER_TIMEOUT).await;
            if let Err(error) = called {
                debug!(node.log, ""; "event" => "version_lost", "sidecar" => %sidecar,
                    "error" => %error);
            }
        }));
    }
}

/// Returns the sidecars of the engines that usually hold the adapter.
fn usual_sidecars(node: &Node, announced: &AnnouncedVersion) -> Vec<SocketAddr> {
    let catalogue = node.catalogue.borrow();
    let Some(deployment) = catalogue.deployment() else { return Vec::new() };
    let is_engine = |service: &String| {
        deployment.services.get(service).is_some_and(|service| service.engine.is_some())
    };
    let engines = catalogue.instances().filter(|row| is_engine(&row.service) && !row.leaving);
    let engines: Vec<SocketAddr> = engines.map(|row| row.address).collect();
    let holders = placement::usual_holders(&announced.name, &engines);
    holders.into_iter().map(|at| SocketAddr::new(at.ip(), node.registry.sidecars)).collect()
}

/// Applies a new version that a reader has read.
pub(crate) async fn handle_version(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let announced = match message::read::<AnnouncedVersion>(&node.log, &mut request).await {
        Ok(announced) => announced,
        Err(answer) => return answer,
    };
    let AnnouncedVersion { name, version } = announced;
    let adapter = name.adapter.clone().unwrap_or_default();
    if node.catalogue.borrow_mut().on_version(name, version) {
        info!(node.log, ""; "event" => "adapter_version", "adapter" => adapter,
            "version" => version, "why" => "reported");
        node.changed.notify_waiters();
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}
