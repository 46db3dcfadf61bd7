//! A member of the cluster in the view of the coordinator and the node agents.

/// A node of the cluster. Nodes that left after an announcement are not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The key of the node's name.
    pub node: u64,
    /// The number of the node's zone, which selects the threshold of a stage.
    pub zone: u32,
    /// True if the node is alive; false if the node was lost without an announcement.
    pub present: bool,
}
