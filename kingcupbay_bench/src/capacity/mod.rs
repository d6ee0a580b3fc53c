//! State, messages and processor time against fleet size.
//!
//! [`config`] and [`router`] measure the state of a daemon per adapter, [`fleet`] the
//! messages and processor time per member, [`slack`] the messages between entries,
//! and [`exchange`] the HTTP head of a message. Every figure is measured at three
//! sizes, of which the last is the target's; [`fit`] shows how linear they are.

mod config;
mod exchange;
mod fit;
mod fleet;
mod measure;
mod router;
mod slack;

use fit::Fit;

/// Settings of the experiment.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Print the names of the rows without measuring.
    #[arg(long)]
    rows: bool,
    /// Seconds of simulated time per fleet.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// Figures measured at one size, in the order of a table's names.
type Figures = Vec<f64>;

/// A table of the same figures at each size.
struct Table {
    title: &'static str,
    sizes: [u32; 3],
    /// Name of each figure, with its unit.
    names: &'static [&'static str],
}

impl Table {
    fn print_names(&self) {
        self.names.iter().for_each(|name| println!("{name}"));
    }

    fn print(&self, figures: &[Figures]) {
        let [small, middle, large] = self.sizes;
        println!("| {} | {small} | {middle} | {large} | at 0 | per 1,000 | residual |", self.title);
        println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        for (at, name) in self.names.iter().enumerate() {
            let values = [0, 1, 2].map(|size: usize| figures[size][at]);
            let fit = Fit::of(self.sizes.map(f64::from), values);
            let cells = values.map(format_cell).join(" | ");
            let (intercept, slope) = (format_cell(fit.intercept), format_cell(fit.slope * 1_000.0));
            println!(
                "| {name} | {cells} | {intercept} | {slope} | {:.1} % |",
                fit.residual * 100.0
            );
        }
        println!();
    }
}

/// Formats a value with three significant digits, or as a whole number.
fn format_cell(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

/// Numbers of adapters at which figures are measured.
const ADAPTERS: [u32; 3] = [3_000, 20_000, 67_000];

/// Numbers of members at which figures are measured.
const MEMBERS: [u32; 3] = [26, 100, 340];

/// Memory is measured first, before anything has been freed.
const MEMBER_MEMORY: Table = Table {
    title: "memory, by members",
    sizes: MEMBERS,
    names: &["gossip and standing in a daemon, KiB"],
};

const ADAPTER_MEMORY: Table = Table {
    title: "memory, by adapters",
    sizes: ADAPTERS,
    names: &["router in an entry, KiB", "configuration in a daemon, KiB"],
};

/// Runs the experiment and prints its tables.
pub(crate) fn run(args: &Args) {
    let measured = [&config::TABLE, &router::TABLE, &fleet::TABLE, &slack::TABLE, &exchange::TABLE];
    let tables = [&MEMBER_MEMORY, &ADAPTER_MEMORY].into_iter().chain(measured);
    if args.rows {
        tables.for_each(Table::print_names);
        return;
    }
    MEMBER_MEMORY.print(&MEMBERS.map(|members| vec![fleet::memory(members)]));
    let routers = ADAPTERS.map(router::memory);
    let configs = ADAPTERS.map(config::memory);
    ADAPTER_MEMORY.print(&[0, 1, 2].map(|size: usize| vec![routers[size], configs[size]]));
    config::TABLE.print(&config::TABLE.sizes.map(config::figures));
    router::TABLE.print(&router::TABLE.sizes.map(router::figures));
    let fleet = |members| fleet::figures(members, args.seconds);
    fleet::TABLE.print(&fleet::TABLE.sizes.map(fleet));
    slack::TABLE.print(&slack::TABLE.sizes.map(slack::figures));
    exchange::TABLE.print(&exchange::TABLE.sizes.map(exchange::figures));
}
