//! Identifiers of rollouts and versions, shared by the rollout, its plan and its messages.

use std::fmt;

/// A version of the settings or of the program. Versions are the same if number and hash are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The version number; a later version has a higher number.
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

/// What a rollout replaces on the nodes: the settings or the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The settings. The nodes send each other the text of the settings file.
    #[default]
    Settings,
    /// The program. An installer outside of the cluster puts the program's directory on each
    /// machine.
    Program,
}
