//! One engine: its queue, its slots, and the tasks that carry out orders.
//!
//! The decisions are the core's: [`Queue`] says which request runs next,
//! [`Slots`] which adapter is loaded where. This shell wakes them when
//! something has changed, and gives every waiting request its [`Place`] or
//! the reason why there is none. [`orders`] speaks to the engine.

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

/// Pause between two looks at the engine's own report.
const REPORT_PERIOD: Span = Span::from_secs(1);

/// Longest wait of a request for the daemon's fencing number, which takes two
/// exchanges with the table.
const OWN_WAIT: Span = Span::from_secs(2);

/// When to come back after it.
const OWN_RETRY: Span = Span::from_secs(1);

type Granted = Result<Place, Failure>;

/// State of one engine.
pub(crate) struct Runner {
    upstream: Rc<Upstream>,
    row: Row,
    state: RefCell<State>,
    /// Whether this daemon has its fencing number.
    owned: watch::Sender<bool>,
    /// Told when a request came or ended, so that another may start.
    wake: Notify,
    /// Itself, for the tasks it starts.
    me: Weak<Runner>,
}

struct State {
    queue: Queue,
    /// `None` until this daemon has its fencing number.
    slots: Option<Slots>,
    /// Invariant: one for each request in `queue`.
    waiting: BTreeMap<RequestId, oneshot::Sender<Granted>>,
    /// Where to tell a running request that the engine lost its adapter.
    running: BTreeMap<RequestId, oneshot::Sender<()>>,
}

/// The right to run one request: a place in the batch and a pinned adapter.
/// Its drop gives both back.
pub(crate) struct Place {
    runner: Rc<Runner>,
    request: RequestId,
    _pin: Pin,
    lost: oneshot::Receiver<()>,
    /// Tokens that the engine has used on it.
    used: Cell<u64>,
}

/// Takes a request out of the queue if its entry goes away while it waits.
struct Waiting {
    runner: Rc<Runner>,
    request: RequestId,
}

impl Runner {
    /// An engine that nothing is known of; starts the task that tends it.
    pub(crate) fn start(upstream: Rc<Upstream>, row: Row) -> Rc<Runner> {
        let length = upstream.settings.tuning.queue as usize;
        let limits = queue::Limits { max_waiting: length, ..queue::Limits::default() };
        let runner = Rc::new_cyclic(|me| Runner {
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
            me: me.clone(),
        });
        actix_rt::spawn(tend(Rc::downgrade(&runner)));
        runner
    }

    /// Whether this runner goes on under `row`. A new one knows no pins, and
    /// would evict adapters under requests that the old one runs; so as long
    /// as the engine is the same and has work, its runner stays, and a change
    /// of its slots waits until it is idle.
    pub(crate) fn serves(&self, row: &Row) -> bool {
        let state = self.state.borrow();
        let idle = state.queue.is_empty() && state.queue.running() == 0;
        self.row.address == row.address && (self.row.serves == row.serves || !idle)
    }

    /// Waits for a place; refuses at once what cannot be served in time.
    pub(crate) async fn place(self: Rc<Runner>, entry: Entry) -> Granted {
        self.owned(entry.deadline).await?;
        let now = clock::now();
        let (sender, receiver) = oneshot::channel();
        let ready = self.ready(entry.version);
        if let Some(left) = self.backoff(now, entry.version) {
            let failure = Failure::not_run(Code::LoadFailed, "the adapter could not be loaded");
            return Err(failure.after(left));
        }
        self.push(now, entry, sender)?;
        let guard = Waiting { runner: self.clone(), request: entry.request };
        self.pump();
        let granted = receiver.await;
        drop(guard);
        if !ready {
            self.upstream.metrics.load_stalls.inc();
            let wait = clock::now().since(now).as_secs_f64();
            self.upstream.metrics.stall_wait.observe(wait);
        }
        granted.expect("a waiting request is always answered")
    }

    /// Waits until this daemon has its fencing number. With the table away that
    /// may take very long, so the request is soon told to look elsewhere.
    async fn owned(&self, deadline: Instant) -> Result<(), Failure> {
        let mut owned = self.owned.subscribe();
        let wait = deadline.since(clock::now()).min(OWN_WAIT);
        let owned = tokio::time::timeout(wait.into(), owned.wait_for(|&owned| owned)).await;
        match owned {
            Ok(_) => Ok(()),
            Err(_) => {
                let message = "this daemon does not own the engine yet";
                Err(Failure::not_run(Code::NoUpstream, message).after(OWN_RETRY))
            }
        }
    }

    fn ready(&self, version: VersionId) -> bool {
        self.state.borrow().slots.as_ref().is_some_and(|slots| slots.is_ready(version))
    }

    fn backoff(&self, now: Instant, version: VersionId) -> Option<Span> {
        self.state.borrow().slots.as_ref()?.backoff(now, version)
    }

    /// Puts a request into the queue. A second one with the id of a request
    /// that waits or runs is refused here, before it could take the first
    /// one's place in `waiting`, whose answer would then reach nobody.
    fn push(
        &self,
        now: Instant,
        entry: Entry,
        sender: oneshot::Sender<Granted>,
    ) -> Result<(), Failure> {
        let mut state = self.state.borrow_mut();
        let refused = state.queue.push(now, entry);
        if let Some(own) = refused.as_ref().filter(|one| one.entry.request == entry.request) {
            return Err(own.failure());
        }
        state.waiting.insert(entry.request, sender);
        if let Some(slots) = &mut state.slots {
            slots.touch(now, entry.version);
        }
        state.refuse(refused);
        Ok(())
    }

