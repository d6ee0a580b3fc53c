//! State of the engine: adapter slots, the batch and its queue.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use kingcupbay_core::{
    id::RequestId,
    wire::engine::{EventKind, Events, Generate, LoadReport},
};
use tokio::{sync::watch, time::Instant};

use super::{
    Settings,
    record::{EngineRecord, Outcome, StreamRecord},
    report::Reports,
};
use crate::changes::Changes;

/// Key of a stream; also its index in [`EngineRecord::ran`].
pub(crate) type StreamKey = usize;

/// Phase of a stream, as the state publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    Ended(Outcome),
}

/// Receives whether a load succeeded; `None` while it runs.
pub(crate) type LoadEnd = watch::Receiver<Option<bool>>;

/// Result of a load order.
pub(crate) enum Load {
    Loaded,
    /// Another order is already loading the version.
    Joined(LoadEnd),
    /// The caller must perform the load and call [`State::end_load`].
    Started {
        end: LoadEnd,
        incarnation: u64,
    },
}

/// Reason why an order is refused.
pub(crate) enum Refusal {
    Fenced { newest: u64 },
    SlotsFull,
    InUse,
    UnknownModel,
}

enum Slot {
    Loading(watch::Sender<Option<bool>>),
    Loaded,
}

struct Stream {
    request: RequestId,
    model: String,
    priority: i32,
    phase: watch::Sender<Phase>,
}

/// State of one engine, over all its incarnations.
pub(crate) struct State {
    pub(crate) settings: Settings,
    incarnation: u64,
    /// Highest fencing number seen. It survives a restart: otherwise the
    /// engine would accept orders of an old holder again.
    newest_fencing: u64,
    /// Invariant: at most `settings.slots` entries.
    slots: BTreeMap<String, Slot>,
    /// Invariant: the model of each is the base model or in a loaded slot.
    streams: BTreeMap<StreamKey, Stream>,
    /// Streams that wait for the batch, in the order in which they start.
    queue: BTreeSet<(Reverse<i32>, StreamKey)>,
    reports: Reports,
    record: EngineRecord,
    changes: Changes,
}

impl State {
    pub(crate) fn new(settings: Settings, incarnation: u64) -> State {
        let reports = Reports::new(Instant::now(), LoadReport::default());
        let mut state = State {
            settings,
            incarnation,
            newest_fencing: 0,
            slots: BTreeMap::new(),
            streams: BTreeMap::new(),
            queue: BTreeSet::new(),
            reports,
            record: EngineRecord::default(),
            changes: Changes::default(),
        };
        state.reports = Reports::new(Instant::now(), state.current_load());
        state
    }

    pub(crate) fn record(&self) -> &EngineRecord {
        &self.record
    }

    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    pub(crate) fn reports(&self) -> &Reports {
        &self.reports
    }

    /// Returns the current load, without lag.
    pub(crate) fn current_load(&self) -> LoadReport {
        let loaded =
            |(name, slot): (&String, &Slot)| matches!(slot, Slot::Loaded).then(|| name.clone());
        LoadReport {
            incarnation: self.incarnation,
            running: self.running(),
            waiting: self.queue.len() as u32,
            slots: self.settings.slots,
            loaded: self.slots.iter().filter_map(loaded).collect(),
        }
    }

    /// Returns the events after a number that are not lost and at least `lag` old.
    pub(crate) fn events(&self, lag: std::time::Duration, after: u64) -> Events {
        self.reports.events(Instant::now(), lag, after)
    }

    /// Adds a stream to the queue. From here on its adapter is in use.
    pub(crate) fn accept_stream(
        &mut self,
        order: &Generate,
    ) -> Result<(StreamKey, watch::Receiver<Phase>), Refusal> {
        let known = order.model == self.settings.base_model
            || matches!(self.slots.get(&order.model), Some(Slot::Loaded));
        if !known {
            return Err(Refusal::UnknownModel);
        }
        self.end_request(order.request_id, Outcome::Superseded);
        let key = self.record.ran.len();
        self.record.ran.push(StreamRecord {
            model: order.model.clone(),
            request: order.request_id,
            offset: order.offset,
            tokens: 0,
            outcome: Outcome::Waiting,
        });
        let (phase, receiver) = watch::channel(Phase::Waiting);
        let stream = Stream {
            request: order.request_id,
            model: order.model.clone(),
            priority: order.priority,
            phase,
        };
        self.queue.insert((Reverse(stream.priority), key));
        self.streams.insert(key, stream);
        self.fill_batch();
        Ok((key, receiver))
    }

    /// Counts a generated token of a stream.
    pub(crate) fn count_token(&mut self, key: StreamKey) {
        self.record.ran[key].tokens += 1;
        self.changes.notify();
    }

