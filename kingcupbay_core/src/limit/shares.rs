//! Divides the limit of an upstream among the entries that send to it.
//!
//! Every listed entry gets the same part and its own turn, so that they need no messages to
//! agree. A limit is far below what callers ask for, so even entries with few callers use
//! their parts. The reports between entries only say which limits hold: the turns of one
//! entry may be minutes apart.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    time::{Instant, Span},
    wire::{limit::LimitReport, metadata::AnnouncedLimit},
};

use super::{LimitRecord, pace::Pace};

/// Time after which an unchanged limit is reported again.
const REPORT_PERIOD: Span = Span::from_secs(1);

/// One upstream that has named a limit, or has been sent requests.
#[derive(Clone, Debug, Default)]
struct Upstream {
    record: Option<LimitRecord>,
    /// Whether the record is from an answer to this entry. Only then is it reported, so that
    /// reports do not circulate for ever.
    direct: bool,
    /// The record when it was last reported.
    reported: Option<LimitRecord>,
    /// Rate at which the pace was started.
    paced: Option<f64>,
    pace: Pace,
}

/// One entry's parts of the limits of upstreams, by id.
#[derive(Clone, Debug, Default)]
pub struct LimitShares {
    upstreams: BTreeMap<String, Upstream>,
}

impl LimitShares {
    /// Records an answer of the upstream `id` that started at `born` to a request sent at
    /// `sent`. Returns whether its rate has changed.
    pub fn on_answer(
        &mut self,
        now: Instant,
        sent: Instant,
        id: &str,
        born: u64,
        announced: AnnouncedLimit,
    ) -> bool {
        let known = self.upstreams.get(id).and_then(|upstream| upstream.record);
        let record = LimitRecord::after_answer(known, now, sent, born, announced);
        if record == known {
            return false;
        }
        let upstream = self.upstreams.entry(id.to_owned()).or_default();
        upstream.record = record;
        upstream.direct = true;
        rate(now, known) != rate(now, record)
    }

    /// Records another entry's report of the upstream `id`. Returns whether its rate has
    /// changed.
    pub fn on_report(&mut self, now: Instant, id: &str, report: LimitReport) -> bool {
        let record = LimitRecord::from_report(now, report);
        let upstream = self.upstreams.entry(id.to_owned()).or_default();
        if upstream.record.is_some_and(|known| !record.is_newer(&known)) {
            return false;
        }
        let before = upstream.record.replace(record);
        upstream.direct = false;
        rate(now, before) != rate(now, upstream.record)
    }

    /// Returns the requests per second that the upstream `id`, started at `born`, takes in
    /// total; `None` for any number. A row may name an earlier start than the answers do, if
    /// the store has come back from an older copy.
    pub fn rate(&self, now: Instant, id: &str, born: u64) -> Option<f64> {
        let record = self.upstreams.get(id)?.record;
        rate(now, record.filter(|record| record.born >= born))
    }

    /// Returns the number of limited upstreams.
    pub fn limited(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|upstream| rate(now, upstream.record).is_some()).count()
    }

    /// Counts a request to the upstream `id`, started at `born`, that the entry on the host
    /// `own` may send now. `hosts` returns those of all listed entries.
    ///
    /// # Errors
    ///
    /// Fails with the time until the upstream takes another request if its limit is used up.
    pub fn try_send<'a>(
        &mut self,
        now: Instant,
        id: &str,
        born: u64,
        own: &'a str,
        hosts: impl FnOnce() -> Vec<&'a str>,
    ) -> Result<(), Span> {
        let limit = self.rate(now, id, born);
        let upstream = self.upstreams.entry(id.to_owned()).or_default();
        let Some(limit) = limit else {
            upstream.paced = None;
            upstream.pace.on_send(now, None);
            return Ok(());
        };
        let interval = Span::from_millis_f64(1e3 / limit);
        let Some(Part { share, turn }) = Part::new(id, own, &hosts()) else {
            return Err(interval);
        };
        match upstream.paced.replace(limit) {
            Some(paced) if paced == limit => {}
            Some(_) => upstream.pace.on_limit(now, limit * share),
            // All entries learn of the limit at nearly the same moment.
            None => {
                upstream.pace.on_limit(now, limit * share);
                upstream.pace.start(now + Span::from_millis_f64(turn * 1e3 / (limit * share)));
            }
        }
        match upstream.pace.wait(now, limit, share, 0) {
            Span::ZERO => {
                upstream.pace.on_send(now, Some(limit * share));
                Ok(())
            }
            // Another entry may have its turn earlier.
            wait => Err(wait.min(interval)),
        }
    }

    /// Returns what this entry knows of the upstream `id`, started at `born`, for its
    /// sidecar.
    pub fn report_of(&self, now: Instant, id: &str, born: u64) -> Option<LimitReport> {
        let record = self.upstreams.get(id)?.record?;
        (record.born >= born).then(|| record.to_report(now))
    }

    /// Returns the limits to report to the other entries, of the upstreams that `shared` names:
    /// those that have changed or were last reported a while ago.
    pub fn reports(
        &mut self,
        now: Instant,
        shared: impl Fn(&str) -> bool,
    ) -> BTreeMap<String, LimitReport> {
        let is_due = |id: &str, upstream: &Upstream| {
            let (Some(record), true) = (upstream.record, upstream.direct) else { return false };
            let is_new = upstream.reported.is_none_or(|reported| {
                reported.rate != record.rate
                    || record.received.since(reported.received) >= REPORT_PERIOD
            });
            is_new && shared(id)
        };
        let due = self.upstreams.iter_mut().filter(|(id, upstream)| is_due(id, upstream));
        due.filter_map(|(id, upstream)| {
            upstream.reported = upstream.record;
            Some((id.clone(), upstream.record?.to_report(now)))
        })
        .collect()
    }

    /// Drops the upstreams that are no longer registered.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| known(id));
    }
}

fn rate(now: Instant, record: Option<LimitRecord>) -> Option<f64> {
    record.and_then(|record| record.rate(now))
}

/// One entry's part of the limit of an upstream.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Fraction of the limit.
    share: f64,
    /// Position of its turn among those of all entries, from 0 up to 1.
    turn: f64,
}

impl Part {
    /// Returns the part that the entry on `own` has in the limit of the upstream `id`; `None`
    /// if `hosts` does not list it.
    fn new(id: &str, own: &str, hosts: &[&str]) -> Option<Part> {
        if hosts.is_empty() {
            // The list has not been read yet.
            return Some(Part { share: 1.0, turn: 0.0 });
        }
        let score = |host: &str| {
            let mut hasher = DefaultHasher::new();
            (id, host).hash(&mut hasher);
            hasher.finish()
        };
        let count = hosts.len() as f64;
        let own = hosts.contains(&own).then(|| score(own))?;
        let before = hosts.iter().filter(|host| score(host) < own).count();
        Some(Part { share: 1.0 / count, turn: before as f64 / count })
    }
}
