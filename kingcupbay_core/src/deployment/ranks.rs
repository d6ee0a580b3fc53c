//! Order of the entries, by which some of them get duties for all.

use std::collections::BTreeMap;

use super::catalogue::Member;

/// Sorts `entries` by rank: the first of each availability zone, then the second of each, and
/// so on. Within a zone, incarnations decide, so that a fleet's names have no influence.
pub(super) fn by_rank<'a>(entries: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for entry in entries {
        zones.entry(&entry.zone).or_default().push(entry);
    }
    let mut order: Vec<(usize, &Member)> = Vec::new();
    for members in zones.values_mut() {
        members.sort_by_key(|member| (member.incarnation, &member.host));
        order.extend(members.iter().copied().enumerate());
    }
    order.sort_by_key(|(index, member)| (*index, member.incarnation, &member.host));
    order.into_iter().map(|(_, member)| member).collect()
}
