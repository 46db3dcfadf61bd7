//! What must hold at every step of a simulated cluster.

use super::SimulatedCluster;
use crate::identifiers::Version;
use crate::persisted_state::PersistedState;
use crate::rollout::Outcome;

impl SimulatedCluster {
    /// A node is about to run a version.
    pub(super) fn may_begin(&mut self, node: usize, version: Version) {
        let of = &self.nodes[node];
        let Some(participant) = &of.participant else {
            return;
        };
        let persisted = participant.agent.persisted_state();
        let going_back = persisted.trial.is_none_or(|trial| trial.version != version);
        if !of.checked.contains(&version) {
            self.totals.broken.push(format!(
                "node {node} begins {version} without having checked it"
            ));
        }
        if !going_back && version.number > 1 {
            let ended = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome > Outcome::Completed);
            let other = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome <= Outcome::Completed);
            if ended && !other {
                self.totals.broken.push(format!(
                    "node {node} begins {version}, of which it knows that it is halted"
                ));
            }
            let on_disk = PersistedState::decode(&of.disk.persisted)
                .ok()
                .and_then(|persisted| persisted.trial)
                .map(|trial| trial.version);
            if on_disk != Some(version) {
                self.totals.broken.push(format!(
                    "node {node} begins {version}, and its disk does not say so"
                ));
            }
        }
    }

    /// What must always hold.
    pub(super) fn allowed(&mut self, node: usize) {
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
                self.totals.broken.push(format!(
                    "two agreements of number {}",
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
            // Nobody runs what no agreement has given it.
            let farthest = self
                .progress_by_agreement
                .values()
                .filter(|(id, _)| *id == rollout.id)
                .max_by_key(|(_, progress)| progress.agreement);
            let zone = self.load.zone(node);
            let may = farthest.is_some_and(|(_, progress)| {
                progress.includes(rollout.id, self.nodes[node].key, zone)
            });
            if !may {
                self.totals.broken.push(format!(
                    "node {node} runs {running} and is not in its stage"
                ));
            }
        }
        if agent.persisted_state().promoted.is_none() {
            self.totals
                .broken
                .push(format!("node {node} has no last good version"));
        }
    }
}
