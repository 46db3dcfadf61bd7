//! How two nodes that disagree find out about what, and tell each other just that: digests of
//! ranges of keys, ever smaller, then what each has in a small range in brief, then the entries
//! that one of them lacks.
//!
//! No step leaves a state behind: what is lost is begun anew with whoever disagrees next.

use crate::member::{Epoch, Incarnation, Liveness, LivenessState, MemberKey};
use crate::member_table::MemberTable;
use crate::wire::{MemberUpdate, Range, Summary};
use std::collections::BTreeMap;

/// Slices of one summary, at most; and members of a range that are named rather than summed up.
const SLICES_MAX: usize = 64;
const NAMED: usize = 8;

/// How many slices fit so many members, about four to each.
fn slices_for(members: usize) -> usize {
    (members / 4).next_power_of_two().clamp(1, SLICES_MAX)
}

/// The ends of equal slices of a range.
fn slices(from: u64, to: u64, n: usize) -> impl Iterator<Item = (u64, u64)> {
    let width = ((u128::from(to) + 1 - u128::from(from)) / n as u128).max(1);
    (0..n as u128).map_while(move |at| {
        let first = u128::from(from) + at * width;
        let last = if at + 1 == n as u128 {
            u128::from(to)
        } else {
            first + width - 1
        };
        (first <= u128::from(to)).then_some((first as u64, last.min(u128::from(to)) as u64))
    })
}

/// Digests of all that is there.
pub fn summary(member_table: &MemberTable) -> Summary {
    let digests = member_table.slices(slices_for(member_table.counters().present()));
    Summary {
        from: 0,
        to: u64::MAX,
        digests: digests.iter().flat_map(|d| d.to_le_bytes()).collect(),
    }
}

fn part(member_table: &MemberTable, from: u64, to: u64, members: usize) -> Summary {
    let sums =
        slices(from, to, slices_for(members)).map(|(from, to)| member_table.sum(from..=to).1);
    Summary {
        from,
        to,
        digests: sums.flat_map(u64::to_le_bytes).collect(),
    }
}

/// What to say to a summary: finer ones for ranges with many members, and for others all that is
/// there.
#[derive(Debug, Default)]
pub struct SummaryReply {
    pub summaries: Vec<Summary>,
    pub covered: Vec<Range>,
}

/// Compares a summary with what is here. The slices are looked at from this one on, so that those
/// who ask again, or ask others, hear something else first.
pub fn finer(member_table: &MemberTable, theirs: &Summary, first: usize) -> SummaryReply {
    let (digests, error) = theirs.digests.as_chunks::<8>();
    let mut finer = SummaryReply::default();
    if digests.is_empty() || digests.len() > 256 || !error.is_empty() || theirs.from > theirs.to {
        return finer;
    }
    let slices: Vec<(u64, u64)> = slices(theirs.from, theirs.to, digests.len()).collect();
    for at in 0..slices.len() {
        let at = (at + first) % slices.len();
        let (from, to) = slices[at];
        let (members, sum) = member_table.sum(from..=to);
        if sum == u64::from_le_bytes(digests[at]) {
            continue;
        }
        if members <= NAMED {
            finer.covered.push(Range { from, to });
        } else {
            finer.summaries.push(part(member_table, from, to, members));
        }
    }
    finer
}

/// All who are present in a range, in brief.
pub fn headers(member_table: &MemberTable, range: &Range) -> Vec<MemberUpdate> {
    if range.from > range.to {
        return Vec::new();
    }
    let present = member_table
        .range(range.from..=range.to)
        .filter(|(_, entry)| entry.liveness().is_present());
    present
        .map(|(key, entry)| entry.header_update(key))
        .collect()
}

/// What two nodes tell each other about some ranges.
#[derive(Debug, Default)]
pub struct RangeExchange {
    /// The other one lacks all of these.
    pub whole: Vec<MemberKey>,
    /// It knows them, but not how they stand.
    pub header_update: Vec<MemberKey>,
    /// It knows more of these.
    pub wants: Vec<MemberKey>,
}

/// Compares all that the other one has in some ranges with what is here.
pub fn differences(
    member_table: &MemberTable,
    covered: &[Range],
    named: &[MemberUpdate],
) -> RangeExchange {
    let mut differences = RangeExchange::default();
    let theirs: BTreeMap<MemberKey, &MemberUpdate> = named
        .iter()
        .map(|updates| (MemberKey(updates.key), updates))
        .collect();
    for (key, updates) in &theirs {
        let Some(known) = member_table.get(*key) else {
            differences.wants.push(*key);
            continue;
        };
        let epoch = Epoch {
            started_unix_ms: updates.started_unix_ms,
            incarnation: Incarnation(updates.incarnation),
        };
        let liveness = Liveness::from_number(updates.liveness).unwrap_or_default();
        let liveness_state = LivenessState {
            refutation: updates.refutation,
            liveness,
        };
        if known.epoch > epoch || known.epoch == epoch && known.revision > updates.revision {
            differences.whole.push(*key);
        } else if known.epoch < epoch || known.revision < updates.revision {
            differences.wants.push(*key);
        } else if known.liveness_state > liveness_state {
            differences.header_update.push(*key);
        }
        // Where theirs is newer in standing alone, the brief word that came has been taken in
        // already.
    }
    for range in covered.iter().filter(|range| range.from <= range.to) {
        let here = member_table
            .range(range.from..=range.to)
            .filter(|(_, entry)| entry.liveness().is_present());
        differences.whole.extend(
            here.map(|(key, _)| key)
                .filter(|key| !theirs.contains_key(key)),
        );
    }
    differences
}

#[cfg(test)]
mod tests;
