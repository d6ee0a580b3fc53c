//! Waits on the way of a change from the store to an entry.
//!
//! They follow one another: a feed that hears nothing, a pause, a call that fails,
//! another entry's tally, a fetch. So they stand in one place, and `tests/waits.rs`
//! adds them up against the bounds. A daemon's own calls elsewhere have their own.

use crate::time::Span;

/// Within this of its acknowledgement a change is known to every entry that reaches
/// the store, or one that does: a configuration is in force, and an upstream that
/// leaves gets nothing new.
pub const PROPAGATION_MAX: Span = Span::from_millis(2_000);

/// The bounds hold again this long after the store, or an entry's way to it, is back.
pub const RECOVERY_MAX: Span = Span::from_millis(3_000);

/// A sound store answers within this: 4 ms, the way there and back, and a busy host.
pub const STORE_ANSWER_MAX: Span = Span::from_millis(100);

/// Time for an answer of the store that waits for nothing: it answers in 4 ms, and up
/// to sixty times as slowly when it is slow.
pub const STORE_CALL_TIMEOUT: Span = Span::from_millis(700);

/// How long a reader's feed of the operator's rows waits. A feed that
/// begins while the store drops its history may stay deaf: it is answered at its end
/// only, with all that it missed. The first feed doubles as the sign that the store is
/// there.
pub const OPERATOR_FEED_WAIT: Span = Span::from_millis(2_000);

/// How long a reader's feed of upstreams waits, so that others hear in time that nothing
/// has changed.
pub const UPSTREAMS_FEED_WAIT: Span = Span::from_millis(400);

/// How long an entry's feed of entries waits.
pub const ENTRIES_FEED_WAIT: Span = Span::from_secs(2);

/// How long the feed of the operator's rows waits at an entry that hears of them from
/// others too.
pub const LISTENER_FEED_WAIT: Span = Span::from_secs(10);

/// How long another entry's reading of the operator's rows counts. A feed whose
/// connection died is given up then.
pub const OPERATOR_AGE_MAX: Span = Span::from_millis(2_500);

/// How long another entry's reading of the upstreams counts.
pub const UPSTREAMS_AGE_MAX: Span = Span::from_millis(1_700);

/// How long another entry's reading of the entries counts. Until then an entry that
/// others do not know yet admits its small part of the limits only.
pub const ENTRIES_AGE_MAX: Span = Span::from_secs(5);

/// How long a feed of a daemon beside an engine waits. It learns of new versions from
/// the entries too.
pub const SIDECAR_FEED_WAIT: Span = Span::from_secs(20);

/// Pause between two calls of that feed. There are as many such daemons as engines, so
/// that changes in quick succession should be one call of each.
pub const SIDECAR_FEED_PAUSE: Span = Span::from_secs(5);

/// Pause between two calls of the operator's feed. Changes that come in quick
/// succession arrive together.
pub const OPERATOR_FEED_PAUSE: Span = Span::from_millis(150);

/// Pause between two calls of the other feeds. Each upstream writes when its load of
/// adapters changes, and each reader would be answered each time. An engine that leaves
/// is known sooner, from the daemon beside it.
pub const OTHER_FEED_PAUSE: Span = Span::from_millis(600);

/// First pause after a failed call.
pub const RETRY_PAUSE_MIN: Span = Span::from_millis(150);

/// Longest pause after failed calls.
pub const RETRY_PAUSE_MAX: Span = Span::from_millis(800);

/// Time in which the store's own feed brings a configuration that another entry has.
pub const OWN_FEED_DELAY: Span = Span::from_millis(400);

/// Time for another entry's rows: even 100 KB over the slowest hosts' links of
/// 10 Mbit/s take a tenth of a second, and several may ask at once.
pub const FETCH_TIMEOUT: Span = Span::from_millis(800);

/// Pause after a fetch before the next one.
pub const FETCH_PAUSE_MIN: Span = Span::from_millis(250);
