//! The engines, the network and the entry of the model.

use std::hash::{Hash, Hasher};

use kingcupbay_core::{
    time::Span,
    transfer::{
        ContinueOutcome, CopyOutcome, End, EventPlace, Step, StreamEnd, Transfer, event_place,
    },
};

pub(crate) const TWICE: &str = "the run runs at two engines";
pub(crate) const DISORDER: &str = "an event is lost, repeated or out of order";
pub(crate) const LEAKED: &str = "an unused copy is not freed";
pub(crate) const NEEDLESS: &str = "a stream is given up that could go on";
pub(crate) const ORPHAN: &str = "a run goes on although its caller has left";
pub(crate) const ALL_VIOLATIONS: &[&str] = &[TWICE, DISORDER, LEAKED, NEEDLESS, ORPHAN];

const HANDLE: &str = "handle";

/// A fault added to the protocol by removing one of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// The run continues at the target after a copy that has not stopped it.
    ContinueRunning,
    /// No answer to the call that stops the run counts as a stopped run.
    SilenceIsStopped,
    /// A cut stream counts as a stopped run.
    CutIsStopped,
    /// No answer to the request that continues the run counts as not run.
    SilenceIsNotRun,
    /// The run continues after the source's last event instead of the last forwarded one.
    ContinueAfterMade,
    /// Events of the source are forwarded after the run continues at the target.
    ForwardBoth,
    /// Copies are not freed.
    KeepCopies,
    /// A failed copy ends the stream.
    GiveUpOnCopy,
    /// A run that the target does not take is given up.
    TargetOnly,
    /// A request that continues the run outlives its caller.
    ContinueForNobody,
}

#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    /// Events of the whole run.
    pub(crate) events: u64,
    pub(crate) faults: u32,
    pub(crate) mutation: Mutation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Message {
    Copy { last: bool },
    Continue { at: End, after: u64 },
    Free,
}

/// A message with the call that the entry waits for; 0 if it does not wait.
type Sent = (u32, Message);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Copied,
    NoRun,
    InProgress,
    NoRoom { handle: bool },
    Runs,
    NotRun,
}

/// One engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// Events made, while the run runs here.
    running: Option<u64>,
    /// Whether it holds the memory of the stopped run, for one use.
    memory: bool,
    /// Events on their way to the entry.
    sent: Vec<u64>,
    /// How its stream ends after them.
    end: Option<StreamEnd>,
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    engines: [Engine; 2],
    /// Events of the run when it was stopped at the source.
    made: u64,
    transfer: Transfer,
    /// Engine whose stream is forwarded; `None` while there is none.
    reads: Option<End>,
    /// Step that the entry has not taken yet.
    step: Step,
    /// The call that the entry waits for.
    waits: Option<Sent>,
    calls: u32,
    forwarded: u64,
    messages: Vec<Sent>,
    answers: Vec<(u32, Answer)>,
    faults: u32,
    /// Whether the entry has released its state: the stream is over or its caller has left.
    over: bool,
    left: bool,
    /// Whether a stream was given up that could go on.
    needless: bool,
    /// Whether the memory's handle may be unknown, or the call that frees it lost.
    excused: bool,
    disorder: bool,
}

impl World {
    pub(crate) fn new() -> World {
        let source = Engine { running: Some(0), ..Engine::default() };
        World {
            engines: [Engine::default(), source],
            made: 0,
            transfer: Transfer::new(),
            reads: Some(End::Source),
            step: Step::Copy { last: false },
            waits: None,
            calls: 0,
            forwarded: 0,
            messages: Vec::new(),
            answers: Vec::new(),
            faults: 0,
            over: false,
            left: false,
            needless: false,
            excused: false,
            disorder: false,
        }
    }

    fn engine(&mut self, at: End) -> &mut Engine {
        &mut self.engines[at as usize]
    }

