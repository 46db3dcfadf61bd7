//! When a connection on which nothing is open is closed.

use super::connections::ClientConnection;
use super::{MILLISECOND, NodeState, Timer};
use crate::actions::{Actions, ConnectionId};
use madderpoint::{Deployment, Nanos};

/// The idle timeout where the deployment names none.
const DEFAULT_IDLE_TIMEOUT: Nanos = 60_000 * MILLISECOND;
/// The first whole request is to come within this: a peer that sends nothing takes others' room.
const FIRST_REQUEST: Nanos = 1500 * MILLISECOND;
/// The longest idle timeout after the first request: so does one that sends one and stays.
const SECOND_REQUEST: Nanos = 1000 * MILLISECOND;
/// A connection this young is not closed to make room: its first request may be on its way.
const YOUNG: Nanos = 200 * MILLISECOND;

/// How long connections may be idle, and how many may be open before idle ones make room.
#[derive(Debug)]
pub struct IdleLimits {
    /// As the admission controller wants it.
    timeout: Nanos,
    /// As the deployment has it.
    configured_timeout: Nanos,
    /// Open connections above which an idle one is closed for each new one.
    pub eviction_threshold: usize,
}

impl IdleLimits {
    /// The limits at the start.
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
    /// Nothing is open on a connection any more.
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

    /// Until when a connection may be idle.
    pub fn idle_deadline(&self, connection_id: ConnectionId) -> Nanos {
        let Some(connection) = self.connections.get(&connection_id) else {
            return self.now;
        };
        let timeout = self.idle.timeout;
        let after = match connection.requests_received {
            0 => FIRST_REQUEST,
            1 => timeout.min(SECOND_REQUEST),
            _ if connection.strikes > 0 => timeout.min(FIRST_REQUEST),
            _ => timeout,
        };
        connection.idle_since + after
    }

    /// Has one timer look at a connection, at this time or sooner.
    pub fn set_idle_check(&mut self, connection_id: ConnectionId, due: Nanos) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        if connection.idle_check_at.is_none_or(|set| set > due) {
            connection.idle_check_at = Some(due);
            self.set_timer(
                due.saturating_sub(self.now),
                Timer::IdleConnection(connection_id, due),
            );
        }
    }

    /// Sets the idle timeout, also of connections that are idle now; 0 = as the deployment has it.
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

    /// Closes a connection if it was idle for long enough, unless an earlier check took this one's
    /// place.
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

    /// Closes a connection on which nothing is open, so that another one finds room: rather one
    /// that never sent a whole request, then one with a single request or without success, then
    /// another, and of these the one idle for longest.
    pub fn evict_idle_connection(&mut self) {
        let may_be_starting = |connection: &ClientConnection| {
            connection.requests_received == 0 && self.now < connection.idle_since + YOUNG
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
