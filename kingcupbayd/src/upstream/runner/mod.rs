//! Runner of one engine: its queue, its slots, and the tasks that send orders.
//!
//! The core decides: [`Queue`] which request runs next, [`Slots`] which adapter
//! is loaded into which slot. The runner calls them after each change and
//! answers every waiting request with a [`Permit`] or with the reason why there
//! is none. [`orders`] sends the orders to the engine.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
    rc::{Rc, Weak},
};

use kingcupbay_core::{
    config::model::{Serves, Upstream as Row},
    id::{RequestId, VersionId},
    queue::{self, Entry, GivenUp, Queue},
    route,
    slot::{self, Pin, Slots},
    time::{Instant, Span},
    wire::error::{Code, Failure},
};
use tokio::sync::{Notify, oneshot, watch};

use super::{Upstream, fence};
use crate::clock;

mod orders;

/// Pause between two requests for the engine's own report.
const REPORT_PERIOD: Span = Span::from_secs(1);

/// Longest wait of a request for the daemon's fencing number, which takes two
/// requests to the table.
const OWNERSHIP_TIMEOUT: Span = Span::from_secs(2);

/// When to retry a request that was refused after that wait.
const OWNERSHIP_RETRY: Span = Span::from_secs(1);

type PermitResult = Result<Permit, Failure>;

/// State of one engine.
pub(crate) struct Runner {
    upstream: Rc<Upstream>,
    row: Row,
    state: RefCell<State>,
    /// Whether this daemon has its fencing number.
    owned: watch::Sender<bool>,
    /// Notified when a request was queued or has ended, so that another may start.
    wake: Notify,
    /// Reference to the runner itself, for the tasks that it starts.
    weak_self: Weak<Runner>,
}

struct State {
    queue: Queue,
    /// `None` until this daemon has its fencing number.
    slots: Option<Slots>,
    /// Where to send the permit or refusal of a waiting request.
    ///
    /// Invariant: one for each request in `queue`.
    waiting: BTreeMap<RequestId, oneshot::Sender<PermitResult>>,
    /// Where to notify a running request that the engine lost its adapter.
    running: BTreeMap<RequestId, oneshot::Sender<()>>,
}

/// Permission to run one request: room in the engine's batch and a pinned
/// adapter. Dropping it releases both.
pub(crate) struct Permit {
    runner: Rc<Runner>,
    request: RequestId,
    _pin: Pin,
    /// Receives the notification that the engine lost the adapter.
    lost: oneshot::Receiver<()>,
    /// Tokens that the engine has used on the request.
    used_tokens: Cell<u64>,
}

/// Removes a request from the queue if its entry disconnects while it waits.
struct QueueGuard {
    runner: Rc<Runner>,
    request: RequestId,
}

impl Runner {
    /// Creates the runner of an engine of unknown state, and starts the task that
    /// maintains it.
    pub(crate) fn start(upstream: Rc<Upstream>, row: Row) -> Rc<Runner> {
        let length = upstream.settings.tuning.queue as usize;
        let limits = queue::Limits { max_waiting: length, ..queue::Limits::default() };
        let runner = Rc::new_cyclic(|weak_self| Runner {
            upstream,
            row,
            state: RefCell::new(State {
                queue: Queue::new(limits),
                slots: None,
                waiting: BTreeMap::new(),
                running: BTreeMap::new(),
            }),
            owned: watch::Sender::new(false),
            wake: Notify::new(),
            weak_self: weak_self.clone(),
        });
        actix_rt::spawn(maintain(Rc::downgrade(&runner)));
        runner
    }

    /// Returns whether this runner can be kept under `row`.
    ///
    /// A new runner knows no pins and would evict adapters that requests of the
    /// old one use. So the runner stays as long as the engine is the same and
    /// has work, and a change of its slots takes effect when it is idle.
    pub(crate) fn can_serve(&self, row: &Row) -> bool {
        let state = self.state.borrow();
        let idle = state.queue.is_empty() && state.queue.running() == 0;
        self.row.address == row.address && (self.row.serves == row.serves || !idle)
    }

    /// Waits for a permit. Requests that cannot be served in time are refused at
    /// once.
    pub(crate) async fn acquire_permit(self: Rc<Runner>, entry: Entry) -> PermitResult {
        self.wait_until_owned(entry.deadline).await?;
        let now = clock::now();
        let (sender, receiver) = oneshot::channel();
        let ready = self.is_ready(entry.version);
        if let Some(left) = self.backoff(now, entry.version) {
            let failure = Failure::not_run(Code::LoadFailed, "the adapter could not be loaded");
            return Err(failure.after(left));
        }
        self.push(now, entry, sender)?;
        let guard = QueueGuard { runner: self.clone(), request: entry.request };
        self.schedule();
        let granted = receiver.await;
        drop(guard);
        if !ready {
            self.upstream.metrics.load_stalls.inc();
            let wait = clock::now().since(now).as_secs_f64();
            self.upstream.metrics.stall_wait.observe(wait);
        }
        granted.expect("a waiting request is always answered")
    }

