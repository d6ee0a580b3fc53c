//! Calls that run at most once: executes the decisions of
//! `kingcupbay_core::claim`.
//!
//! Each call runs in a task of its own, which continues after its caller has
//! stopped waiting: the outcome must be written even if the entry disconnects.

use std::{
    collections::{BTreeMap, VecDeque},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use kingcupbay_core::{
    claim::{
        Action, Answer, Attempt, Claim, Event,
        record::{Digest, Outcome, row_key},
    },
    config::model::Upstream as Row,
    id::{OrganisationId, RequestId, RouteId, UpstreamId},
    time::{Instant, Span},
    wire::{
        error::{Code, Failure, Ran},
        run::RunEvent,
        table::{Condition, Read, Txn},
    },
};
use slog::info;
use tokio::sync::{OnceCell, oneshot};

use super::{Upstream, call, fence};
use crate::{clock, entry::new_request_id, server::drain::Phase, store::table::TableError};

/// Pause after a request to the table that got no answer.
const TABLE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// When to retry a call for which no fencing number could be taken.
const FENCING_RETRY: Span = Span::from_secs(1);

/// Longest wait for a fencing number, which takes two requests to the table. A
/// call is refused after it, instead of waiting for a table that is unreachable.
const FENCING_TIMEOUT: Span = Span::from_secs(2);

/// How long after its caller's deadline a call may still deliver its outcome,
/// which is recorded for a repeat. Also bounds how long a planned stop waits.
const OUTCOME_GRACE: Span = Span::from_secs(10);

/// Fencing numbers of plain services, each taken with the first call.
pub(super) type FencingNumbers = BTreeMap<UpstreamId, Rc<OnceCell<u64>>>;

/// A call to run.
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) organisation: OrganisationId,
    pub(super) upstream: UpstreamId,
    pub(super) row: Row,
    pub(super) route: RouteId,
    pub(super) path: String,
    pub(super) idempotency: String,
    pub(super) body: Vec<u8>,
    /// When the caller stops waiting for the answer.
    pub(super) deadline: Instant,
}

/// Runs a call at most once and returns its final event.
pub(super) async fn run(upstream: Rc<Upstream>, call: Call) -> Result<RunEvent, Failure> {
    let left = call.deadline.since(clock::now()).min(FENCING_TIMEOUT);
    let number = tokio::time::timeout(left.into(), fencing_number(&upstream, &call)).await;
    let number = number.map_err(|_| {
        Failure::not_run(Code::StoreDown, "the table gives no fencing number").after(FENCING_RETRY)
    })?;
    let attempt = Attempt {
        key: row_key(call.organisation, &call.idempotency),
        digest: Digest::of(call.route, &call.path, &call.body),
        // Not the id of the request: an entry may send one request to two
        // upstreams, and each must distinguish its own claim from the other's.
        id: new_request_id(),
        claimer: upstream.settings.daemon.host.clone(),
        fence: Condition { key: fence::row_key(&call.row.name), revision: number },
    };
    let (caller, answer) = oneshot::channel();
    actix_rt::spawn(run_attempt(OnceCall { upstream, call }, attempt, caller));
    match answer.await {
        Ok(Answer::Outcome { outcome, replayed }) => {
            let body = outcome.body.unwrap_or_default();
            Ok(RunEvent::Called { status: outcome.status, body, replayed })
        }
        Ok(Answer::Failure(failure)) => Err(failure),
        Err(_) => {
            let message = "the call ended without a word";
            let failure = Failure::not_run(Code::OutcomeUnknown, message);
            Err(Failure { ran: Ran::Unknown, ..failure })
        }
    }
}

/// Returns this daemon's fencing number for the upstream. It is taken only
/// once: a daemon that has been replaced must not claim calls any more.
async fn fencing_number(upstream: &Rc<Upstream>, call: &Call) -> u64 {
    let cell = upstream.fencing_numbers.borrow_mut().entry(call.upstream).or_default().clone();
    // Claims are conditional on the number, so there is no need to wait for
    // requests that the previous owner has in flight.
    let taken = cell.get_or_init(|| fence::acquire(upstream, &call.row.name, true));
    *taken.await
}

