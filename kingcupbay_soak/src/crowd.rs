//! Crowds of clients that stop short of the end of what they send, and the memory of entries.

use std::{io, time::Duration};

use actix_rt::net::TcpStream;
use futures_util::future::join_all;
use kingcupbay_core::random::Random;
use tokio::io::AsyncWriteExt;

use crate::{
    fleet::Fleet,
    operator::{WINERY, permanent_key},
    promises::Breach,
    trouble::{Timed, Trouble},
};

/// Memory that a daemon may use, in MiB.
pub(crate) const MEMORY_MIB: u64 = 96;

/// Clients of a crowd.
const CLIENTS: usize = 100;

/// Body that the configuration allows, in bytes.
const BODY_MAX_BYTES: usize = 1_000_000;

/// Bytes written at a time.
const PIECE_BYTES: usize = 20_000;

/// Separates the seed of crowds from that of the other troubles.
const SEED: u64 = 0x6372_6f77;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body of legal size but for its last byte, at once.
    Announced,
    /// The same with a pause after each piece.
    Slow,
    /// Chunks without the last one.
    Chunked,
    /// Chunks of a byte without the last one.
    SmallChunks,
    /// A body over the limit.
    OverLimit,
    /// A head without its end.
    Head,
}

/// Returns the generator of crowds for the run with `seed`.
pub(crate) fn random(seed: u64) -> Random {
    Random::new(seed ^ SEED)
}

/// Draws crowds during a round, to overlap its other troubles.
pub(crate) fn draw(random: &mut Random, fleet: &Fleet) -> Vec<Timed> {
    let count = random.below(3);
    let crowd = |_| {
        let shapes = [
            Shape::Announced,
            Shape::Slow,
            Shape::Chunked,
            Shape::SmallChunks,
            Shape::OverLimit,
            Shape::Head,
        ];
        let shape = shapes[random.below(shapes.len() as u64) as usize];
        let entry = random.below(fleet.entries.len() as u64) as usize;
        let at = Duration::from_millis(random.below(1_500));
        let lasts = Duration::from_millis(500 + random.below(2_000));
        Timed { at, lasts, trouble: Trouble::Crowd(entry, shape) }
    };
    (0..count).map(crowd).collect()
}

/// Lets a crowd send to an entry until the time has passed.
pub(crate) async fn press(fleet: &Fleet, entry: usize, shape: Shape, lasts: Duration) {
    let Some(address) = fleet.entries[entry].daemon.borrow().address("callers") else { return };
    let clients = join_all((0..CLIENTS).map(async |_| {
        let mut stream = TcpStream::connect(address).await?;
        send(&mut stream, shape).await?;
        // It stays connected until the trouble ends.
        std::future::pending::<io::Result<()>>().await
    }));
    // The clients leave when it is dropped.
    let _ = tokio::time::timeout(lasts, clients).await;
}

async fn send(stream: &mut TcpStream, shape: Shape) -> io::Result<()> {
    let head = format!(
        "POST /seats/today HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {}\r\n",
        permanent_key(WINERY)
    );
    let (length, pieces) = match shape {
        Shape::OverLimit => (8 * BODY_MAX_BYTES, 8 * BODY_MAX_BYTES / PIECE_BYTES),
        _ => (BODY_MAX_BYTES, BODY_MAX_BYTES / PIECE_BYTES),
    };
    let framing = match shape {
        Shape::Announced | Shape::Slow | Shape::OverLimit => {
            format!("content-length: {length}\r\n\r\n")
        }
        Shape::Chunked | Shape::SmallChunks => "transfer-encoding: chunked\r\n\r\n".to_owned(),
        Shape::Head => String::new(),
    };
    let piece = match shape {
        Shape::Announced | Shape::Slow => "x".repeat(PIECE_BYTES - 1),
        Shape::OverLimit => "x".repeat(PIECE_BYTES),
        Shape::Chunked => format!("{:x}\r\n{}\r\n", PIECE_BYTES / 2, "x".repeat(PIECE_BYTES / 2)),
        Shape::SmallChunks => "1\r\nx\r\n".repeat(PIECE_BYTES / 6),
        Shape::Head => format!("x-a: {}\r\n", "x".repeat(PIECE_BYTES)),
    };
    stream.write_all(format!("{head}{framing}").as_bytes()).await?;
    for _ in 0..pieces {
        stream.write_all(piece.as_bytes()).await?;
        if shape == Shape::Slow {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Checks that no running daemon has ever used more memory than it may.
pub(crate) fn check_memory(fleet: &Fleet) -> Option<Breach> {
    let peaks = fleet.hosts().filter_map(|host| {
        let daemon = host.daemon.borrow();
        Some((peak_bytes(daemon.id()?)?, daemon.host().to_owned()))
    });
    let (peak, host) = peaks.max()?;
    let details = format!("{host} used {} MiB of {MEMORY_MIB}", peak >> 20);
    (peak > MEMORY_MIB << 20)
        .then_some(Breach { promise: "a daemon stays within its memory", details })
}

/// Returns the largest resident memory that a process has had; `None` if it has ended.
fn peak_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
}
