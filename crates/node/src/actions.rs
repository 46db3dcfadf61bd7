//! Side effects that the node requests from its I/O, and the ids that the node and its I/O share.

#![warn(missing_docs)]

use crate::cluster::ClusterUpdate;
use crate::config::PeerAddresses;
use crate::fastcgi::Reply;
use madderpoint::{Nanos, RequestId};
use std::fmt;
use std::sync::{Arc, Weak};

/// Id of a connection from a load balancer; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Id of one backend call; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One connection to the backend, identified by its link and by its number among the connections of
/// that link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLink {
    /// Index of the connection's link among the node's links to the backend, from 0.
    pub place: usize,
    /// Number of connections that the link had before this connection.
    pub generation: u64,
}

/// Interest in a backend call: the call may be written until this value is dropped.
#[derive(Debug, Default)]
pub struct CallInterest(Arc<()>);

impl CallInterest {
    /// Returns a token for the thread that writes the call.
    pub fn token(&self) -> CallInterestToken {
        CallInterestToken(Arc::downgrade(&self.0))
    }
}

/// Tells the thread that writes a backend call whether the call is still wanted.
#[derive(Clone, Debug)]
pub struct CallInterestToken(Weak<()>);

impl CallInterestToken {
    /// Returns true until the [`CallInterest`] that created this token is dropped.
    pub fn is_wanted(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// Conditions under which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// Number of events of the connection that the node has handled. If the reader has passed on
    /// more events than this, the close has no effect.
    pub events_handled: u64,
    /// Longest wait, in nanoseconds, for the rest of a partially received request.
    pub partial_request_wait: Nanos,
    /// Whether the wait begins anew whenever more of the request is received.
    pub is_wait_renewed: bool,
}

/// The I/O operations that the node requests. No method blocks.
pub trait Actions {
    /// Writes a reply on a load balancer's connection.
    fn send_reply(&mut self, connection_id: ConnectionId, reply: Reply);
    /// Closes a connection once the replies passed to [`Actions::send_reply`] are written, unless
    /// more events have arrived on it than [`Close::events_handled`].
    fn close_connection(&mut self, connection_id: ConnectionId, close: Close);
    /// Stops reading on a connection. Bytes that have already arrived are still read, unless reads
    /// from the peer are paced.
    fn stop_reading(&mut self, connection_id: ConnectionId);
    /// Pauses for `pause` nanoseconds between reads on a connection; 0 ends the pacing.
    fn pace_reading(&mut self, connection_id: ConnectionId, pause: Nanos);
    /// Writes a command line to the executor.
    fn send_executor_command(&mut self, line: String);
    /// Queues a backend call on the link with this index. The call is written only if `token` still
    /// reports it as wanted when its turn comes. Returns false if the link's queue is full.
    fn send_backend_call(
        &mut self,
        link: usize,
        call: CallId,
        request: RequestId,
        bytes: Vec<u8>,
        token: CallInterestToken,
    ) -> bool;
    /// Tells the backend that a call is abandoned, over the link on which the call was sent.
    fn cancel_backend_call(&mut self, link: usize, bytes: Vec<u8>);
    /// Closes the connections of the link with this index. The caller awaits no reply on it.
    fn close_backend_link(&mut self, link: usize);
    /// Sets the addresses at which peers are reached from now on. Returns whether the executor's
    /// address has changed.
    fn change_peers(&mut self, peers: PeerAddresses) -> bool;
    /// Closes the connection to the executor; a new connection replaces it.
    fn reconnect_executor(&mut self);
    /// Tells the service registry that the node drains.
    fn announce_drain(&mut self);
    /// Accepts the connections in the listen backlog and none after them.
    fn stop_listening(&mut self);
    /// Passes this node's state to the cluster; does nothing on a node that is in no cluster.
    fn update_cluster(&mut self, update: ClusterUpdate);
    /// Traces a step of a request.
    fn trace_step(&mut self, correlation_id: &str, step: fmt::Arguments<'_>);
}
