//! Observations of a simulated cluster, for tests.

use super::SimulatedCluster;
use super::host::SimHost;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::node_report::NodeStatus;
use crate::participant::Participant;
use crate::rollout::{Outcome, Rollout};

impl SimulatedCluster {
    /// Returns the version that a node runs; `None` if its process is down.
    pub fn running_version(&self, node: usize) -> Option<Version> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.running())
    }

    /// Returns the number of nodes that run the version of this number.
    pub fn running_count(&self, number: u64) -> usize {
        (0..self.nodes.len())
            .filter(|node| {
                self.running_version(*node)
                    .is_some_and(|v| v.number == number)
            })
            .count()
    }

    /// Returns a rollout as known to a node; `None` if the node is down or does not know the
    /// rollout.
    pub fn rollout_at(&self, node: usize, id: RolloutId) -> Option<&Rollout> {
        self.nodes[node]
            .participant
            .as_ref()?
            .agent
            .rollouts()
            .get(id)
    }

    /// Returns the outcome of a rollout as known to a node.
    pub fn outcome(&self, node: usize, id: RolloutId) -> Option<Outcome> {
        self.rollout_at(node, id).map(|rollout| rollout.outcome)
    }

    /// Returns whether all running nodes that are not paused know this outcome of the rollout.
    pub fn all_know(&self, id: RolloutId, outcome: Outcome) -> bool {
        let running = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].participant.is_some() && !self.nodes[*node].paused);
        running
            .into_iter()
            .all(|node| self.outcome(node, id) == Some(outcome))
    }

    /// Returns the members of the cluster as seen by a node.
    pub fn members(&self, node: usize) -> Vec<Member> {
        self.cluster_views[self.nodes[node].side].members.clone()
    }

    /// Returns a node's Unix clock in milliseconds.
    pub fn clock(&self, node: usize) -> u64 {
        self.unix_ms(node)
    }

    /// Returns the rollout participant of a node; `None` if its process is down.
    pub fn participant(&self, node: usize) -> Option<&Participant<SimHost>> {
        self.nodes[node].participant.as_ref()
    }

    /// Returns the latest stage of a rollout that any running node knows; 0 if there is none.
    pub fn stage(&self, id: RolloutId) -> u32 {
        let stages = (0..self.nodes.len())
            .filter_map(|node| self.rollout_at(node, id))
            .map(|rollout| rollout.progress.stage);
        stages.max().unwrap_or(0)
    }

    /// Returns the nodes that the latest known stage of a rollout includes.
    pub fn in_stage(&self, id: RolloutId) -> Vec<usize> {
        let latest = (0..self.nodes.len())
            .filter_map(|node| self.rollout_at(node, id))
            .max_by_key(|c| c.progress.agreement);
        let Some(rollout) = latest else {
            return Vec::new();
        };
        let is_in = |node: &usize| {
            rollout
                .progress
                .includes(id, self.nodes[*node].key, self.load.zone(*node))
        };
        (0..self.nodes.len()).filter(is_in).collect()
    }

    /// Returns a node's status in the rollout that it follows.
    pub fn node_status(&self, node: usize) -> Option<NodeStatus> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.report().status)
    }
}
