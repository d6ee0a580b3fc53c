//! Baseline: chunks drawn from a bucket in a row of the table. Conflicts of
//! two draws are left out, in the baseline's favour.

use std::collections::BTreeSet;

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, Share},
    },
    time::{Instant, Span},
};

use super::{
    load::{ENTRIES, ORGANISATIONS, RATE, Request},
    sim::{Event, KILLED, Outcome, Ticket, World},
};

/// Tokens drawn at once: half a second of an organisation's rate.
const CHUNK: u64 = RATE / 2;
/// A read and a conditional write.
const DRAW: Span = Span::from_millis(10);
/// Table operations of a draw.
const OPERATIONS: u64 = 2;

/// The rows, and what the entries drew and have not used.
#[derive(Debug)]
pub(crate) struct Chunks {
    rows: Vec<Bucket>,
    drawn: Vec<Vec<Amount>>,
    drawing: BTreeSet<(usize, usize)>,
}

impl Chunks {
    pub(crate) fn new(burst: u64) -> Chunks {
        let level = Amount::from_tokens(burst);
        let full = Share { rate: RATE, capacity: level, level };
        Chunks {
            rows: vec![Bucket::new(Instant::default(), full); ORGANISATIONS],
            drawn: vec![vec![Amount::ZERO; ORGANISATIONS]; ENTRIES],
            drawing: BTreeSet::new(),
        }
    }

    pub(crate) fn admit(
        &mut self,
        world: &mut World,
        since: Instant,
        request: &Request,
    ) -> Outcome {
        let drawn = &mut self.drawn[request.entry][request.organisation];
        let tokens = Amount::from_tokens(request.tokens);
        if *drawn >= tokens {
            *drawn -= tokens;
            return Outcome::Granted(Ticket::Drawn);
        }
        if !world.table_up {
            return Outcome::Refused("table down");
        }
        if world.now.since(since) > DRAW {
            return Outcome::Refused("row empty");
        }
        if self.drawing.insert((request.entry, request.organisation)) {
            world.score.table += OPERATIONS * u64::from(world.score.counts(world.now));
            world.after(DRAW, Event::Drawn(request.entry, request.organisation));
        }
        Outcome::Waiting
    }

    pub(crate) fn settle(&mut self, _now: Instant, request: &Request, _ticket: Ticket) {
        let back = Amount::from_tokens(request.tokens - request.used);
        self.drawn[request.entry][request.organisation] += back;
    }

    pub(crate) fn handle(&mut self, world: &mut World, event: Event) {
        let Event::Drawn(entry, organisation) = event else {
            return;
        };
        self.drawing.remove(&(entry, organisation));
        let row = &mut self.rows[organisation];
        row.advance(world.now);
        if world.table_up {
            let level = row.share().level.min(Amount::from_tokens(CHUNK));
            if row.reserve(world.now, level).is_ok() {
                self.drawn[entry][organisation] += level;
            }
        }
        world.wake(entry, organisation);
    }

    pub(crate) fn kill(&mut self) {
        self.drawn[KILLED].fill(Amount::ZERO);
    }
}
