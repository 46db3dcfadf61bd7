//! The metrics that a voter keeps of the rollout in progress, and since when its stage runs.

use super::{Coordinator, Windows};
use crate::Nanos;
use crate::cohort_metrics::{CohortMetrics, WindowSample};
use crate::paxos::last_agreement;
use crate::rollout_table::RolloutTable;

impl Coordinator {
    /// The next window whose counts are wanted; none while no rollout is in progress here.
    pub fn next_wanted_window(&self, rollouts: &RolloutTable) -> Option<u64> {
        let begun =
            rollouts.in_progress(self.kind).is_some() && self.metrics.is_some() && self.is_voter();
        begun.then_some(self.counted)
    }

    /// Takes up what nodes counted in a window that has ended.
    pub fn record_window(&mut self, window: u64, samples: &[WindowSample]) {
        if let Some(metrics) = self.metrics.as_mut().filter(|_| window >= self.counted) {
            metrics.record_window(window, samples);
            self.counted = window + 1;
        }
    }

    /// Takes up what is known now; if a rollout has begun, the windows before it are asked for.
    pub(super) fn follow_rollout(
        &mut self,
        now: Nanos,
        rollouts: &RolloutTable,
        windows: &mut dyn FnMut() -> Windows,
    ) {
        let agreement = last_agreement(rollouts, self.kind);
        if agreement != self.agreement {
            (self.agreement, self.since) = (agreement, now);
            (self.deserted, self.analysis) = (None, None);
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
                .with_capacity(self.room)
                .with_fast_enough(self.fast_enough.clone());
            let windows = windows();
            self.counted = windows
                .iter()
                .map(|(window, _)| window + 1)
                .max()
                .unwrap_or(self.counted);
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
