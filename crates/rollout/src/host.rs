//! What a node's part in rollouts asks of whoever embeds it. No call may block: what takes time is
//! answered by a method of [`crate::NodeAgent`] or [`crate::Participant`].

use crate::cohort_metrics::WindowSample;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::ReceivedMessage;
use crate::node_report::NodeReport;
use crate::persisted_state::PersistedState;

/// Side effects and views of the cluster that a node agent may ask for.
pub trait Host {
    /// Send to a node, by the key of its name.
    fn send(&mut self, to: u64, message: ReceivedMessage);
    /// Write a line to the log: one for each rollout of what the node does about a rollout.
    fn log(&mut self, line: &str);
    /// Some other nodes that are there, by turns.
    fn random_peers(&mut self, most: usize) -> Vec<u64>;
    /// One that is there and knows other rollouts, by the digest that it shows; if there is one.
    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64>;
    /// Show this to the fleet, on the node's entry.
    fn show(&mut self, report: &NodeReport);
    /// Check a version by its content; answered by [`NodeAgent::checked`].
    fn check(&mut self, rollout: RolloutId, version: Version, content: Option<Vec<u8>>);
    /// Write what is kept, and a content with it; contents that are not needed any more may go.
    /// Answered by [`NodeAgent::kept`].
    fn persist(&mut self, no: u64, persisted: &PersistedState, content: Option<(Version, Vec<u8>)>);
    /// Run this version from here on; answered by [`NodeAgent::applied`].
    fn apply(&mut self, version: Version);
    /// The fleet as this node sees it, itself among it.
    fn members(&mut self) -> Vec<Member>;
    /// Look into a content that is offered here, or into a program's version; answered by
    /// [`crate::Participant::looked_into`]. A host that takes no orders is never asked.
    fn check_offer(&mut self, _no: u64, _version: Option<Version>, _content: Option<Vec<u8>>) {}
    /// What all nodes counted in these windows, as far as it is known here.
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)>;
}
