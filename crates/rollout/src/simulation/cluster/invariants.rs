//! Invariants that are checked at every step of a simulated cluster.

use super::SimulatedCluster;
use crate::identifiers::Version;
use crate::persisted_state::PersistedState;
use crate::rollout::Outcome;

impl SimulatedCluster {
    /// Checks that a node may start to run a version. The node must have checked the version. If
    /// the version is put on trial, the trial must be on disk, and the node must not know of a halt
    /// of the rollout.
    pub(super) fn check_apply(&mut self, node: usize, version: Version) {
        let target = &self.nodes[node];
        let Some(participant) = &target.participant else {
            return;
        };
        let persisted = participant.agent.persisted_state();
        let is_rollback = persisted.trial.is_none_or(|trial| trial.version != version);
        if !target.checked.contains(&version) {
            self.totals.violations.push(format!(
                "node {node} starts {version}, which it has not checked"
            ));
        }
        if !is_rollback && version.number > 1 {
            let has_ended = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome > Outcome::Completed);
            let is_open = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome <= Outcome::Completed);
            if has_ended && !is_open {
                self.totals.violations.push(format!(
                    "node {node} starts {version}, which it knows to be halted"
                ));
            }
            let on_disk = PersistedState::decode(&target.disk.persisted)
                .ok()
                .and_then(|persisted| persisted.trial)
                .map(|trial| trial.version);
            if on_disk != Some(version) {
                self.totals.violations.push(format!(
                    "node {node} starts {version}, whose trial is not on its disk"
                ));
            }
        }
    }

    /// Checks the invariants that hold at all times, and records the violations at this node.
    pub(super) fn check_invariants(&mut self, node: usize) {
        let Some(participant) = &self.nodes[node].participant else {
            return;
        };
        let agent = &participant.agent;
        let running = agent.running();
        for rollout in agent
            .rollouts()
            .iter()
            .filter(|rollout| rollout.progress.agreement > 0)
        {
            let known = self
                .progress_by_agreement
                .entry(rollout.progress.agreement)
                .or_insert_with(|| (rollout.id, rollout.progress.clone()));
            if *known != (rollout.id, rollout.progress.clone()) {
                self.totals.violations.push(format!(
                    "two different agreements have number {}",
                    rollout.progress.agreement
                ));
            }
        }
        let of_running = agent
            .rollouts()
            .iter()
            .find(|rollout| rollout.version == running);
        if let Some(rollout) = of_running {
            self.totals.ran.insert((running, node));
            // A node only runs a version if an agreed stage includes the node.
            let latest = self
                .progress_by_agreement
                .values()
                .filter(|(id, _)| *id == rollout.id)
                .max_by_key(|(_, progress)| progress.agreement);
            let zone = self.load.zone(node);
            let is_included = latest.is_some_and(|(_, progress)| {
                progress.includes(rollout.id, self.nodes[node].key, zone)
            });
            if !is_included {
                self.totals.violations.push(format!(
                    "node {node} runs {running}, whose stage does not include it"
                ));
            }
        }
        if agent.persisted_state().promoted.is_none() {
            self.totals
                .violations
                .push(format!("node {node} has no promoted version"));
        }
    }
}
