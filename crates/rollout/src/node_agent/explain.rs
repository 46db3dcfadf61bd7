//! The node's report, and the explanation for operators of which version the node runs and why.

use super::NodeAgent;
use crate::MILLISECOND;
use crate::host::Host;
use crate::identifiers::{RolloutId, Version};
use crate::node_report::{NodeReport, NodeStatus};
use crate::rollout::{Assignment, Outcome, Rollout};
use crate::stages::seconds;

impl<H: Host> NodeAgent<H> {
    /// Returns the node's status in a rollout.
    fn node_status(&self, rollout: &Rollout) -> NodeStatus {
        let version = rollout.version;
        let trial = self
            .persisted
            .trial
            .is_some_and(|trial| trial.version == version);
        match () {
            () if self.running == version && self.persisted.promoted == Some(version) => {
                NodeStatus::Promoted
            }
            () if self.running == version && trial => NodeStatus::OnTrial,
            () if trial => NodeStatus::Starting,
            () if matches!(rollout.outcome, Outcome::Rejected | Outcome::RolledBack) => {
                match self.persisted.is_rejected(version) {
                    true => NodeStatus::RolledBack,
                    false => NodeStatus::Offered,
                }
            }
            () if self.persisted.crashes(version) > 0 => NodeStatus::Crashed,
            () if self.rejected.contains_key(&version) => NodeStatus::Rejected,
            () if self.staged.contains(&version) => NodeStatus::Staged,
            () => NodeStatus::Offered,
        }
    }

    /// Returns the node's report on `rollout`; with `None`, a report on the node's versions alone.
    pub(super) fn report_of(&self, rollout: Option<&Rollout>) -> NodeReport {
        let version = rollout.map(|rollout| rollout.version);
        NodeReport {
            rollout: rollout.map_or(RolloutId(0), |rollout| rollout.id),
            stage: rollout.map_or(0, |rollout| rollout.progress.stage),
            outcome: rollout.map_or(Outcome::InProgress, |rollout| rollout.outcome),
            status: rollout.map_or(NodeStatus::Unknown, |rollout| self.node_status(rollout)),
            running: self.running,
            promoted: self.persisted.promoted.unwrap_or_default(),
            since_ms: self.since_ms,
            crashes: version.map_or(0, |version| self.persisted.crashes(version)),
            last_crash_ms: self.last_crash_ms,
            why: version
                .and_then(|version| self.rejected.get(&version))
                .cloned()
                .unwrap_or_default(),
            digest: self.rollouts.digest(),
        }
    }

    /// Explains which version the node runs and why, as lines of text for operators.
    pub fn explain(&self, unix_ms: u64) -> Vec<String> {
        let ago = |since: u64| seconds(unix_ms.saturating_sub(since) * MILLISECOND);
        let mut lines = vec![format!(
            "runs version {} since {} ago",
            self.running,
            ago(self.since_ms)
        )];
        let shown = |version: Option<Version>| version.map_or("none".to_owned(), |v| v.to_string());
        lines.push(format!(
            "the last good one is {}, before it {}; it starts on the last good one",
            shown(self.persisted.promoted),
            shown(self.persisted.previous)
        ));
        if let Some(rollout) = self.shown_rollout() {
            let assignment = match rollout.assignment(self.me, self.zone) {
                Assignment::NewVersion => "this node is in its stage",
                Assignment::BaseVersion if rollout.outcome == Outcome::InProgress => {
                    "this node is not in its stage"
                }
                Assignment::BaseVersion => "this node runs the old version or returns to it",
                Assignment::Unchanged => "this node keeps its version",
            };
            lines.push(format!(
                "change {}: {} in place of {}, stage {} of {}, {}{}; {assignment}; it is {} here{}",
                rollout.id,
                rollout.version,
                rollout.base,
                rollout.progress.stage,
                rollout.plan.stages.len(),
                rollout.outcome.display_name(),
                if rollout.outcome > Outcome::InProgress {
                    format!(" ({})", rollout.reason.why)
                } else {
                    String::new()
                },
                self.report.status.display_name(),
                if self.report.why.is_empty() {
                    String::new()
                } else {
                    format!(": {}", self.report.why)
                }
            ));
        }
        for (version, crashes) in &self.persisted.rejected {
            lines.push(format!(
                "version {version} was rolled back or rejected at this node, {crashes} crashes"
            ));
        }
        lines
    }
}
