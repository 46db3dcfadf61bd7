//! The core's thread: passes it messages and due timers, and flushes what it has written, until the
//! node has stopped.

use super::clock::Clock;
use super::inbox::{Inbox, Message};
use super::sockets::Sockets;
use crate::node::{Event, Node};
use crossbeam_channel::select;
use madderpoint::Nanos;
use std::time::Duration;

/// Messages of load balancers that are taken before the core turns to other peers and timers again.
const CLIENT_BATCH: usize = 64;
/// A timer that is late by more, in nanoseconds, shows that the machine stood still. Before it
/// fires, messages are taken until none has come for [`CATCH_UP_QUIET`], or for [`CATCH_UP_MAX`].
const STOOD_STILL: Nanos = 20_000_000;
/// See [`STOOD_STILL`].
const CATCH_UP_QUIET: Duration = Duration::from_millis(3);
/// See [`STOOD_STILL`]; in nanoseconds.
const CATCH_UP_MAX: Nanos = 50_000_000;

/// Runs the core until the node has stopped; calls `on_serving` once it serves. Takes the messages
/// that wait, then fires the timers that are due, so that what has arrived counts before a timeout.
pub fn run(
    core: &mut Node<Sockets>,
    clock: Clock,
    inbox: &Inbox,
    mut on_serving: Option<Box<dyn FnOnce()>>,
) {
    while !core.has_drained() {
        if let Some(on_serving) = on_serving.take_if(|_| core.is_up()) {
            on_serving();
        }
        let due = core.next_timer().unwrap_or(Nanos::MAX);
        let wait = Duration::from_nanos(due.saturating_sub(clock.now()));
        take_messages(core, clock, inbox, wait);
        if clock.now() > due.saturating_add(STOOD_STILL) {
            let until = clock.now() + CATCH_UP_MAX;
            while clock.now() < until && take_messages(core, clock, inbox, CATCH_UP_QUIET) {}
        }
        core.fire_timers(clock.now());
        core.with_actions(Sockets::flush);
    }
}

/// Waits for a message, then takes all of peers and a batch of load balancers'; false if none came.
fn take_messages(core: &mut Node<Sockets>, clock: Clock, inbox: &Inbox, wait: Duration) -> bool {
    let first = select! {
        recv(inbox.peers) -> message => message,
        recv(inbox.clients) -> message => message,
        default(wait) => return false,
    };
    first
        .into_iter()
        .for_each(|message| take(core, clock, message));
    let peers = inbox.peers.try_iter().take(inbox.peers.len());
    peers.for_each(|message| take(core, clock, message));
    inbox
        .clients
        .try_iter()
        .take(CLIENT_BATCH)
        .for_each(|message| take(core, clock, message));
    true
}

fn take(core: &mut Node<Sockets>, clock: Clock, message: Message) {
    let event = match message {
        Message::Event(event) => event,
        Message::Accepted(id, from, connection) => {
            core.with_actions(|sockets| sockets.add_connection(id, connection));
            Event::Connected(id, Some(from))
        }
        Message::ExecutorConnected(last, writer) => {
            core.with_actions(|sockets| sockets.set_executor(Some(writer)));
            Event::ExecutorConnected(last)
        }
    };
    match &event {
        Event::Disconnected(id) => core.with_actions(|sockets| sockets.remove_connection(*id)),
        Event::ExecutorDisconnected => core.with_actions(|sockets| sockets.set_executor(None)),
        _ => {}
    }
    core.handle(clock.read(), event);
}
