//! State dumps of this daemon, and of others on an operator's behalf.
//!
//! Operators know the names of hosts. No row of the configuration holds the
//! address of a host's operators' port, so the daemon that receives the request
//! fetches the dump from its peer.

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use kingcupbay_core::{
    id::Name,
    wire::error::{Code, Failure},
};

use super::status;
use crate::{
    Daemon,
    http::{client::Call, reply},
};

/// Path of the dump on a daemon's port for peers.
pub(crate) const PEER_PATH: &str = "/dump";

/// Longest dump, in bytes: it has a line for each resident adapter.
const MAX_DUMP_BYTES: usize = 64 << 20;

/// Time for a peer to send its dump.
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Answers `GET /admin/dump`; `?host=HOST` asks for another daemon's dump.
pub(super) async fn answer(daemon: &Daemon, request: &Request) -> Response<BoxBody> {
    let Some(host) = request.uri().query().and_then(|query| query.strip_prefix("host=")) else {
        return reply::text(StatusCode::OK, own_dump(daemon));
    };
    let host = host.parse::<Name>().ok();
    if host.as_ref() == Some(&daemon.settings.daemon.host) {
        return reply::text(StatusCode::OK, own_dump(daemon));
    }
    let config = daemon.fleet.config();
    let member = host.as_ref().and_then(|host| config.member(host));
    let Some(address) = member.map(|(_, member)| member.address.clone()) else {
        return reply::failure(&Failure::not_run(Code::NotFound, "no such member"));
    };
    match tokio::time::timeout(PEER_TIMEOUT, fetch(daemon, &address)).await {
        Ok(Ok(text)) => reply::text(StatusCode::OK, text),
        Ok(Err(message)) => reply::failure(&Failure::not_run(Code::UpstreamFailed, message)),
        Err(_) => reply::failure(&Failure::not_run(Code::Deadline, "the peer does not answer")),
    }
}

/// Returns this daemon's state, one line per item, in a stable order and without
/// secrets.
pub(crate) fn own_dump(daemon: &Daemon) -> String {
    let status = status(daemon);
    let head = format!(
        "host={} zone={} role={:?} phase={} standing={} number={} members={} connections={}\n",
        status.host,
        status.zone,
        status.role,
        status.phase,
        status.standing,
        status.number,
        status.members,
        status.connections
    );
    head.to_lowercase() + &daemon.dump()
}

async fn fetch(daemon: &Daemon, address: &str) -> Result<String, String> {
    let sent = daemon.clients.send_unpooled(address, Call::get(PEER_PATH)).await;
    let mut answer = sent.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("the peer answers {}", answer.status()));
    }
    let body = answer.read_large(MAX_DUMP_BYTES).await.map_err(|error| error.to_string())?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
