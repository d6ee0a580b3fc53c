//! State machine of one attempt at a call that runs at most once.

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

/// Maximum number of tries of a step while the table gives no answer.
const MAX_TRIES: u32 = 4;

/// Time after which a caller may retry when the table or the service failed.
const RETRY_DELAY: Span = Span::from_secs(1);

/// Identity of an attempt and of the call that it makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Table key of the claim's row, see [`row_key`](super::record::row_key).
    pub key: String,
    /// Digest of the call's content.
    pub digest: Digest,
    /// Random id that distinguishes this attempt's writes from all others.
    pub id: RequestId,
    /// Host of this daemon.
    pub claimer: Name,
    /// Condition on the row of this daemon's fencing number, which is the row's
    /// revision at which the daemon took over. It makes every claim fail once the
    /// daemon has a successor.
    pub fence: Condition,
}

/// An attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    attempt: Attempt,
    step: Step,
    /// Whether the caller has been answered. Invariant: the caller is answered at
    /// most once, and after "not run" no [`Action::Call`] follows.
    answered: bool,
}

/// Step of an attempt, named after what it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// The claim, written over revision `base`. `in_doubt`: an earlier write of
    /// the same claim may still take effect.
    Claiming { base: u64, in_doubt: bool, tries: u32 },
    /// A read that shows whether a claim whose answer was lost took effect.
    Resolving { base: u64, tries: u32 },
    /// The service's answer. The claim's row is at `revision`.
    Calling { revision: u64, sent: bool },
    /// The write of the outcome.
    Recording { revision: u64, outcome: Outcome, tries: u32 },
    /// The write that releases the key; `failure` is the caller's answer.
    Releasing { revision: u64, failure: Failure, tries: u32 },
    /// Nothing; the attempt is over.
    Over,
}

impl Claim {
    /// Starts an attempt, which claims the key before it sends anything.
    pub fn start(attempt: Attempt) -> (Claim, Vec<Action>) {
        let step = Step::Claiming { base: 0, in_doubt: false, tries: 1 };
        let claim = Claim { attempt, step, answered: false };
        let actions = vec![claim.claim_at(0)];
        (claim, actions)
    }

    /// Returns whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        self.step == Step::Over
    }

    /// Handles an event and returns the actions to do next.
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

    /// Answers a caller whose deadline has passed. The answer must be true
    /// whatever follows. The attempt goes on, so that a repeat finds the outcome
    /// or a free key.
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
            Event::StoreAnswer(TxnAnswer::Conflict(rows)) => self.on_claim_conflict(&rows),
            Event::StoreRefused if !in_doubt => self.finish(Answer::Failure(store_down())),
            // The write may have taken effect; only the row shows it.
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
            // The claim stays without an outcome, so the call is never run again.
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
            // Only this attempt overwrites its own claim, so a conflict means that
            // its own write took effect and the answer was lost.
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
            Event::StoreAnswer(TxnAnswer::Conflict(rows)) => {
                self.on_release_conflict(&rows, failure)
            }
            Event::StoreLost | Event::StoreRefused if tries < MAX_TRIES => {
                self.release(revision, failure, tries + 1)
            }
            Event::StoreAnswer(TxnAnswer::Committed) | Event::StoreLost | Event::StoreRefused => {
                self.finish(Answer::Failure(failure))
            }
            _ => Vec::new(),
        }
    }

    /// Handles a conflict of the release: either that release already took effect
    /// and its answer was lost, or a late claim of this attempt took effect before
    /// it.
    fn on_release_conflict(&mut self, rows: &[Row], failure: Failure) -> Vec<Action> {
        let row = rows.iter().find(|row| row.key == self.attempt.key);
        match row.map(|row| (row.revision, self.own_state(row))) {
            Some((revision, Some(State::Claimed))) => self.release(revision, failure, 1),
            _ => self.finish(Answer::Failure(failure)),
        }
    }

    fn on_claim_conflict(&mut self, rows: &[Row]) -> Vec<Action> {
        let row = rows.iter().find(|row| row.key == self.attempt.key);
        let superseded = rows.iter().any(|row| row.key == self.attempt.fence.key) || row.is_none();
        match row {
            Some(row) if superseded && self.own_state(row) == Some(State::Claimed) => {
                self.release(row.revision, fenced(), 1)
            }
            _ if superseded => self.finish(Answer::Failure(fenced())),
            Some(row) => self.on_row(row),
            None => unreachable!("a conflict without the claim's row is on the fence"),
        }
    }

    /// Handles a row that conflicts with the claim or is the claim itself.
    fn on_row(&mut self, row: &Row) -> Vec<Action> {
        // An unreadable row may hold any attempt's claim.
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

    /// Sends the call, now that the claim is written, unless the caller was
    /// already answered that it did not run.
    fn send_call(&mut self, revision: u64) -> Vec<Action> {
        if self.answered {
            return self.release(revision, deadline_passed(), 1);
        }
        self.step = Step::Calling { revision, sent: false };
        vec![Action::Call]
    }

    /// Claims the key, which is free at `revision`.
    fn claim_free_key(&mut self, revision: u64) -> Vec<Action> {
        if self.answered {
            // No caller waits, but a claim whose answer was lost may still take
            // effect and block the key forever. This write makes it conflict.
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

    /// Returns a write of the row that succeeds over `revision` only.
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

    /// Returns the state of a row that this attempt wrote, `None` for any other.
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