    /// Waits until this daemon has its fencing number. While the table is
    /// unreachable that may take very long, so the request is refused after a
    /// short wait and can be tried elsewhere.
    async fn wait_until_owned(&self, deadline: Instant) -> Result<(), Failure> {
        let mut owned = self.owned.subscribe();
        let wait = deadline.since(clock::now()).min(OWNERSHIP_TIMEOUT);
        let owned = tokio::time::timeout(wait.into(), owned.wait_for(|&owned| owned)).await;
        match owned {
            Ok(_) => Ok(()),
            Err(_) => {
                let message = "this daemon does not own the engine yet";
                Err(Failure::not_run(Code::NoUpstream, message).after(OWNERSHIP_RETRY))
            }
        }
    }

    fn is_ready(&self, version: VersionId) -> bool {
        self.state.borrow().slots.as_ref().is_some_and(|slots| slots.is_ready(version))
    }

    /// Returns how long loads of `version` are still suspended after a failure.
    fn backoff(&self, now: Instant, version: VersionId) -> Option<Span> {
        self.state.borrow().slots.as_ref()?.backoff(now, version)
    }

    /// Puts a request into the queue. A second request with the id of one that
    /// waits or runs is refused here: it would replace the sender of the first
    /// one in `waiting`, which would then never be answered.
    fn push(
        &self,
        now: Instant,
        entry: Entry,
        sender: oneshot::Sender<PermitResult>,
    ) -> Result<(), Failure> {
        let mut state = self.state.borrow_mut();
        let refused = state.queue.push(now, entry);
        if let Some(own) = refused.as_ref().filter(|refusal| refusal.entry.request == entry.request)
        {
            return Err(own.failure());
        }
        state.waiting.insert(entry.request, sender);
        if let Some(slots) = &mut state.slots {
            slots.touch(now, entry.version);
        }
        state.send_refusals(refused);
        Ok(())
    }

    /// Refuses requests that cannot be served in time, starts those that can run,
    /// and sends the loads and unloads that the others need.
    fn schedule(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let expired = state.queue.expire(now);
        state.send_refusals(expired);
        // Without standing nothing new starts: another daemon may own the engine
        // by now, or the configuration may have changed.
        if !self.upstream.fleet.may_act(now) {
            let refused = state.queue.close();
            state.send_refusals(refused);
            return;
        }
        self.start_ready(now, &mut state);
        let waits = state.queue.waits();
        let loads = self.upstream.settings.tuning.loads;
        let Some(slots) = &mut state.slots else { return };
        let budget = loads.saturating_sub(slots.loading());
        let actions = slots.plan(now, &waits, budget);
        self.execute(&mut state, actions);
    }

    /// Starts waiting requests whose adapter is loaded, up to the batch size.
    fn start_ready(&self, now: Instant, state: &mut State) {
        let batch = self.upstream.settings.tuning.batch as usize;
        while state.queue.running() < batch {
            let State { queue, slots, .. } = &mut *state;
            let Some(slots) = slots else { return };
            let Some(entry) = queue.start_next(now, |version| slots.is_ready(version)) else {
                return;
            };
            let pin = slots.pin(entry.version, entry.request).expect("a ready version is loaded");
            self.grant(state, entry.request, pin);
        }
    }

    /// Sends a permit to a waiting request.
    fn grant(&self, state: &mut State, request: RequestId, pin: Pin) {
        let (notify_lost, lost) = oneshot::channel();
        state.running.insert(request, notify_lost);
        let runner = self.weak_self.upgrade().expect("it runs");
        let permit = Permit { runner, request, _pin: pin, lost, used_tokens: Cell::new(0) };
        let sender = state.waiting.remove(&request).expect("a queued request waits");
        // The entry may have just disconnected. The permit is dropped in a task
        // of its own, because its drop borrows the state, which is borrowed
        // here.
        if let Err(permit) = sender.send(Ok(permit)) {
            actix_rt::spawn(async move { drop(permit) });
        }
    }

    /// Executes actions of the slots.
    fn execute(&self, state: &mut State, actions: Vec<slot::Action>) {
        for action in actions {
            match action {
                slot::Action::Failed { version, retry_after } => {
                    let failed = state.queue.fail(version, retry_after);
                    state.send_refusals(failed);
                }
                slot::Action::Lost { request } => {
                    if let Some(sender) = state.running.remove(&request) {
                        let _ = sender.send(());
                    }
                }
                order => self.send_order(order),
            }
        }
    }

    /// Sends an order to the engine in a task of its own.
    fn send_order(&self, order: slot::Action) {
        let runner = self.weak_self.upgrade().expect("it runs");
        actix_rt::spawn(async move {
            let actions = orders::send(&runner, order).await;
            runner.execute(&mut runner.state.borrow_mut(), actions);
            runner.wake.notify_one();
        });
    }

