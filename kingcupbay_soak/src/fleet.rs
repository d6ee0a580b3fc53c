//! Stand-ins and daemons of one run, with a proxy on each way between them.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};

use crate::{
    daemon::{Daemon, Workshop},
    operator::Operator,
    proxy::{Path, Proxy},
};

/// Places for adapters of each engine.
pub const PLACES: usize = 3;

/// Events of each stream.
pub const EVENTS: u64 = 20;

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(15);

/// How soon the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(150);

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(5);

/// Tries to find a port that is free at every engine's address.
const PORT_TRIES: u32 = 20;

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Engines, each with a daemon beside it.
    pub engines: usize,
    /// Plain services.
    pub desks: usize,
}

/// A daemon with the ways to it and from it.
pub struct Host {
    /// The daemon.
    pub daemon: RefCell<Daemon>,
    /// From it to the store.
    pub store: Proxy,
    /// From other daemons to it.
    pub peers: Proxy,
    /// It is not started again; the run is over.
    over: Cell<bool>,
}

/// An upstream with the way to it.
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// The stand-in.
    pub runner: UpstreamServer,
    /// Where it is registered.
    pub proxy: Proxy,
    /// Whether it is registered as leaving.
    pub leaving: Cell<bool>,
}

/// All processes and stand-ins of one run.
pub struct Fleet {
    /// The platform's store.
    pub store: Registry,
    /// What the operator wrote.
    pub operator: Operator,
    /// Entries.
    pub entries: Vec<Rc<Host>>,
    /// Daemons beside engines, in the order of [`Fleet::engines`].
    pub sidecars: Vec<Rc<Host>>,
    /// Engines.
    pub engines: Vec<Upstream>,
    /// Plain services.
    pub desks: Vec<Upstream>,
    supervisors: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // First the daemons: what they would still send to ports of this run
        // could reach another one that is given the same ports.
        for host in self.hosts() {
            host.over.set(true);
            host.daemon.borrow_mut().kill();
        }
        self.supervisors.iter().for_each(JoinHandle::abort);
    }
}

fn any() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

impl Fleet {
    /// Starts everything; the daemons listen some milliseconds later.
    pub fn start(workshop: &Workshop, size: Size) -> io::Result<Fleet> {
        let store = Registry::start(any())?;
        let operator = Operator::default();
        operator.configure(&store, 1);
        let engine = |at: usize| {
            let settings = UpstreamSettings {
                adapter_slots: PLACES,
                event_interval: PAUSE,
                ..UpstreamSettings::engine(&format!("gpu-{at}"), EVENTS)
            };
            Upstream::start("writer", settings, engine_ip(at))
        };
        let desk = |at: usize| {
            let settings = UpstreamSettings::plain(&format!("desk-{at}"));
            Upstream::start("desk", settings, Ipv4Addr::LOCALHOST.into())
        };
        let engines = (0..size.engines).map(engine).collect::<io::Result<Vec<_>>>()?;
        let desks = (0..size.desks).map(desk).collect::<io::Result<Vec<_>>>()?;
        let (port, beside) = beside_engines(size.engines)?;
        let sidecars = beside.into_iter().zip(&engines).enumerate().map(|(at, (peers, engine))| {
            let rest = format!("engine = {}\nservice = writer\n", engine.proxy.address());
            Host::new(workshop, &store, "upstream", at, peers, &rest)
        });
        let sidecars = sidecars.collect::<io::Result<Vec<_>>>()?;
        let entries = (0..size.entries).map(|at| {
            let peers = Proxy::start(any())?;
            let rest = format!(
                "ready = 127.0.0.1:0\nsidecars = {port}\nadvertise = {}\n",
                peers.address()
            );
            Host::new(workshop, &store, "entry", at, peers, &rest)
        });
        let entries = entries.collect::<io::Result<Vec<_>>>()?;
        let supervisors = entries.iter().chain(&sidecars).cloned();
        let supervisors = supervisors.map(|host| actix_rt::spawn(supervise(host))).collect();
        let fleet = Fleet { store, operator, entries, sidecars, engines, desks, supervisors };
        fleet.upstreams().for_each(|upstream| fleet.register(upstream, false));
        Ok(fleet)
    }

    /// Every daemon.
    pub fn hosts(&self) -> impl Iterator<Item = &Rc<Host>> {
        self.entries.iter().chain(&self.sidecars)
    }

