//! FastCGI 1.0 in the responder role: a parser for the records of one connection, and an encoder
//! for answers.
//!
//! The parser accepts bytes split at any point and uses no socket, clock or thread. Its memory and
//! work are bounded: the number and bytes of unfinished requests, and the bytes skipped between two
//! complete requests. No bound depends on how the requests of a connection are split into records
//! or on how their records alternate: a peer that keeps at most [`MAX_OPEN`] requests open, each
//! within [`PARAMS_MAX`] and [`BODY_MAX`], meets none of them but the memory that all connections
//! share, and a request for which that does not suffice is marked as such. After a [`ParseError`]
//! the connection cannot be read any further.

mod reply;
mod unfinished;

pub use reply::{ProtocolStatus, Reply};
pub use unfinished::UNFINISHED_ENTRY_BYTES;

use crate::request_memory::ConnectionMemory;
use reply::header;
use thiserror::Error;
use unfinished::Unfinished;

/// Maximum number of unfinished requests on one connection. GET_VALUES reports this number, times
/// the number of connections, as the number of concurrent requests.
pub const MAX_OPEN: usize = 32;
/// Maximum length of a request's body, in bytes. A longer body is cut off and marked.
pub const BODY_MAX: usize = 2048;
/// Maximum length of a request's encoded parameters, in bytes. Longer parameters are cut off and
/// marked.
pub const PARAMS_MAX: usize = 4096;
/// Maximum number of bytes skipped between two complete requests: content that is too large or
/// belongs to no unfinished request, and headers and padding of records without other content.
/// Skipping more would waste CPU time on a peer that sends no requests.
const SKIPPED_MAX: usize = 64 * 1024;
/// Maximum number of bytes kept of a record that is not part of a stream.
const DISCRETE_MAX: usize = 1024;
/// Length of a record's header, in bytes.
const HEADER: usize = 8;

// The protocol version, then the record types.
const VERSION: u8 = 1;
const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

/// The only supported role in BEGIN_REQUEST.
const RESPONDER: u16 = 1;
/// The BEGIN_REQUEST flag that keeps the connection open after the answer.
const KEEP_CONN: u8 = 1;

/// A request that was read completely.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Request id, chosen by the load balancer for this connection.
    pub id: u16,
    /// Whether the connection stays open after the answer.
    pub keep_conn: bool,
    /// The encoded parameters, for [`pairs`].
    pub params: Vec<u8>,
    /// The body, at most [`BODY_MAX`] bytes.
    pub body: Vec<u8>,
    /// Whether the parameters or the body exceeded their bounds and were cut off.
    pub oversize: bool,
    /// Whether the node had no memory for the whole request. The parameters and the body are then
    /// empty.
    pub no_memory: bool,
}

/// A message from a load balancer that the parser has read completely.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request.
    Request(Request),
    /// The load balancer no longer waits for the answer to the request with this id.
    Abort(u16),
    /// An answer that the parser gives without the node, to be written on the connection.
    Reply(Reply),
}

/// Why the bytes of a connection cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum ParseError {
    /// The header of a record has a version other than 1.
    UnknownVersion,
    /// The content of a BEGIN_REQUEST record is too short for the role and the flags.
    BeginCutShort,
    /// A request was begun with the id of an unfinished request.
    IdBegunTwice,
    /// More than 64 KiB were skipped since the last complete request.
    TooMuchSkipped,
    /// The length of a name or value extends past the end of the bytes.
    PairCutShort,
}

impl ParseError {
    /// Returns the text for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ParseError::UnknownVersion => "record of an unknown version",
            ParseError::BeginCutShort => "BEGIN_REQUEST cut short",
            ParseError::IdBegunTwice => "request id begun twice",
            ParseError::TooMuchSkipped => "too much that is no request",
            ParseError::PairCutShort => "name-value pair cut short",
        }
    }
}

/// Returns an iterator over encoded name-value pairs, without copying them. The iterator ends after
/// a [`ParseError::PairCutShort`].
pub fn pairs(mut bytes: &[u8]) -> impl Iterator<Item = Result<(&[u8], &[u8]), ParseError>> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        let pair = read_pair(&mut bytes);
        if pair.is_none() {
            bytes = &[];
        }
        Some(pair.ok_or(ParseError::PairCutShort))
    })
}

fn read_pair<'a>(bytes: &mut &'a [u8]) -> Option<(&'a [u8], &'a [u8])> {
    let (name, value) = (read_length(bytes)?, read_length(bytes)?);
    Some((bytes.split_off(..name)?, bytes.split_off(..value)?))
}

/// Reads a length, which is encoded in one byte, or in four bytes with the highest bit set.
fn read_length(bytes: &mut &[u8]) -> Option<usize> {
    let first = *bytes.split_off_first()?;
    if first < 0x80 {
        return Some(usize::from(first));
    }
    let rest = bytes.split_off(..3)?;
    Some(u32::from_be_bytes([first & 0x7f, rest[0], rest[1], rest[2]]) as usize)
}

