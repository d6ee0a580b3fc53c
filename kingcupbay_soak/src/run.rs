//! One run: rounds of troubles, after each of which the fleet must recover.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{join_all, try_join_all};
use kingcupbay_core::random::Random;
use thiserror::Error;

use crate::{
    abandoned, announcements,
    callers::{ADAPTERS, Caller, Context, Spec},
    crowd,
    daemon::DaemonFiles,
    fleet::{Fleet, Size, ZONES},
    parts,
    promises::{self, Breach, Record, UpstreamRecord},
    sent::{Kind, Sent},
    trouble::{self, Signal, Timed, Trouble},
};

/// Longest recovery after the last trouble of a round. It only ends a run that
/// would never end: fleets of six daemons recover in 3 to 13 s.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two polls of a state that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Share of the rounds that have only planned work.
const PLANNED_ROUNDS_PERCENT: u64 = 35;

/// Separates the seed of what upstreams say from that of the other troubles.
const ANNOUNCEMENTS_SEED: u64 = 0x616e_6e6f;

/// Separates the seed of silences from that of the other troubles.
const SILENCES_SEED: u64 = 0x7369_6c65;

/// Separates that of spoilt answers.
const SPOILT_SEED: u64 = 0x7370_6f69;

/// Separates that of answers without an end and fatal requests.
const ENDLESS_SEED: u64 = 0x656e_646c;

/// Separates that of signals to all entries.
const SIGNALS_SEED: u64 = 0x7369_676e;

/// Callers per entry besides the ordinary ones: a guest and two of the club.
const OTHER_CALLERS: usize = 3;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the troubles and the requests.
    pub seed: u64,
    /// Number of rounds.
    pub rounds: u32,
    /// Number of daemons and upstreams.
    pub size: Size,
    /// Ordinary callers per entry.
    pub callers: usize,
    /// The daemons' program, settings and logs.
    pub files: DaemonFiles,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of requests that callers sent.
    pub sent: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Troubles of each round, in the order in which they were drawn.
    pub troubles: Vec<Vec<Timed>>,
    /// Longest time from the last trouble of a round until the fleet recovered.
    pub recovery: Duration,
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

/// Reason why a run could not be executed.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// A process or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Executes one run. Fails if a process or a socket of the soak fails.
pub async fn execute(plan: &Plan) -> Result<Outcome, RunError> {
    let context = Rc::new(Context {
        fleet: Fleet::start(&plan.files, plan.size)?,
        sent: RefCell::default(),
        round: Cell::new(0),
        finished: Cell::new(false),
    });
    let mut random = Random::new(plan.seed);
    // Seeds that are kept for their other troubles draw these as before.
    let mut announced = Random::new(plan.seed ^ ANNOUNCEMENTS_SEED);
    let mut silent = Random::new(plan.seed ^ SILENCES_SEED);
    let mut endless = Random::new(plan.seed ^ ENDLESS_SEED);
    let mut spoilt = Random::new(plan.seed ^ SPOILT_SEED);
    let mut signals = Random::new(plan.seed ^ SIGNALS_SEED);
    let mut crowds = crowd::random(plan.seed);
    let mut outcome = Outcome::default();
    let mut sound = BTreeMap::new();
    outcome.breaches.extend(wait_for_recovery(&context, &mut random).await);
    let callers = start_callers(&context, plan, &mut random);
    for round in 1..=plan.rounds {
        let only_planned = random.below(100) < PLANNED_ROUNDS_PERCENT;
        let mut troubles = trouble::draw_round(&mut random, &context.fleet, only_planned);
        troubles.extend(trouble::draw_announcements(&mut announced, &context.fleet));
        troubles.extend(trouble::draw_silences(&mut silent, &context.fleet));
        troubles.extend(trouble::draw_endless(&mut endless, &context.fleet));
        let spoilt = trouble::draw_spoilt(&mut spoilt, &context.fleet);
        // They would excuse losses in a round without other faults.
        let has_faults = troubles.iter().any(|timed| timed.trouble.excuses_loss());
        if has_faults {
            troubles.extend(spoilt);
        }
        troubles.extend(trouble::draw_signals(&mut signals, has_faults));
        troubles.extend(crowd::draw(&mut crowds, &context.fleet));
        context.round.set(round);
        if !troubles.iter().any(|timed| timed.trouble.excuses_loss()) {
            sound.insert(round, stopped_entries(&troubles, plan.size.entries));
        }
        try_join_all(troubles.iter().map(|&timed| trouble::apply(&context.fleet, timed))).await?;
        outcome.troubles.push(troubles);
        outcome.breaches.extend(crowd::check_memory(&context.fleet));
        context.fleet.clear_faults()?;
        // Requests sent from here on belong to no round.
        context.round.set(0);
        let cleared = Instant::now();
        outcome.breaches.extend(wait_for_recovery(&context, &mut random).await);
        outcome.recovery = outcome.recovery.max(cleared.elapsed());
        let zone = ZONES[random.below(ZONES.len() as u64) as usize];
        outcome.breaches.extend(check_evacuation(&context, &mut random, zone).await);
        let callers = plan.callers + OTHER_CALLERS;
        let breach = announcements::check(&context.fleet, &mut announced, callers).await;
        outcome.breaches.extend(breach);
        outcome.breaches.extend(parts::check(&context, &mut announced).await);
        outcome.breaches.extend(parts::check_request(&context, &mut endless).await);
        outcome.breaches.extend(abandoned::check(&context, &mut endless).await);
    }
    context.finished.set(true);
    for caller in callers {
        // A panic of a caller is a fault of the soak itself.
        caller.await.map_err(io::Error::other)?;
    }
    check_promises(&context, &sound, &mut outcome);
    Ok(outcome)
}

