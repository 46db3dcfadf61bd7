//! Trials of versions: start in the node's slot, switch of versions, promotion and rollback.

use super::{Continuation, NodeAgent, PendingOperation, RETRY_AFTER_CRASH, StageFirstSeen};
use crate::Nanos;
use crate::host::Host;
use crate::host_error::HostError;
use crate::identifiers::Version;
use crate::node_report::MAX_CRASHES;
use crate::persisted_state::Trial;
use crate::rollout::{Outcome, Rollout};

impl<H: Host> NodeAgent<H> {
    /// Starts the trial of a rollout whose stage includes this node: once the node's start slot has
    /// come, the trial is written to disk and then applied.
    pub(super) fn start_trial(&mut self, now: Nanos, rollout: &Rollout) {
        let stage = rollout.progress.stage;
        let first_seen = match self.stage_first_seen {
            Some(seen) if (seen.rollout, seen.stage) == (rollout.id, stage) => seen.at,
            _ => {
                self.stage_first_seen = Some(StageFirstSeen {
                    rollout: rollout.id,
                    stage,
                    at: now,
                });
                now
            }
        };
        let spread = rollout
            .plan
            .stage(stage)
            .map_or(0, |stage| stage.start_spread);
        let slot = if rollout.outcome == Outcome::Completed {
            0
        } else {
            rollout
                .progress
                .slot(rollout.id, self.me, self.zone, spread)
        };
        if now < first_seen + slot {
            return;
        }
        let tries = self.persisted.crashes(rollout.version) + 1;
        self.persisted.trial = Some(Trial {
            rollout: rollout.id,
            version: rollout.version,
            tries,
        });
        self.persist(now, Continuation::Apply(rollout.version), None);
    }

    /// Reports the result of the switch that [`Host::apply`] requested.
    pub fn apply_finished(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        version: Version,
        result: Result<(), HostError>,
    ) {
        if !matches!(self.pending, PendingOperation::Apply { version: pending, .. } if pending == version)
        {
            return;
        }
        self.pending = PendingOperation::Nothing;
        match result {
            Ok(()) => {
                let state = if self.persisted.trial.is_some() {
                    "on trial"
                } else {
                    "in force"
                };
                self.host.log(&format!(
                    "version {version} is {state}, in place of {}",
                    self.running
                ));
                (self.running, self.since_ms) = (version, unix_ms);
                self.local_at_trial_start = None;
            }
            Err(why) => {
                self.host
                    .log(&format!("version {version} can't be run: {why}"));
                // A failed rollback is tried again later; the report shows the running version
                // until then.
                self.not_before = now + RETRY_AFTER_CRASH;
                if let Some(trial) = self
                    .persisted
                    .trial
                    .take_if(|trial| trial.version == version)
                {
                    self.persisted.reject(version, MAX_CRASHES);
                    self.rejected.insert(version, why.to_string());
                    self.persist(now, Continuation::Nothing, None);
                    self.end(
                        now,
                        unix_ms,
                        trial.rollout,
                        Outcome::RolledBack,
                        &format!("it can't be run at one node: {why}"),
                    );
                }
            }
        }
        self.proceed(now);
    }

    /// Promotes the version of a completed rollout: the node starts on that version from now on.
    pub(super) fn promote(&mut self, now: Nanos, version: Version) {
        if self.persisted.promoted != Some(version) || self.persisted.trial.is_some() {
            self.persisted.promote(version);
            self.host.log(&format!(
                "version {version} is good, and the one to start on"
            ));
            self.forget_contents();
            self.persist(now, Continuation::Nothing, None);
        }
    }

    /// Rolls back to the last promoted version. If `version` was itself promoted before the
    /// rollback, the node returns to the version promoted before `version`.
    pub(super) fn roll_back(&mut self, now: Nanos, version: Version, base: Version) {
        self.persisted.trial = None;
        self.persisted
            .reject(version, self.persisted.crashes(version));
        if self.persisted.promoted == Some(version) {
            self.persisted.promoted = self.persisted.previous.take().or(Some(base));
        }
        let to = self.persisted.promoted.unwrap_or(base);
        self.local_at_trial_start = None;
        self.staged.remove(&version);
        if self.running == to {
            return self.persist(now, Continuation::Nothing, None);
        }
        self.persist(now, Continuation::Apply(to), None);
    }
}
