//! Shares of one entry: epochs, admission and transfers.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    amount::Amount,
    bucket::{Bucket, ReservationId, Share},
    ledger::Ledger,
    message::{Ask, Envelope, Message, Part, Transfer},
    plan::{Grant, Holder, Plan, Report, compute_grant},
    rebalance::{Demand, Peer},
};
use crate::{
    config::model::Total,
    id::{Number, OrganisationId},
    time::{Instant, Span},
    wire::error::Code,
};

/// Time limits of [`Shares`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Delay before reclaimed shares are granted, from the time a majority
    /// holds the configuration of the epoch. A removed holder may have standing
    /// until then, so this covers the freshness bound of `standing` and the
    /// drift between the clocks of two hosts over it.
    pub reclaim_delay: Span,
    /// Longest wait of a request for tokens from peers.
    pub ask_wait: Span,
    /// Longest wait of a request for the first grant of its organisation.
    pub grant_wait: Span,
    /// Time without a receipt after which a transfer is sent again.
    pub resend_after: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reclaim_delay: Span::from_secs(4),
            ask_wait: Span::from_millis(20),
            grant_wait: Span::from_secs(1),
            resend_after: Span::from_millis(100),
        }
    }
}

/// Action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Sends a message. It may be lost, and a loss need not be reported.
    Send(Envelope),
    /// Writes a report to its row; the write is retried until the row is known
    /// to hold the report.
    Report(Report),
    /// Calls [`Shares::admit`] again for requests of this organisation that are
    /// [`Verdict::Pending`]: shares or an answer of a peer arrived.
    Retry(OrganisationId),
}

/// Tokens reserved for one request. It is not `Clone`, so it is settled at most
/// once.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    organisation: OrganisationId,
    id: ReservationId,
}

/// Answer of [`Shares::admit`]: whether a request may run.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run; its end settles the reservation.
    Granted(Reservation),
    /// Peers may have enough tokens: the caller carries out the actions and
    /// calls [`Shares::admit`] again at [`Action::Retry`] or at `until`,
    /// whichever comes first.
    Pending {
        /// Requests for tokens to peers, among others.
        actions: Vec<Action>,
        /// Time of the next call at the latest.
        until: Instant,
    },
    /// The request may not run, and has not run.
    Refused {
        /// Reason for the refusal.
        code: Code,
        /// Time until the organisation should have the missing tokens; `None`
        /// when that is unknown or never.
        retry_after: Option<Span>,
    },
}

/// State of one organisation at this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    pub(crate) bucket: Bucket,
    /// Whether this entry ever held a share of the organisation.
    used: bool,
    pub(crate) demand: Demand,
    /// Deadline and amount of the last request that waits for tokens.
    pub(crate) waiting: Option<(Instant, Amount)>,
}

/// Shares of one entry.
///
/// Invariant, over all entries of an epoch: the shares in buckets, in transfers
/// not yet accepted and in grants not yet added sum to at most each
/// organisation's rate and burst. It holds because a sender deducts a share
/// before it sends it, a receiver adds a transfer once and only within the
/// epoch, and grants divide only what the reports of all holders leave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    pub(crate) me: Holder,
    pub(crate) settings: Settings,
    pub(crate) plan: Plan,
    /// Report made at the start of the epoch; `None` unless this entry is a
    /// holder.
    report: Option<Report>,
    reports: BTreeMap<Holder, Report>,
    /// When this entry learned that a majority holds the epoch's configuration.
    in_force: Option<Instant>,
    /// Grant of this epoch, less the parts already added.
    grant: Option<Grant>,
    pub(crate) accounts: BTreeMap<OrganisationId, Account>,
    pub(crate) ledger: Ledger,
    pub(crate) peers: BTreeMap<Holder, Peer>,
    /// Send times of [`Message::Ask`]s without an answer.
    pub(crate) pending_asks: BTreeMap<(OrganisationId, Holder), Instant>,
    /// Holders that announced a stop.
    pub(crate) leaving: BTreeSet<Holder>,
    pub(crate) stopping: bool,
    /// Number of slack messages sent in rotation, which selects the next peers
    /// when a tick does not reach all of them.
    pub(crate) rotation: usize,
}

