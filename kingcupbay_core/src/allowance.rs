//! What an organisation may still use, counted over all entries.
//!
//! Every entry keeps the fleet's bucket of each organisation: it takes its own
//! admissions off at once and those of the others when their tallies come, some
//! ten times a second. While the bucket is well filled, any entry admits
//! anything. When less is left than the others may spend before their next
//! tally comes ([`LAG`]), several entries would spend the same tokens, so each
//! then keeps to its own part of the rate, in proportion to what is asked of
//! it. An entry that has lost touch with another keeps to its part as it was, as
//! the other does, so the parts do not add up to more than the whole.

use std::collections::BTreeMap;

use crate::{
    deployment::model::Organisation,
    id::Number,
    time::{Instant, Span},
    wire::usage::{OrganisationUsage, UsageReport},
};

/// Shortest time between two tallies. Within it entries spend the same tokens
/// unseen.
const PERIOD_MIN: Span = Span::from_millis(100);

/// Time between two tallies for each entry that there is: every entry tells
/// every other, so each takes in as many a second however many there are. Halves
/// of a fleet that are cut when a flood begins spend unseen for a few periods.
const PERIOD_EACH: Span = Span::from_millis(5);

/// Longest time between two tallies: beyond it, parts follow demand too late.
const PERIOD_MAX: Span = Span::from_secs(1);

/// One tally in so many names every organisation; the others name those whose use
/// has changed since the last, as most ask nothing of an entry in between. What a
/// lost tally told is told again with the next whole one.
const WHOLE_EACH: u32 = 8;

/// Growth of demand that is told although nothing was spent, as a multiple: parts
/// follow demand. That it has faded is told with the next whole tally.
const GROWN: f64 = 1.1;

/// How long the others may spend before this entry hears of it, in periods of
/// the tallies: two, and the time that one takes.
const LAG: f64 = 2.5;

/// Most of the burst that is set aside for what the others may have spent. An
/// organisation that sends more than this covers is over its limit anyway.
const ASIDE_MAX: f64 = 0.5;

/// An entry that was not heard for so many periods may be spending unseen: three
/// tallies in a row are missing.
const SILENT: f64 = 3.5;

/// Time over which demand is averaged.
const DEMAND: f64 = 1.0;

/// Demand that every entry is taken to have at least, as part of the rate
/// divided by the entries, so that a caller who comes to a new entry finds a
/// part there.
const FLOOR: f64 = 0.2;

/// Part of a full bucket that admits even what is larger than the bucket; the
/// bucket goes into debt for the rest. Otherwise an organisation's largest
/// requests could never run once its burst is lowered.
const ENOUGH: f64 = 0.9;

/// An entry that was started less than this ago takes over the levels that the
/// others believe in.
const YOUNG: Span = Span::from_secs(2);

/// Shortest time to come back that a caller is told, in seconds.
const AFTER_MIN: f64 = 0.05;

/// Longest time to come back that a caller is told.
const AFTER_MAX: Span = Span::from_secs(5);

/// Why a request is over the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Over {
    /// When there will be enough.
    pub after: Span,
}

/// One organisation at this entry.
#[derive(Clone, Debug)]
struct Account {
    /// What is left of the fleet's bucket; below zero is debt.
    level: f64,
    /// What is left of this entry's part of it.
    part: f64,
    at: Instant,
    spent: i64,
    /// As of `asked`.
    demand: f64,
    asked: Instant,
    /// The demand that the other entries were last told while all were heard.
    told: f64,
}

/// Another entry, as its last tally showed it.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    heard: Instant,
    uses: BTreeMap<String, OrganisationUsage>,
}

/// The buckets of one entry.
#[derive(Debug)]
pub struct Allowance {
    host: String,
    incarnation: u64,
    started: Instant,
    accounts: BTreeMap<String, Account>,
    /// Entries by host. `None`: registered, but not heard since this one
    /// started.
    peers: BTreeMap<String, Option<Peer>>,
    /// What the others were last told of each organisation.
    told: BTreeMap<String, OrganisationUsage>,
    /// Tallies until the next whole one.
    until_whole: u32,
    /// Another entry was silent when the limits were last looked at.
    blind: bool,
    /// This entry was taken off the list of entries, so others may use its
    /// part.
    removed: bool,
}

