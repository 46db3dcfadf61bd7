//! What a rollout and its versions are called: shared by the rollout itself, its plan and its
//! messages.

use std::fmt;

/// A version of the settings or of the program: two nodes run the same one if both numbers agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The number; it rises with each version.
    pub number: u64,
    /// The first bytes of a hash of its content.
    pub hash: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:08x})", self.number, self.hash >> 32)
    }
}

/// Identifies one rollout; drawn from its version, the offering node and the time of the offer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RolloutId(pub u64);

impl fmt::Display for RolloutId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a rollout changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Our settings: the file's text is spread by the nodes.
    #[default]
    Settings,
    /// The program: its directory is laid on each machine by others.
    Program,
}