/// Returns the entries that are asked to stop.
fn stopped_entries(troubles: &[Timed], entries: usize) -> BTreeSet<usize> {
    let stopped = |timed: &Timed| match timed.trouble {
        Trouble::Entry(entry, Signal::Terminate) => entry..entry + 1,
        Trouble::AllEntries(Signal::Terminate) => 0..entries,
        _ => 0..0,
    };
    troubles.iter().flat_map(stopped).collect()
}

fn start_callers(
    context: &Rc<Context>,
    plan: &Plan,
    random: &mut Random,
) -> Vec<actix_rt::task::JoinHandle<()>> {
    let mut started = Vec::new();
    for entry in 0..plan.size.entries {
        let mut caller = |name: &str, at: usize| {
            Caller::new(context, &format!("{name}-{entry}-{at}"), entry, random.draw())
        };
        started.push(actix_rt::spawn(caller("guest", 0).check_guest_keys()));
        for at in 0..2 {
            started.push(actix_rt::spawn(caller("club", at).exceed_limit()));
        }
        for at in 0..plan.callers {
            started.push(actix_rt::spawn(caller("winery", at).send_ordinary_requests()));
        }
    }
    started
}

/// Waits until the fleet has recovered; returns a breach if it does not in time.
async fn wait_for_recovery(context: &Rc<Context>, random: &mut Random) -> Option<Breach> {
    let entries = context.fleet.entries.len();
    let lack = RefCell::new(vec!["an answer"; entries]);
    let probes = (0..entries).map(|entry| {
        let name = format!("probe-{}", random.draw());
        (entry, Caller::new(context, &name, entry, random.draw()))
    });
    let probes: Vec<_> = probes.collect();
    let recovered = async {
        join_all(probes.into_iter().map(|(entry, mut probe)| {
            let lack = &lack;
            async move {
                let note = |step| lack.borrow_mut()[entry] = step;
                await_service(context, &mut probe, note).await;
            }
        }))
        .await;
        wait_until(async || find_unfinished(context).is_none()).await;
    };
    match tokio::time::timeout(RECOVERY_LIMIT, recovered).await {
        Ok(()) => None,
        Err(_) => {
            let unfinished = find_unfinished(context);
            let details = format!("entries lack {:?}, left over {unfinished:?}", lack.borrow());
            Some(Breach { promise: "all is well after the last fault", details })
        }
    }
}

