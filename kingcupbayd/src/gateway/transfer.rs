//! Moves running streams away from engines that leave.
//!
//! [`Transfers`] knows the streams that this entry relays. [`watch`] tells those whose engine
//! leaves to move, and [`handle`] those that a sidecar names, a few of each engine at once. The
//! relay of a stream then prepares a target ([`prepare`]) and has the memory copied ([`Move`]).
//! All decisions are made by `kingcupbay_core::transfer`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    deployment::model::{EngineTransfers, Instance},
    time::{Instant, Span},
    transfer::{CopyOutcome, StartQueue, StreamLoad, Transfer, USUAL_NOTICE},
    wire::sidecar::{TransferReason, TransferRequest, Verdict},
};
use kingcupbay_platform::engine as platform;
use slog::{debug, info, warn};
use tokio::sync::{Notify, oneshot};

use crate::{
    clock,
    gateway::{
        Gateway,
        job::Job,
        permits::{self, Permit},
    },
    http::link::LinkError,
    registered::message,
};

/// Period at which streams whose engine leaves are reviewed: one that was expected to end in
/// time may be slower than it was, or may have found no target.
const REVIEW_PERIOD: Span = Span::from_millis(250);

/// Targets that are asked for a permit in one attempt at a transfer.
const TARGETS_MAX: usize = 3;

/// Longest wait for a permit at one target.
const PERMIT_WAIT_MAX: Span = Span::from_millis(300);

/// Timeout of a copy while the run continues. Copies of other runs share the link.
const COPY_TIMEOUT: Span = Span::from_millis(3_000);

/// Timeout of the copy that stops the run.
const STOP_TIMEOUT: Span = Span::from_millis(1_000);

/// Pause before a call is sent again.
const REPEAT_PAUSE: Span = Span::from_millis(50);

/// Timeout of freeing a copy. The engine frees it itself some time later.
const FREE_TIMEOUT: Span = Span::from_millis(500);

/// Why and until when a stream has to move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Notice {
    pub(crate) why: TransferReason,
    pub(crate) until: Instant,
}

/// A stream that may move.
struct Stream {
    attempt: String,
    row: Rc<Instance>,
    load: Cell<StreamLoad>,
    notice: Cell<Option<Notice>>,
    /// Notified when the stream shall begin to move.
    start: Notify,
}

/// The streams that may move, by engine.
#[derive(Default)]
pub(crate) struct Transfers {
    streams: RefCell<BTreeMap<(SocketAddr, u64), Rc<Stream>>>,
    queue: RefCell<StartQueue>,
    /// Last id of a stream.
    last_id: Cell<u64>,
    /// Notified when a stream begins at an engine that leaves already.
    added: Notify,
}

impl Transfers {
    /// Returns the streams at `engine`.
    fn at(&self, engine: SocketAddr) -> Vec<(u64, Rc<Stream>)> {
        let streams = self.streams.borrow();
        let at = streams.range((engine, 0)..=(engine, u64::MAX));
        at.map(|(&(_, id), stream)| (id, stream.clone())).collect()
    }

    /// Tells the next streams at `engine` to begin.
    fn start_next(&self, engine: SocketAddr) {
        for id in self.queue.borrow_mut().start(engine) {
            if let Some(stream) = self.streams.borrow().get(&(engine, id)) {
                stream.start.notify_one();
            }
        }
    }

    /// Queues the streams that have to move and returns whether any engine leaves.
    fn review(&self, gateway: &Gateway) -> bool {
        let now = clock::now();
        let engines: BTreeSet<SocketAddr> =
            self.streams.borrow().keys().map(|&(engine, _)| engine).collect();
        let mut any = false;
        for engine in engines {
            let mut queued = false;
            for (id, stream) in self.at(engine) {
                let usual = |why| Notice { why, until: now + USUAL_NOTICE };
                let notice =
                    stream.notice.get().or_else(|| leaving_reason(gateway, &stream.row).map(usual));
                let Some(notice) = notice else { continue };
                stream.notice.set(Some(notice));
                any = true;
                let load = stream.load.get();
                if load.must_move(notice.why, Some(notice.until.since(now))) {
                    self.queue.borrow_mut().push(engine, id, load);
                    queued = true;
                }
            }
            if queued {
                self.start_next(engine);
            }
        }
        any
    }
}

