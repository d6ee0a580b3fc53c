//! The engines of this thread by address, and the runs that are under way at them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use super::state::State;

/// Time within which a source must have stopped after its run went on at another engine.
const OVERLAP_MAX: Duration = Duration::from_millis(400);

thread_local! {
    static NETWORK: RefCell<Network> = RefCell::default();
}

#[derive(Default)]
struct Network {
    engines: BTreeMap<SocketAddr, Weak<State>>,
    next_number: u64,
    /// Parts that are under way, by origin, in the order in which they began.
    parts: BTreeMap<u64, Vec<Part>>,
}

/// A run of an engine, or its continuation at another one.
struct Part {
    number: u64,
    began: Instant,
    /// Whether it has been found under way together with a later part.
    overlapped: bool,
}

/// Makes an engine known to others at `address`.
pub(super) fn add(address: SocketAddr, state: &Rc<State>) {
    NETWORK.with_borrow_mut(|network| network.engines.insert(address, Rc::downgrade(state)));
}

/// Removes all addresses of an engine.
pub(super) fn remove(state: &Rc<State>) {
    let state = Rc::downgrade(state);
    NETWORK.with_borrow_mut(|network| network.engines.retain(|_, other| !other.ptr_eq(&state)));
}

/// Returns the engine at an address.
pub(super) fn engine(address: SocketAddr) -> Option<Rc<State>> {
    NETWORK.with_borrow(|network| network.engines.get(&address)?.upgrade())
}

/// Returns a number that no other run or handle of this thread has.
pub(super) fn next_number() -> u64 {
    NETWORK.with_borrow_mut(|network| {
        network.next_number += 1;
        network.next_number
    })
}

/// Records that a part of a run begins.
pub(super) fn begin(origin: u64, number: u64) {
    let part = Part { number, began: Instant::now(), overlapped: false };
    NETWORK.with_borrow_mut(|network| network.parts.entry(origin).or_default().push(part));
}

/// Records that a part has ended.
pub(super) fn end(origin: u64, number: u64) {
    NETWORK.with_borrow_mut(|network| {
        if let Some(parts) = network.parts.get_mut(&origin) {
            parts.retain(|part| part.number != number);
            if parts.is_empty() {
                network.parts.remove(&origin);
            }
        }
    });
}

/// Returns whether a part that makes an event should have stopped because a later part
/// began. Returns it once for each part.
pub(super) fn overlaps(origin: u64, number: u64) -> bool {
    NETWORK.with_borrow_mut(|network| {
        let Some(parts) = network.parts.get_mut(&origin) else { return false };
        let Some(at) = parts.iter().position(|part| part.number == number) else { return false };
        let late = parts[at + 1..].iter().any(|part| part.began.elapsed() > OVERLAP_MAX);
        late && !std::mem::replace(&mut parts[at].overlapped, true)
    })
}