impl Shares {
    /// Creates the state of an entry that holds nothing yet.
    pub fn new(me: Holder, settings: Settings) -> Shares {
        Shares {
            me,
            settings,
            plan: Plan::default(),
            report: None,
            reports: BTreeMap::new(),
            in_force: None,
            grant: None,
            accounts: BTreeMap::new(),
            ledger: Ledger::default(),
            peers: BTreeMap::new(),
            pending_asks: BTreeMap::new(),
            leaving: BTreeSet::new(),
            stopping: false,
            rotation: 0,
        }
    }

    /// Returns the epoch this entry is in.
    pub fn epoch(&self) -> Number {
        self.plan.epoch
    }

    /// Returns the report of this epoch, to be written to its row; `None` unless
    /// this entry is a holder.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Returns the holders whose reports this entry has yet to read from their
    /// rows.
    pub fn missing_reports(&self) -> impl Iterator<Item = Holder> {
        let holders = self.plan.holders.iter().copied();
        holders.filter(|holder| self.report.is_some() && !self.reports.contains_key(holder))
    }

    /// Returns whether this entry's grant of the epoch is known and fully added.
    pub fn has_grant(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| grant.reclaimed.is_empty())
    }

    /// Returns every organisation known here with its share at `now`.
    pub fn shares(&self, now: Instant) -> impl Iterator<Item = (OrganisationId, Share)> {
        self.accounts.iter().map(move |(&id, account)| (id, account.bucket.share_at(now)))
    }

    /// Returns whether a grant may still give this entry its first share of an
    /// organisation. Requests wait for it; callers of a new organisation would
    /// otherwise be refused until all reports have been read.
    fn is_granting(&self, organisation: OrganisationId) -> bool {
        let used = self.accounts.get(&organisation).is_some_and(|account| account.used);
        self.report.is_some() && self.grant.is_none() && !used
    }

    /// Returns the share of an organisation at `now`.
    pub fn share(&self, now: Instant, organisation: OrganisationId) -> Share {
        self.accounts
            .get(&organisation)
            .map(|account| account.bucket.share_at(now))
            .unwrap_or_default()
    }

    /// Returns the shares sent by this entry and not acknowledged yet.
    pub fn outstanding(&self) -> impl Iterator<Item = &Part> {
        self.ledger.outstanding()
    }

    /// Enters the epoch of `plan`. Transfers of the previous epoch are neither
    /// sent again nor accepted from here on, so this entry reports what it
    /// holds now; a lost transfer is in no report and is granted anew.
    pub fn on_plan(&mut self, now: Instant, plan: Plan) -> Vec<Action> {
        if plan.epoch <= self.plan.epoch {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.plan, plan);
        self.report = None;
        self.reports.clear();
        self.in_force = None;
        self.grant = None;
        self.ledger = Ledger::default();
        self.pending_asks.clear();
        self.leaving.clear();
        self.peers.retain(|peer, _| self.plan.holders.contains(peer));
        if !self.plan.holders.contains(&self.me) {
            self.accounts.clear();
            return Vec::new();
        }
        self.rescale(now, &before);
        let report = self.new_report(&before);
        self.reports.insert(self.me, report.clone());
        self.report = Some(report.clone());
        let mut actions = vec![Action::Report(report)];
        actions.extend(self.settle_grant(now));
        actions
    }

    /// Adds reports read from their rows.
    pub fn on_reports(&mut self, now: Instant, reports: &[Report]) -> Vec<Action> {
        for report in reports.iter().filter(|report| report.epoch == self.plan.epoch) {
            if self.plan.holders.contains(&report.holder) {
                self.reports.entry(report.holder).or_insert_with(|| report.clone());
            }
        }
        self.settle_grant(now)
    }

    /// Records that a majority of the members holds configuration `number`.
    pub fn on_in_force(&mut self, now: Instant, number: Number) -> Vec<Action> {
        if number >= self.plan.epoch && self.in_force.is_none() {
            self.in_force = Some(now);
        }
        self.settle_grant(now)
    }

    /// Decides whether a request of `tokens`, which arrived at `since`, may run.
    /// `now` equals `since` at the first call for a request.
    ///
    /// The caller must read `standing` immediately before the call: this entry
    /// may have been removed while it was paused, and others may hold its share.
    pub fn admit(
        &mut self,
        now: Instant,
        since: Instant,
        organisation: OrganisationId,
        tokens: u64,
        standing: bool,
    ) -> Verdict {
        let total = self.plan.totals.get(&organisation).copied().filter(|_| standing);
        let Some(total) = total else {
            return Verdict::Refused { code: Code::NoStanding, retry_after: None };
        };
        if tokens > total.burst {
            return Verdict::Refused { code: Code::OverBurst, retry_after: None };
        }
        // A grant may have become due; its actions retry waiting requests.
        let due = self.settle_grant(now);
        let amount = Amount::from_tokens(tokens);
        let account = self.account(now, organisation);
        if now == since {
            account.demand.add(amount);
        }
        let missing = match account.bucket.reserve(now, amount) {
            Ok(id) => {
                account.waiting = None;
                return Verdict::Granted(Reservation { organisation, id });
            }
            Err(shortage) => shortage.missing,
        };
        let granting = self.is_granting(organisation);
        let wait = if granting { self.settings.grant_wait } else { self.settings.ask_wait };
        let until = since + wait;
        let mut actions = self.ask_peers(now, organisation, missing);
        let asking = !actions.is_empty() || self.is_asking(now, organisation);
        if now >= until || !(asking || granting) {
            return self.refuse(now, organisation, total, missing);
        }
        self.account(now, organisation).waiting = Some((until, amount));
        actions.extend(due);
        Verdict::Pending { actions, until }
    }

    /// Ends a reservation of which `used` tokens were used, and gives back the
    /// rest.
    pub fn settle(&mut self, now: Instant, reservation: Reservation, used: u64) {
        if let Some(account) = self.accounts.get_mut(&reservation.organisation) {
            let back = account.bucket.settle(now, reservation.id, Amount::from_tokens(used));
            account.demand.subtract(back);
        }
    }

    /// Handles a message from another entry.
    pub fn on_message(&mut self, now: Instant, envelope: &Envelope) -> Vec<Action> {
        let Envelope { from, to, epoch, ref message } = *envelope;
        let known = self.plan.holders.contains(&from) && from != self.me;
        // A message of another epoch may carry a share that no report counted
        // and that has been granted to others since.
        if to != self.me || epoch != self.plan.epoch || !known || self.report.is_none() {
            return Vec::new();
        }
        match message {
            Message::Ask(ask) => self.on_ask(now, from, *ask),
            Message::Transfer(transfer) => self.on_transfer(now, from, transfer),
            Message::Receipt { seq, slack } => {
                self.ledger.acknowledge(from, *seq);
                self.record_slack(now, from, slack)
            }
            Message::Slack(slack) => self.record_slack(now, from, slack),
            Message::Leaving => {
                self.leaving.insert(from);
                self.peers.remove(&from);
                Vec::new()
            }
        }
    }

    /// Sends transfers again that have had no receipt for `resend_after`.
    pub fn resend(&mut self, now: Instant) -> Vec<Action> {
        let again = self.ledger.resend(now, self.settings.resend_after);
        let send = |(peer, transfer)| self.send(peer, Message::Transfer(transfer));
        again.into_iter().map(send).collect()
    }

    fn on_ask(&mut self, now: Instant, from: Holder, ask: Ask) -> Vec<Action> {
        let spare = self.spare_level(now, from, ask.organisation);
        if spare == Amount::ZERO || !self.ledger.can_send(from) {
            let slack = self.slack_of(now, ask.organisation).into_iter().collect();
            return vec![self.send(from, Message::Slack(slack))];
        }
        let rest = spare.saturating_sub(ask.missing);
        let level = spare.min(ask.missing) + rest.scale(1, 4);
        let wanted = Share { rate: 0, capacity: level, level };
        vec![self.send_transfer(now, from, &[(ask.organisation, wanted)])]
    }

    /// Returns the level that may be sent to `from`. Two entries that both lack
    /// tokens would send the same tokens back and forth and both refuse, so the
    /// holder with the smaller number keeps what its waiting request needs.
    fn spare_level(&mut self, now: Instant, from: Holder, organisation: OrganisationId) -> Amount {
        let me = self.me;
        let account = self.account(now, organisation);
        let level = account.bucket.share_at(now).level;
        match account.waiting {
            Some((until, needed)) if now < until && me < from => level.saturating_sub(needed),
            _ => level,
        }
    }

    /// Deducts up to the `wanted` shares from this entry and sends them to
    /// `peer`.
    pub(crate) fn send_transfer(
        &mut self,
        now: Instant,
        peer: Holder,
        wanted: &[(OrganisationId, Share)],
    ) -> Action {
        let mut parts = Vec::new();
        for &(organisation, wanted) in wanted {
            let share = self.account(now, organisation).bucket.take(now, wanted);
            parts.push(Part { organisation, share });
        }
        let mut transfer = self.ledger.open_transfer(now, peer, parts);
        let slack = wanted.iter().filter_map(|&(id, _)| self.slack_of(now, id));
        transfer.slack = slack.collect();
        self.send(peer, Message::Transfer(transfer))
    }

    fn on_transfer(&mut self, now: Instant, from: Holder, transfer: &Transfer) -> Vec<Action> {
        let Transfer { seq, floor, parts, slack } = transfer;
        let mut actions = self.record_slack(now, from, slack);
        if self.ledger.accept(from, *seq, *floor) {
            for part in parts {
                self.add(now, part.organisation, part.share);
                self.pending_asks.remove(&(part.organisation, from));
                actions.push(Action::Retry(part.organisation));
            }
        }
        let slack = parts.iter().filter_map(|part| self.slack_of(now, part.organisation));
        let receipt = Message::Receipt { seq: *seq, slack: slack.collect() };
        actions.push(self.send(from, receipt));
        actions
    }

    pub(crate) fn send(&self, to: Holder, message: Message) -> Action {
        Action::Send(Envelope { from: self.me, to, epoch: self.plan.epoch, message })
    }

    pub(crate) fn account(&mut self, now: Instant, organisation: OrganisationId) -> &mut Account {
        self.accounts.entry(organisation).or_insert_with(|| Account {
            bucket: Bucket::new(now, Share::default()),
            used: false,
            demand: Demand::new(now),
            waiting: None,
        })
    }

    fn add(&mut self, now: Instant, organisation: OrganisationId, share: Share) {
        let account = self.account(now, organisation);
        account.bucket.add(now, share);
        account.used = true;
    }

    fn rescale(&mut self, now: Instant, before: &Plan) {
        let (old, new) = (&before.totals, &self.plan.totals);
        self.accounts.retain(|organisation, _| new.contains_key(organisation));
        for (organisation, account) in &mut self.accounts {
            let from = old.get(organisation).copied().unwrap_or_default();
            let to = new[organisation];
            if from != to {
                account.bucket.rescale(now, from, to);
            }
        }
    }

    fn new_report(&self, before: &Plan) -> Report {
        let holding =
            |(&id, account): (&OrganisationId, &Account)| (id, account.bucket.share().into());
        let held =
            self.accounts.iter().map(holding).filter(|(_, held)| *held != Default::default());
        let new = |id: &&OrganisationId| !before.totals.contains_key(id);
        // An entry that was no holder before does not know whether an
        // organisation is new.
        let held_before = before.holders.contains(&self.me);
        let fresh = self.plan.totals.keys().filter(new).filter(|_| held_before);
        Report {
            holder: self.me,
            epoch: self.plan.epoch,
            held: held.collect(),
            used: self
                .accounts
                .iter()
                .filter(|(_, account)| account.used)
                .map(|(&id, _)| id)
                .collect(),
            fresh: fresh.copied().collect(),
        }
    }

    /// Adds the parts of this entry's grant that are due.
    pub(crate) fn settle_grant(&mut self, now: Instant) -> Vec<Action> {
        let mut due = BTreeMap::new();
        if self.grant.is_none() && self.report.is_some() {
            self.grant = compute_grant(&self.plan, &self.reports, self.me);
            if let Some(grant) = &mut self.grant {
                due.append(&mut grant.fresh);
            }
        }
        let lapsed =
            self.in_force.is_some_and(|since| now.since(since) >= self.settings.reclaim_delay);
        if let Some(grant) = self.grant.as_mut().filter(|_| lapsed) {
            due.append(&mut grant.reclaimed);
        }
        let mut actions = Vec::new();
        for (organisation, share) in due {
            self.add(now, organisation, share);
            actions.push(Action::Retry(organisation));
        }
        actions
    }

    fn refuse(
        &mut self,
        now: Instant,
        organisation: OrganisationId,
        total: Total,
        missing: Amount,
    ) -> Verdict {
        self.account(now, organisation).waiting = None;
        // Peers are asked as soon as they should have tokens, so the missing
        // ones are refilled at the organisation's whole rate.
        let known = self.total_peer_level(now, organisation);
        let retry_after = missing.saturating_sub(known).refill_time(total.rate);
        Verdict::Refused { code: Code::OverRate, retry_after }
    }
}
