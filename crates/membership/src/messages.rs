//! Wire messages (Protocol Buffers). Unknown fields are skipped; a tag is never reused.
//!
//! `docs/design/fleet.md` gives the wire format byte by byte.

/// Version of the messages that this build sends.
pub const VERSION: u32 = if LATER { 2 } else { 1 };
/// Lowest message version that this build reads.
pub const VERSION_MIN: u32 = 1;

/// Maximum size of an authenticated datagram, in bytes.
pub const DATAGRAM_MAX: usize = 1400;

/// Maximum size of another package's payload, in bytes.
pub const PAYLOAD_MAX: usize = 1200;

/// Whether this build sends a later version of the messages, for tests of clusters of mixed
/// versions: each message has one more field, some messages lack a field, and there are messages of
/// an unknown kind.
pub const LATER: bool = cfg!(feature = "later");
/// Encoded field that the present version does not know: tag 250, a string.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];
/// Message kind that the present version does not know.
pub const LATER_KIND: u32 = 90;

/// Maximum number of bytes that [`later`] appends.
pub(crate) const LATER_BYTES: usize = LATER_FIELD.len();

/// Appends the field of a later version to a message, if this build sends a later version.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER {
        message.extend(LATER_FIELD);
    }
    message
}

/// Kinds of datagrams, by number.
pub mod kind {
    /// Probe of a member.
    pub const PING: u32 = 1;
    /// Acknowledgement of a probe, direct or relayed.
    pub const ACK: u32 = 2;
    /// Request to probe a member on the sender's behalf.
    pub const ASK: u32 = 3;
    /// Report of a relay that the probed member did not reply. The report shows that the relay
    /// itself responds.
    pub const NACK: u32 = 4;
    /// Updates about members, and nothing else.
    pub const GOSSIP: u32 = 5;
    /// Digests of key ranges, to compare member tables.
    pub const SUMMARY: u32 = 6;
    /// Headers of all members in some key ranges, to compare member tables.
    pub const HEADERS: u32 = 7;
    /// Entries of members, and requests for entries.
    pub const ENTRIES: u32 = 8;
    /// Request of an observer for the status page that begins at a cursor.
    pub const SHOW: u32 = 9;
    /// Status page for an observer.
    pub const PAGE: u32 = 10;
    /// Payload of another package.
    pub const PAYLOAD: u32 = 11;
    /// Command of an operator for another package.
    pub const COMMAND: u32 = 12;
    /// Reply to a command.
    pub const COMMAND_REPLY: u32 = 13;
}

/// Details that a member publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DetailsMessage {
    /// IP address (4 or 16 bytes) and port (2 bytes), big-endian.
    #[prost(bytes = "vec", tag = "1")]
    pub address: Vec<u8>,
    /// Zone of the member; may be empty.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Numeric code of the member's phase.
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// Version of the member's program.
    #[prost(string, tag = "4")]
    pub program: String,
    /// Lowest message version that the member reads.
    #[prost(uint32, tag = "5")]
    pub wire_least: u32,
    /// Highest message version that the member reads.
    #[prost(uint32, tag = "6")]
    pub wire_most: u32,
    /// Version number of the settings that the member has in force.
    #[prost(uint64, tag = "7")]
    pub settings: u64,
    /// Hash of the settings that the member has in force.
    #[prost(fixed64, tag = "8")]
    pub settings_hash: u64,
    /// Attachments of other packages.
    #[prost(message, repeated, tag = "9")]
    pub attachments: Vec<AttachmentMessage>,
}

/// Data that another package attaches to a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AttachmentMessage {
    /// Identifier of the package that publishes the data.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Version of the data's format.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Data in the package's own format; empty data removes the attachment.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// Update about a member. A header is an update without name and details.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberUpdate {
    /// Key of the member concerned.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Start time of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Random number of the incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Refutation number of the member within the incarnation.
    #[prost(uint32, tag = "4")]
    pub refutation: u32,
    /// Numeric code of the member's liveness.
    #[prost(uint32, tag = "5")]
    pub liveness: u32,
    /// Revision of the details within the incarnation.
    #[prost(uint32, tag = "6")]
    pub revision: u32,
    /// Name of the member; empty in headers.
    #[prost(string, tag = "7")]
    pub name: String,
    /// Encoded details of the member; empty in headers.
    #[prost(bytes = "vec", tag = "8")]
    pub details: Vec<u8>,
    /// Key of the member that suspects the one concerned; 0 for the sender.
    #[prost(fixed64, tag = "9")]
    pub suspected_by: u64,
}

