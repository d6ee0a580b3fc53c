//! Copies of runs' memory between engines.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::{
    network,
    run::{Phase, Run, tokens},
    state::State,
};
use crate::{
    fault::Fault,
    server::call::{self, Answer, Call},
};

/// Path that copies a run's memory.
pub(super) const MOVE: &str = "/v1/kv-move";

/// Prefix of the path that frees a copy.
pub(super) const HANDLE: &str = "/v1/kv-handle/";

/// Counts of copies since an engine started to exist; a restart keeps them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Copies that this engine made at others by a move.
    pub made: u32,
    /// Runs that a move stopped here.
    pub stopped: u32,
    /// Copies and kept memories with which a run went on here.
    pub used: u32,
    /// Requests to go on here that were refused.
    pub refused: u32,
    /// Copies that this engine made by a move and freed on request.
    pub freed: u32,
    /// Copies by move that ended unused here after their time.
    pub expired: u32,
    /// Backups made here of runs at other engines.
    pub backups: u32,
    /// Backups with which a run went on here.
    pub restored: u32,
    /// Runs that still made events here 400 ms after they went on at another engine.
    pub overlaps: u32,
}

/// A copy of a run's memory, known to its source and its target.
struct Handle {
    name: String,
    /// Addresses of the source.
    source: Vec<SocketAddr>,
    target: SocketAddr,
    run: Rc<Run>,
    /// Events in the copy; `None` until a copy is complete.
    copied: Cell<Option<u64>>,
    /// Used or freed: it serves no further request.
    done: Cell<bool>,
    renewed: Cell<Instant>,
}

/// A backup of a run at another engine.
struct Backup {
    run: Rc<Run>,
    events: u64,
    made: Instant,
}

/// Memory that a request continues with.
pub(super) struct Memory {
    pub(super) origin: u64,
    pub(super) prompt_tokens: u64,
    /// Events in the memory.
    pub(super) events: u64,
}

/// Copies that an engine has made and holds.
#[derive(Default)]
pub(super) struct Copies {
    /// Handles of copies of this engine's runs.
    issued: RefCell<BTreeMap<String, Rc<Handle>>>,
    /// Copies of other engines' runs, by handle.
    held: RefCell<BTreeMap<String, Rc<Handle>>>,
    /// Backups of other engines' runs, by attempt.
    backups: RefCell<BTreeMap<String, Backup>>,
    /// Attempts of which a move is in progress.
    moving: RefCell<BTreeSet<String>>,
    counts: Cell<CopyCounts>,
}

#[derive(Deserialize)]
struct MoveOrder {
    id: String,
    target: SocketAddr,
    #[serde(default)]
    last: bool,
}

/// A move in progress.
struct Moving {
    state: Rc<State>,
    attempt: String,
}

impl Drop for Moving {
    fn drop(&mut self) {
        self.state.copies.moving.borrow_mut().remove(&self.attempt);
    }
}

impl Copies {
    /// Increments one of the counts.
    pub(super) fn count(&self, pick: impl FnOnce(&mut CopyCounts) -> &mut u32) {
        let mut counts = self.counts.get();
        *pick(&mut counts) += 1;
        self.counts.set(counts);
    }

    pub(super) fn counts(&self) -> CopyCounts {
        self.counts.get()
    }

    /// Loses all memory, as in a crash.
    pub(super) fn clear(&self) {
        self.issued.borrow_mut().clear();
        self.held.borrow_mut().clear();
        self.backups.borrow_mut().clear();
    }

    /// Returns the number and the tokens of the memories held for later use.
    pub(super) fn usage(&self) -> (usize, u64) {
        let held = self.held.borrow();
        let held = held.values().filter(|handle| !handle.done.get());
        let held = held.map(|handle| handle.tokens(handle.copied.get().unwrap_or_default()));
        let backups = self.backups.borrow();
        let backups =
            backups.values().map(|backup| tokens(backup.run.prompt_tokens, backup.events));
        let issued = self.issued.borrow();
        let stopped = issued
            .values()
            .filter(|handle| !handle.done.get() && handle.run.phase() == Phase::Stopped);
        let stopped: BTreeMap<u64, u64> =
            stopped.map(|handle| (handle.run.number, handle.run.tokens())).collect();
        let all = held.chain(backups).chain(stopped.into_values());
        all.fold((0, 0), |(count, sum), tokens| (count + 1, sum + tokens))
    }

