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
use once::{KEY, Table, attempt, describe, outcome};

/// Steps of an attempt at which a fault may occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Claim,
    /// Reached only after the claim's answer was lost.
    Read,
    Call,
    Outcome,
}

/// A fault at one step. After the fault, and before a late request arrives or a
/// paused daemon resumes, a successor takes over the upstream and receives the
/// caller's repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The request provably had no effect.
    Refused,
    /// The request never arrives, which the attempt can't know.
    Lost,
    /// The request takes effect and its answer is lost.
    AnswerLost,
    /// The request arrives after the successor's attempt.
    Late,
    /// The daemon crashes before it sends.
    CrashBefore,
    /// The daemon crashes before the answer arrives.
    CrashAfter,
    /// The daemon is paused before it sends, and resumes after the successor's
    /// attempt.
    PauseBefore,
    /// The daemon is paused before the answer arrives, and resumes after the
    /// successor's attempt.
    PauseAfter,
    /// The caller's deadline passes before the answer arrives.
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

/// The table and the service.
#[derive(Default)]
struct World {
    table: Table,
    runs: usize,
}

impl World {
    /// Applies an action to the table or the service and returns the answer.
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

/// An attempt with its pending actions and its answer to the caller.
struct Runner {
    claim: Claim,
    actions: Vec<Action>,
    answer: Option<Answer>,
}

impl Runner {
    fn start(index: usize, fencing: u64) -> Runner {
        let (claim, actions) = Claim::start(attempt(index, fencing));
        Runner { claim, actions, answer: None }
    }

    fn on(&mut self, event: Event) {
        self.actions.extend(self.claim.handle(event));
    }

    /// Returns the next action for the table or the service, and stores answers to
    /// the caller on the way.
    fn next(&mut self) -> Option<Action> {
        loop {
            match (!self.actions.is_empty()).then(|| self.actions.remove(0))? {
                Action::Answer(answer) => assert!(self.answer.replace(answer).is_none()),
                action => return Some(action),
            }
        }
    }

    /// Runs the attempt to its end without a fault.
    fn finish(&mut self, world: &mut World) {
        while let Some(action) = self.next() {
            let event = world.effect(&action);
            self.on(event);
        }
        assert!(self.claim.is_over() && self.answer.is_some());
    }

