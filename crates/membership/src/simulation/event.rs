//! Events of a simulation.

use crate::Nanos;
use std::net::SocketAddr;
use std::rc::Rc;

/// What happens to a member.
pub(super) enum EventKind {
    Wake {
        generation: u32,
    },
    /// A stalling member stands still from now on, for a while.
    Stall,
    Deliver {
        from: SocketAddr,
        frame: Rc<[u8]>,
    },
}

/// An event, ordered by time and then by when it was scheduled.
pub(super) struct Event {
    pub(super) due: Nanos,
    pub(super) order: u64,
    pub(super) node: usize,
    pub(super) kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}
