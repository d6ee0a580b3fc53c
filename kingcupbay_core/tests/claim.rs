//! Once-only calls: every fault at every step between claim and outcome.

#![allow(clippy::unwrap_used)]

mod once;

use std::{fs, path::Path};

use kingcupbay_core::{
    claim::{
        Action, Answer, Claim, Event,
        record::{Digest, MAX_BODY_BYTES, Outcome, Record, State, row_key},
    },
    id::{Id as _, OrganisationId, RouteId},
    wire::{
        error::{Code, Ran},
        table::{Read, TxnAnswer},
    },
};
use once::{KEY, Table, attempt, outcome, words};

/// The steps of an attempt at which something may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Claim,
    /// Only after the claim's answer was lost.
    Read,
    Call,
    Outcome,
}

/// What goes wrong at one step. Between fault and resumption, a successor
/// takes the upstream over and gets the caller's repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The other side provably took nothing in.
    Refused,
    /// It never arrives, and nobody can tell.
    Lost,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It arrives after the successor's attempt.
    Late,
    /// The daemon dies before it sends.
    CrashBefore,
    /// The daemon dies before the answer.
    CrashAfter,
    /// The daemon is paused before it sends, and resumes after the successor's
    /// attempt.
    PauseBefore,
    /// The daemon is paused before the answer, and resumes later.
    PauseAfter,
    /// The caller's deadline passes before the answer.
    Deadline,
}

const FAULTS: [Fault; 9] = [
    Fault::Refused,
    Fault::Lost,
    Fault::AnswerLost,
    Fault::Late,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::PauseBefore,
    Fault::PauseAfter,
    Fault::Deadline,
];

/// Table and service.
#[derive(Default)]
struct World {
    table: Table,
    runs: usize,
}

impl World {
    /// What the other side makes of an action.
    fn effect(&mut self, action: &Action) -> Event {
        match action {
            Action::Txn(txn) => Event::StoreAnswer(self.table.txn(txn)),
            Action::Read(Read::Keys(keys)) => {
                Event::RowRead(self.table.rows.get(&keys[0]).cloned())
            }
            Action::Call => {
                self.runs += 1;
                Event::ServiceAnswered(outcome(self.runs))
            }
            action => unreachable!("{action:?} has no effect"),
        }
    }
}

fn step(action: &Action) -> Step {
    match action {
        Action::Txn(txn) if txn.writes[0].value.as_ref().unwrap().contains("\"done\"") => {
            Step::Outcome
        }
        Action::Txn(_) => Step::Claim,
        Action::Read(_) => Step::Read,
        _ => Step::Call,
    }
}

fn lost(action: &Action) -> Event {
    match action {
        Action::Call => Event::ServiceLost,
        _ => Event::StoreLost,
    }
}

fn refused(action: &Action) -> Event {
    match action {
        Action::Call => Event::NotSent,
        _ => Event::StoreRefused,
    }
}

/// An attempt with what it has yet to do.
struct Runner {
    claim: Claim,
    actions: Vec<Action>,
    told: Option<Answer>,
}

impl Runner {
    fn start(index: usize, fencing: u64) -> Runner {
        let (claim, actions) = Claim::start(attempt(index, fencing));
        Runner { claim, actions, told: None }
    }

    fn on(&mut self, event: Event) {
        self.actions.extend(self.claim.handle(event));
    }

    /// The next action for table or service; answers are taken on the way.
    fn next(&mut self) -> Option<Action> {
        loop {
            match (!self.actions.is_empty()).then(|| self.actions.remove(0))? {
                Action::Answer(answer) => assert!(self.told.replace(answer).is_none()),
                action => return Some(action),
            }
        }
    }

    /// Goes on to the end without a fault.
    fn finish(&mut self, world: &mut World) {
        while let Some(action) = self.next() {
            let event = world.effect(&action);
            self.on(event);
        }
        assert!(self.claim.is_over() && self.told.is_some());
    }

    /// Goes on until an action for `at`.
    fn reach(&mut self, world: &mut World, at: Step) -> Action {
        loop {
            let action = self.next().expect("the step is reached");
            if step(&action) == at {
                return action;
            }
            let event = world.effect(&action);
            self.on(event);
        }
    }
}

fn repeat(world: &mut World, index: usize, fencing: u64) -> String {
    let mut runner = Runner::start(index, fencing);
    runner.finish(world);
    words(&runner.told.unwrap())
}

