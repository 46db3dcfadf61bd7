//! Entry of a member, and the order of precedence between updates about it.
//!
//! Of two incarnations of a name, the later one wins (by start time, then by number). Within an
//! incarnation, the liveness state increases by refutation number and then by liveness, and the
//! details increase by revision; neither ever decreases. Only the member itself raises its
//! refutation number or its revision. Updates may therefore arrive in any order, repeatedly or
//! late: nodes that have received the same updates agree.

use crate::messages::{self, AttachmentMessage, DetailsMessage, MemberUpdate};
use prost::Message;
use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::Hasher;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Maximum length of a member's name, in bytes.
pub const NAME_MAX: usize = 64;
/// Maximum length of a zone's name, in bytes.
pub const ZONE_MAX: usize = 32;
/// Maximum length of a program version, in bytes.
pub const PROGRAM_MAX: usize = 32;
/// Maximum number of attachments of a member.
pub const ATTACHMENTS_MAX: usize = 8;
/// Maximum size of a member's encoded details, in bytes.
pub const DETAILS_MAX: usize = 400;

/// Returns the SipHash-2-4 of the parts, with fixed keys that are part of the wire format.
pub(crate) fn hash(bytes: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0x6d61_6464_6572_706f, 0x696e_742d_666c_6565);
    for part in bytes {
        hasher.write(part);
    }
    hasher.finish()
}

/// Hash of a member's name. Names whose hashes collide are treated as the same member; with 10,000
/// members the probability of a collision is 3e-12.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u64);

impl MemberKey {
    /// Returns the key of a name. The key is never 0, which is [`MemberKey::NONE`].
    pub fn of(name: &str) -> MemberKey {
        MemberKey(hash(&[name.as_bytes()]).max(1))
    }

    /// Key that belongs to no member.
    pub const NONE: MemberKey = MemberKey(0);
}

/// Random number that identifies one process of a member, from its start to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Start time and number of an incarnation, which order the incarnations of a name: a later start
/// takes precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    /// Start time by the member's own clock, in Unix milliseconds. A member that has received a
    /// later start time for its name uses that time plus 1 ms instead.
    pub started_unix_ms: u64,
    /// Random number of the incarnation; the higher number wins between equal start times.
    pub incarnation: Incarnation,
}

/// Liveness of a member. Of two states with equal refutation numbers, the later variant wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// The member responds.
    #[default]
    Alive,
    /// The member did not respond, and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time and was declared dead.
    Dead,
    /// The member announced that it leaves the cluster.
    Left,
}

impl Liveness {
    /// Returns whether the member counts as present (alive or suspect).
    pub fn is_present(self) -> bool {
        matches!(self, Liveness::Alive | Liveness::Suspect)
    }

    pub(crate) fn number(self) -> u32 {
        self as u32
    }

    pub(crate) fn from_number(number: u32) -> Option<Liveness> {
        [
            Liveness::Alive,
            Liveness::Suspect,
            Liveness::Dead,
            Liveness::Left,
        ]
        .get(number as usize)
        .copied()
    }

    /// Returns the name of the liveness in logs and tables.
    pub fn as_str(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// Liveness of a member within an incarnation, ordered by refutation number and then by liveness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LivenessState {
    /// Refutation number, which the member itself raises each time it refutes a suspicion.
    pub refutation: u32,
    /// Liveness at that refutation number.
    pub liveness: Liveness,
}

/// Returns the refutation number with which a member refutes a report about itself; `None` if the
/// report does not take precedence over the member's own state.
pub fn refutes(own: LivenessState, reported: LivenessState) -> Option<u32> {
    (reported > own).then(|| reported.refutation.saturating_add(1))
}

/// Phase in the life of a member, from start to drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// The member has started and is still warming up.
    Cold,
    /// The member serves requests.
    #[default]
    Serving,
    /// The member answers the requests that it has read and accepts no new ones.
    Draining,
}

impl Phase {
    fn from_number(number: u32) -> Phase {
        match number {
            0 => Phase::Cold,
            2 => Phase::Draining,
            // Phases of later versions are read as serving, since the member responds.
            _ => Phase::Serving,
        }
    }

