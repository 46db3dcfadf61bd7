//! Side effects that the node may request from its I/O, and the ids that both use.

#![warn(missing_docs)]

use crate::cluster::ClusterUpdate;
use crate::config::PeerAddresses;
use crate::fastcgi::Reply;
use madderpoint::{Nanos, RequestId};
use std::fmt;
use std::sync::{Arc, Weak};

/// A load balancer's connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One backend call; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A connection to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLink {
    /// Its index among the links.
    pub place: usize,
    /// How many connections were made there before.
    pub generation: u64,
}

/// Interest in a backend call: it may be written until this is dropped.
#[derive(Debug, Default)]
pub struct CallInterest(Arc<()>);

impl CallInterest {
    /// For the thread that writes the call.
    pub fn token(&self) -> CallInterestToken {
        CallInterestToken(Arc::downgrade(&self.0))
    }
}

/// Tells the thread that writes a backend call whether the call is still wanted.
#[derive(Clone, Debug)]
pub struct CallInterestToken(Weak<()>);

impl CallInterestToken {
    /// Whether its execution still waits for it.
    pub fn is_wanted(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// Events of the connection that the node has handled; if the reader handed on more, the close
    /// is void.
    pub events_handled: u64,
    /// How long the rest of a request that has come in part is waited for.
    pub partial_request_wait: Nanos,
}

/// What the node requests from its I/O. No call blocks.
pub trait Actions {
    /// Write a reply on a load balancer's connection.
    fn send_reply(&mut self, connection_id: ConnectionId, reply: Reply);
    /// Close a connection after what was handed over is written, unless more has come on it.
    fn close_connection(&mut self, connection_id: ConnectionId, close: Close);
    /// Read nothing more on a connection, but what a peer that is not paced has sent by now.
    fn stop_reading(&mut self, connection_id: ConnectionId);
    /// Pause this long before each read on a connection.
    fn pace_reading(&mut self, connection_id: ConnectionId, pause: Nanos);
    /// Write a line to the executor.
    fn send_executor_command(&mut self, line: String);
    /// Send a backend call over the link at this index, if it is still wanted when its turn comes;
    /// false if the link's queue is full.
    fn send_backend_call(
        &mut self,
        link: usize,
        call: CallId,
        request: RequestId,
        bytes: Vec<u8>,
        token: CallInterestToken,
    ) -> bool;
    /// Tell the backend, over the link that a call was sent on, that no reply is awaited any more.
    fn cancel_backend_call(&mut self, link: usize, bytes: Vec<u8>);
    /// Close the link at this index: no reply is awaited on it.
    fn close_backend_link(&mut self, link: usize);
    /// From now on peers are reached at these addresses; gives whether the executor's is another.
    fn change_peers(&mut self, peers: PeerAddresses) -> bool;
    /// Close the link to the executor; another one takes its place.
    fn reconnect_executor(&mut self);
    /// Tell the service registry that the node drains.
    fn announce_drain(&mut self);
    /// Accept what waits in the listen backlog, and then no more connections.
    fn stop_listening(&mut self);
    /// Tell the cluster how this node is; nothing where there is none.
    fn update_cluster(&mut self, update: ClusterUpdate);
    /// Trace a step of a request.
    fn trace_step(&mut self, correlation_id: &str, step: fmt::Arguments<'_>);
}
