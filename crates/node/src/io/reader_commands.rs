//! How other threads ask the reader of load balancers' connections for something.

use crate::actions::{Close, ConnectionId};
use crossbeam_channel::Sender;
use rustix::fd::OwnedFd;
use std::sync::Arc;

/// What the reader is asked for.
pub enum ReaderCommand {
    /// To close a connection, if nothing was read on it that the core has not heard of.
    Close(ConnectionId, Close),
    /// To read nothing more on a connection, except what a peer that is not paced has sent by now.
    StopReading(ConnectionId),
    /// To let go of a connection at once: its peer takes no answers.
    Abort(ConnectionId),
    /// To accept the connections in the listen backlog, and then no more.
    StopListening,
}

/// The reader's queue of commands. No call blocks.
#[derive(Clone)]
pub struct ReaderHandle {
    queue: Sender<ReaderCommand>,
    /// The reader waits for this eventfd among its sockets.
    bell: Arc<OwnedFd>,
}

impl ReaderHandle {
    /// For the reader that takes commands from the queue when the bell rings.
    pub fn new(queue: Sender<ReaderCommand>, bell: Arc<OwnedFd>) -> ReaderHandle {
        ReaderHandle { queue, bell }
    }

    /// Sends a command; false if too many wait already.
    pub fn send(&self, command: ReaderCommand) -> bool {
        let is_queued = self.queue.try_send(command).is_ok();
        self.ring();
        is_queued
    }

    /// Wakes the reader.
    pub fn ring(&self) {
        let _ = rustix::io::write(&*self.bell, &1u64.to_ne_bytes());
    }

    /// Resets the bell, so that it can ring again.
    pub fn reset_bell(&self) {
        let mut count = [0; 8];
        let _ = rustix::io::read(&*self.bell, &mut count);
    }
}
