//! Faults, planned work and silences, drawn from a seed and applied from outside.

use std::{io, rc::Rc, time::Duration};

use futures_util::future::try_join_all;
use kingcupbay_core::random::Random;
use kingcupbay_standin::{Fault, FaultOrder, Rule, Server};

use crate::{
    callers::ADAPTERS,
    crowd::{self, Shape},
    fleet::{Fleet, Host, Upstream, ZONES},
    proxy::{Flow, Flows, Proxy},
};

/// Signal to a daemon's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Kills the process.
    Kill,
    /// Suspends the process for the duration of the trouble.
    Pause,
    /// Asks for a graceful stop at the start and at the end of the trouble.
    Terminate,
    /// Asks for a reload of the settings.
    Reload,
}

/// Fault on the network path between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// All bytes are delayed.
    Late,
    /// Nothing passes in either direction.
    Cut,
    /// Nothing passes to the target; answers still pass.
    CutThere,
    /// Requests still pass to the target; nothing passes back.
    CutBack,
    /// Open connections are reset.
    Reset,
    /// Open connections carry nothing any more but are not closed.
    Silence,
    /// The heads of answers get a line that is no field.
    Spoil,
}

/// Sound upstreams that fall silent together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// An upstream, engines counted first.
    One(usize),
    /// Every other engine: those with even or with odd indices.
    HalfOfEngines(usize),
    /// All engines.
    Engines,
    /// All plain services.
    Services,
}

impl Group {
    fn contains(self, at: usize, engines: usize) -> bool {
        match self {
            Group::One(one) => at == one,
            Group::HalfOfEngines(first) => at < engines && at % 2 == first,
            Group::Engines => at < engines,
            Group::Services => at >= engines,
        }
    }
}

/// A fault, planned work or a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Signal to an entry.
    Entry(usize, Signal),
    /// Signal to all entries at one moment.
    AllEntries(Signal),
    /// Signal to a sidecar.
    Sidecar(usize, Signal),
    /// Fault on the path from a daemon, entries counted first, to the store.
    Store(usize, PathFault),
    /// Fault on the path from other daemons to one, entries counted first.
    Peers(usize, PathFault),
    /// Fault on the path to an upstream, engines counted first.
    Upstream(usize, PathFault),
    /// An upstream's answers are lost, failures, late, reset or never sent.
    Answers(usize, Fault),
    /// An engine restarts without adapters.
    Restart(usize),
    /// Store calls fail, are late, or take effect without an answer.
    Calls(Fault),
    /// An upstream's answers have no end, with this many milliseconds between two pieces.
    Endless(usize, u64),
    /// The store drops its change history.
    Forget,
    /// The store comes back from a copy that lacks this many of the last versions. The
    /// operator and the upstreams write again at the end.
    Rewind(u64),
    /// The operator writes a configuration that withdraws the last guest key.
    Configure(u64),
    /// The operator announces a new version of an adapter.
    Announce(usize),
    /// An upstream is registered as leaving and, at the end, as staying.
    Leave(usize),
    /// An upstream limits its requests, per second.
    Limit(usize, u64),
    /// An upstream turns requests away and asks for this many seconds of rest.
    Rest(usize, u64),
    /// An upstream says in its answers that it leaves and, at the end, starts anew.
    SayLeaving(usize),
    /// An availability zone is evacuated and, at the end, restored. Its engines are cold
    /// then.
    Evacuate(usize),
    /// Sound upstreams neither read nor write for a while, and go on.
    FallSilent(Group),
    /// A crowd of clients sends much to an entry, and never all of it.
    Crowd(usize, Shape),
}

impl Trouble {
    /// Whether requests may be lost during it: it is neither planned work, a silence nor a crowd.
    pub fn excuses_loss(self) -> bool {
        !self.is_planned() && !matches!(self, Trouble::FallSilent(_) | Trouble::Crowd(..))
    }

    /// Whether this is planned work.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Trouble::Entry(_, Signal::Terminate | Signal::Reload)
                | Trouble::AllEntries(Signal::Terminate | Signal::Reload)
                | Trouble::Sidecar(_, Signal::Terminate | Signal::Reload)
                | Trouble::Configure(_)
                | Trouble::Announce(_)
                | Trouble::Leave(_)
                | Trouble::Limit(..)
                | Trouble::Rest(..)
                | Trouble::SayLeaving(_)
                | Trouble::Evacuate(_)
                | Trouble::Forget
        )
    }
}

