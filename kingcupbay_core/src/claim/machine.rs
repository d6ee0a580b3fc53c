//! One attempt at a call that runs at most once.

use super::{
    event::{Action, Answer, Event},
    record::{Digest, Outcome, Record, State},
};
use crate::{
    id::{Name, RequestId},
    time::Span,
    wire::{
        error::{Code, Failure, Ran},
        table::{Condition, Read, Row, Txn, TxnAnswer, Write},
    },
};

/// How often a step is tried while the table gives no answer.
const MAX_TRIES: u32 = 4;

/// When to come back after a failure of the table or the service.
const RETRY_DELAY: Span = Span::from_secs(1);

/// Who attempts which call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Key of the claim's row, see [`row_key`](super::record::row_key).
    pub key: String,
    /// What the call asks for.
    pub digest: Digest,
    /// Random; tells this attempt's writes from all others.
    pub id: RequestId,
    /// Host of this daemon.
    pub claimer: Name,
    /// The row of this daemon's fencing number at the revision it took it,
    /// which is the number. A daemon that has a successor claims nothing.
    pub fence: Condition,
}

/// An attempt on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    attempt: Attempt,
    step: Step,
    /// Whether the caller has been told. Invariant: at most once, and after
    /// "not run" no [`Action::Call`] follows.
    answered: bool,
}

/// Where the attempt stands; each names what it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// The claim, written over the revision `base`. `in_doubt`: an earlier write
    /// of the same claim may still take effect.
    Claiming { base: u64, in_doubt: bool, tries: u32 },
    /// A read that tells whether a lost claim took effect.
    Resolving { base: u64, tries: u32 },
    /// The service. The claim stands at `revision`.
    Calling { revision: u64, sent: bool },
    /// The write of the outcome.
    Recording { revision: u64, outcome: Outcome, tries: u32 },
    /// The write that frees the key, and what the caller is told with it.
    Releasing { revision: u64, failure: Failure, tries: u32 },
    /// Nothing any more.
    Over,
}

impl Claim {
    /// Starts an attempt: the key is claimed before anything is sent.
    pub fn start(attempt: Attempt) -> (Claim, Vec<Action>) {
        let step = Step::Claiming { base: 0, in_doubt: false, tries: 1 };
        let claim = Claim { attempt, step, answered: false };
        let actions = vec![claim.claim_at(0)];
        (claim, actions)
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        self.step == Step::Over
    }

