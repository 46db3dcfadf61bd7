//! The mode that the log and the operators see. No decision depends on it.

/// What a node is doing with its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Nothing is rejected or held back.
    Admitting,
    /// Some requests are rejected, or traffic is held back.
    Rejecting,
    /// The queue has reached its bound: every arrival leads to a rejection.
    QueueFull,
    /// The node has had its notice to leave.
    Draining,
}

impl Mode {
    /// The mode after an update.
    pub(super) fn next(self, queue_is_full: bool, any_rejected: bool, is_shedding: bool) -> Mode {
        match self {
            Mode::Draining => Mode::Draining,
            _ if queue_is_full => Mode::QueueFull,
            _ if any_rejected => Mode::Rejecting,
            mode if is_shedding => mode,
            _ => Mode::Admitting,
        }
    }
}