/// Returns why streams at `row` have to move, by what this entry knows of it.
fn leaving_reason(gateway: &Gateway, row: &Instance) -> Option<TransferReason> {
    let catalogue = gateway.node.catalogue.borrow();
    if catalogue.evacuations().is_evacuated(&row.zone) {
        return Some(TransferReason::Evacuated);
    }
    let registered = catalogue.instance(&row.id).filter(|known| known.born == row.born);
    let leaves =
        catalogue.has_announced_leaving(row) || registered.is_some_and(|known| known.leaving);
    leaves.then_some(TransferReason::Leaving)
}

/// Tells streams whose engine leaves to move, forever.
pub(crate) async fn watch(gateway: Rc<Gateway>) {
    loop {
        let (withdrawn, evacuated) =
            (gateway.withdrawn.notified(), gateway.node.evacuated.notified());
        let changed = gateway.node.changed.notified();
        let pending = gateway.transfers.review(&gateway);
        tokio::select! {
            () = withdrawn => {}
            () = evacuated => {}
            () = changed => {}
            () = gateway.transfers.added.notified() => {}
            () = tokio::time::sleep(REVIEW_PERIOD.into()), if pending => {}
        }
    }
}

/// Applies a sidecar's request to move streams.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Response<BoxBody> {
    let log = &gateway.node.log;
    let requests = match message::read::<Vec<TransferRequest>>(log, &mut request).await {
        Ok(requests) => requests,
        Err(answer) => return answer,
    };
    let now = clock::now();
    let transfers = &gateway.transfers;
    for TransferRequest { engine, attempt, within, why } in requests {
        let at = transfers.at(engine);
        let Some((id, stream)) = at.into_iter().find(|(_, stream)| stream.attempt == attempt)
        else {
            debug!(log, ""; "event" => "transfer_unknown", "request" => attempt);
            continue;
        };
        let until = now + within.unwrap_or(USUAL_NOTICE);
        stream.notice.set(Some(Notice { why, until }));
        transfers.queue.borrow_mut().push(engine, id, stream.load.get());
        transfers.start_next(engine);
        transfers.added.notify_one();
    }
    Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(()))
}

/// A stream's entry in [`Transfers`], removed on drop.
pub(crate) struct Movable {
    gateway: Rc<Gateway>,
    id: u64,
    stream: Rc<Stream>,
}

impl Movable {
    /// Adds a stream at `row`, unless its engine does not copy runs or transfers are switched
    /// off.
    pub(crate) fn new(job: &Job, row: &Rc<Instance>, load: StreamLoad) -> Option<Movable> {
        engine_transfers(job, &row.service)?;
        let gateway = job.gateway.clone();
        let transfers = &gateway.transfers;
        let id = transfers.last_id.get() + 1;
        transfers.last_id.set(id);
        let stream = Rc::new(Stream {
            attempt: job.metadata.attempt.clone()?,
            row: row.clone(),
            load: Cell::new(load),
            notice: Cell::default(),
            start: Notify::new(),
        });
        transfers.streams.borrow_mut().insert((row.address, id), stream.clone());
        if leaving_reason(&gateway, row).is_some() {
            transfers.added.notify_one();
        }
        Some(Movable { gateway, id, stream })
    }

    /// Records what is known of the stream by now.
    pub(crate) fn set_load(&self, load: StreamLoad) {
        self.stream.load.set(load);
    }

    /// Waits until the stream has to begin to move.
    pub(crate) async fn started(&self) -> Notice {
        loop {
            self.stream.start.notified().await;
            if let Some(notice) = self.stream.notice.get() {
                return notice;
            }
        }
    }

    /// Lets other streams begin, as this one does not move now. The next review queues it
    /// again.
    pub(crate) fn postpone(&self) {
        let (transfers, engine) = (&self.gateway.transfers, self.stream.row.address);
        transfers.queue.borrow_mut().remove(engine, self.id);
        transfers.start_next(engine);
    }
}

impl Drop for Movable {
    fn drop(&mut self) {
        let key = (self.stream.row.address, self.id);
        self.gateway.transfers.streams.borrow_mut().remove(&key);
        self.postpone();
    }
}

/// Returns how the engines of `service` copy runs, if they do and transfers are switched on.
pub(crate) fn engine_transfers(job: &Job, service: &str) -> Option<EngineTransfers> {
    let service = job.deployment.services.get(service)?;
    service.engine.as_ref()?.transfers.filter(|_| job.gateway.node.registry.transfers)
}

