//! Writes of the persisted state, and the step that follows each write.

use super::{Continuation, NodeAgent, PendingOperation};
use crate::Nanos;
use crate::host::Host;
use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::messages::RolloutMessage;
use crate::rollout::Outcome;

impl<H: Host> NodeAgent<H> {
    /// Asks the host to write the persisted state, together with a content if one is given. `then`
    /// runs once the write has finished.
    pub(super) fn persist(
        &mut self,
        now: Nanos,
        then: Continuation,
        content: Option<(Version, Vec<u8>)>,
    ) {
        self.write_count += 1;
        self.persisted.head = self.rollouts.head(self.kind).cloned();
        self.pending = PendingOperation::Persist {
            write: self.write_count,
            then,
            since: now,
        };
        let persisted = self.persisted.clone();
        self.host.persist(self.write_count, &persisted, content);
    }

    /// Reports the result of the write that [`Host::persist`] requested. The result of an earlier
    /// write is ignored.
    pub fn persist_finished(&mut self, now: Nanos, write: u64, result: Result<(), HostError>) {
        let then = match &self.pending {
            PendingOperation::Persist {
                write: pending,
                then,
                ..
            } if *pending == write => then.clone(),
            _ => return,
        };
        self.pending = PendingOperation::Nothing;
        let had_failed = self.persist_failed_at.take().is_some();
        if result.is_err() {
            self.persist_failed_at = Some(now);
        } else if had_failed {
            self.host.log("what is in force is written again");
        }
        match (then, result) {
            (Continuation::Nothing, Ok(())) => {}
            (Continuation::Nothing, Err(_)) if had_failed => {} // logged when it first failed
            (Continuation::Nothing, Err(why)) => self
                .host
                .log(&format!("what is in force could not be written: {why}")),
            (Continuation::Staged(id), result) => self.stage_finished(id, result),
            (Continuation::PaxosReply(to, reply), Ok(())) => self
                .host
                .send(to, RolloutMessage::PaxosReply(self.kind, reply)),
            (Continuation::PaxosReply(..), Err(why)) => self
                .host
                .log(&format!("a vote could not be written: {why}")),
            (Continuation::Apply(version), result) => self.apply_after_write(now, version, result),
        }
        self.proceed(now);
    }

    /// Marks a rollout's version as staged, or rejects it if the write failed.
    fn stage_finished(&mut self, id: RolloutId, result: Result<(), HostError>) {
        let Some(rollout) = self.rollouts.get(id).cloned() else {
            return;
        };
        match result {
            Ok(()) => {
                self.host.log(&format!(
                    "change {id}: version {} is staged",
                    rollout.version
                ));
                self.staged.insert(rollout.version);
            }
            Err(why) => self.reject(
                &rollout,
                &format!("its content could not be written: {why}"),
            ),
        }
    }

    /// Applies a version after the write that recorded it. A rollback goes ahead even if the write
    /// failed; a trial must be on disk before it is applied.
    fn apply_after_write(&mut self, now: Nanos, version: Version, result: Result<(), HostError>) {
        match result {
            // The rollout was halted meanwhile: the trial does not begin.
            Ok(()) if self.is_pending_trial_halted() => self.persisted.trial = None,
            Ok(()) => self.apply(now, version),
            Err(why) if self.persisted.trial.is_none() => {
                self.host.log(&format!(
                    "goes back though that could not be written: {why}"
                ));
                self.apply(now, version);
            }
            Err(why) => {
                if let Some(rollout) = self
                    .persisted
                    .trial
                    .take()
                    .and_then(|trial| self.rollouts.get(trial.rollout).cloned())
                {
                    self.reject(&rollout, &format!("its trial could not be written: {why}"));
                }
            }
        }
    }

    fn apply(&mut self, now: Nanos, version: Version) {
        self.pending = PendingOperation::Apply {
            version,
            since: now,
        };
        self.host.apply(version);
    }

    /// Returns whether the recorded trial has not begun yet although its rollout has ended
    /// meanwhile.
    fn is_pending_trial_halted(&self) -> bool {
        let trial = self
            .persisted
            .trial
            .filter(|trial| trial.version != self.running);
        trial
            .and_then(|trial| self.rollouts.get(trial.rollout))
            .is_some_and(|rollout| rollout.outcome > Outcome::Completed)
    }
}
