//! The shares of one entry: epochs, admission and transfers.

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
    /// How long after a configuration is held by a majority a holder that it
    /// removed may still have standing: the freshness bound of `standing`,
    /// and what the clocks of two hosts may differ over it.
    pub reclaim_delay: Span,
    /// Longest that a request waits for tokens of peers.
    pub ask_wait: Span,
    /// Longest that a request waits for the first grant of its organisation.
    pub grant_wait: Span,
    /// How long a transfer waits for its receipt before it is sent again.
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

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this. It may get lost; nothing need be told about that.
    Send(Envelope),
    /// Write this to its row, once, until it is known to be there.
    Report(Report),
    /// Something came in: ask again for requests of this organisation that
    /// were [`Verdict::Pending`].
    Retry(OrganisationId),
}

/// Tokens taken for one request. It cannot be copied, so it is settled once.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    organisation: OrganisationId,
    id: ReservationId,
}

/// Whether a request may run.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may; settle the reservation at its end.
    Granted(Reservation),
    /// Perhaps peers have enough: carry out the actions, ask again at
    /// [`Action::Retry`], and at `until` at the latest.
    Pending {
        /// Questions to peers.
        actions: Vec<Action>,
        /// Ask again by then.
        until: Instant,
    },
    /// It may not, and has not run.
    Refused {
        /// Why.
        code: Code,
        /// When the organisation's bucket should have what is missing.
        retry_after: Option<Span>,
    },
}

/// One organisation at this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    pub(crate) bucket: Bucket,
    /// Whether anything of it was ever held here.
    used: bool,
    pub(crate) demand: Demand,
    /// What a waiting request needs, and until when it waits.
    pub(crate) waiting: Option<(Instant, Amount)>,
}

/// The shares of one entry.
///
/// Invariant, over all entries of an epoch: what is in buckets, in transfers
/// not taken yet and in grants not taken yet sums to at most each
/// organisation's rate and burst. It holds because a giver deducts before it
/// sends, a taker adds a transfer once and only within the epoch, and grants
/// are divided from what the reports of all holders leave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    pub(crate) me: Holder,
    pub(crate) settings: Settings,
    pub(crate) plan: Plan,
    /// Made at the start of the epoch; none when this entry is not a holder.
    report: Option<Report>,
    reports: BTreeMap<Holder, Report>,
    /// When this entry learned that a majority holds the epoch.
    in_force: Option<Instant>,
    /// What is due when old holders' standing has lapsed.
    grant: Option<Grant>,
    pub(crate) accounts: BTreeMap<OrganisationId, Account>,
    pub(crate) ledger: Ledger,
    pub(crate) peers: BTreeMap<Holder, Peer>,
    /// Questions without an answer, and when they were sent.
    pub(crate) pending_asks: BTreeMap<(OrganisationId, Holder), Instant>,
    /// Holders that said they are stopping.
    pub(crate) leaving: BTreeSet<Holder>,
    pub(crate) stopping: bool,
    /// Peers told so far, where not all are told at each tick.
    pub(crate) rotation: usize,
}

impl Shares {
    /// An entry that holds nothing yet.
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

    /// The epoch this entry is in.
    pub fn epoch(&self) -> Number {
        self.plan.epoch
    }

    /// The report of this epoch, to be written to its row.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Holders whose reports are still missing here; read their rows.
    pub fn missing_reports(&self) -> impl Iterator<Item = Holder> {
        let holders = self.plan.holders.iter().copied();
        holders.filter(|holder| self.report.is_some() && !self.reports.contains_key(holder))
    }

    /// Whether this entry's grant of the epoch is known and taken.
    pub fn has_grant(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| grant.reclaimed.is_empty())
    }

    /// Every organisation known here with its share as it is at `now`.
    pub fn shares(&self, now: Instant) -> impl Iterator<Item = (OrganisationId, Share)> {
        self.accounts.iter().map(move |(&id, account)| (id, account.bucket.share_at(now)))
    }

    /// Whether the division that may give this entry the first of an
    /// organisation is under way. The callers of a new organisation would be
    /// refused for as long as the reports travel.
    fn is_granting(&self, organisation: OrganisationId) -> bool {
        let used = self.accounts.get(&organisation).is_some_and(|account| account.used);
        self.report.is_some() && self.grant.is_none() && !used
    }

    /// The share of an organisation as it is at `now`.
    pub fn share(&self, now: Instant, organisation: OrganisationId) -> Share {
        self.accounts
            .get(&organisation)
            .map(|account| account.bucket.share_at(now))
            .unwrap_or_default()
    }

    /// What is on its way from here and not known to have arrived.
    pub fn outstanding(&self) -> impl Iterator<Item = &Part> {
        self.ledger.outstanding()
    }

    /// Enters the epoch of `plan`. From here on transfers of the epoch before
    /// are neither sent again nor taken, so what this entry holds now is its
    /// to report; a lost transfer is in nobody's report and is granted anew.
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

    /// Takes in reports as read from their rows.
    pub fn on_reports(&mut self, now: Instant, reports: &[Report]) -> Vec<Action> {
        for report in reports.iter().filter(|report| report.epoch == self.plan.epoch) {
            if self.plan.holders.contains(&report.holder) {
                self.reports.entry(report.holder).or_insert_with(|| report.clone());
            }
        }
        self.settle_grant(now)
    }

    /// A majority of the members holds configuration `number`.
    pub fn on_in_force(&mut self, now: Instant, number: Number) -> Vec<Action> {
        if number >= self.plan.epoch && self.in_force.is_none() {
            self.in_force = Some(now);
        }
        self.settle_grant(now)
    }

    /// Whether a request of `tokens`, which arrived at `since`, may run. At
    /// the first time of asking `now` is `since`.
    ///
    /// `standing` is asked by the caller at this very moment: a holder that
    /// was removed may have been paused, and others may have its share.
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
        // A grant may have come due; the action wakes requests that wait.
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

    /// Ends a reservation of which `used` tokens were used.
    pub fn settle(&mut self, now: Instant, reservation: Reservation, used: u64) {
        if let Some(account) = self.accounts.get_mut(&reservation.organisation) {
            let back = account.bucket.settle(now, reservation.id, Amount::from_tokens(used));
            account.demand.subtract(back);
        }
    }

    /// Takes in a message of another entry.
    pub fn on_message(&mut self, now: Instant, envelope: &Envelope) -> Vec<Action> {
        let Envelope { from, to, epoch, ref message } = *envelope;
        let known = self.plan.holders.contains(&from) && from != self.me;
        // A message of another epoch may carry what a report left out and a
        // grant gave out again.
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

    /// Sends transfers without a receipt again.
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

    /// What may be given to `from`. Two entries that are both short would
    /// hand the same tokens to and fro and both refuse; the lesser holder
    /// keeps what its waiting request needs, the greater one gives.
    fn spare_level(&mut self, now: Instant, from: Holder, organisation: OrganisationId) -> Amount {
        let me = self.me;
        let account = self.account(now, organisation);
        let level = account.bucket.share_at(now).level;
        match account.waiting {
            Some((until, want)) if now < until && me < from => level.saturating_sub(want),
            _ => level,
        }
    }

    /// Deducts shares here and sends them to `peer`.
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
        // A newcomer cannot witness that an organisation is new.
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

    /// Takes this entry's grant of the epoch as far as it is due.
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
        // Peers that come to have something are asked, so the whole
        // organisation's rate works towards what is missing.
        let known = self.total_peer_level(now, organisation);
        let retry_after = missing.saturating_sub(known).refill_time(total.rate);
        Verdict::Refused { code: Code::OverRate, retry_after }
    }
}
