//! The core's end of a connection to the executor.

use crate::log::part;
use crossbeam_channel::Sender;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use tracing::warn;

/// Passes lines on to the thread that writes them.
pub struct ExecutorWriter {
    stream: Arc<TcpStream>,
    queue: Sender<String>,
}

impl ExecutorWriter {
    /// For a connection whose lines are written from the queue.
    pub fn new(stream: Arc<TcpStream>, queue: Sender<String>) -> ExecutorWriter {
        ExecutorWriter { stream, queue }
    }

    /// Has a line written. False, and the connection ends, if the executor does not read.
    pub fn write(&self, line: String) -> bool {
        let is_queued = self.queue.try_send(line).is_ok();
        if !is_queued {
            warn!(target: part::EXECUTOR, "connection closed: the executor does not read");
            self.close();
        }
        is_queued
    }

    /// Ends the connection; lines that are queued may be lost.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
