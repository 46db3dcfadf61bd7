//! Closing connections.

use super::{PendingClose, Reader, State};
use crate::actions::{Close, ConnectionId};
use crate::io::inbox::Message;
use crate::io::stream::READ_BUFFER_BYTES;
use crate::node::Event;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Maximum time that a closed connection lingers until its peer closes it. Connections do not linger
/// while no slot is free.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read from a lingering connection.
pub(super) const LINGER_BYTES_MAX: usize = 64 * 1024;

impl Reader {
    /// Closes a connection that, to the core's knowledge, has no unanswered request. The bytes that
    /// have arrived are read first, since they may contain a request that must be answered.
    pub(super) fn close(&mut self, number: u64, close: Close) {
        self.read_turn(number);
        if let Some(connection) = self.connections.get_mut(&number) {
            let pending = PendingClose::new(close);
            connection.closing = Some(pending);
            self.timers.push(Reverse((pending.until, number)));
        }
        self.finish_close(number);
    }

    /// Carries out a requested close, unless events have been sent that the core had not handled, or
    /// the rest of a request may still arrive.
    pub(super) fn finish_close(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(pending) = connection.closing else {
            return;
        };
        if connection.events_sent != pending.request.events_handled {
            connection.closing = None; // the core decides again after it has handled these events
            return;
        }
        let is_read = matches!(connection.state, State::Reading | State::Paused);
        if !(is_read && connection.parser.is_partial() && Instant::now() < pending.until) {
            self.shut_down(number);
        }
    }

    /// Begins the wait of a pending close anew after bytes have arrived, if the core asked for it.
    pub(super) fn renew_close(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if let Some(pending) = connection.closing
            && pending.request.is_wait_renewed
        {
            let renewed = PendingClose::new(pending.request);
            connection.closing = Some(renewed);
            self.timers.push(Reverse((renewed.until, number)));
        }
    }

    /// Shuts down the writing side and drops incoming bytes until the peer closes its side too.
    pub(super) fn shut_down(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let _ = connection.socket.stream.shutdown(Shutdown::Write);
        if connection.parser.is_partial()
            && matches!(connection.state, State::Reading | State::Paused)
        {
            let _ = self.events.send(Message::Event(Event::RequestTruncated));
        }
        connection.parser.discard_unfinished();
        if connection.state == (State::Stopped { peer_ended: true }) || !self.slots.has_free() {
            return self.remove(number);
        }
        let is_watched = std::mem::replace(
            &mut connection.state,
            State::Lingering {
                until: Instant::now() + LINGER_TIMEOUT,
                left: LINGER_BYTES_MAX,
            },
        ) == State::Reading;
        self.lingering.push_back(number);
        self.timers
            .push(Reverse((Instant::now() + LINGER_TIMEOUT, number)));
        if !is_watched && self.watch(number).is_err() {
            self.remove(number);
        }
    }

    /// Reads a lingering connection and drops the bytes.
    pub(super) fn linger(&mut self, number: u64, until: Instant, left: usize) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let mut buffer = [0; READ_BUFFER_BYTES];
        match recv(&connection.socket.stream, &mut buffer, RecvFlags::DONTWAIT) {
            Err(Errno::INTR | Errno::AGAIN) => {}
            Ok((length, _)) if (1..left).contains(&length) => {
                connection.state = State::Lingering {
                    until,
                    left: left - length,
                };
            }
            _ => self.remove(number),
        }
    }

    /// Removes a connection and shuts its socket down.
    pub(super) fn remove(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        // Dropping the socket would not suffice, since the core or a writer may still hold it.
        let _ = epoll::delete(&self.poll, &connection.socket.stream);
        let _ = connection.socket.stream.shutdown(Shutdown::Both);
        drop(connection);
        while self
            .lingering
            .front()
            .is_some_and(|first| !self.connections.contains_key(first))
        {
            self.lingering.pop_front();
        }
        let _ = self
            .events
            .send(Message::Event(Event::Disconnected(ConnectionId(number))));
    }
}
