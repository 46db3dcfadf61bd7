//! Memory for requests that were read in part, shared by all connections of load balancers.
//!
//! Each connection may always hold [`RESERVED_BYTES`], which is one request of the largest size.
//! Beyond that the connections share one amount, and a connection may hold at most as much of it as
//! is left free. (In switches with shared packet buffers, this is the rule of dynamic thresholds.)
//! A single connection can hold half of the amount, and some of it is left for the next connection
//! however many hold as much as they may.

#![warn(missing_docs)]

use crate::fastcgi::{BODY_MAX, PARAMS_MAX};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Memory that each connection may hold in any case, in bytes.
pub const RESERVED_BYTES: usize = PARAMS_MAX + BODY_MAX;

/// The memory that connections share beyond what is reserved for each.
#[derive(Debug)]
pub struct SharedRequestMemory {
    /// Maximum of `used`, in bytes.
    limit: usize,
    /// Memory that connections hold beyond their reserved memory, in bytes.
    used: AtomicUsize,
}

impl SharedRequestMemory {
    /// Creates a shared memory of `limit` bytes, all of it free.
    pub fn new(limit: usize) -> Arc<SharedRequestMemory> {
        Arc::new(SharedRequestMemory {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns how much of the memory connections hold, in bytes.
    pub fn used(&self) -> usize {
        self.used.load(Relaxed)
    }
}

/// The memory that one connection holds; free again when this value is dropped. All connections with
/// the same shared memory must be used by one thread.
#[derive(Debug)]
pub struct ConnectionMemory {
    shared: Arc<SharedRequestMemory>,
    /// Memory that the connection holds, including its reserved memory, in bytes.
    held: usize,
}

impl ConnectionMemory {
    /// Creates the account of a connection that holds nothing.
    pub fn new(shared: &Arc<SharedRequestMemory>) -> ConnectionMemory {
        ConnectionMemory {
            shared: Arc::clone(shared),
            held: 0,
        }
    }

    /// Takes `bytes` more. Returns false, and takes nothing, if the connection would then hold more
    /// of the shared memory than is left free.
    pub fn take(&mut self, bytes: usize) -> bool {
        let held = self.held + bytes;
        let of_shared = shared_part(held);
        let added = of_shared - shared_part(self.held);
        let used = self.shared.used() + added;
        if added > 0 && of_shared + used > self.shared.limit {
            return false;
        }
        self.shared.used.store(used, Relaxed);
        self.held = held;
        true
    }

    /// Gives back `bytes` of what the connection holds.
    pub fn give_back(&mut self, bytes: usize) {
        let held = self.held.saturating_sub(bytes);
        let freed = shared_part(self.held) - shared_part(held);
        self.shared.used.fetch_sub(freed, Relaxed);
        self.held = held;
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.give_back(self.held);
    }
}

/// Returns how much of the shared memory a connection holds that holds `held` bytes in all.
fn shared_part(held: usize) -> usize {
    held.saturating_sub(RESERVED_BYTES)
}

#[cfg(test)]
mod tests;