    /// Returns the name of the phase in logs and tables.
    pub fn as_str(self) -> &'static str {
        ["cold", "serving", "draining"][self as usize]
    }
}

/// Data that another package attaches to a member's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Identifier of the package that publishes the data.
    pub id: u32,
    /// Version of the data's format.
    pub version: u32,
    /// The data; empty data removes the attachment.
    pub bytes: Vec<u8>,
}

/// Details that a member publishes about itself. Nodes pass them on as the member encoded them, so
/// that fields of later versions survive nodes that do not know them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDetails {
    /// Address at which other nodes reach the member.
    pub address: SocketAddr,
    /// Zone of the member; may be empty.
    pub zone: Arc<str>,
    /// Phase that the member announces.
    pub phase: Phase,
    /// Version of the member's program.
    pub program: Arc<str>,
    /// Lowest and highest message version that the member reads.
    pub wire: (u32, u32),
    /// Version number and hash of the settings that the member has in force.
    pub settings: (u64, u64),
    /// Attachments of other packages, sorted by id.
    pub attachments: Vec<Attachment>,
    encoded: Box<[u8]>,
    hash: u64,
}

/// Error in the name or the details of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetailsError {
    /// The details are larger than [`DETAILS_MAX`] bytes or have more than [`ATTACHMENTS_MAX`]
    /// attachments.
    TooLarge,
    /// The details cannot be decoded.
    Unreadable,
    /// The address is unspecified, multicast or malformed, or its port is 0.
    BadAddress,
    /// The name, zone or program version is too long or not printable ASCII, or the name is empty.
    BadName,
}

impl fmt::Display for DetailsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DetailsError::TooLarge => "member details are too large or have too many attachments",
            DetailsError::Unreadable => "member details cannot be decoded",
            DetailsError::BadAddress => "member address is unspecified, multicast or malformed",
            DetailsError::BadName => "name is empty, too long or not printable ASCII",
        })
    }
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn address_from(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_at_checked(bytes.len().checked_sub(2)?)?;
    let ip: IpAddr = match ip.len() {
        4 => Ipv4Addr::from(<[u8; 4]>::try_from(ip).ok()?).into(),
        16 => Ipv6Addr::from(<[u8; 16]>::try_from(ip).ok()?).into(),
        _ => return None,
    };
    let port = u16::from_be_bytes(port.try_into().ok()?);
    (port > 0 && !ip.is_unspecified() && !ip.is_multicast()).then(|| SocketAddr::new(ip, port))
}

/// Returns whether a name is non-empty printable ASCII without spaces, of at most `bytes_max`
/// bytes, and so can be shown in logs and tables.
pub fn is_name(name: &str, bytes_max: usize) -> bool {
    !name.is_empty() && name.len() <= bytes_max && name.bytes().all(|b| b.is_ascii_graphic())
}

impl MemberDetails {
    /// Creates and encodes a member's details.
    ///
    /// # Errors
    /// If the details exceed a bound, or the address or a name is not valid.
    pub fn new(
        address: SocketAddr,
        zone: &str,
        phase: Phase,
        program: &str,
        wire: (u32, u32),
        settings: (u64, u64),
        attachments: Vec<Attachment>,
    ) -> Result<MemberDetails, DetailsError> {
        let details = DetailsMessage {
            address: address_bytes(address),
            zone: zone.to_owned(),
            phase: phase as u32,
            program: program.to_owned(),
            wire_least: wire.0,
            wire_most: wire.1,
            settings: settings.0,
            settings_hash: settings.1,
            attachments: attachments
                .into_iter()
                .map(|attachment| AttachmentMessage {
                    id: attachment.id,
                    version: attachment.version,
                    bytes: attachment.bytes,
                })
                .collect(),
        };
        MemberDetails::read(&messages::later(details.encode_to_vec()))
    }

