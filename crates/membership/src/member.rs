//! What is known of one member, and which of two updates about it takes precedence.
//!
//! For a name, the later incarnation wins (by start time, then by number). Within an incarnation,
//! liveness state and details only grow: the liveness state by refutation number and then by
//! liveness, the details by revision. Only the member itself raises its refutation number or its
//! revision. Updates may therefore arrive in any order, twice or late: nodes that have received the
//! same updates agree.

use crate::messages::{self, AttachmentMessage, DetailsMessage, MemberUpdate};
use prost::Message;
use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::Hasher;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Longest name of a member, in bytes.
pub const NAME_MAX: usize = 64;
/// Longest name of a zone, in bytes.
pub const ZONE_MAX: usize = 32;
/// Longest program version, in bytes.
pub const PROGRAM_MAX: usize = 32;
/// Attachments of a member at most.
pub const ATTACHMENTS_MAX: usize = 8;
/// Encoded bytes of a member's details at most.
pub const DETAILS_MAX: usize = 400;

/// SipHash-2-4 with fixed keys that are part of the wire format.
pub(crate) fn hash(bytes: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0x6d61_6464_6572_706f, 0x696e_742d_666c_6565);
    for part in bytes {
        hasher.write(part);
    }
    hasher.finish()
}

/// Hash of a member's name. Names that collide are taken for one; with 10,000 members the
/// probability is 3e-12.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u64);

impl MemberKey {
    /// The key of a name; never 0, which is [`MemberKey::NONE`].
    pub fn of(name: &str) -> MemberKey {
        MemberKey(hash(&[name.as_bytes()]).max(1))
    }

    /// No member.
    pub const NONE: MemberKey = MemberKey(0);
}

/// One process of a member, from start to end; a random number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Order of the incarnations of a name: a later start takes precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    /// Start time by the member's own clock, in Unix milliseconds, or one more than the highest that
    /// it received for its name.
    pub started_unix_ms: u64,
    /// The process; decides between equal start times.
    pub incarnation: Incarnation,
}

/// Liveness of a member. With equal refutation numbers the later variant wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// It responds.
    #[default]
    Alive,
    /// It did not respond, and may refute the suspicion.
    Suspect,
    /// It did not refute in time: declared dead.
    Dead,
    /// It announced that it left.
    Left,
}

impl Liveness {
    /// Whether it counts as a present member (alive or suspect).
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

    /// Its name in logs and tables.
    pub fn as_str(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// Liveness within an incarnation, ordered by refutation number and then by liveness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LivenessState {
    /// Raised by the member itself each time it contradicts a suspicion.
    pub refutation: u32,
    /// Liveness at that refutation number.
    pub liveness: Liveness,
}

/// The refutation number by which a member contradicts what others report of it; `None` where the
/// report would not take precedence over its own state.
pub fn refutes(own: LivenessState, reported: LivenessState) -> Option<u32> {
    (reported > own).then(|| reported.refutation.saturating_add(1))
}

/// Phase of a member's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Started and still warming up.
    Cold,
    /// Serving.
    #[default]
    Serving,
    /// Draining: it answers what it has read and takes nothing new.
    Draining,
}

impl Phase {
    fn from_number(number: u32) -> Phase {
        match number {
            0 => Phase::Cold,
            2 => Phase::Draining,
            // Phases of later versions are read as serving: the member exists and responds.
            _ => Phase::Serving,
        }
    }

    /// Its name in logs and tables.
    pub fn as_str(self) -> &'static str {
        ["cold", "serving", "draining"][self as usize]
    }
}

/// Data that another package attaches to a member's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Number of the package.
    pub id: u32,
    /// Version of the format.
    pub version: u32,
    /// The data; empty removes the attachment.
    pub bytes: Vec<u8>,
}

