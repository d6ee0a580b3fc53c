//! Quarantine of parts of prompts that crash engines.
//!
//! An engine may crash whenever it begins to answer a request whose prompt holds a certain
//! part. Suspects of a crash are the parts of all requests that the engine was about to answer,
//! other than those whose answer went on. Each entry sees only its own requests, so entries
//! report suspects to each other. A part is quarantined once several engines have crashed on it,
//! no answer with it has gone on and answers without it have. From then on requests with it are
//! refused.
//!
//! Most crashes have other causes. A part that many requests share is then a suspect of several
//! crashes at once, but its answers go on at other engines, which clears it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    time::{Instant, Span},
    wire::part::{CrashId, PartId, PartReport},
};

/// Time after the first byte of an answer for which its parts are suspects if the engine
/// crashes. Afterwards the answer has gone on.
pub const BEGIN_TIME: Span = Span::from_millis(500);

/// Crashes after which a part is quarantined that no answer is known to have gone on with.
const CRASHES_MIN: usize = 3;

/// Crashes since its last answer after which a part is quarantined with which answers have
/// gone on before.
const CRASHES_MIN_SOUND: usize = 5;

/// Shortest time between the first and the last of these crashes. Engines that fail together,
/// as with their rack, prove nothing of what they ran.
const CRASH_SPREAD: Span = Span::from_millis(150);

/// The same for a part with which answers have gone on before.
const CRASH_SPREAD_SOUND: Span = Span::from_secs(2);

/// Time after a crash in which other entries may say that answers with its suspects have gone on.
/// After [`CRASHES_MIN_SOUND`] crashes nobody waits for that.
const SETTLE_TIME: Span = Span::from_secs(2);

/// Answers without the part that must have gone on since its first crash. While engines crash
/// whatever they run, nothing can be told of a part.
const OTHERS_MIN: usize = 5;

/// How long a crash is remembered.
const CRASH_KEPT: Span = Span::from_secs(60);

/// How long it is remembered that an answer with a part has gone on.
const SOUND_KEPT: Span = Span::from_secs(600);

/// How long a part is quarantined, unless an engine crashes on it again.
const QUARANTINE_TIME: Span = Span::from_secs(600);

/// Pause between two requests that are let through to see whether a part still crashes engines.
pub const TRIAL_PERIOD: Span = Span::from_secs(120);

/// Pause between two reports of an unchanged quarantine, from which entries that have started
/// since learn of it.
const REFRESH_PERIOD: Span = Span::from_secs(2);

/// Crashes remembered of one part.
const CRASHES_MAX: usize = 32;

/// Largest number of suspects. Those of the fewest crashes are dropped first.
const SUSPECTS_MAX: usize = 1_000;

/// Largest number of parts that are remembered as sound. The oldest are dropped first.
const SOUND_MAX: usize = 50_000;

/// Answers that are remembered to have gone on.
const ANSWERS_MAX: usize = 256;

/// Parts in one report.
const REPORT_MAX: usize = 64;

/// A part that engines may have crashed on.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<CrashId, Instant>,
    /// When the last answer with it began that went on.
    sound: Option<Instant>,
    /// When it was last found to crash engines.
    decided: Option<Instant>,
    /// When the first of the crashes was that counted for that.
    since: Option<Instant>,
    /// Whether other entries have to know of a change.
    changed: bool,
}

impl Suspect {
    /// An answer that has gone on, whenever it was, outweighs a few crashes.
    fn is_quarantined(&self, now: Instant) -> bool {
        let holds = match self.sound {
            None => true,
            Some(sound) => Some(sound) < self.since && self.crashes.len() >= CRASHES_MIN_SOUND,
        };
        holds && self.decided.is_some_and(|decided| now.since(decided) < QUARANTINE_TIME)
    }

    /// Returns the times of the crashes since its last answer that went on, except those in
    /// `explained`.
    fn open_crashes(&self, now: Instant, explained: &BTreeMap<CrashId, Instant>) -> Vec<Instant> {
        let open = self.crashes.iter().filter(|(id, at)| {
            now.since(**at) < CRASH_KEPT
                && self.sound.is_none_or(|sound| sound < **at)
                && !explained.contains_key(id)
        });
        let mut times: Vec<Instant> = open.map(|(_, at)| *at).collect();
        times.sort_unstable();
        times
    }

