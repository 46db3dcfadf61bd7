//! What a simulated node's part in rollouts sees and does.

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

/// What all nodes of one side of a split see of each other.
#[derive(Debug, Default)]
pub(super) struct Board {
    pub(super) members: Vec<Member>,
    pub(super) digests: Vec<(u64, u64)>,
    pub(super) windows: Rc<RefCell<BTreeMap<u64, Vec<WindowSample>>>>,
    pub(super) keys: BTreeSet<u64>,
}

/// The host of a simulated node.
pub struct SimHost {
    pub(super) me: u64,
    pub(super) out: Vec<(u64, RolloutMessage)>,
    pub(super) tasks: Vec<Task>,
    /// Log lines.
    pub lines: Vec<String>,
    pub(super) shown: NodeReport,
    pub(super) board: Rc<Board>,
    pub(super) rng: Pcg64Mcg,
}

impl Host for SimHost {
    fn send(&mut self, to: u64, message: RolloutMessage) {
        self.out.push((to, message));
    }

    fn log(&mut self, line: &str) {
        self.lines.push(line.to_owned());
    }

    fn random_peers(&mut self, most: usize) -> Vec<u64> {
        let there: Vec<u64> = self
            .board
            .members
            .iter()
            .filter(|m| m.present && m.node != self.me)
            .map(|m| m.node)
            .collect();
        (0..most.min(there.len()))
            .map(|_| there[self.rng.random_range(0..there.len())])
            .collect()
    }

    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64> {
        let others = &self.board.digests;
        // From a place of its own on, so that not all ask the same one.
        let from = if others.is_empty() {
            0
        } else {
            self.rng.random_range(0..others.len())
        };
        let differs = |(node, other): &&(u64, u64)| *node != self.me && *other != digest;
        others[from..]
            .iter()
            .chain(&others[..from])
            .find(differs)
            .map(|(node, _)| *node)
    }

    fn show(&mut self, report: &NodeReport) {
        self.shown = report.clone();
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
        self.board.members.clone()
    }

    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)> {
        let keys = &self.board.keys;
        let windows = self.board.windows.borrow();
        let mine = |samples: &Vec<WindowSample>| {
            samples
                .iter()
                .filter(|s| keys.contains(&s.node))
                .cloned()
                .collect()
        };
        windows
            .range(from..=until)
            .map(|(window, samples)| (*window, mine(samples)))
            .collect()
    }
}