/// One line: the fault, what the first caller is told, what the successor
/// tells the repeat, what a later repeat is told, and how often it ran.
fn scenario(at: Step, fault: Fault) -> String {
    let mut world = World::default();
    let fencing = world.table.fence();
    let mut first = Runner::start(0, fencing);
    if at == Step::Read {
        let claim = first.reach(&mut world, Step::Claim);
        world.effect(&claim);
        first.on(Event::StoreLost);
    }
    let action = first.reach(&mut world, at);
    let mut crashed = false;
    let mut later = None;
    match fault {
        Fault::Refused => first.on(refused(&action)),
        Fault::Lost => first.on(lost(&action)),
        Fault::AnswerLost => {
            world.effect(&action);
            first.on(lost(&action));
        }
        Fault::Late => first.on(lost(&action)),
        Fault::CrashBefore => crashed = true,
        Fault::CrashAfter => {
            world.effect(&action);
            crashed = true;
        }
        Fault::PauseBefore => {}
        Fault::PauseAfter => later = Some(world.effect(&action)),
        Fault::Deadline => {
            first.on(Event::Deadline);
            let event = world.effect(&action);
            first.on(event);
        }
    }
    let paused = matches!(fault, Fault::PauseBefore | Fault::PauseAfter);
    if !crashed && !paused {
        first.finish(&mut world);
    }
    let fencing = world.table.fence();
    let second = repeat(&mut world, 1, fencing);
    if fault == Fault::Late {
        world.effect(&action);
    }
    if paused {
        let event = later.unwrap_or_else(|| world.effect(&action));
        first.on(event);
        first.finish(&mut world);
    }
    let third = repeat(&mut world, 2, fencing);
    let told = first.told.as_ref().map_or("nothing".to_owned(), words);
    assert!(world.runs <= 1, "{at:?} {fault:?} ran twice");
    format!("{at:?} {fault:?}: {told} | {second} | {third} | ran {}", world.runs)
}

/// A family books a table; something breaks at one step, and they press
/// again. Whatever breaks, they are charged at most once, and "not run" is
/// said only where it is so.
#[test]
fn every_fault_at_every_step_runs_the_call_at_most_once() {
    let steps = [Step::Claim, Step::Read, Step::Call, Step::Outcome];
    let lines: Vec<_> =
        steps.iter().flat_map(|&at| FAULTS.map(|fault| scenario(at, fault))).collect();
    compare("once_faults.txt", &(lines.join("\n") + "\n"));
}

fn conflict(table: &Table) -> Event {
    Event::StoreAnswer(TxnAnswer::Conflict(vec![table.rows[KEY].clone()]))
}

fn failure(actions: &[Action]) -> (Code, Ran, bool) {
    let [Action::Answer(Answer::Failure(failure))] = actions else { panic!("{actions:?}") };
    (failure.code, failure.ran, failure.retry_after.is_some())
}

#[test]
fn a_store_that_is_down_refuses_the_call_truly_with_when_to_come_back() {
    let (mut claim, _) = Claim::start(attempt(0, 1));
    let told = failure(&claim.handle(Event::StoreRefused));
    assert_eq!(told, (Code::StoreDown, Ran::NotRun, true));
    // Down for good after a claim that may have arrived: still not run, since
    // it is never sent.
    let (mut claim, _) = Claim::start(attempt(0, 1));
    let mut actions = claim.handle(Event::StoreLost);
    while let [Action::Read(_)] = actions[..] {
        actions = claim.handle(Event::StoreRefused);
    }
    assert_eq!(failure(&actions), (Code::StoreDown, Ran::NotRun, true));
    assert!(claim.is_over());
}

#[test]
fn a_key_used_for_another_request_is_told_apart() {
    let mut world = World::default();
    let fencing = world.table.fence();
    assert_eq!(repeat(&mut world, 0, fencing), "execution 1");
    let mut other = attempt(1, fencing);
    other.digest = Digest::of(RouteId::from_raw(0), "book", b"seat 8");
    let (mut claim, _) = Claim::start(other);
    assert_eq!(
        failure(&claim.handle(conflict(&world.table))),
        (Code::KeyReused, Ran::NotRun, false)
    );
}

#[test]
fn digests_tell_route_path_and_body_apart() {
    let (a, b) = (RouteId::from_raw(1), RouteId::from_raw(12));
    let digests = [
        Digest::of(a, "x", b"body"),
        Digest::of(b, "x", b"body"),
        Digest::of(a, "x/body", b""),
        Digest::of(a, "x/", b"body"),
        Digest::of(a, "", b"x/body"),
    ];
    for (i, one) in digests.iter().enumerate() {
        assert!(digests[i + 1..].iter().all(|other| other != one), "{i}");
    }
    assert_eq!(row_key(OrganisationId::from_raw(7), "a/b"), "claim/7/a/b");
}

#[test]
fn an_answer_too_long_for_a_row_is_given_once_and_then_said_to_have_run() {
    let mut world = World::default();
    let fencing = world.table.fence();
    let mut first = Runner::start(0, fencing);
    first.reach(&mut world, Step::Call);
    let long = Outcome { status: 201, body: Some(vec![b'x'; MAX_BODY_BYTES + 1]) };
    first.on(Event::ServiceAnswered(long.clone()));
    first.finish(&mut world);
    assert_eq!(first.told, Some(Answer::Outcome { outcome: long, replayed: false }));
    assert_eq!(repeat(&mut world, 1, fencing), "upstream_failed ran");
}

#[test]
fn a_row_that_cannot_be_read_counts_as_claimed() {
    let mut world = World::default();
    let fencing = world.table.fence();
    world.table.set(KEY, "{\"state\":\"from a later release\"}");
    assert_eq!(repeat(&mut world, 0, fencing), "outcome_unknown unknown");
    assert_eq!(world.runs, 0);
}