/// What a member publishes about itself. It is passed on as the member encoded it, so that fields
/// of later versions survive nodes that do not know them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDetails {
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: Arc<str>,
    /// Phase of its life.
    pub phase: Phase,
    /// Version of its program.
    pub program: Arc<str>,
    /// Lowest and highest datagram version that it reads.
    pub wire: (u32, u32),
    /// Number and hash of its settings.
    pub settings: (u64, u64),
    /// Attachments by id.
    pub attachments: Vec<Attachment>,
    encoded: Box<[u8]>,
    hash: u64,
}

/// Why details can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetailsError {
    /// Larger than [`DETAILS_MAX`] bytes, or more than [`ATTACHMENTS_MAX`] attachments.
    TooLarge,
    /// The encoding is broken.
    Unreadable,
    /// The address is unspecified, multicast or malformed.
    BadAddress,
    /// A name is empty, too long or not printable ASCII.
    BadName,
}

impl fmt::Display for DetailsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DetailsError::TooLarge => "an entry is too large",
            DetailsError::Unreadable => "an entry can't be read",
            DetailsError::BadAddress => "an entry's address can't be used",
            DetailsError::BadName => "an entry's name can't be used",
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

/// Whether a name is non-empty printable ASCII of at most `most` bytes, fit for logs and tables.
pub fn is_name(name: &str, most: usize) -> bool {
    !name.is_empty() && name.len() <= most && name.bytes().all(|b| b.is_ascii_graphic())
}

impl MemberDetails {
    /// Encodes a member's details.
    ///
    /// # Errors
    /// Where they exceed a bound.
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
                .map(|p| AttachmentMessage {
                    id: p.id,
                    version: p.version,
                    bytes: p.bytes,
                })
                .collect(),
        };
        MemberDetails::read(&messages::later(details.encode_to_vec()))
    }

    /// Decodes details. Unknown fields stay in what is passed on.
    ///
    /// # Errors
    /// Where the encoding is broken or exceeds a bound.
    pub fn read(encoded: &[u8]) -> Result<MemberDetails, DetailsError> {
        if encoded.len() > DETAILS_MAX {
            return Err(DetailsError::TooLarge);
        }
        let details = DetailsMessage::decode(encoded).map_err(|_| DetailsError::Unreadable)?;
        let address = address_from(&details.address).ok_or(DetailsError::BadAddress)?;
        let fits = |text: &str, most| text.is_empty() || is_name(text, most);
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
                .map(|p| Attachment {
                    id: p.id,
                    version: p.version,
                    bytes: p.bytes,
                })
                .collect(),
            encoded: encoded.into(),
            hash: hash(&[encoded]),
        })
    }

    /// The details as the member encoded them.
    pub fn encoded(&self) -> &[u8] {
        &self.encoded
    }

    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Approximate memory in bytes.
    pub fn bytes(&self) -> usize {
        let attachments: usize = self
            .attachments
            .iter()
            .map(|p| p.bytes.len() + size_of::<Attachment>())
            .sum();
        size_of::<MemberDetails>() + 2 * self.encoded.len() + attachments + 64
    }
}

/// Free capacity and load of a member, spread without a promise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Sequence number within an incarnation; wraps.
    pub number: u16,
    /// Free capacity, of 255.
    pub capacity: u8,
    /// Load, of 255.
    pub load: u8,
}

/// All that is known of a member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Its present incarnation.
    pub epoch: Epoch,
    /// Its liveness.
    pub liveness_state: LivenessState,
    /// Revision of its details within the incarnation.
    pub revision: u32,
    /// Its details.
    pub details: Arc<MemberDetails>,
    /// The latest load hint.
    pub load_hint: LoadHint,
    /// When that was received; 0 if none was.
    pub load_hint_received: crate::Nanos,
    /// When its liveness last changed here.
    pub since: crate::Nanos,
    /// What it adds to digests while it is present; cached, as digests are compared often.
    pub(crate) digest_contribution: u64,
}

impl MemberEntry {
    /// Its liveness.
    pub fn liveness(&self) -> Liveness {
        self.liveness_state.liveness
    }

    /// Recomputes what it adds to digests. Suspicion adds nothing, since it passes.
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

    /// An update without name and details, for nodes that have them.
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

    /// An update with name and details.
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