    /// Frees what was not used for `time`.
    pub(super) fn expire(&self, time: Duration) {
        let fresh = |handle: &Handle| handle.renewed.get().elapsed() < time;
        self.issued.borrow_mut().retain(|_, handle| fresh(handle));
        self.held.borrow_mut().retain(|_, handle| {
            if !fresh(handle) && !handle.done.get() {
                self.count(|counts| &mut counts.expired);
            }
            fresh(handle)
        });
        self.backups.borrow_mut().retain(|_, backup| backup.made.elapsed() < time);
    }

    /// Returns the handle of the copy of a run at `target`.
    fn handle(&self, state: &State, run: &Rc<Run>, target: SocketAddr) -> Rc<Handle> {
        let mut issued = self.issued.borrow_mut();
        let of_run = |handle: &&Rc<Handle>| {
            handle.run.number == run.number && handle.target == target && !handle.done.get()
        };
        if let Some(handle) = issued.values().find(of_run) {
            return Rc::clone(handle);
        }
        let handle = Rc::new(Handle {
            name: format!("{}-{}", state.settings.id, network::next_number()),
            source: state.addresses.borrow().clone(),
            target,
            run: Rc::clone(run),
            copied: Cell::new(None),
            done: Cell::new(false),
            renewed: Cell::new(Instant::now()),
        });
        issued.insert(handle.name.clone(), Rc::clone(&handle));
        handle
    }
}

impl Handle {
    fn tokens(&self, events: u64) -> u64 {
        tokens(self.run.prompt_tokens, events)
    }
}

impl State {
    /// Returns whether a copy that needs this many more tokens and slots fits.
    fn has_room(&self, tokens: u64, slots: usize) -> bool {
        self.copies.expire(self.settings.handle_time);
        let (count, used) = self.memory_used();
        count + slots <= self.settings.slots && used + tokens <= self.settings.memory_tokens
    }

    /// Returns whether other engines can copy memory to this one.
    fn takes_copies(&self) -> bool {
        !self.isolated.get() && !self.faults.borrow().refuses() && self.draining.get().is_none()
    }

    /// Copies the memory of a run to another engine. The copy continues when the caller
    /// disconnects.
    pub(super) async fn move_run(self: &Rc<Self>, call: &Call) -> Answer {
        let order: MoveOrder = match call.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let status = |fault| match fault {
            Fault::RefuseMoves { status, not_last } => {
                (!(not_last && order.last)).then(|| StatusCode::from_u16(status).ok()).flatten()
            }
            _ => None,
        };
        let faults = self.faults.borrow_mut().hit(MOVE, status);
        let refused = faults.first().copied();
        if let Some(status) = refused.filter(|status| *status != StatusCode::SERVICE_UNAVAILABLE) {
            return call::empty(status);
        }
        if self.copies.moving.borrow().contains(&order.id) {
            return call::empty(StatusCode::CONFLICT);
        }
        let running = self.running.borrow().values().find(|run| run.attempt == order.id).cloned();
        let Some(run) = running.filter(|run| run.phase() == Phase::Running) else {
            return call::empty(StatusCode::NOT_FOUND);
        };
        self.copies.moving.borrow_mut().insert(order.id.clone());
        let moving = Moving { state: Rc::clone(self), attempt: order.id.clone() };
        let copy = async move { moving.state.copy(&run, &order, refused.is_some()).await };
        let lost = |_| call::empty(StatusCode::INTERNAL_SERVER_ERROR);
        actix_rt::spawn(copy).await.unwrap_or_else(lost)
    }

