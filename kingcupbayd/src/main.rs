//! Main program of the daemon: reads its settings, runs, and stops at the first
//! signal.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use kingcupbayd::config::{ConfigSource, Settings};
use slog::error;

mod signal;

/// Daemon of kingcupbay; its role stands in its settings.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "kingcupbayd", version)]
struct Args {
    /// Settings, an INI file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Checks the settings and ends.
    #[arg(long)]
    check: bool,
}

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::load(&args.config) {
        Ok(settings) => settings,
        Err(mistakes) => {
            for mistake in mistakes {
                eprintln!("{mistake}");
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let (log, _written) = kingcupbayd::logger(settings.daemon.host.as_str());
    match actix_rt::System::new().block_on(run(settings, log.clone())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, ""; "event" => "start_failed", "error" => %error);
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings, log: slog::Logger) -> std::io::Result<()> {
    if let ConfigSource::Registry(registry) = settings.config_source.clone() {
        let stop = signal::stop_signal(&log)?;
        return kingcupbayd::run_registered(settings, registry, log.clone(), stop).await;
    }
    let running = kingcupbayd::start(settings, log.clone())?;
    signal::stop_signal(&log)?.await;
    running.stop().await;
    Ok(())
}
