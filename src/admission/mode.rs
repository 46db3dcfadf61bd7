//! The mode of a node, for the log and the operators. No decision depends on the mode.

/// Summary of how a node handles arrivals, which is logged at each change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// No requests are rejected.
    Admitting,
    /// Some requests are rejected.
    Rejecting,
    /// The queue has reached its bound, and every arrival leads to a rejection.
    QueueFull,
    /// The node is draining. This mode is final.
    Draining,
}

impl Mode {
    /// Returns the mode after an update. While the load report holds back traffic, the mode is kept
    /// unless the queue is full or requests were rejected.
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
