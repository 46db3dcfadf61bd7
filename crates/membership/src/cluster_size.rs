//! What decisions see of the fleet: how many there are, and how far that can be trusted. A node
//! that lately lost sight of many cannot tell whether they are gone or it is cut off itself, and
//! says so; the size it goes by falls slowly.

use crate::member::{Liveness, MemberEntry};
use crate::member_table::{MemberCounts, MemberTable};
use crate::{Nanos, SECOND};
use std::sync::Arc;

/// Those found dead stay within what may be there for so long.
const HOLD: Nanos = 30 * SECOND;
/// One part in so many lost within that time, or as much suspected at once as half, makes a node
/// unsure.
const LOST_PART: usize = 4;
/// Doubt of itself from which a node is unsure of all it holds.
const DOUBT: u32 = 4;
/// Sure again after so long without cause to be unsure; and in any case after so long, for then it
/// is the state of things.
const CALM: Nanos = 5 * SECOND;
const LONGEST: Nanos = 300 * SECOND;
/// The size falls by one part in so many each second, at most.
const FALL_PART: usize = 8;

/// How many there are: what to go by, and what lies within sight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeEstimate {
    /// What decisions go by: up at once, down slowly.
    pub size: usize,
    /// Those held to be there without a doubt.
    pub low: usize,
    /// The same with suspects, and with those who were found dead lately and did not say that they
    /// left.
    pub high: usize,
}

/// What decisions see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    pub fleet: SizeEstimate,
    /// The own zone.
    pub zone: SizeEstimate,
    /// Since when the node cannot tell whether others are gone or it is cut off.
    pub unsure_since: Option<Nanos>,
    /// Equal on nodes that agree.
    pub digest: u64,
    pub suspects: usize,
    /// The node's doubt of itself.
    pub doubt: u32,
    /// Whether another process has this node's name, so that it is in nobody's view.
    pub mute: bool,
}

/// A number that rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
struct SlowDecay {
    value: usize,
    stepped: Nanos,
    /// What it was when the node became unsure.
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
            self.value = (self.value - self.value.div_ceil(FALL_PART)).max(floor);
        }
        if self.value <= floor {
            self.stepped = now;
        }
    }
}

/// Keeps what decisions see.
#[derive(Debug, Default)]
pub struct ClusterSizeEstimator {
    fleet: SlowDecay,
    zone: SlowDecay,
    unsure_since: Option<Nanos>,
    /// When there was last a cause to be unsure.
    cause: Nanos,
}

impl ClusterSizeEstimator {
    /// Looks at the view; to be called several times a second.
    pub fn observe(
        &mut self,
        now: Nanos,
        member_table: &MemberTable,
        own_zone: &Arc<str>,
        doubt: u32,
        mute: bool,
    ) -> ClusterView {
        let (mut lost, mut lost_here) = (0, 0);
        if member_table.counters().dead > 0 {
            let is_recent = |entry: &MemberEntry| {
                entry.liveness() == Liveness::Dead && now.saturating_sub(entry.since) < HOLD
            };
            for (_, entry) in member_table.iter().filter(|(_, entry)| is_recent(entry)) {
                lost += 1;
                lost_here += usize::from(entry.details.zone == *own_zone);
            }
        }
        let (fleet, zone) = (member_table.counters(), member_table.zone(own_zone));
        self.judge(now, fleet, lost, doubt);
        let unsure = self.unsure_since.is_some();
        self.fleet.follow(now, fleet.present(), unsure);
        self.zone.follow(now, zone.present(), unsure);
        let extent = |slow: &SlowDecay, counters: MemberCounts, lost: usize| SizeEstimate {
            size: slow.value,
            low: counters.alive,
            high: (counters.present() + lost).max(slow.value),
        };
        ClusterView {
            fleet: extent(&self.fleet, fleet, lost),
            zone: extent(&self.zone, zone, lost_here),
            unsure_since: self.unsure_since,
            digest: member_table.digest(),
            suspects: fleet.suspect,
            doubt,
            mute,
        }
    }

    fn judge(&mut self, now: Nanos, fleet: MemberCounts, lost: usize, doubt: u32) {
        let before = self.fleet.value.max(fleet.present() + lost);
        let many_lost =
            lost * LOST_PART >= before && (lost > 1 || lost == 1 && fleet.present() < 2);
        let many_suspect = fleet.suspect > 1 && fleet.suspect * 2 >= fleet.present();
        if many_lost || many_suspect || doubt >= DOUBT {
            self.cause = now;
            self.unsure_since.get_or_insert(now);
        }
        let calm = now >= self.cause + CALM;
        let long = self
            .unsure_since
            .is_some_and(|since| now >= since + LONGEST)
            && doubt < DOUBT;
        if calm || long {
            self.unsure_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
