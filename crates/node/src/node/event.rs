//! What happens to a node, as its I/O brings it in.

use crate::actions::{BackendLink, CallId, ConnectionId};
use crate::backend;
use crate::config::ConfigUpdate;
use crate::executor::Notice;
use crate::fastcgi;
use crate::request_rules::CompiledRuleSet;
use madderpoint::{Nanos, RequestId};
use madderpoint_membership::ClusterView;
use madderpoint_shared_state::keyed_quota::QuotaGrant;
use madderpoint_shared_state::{AggregatedHealth, Budget, Lease};
use std::net::IpAddr;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A load balancer connected, from this address if it is known.
    Connected(ConnectionId, Option<IpAddr>),
    /// A connection is gone.
    Disconnected(ConnectionId),
    /// Something came on a connection.
    LoadBalancer(ConnectionId, fastcgi::Event),
    /// A connection's peer has ended its side; it may still wait for answers.
    HalfClosed(ConnectionId),
    /// What came on a connection can't be read on, and why.
    ProtocolError(ConnectionId, fastcgi::ParseError),
    /// A connection was ended, by its peer or for the time that it took, with a part of a request
    /// on it.
    RequestTruncated,
    /// There is no room for another connection.
    ConnectionLimitReached,
    /// The listen backlog is empty, and no connection comes any more.
    ListenerClosed,
    /// A link to the executor stands; the last notice that was read before it.
    ExecutorConnected(u64),
    /// The link to the executor broke.
    ExecutorDisconnected,
    /// The executor sent a notice.
    Executor(Notice),
    /// A backend call was written whole.
    BackendCallWritten {
        /// The call.
        call: CallId,
        /// Its request.
        request: RequestId,
        /// The connection.
        link: BackendLink,
    },
    /// A backend call could not be written whole, so that it never ran.
    BackendCallNotSent(CallId, RequestId),
    /// The backend replied on the link at this index.
    BackendReply(usize, backend::Reply),
    /// A connection to the backend ended; why, if what came on it can't be read on.
    BackendDisconnected(BackendLink, Option<backend::ReadError>),
    /// Nothing was sent on the link at this index for a while.
    BackendIdle(usize),
    /// The node is to drain.
    Drain,
    /// The configuration was replaced.
    ConfigChanged(ConfigUpdate),
    /// These rules are in force from now on.
    RulesChanged(Box<CompiledRuleSet>),
    /// What is seen of the cluster.
    ClusterChanged(Box<ClusterView>),
    /// Leases of the cluster's budgets, by the budgets' indices, which were requested at that time.
    LeasesGranted(Nanos, Vec<(u32, Lease)>),
    /// Units of the cluster's keyed quotas.
    QuotaGranted(Box<QuotaGrant>),
    /// Limits of the cluster's budgets from now on.
    BudgetsChanged(Vec<Budget>),
    /// What others report of the backend service.
    AggregatedHealth(AggregatedHealth),
    /// A status snapshot of all that is shared is wanted.
    StatusRequested,
}

/// A reading of the clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time since any fixed point; never goes back.
    pub now: Nanos,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}
