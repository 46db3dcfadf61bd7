//! A node as the coordinator and the node agents see it in the membership.

/// A node of the cluster. One that left by notice is not listed at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The key of its name.
    pub node: u64,
    /// The number of its zone.
    pub zone: u32,
    /// Whether it is alive; one that is known and lost is not.
    pub present: bool,
}
