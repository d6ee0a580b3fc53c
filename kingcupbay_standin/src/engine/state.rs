//! The engine's state: adapter slots, the batch and its queue.

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

/// Key of a stream; also its place in [`EngineRecord::ran`].
pub(crate) type StreamKey = usize;

/// What a stream is told by the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    Ended(Outcome),
}

/// How a load ended.
pub(crate) type LoadEnd = watch::Receiver<Option<bool>>;

/// What a load order leads to.
pub(crate) enum Load {
    Loaded,
    /// Another order loads it already.
    Joined(LoadEnd),
    /// The caller carries the load out and reports its end.
    Begun {
        end: LoadEnd,
        incarnation: u64,
    },
}

/// Why an order is refused.
pub(crate) enum Refused {
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

/// State of one engine over its incarnations.
pub(crate) struct State {
    pub(crate) settings: Settings,
    incarnation: u64,
    /// Highest fencing number seen. It outlives a restart: an engine that
    /// forgot it would obey an old orderer again.
    fence: u64,
    /// Invariant: at most `settings.slots` entries.
    slots: BTreeMap<String, Slot>,
    /// Invariant: the model of each is the base model or in a loaded slot.
    streams: BTreeMap<StreamKey, Stream>,
    /// Streams that wait for the batch, the next one first.
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
            fence: 0,
            slots: BTreeMap::new(),
            streams: BTreeMap::new(),
            queue: BTreeSet::new(),
            reports,
            record: EngineRecord::default(),
            changes: Changes::default(),
        };
        state.reports = Reports::new(Instant::now(), state.current());
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

    /// The load as it is now, without any lag.
    pub(crate) fn current(&self) -> LoadReport {
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

    /// Events that are not lost and not late, after a number.
    pub(crate) fn events(&self, lag: std::time::Duration, after: u64) -> Events {
        self.reports.events(Instant::now(), lag, after)
    }

    /// Takes a stream in. From here on its adapter is in use.
    pub(crate) fn accept(
        &mut self,
        order: &Generate,
    ) -> Result<(StreamKey, watch::Receiver<Phase>), Refused> {
        let known = order.model == self.settings.base_model
            || matches!(self.slots.get(&order.model), Some(Slot::Loaded));
        if !known {
            return Err(Refused::UnknownModel);
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
        self.fill();
        Ok((key, receiver))
    }

    /// Counts a token of a stream.
    pub(crate) fn generated(&mut self, key: StreamKey) {
        self.record.ran[key].tokens += 1;
        self.changes.notify();
    }

    /// Ends a stream; nothing when it has ended already.
    pub(crate) fn end(&mut self, key: StreamKey, outcome: Outcome) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        self.queue.remove(&(Reverse(stream.priority), key));
        self.record.ran[key].outcome = outcome;
        stream.phase.send_replace(Phase::Ended(outcome));
        self.fill();
    }

    /// Ends every stream of a request.
    pub(crate) fn end_request(&mut self, request: RequestId, outcome: Outcome) {
        let of_request =
            |(&key, stream): (&StreamKey, &Stream)| (stream.request == request).then_some(key);
        let keys: Vec<_> = self.streams.iter().filter_map(of_request).collect();
        keys.into_iter().for_each(|key| self.end(key, outcome));
    }

    pub(crate) fn begin_load(&mut self, name: &str, fencing: u64) -> Result<Load, Refused> {
        self.check_fencing(fencing)?;
        match self.slots.get(name) {
            Some(Slot::Loaded) => return Ok(Load::Loaded),
            Some(Slot::Loading(end)) => return Ok(Load::Joined(end.subscribe())),
            None => {}
        }
        if self.slots.len() as u32 >= self.settings.slots {
            return Err(Refused::SlotsFull);
        }
        let (sender, end) = watch::channel(None);
        self.slots.insert(name.to_owned(), Slot::Loading(sender));
        Ok(Load::Begun { end, incarnation: self.incarnation })
    }

    /// Reports the end of a load. One begun before a restart has no effect.
    pub(crate) fn end_load(
        &mut self,
        name: &str,
        incarnation: u64,
        loaded: bool,
        lost: impl FnOnce() -> bool,
    ) {
        if incarnation != self.incarnation {
            return;
        }
        let Some(Slot::Loading(end)) = self.slots.remove(name) else {
            unreachable!("only the end of its load or a restart changes a loading slot");
        };
        if loaded {
            self.slots.insert(name.to_owned(), Slot::Loaded);
            self.record.loads.push(name.to_owned());
            self.reports.push(Instant::now(), EventKind::Loaded, name, lost());
        } else {
            self.record.failed_loads += 1;
        }
        end.send_replace(Some(loaded));
        self.report();
    }

    /// Unloads a version. One that is still loading counts as in use.
    pub(crate) fn unload(
        &mut self,
        name: &str,
        fencing: u64,
        lost: impl FnOnce() -> bool,
    ) -> Result<(), Refused> {
        self.check_fencing(fencing)?;
        let loading = matches!(self.slots.get(name), Some(Slot::Loading(_)));
        if loading || self.streams.values().any(|stream| stream.model == name) {
            self.record.unloads_in_use.push(name.to_owned());
            self.changes.notify();
            return Err(Refused::InUse);
        }
        if self.slots.remove(name).is_some() {
            self.record.unloads.push(name.to_owned());
            self.reports.push(Instant::now(), EventKind::Unloaded, name, lost());
            self.report();
        }
        Ok(())
    }

    /// Restarts empty: streams are cut, loads in flight are forgotten, slots
    /// and events are gone, and the incarnation changes.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.slots.clear();
        // Those that wait go first, or they would take the places freed.
        let waiting: Vec<_> = self.queue.iter().map(|&(_, key)| key).collect();
        waiting.into_iter().for_each(|key| self.end(key, Outcome::Cut));
        let running: Vec<_> = self.streams.keys().copied().collect();
        running.into_iter().for_each(|key| self.end(key, Outcome::Cut));
        self.reports = Reports::new(Instant::now(), self.current());
    }

    fn check_fencing(&mut self, fencing: u64) -> Result<(), Refused> {
        if fencing >= self.fence {
            self.fence = fencing;
            return Ok(());
        }
        if self.settings.check_fencing {
            self.record.fenced += 1;
            return Err(Refused::Fenced { newest: self.fence });
        }
        self.record.stale += 1;
        Ok(())
    }

    fn running(&self) -> u32 {
        (self.streams.len() - self.queue.len()) as u32
    }

    /// Gives free places of the batch to those who wait.
    fn fill(&mut self) {
        while self.running() < self.settings.batch_size {
            let Some((_, key)) = self.queue.pop_first() else {
                break;
            };
            self.record.ran[key].outcome = Outcome::Running;
            let stream = &self.streams[&key];
            stream.phase.send_replace(Phase::Running);
        }
        self.record.most_running = self.record.most_running.max(self.running());
        self.report();
    }

    fn report(&mut self) {
        let report = self.current();
        self.reports.set(Instant::now(), report);
        self.changes.notify();
    }
}
