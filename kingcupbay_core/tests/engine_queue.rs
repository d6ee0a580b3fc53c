//! What callers of each priority get from engines' queues.

#![allow(clippy::unwrap_used)]

#[path = "engine/load_l.rs"]
mod load_l;

use kingcupbay_core::{
    admission::{
        Action, Admission, Ticket,
        queue::{Queue, Waiter},
        report::Report,
    },
    deployment::model::{AdapterName, Engine, Model, ResidentModel},
    random::Random,
    time::{Instant, Span},
    wire::{
        metadata::Size,
        sidecar::{PermitRequest, Refusal, Verdict},
    },
};

use load_l::play;

/// Engines that hold popular adapters get this many times the mean load.
const CONCENTRATION: f64 = 1.6;

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

fn request(id: u64, priority: u8, organisation: &str) -> PermitRequest {
    PermitRequest {
        attempt: format!("a{id}"),
        name: AdapterName { model: "base".into(), adapter: Some("roses".into()) },
        newest: None,
        priority,
        size: Size { prompt: 1_000, output: 100 },
        latency_target: Span::from_millis(800),
        max_wait: Span::from_millis(1_600),
        event_gap: None,
        entry: "127.0.0.1:1".parse().unwrap(),
        cold: Span::ZERO,
        limit: None,
        spec: None,
        organisation: Some(organisation.to_owned()),
        transferred: false,
    }
}

fn report() -> Report {
    let adapters = [("roses".to_owned(), 1)].into();
    let resident = vec![ResidentModel { model: "base".into(), version: 1, adapters }];
    Report { memory: 100_000, resident, ..Report::default() }
}

fn engine(report: Report) -> Admission {
    let mut admission = Admission::new("upstream-1");
    admission.on_spec(Engine {
        slots: 64,
        kv_tokens: 100_000,
        adapter_slots: 20,
        weights_mb: 100.0,
        models: [("base".to_owned(), Model { weights_mb: 50.0, adapter_mb: 1.0 })].into(),
        load_rate: None,
        transfers: None,
    });
    admission.on_fencing(7);
    admission.on_report(at(0), report);
    admission
}

