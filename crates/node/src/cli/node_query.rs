//! A UDP client of a running node: requests its status pages and sends it operator commands. The
//! commands `fleet`, `shared` and `rollout` use it. Datagrams are authenticated with the cluster's
//! keys, which the settings name; what gets lost is sent again a bounded number of times.

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

/// Longest wait for an answer to one datagram, before it is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a page of another package's status: the node has it made ready by the first request.
const PAGE_TIMEOUT: Duration = Duration::from_millis(60);
/// How often each page of the member table is requested again before the node is given up.
const MAX_SNAPSHOT_RETRIES: u32 = 6;
/// How often an operator command is sent before the node is given up.
const MAX_COMMAND_TRIES: u32 = 10;

/// Why a node could not be queried.
#[derive(Debug, Error)]
pub enum NodeQueryError {
    /// The settings have errors.
    #[error("{0}")]
    InvalidSettings(Diagnostics),
    /// The settings have no cluster.
    #[error("{}: no <fleet>", .0.display())]
    NoCluster(PathBuf),
    /// The cluster's keys can't be read.
    #[error(transparent)]
    Keys(#[from] SettingsError),
    /// There is no socket to send from.
    #[error("no socket: {0}")]
    Socket(io::Error),
    /// A datagram could not be sent.
    #[error("{node}: {source}")]
    Send {
        /// Where the node listens.
        node: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// No page of the member table came.
    #[error("{0}: no answer: nobody is there, or the fleet's name or keys are others")]
    NoSnapshot(SocketAddr),
    /// No reply to an operator command came.
    #[error("{0}: no answer: nobody is there, it takes no orders, or the keys are others")]
    NoCommandReply(SocketAddr),
}

/// A client of one node.
pub struct NodeQuery {
    socket: UdpSocket,
    node: SocketAddr,
    observer: Observer,
    topic: u32,
    started: Instant,
}

impl NodeQuery {
    /// A client for the member table of the node that listens at `node`.
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

    /// A client for the status and the operator commands of another package, by its topic.
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

    /// Requests the member table with the node's report on itself.
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
                        retries = 0; // the next page
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

    /// Requests all pages of the topic's status, each up to `tries` times; none if a page does not
    /// come.
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
                        tries_left = tries; // the next page
                        break;
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }

    /// Sends an operator command of the topic until its reply comes.
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
