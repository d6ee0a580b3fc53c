//! Standing by table or majority, and the acceptance of patches.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use kingcupbay_core::{
    config::{
        change::Change,
        model::{Config, Role},
        patch::{Head, Patch, PatchError, delta_key},
    },
    id::{Id, MemberId, Number, RequestId},
    standing::{
        Confirmation, Membership, Settings, Standing,
        accept::{Acceptance, Step, check_patch, patch_txn},
    },
    time::{Instant, Span},
    wire::table::TxnAnswer,
};

fn id(raw: u32) -> MemberId {
    MemberId::from_raw(raw)
}

fn ids(raw: impl IntoIterator<Item = u32>) -> BTreeSet<MemberId> {
    raw.into_iter().map(id).collect()
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn membership(number: u64, members: &[u32], before: &[u32]) -> Membership {
    let set = |raw: &[u32]| ids(raw.iter().copied());
    Membership { number: Number(number), members: set(members), before: set(before) }
}

/// Returns the state of member 0 of five members under `number`.
fn one_of_five(number: u64) -> Standing {
    let mut standing = Standing::new(Settings::default());
    standing.advance(membership(number, &[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]));
    standing.record_join(id(0));
    standing
}

fn confirmation(member: u32, number: u64, age: u64) -> Confirmation {
    let number = Number(number);
    Confirmation { member: id(member), number, held: number, age: Span::from_millis(age) }
}

fn patch(against: u64, changes: Vec<Change>) -> Patch {
    let id = RequestId([against as u8; 16]);
    Patch { id, against: Number(against), author: "ops".into(), changes }
}

fn join(host: &str, incarnation: u64) -> Change {
    Change::Join {
        host: host.parse().unwrap(),
        address: "127.0.0.1:9000".into(),
        zone: "z1".parse().unwrap(),
        role: Role::Entry,
        incarnation,
    }
}

/// A customer's key is withdrawn while the answer to a head read is in transit
/// for four seconds. If the read's age counted from the answer, the entry would
/// honour the key for three more seconds.
#[test]
fn a_head_read_counts_from_when_it_was_sent() {
    let mut standing = one_of_five(7);
    assert!(!standing.may_act(at(10_000)));
    standing.record_head_read(Number(7), at(10_000));
    assert!(standing.may_act(at(13_000)));
    assert!(!standing.may_act(at(13_001)));
    standing.record_head_read(Number(7), at(9_000));
    assert!(!standing.may_act(at(13_001)));
}

#[test]
fn a_read_that_shows_a_newer_number_counts_once_that_is_held() {
    let mut standing = one_of_five(7);
    standing.record_head_read(Number(8), at(10_000));
    assert!(!standing.may_act(at(10_100)));
    assert!(standing.is_behind());
    standing.advance(membership(8, &[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]));
    assert!(standing.may_act(at(10_100)));
    assert!(!standing.is_behind());
}

/// The table is unavailable to every daemon for ten minutes. A majority of
/// three of five still confirms and goes on working; a partition of two stops.
#[test]
fn a_majority_keeps_standing_through_a_table_outage_and_a_minority_does_not() {
    let mut standing = one_of_five(7);
    let mut isolated = one_of_five(7);
    for second in 10..610 {
        let sent = at(second * 1_000);
        standing.record_confirmation(confirmation(1, 7, 100), sent);
        standing.record_confirmation(confirmation(2, 6, 900), sent);
        isolated.record_confirmation(confirmation(3, 7, 0), sent);
        assert!(standing.may_act(sent + Span::from_millis(2_100)));
        assert!(!standing.may_act(sent + Span::from_millis(2_101)));
        assert!(!isolated.may_act(sent));
    }
}

#[test]
fn a_confirmation_of_a_newer_number_does_not_count_for_the_older() {
    let mut standing = one_of_five(7);
    standing.record_confirmation(confirmation(1, 7, 0), at(10_000));
    standing.record_confirmation(confirmation(2, 8, 0), at(10_000));
    assert!(!standing.may_act(at(10_000)));
    standing.advance(membership(8, &[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]));
    assert!(standing.may_act(at(10_000)));
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut standing = one_of_five(7);
    standing.advance(membership(6, &[0], &[]));
    assert_eq!(standing.number(), Number(7));
    assert_eq!(standing.membership().members.len(), 5);
}

/// Before a daemon has read its own join, it confirms nothing, not even to
/// itself. Confirmations of non-members are ignored.
#[test]
fn only_members_confirm() {
    let mut standing = Standing::new(Settings::default());
    standing.advance(membership(7, &[0, 1, 2], &[1, 2]));
    standing.record_confirmation(confirmation(9, 7, 0), at(10_000));
    standing.record_confirmation(confirmation(1, 7, 0), at(10_000));
    assert_eq!(standing.own_confirmation(), None);
    assert!(!standing.may_act(at(10_000)));
    standing.record_join(id(0));
    assert!(standing.may_act(at(10_000)));
    assert_eq!(standing.confirmations(at(10_500)).len(), 2);
}

/// All three hosts of a small site restart at once. Each new incarnation is
/// another member, so without knowing which members have ended, the patch by
/// which the first one joins would wait for dead members forever.
#[test]
fn an_ended_member_does_not_block_a_patch() {
    let mut standing = Standing::new(Settings::default());
    standing.advance(membership(4, &[3, 1, 2], &[0, 1, 2]));
    standing.record_join(id(3));
    standing.record_end(id(0));
    assert!(!standing.is_stable(Number(4)));
    standing.record_end(id(1));
    assert!(standing.is_stable(Number(4)));
    assert!(!standing.may_act(at(10_000)), "an ended member confirms nothing");
}

#[test]
fn a_patch_needs_half_of_both_memberships() {
    let mut standing = Standing::new(Settings::default());
    standing.advance(membership(4, &[0, 1, 3], &[0, 1, 2]));
    standing.record_join(id(0));
    standing.record_held(id(3), Number(4));
    assert!(!standing.is_stable(Number(4)));
    standing.record_held(id(2), Number(4));
    assert!(standing.is_stable(Number(4)));
    assert!(standing.is_stable(Number(3)) && !standing.is_stable(Number(5)));
}

/// One host of two is gone for good. The remaining one must be able to write:
/// no other daemon can have a majority without it.
#[test]
fn the_last_of_two_members_can_still_write() {
    let mut standing = Standing::new(Settings::default());
    standing.advance(membership(4, &[0, 1], &[0, 1]));
    standing.record_join(id(0));
    assert!(standing.is_stable(Number(4)));
    assert!(!standing.may_act(at(10_000)), "without the table, half is not enough");
}

/// A host is paused and its successor joins. After the pause, the host's head
/// read from before it still counts as fresh and shows that the host was
/// replaced.
#[test]
fn a_replaced_member_has_no_standing() {
    let mut standing = one_of_five(7);
    standing.record_head_read(Number(8), at(10_000));
    standing.advance(membership(8, &[5, 1, 2, 3, 4], &[0, 1, 2, 3, 4]));
    assert!(!standing.may_act(at(10_000)));
    assert_eq!(standing.own_confirmation(), None);
}

#[test]
fn a_patch_that_changes_membership_changes_one_member_only() {
    let config = Config::default();
    assert!(check_patch(&config, &patch(0, vec![join("a", 1)])).is_ok());
    let two = patch(0, vec![join("a", 1), join("b", 1)]);
    assert_eq!(check_patch(&config, &two), Err(PatchError::Membership));
    let stale = PatchError::Stale { against: Number(3), current: Number(0) };
    assert_eq!(check_patch(&config, &patch(3, vec![])), Err(stale));
}

/// An operator withdraws a key, the table executes the write and its answer is
/// lost. Reporting a failure would make the operator believe that the key still
/// works, and without the read a repeat would be refused as stale because of
/// the operator's own patch.
#[test]
fn a_lost_answer_is_resolved_by_reading_and_a_repeat_is_harmless() {
    let mut standing = one_of_five(7);
    (1..3).for_each(|member| standing.record_held(id(member), Number(7)));
    let patch = patch(7, vec![]);
    let mut first = Acceptance::new(&patch);
    assert_eq!(first.next_step(&standing), Step::Write);
    first.begin_write();
    assert_eq!(first.next_step(&standing), Step::Wait);
    first.finish_write(None);
    assert_eq!(first.next_step(&standing), Step::Resolve(Number(8)));
    first.resolve(Some(patch.id));
    assert_eq!(first.next_step(&standing), Step::CatchUp);
    standing.advance(membership(8, &[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]));
    assert_eq!(first.next_step(&standing), Step::Wait);
    (3..5).for_each(|member| standing.record_held(id(member), Number(8)));
    assert_eq!(first.next_step(&standing), Step::Acknowledge(Number(8)));

    let mut again = Acceptance::new(&patch);
    assert_eq!(again.next_step(&standing), Step::Resolve(Number(8)));
    again.resolve(Some(patch.id));
    assert_eq!(again.next_step(&standing), Step::Acknowledge(Number(8)));
}

#[test]
fn the_second_of_two_conflicting_patches_is_stale() {
    let mut standing = one_of_five(7);
    let mut second = Acceptance::new(&patch(7, vec![]));
    assert_eq!(
        second.next_step(&standing),
        Step::Wait,
        "7 itself is not held by half of the members yet"
    );
    (1..3).for_each(|member| standing.record_held(id(member), Number(7)));
    second.begin_write();
    second.finish_write(Some(&TxnAnswer::Conflict(vec![])));
    second.resolve(Some(RequestId([9; 16])));
    assert_eq!(second.next_step(&standing), Step::Stale);
}

#[test]
fn a_patch_write_is_conditional_on_head_and_delta() {
    let head = Head { number: Number(7), snapshot: Number(5) };
    let write = patch_txn(head, 3, &patch(7, vec![]));
    assert_eq!(write.conditions[0].revision, 3);
    assert_eq!(
        (write.conditions[1].key.clone(), 0),
        (delta_key(Number(8)), write.conditions[1].revision)
    );
    let stored: Head = serde_json::from_str(write.writes[0].value.as_ref().unwrap()).unwrap();
    assert_eq!(stored, Head { number: Number(8), snapshot: Number(5) });
}
