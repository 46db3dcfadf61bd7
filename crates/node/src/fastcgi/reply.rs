//! Encoding of answers.

use super::{END_REQUEST, HEADER, STDOUT, VERSION};
use std::io::IoSlice;

/// How a request ended, in END_REQUEST.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The request was answered, or aborted by the load balancer.
    Complete = 0,
    /// The request was rejected because the connection has [`MAX_OPEN`] unfinished requests.
    Overloaded = 2,
    /// The request asked for a role other than responder.
    UnknownRole = 3,
}

/// Bytes to write, in up to three parts, so that the body need not be copied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    head: Vec<u8>,
    body: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Returns the size of all parts, in bytes.
    pub fn size(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }

    /// Creates a reply that consists of these bytes.
    pub fn raw(head: Vec<u8>) -> Reply {
        Reply {
            head,
            ..Reply::default()
        }
    }

    /// Creates a reply of one record: its header and its content.
    pub(super) fn record(header: Vec<u8>, content: Vec<u8>) -> Reply {
        Reply {
            head: header,
            body: content,
            tail: Vec::new(),
        }
    }

    /// Returns the parts in the order in which they are written.
    pub fn slices(&self) -> [IoSlice<'_>; 3] {
        [
            IoSlice::new(&self.head),
            IoSlice::new(&self.body),
            IoSlice::new(&self.tail),
        ]
    }

    /// Encodes an answer: a CGI response on STDOUT, then the end of the request. `fields` are
    /// header lines, each with its CR LF. The header and the body have at most 65,535 bytes
    /// together.
    pub fn answer(id: u16, status: u16, fields: &str, body: Vec<u8>) -> Reply {
        let text = format!("Status: {status}\r\n{fields}\r\n");
        let len = text.len() + body.len();
        debug_assert!(
            len <= usize::from(u16::MAX),
            "an answer of {len} bytes does not fit in one record"
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

    /// Encodes the end of a request without a response.
    pub fn end(id: u16, status: ProtocolStatus) -> Reply {
        let mut head = Vec::with_capacity(2 * HEADER);
        end(&mut head, id, status);
        Reply {
            head,
            ..Reply::default()
        }
    }
}

pub(super) fn header(out: &mut Vec<u8>, kind: u8, id: u16, len: usize, padding: usize) {
    let ([i1, i0], [l1, l0]) = (id.to_be_bytes(), (len as u16).to_be_bytes());
    out.extend_from_slice(&[VERSION, kind, i1, i0, l1, l0, padding as u8, 0]);
}

fn end(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    header(out, END_REQUEST, id, 8, 0);
    out.extend_from_slice(&[0, 0, 0, 0, status as u8, 0, 0, 0]);
}