    /// Gives up what cannot be served, starts what can, orders what is needed.
    fn pump(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let expired = state.queue.expire(now);
        state.refuse(expired);
        // Without standing nothing new begins: another daemon may own the
        // engine by now, or the configuration may have changed.
        if !self.upstream.fleet.holds(now) {
            let refused = state.queue.close();
            state.refuse(refused);
            return;
        }
        self.start_ready(now, &mut state);
        let waits = state.queue.waits();
        let loads = self.upstream.settings.tuning.loads;
        let Some(slots) = &mut state.slots else { return };
        let budget = loads.saturating_sub(slots.loading());
        let actions = slots.plan(now, &waits, budget);
        self.carry_out(&mut state, actions);
    }

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

    fn grant(&self, state: &mut State, request: RequestId, pin: Pin) {
        let (tell_lost, lost) = oneshot::channel();
        state.running.insert(request, tell_lost);
        let runner = self.me.upgrade().expect("it runs");
        let place = Place { runner, request, _pin: pin, lost, used: Cell::new(0) };
        let sender = state.waiting.remove(&request).expect("a queued request waits");
        // The entry may just have gone; its place is given back at the next
        // turn, because the state is borrowed here.
        if let Err(place) = sender.send(Ok(place)) {
            actix_rt::spawn(async move { drop(place) });
        }
    }

    fn carry_out(&self, state: &mut State, actions: Vec<slot::Action>) {
        for action in actions {
            match action {
                slot::Action::Failed { version, retry_after } => {
                    let failed = state.queue.fail(version, retry_after);
                    state.refuse(failed);
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

    fn send_order(&self, order: slot::Action) {
        let runner = self.me.upgrade().expect("it runs");
        actix_rt::spawn(async move {
            let actions = orders::send(&runner, order).await;
            runner.carry_out(&mut runner.state.borrow_mut(), actions);
            runner.wake.notify_one();
        });
    }

    /// Asks the engine what it holds, because an answer of it did not fit.
    pub(crate) fn ask(&self) {
        self.send_order(slot::Action::RequestReport);
    }

    /// Closes slots of versions that the configuration no longer has.
    fn retire(&self) {
        let config = self.upstream.fleet.config();
        let mut state = self.state.borrow_mut();
        let Some(slots) = &mut state.slots else { return };
        for version in slots.loaded_versions() {
            if config.versions.get(version).is_none() {
                slots.retire(version);
            }
        }
    }

    /// What entries are told about this engine. They number the reports as
    /// they come.
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

    /// Shows the engine's load to the metrics: batch efficiency is the part
    /// of the places used while requests wait.
    fn measure(&self) {
        let state = self.state.borrow();
        let labels = [self.row.name.as_str()];
        let metrics = &self.upstream.metrics;
        metrics.running.with_label_values(&labels).set(state.queue.running() as i64);
        metrics.waiting.with_label_values(&labels).set(state.queue.len() as i64);
        let places = i64::from(self.upstream.settings.tuning.batch);
        metrics.places.with_label_values(&labels).set(places);
    }

    /// One line for the engine, and one for each slot that is not empty.
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
    fn refuse(&mut self, given_up: impl IntoIterator<Item = GivenUp>) {
        for one in given_up {
            if let Some(sender) = self.waiting.remove(&one.entry.request) {
                let _ = sender.send(Err(one.failure()));
            }
        }
    }
}

/// Owns the engine, then looks after it until its runner is dropped.
async fn tend(runner: Weak<Runner>) {
    let Some(owned) = runner.upgrade() else { return };
    let Serves::Model { slots, fenced, .. } = owned.row.serves else { return };
    let fencing = fence::acquire(&owned.upstream, &owned.row.name, fenced).await;
    owned.state.borrow_mut().slots = Some(Slots::new(slot::Limits::default(), slots, fencing));
    owned.owned.send_replace(true);
    owned.ask();
    drop(owned);
    let mut asked = clock::now();
    while let Some(runner) = runner.upgrade() {
        runner.pump();
        runner.measure();
        if clock::now().since(asked) >= REPORT_PERIOD {
            asked = clock::now();
            runner.retire();
            runner.ask();
        }
        let next = runner.state.borrow().queue.next_expiry();
        let pause = next.map_or(REPORT_PERIOD, |at| at.since(clock::now()).min(REPORT_PERIOD));
        let _ = tokio::time::timeout(pause.into(), runner.wake.notified()).await;
    }
}

impl Place {
    /// Counts tokens that the engine has used on this request.
    pub(crate) fn on_tokens(&self, count: u64) {
        self.used.set(self.used.get() + count);
        self.runner.state.borrow_mut().queue.add_tokens(self.request, count);
    }

    /// Ends when the engine has lost the adapter, as after a restart.
    pub(crate) async fn lost(&mut self) {
        if (&mut self.lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The engine's runner.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.runner.state.borrow_mut();
        state.running.remove(&self.request);
        state.queue.finish(self.request, self.used.get());
        drop(state);
        self.runner.wake.notify_one();
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.runner.state.borrow_mut();
        if state.waiting.remove(&self.request).is_some() {
            state.queue.cancel(self.request);
        }
    }
}
