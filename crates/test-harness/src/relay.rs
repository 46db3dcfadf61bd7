//! Relays of ours between processes. Datagrams: each node is reached at an address of the relay,
//! and each pair of nodes has a socket of its own, so that a reply to whoever sent finds its way.
//! Streams: bytes pass in order, late or not at all.

use crate::faults::{Fate, Faults, Place};
use crate::scenario::LinkKind;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const DATAGRAM: usize = 2048;
/// Datagrams that are held or late, at most; more are lost.
const WAITING: usize = 20_000;
/// The relay looks after its timers at least so often.
const TICK: Duration = Duration::from_millis(20);

/// A node at the relay of datagrams.
struct Side {
    place: Place,
    /// Where the node listens, and where others reach it.
    bind: SocketAddr,
    front: UdpSocket,
    /// By sender: the socket from which what that one sent goes on, and on which replies to it
    /// come.
    pairs: Vec<UdpSocket>,
}

struct Waiting {
    due: Instant,
    order: u64,
    from: usize,
    to: usize,
    frame: Vec<u8>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Waiting) -> bool {
        self.order == other.order
    }
}
impl Eq for Waiting {}
impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Waiting) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Waiting {
    fn cmp(&self, other: &Waiting) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// The relay of the fleet's datagrams.
pub struct Datagrams {
    /// Where each node is reached.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
    }
}

fn bind() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Datagrams {
    /// A relay for nodes that listen there.
    pub fn start(nodes: Vec<(Place, SocketAddr)>, faults: Arc<Faults>) -> io::Result<Datagrams> {
        let count = nodes.len();
        let mut sides = Vec::new();
        for (place, bind_at) in nodes {
            let pairs = (0..count).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
            sides.push(Side {
                place,
                bind: bind_at,
                front: bind()?,
                pairs,
            });
        }
        let addresses = sides
            .iter()
            .map(|side| side.front.local_addr())
            .collect::<io::Result<Vec<_>>>()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let relay = Relay {
            sides,
            faults,
            waiting: BinaryHeap::new(),
            held: Vec::new(),
            ordered: 0,
        };
        thread::Builder::new()
            .name("relay".into())
            .spawn(move || relay.serve(&stopped))?;
        Ok(Datagrams { addresses, stop })
    }
}

struct Relay {
    sides: Vec<Side>,
    faults: Arc<Faults>,
    waiting: BinaryHeap<Reverse<Waiting>>,
    held: Vec<(usize, usize, Vec<u8>)>,
    ordered: u64,
}

impl Relay {
    fn serve(mut self, stopped: &AtomicBool) {
        let mut buffer = [0; DATAGRAM];
        while !stopped.load(SeqCst) {
            for (from, to, frame) in self.ready(&mut buffer) {
                self.passes(from, to, frame);
            }
            self.release();
            let now = Instant::now();
            while self
                .waiting
                .peek()
                .is_some_and(|Reverse(first)| first.due <= now)
            {
                let Some(Reverse(Waiting {
                    from, to, frame, ..
                })) = self.waiting.pop()
                else {
                    break;
                };
                let _ = self.sides[to].pairs[from].send_to(&frame, self.sides[to].bind);
            }
        }
    }