/// A trouble with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Start, from the beginning of the round.
    pub at: Duration,
    /// Duration.
    pub lasts: Duration,
    /// The trouble itself.
    pub trouble: Trouble,
}

/// Draws the overlapping troubles of a round; all are planned work if `planned`.
pub fn draw_round(random: &mut Random, fleet: &Fleet, planned: bool) -> Vec<Timed> {
    let count = 2 + random.below(5) as usize;
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let trouble = draw(random, fleet);
        if !planned || trouble.is_planned() {
            let at = Duration::from_millis(random.below(1_500));
            let lasts = Duration::from_millis(100 + random.below(2_400));
            drawn.push(Timed { at, lasts, trouble });
        }
    }
    drawn
}

/// Draws what upstreams say of themselves during a round, to overlap its other troubles.
pub fn draw_announcements(random: &mut Random, fleet: &Fleet) -> Vec<Timed> {
    let count = random.below(3);
    let announcement = |_| {
        let upstream = random.below(fleet.upstreams().count() as u64) as usize;
        let trouble = match random.below(3) {
            0 => Trouble::Limit(upstream, 1 + random.below(4)),
            1 => Trouble::Rest(upstream, 1 + random.below(3)),
            _ => Trouble::SayLeaving(upstream),
        };
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(100 + random.below(2_400));
        Timed { at, lasts, trouble }
    };
    (0..count).map(announcement).collect()
}

/// Draws silences of upstreams during a round, to overlap its other troubles and each other.
pub fn draw_silences(random: &mut Random, fleet: &Fleet) -> Vec<Timed> {
    let count = random.below(4);
    let silence = |_| {
        let upstream = random.below(fleet.upstreams().count() as u64) as usize;
        let group = match random.below(5) {
            0 | 1 => Group::One(upstream),
            2 => Group::HalfOfEngines(upstream % 2),
            3 => Group::Engines,
            _ => Group::Services,
        };
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(800 + random.below(1_801));
        Timed { at, lasts, trouble: Trouble::FallSilent(group) }
    };
    (0..count).map(silence).collect()
}

/// Draws upstreams whose answers have no end during a round, to overlap its other troubles.
pub fn draw_endless(random: &mut Random, fleet: &Fleet) -> Vec<Timed> {
    let count = 2_u64.saturating_sub(random.below(6));
    let endless = |_| {
        let upstream = random.below(fleet.upstreams().count() as u64) as usize;
        let trouble = Trouble::Endless(upstream, [0, 50][random.below(2) as usize]);
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(100 + random.below(2_400));
        Timed { at, lasts, trouble }
    };
    (0..count).map(endless).collect()
}

/// Draws upstreams, daemons and paths to the store whose answers are spoilt during a round, to
/// overlap its other troubles.
pub fn draw_spoilt(random: &mut Random, fleet: &Fleet) -> Vec<Timed> {
    let count = 2_u64.saturating_sub(random.below(5));
    let spoilt = |_| {
        let mut one_of = |count: usize| random.below(count as u64) as usize;
        let trouble = match one_of(4) {
            0 => Trouble::Store(one_of(fleet.hosts().count()), PathFault::Spoil),
            1 => Trouble::Peers(one_of(fleet.hosts().count()), PathFault::Spoil),
            _ => Trouble::Upstream(one_of(fleet.upstreams().count()), PathFault::Spoil),
        };
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(100 + random.below(2_400));
        Timed { at, lasts, trouble }
    };
    (0..count).map(spoilt).collect()
}

/// Draws signals to all entries at one moment during a round, to overlap its other troubles.
/// They are killed only if `may_kill`.
pub fn draw_signals(random: &mut Random, may_kill: bool) -> Vec<Timed> {
    let count = 1_u64.saturating_sub(random.below(4));
    let signal = |_| {
        let signal = match random.below(3) {
            0 => Signal::Reload,
            1 => Signal::Terminate,
            _ if may_kill => Signal::Kill,
            _ => Signal::Reload,
        };
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(100 + random.below(2_400));
        Timed { at, lasts, trouble: Trouble::AllEntries(signal) }
    };
    (0..count).map(signal).collect()
}

