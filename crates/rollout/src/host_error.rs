//! The error type of the operations of a node agent's or supervisor's host.

/// Why a check, a write or a switch of versions failed. The text becomes part of rollout reasons
/// that are sent, stored and shown, so the host's own error is kept only as text. An error displays
/// as that text alone.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct HostError(String);

impl HostError {
    /// Creates an error that displays as `reason`.
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
