//! Selection of the readers: entries that read the store's tables for all.

use std::collections::BTreeMap;

use super::catalogue::Member;

/// Smallest number of readers. In a small fleet, all entries are readers.
const READERS_MIN: usize = 4;

/// Returns whether the entry on `host` is one of the readers among `entries`.
///
/// There is one reader in each availability zone, and more where there are few zones.
/// An entry that is not listed reads too. While entries have different lists, there may
/// be more or fewer readers, and an entry that receives no reports from any reader reads
/// the store itself.
pub fn is_reader<'a>(entries: impl Iterator<Item = &'a Member>, host: &str) -> bool {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for entry in entries {
        zones.entry(&entry.zone).or_default().push(entry);
    }
    let readers = zones.len().max(READERS_MIN);
    let mut order: Vec<(usize, u64, &str)> = Vec::new();
    for members in zones.values_mut() {
        members.sort_by_key(|member| (member.incarnation, &member.host));
        let indexed = members.iter().enumerate();
        order.extend(indexed.map(|(index, member)| (index, member.incarnation, &*member.host)));
    }
    order.sort();
    let index = order.iter().position(|(_, _, other)| *other == host);
    index.is_none_or(|index| index < readers)
}