/// Digests of equal slices of a key range; the last slice takes the remainder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// First key of the range.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Last key of the range, inclusive.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Digests of the slices, eight bytes each, little-endian.
    #[prost(bytes = "vec", tag = "3")]
    pub digests: Vec<u8>,
}

/// Key range whose members the sender lists completely.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Range {
    /// First key of the range.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Last key of the range, inclusive.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
}

/// Report of a node about itself, for observers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeReport {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Estimated number of members in the cluster.
    #[prost(uint32, tag = "2")]
    pub size: u32,
    /// Number of members that are alive and not suspected.
    #[prost(uint32, tag = "3")]
    pub low: u32,
    /// Number of members that may be present.
    #[prost(uint32, tag = "4")]
    pub high: u32,
    /// Milliseconds since the node became unsure whether it is partitioned; 0 if it is sure.
    #[prost(uint64, tag = "5")]
    pub unsure_ms: u64,
    /// Local health score; 0 is healthy.
    #[prost(uint32, tag = "6")]
    pub local_health_score: u32,
    /// Number of suspected members.
    #[prost(uint32, tag = "7")]
    pub suspects: u32,
    /// Number of members that were declared dead.
    #[prost(uint32, tag = "8")]
    pub dead: u32,
    /// Zone of the node; may be empty.
    #[prost(string, tag = "9")]
    pub zone: String,
    /// Whether another process holds the node's name.
    #[prost(bool, tag = "10")]
    pub has_name_conflict: bool,
    /// Event counters, as many as fit.
    #[prost(message, repeated, tag = "11")]
    pub counters: Vec<CounterMessage>,
    /// Latest changes, newest first, as many as fit.
    #[prost(message, repeated, tag = "12")]
    pub changes: Vec<ChangeEvent>,
}

/// Event counter of a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterMessage {
    /// Name of the counted event.
    #[prost(string, tag = "1")]
    pub what: String,
    /// Number of events since the start of the process.
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// Change of the member table or of the node's own state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeEvent {
    /// Time of the change, in Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub unix_ms: u64,
    /// Text of the change as in the log.
    #[prost(string, tag = "2")]
    pub line: String,
}

/// Message of a datagram. Which fields are set depends on the kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Key of the sender; 0 for observers and for nodes that lost their name.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Kind of the datagram, one of the constants in [`kind`].
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Number of the probe or request, repeated in the reply.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Key of the member concerned; 0 means the recipient, if the sender does not know the
    /// recipient's key.
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
    /// Digests of key ranges, in a comparison of member tables.
    #[prost(message, repeated, tag = "8")]
    pub summaries: Vec<Summary>,
    /// Key ranges whose members are listed in `updates`.
    #[prost(message, repeated, tag = "9")]
    pub covered: Vec<Range>,
    /// Keys of the members whose entries are requested.
    #[prost(fixed64, repeated, tag = "10")]
    pub wants: Vec<u64>,
    /// Report of the sender about itself.
    #[prost(message, optional, tag = "11")]
    pub report: Option<NodeReport>,
    /// In a request, the cursor of the requested status page; 0 for the first page. In a status
    /// page, the cursor of the next page; 0 after the last page.
    #[prost(fixed64, tag = "12")]
    pub cursor: u64,
    /// Identifier of the package that a payload, command or status page belongs to; 0 for
    /// membership.
    #[prost(uint32, tag = "13")]
    pub topic: u32,
    /// Content of a payload, command, reply or status page.
    #[prost(bytes = "vec", tag = "14")]
    pub payload: Vec<u8>,
}
