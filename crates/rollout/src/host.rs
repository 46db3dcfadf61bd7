//! The interface between a node agent and its embedder. No call may block: the result of a slow
//! operation is reported by calling a method of [`crate::NodeAgent`] or [`crate::Participant`].

use crate::cohort_metrics::WindowSample;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::RolloutMessage;
use crate::node_report::NodeReport;
use crate::persisted_state::PersistedState;

/// Side effects of a node agent, and its view of the cluster.
pub trait Host {
    /// Sends a message to the node with the key `to`. The message may be lost.
    fn send(&mut self, to: u64, message: RolloutMessage);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// Returns the keys of up to `most` other present nodes, chosen at random.
    fn random_peers(&mut self, most: usize) -> Vec<u64>;
    /// Returns the key of a present node whose report has a digest of rollouts other than `digest`;
    /// `None` if there is none.
    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64>;
    /// Attaches the report to the node's membership entry, which all nodes see.
    fn show(&mut self, report: &NodeReport);
    /// Checks whether this node can run a version. The result goes to
    /// [`crate::NodeAgent::check_finished`].
    fn check(&mut self, rollout: RolloutId, version: Version, content: Option<Vec<u8>>);
    /// Writes the persisted state to disk, together with a version's content if one is given.
    /// Contents that are no longer needed may be deleted. The result goes to
    /// [`crate::NodeAgent::persist_finished`] with the number `write`.
    fn persist(
        &mut self,
        write: u64,
        persisted: &PersistedState,
        content: Option<(Version, Vec<u8>)>,
    );
    /// Switches the node to this version. The result goes to [`crate::NodeAgent::apply_finished`].
    fn apply(&mut self, version: Version);
    /// Returns the members of the cluster in this node's view, including this node.
    fn members(&mut self) -> Vec<Member>;
    /// Checks an operator's offer: the content of settings, or a version of the program. The result
    /// goes to [`crate::Participant::offer_checked`] with the number `_check`. Not called on a host
    /// that takes no operator commands.
    fn check_offer(&mut self, _check: u64, _version: Option<Version>, _content: Option<Vec<u8>>) {}
    /// Returns the samples of all nodes in these windows (both bounds included), as far as this
    /// node has received the samples.
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)>;
}
