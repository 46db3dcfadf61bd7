//! What the core, the desk and the driver all know: the ids of what they speak about, and what a
//! node does to the world.

use crate::cluster::ClusterUpdate;
use crate::config::PeerAddresses;
use crate::fastcgi::Reply;
use madderpoint::{Nanos, RequestId};
use std::fmt;
use std::sync::{Arc, Weak};

/// A dispatcher's connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One call below; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A connection to the back end: its place, and how often it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLink {
    /// Its place among the links.
    pub place: usize,
    /// How many connections were made there before.
    pub generation: u64,
}

/// What keeps a call wanted: it is so until this is dropped.
#[derive(Debug, Default)]
pub struct Wants(Arc<()>);

impl Wants {
    /// For who writes the call.
    pub fn wanted(&self) -> Wanted {
        Wanted(Arc::downgrade(&self.0))
    }
}

/// Whether a call is still wanted.
#[derive(Clone, Debug)]
pub struct Wanted(Weak<()>);

impl Wanted {
    /// Whether its run still waits for it.
    pub fn is_so(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// Events of the connection that the core has heard; if the reader handed on more, the close is
    /// void.
    pub heard: u64,
    /// How long the rest of a request that has come in part is waited for.
    pub patience: Nanos,
}

/// What the node does to the world. None of it may wait.
pub trait Actions {
    /// Write to a dispatcher.
    fn reply(&mut self, conn: ConnectionId, reply: Reply);
    /// Close a connection after what was handed over is written, unless more has come on it.
    fn close(&mut self, conn: ConnectionId, close: Close);
    /// Read nothing more on a connection, but what a peer that is not paced has sent by now.
    fn deafen(&mut self, conn: ConnectionId);
    /// Read on from a connection only after so long a pause, each time.
    fn pace(&mut self, conn: ConnectionId, pause: Nanos);
    /// Write a line to the kernel.
    fn kernel(&mut self, line: String);
    /// Send a call below over the link at this place, if it is still wanted when its turn comes;
    /// false if that has no room.
    fn call(
        &mut self,
        place: usize,
        call: CallId,
        id: RequestId,
        bytes: Vec<u8>,
        wanted: Wanted,
    ) -> bool;
    /// Give a call up over the link that it was sent on.
    fn cancel(&mut self, place: usize, bytes: Vec<u8>);
    /// Close the link at this place: no call is in hand on it.
    fn rest(&mut self, place: usize);
    /// From now on peers are reached at these addresses; gives whether the kernel is at another
    /// one.
    fn moved(&mut self, peers: PeerAddresses) -> bool;
    /// Close the link to the kernel; another one takes its place.
    fn renew_kernel(&mut self);
    /// Tell dispatchers that the node is leaving.
    fn leaving(&mut self);
    /// Take what waits in the listen backlog, and then no more connections.
    fn stop_listening(&mut self);
    /// Say to the fleet how this node is; nothing where there is none.
    fn fleet(&mut self, word: ClusterUpdate);
    /// A step of an invocation, for who follows them.
    fn step(&mut self, rid: &str, what: fmt::Arguments<'_>);
}