/// Evacuates `zone` while all is well. Once an entry knows that, its requests must run
/// elsewhere.
async fn check_evacuation(
    context: &Rc<Context>,
    random: &mut Random,
    zone: &str,
) -> Option<Breach> {
    let fleet = &context.fleet;
    fleet.operator.evacuate(&fleet.store, zone, true);
    let checked = async {
        await_evacuated_zones(fleet, 1).await;
        let mut attempts = Vec::new();
        for entry in 0..fleet.entries.len() {
            let name = format!("evacuee-{}", random.draw());
            let mut caller = Caller::new(context, &name, entry, random.draw());
            for kind in Kind::ORDINARY {
                attempts.push(caller.send(Spec::new(kind)).await.attempt);
            }
        }
        let left = fleet.upstreams().filter(|upstream| upstream.zone == zone);
        let runs = left.flat_map(|upstream| upstream.runner.runs());
        let ran: Vec<_> = runs.filter(|run| attempts.contains(&run.attempt)).collect();
        fleet.operator.evacuate(&fleet.store, zone, false);
        await_evacuated_zones(fleet, 0).await;
        ran
    };
    let details = match tokio::time::timeout(RECOVERY_LIMIT, checked).await {
        Ok(ran) if ran.is_empty() => return None,
        Ok(ran) => format!("in {zone}: {:?}", ran[0].attempt),
        Err(_) => format!("not all entries know whether {zone} is evacuated"),
    };
    Some(Breach { promise: "an evacuated zone gets no requests", details })
}

/// Returns when all entries know of `count` evacuated zones.
async fn await_evacuated_zones(fleet: &Fleet, count: u32) {
    for entry in &fleet.entries {
        wait_until(async || entry.evacuated_zones().await == Some(count)).await;
    }
}

/// Returns when the probe's entry serves every kind of request, applies the
/// newest configuration and runs the newest versions of all adapters.
async fn await_service(context: &Rc<Context>, probe: &mut Caller, lack: impl Fn(&'static str)) {
    let operator = &context.fleet.operator;
    for kind in Kind::ORDINARY {
        lack(kind.prefix());
        wait_until(async || probe.send(Spec::new(kind)).await.status() == Some(200)).await;
    }
    lack("the newest key");
    let newest = operator.number();
    wait_until(async || probe.send(Spec::guest(newest)).await.status() == Some(200)).await;
    lack("the end of a withdrawn key");
    let withdrawn = operator.numbers().iter().rev().nth(1).copied().unwrap_or_default();
    wait_until(async || probe.send(Spec::guest(withdrawn)).await.status() == Some(401)).await;
    lack("the newest versions");
    for adapter in ADAPTERS {
        wait_until(async || ran_newest_version(context, &probe.send_stream(adapter).await)).await;
    }
    lack("nothing");
}

/// Whether a stream was served and its last run used the newest version.
fn ran_newest_version(context: &Context, sent: &Sent) -> bool {
    let newest = sent.adapter.as_deref().map(|name| context.fleet.operator.version(name));
    let runs = context.fleet.engines.iter().flat_map(|engine| engine.runner.runs());
    let run = runs.filter(|run| run.attempt == sent.attempt).last();
    let version = run.and_then(|run| run.version());
    sent.status() == Some(200) && version == newest
}

/// Returns a request of a round that is still open at an entry or an engine.
fn find_unfinished(context: &Context) -> Option<String> {
    let sent = context.sent.borrow();
    let unanswered = sent.iter().find(|req| req.round > 0 && req.end.is_none());
    let ended =
        |attempt: &String| sent.iter().any(|req| req.attempt == *attempt && req.end.is_some());
    let open = context.fleet.engines.iter().flat_map(|engine| engine.runner.running_streams());
    unanswered.map(|req| req.attempt.clone()).or_else(|| open.into_iter().find(ended))
}

async fn wait_until(mut recovered: impl AsyncFnMut() -> bool) {
    while !recovered().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn check_promises(
    context: &Context,
    sound: &BTreeMap<u32, BTreeSet<usize>>,
    outcome: &mut Outcome,
) {
    let sent = context.sent.borrow();
    let upstreams: Vec<UpstreamRecord> = context
        .fleet
        .upstreams()
        .map(|upstream| UpstreamRecord {
            id: upstream.id.clone(),
            software: upstream.software.clone(),
            runs: upstream.runner.runs(),
            orders: upstream.runner.order_issuers(),
            overloads: upstream.runner.refused_loads(),
            overheated: upstream.runner.overheated(),
        })
        .collect();
    let numbers = context.fleet.operator.numbers();
    let record = Record { sent: &sent, upstreams: &upstreams, sound, numbers: &numbers };
    outcome.breaches.extend(promises::breaches(&record));
    outcome.sent = sent.len();
    outcome.served = sent.iter().filter(|req| req.status() == Some(200)).count();
}
