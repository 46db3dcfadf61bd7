//! Draining, from the drain command to the end of the process.

use super::{MILLISECOND, NodeState, Timer};
use crate::actions::{Actions, ConnectionId};
use crate::log::part;
use madderpoint::Nanos;
use tracing::{info, warn};

/// Time that peers have to read the last answers before the process ends.
const FLUSH_TIME: Nanos = 100 * MILLISECOND;

/// Progress of the drain; also present before the drain starts.
#[derive(Debug)]
pub struct DrainState {
    /// Time at which the drain began; `None` if the node is not draining.
    pub started: Option<Nanos>,
    /// Time by which all answers must be written out.
    pub stops_at: Nanos,
    /// Whether connections are closed as soon as nothing is open on them; set after the drain
    /// grace.
    pub closes_connections: bool,
    /// Whether new connections may still arrive.
    is_listening: bool,
    /// True once the time for draining is over; the process then ends even with open requests.
    is_over: bool,
}

impl Default for DrainState {
    fn default() -> DrainState {
        DrainState {
            started: None,
            stops_at: Nanos::MAX,
            closes_connections: false,
            is_listening: true,
            is_over: false,
        }
    }
}

impl<A: Actions> NodeState<A> {
    /// Starts the drain. All answers must be written out within `stop_after`; listening stops after
    /// `grace`, or after `stop_after` if that is shorter. Returns false if the drain had already
    /// begun.
    pub fn start_drain(&mut self, stop_after: Nanos, grace: Nanos) -> bool {
        if self.drain.started.is_some() {
            return false;
        }
        self.drain.started = Some(self.now);
        self.drain.stops_at = self.now + stop_after;
        self.actions.announce_drain();
        info!(target: part::NODE, stop_in_ms = stop_after / MILLISECOND, "drain begins");
        self.set_timer(stop_after.min(grace), Timer::StopAccepting);
        self.set_timer(stop_after, Timer::QuietPeriod);
        self.set_timer(stop_after + FLUSH_TIME, Timer::DrainOver);
        true
    }

    /// Returns whether the drain has begun.
    pub fn is_draining(&self) -> bool {
        self.drain.started.is_some()
    }

    /// Stops listening at the end of the drain grace, because new requests would no longer run.
    /// From then on connections are closed as soon as nothing is open on them.
    pub fn stop_accepting(&mut self) {
        self.drain.closes_connections = true;
        info!(
            target: part::LOAD_BALANCER,
            connections = self.connections.len(),
            requests = self.requests.len(),
            "listening ends: the connections in the backlog are the last"
        );
        self.actions.stop_listening();
        self.close_connections_without_requests();
    }

    /// Starts the quiet period: what load balancers have written by now is read, every request that
    /// was read is answered, and nothing more is read.
    pub fn start_quiet_period(&mut self) {
        let all: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in all {
            self.end_pacing_without_strikes(id);
            self.actions.stop_reading(id);
        }
        for connection in self.connections.values_mut() {
            connection.close_when_done = true;
        }
        self.close_connections_without_requests();
    }

    fn close_connections_without_requests(&mut self) {
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.open.is_empty())
            .map(|(&id, _)| id)
            .collect();
        idle.into_iter().for_each(|id| self.close_connection(id));
    }

    /// Records that the listen backlog is empty, so that no further connection can arrive.
    pub fn listener_closed(&mut self) {
        self.drain.is_listening = false;
    }

    /// Ends the drain. Connections that peers have not closed yet end with the process.
    pub fn end_drain(&mut self) {
        self.drain.is_over = true;
        if !self.connections.is_empty() {
            warn!(
                target: part::NODE,
                connections = self.connections.len(),
                "stopped with connections that their peers left open"
            );
        }
    }

    /// Returns whether the process may end.
    pub fn has_drained(&self) -> bool {
        self.drain.is_over
            || self.drain.closes_connections
                && !self.drain.is_listening
                && self.connections.is_empty()
    }
}
