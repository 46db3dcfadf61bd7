//! Wire messages (Protocol Buffers). Unknown fields are skipped; a tag is never reused.
//!
//! `docs/design/fleet.md` gives the format byte by byte.

/// Version of the messages that is sent.
pub const VERSION: u32 = if LATER { 2 } else { 1 };
/// Lowest version that is still read.
pub const VERSION_MIN: u32 = 1;

/// Bytes of an authenticated datagram at most.
pub const DATAGRAM_MAX: usize = 1400;

/// Bytes of another package's payload at most.
pub const PAYLOAD_MAX: usize = 1200;

/// Whether this build speaks a later version of the messages, for tests of both versions side by
/// side: one field more in each message, one less in some, and unknown kinds.
pub const LATER: bool = cfg!(feature = "later");
/// A field unknown to the present version: tag 250, a string.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];
/// A message kind unknown to the present version.
pub const LATER_KIND: u32 = 90;

/// Bytes that [`later`] adds at most.
pub(crate) const LATER_BYTES: usize = LATER_FIELD.len();

/// Adds what a later version would add to a message.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER {
        message.extend(LATER_FIELD);
    }
    message
}

/// Kinds of datagrams.
pub mod kind {
    /// Probe.
    pub const PING: u32 = 1;
    /// Acknowledgement of a probe, direct or relayed.
    pub const ACK: u32 = 2;
    /// Request to relay a probe.
    pub const ASK: u32 = 3;
    /// The relayed probe has no reply yet; shows that the relay itself responds.
    pub const NACK: u32 = 4;
    /// Updates only.
    pub const GOSSIP: u32 = 5;
    /// Digests of key ranges.
    pub const SUMMARY: u32 = 6;
    /// Headers of all members in some key ranges.
    pub const HEADERS: u32 = 7;
    /// Complete entries, and requests for entries.
    pub const ENTRIES: u32 = 8;
    /// Observer's request for a status page from a cursor on.
    pub const SHOW: u32 = 9;
    /// A status page.
    pub const PAGE: u32 = 10;
    /// A payload of another package.
    pub const PAYLOAD: u32 = 11;
    /// An operator's command for another package.
    pub const COMMAND: u32 = 12;
    /// The reply to a command.
    pub const COMMAND_REPLY: u32 = 13;
}

/// Details that a member publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DetailsMessage {
    /// IP address (4 or 16 bytes) and port (2 bytes), big-endian.
    #[prost(bytes = "vec", tag = "1")]
    pub address: Vec<u8>,
    /// Zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Phase, by number.
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// Version of the program.
    #[prost(string, tag = "4")]
    pub program: String,
    /// Lowest message version read.
    #[prost(uint32, tag = "5")]
    pub wire_least: u32,
    /// Highest message version read.
    #[prost(uint32, tag = "6")]
    pub wire_most: u32,
    /// Number of the settings.
    #[prost(uint64, tag = "7")]
    pub settings: u64,
    /// Hash of the settings.
    #[prost(fixed64, tag = "8")]
    pub settings_hash: u64,
    /// Attachments.
    #[prost(message, repeated, tag = "9")]
    pub attachments: Vec<AttachmentMessage>,
}

/// Data that another package attaches to a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AttachmentMessage {
    /// Number of the package.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Version of the format.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// The data.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// An update about a member. A header lacks name and details.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberUpdate {
    /// Key of the member.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Start time of the incarnation, Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// The incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Refutation number.
    #[prost(uint32, tag = "4")]
    pub refutation: u32,
    /// Liveness, by number.
    #[prost(uint32, tag = "5")]
    pub liveness: u32,
    /// Revision of the details.
    #[prost(uint32, tag = "6")]
    pub revision: u32,
    /// Name; empty in headers.
    #[prost(string, tag = "7")]
    pub name: String,
    /// Encoded details; empty in headers.
    #[prost(bytes = "vec", tag = "8")]
    pub details: Vec<u8>,
    /// Key of the member that suspects it; 0 for the sender.
    #[prost(fixed64, tag = "9")]
    pub suspected_by: u64,
}

/// Digests of equal slices of a key range; the last slice takes the remainder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// First key.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Last key, inclusive.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Eight bytes each, little-endian.
    #[prost(bytes = "vec", tag = "3")]
    pub digests: Vec<u8>,
}

/// A key range whose members the sender lists completely.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Range {
    /// First key.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Last key, inclusive.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
}

/// A node's report of itself, for observers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeReport {
    /// Name; empty in headers.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Estimated cluster size.
    #[prost(uint32, tag = "2")]
    pub size: u32,
    /// Members alive without a doubt.
    #[prost(uint32, tag = "3")]
    pub low: u32,
    /// Members possibly present.
    #[prost(uint32, tag = "4")]
    pub high: u32,
    /// Milliseconds since it became unsure of its view; 0 if it is sure.
    #[prost(uint64, tag = "5")]
    pub unsure_ms: u64,
    /// Local health score.
    #[prost(uint32, tag = "6")]
    pub local_health_score: u32,
    /// Members under suspicion.
    #[prost(uint32, tag = "7")]
    pub suspects: u32,
    /// Members declared dead.
    #[prost(uint32, tag = "8")]
    pub dead: u32,
    /// Zone.
    #[prost(string, tag = "9")]
    pub zone: String,
    /// Whether another process holds its name.
    #[prost(bool, tag = "10")]
    pub has_name_conflict: bool,
    /// Counters.
    #[prost(message, repeated, tag = "11")]
    pub counters: Vec<CounterMessage>,
    /// Latest changes.
    #[prost(message, repeated, tag = "12")]
    pub changes: Vec<ChangeEvent>,
}

/// A counter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterMessage {
    /// Name of the counter.
    #[prost(string, tag = "1")]
    pub what: String,
    /// Its value.
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// A change of the member table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeEvent {
    /// When, in Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub unix_ms: u64,
    /// The change as logged.
    #[prost(string, tag = "2")]
    pub line: String,
}

/// A datagram. Which fields are set depends on its kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Key of the sender; 0 for observers.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Kind: see [`kind`].
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Number of the probe or request.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Member that it is about; 0 for the recipient, whoever that is.
    #[prost(fixed64, tag = "4")]
    pub target: u64,
    /// Digest of the sender's member table.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Updates about members.
    #[prost(message, repeated, tag = "6")]
    pub updates: Vec<MemberUpdate>,
    /// Load hints of eight bytes: upper half of the key (4), number (2), capacity, load.
    #[prost(bytes = "vec", tag = "7")]
    pub load_hints: Vec<u8>,
    /// Digests of key ranges.
    #[prost(message, repeated, tag = "8")]
    pub summaries: Vec<Summary>,
    /// Key ranges whose members are listed in `updates`.
    #[prost(message, repeated, tag = "9")]
    pub covered: Vec<Range>,
    /// Keys of entries requested.
    #[prost(fixed64, repeated, tag = "10")]
    pub wants: Vec<u64>,
    /// Report of the node itself.
    #[prost(message, optional, tag = "11")]
    pub report: Option<NodeReport>,
    /// Position in paged status; 0 after the last page.
    #[prost(fixed64, tag = "12")]
    pub cursor: u64,
    /// Package of a payload.
    #[prost(uint32, tag = "13")]
    pub topic: u32,
    /// The payload.
    #[prost(bytes = "vec", tag = "14")]
    pub payload: Vec<u8>,
}