fn draw(random: &mut Random, fleet: &Fleet) -> Trouble {
    let mut one_of = |count: usize| random.below(count as u64) as usize;
    let entry = one_of(fleet.entries.len());
    let engine = one_of(fleet.engines.len());
    let host = one_of(fleet.hosts().count());
    let upstream = one_of(fleet.upstreams().count());
    let signal = [Signal::Kill, Signal::Pause, Signal::Terminate, Signal::Reload][one_of(4)];
    let faults = [
        PathFault::Late,
        PathFault::Cut,
        PathFault::CutThere,
        PathFault::CutBack,
        PathFault::Reset,
        PathFault::Silence,
        PathFault::Cut,
    ];
    let fault = faults[one_of(faults.len())];
    let late = Fault::LateAnswer { millis: 300 };
    let answers = [Fault::LoseAnswer, Fault::ErrorAnswer, late, Fault::Reset, Fault::Silent];
    let calls =
        [Fault::Outage, Fault::Silent, Fault::LoseAnswer, Fault::Slow { millis: 250 }, late];
    match one_of(17) {
        0 | 1 => Trouble::Entry(entry, signal),
        2 => Trouble::Sidecar(engine, signal),
        3 => Trouble::Store(host, fault),
        4 => Trouble::Peers(host, fault),
        5 | 6 => Trouble::Upstream(upstream, fault),
        7 => Trouble::Answers(upstream, answers[one_of(answers.len())]),
        8 => Trouble::Restart(engine),
        9 => Trouble::Calls(calls[one_of(calls.len())]),
        10 => Trouble::Forget,
        11 => Trouble::Configure(1 + one_of(3) as u64),
        12 => Trouble::Announce(one_of(ADAPTERS.len())),
        13 | 14 => Trouble::Evacuate(one_of(ZONES.len())),
        15 => Trouble::Rewind(1 + one_of(20) as u64),
        _ => Trouble::Leave(upstream),
    }
}

/// Applies a trouble at its start and ends it after its duration.
pub async fn apply(fleet: &Fleet, timed: Timed) -> io::Result<()> {
    tokio::time::sleep(timed.at).await;
    let lasts = timed.lasts;
    let host = |at: usize| fleet.hosts().nth(at).expect("drawn among the daemons");
    let upstream = |at: usize| fleet.upstreams().nth(at).expect("drawn among the upstreams");
    match timed.trouble {
        Trouble::Entry(at, signal) => send_signal(&fleet.entries[at], signal, lasts).await?,
        Trouble::AllEntries(signal) => {
            try_join_all(fleet.entries.iter().map(|entry| send_signal(entry, signal, lasts)))
                .await?;
        }
        Trouble::Sidecar(at, signal) => send_signal(&fleet.sidecars[at], signal, lasts).await?,
        Trouble::Store(at, fault) => disturb_path(&host(at).store, fault, lasts).await,
        Trouble::Peers(at, fault) => disturb_path(&host(at).peers, fault, lasts).await,
        Trouble::Upstream(at, fault) => disturb_path(&upstream(at).proxy, fault, lasts).await,
        Trouble::Answers(at, fault) => set_fault(upstream(at).runner.server(), fault, lasts).await,
        Trouble::Restart(at) => fleet.engines[at].runner.server().apply(FaultOrder::Restart),
        Trouble::Calls(fault) => set_fault(fleet.store.server(), fault, lasts).await,
        Trouble::Endless(at, pause) => {
            upstream(at).runner.set_endless(Some(Duration::from_millis(pause)));
            tokio::time::sleep(lasts).await;
            upstream(at).runner.set_endless(None);
        }
        Trouble::Forget => fleet.store.drop_history(),
        Trouble::Configure(step) => fleet.operator.configure(&fleet.store, step),
        Trouble::Announce(adapter) => fleet.announce(ADAPTERS[adapter]),
        Trouble::Leave(at) => leave_and_return(fleet, upstream(at), lasts).await,
        Trouble::Limit(at, rate) => {
            upstream(at).runner.set_limit(Some(&rate.to_string()));
            tokio::time::sleep(lasts).await;
            upstream(at).runner.set_limit(None);
        }
        Trouble::Rest(at, secs) => {
            upstream(at).runner.set_rest(Some(&secs.to_string()));
            tokio::time::sleep(lasts).await;
            upstream(at).runner.set_rest(None);
        }
        Trouble::SayLeaving(at) => {
            upstream(at).runner.set_leaving(true);
            tokio::time::sleep(lasts).await;
            fleet.restart_announced(upstream(at));
        }
        Trouble::Rewind(versions) => rewind_and_write_again(fleet, versions, lasts).await,
        Trouble::Evacuate(at) => evacuate_and_restore(fleet, ZONES[at], lasts).await,
        Trouble::FallSilent(group) => pause(fleet, group, lasts).await,
        Trouble::Crowd(entry, shape) => crowd::press(fleet, entry, shape, lasts).await,
    }
    Ok(())
}