    /// Ends a stream; has no effect if it has already ended.
    pub(crate) fn end_stream(&mut self, key: StreamKey, outcome: Outcome) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        self.queue.remove(&(Reverse(stream.priority), key));
        self.record.ran[key].outcome = outcome;
        stream.phase.send_replace(Phase::Ended(outcome));
        self.fill_batch();
    }

    /// Ends every stream of a request.
    pub(crate) fn end_request(&mut self, request: RequestId, outcome: Outcome) {
        let of_request =
            |(&key, stream): (&StreamKey, &Stream)| (stream.request == request).then_some(key);
        let keys: Vec<_> = self.streams.iter().filter_map(of_request).collect();
        keys.into_iter().for_each(|key| self.end_stream(key, outcome));
    }

    pub(crate) fn begin_load(&mut self, name: &str, fencing: u64) -> Result<Load, Refusal> {
        self.check_fencing(fencing)?;
        match self.slots.get(name) {
            Some(Slot::Loaded) => return Ok(Load::Loaded),
            Some(Slot::Loading(end)) => return Ok(Load::Joined(end.subscribe())),
            None => {}
        }
        if self.slots.len() as u32 >= self.settings.slots {
            return Err(Refusal::SlotsFull);
        }
        let (sender, end) = watch::channel(None);
        self.slots.insert(name.to_owned(), Slot::Loading(sender));
        Ok(Load::Started { end, incarnation: self.incarnation })
    }

    /// Records the end of a load; ignores a load that began before a restart.
    pub(crate) fn end_load(
        &mut self,
        name: &str,
        incarnation: u64,
        loaded: bool,
        is_lost: impl FnOnce() -> bool,
    ) {
        if incarnation != self.incarnation {
            return;
        }
        let Some(Slot::Loading(end)) = self.slots.remove(name) else {
            unreachable!("a loading slot changes only when its load ends or at a restart");
        };
        if loaded {
            self.slots.insert(name.to_owned(), Slot::Loaded);
            self.record.loads.push(name.to_owned());
            self.reports.push(Instant::now(), EventKind::Loaded, name, is_lost());
        } else {
            self.record.failed_loads += 1;
        }
        end.send_replace(Some(loaded));
        self.update_report();
    }

    /// Unloads a version. A version that is still loading counts as in use.
    pub(crate) fn unload(
        &mut self,
        name: &str,
        fencing: u64,
        is_lost: impl FnOnce() -> bool,
    ) -> Result<(), Refusal> {
        self.check_fencing(fencing)?;
        let loading = matches!(self.slots.get(name), Some(Slot::Loading(_)));
        if loading || self.streams.values().any(|stream| stream.model == name) {
            self.record.unloads_in_use.push(name.to_owned());
            self.changes.notify();
            return Err(Refusal::InUse);
        }
        if self.slots.remove(name).is_some() {
            self.record.unloads.push(name.to_owned());
            self.reports.push(Instant::now(), EventKind::Unloaded, name, is_lost());
            self.update_report();
        }
        Ok(())
    }

    /// Restarts with an empty state: cuts all streams, discards loads in
    /// flight, slots and events, and increments the incarnation.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.slots.clear();
        // Waiting streams end first, or they would start in the freed batch.
        let waiting: Vec<_> = self.queue.iter().map(|&(_, key)| key).collect();
        waiting.into_iter().for_each(|key| self.end_stream(key, Outcome::Cut));
        let running: Vec<_> = self.streams.keys().copied().collect();
        running.into_iter().for_each(|key| self.end_stream(key, Outcome::Cut));
        self.reports = Reports::new(Instant::now(), self.current_load());
    }

    fn check_fencing(&mut self, fencing: u64) -> Result<(), Refusal> {
        if fencing >= self.newest_fencing {
            self.newest_fencing = fencing;
            return Ok(());
        }
        if self.settings.check_fencing {
            self.record.fenced += 1;
            return Err(Refusal::Fenced { newest: self.newest_fencing });
        }
        self.record.stale += 1;
        Ok(())
    }

    fn running(&self) -> u32 {
        (self.streams.len() - self.queue.len()) as u32
    }

    /// Moves waiting streams into the batch while it has room.
    fn fill_batch(&mut self) {
        while self.running() < self.settings.batch_size {
            let Some((_, key)) = self.queue.pop_first() else {
                break;
            };
            self.record.ran[key].outcome = Outcome::Running;
            let stream = &self.streams[&key];
            stream.phase.send_replace(Phase::Running);
        }
        self.record.most_running = self.record.most_running.max(self.running());
        self.update_report();
    }

    fn update_report(&mut self) {
        let report = self.current_load();
        self.reports.set(Instant::now(), report);
        self.changes.notify();
    }
}
