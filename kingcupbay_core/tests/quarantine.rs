//! Quarantine of parts of prompts that crash engines.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use kingcupbay_core::{
    quarantine::{BEGIN_TIME, Quarantine, TRIAL_PERIOD},
    random::Random,
    time::Instant,
    wire::part::{CrashId, PartId, PartReport},
};

const BAD: PartId = PartId(0xbad);

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + millis * 1_000)
}

fn crash(number: u64) -> CrashId {
    CrashId(number)
}

/// Lets `count` answers without the part go on.
fn others_go_on(quarantine: &mut Quarantine, millis: u64, count: u64) {
    for other in 0..count {
        quarantine.on_answer(at(millis), at(millis), &[PartId(other)]);
    }
}

/// Several engines crash on one part, at different times, while others answer.
#[test]
fn a_part_that_engines_crash_on_is_quarantined() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.on_crash(at(0), crash(1), &[PartId(1), BAD]).is_empty());
    assert!(quarantine.on_crash(at(400), crash(2), &[PartId(2), BAD]).is_empty());
    others_go_on(&mut quarantine, 500, 10);
    assert!(quarantine.on_crash(at(800), crash(3), &[PartId(3), BAD]).is_empty());
    assert_eq!(quarantine.on_tick(at(2_800)), [BAD]);
    assert_eq!(quarantine.find(at(2_801), &[PartId(1), BAD]), Some(BAD));
    assert_eq!(quarantine.find(at(2_801), &[PartId(1), PartId(2), PartId(3)]), None);
}

/// All engines of a rack fail together. The parts that their requests share must stay in use.
#[test]
fn engines_that_fail_together_quarantine_nothing() {
    let mut quarantine = Quarantine::default();
    let shared = PartId(7);
    for number in 0..20 {
        quarantine.on_crash(at(number), crash(number), &[shared]);
    }
    others_go_on(&mut quarantine, 1_000, 50);
    assert_eq!(quarantine.find(at(1_001), &[shared]), None);
    quarantine.on_answer(at(2_000), at(1_400), &[shared]);
    for number in 20..23 {
        quarantine.on_crash(at(2_000 + number * 100), crash(number), &[shared]);
    }
    assert_eq!(quarantine.find(at(5_000), &[shared]), None);
}

/// Several engines fail together. Their requests must go on to others, as the parts that they
/// share have been answered before.
#[test]
fn requests_of_engines_that_fail_together_are_repeated() {
    let mut quarantine = Quarantine::default();
    quarantine.on_answer(at(0), at(0), &[PartId(7)]);
    for number in 0..4 {
        quarantine.on_crash(at(100 + number), crash(number), &[PartId(7), PartId(100 + number)]);
        assert!(!quarantine.is_repeated(at(200), &[PartId(7), PartId(100 + number)]));
    }
    quarantine.on_crash(at(300), crash(9), &[PartId(7), PartId(100)]);
    assert!(quarantine.is_repeated(at(300), &[PartId(7), PartId(100)]));
}

/// Engines crash whatever they run, as while they are overloaded. No part explains that.
#[test]
fn nothing_is_quarantined_while_no_answer_goes_on() {
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        let parts = [PartId(7), PartId(100 + number)];
        assert!(quarantine.on_crash(at(number * 500), crash(number), &parts).is_empty());
    }
}

/// A wrong suspicion at one entry must be corrected by another one, where answers went on.
#[test]
fn an_entry_that_knows_answers_clears_a_suspect() {
    let (mut suspects, mut knows) = (Quarantine::default(), Quarantine::default());
    knows.on_answer(at(0), at(0), &[BAD]);
    suspects.on_crash(at(100), crash(1), &[BAD]);
    suspects.on_crash(at(300), crash(2), &[BAD]);
    let reports = suspects.reports(at(310));
    knows.on_answer(at(900), at(350), &[BAD]);
    knows.on_reports(at(910), reports, true);
    suspects.on_reports(at(920), knows.reports(at(911)), false);
    others_go_on(&mut suspects, 930, 10);
    assert!(suspects.on_crash(at(940), crash(3), &[BAD]).is_empty());
}