    /// Returns whether anything about it is still of use.
    fn is_live(&self, now: Instant) -> bool {
        self.is_quarantined(now) || self.crashes.values().any(|at| now.since(*at) < CRASH_KEPT)
    }
}

/// Suspects and quarantined parts, as far as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<PartId, Suspect>,
    /// When the last answer with a part began that went on.
    sound: BTreeMap<PartId, Instant>,
    /// Invariant: the entries of `sound` by time.
    sound_by_time: BTreeSet<(Instant, PartId)>,
    /// When recent answers began that went on, with their parts.
    answers: VecDeque<(Instant, Vec<PartId>)>,
    /// Crashes that a quarantined part explains, with the time at which that was found.
    explained: BTreeMap<CrashId, Instant>,
    refreshed: Instant,
    trials: BTreeMap<PartId, Instant>,
}

impl CrashId {
    /// Returns the id of the crash of the engine `id` that started at `born`.
    pub fn of(id: &str, born: u64) -> CrashId {
        let mut hasher = DefaultHasher::new();
        (id, born).hash(&mut hasher);
        CrashId(hasher.finish())
    }
}

impl Quarantine {
    /// Returns the first of `parts` that is quarantined.
    pub fn find(&self, now: Instant, parts: &[PartId]) -> Option<PartId> {
        let quarantined = |part: &&PartId| {
            self.suspects.get(part).is_some_and(|suspect| suspect.is_quarantined(now))
        };
        parts.iter().find(quarantined).copied()
    }

