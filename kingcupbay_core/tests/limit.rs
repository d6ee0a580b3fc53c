//! Request rates that upstreams announce.

use kingcupbay_core::{
    limit::{LimitGate, LimitRecord, LimitShares, LimitSource},
    random::Random,
    time::{Instant, Span},
    wire::{limit::LimitReport, metadata::AnnouncedLimit},
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + millis * 1_000)
}

fn per_s(rate: f64) -> AnnouncedLimit {
    AnnouncedLimit::PerSecond(rate)
}

/// Returns the most of `times`, in milliseconds, within 4 s.
fn busiest(times: &[u64]) -> usize {
    let count = |from: &u64| times.iter().filter(|at| (*from..from + 4_000).contains(at)).count();
    times.iter().map(count).max().unwrap_or_default()
}

/// Returns the number of requests that the platform allows in 4 s.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * 4.0 + 5.0) as usize
}

/// Returns the times, in milliseconds, of the requests that `gate` lets pass.
fn granted(gate: &mut LimitGate, millis: std::ops::Range<u64>) -> Vec<u64> {
    let granted = millis.filter(|&now| {
        let granted = gate.may_send(at(now));
        if granted {
            gate.on_send(at(now));
        }
        granted
    });
    granted.collect()
}

/// A limited upstream gets a flood. Each span of 4 s must keep to the rate, also those that
/// begin before the limit was known.
#[test]
fn a_limited_upstream_gets_its_rate_at_most() {
    for rate in [0.05, 0.3, 1.0, 1.9, 5.0, 30.0] {
        let mut gate = LimitGate::default();
        let mut times: Vec<u64> = (0..4_000).step_by(100).collect();
        times.iter().for_each(|&now| gate.on_send(at(now)));
        gate.on_answer(at(4_000), at(3_990), LimitSource::Report, per_s(rate));
        times.extend(granted(&mut gate, 4_000..24_000));
        let until = |end: u64| times.iter().filter(|at| (end - 3_999..=end).contains(at)).count();
        let counted = times.iter().filter(|end| **end >= 7_000).map(|end| until(*end)).max();
        assert!(counted.is_some_and(|count| count <= allowed(rate)), "{rate}: {counted:?}");
        let late = times.iter().filter(|at| **at >= 12_000).count();
        // The times are whole milliseconds, so each request is up to one late.
        assert!(late as f64 >= (rate * 12.0 * 0.97).floor(), "{rate}: {late}");
    }
}

/// An upstream that took nothing takes ten requests a second. They must not wait for the turn
/// that the lower rate had set.
#[test]
fn a_raised_limit_takes_effect_at_once() {
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Report, per_s(0.0));
    assert_eq!(granted(&mut gate, 0..1_000).len(), 1);
    gate.on_answer(at(1_000), at(990), LimitSource::Report, per_s(10.0));
    assert!(granted(&mut gate, 1_000..2_000).len() >= 9);
    let mut shares = LimitShares::default();
    let hosts = || vec!["entry-1", "entry-2"];
    let mut sends = |millis: std::ops::Range<u64>, rate: f64| {
        shares.on_answer(at(millis.start), at(millis.start), "plain-1", 1, per_s(rate));
        let sent = |now: &u64| shares.try_send(at(*now), "plain-1", 1, "entry-1", hosts).is_ok();
        millis.filter(sent).count()
    };
    sends(0..1_000, 0.1);
    assert!(sends(1_000..3_000, 10.0) >= 8);
}

/// A sidecar looks at its queue every 20 ms, so that each grant is late. The rate must be
/// used all the same.
#[test]
fn late_grants_do_not_lower_the_rate() {
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Report, per_s(30.0));
    let granted = (0..8_000).step_by(20).filter(|&now| {
        let granted = gate.may_send(at(now));
        if granted {
            gate.on_send(at(now));
        }
        granted
    });
    let count = granted.count();
    assert!((230..=245).contains(&count), "{count}");
}

