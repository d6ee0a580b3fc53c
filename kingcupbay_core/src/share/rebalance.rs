//! Rebalancing of shares towards the entries whose callers use them.

use std::{collections::BTreeMap, ops::Add};

use super::{
    amount::{Amount, scale},
    bucket::Share,
    message::{Ask, Message, Slack},
    plan::Holder,
    shares::{Action, Shares},
};
use crate::{
    id::OrganisationId,
    time::{Instant, Span},
};

/// Time without slack from a peer after which it gets no shares and takes no part
/// in rebalancing. It may be dead, and what a dead peer holds is out of use until
/// the next epoch.
const PEER_TIMEOUT: Span = Span::from_secs(3);

/// Most peers that get the slack at one tick; the others follow at later ticks.
/// If each entry sent to all others, the traffic of one host would grow with the
/// number of entries. At 40 entries and two ticks a second each peer gets a
/// message every 2.5 s, within [`PEER_TIMEOUT`].
const RECIPIENTS_MAX: usize = 8;

/// Age up to which a peer's slack can show that the peer has no tokens to ask
/// for. Otherwise an organisation far over its rate would cause a message to
/// every peer for every request.
const FRESH_RECORD_AGE: Span = Span::from_millis(100);

/// Shortest period over which one sample of the demand is taken.
const SAMPLE_PERIOD_MIN: Span = Span::from_millis(200);

/// Divisor of the total: an excess of at most this fraction is not moved, so
/// that noise does not cause transfers.
const DEAD_BAND_DIVISOR: u64 = 24;

/// Demand for tokens by callers of one organisation at this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Demand {
    /// Moving average, in tokens a second.
    rate: u64,
    /// Tokens requested since the last sample, less those given back.
    used: Amount,
    /// Time of the last sample.
    sampled_at: Instant,
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Demand {
        Demand { rate: 0, used: Amount::ZERO, sampled_at: now }
    }

    pub(crate) fn add(&mut self, amount: Amount) {
        self.used += amount;
    }

    pub(crate) fn subtract(&mut self, amount: Amount) {
        self.used = self.used.saturating_sub(amount);
    }

    /// Takes a sample once its period is over and moves the average a quarter of
    /// the way towards it.
    fn sample(&mut self, now: Instant) {
        let span = now.since(self.sampled_at);
        if span >= SAMPLE_PERIOD_MIN {
            let rate = self.used.as_micros() / span.as_micros();
            self.rate = (3 * self.rate + rate).div_ceil(4);
            self.used = Amount::ZERO;
            self.sampled_at = now;
        }
        if self.rate == 1 && self.used == Amount::ZERO {
            self.rate = 0;
        }
    }
}

/// Last slack received from one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// Time of the last message with slack.
    last_seen: Instant,
    /// Slack by organisation, and the time it was received.
    slack: BTreeMap<OrganisationId, (Instant, Slack)>,
}

/// Entry that takes part in the rebalancing of one organisation.
#[derive(Clone, Copy)]
struct Participant {
    holder: Holder,
    demand: u64,
    share: Share,
}

impl Shares {
    /// Returns the share and demand of every organisation at this entry, for its
    /// peers. Organisations without demand here and at all peers are left out.
    pub fn slack(&self, now: Instant) -> Vec<Slack> {
        let wanted = |id: &OrganisationId| {
            self.peers.values().any(|peer| peer.slack.get(id).is_some_and(|s| s.1.demand > 0))
        };
        let all = self.accounts.keys().filter_map(|&id| self.slack_of(now, id));
        all.filter(|slack| slack.demand > 0 || wanted(&slack.organisation)).collect()
    }