    /// Returns the quarantined parts.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = PartId> {
        let rows = self.suspects.iter();
        rows.filter(move |(_, suspect)| suspect.is_quarantined(now)).map(|(part, _)| *part)
    }

    /// Returns whether several engines have crashed on one of `parts`, with which no answer is
    /// known to have gone on. A request that an engine has just crashed on is not sent to another
    /// one then.
    pub fn is_repeated(&self, now: Instant, parts: &[PartId]) -> bool {
        let is_repeated = |suspect: &Suspect| {
            suspect.sound.is_none() && suspect.open_crashes(now, &self.explained).len() > 1
        };
        parts.iter().filter_map(|part| self.suspects.get(part)).any(is_repeated)
    }

    /// Returns whether a request with the quarantined `part` may be sent to see whether engines
    /// still crash on it. Only one entry may ask.
    pub fn try_trial(&mut self, now: Instant, part: PartId) -> bool {
        let Some(decided) = self.suspects.get(&part).and_then(|suspect| suspect.decided) else {
            return false;
        };
        let last = self.trials.get(&part).map_or(decided, |trial| decided.max(*trial));
        let due = now.since(last) >= TRIAL_PERIOD;
        if due {
            self.trials.insert(part, now);
        }
        due
    }

    /// Records that an answer to a request with `parts`, begun at `began`, has gone on. Returns
    /// the parts that are no longer quarantined.
    pub fn on_answer(&mut self, now: Instant, began: Instant, parts: &[PartId]) -> Vec<PartId> {
        self.answers.push_back((began, parts.to_vec()));
        if self.answers.len() > ANSWERS_MAX {
            self.answers.pop_front();
        }
        let mut released = Vec::new();
        for &part in parts {
            self.remember_sound(now, part, began);
            let Some(suspect) = self.suspects.get_mut(&part) else { continue };
            let was = suspect.is_quarantined(now);
            // Only an answer that clears it is news to others.
            let open = suspect.open_crashes(now, &self.explained).len();
            suspect.sound = suspect.sound.max(Some(began));
            suspect.changed |= suspect.open_crashes(now, &self.explained).len() < open;
            if was && !suspect.is_quarantined(now) {
                suspect.changed = true;
                released.push(part);
            }
        }
        released
    }

    fn remember_sound(&mut self, now: Instant, part: PartId, began: Instant) {
        let known = self.sound.insert(part, began);
        if let Some(known) = known {
            self.sound_by_time.remove(&(known, part));
        }
        self.sound_by_time.insert((began, part));
        let expired = |&(at, _): &(Instant, PartId)| now.since(at) >= SOUND_KEPT;
        while self.sound.len() > SOUND_MAX || self.sound_by_time.first().is_some_and(expired) {
            let Some((_, part)) = self.sound_by_time.pop_first() else { break };
            self.sound.remove(&part);
        }
    }

    /// Records that the engine of `crash` has crashed while it was about to answer a request
    /// with `parts`. Returns the parts that are quarantined from now on.
    pub fn on_crash(&mut self, now: Instant, crash: CrashId, parts: &[PartId]) -> Vec<PartId> {
        for &part in parts {
            let sound = self.sound.get(&part).copied();
            let suspect = self.suspects.entry(part).or_default();
            suspect.sound = suspect.sound.max(sound);
            let new = suspect.crashes.insert(crash, now).is_none();
            if suspect.is_quarantined(now) {
                suspect.decided = Some(now);
            }
            limit_crashes(suspect);
            // One crash says little of a part that answers have gone on with.
            let open = suspect.open_crashes(now, &self.explained).len();
            suspect.changed |= new && (sound.is_none() || open > 1);
        }
        self.review(now)
    }

    /// Applies another entry's reports. `corrects` says whether this entry reports back what
    /// clears a suspect. Returns the parts that are quarantined from now on.
    pub fn on_reports(
        &mut self,
        now: Instant,
        reports: Vec<PartReport>,
        corrects: bool,
    ) -> Vec<PartId> {
        let at = |age: Span| Instant::from_micros(now.as_micros().saturating_sub(age.as_micros()));
        let before: BTreeSet<PartId> = self.quarantined(now).collect();
        for report in reports {
            let own = self.sound.get(&report.part).copied();
            let suspect = self.suspects.entry(report.part).or_default();
            for (crash, age) in report.crashes {
                if age < CRASH_KEPT {
                    suspect.crashes.entry(crash).or_insert(at(age));
                }
            }
            suspect.sound = suspect.sound.max(report.sound.map(at));
            let decided = report.decided.map(at);
            if decided > suspect.decided {
                (suspect.decided, suspect.since) = (decided, report.since.map(at));
            }
            let open = |suspect: &Suspect| suspect.open_crashes(now, &self.explained).len();
            let (crashes, quarantined) = (open(suspect), suspect.is_quarantined(now));
            suspect.sound = suspect.sound.max(own);
            let cleared = crashes > 1 && open(suspect) < crashes;
            suspect.changed |=
                corrects && (cleared || (quarantined && !suspect.is_quarantined(now)));
            if suspect.is_quarantined(now) {
                self.explained.extend(suspect.crashes.keys().map(|&id| (id, now)));
            }
            limit_crashes(suspect);
        }
        self.review(now);
        self.quarantined(now).filter(|part| !before.contains(part)).collect()
    }

    /// Releases `part`, as an operator asks. Returns whether it was quarantined.
    pub fn release(&mut self, now: Instant, part: PartId) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let was = suspect.is_quarantined(now);
        suspect.sound = Some(now);
        suspect.changed = true;
        // Only crashes from now on count.
        suspect.decided = None;
        self.remember_sound(now, part, now);
        was
    }

    /// Decides which suspects are quarantined, and returns those that have not been. Drops what
    /// is no longer of use.
    fn review(&mut self, now: Instant) -> Vec<PartId> {
        self.suspects.retain(|_, suspect| suspect.changed || suspect.is_live(now));
        self.trials.retain(|part, _| self.suspects.contains_key(part));
        while self.suspects.len() > SUSPECTS_MAX {
            let least = self.suspects.iter().min_by_key(|(part, suspect)| {
                (suspect.is_quarantined(now), suspect.crashes.len(), **part)
            });
            let Some(part) = least.map(|(part, _)| *part) else { break };
            self.suspects.remove(&part);
        }
        self.explained.retain(|_, at| now.since(*at) < CRASH_KEPT);
        let mut found = Vec::new();
        loop {
            // A crash that a quarantined part explains tells nothing of the others.
            let quarantined = self.suspects.values().filter(|row| row.is_quarantined(now));
            let crashes = quarantined.flat_map(|row| row.crashes.keys());
            let explained: Vec<CrashId> =
                crashes.filter(|id| !self.explained.contains_key(*id)).copied().collect();
            self.explained.extend(explained.into_iter().map(|id| (id, now)));
            let open = self.suspects.iter().filter(|(_, row)| !row.is_quarantined(now));
            let guilty = open.filter_map(|(&part, row)| {
                let crashes = row.open_crashes(now, &self.explained);
                let is_guilty = self.is_guilty(now, part, row, &crashes);
                is_guilty.then_some((crashes.len(), row.sound.is_none(), part))
            });
            let Some((_, _, part)) = guilty.max() else { return found };
            let suspect = self.suspects.get_mut(&part).expect("it was found there");
            suspect.since = suspect.open_crashes(now, &self.explained).first().copied();
            suspect.decided = Some(now);
            suspect.changed = true;
            found.push(part);
        }
    }

    /// Returns whether `crashes`, in the order of their times, show that engines crash on `part`.
    fn is_guilty(
        &self,
        now: Instant,
        part: PartId,
        suspect: &Suspect,
        crashes: &[Instant],
    ) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else { return false };
        let is_settled = || {
            crashes.len() >= CRASHES_MIN_SOUND || now.since(crashes[CRASHES_MIN - 1]) >= SETTLE_TIME
        };
        let (least, spread) = match suspect.sound {
            None => (CRASHES_MIN, CRASH_SPREAD),
            Some(_) => (CRASHES_MIN_SOUND, CRASH_SPREAD_SOUND),
        };
        let others =
            self.answers.iter().filter(|(at, parts)| at >= first && !parts.contains(&part));
        crashes.len() >= least
            && last.since(*first) >= spread
            && is_settled()
            && others.count() >= OTHERS_MIN
    }

    /// Decides again, as answers without a suspect may have gone on since. Returns the parts
    /// that are quarantined from now on.
    pub fn on_tick(&mut self, now: Instant) -> Vec<PartId> {
        match self.suspects.is_empty() {
            true => Vec::new(),
            false => self.review(now),
        }
    }

    /// Returns what other entries have to know: suspects that have changed, those of the most
    /// crashes first, and from time to time all quarantined parts.
    pub fn reports(&mut self, now: Instant) -> Vec<PartReport> {
        let refresh = now.since(self.refreshed) >= REFRESH_PERIOD;
        if refresh {
            self.refreshed = now;
        }
        let is_due = |row: &Suspect| row.changed || (refresh && row.is_quarantined(now));
        let mut due: Vec<(bool, usize, PartId)> = self
            .suspects
            .iter()
            .filter(|(_, row)| is_due(row))
            .map(|(part, row)| (row.is_quarantined(now), row.crashes.len(), *part))
            .collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(REPORT_MAX);
        let mut reports = Vec::with_capacity(due.len());
        for (_, _, part) in due {
            let suspect = self.suspects.get_mut(&part).expect("it was found there");
            suspect.changed = false;
            let crashes = suspect.crashes.iter();
            reports.push(PartReport {
                part,
                crashes: crashes.map(|(&id, &at)| (id, now.since(at))).collect(),
                sound: suspect.sound.map(|at| now.since(at)),
                decided: suspect.decided.map(|at| now.since(at)),
                since: suspect.since.map(|at| now.since(at)),
            });
        }
        reports
    }

    /// Returns the number of suspects, quarantined parts included.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }
}

/// Drops the oldest crashes of a suspect beyond [`CRASHES_MAX`].
fn limit_crashes(suspect: &mut Suspect) {
    while suspect.crashes.len() > CRASHES_MAX {
        let oldest = suspect.crashes.iter().min_by_key(|(id, at)| (**at, **id));
        let Some(id) = oldest.map(|(id, _)| *id) else { return };
        suspect.crashes.remove(&id);
    }
}
