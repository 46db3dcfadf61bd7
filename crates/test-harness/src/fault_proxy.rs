//! Fault proxies between the processes of a scenario.
//!
//! The datagram proxy has one address for each node, at which other nodes reach that node, and one
//! socket for each pair of nodes, so that replies can be returned to the sender. Stream proxies
//! forward bytes in order; faults delay or stop the bytes.

use crate::faults::{Delivery, Faults, NodeLocation};
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

/// Size of the longest datagram that is forwarded, in bytes.
const DATAGRAM_BYTES_MAX: usize = 2048;
/// Maximum number of datagrams that are held or delayed at a time; further datagrams are dropped.
const DATAGRAMS_MAX: usize = 20_000;
/// Longest wait for a datagram before held datagrams are checked for release.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stack size of a thread that forwards a stream.
const STREAM_STACK_BYTES: usize = 128 << 10;

/// A node behind the datagram proxy.
struct ProxiedNode {
    place: NodeLocation,
    /// The address at which the node listens.
    bind: SocketAddr,
    /// The socket at which other nodes reach the node.
    front: UdpSocket,
    /// One socket for each sender, by its index. The sender's datagrams are forwarded to this node
    /// from the socket, and this node's replies arrive at it.
    pairs: Vec<UdpSocket>,
}

/// A datagram that is forwarded at a set time; ordered by that time, then by arrival.
struct DelayedDatagram {
    due: Instant,
    order: u64,
    from: usize,
    to: usize,
    frame: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.order == other.order
    }
}
impl Eq for DelayedDatagram {}
impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// The proxy of the cluster's datagrams. Dropping the handle stops the proxy.
pub struct DatagramProxy {
    /// The address at which each node is reached, in the order given to [`DatagramProxy::start`].
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
    }
}

fn bind() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl DatagramProxy {
    /// Starts a proxy for nodes that listen at these addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or thread cannot be created.
    pub fn start(
        locations: Vec<(NodeLocation, SocketAddr)>,
        faults: Arc<Faults>,
    ) -> io::Result<DatagramProxy> {
        let count = locations.len();
        let mut nodes = Vec::new();
        for (place, bind_at) in locations {
            let pairs = (0..count).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
            nodes.push(ProxiedNode {
                place,
                bind: bind_at,
                front: bind()?,
                pairs,
            });
        }
        let addresses = nodes
            .iter()
            .map(|node| node.front.local_addr())
            .collect::<io::Result<Vec<_>>>()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let forwarder = DatagramForwarder {
            nodes,
            faults,
            delayed: BinaryHeap::new(),
            held: Vec::new(),
            last_order: 0,
        };
        thread::Builder::new()
            .name("fault proxy".into())
            .spawn(move || forwarder.serve(&stopped))?;
        Ok(DatagramProxy { addresses, stop })
    }
}

/// The state of the datagram proxy's thread.
struct DatagramForwarder {
    nodes: Vec<ProxiedNode>,
    faults: Arc<Faults>,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    /// Sender, receiver and bytes of datagrams that wait until their link is healed.
    held: Vec<(usize, usize, Vec<u8>)>,
    last_order: u64,
}

impl DatagramForwarder {
    fn serve(mut self, stopped: &AtomicBool) {
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        while !stopped.load(SeqCst) {
            for (from, to, frame) in self.receive(&mut buffer) {
                self.apply_faults(from, to, frame);
            }
            self.release();
            let now = Instant::now();
            while self
                .delayed
                .peek()
                .is_some_and(|Reverse(first)| first.due <= now)
            {
                let Some(Reverse(DelayedDatagram {
                    from, to, frame, ..
                })) = self.delayed.pop()
                else {
                    break;
                };
                let _ = self.nodes[to].pairs[from].send_to(&frame, self.nodes[to].bind);
            }
        }
    }