/// The connection breaks after part of the call went out, and the shell then
/// reports that nothing left. Freeing the key would run the call again.
#[test]
fn never_left_is_not_believed_after_a_byte_has_left() {
    let mut world = World::default();
    let fencing = world.table.fence();
    let mut first = Runner::start(0, fencing);
    first.reach(&mut world, Step::Call);
    first.on(Event::Sent);
    first.on(Event::NotSent);
    first.finish(&mut world);
    assert_eq!(words(&first.told.unwrap()), "outcome_unknown unknown");
    let record: Record = serde_json::from_str(&world.table.rows[KEY].value).unwrap();
    assert_eq!((record.state, record.fencing), (State::Claimed, fencing));
}

/// A claim lost on its way arrives after all, while the table refuses its
/// repeat. Given up then, nobody would ever run the call, and every repeat
/// would be told that its outcome is unknown.
#[test]
fn a_claim_in_doubt_is_read_again_after_a_refusal() {
    let mut world = World::default();
    let fencing = world.table.fence();
    let mut first = Runner::start(0, fencing);
    let claim = first.next().unwrap();
    first.on(Event::StoreLost);
    let read = first.next().unwrap();
    let nothing = world.effect(&read);
    assert_eq!(nothing, Event::RowRead(None));
    first.on(nothing);
    assert_eq!(first.next(), Some(claim.clone()));
    world.effect(&claim);
    first.on(Event::StoreRefused);
    first.finish(&mut world);
    assert_eq!(words(&first.told.unwrap()), "execution 1");
}

/// A line for each action, as a reader of the golden file wants it.
fn told(who: &str, action: &Action) -> String {
    match action {
        Action::Txn(txn) => {
            let value = txn.writes[0].value.as_ref().unwrap();
            let record: Record = serde_json::from_str(value).unwrap();
            let state = match record.state {
                State::Claimed => "claimed".to_owned(),
                State::Released => "released".to_owned(),
                State::Done(outcome) => format!("done with {}", outcome.status),
            };
            let conditions = txn.conditions.iter();
            let conditions: Vec<_> =
                conditions.map(|c| format!("{} at {}", c.key, c.revision)).collect();
            format!("{who} -> table: if {}, write {state}", conditions.join(" and "))
        }
        Action::Read(_) => format!("{who} -> table: read {KEY}"),
        Action::Call => format!("{who} -> service: call"),
        Action::Answer(answer) => format!("{who} -> caller: {}", words(answer)),
    }
}

fn happened(who: &str, event: &Event) -> String {
    let what = match event {
        Event::StoreAnswer(TxnAnswer::Committed) => "table: written".to_owned(),
        Event::StoreAnswer(TxnAnswer::Conflict(rows)) => {
            let rows: Vec<_> =
                rows.iter().map(|row| format!("{} is at {}", row.key, row.revision)).collect();
            format!("table: not written, {}", rows.join(" and "))
        }
        Event::StoreLost => "table: no answer".to_owned(),
        Event::RowRead(Some(row)) => {
            let record: Record = serde_json::from_str(&row.value).unwrap();
            format!("table: at {} of attempt {}", row.revision, record.attempt)
        }
        Event::ServiceAnswered(outcome) => format!("service: {}", outcome.status),
        event => format!("{event:?}").to_lowercase(),
    };
    format!("{who} <- {what}")
}

/// The claim is written and its answer lost; the caller presses again while
/// the call runs, and once more after it.
#[test]
fn session_with_a_lost_claim() {
    let mut world = World::default();
    let fencing = world.table.fence();
    let mut lines = Vec::new();
    let mut go =
        |world: &mut World, runner: &mut Runner, who: &str, lose: bool, until: Option<Step>| {
            while !runner.actions.is_empty() {
                let action = runner.actions.remove(0);
                lines.push(told(who, &action));
                if matches!(action, Action::Answer(_)) {
                    continue;
                }
                let mut event = world.effect(&action);
                if lose && step(&action) == Step::Claim {
                    event = Event::StoreLost;
                }
                lines.push(happened(who, &event));
                runner.on(event);
                if until.is_some() && runner.actions.first().map(step) == until {
                    return;
                }
            }
        };
    let mut first = Runner::start(0, fencing);
    let mut second = Runner::start(1, fencing);
    let mut third = Runner::start(2, fencing);
    go(&mut world, &mut first, "first", true, Some(Step::Outcome));
    go(&mut world, &mut second, "second", false, None);
    go(&mut world, &mut first, "first", false, None);
    go(&mut world, &mut third, "third", false, None);
    compare("once_lost_claim.txt", &(lines.join("\n") + "\n"));
    assert_eq!(world.runs, 1);
}

/// `KINGCUPBAY_BLESS=1` writes the golden file anew.
fn compare(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("KINGCUPBAY_BLESS").is_some() {
        fs::write(&path, found).unwrap();
    }
    assert_eq!(found, fs::read_to_string(&path).unwrap(), "{name} differs");
}
