//! The table of the experiment.

use kingcupbay_core::id::{Id, OrganisationId};

use super::{
    measure::Measures,
    trace::{FLOODING, Setting},
};

/// Runs of one seed: without a flood, with a limited and with a free one.
pub(crate) struct Row {
    pub(crate) core: [Measures; 3],
    pub(crate) baseline: [Measures; 3],
    /// Least loads of the arrivals with the limited flood.
    pub(crate) bound: u64,
}

/// Places of the runs in a [`Row`].
const CALM: usize = 0;
const LIMITED: usize = 1;
const FREE: usize = 2;

/// Prints median and worst of every measure over the seeds.
pub(crate) fn print(setting: &Setting, rows: &[Row]) {
    let Setting { runners, slots, places, loads, demand, exponent, seconds, each } = setting;
    println!("{runners} runners, {slots} slots, {places} places, {loads} loads/s");
    println!("{demand} requests/s, exponent {exponent}, {seconds} s, {} seeds", rows.len());
    match each {
        Some(each) => println!("{each} loads in flight for each runner"),
        None => println!("8 loads in flight for the fleet"),
    }
    println!("faults: 3 engine restarts, 2 % of loads fail, popularity shifts at a quarter,");
    println!("one organisation at 5 times its rate in the second half\n");
    println!("{:<44} {:>21}   {:>21}", "", "core", "baseline");
    let columns = ["median", "worst", "median", "worst"];
    let [a, b, c, d] = columns;
    println!("{:<44} {a:>10} {b:>10}   {c:>10} {d:>10}", "limited flood");
    line("requests", rows, LIMITED, High::Bad, |run| run.requests as f64);
    line("load stalls", rows, LIMITED, High::Bad, |run| run.stalls as f64);
    line("load stalls, part of requests", rows, LIMITED, High::Bad, |run| {
        run.stalls as f64 / run.requests as f64
    });
    ratio("load stalls / baseline's", rows, |row| {
        row.core[LIMITED].stalls as f64 / row.baseline[LIMITED].stalls as f64
    });
    bound(rows);
    line("loads", rows, LIMITED, High::Bad, |run| run.loads as f64);
    line("p95 wait of a stalled request, s", rows, LIMITED, High::Bad, Measures::stall_p95);
    line("batch efficiency", rows, LIMITED, High::Good, Measures::efficiency);
    line("refusals", rows, LIMITED, High::Bad, |run| run.refusals as f64);
    let flooding = OrganisationId::from_raw(FLOODING as u32);
    let worst = |run: &Measures| run.worst_p95(flooding);
    println!("\nworst-served organisation, p95 time to first token, s");
    line("  no flood", rows, CALM, High::Bad, worst);
    line("  5 x its rate, limited", rows, LIMITED, High::Bad, worst);
    line("  5 x its rate, only the queue between", rows, FREE, High::Bad, worst);
    for (label, run) in [("  limited / no flood", LIMITED), ("  free / no flood", FREE)] {
        let by = |runs: &[Measures; 3]| worst(&runs[run]) / worst(&runs[CALM]);
        pair(label, rows, High::Bad, |row| by(&row.core), |row| by(&row.baseline));
    }
    line("batch efficiency, free flood", rows, FREE, High::Good, Measures::efficiency);
    line("refusals, free flood", rows, FREE, High::Bad, |run| run.refusals as f64);
    line("median wait of a refused one, s", rows, FREE, High::Bad, Measures::refusal_median);
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
        ("crossed or doubled answer", sum(|run| run.crossed)),
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

fn line(label: &str, rows: &[Row], run: usize, high: High, measure: impl Fn(&Measures) -> f64) {
    pair(label, rows, high, |row| measure(&row.core[run]), |row| measure(&row.baseline[run]));
}

fn pair(
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

fn ratio(label: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let (median, worst) = spread(rows, High::Bad, value);
    println!("{label:<44} {median:>10} {worst:>10}");
}

fn bound(rows: &[Row]) {
    ratio("least loads possible (Belady, on demand)", rows, |row| row.bound as f64);
    let by = |runs: &[Measures; 3], row: &Row| runs[LIMITED].stalls as f64 / row.bound as f64;
    let (core, baseline) = (|row: &Row| by(&row.core, row), |row: &Row| by(&row.baseline, row));
    pair("load stalls / least loads", rows, High::Bad, core, baseline);
}

/// Median and worst over the seeds.
fn spread(rows: &[Row], high: High, value: impl Fn(&Row) -> f64) -> (String, String) {
    let mut values: Vec<f64> = rows.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let worst = if high == High::Bad { values.last() } else { values.first() };
    (show(median(&values)), show(worst.copied()))
}

/// The middle of sorted values, or the mean of the two middle ones.
fn median(sorted: &[f64]) -> Option<f64> {
    let upper = sorted.get(sorted.len() / 2)?;
    let lower = sorted[(sorted.len() - 1) / 2];
    Some((lower + upper) / 2.0)
}

fn show(value: Option<f64>) -> String {
    match value {
        None => "-".into(),
        Some(value) if value.fract() == 0.0 => format!("{value}"),
        Some(value) => format!("{value:.3}"),
    }
}