    pub(crate) fn violations(&self) -> Vec<&'static str> {
        let mut found = Vec::new();
        if self.engines.iter().filter(|engine| engine.running.is_some()).count() > 1 {
            found.push(TWICE);
        }
        if self.disorder {
            found.push(DISORDER);
        }
        let quiet = self.over && self.messages.is_empty();
        // Engines free the other end of a copy that was used.
        let unused = self.transfer.unused_copy().is_some();
        if quiet && unused && !self.excused && self.engines.iter().any(|engine| engine.memory) {
            found.push(LEAKED);
        }
        if quiet && self.left && self.engines.iter().any(|engine| engine.running.is_some()) {
            found.push(ORPHAN);
        }
        if self.needless {
            found.push(NEEDLESS);
        }
        found
    }

    fn then(&self, step: String, act: impl FnOnce(&mut World)) -> State {
        let mut world = self.clone();
        act(&mut world);
        State::new(world, step)
    }

    fn call(&mut self, message: Message) {
        self.calls += 1;
        self.waits = Some((self.calls, message));
        self.messages.push((self.calls, message));
    }

    /// Carries out the step that the transfer has decided.
    fn take(&mut self, mutation: Mutation) {
        let step = std::mem::replace(&mut self.step, Step::Wait);
        match step {
            Step::Wait | Step::Stay if mutation == Mutation::GiveUpOnCopy && step == Step::Stay => {
                self.give_up(mutation);
            }
            Step::Wait | Step::Stay | Step::Drain => {}
            Step::Copy { last: true } if mutation == Mutation::ContinueRunning => {
                self.call(Message::Continue { at: End::Target, after: self.forwarded });
            }
            Step::Copy { last } => self.call(Message::Copy { last }),
            Step::Continue { at: End::Source } if mutation == Mutation::TargetOnly => {
                self.give_up(mutation);
            }
            Step::Continue { at } => {
                if mutation != Mutation::ForwardBoth {
                    self.reads = None;
                }
                let made = mutation == Mutation::ContinueAfterMade;
                let after = if made { self.made } else { self.forwarded };
                self.call(Message::Continue { at, after });
            }
            Step::Finished => self.close(mutation),
            Step::Lost => {
                self.give_up(mutation);
            }
        }
    }

    fn give_up(&mut self, mutation: Mutation) {
        let keeps = self.engines[End::Source as usize].memory;
        self.needless =
            self.reads == Some(End::Source) || (keeps && self.transfer.unused_copy().is_some());
        self.close(mutation);
    }

    /// Closes the connections of the entry and frees the copy.
    fn close(&mut self, mutation: Mutation) {
        self.over = true;
        self.reads = None;
        self.waits = None;
        for engine in &mut self.engines {
            engine.running = None;
            engine.sent.clear();
        }
        if mutation != Mutation::ContinueForNobody {
            self.messages.retain(|(_, message)| !matches!(message, Message::Continue { .. }));
        }
        if self.transfer.unused_copy().is_some() && mutation != Mutation::KeepCopies {
            self.messages.push((0, Message::Free));
        }
    }

    /// Applies the outcome of the call that the entry waits for.
    fn on_outcome(&mut self, answer: Option<Answer>, mutation: Mutation) {
        let Some((_, message)) = self.waits.take() else { return };
        self.step = match message {
            Message::Continue { at, .. } => {
                let outcome = match answer {
                    Some(Answer::Runs) => ContinueOutcome::Runs,
                    None if mutation != Mutation::SilenceIsNotRun => ContinueOutcome::Unknown,
                    _ => ContinueOutcome::NotRun,
                };
                if outcome == ContinueOutcome::Runs {
                    self.reads = Some(at);
                }
                self.transfer.on_continue(outcome)
            }
            Message::Copy { last } => {
                let handle = HANDLE.to_owned();
                let outcome = match answer {
                    Some(Answer::Copied) => CopyOutcome::Copied { handle },
                    Some(Answer::InProgress) => CopyOutcome::InProgress,
                    Some(Answer::NoRoom { handle: has }) => {
                        CopyOutcome::NoRoom { handle: has.then_some(handle) }
                    }
                    None if !last || mutation != Mutation::SilenceIsStopped => CopyOutcome::Unknown,
                    _ => CopyOutcome::NoRun,
                };
                self.transfer.on_copy(outcome, Span::ZERO, Span::from_millis(300))
            }
            Message::Free => Step::Wait,
        };
    }

    /// Forwards what the engine `at` has sent next.
    fn read(&mut self, at: End, mutation: Mutation) {
        let engine = self.engine(at);
        if !engine.sent.is_empty() {
            let id = engine.sent.remove(0);
            self.disorder |= event_place(Some(self.forwarded), id) != EventPlace::Next;
            self.forwarded = id;
        } else if let Some(end) = engine.end.take() {
            self.reads = None;
            if at == End::Source && end == StreamEnd::Cut && mutation == Mutation::CutIsStopped {
                self.transfer.on_copy(CopyOutcome::NoRun, Span::ZERO, Span::ZERO);
            }
            // The stream of an engine that continues the run is moved again like any other.
            self.step = match (self.transfer.may_have_stopped(), end) {
                _ if at == End::Source => self.transfer.on_stream_end(end),
                (_, StreamEnd::Whole) => Step::Finished,
                (_, StreamEnd::Cut) => Step::Lost,
            };
        }
    }

    /// Returns the answer of the engine that receives `message`.
    fn receive(&mut self, message: Message) -> Answer {
        match message {
            Message::Free => {
                self.engines.iter_mut().for_each(|engine| engine.memory = false);
                Answer::NoRun
            }
            Message::Copy { last } => {
                let Some(made) = self.engine(End::Source).running else { return Answer::NoRun };
                self.engine(End::Target).memory = true;
                self.stop(last, made);
                Answer::Copied
            }
            Message::Continue { at, after } => {
                let engine = self.engine(at);
                if !std::mem::take(&mut engine.memory) {
                    return Answer::NotRun;
                }
                engine.running = Some(after);
                engine.sent.clear();
                engine.end = None;
                // A handle is used once at each end; an end does not always learn that the
                // other one has used it.
                Answer::Runs
            }
        }
    }

    fn stop(&mut self, last: bool, made: u64) {
        if last {
            self.made = made;
            let source = self.engine(End::Source);
            source.running = None;
            source.memory = true;
            source.end.get_or_insert(StreamEnd::Cut);
        }
    }
}

