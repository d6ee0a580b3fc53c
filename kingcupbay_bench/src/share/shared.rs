//! Conserved shares: the decisions of the core, as the daemon runs them.

use std::collections::BTreeSet;

use kingcupbay_core::{
    config::model::Total,
    id::{Id, Number, OrganisationId},
    share::{
        message::{Envelope, Message},
        plan::{Holder, Plan, Report},
        shares::{Action, Settings, Shares, Verdict},
    },
    time::{Instant, Span},
};

use super::{
    load::{ENTRIES, ORGANISATIONS, RATE, Request},
    sim::{Event, KILLED, Outcome, Ticket, World},
};

/// Delay of a message between entries.
const DELAY: Span = Span::from_millis(1);
/// Period of the entries' ticks.
const TICK: Span = Span::from_millis(500);
/// Holder of the successor of the killed entry.
const SUCCESSOR: Holder = Holder(99);

/// The entries; a dead one is none.
#[derive(Debug)]
pub(crate) struct Shared {
    entries: Vec<Option<Shares>>,
    holders: Vec<Holder>,
    reports: Vec<Report>,
    burst: u64,
}

impl Shared {
    /// A fleet that has just made its organisations.
    pub(crate) fn new(burst: u64) -> Shared {
        let holders: Vec<_> = (1..=ENTRIES as u64).map(Holder).collect();
        let new = |&holder: &Holder| Some(Shares::new(holder, Settings::default()));
        let entries = holders.iter().map(new).collect();
        Shared { entries, holders, reports: Vec::new(), burst }
    }

    pub(crate) fn start(&mut self, world: &mut World) {
        self.enter(world, 1, 0);
        self.enter(world, 2, ORGANISATIONS);
        for entry in 0..ENTRIES {
            let offset = Span::from_micros(TICK.as_micros() * entry as u64 / ENTRIES as u64);
            world.after(offset, Event::Tick(entry));
        }
    }

    pub(crate) fn admit(
        &mut self,
        world: &mut World,
        id: u64,
        since: Instant,
        request: &Request,
    ) -> Outcome {
        let Some(shares) = &mut self.entries[request.entry] else {
            return Outcome::Refused("entry dead");
        };
        let organisation = key(request.organisation);
        match shares.admit(world.now, since, organisation, request.tokens, true) {
            Verdict::Granted(reservation) => {
                Outcome::Granted(Ticket::Shared(self.holders[request.entry], reservation))
            }
            Verdict::Pending { actions, until } => {
                self.carry_out(world, request.entry, actions);
                world.queue.push(until, Event::Wake(id));
                Outcome::Waiting
            }
            Verdict::Refused { .. } if world.now == since => Outcome::Refused("known empty"),
            Verdict::Refused { .. } => Outcome::Refused("asked in vain"),
        }
    }

    pub(crate) fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        let Ticket::Shared(holder, reservation) = ticket else {
            return;
        };
        let entry = request.entry;
        // A successor does not know its predecessor's requests.
        if let Some(shares) = &mut self.entries[entry]
            && self.holders[entry] == holder
        {
            shares.settle(now, reservation, request.used);
        }
    }

    pub(crate) fn handle(&mut self, world: &mut World, event: Event) {
        match event {
            Event::Tick(entry) => {
                world.after(TICK, Event::Tick(entry));
                self.tick(world, entry);
            }
            Event::Message(envelope) => {
                let to = self.holders.iter().position(|&holder| holder == envelope.to);
                if let Some(entry) = to
                    && let Some(shares) = &mut self.entries[entry]
                {
                    let actions = shares.on_message(world.now, &envelope);
                    self.carry_out(world, entry, actions);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn kill(&mut self, _world: &mut World) {
        self.entries[KILLED] = None;
    }

    /// The configuration that has the successor in the place of the dead
    /// entry is held by a majority.
    pub(crate) fn replace(&mut self, world: &mut World) {
        self.holders[KILLED] = SUCCESSOR;
        self.entries[KILLED] = Some(Shares::new(SUCCESSOR, Settings::default()));
        self.enter(world, 3, ORGANISATIONS);
    }

    fn enter(&mut self, world: &mut World, epoch: u64, organisations: usize) {
        self.reports.clear();
        let total = Total { rate: RATE, burst: self.burst };
        let totals = (0..organisations).map(|organisation| (key(organisation), total));
        let holders: BTreeSet<_> = self.holders.iter().copied().collect();
        let last_removal = Number(if epoch == 3 { 3 } else { 0 });
        let plan = Plan { epoch: Number(epoch), holders, last_removal, totals: totals.collect() };
        for entry in 0..ENTRIES {
            let shares = self.entries[entry].as_mut().expect("all live when an epoch begins");
            let mut actions = shares.on_plan(world.now, plan.clone());
            actions.extend(shares.on_in_force(world.now, plan.epoch));
            self.carry_out(world, entry, actions);
        }
        for entry in 0..ENTRIES {
            self.read_reports(world, entry);
        }
    }

    fn tick(&mut self, world: &mut World, entry: usize) {
        if let Some(shares) = &mut self.entries[entry] {
            let actions = shares.on_tick(world.now);
            self.carry_out(world, entry, actions);
            self.read_reports(world, entry);
        }
    }

    fn read_reports(&mut self, world: &mut World, entry: usize) {
        let Some(shares) = &mut self.entries[entry] else {
            return;
        };
        if world.table_up && shares.missing_reports().next().is_some() {
            world.score.table += u64::from(world.score.counts(world.now));
            let actions = shares.on_reports(world.now, &self.reports);
            self.carry_out(world, entry, actions);
        }
    }

    fn carry_out(&mut self, world: &mut World, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => send(world, envelope),
                Action::Report(report) => {
                    world.score.table += u64::from(world.score.counts(world.now));
                    self.reports.push(report);
                }
                Action::Retry(organisation) => world.wake(entry, organisation.raw() as usize),
            }
        }
    }
}

fn send(world: &mut World, envelope: Envelope) {
    if world.score.counts(world.now) {
        world.score.messages += 1;
        let bytes = rmp_serde::to_vec(&envelope).expect("envelopes serialise");
        world.score.bytes += bytes.len() as u64;
        world.score.asks += u64::from(matches!(envelope.message, Message::Ask(_)));
    }
    world.after(DELAY, Event::Message(envelope));
}

fn key(organisation: usize) -> OrganisationId {
    OrganisationId::from_raw(organisation as u32)
}
