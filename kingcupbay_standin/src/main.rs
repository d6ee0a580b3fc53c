//! Runs one stand-in as a separate process.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use actix_rt::signal::unix::{SignalKind, signal};
use clap::{Args, Parser, Subcommand};
use kingcupbay_standin::{
    Engine, EngineSettings, HostList, LOAD_TIME, Objects, PlainService, Platform, Server, Table,
    Weights,
};

/// Stand-ins for the platform, the engines and the plain services.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(flatten)]
    addresses: Addresses,
    #[command(subcommand)]
    role: Role,
}

#[derive(Args)]
struct Addresses {
    /// Address to serve; with port 0 the kernel chooses one.
    #[arg(long, global = true, value_name = "IP:PORT", default_value_t = any_port())]
    listen: SocketAddr,
    /// Second address to serve, which no fault reaches.
    #[arg(long, global = true, value_name = "IP:PORT")]
    control: Option<SocketAddr>,
}

#[derive(Subcommand)]
enum Role {
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The list of live and leaving hosts.
    Hosts,
    /// The weight store.
    Weights(LoadArgs),
    /// Table, objects, hosts and weights on one port.
    Platform(LoadArgs),
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Service,
}

#[derive(Args)]
struct LoadArgs {
    /// Milliseconds of a load at full speed.
    #[arg(long, value_name = "MILLIS", default_value_t = LOAD_TIME.as_millis() as u64)]
    load: u64,
}

#[derive(Args)]
struct EngineArgs {
    #[command(flatten)]
    loading: LoadArgs,
    /// Adapter slots.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Streams generated at the same time.
    #[arg(long, default_value_t = 256)]
    batch: u32,
    /// Name of the base model.
    #[arg(long, default_value = "base")]
    base: String,
    /// Milliseconds to the first token.
    #[arg(long, value_name = "MILLIS", default_value_t = 20)]
    first: u64,
    /// Milliseconds between tokens.
    #[arg(long, value_name = "MILLIS", default_value_t = 15)]
    gap: u64,
    /// Most tokens of any answer.
    #[arg(long, value_name = "TOKENS", default_value_t = u32::MAX)]
    length: u32,
    /// Weight store to load from; without it a load just takes its time.
    #[arg(long, value_name = "IP:PORT")]
    weights: Option<SocketAddr>,
    /// Refuse orders with an old fencing number.
    #[arg(long)]
    fenced: bool,
    /// First incarnation; from the clock when absent.
    #[arg(long)]
    incarnation: Option<u64>,
}

/// A running stand-in of any role, which stops when dropped.
enum Running {
    Table(Table),
    Objects(Objects),
    Hosts(HostList),
    Weights(Weights),
    Platform(Platform),
    Engine(Engine),
    Service(PlainService),
}

impl Role {
    fn name(&self) -> &'static str {
        match self {
            Role::Table => "table",
            Role::Objects => "objects",
            Role::Hosts => "hosts",
            Role::Weights(_) => "weights",
            Role::Platform(_) => "platform",
            Role::Engine(_) => "engine",
            Role::Service => "service",
        }
    }

    fn start(self, address: SocketAddr) -> io::Result<Running> {
        Ok(match self {
            Role::Table => Running::Table(Table::start(address)?),
            Role::Objects => Running::Objects(Objects::start(address)?),
            Role::Hosts => Running::Hosts(HostList::start(address)?),
            Role::Weights(args) => Running::Weights(Weights::start(address, args.load_time())?),
            Role::Platform(args) => Running::Platform(Platform::start(address, args.load_time())?),
            Role::Engine(args) => Running::Engine(Engine::start(address, args.settings())?),
            Role::Service => Running::Service(PlainService::start(address)?),
        })
    }
}

impl Running {
    fn server_mut(&mut self) -> &mut Server {
        match self {
            Running::Table(table) => table.server_mut(),
            Running::Objects(objects) => objects.server_mut(),
            Running::Hosts(hosts) => hosts.server_mut(),
            Running::Weights(weights) => weights.server_mut(),
            Running::Platform(platform) => platform.server_mut(),
            Running::Engine(engine) => engine.server_mut(),
            Running::Service(service) => service.server_mut(),
        }
    }
}

impl LoadArgs {
    fn load_time(&self) -> Duration {
        Duration::from_millis(self.load)
    }
}

impl EngineArgs {
    fn settings(self) -> EngineSettings {
        EngineSettings {
            slots: self.slots,
            batch_size: self.batch,
            base_model: self.base,
            first_token: Duration::from_millis(self.first),
            token_interval: Duration::from_millis(self.gap),
            max_tokens: self.length,
            weight_store: self.weights,
            load_time: self.loading.load_time(),
            check_fencing: self.fenced,
            incarnation: self.incarnation,
        }
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn run(cli: Cli) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let role = cli.role.name();
    let mut running = cli.role.start(cli.addresses.listen)?;
    let server = running.server_mut();
    let address = server.address();
    // Printed last, so that a reader of the line can use both addresses.
    match cli.addresses.control {
        Some(control) => {
            let control = server.open_control(control)?;
            println!("event=listening role={role} address={address} control={control}");
        }
        None => println!("event=listening role={role} address={address}"),
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let cli = Cli::parse();
    actix_rt::System::new().block_on(run(cli))
}
