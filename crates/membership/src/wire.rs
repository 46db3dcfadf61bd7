//! The messages, for `prost`. Fields that are not known are passed over; a number once given is
//! never given again.
//! `docs/design/fleet.md` has the format byte by byte.

/// The version of the messages that is spoken, and the oldest that is still read.
pub const WIRE: u32 = if LATER { 2 } else { 1 };
pub const WIRE_LEAST: u32 = 1;

/// The most bytes of a datagram, sealed.
pub const DATAGRAM_MAX: usize = 1400;

/// The most bytes of a parcel.
pub const PAYLOAD_MAX: usize = 1200;

/// Whether this is a build with a later version of the messages: a field more in each, one less in
/// some, and kinds that the present version does not know. For tests of both side by side.
pub const LATER: bool = cfg!(feature = "later");
/// A field that the present version does not know: number 250, a text.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];
/// A kind of message that it does not know.
pub const LATER_KIND: u32 = 90;

pub(crate) const LATER_BYTES: usize = LATER_FIELD.len();

/// What a later version adds to a message.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER {
        message.extend(LATER_FIELD);
    }
    message
}

/// What a datagram is for.
pub mod kind {
    /// Are you there?
    pub const PING: u32 = 1;
    /// I am; or: whom you asked after is.
    pub const ACK: u32 = 2;
    /// Ask after somebody for me.
    pub const ASK: u32 = 3;
    /// I asked, and had no answer yet; so I at least am there.
    pub const NACK: u32 = 4;
    /// MemberUpdate alone.
    pub const GOSSIP: u32 = 5;
    /// Digests of ranges.
    pub const SUMMARY: u32 = 6;
    /// All that I have in some ranges, in brief.
    pub const HEADERS: u32 = 7;
    /// Entries, and what is wanted.
    pub const ENTRIES: u32 = 8;
    /// Show what you hold, from the cursor on.
    pub const SHOW: u32 = 9;
    /// A page of that.
    pub const PAGE: u32 = 10;
    /// Something of another package, for the one that it is sent to.
    pub const PAYLOAD: u32 = 11;
    /// Something that one who is no member and has the key wants done, of another package; and what
    /// became of it.
    pub const ORDER: u32 = 12;
    pub const ORDERED: u32 = 13;
}

/// What a member says of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DetailsMessage {
    /// Four or sixteen bytes of an IP address, two of a port.
    #[prost(bytes = "vec", tag = "1")]
    pub address: Vec<u8>,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    #[prost(string, tag = "4")]
    pub program: String,
    #[prost(uint32, tag = "5")]
    pub wire_least: u32,
    #[prost(uint32, tag = "6")]
    pub wire_most: u32,
    #[prost(uint64, tag = "7")]
    pub settings: u64,
    #[prost(fixed64, tag = "8")]
    pub settings_hash: u64,
    #[prost(message, repeated, tag = "9")]
    pub attachments: Vec<AttachmentMessage>,
}

/// What another package hangs on an entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AttachmentMessage {
    #[prost(uint32, tag = "1")]
    pub id: u32,
    #[prost(uint32, tag = "2")]
    pub version: u32,
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// Something said of a member. Without name and details it is for those who know these.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberUpdate {
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    #[prost(uint32, tag = "4")]
    pub refutation: u32,
    #[prost(uint32, tag = "5")]
    pub liveness: u32,
    #[prost(uint32, tag = "6")]
    pub revision: u32,
    #[prost(string, tag = "7")]
    pub name: String,
    #[prost(bytes = "vec", tag = "8")]
    pub details: Vec<u8>,
    /// Who suspects it.
    #[prost(fixed64, tag = "9")]
    pub suspected_by: u64,
}

/// Digests of equal slices of a range of keys; the last slice takes what is left.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The last key of it.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Eight bytes each, the least first.
    #[prost(bytes = "vec", tag = "3")]
    pub digests: Vec<u8>,
}

/// A range of keys of which all that the sender has is named.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Range {
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    #[prost(fixed64, tag = "2")]
    pub to: u64,
}

/// How a node itself stands, for those who have it shown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeReport {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint32, tag = "2")]
    pub size: u32,
    #[prost(uint32, tag = "3")]
    pub low: u32,
    #[prost(uint32, tag = "4")]
    pub high: u32,
    /// For how many milliseconds it has been unsure; 0 if it is sure.
    #[prost(uint64, tag = "5")]
    pub unsure_ms: u64,
    /// Its doubt of itself.
    #[prost(uint32, tag = "6")]
    pub doubt: u32,
    #[prost(uint32, tag = "7")]
    pub suspects: u32,
    #[prost(uint32, tag = "8")]
    pub dead: u32,
    #[prost(string, tag = "9")]
    pub zone: String,
    /// Whether another process has its name.
    #[prost(bool, tag = "10")]
    pub mute: bool,
    #[prost(message, repeated, tag = "11")]
    pub counters: Vec<CounterMessage>,
    #[prost(message, repeated, tag = "12")]
    pub changes: Vec<ChangeEvent>,
}

/// How often something happened.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterMessage {
    #[prost(string, tag = "1")]
    pub what: String,
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// A change of the view.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeEvent {
    #[prost(uint64, tag = "1")]
    pub unix_ms: u64,
    #[prost(string, tag = "2")]
    pub line: String,
}

/// What a datagram holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// The sender's key; 0 for one that is no member.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// The number of the probe.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Whom it is about; 0 for whoever gets it.
    #[prost(fixed64, tag = "4")]
    pub target: u64,
    /// The digest of the sender's view.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    #[prost(message, repeated, tag = "6")]
    pub updates: Vec<MemberUpdate>,
    /// Eight bytes each: the first four of a key, a number of two, room, load.
    #[prost(bytes = "vec", tag = "7")]
    pub load_hints: Vec<u8>,
    #[prost(message, repeated, tag = "8")]
    pub summaries: Vec<Summary>,
    #[prost(message, repeated, tag = "9")]
    pub covered: Vec<Range>,
    #[prost(fixed64, repeated, tag = "10")]
    pub wants: Vec<u64>,
    #[prost(message, optional, tag = "11")]
    pub report: Option<NodeReport>,
    /// From which key on; 0 after the last one.
    #[prost(fixed64, tag = "12")]
    pub cursor: u64,
    /// Which package a parcel is of, and what it says.
    #[prost(uint32, tag = "13")]
    pub topic: u32,
    #[prost(bytes = "vec", tag = "14")]
    pub payload: Vec<u8>,
}
