//! Troubles, drawn from a seed, brought from outside the programs.

use std::{io, rc::Rc, time::Duration};

use kingcupbay_core::random::Random;
use kingcupbay_standin::{Fault, FaultOrder, Rule, Server};

use crate::{
    callers::ADAPTERS,
    fleet::{Fleet, Host, Upstream},
    proxy::{Flow, Path, Proxy},
};

/// What happens to a daemon's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It is killed.
    Kill,
    /// It is stopped where it is for the trouble's time.
    Pause,
    /// It is asked to stop, twice.
    Terminate,
    /// It is told that its settings may have changed.
    Reload,
}

/// What happens on a way between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Everything is late.
    Late,
    /// Nothing passes either way.
    Cut,
    /// What is sent does not arrive; what comes back does.
    CutThere,
    /// What is sent arrives; nothing comes back.
    CutBack,
    /// Open connections are reset.
    Reset,
    /// Open connections go silent for good.
    Silence,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// To the process of an entry.
    Entry(usize, Signal),
    /// To the process of a daemon beside an engine.
    Sidecar(usize, Signal),
    /// Between a daemon, entries counted first, and the store.
    Store(usize, Way),
    /// To a daemon, entries counted first, from the others.
    Peers(usize, Way),
    /// To an upstream, engines counted first.
    Upstream(usize, Way),
    /// Requests that an upstream runs get no answer, a failure or a late one.
    Answers(usize, Fault),
    /// The engine restarts empty.
    Restart(usize),
    /// Store calls fail, are late, or take effect without an answer.
    Calls(Fault),
    /// The store drops its history.
    Forget,
    /// A new configuration, which withdraws the guests' key.
    Configure(u64),
    /// A new version of an adapter.
    Announce(usize),
    /// An upstream says that it is leaving, and later that it stays.
    Leave(usize),
}

impl Trouble {
    /// Whether it is planned work, in which no request may be lost.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Trouble::Entry(_, Signal::Terminate | Signal::Reload)
                | Trouble::Sidecar(_, Signal::Terminate | Signal::Reload)
                | Trouble::Configure(_)
                | Trouble::Announce(_)
                | Trouble::Leave(_)
                | Trouble::Forget
        )
    }
}

/// A trouble with its times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Since the round began.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub trouble: Trouble,
}

/// The troubles of one round; they overlap. Only planned work if `planned`.
pub fn round(random: &mut Random, fleet: &Fleet, planned: bool) -> Vec<Timed> {
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

fn draw(random: &mut Random, fleet: &Fleet) -> Trouble {
    let mut one_of = |count: usize| random.below(count as u64) as usize;
    let entry = one_of(fleet.entries.len());
    let engine = one_of(fleet.engines.len());
    let host = one_of(fleet.hosts().count());
    let upstream = one_of(fleet.upstreams().count());
    let signal = [Signal::Kill, Signal::Pause, Signal::Terminate, Signal::Reload][one_of(4)];
    let ways =
        [Way::Late, Way::Cut, Way::CutThere, Way::CutBack, Way::Reset, Way::Silence, Way::Cut];
    let way = ways[one_of(ways.len())];
    let late = Fault::LateAnswer { millis: 300 };
    let answers = [Fault::LoseAnswer, Fault::ErrorAnswer, late, Fault::Reset, Fault::Silent];
    let calls =
        [Fault::Outage, Fault::Silent, Fault::LoseAnswer, Fault::Slow { millis: 250 }, late];
    match one_of(14) {
        0 | 1 => Trouble::Entry(entry, signal),
        2 => Trouble::Sidecar(engine, signal),
        3 => Trouble::Store(host, way),
        4 => Trouble::Peers(host, way),
        5 | 6 => Trouble::Upstream(upstream, way),
        7 => Trouble::Answers(upstream, answers[one_of(answers.len())]),
        8 => Trouble::Restart(engine),
        9 => Trouble::Calls(calls[one_of(calls.len())]),
        10 => Trouble::Forget,
        11 => Trouble::Configure(1 + one_of(3) as u64),
        12 => Trouble::Announce(one_of(ADAPTERS.len())),
        _ => Trouble::Leave(upstream),
    }
}

/// Brings a trouble about and ends it when its time is over.
pub async fn bring(fleet: &Fleet, timed: Timed) -> io::Result<()> {
    tokio::time::sleep(timed.at).await;
    let lasts = timed.lasts;
    let host = |at: usize| fleet.hosts().nth(at).expect("drawn among the daemons");
    let upstream = |at: usize| fleet.upstreams().nth(at).expect("drawn among the upstreams");
    match timed.trouble {
        Trouble::Entry(at, signal) => send(&fleet.entries[at], signal, lasts).await?,
        Trouble::Sidecar(at, signal) => send(&fleet.sidecars[at], signal, lasts).await?,
        Trouble::Store(at, way) => disturb(&host(at).store, way, lasts).await,
        Trouble::Peers(at, way) => disturb(&host(at).peers, way, lasts).await,
        Trouble::Upstream(at, way) => disturb(&upstream(at).proxy, way, lasts).await,
        Trouble::Answers(at, fault) => set(upstream(at).runner.server(), fault, lasts).await,
        Trouble::Restart(at) => fleet.engines[at].runner.server().apply(FaultOrder::Restart),
        Trouble::Calls(fault) => set(fleet.store.server(), fault, lasts).await,
        Trouble::Forget => fleet.store.drop_history(),
        Trouble::Configure(step) => fleet.operator.configure(&fleet.store, step),
        Trouble::Announce(adapter) => fleet.announce(ADAPTERS[adapter]),
        Trouble::Leave(at) => leave(fleet, upstream(at), lasts).await,
    }
    Ok(())
}

async fn send(host: &Rc<Host>, signal: Signal, lasts: Duration) -> io::Result<()> {
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
            // By now it may be another process; that one stops as well.
            host.daemon.borrow().terminate()?;
        }
    }
    Ok(())
}

async fn disturb(proxy: &Proxy, way: Way, lasts: Duration) {
    const LATE: Flow = Flow::Late(Duration::from_millis(40));
    let path = match way {
        Way::Late => Path { there: LATE, back: LATE },
        Way::Cut => Path::CUT,
        Way::CutThere => Path { there: Flow::Held, back: Flow::Open },
        Way::CutBack => Path { there: Flow::Open, back: Flow::Held },
        Way::Reset => return proxy.reset(),
        Way::Silence => return proxy.silence(),
    };
    proxy.set(path);
    tokio::time::sleep(lasts).await;
    proxy.set(Path::default());
}

async fn set(server: &Server, fault: Fault, lasts: Duration) {
    let id = server.add_rule(Rule::new(fault));
    tokio::time::sleep(lasts).await;
    server.apply(FaultOrder::Clear(id));
}

async fn leave(fleet: &Fleet, upstream: &Upstream, lasts: Duration) {
    fleet.register(upstream, true);
    tokio::time::sleep(lasts).await;
    fleet.register(upstream, false);
}