    /// Takes an event in and says what to do next.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        if event == Event::Deadline {
            return self.on_deadline();
        }
        match self.step.clone() {
            Step::Claiming { base, in_doubt, tries } => {
                self.on_claiming(event, base, in_doubt, tries)
            }
            Step::Resolving { base, tries } => self.on_resolving(event, base, tries),
            Step::Calling { revision, sent } => self.on_calling(event, revision, sent),
            Step::Recording { revision, outcome, tries } => {
                self.on_recording(event, revision, outcome, tries)
            }
            Step::Releasing { revision, failure, tries } => {
                self.on_releasing(event, revision, failure, tries)
            }
            Step::Over => Vec::new(),
        }
    }

    /// The caller goes; what it is told must be true whatever follows. The
    /// attempt goes on, so that a repeat finds the outcome or a free key.
    fn on_deadline(&mut self) -> Vec<Action> {
        match &self.step {
            Step::Claiming { .. } | Step::Resolving { .. } => {
                self.answer_caller(Answer::Failure(deadline_passed()))
            }
            Step::Calling { .. } => self.answer_caller(Answer::Failure(outcome_unknown())),
            Step::Recording { outcome, .. } => {
                let outcome = outcome.clone();
                self.answer_caller(Answer::Outcome { outcome, replayed: false })
            }
            Step::Releasing { failure, .. } => {
                let failure = failure.clone();
                self.answer_caller(Answer::Failure(failure))
            }
            Step::Over => Vec::new(),
        }
    }

    fn on_claiming(&mut self, event: Event, base: u64, in_doubt: bool, tries: u32) -> Vec<Action> {
        match event {
            Event::StoreAnswer(TxnAnswer::Committed) => self.send_call(base + 1),
            Event::StoreAnswer(TxnAnswer::Conflict(rows)) => self.on_conflict(&rows),
            Event::StoreRefused if !in_doubt => self.finish(Answer::Failure(store_down())),
            // The write may have taken effect: only the row can tell.
            Event::StoreLost | Event::StoreRefused => self.resolve(base, tries),
            _ => Vec::new(),
        }
    }

    fn on_resolving(&mut self, event: Event, base: u64, tries: u32) -> Vec<Action> {
        match event {
            Event::RowRead(Some(row)) => self.on_row(&row),
            Event::RowRead(None) => self.claim_free_key(base),
            Event::StoreLost | Event::StoreRefused => self.resolve(base, tries),
            _ => Vec::new(),
        }
    }

    fn on_calling(&mut self, event: Event, revision: u64, sent: bool) -> Vec<Action> {
        match event {
            Event::Sent => {
                self.step = Step::Calling { revision, sent: true };
                Vec::new()
            }
            Event::ServiceAnswered(outcome) => self.record(revision, outcome, 1),
            Event::NotSent if !sent => {
                let failure = Failure::not_run(Code::UpstreamFailed, "the service was not reached");
                self.release(revision, failure.after(RETRY_DELAY), 1)
            }
            // The claim stays without an outcome, and so for ever unrepeated.
            Event::ServiceLost | Event::NotSent => self.finish(Answer::Failure(outcome_unknown())),
            _ => Vec::new(),
        }
    }

    fn on_recording(
        &mut self,
        event: Event,
        revision: u64,
        outcome: Outcome,
        tries: u32,
    ) -> Vec<Action> {
        match event {
            // Only this attempt writes over its own claim, so a conflict is
            // its own write whose answer was lost.
            Event::StoreAnswer(_) => self.finish(Answer::Outcome { outcome, replayed: false }),
            Event::StoreLost | Event::StoreRefused if tries < MAX_TRIES => {
                self.record(revision, outcome, tries + 1)
            }
            Event::StoreLost | Event::StoreRefused => {
                self.finish(Answer::Outcome { outcome, replayed: false })
            }
            _ => Vec::new(),
        }
    }

    fn on_releasing(
        &mut self,
        event: Event,
        revision: u64,
        failure: Failure,
        tries: u32,
    ) -> Vec<Action> {
        match event {
            Event::StoreAnswer(TxnAnswer::Conflict(rows)) => self.on_unreleased(&rows, failure),
            Event::StoreLost | Event::StoreRefused if tries < MAX_TRIES => {
                self.release(revision, failure, tries + 1)
            }
            Event::StoreAnswer(TxnAnswer::Committed) | Event::StoreLost | Event::StoreRefused => {
                self.finish(Answer::Failure(failure))
            }
            _ => Vec::new(),
        }
    }

    /// The row is not as it was when the release was written: either that
    /// very release took effect, or a lost claim of this attempt did first.
    fn on_unreleased(&mut self, rows: &[Row], failure: Failure) -> Vec<Action> {
        let row = rows.iter().find(|row| row.key == self.attempt.key);
        match row.map(|row| (row.revision, self.own_state(row))) {
            Some((revision, Some(State::Claimed))) => self.release(revision, failure, 1),
            _ => self.finish(Answer::Failure(failure)),
        }
    }

    fn on_conflict(&mut self, rows: &[Row]) -> Vec<Action> {
        let row = rows.iter().find(|row| row.key == self.attempt.key);
        let superseded = rows.iter().any(|row| row.key == self.attempt.fence.key) || row.is_none();
        match row {
            Some(row) if superseded && self.own_state(row) == Some(State::Claimed) => {
                self.release(row.revision, fenced(), 1)
            }
            _ if superseded => self.finish(Answer::Failure(fenced())),
            Some(row) => self.on_row(row),
            None => unreachable!("a missing row is a lost fence"),
        }
    }

    /// The row stands in the way of the claim, or is the claim.
    fn on_row(&mut self, row: &Row) -> Vec<Action> {
        // A row that cannot be read may hold anybody's claim.
        let Ok(record) = serde_json::from_str::<Record>(&row.value) else {
            return self.finish(Answer::Failure(outcome_unknown()));
        };
        match record.state {
            State::Released => self.claim_free_key(row.revision),
            State::Claimed if record.attempt == self.attempt.id => self.send_call(row.revision),
            _ if record.digest != self.attempt.digest => {
                let message = "this idempotency key was used for another request";
                self.finish(Answer::Failure(Failure::not_run(Code::KeyReused, message)))
            }
            State::Claimed => self.finish(Answer::Failure(outcome_unknown())),
            State::Done(Outcome { body: None, status }) => {
                let message = format!("it ran with status {status}; its answer was not kept");
                let failure = Failure::not_run(Code::UpstreamFailed, message);
                self.finish(Answer::Failure(Failure { ran: Ran::Ran, ..failure }))
            }
            State::Done(outcome) => self.finish(Answer::Outcome { outcome, replayed: true }),
        }
    }

    /// The claim stands. The call goes out only if nobody was told otherwise.
    fn send_call(&mut self, revision: u64) -> Vec<Action> {
        if self.answered {
            return self.release(revision, deadline_passed(), 1);
        }
        self.step = Step::Calling { revision, sent: false };
        vec![Action::Call]
    }

    /// Nobody claims the key at `revision`.
    fn claim_free_key(&mut self, revision: u64) -> Vec<Action> {
        if self.answered {
            // Nobody waits, but a lost claim may take effect yet and block
            // the key for ever: a write in its place keeps it out.
            return self.release(revision, deadline_passed(), 1);
        }
        let tries = match &self.step {
            Step::Claiming { tries, .. } | Step::Resolving { tries, .. } => *tries,
            _ => 1,
        };
        if tries >= MAX_TRIES {
            return self.release(revision, store_down(), 1);
        }
        self.step = Step::Claiming { base: revision, in_doubt: true, tries: tries + 1 };
        vec![self.claim_at(revision)]
    }

    fn resolve(&mut self, base: u64, tries: u32) -> Vec<Action> {
        if tries >= MAX_TRIES {
            return self.finish(Answer::Failure(store_down()));
        }
        self.step = Step::Resolving { base, tries: tries + 1 };
        vec![Action::Read(Read::Keys(vec![self.attempt.key.clone()]))]
    }

    fn record(&mut self, revision: u64, outcome: Outcome, tries: u32) -> Vec<Action> {
        let txn = self.write(revision, State::Done(outcome.for_row()));
        self.step = Step::Recording { revision, outcome, tries };
        vec![Action::Txn(txn)]
    }

    fn release(&mut self, revision: u64, failure: Failure, tries: u32) -> Vec<Action> {
        self.step = Step::Releasing { revision, failure, tries };
        vec![Action::Txn(self.write(revision, State::Released))]
    }

    fn claim_at(&self, revision: u64) -> Action {
        let mut txn = self.write(revision, State::Claimed);
        txn.conditions.push(self.attempt.fence.clone());
        Action::Txn(txn)
    }

    /// Writes the row over `revision`, and over no other.
    fn write(&self, revision: u64, state: State) -> Txn {
        let attempt = &self.attempt;
        let record = Record {
            digest: attempt.digest,
            attempt: attempt.id,
            claimer: attempt.claimer.clone(),
            fencing: attempt.fence.revision,
            state,
        };
        let value = serde_json::to_string(&record).expect("a record is JSON");
        let key = attempt.key.clone();
        Txn {
            conditions: vec![Condition { key: key.clone(), revision }],
            writes: vec![Write { key, value: Some(value) }],
        }
    }

    /// The state of a row that this attempt wrote.
    fn own_state(&self, row: &Row) -> Option<State> {
        let record: Record = serde_json::from_str(&row.value).ok()?;
        (record.attempt == self.attempt.id).then_some(record.state)
    }

    fn answer_caller(&mut self, answer: Answer) -> Vec<Action> {
        match std::mem::replace(&mut self.answered, true) {
            true => Vec::new(),
            false => vec![Action::Answer(answer)],
        }
    }

    fn finish(&mut self, answer: Answer) -> Vec<Action> {
        self.step = Step::Over;
        self.answer_caller(answer)
    }
}

fn outcome_unknown() -> Failure {
    Failure {
        code: Code::OutcomeUnknown,
        ran: Ran::Unknown,
        message: "the call is claimed and its outcome is not known".to_owned(),
        retry_after: Some(RETRY_DELAY),
    }
}

fn store_down() -> Failure {
    Failure::not_run(Code::StoreDown, "the call could not be claimed").after(RETRY_DELAY)
}

fn deadline_passed() -> Failure {
    Failure::not_run(Code::Deadline, "the deadline passed before the call was claimed")
}

fn fenced() -> Failure {
    Failure::not_run(Code::NoStanding, "this daemon has a successor").after(RETRY_DELAY)
}