/// A target that has granted a permit.
pub(crate) struct Prepared {
    pub(crate) instance: Rc<Instance>,
    pub(crate) permit: Option<Permit>,
    pub(crate) notice: Notice,
    /// Targets that were tried, this one included.
    pub(crate) tried: Vec<SocketAddr>,
}

/// Finds a target for a run at `source` with `version` of its adapter, except those in `tried`.
pub(crate) async fn prepare(
    job: Rc<Job>,
    source: Rc<Instance>,
    version: Option<u32>,
    notice: Notice,
    mut tried: Vec<SocketAddr>,
) -> Option<Prepared> {
    let name = job.metadata.model.clone()?;
    while tried.len() < TARGETS_MAX {
        let instance = choose(&job, &source, version, &tried)?;
        tried.push(instance.address);
        let wait = notice.until.since(clock::now()).min(PERMIT_WAIT_MAX).min(job.remaining());
        match permits::request_permit(&job, &instance, &name, job.arrived, wait, true).await {
            Some((Verdict::Granted { version: granted }, permit)) if granted == version => {
                return Some(Prepared { instance, permit: Some(permit), notice, tried });
            }
            Some((verdict, _)) => {
                job.gateway.placement.borrow_mut().on_refusal(instance.address);
                debug!(job.gateway.node.log, ""; "event" => "transfer_refused",
                    "request" => &job.metadata.attempt, "upstream" => &instance.id,
                    "verdict" => ?verdict);
            }
            // Logged by the permit request.
            None => {}
        }
    }
    None
}

/// Returns the best target: one that is known to hold the adapter if there is one, and of these
/// one in the zone of `source`. In a large fleet an entry knows the adapters of few engines; the
/// sidecar of another one says in which version it has it.
fn choose(
    job: &Job,
    source: &Instance,
    version: Option<u32>,
    tried: &[SocketAddr],
) -> Option<Rc<Instance>> {
    let now = clock::now();
    let name = job.metadata.model.as_ref()?;
    let gateway = &job.gateway;
    let (catalogue, health) = (gateway.node.catalogue.borrow(), gateway.health.borrow());
    let (placement, rests) = (gateway.placement.borrow(), gateway.rests.borrow());
    let is_target = |row: &&Rc<Instance>| {
        row.address != source.address
            && row.software == source.software
            && !tried.contains(&row.address)
            && rests.remaining(now, &row.id, row.born).is_none()
            && !health.is_suspect(now, &row.id)
            && !health.is_suspect(now, &permits::sidecar_id(row.address))
            && !placement.is_silent(now, row.address)
    };
    // Whether the adapter's version fits; `None` if it is not known to be resident.
    let fits = |row: &Instance| {
        let resident = placement.resident_version(row.address, name)?;
        Some(version.is_none_or(|wanted| wanted == resident))
    };
    let targets: Vec<&Rc<Instance>> =
        catalogue.serving(&source.service).filter(is_target).collect();
    let of = |fit: Option<bool>, near: bool| -> Vec<SocketAddr> {
        let rows = targets.iter().filter(|row| fits(row) == fit);
        rows.filter(|row| !near || row.zone == source.zone).map(|row| row.address).collect()
    };
    let groups = [(Some(true), true), (Some(true), false), (None, true), (None, false)];
    let engine =
        groups.into_iter().find_map(|(fit, near)| placement.choose(now, name, &of(fit, near)))?;
    targets.into_iter().find(|row| row.address == engine).cloned()
}

/// The transfer of one stream to one target. An unused copy is freed on drop.
pub(crate) struct Move {
    pub(crate) transfer: Transfer,
    /// Invariant: its permit is present until [`Move::into_target`].
    pub(crate) prepared: Prepared,
    pub(crate) began: Instant,
    pub(crate) source: Rc<Instance>,
    /// Whether the source no longer had the run when it was asked to stop it.
    pub(crate) recovers: bool,
    gateway: Rc<Gateway>,
    attempt: String,
    call: Option<oneshot::Receiver<(CopyOutcome, Span)>>,
    calls: u32,
}

impl Move {
    /// Creates a transfer that has called nobody yet.
    pub(crate) fn new(job: &Job, source: Rc<Instance>, prepared: Prepared) -> Move {
        Move {
            transfer: Transfer::new(),
            prepared,
            began: clock::now(),
            source,
            recovers: false,
            gateway: job.gateway.clone(),
            attempt: job.attempt().to_owned(),
            call: None,
            calls: 0,
        }
    }

