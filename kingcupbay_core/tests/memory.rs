//! Memory that all connections share.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{
    memory::{HoldId, Memory, SMALL_HOLD_BYTES, STALL_TIME},
    time::{Instant, Span},
};
use quickcheck::quickcheck;

const LIMIT: usize = 1 << 20;
const LARGE: usize = LIMIT / 4;

fn hold(memory: &mut Memory, owner: &str, bytes: usize) -> HoldId {
    let id = memory.open(owner);
    memory.ask(id, bytes);
    memory.grant();
    id
}

fn after(span: Span) -> Instant {
    Instant::default() + span
}

/// Large bodies that fill their part must not keep a small one out.
#[test]
fn small_holds_find_room_beside_large_ones() {
    let mut memory = Memory::new(LIMIT);
    let large: Vec<_> = (0..8).map(|_| hold(&mut memory, "winery", LARGE)).collect();
    assert_eq!(large.iter().filter(|&&id| memory.is_waiting(id)).count(), 5);
    let small = hold(&mut memory, "tours", SMALL_HOLD_BYTES);
    assert!(!memory.is_waiting(small));
}

/// A body that needs more than all of the memory must be read while nothing else is.
#[test]
fn a_hold_larger_than_the_memory_is_granted_alone() {
    let mut memory = Memory::new(LIMIT);
    let alone = hold(&mut memory, "winery", 2 * LIMIT);
    assert!(!memory.is_waiting(alone));
    let other = hold(&mut memory, "tours", LARGE);
    assert!(memory.is_waiting(other));
    memory.close(alone);
    assert_eq!(memory.grant(), [other]);
}

/// One organisation with many waiting bodies must not delay another until all are read.
#[test]
fn the_organisation_that_holds_least_comes_first() {
    let mut memory = Memory::new(LIMIT);
    let held: Vec<_> = (0..3).map(|_| hold(&mut memory, "winery", LARGE)).collect();
    let waiting: Vec<_> = (0..9).map(|_| hold(&mut memory, "winery", LARGE)).collect();
    let other = hold(&mut memory, "tours", LARGE);
    memory.close(held[0]);
    assert_eq!(memory.grant(), [other]);
    memory.close(held[1]);
    assert_eq!(memory.grant(), [waiting[0]]);
}

/// A client that stops, or that moves a byte now and then, must not keep its room.
#[test]
fn a_client_without_progress_gives_up_its_room() {
    let mut memory = Memory::new(LIMIT);
    let (slow, quick) = (hold(&mut memory, "a", LARGE), hold(&mut memory, "b", LARGE));
    let complete = hold(&mut memory, "c", LARGE);
    memory.on_moved(Instant::default(), complete, 1);
    memory.on_complete(complete);
    let waiting = hold(&mut memory, "d", LARGE);
    for step in 0..=10 {
        let now = after(Span::from_micros(STALL_TIME.as_micros() * step / 10));
        memory.on_moved(now, slow, 1);
        memory.on_moved(now, quick, LARGE);
        let expected = if step == 10 { vec![slow] } else { Vec::new() };
        assert_eq!(memory.give_up_stalled(now), expected, "step {step}");
    }
    memory.close(slow);
    assert_eq!(memory.grant(), [waiting]);
}

/// While there is room, a client may take its time.
#[test]
fn nobody_is_given_up_while_nothing_waits() {
    let mut memory = Memory::new(LIMIT);
    let slow = hold(&mut memory, "a", LARGE);
    memory.on_moved(Instant::default(), slow, 1);
    assert_eq!(memory.give_up_stalled(after(Span::from_secs(60))), []);
}

/// Of those that stall, the organisation that holds the most gives up room first, and no more
/// than the next one needs.
#[test]
fn the_organisation_that_holds_most_gives_up_first() {
    let mut memory = Memory::new(LIMIT);
    let first = hold(&mut memory, "tours", LARGE);
    let crowd = [hold(&mut memory, "winery", LARGE), hold(&mut memory, "winery", LARGE)];
    memory.on_moved(Instant::default(), first, 0);
    crowd.iter().for_each(|&id| memory.on_moved(after(Span::from_millis(1)), id, 0));
    let waiting = hold(&mut memory, "museum", LARGE);
    assert!(memory.is_waiting(waiting));
    assert_eq!(memory.give_up_stalled(after(Span::from_secs(2))), [crowd[0]]);
}

quickcheck! {
    /// Whatever is opened, asked for, shrunk and closed, the sums stay right, the limit holds but
    /// for one hold alone, and all is free in the end.
    fn sums_and_limit_hold(steps: Vec<(u8, u8, u32)>) -> bool {
        let mut memory = Memory::new(LIMIT);
        let mut open: Vec<HoldId> = Vec::new();
        let mut sound = true;
        for (kind, which, bytes) in steps {
            let bytes = bytes as usize % (2 * LIMIT);
            let at = (!open.is_empty()).then(|| which as usize % open.len());
            match (kind % 4, at) {
                (1, Some(at)) => memory.ask(open[at], bytes),
                (2, Some(at)) => memory.shrink(open[at], bytes),
                (3, Some(at)) => memory.close(open.swap_remove(at)),
                _ => open.push(memory.open(["", "a", "b"][which as usize % 3])),
            }
            memory.grant();
            let sum: usize = memory.owners().map(|(_, bytes)| bytes).sum();
            sound &= sum == memory.used();
            sound &= memory.used() <= LIMIT || memory.owners().count() == 1;
        }
        open.iter().for_each(|&id| memory.close(id));
        sound && memory.used() == 0 && memory.owners().next().is_none()
    }
}
