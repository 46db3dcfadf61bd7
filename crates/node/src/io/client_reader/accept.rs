//! Accepting connections.

use super::{LISTENER, ReadConnection, Reader, State};
use crate::actions::ConnectionId;
use crate::fastcgi;
use crate::io::client_connections::Connection;
use crate::io::connection_slots::Socket;
use crate::io::inbox::Message;
use crate::log::part;
use crate::node::Event;
use rustix::event::epoll;
use rustix::io::Errno;
use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tracing::{error, warn};

/// Connections accepted in a row.
const ACCEPTED_MAX: usize = 16;
/// Between two attempts to accept a connection when no slot is free, unless one becomes free sooner.
const FULL_RETRY: Duration = Duration::from_millis(20);

impl Reader {
    /// Accepts connections from the backlog, as far as there are slots.
    pub(super) fn accept(&mut self) {
        for round in 0..ACCEPTED_MAX {
            if self.listener.is_none() {
                return;
            }
            if self.is_stopping && self.is_shared {
                return self.stop_listening(); // the backlog is for the process that goes on
            }
            if !self.slots.has_free() && round > 0 {
                break; // whether one more waits is seen when the listener is polled again
            }
            if !self.slots.has_free() {
                return self.wait_for_slot();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener
                .accept()
                .and_then(|(stream, from)| self.add(stream, from.ip()))
            {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.is_stopping => {
                    return self.stop_listening();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    warn!(target: part::LOAD_BALANCER, error = %e, "accept failed");
                    return self.wait_for_slot();
                }
            }
        }
        match self.watch_listener().map_err(|e| e.raw_os_error()) {
            Err(e) if e != Some(Errno::EXIST.raw_os_error()) => {
                error!(
                    target: part::LOAD_BALANCER,
                    error = ?e,
                    "listening failed: no connection is accepted"
                );
            }
            _ => {}
        }
    }

    /// No slot is free: a lingering connection is let go of, or the core is asked for one. The
    /// listener is polled again when a slot becomes free.
    fn wait_for_slot(&mut self) {
        if let Some(listener) = &self.listener {
            let _ = epoll::delete(&self.poll, listener);
        }
        self.slots.is_full.store(true, SeqCst);
        self.timers
            .push(Reverse((Instant::now() + FULL_RETRY, LISTENER)));
        while let Some(number) = self.lingering.pop_front() {
            if matches!(
                self.connections.get(&number),
                Some(ReadConnection {
                    state: State::Lingering { .. },
                    ..
                })
            ) {
                return self.remove(number);
            }
        }
        let _ = self
            .events
            .send(Message::Event(Event::ConnectionLimitReached));
    }

    /// The backlog is empty, or left to another process: no more connections are accepted.
    fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            // Another process may have the same socket: then it stays open, and would be polled
            // without end.
            let _ = epoll::delete(&self.poll, &listener);
            drop(listener);
            let _ = self.events.send(Message::Event(Event::ListenerClosed));
        }
    }

    /// Takes up an accepted connection.
    fn add(&mut self, stream: TcpStream, from: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.accepted += 1;
        let number = self.accepted;
        let slots = &self.slots;
        let socket = Arc::new(Socket::new(stream, slots));
        let pause = Arc::new(AtomicU64::new(0));
        let parser = fastcgi::Parser::new(
            slots.capacity.connections,
            slots.capacity.partial_request_bytes,
        );
        let connection = ReadConnection {
            socket: Arc::clone(&socket),
            parser,
            pause: Arc::clone(&pause),
            state: State::Reading,
            events_sent: 0,
            closing: None,
        };
        self.connections.insert(number, connection);
        let connection = Connection::new(ConnectionId(number), socket, pause, self.handle.clone());
        let _ = self
            .events
            .send(Message::Accepted(ConnectionId(number), from, connection));
        self.watch(number).inspect_err(|_| self.remove(number))
    }
}
