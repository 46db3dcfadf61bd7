//! One who is no member and asks a node what it holds, by the keyed datagrams that members use. No
//! I/O: it says what to send, and is fed what comes.

use crate::Nanos;
use crate::datagram_auth::{AuthKeys, DatagramAuth, DropReason, observer};
use crate::member::{Liveness, MemberDetails, MemberKey, Phase};
use crate::wire::{Datagram, NodeReport, kind};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a node holds of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSnapshot {
    pub name: String,
    pub liveness: Liveness,
    pub address: SocketAddr,
    pub zone: String,
    pub phase: Phase,
    pub program: String,
    pub settings: (u64, u64),
    pub started_unix_ms: u64,
    pub incarnation: u64,
    pub refutation: u32,
    pub revision: u32,
    /// Room and load, where a word of them came.
    pub load_hint: Option<(u8, u8)>,
}

/// What a node holds.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// How it stands itself.
    pub report: NodeReport,
    pub digest: u64,
    pub members: BTreeMap<MemberKey, MemberSnapshot>,
}

/// Asks one node for all that it holds, page by page.
pub struct Observer {
    seal: DatagramAuth,
    number: u32,
    cursor: u64,
    holding: NodeSnapshot,
    /// What another package holds is asked for, and what has come of it.
    topic: u32,
    bytes: Vec<u8>,
}

/// The most bytes of what another package holds.
const BYTES_MAX: usize = 64 << 10;

impl Observer {
    /// For a node of this fleet. Its life is drawn from the seed.
    pub fn new(fleet: &str, keys: AuthKeys, seed: u64, skew: Nanos) -> Observer {
        Observer {
            seal: DatagramAuth::new(fleet, keys, observer(seed), skew, 64),
            number: 0,
            cursor: 0,
            holding: NodeSnapshot::default(),
            topic: 0,
            bytes: Vec::new(),
        }
    }

    /// Asks for what another package holds from now on, in place of the view.
    pub fn about(mut self, topic: u32) -> Observer {
        self.topic = topic;
        self
    }

    /// The question to send: the next page, or the same one again.
    pub fn question(&mut self, unix_ms: u64) -> Vec<u8> {
        self.number += 1;
        let (number, cursor, topic) = (self.number, self.cursor, self.topic);
        let datagram = Datagram {
            kind: kind::SHOW,
            number,
            cursor,
            topic,
            ..Datagram::default()
        };
        self.seal.seal(unix_ms, &datagram.encode_to_vec())
    }

    /// An order to another package, to send; or the same one again.
    pub fn order(&mut self, unix_ms: u64, topic: u32, order: &[u8]) -> Vec<u8> {
        self.number += 1;
        self.topic = topic;
        let (kind, number, payload) = (kind::ORDER, self.number, order.to_vec());
        self.seal.seal(
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

    /// A datagram came; gives what became of the last order, if that is it.
    pub fn answer_order(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let (_, message) = self.seal.open(now, unix_ms, frame)?;
        let answer = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        let is_it = answer.kind == kind::ORDERED
            && answer.number == self.number
            && answer.topic == self.topic;
        Ok(is_it.then_some(answer.payload))
    }

    /// A datagram came; gives all that another package holds once the last page is there, and
    /// whether this was the page that was asked for. Nodes that know nothing of such pages answer
    /// with their view, which is none.
    pub fn page(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<(bool, Option<Vec<u8>>), DropReason> {
        let (_, message) = self.seal.open(now, unix_ms, frame)?;
        let page = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        if page.kind != kind::PAGE || page.number != self.number || page.topic != self.topic {
            return Ok((false, None));
        }
        if self.cursor == 0 {
            self.bytes.clear();
        }
        self.bytes.extend_from_slice(&page.payload);
        self.cursor = page.cursor;
        let done = self.cursor == 0 || self.bytes.len() > BYTES_MAX;
        Ok((true, done.then(|| std::mem::take(&mut self.bytes))))
    }

    /// A datagram came; gives all that the node holds once the last page is there, and whether this
    /// was the page that was asked for.
    pub fn datagram(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &[u8],
    ) -> Result<(bool, Option<NodeSnapshot>), DropReason> {
        let (_, message) = self.seal.open(now, unix_ms, frame)?;
        let page = Datagram::decode(message).map_err(|_| DropReason::Unreadable)?;
        if page.kind != kind::PAGE || page.number != self.number {
            return Ok((false, None));
        }
        if let Some(report) = page.report {
            self.holding.report = report;
        }
        self.holding.digest = page.digest;
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
            let shown = MemberSnapshot {
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
            self.holding.members.insert(MemberKey(updates.key), shown);
        }
        self.cursor = page.cursor;
        let done = self.cursor == 0;
        Ok((true, done.then(|| std::mem::take(&mut self.holding))))
    }
}