/// The expected wait decides which requests are refused at once, so it has to come true.
#[test]
fn the_expected_wait_is_met() {
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Order, per_s(2.0));
    for ahead in [0, 1, 4] {
        let expected = gate.wait(at(0), ahead).as_millis();
        let times = granted(&mut gate.clone(), 0..4_000);
        assert!(times[ahead].abs_diff(expected) <= 1, "{ahead}: {} of {expected}", times[ahead]);
    }
}

/// The answer to an earlier request, which names no limit, arrives after the first one that
/// names it. The limit must hold until an answer to a later request names none.
#[test]
fn a_late_answer_does_not_end_a_limit() {
    let known = LimitRecord::after_answer(None, at(50), at(40), 1, per_s(2.0));
    let none = AnnouncedLimit::Unlimited;
    let late = LimitRecord::after_answer(known, at(60), at(30), 1, none);
    assert_eq!(late, known);
    let ended = LimitRecord::after_answer(known, at(90), at(70), 1, none).expect("known");
    assert_eq!(ended.rate(at(90)), None);
}

/// The answer to an earlier request names a limit and arrives after the limit has ended. It
/// must not bring the limit back.
#[test]
fn a_late_answer_does_not_bring_back_a_limit() {
    let known = LimitRecord::after_answer(None, at(50), at(40), 1, per_s(2.0));
    let none = AnnouncedLimit::Unlimited;
    let ended = LimitRecord::after_answer(known, at(90), at(70), 1, none);
    let late = LimitRecord::after_answer(ended, at(95), at(60), 1, per_s(2.0)).expect("known");
    assert_eq!(late.rate(at(95)), None);
    let next = LimitRecord::after_answer(ended, at(120), at(100), 1, per_s(2.0)).expect("known");
    assert_eq!(next.rate(at(120)), Some(2.0));
}

/// The store comes back from an older copy, whose row names an earlier start. The limit of the
/// process that runs must hold until it registers again.
#[test]
fn an_older_row_does_not_drop_a_limit() {
    let mut shares = LimitShares::default();
    shares.on_answer(at(0), at(0), "plain-1", 5, per_s(2.0));
    assert_eq!(shares.rate(at(10), "plain-1", 4), Some(2.0));
    assert_eq!(shares.rate(at(10), "plain-1", 6), None);
}

/// An upstream restarts. Its limit must not outlast it, and a late answer of the earlier
/// process must not limit the new one.
#[test]
fn a_restarted_upstream_does_not_inherit_a_limit() {
    let earlier = LimitRecord::after_answer(None, at(10), at(0), 1, per_s(2.0));
    let next = LimitRecord::after_answer(earlier, at(50), at(40), 2, AnnouncedLimit::Unlimited);
    assert!(next.is_none_or(|record| record.rate(at(50)).is_none()));
    let named = LimitRecord::after_answer(earlier, at(60), at(50), 2, per_s(7.0));
    let late = LimitRecord::after_answer(named, at(70), at(5), 1, per_s(2.0));
    assert_eq!(late.and_then(|record| record.rate(at(70))), Some(7.0));
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Report, per_s(1.0));
    gate.on_restart(at(100));
    gate.on_answer(at(110), at(90), LimitSource::Report, per_s(1.0));
    gate.on_report(at(120), LimitReport { born: 1, rate: Some(1.0), age: Span::from_millis(50) });
    assert_eq!(gate.rate(at(120)), None);
}

/// An invalid value must neither set nor end a limit, and a rate of zero must not keep an
/// upstream without requests for ever.
#[test]
fn unusual_limits_are_kept_within_bounds() {
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Report, AnnouncedLimit::Invalid);
    assert_eq!(gate.rate(at(0)), None);
    gate.on_answer(at(10), at(10), LimitSource::Report, per_s(0.0));
    gate.on_answer(at(20), at(20), LimitSource::Report, AnnouncedLimit::Invalid);
    let limited = gate.rate(at(20));
    assert!(limited.is_some_and(|rate| rate < 0.1), "{limited:?}");
    let times = granted(&mut gate, 20..200_000);
    assert!(busiest(&times[..2]) == 1 && times.len() > 100, "{}", times.len());
}

