//! An observer: a tool that is no member and requests a node's status over the authenticated
//! datagrams. No I/O: it returns what to send and is fed what arrives.

use crate::Nanos;
use crate::datagram_auth::{AuthKeys, DatagramAuth, DropReason, observer_incarnation};
use crate::member::{Liveness, MemberDetails, MemberKey, Phase};
use crate::messages::{Datagram, NodeReport, kind};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A member as a node knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSnapshot {
    /// Its name.
    pub name: String,
    /// Its liveness.
    pub liveness: Liveness,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its phase.
    pub phase: Phase,
    /// Version of its program.
    pub program: String,
    /// Number and hash of its settings.
    pub settings: (u64, u64),
    /// Start time in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Its process.
    pub incarnation: u64,
    /// Its refutation number.
    pub refutation: u32,
    /// Revision of its details.
    pub revision: u32,
    /// Free capacity and load, of 255, where known.
    pub load_hint: Option<(u8, u8)>,
}

/// A node's status: its own report and its member table.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// The node's report of itself.
    pub report: NodeReport,
    /// Digest of its member table.
    pub digest: u64,
    /// Its member table.
    pub members: BTreeMap<MemberKey, MemberSnapshot>,
}

/// Requests the status of one node, page by page.
pub struct Observer {
    datagram_auth: DatagramAuth,
    number: u32,
    cursor: u64,
    snapshot: NodeSnapshot,
    /// The package whose status is requested (0: membership itself), and its pages so far.
    topic: u32,
    bytes: Vec<u8>,
}

/// Bytes of another package's status at most.
const STATUS_BYTES_MAX: usize = 64 << 10;

impl Observer {
    /// An observer of a cluster; its incarnation is derived from the seed.
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

    /// Requests the status of another package in place of the member table.
    pub fn for_topic(mut self, topic: u32) -> Observer {
        self.topic = topic;
        self
    }

    /// The datagram that requests the next page, or the same page again.
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

    /// The datagram that carries an operator's command to another package.
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

    /// Handles a received datagram; returns the reply to the last command if this is it.
    ///
    /// # Errors
    /// The reason to drop it.
    pub fn command_reply(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let (_, message) = self.datagram_auth.open(now, unix_ms, frame)?;
        let answer = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        let is_reply = answer.kind == kind::COMMAND_REPLY
            && answer.number == self.number
            && answer.topic == self.topic;
        Ok(is_reply.then_some(answer.payload))
    }

    /// Handles a received datagram; returns whether it was the requested page of another package's
    /// status, and the whole status after the last page.
    ///
    /// # Errors
    /// The reason to drop it.
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
    /// and the whole snapshot after the last page.
    ///
    /// # Errors
    /// The reason to drop it.
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
        for (at, updates) in page.updates.iter().enumerate() {
            let Ok(details) = MemberDetails::read(&updates.details) else {
                continue;
            };
            let load_hint = page
                .load_hints
                .as_chunks::<8>()
                .0
                .get(at)
                .filter(|p| p[4..6] != [0, 0]);
            let member = MemberSnapshot {
                name: updates.name.clone(),
                liveness: Liveness::from_number(updates.liveness).unwrap_or_default(),
                address: details.address,
                zone: details.zone.to_string(),
                phase: details.phase,
                program: details.program.to_string(),
                settings: details.settings,
                started_unix_ms: updates.started_unix_ms,
                incarnation: updates.incarnation,
                refutation: updates.refutation,
                revision: updates.revision,
                load_hint: load_hint.map(|p| (p[6], p[7])),
            };
            self.snapshot.members.insert(MemberKey(updates.key), member);
        }
        self.cursor = page.cursor;
        let done = self.cursor == 0;
        Ok((true, done.then(|| std::mem::take(&mut self.snapshot))))
    }
}
