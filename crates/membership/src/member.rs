//! What is known of one member, and which of two things said of it holds.
//!
//! Of a name, the later life holds (by the time of its start, then by its number); within a life,
//! standing and details are two values that only grow: the standing by bump and then by status, the
//! details by their revision. Only the member itself raises its bump or its revision. So all that
//! is said of it may come in any order, twice or late, and whoever has heard the same holds the
//! same.

use crate::wire::{self, AttachmentMessage, DetailsMessage, MemberUpdate};
use prost::Message;
use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::Hasher;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Bounds on what a member may say of itself.
pub const NAME_MAX: usize = 64;
pub const ZONE_MAX: usize = 32;
pub const PROGRAM_MAX: usize = 32;
pub const ATTACHMENTS_MAX: usize = 8;
/// Bytes of all its details as they travel.
pub const DETAILS_MAX: usize = 400;

/// SipHash-2-4 with these keys; both are part of the format.
pub(crate) fn hash(bytes: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0x6d61_6464_6572_706f, 0x696e_742d_666c_6565);
    for part in bytes {
        hasher.write(part);
    }
    hasher.finish()
}

/// A member's name, hashed. Two names that share one are taken for one; at 10,000 members the
/// chance is 3e-12.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u64);

impl MemberKey {
    /// The key of this name; never 0, which stands for nobody.
    pub fn of(name: &str) -> MemberKey {
        MemberKey(hash(&[name.as_bytes()]).max(1))
    }

    /// Stands for nobody.
    pub const NONE: MemberKey = MemberKey(0);
}

/// One process, from its start to its end; drawn by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// A life, placed among the others of its name by when it began. A later start holds over an
/// earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    /// Unix milliseconds of the start, by the member's own clock, or one more than the highest that
    /// it heard of its name.
    pub started_unix_ms: u64,
    /// The process.
    pub incarnation: Incarnation,
}

/// Whether a member is held to be there. Within a bump the later word holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// It is there.
    #[default]
    Alive,
    /// It did not answer, and may say that it is there.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It said that it was leaving.
    Left,
}

impl Liveness {
    /// Whether it counts as a member.
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

    /// Its word, as logs and tables show it.
    pub fn as_str(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// A standing within a life: a member that refutes raises the bump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LivenessState {
    pub refutation: u32,
    pub liveness: Liveness,
}

/// What a member that stands so does when it hears that it is held to stand otherwise: it says that
/// it is there (or that it left) by a higher bump, where the word that it heard would hold over its
/// own.
pub fn refutes(own: LivenessState, apply_update: LivenessState) -> Option<u32> {
    (apply_update > own).then(|| apply_update.refutation.saturating_add(1))
}

/// What a member is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Started, and not yet warm.
    Cold,
    /// At work.
    #[default]
    Serving,
    /// DetailsMessage to leave: it answers what it has read.
    Draining,
}

impl Phase {
    fn from_number(number: u32) -> Phase {
        match number {
            0 => Phase::Cold,
            2 => Phase::Draining,
            // A phase that a later version knows is read as at work: it is there and answers.
            _ => Phase::Serving,
        }
    }

    /// Its word.
    pub fn as_str(self) -> &'static str {
        ["cold", "serving", "draining"][self as usize]
    }
}

/// Something that another package hangs on an entry, by its own number and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    pub id: u32,
    pub version: u32,
    pub bytes: Vec<u8>,
}

/// What a member says of itself. It travels as the member wrote it, so that what a later version
/// adds passes through nodes that do not know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDetails {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: Arc<str>,
    pub phase: Phase,
    /// The version of its program.
    pub program: Arc<str>,
    /// Versions of the datagrams that it reads, the least and the most.
    pub wire: (u32, u32),
    /// The number and the hash of its settings.
    pub settings: (u64, u64),
    pub attachments: Vec<Attachment>,
    raw: Box<[u8]>,
    hash: u64,
}

/// Why details were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetailsError {
    TooLarge,
    Unreadable,
    BadAddress,
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

/// A name that may stand in a line of the log and in a table.
pub fn is_name(name: &str, most: usize) -> bool {
    !name.is_empty() && name.len() <= most && name.bytes().all(|b| b.is_ascii_graphic())
}

impl MemberDetails {
    /// What a member says of itself now.
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
        MemberDetails::read(&wire::later(details.encode_to_vec()))
    }

    /// Reads what a member said. Fields that are not known stay in what is passed on.
    pub fn read(raw: &[u8]) -> Result<MemberDetails, DetailsError> {
        if raw.len() > DETAILS_MAX {
            return Err(DetailsError::TooLarge);
        }
        let details = DetailsMessage::decode(raw).map_err(|_| DetailsError::Unreadable)?;
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
            raw: raw.into(),
            hash: hash(&[raw]),
        })
    }

    /// The details as they travel.
    pub fn raw(&self) -> &[u8] {
        &self.raw
    }

    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Bytes that they take here, roughly.
    pub fn bytes(&self) -> usize {
        let attachments: usize = self
            .attachments
            .iter()
            .map(|p| p.bytes.len() + size_of::<Attachment>())
            .sum();
        size_of::<MemberDetails>() + 2 * self.raw.len() + attachments + 64
    }
}

/// Room and load, spread without a promise: the latest word of each member that came by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// MemberCounts the words of one life.
    pub number: u16,
    /// Room left, and load, each of 255.
    pub capacity: u8,
    pub load: u8,
}

/// What is known of a member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub name: Arc<str>,
    pub epoch: Epoch,
    pub liveness_state: LivenessState,
    /// MemberCounts what it said of itself in this life.
    pub revision: u32,
    pub details: Arc<MemberDetails>,
    /// The latest word of its room and load, and when it came; 0 if none did.
    pub load_hint: LoadHint,
    pub load_hint_received: crate::Nanos,
    /// When its status here became what it is.
    pub since: crate::Nanos,
    /// What it adds to digests while it is present; kept, as hashing a thousand entries for each
    /// comparison took most of it.
    pub(crate) digest_contribution: u64,
}

impl MemberEntry {
    pub fn liveness(&self) -> Liveness {
        self.liveness_state.liveness
    }

    /// Works out what it adds to digests. Suspicion adds nothing, for it passes.
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

    /// The news of it without name and details, for those who have them.
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

    /// All that is known of it.
    pub(crate) fn full_update(&self, key: MemberKey) -> MemberUpdate {
        MemberUpdate {
            name: self.name.to_string(),
            details: self.details.raw().to_vec(),
            ..self.header_update(key)
        }
    }
}

#[cfg(test)]
mod tests;
