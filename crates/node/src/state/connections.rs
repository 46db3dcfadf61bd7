//! Load balancers' connections and what is open on them.

use super::requests::ReplyTarget;
use super::{MILLISECOND, NodeState};
use crate::actions::{Actions, Close, ConnectionId};
use crate::fastcgi::{MAX_OPEN, ProtocolStatus, Reply, Request};
use crate::metrics::Metric;
use crate::request_error::RequestError;
use madderpoint::{LoadReport, Nanos, RequestId};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// When a connection is closed, the rest of a request that has come in part is waited for this
/// long.
const PARTIAL_REQUEST_WAIT: Nanos = 1000 * MILLISECOND;
/// The same on the connection of an identified peer, whose network may be slow.
const PARTIAL_REQUEST_WAIT_IDENTIFIED: Nanos = 3000 * MILLISECOND;
/// Answers in a row without success that count as a strike of an unidentified peer.
const UNSUCCESSFUL_ANSWERS_PER_STRIKE: u32 = 128;
/// Strikes after which a connection is closed.
const STRIKES: u32 = 6;
/// Half the pause before each read after the first strike; the pause doubles with each strike.
const READ_PAUSE_BASE: Nanos = 25 * MILLISECOND;

/// What is open under a FastCGI request id.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OpenItem {
    /// A request that is being looked at.
    Unread,
    /// A request in flight.
    Request(RequestId),
    /// A deep health check, by its mark at the executor.
    HealthCheck(u64),
}

/// A load balancer's connection.
pub struct ClientConnection {
    /// What is open, by FastCGI request id.
    pub open: BTreeMap<u16, OpenItem>,
    /// Where it comes from, as far as known.
    pub address: Option<IpAddr>,
    /// When the last answer on it was written, or it connected.
    pub idle_since: Nanos,
    /// Whole requests that came.
    pub requests_received: u8,
    /// Whether a request on it has succeeded: an unidentified peer's never gets that far.
    pub is_identified: bool,
    /// Answers without success since the last strike.
    unsuccessful_answers: u32,
    /// Times that it sent what no load balancer sends.
    pub strikes: u32,
    /// When a timer looks whether it is idle, if one is set.
    pub idle_check_at: Option<Nanos>,
    /// Whether it is to be closed once nothing is open.
    pub close_when_done: bool,
    /// Events of it that were handled.
    events_handled: u64,
    /// Whether an order to close it is on its way. An event that comes first makes it void.
    pub is_closing: bool,
}

impl<A: Actions> NodeState<A> {
    /// A load balancer connected.
    pub fn connected(&mut self, connection_id: ConnectionId, address: Option<IpAddr>) {
        let new = ClientConnection {
            open: BTreeMap::new(),
            address,
            idle_since: self.now,
            requests_received: 0,
            is_identified: false,
            unsuccessful_answers: 0,
            strikes: 0,
            idle_check_at: None,
            close_when_done: false,
            events_handled: 0,
            is_closing: false,
        };
        self.connections.insert(connection_id, new);
        self.became_idle(connection_id);
        if self.connections.len() > self.idle.eviction_threshold {
            self.evict_idle_connection();
        }
    }

    /// A connection is gone; gives the requests whose clients are gone with it.
    pub fn disconnected(&mut self, connection_id: ConnectionId) -> Vec<RequestId> {
        let Some(connection) = self.connections.remove(&connection_id) else {
            return Vec::new();
        };
        connection
            .open
            .into_values()
            .filter_map(|item| self.detach(item))
            .collect()
    }

    /// The load balancer aborted a request; gives the one that its client cancelled.
    pub fn aborted(&mut self, target: ReplyTarget) -> Option<RequestId> {
        let connection = self.connections.get(&target.connection_id)?;
        let item = *connection.open.get(&target.fastcgi_id)?;
        self.finish(
            target,
            Reply::end(target.fastcgi_id, ProtocolStatus::Complete),
        );
        self.detach(item)
    }

