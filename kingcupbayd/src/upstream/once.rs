//! Calls that run at most once: carries out what `kingcupbay_core::claim`
//! decides.
//!
//! Each call runs in a task of its own, which outlives its caller's wait: an
//! entry that goes away midway must not keep the outcome from being written.

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
use crate::{
    clock,
    entry::new_request_id,
    http::{body, client::never_left},
    server::drain::Phase,
    store::table::TableError,
};

/// Pause after a call of the table that gave no answer.
const PAUSE: Duration = Duration::from_millis(100);

/// When to come back if the table gives no fencing number.
const RETRY: Span = Span::from_secs(1);

/// Longest wait for a fencing number, which takes two exchanges with the
/// table. While it is away, a call is given up on and not held any longer.
const NUMBER_WAIT: Span = Span::from_secs(2);

/// How long after its caller's deadline a call may still bring its outcome,
/// for a repeat to find. A planned stop waits as long at most.
const OVERTIME: Span = Span::from_secs(10);

/// Fencing numbers of plain services, taken with the first call to each.
pub(super) type Numbers = BTreeMap<UpstreamId, Rc<OnceCell<u64>>>;

/// What is to be called.
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) organisation: OrganisationId,
    pub(super) upstream: UpstreamId,
    pub(super) row: Row,
    pub(super) route: RouteId,
    pub(super) path: String,
    pub(super) idempotency: String,
    pub(super) body: Vec<u8>,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
}

/// Runs a call at most once and tells how it ended.
pub(super) async fn run(upstream: Rc<Upstream>, call: Call) -> Result<RunEvent, Failure> {
    let left = call.deadline.since(clock::now()).min(NUMBER_WAIT);
    let number = tokio::time::timeout(left.into(), number(&upstream, &call)).await;
    let number = number.map_err(|_| {
        Failure::not_run(Code::StoreDown, "the table gives no fencing number").after(RETRY)
    })?;
    let attempt = Attempt {
        key: row_key(call.organisation, &call.idempotency),
        digest: Digest::of(call.route, &call.path, &call.body),
        // Not the request's id: an entry may send one request to two
        // upstreams, and each must tell its own claim from the other's.
        id: new_request_id(),
        claimer: upstream.settings.daemon.host.clone(),
        fence: Condition { key: fence::key(&call.row.name), revision: number },
    };
    let (caller, answer) = oneshot::channel();
    actix_rt::spawn(drive(Once { upstream, call }, attempt, caller));
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

/// This daemon's fencing number for the upstream. It is never taken anew: a
/// daemon that has a successor claims nothing more.
async fn number(upstream: &Rc<Upstream>, call: &Call) -> u64 {
    let cell = upstream.numbers.borrow_mut().entry(call.upstream).or_default().clone();
    // Claims are conditional on the number, so nothing that a predecessor has
    // in flight needs to be waited for.
    let taken = cell.get_or_init(|| fence::acquire(upstream, &call.row.name, true));
    *taken.await
}

/// Takes one attempt to its end, and tells the caller on the way.
async fn drive(once: Once, attempt: Attempt, caller: oneshot::Sender<Answer>) {
    // A planned stop waits for this, also when the entry has gone.
    let running = once.upstream.drain.connection();
    let mut caller = Some(caller);
    let (mut claim, actions) = Claim::start(attempt);
    let mut actions = VecDeque::from(actions);
    let left = once.call.deadline.since(clock::now());
    let mut deadline = pin!(tokio::time::sleep(left.into()));
    let mut late = false;
    while let Some(action) = actions.pop_front() {
        if let Action::Answer(answer) = action {
            once.tell(&mut caller, answer);
            continue;
        }
        let mut work = pin!(once.carry_out(action));
        let events = loop {
            tokio::select! {
                events = &mut work => break events,
                () = &mut deadline, if !late => {
                    late = true;
                    for action in claim.handle(Event::Deadline) {
                        let Action::Answer(answer) = action else {
                            unreachable!("a deadline only brings an answer")
                        };
                        once.tell(&mut caller, answer);
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

/// A call on its way.
struct Once {
    upstream: Rc<Upstream>,
    call: Call,
}

impl Once {
    fn tell(&self, caller: &mut Option<oneshot::Sender<Answer>>, answer: Answer) {
        let outcome = match &answer {
            Answer::Outcome { replayed: false, .. } => "ok",
            Answer::Outcome { replayed: true, .. } => "replayed",
            Answer::Failure(failure) => failure.code.as_str(),
        };
        info!(self.upstream.log, ""; "event" => "once", "request" => %self.call.request,
            "upstream" => %self.call.row.name, "outcome" => outcome);
        if let Some(caller) = caller.take() {
            // The entry may have gone; a repeat finds the outcome.
            let _ = caller.send(answer);
        }
    }

    async fn carry_out(&self, action: Action) -> Vec<Event> {
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
            Err(error) => without_answer(&error).await,
        }
    }

    async fn read(&self, read: &Read) -> Event {
        match self.upstream.table.read(read).await {
            Ok(rows) => Event::RowRead(rows.rows.into_iter().next()),
            Err(error) => without_answer(&error).await,
        }
    }

    async fn send(&self) -> Vec<Event> {
        // The claim may have taken long, and the daemon may have been paused:
        // whether it may still act is asked here, at the moment of use.
        if !self.may_send() {
            return vec![Event::NotSent];
        }
        let limit = self.call.deadline.since(clock::now()) + OVERTIME;
        let exchanged = tokio::time::timeout(limit.into(), self.exchange()).await;
        exchanged.unwrap_or_else(|_| vec![Event::ServiceLost])
    }

    fn may_send(&self) -> bool {
        let upstream = &self.upstream;
        let now = clock::now();
        now < self.call.deadline
            && upstream.drain.phase() != Phase::Closing
            && upstream.fleet.may_act(now)
            && upstream.own(self.call.upstream).is_ok()
    }

    async fn exchange(&self) -> Vec<Event> {
        let (call, row) = (&self.call, &self.call.row);
        // A pooled connection may be dead already: the call would count as
        // lost, and its claim would never get an outcome.
        let client = self.upstream.clients.unpooled();
        let request = call::request(&client, row, &call.path, Some(&call.idempotency));
        let mut response = match request.send_body(call.body.clone()).await {
            Ok(response) => response,
            Err(error) if never_left(&error) => return vec![Event::NotSent],
            Err(_) => return vec![Event::ServiceLost],
        };
        let status = response.status().as_u16();
        let answered = match body::whole(&mut response, call::ANSWER_LIMIT).await {
            Ok(body) => Event::ServiceAnswered(Outcome { status, body: Some(body.to_vec()) }),
            Err(_) => Event::ServiceLost,
        };
        vec![Event::Sent, answered]
    }
}

async fn without_answer(error: &TableError) -> Event {
    tokio::time::sleep(PAUSE).await;
    match error {
        TableError::Unreached(_) => Event::StoreRefused,
        TableError::Lost(_) => Event::StoreLost,
    }
}
