//! Load balancers' connections and the requests and health checks that are open on them.

use super::pacing::Pacing;
use super::requests::ReplyTarget;
use super::{MILLISECOND, NodeState};
use crate::actions::{Actions, Close, ConnectionId};
use crate::fastcgi::{MAX_OPEN, ProtocolStatus, Reply, Request};
use crate::metrics::Metric;
use crate::request_error::RequestError;
use madderpoint::{LoadReport, Nanos, RequestId};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// When a connection is closed, how long to wait for the rest of a request that has arrived in
/// part.
const PARTIAL_REQUEST_WAIT: Nanos = 1000 * MILLISECOND;
/// Like [`PARTIAL_REQUEST_WAIT`], but for the connection of an identified peer, and since the last
/// part that arrived. The peer's network, or its client, may be slow.
const PARTIAL_REQUEST_WAIT_IDENTIFIED: Nanos = 3000 * MILLISECOND;
/// An open FastCGI request id on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OpenItem {
    /// A request that was read and is still being validated.
    Received,
    /// A request in flight.
    Request(RequestId),
    /// A deep health check, identified by the mark that was sent to the executor.
    HealthCheck(u64),
}

/// A load balancer's connection.
pub struct ClientConnection {
    /// Open requests and health checks by FastCGI request id.
    pub open: BTreeMap<u16, OpenItem>,
    /// Address of the peer, if known.
    pub address: Option<IpAddr>,
    /// Time at which the last answer was written, or at which the peer connected.
    pub idle_since: Nanos,
    /// Number of complete requests received, saturating at 255.
    pub requests_received: u8,
    /// Whether the executor has run a request on this connection, which identifies the peer as a
    /// load balancer.
    pub is_identified: bool,
    /// Strikes and pacing while the peer is unidentified.
    pub pacing: Pacing,
    /// Due time of the idle check timer, if one is set.
    pub idle_check_at: Option<Nanos>,
    /// Whether the peer has closed its sending side, or framing was lost.
    pub has_input_ended: bool,
    /// True if the connection is closed once no request or health check is open on it.
    pub close_when_done: bool,
    /// Number of events of this connection that the node has handled.
    events_handled: u64,
    /// Whether the I/O layer was told to close the connection. An event that arrives before the
    /// close voids it.
    pub is_closing: bool,
}

