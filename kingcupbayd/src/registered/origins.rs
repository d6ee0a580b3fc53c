//! Exchange of the origins of streams between entries, and with the sidecars that keep them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use futures_util::future::join_all;
use kingcupbay_core::{
    deployment::{catalogue::Catalogue, model::Instance},
    origin::{
        Eligible, Origins, keepers, possible_keepers, possible_sidecar_keepers, sidecar_keepers,
    },
    time::Span,
    wire::{
        error::Code,
        origin::{ORIGIN_PATH, ORIGINS_PATH, Origin, OriginRecord, SoftwareId, StreamId},
    },
};
use slog::{Logger, debug, info};

use crate::{
    clock,
    gateway::{Gateway, job::Job, permits, reply::Refusal},
    http,
    registered::{confirm, message},
};

/// Timeout of a message about origins. A round trip within a region takes 2 ms.
const MESSAGE_TIMEOUT: Span = Span::from_millis(200);

/// Time for which records are collected before they are sent.
const COLLECT_DELAY: Span = Span::from_millis(20);

/// Records in one message.
const RECORDS_MAX: usize = 4_000;

/// Time after which to retry if the daemons that may know a stream did not answer.
const UNREACHABLE_RETRY: Span = Span::from_millis(400);

/// Records that have not been sent yet, by daemon.
#[derive(Default)]
pub(crate) struct PendingOrigins {
    records: RefCell<BTreeMap<SocketAddr, Vec<OriginRecord>>>,
    collecting: Cell<bool>,
}

/// Applies the registered upstreams. Origins are reported from now on for services that have
/// become mixed.
pub(crate) fn on_instances(gateway: &Rc<Gateway>) {
    let now = clock::now();
    let mixed = {
        let catalogue = gateway.node.catalogue.borrow();
        let rows = catalogue.instances().map(Rc::as_ref);
        gateway.origins.borrow_mut().on_instances(now, rows)
    };
    for service in mixed {
        let own = gateway.origins.borrow().own_streams(&service);
        info!(gateway.node.log, ""; "event" => "software_mixed", "service" => &service,
            "streams" => own.len());
        for record in own {
            report(gateway, &service, record);
        }
    }
    let origins = gateway.origins.borrow();
    gateway.metrics.set_origins(origins.mixed(now).count(), origins.len());
}

/// Records that this entry has forwarded events of `stream`, made by `software` of `service`.
pub(crate) fn on_own(gateway: &Rc<Gateway>, service: &str, stream: StreamId, software: SoftwareId) {
    let now = clock::now();
    gateway.origins.borrow_mut().on_own(now, stream, software);
    if gateway.origins.borrow().is_mixed(now, service) {
        report(gateway, service, OriginRecord { stream, software });
    }
}

/// Queues a record for the entries and the sidecars that keep it.
fn report(gateway: &Rc<Gateway>, service: &str, record: OriginRecord) {
    let OriginRecord { stream, software } = record;
    let (entries, hosts) = {
        let catalogue = gateway.node.catalogue.borrow();
        let entries = keepers(stream, catalogue.entries(), gateway.node.host());
        (entries, sidecar_keepers(stream, engines(&catalogue, service), software))
    };
    let sidecars = hosts.into_iter().map(|host| sidecar_at(gateway, host));
    let pending = &gateway.pending_origins;
    for address in entries.into_iter().chain(sidecars) {
        pending.records.borrow_mut().entry(address).or_default().push(record);
    }
    if !pending.collecting.replace(true) {
        actix_rt::spawn(send_pending(gateway.clone()));
    }
}

/// Returns the registered engines of `service`; none if it has no engines.
fn engines<'a>(
    catalogue: &'a Catalogue,
    service: &'a str,
) -> impl Iterator<Item = &'a Instance> + use<'a> {
    let declared = catalogue.deployment().and_then(|row| row.services.get(service));
    let has_engines = declared.is_some_and(|declared| declared.engine.is_some());
    let rows = catalogue.instances().map(Rc::as_ref);
    rows.filter(move |row| has_engines && row.service == service)
}

/// Returns the address of the sidecar on `host`.
fn sidecar_at(gateway: &Gateway, host: IpAddr) -> SocketAddr {
    permits::sidecar_address(gateway, SocketAddr::new(host, 0))
}

/// Sends the records collected within `COLLECT_DELAY`.
async fn send_pending(gateway: Rc<Gateway>) {
    tokio::time::sleep(COLLECT_DELAY.into()).await;
    gateway.pending_origins.collecting.set(false);
    let pending = std::mem::take(&mut *gateway.pending_origins.records.borrow_mut());
    for (keeper, records) in pending {
        for records in records.chunks(RECORDS_MAX) {
            actix_rt::spawn(send(gateway.clone(), keeper, records.to_vec()));
        }
    }
}