    /// Decodes details. Unknown fields are kept in the encoded form, which is passed on.
    ///
    /// # Errors
    /// If the details cannot be decoded or exceed a bound, or the address or a name is not valid.
    pub fn read(encoded: &[u8]) -> Result<MemberDetails, DetailsError> {
        if encoded.len() > DETAILS_MAX {
            return Err(DetailsError::TooLarge);
        }
        let details = DetailsMessage::decode(encoded).map_err(|_| DetailsError::Unreadable)?;
        let address = address_from(&details.address).ok_or(DetailsError::BadAddress)?;
        let fits = |text: &str, bytes_max| text.is_empty() || is_name(text, bytes_max);
        if !fits(&details.zone, ZONE_MAX) || !fits(&details.program, PROGRAM_MAX) {
            return Err(DetailsError::BadName);
        }
        if details.attachments.len() > ATTACHMENTS_MAX {
            return Err(DetailsError::TooLarge);
        }
        let attachments = details.attachments.into_iter();
        Ok(MemberDetails {
            address,
            zone: details.zone.into(),
            phase: Phase::from_number(details.phase),
            program: details.program.into(),
            wire: (details.wire_least, details.wire_most),
            settings: (details.settings, details.settings_hash),
            attachments: attachments
                .map(|attachment| Attachment {
                    id: attachment.id,
                    version: attachment.version,
                    bytes: attachment.bytes,
                })
                .collect(),
            encoded: encoded.into(),
            hash: hash(&[encoded]),
        })
    }

    /// Returns the details as the member encoded them.
    pub fn encoded(&self) -> &[u8] {
        &self.encoded
    }

    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the approximate memory use, in bytes.
    pub fn bytes(&self) -> usize {
        let attachments: usize = self
            .attachments
            .iter()
            .map(|attachment| attachment.bytes.len() + size_of::<Attachment>())
            .sum();
        size_of::<MemberDetails>() + 2 * self.encoded.len() + attachments + 64
    }
}

/// Free capacity and load of a member, disseminated without a guarantee of delivery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Sequence number of the load hint within an incarnation; wraps around.
    pub number: u16,
    /// Free capacity, from 0 to 255.
    pub capacity: u8,
    /// Load, from 0 to 255.
    pub load: u8,
}

/// Entry of a member in the member table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Name of the member.
    pub name: Arc<str>,
    /// Latest known incarnation of the member.
    pub epoch: Epoch,
    /// Liveness and refutation number within the incarnation.
    pub liveness_state: LivenessState,
    /// Revision of the details within the incarnation.
    pub revision: u32,
    /// Address, zone, phase and the other details that the member publishes.
    pub details: Arc<MemberDetails>,
    /// Latest load hint received.
    pub load_hint: LoadHint,
    /// Time when the latest load hint was received; 0 if no load hint was received.
    pub load_hint_received: crate::Nanos,
    /// Time when the liveness last changed in this table.
    pub since: crate::Nanos,
    /// Value that the entry adds to digests while the member is present. It is cached because
    /// digests are compared often.
    pub(crate) digest_contribution: u64,
}

impl MemberEntry {
    /// Returns the liveness of the member within its latest known incarnation.
    pub fn liveness(&self) -> Liveness {
        self.liveness_state.liveness
    }

    /// Recomputes the value that the entry adds to digests. A suspicion does not change the value,
    /// since suspicions are temporary.
    pub(crate) fn update_digest_contribution(&mut self, key: MemberKey) {
        self.digest_contribution = hash(&[
            &key.0.to_le_bytes(),
            &self.epoch.started_unix_ms.to_le_bytes(),
            &self.epoch.incarnation.0.to_le_bytes(),
            &self.liveness_state.refutation.to_le_bytes(),
            &self.revision.to_le_bytes(),
            &self.details.hash().to_le_bytes(),
        ]);
    }

    /// Returns an update without name and details, for nodes that have these.
    pub(crate) fn header_update(&self, key: MemberKey) -> MemberUpdate {
        MemberUpdate {
            key: key.0,
            started_unix_ms: self.epoch.started_unix_ms,
            incarnation: self.epoch.incarnation.0,
            refutation: self.liveness_state.refutation,
            liveness: self.liveness_state.liveness.number(),
            revision: self.revision,
            ..MemberUpdate::default()
        }
    }

    /// Returns an update with name and details.
    pub(crate) fn full_update(&self, key: MemberKey) -> MemberUpdate {
        MemberUpdate {
            name: self.name.to_string(),
            details: self.details.encoded().to_vec(),
            ..self.header_update(key)
        }
    }
}

#[cfg(test)]
mod tests;
