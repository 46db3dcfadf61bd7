//! Closing of idle connections, by timeout or to make room for new ones.

use super::connections::ClientConnection;
use super::{MILLISECOND, NodeState, Timer};
use crate::actions::{Actions, ConnectionId};
use madderpoint::{Deployment, Nanos};

/// Idle timeout if the deployment does not set one.
const DEFAULT_IDLE_TIMEOUT: Nanos = 60_000 * MILLISECOND;
/// Timeout for the first complete request. A peer that sends nothing takes the place of others.
const FIRST_REQUEST_TIMEOUT: Nanos = 1500 * MILLISECOND;
/// Upper bound on the idle timeout after the first request. A peer that sends a single request and
/// stays connected takes the place of others as well.
const SECOND_REQUEST_TIMEOUT: Nanos = 1000 * MILLISECOND;
/// Age below which a connection without requests is not evicted, because its first request may be
/// on its way.
const MIN_EVICTION_AGE: Nanos = 200 * MILLISECOND;

/// Idle timeouts, and the number of connections above which idle ones are evicted.
#[derive(Debug)]
pub struct IdleLimits {
    /// Current idle timeout, as set by the admission controller.
    timeout: Nanos,
    /// Idle timeout of the deployment, or the default.
    configured_timeout: Nanos,
    /// Number of open connections above which an idle connection is closed for each new connection.
    pub eviction_threshold: usize,
}

impl IdleLimits {
    /// Creates the limits with the timeout of the deployment.
    pub fn new(deployment: &Deployment, eviction_threshold: usize) -> IdleLimits {
        let configured_timeout = Some(deployment.client_idle_timeout)
            .filter(|&timeout| timeout > 0)
            .unwrap_or(DEFAULT_IDLE_TIMEOUT);
        IdleLimits {
            timeout: configured_timeout,
            configured_timeout,
            eviction_threshold,
        }
    }
}

impl<A: Actions> NodeState<A> {
    /// Starts the idle time of a connection on which nothing is open any more. Closes the
    /// connection if the drain grace is over.
    pub fn became_idle(&mut self, connection_id: ConnectionId) {
        if self.drain.closes_connections {
            return self.close_connection(connection_id);
        }
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.idle_since = self.now;
            let due = self.idle_deadline(connection_id);
            self.set_idle_check(connection_id, due);
        }
    }

    /// Returns the time until which a connection may be idle. Connections with fewer than two
    /// requests and paced ones have shorter timeouts.
    pub fn idle_deadline(&self, connection_id: ConnectionId) -> Nanos {
        let Some(connection) = self.connections.get(&connection_id) else {
            return self.now;
        };
        let timeout = self.idle.timeout;
        let after = match connection.requests_received {
            0 => FIRST_REQUEST_TIMEOUT,
            1 => timeout.min(SECOND_REQUEST_TIMEOUT),
            _ if connection.pacing.is_paced() => timeout.min(FIRST_REQUEST_TIMEOUT),
            _ => timeout,
        };
        connection.idle_since + after
    }

    /// Sets the idle check timer of a connection to `due`, unless an earlier timer is set.
    pub fn set_idle_check(&mut self, connection_id: ConnectionId, due: Nanos) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        if connection.idle_check_at.is_none_or(|current| current > due) {
            connection.idle_check_at = Some(due);
            self.set_timer(
                due.saturating_sub(self.now),
                Timer::IdleConnection(connection_id, due),
            );
        }
    }

    /// Sets the idle timeout, also for connections that are idle now; 0 restores the timeout of the
    /// deployment.
    pub fn set_idle_timeout(&mut self, timeout: Nanos) {
        self.idle.timeout = if timeout == 0 {
            self.idle.configured_timeout
        } else {
            timeout
        };
        let idle: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.open.is_empty())
            .map(|(&id, _)| (id, self.idle_deadline(id)))
            .collect();
        idle.into_iter()
            .for_each(|(id, due)| self.set_idle_check(id, due));
    }

    /// Handles the idle check timer that was set for `due`: closes the connection if its idle
    /// timeout has expired, else sets the next check. Does nothing if another check has replaced
    /// this one.
    pub fn close_if_idle(&mut self, connection_id: ConnectionId, due: Nanos) {
        let Some(connection) = self
            .connections
            .get_mut(&connection_id)
            .filter(|connection| connection.idle_check_at == Some(due))
        else {
            return;
        };
        connection.idle_check_at = None;
        if !connection.open.is_empty() {
            return;
        }
        let deadline = self.idle_deadline(connection_id);
        if deadline <= self.now {
            self.close_connection(connection_id)
        } else {
            self.set_idle_check(connection_id, deadline)
        }
    }

    /// Closes an idle connection to make room for another. Connections that never sent a complete
    /// request are closed first, then those with a single request or without a successful request,
    /// then the others; within each group the connection that has been idle longest.
    pub fn evict_idle_connection(&mut self) {
        let may_be_starting = |connection: &ClientConnection| {
            connection.requests_received == 0 && self.now < connection.idle_since + MIN_EVICTION_AGE
        };
        let rank = |connection: &ClientConnection| {
            if connection.is_identified {
                connection.requests_received.min(2)
            } else {
                connection.requests_received.min(1)
            }
        };
        let candidate = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.open.is_empty() && !connection.is_closing && !may_be_starting(connection)
            })
            .min_by_key(|(_, connection)| (rank(connection), connection.idle_since));
        if let Some((&id, connection)) = candidate {
            let is_identified = connection.is_identified;
            self.evict(id, is_identified);
        }
    }
}