/// The record that is being read, with the number of bytes that are still missing.
#[derive(Clone, Copy, Default)]
struct Record {
    kind: u8,
    id: u16,
    content_left: usize,
    padding_left: usize,
    /// Whether the record has content of an unfinished request that is within its bounds. Its header
    /// and padding then do not count as skipped.
    has_request_content: bool,
}

/// Parses the records of one connection.
///
/// ```
/// use madderpoint_node::fastcgi::{Event, Parser};
/// use madderpoint_node::request_memory::{ConnectionMemory, SharedRequestMemory};
///
/// let memory = SharedRequestMemory::new(65536);
/// let mut parser = Parser::new(100, ConnectionMemory::new(&memory));
/// // ABORT_REQUEST of request 7, in two parts.
/// let mut events = Vec::new();
/// parser.feed(&[1, 2, 0], &mut |event| events.push(event)).unwrap();
/// parser.feed(&[7, 0, 0, 0, 0], &mut |event| events.push(event)).unwrap();
/// assert_eq!(events, [Event::Abort(7)]);
/// assert!(parser.feed(&[9; 8], &mut |_| ()).is_err()); // not a FastCGI version
/// ```
pub struct Parser {
    max_conns: usize,
    header: [u8; HEADER],
    /// Number of bytes read so far of the current record's header.
    header_read: usize,
    record: Option<Record>,
    /// Content of the current record, if the record is not part of a stream.
    discrete: Vec<u8>,
    unfinished: Vec<Unfinished>,
    /// Memory of the unfinished requests.
    memory: ConnectionMemory,
    /// Number of bytes skipped since the last complete request.
    skipped: usize,
}

impl Parser {
    /// Creates a parser for a new connection. `max_conns` is the number of connections in answers
    /// to GET_VALUES; `memory` is that of the connection's unfinished requests.
    pub fn new(max_conns: usize, memory: ConnectionMemory) -> Parser {
        Parser {
            max_conns,
            header: [0; HEADER],
            header_read: 0,
            record: None,
            discrete: Vec::new(),
            unfinished: Vec::new(),
            memory,
            skipped: 0,
        }
    }

    /// Returns whether a record or a request has been read only in part.
    pub fn is_partial(&self) -> bool {
        self.header_read > 0 || self.record.is_some() || !self.unfinished.is_empty()
    }

    /// Drops all unfinished requests and frees their memory, because nothing more is parsed.
    pub fn discard_unfinished(&mut self) {
        while let Some(unfinished) = self.unfinished.pop() {
            self.memory.give_back(unfinished.memory);
        }
    }

