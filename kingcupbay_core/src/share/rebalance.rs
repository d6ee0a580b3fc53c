//! Where shares move: to entries whose callers use them.

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

/// A peer not heard for this long is neither given to nor counted on; it may
/// be dead, and what it holds is out of use until the next epoch.
const SILENT: Span = Span::from_secs(3);

/// Most peers told at one tick; the others follow in turn. With each entry
/// telling each other one, the bytes of one host would grow with the fleet.
/// At 40 entries and two ticks a second a peer is heard every 2.5 s, within
/// [`SILENT`].
const TOLD: usize = 8;

/// A record is trusted for this long to say that asking is in vain. Without
/// it an organisation far over its rate would cause questions to every peer
/// for every request.
const FRESH: Span = Span::from_millis(100);

/// Demand is averaged over spans at least this long.
const SAMPLE: Span = Span::from_millis(200);

/// Differences below this part of the whole stay, so that noise moves nothing.
const DEAD_BAND: u64 = 24;

/// Tokens a second that callers of one organisation use here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Demand {
    rate: u64,
    used: Amount,
    at: Instant,
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Demand {
        Demand { rate: 0, used: Amount::ZERO, at: now }
    }

    pub(crate) fn count(&mut self, amount: Amount) {
        self.used += amount;
    }

    pub(crate) fn uncount(&mut self, amount: Amount) {
        self.used = self.used.saturating_sub(amount);
    }

    /// Moves the average a quarter of the way to the last sample.
    fn sample(&mut self, now: Instant) {
        let span = now.since(self.at);
        if span >= SAMPLE {
            let rate = self.used.as_micros() / span.as_micros();
            self.rate = (3 * self.rate + rate).div_ceil(4);
            self.used = Amount::ZERO;
            self.at = now;
        }
        if self.rate == 1 && self.used == Amount::ZERO {
            self.rate = 0;
        }
    }
}

/// What is known of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    seen: Instant,
    slack: BTreeMap<OrganisationId, (Instant, Slack)>,
}

/// One entry in a rebalancing.
#[derive(Clone, Copy)]
struct Standpoint {
    holder: Holder,
    demand: u64,
    share: Share,
}

impl Shares {
    /// What this entry has and needs, for its peers. Organisations without
    /// demand anywhere do not travel.
    pub fn slack(&self, now: Instant) -> Vec<Slack> {
        let wanted = |id: &OrganisationId| {
            self.peers.values().any(|peer| peer.slack.get(id).is_some_and(|s| s.1.demand > 0))
        };
        let all = self.books.keys().filter_map(|&id| self.slack_of(now, id));
        all.filter(|slack| slack.demand > 0 || wanted(&slack.organisation)).collect()
    }

