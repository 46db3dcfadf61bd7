//! Reading connections.

use super::{ReadOutcome, Reader, State};
use crate::actions::ConnectionId;
use crate::fastcgi::MAX_OPEN;
use crate::io::inbox::Message;
use crate::io::stream::READ_BUFFER_BYTES;
use crate::log::part;
use crate::node::Event;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use tracing::warn;

/// Maximum number of reads in one turn. 32 requests of the largest size take 49 of them, and more if
/// they come in many small records.
const TURN_READS_MAX: usize = 256;

impl Reader {
    /// Returns whether both directions of a connection have ended, as they have when its peer has
    /// reset it.
    pub(super) fn has_hung_up(&self, number: u64) -> bool {
        let Some(connection) = self.connections.get(&number) else {
            return false;
        };
        let mut polled = [PollFd::new(&connection.socket.stream, PollFlags::empty())];
        let is_polled = poll(&mut polled, Some(&Timespec::default())).is_ok();
        is_polled && polled[0].revents().contains(PollFlags::HUP)
    }

    /// Handles a connection that has become readable.
    pub(super) fn read(&mut self, number: u64) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        match connection.state {
            State::Lingering { until, left } => self.linger(number, until, left),
            _ => {
                if connection.pause.load(SeqCst) > 0 {
                    self.read_turn(number);
                } else {
                    self.read_once(number);
                }
                self.finish_close(number);
            }
        }
    }

    /// Reads the bytes that have arrived by now, up to as many requests as a load balancer may have
    /// open on one connection: what it has written is then read, however long the pause before was.
    /// A peer that sends without end is read for a bounded time.
    pub(super) fn read_turn(&mut self, number: u64) {
        let sent_before = self.events_sent(number);
        for _ in 0..TURN_READS_MAX {
            let has_more = self.read_once(number) == ReadOutcome::Data;
            if !has_more || self.events_sent(number) >= sent_before + MAX_OPEN as u64 {
                return;
            }
        }
    }

    fn events_sent(&self, number: u64) -> u64 {
        self.connections
            .get(&number)
            .map_or(0, |connection| connection.events_sent)
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
        if self.has_hung_up(number) {
            // The bytes that arrived before a reset stay readable, but no answer to a request in them
            // could arrive. Asked after the read, as the reset may come at any time before it.
            self.remove(number);
            return ReadOutcome::Finished;
        }
        let Some(connection) = self.connections.get_mut(&number) else {
            return ReadOutcome::Finished;
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
        self.renew_close(number);
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
