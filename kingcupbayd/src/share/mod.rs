//! Admission of requests within the organisation's rate and burst.
//!
//! The decisions are the core's. [`peer`] carries messages between entries,
//! [`epoch`] reads and writes the reports in the table; here a request waits
//! for its tokens, and a guard gives back what it did not use.

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

/// Pause between two rounds of records to peers.
const TICK: Duration = Duration::from_millis(500);

/// Longest that a newcomer waits for its grant before it takes requests and
/// asks its peers. A dead entry that is still a member holds up every grant.
const GRANT_WAIT: Span = Span::from_secs(6);

/// Longest hand-over at a planned stop; what is left by then comes back with
/// the next epoch.
const HAND_OVER: Duration = Duration::from_secs(2);

/// This entry's shares of every organisation.
pub(crate) struct Shares {
    core: RefCell<core::Shares>,
    /// A report that is not known to be in its row yet.
    unwritten: RefCell<Option<Report>>,
    /// When the first epoch was entered.
    entered: RefCell<Option<Instant>>,
    /// Told at [`Action::Retry`].
    arrived: Notify,
    fleet: Rc<Fleet>,
    table: Table,
    clients: Clients,
    log: Logger,
}

/// Tokens set aside for one request; the drop gives back what was not used.
pub(crate) struct Reservation {
    shares: Rc<Shares>,
    inner: Option<core::Reservation>,
    used: u64,
}

impl Shares {
    /// The shares of the entry with this incarnation; none yet.
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
            arrived: Notify::new(),
            fleet,
            table,
            clients,
            log,
        }
    }

    /// Sets `tokens` aside for a request of `organisation`, or refuses it.
    pub(crate) async fn reserve(
        self: &Rc<Shares>,
        organisation: OrganisationId,
        tokens: u64,
    ) -> Result<Reservation, Failure> {
        let since = clock::now();
        let mut now = since;
        loop {
            self.follow(now);
            let arrived = self.arrived.notified();
            // Asked here and not kept: the process may be paused at an await.
            let standing = self.fleet.may_act(now);
            let verdict = self.core.borrow_mut().admit(now, since, organisation, tokens, standing);
            let until = match verdict {
                Verdict::Granted(inner) => {
                    return Ok(Reservation { shares: self.clone(), inner: Some(inner), used: 0 });
                }
                Verdict::Refused { code, retry_after } => return Err(refusal(code, retry_after)),
                Verdict::Pending { actions, until } => {
                    self.carry_out(actions);
                    until
                }
            };
            let wait = tokio::time::sleep(until.since(clock::now()).into());
            tokio::select! {
                () = arrived => {}
                () = wait => {}
            }
            now = clock::now();
        }
    }

    /// Whether callers may be sent here: there is a share, or waiting for
    /// one is over.
    pub(crate) fn ready(&self, now: Instant) -> bool {
        let core = self.core.borrow();
        let holds = core.shares(now).any(|(_, share)| !share.is_empty());
        let waited = self.entered.borrow().is_some_and(|at| now.since(at) >= GRANT_WAIT);
        holds || core.has_grant() || waited
    }

    /// The shares, one line each.
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

    /// Enters the epoch of the configuration in use.
    fn follow(self: &Rc<Shares>, now: Instant) {
        let config = self.fleet.config();
        if config.shares > self.core.borrow().epoch() {
            info!(self.log, ""; "event" => "share_epoch", "epoch" => config.shares.0);
            let actions = self.core.borrow_mut().on_plan(now, Plan::from_config(&config));
            if self.core.borrow().report().is_some() {
                self.entered.borrow_mut().get_or_insert(now);
            }
            self.carry_out(actions);
        }
        let number = self.fleet.in_force();
        let actions = self.core.borrow_mut().on_in_force(now, number);
        self.carry_out(actions);
    }

    fn carry_out(self: &Rc<Shares>, actions: Vec<Action>) {
        let mut envelopes = Vec::new();
        for action in actions {
            match action {
                Action::Send(envelope) => envelopes.push(envelope),
                Action::Report(report) => *self.unwritten.borrow_mut() = Some(report),
                Action::Retry(_) => self.arrived.notify_waiters(),
            }
        }
        self.send(envelopes);
    }
}

impl Reservation {
    /// Says how many tokens were used so far.
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

/// Keeps the shares of an entry until the daemon ends.
pub(crate) async fn keep(shares: Rc<Shares>) {
    actix_rt::spawn(epoch::keep(shares.clone()));
    loop {
        shares.follow(clock::now());
        let actions = shares.core.borrow_mut().on_tick(clock::now());
        shares.carry_out(actions);
        tokio::time::sleep(TICK).await;
    }
}

/// Gives every share to the entries that stay.
pub(crate) async fn hand_over(shares: Rc<Shares>) {
    let actions = shares.core.borrow_mut().on_stop(clock::now());
    shares.carry_out(actions);
    let given = async {
        while !shares.core.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let actions = shares.core.borrow_mut().on_tick(clock::now());
            shares.carry_out(actions);
        }
    };
    let whole = tokio::time::timeout(HAND_OVER, given).await.is_ok();
    info!(shares.log, ""; "event" => "shares_handed_over", "whole" => whole);
}