/// A state with the step that led to it. States are equal if their worlds are.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) world: World,
    pub(crate) step: String,
    key: String,
}

impl State {
    pub(crate) fn new(mut world: World, step: String) -> State {
        world.messages.sort_by_key(|message| format!("{message:?}"));
        let key = format!("{world:?}");
        State { world, step, key }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key.hash(hasher);
    }
}

pub(crate) fn steps(world: &World, bounds: Bounds) -> Vec<State> {
    let mutation = bounds.mutation;
    let mut next = Vec::new();
    if !world.over {
        if world.step != Step::Wait {
            let step = format!("the entry takes {:?}", world.step);
            next.push(world.then(step, |w| w.take(mutation)));
        }
        for at in [End::Target, End::Source] {
            let engine = &world.engines[at as usize];
            let reads =
                world.reads == Some(at) || (mutation == Mutation::ForwardBoth && at == End::Source);
            if reads
                && world.step == Step::Wait
                && !(engine.sent.is_empty() && engine.end.is_none())
            {
                let step = format!("the entry reads from {at:?}");
                next.push(world.then(step, |w| w.read(at, mutation)));
            }
        }
        next.push(world.then("the caller leaves".to_owned(), |w| {
            w.left = true;
            // A late answer to a copy still frees it; a lost one is left to expire.
            w.excused |= matches!(w.waits, Some((_, Message::Copy { .. })));
            w.close(mutation);
        }));
    }
    engine_steps(world, bounds, &mut next);
    for (index, &(call, message)) in world.messages.iter().enumerate() {
        next.push(world.then(format!("{message:?} arrives"), |w| {
            w.messages.remove(index);
            let answer = w.receive(message);
            w.answers.push((call, answer));
        }));
    }
    for (index, &(call, answer)) in world.answers.iter().enumerate() {
        next.push(world.then(format!("the entry is answered {answer:?}"), |w| {
            w.answers.remove(index);
            if w.waits.is_some_and(|(waits, _)| waits == call) {
                w.on_outcome(Some(answer), mutation);
            }
        }));
    }
    if world.faults < bounds.faults {
        faults(world, bounds, &mut next);
    }
    next
}

fn engine_steps(world: &World, bounds: Bounds, next: &mut Vec<State>) {
    for at in [End::Target, End::Source] {
        let Some(made) = world.engines[at as usize].running else { continue };
        next.push(world.then(format!("{at:?} makes event {} or ends", made + 1), |w| {
            let engine = w.engine(at);
            let is_open = engine.end.is_none();
            engine.running = (made < bounds.events).then_some(made + 1);
            match engine.running {
                _ if !is_open => {}
                Some(made) => engine.sent.push(made),
                None => engine.end = Some(StreamEnd::Whole),
            }
        }));
    }
}

/// Adds the faults of engines and of the network.
fn faults(world: &World, bounds: Bounds, next: &mut Vec<State>) {
    let mutation = bounds.mutation;
    for at in [End::Target, End::Source] {
        next.push(world.then(format!("{at:?} restarts under the same id"), |w| {
            w.faults += 1;
            let engine = w.engine(at);
            *engine = Engine { end: Some(StreamEnd::Cut), ..Engine::default() };
        }));
    }
    let source = &world.engines[End::Source as usize];
    if source.running.is_some() && source.end.is_none() {
        next.push(world.then("the stream of the source is cut on its way".to_owned(), |w| {
            w.faults += 1;
            let source = w.engine(End::Source);
            source.sent.clear();
            source.end = Some(StreamEnd::Cut);
        }));
    }
    if let Some((call, message)) = world.waits {
        next.push(world.then(format!("no answer to {message:?}"), |w| {
            w.faults += 1;
            w.excused = true;
            w.on_outcome(None, mutation);
        }));
        next.push(world.then(format!("{message:?} is lost"), |w| {
            w.faults += 1;
            w.excused = true;
            w.messages.retain(|sent| sent.0 != call);
            w.on_outcome(None, mutation);
        }));
    }
    for (index, &(call, message)) in world.messages.iter().enumerate() {
        let Message::Copy { last } = message else { continue };
        let made = world.engines[End::Source as usize].running;
        next.push(world.then(format!("the target has no room for {message:?}"), |w| {
            w.faults += 1;
            w.messages.remove(index);
            w.stop(last && made.is_some(), made.unwrap_or_default());
            let answer = match made {
                Some(_) => Answer::NoRoom { handle: last },
                None => Answer::NoRun,
            };
            w.answers.push((call, answer));
        }));
        next.push(world.then(format!("another call delays {message:?}"), |w| {
            w.faults += 1;
            w.messages.remove(index);
            w.answers.push((call, Answer::InProgress));
        }));
    }
}