/// The answers to orders name a limit and those to reports do not. One must not end the
/// other's.
#[test]
fn answers_of_one_kind_do_not_end_the_limit_of_another() {
    let mut gate = LimitGate::default();
    gate.on_answer(at(0), at(0), LimitSource::Order, per_s(1.0));
    gate.on_answer(at(20), at(10), LimitSource::Report, AnnouncedLimit::Unlimited);
    assert_eq!(gate.rate(at(20)), Some(1.0));
    gate.on_answer(at(40), at(30), LimitSource::Order, AnnouncedLimit::Unlimited);
    assert_eq!(gate.rate(at(40)), None);
}

/// One entry of a simulated fleet.
struct Entry {
    host: String,
    limits: LimitShares,
    /// Requests per second.
    load: f64,
}

/// Returns entries whose callers together send `total` requests per second, evenly or with
/// half of them at one entry.
fn entries(count: usize, total: f64, even: bool) -> Vec<Entry> {
    let entry = |index: usize| {
        let even_load = total / count as f64;
        let uneven = if index == 0 { total / 2.0 } else { even_load / 2.0 };
        let limits = LimitShares::default();
        let load = if even { even_load } else { uneven };
        Entry { host: format!("entry-{index}"), limits, load }
    };
    (0..count).map(entry).collect()
}

/// Plays `millis` of callers who ask for one upstream with a limit of `rate`. Each entry
/// learns of the limit by its own answers, and by the others' reports ten times a second. Returns the
/// times of the requests in milliseconds.
fn play(
    entries: &mut Vec<Entry>,
    rate: f64,
    millis: u64,
    seed: u64,
    change: impl Fn(u64, &mut Vec<Entry>),
) -> Vec<u64> {
    let mut listed: Vec<String> = Vec::new();
    let mut random = Random::new(seed);
    let mut times = Vec::new();
    for now in 0..millis {
        change(now, entries);
        if listed.len() != entries.len() {
            listed = entries.iter().map(|entry| entry.host.clone()).collect();
        }
        let hosts: Vec<&str> = listed.iter().map(String::as_str).collect();
        for (entry, own) in entries.iter_mut().zip(&hosts) {
            if random.unit() >= entry.load / 1e3 {
                continue;
            }
            if entry.limits.try_send(at(now), "plain-1", 1, own, || hosts.clone()).is_ok() {
                times.push(now);
                entry.limits.on_answer(at(now), at(now), "plain-1", 1, per_s(rate));
            }
        }
        if now % 100 == 0 {
            let reports: Vec<_> =
                entries.iter_mut().map(|entry| entry.limits.reports(at(now), |_| true)).collect();
            for (from, report) in reports.iter().enumerate() {
                let others = entries.iter_mut().enumerate().filter(|(to, _)| *to != from);
                for (_, entry) in others {
                    for (id, &report) in report {
                        entry.limits.on_report(at(now), id, report);
                    }
                }
            }
        }
    }
    times
}

/// Many entries learn of a limit within a second. Together they must keep to the rate, and
/// use most of it, whatever their number and however uneven their callers.
#[test]
fn entries_keep_to_the_limit_together() {
    for (count, rate) in [(4, 0.3), (4, 1.0), (4, 9.0), (30, 1.0), (30, 9.0), (340, 1.0)] {
        for (even, seed) in [(true, 1), (false, 2), (true, 3)] {
            let mut entries = entries(count, 40.0_f64.max(rate * 4.0), even);
            let times = play(&mut entries, rate, 24_000, seed, |_, _| {});
            let known: Vec<u64> = times.iter().copied().filter(|at| *at >= 500).collect();
            let case = format!("{count} {rate} {even} {seed}");
            assert!(busiest(&known) <= allowed(rate), "{case}: {}", busiest(&known));
            let used = times.iter().filter(|at| **at >= 8_000).count() as f64 / 16.0;
            assert!(used >= 0.2 * rate, "{case}: {used}");
        }
    }
}