/// Sends records to one daemon.
async fn send(gateway: Rc<Gateway>, keeper: SocketAddr, records: Vec<OriginRecord>) {
    let body = rmp_serde::to_vec(&records).expect("a record has only plain fields");
    let node = &gateway.node;
    let called = node.call(keeper, Method::POST, ORIGINS_PATH, &body, MESSAGE_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 204 => return,
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    debug!(node.log, ""; "event" => "origins_lost", "peer" => %keeper,
        "records" => records.len(), "error" => error);
}

/// Returns which upstreams of `service` may run the request of `job`: if its caller takes up a
/// stream, only those of the software that began it.
pub(crate) async fn eligible(job: &Job, service: &str) -> Result<Eligible, Refusal> {
    if job.metadata.last_event.is_none() {
        return Ok(Eligible::Any);
    }
    let gateway = &job.gateway;
    let stream = job.taken_up();
    let (mut origin, mut silent) = match stream {
        Some(stream) => ask_entries(gateway, stream).await,
        None => (Origin::Unknown, 0),
    };
    let has_read = gateway.has_read_notes.get();
    let is_single = || !gateway.origins.borrow().is_mixed(clock::now(), service);
    let is_any = origin == Origin::Unknown
        && has_read
        && is_single()
        && (silent == 0 || (is_read_anew(gateway).await && is_single()));
    let mut known = "known";
    if origin == Origin::Unknown
        && !is_any
        && let Some(stream) = stream
    {
        let by_sidecars = ask_sidecars(gateway, service, stream).await;
        (origin, silent, known) = (by_sidecars.0, silent + by_sidecars.1, "sidecar");
    }
    let (outcome, eligible) = match origin {
        Origin::Software(software) => (known, Ok(Eligible::Only(software))),
        Origin::Unknown if is_any => ("any", Ok(Eligible::Any)),
        Origin::Unknown if silent > 0 || !has_read => {
            let why = "the stream's origin is not known now";
            ("silent", Err(Refusal::retry(Code::NoUpstream, why, UNREACHABLE_RETRY)))
        }
        Origin::Unknown | Origin::Contradictory => {
            let why = "the stream's origin is not known";
            ("unknown", Err(Refusal::plain(Code::NoUpstream, why)))
        }
    };
    gateway.metrics.on_origin(outcome);
    info!(gateway.node.log, ""; "event" => "origin", "request" => &job.metadata.attempt,
        "resumes" => &job.metadata.resumes, "outcome" => outcome, "silent" => silent,
        "ms" => clock::now().since(job.arrived).as_millis());
    eligible
}

/// Reads the registrations of upstreams anew; returns whether the store has answered. An entry that
/// was cut off or paused does not know yet that a service has become mixed, nor does it get the
/// origins that were reported meanwhile.
async fn is_read_anew(gateway: &Rc<Gateway>) -> bool {
    let node = &gateway.node;
    let is_confirmed =
        node.store_unavailable_since().is_none() && confirm::confirm_upstreams(node).await;
    if is_confirmed {
        on_instances(gateway);
    }
    is_confirmed
}

/// Returns the origin of `stream`, as far as this entry and those that may keep it know, and how
/// many of those did not answer.
async fn ask_entries(gateway: &Rc<Gateway>, stream: StreamId) -> (Origin, usize) {
    let own = gateway.origins.borrow().origin(clock::now(), stream);
    if own != Origin::Unknown {
        return (own, 0);
    }
    let keepers = {
        let catalogue = gateway.node.catalogue.borrow();
        possible_keepers(stream, catalogue.entries(), gateway.node.host())
    };
    ask_all(gateway, keepers, stream).await
}

/// Returns the origin of `stream`, as far as the sidecars that may keep it know, and how many of
/// those did not answer.
async fn ask_sidecars(gateway: &Rc<Gateway>, service: &str, stream: StreamId) -> (Origin, usize) {
    let hosts = {
        let catalogue = gateway.node.catalogue.borrow();
        possible_sidecar_keepers(stream, engines(&catalogue, service))
    };
    let sidecars = hosts.into_iter().map(|host| sidecar_at(gateway, host)).collect();
    ask_all(gateway, sidecars, stream).await
}

/// Asks `keepers` for the origin of `stream`. Returns what they know together, and how many did
/// not answer.
async fn ask_all(
    gateway: &Rc<Gateway>,
    keepers: Vec<SocketAddr>,
    stream: StreamId,
) -> (Origin, usize) {
    let answers = join_all(keepers.iter().map(|&keeper| ask(gateway, keeper, stream))).await;
    let silent = answers.iter().filter(|answer| answer.is_none()).count();
    (answers.into_iter().flatten().fold(Origin::Unknown, Origin::merge), silent)
}

/// Asks one daemon for the origin of `stream`. Returns `None` if it does not answer.
async fn ask(gateway: &Gateway, keeper: SocketAddr, stream: StreamId) -> Option<Origin> {
    let body = rmp_serde::to_vec(&stream).expect("an id is a number");
    let node = &gateway.node;
    let called = node.call(keeper, Method::POST, ORIGIN_PATH, &body, MESSAGE_TIMEOUT).await;
    let error = match called {
        Ok(answer) if answer.status == 200 => match rmp_serde::from_slice(&answer.body) {
            Ok(origin) => return Some(origin),
            Err(error) => error.to_string(),
        },
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    debug!(node.log, ""; "event" => "origin_lost", "peer" => %keeper, "error" => error);
    None
}

/// Applies records of another daemon.
pub(crate) async fn handle_records(
    log: &Logger,
    origins: &RefCell<Origins>,
    mut request: Request,
) -> Response<BoxBody> {
    let records = match message::read::<Vec<OriginRecord>>(log, &mut request).await {
        Ok(records) => records,
        Err(answer) => return answer,
    };
    let now = clock::now();
    let mut origins = origins.borrow_mut();
    for record in records {
        origins.on_report(now, record);
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// Answers another daemon that asks for the origin of a stream.
pub(crate) async fn handle_query(
    log: &Logger,
    origins: &RefCell<Origins>,
    mut request: Request,
) -> Response<BoxBody> {
    let stream = match message::read::<StreamId>(log, &mut request).await {
        Ok(stream) => stream,
        Err(answer) => return answer,
    };
    let origin = origins.borrow().origin(clock::now(), stream);
    let body = rmp_serde::to_vec(&origin).expect("an origin has only plain fields");
    http::reply::bytes("application/msgpack", body.into())
}
