//! UDP client of a running node: requests its status pages and sends it operator commands. The
//! commands `fleet`, `shared` and `rollout` use it. Datagrams are authenticated with the cluster's
//! keys, which the settings name; requests without an answer are sent again, a bounded number of
//! times.

use crate::serve::{self, SettingsError};
use madderpoint_membership::Nanos;
use madderpoint_membership::messages::DATAGRAM_MAX;
use madderpoint_membership::observer::{NodeSnapshot, Observer};
use madderpoint_settings::{Diagnostics, ValidationContext};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Maximum time to wait for the answer to a datagram before it is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait for a page of another package's status before it is requested again. The
/// first request makes the node prepare the page, so that a repeated request is answered soon.
const PAGE_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of times each page of the member table is requested again before the query fails.
const MAX_SNAPSHOT_RETRIES: u32 = 6;
/// Number of times an operator command is sent before the query fails.
const MAX_COMMAND_TRIES: u32 = 10;

/// Errors of queries to a running node.
#[derive(Debug, Error)]
pub enum NodeQueryError {
    /// The settings have errors.
    #[error("{0}")]
    InvalidSettings(Diagnostics),
    /// The settings do not define a cluster.
    #[error("{}: no <fleet>", .0.display())]
    NoCluster(PathBuf),
    /// The cluster's keys cannot be read.
    #[error(transparent)]
    Keys(#[from] SettingsError),
    /// The UDP socket could not be opened or configured.
    #[error("cannot open a UDP socket: {0}")]
    Socket(io::Error),
    /// A datagram could not be sent.
    #[error("{node}: cannot send a datagram: {source}")]
    Send {
        /// Address of the node.
        node: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The node did not answer a request for its member table.
    #[error("{0}: no answer: the node is down, or uses another fleet name or other keys")]
    NoSnapshot(SocketAddr),
    /// The node did not reply to an operator command.
    #[error("{0}: no answer: the node is down, does not accept commands, or uses other keys")]
    NoCommandReply(SocketAddr),
}

/// Client of one node.
pub struct NodeQuery {
    socket: UdpSocket,
    node: SocketAddr,
    observer: Observer,
    topic: u32,
    started: Instant,
}

impl NodeQuery {
    /// Creates a client for the member table of the node with the UDP address `node`.
    pub fn new(settings: &Path, node: SocketAddr) -> Result<NodeQuery, NodeQueryError> {
        let translator = serve::read(settings, &ValidationContext::permissive())
            .map_err(NodeQueryError::InvalidSettings)?;
        let cluster = translator
            .cluster
            .ok_or_else(|| NodeQueryError::NoCluster(settings.to_owned()))?;
        let keys = serve::read_keys(settings, &cluster)?;
        let any: SocketAddr = if node.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            ([0u16; 8], 0).into()
        };
        let socket = UdpSocket::bind(any).map_err(NodeQueryError::Socket)?;
        socket
            .set_read_timeout(Some(ANSWER_TIMEOUT))
            .map_err(NodeQueryError::Socket)?;
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |t| t.as_nanos() as u64);
        let observer = Observer::new(
            &cluster.name,
            keys,
            seed ^ u64::from(std::process::id()) << 40,
            cluster.timing.skew,
        );
        Ok(NodeQuery {
            socket,
            node,
            observer,
            topic: 0,
            started: Instant::now(),
        })
    }

    /// Creates a client for the status and the operator commands of another package, given by its
    /// topic.
    pub fn for_topic(
        settings: &Path,
        node: SocketAddr,
        topic: u32,
    ) -> Result<NodeQuery, NodeQueryError> {
        let mut query = NodeQuery::new(settings, node)?;
        query.observer = query.observer.for_topic(topic);
        query.topic = topic;
        query
            .socket
            .set_read_timeout(Some(PAGE_TIMEOUT))
            .map_err(NodeQueryError::Socket)?;
        Ok(query)
    }

    /// Requests the member table and the node's report on itself. Blocks until all pages have
    /// arrived or a page has been requested [`MAX_SNAPSHOT_RETRIES`] times again.
    pub fn request_snapshot(&mut self) -> Result<NodeSnapshot, NodeQueryError> {
        let (mut buffer, mut retries) = ([0; DATAGRAM_MAX + 1], 0);
        loop {
            self.send_page_request()?;
            let until = Instant::now() + ANSWER_TIMEOUT;
            loop {
                let page = self.socket.recv_from(&mut buffer).ok().and_then(|(n, _)| {
                    let now = self.elapsed();
                    self.observer.on_datagram(now, unix_ms(), &buffer[..n]).ok()
                });
                match page {
                    Some((_, Some(snapshot))) => return Ok(snapshot),
                    Some((true, None)) => {
                        retries = 0; // go on with the next page
                        break;
                    }
                    _ if Instant::now() < until => {}
                    _ => break,
                }
            }
            retries += 1;
            if retries > MAX_SNAPSHOT_RETRIES {
                return Err(NodeQueryError::NoSnapshot(self.node));
            }
        }
    }

    /// Requests all pages of the topic's status, each up to `tries` times. Returns `None` if a page
    /// does not arrive.
    pub fn request_status_pages(&mut self, tries: u32) -> Result<Option<Vec<u8>>, NodeQueryError> {
        let (mut buffer, mut tries_left) = ([0; DATAGRAM_MAX + 1], tries);
        while tries_left > 0 {
            tries_left -= 1;
            self.send_page_request()?;
            let until = Instant::now() + PAGE_TIMEOUT;
            while Instant::now() < until {
                let Ok((n, _)) = self.socket.recv_from(&mut buffer) else {
                    break;
                };
                let now = self.elapsed();
                match self.observer.on_status_page(now, unix_ms(), &buffer[..n]) {
                    Ok((_, Some(bytes))) => return Ok(Some(bytes)),
                    Ok((true, None)) => {
                        tries_left = tries; // go on with the next page
                        break;
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }

    /// Sends an operator command of the topic, up to [`MAX_COMMAND_TRIES`] times, and returns the
    /// reply.
    pub fn send_command(&mut self, command: &[u8]) -> Result<Vec<u8>, NodeQueryError> {
        let mut buffer = [0; DATAGRAM_MAX + 1];
        for _ in 0..MAX_COMMAND_TRIES {
            let frame = self.observer.command(unix_ms(), self.topic, command);
            self.send(&frame)?;
            let until = Instant::now() + ANSWER_TIMEOUT;
            while Instant::now() < until {
                let Ok((n, _)) = self.socket.recv_from(&mut buffer) else {
                    continue;
                };
                let now = self.elapsed();
                if let Ok(Some(reply)) = self.observer.command_reply(now, unix_ms(), &buffer[..n]) {
                    return Ok(reply);
                }
            }
        }
        Err(NodeQueryError::NoCommandReply(self.node))
    }

    fn send_page_request(&mut self) -> Result<(), NodeQueryError> {
        let request = self.observer.request(unix_ms());
        self.send(&request)
    }

    fn send(&self, frame: &[u8]) -> Result<(), NodeQueryError> {
        match self.socket.send_to(frame, self.node) {
            Ok(_) => Ok(()),
            Err(source) => Err(NodeQueryError::Send {
                node: self.node,
                source,
            }),
        }
    }

    fn elapsed(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