/// Entries are added, restarted, and frozen with their callers waiting. Together they must
/// keep to the limit, and use most of it once all is well.
#[test]
fn added_restarted_and_frozen_entries_keep_to_the_limit() {
    for (count, rate) in [(4, 1.0), (4, 9.0), (30, 2.0)] {
        for seed in 1..=3 {
            let total = 40.0;
            let mut fleet = entries(count, total, true);
            let change = |now: u64, fleet: &mut Vec<Entry>| match now {
                8_000 => {
                    let mut added = entries(count, total, true);
                    added.iter_mut().for_each(|entry| entry.host.push_str("-added"));
                    fleet.append(&mut added);
                }
                12_000 => {
                    fleet
                        .iter_mut()
                        .step_by(2)
                        .for_each(|entry| entry.limits = LimitShares::default());
                }
                14_000 => fleet[1].load = 0.0,
                18_000 => fleet[1].load = total,
                _ => {}
            };
            let times = play(&mut fleet, rate, 28_000, seed, change);
            let known: Vec<u64> = times.iter().copied().filter(|at| *at >= 500).collect();
            // Each entry that was restarted sends one request before it has been answered.
            let allowed = allowed(rate) + count;
            assert!(busiest(&known) <= allowed, "{count} {rate} {seed}: {}", busiest(&known));
            let late = times.iter().filter(|at| **at >= 20_000).count() as f64 / 8.0;
            assert!(late >= 0.5 * rate, "{count} {rate} {seed}: {late}");
        }
    }
}

/// An entry restarts and knows nothing. It must learn of the limit from the others, so that
/// the upstream need not announce it again.
#[test]
fn an_entry_learns_of_a_limit_from_others() {
    let mut direct = LimitShares::default();
    direct.on_answer(at(0), at(0), "plain-1", 1, per_s(2.0));
    let reports = direct.reports(at(100), |_| true);
    let mut other = LimitShares::default();
    assert!(other.on_report(at(110), "plain-1", reports["plain-1"]));
    assert_eq!(other.rate(at(110), "plain-1", 1), Some(2.0));
    assert_eq!(other.rate(at(110), "plain-1", 2), None);
    assert!(other.reports(at(120), |_| true).is_empty());
    assert!(direct.reports(at(1_500), |_| false).is_empty());
    direct.on_answer(at(300), at(200), "plain-1", 1, AnnouncedLimit::Unlimited);
    assert!(other.on_report(at(320), "plain-1", direct.reports(at(310), |_| true)["plain-1"]));
    assert_eq!(other.rate(at(320), "plain-1", 1), None);
}

/// All callers move to one entry. It must use the limit at least three quarters as well as all
/// entries did before.
#[test]
fn one_entry_with_all_callers_uses_the_limit() {
    for (count, rate) in [(4, 1.0), (4, 9.0), (30, 9.0)] {
        for seed in 1..=3 {
            let total = 40.0_f64.max(rate * 4.0);
            let mut fleet = entries(count, total, true);
            let change = |now: u64, fleet: &mut Vec<Entry>| {
                if now == 16_000 {
                    fleet.iter_mut().for_each(|entry| entry.load = 0.0);
                    fleet[0].load = total;
                }
            };
            let times = play(&mut fleet, rate, 24_000, seed, change);
            let before = times.iter().filter(|at| (8_000..16_000).contains(*at)).count();
            let during = times.iter().filter(|at| **at >= 16_000).count();
            assert!(during * 4 >= before * 3, "{count} {rate} {seed}: {during} after {before}");
        }
    }
}
