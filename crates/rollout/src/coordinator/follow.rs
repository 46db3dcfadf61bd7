//! Keeps a voter's metrics of the rollout in progress and the start time of its stage up to date.

use super::{Coordinator, Windows};
use crate::Nanos;
use crate::cohort_metrics::{CohortMetrics, WindowSample};
use crate::paxos::last_agreement;
use crate::rollout_table::RolloutTable;

impl Coordinator {
    /// Returns the number of the next window to record; `None` while no rollout is in progress or
    /// this node is not a voter.
    pub fn next_wanted_window(&self, rollouts: &RolloutTable) -> Option<u64> {
        let records =
            rollouts.in_progress(self.kind).is_some() && self.metrics.is_some() && self.is_voter();
        records.then_some(self.next_window)
    }

    /// Records the nodes' samples of a window that has ended. Windows already recorded are ignored.
    pub fn record_window(&mut self, window: u64, samples: &[WindowSample]) {
        if let Some(metrics) = self.metrics.as_mut().filter(|_| window >= self.next_window) {
            metrics.record_window(window, samples);
            self.next_window = window + 1;
        }
    }

    /// Follows the rollout table: notes new agreements and offers. When a rollout has begun, starts
    /// the rollout's metrics with the windows recorded before the rollout, as returned by
    /// `windows`.
    pub(super) fn follow_rollout(
        &mut self,
        now: Nanos,
        rollouts: &RolloutTable,
        windows: &mut dyn FnMut() -> Windows,
    ) {
        let agreement = last_agreement(rollouts, self.kind);
        if agreement != self.agreement {
            (self.agreement, self.since) = (agreement, now);
            (self.stage_empty_since, self.analysis) = (None, None);
        }
        let next = rollouts.next(self.kind).map(|rollout| rollout.id);
        if self.offered.map(|(id, _)| id) != next {
            self.offered = next.map(|id| (id, now));
        }
        let Some(rollout) = rollouts.in_progress(self.kind).filter(|_| self.is_voter()) else {
            return;
        };
        if self
            .metrics
            .as_ref()
            .is_none_or(|metrics| metrics.rollout != rollout.id)
        {
            let mut metrics = CohortMetrics::new(rollout.id, rollout.version, rollout.base)
                .with_capacity(self.max_nodes)
                .with_fast_enough(self.fast_enough.clone());
            let windows = windows();
            self.next_window = windows
                .iter()
                .map(|(window, _)| window + 1)
                .max()
                .unwrap_or(self.next_window);
            metrics.begin(&windows);
            self.metrics = Some(metrics);
        }
        if let Some(metrics) = self
            .metrics
            .as_mut()
            .filter(|metrics| metrics.stage() != rollout.progress.stage)
        {
            metrics.start_stage(rollout.progress.stage);
        }
    }
}
