//! Selection of the readers: entries that read the store's tables for all.

use std::collections::BTreeSet;

use super::{catalogue::Member, ranks::by_rank};

/// Smallest number of readers. In a small fleet, all entries are readers.
const READERS_MIN: usize = 4;

/// Returns whether the entry on `host` is one of the readers among `entries`.
///
/// There is one reader in each availability zone, and more where there are few zones.
/// An entry that is not listed reads too. While entries have different lists, there may
/// be more or fewer readers, and an entry that receives no reports from any reader reads
/// the store itself.
pub fn is_reader<'a>(entries: impl Iterator<Item = &'a Member>, host: &str) -> bool {
    let order = by_rank(entries);
    let zones: BTreeSet<&str> = order.iter().map(|member| member.zone.as_str()).collect();
    let readers = zones.len().max(READERS_MIN);
    let index = order.iter().position(|member| member.host == host);
    index.is_none_or(|index| index < readers)
}
