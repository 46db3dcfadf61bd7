//! The fleet's socket, and the thread in which this node's part in the fleet lives. It shares nothing with the core but two
//! bounded queues: words of the core, and what is seen of the fleet. Neither waits for the other.

use super::{Message, STACK};
use crate::company::Word;
use crate::core::Event;
use crate::log::log;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use madderpoint_fleet::seal::Keys;
use madderpoint_fleet::wire::DATAGRAM_MAX;
use madderpoint_fleet::{Fleet, Host, Moment, Nanos, Periods, Settings, Sight};
use rustix::event::{EventfdFlags, PollFd, PollFlags, Timespec, eventfd, poll};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Words that may wait for the fleet's part.
const WORDS: usize = 64;
/// Datagrams that are read before the timers are looked at again.
const TURN: usize = 64;
/// Between the two times that a leaving node says so.
const LEAVE_AGAIN: Duration = Duration::from_millis(20);

/// How a node takes part.
#[derive(Debug)]
pub struct Part {
    /// Where it listens.
    pub bind: SocketAddr,
    /// What it says and goes by.
    pub settings: Settings,
}

/// What a new file of settings changes.
#[derive(Clone, Debug)]
pub struct Reset {
    pub keys: Keys,
    pub seeds: Vec<SocketAddr>,
    pub periods: Periods,
    pub number: (u64, u64),
}

enum Order {
    Word(Word),
    Reset(Box<Reset>),
    Leave,
}

/// The core's end.
#[derive(Clone)]
pub struct FleetLink {
    orders: Sender<Order>,
    bell: Arc<OwnedFd>,
}

impl FleetLink {
    fn order(&self, order: Order) {
        if self.orders.try_send(order).is_ok() {
            let _ = rustix::io::write(&*self.bell, &1u64.to_ne_bytes());
        }
    }

    /// Has a word said. One that finds no room is lost; the next one says more.
    pub fn say(&self, word: Word) {
        self.order(Order::Word(word));
    }

    /// Takes up what a new file says.
    pub fn reset(&self, reset: Reset) {
        self.order(Order::Reset(Box::new(reset)));
    }

    /// Says that the node leaves, and ends the thread.
    pub fn leave(&self) {
        self.order(Order::Leave);
    }
}

/// What the fleet's part does to the world.
struct Hands {
    socket: UdpSocket,
    events: Sender<Message>,
    /// What was seen and found no room in the core's queue.
    unseen: Option<Sight>,
    /// Datagrams that the system did not take.
    unsent: u64,
}

impl Host for Hands {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        if self.socket.send_to(frame, to).is_err() {
            self.unsent += 1; // as good as lost on the way: all of it is made for that
        }
    }
    fn log(&mut self, kind: &'static str, line: &str) {
        crate::log::event("fleet", kind, format_args!("{line}"));
    }
    fn sight(&mut self, sight: &Sight) {
        let event = Event::Fleet(Box::new(sight.clone()));
        match self.events.try_send(Message::Event(event)) {
            Ok(()) => self.unseen = None,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.unseen = Some(sight.clone()),
        }
    }
}

/// Binds the socket and starts the thread.
pub fn start(
    part: Part,
    seed: u64,
    clock: impl Fn() -> Moment + Send + 'static,
    events: Sender<Message>,
) -> io::Result<(FleetLink, JoinHandle<()>)> {
    let socket = UdpSocket::bind(part.bind)?;
    socket.set_nonblocking(true)?;
    let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
    let (orders, inbox) = bounded(WORDS);
    log!(
        "fleet {}: {} on {}, reached at {}",
        part.settings.fleet,
        part.settings.name,
        socket.local_addr()?,
        part.settings.address
    );
    let hands = Hands { socket, events, unseen: None, unsent: 0 };
    let fleet =
        Fleet::new(part.settings, seed, clock(), hands).map_err(|odd| io::Error::other(odd.to_string()))?;
    let link = FleetLink { orders, bell: Arc::clone(&bell) };
    let thread = thread::Builder::new().name("fleet".into()).stack_size(STACK);
    let thread = thread.spawn(move || serve(fleet, &clock, &inbox, &bell))?;
    Ok((link, thread))
}

fn serve(mut fleet: Fleet<Hands>, clock: &impl Fn() -> Moment, orders: &Receiver<Order>, bell: &OwnedFd) {
    loop {
        wait(&fleet, clock().now, bell);
        let mut count = [0; 8];
        let _ = rustix::io::read(bell, &mut count);
        for order in orders.try_iter() {
            match order {
                Order::Word(Word::Phase(phase)) => fleet.set_phase(clock(), phase),
                Order::Word(Word::Pulse { room, load }) => fleet.set_pulse(room, load),
                Order::Reset(reset) => {
                    fleet.reset(clock(), reset.keys, reset.seeds, reset.periods);
                    fleet.set_settings(clock(), reset.number);
                }
                Order::Leave => {
                    fleet.leave(clock());
                    thread::sleep(LEAVE_AGAIN);
                    return fleet.leave(clock());
                }
            }
        }
        read(&mut fleet, clock);
        if clock().now >= fleet.next() {
            fleet.wake(clock());
        }
        if let Some(sight) = fleet.host.unseen.take() {
            fleet.host.sight(&sight);
        }
    }
}

/// Waits for a datagram, a word or the next timer.
fn wait(fleet: &Fleet<Hands>, now: Nanos, bell: &OwnedFd) {
    let time = Duration::from_nanos(fleet.next().saturating_sub(now));
    let time = Timespec::try_from(time).ok();
    let mut ready = [PollFd::new(&fleet.host.socket, PollFlags::IN), PollFd::new(bell, PollFlags::IN)];
    match poll(&mut ready, time.as_ref()) {
        Ok(_) | Err(Errno::INTR) => {}
        Err(e) => {
            log!("fleet: waiting failed: {e}");
            thread::sleep(Duration::from_millis(100)); // so that what fails each time takes no core
        }
    }
}

fn read(fleet: &mut Fleet<Hands>, clock: &impl Fn() -> Moment) {
    // One byte more than a datagram may have, so that a larger one is known for it.
    let mut buffer = [0; DATAGRAM_MAX + 1];
    for _ in 0..TURN {
        match fleet.host.socket.recv_from(&mut buffer) {
            Ok((n, from)) => fleet.datagram(clock(), from, &buffer[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => {} // a port that nobody listens on: it will be found dead
        }
    }
}
