//! State, messages and processor time against fleet size.
//!
//! The core's gossip and the real codec run in simulated time, without
//! sockets. What HTTP adds to each exchange is a declared constant
//! ([`HTTP_BYTES`], [`HTTP_TIME`]) and shown in columns of its own.

mod fit;
mod fleet;

use kingcupbay_core::{
    config::{change::Change, model::Config, patch::Patch},
    id::{Name, RequestId},
    time::Span,
};
use rustix::time::{ClockId, clock_gettime};

use fit::Line;
use fleet::{Fleet, Load};

/// Bytes that one exchange of a pull adds at either end: the heads of request
/// and answer have 134 and 78 as the daemon sends them, and four packets have
/// 52 of IP and TCP each.
const HTTP_BYTES: f64 = 420.0;

/// What opening and closing a connection adds: seven packets. Beyond
/// [`POOLED`] members a peer's turn comes after its idle connection is closed.
const CONNECT_BYTES: f64 = 380.0;

/// Pulls in the 15 s for which the daemon keeps an idle connection.
const POOLED: f64 = 60.0;

/// Processor time that one exchange adds at its two ends together. An upper
/// bound: 26 idle daemons spent 0.39 % of a core each at four exchanges a
/// second, and all of that is charged here, timers and table reads included.
const HTTP_TIME: f64 = 1e-3;

/// What one daemon may spend at 340 members.
const BYTES_BUDGET: f64 = 10_000.0;
const CORE_BUDGET: f64 = 0.026;
const SPREAD_BUDGET: f64 = 15.0;

/// Settings of the experiment.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Fleet sizes.
    #[arg(long, value_delimiter = ',', default_value = "26,100,200,340")]
    sizes: Vec<u32>,
    /// Simulated seconds measured for each size.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Milliseconds on the way between two daemons.
    #[arg(long, default_value_t = 1)]
    delay: u64,
    /// Milliseconds between two rounds of pulls.
    #[arg(long, default_value_t = 250)]
    period: u64,
    /// Bytes of each member's record of what is resident: 64 ids.
    #[arg(long, default_value_t = 256)]
    record_bytes: usize,
    /// Milliseconds between two changes of it: 27 % of 67,000 adapters wake or
    /// idle hourly, on 300 hosts.
    #[arg(long, default_value_t = 60_000)]
    record_period: u64,
    /// Seed of everything drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Adapters in the configuration whose patch is timed.
    #[arg(long, default_value_t = 67_000)]
    adapters: u32,
}

/// Runs the experiment and prints its table.
pub(crate) fn run(args: &Args) {
    let load = Load {
        bytes: args.record_bytes,
        period: Span::from_millis(args.record_period),
        gossip: Span::from_millis(args.period),
        delay: Span::from_millis(args.delay),
    };
    println!("table gone throughout; bytes count sent and received of one member");
    println!(
        "members silent payload_B/s with_http_B/s core_% with_http_% ack_s spread_s fewest_standing"
    );
    let mut rows = Vec::new();
    for &size in &args.sizes {
        rows.push(measure(args, load, size, 0));
        measure(args, load, size, size / 5);
    }
    report("payload", &rows, |row| row.payload, BYTES_BUDGET);
    report("with_http", &rows, |row| row.bytes, BYTES_BUDGET);
    report("core", &rows, |row| row.core, CORE_BUDGET);
    report("spread_s", &rows, |row| row.spread, SPREAD_BUDGET);
    time_patch(args.adapters);
}

struct Row {
    size: f64,
    payload: f64,
    bytes: f64,
    core: f64,
    spread: f64,
}

fn measure(args: &Args, load: Load, size: u32, silent: u32) -> Row {
    let mut fleet = Fleet::new(size, silent, load, args.seed);
    fleet.run(Span::from_secs(8));
    fleet.reset();
    let start = processor_seconds();
    fleet.run(Span::from_secs(args.seconds));
    let spent = processor_seconds() - start;
    let (members, seconds) = (f64::from(size - silent), args.seconds as f64);
    let exchanges = fleet.exchanges as f64 / members / seconds;
    let payload = 2.0 * fleet.bytes as f64 / members / seconds;
    let connect = if members > POOLED { CONNECT_BYTES } else { 0.0 };
    let bytes = payload + 2.0 * exchanges * (HTTP_BYTES + connect);
    let core = spent / members / seconds;
    let with_http = core + exchanges * HTTP_TIME;
    let standing = fleet.fewest;
    let (ack, spread) = (0..5).fold((0.0, 0.0), |(ack, spread), _| {
        let (a, s) = fleet.patch();
        (f64::max(ack, a), f64::max(spread, s))
    });
    println!(
        "{size:7} {silent:6} {payload:11.0} {bytes:13.0} {:6.3} {:11.3} {ack:5.2} {spread:8.2} {standing:4}/{members}",
        core * 100.0,
        with_http * 100.0,
    );
    Row { size: f64::from(size), payload, bytes, core: with_http, spread }
}

fn report(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64, budget: f64) {
    let points: Vec<_> = rows.iter().map(|row| (row.size, value(row))).collect();
    let Some(line) = Line::through(&points) else { return };
    let at = line.at(340.0);
    println!(
        "{name}: {:.5} + {:.6} x members, largest residual {:.5}; at 340: {at:.4}, budget {budget}",
        line.base, line.slope, line.residual
    );
}

/// Time of one patch on a configuration of the target's size: the daemon's one
/// thread does nothing else meanwhile.
fn time_patch(adapters: u32) {
    let name = |text: String| text.parse::<Name>().expect("made of allowed characters");
    let mut config = Config::default();
    let organisation = name("o".to_owned());
    let mut changes =
        vec![Change::SetOrganisation { name: organisation.clone(), rate: 1, burst: 1 }];
    for index in 0..adapters {
        let adapter = name(format!("adapter-{index}"));
        changes.push(Change::SetAdapter {
            name: adapter.clone(),
            organisation: organisation.clone(),
            base: name("base".to_owned()),
            default: None,
        });
        let source = format!("weights/{index}");
        changes.push(Change::SetVersion { adapter, label: name("v1".to_owned()), source });
    }
    for change in &changes {
        config.change(change).expect("nothing refers to what is missing");
    }
    let patch = Patch {
        id: RequestId([0; 16]),
        against: config.number,
        author: "bench".to_owned(),
        changes: vec![changes[0].clone()],
    };
    let start = processor_seconds();
    let next = config.patched(&patch).expect("made against this configuration");
    let taken = processor_seconds() - start;
    println!("one patch on {adapters} adapters: {:.1} ms to {}", taken * 1e3, next.number);
}

fn processor_seconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
