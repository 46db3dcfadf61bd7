//! Closing connections.

use super::{ReadOutcome, Reader, State};
use crate::actions::{Close, ConnectionId};
use crate::io::inbox::Message;
use crate::io::stream::READ;
use crate::node::Event;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

/// How long a closed connection may linger until its peer ends it. It does not linger where no slot
/// is free.
pub(super) const LINGER: Duration = Duration::from_secs(1);
/// Bytes that are read of a lingering connection.
pub(super) const LINGER_BYTES: usize = 64 * 1024;
/// Readings at most before a close: a peer that sends without end is closed all the same.
const LAST_READS_MAX: usize = 16;

impl Reader {
    /// Closes a connection on which no answer is owed, as far as the core knows.
    pub(super) fn close(&mut self, number: u64, close: Close) {
        self.read_rest(number);
        if let Some(connection) = self.connections.get_mut(&number) {
            let until = Instant::now() + Duration::from_nanos(close.partial_request_wait);
            connection.closing = Some((close.events_handled, until));
            self.timers.push(Reverse((until, number)));
        }
        self.finish_close(number);
    }

    /// Reads what has come by now: a request in it is owed an answer. A connection that is paced is
    /// read once at most.
    pub(super) fn read_rest(&mut self, number: u64) {
        let is_paced = self
            .connections
            .get(&number)
            .is_some_and(|connection| connection.pause.load(SeqCst) > 0);
        let reads = if is_paced { 1 } else { LAST_READS_MAX };
        (0..reads).any(|_| self.read_once(number) != ReadOutcome::Data);
    }

    /// Carries out a close, unless the core will hear of more, or the rest of a request may yet
    /// come.
    pub(super) fn finish_close(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some((heard, until)) = connection.closing else {
            return;
        };
        if connection.events_sent != heard {
            connection.closing = None; // the core decides again, knowing what was read
            return;
        }
        let is_read = matches!(connection.state, State::Reading | State::Paused);
        if !(is_read && connection.parser.is_partial() && Instant::now() < until) {
            self.shut_down(number);
        }
    }

    /// Stops writing; what still comes is dropped until the peer stops too.
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
        if connection.state == (State::Stopped { peer_ended: true }) || !self.slots.has_free() {
            return self.remove(number);
        }
        let is_watched = std::mem::replace(
            &mut connection.state,
            State::Lingering {
                until: Instant::now() + LINGER,
                left: LINGER_BYTES,
            },
        ) == State::Reading;
        self.lingering.push_back(number);
        self.timers.push(Reverse((Instant::now() + LINGER, number)));
        if !is_watched && self.watch(number).is_err() {
            self.remove(number);
        }
    }

    /// Reads a lingering connection and drops what was read.
    pub(super) fn linger(&mut self, number: u64, until: Instant, left: usize) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let mut buffer = [0; READ];
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

    /// Lets go of a connection.
    pub(super) fn remove(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        // Not left to the socket's end: the core or a writer may still have it.
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
