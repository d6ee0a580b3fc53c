//! Timeouts and pauses between a change in the store and its arrival at an entry.
//!
//! They add up: a feed without an answer, a pause, a failed call, another entry's usage
//! report, a fetch. That is why they are defined together, and `tests/waits.rs` checks
//! their sums against the bounds. Other calls of a daemon have their own timeouts.
//!
//! A feed is a long poll: the store answers when a table changes, or after the wait.

use crate::time::Span;

/// Bound on the time from a change's acknowledgement until every entry knows it that
/// reaches the store, or an entry that does. By then a configuration is in force, and
/// an upstream that leaves gets no new requests.
pub const PROPAGATION_MAX: Span = Span::from_millis(2_000);

/// Bound on the time from the acknowledgement of an evacuation until no daemon sends
/// requests to the zone.
pub const EVACUATION_MAX: Span = Span::from_millis(5_000);

/// Time after the store, or an entry's connection to it, has recovered until the
/// bounds hold again.
pub const RECOVERY_MAX: Span = Span::from_millis(3_000);

/// Time after the store has come back from an older copy until the operator, the upstreams
/// and the entries have written again what it lost. Until then, what was known is kept.
pub const REWRITE_MAX: Span = Span::from_millis(5_000);

/// Longest delay before a daemon reads a table again once the store has come back from an
/// older copy. Hundreds of daemons learn of that at the same time.
pub const REREAD_DELAY_MAX: Span = Span::from_millis(400);

/// Longest time until an answer of a healthy store: 4 ms, the network round trip, and
/// delays of a busy host.
pub const STORE_ANSWER_MAX: Span = Span::from_millis(100);

/// Timeout of a store call, in addition to a feed's wait. The store answers in 4 ms, and
/// takes up to sixty times as long when it is slow.
pub const STORE_CALL_TIMEOUT: Span = Span::from_millis(700);

/// Timeout of a write of the store. The store lets writes wait for up to a second, however
/// many there are, and refuses further ones.
pub const STORE_WRITE_TIMEOUT: Span = Span::from_millis(1_700);

/// Wait of a reader's feed of the operator's rows. A feed that begins while the store
/// drops its history may miss changes: it is answered only when the wait ends, with all
/// that it missed. The answer to the first feed also shows that the store is available.
pub const OPERATOR_FEED_WAIT: Span = Span::from_millis(2_000);

/// Wait of a reader's feed of the operator's rows in a fleet with followers, which learn from
/// reports alone that nothing has changed.
pub const FOLLOWED_FEED_WAIT: Span = Span::from_millis(700);

/// Wait of a reader's feed of upstreams. It is short so that the other entries learn in
/// time that nothing has changed.
pub const UPSTREAMS_FEED_WAIT: Span = Span::from_millis(400);

/// Wait of the feed of upstreams at an entry that reports none of it to others.
pub const OWN_UPSTREAMS_FEED_WAIT: Span = Span::from_millis(1_500);

/// Wait of an entry's feed of entries.
pub const ENTRIES_FEED_WAIT: Span = Span::from_secs(2);

/// Pause between two calls of the feed of upstreams at such an entry. Hundreds of upstreams may
/// register one after the other.
pub const OWN_UPSTREAMS_FEED_PAUSE: Span = Span::from_millis(1_400);

/// Pause between two calls of the feed of entries at an entry that is listed and reports none
/// of it to others. Hundreds of entries may register one after the other.
pub const OWN_ENTRIES_FEED_PAUSE: Span = Span::from_secs(2);

/// Wait of the feed of the operator's rows at an entry that also learns of changes from
/// other entries.
pub const LISTENER_FEED_WAIT: Span = Span::from_secs(10);

/// Age up to which another entry's read position of the operator's rows is valid. A
/// feed whose connection has died is abandoned then.
pub const OPERATOR_AGE_MAX: Span = Span::from_millis(2_500);

/// The same at a follower, which has no feed of its own meanwhile.
pub const FOLLOWER_OPERATOR_AGE_MAX: Span = Span::from_millis(1_700);

/// Age up to which another entry's read position of the upstreams is valid.
pub const UPSTREAMS_AGE_MAX: Span = Span::from_millis(1_700);

/// Age up to which another entry's read position of the entries is valid. Until then an
/// entry that the others do not know yet admits only its small share of the limits.
pub const ENTRIES_AGE_MAX: Span = Span::from_secs(5);

/// Time after a sidecar has read the operator's rows, or an entry's permit request has
/// confirmed the specification of its engine, until it reads them again. If it followed them,
/// each configuration would cost as many calls of the store as there are engines. The store
/// keeps a longer history.
pub const SPEC_AGE_MAX: Span = Span::from_secs(15);

/// Wait of a sidecar's feed while its zone is evacuated, or no configuration is known.
pub const SIDECAR_FEED_WAIT: Span = Span::from_secs(20);

/// Pause between two calls of a sidecar's feed. There are as many sidecars as engines,
/// so changes in quick succession should cost each of them one call.
pub const SIDECAR_FEED_PAUSE: Span = Span::from_secs(5);

/// Pause between two calls of the feed of the operator's rows, so that changes in quick
/// succession arrive together.
pub const OPERATOR_FEED_PAUSE: Span = Span::from_millis(150);

/// Pause between two calls of the other feeds. Every upstream writes its row when its
/// loaded adapters change, and each write would be an answer to every reader. That an
/// engine leaves is known sooner, from its sidecar.
pub const OTHER_FEED_PAUSE: Span = Span::from_millis(600);

/// Pause after the first failed call.
pub const RETRY_PAUSE_MIN: Span = Span::from_millis(150);

/// Longest pause after repeated failed calls.
pub const RETRY_PAUSE_MAX: Span = Span::from_millis(800);

/// Time between two reports of a limiter to a follower.
pub const RELAY_PERIOD: Span = Span::from_millis(400);

/// How long a limiter names a change to its followers: several reports, as one may be lost.
pub const RELAYED_FOR: Span = Span::from_millis(1_800);

/// Time allowed for the store's feed to deliver a configuration that another entry
/// already has, before it is fetched from that entry.
pub const OWN_FEED_DELAY: Span = Span::from_millis(400);

/// Age of the store's last answer up to which an entry denies a request by its configuration
/// without asking the store again.
pub const DENIAL_AGE_MAX: Span = Span::from_millis(1_000);

/// Timeout of asking the store whether the configuration is the newest. A caller waits for it.
pub const CONFIRM_TIMEOUT: Span = Span::from_millis(300);

/// Pause after such a call has failed.
pub const CONFIRM_PAUSE: Span = Span::from_millis(250);

/// Pause between two calls that ask the store whether the registrations of upstreams are the
/// newest. One call serves all streams that wait for it.
pub const UPSTREAM_CONFIRM_PAUSE: Span = Span::from_millis(100);

/// Timeout of fetching rows from another entry. 100 KB take a tenth of a second over
/// the slowest hosts' links of 10 Mbit/s, and several entries may fetch at once.
pub const FETCH_TIMEOUT: Span = Span::from_millis(800);

/// Shortest pause between two fetches.
pub const FETCH_PAUSE_MIN: Span = Span::from_millis(250);
