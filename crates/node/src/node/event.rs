//! Events that the I/O layer passes to a node.

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

/// An event for [`Node::handle`](crate::node::Node::handle).
#[derive(Debug)]
pub enum Event {
    /// A load balancer connected; the second field is its address, if known.
    Connected(ConnectionId, Option<IpAddr>),
    /// A load balancer's connection was closed or lost.
    Disconnected(ConnectionId),
    /// A FastCGI event was read from a load balancer's connection.
    LoadBalancer(ConnectionId, fastcgi::Event),
    /// The peer of a connection closed its sending side; it may still wait for answers.
    HalfClosed(ConnectionId),
    /// A connection's input could not be parsed, for this reason; nothing more can be read from it.
    ProtocolError(ConnectionId, fastcgi::ParseError),
    /// A connection ended in the middle of a request, either closed by its peer or timed out.
    RequestTruncated,
    /// The limit on open connections was reached.
    ConnectionLimitReached,
    /// Listening has stopped and the listen backlog is empty: no further connection can arrive.
    ListenerClosed,
    /// A link to the executor was opened; the field is the number of the last notice that was read
    /// before.
    ExecutorConnected(u64),
    /// The link to the executor was lost.
    ExecutorDisconnected,
    /// The executor sent a notice.
    Executor(Notice),
    /// A backend call was written completely.
    BackendCallWritten {
        /// The call that was written.
        call: CallId,
        /// Request that the call belongs to.
        request: RequestId,
        /// Connection that the call was written on.
        link: BackendLink,
    },
    /// A backend call could not be written completely, so it was never executed.
    BackendCallNotSent(CallId, RequestId),
    /// A reply arrived from the backend on the link at this index.
    BackendReply(usize, backend::Reply),
    /// A connection to the backend ended; the error is set if its input could not be parsed.
    BackendDisconnected(BackendLink, Option<backend::ReadError>),
    /// The backend link at this index has had no command for the idle timeout of backend links.
    BackendIdle(usize),
    /// The node was told to drain.
    Drain,
    /// The configuration was replaced.
    ConfigChanged(ConfigUpdate),
    /// A new rule set takes effect.
    RulesChanged(Box<CompiledRuleSet>),
    /// The cluster view changed.
    ClusterChanged(Box<ClusterView>),
    /// Leases of the cluster's budgets were granted: the time at which they were requested, and the
    /// leases by budget index.
    LeasesGranted(Nanos, Vec<(u32, Lease)>),
    /// Units of the cluster's keyed quotas were granted.
    QuotaGranted(Box<QuotaGrant>),
    /// The limits of the cluster's budgets changed; the field has all budgets with the new limits.
    BudgetsChanged(Vec<Budget>),
    /// The aggregated health reports of other nodes on the backend service.
    AggregatedHealth(AggregatedHealth),
    /// A status snapshot of the shared state was requested.
    StatusRequested,
}

/// The monotonic clock and the wall clock, read together.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time in nanoseconds since an arbitrary fixed point.
    pub now: Nanos,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}