    /// Every upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.engines.iter().chain(&self.desks)
    }

    /// Writes an upstream's registration.
    pub fn register(&self, upstream: &Upstream, leaving: bool) {
        upstream.leaving.set(leaving);
        let at = upstream.proxy.address();
        let row = upstream.runner.registration_at(at, upstream.service, leaving);
        self.store.put("servers", &upstream.id, &row);
    }

    /// Announces a newer version of `adapter`, which engines load from now on.
    pub fn announce(&self, adapter: &str) {
        // Weights are there before they are announced.
        let next = self.operator.version(adapter) + 1;
        self.engines.iter().for_each(|engine| engine.runner.set_newest_version(adapter, next));
        self.operator.announce(&self.store, adapter);
    }

    /// Ends every fault that was left behind.
    pub fn heal(&self) -> io::Result<()> {
        let servers = self.upstreams().map(|upstream| upstream.runner.server());
        for server in servers.chain([self.store.server()]) {
            server.apply(kingcupbay_standin::FaultOrder::ClearAll);
        }
        for host in self.hosts() {
            host.store.set(Path::default());
            host.peers.set(Path::default());
            host.daemon.borrow_mut().resume()?;
        }
        for upstream in self.upstreams() {
            upstream.proxy.set(Path::default());
            if upstream.leaving.get() {
                self.register(upstream, false);
            }
        }
        Ok(())
    }
}

impl Upstream {
    fn start(
        service: &'static str,
        settings: UpstreamSettings,
        ip: IpAddr,
    ) -> io::Result<Upstream> {
        let id = settings.id.clone();
        let runner = UpstreamServer::start(any(), settings)?;
        let proxy = Proxy::start(SocketAddr::new(ip, 0))?;
        proxy.aim(runner.server().address());
        Ok(Upstream { id, service, runner, proxy, leaving: Cell::new(false) })
    }
}

impl Host {
    fn new(
        workshop: &Workshop,
        store: &Registry,
        role: &str,
        at: usize,
        peers: Proxy,
        rest: &str,
    ) -> io::Result<Rc<Host>> {
        let to_store = Proxy::start(any())?;
        to_store.aim(store.server().address());
        let host = format!("{role}-{at}");
        let callers = match role {
            "entry" => "[callers]\nlisten = 127.0.0.1:0\n",
            _ => "",
        };
        let settings = format!(
            "[daemon]\nhost = {host}\nzone = zone-a\nrole = {role}\n{callers}\
             [peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
             [registry]\nstore = {}\n{rest}",
            to_store.address()
        );
        let daemon = RefCell::new(Daemon::new(workshop, &host, &settings)?);
        Ok(Rc::new(Host { daemon, store: to_store, peers, over: Cell::new(false) }))
    }

    /// Sends other daemons where it listens now; whether it runs still.
    fn look(&self) -> bool {
        let mut daemon = self.daemon.borrow_mut();
        if daemon.has_ended().expect("the daemon is a child of this process") {
            return false;
        }
        if daemon.listens()
            && let Some(address) = daemon.address("peers")
        {
            self.peers.aim(address);
        }
        true
    }

    /// Where callers reach it, while it runs.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.daemon.borrow().address("callers")
    }
}

/// Starts a daemon again whenever it has ended, as the platform does.
async fn supervise(host: Rc<Host>) {
    while !host.over.get() {
        let started = host.daemon.borrow_mut().start();
        started.expect("the daemon's program is there");
        while host.look() {
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(RESTART).await;
    }
}

/// Each engine has an address of its own, as its host would.
fn engine_ip(at: usize) -> IpAddr {
    let last = u8::try_from(at + 1).expect("fewer engines than the last byte can tell apart");
    Ipv4Addr::new(127, 0, 1, last).into()
}

/// Proxies in front of the daemons beside engines: all at one port, each at the
/// address of its engine.
fn beside_engines(count: usize) -> io::Result<(u16, Vec<Proxy>)> {
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..PORT_TRIES {
        let first = Proxy::start(SocketAddr::new(engine_ip(0), 0))?;
        let port = first.address().port();
        let rest = (1..count).map(|at| Proxy::start(SocketAddr::new(engine_ip(at), port)));
        match rest.collect::<io::Result<Vec<_>>>() {
            Ok(mut rest) => {
                rest.insert(0, first);
                return Ok((port, rest));
            }
            Err(error) => last = error,
        }
    }
    Err(last)
}
