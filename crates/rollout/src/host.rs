//! What a node's part in rollouts asks of its embedder. No call may block: what takes time is answered
//! by a method of [`crate::NodeAgent`] or [`crate::Participant`].

use crate::cohort_metrics::WindowSample;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::RolloutMessage;
use crate::node_report::NodeReport;
use crate::persisted_state::PersistedState;

/// Side effects and views of the cluster that a node agent may ask for.
pub trait Host {
    /// Sends to the node of this key.
    fn send(&mut self, to: u64, message: RolloutMessage);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// Some other present nodes, drawn at random.
    fn random_peers(&mut self, most: usize) -> Vec<u64>;
    /// A present node that shows another digest of rollouts, if there is one.
    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64>;
    /// Puts the report on the node's membership entry.
    fn show(&mut self, report: &NodeReport);
    /// Checks a version by its content; answered by [`crate::NodeAgent::check_finished`].
    fn check(&mut self, rollout: RolloutId, version: Version, content: Option<Vec<u8>>);
    /// Writes the persisted state, and a content with it; contents that are not needed any more may go.
    /// Answered by [`crate::NodeAgent::persist_finished`].
    fn persist(
        &mut self,
        write: u64,
        persisted: &PersistedState,
        content: Option<(Version, Vec<u8>)>,
    );
    /// Runs this version from here on; answered by [`crate::NodeAgent::apply_finished`].
    fn apply(&mut self, version: Version);
    /// The cluster as this node sees it, itself included.
    fn members(&mut self) -> Vec<Member>;
    /// Checks a content that an operator offers, or a program's version; answered by
    /// [`crate::Participant::offer_checked`]. A host that takes no commands is never asked.
    fn check_offer(&mut self, _check: u64, _version: Option<Version>, _content: Option<Vec<u8>>) {}
    /// What all nodes counted in these windows, as far as it is known here.
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)>;
}
