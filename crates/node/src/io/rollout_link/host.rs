//! The host of a node's participant in rollouts. The host collects the side effects that the
//! participant requests until the link carries them out, and holds the data that the participant
//! queries.

use super::version_worker::Task;
use crossbeam_channel::Sender;
use madderpoint_rollout::cohort_metrics::WindowSample;
use madderpoint_rollout::messages::RolloutMessage;
use madderpoint_rollout::{Host, Kind, Member, NodeReport, PersistedState, RolloutId, Version};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The host of a [`madderpoint_rollout::Participant`]. The link takes the requested side effects from
/// `sent` and `published`, and refreshes `members`, `digests` and `windows`.
pub(super) struct RolloutHost {
    pub(super) kind: Kind,
    pub(super) me: u64,
    pub(super) sent: Vec<(u64, RolloutMessage)>,
    pub(super) tasks: Sender<Task>,
    pub(super) published: Option<NodeReport>,
    pub(super) members: Vec<Member>,
    pub(super) digests: Vec<(u64, u64)>,
    pub(super) windows: Vec<(u64, Vec<WindowSample>)>,
    pub(super) rng: Pcg64Mcg,
}

impl RolloutHost {
    fn queue_task(&mut self, task: Task) {
        // A task that does not fit into the queue is requested again.
        let _ = self.tasks.try_send(task);
    }
}

impl Host for RolloutHost {
    fn send(&mut self, to: u64, message: RolloutMessage) {
        self.sent.push((to, message));
    }

    fn log(&mut self, line: &str) {
        let kind = match self.kind {
            Kind::Settings => "settings",
            Kind::Program => "program",
        };
        tracing::info!(target: crate::log::part::ROLLOUT, event = kind, "{kind}: {line}");
    }

    fn random_peers(&mut self, max: usize) -> Vec<u64> {
        let others = self
            .members
            .iter()
            .filter(|member| member.present && member.node != self.me);
        let present: Vec<u64> = others.map(|member| member.node).collect();
        (0..max.min(present.len()))
            .map(|_| present[self.rng.random_range(0..present.len())])
            .collect()
    }

    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64> {
        // Each node searches from a random position, so that not all nodes choose the same peer.
        let start = if self.digests.is_empty() {
            0
        } else {
            self.rng.random_range(0..self.digests.len())
        };
        let (before, after) = self.digests.split_at(start);
        after
            .iter()
            .chain(before)
            .find(|(_, other)| *other != digest)
            .map(|(node, _)| *node)
    }

    fn show(&mut self, report: &NodeReport) {
        self.published = Some(report.clone());
    }

    fn check(&mut self, rollout: RolloutId, version: Version, content: Option<Vec<u8>>) {
        self.queue_task(Task::Check {
            rollout,
            version,
            content,
        });
    }

    fn check_offer(&mut self, number: u64, version: Option<Version>, content: Option<Vec<u8>>) {
        self.queue_task(Task::CheckOffer {
            number,
            version,
            content,
        });
    }

    fn persist(
        &mut self,
        number: u64,
        persisted: &PersistedState,
        content: Option<(Version, Vec<u8>)>,
    ) {
        self.queue_task(Task::Persist {
            number,
            persisted: Box::new(persisted.clone()),
            content,
        });
    }

    fn apply(&mut self, version: Version) {
        self.queue_task(Task::Apply(version));
    }

    fn members(&mut self) -> Vec<Member> {
        self.members.clone()
    }

    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)> {
        self.windows
            .iter()
            .filter(|(window, _)| (from..=until).contains(window))
            .cloned()
            .collect()
    }
}