    async fn copy(&self, run: &Rc<Run>, order: &MoveOrder, refused: bool) -> Answer {
        if order.last {
            run.phase.send_replace(Phase::Stopped);
            self.copies.count(|counts| &mut counts.stopped);
            self.changes.notify();
        }
        let handle = self.copies.handle(self, run, order.target);
        handle.renewed.set(Instant::now());
        let no_copy = || {
            if order.last {
                let body = json!({"handle": handle.name, "created": run.events.get()});
                return call::status_json(StatusCode::SERVICE_UNAVAILABLE, &body);
            }
            call::empty(StatusCode::SERVICE_UNAVAILABLE)
        };
        let target = network::engine(order.target).filter(|target| target.takes_copies());
        let Some(target) = target.filter(|_| !refused) else { return no_copy() };
        let known = target.copies.held.borrow().contains_key(&handle.name);
        let copied = handle.copied.get().filter(|_| known);
        let lacking = run.tokens() - copied.map_or(0, |events| handle.tokens(events));
        if !target.has_room(lacking, usize::from(!known)) {
            return no_copy();
        }
        let restarts = (self.restarts.get(), target.restarts.get());
        let time = self.settings.copy_time.mul_f64(lacking as f64 / run.tokens().max(1) as f64);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        if run.phase() == Phase::Ended || restarts.0 != self.restarts.get() {
            return call::empty(StatusCode::NOT_FOUND);
        }
        if restarts.1 != target.restarts.get() || !target.takes_copies() {
            return no_copy();
        }
        let percent = self.faults.borrow_mut().hit(MOVE, |fault| match fault {
            Fault::PartialCopies { percent } => Some(u64::from(percent.min(100))),
            _ => None,
        });
        let percent = percent.into_iter().min().unwrap_or(100);
        if handle.copied.get().is_none() {
            self.copies.count(|counts| &mut counts.made);
        }
        handle.copied.set(Some(run.events.get() * percent / 100));
        handle.renewed.set(Instant::now());
        target.copies.held.borrow_mut().insert(handle.name.clone(), Rc::clone(&handle));
        target.changes.notify();
        call::json(&json!({"handle": handle.name, "created": run.events.get()}))
    }

    /// Frees a copy at both ends.
    pub(super) fn free_handle(&self, name: &str) -> Answer {
        self.copies.expire(self.settings.handle_time);
        let handle = self.copies.issued.borrow_mut().remove(name);
        let Some(handle) = handle.filter(|handle| !handle.done.get()) else {
            return call::empty(StatusCode::NOT_FOUND);
        };
        handle.done.set(true);
        self.copies.count(|counts| &mut counts.freed);
        if let Some(target) = network::engine(handle.target) {
            target.copies.held.borrow_mut().remove(name);
            target.changes.notify();
        }
        self.changes.notify();
        call::empty(StatusCode::NO_CONTENT)
    }

    /// Uses up the memory that `Kv-From` names; `None` if it is not here or was used.
    pub(super) fn take_memory(&self, from: &str, attempt: &str) -> Option<Memory> {
        self.copies.expire(self.settings.handle_time);
        let (address, name) = from.split_once('/')?;
        let address: SocketAddr = address.parse().ok()?;
        let own = self.addresses.borrow().contains(&address);
        if own && let Some(memory) = self.restore_backup(name, attempt) {
            return Some(memory);
        }
        let handles = if own { &self.copies.issued } else { &self.copies.held };
        let handle = Rc::clone(handles.borrow().get(name)?);
        let usable = !handle.done.get()
            && handle.run.attempt == attempt
            && handle.source.contains(&address)
            && (!own || handle.run.phase() == Phase::Stopped);
        let events = if own { Some(handle.run.events.get()) } else { handle.copied.get() };
        let events = events.filter(|_| usable)?;
        handle.done.set(true);
        self.copies.count(|counts| &mut counts.used);
        let run = &handle.run;
        self.drop_backup(run);
        Some(Memory { origin: run.origin, prompt_tokens: run.prompt_tokens, events })
    }

    fn restore_backup(&self, name: &str, attempt: &str) -> Option<Memory> {
        let mut backups = self.copies.backups.borrow_mut();
        let backup = backups.remove(name).filter(|_| name == attempt)?;
        self.copies.count(|counts| &mut counts.restored);
        let Backup { run, events, .. } = backup;
        Some(Memory { origin: run.origin, prompt_tokens: run.prompt_tokens, events })
    }

    /// Copies the memory of a run to its backup if that has room.
    pub(super) fn back_up(&self, run: &Rc<Run>) {
        let Some(target) = run.backup.and_then(network::engine) else { return };
        let known = target.copies.backups.borrow().contains_key(&run.attempt);
        if !target.takes_copies() || !target.has_room(run.tokens(), usize::from(!known)) {
            return;
        }
        run.backed_up.set(Some(Instant::now()));
        let backup = Backup { run: Rc::clone(run), events: run.events.get(), made: Instant::now() };
        target.copies.backups.borrow_mut().insert(run.attempt.clone(), backup);
        if !known {
            target.copies.count(|counts| &mut counts.backups);
        }
        target.changes.notify();
    }

    /// Frees the backup of a run that has ended.
    pub(super) fn drop_backup(&self, run: &Run) {
        let Some(target) = run.backup.and_then(network::engine) else { return };
        let mut backups = target.copies.backups.borrow_mut();
        // A later run of the same request may have a backup there of its own.
        if backups.get(&run.attempt).is_some_and(|backup| backup.run.number == run.number) {
            backups.remove(&run.attempt);
        }
    }
}
