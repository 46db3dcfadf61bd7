//! Accepting connections.

use super::{LISTENER, ReadConnection, Reader, State};
use crate::actions::ConnectionId;
use crate::fastcgi;
use crate::io::client_connections::Connection;
use crate::io::connection_slots::Socket;
use crate::io::inbox::Message;
use crate::log::part;
use crate::node::Event;
use crate::request_memory::ConnectionMemory;
use rustix::event::epoll;
use rustix::io::Errno;
use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tracing::{error, warn};

/// Maximum number of connections accepted in a row before other sockets are served.
const ACCEPT_BATCH: usize = 16;
/// Time between two attempts to accept a connection while no slot is free. A slot that becomes free
/// triggers an attempt at once.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl Reader {
    /// Accepts connections from the backlog while slots are free.
    pub(super) fn accept(&mut self) {
        for round in 0..ACCEPT_BATCH {
            if self.listener.is_none() {
                return;
            }
            if self.is_stopping && self.is_shared {
                return self.stop_listening(); // the other process accepts the backlog
            }
            if !self.slots.has_free() && round > 0 {
                break; // the next poll of the listener shows whether another connection waits
            }
            if !self.slots.has_free() {
                return self.wait_for_slot();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener
                .accept()
                .and_then(|(stream, from)| self.add_connection(stream, from.ip()))
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

    /// Makes room when no slot is free: drops the oldest lingering connection or, if there is none,
    /// reports to the core that the connection limit is reached. The listener is polled again when a
    /// slot becomes free.
    fn wait_for_slot(&mut self) {
        if let Some(listener) = &self.listener {
            let _ = epoll::delete(&self.poll, listener);
        }
        self.slots.is_full.store(true, SeqCst);
        self.timers
            .push(Reverse((Instant::now() + SLOT_RETRY_INTERVAL, LISTENER)));
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

    /// Closes the listener, once the backlog is empty or is left to another process.
    fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            // The socket stays open if another process shares it, and epoll would keep reporting it
            // even after this process has closed its descriptor.
            let _ = epoll::delete(&self.poll, &listener);
            drop(listener);
            let _ = self.events.send(Message::Event(Event::ListenerClosed));
        }
    }

    /// Registers an accepted connection and passes its other end to the core.
    fn add_connection(&mut self, stream: TcpStream, from: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.accepted += 1;
        let number = self.accepted;
        let slots = &self.slots;
        let socket = Arc::new(Socket::new(stream, slots));
        let pause = Arc::new(AtomicU64::new(0));
        let memory = ConnectionMemory::new(&self.request_memory);
        let parser = fastcgi::Parser::new(slots.capacity.connections, memory);
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
