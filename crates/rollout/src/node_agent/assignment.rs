//! Decides by the known rollouts which version this node must run, and starts the switch to that
//! version.

use super::NodeAgent;
use crate::Nanos;
use crate::host::Host;
use crate::node_report::MAX_CRASHES;
use crate::rollout::{Assignment, Outcome, Rollout};

impl<H: Host> NodeAgent<H> {
    /// Returns the rollouts of this agent's kind.
    fn of_kind(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts
            .iter()
            .filter(|rollout| rollout.kind == self.kind)
    }

    /// Returns the last completed rollout whose version this node has neither promoted nor
    /// rejected.
    pub(super) fn missing_completed(&self) -> Option<&Rollout> {
        let promoted = self.persisted.promoted.unwrap_or(self.running);
        let completed = self.of_kind().filter(|rollout| {
            rollout.outcome == Outcome::Completed && rollout.version.number > promoted.number
        });
        completed
            .filter(|rollout| !self.rejected.contains_key(&rollout.version))
            .max_by_key(|rollout| rollout.progress.agreement)
    }

    /// Returns a rollout that was rejected or rolled back, and whose version this node still runs.
    pub(super) fn running_rolled_back(&self) -> Option<&Rollout> {
        self.of_kind().find(|rollout| {
            matches!(rollout.outcome, Outcome::Rejected | Outcome::RolledBack)
                && rollout.version == self.running
        })
    }

    /// Returns the rollout that this node's report is about.
    pub(super) fn shown_rollout(&self) -> Option<&Rollout> {
        let trial = self
            .persisted
            .trial
            .and_then(|trial| self.rollouts.get(trial.rollout));
        let in_progress = self.rollouts.in_progress(self.kind);
        let current = || {
            self.rollouts
                .current(self.kind)
                .or_else(|| self.rollouts.head(self.kind))
        };
        trial
            .or_else(|| self.running_rolled_back())
            .or(in_progress)
            .or_else(|| self.missing_completed())
            .or_else(current)
    }

    /// Starts a trial, promotes or rolls back according to the assignment of the known rollouts.
    pub(super) fn update_running_version(&mut self, now: Nanos) {
        if let Some(trial) = self.persisted.trial {
            let Some(rollout) = self.rollouts.get(trial.rollout).cloned() else {
                // Only ended rollouts are removed: this one was rolled back or superseded.
                return self.roll_back(now, trial.version, self.running);
            };
            return match rollout.assignment(self.me, self.zone) {
                Assignment::BaseVersion => self.roll_back(now, trial.version, rollout.base),
                Assignment::NewVersion
                    if rollout.outcome == Outcome::Completed && self.running == trial.version =>
                {
                    self.promote(now, trial.version);
                }
                Assignment::NewVersion | Assignment::Unchanged => {}
            };
        }
        if now < self.not_before {
            return;
        }
        if let Some((version, base)) = self
            .running_rolled_back()
            .map(|rollout| (rollout.version, rollout.base))
        {
            return self.roll_back(now, version, base);
        }
        let in_stage = self
            .rollouts
            .in_progress(self.kind)
            .filter(|c| c.assignment(self.me, self.zone) == Assignment::NewVersion);
        let Some(rollout) = self.missing_completed().or(in_stage).cloned() else {
            return;
        };
        let version = rollout.version;
        if self.running != version
            && self.staged.contains(&version)
            && self.persisted.crashes(version) < MAX_CRASHES
        {
            self.start_trial(now, &rollout);
        }
    }
}