    /// Waits for datagrams and returns the sender, receiver and bytes of each.
    fn receive(&self, buffer: &mut [u8]) -> Vec<(usize, usize, Vec<u8>)> {
        let count = self.nodes.len();
        let sockets: Vec<(usize, Option<usize>, &UdpSocket)> = (0..count)
            .flat_map(|to| {
                let pairs = self.nodes[to]
                    .pairs
                    .iter()
                    .enumerate()
                    .map(move |(from, socket)| (to, Some(from), socket));
                pairs.chain([(to, None, &self.nodes[to].front)])
            })
            .collect();
        let mut polled: Vec<PollFd<'_>> = sockets
            .iter()
            .map(|(_, _, socket)| PollFd::new(*socket, PollFlags::IN))
            .collect();
        let next = self
            .delayed
            .peek()
            .map(|Reverse(first)| first.due.saturating_duration_since(Instant::now()));
        let wait = next.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL);
        let _ = poll(&mut polled, Timespec::try_from(wait).ok().as_ref());
        let mut received = Vec::new();
        for ((receiver, pair, socket), polled) in sockets.iter().zip(&polled) {
            if polled.revents().is_empty() {
                continue;
            }
            while let Ok((n, source)) = socket.recv_from(buffer) {
                let sender = self.nodes.iter().position(|node| node.bind == source);
                let (from, to) = match (pair, sender) {
                    // A reply, received on the socket that forwards the datagrams of `first`.
                    (Some(first), Some(sender)) => (sender, *first),
                    (None, Some(sender)) => (sender, *receiver),
                    // The source is not a node's socket: forwarded without faults.
                    (None, None) => {
                        let _ = self.nodes[*receiver].pairs[*receiver]
                            .send_to(&buffer[..n], self.nodes[*receiver].bind);
                        continue;
                    }
                    (Some(_), None) => continue,
                };
                received.push((from, to, buffer[..n].to_vec()));
            }
        }
        received
    }

    /// Drops, damages, holds, duplicates or delays a datagram by the faults on its link.
    fn apply_faults(&mut self, from: usize, to: usize, mut frame: Vec<u8>) {
        let delivery = self.faults.delivery(
            LinkKind::Fleet,
            &self.nodes[from].place,
            &self.nodes[to].place,
            frame.len(),
        );
        let Delivery {
            copies,
            damage,
            is_held,
        } = delivery;
        if self.delayed.len() + self.held.len() >= DATAGRAMS_MAX {
            return;
        }
        if let Some((index, mask)) = damage {
            frame[index] ^= mask;
        }
        if is_held {
            return self.held.push((from, to, frame));
        }
        for delay in copies {
            self.last_order += 1;
            let (due, order) = (Instant::now() + delay, self.last_order);
            self.delayed.push(Reverse(DelayedDatagram {
                due,
                order,
                from,
                to,
                frame: frame.clone(),
            }));
        }
    }

    /// Forwards the held datagrams whose link no longer has a fault that cuts or holds it.
    fn release(&mut self) {
        for (from, to, frame) in std::mem::take(&mut self.held) {
            if self
                .faults
                .is_cut(&self.nodes[from].place, &self.nodes[to].place)
            {
                self.held.push((from, to, frame));
            } else {
                self.last_order += 1;
                let (due, order) = (Instant::now(), self.last_order);
                self.delayed.push(Reverse(DelayedDatagram {
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

/// A proxy of one node's streams on one kind of link. It runs until the process ends.
pub struct StreamProxy {
    /// The address at which the proxy accepts streams.
    pub address: SocketAddr,
    /// The address to which the proxy connects; a change affects streams accepted later.
    pub to: Arc<Mutex<SocketAddr>>,
}

impl StreamProxy {
    /// Starts a proxy for the streams between `node` and the peer at address `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or thread cannot be created.
    pub fn start(
        link: LinkKind,
        node: NodeLocation,
        to: SocketAddr,
        faults: Arc<Faults>,
    ) -> io::Result<StreamProxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, to) = (listener.local_addr()?, Arc::new(Mutex::new(to)));
        let target = Arc::clone(&to);
        thread::Builder::new()
            .name("stream proxy".into())
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                    let (node, faults) = (node.clone(), Arc::clone(&faults));
                    let _ = thread::Builder::new()
                        .stack_size(STREAM_STACK_BYTES)
                        .spawn(move || forward(link, &node, stream, to, &faults));
                }
            })?;
        Ok(StreamProxy { address, to })
    }
}

/// Connects to `to` and forwards bytes in both directions until one end closes.
fn forward(
    link: LinkKind,
    node: &NodeLocation,
    a: TcpStream,
    to: SocketAddr,
    faults: &Arc<Faults>,
) {
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
        .stack_size(STREAM_STACK_BYTES)
        .spawn(move || copy(link, &place, &b2, &a2, &shared));
    copy(link, node, &a, &b, faults);
    let _ = back.map(|thread| thread.join());
}

/// Forwards bytes in one direction until either end closes, then closes both streams.
fn copy(
    link: LinkKind,
    node: &NodeLocation,
    mut from: &TcpStream,
    mut to: &TcpStream,
    faults: &Faults,
) {
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        faults.wait_to_pass(link, node, node, n);
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
