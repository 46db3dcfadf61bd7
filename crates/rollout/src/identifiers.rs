//! Identifiers of rollouts and versions, shared by the rollout, its plan and its messages.

use std::fmt;

/// A version of the settings or of the program. Versions are the same if number and hash are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The version number; each later version has a higher one.
    pub number: u64,
    /// The first 8 bytes of a hash of the version's content.
    pub hash: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:08x})", self.number, self.hash >> 32)
    }
}

/// Identifies one rollout; derived from its version, the offering node and the time of the offer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RolloutId(pub u64);

impl fmt::Display for RolloutId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The subject of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The settings: the nodes send the text of the file to each other.
    #[default]
    Settings,
    /// The program: its directory is installed on each machine by means outside of the cluster.
    Program,
}
