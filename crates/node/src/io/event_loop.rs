//! The event loop of the core's thread: passes messages and due timers to the core and flushes the
//! answers that the core has added, until the node has stopped.

use super::clock::Clock;
use super::inbox::{Inbox, Message};
use super::sockets::Sockets;
use crate::node::{Event, Node};
use crossbeam_channel::select;
use madderpoint::Nanos;
use std::time::Duration;

/// Maximum number of load balancers' messages handled in a row before other peers and timers.
const CLIENT_BATCH: usize = 64;
/// A timer that is late by more than this, in nanoseconds, shows that the process or the machine was
/// stalled. Messages that arrived meanwhile are then handled before the timer fires, until none
/// arrives for [`CATCH_UP_QUIET`] or [`CATCH_UP_MAX`] has passed.
const STALL_THRESHOLD: Nanos = 20_000_000;
/// Time without a message that ends the catching up after a stall.
const CATCH_UP_QUIET: Duration = Duration::from_millis(3);
/// Maximum duration of the catching up after a stall, in nanoseconds.
const CATCH_UP_MAX: Nanos = 50_000_000;

/// Runs the core until the node has stopped, and calls `on_serving` when the node starts to serve.
/// Each turn handles the queued messages before the due timers, so that a message that has already
/// arrived takes precedence over a timeout.
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
        handle_messages(core, clock, inbox, wait);
        if clock.now() > due.saturating_add(STALL_THRESHOLD) {
            let until = clock.now() + CATCH_UP_MAX;
            while clock.now() < until && handle_messages(core, clock, inbox, CATCH_UP_QUIET) {}
        }
        core.fire_timers(clock.now());
        core.with_actions(Sockets::flush);
    }
}

/// Waits for a message, then handles all queued messages of peers and a batch of load balancers'
/// messages. Returns false if no message arrived within `wait`.
fn handle_messages(core: &mut Node<Sockets>, clock: Clock, inbox: &Inbox, wait: Duration) -> bool {
    let first = select! {
        recv(inbox.peers) -> message => message,
        recv(inbox.clients) -> message => message,
        default(wait) => return false,
    };
    first
        .into_iter()
        .for_each(|message| handle(core, clock, message));
    let peers = inbox.peers.try_iter().take(inbox.peers.len());
    peers.for_each(|message| handle(core, clock, message));
    inbox
        .clients
        .try_iter()
        .take(CLIENT_BATCH)
        .for_each(|message| handle(core, clock, message));
    true
}

fn handle(core: &mut Node<Sockets>, clock: Clock, message: Message) {
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
