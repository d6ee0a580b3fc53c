//! A small fleet in one process: stand-ins of the platform, two engines and a
//! plain service, with two upstream daemons and an entry before them.
//!
//! It sends one sample request, then serves until it is interrupted:
//!
//! ```text
//! cargo run --release --example embedded
//! ```

use std::{
    error::Error,
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use clap::Parser;
use futures_util::StreamExt;
use kingcupbay_core::{
    config::{
        change::Change,
        model::{KeyHash, Serves, Upstream},
        patch::Patch,
    },
    id::{Name, Number, RequestId},
};
use kingcupbay_standin::{Engine, EngineSettings, PlainService, Platform};
use kingcupbayd::{Running, config::Settings, logger, start};

/// Access key of the sample organisation. A real key is generated at random.
const SECRET: &str = "kcb_sample";

type AnyError = Box<dyn Error>;

/// Runs a whole small fleet in one process.
#[derive(Parser)]
struct Args {
    /// Where callers connect.
    #[arg(long, default_value = "127.0.0.1:8080")]
    callers: SocketAddr,
    /// Where operators connect.
    #[arg(long, default_value = "127.0.0.1:8081")]
    operators: SocketAddr,
    /// Ends after the sample request.
    #[arg(long)]
    once: bool,
}

fn main() -> Result<(), AnyError> {
    let args = Args::parse();
    actix_rt::System::new().block_on(run(args))
}

async fn run(args: Args) -> Result<(), AnyError> {
    let any_port: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let platform = Platform::start(any_port, Duration::from_millis(250))?;
    let settings =
        EngineSettings { weight_store: Some(platform.server().address()), ..Default::default() };
    let engines = [Engine::start(any_port, settings.clone())?, Engine::start(any_port, settings)?];
    let service = PlainService::start(any_port)?;
    let mut daemons = Vec::new();
    for host in ["upstream-1", "upstream-2"] {
        daemons.push(start_daemon(host, "upstream", any_port, platform.server().address(), "")?);
    }
    let callers = format!("[callers]\nlisten = {}\ndeadline_ms = 30000\n", args.callers);
    daemons.push(start_daemon(
        "entry-1",
        "entry",
        args.operators,
        platform.server().address(),
        &callers,
    )?);
    let mut changes = sample_changes();
    for (at, engine) in engines.iter().enumerate() {
        let serves = Serves::Model { base: name("base"), slots: 8, fenced: false };
        changes.push(upstream(&format!("gpu-{at}"), at + 1, engine.server().address(), serves));
    }
    let serves = Serves::Service { service: name("booking") };
    changes.push(upstream("desk", 1, service.server().address(), serves));
    apply_when_joined(args.operators, changes).await?;
    send_sample_request(args.callers).await?;
    if args.once {
        return Ok(());
    }
    println!("\nServing at {}, operators at {}.", args.callers, args.operators);
    println!("Try:\n  curl -N http://{}/v1/chat/completions \\", args.callers);
    println!("    -H 'Authorization: Bearer {SECRET}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\": \"tasting@v1\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"a tour\"}}]}}'"
    );
    println!("Interrupt to stop.");
    actix_rt::signal::ctrl_c().await?;
    for daemon in daemons {
        daemon.stop().await;
    }
    Ok(())
}

fn name(text: &str) -> Name {
    text.parse().expect("the sample's names are valid")
}

/// Starts a daemon; `callers` is the `[callers]` section of an entry.
fn start_daemon(
    host: &str,
    role: &str,
    operators: SocketAddr,
    platform: SocketAddr,
    callers: &str,
) -> Result<Running, AnyError> {
    let text = format!(
        "[daemon]\nhost = {host}\nzone = local\nrole = {role}\n{callers}[peers]\n\
         listen = 127.0.0.1:0\n[operators]\nlisten = {operators}\n[platform]\n\
         table = {platform}\nobjects = {platform}\nhosts = {platform}\n\
         [tuning]\ndrain_delay_ms = 0\n"
    );
    let settings = Settings::parse("embedded.ini", &text);
    let settings = settings.expect("the sample's settings are valid");
    let (log, written) = logger(host);
    // The logger is used until the example ends, so its guard is never dropped.
    std::mem::forget(written);
    Ok(start(settings, log)?)
}

/// Changes for one organisation with a key, an adapter and a route.
fn sample_changes() -> Vec<Change> {
    let winery = name("winery");
    let adapter = |default| Change::SetAdapter {
        name: name("tasting"),
        organisation: name("winery"),
        base: name("base"),
        default,
    };
    let hash = KeyHash::of(SECRET);
    vec![
        Change::SetOrganisation { name: winery.clone(), rate: 1_000, burst: 10_000 },
        Change::IssueKey { label: name("desk"), organisation: winery.clone(), hash },
        adapter(None),
        Change::SetVersion {
            adapter: name("tasting"),
            label: name("v1"),
            source: "weights/tasting/v1".to_owned(),
        },
        adapter(Some(name("v1"))),
        Change::SetRoute {
            name: name("booking"),
            organisation: winery,
            service: name("booking"),
            once: true,
        },
    ]
}

/// The change that adds an upstream, owned by the daemon on `upstream-{host}`.
fn upstream(text: &str, host: usize, address: SocketAddr, serves: Serves) -> Change {
    let upstream = Upstream {
        name: name(text),
        host: name(&format!("upstream-{host}")),
        address: address.to_string(),
        zone: name("local"),
        serves,
        leaving: false,
    };
    Change::SetUpstream { upstream }
}

/// Applies `changes` as soon as the three daemons have joined.
async fn apply_when_joined(operators: SocketAddr, changes: Vec<Change>) -> Result<(), AnyError> {
    let client = awc::Client::default();
    let mut patch = Patch {
        id: RequestId([1; 16]),
        against: Number(0),
        author: "embedded".to_owned(),
        changes,
    };
    loop {
        let url = format!("http://{operators}/admin/status");
        let status: serde_json::Value = client.get(url).send().await?.json().await?;
        if status["members"] == 3 {
            patch.against = Number(status["number"].as_u64().unwrap_or(0));
            let url = format!("http://{operators}/admin/patch");
            let response = client.post(url).send_json(&patch).await?;
            if response.status().is_success() {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends the sample request and prints the answer as it comes.
async fn send_sample_request(callers: SocketAddr) -> Result<(), AnyError> {
    let body = serde_json::json!({
        "model": "tasting@v1",
        "messages": [{"role": "user", "content": "a tour of two wineries"}],
        "max_tokens": 12,
        "stream": true,
    });
    let url = format!("http://{callers}/v1/chat/completions");
    let client = awc::Client::default();
    let request = client.post(url).bearer_auth(SECRET);
    let mut response = request.send_json(&body).await?;
    println!("status {}", response.status().as_u16());
    while let Some(bytes) = response.next().await {
        std::io::stdout().write_all(&bytes?)?;
    }
    Ok(())
}
