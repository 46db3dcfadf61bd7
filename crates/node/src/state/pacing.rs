//! Pacing of unidentified peers: their connections are read more slowly the more of their requests
//! are malformed or unsuccessful, so that a peer that never stops costs almost nothing.
//!
//! A peer is identified as a load balancer when the executor has run one of its requests, since the
//! executor knows only requests of load balancers. An identified peer is not paced: what it sends
//! are requests of many clients.
//!
//! A strike is a request that no load balancer sends; after the last one the connection is closed,
//! whatever else was written on it. An answer that the node decided on, such as a rejection, is no
//! strike however often it is given: it may pace the reading, but for no longer than a request can
//! wait, and closes nothing.

use super::{MILLISECOND, NodeState};
use crate::actions::{Actions, ConnectionId};
use madderpoint::{Nanos, RequestId};

/// Number of consecutive unsuccessful answers after which an unidentified peer is read more slowly.
const UNSUCCESSFUL_ANSWERS_PER_STEP: u32 = 128;
/// Number of strikes after which a connection is closed.
const MAX_STRIKES: u32 = 6;
/// Half of the pause before each read after the first step. The pause doubles with each step.
const READ_PAUSE_BASE: Nanos = 25 * MILLISECOND;
/// Most steps that lengthen the pause.
const MAX_STEPS: u32 = 6;
/// Divisor of the shortest client timeout that gives the longest pause of a peer without strikes.
const PAUSES_PER_CLIENT_TIMEOUT: Nanos = 4;

/// Strikes and pacing of one connection.
#[derive(Debug, Default)]
pub struct Pacing {
    /// Number of unsuccessful answers since the last step.
    unsuccessful_answers: u32,
    /// Number of series of unsuccessful answers, each of which is a step.
    unsuccessful_series: u32,
    /// Number of strikes, each of which is a step.
    strikes: u32,
}

impl Pacing {
    /// Returns whether the connection is read with pauses.
    pub fn is_paced(&self) -> bool {
        self.strikes + self.unsuccessful_series > 0
    }

    /// Returns the pause between two reads. A peer without strikes may be a load balancer, so that
    /// its pause is at most `longest`.
    fn pause(&self, longest: Nanos) -> Nanos {
        let steps = (self.strikes + self.unsuccessful_series).min(MAX_STEPS);
        let pause = READ_PAUSE_BASE << steps;
        if self.strikes == 0 {
            pause.min(longest)
        } else {
            pause
        }
    }
}

impl<A: Actions> NodeState<A> {
    /// Records that the executor has run the request: its peer is identified and no longer paced.
    pub fn executor_knows(&mut self, id: RequestId) {
        let target = self
            .requests
            .get(&id)
            .and_then(|request| request.reply_target);
        if let Some(target) = target {
            self.identify_peer(target.connection_id);
        }
    }

    /// Identifies the peer of a connection as a load balancer, and ends its pacing.
    pub fn identify_peer(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        connection.is_identified = true;
        let was_paced = std::mem::take(&mut connection.pacing).is_paced();
        if was_paced {
            self.actions.pace_reading(connection_id, 0);
        }
    }

    /// Records an unsuccessful answer. Enough of them in a row slow the reading of an unidentified
    /// peer down.
    pub fn answered_without_success(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get_mut(&connection_id)
            .filter(|connection| !connection.is_identified)
        else {
            return;
        };
        let pacing = &mut connection.pacing;
        pacing.unsuccessful_answers += 1;
        if pacing.unsuccessful_answers >= UNSUCCESSFUL_ANSWERS_PER_STEP {
            (pacing.unsuccessful_answers, pacing.unsuccessful_series) =
                (0, pacing.unsuccessful_series.saturating_add(1));
            self.pace(connection_id);
        }
    }

    /// Records a strike against an unidentified peer. After the last strike the connection is no
    /// longer read, and closed once what is open on it is answered.
    pub fn strike(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get_mut(&connection_id)
            .filter(|connection| !connection.is_identified && !connection.is_closing)
        else {
            return;
        };
        let pacing = &mut connection.pacing;
        (pacing.unsuccessful_answers, pacing.strikes) = (0, pacing.strikes + 1);
        let is_last = pacing.strikes >= MAX_STRIKES;
        connection.close_when_done |= is_last;
        self.pace(connection_id);
        if is_last {
            self.actions.stop_reading(connection_id);
        }
    }

    /// Ends the pacing of a connection whose peer has no strikes, so that all that it has written
    /// can be read before the reading stops.
    pub fn end_pacing_without_strikes(&mut self, connection_id: ConnectionId) {
        let is_due = self
            .connections
            .get(&connection_id)
            .is_some_and(|connection| {
                connection.pacing.is_paced() && connection.pacing.strikes == 0
            });
        if is_due {
            self.actions.pace_reading(connection_id, 0);
        }
    }

    fn pace(&mut self, connection_id: ConnectionId) {
        let timeouts = self.config.deployment.operations.iter();
        let shortest = timeouts.map(|operation| operation.client_timeout).min();
        let longest = shortest.unwrap_or(Nanos::MAX) / PAUSES_PER_CLIENT_TIMEOUT;
        if let Some(connection) = self.connections.get(&connection_id) {
            let pause = connection.pacing.pause(longest);
            self.actions.pace_reading(connection_id, pause);
        }
    }
}
