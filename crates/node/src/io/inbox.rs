//! The messages to the core's thread and their queues.

use super::client_connections::Connection;
use super::executor_writer::ExecutorWriter;
use crate::actions::ConnectionId;
use crate::node::Event;
use crossbeam_channel::Receiver;
use std::net::IpAddr;

/// A message from another thread to the core's thread.
pub enum Message {
    /// An event for the core.
    Event(Event),
    /// A load balancer's connection was accepted; with the peer's address and the core's end of the
    /// connection.
    Accepted(ConnectionId, IpAddr, Connection),
    /// The executor was connected; with the number of the last notice read on earlier connections and
    /// the core's end of the new one.
    ExecutorConnected(u64, ExecutorWriter),
}

/// The queues of messages to the core. They are separate and have separate bounds, so that load
/// balancers cannot hold up other peers.
pub struct Inbox {
    /// Messages about load balancers.
    pub clients: Receiver<Message>,
    /// Messages of all other threads.
    pub peers: Receiver<Message>,
}
