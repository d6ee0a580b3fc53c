//! Conserved shares: the core's policy, as the daemon runs it.

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
    load::{ENTRIES, ORGANISATIONS, Request, TOKENS_PER_SECOND},
    sim::{Event, KILLED_ENTRY, Outcome, Simulation, Ticket},
};

/// Delay of a message between entries.
const MESSAGE_DELAY: Span = Span::from_millis(1);
/// Interval between two ticks of an entry.
const TICK_PERIOD: Span = Span::from_millis(500);
/// Holder id of the entry that replaces the killed one.
const SUCCESSOR_HOLDER: Holder = Holder(99);

/// The entries' shares; `None` for a dead entry.
#[derive(Debug)]
pub(crate) struct Shared {
    entries: Vec<Option<Shares>>,
    holders: Vec<Holder>,
    reports: Vec<Report>,
    burst: u64,
}

impl Shared {
    /// Creates the entries, without any organisation yet.
    pub(crate) fn new(burst: u64) -> Shared {
        let holders: Vec<_> = (1..=ENTRIES as u64).map(Holder).collect();
        let new = |&holder: &Holder| Some(Shares::new(holder, Settings::default()));
        let entries = holders.iter().map(new).collect();
        Shared { entries, holders, reports: Vec::new(), burst }
    }

    pub(crate) fn start(&mut self, sim: &mut Simulation) {
        self.begin_epoch(sim, 1, 0);
        self.begin_epoch(sim, 2, ORGANISATIONS);
        for entry in 0..ENTRIES {
            let offset = Span::from_micros(TICK_PERIOD.as_micros() * entry as u64 / ENTRIES as u64);
            sim.schedule(offset, Event::Tick(entry));
        }
    }

    pub(crate) fn admit(
        &mut self,
        sim: &mut Simulation,
        id: u64,
        since: Instant,
        request: &Request,
    ) -> Outcome {
        let Some(shares) = &mut self.entries[request.entry] else {
            return Outcome::Refused("entry dead");
        };
        let organisation = key(request.organisation);
        match shares.admit(sim.now, since, organisation, request.tokens, true) {
            Verdict::Granted(reservation) => {
                Outcome::Granted(Ticket::Shared(self.holders[request.entry], reservation))
            }
            Verdict::Pending { actions, until } => {
                self.execute(sim, request.entry, actions);
                sim.queue.push(until, Event::Wake(id));
                Outcome::Waiting
            }
            Verdict::Refused { .. } if sim.now == since => Outcome::Refused("known empty"),
            Verdict::Refused { .. } => Outcome::Refused("asked in vain"),
        }
    }

    pub(crate) fn settle(&mut self, now: Instant, request: &Request, ticket: Ticket) {
        let Ticket::Shared(holder, reservation) = ticket else {
            return;
        };
        let entry = request.entry;
        // A replacement entry does not know the requests of the killed one.
        if let Some(shares) = &mut self.entries[entry]
            && self.holders[entry] == holder
        {
            shares.settle(now, reservation, request.used);
        }
    }

    pub(crate) fn handle(&mut self, sim: &mut Simulation, event: Event) {
        match event {
            Event::Tick(entry) => {
                sim.schedule(TICK_PERIOD, Event::Tick(entry));
                self.tick(sim, entry);
            }
            Event::Message(envelope) => {
                let to = self.holders.iter().position(|&holder| holder == envelope.to);
                if let Some(entry) = to
                    && let Some(shares) = &mut self.entries[entry]
                {
                    let actions = shares.on_message(sim.now, &envelope);
                    self.execute(sim, entry, actions);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn kill(&mut self, _sim: &mut Simulation) {
        self.entries[KILLED_ENTRY] = None;
    }

    /// Starts the replacement entry, when a majority has the configuration that
    /// contains it instead of the dead one.
    pub(crate) fn replace(&mut self, sim: &mut Simulation) {
        self.holders[KILLED_ENTRY] = SUCCESSOR_HOLDER;
        self.entries[KILLED_ENTRY] = Some(Shares::new(SUCCESSOR_HOLDER, Settings::default()));
        self.begin_epoch(sim, 3, ORGANISATIONS);
    }

    fn begin_epoch(&mut self, sim: &mut Simulation, epoch: u64, organisations: usize) {
        self.reports.clear();
        let total = Total { rate: TOKENS_PER_SECOND, burst: self.burst };
        let totals = (0..organisations).map(|organisation| (key(organisation), total));
        let holders: BTreeSet<_> = self.holders.iter().copied().collect();
        let last_removal = Number(if epoch == 3 { 3 } else { 0 });
        let plan = Plan { epoch: Number(epoch), holders, last_removal, totals: totals.collect() };
        for entry in 0..ENTRIES {
            let shares = self.entries[entry].as_mut().expect("all live when an epoch begins");
            let mut actions = shares.on_plan(sim.now, plan.clone());
            actions.extend(shares.on_in_force(sim.now, plan.epoch));
            self.execute(sim, entry, actions);
        }
        for entry in 0..ENTRIES {
            self.read_reports(sim, entry);
        }
    }

    fn tick(&mut self, sim: &mut Simulation, entry: usize) {
        if let Some(shares) = &mut self.entries[entry] {
            let actions = shares.on_tick(sim.now);
            self.execute(sim, entry, actions);
            self.read_reports(sim, entry);
        }
    }

    fn read_reports(&mut self, sim: &mut Simulation, entry: usize) {
        let Some(shares) = &mut self.entries[entry] else {
            return;
        };
        if sim.table_up && shares.missing_reports().next().is_some() {
            sim.score.table_operations += u64::from(sim.score.counts(sim.now));
            let actions = shares.on_reports(sim.now, &self.reports);
            self.execute(sim, entry, actions);
        }
    }

    fn execute(&mut self, sim: &mut Simulation, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => send(sim, envelope),
                Action::Report(report) => {
                    sim.score.table_operations += u64::from(sim.score.counts(sim.now));
                    self.reports.push(report);
                }
                Action::Retry(organisation) => sim.wake(entry, organisation.raw() as usize),
            }
        }
    }
}

fn send(sim: &mut Simulation, envelope: Envelope) {
    if sim.score.counts(sim.now) {
        sim.score.messages += 1;
        let bytes = rmp_serde::to_vec(&envelope).expect("envelopes serialise");
        sim.score.bytes += bytes.len() as u64;
        sim.score.asks += u64::from(matches!(envelope.message, Message::Ask(_)));
    }
    sim.schedule(MESSAGE_DELAY, Event::Message(envelope));
}

fn key(organisation: usize) -> OrganisationId {
    OrganisationId::from_raw(organisation as u32)
}