    /// Does the periodic work: samples demand, sends slack to peers, sends
    /// transfers without a receipt again and moves shares towards demand.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.settle_grant(now);
        actions.extend(self.resend(now));
        if self.report().is_none() {
            return actions;
        }
        if self.stopping {
            actions.extend(self.hand_over(now));
            return actions;
        }
        self.accounts.values_mut().for_each(|account| account.demand.sample(now));
        let slack = self.slack(now);
        for peer in self.next_recipients() {
            actions.push(self.send(peer, Message::Slack(slack.clone())));
        }
        actions.extend(self.rebalance(now));
        actions
    }

    /// Begins a planned stop, in which every share goes to peers that stay. The
    /// caller calls [`on_tick`](Shares::on_tick) until
    /// [`is_empty`](Shares::is_empty).
    pub fn on_stop(&mut self, now: Instant) -> Vec<Action> {
        self.stopping = true;
        let leave = |peer| self.send(peer, Message::Leaving);
        let mut actions: Vec<_> = self.active_peers().into_iter().map(leave).collect();
        actions.extend(self.hand_over(now));
        actions
    }

    /// Returns whether this entry holds nothing and every transfer is
    /// acknowledged.
    pub fn is_empty(&self) -> bool {
        let empty = self.accounts.values().all(|account| account.bucket.share().is_empty());
        empty && self.ledger.all_acknowledged()
    }

    /// Returns the share and demand of one organisation at this entry.
    pub(crate) fn slack_of(&self, now: Instant, organisation: OrganisationId) -> Option<Slack> {
        let account = self.accounts.get(&organisation)?;
        let share = account.bucket.share_at(now);
        Some(Slack { organisation, demand: account.demand.rate, share })
    }

    /// Records the slack of a peer and closes the asks that it answers.
    pub(crate) fn record_slack(
        &mut self,
        now: Instant,
        from: Holder,
        slack: &[Slack],
    ) -> Vec<Action> {
        if self.leaving.contains(&from) {
            return Vec::new();
        }
        let peer = self.peers.entry(from).or_default();
        peer.last_seen = now;
        let mut actions = Vec::new();
        for record in slack {
            peer.slack.insert(record.organisation, (now, *record));
            if self.pending_asks.remove(&(record.organisation, from)).is_some() {
                actions.push(Action::Retry(record.organisation));
            }
        }
        actions
    }

    /// Returns whether an ask for the organisation still waits for its answer.
    pub(crate) fn is_asking(&self, now: Instant, organisation: OrganisationId) -> bool {
        let first = (organisation, Holder(0));
        let last = (organisation, Holder(u64::MAX));
        let mut open = self.pending_asks.range(first..=last);
        open.any(|(_, &at)| now.since(at) < self.settings.ask_wait)
    }

    /// Asks the peers that should have the missing tokens, those with the
    /// highest estimated level first. A peer is not asked again while an ask to
    /// it is pending. Asks nobody when fresh records show that all candidates
    /// together have less than is missing.
    pub(crate) fn ask_peers(
        &mut self,
        now: Instant,
        organisation: OrganisationId,
        missing: Amount,
    ) -> Vec<Action> {
        let mut candidates = Vec::new();
        let mut stale = false;
        for peer in self.active_peers() {
            let (level, fresh) = self.estimate_level(now, organisation, peer);
            let asked = self.pending_asks.get(&(organisation, peer));
            let open = asked.is_some_and(|&at| now.since(at) < self.settings.ask_wait);
            stale |= open || !fresh;
            if !open && level > Amount::ZERO {
                candidates.push((level, peer));
            }
        }
        candidates.sort_by_key(|&(level, peer)| (std::cmp::Reverse(level), peer));
        let known = candidates.iter().fold(Amount::ZERO, |sum, &(level, _)| sum + level);
        if known < missing && !stale {
            return Vec::new();
        }
        let mut left = missing;
        let mut actions = Vec::new();
        for (level, peer) in candidates {
            if left == Amount::ZERO {
                break;
            }
            self.pending_asks.insert((organisation, peer), now);
            actions.push(self.send(peer, Message::Ask(Ask { organisation, missing: left })));
            left = left.saturating_sub(level);
        }
        actions
    }

    /// Returns the sum of the levels that peers should have at `now`.
    pub(crate) fn total_peer_level(&self, now: Instant, organisation: OrganisationId) -> Amount {
        let levels = self
            .active_peers()
            .into_iter()
            .map(|peer| self.estimate_level(now, organisation, peer).0);
        levels.fold(Amount::ZERO, Amount::add)
    }

    /// Estimates the level of `peer` at `now`, and whether its record is fresh.
    /// A peer without a record is assumed to have an equal part of the burst.
    fn estimate_level(
        &self,
        now: Instant,
        organisation: OrganisationId,
        peer: Holder,
    ) -> (Amount, bool) {
        let record = self.peers.get(&peer).and_then(|peer| peer.slack.get(&organisation));
        match record {
            Some(&(at, slack)) => {
                let age = now.since(at);
                let surplus = slack.share.rate.saturating_sub(slack.demand);
                let level = slack.share.level + Amount::refill(surplus, age);
                (level.min(slack.share.capacity), age <= FRESH_RECORD_AGE)
            }
            None => {
                let burst = self.plan.totals.get(&organisation).map_or(0, |total| total.burst);
                (Amount::from_tokens(burst / self.plan.holders.len().max(1) as u64), false)
            }
        }
    }

    /// Returns the peers that get this entry's slack at this tick.
    fn next_recipients(&mut self) -> Vec<Holder> {
        let mut peers = self.active_peers();
        if peers.len() > RECIPIENTS_MAX {
            let first = self.rotation % peers.len();
            peers.rotate_left(first);
            peers.truncate(RECIPIENTS_MAX);
            self.rotation += RECIPIENTS_MAX;
        }
        peers
    }

    /// Returns the holders other than this one that are not stopping.
    fn active_peers(&self) -> Vec<Holder> {
        let others = self.plan.holders.iter().copied();
        others.filter(|&peer| peer != self.me && !self.leaving.contains(&peer)).collect()
    }

    /// Returns the active peers whose slack came within [`PEER_TIMEOUT`].
    fn live_peers(&self, now: Instant) -> Vec<Holder> {
        let seen = |peer: &Holder| self.peers.get(peer).map(|peer| peer.last_seen);
        let live = |peer: &Holder| seen(peer).is_some_and(|seen| now.since(seen) < PEER_TIMEOUT);
        self.active_peers().into_iter().filter(live).collect()
    }

    /// Sends an equal part of all shares to each live peer, or to each active one
    /// if none is live.
    fn hand_over(&mut self, now: Instant) -> Vec<Action> {
        let mut peers = self.live_peers(now);
        if peers.is_empty() {
            peers = self.active_peers();
        }
        peers.retain(|&peer| self.ledger.can_send(peer));
        let mut actions = Vec::new();
        for (index, &peer) in peers.iter().enumerate() {
            let left = (peers.len() - index) as u64;
            let mut wanted = Vec::new();
            for (&organisation, account) in &self.accounts {
                let Share { rate, capacity, level } = account.bucket.share_at(now);
                let capacity = capacity.scale(1, left);
                let share = Share { rate: rate / left, capacity, level: level.scale(1, left) };
                if !share.is_empty() {
                    wanted.push((organisation, share));
                }
            }
            if !wanted.is_empty() {
                actions.push(self.send_transfer(now, peer, &wanted));
            }
        }
        actions
    }

    /// Sends shares to the peers that have more demand for them.
    fn rebalance(&mut self, now: Instant) -> Vec<Action> {
        let mut flows: BTreeMap<Holder, Vec<(OrganisationId, Share)>> = BTreeMap::new();
        let organisations: Vec<_> = self.accounts.keys().copied().collect();
        for organisation in organisations {
            for (peer, share) in self.planned_transfers(now, organisation) {
                flows.entry(peer).or_default().push((organisation, share));
            }
        }
        // The peer's record may not include a transfer without a receipt.
        flows.retain(|&peer, _| self.ledger.all_acknowledged_by(peer));
        flows.into_iter().map(|(peer, wanted)| self.send_transfer(now, peer, &wanted)).collect()
    }

    /// Computes the shares of one organisation to send, and their receivers. All
    /// entries compute the same targets from the same records, and each divides
    /// its excess over the deficits, so together they do not send too much.
    fn planned_transfers(
        &self,
        now: Instant,
        organisation: OrganisationId,
    ) -> Vec<(Holder, Share)> {
        let all = self.participants(now, organisation);
        let demand: u64 = all.iter().map(|one| one.demand).sum();
        if demand == 0 || all.len() < 2 {
            return Vec::new();
        }
        let count = all.len() as u64;
        let by_demand = |whole: u64, one: &Participant| scale(whole, one.demand, demand);
        let even = |whole: u64| whole / count;
        // Rate and headroom move towards demand. Headroom is needed there
        // because refills and unused tokens of settled reservations are lost
        // without it. Half of the level stays spread evenly over all entries,
        // which bridges the loss of an entry.
        let rate =
            divide_excess(&all, rate_of, |whole, one| even(whole / 2) + by_demand(whole / 2, one));
        let headroom = divide_excess(&all, headroom_of, |whole, one| {
            even(whole / 4) + by_demand(whole / 4 * 3, one)
        });
        let level =
            divide_excess(&all, level_of, |whole, one| even(whole / 2) + by_demand(whole / 2, one));
        let mut flows = Vec::new();
        for (index, peer) in all.iter().enumerate().skip(1) {
            let level = Amount::from_micros(level[index]);
            let capacity = Amount::from_micros(headroom[index]) + level;
            let share = Share { rate: rate[index], capacity, level };
            if !share.is_empty() {
                flows.push((peer.holder, share));
            }
        }
        flows
    }

    /// Returns this entry first, then the live peers.
    fn participants(&self, now: Instant, organisation: OrganisationId) -> Vec<Participant> {
        let own = self.slack_of(now, organisation);
        let mut all = vec![participant(self.me, own)];
        for peer in self.live_peers(now) {
            let record = self.peers[&peer].slack.get(&organisation).map(|&(_, slack)| slack);
            let level = self.estimate_level(now, organisation, peer).0;
            let record =
                record.map(|slack| Slack { share: Share { level, ..slack.share }, ..slack });
            all.push(participant(peer, record));
        }
        all
    }
}

