//! Stand-ins and daemons of one run, with a proxy on each path between them.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_http::{
    Method,
    header::{self, HeaderMap, HeaderValue},
};
use actix_rt::task::JoinHandle;
use kingcupbay_standin::{Registry, UpstreamServer, UpstreamSettings};
use kingcupbayd::Link;

use crate::{
    crowd::MEMORY_MIB,
    daemon::{Daemon, DaemonFiles},
    operator::{COLD_RATE, COLD_SECS, Operator},
    proxy::{Flows, Proxy},
};

/// Adapter slots per engine.
pub const ENGINE_SLOTS: usize = 3;

/// Versions of software that engines run, in turn.
const SOFTWARE_VERSIONS: usize = 2;

/// Events per stream.
pub const STREAM_EVENTS: u64 = 20;

/// Pause between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Delay after which a process that has ended is restarted, as by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// Pause between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Attempts to find a port that is free at the address of every engine.
const MAX_PORT_TRIES: u32 = 20;

/// Number of daemons and upstreams of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Engines, each with a sidecar.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
}

/// A daemon and the proxies on the paths to it and from it.
pub struct Host {
    /// The daemon.
    pub daemon: RefCell<Daemon>,
    /// Proxy from the daemon to the store.
    pub store: Proxy,
    /// Proxy from other daemons to this one.
    pub peers: Proxy,
    /// Set at the end of the run: the daemon is not restarted.
    finished: Cell<bool>,
}

/// Availability zones, which hosts are assigned to in turn.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Requests in a second above which a cold engine crashes.
const COLD_REQUESTS_MAX: usize = (COLD_RATE + COLD_RATE / 2 + 5) as usize;

/// An upstream and the proxy on the path to it.
pub struct Upstream {
    /// Id under which it is registered.
    pub id: String,
    /// Version of its software.
    pub software: String,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Its availability zone.
    pub zone: &'static str,
    /// The stand-in that serves it.
    pub runner: UpstreamServer,
    /// Proxy whose address is registered.
    pub proxy: Proxy,
    /// Whether it is registered as leaving.
    pub leaving: Cell<bool>,
    /// Number of times that it has registered.
    pub writes: Cell<u64>,
    /// Crashes on parts of prompts after which it has registered.
    pub crashes: Cell<u32>,
    /// When it started, as its registration says.
    pub born: Cell<u64>,
}

/// All processes and stand-ins of one run.
pub struct Fleet {
    /// Stand-in of the platform's store.
    pub store: Registry,
    /// Configurations and versions that the operator has written.
    pub operator: Operator,
    /// Entries.
    pub entries: Vec<Rc<Host>>,
    /// Sidecars, in the order of [`Fleet::engines`].
    pub sidecars: Vec<Rc<Host>>,
    /// Engines.
    pub engines: Vec<Upstream>,
    /// Plain services.
    pub services: Vec<Upstream>,
    supervisors: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The daemons are killed first: what they still send to ports of this run
        // could reach another run that is assigned the same ports.
        for host in self.hosts() {
            host.finished.set(true);
            host.daemon.borrow_mut().kill();
        }
        self.supervisors.iter().for_each(JoinHandle::abort);
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

impl Fleet {
    /// Starts the whole fleet; the daemons listen some milliseconds later.
    pub fn start(files: &DaemonFiles, size: Size) -> io::Result<Fleet> {
        let store = Registry::start(any_port())?;
        let operator = Operator::default();
        operator.configure(&store, 1);
        let engine = |at: usize| {
            let settings = UpstreamSettings {
                adapter_slots: ENGINE_SLOTS,
                software: format!("v{}", 1 + at % SOFTWARE_VERSIONS),
                event_interval: EVENT_INTERVAL,
                cold_requests_max: Some(COLD_REQUESTS_MAX),
                cold_time: Duration::from_secs(COLD_SECS),
                ..UpstreamSettings::engine(&format!("gpu-{at}"), STREAM_EVENTS)
            };
            Upstream::start("writer", settings, engine_ip(at), zone_name(at))
        };
        let service = |at: usize| {
            let settings = UpstreamSettings::plain(&format!("desk-{at}"));
            Upstream::start("desk", settings, Ipv4Addr::LOCALHOST.into(), zone_name(at))
        };
        let engines = (0..size.engines).map(engine).collect::<io::Result<Vec<_>>>()?;
        let services = (0..size.services).map(service).collect::<io::Result<Vec<_>>>()?;
        let (port, proxies) = start_sidecar_proxies(size.engines)?;
        let sidecars =
            proxies.into_iter().zip(&engines).enumerate().map(|(at, (peers, engine))| {
                let rest = format!("engine = {}\nservice = writer\n", engine.proxy.address());
                Host::new(files, &store, "upstream", at, peers, &rest)
            });
        let sidecars = sidecars.collect::<io::Result<Vec<_>>>()?;
        let entries = (0..size.entries).map(|at| {
            let peers = Proxy::start(any_port())?;
            let rest = format!(
                "ready = 127.0.0.1:0\nsidecars = {port}\nadvertise = {}\n",
                peers.address()
            );
            Host::new(files, &store, "entry", at, peers, &rest)
        });
        let entries = entries.collect::<io::Result<Vec<_>>>()?;
        let supervisors = entries.iter().chain(&sidecars).cloned();
        let supervisors = supervisors.map(|host| actix_rt::spawn(supervise(host))).collect();
        let fleet = Fleet { store, operator, entries, sidecars, engines, services, supervisors };
        fleet.upstreams().for_each(|upstream| fleet.register(upstream, false));
        Ok(fleet)
    }

    /// All daemons, entries first.
    pub fn hosts(&self) -> impl Iterator<Item = &Rc<Host>> {
        self.entries.iter().chain(&self.sidecars)
    }

