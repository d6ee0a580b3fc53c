//! One run: rounds of troubles, after each a calm in which all must be well.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{join_all, try_join_all};
use kingcupbay_core::random::Random;
use thiserror::Error;

use crate::{
    callers::{ADAPTERS, Caller, Office, Wish},
    daemon::Workshop,
    fleet::{Fleet, Size},
    promises::{self, Breach, Evidence, Witness},
    sent::{Kind, Sent},
    trouble::{self, Timed},
};

/// Longest time until all is well after the last trouble. It only ends a run
/// that would never end; fleets of six daemons came back in 3 to 13 s.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks at a state that is waited for.
const LOOK: Duration = Duration::from_millis(25);

/// Part of the rounds, in percent, that have only planned work.
const PLANNED: u64 = 35;

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names the troubles and the requests.
    pub seed: u64,
    /// Rounds of troubles.
    pub rounds: u32,
    /// Daemons and upstreams.
    pub size: Size,
    /// Ordinary callers for each entry.
    pub callers: usize,
    /// Where the daemons come from.
    pub workshop: Workshop,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that callers sent.
    pub sent: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// Troubles by round, as they were drawn.
    pub troubles: Vec<Vec<Timed>>,
    /// Longest time from the last trouble of a round until all was well.
    pub calm: Duration,
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

/// Why a run could not be played.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// A process or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Plays one seed.
pub async fn play(plan: &Plan) -> Result<Outcome, RunError> {
    let office = Rc::new(Office {
        fleet: Fleet::start(&plan.workshop, plan.size)?,
        sent: RefCell::default(),
        round: Cell::new(0),
        over: Cell::new(false),
    });
    let mut random = Random::new(plan.seed);
    let mut outcome = Outcome::default();
    let mut planned = BTreeSet::new();
    outcome.breaches.extend(calm(&office, &mut random).await);
    let callers = callers(&office, plan, &mut random);
    for round in 1..=plan.rounds {
        let only_planned = random.below(100) < PLANNED;
        let troubles = trouble::round(&mut random, &office.fleet, only_planned);
        office.round.set(round);
        if troubles.iter().all(|timed| timed.trouble.is_planned()) {
            planned.insert(round);
        }
        try_join_all(troubles.iter().map(|&timed| trouble::bring(&office.fleet, timed))).await?;
        outcome.troubles.push(troubles);
        office.fleet.heal()?;
        // What is sent from here on belongs to no round.
        office.round.set(0);
        let healed = Instant::now();
        outcome.breaches.extend(calm(&office, &mut random).await);
        outcome.calm = outcome.calm.max(healed.elapsed());
    }
    office.over.set(true);
    for caller in callers {
        // A caller that panicked would be a fault of this program.
        caller.await.map_err(io::Error::other)?;
    }
    judge(&office, &planned, &mut outcome);
    Ok(outcome)
}

fn callers(
    office: &Rc<Office>,
    plan: &Plan,
    random: &mut Random,
) -> Vec<actix_rt::task::JoinHandle<()>> {
    let mut started = Vec::new();
    for entry in 0..plan.size.entries {
        let mut caller = |name: &str, at: usize| {
            Caller::new(office, &format!("{name}-{entry}-{at}"), entry, random.draw())
        };
        started.push(actix_rt::spawn(caller("guest", 0).watch()));
        for at in 0..2 {
            started.push(actix_rt::spawn(caller("club", at).press()));
        }
        for at in 0..plan.callers {
            started.push(actix_rt::spawn(caller("winery", at).roam()));
        }
    }
    started
}

/// Waits until all is well; what is not well in the end is a breach.
async fn calm(office: &Rc<Office>, random: &mut Random) -> Option<Breach> {
    let entries = office.fleet.entries.len();
    let lacks = RefCell::new(vec!["an answer"; entries]);
    let probes = (0..entries).map(|entry| {
        let name = format!("probe-{}", random.draw());
        (entry, Caller::new(office, &name, entry, random.draw()))
    });
    let probes: Vec<_> = probes.collect();
    let well = async {
        join_all(probes.into_iter().map(|(entry, mut probe)| {
            let lacks = &lacks;
            async move {
                let note = |lack| lacks.borrow_mut()[entry] = lack;
                all_well(office, &mut probe, note).await;
            }
        }))
        .await;
        until(async || left_over(office).is_none()).await;
    };
    match tokio::time::timeout(PATIENCE, well).await {
        Ok(()) => None,
        Err(_) => {
            let left = left_over(office);
            let seen = format!("entries lack {:?}, left over {left:?}", lacks.borrow());
            Some(Breach { promise: "all is well after the last fault", seen })
        }
    }
}

/// Ends when the probe's entry serves every kind of request, obeys the newest
/// configuration, and has new versions used.
async fn all_well(office: &Rc<Office>, probe: &mut Caller, lacks: impl Fn(&'static str)) {
    let operator = &office.fleet.operator;
    for kind in Kind::ORDINARY {
        lacks(kind.prefix());
        until(async || probe.ask(Wish::new(kind)).await.status() == Some(200)).await;
    }
    lacks("the newest key");
    let newest = operator.number();
    until(async || probe.ask(Wish::guest(newest)).await.status() == Some(200)).await;
    lacks("the end of a withdrawn key");
    let withdrawn = operator.numbers().iter().rev().nth(1).copied().unwrap_or_default();
    until(async || probe.ask(Wish::guest(withdrawn)).await.status() == Some(401)).await;
    lacks("the newest versions");
    for adapter in ADAPTERS {
        until(async || ran_newest(office, &probe.ask_for(adapter).await)).await;
    }
    lacks("nothing");
}

/// Whether the last run of a served stream was on the newest version.
fn ran_newest(office: &Office, sent: &Sent) -> bool {
    let newest = sent.adapter.as_deref().map(|name| office.fleet.operator.version(name));
    let runs = office.fleet.engines.iter().flat_map(|engine| engine.runner.runs());
    let run = runs.filter(|run| run.attempt == sent.attempt).last();
    let version = run.and_then(|run| run.version());
    sent.status() == Some(200) && version == newest
}

/// A request of the last round that runs still, at an entry or an engine.
fn left_over(office: &Office) -> Option<String> {
    let sent = office.sent.borrow();
    let waits = sent.iter().find(|one| one.round > 0 && one.end.is_none());
    let ended =
        |attempt: &String| sent.iter().any(|one| one.attempt == *attempt && one.end.is_some());
    let open = office.fleet.engines.iter().flat_map(|engine| engine.runner.running_streams());
    waits.map(|one| one.attempt.clone()).or_else(|| open.into_iter().find(ended))
}

async fn until(mut well: impl AsyncFnMut() -> bool) {
    while !well().await {
        tokio::time::sleep(LOOK).await;
    }
}

fn judge(office: &Office, planned: &BTreeSet<u32>, outcome: &mut Outcome) {
    let sent = office.sent.borrow();
    let witnesses: Vec<Witness> = office
        .fleet
        .upstreams()
        .map(|upstream| Witness {
            id: upstream.id.clone(),
            runs: upstream.runner.runs(),
            orders: upstream.runner.order_issuers(),
            overloads: upstream.runner.refused_loads(),
        })
        .collect();
    let numbers = office.fleet.operator.numbers();
    let evidence = Evidence { sent: &sent, witnesses: &witnesses, planned, numbers: &numbers };
    outcome.breaches.extend(promises::breaches(&evidence));
    outcome.sent = sent.len();
    outcome.served = sent.iter().filter(|one| one.status() == Some(200)).count();
}
