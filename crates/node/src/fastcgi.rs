//! FastCGI 1.0 as a responder: a parser that is fed bytes split anywhere, and the answers to be
//! written.

use std::io::IoSlice;

/// Requests that may be open on one connection.
pub const MAX_OPEN: usize = 32;
/// The largest body of a request.
pub const BODY_MAX: usize = 2048;
/// The most that a request's parameters may take.
const PARAMS_MAX: usize = 4096;
/// Bytes that may be passed over between two whole requests: what is too large, belongs to no open
/// request or pads. Bodies of many megabytes and records without end would take all the processor's
/// time to be skipped.
const PASSED_OVER_MAX: usize = 64 * 1024;
/// The most that is kept of a record that is no stream.
const SIDE_MAX: usize = 1024;
const HEADER: usize = 8;

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

const RESPONDER: u16 = 1;
const KEEP_CONN: u8 = 1;

/// How a request ended, as END_REQUEST says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// It was dealt with.
    Complete = 0,
    /// It was turned away unseen.
    Overloaded = 2,
    /// It asked for a role that is not played here.
    UnknownRole = 3,
}

/// A request that has come whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id on the connection.
    pub id: u16,
    /// Whether the connection is to stay open after the answer.
    pub keep_conn: bool,
    /// Parameters as they came, for [`pairs`].
    pub params: Vec<u8>,
    /// The body; cut when it is over [`BODY_MAX`].
    pub body: Vec<u8>,
    /// Whether parameters or body were larger than may be.
    pub oversize: bool,
}

/// What the parser found.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole request.
    Request(Request),
    /// The dispatcher no longer waits for this request.
    Abort(u16),
    /// The parser itself answers with this.
    Reply(Reply),
}

/// Framing was lost: nothing that follows on the connection can be read.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

/// Bytes to be written, gathered from up to three places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    head: Vec<u8>,
    body: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Bytes in all.
    pub fn size(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }

    /// Bytes as they are.
    pub fn raw(head: Vec<u8>) -> Reply {
        Reply {
            head,
            ..Reply::default()
        }
    }

    /// The parts in their order.
    pub fn slices(&self) -> [IoSlice<'_>; 3] {
        [
            IoSlice::new(&self.head),
            IoSlice::new(&self.body),
            IoSlice::new(&self.tail),
        ]
    }

    /// An answer: a CGI response on STDOUT, then the end of the request.
    pub fn answer(id: u16, status: u16, fields: &str, body: Vec<u8>) -> Reply {
        let text = format!("Status: {status}\r\n{fields}\r\n");
        let len = text.len() + body.len();
        debug_assert!(
            len <= usize::from(u16::MAX),
            "one record holds every answer"
        );
        let padding = len.wrapping_neg() % 8;
        let mut head = Vec::with_capacity(HEADER + text.len());
        header(&mut head, STDOUT, id, len, padding);
        head.extend_from_slice(text.as_bytes());
        let mut tail = vec![0; padding];
        header(&mut tail, STDOUT, id, 0, 0);
        end(&mut tail, id, ProtocolStatus::Complete);
        Reply { head, body, tail }
    }

    /// The end of a request with nothing on STDOUT.
    pub fn end(id: u16, status: ProtocolStatus) -> Reply {
        let mut head = Vec::with_capacity(2 * HEADER);
        end(&mut head, id, status);
        Reply {
            head,
            ..Reply::default()
        }
    }
}

fn header(out: &mut Vec<u8>, kind: u8, id: u16, len: usize, padding: usize) {
    let ([i1, i0], [l1, l0]) = (id.to_be_bytes(), (len as u16).to_be_bytes());
    out.extend_from_slice(&[VERSION, kind, i1, i0, l1, l0, padding as u8, 0]);
}

fn end(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    header(out, END_REQUEST, id, 8, 0);
    out.extend_from_slice(&[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Name-value pairs read in place; ends with an error where the bytes are cut or a length is wrong.
pub fn pairs(mut bytes: &[u8]) -> impl Iterator<Item = Result<(&[u8], &[u8]), Broken>> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        let pair = pair(&mut bytes);
        if pair.is_none() {
            bytes = &[];
        }
        Some(pair.ok_or(Broken("name-value pair cut short")))
    })
}

fn pair<'a>(bytes: &mut &'a [u8]) -> Option<(&'a [u8], &'a [u8])> {
    let (name, value) = (length(bytes)?, length(bytes)?);
    Some((bytes.split_off(..name)?, bytes.split_off(..value)?))
}

