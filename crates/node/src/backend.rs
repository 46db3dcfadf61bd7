//! The protocol of backend calls: lines that end in CR LF, and bodies whose length the line before
//! them states.
//!
//! [`Parser`] is fed bytes split anywhere and knows no socket, clock or thread.

use thiserror::Error;

/// The longest line of a reply, in bytes.
const LINE_MAX: usize = 256;
/// The largest body of a reply, in bytes.
const BODY_MAX: usize = 8 * 1024;

/// Words that begin the lines of calls.
const INVOKE: &str = "invoke";
const CANCEL: &str = "cancel";

/// How a backend call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a reply.
    Ok,
    /// It was rejected and did not run.
    Overload,
    /// It failed, and may have had its effect.
    Internal,
    /// It ran out of time, or its execution has ended.
    Deadline,
    /// No execution waits for it.
    Stale,
}

impl Outcome {
    /// The outcome that a word on the wire stands for.
    fn from_word(word: &str) -> Option<Outcome> {
        Some(match word {
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
    /// The id of the call.
    pub id: String,
    /// How it ended.
    pub outcome: Outcome,
    /// What the execution is given; empty unless the call succeeded.
    pub body: Vec<u8>,
}

/// Why the replies on a connection can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum ReadError {
    /// The body of a reply is not followed by CR LF.
    MissingLineEnd,
    /// A line is longer than 256 bytes.
    LineTooLong,
    /// A line is no head of a reply.
    UnknownLine,
    /// The body of a reply is longer than 8 KiB.
    ReplyTooLarge,
    /// A part of a reply was read, and its rest did not come in time.
    CutShort,
}

impl ReadError {
    /// The text for logs and counters.
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

/// Reads the replies on one connection.
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
    /// The part of a line that was read.
    line: Vec<u8>,
    /// A reply whose body is being read, and the bytes that are missing, CR LF included.
    open: Option<(Reply, usize)>,
}

impl Parser {
    /// Whether a part of a reply was read, and its rest was not.
    pub fn is_partial(&self) -> bool {
        !self.line.is_empty() || self.open.is_some()
    }

    /// Reads the next bytes, and passes the replies that they complete to the sink.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        sink: &mut impl FnMut(Reply),
    ) -> Result<(), ReadError> {
        while !bytes.is_empty() {
            if let Some((mut reply, missing)) = self.open.take() {
                let length = bytes.len().min(missing);
                reply.body.extend_from_slice(&bytes[..length]);
                bytes = &bytes[length..];
                if length < missing {
                    self.open = Some((reply, missing - length));
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
                let (reply, len) = head(&line).ok_or(ReadError::UnknownLine)?;
                match len {
                    Some(len) if len > BODY_MAX => return Err(ReadError::ReplyTooLarge),
                    Some(len) => self.open = Some((reply, len + 2)),
                    None => sink(reply),
                }
            }
        }
        Ok(())
    }
}

/// Decodes the line of a reply, and the length of the body that follows it.
fn head(line: &[u8]) -> Option<(Reply, Option<usize>)> {
    let text = str::from_utf8(line.strip_suffix(b"\r\n")?).ok()?;
    let mut words = text.split(' ');
    let (id, word, len) = (words.next()?, words.next()?, words.next());
    let outcome = Outcome::from_word(word)?;
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

/// The bytes of a call, to be answered within `wait_ms` milliseconds.
pub fn invoke(id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{INVOKE} {id} {wait_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The bytes that abandon a call.
pub fn cancel(id: &str) -> Vec<u8> {
    format!("{CANCEL} {id}\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
