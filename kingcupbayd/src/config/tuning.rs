//! `[tuning]`: timeouts and bounds that seldom need a change.

use kingcupbay_core::time::Span;

use super::reader::Reader;

/// Timeouts and bounds of a daemon.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Time to connect to a daemon, an engine or the platform.
    pub connect_timeout: Span,
    /// Time for one answer of the platform's table.
    pub platform_timeout: Span,
    /// Pause between two reads of the configuration's head while peers confirm
    /// it. 340 daemons then use less than a tenth of the reads that the table can
    /// serve.
    pub read_period: Span,
    /// Pause without events after which a stream carries a heartbeat.
    pub heartbeat: Span,
    /// Silence after which a stream between daemons counts as dead; at least
    /// two heartbeats, so that one late heartbeat does not end a stream.
    pub silence: Span,
    /// Silence after which an engine's stream counts as stalled.
    pub engine_silence: Span,
    /// Attempts for one request, the first included.
    pub attempts: u32,
    /// Requests an upstream daemon runs at once on one upstream.
    pub batch: u32,
    /// Requests that wait for one upstream before more are refused.
    pub queue: u32,
    /// Adapter loads that a daemon has in flight on one engine. The weight store
    /// serves eight loads at a time at full speed, over all engines together.
    pub loads: u32,
    /// Time for which readiness fails before a stopping daemon refuses requests.
    pub drain_delay: Span,
    /// Longest drain; zero waits for the last request without a limit.
    pub drain_limit: Span,
}

impl Tuning {
    pub(crate) fn read(reader: &mut Reader) -> Tuning {
        let section = "tuning";
        Tuning {
            connect_timeout: reader.millis(section, "connect_timeout_ms", 10..=10_000, 500),
            platform_timeout: reader.millis(section, "platform_timeout_ms", 10..=60_000, 1_000),
            read_period: reader.millis(section, "read_period_ms", 10..=60_000, 2_000),
            heartbeat: reader.millis(section, "heartbeat_ms", 10..=10_000, 500),
            silence: reader.millis(section, "silence_ms", 20..=60_000, 2_000),
            engine_silence: reader.millis(section, "engine_silence_ms", 20..=600_000, 5_000),
            attempts: reader.number(section, "attempts", 1..=10, 3),
            batch: reader.number(section, "batch", 1..=4_096, 256),
            queue: reader.number(section, "queue", 1..=65_536, 1_024),
            loads: reader.number(section, "loads", 1..=64, 1),
            drain_delay: reader.millis(section, "drain_delay_ms", 0..=600_000, 2_000),
            drain_limit: reader.millis(section, "drain_limit_ms", 0..=86_400_000, 0),
        }
    }
}
