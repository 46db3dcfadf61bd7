//! Anti-entropy: finds the differences between the member tables of two nodes and exchanges only
//! the entries that differ.
//!
//! The nodes compare digests of successively smaller key ranges, then the headers of all members in
//! a small range, and finally send the entries that one of them lacks. No step keeps state: if a
//! datagram is lost, the exchange starts again at the next digest mismatch.

use crate::member::{Epoch, Incarnation, Liveness, LivenessState, MemberKey};
use crate::member_table::MemberTable;
use crate::messages::{MemberUpdate, Range, Summary};
use std::collections::BTreeMap;

/// Maximum number of slices in one summary.
const SLICES_MAX: usize = 64;
/// Largest number of members in a range that is answered with headers instead of digests.
const HEADER_RANGE_MEMBERS: usize = 8;

/// Returns the number of slices for a range with the given number of members: a power of two, so
/// that a slice holds about four members.
fn slices_for(members: usize) -> usize {
    (members / 4).next_power_of_two().clamp(1, SLICES_MAX)
}

/// Returns the first and last keys of `n` equal slices of a key range.
fn slices(from: u64, to: u64, n: usize) -> impl Iterator<Item = (u64, u64)> {
    let width = ((u128::from(to) + 1 - u128::from(from)) / n as u128).max(1);
    (0..n as u128).map_while(move |index| {
        let first = u128::from(from) + index * width;
        let last = if index + 1 == n as u128 {
            u128::from(to)
        } else {
            first + width - 1
        };
        (first <= u128::from(to)).then_some((first as u64, last.min(u128::from(to)) as u64))
    })
}

/// Returns a summary of the whole key space.
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

/// Reply to a [`Summary`].
#[derive(Debug, Default)]
pub struct SummaryReply {
    /// Finer summaries of the differing ranges that hold many members.
    pub summaries: Vec<Summary>,
    /// Differing ranges that hold few members, to be answered with headers.
    pub covered: Vec<Range>,
}

/// Compares a summary with the node's own member table. The comparison begins at slice `first`: the
/// byte rate may cut a reply short, so repeated exchanges should begin with different slices.
pub fn reply_to_summary(
    member_table: &MemberTable,
    theirs: &Summary,
    first: usize,
) -> SummaryReply {
    let (digests, remainder) = theirs.digests.as_chunks::<8>();
    let mut reply = SummaryReply::default();
    if digests.is_empty() || digests.len() > 256 || !remainder.is_empty() || theirs.from > theirs.to
    {
        return reply;
    }
    let slices: Vec<(u64, u64)> = slices(theirs.from, theirs.to, digests.len()).collect();
    for index in 0..slices.len() {
        let index = (index + first) % slices.len();
        let (from, to) = slices[index];
        let (members, sum) = member_table.range_digest(from..=to);
        if sum == u64::from_le_bytes(digests[index]) {
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

/// Returns the headers of all present members in a key range.
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

/// Entries to exchange with another node.
#[derive(Debug, Default)]
pub struct RangeExchange {
    /// Members whose complete entry the other node lacks.
    pub complete: Vec<MemberKey>,
    /// Members of which the other node lacks only the latest liveness state.
    pub headers: Vec<MemberKey>,
    /// Members whose entry is missing here or older than the other node's.
    pub wants: Vec<MemberKey>,
}

/// Compares the headers that another node sent with the node's own member table. `covered` are the
/// key ranges whose members the other node has listed completely.
pub fn differences(
    member_table: &MemberTable,
    covered: &[Range],
    headers: &[MemberUpdate],
) -> RangeExchange {
    let mut differences = RangeExchange::default();
    let theirs: BTreeMap<MemberKey, &MemberUpdate> = headers
        .iter()
        .map(|update| (MemberKey(update.key), update))
        .collect();
    for (key, update) in &theirs {
        let Some(known) = member_table.get(*key) else {
            differences.wants.push(*key);
            continue;
        };
        let epoch = Epoch {
            started_unix_ms: update.started_unix_ms,
            incarnation: Incarnation(update.incarnation),
        };
        let liveness = Liveness::from_number(update.liveness).unwrap_or_default();
        let liveness_state = LivenessState {
            refutation: update.refutation,
            liveness,
        };
        if known.epoch > epoch || known.epoch == epoch && known.revision > update.revision {
            differences.complete.push(*key);
        } else if known.epoch < epoch || known.revision < update.revision {
            differences.wants.push(*key);
        } else if known.liveness_state > liveness_state {
            differences.headers.push(*key);
        }
        // If only the other node's liveness state is newer, nothing is exchanged: the caller has
        // merged the header already.
    }
    for range in covered.iter().filter(|range| range.from <= range.to) {
        let present = member_table
            .range(range.from..=range.to)
            .filter(|(_, entry)| entry.liveness().is_present());
        differences.complete.extend(
            present
                .map(|(key, _)| key)
                .filter(|key| !theirs.contains_key(key)),
        );
    }
    differences
}

#[cfg(test)]
mod tests;