    /// All upstreams, engines first.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.engines.iter().chain(&self.services)
    }

    /// Writes the registration of an upstream to the store.
    pub fn register(&self, upstream: &Upstream, leaving: bool) {
        upstream.leaving.set(leaving);
        let at = upstream.proxy.address();
        let mut row = upstream.runner.registration_at(at, upstream.service, leaving);
        row["zone"] = upstream.zone.into();
        upstream.writes.set(upstream.writes.get() + 1);
        row["seq"] = upstream.writes.get().into();
        row["born"] = upstream.born.get().into();
        self.store.put("servers", &upstream.id, &row);
    }

    /// Registers an upstream that has said in its answers that it leaves as started anew,
    /// which ends that.
    pub fn restart_announced(&self, upstream: &Upstream) {
        upstream.runner.set_leaving(false);
        upstream.born.set(upstream.born.get() + 1);
        self.register(upstream, false);
    }

    /// Announces the next version of `adapter`, which engines can load from now on.
    pub fn announce(&self, adapter: &str) {
        // Engines must have the weights before the store announces the version.
        let next = self.operator.version(adapter) + 1;
        self.engines.iter().for_each(|engine| engine.runner.set_newest_version(adapter, next));
        self.operator.announce(&self.store, adapter);
    }

    /// Ends all faults that are still active.
    pub fn clear_faults(&self) -> io::Result<()> {
        let servers = self.upstreams().map(|upstream| upstream.runner.server());
        for server in servers.chain([self.store.server()]) {
            server.apply(kingcupbay_standin::FaultOrder::ClearAll);
        }
        for host in self.hosts() {
            host.store.set(Flows::default());
            host.peers.set(Flows::default());
            host.daemon.borrow_mut().resume()?;
        }
        for upstream in self.upstreams() {
            upstream.proxy.set(Flows::default());
            upstream.runner.set_limit(None);
            upstream.runner.set_rest(None);
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
        zone: &'static str,
    ) -> io::Result<Upstream> {
        let (id, software) = (settings.id.clone(), settings.software.clone());
        let runner = UpstreamServer::start(any_port(), settings)?;
        let proxy = Proxy::start(SocketAddr::new(ip, 0))?;
        proxy.set_target(runner.server().address());
        Ok(Upstream {
            id,
            software,
            service,
            zone,
            runner,
            proxy,
            leaving: Cell::new(false),
            writes: Cell::new(0),
            crashes: Cell::new(0),
            born: Cell::new(1),
        })
    }
}

impl Host {
    fn new(
        files: &DaemonFiles,
        store: &Registry,
        role: &str,
        at: usize,
        peers: Proxy,
        rest: &str,
    ) -> io::Result<Rc<Host>> {
        let to_store = Proxy::start(any_port())?;
        to_store.set_target(store.server().address());
        let host = format!("{role}-{at}");
        let zone = zone_name(at);
        let callers = match role {
            "entry" => "[callers]\nlisten = 127.0.0.1:0\n",
            _ => "",
        };
        let settings = format!(
            "[daemon]\nhost = {host}\nzone = {zone}\nrole = {role}\nmemory_mb = {MEMORY_MIB}\n{callers}\
             [peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
             [registry]\nstore = {}\n{rest}",
            to_store.address()
        );
        let daemon = RefCell::new(Daemon::new(files, &host, &settings)?);
        Ok(Rc::new(Host { daemon, store: to_store, peers, finished: Cell::new(false) }))
    }

    /// Points the peer proxy at a running daemon; returns whether it still runs.
    fn poll(&self) -> bool {
        let mut daemon = self.daemon.borrow_mut();
        if daemon.has_ended().expect("the daemon is a child of this process") {
            return false;
        }
        if daemon.listens()
            && let Some(address) = daemon.address("peers")
        {
            self.peers.set_target(address);
        }
        true
    }

    /// Number of zones that the entry takes for evacuated; `None` if it does not say.
    pub async fn evacuated_zones(&self) -> Option<u32> {
        let address = self.daemon.borrow().address("operators")?;
        let mut link = Link::open(address).await.ok()?;
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, HeaderValue::from_static("entry"));
        let head = link.exchange(Method::GET, "/metrics", headers, &[]).await.ok()?;
        let mut text = Vec::new();
        while let Some(chunk) = link.chunk().await.ok()? {
            text.extend_from_slice(&chunk);
        }
        let text = String::from_utf8(text).ok().filter(|_| head.status.is_success())?;
        let name = "kingcupbay_evacuated_zones ";
        text.lines().find_map(|line| line.strip_prefix(name)?.parse().ok())
    }

    /// Address for callers, once the daemon listens.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.daemon.borrow().address("callers")
    }
}

/// Restarts a daemon whenever it has ended, as the platform does.
async fn supervise(host: Rc<Host>) {
    while !host.finished.get() {
        let started = host.daemon.borrow_mut().start();
        started.expect("the daemon's program is there");
        while host.poll() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the availability zone of a sidecar with its engine, of an entry or of a plain
/// service.
fn zone_name(at: usize) -> &'static str {
    ZONES[at % ZONES.len()]
}

/// Returns the address of an engine; each has its own, as on separate hosts.
fn engine_ip(at: usize) -> IpAddr {
    let last = u8::try_from(at + 1).expect("engine indices fit the last byte of an address");
    Ipv4Addr::new(127, 0, 1, last).into()
}

/// Starts the proxies in front of the sidecars: all at one port, each at the
/// address of its engine.
fn start_sidecar_proxies(count: usize) -> io::Result<(u16, Vec<Proxy>)> {
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..MAX_PORT_TRIES {
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
