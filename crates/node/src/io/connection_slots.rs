//! The places for dispatchers' connections, which the reader, the core and writers share.

use super::client_reader::Orders;
use crate::capacity::CapacityLimits;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// What is taken of what there is for connections.
pub struct Places {
    pub room: CapacityLimits,
    /// Connections that take a descriptor.
    open: AtomicUsize,
    /// Bytes of answers that wait to be written.
    pub unread: AtomicUsize,
    /// Whether a connection waits for a place; the reader is woken when one is given back.
    pub is_crowded: AtomicBool,
    reader: Orders,
}

impl Places {
    /// All of it is free.
    pub fn new(room: CapacityLimits, reader: Orders) -> Places {
        let (open, unread, is_crowded) = Default::default();
        Places {
            room,
            open,
            unread,
            is_crowded,
            reader,
        }
    }

    /// Whether there is a place for another connection.
    pub fn has_one(&self) -> bool {
        self.open.load(SeqCst) < self.room.connections
    }
}

/// A connection's socket, shared by the reader, the core and a writer. Its place is free again only
/// when all have let go of it: until then it takes a descriptor.
pub struct Socket {
    pub stream: TcpStream,
    pub places: Arc<Places>,
}

impl Socket {
    /// A connection that was accepted takes its place.
    pub fn new(stream: TcpStream, places: &Arc<Places>) -> Socket {
        places.open.fetch_add(1, SeqCst);
        Socket {
            stream,
            places: Arc::clone(places),
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.places.open.fetch_sub(1, SeqCst);
        if self.places.is_crowded.load(SeqCst) {
            self.places.reader.ring();
        }
    }
}
