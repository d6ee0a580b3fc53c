//! Prints the table of the experiment.

use kingcupbay_core::id::{Id, OrganisationId};

use super::{
    measure::Measures,
    trace::{FLOODING_ORGANISATION, Setting},
};

/// Measurements of one seed: without a flood, with a limited and a free one.
pub(crate) struct Row {
    pub(crate) core: [Measures; 3],
    pub(crate) baseline: [Measures; 3],
    /// Lower bound of the loads for the arrivals with the limited flood.
    pub(crate) min_loads: u64,
}

/// Indices of the runs in a [`Row`].
const NO_FLOOD: usize = 0;
const LIMITED: usize = 1;
const FREE: usize = 2;

/// Prints the median and the worst value of every measure over the seeds.
pub(crate) fn print(setting: &Setting, rows: &[Row]) {
    let Setting { runners, slots, batch_size, load_rate, demand, exponent, seconds, runner_loads } =
        setting;
    println!("{runners} runners, {slots} slots, {batch_size} places, {load_rate} loads/s");
    println!("{demand} requests/s, exponent {exponent}, {seconds} s, {} seeds", rows.len());
    match runner_loads {
        Some(runner_loads) => println!("{runner_loads} loads in flight for each runner"),
        None => println!("8 loads in flight for the fleet"),
    }
    println!("faults: 3 engine restarts, 2 % of loads fail, popularity shifts at a quarter,");
    println!("one organisation at 5 times its rate in the second half\n");
    println!("{:<44} {:>21}   {:>21}", "", "core", "baseline");
    let columns = ["median", "worst", "median", "worst"];
    let [a, b, c, d] = columns;
    println!("{:<44} {a:>10} {b:>10}   {c:>10} {d:>10}", "limited flood");
    print_line("requests", rows, LIMITED, High::Bad, |run| run.requests as f64);
    print_line("load stalls", rows, LIMITED, High::Bad, |run| run.stalls as f64);
    print_line("load stalls, part of requests", rows, LIMITED, High::Bad, |run| {
        run.stalls as f64 / run.requests as f64
    });
    print_ratio("load stalls / baseline's", rows, |row| {
        row.core[LIMITED].stalls as f64 / row.baseline[LIMITED].stalls as f64
    });
    print_bounds(rows);
    print_line("loads", rows, LIMITED, High::Bad, |run| run.loads as f64);
    print_line("p95 wait of a stalled request, s", rows, LIMITED, High::Bad, Measures::stall_p95);
    print_line("batch efficiency", rows, LIMITED, High::Good, Measures::efficiency);
    print_line("refusals", rows, LIMITED, High::Bad, |run| run.refusals as f64);
    let flooding = OrganisationId::from_raw(FLOODING_ORGANISATION as u32);
    let worst = |run: &Measures| run.worst_p95(flooding);
    println!("\nworst-served organisation, p95 time to first token, s");
    print_line("  no flood", rows, NO_FLOOD, High::Bad, worst);
    print_line("  5 x its rate, limited", rows, LIMITED, High::Bad, worst);
    print_line("  5 x its rate, only the queue between", rows, FREE, High::Bad, worst);
    for (label, run) in [("  limited / no flood", LIMITED), ("  free / no flood", FREE)] {
        let by = |runs: &[Measures; 3]| worst(&runs[run]) / worst(&runs[NO_FLOOD]);
        print_pair(label, rows, High::Bad, |row| by(&row.core), |row| by(&row.baseline));
    }
    print_line("batch efficiency, free flood", rows, FREE, High::Good, Measures::efficiency);
    print_line("refusals, free flood", rows, FREE, High::Bad, |run| run.refusals as f64);
    print_line("median wait of a refused one, s", rows, FREE, High::Bad, Measures::refusal_median);
    println!("\nover all runs, must be 0");
    let sum = |count: fn(&Measures) -> u64| {
        let total = |runs: fn(&Row) -> &[Measures; 3]| -> u64 {
            rows.iter().flat_map(runs).map(count).sum()
        };
        (total(|row| &row.core), total(|row| &row.baseline))
    };
    for (label, (core, baseline)) in [
        ("wrong adapter or version", sum(|run| run.wrong_version)),
        ("eviction under a running request", sum(|run| run.pinned_eviction)),
        ("crossed or doubled answer", sum(|run| run.wrong_answers)),
    ] {
        println!("{label:<44} {core:>21}   {baseline:>21}");
    }
}

/// Whether a high value is the worse one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum High {
    Good,
    Bad,
}

fn print_line(
    label: &str,
    rows: &[Row],
    run: usize,
    high: High,
    measure: impl Fn(&Measures) -> f64,
) {
    print_pair(label, rows, high, |row| measure(&row.core[run]), |row| measure(&row.baseline[run]));
}

fn print_pair(
    label: &str,
    rows: &[Row],
    high: High,
    core: impl Fn(&Row) -> f64,
    baseline: impl Fn(&Row) -> f64,
) {
    let (a, b) = spread(rows, high, core);
    let (c, d) = spread(rows, high, baseline);
    println!("{label:<44} {a:>10} {b:>10}   {c:>10} {d:>10}");
}

fn print_ratio(label: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let (median, worst) = spread(rows, High::Bad, value);
    println!("{label:<44} {median:>10} {worst:>10}");
}

fn print_bounds(rows: &[Row]) {
    print_ratio("least loads possible (Belady, on demand)", rows, |row| row.min_loads as f64);
    let by = |runs: &[Measures; 3], row: &Row| runs[LIMITED].stalls as f64 / row.min_loads as f64;
    let (core, baseline) = (|row: &Row| by(&row.core, row), |row: &Row| by(&row.baseline, row));
    print_pair("load stalls / least loads", rows, High::Bad, core, baseline);
}

/// Returns the median and the worst value over the seeds.
fn spread(rows: &[Row], high: High, value: impl Fn(&Row) -> f64) -> (String, String) {
    let mut values: Vec<f64> = rows.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let worst = if high == High::Bad { values.last() } else { values.first() };
    (format_value(median(&values)), format_value(worst.copied()))
}

/// Returns the middle of the sorted values, or the mean of the two middle ones.
fn median(sorted: &[f64]) -> Option<f64> {
    let upper = sorted.get(sorted.len() / 2)?;
    let lower = sorted[(sorted.len() - 1) / 2];
    Some((lower + upper) / 2.0)
}

fn format_value(value: Option<f64>) -> String {
    match value {
        None => "-".into(),
        Some(value) if value.fract() == 0.0 => format!("{value}"),
        Some(value) => format!("{value:.3}"),
    }
}
