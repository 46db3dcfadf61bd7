//! Why a host could not do what it was asked to.

/// Why a check, a write or a swap of versions failed. Its text becomes part of reasons that are
/// agreed on, stored and shown, so that it is text whatever the host's own error was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct HostError(String);

impl HostError {
    /// The error with this text.
    pub fn new(reason: impl Into<String>) -> HostError {
        HostError(reason.into())
    }
}

impl From<String> for HostError {
    fn from(reason: String) -> HostError {
        HostError(reason)
    }
}

impl From<&str> for HostError {
    fn from(reason: &str) -> HostError {
        HostError(reason.to_owned())
    }
}