/// An entry that has started, or was cut off, must learn of a quarantine without a crash.
#[test]
fn a_quarantine_is_reported_again() {
    let mut quarantine = Quarantine::default();
    others_go_on(&mut quarantine, 500, 10);
    for number in 0..3 {
        quarantine.on_crash(at(number * 200), crash(number), &[BAD]);
    }
    assert_eq!(quarantine.on_tick(at(2_400)), [BAD]);
    quarantine.reports(at(2_500));
    for secs in (6..30).step_by(2) {
        let mut started = Quarantine::default();
        let reports = quarantine.reports(at(secs * 1_000));
        assert_eq!(started.on_reports(at(secs * 1_000), reports, true), [BAD]);
        assert_eq!(started.find(at(secs * 1_000), &[BAD]), Some(BAD));
    }
}

/// A trial whose answer goes on ends a quarantine, one that an engine crashes on renews it.
#[test]
fn a_trial_decides_whether_a_quarantine_lasts() {
    let mut quarantine = Quarantine::default();
    others_go_on(&mut quarantine, 500, 10);
    for number in 0..3 {
        quarantine.on_crash(at(number * 200), crash(number), &[BAD]);
    }
    assert_eq!(quarantine.on_tick(at(2_400)), [BAD]);
    assert!(!quarantine.try_trial(at(60_000), BAD));
    let due = at(2_400) + TRIAL_PERIOD;
    assert!(quarantine.try_trial(due, BAD) && !quarantine.try_trial(due, BAD));
    quarantine.on_crash(due, crash(9), &[BAD]);
    assert_eq!(quarantine.find(due, &[BAD]), Some(BAD));
    let due = due + TRIAL_PERIOD;
    assert!(quarantine.try_trial(due, BAD));
    assert_eq!(quarantine.on_answer(due + BEGIN_TIME, due, &[BAD]), [BAD]);
    assert_eq!(quarantine.find(due + BEGIN_TIME, &[BAD]), None);
}

/// Callers invent parts by the thousand. What is kept of them must stay bounded.
#[test]
fn invented_parts_take_bounded_memory() {
    let mut quarantine = Quarantine::default();
    others_go_on(&mut quarantine, 500, 10);
    for number in 0..3 {
        quarantine.on_crash(at(number * 200), crash(number), &[BAD]);
    }
    quarantine.on_tick(at(2_400));
    for number in 0..100_000 {
        let part = PartId(1_000_000 + number);
        quarantine.on_crash(at(3_000 + number / 100), crash(10), &[part]);
        if number % 100 == 0 {
            assert!(quarantine.reports(at(3_000 + number / 100)).len() <= 64);
        }
    }
    assert!(quarantine.suspects() <= 1_001);
    assert_eq!(quarantine.find(at(4_500), &[BAD]), Some(BAD), "the quarantine is kept");
}

/// Shape of one play.
#[derive(Clone, Copy, Debug)]
struct Play {
    entries: usize,
    engines: usize,
    /// One in so many requests holds the bad part.
    bad_in: u64,
    /// Place of the bad part among the parts.
    place: usize,
    /// Time until an entry's report has reached all others.
    report_delay: u64,
    seed: u64,
}

/// What a play showed.
#[derive(Debug, Default)]
struct Outcome {
    bad_crashes: u32,
    /// Bad requests that reached engines later than 3 s after the fifth crash.
    late: u32,
    wrong: BTreeSet<PartId>,
    /// Sound requests in the last 10 s, and those of them that began.
    sound: u32,
    began: u32,
}

struct Running {
    entry: usize,
    engine: usize,
    process: u64,
    parts: Vec<PartId>,
    begins: u64,
    tries: u32,
    counted: bool,
}

