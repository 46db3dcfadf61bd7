//! Whether a rollout that was offered may begin its first stage, and the rules that the first and
//! the later stages share: quorum, rejection, proposal.

use super::{Coordinator, Step, StepInputs};
use crate::node_report::NodeStatus;
use crate::paxos::{Proposal, last_agreement};
use crate::rollout::{Outcome, Rollout};
use crate::rollout_table::RolloutTable;
use crate::stages::{NextAgreement, Progress};
use crate::{Nanos, SECOND};

/// A rollout begins without the nodes that have not staged it after this.
const STRAGGLER_WAIT: Nanos = 60 * SECOND;
/// A rollout whose content most nodes could not get within this is rejected: the node that offered
/// it is gone.
const CONTENT_LOST_AFTER: Nanos = 180 * SECOND;

impl Coordinator {
    /// Rejects a rollout that can't begin any more, for a version as new is in force or in progress.
    pub(super) fn reject_superseded(&self, rollouts: &RolloutTable) -> Option<Step> {
        let ahead = rollouts.in_progress(self.kind).or_else(|| {
            let done = rollouts.iter().filter(|rollout| {
                rollout.kind == self.kind && rollout.outcome == Outcome::Completed
            });
            done.max_by_key(|rollout| rollout.progress.agreement)
        })?;
        let late = rollouts.iter().find(|rollout| {
            let waits = rollout.kind == self.kind
                && rollout.outcome == Outcome::InProgress
                && rollout.progress.agreement == 0;
            waits && rollout.version.number <= ahead.version.number
        })?;
        let word = if ahead.outcome == Outcome::Completed {
            "in force"
        } else {
            "under way"
        };
        let why = format!("version {} is {word}, change {}", ahead.version, ahead.id);
        Some(Step::end(late, Outcome::Rejected, why))
    }

    /// Rule: more than half of the cluster has reported lately, and none of these nodes knows of an
    /// end; or why the rollout waits.
    pub(super) fn check_quorum(
        &self,
        inputs: &StepInputs<'_>,
        rollout: &Rollout,
    ) -> Result<(), String> {
        let fresh = self.fresh_reports(rollout.id).count() as u32;
        if fresh * 2 <= inputs.cluster_size {
            return Err(format!(
                "{fresh} of {} nodes answer, more than half are needed",
                inputs.cluster_size
            ));
        }
        if let Some((node, report)) = self
            .fresh_reports(rollout.id)
            .find(|(_, report)| report.outcome > rollout.outcome)
        {
            return Err(format!(
                "node {node:016x} knows that it is {}",
                report.outcome.display_name()
            ));
        }
        Ok(())
    }

    /// Rule: no node rejects the version; or how many do, and why.
    pub(super) fn rejection(&self, rollout: &Rollout) -> Option<String> {
        let mut nodes = self
            .fresh_reports(rollout.id)
            .filter(|(_, report)| report.status == NodeStatus::Rejected);
        let (_, first) = nodes.next()?;
        let why = if first.why.is_empty() {
            "it can't be run"
        } else {
            &first.why
        };
        Some(match nodes.count() {
            0 => format!("one node turns it down: {why}"),
            more => format!("{} nodes turn it down, one of them: {why}", more + 1),
        })
    }

    /// Proposes the next stage, or with `again` the same stage with other nodes.
    pub(super) fn propose(&self, inputs: &StepInputs<'_>, rollout: &Rollout, again: bool) -> Step {
        let nodes: Vec<(u64, u32)> = inputs
            .members
            .iter()
            .filter(|member| member.present)
            .map(|member| (member.node, member.zone))
            .collect();
        // What is agreed on is the cluster that is present: those that were lost long ago do not hold
        // the next ones up.
        let next = NextAgreement {
            rollout: rollout.id,
            plan: &rollout.plan,
            nodes: &nodes,
            agreement: last_agreement(inputs.rollouts, self.kind) + 1,
            cluster_size: nodes.len() as u32,
        };
        let progress = match again {
            true => rollout.progress.again(&next),
            false => rollout.progress.next(&next),
        };
        match progress {
            Some(progress) => {
                let progress = Progress {
                    at_ms: inputs.unix_ms,
                    ..progress
                };
                Step::Propose(Proposal {
                    rollout: rollout.id,
                    progress,
                })
            }
            None => Step::Wait("there is no stage after this one".into()),
        }
    }

    /// The next step of an offered rollout. The rules, in their order: its version is newer than
    /// what is in force, no node rejects it, quorum, staged at enough nodes, no halted rollout
    /// is in its way.
    pub(super) fn step_before_start(&self, inputs: &StepInputs<'_>, rollout: &Rollout) -> Step {
        if let Some(why) = self.outdated(rollout) {
            return Step::end(rollout, Outcome::Rejected, why);
        }
        if let Some(why) = self.rejection(rollout) {
            return Step::end(rollout, Outcome::Rejected, why);
        }
        if let Err(why) = self.check_quorum(inputs, rollout) {
            return Step::Wait(why);
        }
        if let Some(step) = self.not_staged(inputs, rollout) {
            return step;
        }
        // What was halted and not rolled back is rolled back now: there is one base to go out from.
        let halted = inputs
            .rollouts
            .iter()
            .find(|c| c.kind == self.kind && c.outcome == Outcome::Halted);
        if let Some(halted) = halted {
            let why = format!("change {} begins in its place", rollout.id);
            return Step::end(halted, Outcome::RolledBack, why);
        }
        self.propose(inputs, rollout, false)
    }

    /// Rule: the version is newer than any that a node has promoted.
    fn outdated(&self, rollout: &Rollout) -> Option<String> {
        let good = self
            .fresh_reports(rollout.id)
            .map(|(_, report)| report.promoted)
            .max()
            .unwrap_or_default();
        (rollout.version.number <= good.number)
            .then(|| format!("version {good} is in force at some nodes"))
    }

    /// Rule: it is staged at all present nodes, or after [`STRAGGLER_WAIT`] at more than half of the
    /// cluster. After [`CONTENT_LOST_AFTER`] at fewer it is rejected.
    fn not_staged(&self, inputs: &StepInputs<'_>, rollout: &Rollout) -> Option<Step> {
        let staged = self
            .fresh_reports(rollout.id)
            .filter(|(_, report)| report.status >= NodeStatus::Staged)
            .count();
        let there = inputs
            .members
            .iter()
            .filter(|member| member.present)
            .count();
        let is_offered_for = |time: Nanos| {
            self.offered
                .is_some_and(|(_, since)| inputs.now > since + time)
        };
        let is_minority = staged as u32 * 2 <= inputs.cluster_size;
        if (staged >= there || is_offered_for(STRAGGLER_WAIT)) && !is_minority {
            return None;
        }
        let why = format!("it is staged at {staged} of {there} nodes");
        Some(if is_offered_for(CONTENT_LOST_AFTER) && is_minority {
            let why = format!("{why}, and its content may be lost");
            Step::end(rollout, Outcome::Rejected, why)
        } else {
            Step::Wait(why)
        })
    }
}
