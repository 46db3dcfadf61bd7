//! Commands of other threads to the reader of load balancers' connections.

use crate::actions::{Close, ConnectionId};
use crossbeam_channel::Sender;
use rustix::fd::OwnedFd;
use std::sync::Arc;

/// Commands to the reader.
pub enum ReaderCommand {
    /// Closes a connection, unless the reader has sent events that the core had not handled when it
    /// requested the close.
    Close(ConnectionId, Close),
    /// Stops reading a connection. If its peer is not paced, the bytes that have arrived by now are
    /// still read.
    StopReading(ConnectionId),
    /// Drops a connection at once, because its peer does not accept answers.
    Abort(ConnectionId),
    /// Accepts the connections in the listen backlog, and then no more.
    StopListening,
}

/// The handle of the reader, through which other threads send it commands. No call blocks.
#[derive(Clone)]
pub struct ReaderHandle {
    queue: Sender<ReaderCommand>,
    /// The eventfd that wakes the reader, which polls it together with its sockets.
    wake_fd: Arc<OwnedFd>,
}

impl ReaderHandle {
    /// Creates the handle of the reader that polls `wake_fd` and receives commands from `queue`.
    pub fn new(queue: Sender<ReaderCommand>, wake_fd: Arc<OwnedFd>) -> ReaderHandle {
        ReaderHandle { queue, wake_fd }
    }

    /// Sends a command and wakes the reader. Returns false if the queue is full.
    pub fn send(&self, command: ReaderCommand) -> bool {
        let is_queued = self.queue.try_send(command).is_ok();
        self.wake();
        is_queued
    }

    /// Wakes the reader.
    pub fn wake(&self) {
        let _ = rustix::io::write(&*self.wake_fd, &1u64.to_ne_bytes());
    }

    /// Clears the wake descriptor; called by the reader before it receives commands.
    pub fn clear_wake_fd(&self) {
        let mut count = [0; 8];
        let _ = rustix::io::read(&*self.wake_fd, &mut count);
    }
}
