//! Latency and processor time of the running path.
//!
//! Streams go in turns straight to an engine and through an entry, in one
//! run, so that both meet the same machine. [`stream`] times one stream,
//! [`process`] reads what the daemons have used.

mod process;
mod stream;

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use kingcupbay_core::time::Span;

use process::Usage;
use stream::{Target, Times};

/// Settings of the experiment.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Callers' address of the entry.
    #[arg(long, default_value = "127.0.0.1:8080")]
    entry: SocketAddr,
    /// The engine behind it.
    #[arg(long, default_value = "127.0.0.1:8090")]
    engine: SocketAddr,
    /// The access key.
    #[arg(long, default_value = "kcb_sample")]
    secret: String,
    /// The model to ask for.
    #[arg(long, default_value = "tasting@v1")]
    model: String,
    /// Process id of the entry.
    #[arg(long)]
    entry_pid: u32,
    /// Process id of the upstream daemon.
    #[arg(long)]
    upstream_pid: u32,
    /// Numbers of concurrent streams.
    #[arg(long, value_delimiter = ',', default_value = "1,64,512")]
    streams: Vec<usize>,
    /// Tokens of each stream.
    #[arg(long, default_value_t = 100)]
    tokens: u32,
    /// Time within which the streams of a turn begin.
    #[arg(long, default_value_t = 1_000)]
    spread_ms: u64,
    /// Turns of each kind.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
}

/// Runs the experiment and prints its table.
pub(crate) fn run(args: &Args) {
    let args = args.clone();
    actix_rt::System::new().block_on(async move {
        println!("streams  way      first p50/p95/p99 ms      gap p50/p95/p99 ms");
        for &streams in &args.streams {
            measure(&args, streams).await;
        }
    });
}

async fn measure(args: &Args, streams: usize) {
    let direct = Target::engine(args.engine, &args.model, args.tokens);
    let through = Target::entry(args.entry, &args.model, &args.secret, args.tokens);
    // The adapter is loaded before anything is timed.
    turn(&through, 1, Duration::ZERO).await;
    let spread = Duration::from_millis(args.spread_ms);
    let (mut straight, mut relayed) = (Times::default(), Times::default());
    let mut used = [Usage::default(); 2];
    let pids = [args.entry_pid, args.upstream_pid];
    for _ in 0..args.rounds {
        straight.extend(turn(&direct, streams, spread).await);
        let before = pids.map(Usage::read);
        relayed.extend(turn(&through, streams, spread).await);
        let after = pids.map(Usage::read);
        for at in 0..used.len() {
            used[at] = used[at].plus(after[at].since(before[at]));
        }
    }
    print_times(streams, "direct", &mut straight);
    print_times(streams, "path", &mut relayed);
    let tokens = f64::from(args.tokens) * streams as f64 * f64::from(args.rounds);
    for (role, used) in ["entry", "upstream"].into_iter().zip(used) {
        let micros = used.time.as_micros() as f64 / tokens;
        let cores = micros * 2_400.0 / 1e6;
        let grown = used.memory as f64 / 1024.0 / (streams as f64 * f64::from(args.rounds));
        println!(
            "{streams:7}  {role:8} {micros:6.1} us/token, {cores:.3} cores at 2,400 tokens/s, \
             {grown:.1} KiB resident more per stream"
        );
    }
}

/// Runs `streams` streams, which begin one after the other within `spread`:
/// callers do not all come in the same millisecond.
async fn turn(target: &Target, streams: usize, spread: Duration) -> Times {
    let mut all = Times::default();
    let pause = spread / streams as u32;
    let late = (0..streams as u32).map(|at| async move {
        tokio::time::sleep(pause * at).await;
        target.stream().await
    });
    for times in join_all(late).await {
        all.extend(times);
    }
    all
}

fn print_times(streams: usize, way: &str, times: &mut Times) {
    let first = percentiles(&mut times.first);
    let gap = percentiles(&mut times.gaps);
    println!("{streams:7}  {way:8} {first}    {gap}    failed {}", times.failed);
}

fn percentiles(spans: &mut [Span]) -> String {
    spans.sort_unstable();
    let at = |part: f64| {
        let last = spans.len().saturating_sub(1);
        let span = spans.get((last as f64 * part).round() as usize).copied().unwrap_or_default();
        span.as_micros() as f64 / 1e3
    };
    format!("{:7.2} {:7.2} {:7.2}", at(0.5), at(0.95), at(0.99))
}
