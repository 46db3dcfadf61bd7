//! The host of a simulated node: its view of the cluster and the operations that the node requests.

use super::events::Task;
use crate::cohort_metrics::WindowSample;
use crate::host::Host;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::RolloutMessage;
use crate::node_report::NodeReport;
use crate::persisted_state::PersistedState;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// View of the cluster that is common to all nodes on one side of a split.
#[derive(Debug, Default)]
pub(super) struct ClusterView {
    pub(super) members: Vec<Member>,
    pub(super) digests: Vec<(u64, u64)>,
    pub(super) windows: Rc<RefCell<BTreeMap<u64, Vec<WindowSample>>>>,
    pub(super) keys: BTreeSet<u64>,
}

/// Host of a simulated node, which queues the node's messages and requested operations.
pub struct SimHost {
    pub(super) me: u64,
    pub(super) outbox: Vec<(u64, RolloutMessage)>,
    pub(super) tasks: Vec<Task>,
    /// Lines that the node has logged since its start.
    pub lines: Vec<String>,
    pub(super) attached: NodeReport,
    pub(super) cluster_view: Rc<ClusterView>,
    pub(super) rng: Pcg64Mcg,
}

impl Host for SimHost {
    fn send(&mut self, to: u64, message: RolloutMessage) {
        self.outbox.push((to, message));
    }

    fn log(&mut self, line: &str) {
        self.lines.push(line.to_owned());
    }

    fn random_peers(&mut self, most: usize) -> Vec<u64> {
        let present: Vec<u64> = self
            .cluster_view
            .members
            .iter()
            .filter(|m| m.present && m.node != self.me)
            .map(|m| m.node)
            .collect();
        (0..most.min(present.len()))
            .map(|_| present[self.rng.random_range(0..present.len())])
            .collect()
    }

    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64> {
        let others = &self.cluster_view.digests;
        // The search starts at a random index, so that not all nodes choose the same peer.
        let start = if others.is_empty() {
            0
        } else {
            self.rng.random_range(0..others.len())
        };
        let differs = |(node, other): &&(u64, u64)| *node != self.me && *other != digest;
        others[start..]
            .iter()
            .chain(&others[..start])
            .find(differs)
            .map(|(node, _)| *node)
    }

    fn show(&mut self, report: &NodeReport) {
        self.attached = report.clone();
    }

    fn check(&mut self, rollout: RolloutId, version: Version, _content: Option<Vec<u8>>) {
        self.tasks.push(Task::Check { rollout, version });
    }

    fn persist(
        &mut self,
        number: u64,
        persisted: &PersistedState,
        content: Option<(Version, Vec<u8>)>,
    ) {
        self.tasks.push(Task::Persist {
            number,
            persisted: Box::new(persisted.clone()),
            content,
        });
    }

    fn apply(&mut self, version: Version) {
        self.tasks.push(Task::Apply(version));
    }

    fn members(&mut self) -> Vec<Member> {
        self.cluster_view.members.clone()
    }

    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)> {
        let keys = &self.cluster_view.keys;
        let windows = self.cluster_view.windows.borrow();
        let visible = |samples: &Vec<WindowSample>| {
            samples
                .iter()
                .filter(|s| keys.contains(&s.node))
                .cloned()
                .collect()
        };
        windows
            .range(from..=until)
            .map(|(window, samples)| (*window, visible(samples)))
            .collect()
    }
}
