//! Estimate of the cluster's size on which decisions are based, and whether it is reliable.
//!
//! A node that recently lost many members cannot tell whether they are gone or the node itself is
//! partitioned. It then reports that it is unsure, and its estimate falls slowly.

use crate::member::{Liveness, MemberEntry};
use crate::member_table::{MemberCounts, MemberTable};
use crate::{Nanos, SECOND};
use std::sync::Arc;

/// Time for which members that were declared dead count as possibly present.
const DEAD_HOLD: Nanos = 30 * SECOND;
/// A node becomes unsure when one in this many members was lost within [`DEAD_HOLD`]. Independently
/// of this number, it becomes unsure when half of the members are suspected at once.
const LOST_FRACTION_DIVISOR: usize = 4;
/// Lowest local health score at which a node is unsure.
const UNSURE_HEALTH_SCORE: u32 = 4;
/// Time without a reason to be unsure after which a node is sure again.
const CALM_TIME: Nanos = 5 * SECOND;
/// Longest time that a node stays unsure because of lost or suspected members. After this time the
/// members that it still sees are taken to be the cluster.
const UNSURE_MAX: Nanos = 300 * SECOND;
/// The estimate falls by at most one part in this many per second.
const DECAY_DIVISOR: usize = 8;

/// Estimate of the number of members of the cluster or of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeEstimate {
    /// Estimate on which decisions are based. It rises at once and falls slowly.
    pub size: usize,
    /// Number of members that are alive and not suspected.
    pub low: usize,
    /// Number of members that may be present: members that are alive, suspected or were recently
    /// declared dead. Never less than `size`.
    pub high: usize,
}

/// View of the cluster on which decisions are based.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Estimated number of members of the whole cluster.
    pub cluster: SizeEstimate,
    /// Estimated number of members of the node's own zone.
    pub zone: SizeEstimate,
    /// Time since which the node cannot tell whether other members are gone or the node itself is
    /// partitioned; `None` while it is sure.
    pub unsure_since: Option<Nanos>,
    /// Digest of the member table; equal on nodes whose tables agree.
    pub digest: u64,
    /// Number of suspected members.
    pub suspects: usize,
    /// Local health score; 0 is healthy.
    pub local_health_score: u32,
    /// Whether another process holds this node's name, so that other nodes do not see this process.
    pub has_name_conflict: bool,
}

/// Value that follows a rising target at once and a falling target slowly.
#[derive(Clone, Copy, Debug, Default)]
struct SlowDecay {
    value: usize,
    last_step: Nanos,
    /// Value when the node was last sure. While the node is unsure, the value does not fall below
    /// half of `value_when_sure`.
    value_when_sure: usize,
}

impl SlowDecay {
    fn follow(&mut self, now: Nanos, target: usize, unsure: bool) {
        if target >= self.value {
            (self.value, self.last_step) = (target, now);
        }
        if !unsure {
            self.value_when_sure = self.value;
        }
        let floor = if unsure {
            target.max(self.value_when_sure.div_ceil(2))
        } else {
            target
        };
        while self.value > floor && now >= self.last_step + SECOND {
            self.last_step += SECOND;
            self.value = (self.value - self.value.div_ceil(DECAY_DIVISOR)).max(floor);
        }
        if self.value <= floor {
            self.last_step = now;
        }
    }
}

/// Computes the [`ClusterView`] from the member table and the local health score.
#[derive(Debug, Default)]
pub struct ClusterSizeEstimator {
    cluster: SlowDecay,
    zone: SlowDecay,
    unsure_since: Option<Nanos>,
    /// Time at which the node last had a reason to be unsure.
    last_cause: Nanos,
}

impl ClusterSizeEstimator {
    /// Recomputes the view. To be called several times a second, since the estimates fall over
    /// time.
    pub fn observe(
        &mut self,
        now: Nanos,
        member_table: &MemberTable,
        own_zone: &Arc<str>,
        local_health_score: u32,
        has_name_conflict: bool,
    ) -> ClusterView {
        let (mut lost, mut lost_in_zone) = (0, 0);
        if member_table.counts().dead > 0 {
            let is_recent = |entry: &MemberEntry| {
                entry.liveness() == Liveness::Dead && now.saturating_sub(entry.since) < DEAD_HOLD
            };
            for (_, entry) in member_table.iter().filter(|(_, entry)| is_recent(entry)) {
                lost += 1;
                lost_in_zone += usize::from(entry.details.zone == *own_zone);
            }
        }
        let (cluster, zone) = (member_table.counts(), member_table.zone(own_zone));
        self.update_confidence(now, cluster, lost, local_health_score);
        let unsure = self.unsure_since.is_some();
        self.cluster.follow(now, cluster.present(), unsure);
        self.zone.follow(now, zone.present(), unsure);
        let estimate = |decay: &SlowDecay, counts: MemberCounts, lost: usize| SizeEstimate {
            size: decay.value,
            low: counts.alive,
            high: (counts.present() + lost).max(decay.value),
        };
        ClusterView {
            cluster: estimate(&self.cluster, cluster, lost),
            zone: estimate(&self.zone, zone, lost_in_zone),
            unsure_since: self.unsure_since,
            digest: member_table.digest(),
            suspects: cluster.suspect,
            local_health_score,
            has_name_conflict,
        }
    }

    fn update_confidence(
        &mut self,
        now: Nanos,
        cluster: MemberCounts,
        lost: usize,
        local_health_score: u32,
    ) {
        let before = self.cluster.value.max(cluster.present() + lost);
        let many_lost = lost * LOST_FRACTION_DIVISOR >= before
            && (lost > 1 || lost == 1 && cluster.present() < 2);
        let many_suspect = cluster.suspect > 1 && cluster.suspect * 2 >= cluster.present();
        if many_lost || many_suspect || local_health_score >= UNSURE_HEALTH_SCORE {
            self.last_cause = now;
            self.unsure_since.get_or_insert(now);
        }
        let calm = now >= self.last_cause + CALM_TIME;
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