/// A length of one byte, or of four with the highest bit set.
fn length(bytes: &mut &[u8]) -> Option<usize> {
    let first = *bytes.split_off_first()?;
    if first < 0x80 {
        return Some(usize::from(first));
    }
    let rest = bytes.split_off(..3)?;
    Some(u32::from_be_bytes([first & 0x7f, rest[0], rest[1], rest[2]]) as usize)
}

/// A request of which a part has come.
struct Opening {
    request: Request,
    params_done: bool,
}

/// The record whose content is being read.
#[derive(Clone, Copy, Default)]
struct Record {
    kind: u8,
    id: u16,
    left: usize,
    padding: usize,
}

/// Reads one connection's records.
///
/// ```
/// use madderpoint_node::fastcgi::{Event, Parser};
///
/// let mut parser = Parser::new(100, 65536);
/// // ABORT_REQUEST of request 7, in two parts.
/// let mut events = Vec::new();
/// parser.feed(&[1, 2, 0], &mut |event| events.push(event)).unwrap();
/// parser.feed(&[7, 0, 0, 0, 0], &mut |event| events.push(event)).unwrap();
/// assert_eq!(events, [Event::Abort(7)]);
/// assert!(parser.feed(&[9; 8], &mut |_| ()).is_err()); // no version of FastCGI
/// ```
pub struct Parser {
    max_conns: usize,
    header: [u8; HEADER],
    have: usize,
    record: Option<Record>,
    /// Content of a record that is no stream.
    side: Vec<u8>,
    opening: Vec<Opening>,
    /// The most that unfinished requests may take together, and what was passed over since the last
    /// whole one.
    unfinished: usize,
    passed_over: usize,
}

impl Parser {
    /// A parser for a new connection; `max_conns` is what GET_VALUES tells, `unfinished` the most
    /// that the parts of requests may take.
    pub fn new(max_conns: usize, unfinished: usize) -> Parser {
        Parser {
            max_conns,
            header: [0; HEADER],
            have: 0,
            record: None,
            side: Vec::new(),
            opening: Vec::new(),
            unfinished,
            passed_over: 0,
        }
    }

    /// Whether a part of a record or of a request has come, and the rest has not.
    pub fn is_partial(&self) -> bool {
        self.have > 0 || self.record.is_some() || !self.opening.is_empty()
    }

    /// Takes the next bytes and hands on what they complete.
    pub fn feed(&mut self, mut bytes: &[u8], sink: &mut impl FnMut(Event)) -> Result<(), Broken> {
        loop {
            let Some(mut record) = self.record.take() else {
                if bytes.is_empty() {
                    return Ok(());
                }
                let n = bytes.len().min(HEADER - self.have);
                self.header[self.have..self.have + n].copy_from_slice(&bytes[..n]);
                self.have += n;
                bytes = &bytes[n..];
                if self.have == HEADER {
                    self.record = Some(self.start()?);
                }
                continue;
            };
            let n = bytes.len().min(record.left);
            let kept = self.content(record, &bytes[..n]);
            record.left -= n;
            let skipped = (bytes.len() - n).min(record.padding);
            record.padding -= skipped;
            bytes = &bytes[n + skipped..];
            self.pass_over(n - kept + skipped)?;
            if record.left > 0 || record.padding > 0 {
                self.record = Some(record);
                return Ok(());
            }
            self.have = 0;
            self.finish(record, sink)?;
        }
    }

    fn start(&mut self) -> Result<Record, Broken> {
        let [version, kind, i1, i0, l1, l0, padding, _] = self.header;
        if version != VERSION {
            return Err(Broken("record of an unknown version"));
        }
        self.side.clear();
        let left = usize::from(u16::from_be_bytes([l1, l0]));
        Ok(Record {
            kind,
            id: u16::from_be_bytes([i1, i0]),
            left,
            padding: usize::from(padding),
        })
    }

    fn opening(&mut self, id: u16) -> Option<&mut Opening> {
        self.opening.iter_mut().find(|o| o.request.id == id)
    }

    fn pass_over(&mut self, bytes: usize) -> Result<(), Broken> {
        self.passed_over += bytes;
        if self.passed_over > PASSED_OVER_MAX {
            Err(Broken("too much that is no request"))
        } else {
            Ok(())
        }
    }

