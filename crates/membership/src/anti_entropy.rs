//! Anti-entropy: two nodes with different member tables find the difference and exchange just that.
//!
//! They compare digests of ever smaller key ranges, then the headers of all members in a small
//! range, then send the entries that one of them lacks. No step keeps state: if a datagram is lost,
//! the next mismatch starts over.

use crate::member::{Epoch, Incarnation, Liveness, LivenessState, MemberKey};
use crate::member_table::MemberTable;
use crate::messages::{MemberUpdate, Range, Summary};
use std::collections::BTreeMap;

/// Slices of one summary at most.
const SLICES_MAX: usize = 64;
/// Ranges with at most this many members are answered with headers instead of digests.
const HEADER_RANGE_MEMBERS: usize = 8;

/// Number of slices for a range: about four members each.
fn slices_for(members: usize) -> usize {
    (members / 4).next_power_of_two().clamp(1, SLICES_MAX)
}

/// First and last keys of equal slices of a range.
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

/// A summary of all keys.
pub fn summary(member_table: &MemberTable) -> Summary {
    let digests = member_table.slice_digests(slices_for(member_table.counts().present()));
    Summary {
        from: 0,
        to: u64::MAX,
        digests: digests.iter().flat_map(|d| d.to_le_bytes()).collect(),
    }
}

fn range_summary(member_table: &MemberTable, from: u64, to: u64, members: usize) -> Summary {
    let sums = slices(from, to, slices_for(members))
        .map(|(from, to)| member_table.range_digest(from..=to).1);
    Summary {
        from,
        to,
        digests: sums.flat_map(u64::to_le_bytes).collect(),
    }
}

/// The reply to a summary.
#[derive(Debug, Default)]
pub struct SummaryReply {
    /// Finer summaries of ranges with many members.
    pub summaries: Vec<Summary>,
    /// Ranges to answer with headers.
    pub covered: Vec<Range>,
}

/// Compares a summary with the own member table, beginning at the given slice, so that repeated
/// exchanges begin with different slices.
pub fn reply_to_summary(
    member_table: &MemberTable,
    theirs: &Summary,
    first: usize,
) -> SummaryReply {
    let (digests, error) = theirs.digests.as_chunks::<8>();
    let mut reply = SummaryReply::default();
    if digests.is_empty() || digests.len() > 256 || !error.is_empty() || theirs.from > theirs.to {
        return reply;
    }
    let slices: Vec<(u64, u64)> = slices(theirs.from, theirs.to, digests.len()).collect();
    for at in 0..slices.len() {
        let at = (at + first) % slices.len();
        let (from, to) = slices[at];
        let (members, sum) = member_table.range_digest(from..=to);
        if sum == u64::from_le_bytes(digests[at]) {
            continue;
        }
        if members <= HEADER_RANGE_MEMBERS {
            reply.covered.push(Range { from, to });
        } else {
            reply
                .summaries
                .push(range_summary(member_table, from, to, members));
        }
    }
    reply
}

/// Headers of all present members in a range.
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

/// Entries to exchange.
#[derive(Debug, Default)]
pub struct RangeExchange {
    /// Members whose complete entry the other node lacks.
    pub complete: Vec<MemberKey>,
    /// Members of which it lacks only the liveness state.
    pub headers: Vec<MemberKey>,
    /// Members of which it knows more.
    pub wants: Vec<MemberKey>,
}

/// Compares the headers that the other node has in some ranges with the own member table.
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
            differences.complete.push(*key);
        } else if known.epoch < epoch || known.revision < updates.revision {
            differences.wants.push(*key);
        } else if known.liveness_state > liveness_state {
            differences.headers.push(*key);
        }
        // Where only their liveness state is newer, the header has been merged already.
    }
    for range in covered.iter().filter(|range| range.from <= range.to) {
        let here = member_table
            .range(range.from..=range.to)
            .filter(|(_, entry)| entry.liveness().is_present());
        differences.complete.extend(
            here.map(|(key, _)| key)
                .filter(|key| !theirs.contains_key(key)),
        );
    }
    differences
}

#[cfg(test)]
mod tests;