    /// Nobody waits any more for what was open.
    fn detach(&mut self, item: OpenItem) -> Option<RequestId> {
        match item {
            OpenItem::Unread => None,
            OpenItem::HealthCheck(mark) => {
                self.health_checks.remove(mark);
                None
            }
            OpenItem::Request(id) => {
                self.requests.get_mut(&id)?.reply_target = None;
                self.remove_if_done(id);
                Some(id)
            }
        }
    }

    /// Something came on a connection. If it is being closed, the reader had handed this on before
    /// the order came, and does not carry it out: what was read is answered.
    pub fn event_received(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        connection.events_handled += 1;
        if std::mem::take(&mut connection.is_closing) {
            self.count(Metric::VoidedCloses, 1);
        }
    }

    /// What came is handled: if nothing is open now, the connection is closed, or a timer is set
    /// for when it has been idle for long enough.
    pub fn event_handled(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get(&connection_id)
            .filter(|connection| connection.open.is_empty() && !connection.is_closing)
        else {
            return;
        };
        if connection.close_when_done || self.drain.closes_connections {
            return self.close_connection(connection_id);
        }
        let due = self.idle_deadline(connection_id).max(self.now);
        self.set_idle_check(connection_id, due);
    }

    /// Nothing more is read on a connection: its peer ended its side, or framing is lost. What is
    /// open on it is answered first.
    pub fn input_ended(&mut self, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.close_when_done = true;
        }
        self.event_handled(connection_id);
    }

    /// Opens a request on its connection; false if what came can't have an answer of its own.
    pub fn open_on_connection(&mut self, connection_id: ConnectionId, request: &Request) -> bool {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            self.count(Metric::RequestsWithoutConnection, 1);
            return false;
        };
        if connection.open.contains_key(&request.id) {
            // The answers of both would look alike: the first request is answered, and nothing
            // after it is read.
            self.count(Metric::DuplicateRequestIds, 1);
            self.actions.stop_reading(connection_id);
            self.input_ended(connection_id);
            return false;
        }
        connection.open.insert(request.id, OpenItem::Unread);
        connection.requests_received = connection.requests_received.saturating_add(1);
        connection.close_when_done |= !request.keep_conn;
        true
    }

    /// Whether more is open on a connection than may be.
    pub fn has_too_many_open(&self, connection_id: ConnectionId) -> bool {
        self.connections
            .get(&connection_id)
            .is_some_and(|connection| connection.open.len() > MAX_OPEN)
    }

    /// Writes what ends a request.
    pub fn finish(&mut self, target: ReplyTarget, reply: Reply) {
        let ReplyTarget {
            connection_id,
            fastcgi_id,
        } = target;
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        let was_open = connection.open.remove(&fastcgi_id).is_some();
        invariant!(self, was_open, "an answer goes to an open request");
        self.actions.send_reply(connection_id, reply);
        let Some(connection) = self
            .connections
            .get(&connection_id)
            .filter(|connection| connection.open.is_empty())
        else {
            return;
        };
        if connection.close_when_done || self.drain.closes_connections {
            self.close_connection(connection_id);
        } else {
            self.became_idle(connection_id);
        }
    }

    /// Ends a request that is one too many on its connection.
    pub fn reject_overloaded(&mut self, target: ReplyTarget) {
        self.answered_without_success(target.connection_id);
        self.finish(
            target,
            Reply::end(target.fastcgi_id, ProtocolStatus::Overloaded),
        );
    }

    /// Answers a request that no load balancer sends.
    pub fn reject_with_strike(&mut self, target: ReplyTarget, error: RequestError) {
        self.strike(target.connection_id);
        self.reject(target, error);
    }

    /// Answers a request with what is wrong.
    pub fn reject(&mut self, target: ReplyTarget, error: RequestError) {
        self.count(error.metric(), 1);
        let headers = self.response_headers() + "Content-Type: text/plain\r\n";
        let body = error.reason().as_bytes().to_vec();
        self.finish(
            target,
            Reply::answer(target.fastcgi_id, error.status(), &headers, body),
        );
    }

    /// Answers what a rule or a limit decided before the admission controller saw it. It never ran.
    /// `retry_after` is sent where the deployment has load balancers heed one.
    pub fn reject_by_policy(
        &mut self,
        target: ReplyTarget,
        status: u16,
        retry_after: Nanos,
        reason: &str,
    ) {
        self.answered_without_success(target.connection_id);
        let retry_after = retry_after.min(self.max_retry_after());
        let mut headers = self.response_headers() + "Content-Type: text/plain\r\n";
        if retry_after > 0 && status == 429 {
            headers += &format!("X-Pushback-Ms: {}\r\n", retry_after.div_ceil(MILLISECOND));
        }
        self.finish(
            target,
            Reply::answer(
                target.fastcgi_id,
                status,
                &headers,
                reason.as_bytes().to_vec(),
            ),
        );
    }

    /// The headers that go with every answer and health check.
    pub fn response_headers(&self) -> String {
        let is_sent = self.config.deployment.load_report != LoadReport::Disabled;
        self.load_report
            .filter(|_| is_sent)
            .map_or_else(String::new, |value| {
                format!("X-Backend-Says: {value:.4}\r\n")
            })
    }

    /// A request on a connection succeeded.
    pub fn answered_with_success(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        (connection.is_identified, connection.unsuccessful_answers) = (true, 0);
        if std::mem::take(&mut connection.strikes) > 0 {
            self.actions.pace_reading(connection_id, 0);
        }
    }

    /// A request on a connection was answered without success. Enough of these in a row are a
    /// strike of an unidentified peer, so that one that asks again at once costs next to nothing.
    pub fn answered_without_success(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get_mut(&connection_id)
            .filter(|connection| !connection.is_identified)
        else {
            return;
        };
        connection.unsuccessful_answers += 1;
        if connection.unsuccessful_answers >= UNSUCCESSFUL_ANSWERS_PER_STRIKE {
            self.strike(connection_id);
        }
    }

    /// Something came on a connection that no load balancer sends. With each strike the pause
    /// before it is read on doubles; after the last one it is closed.
    pub fn strike(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get_mut(&connection_id)
            .filter(|connection| !connection.is_closing)
        else {
            return;
        };
        connection.unsuccessful_answers = 0;
        connection.strikes += 1;
        let is_last = connection.strikes >= STRIKES;
        connection.close_when_done |= is_last;
        let pause = READ_PAUSE_BASE << connection.strikes.min(STRIKES);
        self.actions.pace_reading(connection_id, pause);
        if is_last {
            self.actions.stop_reading(connection_id);
        }
    }

    /// Where a connection comes from.
    pub fn address(&self, connection_id: ConnectionId) -> Option<IpAddr> {
        self.connections.get(&connection_id)?.address
    }

    /// The longest Retry-After that load balancers heed; 0 = they heed none.
    pub fn max_retry_after(&self) -> Nanos {
        self.config.deployment.max_retry_after
    }

    /// Has a connection closed unless more has come on it by now.
    pub fn close_connection(&mut self, connection_id: ConnectionId) {
        let is_identified = self
            .connections
            .get(&connection_id)
            .is_some_and(|connection| connection.is_identified);
        let wait = if is_identified {
            PARTIAL_REQUEST_WAIT_IDENTIFIED
        } else {
            PARTIAL_REQUEST_WAIT
        };
        self.close_connection_within(connection_id, wait);
    }

    /// The same, waiting this long for the rest of a request that has come in part.
    fn close_connection_within(&mut self, connection_id: ConnectionId, wait: Nanos) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        if std::mem::replace(&mut connection.is_closing, true) {
            return;
        }
        let until_stop = self.drain.stops_at.saturating_sub(self.now);
        self.actions.close_connection(
            connection_id,
            Close {
                events_handled: connection.events_handled,
                partial_request_wait: wait.min(until_stop),
            },
        );
    }

    /// Closes a connection to make room for another: one that others wait for, so that half a
    /// request of an unidentified peer is not waited for.
    pub fn evict(&mut self, connection_id: ConnectionId, is_identified: bool) {
        let wait = if is_identified {
            PARTIAL_REQUEST_WAIT
        } else {
            0
        };
        self.close_connection_within(connection_id, wait);
    }

    /// Whether a connection is known.
    #[cfg(test)]
    pub fn is_known(&self, connection_id: ConnectionId) -> bool {
        self.connections.contains_key(&connection_id)
    }
}