    /// Takes content; gives how much of it was kept for a request.
    fn content(&mut self, record: Record, bytes: &[u8]) -> usize {
        let stream = record.kind == PARAMS || record.kind == STDIN;
        if record.id == 0 || !stream {
            let n = bytes.len().min(SIDE_MAX - self.side.len());
            self.side.extend_from_slice(&bytes[..n]);
            return 0;
        }
        let unfinished: usize = self
            .opening
            .iter()
            .map(|o| o.request.params.len() + o.request.body.len())
            .sum();
        let room = self.unfinished.saturating_sub(unfinished);
        let Some(Opening {
            request,
            params_done,
        }) = self.opening(record.id)
        else {
            return 0;
        };
        let (stream, most) = match record.kind {
            PARAMS if *params_done => return 0,
            PARAMS => (&mut request.params, PARAMS_MAX),
            _ => (&mut request.body, BODY_MAX),
        };
        let n = bytes.len().min(most - stream.len()).min(room);
        stream.extend_from_slice(&bytes[..n]);
        request.oversize |= n < bytes.len();
        n
    }

    /// A record has come whole.
    fn finish(&mut self, record: Record, sink: &mut impl FnMut(Event)) -> Result<(), Broken> {
        let empty = self.header[4..6] == [0, 0];
        self.pass_over(HEADER)?;
        match (record.kind, record.id) {
            (GET_VALUES, 0) => sink(Event::Reply(self.values()?)),
            (kind, 0) => {
                let mut head = Vec::with_capacity(2 * HEADER);
                header(&mut head, UNKNOWN_TYPE, 0, 8, 0);
                head.extend_from_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
                sink(Event::Reply(Reply {
                    head,
                    ..Reply::default()
                }));
            }
            (BEGIN_REQUEST, id) => return self.begin(id, sink),
            (ABORT_REQUEST, id) => match self.opening.iter().position(|o| o.request.id == id) {
                Some(at) => {
                    self.opening.swap_remove(at);
                    sink(Event::Reply(Reply::end(id, ProtocolStatus::Complete)));
                }
                None => sink(Event::Abort(id)),
            },
            (PARAMS, id) if empty => {
                if let Some(opening) = self.opening(id) {
                    opening.params_done = true;
                }
            }
            (STDIN, id) if empty => {
                let whole = |o: &Opening| o.request.id == id && o.params_done;
                if let Some(at) = self.opening.iter().position(whole) {
                    self.passed_over = 0;
                    sink(Event::Request(self.opening.swap_remove(at).request));
                }
            }
            _ => {} // content was taken; records of ids that are not open are passed over, as laid down
        }
        Ok(())
    }

    fn begin(&mut self, id: u16, sink: &mut impl FnMut(Event)) -> Result<(), Broken> {
        let &[r1, r0, flags, ..] = self.side.as_slice() else {
            return Err(Broken("BEGIN_REQUEST cut short"));
        };
        if self.opening(id).is_some() {
            return Err(Broken("request id begun twice"));
        }
        let refusal = match u16::from_be_bytes([r1, r0]) {
            RESPONDER if self.opening.len() < MAX_OPEN => {
                let (keep_conn, params, body) = (flags & KEEP_CONN != 0, Vec::new(), Vec::new());
                let request = Request {
                    id,
                    keep_conn,
                    params,
                    body,
                    oversize: false,
                };
                self.opening.push(Opening {
                    request,
                    params_done: false,
                });
                return Ok(());
            }
            RESPONDER => ProtocolStatus::Overloaded,
            _ => ProtocolStatus::UnknownRole,
        };
        sink(Event::Reply(Reply::end(id, refusal)));
        Ok(())
    }

    /// The answer to GET_VALUES: of what was asked for, what is known here.
    fn values(&self) -> Result<Reply, Broken> {
        let known = [
            ("FCGI_MAX_CONNS", self.max_conns),
            ("FCGI_MAX_REQS", self.max_conns * MAX_OPEN),
            ("FCGI_MPXS_CONNS", 1),
        ];
        let mut body = Vec::new();
        for pair in pairs(&self.side) {
            let (name, _) = pair?;
            if let Some((name, value)) = known.iter().find(|(n, _)| n.as_bytes() == name) {
                let value = value.to_string();
                body.extend_from_slice(&[name.len() as u8, value.len() as u8]);
                body.extend_from_slice(name.as_bytes());
                body.extend_from_slice(value.as_bytes());
            }
        }
        let mut head = Vec::with_capacity(HEADER);
        header(&mut head, GET_VALUES_RESULT, 0, body.len(), 0);
        Ok(Reply {
            head,
            body,
            tail: Vec::new(),
        })
    }
}

#[cfg(test)]
mod tests;
