//! Observer: a client that is not a member and requests the status of a node over authenticated
//! datagrams. It does no I/O: it returns the datagrams to send and takes the received ones.

use crate::Nanos;
use crate::datagram_auth::{AuthKeys, DatagramAuth, DropReason, observer_incarnation};
use crate::member::{Liveness, MemberDetails, MemberKey, Phase};
use crate::messages::{Datagram, NodeReport, kind};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entry of a member in the member table of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSnapshot {
    /// Name of the member.
    pub name: String,
    /// Liveness of the member.
    pub liveness: Liveness,
    /// Address at which other nodes reach the member.
    pub address: SocketAddr,
    /// Zone of the member; may be empty.
    pub zone: String,
    /// Phase that the member announces.
    pub phase: Phase,
    /// Version of the member's program.
    pub program: String,
    /// Version number and hash of the settings that the member has in force.
    pub settings: (u64, u64),
    /// Start time of the incarnation, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Random number of the incarnation.
    pub incarnation: u64,
    /// Refutation number of the member.
    pub refutation: u32,
    /// Revision of the member's details.
    pub revision: u32,
    /// Free capacity and load, each from 0 to 255; `None` if the node has no load hint.
    pub load_hint: Option<(u8, u8)>,
}

/// Status of a node: its report about itself and its member table.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// Report of the node about itself.
    pub report: NodeReport,
    /// Digest of the node's member table.
    pub digest: u64,
    /// Entries of the node's member table.
    pub members: BTreeMap<MemberKey, MemberSnapshot>,
}

/// Requests the status of one node, page by page.
pub struct Observer {
    datagram_auth: DatagramAuth,
    number: u32,
    cursor: u64,
    snapshot: NodeSnapshot,
    /// Identifier of the package whose status is requested; 0 for the member table.
    topic: u32,
    /// Pages of another package's status received so far.
    bytes: Vec<u8>,
}

/// Size of another package's status, in bytes, beyond which no further page is requested.
const STATUS_BYTES_MAX: usize = 64 << 10;

impl Observer {
    /// Creates an observer of a cluster. Its incarnation is derived from the seed.
    pub fn new(cluster: &str, keys: AuthKeys, seed: u64, skew: Nanos) -> Observer {
        Observer {
            datagram_auth: DatagramAuth::new(cluster, keys, observer_incarnation(seed), skew, 64),
            number: 0,
            cursor: 0,
            snapshot: NodeSnapshot::default(),
            topic: 0,
            bytes: Vec::new(),
        }
    }

    /// Makes the observer request the status of another package in place of the member table.
    pub fn for_topic(mut self, topic: u32) -> Observer {
        self.topic = topic;
        self
    }

    /// Returns the datagram that requests the next page, or the same page again if no reply came.
    pub fn request(&mut self, unix_ms: u64) -> Vec<u8> {
        self.number += 1;
        let (number, cursor, topic) = (self.number, self.cursor, self.topic);
        let datagram = Datagram {
            kind: kind::SHOW,
            number,
            cursor,
            topic,
            ..Datagram::default()
        };
        self.datagram_auth.seal(unix_ms, &datagram.encode_to_vec())
    }

    /// Returns the datagram that carries an operator's command to another package.
    pub fn command(&mut self, unix_ms: u64, topic: u32, command: &[u8]) -> Vec<u8> {
        self.number += 1;
        self.topic = topic;
        let (kind, number, payload) = (kind::COMMAND, self.number, command.to_vec());
        self.datagram_auth.seal(
            unix_ms,
            &Datagram {
                kind,
                number,
                topic,
                payload,
                ..Datagram::default()
            }
            .encode_to_vec(),
        )
    }

    /// Handles a received datagram; returns its payload if it is the reply to the last command.
    ///
    /// # Errors
    /// The reason why the datagram is dropped.
    pub fn command_reply(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let (_, message) = self.datagram_auth.open(now, unix_ms, frame)?;
        let reply = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        let is_reply = reply.kind == kind::COMMAND_REPLY
            && reply.number == self.number
            && reply.topic == self.topic;
        Ok(is_reply.then_some(reply.payload))
    }

    /// Handles a received datagram; returns whether it was the requested page of another package's
    /// status, and the complete status after the last page.
    ///
    /// # Errors
    /// The reason why the datagram is dropped.
    pub fn on_status_page(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<(bool, Option<Vec<u8>>), DropReason> {
        let (_, message) = self.datagram_auth.open(now, unix_ms, frame)?;
        let page = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        if page.kind != kind::PAGE || page.number != self.number || page.topic != self.topic {
            return Ok((false, None));
        }
        if self.cursor == 0 {
            self.bytes.clear();
        }
        self.bytes.extend_from_slice(&page.payload);
        self.cursor = page.cursor;
        let done = self.cursor == 0 || self.bytes.len() > STATUS_BYTES_MAX;
        Ok((true, done.then(|| std::mem::take(&mut self.bytes))))
    }

    /// Handles a received datagram; returns whether it was the requested page of the member table,
    /// and the complete snapshot after the last page.
    ///
    /// # Errors
    /// The reason why the datagram is dropped.
    pub fn on_datagram(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<(bool, Option<NodeSnapshot>), DropReason> {
        let (_, message) = self.datagram_auth.open(now, unix_ms, frame)?;
        let page = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        if page.kind != kind::PAGE || page.number != self.number {
            return Ok((false, None));
        }
        if let Some(report) = page.report {
            self.snapshot.report = report;
        }
        self.snapshot.digest = page.digest;
        for (index, update) in page.updates.iter().enumerate() {
            let Ok(details) = MemberDetails::read(&update.details) else {
                continue;
            };
            let load_hint = page
                .load_hints
                .as_chunks::<8>()
                .0
                .get(index)
                .filter(|hint| hint[4..6] != [0, 0]);
            let member = MemberSnapshot {
                name: update.name.clone(),
                liveness: Liveness::from_number(update.liveness).unwrap_or_default(),
                address: details.address,
                zone: details.zone.to_string(),
                phase: details.phase,
                program: details.program.to_string(),
                settings: details.settings,
                started_unix_ms: update.started_unix_ms,
                incarnation: update.incarnation,
                refutation: update.refutation,
                revision: update.revision,
                load_hint: load_hint.map(|hint| (hint[6], hint[7])),
            };
            self.snapshot.members.insert(MemberKey(update.key), member);
        }
        self.cursor = page.cursor;
        let done = self.cursor == 0;
        Ok((true, done.then(|| std::mem::take(&mut self.snapshot))))
    }
}
