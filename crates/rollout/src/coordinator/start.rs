//! The rules by which an offered rollout begins its first stage, and the rules that the first and
//! later stages share: quorum, rejection, proposal.

use super::{Coordinator, Step, StepInputs};
use crate::node_report::NodeStatus;
use crate::paxos::{Proposal, last_agreement};
use crate::rollout::{Outcome, Rollout};
use crate::rollout_table::RolloutTable;
use crate::stages::{NextAgreement, Progress};
use crate::{Nanos, SECOND};

/// How long an offered rollout waits until all nodes have staged the version. After that the
/// rollout begins once more than half of the cluster has staged it.
const STRAGGLER_WAIT: Nanos = 60 * SECOND;
/// How long an offered rollout may stay staged at no more than half of the cluster before the
/// rollout is rejected. The content may be lost together with the node that offered it.
const CONTENT_LOST_AFTER: Nanos = 180 * SECOND;

impl Coordinator {
    /// Rejects an offered rollout that can no longer begin because a version at least as new is in
    /// force or in progress.
    pub(super) fn reject_superseded(&self, rollouts: &RolloutTable) -> Option<Step> {
        let newer = rollouts.in_progress(self.kind).or_else(|| {
            let completed = rollouts.iter().filter(|rollout| {
                rollout.kind == self.kind && rollout.outcome == Outcome::Completed
            });
            completed.max_by_key(|rollout| rollout.progress.agreement)
        })?;
        let superseded = rollouts.iter().find(|rollout| {
            let is_waiting = rollout.kind == self.kind
                && rollout.outcome == Outcome::InProgress
                && rollout.progress.agreement == 0;
            is_waiting && rollout.version.number <= newer.version.number
        })?;
        let state = if newer.outcome == Outcome::Completed {
            "in force"
        } else {
            "under way"
        };
        let why = format!("version {} is {state}, change {}", newer.version, newer.id);
        Some(Step::end(superseded, Outcome::Rejected, why))
    }

    /// Rule: more than half of the cluster has reported recently, and none of these nodes knows
    /// that the rollout has ended. Otherwise returns why the rollout waits.
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
                "node {node:016x} reports that the rollout is {}",
                report.outcome.display_name()
            ));
        }
        Ok(())
    }

    /// Rule: no node rejects the version. Otherwise returns how many nodes reject it, and the
    /// reason of the first one.
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
            0 => format!("one node rejects it: {why}"),
            more => format!("{} nodes reject it, one of them: {why}", more + 1),
        })
    }

    /// Proposes the next stage, or the same stage with other nodes if `again` is set.
    pub(super) fn propose(&self, inputs: &StepInputs<'_>, rollout: &Rollout, again: bool) -> Step {
        let nodes: Vec<(u64, u32)> = inputs
            .members
            .iter()
            .filter(|member| member.present)
            .map(|member| (member.node, member.zone))
            .collect();
        // The agreed cluster size counts present nodes only, so that nodes lost long ago do not
        // hold up later stages.
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
            None => Step::Wait("the plan has no further stage".into()),
        }
    }

    /// Decides the next step of an offered rollout. The rules in order: the version is newer than
    /// the promoted versions, no node rejects the version, quorum, the version is staged at enough
    /// nodes, no halted rollout remains.
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
        // A halted rollout is rolled back first, so that all nodes start from the same base
        // version.
        let halted = inputs
            .rollouts
            .iter()
            .find(|c| c.kind == self.kind && c.outcome == Outcome::Halted);
        if let Some(halted) = halted {
            let why = format!("change {} replaces it", rollout.id);
            return Step::end(halted, Outcome::RolledBack, why);
        }
        self.propose(inputs, rollout, false)
    }

    /// Rule: the version is newer than every version that a node has promoted. Otherwise returns
    /// why the rollout is rejected.
    fn outdated(&self, rollout: &Rollout) -> Option<String> {
        let promoted = self
            .fresh_reports(rollout.id)
            .map(|(_, report)| report.promoted)
            .max()
            .unwrap_or_default();
        (rollout.version.number <= promoted.number)
            .then(|| format!("version {promoted} is in force at some nodes"))
    }

    /// Rule: the version is staged at all present nodes, or after [`STRAGGLER_WAIT`] at more than
    /// half of the cluster. A rollout that is staged at half of the cluster or less after
    /// [`CONTENT_LOST_AFTER`] is rejected.
    fn not_staged(&self, inputs: &StepInputs<'_>, rollout: &Rollout) -> Option<Step> {
        let staged = self
            .fresh_reports(rollout.id)
            .filter(|(_, report)| report.status >= NodeStatus::Staged)
            .count();
        let present = inputs
            .members
            .iter()
            .filter(|member| member.present)
            .count();
        let is_offered_for = |time: Nanos| {
            self.offered
                .is_some_and(|(_, since)| inputs.now > since + time)
        };
        let is_minority = staged as u32 * 2 <= inputs.cluster_size;
        if (staged >= present || is_offered_for(STRAGGLER_WAIT)) && !is_minority {
            return None;
        }
        let why = format!("it is staged at {staged} of {present} nodes");
        Some(if is_offered_for(CONTENT_LOST_AFTER) && is_minority {
            let why = format!("{why}, and its content may be lost");
            Step::end(rollout, Outcome::Rejected, why)
        } else {
            Step::Wait(why)
        })
    }
}