impl<A: Actions> NodeState<A> {
    /// Adds a load balancer's connection, and closes an idle connection if too many are open.
    pub fn connected(&mut self, connection_id: ConnectionId, address: Option<IpAddr>) {
        let new = ClientConnection {
            open: BTreeMap::new(),
            address,
            idle_since: self.now,
            requests_received: 0,
            is_identified: false,
            pacing: Pacing::default(),
            idle_check_at: None,
            has_input_ended: false,
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

    /// Removes a connection that has ended. Returns the requests whose clients were lost with it.
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

    /// Handles a FastCGI abort. Returns the request that was cancelled, if one was in flight.
    pub fn aborted(&mut self, target: ReplyTarget) -> Option<RequestId> {
        let connection = self.connections.get(&target.connection_id)?;
        let item = *connection.open.get(&target.fastcgi_id)?;
        self.finish(
            target,
            Reply::end(target.fastcgi_id, ProtocolStatus::Complete),
        );
        self.detach(item)
    }

    /// Drops the reply target of an open item whose client no longer waits. Returns the request, if
    /// the item was a request in flight.
    fn detach(&mut self, item: OpenItem) -> Option<RequestId> {
        match item {
            OpenItem::Received => None,
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

    /// Counts an event received on a connection. If the connection is being closed, the reader had
    /// passed the event on before it learned of the close; the close is then void, and the event is
    /// answered.
    pub fn event_received(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        connection.events_handled += 1;
        if std::mem::take(&mut connection.is_closing) {
            self.count(Metric::VoidedCloses, 1);
        }
    }

    /// Finishes the handling of an event. If nothing is open on the connection, closes it if that
    /// is due, or sets its idle check timer.
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

    /// Closes a connection whose input has ended, because its peer closed its sending side or
    /// framing was lost, after everything open on it is answered.
    pub fn input_ended(&mut self, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.has_input_ended = true;
            connection.close_when_done = true;
        }
        self.event_handled(connection_id);
    }

    /// Opens a request on its connection. Returns false if the request cannot be answered, because
    /// the connection is unknown or its FastCGI id is already open.
    pub fn open_on_connection(&mut self, connection_id: ConnectionId, request: &Request) -> bool {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            self.count(Metric::RequestsWithoutConnection, 1);
            return false;
        };
        if connection.open.contains_key(&request.id) {
            // The answers to both requests could not be told apart: only the first request is
            // answered, and nothing more is read from this connection.
            self.count(Metric::DuplicateRequestIds, 1);
            self.actions.stop_reading(connection_id);
            self.input_ended(connection_id);
            return false;
        }
        connection.open.insert(request.id, OpenItem::Received);
        connection.requests_received = connection.requests_received.saturating_add(1);
        connection.close_when_done |= !request.keep_conn;
        true
    }

    /// Returns whether more than [`MAX_OPEN`] items are open on a connection.
    pub fn has_too_many_open(&self, connection_id: ConnectionId) -> bool {
        self.connections
            .get(&connection_id)
            .is_some_and(|connection| connection.open.len() > MAX_OPEN)
    }

    /// Sends the final reply to a request. If nothing else is open on the connection, closes the
    /// connection or starts its idle time.
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

    /// Rejects a request that exceeds the limit of open requests on its connection, or for which
    /// there was no memory.
    pub fn reject_overloaded(&mut self, target: ReplyTarget) {
        self.answered_without_success(target.connection_id);
        self.finish(
            target,
            Reply::end(target.fastcgi_id, ProtocolStatus::Overloaded),
        );
    }

    /// Answers a request that no load balancer would send, and records a strike against its peer.
    pub fn reject_with_strike(&mut self, target: ReplyTarget, error: RequestError) {
        self.strike(target.connection_id);
        self.reject(target, error);
    }

    /// Answers a request that comes again under its correlation id after its client may have left.
    /// A load balancer may send one again when it has lost a connection, so this is no strike.
    pub fn reject_repeat(&mut self, target: ReplyTarget) {
        self.answered_without_success(target.connection_id);
        self.reject(target, RequestError::CorrelationIdInUse);
    }

    /// Answers a request with a request error.
    pub fn reject(&mut self, target: ReplyTarget, error: RequestError) {
        self.count(error.metric(), 1);
        let headers = self.response_headers() + "Content-Type: text/plain\r\n";
        let body = error.reason().as_bytes().to_vec();
        self.finish(
            target,
            Reply::answer(target.fastcgi_id, error.status(), &headers, body),
        );
    }

    /// Answers a request that a rule or a limit decided before it reached the admission controller.
    /// The request never ran. `retry_after` is capped at the longest Retry-After that load
    /// balancers heed, and sent only with status 429.
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

    /// Returns the headers that are sent with every answer and health check.
    pub fn response_headers(&self) -> String {
        let is_sent = self.config.deployment.load_report != LoadReport::Disabled;
        self.load_report
            .filter(|_| is_sent)
            .map_or_else(String::new, |value| {
                format!("X-Backend-Says: {value:.4}\r\n")
            })
    }

    /// Returns the address of a connection's peer, if known.
    pub fn address(&self, connection_id: ConnectionId) -> Option<IpAddr> {
        self.connections.get(&connection_id)?.address
    }

    /// Returns the longest Retry-After that load balancers heed; 0 if they heed none.
    pub fn max_retry_after(&self) -> Nanos {
        self.config.deployment.max_retry_after
    }

    /// Tells the I/O layer to close a connection. The close is void if the reader has already
    /// passed on another event.
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
        self.close_connection_within(connection_id, wait, is_identified);
    }

    /// Like [`close_connection`](Self::close_connection), but waits this long for the rest of a
    /// request that has arrived in part; with `is_wait_renewed`, since the last part that arrived. A
    /// drain is not held up.
    fn close_connection_within(
        &mut self,
        connection_id: ConnectionId,
        wait: Nanos,
        is_wait_renewed: bool,
    ) {
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
                is_wait_renewed: is_wait_renewed && self.drain.started.is_none(),
            },
        );
    }

    /// Closes a connection to make room for another. New connections are waiting, so there is no
    /// wait for the rest of a partial request from an unidentified peer.
    pub fn evict(&mut self, connection_id: ConnectionId, is_identified: bool) {
        let wait = if is_identified {
            PARTIAL_REQUEST_WAIT
        } else {
            0
        };
        self.close_connection_within(connection_id, wait, false);
    }

    /// Returns whether a connection is open.
    #[cfg(test)]
    pub fn is_known(&self, connection_id: ConnectionId) -> bool {
        self.connections.contains_key(&connection_id)
    }
}