/// Runs one attempt until its outcome is recorded, and sends the answer to the
/// caller as soon as it is known or the deadline passes.
async fn run_attempt(once: OnceCall, attempt: Attempt, caller: oneshot::Sender<Answer>) {
    // A planned stop waits for this attempt, also when the entry has
    // disconnected.
    let running = once.upstream.drain.track_connection();
    let mut caller = Some(caller);
    let (mut claim, actions) = Claim::start(attempt);
    let mut actions = VecDeque::from(actions);
    let left = once.call.deadline.since(clock::now());
    let mut deadline = pin!(tokio::time::sleep(left.into()));
    let mut late = false;
    while let Some(action) = actions.pop_front() {
        if let Action::Answer(answer) = action {
            once.report_answer(&mut caller, answer);
            continue;
        }
        let mut work = pin!(once.execute(action));
        let events = loop {
            tokio::select! {
                events = &mut work => break events,
                () = &mut deadline, if !late => {
                    late = true;
                    for action in claim.handle(Event::Deadline) {
                        let Action::Answer(answer) = action else {
                            unreachable!("a deadline only brings an answer")
                        };
                        once.report_answer(&mut caller, answer);
                    }
                }
            }
        };
        for event in events {
            actions.extend(claim.handle(event));
        }
    }
    drop(running);
}

/// A call in progress.
struct OnceCall {
    upstream: Rc<Upstream>,
    call: Call,
}

impl OnceCall {
    /// Logs the outcome and sends the answer to the caller, if it still waits.
    fn report_answer(&self, caller: &mut Option<oneshot::Sender<Answer>>, answer: Answer) {
        let outcome = match &answer {
            Answer::Outcome { replayed: false, .. } => "ok",
            Answer::Outcome { replayed: true, .. } => "replayed",
            Answer::Failure(failure) => failure.code.as_str(),
        };
        info!(self.upstream.log, ""; "event" => "once", "request" => %self.call.request,
            "upstream" => %self.call.row.name, "outcome" => outcome);
        if let Some(caller) = caller.take() {
            // The entry may have disconnected; a repeat gets the outcome.
            let _ = caller.send(answer);
        }
    }

    /// Executes one action and returns the events that result.
    async fn execute(&self, action: Action) -> Vec<Event> {
        match action {
            Action::Txn(txn) => vec![self.txn(&txn).await],
            Action::Read(read) => vec![self.read(&read).await],
            Action::Call => self.send().await,
            Action::Answer(_) => Vec::new(),
        }
    }

    async fn txn(&self, txn: &Txn) -> Event {
        match self.upstream.table.txn(txn).await {
            Ok(answer) => Event::StoreAnswer(answer),
            Err(error) => table_error_event(&error).await,
        }
    }

    async fn read(&self, read: &Read) -> Event {
        match self.upstream.table.read(read).await {
            Ok(rows) => Event::RowRead(rows.rows.into_iter().next()),
            Err(error) => table_error_event(&error).await,
        }
    }

    /// Calls the service, if that is still allowed, within the time limit.
    async fn send(&self) -> Vec<Event> {
        // The claim may have taken long, or the process may have been
        // suspended, so the check whether it may still act is made right before
        // the call.
        if !self.may_send() {
            return vec![Event::NotSent];
        }
        let limit = self.call.deadline.since(clock::now()) + OUTCOME_GRACE;
        let exchanged = tokio::time::timeout(limit.into(), self.call_service()).await;
        exchanged.unwrap_or_else(|_| vec![Event::ServiceLost])
    }

    /// Returns whether the service may still be called.
    fn may_send(&self) -> bool {
        let upstream = &self.upstream;
        let now = clock::now();
        now < self.call.deadline
            && upstream.drain.phase() < Phase::Closing
            && upstream.fleet.may_act(now)
            && upstream.owned_row(self.call.upstream).is_ok()
    }

    async fn call_service(&self) -> Vec<Event> {
        let (call, row) = (&self.call, &self.call.row);
        // A pooled connection may be dead already. The call would then count as
        // lost, and its claim would never get an outcome.
        let path = call::call_path(&call.path);
        let request = call::request(&path, Some(&call.idempotency), call.body.clone());
        let Some(request) = request else { return vec![Event::NotSent] };
        let sent = self.upstream.clients.send_unpooled(&row.address, request).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(error) if error.is_unsent() => return vec![Event::NotSent],
            Err(_) => return vec![Event::ServiceLost],
        };
        let status = answer.status().as_u16();
        let answered = match answer.read(call::MAX_ANSWER_BYTES).await {
            Ok(body) => Event::ServiceAnswered(Outcome { status, body: Some(body.to_vec()) }),
            Err(_) => Event::ServiceLost,
        };
        vec![Event::Sent, answered]
    }
}

/// Pauses, then returns the event for a request that the table did not answer.
async fn table_error_event(error: &TableError) -> Event {
    tokio::time::sleep(TABLE_RETRY_PAUSE).await;
    match error {
        TableError::Unreached(_) => Event::StoreRefused,
        TableError::Lost(_) | TableError::Unreadable { .. } => Event::StoreLost,
    }
}