    /// Periodic work: samples demand, tells peers, sends lost transfers
    /// again and moves shares towards demand.
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
        self.books.values_mut().for_each(|book| book.demand.sample(now));
        let slack = self.slack(now);
        for peer in self.next_told() {
            actions.push(self.send(peer, Message::Slack(slack.clone())));
        }
        actions.extend(self.rebalance(now));
        actions
    }

    /// Begins a planned stop: every share goes to peers that stay. Call
    /// [`on_tick`](Shares::on_tick) until [`is_empty`](Shares::is_empty).
    pub fn on_stop(&mut self, now: Instant) -> Vec<Action> {
        self.stopping = true;
        let leave = |peer| self.send(peer, Message::Leaving);
        let mut actions: Vec<_> = self.others().into_iter().map(leave).collect();
        actions.extend(self.hand_over(now));
        actions
    }

    /// Whether nothing is held or on its way from here.
    pub fn is_empty(&self) -> bool {
        let empty = self.books.values().all(|book| book.bucket.share().is_empty());
        empty && self.ledger.all_settled()
    }

    pub(crate) fn slack_of(&self, now: Instant, organisation: OrganisationId) -> Option<Slack> {
        let book = self.books.get(&organisation)?;
        let share = book.bucket.share_at(now);
        Some(Slack { organisation, demand: book.demand.rate, share })
    }

    /// Takes in records of a peer; an answered question is no longer open.
    pub(crate) fn see(&mut self, now: Instant, from: Holder, slack: &[Slack]) -> Vec<Action> {
        if self.leaving.contains(&from) {
            return Vec::new();
        }
        let peer = self.peers.entry(from).or_default();
        peer.seen = now;
        let mut actions = Vec::new();
        for record in slack {
            peer.slack.insert(record.organisation, (now, *record));
            if self.asked.remove(&(record.organisation, from)).is_some() {
                actions.push(Action::Retry(record.organisation));
            }
        }
        actions
    }

    /// Whether an answer to a question is still awaited.
    pub(crate) fn is_asking(&self, now: Instant, organisation: OrganisationId) -> bool {
        let first = (organisation, Holder(0));
        let last = (organisation, Holder(u64::MAX));
        let mut open = self.asked.range(first..=last);
        open.any(|(_, &at)| now.since(at) < self.settings.ask_wait)
    }

    /// Questions to the peers that should have what is lacking, the richest
    /// first. A peer that was asked and has not answered is not asked again.
    pub(crate) fn ask_peers(
        &mut self,
        now: Instant,
        organisation: OrganisationId,
        missing: Amount,
    ) -> Vec<Action> {
        let mut rich = Vec::new();
        let mut stale = false;
        for peer in self.others() {
            let (level, fresh) = self.estimate(now, organisation, peer);
            let asked = self.asked.get(&(organisation, peer));
            let open = asked.is_some_and(|&at| now.since(at) < self.settings.ask_wait);
            stale |= open || !fresh;
            if !open && level > Amount::ZERO {
                rich.push((level, peer));
            }
        }
        rich.sort_by_key(|&(level, peer)| (std::cmp::Reverse(level), peer));
        let known = rich.iter().fold(Amount::ZERO, |sum, &(level, _)| sum + level);
        if known < missing && !stale {
            return Vec::new();
        }
        let mut left = missing;
        let mut actions = Vec::new();
        for (level, peer) in rich {
            if left == Amount::ZERO {
                break;
            }
            self.asked.insert((organisation, peer), now);
            actions.push(self.send(peer, Message::Ask(Ask { organisation, missing: left })));
            left = left.saturating_sub(level);
        }
        actions
    }

    /// What peers should have.
    pub(crate) fn known(&self, now: Instant, organisation: OrganisationId) -> Amount {
        let levels = self.others().into_iter().map(|peer| self.estimate(now, organisation, peer).0);
        levels.fold(Amount::ZERO, Amount::add)
    }

    /// What `peer` should have by now, and whether that is well known. A peer
    /// that never told is taken to have an equal part.
    fn estimate(&self, now: Instant, organisation: OrganisationId, peer: Holder) -> (Amount, bool) {
        let record = self.peers.get(&peer).and_then(|peer| peer.slack.get(&organisation));
        match record {
            Some(&(at, slack)) => {
                let age = now.since(at);
                let surplus = slack.share.rate.saturating_sub(slack.demand);
                let level = slack.share.level + Amount::refill(surplus, age);
                (level.min(slack.share.capacity), age <= FRESH)
            }
            None => {
                let burst = self.plan.totals.get(&organisation).map_or(0, |total| total.burst);
                (Amount::from_tokens(burst / self.plan.holders.len().max(1) as u64), false)
            }
        }
    }

    /// The peers that are told at this tick.
    fn next_told(&mut self) -> Vec<Holder> {
        let mut peers = self.others();
        if peers.len() > TOLD {
            let first = self.turn % peers.len();
            peers.rotate_left(first);
            peers.truncate(TOLD);
            self.turn += TOLD;
        }
        peers
    }

    /// Holders other than this one that are not stopping.
    fn others(&self) -> Vec<Holder> {
        let others = self.plan.holders.iter().copied();
        others.filter(|&peer| peer != self.me && !self.leaving.contains(&peer)).collect()
    }

    /// Peers that were heard lately.
    fn live(&self, now: Instant) -> Vec<Holder> {
        let seen = |peer: &Holder| self.peers.get(peer).map(|peer| peer.seen);
        let heard = |peer: &Holder| seen(peer).is_some_and(|seen| now.since(seen) < SILENT);
        self.others().into_iter().filter(heard).collect()
    }

    fn hand_over(&mut self, now: Instant) -> Vec<Action> {
        let mut peers = self.live(now);
        if peers.is_empty() {
            peers = self.others();
        }
        peers.retain(|&peer| self.ledger.has_room(peer));
        let mut actions = Vec::new();
        for (place, &peer) in peers.iter().enumerate() {
            let left = (peers.len() - place) as u64;
            let mut wanted = Vec::new();
            for (&organisation, book) in &self.books {
                let Share { rate, capacity, level } = book.bucket.share_at(now);
                let capacity = capacity.scale(1, left);
                let share = Share { rate: rate / left, capacity, level: level.scale(1, left) };
                if !share.is_empty() {
                    wanted.push((organisation, share));
                }
            }
            if !wanted.is_empty() {
                actions.push(self.give(now, peer, &wanted));
            }
        }
        actions
    }

    fn rebalance(&mut self, now: Instant) -> Vec<Action> {
        let mut flows: BTreeMap<Holder, Vec<(OrganisationId, Share)>> = BTreeMap::new();
        let organisations: Vec<_> = self.books.keys().copied().collect();
        for organisation in organisations {
            for (peer, share) in self.flows(now, organisation) {
                flows.entry(peer).or_default().push((organisation, share));
            }
        }
        // A transfer that is still open may be missing in the peer's record.
        flows.retain(|&peer, _| self.ledger.is_settled(peer));
        flows.into_iter().map(|(peer, wanted)| self.give(now, peer, &wanted)).collect()
    }

    /// What this entry gives of one organisation, and to whom. All entries
    /// compute the same targets from the same records, and each divides its
    /// excess over the deficits, so together they do not give too much.
    fn flows(&self, now: Instant, organisation: OrganisationId) -> Vec<(Holder, Share)> {
        let all = self.standpoints(now, organisation);
        let demand: u64 = all.iter().map(|one| one.demand).sum();
        if demand == 0 || all.len() < 2 {
            return Vec::new();
        }
        let count = all.len() as u64;
        let by_demand = |whole: u64, one: &Standpoint| scale(whole, one.demand, demand);
        let even = |whole: u64| whole / count;
        // The rate goes where the demand is. The headroom does too: it takes
        // in what the rate yields and what settlements give back, and both
        // are lost where it is missing. The level, which bridges the loss of
        // an entry, stays half spread over all of them.
        let rate = split(&all, rate_of, |whole, one| even(whole / 2) + by_demand(whole / 2, one));
        let headroom =
            split(&all, headroom_of, |whole, one| even(whole / 4) + by_demand(whole / 4 * 3, one));
        let level = split(&all, level_of, |whole, one| even(whole / 2) + by_demand(whole / 2, one));
        let mut flows = Vec::new();
        for (place, peer) in all.iter().enumerate().skip(1) {
            let level = Amount::from_micros(level[place]);
            let capacity = Amount::from_micros(headroom[place]) + level;
            let share = Share { rate: rate[place], capacity, level };
            if !share.is_empty() {
                flows.push((peer.holder, share));
            }
        }
        flows
    }

    /// This entry first, then the live peers.
    fn standpoints(&self, now: Instant, organisation: OrganisationId) -> Vec<Standpoint> {
        let own = self.slack_of(now, organisation);
        let mut all = vec![standpoint(self.me, own)];
        for peer in self.live(now) {
            let record = self.peers[&peer].slack.get(&organisation).map(|&(_, slack)| slack);
            let level = self.estimate(now, organisation, peer).0;
            let record =
                record.map(|slack| Slack { share: Share { level, ..slack.share }, ..slack });
            all.push(standpoint(peer, record));
        }
        all
    }
}

fn standpoint(holder: Holder, slack: Option<Slack>) -> Standpoint {
    let demand = slack.map_or(0, |slack| slack.demand);
    Standpoint { holder, demand, share: slack.map(|slack| slack.share).unwrap_or_default() }
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

/// How much of one field the first of `all` gives to each of the others.
fn split(
    all: &[Standpoint],
    part: fn(&Share) -> u64,
    target: impl Fn(u64, &Standpoint) -> u64,
) -> Vec<u64> {
    let whole: u64 = all.iter().map(|one| part(&one.share)).sum();
    let target = |one: &Standpoint| target(whole, one);
    let excess = part(&all[0].share).saturating_sub(target(&all[0]));
    let deficit = |one: &Standpoint| target(one).saturating_sub(part(&one.share));
    let deficits: u64 = all.iter().map(deficit).sum();
    if excess <= whole / DEAD_BAND || deficits == 0 {
        return vec![0; all.len()];
    }
    // Half of the way at a time: the records are a little old.
    let give = excess.div_ceil(2).min(deficits);
    all.iter().map(|one| scale(give, deficit(one), deficits)).collect()
}
