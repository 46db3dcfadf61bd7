//! Status queries to all nodes, with the authenticated datagram protocol. The queries bypass the
//! fault proxy, so that faults do not affect them.

use super::process::NodeState;
use super::{
    AUTH_KEY, CLUSTER_NAME, FaultScenario, NEXT_SCENARIO, QUERY_INTERVAL, QUERY_TIMEOUT, lock,
};
use crate::peers::unix_ms;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::observer::{NodeSnapshot, Observer};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Maximum number of pages of one status reply.
const PAGES_MAX: usize = 64;
/// The observer's replay window, in nanoseconds.
pub(super) const REPLAY_WINDOW_NS: u64 = 600_000_000_000;

/// The last snapshot of each node and its arrival time, by node index; `None` while a node is down.
pub(super) type Observations = Vec<Option<(Instant, NodeSnapshot)>>;

impl FaultScenario {
    /// Starts the thread that queries all nodes in turn until the scenario stops.
    pub(super) fn start_observing(&self) -> std::io::Result<()> {
        let (seen, stop) = (Arc::clone(&self.seen), Arc::clone(&self.stop));
        let nodes: Vec<(SocketAddr, Arc<Mutex<NodeState>>)> = self
            .nodes
            .iter()
            .map(|node| (node.bind, Arc::clone(&node.state)))
            .collect();
        let socket = UdpSocket::bind((nodes[0].0.ip(), 0))?;
        socket.set_read_timeout(Some(QUERY_TIMEOUT))?;
        let seed = (u64::from(std::process::id()) << 8) | u64::from(NEXT_SCENARIO.load(SeqCst));
        thread::Builder::new().name("watch".into()).spawn(move || {
            let keys = || AuthKeys::new(&[AUTH_KEY.to_vec()]).expect("the key has 32 bytes");
            let begun = Instant::now();
            let mut observers: Vec<Observer> = (0..nodes.len())
                .map(|n| {
                    let incarnation = (seed << 8) | (n as u64 + 1);
                    Observer::new(CLUSTER_NAME, keys(), incarnation, REPLAY_WINDOW_NS)
                })
                .collect();
            while !stop.load(SeqCst) {
                for (n, (address, state)) in nodes.iter().enumerate() {
                    let is_up = {
                        let state = lock(state);
                        state.is_running && !state.is_paused
                    };
                    let snapshot = if is_up {
                        member_snapshot(&socket, *address, &mut observers[n], begun)
                    } else {
                        None
                    };
                    if !is_up || snapshot.is_some() {
                        lock(&seen.0)[n] = snapshot.map(|snapshot| (Instant::now(), snapshot));
                    }
                }
                seen.1.notify_all();
                thread::sleep(QUERY_INTERVAL);
            }
        })?;
        Ok(())
    }
}

/// Returns a node's member table; `None` if the node does not answer in time.
fn member_snapshot(
    socket: &UdpSocket,
    node: SocketAddr,
    observer: &mut Observer,
    begun: Instant,
) -> Option<NodeSnapshot> {
    query(socket, node, observer, begun, Observer::on_datagram)
}

/// Returns the encoded status snapshot of the observer's topic; `None` if the node does not answer
/// in time.
pub(super) fn status_pages(
    socket: &UdpSocket,
    node: SocketAddr,
    observer: &mut Observer,
    begun: Instant,
) -> Option<Vec<u8>> {
    query(socket, node, observer, begun, Observer::on_status_page)
}

/// Requests one page after the other. `receive` reads one datagram. It returns whether the datagram
/// is the requested page, and after the last page the decoded reply.
fn query<T, E>(
    socket: &UdpSocket,
    node: SocketAddr,
    observer: &mut Observer,
    begun: Instant,
    receive: impl Fn(&mut Observer, u64, u64, &[u8]) -> Result<(bool, Option<T>), E>,
) -> Option<T> {
    let unix = || unix_ms().parse::<u64>().unwrap_or(0);
    let mut buffer = [0; 2048];
    for _ in 0..PAGES_MAX {
        let request = observer.request(unix());
        socket.send_to(&request, node).ok()?;
        loop {
            let (len, from) = socket.recv_from(&mut buffer).ok()?;
            let now = begun.elapsed().as_nanos() as u64;
            match receive(observer, now, unix(), &buffer[..len]) {
                Ok((_, Some(whole))) if from == node => return Some(whole),
                Ok((true, None)) if from == node => break,
                _ => {} // a delayed reply to an earlier query
            }
        }
    }
    None
}
