//! The back end's protocol: lines that end in CR LF, bodies with their length told before them.

/// The longest line and the largest reply.
const LINE_MAX: usize = 256;
const BODY_MAX: usize = 8 * 1024;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a reply.
    Ok,
    /// Turned away unseen.
    Overload,
    /// It failed, and may have had its effect.
    Internal,
    /// It ran out of time, or its run has ended.
    Deadline,
    /// No run waits for it.
    Stale,
}

/// A reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// The id of the call.
    pub id: String,
    /// How it ended.
    pub outcome: Outcome,
    /// The bytes of the reply.
    pub body: Vec<u8>,
}

/// Framing was lost.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

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
    line: Vec<u8>,
    /// A reply whose bytes are coming, and how many are missing, CR LF included.
    open: Option<(Reply, usize)>,
}

impl Parser {
    /// Whether a part of a reply has come, and the rest has not.
    pub fn is_partial(&self) -> bool {
        !self.line.is_empty() || self.open.is_some()
    }

    /// Takes the next bytes and hands on what they complete.
    pub fn feed(&mut self, mut bytes: &[u8], sink: &mut impl FnMut(Reply)) -> Result<(), Broken> {
        while !bytes.is_empty() {
            if let Some((mut reply, missing)) = self.open.take() {
                let n = bytes.len().min(missing);
                reply.body.extend_from_slice(&bytes[..n]);
                bytes = &bytes[n..];
                if n < missing {
                    self.open = Some((reply, missing - n));
                } else if reply.body.ends_with(b"\r\n") {
                    reply.body.truncate(reply.body.len() - 2);
                    sink(reply);
                } else {
                    return Err(Broken("no CR LF after a reply"));
                }
                continue;
            }
            let end = bytes.iter().position(|&b| b == b'\n');
            let n = end.map_or(bytes.len(), |e| e + 1);
            if self.line.len() + n > LINE_MAX {
                return Err(Broken("line too long"));
            }
            self.line.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            if end.is_some() {
                let line = std::mem::take(&mut self.line);
                let (reply, len) = head(&line).ok_or(Broken("a line that is no reply"))?;
                match len {
                    Some(len) if len > BODY_MAX => return Err(Broken("reply too large")),
                    Some(len) => self.open = Some((reply, len + 2)),
                    None => sink(reply),
                }
            }
        }
        Ok(())
    }
}

/// Reads a reply's line and the length of what follows it.
fn head(line: &[u8]) -> Option<(Reply, Option<usize>)> {
    let text = str::from_utf8(line.strip_suffix(b"\r\n")?).ok()?;
    let mut words = text.split(' ');
    let (id, word, len) = (words.next()?, words.next()?, words.next());
    let outcome = match word {
        "ok" => Outcome::Ok,
        "overload" => Outcome::Overload,
        "internal" => Outcome::Internal,
        "deadline" => Outcome::Deadline,
        "stale" => Outcome::Stale,
        _ => return None,
    };
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

/// The bytes of a call.
pub fn invoke(id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("invoke {id} {wait_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The bytes that give a call up.
pub fn cancel(id: &str) -> Vec<u8> {
    format!("cancel {id}\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