/// Plays 30 s of requests in steps of 20 ms. Engines also crash for other causes: one every 2 s,
/// and a third of them together at 12 s.
fn play(play: Play) -> Outcome {
    const STEP: u64 = 20;
    const END: u64 = 30_000;
    const DOWN: u64 = 3_000;
    let mut random = Random::new(play.seed);
    let mut quarantines = vec![Quarantine::default(); play.entries];
    let mut engines: Vec<(u64, u64)> = vec![(1, 0); play.engines];
    let mut running: Vec<Running> = Vec::new();
    let mut reports: BTreeMap<(u64, usize), Vec<PartReport>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut fifth = None;
    for now in (0..END).step_by(STEP as usize) {
        // Ten requests a second at each entry.
        for entry in 0..play.entries {
            if random.below(1_000) >= 10 * STEP {
                continue;
            }
            let bad = now > 5_000 && random.below(play.bad_in) == 0;
            let mut parts = vec![PartId(1 + random.below(9)), PartId(100 + random.below(300))];
            if bad {
                parts.insert(play.place.min(parts.len()), BAD);
            }
            running.push(Running {
                entry,
                engine: usize::MAX,
                process: 0,
                parts,
                begins: 0,
                tries: 0,
                counted: false,
            });
        }
        let mut crashed: BTreeSet<usize> = BTreeSet::new();
        if now % 2_000 == 0 {
            crashed.insert(random.below(play.engines as u64) as usize);
        }
        if now == 12_000 {
            crashed.extend(0..play.engines / 3);
        }
        // Sends what has no engine yet.
        for request in running.iter_mut().filter(|request| request.engine == usize::MAX) {
            let is_bad = request.parts.contains(&BAD);
            if now + 10_000 >= END && !is_bad && request.tries == 0 {
                outcome.sound += 1;
                request.counted = true;
            }
            request.tries += 1;
            let refused = quarantines[request.entry].find(at(now), &request.parts).is_some();
            let up: Vec<usize> = (0..play.engines).filter(|&at| engines[at].1 <= now).collect();
            if refused || up.is_empty() || request.tries > 2 {
                request.tries = u32::MAX;
                continue;
            }
            request.engine = up[random.below(up.len() as u64) as usize];
            request.process = engines[request.engine].0;
            request.begins = now + 60 + random.below(200);
            if is_bad && fifth.is_some_and(|fifth| now > fifth + 3_000) {
                outcome.late += 1;
            }
        }
        running.retain(|request| request.tries != u32::MAX);
        // Bad requests that begin crash their engine.
        for request in running.iter().filter(|request| request.parts.contains(&BAD)) {
            if request.begins <= now && request.process == engines[request.engine].0 {
                outcome.bad_crashes += u32::from(crashed.insert(request.engine));
                if outcome.bad_crashes == 5 {
                    fifth.get_or_insert(now);
                }
            }
        }
        let mut kept = Vec::new();
        for mut request in running {
            let age = now.saturating_sub(request.begins);
            let quarantine = &mut quarantines[request.entry];
            if crashed.contains(&request.engine) {
                if age < BEGIN_TIME.as_millis() {
                    let process = engines[request.engine].0 * 10_000 + request.engine as u64;
                    quarantine.on_crash(at(now), crash(process), &request.parts);
                    if !quarantine.is_repeated(at(now), &request.parts) {
                        request.engine = usize::MAX;
                        kept.push(request);
                    }
                }
            } else if age >= BEGIN_TIME.as_millis() {
                outcome.began += u32::from(request.counted);
                quarantine.on_answer(at(now), at(request.begins), &request.parts);
            } else {
                kept.push(request);
            }
        }
        running = kept;
        for engine in crashed {
            engines[engine] = (engines[engine].0 + 1, now + DOWN);
        }
        if now % 100 == 0 {
            for (entry, quarantine) in quarantines.iter_mut().enumerate() {
                quarantine.on_tick(at(now));
                let due = quarantine.reports(at(now));
                if !due.is_empty() {
                    reports.insert((now + play.report_delay, entry), due);
                }
            }
        }
        let later = reports.split_off(&(now + 1, 0));
        for ((_, from), report) in std::mem::replace(&mut reports, later) {
            for (entry, quarantine) in quarantines.iter_mut().enumerate() {
                if entry != from {
                    quarantine.on_reports(at(now), report.clone(), entry < 32);
                }
            }
        }
        let wrong = quarantines.iter().flat_map(|row| row.quarantined(at(now)));
        outcome.wrong.extend(wrong.filter(|part| *part != BAD));
    }
    outcome
}

/// Entries that each see a few of the crashes must find the part together, and no other one, with
/// crashes of other causes beside it. Sound requests must begin as before.
#[test]
fn entries_find_the_part_together() {
    let shapes = [
        (4, 18, 20, 400, 3),
        (4, 18, 100, 400, 3),
        (30, 60, 20, 500, 1),
        (30, 60, 500, 500, 1),
        (60, 110, 100, 1_500, 1),
    ];
    for (entries, engines, bad_in, report_delay, seeds) in shapes {
        for seed in 0..seeds {
            for place in 0..2 {
                let shape = Play { entries, engines, bad_in, place, report_delay, seed };
                let outcome = play(shape);
                println!("{shape:?}: {outcome:?}");
                assert!(outcome.late <= 3, "{shape:?}: {outcome:?}");
                assert!(outcome.wrong.is_empty(), "{shape:?}: {outcome:?}");
                assert!(outcome.began * 2 >= outcome.sound, "{shape:?}: {outcome:?}");
            }
        }
    }
}
