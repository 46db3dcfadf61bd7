//! Events of a simulation.

use crate::Nanos;
use std::net::SocketAddr;
use std::rc::Rc;

/// Kind of an event, which concerns one member.
pub(super) enum EventKind {
    /// The member's timers are due. Ignored if the member has been restarted since, that is, if it
    /// has another generation.
    Wake { generation: u32 },
    /// A stalling member stalls for a random time.
    Stall,
    /// A datagram arrives at the member.
    Deliver { from: SocketAddr, frame: Rc<[u8]> },
}

/// Event, ordered by due time and then by the order in which it was scheduled.
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