async fn send_signal(host: &Rc<Host>, signal: Signal, lasts: Duration) -> io::Result<()> {
    match signal {
        Signal::Kill => host.daemon.borrow_mut().kill(),
        Signal::Reload => host.daemon.borrow().reload()?,
        Signal::Pause => {
            host.daemon.borrow_mut().pause()?;
            tokio::time::sleep(lasts).await;
            host.daemon.borrow_mut().resume()?;
        }
        Signal::Terminate => {
            host.daemon.borrow().terminate()?;
            tokio::time::sleep(lasts).await;
            // The process may have been restarted meanwhile; the new one stops as well.
            host.daemon.borrow().terminate()?;
        }
    }
    Ok(())
}

async fn disturb_path(proxy: &Proxy, fault: PathFault, lasts: Duration) {
    const DELAY: Flow = Flow::Late(Duration::from_millis(40));
    let flows = match fault {
        PathFault::Late => Flows { to_target: DELAY, from_target: DELAY },
        PathFault::Cut => Flows::CUT,
        PathFault::CutThere => Flows { to_target: Flow::Held, from_target: Flow::Open },
        PathFault::CutBack => Flows { to_target: Flow::Open, from_target: Flow::Held },
        PathFault::Spoil => Flows { to_target: Flow::Open, from_target: Flow::Spoilt },
        PathFault::Reset => return proxy.reset(),
        PathFault::Silence => return proxy.silence(),
    };
    proxy.set(flows);
    tokio::time::sleep(lasts).await;
    proxy.set(Flows::default());
}

async fn set_fault(server: &Server, fault: Fault, lasts: Duration) {
    let id = server.add_rule(Rule::new(fault));
    tokio::time::sleep(lasts).await;
    server.apply(FaultOrder::Clear(id));
}

async fn rewind_and_write_again(fleet: &Fleet, versions: u64, lasts: Duration) {
    // The copy contains the first configuration.
    let version = fleet.store.version().saturating_sub(versions).max(1);
    fleet.store.rewind(version);
    tokio::time::sleep(lasts).await;
    fleet.operator.write_again(&fleet.store);
    fleet.upstreams().for_each(|upstream| fleet.register(upstream, upstream.leaving.get()));
}

async fn evacuate_and_restore(fleet: &Fleet, zone: &str, lasts: Duration) {
    fleet.operator.evacuate(&fleet.store, zone, true);
    tokio::time::sleep(lasts).await;
    let engines = fleet.engines.iter().filter(|engine| engine.zone == zone);
    engines.for_each(|engine| engine.runner.turn_cold());
    fleet.operator.evacuate(&fleet.store, zone, false);
}

async fn pause(fleet: &Fleet, group: Group, lasts: Duration) {
    let upstreams = fleet.upstreams().enumerate();
    let silent = upstreams.filter(|&(at, _)| group.contains(at, fleet.engines.len()));
    let pauses: Vec<_> = silent.map(|(_, upstream)| upstream.runner.server().pause()).collect();
    tokio::time::sleep(lasts).await;
    drop(pauses);
}

async fn leave_and_return(fleet: &Fleet, upstream: &Upstream, lasts: Duration) {
    fleet.register(upstream, true);
    tokio::time::sleep(lasts).await;
    fleet.register(upstream, false);
}