    /// Calls the source to copy the run's memory. The call ends even if the stream ends
    /// first, as only its answer names the copy to free.
    pub(crate) fn call(&mut self, last: bool) {
        let (sender, receiver) = oneshot::channel();
        self.call = Some(receiver);
        self.calls += 1;
        let pause = if self.calls > 2 { REPEAT_PAUSE } else { Span::ZERO };
        let (gateway, source) = (self.gateway.clone(), self.source.address);
        let call = platform::encode_copy(&self.attempt, self.prepared.instance.address, last);
        let attempt = self.attempt.clone();
        drop(actix_rt::spawn(async move {
            tokio::time::sleep(pause.into()).await;
            let sent = clock::now();
            let timeout = if last { STOP_TIMEOUT } else { COPY_TIMEOUT };
            let pool = &gateway.node.pool;
            let called = pool.call(source, Method::POST, &call.path, &call.body, timeout).await;
            let outcome = match &called {
                Ok(answer) => platform::decode_copy(answer.status, &answer.body),
                Err(LinkError::Unsent(error))
                    if error.kind() == std::io::ErrorKind::ConnectionRefused =>
                {
                    CopyOutcome::NoRun
                }
                Err(_) => CopyOutcome::Unknown,
            };
            debug!(gateway.node.log, ""; "event" => "copied", "request" => attempt,
                "source" => %source, "last" => last, "outcome" => ?outcome,
                "error" => called.err().map(|error| error.to_string()));
            if let Err((outcome, _)) = sender.send((outcome, clock::now().since(sent))) {
                free_copy(gateway, source, outcome);
            }
        }));
    }

    /// Returns the target, which continues the run, and its permit.
    pub(crate) fn into_target(mut self) -> (Rc<Instance>, Option<Permit>) {
        (self.prepared.instance.clone(), self.prepared.permit.take())
    }

    /// Waits for the answer to the call.
    pub(crate) async fn answered(&mut self) -> (CopyOutcome, Span) {
        let Some(call) = &mut self.call else { return std::future::pending().await };
        let answer = call.await;
        self.call = None;
        answer.unwrap_or((CopyOutcome::Unknown, Span::ZERO))
    }
}

impl Drop for Move {
    fn drop(&mut self) {
        let late = self.call.as_mut().and_then(|call| call.try_recv().ok());
        let known = self.transfer.unused_copy().map(str::to_owned);
        if let Some(handle) = known {
            free(self.gateway.clone(), self.source.address, handle);
        } else if let Some((outcome, _)) = late {
            free_copy(self.gateway.clone(), self.source.address, outcome);
        }
    }
}

/// Frees the copy that `outcome` names.
fn free_copy(gateway: Rc<Gateway>, source: SocketAddr, outcome: CopyOutcome) {
    if let CopyOutcome::Copied { handle } | CopyOutcome::NoRoom { handle: Some(handle) } = outcome {
        free(gateway, source, handle);
    }
}

/// Frees both ends of a copy.
fn free(gateway: Rc<Gateway>, source: SocketAddr, handle: String) {
    drop(actix_rt::spawn(async move {
        let call = platform::encode_free(&handle);
        let pool = &gateway.node.pool;
        match pool.call(source, Method::DELETE, &call.path, &[], FREE_TIMEOUT).await {
            Ok(answer) => debug!(gateway.node.log, ""; "event" => "copy_freed",
                "source" => %source, "status" => answer.status),
            // The engine frees the copy itself once its time has passed.
            Err(error) => warn!(gateway.node.log, ""; "event" => "copy_left",
                "source" => %source, "error" => %error),
        }
    }));
}

/// Logs and counts the end of a transfer.
pub(crate) fn log_end(job: &Job, work: &Move, outcome: &'static str, tokens: u64) {
    let gateway = &job.gateway;
    let why = work.prepared.notice.why;
    let token_bytes = engine_transfers(job, &work.source.service).map_or(0, |row| row.token_bytes);
    gateway.metrics.on_transfer(why, outcome);
    info!(gateway.node.log, ""; "event" => "transfer", "request" => &job.metadata.attempt,
        "why" => why.as_str(), "outcome" => outcome, "from" => &work.source.id,
        "to" => &work.prepared.instance.id, "bytes" => tokens.saturating_mul(token_bytes),
        "calls" => work.calls, "ms" => clock::now().since(work.began).as_millis());
}