    /// Waits, then reads what came: from which node, for which.
    fn ready(&self, buffer: &mut [u8]) -> Vec<(usize, usize, Vec<u8>)> {
        let count = self.sides.len();
        let sockets: Vec<(usize, Option<usize>, &UdpSocket)> = (0..count)
            .flat_map(|to| {
                let pairs = self.sides[to]
                    .pairs
                    .iter()
                    .enumerate()
                    .map(move |(from, socket)| (to, Some(from), socket));
                pairs.chain([(to, None, &self.sides[to].front)])
            })
            .collect();
        let mut polled: Vec<PollFd<'_>> = sockets
            .iter()
            .map(|(_, _, socket)| PollFd::new(*socket, PollFlags::IN))
            .collect();
        let next = self
            .waiting
            .peek()
            .map(|Reverse(first)| first.due.saturating_duration_since(Instant::now()));
        let wait = next.unwrap_or(TICK).min(TICK);
        let _ = poll(&mut polled, Timespec::try_from(wait).ok().as_ref());
        let mut came = Vec::new();
        for ((at, pair, socket), polled) in sockets.iter().zip(&polled) {
            if polled.revents().is_empty() {
                continue;
            }
            while let Ok((n, source)) = socket.recv_from(buffer) {
                let sender = self.sides.iter().position(|side| side.bind == source);
                let (from, to) = match (pair, sender) {
                    // A reply on the socket by which `from`'s datagram reached the node at this
                    // side.
                    (Some(first), Some(sender)) => (sender, *first),
                    (None, Some(sender)) => (sender, *at),
                    // From one that is no node, such as a stranger: straight on.
                    (None, None) => {
                        let _ =
                            self.sides[*at].pairs[*at].send_to(&buffer[..n], self.sides[*at].bind);
                        continue;
                    }
                    (Some(_), None) => continue,
                };
                came.push((from, to, buffer[..n].to_vec()));
            }
        }
        came
    }

    fn passes(&mut self, from: usize, to: usize, mut frame: Vec<u8>) {
        let fate = self.faults.fate(
            LinkKind::Fleet,
            &self.sides[from].place,
            &self.sides[to].place,
            frame.len(),
        );
        let Fate {
            copies,
            damage,
            held,
        } = fate;
        if self.waiting.len() + self.held.len() >= WAITING {
            return;
        }
        if let Some((at, mask)) = damage {
            frame[at] ^= mask;
        }
        if held {
            return self.held.push((from, to, frame));
        }
        for late in copies {
            self.ordered += 1;
            let (due, order) = (Instant::now() + late, self.ordered);
            self.waiting.push(Reverse(Waiting {
                due,
                order,
                from,
                to,
                frame: frame.clone(),
            }));
        }
    }

    /// What was held goes on once its link is whole.
    fn release(&mut self) {
        for (from, to, frame) in std::mem::take(&mut self.held) {
            if self
                .faults
                .is_cut(&self.sides[from].place, &self.sides[to].place)
            {
                self.held.push((from, to, frame));
            } else {
                self.ordered += 1;
                let (due, order) = (Instant::now(), self.ordered);
                self.waiting.push(Reverse(Waiting {
                    due,
                    order,
                    from,
                    to,
                    frame,
                }));
            }
        }
    }
}

/// A relay of streams towards one place.
pub struct Stream {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it leads; may change for streams to come.
    pub to: Arc<Mutex<SocketAddr>>,
}

impl Stream {
    /// A relay for what `node` has to do with another party, which is at this address.
    pub fn start(
        on: LinkKind,
        node: Place,
        to: SocketAddr,
        faults: Arc<Faults>,
    ) -> io::Result<Stream> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, to) = (listener.local_addr()?, Arc::new(Mutex::new(to)));
        let target = Arc::clone(&to);
        thread::Builder::new()
            .name("stream relay".into())
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                    let (node, faults) = (node.clone(), Arc::clone(&faults));
                    let _ = thread::Builder::new()
                        .stack_size(128 << 10)
                        .spawn(move || join(on, &node, stream, to, &faults));
                }
            })?;
        Ok(Stream { address, to })
    }
}

/// Passes bytes both ways until one side ends.
fn join(on: LinkKind, node: &Place, a: TcpStream, to: SocketAddr, faults: &Arc<Faults>) {
    let Ok(b) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        let _ = a.shutdown(Shutdown::Both);
        return;
    };
    let (_, _) = (a.set_nodelay(true), b.set_nodelay(true));
    let (Ok(a2), Ok(b2)) = (a.try_clone(), b.try_clone()) else {
        return;
    };
    let (place, shared) = (node.clone(), Arc::clone(faults));
    let back = thread::Builder::new()
        .stack_size(128 << 10)
        .spawn(move || copy(on, &place, &b2, &a2, &shared));
    copy(on, node, &a, &b, faults);
    let _ = back.map(|thread| thread.join());
}

fn copy(on: LinkKind, node: &Place, mut from: &TcpStream, mut to: &TcpStream, faults: &Faults) {
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        faults.pass(on, node, node, n);
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