    /// Requests the engine's report of its resident adapters, also when an answer
    /// of the engine does not match the state of the slots.
    pub(crate) fn request_report(&self) {
        self.send_order(slot::Action::RequestReport);
    }

    /// Retires the slots of versions that the configuration no longer has.
    fn retire_removed_versions(&self) {
        let config = self.upstream.fleet.config();
        let mut state = self.state.borrow_mut();
        let Some(slots) = &mut state.slots else { return };
        for version in slots.loaded_versions() {
            if config.versions.get(version).is_none() {
                slots.retire(version);
            }
        }
    }

    /// Returns the load report of this engine for entries. Its sequence number is
    /// zero; entries number the reports as they arrive.
    pub(crate) fn report(&self) -> route::Report {
        let state = self.state.borrow();
        route::Report {
            loaded: state.slots.as_ref().map(Slots::loaded_versions).unwrap_or_default(),
            running: state.queue.running() as u32,
            waiting: state.queue.len() as u32,
            places: self.upstream.settings.tuning.batch,
            seq: 0,
        }
    }

    /// Updates the load metrics of the engine. Batch efficiency is the share of
    /// the batch that is used while requests wait.
    fn update_metrics(&self) {
        let state = self.state.borrow();
        let labels = [self.row.name.as_str()];
        let metrics = &self.upstream.metrics;
        metrics.running.with_label_values(&labels).set(state.queue.running() as i64);
        metrics.waiting.with_label_values(&labels).set(state.queue.len() as i64);
        let places = i64::from(self.upstream.settings.tuning.batch);
        metrics.places.with_label_values(&labels).set(places);
    }

    /// Returns one line for the engine, and one for each slot that is not empty.
    pub(crate) fn dump(&self, name: &str) -> String {
        let state = self.state.borrow();
        let slots = state.slots.as_ref().map(Slots::view).unwrap_or_default();
        let pins: u32 = slots.iter().map(|slot| slot.pins).sum();
        let loaded = slots.iter().filter(|slot| slot.state == slot::SlotState::Loaded).count();
        let mut out = format!(
            "upstream={name} fencing={} fenced={} running={} waiting={} slots={} loaded={loaded} pins={pins}\n",
            state.slots.as_ref().map_or(0, Slots::fencing),
            state.slots.as_ref().is_some_and(Slots::is_fenced),
            state.queue.running(),
            state.queue.len(),
            slots.len(),
        );
        let config = self.upstream.fleet.config();
        for slot in slots {
            let Some(version) = slot.version else { continue };
            let model = config.model_name(version).unwrap_or_else(|| "removed".to_owned());
            let state = format!("{:?}", slot.state).to_lowercase();
            let _ = writeln!(out, "upstream={name} slot={state} model={model} pins={}", slot.pins);
        }
        out
    }
}

impl State {
    /// Sends the failures of refused requests.
    fn send_refusals(&mut self, given_up: impl IntoIterator<Item = GivenUp>) {
        for refusal in given_up {
            if let Some(sender) = self.waiting.remove(&refusal.entry.request) {
                let _ = sender.send(Err(refusal.failure()));
            }
        }
    }
}

/// Acquires ownership of the engine, then schedules its requests and requests its
/// reports until its runner is dropped.
async fn maintain(runner: Weak<Runner>) {
    let Some(owned) = runner.upgrade() else { return };
    let Serves::Model { slots, fenced, .. } = owned.row.serves else { return };
    let fencing = fence::acquire(&owned.upstream, &owned.row.name, fenced).await;
    owned.state.borrow_mut().slots = Some(Slots::new(slot::Limits::default(), slots, fencing));
    owned.owned.send_replace(true);
    owned.request_report();
    drop(owned);
    let mut asked = clock::now();
    while let Some(runner) = runner.upgrade() {
        runner.schedule();
        runner.update_metrics();
        if clock::now().since(asked) >= REPORT_PERIOD {
            asked = clock::now();
            runner.retire_removed_versions();
            runner.request_report();
        }
        let next = runner.state.borrow().queue.next_expiry();
        let pause = next.map_or(REPORT_PERIOD, |at| at.since(clock::now()).min(REPORT_PERIOD));
        let _ = tokio::time::timeout(pause.into(), runner.wake.notified()).await;
    }
}

impl Permit {
    /// Adds tokens that the engine has used on this request.
    pub(crate) fn on_tokens(&self, count: u64) {
        self.used_tokens.set(self.used_tokens.get() + count);
        self.runner.state.borrow_mut().queue.add_tokens(self.request, count);
    }

    /// Completes when the engine has lost the adapter, for example by a restart.
    pub(crate) async fn adapter_lost(&mut self) {
        if (&mut self.lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the runner of the engine.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.runner.state.borrow_mut();
        state.running.remove(&self.request);
        state.queue.finish(self.request, self.used_tokens.get());
        drop(state);
        self.runner.wake.notify_one();
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut state = self.runner.state.borrow_mut();
        if state.waiting.remove(&self.request).is_some() {
            state.queue.cancel(self.request);
        }
    }
}
