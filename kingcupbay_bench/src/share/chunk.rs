//! Baseline: entries draw chunks of tokens from a bucket in a row of the table.
//! Conflicts between two draws are not modelled, which favours the baseline.

use std::collections::BTreeSet;

use kingcupbay_core::{
    share::{
        amount::Amount,
        bucket::{Bucket, Share},
    },
    time::{Instant, Span},
};

use super::{
    load::{ENTRIES, ORGANISATIONS, Request, TOKENS_PER_SECOND},
    sim::{Event, KILLED_ENTRY, Outcome, Simulation, Ticket},
};

/// Tokens drawn at once: half a second of an organisation's rate.
const CHUNK_TOKENS: u64 = TOKENS_PER_SECOND / 2;
/// Time of a draw: a read and a conditional write.
const DRAW_TIME: Span = Span::from_millis(10);
/// Table operations per draw.
const DRAW_OPERATIONS: u64 = 2;

/// The rows, the tokens that entries have drawn but not used, and pending draws.
#[derive(Debug)]
pub(crate) struct Chunks {
    rows: Vec<Bucket>,
    drawn: Vec<Vec<Amount>>,
    drawing: BTreeSet<(usize, usize)>,
}

impl Chunks {
    pub(crate) fn new(burst: u64) -> Chunks {
        let level = Amount::from_tokens(burst);
        let full = Share { rate: TOKENS_PER_SECOND, capacity: level, level };
        Chunks {
            rows: vec![Bucket::new(Instant::default(), full); ORGANISATIONS],
            drawn: vec![vec![Amount::ZERO; ORGANISATIONS]; ENTRIES],
            drawing: BTreeSet::new(),
        }
    }

    pub(crate) fn admit(
        &mut self,
        sim: &mut Simulation,
        since: Instant,
        request: &Request,
    ) -> Outcome {
        let drawn = &mut self.drawn[request.entry][request.organisation];
        let tokens = Amount::from_tokens(request.tokens);
        if *drawn >= tokens {
            *drawn -= tokens;
            return Outcome::Granted(Ticket::Drawn);
        }
        if !sim.table_up {
            return Outcome::Refused("table down");
        }
        if sim.now.since(since) > DRAW_TIME {
            return Outcome::Refused("row empty");
        }
        if self.drawing.insert((request.entry, request.organisation)) {
            sim.score.table_operations += DRAW_OPERATIONS * u64::from(sim.score.counts(sim.now));
            sim.schedule(DRAW_TIME, Event::Drawn(request.entry, request.organisation));
        }
        Outcome::Waiting
    }

    pub(crate) fn settle(&mut self, _now: Instant, request: &Request, _ticket: Ticket) {
        let unused = Amount::from_tokens(request.tokens - request.used);
        self.drawn[request.entry][request.organisation] += unused;
    }

    pub(crate) fn handle(&mut self, sim: &mut Simulation, event: Event) {
        let Event::Drawn(entry, organisation) = event else {
            return;
        };
        self.drawing.remove(&(entry, organisation));
        let row = &mut self.rows[organisation];
        row.advance(sim.now);
        if sim.table_up {
            let level = row.share().level.min(Amount::from_tokens(CHUNK_TOKENS));
            if row.reserve(sim.now, level).is_ok() {
                self.drawn[entry][organisation] += level;
            }
        }
        sim.wake(entry, organisation);
    }

    pub(crate) fn kill(&mut self) {
        self.drawn[KILLED_ENTRY].fill(Amount::ZERO);
    }
}
