//! The estimate of the cluster's size on which decisions rest, and how far it can be trusted.
//!
//! A node that recently lost many members can't tell whether they are gone or it is partitioned
//! itself: it reports that it is unsure, and its estimate falls slowly.

use crate::member::{Liveness, MemberEntry};
use crate::member_table::{MemberCounts, MemberTable};
use crate::{Nanos, SECOND};
use std::sync::Arc;

/// Members declared dead count as possibly present for this long.
const DEAD_HOLD: Nanos = 30 * SECOND;
/// A node becomes unsure when one member in this many was lost within [`DEAD_HOLD`], or half are
/// suspected at once.
const LOST_FRACTION_DIVISOR: usize = 4;
/// Local health score from which a node is unsure.
const UNSURE_HEALTH_SCORE: u32 = 4;
/// A node is sure again after this long without cause for doubt.
const CALM_TIME: Nanos = 5 * SECOND;
/// Longest time that a node stays unsure: by then what it sees is the cluster.
const UNSURE_MAX: Nanos = 300 * SECOND;
/// The estimate falls by at most one part in this many each second.
const DECAY_DIVISOR: usize = 8;

/// An estimate of the number of members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeEstimate {
    /// The estimate to decide by: rises at once, falls slowly.
    pub size: usize,
    /// Members that are alive without a doubt.
    pub low: usize,
    /// Members that may be present: also suspects, and those recently declared dead.
    pub high: usize,
}

/// The cluster as decisions see it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Estimate for the whole cluster.
    pub cluster: SizeEstimate,
    /// Estimate for the node's own zone.
    pub zone: SizeEstimate,
    /// Since when the node can't tell whether others are gone or it is partitioned.
    pub unsure_since: Option<Nanos>,
    /// Digest of the member table; equal on nodes that agree.
    pub digest: u64,
    /// Members under suspicion.
    pub suspects: usize,
    /// Local health score; 0 is healthy.
    pub local_health_score: u32,
    /// Whether another process holds this node's name, so that nobody sees this one.
    pub has_name_conflict: bool,
}

/// A number that rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
struct SlowDecay {
    value: usize,
    stepped: Nanos,
    /// Its value when the node became unsure.
    held: usize,
}

impl SlowDecay {
    fn follow(&mut self, now: Nanos, target: usize, unsure: bool) {
        if target >= self.value {
            (self.value, self.stepped) = (target, now);
        }
        if !unsure {
            self.held = self.value;
        }
        let floor = if unsure {
            target.max(self.held.div_ceil(2))
        } else {
            target
        };
        while self.value > floor && now >= self.stepped + SECOND {
            self.stepped += SECOND;
            self.value = (self.value - self.value.div_ceil(DECAY_DIVISOR)).max(floor);
        }
        if self.value <= floor {
            self.stepped = now;
        }
    }
}

/// Computes the cluster view.
#[derive(Debug, Default)]
pub struct ClusterSizeEstimator {
    fleet: SlowDecay,
    zone: SlowDecay,
    unsure_since: Option<Nanos>,
    /// When there was last cause for doubt.
    cause: Nanos,
}

impl ClusterSizeEstimator {
    /// Recomputes the view; to be called several times a second.
    pub fn observe(
        &mut self,
        now: Nanos,
        member_table: &MemberTable,
        own_zone: &Arc<str>,
        local_health_score: u32,
        has_name_conflict: bool,
    ) -> ClusterView {
        let (mut lost, mut lost_here) = (0, 0);
        if member_table.counts().dead > 0 {
            let is_recent = |entry: &MemberEntry| {
                entry.liveness() == Liveness::Dead && now.saturating_sub(entry.since) < DEAD_HOLD
            };
            for (_, entry) in member_table.iter().filter(|(_, entry)| is_recent(entry)) {
                lost += 1;
                lost_here += usize::from(entry.details.zone == *own_zone);
            }
        }
        let (fleet, zone) = (member_table.counts(), member_table.zone(own_zone));
        self.update_confidence(now, fleet, lost, local_health_score);
        let unsure = self.unsure_since.is_some();
        self.fleet.follow(now, fleet.present(), unsure);
        self.zone.follow(now, zone.present(), unsure);
        let extent = |slow: &SlowDecay, counters: MemberCounts, lost: usize| SizeEstimate {
            size: slow.value,
            low: counters.alive,
            high: (counters.present() + lost).max(slow.value),
        };
        ClusterView {
            cluster: extent(&self.fleet, fleet, lost),
            zone: extent(&self.zone, zone, lost_here),
            unsure_since: self.unsure_since,
            digest: member_table.digest(),
            suspects: fleet.suspect,
            local_health_score,
            has_name_conflict,
        }
    }

    fn update_confidence(
        &mut self,
        now: Nanos,
        fleet: MemberCounts,
        lost: usize,
        local_health_score: u32,
    ) {
        let before = self.fleet.value.max(fleet.present() + lost);
        let many_lost = lost * LOST_FRACTION_DIVISOR >= before
            && (lost > 1 || lost == 1 && fleet.present() < 2);
        let many_suspect = fleet.suspect > 1 && fleet.suspect * 2 >= fleet.present();
        if many_lost || many_suspect || local_health_score >= UNSURE_HEALTH_SCORE {
            self.cause = now;
            self.unsure_since.get_or_insert(now);
        }
        let calm = now >= self.cause + CALM_TIME;
        let long = self
            .unsure_since
            .is_some_and(|since| now >= since + UNSURE_MAX)
            && local_health_score < UNSURE_HEALTH_SCORE;
        if calm || long {
            self.unsure_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
