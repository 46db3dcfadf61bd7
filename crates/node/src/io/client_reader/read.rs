//! Reading connections.

use super::{ReadOutcome, Reader, State};
use crate::actions::ConnectionId;
use crate::io::inbox::Message;
use crate::io::stream::READ_BUFFER_BYTES;
use crate::log::part;
use crate::node::Event;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use tracing::warn;

impl Reader {
    /// Handles a connection that has become readable.
    pub(super) fn read(&mut self, number: u64) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        match connection.state {
            State::Lingering { until, left } => self.linger(number, until, left),
            _ => {
                self.read_once(number);
                self.finish_close(number);
            }
        }
    }

    /// Reads once and sends the core the events that the bytes complete.
    pub(super) fn read_once(&mut self, number: u64) -> ReadOutcome {
        let Some(connection) = self.connections.get_mut(&number) else {
            return ReadOutcome::Finished;
        };
        if matches!(
            connection.state,
            State::Stopped { .. } | State::Lingering { .. }
        ) {
            return ReadOutcome::Finished;
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        let length = match recv(&connection.socket.stream, &mut buffer, RecvFlags::DONTWAIT) {
            Err(Errno::INTR | Errno::AGAIN) => return ReadOutcome::Nothing,
            Err(_) => {
                self.remove(number);
                return ReadOutcome::Finished;
            }
            Ok((length, _)) => length,
        };
        let (events, events_sent) = (&self.events, &mut connection.events_sent);
        let mut send = |event| {
            *events_sent += 1;
            let _ = events.send(Message::Event(event));
        };
        if length == 0 {
            // The peer sends nothing more, but may still wait for answers.
            send(Event::HalfClosed(ConnectionId(number)));
            if connection.parser.is_partial() {
                let _ = self.events.send(Message::Event(Event::RequestTruncated));
            }
            return self.stop_reading(number, true);
        }
        let request = |event| send(Event::LoadBalancer(ConnectionId(number), event));
        if let Err(cause) = connection.parser.feed(&buffer[..length], &mut { request }) {
            warn!(
                target: part::LOAD_BALANCER,
                connection = number,
                error = %cause,
                "connection closed: protocol error"
            );
            send(Event::ProtocolError(ConnectionId(number), cause));
            return self.stop_reading(number, false);
        }
        let pause = connection.pause.load(SeqCst);
        if pause > 0 && connection.state == State::Reading {
            connection.state = State::Paused;
            self.timers.push(Reverse((
                Instant::now() + Duration::from_nanos(pause),
                number,
            )));
            self.unwatch(number);
        }
        ReadOutcome::Data
    }

    /// Stops reading a connection; `peer_ended` tells whether its peer has closed its side.
    pub(super) fn stop_reading(&mut self, number: u64, peer_ended: bool) -> ReadOutcome {
        self.unwatch(number);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.state = State::Stopped { peer_ended };
            connection.parser.discard_unfinished();
        }
        ReadOutcome::Finished
    }
}
