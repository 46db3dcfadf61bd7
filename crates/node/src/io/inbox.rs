//! What waits for the core's thread.

use super::client_connections::Connection;
use super::executor_writer::ExecutorWriter;
use crate::actions::ConnectionId;
use crate::node::Event;
use crossbeam_channel::Receiver;
use std::net::IpAddr;

/// What other threads send to the core's thread.
pub enum Message {
    /// An event for the core.
    Event(Event),
    /// A load balancer's connection was accepted, from this address.
    Accepted(ConnectionId, IpAddr, Connection),
    /// The executor is connected; the number of the last notice that was read before.
    ExecutorConnected(u64, ExecutorWriter),
}

/// The queues of messages, with bounds of their own: load balancers must not hold up other peers.
pub struct Inbox {
    /// From load balancers.
    pub clients: Receiver<Message>,
    /// From all others.
    pub peers: Receiver<Message>,
}