impl Allowance {
    /// Buckets of the entry on `host`, started at `now`.
    pub fn new(host: &str, incarnation: u64, now: Instant) -> Allowance {
        Allowance {
            host: host.to_owned(),
            incarnation,
            started: now,
            accounts: BTreeMap::new(),
            peers: BTreeMap::new(),
            told: BTreeMap::new(),
            until_whole: 0,
            blind: false,
            removed: false,
        }
    }

    /// Takes the list of registered entries.
    pub fn on_entries<'a>(&mut self, hosts: impl Iterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.peers);
        let mut listed = false;
        for host in hosts {
            match host == self.host {
                true => listed = true,
                false => {
                    let peer = before.remove(host).flatten();
                    self.peers.insert(host.to_owned(), peer);
                }
            }
        }
        self.removed = !listed;
    }

    /// Whether another entry was not heard since `limit` ago.
    pub fn silent_since(&self, now: Instant, limit: Span) -> impl Iterator<Item = &str> {
        self.peers.iter().filter_map(move |(host, peer)| {
            let since = peer.as_ref().map_or(self.started, |peer| peer.heard);
            (now.since(since) >= limit).then_some(host.as_str())
        })
    }

    /// How many entries there are, this one included.
    pub fn entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Time between two tallies to the others.
    pub fn period(&self) -> Span {
        let each = PERIOD_EACH.as_micros() * self.entries() as u64;
        Span::from_micros(each).clamp(PERIOD_MIN, PERIOD_MAX)
    }

    /// Asks for `cost` tokens of `who`; they are taken if there are enough.
    pub fn ask(&mut self, now: Instant, who: &Organisation, cost: u64) -> Result<(), Over> {
        if who.rate == 0 {
            return Ok(());
        }
        let blind = self.look(now);
        let share = self.share(who);
        let lag = self.period().as_secs_f64() * LAG;
        let aside = (self.others(who) * lag).min(who.burst as f64 * ASIDE_MAX);
        let alone = self.removed && !self.peers.is_empty();
        let account = self.account(now, who, share);
        let cost = cost as f64;
        account.demand += cost / DEMAND;
        let burst = who.burst as f64;
        let needed = cost.min(burst * ENOUGH);
        let part_needed = cost.min(burst * share * ENOUGH);
        let plenty = !blind && account.level >= aside + needed;
        let own = account.part >= part_needed && (blind || account.level >= needed.min(0.0));
        if !alone && (plenty || own) {
            account.level -= cost;
            account.part = match own {
                true => account.part - cost,
                false => (account.part - cost).max(0.0),
            };
            account.spent += cost as i64;
            return Ok(());
        }
        let rate = who.rate as f64;
        let own = (part_needed - account.part) / (rate * share).max(1.0);
        let wait = own.max(-account.level / rate);
        let after = Span::from_micros((wait.max(AFTER_MIN) * 1e6) as u64);
        Err(Over { after: after.min(AFTER_MAX) })
    }

    /// Gives back what a request did not use because it did not run.
    pub fn give_back(&mut self, now: Instant, who: &Organisation, cost: u64) {
        if who.rate == 0 {
            return;
        }
        let share = self.share(who);
        let account = self.account(now, who, share);
        account.level = (account.level + cost as f64).min(who.burst as f64);
        account.part = (account.part + cost as f64).min(who.burst as f64 * share);
        account.spent -= cost as i64;
    }

    /// What the other entries are told.
    pub fn tally(&mut self, now: Instant, number: Number) -> UsageReport {
        let blind = self.look(now);
        let whole = self.until_whole == 0;
        self.until_whole = if whole { WHOLE_EACH - 1 } else { self.until_whole - 1 };
        let mut uses = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.fade(now);
            let Account { spent, demand, level, .. } = *account;
            let last = self.told.get(name);
            let same =
                last.is_some_and(|last| last.spent == spent && demand <= last.demand * GROWN);
            if same && !whole {
                continue;
            }
            if !blind {
                account.told = demand;
            }
            uses.insert(name.clone(), OrganisationUsage { spent, demand, level });
        }
        self.told.extend(uses.iter().map(|(name, used)| (name.clone(), *used)));
        let host = self.host.clone();
        let incarnation = self.incarnation;
        UsageReport { host, incarnation, number, whole, uses, ..UsageReport::default() }
    }

    /// Another entry lacks what the last whole tally told; the next one is whole.
    pub fn on_unknown(&mut self) {
        self.until_whole = 0;
    }

    /// Takes what another entry told. False: this entry has no whole tally of it,
    /// without which it cannot tell what was spent since.
    pub fn on_tally(&mut self, now: Instant, tally: UsageReport) -> bool {
        let young = now.since(self.started) < YOUNG;
        let before = self.peers.get(&tally.host).cloned().flatten();
        let same = before.as_ref().is_some_and(|peer| peer.incarnation == tally.incarnation);
        if !tally.whole && !same {
            return false;
        }
        for (name, used) in &tally.uses {
            let known = before.as_ref().filter(|_| same).and_then(|peer| peer.uses.get(name));
            let Some(account) = self.accounts.get_mut(name) else { continue };
            match known {
                Some(known) => account.level -= (used.spent - known.spent) as f64,
                // This entry knows nothing of before; the other does.
                None if young && !same => account.level = account.level.min(used.level),
                None => account.level -= used.spent as f64,
            }
        }
        let mut uses = match before {
            Some(peer) if !tally.whole => peer.uses,
            _ => BTreeMap::new(),
        };
        uses.extend(tally.uses);
        let peer = Peer { incarnation: tally.incarnation, heard: now, uses };
        self.peers.insert(tally.host, Some(peer));
        true
    }

    /// What is left of an organisation's bucket, for dumps and metrics.
    pub fn levels(&self) -> impl Iterator<Item = (&str, f64)> {
        self.accounts.iter().map(|(name, account)| (name.as_str(), account.level))
    }

    /// Whether another entry may be spending unseen. From then on this one
    /// keeps to its part of what is left, as the other does: the bucket may be
    /// nearly empty although none of it was taken here.
    fn look(&mut self, now: Instant) -> bool {
        let blind = self.is_blind(now);
        if blind && !std::mem::replace(&mut self.blind, blind) {
            let names: Vec<String> = self.accounts.keys().cloned().collect();
            for name in names {
                let share = self.part_of(&name, 0.0);
                let account = self.accounts.get_mut(&name).expect("it was listed");
                account.part = account.part.min(account.level.max(0.0) * share);
            }
        }
        self.blind = blind;
        blind
    }

    fn is_blind(&self, now: Instant) -> bool {
        let limit = Span::from_micros((self.period().as_micros() as f64 * SILENT) as u64);
        self.silent_since(now, limit).next().is_some()
    }

    /// This entry's part of the rate of `who`.
    fn share(&self, who: &Organisation) -> f64 {
        self.part_of(&who.name, who.rate as f64 * FLOOR / self.entries() as f64)
    }

    /// This entry's part of what `organisation` may use, if each entry's demand
    /// is at least `floor`. Two halves that cannot hear each other must not both
    /// take the part that more demand would give them, so while another entry is
    /// silent this one's demand counts as it was last told.
    fn part_of(&self, organisation: &str, floor: f64) -> f64 {
        let demand = |account: &Account| if self.blind { account.told } else { account.demand };
        let own = self.accounts.get(organisation).map_or(0.0, demand) + floor;
        let other = |peer: &Option<Peer>| {
            let known = peer.as_ref().and_then(|peer| peer.uses.get(organisation));
            known.map_or(0.0, |used| used.demand) + floor
        };
        own / (own + self.peers.values().map(other).sum::<f64>()).max(1.0)
    }

    /// Tokens of `who` that the other entries are asked for a second.
    fn others(&self, who: &Organisation) -> f64 {
        let known = self.peers.values().flatten();
        known.filter_map(|peer| peer.uses.get(&who.name)).map(|used| used.demand).sum()
    }

    fn account(&mut self, now: Instant, who: &Organisation, share: f64) -> &mut Account {
        let burst = who.burst as f64;
        let account = self.accounts.entry(who.name.clone()).or_insert_with(|| Account {
            level: burst,
            part: burst * share,
            at: now,
            spent: 0,
            demand: 0.0,
            asked: now,
            told: 0.0,
        });
        let passed = now.since(account.at).as_secs_f64();
        account.fade(now);
        account.at = now;
        let gained = who.rate as f64 * passed;
        account.level = (account.level + gained).min(burst);
        account.part = (account.part + gained * share).min(burst * share);
        account
    }
}

impl Account {
    /// Lets the demand fade to what it is at `now`.
    fn fade(&mut self, now: Instant) {
        let passed = now.since(self.asked).as_secs_f64();
        self.demand *= (-passed / DEMAND).exp();
        self.asked = now;
    }
}