fn participant(holder: Holder, slack: Option<Slack>) -> Participant {
    let demand = slack.map_or(0, |slack| slack.demand);
    Participant { holder, demand, share: slack.map(|slack| slack.share).unwrap_or_default() }
}

fn rate_of(share: &Share) -> u64 {
    share.rate
}

fn headroom_of(share: &Share) -> u64 {
    share.capacity.saturating_sub(share.level).as_micros()
}

fn level_of(share: &Share) -> u64 {
    share.level.as_micros()
}

/// Divides the excess that the first of `all` has of one field over the others'
/// deficits.
fn divide_excess(
    all: &[Participant],
    part: fn(&Share) -> u64,
    target: impl Fn(u64, &Participant) -> u64,
) -> Vec<u64> {
    let whole: u64 = all.iter().map(|one| part(&one.share)).sum();
    let target = |one: &Participant| target(whole, one);
    let excess = part(&all[0].share).saturating_sub(target(&all[0]));
    let deficit = |one: &Participant| target(one).saturating_sub(part(&one.share));
    let deficits: u64 = all.iter().map(deficit).sum();
    if excess <= whole / DEAD_BAND_DIVISOR || deficits == 0 {
        return vec![0; all.len()];
    }
    // Only half of the excess moves at a time, as the records are not current.
    let moved = excess.div_ceil(2).min(deficits);
    all.iter().map(|one| scale(moved, deficit(one), deficits)).collect()
}
