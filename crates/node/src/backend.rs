//! The protocol of backend calls: lines that end in CR LF, some of them followed by a body whose
//! length the line states.
//!
//! [`Parser`] accepts bytes split at any point and uses no socket, clock or thread.

use thiserror::Error;

/// Maximum length of a reply's line, CR LF included, in bytes.
const LINE_MAX: usize = 256;
/// Maximum length of a reply's body, in bytes.
const BODY_MAX: usize = 8 * 1024;

// First words of the lines that the node sends.
const INVOKE: &str = "invoke";
const CANCEL: &str = "cancel";

/// How a backend call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend replied with a body.
    Ok,
    /// The backend rejected the call and did not run it.
    Overload,
    /// The call failed and may have had its effect.
    Internal,
    /// The call ran out of time, or its execution has ended.
    Deadline,
    /// No execution waits for the reply.
    Stale,
}

impl Outcome {
    /// Decodes the outcome in a reply's line.
    fn decode(name: &str) -> Option<Outcome> {
        Some(match name {
            "ok" => Outcome::Ok,
            "overload" => Outcome::Overload,
            "internal" => Outcome::Internal,
            "deadline" => Outcome::Deadline,
            "stale" => Outcome::Stale,
            _ => return None,
        })
    }
}

/// A reply to a backend call.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// Id of the call, as in its [`invoke`] line.
    pub id: String,
    /// How the call ended. Only [`Outcome::Ok`] has a body.
    pub outcome: Outcome,
    /// Bytes for the execution; empty unless the call succeeded.
    pub body: Vec<u8>,
}

/// Why no further replies can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum ReadError {
    /// The body of a reply is not followed by CR LF.
    MissingLineEnd,
    /// A line is longer than 256 bytes.
    LineTooLong,
    /// A line is not the head of a reply.
    UnknownLine,
    /// The body of a reply is longer than 8 KiB.
    ReplyTooLarge,
    /// Part of a reply was read, and the rest did not arrive in time.
    CutShort,
}

impl ReadError {
    /// Returns the text for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadError::MissingLineEnd => "no CR LF after a reply",
            ReadError::LineTooLong => "line too long",
            ReadError::UnknownLine => "a line that is no reply",
            ReadError::ReplyTooLarge => "reply too large",
            ReadError::CutShort => "reply cut short",
        }
    }
}

/// Parses the replies on one connection.
///
/// ```
/// use madderpoint_node::backend::{Outcome, Parser, invoke};
///
/// assert_eq!(invoke("9b1f", 250, b"call"), b"invoke 9b1f 250 4\r\ncall\r\n");
/// let (mut parser, mut replies) = (Parser::default(), Vec::new());
/// parser.feed(b"9b1f ok 5\r\nre", &mut |reply| replies.push(reply)).unwrap();
/// parser.feed(b"ply\r\n", &mut |reply| replies.push(reply)).unwrap();
/// assert_eq!((replies[0].outcome, &replies[0].body[..]), (Outcome::Ok, &b"reply"[..]));
/// ```
#[derive(Default)]
pub struct Parser {
    /// Bytes read so far of a line that is not complete yet.
    line: Vec<u8>,
    /// Reply whose body is being read, and the number of bytes missing from the body and its CR LF.
    partial_reply: Option<(Reply, usize)>,
}

impl Parser {
    /// Returns whether a reply has been read only in part.
    pub fn is_partial(&self) -> bool {
        !self.line.is_empty() || self.partial_reply.is_some()
    }

    /// Parses the next bytes and passes each reply that they complete to `sink`. After an error the
    /// connection cannot be read any further.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        sink: &mut impl FnMut(Reply),
    ) -> Result<(), ReadError> {
        while !bytes.is_empty() {
            if let Some((mut reply, missing)) = self.partial_reply.take() {
                let length = bytes.len().min(missing);
                reply.body.extend_from_slice(&bytes[..length]);
                bytes = &bytes[length..];
                if length < missing {
                    self.partial_reply = Some((reply, missing - length));
                } else if reply.body.ends_with(b"\r\n") {
                    reply.body.truncate(reply.body.len() - 2);
                    sink(reply);
                } else {
                    return Err(ReadError::MissingLineEnd);
                }
                continue;
            }
            let end = bytes.iter().position(|&b| b == b'\n');
            let length = end.map_or(bytes.len(), |end| end + 1);
            if self.line.len() + length > LINE_MAX {
                return Err(ReadError::LineTooLong);
            }
            self.line.extend_from_slice(&bytes[..length]);
            bytes = &bytes[length..];
            if end.is_some() {
                let line = std::mem::take(&mut self.line);
                let (reply, len) = decode_head(&line).ok_or(ReadError::UnknownLine)?;
                match len {
                    Some(len) if len > BODY_MAX => return Err(ReadError::ReplyTooLarge),
                    Some(len) => self.partial_reply = Some((reply, len + 2)),
                    None => sink(reply),
                }
            }
        }
        Ok(())
    }
}

/// Decodes the line of a reply. The second value is the length of the body that follows the line;
/// `None` if no body follows.
fn decode_head(line: &[u8]) -> Option<(Reply, Option<usize>)> {
    let text = str::from_utf8(line.strip_suffix(b"\r\n")?).ok()?;
    let mut words = text.split(' ');
    let (id, outcome, len) = (words.next()?, words.next()?, words.next());
    let outcome = Outcome::decode(outcome)?;
    if words.next().is_some() || len.is_some() != (outcome == Outcome::Ok) {
        return None;
    }
    let len = len.map(str::parse).transpose().ok()?;
    Some((
        Reply {
            id: id.into(),
            outcome,
            body: Vec::new(),
        },
        len,
    ))
}

/// Encodes a call that the backend answers within `wait_ms` milliseconds.
pub fn invoke(id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{INVOKE} {id} {wait_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes the line that abandons a call.
pub fn cancel(id: &str) -> Vec<u8> {
    format!("{CANCEL} {id}\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
