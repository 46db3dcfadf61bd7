//! What tests observe of a simulated cluster.

use super::SimulatedCluster;
use super::host::SimHost;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::node_report::NodeStatus;
use crate::participant::Participant;
use crate::rollout::{Outcome, Rollout};

impl SimulatedCluster {
    /// The version that a node runs; none if it is down.
    pub fn runs(&self, node: usize) -> Option<Version> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.running())
    }

    /// How many run a version of this number.
    pub fn running(&self, number: u64) -> usize {
        (0..self.nodes.len())
            .filter(|node| self.runs(*node).is_some_and(|v| v.number == number))
            .count()
    }

    /// What a node knows of a rollout.
    pub fn known(&self, node: usize, id: RolloutId) -> Option<&Rollout> {
        self.nodes[node]
            .participant
            .as_ref()?
            .agent
            .rollouts()
            .get(id)
    }

    /// The outcome of a rollout as a node knows it.
    pub fn outcome(&self, node: usize, id: RolloutId) -> Option<Outcome> {
        self.known(node, id).map(|rollout| rollout.outcome)
    }

    /// Whether all that are there know this outcome of it.
    pub fn all_know(&self, id: RolloutId, outcome: Outcome) -> bool {
        let there = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].participant.is_some() && !self.nodes[*node].paused);
        there
            .into_iter()
            .all(|node| self.outcome(node, id) == Some(outcome))
    }

    /// The cluster as a node sees it.
    pub fn members(&self, node: usize) -> Vec<Member> {
        self.boards[self.nodes[node].side].members.clone()
    }

    /// A node's Unix clock, in milliseconds.
    pub fn clock(&self, node: usize) -> u64 {
        self.unix_ms(node)
    }

    /// A node's part.
    pub fn participant(&self, node: usize) -> Option<&Participant<SimHost>> {
        self.nodes[node].participant.as_ref()
    }

    /// The farthest stage that anybody knows of a rollout.
    pub fn stage(&self, id: RolloutId) -> u32 {
        let stages = (0..self.nodes.len())
            .filter_map(|node| self.known(node, id))
            .map(|rollout| rollout.progress.stage);
        stages.max().unwrap_or(0)
    }

    /// The nodes in the stage that has come farthest.
    pub fn in_stage(&self, id: RolloutId) -> Vec<usize> {
        let farthest = (0..self.nodes.len())
            .filter_map(|node| self.known(node, id))
            .max_by_key(|c| c.progress.agreement);
        let Some(rollout) = farthest else {
            return Vec::new();
        };
        let is_in = |node: &usize| {
            rollout
                .progress
                .includes(id, self.nodes[*node].key, self.load.zone(*node))
        };
        (0..self.nodes.len()).filter(is_in).collect()
    }

    /// How a node stands to the rollout that it follows.
    pub fn node_status(&self, node: usize) -> Option<NodeStatus> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.report().status)
    }
}
