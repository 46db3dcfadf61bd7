//! The bound on load balancers' connections, which the reader, the core and writers share.

use super::reader_commands::ReaderHandle;
use crate::capacity::CapacityLimits;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// How many connections there may be, and how many there are.
pub struct ConnectionSlots {
    /// The bounds.
    pub capacity: CapacityLimits,
    /// Connections that take a descriptor.
    open: AtomicUsize,
    /// Bytes of answers that wait to be written.
    pub unwritten: AtomicUsize,
    /// Whether a connection waits for a slot; the reader is woken when one becomes free.
    pub is_full: AtomicBool,
    reader: ReaderHandle,
}

impl ConnectionSlots {
    /// All slots are free.
    pub fn new(capacity: CapacityLimits, reader: ReaderHandle) -> ConnectionSlots {
        ConnectionSlots {
            capacity,
            open: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            is_full: AtomicBool::new(false),
            reader,
        }
    }

    /// Whether there is a slot for another connection.
    pub fn has_free(&self) -> bool {
        self.open.load(SeqCst) < self.capacity.connections
    }
}

/// A connection's socket, shared by the reader, the core and a writer. Its slot is free again only
/// when all have let go of it: until then it takes a descriptor.
pub struct Socket {
    /// The stream.
    pub stream: TcpStream,
    /// The slots that it takes one of.
    pub slots: Arc<ConnectionSlots>,
}

impl Socket {
    /// An accepted connection takes its slot.
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
            self.slots.reader.ring();
        }
    }
}
