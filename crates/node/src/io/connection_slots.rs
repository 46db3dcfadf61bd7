//! The limit on load balancers' connections, shared by the reader, the core and the writers.

use super::reader_commands::ReaderHandle;
use crate::capacity::CapacityLimits;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// The slots for load balancers' connections, and counters of their use.
pub struct ConnectionSlots {
    /// The bounds of the node, including the number of slots.
    pub capacity: CapacityLimits,
    /// Number of connections whose descriptor is still open.
    open: AtomicUsize,
    /// Size of the answers queued for writers, in bytes.
    pub unwritten: AtomicUsize,
    /// Whether the reader waits for a free slot and must be woken when there is one.
    pub is_full: AtomicBool,
    reader: ReaderHandle,
}

impl ConnectionSlots {
    /// Creates the slots, all of them free.
    pub fn new(capacity: CapacityLimits, reader: ReaderHandle) -> ConnectionSlots {
        ConnectionSlots {
            capacity,
            open: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            is_full: AtomicBool::new(false),
            reader,
        }
    }

    /// Returns true if another connection can be accepted.
    pub fn has_free(&self) -> bool {
        self.open.load(SeqCst) < self.capacity.connections
    }
}

/// A connection's socket, shared by the reader, the core and a writer. Its slot becomes free only
/// when all of them have dropped the socket, because the descriptor stays open until then.
pub struct Socket {
    /// The TCP stream of the accepted connection.
    pub stream: TcpStream,
    /// The slots, one of which this socket occupies.
    pub slots: Arc<ConnectionSlots>,
}

impl Socket {
    /// Wraps the stream of an accepted connection and occupies a slot.
    pub fn new(stream: TcpStream, slots: &Arc<ConnectionSlots>) -> Socket {
        slots.open.fetch_add(1, SeqCst);
        Socket {
            stream,
            slots: Arc::clone(slots),
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.slots.open.fetch_sub(1, SeqCst);
        if self.slots.is_full.load(SeqCst) {
            self.slots.reader.wake();
        }
    }
}