    /// Parses the next bytes and passes each event that they complete to `sink`.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        sink: &mut impl FnMut(Event),
    ) -> Result<(), ParseError> {
        loop {
            let Some(mut record) = self.record.take() else {
                if bytes.is_empty() {
                    return Ok(());
                }
                let length = bytes.len().min(HEADER - self.header_read);
                self.header[self.header_read..self.header_read + length]
                    .copy_from_slice(&bytes[..length]);
                self.header_read += length;
                bytes = &bytes[length..];
                if self.header_read == HEADER {
                    self.record = Some(self.start_record()?);
                }
                continue;
            };
            let length = bytes.len().min(record.content_left);
            let within = self.read_content(record, &bytes[..length]);
            record.has_request_content |= within > 0;
            record.content_left -= length;
            let padding = (bytes.len() - length).min(record.padding_left);
            record.padding_left -= padding;
            bytes = &bytes[length + padding..];
            let is_overhead = !record.has_request_content;
            self.skip(length - within + if is_overhead { padding } else { 0 })?;
            if record.content_left > 0 || record.padding_left > 0 {
                self.record = Some(record);
                return Ok(());
            }
            self.header_read = 0;
            self.finish_record(record, sink)?;
        }
    }

    fn start_record(&mut self) -> Result<Record, ParseError> {
        let [version, kind, i1, i0, l1, l0, padding, _] = self.header;
        if version != VERSION {
            return Err(ParseError::UnknownVersion);
        }
        self.discrete.clear();
        Ok(Record {
            kind,
            id: u16::from_be_bytes([i1, i0]),
            content_left: usize::from(u16::from_be_bytes([l1, l0])),
            padding_left: usize::from(padding),
            has_request_content: false,
        })
    }

    fn unfinished(&mut self, id: u16) -> Option<&mut Unfinished> {
        self.unfinished
            .iter_mut()
            .find(|unfinished| unfinished.request.id == id)
    }

    fn skip(&mut self, bytes: usize) -> Result<(), ParseError> {
        self.skipped += bytes;
        if self.skipped > SKIPPED_MAX {
            Err(ParseError::TooMuchSkipped)
        } else {
            Ok(())
        }
    }

    /// Reads content of a record. Returns the number of bytes that belong to an unfinished request
    /// and are within its bounds.
    fn read_content(&mut self, record: Record, bytes: &[u8]) -> usize {
        let is_stream = record.kind == PARAMS || record.kind == STDIN;
        if record.id == 0 || !is_stream {
            let kept = bytes.len().min(DISCRETE_MAX - self.discrete.len());
            self.discrete.extend_from_slice(&bytes[..kept]);
            return 0;
        }
        let unfinished = self
            .unfinished
            .iter_mut()
            .find(|unfinished| unfinished.request.id == record.id);
        unfinished.map_or(0, |unfinished| {
            unfinished.read_content(record.kind, bytes, &mut self.memory)
        })
    }

    /// Removes an unfinished request whose memory is no longer the parser's to bound.
    fn remove_unfinished(&mut self, index: usize) -> Unfinished {
        let unfinished = self.unfinished.swap_remove(index);
        self.memory.give_back(unfinished.memory);
        unfinished
    }

    /// Handles a record that was read completely.
    fn finish_record(
        &mut self,
        record: Record,
        sink: &mut impl FnMut(Event),
    ) -> Result<(), ParseError> {
        let empty = self.header[4..6] == [0, 0];
        if !record.has_request_content {
            self.skip(HEADER)?;
        }
        match (record.kind, record.id) {
            (GET_VALUES, 0) => sink(Event::Reply(self.encode_variables()?)),
            (kind, 0) => {
                let mut head = Vec::with_capacity(2 * HEADER);
                header(&mut head, UNKNOWN_TYPE, 0, 8, 0);
                head.extend_from_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
                sink(Event::Reply(Reply::raw(head)));
            }
            (BEGIN_REQUEST, id) => return self.begin_request(id, sink),
            (ABORT_REQUEST, id) => match self
                .unfinished
                .iter()
                .position(|unfinished| unfinished.request.id == id)
            {
                Some(index) => {
                    let aborted = self.remove_unfinished(index);
                    if aborted.params_length > 0 {
                        self.skipped = 0; // a request, though its client did not wait for its end
                    }
                    sink(Event::Reply(Reply::end(id, ProtocolStatus::Complete)));
                }
                None => sink(Event::Abort(id)),
            },
            (PARAMS, id) if empty => {
                if let Some(unfinished) = self.unfinished(id) {
                    unfinished.params_done = true;
                }
            }
            (STDIN, id) if empty => {
                let is_whole =
                    |unfinished: &Unfinished| unfinished.request.id == id && unfinished.params_done;
                if let Some(index) = self.unfinished.iter().position(is_whole) {
                    self.skipped = 0;
                    sink(Event::Request(self.remove_unfinished(index).request));
                }
            }
            // Content of streams was handled in `read_content`. Records of ids that are not open
            // are ignored, as the protocol requires.
            _ => {}
        }
        Ok(())
    }

    fn begin_request(&mut self, id: u16, sink: &mut impl FnMut(Event)) -> Result<(), ParseError> {
        let &[r1, r0, flags, ..] = self.discrete.as_slice() else {
            return Err(ParseError::BeginCutShort);
        };
        if self.unfinished(id).is_some() {
            return Err(ParseError::IdBegunTwice);
        }
        let status = match u16::from_be_bytes([r1, r0]) {
            RESPONDER if self.unfinished.len() < MAX_OPEN => {
                let keep_conn = flags & KEEP_CONN != 0;
                self.unfinished.push(Unfinished::new(id, keep_conn));
                return Ok(());
            }
            RESPONDER => ProtocolStatus::Overloaded,
            _ => ProtocolStatus::UnknownRole,
        };
        sink(Event::Reply(Reply::end(id, status)));
        Ok(())
    }

    /// Encodes the answer to GET_VALUES: the requested variables that the parser knows.
    fn encode_variables(&self) -> Result<Reply, ParseError> {
        let variables = [
            ("FCGI_MAX_CONNS", self.max_conns),
            ("FCGI_MAX_REQS", self.max_conns * MAX_OPEN),
            ("FCGI_MPXS_CONNS", 1),
        ];
        let mut body = Vec::new();
        for pair in pairs(&self.discrete) {
            let (name, _) = pair?;
            if let Some((name, value)) = variables.iter().find(|(n, _)| n.as_bytes() == name) {
                let value = value.to_string();
                body.extend_from_slice(&[name.len() as u8, value.len() as u8]);
                body.extend_from_slice(name.as_bytes());
                body.extend_from_slice(value.as_bytes());
            }
        }
        let mut head = Vec::with_capacity(HEADER);
        header(&mut head, GET_VALUES_RESULT, 0, body.len(), 0);
        Ok(Reply::record(head, body))
    }
}

#[cfg(test)]
mod tests;
