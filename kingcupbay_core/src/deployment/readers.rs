//! Which entries read the store's tables for all.

use std::collections::BTreeMap;

use super::catalogue::Member;

/// Fewest readers. A small fleet reads with all its entries.
const READERS_MIN: usize = 4;

/// Whether the entry on `host` is one of the readers among `entries`: one in each
/// availability zone, and more where there are few zones. An entry that is not listed
/// reads too. Lists that differ make more readers or fewer for a while, and an entry
/// that hears of none reads by itself.
pub fn is_reader<'a>(entries: impl Iterator<Item = &'a Member>, host: &str) -> bool {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for entry in entries {
        zones.entry(&entry.zone).or_default().push(entry);
    }
    let readers = zones.len().max(READERS_MIN);
    let mut order: Vec<(usize, u64, &str)> = Vec::new();
    for members in zones.values_mut() {
        members.sort_by_key(|member| (member.incarnation, &member.host));
        let ranked = members.iter().enumerate();
        order.extend(ranked.map(|(rank, member)| (rank, member.incarnation, &*member.host)));
    }
    order.sort();
    let place = order.iter().position(|(_, _, other)| *other == host);
    place.is_none_or(|place| place < readers)
}
