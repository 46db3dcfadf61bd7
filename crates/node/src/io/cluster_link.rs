//! The cluster's UDP socket and the thread that owns the node's membership, shared state and
//! rollouts.
//!
//! The thread and the core share only two bounded queues: commands to the thread ([`ClusterLink`])
//! and events to the core. Neither side waits for the other, except that the thread waits for room in
//! the core's queue when budgets change. [`start`] is called once, when the node starts, and
//! [`ClusterLink::leave`] ends the thread.

#![warn(missing_docs)]

mod commands;
mod event_loop;
mod health_exchange;
mod hosts;
mod setup;

pub use commands::{ClusterLink, ClusterSettingsUpdate};
pub use hosts::SHARED_STATE_TOPIC;
pub use setup::{ClusterSetup, zone_number};

use super::inbox::Message;
use super::threads::STACK;
use crate::log::part;
use commands::LinkCommand;
use crossbeam_channel::{Receiver, Sender};
use madderpoint_membership::ClockReading;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tracing::error;

/// Time between two attempts to bind an address that another process is still bound to.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Binds the socket and starts the thread.
///
/// # Errors
///
/// The socket cannot be bound, the setup fails, or the thread cannot be started. An address in use is
/// not an error if [`ClusterSetup::awaits_address`] is set: the thread then waits for it.
pub fn start(
    setup: ClusterSetup,
    seed: u64,
    clock: impl Fn() -> ClockReading + Send + 'static,
    events: Sender<Message>,
) -> io::Result<(ClusterLink, JoinHandle<()>)> {
    let (link, commands) = ClusterLink::new()?;
    let wake_fd = link.wake_fd();
    // Operators and tests find the thread by this name.
    let thread = thread::Builder::new()
        .name("fleet".into())
        .stack_size(STACK);
    let socket = match UdpSocket::bind(setup.bind) {
        Err(e) if setup.awaits_address && e.kind() == ErrorKind::AddrInUse => None,
        bound => Some(bound?),
    };
    if let Some(socket) = socket {
        let event_loop = setup::build(setup, seed, clock, events, socket, &link)?;
        let thread = thread.spawn(move || event_loop.run(&commands, &wake_fd))?;
        return Ok((link, thread));
    }
    let own_link = link.clone();
    let bind_and_run = move || {
        let Some(socket) = bind_when_free(setup.bind, &commands) else {
            return;
        };
        match setup::build(setup, seed, clock, events, socket, &own_link) {
            Ok(event_loop) => event_loop.run(&commands, &wake_fd),
            Err(e) => {
                error!(
                    target: part::CLUSTER,
                    error = %e,
                    "start failed: the node takes no part in the cluster"
                );
            }
        }
    };
    Ok((link, thread.spawn(bind_and_run)?))
}

/// Binds the address as soon as it is free. Returns `None` if the node leaves first. Other commands
/// that arrive meanwhile are dropped, since the core repeats its reports.
fn bind_when_free(address: SocketAddr, commands: &Receiver<LinkCommand>) -> Option<UdpSocket> {
    let is_leave = |command| matches!(command, LinkCommand::Leave { .. });
    loop {
        match UdpSocket::bind(address) {
            Ok(socket) => return Some(socket),
            Err(_) if commands.try_iter().any(is_leave) => return None,
            Err(_) => thread::sleep(BIND_RETRY_INTERVAL),
        }
    }
}
