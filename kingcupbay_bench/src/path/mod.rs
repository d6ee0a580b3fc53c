//! Latency and processor time of a running fleet's request path.
//!
//! Streams are sent alternately to an engine directly and through an entry, so that
//! both are measured under the same load of the machine. [`stream`] times a stream,
//! [`process`] reads the resource usage of the daemons.

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
    /// Address of the entry for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    entry: SocketAddr,
    /// Address of the engine behind it.
    #[arg(long, default_value = "127.0.0.1:8090")]
    engine: SocketAddr,
    /// The access key.
    #[arg(long, default_value = "kcb_sample")]
    secret: String,
    /// The model to request.
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
    /// Tokens per stream.
    #[arg(long, default_value_t = 100)]
    tokens: u32,
    /// Milliseconds within which the streams of a turn begin.
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
    let engine = Target::engine(args.engine, &args.model, args.tokens);
    let entry = Target::entry(args.entry, &args.model, &args.secret, args.tokens);
    // Loads the adapter before the timed streams.
    run_streams(&entry, 1, Duration::ZERO).await;
    let spread = Duration::from_millis(args.spread_ms);
    let (mut direct_times, mut path_times) = (Times::default(), Times::default());
    let mut used = [Usage::default(); 2];
    let pids = [args.entry_pid, args.upstream_pid];
    for _ in 0..args.rounds {
        direct_times.extend(run_streams(&engine, streams, spread).await);
        let before = pids.map(Usage::read);
        path_times.extend(run_streams(&entry, streams, spread).await);
        let after = pids.map(Usage::read);
        for at in 0..used.len() {
            used[at] = used[at].plus(after[at].since(before[at]));
        }
    }
    print_times(streams, "direct", &mut direct_times);
    print_times(streams, "path", &mut path_times);
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

/// Runs `streams` streams, which begin evenly spread over `spread`, as callers do not
/// all arrive in the same millisecond.
async fn run_streams(target: &Target, streams: usize, spread: Duration) -> Times {
    let mut all = Times::default();
    let pause = spread / streams as u32;
    let delayed = (0..streams as u32).map(|at| async move {
        tokio::time::sleep(pause * at).await;
        target.stream().await
    });
    for times in join_all(delayed).await {
        all.extend(times);
    }
    all
}

fn print_times(streams: usize, path: &str, times: &mut Times) {
    let first = percentiles(&mut times.first);
    let gap = percentiles(&mut times.gaps);
    println!("{streams:7}  {path:8} {first}    {gap}    failed {}", times.failed);
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
