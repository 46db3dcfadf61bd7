//! The core's end of a connection to the executor.

use crate::log::part;
use crossbeam_channel::Sender;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use tracing::warn;

/// The handle that passes lines on to the writer thread of a connection.
pub struct ExecutorWriter {
    stream: Arc<TcpStream>,
    queue: Sender<String>,
}

impl ExecutorWriter {
    /// Creates the handle for a connection whose writer thread reads from `queue`.
    pub fn new(stream: Arc<TcpStream>, queue: Sender<String>) -> ExecutorWriter {
        ExecutorWriter { stream, queue }
    }

    /// Queues a line for writing. If the queue is full because the executor does not read, closes the
    /// connection and returns false.
    pub fn write(&self, line: String) -> bool {
        let is_queued = self.queue.try_send(line).is_ok();
        if !is_queued {
            warn!(target: part::EXECUTOR, "connection closed: the executor does not read");
            self.close();
        }
        is_queued
    }

    /// Shuts the connection down. Queued lines may be lost.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