fn refusals(actions: &[Action]) -> Vec<(u64, Refusal, Span)> {
    let refusal = |action: &Action| match action {
        Action::Answer(Ticket(id), Verdict::Refused { why, after }) => Some((*id, *why, *after)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against a queue in which the most urgent requests are served worst under load.
#[test]
fn the_most_urgent_are_served_best() {
    for seed in 0..5 {
        let [contest, draft, casual] = play(2.0 * CONCENTRATION, 8.0, seed);
        println!("seed {seed}: {contest:?} {draft:?} {casual:?}");
        assert!(contest.value() >= 0.90, "seed {seed}: {contest:?}");
        assert!(contest.value() >= casual.value(), "seed {seed}: {contest:?} {casual:?}");
        assert!(casual.value() > 0.5, "seed {seed}: {casual:?}");
    }
}

/// Guards against a changed order where all requests have one priority and one
/// organisation. The order is compared with that of earlier builds.
#[test]
fn equal_requests_keep_the_earlier_order() {
    for seed in 0..50 {
        let mut random = Random::new(seed);
        let mut queue = Queue::default();
        let mut expected = Vec::new();
        let now = at(1_000);
        let priority = random.below(3) as u8;
        for id in 0..40 {
            let queued = at(random.below(1_000));
            let target = Span::from_millis(random.below(2_000));
            let request = PermitRequest { latency_target: target, ..request(id, priority, "o") };
            let late = now + Span::from_millis(150) > queued + target;
            expected.push((late, queued, Ticket(id)));
            queue.push(Waiter::new(queued, Ticket(id), request));
        }
        expected.sort_unstable();
        while !queue.is_empty() {
            let order = queue.grant_order(now, 8_000, |_| Span::ZERO);
            let keys: Vec<Ticket> = expected.iter().map(|(.., ticket)| *ticket).collect();
            assert_eq!(order, keys, "seed {seed}");
            queue.grant(now, order[0]);
            expected.remove(0);
        }
    }
}

/// Guards against starvation of less urgent requests, and against a larger share than
/// theirs while more urgent requests wait.
#[test]
fn less_urgent_requests_get_their_share() {
    let mut queue = Queue::default();
    for id in 0..300 {
        queue.push(Waiter::new(at(0), Ticket(id), request(id, (id % 3) as u8, "o")));
    }
    let mut granted = [0; 3];
    for _ in 0..96 {
        let order = queue.grant_order(at(1), 8_000, |_| Span::ZERO);
        granted[(order[0].0 % 3) as usize] += 1;
        queue.grant(at(1), order[0]);
    }
    assert!((71..=73).contains(&granted[0]), "{granted:?}");
    assert!((5..=7).contains(&granted[2]), "{granted:?}");
}

/// Guards against an organisation that floods the queue and delays all others.
#[test]
fn an_organisation_that_floods_waits_behind_others() {
    let mut queue = Queue::default();
    for id in 0..40 {
        queue.push(Waiter::new(at(id), Ticket(id), request(id, 1, "flood")));
    }
    queue.push(Waiter::new(at(41), Ticket(41), request(41, 1, "calm")));
    let order = queue.grant_order(at(42), 8_000, |_| Span::ZERO);
    let position = order.iter().position(|ticket| *ticket == Ticket(41)).unwrap();
    assert!(position <= 9, "{order:?}");
}

/// Guards against less urgent requests that wait in vain while more urgent ones arrive. The
/// refusal must name a time after which the queue has drained.
#[test]
fn hopeless_requests_are_refused_early_and_least_urgent_first() {
    let mut engine = engine(report());
    let mut actions = Vec::new();
    for id in 0..12 {
        let priority = if id % 2 == 0 { 1 } else { 2 };
        actions.extend(engine.on_permit_request(at(1), Ticket(id), request(id, priority, "o")));
    }
    assert_eq!(refusals(&actions), []);
    let mut refused = Vec::new();
    for id in 100..140 {
        let actions = engine.on_permit_request(at(2), Ticket(id), request(id, 0, "o"));
        refused.extend(refusals(&actions).into_iter().filter(|(id, ..)| *id < 100));
    }
    let odd = refused.iter().take_while(|(id, ..)| id % 2 == 1).count();
    assert!(odd > 0 && refused[odd..].iter().all(|(id, ..)| id % 2 == 0), "{refused:?}");
    for (_, why, after) in refused {
        assert_eq!(why, Refusal::Busy);
        assert!(after >= Span::from_millis(800), "{after:?}");
    }
}

/// Guards against less urgent requests that are refused on arrival, or later as hopeless,
/// although their share gets them a permit in time.
#[test]
fn the_share_of_less_urgent_requests_counts_on_arrival() {
    let mut engine = engine(report());
    for id in 0..50 {
        let patient = PermitRequest { max_wait: Span::from_secs(20), ..request(id, 0, "o") };
        assert_eq!(refusals(&engine.on_permit_request(at(1), Ticket(id), patient)), []);
    }
    let actions = engine.on_permit_request(at(1), Ticket(50), request(50, 1, "o"));
    assert_eq!(refusals(&actions), []);
    // The same request of the most urgent priority comes after all of them.
    let actions = engine.on_permit_request(at(1), Ticket(51), request(51, 0, "o"));
    assert_eq!(refusals(&actions).len(), 1);
    // Once others of its priority wait, the share does not suffice for one more.
    let mut refused = 0;
    for id in 52..60 {
        let actions = engine.on_permit_request(at(1), Ticket(id), request(id, 1, "o"));
        refused += refusals(&actions).len();
    }
    assert!(refused > 0);
    let patient = PermitRequest { max_wait: Span::from_secs(20), ..request(60, 0, "o") };
    let refused = refusals(&engine.on_permit_request(at(1), Ticket(60), patient));
    assert!(refused.iter().all(|(id, ..)| *id != 50), "{refused:?}");
}

/// Guards against load reports that tell urgent callers to wait behind less urgent ones,
/// and against longer reports where all requests have one priority.
#[test]
fn load_reports_name_the_waits_by_priority() {
    let mut alike = engine(report());
    let mut mixed = engine(report());
    for id in 0..30 {
        alike.on_permit_request(at(1), Ticket(id), request(id, 1, "o"));
        mixed.on_permit_request(at(1), Ticket(id), request(id, 1 + (id % 2) as u8, "o"));
    }
    assert!(!alike.load_report(at(2)).is_extended());
    let shown = mixed.load_report(at(2));
    assert!(shown.delay_for(1) < shown.delay_for(2), "{shown:?}");
    assert!(shown.delay_for(2) <= shown.delay, "{shown:?}");
}

/// Guards against a crowd that was refused by a restarting engine and returns at once. It
/// must return by priority and no faster than the engine prefills.
#[test]
fn a_crowd_returns_by_priority_and_as_fast_as_it_is_served() {
    let mut engine = engine(Report { memory: 100_000, ..Report::default() });
    let mut returns: Vec<(Span, u8)> = Vec::new();
    for id in 0..60 {
        let priority = (id % 3) as u8;
        let refused = engine.on_permit_request(at(1), Ticket(id), request(id, priority, "o"));
        returns.extend(refusals(&refused).into_iter().map(|(.., after)| (after, priority)));
    }
    returns.sort_unstable();
    let means = [0, 1, 2].map(|priority| {
        let times = returns.iter().filter(|(_, own)| *own == priority);
        times.map(|(after, _)| after.as_millis()).sum::<u64>() / 20
    });
    assert!(means[0] < means[1] && means[1] < means[2], "{means:?}");
    assert!(returns[0].0 >= Span::from_millis(1_800), "{returns:?}");
    // A request is prefilled in 70 ms; at the start, each priority may return at once.
    for (first, (begin, _)) in returns.iter().enumerate() {
        for (count, (end, _)) in returns[first..].iter().enumerate() {
            let work = Span::from_millis(70 * count.saturating_sub(4) as u64);
            assert!(end.saturating_sub(*begin) >= work, "{returns:?}");
        }
    }
    // The engine prefills 60,000 tokens in 2.7 s or more.
    assert!(returns[59].0 >= Span::from_millis(1_800 + 2_700), "{returns:?}");
}
