//! Admission of requests within the organisation's rate and burst.
//!
//! `kingcupbay_core::share` makes the decisions. [`peer`] sends and receives
//! messages between entries, and [`epoch`] reads and writes the reports in the
//! table. Here a request waits for its tokens, and its [`Reservation`] returns
//! those it did not use.

use std::{cell::RefCell, rc::Rc, time::Duration};

use kingcupbay_core::{
    id::OrganisationId,
    share::{
        plan::{Holder, Plan, Report},
        shares::{self as core, Action, Settings, Verdict},
    },
    time::{Instant, Span},
    wire::error::{Code, Failure},
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{clock, fleet::Fleet, http::client::Clients, store::table::Table};

mod epoch;
mod peer;

pub(crate) use peer::{PEER_PATH, handle};

/// Pause between two ticks of the core, which send due messages to peers.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that a new entry waits for its grant before it accepts requests
/// and asks its peers for shares. A dead entry that is still a member delays
/// every grant.
const GRANT_WAIT: Span = Span::from_secs(6);

/// Longest hand-over at a planned stop. Shares left after it are reclaimed in
/// the next epoch.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// This entry's shares of every organisation.
pub(crate) struct Shares {
    core: RefCell<core::Shares>,
    /// This entry's report while its row is not known to hold it.
    unwritten: RefCell<Option<Report>>,
    /// Time at which the first epoch was entered.
    entered: RefCell<Option<Instant>>,
    /// Wakes the waiting requests at [`Action::Retry`].
    retry: Notify,
    fleet: Rc<Fleet>,
    table: Table,
    clients: Clients,
    log: Logger,
}

/// Tokens reserved for one request; unused ones are returned when it is dropped.
pub(crate) struct Reservation {
    shares: Rc<Shares>,
    inner: Option<core::Reservation>,
    used: u64,
}

impl Shares {
    /// Creates the shares of the entry with this incarnation, without any share.
    pub(crate) fn new(
        incarnation: u64,
        fleet: Rc<Fleet>,
        table: Table,
        clients: Clients,
        log: Logger,
    ) -> Shares {
        let core = core::Shares::new(Holder(incarnation), Settings::default());
        Shares {
            core: RefCell::new(core),
            unwritten: RefCell::new(None),
            entered: RefCell::new(None),
            retry: Notify::new(),
            fleet,
            table,
            clients,
            log,
        }
    }

    /// Reserves `tokens` for a request of `organisation`, waiting for shares of
    /// peers if needed. Fails if the request is refused.
    pub(crate) async fn reserve(
        self: &Rc<Shares>,
        organisation: OrganisationId,
        tokens: u64,
    ) -> Result<Reservation, Failure> {
        let since = clock::now();
        let mut now = since;
        loop {
            self.sync_config(now);
            let retry = self.retry.notified();
            // Read anew in each round: the process may be paused at an await.
            let standing = self.fleet.may_act(now);
            let verdict = self.core.borrow_mut().admit(now, since, organisation, tokens, standing);
            let until = match verdict {
                Verdict::Granted(inner) => {
                    return Ok(Reservation { shares: self.clone(), inner: Some(inner), used: 0 });
                }
                Verdict::Refused { code, retry_after } => return Err(refusal(code, retry_after)),
                Verdict::Pending { actions, until } => {
                    self.execute(actions);
                    until
                }
            };
            let wait = tokio::time::sleep(until.since(clock::now()).into());
            tokio::select! {
                () = retry => {}
                () = wait => {}
            }
            now = clock::now();
        }
    }

    /// Whether the entry may receive requests: it holds a share or its grant, or
    /// it has waited [`GRANT_WAIT`] for one.
    pub(crate) fn ready(&self, now: Instant) -> bool {
        let core = self.core.borrow();
        let holds = core.shares(now).any(|(_, share)| !share.is_empty());
        let waited = self.entered.borrow().is_some_and(|at| now.since(at) >= GRANT_WAIT);
        holds || core.has_grant() || waited
    }

    /// Returns the shares for a dump, one line each.
    pub(crate) fn dump(&self) -> String {
        let core = self.core.borrow();
        let config = self.fleet.config();
        let line = |(id, share): (OrganisationId, kingcupbay_core::share::bucket::Share)| {
            let (capacity, level) = (share.capacity.as_tokens(), share.level.as_tokens());
            let rate = share.rate;
            let name = config.organisations.get(id).map_or("removed", |row| row.name.as_str());
            format!("share organisation={name} rate={rate} capacity={capacity} level={level}\n")
        };
        let lines: String = core.shares(clock::now()).map(line).collect();
        format!("shares epoch={} settled={}\n{lines}", core.epoch(), core.has_grant())
    }

    /// Enters the epoch of the configuration in use, if it is a new one, and
    /// passes the number in force to the core.
    fn sync_config(self: &Rc<Shares>, now: Instant) {
        let config = self.fleet.config();
        if config.shares > self.core.borrow().epoch() {
            info!(self.log, ""; "event" => "share_epoch", "epoch" => config.shares.0);
            let actions = self.core.borrow_mut().on_plan(now, Plan::from_config(&config));
            if self.core.borrow().report().is_some() {
                self.entered.borrow_mut().get_or_insert(now);
            }
            self.execute(actions);
        }
        let number = self.fleet.in_force();
        let actions = self.core.borrow_mut().on_in_force(now, number);
        self.execute(actions);
    }

    /// Executes the actions of the core.
    fn execute(self: &Rc<Shares>, actions: Vec<Action>) {
        let mut envelopes = Vec::new();
        for action in actions {
            match action {
                Action::Send(envelope) => envelopes.push(envelope),
                Action::Report(report) => *self.unwritten.borrow_mut() = Some(report),
                Action::Retry(_) => self.retry.notify_waiters(),
            }
        }
        self.send(envelopes);
    }
}

impl Reservation {
    /// Records how many tokens the request has used so far.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(inner) = self.inner.take() {
            self.shares.core.borrow_mut().settle(clock::now(), inner, self.used);
        }
    }
}

fn refusal(code: Code, retry_after: Option<Span>) -> Failure {
    let message = match code {
        Code::OverBurst => "the request may use more tokens than the organisation's burst",
        Code::OverRate => "the organisation is over its rate",
        _ => "this host cannot confirm the organisation's rate",
    };
    let failure = Failure::not_run(code, message);
    match (code, retry_after) {
        (Code::OverBurst, _) => failure,
        (_, Some(span)) => failure.after(span),
        (_, None) => failure.after(Span::from_secs(1)),
    }
}

/// Runs the shares of an entry until the daemon ends.
pub(crate) async fn keep(shares: Rc<Shares>) {
    actix_rt::spawn(epoch::keep(shares.clone()));
    loop {
        shares.sync_config(clock::now());
        let actions = shares.core.borrow_mut().on_tick(clock::now());
        shares.execute(actions);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Hands all shares over to the remaining entries.
pub(crate) async fn hand_over(shares: Rc<Shares>) {
    let actions = shares.core.borrow_mut().on_stop(clock::now());
    shares.execute(actions);
    let handed_over = async {
        while !shares.core.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let actions = shares.core.borrow_mut().on_tick(clock::now());
            shares.execute(actions);
        }
    };
    let whole = tokio::time::timeout(HAND_OVER_TIMEOUT, handed_over).await.is_ok();
    info!(shares.log, ""; "event" => "shares_handed_over", "whole" => whole);
}