    /// Runs the attempt until its next action belongs to step `at`.
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
    describe(&runner.answer.unwrap())
}

/// Runs one fault and describes it in a line: the first caller's answer, the
/// successor's answer to the repeat, the answer to a later repeat, and how
/// often the call ran.
fn scenario(at: Step, fault: Fault) -> String {
    let mut world = World::default();
    let fencing = world.table.take_over();
    let mut first = Runner::start(0, fencing);
    if at == Step::Read {
        let claim = first.reach(&mut world, Step::Claim);
        world.effect(&claim);
        first.on(Event::StoreLost);
    }
    let action = first.reach(&mut world, at);
    let mut crashed = false;
    let mut delayed = None;
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
        Fault::PauseAfter => delayed = Some(world.effect(&action)),
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
    let fencing = world.table.take_over();
    let second = repeat(&mut world, 1, fencing);
    if fault == Fault::Late {
        world.effect(&action);
    }
    if paused {
        let event = delayed.unwrap_or_else(|| world.effect(&action));
        first.on(event);
        first.finish(&mut world);
    }
    let third = repeat(&mut world, 2, fencing);
    let answer = first.answer.as_ref().map_or("nothing".to_owned(), describe);
    assert!(world.runs <= 1, "{at:?} {fault:?} ran twice");
    format!("{at:?} {fault:?}: {answer} | {second} | {third} | ran {}", world.runs)
}

/// A caller books a table, a fault occurs at one step, and the caller repeats
/// the call. Whatever the fault, the booking must run at most once, and "not
/// run" must be answered only if it is true.
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
fn a_call_is_refused_as_not_run_with_a_retry_delay_while_the_store_is_down() {
    let (mut claim, _) = Claim::start(attempt(0, 1));
    let answer = failure(&claim.handle(Event::StoreRefused));
    assert_eq!(answer, (Code::StoreDown, Ran::NotRun, true));
    // The store stays down after a claim that may have arrived: still not run,
    // since the call is never sent.
    let (mut claim, _) = Claim::start(attempt(0, 1));
    let mut actions = claim.handle(Event::StoreLost);
    while let [Action::Read(_)] = actions[..] {
        actions = claim.handle(Event::StoreRefused);
    }
    assert_eq!(failure(&actions), (Code::StoreDown, Ran::NotRun, true));
    assert!(claim.is_over());
}

#[test]
fn a_key_reused_for_another_request_is_rejected() {
    let mut world = World::default();
    let fencing = world.table.take_over();
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
fn digests_differ_by_route_path_and_body() {
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
fn an_answer_too_long_for_a_row_is_returned_once_and_then_reported_as_run() {
    let mut world = World::default();
    let fencing = world.table.take_over();
    let mut first = Runner::start(0, fencing);
    first.reach(&mut world, Step::Call);
    let long = Outcome { status: 201, body: Some(vec![b'x'; MAX_BODY_BYTES + 1]) };
    first.on(Event::ServiceAnswered(long.clone()));
    first.finish(&mut world);
    assert_eq!(first.answer, Some(Answer::Outcome { outcome: long, replayed: false }));
    assert_eq!(repeat(&mut world, 1, fencing), "upstream_failed ran");
}

#[test]
fn an_unreadable_row_counts_as_claimed() {
    let mut world = World::default();
    let fencing = world.table.take_over();
    world.table.set(KEY, "{\"state\":\"from a later release\"}");
    assert_eq!(repeat(&mut world, 0, fencing), "outcome_unknown unknown");
    assert_eq!(world.runs, 0);
}

/// The connection breaks after part of the call was sent, and the shell then
/// reports that nothing was sent. Freeing the key would run the call again.
#[test]
fn not_sent_is_ignored_after_a_byte_was_sent() {
    let mut world = World::default();
    let fencing = world.table.take_over();
    let mut first = Runner::start(0, fencing);
    first.reach(&mut world, Step::Call);
    first.on(Event::Sent);
    first.on(Event::NotSent);
    first.finish(&mut world);
    assert_eq!(describe(&first.answer.unwrap()), "outcome_unknown unknown");
    let record: Record = serde_json::from_str(&world.table.rows[KEY].value).unwrap();
    assert_eq!((record.state, record.fencing), (State::Claimed, fencing));
}

/// A claim whose answer was lost takes effect late, while the table refuses the
/// repeated claim. If the attempt gave up then, nobody would ever run the call,
/// and every repeat would be answered with an unknown outcome.
#[test]
fn a_claim_in_doubt_is_read_again_after_a_refusal() {
    let mut world = World::default();
    let fencing = world.table.take_over();
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
    assert_eq!(describe(&first.answer.unwrap()), "execution 1");
}

/// Describes an action in a line of the golden file.
fn describe_action(who: &str, action: &Action) -> String {
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
        Action::Answer(answer) => format!("{who} -> caller: {}", describe(answer)),
    }
}

fn describe_event(who: &str, event: &Event) -> String {
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

/// The claim is written and its answer lost. The caller repeats the call while
/// it runs and once more after it.
#[test]
fn session_with_a_lost_claim() {
    let mut world = World::default();
    let fencing = world.table.take_over();
    let mut lines = Vec::new();
    let mut go =
        |world: &mut World, runner: &mut Runner, who: &str, lose: bool, until: Option<Step>| {
            while !runner.actions.is_empty() {
                let action = runner.actions.remove(0);
                lines.push(describe_action(who, &action));
                if matches!(action, Action::Answer(_)) {
                    continue;
                }
                let mut event = world.effect(&action);
                if lose && step(&action) == Step::Claim {
                    event = Event::StoreLost;
                }
                lines.push(describe_event(who, &event));
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

/// Compares with a golden file; `KINGCUPBAY_BLESS=1` rewrites the file.
fn compare(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("KINGCUPBAY_BLESS").is_some() {
        fs::write(&path, found).unwrap();
    }
    assert_eq!(found, fs::read_to_string(&path).unwrap(), "{name} differs");
}
